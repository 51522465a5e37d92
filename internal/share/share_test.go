package share

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"flamingorudder.example/internal/note"
)

var start = time.Unix(1_800_000_000, 0)

const orgs = 4

// randomBorrowers converts random numbers into the demands of borrowers, with 0 to most requests per rank and
// organisation at each.
func randomBorrowers(ns []int, most int) []*borrowerState {
	var bs []*borrowerState
	for len(ns) >= orgs*int(note.NumRanks) {
		b := &borrowerState{name: string(rune('a' + len(bs)))}
		for i, n := range ns[:orgs*note.NumRanks] {
			if n = n % (most + 1); n > 0 {
				b.demand.Lines = append(b.demand.Lines, DemandLine{Rank: note.Rank(i / orgs), Org: i % orgs, Waiting: n})
			}
		}
		bs, ns = append(bs, b), ns[orgs*note.NumRanks:]
	}
	return bs
}

func totalDemand(bs []*borrowerState) (d [note.NumRanks]int) {
	for _, b := range bs {
		for _, l := range b.demand.Lines {
			d[l.Rank] += l.Waiting + l.Running
		}
	}
	return d
}

// organisationShares returns the share of a rank's slots that each organisation gets.
func organisationShares(r note.Rank, slots int, p Policy, bs []*borrowerState) (out [orgs]float64) {
	for o := range orgs {
		// Moves the organisation's demand to borrowers of its own, so that their shares add up to the organisation's.
		var split []*borrowerState
		for _, b := range bs {
			own, rest := &borrowerState{}, &borrowerState{}
			for _, l := range b.demand.Lines {
				if l.Org == o {
					own.demand.Lines = append(own.demand.Lines, l)
				} else {
					rest.demand.Lines = append(rest.demand.Lines, l)
				}
			}
			split = append(split, own, rest)
		}
		for i, x := range borrowerShares(r, slots, p, split) {
			if i%2 == 0 {
				out[o] += x
			}
		}
	}
	return out
}

// TestDivisionProperties guards the arithmetic of divide against slots that are granted twice, lost or taken from a
// floor, with random demands, floors and weights.
func TestDivisionProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 1000
	ps := gopter.NewProperties(params)
	numbers := gen.SliceOfN(6*orgs*note.NumRanks, gen.IntRange(0, 1000))
	fractions := gen.SliceOfN(note.NumRanks, gen.Float64Range(0, 0.6))
	weights := gen.SliceOfN(orgs, gen.Float64Range(0.1, 10))

	ps.Property("caps add up for every rank, floors hold, no slot is idle", prop.ForAll(
		func(slots, most, turn int, ns []int, fs, ws []float64) bool {
			p := Policy{Weights: ws}
			copy(p.Floors[:], fs)
			bs := randomBorrowers(ns, most)
			demand := totalDemand(bs)
			d := divide(slots, p, &rotation{turn: turn}, bs)
			exact := exactFloors(slots, p.Floors)
			whole, up := wholeFloors(slots, p.Floors, [note.NumRanks]float64{}), 0
			for _, x := range exact {
				up += int(math.Ceil(x - epsilon))
			}
			var sum [note.NumRanks]int
			used := 0
			for r := range note.NumRanks {
				rank, extra, within := 0, 0, 0
				for i := range bs {
					if d.mayExceedCap[i][r] {
						extra++
					}
					within += d.floorSlots[i][r]
				}
				// Headroom is limited to a fifth of the slots and never given to overnight work. No floor slot is given
				// twice.
				if extra > max(1, slots/5) || r == int(note.RankOvernight) && extra > 0 || within > d.floors[r] {
					return false
				}
				for i := range bs {
					sum[r] += d.caps[i][r]
					if d.caps[i][r] < 0 {
						return false
					}
					own := 0
					for _, l := range bs[i].demand.Lines {
						if l.Rank == note.Rank(r) {
							own += l.Waiting
						}
					}
					rank += min(own, d.caps[i][r])
				}
				floor := min(float64(demand[r]), exact[r])
				if up > slots {
					floor = min(float64(demand[r]), float64(whole[r]))
				}
				if sum[r] != d.capTotals[r] || rank < d.assigned[r] || float64(d.assigned[r]) < 0.95*floor {
					return false
				}
				used += d.assigned[r]
			}
			other := min(demand[1], whole[1]) + min(demand[2], whole[2])
			return used == min(slots, demand[0]+demand[1]+demand[2]) && sum[0] == slots-other &&
				sum[2] == slots-d.assigned[0]-d.assigned[1]
		}, gen.IntRange(1, 64), gen.IntRange(0, 20), gen.IntRange(0, 20), numbers, fractions, weights))

	ps.Property("a larger weight never gets a smaller share", prop.ForAll(
		func(slots int, ns []int, ws []float64, o int, factor float64) bool {
			bs, before := randomBorrowers(ns, 10), Policy{Weights: ws}
			after := Policy{Weights: slices.Clone(ws)}
			after.Weights[o] *= factor
			slots = min(slots, totalDemand(bs)[0])
			return organisationShares(0, slots, after, bs)[o] >= organisationShares(0, slots, before, bs)[o]-epsilon
		}, gen.IntRange(1, 64), numbers, weights, gen.IntRange(0, orgs-1), gen.Float64Range(1, 5)))

	ps.Property("equal organisations get equal slots within one", prop.ForAll(
		func(slots, n, depth int, carry []float64) bool {
			var bs []*borrowerState
			for o := range n {
				b := &borrowerState{name: string(rune('a' + o))}
				b.carry[2] = carry[o]
				b.demand.Lines = []DemandLine{{Rank: 2, Org: o, Waiting: slots * depth}}
				bs = append(bs, b)
			}
			d := divide(slots, Policy{}, &rotation{}, bs)
			lo, hi := slots, 0
			for _, c := range d.caps {
				lo, hi = min(lo, c[2]), max(hi, c[2])
			}
			return hi-lo <= 1
		}, gen.IntRange(1, 64), gen.IntRange(1, 12), gen.IntRange(1, 20), gen.SliceOfN(12, gen.Float64Range(-1, 1))))
	ps.TestingRun(t)
}

