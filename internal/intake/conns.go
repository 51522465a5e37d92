package intake

import (
	"container/list"
	"sync"
	"time"
)

// Limits bound the connections of clients and the heads of their requests.
type Limits struct {
	// Conns is the number of connections, Heads that of request heads in progress.
	Conns, Heads int
	// HeadBytes is the number of bytes of a head.
	HeadBytes int
	// HeadTimeout is the time from the first byte of a head to its last one, IdleTimeout that without a request, also before the
	// first one.
	HeadTimeout, IdleTimeout time.Duration
}

// headSlop is what may be read beyond a head: net/http reads 4 KiB at a time, so the bytes after a head may be counted with it.
const headSlop = 4 << 10

// headFactor is how much memory a head takes while it is parsed, for each byte: the bytes that were read, and the strings made of them.
const headFactor = 2

// Refusal is why a connection is refused or closed; empty if it is not.
type Refusal string

// Reasons for refusals. They are values of a metric.
const (
	NotRefused    Refusal = ""
	TooManyConns  Refusal = "too many connections"
	Displaced     Refusal = "displaced by a newer connection"
	HeadTooLarge  Refusal = "head too large"
	HeadTooSlow   Refusal = "head too slow"
	HeadNoMemory  Refusal = "no memory for the head"
	BodyTooLarge  Refusal = "body too large"
	BodyTooSlow   Refusal = "body too slow"
	BodyNoMemory  Refusal = "bodies fill the memory"
	BodyStalled   Refusal = "body stalled while memory was needed"
	CallerTooSlow Refusal = "caller does not read"
)

// state is what a connection does. Connections in each state but active are listed by when they entered it.
type state uint8

const (
	// fresh connections have not sent a byte.
	fresh state = iota
	inHead
	idle
	// closing connections have been closed, but bytes of the client are still read and dropped.
	closing
	active
)

type conn[C comparable] struct {
	id    C
	state state
	since time.Time
	// at is the connection's place in the list of its state, nil while it is active.
	at *list.Element
	// read counts the bytes of the head, reserved those that were reserved for it.
	read     int
	reserved int64
	head     *Reservation
}

// Conns decides which connections of clients stay open. Connections that are not known, or no longer, are ignored. It is safe for
// concurrent use.
type Conns[C comparable] struct {
	mu     sync.Mutex
	limits Limits
	budget *Budget
	conns  map[C]*conn[C]
	lists  [active]*list.List
}

// NewConns returns an empty set of connections, whose heads reserve from a budget.
func NewConns[C comparable](limits Limits, budget *Budget) *Conns[C] {
	c := &Conns[C]{limits: limits, budget: budget, conns: map[C]*conn[C]{}}
	for i := range c.lists {
		c.lists[i] = list.New()
	}
	return c
}

// SetLimits changes the limits.
func (c *Conns[C]) SetLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// Len returns the number of connections.
func (c *Conns[C]) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// enter puts a connection into a state. c.mu is held.
func (c *Conns[C]) enter(now time.Time, o *conn[C], s state) {
	if o.at != nil {
		c.lists[o.state].Remove(o.at)
		o.at = nil
	}
	o.state, o.since = s, now
	if s != active {
		o.at = c.lists[s].PushBack(o)
	}
}

// drop forgets a connection and gives back its memory. c.mu is held.
func (c *Conns[C]) drop(o *conn[C]) {
	if o.at != nil {
		c.lists[o.state].Remove(o.at)
	}
	o.release()
	delete(c.conns, o.id)
}

func (o *conn[C]) release() {
	if o.head != nil {
		o.head.Release()
		o.head = nil
	}
}

// oldest returns the connection that has been longest in one of the states, nil if there is none. c.mu is held.
func (c *Conns[C]) oldest(states ...state) *conn[C] {
	var first *conn[C]
	for _, s := range states {
		if e := c.lists[s].Front(); e != nil {
			if o := e.Value.(*conn[C]); first == nil || o.since.Before(first.since) {
				first = o
			}
		}
	}
	return first
}

// Open adds a connection. At the limit, it takes the place of one that is being closed, or else of the one that has waited longest without
// sending a whole head: a sound client sends its head at once. displaced is that connection, which the caller closes for good. Without
// one, Open reports false and the caller closes the new connection.
func (c *Conns[C]) Open(now time.Time, id C) (displaced []C, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.conns) >= c.limits.Conns {
		o := c.oldest(closing)
		if o == nil {
			o = c.oldest(fresh, inHead)
		}
		if o == nil {
			return nil, false
		}
		c.drop(o)
		displaced = []C{o.id}
	}
	o := &conn[C]{id: id}
	c.conns[id] = o
	c.enter(now, o, fresh)
	return displaced, true
}

// Received tells that n bytes were read from a connection. It returns why the connection is refused, and the connections that the caller
// closes for good, as there are too many heads in progress.
func (c *Conns[C]) Received(now time.Time, id C, n int) (refusal Refusal, displaced []C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.conns[id]
	if o == nil {
		return NotRefused, nil
	}
	switch o.state {
	case active, closing:
		return NotRefused, nil
	case fresh, idle:
		if c.lists[inHead].Len() >= c.limits.Heads {
			if first := c.oldest(inHead); first != nil {
				c.drop(first)
				displaced = []C{first.id}
			}
		}
		o.release()
		o.head, o.read, o.reserved = c.budget.Reservation(), 0, int64(headFactor*(c.limits.HeadBytes+headSlop))
		if o.head.Grow(now, Head, o.reserved) != nil {
			return HeadNoMemory, displaced
		}
		c.enter(now, o, inHead)
	case inHead:
	}
	if o.read += n; o.read > c.limits.HeadBytes+headSlop {
		return HeadTooLarge, displaced
	}
	return NotRefused, displaced
}

// HeadDone tells that the head of a request has been read. Its memory stays reserved until the connection is idle.
func (c *Conns[C]) HeadDone(now time.Time, id C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.conns[id]
	if o == nil {
		return
	}
	if o.head != nil {
		o.head.Shrink(o.reserved - int64(headFactor*o.read))
	}
	c.enter(now, o, active)
}

// Idle tells that the answer to a request has been written.
func (c *Conns[C]) Idle(now time.Time, id C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.conns[id]; o != nil {
		o.release()
		c.enter(now, o, idle)
	}
}

// Closing tells that a connection is being closed.
func (c *Conns[C]) Closing(now time.Time, id C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.conns[id]; o != nil {
		o.release()
		c.enter(now, o, closing)
	}
}

// Closed tells that a connection has been closed for good.
func (c *Conns[C]) Closed(id C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.conns[id]; o != nil {
		c.drop(o)
	}
}

// Expired returns the connections whose head is too slow and those that have been idle for too long. The caller closes them.
func (c *Conns[C]) Expired(now time.Time) (slow, unused []C) {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := func(s state, timeout time.Duration) (out []C) {
		for e := c.lists[s].Front(); timeout > 0 && e != nil && now.Sub(e.Value.(*conn[C]).since) > timeout; e = e.Next() {
			out = append(out, e.Value.(*conn[C]).id)
		}
		return out
	}
	return expired(inHead, c.limits.HeadTimeout), append(expired(fresh, c.limits.IdleTimeout), expired(idle, c.limits.IdleTimeout)...)
}
