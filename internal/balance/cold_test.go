package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

// coldFleet simulates daemons that send requests to one cold server whenever they may.
type coldFleet struct {
	bounds  ColdBounds
	service *route.Service
	server  *roster.Server
	daemons []*Cold
	tenures []Tenure
	random  *rand.Rand
	now     time.Time
	// arrivals holds when requests reach the server.
	arrivals []time.Time
}

func newColdFleet(n int, rate float64) *coldFleet {
	f := &coldFleet{
		bounds: ColdBounds{1.5, 5}, service: &route.Service{Name: "s", ColdTime: time.Hour, ColdRate: rate}, tenures: make([]Tenure, n),
		random: rand.New(rand.NewPCG(1, uint64(n))), now: time.Unix(1000, 0),
	}
	f.server = &roster.Server{ID: "a", Service: "s", Born: 1, ColdUntil: f.now.Add(time.Hour)}
	for range n {
		c := NewCold()
		c.Update(f.now, map[string]*roster.Server{"a": f.server}, testColdConfig(f.service))
		f.daemons = append(f.daemons, c)
	}
	return f
}

func testColdConfig(s *route.Service) *route.Config {
	c := &route.Config{Services: []route.Service{*s}, Routes: []route.Route{{Name: "r", Prefix: "/", Split: []route.Weighted{{Service: s.Name, Weight: 1}}}}}
	if err := c.Build(); err != nil {
		panic(err)
	}
	return c
}

// arrive has a request that is sent now reach the server after it was under way for up to coldTransit.
func (f *coldFleet) arrive() {
	f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.random.Float64()*float64(coldTransit))))
}

// alone has daemon i send what it may without the others.
func (f *coldFleet) alone(i int, rate float64) {
	slots := Slots{Daemons: len(f.daemons), Rank: i, Clock: time.Duration(f.now.UnixNano()), Rate: rate}
	for f.daemons[i].NextAlone(f.now, f.server, slots).IsZero() && f.daemons[i].TakeAlone(f.now, f.server, slots) {
		f.arrive()
	}
}

// schedule has daemon i send what it may as the scheduler of a model.
func (f *coldFleet) schedule(i, live, known int) {
	rate := f.bounds.SchedulerRate(f.service.ColdRate, f.tenures[i].Settled(f.now, true), live, known)
	for n := f.daemons[i].Allowance(f.now, f.server, rate); n > 0; n-- {
		f.daemons[i].Take(f.now, f.server)
		f.arrive()
	}
}

// run calls step every 10 ms for d.
func (f *coldFleet) run(d time.Duration, step func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		step()
	}
}

// most returns the largest number of requests that reached the server in any second that began in [from, to).
func (f *coldFleet) most(from, to time.Time) int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most := 0
	for i, t := range f.arrivals {
		n := 0
		for n < len(f.arrivals)-i && f.arrivals[i+n].Sub(t) < time.Second {
			n++
		}
		if !t.Before(from) && t.Before(to) {
			most = max(most, n)
		}
	}
	return most
}

// TestColdServerUnderBurst guards against daemons that keep to the rate of a cold server one by one but not together: all have been idle for
// long, then all have requests at once, and go on.
func TestColdServerUnderBurst(t *testing.T) {
	for _, daemons := range []int{1, 7, 88, 370} {
		for _, rate := range []float64{1, 17, 40} {
			t.Run(fmt.Sprint(daemons, " daemons ", rate), func(t *testing.T) {
				f := newColdFleet(daemons, rate)
				f.now = f.now.Add(time.Minute)
				start := f.now
				f.run(20*time.Second, func() {
					for i := range f.daemons {
						f.alone(i, rate)
					}
				})
				if n := f.most(start, f.now); n > int(rate) {
					t.Errorf("%d requests in a second, the rate is %v", n, rate)
				}
				if n := len(f.arrivals); float64(n) < rate*20*0.25 {
					t.Errorf("%d requests in 20 s, the rate allows %v", n, rate*20)
				}
			})
		}
	}
}

