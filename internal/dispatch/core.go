package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/placement"
	"flamingorudder.example/internal/share"
)

// Message is an input of a Core: one of Submit, CallerLeft, Done, Granted, GrantWithdrawn, PresenceConfirmed,
// FirstToken, LoadReported, CacheUpdated, Revoked, Targets, Configured, Tick.
type Message interface{ message() }

// Submit requests a slot. Key is unique among the requests that have not ended.
type Submit struct {
	Key     uint64
	Request Request
}

// CallerLeft reports that the caller of a request has disconnected or given up.
type CallerLeft struct{ Key uint64 }

// Done reports that a started request has ended.
type Done struct {
	Key    uint64
	Result Result
}

// Granted delivers a grant from the home daemon of a group.
type Granted struct {
	From  string
	Grant share.Grant
}

// GrantWithdrawn delivers the notice of a home daemon that its grants for a generation of a group are no longer valid.
type GrantWithdrawn struct {
	From   string
	Notice share.Withdrawn
}

// PresenceConfirmed reports that this daemon's own probes found every member of a generation present at the time At.
type PresenceConfirmed struct {
	Group      string
	Generation uint64
	At         time.Time
}

// FirstToken reports that the first token of a started request has arrived.
type FirstToken struct{ Key uint64 }

// LoadReported delivers a load report of a group.
type LoadReported struct {
	Group string
	Load  placement.Load
}

// CacheUpdated delivers prefix cache events of a group; Next is the sequence number after the engine's last event.
type CacheUpdated struct {
	Group      string
	Generation uint64
	Next       uint64
	Events     []placement.CacheEvent
}

// Revoked reports that a member of a group was lost. The core never uses this generation again.
type Revoked struct {
	Group      string
	Generation uint64
}

// Targets replaces the targets of the service.
type Targets struct {
	List []Target
	// Homes holds the daemons to ask for slots, by group and in order of preference; the first is the group's home.
	Homes map[string][]string
}

// Configured replaces the part of the configuration that the core uses.
type Configured struct {
	Revision uint64
	// Organisations holds the sorted names of all organisations of the configuration. Demands refer to organisations
	// by their index here.
	Organisations []string
	Limits        map[string]admission.Limit
	// Floors is the fraction of the slots of fixed targets that is reserved for a rank against more urgent ones, 0 to 1.
	Floors [note.NumRanks]float64
}

// Tick makes the core handle whatever is due at the current time.
type Tick struct{}

func (Submit) message()            {}
func (CallerLeft) message()        {}
func (Done) message()              {}
func (Granted) message()           {}
func (GrantWithdrawn) message()    {}
func (PresenceConfirmed) message() {}
func (FirstToken) message()        {}
func (LoadReported) message()      {}
func (CacheUpdated) message()      {}
func (Revoked) message()           {}
func (Targets) message()           {}
func (Configured) message()        {}
func (Tick) message()              {}

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions. The fields that each one sets are in brackets.
const (
	Start  ActionKind = iota + 1 // send the request to a target [Key, Target, Priority]
	Refuse                       // reject the request, which was not and will not be run [Key, Refusal]
	Report                       // send a demand to the daemon that it names [Report]
	Cancel                       // stop a running request whose caller has left [Key, Target]
)

// Action is an output of a Core, to be carried out at once.
type Action struct {
	Kind   ActionKind
	Key    uint64
	Target Target
	// Priority is the priority of a started request at the engine; 0 is the most urgent.
	Priority int
	Refusal  *Refusal
	Report   share.Report
}

// Priorities of requests at engines, which pause the least urgent requests when their batch is full. Requests within
// their rank's floor precede live requests of an organisation with a backlog, so that a burst of live requests cannot
// use up the floors. A request of an organisation without a backlog precedes those of its rank whose organisations have
// one, so that a small organisation does not wait for a large one.
const (
	priorityLive = iota
	priorityFloor
	priorityLiveQueued
	priorityBooking
	priorityBookingQueued
	priorityOvernight
	priorityOvernightQueued
)

