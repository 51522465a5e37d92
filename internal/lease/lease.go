// Package lease keeps one named lease in the table service.
//
// # Safety
//
// Each renewal gives the lease row a new version. The holder counts from the moment it sent a renewal and stops Guard
// before TTL; a waiting daemon counts from the moment it received the answer with a row version that it had not seen,
// and takes the lease over only if the row still has that version TTL+Margin later. The row was written after the
// renewal was sent and before the waiting daemon saw it, so the two intervals are ordered without any agreement between
// wall clocks; only the rates of two monotonic clocks must agree to within Guard+Margin in TTL+Margin.
//
// The token grows with each change of holder and whenever a holder takes its own lapsed lease again. The token row is
// written only then, so that a transaction can check the version of the token row without a conflict with renewals.
//
// # Load on the table service, for each lease
//
// The holder renews every 2 s: 0.5 writes/s. The Near daemons that come first in rendezvous order read every 2 s, all
// others every 30 s, each shortened by a random fifth at most; the holder, normally the first, does not read. With 7
// daemons that is 2 near and 4 far ones: 1.1 to 1.4 reads/s. With 370 daemons, 2 near and 367 far ones: 13.2 to 16.5
// reads/s. The store allows several hundred writes/s and about 2,000 reads/s.
package lease

import (
	"encoding/json"
	"time"

	"flamingorudder.example/internal/platform"
)

const (
	// TTL is how long a renewal lasts for those who wait.
	TTL = 6 * time.Second
	// Renewal is how often the holder renews.
	Renewal = 2 * time.Second
	// Guard is how long before TTL the holder stops.
	Guard = time.Second
	// Margin is what a waiting daemon adds to TTL. It covers the difference in rate of two monotonic clocks.
	Margin = 500 * time.Millisecond
	// NearPoll is the longest time between two reads of a daemon that is near in rendezvous order.
	NearPoll = 2 * time.Second
	// FarPoll is the longest time between two reads of any other waiting daemon.
	FarPoll = 30 * time.Second
	// Near is how many daemons in rendezvous order read at the short period.
	Near = 3
	// Stagger is how much longer each later daemon in rendezvous order waits before it takes a free lease, so that the
	// first one gets it without a conflict.
	Stagger = 250 * time.Millisecond
	// staggers bounds how many of them add up.
	staggers = 8
	// HandOver is the least time between two requests of a daemon to be given the lease.
	HandOver = time.Minute
	// retryFirst and retryMax bound the delay after the store was unavailable.
	retryFirst = 500 * time.Millisecond
	retryMax   = 8 * time.Second
)

// Record is the value of the lease row and of the token row.
type Record struct {
	// Holder is empty when the lease was given up.
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token"`
	// Next is a daemon that is earlier in rendezvous order and asks the holder for the lease.
	Next string `json:"next,omitempty"`
}

// Message is one of Tick, Row, Committed, Conflict, Unknown, Unavailable.
type Message interface{ message() }

type (
	// Tick is the passing of time. It carries what Step may not make up by itself.
	Tick struct {
		// Op is an operation number that has not been used yet.
		Op string
		// Rank is the position of this daemon in the rendezvous order of the live daemons; 0 is the first.
		Rank int
		// Jitter is a uniform random number from 0 to 1.
		Jitter float64
	}
	// Row answers Read.
	Row struct{ Row platform.Row }
	// Committed answers Commit: it took effect and wrote rows at Version.
	Committed struct{ Version uint64 }
	// Conflict answers Commit: a check failed and nothing was written.
	Conflict struct{}
	// Unknown answers Commit: it may have taken effect.
	Unknown struct{}
	// Unavailable answers Read or Commit: the store refused, nothing was written.
	Unavailable struct{}
)

func (Tick) message()        {}
func (Row) message()         {}
func (Committed) message()   {}
func (Conflict) message()    {}
func (Unknown) message()     {}
func (Unavailable) message() {}

// Action is one of Read, Commit, Held, Lost.
type Action interface{ action() }

type (
	// Read asks for the row of the key. It is answered by Row or Unavailable.
	Read struct{ Key string }
	// Commit asks for a transaction. It is answered by Committed, Conflict, Unknown or Unavailable.
	Commit struct{ Txn platform.Txn }
	// Held says that the lease is held until Until by the clock that Step is given.
	Held struct {
		Token uint64
		// Version is the version of the token row while the token is in force.
		Version uint64
		Until   time.Time
	}
	// Lost says that the lease is no longer held.
	Lost struct {
		Token  uint64
		Reason string
	}
)

