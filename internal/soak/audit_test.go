package soak

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/rawserver"
	"flamingorudder.example/internal/timer"
)

var t0 = time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func ask(id string, k Kind) fakeplatform.Ask {
	a := fakeplatform.Ask{ID: id, Method: "GET", Path: "/" + id, Body: []byte("b"), Left: callerLimit}
	if k.once() {
		a.Method = "POST"
	}
	return a
}

func ran(server, id string, k Kind) fakeplatform.Event {
	a := ask(id, k)
	return fakeplatform.Event{Kind: fakeplatform.Run, Server: server, ID: id, Method: a.Method, URI: a.Path, Sum: fakeplatform.Sum(a.Body), Organisation: "north", At: at(time.Second)}
}

func fine(id string) fakeplatform.Reply {
	return fakeplatform.Reply{Status: 200, ID: id, Signed: true, Body: []byte(fakeplatform.Text(id, []byte("b")))}
}

func in(e fakeplatform.Event, group string, epoch int64, members ...string) fakeplatform.Event {
	e.Group, e.Epoch, e.Members = group, epoch, members
	return e
}

// slowInStop sends a slow request to a daemon that is told to stop at t0 and ends with its grace time.
func slowInStop(a *Audit, sent time.Time) {
	id := fakeplatform.SlowPrefix + "r"
	a.Stopped(t0, "d#1")
	a.Sent(sent, ask(id, Talk), Talk, "north", "d#1", 0)
	a.Event(ran("s", id, Talk))
	a.Answered(at(grace), id, fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
	a.Lost()
}

// follow has daemon e send a request to each of the servers, and then d some to the first only.
func follow(a *Audit, n int, servers ...string) {
	send := func(id, daemon, server string, after time.Duration) {
		a.Sent(t0, ask(id, Read), Read, "north", daemon+"#2", 0)
		e := ran(server, id, Read)
		e.At = at(after)
		a.Event(e)
	}
	for _, s := range servers {
		send("e-"+s, "e", s, time.Second)
	}
	for i := range n {
		send(fmt.Sprint(i), "d", servers[0], 2*time.Second)
	}
	a.Followed(t0, []string{"s", "t"})
}

// untilLimit has a request run out of time, after its daemon has left the backend server.
func untilLimit(a *Audit, left time.Time) {
	a.Sent(t0, ask("r", Talk), Talk, "north", "d#1", 0)
	a.Event(ran("s", "r", Talk))
	a.Event(fakeplatform.Event{Kind: fakeplatform.Abandoned, Server: "s", ID: "r", At: left})
	a.Answered(at(callerLimit), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
	a.Lost()
}

// brokenOff has a stream end because the head of its group has found its member lost.
func brokenOff(a *Audit, memberLeaves bool) {
	for _, id := range []string{"s", "t"} {
		for _, k := range []fakeplatform.Kind{fakeplatform.Joining, fakeplatform.Ready} {
			a.Event(in(fakeplatform.Event{Kind: k, Server: id}, "g", 1, "s", "t"))
		}
	}
	a.Sent(t0, ask("r", Once), Once, "north", "d#1", 0)
	a.Event(in(ran("s", "r", Once), "g", 1, "s", "t"))
	if memberLeaves {
		a.Event(in(fakeplatform.Event{Kind: fakeplatform.Left, Server: "t"}, "g", 1, "s", "t"))
	}
	a.Event(in(fakeplatform.Event{Kind: fakeplatform.Broken, Server: "s", At: at(2 * time.Second)}, "g", 1, "s", "t"))
	a.Answered(at(2*time.Second+time.Millisecond), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
	a.Lost()
}

// withheld has a request run at a server that answers after done, if ever, and its caller get an error of the daemon's after got.
func withheld(a *Audit, k Kind, done, got time.Duration) {
	a.b.Answer = answerLimits
	a.Sent(t0, ask("r", k), k, "north", "d#1", 0)
	a.Event(ran("s", "r", k))
	if done > 0 {
		a.Event(fakeplatform.Event{Kind: fakeplatform.Done, Server: "s", ID: "r", At: at(done)})
	}
	a.Answered(at(got), "r", fakeplatform.Reply{Status: 502})
	a.Lost()
}

// sentAfterDrain has a request run at a server that has told at t0 that it drains.
func sentAfterDrain(a *Audit) {
	a.Event(fakeplatform.Event{Kind: fakeplatform.Drains, Server: "s", At: t0})
	for id, after := range map[string]time.Duration{"q": drain, "r": drain + time.Second} {
		a.Sent(t0, ask(id, Read), Read, "north", "d#1", 0)
		e := ran("s", id, Read)
		e.At = at(after)
		a.Event(e)
	}
}

// evacuated has a request of daemon d, sent by its caller after sent, arrive after the row of the server's data centre was acknowledged
// at t0.
func evacuated(a *Audit, kind fakeplatform.Kind, sent, after time.Duration) {
	a.Sent(at(sent), ask("r", Read), Read, "north", "d#2", 0)
	e := ran("s", "r", Read)
	e.Kind, e.DataCentre, e.At = kind, "dc-0", at(after)
	a.Event(e)
}

// becameCold has a server turn cold at t0, of which daemons must know after notice, and n requests arrive within a second.
func becameCold(a *Audit, notice, after time.Duration, n int) {
	a.Event(fakeplatform.Event{Kind: fakeplatform.Cold, Server: "s", DataCentre: "dc-0", At: t0, From: at(notice), Until: at(coldTime)})
	for i := range n {
		id := fmt.Sprint(i)
		a.Sent(t0, ask(id, Read), Read, "north", "d#1", 0)
		e := ran("s", id, Read)
		if i%2 == 1 {
			e.Kind = fakeplatform.Refused
		}
		e.DataCentre, e.At = "dc-0", at(after+time.Duration(i)*time.Second/time.Duration(n))
		a.Event(e)
	}
}

// TestAudit guards against an audit that passes over a broken promise, and against one that sees one where none is.
func TestAudit(t *testing.T) {
	for _, test := range []struct {
		name, want string
		do         func(a *Audit)
	}{
		{"served", "", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			a.Event(ran("s", "r", Read))
			a.Answered(t0, "r", fine("r"))
		}},
		{"unsigned", "own answers", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			r := fine("r")
			r.Signed = false
			a.Answered(t0, "r", r)
		}},
		{"another's answer", "own answers", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			a.Answered(t0, "r", fine("q"))
		}},
		{"half an answer that looks complete", "whole answers", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			r := fine("r")
			r.Body = r.Body[:4]
			a.Answered(t0, "r", r)
		}},
		{"half an answer that shows it", "", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			r := fine("r")
			r.Body, r.Err = r.Body[:4], io.ErrUnexpectedEOF
			a.Answered(t0, "r", r)
		}},
		{"an event missing", "whole answers", func(a *Audit) {
			a.Sent(t0, ask("r", Talk), Talk, "north", "", 0)
			a.Answered(t0, "r", fakeplatform.Reply{Status: 200, Signed: true, Body: []byte(fakeplatform.EventText("r", 2)), Err: io.ErrUnexpectedEOF})
		}},
		{"read twice", "", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			a.Event(ran("s", "r", Read))
			a.Event(ran("t", "r", Read))
		}},
		{"written twice", "at most once", func(a *Audit) {
			a.Sent(t0, ask("r", Write), Write, "north", "", 0)
			a.Event(ran("s", "r", Write))
			a.Event(ran("t", "r", Write))
		}},
		{"a stream run again that may not be resumed", "at most once", func(a *Audit) {
			a.Sent(t0, ask("r", Once), Once, "north", "", 0)
			a.Event(ran("s", "r", Once))
			a.Event(ran("t", "r", Once))
		}},
		{"refused, then run", "refused means not run", func(a *Audit) {
			a.Sent(t0, ask("r", Write), Write, "north", "", 0)
			a.Answered(t0, "r", fakeplatform.Reply{Status: 503})
			a.Event(ran("s", "r", Write))
		}},
		{"run, then refused", "refused means not run", func(a *Audit) {
			a.Sent(t0, ask("r", Write), Write, "north", "", 0)
			a.Event(ran("s", "r", Write))
			a.Answered(t0, "r", fakeplatform.Reply{Status: 429})
		}},
		{"turned away", "proper requests are served", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "", 0)
			a.Answered(t0, "r", fakeplatform.Reply{Status: 401})
		}},
		{"never asked", "only what was asked", func(a *Audit) { a.Event(ran("s", "r", Read)) }},
		{"another body", "only what was asked", func(a *Audit) {
			a.Sent(t0, ask("r", Write), Write, "north", "", 0)
			e := ran("s", "r", Write)
			e.Sum++
			a.Event(e)
		}},
		{"another organisation", "only what was asked", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "south", "", 0)
			a.Event(ran("s", "r", Read))
		}},
		{"back to an earlier version", "configuration never goes back", func(a *Audit) {
			a.Configured(2)
			a.Sent(t0, ask("p", Probe), Probe, "north", "d#1", 2)
			a.Answered(t0, "p", fine("p"))
			a.Sent(at(time.Second), ask("q", Probe), Probe, "north", "d#1", 1)
			a.Answered(at(time.Second), "q", fine("q"))
		}},
		{"newest version forgotten", "configuration never goes back", func(a *Audit) {
			a.Configured(2)
			a.Sent(t0, ask("p", Probe), Probe, "north", "d#1", 2)
			a.Answered(t0, "p", fine("p"))
			a.Sent(at(time.Second), ask("q", Probe), Probe, "north", "d#1", 2)
			a.Answered(at(time.Second), "q", fakeplatform.Reply{Status: 404})
		}},
		{"another lifetime knows less", "", func(a *Audit) {
			a.Configured(2)
			a.Sent(t0, ask("p", Probe), Probe, "north", "d#1", 2)
			a.Answered(t0, "p", fine("p"))
			a.Sent(at(time.Second), ask("q", Probe), Probe, "north", "d#2", 1)
			a.Answered(at(time.Second), "q", fine("q"))
		}},
		{"a group that was never whole", "whole groups", func(a *Audit) {
			a.Sent(t0, ask("r", Talk), Talk, "north", "", 0)
			for _, k := range []fakeplatform.Kind{fakeplatform.Joining, fakeplatform.Ready, fakeplatform.Opened} {
				a.Event(in(fakeplatform.Event{Kind: k, Server: "s"}, "g", 1, "s", "t"))
			}
			a.Event(in(ran("s", "r", Talk), "g", 1, "s", "t"))
		}},
		{"a member taken from an open group", "one group at a time", func(a *Audit) {
			for _, id := range []string{"s", "t"} {
				a.Event(in(fakeplatform.Event{Kind: fakeplatform.Joining, Server: id}, "g", 1, "s", "t"))
			}
			a.Event(in(fakeplatform.Event{Kind: fakeplatform.Opened, Server: "s"}, "g", 1, "s", "t"))
			a.Event(in(fakeplatform.Event{Kind: fakeplatform.Joining, Server: "t"}, "h", 2, "t"))
		}},
		{"a member taken after its head ended", "", func(a *Audit) {
			for _, id := range []string{"s", "t"} {
				a.Event(in(fakeplatform.Event{Kind: fakeplatform.Joining, Server: id}, "g", 1, "s", "t"))
			}
			a.Event(in(fakeplatform.Event{Kind: fakeplatform.Opened, Server: "s"}, "g", 1, "s", "t"))
			a.Gone("s")
			a.Event(in(fakeplatform.Event{Kind: fakeplatform.Joining, Server: "t"}, "h", 2, "t"))
		}},
		{"stored, not applied", "configuration applies in time", func(a *Audit) {
			a.Configured(2)
			a.Stored(t0, 2)
			a.Sent(at(3*time.Second), ask("p", Probe), Probe, "north", "d#1", 2)
			a.Answered(at(3*time.Second), "p", fakeplatform.Reply{Status: 404})
		}},
		{"stored, not applied where the store was cut off", "", func(a *Audit) {
			a.Configured(2)
			a.Stored(t0, 2)
			a.Trouble(at(-time.Second), "d")(at(2 * time.Second))
			a.Sent(at(3*time.Second), ask("p", Probe), Probe, "north", "d#1", 2)
			a.Answered(at(3*time.Second), "p", fakeplatform.Reply{Status: 404})
		}},
		{"lost beside planned work", "planned work loses nothing", func(a *Audit) {
			a.Trouble(t0, "e") // another daemon's
			a.Sent(t0, ask("r", Read), Read, "north", "d#1", 0)
			a.Event(ran("s", "r", Read))
			a.Answered(at(time.Second), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"lost after a broken answer to another request", "planned work loses nothing", func(a *Audit) {
			a.Sent(t0, ask("q", Read), Read, "north", "d#1", 0)
			a.Event(fakeplatform.Event{Kind: fakeplatform.Spoiled, Server: "s", ID: "q", At: t0})
			a.Sent(t0, ask("r", Read), Read, "north", "d#1", 0)
			a.Event(ran("s", "r", Read))
			a.Answered(at(time.Second), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"lost after a broken answer", "", func(a *Audit) {
			a.Sent(t0, ask("r", Read), Read, "north", "d#1", 0)
			a.Event(fakeplatform.Event{Kind: fakeplatform.Spoiled, Server: "s", ID: "r", At: t0})
			a.Event(ran("t", "r", Read))
			a.Answered(at(time.Second), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"lost beside a fault", "", func(a *Audit) {
			a.Trouble(at(-2*time.Second), "")(at(-time.Second))
			a.Sent(t0, ask("r", Read), Read, "north", "d#1", 0)
			a.Event(ran("s", "r", Read))
			a.Answered(at(time.Second), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"left by its daemon in a silence, never taken up again", "planned work loses nothing", func(a *Audit) { untilLimit(a, at(time.Second)) }},
		{"given up in a silence of its server", "planned work loses nothing", func(a *Audit) {
			a.Touched(at(time.Second), "s")
			withheld(a, Write, 0, 1600*time.Millisecond)
		}},
		{"answered in a silence, given up", "planned work loses nothing", func(a *Audit) { withheld(a, Read, 2*time.Second, plainLimit/2) }},
		{"answered in time, not passed on", "planned work loses nothing", func(a *Audit) { withheld(a, Write, 2*time.Second, plainLimit) }},
		{"a stream that runs once, given up before its first event", "planned work loses nothing", func(a *Audit) {
			withheld(a, Once, 0, 1600*time.Millisecond)
		}},
		{"a probe that has reached its time limit", "", func(a *Audit) { withheld(a, Probe, 0, probeLimit) }},
		{"a probe given up", "planned work loses nothing", func(a *Audit) { withheld(a, Probe, 0, 1600*time.Millisecond) }},
		{"answered after the time limit", "", func(a *Audit) { withheld(a, Write, plainLimit, plainLimit) }},
		{"answered in a silence that lasts until the time limit", "", func(a *Audit) {
			a.Touched(at(time.Second), "s")
			withheld(a, Write, 2*time.Second, plainLimit)
		}},
		{"given up beside a silent path, which is a fault", "", func(a *Audit) {
			a.Trouble(at(time.Second), "d")
			withheld(a, Write, 0, 1600*time.Millisecond)
		}},
		{"broken off by a head that lost its member", "", func(a *Audit) { brokenOff(a, false) }},
		{"broken off by a head whose member was told to leave", "planned work loses nothing", func(a *Audit) { brokenOff(a, true) }},
		{"run until its time limit beside a server that was left", "", func(a *Audit) {
			a.Sent(t0, ask("r", Talk), Talk, "north", "d#1", 0)
			for _, server := range []string{"s", "t"} {
				a.Event(ran(server, "r", Talk))
			}
			a.Event(fakeplatform.Event{Kind: fakeplatform.Abandoned, Server: "t", ID: "r", At: at(2 * time.Second)})
			a.Answered(at(callerLimit), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"run until its time limit", "", func(a *Audit) { untilLimit(a, at(callerLimit)) }},
		{"a slow request cut off at the end of the grace time", "", func(a *Audit) { slowInStop(a, at(grace*3/8)) }},
		{"a slow request taken late in a stop and cut off", "planned work loses nothing", func(a *Audit) { slowInStop(a, at(grace*3/8+time.Second/10)) }},
		{"sent after the drain", "no request after the drain", func(a *Audit) {
			a.Touched(at(1500*time.Millisecond), "store") // the drain has ended by then
			a.Touched(t0, "e")                            // another daemon
			sentAfterDrain(a)
		}},
		{"sent after the drain while the store was down", "", func(a *Audit) {
			a.Touched(at(-time.Second), "store")(t0)
			sentAfterDrain(a)
		}},
		{"read after the drain by a server that was silent", "", func(a *Audit) {
			a.Touched(at(1500*time.Millisecond), "s")
			sentAfterDrain(a)
		}},
		{"sent to an evacuated data centre", "evacuated data centres get no requests", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			evacuated(a, fakeplatform.Run, 0, evacuate)
		}},
		{"sent to an evacuated data centre and rejected there", "evacuated data centres get no requests", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			evacuated(a, fakeplatform.Refused, 0, evacuate)
		}},
		{"sent to an evacuated data centre by a daemon that lost the store later", "evacuated data centres get no requests", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			a.storeLost.begin(at(evacuate), "d")
			evacuated(a, fakeplatform.Run, 0, 2*evacuate)
		}},
		{"sent to an evacuated data centre long after the store was back", "evacuated data centres get no requests", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			a.storeLost.begin(at(time.Second), "")(at(2 * time.Second))
			evacuated(a, fakeplatform.Run, 0, 2*time.Second+evacuate)
		}},
		{"sent to an evacuated data centre soon after the store was back", "", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			a.storeLost.begin(at(time.Second), "")(at(2 * time.Second))
			evacuated(a, fakeplatform.Run, 0, evacuate+time.Second)
		}},
		{"sent to an evacuated data centre within the bound", "", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			evacuated(a, fakeplatform.Run, 0, evacuate-time.Millisecond)
		}},
		{"sent to an evacuated data centre beside a fault of the server, by a caller after the bound", "evacuated data centres get no requests", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			a.Touched(at(evacuate), "s")
			evacuated(a, fakeplatform.Run, evacuate, 2*evacuate)
		}},
		{"late at an evacuated data centre because of a fault of the server", "", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")
			a.Touched(t0, "s")
			evacuated(a, fakeplatform.Run, evacuate-time.Millisecond, evacuate)
		}},
		{"sent after the evacuation, and beside that of another data centre", "", func(a *Audit) {
			a.evacuations.begin(t0, "dc-0")(at(2 * evacuate))
			a.evacuations.begin(t0, "dc-1")
			evacuated(a, fakeplatform.Run, 0, 2*evacuate)
		}},
		{"sent to a cold server too often", "cold servers get few requests", func(a *Audit) { becameCold(a, 0, 0, coldLimit+1) }},
		{"sent to a cold server as often as it may be", "", func(a *Audit) { becameCold(a, 0, 0, coldLimit) }},
		{"sent to a cold server before daemons know", "", func(a *Audit) { becameCold(a, fakeplatform.ColdNotice, 0, coldLimit+1) }},
		{"sent to a server that is warm again", "", func(a *Audit) { becameCold(a, 0, coldTime, coldLimit+1) }},
		{"sent too often to a server that turned cold while it was evacuated", "cold servers get few requests", func(a *Audit) {
			a.evacuations.begin(at(-evacuate), "dc-0")(at(-time.Millisecond))
			becameCold(a, fakeplatform.ColdNotice, 0, coldLimit+1)
		}},
		{"arrived together after a silence of a cold server", "", func(a *Audit) {
			a.Touched(at(-time.Second), "s")(t0)
			becameCold(a, 0, 0, coldLimit+1)
		}},
		{"ended", "no process ends by itself", func(a *Audit) { a.Ended("daemon-1", "exit status 2") }},
		{"a server that nobody follows", "servers are followed: t got nothing", func(a *Audit) { follow(a, 1, "s") }},
		{"a server that a daemon does not follow", "servers are followed: d sent 40 requests", func(a *Audit) { follow(a, enoughRuns, "s", "t") }},
		{"a server that a daemon has hardly had work for", "", func(a *Audit) { follow(a, enoughRuns-1, "s", "t") }},
		{"too many repeats", "budget of repeats", func(a *Audit) {
			for i := range bounds.RetrySlack + 5 {
				id := fmt.Sprint(i)
				a.Sent(at(time.Second), ask(id, Read), Read, "north", "", 0)
				for range 3 {
					a.Event(ran("s", id, Read))
				}
			}
			a.Budget(at(2 * time.Second))
		}},
		{"not back", "recovery", func(a *Audit) {
			for i := range 8 {
				id := fmt.Sprint(i)
				a.Sent(at(10*time.Second), ask(id, Read), Read, "north", "", 0)
				if i == 0 {
					a.Answered(at(10*time.Second), id, fine(id))
				}
			}
			a.Recovered(t0, at(20*time.Second))
		}},
	} {
		a := NewAudit(bounds)
		test.do(a)
		got := strings.Join(a.Failures, "\n")
		if test.want == "" && got != "" || !strings.HasPrefix(got, test.want) {
			t.Errorf("%s: found %q, want %q", test.name, got, test.want)
		}
	}
}

