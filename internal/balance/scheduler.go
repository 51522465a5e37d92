package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Request is a request that wants a place.
type Request struct {
	Rank   int
	Prompt int
	// Objective is the time to the first event that the caller hopes for, Gap the longest pause between two events; zero when
	// none is configured.
	Objective, Gap time.Duration
	// Asked is how long the caller said it would wait, zero when it did not.
	Asked time.Duration
	// Mark is the same for all attempts of one request, and rarely for two requests; zero when there is none.
	Mark    uint64
	Arrived time.Time
	// Until is when the caller gives up.
	Until time.Time
	// Continues is set when a backend server has worked on the request and its answer was cut off. Its caller has waited
	// already, and work would be lost, so it goes first and waits for as long as the caller does.
	Continues bool
}

// Ticket identifies a waiting request among those of all daemons.
type Ticket struct {
	Daemon string
	// Boot tells lifetimes of a daemon apart.
	Boot int64
	ID   uint64
}

// Waiter is a request that waits for a place.
type Waiter struct {
	Ticket
	Request
	Organisation string
	// DataCentre is that of the daemon that holds the request.
	DataCentre string
	// Exclude holds the groups that have failed it.
	Exclude []string
	// first is when its caller first came; due is when a caller who was refused was told to come back, zero for others.
	first, due time.Time
	// missed is set when its first event can no longer be in time; waited when it got no place at its first look.
	missed, waited bool
}

// Reason tells why a request got no place.
type Reason string

// Reasons.
const (
	// Crowded requests are turned away at once: those before them take all that will be free while they would wait.
	Crowded Reason = "crowded"
	// Waited requests have waited for as long as one should that might get no place.
	Waited Reason = "waited"
)

// Decision is what becomes of a waiter.
type Decision struct {
	*Waiter
	// Group is the group that takes it; empty when it is turned away.
	Group string
	// Estimate is of the group as it was.
	Estimate Estimate
	// ComeBack is when a caller that is turned away should return.
	ComeBack time.Duration
	Reason   Reason
}

// Scheduler places the requests of one model. It is not safe for concurrent use.
//
// Requests whose answers were cut off go first, then those that can still be in time, then those that cannot; each by rank,
// within a rank the organisation that used least lately, so that the many requests of a large one do not keep out the few
// of a small one, then the oldest. Whoever comes last in this order still gets a share, see floors.
type Scheduler struct {
	waiting []*Waiter
	lag     *Lag
	returns returns
	trust   trust
	shares  *shares
	// prompts are the prompts of each rank lately.
	prompts map[int]*window[int]
	// sent is the prompt tokens that each group was given just now; they reach it in one pass.
	sent map[string]sentTokens
	// owed is what each class of work that comes after others is owed, in places.
	owed map[class]float64
}

// class is work that is ordered alike.
type class struct {
	late bool
	rank int
}

// sentTokens are tokens that were sent around a time.
type sentTokens struct {
	tokens float64
	at     time.Time
}

const (
	// callerPath is the part of an objective that passes between a caller and its daemon: some round trips in a region.
	callerPath = 12 * time.Millisecond
	// lessUrgent is the part of an urgent request's time that less urgent work may take up in a group.
	lessUrgent = 0.7
	// protectFrom is the part of recent work, as one in how many, from which on urgent work is kept free of less urgent
	// work altogether.
	protectFrom = 4
	// heldSlots is the part of the slots that less urgent work leaves free.
	heldSlots = 0.2
	// lateRoom is the part of a request's time that work which cannot be in time may take up in a group.
	lateRoom = 0.6
	// roomFor is how many requests of others are left room for in each group by work beyond its organisation's share.
	roomFor = 2
	// gapPart is the part of the longest pause that a pass may take; the rest is for what delays single events.
	gapPart = 0.9
	// passTime is the time in which what a group was sent counts half as being read in one pass.
	passTime = 40 * time.Millisecond
	// floor is the part of the places that goes to each class which comes after others, while it waits.
	floor = 0.04
	// maxOwed bounds what a class that waited for long is owed, in places.
	maxOwed = 4
	// patience is the part of its time for which a request that came back waits for a place; it may not come back again. One
	// that came first and cannot be in time is told at once.
	patience = 0.4
	// relaxed is the part of its time that a request without an objective is planned to wait for its first event.
	relaxed = 0.25
	// minRate is the rate of places assumed while nothing is known, in a second.
	minRate = 1
	// longPrompt is the part of the prompts of a rank that are shorter than those for which time is left in a group.
	longPrompt = 0.7
	// idleRoom is by how much the first event of a request may exceed that in an idle group, whatever its objective.
	idleRoom = 1.25
	// mostUnheard bounds how many daemons one that is heard stands for.
	mostUnheard = 400
	// farther is what a group in another data centre of the region takes longer: a round trip for the request and one for
	// its connection.
	farther = 4 * time.Millisecond
)

