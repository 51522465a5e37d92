// Package admission decides which waiting request of a service is served next in one daemon, and which are refused.
//
// A Queue owns the queued and running requests of one service: by rank, then by organisation. Within a rank,
// organisations share by weighted fair queueing over virtual time counted in cost (tokens). The queue has no clock:
// each call takes the time, which must not go backwards.
package admission

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// Kind tells in one word why a request was refused.
type Kind string

// Kinds of refusals.
const (
	Late      Kind = "late"      // it could not have finished in time when it arrived
	Expired   Kind = "expired"   // it could no longer finish in time while it waited
	Displaced Kind = "displaced" // the newest of its organisation, given up because the queue became slower
	Crowded   Kind = "crowded"   // its organisation has as much waiting as it may
	Absent    Kind = "absent"    // no target of the service is known
	Full      Kind = "full"      // the ring of the service is full
	Left      Kind = "left"      // the caller left
	Stopped   Kind = "stopped"   // the daemon is stopping
)

// Refusal tells why a request gets no slot. The request was not run.
type Refusal struct {
	Kind   Kind
	Reason string
	// RetryAfter is when to come back; 0 when waiting does not help.
	RetryAfter time.Duration
	// Cause is the error behind the refusal, such as that of the caller's context; nil if there is none.
	Cause error
}

func (e *Refusal) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Unwrap returns the cause.
func (e *Refusal) Unwrap() error { return e.Cause }

// Entry is a request as the queue sees it.
type Entry struct {
	// ID is unique among the queued and running entries.
	ID           uint64
	Rank         note.Rank
	Organisation string
	// Cost is the estimated work in tokens; values below 1 count as 1.
	Cost int
	// Deadline is when the answer is worth nothing any more; zero for never.
	Deadline time.Time
	// Service is the expected time from start to end; 0 when nothing has been learnt yet.
	Service time.Duration
	// Slow is a time that most requests like this one stay below, at least Service. A request that has to wait is
	// admitted only if it can take this long; otherwise a full queue would start each request at the last moment at
	// which an average one finishes in time, and half of them would finish late.
	Slow time.Duration
}

// Limit is what an organisation may use.
type Limit struct {
	// Weight is its share relative to other organisations; values not above 0 count as 1.
	Weight float64
	// Queue bounds its waiting cost in each rank; 0 for no bound.
	Queue int
}

// Capacity is what the entries of a queue may run on, in requests that run at once.
type Capacity struct {
	// Slots bounds each rank.
	Slots [note.Ranks]int
	// Shared is whether the ranks take turns on the same slots, so that a rank waits for more urgent ones.
	Shared bool
	// Floor is the part of shared slots that more urgent ranks cannot take.
	Floor [note.Ranks]int
}

// Drop is an entry that was refused after it had been queued.
type Drop struct {
	Entry   Entry
	Refusal *Refusal
}

// entry is a queued or running request.
type entry struct {
	Entry
	flow       *flow
	prev, next *entry
	// latest is the last moment at which a start is useful.
	latest time.Time
	// due is the index in the queue's heap, -1 when not in it.
	due     int
	running bool
	// end is when a running entry is expected to end, in seconds since the queue's epoch.
	end float64
	// sum is the weight of all flows that were active at its start.
	sum float64
}

// flow is the backlog of one organisation in one rank, first in, first out.
type flow struct {
	org        string
	limit      Limit
	head, tail *entry
	// index is the position in the rank's list of active flows, -1 when nothing waits.
	index int
	// at is the virtual time at which the head starts: the cost served so far, divided by the weight.
	at      float64
	n       int
	cost    int
	service float64
	running int
}

func (f *flow) weight() float64 {
	if f.limit.Weight > 0 {
		return f.limit.Weight
	}
	return 1
}

