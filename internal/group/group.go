// Package group decides the life of the model groups of one service: which instances form a group, when it serves, and
// how it is healed, drained and released.
//
// # What a decision rests on
//
// The table rows are the only record of who belongs to a group. Each change is one transaction that checks the row of
// the fencing token, the service's counter row, the group's row and the row of each instance that it touches, so a
// holder that lost its lease cannot change anything however long it was paused, and no instance gets into two groups.
// A generation is one more than the highest the counter row has seen; the counter row is never deleted.
//
// # Orders and engines that ignore fencing tokens
//
// An order is sent only for the group and generation that the table gives the instance. An engine that checks tokens
// refuses an old holder's order once the new holder has sent it one, not before. For engines that do not check, a new holder waits
// Settle before it sends orders or lets a group serve, on top of the wait for the old lease, and a group serves only
// after every member's own state, read after that wait, shows the group, generation, index, model and version.
//
// What remains: an order that the old holder sent before its lease ended and that the network delivers more than
// lease.Guard+lease.Margin+Settle later still takes effect on an engine that does not check tokens. Such an order can
// move a member out of a serving group. The group's home sees the other state at its next probe and the group stops
// being present; until then, at most member.ProbePeriod+member.ProbeTimeout (1 s), the group counts as present without
// that member. If it was member 0, the engine itself refuses requests, since they name the generation; otherwise
// member 0 reports that it does not see all members.
package group

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
)

const (
	// Settle is how long a new holder waits for orders of the old one that are still under way: twice the time allowed
	// for an order.
	Settle = 2 * time.Second
	// Fresh is how old an engine's own state may be to be relied on: the time in which a loss is found.
	Fresh = 2 * time.Second
	// Repeat is how long to wait for an order to show in an engine's state before it is sent again.
	Repeat = 2 * time.Second
	// DrainLeast is how long a group drains at least: the time in which every daemon has stopped sending to it.
	DrainLeast = 3 * time.Second
	// DrainLimit bounds how long a group drains when nothing forces it to stop; overnight work may run for minutes.
	DrainLimit = 10 * time.Minute
	// LeaveLimit bounds how long a group with a leaving member drains, since it is out of service meanwhile.
	LeaveLimit = 30 * time.Second
	// LoadLimit is how long a group may load before members that have not finished are taken for stuck: an engine that
	// answers but never finishes would otherwise keep a turn to load for good. It has to be longer than any load that
	// succeeds, including the wait for the weight store.
	LoadLimit = 10 * time.Minute
	// barFirst and barMax bound how long a stuck instance joins no group; the time doubles each time that it is stuck.
	// They are short beside LoadLimit, since an outage of the weight store makes every loading instance look stuck.
	barFirst = time.Minute
	barMax   = 10 * time.Minute
	// Spread is how long all groups serve before the next one is taken out of service for a change of version: the time
	// in which every daemon has read that a group serves (1.2 s with 370 daemons) and has asked its member 0 (1 s).
	Spread = 3 * time.Second
	// DefaultLoads is how many groups of a service load at once when the caller sets no bound.
	DefaultLoads = 4
)

// Kind is what is decided.
type Kind string

// Kinds of decisions. All but Order carry a transaction.
const (
	Claim   Kind = "claim"   // a new group claims its members
	Heal    Kind = "heal"    // a group gets a new generation, with spares in place of lost members
	Serve   Kind = "serve"   // all members have loaded
	Break   Kind = "break"   // a member was lost and cannot be replaced at once
	Drain   Kind = "drain"   // no new requests
	Empty   Kind = "empty"   // the members are to be unloaded
	Release Kind = "release" // the members are free
	Order   Kind = "order"   // an order to one member
)

// Decision is one step of one group. A Step returns at most one with a transaction.
type Decision struct {
	Kind Kind
	// Row is the group as it is after the decision; for Release as it was before.
	Row    Row
	Reason string
	// Txn lacks the operation number, which the caller fills in.
	Txn platform.Txn
	// Member and Order are set for Order.
	Member Member
	Order  engine.Order
}

// Observed is an engine's own state and when it was received.
type Observed struct {
	State engine.State
	At    time.Time
}

// Report is what the home of a group found wrong with it.
type Report struct {
	Generation uint64 `json:"generation"`
	Instance   string `json:"instance"`
	// Missing is whether the instance is gone. Otherwise it answers, but its state is not that of its place.
	Missing bool `json:"missing"`
}

