package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/note"
)

// simulation runs a core with groups some of which are slow, and a home that grants every demand.
type simulation struct {
	core *Core
	now  time.Time
	key  uint64
	slow []string
	ends map[uint64]time.Time
	// lastGroup is the group of the request started last.
	lastGroup string
}

func newSimulation(groups, slow int) *simulation {
	sim := &simulation{core: NewCore("d1", "stirling", 1), now: epoch, ends: map[uint64]time.Time{}}
	var list []Target
	for i := range groups {
		list = append(list, Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: 64})
		if i < slow {
			sim.slow = append(sim.slow, list[i].Group)
		}
	}
	sim.apply(Targets{list, singleHome(list)})
	return sim
}

func (sim *simulation) apply(m Message) {
	for _, a := range slices.Clone(sim.core.Step(sim.now, m)) {
		switch a.Kind {
		case Start:
			sim.lastGroup = a.Target.Group
			sim.ends[a.Key] = sim.now.Add(100 * time.Millisecond)
			if slices.Contains(sim.slow, sim.lastGroup) {
				sim.ends[a.Key] = sim.now.Add(500 * time.Millisecond)
			}
		case Report:
			sim.apply(grantFor([]Action{a}, a.Report.Demand.Group, [note.NumRanks]int{64, 64, 64}))
		}
	}
}

// step advances the time by 10 ms, ends requests that are due, submits a live request and reports whether it went to a
// slow group.
func (sim *simulation) step() bool {
	sim.now = sim.now.Add(10 * time.Millisecond)
	for k, at := range sim.ends {
		if !at.After(sim.now) {
			delete(sim.ends, k)
			sim.apply(FirstToken{k})
			sim.apply(Done{k, Result{Tokens: 1, TimeToFirstToken: 100 * time.Millisecond, Total: 100 * time.Millisecond}})
		}
	}
	sim.key++
	sim.apply(Submit{sim.key, Request{Organisation: "a", Cost: 1, Deadline: sim.now.Add(time.Minute)}})
	return slices.Contains(sim.slow, sim.lastGroup)
}

// Guards against sending live requests to a straggler until load reports identify it, and against avoiding groups when
// the whole service is slow.
func TestStragglers(t *testing.T) {
	const steps, first = 400, 40
	count := func(slow int) (slowRequests int) {
		sim := newSimulation(8, slow)
		for step := range steps {
			if sim.step() && step >= first {
				slowRequests++
			}
		}
		return slowRequests
	}
	// The 99th percentile stays clear of the straggler if at most one live request in a hundred goes there.
	if slowRequests := count(1); slowRequests > (steps-first)/100 {
		t.Errorf("%d of %d requests went to the straggler", slowRequests, steps-first)
	}
	if slowRequests := count(4); slowRequests < (steps-first)/10 {
		t.Errorf("only %d of %d requests went to the slow half of the groups", slowRequests, steps-first)
	}
}
