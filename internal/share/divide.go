package share

import (
	"cmp"
	"math"
	"slices"

	"flamingorudder.example/internal/note"
)

// epsilon absorbs rounding errors in sums of shares, which are far below one slot.
const epsilon = 1e-9

// orgKey identifies an organisation. The index alone is ambiguous, since it depends on the revision of the
// configuration.
type orgKey struct {
	revision uint64
	org      int
}

// division is the result of dividing a group's slots. Its slices are in the order of the borrowers passed to divide.
type division struct {
	// floors is the part of each rank's floor that is in demand, in slots; assigned is the slots that its demand gets
	// in total.
	floors, assigned [note.NumRanks]int
	// capTotals is the sum of the caps of each rank.
	capTotals [note.NumRanks]int
	// exactShares is each borrower's share of the assigned slots of a rank before rounding.
	exactShares [note.NumRanks][]float64
	caps        [][note.NumRanks]int
	// floorSlots is how many slots of each rank's floor each borrower has.
	floorSlots [][note.NumRanks]int
	// mayExceedCap reports which borrowers may exceed the cap of a rank by one; see grantHeadroom.
	mayExceedCap [][note.NumRanks]bool
}

// rotation carries rounding remainders from one turn to the next, so that shares are exact on average over turns.
type rotation struct {
	turn       int
	floorCarry [note.NumRanks]float64
}

// divide divides the slots of a group between ranks, organisations and borrowers. It is a pure function of its
// arguments.
//
// Each rank is assigned its floor as far as there is demand for it; the other slots go to the remaining demand, the
// most urgent rank first. Rounding must not take slots from a floor: a floor is rounded up to whole slots, so that a
// rank with enough demand is assigned its whole floor before a more urgent rank gets slots beyond its own. Floors are
// rounded down only if the sum of the rounded floors exceeds the slots. The remainder then rotates, so that each floor
// holds on average over turns. Floors whose sum exceeds 1 are scaled down to a sum of 1.
func divide(slots int, p Policy, rot *rotation, bs []*borrowerState) division {
	var d division
	var demand, spare [note.NumRanks]int
	for _, b := range bs {
		for _, l := range b.demand.Lines {
			demand[l.Rank] += l.Waiting + l.Running
		}
	}
	rankFloors := wholeFloors(slots, p.Floors, rot.floorCarry)
	remaining := slots
	for r := range note.NumRanks {
		d.floors[r] = min(demand[r], rankFloors[r])
		d.assigned[r] = d.floors[r]
		remaining -= d.assigned[r]
	}
	for r := range note.NumRanks {
		more := min(remaining, demand[r]-d.assigned[r])
		d.assigned[r] += more
		remaining -= more
	}
	// The caps of live work add up to all slots except the floors of other ranks that are in demand, since engines
	// pause less urgent requests for live ones. Bookings get the slots that nobody demands, and at least their floor.
	// Overnight work gets only the slots that more urgent work leaves.
	withoutOtherFloors := func(r note.Rank) int {
		n := slots
		for o, f := range d.floors {
			if note.Rank(o) != r {
				n -= f
			}
		}
		return n
	}
	d.capTotals[note.RankLive] = withoutOtherFloors(note.RankLive)
	d.capTotals[note.RankBooking] = max(d.assigned[note.RankBooking]+remaining,
		min(rankFloors[note.RankBooking], withoutOtherFloors(note.RankBooking)))
	d.capTotals[note.RankOvernight] = d.assigned[note.RankOvernight] + remaining
	for r := range note.NumRanks {
		spare[r] = d.capTotals[r] - d.assigned[r]
	}

	d.caps, d.floorSlots, d.mayExceedCap = make([][note.NumRanks]int, len(bs)), make([][note.NumRanks]int, len(bs)), make([][note.NumRanks]bool, len(bs))
	for r := range note.NumRanks {
		d.exactShares[r] = borrowerShares(note.Rank(r), d.assigned[r], p, bs)
		credit := make([]float64, len(bs))
		for i, b := range bs {
			credit[i] = b.carry[r]
		}
		for i, n := range roundLargestRemainder(d.exactShares[r], credit, d.assigned[r]) {
			d.caps[i][r] = n
		}
		d.divideFloor(note.Rank(r))
		if note.Rank(r) != note.RankOvernight && demand[r] > d.assigned[r] {
			d.grantHeadroom(note.Rank(r), slots, rot.turn)
		}
		for i := range bs {
			d.caps[i][r] += spare[r] / len(bs)
			// The borrowers that get one slot more rotate by one position each turn.
			if (i-rot.turn%len(bs)+len(bs))%len(bs) < spare[r]%len(bs) {
				d.caps[i][r]++
			}
		}
	}
	return d
}

