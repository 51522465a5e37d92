// Package audit checks the promises of the system (docs/design.md, section 2) after a run.
//
// It compares three independent accounts: the events that the daemons recorded, what the stand-ins really ran, and what
// the callers received. Each check needs only the accounts of the promise that it guards, so a trace that lacks one of
// them is reported as not checked and never as clean.
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

// Answer is what one caller received for one request.
type Answer struct {
	// Request is the X-Request-Id of the response; empty when there was no response.
	Request string         `json:"request"`
	Daemon  string         `json:"daemon"`
	Org     string         `json:"org"`
	Work    string         `json:"work"`
	Status  int            `json:"status"`
	Outcome caller.Outcome `json:"outcome"`
	// Replayed is whether the response repeats the recorded outcome of an earlier call.
	Replayed bool `json:"replayed,omitempty"`
	// Key is the idempotency key sent; Once is whether the call may not be repeated.
	Key  string `json:"key,omitempty"`
	Once bool   `json:"once,omitempty"`
	// Whole is whether the answer ended as an answer should, Own whether its content belongs to this request.
	Whole bool `json:"whole"`
	Own   bool `json:"own"`
	// Broken is whether the connection ended before the response did.
	Broken bool      `json:"broken,omitempty"`
	Sent   time.Time `json:"sent"`
	Done   time.Time `json:"done"`
}

// Trace is the account of a run.
type Trace struct {
	// Events holds the events of all daemons; Lost counts those overwritten before they were read.
	Events  []timeline.Event `json:"events"`
	Lost    uint64           `json:"lost"`
	Record  standin.Record   `json:"record"`
	Answers []Answer         `json:"answers"`
	// Killed names the daemons that the run killed or cut off, whose open connections may break.
	Killed []string `json:"killed,omitempty"`
}

// Limits are the times that the promises allow.
type Limits struct {
	// Loss is how long member 0 of a group may take to notice that a member is missing; until then it takes requests,
	// which it must not finish.
	Loss time.Duration
	// Sent is how long after the loss of a member a daemon may still send requests to the group.
	Sent time.Duration
	// Leaving is how long a leaving backend server may still receive new work after a daemon saw its notice.
	Leaving time.Duration
	// InForce is how long an accepted revision may take to be in force in every daemon.
	InForce time.Duration
}

// Targets are the limits that the design states.
var Targets = Limits{Loss: 600 * time.Millisecond, Sent: 3 * time.Second, Leaving: 3 * time.Second, InForce: 2 * time.Second}

// Violation is a broken promise.
type Violation struct {
	// Promise is its number in docs/design.md.
	Promise int `json:"promise"`
	// Subject is the request, instance, group or daemon concerned.
	Subject string `json:"subject"`
	Text    string `json:"text"`
	// Events are the events that show it.
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
	// Checked counts what each promise was checked on; a promise with 0 was not checked.
	Checked [9]int `json:"checked"`
	Lost    uint64 `json:"lost"`
}

func (r Report) String() string {
	var b strings.Builder
	for p := 1; p < len(r.Checked); p++ {
		broken := 0
		for _, v := range r.Violations {
			if v.Promise == p {
				broken++
			}
		}
		verdict := "kept"
		switch {
		case broken > 0:
			verdict = fmt.Sprintf("BROKEN %d times", broken)
		case r.Checked[p] == 0:
			verdict = "not checked, the trace holds nothing about it"
		}
		fmt.Fprintf(&b, "promise %d (%s): %s, %d checked\n", p, titles[p], verdict, r.Checked[p])
	}
	for _, v := range r.Violations {
		fmt.Fprintln(&b, v)
	}
	if r.Lost > 0 {
		fmt.Fprintf(&b, "%d events were overwritten before they were read; what they show is not checked\n", r.Lost)
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
	r := Report{Lost: t.Lost}
	for _, check := range []func(Trace, Limits, *Report){wholeGroups, sentLate, oneGroup, ownAnswers, notRun, once, leaving, graceful, inForce} {
		check(t, l, &r)
	}
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.Promise, b.Promise) })
	return r
}

func (r *Report) broken(p int, subject, text string, events ...timeline.Event) {
	r.Violations = append(r.Violations, Violation{Promise: p, Subject: subject, Text: text, Events: events})
}

// generation names one generation of a group.
type generation struct {
	group  string
	number uint64
}

// forms returns the Form event of each generation.
func forms(t Trace) map[generation]timeline.Event {
	out := map[generation]timeline.Event{}
	for _, e := range t.Events {
		if e.Kind == timeline.GroupFormed {
			out[generation{e.Group, e.Generation}] = e
		}
	}
	return out
}

