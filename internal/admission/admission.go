// Package admission orders the waiting requests of a service in one daemon and decides which of them are refused.
//
// A Queue owns the queued and running requests of one service, grouped by rank and then by organisation. Within a rank,
// organisations are served by weighted fair queueing; virtual time is measured in cost (tokens). The queue has no clock:
// the caller passes the current time to each call, and it must not decrease.
package admission

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// RefusalKind classifies a refusal. The values are sent to clients as the error type.
type RefusalKind string

// Refusal kinds.
const (
	DeadlineUnmeetable  RefusalKind = "late"      // could not meet its deadline when it arrived
	Expired             RefusalKind = "expired"   // can no longer meet its deadline after waiting
	Trimmed             RefusalKind = "displaced" // dropped as the newest of its organisation after the queue slowed down
	WaitingLimitReached RefusalKind = "crowded"   // the organisation's waiting cost has reached its limit
	NoTarget            RefusalKind = "absent"    // no usable target of the service is known
	BufferFull          RefusalKind = "full"      // the dispatcher's request buffer for the service is full
	CallerLeft          RefusalKind = "left"      // the caller cancelled the request
	Stopped             RefusalKind = "stopped"   // the daemon is stopping
)

// Refusal is the error for a request that gets no slot. The request was not run.
type Refusal struct {
	Kind   RefusalKind
	Reason string
	// RetryAfter is how long to wait before a retry, or 0 if a retry cannot succeed.
	RetryAfter time.Duration
	// Cause is the underlying error, such as that of the caller's context, or nil.
	Cause error
}

func (e *Refusal) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Unwrap returns Cause.
func (e *Refusal) Unwrap() error { return e.Cause }

// Entry describes a request to the queue.
type Entry struct {
	// ID must be unique among the queued and running entries.
	ID           uint64
	Rank         note.Rank
	Organisation string
	// Cost is the estimated work in tokens; values below 1 count as 1.
	Cost int
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
	// ServiceTime is the expected time from start to end, or 0 if there is no estimate yet.
	ServiceTime time.Duration
	// SlowServiceTime is an upper estimate of the service time that most such requests stay below; it is at least
	// ServiceTime. A request that has to wait is admitted only if it meets the deadline even with this service time.
	// With the mean instead, a full queue would start each request at the last moment at which an average one finishes
	// in time, and half of them would miss their deadlines.
	SlowServiceTime time.Duration
}

// Limit holds the weight and the queue limit of an organisation.
type Limit struct {
	// Weight is the organisation's weight in fair queueing; values not above 0 count as 1.
	Weight float64
	// MaxWaitingCost is the maximum cost that may wait in each rank; 0 means unlimited.
	MaxWaitingCost int
}

// Capacity is the number of requests of a queue that may run concurrently.
type Capacity struct {
	// Slots is the limit of each rank.
	Slots [note.NumRanks]int
	// Shared reports whether all ranks use the same slots, so that a rank waits for more urgent ones.
	Shared bool
	// Floor is the number of shared slots that more urgent ranks cannot take from a rank.
	Floor [note.NumRanks]int
}

// Drop is an entry that was queued and then refused.
type Drop struct {
	Entry   Entry
	Refusal *Refusal
}

// entry is a queued or running request.
type entry struct {
	Entry
	flow       *flow
	prev, next *entry
	// latestStart is the last time at which the entry can start and still meet its deadline.
	latestStart time.Time
	// expiryIndex is the position in Queue.expiries, or -1.
	expiryIndex int
	running     bool
	// expectedEnd is the expected end of a running entry in seconds since the queue's epoch.
	expectedEnd float64
	// activeWeight is the total weight of the flows that were active when the entry started.
	activeWeight float64
}

// flow is the FIFO backlog of one organisation in one rank.
type flow struct {
	org        string
	limit      Limit
	head, tail *entry
	// activeIndex is the position in rankQueue.active, or -1 if nothing waits.
	activeIndex int
	// virtualTime is the virtual start time of the head: the cost served so far divided by the weight.
	virtualTime    float64
	waiting        int
	waitingCost    int
	waitingSeconds float64
	running        int
}

func (f *flow) weight() float64 {
	if f.limit.Weight > 0 {
		return f.limit.Weight
	}
	return 1
}

