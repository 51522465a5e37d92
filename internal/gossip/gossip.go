// Package gossip is what daemons tell each other: small digests in datagrams, several times a second.
//
// A digest is the whole state that its sender tells, so a lost one is repaired by the next, and no order of messages
// matters. Digests carry presence, the versions that the sender knows, and what is asked of the models that it schedules.
// Daemons find each other by rows of the platform's store and by digests of daemons that found them.
package gossip

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/election"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
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
)

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
	// Cores is the processor that the sender has.
	Cores float64 `cbor:"cores"`
	// Ready daemons take new callers.
	Ready bool `cbor:"ready"`
	// Config is the version of the configuration in force at the sender, Store tells whether its store answers.
	Config int64 `cbor:"config"`
	Store  bool  `cbor:"store"`
	// Lease and Version tell of the lease row when the sender holds it.
	Lease   *election.Record `cbor:"lease,omitempty"`
	Version int64            `cbor:"version,omitempty"`
	// Demands are what is asked of the models that the sender schedules, by service and model as DemandKey makes it.
	Demands map[string]schedule.Demand `cbor:"demands,omitempty"`
	// Suspects are groups that make no progress at the sender.
	Suspects []string `cbor:"suspects,omitempty"`
	// Closed are groups that the sender, as holder of the lease, has told to end.
	Closed []string `cbor:"closed,omitempty"`
	// Leavers are backend servers that told the sender that they will end, before their entries do.
	Leavers []roster.Leaver `cbor:"leavers,omitempty"`
}

// DemandKey is the key of a model in Digest.Demands.
func DemandKey(service, model string) string { return service + "/" + model }

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
