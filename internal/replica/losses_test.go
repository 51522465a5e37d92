package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"flamingorudder.example/internal/route"
)

// wear is the load pattern of a large fleet: every three seconds two or three members of groups of one data centre end for
// good, once a whole domain is dark for a while, and later about as many empty backend servers arrive.
type wear struct {
	domains, size int
	models        []route.Model
	loadRate      float64
	atOnce        int
	// want is the work for each model, in groups that are just full.
	want map[string]float64
	// urgent is the model of the most urgent work.
	urgent string
	// each is how many members end at a time.
	each int
}

// play returns the mean number of open groups of each model over the day, and of its last third.
func (w wear) play(t *testing.T, seed uint64) (mean, last map[string]float64) {
	f := newFleet(t, w.domains, w.size)
	f.engine.Models = w.models
	f.engine.LoadRate, f.in.LoadRate, f.engine.LoadsAtOnce = w.loadRate, w.loadRate, w.atOnce
	f.run(14 * time.Second)
	f.in.Early = false
	f.in.Urgent = w.urgent
	r := rand.New(rand.NewPCG(seed, 7))
	const (
		day  = 34 * time.Second
		tick = 100 * time.Millisecond
	)
	var dark []*fake
	mean, last = map[string]float64{}, map[string]float64{}
	steps := float64(day / tick)
	zone := func(s *fake) int { return int(s.Domain[1]-'0') * 3 / w.domains }
	for now := time.Duration(0); now < day; now += tick {
		if now%(3*time.Second) == 2*time.Second {
			z := int(now/(3*time.Second)) % 3
			for n, tries := w.each+r.IntN(2), 0; n > 0 && tries < 10000; tries++ {
				if s := f.servers[r.IntN(len(f.servers))]; s.alive && s.Group != "" && zone(s) == z {
					s.alive, s.listed = false, false
					n--
				}
			}
		}
		switch domain := fmt.Sprintf("d%d", seed%uint64(w.domains)); now {
		case 11 * time.Second:
			for _, s := range f.servers {
				if s.Domain == domain && s.alive {
					s.alive, s.open = false, false
					dark = append(dark, s)
				}
			}
		case 19 * time.Second:
			for _, s := range dark {
				// It has started again and holds nothing but what is staged on its host.
				again := f.add(domain)
				again.Staged = s.Staged
				s.gone = true
			}
		}
		if now > 10*time.Second && now%(3*time.Second) == time.Second {
			for range 2 + r.IntN(2) {
				f.add(fmt.Sprintf("d%d", r.IntN(w.domains)))
			}
		}
		f.in.Pressure = map[string]float64{}
		for _, m := range w.models {
			open := float64(f.open(m.Name))
			f.in.Pressure[m.Name] = w.want[m.Name] / max(open, 0.5)
			mean[m.Name] += open / steps
			if now >= day*2/3 {
				last[m.Name] += open / (steps / 3)
			}
		}
		f.step(func() bool { return false })
	}
	return mean, last
}

// average plays several seeds.
func (w wear) average(t *testing.T) (mean, last map[string]float64) {
	const seeds = 12
	mean, last = map[string]float64{}, map[string]float64{}
	for seed := range uint64(seeds) {
		m, l := w.play(t, seed)
		for name := range m {
			mean[name] += m[name] / seeds
			last[name] += l[name] / seeds
		}
	}
	return mean, last
}

