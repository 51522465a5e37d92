// Package revision decides how an accepted configuration reaches a daemon and when the daemon applies it.
//
// A revision is accepted by one transaction in the table service and is final from then on, even before any daemon knows
// of it. It spreads in three ways, each of which is sufficient: the accepting daemon pushes it to a few peers, which push
// it on; daemons tell each other the number of their revision, and a daemon that learns of a higher one pulls it; and
// each daemon polls the table. Since the table may be down and peers may be unreachable, the three work independently.
//
// Each daemon has a State of its own. It tracks received and applied revisions separately: a revision is received once
// its body has been verified, and applied once the daemon uses it.
package revision

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"
)

// Revision is a numbered configuration.
type Revision struct {
	// Number counts the accepted release notes, from 1; 0 means no revision.
	Number uint64
	// Digest is the SHA-256 digest of Body.
	Digest [sha256.Size]byte
	Body   []byte
}

// New returns a revision and computes its digest.
func New(number uint64, body []byte) Revision {
	return Revision{Number: number, Digest: sha256.Sum256(body), Body: body}
}

// Parameters of the propagation.
const (
	// Fanout is the number of peers to which a daemon pushes a new revision. With 3, pushes reach seven daemons in two
	// hops and 370 in six or seven; daemons that they miss pull the revision.
	Fanout = 3
	// MaxHops bounds how often a revision is pushed on. A daemon that already has the revision does not push it on either.
	MaxHops = 12
	// ReadPeriod is the polling interval of the table, HelloPeriod the interval at which a daemon sends its revision number
	// to a random peer.
	ReadPeriod  = 2 * time.Second
	HelloPeriod = 2 * time.Second
	// pullRetryDelay is the time after which an unanswered pull may be repeated.
	pullRetryDelay = 500 * time.Millisecond
)

// Message is an input of State.Step: Offered, Announced or Applied.
type Message interface{ message() }

// Offered carries a revision with its body, which this daemon accepted, read from the table or got from a peer.
type Offered struct {
	Revision Revision
	// Hops is how often the revision was pushed on; 0 when it comes from the table or from this daemon's own transaction.
	Hops int
}

// Announced reports the number of the revision that a peer has applied.
type Announced struct {
	Peer   netip.AddrPort
	Number uint64
}

// Applied reports that the daemon now uses a revision.
type Applied struct{ Number uint64 }

func (Offered) message()   {}
func (Announced) message() {}
func (Applied) message()   {}

// Action is an output of State.Step: Apply, Push, Pull or LogError.
type Action interface{ action() }

// Apply requests that the daemon use a revision from now on.
type Apply struct{ Revision Revision }

// Push requests that a revision be sent to Fanout random peers.
type Push struct {
	Revision Revision
	Hops     int
}

// Pull requests a revision newer than Have from a peer.
type Pull struct {
	Peer netip.AddrPort
	Have uint64
}

// LogError requests that an error which needs an operator's attention be logged.
type LogError struct{ Err error }

func (Apply) action()    {}
func (Push) action()     {}
func (Pull) action()     {}
func (LogError) action() {}

// DigestError reports a revision whose body does not match its digest.
type DigestError struct{ Number uint64 }

func (e *DigestError) Error() string {
	return fmt.Sprintf("body of revision %d does not match its digest", e.Number)
}

// ConflictError reports two different bodies with the same number. The only possible cause is that the table service lost
// an accepted transaction. The body that was received first stays in force.
type ConflictError struct{ Number uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d was received with two different bodies; the table service lost a transaction", e.Number)
}

// State is what one daemon knows about revisions. The zero value is a daemon without any.
type State struct {
	// received is the highest revision with a verified body; its number never decreases.
	received Revision
	// applied is the number of the revision in force. It never decreases and is at most received.Number.
	applied uint64
	// lastPull is the time of the last pull, and pullNumber the revision number that caused it.
	lastPull   time.Time
	pullNumber uint64
}

// Received returns the number of the highest revision received, 0 when there is none.
func (s *State) Received() uint64 { return s.received.Number }

// Applied returns the number of the revision in force, 0 when there is none.
func (s *State) Applied() uint64 { return s.applied }

// Newer returns the highest revision received and whether its number is above have.
func (s *State) Newer(have uint64) (Revision, bool) {
	return s.received, s.received.Number > have
}

// Step processes a message and returns the actions to perform.
func (s *State) Step(now time.Time, m Message) []Action {
	switch m := m.(type) {
	case Offered:
		return s.onOffered(m)
	case Announced:
		return s.onAnnounced(now, m)
	case Applied:
		s.applied = max(s.applied, min(m.Number, s.received.Number))
	}
	return nil
}

func (s *State) onOffered(m Offered) []Action {
	r := m.Revision
	switch {
	case sha256.Sum256(r.Body) != r.Digest:
		return []Action{LogError{Err: &DigestError{Number: r.Number}}}
	case r.Number == 0 || r.Number < s.received.Number:
		return nil
	case r.Number == s.received.Number:
		if !bytes.Equal(r.Digest[:], s.received.Digest[:]) {
			return []Action{LogError{Err: &ConflictError{Number: r.Number}}}
		}
		return nil
	}
	s.received = r
	out := []Action{Apply{Revision: r}}
	if m.Hops < MaxHops {
		out = append(out, Push{Revision: r, Hops: m.Hops + 1})
	}
	return out
}

func (s *State) onAnnounced(now time.Time, m Announced) []Action {
	if m.Number <= s.received.Number {
		return nil
	}
	if m.Number <= s.pullNumber && now.Sub(s.lastPull) < pullRetryDelay {
		return nil
	}
	s.lastPull, s.pullNumber = now, m.Number
	return []Action{Pull{Peer: m.Peer, Have: s.received.Number}}
}
