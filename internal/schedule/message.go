package schedule

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/quarantine"
)

// Model identifies a model of a service.
type Model struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Name    string
}

// Report is what a daemon tells the scheduler of a model: all of its waiting requests and all of its work at groups.
// It holds the complete state, so the next report makes up for a lost one. Its fields are keyed by numbers, so that daemons
// of another version ignore those that they do not know.
type Report struct {
	// From is the daemon, Boot distinguishes its restarts, and Seq orders the reports between two restarts.
	From       string `cbor:"1,keyasint"`
	Boot       int64  `cbor:"2,keyasint"`
	Seq        uint64 `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Model      Model  `cbor:"5,keyasint"`
	// Unacknowledged holds the waiting requests that the scheduler has not acknowledged, Acknowledged the ids of the
	// other waiting requests. Last is the highest id that has been in Unacknowledged: a request with an id up to Last
	// that is in neither list was placed and counts in Work, or was withdrawn.
	Unacknowledged []PlacementRequest `cbor:"6,keyasint,omitempty"`
	Acknowledged   []uint64           `cbor:"7,keyasint,omitempty"`
	Last           uint64             `cbor:"8,keyasint,omitempty"`
	Work           []Work             `cbor:"9,keyasint,omitempty"`
	// Suspects are groups that make no progress at this daemon, or that rejected a request.
	Suspects []string `cbor:"10,keyasint,omitempty"`
	// FirstEvents holds the first events since the report before. Failed holds the groups that failed a request, one
	// entry for each failure.
	FirstEvents []FirstEvent `cbor:"11,keyasint,omitempty"`
	Failed      []string     `cbor:"12,keyasint,omitempty"`
	// Outcomes holds what happened to requests with a prompt. A crash is in two reports, as one may be lost. OutcomeRequests
	// identifies their requests, in the same order.
	Outcomes        []quarantine.Outcome `cbor:"13,keyasint,omitempty"`
	OutcomeRequests []uint64             `cbor:"15,keyasint,omitempty"`
	// Limits holds what answers said since the report before about the limits of backend servers.
	Limits []balance.LimitNotice `cbor:"14,keyasint,omitempty"`
	// DataCentres holds, by the ids of requests in Unacknowledged that have home regions, the data centres that the daemon knows to be
	// there. Schedulers of earlier builds place such a request anywhere; its daemon does not send it elsewhere.
	DataCentres map[uint64][]string `cbor:"16,keyasint,omitempty"`
	// HeldTokens holds the tokens that the requests of each entry of Work are expected to hold, see balance.Memory, and Unsized the number
	// of its requests whose size is not known; they are missing if that is none. Tokens holds the same tokens of each entry of Unacknowledged, zero
	// if they are not known. All are missing in reports of earlier builds, and where the memory of groups is not bounded.
	HeldTokens []int `cbor:"18,keyasint,omitempty"`
	Unsized    []int `cbor:"19,keyasint,omitempty"`
	Tokens     []int `cbor:"20,keyasint,omitempty"`
}

// maxTokens bounds the tokens in a report, so that their sums do not overflow.
const maxTokens = 1 << 40

// DropInvalid removes tokens that are out of range, or that are not as many as what they describe, and reports whether there were any.
// What they describe then counts with its usual size.
func (r *Report) DropInvalid() bool {
	invalid := false
	check := func(values *[]int, n int) {
		if len(*values) > 0 && (len(*values) != n || slices.ContainsFunc(*values, func(v int) bool { return v < 0 || v > maxTokens })) {
			*values, invalid = nil, true
		}
	}
	check(&r.HeldTokens, len(r.Work))
	check(&r.Unsized, len(r.HeldTokens))
	check(&r.Tokens, len(r.Unacknowledged))
	return invalid
}

// SetHeldTokens sets the tokens that the work holds, from the loads of the groups.
func (r *Report) SetHeldTokens(loads map[string]balance.Load) {
	sized, unsized := 0, 0
	for _, w := range r.Work {
		l := loads[w.Group]
		sized, unsized = sized+l.SizedRequests, unsized+l.Requests-l.SizedRequests
	}
	if sized == 0 {
		return
	}
	for _, w := range r.Work {
		l := loads[w.Group]
		r.HeldTokens = append(r.HeldTokens, l.HeldTokens)
		if unsized > 0 {
			r.Unsized = append(r.Unsized, l.Requests-l.SizedRequests)
		}
	}
}

// reportedWork is the work in a report.
type reportedWork struct {
	work                []Work
	heldTokens, unsized []int
}

// load returns the load of entry i of the work.
func (r *reportedWork) load(i int) balance.Load {
	l := balance.Load{Requests: r.work[i].Requests, QueuedTokens: r.work[i].QueuedTokens}
	if i < len(r.heldTokens) {
		l.HeldTokens, l.SizedRequests = r.heldTokens[i], l.Requests
		if i < len(r.unsized) {
			l.SizedRequests = max(l.Requests-r.unsized[i], 0)
		}
	}
	return l
}

// PlacementRequest describes a request to be placed.
type PlacementRequest struct {
	_             struct{} `cbor:",toarray"`
	ID            uint64
	Rank          int
	Prompt        int
	Organisation  string
	Objective     time.Duration
	Gap           time.Duration
	CallerTimeout time.Duration
	Fingerprint   uint64
	// Waited is how long the daemon has had the request, Left how long its caller still waits.
	Waited  time.Duration
	Left    time.Duration
	Resumed bool
	Exclude []string
	// Tokens is the number of tokens that the request is expected to hold at a group, zero if it is not known. It is sent apart from the
	// other fields, as daemons of another version accept no longer arrays.
	Tokens int `cbor:"-"`
}

// Work is the work of a daemon at a group.
type Work struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Requests int
	// QueuedTokens is the number of prompt tokens of the requests that wait for their first event.
	QueuedTokens int
}

// FirstEvent reports the first event of a request.
type FirstEvent struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Passes, QueuedPrefill and Full are copied from the request's Placement. Took is the measured time to the first
	// event.
	Passes, QueuedPrefill, Took time.Duration
	Full                        bool
}

// Answer is what a scheduler tells a daemon.
type Answer struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Model Model
	// Boot identifies the restart of the daemon that is answered, Seq is its latest report that the scheduler has
	// received.
	Boot       int64
	Seq        uint64
	Placements []Placement
	// Unknown holds ids that the daemon reported as acknowledged and that the scheduler does not know.
	Unknown []uint64
}

// Placement is the decision on a request.
type Placement struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Group takes the request; it is empty when the request is rejected. Head is the group's head, at Addr.
	Group string
	Head  string
	Addr  netip.AddrPort
	// Passes, QueuedPrefill and Full are the scheduler's balance.Estimate, sent back with the first event.
	Passes, QueuedPrefill time.Duration
	Full                  bool
	// RetryAfter is the delay after which a rejected caller should retry, Reason why the request was rejected.
	RetryAfter time.Duration
	Reason     string
}

// Encode encodes a message.
func Encode(m any) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b, nil
}

// DecodeReport decodes a report.
func DecodeReport(b []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	return &r, nil
}

// DecodeAnswer decodes an answer.
func DecodeAnswer(b []byte) (*Answer, error) {
	var a Answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return &a, nil
}
