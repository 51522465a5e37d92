// Package election implements the lease that elects the daemon that sends orders to the backend servers.
//
// The lease is one row of the platform's store, and each renewal gives the row a new version. The holder announces that
// version to the other daemons. A daemon that has received no announcement for TTL reads the row. It takes the lease
// over only if the row still has a version that the daemon learned at least TTL earlier. The holder stops acting Guard
// before its TTL ends, counted from the time at which it sent the renewal. The holder therefore stops before any other
// daemon takes over, without synchronised wall clocks. Times are those of a monotonic clock that keeps counting while
// the machine is suspended. A holder that has restarted takes its lease again at once.
//
// The fencing token grows with each change of holder, so that orders of earlier holders can be rejected.
//
// A store that is restored from a backup begins a new era, in which the row is one of its own: a write that was sent in an
// earlier era can then not meet its condition by a version that was given out again. Nobody takes the lease in a new era
// before TTL has passed, as the holder of the era before may act until then, except that holder if its time had not ended when
// it learned of the new era. The tokens that were given since the backup may be forgotten, so those of a new era begin above
// all earlier ones. A store counts its eras from 1, or names none.
package election

import (
	"time"

	"flamingorudder.example/internal/era"
)

const (
	// TTL is how long the other daemons consider a renewal valid. It bounds the time without group repair after the
	// holder is lost, and is several response times of a slow store.
	TTL = 2 * time.Second
	// Guard is how long before the end of TTL the holder stops acting.
	Guard = 400 * time.Millisecond
	// Renewal is the interval between renewals by the holder.
	Renewal = 500 * time.Millisecond
	// Stagger is the additional delay before a takeover for each position in the takeover order.
	Stagger = 150 * time.Millisecond
	// readInterval is the time between two reads of the row while the holder is silent, and the delay before a retry
	// after a failure.
	readInterval = 300 * time.Millisecond
	// backoffPositions is the number of positions in the takeover order for which the retry delay after a failure grows
	// by another readInterval. While the store is unavailable the daemons at the front of the order retry often enough,
	// and the calls of a large fleet would only be rejected.
	backoffPositions = 4
	// tokensPerEra is the number of tokens below those of the next era. Epochs of groups are made of a token and 20 more bits and
	// have to stay exact in JSON, below 2^53, which maxTokenEra ensures; later eras no longer begin at a higher token.
	tokensPerEra = 1 << 16
	maxTokenEra  = 1<<17 - 1
)

// FirstEra is the era of a store that was never restored, unless it names none.
const FirstEra = 1

// Record is the value of the lease row.
type Record struct {
	Holder string `cbor:"holder"`
	Token  int64  `cbor:"token"`
}

// Action is the next step of a daemon.
type Action uint8

// Actions of a daemon.
const (
	Wait Action = iota
	// ReadLease reads the lease row.
	ReadLease
	// WriteLease writes the record of Next if the row still has the last known version.
	WriteLease
)

// Election is the state of one daemon in the election. It is not safe for concurrent use. Times are offsets from an
// arbitrary fixed point.
type Election struct {
	self string
	// record and position are the last known contents of the row, and learnedAt is when this version became known. The version
	// is 0 when nothing is known in this era. initialized is false until the contents of the row, or its absence, are known.
	record      Record
	position    era.Position
	initialized bool
	learnedAt   time.Duration
	// token is the highest token seen in any era.
	token int64
	// heldUntil is when this daemon stops acting as holder.
	heldUntil time.Duration
	holding   bool
	renewedAt time.Duration
	lastRead  time.Duration
	// lastCall is when the last read or write of the row began, and failed is set when it failed.
	lastCall time.Duration
	failed   bool
	inFlight bool
}

// New returns the election state of the named daemon.
func New(self string) *Election { return &Election{self: self} }

// Holding returns the fencing token while this daemon may send orders.
func (e *Election) Holding(now time.Duration) (token int64, ok bool) {
	if !e.holding || now >= e.heldUntil {
		return 0, false
	}
	return e.record.Token, true
}

// LastRecord returns the last known contents of the row. The version is 0 when nothing is known.
func (e *Election) LastRecord() (Record, era.Position) { return e.record, e.position }

