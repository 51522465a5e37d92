package roster

import (
	"cmp"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"time"
)

// Tracker applies changes of entries and builds views. It is not safe for concurrent use.
//
// During an outage of the store, entries expire although their backend servers are alive. Such entries are kept until
// the store has been available again for a grace period, and are then removed. An outage that is shorter than the
// renewal timeout expires no entries of live backend servers, so entries removed after it are removed immediately.
type Tracker struct {
	servers map[string]*Server
	// expired holds entries that were removed within the grace period after an outage.
	expired map[string]bool
	// storeDown is set while the store does not answer.
	storeDown bool
	// storeRecovered is when the store last recovered, zero before the first outage. graceUntil is when the grace
	// period for expired entries ends.
	storeRecovered, graceUntil time.Time
	// renewalsHidden is set while the changes that are read do not include renewals. renewalsVisibleSince is when that
	// last ended, zero if it never happened.
	renewalsHidden       bool
	renewalsVisibleSince time.Time
	// heartbeatSeen is when an entry was last read of which only the heartbeat had changed.
	heartbeatSeen time.Time
	// lastRead is when the entries were last read.
	lastRead time.Time
	// heartbeatsRead is when the last read that shows all heartbeats was sent.
	heartbeatsRead time.Time
	// doubtUntil is until when entries that are read may date from before the last restore of the store. outdated holds the
	// entries that were found to do so and have not changed since.
	doubtUntil time.Time
	outdated   map[string]bool
	// departed holds removed entries with the time of their removal.
	departed map[string]departure
	// leaving holds the backend servers whose responses say that they are about to stop. Their entries may say so later
	// or never.
	leaving map[string]leaveNotice
	// grace is how long backend servers may take to register again after an outage.
	grace time.Duration
	// renewalTimeout is the longest time between two renewals of the entry of a live backend server.
	renewalTimeout time.Duration
}

type departure struct {
	server *Server
	at     time.Time
	// told is set if this daemon knows of it only from others.
	told bool
}

// leaveNotice records that a backend server said that it is about to stop.
type leaveNotice struct {
	// born is the lifetime that said so, or zero when it is not known.
	born int64
	at   time.Time
	// direct is set when this daemon received the notice from the backend server itself.
	direct bool
}

// appliesTo reports whether the notice is about this lifetime of the backend server.
func (n leaveNotice) appliesTo(s *Server) bool { return n.born == 0 || n.born == s.Born }

// LeavingServer identifies a lifetime of a backend server that is about to stop. Born is zero when it is not known.
type LeavingServer struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

const (
	// advertisePeriod is how long a notice is sent to other daemons. Several digests are sent within this time even in
	// the largest fleets.
	advertisePeriod = 4 * time.Second
	// maxAdvertised bounds the notices in one digest. The entries announce most of them anyway.
	maxAdvertised = 32
)

// MarkLeaving records that a backend server said that it is about to stop; direct tells that it said so to this daemon.
// MarkLeaving reports whether the view changes. A notice is never revoked within a lifetime.
func (t *Tracker) MarkLeaving(now time.Time, l LeavingServer, direct bool) bool {
	if o, ok := t.leaving[l.ID]; ok && (o.born == l.Born || l.Born == 0) {
		return false
	}
	n := leaveNotice{l.Born, now, direct}
	s := t.servers[l.ID]
	if s != nil && !n.appliesTo(s) {
		return false // the notice is about an earlier lifetime
	}
	t.leaving[l.ID] = n
	return s == nil || s.State == Ready
}

// LeavingServers returns the backend servers to announce to other daemons: those that told this daemon that they are
// about to stop, and whose entries do not say so yet.
func (t *Tracker) LeavingServers(now time.Time) []LeavingServer {
	var out []LeavingServer
	for id, n := range t.leaving {
		if s := t.servers[id]; n.direct && now.Sub(n.at) <= advertisePeriod && s != nil && s.State == Ready && len(out) < maxAdvertised {
			out = append(out, LeavingServer{ID: id, Born: n.born})
		}
	}
	return out
}

// departedRetention is how long removed entries are remembered. It is longer than any disconnection from the store that
// backend servers are expected to survive.
const departedRetention = 30 * time.Second

// NewTracker returns a tracker that keeps expired entries for grace after an outage of the store. A live backend server
// renews its entry at least once in renewalTimeout.
func NewTracker(grace, renewalTimeout time.Duration) *Tracker {
	return &Tracker{servers: map[string]*Server{}, expired: map[string]bool{}, outdated: map[string]bool{}, departed: map[string]departure{}, leaving: map[string]leaveNotice{}, grace: grace, renewalTimeout: renewalTimeout}
}

// MarkStoreDown records that the store does not answer.
func (t *Tracker) MarkStoreDown() { t.storeDown = true }

