// Package group plans the model groups of one service: which instances form a group, when it serves, and how it is
// repaired after a loss, drained and released.
//
// # Consistency
//
// The table rows are the only record of group membership. Each change is one transaction that checks the row of the
// fencing token, the service's counter row, the group's row and the row of each instance that it affects. A daemon that
// has lost its lease therefore can't change anything, however long it was paused, and an instance can't be in two
// groups. A new generation is one more than the highest in the counter row; the counter row is never deleted.
//
// # Orders and engines that ignore fencing tokens
//
// An order is sent only for the group and generation that the table assigns to the instance. An engine that checks
// tokens rejects an order of the old lease holder once it has received one from the new holder, but not before. For
// engines that don't check tokens, a new holder waits TakeoverWait before it sends orders or lets a group serve, in
// addition to the wait for the old lease to expire. A group serves only after the state reported by every member, read
// after that wait, has the expected group, generation, index, model and version.
//
// One case remains: an order that the old holder sent before its lease ended and that the network delivers more than
// lease.HolderMargin+lease.TakeoverMargin+TakeoverWait later still takes effect on an engine that doesn't check tokens.
// Such an order can remove a member from a serving group. The group's home, the daemon that probes its members, sees
// the unexpected state at its next probe and the group is no longer present; until then, for at most
// member.ProbePeriod+member.ProbeTimeout (1 s), the group counts as present without that member. If it was member 0,
// the engine itself rejects requests, since they contain the generation; otherwise member 0 reports that it doesn't see
// all members.
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
	// TakeoverWait is how long a new lease holder waits for orders of the old holder that are still in flight: twice
	// the timeout of an order.
	TakeoverWait = 2 * time.Second
	// MaxStateAge is the maximum age of a state reported by an engine that decisions may rely on: the time in which a
	// loss is detected.
	MaxStateAge = 2 * time.Second
	// OrderRetryInterval is how long to wait for an order to show in an engine's state before it is sent again.
	OrderRetryInterval = 2 * time.Second
	// MinDrain is the minimum time that a group drains: the time in which every daemon stops sending requests to it.
	MinDrain = 3 * time.Second
	// DrainTimeout is the maximum time that a group drains if nothing forces it to stop; overnight work may run for
	// minutes.
	DrainTimeout = 10 * time.Minute
	// LeaveDrainTimeout is the maximum time that a group with a leaving member drains, since it is out of service
	// meanwhile.
	LeaveDrainTimeout = 30 * time.Second
	// LoadTimeout is how long a group may load before members that have not finished are considered stuck. Without it,
	// an engine that responds but never finishes would use one of the concurrent loads forever. It must be longer than
	// any load that succeeds, including the wait for the weight store.
	LoadTimeout = 10 * time.Minute
	// minExclusion and maxExclusion bound how long a stuck instance may not join a group; the time doubles each time
	// that it is stuck. They don't exceed LoadTimeout, since an outage of the weight store makes every loading instance
	// look stuck.
	minExclusion = time.Minute
	maxExclusion = 10 * time.Minute
	// RolloutInterval is how long all groups must have served before the next one is taken out of service for a change
	// of version: the time in which every daemon has read that a group serves (1.2 s with 370 daemons) and has queried
	// its member 0 (1 s).
	RolloutInterval = 3 * time.Second
	// DefaultMaxLoads is the maximum number of groups of a service that load at once if the caller sets no limit.
	DefaultMaxLoads = 4
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions. All except Order have a transaction.
const (
	Claim   Kind = "claim"   // create a group and claim its members
	Heal    Kind = "heal"    // give a group a new generation, with spares in place of lost members
	Serve   Kind = "serve"   // let a group serve, as all members have loaded
	Break   Kind = "break"   // mark a group as broken, as a lost member can't be replaced yet
	Drain   Kind = "drain"   // stop sending new requests to a group
	Unload  Kind = "empty"   // unload the members of a group
	Release Kind = "release" // delete a group, so that its members are free
	Order   Kind = "order"   // send an order to one member
)

