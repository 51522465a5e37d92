// Package peer is the protocol between daemons: CBOR messages over QUIC with mutual TLS.
//
// Messages that the next one replaces (demand, grant, gone, hello) go as datagrams, so that a lost one is not sent again
// when it is old. Questions with an answer (rev, pull, tell) take a stream each. A connection is opened when there is
// something to send; it is reset when its peer stays silent, because a path can lose track of an open connection while
// new ones work.
package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/timeline"
)

// Kind names a message.
type Kind string

// Kinds of messages.
const (
	KindHello  Kind = "hello"
	KindDemand Kind = "demand"
	KindGrant  Kind = "grant"
	KindGone   Kind = "gone"
	KindRev    Kind = "rev"
	KindPull   Kind = "pull"
	KindTell   Kind = "tell"
)

// Sizes of encoded messages in bytes, envelope included. The bounds keep control traffic within 5 KB/s for each daemon
// (see docs/CAPACITY.md); a test fails when a message of the stated content grows past its bound.
const (
	// MaxDatagram is what fits in one packet on every path.
	MaxDatagram = 1150
	// MaxAnswer bounds what is read from a stream.
	MaxAnswer = 64 << 20
)

// Hello tells who a daemon is and what it has.
type Hello struct {
	// Boot differs each time that the daemon starts.
	Boot       uint64         `cbor:"1,keyasint"`
	DataCentre string         `cbor:"2,keyasint"`
	Addr       netip.AddrPort `cbor:"3,keyasint"`
	// Revision is the configuration in force there.
	Revision uint64 `cbor:"4,keyasint"`
	// Leaving is whether the daemon is draining.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Operator is where operators reach the daemon.
	Operator netip.AddrPort `cbor:"6,keyasint,omitzero"`
}

// Line is the demand of an organisation at a rank; see share.Line.
type Line struct {
	_       struct{} `cbor:",toarray"`
	Rank    note.Rank
	Org     int
	Waiting int
	Running int
}

// Demand asks a home for slots of its groups. One message carries all that one daemon asks of another at a time.
type Demand struct {
	Groups []Wanted `cbor:"1,keyasint"`
}

// Wanted is the demand for one group; see share.Demand.
type Wanted struct {
	_          struct{} `cbor:",toarray"`
	Group      string
	Generation uint64
	Revision   uint64
	Seq, Turn  uint64
	Borrowers  int
	Lines      []Line
}

// Grant answers demands.
type Grant struct {
	Groups []Lent `cbor:"1,keyasint"`
	// Ages tells, for each of Groups, how long before this message the sender last saw all members present: one more
	// than the milliseconds, 0 when it does not know. Daemons of earlier versions leave it out.
	Ages []uint32 `cbor:"2,keyasint,omitempty"`
}

// Age returns how long before the message the sender last saw all members of the group with index i present.
func (g *Grant) Age(i int) (age time.Duration, ok bool) {
	if i >= len(g.Ages) || g.Ages[i] == 0 {
		return 0, false
	}
	return time.Duration(g.Ages[i]-1) * time.Millisecond, true
}

// Lent is what is lent of one group; see share.Grant.
type Lent struct {
	_          struct{} `cbor:",toarray"`
	Group      string
	Generation uint64
	Caps       [note.Ranks]int
	Floors     [note.Ranks]int
	// Extra has bit r set for each rank r that may exceed its cap by one.
	Extra uint8
	// Millis is how long the grant lasts from when the demand was sent, in milliseconds.
	Millis    uint32
	Seq, Turn uint64
	Borrowers int
}

// Gone tells that a generation of a group may no longer be used, because a member was found missing or because the
// sender is its home and lends it no more.
type Gone struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Instance   string `cbor:"3,keyasint,omitempty"`
}

// Rev carries a configuration, or only its number when Body is empty.
type Rev struct {
	Number uint64 `cbor:"1,keyasint"`
	// Digest is the SHA-256 sum of Body.
	Digest []byte `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
	// Hops bounds how often the message is passed on.
	Hops int `cbor:"4,keyasint,omitempty"`
}

// Pull asks for a configuration that is newer than Have.
type Pull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Tell asks for the events from a sequence number on, or answers with them.
type Tell struct {
	Since  uint64           `cbor:"1,keyasint,omitempty"`
	Events []timeline.Event `cbor:"2,keyasint,omitempty"`
	Next   uint64           `cbor:"3,keyasint,omitempty"`
	// Lost counts events that were overwritten before they were read.
	Lost uint64 `cbor:"4,keyasint,omitempty"`
}

// Message is one of the pointers Hello, Demand, Grant, Gone, Rev, Pull and Tell.
type Message interface{ kind() Kind }

func (*Hello) kind() Kind  { return KindHello }
func (*Demand) kind() Kind { return KindDemand }
func (*Grant) kind() Kind  { return KindGrant }
func (*Gone) kind() Kind   { return KindGone }
func (*Rev) kind() Kind    { return KindRev }
func (*Pull) kind() Kind   { return KindPull }
func (*Tell) kind() Kind   { return KindTell }

// envelope is what goes over the wire.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	At   timeline.Stamp
	Body cbor.RawMessage
}

// Malformed reports a message that cannot be decoded.
type Malformed struct {
	Kind Kind
	Err  error
}

func (e *Malformed) Error() string { return fmt.Sprintf("malformed %s message: %v", e.Kind, e.Err) }
func (e *Malformed) Unwrap() error { return e.Err }

// UnknownKind reports a message of a kind that this version does not know.
type UnknownKind struct{ Kind Kind }

func (e *UnknownKind) Error() string {
	return fmt.Sprintf("message of unknown kind %q", string(e.Kind))
}

var (
	encMode, _ = cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	// The limits keep a damaged message from making the decoder allocate more than the message's own size warrants.
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
)

// Encode returns the wire form of a message.
func Encode(m Message, at timeline.Stamp) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &Malformed{Kind: m.kind(), Err: err}
	}
	b, err := encMode.Marshal(envelope{Kind: m.kind(), At: at, Body: body})
	if err != nil {
		return nil, &Malformed{Kind: m.kind(), Err: err}
	}
	return b, nil
}

// Decode reads the wire form of a message. It fails with *Malformed or *UnknownKind.
func Decode(b []byte) (Message, timeline.Stamp, error) {
	var e envelope
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, timeline.Stamp{}, &Malformed{Err: err}
	}
	var m Message
	switch e.Kind {
	case KindHello:
		m = &Hello{}
	case KindDemand:
		m = &Demand{}
	case KindGrant:
		m = &Grant{}
	case KindGone:
		m = &Gone{}
	case KindRev:
		m = &Rev{}
	case KindPull:
		m = &Pull{}
	case KindTell:
		m = &Tell{}
	default:
		return nil, e.At, &UnknownKind{Kind: e.Kind}
	}
	if err := decMode.Unmarshal(e.Body, m); err != nil {
		return nil, e.At, &Malformed{Kind: e.Kind, Err: err}
	}
	return m, e.At, nil
}
