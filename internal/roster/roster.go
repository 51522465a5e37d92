// Package roster is a daemon's view of the backend servers that are registered in the platform's store.
//
// A View is immutable. Tracker owns the entries and builds a new View after each read of the store, so requests read a
// consistent list without locks.
package roster

import (
	"net/netip"
	"strconv"
	"time"
)

// State is the state that a backend server reports.
type State uint8

// States of a backend server.
const (
	Ready State = iota
	Draining
)

func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// GroupState is the state of a member within its model group.
type GroupState uint8

// States of a member within its group.
const (
	NoGroup GroupState = iota
	Joining
	// Joined members have loaded the weights and wait for the head to open the group.
	Joined
	Open
	Closing
	Broken
)

func (s GroupState) String() string {
	return [...]string{"none", "joining", "joined", "open", "closing", "broken"}[s]
}

// Membership is the position of a backend server in a model group.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the index of the member in the group. Rank 0 is the head, which receives the requests.
	Rank  int
	State GroupState
}

// Server is one lifetime of a backend server.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	// DataCentre is empty when the entry does not name a data centre.
	DataCentre string
	State      State
	// Born is the start time in Unix milliseconds. It distinguishes lifetimes with the same id.
	Born  int64
	Slots int
	// Domain is the fabric domain. Groups run at full speed only within one domain.
	Domain string
	// Staged lists the models whose weights are on the host.
	Staged []string
	// Model is the model that the backend server has loaded.
	Model string
	Membership
	// Beat counts the heartbeats of this lifetime.
	Beat int64
	// Cold is how much longer the server stays cold as its entry says, ColdUntil when that ends, counted from the read of the entry.
	// ColdInvalid is set if the entry has an invalid value.
	Cold        time.Duration
	ColdUntil   time.Time
	ColdInvalid bool
	// FirstSeen is when this daemon first read an entry of this lifetime. Appeared is set if it had read entries before without it,
	// so that the lifetime began at about that time.
	FirstSeen time.Time
	Appeared  bool
	// Expired is set on departed servers whose entry expired without renewal. The other departed servers left in order
	// and may continue to work for a while.
	Expired bool
	// Hearsay is set on departed servers that this daemon knows only from another one, which did not say whether the entry expired.
	Hearsay bool
	// RenewedAt is when a change of the entry was last read. Each heartbeat renews the entry.
	RenewedAt time.Time
}

// Group is a model group whose head accepts requests.
type Group struct {
	Name  string
	Epoch int64
	Model string
	Head  *Server
	// Members are the servers that report this group and epoch, indexed by rank. Missing members are nil.
	Members []*Server
	// Key identifies the group. A later group may have the same name in another epoch.
	Key string
}

// GroupKey returns the key of the group with the given name and epoch.
func GroupKey(name string, epoch int64) string { return name + "/" + strconv.FormatInt(epoch, 10) }

// Complete reports whether every member is registered.
func (g *Group) Complete() bool {
	for _, m := range g.Members {
		if m == nil {
			return false
		}
	}
	return true
}

// View is the set of backend servers at one moment.
type View struct {
	// Read is when this view was built, zero before the first read.
	Read time.Time
	// HeartbeatsRead is when the last read that shows all heartbeats was sent. Later heartbeats need not be in the view.
	HeartbeatsRead time.Time
	// StoreRecovered is when the store last recovered from an outage, during which entries could not be renewed. It is
	// zero before the first outage.
	StoreRecovered time.Time
	// RenewalsHidden is set while renewals of entries are not visible, because another daemon that reads the store
	// forwards only other changes. RenewalsVisibleSince is when that last ended.
	RenewalsHidden       bool
	RenewalsVisibleSince time.Time
	// HeartbeatSeen is when an entry was last read of which only the heartbeat had changed. It is zero if the store shows none.
	HeartbeatSeen time.Time
	Servers       map[string]*Server
	// Departed holds servers whose entries were removed recently. They get no requests, but may still run.
	Departed map[string]*Server
	// Services lists the ready backend servers of each service, sorted by id.
	Services map[string][]*Server
	// Groups lists the open groups of each service, complete or not, sorted by name.
	Groups map[string][]*Group
}

// Listed returns the backend servers of a service that get requests, or all ready ones if there are none: heads of open groups for a
// model service.
func (v *View) Listed(service string) []*Server {
	var heads []*Server
	for _, g := range v.Groups[service] {
		heads = append(heads, g.Head)
	}
	if len(heads) > 0 {
		return heads
	}
	return append([]*Server(nil), v.Services[service]...)
}

// Size returns the number of members of a group for the model, or zero when the model is not configured.
type Size func(service, model string) int
