// Package gossip tracks the daemons of a fleet by digests, which the daemons send each other in datagrams several times
// a second.
//
// A digest contains the whole state that its sender publishes, so the next digest makes up for a lost one, and the
// order of messages does not matter. Digests carry liveness, the versions that the sender knows, and the demand for the
// models that it schedules. Daemons discover each other from rows of the platform's store and from digests of daemons
// that discovered them.
//
// # Partial views
//
// In a large fleet each daemon sends digests only within its own data centre, and a few hubs of each data centre, the
// daemons on its largest instances, also send them to all other daemons. Every daemon therefore knows its data centre
// and all hubs, and its traffic grows with the size of a data centre and the number of hubs. When a hub is lost, the
// next daemon of its data centre in the same order replaces it. While a data centre has no hub left, the other data
// centres count it as lost.
package gossip

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/election"
	"flamingorudder.example/internal/evacuation"
	"flamingorudder.example/internal/quarantine"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
)

const (
	// minPeriod is the shortest interval between digests. Callers arrive at a daemon every few tens of milliseconds.
	minPeriod = 100 * time.Millisecond
	// minFarPeriod is the shortest interval between digests from a hub to other data centres.
	minFarPeriod = 300 * time.Millisecond
	// nearPeriodPerDaemon is how much each daemon of a data centre adds to the interval between digests within it. It
	// keeps the digests received by one daemon, including those from hubs, below 250 a second at any fleet size.
	// farPeriodPerDaemon is how much each daemon of another data centre adds to the interval of a hub; hubs run on the
	// larger instances.
	nearPeriodPerDaemon = 5 * time.Millisecond
	farPeriodPerDaemon  = 2500 * time.Microsecond
	// maxPeriod bounds the announced interval between digests that is used to decide whether the sender is alive.
	maxPeriod = 5 * time.Second
	// announcePeriod is the interval between digests to a hub that is known but not heard from.
	announcePeriod = time.Second
	// FullMeshLimit is the fleet size from which daemons no longer send digests to all others.
	FullMeshLimit = 24
	// hubsPerDataCentre is the number of hubs in each data centre. It tolerates the loss of two hubs while a third one
	// cannot be heard.
	hubsPerDataCentre = 4
	// missedDigests is how many consecutive digests of a live daemon may be lost, and minSilence is the least time
	// after which a daemon counts as lost: a process that gets no CPU time for a moment is still alive.
	missedDigests = 4
	minSilence    = 900 * time.Millisecond
	// forgetAfter is how long a silent daemon is remembered.
	forgetAfter = 30 * time.Second
)

// Digest is the state that a daemon publishes.
type Digest struct {
	Name string `cbor:"name"`
	// Boot distinguishes the lifetimes of a daemon with the same name. It increases with each start.
	Boot int64 `cbor:"boot"`
	// Seq orders the digests of one lifetime.
	Seq uint64 `cbor:"seq"`
	// CallerAddr and PeerAddr are the addresses for callers and for other daemons.
	CallerAddr netip.AddrPort `cbor:"caller"`
	PeerAddr   netip.AddrPort `cbor:"peer"`
	DataCentre string         `cbor:"dc"`
	// Cores is the number of CPU cores of the sender.
	Cores float64 `cbor:"cores"`
	// Ready is set when the daemon accepts new callers.
	Ready bool `cbor:"ready"`
	// ConfigVersion is the version of the configuration in use at the sender. StoreUp is set when the store answers the
	// sender.
	ConfigVersion int64 `cbor:"config"`
	StoreUp       bool  `cbor:"store"`
	// Hub is set on daemons that also send digests to other data centres. LiveInDataCentre is the number of live
	// daemons of its data centre that the sender knows, including itself.
	Hub              bool `cbor:"hub,omitempty"`
	LiveInDataCentre int  `cbor:"near,omitempty"`
	// Interval is the interval at which the sender sends digests to the receiver.
	Interval time.Duration `cbor:"every,omitempty"`
	// Lease and LeaseVersion are the record and version of the lease row: the current ones if the sender holds the
	// lease, the last known ones if it is a hub.
	Lease        *election.Record `cbor:"lease,omitempty"`
	LeaseVersion int64            `cbor:"version,omitempty"`
	// LeaseEra is the era of the store in which the row has that version.
	LeaseEra int64 `cbor:"era,omitempty"`
	// Demands is the demand for the models that the sender schedules. DemandKey returns the keys.
	Demands map[string]schedule.Demand `cbor:"demands,omitempty"`
	// SuspectGroups are the groups that make no progress as seen by the sender.
	SuspectGroups []string `cbor:"suspects,omitempty"`
	// ClosedGroups are the groups that the sender, as holder of the lease, has ordered to close.
	ClosedGroups []string `cbor:"closed,omitempty"`
	// LeavingServers are backend servers that told the sender that they are about to stop, and whose entries do not say
	// so yet.
	LeavingServers []roster.LeavingServer `cbor:"leavers,omitempty"`
	// Limits are limits that backend servers have lately named to the sender.
	Limits []balance.LimitNotice `cbor:"limits,omitempty"`
	// Quarantined are requests and prompt parts that crash backend servers. Every daemon passes on all that it knows of, so
	// that they also reach other data centres.
	Quarantined []quarantine.Entry `cbor:"quarantined,omitempty"`
	// Collects is set by daemons that collect the crashes of plain services. Suspicions are requests to plain services that
	// have crashed a server, of which the sender wants to know whether they have been answered.
	Collects   bool                   `cbor:"collects,omitempty"`
	Suspicions []quarantine.Suspicion `cbor:"suspicions,omitempty"`
	// Unreachable are the services to whose backend servers the sender has no path. Relays is set by daemons that serve the
	// requests that others hand over, and query the state of backend servers for them.
	Unreachable []string `cbor:"unreachable,omitempty"`
	Relays      bool     `cbor:"relays,omitempty"`
	// Evacuations are the evacuated data centres as the sender knows them, nil until it does.
	Evacuations *evacuation.State `cbor:"evacuations,omitempty"`
	// LimitsCold is set by daemons that as schedulers limit the requests to cold servers.
	LimitsCold bool `cbor:"cold,omitempty"`
	// Uptime is how long the sender has run when it sends the digest. Daemons of earlier builds do not tell.
	Uptime time.Duration `cbor:"uptime,omitempty"`
	// Region is the region of the sender and so of its data centre. Daemons of earlier builds name none, and do not keep requests in
	// their home regions.
	Region string `cbor:"region,omitempty"`
	// WrittenAt is when a row with the digest was written, by the store's clock; zero in a datagram.
	WrittenAt time.Duration `cbor:"written,omitempty"`
}

