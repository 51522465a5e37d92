package replica

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

// failurePattern is the load pattern of a large fleet: every three seconds two or three members of groups in one data
// centre fail permanently, once a whole domain is down for a while, and later about as many empty backend servers
// arrive as have failed.
type failurePattern struct {
	domains, size int
	models        []route.Model
	loadRate      float64
	loadsAtOnce   int
	// demand is the demand for each model, in fully used groups.
	demand map[string]float64
	// urgent is the model of the most urgent requests.
	urgent string
	// failures is how many members fail at a time; sometimes it is one more.
	failures int
}

// simulate returns the mean number of open groups of each model over the whole run, and the fraction of its demand that
// they served.
func (w failurePattern) simulate(t *testing.T, seed uint64) (mean, served map[string]float64) {
	f := newFleet(t, w.domains, w.size)
	f.engine.Models = w.models
	f.engine.LoadRate, f.in.LoadRate, f.engine.LoadsAtOnce = w.loadRate, w.loadRate, w.loadsAtOnce
	f.run(14 * time.Second)
	f.in.StartingUp = false
	f.in.UrgentModel = w.urgent
	r := rand.New(rand.NewPCG(seed, 7))
	const (
		duration = 34 * time.Second
		tick     = 100 * time.Millisecond
	)
	var down []*fakeServer
	mean, served = map[string]float64{}, map[string]float64{}
	steps := float64(duration / tick)
	dataCentre := func(s *fakeServer) int { return int(s.Domain[1]-'0') * 3 / w.domains }
	for now := time.Duration(0); now < duration; now += tick {
		if now%(3*time.Second) == 2*time.Second {
			dc := int(now/(3*time.Second)) % 3
			for n, tries := w.failures+r.IntN(2), 0; n > 0 && tries < 10000; tries++ {
				if s := f.servers[r.IntN(len(f.servers))]; s.alive && s.Group != "" && dataCentre(s) == dc {
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
					down = append(down, s)
				}
			}
		case 19 * time.Second:
			for _, s := range down {
				// The restarted backend server has only what is staged on its host.
				restarted := f.add(domain)
				restarted.Staged = s.Staged
				s.removed = true
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
			f.in.Pressure[m.Name] = w.demand[m.Name] / max(open, 0.5)
			mean[m.Name] += open / steps
			served[m.Name] += min(open/w.demand[m.Name], 1) / steps
		}
		f.step(func() bool { return false })
	}
	return mean, served
}

// average returns the means over several seeds.
func (w failurePattern) average(t *testing.T) (mean, served map[string]float64) {
	const seeds = 12
	mean, served = map[string]float64{}, map[string]float64{}
	for seed := range uint64(seeds) {
		m, s := w.simulate(t, seed)
		for name := range m {
			mean[name] += m[name] / seeds
			served[name] += s[name] / seeds
		}
	}
	return mean, served
}

// unevenFleet has domains that hold two groups of sixteen and a rest, or one such group and some of four.
var unevenFleet = failurePattern{
	domains: 6, size: 37, loadRate: 18, loadsAtOnce: 27, urgent: "large", failures: 2,
	models: []route.Model{
		{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	},
	demand: map[string]float64{"large": 4, "small": 9},
}

// TestUnevenDomains guards against a model with large groups losing one group after the other because no host of their
// domains has its weights, while the groups of another model are half empty. The large model must keep three quarters
// of its groups. Both must serve 90 % of their demand, and the small model, which has three times the capacity that its
// demand needs, all of it.
func TestUnevenDomains(t *testing.T) {
	first := newFleet(t, unevenFleet.domains, unevenFleet.size)
	first.engine.Models = unevenFleet.models
	first.run(14 * time.Second)
	mean, served := unevenFleet.average(t)
	t.Logf("mean open groups %v, demand served %v", mean, served)
	if want := 0.75 * float64(first.open("large")); mean["large"] < want {
		t.Errorf("%.2f groups of the large model are open, want %.2f", mean["large"], want)
	}
	for name, want := range map[string]float64{"large": 0.9, "small": 1} {
		if served[name] < want-1e-9 {
			t.Errorf("%.3f of the demand for the %s model is served, want %.3f", served[name], name, want)
		}
	}
}

// newFullDomain returns one domain with a group of the large model, two groups of the small model and no spare.
func newFullDomain(t *testing.T) *fleet {
	f := newFleet(t, 1, 8)
	f.engine.LoadsAtOnce = 6
	f.engine.Models[0].Share, f.engine.Models[1].Share = 0.5, 0.5
	f.run(14 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != 1 || small != 2 {
		t.Fatalf("%d large and %d small groups, want 1 and 2", large, small)
	}
	f.in.StartingUp = false
	return f
}

// failMember permanently fails a member of a group of a model.
func (f *fleet) failMember(model string) {
	for _, s := range f.servers {
		if s.alive && s.Model == model && s.Rank == 1 && s.Group != "" {
			s.alive, s.listed = false, false
			return
		}
	}
}

// TestPreempts guards against the survivors of a group under high pressure waiting for a load while groups of a model
// with low pressure run on hosts that have its weights.
func TestPreempts(t *testing.T) {
	f := newFullDomain(t)
	f.in.Pressure = map[string]float64{"large": 1.2, "small": 0.2}
	f.failMember("large")
	f.run(5 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != 1 || small != 1 {
		t.Errorf("%d large and %d small groups 5 s after the loss, want 1 and 1", large, small)
	}
}

// TestPreemptsOnlyForGain guards against closing groups whose model is under as much pressure, or would have no group
// left.
func TestPreemptsOnlyForGain(t *testing.T) {
	for name, pressure := range map[string]map[string]float64{
		"both have high pressure": {"large": 1.2, "small": 1.2}, "both have low pressure": {"large": 0.2, "small": 0.05},
	} {
		f := newFullDomain(t)
		f.in.Pressure = pressure
		f.failMember("large")
		f.run(5 * time.Second)
		if small := f.open("small"); small != 2 {
			t.Errorf("%s: %d small groups, want 2", name, small)
		}
	}
	f := newFullDomain(t)
	f.in.Pressure = map[string]float64{"large": 5, "small": 0.1}
	f.failMember("small")
	f.run(time.Second)
	f.failMember("large")
	f.run(5 * time.Second)
	if small := f.open("small"); small == 0 {
		t.Error("the last small group was closed")
	}
}

// similarModels are two models whose groups are of about the same size.
func similarModels() []route.Model {
	return []route.Model{
		{Name: "large", Size: 4, Share: 0.57, TimeFactor: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: 3, Share: 0.43, TimeFactor: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	}
}

// newSimilarFleet returns a fleet that has started and serves two models of similar sizes. Each domain has one group of
// each and no spare.
func newSimilarFleet(t *testing.T, domains int) *fleet {
	f := newFleet(t, domains, 7)
	f.engine.Models, f.engine.LoadsAtOnce = similarModels(), 6
	f.run(14 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != domains || small != domains {
		t.Fatalf("%d large and %d small groups, want %d of each", large, small, domains)
	}
	f.in.StartingUp = false
	return f
}

// TestSurvivorsServeOtherModel guards against the survivors of a group staying idle for the whole time of a load although
// they suffice for a group of another model. While members fail every few seconds, most of the idle hosts of a fleet
// were such survivors, each domain one or two short.
func TestSurvivorsServeOtherModel(t *testing.T) {
	f := newSimilarFleet(t, 2)
	f.in.Pressure = map[string]float64{"large": 0.9, "small": 0.9}
	f.failMember("large")
	f.run(5 * time.Second)
	if large, small := f.open("large"), f.open("small"); large != 1 || small != 3 {
		t.Errorf("%d large and %d small groups 5 s after the loss, want 1 and 3", large, small)
	}
}

// closings runs the fleet for d and counts the groups that are ordered to close.
func (f *fleet) closings(d time.Duration) int {
	before := f.open("large") + f.open("small")
	f.run(d)
	return before - f.open("large") - f.open("small")
}

// TestKeepsGroupsOfRelaxedModels guards against closing groups although no model is short of them. Half a second after a
// burst of one kind of request began, groups of the other model were closed in three domains at a time.
func TestKeepsGroupsOfRelaxedModels(t *testing.T) {
	f := newSimilarFleet(t, 3)
	for _, s := range f.servers[:3] {
		f.add(s.Domain).Staged = []string{"large"}
	}
	f.in.Pressure = map[string]float64{"large": 0.5, "small": 0.2}
	if n := f.closings(1500 * time.Millisecond); n != 0 {
		t.Errorf("%d groups were closed, want none", n)
	}
}

// TestPreemptsNoMoreThanNeeded guards against closing a group in each domain at once for a model that lacks one group.
func TestPreemptsNoMoreThanNeeded(t *testing.T) {
	f := newSimilarFleet(t, 3)
	for i := range 3 {
		s := f.add(fmt.Sprintf("d%d", i))
		s.Staged = []string{"large"}
	}
	f.in.Pressure = map[string]float64{"large": 0.75, "small": 0.2}
	if n := f.closings(1500 * time.Millisecond); n != 1 {
		t.Errorf("%d groups were closed, want 1", n)
	}
}

// TestKeepsGroupsOfUnknownDemand guards against a new holder of the lease closing the groups of a model only because the
// daemon that knows its demand has not reported yet, and against closing them while that daemon is cut off.
func TestKeepsGroupsOfUnknownDemand(t *testing.T) {
	f := newSimilarFleet(t, 3)
	for i := range 3 {
		s := f.add(fmt.Sprintf("d%d", i))
		s.Staged = []string{"large"}
	}
	f.planner = New(f.engine, 2, f.now)
	f.in.Pressure = map[string]float64{"large": 2}
	if n := f.closings(500 * time.Millisecond); n != 0 {
		t.Errorf("a new holder closed %d groups before it knew the demand for them", n)
	}
	f.in.Pressure = map[string]float64{"large": 2, "small": 1.5}
	f.run(2 * time.Second)
	f.in.Pressure = map[string]float64{"large": 2}
	if n := f.closings(2 * time.Second); n != 0 {
		t.Errorf("%d groups were closed while the demand for them was unknown", n)
	}
}

// TestSpareIsWarm guards against a broken group waiting while a spare loads weights that have been on its host for
// long.
func TestSpareIsWarm(t *testing.T) {
	f := newFleet(t, 1, 5)
	f.engine.Models = f.engine.Models[:1]
	f.run(10 * time.Second)
	f.in.StartingUp = false
	f.failMember("large")
	f.run(1500 * time.Millisecond)
	if f.open("large") != 1 {
		t.Errorf("%d groups 1.5 s after the loss of a member, want 1", f.open("large"))
	}
}

// TestLoadsAtOnce guards against more concurrent loads than the weight store serves at full speed, also across a change
// of the lease holder, and against a model without any group waiting for the loads of another model. In one incident 15
// empty hosts shared the bandwidth of six loads, and a model had no group for 23 s.
func TestLoadsAtOnce(t *testing.T) {
	f := newFleet(t, 3, 8)
	f.engine.LoadsAtOnce = 4
	f.in.LoadRate = 40
	f.in.StartingUp = false
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
			t.Fatalf("%d concurrent loads in step %d", n, i)
		}
	}
	if large, small := f.open("large"), f.open("small"); large == 0 || small == 0 {
		t.Errorf("%d large and %d small groups after 30 s, want some of each", large, small)
	}
}

// TestLoadOfLostHostFreesItsSlot guards against hosts that were lost while they fetched weights occupying the weight store
// for as long as their last reports are remembered. Empty hosts would then wait while the store is idle.
func TestLoadOfLostHostFreesItsSlot(t *testing.T) {
	f := newFleet(t, 1, 8)
	f.engine.Models = f.engine.Models[:1]
	f.engine.LoadsAtOnce = 4
	f.in.StartingUp = false
	f.in.Pressure = map[string]float64{"large": 2}
	f.run(time.Second)
	for _, s := range f.servers {
		if s.staging != "" {
			s.alive, s.listed, s.staging = false, false, ""
		}
	}
	f.run(time.Second)
	n := 0
	for _, s := range f.servers {
		if s.staging != "" {
			n++
		}
	}
	if n != f.engine.LoadsAtOnce {
		t.Errorf("%d loads run 1 s after the loss of the hosts that were loading, want %d", n, f.engine.LoadsAtOnce)
	}
}

// BenchmarkStep measures one step of the planner on a stable fleet. The lease holder runs ten steps a second.
func BenchmarkStep(b *testing.B) {
	for _, domains := range []int{1, 3, 8, 25} {
		b.Run(fmt.Sprint(domains*unevenFleet.size), func(b *testing.B) {
			f := newFleet(&testing.T{}, domains, unevenFleet.size)
			f.engine.Models = unevenFleet.models
			f.run(14 * time.Second)
			f.in.StartingUp = false
			f.in.Pressure = map[string]float64{"large": 0.5, "small": 0.3}
			f.run(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				f.planner.Step(f.now, f.in)
			}
		})
	}
}

// TestInvalidPressure guards against one absurd report of demand, or a clock that jumps, that changes the groups for good:
// some time after regular reports resume, the planner must hold the same pressure as one that received only these.
func TestInvalidPressure(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(24))
	absurd := gen.OneConstOf(math.NaN(), math.Inf(1), math.Inf(-1), -5.0, 1e18, 0.0)
	properties.Property("absurd pressure is forgotten", prop.ForAll(
		func(values []float64, jump int64) bool {
			now := time.Unix(1000, 0)
			p := New(testEngine(), 1, now)
			for _, v := range values {
				now = now.Add(time.Duration(jump) * time.Millisecond)
				p.smoothPressure(now, map[string]float64{"large": v})
			}
			for range 600 {
				now = now.Add(100 * time.Millisecond)
				p.smoothPressure(now, map[string]float64{"large": 0.7})
			}
			return math.Abs(p.pressure["large"]-0.7) < 0.01
		},
		gen.SliceOf(absurd), gen.Int64Range(-5000, 5000),
	))
	properties.TestingRun(t)
}

// TestLoadsAroundFirstRequest guards against more loads than the load rate allows when the first request arrives while the
// hosts of a large fleet are given their second model. The holder learns of that request only with the next digests, which
// are less frequent in a large fleet.
func TestLoadsAroundFirstRequest(t *testing.T) {
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second} {
		t.Run(lag.String(), func(t *testing.T) { testLoadsAroundFirstRequest(t, lag) })
	}
}

func testLoadsAroundFirstRequest(t *testing.T, lag time.Duration) {
	for first := 3 * time.Second; first < 7*time.Second; first += 200 * time.Millisecond {
		f := newFleet(t, 8, 21)
		f.engine.Models = similarModels()
		f.in.DemandLag = lag
		start := f.now
		loads := 0
		for f.now.Sub(start) < first+f.in.LoadWindow {
			f.in.StartingUp = f.now.Sub(start) < first+lag
			before := len(f.planner.loadTimes)
			f.step(func() bool { return false })
			if f.now.Sub(start) >= first {
				loads += max(len(f.planner.loadTimes)-before, 0)
			}
		}
		if most := int(f.in.LoadRate * f.in.LoadWindow.Seconds()); loads > most {
			t.Errorf("first request after %v: %d loads within a window of the load rate, want %d or fewer", first, loads, most)
		}
	}
}

// TestSilentServerIsNotDead guards against a server that counts as dead as soon as it does not respond, and against one that has
// ended counting as alive as long as its entry lasts.
func TestSilentServerIsNotDead(t *testing.T) {
	now := time.Now()
	in := Input{HeartbeatsRead: now, RenewalTimeout: 2400 * time.Millisecond, RefusedTimeout: 1500 * time.Millisecond, StoreRecovered: now.Add(-time.Minute)}
	for name, test := range map[string]struct {
		status ServerStatus
		dead   bool
	}{
		"silent, renewed":       {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}, Listed: true}, false},
		"silent, not renewed":   {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-3 * time.Second)}, Listed: true}, true},
		"ended, renewed":        {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}, Listed: true, Ended: true}, true},
		"ended, not listed":     {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}, Ended: true}, true},
		"refuses, renewed":      {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}, Listed: true, Refused: true}, false},
		"refuses, not renewed":  {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-2 * time.Second)}, Listed: true, Refused: true}, true},
		"refuses, not listed":   {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}, Refused: true}, true},
		"left, not listed":      {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second)}}, false},
		"responds":              {ServerStatus{Server: &roster.Server{}, Listed: true, Responding: true}, false},
		"lapsed":                {ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Second), Expired: true}}, true},
		"draining, not renewed": {ServerStatus{Server: &roster.Server{State: roster.Draining}, Listed: true}, false},
	} {
		if dead := test.status.dead(&in); dead != test.dead {
			t.Errorf("%s: dead %v, want %v", name, dead, test.dead)
		}
	}
	in.RenewalTimeout, in.RefusedTimeout = time.Hour, time.Hour // as while no heartbeats are seen
	for _, listed := range []bool{false, true} {
		silent := ServerStatus{Server: &roster.Server{RenewedAt: now.Add(-time.Minute), Expired: !listed}, Listed: listed}
		if dead := silent.dead(&in); dead == listed {
			t.Errorf("heartbeats hidden, listed %v: dead %v", listed, dead)
		}
	}
}

