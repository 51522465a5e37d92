// Package audit checks after a run whether the system kept its guarantees (docs/design.md, section 2, where they are called
// promises).
//
// It compares three independent records: the events that the daemons recorded, the requests that the simulated backends
// ran, and the responses that the callers received. Each check uses only the records that its guarantee needs. A guarantee
// whose records are missing from the trace is reported as not checked, never as kept.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

// Answer is the result of one request as its caller saw it.
type Answer struct {
	// Request is the X-Request-Id of the response, or empty if there was no response.
	Request string         `json:"request"`
	Daemon  string         `json:"daemon"`
	Org     string         `json:"org"`
	Work    string         `json:"work"`
	Status  int            `json:"status"`
	Outcome caller.Outcome `json:"outcome"`
	// Replayed tells whether the response repeats the recorded outcome of an earlier call.
	Replayed bool `json:"replayed,omitempty"`
	// Key is the idempotency key that was sent. AtMostOnce tells whether the call must run at most once.
	Key        string `json:"key,omitempty"`
	AtMostOnce bool   `json:"once,omitempty"`
	// Complete tells whether the response is complete, OwnContent whether its content belongs to this request.
	Complete   bool `json:"whole"`
	OwnContent bool `json:"own"`
	// Broken tells whether the connection ended before the response did.
	Broken bool      `json:"broken,omitempty"`
	Sent   time.Time `json:"sent"`
	Done   time.Time `json:"done"`
}

// Trace holds the records of a run.
type Trace struct {
	// Events holds the events of all daemons. LostEvents counts the events that were overwritten before they were read.
	Events     []timeline.Event `json:"events"`
	LostEvents uint64           `json:"lost"`
	Record     standin.Record   `json:"record"`
	Answers    []Answer         `json:"answers"`
	// Killed lists the daemons that the run killed or disconnected; their open connections may break.
	Killed []string `json:"killed,omitempty"`
}

// Limits are the durations that the guarantees allow.
type Limits struct {
	// LossDetection is how long member 0 of a group may take to detect that a member is lost. Until then it accepts requests, but must
	// not complete them.
	LossDetection time.Duration
	// SendAfterLoss is how long after the loss of a member daemons may still send requests to the group.
	SendAfterLoss time.Duration
	// StartAfterNotice is how long a leaving backend server may still start new work after a daemon saw its notice.
	StartAfterNotice time.Duration
	// RevisionApply is how long it may take until every daemon has applied an accepted revision.
	RevisionApply time.Duration
}

// Targets are the limits of the design.
var Targets = Limits{LossDetection: 600 * time.Millisecond, SendAfterLoss: 3 * time.Second, StartAfterNotice: 3 * time.Second, RevisionApply: 2 * time.Second}

// Violation is a violation of a guarantee.
type Violation struct {
	// Promise is the number of the guarantee in docs/design.md.
	Promise int `json:"promise"`
	// Subject is the request, instance, group or daemon concerned.
	Subject string `json:"subject"`
	Text    string `json:"text"`
	// Events are the events that prove the violation.
	Events []timeline.Event `json:"events,omitempty"`
}

func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "promise %d, %s: %s", v.Promise, v.Subject, v.Text)
	for _, e := range v.Events {
		fmt.Fprintf(&b, "\n    %s %s %s %s", e.At.Time().UTC().Format("15:04:05.000000"), e.Proc, e.Kind, details(e))
	}
	return b.String()
}

func details(e timeline.Event) string {
	var parts []string
	for _, f := range []struct{ name, value string }{
		{"request", e.Request},
		{"attempt", e.Attempt},
		{"group", e.Group},
		{"instance", e.Instance},
		{"service", e.Service},
		{"outcome", e.Outcome},
		{"reason", e.Reason},
	} {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if e.Generation > 0 {
		parts = append(parts, fmt.Sprintf("generation=%d", e.Generation))
	}
	if e.Revision > 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", e.Revision))
	}
	return strings.Join(parts, " ")
}

// Report is the result of an audit.
type Report struct {
	Violations []Violation `json:"violations"`
	// Checked counts the cases checked, by the number of the guarantee. Index 0 is unused. A guarantee with 0 cases was not
	// checked.
	Checked    [9]int `json:"checked"`
	LostEvents uint64 `json:"lost"`
}

