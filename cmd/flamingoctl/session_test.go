package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/sebdah/goldie/v2"
	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

type nobody struct{}

func (nobody) Send(netip.AddrPort, peer.Message) {}
func (nobody) Ask(context.Context, netip.AddrPort, peer.Message) (peer.Message, error) {
	return nil, nil
}

// member is one daemon of a session: the real configuration keeper behind the real operator interface.
type member struct {
	*config.Manager
	status operator.Status
	events operator.Events
	// dead refuses connections; lost makes so many calls take effect and lose their answer.
	dead bool
	lost int
	// catchUp is after how many status calls the daemon has the accepted revision in force; 0 means never.
	catchUp int
	mux     http.Handler
}

func (m *member) Status() operator.Status {
	if m.catchUp > 0 {
		if m.catchUp--; m.catchUp == 0 {
			if c, _, err := m.Head(context.Background()); err == nil {
				m.status.ReceivedRevision, m.status.AppliedRevision = c.Revision, c.Revision
			}
		}
	}
	return m.status
}
func (m *member) Events(uint64) operator.Events { return m.events }
func (m *member) Drain()                        { m.status.Leaving = true }

// session runs command lines against daemons in memory and keeps what an operator would see.
type session struct {
	t       *testing.T
	dir     string
	table   *standin.Table
	members map[string]*member
	ops     int
	log     bytes.Buffer
}

func addr(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9443", i)) }

func newSession(t *testing.T, daemons int) *session {
	s := &session{t: t, dir: t.TempDir(), table: &standin.Table{}, members: map[string]*member{}}
	var all []registry.Status
	for i := range daemons {
		all = append(all, registry.Status{Entry: registry.Entry{Name: fmt.Sprintf("craigmhor-%d", i+1), DataCentre: []string{"stirling", "perth", "lanark"}[i%3], OperatorAddr: addr(i + 1)}})
	}
	for i, d := range all {
		m := &member{status: operator.Status{Daemon: d.Name, Daemons: all}, events: operator.Events{Daemon: d.Name}}
		m.Manager = config.New(config.Deps{
			Table: s.table, Peers: nobody{}, LivePeers: func() []netip.AddrPort { return nil }, Log: hclog.NewNullLogger(),
			Timeline: timeline.NewLog(d.Name, 16), Random: rand.New(rand.NewPCG(1, 1)),
		})
		m.mux = operator.NewServer(m, http.NotFoundHandler())
		s.members[addr(i+1).String()] = m
	}
	return s
}

// RoundTrip serves a call without a socket.
func (s *session) RoundTrip(r *http.Request) (*http.Response, error) {
	m := s.members[r.URL.Host]
	if m == nil || m.dead {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	w := httptest.NewRecorder()
	m.mux.ServeHTTP(w, r)
	if m.lost > 0 {
		m.lost--
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection reset by peer")}
	}
	return w.Result(), nil
}

// write writes a file that the following command lines name.
func (s *session) write(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// note writes down what happens outside of the operator's view.
func (s *session) note(text string) { fmt.Fprintf(&s.log, "# %s\n", text) }

// run runs a command line and returns its exit code.
func (s *session) run(line string) int {
	var out, errs bytes.Buffer
	t := &tool{
		in: strings.NewReader("tiree-demo-key\n"), out: &out, err: &errs,
		connect: func(*cli.Command) (opener, error) {
			return func(a netip.AddrPort) (*operator.Client, func()) {
				return operator.NewClient("http://"+a.String(), s), func() {}
			}, nil
		},
		newOp: func() string {
			s.ops++
			return fmt.Sprintf("op-%d", s.ops)
		},
	}
	args := []string{"flamingoctl", "--daemon", "10.0.0.1:9443,10.0.0.2:9443"}
	for _, a := range strings.Fields(line) {
		if strings.HasSuffix(a, ".ini") || strings.HasSuffix(a, ".html") {
			a = filepath.Join(s.dir, a)
		}
		args = append(args, a)
	}
	code := exitCode(t.run(s.t.Context(), args))
	fmt.Fprintf(&s.log, "$ flamingoctl %s\n%s", line, out.String())
	for _, l := range strings.Split(strings.TrimSuffix(errs.String(), "\n"), "\n") {
		if l != "" {
			fmt.Fprintf(&s.log, "! %s\n", l)
		}
	}
	fmt.Fprintf(&s.log, "exit %d\n\n", code)
	return code
}

// want runs a command line that has to end with an exit code.
func (s *session) want(code int, line string) {
	s.t.Helper()
	if got := s.run(line); got != code {
		s.t.Errorf("%s: exit code %d, want %d", line, got, code)
	}
}

func (s *session) golden(name string) {
	s.t.Helper()
	text := strings.ReplaceAll(s.log.String(), s.dir+string(filepath.Separator), "")
	goldie.New(s.t).Assert(s.t, name, []byte(text))
}

const firstNote = `[note]
base = 0
about = first fleet

[added model-service model-desk]
model = hire-ledger-70b
version = 1
copies = 2
instances = 2
data-centres = stirling, perth

[added plain-service hire-ledger]
once = POST /bookings
repeatable = GET /bookings

[added organisation tiree]
keys = 06df19f8d582608e110209532a1c62f26a16ea09b36bed19f3199dd0a997715f
services = model-desk, hire-ledger

[added work desk]
service = model-desk
rank = live
deadline = 8s
floor = 0.2
`

const (
	moreCopies = "[note]\nbase = 1\nabout = one more copy\n\n[changed model-service model-desk]\ncopies = 3\n"
	longer     = "[note]\nbase = 1\nabout = longer deadline\n\n[changed work desk]\ndeadline = 9s\n"
	faulty     = "[note]\nbase = one\nabout = typing errors\n\n[changed work desk]\nrnak = live\ndeadline = 12\n\n[chnged work desk]\n"
	misled     = "[note]\nbase = 1\nabout = wrong names\n\n[changed work dsek]\nfloor = 0.1\n"
)

// Guards against a change of what operators read and scripts test in an ordinary session: check, plan, apply, wait,
// show, history, diff, key.
func TestSessionApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 3)
		s.write("first.ini", firstNote)
		s.write("more.ini", moreCopies)
		s.want(0, "check first.ini")
		s.want(0, "check --json first.ini")
		s.want(0, "plan first.ini")
		s.members["10.0.0.1:9443"].catchUp = 1
		s.members["10.0.0.2:9443"].catchUp = 2
		s.members["10.0.0.3:9443"].catchUp = 4
		s.want(0, "apply --wait first.ini")
		s.want(0, "plan more.ini")
		s.want(0, "apply --json more.ini")
		s.want(exitTimeout, "wait --limit 2s")
		s.want(0, "wait 1")
		s.want(0, "show")
		s.want(0, "show --json")
		s.want(0, "history")
		s.want(0, "history --json")
		s.want(0, "diff 1 2")
		s.want(0, "diff --json 2 1")
		s.want(0, "diff 2 2")
		s.want(0, "key")
		s.golden("apply")
	})
}