func (Read) action()   {}
func (Commit) action() {}
func (Held) action()   {}
func (Lost) action()   {}

// Key and TokenKey are the keys of a lease's rows.
func Key(name string) string { return "lease/" + name }

// TokenKey is the key of the row that is written when the token grows.
func TokenKey(name string) string { return "token/" + name }

// Lease is one daemon's side of a lease. At most one Read or Commit is outstanding at any time.
type Lease struct {
	name, self string

	// row at version is what the store showed at read, for the first time at seen; known is whether it was read at all.
	version    uint64
	row        Record
	seen, last time.Time
	known      bool
	// moved is whether the holder was seen to renew, so it is alive and can hand the lease over.
	moved bool

	// held is in force until held.Until; its Token is 0 when the lease is not held.
	held    Held
	renewAt time.Time
	// giving is whether the row is to be written without a holder, after the lease has been given up here.
	giving  bool
	stopped bool

	// txn is the transaction under way, sent first at sent, and next the record that it writes. busy is whether an
	// answer is outstanding, unsettled whether the answer to txn was lost.
	txn             *platform.Txn
	next            Record
	sent            time.Time
	busy, unsettled bool

	pollAt, retryAt, asked time.Time
	retry                  time.Duration
	jitter                 float64
	rank                   int
}

// New returns the side of the daemon self of the lease called name. self must differ between two runs of a daemon, so
// that a restarted one does not take its predecessor's lease for its own.
func New(name, self string) *Lease { return &Lease{name: name, self: self} }

// Clone returns a copy that can be stepped independently.
func (l *Lease) Clone() *Lease {
	c := *l
	return &c
}

// Holding returns the lease as held at now. Every decision under the lease asks for it first, since the process may
// have been paused since the last Step.
func (l *Lease) Holding(now time.Time) (Held, bool) {
	return l.held, l.held.Token > 0 && now.Before(l.held.Until)
}

// Resign gives the lease up; the row is written at the next Tick. The lease is not taken again.
func (l *Lease) Resign(now time.Time) []Action {
	l.stopped = true
	if l.held.Token == 0 {
		return nil
	}
	return l.give(now, "resigned")
}

// Settled is whether the store shows what Resign asked for.
func (l *Lease) Settled() bool { return l.held.Token == 0 && !l.giving && !l.busy && !l.unsettled }

// Step takes a message and returns what to do.
func (l *Lease) Step(now time.Time, m Message) []Action {
	var out []Action
	if l.held.Token > 0 && !now.Before(l.held.Until) {
		out = l.lose(now, "expired")
	}
	if _, ok := m.(Tick); !ok {
		l.busy = false
	}
	switch m := m.(type) {
	case Tick:
		if m.Rank < Near && l.rank >= Near && now.Before(l.pollAt) {
			// The daemons that came first do not answer any more.
			l.pollAt = now
		}
		l.rank, l.jitter = m.Rank, m.Jitter
		if a := l.tick(now, m.Op); a != nil {
			out = append(out, a)
		}
	case Row:
		l.retry = 0
		out = append(out, l.read(now, m.Row)...)
	case Committed:
		l.retry = 0
		out = append(out, l.done(now, m.Version)...)
	case Conflict:
		l.retry, l.txn, l.unsettled = 0, nil, false
		out = append(out, l.look())
	case Unknown:
		l.unsettled = true
	case Unavailable:
		if !l.unsettled {
			l.txn = nil
		}
		l.retry = min(max(2*l.retry, retryFirst), retryMax)
		wait := time.Duration(float64(l.retry) * (0.5 + l.jitter/2))
		if l.held.Token > 0 {
			wait = min(wait, Renewal/2)
		}
		l.retryAt = now.Add(wait)
	}
	return out
}

func (l *Lease) lose(now time.Time, reason string) []Action {
	t := l.held.Token
	l.held = Held{}
	l.pollAt = now
	return []Action{Lost{Token: t, Reason: reason}}
}

func (l *Lease) give(now time.Time, reason string) []Action {
	l.giving = true
	return l.lose(now, reason)
}

func (l *Lease) tick(now time.Time, op string) Action {
	switch {
	case l.busy || now.Before(l.retryAt):
		return nil
	case l.unsettled:
		return l.look()
	case l.giving:
		return l.send(now, op, Record{Token: l.row.Token, Next: l.row.Next})
	case l.held.Token > 0:
		if now.Before(l.renewAt) {
			return nil
		}
		return l.send(now, op, Record{Holder: l.self, Token: l.held.Token})
	case l.stopped:
		return nil
	case l.known && !l.last.Before(l.freeAt()):
		return l.send(now, op, Record{Holder: l.self, Token: l.row.Token + 1})
	case l.asks(now):
		l.asked = now
		r := l.row
		r.Next = l.self
		return l.send(now, op, r)
	case !now.Before(l.pollAt):
		return l.look()
	}
	return nil
}