// DemandKey returns the key of a model in Digest.Demands.
func DemandKey(service, model string) string { return service + "/" + model }

// Decode decodes a digest.
func Decode(b []byte) (Digest, error) {
	var d Digest
	if err := cbor.Unmarshal(b, &d); err != nil {
		return Digest{}, fmt.Errorf("decode digest: %w", err)
	}
	return d, nil
}

// Peer is another daemon.
type Peer struct {
	Digest
	// LastReceived is when the last digest of the daemon was received. It is zero while only its row is known.
	LastReceived time.Time
	// lastSeen is when the last digest was received or, in a large fleet, when the row was last read.
	lastSeen time.Time
}

// PeerSet is the set of other daemons that a daemon knows. It is not safe for concurrent use.
type PeerSet struct {
	self, dataCentre string
	cores            float64
	byName           map[string]*Peer
	// sortedNames are the sorted keys of byName, or nil after a change. They are cached because each request calls
	// Live.
	sortedNames []string
}

// NewPeerSet returns an empty set for the named daemon.
func NewPeerSet(self, dataCentre string, cores float64) *PeerSet {
	return &PeerSet{self: self, dataCentre: dataCentre, cores: cores, byName: map[string]*Peer{}}
}

// Precedes reports whether a daemon precedes another one in the order in which duties are assigned: by decreasing
// number of cores, then by name.
func Precedes(cores float64, name string, otherCores float64, other string) bool {
	return cores > otherCores || cores == otherCores && name < other
}

// Hub reports whether this daemon is a hub, which sends digests to other data centres.
func (m *PeerSet) Hub(now time.Time) bool {
	if len(m.byName) < FullMeshLimit {
		return true
	}
	before := 0
	for _, o := range m.Live(now) {
		if o.DataCentre == m.dataCentre && Precedes(o.Cores, o.Name, m.cores, m.self) {
			before++
		}
	}
	return before < hubsPerDataCentre
}

// Preceding returns the number of known daemons of this data centre, live or not, that precede this one in the order of duties.
func (m *PeerSet) Preceding(now time.Time) int {
	n := 0
	for _, o := range m.All(now) {
		if o.DataCentre == m.dataCentre && Precedes(o.Cores, o.Name, m.cores, m.self) {
			n++
		}
	}
	return n
}

// ExpectedHub reports whether this daemon is a hub if all known daemons live. A daemon that has just started does not know yet which of
// them do.
func (m *PeerSet) ExpectedHub(now time.Time) bool {
	return len(m.byName) < FullMeshLimit || m.Preceding(now) < hubsPerDataCentre
}

// Targets returns the daemons to which this daemon sends digests. near are the daemons of its data centre, or all
// daemons of a small fleet. far are all others if this daemon is a hub, and otherwise the expected hubs of other data
// centres that are not heard from.
func (m *PeerSet) Targets(now time.Time) (near, far []*Peer) {
	all := m.All(now)
	hub := m.Hub(now)
	others := map[string][]*Peer{}
	for _, o := range all {
		switch {
		case len(all) < FullMeshLimit || o.DataCentre == m.dataCentre:
			near = append(near, o)
		case hub:
			far = append(far, o)
		default:
			others[o.DataCentre] = append(others[o.DataCentre], o)
		}
	}
	// The rows may date from a time when the fleet was small and every daemon was a hub, so the expected hubs may not
	// know that they are.
	for _, list := range others {
		slices.SortFunc(list, func(a, b *Peer) int {
			if Precedes(a.Cores, a.Name, b.Cores, b.Name) {
				return -1
			}
			return 1
		})
		for _, o := range list[:min(len(list), hubsPerDataCentre)] {
			if !m.live(now, o) {
				far = append(far, o)
			}
		}
	}
	return near, far
}