// Input is what a decision rests on.
type Input struct {
	// Config is the service as configured; Wanted is false when it was withdrawn.
	Config note.ModelService
	Wanted bool
	// Sizes are the numbers of instances of a group of each configured service.
	Sizes []int
	// Instances are the listed engines.
	Instances []platform.Instance
	Table     Table
	// Token is in force and TokenVersion is the version of its row.
	Token, TokenVersion uint64
	States              map[string]Observed
	// Member is the view of an instance.
	Member func(id string) member.State
	// Reports are by group.
	Reports map[string]Report
	// Idle is whether a draining group is known to have no request in flight.
	Idle func(r Row) bool
}

// Planner plans the groups of one service. It remembers only when orders were sent and drains began; a new holder
// starts with an empty one.
type Planner struct {
	Service string
	// Loads bounds how many groups load at once; 0 stands for DefaultLoads.
	Loads int

	token  uint64
	since  time.Time
	orders map[string]sent
	drains map[string]time.Time
	// begun is when loading was first seen of each generation, and bars holds the instances that did not finish.
	begun map[string]begun
	bars  map[string]bar
	// whole is since when all groups serve while some have an old version.
	whole time.Time
}

type begun struct {
	generation uint64
	at         time.Time
}

// bar is until when an instance joins no group, and for how long that was.
type bar struct {
	until time.Time
	took  time.Duration
}

type sent struct {
	generation uint64
	op         engine.Op
	at         time.Time
}

// plan is one Step.
type plan struct {
	*Planner
	Input
	now     time.Time
	rows    []Row
	loading int
	out     []Decision
	// done is whether there is a decision with a transaction, on the group moved.
	done  bool
	moved string
}

// Step returns orders and at most one decision with a transaction. The caller runs them, takes the effect of the
// transaction into the table and calls Step again.
func (p *Planner) Step(now time.Time, in Input) []Decision {
	if p.orders == nil || in.Token != p.token {
		p.token, p.since = in.Token, now
		p.orders, p.drains, p.whole = map[string]sent{}, map[string]time.Time{}, time.Time{}
		p.begun, p.bars = map[string]begun{}, map[string]bar{}
	}
	s := &plan{Planner: p, Input: in, now: now}
	for _, r := range in.Table.Groups {
		if r.Service == p.Service {
			s.rows = append(s.rows, r)
			if r.Phase == Loading {
				s.loading++
			}
		}
	}
	slices.SortFunc(s.rows, func(a, b Row) int { return cmp.Compare(a.Generation, b.Generation) })
	s.stuck()
	s.losses()
	s.progress()
	s.size()
	s.roll()
	s.form()
	return s.out
}

// stuck finds members that have not loaded in time and bars them. losses then replaces them.
func (s *plan) stuck() {
	loading := map[string]bool{}
	for _, r := range s.rows {
		if r.Phase != Loading {
			continue
		}
		loading[r.ID] = true
		if b := s.begun[r.ID]; b.generation != r.Generation {
			s.begun[r.ID] = begun{r.Generation, s.now}
			continue
		} else if s.now.Sub(b.at) < LoadLimit {
			continue
		}
		for i, m := range r.Members {
			if o := s.States[m.ID]; !s.barred(m.ID) && (!s.fresh(m.ID) || !r.Matches(i, o.State)) {
				took := min(max(2*s.bars[m.ID].took, barFirst), barMax)
				s.bars[m.ID] = bar{until: s.now.Add(took), took: took}
			}
		}
	}
	maps.DeleteFunc(s.begun, func(id string, _ begun) bool { return !loading[id] })
}

func (s *plan) barred(id string) bool { return s.now.Before(s.bars[id].until) }