// TestColdServerAtChangeOfScheduler guards against two daemons that both use the whole rate of a cold head while the scheduler changes, also
// while all others have given up waiting for it and decide alone, and after either was paused.
func TestColdServerAtChangeOfScheduler(t *testing.T) {
	f := newColdFleet(88, 17)
	n := len(f.daemons)
	bound := int(17*f.bounds.Overage + f.bounds.Slack)
	f.run(tenureTime+3*time.Second, func() { f.schedule(0, n, n) })
	if most := f.most(f.now.Add(-2*time.Second), f.now); most > 17 || most < 12 {
		t.Errorf("the scheduler alone: %d requests in a second, the rate is 17", most)
	}
	changed := f.now
	// The new scheduler takes over while the earlier one does not know it, and the other daemons ask neither.
	f.run(1500*time.Millisecond, func() {
		f.schedule(0, n, n)
		f.schedule(1, n, n)
		for i := 2; i < n; i++ {
			f.alone(i, f.bounds.AloneRate(17))
		}
	})
	// The earlier one decides alone then, as one of all daemons.
	f.run(tenureTime+2*time.Second, func() {
		f.tenures[0].Settled(f.now, false)
		f.alone(0, f.bounds.AloneRate(17))
		f.schedule(1, n, n)
	})
	if most := f.most(changed.Add(-time.Second), f.now); most > bound {
		t.Errorf("%d requests in a second at the change, %d are allowed", most, bound)
	}
	// The first daemon was paused as the scheduler, and goes on before it knows that it was replaced.
	paused := f.now
	f.tenures[0] = Tenure{since: f.now.Add(-time.Minute), checked: f.now.Add(-2 * time.Second)}
	f.run(1500*time.Millisecond, func() {
		f.schedule(0, n, n)
		f.schedule(1, n, n)
	})
	if most := f.most(paused.Add(-time.Second), f.now); most > bound {
		t.Errorf("%d requests in a second after a pause, %d are allowed", most, bound)
	}
}

// TestColdServerInPartition guards against the schedulers on both sides of a lost link that each use the whole rate for long, and against
// daemons that hear nobody, as all do after a common start, and are schedulers for themselves.
func TestColdServerInPartition(t *testing.T) {
	for _, sides := range [][]int{{59, 59}, {59, 29}, {30, 29, 29}, slices.Repeat([]int{1}, 88)} {
		f := newColdFleet(88, 17)
		f.run(tenureTime+2*time.Second, func() {
			for i, live := range sides {
				f.schedule(i, live, len(f.daemons))
			}
			for i := len(sides); i < len(f.daemons); i++ {
				f.alone(i, f.bounds.AloneRate(17))
			}
		})
		if most, bound := f.most(time.Time{}, f.now), int(17*f.bounds.Overage+f.bounds.Slack); most > bound {
			t.Errorf("sides of %v: %d requests in a second, %d are allowed", sides, most, bound)
		}
	}
}

