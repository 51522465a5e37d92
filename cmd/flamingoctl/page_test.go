package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"flamingorudder.example/internal/timeline"
)

// fleetTrace is a made trace of 7 daemons and 50 runners: requests through all daemons, the loss of an instance with the
// forming of its group's next generation, a new revision, and a daemon that drains.
func fleetTrace() Trace {
	r := rand.New(rand.NewPCG(7, 50))
	const start, length = int64(1772611200_000000), int64(30_000000)
	t := Trace{Lost: map[string]uint64{"craigmhor-5": 3120}, Unread: map[string]string{"craigmhor-6": "GET /timeline: dial tcp: connection refused"}}
	add := func(at int64, e timeline.Event) {
		e.At = timeline.Stamp{Wall: start + at, Logical: uint32(len(t.Events))}
		t.Events = append(t.Events, e)
	}
	runner := func(i int) string {
		return fmt.Sprintf("%s-%d-%02d", []string{"stirling", "perth", "lanark"}[i%3], i/3%2+1, i/6+1)
	}
	group := func(i int) string { return "model-desk/" + runner(i) }
	daemon := func(i int) string { return fmt.Sprintf("craigmhor-%d", i+1) }
	for g := range 12 {
		add(int64(g)*40_000, timeline.Event{Proc: daemon(2), Kind: timeline.GroupFormed, Group: group(g), Generation: 1, Members: []string{runner(g), runner(g + 12), runner(g + 24), runner(g + 36)}, Token: 4})
		add(1_000_000+int64(g)*40_000, timeline.Event{Proc: daemon(g % 7), Kind: timeline.GroupServing, Group: group(g), Generation: 1})
	}
	add(0, timeline.Event{Proc: daemon(2), Kind: timeline.GroupFormed, Group: "model-desk/spare", Generation: 1, Members: []string{runner(48), runner(49)}, Token: 4})
	for i := range 700 {
		at, d, g := 1_500_000+r.Int64N(length-4_000_000), daemon(r.IntN(7)), r.IntN(12)
		id := fmt.Sprintf("%08x", r.Uint32())
		rank := []string{"live", "booking", "overnight"}[r.IntN(3)]
		add(at, timeline.Event{Proc: d, Kind: timeline.RequestAccepted, Request: id, Org: "tiree", Service: "model-desk", Rank: rank})
		if i%23 == 0 {
			add(at+300, timeline.Event{Proc: d, Kind: timeline.RequestRefused, Request: id, Reason: "deadline would pass before the answer"})
			continue
		}
		took := 300_000 + r.Int64N(1_800_000)
		add(at+900, timeline.Event{Proc: d, Kind: timeline.RequestStarted, Request: id, Group: group(g), Generation: 1})
		add(at+1_000, timeline.Event{Proc: d, Kind: timeline.AttemptSent, Request: id, Attempt: id + ".1", Group: group(g), Generation: 1, Instance: runner(g)})
		add(at+took, timeline.Event{Proc: d, Kind: timeline.AttemptEnded, Request: id, Attempt: id + ".1", Reason: "done"})
		add(at+took+200, timeline.Event{Proc: d, Kind: timeline.RequestAnswered, Request: id, Outcome: "run"})
	}
	add(12_000_000, timeline.Event{Proc: daemon(3), Kind: timeline.InstanceLost, Instance: runner(15), Reason: "3 probes failed"})
	add(12_000_400, timeline.Event{Proc: daemon(3), Kind: timeline.GroupStopped, Group: group(3), Generation: 1, Reason: "instance " + runner(15) + " is missing"})
	add(12_400_000, timeline.Event{Proc: daemon(2), Kind: timeline.GroupFormed, Group: group(3), Generation: 2, Members: []string{runner(3), runner(48), runner(27), runner(39)}, Token: 4})
	add(14_000_000, timeline.Event{Proc: daemon(3), Kind: timeline.GroupServing, Group: group(3), Generation: 2})
	add(20_000_000, timeline.Event{Proc: daemon(0), Kind: timeline.NoteAccepted, Revision: 5})
	for i := range 7 {
		add(20_050_000+int64(i)*40_000, timeline.Event{Proc: daemon(i), Kind: timeline.RevisionApplied, Revision: 5})
	}
	add(25_000_000, timeline.Event{Proc: daemon(6), Kind: timeline.ProcessDraining})
	t.Events = timeline.Merge(t.Events)
	return t
}

// Guards against a lane that is missing, attempts drawn over each other, or a text in an event that breaks out of the
// page. With PAGE=FILE in the environment the page is written to that file, to look at it in a browser.
func TestPage(t *testing.T) {
	trace := fleetTrace()
	d := layout(trace)
	runners := 0
	for _, l := range d.Lanes {
		if !l.Daemon {
			runners++
		}
	}
	if len(d.Lanes)-runners != 7 || runners != 50 {
		t.Errorf("%d lanes of daemons and %d of runners", len(d.Lanes)-runners, runners)
	}
	for i, a := range d.Spans {
		for _, b := range d.Spans[:i] {
			if a.Lane == b.Lane && a.Row == b.Row && a.From < b.To && b.From < a.To {
				t.Fatalf("attempts %s and %s are drawn over each other", a.Attempt, b.Attempt)
			}
		}
	}
	if file := os.Getenv("PAGE"); file != "" {
		if err := writePage(file, trace); err != nil {
			t.Fatal(err)
		}
	}
	var b bytes.Buffer
	trace.Events = append(trace.Events, timeline.Event{Proc: "x", Kind: timeline.StoreChanged, Reason: "</script><img src=x>"})
	if err := page(&b, trace); err != nil {
		t.Fatal(err)
	}
	if strings.Count(b.String(), "</script>") != 1 || strings.Contains(b.String(), "<img") {
		t.Error("a reason breaks out of the page's data")
	}
	for _, outside := range []string{"http://", "https://", "src=", "@import"} {
		if strings.Contains(pageText, outside) {
			t.Errorf("the page is not self-contained: %q", outside)
		}
	}
}

// Guards against marks or spans at the wrong time or lane, and attempts whose end is not known shown as ended.
func TestLayout(t *testing.T) {
	events := story()
	d := layout(Trace{Events: events[:len(events)-3]})
	goldie.New(t).AssertJson(t, "layout", d)
	if empty := layout(Trace{}); len(empty.Marks) != 0 {
		t.Errorf("marks of an empty trace: %v", empty.Marks)
	}
	many := make([]timeline.Event, pageEvents+7)
	if d := layout(Trace{Events: many}); d.Cut != 7 || len(d.Marks) != pageEvents {
		t.Errorf("%d marks, %d left out", len(d.Marks), d.Cut)
	}
}