func priority(r note.Rank, queued, inFloor bool) int {
	p := [note.NumRanks]int{priorityLive, priorityBooking, priorityOvernight}[r]
	switch {
	case inFloor && r != note.RankLive:
		return priorityFloor
	case queued && r == note.RankLive:
		return priorityLiveQueued
	case queued:
		return p + 1
	}
	return p
}

// trimPeriod is how often the queue is checked for entries that can no longer meet their deadline because the service
// became slower. The check is quadratic in the number of organisations, so it does not run for every message.
const trimPeriod = 20 * time.Millisecond

// group is the state of one generation of a target.
type group struct {
	target Target
	// borrower holds the grant for the group; it is unused for fixed targets.
	borrower     share.Borrower
	running      [note.NumRanks]int
	runningTotal int
	// overdue counts running requests that wait too long for their first token; see findStragglers.
	overdue int
	// runningInFloor counts the requests in running that were started within their rank's floor.
	runningInFloor [note.NumRanks]int
	// connectFailures counts consecutive attempts that could not connect to the target. While it is above 0, the target
	// gets no request until retryAt and then a single one.
	connectFailures      int
	lastFailure, retryAt time.Time
}

// Backoff of a target that could not be reached: minBackoff, doubled with each failure up to maxBackoff, so that a
// target is in use again within about maxBackoff of its return. A request that probes the target extends the backoff by
// maxBackoff for other requests, unless it ends earlier.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// recordReachability records whether an attempt could connect to the target.
func (g *group) recordReachability(now time.Time, ok bool) {
	if ok {
		g.connectFailures = 0
		return
	}
	g.lastFailure = now
	g.retryAt = now.Add(min(minBackoff<<min(g.connectFailures, 8), maxBackoff))
	g.connectFailures++
}

func (g *group) inBackoff(now time.Time) bool { return g.connectFailures > 0 && now.Before(g.retryAt) }

// caps returns the limits of running requests by rank; all zero without a valid grant.
func (g *group) caps(now time.Time) [note.NumRanks]int {
	caps, _ := g.borrower.Caps(now)
	return caps
}

// runningRequest is the state of a started request.
type runningRequest struct {
	group     *group
	rank      note.Rank
	org       string
	cost      int
	output    int
	startedAt time.Time
	// inFloor is whether the request was started within its rank's floor.
	inFloor bool
	// gotFirstToken is whether the first token has arrived; neverPaused is whether the request's priority is so high
	// that the engine never pauses it.
	gotFirstToken, neverPaused bool
	// expectedTime is the estimated service time at the start.
	expectedTime time.Duration
}

// Core decides for one service which requests wait, start or are refused, and which demands are sent. It is a
// deterministic state machine without a clock, goroutines or I/O.
type Core struct {
	daemon     string
	dataCentre string
	queue      admission.Queue
	picker     placement.Picker
	random     *rand.PCG
	groups     []*group
	// groupNames is a scratch buffer of setTargets.
	groupNames []string
	// revoked holds the last revoked generation of each group. Entries are never removed, because a list of targets may
	// be stale; there is at most one for each group that ever lost a member.
	revoked map[string]uint64
	running map[uint64]runningRequest
	waiting map[uint64]waitingRequest
	rates   serviceRates
	// outputRatio is the ratio of generated to expected output tokens; callers state an upper bound.
	outputRatio average
	// estimateError is the mean relative error of the estimated service time.
	estimateError average
	config        Configured
	orgIndex      map[string]int
	unmet         [note.NumRanks]bool
	// demandChanged is whether requests started to wait, started or ended since the demands were counted at
	// demandCounted.
	demandChanged      bool
	demandCounted      time.Time
	lastTrim           time.Time
	lastStragglerCheck time.Time
	// ratesUpdated is when rates was last updated or reset.
	ratesUpdated    time.Time
	actions         []Action
	candidates      []placement.Candidate
	candidateGroups []*group
	// skipped holds the requests that this step has skipped because only targets that they avoid have free slots.
	skipped []uint64
	// lastStep is the time of the last call of Step.
	lastStep time.Time
}

// waitingRequest holds the properties of a waiting request that the admission queue does not store.
type waitingRequest struct {
	prefix []uint64
	output int
	avoid  []TargetID
}