func (r Report) String() string {
	var b strings.Builder
	for p := 1; p < len(r.Checked); p++ {
		violations := 0
		for _, v := range r.Violations {
			if v.Promise == p {
				violations++
			}
		}
		verdict := "kept"
		switch {
		case violations > 0:
			verdict = fmt.Sprintf("BROKEN %d times", violations)
		case r.Checked[p] == 0:
			verdict = "not checked, the trace holds nothing about it"
		}
		fmt.Fprintf(&b, "promise %d (%s): %s, %d checked\n", p, titles[p], verdict, r.Checked[p])
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&b, v)
	}
	if r.LostEvents > 0 {
		fmt.Fprintf(&b, "%d events were overwritten before they were read; what they show is not checked\n", r.LostEvents)
	}
	return b.String()
}

var titles = [9]string{
	1: "groups serve only whole",
	2: "an instance is in one group",
	3: "whole answers to their own callers",
	4: "not run means not run",
	5: "at most once",
	6: "nothing new for leaving backend servers",
	7: "graceful shutdown cuts off nothing",
	8: "configuration in force and never back",
}

// Check audits a trace.
func Check(t Trace, l Limits) Report {
	t.Events = timeline.Merge(t.Events)
	r := Report{LostEvents: t.LostEvents}
	for _, check := range []func(Trace, Limits, *Report){checkWholeGroups, checkLateSends, checkSingleGroup, checkAnswers, checkNotRun, checkAtMostOnce, checkLeaving, checkGraceful, checkRevisions} {
		check(t, l, &r)
	}
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.Promise, b.Promise) })
	return r
}

func (r *Report) addViolation(promise int, subject, text string, events ...timeline.Event) {
	r.Violations = append(r.Violations, Violation{Promise: promise, Subject: subject, Text: text, Events: events})
}

// generation identifies one generation of a group.
type generation struct {
	group  string
	number uint64
}

// formEvents returns the Form event of each generation.
func formEvents(t Trace) map[generation]timeline.Event {
	out := map[generation]timeline.Event{}
	for _, e := range t.Events {
		if e.Kind == timeline.GroupFormed {
			out[generation{e.Group, e.Generation}] = e
		}
	}
	return out
}

// loadedAt reports whether an instance was loaded at a time, according to one span.
func loadedAt(s standin.Span, at time.Time) bool {
	return !s.Start.After(at) && (s.End.IsZero() || !s.End.Before(at))
}

// checkWholeGroups checks that each run on a group started while every member was loaded for the same generation, and that this
// was still so at the end of every run that completed. A run may start within Limits.LossDetection after the loss of a member, but
// then it must fail. A run that failed without producing a token is ignored: a member 0 that resumes after a pause starts
// the requests that are buffered in its connections and drops them when it detects that its members are lost.
func checkWholeGroups(t Trace, l Limits, r *Report) {
	formed := formEvents(t)
	spans := map[generation]map[string][]standin.Span{}
	for _, s := range t.Record.Spans {
		g := generation{s.Group, s.Generation}
		if spans[g] == nil {
			spans[g] = map[string][]standin.Span{}
		}
		spans[g][s.Instance] = append(spans[g][s.Instance], s)
	}
	for _, run := range t.Record.Runs {
		if run.Group == "" || run.Ended == standin.EndLost && run.Tokens == 0 {
			continue
		}
		g := generation{run.Group, run.Generation}
		form, ok := formed[g]
		if !ok {
			if t.LostEvents == 0 {
				r.Checked[1]++
				r.addViolation(1, run.Attempt, fmt.Sprintf("ran on %s generation %d, which no daemon formed", g.group, g.number))
			}
			continue
		}
		r.Checked[1]++
		for _, m := range form.Members {
			loaded := func(at time.Time, tolerance time.Duration) bool {
				return slices.ContainsFunc(spans[g][m], func(s standin.Span) bool {
					return !s.Start.After(at) && (s.End.IsZero() || !s.End.Add(tolerance).Before(at))
				})
			}
			tolerance := time.Duration(0)
			if run.Ended != "" && run.Ended != standin.EndDone {
				tolerance = l.LossDetection
			}
			switch {
			case !loaded(run.Start, tolerance):
				r.addViolation(1, run.Attempt, fmt.Sprintf("started on %s generation %d while its member %s was not loaded for it", g.group, g.number, m), form)
			case run.Ended == standin.EndDone && !loaded(run.End, l.LossDetection):
				r.addViolation(1, run.Attempt, fmt.Sprintf("was finished by %s generation %d after its member %s was lost", g.group, g.number, m), form)
			}
		}
	}
}