// TestWhichServersAreCold guards against servers that are sent full load because their entry does not say that they are cold, and against
// clocks that differ, which would have servers count as cold for good.
func TestWhichServersAreCold(t *testing.T) {
	now := time.Unix(1000, 0)
	service := &route.Service{Name: "s", ColdTime: 3 * time.Second, ColdRate: 17}
	seen := func(ago time.Duration, appeared bool, age time.Duration) roster.Server {
		return roster.Server{FirstSeen: now.Add(-ago), Appeared: appeared, Born: now.Add(-age).UnixMilli()}
	}
	entry := seen(time.Minute, true, time.Minute)
	entry.ColdUntil = now.Add(time.Second)
	for _, test := range []struct {
		name   string
		server roster.Server
		left   time.Duration
	}{
		{"its entry says so", entry, time.Second},
		{"has run for long", seen(time.Minute, true, time.Minute), 0},
		{"appeared", seen(time.Second, true, time.Second), 2 * time.Second},
		{"appeared, its clock is ahead", seen(time.Second, true, -time.Hour), 2 * time.Second},
		{"appeared, its clock is behind", seen(time.Second, true, time.Hour), 2 * time.Second},
		{"there before, has just started", seen(0, false, 2*time.Second), time.Second},
		{"there before, its clock is ahead", seen(time.Second, false, -time.Hour), 2 * time.Second},
		{"there before", seen(0, false, time.Hour), 0},
		{"there before, without a start time", roster.Server{FirstSeen: now}, 0},
	} {
		s := test.server
		s.ID, s.Service, s.DataCentre = "a", "s", "north"
		c := NewCold()
		started := c.Update(now, map[string]*roster.Server{"a": &s}, testColdConfig(service))
		until := c.Until(now, &s, service)
		if test.left == 0 && !until.IsZero() || test.left > 0 && until.Sub(now).Round(time.Millisecond) != test.left {
			t.Errorf("%s: cold until %v, want for %v", test.name, until, test.left)
		}
		if (len(started) == 1) != (test.left > 0) || c.Any(now) != (test.left > 0) || c.Any(now.Add(test.left)) {
			t.Errorf("%s: %d servers became cold, any now %v", test.name, len(started), c.Any(now))
		}
	}

	s := seen(time.Minute, true, time.Minute)
	s.ID, s.Service, s.DataCentre = "a", "s", "north"
	c := NewCold()
	c.Update(now, map[string]*roster.Server{"a": &s}, testColdConfig(service))
	c.Tell(now, &s, time.Second)
	if until := c.Until(now, &s, service); !until.Equal(now.Add(time.Second)) {
		t.Errorf("cold until %v after its answer", until)
	}
	if c.Tell(now, &s, 0); !c.Until(now, &s, service).IsZero() {
		t.Error("cold although a later answer says that it is not")
	}
	c.Presume("south", now)
	if !c.Until(now, &s, service).IsZero() {
		t.Error("presumed cold with another data centre")
	}
	if c.Presume("north", now); !c.Until(now, &s, service).Equal(now.Add(service.ColdTime)) || !c.Until(now.Add(service.ColdTime), &s, service).IsZero() {
		t.Error("not presumed cold for the cold time")
	}
	if none := (&route.Service{Name: "s", ColdTime: time.Hour}); !c.Until(now, &s, none).IsZero() {
		t.Error("cold in a service without a cold rate")
	}
}

// TestWarmGroupsArePreferred guards against requests at groups with a cold member while others can serve them in time, and against requests
// that are late because groups with a cold member are not used.
func TestWarmGroupsArePreferred(t *testing.T) {
	plan := &Plan{Engine: &route.Engine{Slots: 8, Stride: 1, Step: 10 * time.Millisecond, PerRequest: time.Millisecond, PrefillRate: 46000, UsualAnswer: 100}, Model: &route.Model{TimeFactor: 1}}
	now := time.Unix(1000, 0)
	s := NewScheduler()
	groups := []Group{{Key: "cold", Cold: true}, {Key: "warm", Load: Load{Requests: 3}}}
	placed := map[string]int{}
	for i := range 10 {
		s.Put(now, &Waiter{Ticket: Ticket{ID: uint64(i)}, Request: Request{Prompt: 100, Objective: 500 * time.Millisecond, Arrived: now, Until: now.Add(time.Second)}})
		for _, d := range s.Step(now, plan, groups, 0, rand.Float64) {
			if placed[d.Group]++; d.Group == "cold" && placed["warm"] < 5 {
				t.Error("placed at the cold group while the warm one has free slots")
			}
		}
	}
	if placed["warm"] != 5 || placed["cold"] != 5 {
		t.Errorf("placed %v", placed)
	}
	// A cold head that takes no more holds requests back, and is counted.
	groups = []Group{{Key: "cold", Cold: true, ColdLimited: true, Limited: true}}
	s.Put(now, &Waiter{Ticket: Ticket{ID: 20}, Request: Request{Prompt: 100, Objective: 500 * time.Millisecond, Arrived: now, Until: now.Add(time.Second)}})
	if out := s.Step(now, plan, groups, 0, rand.Float64); len(out) > 0 && out[0].Group != "" {
		t.Errorf("placed at a cold head that takes no more: %+v", out[0])
	}
	if held, _ := s.TakeColdCounts(); held != 1 {
		t.Errorf("%d requests were held back", held)
	}
}
