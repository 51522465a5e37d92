package share

import (
	"cmp"
	"slices"
	"time"

	"flamingorudder.example/internal/note"
)

// Message is what a Home receives: Demand, Group, Policy or Tick.
type Message interface{ toHome() }

// Group tells a home what it owns.
type Group struct {
	Name       string
	Generation uint64
	Slots      int
	// Present is whether every member of this generation is present.
	Present bool
}

// Policy is the part of the configuration that governs the division.
type Policy struct {
	Revision uint64
	// Floors is each rank's floor as a part of the slots, 0 to 1.
	Floors [note.Ranks]float64
	// Weights holds the organisations' weights by index at Revision.
	Weights []float64
}

// weight is 1 for organisations that the policy does not know, which happens while a configuration spreads.
func (p Policy) weight(k orgKey) float64 {
	if k.revision == p.Revision && k.org >= 0 && k.org < len(p.Weights) && p.Weights[k.org] > 0 {
		return p.Weights[k.org]
	}
	return 1
}

// Tick lets time pass. It is due at least every Period, also without other messages.
type Tick struct{}

func (Demand) toHome() {}
func (Group) toHome()  {}
func (Policy) toHome() {}
func (Tick) toHome()   {}

// Action is something to send to the daemon To: exactly one of Grant and Withdrawn is set.
type Action struct {
	To        string
	Grant     *Grant
	Withdrawn *Withdrawn
}

// lent is the overnight cap of a grant that a borrower may still use.
type lent struct {
	turn  uint64
	cap   int
	until time.Time
}

type borrower struct {
	name   string
	demand Demand
	// heard is when the latest demand arrived. Every grant that answers it has expired at heard + Term by the borrower's
	// clock, which counts from when the demand was sent.
	heard   time.Time
	sent    time.Time
	caps    [note.Ranks]int
	running int
	// lent holds overnight caps with rising turns and falling caps: a grant that is not below an older one makes the
	// older one irrelevant.
	lent []lent
	// short is whether the borrower waits for overnight slots that others still hold.
	short bool
	carry [note.Ranks]float64
}

// held is how many overnight slots the borrower uses or may start to use.
func (b *borrower) held() int {
	if len(b.lent) > 0 {
		return max(b.running, b.lent[0].cap)
	}
	return b.running
}

// Home divides the slots of one group. The zero value is ready. A home that starts, or that was paused for longer than
// borrowers wait for an answer, does not know what another home has lent: for one Term it lends only base shares.
type Home struct {
	group     Group
	policy    Policy
	borrowers map[string]*borrower
	rot       rotation
	rotated   time.Time
	// unsure is until when grants of another home may be in use.
	unsure time.Time
	last   time.Time
	turn   uint64
}

// Step handles a message and returns what to send.
func (h *Home) Step(now time.Time, m Message) []Action {
	if h.last.IsZero() || now.Sub(h.last) > Silence {
		h.borrowers = map[string]*borrower{}
		h.unsure = now.Add(Term + Margin)
	}
	h.last = now
	h.expire(now)

	var out []Action
	answer := ""
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
			// This home has not heard of the generation yet and cannot judge it.
			return nil
		case m.Generation < h.group.Generation || !h.group.Present:
			return []Action{{To: m.Daemon, Withdrawn: &Withdrawn{Group: m.Group, Generation: m.Generation}}}
		}
		if !h.hear(now, m) {
			return nil
		}
		answer = m.Daemon
	}
	if !h.group.Present || len(h.borrowers) == 0 {
		return out
	}
	return append(out, h.lend(now, answer)...)
}

// Lent returns an upper bound of the overnight slots that borrowers may use now, and what more urgent work leaves.
func (h *Home) Lent() (held, total int) {
	bs := h.sorted()
	if len(bs) == 0 || !h.group.Present {
		return 0, 0
	}
	for _, b := range bs {
		held += b.held()
	}
	return held, divide(h.group.Slots, h.policy, &h.rot, bs).totals[note.RankOvernight]
}

func (h *Home) sorted() []*borrower {
	bs := make([]*borrower, 0, len(h.borrowers))
	for _, b := range h.borrowers {
		bs = append(bs, b)
	}
	slices.SortFunc(bs, func(a, b *borrower) int { return cmp.Compare(a.name, b.name) })
	return bs
}

// expire forgets borrowers that stopped reporting, and grants that have run out.
func (h *Home) expire(now time.Time) {
	for name, b := range h.borrowers {
		if !now.Before(b.heard.Add(Term + Margin)) {
			delete(h.borrowers, name)
			continue
		}
		b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return !now.Before(l.until) })
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
	for _, b := range h.sorted() {
		out = append(out, Action{To: b.name, Withdrawn: &Withdrawn{Group: old.Name, Generation: old.Generation}})
	}
	if old.Name != g.Name || old.Generation != g.Generation {
		h.borrowers = map[string]*borrower{}
		return out
	}
	// Borrowers are kept when only the presence ended: a withdrawal may be lost, so their grants count until they expire.
	return out
}