// level is one rank.
type level struct {
	flows map[string]*flow
	// active holds the flows with something waiting.
	active []*flow
	// now is the current virtual time, last the highest of any flow.
	now, last float64
	waiting   int
	running   int
	// service is the service time of waiting entries in seconds, busy that of running ones, ends the sum of the ends
	// of running ones.
	service, busy, ends float64
}

// Queue is the queue of one service. The zero value is ready; it has no slots.
type Queue struct {
	levels   [note.Ranks]level
	entries  map[uint64]*entry
	due      dueHeap
	limits   map[string]Limit
	capacity Capacity
	epoch    time.Time
	spare    []*entry
	drops    []Drop
}

// Configure sets the limits of organisations. Ones that are not listed have weight 1 and no bound.
func (q *Queue) Configure(limits map[string]Limit) {
	q.limits = limits
	for r := range q.levels {
		l := &q.levels[r]
		for name, f := range l.flows {
			f.limit = limits[name]
			if _, ok := limits[name]; !ok && f.n == 0 && f.running == 0 {
				delete(l.flows, name)
			}
		}
	}
}

// SetCapacity sets what the entries may run on.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Waiting is the number of entries of a rank that wait.
func (q *Queue) Waiting(r note.Rank) int { return q.levels[r].waiting }

// Running is the number of entries of a rank that run.
func (q *Queue) Running(r note.Rank) int { return q.levels[r].running }

// Flows calls f for each organisation that has entries waiting in a rank, in no particular order.
func (q *Queue) Flows(r note.Rank, f func(org string, waiting int)) {
	for _, fl := range q.levels[r].active {
		f(fl.org, fl.n)
	}
}

// Backlog is the number of entries of an organisation that wait in a rank.
func (q *Queue) Backlog(r note.Rank, org string) int {
	if f := q.levels[r].flows[org]; f != nil {
		return f.n
	}
	return 0
}

// Submit adds an entry, or returns why it is refused.
func (q *Queue) Submit(now time.Time, e Entry) *Refusal {
	if q.entries == nil {
		q.entries, q.epoch = map[uint64]*entry{}, now
	}
	e.Cost, e.Slow = max(e.Cost, 1), max(e.Slow, e.Service)
	l := &q.levels[e.Rank]
	f := l.flows[e.Organisation]
	if f == nil {
		if l.flows == nil {
			l.flows = map[string]*flow{}
		}
		f = &flow{org: e.Organisation, limit: q.limits[e.Organisation], index: -1}
		l.flows[e.Organisation] = f
	}
	if f.n == 0 {
		// An idle organisation neither keeps credit for the time in which it sent nothing nor pays for the past.
		l.advance()
		f.at = max(f.at, l.now)
	}
	if b := f.limit.Queue; b > 0 && f.n > 0 && f.cost+e.Cost > b {
		over := min(f.cost, f.cost+e.Cost-b)
		after := q.wait(now, e.Rank, f, float64(over), f.service*float64(over)/float64(f.cost))
		return &Refusal{Kind: Crowded, Reason: fmt.Sprintf("the organisation has as much work waiting as its queue bound allows: cost %d waits, %d is new, the bound is %d", f.cost, e.Cost, b), RetryAfter: later(after, e.Service)}
	}
	wait := q.wait(now, e.Rank, f, float64(f.cost+e.Cost), f.service)
	need := e.Service
	if wait > 0 {
		need = e.Slow
	}
	if left := e.Deadline.Sub(now); !e.Deadline.IsZero() && (left <= 0 || wait+need > left) {
		r := &Refusal{Kind: Late, Reason: "the answer could not be complete before its deadline: it needs " + needs(wait, need, left)}
		switch {
		case left < e.Service || left <= 0 || wait == 0:
			// The same request with the same time allowed would not fit on an idle fleet either.
		case left < e.Slow:
			r.RetryAfter = later(wait, e.Service)
		default:
			r.RetryAfter = later(wait+need-left, e.Service)
		}
		return r
	}
	q.push(now, l, f, e)
	return nil
}

