package roster

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"
)

// Tracker joins changes of single entries into views. It is not safe for concurrent use.
//
// While the store is away, entries lapse although their backend servers live. Such entries are kept for a grace period:
// they are used until the store has been back for that long, and are then taken as gone. No entry lapses in an outage that
// is shorter than a live backend server's silence, so what goes then has gone for good.
type Tracker struct {
	servers map[string]*Server
	// lapsed holds entries that were removed within the grace after an outage.
	lapsed map[string]bool
	// holding is set while the store is away.
	holding bool
	// back is when the store last came back; zero before the first outage. kept is until when entries that lapsed are.
	back, kept time.Time
	// partial is set while what is read lacks renewals, whole is when that last ended; zero when it never was so.
	partial bool
	whole   time.Time
	// read is when the entries were last read.
	read time.Time
	// departed holds removed entries, with the time of their removal.
	departed map[string]departure
	// leaving holds the backend servers whose answers say that they will end, which their entries may tell later or never.
	leaving map[string]notice
	// grace is how long backend servers have to register again after an outage.
	grace time.Duration
	// silence is how long a live backend server may go without renewing its entry.
	silence time.Duration
}

type departure struct {
	server *Server
	at     time.Time
}

// notice is that a backend server said that it will end.
type notice struct {
	// born is the lifetime that said so, zero when it is not known.
	born int64
	at   time.Time
	// own is set when this daemon had it from the backend server itself.
	own bool
}

// of tells whether the notice is of this lifetime of its backend server.
func (n notice) of(s *Server) bool { return n.born == 0 || n.born == s.Born }

// Leaver names a backend server in one lifetime that will end; Born is zero when it is not known.
type Leaver struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

const (
	// tellFor is how long a notice is told to other daemons; several digests of the largest fleets are sent meanwhile.
	tellFor = 4 * time.Second
	// maxTold bounds how many are told at once; the entries tell of most.
	maxTold = 32
)

// Leave notes that a backend server said that it will end, to this daemon if own is set. It reports whether that changes the
// view. A lifetime that said so never takes it back.
func (t *Tracker) Leave(now time.Time, l Leaver, own bool) bool {
	if o, ok := t.leaving[l.ID]; ok && (o.born == l.Born || l.Born == 0) {
		return false
	}
	n := notice{l.Born, now, own}
	s := t.servers[l.ID]
	if s != nil && !n.of(s) {
		return false // of an earlier lifetime
	}
	t.leaving[l.ID] = n
	return s == nil || s.State == Ready
}

// Leavers returns what other daemons should hear of: the backend servers that told this daemon that they will end, and whose
// entries do not say so yet.
func (t *Tracker) Leavers(now time.Time) []Leaver {
	var out []Leaver
	for id, n := range t.leaving {
		if s := t.servers[id]; n.own && now.Sub(n.at) <= tellFor && s != nil && s.State == Ready && len(out) < maxTold {
			out = append(out, Leaver{ID: id, Born: n.born})
		}
	}
	return out
}

// departedFor is how long a removed entry is remembered: longer than any cut from the store that backend servers are
// expected to live through.
const departedFor = 30 * time.Second

// NewTracker returns a tracker that keeps lapsed entries for grace after an outage of the store. A live backend server
// renews its entry within silence.
func NewTracker(grace, silence time.Duration) *Tracker {
	return &Tracker{servers: map[string]*Server{}, lapsed: map[string]bool{}, departed: map[string]departure{}, leaving: map[string]notice{}, grace: grace, silence: silence}
}

// Hold notes that the store does not answer.
func (t *Tracker) Hold() { t.holding = true }

// Change is one entry that changed. Server is nil when the entry was removed or cannot be read.
type Change struct {
	ID     string
	Server *Server
}