// TestPlan guards against a seed that does not give the same faults again, and against a fault that is never drawn.
func TestPlan(t *testing.T) {
	drawn, silences := map[Fault]int{}, map[Harm]int{}
	for i := range uint64(100) {
		seed := i%20 + i/20*firstOfAll
		plan := Plan(seed, 20*time.Second, 4, 10)
		if again := Plan(seed, 20*time.Second, 4, 10); !reflect.DeepEqual(plan, again) {
			t.Errorf("seed %d gives two plans", seed)
		}
		silentUntil := map[int]time.Duration{}
		for _, s := range plan {
			drawn[s.Fault]++
			most := longest[s.Fault]
			if s.Fault == SilenceServer && seed >= firstOfSilences {
				most = longestSilence
			}
			if s.Target < 0 || s.Target >= 10 || s.For < 0 || s.For > most || s.Harm > Drop {
				t.Errorf("seed %d: %v", seed, s)
			}
			if s.Fault == SilenceServer && seed >= firstOfSilences {
				silences[s.Harm]++
				if s.For < shortestSilence || s.At < silentUntil[s.Target] {
					t.Errorf("seed %d: %v is too short, or follows on another", seed, s)
				}
				silentUntil[s.Target] = s.At + s.For + rest
			}
		}
	}
	for f := range faults {
		if drawn[f] == 0 {
			t.Errorf("no %s in 20 seeds", f)
		}
	}
	// A sound server's entry stays while it is silent.
	for beat, silence := range map[time.Duration]time.Duration{longBeat: silence, longestBeat: longestSilence} {
		if 3*beat-beat <= silence {
			t.Errorf("an entry that is renewed every %v may lapse in a silence of %v", beat, silence)
		}
	}
	if silences[Clear] == 0 || silences[Drop] == 0 || len(silences) != 2 {
		t.Errorf("silences with and without acknowledgements: %v", silences)
	}
	// Earlier seeds give what they gave.
	for seed, want := range map[uint64]uint32{731: 0xeff47785, 1200: 0xebc67296, 1203: 0x1c52824b, 2002: 0x6959feb, 2003: 0xe43d2020, 3001: 0x947d2c5, 3005: 0xe077dda8} {
		h := fnv.New32a()
		for _, s := range Plan(seed, 6*time.Second, 4, 10) {
			_, _ = fmt.Fprintln(h, s)
		}
		if got := h.Sum32(); got != want {
			t.Errorf("the plan of seed %d has another sum: %#x", seed, got)
		}
	}
}

