// Package gossip is what daemons tell each other: small digests in datagrams, several times a second.
//
// A digest is the whole state that its sender tells, so a lost one is repaired by the next, and no order of messages
// matters. Digests carry presence, the versions that the sender knows, and what is asked of the models that it schedules.
// Daemons find each other by rows of the platform's store and by digests of daemons that found them.
//
// # Partial views
//
// In a large fleet each daemon tells those of its own data centre, and a few hubs of each data centre, its largest instances,
// tell all others too. So every daemon knows its data centre and all hubs, and what it sends and receives grows with the size
// of a data centre and the number of hubs. A hub that is lost is replaced by the next daemon of its data centre in the same
// order. While no hub of a data centre is left, others count it as gone.
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
	// minFar is the shortest time between two digests of a hub to other data centres.
	minFar = 300 * time.Millisecond
	// perPeer is how much each daemon of a data centre adds to the period in which its daemons tell each other, so that the
	// digests that one receives stay below 250 a second, with those of hubs, at any size. perFar is what each daemon adds that a
	// hub tells elsewhere; hubs are the larger instances.
	perPeer = 5 * time.Millisecond
	perFar  = 2500 * time.Microsecond
	// maxPeriod is the longest time between two digests that a sender may announce.
	maxPeriod = 5 * time.Second
	// greetPeriod is how often a hub that is known and silent is told of this daemon.
	greetPeriod = time.Second
	// Mesh is the size of a fleet from which on not everyone tells everyone.
	Mesh = 24
	// hubs is how many daemons of a data centre tell all others: two may be lost, and one be unheard, at once.
	hubs = 4
	// missed is how many digests in a row a live daemon may fail to deliver, and silence the least time for that: a
	// daemon whose processor is taken for a moment is not gone.
	missed  = 4
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
	// Hub daemons tell those of other data centres too. Near is how many daemons of its data centre the sender knows to live,
	// itself included.
	Hub  bool `cbor:"hub,omitempty"`
	Near int  `cbor:"near,omitempty"`
	// Every is how often the sender tells the receiver.
	Every time.Duration `cbor:"every,omitempty"`
	// Lease and Version tell of the lease row: as it is when the sender holds it, as last learnt when it is a hub.
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
	self, dataCentre string
	cores            float64
	all              map[string]*Member
	// names is the keys of all in order, nil after they have changed; requests ask for Live.
	names []string
}

// NewMembers returns an empty set for the daemon of that name.
func NewMembers(self, dataCentre string, cores float64) *Members {
	return &Members{self: self, dataCentre: dataCentre, cores: cores, all: map[string]*Member{}}
}

// Senior tells whether a daemon comes before another one where duties are given to the largest instances first.
func Senior(cores float64, name string, otherCores float64, other string) bool {
	return cores > otherCores || cores == otherCores && name < other
}

// Hub tells whether this daemon is one of those that tell other data centres.
func (m *Members) Hub(now time.Time) bool {
	if len(m.all) < Mesh {
		return true
	}
	before := 0
	for _, o := range m.Live(now) {
		if o.DataCentre == m.dataCentre && Senior(o.Cores, o.Name, m.cores, m.self) {
			before++
		}
	}
	return before < hubs
}

// Targets returns whom this daemon tells: those of its data centre, all others if it is a hub, and otherwise those who should
// be hubs and are not heard.
func (m *Members) Targets(now time.Time) (near, far []*Member) {
	all := m.All(now)
	hub := m.Hub(now)
	others := map[string][]*Member{}
	for _, o := range all {
		switch {
		case len(all) < Mesh || o.DataCentre == m.dataCentre:
			near = append(near, o)
		case hub:
			far = append(far, o)
		default:
			others[o.DataCentre] = append(others[o.DataCentre], o)
		}
	}
	// Rows may tell of a time when the fleet was small and everyone a hub.
	for _, list := range others {
		slices.SortFunc(list, func(a, b *Member) int {
			if Senior(a.Cores, a.Name, b.Cores, b.Name) {
				return -1
			}
			return 1
		})
		for _, o := range list[:min(len(list), hubs)] {
			if !m.live(now, o) {
				far = append(far, o)
			}
		}
	}
	return near, far
}

// Periods returns how often digests are sent to the targets.
func (m *Members) Periods(now time.Time) (near, far time.Duration) {
	if len(m.all) < Mesh {
		near = max(minPeriod, time.Duration(len(m.all))*perPeer)
		return near, near
	}
	n := 0
	for _, o := range m.all {
		if o.DataCentre == m.dataCentre {
			n++
		}
	}
	near, far = max(minPeriod, time.Duration(n)*perPeer), greetPeriod
	if m.Hub(now) {
		far = max(minFar, time.Duration(len(m.all)-n)*perFar)
	}
	return near, far
}

// Near returns how many daemons of this data centre live, this one included.
func (m *Members) Near(now time.Time) int {
	n := 1
	for _, o := range m.Live(now) {
		if o.DataCentre == m.dataCentre {
			n++
		}
	}
	return n
}

// Fleet returns about how many daemons live, this one included: those heard, or for other data centres what their hubs know.
func (m *Members) Fleet(now time.Time) int {
	live := m.Live(now)
	heard, told := map[string]int{m.dataCentre: 1}, map[string]int{}
	for _, o := range live {
		heard[o.DataCentre]++
		told[o.DataCentre] = max(told[o.DataCentre], o.Near)
	}
	n := 0
	for dc, count := range heard {
		if dc != m.dataCentre {
			count = max(count, told[dc])
		}
		n += count
	}
	return n
}

// Introduce adds a daemon known from its row. The row of a later lifetime replaces what was heard of an earlier one.
func (m *Members) Introduce(now time.Time, d Digest) {
	if d.Name == m.self || !d.Peer.IsValid() {
		return
	}
	if o := m.all[d.Name]; o != nil && o.Boot >= d.Boot {
		if len(m.all) >= Mesh {
			o.added = now // a hub tells it without hearing it
		}
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
	var out []*Member
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.all))
	}
	for _, name := range m.names {
		if o := m.all[name]; m.live(now, o) {
			out = append(out, o)
		}
	}
	return out
}

// live tells whether a daemon has been heard within the time that a few of its digests take.
func (m *Members) live(now time.Time, o *Member) bool {
	return !o.Heard.IsZero() && now.Sub(o.Heard) <= max(silence, missed*min(max(o.Every, 0), maxPeriod))
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
