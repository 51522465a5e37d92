// Package gossip is what daemons tell each other: small digests in datagrams, several times a second.
//
// A digest is the whole state that its sender tells, so a lost one is repaired by the next, and no order of messages
// matters. Digests carry presence, the versions that the sender knows, and its work at each model group. Daemons find
// each other by rows of the platform's store and by digests of daemons that found them.
package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/election"
)

const (
	// minPeriod is the shortest time between two digests; callers arrive at a daemon every few tens of milliseconds.
	minPeriod = 100 * time.Millisecond
	// perPeer is how much each daemon of the fleet adds to the period, so that the digests that a daemon receives stay
	// below 250 a second at any size.
	perPeer = 4 * time.Millisecond
	// missed is how many digests in a row a live daemon may fail to deliver, and silence the least time for that: a
	// daemon whose processor is taken for a moment is not gone.
	missed  = 5
	silence = 900 * time.Millisecond
	// forget is how long a silent daemon is remembered.
	forget = 30 * time.Second
	// maxDigest is the largest digest that fits a datagram on usual links.
	maxDigest = 1400
)

// Work is the load of a group that one daemon sent.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// Group is the group's name with its epoch.
	Group    string
	Requests int
	Unread   int
}

// Digest is what a daemon tells.
type Digest struct {
	Name string `cbor:"name"`
	// Boot tells lifetimes of one name apart; it grows.
	Boot int64 `cbor:"boot"`
	// Seq orders the digests of one lifetime.
	Seq uint64 `cbor:"seq"`
	// Caller and Peer are the addresses for callers and for other daemons.
	Caller     netip.AddrPort `cbor:"caller"`
	Peer       netip.AddrPort `cbor:"peer"`
	DataCentre string         `cbor:"dc"`
	// Ready daemons take new callers.
	Ready bool `cbor:"ready"`
	// Config is the version of the configuration in force at the sender, Store tells whether its store answers.
	Config int64 `cbor:"config"`
	Store  bool  `cbor:"store"`
	// Lease and Version tell of the lease row when the sender holds it.
	Lease   *election.Record `cbor:"lease,omitempty"`
	Version int64            `cbor:"version,omitempty"`
	Work    []Work           `cbor:"work,omitempty"`
	// Lacking counts the places that the sender's callers lack, by service and model as LackingKey makes it.
	Lacking map[string]int `cbor:"lacking,omitempty"`
	// Suspects are groups that make no progress at the sender.
	Suspects []string `cbor:"suspects,omitempty"`
	// Closed are groups that the sender, as holder of the lease, has told to end.
	Closed []string `cbor:"closed,omitempty"`
}

// LackingKey is the key of a model in Digest.Lacking.
func LackingKey(service, model string) string { return service + "/" + model }

// SizeError reports a digest that does not fit a datagram.
type SizeError struct{ Size int }

func (e *SizeError) Error() string { return fmt.Sprintf("digest of %d bytes", e.Size) }

// Encode returns the digest as bytes. Work that does not fit is left out, the smallest first.
func Encode(d Digest) ([]byte, error) {
	slices.SortFunc(d.Work, func(a, b Work) int { return cmp.Compare(b.Requests, a.Requests) })
	for {
		b, err := cbor.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encode digest: %w", err)
		}
		if len(b) <= maxDigest {
			return b, nil
		}
		if len(d.Work) == 0 {
			return nil, &SizeError{len(b)}
		}
		d.Work = d.Work[:len(d.Work)*3/4]
	}
}

// Decode reads a digest.
func Decode(b []byte) (Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(b, &d); err != nil {
		return Digest{}, fmt.Errorf("decode digest: %w", err)
	}
	return d, nil
}

// Member is another daemon.
type Member struct {
	Digest
	// Heard is when its last digest came; zero while it is only known from its row.
	Heard time.Time
	// added is when it became known.
	added time.Time
}

// Members is the other daemons as one of them knows them. It is not safe for concurrent use.
type Members struct {
	self string
	all  map[string]*Member
	// names is the keys of all in order, nil after they have changed; requests ask for Live.
	names []string
}

// NewMembers returns an empty set for the daemon of that name.
func NewMembers(self string) *Members { return &Members{self: self, all: map[string]*Member{}} }

// Period is how often digests are sent.
func (m *Members) Period() time.Duration {
	return max(minPeriod, time.Duration(len(m.all))*perPeer)
}

// Introduce adds a daemon known from its row. The row of a later lifetime replaces what was heard of an earlier one.
func (m *Members) Introduce(now time.Time, d Digest) {
	if d.Name == m.self || !d.Peer.IsValid() {
		return
	}
	if o := m.all[d.Name]; o != nil && o.Boot >= d.Boot {
		return
	}
	m.set(&Member{Digest: d, added: now})
}

func (m *Members) set(o *Member) {
	if m.all[o.Name] == nil {
		m.names = nil
	}
	m.all[o.Name] = o
}

// Hear takes a digest. It reports whether the sender is new, in this lifetime.
func (m *Members) Hear(now time.Time, d Digest) bool {
	if d.Name == m.self || !d.Peer.IsValid() {
		return false
	}
	o := m.all[d.Name]
	if o != nil && (o.Boot > d.Boot || o.Boot == d.Boot && o.Seq >= d.Seq) {
		return false
	}
	m.set(&Member{Digest: d, Heard: now, added: now})
	return o == nil || o.Boot != d.Boot
}

// Live returns the daemons heard of lately, in the order of their names.
func (m *Members) Live(now time.Time) []*Member {
	limit := max(silence, missed*m.Period())
	var out []*Member
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.all))
	}
	for _, name := range m.names {
		if o := m.all[name]; !o.Heard.IsZero() && now.Sub(o.Heard) <= limit {
			out = append(out, o)
		}
	}
	return out
}

// All returns every daemon that is remembered, and forgets those that have been silent for long.
func (m *Members) All(now time.Time) []*Member {
	var out []*Member
	for name, o := range m.all {
		if now.Sub(o.added) > forget {
			delete(m.all, name)
			m.names = nil
			continue
		}
		out = append(out, o)
	}
	return out
}

// Others sums the work of the other live daemons at each group.
func Others(live []*Member) map[string]balance.Load {
	out := map[string]balance.Load{}
	for _, m := range live {
		for _, w := range m.Work {
			out[w.Group] = out[w.Group].Add(balance.Load{Requests: w.Requests, Unread: w.Unread})
		}
	}
	return out
}
