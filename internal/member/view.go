package member

import (
	"time"

	"flamingorudder.example/internal/platform"
)

const (
	// ProbePeriod is how often a member of a group is probed. With Losses failures in a row a loss is found within 2 s.
	ProbePeriod = 500 * time.Millisecond
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout = 500 * time.Millisecond
	// Losses is how many probes must fail in a row before an instance is gone.
	Losses = 3
	// Returns is how many probes must succeed in a row before a gone instance is live again.
	Returns = 2
	// forget is how long an instance that left the list is remembered, so that one that returns has to pass probes.
	forget = 10 * time.Minute
)

// State is what is known of an instance.
type State uint8

// States of an instance. Only Live and Suspect instances may get new work, and only Live ones join a group.
const (
	Gone State = iota
	Leaving
	Suspect
	Live
)

func (s State) String() string { return [...]string{"gone", "leaving", "suspect", "live"}[s] }

// Works is whether the instance may get new work.
func (s State) Works() bool { return s >= Suspect }

// Change is a change of an instance's state.
type Change struct {
	Instance string
	From, To State
	Reason   string
}

// View is the view of the instances that one daemon has from the platform's list, which lags, and from its own probes.
// The zero value knows no instance. It is not safe for concurrent use.
type View struct {
	at  time.Time
	all map[string]*entry
}

type entry struct {
	instance platform.Instance
	listed   bool
	// seen is the time of the last list with the instance.
	seen time.Time
	// lost is whether probes found the instance missing; it then needs good probes before it counts again.
	lost      bool
	bad, good int
	state     State
}

func (e *entry) next() State {
	switch {
	case !e.listed:
		return Gone
	case e.instance.State == platform.Leaving:
		return Leaving
	case e.lost:
		return Gone
	case e.bad > 0:
		return Suspect
	}
	return Live
}

// List takes in the platform's list. A list older than the last one, or one without any instance, is ignored: a
// platform that lost its state must not stop every group.
func (v *View) List(r platform.Roster) []Change {
	if r.At.Before(v.at) || len(r.Instances) == 0 {
		return nil
	}
	v.at = r.At
	if v.all == nil {
		v.all = map[string]*entry{}
	}
	here := make(map[string]bool, len(r.Instances))
	var out []Change
	for _, i := range r.Instances {
		here[i.ID] = true
		e := v.all[i.ID]
		switch {
		case e == nil:
			e = &entry{state: Gone}
			v.all[i.ID] = e
		case !e.listed || e.instance.Addr != i.Addr:
			// It was away or was replaced, so what was known of it does not hold.
			e.lost, e.good, e.bad = true, 0, 0
		}
		e.instance, e.listed, e.seen = i, true, r.At
		out = v.settle(out, i.ID, "list")
	}
	for id, e := range v.all {
		if here[id] {
			continue
		}
		if r.At.Sub(e.seen) > forget {
			delete(v.all, id)
			continue
		}
		e.listed = false
		out = v.settle(out, id, "missing from the list")
	}
	return out
}

// Probe takes in the outcome of a probe.
func (v *View) Probe(id string, ok bool) []Change {
	e := v.all[id]
	if e == nil {
		return nil
	}
	if ok {
		e.bad = 0
		if e.good++; e.good >= Returns {
			e.lost = false
		}
		return v.settle(nil, id, "answers probes")
	}
	e.good = 0
	if e.bad++; e.bad >= Losses {
		e.lost = true
	}
	return v.settle(nil, id, "does not answer probes")
}

// Refuse takes in that a probe was refused: nothing listens at the instance's address, so its process is gone at once
// and not only silent.
func (v *View) Refuse(id string) []Change {
	if e := v.all[id]; e != nil {
		e.bad = Losses - 1
	}
	return v.Probe(id, false)
}

// Report takes in that another daemon found the instance missing. It counts again after probes of this daemon.
func (v *View) Report(id string) []Change {
	e := v.all[id]
	if e == nil || e.lost {
		return nil
	}
	e.lost, e.good = true, 0
	return v.settle(nil, id, "reported missing")
}

// Recheck forgets what probes and reports have shown. A daemon probes an instance only while it has to do with it, so
// what it learnt then, perhaps while its own network was down, must not count when it has to do with it again.
func (v *View) Recheck() []Change {
	var out []Change
	for id, e := range v.all {
		e.lost, e.bad, e.good = false, 0, 0
		out = v.settle(out, id, "is checked again")
	}
	return out
}

// State returns the state of an instance; one that was never listed is Gone.
func (v *View) State(id string) State {
	if e := v.all[id]; e != nil {
		return e.state
	}
	return Gone
}

// Listed returns the state by the list alone, for instances that this daemon does not probe.
func (v *View) Listed(id string) State {
	e := v.all[id]
	switch {
	case e == nil || !e.listed:
		return Gone
	case e.instance.State == platform.Leaving:
		return Leaving
	}
	return Live
}

// Instances returns the listed instances of a kind in no particular order.
func (v *View) Instances(kind string) []platform.Instance {
	var out []platform.Instance
	for _, e := range v.all {
		if e.listed && e.instance.Kind == kind {
			out = append(out, e.instance)
		}
	}
	return out
}

func (v *View) settle(out []Change, id, reason string) []Change {
	e := v.all[id]
	s := e.next()
	if s == e.state {
		return out
	}
	c := Change{Instance: id, From: e.state, To: s, Reason: reason}
	e.state = s
	return append(out, c)
}