// losses handles groups that lost a member, before anything else, since a serving one is down.
func (s *plan) losses() {
	for _, r := range s.rows {
		if s.done {
			return
		}
		if r.Phase == Releasing {
			continue
		}
		leaving, cause := false, ""
		for i, m := range r.Members {
			st := s.Member(m.ID)
			switch {
			case st == member.Leaving:
				leaving = true
			case !st.Works():
				cause = m.ID + " is gone"
			case r.Phase == Loading && s.barred(m.ID):
				cause = m.ID + " does not finish loading"
			case s.Reports[r.ID].Generation == r.Generation && s.Reports[r.ID].Instance == m.ID:
				cause = m.ID + " was reported"
			case r.Phase == Serving && s.fresh(m.ID) && !r.Matches(i, s.States[m.ID].State):
				cause = m.ID + " is in another state"
			}
		}
		switch {
		case r.Phase == Draining && cause != "" && r.Cause == CauseSurplus:
			s.move(Empty, r, Releasing, cause)
		case r.Phase == Broken:
			s.heal(r, r.Cause)
		case cause != "":
			s.heal(r, cause)
		case leaving && r.Phase == Serving:
			s.move(Drain, r, Draining, CauseLeaving)
		case leaving && r.Phase == Loading:
			s.heal(r, CauseLeaving)
		}
	}
}

// heal gives a group a new generation with spares in place of members that are gone. Without spares it is emptied, so
// that its other members can serve elsewhere; without a free turn to load, or while the spares have not been seen yet,
// it waits as broken.
func (s *plan) heal(r Row, cause string) {
	if !s.fits(r) || s.surplus() > 0 {
		s.move(Empty, r, Releasing, cause)
		return
	}
	next := r
	next.Members = slices.Clone(r.Members)
	spares, unseen := s.free(place{r.DataCentre, r.Domain})
	wait := r.Phase != Loading && s.loading >= s.loads()
	for i, m := range r.Members {
		rep := s.Reports[r.ID]
		reported := rep.Missing && rep.Generation == r.Generation && rep.Instance == m.ID
		if s.Member(m.ID).Works() && !reported && !s.barred(m.ID) {
			continue
		}
		if len(spares) > 0 {
			next.Members[i] = Member{ID: spares[0].ID, Addr: spares[0].Addr}
			spares = spares[1:]
			continue
		}
		if !unseen {
			s.move(Empty, r, Releasing, cause)
			return
		}
		wait = true
	}
	if wait {
		if r.Phase != Broken {
			s.move(Break, r, Broken, cause)
		}
		return
	}
	next.Generation = s.Table.Counters[s.Service].Last + 1
	next.Model, next.Version = s.Config.Model, s.Config.Version
	next.Phase, next.Cause = Loading, ""
	s.commit(Heal, &r, &next, cause)
}

// progress moves groups on that need no more than time: orders, serving, release.
func (s *plan) progress() {
	settled := s.Token <= 1 || s.now.Sub(s.since) >= Settle
	for _, r := range s.rows {
		if r.ID == s.moved {
			continue
		}
		switch r.Phase {
		case Loading:
			ready := settled
			for i, m := range r.Members {
				o := s.States[m.ID]
				known := s.fresh(m.ID) && (s.Token <= 1 || o.At.Sub(s.since) >= Settle)
				ready = ready && known && r.Matches(i, o.State) && s.Member(m.ID) == member.Live
				// An engine that is already loading must not get the order again, since it may start over. So a member whose
				// state has not been seen is ordered once, and only under the token that claimed it.
				last := s.orders[m.ID]
				first := r.Token == s.Token && (last.generation != r.Generation || last.op != engine.OpLoad)
				if (known && settled && !r.assigned(i, o.State)) || (!known && first) {
					s.order(r, m, engine.Order{Op: engine.OpLoad, Index: i, Members: r.Addrs(), Model: r.Model, Version: r.Version})
				}
			}
			if ready {
				s.move(Serve, r, Serving, "")
			}
		case Draining:
			if _, ok := s.drains[r.ID]; !ok {
				s.drains[r.ID] = s.now
			}
			limit := DrainLimit
			if r.Cause == CauseLeaving {
				limit = LeaveLimit
			}
			if took := s.now.Sub(s.drains[r.ID]); took < DrainLeast || (took < limit && !s.Idle(r)) {
				continue
			}
			if r.Cause == CauseSurplus {
				s.move(Empty, r, Releasing, r.Cause)
			} else if !s.done {
				s.heal(r, r.Cause)
			}
		case Releasing:
			empty := settled
			for _, m := range r.Members {
				if !s.Member(m.ID).Works() {
					continue
				}
				if !s.fresh(m.ID) || s.States[m.ID].State.Group == r.ID {
					empty = false
					if settled {
						s.order(r, m, engine.Order{Op: engine.OpUnload})
					}
				}
			}
			if empty {
				s.commit(Release, &r, nil, r.Cause)
			}
		}
	}
}

