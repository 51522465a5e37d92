package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

// Request describes a request to be placed.
type Request struct {
	Rank   int
	Prompt int
	// Tokens is the number of tokens that the request is expected to hold at a group, zero if it is not known, see Memory.Tokens.
	Tokens int
	// Objective is the target time to the first event, Gap the longest acceptable pause between two events; zero when
	// none is configured.
	Objective, Gap time.Duration
	// CallerTimeout is the timeout that the caller sent, zero when it sent none.
	CallerTimeout time.Duration
	// Fingerprint is the same for all attempts of one request and rarely the same for two requests; zero when there
	// is none.
	Fingerprint uint64
	Arrived     time.Time
	// Until is when the caller gives up.
	Until time.Time
	// Resumed is set when a backend server has worked on the request and its answer was cut off. The caller has
	// waited already and the work would be lost, so the request goes first and waits as long as its caller does.
	Resumed bool
}

// Ticket identifies a waiting request among those of all daemons.
type Ticket struct {
	Daemon string
	// Boot distinguishes restarts of a daemon.
	Boot int64
	ID   uint64
}

// Waiter is a request that waits for placement.
type Waiter struct {
	Ticket
	Request
	Organisation string
	// DataCentre is the data centre of the daemon that holds the request.
	DataCentre string
	// Limited is set if the request has home regions: then it may run only where all members of a group are in DataCentres.
	Limited     bool
	DataCentres []string
	// Exclude holds the groups that have failed the request.
	Exclude []string
	// firstArrival is when the first attempt arrived. retryAt is when a rejected caller was told to retry, zero for
	// first attempts.
	firstArrival, retryAt time.Time
	// late is set when the first event can no longer meet its objective, waited when the request was not placed at
	// the first attempt.
	late, waited bool
}

// Reason is why a request was not placed.
type Reason string

const (
	// Crowded requests are rejected at once: the requests ahead of them take all capacity that becomes free while
	// they would wait.
	Crowded Reason = "crowded"
	// Waited requests have waited as long as is useful for a request that may not be placed.
	Waited Reason = "waited"
	// TooLarge requests need more memory than a group has. Waiting does not help them.
	TooLarge Reason = "larger than the memory of a group"
)

// Decision is the outcome for a waiting request.
type Decision struct {
	*Waiter
	// Group is the group that takes the request; empty when it is rejected.
	Group string
	// Load is the load of the request at the group.
	Load Load
	// Estimate is the estimate for the group before the placement.
	Estimate Estimate
	// RetryAfter is the delay after which a rejected caller should retry.
	RetryAfter time.Duration
	Reason     Reason
}

// Scheduler places the requests of one model. It is not safe for concurrent use.
//
// Requests whose answers were cut off go first, then those that can still meet their objective, then those that
// cannot. Each of these is ordered by rank, then by the recent use of the organisation, so that the many requests of
// a large organisation do not starve the few of a small one, then by age. The classes at the end of this order are
// still guaranteed a share, see minPlacementShare.
type Scheduler struct {
	waiting           []*Waiter
	latencyCorrection *LatencyCorrection
	rejections        rejections
	failures          failureTracker
	usage             *usage
	// promptSizes holds the recent prompt sizes of each rank.
	promptSizes map[int]*window[int]
	// recentPrompts holds the prompt tokens that each group was just sent; they reach it in one pass.
	recentPrompts map[string]recentTokens
	// credits counts the placements that each lower-priority class is owed.
	credits map[class]float64
	// coldHeld and coldRejected count the requests that had to wait, and those rejected, while a group took none as its head is cold.
	coldHeld, coldRejected int
	// memory is that of the groups in the current round, tokens what the current request needs of it. memoryBlocked is set when it kept that
	// from a group which could have taken it otherwise; memoryHeld and memoryRejected count the requests that had to wait, and those rejected, in such a round.
	memory                     Memory
	tokens                     int
	memoryBlocked              bool
	memoryHeld, memoryRejected int
	// meanPrompt is the mean size of recent prompts, over as many as prompts, promptSamples at most.
	meanPrompt float64
	prompts    int
	// idle is the fraction of the daemons that have not reported which hold no work, see SetIdle.
	idle float64
}

