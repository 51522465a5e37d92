package soak

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/netip"
	"os/exec"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
)

var t0 = time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func ask(id string, k Kind) fakeplatform.Ask {
	a := fakeplatform.Ask{ID: id, Method: "GET", Path: "/" + id, Body: []byte("b"), Left: callerLimit}
	if k == Write {
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
		{"lost beside a fault", "", func(a *Audit) {
			a.Trouble(at(-2*time.Second), "")(at(-time.Second))
			a.Sent(t0, ask("r", Read), Read, "north", "d#1", 0)
			a.Event(ran("s", "r", Read))
			a.Answered(at(time.Second), "r", fakeplatform.Reply{Err: io.ErrUnexpectedEOF})
			a.Lost()
		}},
		{"left by its daemon in a silence, never taken up again", "planned work loses nothing", func(a *Audit) { untilLimit(a, at(time.Second)) }},
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
	drawn := map[Fault]int{}
	for i := range uint64(60) {
		seed := i%20 + i/20*firstOfAll
		plan := Plan(seed, 20*time.Second, 4, 10)
		if again := Plan(seed, 20*time.Second, 4, 10); !reflect.DeepEqual(plan, again) {
			t.Errorf("seed %d gives two plans", seed)
		}
		for _, s := range plan {
			drawn[s.Fault]++
			if s.Target < 0 || s.Target >= 10 || s.For < 0 || s.For > longest[s.Fault] || s.Harm > Dumb {
				t.Errorf("seed %d: %v", seed, s)
			}
		}
	}
	for f := range faults {
		if drawn[f] == 0 {
			t.Errorf("no %s in 20 seeds", f)
		}
	}
	// A sound server's entry stays while it is silent.
	if 3*longBeat-longBeat <= silence {
		t.Errorf("an entry that is renewed every %v may lapse in a silence of %v", longBeat, silence)
	}
	// Seeds of before firstOfAll give what they gave.
	h := fnv.New32a()
	for _, s := range Plan(731, 6*time.Second, 4, 10) {
		_, _ = fmt.Fprintln(h, s)
	}
	if got := h.Sum32(); got != 0xeff47785 {
		t.Errorf("the plan of seed 731 has another sum: %#x", got)
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
