package share

import (
	"cmp"
	"math"
	"slices"

	"flamingorudder.example/internal/note"
)

// epsilon absorbs the rounding errors of sums of parts, which are far below one slot.
const epsilon = 1e-9

// orgKey separates the indexes of different configurations.
type orgKey struct {
	revision uint64
	org      int
}

// division is the result of dividing a group's slots. Its slices follow the order of the borrowers handed in.
type division struct {
	// floors and parts are slots by rank: what the floor guarantees, as far as there is demand, and what demand gets.
	floors, parts [note.Ranks]int
	// totals are what the caps of a rank add up to.
	totals [note.Ranks]int
	// exact is each borrower's part of its rank's parts before rounding.
	exact [note.Ranks][]float64
	caps  [][note.Ranks]int
	// within is how many slots each borrower has within each rank's floor.
	within [][note.Ranks]int
	// extra is where each borrower may exceed its caps by one; see headroom.
	extra [][note.Ranks]bool
}

// rotation carries what rounding owes from one turn to the next.
type rotation struct {
	turn   int
	floors [note.Ranks]float64
}

// divide divides slots by the rules of the design page, 6.2. It is a function of its arguments alone.
//
// No arithmetic on floors may lose: a floor is rounded up to whole slots, so a rank with enough demand is assigned its
// whole floor before any more urgent rank gets slots beyond its own. Only when the floors rounded up exceed the slots
// are they rounded down, and the remainder then rotates, so that the floor holds on average over turns. Floors that add
// up to more than everything are scaled to everything.
func divide(slots int, p Policy, rot *rotation, bs []*borrower) division {
	var d division
	var demand, spare [note.Ranks]int
	for _, b := range bs {
		for _, l := range b.demand.Lines {
			demand[l.Rank] += l.Waiting + l.Running
		}
	}
	all := floors(slots, p.Floors, rot.floors)
	left := slots
	for r := range note.Ranks {
		d.floors[r] = min(demand[r], all[r])
		d.parts[r] = d.floors[r]
		left -= d.parts[r]
	}
	for r := range note.Ranks {
		more := min(left, demand[r]-d.parts[r])
		d.parts[r] += more
		left -= more
	}
	// Live work may take everything but the part of the floors that is in demand, since engines pause less urgent requests for it. Bookings
	// have what nobody asked for and at least their floor. Overnight work has only what more urgent work leaves.
	others := func(r note.Rank) int {
		n := slots
		for o, f := range d.floors {
			if note.Rank(o) != r {
				n -= f
			}
		}
		return n
	}
	d.totals[note.RankLive] = others(note.RankLive)
	d.totals[note.RankBooking] = max(d.parts[note.RankBooking]+left,
		min(all[note.RankBooking], others(note.RankBooking)))
	d.totals[note.RankOvernight] = d.parts[note.RankOvernight] + left
	for r := range note.Ranks {
		spare[r] = d.totals[r] - d.parts[r]
	}

	d.caps, d.within, d.extra = make([][note.Ranks]int, len(bs)), make([][note.Ranks]int, len(bs)), make([][note.Ranks]bool, len(bs))
	for r := range note.Ranks {
		d.exact[r] = organisations(note.Rank(r), d.parts[r], p, bs)
		credit := make([]float64, len(bs))
		for i, b := range bs {
			credit[i] = b.carry[r]
		}
		for i, n := range round(d.exact[r], credit, d.parts[r]) {
			d.caps[i][r] = n
		}
		d.protect(note.Rank(r))
		if note.Rank(r) != note.RankOvernight && demand[r] > d.parts[r] {
			d.headroom(note.Rank(r), slots, rot.turn)
		}
		for i := range bs {
			d.caps[i][r] += spare[r] / len(bs)
			// Which borrowers get one more moves by one place each turn.
			if (i-rot.turn%len(bs)+len(bs))%len(bs) < spare[r]%len(bs) {
				d.caps[i][r]++
			}
		}
	}
	return d
}

