package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shortageSeeds are the seeds of the replays in this file.
var shortageSeeds = []uint64{101, 102, 103, 104}

// fewLarge draws one of 24 organisations; four of them, counted as the large one, send more than half of the requests.
func fewLarge(r *rand.Rand, _ *workload, _ time.Duration) int {
	if r.Float64() < 0.55 {
		return -r.IntN(4)
	}
	return 1 + r.IntN(20)
}

// urgentLoad is the load of the urgent kind at 23 groups of 4 servers, at a multiple of its usual rate.
func urgentLoad(seed uint64, rate float64) scenario {
	return scenario{
		seed: seed, daemons: 88, groups: []int{0, 23}, length: 12 * time.Second, organisation: fewLarge,
		work:   []workload{{"urgent", 1, 4, 347, 674, 0.89, 2340, 22.2, 250 * time.Millisecond, 200 * time.Millisecond, 6 * time.Second}},
		rate:   func(*workload, time.Duration) float64 { return rate },
		values: map[string][2]float64{"urgent": {1, 0.25}},
	}
}

// TestDemandAtAThirdOfDaemons guards against rejections beside groups that are half empty. Only a third of the daemons have
// callers, and the scheduler does not know that the others have no work, so it assumes three times the true loads. As a
// model's groups suffice, 99 in 100 requests must be in time (docs/design.md, section 4).
func TestDemandAtAThirdOfDaemons(t *testing.T) {
	for _, rate := range []float64{1, 1.25} {
		for _, seed := range shortageSeeds {
			c := newCentral()
			c.unreported = 2.0 / 3
			f := simulate(urgentLoad(seed, rate), c)
			u := f.tallyOf("urgent")
			t.Logf("seed %d, rate %.2f: value %.3f, in time %.3f, late %.3f, rejected %.3f", seed, rate, u.valueShare(), u.onTimeRate(), u.lateAnswers/u.requests, u.rejected/u.requests)
			if u.onTimeRate() < 0.99 {
				t.Errorf("seed %d, rate %.2f: %.3f in time", seed, rate, u.onTimeRate())
			}
		}
	}
}

// BenchmarkStep measures a round in which 100 requests wait and no group has room for them.
func BenchmarkStep(b *testing.B) {
	s, plan := NewScheduler(), simulationPlans()[1]
	groups := make([]Group, 24)
	for id := range uint64(100) {
		s.Put(noon, request(id, func(w *Waiter) {
			w.Rank, w.Organisation = int(id%3), string(rune('a'+id%24))
			w.Objective = time.Hour
		}))
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range groups {
			groups[i] = Group{Key: "g", Load: Load{Requests: plan.Engine.Slots}}
		}
		if got := s.Step(noon, plan, groups, 0, zeroRandom); len(got) != 0 {
			b.Fatalf("%d decisions", len(got))
		}
	}
}
