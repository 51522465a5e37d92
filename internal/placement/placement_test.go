package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var start = time.Unix(1_800_000_000, 0)

func fiftyGroups() (*Picker, []Candidate, Query) {
	p, cs := &Picker{}, []Candidate{}
	q := Query{DataCentre: "perth"}
	for i := range uint64(16) {
		q.PrefixHashes = append(q.PrefixHashes, i*7919)
	}
	for i := range 50 {
		c := Candidate{Group: fmt.Sprintf("model-desk/%d", i), DataCentre: []string{"stirling", "perth", "lanark"}[i%3], Slots: 8, Free: 2}
		cs = append(cs, c)
		p.RecordLoad(start, c.Group, Load{Generation: 1, Running: 2 + i%5, TokenInterval: 50 * time.Millisecond, MeasuredAt: start})
		p.RecordSent(start, c.Group, Query{PrefixHashes: q.PrefixHashes[:i%8]})
	}
	for h := range uint64(maxPrefixes * 3 / 2) {
		p.ApplyCacheEvents(start, cs[h%50].Group, 1, 1+h/50, []CacheEvent{{Seq: h / 50, Prefix: h << 20}})
	}
	return p, cs, q
}

func BenchmarkPick(b *testing.B) {
	for _, kind := range []string{"cached", "unknown"} {
		b.Run(kind, func(b *testing.B) {
			p, cs, q := fiftyGroups()
			if kind == "unknown" {
				for i := range q.PrefixHashes {
					q.PrefixHashes[i] += 1 << 60
				}
			}
			r := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(q, cs, r.Uint64())
			}
		})
	}
}