// checkLateSends checks that no daemon sent a request to a generation more than Limits.SendAfterLoss after the loss of a member.
func checkLateSends(t Trace, l Limits, r *Report) {
	lost := map[generation]standin.Span{}
	for _, s := range t.Record.Spans {
		g := generation{s.Group, s.Generation}
		if previous, ok := lost[g]; !s.End.IsZero() && (!ok || s.End.Before(previous.End)) {
			lost[g] = s
		}
	}
	for _, e := range t.Events {
		if e.Kind != timeline.AttemptSent || e.Group == "" {
			continue
		}
		r.Checked[1]++
		s, ok := lost[generation{e.Group, e.Generation}]
		if late := e.At.Time().Sub(s.End); ok && late > l.SendAfterLoss {
			r.addViolation(1, e.Attempt, fmt.Sprintf("was sent to %s generation %d %v after its member %s was lost, %v are allowed", e.Group, e.Generation, late.Round(time.Millisecond), s.Instance, l.SendAfterLoss), e)
		}
	}
}

// checkSingleGroup checks that no instance was claimed for a group while it belonged to another group, and that no instance was
// loaded for two groups or generations at the same time.
func checkSingleGroup(t Trace, _ Limits, r *Report) {
	claims := map[string]timeline.Event{}
	for _, e := range t.Events {
		switch e.Kind {
		case timeline.GroupFormed:
			// A new generation replaces the previous one of the group and releases the members that are not part of it.
			for m, previous := range claims {
				if previous.Group == e.Group && previous.Generation < e.Generation {
					delete(claims, m)
				}
			}
			for _, m := range e.Members {
				r.Checked[2]++
				if previous, ok := claims[m]; ok && previous.Group != e.Group {
					r.addViolation(2, m, fmt.Sprintf("was claimed for %s while it belonged to %s", e.Group, previous.Group), previous, e)
				}
				claims[m] = e
			}
		case timeline.GroupReleased:
			for _, m := range e.Members {
				if previous, ok := claims[m]; ok && previous.Group == e.Group && previous.Generation <= e.Generation {
					delete(claims, m)
				}
			}
		}
	}
	last := map[string]standin.Span{}
	spans := slices.Clone(t.Record.Spans)
	slices.SortStableFunc(spans, func(a, b standin.Span) int { return a.Start.Compare(b.Start) })
	for _, s := range spans {
		if previous, ok := last[s.Instance]; ok && (previous.Group != s.Group || previous.Generation != s.Generation) && loadedAt(previous, s.Start) && !previous.End.Equal(s.Start) {
			r.addViolation(2, s.Instance, fmt.Sprintf("was loaded for %s generation %d and %s generation %d at once", previous.Group, previous.Generation, s.Group, s.Generation))
		}
		last[s.Instance] = s
	}
}

// checkAnswers checks that every response with status 200 has the content of its own request and, if it was reported as run
// and the connection did not break, is complete.
func checkAnswers(t Trace, _ Limits, r *Report) {
	for _, a := range t.Answers {
		if a.Status != 200 {
			continue
		}
		r.Checked[3]++
		if !a.OwnContent {
			r.addViolation(3, a.Request, fmt.Sprintf("caller of %s (%s) received the content of another request", a.Org, a.Work), requestEvents(t, a.Request)...)
		}
		if !a.Complete && !a.Broken && a.Outcome == caller.Run {
			r.addViolation(3, a.Request, fmt.Sprintf("caller of %s (%s) received an incomplete response", a.Org, a.Work), requestEvents(t, a.Request)...)
		}
	}
}

// requestEvents returns the events of a request, or none if the request is empty.
func requestEvents(t Trace, request string) []timeline.Event {
	var out []timeline.Event
	for _, e := range t.Events {
		if request != "" && e.Request == request {
			out = append(out, e)
		}
	}
	return out
}

// requestOf returns the request of an attempt. Attempt IDs have the form REQUEST.NUMBER.
func requestOf(attempt string) string {
	if i := strings.LastIndexByte(attempt, '.'); i >= 0 {
		return attempt[:i]
	}
	return attempt
}