// TestRotation guards against starvation by rounding, when the floors rounded up exceed the slots and there are more
// borrowers than slots.
func TestRotation(t *testing.T) {
	h := &Home{}
	h.Step(start, Policy{Floors: [note.NumRanks]float64{0.3, 0.3, 0.3}})
	h.Step(start, Group{Name: "g", Generation: 1, Slots: 2, Present: true})
	var got [5][note.NumRanks]int
	const turns = 500
	for i := range turns {
		for k := range 6 {
			now := start.Add(time.Duration(i+2)*GrantTTL + time.Duration(k)*ReportInterval)
			for b := range got {
				// Without Running: all requests end between two reports.
				d := Demand{Daemon: string(rune('a' + b)), Group: "g", Generation: 1, Seq: uint64(now.UnixNano()), GrantSeq: h.lastGrantSeq}
				for r := range note.NumRanks {
					d.Lines = append(d.Lines, DemandLine{Rank: note.Rank(r), Waiting: 5})
				}
				for _, a := range h.Step(now, d) {
					if k == 5 && a.To == d.Daemon {
						for r, c := range a.Grant.Caps {
							got[b][r] += c
						}
					}
				}
			}
		}
	}
	sum := [note.NumRanks]int{}
	for b := range got {
		for r, n := range got[b] {
			sum[r] += n
			if n < turns*2*3/10/len(got)*9/10 {
				t.Errorf("borrower %d got a sum of %d slots of rank %d over all turns, below 90%% of an even share", b, n, r)
			}
		}
	}
	for r, n := range sum {
		if float64(n) < 0.95*0.3*2*turns {
			t.Errorf("rank %d got a sum of %d slots over all turns, below 95%% of its floor", r, n)
		}
	}
}

