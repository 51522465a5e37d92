package schedule

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Model names a model of a service.
type Model struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Name    string
}

// Report is what a daemon tells the scheduler of a model: all of its requests that wait and all of its work at groups. It
// is whole, so a lost report is repaired by the next.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// From is the daemon, Boot tells its lifetimes apart, and Seq orders the reports of one lifetime.
	From       string
	Boot       int64
	Seq        uint64
	DataCentre string
	Model      Model
	// Open holds the requests that wait and of which the scheduler has not said that it knows them, Held the ids of the
	// others that wait. Last is the highest id that has been in Open: one up to it that is in neither has its place, and
	// counts in Work, or wants none any more.
	Open []Ask
	Held []uint64
	Last uint64
	Work []Work
	// Suspects are groups that make no progress at this daemon, or turned a request away.
	Suspects []string
	// Firsts are the first events since the report before, Failed the groups that failed a request, one entry for each.
	Firsts []First
	Failed []string
}

// Ask is a request that wants a place.
type Ask struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Rank         int
	Prompt       int
	Organisation string
	Objective    time.Duration
	Gap          time.Duration
	Asked        time.Duration
	Mark         uint64
	// Waited is how long the daemon has had the request, Left how long its caller still waits.
	Waited    time.Duration
	Left      time.Duration
	Continues bool
	Exclude   []string
}

// Work is what a daemon has at a group.
type Work struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Requests int
	// Unread is the prompt tokens of those without a first event.
	Unread int
}

// First is a first event that came.
type First struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Passes, Unread and Full are as in its Place, Took is how long it took.
	Passes, Unread, Took time.Duration
	Full                 bool
}

// Answer is what a scheduler tells a daemon.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Model Model
	// Boot is that of the daemon that is answered, Seq the report up to which the scheduler has heard.
	Boot   int64
	Seq    uint64
	Places []Place
	// Unknown are ids that the daemon reported as held and that the scheduler does not know.
	Unknown []uint64
}

// Place is what becomes of a request.
type Place struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Group takes the request; it is empty when the request is turned away. Head is its head, at Addr.
	Group string
	Head  string
	Addr  netip.AddrPort
	// Passes, Unread and Full are the scheduler's balance.Estimate, told back with the first event.
	Passes, Unread time.Duration
	Full           bool
	// ComeBack is when a caller that is turned away should return, Reason why it is.
	ComeBack time.Duration
	Reason   string
}

// Encode returns a message as bytes.
func Encode(m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b, nil
}

// DecodeReport reads a report.
func DecodeReport(b []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	return &r, nil
}

// DecodeAnswer reads an answer.
func DecodeAnswer(b []byte) (*Answer, error) {
	var a Answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return &a, nil
}
