package balance

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits for a place.
type Waiter struct {
	Request
	Organisation string
	// Ticket identifies the waiter to its owner.
	Ticket uint64
}

// Queue holds the requests of one model that wait at a daemon, and what its organisations have used lately.
//
// Requests whose answers were cut off go first, then the most urgent; within a rank the organisation that used least lately, so that the many requests of a large
// one do not keep out the few of a small one; then the oldest.
type Queue struct {
	waiting []*Waiter
	// used is the recent use of each organisation in tokens, decayed to the time of decayed.
	used    map[string]float64
	decayed time.Time
	// ranks is the recent use of each rank in tokens, decayed like used, and the objective of its last request.
	ranks map[int]rankUse
	// rate is the number of places that this daemon found in a second lately, decayed like used.
	rate float64
	// refused is the requests turned away in a second lately, decayed like used.
	refused float64
}

type rankUse struct {
	tokens    float64
	objective time.Duration
}

// memory is the time in which past use loses two thirds of its weight.
const memory = 2 * time.Second

// minRate is the rate assumed while nothing is known, in places a second.
const minRate = 1

func (q *Queue) decay(now time.Time) {
	if q.used == nil {
		q.used, q.ranks, q.decayed = map[string]float64{}, map[int]rankUse{}, now
	}
	// Steps of a twentieth keep the cost of decay away from single requests.
	dt := now.Sub(q.decayed)
	if dt < memory/20 {
		return
	}
	q.decayed = now
	keep := max(1-float64(dt)/float64(memory), 0)
	q.rate *= keep
	q.refused *= keep
	for rank, u := range q.ranks {
		if u.tokens *= keep; u.tokens < 1 {
			delete(q.ranks, rank)
		} else {
			q.ranks[rank] = u
		}
	}
	for org, v := range q.used {
		if v *= keep; v < 1 {
			delete(q.used, org)
		} else {
			q.used[org] = v
		}
	}
}

// Urgent tells how much of the recent work is more urgent than a rank, as a part of all, and the least objective of it.
func (q *Queue) Urgent(rank int) (part float64, objective time.Duration) {
	all, above := 0.0, 0.0
	for r, u := range q.ranks {
		all += u.tokens
		if r < rank {
			above += u.tokens
			if objective == 0 || u.objective < objective {
				objective = u.objective
			}
		}
	}
	if above == 0 {
		return 0, 0
	}
	return above / all, objective
}

// Used notes that a request found a place.
func (q *Queue) Used(now time.Time, w *Waiter) {
	q.decay(now)
	q.used[w.Organisation] += float64(w.Prompt)
	u := q.ranks[w.Rank]
	q.ranks[w.Rank] = rankUse{u.tokens + float64(w.Prompt), w.Objective}
	q.rate += float64(time.Second) / float64(memory)
}

// Add puts w into the queue. It reports false when the requests before it would take longer than w waits; then w is to
// be turned away at once.
func (q *Queue) Add(now time.Time, w *Waiter) bool {
	q.decay(now)
	before := 0
	for _, o := range q.waiting {
		if o.Rank <= w.Rank {
			before++
		}
	}
	if !w.Continues && float64(before) >= max(q.rate, minRate)*Patience(&w.Request).Seconds() {
		return false
	}
	q.waiting = append(q.waiting, w)
	return true
}

// Rate is the number of places that this daemon found in a second lately.
func (q *Queue) Rate() float64 { return q.rate }

// Refused notes a request that was turned away.
func (q *Queue) Refused(now time.Time) {
	q.decay(now)
	q.refused += float64(time.Second) / float64(memory)
}

// Lacking is about how many more places at once would have served all: those that wait, and those turned away in the
// last second, which would have stayed for about as long.
func (q *Queue) Lacking(now time.Time) int {
	q.decay(now)
	return len(q.waiting) + int(q.refused)
}

// Remove takes w out.
func (q *Queue) Remove(ticket uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool { return w.Ticket == ticket })
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Expire takes out and returns the requests that have waited for as long as they may.
func (q *Queue) Expire(now time.Time) []*Waiter {
	var out []*Waiter
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		late := now.Sub(w.Arrived) >= Patience(&w.Request)
		if late {
			out = append(out, w)
		}
		return late
	})
	return out
}

func continues(w *Waiter) int {
	if w.Continues {
		return -1
	}
	return 0
}

// Order returns the waiting requests, the next one first.
func (q *Queue) Order(now time.Time) []*Waiter {
	q.decay(now)
	slices.SortFunc(q.waiting, func(a, b *Waiter) int {
		return cmp.Or(continues(a)-continues(b), cmp.Compare(a.Rank, b.Rank), cmp.Compare(q.used[a.Organisation], q.used[b.Organisation]), a.Arrived.Compare(b.Arrived))
	})
	return slices.Clone(q.waiting)
}

const (
	// firstReturn is the least time after which a refused caller comes back; a burst lasts seconds.
	firstReturn = 900 * time.Millisecond
	// returnSpread spreads the returns of callers who were refused together.
	returnSpread = 900 * time.Millisecond
)

// ComeBack returns when a caller that is turned away should return. random returns numbers in [0, 1). Callers wait for
// at most a third of what is left to them, so later times would only be cut.
func ComeBack(now time.Time, r *Request, random func() float64) time.Duration {
	d := firstReturn + time.Duration(random()*float64(returnSpread))
	return max(min(d, r.Until.Sub(now)/3), 0)
}