// NewCore returns the core of a service, without targets. seed seeds its random number generator.
func NewCore(daemon, dataCentre string, seed uint64) *Core {
	return &Core{
		daemon: daemon, dataCentre: dataCentre, random: rand.NewPCG(seed, 0),
		revoked: map[string]uint64{}, running: map[uint64]runningRequest{}, waiting: map[uint64]waitingRequest{},
	}
}

// Step processes a message and returns the resulting actions in order. The slice is valid until the next call.
func (c *Core) Step(now time.Time, m Message) []Action {
	c.actions, c.lastStep = c.actions[:0], now
	switch m := m.(type) {
	case Submit:
		c.updateCapacity(now)
		c.submit(now, m)
	case CallerLeft:
		c.callerLeft(m.Key)
	case Done:
		c.done(now, m)
	case Granted:
		if g := c.find(m.Grant.Group, m.Grant.Generation); g != nil {
			g.borrower.Accept(now, m.From, m.Grant)
		}
	case GrantWithdrawn:
		if g := c.find(m.Notice.Group, m.Notice.Generation); g != nil {
			g.borrower.Withdraw(now, m.From, m.Notice)
		}
	case PresenceConfirmed:
		if g := c.find(m.Group, m.Generation); g != nil {
			g.borrower.RecordPresence(m.At, m.Generation)
			if g.connectFailures > 0 && m.At.After(g.lastFailure) {
				g.recordReachability(now, true)
			}
		}
	case FirstToken:
		if run, ok := c.running[m.Key]; ok {
			run.gotFirstToken = true
			c.running[m.Key] = run
		}
		return nil
	case LoadReported:
		c.picker.RecordLoad(now, m.Group, m.Load)
		return nil
	case CacheUpdated:
		c.picker.ApplyCacheEvents(now, m.Group, m.Generation, m.Next, m.Events)
		return nil
	case Revoked:
		c.revoke(m)
	case Targets:
		c.setTargets(m)
	case Configured:
		c.configure(m)
	}
	c.updateCapacity(now)
	c.findStragglers(now)
	c.expire(now)
	c.start(now)
	c.sendDemands(now)
	return c.actions
}

const (
	// stragglerCheckPeriod is how often requests without a first token are checked. Load reports identify a straggler
	// only after three reports, which is too late to keep the 99th percentile of live requests clear of it.
	stragglerCheckPeriod = 50 * time.Millisecond
	// A request is overdue when it has waited overdueRatio times the mean time to the first token, but at least
	// minOverdueTime, since noise dominates short means.
	overdueRatio   = 2.5
	minOverdueTime = 100 * time.Millisecond
	// minOverdueRequests is the number of overdue requests that makes a group a straggler. A single one may just have a
	// long prompt.
	minOverdueRequests = 2
)

// findStragglers marks groups that have overdue requests while at least three quarters of the groups have none.
func (c *Core) findStragglers(now time.Time) {
	if now.Sub(c.lastStragglerCheck) < stragglerCheckPeriod || len(c.running) == 0 || !c.rates.firstToken.valid {
		return
	}
	c.lastStragglerCheck = now
	limit := max(minOverdueTime, time.Duration(overdueRatio*float64(asDuration(c.rates.firstToken))))
	for _, g := range c.groups {
		g.overdue = 0
	}
	for _, run := range c.running {
		if run.neverPaused && !run.gotFirstToken && now.Sub(run.startedAt) > limit {
			run.group.overdue++
		}
	}
	overdueGroups := 0
	for _, g := range c.groups {
		if g.overdue > 0 || c.picker.IsStraggler(g.target.Group) {
			overdueGroups++
		}
	}
	// With many such groups the service is overloaded, and avoiding them would only overload the others.
	if 4*overdueGroups > len(c.groups) {
		return
	}
	for _, g := range c.groups {
		if g.overdue >= minOverdueRequests && !g.target.FixedSlots {
			c.picker.MarkStraggler(g.target.Group)
		}
	}
}