// Decision is one step of one group. Step returns at most one with a transaction.
type Decision struct {
	Kind Kind
	// Row is the group after the decision; for Release it is the group before.
	Row    Row
	Reason string
	// Txn has no operation ID; the caller sets it.
	Txn platform.Txn
	// Member and Order are set for Order.
	Member Member
	Order  engine.Order
}

// ObservedState is the state that an engine reported and when it was received.
type ObservedState struct {
	State engine.State
	At    time.Time
}

// Report is a fault of a group that its home detected.
type Report struct {
	Generation uint64 `json:"generation"`
	Instance   string `json:"instance"`
	// Missing is whether the instance doesn't respond. Otherwise it responds, but its state is not the one that the
	// group's row requires.
	Missing bool `json:"missing"`
}

// Input is everything that a decision depends on, besides the state of the Planner.
type Input struct {
	// Config is the service as configured; Wanted is false if it was removed from the configuration.
	Config note.ModelService
	Wanted bool
	// GroupSizes has the number of instances per group of each configured service.
	GroupSizes []int
	// Instances are the engines in the list of instances.
	Instances []platform.Instance
	Table     Table
	// Token is the current fencing token and TokenVersion the version of its row.
	Token, TokenVersion uint64
	States              map[string]ObservedState
	// MemberState returns the current state of an instance.
	MemberState func(id string) member.State
	// Reports has the latest report on each group, by group ID.
	Reports map[string]Report
	// Idle reports whether a draining group is known to have no request in flight.
	Idle func(r Row) bool
}

// Planner plans the groups of one service. It remembers only times, such as when orders were sent and drains began; a
// new lease holder starts with an empty one.
type Planner struct {
	Service string
	// MaxLoads is the maximum number of groups that load at once; 0 means DefaultMaxLoads.
	MaxLoads int

	token       uint64
	tokenSince  time.Time
	sentOrders  map[string]sentOrder
	drainStarts map[string]time.Time
	// loadStarts has the time at which each generation was first seen loading, and exclusions the instances that did
	// not finish.
	loadStarts map[string]loadStart
	exclusions map[string]exclusion
	// allServingSince is the time since which all groups serve while some have an old version.
	allServingSince time.Time
}

type loadStart struct {
	generation uint64
	at         time.Time
}

// exclusion is the time until which an instance may not join a group, and the length of that period.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

type sentOrder struct {
	generation uint64
	op         engine.Op
	at         time.Time
}

// plan is the state of one Step.
type plan struct {
	*Planner
	Input
	now          time.Time
	rows         []Row
	loadingCount int
	decisions    []Decision
	// hasTxn is whether there is a decision with a transaction; changedGroup is the group that it changes.
	hasTxn       bool
	changedGroup string
}

// Step returns orders and at most one decision with a transaction. The caller carries them out, applies the transaction
// to the table and calls Step again.
func (p *Planner) Step(now time.Time, in Input) []Decision {
	if p.sentOrders == nil || in.Token != p.token {
		p.token, p.tokenSince = in.Token, now
		p.sentOrders, p.drainStarts, p.allServingSince = map[string]sentOrder{}, map[string]time.Time{}, time.Time{}
		p.loadStarts, p.exclusions = map[string]loadStart{}, map[string]exclusion{}
	}
	s := &plan{Planner: p, Input: in, now: now}
	for _, r := range in.Table.Groups {
		if r.Service == p.Service {
			s.rows = append(s.rows, r)
			if r.Phase == Loading {
				s.loadingCount++
			}
		}
	}
	slices.SortFunc(s.rows, func(a, b Row) int { return cmp.Compare(a.Generation, b.Generation) })
	s.excludeStuck()
	s.handleLosses()
	s.advance()
	s.removeSurplus()
	s.rollVersion()
	s.formGroup()
	return s.decisions
}

