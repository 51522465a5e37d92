// Package registry is a daemon's view of the other daemons of its deployment: where they can be reached and which of
// them are taken to be alive.
//
// Each daemon writes a row of its own to the table service and reads the others' rows; the platform's list of
// instances tells which of them still exist; messages between daemons keep single entries fresh. A daemon that does not
// answer is suspect for a while and is then tried again, so no list of live daemons has to be agreed. Two daemons may
// disagree about who is alive; what depends on it (the home of a group) is made safe by grants that lapse.
package registry

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Entry is one daemon.
type Entry struct {
	Name   string         `json:"name"`
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
	// Operator is where operators reach the daemon; the zero value when it is not known.
	Operator   netip.AddrPort `json:"operator,omitzero"`
	DataCentre string         `json:"data_centre"`
	// Boot differs each time that the daemon starts, and grows.
	Boot uint64 `json:"boot"`
	// Leaving is whether the daemon is draining: it takes no new duties, but still answers.
	Leaving bool `json:"leaving,omitempty"`
}

// SuspectTime is how long a daemon that did not answer is left out. A paused daemon comes back in about this time.
const SuspectTime = 5 * time.Second

type known struct {
	Entry
	// suspect is until when the daemon is left out.
	suspect time.Time
	// absent is whether the platform's list no longer names the daemon, and since when.
	absent bool
	since  time.Time
	// revision is the configuration that the daemon said was in force there.
	revision uint64
}

// Registry is a set of daemons. Its methods may be called from several goroutines.
type Registry struct {
	self string
	mu   sync.Mutex
	all  map[string]*known
	// sorted holds the same by name: the live ones are asked for some 30 times a second.
	sorted []*known
}

// New returns a registry that holds the daemon itself.
func New(self Entry) *Registry {
	k := &known{Entry: self}
	return &Registry{self: self.Name, all: map[string]*known{self.Name: k}, sorted: []*known{k}}
}

// Learn takes in what is known of a daemon. An entry of an earlier start of the daemon is ignored.
func (r *Registry) Learn(e Entry) {
	if e.Name == "" || e.Name == r.self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.all[e.Name]
	switch {
	case k == nil:
		k = &known{Entry: e}
		r.all[e.Name] = k
		i, _ := slices.BinarySearchFunc(r.sorted, e.Name, func(k *known, name string) int { return strings.Compare(k.Name, name) })
		r.sorted = slices.Insert(r.sorted, i, k)
	case e.Boot < k.Boot:
	default:
		if e.Boot > k.Boot {
			k.suspect = time.Time{} // A restarted daemon is a new one.
		}
		if !e.Operator.IsValid() && e.Boot == k.Boot {
			e.Operator = k.Operator // A message of an earlier version does not carry it.
		}
		k.Entry = e
	}
}

// Heard notes that a daemon has sent something, and which revision it has in force.
func (r *Registry) Heard(name string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.all[name]; k != nil {
		k.suspect, k.absent = time.Time{}, false
		k.revision = max(k.revision, revision)
	}
}

// Suspect leaves a daemon out for a while, because it does not answer. It reports whether the daemon was not suspect
// before.
func (r *Registry) Suspect(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.all[name]
	if k == nil || name == r.self {
		return false
	}
	fresh := !k.suspect.After(now)
	k.suspect = now.Add(SuspectTime)
	return fresh
}

// Present takes in the names of daemons on the platform's list. Daemons that are not on it are left out; a list without
// any daemon is taken for a fault of the list.
func (r *Registry) Present(now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	here := make(map[string]bool, len(names))
	for _, name := range names {
		here[name] = true
	}
	for name, k := range r.all {
		was := k.absent
		if k.absent = !here[name] && name != r.self; k.absent && !was {
			k.since = now
		}
	}
}

// Forget drops the daemons that have been absent for a while and returns their names. Instances are replaced under new
// names, so entries would grow without end otherwise.
func (r *Registry) Forget(now time.Time, age time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	r.sorted = slices.DeleteFunc(r.sorted, func(k *known) bool {
		old := k.absent && now.Sub(k.since) >= age
		if old {
			names = append(names, k.Name)
			delete(r.all, k.Name)
		}
		return old
	})
	return names
}

// Live returns the names of the daemons that are taken to be alive and not leaving, sorted. The daemon itself is always
// one of them.
func (r *Registry) Live(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.sorted))
	for _, k := range r.sorted {
		if k.Name == r.self || (!k.absent && !k.Leaving && !k.suspect.After(now)) {
			names = append(names, k.Name)
		}
	}
	return names
}

// Entry returns a daemon by its name.
func (r *Registry) Entry(name string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.all[name]
	if k == nil {
		return Entry{}, false
	}
	return k.Entry, true
}

// Status is an entry with what is known of its state.
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
	for _, k := range r.sorted {
		out = append(out, Status{Entry: k.Entry, Suspect: k.suspect.After(now), Absent: k.absent, Revision: k.revision})
	}
	return out
}

// Others returns the peer addresses of the live daemons other than this one.
func (r *Registry) Others(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, name := range r.Live(now) {
		if e, ok := r.Entry(name); ok && name != r.self && e.Peer.IsValid() {
			out = append(out, e.Peer)
		}
	}
	return out
}
