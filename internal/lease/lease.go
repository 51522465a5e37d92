// Package lease implements a named lease with a fencing token, stored in the table service. It is a state machine
// without I/O: the caller passes events to Lease.Step and carries out the actions that it returns.
//
// # Safety
//
// Each renewal gives the lease row a new version. The holder measures the TTL from the time it sent the renewal and
// stops HolderMargin before its end. A waiting daemon measures from the time it received a reply with a row version
// that it had not seen before, and takes over only if the row still has that version TTL+TakeoverMargin later. The row
// was written after the renewal was sent and before the waiting daemon read it, so the holder always stops before
// another daemon takes over. This doesn't depend on wall clocks; it requires only that two monotonic clocks drift apart
// by less than HolderMargin+TakeoverMargin in TTL+TakeoverMargin.
//
// The token increases with each change of holder and also when a holder takes its own expired lease again. The token
// row is written only then, so a transaction can check the version of the token row without conflicting with renewals.
//
// # Load on the table service, for each lease
//
// The holder renews every 2 s: 0.5 writes/s. The first CandidateCount daemons in rendezvous order read every 2 s, all
// others every 30 s; each interval is shortened by a random amount of up to a fifth. The holder, normally the first
// daemon, doesn't read. With 7 daemons, 2 read at the short interval and 4 at the long one: 1.1 to 1.4 reads/s. With
// 370 daemons, 2 and 367 do: 13.2 to 16.5 reads/s. The table service allows several hundred writes/s and about 2,000
// reads/s.
package lease

import (
	"encoding/json"
	"time"

	"flamingorudder.example/internal/platform"
)