// excludeStuck finds members that have not loaded in time and excludes them from groups. handleLosses then replaces
// them.
func (s *plan) excludeStuck() {
	loading := map[string]bool{}
	for _, r := range s.rows {
		if r.Phase != Loading {
			continue
		}
		loading[r.ID] = true
		if start := s.loadStarts[r.ID]; start.generation != r.Generation {
			s.loadStarts[r.ID] = loadStart{r.Generation, s.now}
			continue
		} else if s.now.Sub(start.at) < LoadTimeout {
			continue
		}
		for i, m := range r.Members {
			if o := s.States[m.ID]; !s.excluded(m.ID) && (!s.hasFreshState(m.ID) || !r.Matches(i, o.State)) {
				length := min(max(2*s.exclusions[m.ID].duration, minExclusion), maxExclusion)
				s.exclusions[m.ID] = exclusion{until: s.now.Add(length), duration: length}
			}
		}
	}
	maps.DeleteFunc(s.loadStarts, func(id string, _ loadStart) bool { return !loading[id] })
}

func (s *plan) excluded(id string) bool { return s.now.Before(s.exclusions[id].until) }

// handleLosses handles groups that lost a member. It runs before the other steps, since such a group may be out of
// service.
func (s *plan) handleLosses() {
	for _, r := range s.rows {
		if s.hasTxn {
			return
		}
		if r.Phase == Releasing {
			continue
		}
		leaving, cause := false, ""
		for i, m := range r.Members {
			st := s.MemberState(m.ID)
			switch {
			case st == member.Leaving:
				leaving = true
			case !st.AcceptsRequests():
				cause = m.ID + " is gone"
			case r.Phase == Loading && s.excluded(m.ID):
				cause = m.ID + " does not finish loading"
			case s.Reports[r.ID].Generation == r.Generation && s.Reports[r.ID].Instance == m.ID:
				cause = m.ID + " was reported"
			case r.Phase == Serving && s.hasFreshState(m.ID) && !r.Matches(i, s.States[m.ID].State):
				cause = m.ID + " is in another state"
			}
		}
		switch {
		case r.Phase == Draining && cause != "" && r.Cause == CauseSurplus:
			s.setPhase(Unload, r, Releasing, cause)
		case r.Phase == Broken:
			s.heal(r, r.Cause)
		case cause != "":
			s.heal(r, cause)
		case leaving && r.Phase == Serving:
			s.setPhase(Drain, r, Draining, CauseLeaving)
		case leaving && r.Phase == Loading:
			s.heal(r, CauseLeaving)
		}
	}
}

// heal gives a group a new generation with spares in place of lost members. Without spares the group is unloaded, so
// that its other members can serve elsewhere. While the limit of concurrent loads is reached or the state of possible
// spares is unknown, the group waits in the phase Broken.
func (s *plan) heal(r Row, cause string) {
	if !s.fitsConfig(r) || s.surplusCount() > 0 {
		s.setPhase(Unload, r, Releasing, cause)
		return
	}
	next := r
	next.Members = slices.Clone(r.Members)
	spares, unseen := s.freeInstances(fabricDomain{r.DataCentre, r.Domain})
	wait := r.Phase != Loading && s.loadingCount >= s.loadLimit()
	for i, m := range r.Members {
		rep := s.Reports[r.ID]
		reported := rep.Missing && rep.Generation == r.Generation && rep.Instance == m.ID
		if s.MemberState(m.ID).AcceptsRequests() && !reported && !s.excluded(m.ID) {
			continue
		}
		if len(spares) > 0 {
			next.Members[i] = Member{ID: spares[0].ID, Addr: spares[0].Addr}
			spares = spares[1:]
			continue
		}
		if !unseen {
			s.setPhase(Unload, r, Releasing, cause)
			return
		}
		wait = true
	}
	if wait {
		if r.Phase != Broken {
			s.setPhase(Break, r, Broken, cause)
		}
		return
	}
	next.Generation = s.Table.Counters[s.Service].LastGeneration + 1
	next.Model, next.Version = s.Config.Model, s.Config.Version
	next.Phase, next.Cause = Loading, ""
	s.decide(Heal, &r, &next, cause)
}