// Next returns when Step must be called at the latest, if no message arrives earlier.
func (c *Core) Next() (time.Time, bool) {
	next, ok := c.queue.NextExpiry()
	earlier := func(t time.Time) {
		if !ok || t.Before(next) {
			next, ok = t, true
		}
	}
	for _, g := range c.groups {
		if !g.target.FixedSlots {
			earlier(g.borrower.Due())
		}
	}
	if c.demandChanged {
		earlier(c.demandCounted.Add(demandCountPeriod))
	}
	if len(c.waiting) > 0 {
		for _, g := range c.groups {
			if g.connectFailures > 0 && g.retryAt.After(c.lastStep) {
				earlier(g.retryAt)
			}
		}
		earlier(c.lastTrim.Add(trimPeriod))
	}
	return next, ok
}

// rejectingRatesTTL is the age from which service rates that cause an idle service to reject a request are discarded. A
// pause of the whole daemon inflates the measured service times; when all requests are then rejected, no new
// measurement can correct them. Without this limit, a daemon that had been paused for 30 s rejected 860 requests until
// its restart.
const rejectingRatesTTL = time.Second

func (c *Core) submit(now time.Time, m Submit) {
	q := m.Request
	if len(c.groups) == 0 {
		c.refuse(m.Key, &Refusal{Kind: admission.NoTarget, Reason: "no group of the service is serving", RetryAfter: time.Second})
		return
	}
	if !slices.ContainsFunc(c.groups, func(g *group) bool { return !slices.Contains(q.Avoid, g.target.id()) }) {
		c.refuse(m.Key, &Refusal{Kind: admission.NoTarget, Reason: fmt.Sprintf("each of the %d targets of the service has failed the request", len(c.groups)), RetryAfter: time.Second})
		return
	}
	output := q.OutputTokens
	if output <= 0 {
		output = q.Cost
	}
	service := c.rates.serviceTime(float64(output) * c.outputRatio.valueOr(1))
	if now.Add(service).After(q.Deadline) && len(c.running) == 0 && now.Sub(c.ratesUpdated) >= rejectingRatesTTL {
		c.rates, c.outputRatio, c.estimateError, c.ratesUpdated, service = serviceRates{}, average{}, average{}, now, 0
	}
	slow := time.Duration(float64(service) * (1 + 2*min(c.estimateError.valueOr(0), 1)))
	e := admission.Entry{ID: m.Key, Rank: q.Rank, Organisation: q.Organisation, Cost: q.Cost, Deadline: q.Deadline, ServiceTime: service, SlowServiceTime: slow}
	if r := c.queue.Submit(now, e); r != nil {
		c.refuse(m.Key, r)
		return
	}
	c.waiting[m.Key] = waitingRequest{q.Prefix, output, q.Avoid}
	c.demandChanged = true
}

func (c *Core) refuse(key uint64, r *Refusal) {
	c.demandChanged = true
	delete(c.waiting, key)
	c.actions = append(c.actions, Action{Kind: Refuse, Key: key, Refusal: r})
}

func (c *Core) callerLeft(key uint64) {
	switch c.queue.Withdraw(key) {
	case admission.Queued:
		delete(c.waiting, key)
		c.demandChanged = true
	case admission.Started:
		c.actions = append(c.actions, Action{Kind: Cancel, Key: key, Target: c.running[key].group.target})
	}
}

func (c *Core) done(now time.Time, m Done) {
	run, ok := c.running[m.Key]
	if !ok {
		return
	}
	delete(c.running, m.Key)
	c.demandChanged = true
	run.group.running[run.rank]--
	if run.inFloor {
		run.group.runningInFloor[run.rank]--
	}
	run.group.runningTotal--
	c.picker.RecordEnded(now, run.group.target.Group)
	r := m.Result
	// Requests started before the last failure say nothing about the target's state since then.
	if g := run.group; (r.Unreachable || !r.Failed) && (g.connectFailures == 0 || run.startedAt.After(g.lastFailure)) {
		g.recordReachability(now, !r.Unreachable)
	}
	cost := -1
	if r.Tokens > 0 || r.Failed {
		cost = max(0, run.cost-run.output+r.Tokens)
	}
	c.queue.Done(m.Key, cost)
	if r.Failed || r.Total <= 0 {
		return
	}
	c.rates.observe(r)
	c.ratesUpdated = now
	if r.Tokens > 0 {
		c.outputRatio.add(float64(r.Tokens) / float64(run.output))
	}
	if run.expectedTime > 0 {
		c.estimateError.add(math.Abs(float64(r.Total-run.expectedTime)) / float64(run.expectedTime))
	}
}