// Periods returns the intervals at which digests are sent to the near and far targets.
func (m *PeerSet) Periods(now time.Time) (near, far time.Duration) {
	if len(m.byName) < FullMeshLimit {
		near = max(minPeriod, time.Duration(len(m.byName))*nearPeriodPerDaemon)
		return near, near
	}
	n := 0
	for _, o := range m.byName {
		if o.DataCentre == m.dataCentre {
			n++
		}
	}
	near, far = max(minPeriod, time.Duration(n)*nearPeriodPerDaemon), announcePeriod
	if m.Hub(now) {
		far = max(minFarPeriod, time.Duration(len(m.byName)-n)*farPeriodPerDaemon)
	}
	return near, far
}

// LiveInDataCentre returns the number of live daemons in this data centre, including this one.
func (m *PeerSet) LiveInDataCentre(now time.Time) int {
	n := 1
	for _, o := range m.Live(now) {
		if o.DataCentre == m.dataCentre {
			n++
		}
	}
	return n
}

// FleetSize estimates the number of live daemons, including this one. For another data centre it uses the number that
// its hubs report if that is greater than the number heard from.
func (m *PeerSet) FleetSize(now time.Time) int {
	live := m.Live(now)
	heard, told := map[string]int{m.dataCentre: 1}, map[string]int{}
	for _, o := range live {
		heard[o.DataCentre]++
		told[o.DataCentre] = max(told[o.DataCentre], o.LiveInDataCentre)
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

// StartedFraction returns the fraction of the live daemons of which a digest shows that they started within the given time. It is zero
// if none is live.
func (m *PeerSet) StartedFraction(now time.Time, within time.Duration) float64 {
	live := m.Live(now)
	started := 0
	for _, o := range live {
		if o.Uptime > 0 && o.Uptime+now.Sub(o.LastReceived) <= within {
			started++
		}
	}
	return float64(started) / float64(max(len(live), 1))
}

// AddFromRow adds a daemon found in the store. The row of a later lifetime replaces the digest of an earlier one.
func (m *PeerSet) AddFromRow(now time.Time, d Digest) {
	if d.Name == m.self || !d.PeerAddr.IsValid() {
		return
	}
	if o := m.byName[d.Name]; o != nil && o.Boot >= d.Boot {
		if len(m.byName) >= FullMeshLimit {
			o.lastSeen = now // keep it: a hub sends digests to it but may receive none
		}
		return
	}
	m.put(&Peer{Digest: d, lastSeen: now})
}

func (m *PeerSet) put(o *Peer) {
	if m.byName[o.Name] == nil {
		m.sortedNames = nil
	}
	m.byName[o.Name] = o
}

// Receive processes a received digest. It reports whether this lifetime of the sender is new.
func (m *PeerSet) Receive(now time.Time, d Digest) bool {
	if d.Name == m.self || !d.PeerAddr.IsValid() {
		return false
	}
	o := m.byName[d.Name]
	if o != nil && (o.Boot > d.Boot || o.Boot == d.Boot && o.Seq >= d.Seq) {
		return false
	}
	m.put(&Peer{Digest: d, LastReceived: now, lastSeen: now})
	return o == nil || o.Boot != d.Boot
}

// names returns the sorted names of all remembered daemons.
func (m *PeerSet) names() []string {
	if m.sortedNames == nil {
		m.sortedNames = slices.Sorted(maps.Keys(m.byName))
	}
	return m.sortedNames
}

// Live returns the live daemons in the order of their names.
func (m *PeerSet) Live(now time.Time) []*Peer {
	var out []*Peer
	for _, name := range m.names() {
		if o := m.byName[name]; m.live(now, o) {
			out = append(out, o)
		}
	}
	return out
}

// live reports whether a digest of the daemon was received within the time of a few of its digests.
func (m *PeerSet) live(now time.Time, o *Peer) bool {
	return !o.LastReceived.IsZero() && now.Sub(o.LastReceived) <= max(minSilence, missedDigests*min(max(o.Interval, 0), maxPeriod))
}

// All returns every remembered daemon in the order of their names, and forgets those that have been silent for longer
// than forgetAfter.
func (m *PeerSet) All(now time.Time) []*Peer {
	maps.DeleteFunc(m.byName, func(_ string, o *Peer) bool {
		forget := now.Sub(o.lastSeen) > forgetAfter
		if forget {
			m.sortedNames = nil
		}
		return forget
	})
	out := make([]*Peer, 0, len(m.byName))
	for _, name := range m.names() {
		out = append(out, m.byName[name])
	}
	return out
}