// protect divides a rank's floor between the borrowers that have a part of the rank's slots.
func (d *division) protect(r note.Rank) {
	exact := make([]float64, len(d.caps))
	for i, x := range d.exact[r] {
		exact[i] = x * float64(d.floors[r]) / float64(max(1, d.parts[r]))
		if d.floors[r] == d.parts[r] {
			exact[i] = float64(d.caps[i][r])
		}
	}
	for i, n := range round(exact, make([]float64, len(exact)), d.floors[r]) {
		d.within[i][r] = n
	}
}

// headroom lets borrowers start one more request of a rank of which more is wanted than there is, for an organisation that
// has nothing else waiting there, up to a part of the slots. Without it such a request waits until a request of a large
// organisation has ended and its slot has been lent again; with it the engine pauses the large one's, which runs at a
// lower priority. Borrowers take turns when there are more of them.
func (d *division) headroom(r note.Rank, slots, turn int) {
	n := len(d.extra)
	for k := range min(n, max(1, int(headroomPart*float64(slots)))) {
		d.extra[(k+turn)%n][r] = true
	}
}

// headroomPart is the part of the slots that headroom may exceed them by. Each such slot costs at most the pause of one
// request of an organisation that has others waiting.
const headroomPart = 0.2

// floors returns each rank's floor in slots; see divide.
func floors(slots int, parts, carry [note.Ranks]float64) [note.Ranks]int {
	var out [note.Ranks]int
	exact := exactFloors(slots, parts)
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
	copy(out[:], round(exact[:], carry[:], int(math.Ceil(sum-epsilon))))
	return out
}

func exactFloors(slots int, parts [note.Ranks]float64) [note.Ranks]float64 {
	sum := 0.0
	for r, f := range parts {
		if !(f > 0) {
			parts[r] = 0
		}
		sum += parts[r]
	}
	for r := range parts {
		parts[r] *= float64(slots) / max(sum, 1)
	}
	return parts
}

// organisations divides a rank's slots by weighted max-min fairness over the organisations of all borrowers, and each
// organisation's part between its borrowers in proportion to its demand there.
func organisations(r note.Rank, slots int, p Policy, bs []*borrower) []float64 {
	type org struct {
		key            orgKey
		weight, demand float64
		part           float64
	}
	index := map[orgKey]int{}
	var orgs []org
	key := func(b *borrower, l Line) orgKey { return orgKey{b.demand.Revision, l.Org} }
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
	// The organisations that want least for their weight are satisfied first; the rest share what is left by weight.
	order := make([]int, len(orgs))
	weights := 0.0
	for i := range orgs {
		order[i] = i
		weights += orgs[i].weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(orgs[a].demand/orgs[a].weight, orgs[b].demand/orgs[b].weight), cmp.Compare(a, b))
	})
	left := float64(slots)
	for _, i := range order {
		o := &orgs[i]
		o.part = min(o.demand, left*o.weight/weights)
		left -= o.part
		weights -= o.weight
	}
	out := make([]float64, len(bs))
	for i, b := range bs {
		for _, l := range b.demand.Lines {
			if l.Rank == r && l.Waiting+l.Running > 0 {
				o := orgs[index[key(b, l)]]
				out[i] += o.part * float64(l.Waiting+l.Running) / o.demand
			}
		}
	}
	return out
}

// round turns parts into whole numbers that add up to total, each rounded down or up. The largest remainders, with the
// credit from earlier turns added, are rounded up.
func round(exact, credit []float64, total int) []int {
	out := make([]int, len(exact))
	order := make([]int, 0, len(exact))
	left := total
	for i, x := range exact {
		out[i] = int(math.Floor(x + epsilon))
		left -= out[i]
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
	for _, i := range order[:max(0, min(left, len(order)))] {
		out[i]++
	}
	return out
}