// TestPickAllocations guards against allocations in Pick, which runs for each request.
func TestPickAllocations(t *testing.T) {
	p, cs, q := fiftyGroups()
	if n := testing.AllocsPerRun(1000, func() { p.Pick(q, cs, 1<<63) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// TestPick guards the order of preferences: a cached prefix on a group within the load limit, the daemon's data centre,
// then the load including the daemon's own requests that a report does not include yet.
func TestPick(t *testing.T) {
	p := &Picker{}
	cs := []Candidate{{"a", "x", 8, 0, 1}, {"b", "y", 8, 0, 1}, {"c", "y", 8, 0, 0}}
	for _, c := range cs {
		p.RecordLoad(start, c.Group, Load{Generation: 1, Running: 3, MeasuredAt: start})
	}
	q := Query{PrefixHashes: []uint64{1, 2, 3}, DataCentre: "x"}
	if i := p.Pick(q, cs, 1<<63); i != 0 {
		t.Error("the choice is not in the daemon's data centre:", i)
	}
	p.ApplyCacheEvents(start, "a", 1, 1, []CacheEvent{{Seq: 0, Prefix: 1}})
	p.ApplyCacheEvents(start, "b", 1, 2, []CacheEvent{{Seq: 0, Prefix: 1}, {Seq: 1, Prefix: 2}})
	p.ApplyCacheEvents(start, "c", 1, 1, []CacheEvent{{Seq: 0, Prefix: 3}})
	if i := p.Pick(q, cs, 0); i != 1 {
		t.Error("the choice is not the free group with the longest cached prefix:", i)
	}
	for range 3 {
		p.RecordSent(start.Add(2*time.Millisecond), "b", Query{})
	}
	if i := p.Pick(q, cs, 0); i != 0 {
		t.Error("the choice is a group whose load exceeds cacheLoadBound:", i)
	}
	// A report made before the requests were sent does not include them.
	p.RecordLoad(start.Add(3*time.Millisecond), "b", Load{Generation: 1, Running: 3, MeasuredAt: start.Add(time.Millisecond)})
	if got := p.groups["b"].estimatedLoad(0); got != 6 {
		t.Error("load corrected to", got)
	}
	p.RecordLoad(start.Add(4*time.Millisecond), "b", Load{Generation: 1, Running: 4, MeasuredAt: start.Add(4 * time.Millisecond)})
	if got := p.groups["b"].estimatedLoad(0); got != 4 {
		t.Error("load corrected to", got)
	}
	p.RecordEnded(start.Add(5*time.Millisecond), "b")
	if got := p.groups["b"].estimatedLoad(0); got != 3 {
		t.Error("load corrected to", got)
	}
	if i := (&Picker{}).Pick(q, cs[2:], 0); i != -1 {
		t.Error("the choice is a group without free slots:", i)
	}
}

// TestCache guards the prefix index against stale entries after gaps in the events, repeated events and a new
// generation, and against growth beyond its limits.
func TestCache(t *testing.T) {
	p := &Picker{}
	cs := []Candidate{{"a", "x", 8, 0, 1}, {"b", "x", 8, 0, 1}}
	cached := func(h uint64) bool {
		return p.Pick(Query{PrefixHashes: []uint64{h}}, cs, 0) == 1 && p.Pick(Query{PrefixHashes: []uint64{h}}, cs, 1<<63) == 1
	}
	p.RecordLoad(start, "a", Load{})
	p.ApplyCacheEvents(start, "b", 1, 2, []CacheEvent{{0, 10, false}, {1, 11, false}})
	p.ApplyCacheEvents(start, "b", 1, 2, []CacheEvent{{0, 12, false}})
	if !cached(10) || !cached(11) || cached(12) {
		t.Error("an event was not applied, or an event with a repeated number was")
	}
	p.ApplyCacheEvents(start, "b", 1, 5, []CacheEvent{{3, 13, false}, {4, 14, false}})
	if cached(10) || cached(11) || !cached(13) {
		t.Error("entries from before a gap are kept, or those after it are missing")
	}
	p.ApplyCacheEvents(start, "b", 1, 6, []CacheEvent{{5, 13, true}})
	if cached(13) || !cached(14) {
		t.Error("a prefix is kept after its removal, or another one is missing")
	}
	p.ApplyCacheEvents(start, "b", 1, 9, nil)
	if cached(14) {
		t.Error("entries from before a gap at the end are kept")
	}
	p.ApplyCacheEvents(start, "b", 1, 10, []CacheEvent{{9, 15, false}})
	p.ApplyCacheEvents(start, "b", 2, 0, nil)
	if cached(15) {
		t.Error("entries of an older generation are kept")
	}
	for h := range uint64(5 * maxPrefixes) {
		p.RecordSent(start, fmt.Sprint(h%(2*maxGroups)), Query{PrefixHashes: []uint64{h}})
	}
	if len(p.recentPrefixes)+len(p.olderPrefixes) > 2*maxPrefixes || len(p.groups) > maxGroups {
		t.Errorf("%d prefixes, %d groups", len(p.recentPrefixes)+len(p.olderPrefixes), len(p.groups))
	}
	for _, g := range p.groups {
		if len(g.changes) > maxChanges {
			t.Errorf("a group has %d load changes", len(g.changes))
		}
	}
	p.Retain(nil)
	if len(p.recentPrefixes)+len(p.olderPrefixes)+len(p.groups) != 0 {
		t.Error("Retain(nil) did not discard everything")
	}
}

// TestStraggler guards the rule for stragglers: a group becomes one after three slow reports in a row, then gets one
// request in 20, and recovers with a report below 1.5 times the median.
func TestStraggler(t *testing.T) {
	p, cs := &Picker{}, []Candidate{{"a", "x", 8, 0, 1}, {"b", "x", 8, 0, 1}, {"c", "x", 8, 0, 1}}
	r := rand.New(rand.NewPCG(1, 1))
	now := start
	requestsToThird := func(ms ...int) int {
		for _, n := range ms {
			now = now.Add(time.Second)
			for i, c := range cs {
				p.RecordLoad(now, c.Group, Load{TokenInterval: time.Duration([]int{50, 50, n}[i]) * time.Millisecond, MeasuredAt: now})
			}
		}
		n := 0
		for range 2000 {
			if p.Pick(Query{}, cs, r.Uint64()) == 2 {
				n++
			}
		}
		return n
	}
	for i, c := range []struct {
		ms        []int
		straggler bool
	}{{[]int{150, 150}, false}, {[]int{90, 150, 150}, false}, {[]int{150}, true}, {[]int{80}, true}, {[]int{70}, false}} {
		if n := requestsToThird(c.ms...); (n == 2000/probeInterval) != c.straggler {
			t.Errorf("step %d: the slow group got %d of 2000 requests", i, n)
		}
	}
	if i := p.Pick(Query{}, cs[2:], 0); i != 0 {
		t.Error("the only candidate is not chosen although it is a straggler:", i)
	}
}

// simulateP99Wait returns the 99th percentile of the wait for a slot, with 7 daemons and 50 groups of 8 slots. The load
// reports are late by the given time from 20 s on, and only waits after that count. With least, each request goes to
// the group with the least reported load.
func simulateP99Wait(seed uint64, late time.Duration, least bool) time.Duration {
	const daemons, groups, slots, service = 7, 50, 8, 500 * time.Millisecond
	type end struct {
		at     time.Time
		daemon int
	}
	type sample struct {
		at   time.Time
		load Load
	}
	r := rand.New(rand.NewPCG(seed, 5))
	pickers := make([]Picker, daemons)
	reported := make([][]sample, groups)
	running := make([][]end, groups)
	free := make([][slots]time.Time, groups)
	cs := make([]Candidate, groups)
	for i := range cs {
		cs[i] = Candidate{Group: fmt.Sprint(i), Slots: slots, Free: 100}
	}
	var waits []time.Duration
	rate := 0.85 * groups * slots / service.Seconds()
	now, next, fault, warm := start, start, start.Add(20*time.Second), 0
	for next.Before(fault.Add(20 * time.Second)) {
		if now.Before(fault) {
			warm = len(waits)
		}
		now = now.Add(5 * time.Millisecond)
		for g := range groups {
			running[g] = slices.DeleteFunc(running[g], func(e end) bool {
				if e.at.After(now) {
					return false
				}
				pickers[e.daemon].RecordEnded(now, cs[g].Group)
				return true
			})
			if (now.Sub(start).Milliseconds()+int64(g)*10)%500 != 0 {
				continue
			}
			reported[g] = append(reported[g], sample{now, Load{Running: len(running[g]), MeasuredAt: now}})
			for len(reported[g]) > 0 && (now.Before(fault) || now.Sub(reported[g][0].at) >= late) {
				cs[g].Running = reported[g][0].load.Running
				for d := range daemons {
					pickers[d].RecordLoad(now, cs[g].Group, reported[g][0].load)
				}
				reported[g] = reported[g][1:]
			}
		}
		for ; next.Before(now); next = next.Add(time.Duration(r.ExpFloat64() / rate * 1e9)) {
			d, g := r.IntN(daemons), 0
			if least {
				for i := range cs {
					if cs[i].Running < cs[g].Running {
						g = i
					}
				}
			} else {
				g = pickers[d].Pick(Query{}, cs, r.Uint64())
			}
			pickers[d].RecordSent(now, cs[g].Group, Query{})
			k := 0
			for i, at := range free[g] {
				if at.Before(free[g][k]) {
					k = i
				}
			}
			from := now
			if free[g][k].After(now) {
				from = free[g][k]
			}
			free[g][k] = from.Add(time.Duration((0.5 + r.Float64()) * float64(service)))
			waits = append(waits, from.Sub(now))
			running[g] = append(running[g], end{free[g][k], d})
		}
	}
	waits = waits[warm:]
	slices.Sort(waits)
	return waits[len(waits)*99/100].Round(time.Millisecond)
}

// TestLateReports guards against long waits when load reports are delayed. Reports that are 2 s late must not raise the
// 99th percentile of the wait above 1.5 times that without a delay. The wait must also be shorter than with a choice by
// the least reported load, which sends all requests to one group until the next report.
func TestLateReports(t *testing.T) {
	type pair struct{ onTime, late time.Duration }
	var chosen [3]pair
	var least pair
	var g errgroup.Group
	for i := range chosen {
		seed := uint64(5 + i)
		g.Go(func() error { chosen[i].onTime = simulateP99Wait(seed, 0, false); return nil })
		g.Go(func() error { chosen[i].late = simulateP99Wait(seed, 2*time.Second, false); return nil })
	}
	g.Go(func() error { least.onTime = simulateP99Wait(5, 0, true); return nil })
	g.Go(func() error { least.late = simulateP99Wait(5, 2*time.Second, true); return nil })
	_ = g.Wait()
	for i, x := range chosen {
		t.Logf("seed %d: p99 wait %v without a delay of reports, %v with reports 2 s late", 5+i, x.onTime, x.late)
		if float64(x.late) > 1.5*float64(x.onTime) {
			t.Errorf("seed %d: reports 2 s late make the p99 wait %.2f times as long", 5+i, float64(x.late)/float64(x.onTime))
		}
	}
	t.Logf("least reported load: p99 wait %v without a delay of reports, %v with reports 2 s late", least.onTime, least.late)
	if chosen[0].late >= least.late {
		t.Error("with late reports, the wait is not shorter than with a choice by the least reported load")
	}
}
