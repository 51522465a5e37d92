// Package timeline records typed events of a process in a bounded log in memory, stamped with hybrid logical time, so
// that the events of all processes can be merged into one order that respects cause and effect.
//
// Each process owns its log. Events that were overwritten before they were read are counted and shown.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/ring"
)

// Stamp is a time of a hybrid logical clock.
type Stamp struct {
	// Wall is the physical part in microseconds since 1970. It is never behind a stamp that the process has seen.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Count orders stamps with the same physical part.
	Count uint32 `json:"count,omitempty" cbor:"2,keyasint,omitempty"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time is the physical part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Wall) }

// Clock is a hybrid logical clock. The zero value is ready. Its methods may be called from several goroutines.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is later than every stamp the clock has returned or seen.
func (c *Clock) Now(wall time.Time) Stamp { return c.advance(wall, Stamp{}) }

// See takes in a stamp of another process, so that stamps of this one are later from then on.
func (c *Clock) See(wall time.Time, s Stamp) Stamp { return c.advance(wall, s) }

func (c *Clock) advance(wall time.Time, seen Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last
	if seen.Compare(last) > 0 {
		last = seen
	}
	if w := wall.UnixMicro(); w > last.Wall {
		c.last = Stamp{Wall: w}
	} else {
		c.last = Stamp{Wall: last.Wall, Count: last.Count + 1}
	}
	return c.last
}

// Kind is what happened, in one word.
type Kind string

// Kinds of events. The fields that each fills are in brackets.
const (
	// Requests.
	Accept Kind = "accept" // a caller's request was read [Request, Org, Service, Rank]
	Refuse Kind = "refuse" // it was refused as not run [Request, Reason]
	Start  Kind = "start"  // a request got a slot [Request, Group, Generation]
	Send   Kind = "send"   // an attempt is about to be sent [Request, Attempt, Group, Generation, Instance]
	Resume Kind = "resume" // a broken stream is continued [Request, Attempt, Reason]
	End    Kind = "end"    // an attempt ended [Request, Attempt, Reason]
	Reply  Kind = "reply"  // the caller got its final answer [Request, Outcome, Reason]
	Claim  Kind = "claim"  // an idempotency key was claimed [Request, Org, Reason]
	Cancel Kind = "cancel" // the caller left [Request, Attempt]

	// Groups and instances.
	Form  Kind = "form"  // a group's members were claimed [Group, Generation, Members, Token]
	Serve Kind = "serve" // a group may serve in this process [Group, Generation]
	Stop  Kind = "stop"  // it may no longer serve [Group, Generation, Reason]
	Lose  Kind = "lose"  // an instance was found missing [Instance, Reason]
	Leave Kind = "leave" // an instance was seen as leaving [Instance]
	Free  Kind = "free"  // a group's members were released [Group, Generation, Members]
	Grant Kind = "grant" // slots were lent [Group, Generation, Reason]

	// Control.
	Lease Kind = "lease" // a lease was taken [Service, Token]
	Yield Kind = "yield" // a lease was given up or ran out [Service, Token, Reason]
	Note  Kind = "note"  // a release note was accepted here [Revision]
	Have  Kind = "have"  // a revision was received [Revision]
	Apply Kind = "apply" // a revision came into force [Revision]

	// The process itself.
	Begin Kind = "begin" // the process started
	Drain Kind = "drain" // it is leaving
	Peer  Kind = "peer"  // a peer became suspect or came back [Instance, Reason]
	Store Kind = "store" // the platform failed or came back [Reason]
)

// Event is one event.
type Event struct {
	At   Stamp  `json:"at" cbor:"1,keyasint"`
	Proc string `json:"proc" cbor:"2,keyasint"`
	Kind Kind   `json:"kind" cbor:"3,keyasint"`

	Request    string   `json:"request,omitempty" cbor:"4,keyasint,omitempty"`
	Attempt    string   `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
	Org        string   `json:"org,omitempty" cbor:"6,keyasint,omitempty"`
	Service    string   `json:"service,omitempty" cbor:"7,keyasint,omitempty"`
	Rank       string   `json:"rank,omitempty" cbor:"8,keyasint,omitempty"`
	Group      string   `json:"group,omitempty" cbor:"9,keyasint,omitempty"`
	Generation uint64   `json:"generation,omitempty" cbor:"10,keyasint,omitempty"`
	Instance   string   `json:"instance,omitempty" cbor:"11,keyasint,omitempty"`
	Members    []string `json:"members,omitempty" cbor:"12,keyasint,omitempty"`
	Token      uint64   `json:"token,omitempty" cbor:"13,keyasint,omitempty"`
	Revision   uint64   `json:"revision,omitempty" cbor:"14,keyasint,omitempty"`
	Outcome    string   `json:"outcome,omitempty" cbor:"15,keyasint,omitempty"`
	Reason     string   `json:"reason,omitempty" cbor:"16,keyasint,omitempty"`
}

// Log is the log of one process. Its methods may be called from several goroutines.
type Log struct {
	proc  string
	clock Clock
	ring  *ring.Buffer[Event]
}

// NewLog returns a log that keeps the last size events of a process.
func NewLog(proc string, size int) *Log { return &Log{proc: proc, ring: ring.NewBuffer[Event](size)} }

// Add stamps an event and appends it. At and Proc are filled in.
func (l *Log) Add(e Event) {
	e.At, e.Proc = l.clock.Now(time.Now()), l.proc
	l.ring.Add(e)
}

// Clock is the clock of the process; messages to and from other processes carry its stamps.
func (l *Log) Clock() *Clock { return &l.clock }

// Since returns events from sequence number from on, the number to go on from, and how many were overwritten unread.
func (l *Log) Since(from uint64) (events []Event, next, lost uint64) { return l.ring.Since(from) }

// Merge puts events of several processes into one order.
func Merge(logs ...[]Event) []Event {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Proc, b.Proc))
	})
	return all
}