// advance handles groups whose next step depends only on time and member states: it sends orders, and lets groups
// serve, be unloaded or be released.
func (s *plan) advance() {
	settled := s.Token <= 1 || s.now.Sub(s.tokenSince) >= TakeoverWait
	for _, r := range s.rows {
		if r.ID == s.changedGroup {
			continue
		}
		switch r.Phase {
		case Loading:
			ready := settled
			for i, m := range r.Members {
				o := s.States[m.ID]
				known := s.hasFreshState(m.ID) && (s.Token <= 1 || o.At.Sub(s.tokenSince) >= TakeoverWait)
				ready = ready && known && r.Matches(i, o.State) && s.MemberState(m.ID) == member.Live
				// An engine that is already loading must not get the order again, since it may start over. So a member
				// whose state is unknown gets the order once, and only under the token that claimed it.
				last := s.sentOrders[m.ID]
				first := r.Token == s.Token && (last.generation != r.Generation || last.op != engine.OpLoad)
				if (known && settled && !r.acceptedLoad(i, o.State)) || (!known && first) {
					s.sendOrder(r, m, engine.Order{Op: engine.OpLoad, Index: i, Members: r.Addrs(), Model: r.Model, Version: r.Version})
				}
			}
			if ready {
				s.setPhase(Serve, r, Serving, "")
			}
		case Draining:
			if _, ok := s.drainStarts[r.ID]; !ok {
				s.drainStarts[r.ID] = s.now
			}
			limit := DrainTimeout
			if r.Cause == CauseLeaving {
				limit = LeaveDrainTimeout
			}
			if took := s.now.Sub(s.drainStarts[r.ID]); took < MinDrain || (took < limit && !s.Idle(r)) {
				continue
			}
			if r.Cause == CauseSurplus {
				s.setPhase(Unload, r, Releasing, r.Cause)
			} else if !s.hasTxn {
				s.heal(r, r.Cause)
			}
		case Releasing:
			unloaded := settled
			for _, m := range r.Members {
				if !s.MemberState(m.ID).AcceptsRequests() {
					continue
				}
				if !s.hasFreshState(m.ID) || s.States[m.ID].State.Group == r.ID {
					unloaded = false
					if settled {
						s.sendOrder(r, m, engine.Order{Op: engine.OpUnload})
					}
				}
			}
			if unloaded {
				s.decide(Release, &r, nil, r.Cause)
			}
		}
	}
}

// removeSurplus drains groups that exceed the configured number or no longer match the configuration, groups that don't
// serve first.
func (s *plan) removeSurplus() {
	if s.hasTxn {
		return
	}
	surplus := s.surplusCount()
	replacing := false
	var candidate *Row
	for _, r := range s.rows {
		if r.Phase == Releasing || (r.Phase == Draining && r.Cause == CauseSurplus) {
			replacing = true
			continue
		}
		if (surplus > 0 || !s.fitsConfig(r)) && (candidate == nil || s.keepPriority(r) <= s.keepPriority(*candidate)) {
			candidate = &r
		}
	}
	switch {
	case candidate == nil, surplus <= 0 && replacing:
		// Groups that no longer match the configuration are replaced one at a time.
	case candidate.Phase == Serving:
		s.setPhase(Drain, *candidate, Draining, CauseSurplus)
	default:
		s.setPhase(Unload, *candidate, Releasing, CauseSurplus)
	}
}

// keepPriority returns a higher number for a group whose removal would lose more.
func (s *plan) keepPriority(r Row) int {
	n := 0
	if s.fitsConfig(r) {
		n += 2
	}
	if r.Phase == Serving {
		n++
	}
	return n
}

