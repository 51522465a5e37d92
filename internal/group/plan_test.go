package group

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/platform"
)

// newFleet returns a state with instances in several domains. Each domain is a list of its instances' accelerators.
func newFleet(copies, instances int, domains ...[]int) *modelState {
	st := newModelState(0, copies, instances, true)
	st.leaving = map[string]bool{}
	for d, list := range domains {
		for k, n := range list {
			st.instances = append(st.instances, simInstance{up: true, Instance: platform.Instance{
				ID: fmt.Sprintf("d%d-%d", d, k), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(d), byte(k)}), 1), Kind: platform.KindEngine,
				DataCentre: fmt.Sprintf("c%d", d/2), Domain: fmt.Sprintf("d%d", d), Accelerators: n, State: platform.Live,
			}})
		}
	}
	return st
}

// unusedAccelerators returns how many accelerators of live instances are in no group.
func (st *modelState) unusedAccelerators() int {
	n := 0
	for _, m := range st.instances {
		if _, taken := st.rows[PrefixInstance+m.ID]; m.up && !taken {
			n += m.Accelerators
		}
	}
	return n
}

// minUnusedAccelerators returns the fewest accelerators that any packing of at most Copies groups leaves unused. It
// tries every subset of each domain as the set of instances in groups.
func (st *modelState) minUnusedAccelerators() int {
	domains := map[string][]int{}
	all := 0
	for _, m := range st.instances {
		if m.up {
			domains[m.Domain] = append(domains[m.Domain], m.Accelerators)
			all += m.Accelerators
		}
	}
	// most[k] is the most accelerators in k groups over the domains so far, or -1 if k groups aren't possible.
	most := make([]int, st.cfg.Copies+1)
	for k := range most[1:] {
		most[k+1] = -1
	}
	for _, list := range domains {
		here := map[int]int{}
		for set := range 1 << len(list) {
			size, sum := 0, 0
			for i, n := range list {
				if set>>i&1 == 1 {
					size, sum = size+1, sum+n
				}
			}
			if size%st.cfg.Instances == 0 {
				here[size/st.cfg.Instances] = max(here[size/st.cfg.Instances], sum)
			}
		}
		next := slices.Clone(most)
		for k, have := range most {
			for groups, sum := range here {
				if have >= 0 && k+groups < len(most) {
					next[k+groups] = max(next[k+groups], have+sum)
				}
			}
		}
		most = next
	}
	return all - slices.Max(most)
}

// Guards against a packing that leaves more accelerators unused than the best packing does, by more than one group's
// worth per fabric domain, both initially and after losses.
func TestPacking(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	worst, worstAfterLoss, cases := 0.0, 0.0, 400
	for range cases {
		var domains [][]int
		for range 1 + r.IntN(3) {
			n := 8
			if r.IntN(3) == 0 {
				n = 4
			}
			domains = append(domains, slices.Repeat([]int{n}, r.IntN(9)))
		}
		st := newFleet(1+r.IntN(6), 1+r.IntN(4), domains...)
		st.holders[0].planner.MaxLoads = 2
		bound := st.cfg.Instances * 8 * len(domains)
		check := func(worst *float64) {
			st.quiesce(mutation{})
			if st.violation != "" {
				t.Fatal(st.violation)
			}
			over := st.unusedAccelerators() - st.minUnusedAccelerators()
			*worst = max(*worst, float64(over)/float64(bound))
			if over > bound {
				t.Errorf("%v, %d copies of %d: %d accelerators unused, %d in the best packing", domains, st.cfg.Copies, st.cfg.Instances, st.unusedAccelerators(), st.minUnusedAccelerators())
			}
		}
		check(&worst)
		for k := range st.instances {
			st.instances[k].up = r.IntN(4) > 0
		}
		check(&worstAfterLoss)
	}
	t.Logf("%d cases: at most %.2f of a group's worth per domain beyond the best packing, %.2f after losses", cases, worst, worstAfterLoss)
}