const (
	// TTL is how long a renewal is valid as seen by waiting daemons.
	TTL = 6 * time.Second
	// RenewInterval is the interval between renewals by the holder.
	RenewInterval = 2 * time.Second
	// HolderMargin is how long before the end of TTL the holder stops using the lease.
	HolderMargin = time.Second
	// TakeoverMargin is added to TTL by a waiting daemon. It covers the drift between two monotonic clocks.
	TakeoverMargin = 500 * time.Millisecond
	// CandidatePollInterval is the maximum interval between reads by one of the first CandidateCount daemons in
	// rendezvous order.
	CandidatePollInterval = 2 * time.Second
	// StandbyPollInterval is the maximum interval between reads by any other waiting daemon.
	StandbyPollInterval = 30 * time.Second
	// CandidateCount is the number of daemons, first in rendezvous order, that read at the short interval.
	CandidateCount = 3
	// TakeoverStagger is the extra delay for each further position in rendezvous order before a daemon takes a free
	// lease, so that the first daemon gets it without a conflict.
	TakeoverStagger = 250 * time.Millisecond
	// maxStaggers limits the total delay to this many times TakeoverStagger.
	maxStaggers = 8
	// HandOverInterval is the minimum interval between two requests by a daemon to be given the lease.
	HandOverInterval = time.Minute
	// minRetryDelay and maxRetryDelay bound the backoff while the table service is unavailable.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// Record is the value of the lease row and of the token row.
type Record struct {
	// Holder is empty when the lease has been released.
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token"`
	// Successor is a daemon earlier in rendezvous order that asks the holder to hand over the lease.
	Successor string `json:"next,omitempty"`
}

// Message is one of Tick, Row, Committed, Conflict, Unknown, Unavailable.
type Message interface{ message() }

type (
	// Tick is sent periodically. It carries the values that Step can't generate deterministically.
	Tick struct {
		// Op is an operation ID that has not been used yet.
		Op string
		// Rank is the position of this daemon in the rendezvous order of the live daemons; 0 is the first.
		Rank int
		// Jitter is a uniform random number from 0 to 1.
		Jitter float64
	}
	// Row is the reply to Read.
	Row struct{ Row platform.Row }
	// Committed is a reply to Commit: the transaction took effect and wrote rows at Version.
	Committed struct{ Version uint64 }
	// Conflict is a reply to Commit: a check failed and nothing was written.
	Conflict struct{}
	// Unknown is a reply to Commit: the transaction may have taken effect.
	Unknown struct{}
	// Unavailable is a reply to Read or Commit: the table service refused the call and nothing was written.
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
	// Read requests the row of Key. The reply is Row or Unavailable.
	Read struct{ Key string }
	// Commit requests a transaction. The reply is Committed, Conflict, Unknown or Unavailable.
	Commit struct{ Txn platform.Txn }
	// Held reports that the lease is held until Until, by the clock passed to Step.
	Held struct {
		Token uint64
		// Version is the version of the token row while the token is valid.
		Version uint64
		Until   time.Time
	}
	// Lost reports that the lease is no longer held.
	Lost struct {
		Token  uint64
		Reason string
	}
)

func (Read) action()   {}
func (Commit) action() {}
func (Held) action()   {}
func (Lost) action()   {}

// Key returns the key of the lease row, which is written at each renewal.
func Key(name string) string { return "lease/" + name }

// TokenKey returns the key of the token row, which is written only when the token increases.
func TokenKey(name string) string { return "token/" + name }

// Lease is one daemon's state machine for a lease. At most one Read or Commit is outstanding at any time.
type Lease struct {
	name, self string

	// row and version are the lease row as last read. version was first read at versionSeenAt and last at readAt.
	// rowRead is whether the row has been read at all.
	version               uint64
	row                   Record
	versionSeenAt, readAt time.Time
	rowRead               bool
	// renewalSeen is whether the current holder was seen renewing, so it is alive and can hand over the lease.
	renewalSeen bool

	// held is valid until held.Until; its Token is 0 when the lease is not held.
	held    Held
	renewAt time.Time
	// releasing is whether the row has yet to be written without a holder, after this daemon stopped holding the lease.
	releasing bool
	resigned  bool

	// pendingTxn is the transaction in progress, first sent at sentAt, and pendingRecord the record that it writes.
	// awaitingReply is whether a reply is outstanding, outcomeUnknown whether the reply to pendingTxn was lost.
	pendingTxn                    *platform.Txn
	pendingRecord                 Record
	sentAt                        time.Time
	awaitingReply, outcomeUnknown bool

	pollAt, retryAt, handOverAskedAt time.Time
	retryDelay                       time.Duration
	jitter                           float64
	rank                             int
}

// New returns the state machine of daemon self for the lease name. self must differ between two runs of a daemon, so
// that a restarted daemon doesn't mistake the lease of its previous run for its own.
func New(name, self string) *Lease { return &Lease{name: name, self: self} }

// Clone returns a copy that can be stepped independently.
func (l *Lease) Clone() *Lease {
	c := *l
	return &c
}

// Holding returns the lease and whether it is held at now. Callers check it before every action that requires the
// lease, since the process may have been paused since the last Step.
func (l *Lease) Holding(now time.Time) (Held, bool) {
	return l.held, l.held.Token > 0 && now.Before(l.held.Until)
}

// Resign releases the lease and never takes it again. The row is written at the next Tick.
func (l *Lease) Resign(now time.Time) []Action {
	l.resigned = true
	if l.held.Token == 0 {
		return nil
	}
	return l.release(now, "resigned")
}

// Released reports whether the release requested by Resign has been written to the table service.
func (l *Lease) Released() bool {
	return l.held.Token == 0 && !l.releasing && !l.awaitingReply && !l.outcomeUnknown
}

// Step processes a message and returns the actions to carry out.
func (l *Lease) Step(now time.Time, m Message) []Action {
	var out []Action
	if l.held.Token > 0 && !now.Before(l.held.Until) {
		out = l.clearHeld(now, "expired")
	}
	if _, ok := m.(Tick); !ok {
		l.awaitingReply = false
	}
	switch m := m.(type) {
	case Tick:
		if m.Rank < CandidateCount && l.rank >= CandidateCount && now.Before(l.pollAt) {
			// Daemons earlier in the order are no longer live, so this one may have to take over soon.
			l.pollAt = now
		}
		l.rank, l.jitter = m.Rank, m.Jitter
		if a := l.handleTick(now, m.Op); a != nil {
			out = append(out, a)
		}
	case Row:
		l.retryDelay = 0
		out = append(out, l.handleRow(now, m.Row)...)
	case Committed:
		l.retryDelay = 0
		out = append(out, l.handleCommitted(now, m.Version)...)
	case Conflict:
		l.retryDelay, l.pendingTxn, l.outcomeUnknown = 0, nil, false
		out = append(out, l.readRow())
	case Unknown:
		l.outcomeUnknown = true
	case Unavailable:
		if !l.outcomeUnknown {
			l.pendingTxn = nil
		}
		l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
		wait := time.Duration(float64(l.retryDelay) * (0.5 + l.jitter/2))
		if l.held.Token > 0 {
			wait = min(wait, RenewInterval/2)
		}
		l.retryAt = now.Add(wait)
	}
	return out
}

func (l *Lease) clearHeld(now time.Time, reason string) []Action {
	t := l.held.Token
	l.held = Held{}
	l.pollAt = now
	return []Action{Lost{Token: t, Reason: reason}}
}

func (l *Lease) release(now time.Time, reason string) []Action {
	l.releasing = true
	return l.clearHeld(now, reason)
}

func (l *Lease) handleTick(now time.Time, op string) Action {
	switch {
	case l.awaitingReply || now.Before(l.retryAt):
		return nil
	case l.outcomeUnknown:
		return l.readRow()
	case l.releasing:
		return l.commitRecord(now, op, Record{Token: l.row.Token, Successor: l.row.Successor})
	case l.held.Token > 0:
		if now.Before(l.renewAt) {
			return nil
		}
		return l.commitRecord(now, op, Record{Holder: l.self, Token: l.held.Token})
	case l.resigned:
		return nil
	case l.rowRead && !l.readAt.Before(l.takeableAt()):
		return l.commitRecord(now, op, Record{Holder: l.self, Token: l.row.Token + 1})
	case l.shouldAskHandOver(now):
		l.handOverAskedAt = now
		r := l.row
		r.Successor = l.self
		return l.commitRecord(now, op, r)
	case !now.Before(l.pollAt):
		return l.readRow()
	}
	return nil
}

// takeableAt returns the time from which the lease may be taken if a read then still returns the version that was first
// seen at l.versionSeenAt.
func (l *Lease) takeableAt() time.Time {
	delay := time.Duration(min(l.rank, maxStaggers)) * TakeoverStagger
	switch {
	case l.row.Holder == l.self, l.row.Holder == "" && l.row.Successor == l.self:
		return l.versionSeenAt
	case l.row.Holder == "" && l.row.Successor != "":
		return l.versionSeenAt.Add(CandidatePollInterval + delay)
	case l.row.Holder == "":
		return l.versionSeenAt.Add(delay)
	}
	return l.versionSeenAt.Add(TTL + TakeoverMargin + delay)
}

// shouldAskHandOver is whether to ask a live holder later in rendezvous order to hand over the lease.
func (l *Lease) shouldAskHandOver(now time.Time) bool {
	return l.rowRead && l.renewalSeen && l.rank == 0 && l.row.Holder != "" && l.row.Successor == "" && now.Sub(l.versionSeenAt) < RenewInterval &&
		(l.handOverAskedAt.IsZero() || now.Sub(l.handOverAskedAt) >= HandOverInterval)
}

func (l *Lease) readRow() Action {
	l.awaitingReply = true
	return Read{Key: Key(l.name)}
}

func (l *Lease) commitRecord(now time.Time, op string, next Record) Action {
	value, err := json.Marshal(next)
	if err != nil {
		return nil // Encoding a Record can't fail.
	}
	k := Key(l.name)
	t := platform.Txn{OperationID: op, Checks: []platform.Check{{Key: k, Version: l.version}}, Writes: []platform.Write{{Key: k, Value: value}}}
	if next.Token != l.row.Token {
		t.Writes = append(t.Writes, platform.Write{Key: TokenKey(l.name), Value: value})
	}
	l.pendingTxn, l.pendingRecord, l.sentAt, l.awaitingReply = &t, next, now, true
	return Commit{Txn: t}
}

func (l *Lease) handleRow(now time.Time, r platform.Row) []Action {
	if l.outcomeUnknown {
		l.outcomeUnknown = false
		switch {
		case r.Version > 0 && r.OperationID == l.pendingTxn.OperationID:
			return l.handleCommitted(now, r.Version)
		case r.Version == l.version && now.Sub(l.sentAt) < TTL-HolderMargin:
			// Resend the same transaction. The TTL still counts from the first send, since either copy may take effect.
			l.awaitingReply = true
			return []Action{Commit{Txn: *l.pendingTxn}}
		}
	}
	l.pendingTxn = nil
	var rec Record
	if r.Version > 0 && json.Unmarshal(r.Value, &rec) != nil {
		// A row that can't be decoded has no holder, so it may be taken at once. Row versions only increase; using the
		// version as the token keeps the token increasing.
		rec = Record{Token: r.Version}
	}
	l.observeRow(now, r.Version, rec)
	switch {
	case l.held.Token == 0:
		l.releasing = l.releasing && rec.Holder == l.self
	case rec.Holder != l.self || rec.Token != l.held.Token:
		return l.clearHeld(now, "taken by another daemon")
	case rec.Successor != "" && rec.Successor != l.self:
		return l.release(now, "handed over")
	}
	return nil
}

// handleCommitted updates the state after l.pendingTxn was committed at version.
func (l *Lease) handleCommitted(now time.Time, version uint64) []Action {
	newToken := l.pendingRecord.Token != l.row.Token
	l.pendingTxn = nil
	l.observeRow(now, version, l.pendingRecord)
	if l.pendingRecord.Holder != l.self {
		l.releasing = l.releasing && l.pendingRecord.Holder != ""
		return nil
	}
	if newToken {
		l.held = Held{Token: l.pendingRecord.Token, Version: version}
	}
	if l.held.Token != l.pendingRecord.Token {
		return nil // The lease expired while the renewal was in flight; the next Tick takes it under a new token.
	}
	l.held.Until, l.renewAt = l.sentAt.Add(TTL-HolderMargin), l.sentAt.Add(RenewInterval)
	if !now.Before(l.held.Until) {
		return l.clearHeld(now, "renewed too late")
	}
	if l.resigned {
		return l.release(now, "resigned")
	}
	return []Action{l.held}
}

func (l *Lease) observeRow(now time.Time, version uint64, rec Record) {
	if !l.rowRead || version != l.version {
		l.renewalSeen = l.rowRead && rec.Holder != "" && rec.Holder == l.row.Holder
		l.version, l.row, l.versionSeenAt, l.rowRead = version, rec, now, true
	}
	l.readAt = now
	period := StandbyPollInterval
	switch {
	case rec.Successor == l.self:
		period = CandidatePollInterval / 4
	case l.rank < CandidateCount:
		period = CandidatePollInterval
	}
	l.pollAt = now.Add(time.Duration(float64(period) * (1 - 0.2*l.jitter)))
	if at := l.takeableAt(); at.After(now) && at.Before(l.pollAt) && (l.rank < CandidateCount || rec.Holder == "") {
		l.pollAt = at
	}
}
