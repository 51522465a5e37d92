package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"flamingorudder.example/internal/route"
)

// losses plays the pattern that a large fleet meets: every three seconds two or three members of groups end for good, and as
// many empty backend servers arrive later. It returns the mean number of open groups of each model, as parts of those open
// at first.
func losses(t *testing.T, seed uint64) (large, small float64) {
	f := newFleet(t, 9, 19)
	f.engine.Models = []route.Model{
		{Name: "large", Size: 8, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	}
	f.in.LoadRate = 14
	f.run(12 * time.Second)
	firstLarge, firstSmall := f.open("large"), f.open("small")
	if firstLarge == 0 || firstSmall == 0 {
		t.Fatalf("%d large and %d small groups at first", firstLarge, firstSmall)
	}
	f.in.Early = false
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
		// Seven tenths of the requests are for the small model, and urgent; its groups are the more loaded ones.
		f.in.Urgent = "small"
		f.in.Pressure = map[string]float64{"large": 3.2 / float64(max(f.open("large"), 1)), "small": 9.1 / float64(max(f.open("small"), 1))}
		f.step(func() bool { return false })
		steps++
		sumLarge += f.open("large")
		sumSmall += f.open("small")
	}
	return float64(sumLarge) / float64(steps*firstLarge), float64(sumSmall) / float64(steps*firstSmall)
}

// TestLosses guards against a model whose groups stay broken for want of spares while another one's spares stand idle. The
// small model has seven tenths of the work; it is to keep nine tenths of its groups, the other one two thirds.
func TestLosses(t *testing.T) {
	var large, small float64
	const seeds = 12
	for seed := range uint64(seeds) {
		l, s := losses(t, seed)
		large += l / seeds
		small += s / seeds
	}
	t.Logf("open groups, as parts of those at first: %.3f large, %.3f small", large, small)
	if large < 2.0/3 || small < 0.9 {
		t.Errorf("open groups, as parts of those at first: %.3f large, %.3f small", large, small)
	}
}

// TestReshape guards against callers of one model being turned away while another one's groups stand half empty: each
// domain is full, so survivors of a broken group find no host, and nobody arrives.
func TestReshape(t *testing.T) {
	f := newFleet(t, 3, 8)
	f.run(6 * time.Second)
	large, small := f.open("large"), f.open("small")
	f.in.Early = false
	domains := map[string]bool{}
	for _, s := range f.servers {
		if s.Model == "large" && s.Rank == 2 && !domains[s.Domain] {
			domains[s.Domain] = true
			s.alive, s.listed = false, false
		}
	}
	served := 0
	for range 400 {
		// What the large model's groups cannot take is turned away; the small model's work needs one group.
		f.in.Pressure = map[string]float64{"large": 1.2 * float64(large) / float64(max(f.open("large"), 1)), "small": 1 / float64(max(f.open("small"), 1))}
		f.step(func() bool { return false })
		if n := f.open("small"); n > served {
			served = n
		}
	}
	if n := f.open("large"); n < large-1 {
		t.Errorf("%d large groups of %d, 40 s after a loss in each of %d domains", n, large, len(domains))
	}
	if n := f.open("small"); n < 2 {
		t.Errorf("%d small groups of %d are left", n, small)
	}
}