// rankQueue holds the flows of one rank.
type rankQueue struct {
	flows map[string]*flow
	// active holds the flows with waiting entries.
	active []*flow
	// virtualTime is the current virtual time; maxVirtualTime is the highest virtual time of any flow.
	virtualTime, maxVirtualTime float64
	waiting                     int
	running                     int
	// waitingSeconds and runningSeconds are the total service times of the waiting and the running entries, in seconds.
	// expectedEndSum is the sum of the expected ends of the running entries.
	waitingSeconds, runningSeconds, expectedEndSum float64
}

// Queue is the request queue of one service. The zero value is an empty queue without slots.
type Queue struct {
	ranks       [note.NumRanks]rankQueue
	entries     map[uint64]*entry
	expiries    expiryHeap
	limits      map[string]Limit
	capacity    Capacity
	epoch       time.Time
	freeEntries []*entry
	drops       []Drop
}

// Configure sets the limits by organisation. Organisations that are not in the map have weight 1 and no queue limit.
func (q *Queue) Configure(limits map[string]Limit) {
	q.limits = limits
	for r := range q.ranks {
		l := &q.ranks[r]
		for name, f := range l.flows {
			f.limit = limits[name]
			if _, ok := limits[name]; !ok && f.waiting == 0 && f.running == 0 {
				delete(l.flows, name)
			}
		}
	}
}

// SetCapacity sets the number of slots, which wait estimates are based on. The caller enforces it when starting entries.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Waiting returns the number of waiting entries of a rank.
func (q *Queue) Waiting(r note.Rank) int { return q.ranks[r].waiting }

// Running returns the number of running entries of a rank.
func (q *Queue) Running(r note.Rank) int { return q.ranks[r].running }

// Flows calls f for each organisation with waiting entries in a rank, in no particular order.
func (q *Queue) Flows(r note.Rank, f func(org string, waiting int)) {
	for _, fl := range q.ranks[r].active {
		f(fl.org, fl.waiting)
	}
}

// Backlog returns the number of waiting entries of an organisation in a rank.
func (q *Queue) Backlog(r note.Rank, org string) int {
	if f := q.ranks[r].flows[org]; f != nil {
		return f.waiting
	}
	return 0
}

// Submit queues an entry, or returns the refusal.
func (q *Queue) Submit(now time.Time, e Entry) *Refusal {
	if q.entries == nil {
		q.entries, q.epoch = map[uint64]*entry{}, now
	}
	e.Cost, e.SlowServiceTime = max(e.Cost, 1), max(e.SlowServiceTime, e.ServiceTime)
	l := &q.ranks[e.Rank]
	f := l.flows[e.Organisation]
	if f == nil {
		if l.flows == nil {
			l.flows = map[string]*flow{}
		}
		f = &flow{org: e.Organisation, limit: q.limits[e.Organisation], activeIndex: -1}
		l.flows[e.Organisation] = f
	}
	if f.waiting == 0 {
		// An organisation that was idle gets no credit for that time, and no penalty for slots it used while no other
		// organisation wanted them.
		l.advanceVirtualTime()
		f.virtualTime = max(f.virtualTime, l.virtualTime)
	}
	if b := f.limit.MaxWaitingCost; b > 0 && f.waiting > 0 && f.waitingCost+e.Cost > b {
		excess := min(f.waitingCost, f.waitingCost+e.Cost-b)
		after := q.estimateWait(now, e.Rank, f, float64(excess), f.waitingSeconds*float64(excess)/float64(f.waitingCost))
		return &Refusal{Kind: WaitingLimitReached, Reason: fmt.Sprintf("the organisation has as much work waiting as its queue bound allows: cost %d waits, %d is new, the bound is %d", f.waitingCost, e.Cost, b), RetryAfter: retryAfter(after, e.ServiceTime)}
	}
	wait := q.estimateWait(now, e.Rank, f, float64(f.waitingCost+e.Cost), f.waitingSeconds)
	need := e.ServiceTime
	if wait > 0 {
		need = e.SlowServiceTime
	}
	if remaining := e.Deadline.Sub(now); !e.Deadline.IsZero() && (remaining <= 0 || wait+need > remaining) {
		r := &Refusal{Kind: DeadlineUnmeetable, Reason: "the answer could not be complete before its deadline: it needs " + describeNeed(wait, need, remaining)}
		switch {
		case remaining < e.ServiceTime || remaining <= 0 || wait == 0:
			// An identical request would be refused by an idle service too, so RetryAfter stays 0.
		case remaining < e.SlowServiceTime:
			r.RetryAfter = retryAfter(wait, e.ServiceTime)
		default:
			r.RetryAfter = retryAfter(wait+need-remaining, e.ServiceTime)
		}
		return r
	}
	q.enqueue(now, l, f, e)
	return nil
}

