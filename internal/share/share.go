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
	// Silence is how long a borrower waits for an answer before it takes the home to be lost.
	Silence = time.Second
)

// Line is the demand of one organisation at one rank, in slots.
type Line struct {
	Rank note.Rank
	// Org is the organisation's index in the sorted list of names of the configuration at the demand's revision.
	Org int
	// Waiting and Running count requests, each of which takes one slot.
	Waiting, Running int
}

// Demand is what a borrower reports to a group's home.
type Demand struct {
	Daemon     string
	Group      string
	Generation uint64
	// Revision is the configuration that the lines' indexes refer to.
	Revision uint64
	// Lines holds only lines that are not zero, ordered by rank and organisation.
	Lines []Line
}

// Grant lends slots of a group. It also is the permission to use this generation of the group.
type Grant struct {
	Group      string
	Generation uint64
	// Caps bounds how many requests of each rank the borrower may have running on the group. The caps of overnight work
	// add up to no more than the slots that more urgent work leaves; the caps of more urgent ranks include headroom,
	// since engines pause less urgent requests for them.
	Caps [note.Ranks]int
	// For is how long the grant lasts from when the demand it answers was sent, so that clocks need not agree.
	For time.Duration
}
