package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"flamingorudder.example/internal/route"
)

// simulateLosses simulates the load pattern of a large fleet: every three seconds two or three members of groups fail
// permanently, and later as many empty backend servers arrive. It returns the mean number of open groups of each model,
// relative to the initial number.
func simulateLosses(t *testing.T, seed uint64) (large, small float64) {
	f := newFleet(t, 9, 19)
	f.engine.Models = []route.Model{
		{Name: "large", Size: 8, Share: 0.5, TimeFactor: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	}
	f.in.LoadRate = 14
	f.run(12 * time.Second)
	firstLarge, firstSmall := f.open("large"), f.open("small")
	if firstLarge == 0 || firstSmall == 0 {
		t.Fatalf("%d large and %d small groups initially, want some of each", firstLarge, firstSmall)
	}
	f.in.StartingUp = false
	r := rand.New(rand.NewPCG(seed, 0))
	steps, sumLarge, sumSmall := 0, 0, 0
	for now := time.Duration(0); now < 36*time.Second; now += 100 * time.Millisecond {
		if now%(3*time.Second) == 0 {
			for n := 2 + r.IntN(2); n > 0; {
				if s := f.servers[r.IntN(len(f.servers))]; s.alive && s.Group != "" {
					s.alive, s.listed = false, false
					n--
				}
			}
		}
		if now > 10*time.Second && now%(3*time.Second) == time.Second {
			for range 2 + r.IntN(2) {
				f.add("d" + string(rune('0'+r.IntN(9))))
			}
		}
		// 70 % of the requests are for the small model, and urgent. Its groups are under more pressure.
		f.in.UrgentModel = "small"
		f.in.Pressure = map[string]float64{"large": 3.2 / float64(max(f.open("large"), 1)), "small": 9.1 / float64(max(f.open("small"), 1))}
		f.step(func() bool { return false })
		steps++
		sumLarge += f.open("large")
		sumSmall += f.open("small")
	}
	return float64(sumLarge) / float64(steps*firstLarge), float64(sumSmall) / float64(steps*firstSmall)
}

// TestLosses guards against a model whose groups remain broken for lack of spares while spares of another model are
// idle. The small model has 70 % of the demand and must keep 90 % of its groups, and the large model two thirds.
func TestLosses(t *testing.T) {
	var large, small float64
	const seeds = 12
	for seed := range uint64(seeds) {
		l, s := simulateLosses(t, seed)
		large += l / seeds
		small += s / seeds
	}
	t.Logf("mean open groups relative to the initial number: %.3f large, %.3f small", large, small)
	if large < 2.0/3 || small < 0.9 {
		t.Errorf("mean open groups relative to the initial number: %.3f large, %.3f small", large, small)
	}
}