// Guards against a group that spans fabric domains and one outside the configured data centres.
func TestDomains(t *testing.T) {
	st := newFleet(4, 4, []int{8, 8, 8}, []int{8, 8, 8}, []int{8, 8, 8, 8, 8}, []int{8, 8, 8}, []int{8, 8, 8, 8})
	st.cfg.DataCentres = []string{"c0", "c1"}
	if n := st.quiesce(mutation{}); n != 1 {
		t.Errorf("%d groups serve, want 1", n)
	}
	for _, g := range st.table.Groups {
		for _, m := range g.Members {
			if i := st.instance(m.ID); i.Domain != "d2" {
				t.Errorf("%s has a member in %s", g.ID, i.Domain)
			}
		}
	}
}

// Guards against surplus groups that are stopped instead of drained, and against instances that stay claimed after a
// service is scaled down or withdrawn.
func TestShrinkAndWithdraw(t *testing.T) {
	st := newFleet(3, 2, []int{8, 8, 8, 8}, []int{8, 8})
	if n := st.quiesce(mutation{}); n != 3 {
		t.Fatalf("%d groups serve, want 3", n)
	}
	phases := func() (out map[Phase]int) {
		out = map[Phase]int{}
		for _, g := range st.table.Groups {
			out[g.Phase]++
		}
		return out
	}
	st.cfg.Copies = 1
	st.observe(0)
	for range 4 {
		st.plan(0, mutation{})
		for len(st.holders[0].decisions) > 0 {
			st.runNextDecision(0)
		}
	}
	if p := phases(); p[Draining] != 2 || p[Serving] != 1 {
		t.Errorf("phases right after scaling down to 1: %v", p)
	}
	if n := st.quiesce(mutation{}); n != 1 || len(st.table.Assignments) != 2 {
		t.Errorf("%d groups serve, want 1; %d instances claimed, want 2", n, len(st.table.Assignments))
	}
	st.withdrawn = true
	if n := st.quiesce(mutation{}); n != 0 || len(st.table.Groups) != 0 || len(st.table.Assignments) != 0 {
		t.Errorf("after withdrawal: %d groups serve, table %v", n, st.table)
	}
	for _, m := range st.instances {
		if m.state.Group != "" {
			t.Errorf("%s still belongs to group %s", m.ID, m.state.Group)
		}
	}
	st.withdrawn = false
	st.quiesce(mutation{})
	for _, g := range st.table.Groups {
		if g.Generation <= 3 {
			t.Errorf("generation %d is used again", g.Generation)
		}
	}
}

// Guards against a change of version that takes more than one group out of service at a time, or leaves a group on the
// old version.
func TestVersionRollout(t *testing.T) {
	st := newFleet(3, 2, []int{8, 8, 8, 8}, []int{8, 8})
	st.quiesce(mutation{})
	st.cfg.Version = "2"
	least := 3
	for range 400 {
		st.now = st.now.Add(100 * time.Millisecond)
		st.observe(0)
		st.plan(0, mutation{})
		for len(st.holders[0].decisions) > 0 {
			st.runNextDecision(0)
		}
		n := 0
		for _, g := range st.table.Groups {
			if g.Phase == Serving {
				n++
			}
		}
		least = min(least, n)
		for k := range st.instances {
			st.instances[k].state.Loaded = st.instances[k].state.Group != ""
		}
	}
	for _, g := range st.table.Groups {
		if g.Version != "2" || g.Phase != Serving {
			t.Errorf("%s: version %s, phase %s; want 2, serving", g.ID, g.Version, g.Phase)
		}
	}
	if least != 2 {
		t.Errorf("at least %d of 3 groups served at any time, want 2", least)
	}
}

// Guards against more groups loading at once than the weight store allows.
func TestMaxLoads(t *testing.T) {
	st := newFleet(6, 1, []int{8, 8, 8, 8, 8, 8})
	st.holders[0].planner.MaxLoads = 2
	most := 0
	for range 60 {
		st.now = st.now.Add(500 * time.Millisecond)
		st.observe(0)
		for range 4 {
			st.plan(0, mutation{})
			for len(st.holders[0].decisions) > 0 {
				st.runNextDecision(0)
			}
		}
		n := 0
		for _, g := range st.table.Groups {
			if g.Phase == Loading {
				n++
			}
		}
		most = max(most, n)
		for k := range st.instances {
			st.instances[k].state.Loaded = st.instances[k].state.Group != ""
		}
	}
	if n := st.quiesce(mutation{}); most != 2 || n != 6 {
		t.Errorf("%d groups loaded at once, want 2; %d serve in the end, want 6", most, n)
	}
}