// TestHomeHistories guards against grants for a group that is not present or for an old generation, and against
// overnight caps whose sum exceeds the available slots. If the slots shrink so that caps already exceed them, new grants
// must not raise the sum. It uses random demands, presence changes, generations and lost grants.
func TestHomeHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 300
	params.MaxShrinkCount = 0
	ps := gopter.NewProperties(params)
	ps.Property("histories", prop.ForAll(func(ns []int) bool {
		h, now, g := &Home{}, start, Group{Name: "g", Generation: 1, Slots: 9, Present: true}
		type held struct {
			cap   int
			until time.Time
			gen   uint64
		}
		grants, latest := map[string][]held{}, map[string]Grant{}
		h.Step(now, Policy{Floors: [note.NumRanks]float64{0, 0.2, 0.2}})
		h.Step(now, g)
		most := func() (n int) {
			for _, hs := range grants {
				m := 0
				for _, x := range hs {
					if x.gen == g.Generation && now.Before(x.until) {
						m = max(m, x.cap)
					}
				}
				n += m
			}
			return n
		}
		for _, n := range ns {
			now = now.Add(time.Duration(n%97) * 4 * time.Millisecond)
			before := most()
			var out []Action
			switch who := string(rune('a' + n%5)); {
			case n%23 == 0:
				g.Present = !g.Present
				out = h.Step(now, g)
			case n%29 == 0:
				g.Generation++
				out = h.Step(now, g)
			default:
				d := Demand{Daemon: who, Group: "g", Generation: g.Generation - uint64(n/31%7/6), Seq: uint64(now.UnixNano())}
				// A third of the grants is lost, so that the borrower continues with an older one.
				if n%3 > 0 {
					d.GrantSeq = latest[who].GrantSeq
					grants[who] = slices.DeleteFunc(grants[who], func(x held) bool { return x.cap > latest[who].Caps[2] })
				}
				for r := range note.NumRanks {
					d.Lines = append(d.Lines, DemandLine{Rank: note.Rank(r), Org: n % 3, Waiting: n / (r + 7) % 5})
				}
				out = h.Step(now, d)
			}
			for _, a := range out {
				if a.Grant == nil {
					continue
				}
				if !g.Present || a.Grant.Generation != g.Generation {
					return false
				}
				latest[a.To] = *a.Grant
				grants[a.To] = append(grants[a.To], held{a.Grant.Caps[2], time.Unix(0, int64(a.Grant.DemandSeq)).Add(GrantTTL), g.Generation})
			}
			if _, total := h.OvernightUse(); most() > max(before, total) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(200, gen.IntRange(0, 1_000_000))))
	ps.TestingRun(t)
}

// TestBorrower guards against grants that are accepted although they are late, repeated, from the wrong daemon or for
// another generation, against use of the group after expiry or withdrawal, and against base shares without a recent
// probe. It also checks the report after a demand becomes unmet and the switch to the next daemon when the home is lost.
func TestBorrower(t *testing.T) {
	b := &Borrower{Self: "a", Group: "g"}
	b.SetGeneration(3, 8)
	b.SetHomes([]string{"h1", "h2"})
	b.SetDemand(start, 1, []DemandLine{{Waiting: 2}})
	first, ok := b.Step(start)
	if !ok || first.To != "h1" {
		t.Fatalf("first report %+v %v", first, ok)
	}
	g := Grant{Group: "g", Generation: 3, Caps: [3]int{2, 1, 1}, TTL: GrantTTL, DemandSeq: first.Demand.Seq, GrantSeq: 5, Borrowers: 4}
	old := g
	old.Generation = 2
	at := start.Add(10 * time.Millisecond)
	if b.Accept(at, "h1", old) || b.Accept(at, "h2", g) || !b.Accept(at, "h1", g) || b.Accept(at, "h1", g) {
		t.Error("a grant with the wrong generation, sender or number was accepted, or the valid one was not")
	}
	if _, ok := b.Caps(start.Add(GrantTTL)); ok {
		t.Error("the grant is valid for longer than GrantTTL after the demand was sent")
	}
	// The demand becomes unmet, which is reported at once, but not within MinReportInterval of the last report.
	b.SetDemand(at, 1, []DemandLine{{Waiting: 1, Running: 2}})
	if _, ok := b.Step(at); ok || !b.Due().Equal(start.Add(MinReportInterval)) {
		t.Error("reported within MinReportInterval, or due at", b.Due().Sub(start))
	}
	second, _ := b.Step(start.Add(MinReportInterval))
	if b.Accept(start.Add(GrantTTL+time.Millisecond), "h1", Grant{Group: "g", Generation: 3, TTL: GrantTTL, DemandSeq: first.Demand.Seq, GrantSeq: 9}) {
		t.Error("accepted a grant for a demand sent more than GrantTTL ago")
	}
	if second.Demand.GrantSeq != 5 || second.Demand.Borrowers != 4 {
		t.Errorf("second report %+v", second.Demand)
	}
	// Without an answer, the next daemon is asked after AnswerTimeout.
	now := start.Add(MinReportInterval)
	for to := ""; to != "h2"; {
		now = b.Due()
		if r, ok := b.Step(now); ok {
			to = r.To
		}
	}
	if d := now.Sub(start.Add(MinReportInterval)); d < AnswerTimeout || d > AnswerTimeout+MinReportInterval {
		t.Errorf("asked the next daemon after %v", d)
	}
	now = start.Add(GrantTTL)
	if _, ok := b.Caps(now); ok {
		t.Error("a base share is used although no probe found the group present")
	}
	b.RecordPresence(now, 2)
	b.RecordPresence(now, 3)
	if caps, ok := b.Caps(now); !ok || caps != [3]int{2, 2, 0} {
		t.Errorf("base share %v %v", caps, ok)
	}
	if _, ok := b.Caps(now.Add(GrantTTL)); ok {
		t.Error("a base share is used although the last probe is older than GrantTTL")
	}
	b.Withdraw(now, "h2", Withdrawn{Group: "g", Generation: 3})
	if _, ok := b.Caps(now); ok {
		t.Error("the group is used after the withdrawal")
	}
}

// TestBorrowerReturns guards against borrowers that keep asking different homes after a fault: each has to return to the
// first daemon in the order.
func TestBorrowerReturns(t *testing.T) {
	b := &Borrower{Self: "a", Group: "g"}
	if b.Step(start); !b.Due().After(start) {
		t.Error("Step is due immediately although there is no daemon to ask")
	}
	b.SetGeneration(1, 8)
	b.SetHomes([]string{"h1", "h2"})
	b.SetDemand(start, 1, []DemandLine{{Waiting: 1}})
	asked := map[string]int{}
	for now := start; now.Before(start.Add(time.Minute)); now = b.Due() {
		r, ok := b.Step(now)
		if !ok {
			continue
		}
		// The first daemon does not answer for 20 s.
		if r.To == "h2" || now.Sub(start) > 20*time.Second {
			b.Accept(now, r.To, Grant{Group: "g", Generation: 1, Caps: [3]int{1, 1, 1}, TTL: GrantTTL, DemandSeq: r.Demand.Seq, GrantSeq: 1})
		}
		if _, ok := b.Caps(now); !ok && now.Sub(start) > AnswerTimeout && now.Sub(start) < 4*time.Second {
			t.Errorf("no grant at %v", now.Sub(start))
		}
		asked[r.To]++
	}
	if b.Home() != "h1" || asked["h2"] == 0 {
		t.Errorf("asks %s, reports %v", b.Home(), asked)
	}
}

func BenchmarkHome(b *testing.B) {
	h := &Home{}
	h.Step(start, Group{Name: "g", Generation: 1, Slots: 16, Present: true})
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(ReportInterval / 30)
		d := Demand{Daemon: string(rune('A' + i%30)), Group: "g", Generation: 1, Seq: uint64(now.UnixNano())}
		for o := range 10 {
			d.Lines = append(d.Lines, DemandLine{Rank: note.Rank(o % 3), Org: o, Waiting: (i + o) % 5})
		}
		h.Step(now, d)
	}
}

