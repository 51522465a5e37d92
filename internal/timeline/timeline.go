// Package timeline records typed events of a process in a bounded in-memory log. Events carry timestamps of a hybrid
// logical clock, so that the events of all processes can be merged into one order that preserves causality.
//
// Each process has its own log. The log counts events that were overwritten before they were read.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/ring"
)

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Wall is the physical time in microseconds since the Unix epoch. It is never less than in the timestamps that the
	// process has received.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical is the logical counter, which orders timestamps with the same physical time.
	Logical uint32 `json:"count,omitempty" cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Time returns the physical time.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Wall) }

// Clock is a hybrid logical clock. The zero value is ready to use. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a timestamp that is later than all timestamps that the clock has returned or received.
func (c *Clock) Now(wall time.Time) Stamp { return c.advance(wall, Stamp{}) }

// Update advances the clock past the timestamp s of another process, so that later events of this process follow it.
func (c *Clock) Update(wall time.Time, s Stamp) Stamp { return c.advance(wall, s) }

func (c *Clock) advance(wall time.Time, received Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last
	if received.Compare(last) > 0 {
		last = received
	}
	if w := wall.UnixMicro(); w > last.Wall {
		c.last = Stamp{Wall: w}
	} else {
		c.last = Stamp{Wall: last.Wall, Logical: last.Logical + 1}
	}
	return c.last
}

// Kind is the type of an event.
type Kind string

// Kinds of events, with the fields of Event that each sets in brackets.
const (
	// Requests.
	RequestAccepted  Kind = "accept" // a request of a caller was accepted [Request, Org, Service, Rank]
	RequestRefused   Kind = "refuse" // a request was refused without being run [Request, Reason]
	RequestStarted   Kind = "start"  // a request was assigned a slot [Request, Group, Generation]
	AttemptSent      Kind = "send"   // an attempt is about to be sent [Request, Attempt, Group, Generation, Instance]
	StreamResumed    Kind = "resume" // an interrupted stream is resumed [Request, Attempt, Reason]
	AttemptEnded     Kind = "end"    // an attempt ended [Request, Attempt, Reason]
	RequestAnswered  Kind = "reply"  // the final response was sent to the caller [Request, Outcome, Reason]
	KeyClaimed       Kind = "claim"  // an idempotency key was claimed [Request, Org, Reason]
	RequestCancelled Kind = "cancel" // the caller left before the response was complete [Request, Attempt]

	// Groups and instances.
	GroupFormed     Kind = "form"  // instances were claimed as members of a group [Group, Generation, Members, Token]
	GroupServing    Kind = "serve" // a group may be used by this process [Group, Generation]
	GroupStopped    Kind = "stop"  // a group may no longer be used by this process [Group, Generation, Reason]
	InstanceLost    Kind = "lose"  // an instance was detected as lost [Instance, Reason]
	InstanceLeaving Kind = "leave" // an instance was detected as leaving [Instance]
	GroupReleased   Kind = "free"  // the members of a group were released [Group, Generation, Members]
	SlotsLent       Kind = "grant" // slots of a group were lent to a process [Group, Generation, Reason]

	// Control.
	LeaseAcquired    Kind = "lease" // a lease was acquired [Service, Token]
	LeaseEnded       Kind = "yield" // a lease was released or expired [Service, Token, Reason]
	NoteAccepted     Kind = "note"  // this process accepted a release note [Revision]
	RevisionReceived Kind = "have"  // a revision of the configuration was received [Revision]
	RevisionApplied  Kind = "apply" // a revision of the configuration was applied [Revision]

	// The process itself.
	ProcessStarted  Kind = "begin" // the process started
	ProcessDraining Kind = "drain" // the process is shutting down
	PeerChanged     Kind = "peer"  // a peer became suspect or recovered [Instance, Reason]
	StoreChanged    Kind = "store" // the store or the list of instances failed or recovered [Reason]
)

// Event is an entry of a Log. Each kind sets only some of the optional fields.
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

// Log is the event log of a process. It is safe for concurrent use.
type Log struct {
	proc  string
	clock Clock
	ring  *ring.Buffer[Event]
}

// NewLog returns a log for the process named proc that keeps the latest size events.
func NewLog(proc string, size int) *Log { return &Log{proc: proc, ring: ring.NewBuffer[Event](size)} }

// Add sets At and Proc of an event and appends it.
func (l *Log) Add(e Event) {
	e.At, e.Proc = l.clock.Now(time.Now()), l.proc
	l.ring.Add(e)
}

// Clock returns the clock of the process. Messages between processes carry timestamps of their clocks.
func (l *Log) Clock() *Clock { return &l.clock }

// Since returns the events with sequence numbers of at least from, the sequence number to pass to the next call, and how
// many of the requested events had been overwritten.
func (l *Log) Since(from uint64) (events []Event, next, lost uint64) { return l.ring.Since(from) }

// Merge returns the events of several processes sorted by timestamp, then by process.
func Merge(logs ...[]Event) []Event {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Proc, b.Proc))
	})
	return all
}