// NewScheduler returns a scheduler that knows nothing.
func NewScheduler() *Scheduler {
	return &Scheduler{
		lag: NewLag(), shares: newShares(), prompts: map[int]*window[int]{}, sent: map[string]sentTokens{}, owed: map[class]float64{},
	}
}

// First notes a group's first event of a request.
func (s *Scheduler) First(now time.Time, group string, e Estimate, took time.Duration) {
	s.lag.Add(now, group, e, took)
	s.trust.note(now, group, false)
}

// Failed notes that a group failed a request.
func (s *Scheduler) Failed(now time.Time, group string) { s.trust.note(now, group, true) }

// Forget drops what is known of groups that are gone.
func (s *Scheduler) Forget(kept func(group string) bool) {
	s.lag.Forget(kept)
	maps.DeleteFunc(s.sent, func(key string, _ sentTokens) bool { return !kept(key) })
	maps.DeleteFunc(s.trust.groups, func(key string, _ *standing) bool { return !kept(key) })
}

// Put adds a request.
func (s *Scheduler) Put(now time.Time, w *Waiter) {
	w.first = w.Arrived
	if o, ok := s.returns.match(w); ok {
		w.first, w.due = o.arrived, o.due
	} else {
		s.shares.ask(w)
	}
	if s.prompts[w.Rank] == nil {
		s.prompts[w.Rank] = &window[int]{}
	}
	s.prompts[w.Rank].add(now, w.Prompt)
	s.waiting = append(s.waiting, w)
}

// Drop takes a request out that no longer waits.
func (s *Scheduler) Drop(t Ticket) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool { return w.Ticket == t })
}

// Waiting is the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Lacking is about how many more places at once would have served all: those that wait, and those turned away in the last
// second, which would have stayed for about as long. urgent is the most urgent rank of recent work, if known.
func (s *Scheduler) Lacking(now time.Time) (places int, urgent int, known bool) {
	s.shares.fade(now)
	urgent, known = s.shares.mostUrgent()
	return len(s.waiting) + int(s.shares.refused), urgent, known
}

// State is what a scheduler goes by at a moment, for the log.
type State struct {
	Waiting int
	// Placed, Late and Refused are requests a second lately: those that found a place, those of them that could not be in
	// time, and those that were turned away.
	Placed, Late, Refused float64
	// Lag is what first events mostly take beside their estimate, Part the part of unread prompts in that.
	Lag  time.Duration
	Part float64
	// Bound is the use beyond which an organisation's work comes after that of the others, in tokens; 0 when there is none.
	Bound float64
}

// State returns the present state.
func (s *Scheduler) State(now time.Time) State {
	s.shares.fade(now)
	out := State{
		Waiting: len(s.waiting), Placed: s.shares.placed(), Late: s.shares.late, Refused: s.shares.refused,
		Lag: s.lag.Mostly(now), Part: s.lag.part, Bound: s.shares.bound,
	}
	if math.IsInf(out.Bound, 1) {
		out.Bound = 0
	}
	return out
}