// Replace takes the whole list as read at now.
func (t *Tracker) Replace(now time.Time, all []*Server) {
	seen := make(map[string]bool, len(all))
	changes := make([]Change, 0, len(all))
	for _, s := range all {
		seen[s.ID] = true
		if o := t.servers[s.ID]; o != nil && sameEntry(o, s) {
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

// sameEntry tells whether a whole read brought an entry that has not changed; it must not count as renewed.
func sameEntry(a, b *Server) bool {
	b.Renewed = a.Renewed
	return a.Beat == b.Beat && reflect.DeepEqual(a, b)
}

// Back notes that the store answers; entries that lapsed during a long outage get the grace from its end.
func (t *Tracker) Back(now time.Time) {
	if !t.holding {
		return
	}
	t.holding, t.back = false, now
	if now.Sub(t.read) > t.silence {
		t.kept = now.Add(t.grace)
	}
}

// Whole notes whether the changes that come next hold every renewal.
func (t *Tracker) Whole(now time.Time, whole bool) {
	if whole && t.partial {
		t.whole = now
	}
	t.partial = !whole
}

// Partial tells whether the changes that were read last lack renewals.
func (t *Tracker) Partial() bool { return t.partial }

// Renews tells whether an entry differs from what is known only by its heartbeat.
func (t *Tracker) Renews(s *Server) bool {
	o := t.servers[s.ID]
	if o == nil {
		return false
	}
	n := *s
	n.Beat, n.Renewed = o.Beat, o.Renewed
	return reflect.DeepEqual(*o, n)
}

// Apply takes changed entries as read at now.
func (t *Tracker) Apply(now time.Time, changes []Change) {
	t.read = now
	for _, c := range changes {
		switch {
		case c.Server != nil:
			c.Server.Renewed = now
			t.servers[c.ID] = c.Server
			delete(t.lapsed, c.ID)
			delete(t.departed, c.ID)
		case t.servers[c.ID] == nil:
		case now.Before(t.kept) && t.servers[c.ID].State == Ready:
			t.lapsed[c.ID] = true
		default:
			t.remove(now, c.ID)
		}
	}
	for id, d := range t.departed {
		if now.Sub(d.at) > departedFor {
			delete(t.departed, id)
		}
	}
	maps.DeleteFunc(t.leaving, func(id string, n notice) bool {
		if s := t.servers[id]; s != nil {
			return !n.of(s) // it has started again
		}
		return now.Sub(n.at) > departedFor
	})
	if !now.Before(t.kept) {
		for id := range t.lapsed {
			t.remove(now, id)
		}
	}
}

func (t *Tracker) remove(now time.Time, id string) {
	s := *t.servers[id]
	_, leaving := t.leaving[id]
	s.Lapsed = s.State == Ready && !leaving && !t.holding && !t.partial && now.Sub(t.whole) > t.silence && s.Renewed.After(t.back) && now.Sub(s.Renewed) > t.silence
	t.departed[id] = departure{&s, now}
	delete(t.servers, id)
	delete(t.lapsed, id)
}

// View builds the current view. size tells the sizes of groups.
func (t *Tracker) View(now time.Time, size Size) *View {
	v := &View{Read: now, Back: t.back, Partial: t.partial, Whole: t.whole, Servers: maps.Clone(t.servers), Services: map[string][]*Server{}, Groups: map[string][]*Group{}, Departed: make(map[string]*Server, len(t.departed))}
	for id, d := range t.departed {
		v.Departed[id] = d.server
	}
	for id, n := range t.leaving {
		if s := v.Servers[id]; s != nil && s.State == Ready && n.of(s) {
			leaver := *s
			leaver.State = Draining
			v.Servers[id] = &leaver
		}
	}
	groups := map[Membership]*Group{}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		s := v.Servers[id]
		if s.State == Ready {
			v.Services[s.Service] = append(v.Services[s.Service], s)
		}
		if s.Group == "" {
			continue
		}
		key := Membership{Group: s.Group, Epoch: s.Epoch}
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
