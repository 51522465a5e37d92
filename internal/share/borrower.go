package share

import (
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// maxSentDemands is how many demands a borrower keeps to match grants with: as many as it can send within one GrantTTL.
const maxSentDemands = int(GrantTTL/MinReportInterval) + 2

// A borrower that has moved on to another daemon asks the first one again after a backoff that doubles between these
// limits. Borrowers thus meet at one home after a fault, while a link that stays cut costs little.
const (
	minReturnBackoff = 5 * time.Second
	maxReturnBackoff = time.Minute
)

type sentDemand struct {
	seq uint64
	at  time.Time
	to  string
}

// Report is a demand and the daemon to send it to.
type Report struct {
	To     string
	Demand Demand
}

// Borrower implements a daemon's side of the slot lending for one group. Self and Group must be set before use. Each
// method that takes now may be called at any time, but now must not decrease. Due returns when to call Step if nothing
// else happens before.
type Borrower struct {
	Self, Group string

	generation    uint64
	slots         int
	homes         []string
	homeIndex     int
	returnAt      time.Time
	returnBackoff time.Duration

	revision uint64
	lines    []DemandLine
	unmet    bool
	// reportedTotal is the number of waiting and running requests in the last report, reportedByRank the number by
	// rank.
	reportedTotal  int
	reportedByRank [note.NumRanks]int

	seq           uint64
	sentDemands   [maxSentDemands]sentDemand
	nextSent      int
	lastSent      time.Time
	lastStep      time.Time
	awaitingSince time.Time
	reportNow     bool
	homeLost      bool

	grant        Grant
	grantedBy    string
	grantExpiry  time.Time
	minDemandSeq uint64

	presentAt time.Time
}

// SetGeneration sets the generation of the group to use and its slots. A new generation ends the current grant and the
// base share.
func (b *Borrower) SetGeneration(generation uint64, slots int) {
	b.slots = slots
	if generation != b.generation {
		b.generation = generation
		b.grant, b.grantedBy, b.grantExpiry, b.presentAt = Grant{}, "", time.Time{}, time.Time{}
		b.reportNow = true
	}
}

// SetHomes sets the daemons to ask, in order. After a change the borrower asks the first one again.
func (b *Borrower) SetHomes(order []string) {
	if slices.Equal(order, b.homes) {
		return
	}
	asked := b.currentHome()
	b.homes, b.homeIndex, b.returnBackoff = slices.Clone(order), 0, 0
	if b.currentHome() != asked {
		b.awaitingSince, b.reportNow = time.Time{}, true
	}
}

// SetDemand sets the waiting and running requests. The caller must call Step next.
func (b *Borrower) SetDemand(now time.Time, revision uint64, lines []DemandLine) {
	before := countRunning(b.lines)
	caps, _ := b.Caps(now)
	over := b.exceeds(caps)
	b.revision = revision
	b.lines = append(b.lines[:0], lines...)
	// A slot that the home has reclaimed is now free, so the home can lend it again.
	if over && countRunning(b.lines) < before {
		b.reportNow = true
	}
}

// RecordPresence records that this daemon's own probe found every member of a generation present at time now.
func (b *Borrower) RecordPresence(now time.Time, generation uint64) {
	if generation == b.generation {
		b.presentAt = now
	}
}

// Withdraw stops the use of a generation until a later grant or a later probe allows it again.
func (b *Borrower) Withdraw(now time.Time, from string, w Withdrawn) {
	if w.Generation != b.generation || w.Group != b.Group {
		return
	}
	if from == b.currentHome() {
		b.awaitingSince, b.homeLost = time.Time{}, false
	}
	b.grantExpiry, b.presentAt, b.grantedBy, b.grant.GrantSeq = now, time.Time{}, "", 0
	// Rejects grants in transit, which answer earlier demands.
	b.minDemandSeq = b.seq + 1
}

// Accept handles a grant from a daemon and reports whether the grant is now in use.
func (b *Borrower) Accept(now time.Time, from string, g Grant) bool {
	if g.Group != b.Group || g.Generation != b.generation || g.DemandSeq < b.minDemandSeq ||
		g.DemandSeq == b.minDemandSeq && g.GrantSeq <= b.grant.GrantSeq {
		return false
	}
	i := slices.IndexFunc(b.sentDemands[:], func(s sentDemand) bool { return s.seq == g.DemandSeq && s.to == from })
	if g.DemandSeq == 0 || i < 0 {
		return false
	}
	until := b.sentDemands[i].at.Add(min(g.TTL, GrantTTL))
	if !now.Before(until) {
		return false
	}
	// The home lends the slots again only after a report that the lower cap is in use.
	lower := now.Before(b.grantExpiry) && g.Caps[note.RankOvernight] < b.grant.Caps[note.RankOvernight]
	b.reportNow = b.reportNow || lower
	b.grant, b.grantedBy, b.grantExpiry, b.minDemandSeq = g, from, until, g.DemandSeq
	if from == b.currentHome() {
		b.awaitingSince, b.homeLost = time.Time{}, false
		if b.homeIndex == 0 {
			b.returnBackoff = 0
		}
	}
	b.unmet = b.wantsMore(now)
	return true
}

// Caps returns how many requests of each rank may run on the group now, and whether the group may be used at all.
//
// Without a grant, while the home is lost, the borrower may use a base share if its own probe found all members present
// within the last GrantTTL. Engines pause less urgent work, so live work and bookings may each fill the base share;
// overnight work gets what they leave.
func (b *Borrower) Caps(now time.Time) ([note.NumRanks]int, bool) {
	if now.Before(b.grantExpiry) {
		return b.grant.Caps, true
	}
	if !b.homeLost || b.presentAt.IsZero() || !now.Before(b.presentAt.Add(GrantTTL)) || b.slots < 1 {
		return [note.NumRanks]int{}, false
	}
	base := max(1, b.slots/max(1, b.grant.Borrowers))
	caps := [note.NumRanks]int{base, base, base}
	for _, l := range b.lines {
		if l.Rank < note.RankOvernight {
			caps[note.RankOvernight] -= l.Waiting + l.Running
		}
	}
	caps[note.RankOvernight] = max(0, caps[note.RankOvernight])
	return caps, true
}

// FloorSlots returns how many requests of each rank run within the rank's floor now. Without a grant there are none.
func (b *Borrower) FloorSlots(now time.Time) [note.NumRanks]int {
	if now.Before(b.grantExpiry) {
		return b.grant.FloorSlots
	}
	return [note.NumRanks]int{}
}

// MayExceedCap returns which ranks may exceed their cap by one request now; see Grant.MayExceedCap.
func (b *Borrower) MayExceedCap(now time.Time) [note.NumRanks]bool {
	if now.Before(b.grantExpiry) {
		return b.grant.MayExceedCap
	}
	return [note.NumRanks]bool{}
}

// Step returns the demand to send now, if one is due.
func (b *Borrower) Step(now time.Time) (Report, bool) {
	if !b.lastStep.IsZero() && now.Sub(b.lastStep) > AnswerTimeout && !b.awaitingSince.IsZero() {
		// This daemon was paused, so the answer may have arrived without having been read yet.
		b.awaitingSince = now
	}
	b.lastStep = now
	if len(b.homes) == 0 || b.generation == 0 {
		return Report{}, false
	}
	if !b.awaitingSince.IsZero() && now.Sub(b.awaitingSince) >= AnswerTimeout {
		if b.homeIndex == 0 {
			b.returnBackoff = min(maxReturnBackoff, max(minReturnBackoff, 2*b.returnBackoff))
			b.returnAt = now.Add(b.returnBackoff)
		}
		b.homeIndex = (b.homeIndex + 1) % len(b.homes)
		b.awaitingSince, b.homeLost, b.reportNow = time.Time{}, true, true
	} else if b.homeIndex > 0 && !now.Before(b.returnAt) {
		b.homeIndex, b.awaitingSince, b.reportNow = 0, time.Time{}, true
	}
	wants := b.wantsMore(now)
	b.reportNow = b.reportNow || wants && !b.unmet
	b.unmet = wants
	if now.Before(b.nextReport()) {
		return Report{}, false
	}
	b.seq = max(b.seq+1, uint64(now.UnixNano()))
	d := Demand{
		Daemon: b.Self, Group: b.Group, Generation: b.generation, Revision: b.revision,
		Lines: slices.Clone(b.lines), Seq: b.seq, Borrowers: b.grant.Borrowers,
	}
	if b.grantedBy == b.currentHome() {
		d.GrantSeq = b.grant.GrantSeq
	}
	b.sentDemands[b.nextSent] = sentDemand{b.seq, now, b.currentHome()}
	b.nextSent = (b.nextSent + 1) % maxSentDemands
	b.lastSent, b.reportNow, b.reportedTotal, b.reportedByRank = now, false, countRequests(b.lines), countByRank(b.lines)
	if b.awaitingSince.IsZero() {
		b.awaitingSince = now
	}
	return Report{To: b.currentHome(), Demand: d}, true
}

// Due returns when to call Step next if nothing else happens before.
func (b *Borrower) Due() time.Time {
	if len(b.homes) == 0 || b.generation == 0 {
		return b.lastStep.Add(IdleReportInterval)
	}
	t := b.nextReport()
	if !b.awaitingSince.IsZero() && b.awaitingSince.Add(AnswerTimeout).Before(t) {
		t = b.awaitingSince.Add(AnswerTimeout)
	}
	// When the grant expires, a demand that was met becomes unmet.
	if b.grantExpiry.After(b.lastStep) && b.grantExpiry.Before(t) && len(b.lines) > 0 {
		t = b.grantExpiry
	}
	return t
}

func (b *Borrower) nextReport() time.Time {
	wait := IdleReportInterval
	switch {
	case b.lastSent.IsZero():
		return time.Time{}
	case b.reportNow:
		wait = MinReportInterval
	case !b.awaitingSince.IsZero() || b.unmet && b.demandChanged() || b.reportedTotal-countRequests(b.lines) >= max(1, b.reportedTotal/8):
		// Freed slots are reported as early as additional demand. An unchanged demand is repeated only every
		// RenewInterval, since the home keeps it for GrantTTL and the borrower's share changes little in that time.
		wait = ReportInterval
	case len(b.lines) > 0:
		wait = RenewInterval
	}
	return b.lastSent.Add(wait)
}

// demandChanged reports whether the demand of a rank differs from the last report by at least an eighth.
func (b *Borrower) demandChanged() bool {
	for r, n := range countByRank(b.lines) {
		if d := n - b.reportedByRank[r]; max(d, -d) >= max(1, b.reportedByRank[r]/8) {
			return true
		}
	}
	return false
}

// Home returns the daemon that the borrower asks at present, or "" if there is none.
func (b *Borrower) Home() string { return b.currentHome() }

func (b *Borrower) currentHome() string {
	if b.homeIndex < len(b.homes) {
		return b.homes[b.homeIndex]
	}
	return ""
}

// wantsMore reports whether the demand of a rank exceeds the granted cap.
func (b *Borrower) wantsMore(now time.Time) bool {
	if !now.Before(b.grantExpiry) {
		return len(b.lines) > 0
	}
	return b.exceeds(b.grant.Caps)
}

func (b *Borrower) exceeds(caps [note.NumRanks]int) bool {
	for r, n := range countByRank(b.lines) {
		if n > caps[r] {
			return true
		}
	}
	return false
}

func countByRank(lines []DemandLine) (n [note.NumRanks]int) {
	for _, l := range lines {
		n[l.Rank] += l.Waiting + l.Running
	}
	return n
}

func countRequests(lines []DemandLine) int {
	n := 0
	for _, l := range lines {
		n += l.Waiting + l.Running
	}
	return n
}

func countRunning(lines []DemandLine) int {
	n := 0
	for _, l := range lines {
		n += l.Running
	}
	return n
}
