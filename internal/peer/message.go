// Package peer implements the protocol between daemons: CBOR messages over QUIC with mutual TLS.
//
// One-way messages of at most MaxDatagram bytes (demand, grant, gone, hello) are sent as datagrams: the next one
// supersedes them, so a lost one is not retransmitted. Larger messages and requests with a response (rev, pull, tell)
// each use a stream of their own. A connection is opened when there is something to send. It is reset when the peer stops
// responding, because the network path can drop the state of an open connection while new connections still work.
package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/timeline"
)

// Kind identifies the type of a message on the wire.
type Kind string

// Message kinds.
const (
	KindHello        Kind = "hello"
	KindDemand       Kind = "demand"
	KindGrant        Kind = "grant"
	KindWithdrawal   Kind = "gone"
	KindRevision     Kind = "rev"
	KindPullRevision Kind = "pull"
	KindTimeline     Kind = "tell"
)

// Size limits of encoded messages in bytes, including the envelope. Control traffic has a budget of 5 KB/s per daemon
// (see docs/CAPACITY.md); TestMessageBudget fails when a typical message exceeds its share of it.
const (
	// MaxDatagram is the largest message that fits in one packet on every path.
	MaxDatagram = 1150
	// MaxStreamBytes limits the number of bytes read from a stream.
	MaxStreamBytes = 64 << 20
)

// Hello announces a daemon and its state.
type Hello struct {
	// Boot identifies one run of the daemon; it changes on every start.
	Boot       uint64         `cbor:"1,keyasint"`
	DataCentre string         `cbor:"2,keyasint"`
	Addr       netip.AddrPort `cbor:"3,keyasint"`
	// Revision is the configuration revision in force in the daemon.
	Revision uint64 `cbor:"4,keyasint"`
	// Leaving reports whether the daemon is draining.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Operator is the address of the operator interface.
	Operator netip.AddrPort `cbor:"6,keyasint,omitzero"`
}

// DemandLine is the demand of one organisation at one rank. Package share has a type of the same content.
type DemandLine struct {
	_       struct{} `cbor:",toarray"`
	Rank    note.Rank
	Org     int
	Waiting int
	Running int
}

// Demand requests slots from the home of one or more groups, which is the daemon that distributes their slots. One
// message carries all demands that a daemon has for another daemon at that time.
type Demand struct {
	Groups []GroupDemand `cbor:"1,keyasint"`
}

// GroupDemand is the demand for one group. Package share documents the fields.
type GroupDemand struct {
	_          struct{} `cbor:",toarray"`
	Group      string
	Generation uint64
	Revision   uint64
	Seq, Turn  uint64
	Borrowers  int
	Lines      []DemandLine
}

// Grant is the response to demands.
type Grant struct {
	Groups []GroupGrant `cbor:"1,keyasint"`
	// PresenceAges holds, for each element of Groups, how many milliseconds before this message the sender last saw all
	// members present, plus one; 0 means unknown. Daemons of earlier versions do not send it.
	PresenceAges []uint32 `cbor:"2,keyasint,omitempty"`
}

// PresenceAge returns how long before the message the sender last saw all members of Groups[i] present. ok is false if
// that is unknown.
func (g *Grant) PresenceAge(i int) (age time.Duration, ok bool) {
	if i >= len(g.PresenceAges) || g.PresenceAges[i] == 0 {
		return 0, false
	}
	return time.Duration(g.PresenceAges[i]-1) * time.Millisecond, true
}

// GroupGrant is the grant of slots of one group. Package share documents the fields.
type GroupGrant struct {
	_          struct{} `cbor:",toarray"`
	Group      string
	Generation uint64
	Caps       [note.NumRanks]int
	Floors     [note.NumRanks]int
	// Extra is a bit set of ranks; a rank whose bit is set may exceed its cap by one.
	Extra uint8
	// TTLMillis is the lifetime of the grant in milliseconds, counted from when the demand was sent.
	TTLMillis uint32
	Seq, Turn uint64
	Borrowers int
}

// Withdrawal reports that a generation of a group must no longer be used, either because a member (Instance) is missing
// or because the sender is the group's home and no longer grants slots of it.
type Withdrawal struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Instance   string `cbor:"3,keyasint,omitempty"`
}

// Revision carries a configuration revision, or only its number when Body is empty.
type Revision struct {
	Number uint64 `cbor:"1,keyasint"`
	// Digest is the SHA-256 hash of Body.
	Digest []byte `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
	// Hops is how many times the revision has been forwarded. Package revision limits it to MaxHops.
	Hops int `cbor:"4,keyasint,omitempty"`
}

// PullRevision requests a configuration revision newer than Have.
type PullRevision struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Timeline requests the timeline events from sequence number Since on, or carries them in the response.
type Timeline struct {
	Since  uint64           `cbor:"1,keyasint,omitempty"`
	Events []timeline.Event `cbor:"2,keyasint,omitempty"`
	Next   uint64           `cbor:"3,keyasint,omitempty"`
	// Lost is the number of events that were overwritten before they could be read.
	Lost uint64 `cbor:"4,keyasint,omitempty"`
}

// Message is implemented by *Hello, *Demand, *Grant, *Withdrawal, *Revision, *PullRevision and *Timeline.
type Message interface{ kind() Kind }

func (*Hello) kind() Kind        { return KindHello }
func (*Demand) kind() Kind       { return KindDemand }
func (*Grant) kind() Kind        { return KindGrant }
func (*Withdrawal) kind() Kind   { return KindWithdrawal }
func (*Revision) kind() Kind     { return KindRevision }
func (*PullRevision) kind() Kind { return KindPullRevision }
func (*Timeline) kind() Kind     { return KindTimeline }

// envelope is the wire form of a message.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	At   timeline.Stamp
	Body cbor.RawMessage
}

// MalformedError is the error for a message that cannot be encoded or decoded. Kind is empty if it could not be read.
type MalformedError struct {
	Kind Kind
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s message: %v", e.Kind, e.Err)
}
func (e *MalformedError) Unwrap() error { return e.Err }

// UnknownKindError is the error for a message whose kind this version does not support.
type UnknownKindError struct{ Kind Kind }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("message of unknown kind %q", string(e.Kind))
}

var (
	encMode, _ = cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	// The limits keep a corrupt message from making the decoder allocate far more memory than the size of the message.
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
)

// Encode returns the wire form of a message, stamped with at.
func Encode(m Message, at timeline.Stamp) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &MalformedError{Kind: m.kind(), Err: err}
	}
	b, err := encMode.Marshal(envelope{Kind: m.kind(), At: at, Body: body})
	if err != nil {
		return nil, &MalformedError{Kind: m.kind(), Err: err}
	}
	return b, nil
}

// Decode parses the wire form of a message. Errors are of type *MalformedError or *UnknownKindError.
func Decode(b []byte) (Message, timeline.Stamp, error) {
	var e envelope
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, timeline.Stamp{}, &MalformedError{Err: err}
	}
	var m Message
	switch e.Kind {
	case KindHello:
		m = &Hello{}
	case KindDemand:
		m = &Demand{}
	case KindGrant:
		m = &Grant{}
	case KindWithdrawal:
		m = &Withdrawal{}
	case KindRevision:
		m = &Revision{}
	case KindPullRevision:
		m = &PullRevision{}
	case KindTimeline:
		m = &Timeline{}
	default:
		return nil, e.At, &UnknownKindError{Kind: e.Kind}
	}
	if err := decMode.Unmarshal(e.Body, m); err != nil {
		return nil, e.At, &MalformedError{Kind: e.Kind, Err: err}
	}
	return m, e.At, nil
}
