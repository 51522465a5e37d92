// Package share divides the slots of a model group between the daemons that use it.
//
// Each group has a home daemon: the first live daemon in the rendezvous order of the group's name. The home divides the
// group's slots and lends them to borrowers, the daemons that run requests on the group, by grants that expire after a
// short time. A grant is also the permission to use the group.
package share

import (
	"time"

	"flamingorudder.example/internal/note"
)

// Intervals between the reports of a borrower: ReportInterval while it wants more slots than it holds,
// IdleReportInterval otherwise. A demand that was met and becomes unmet is reported immediately, but not within
// MinReportInterval of the last report.
const (
	ReportInterval     = 250 * time.Millisecond
	IdleReportInterval = 2 * time.Second
	MinReportInterval  = 50 * time.Millisecond
	// GrantTTL is how long a grant lasts.
	GrantTTL = 1500 * time.Millisecond
	// GrantMargin is how much longer than GrantTTL the home counts a grant as in use. A borrower counts GrantTTL from
	// when it sent the demand, which is before the home sent the grant, so it stops first if both clocks run at the
	// same rate. The margin covers requests that the borrower sent to the engine just before it stopped, and
	// differences between clock rates.
	GrantMargin = 50 * time.Millisecond
	// RenewInterval is how often a borrower with running requests reports if it wants no more slots, so that one lost
	// message does not end its permission. IdleReportInterval is longer than GrantTTL and is used only without
	// requests.
	RenewInterval = GrantTTL / 2
	// AnswerTimeout is how long a borrower waits for an answer before it considers the home lost.
	AnswerTimeout = time.Second
)

// DemandLine is the demand of one organisation at one rank, in slots.
type DemandLine struct {
	Rank note.Rank `cbor:"1,keyasint"`
	// Org is the organisation's index in the sorted list of names of the configuration at Demand.Revision.
	Org int `cbor:"2,keyasint"`
	// Waiting and Running count requests; each request takes one slot.
	Waiting int `cbor:"3,keyasint,omitempty"`
	Running int `cbor:"4,keyasint,omitempty"`
}

// Demand is a borrower's report to the home of a group.
type Demand struct {
	Daemon     string `cbor:"1,keyasint"`
	Group      string `cbor:"2,keyasint"`
	Generation uint64 `cbor:"3,keyasint"`
	// Revision is the revision of the configuration that the indexes in Lines refer to.
	Revision uint64 `cbor:"4,keyasint"`
	// Lines holds the lines that are not zero, ordered by rank and organisation.
	Lines []DemandLine `cbor:"5,keyasint,omitempty"`
	// Seq orders the demands of a borrower, also across its restarts. The grant carries it back.
	Seq uint64 `cbor:"6,keyasint"`
	// GrantSeq is that of the grant in use if it came from the daemon that the demand is sent to, otherwise 0.
	GrantSeq uint64 `cbor:"7,keyasint,omitempty"`
	// Borrowers is the number of borrowers in the last accepted grant. A new home derives base shares from it.
	Borrowers int `cbor:"8,keyasint,omitempty"`
}

// Grant lends slots of a group. It is also the permission to use this generation of the group.
type Grant struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// Caps limits how many requests of each rank the borrower may have running on the group. The sum of the overnight
	// caps of all borrowers is at most the slots that more urgent work leaves. The caps of more urgent ranks include
	// headroom, since engines pause less urgent requests for them.
	Caps [note.NumRanks]int `cbor:"3,keyasint"`
	// TTL is how long the grant lasts, counted from when the demand it answers was sent, so that the clocks of the
	// daemons need not agree.
	TTL time.Duration `cbor:"4,keyasint"`
	// DemandSeq is the Seq of the demand that the grant answers.
	DemandSeq uint64 `cbor:"5,keyasint"`
	// GrantSeq orders the grants of a home to a borrower, since several grants may answer the same demand.
	GrantSeq uint64 `cbor:"6,keyasint"`
	// FloorSlots is how many of the borrower's requests of each rank run within the rank's floor. Engines must not pause
	// these for more urgent requests of an organisation that has queued up others.
	FloorSlots [note.NumRanks]int `cbor:"9,keyasint"`
	// MayExceedCap reports which ranks may exceed their cap by one request of an organisation that has no other request
	// waiting at the borrower. Engines pause a queued-up request of the rank for it.
	MayExceedCap [note.NumRanks]bool `cbor:"8,keyasint"`
	// Borrowers is the number of borrowers, from which the base share is derived if the home is lost.
	Borrowers int `cbor:"7,keyasint"`
}

// Withdrawn tells a borrower that a generation of a group is no longer lent.
type Withdrawn struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
}
