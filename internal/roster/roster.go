// Package roster is a daemon's view of the backend servers, as they register themselves in the platform's store.
//
// A View is immutable. Tracker owns the entries and builds a new View after each read of the store, so requests read a
// consistent list without locks.
package roster

import (
	"net/netip"
	"strconv"
	"time"
)

// State is what a backend server says of itself.
type State uint8

// States of a backend server.
const (
	Ready State = iota
	Draining
)

func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// GroupState is where a member is in the life of its model group.
type GroupState uint8

// States of a member's group.
const (
	NoGroup GroupState = iota
	Joining
	// Joined members hold the weights and wait for the head to open.
	Joined
	Open
	Closing
	Broken
)

func (s GroupState) String() string {
	return [...]string{"none", "joining", "joined", "open", "closing", "broken"}[s]
}

// Membership is a member's place in a model group.
type Membership struct {
	Group string
	Epoch int64
	// Rank is the member's place in the group; 0 is the head, which takes the requests.
	Rank  int
	State GroupState
}

// Server is one backend server in one lifetime.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	// DataCentre is empty when the entry names none.
	DataCentre string
	State      State
	// Born tells lifetimes of one id apart, in Unix milliseconds.
	Born  int64
	Slots int
	// Domain is the fabric domain; groups within one domain run at full speed.
	Domain string
	// Staged are the models whose weights are on the host.
	Staged []string
	// Model is the model that the backend server holds now.
	Model string
	Membership
	// Beat counts the heartbeats of this lifetime.
	Beat int64
	// Lapsed is set on departed servers whose entry ran out in silence; the others left in order and may work on for a
	// while.
	Lapsed bool
	// Renewed is when a change of the entry was last read; entries are renewed with each heartbeat.
	Renewed time.Time
}

// Group is a model group whose head takes requests.
type Group struct {
	Name  string
	Epoch int64
	Model string
	Head  *Server
	// Members are those that report this group and epoch, by rank; a nil member is missing from the list.
	Members []*Server
	// Key names the group among all that were formed; a later one may bear the same name in another epoch.
	Key string
}

// GroupKey is the key of a group of which only its name and epoch are at hand.
func GroupKey(name string, epoch int64) string { return name + "/" + strconv.FormatInt(epoch, 10) }

// Whole tells whether every member is listed.
func (g *Group) Whole() bool {
	for _, m := range g.Members {
		if m == nil {
			return false
		}
	}
	return true
}

// View is the backend servers at one moment.
type View struct {
	// Read is when the store was read.
	Read time.Time
	// Back is when the store last came back; entries could not be renewed before. It is zero before the first outage.
	Back time.Time
	// Partial is set while renewals of entries are not read, since another daemon tells only of other changes; Whole is when
	// that last ended.
	Partial bool
	Whole   time.Time
	Servers map[string]*Server
	// Departed holds those whose entries were removed lately. They get no requests, but may still run.
	Departed map[string]*Server
	// Services lists the ready backend servers of each service in the order of their ids.
	Services map[string][]*Server
	// Groups lists the open groups of each service, whole or not, in the order of their names.
	Groups map[string][]*Group
}

// Size tells how many members a group of the model has; zero when it is not configured.
type Size func(service, model string) int