// class is a set of requests with equal priority.
type class struct {
	late bool
	rank int
}

// recentTokens is a decaying count of prompt tokens and the time of its last update.
type recentTokens struct {
	tokens float64
	at     time.Time
}

const (
	// callerNetworkTime is the part of an objective spent between a caller and its daemon: several round trips within
	// a region.
	callerNetworkTime = 12 * time.Millisecond
	// lessUrgentTimeShare is the fraction of an urgent request's time budget that less urgent work may use in a
	// group.
	lessUrgentTimeShare = 0.7
	// fullProtectionRatio sets when less urgent work is kept out of the urgent work's time altogether: when the
	// urgent work is at least one part in fullProtectionRatio of the recent work.
	fullProtectionRatio = 4
	// reservedSlotShare is the fraction of the slots that less urgent work leaves free.
	reservedSlotShare = 0.2
	// lateTimeShare is the fraction of a request's time budget that work which misses its objective may use in a
	// group.
	lateTimeShare = 0.6
	// reservedRequests is the number of requests of other organisations that work beyond an organisation's fair share
	// leaves room for in each group.
	reservedRequests = 3
	// passGapShare is the fraction of the longest acceptable pause that a pass may take; the rest covers delays of
	// single events.
	passGapShare = 0.9
	// recentHalfLife is the half-life of the tokens that a group was sent, as an estimate of those read in one pass.
	recentHalfLife = 40 * time.Millisecond
	// minPlacementShare is the fraction of the placements guaranteed to each lower-priority class while it has
	// waiting requests.
	minPlacementShare = 0.04
	// maxCredit bounds the credit of a class that has waited long, in placements.
	maxCredit = 4
	// retryWaitShare is the fraction of its time for which a retry waits for placement, since it may not be retried
	// again. A first attempt that cannot meet its objective is rejected at once.
	retryWaitShare = 0.4
	// defaultObjectiveShare sets the objective of a request that has none, as a fraction of its time.
	defaultObjectiveShare = 0.25
	// minPlacementRate is the least placement rate assumed, in requests a second.
	minPlacementRate = 1
	// longPromptQuantile is the quantile of a rank's prompt sizes for which prefill time is reserved in a group.
	longPromptQuantile = 0.7
	// idleBudgetFactor sets the least latency budget, relative to the first event in an idle group.
	idleBudgetFactor = 1.25
	// maxUnreportedFactor bounds the factor by which known load is scaled up for daemons that have not reported.
	maxUnreportedFactor = 400
	// remoteLatency is the added latency of a group in another data centre of the region: one round trip for the
	// request and one for its connection.
	remoteLatency = 4 * time.Millisecond
	// warmTimeShare is the fraction of a request's time budget up to which groups without a cold member are preferred. The rest is a
	// margin, so that the preference makes no request late.
	warmTimeShare = 0.7
)

// NewScheduler returns a scheduler without history.
func NewScheduler() *Scheduler {
	return &Scheduler{
		latencyCorrection: NewLatencyCorrection(), usage: newUsage(), promptSizes: map[int]*window[int]{}, recentPrompts: map[string]recentTokens{}, credits: map[class]float64{},
	}
}

// RecordFirstEvent records a request's first event from a group.
func (s *Scheduler) RecordFirstEvent(now time.Time, group string, e Estimate, took time.Duration) {
	s.latencyCorrection.Observe(now, group, e, took)
	s.failures.record(now, group, false)
}

// RecordFailure records that a group failed a request.
func (s *Scheduler) RecordFailure(now time.Time, group string) { s.failures.record(now, group, true) }

// Forget drops the state of groups for which kept is false.
func (s *Scheduler) Forget(kept func(group string) bool) {
	s.latencyCorrection.Forget(kept)
	maps.DeleteFunc(s.recentPrompts, func(key string, _ recentTokens) bool { return !kept(key) })
	maps.DeleteFunc(s.failures.groups, func(key string, _ *groupFailures) bool { return !kept(key) })
}