// hear stores a demand; it reports false for one that a later demand has overtaken.
func (h *Home) hear(now time.Time, m Demand) bool {
	b := h.borrowers[m.Daemon]
	if b == nil {
		b = &borrower{name: m.Daemon}
		h.borrowers[m.Daemon] = b
	}
	if m.Seq < b.demand.Seq {
		return false
	}
	m.Lines = slices.Clone(m.Lines)
	m.Lines = slices.DeleteFunc(m.Lines, func(l Line) bool { return l.Rank >= note.Ranks || l.Waiting < 0 || l.Running < 0 })
	b.demand, b.heard, b.running = m, now, 0
	for _, l := range m.Lines {
		if l.Rank == note.RankOvernight {
			b.running += l.Running
		}
	}
	// The borrower uses the grant it names and no older one any more.
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return l.turn < m.Turn })
	return true
}

// lend answers the borrower named, and tells others at once that must give back slots or that wait for slots which are
// free again.
func (h *Home) lend(now time.Time, answer string) []Action {
	bs := h.sorted()
	d := divide(h.group.Slots, h.policy, &h.rot, bs)
	if now.Sub(h.rotated) >= Term {
		h.rotate(now, bs, d)
		d = divide(h.group.Slots, h.policy, &h.rot, bs)
	}
	base := h.base(bs)
	if now.Before(h.unsure) {
		for i := range d.caps {
			for r := range d.caps[i] {
				d.caps[i][r] = min(d.caps[i][r], base)
			}
		}
	}
	held, short := 0, false
	for _, b := range bs {
		held += b.held()
		short = short || b.short
	}
	var out []Action
	grant := func(b *borrower, caps, within [note.Ranks]int, extra [note.Ranks]bool) {
		o := note.RankOvernight
		want := caps[o]
		caps[o] = max(0, min(want, d.totals[o]-(held-b.held())))
		b.short = caps[o] < want
		short = short || b.short
		h.turn = max(h.turn+1, uint64(now.UnixNano()))
		held -= b.held()
		b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return l.cap <= caps[o] })
		b.lent = append(b.lent, lent{h.turn, caps[o], b.heard.Add(Term + Margin)})
		held += b.held()
		b.caps, b.sent = caps, now
		out = append(out, Action{To: b.name, Grant: &Grant{
			Group: h.group.Name, Generation: h.group.Generation, Caps: caps, Floors: within, Extra: extra, For: Term,
			Seq: b.demand.Seq, Turn: h.turn, Borrowers: h.count(bs),
		}})
	}
	for i, b := range bs {
		if b.name == answer {
			grant(b, d.caps[i], d.within[i], d.extra[i])
		}
	}
	for i, b := range bs {
		o := note.RankOvernight
		switch {
		case b.name == answer:
		case d.caps[i][o] < b.caps[o] && (short || held > d.totals[o]) && now.Sub(b.sent) >= Period:
			grant(b, d.caps[i], d.within[i], d.extra[i])
		case b.short && d.caps[i][o] > b.caps[o] && d.totals[o]-(held-b.held()) > b.caps[o] && now.Sub(b.sent) >= MinPeriod:
			grant(b, d.caps[i], d.within[i], d.extra[i])
		}
	}
	return out
}

// rotate credits each borrower with what rounding took from it in the turn that ends.
func (h *Home) rotate(now time.Time, bs []*borrower, d division) {
	for r := range note.Ranks {
		credit := make([]float64, len(bs))
		for i, b := range bs {
			credit[i] = b.carry[r]
		}
		given := round(d.exact[r], credit, d.parts[r])
		for i, b := range bs {
			b.carry[r] = min(1, max(-1, b.carry[r]+d.exact[r][i]-float64(given[i])))
			if !slices.ContainsFunc(b.demand.Lines, func(l Line) bool { return l.Rank == note.Rank(r) }) {
				b.carry[r] = 0
			}
		}
	}
	exact := exactFloors(h.group.Slots, h.policy.Floors)
	for r, n := range floors(h.group.Slots, h.policy.Floors, h.rot.floors) {
		h.rot.floors[r] = min(1, max(-1, h.rot.floors[r]+exact[r]-float64(n)))
	}
	h.rot.turn++
	h.rotated = now
}

// count is how many borrowers there are, as far as any daemon knows while this home is new.
func (h *Home) count(bs []*borrower) int {
	n := len(bs)
	if h.last.Before(h.unsure) {
		for _, b := range bs {
			n = max(n, b.demand.Borrowers)
		}
	}
	return n
}

func (h *Home) base(bs []*borrower) int { return max(1, h.group.Slots/max(1, h.count(bs))) }