// Guards against an operator who overwrites another's note without having seen it.
func TestSessionConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 2)
		s.write("first.ini", firstNote)
		s.write("more.ini", moreCopies)
		s.write("longer.ini", longer)
		s.want(0, "apply first.ini")
		s.note("two operators write notes against revision 1")
		s.want(0, "apply more.ini")
		s.want(exitConflict, "apply longer.ini")
		s.want(exitConflict, "plan longer.ini")
		s.want(0, "diff 1 2")
		s.write("longer.ini", strings.Replace(longer, "base = 1", "base = 2", 1))
		s.want(0, "apply longer.ini")
		s.write("longer.ini", strings.Replace(longer, "base = 1", "base = 9", 1))
		s.want(exitConflict, "apply longer.ini")
		s.golden("conflict")
	})
}

// Guards against faults that are reported one at a time, and wrong input that gets the exit code of a failure.
func TestSessionFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 2)
		s.write("first.ini", firstNote)
		s.write("faulty.ini", faulty)
		s.write("misled.ini", misled)
		s.want(0, "apply first.ini")
		s.want(exitInput, "check faulty.ini")
		s.want(exitInput, "check --json faulty.ini")
		s.want(exitInput, "apply faulty.ini")
		s.want(0, "check misled.ini")
		s.want(exitInput, "apply misled.ini")
		for _, line := range []string{"check", "check missing.ini", "diff 1", "diff 1 x", "diff 1 9", "apply --wiat first.ini", "wait soon", "timeline --since yesterday", "--daemon here status"} {
			s.want(exitInput, line)
		}
		s.golden("faults")
	})
}

