// Package share divides the slots of a model group between the daemons that use it.
//
// Each group has a home daemon, the first live one in rendezvous order of the group's name. The home owns the division
// of the group's slots; it lends them to borrowers for a short time, which also is their permission to use the group.
package share

import (
	"time"

	"flamingorudder.example/internal/note"
)

// Period is how often a borrower reports its demand while it wants more slots than it holds, and IdlePeriod how often
// otherwise. A demand that turns from met to unmet is reported at once, at most once in MinPeriod.
const (
	Period     = 250 * time.Millisecond
	IdlePeriod = 2 * time.Second
	MinPeriod  = 50 * time.Millisecond
	// Term is how long a grant lasts.
	Term = 1500 * time.Millisecond
	// Margin is how much longer the home counts a grant as held. A borrower counts Term from when it sent the demand,
	// which is before the home sent the grant, so by equal clock rates it stops first; the margin covers a request that
	// it sent to the engine just before, and clock rates that differ.
	Margin = 50 * time.Millisecond
	// Renew is how often a borrower that runs requests reports when it wants no more, so that one lost message does not
	// end its permission. IdlePeriod is longer than Term and serves only borrowers without requests.
	Renew = Term / 2
	// Silence is how long a borrower waits for an answer before it takes the home to be lost.
	Silence = time.Second
)

// Line is the demand of one organisation at one rank, in slots.
type Line struct {
	Rank note.Rank `cbor:"1,keyasint"`
	// Org is the organisation's index in the sorted list of names of the configuration at the demand's revision.
	Org int `cbor:"2,keyasint"`
	// Waiting and Running count requests, each of which takes one slot.
	Waiting int `cbor:"3,keyasint,omitempty"`
	Running int `cbor:"4,keyasint,omitempty"`
}

// Demand is what a borrower reports to a group's home.
type Demand struct {
	Daemon     string `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// Revision is the configuration that the lines' indexes refer to.
	Revision uint64 `cbor:"4,keyasint"`
	// Lines holds only lines that are not zero, ordered by rank and organisation.
	Lines []Line `cbor:"5,keyasint,omitempty"`
	// Seq orders the demands of a borrower, also across its restarts. The grant carries it back.
	Seq uint64 `cbor:"6,keyasint"`
	// Turn is that of the grant in use when it came from the daemon asked, otherwise 0.
	Turn uint64 `cbor:"7,keyasint,omitempty"`
	// Borrowers is the number of borrowers in the last accepted grant; a new home derives base shares from it.
	Borrowers int `cbor:"8,keyasint,omitempty"`
}

// Grant lends slots of a group. It also is the permission to use this generation of the group.
type Grant struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// Caps bounds how many requests of each rank the borrower may have running on the group. The caps of overnight work
	// add up to no more than the slots that more urgent work leaves; the caps of more urgent ranks include headroom,
	// since engines pause less urgent requests for them.
	Caps [note.Ranks]int `cbor:"3,keyasint"`
	// For is how long the grant lasts from when the demand it answers was sent, so that clocks need not agree.
	For time.Duration `cbor:"4,keyasint"`
	// Seq is that of the demand that the grant answers.
	Seq uint64 `cbor:"5,keyasint"`
	// Turn orders the grants of a home to a borrower; two grants may answer the same demand.
	Turn uint64 `cbor:"6,keyasint"`
	// Floors is how many of the borrower's requests of each rank run within the rank's floor. Engines must not pause
	// those for more urgent work that its organisation has queued up.
	Floors [note.Ranks]int `cbor:"9,keyasint"`
	// Extra is which ranks may exceed their cap by one request of an organisation that has no other request waiting at
	// the borrower. Engines pause queued work of the rank for it.
	Extra [note.Ranks]bool `cbor:"8,keyasint"`
	// Borrowers gives the base share when the home is lost.
	Borrowers int `cbor:"7,keyasint"`
}

// Withdrawn tells a borrower that the generation of the group is no longer lent.
type Withdrawn struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
}
