package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"flamingorudder.example/internal/route"
)

func testPlan(q *Queue) *Plan {
	return &Plan{
		Engine: &route.Engine{
			Slots: 26, Stride: 5, Step: 6070 * time.Microsecond, PerRequest: 241 * time.Microsecond, ReadRate: 46000, Chunk: 2048,
			UsualAnswer: 116,
		},
		Model: &route.Model{Name: "m", Size: 4, Pace: 1}, Urgent: q.Urgent,
	}
}

// TestChoose guards against work for groups that are suspect, full, or too busy reading prompts to answer in time.
func TestChoose(t *testing.T) {
	q := &Queue{}
	p := testPlan(q)
	r := &Request{Prompt: 1000, Objective: 500 * time.Millisecond}
	for _, test := range []struct {
		name   string
		groups []Group
		want   int
	}{
		{"none", nil, -1},
		{"idle one", []Group{{Load: Load{Requests: 20}}, {}}, 1},
		{"suspect", []Group{{Suspect: true}}, -1},
		{"full", []Group{{Load: Load{Requests: 26}}}, -1},
		{"busy reading", []Group{{Load: Load{Requests: 4, Unread: 40000}}}, -1},
		{"slow", []Group{{Slowness: 8}}, -1},
		{"near", []Group{{}, {Near: true}}, 1},
	} {
		if got := p.Choose(r, test.groups, func() float64 { return 0 }); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// TestLongPromptIsServed guards against a prompt whose reading alone takes longer than the objective being kept out of an
// idle group for ever.
func TestLongPromptIsServed(t *testing.T) {
	p := testPlan(&Queue{})
	r := &Request{Prompt: 200_000, Objective: 500 * time.Millisecond}
	if p.Choose(r, []Group{{}}, func() float64 { return 0 }) != 0 {
		t.Error("the long prompt gets no place in an idle group")
	}
}

// TestUrgentWorkKeepsRoom guards against less urgent work taking the places and the reading time of urgent work.
func TestUrgentWorkKeepsRoom(t *testing.T) {
	q := &Queue{}
	now := time.Now()
	for range 20 {
		q.Used(now, &Waiter{Request: Request{Rank: 1, Prompt: 1000, Objective: 300 * time.Millisecond}})
	}
	p := testPlan(q)
	g := []Group{{Load: Load{Requests: 22}}}
	zero := func() float64 { return 0 }
	if p.Choose(&Request{Rank: 1, Prompt: 100, Objective: 300 * time.Millisecond}, g, zero) != 0 {
		t.Error("urgent work gets no place")
	}
	if p.Choose(&Request{Rank: 2, Prompt: 100, Objective: time.Second}, g, zero) != -1 {
		t.Error("less urgent work gets one of the last places")
	}
	if part, _ := q.Urgent(1); part != 0 {
		t.Error("work counts as more urgent than itself")
	}
}

// TestStaleLoadsSpread guards against all daemons of a large fleet choosing the same group between two digests: with many
// requests unheard of, no group gets more than a few times its part.
func TestStaleLoadsSpread(t *testing.T) {
	p := testPlan(&Queue{})
	p.Unheard = 200
	r := rand.New(rand.NewPCG(1, 1))
	groups := make([]Group, 18)
	for i := range groups {
		groups[i].Load.Requests = 8 + i%5
	}
	n := make([]int, len(groups))
	for range 1800 {
		n[p.Choose(&Request{Prompt: 700, Objective: 500 * time.Millisecond}, groups, r.Float64)]++
	}
	for i, got := range n {
		if got > 600 {
			t.Errorf("group %d gets %d of 1800", i, got)
		}
	}
}

// TestQueueOrder guards against a large organisation's burst keeping out the few requests of a small one, and against a
// stream that was cut off losing its turn.
func TestQueueOrder(t *testing.T) {
	q := &Queue{}
	now := time.Now()
	add := func(ticket uint64, rank int, org string, continues bool) {
		w := &Waiter{Ticket: ticket, Organisation: org, Request: Request{
			Rank: rank, Prompt: 10, Objective: 10 * time.Second, Arrived: now, Until: now.Add(80 * time.Second), Continues: continues,
		}}
		if !q.Add(now, w) {
			t.Fatalf("ticket %d is turned away", ticket)
		}
	}
	q.Used(now, &Waiter{Organisation: "large", Request: Request{Prompt: 100000}})
	add(1, 1, "large", false)
	add(2, 1, "small", false)
	add(3, 0, "large", false)
	add(4, 2, "large", true)
	var got []uint64
	for _, w := range q.Order(now) {
		got = append(got, w.Ticket)
	}
	if want := []uint64{4, 3, 2, 1}; len(got) != 4 || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] || got[3] != want[3] {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestHopelessIsRejectedAtOnce guards against requests waiting although those before them take longer than they may wait.
func TestHopelessIsRejectedAtOnce(t *testing.T) {
	q := &Queue{}
	now := time.Now()
	for range 10 {
		q.Used(now, &Waiter{})
	}
	taken := 0
	for i := range 100 {
		w := &Waiter{Ticket: uint64(i), Request: Request{Objective: time.Second, Arrived: now, Until: now.Add(8 * time.Second)}}
		if q.Add(now, w) {
			taken++
		}
	}
	// 5 places a second lately and a patience of half a second.
	if taken < 1 || taken > 3 {
		t.Errorf("%d of 100 wait", taken)
	}
	if late := q.Expire(now.Add(600 * time.Millisecond)); len(late) != taken {
		t.Errorf("%d expire", len(late))
	}
}

// TestComeBack guards against callers who were refused together returning together, or after their time.
func TestComeBack(t *testing.T) {
	now := time.Now()
	r := &Request{Until: now.Add(6 * time.Second)}
	first, last := ComeBack(now, r, func() float64 { return 0 }), ComeBack(now, r, func() float64 { return 0.99 })
	if first < 500*time.Millisecond || last-first < 500*time.Millisecond || last > 2*time.Second {
		t.Errorf("from %v to %v", first, last)
	}
	if got := ComeBack(now, &Request{Until: now.Add(300 * time.Millisecond)}, func() float64 { return 0 }); got > 100*time.Millisecond {
		t.Errorf("%v with 0.3 s left", got)
	}
}

// TestSilence guards against waiting out a stall, against doubting a group that only reads a long prompt, and against
// doubting all groups after this process was paused.
func TestSilence(t *testing.T) {
	p := testPlan(&Queue{})
	limit := p.Limit()
	now := time.Now()
	s := NewSilence()
	tick := func(d time.Duration) (out []string) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(25 * time.Millisecond)
			groups, _ := s.Tick(now)
			out = append(out, groups...)
		}
		return out
	}
	r := s.Begin(now, "g", limit)
	if !s.Progress(now, r) || s.Progress(now, r) {
		t.Fatal("the first event is not told from others")
	}
	if got := tick(limit - 50*time.Millisecond); len(got) != 0 {
		t.Fatalf("doubted within its longest pass: %v", got)
	}
	s.Progress(now, r)
	if got := tick(limit + 75*time.Millisecond); len(got) != 1 {
		t.Fatalf("silent group: %v", got)
	}
	if got := tick(time.Second); len(got) != 0 {
		t.Errorf("reported again: %v", got)
	}
	s.Progress(now, r)
	now = now.Add(5 * time.Second)
	if got, lone := s.Tick(now); len(got)+len(lone) != 0 {
		t.Errorf("doubted after this process was paused: %v", got)
	}
	s.End(r)
	if got := tick(3 * time.Second); len(got) != 0 {
		t.Errorf("idle group doubted: %v", got)
	}
}

// TestSilentConnection guards against a stream that waits out its deadline on a connection that went silent while its group
// works on for others.
func TestSilentConnection(t *testing.T) {
	limit := testPlan(&Queue{}).Limit()
	now := time.Now()
	s := NewSilence()
	works, silent := s.Begin(now, "g", limit), s.Begin(now, "g", limit)
	s.Progress(now, works)
	s.Progress(now, silent)
	var lone []*Track
	for end := now.Add((loneLimits + 1) * limit); now.Before(end); {
		now = now.Add(25 * time.Millisecond)
		s.Progress(now, works)
		groups, requests := s.Tick(now)
		if len(groups) != 0 {
			t.Fatal("the group is doubted")
		}
		lone = append(lone, requests...)
	}
	if len(lone) != 1 || lone[0] != silent {
		t.Errorf("%d requests are silent", len(lone))
	}
}

// group is a model group in the replay of a burst: it serves n requests at once, each step slower the more there are.
type group struct {
	running []replayed
	load    Load
}

type replayed struct {
	prompt, left int
	read         bool
	arrived      time.Time
	objective    time.Duration
	rank         int
}

// replay plays a burst of the most urgent work at three times what the groups serve in time, and returns the part of each
// rank that sees its first event in time. choose places a request.
func replay(t *testing.T, choose func(p *Plan, q *Queue, now time.Time, r *Request, groups []Group) int) map[int]float64 {
	t.Helper()
	r := rand.New(rand.NewPCG(7, 7))
	q := &Queue{}
	p := testPlan(q)
	groups := make([]*group, 6)
	for i := range groups {
		groups[i] = &group{}
	}
	const step = 10 * time.Millisecond
	now := time.Unix(1000, 0)
	asked, inTime := map[int]float64{}, map[int]float64{}
	budgets := make([]float64, len(groups))
	for tick := range 1200 {
		now = now.Add(step)
		rate := 0.5
		if tick > 300 && tick < 900 {
			rate = 1.6
		}
		for range int(rate + r.Float64()) {
			rank, objective := 1, 500*time.Millisecond
			if r.IntN(3) == 0 {
				rank, objective = 2, time.Second
			}
			asked[rank]++
			req := &Request{Rank: rank, Prompt: 500 + r.IntN(2000), Objective: objective, Arrived: now, Until: now.Add(6 * time.Second)}
			loads := make([]Group, len(groups))
			for i, g := range groups {
				loads[i].Load = g.load
			}
			i := choose(p, q, now, req, loads)
			if i < 0 {
				continue
			}
			q.Used(now, &Waiter{Request: *req})
			groups[i].running = append(groups[i].running, replayed{req.Prompt, 130, false, now, objective, rank})
			groups[i].load = groups[i].load.Add(Load{1, req.Prompt})
		}
		for i, g := range groups {
			budgets[i] += float64(step)
			for budgets[i] > 0 && len(g.running) > 0 {
				n := min(len(g.running), p.Engine.Slots)
				cost := float64(p.Engine.Step + time.Duration(n)*p.Engine.PerRequest)
				kept := g.running[:0]
				for j, x := range g.running {
					switch {
					case j >= n:
					case !x.read:
						cost += float64(p.Reading(x.prompt))
						x.read = true
						g.load.Unread -= x.prompt
						if now.Sub(x.arrived) <= x.objective {
							inTime[x.rank]++
						}
					default:
						x.left--
					}
					if x.left > 0 {
						kept = append(kept, x)
					} else {
						g.load.Requests--
					}
				}
				g.running = kept
				budgets[i] -= cost
			}
			if len(g.running) == 0 {
				budgets[i] = min(budgets[i], 0)
			}
		}
	}
	out := map[int]float64{}
	for rank, n := range asked {
		out[rank] = inTime[rank] / n
	}
	return out
}

// TestBurst replays a burst against the choice made here and against the baseline, which takes everything and gives it to
// the group with the least requests. Urgent work must be served in time at least twice as often, and no less often than
// less urgent work.
func TestBurst(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 8))
	ours := replay(t, func(p *Plan, _ *Queue, _ time.Time, req *Request, groups []Group) int {
		return p.Choose(req, groups, r.Float64)
	})
	least := replay(t, func(_ *Plan, _ *Queue, _ time.Time, _ *Request, groups []Group) int {
		best := 0
		for i := range groups {
			if groups[i].Load.Requests < groups[best].Load.Requests {
				best = i
			}
		}
		return best
	})
	t.Logf("in time by rank: %v, baseline %v", ours, least)
	if ours[1] < 2*least[1] {
		t.Errorf("urgent work in time %.2f, baseline %.2f", ours[1], least[1])
	}
	if ours[1] < ours[2] {
		t.Errorf("urgent work %.2f, less urgent work %.2f", ours[1], ours[2])
	}
}