// needs states the numbers of a decision on a deadline.
func needs(wait, service, left time.Duration) string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	if wait <= 0 {
		return fmt.Sprintf("%v, %v left", ms(service), ms(left))
	}
	return fmt.Sprintf("%v after a wait of %v, %v left", ms(service), ms(wait), ms(left))
}

// later is when to come back for a queue that has to become d shorter. When the running requests started together, the
// queue becomes shorter only once in a service time, so that is added. The result is above 0, which would mean that
// waiting does not help.
func later(d, service time.Duration) time.Duration { return max(d+service, time.Millisecond) }

func (q *Queue) push(now time.Time, l *level, f *flow, e Entry) {
	var x *entry
	if n := len(q.spare); n > 0 {
		x, q.spare = q.spare[n-1], q.spare[:n-1]
	} else {
		x = &entry{}
	}
	*x = entry{Entry: e, flow: f, prev: f.tail, due: -1}
	if f.tail == nil {
		f.head, f.index = x, len(l.active)
		l.active = append(l.active, f)
	} else {
		f.tail.next = x
	}
	f.tail = x
	f.n++
	f.cost += e.Cost
	f.service += e.Service.Seconds()
	l.waiting++
	l.service += e.Service.Seconds()
	q.entries[e.ID] = x
	if e.Deadline.IsZero() {
		return
	}
	x.latest = e.Deadline.Add(-e.Slow)
	if x.latest.Before(now) {
		x.latest = e.Deadline.Add(-e.Service)
	}
	heap.Push(&q.due, x)
}

// unlink takes a waiting entry out of its flow.
func (q *Queue) unlink(x *entry) {
	f, l := x.flow, &q.levels[x.Rank]
	if x.prev == nil {
		f.head = x.next
	} else {
		x.prev.next = x.next
	}
	if x.next == nil {
		f.tail = x.prev
	} else {
		x.next.prev = x.prev
	}
	x.prev, x.next = nil, nil
	f.n--
	f.cost -= x.Cost
	f.service -= x.Service.Seconds()
	l.waiting--
	l.service -= x.Service.Seconds()
	if f.n == 0 {
		f.service = 0 // Removes what rounding left.
		end := len(l.active) - 1
		l.active[f.index] = l.active[end]
		l.active[f.index].index = f.index
		l.active, f.index = l.active[:end], -1
	}
	if l.waiting == 0 {
		l.service = 0
	}
	if x.due >= 0 {
		heap.Remove(&q.due, x.due)
	}
}

func (q *Queue) forget(x *entry) {
	delete(q.entries, x.ID)
	*x = entry{}
	q.spare = append(q.spare, x)
}

// advance moves the virtual time to that of the active flow that is furthest behind, if all of them are ahead of it.
func (l *level) advance() {
	if len(l.active) == 0 {
		return
	}
	low := l.active[0].at
	for _, f := range l.active[1:] {
		low = min(low, f.at)
	}
	l.now = max(l.now, low)
}

// first is the flow whose head would finish first if all active flows were served at once in proportion to their
// weights, among those whose head would have started by now; among equals the one that arrived first. Without the second
// condition a flow can be served far ahead of its share, which the others then wait for after it pauses.
//
// Entries named in skip are passed over, at most once each. When that leaves none whose flow would have started by now,
// the condition is dropped: the virtual time stands still as long as a passed-over flow is behind.
func (l *level) first(skip []uint64) *entry {
	l.advance()
	for _, all := range []bool{false, true} {
		var best *entry
		var end float64
		for _, f := range l.active {
			if f.at > l.now && !all {
				continue
			}
			x := f.head
			for len(skip) > 0 && x != nil && slices.Contains(skip, x.ID) {
				x = x.next
			}
			if x == nil {
				continue
			}
			e := f.at + float64(x.Cost)/f.weight()
			if best == nil || e < end || e == end && x.ID < best.ID {
				best, end = x, e
			}
		}
		if best != nil || len(skip) == 0 {
			return best
		}
	}
	return nil
}

