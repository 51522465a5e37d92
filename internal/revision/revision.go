// Package revision decides how an accepted configuration reaches a daemon and comes into force there.
//
// A revision is accepted by one transaction in the table service; from then on it is true whether or not anyone has
// heard of it. Daemons hear of it in three ways, any of which is enough: the accepting daemon pushes it to a few peers,
// which push it on; every message between daemons carries the sender's revision number, and a daemon that hears of a
// higher one pulls it; and each daemon reads the table. The table can be down and peers can be cut off, so none of the
// three waits for another.
//
// State is owned by the daemon that keeps it. Received and applied revisions are tracked apart: a revision is received
// when its body has been checked, and applied when the daemon serves by it.
package revision

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"time"
)

// Revision is a configuration with its number.
type Revision struct {
	// Number counts accepted release notes from 1; 0 means none.
	Number uint64
	// Digest is the SHA-256 sum of Body.
	Digest [sha256.Size]byte
	Body   []byte
}

// New returns a revision with its digest.
func New(number uint64, body []byte) Revision {
	return Revision{Number: number, Digest: sha256.Sum256(body), Body: body}
}

// Settings of the spread.
const (
	// Fanout is to how many peers a new revision is pushed. With 3, seven daemons are reached in two hops and 370 in six
	// or seven; pulls reach those that the pushes miss.
	Fanout = 3
	// MaxHops ends the spread of one push; a daemon that already has the revision does not pass it on either.
	MaxHops = 12
	// ReadPeriod is how often the table is read, and HelloPeriod how often a daemon tells a random peer its revision.
	ReadPeriod  = 2 * time.Second
	HelloPeriod = 2 * time.Second
	// pullAgain is when a pull that was not answered is tried again.
	pullAgain = 500 * time.Millisecond
)

// Message is what a State takes in: Offered, Heard, Applied.
type Message interface{ message() }

// Offered brings a revision with its body: accepted by this daemon, read from the table, or sent by a peer.
type Offered struct {
	Revision Revision
	// Hops is how often it was passed on; 0 when it came from the table or from this daemon's own transaction.
	Hops int
}

// Heard tells that a peer has a revision in force.
type Heard struct {
	Peer   netip.AddrPort
	Number uint64
}

// Applied tells that the daemon serves by a revision from now on.
type Applied struct{ Number uint64 }

func (Offered) message() {}
func (Heard) message()   {}
func (Applied) message() {}

// Action is what a State asks for: Apply, Push, Pull, Report.
type Action interface{ action() }

// Apply asks to serve by a revision from now on.
type Apply struct{ Revision Revision }

// Push asks to send a revision to Fanout random peers.
type Push struct {
	Revision Revision
	Hops     int
}

// Pull asks a peer for what is newer than Have.
type Pull struct {
	Peer netip.AddrPort
	Have uint64
}

// Report asks to log a fault that a person has to look at.
type Report struct{ Err error }

func (Apply) action()  {}
func (Push) action()   {}
func (Pull) action()   {}
func (Report) action() {}

// Damaged reports a revision whose body does not match its digest.
type Damaged struct{ Number uint64 }

func (e *Damaged) Error() string {
	return fmt.Sprintf("body of revision %d does not match its digest", e.Number)
}

// Forked reports two different bodies with one number. Only a table service that lost an accepted transaction can
// cause it; the first body stays in force.
type Forked struct{ Number uint64 }

func (e *Forked) Error() string {
	return fmt.Sprintf("revision %d was received with two different bodies; the table service lost a transaction", e.Number)
}

// State is what one daemon knows of the configuration. The zero value knows nothing.
type State struct {
	// received is the highest revision with a checked body; its number never goes down.
	received Revision
	// applied is the number in force; it never goes down and is at most received.Number.
	applied uint64
	// pulled is when and for which number a pull was last sent.
	pulled   time.Time
	pulledTo uint64
}

// Received is the number of the highest revision received.
func (s *State) Received() uint64 { return s.received.Number }

// Applied is the number of the revision in force, 0 when there is none.
func (s *State) Applied() uint64 { return s.applied }

// Newer returns the highest revision received when it is above have.
func (s *State) Newer(have uint64) (Revision, bool) {
	return s.received, s.received.Number > have
}

// Step takes in a message and returns what is to be done.
func (s *State) Step(now time.Time, m Message) []Action {
	switch m := m.(type) {
	case Offered:
		return s.offered(m)
	case Heard:
		return s.heard(now, m)
	case Applied:
		s.applied = max(s.applied, min(m.Number, s.received.Number))
	}
	return nil
}

func (s *State) offered(m Offered) []Action {
	r := m.Revision
	switch {
	case sha256.Sum256(r.Body) != r.Digest:
		return []Action{Report{Err: &Damaged{Number: r.Number}}}
	case r.Number == 0 || r.Number < s.received.Number:
		return nil
	case r.Number == s.received.Number:
		if !bytes.Equal(r.Digest[:], s.received.Digest[:]) {
			return []Action{Report{Err: &Forked{Number: r.Number}}}
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

func (s *State) heard(now time.Time, m Heard) []Action {
	if m.Number <= s.received.Number {
		return nil
	}
	if m.Number <= s.pulledTo && now.Sub(s.pulled) < pullAgain {
		return nil
	}
	s.pulled, s.pulledTo = now, m.Number
	return []Action{Pull{Peer: m.Peer, Have: s.received.Number}}
}
