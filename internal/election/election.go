// Package election keeps the lease of the daemon that gives orders to backend servers.
//
// The lease is one row of the platform's store; each renewal gives it a new version. The holder tells the version to the
// other daemons, and a daemon that has heard of none for TTL reads the row. It takes the lease over only if the row
// still has a version that it learnt at least TTL earlier; the holder stops Guard before that, counted from when it sent
// the renewal. The two intervals are ordered without any agreement between wall clocks. Times are those of a steady
// clock that also counts the time for which a machine was suspended.
//
// The token grows with each change of holder and fences the orders of earlier ones.
package election

import "time"

const (
	// TTL is how long a renewal lasts for the others. It bounds how long nobody heals groups after the loss of the
	// holder, and is several answers of a slow store.
	TTL = 2 * time.Second
	// Guard is how long before TTL the holder stops.
	Guard = 400 * time.Millisecond
	// Renewal is how often the holder renews.
	Renewal = 500 * time.Millisecond
	// Stagger is how much longer each daemon waits that comes later in the order of names.
	Stagger = 150 * time.Millisecond
	// lookPeriod is the time between two reads of the row while the holder is silent, and after a failure.
	lookPeriod = 300 * time.Millisecond
	// failedPlaces is after how many places a daemon waits for another such time after a failure: while the store is away the
	// first in order try often enough, and the calls of a large fleet would only be refused.
	failedPlaces = 4
)

// Record is the value of the lease row.
type Record struct {
	Holder string `cbor:"holder"`
	Token  int64  `cbor:"token"`
}

// Action is what a daemon does next.
type Action uint8

// Actions.
const (
	Wait Action = iota
	// Look reads the row.
	Look
	// Write writes Next over the version that the daemon knows.
	Write
)

// Election is one daemon's part. It is not safe for concurrent use. Times count from any fixed moment.
type Election struct {
	self string
	// record and version are the row as last learnt; learnt is when that version became known.
	record  Record
	version int64
	known   bool
	learnt  time.Duration
	// heldUntil is when this daemon stops acting as holder.
	heldUntil time.Duration
	holding   bool
	renewed   time.Duration
	looked    time.Duration
	// tried is when the row was last read or written, failed tells that it brought nothing.
	tried  time.Duration
	failed bool
	busy   bool
}

// New returns the part of a daemon.
func New(self string) *Election { return &Election{self: self} }

// Holding returns the fencing token while this daemon may give orders.
func (e *Election) Holding(now time.Duration) (token int64, ok bool) {
	if !e.holding || now >= e.heldUntil {
		return 0, false
	}
	return e.record.Token, true
}

// Learnt returns the row as last learnt; its version is 0 when nothing is known.
func (e *Election) Learnt() (Record, int64) { return e.record, e.version }

// Version is that of the lease row as last learnt.
func (e *Election) Version() int64 { return e.version }

// Holder is the name of the last known holder.
func (e *Election) Holder() string { return e.record.Holder }

// Learn takes the row as read, or as its holder tells it. A version of 0 says that there is no row.
func (e *Election) Learn(now time.Duration, r Record, version int64) {
	if e.known && version <= e.version {
		return
	}
	if r.Holder != e.self {
		e.holding = false
	}
	e.record, e.version, e.known, e.learnt = r, version, true, now
}

// Resign stops acting as holder until the lease is taken again.
func (e *Election) Resign() { e.holding = false }

// Step returns what to do. place is this daemon's place in the order in which daemons take a free lease.
func (e *Election) Step(now time.Duration, place int) Action {
	if e.busy {
		return Wait
	}
	if e.holding {
		if now-e.renewed < Renewal || e.failed && now-e.tried < lookPeriod {
			return Wait
		}
		return e.try(now, Write)
	}
	free := e.known && (e.version == 0 || now-e.learnt >= TTL+time.Duration(place)*Stagger)
	if !free && e.known {
		return Wait
	}
	// What the row is must be fresh: it may have been renewed without word of it.
	if e.failed && now-e.tried < lookPeriod+lookPeriod*time.Duration(place)/failedPlaces {
		return Wait
	}
	if e.failed || now-e.looked >= lookPeriod {
		e.looked = now
		return e.try(now, Look)
	}
	if free {
		return e.try(now, Write)
	}
	return Wait
}

func (e *Election) try(now time.Duration, a Action) Action {
	e.busy, e.tried = true, now
	return a
}

// Next returns what Write writes, and the version that the row must have.
func (e *Election) Next() (Record, int64) {
	token := e.record.Token
	if !e.holding {
		token++
	}
	return Record{Holder: e.self, Token: token}, e.version
}

// Written takes the outcome of a Write that was sent at the given time.
func (e *Election) Written(sent time.Duration, r Record, version int64) {
	e.busy, e.failed = false, false
	e.record, e.version, e.known, e.learnt = r, version, true, sent
	e.holding, e.renewed, e.heldUntil = true, sent, sent+TTL-Guard
}

// Failed notes that a Look or Write brought nothing: the row is to be read before anything else.
func (e *Election) Failed() {
	e.busy, e.failed = false, true
}

// Read notes the end of a Look.
func (e *Election) Read(now time.Duration, r Record, version int64) {
	e.busy, e.failed = false, false
	if version == 0 && !e.known {
		e.known, e.learnt = true, now
		return
	}
	e.Learn(now, r, version)
}