// size drains groups that are too many or no longer fit the configuration, one that does not serve first.
func (s *plan) size() {
	if s.done {
		return
	}
	surplus := s.surplus()
	replacing := false
	var pick *Row
	for _, r := range s.rows {
		if r.Phase == Releasing || (r.Phase == Draining && r.Cause == CauseSurplus) {
			replacing = true
			continue
		}
		if (surplus > 0 || !s.fits(r)) && (pick == nil || s.worth(r) <= s.worth(*pick)) {
			pick = &r
		}
	}
	switch {
	case pick == nil, surplus <= 0 && replacing:
		// Groups that no longer fit are replaced one at a time.
	case pick.Phase == Serving:
		s.move(Drain, *pick, Draining, CauseSurplus)
	default:
		s.move(Empty, *pick, Releasing, CauseSurplus)
	}
}

// worth orders groups by how much is lost with them.
func (s *plan) worth(r Row) int {
	n := 0
	if s.fits(r) {
		n += 2
	}
	if r.Phase == Serving {
		n++
	}
	return n
}

// roll changes the model version group by group: the next one starts when all others have served for Spread.
func (s *plan) roll() {
	if s.done || !s.Wanted {
		return
	}
	var old *Row
	whole := true
	for _, r := range s.rows {
		switch {
		case r.Phase == Loading && !s.current(r):
			s.heal(r, CauseVersion)
			return
		case r.Phase == Serving && !s.current(r):
			if old == nil {
				old = &r
			}
		case r.Phase != Serving && r.Phase != Releasing:
			whole = false
		}
	}
	switch {
	case old == nil || !whole:
		s.whole = time.Time{}
	case s.whole.IsZero():
		s.whole = s.now
	case s.now.Sub(s.whole) >= Spread:
		s.move(Drain, *old, Draining, CauseVersion)
	}
}

// form claims members for a missing group.
func (s *plan) form() {
	if s.done || !s.Wanted || s.surplus() >= 0 || s.loading >= s.loads() {
		return
	}
	free := map[place][]platform.Instance{}
	for _, i := range s.Instances {
		at := place{i.DataCentre, i.Domain}
		if _, ok := free[at]; !ok {
			free[at], _ = s.free(at)
		}
	}
	used := map[string]int{}
	for _, r := range s.rows {
		used[r.DataCentre]++
	}
	n := s.Config.Instances
	var best place
	found := false
	for _, d := range slices.SortedFunc(maps.Keys(free), place.compare) {
		if len(free[d]) >= n && (!found || s.better(free[d], free[best], used)) {
			best, found = d, true
		}
	}
	if !found {
		return
	}
	list := free[best]
	g := s.Table.Counters[s.Service].Last + 1
	r := Row{
		ID: s.Service + "/" + strconv.FormatUint(g, 10), Service: s.Service, Generation: g, DataCentre: best.centre,
		Domain: best.domain, Model: s.Config.Model, Version: s.Config.Version, Phase: Loading,
	}
	for _, i := range list[:n] {
		r.Members = append(r.Members, Member{ID: i.ID, Addr: i.Addr})
	}
	s.commit(Claim, nil, &r, "")
}

// better compares two domains for a new group: the fewest accelerators that no group of any size can use afterwards,
// then the most accelerators in the group, then the data centre with the fewest groups of the service, then the one
// that keeps a spare. Within a domain groups get smaller, so for one service taking the largest group each time leaves
// out as few accelerators as any packing does.
func (s *plan) better(a, b []platform.Instance, used map[string]int) bool {
	n := s.Config.Instances
	return cmp.Or(
		cmp.Compare(s.waste(a[n:])-s.waste(a), s.waste(b[n:])-s.waste(b)),
		cmp.Compare(accelerators(b[:n]), accelerators(a[:n])),
		cmp.Compare(used[a[0].DataCentre], used[b[0].DataCentre]),
		cmp.Compare(len(b)%n, len(a)%n),
	) < 0
}

// waste is how many accelerators of free instances, those with the most first, no set of whole groups can use.
func (s *plan) waste(list []platform.Instance) int {
	reach := make([]bool, len(list)+1)
	reach[0] = true
	top := 0
	for i := range reach {
		for _, n := range append(s.Sizes, s.Config.Instances) {
			reach[i] = reach[i] || (n > 0 && n <= i && reach[i-n])
		}
		if reach[i] {
			top = i
		}
	}
	return accelerators(list[top:])
}