func (c *Core) find(name string, generation uint64) *group {
	for _, g := range c.groups {
		if g.target.Group == name && g.target.Generation == generation {
			return g
		}
	}
	return nil
}

// revoke permanently stops the use of a generation, even if the list of targets still contains it.
func (c *Core) revoke(m Revoked) {
	c.revoked[m.Group] = max(c.revoked[m.Group], m.Generation)
	c.groups = slices.DeleteFunc(c.groups, func(g *group) bool { return c.isRevoked(g.target) })
}

func (c *Core) isRevoked(t Target) bool {
	last, ok := c.revoked[t.Group]
	return ok && t.Generation <= last
}

// setTargets replaces the groups. A group keeps its grant and its counts as long as its generation is the same;
// requests running on an earlier generation are no longer counted.
func (c *Core) setTargets(m Targets) {
	var next []*group
	for _, t := range m.List {
		if c.isRevoked(t) {
			continue
		}
		g := c.find(t.Group, t.Generation)
		if g == nil {
			g = &group{borrower: share.Borrower{Self: c.daemon, Group: t.Group}}
		}
		g.target = t
		if !t.FixedSlots {
			g.borrower.SetGeneration(t.Generation, t.Slots)
			g.borrower.SetHomes(m.Homes[t.Group])
		}
		next = append(next, g)
	}
	c.groups = next
	c.groupNames = c.groupNames[:0]
	for _, g := range next {
		c.groupNames = append(c.groupNames, g.target.Group)
	}
	c.picker.Retain(c.groupNames)
}

func (c *Core) configure(m Configured) {
	c.config = m
	c.queue.Configure(m.Limits)
	c.orgIndex = make(map[string]int, len(m.Organisations))
	for i, o := range m.Organisations {
		c.orgIndex[o] = i
	}
}

// updateCapacity tells the admission queue how many requests the service can run concurrently.
func (c *Core) updateCapacity(now time.Time) {
	var p admission.Capacity
	reachable := c.anyReachable(now)
	for _, g := range c.groups {
		if reachable && g.inBackoff(now) {
			continue
		}
		caps := g.caps(now)
		for r := range p.Slots {
			if !g.target.FixedSlots {
				p.Slots[r] += caps[r]
				continue
			}
			p.Shared = true
			p.Slots[r] += g.target.Slots
			p.Floor[r] += floorSlots(c.config.Floors[r], g.target.Slots)
		}
	}
	c.queue.SetCapacity(p)
}

func floorSlots(fraction float64, slots int) int {
	return int(math.Ceil(fraction*float64(slots) - 1e-9))
}

func (c *Core) expire(now time.Time) {
	for _, d := range c.queue.Expire(now) {
		c.refuse(d.Entry.ID, d.Refusal)
	}
	if len(c.waiting) == 0 || now.Sub(c.lastTrim) < trimPeriod {
		return
	}
	c.lastTrim = now
	for _, d := range c.queue.Trim(now) {
		c.refuse(d.Entry.ID, d.Refusal)
	}
}

// start assigns slots to waiting requests in order of rank, each rank within its caps. When the caps of a rank are used
// up, organisations with a single waiting request may use the extra slots that grants allow beyond the caps.
func (c *Core) start(now time.Time) {
	for r := range note.Rank(note.NumRanks) {
		c.skipped = c.skipped[:0]
		for {
			e, ok := c.queue.PeekSkipping(r, c.skipped)
			if !ok {
				break
			}
			g := c.choose(now, r, c.waiting[e.ID], false)
			if g == nil && len(c.waiting[e.ID].avoid) > 0 {
				c.skipped = append(c.skipped, e.ID)
				continue
			}
			if g == nil {
				break
			}
			c.startRequest(now, e, g)
		}
		c.skipped = c.skipped[:0]
		for {
			e, ok := c.queue.PeekOnlyEntry(r, c.skipped)
			if !ok {
				break
			}
			if g := c.choose(now, r, c.waiting[e.ID], true); g != nil {
				c.startRequest(now, e, g)
				continue
			}
			if len(c.waiting[e.ID].avoid) == 0 {
				break
			}
			c.skipped = append(c.skipped, e.ID)
		}
	}
}