// Guards against an engine that responds but never finishes loading. It must be replaced by a spare, or its group must
// be released so that another one can load, and the engine must not be retried immediately over and over.
func TestLoadTimeout(t *testing.T) {
	for _, spares := range []int{0, 1} {
		st := newFleet(2, 2, slices.Repeat([]int{8}, 2+spares), []int{8, 8})
		st.holders[0].planner.MaxLoads = 1
		stuck := ""
		tried := map[uint64]bool{}
		run := func(d time.Duration) {
			for end := st.now.Add(d); st.now.Before(end); {
				st.now = st.now.Add(500 * time.Millisecond)
				st.observe(0)
				st.plan(0, mutation{})
				for len(st.holders[0].decisions) > 0 {
					st.runNextDecision(0)
				}
				for k := range st.instances {
					m := &st.instances[k]
					if stuck == "" && m.state.Group != "" {
						stuck = m.ID
					}
					if m.state.Loaded = m.state.Group != "" && m.ID != stuck; m.ID == stuck && m.state.Group != "" {
						tried[m.state.Generation] = true
					}
				}
			}
		}
		serving := func() (n int) {
			for _, g := range st.table.Groups {
				if g.Phase == Serving {
					n++
				}
			}
			return n
		}
		run(LoadTimeout - time.Second)
		if n := serving(); n != 0 {
			t.Fatalf("%d spares: %d groups serve before the limit, want 0 as the stuck group uses the only concurrent load", spares, n)
		}
		run(30 * time.Second)
		if n := serving(); n != 1+spares {
			t.Errorf("%d spares: %d groups serve after the limit, want %d", spares, n, 1+spares)
		}
		run(3 * LoadTimeout)
		if n := serving(); n != 1+spares || len(tried) > 4 {
			t.Errorf("%d spares: %d groups serve in the end, want %d; the stuck instance was tried %d times", spares, n, 1+spares, len(tried))
		}
	}
}

// Guards against a group with a leaving member that keeps serving or that loses its other members.
func TestLeaving(t *testing.T) {
	st := newFleet(1, 2, []int{8, 8, 8})
	st.quiesce(mutation{})
	g := st.table.Groups["s/1"]
	st.leaving[g.Members[0].ID] = true
	st.observe(0)
	st.plan(0, mutation{})
	st.runNextDecision(0)
	if p := st.table.Groups["s/1"].Phase; p != Draining {
		t.Errorf("phase right after the notice is %s, want draining", p)
	}
	st.quiesce(mutation{})
	next := st.table.Groups["s/1"]
	if next.Phase != Serving || next.Generation <= g.Generation || next.Members[1] != g.Members[1] || next.Members[0] == g.Members[0] {
		t.Errorf("group before: %+v, after: %+v", g, next)
	}
}