func accelerators(list []platform.Instance) (n int) {
	for _, i := range list {
		n += i.Accelerators
	}
	return n
}

// place is a fabric domain.
type place struct{ centre, domain string }

func (p place) compare(q place) int {
	return cmp.Or(cmp.Compare(p.centre, q.centre), cmp.Compare(p.domain, q.domain))
}

// free returns the instances of a domain that may join a group, those with the most accelerators first, so that what is
// left over is the smallest; and whether there are others whose own state has not been seen yet.
func (s *plan) free(at place) (out []platform.Instance, unseen bool) {
	for _, i := range s.Instances {
		_, taken := s.Table.Versions[PrefixInstance+i.ID]
		if i.Domain != at.domain || i.DataCentre != at.centre || taken || s.Member(i.ID) != member.Live || s.barred(i.ID) || !s.allowed(i.DataCentre) {
			continue
		}
		if !s.fresh(i.ID) {
			unseen = true
			continue
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.ID, b.ID))
	})
	return out, unseen
}

func (s *plan) allowed(centre string) bool {
	return len(s.Config.DataCentres) == 0 || slices.Contains(s.Config.DataCentres, centre)
}

func (s *plan) fits(r Row) bool {
	return s.Wanted && len(r.Members) == s.Config.Instances && s.allowed(r.DataCentre)
}

func (s *plan) current(r Row) bool {
	return r.Model == s.Config.Model && r.Version == s.Config.Version
}

// surplus is how many groups are kept beyond the copies; it is negative when groups are missing.
func (s *plan) surplus() int {
	n := 0
	for _, r := range s.rows {
		if r.Phase != Releasing && (r.Phase != Draining || r.Cause != CauseSurplus) {
			n++
		}
	}
	if !s.Wanted {
		return n
	}
	return n - s.Config.Copies
}

func (s *plan) loads() int {
	if s.Loads > 0 {
		return s.Loads
	}
	return DefaultLoads
}

func (s *plan) fresh(id string) bool {
	o, ok := s.States[id]
	return ok && s.now.Sub(o.At) <= Fresh
}

func (s *plan) order(r Row, m Member, o engine.Order) {
	last, ok := s.orders[m.ID]
	if ok && last.generation == r.Generation && last.op == o.Op && s.now.Sub(last.at) < Repeat {
		return
	}
	s.orders[m.ID] = sent{generation: r.Generation, op: o.Op, at: s.now}
	o.Fence, o.Group, o.Generation = s.Token, r.ID, r.Generation
	s.out = append(s.out, Decision{Kind: Order, Row: r, Member: m, Order: o})
}

func (s *plan) move(k Kind, r Row, to Phase, cause string) {
	next := r
	next.Phase, next.Cause = to, cause
	s.commit(k, &r, &next, cause)
}

// commit decides on a transaction, unless this Step has one already: each writes the counter row, so a second one would
// only conflict.
func (s *plan) commit(k Kind, old, next *Row, reason string) {
	if s.done {
		return
	}
	if next != nil {
		next.Token = s.Token
	}
	x, err := s.Table.txn(s.Service, s.TokenVersion, old, next)
	if err != nil {
		return // Rows always encode.
	}
	s.done = true
	s.moved = cmp.Or(idOf(old), idOf(next))
	d := Decision{Kind: k, Reason: reason, Txn: x}
	if next != nil {
		d.Row = *next
	} else {
		d.Row = *old
	}
	if k != Drain {
		delete(s.drains, d.Row.ID)
	}
	s.out = append(s.out, d)
}

func idOf(r *Row) string {
	if r == nil {
		return ""
	}
	return r.ID
}

// Unsettled is whether a group of the service is on its way to another state or is missing, so that the states of its
// members and of free instances are needed.
func Unsettled(service string, m note.ModelService, wanted bool, t Table) bool {
	n := 0
	for _, r := range t.Groups {
		if r.Service != service {
			continue
		}
		n++
		if r.Phase != Serving || !wanted || r.Model != m.Model || r.Version != m.Version {
			return true
		}
	}
	return wanted && n != m.Copies
}