// rollVersion changes the model version group by group: the next group follows when all groups have served for
// RolloutInterval.
func (s *plan) rollVersion() {
	if s.hasTxn || !s.Wanted {
		return
	}
	var old *Row
	allServing := true
	for _, r := range s.rows {
		switch {
		case r.Phase == Loading && !s.hasCurrentVersion(r):
			s.heal(r, CauseVersion)
			return
		case r.Phase == Serving && !s.hasCurrentVersion(r):
			if old == nil {
				old = &r
			}
		case r.Phase != Serving && r.Phase != Releasing:
			allServing = false
		}
	}
	switch {
	case old == nil || !allServing:
		s.allServingSince = time.Time{}
	case s.allServingSince.IsZero():
		s.allServingSince = s.now
	case s.now.Sub(s.allServingSince) >= RolloutInterval:
		s.setPhase(Drain, *old, Draining, CauseVersion)
	}
}

// formGroup claims members for a missing group.
func (s *plan) formGroup() {
	if s.hasTxn || !s.Wanted || s.surplusCount() >= 0 || s.loadingCount >= s.loadLimit() {
		return
	}
	free := map[fabricDomain][]platform.Instance{}
	for _, i := range s.Instances {
		at := fabricDomain{i.DataCentre, i.Domain}
		if _, ok := free[at]; !ok {
			free[at], _ = s.freeInstances(at)
		}
	}
	groupsIn := map[string]int{}
	for _, r := range s.rows {
		groupsIn[r.DataCentre]++
	}
	size := s.Config.Instances
	var best fabricDomain
	found := false
	for _, domain := range slices.SortedFunc(maps.Keys(free), fabricDomain.compare) {
		if len(free[domain]) >= size && (!found || s.betterDomain(free[domain], free[best], groupsIn)) {
			best, found = domain, true
		}
	}
	if !found {
		return
	}
	candidates := free[best]
	generation := s.Table.Counters[s.Service].LastGeneration + 1
	r := Row{
		ID: s.Service + "/" + strconv.FormatUint(generation, 10), Service: s.Service, Generation: generation, DataCentre: best.dataCentre,
		Domain: best.domain, Model: s.Config.Model, Version: s.Config.Version, Phase: Loading,
	}
	for _, i := range candidates[:size] {
		r.Members = append(r.Members, Member{ID: i.ID, Addr: i.Addr})
	}
	s.decide(Claim, nil, &r, "")
}

// betterDomain compares two domains for a new group by, in this order: the fewest accelerators that no group of any
// size can use afterwards, the most accelerators in the group, the data centre with the fewest groups of the service,
// and which one keeps a spare. Later groups of a domain never have more accelerators than earlier ones, so for a single
// service, taking the largest group each time leaves as few accelerators unused as any packing does.
func (s *plan) betterDomain(a, b []platform.Instance, groupsIn map[string]int) bool {
	size := s.Config.Instances
	return cmp.Or(
		cmp.Compare(s.unusableAccelerators(a[size:])-s.unusableAccelerators(a), s.unusableAccelerators(b[size:])-s.unusableAccelerators(b)),
		cmp.Compare(accelerators(b[:size]), accelerators(a[:size])),
		cmp.Compare(groupsIn[a[0].DataCentre], groupsIn[b[0].DataCentre]),
		cmp.Compare(len(b)%size, len(a)%size),
	) < 0
}

// unusableAccelerators returns how many accelerators of the free instances in list, sorted by accelerators in
// descending order, no set of complete groups can use.
func (s *plan) unusableAccelerators(list []platform.Instance) int {
	reachable := make([]bool, len(list)+1)
	reachable[0] = true
	most := 0
	for i := range reachable {
		for _, n := range append(s.GroupSizes, s.Config.Instances) {
			reachable[i] = reachable[i] || (n > 0 && n <= i && reachable[i-n])
		}
		if reachable[i] {
			most = i
		}
	}
	return accelerators(list[most:])
}

