package share

import (
	"cmp"
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// Message is a message to a Home: Demand, Group, Policy or Tick.
type Message interface{ toHome() }

// Group describes the group that a home divides.
type Group struct {
	Name       string
	Generation uint64
	Slots      int
	// Present reports whether all members of this generation are present.
	Present bool
}

// Policy is the part of the configuration that controls the division.
type Policy struct {
	Revision uint64
	// Floors is the floor of each rank as a fraction of the slots, from 0 to 1.
	Floors [note.NumRanks]float64
	// Weights holds the weights of the organisations by their index in the configuration at Revision.
	Weights []float64
}

// weight returns 1 for organisations that are not in the policy, such as those of another revision while a
// configuration is being distributed.
func (p Policy) weight(k orgKey) float64 {
	if k.revision == p.Revision && k.org >= 0 && k.org < len(p.Weights) && p.Weights[k.org] > 0 {
		return p.Weights[k.org]
	}
	return 1
}

// Tick lets a home act on the passage of time. It must be sent at least every ReportInterval, even if there are other
// messages.
type Tick struct{}

func (Demand) toHome() {}
func (Group) toHome()  {}
func (Policy) toHome() {}
func (Tick) toHome()   {}

// Action is a message to send to the daemon To. Exactly one of Grant and Withdrawn is set.
type Action struct {
	To        string
	Grant     *Grant
	Withdrawn *Withdrawn
}

// outstandingGrant is the overnight cap of a grant that a borrower may still be using.
type outstandingGrant struct {
	grantSeq     uint64
	overnightCap int
	expiry       time.Time
}

type borrowerState struct {
	name   string
	demand Demand
	// reportedAt is when the latest demand arrived. The borrower counts GrantTTL from when it sent the demand, so by
	// its clock every grant that answers the demand has expired at reportedAt + GrantTTL.
	reportedAt       time.Time
	grantedAt        time.Time
	caps             [note.NumRanks]int
	overnightRunning int
	// outstanding holds overnight caps in order of increasing grantSeq and decreasing cap. A grant makes older ones
	// with a cap that is not higher irrelevant.
	outstanding []outstandingGrant
	// awaitsOvernight reports whether the borrower waits for overnight slots that other borrowers still hold.
	awaitsOvernight bool
	carry           [note.NumRanks]float64
}

// overnightHeld returns how many overnight slots the borrower uses or may start to use.
func (b *borrowerState) overnightHeld() int {
	if len(b.outstanding) > 0 {
		return max(b.overnightRunning, b.outstanding[0].overnightCap)
	}
	return b.overnightRunning
}

// Home divides the slots of a group and grants them to borrowers. The zero value is ready to use. A home that has just
// started, or that was paused for longer than borrowers wait for an answer, does not know which grants another home has
// issued. For one GrantTTL it therefore grants only base shares.
type Home struct {
	group     Group
	policy    Policy
	borrowers map[string]*borrowerState
	rotation  rotation
	rotatedAt time.Time
	// uncertainUntil is the time until which grants of another home may still be in use.
	uncertainUntil time.Time
	lastStep       time.Time
	lastGrantSeq   uint64
}

// Step handles a message and returns the messages to send.
func (h *Home) Step(now time.Time, m Message) []Action {
	if h.lastStep.IsZero() || now.Sub(h.lastStep) > AnswerTimeout {
		h.borrowers = map[string]*borrowerState{}
		h.uncertainUntil = now.Add(GrantTTL + GrantMargin)
	}
	h.lastStep = now
	h.expire(now)

	var out []Action
	answerTo := ""
	switch m := m.(type) {
	case Policy:
		if m.Revision >= h.policy.Revision {
			h.policy = m
			h.policy.Weights = slices.Clone(m.Weights)
		}
	case Group:
		out = h.setGroup(m)
	case Demand:
		switch {
		case m.Group != h.group.Name || m.Generation > h.group.Generation:
			// The demand is for another group, or for a generation that this home does not know yet.
			return nil
		case m.Generation < h.group.Generation || !h.group.Present:
			return []Action{{To: m.Daemon, Withdrawn: &Withdrawn{Group: m.Group, Generation: m.Generation}}}
		}
		if !h.recordDemand(now, m) {
			return nil
		}
		answerTo = m.Daemon
	}
	if !h.group.Present || len(h.borrowers) == 0 {
		return out
	}
	return append(out, h.issueGrants(now, answerTo)...)
}

// OvernightUse returns an upper bound of the overnight slots that borrowers may be using, and the number of slots that
// more urgent work leaves for overnight work.
func (h *Home) OvernightUse() (held, total int) {
	bs := h.sortedBorrowers()
	if len(bs) == 0 || !h.group.Present {
		return 0, 0
	}
	for _, b := range bs {
		held += b.overnightHeld()
	}
	return held, divide(h.group.Slots, h.policy, &h.rotation, bs).capTotals[note.RankOvernight]
}

func (h *Home) sortedBorrowers() []*borrowerState {
	bs := make([]*borrowerState, 0, len(h.borrowers))
	for _, b := range h.borrowers {
		bs = append(bs, b)
	}
	slices.SortFunc(bs, func(a, b *borrowerState) int { return cmp.Compare(a.name, b.name) })
	return bs
}

// expire removes borrowers that stopped reporting and grants that have expired.
func (h *Home) expire(now time.Time) {
	for name, b := range h.borrowers {
		if !now.Before(b.reportedAt.Add(GrantTTL + GrantMargin)) {
			delete(h.borrowers, name)
			continue
		}
		b.outstanding = slices.DeleteFunc(b.outstanding, func(l outstandingGrant) bool { return !now.Before(l.expiry) })
	}
}

func (h *Home) setGroup(g Group) []Action {
	old := h.group
	if g.Name == old.Name && g.Generation < old.Generation {
		return nil
	}
	h.group = g
	if old.Name == g.Name && old.Generation == g.Generation && (g.Present || !old.Present) {
		return nil
	}
	var out []Action
	for _, b := range h.sortedBorrowers() {
		out = append(out, Action{To: b.name, Withdrawn: &Withdrawn{Group: old.Name, Generation: old.Generation}})
	}
	if old.Name != g.Name || old.Generation != g.Generation {
		h.borrowers = map[string]*borrowerState{}
		return out
	}
	// If only Present has changed, the borrowers are kept: the withdrawal may be lost, so their grants count until they
	// expire.
	return out
}

// recordDemand stores a demand. It returns false if a later demand of the borrower has already arrived.
func (h *Home) recordDemand(now time.Time, m Demand) bool {
	b := h.borrowers[m.Daemon]
	if b == nil {
		b = &borrowerState{name: m.Daemon}
		h.borrowers[m.Daemon] = b
	}
	if m.Seq < b.demand.Seq {
		return false
	}
	m.Lines = slices.Clone(m.Lines)
	m.Lines = slices.DeleteFunc(m.Lines, func(l DemandLine) bool { return l.Rank >= note.NumRanks || l.Waiting < 0 || l.Running < 0 })
	b.demand, b.reportedAt, b.overnightRunning = m, now, 0
	for _, l := range m.Lines {
		if l.Rank == note.RankOvernight {
			b.overnightRunning += l.Running
		}
	}
	// The borrower uses the grant that the demand names, so it no longer uses an older one.
	b.outstanding = slices.DeleteFunc(b.outstanding, func(l outstandingGrant) bool { return l.grantSeq < m.GrantSeq })
	return true
}

// issueGrants answers the named borrower. It also sends new grants to borrowers that must return slots, and to those
// that wait for slots which are now free.
func (h *Home) issueGrants(now time.Time, answerTo string) []Action {
	bs := h.sortedBorrowers()
	d := divide(h.group.Slots, h.policy, &h.rotation, bs)
	if now.Sub(h.rotatedAt) >= GrantTTL {
		h.rotate(now, bs, d)
		d = divide(h.group.Slots, h.policy, &h.rotation, bs)
	}
	base := h.baseShare(bs)
	if now.Before(h.uncertainUntil) {
		for i := range d.caps {
			for r := range d.caps[i] {
				d.caps[i][r] = min(d.caps[i][r], base)
			}
		}
	}
	held, anyWaiting := 0, false
	for _, b := range bs {
		held += b.overnightHeld()
		anyWaiting = anyWaiting || b.awaitsOvernight
	}
	var out []Action
	grant := func(b *borrowerState, caps, floorSlots [note.NumRanks]int, mayExceedCap [note.NumRanks]bool) {
		overnight := note.RankOvernight
		want := caps[overnight]
		caps[overnight] = max(0, min(want, d.capTotals[overnight]-(held-b.overnightHeld())))
		b.awaitsOvernight = caps[overnight] < want
		anyWaiting = anyWaiting || b.awaitsOvernight
		h.lastGrantSeq = max(h.lastGrantSeq+1, uint64(now.UnixNano()))
		held -= b.overnightHeld()
		b.outstanding = slices.DeleteFunc(b.outstanding, func(l outstandingGrant) bool { return l.overnightCap <= caps[overnight] })
		b.outstanding = append(b.outstanding, outstandingGrant{h.lastGrantSeq, caps[overnight], b.reportedAt.Add(GrantTTL + GrantMargin)})
		held += b.overnightHeld()
		b.caps, b.grantedAt = caps, now
		out = append(out, Action{To: b.name, Grant: &Grant{
			Group: h.group.Name, Generation: h.group.Generation, Caps: caps, FloorSlots: floorSlots, MayExceedCap: mayExceedCap, TTL: GrantTTL,
			DemandSeq: b.demand.Seq, GrantSeq: h.lastGrantSeq, Borrowers: h.borrowerCount(bs),
		}})
	}
	for i, b := range bs {
		if b.name == answerTo {
			grant(b, d.caps[i], d.floorSlots[i], d.mayExceedCap[i])
		}
	}
	for i, b := range bs {
		overnight := note.RankOvernight
		switch {
		case b.name == answerTo:
		case d.caps[i][overnight] < b.caps[overnight] && (anyWaiting || held > d.capTotals[overnight]) && now.Sub(b.grantedAt) >= ReportInterval:
			grant(b, d.caps[i], d.floorSlots[i], d.mayExceedCap[i])
		case b.awaitsOvernight && d.caps[i][overnight] > b.caps[overnight] && d.capTotals[overnight]-(held-b.overnightHeld()) > b.caps[overnight] && now.Sub(b.grantedAt) >= MinReportInterval:
			grant(b, d.caps[i], d.floorSlots[i], d.mayExceedCap[i])
		}
	}
	return out
}

// rotate starts the next turn: it adds to the carry of each borrower what rounding took from it in the turn that ends.
func (h *Home) rotate(now time.Time, bs []*borrowerState, d division) {
	for r := range note.NumRanks {
		credit := make([]float64, len(bs))
		for i, b := range bs {
			credit[i] = b.carry[r]
		}
		given := roundLargestRemainder(d.exactShares[r], credit, d.assigned[r])
		for i, b := range bs {
			b.carry[r] = min(1, max(-1, b.carry[r]+d.exactShares[r][i]-float64(given[i])))
			if !slices.ContainsFunc(b.demand.Lines, func(l DemandLine) bool { return l.Rank == note.Rank(r) }) {
				b.carry[r] = 0
			}
		}
	}
	exact := exactFloors(h.group.Slots, h.policy.Floors)
	for r, n := range wholeFloors(h.group.Slots, h.policy.Floors, h.rotation.floorCarry) {
		h.rotation.floorCarry[r] = min(1, max(-1, h.rotation.floorCarry[r]+exact[r]-float64(n)))
	}
	h.rotation.turn++
	h.rotatedAt = now
}

// borrowerCount returns the number of borrowers. While a home is new, it uses the highest number that a borrower
// reports from its last grant, since not all borrowers have reported yet.
func (h *Home) borrowerCount(bs []*borrowerState) int {
	n := len(bs)
	if h.lastStep.Before(h.uncertainUntil) {
		for _, b := range bs {
			n = max(n, b.demand.Borrowers)
		}
	}
	return n
}

func (h *Home) baseShare(bs []*borrowerState) int {
	return max(1, h.group.Slots/max(1, h.borrowerCount(bs)))
}