// startRequest assigns a slot of a group to a request.
func (c *Core) startRequest(now time.Time, e admission.Entry, g *group) {
	r := e.Rank
	if g.connectFailures > 0 {
		g.retryAt = now.Add(maxBackoff)
	}
	c.queue.StartEntry(now, e.ID)
	c.picker.RecordSent(now, g.target.Group, placement.Query{PrefixHashes: c.waiting[e.ID].prefix, DataCentre: c.dataCentre})
	inFloor := g.runningInFloor[r] < g.borrower.FloorSlots(now)[r]
	if inFloor {
		g.runningInFloor[r]++
	}
	p := priority(r, c.queue.Backlog(r, e.Organisation) > 0, inFloor)
	c.running[e.ID] = runningRequest{g, r, e.Organisation, e.Cost, c.waiting[e.ID].output, now, inFloor, false, p <= priorityFloor, e.ServiceTime}
	delete(c.waiting, e.ID)
	g.running[r]++
	g.runningTotal++
	c.actions = append(c.actions, Action{Kind: Start, Key: e.ID, Target: g.target, Priority: p})
}

// anyReachable reports whether any target is not in backoff. If all are, the backoff is ignored: a request that fails
// at once is better than one that waits for a target that may not return.
func (c *Core) anyReachable(now time.Time) bool {
	return slices.ContainsFunc(c.groups, func(g *group) bool { return !g.inBackoff(now) })
}

// choose returns a group with a free slot for a request, or nil. extra also counts slots granted beyond the caps.
func (c *Core) choose(now time.Time, r note.Rank, w waitingRequest, extra bool) *group {
	c.candidates, c.candidateGroups = c.candidates[:0], c.candidateGroups[:0]
	reachable := c.anyReachable(now)
	for _, g := range c.groups {
		if reachable && g.inBackoff(now) || slices.Contains(w.avoid, g.target.id()) {
			continue
		}
		free := c.freeSlots(now, g, r)
		if extra && !g.target.FixedSlots && g.borrower.MayExceedCap(now)[r] {
			free++
		}
		if free > 0 {
			c.candidates = append(c.candidates, placement.Candidate{Group: g.target.Group, DataCentre: g.target.DataCentre, Slots: g.target.Slots, Running: g.runningTotal, Free: free})
			c.candidateGroups = append(c.candidateGroups, g)
		}
	}
	if len(c.candidates) == 0 {
		return nil
	}
	i := c.picker.Pick(placement.Query{PrefixHashes: w.prefix, DataCentre: c.dataCentre, Urgent: r == note.RankLive}, c.candidates, c.random.Uint64())
	if i < 0 {
		return nil
	}
	return c.candidateGroups[i]
}

// freeSlots returns how many more requests of a rank the group may run.
//
// Caps granted by the home daemon already exclude the floors of other ranks. The overnight cap may predate requests
// that this daemon has started since, so overnight requests are also limited to slots that this daemon's requests leave
// free. For a fixed target, the floors of less urgent ranks with waiting requests are subtracted here.
func (c *Core) freeSlots(now time.Time, g *group, r note.Rank) int {
	if !g.target.FixedSlots {
		n := g.caps(now)[r] - g.running[r]
		if r == note.RankOvernight && g.target.Slots > 0 {
			n = min(n, g.target.Slots-g.runningTotal)
		}
		return n
	}
	n := g.target.Slots - g.runningTotal
	for q := r + 1; q < note.NumRanks; q++ {
		if c.queue.Waiting(q) > 0 {
			n -= max(0, floorSlots(c.config.Floors[q], g.target.Slots)-g.running[q])
		}
	}
	return n
}