// uneven is a fleet whose domains hold two groups of sixteen and a rest, or one of them and some of four.
var uneven = wear{
	domains: 6, size: 37, loadRate: 18, atOnce: 27, urgent: "large", each: 2,
	models: []route.Model{
		{Name: "large", Size: 16, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	},
	want: map[string]float64{"large": 4, "small": 9},
}

// TestUneven guards against a model of large groups that loses one group after the other because no host of their domains holds
// its weights, while another model's groups are half empty. The large model is to keep three quarters of its groups, the
// small one, which has twice the places that its work needs, four fifths.
func TestUneven(t *testing.T) {
	first := newFleet(t, uneven.domains, uneven.size)
	first.engine.Models = uneven.models
	first.run(14 * time.Second)
	mean, last := uneven.average(t)
	t.Logf("open groups %v, in the last third %v", mean, last)
	for name, part := range map[string]float64{"large": 0.75, "small": 0.8} {
		if want := part * float64(first.open(name)); mean[name] < want {
			t.Errorf("%.2f groups of the %s model are open, want %.2f", mean[name], name, want)
		}
	}
}

// roomFleet is one domain with a group of the large model and two of the small one, and no spare.
func roomFleet(t *testing.T) *fleet {
	f := newFleet(t, 1, 8)
	f.engine.LoadsAtOnce = 6
	f.engine.Models[0].Share, f.engine.Models[1].Share = 0.5, 0.5
	f.run(14 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != 1 || small != 2 {
		t.Fatalf("%d large and %d small groups", large, small)
	}
	f.in.Early = false
	return f
}

// lose ends a member of a group of a model for good.
func (f *fleet) lose(model string) {
	for _, s := range f.servers {
		if s.alive && s.Model == model && s.Rank == 1 && s.Group != "" {
			s.alive, s.listed = false, false
			return
		}
	}
}

// TestMakesRoom guards against the survivors of a crowded model's group waiting for a load while groups of a relaxed model
// run beside them on hosts that have its weights.
func TestMakesRoom(t *testing.T) {
	f := roomFleet(t)
	f.in.Pressure = map[string]float64{"large": 1.2, "small": 0.2}
	f.lose("large")
	f.run(5 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != 1 || small != 1 {
		t.Errorf("%d large and %d small groups 5 s after the loss, want 1 and 1", large, small)
	}
}

// TestMakesNoRoom guards against groups that end although their model is as crowded, or is left without any.
func TestMakesNoRoom(t *testing.T) {
	for name, pressure := range map[string]map[string]float64{
		"both are crowded": {"large": 1.2, "small": 1.2}, "both are relaxed": {"large": 0.2, "small": 0.05},
	} {
		f := roomFleet(t)
		f.in.Pressure = pressure
		f.lose("large")
		f.run(5 * time.Second)
		if small := f.open("small"); small != 2 {
			t.Errorf("%s: %d small groups", name, small)
		}
	}
	f := roomFleet(t)
	f.in.Pressure = map[string]float64{"large": 5, "small": 0.1}
	f.lose("small")
	f.run(time.Second)
	f.lose("large")
	f.run(5 * time.Second)
	if small := f.open("small"); small == 0 {
		t.Error("the last small group ended")
	}
}

// TestSpareIsWarm guards against a broken group waiting until a spare has taken up weights that it has had on its host for
// long.
func TestSpareIsWarm(t *testing.T) {
	f := newFleet(t, 1, 5)
	f.engine.Models = f.engine.Models[:1]
	f.run(10 * time.Second)
	f.in.Early = false
	f.lose("large")
	f.run(1500 * time.Millisecond)
	if f.open("large") != 1 {
		t.Errorf("%d groups 1.5 s after the loss of a member", f.open("large"))
	}
}

// TestLoadsAtOnce guards against more loads at once than the weight store serves at full speed, whichever holder gave the orders,
// and against a model without any group waiting behind the loads of another one. Found on an incident of cpp-flamingo: 15 empty
// hosts shared the speed of six loads, and a model had no group for 23 s.
func TestLoadsAtOnce(t *testing.T) {
	f := newFleet(t, 3, 8)
	f.engine.LoadsAtOnce = 4
	f.in.LoadRate = 40
	f.in.Early = false
	f.in.Pressure = map[string]float64{"large": 3, "small": 3}
	for i := range 300 {
		if i == 20 {
			f.planner = New(f.engine, 2, f.now)
		}
		f.step(func() bool { return false })
		n := 0
		for _, s := range f.servers {
			if s.staging != "" {
				n++
			}
		}
		if n > f.engine.LoadsAtOnce {
			t.Fatalf("%d loads at once after %d steps", n, i)
		}
	}
	if large, small := f.open("large"), f.open("small"); large == 0 || small == 0 {
		t.Errorf("%d large and %d small groups after 30 s", large, small)
	}
}

// BenchmarkStep is one look of the planner at a fleet at rest. It runs ten times a second at the holder of the lease.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{1, 3, 8, 25} {
		b.Run(fmt.Sprint(domains*uneven.size), func(b *testing.B) {
			f := newFleet(&testing.T{}, domains, uneven.size)
			f.engine.Models = uneven.models
			f.run(14 * time.Second)
			f.in.Early = false
			f.in.Pressure = map[string]float64{"large": 0.5, "small": 0.3}
			f.run(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				f.planner.Step(f.now, f.in)
			}
		})
	}
}
