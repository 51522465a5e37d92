// Package registry tracks the other daemons of a deployment: their addresses and which of them are considered alive.
//
// Each daemon writes its own row to the table service and reads the others' rows; the platform's list of instances
// shows which of them still exist; messages between daemons update individual entries. A daemon that does not answer is
// suspect for a while and is then tried again, so no agreement on a list of live daemons is needed. Two daemons may
// disagree about which daemons are alive; what depends on that (the home of a group) is made safe by grants that
// expire.
package registry

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Entry describes one daemon.
type Entry struct {
	Name       string         `json:"name"`
	PeerAddr   netip.AddrPort `json:"peer"`
	CallerAddr netip.AddrPort `json:"caller"`
	// OperatorAddr is the daemon's address for operators; the zero value if it is unknown.
	OperatorAddr netip.AddrPort `json:"operator,omitzero"`
	DataCentre   string         `json:"data_centre"`
	// Boot increases with each start of the daemon.
	Boot uint64 `json:"boot"`
	// Leaving is whether the daemon is draining: it is assigned no new tasks, but still answers.
	Leaving bool `json:"leaving,omitempty"`
}

// SuspectTime is how long a daemon that did not answer is excluded. A daemon that was paused is included again after
// about this time.
const SuspectTime = 5 * time.Second

type record struct {
	Entry
	// suspectUntil is the time until which the daemon is excluded because it did not answer.
	suspectUntil time.Time
	// absent is whether the platform's list no longer contains the daemon; absentSince is when it disappeared.
	absent      bool
	absentSince time.Time
	// revision is the highest configuration revision that the daemon has reported to be in force.
	revision uint64
}

// Registry is a set of daemons. Its methods are safe for concurrent use.
type Registry struct {
	self   string
	mu     sync.Mutex
	byName map[string]*record
	// sorted holds the same records sorted by name, since Live is called about 30 times a second.
	sorted []*record
}

// New returns a registry that contains only this daemon.
func New(self Entry) *Registry {
	rec := &record{Entry: self}
	return &Registry{self: self.Name, byName: map[string]*record{self.Name: rec}, sorted: []*record{rec}}
}

// Update adds or updates the entry of another daemon. An entry from an earlier start of that daemon is ignored.
func (r *Registry) Update(e Entry) {
	if e.Name == "" || e.Name == r.self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.byName[e.Name]
	switch {
	case rec == nil:
		rec = &record{Entry: e}
		r.byName[e.Name] = rec
		i, _ := slices.BinarySearchFunc(r.sorted, e.Name, func(rec *record, name string) int { return strings.Compare(rec.Name, name) })
		r.sorted = slices.Insert(r.sorted, i, rec)
	case e.Boot < rec.Boot:
	default:
		if e.Boot > rec.Boot {
			rec.suspectUntil = time.Time{} // A restarted daemon counts as a new one.
		}
		if !e.OperatorAddr.IsValid() && e.Boot == rec.Boot {
			e.OperatorAddr = rec.OperatorAddr // Messages of earlier versions do not contain it.
		}
		rec.Entry = e
	}
}

// RecordMessage records that a message arrived from a daemon, and which configuration revision is in force there.
func (r *Registry) RecordMessage(name string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.byName[name]; rec != nil {
		rec.suspectUntil, rec.absent = time.Time{}, false
		rec.revision = max(rec.revision, revision)
	}
}

// MarkSuspect excludes a daemon for SuspectTime because it does not answer. It reports whether the daemon was not
// suspect before.
func (r *Registry) MarkSuspect(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.byName[name]
	if rec == nil || name == r.self {
		return false
	}
	newlySuspect := !rec.suspectUntil.After(now)
	rec.suspectUntil = now.Add(SuspectTime)
	return newlySuspect
}

// ApplyList applies the names of the daemons on the platform's list. Daemons that are not on it are excluded. An empty
// list is considered faulty and ignored.
func (r *Registry) ApplyList(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for name, rec := range r.byName {
		wasAbsent := rec.absent
		if rec.absent = !listed[name] && name != r.self; rec.absent && !wasAbsent {
			rec.absentSince = now
		}
	}
}

// RemoveAbsent removes the daemons that have been absent for at least age and returns their names. Replacement
// instances have new names, so the registry would otherwise grow without limit.
func (r *Registry) RemoveAbsent(now time.Time, age time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	r.sorted = slices.DeleteFunc(r.sorted, func(rec *record) bool {
		expired := rec.absent && now.Sub(rec.absentSince) >= age
		if expired {
			names = append(names, rec.Name)
			delete(r.byName, rec.Name)
		}
		return expired
	})
	return names
}

// Live returns the sorted names of the daemons that are considered alive and are not leaving. It always includes this
// daemon.
func (r *Registry) Live(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.sorted))
	for _, rec := range r.sorted {
		if rec.Name == r.self || (!rec.absent && !rec.Leaving && !rec.suspectUntil.After(now)) {
			names = append(names, rec.Name)
		}
	}
	return names
}

// Entry returns the entry of a daemon by name.
func (r *Registry) Entry(name string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.byName[name]
	if rec == nil {
		return Entry{}, false
	}
	return rec.Entry, true
}

// Status is an entry together with the daemon's state.
type Status struct {
	Entry
	Suspect  bool   `json:"suspect,omitempty"`
	Absent   bool   `json:"absent,omitempty"`
	Revision uint64 `json:"revision"`
}

// All returns every daemon, sorted by name.
func (r *Registry) All(now time.Time) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Status
	for _, rec := range r.sorted {
		out = append(out, Status{Entry: rec.Entry, Suspect: rec.suspectUntil.After(now), Absent: rec.absent, Revision: rec.revision})
	}
	return out
}

// LivePeerAddrs returns the peer addresses of the live daemons except this one.
func (r *Registry) LivePeerAddrs(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, name := range r.Live(now) {
		if e, ok := r.Entry(name); ok && name != r.self && e.PeerAddr.IsValid() {
			out = append(out, e.PeerAddr)
		}
	}
	return out
}