// Position returns the last known position of the lease row.
func (e *Election) Position() era.Position { return e.position }

// Holder returns the name of the last known holder.
func (e *Election) Holder() string { return e.record.Holder }

// ObserveEra records that the store is in an era. A holder whose time has not ended stays the holder in a later one, since
// nobody else can have taken the lease before.
func (e *Election) ObserveEra(now time.Duration, n int64) {
	if n <= e.position.Era {
		return
	}
	e.position, e.learnedAt = era.Position{Era: n}, now
	e.holding = e.holding && now < e.heldUntil
	e.initialized = e.holding
	if !e.holding {
		e.record = Record{}
	}
}

// Observe records the contents of the row, as read from the store or announced by the holder. A version of 0 means that
// there is no row.
func (e *Election) Observe(now time.Duration, r Record, position era.Position) {
	e.token = max(e.token, r.Token)
	e.ObserveEra(now, position.Era)
	if position.Era < e.position.Era || e.initialized && position.Version <= e.position.Version {
		return
	}
	if r.Holder != e.self {
		e.holding = false
	}
	e.record, e.position, e.initialized, e.learnedAt = r, position, true, now
}

// Resign stops acting as holder until the lease is acquired again.
func (e *Election) Resign() { e.holding = false }

// Step returns the next action. position is the index of this daemon in the order in which daemons take a free lease.
func (e *Election) Step(now time.Duration, position int) Action {
	if e.inFlight {
		return Wait
	}
	if e.holding {
		if now-e.renewedAt < Renewal || e.failed && now-e.lastCall < readInterval {
			return Wait
		}
		return e.begin(now, WriteLease)
	}
	// A row that names this daemon is of an earlier lifetime, which has ended, or of a write whose response was lost.
	free := e.initialized && (e.position.Version == 0 && e.position.Era <= FirstEra || e.record.Holder == e.self || now-e.learnedAt >= TTL+time.Duration(position)*Stagger)
	if !free && e.initialized {
		return Wait
	}
	// Read the row again before writing it: it may have been renewed while announcements were lost.
	if e.failed && now-e.lastCall < readInterval+readInterval*time.Duration(position)/backoffPositions {
		return Wait
	}
	if e.failed || now-e.lastRead >= readInterval {
		e.lastRead = now
		return e.begin(now, ReadLease)
	}
	if free {
		return e.begin(now, WriteLease)
	}
	return Wait
}

func (e *Election) begin(now time.Duration, a Action) Action {
	e.inFlight, e.lastCall = true, now
	return a
}

// Next returns the record to write, and the position that the row must have in its era.
func (e *Election) Next() (Record, era.Position) {
	token := e.record.Token
	if !e.holding {
		token = max(e.token+1, firstToken(e.position.Era))
	}
	return Record{Holder: e.self, Token: token}, e.position
}

// firstToken returns the lowest token of an era.
func firstToken(n int64) int64 {
	if n <= FirstEra {
		return 1
	}
	return min(n, maxTokenEra) * tokensPerEra
}

// WriteSucceeded records the success of a WriteLease of the era of position, which was sent at the given time. A success in
// another era than that of the write, or in one that has ended, does not count.
func (e *Election) WriteSucceeded(sent time.Duration, r Record, written int64, position era.Position) {
	e.inFlight, e.failed = false, false
	if written != position.Era || position.Era != e.position.Era {
		e.failed = true
		return
	}
	e.record, e.position, e.initialized, e.learnedAt = r, position, true, sent
	e.token = max(e.token, r.Token)
	e.holding, e.renewedAt, e.heldUntil = true, sent, sent+TTL-Guard
}

// CallFailed records the failure of a ReadLease or WriteLease. The next action is to read the row, or for the holder to
// write again.
func (e *Election) CallFailed() {
	e.inFlight, e.failed = false, true
}

// ReadSucceeded records the contents of the row that a ReadLease returned.
func (e *Election) ReadSucceeded(now time.Duration, r Record, position era.Position) {
	e.ObserveEra(now, position.Era)
	e.inFlight, e.failed = false, position.Era < e.position.Era
	if e.failed {
		return
	}
	if position.Version == 0 && !e.initialized {
		e.initialized = true // the time counts from when the era became known
		return
	}
	e.Observe(now, r, position)
}