// covers tells whether a span lasts over a moment.
func covers(s standin.Span, at time.Time) bool {
	return !s.Start.After(at) && (s.End.IsZero() || !s.End.Before(at))
}

// wholeGroups checks that each run of a group started while every member was loaded for the same generation, and that
// every run that gave a whole answer also ended so. A run that started just after a loss has to have failed. A run that
// gave no token and failed was not served: a member 0 that comes back from a pause starts the requests that waited in its
// connections, and drops them when it sees that its members are gone. No daemon may send to the group for long.
func wholeGroups(t Trace, l Limits, r *Report) {
	formed := forms(t)
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
			if t.Lost == 0 {
				r.Checked[1]++
				r.broken(1, run.Attempt, fmt.Sprintf("ran on %s generation %d, which nobody formed", g.group, g.number))
			}
			continue
		}
		r.Checked[1]++
		for _, m := range form.Members {
			present := func(at time.Time, late time.Duration) bool {
				return slices.ContainsFunc(spans[g][m], func(s standin.Span) bool {
					return !s.Start.After(at) && (s.End.IsZero() || !s.End.Add(late).Before(at))
				})
			}
			late := time.Duration(0)
			if run.Ended != "" && run.Ended != standin.EndDone {
				late = l.Loss
			}
			switch {
			case !present(run.Start, late):
				r.broken(1, run.Attempt, fmt.Sprintf("started on %s generation %d while its member %s was not loaded for it", g.group, g.number, m), form)
			case run.Ended == standin.EndDone && !present(run.End, l.Loss):
				r.broken(1, run.Attempt, fmt.Sprintf("was finished by %s generation %d after its member %s was lost", g.group, g.number, m), form)
			}
		}
	}
}

// sentLate checks that no daemon sent requests to a generation long after a member of it was lost.
func sentLate(t Trace, l Limits, r *Report) {
	lost := map[generation]standin.Span{}
	for _, s := range t.Record.Spans {
		g := generation{s.Group, s.Generation}
		if was, ok := lost[g]; !s.End.IsZero() && (!ok || s.End.Before(was.End)) {
			lost[g] = s
		}
	}
	for _, e := range t.Events {
		if e.Kind != timeline.AttemptSent || e.Group == "" {
			continue
		}
		r.Checked[1]++
		s, ok := lost[generation{e.Group, e.Generation}]
		if late := e.At.Time().Sub(s.End); ok && late > l.Sent {
			r.broken(1, e.Attempt, fmt.Sprintf("was sent to %s generation %d %v after its member %s was lost, %v are allowed", e.Group, e.Generation, late.Round(time.Millisecond), s.Instance, l.Sent), e)
		}
	}
}

// oneGroup checks that no instance was claimed for a group while another group's generation held it, and that no
// instance was loaded for two at a time.
func oneGroup(t Trace, _ Limits, r *Report) {
	owner := map[string]timeline.Event{}
	for _, e := range t.Events {
		switch e.Kind {
		case timeline.GroupFormed:
			// A new generation of a group replaces the one before: members that it does not name are released.
			for m, was := range owner {
				if was.Group == e.Group && was.Generation < e.Generation {
					delete(owner, m)
				}
			}
			for _, m := range e.Members {
				r.Checked[2]++
				if was, ok := owner[m]; ok && was.Group != e.Group {
					r.broken(2, m, fmt.Sprintf("was claimed for %s while it belonged to %s", e.Group, was.Group), was, e)
				}
				owner[m] = e
			}
		case timeline.GroupReleased:
			for _, m := range e.Members {
				if was, ok := owner[m]; ok && was.Group == e.Group && was.Generation <= e.Generation {
					delete(owner, m)
				}
			}
		}
	}
	last := map[string]standin.Span{}
	spans := slices.Clone(t.Record.Spans)
	slices.SortStableFunc(spans, func(a, b standin.Span) int { return a.Start.Compare(b.Start) })
	for _, s := range spans {
		if was, ok := last[s.Instance]; ok && (was.Group != s.Group || was.Generation != s.Generation) && covers(was, s.Start) && !was.End.Equal(s.Start) {
			r.broken(2, s.Instance, fmt.Sprintf("was loaded for %s generation %d and %s generation %d at once", was.Group, was.Generation, s.Group, s.Generation))
		}
		last[s.Instance] = s
	}
}