// divideFloor divides a rank's floor between the borrowers that have a share of the rank's slots.
func (d *division) divideFloor(r note.Rank) {
	exact := make([]float64, len(d.caps))
	for i, x := range d.exactShares[r] {
		exact[i] = x * float64(d.floors[r]) / float64(max(1, d.assigned[r]))
		if d.floors[r] == d.assigned[r] {
			exact[i] = float64(d.caps[i][r])
		}
	}
	for i, n := range roundLargestRemainder(exact, make([]float64, len(exact)), d.floors[r]) {
		d.floorSlots[i][r] = n
	}
}

// grantHeadroom is used for a rank whose demand exceeds its slots. It lets borrowers start one more request of the rank
// for an organisation that has no other request waiting there, up to headroomFraction of the slots. Without headroom,
// such a request waits until a request of a large organisation ends and its slot has been lent again. With headroom,
// the engine pauses the request of the large organisation, which has a lower priority. If there are more borrowers than
// that, they take turns.
func (d *division) grantHeadroom(r note.Rank, slots, turn int) {
	n := len(d.mayExceedCap)
	for k := range min(n, max(1, int(headroomFraction*float64(slots)))) {
		d.mayExceedCap[(k+turn)%n][r] = true
	}
}

// headroomFraction is the fraction of the slots by which headroom may exceed them. Each such slot pauses at most one
// request of an organisation that has others waiting.
const headroomFraction = 0.2

// wholeFloors returns each rank's floor in whole slots; see divide.
func wholeFloors(slots int, fractions, carry [note.NumRanks]float64) [note.NumRanks]int {
	var out [note.NumRanks]int
	exact := exactFloors(slots, fractions)
	up := 0
	for r, x := range exact {
		out[r] = int(math.Ceil(x - epsilon))
		up += out[r]
	}
	if up <= slots {
		return out
	}
	sum := 0.0
	for _, x := range exact {
		sum += x
	}
	copy(out[:], roundLargestRemainder(exact[:], carry[:], int(math.Ceil(sum-epsilon))))
	return out
}

func exactFloors(slots int, fractions [note.NumRanks]float64) [note.NumRanks]float64 {
	sum := 0.0
	for r, f := range fractions {
		if !(f > 0) {
			fractions[r] = 0
		}
		sum += fractions[r]
	}
	for r := range fractions {
		fractions[r] *= float64(slots) / max(sum, 1)
	}
	return fractions
}

// borrowerShares returns each borrower's share of a rank's slots. It divides the slots between the organisations of all
// borrowers by weighted max-min fairness, and the share of an organisation between the borrowers in proportion to its
// demand there.
func borrowerShares(r note.Rank, slots int, p Policy, bs []*borrowerState) []float64 {
	type org struct {
		key            orgKey
		weight, demand float64
		share          float64
	}
	index := map[orgKey]int{}
	var orgs []org
	key := func(b *borrowerState, l DemandLine) orgKey { return orgKey{b.demand.Revision, l.Org} }
	for _, b := range bs {
		for _, l := range b.demand.Lines {
			if l.Rank != r {
				continue
			}
			k := key(b, l)
			i, ok := index[k]
			if !ok {
				i = len(orgs)
				index[k] = i
				orgs = append(orgs, org{key: k, weight: p.weight(k)})
			}
			orgs[i].demand += float64(l.Waiting + l.Running)
		}
	}
	// Organisations with the lowest demand relative to their weight are satisfied first; the others share the remaining
	// slots by weight.
	order := make([]int, len(orgs))
	weightSum := 0.0
	for i := range orgs {
		order[i] = i
		weightSum += orgs[i].weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(orgs[a].demand/orgs[a].weight, orgs[b].demand/orgs[b].weight), cmp.Compare(a, b))
	})
	remaining := float64(slots)
	for _, i := range order {
		o := &orgs[i]
		o.share = min(o.demand, remaining*o.weight/weightSum)
		remaining -= o.share
		weightSum -= o.weight
	}
	out := make([]float64, len(bs))
	for i, b := range bs {
		for _, l := range b.demand.Lines {
			if l.Rank == r && l.Waiting+l.Running > 0 {
				o := orgs[index[key(b, l)]]
				out[i] += o.share * float64(l.Waiting+l.Running) / o.demand
			}
		}
	}
	return out
}

// roundLargestRemainder rounds each share down or up to a whole number so that the results add up to total. It rounds
// up the shares with the largest remainders, including the credit from earlier turns.
func roundLargestRemainder(exact, credit []float64, total int) []int {
	out := make([]int, len(exact))
	order := make([]int, 0, len(exact))
	remaining := total
	for i, x := range exact {
		out[i] = int(math.Floor(x + epsilon))
		remaining -= out[i]
		if x-float64(out[i]) > epsilon {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		ra, rb := exact[a]-float64(out[a])+credit[a], exact[b]-float64(out[b])+credit[b]
		if math.Abs(ra-rb) > epsilon {
			return cmp.Compare(rb, ra)
		}
		return cmp.Compare(a, b)
	})
	for _, i := range order[:max(0, min(remaining, len(order)))] {
		out[i]++
	}
	return out
}