// demandCountPeriod limits how often demands are counted, because counting iterates over all running requests. When a
// rank starts to have waiting requests, demands are counted at once so that they are reported at once.
const demandCountPeriod = share.MinReportInterval / 2

// sendDemands sends the demands that are due. Each group's share.Borrower decides when its demand is.
func (c *Core) sendDemands(now time.Time) {
	newlyUnmet := false
	for r := range c.unmet {
		w := c.queue.Waiting(note.Rank(r)) > 0
		newlyUnmet = newlyUnmet || w && !c.unmet[r]
		c.unmet[r] = w
	}
	count := newlyUnmet || c.demandChanged && now.Sub(c.demandCounted) >= demandCountPeriod
	if count {
		c.demandChanged, c.demandCounted = false, now
	}
	for _, g := range c.groups {
		if g.target.FixedSlots || !count && now.Before(g.borrower.Due()) {
			continue
		}
		g.borrower.SetDemand(now, c.config.Revision, c.demandLines(g))
		if r, ok := g.borrower.Step(now); ok {
			c.actions = append(c.actions, Action{Kind: Report, Report: r})
		}
	}
}

// demandLines returns the demand for a group. Waiting requests could run on any group, so each group is asked for an
// equal share of them, rounded up: asking every group for all of them would reserve several slots for one request.
// Requests of organisations that are no longer in the configuration have no index and are omitted.
func (c *Core) demandLines(g *group) []share.DemandLine {
	n := 0
	for _, o := range c.groups {
		if !o.target.FixedSlots {
			n++
		}
	}
	var lines []share.DemandLine
	lineFor := func(r note.Rank, org string) *share.DemandLine {
		i, ok := c.orgIndex[org]
		if !ok {
			return nil
		}
		at, found := slices.BinarySearchFunc(lines, share.DemandLine{Rank: r, Org: i}, func(a, b share.DemandLine) int {
			if a.Rank != b.Rank {
				return int(a.Rank) - int(b.Rank)
			}
			return a.Org - b.Org
		})
		if !found {
			lines = slices.Insert(lines, at, share.DemandLine{Rank: r, Org: i})
		}
		return &lines[at]
	}
	for r := range note.Rank(note.NumRanks) {
		c.queue.Flows(r, func(org string, waiting int) {
			if l := lineFor(r, org); l != nil {
				l.Waiting = (waiting + n - 1) / n
			}
		})
	}
	for _, run := range c.running {
		if run.group != g {
			continue
		}
		if l := lineFor(run.rank, run.org); l != nil {
			l.Running++
		}
	}
	return lines
}

// average is an exponentially weighted moving average. A new value has a weight of 1/8, so that a change shows within
// about 20 requests while a single outlier has little effect.
type average struct {
	value float64
	valid bool
}

func (a *average) add(v float64) {
	if !a.valid {
		a.value, a.valid = v, true
		return
	}
	a.value += (v - a.value) / 8
}

func (a average) valueOr(def float64) float64 {
	if a.valid {
		return a.value
	}
	return def
}

// serviceRates holds the mean time to the first token and the mean time per further token of a service, in seconds.
type serviceRates struct{ firstToken, perToken average }

// observe updates the means from a result. Without a token count, the total time counts as the time to the first token,
// which is right for plain services.
func (s *serviceRates) observe(r Result) {
	if r.Tokens <= 0 || r.TimeToFirstToken <= 0 {
		s.firstToken.add(r.Total.Seconds())
		return
	}
	s.firstToken.add(r.TimeToFirstToken.Seconds())
	if r.Tokens > 1 {
		s.perToken.add((r.Total - r.TimeToFirstToken).Seconds() / float64(r.Tokens-1))
	}
}

// serviceTime estimates the service time of an answer of the given length; 0 before the first observation.
func (s *serviceRates) serviceTime(tokens float64) time.Duration {
	return time.Duration((s.firstToken.valueOr(0) + max(0, tokens-1)*s.perToken.valueOr(0)) * float64(time.Second))
}

func asDuration(a average) time.Duration { return time.Duration(a.valueOr(0) * float64(time.Second)) }