// ownAnswers checks that every answer given as such was whole and the caller's own.
func ownAnswers(t Trace, _ Limits, r *Report) {
	for _, a := range t.Answers {
		if a.Status != 200 {
			continue
		}
		r.Checked[3]++
		if !a.Own {
			r.broken(3, a.Request, fmt.Sprintf("caller of %s (%s) received content that is not its own", a.Org, a.Work), about(t, a.Request)...)
		}
		if !a.Whole && !a.Broken && a.Outcome == caller.Run {
			r.broken(3, a.Request, fmt.Sprintf("caller of %s (%s) received an answer that is not whole", a.Org, a.Work), about(t, a.Request)...)
		}
	}
}

// about returns the events of a request.
func about(t Trace, request string) []timeline.Event {
	var out []timeline.Event
	for _, e := range t.Events {
		if request != "" && e.Request == request {
			out = append(out, e)
		}
	}
	return out
}

// requestOf is the request that an attempt belongs to: attempts are named request.number.
func requestOf(attempt string) string {
	if i := strings.LastIndexByte(attempt, '.'); i >= 0 {
		return attempt[:i]
	}
	return attempt
}

// notRun checks that what was reported as not run has no record of a run.
func notRun(t Trace, _ Limits, r *Report) {
	ran := map[string]standin.Run{}
	for _, run := range t.Record.Runs {
		ran[requestOf(run.Attempt)] = run
	}
	said := map[string]bool{}
	for _, a := range t.Answers {
		if a.Outcome == caller.NotRun && a.Request != "" {
			said[a.Request] = true
		}
	}
	for _, e := range t.Events {
		if e.Kind == timeline.RequestAnswered && e.Outcome == string(caller.NotRun) {
			said[e.Request] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(said)) {
		r.Checked[4]++
		if run, ok := ran[id]; ok {
			r.broken(4, id, fmt.Sprintf("was reported as not run, but %s ran attempt %s", run.Instance, run.Attempt), about(t, id)...)
		}
	}
}

// once checks that calls that may not be repeated ran at most once, by request and by idempotency key.
func once(t Trace, _ Limits, r *Report) {
	onceRequest, keyOf := map[string]bool{}, map[string]string{}
	for _, a := range t.Answers {
		if !a.Once {
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
			r.broken(5, name, fmt.Sprintf("ran %d times: %s", len(list), strings.Join(list, ", ")), about(t, requestOf(list[0]))...)
		}
	}
}

// leaving checks that a backend server got no new work after its notice.
func leaving(t Trace, l Limits, r *Report) {
	notice := map[string]timeline.Event{}
	for _, e := range t.Events {
		if e.Kind == timeline.InstanceLeaving {
			if _, ok := notice[e.Instance]; !ok {
				notice[e.Instance] = e
			}
		}
	}
	formed := forms(t)
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
			if late := run.Start.Sub(e.At.Time()); late > l.Leaving {
				r.broken(6, m, fmt.Sprintf("attempt %s started %v after the notice, %v are allowed", run.Attempt, late.Round(time.Millisecond), l.Leaving), e)
			}
		}
	}
}

// graceful checks that no connection broke at a daemon that was not killed, and that a draining daemon answered all that
// it had accepted.
func graceful(t Trace, _ Limits, r *Report) {
	for _, a := range t.Answers {
		if slices.Contains(t.Killed, a.Daemon) {
			continue
		}
		r.Checked[7]++
		if a.Broken {
			r.broken(7, a.Request, fmt.Sprintf("connection to %s broke before the response ended, though the daemon was not killed", a.Daemon), about(t, a.Request)...)
		}
	}
}

// inForce checks that revisions only grow in each daemon and that an accepted one is in force everywhere in time.
func inForce(t Trace, l Limits, r *Report) {
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
				r.broken(8, e.Proc, fmt.Sprintf("went back from revision %d to %d", p.current.Revision, e.Revision), p.current, e)
			}
			p.current = e
			p.applied[e.Revision] = e.At.Time()
		}
	}
	for _, number := range slices.Sorted(maps.Keys(accepted)) {
		note := accepted[number]
		due := note.At.Time().Add(l.InForce)
		for _, name := range slices.Sorted(maps.Keys(procs)) {
			for _, p := range procs[name] {
				// A daemon that started later or whose events end earlier says nothing about this revision.
				if p.start.After(note.At.Time()) || p.last.Before(due) {
					continue
				}
				r.Checked[8]++
				inTime := false
				for n, at := range p.applied {
					inTime = inTime || n >= number && !at.After(due)
				}
				if !inTime {
					r.broken(8, name, fmt.Sprintf("did not have revision %d in force %v after it was accepted", number, l.InForce), note)
				}
			}
		}
	}
}