// checkNotRun checks that no backend ran a request that was reported as not run, be it to the caller or in a daemon event.
func checkNotRun(t Trace, _ Limits, r *Report) {
	ran := map[string]standin.Run{}
	for _, run := range t.Record.Runs {
		ran[requestOf(run.Attempt)] = run
	}
	reported := map[string]bool{}
	for _, a := range t.Answers {
		if a.Outcome == caller.NotRun && a.Request != "" {
			reported[a.Request] = true
		}
	}
	for _, e := range t.Events {
		if e.Kind == timeline.RequestAnswered && e.Outcome == string(caller.NotRun) {
			reported[e.Request] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(reported)) {
		r.Checked[4]++
		if run, ok := ran[id]; ok {
			r.addViolation(4, id, fmt.Sprintf("was reported as not run, but %s ran attempt %s", run.Instance, run.Attempt), requestEvents(t, id)...)
		}
	}
}

// checkAtMostOnce checks that calls that must run at most once did so, counted by idempotency key, or by request if there is none.
func checkAtMostOnce(t Trace, _ Limits, r *Report) {
	onceRequest, keyOf := map[string]bool{}, map[string]string{}
	for _, a := range t.Answers {
		if !a.AtMostOnce {
			continue
		}
		onceRequest[a.Request] = true
		if a.Key != "" && a.Request != "" {
			keyOf[a.Request] = a.Org + "/" + a.Key
		}
	}
	runs := map[string][]string{}
	for _, run := range t.Record.Runs {
		id := requestOf(run.Attempt)
		if run.Group != "" || !onceRequest[id] {
			continue
		}
		name := "request " + id
		if k, ok := keyOf[id]; ok {
			name = "key " + k
		}
		runs[name] = append(runs[name], run.Attempt)
	}
	for _, name := range slices.Sorted(maps.Keys(runs)) {
		r.Checked[5]++
		if list := runs[name]; len(list) > 1 {
			r.addViolation(5, name, fmt.Sprintf("ran %d times: %s", len(list), strings.Join(list, ", ")), requestEvents(t, requestOf(list[0]))...)
		}
	}
}

// checkLeaving checks that no backend server, nor a group that it is a member of, started new work more than Limits.StartAfterNotice
// after the notice of the server.
func checkLeaving(t Trace, l Limits, r *Report) {
	notice := map[string]timeline.Event{}
	for _, e := range t.Events {
		if e.Kind == timeline.InstanceLeaving {
			if _, ok := notice[e.Instance]; !ok {
				notice[e.Instance] = e
			}
		}
	}
	formed := formEvents(t)
	for _, run := range t.Record.Runs {
		members := []string{run.Instance}
		if f, ok := formed[generation{run.Group, run.Generation}]; ok {
			members = f.Members
		}
		for _, m := range members {
			e, ok := notice[m]
			if !ok {
				continue
			}
			r.Checked[6]++
			if late := run.Start.Sub(e.At.Time()); late > l.StartAfterNotice {
				r.addViolation(6, m, fmt.Sprintf("attempt %s started %v after the notice, %v are allowed", run.Attempt, late.Round(time.Millisecond), l.StartAfterNotice), e)
			}
		}
	}
}

// checkGraceful checks that no connection to a daemon broke before the response ended, unless the run killed the daemon. So a
// draining daemon has to answer every request that it accepted.
func checkGraceful(t Trace, _ Limits, r *Report) {
	for _, a := range t.Answers {
		if slices.Contains(t.Killed, a.Daemon) {
			continue
		}
		r.Checked[7]++
		if a.Broken {
			r.addViolation(7, a.Request, fmt.Sprintf("connection to %s broke before the response ended, though the daemon was not killed", a.Daemon), requestEvents(t, a.Request)...)
		}
	}
}

// checkRevisions checks that no daemon process goes back to an older revision and that each applies an accepted revision, or a
// newer one, within Limits.RevisionApply.
func checkRevisions(t Trace, l Limits, r *Report) {
	type process struct {
		start, last time.Time
		current     timeline.Event
		applied     map[uint64]time.Time
	}
	procs := map[string][]*process{}
	accepted := map[uint64]timeline.Event{}
	for _, e := range t.Events {
		list := procs[e.Proc]
		if e.Kind == timeline.ProcessStarted || len(list) == 0 {
			list = append(list, &process{start: e.At.Time(), applied: map[uint64]time.Time{}})
			procs[e.Proc] = list
		}
		p := list[len(list)-1]
		p.last = e.At.Time()
		switch e.Kind {
		case timeline.NoteAccepted:
			accepted[e.Revision] = e
		case timeline.RevisionApplied:
			r.Checked[8]++
			if e.Revision < p.current.Revision {
				r.addViolation(8, e.Proc, fmt.Sprintf("went back from revision %d to %d", p.current.Revision, e.Revision), p.current, e)
			}
			p.current = e
			p.applied[e.Revision] = e.At.Time()
		}
	}
	for _, number := range slices.Sorted(maps.Keys(accepted)) {
		note := accepted[number]
		deadline := note.At.Time().Add(l.RevisionApply)
		for _, name := range slices.Sorted(maps.Keys(procs)) {
			for _, p := range procs[name] {
				// Skip processes that started after the revision was accepted or whose events end before the deadline.
				if p.start.After(note.At.Time()) || p.last.Before(deadline) {
					continue
				}
				r.Checked[8]++
				inTime := false
				for n, at := range p.applied {
					inTime = inTime || n >= number && !at.After(deadline)
				}
				if !inTime {
					r.addViolation(8, name, fmt.Sprintf("did not have revision %d in force %v after it was accepted", number, l.RevisionApply), note)
				}
			}
		}
	}
}