// Peek returns the entry of a rank that is served next.
func (q *Queue) Peek(r note.Rank) (Entry, bool) { return q.PeekPast(r, nil) }

// PeekPast is Peek without the entries in skip, which wait for something that others do not.
func (q *Queue) PeekPast(r note.Rank, skip []uint64) (Entry, bool) {
	x := q.levels[r].first(skip)
	if x == nil {
		return Entry{}, false
	}
	return x.Entry, true
}

// PeekAlone returns the entry of a rank whose organisation has no other entry waiting in it and has been served least for
// its weight, without those in skip.
func (q *Queue) PeekAlone(r note.Rank, skip []uint64) (Entry, bool) {
	var best *flow
	for _, f := range q.levels[r].active {
		if f.n == 1 && (best == nil || f.at < best.at) && !slices.Contains(skip, f.head.ID) {
			best = f
		}
	}
	if best == nil {
		return Entry{}, false
	}
	return best.head.Entry, true
}

// Start takes the entry that Peek shows out of the queue; it runs until Done. Call Expire first, so that it can still
// finish in time.
func (q *Queue) Start(now time.Time, r note.Rank) (Entry, bool) {
	x := q.levels[r].first(nil)
	if x == nil {
		return Entry{}, false
	}
	return x.Entry, q.StartEntry(now, x.ID)
}

// StartEntry is Start for an entry that PeekPast shows. It reports whether the entry was waiting.
func (q *Queue) StartEntry(now time.Time, id uint64) bool {
	x := q.entries[id]
	if x == nil || x.running {
		return false
	}
	f, l := x.flow, &q.levels[x.Rank]
	sum := 0.0
	for _, o := range l.active {
		sum += o.weight()
	}
	q.unlink(x)
	f.at += float64(x.Cost) / f.weight()
	l.now += float64(x.Cost) / sum
	x.sum = sum
	l.last = max(l.last, f.at, l.now)
	x.running = true
	x.end = now.Sub(q.epoch).Seconds() + x.Service.Seconds()
	f.running++
	l.running++
	l.busy += x.Service.Seconds()
	l.ends += x.end
	return true
}

// Done ends a running entry. cost is what it really cost in tokens, below 0 when that is not known; the organisation is
// charged the difference from the estimate. It reports whether the entry was running.
func (q *Queue) Done(id uint64, cost int) bool {
	x := q.entries[id]
	if x == nil || !x.running {
		return false
	}
	f, l := x.flow, &q.levels[x.Rank]
	f.running--
	l.running--
	l.busy -= x.Service.Seconds()
	l.ends -= x.end
	if cost >= 0 {
		f.at += float64(cost-x.Cost) / f.weight()
		l.now += float64(cost-x.Cost) / x.sum
		l.last = max(l.last, f.at)
	}
	if l.running == 0 {
		l.busy, l.ends = 0, 0
		if l.waiting == 0 {
			l.now = l.last // A new busy period begins with everyone equal.
		}
	}
	q.forget(x)
	return true
}

// Place is where an entry is.
type Place int

// Places of an entry.
const (
	Nowhere Place = iota
	Queued
	Started
)

// Withdraw removes a queued entry whose caller has left, and returns where the entry was. A started one keeps running
// until Done.
func (q *Queue) Withdraw(id uint64) Place {
	x := q.entries[id]
	switch {
	case x == nil:
		return Nowhere
	case x.running:
		return Started
	}
	q.unlink(x)
	q.forget(x)
	return Queued
}

// Next is when Expire has to be called next; false when nothing that waits has a deadline.
func (q *Queue) Next() (time.Time, bool) {
	if len(q.due) == 0 {
		return time.Time{}, false
	}
	return q.due[0].latest.Add(1), true
}