// Step decides on waiting requests. The loads of groups are those with what it places. unheard is the part of the daemons
// whose loads are not in groups; they are taken to have as much as the others, anywhere. random returns numbers in [0, 1).
func (s *Scheduler) Step(now time.Time, plan *Plan, groups []Group, unheard float64, random func() float64) []Decision {
	if len(s.waiting) == 0 {
		return nil
	}
	s.shares.fade(now)
	for _, w := range s.waiting {
		missed := !s.hopeful(now, plan, w)
		if missed && w.waited && !w.missed {
			s.shares.waited(w, false)
		}
		w.missed = missed
	}
	s.sort(now)
	if s.doom(now, plan) {
		s.sort(now)
	}
	gap := s.gap()
	spread(groups, unheard)
	var out []Decision
	late := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool {
		c := class{w.missed, w.Rank}
		if i := s.choose(now, plan, w, groups, gap, unheard, random); i >= 0 {
			g := &groups[i]
			out = append(out, Decision{Waiter: w, Group: g.Key, Estimate: plan.Estimate(g.Load, w.Prompt)})
			g.Load = g.Load.Add(Load{1, w.Prompt})
			s.trust.give(now, g.Key)
			s.sent[g.Key] = sentTokens{s.justSent(now, g.Key) + float64(w.Prompt), now}
			s.take(w, c)
			return true
		}
		if !w.missed && !w.Continues && w.Objective > 0 && !w.waited && s.shares.vain(w) {
			w.missed = true
		}
		w.waited = true
		if !w.missed || w.Continues {
			return false
		}
		late++
		if reason := s.refusal(now, w, late); reason != "" {
			out = append(out, s.refuse(now, w, reason, random))
			return true
		}
		return false
	})
	return out
}

// spread adds to each group its part of the work of daemons of which nothing is heard.
func spread(groups []Group, unheard float64) {
	if unheard <= 0 || len(groups) == 0 {
		return
	}
	all := Load{}
	for i := range groups {
		all = all.Add(groups[i].Load)
	}
	part := min(unheard/(1-unheard), mostUnheard) / float64(len(groups))
	more := Load{int(math.Round(part * float64(all.Requests))), int(part * float64(all.Unread))}
	for i := range groups {
		groups[i].Load = groups[i].Load.Add(more)
	}
}

// hopeful tells whether a request's first event can still be in time.
func (s *Scheduler) hopeful(now time.Time, plan *Plan, w *Waiter) bool {
	if w.Objective == 0 {
		return true
	}
	return !w.early(now) && s.hope(now, plan, w) >= 0
}

// hope is how long a request may still wait for a place and be in time. Short prompts count as long ones, or those would be
// the first to lose hope wherever all wait for as long as they may.
func (s *Scheduler) hope(now time.Time, plan *Plan, w *Waiter) time.Duration {
	prompt := max(w.Prompt, s.prompts[w.Rank].quantile(longPrompt))
	return s.left(now, w) - plan.Estimate(Load{}, prompt).Passes
}

// early tells whether a caller came back before it was told to. It gains nothing by that.
func (w *Waiter) early(now time.Time) bool { return now.Add(dueSlack).Before(w.due) }

// refuse turns a request away. A caller who came back too early is told the same time again.
func (s *Scheduler) refuse(now time.Time, w *Waiter, reason Reason, random func() float64) Decision {
	s.shares.refuse(w)
	d := Decision{Waiter: w, ComeBack: ComeBack(now, w.Until, random), Reason: reason}
	if w.early(now) {
		d.ComeBack = w.due.Sub(now)
	}
	s.returns.note(now, w, d.ComeBack)
	return d
}

// doom marks those waiting requests as missed whose turn would come too late, at the rate at which requests of their rank
// find places; they are better told at once. It tells whether there are any.
func (s *Scheduler) doom(now time.Time, plan *Plan) bool {
	ahead := map[int]float64{}
	found := false
	for _, w := range s.waiting {
		if w.missed || w.Objective == 0 || w.Continues {
			continue
		}
		if n := ahead[w.Rank]; n > 1 && n > max(s.shares.ranks[w.Rank].placed, minRate)*s.hope(now, plan, w).Seconds() {
			w.missed, found = true, true
			continue
		}
		ahead[w.Rank]++
	}
	return found
}

