package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"flamingorudder.example/internal/route"
)

const kvTokens = 1400000

// longPrompts is a load of requests with very long prompts, of which three groups have to hold more than their memory for all of them to
// be placed at once.
func longPrompts(seed uint64, memory int) scenario {
	return scenario{
		seed: seed, daemons: 20, groups: []int{0, 3}, length: 30 * time.Second, memory: memory, organisation: fewLarge,
		work: []workload{
			{"long", 1, 4, 5, 80000, 0.6, 300000, 40, 20 * time.Second, time.Minute, time.Minute},
		},
	}
}

// TestLongPromptsFitMemory guards against groups that crash as their requests need more memory than they have, while slots are free.
// Without the bound the replay exceeds the memory; with it, the memory suffices and the requests are served.
func TestLongPromptsFitMemory(t *testing.T) {
	for _, seed := range shortageSeeds {
		before, after := simulate(longPrompts(seed, 0), newCentral()), simulate(longPrompts(seed, kvTokens), newCentral())
		t.Logf("seed %d: a group holds %d tokens before, %d after; %s\nbefore: %s", seed, before.mostHeld, after.mostHeld, after, before)
		if before.mostHeld <= kvTokens {
			t.Errorf("seed %d: the load does not exceed the memory without the bound", seed)
		}
		if after.mostHeld > kvTokens {
			t.Errorf("seed %d: a group holds %d tokens of %d", seed, after.mostHeld, kvTokens)
		}
		// No group of the replay crashes without the bound, so this is more than could have been served.
		if b, a := before.tallyOf("long").inTime, after.tallyOf("long").inTime; a < 0.9*b {
			t.Errorf("seed %d: %.0f in time, %.0f before", seed, a, b)
		}
	}
}

// TestMemoryChangesNothingForUsualSizes guards against a bound that changes placement where it is never reached.
func TestMemoryChangesNothingForUsualSizes(t *testing.T) {
	t.Parallel()
	for _, unreported := range []float64{0, 0.5} {
		outcomes := map[int]string{}
		for _, memory := range []int{0, kvTokens} {
			l, c := shortage(shortageSeeds[0], 1.5), newCentral()
			l.length, l.memory, c.unreported = 10*time.Second, memory, unreported
			f := simulate(l, c)
			outcomes[memory] = fmt.Sprint(f, f.mostHeld)
		}
		if outcomes[0] != outcomes[kvTokens] {
			t.Errorf("with %.1f unreported: %s\nwith a bound: %s", unreported, outcomes[0], outcomes[kvTokens])
		}
	}
}

// TestMemoryRoom guards against a bound that counts a request too small, that lets requests share all of the memory, or that keeps
// a large request from an empty group.
func TestMemoryRoom(t *testing.T) {
	m := NewMemory(&route.Engine{KVTokens: 1000, UsualAnswer: 20, Chunk: 512}, 80)
	// Twice the usual answer at most, also without a maximum; unknown prompts; no overflow.
	for _, test := range [][3]int{{100, 10, 110}, {100, 5000, 140}, {100, 0, 140}, {0, 50, 0}, {-1, -1, 0}, {math.MaxInt, math.MaxInt, 1041}} {
		if got := m.Tokens(test[0], test[1]); got != test[2] {
			t.Errorf("prompt and answer %v: %d tokens", test, got)
		}
	}
	one := Load{Requests: 1, HeldTokens: 500, SizedRequests: 1}
	for _, test := range []struct {
		load Load
		most int
	}{{Load{}, 1000}, {one, 399}, {one.Add(Load{Requests: 2}), 199}} { // alone; beside another one; beside two more of unknown size
		if !m.hasRoom(test.load, test.most) || m.hasRoom(test.load, test.most+1) {
			t.Errorf("%+v does not have room for just %d tokens", test.load, test.most)
		}
	}
}

// TestTooLargeForMemory guards against a request that waits although no group can ever hold it, as those of earlier builds do.
func TestTooLargeForMemory(t *testing.T) {
	s, plan := NewScheduler(), simulationPlans()[1]
	plan.Engine.KVTokens = 1000
	for id, prompt := range []int{2000, 700} {
		s.Put(noon, request(uint64(id), func(w *Waiter) { w.Prompt, w.Objective = prompt, time.Hour }))
	}
	decisions := s.Step(noon, plan, []Group{{Key: "a"}}, 0, zeroRandom)
	if len(decisions) != 2 || decisions[0].Reason != TooLarge || decisions[0].RetryAfter != 0 || decisions[1].Group != "a" {
		t.Errorf("%+v", decisions)
	}
	if held, rejected := s.TakeMemoryCounts(); held != 0 || rejected != 1 {
		t.Errorf("%d held, %d rejected", held, rejected)
	}
}

// TestAssumedLoadLeavesMemory guards against load that is only assumed keeping requests of the mean size from groups with room.
func TestAssumedLoadLeavesMemory(t *testing.T) {
	plan := simulationPlans()[1]
	plan.Engine.KVTokens = kvTokens
	groups := []Group{{Load: Load{Requests: 4, HeldTokens: 400000, SizedRequests: 4}}, {}}
	m := NewMemory(plan.Engine, 0)
	addUnreportedLoad(groups, 0.95, 0, plan.Engine.Slots, m)
	for _, g := range groups {
		if !m.hasRoom(g.Load, 100000) || m.hasRoom(g.Load, 200000) {
			t.Errorf("%+v", g.Load)
		}
	}
}
