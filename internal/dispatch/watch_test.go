package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/note"
)

// pool is a core with groups of which some are slow, and a home that grants all that it is asked for.
type pool struct {
	core *Core
	now  time.Time
	key  uint64
	slow []string
	ends map[uint64]time.Time
	// last is the group of the request started last.
	last string
}

func newPool(groups, slow int) *pool {
	p := &pool{core: NewCore("d1", "stirling", 1), now: epoch, ends: map[uint64]time.Time{}}
	var list []Target
	for i := range groups {
		list = append(list, Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: 64})
		if i < slow {
			p.slow = append(p.slow, list[i].Group)
		}
	}
	p.do(Targets{list, homes(list)})
	return p
}

func (p *pool) do(m Message) {
	for _, a := range slices.Clone(p.core.Step(p.now, m)) {
		switch a.Verb {
		case Start:
			p.last = a.Target.Group
			p.ends[a.Key] = p.now.Add(100 * time.Millisecond)
			if slices.Contains(p.slow, p.last) {
				p.ends[a.Key] = p.now.Add(500 * time.Millisecond)
			}
		case Report:
			p.do(grantFor([]Action{a}, a.Report.Demand.Group, [note.Ranks]int{64, 64, 64}))
		}
	}
}

// step lets 10 ms pass, ends what is due, sends one live request and tells whether it went to a slow group.
func (p *pool) step() bool {
	p.now = p.now.Add(10 * time.Millisecond)
	for k, at := range p.ends {
		if !at.After(p.now) {
			delete(p.ends, k)
			p.do(Began{k})
			p.do(Done{k, Result{Tokens: 1, First: 100 * time.Millisecond, Total: 100 * time.Millisecond}})
		}
	}
	p.key++
	p.do(Submit{p.key, Request{Organisation: "a", Cost: 1, Deadline: p.now.Add(time.Minute)}})
	return slices.Contains(p.slow, p.last)
}

// Guards against live requests that go on being sent to a straggler until load reports have shown it, and against groups
// that are left out because the whole service is slow.
func TestWatch(t *testing.T) {
	const steps, first = 400, 40
	count := func(slow int) (late int) {
		p := newPool(8, slow)
		for step := range steps {
			if p.step() && step >= first {
				late++
			}
		}
		return late
	}
	// One live request in a hundred may meet the straggler before their 99th percentile does.
	if late := count(1); late > (steps-first)/100 {
		t.Errorf("%d of %d requests met the straggler", late, steps-first)
	}
	if late := count(4); late < (steps-first)/10 {
		t.Errorf("only %d of %d requests went to the slow half of the groups", late, steps-first)
	}
}