// freeAt is from when on the row may be taken if a read still shows the version that was seen first at l.seen.
func (l *Lease) freeAt() time.Time {
	back := time.Duration(min(l.rank, staggers)) * Stagger
	switch {
	case l.row.Holder == l.self, l.row.Holder == "" && l.row.Next == l.self:
		return l.seen
	case l.row.Holder == "" && l.row.Next != "":
		return l.seen.Add(NearPoll + back)
	case l.row.Holder == "":
		return l.seen.Add(back)
	}
	return l.seen.Add(TTL + Margin + back)
}

// asks is whether to ask a live holder that is later in rendezvous order for the lease.
func (l *Lease) asks(now time.Time) bool {
	return l.known && l.moved && l.rank == 0 && l.row.Holder != "" && l.row.Next == "" && now.Sub(l.seen) < Renewal &&
		(l.asked.IsZero() || now.Sub(l.asked) >= HandOver)
}

func (l *Lease) look() Action {
	l.busy = true
	return Read{Key: Key(l.name)}
}

func (l *Lease) send(now time.Time, op string, next Record) Action {
	value, err := json.Marshal(next)
	if err != nil {
		return nil // A Record always encodes.
	}
	k := Key(l.name)
	t := platform.Txn{Op: op, Checks: []platform.Check{{Key: k, Version: l.version}}, Writes: []platform.Write{{Key: k, Value: value}}}
	if next.Token != l.row.Token {
		t.Writes = append(t.Writes, platform.Write{Key: TokenKey(l.name), Value: value})
	}
	l.txn, l.next, l.sent, l.busy = &t, next, now, true
	return Commit{Txn: t}
}

func (l *Lease) read(now time.Time, r platform.Row) []Action {
	if l.unsettled {
		l.unsettled = false
		switch {
		case r.Version > 0 && r.Op == l.txn.Op:
			return l.done(now, r.Version)
		case r.Version == l.version && now.Sub(l.sent) < TTL-Guard:
			// The same transaction again. Its time still counts from the first sending, since either may take effect.
			l.busy = true
			return []Action{Commit{Txn: *l.txn}}
		}
	}
	l.txn = nil
	var rec Record
	if r.Version > 0 && json.Unmarshal(r.Value, &rec) != nil {
		// A value that cannot be read gets no holder's protection but keeps the token growing past the version.
		rec = Record{Token: r.Version}
	}
	l.observe(now, r.Version, rec)
	switch {
	case l.held.Token == 0:
		l.giving = l.giving && rec.Holder == l.self
	case rec.Holder != l.self || rec.Token != l.held.Token:
		return l.lose(now, "taken by another daemon")
	case rec.Next != "" && rec.Next != l.self:
		return l.give(now, "handed over")
	}
	return nil
}

// done takes in the effect of l.txn.
func (l *Lease) done(now time.Time, version uint64) []Action {
	first := l.next.Token != l.row.Token
	l.txn = nil
	l.observe(now, version, l.next)
	if l.next.Holder != l.self {
		l.giving = l.giving && l.next.Holder != ""
		return nil
	}
	if first {
		l.held = Held{Token: l.next.Token, Version: version}
	}
	if l.held.Token != l.next.Token {
		return nil // It expired while the renewal was under way; the next Tick takes the lease under a new token.
	}
	l.held.Until, l.renewAt = l.sent.Add(TTL-Guard), l.sent.Add(Renewal)
	if !now.Before(l.held.Until) {
		return l.lose(now, "renewed too late")
	}
	if l.stopped {
		return l.give(now, "resigned")
	}
	return []Action{l.held}
}

func (l *Lease) observe(now time.Time, version uint64, rec Record) {
	if !l.known || version != l.version {
		l.moved = l.known && rec.Holder != "" && rec.Holder == l.row.Holder
		l.version, l.row, l.seen, l.known = version, rec, now, true
	}
	l.last = now
	period := FarPoll
	switch {
	case rec.Next == l.self:
		period = NearPoll / 4
	case l.rank < Near:
		period = NearPoll
	}
	l.pollAt = now.Add(time.Duration(float64(period) * (1 - 0.2*l.jitter)))
	if at := l.freeAt(); at.After(now) && at.Before(l.pollAt) && (l.rank < Near || rec.Holder == "") {
		l.pollAt = at
	}
}