// gap returns the longest pass with which all recent work goes on without longer pauses than its callers take, zero when
// that does not matter.
func (s *Scheduler) gap() time.Duration {
	least := time.Duration(0)
	note := func(gap time.Duration) {
		if gap > 0 && (least == 0 || gap < least) {
			least = gap
		}
	}
	for _, u := range s.shares.ranks {
		note(u.gap)
	}
	for _, w := range s.waiting {
		note(w.Gap)
	}
	return time.Duration(float64(least) * gapPart)
}

// pass estimates the longest pass of a group with another prompt. Of the prompts that it has to read a part is read in one
// pass, and those that were sent together are.
func (s *Scheduler) pass(now time.Time, plan *Plan, g *Group, prompt int) time.Duration {
	together := max(s.lag.part*float64(g.Load.Unread), s.justSent(now, g.Key))
	return plan.Pass(g.Load.Requests+1) + plan.Reading(int(together)+prompt)
}

// justSent is the prompt tokens that a group was given within about a pass.
func (s *Scheduler) justSent(now time.Time, group string) float64 {
	o := s.sent[group]
	return o.tokens * fading(now.Sub(o.at), passTime)
}

// left is what is left of the objective for a group's passes.
func (s *Scheduler) left(now time.Time, w *Waiter) time.Duration {
	return w.Objective - callerPath - s.lag.Mostly(now) - now.Sub(w.first)
}

// sort brings the waiting requests into the order in which they are looked at.
func (s *Scheduler) sort(now time.Time) {
	first := func(w *Waiter) int {
		switch {
		case w.Continues:
			return 0
		case s.isOwed(w):
			return 1
		case !w.missed:
			return 2
		case w.early(now):
			return 5
		case !w.due.IsZero():
			return 3
		}
		return 4
	}
	over := func(w *Waiter) int {
		if s.shares.over(w) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(s.waiting, func(a, b *Waiter) int {
		use := 0
		if !a.missed && !b.missed {
			use = cmp.Compare(s.shares.used[a.Organisation], s.shares.used[b.Organisation])
		}
		return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.Rank, b.Rank), over(a)-over(b), use, a.first.Compare(b.first))
	})
}

// take notes that a request found a place. Each class that comes after it and waits is owed a part of the place.
func (s *Scheduler) take(w *Waiter, c class) {
	owed := s.isOwed(w)
	s.shares.take(w)
	if w.waited && !w.missed {
		s.shares.waited(w, true)
	}
	if owed {
		s.owed[c]--
		return
	}
	seen := map[class]bool{}
	for _, o := range s.waiting {
		oc := class{o.missed, o.Rank}
		if seen[oc] || oc == c || !oc.after(c) || s.shares.over(o) {
			continue
		}
		seen[oc] = true
		s.owed[oc] = min(s.owed[oc]+floor, maxOwed)
	}
}

// isOwed tells whether a request is of work whose share of the places has come. An organisation that has had its own gets
// none.
func (s *Scheduler) isOwed(w *Waiter) bool {
	return s.owed[class{w.missed, w.Rank}] >= 1 && !s.shares.over(w)
}

// after tells whether work of class c comes after work of class o.
func (c class) after(o class) bool {
	if c.late != o.late {
		return c.late
	}
	return c.rank > o.rank
}

