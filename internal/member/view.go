package member

import (
	"time"

	"flamingorudder.example/internal/platform"
)

const (
	// ProbePeriod is how often a member of a group is probed. Together with FailureThreshold it detects a loss
	// within 2 s.
	ProbePeriod = 500 * time.Millisecond
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout = 500 * time.Millisecond
	// FailureThreshold is the number of consecutive failed probes after which an instance is Gone.
	FailureThreshold = 3
	// SuccessThreshold is the number of consecutive successful probes after which a Gone instance is Live again.
	SuccessThreshold = 2
	// forgetAfter is how long an instance is kept after it left the list. If it returns within that time, it must pass
	// probes.
	forgetAfter = 10 * time.Minute
)

// State is the state of an instance as seen by one daemon.
type State uint8

// States of an instance. Only Live and Suspect instances may get new requests, and only Live ones may join a group.
const (
	Gone State = iota
	Leaving
	Suspect
	Live
)

func (s State) String() string { return [...]string{"gone", "leaving", "suspect", "live"}[s] }

// AcceptsRequests reports whether the instance may get new requests.
func (s State) AcceptsRequests() bool { return s >= Suspect }

// Change is a state transition of an instance.
type Change struct {
	Instance string
	From, To State
	Reason   string
}

// View is what one daemon knows of the instances from the platform's list, which may be outdated, and from its own
// probes. The zero value is an empty view. It is not safe for concurrent use.
type View struct {
	listedAt time.Time
	entries  map[string]*entry
}

type entry struct {
	instance platform.Instance
	listed   bool
	// lastListed is the time of the last list that contained the instance.
	lastListed time.Time
	// unreachable is set by failed probes or a report; the instance then stays Gone until enough probes succeed.
	unreachable         bool
	failures, successes int
	state               State
}

func (e *entry) currentState() State {
	switch {
	case !e.listed:
		return Gone
	case e.instance.State == platform.Leaving:
		return Leaving
	case e.unreachable:
		return Gone
	case e.failures > 0:
		return Suspect
	}
	return Live
}

// ApplyList applies the platform's list. A list that is older than the last one or empty is ignored: a platform that
// has lost its state must not stop every group.
func (v *View) ApplyList(r platform.Roster) []Change {
	if r.At.Before(v.listedAt) || len(r.Instances) == 0 {
		return nil
	}
	v.listedAt = r.At
	if v.entries == nil {
		v.entries = map[string]*entry{}
	}
	listed := make(map[string]bool, len(r.Instances))
	var out []Change
	for _, i := range r.Instances {
		listed[i.ID] = true
		e := v.entries[i.ID]
		switch {
		case e == nil:
			e = &entry{state: Gone}
			v.entries[i.ID] = e
		case !e.listed || e.instance.Addr != i.Addr:
			// The instance was missing from the list or was replaced, so earlier probes no longer apply.
			e.unreachable, e.successes, e.failures = true, 0, 0
		}
		e.instance, e.listed, e.lastListed = i, true, r.At
		out = v.update(out, i.ID, "list")
	}
	for id, e := range v.entries {
		if listed[id] {
			continue
		}
		if r.At.Sub(e.lastListed) > forgetAfter {
			delete(v.entries, id)
			continue
		}
		e.listed = false
		out = v.update(out, id, "missing from the list")
	}
	return out
}

// RecordProbe records the result of a probe.
func (v *View) RecordProbe(id string, ok bool) []Change {
	e := v.entries[id]
	if e == nil {
		return nil
	}
	if ok {
		e.failures = 0
		if e.successes++; e.successes >= SuccessThreshold {
			e.unreachable = false
		}
		return v.update(nil, id, "answers probes")
	}
	e.successes = 0
	if e.failures++; e.failures >= FailureThreshold {
		e.unreachable = true
	}
	return v.update(nil, id, "does not answer probes")
}

// RecordRefusal records that the connection of a probe was refused. Since nothing listens at the instance's address,
// its process has ended, and the instance is Gone without waiting for further failures.
func (v *View) RecordRefusal(id string) []Change {
	if e := v.entries[id]; e != nil {
		e.failures = FailureThreshold - 1
	}
	return v.RecordProbe(id, false)
}

// RecordMissing records that another daemon found the instance missing. It stays Gone until probes of this daemon
// succeed.
func (v *View) RecordMissing(id string) []Change {
	e := v.entries[id]
	if e == nil || e.unreachable {
		return nil
	}
	e.unreachable, e.successes = true, 0
	return v.update(nil, id, "reported missing")
}

// DiscardProbes discards the results of probes and reports. A daemon probes an instance only while it is responsible
// for it or uses it, so results from an earlier time, when perhaps its own network was down, must not count later.
func (v *View) DiscardProbes() []Change {
	var out []Change
	for id, e := range v.entries {
		e.unreachable, e.failures, e.successes = false, 0, 0
		out = v.update(out, id, "is checked again")
	}
	return out
}

// State returns the state of an instance; it is Gone if the instance was never listed.
func (v *View) State(id string) State {
	if e := v.entries[id]; e != nil {
		return e.state
	}
	return Gone
}

// ListedState returns the state according to the list only, for instances that this daemon does not probe.
func (v *View) ListedState(id string) State {
	e := v.entries[id]
	switch {
	case e == nil || !e.listed:
		return Gone
	case e.instance.State == platform.Leaving:
		return Leaving
	}
	return Live
}

// Instances returns the listed instances of a kind, in no particular order.
func (v *View) Instances(kind string) []platform.Instance {
	var out []platform.Instance
	for _, e := range v.entries {
		if e.listed && e.instance.Kind == kind {
			out = append(out, e.instance)
		}
	}
	return out
}

func (v *View) update(out []Change, id, reason string) []Change {
	e := v.entries[id]
	s := e.currentState()
	if s == e.state {
		return out
	}
	c := Change{Instance: id, From: e.state, To: s, Reason: reason}
	e.state = s
	return append(out, c)
}