func accelerators(list []platform.Instance) (n int) {
	for _, i := range list {
		n += i.Accelerators
	}
	return n
}

// fabricDomain identifies a fabric domain.
type fabricDomain struct{ dataCentre, domain string }

func (p fabricDomain) compare(q fabricDomain) int {
	return cmp.Or(cmp.Compare(p.dataCentre, q.dataCentre), cmp.Compare(p.domain, q.domain))
}

// freeInstances returns the instances of a domain that may join a group, sorted by accelerators in descending order so
// that the smallest are left over, and whether there are others whose state is still unknown.
func (s *plan) freeInstances(at fabricDomain) (out []platform.Instance, unseen bool) {
	for _, i := range s.Instances {
		_, taken := s.Table.Versions[PrefixInstance+i.ID]
		if i.Domain != at.domain || i.DataCentre != at.dataCentre || taken || s.MemberState(i.ID) != member.Live || s.excluded(i.ID) || !s.allowedDataCentre(i.DataCentre) {
			continue
		}
		if !s.hasFreshState(i.ID) {
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

func (s *plan) allowedDataCentre(centre string) bool {
	return len(s.Config.DataCentres) == 0 || slices.Contains(s.Config.DataCentres, centre)
}

func (s *plan) fitsConfig(r Row) bool {
	return s.Wanted && len(r.Members) == s.Config.Instances && s.allowedDataCentre(r.DataCentre)
}

func (s *plan) hasCurrentVersion(r Row) bool {
	return r.Model == s.Config.Model && r.Version == s.Config.Version
}

// surplusCount is the number of groups beyond the configured copies; it is negative if groups are missing.
func (s *plan) surplusCount() int {
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

func (s *plan) loadLimit() int {
	if s.MaxLoads > 0 {
		return s.MaxLoads
	}
	return DefaultMaxLoads
}

func (s *plan) hasFreshState(id string) bool {
	o, ok := s.States[id]
	return ok && s.now.Sub(o.At) <= MaxStateAge
}

func (s *plan) sendOrder(r Row, m Member, o engine.Order) {
	last, ok := s.sentOrders[m.ID]
	if ok && last.generation == r.Generation && last.op == o.Op && s.now.Sub(last.at) < OrderRetryInterval {
		return
	}
	s.sentOrders[m.ID] = sentOrder{generation: r.Generation, op: o.Op, at: s.now}
	o.Fence, o.Group, o.Generation = s.Token, r.ID, r.Generation
	s.decisions = append(s.decisions, Decision{Kind: Order, Row: r, Member: m, Order: o})
}

func (s *plan) setPhase(k Kind, r Row, to Phase, cause string) {
	next := r
	next.Phase, next.Cause = to, cause
	s.decide(k, &r, &next, cause)
}

// decide adds a decision with a transaction, unless this Step has one already: every transaction writes the counter
// row, so a second one would only conflict.
func (s *plan) decide(k Kind, old, next *Row, reason string) {
	if s.hasTxn {
		return
	}
	if next != nil {
		next.Token = s.Token
	}
	txn, err := s.Table.buildTxn(s.Service, s.TokenVersion, old, next)
	if err != nil {
		return // Encoding rows can't fail.
	}
	s.hasTxn = true
	s.changedGroup = cmp.Or(groupID(old), groupID(next))
	d := Decision{Kind: k, Reason: reason, Txn: txn}
	if next != nil {
		d.Row = *next
	} else {
		d.Row = *old
	}
	if k != Drain {
		delete(s.drainStarts, d.Row.ID)
	}
	s.decisions = append(s.decisions, d)
}

func groupID(r *Row) string {
	if r == nil {
		return ""
	}
	return r.ID
}

// InTransition reports whether a group of the service is missing or in transition, so that the states of its members and
// of free instances are needed.
func InTransition(service string, m note.ModelService, wanted bool, t Table) bool {
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