// TestSteadyDemandIsRenewed guards against a borrower that repeats an unmet demand every ReportInterval although it has
// not changed, which triples the traffic when every group is full. It also guards against one that is late to report a
// change or to repeat a demand after a lost answer.
func TestSteadyDemandIsRenewed(t *testing.T) {
	for _, x := range []struct {
		name        string
		grow        int
		answer      bool
		least, most int
	}{
		{"steady", 0, true, 13, 15},
		{"growing", 2, true, 38, 42},
		{"no answer", 0, false, 38, 42},
	} {
		b := Borrower{Self: "d", Group: "g"}
		b.SetGeneration(1, 8)
		b.SetHomes([]string{"h"})
		waiting, reports := 8, 0
		now := time.Unix(1_800_000_000, 0)
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			b.SetDemand(now, 1, []DemandLine{{Rank: note.RankLive, Waiting: waiting, Running: 4}})
			r, ok := b.Step(now)
			if !ok {
				continue
			}
			reports++
			waiting += x.grow * waiting / 8
			if x.answer {
				b.Accept(now, "h", Grant{Group: "g", Generation: 1, Caps: [note.NumRanks]int{4, 0, 0}, TTL: GrantTTL, DemandSeq: r.Demand.Seq, GrantSeq: uint64(reports), Borrowers: 2})
			}
		}
		if reports < x.least || reports > x.most {
			t.Errorf("%s: %d reports in 10 s, want %d to %d", x.name, reports, x.least, x.most)
		}
	}
}
