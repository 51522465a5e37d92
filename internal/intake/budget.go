// Package intake decides what clients may have a daemon hold: memory for request heads, bodies and responses, and connections.
//
// # Load pattern
//
// Clients that are not under our control send heads and bodies that are too large or never end, many at once, and stay. A limit for each
// of them does not bound their sum, and a sum that is counted after reading does not bound what is being read. So everything reserves from
// one budget before it is read, large bodies leave room for small requests, and what makes no progress gives way first.
package intake

import (
	"fmt"
	"sync"
	"time"
)

// Kind is what memory is reserved for. The kinds may fill the budget to different levels, so that large bodies do not keep out small
// requests, and requests that are under way can still be answered.
type Kind uint8

const (
	// LargeBody is the part of a body beyond SmallBody.
	LargeBody Kind = iota
	// Body is a body up to SmallBody.
	Body
	// Response is a response that is held until its caller has read it.
	Response
	// Head is the head of a request.
	Head
	kinds
)

// SmallBody is the size up to which a body counts as small. Prompts of a few thousand tokens are smaller.
const SmallBody = 32 << 10

// levels is the part of the budget, in eighths, up to which each kind may fill it.
var levels = [kinds]int64{LargeBody: 6, Body: 7, Response: 7, Head: 8}

// StallTime is how long a body may go without progress before it gives way to others when the budget is used up. A sound client sends
// on within a few round trips; a lost packet is repeated within 200 ms to 400 ms.
const StallTime = time.Second

// ExhaustedError reports that the budget is used up.
type ExhaustedError struct{ Wanted, Used, Limit int64 }

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%d bytes wanted, %d of %d reserved", e.Wanted, e.Used, e.Limit)
}

// Budget is the memory that may be reserved. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// reading holds the reservations of bodies that are being read.
	reading map[*Reservation]struct{}
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reading: map[*Reservation]struct{}{}}
}

// SetLimit changes the size of the budget. What is reserved stays so.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is the memory reserved for one request. Its zero size grows by Grow. It is safe for concurrent use.
type Reservation struct {
	b *Budget
	// size, released, progress and giveUp are guarded by b.mu.
	size     int64
	released bool
	// progress is when the last byte of a body arrived.
	progress time.Time
	// giveUp ends the reading of a body; it is nil while none is read. It must not block. givenUp is set once it has been called.
	giveUp  func()
	givenUp bool
}

// Reservation returns an empty reservation. The caller releases it.
func (b *Budget) Reservation() *Reservation { return &Reservation{b: b} }

// Grow reserves n more bytes. It returns an *ExhaustedError if the budget has no room for this kind, after it has had the body give up
// that has made no progress for longest.
func (r *Reservation) Grow(now time.Time, kind Kind, n int64) error {
	b := r.b
	b.mu.Lock()
	if !r.released && b.used+n <= b.limit/8*levels[kind] {
		b.used += n
		r.size += n
		b.mu.Unlock()
		return nil
	}
	err := &ExhaustedError{n, b.used, b.limit}
	var stalled *Reservation
	for o := range b.reading {
		if !o.givenUp && now.Sub(o.progress) > StallTime && (stalled == nil || o.progress.Before(stalled.progress)) {
			stalled = o
		}
	}
	var giveUp func()
	if stalled != nil {
		stalled.givenUp, giveUp = true, stalled.giveUp
	}
	b.mu.Unlock()
	if giveUp != nil {
		giveUp()
	}
	return err
}

// Shrink gives back n bytes.
func (r *Reservation) Shrink(n int64) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	n = min(n, r.size)
	r.size -= n
	r.b.used -= n
}

// BeginReading tells that a body is read into the reservation. giveUp is called at most once, if the body makes no progress while others
// find no room.
func (r *Reservation) BeginReading(now time.Time, giveUp func()) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.progress, r.giveUp = now, giveUp
	r.b.reading[r] = struct{}{}
}

// Progress tells that a part of the body has arrived.
func (r *Reservation) Progress(now time.Time) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.progress = now
}

// EndReading tells that the body is no longer read. It reports whether the body had to give up.
func (r *Reservation) EndReading() (givenUp bool) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	delete(r.b.reading, r)
	return r.givenUp
}

// Release gives everything back. Nothing can be reserved afterwards.
func (r *Reservation) Release() {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	delete(r.b.reading, r)
	r.b.used -= r.size
	r.size, r.released = 0, true
}