// TestProxy guards against harms that do not harm, and against a proxy that changes bytes.
func TestProxy(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, stop, err := newFleet(Options{}).proxy(netip.MustParseAddrPort(l.Addr().String()), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	// echo sends a word on a connection and returns what comes back in time.
	echo := func(c net.Conn, word string) (string, time.Duration) {
		began := time.Now()
		if c == nil {
			return "", 0
		}
		if _, err := io.WriteString(c, word); err != nil {
			return "", time.Since(began)
		}
		if err := c.SetReadDeadline(began.Add(2 * delayed)); err != nil {
			return "", time.Since(began)
		}
		b := make([]byte, len(word))
		n, _ := io.ReadFull(c, b)
		return string(b[:n]), time.Since(began)
	}
	// dial returns nil when the proxy resets the connection before it is open.
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.Addr.String())
		if errors.Is(err, syscall.ECONNRESET) {
			return nil
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := dial()
	if got, _ := echo(old, "one"); got != "one" {
		t.Errorf("clear: %q", got)
	}
	for _, h := range []Harm{Reset, Silence, Deaf, Dumb} {
		p.Set(h)
		if got, _ := echo(dial(), "two"); got != "" {
			t.Errorf("%s: %q", h, got)
		}
		p.Set(Clear)
		if got, _ := echo(dial(), "three"); got != "three" {
			t.Errorf("after %s: %q", h, got)
		}
	}
	if got, _ := echo(old, "four"); got != "" {
		t.Errorf("a connection from before a reset still works: %q", got)
	}
	p.Set(Delay)
	if _, took := echo(dial(), "five"); took < delayed {
		t.Errorf("delay: %v", took)
	}
}

// TestProxyPassesResets guards against a proxy that passes a reset on as the end of an answer: the server resets the connection while an
// upload passes through, and the proxy's write may be told of it in place of its read.
func TestProxyPassesResets(t *testing.T) {
	addr, stopServer, err := rawserver.Start(rawserver.Reset("HTTP/1.1 200 OK\r\n\r\npart", 20*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer stopServer()
	p, stop, err := newFleet(Options{}).proxy(addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for range 20 {
		c, err := netopt.DialConn((&net.Dialer{}).DialContext)(t.Context(), "tcp4", p.Addr.String())
		if err != nil {
			t.Fatal(err)
		}
		var upload errgroup.Group
		upload.Go(func() error {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n"+strings.Repeat("u", 8_000_000)) // is cut off
			return nil
		})
		if b, err := io.ReadAll(c); err == nil {
			t.Errorf("%q looks complete", b)
		}
		_ = c.Close()
		_ = upload.Wait()
	}
}

// TestQuietCount guards against a count of requests on a silent way that takes in others, or leaves out failures.
func TestQuietCount(t *testing.T) {
	a := NewAudit(bounds)
	a.Quiet(at(time.Second), "d")(at(2 * time.Second))
	for id, to := range map[string]time.Duration{"before": time.Second / 2, "within": 1500 * time.Millisecond, "failed": 3 * time.Second} {
		a.Sent(t0, ask(id, Read), Read, "north", "d#1", 0)
		r := fine(id)
		if id == "failed" {
			r = fakeplatform.Reply{Err: io.ErrUnexpectedEOF}
		}
		a.Answered(at(to), id, r)
	}
	a.Sent(t0, ask("elsewhere", Read), Read, "north", "e#1", 0)
	a.Answered(at(time.Minute), "elsewhere", fakeplatform.Reply{Status: 502})
	want := Tally{Sent: 4, Served: 2, Failed: 2, Quiet: 2, QuietFailed: 1}
	if got := a.Count(time.Time{}, at(time.Hour)); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// TestDropHolds guards against a silence that acknowledges what it gets, and against one that loses bytes or connections.
func TestDropHolds(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole proxy %v", whole), func(t *testing.T) {
			l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			cuts := &cuts{harms: map[string]Harm{}, pids: func() map[string]int { return map[string]int{"d": os.Getpid()} }}
			p, stop, err := newFleet(Options{}).proxy(netip.MustParseAddrPort(l.Addr().String()), cuts)
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			set := func(h Harm) {
				if whole {
					p.Set(h)
					return
				}
				cuts.set("d", h)
				p.cut("d")
			}
			c, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.Addr))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			server, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			b := make([]byte, 5)
			write := func(from net.Conn, text string) {
				if _, err := io.WriteString(from, text); err != nil {
					t.Fatal(err)
				}
			}
			read := func(to net.Conn, want string, wait time.Duration) {
				_ = to.SetReadDeadline(time.Now().Add(wait))
				if n, _ := io.ReadFull(to, b[:max(len(want), 1)]); string(b[:n]) != want {
					t.Errorf("read %q, want %q", b[:n], want)
				}
			}
			write(c, "one")
			read(server, "one", time.Second)
			set(Drop)
			write(c, "two")
			write(server, "three")
			if err := server.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			read(server, "", delayed)
			read(c, "", delayed)
			if info := tcpInfo(t, c); info.Unacked == 0 {
				t.Error("bytes are acknowledged in the silence")
			}
			if other, err := net.DialTimeout("tcp4", p.Addr.String(), delayed); err == nil {
				defer func() { _ = other.Close() }()
				if whole {
					t.Error("a connection is taken in the silence")
				}
			}
			set(Clear)
			read(server, "two", 2*time.Second)
			read(c, "three", 2*time.Second)
			if n, err := c.Read(b); n != 0 || !errors.Is(err, io.EOF) {
				t.Errorf("after the silence: %d bytes, %v", n, err)
			}
		})
	}
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(t *testing.T, c *net.TCPConn) *unix.TCPInfo {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	var got error
	err = raw.Control(func(fd uintptr) { info, got = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(err, got); err != nil {
		t.Fatal(err)
	}
	return info
}

// TestProxyEndsBesideNewConnections guards against a proxy that never ends, as a connection that it has just taken is not reset.
func TestProxyEndsBesideNewConnections(t *testing.T) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for range 200 {
		p, stop, err := newFleet(Options{}).proxy(netip.MustParseAddrPort(l.Addr().String()), nil)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp4", p.Addr.String())
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		var g errgroup.Group
		g.Go(func() error {
			stop()
			close(ended)
			return nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		select {
		case <-ended:
		case <-ctx.Done():
			t.Fatal("the proxy has not ended")
		}
		cancel()
		_ = g.Wait() // returns no error
		_ = c.Close()
	}
}

// TestAddresses guards against two parts of a fleet at one address, and against a port that another program may take while
// its process is down. Found by seed 603: a proxy to the store stood where a daemon was to listen.
func TestAddresses(t *testing.T) {
	f := newFleet(Options{})
	given := map[netip.AddrPort]bool{}
	for range 200 {
		addr, err := f.free()
		if err != nil {
			t.Fatal(err)
		}
		p, stop, err := f.proxy(addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		for _, a := range []netip.AddrPort{addr, p.Addr} {
			if given[a] {
				t.Errorf("%v is given twice", a)
			}
			given[a] = true
			if h := a.Addr(); !h.IsLoopback() || h == netip.MustParseAddr("127.0.0.1") {
				t.Errorf("%v is not the fleet's own", a)
			}
		}
	}
}

// TestProxyWhileProcessesStart guards against a proxy that cannot listen because a process that is being started still holds
// the listener with which its port was chosen.
func TestProxyWhileProcessesStart(t *testing.T) {
	f := newFleet(Options{})
	var starts errgroup.Group
	ended := make(chan struct{})
	for range 4 {
		starts.Go(func() error {
			for {
				select {
				case <-ended:
					return nil
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					return err
				}
			}
		})
	}
	for range 2000 {
		_, stop, err := f.proxy(netip.MustParseAddrPort("127.0.0.1:1"), nil)
		if err != nil {
			t.Error(err)
			break
		}
		stop()
	}
	close(ended)
	if err := starts.Wait(); err != nil {
		t.Error(err)
	}
}

// TestProxyEndsInSilence guards against a run that never ends because the proxy of a server that is replaced waits for the end of a
// daemon's silence, whose fault waits for the server.
func TestProxyEndsInSilence(t *testing.T) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const daemon = "this process"
	silent := &cuts{harms: map[string]Harm{daemon: Drop}, pids: func() map[string]int { return map[string]int{daemon: os.Getpid()} }}
	p, stop, err := newFleet(Options{}).proxy(netip.MustParseAddrPort(l.Addr().String()), silent)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", p.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := l.Accept(); err != nil { // the proxy passes the connection on
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if err := timer.Wait(t.Context(), 4*cutPeriod); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		stop()
		close(ended)
		return nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		silent.set(daemon, Clear)
		t.Error("the proxy has not ended")
	}
	_ = g.Wait() // its task returns no error
}