// measureHeal measures in simulated time how long a group is down after the loss of a member: from the loss to its
// detection by the home's probes, and to the commit that lets the group serve again. The periods are those of package
// control: probes every member.ProbePeriod, reports read every 500 ms, planning every 250 ms. A commit and an order
// each take the time commit.
func measureHeal(load, phase, commit time.Duration) (detectedAfter, downFor time.Duration) {
	st := newFleet(1, 4, []int{8, 8, 8, 8, 8})
	st.quiesce(mutation{})
	start := st.now
	lost := st.table.Groups["s/1"].Members[2].ID
	lostAt := start.Add(phase)
	var home, held member.View
	list := platform.Roster{At: start}
	for _, m := range st.instances {
		list.Instances = append(list.Instances, m.Instance)
	}
	home.ApplyList(list)
	held.ApplyList(list)
	loading := map[string]time.Time{}
	report := false
	busy := start
	const step = 10 * time.Millisecond
	h := &st.holders[0]
	h.states = map[string]ObservedState{}
	failing := time.Duration(0)
	for st.now = start; st.now.Sub(start) < load+time.Minute; st.now = st.now.Add(step) {
		since := st.now.Sub(start)
		for k := range st.instances {
			m := &st.instances[k]
			if m.ID == lost && !st.now.Before(lostAt) {
				m.up = false
			}
			if at, ok := loading[m.ID]; ok && st.now.Sub(at) >= load {
				m.state.Loaded = true
			}
		}
		// A failed probe is known only at its timeout.
		if since%member.ProbePeriod == 0 && failing < since {
			for _, m := range st.instances {
				if m.ID == lost && !m.up && since >= phase+member.ProbeTimeout {
					home.RecordProbe(lost, false)
				}
			}
			if home.State(lost) == member.Gone && detectedAfter == 0 {
				detectedAfter = st.now.Sub(lostAt)
			}
			// The holder queries the members and the free instances while the group is not serving.
			if st.table.Groups["s/1"].Phase != Serving {
				for _, m := range st.instances {
					if m.up {
						h.states[m.ID] = ObservedState{State: m.state, At: st.now}
					}
				}
			}
		}
		if since%(500*time.Millisecond) == 250*time.Millisecond && detectedAfter > 0 && !report {
			report = true
			held.RecordMissing(lost)
		}
		if since%(250*time.Millisecond) == 0 && !st.now.Before(busy) {
			h.table = st.table
			h.view = map[string]member.State{}
			for _, m := range st.instances {
				h.view[m.ID] = held.State(m.ID)
			}
			st.plan(0, mutation{})
			for len(h.decisions) > 0 {
				d := h.decisions[0]
				st.runNextDecision(0)
				busy = st.now.Add(commit)
				if d.Kind == Order && d.Order.Op == engine.OpLoad {
					loading[d.Member.ID] = busy
				}
				if d.Kind == Serve {
					return detectedAfter, busy.Sub(lostAt)
				}
			}
		}
	}
	return detectedAfter, -1
}

// Measures the time to detect a loss and the time to repair, up to the commit that lets the group serve. Detection must
// take at most 2 s, the repair at most 1.2 times the load time plus 1 s. 2 s of detection and 1 s besides the load fit
// into that only for load times of at least 9 s; for shorter ones, the time after detection is checked.
func TestHeal(t *testing.T) {
	for _, load := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second} {
		var worstDetection, worstDowntime, worstRepair time.Duration
		for phase := 10 * time.Millisecond; phase <= member.ProbePeriod; phase += 30 * time.Millisecond {
			detectedAfter, downFor := measureHeal(load, phase, 20*time.Millisecond)
			if downFor < 0 {
				t.Fatalf("load %v: group did not serve again", load)
			}
			worstDetection, worstDowntime, worstRepair = max(worstDetection, detectedAfter), max(worstDowntime, downFor), max(worstRepair, downFor-detectedAfter)
		}
		target := time.Duration(1.2 * float64(load+time.Second))
		t.Logf("load %v: loss detected after at most %v, group repaired after %v (%.2f of load + 1 s), %v after detection (%.2f)", load, worstDetection, worstDowntime, float64(worstDowntime)/float64(load+time.Second), worstRepair, float64(worstRepair)/float64(load+time.Second))
		if worstDetection > 2*time.Second {
			t.Errorf("load %v: loss detected after %v, want at most 2s", load, worstDetection)
		}
		if (load >= 9*time.Second && worstDowntime > target) || worstRepair > target {
			t.Errorf("load %v: group repaired after %v, %v after detection; target %v", load, worstDowntime, worstRepair, target)
		}
	}
}

// Guards against instances of a released group that keep their rows, so that they would never serve again.
func TestSurvivorsAreFree(t *testing.T) {
	st := newFleet(2, 3, []int{8, 8, 8}, []int{8, 8, 8})
	st.quiesce(mutation{})
	st.instances[0].up = false
	if n := st.quiesce(mutation{}); n != 1 {
		t.Fatalf("%d groups serve, want 1", n)
	}
	taken := slices.Sorted(maps.Keys(st.table.Assignments))
	if !slices.Equal(taken, []string{"d1-0", "d1-1", "d1-2"}) {
		t.Errorf("claimed instances: %v, want those of domain d1", taken)
	}
	if st.instances[1].state.Group != "" {
		t.Error("an instance of the released group still belongs to it")
	}
}
