package audit

import (
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func event(d time.Duration, proc string, k timeline.Kind, set func(*timeline.Event)) timeline.Event {
	e := timeline.Event{At: timeline.Stamp{Wall: at(d).UnixMicro()}, Proc: proc, Kind: k}
	if set != nil {
		set(&e)
	}
	return e
}

func form(d time.Duration, group string, generation uint64, members ...string) timeline.Event {
	return event(d, "d1", timeline.GroupFormed, func(e *timeline.Event) { e.Group, e.Generation, e.Members = group, generation, members })
}

// validTrace returns a trace that covers every guarantee and violates none.
func validTrace() Trace {
	var t Trace
	for _, p := range []string{"d1", "d2"} {
		t.Events = append(t.Events, event(0, p, timeline.ProcessStarted, nil))
		for n := range uint64(2) {
			apply := func(e *timeline.Event) { e.Revision = n + 1 }
			if p == "d1" {
				t.Events = append(t.Events, event(time.Duration(n+1)*time.Second, p, timeline.NoteAccepted, apply))
			}
			t.Events = append(t.Events, event(time.Duration(n+1)*time.Second+time.Millisecond, p, timeline.RevisionApplied, apply))
		}
		t.Events = append(t.Events, event(time.Minute, p, timeline.ProcessDraining, nil))
	}
	t.Events = append(t.Events, form(time.Second, "g1", 1, "a", "b"), form(time.Second, "g2", 1, "c", "d"))
	for i, m := range []string{"a", "b"} {
		t.Record.Spans = append(t.Record.Spans, standin.Span{Instance: m, Group: "g1", Generation: 1, Index: i, Start: at(2 * time.Second)})
	}
	t.Events = append(t.Events, event(5*time.Second, "d1", timeline.AttemptSent, func(e *timeline.Event) { e.Request, e.Attempt, e.Group, e.Generation = "r1", "r1.1", "g1", 1 }))
	t.Events = append(t.Events, event(10*time.Second, "d1", timeline.InstanceLeaving, func(e *timeline.Event) { e.Instance = "a" }))
	t.Record.Runs = []standin.Run{
		{Attempt: "r1.1", Instance: "a", Group: "g1", Generation: 1, Start: at(5 * time.Second), End: at(5500 * time.Millisecond), Ended: standin.EndDone, Tokens: 8},
		{Attempt: "r2.1", Instance: "p1", Start: at(6 * time.Second), Key: "k1"},
		{Attempt: "r4.1", Instance: "a", Group: "g1", Generation: 1, Start: at(12 * time.Second)},
	}
	t.Answers = []Answer{
		{Request: "r1", Daemon: "d1", Status: 200, Outcome: caller.Run, Complete: true, OwnContent: true},
		{Request: "r2", Daemon: "d2", Org: "tiree", Status: 200, Outcome: caller.Run, AtMostOnce: true, Key: "k1", Complete: true, OwnContent: true},
		{Request: "r3", Daemon: "d2", Status: 429, Outcome: caller.NotRun},
		{Request: "r4", Daemon: "d1", Status: 200, Outcome: caller.Run, Complete: true, OwnContent: true},
	}
	return t
}

// Guards against an audit that reports violations in a valid trace, or that skips a guarantee.
func TestCleanTrace(t *testing.T) {
	r := Check(validTrace(), Targets)
	if len(r.Violations) > 0 {
		t.Fatal(r)
	}
	for p := 1; p <= 8; p++ {
		if r.Checked[p] == 0 {
			t.Errorf("promise %d was not checked", p)
		}
	}
}

// Guards against an audit that misses a violation: each case changes the valid trace so that it violates one guarantee.
func TestBrokenTraceIsCaught(t *testing.T) {
	cases := []struct {
		promise int
		name    string
		corrupt func(*Trace)
	}{
		{1, "member unloaded before the run", func(t *Trace) { t.Record.Spans[1].End = at(4 * time.Second) }},
		{1, "finished after a member was lost", func(t *Trace) {
			t.Record.Spans[1].End = at(6 * time.Second)
			t.Record.Runs[0].Ended, t.Record.Runs[0].End = standin.EndDone, at(7*time.Second)
			t.Record.Runs = t.Record.Runs[:2]
		}},
		{1, "sent long after a member was lost", func(t *Trace) {
			t.Record.Spans[1].End = at(7 * time.Second)
			t.Record.Runs = t.Record.Runs[:2]
			t.Events = append(t.Events, event(10*time.Second+time.Millisecond, "d2", timeline.AttemptSent, func(e *timeline.Event) { e.Attempt, e.Group, e.Generation = "r9.1", "g1", 1 }))
		}},
		{1, "token given after a member was lost, though the run failed", func(t *Trace) {
			t.Record.Spans[1].End = at(4 * time.Second)
			t.Record.Runs[0].Ended, t.Record.Runs[0].Tokens = standin.EndLost, 1
			t.Record.Runs = t.Record.Runs[:2]
		}},
		{1, "member never loaded", func(t *Trace) { t.Record.Spans = t.Record.Spans[:1] }},
		{1, "generation that no daemon formed", func(t *Trace) { t.Record.Runs[0].Generation = 9 }},
		{2, "claimed by two groups", func(t *Trace) { t.Events = append(t.Events, form(3*time.Second, "g2", 2, "b", "c")) }},
		{2, "loaded for two groups", func(t *Trace) {
			t.Record.Spans = append(t.Record.Spans, standin.Span{Instance: "b", Group: "g2", Generation: 1, Start: at(20 * time.Second)})
		}},
		{3, "content of another request", func(t *Trace) { t.Answers[0].OwnContent = false }},
		{3, "incomplete response", func(t *Trace) { t.Answers[0].Complete = false }},
		{4, "reported as not run, but run", func(t *Trace) {
			t.Record.Runs = append(t.Record.Runs, standin.Run{Attempt: "r3.1", Instance: "p1", Start: at(time.Second)})
		}},
		{4, "reported as not run in a daemon event, but run", func(t *Trace) {
			t.Events = append(t.Events, event(7*time.Second, "d1", timeline.RequestAnswered, func(e *timeline.Event) { e.Request, e.Outcome = "r1", "not-run" }))
		}},
		{5, "second attempt of a call that must run at most once", func(t *Trace) {
			t.Record.Runs = append(t.Record.Runs, standin.Run{Attempt: "r2.2", Instance: "p2", Start: at(7 * time.Second)})
		}},
		{5, "second call with the same idempotency key", func(t *Trace) {
			t.Answers = append(t.Answers, Answer{Request: "r5", Daemon: "d1", Org: "tiree", Status: 200, Outcome: caller.Run, AtMostOnce: true, Key: "k1", Complete: true, OwnContent: true})
			t.Record.Runs = append(t.Record.Runs, standin.Run{Attempt: "r5.1", Instance: "p2", Start: at(8 * time.Second)})
		}},
		{6, "new work for a leaving member", func(t *Trace) { t.Record.Runs[2].Start = at(13*time.Second + time.Millisecond) }},
		{7, "connection cut off by a graceful stop", func(t *Trace) { t.Answers[0].Broken = true }},
		{8, "revision went back", func(t *Trace) {
			t.Events = append(t.Events, event(9*time.Second, "d2", timeline.RevisionApplied, func(e *timeline.Event) { e.Revision = 1 }))
		}},
		{8, "revision not applied in time", func(t *Trace) {
			t.Events = slices.DeleteFunc(t.Events, func(e timeline.Event) bool {
				return e.Proc == "d2" && e.Kind == timeline.RevisionApplied && e.Revision == 2
			})
		}},
	}
	for _, c := range cases {
		tr := validTrace()
		c.corrupt(&tr)
		r := Check(tr, Targets)
		if len(r.Violations) == 0 {
			t.Errorf("%s: no violation reported", c.name)
		}
		for _, v := range r.Violations {
			if v.Promise != c.promise {
				t.Errorf("%s: got violation %v, want one of promise %d", c.name, v, c.promise)
			}
		}
	}
}

// Guards against false positives: runs that member 0 started after a loss that it had not detected and then failed, shortly
// after the loss or later but without a token; a member that is released before another group claims it; and a connection
// that broke because the run killed the daemon.
func TestAllowedTraces(t *testing.T) {
	tr := validTrace()
	tr.Events = append(tr.Events,
		event(15*time.Second, "d1", timeline.GroupReleased, func(e *timeline.Event) { e.Group, e.Generation, e.Members = "g1", 1, []string{"a", "b"} }),
		form(16*time.Second, "g2", 2, "b", "c"))
	tr.Record.Spans[1].End = at(12*time.Second - 500*time.Millisecond)
	tr.Record.Runs[2].Ended, tr.Record.Runs[2].Tokens = standin.EndLost, 2
	tr.Record.Runs = append(tr.Record.Runs, standin.Run{Attempt: "r1.2", Instance: "a", Group: "g1", Generation: 1, Start: at(12800 * time.Millisecond), End: at(12800 * time.Millisecond), Ended: standin.EndLost})
	tr.Killed = []string{"d1"}
	tr.Answers[0].Broken, tr.Answers[0].Complete = true, false
	if r := Check(tr, Targets); len(r.Violations) > 0 {
		t.Fatal(r)
	}
}