// budget returns the longest first event, but for the request's own prompt, with which a request is given to a group now,
// and how many requests the group may hold before it. Time is left for a long prompt whatever the request's own is: were
// it for its own only, short prompts would fill groups up to where no long one can be in time.
func (s *Scheduler) budget(now time.Time, plan *Plan, w *Waiter) (time.Duration, int) {
	slots := plan.Engine.Slots
	objective := w.Objective
	if objective == 0 {
		objective = time.Duration(float64(w.Until.Sub(w.Arrived)) * relaxed)
	}
	if w.Continues {
		return objective, slots
	}
	aside := callerPath + s.lag.Mostly(now) + plan.Reading(s.prompts[w.Rank].quantile(longPrompt))
	whole := objective - aside
	budget := whole - now.Sub(w.first)
	owed := s.isOwed(w)
	switch {
	case w.missed && owed:
		budget = whole
	case w.missed:
		budget = time.Duration(float64(whole) * lateRoom)
	}
	if part, least := s.shares.urgent(w.Rank); part > 0 && !owed {
		limit := time.Duration(float64(least-aside) * lessUrgent)
		budget -= time.Duration(float64(max(budget-limit, 0)) * min(part*protectFrom, 1))
		slots = max(int(float64(slots)*(1-heldSlots*part)), 1)
	}
	if s.shares.over(w) && !owed {
		budget -= s.room(plan, w.Rank)
		slots -= roomFor
	}
	// What takes longer than its objective even in an idle group must not be kept out for ever.
	return max(budget, time.Duration(float64(plan.Estimate(Load{}, 0).Passes)*idleRoom)), slots
}

// room is how much some more usual requests lengthen the way to a first event in a group.
func (s *Scheduler) room(plan *Plan, rank int) time.Duration {
	prompt := s.prompts[rank].quantile(0.5)
	some := Load{Requests: roomFor, Unread: roomFor * prompt}
	return s.lag.Expect(plan.Estimate(some, 0)) - s.lag.Expect(plan.Estimate(Load{}, 0))
}

// choose returns the index of the group that takes w, or -1 when none should now.
func (s *Scheduler) choose(now time.Time, plan *Plan, w *Waiter, groups []Group, gap time.Duration, unheard float64, random func() float64) int {
	best, bestTime := -1, time.Duration(0)
	budget, slots := s.budget(now, plan, w)
	noise := unheard * float64(plan.Estimate(Load{Requests: plan.Engine.Slots}, 0).Passes)
	for i := range groups {
		g := &groups[i]
		if g.Suspect || g.Load.Requests >= slots || slices.Contains(w.Exclude, g.Key) || !s.trust.usable(now, g.Key) {
			continue
		}
		d := s.lag.Expect(plan.Estimate(g.Load, 0)) + s.lag.Of(now, g.Key)
		if d > budget || gap > 0 && g.Load.Unread > 0 && s.pass(now, plan, g, w.Prompt) > gap {
			continue
		}
		if g.DataCentre != w.DataCentre {
			d += farther
		}
		if noise > 0 {
			d += time.Duration(noise * random())
		}
		if best < 0 || d < bestTime {
			best, bestTime = i, d
		}
	}
	return best
}

// refusal tells why a request that cannot be in time is turned away now; "" when it waits on. before counts it and those
// before it that wait as well.
func (s *Scheduler) refusal(now time.Time, w *Waiter, before int) Reason {
	rest := time.Duration(float64(w.Until.Sub(w.Arrived))*patience) - now.Sub(w.Arrived)
	switch {
	case rest <= 0:
		return Waited
	case w.due.IsZero() || w.early(now) || float64(before) > max(s.shares.late, minRate)*rest.Seconds()+1:
		return Crowded
	}
	return ""
}

const (
	// firstReturn is the least time after which a refused caller comes back; a burst lasts seconds.
	firstReturn = 900 * time.Millisecond
	// returnSpread spreads the returns of callers who were refused together.
	returnSpread = 900 * time.Millisecond
)

// ComeBack returns when a caller that is turned away should return, who waits until the given time. random returns numbers
// in [0, 1). Callers wait for at most a third of what is left to them, so later times would only be cut.
func ComeBack(now, until time.Time, random func() float64) time.Duration {
	d := firstReturn + time.Duration(random()*float64(returnSpread))
	return max(min(d, until.Sub(now)/3), 0)
}