// Expire drops the entries that can no longer finish in time even if they start now. The result is valid until the next
// call of Expire or Trim.
func (q *Queue) Expire(now time.Time) []Drop {
	q.drops = q.drops[:0]
	for len(q.due) > 0 && now.After(q.due[0].latest) {
		x := q.due[0]
		f := x.flow
		r := &Refusal{Kind: Expired, Reason: "the answer can no longer be complete before its deadline: it needs " + needs(0, x.Deadline.Sub(x.latest), x.Deadline.Sub(now))}
		q.unlink(x)
		r.RetryAfter = later(q.wait(now, x.Rank, f, float64(f.cost+x.Cost), f.service), x.Service)
		q.drops = append(q.drops, Drop{x.Entry, r})
		q.forget(x)
	}
	return q.drops
}

// Trim drops entries that are expected to become late, when the queue has become slower since they were admitted: the
// newest of an organisation first, so that those before them still finish in time. It compares the expected service
// time, not the slow one that Submit uses, so that an entry is not dropped for a small change of the estimates. The
// result is valid until the next call of Expire or Trim.
func (q *Queue) Trim(now time.Time) []Drop {
	q.drops = q.drops[:0]
	for r := range q.levels {
		l := &q.levels[r]
		for i := len(l.active) - 1; i >= 0; i-- {
			for f := l.active[i]; f.n > 1; {
				x := f.tail
				if x.Deadline.IsZero() {
					break
				}
				wait := q.wait(now, note.Rank(r), f, float64(f.cost), f.service-x.Service.Seconds())
				over := wait + x.Service - x.Deadline.Sub(now)
				if over <= 0 {
					break
				}
				q.unlink(x)
				q.drops = append(q.drops, Drop{x.Entry, &Refusal{Kind: Displaced, Reason: "the queue became slower and the newest requests of the organisation can't be served in time: this one needs " + needs(wait, x.Service, x.Deadline.Sub(now)), RetryAfter: later(over, x.Service)}})
				q.forget(x)
			}
		}
	}
	return q.drops
}

// wait estimates how long an entry of a flow waits when the flow serves cost up to and including it, and the entries of
// the flow before it take service seconds.
//
// The entry waits for the work that fair queueing puts before it (of another flow the cost whose virtual finish time is
// earlier), spread over the slots, and for the next slot to become free: with k slots that are busy for a mean time m,
// one becomes free every m/k. 0 when there are no slots, since the wait is then not known.
func (q *Queue) wait(now time.Time, r note.Rank, f *flow, cost, service float64) time.Duration {
	l := &q.levels[r]
	k := q.capacity.Slots[r]
	if k <= 0 {
		return 0
	}
	ahead, running, waiting, busy, ends := service, l.running, l.waiting, l.busy, l.ends
	end := f.at + cost/f.weight()
	for _, o := range l.active {
		if c := (end - o.at) * o.weight(); o != f && c > 0 {
			ahead += o.service * min(1, c/float64(o.cost))
		}
	}
	own := ahead
	if q.capacity.Shared {
		for i := range q.levels {
			o := &q.levels[i]
			if i < int(r) {
				ahead += o.service
				waiting += o.waiting
			}
			if i != int(r) {
				running += o.running
				busy += o.busy
				ends += o.ends
			}
		}
	}
	if running+waiting < k {
		return 0
	}
	next := 0.0
	if running > 0 {
		left := ends - float64(running)*now.Sub(q.epoch).Seconds()
		next = max(0, min(left, busy/float64(running)))
	}
	w := (ahead + next) / float64(k)
	if fl := q.capacity.Floor[r]; q.capacity.Shared && fl > 0 {
		w = min(w, (own+next)/float64(fl))
	}
	return time.Duration(w * float64(time.Second))
}

// dueHeap orders waiting entries by their latest useful start.
type dueHeap []*entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].due, h[j].due = i, j
}

func (h *dueHeap) Push(v any) {
	x := v.(*entry)
	x.due = len(*h)
	*h = append(*h, x)
}

func (h *dueHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	x.due = -1
	return x
}