// TestUnreadHeartbeatsAreNotMissing guards against a holder that takes heads which refuse connections for dead because it has not read
// their heartbeats itself: it was paused, or a read takes long.
func TestUnreadHeartbeatsAreNotMissing(t *testing.T) {
	f := newFleet(t, 2, 12)
	f.run(8 * time.Second)
	f.in.StartingUp = false
	f.in.RefusedTimeout = 2400 * time.Millisecond
	f.run(time.Second)
	epochs := f.epochs()
	i := slices.IndexFunc(f.servers, func(s *fakeServer) bool { return s.Rank == 0 && s.Membership.State == roster.Open })
	f.servers[i].unreachable, f.servers[i].Refused = true, true
	f.run(time.Second)
	f.unread = true
	f.run(3 * time.Second)
	if after := f.epochs(); !maps.Equal(epochs, after) {
		t.Errorf("members by epoch after a pause of the holder: %v, want %v", after, epochs)
	}
}

// TestUnreachableFleetIsNotLost guards against breaking groups up, or forming new ones of their members, because the holder of the
// lease reaches few of the backend servers, or reaches them again one after the other. Their entries are renewed all the time.
func TestUnreachableFleetIsNotLost(t *testing.T) {
	f := newFleet(t, 2, 12)
	f.run(8 * time.Second)
	f.in.StartingUp = false
	f.run(8 * time.Second)
	large, small := f.open("large"), f.open("small")
	if large+small < 4 {
		t.Fatalf("%d large and %d small groups open at the start", large, small)
	}
	epochs := f.epochs()
	for _, s := range f.servers[3:] {
		s.unreachable = true
	}
	f.run(10 * time.Second)
	for _, s := range f.servers[3:] {
		s.unreachable = false
		f.run(200 * time.Millisecond)
	}
	f.run(2 * time.Second)
	if got := f.epochs(); !maps.Equal(got, epochs) {
		t.Errorf("memberships changed: %v, before %v", got, epochs)
	}
}