// Put adds a waiting request.
func (s *Scheduler) Put(now time.Time, w *Waiter) {
	w.firstArrival = w.Arrived
	if o, ok := s.rejections.match(w); ok {
		w.firstArrival, w.retryAt = o.firstArrival, o.retryAt
	} else {
		s.usage.recordRequest(w)
	}
	if s.promptSizes[w.Rank] == nil {
		s.promptSizes[w.Rank] = &window[int]{}
	}
	s.promptSizes[w.Rank].add(now, w.Prompt)
	if w.Prompt > 0 {
		s.prompts = min(s.prompts+1, promptSamples)
		s.meanPrompt += (float64(w.Prompt) - s.meanPrompt) / float64(s.prompts)
	}
	s.waiting = append(s.waiting, w)
}

// SetIdle sets the fraction of the daemons that have not reported which hold no work, as they have just started. The load of the others
// is not scaled up for these: when a whole fleet starts, the few daemons that report first would otherwise fill all groups by estimate.
func (s *Scheduler) SetIdle(fraction float64) { s.idle = fraction }

// Drop removes a request that no longer waits.
func (s *Scheduler) Drop(t Ticket) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool { return w.Ticket == t })
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Shortfall returns about how many more concurrent placements would have served all requests: those that wait, and
// those rejected in the last second, which would have run for about as long. urgent is the most urgent rank of recent
// work, if known.
func (s *Scheduler) Shortfall(now time.Time) (places int, urgent int, known bool) {
	s.usage.decay(now)
	urgent, known = s.usage.mostUrgent()
	return len(s.waiting) + int(s.usage.rejectionRate), urgent, known
}

// State is a snapshot of a scheduler's internal state, for the log.
type State struct {
	Waiting int
	// Placed, Late and Refused are recent rates in requests a second: those placed, those placed too late for their
	// objective, and those rejected.
	Placed, Late, Refused float64
	// Residual is the typical residual of the estimates, Part the fraction of the queued prompts that delays a request.
	Residual time.Duration
	Part     float64
	// Bound is the use in tokens beyond which an organisation's work comes after that of the others; 0 without a
	// limit.
	Bound float64
}

// State returns the current state.
func (s *Scheduler) State(now time.Time) State {
	s.usage.decay(now)
	out := State{
		Waiting: len(s.waiting), Placed: s.usage.placementRate(), Late: s.usage.lateRate, Refused: s.usage.rejectionRate,
		Residual: s.latencyCorrection.TypicalResidual(now), Part: s.latencyCorrection.fraction, Bound: s.usage.limit,
	}
	if math.IsInf(out.Bound, 1) {
		out.Bound = 0
	}
	return out
}

// TakeColdCounts returns how many requests had to wait, and how many were rejected, while a group took none as its head is cold, since the
// last call.
func (s *Scheduler) TakeColdCounts() (held, rejected int) {
	held, rejected = s.coldHeld, s.coldRejected
	s.coldHeld, s.coldRejected = 0, 0
	return held, rejected
}

// TakeMemoryCounts returns how many requests had to wait, and how many were rejected, as the memory of a group had no room for them, since
// the last call.
func (s *Scheduler) TakeMemoryCounts() (held, rejected int) {
	held, rejected = s.memoryHeld, s.memoryRejected
	s.memoryHeld, s.memoryRejected = 0, 0
	return held, rejected
}

// Memory returns the memory of the groups of an engine, with the usual prompt of recent requests.
func (s *Scheduler) Memory(e *route.Engine) Memory { return NewMemory(e, int(s.meanPrompt)) }