// Guards against a lost answer that makes a note be accepted twice, be reported as refused although it was accepted, or
// leave the operator without a way to learn the outcome.
func TestSessionLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 2)
		s.write("first.ini", firstNote)
		s.write("more.ini", moreCopies)
		s.write("longer.ini", longer)
		one, two := s.members["10.0.0.1:9443"], s.members["10.0.0.2:9443"]
		s.note("the answer of daemon 1 is lost; daemon 2 finds the note accepted")
		one.lost = 1
		s.want(0, "apply first.ini")
		s.note("daemon 1 is down")
		one.dead = true
		s.want(0, "history")
		s.note("both daemons are down: certainly not accepted")
		two.dead = true
		s.want(exitFailed, "apply more.ini")
		one.dead, two.dead = false, false
		s.note("the platform does not answer: certainly not accepted")
		s.table.Set(standin.TableFaults{Down: true})
		s.want(exitFailed, "apply more.ini")
		s.table.Set(standin.TableFaults{})
		s.note("the platform loses the answer of the transaction and stays down")
		s.table.Set(standin.TableFaults{LoseAfter: 1, DownAfterLoss: true})
		s.want(exitUnknown, "apply --limit 4s more.ini")
		s.note("the platform is back")
		s.table.Set(standin.TableFaults{})
		s.want(0, "apply --operation op-4 more.ini")
		s.want(0, "history")
		s.golden("lost")
	})
}

// Guards against a status that hides daemons that lag or do not answer, groups without proof, missing copies or
// stranded accelerators.
func TestSessionStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 4)
		s.write("first.ini", firstNote)
		s.write("more.ini", moreCopies)
		s.want(0, "apply first.ini")
		s.note("daemon 3 lags, daemon 4 is down, daemon 5 has left the platform's list, daemon 6 is known by its messages only")
		all := s.members["10.0.0.1:9443"].status.Daemons
		all = append(all, registry.Status{Entry: registry.Entry{Name: "craigmhor-5", DataCentre: "perth"}, Absent: true},
			registry.Status{Entry: registry.Entry{Name: "craigmhor-6", DataCentre: "lanark"}, Revision: 1})
		for i := range 2 {
			m := s.members[addr(i+1).String()]
			m.status.Daemons, m.status.ReceivedRevision, m.status.AppliedRevision = all, 1, 1
			m.status.MissingCopies, m.status.StrandedAccelerators = map[string]int{"model-desk": 1}, map[string]int{"stirling-1": 8, "perth-1": 16}
			g1 := operator.Group{Service: "model-desk", Group: "model-desk/stirling-1-01", Generation: 2, State: "serving", DataCentre: "stirling", Domain: "stirling-1", Members: []string{"stirling-1-01", "stirling-1-02"}, Present: i == 1}
			g2 := operator.Group{Service: "model-desk", Group: "model-desk/perth-1-01", Generation: uint64(i + 1), State: []string{"serving", "broken"}[i], DataCentre: "perth", Domain: "perth-1", Members: []string{"perth-1-01", "perth-1-02"}}
			m.status.Groups = []operator.Group{g1, g2}
		}
		s.members["10.0.0.4:9443"].dead = true
		s.want(0, "status")
		s.want(0, "status --json")
		s.want(0, "drain craigmhor-2")
		s.want(0, "drain 10.0.0.3:9443")
		s.want(exitInput, "drain craigmhor-6")
		s.want(exitInput, "drain craigmhor-9")
		s.note("the platform is down")
		s.table.Set(standin.TableFaults{Down: true})
		s.want(0, "status")
		s.note("daemon 2 is down and its operator address is not known: it counts once, under its name")
		s.table.Set(standin.TableFaults{})
		s.members["10.0.0.2:9443"].dead = true
		for i := range all {
			all[i].OperatorAddr = netip.AddrPort{}
		}
		s.want(0, "status")
		s.want(exitTimeout, "wait --limit 1s 1")
		s.note("daemons 2 to 4 were leaving and have ended: nobody waits for them")
		for i := range 3 {
			all[i+1].Leaving = true
		}
		s.want(0, "wait --limit 1s 1")
		s.golden("status")
	})
}

// Guards against a request's story with a decision or its reason missing, events out of order between daemons, and
// lost events that are passed over.
func TestSessionTimeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, 4)
		for _, m := range s.members {
			m.events = operator.Events{Daemon: m.status.Daemon}
		}
		for _, e := range story() {
			for _, m := range s.members {
				if m.status.Daemon == e.Proc {
					m.events.Events = append(m.events.Events, e)
					m.events.Next++
				}
			}
		}
		s.members["10.0.0.2:9443"].events.Lost = 12
		s.members["10.0.0.2:9443"].events.Next += 12
		s.members["10.0.0.4:9443"].dead = true
		s.want(0, "timeline")
		s.want(0, "timeline --request 7f3c")
		s.want(0, "timeline --json --request 9d52")
		s.want(0, "timeline --service model-desk")
		s.want(0, "timeline --group model-desk/stirling-1-01")
		s.want(0, "timeline --instance perth-1-01")
		s.want(0, "timeline --revision 2")
		s.want(0, "timeline --since 2026-03-04T08:00:00.3Z --until 2026-03-04T08:00:00.5Z")
		s.want(0, "timeline --html trace.html")
		s.golden("timeline")
	})
}

