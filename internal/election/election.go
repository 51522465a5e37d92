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
package election

import "time"

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
)

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
	// record and version are the last known contents of the row, and learnedAt is when this version became known.
	// initialized is false until the contents of the row, or its absence, are known.
	record      Record
	version     int64
	initialized bool
	learnedAt   time.Duration
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
func (e *Election) LastRecord() (Record, int64) { return e.record, e.version }

// Version returns the last known version of the lease row.
func (e *Election) Version() int64 { return e.version }

// Holder returns the name of the last known holder.
func (e *Election) Holder() string { return e.record.Holder }

// Observe records the contents of the row, as read from the store or announced by the holder. A version of 0 means that
// there is no row.
func (e *Election) Observe(now time.Duration, r Record, version int64) {
	if e.initialized && version <= e.version {
		return
	}
	if r.Holder != e.self {
		e.holding = false
	}
	e.record, e.version, e.initialized, e.learnedAt = r, version, true, now
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
	free := e.initialized && (e.version == 0 || e.record.Holder == e.self || now-e.learnedAt >= TTL+time.Duration(position)*Stagger)
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

// Next returns the record to write, and the version that the row must have.
func (e *Election) Next() (Record, int64) {
	token := e.record.Token
	if !e.holding {
		token++
	}
	return Record{Holder: e.self, Token: token}, e.version
}

// WriteSucceeded records the success of a WriteLease that was sent at the given time.
func (e *Election) WriteSucceeded(sent time.Duration, r Record, version int64) {
	e.inFlight, e.failed = false, false
	e.record, e.version, e.initialized, e.learnedAt = r, version, true, sent
	e.holding, e.renewedAt, e.heldUntil = true, sent, sent+TTL-Guard
}

// CallFailed records the failure of a ReadLease or WriteLease. The next action is to read the row, or for the holder to
// write again.
func (e *Election) CallFailed() {
	e.inFlight, e.failed = false, true
}

// ReadSucceeded records the contents of the row that a ReadLease returned.
func (e *Election) ReadSucceeded(now time.Duration, r Record, version int64) {
	e.inFlight, e.failed = false, false
	if version == 0 && !e.initialized {
		e.initialized, e.learnedAt = true, now
		return
	}
	e.Observe(now, r, version)
}