// Step decides on the waiting requests. It adds what it places to the loads in groups. unreported is the fraction of
// the daemons whose loads are not in groups; they are assumed to have as much load as the others, spread evenly, but
// not to fill groups.
// random returns numbers in [0, 1).
func (s *Scheduler) Step(now time.Time, plan *Plan, groups []Group, unreported float64, random func() float64) []Decision {
	if len(s.waiting) == 0 {
		return nil
	}
	s.usage.decay(now)
	for _, w := range s.waiting {
		late := !s.canMeetObjective(now, plan, w)
		if late && w.waited && !w.late {
			s.usage.recordWait(w, false)
		}
		w.late = late
	}
	s.sort(now)
	if s.markUnreachable(now, plan) {
		s.sort(now)
	}
	longestPass := s.maxPassTime()
	s.memory, s.tokens, s.memoryBlocked = s.Memory(plan.Engine), 0, false
	bounded := s.memory.capacity > 0
	addUnreportedLoad(groups, unreported, s.idle, plan.Engine.Slots, s.memory)
	var out []Decision
	lateWaiting := 0
	cold, coldLimited := false, false
	for i := range groups {
		cold, coldLimited = cold || groups[i].Cold, coldLimited || groups[i].ColdLimited
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool {
		c := class{w.late, w.Rank}
		if bounded {
			if s.tokens, s.memoryBlocked = s.memory.need(w), false; s.memory.Exceeds(s.tokens) {
				s.memoryRejected++
				out = append(out, Decision{Waiter: w, Reason: TooLarge}) // without a time to retry, and not as demand that more groups would serve
				return true
			}
		}
		i := s.chooseGroup(now, plan, w, groups, longestPass, cold, unreported, random, s.failures.usable)
		if i < 0 && !w.late {
			i = s.chooseGroup(now, plan, w, groups, longestPass, cold, unreported, random, func(_ time.Time, key string) bool { return s.failures.useful(key) })
		}
		if i >= 0 {
			g := &groups[i]
			load := RequestLoad(w.Prompt, s.tokens)
			out = append(out, Decision{Waiter: w, Group: g.Key, Load: load, Estimate: plan.Estimate(g.Load, w.Prompt)})
			g.Load = g.Load.Add(load)
			g.Allowance--
			s.failures.recordPlacement(now, g.Key)
			s.recentPrompts[g.Key] = recentTokens{s.recentTokens(now, g.Key) + float64(w.Prompt), now}
			s.recordPlacement(w, c)
			return true
		}
		if !w.late && !w.Resumed && w.Objective > 0 && !w.waited && s.usage.skipsWait(w) {
			w.late = true
		}
		if coldLimited && !w.waited {
			s.coldHeld++
		}
		if s.memoryBlocked && !w.waited {
			s.memoryHeld++
		}
		w.waited = true
		if !w.late || w.Resumed {
			return false
		}
		lateWaiting++
		if reason := s.rejectionReason(now, w, lateWaiting); reason != "" {
			out = append(out, s.reject(now, w, reason, random))
			if coldLimited {
				s.coldRejected++
			}
			if s.memoryBlocked {
				s.memoryRejected++
			}
			return true
		}
		return false
	})
	return out
}

// addUnreportedLoad adds to each group an equal part of the load assumed for the daemons that have not reported. idle is the fraction of
// these that hold no work. The assumption alone never takes the last slot of a group, nor the memory for one more request of the mean size:
// where demand is uneven, the silent daemons may have no work, and a slot that is taken by mistake rejects a request, whereas an assumed load
// only makes its estimate longer.
func addUnreportedLoad(groups []Group, unreported, idle float64, slots int, memory Memory) {
	if unreported <= 0 || len(groups) == 0 {
		return
	}
	total := Load{}
	for i := range groups {
		total = total.Add(groups[i].Load)
	}
	part := min(unreported/(1-unreported), maxUnreportedFactor) * (1 - idle) / float64(len(groups))
	extra := Load{Requests: int(math.Round(part * float64(total.Requests))), QueuedTokens: int(part * float64(total.QueuedTokens))}
	mean := memory.held(total) / max(total.Requests, 1)
	for i := range groups {
		g := &groups[i]
		assumed := Load{Requests: max(min(extra.Requests, slots-1-g.Load.Requests), 0), QueuedTokens: extra.QueuedTokens}
		if memory.capacity > 0 {
			assumed.SizedRequests, assumed.HeldTokens = assumed.Requests, max(min(assumed.Requests*mean, memory.limit-1-mean-memory.held(g.Load)), 0)
		}
		g.Load = g.Load.Add(assumed)
	}
}