// describeNeed formats the times behind a deadline decision.
func describeNeed(wait, service, remaining time.Duration) string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	if wait <= 0 {
		return fmt.Sprintf("%v, %v left", ms(service), ms(remaining))
	}
	return fmt.Sprintf("%v after a wait of %v, %v left", ms(service), ms(wait), ms(remaining))
}

// retryAfter returns the retry delay for a queue whose wait has to drop by d. It adds one service time: when all running
// requests started together, the queue shrinks only once per service time. The result is always positive, since 0 would
// mean that a retry cannot succeed.
func retryAfter(d, service time.Duration) time.Duration { return max(d+service, time.Millisecond) }

func (q *Queue) enqueue(now time.Time, l *rankQueue, f *flow, e Entry) {
	var x *entry
	if n := len(q.freeEntries); n > 0 {
		x, q.freeEntries = q.freeEntries[n-1], q.freeEntries[:n-1]
	} else {
		x = &entry{}
	}
	*x = entry{Entry: e, flow: f, prev: f.tail, expiryIndex: -1}
	if f.tail == nil {
		f.head, f.activeIndex = x, len(l.active)
		l.active = append(l.active, f)
	} else {
		f.tail.next = x
	}
	f.tail = x
	f.waiting++
	f.waitingCost += e.Cost
	f.waitingSeconds += e.ServiceTime.Seconds()
	l.waiting++
	l.waitingSeconds += e.ServiceTime.Seconds()
	q.entries[e.ID] = x
	if e.Deadline.IsZero() {
		return
	}
	x.latestStart = e.Deadline.Add(-e.SlowServiceTime)
	if x.latestStart.Before(now) {
		x.latestStart = e.Deadline.Add(-e.ServiceTime)
	}
	heap.Push(&q.expiries, x)
}

// unlink removes a waiting entry from its flow and from the expiry heap.
func (q *Queue) unlink(x *entry) {
	f, l := x.flow, &q.ranks[x.Rank]
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
	f.waiting--
	f.waitingCost -= x.Cost
	f.waitingSeconds -= x.ServiceTime.Seconds()
	l.waiting--
	l.waitingSeconds -= x.ServiceTime.Seconds()
	if f.waiting == 0 {
		f.waitingSeconds = 0 // Clears accumulated rounding errors.
		end := len(l.active) - 1
		l.active[f.activeIndex] = l.active[end]
		l.active[f.activeIndex].activeIndex = f.activeIndex
		l.active, f.activeIndex = l.active[:end], -1
	}
	if l.waiting == 0 {
		l.waitingSeconds = 0
	}
	if x.expiryIndex >= 0 {
		heap.Remove(&q.expiries, x.expiryIndex)
	}
}

func (q *Queue) release(x *entry) {
	delete(q.entries, x.ID)
	*x = entry{}
	q.freeEntries = append(q.freeEntries, x)
}

// advanceVirtualTime raises the virtual time to the lowest virtual time of the active flows, if that is higher.
func (l *rankQueue) advanceVirtualTime() {
	if len(l.active) == 0 {
		return
	}
	low := l.active[0].virtualTime
	for _, f := range l.active[1:] {
		low = min(low, f.virtualTime)
	}
	l.virtualTime = max(l.virtualTime, low)
}