// MarkRestored records that the store was restored from a backup. Entries that are missing from it get the grace period to be
// written again. For twice the renewal timeout and delay, which is longer than the entry of a dead backend server lasts, a full
// read may return entries that are older than the known ones.
func (t *Tracker) MarkRestored(now time.Time, delay time.Duration) {
	t.storeDown, t.storeRecovered = false, now
	t.graceUntil, t.doubtUntil = now.Add(t.grace), now.Add(2*t.renewalTimeout+delay)
	clear(t.outdated)
}

// Supersede returns the entry that holds although a full read returned s: the known one if s is an older state of the same
// lifetime, or of an earlier lifetime, and nil if that lifetime has departed. Otherwise s holds. Entries without a start time
// count as one lifetime.
func (t *Tracker) Supersede(now time.Time, s *Server) *Server {
	if !now.Before(t.doubtUntil) {
		return s
	}
	if d, ok := t.departed[s.ID]; ok && s.Born <= d.server.Born {
		// Heartbeats need not show in the known entry, so they do not tell whether it was renewed since.
		t.outdated[s.ID] = true
		return nil
	}
	o := t.servers[s.ID]
	switch {
	case o == nil || s.Born > o.Born || s.Born == o.Born && s.State == Draining && o.State != Draining:
		return s
	case s.Born == o.Born && o.State == Draining && s.State != Draining:
		if s.Born != 0 {
			t.MarkLeaving(now, LeavingServer{ID: s.ID, Born: s.Born}, false) // never taken back within the lifetime
		}
	case s.Born == o.Born && s.Beat > o.Beat:
		return s
	}
	if !t.IsRenewal(s) {
		t.outdated[s.ID] = true
	}
	return o
}

// RereadDue reports whether all entries have to be read again, because outdated ones can by now be told from those of live
// backend servers. It does so once after each restore.
func (t *Tracker) RereadDue(now time.Time) bool {
	if len(t.outdated) == 0 || now.Before(t.doubtUntil) {
		return false
	}
	clear(t.outdated)
	return true
}

// DoubtLeft returns after what time entries that were held back have to be read again, zero if there are none.
func (t *Tracker) DoubtLeft(now time.Time) time.Duration {
	if len(t.outdated) == 0 {
		return 0
	}
	return max(t.doubtUntil.Sub(now), time.Nanosecond)
}

// InheritDoubt records the DoubtLeft of another daemon whose entries were applied.
func (t *Tracker) InheritDoubt(now time.Time, left time.Duration) {
	if left <= 0 {
		return
	}
	t.outdated[""] = true // stands for the entries of the other daemon
	if until := now.Add(left); until.After(t.doubtUntil) {
		t.doubtUntil = until
	}
}

// Change is a change of one entry. Server is nil when the entry was removed or cannot be decoded.
type Change struct {
	ID     string
	Server *Server
}