// canMeetObjective reports whether a request's first event can still meet its objective.
func (s *Scheduler) canMeetObjective(now time.Time, plan *Plan, w *Waiter) bool {
	if w.Objective == 0 {
		return true
	}
	return !w.retriedEarly(now) && s.slack(now, plan, w) >= 0
}

// slack returns how long a request may still wait for placement and meet its objective. Short prompts count as long
// ones; otherwise requests with long prompts would be the first to lose all slack wherever all wait as long as they
// may.
func (s *Scheduler) slack(now time.Time, plan *Plan, w *Waiter) time.Duration {
	prompt := max(w.Prompt, s.promptSizes[w.Rank].quantile(longPromptQuantile))
	return s.remaining(now, w) - plan.Estimate(Load{}, prompt).Passes
}

// retriedEarly reports whether a caller retried before the time that it was told. Retrying early gains it nothing.
func (w *Waiter) retriedEarly(now time.Time) bool {
	return now.Add(earlyRetryTolerance).Before(w.retryAt)
}

// reject rejects a request. A caller that retried too early is told the same time again.
func (s *Scheduler) reject(now time.Time, w *Waiter, reason Reason, random func() float64) Decision {
	s.usage.recordRejection(w)
	d := Decision{Waiter: w, RetryAfter: RetryDelay(now, w.Until, random), Reason: reason}
	if w.retriedEarly(now) {
		d.RetryAfter = w.retryAt.Sub(now)
	}
	s.rejections.record(now, w, d.RetryAfter)
	return d
}

// markUnreachable marks as late the waiting requests whose turn would come too late at the rate at which requests of
// their rank are placed. It is better to reject these at once. It reports whether there are any.
func (s *Scheduler) markUnreachable(now time.Time, plan *Plan) bool {
	// Requests with home regions do not take the places of requests that may run elsewhere, however many of them wait.
	type queue struct {
		rank  int
		homes string
	}
	ahead := map[queue]float64{}
	found := false
	for _, w := range s.waiting {
		if w.late || w.Objective == 0 || w.Resumed {
			continue
		}
		q := queue{rank: w.Rank}
		if w.Limited {
			q.homes = "in " + strings.Join(w.DataCentres, "\x00")
		}
		if n := ahead[q]; n > 1 && n > max(s.usage.ranks[w.Rank].placementRate, minPlacementRate)*s.slack(now, plan, w).Seconds() {
			w.late, found = true, true
			continue
		}
		ahead[q]++
	}
	return found
}

// maxPassTime returns the longest pass with which no stream of recent or waiting work pauses longer than acceptable,
// or zero when there is no such limit.
func (s *Scheduler) maxPassTime() time.Duration {
	least := time.Duration(0)
	consider := func(gap time.Duration) {
		if gap > 0 && (least == 0 || gap < least) {
			least = gap
		}
	}
	for _, u := range s.usage.ranks {
		consider(u.gap)
	}
	for _, w := range s.waiting {
		consider(w.Gap)
	}
	return time.Duration(float64(least) * passGapShare)
}

// passTime estimates the longest pass of a group with another prompt. A part of the queued prompts is read in one
// pass; prompts sent together are read in the same pass.
func (s *Scheduler) passTime(now time.Time, plan *Plan, g *Group, prompt int) time.Duration {
	together := max(s.latencyCorrection.fraction*float64(g.Load.QueuedTokens), s.recentTokens(now, g.Key))
	return plan.PassTime(g.Load.Requests+1) + plan.PrefillTime(int(together)+prompt)
}

// recentTokens returns the prompt tokens that a group was sent within about one pass.
func (s *Scheduler) recentTokens(now time.Time, group string) float64 {
	o := s.recentPrompts[group]
	return o.tokens * halfLifeDecay(now.Sub(o.at), recentHalfLife)
}

// remaining returns the part of the objective that is left for a group's passes.
func (s *Scheduler) remaining(now time.Time, w *Waiter) time.Duration {
	return w.Objective - callerNetworkTime - s.latencyCorrection.TypicalResidual(now) - now.Sub(w.firstArrival)
}