// nextEntry returns the entry to start next by worst-case fair weighted fair queueing (WF2Q). Of the flows whose head
// has a virtual start time that is not in the future, it takes the head with the lowest virtual finish time, on ties
// the one with the lower ID, which arrived first. Without the condition on the start time, a flow can be served far
// ahead of its share; after it pauses, the others have to wait for that lead.
//
// Entries listed in skip are passed over, at most once each. If no eligible entry remains, the condition on the start
// time is dropped, since the virtual time does not advance while a skipped flow is behind.
func (l *rankQueue) nextEntry(skip []uint64) *entry {
	l.advanceVirtualTime()
	for _, anyStart := range []bool{false, true} {
		var best *entry
		var end float64
		for _, f := range l.active {
			if f.virtualTime > l.virtualTime && !anyStart {
				continue
			}
			x := f.head
			for len(skip) > 0 && x != nil && slices.Contains(skip, x.ID) {
				x = x.next
			}
			if x == nil {
				continue
			}
			e := f.virtualTime + float64(x.Cost)/f.weight()
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

// Peek returns the entry of a rank that Start would start.
func (q *Queue) Peek(r note.Rank) (Entry, bool) { return q.PeekSkipping(r, nil) }

// PeekSkipping is like Peek, but ignores the entries in skip, which cannot start on any target that has room.
func (q *Queue) PeekSkipping(r note.Rank, skip []uint64) (Entry, bool) {
	x := q.ranks[r].nextEntry(skip)
	if x == nil {
		return Entry{}, false
	}
	return x.Entry, true
}

// PeekOnlyEntry returns an entry that is the only waiting one of its organisation in a rank. Of several it returns the
// one whose organisation has been served least relative to its weight. Entries in skip are ignored.
func (q *Queue) PeekOnlyEntry(r note.Rank, skip []uint64) (Entry, bool) {
	var best *flow
	for _, f := range q.ranks[r].active {
		if f.waiting == 1 && (best == nil || f.virtualTime < best.virtualTime) && !slices.Contains(skip, f.head.ID) {
			best = f
		}
	}
	if best == nil {
		return Entry{}, false
	}
	return best.head.Entry, true
}

// Start moves the entry that Peek returns from waiting to running; it counts as running until Done is called. Call
// Expire first, so that the entry can still meet its deadline.
func (q *Queue) Start(now time.Time, r note.Rank) (Entry, bool) {
	x := q.ranks[r].nextEntry(nil)
	if x == nil {
		return Entry{}, false
	}
	return x.Entry, q.StartEntry(now, x.ID)
}

// StartEntry is like Start for the waiting entry with the given ID, as returned by PeekSkipping or PeekOnlyEntry. It
// reports whether the entry was waiting.
func (q *Queue) StartEntry(now time.Time, id uint64) bool {
	x := q.entries[id]
	if x == nil || x.running {
		return false
	}
	f, l := x.flow, &q.ranks[x.Rank]
	sum := 0.0
	for _, o := range l.active {
		sum += o.weight()
	}
	q.unlink(x)
	f.virtualTime += float64(x.Cost) / f.weight()
	l.virtualTime += float64(x.Cost) / sum
	x.activeWeight = sum
	l.maxVirtualTime = max(l.maxVirtualTime, f.virtualTime, l.virtualTime)
	x.running = true
	x.expectedEnd = now.Sub(q.epoch).Seconds() + x.ServiceTime.Seconds()
	f.running++
	l.running++
	l.runningSeconds += x.ServiceTime.Seconds()
	l.expectedEndSum += x.expectedEnd
	return true
}

// Done removes a running entry. cost is its actual cost in tokens, negative if unknown; the organisation is charged the
// difference from the estimate. It reports whether the entry was running.
func (q *Queue) Done(id uint64, cost int) bool {
	x := q.entries[id]
	if x == nil || !x.running {
		return false
	}
	f, l := x.flow, &q.ranks[x.Rank]
	f.running--
	l.running--
	l.runningSeconds -= x.ServiceTime.Seconds()
	l.expectedEndSum -= x.expectedEnd
	if cost >= 0 {
		f.virtualTime += float64(cost-x.Cost) / f.weight()
		l.virtualTime += float64(cost-x.Cost) / x.activeWeight
		l.maxVirtualTime = max(l.maxVirtualTime, f.virtualTime)
	}
	if l.running == 0 {
		l.runningSeconds, l.expectedEndSum = 0, 0
		if l.waiting == 0 {
			l.virtualTime = l.maxVirtualTime // All organisations start the next busy period equal.
		}
	}
	q.release(x)
	return true
}

// EntryState is the state of an entry in the queue.
type EntryState int

// Entry states.
const (
	UnknownEntry EntryState = iota
	Queued
	Started
)

// Withdraw removes a waiting entry whose caller has cancelled it. It returns the state in which it found the entry. A
// started entry counts as running until Done is called.
func (q *Queue) Withdraw(id uint64) EntryState {
	x := q.entries[id]
	switch {
	case x == nil:
		return UnknownEntry
	case x.running:
		return Started
	}
	q.unlink(x)
	q.release(x)
	return Queued
}

// NextExpiry returns the time at which Expire has to be called next, or false if no waiting entry has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiries) == 0 {
		return time.Time{}, false
	}
	return q.expiries[0].latestStart.Add(1), true
}

// Expire drops the entries that would miss their deadlines even if they started now. The result is valid until the next
// call of Expire or Trim.
func (q *Queue) Expire(now time.Time) []Drop {
	q.drops = q.drops[:0]
	for len(q.expiries) > 0 && now.After(q.expiries[0].latestStart) {
		x := q.expiries[0]
		f := x.flow
		r := &Refusal{Kind: Expired, Reason: "the answer can no longer be complete before its deadline: it needs " + describeNeed(0, x.Deadline.Sub(x.latestStart), x.Deadline.Sub(now))}
		q.unlink(x)
		r.RetryAfter = retryAfter(q.estimateWait(now, x.Rank, f, float64(f.waitingCost+x.Cost), f.waitingSeconds), x.ServiceTime)
		q.drops = append(q.drops, Drop{x.Entry, r})
		q.release(x)
	}
	return q.drops
}

// Trim drops entries that are expected to miss their deadlines because the queue has slowed down since they were
// admitted. It drops the newest entries of an organisation first, so that the older ones still finish in time. It uses
// the expected service time rather than the upper estimate that Submit uses, so that a small change of the estimates
// drops nothing. The result is valid until the next call of Expire or Trim.
func (q *Queue) Trim(now time.Time) []Drop {
	q.drops = q.drops[:0]
	for r := range q.ranks {
		l := &q.ranks[r]
		for i := len(l.active) - 1; i >= 0; i-- {
			for f := l.active[i]; f.waiting > 1; {
				x := f.tail
				if x.Deadline.IsZero() {
					break
				}
				wait := q.estimateWait(now, note.Rank(r), f, float64(f.waitingCost), f.waitingSeconds-x.ServiceTime.Seconds())
				excess := wait + x.ServiceTime - x.Deadline.Sub(now)
				if excess <= 0 {
					break
				}
				q.unlink(x)
				q.drops = append(q.drops, Drop{x.Entry, &Refusal{Kind: Trimmed, Reason: "the queue became slower and the newest requests of the organisation can't be served in time: this one needs " + describeNeed(wait, x.ServiceTime, x.Deadline.Sub(now)), RetryAfter: retryAfter(excess, x.ServiceTime)}})
				q.release(x)
			}
		}
	}
	return q.drops
}

// estimateWait estimates the wait of an entry of flow f. cost is the waiting cost of the flow up to and including the
// entry; service is the service time, in seconds, of the entries of the flow before it.
//
// The entry waits for the work that fair queueing serves before it, spread over the slots, and for the next slot to
// become free. Of another flow, that work is the cost with an earlier virtual finish time. With k slots that are each
// busy for a mean time m, a slot becomes free every m/k. The result is 0 if there are no slots, since the wait is then
// unknown.
func (q *Queue) estimateWait(now time.Time, r note.Rank, f *flow, cost, service float64) time.Duration {
	l := &q.ranks[r]
	k := q.capacity.Slots[r]
	if k <= 0 {
		return 0
	}
	ahead, running, waiting, busy, ends := service, l.running, l.waiting, l.runningSeconds, l.expectedEndSum
	end := f.virtualTime + cost/f.weight()
	for _, o := range l.active {
		if c := (end - o.virtualTime) * o.weight(); o != f && c > 0 {
			ahead += o.waitingSeconds * min(1, c/float64(o.waitingCost))
		}
	}
	own := ahead
	if q.capacity.Shared {
		for i := range q.ranks {
			o := &q.ranks[i]
			if i < int(r) {
				ahead += o.waitingSeconds
				waiting += o.waiting
			}
			if i != int(r) {
				running += o.running
				busy += o.runningSeconds
				ends += o.expectedEndSum
			}
		}
	}
	if running+waiting < k {
		return 0
	}
	next := 0.0
	if running > 0 {
		remaining := ends - float64(running)*now.Sub(q.epoch).Seconds()
		next = max(0, min(remaining, busy/float64(running)))
	}
	w := (ahead + next) / float64(k)
	if floor := q.capacity.Floor[r]; q.capacity.Shared && floor > 0 {
		w = min(w, (own+next)/float64(floor))
	}
	return time.Duration(w * float64(time.Second))
}

// expiryHeap is a min-heap of the waiting entries with a deadline, ordered by latestStart.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(v any) {
	x := v.(*entry)
	x.expiryIndex = len(*h)
	*h = append(*h, x)
}

func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	x.expiryIndex = -1
	return x
}
