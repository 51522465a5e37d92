package share

import (
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// remembered is how many demands a borrower can match with a grant: as many as it may send in one Term.
const remembered = int(Term/MinPeriod) + 2

// The time after which a borrower asks the first daemon in order again doubles between these, so that borrowers meet at
// one home after a fault while a link that stays cut costs little.
const (
	minReturn = 5 * time.Second
	maxReturn = time.Minute
)

type sentDemand struct {
	seq uint64
	at  time.Time
	to  string
}

// Report is a demand to send to a daemon.
type Report struct {
	To     string
	Demand Demand
}

// Borrower is a daemon's side of one group. Set Self and Group; the other fields are private. Each method that takes
// now may be called at any time, with times that do not decrease; Due tells when to call Step if nothing else happens.
type Borrower struct {
	Self, Group string

	generation uint64
	slots      int
	homes      []string
	at         int
	goBack     time.Time
	backoff    time.Duration

	revision uint64
	lines    []Line
	unmet    bool
	// reported is the sum of waiting and running requests in the last report, and levels that of each rank.
	reported int
	levels   [note.Ranks]int

	seq       uint64
	sent      [remembered]sentDemand
	next      int
	lastSent  time.Time
	lastStep  time.Time
	waitSince time.Time
	urgent    bool
	lost      bool

	grant    Grant
	from     string
	until    time.Time
	accepted uint64

	proof time.Time
}

// Serve names the generation of the group to use and its slots. A change ends the grant and the proof of presence.
func (b *Borrower) Serve(generation uint64, slots int) {
	b.slots = slots
	if generation != b.generation {
		b.generation = generation
		b.grant, b.from, b.until, b.proof = Grant{}, "", time.Time{}, time.Time{}
		b.urgent = true
	}
}

// Homes sets the daemons to ask in order. A change begins with the first again.
func (b *Borrower) Homes(order []string) {
	if slices.Equal(order, b.homes) {
		return
	}
	asked := b.asked()
	b.homes, b.at, b.backoff = slices.Clone(order), 0, 0
	if b.asked() != asked {
		b.waitSince, b.urgent = time.Time{}, true
	}
}

// Want sets the lines of waiting and running requests. The caller calls Step next.
func (b *Borrower) Want(now time.Time, revision uint64, lines []Line) {
	before := running(b.lines)
	caps, _ := b.Caps(now)
	over := b.over(caps)
	b.revision = revision
	b.lines = append(b.lines[:0], lines...)
	// A slot that the home wants back is free again.
	if over && running(b.lines) < before {
		b.urgent = true
	}
}

// Proved tells that the borrower's own probe found every member of a generation present at the time now.
func (b *Borrower) Proved(now time.Time, generation uint64) {
	if generation == b.generation {
		b.proof = now
	}
}

// Withdraw ends the use of a generation, until a grant or a later proof allows it again.
func (b *Borrower) Withdraw(now time.Time, from string, w Withdrawn) {
	if w.Generation != b.generation || w.Group != b.Group {
		return
	}
	if from == b.asked() {
		b.waitSince, b.lost = time.Time{}, false
	}
	b.until, b.proof, b.from, b.grant.Turn = now, time.Time{}, "", 0
	// Grants that are still on their way answer earlier demands.
	b.accepted = b.seq + 1
}

// Accept takes a grant from a daemon and reports whether it is in use now.
func (b *Borrower) Accept(now time.Time, from string, g Grant) bool {
	if g.Group != b.Group || g.Generation != b.generation || g.Seq < b.accepted ||
		g.Seq == b.accepted && g.Turn <= b.grant.Turn {
		return false
	}
	i := slices.IndexFunc(b.sent[:], func(s sentDemand) bool { return s.seq == g.Seq && s.to == from })
	if g.Seq == 0 || i < 0 {
		return false
	}
	until := b.sent[i].at.Add(min(g.For, Term))
	if !now.Before(until) {
		return false
	}
	// The home lends a slot again only when it hears that the lower cap is in force.
	lower := now.Before(b.until) && g.Caps[note.RankOvernight] < b.grant.Caps[note.RankOvernight]
	b.urgent = b.urgent || lower
	b.grant, b.from, b.until, b.accepted = g, from, until, g.Seq
	if from == b.asked() {
		b.waitSince, b.lost = time.Time{}, false
		if b.at == 0 {
			b.backoff = 0
		}
	}
	b.unmet = b.wants(now)
	return true
}

// Caps returns how many requests of each rank may run on the group now, and whether the group may be used at all.
//
// Without a grant and while the home is lost, a proof of presence not older than Term allows a base share. Engines pause
// less urgent work, so live work and bookings may each fill it; overnight work has what they leave.
func (b *Borrower) Caps(now time.Time) ([note.Ranks]int, bool) {
	if now.Before(b.until) {
		return b.grant.Caps, true
	}
	if !b.lost || b.proof.IsZero() || !now.Before(b.proof.Add(Term)) || b.slots < 1 {
		return [note.Ranks]int{}, false
	}
	base := max(1, b.slots/max(1, b.grant.Borrowers))
	caps := [note.Ranks]int{base, base, base}
	for _, l := range b.lines {
		if l.Rank < note.RankOvernight {
			caps[note.RankOvernight] -= l.Waiting + l.Running
		}
	}
	caps[note.RankOvernight] = max(0, caps[note.RankOvernight])
	return caps, true
}

// Floors returns how many requests of each rank run within the rank's floor now; none without a grant.
func (b *Borrower) Floors(now time.Time) [note.Ranks]int {
	if now.Before(b.until) {
		return b.grant.Floors
	}
	return [note.Ranks]int{}
}

// Extra returns which ranks may exceed their cap by one request now; see Grant.
func (b *Borrower) Extra(now time.Time) [note.Ranks]bool {
	if now.Before(b.until) {
		return b.grant.Extra
	}
	return [note.Ranks]bool{}
}

// Step returns the demand to send now, if any.
func (b *Borrower) Step(now time.Time) (Report, bool) {
	if !b.lastStep.IsZero() && now.Sub(b.lastStep) > Silence && !b.waitSince.IsZero() {
		// After a pause of this daemon the answer may be waiting to be read.
		b.waitSince = now
	}
	b.lastStep = now
	if len(b.homes) == 0 || b.generation == 0 {
		return Report{}, false
	}
	if !b.waitSince.IsZero() && now.Sub(b.waitSince) >= Silence {
		if b.at == 0 {
			b.backoff = min(maxReturn, max(minReturn, 2*b.backoff))
			b.goBack = now.Add(b.backoff)
		}
		b.at = (b.at + 1) % len(b.homes)
		b.waitSince, b.lost, b.urgent = time.Time{}, true, true
	} else if b.at > 0 && !now.Before(b.goBack) {
		b.at, b.waitSince, b.urgent = 0, time.Time{}, true
	}
	wants := b.wants(now)
	b.urgent = b.urgent || wants && !b.unmet
	b.unmet = wants
	if now.Before(b.due()) {
		return Report{}, false
	}
	b.seq = max(b.seq+1, uint64(now.UnixNano()))
	d := Demand{
		Daemon: b.Self, Group: b.Group, Generation: b.generation, Revision: b.revision,
		Lines: slices.Clone(b.lines), Seq: b.seq, Borrowers: b.grant.Borrowers,
	}
	if b.from == b.asked() {
		d.Turn = b.grant.Turn
	}
	b.sent[b.next] = sentDemand{b.seq, now, b.asked()}
	b.next = (b.next + 1) % remembered
	b.lastSent, b.urgent, b.reported, b.levels = now, false, total(b.lines), levels(b.lines)
	if b.waitSince.IsZero() {
		b.waitSince = now
	}
	return Report{To: b.asked(), Demand: d}, true
}

// Due returns when Step is to be called next if nothing else happens before.
func (b *Borrower) Due() time.Time {
	if len(b.homes) == 0 || b.generation == 0 {
		return b.lastStep.Add(IdlePeriod)
	}
	t := b.due()
	if !b.waitSince.IsZero() && b.waitSince.Add(Silence).Before(t) {
		t = b.waitSince.Add(Silence)
	}
	// The end of a grant turns a demand from met to unmet.
	if b.until.After(b.lastStep) && b.until.Before(t) && len(b.lines) > 0 {
		t = b.until
	}
	return t
}

func (b *Borrower) due() time.Time {
	wait := IdlePeriod
	switch {
	case b.lastSent.IsZero():
		return time.Time{}
	case b.urgent:
		wait = MinPeriod
	case !b.waitSince.IsZero() || b.unmet && b.moved() || b.reported-total(b.lines) >= max(1, b.reported/8):
		// Slots that are free again are worth a report as much as slots that are wanted. A demand that stays as it is
		// is repeated at Renew: the home keeps it for a Term, and the share of a borrower changes little meanwhile.
		wait = Period
	case len(b.lines) > 0:
		wait = Renew
	}
	return b.lastSent.Add(wait)
}

// moved is whether the demand of some rank differs from the last report by an eighth or more.
func (b *Borrower) moved() bool {
	for r, n := range levels(b.lines) {
		if d := n - b.levels[r]; max(d, -d) >= max(1, b.levels[r]/8) {
			return true
		}
	}
	return false
}

// Home returns the daemon that is asked at present, or "" without any.
func (b *Borrower) Home() string { return b.asked() }

func (b *Borrower) asked() string {
	if b.at < len(b.homes) {
		return b.homes[b.at]
	}
	return ""
}

// wants is whether some rank wants more slots than the borrower holds by a grant.
func (b *Borrower) wants(now time.Time) bool {
	if !now.Before(b.until) {
		return len(b.lines) > 0
	}
	return b.over(b.grant.Caps)
}

func (b *Borrower) over(caps [note.Ranks]int) bool {
	for r, n := range levels(b.lines) {
		if n > caps[r] {
			return true
		}
	}
	return false
}

func levels(lines []Line) (n [note.Ranks]int) {
	for _, l := range lines {
		n[l.Rank] += l.Waiting + l.Running
	}
	return n
}

func total(lines []Line) int {
	n := 0
	for _, l := range lines {
		n += l.Waiting + l.Running
	}
	return n
}

func running(lines []Line) int {
	n := 0
	for _, l := range lines {
		n += l.Running
	}
	return n
}