// Replace replaces all entries by those read at now.
func (t *Tracker) Replace(now time.Time, all []*Server) {
	seen := make(map[string]bool, len(all))
	changes := make([]Change, 0, len(all))
	for _, s := range all {
		seen[s.ID] = true
		if o := t.servers[s.ID]; o != nil && unchangedEntry(o, s) {
			continue
		}
		changes = append(changes, Change{s.ID, s})
	}
	for id := range t.servers {
		if !seen[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	t.Apply(now, changes)
}

// unchangedEntry reports whether a full read returned an entry that has not changed. It copies the renewal time of a to
// b, since reading an unchanged entry again must not count as a renewal.
func unchangedEntry(a, b *Server) bool {
	if a == b {
		return true // read by others already
	}
	b.RenewedAt = a.RenewedAt
	b.inherit(a)
	return a.Beat == b.Beat && reflect.DeepEqual(a, b)
}

// inherit copies what this daemon knows from earlier reads of the same lifetime. An entry that was not written again says nothing new
// about how long its server stays cold.
func (s *Server) inherit(o *Server) {
	if s.Born != o.Born {
		return
	}
	s.FirstSeen, s.Appeared = o.FirstSeen, o.Appeared
	if s.Beat == o.Beat && s.Cold == o.Cold {
		s.ColdUntil = o.ColdUntil
	}
}

// MarkStoreUp records that the store answers. Entries that expired during an outage longer than the renewal timeout get
// the grace period from its end.
func (t *Tracker) MarkStoreUp(now time.Time) {
	if !t.storeDown {
		return
	}
	t.storeDown, t.storeRecovered = false, now
	if now.Sub(t.lastRead) > t.renewalTimeout {
		t.graceUntil = now.Add(t.grace)
	}
}

// SetRenewalsVisible sets whether the following changes include all renewals.
func (t *Tracker) SetRenewalsVisible(now time.Time, included bool) {
	if included && t.renewalsHidden {
		t.renewalsVisibleSince = now
	}
	t.renewalsHidden = !included
}

// MarkHeartbeatsRead records that the entries that are applied next show all heartbeats written before sent. Their response may be
// processed much later, for example after a pause of this process, and says nothing about the time between.
func (t *Tracker) MarkHeartbeatsRead(sent time.Time) { t.heartbeatsRead = sent }

// RenewalsHidden reports whether the last changes did not include renewals.
func (t *Tracker) RenewalsHidden() bool { return t.renewalsHidden }

// coldTolerance is by how much the end of a server's cold time may seem to move while its remaining time counts down: entries are read
// with a delay of up to 0.9 s.
const coldTolerance = time.Second

// IsRenewal reports whether an entry differs from the known one only by its heartbeat, and by a remaining cold time that has counted
// down since.
func (t *Tracker) IsRenewal(s *Server) bool {
	o := t.servers[s.ID]
	if o == nil {
		return false
	}
	n := *s
	n.inherit(o)
	if n.Cold > o.Cold || n.Cold > 0 && n.ColdUntil.Sub(o.ColdUntil) > coldTolerance {
		return false // cold again
	}
	n.Beat, n.RenewedAt, n.Cold, n.ColdUntil = o.Beat, o.RenewedAt, o.Cold, o.ColdUntil
	return reflect.DeepEqual(*o, n)
}

// Apply applies changes of entries read at now.
func (t *Tracker) Apply(now time.Time, changes []Change) {
	began := !t.lastRead.IsZero()
	t.lastRead = now
	for _, c := range changes {
		delete(t.outdated, c.ID)
		switch {
		case c.Server != nil:
			if t.IsRenewal(c.Server) && t.servers[c.ID].Beat != c.Server.Beat {
				t.heartbeatSeen = now
			}
			t.complete(now, c.Server, began)
			t.servers[c.ID] = c.Server
			delete(t.expired, c.ID)
			delete(t.departed, c.ID)
		case t.servers[c.ID] == nil:
		case now.Before(t.graceUntil) && t.servers[c.ID].State == Ready:
			t.expired[c.ID] = true
		default:
			t.remove(now, c.ID)
		}
	}
	for id, d := range t.departed {
		if now.Sub(d.at) > departedRetention {
			delete(t.departed, id)
		}
	}
	maps.DeleteFunc(t.leaving, func(id string, n leaveNotice) bool {
		if s := t.servers[id]; s != nil {
			return !n.appliesTo(s) // the backend server has restarted
		}
		return now.Sub(n.at) > departedRetention
	})
	if !now.Before(t.graceUntil) {
		for id := range t.expired {
			t.remove(now, id)
		}
	}
}

// complete fills in what an entry that is read at now does not say. began is set if entries have been read before.
func (t *Tracker) complete(now time.Time, s *Server, began bool) {
	o := t.servers[s.ID]
	// An entry of which only the remaining cold time differs, without a heartbeat, may have been computed when it was read.
	if o != nil && o.Beat == s.Beat && o.Cold != s.Cold && t.IsRenewal(s) {
		s.RenewedAt = o.RenewedAt
	} else {
		s.RenewedAt = now
	}
	if d, ok := t.departed[s.ID]; o == nil && ok {
		o = d.server
	}
	if s.Cold > 0 && s.ColdUntil.IsZero() {
		s.ColdUntil = now.Add(s.Cold)
	}
	s.FirstSeen, s.Appeared = now, began
	if o != nil && o.Born == s.Born {
		s.Appeared = false
		if !o.FirstSeen.IsZero() {
			s.inherit(o)
		}
	}
}

func (t *Tracker) remove(now time.Time, id string) {
	s := *t.servers[id]
	_, leaving := t.leaving[id]
	// Of a store that shows no heartbeats, only an entry that lapses long enough after an outage tells that it was not renewed.
	hidden := now.Sub(t.heartbeatSeen) > t.renewalTimeout
	renewable := s.RenewedAt.After(t.storeRecovered) || hidden && now.Sub(t.storeRecovered) > t.renewalTimeout
	s.Expired = s.State == Ready && !leaving && !t.storeDown && !t.renewalsHidden && now.Sub(t.renewalsVisibleSince) > t.renewalTimeout && renewable && now.Sub(s.RenewedAt) > t.renewalTimeout
	t.departed[id] = departure{server: &s, at: now}
	delete(t.servers, id)
	delete(t.expired, id)
}

// Removal is why an entry was removed, as one daemon tells another.
type Removal uint8

const (
	// UnknownRemoval is what a daemon tells that does not know, and what those of earlier builds tell.
	UnknownRemoval Removal = iota
	// NotExpired means that the entry was removed without expiring, as far as the daemon has seen.
	NotExpired
	// Expired means that the entry was not renewed in time. Only daemons that read heartbeats can tell.
	Expired
)

// Departure is what one daemon tells another of a removed entry: enough to ask the backend server for its state. Fields may be added.
type Departure struct {
	ID       string         `cbor:"id"`
	Service  string         `cbor:"service"`
	Addr     netip.AddrPort `cbor:"addr"`
	Born     int64          `cbor:"born"`
	Draining bool           `cbor:"draining,omitempty"`
	Group    string         `cbor:"group,omitempty"`
	Epoch    int64          `cbor:"epoch,omitempty"`
	Rank     int            `cbor:"rank,omitempty"`
	State    GroupState     `cbor:"state,omitempty"`
	Removal  Removal        `cbor:"removal,omitempty"`
	// Age is the time since the removal.
	Age time.Duration `cbor:"age"`
}

// Departures returns the entries that were removed lately, sorted by id.
func (t *Tracker) Departures(now time.Time) []Departure {
	out := make([]Departure, 0, len(t.departed))
	for _, id := range slices.Sorted(maps.Keys(t.departed)) {
		d := t.departed[id]
		s := d.server
		out = append(out, Departure{
			ID: id, Service: s.Service, Addr: s.Addr, Born: s.Born, Draining: s.State == Draining,
			Group: s.Group, Epoch: s.Epoch, Rank: s.Rank, State: s.Membership.State, Removal: s.removal(), Age: now.Sub(d.at),
		})
	}
	return out
}

// removal returns why the entry of a departed server was removed.
func (s *Server) removal() Removal {
	switch {
	case s.Expired:
		return Expired
	case s.Hearsay:
		return UnknownRemoval
	}
	return NotExpired
}

// AddDepartures adds entries that were removed before this daemon began to read, as another one tells. They do not replace what this
// daemon has read itself; of what several tell, the most definite reason counts. It reports whether the view changes.
func (t *Tracker) AddDepartures(now time.Time, all []Departure) (changed bool) {
	for _, d := range all {
		if t.servers[d.ID] != nil || d.Age < 0 || d.Age > departedRetention {
			continue
		}
		if known, ok := t.departed[d.ID]; ok && (!known.told || known.server.Born != d.Born || d.Removal <= known.server.removal()) {
			continue
		}
		s := &Server{
			ID: d.ID, Service: d.Service, Addr: d.Addr, Born: d.Born, Hearsay: d.Removal == UnknownRemoval, Expired: d.Removal == Expired,
			Membership: Membership{Group: d.Group, Epoch: d.Epoch, Rank: d.Rank, State: d.State},
		}
		if d.Draining {
			s.State = Draining
		}
		t.departed[d.ID] = departure{s, now.Add(-d.Age), true}
		changed = true
	}
	return changed
}

// View builds the current view. size returns the sizes of groups.
func (t *Tracker) View(now time.Time, size Size) *View {
	v := &View{Read: now, HeartbeatsRead: t.heartbeatsRead, StoreRecovered: t.storeRecovered, RenewalsHidden: t.renewalsHidden, RenewalsVisibleSince: t.renewalsVisibleSince, HeartbeatSeen: t.heartbeatSeen, Servers: maps.Clone(t.servers), Services: map[string][]*Server{}, Groups: map[string][]*Group{}, Departed: make(map[string]*Server, len(t.departed))}
	for id, d := range t.departed {
		v.Departed[id] = d.server
	}
	for id, n := range t.leaving {
		if s := v.Servers[id]; s != nil && s.State == Ready && n.appliesTo(s) {
			leaver := *s
			leaver.State = Draining
			v.Servers[id] = &leaver
		}
	}
	// Names of groups are unique only within a service.
	type groupKey struct {
		service, name string
		epoch         int64
	}
	groups := map[groupKey]*Group{}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		s := v.Servers[id]
		if s.State == Ready {
			v.Services[s.Service] = append(v.Services[s.Service], s)
		}
		if s.Group == "" {
			continue
		}
		key := groupKey{s.Service, s.Group, s.Epoch}
		g := groups[key]
		if g == nil {
			g = &Group{Name: s.Group, Epoch: s.Epoch, Key: GroupKey(s.Group, s.Epoch)}
			groups[key] = g
		}
		for len(g.Members) <= s.Rank {
			g.Members = append(g.Members, nil)
		}
		g.Members[s.Rank] = s
		if s.Rank == 0 && s.State == Ready && s.Membership.State == Open {
			g.Head, g.Model = s, s.Model
		}
	}
	for _, g := range groups {
		if g.Head == nil {
			continue
		}
		for len(g.Members) < size(g.Head.Service, g.Model) {
			g.Members = append(g.Members, nil)
		}
		v.Groups[g.Head.Service] = append(v.Groups[g.Head.Service], g)
	}
	for _, list := range v.Groups {
		slices.SortFunc(list, func(a, b *Group) int { return cmp.Compare(a.Name, b.Name) })
	}
	return v
}