// sort sorts the waiting requests by priority.
func (s *Scheduler) sort(now time.Time) {
	tier := func(w *Waiter) int {
		switch {
		case w.Resumed:
			return 0
		case s.hasCredit(w):
			return 1
		case !w.late:
			return 2
		case w.retriedEarly(now):
			return 5
		case !w.retryAt.IsZero():
			return 3
		}
		return 4
	}
	over := func(w *Waiter) int {
		if s.usage.overLimit(w) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(s.waiting, func(a, b *Waiter) int {
		use := 0
		if !a.late && !b.late {
			use = cmp.Compare(s.usage.used[a.Organisation], s.usage.used[b.Organisation])
		}
		return cmp.Or(cmp.Compare(tier(a), tier(b)), cmp.Compare(a.Rank, b.Rank), over(a)-over(b), use, a.firstArrival.Compare(b.firstArrival))
	})
}

// recordPlacement records that a request was placed. Each waiting class of lower priority earns a part of a placement
// as credit.
func (s *Scheduler) recordPlacement(w *Waiter, c class) {
	useCredit := s.hasCredit(w)
	s.usage.recordPlacement(w)
	if w.waited && !w.late {
		s.usage.recordWait(w, true)
	}
	if useCredit {
		s.credits[c]--
		return
	}
	seen := map[class]bool{}
	for _, o := range s.waiting {
		oc := class{o.late, o.Rank}
		if seen[oc] || oc == c || !oc.after(c) || s.usage.overLimit(o) {
			continue
		}
		seen[oc] = true
		s.credits[oc] = min(s.credits[oc]+minPlacementShare, maxCredit)
	}
}

// hasCredit reports whether a request's class has earned a placement. An organisation over its fair share cannot use
// the credit.
func (s *Scheduler) hasCredit(w *Waiter) bool {
	return s.credits[class{w.late, w.Rank}] >= 1 && !s.usage.overLimit(w)
}

// after reports whether work of class c has lower priority than work of class o.
func (c class) after(o class) bool {
	if c.late != o.late {
		return c.late
	}
	return c.rank > o.rank
}

// latencyBudget returns the largest wait until the first event, without prefill of the request's own prompt, with
// which a group may take the request now, and the number of requests from which the group counts as full. Prefill
// time is reserved for a long prompt, whatever the size of the request's own: otherwise short prompts would fill
// groups until no long prompt could meet its objective.
func (s *Scheduler) latencyBudget(now time.Time, plan *Plan, w *Waiter) (time.Duration, int) {
	slots := plan.Engine.Slots
	objective := w.Objective
	if objective == 0 {
		objective = time.Duration(float64(w.Until.Sub(w.Arrived)) * defaultObjectiveShare)
	}
	if w.Resumed {
		return objective, slots
	}
	reserved := callerNetworkTime + s.latencyCorrection.TypicalResidual(now) + plan.PrefillTime(s.promptSizes[w.Rank].quantile(longPromptQuantile))
	available := objective - reserved
	budget := available - now.Sub(w.firstArrival)
	credit := s.hasCredit(w)
	switch {
	case w.late && credit:
		budget = available
	case w.late:
		budget = time.Duration(float64(available) * lateTimeShare)
	}
	if part, least := s.usage.moreUrgent(w.Rank); part > 0 && !credit {
		limit := time.Duration(float64(least-reserved) * lessUrgentTimeShare)
		budget -= time.Duration(float64(max(budget-limit, 0)) * min(part*fullProtectionRatio, 1))
		slots = max(int(float64(slots)*(1-reservedSlotShare*part)), 1)
	}
	if s.usage.overLimit(w) && !credit {
		budget -= s.reservedTime(plan, w.Rank)
		slots -= reservedRequests
	}
	// Work that misses its objective even in an idle group must not starve.
	return max(budget, time.Duration(float64(plan.Estimate(Load{}, 0).Passes)*idleBudgetFactor)), slots
}

// reservedTime returns how much a few more typical requests lengthen the wait until the first event in a group.
func (s *Scheduler) reservedTime(plan *Plan, rank int) time.Duration {
	prompt := s.promptSizes[rank].quantile(0.5)
	extra := Load{Requests: reservedRequests, QueuedTokens: reservedRequests * prompt}
	return s.latencyCorrection.Expect(plan.Estimate(extra, 0)) - s.latencyCorrection.Expect(plan.Estimate(Load{}, 0))
}

// chooseGroup returns the index of the group that takes w, or -1 when none may now. cold is set if a group has a cold member.
func (s *Scheduler) chooseGroup(now time.Time, plan *Plan, w *Waiter, groups []Group, longestPass time.Duration, cold bool, unreported float64, random func() float64, usable func(time.Time, string) bool) int {
	best, bestTime, bestWarm := -1, time.Duration(0), false
	budget, slots := s.latencyBudget(now, plan, w)
	noise := unreported * float64(plan.Estimate(Load{Requests: plan.Engine.Slots}, 0).Passes)
	for i := range groups {
		g := &groups[i]
		if g.Suspect || g.Limited && g.Allowance < 1 || g.Load.Requests >= slots || slices.Contains(w.Exclude, g.Key) || !usable(now, g.Key) {
			continue
		}
		d := s.latencyCorrection.Expect(plan.Estimate(g.Load, 0)) + s.latencyCorrection.GroupOffset(now, g.Key)
		if d > budget || longestPass > 0 && g.Load.QueuedTokens > 0 && s.passTime(now, plan, g, w.Prompt) > longestPass {
			continue
		}
		if w.Limited && !w.mayRunAt(g) { // late, as it looks at each member
			continue
		}
		if s.memory.capacity > 0 && !s.memory.hasRoom(g.Load, s.tokens) {
			s.memoryBlocked = true
			continue
		}
		warm := cold && !g.Cold && d <= time.Duration(float64(budget)*warmTimeShare)
		if g.DataCentre != w.DataCentre {
			d += remoteLatency
		}
		if noise > 0 {
			d += time.Duration(noise * random())
		}
		if best < 0 || warm && !bestWarm || warm == bestWarm && d < bestTime {
			best, bestTime, bestWarm = i, d, warm
		}
	}
	return best
}

// mayRunAt reports whether all members of a group are in the data centres to which the request is limited.
func (w *Waiter) mayRunAt(g *Group) bool {
	return len(g.Members) > 0 && !slices.ContainsFunc(g.Members, func(s *roster.Server) bool { return s == nil || !slices.Contains(w.DataCentres, s.DataCentre) })
}

// rejectionReason returns why a request that cannot meet its objective is rejected now, or "" when it keeps waiting.
// before counts the request and those ahead of it that keep waiting as well.
func (s *Scheduler) rejectionReason(now time.Time, w *Waiter, position int) Reason {
	remaining := time.Duration(float64(w.Until.Sub(w.Arrived))*retryWaitShare) - now.Sub(w.Arrived)
	switch {
	case remaining <= 0:
		return Waited
	case w.retryAt.IsZero() || w.retriedEarly(now) || float64(position) > max(s.usage.lateRate, minPlacementRate)*remaining.Seconds()+1:
		return Crowded
	}
	return ""
}

const (
	// minRetryDelay is the least delay after which a rejected caller retries; a burst lasts seconds.
	minRetryDelay = 900 * time.Millisecond
	// retryJitter spreads the retries of callers that were rejected together.
	retryJitter = 900 * time.Millisecond
)

// RetryDelay returns the delay after which a rejected caller with the given deadline should retry. random returns
// numbers in [0, 1). Callers wait at most a third of their remaining time, so longer delays would be cut anyway. Where that is
// little, the delays are spread below it: callers with the same deadline that are all told the limit would return together.
func RetryDelay(now, until time.Time, random func() float64) time.Duration {
	limit := max(until.Sub(now)/3, 0)
	least := min(minRetryDelay, limit/2)
	return least + time.Duration(random()*float64(min(retryJitter, limit-least)))
}