// epochs returns the epoch of each server's group, without spares.
func (f *fleet) epochs() map[string]int64 {
	out := map[string]int64{}
	for _, s := range f.servers {
		if s.Group != "" && !strings.HasPrefix(s.Group, sparePrefix) {
			out[s.ID] = s.Epoch
		}
	}
	return out
}

// TestUnreachableHeadKeepsItsMembers guards against taking the members of a group whose head cannot be reached, but works on and
// renews its entry, whether the store shows its heartbeats or not.
func TestUnreachableHeadKeepsItsMembers(t *testing.T) {
	for _, hidden := range []bool{false, true} {
		t.Run(fmt.Sprint("heartbeats hidden ", hidden), func(t *testing.T) {
			f := newFleet(t, 2, 12)
			f.run(8 * time.Second)
			f.in.StartingUp = false
			f.run(8 * time.Second)
			if f.hidden = hidden; hidden {
				f.in.RenewalTimeout = time.Hour // as while no heartbeats are seen
			}
			var head *fakeServer
			for _, s := range f.servers {
				if s.open && len(s.members) == 4 {
					head = s
				}
			}
			head.unreachable = true
			f.run(20 * time.Second) // execute fails the test if a member joins another group
			head.unreachable = false
			f.run(2 * time.Second)
			if !head.open {
				t.Error("the group was closed")
			}
		})
	}
}