// story is a made trace of two requests, one of which meets the loss of a group.
func story() []timeline.Event {
	start := int64(1772611200_000000) // 2026-03-04 08:00:00 UTC
	const g1, g2 = "model-desk/stirling-1-01", "model-desk/perth-1-01"
	list := []timeline.Event{
		{Proc: "craigmhor-1", Kind: timeline.ProcessStarted},
		{Proc: "craigmhor-2", Kind: timeline.NoteAccepted, Revision: 2},
		{Proc: "craigmhor-2", Kind: timeline.RevisionApplied, Revision: 2},
		{Proc: "craigmhor-1", Kind: timeline.RevisionReceived, Revision: 2},
		{Proc: "craigmhor-1", Kind: timeline.RevisionApplied, Revision: 2},
		{Proc: "craigmhor-3", Kind: timeline.LeaseAcquired, Service: "model-desk", Token: 4},
		{Proc: "craigmhor-3", Kind: timeline.GroupFormed, Group: g2, Generation: 1, Members: []string{"perth-1-01", "perth-1-02"}, Token: 4},
		{Proc: "craigmhor-1", Kind: timeline.RequestAccepted, Request: "7f3c", Org: "tiree", Service: "model-desk", Rank: "live"},
		{Proc: "craigmhor-1", Kind: timeline.RequestStarted, Request: "7f3c", Group: g1, Generation: 2},
		{Proc: "craigmhor-1", Kind: timeline.AttemptSent, Request: "7f3c", Attempt: "7f3c.1", Group: g1, Generation: 2, Instance: "stirling-1-01"},
		{Proc: "craigmhor-3", Kind: timeline.InstanceLost, Instance: "stirling-1-02", Reason: "3 probes failed"},
		{Proc: "craigmhor-3", Kind: timeline.GroupStopped, Group: g1, Generation: 2, Reason: "instance stirling-1-02 is missing"},
		{Proc: "craigmhor-1", Kind: timeline.AttemptEnded, Request: "7f3c", Attempt: "7f3c.1", Reason: "refused: generation"},
		{Proc: "craigmhor-1", Kind: timeline.RequestStarted, Request: "7f3c", Group: g2, Generation: 1},
		{Proc: "craigmhor-1", Kind: timeline.AttemptSent, Request: "7f3c", Attempt: "7f3c.2", Group: g2, Generation: 1, Instance: "perth-1-01"},
		{Proc: "craigmhor-2", Kind: timeline.RequestAccepted, Request: "9d52", Org: "skye", Service: "model-desk", Rank: "overnight"},
		{Proc: "craigmhor-2", Kind: timeline.RequestRefused, Request: "9d52", Reason: "deadline would pass before the answer"},
		{Proc: "craigmhor-1", Kind: timeline.StreamResumed, Request: "7f3c", Attempt: "7f3c.2", Reason: "stream was silent"},
		{Proc: "craigmhor-1", Kind: timeline.AttemptEnded, Request: "7f3c", Attempt: "7f3c.2", Reason: "done"},
		{Proc: "craigmhor-1", Kind: timeline.RequestAnswered, Request: "7f3c", Outcome: "run"},
		{Proc: "craigmhor-2", Kind: timeline.ProcessDraining},
	}
	for i := range list {
		// Pairs share their physical time, so that the count decides their order.
		list[i].At = timeline.Stamp{Wall: start + int64(i/2)*50_000, Logical: uint32(i % 2)}
	}
	return list
}

// Guards against a command without an example in its help, and exit codes that the help does not list.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	root := (&tool{out: &out, err: &out}).command()
	for _, c := range root.Commands {
		if !strings.Contains(c.Description, "Example") || !strings.Contains(c.Description, "  flamingoctl ") {
			t.Errorf("help of %s has no example", c.Name)
		}
	}
	if err := root.Run(t.Context(), []string{"flamingoctl", "--help"}); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"0 done", "3 conflict", "5 timed out", "timeline"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("help does not mention %q:\n%s", part, out.String())
		}
	}
}

// Guards against a fold that differs from the configuration that the daemons keep.
func TestFold(t *testing.T) {
	past := []config.HistoryEntry{{Revision: 1, Text: firstNote}, {Revision: 2, Text: moreCopies}}
	c, err := fold(past, 2)
	if err != nil || c.Revision != 2 || c.ModelServices["model-desk"].Copies != 3 {
		t.Errorf("folded to %+v, error %v", c, err)
	}
	if c, err = fold(past, 0); err != nil || len(note.Diff(note.Config{}, c)) != 0 {
		t.Errorf("revision 0 is %+v, error %v", c, err)
	}
}
