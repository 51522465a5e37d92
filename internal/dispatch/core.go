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

// Message is something that happened: one of Submit, Withdraw, Done, Granted, Withdrawn, Proved,
// Began, Loaded, Cached, Revoked, Targets, Configured, Tick.
type Message interface{ message() }

// Submit asks for a slot. Key is unique among the requests that have not ended.
type Submit struct {
	Key     uint64
	Request Request
}

// Withdraw says that the caller of a request has left.
type Withdraw struct{ Key uint64 }

// Done says that a started request has ended.
type Done struct {
	Key    uint64
	Result Result
}

// Granted is a grant from a home.
type Granted struct {
	From  string
	Grant share.Grant
}

// Withdrawn is a home's word that it lends a generation of a group no more.
type Withdrawn struct {
	From string
	Lent share.Withdrawn
}

// Proved says that this daemon's own probe found every member of a generation present at the time At.
type Proved struct {
	Group      string
	Generation uint64
	At         time.Time
}

// Began says that the first token of a started request has arrived.
type Began struct{ Key uint64 }

// Loaded is a load report of a group.
type Loaded struct {
	Group string
	Load  placement.Load
}

// Cached is cache events of a group; Next is the number after the last one that its engine has.
type Cached struct {
	Group      string
	Generation uint64
	Next       uint64
	Events     []placement.CacheEvent
}

// Revoked says that a member of a group was lost. This generation is never used again.
type Revoked struct {
	Group      string
	Generation uint64
}

// Targets replaces the targets of the service.
type Targets struct {
	List []Target
	// Homes holds, by group, the daemons to ask for slots, in order; the first is the group's home.
	Homes map[string][]string
}

// Configured replaces what the core uses of the configuration.
type Configured struct {
	Revision uint64
	// Organisations holds the names of all organisations of the configuration, sorted. Demands refer to its indexes.
	Organisations []string
	Limits        map[string]admission.Limit
	// Floors is the part of fixed targets that more urgent work cannot take, by rank, 0 to 1.
	Floors [note.Ranks]float64
}

// Tick lets time pass.
type Tick struct{}

func (Submit) message()     {}
func (Withdraw) message()   {}
func (Done) message()       {}
func (Granted) message()    {}
func (Withdrawn) message()  {}
func (Proved) message()     {}
func (Began) message()      {}
func (Loaded) message()     {}
func (Cached) message()     {}
func (Revoked) message()    {}
func (Targets) message()    {}
func (Configured) message() {}
func (Tick) message()       {}

// Verb is what an action asks for.
type Verb int

// Verbs of actions. The fields that each fills are in brackets.
const (
	Start  Verb = iota + 1 // the request has a slot [Key, Target, Priority]
	Refuse                 // it was not run and won't be [Key, Refusal]
	Report                 // send the demand to the daemon that it names [Report]
	Cancel                 // stop a request that runs without a caller [Key, Target]
)

// Action is something to do now.
type Action struct {
	Verb   Verb
	Key    uint64
	Target Target
	// Priority is the engine's priority of a started request, 0 the most urgent.
	Priority int
	Refusal  *Refusal
	Report   share.Report
}

// Priorities of requests at engines, which pause the least urgent ones when their batch is full. Work within its rank's
// floor comes before live work that its organisation has queued up, so that a flood of live work cannot take the floors.
// Work of an organisation that has nothing else waiting comes before work of its rank that was queued up, so that a
// small organisation does not wait for a large one.
const (
	priorityLive = iota
	priorityFloor
	priorityLiveQueued
	priorityBooking
	priorityBookingQueued
	priorityOvernight
	priorityOvernightQueued
)

func priority(r note.Rank, queued, withinFloor bool) int {
	p := [note.Ranks]int{priorityLive, priorityBooking, priorityOvernight}[r]
	switch {
	case withinFloor && r != note.RankLive:
		return priorityFloor
	case queued && r == note.RankLive:
		return priorityLiveQueued
	case queued:
		return p + 1
	}
	return p
}

// trimPeriod is how often the queue is checked for entries that became late because the service became slower. The
// check takes time in the square of the number of organisations, so it isn't made for every message.
const trimPeriod = 20 * time.Millisecond

// group is a target and what is known of this generation of it.
type group struct {
	target Target
	// loan holds the permission to use the group; fixed targets need none.
	loan    share.Borrower
	running [note.Ranks]int
	total   int
	// late is how many urgent requests wait for their first token for too long; see watch.
	late int
	// within is how many of running were started within their rank's floor.
	within [note.Ranks]int
	// lost counts the attempts in a row that could not reach the target. While it is above 0, no request is sent there
	// until retry, and then a single one.
	lost          int
	failed, retry time.Time
}

// A target that could not be reached is left out for lostFirst, doubled with each failure up to lostMost, so that it is
// back in use within about that time of its return. A request that tries it again keeps others away for lostMost, unless
// it ends before.
const (
	lostFirst = 250 * time.Millisecond
	lostMost  = 2 * time.Second
)

// reached takes in whether an attempt reached the target.
func (g *group) reached(now time.Time, ok bool) {
	if ok {
		g.lost = 0
		return
	}
	g.failed = now
	g.retry = now.Add(min(lostFirst<<min(g.lost, 8), lostMost))
	g.lost++
}

func (g *group) leftOut(now time.Time) bool { return g.lost > 0 && now.Before(g.retry) }

// caps is what the group may run at now; nothing without permission.
func (g *group) caps(now time.Time) [note.Ranks]int {
	caps, _ := g.loan.Caps(now)
	return caps
}

// job is a started request.
type job struct {
	group  *group
	rank   note.Rank
	org    string
	cost   int
	output int
	at     time.Time
	// within is whether it was started within its rank's floor.
	within bool
	// began is whether its first token has arrived; urgent whether the engine pauses it for nothing.
	began, urgent bool
	// expected is the service time that was expected at the start.
	expected time.Duration
}

// Core decides for one service: which requests wait, start and are refused, and which demands are sent. It is plain: no
// clock, goroutine or socket.
type Core struct {
	daemon     string
	dataCentre string
	queue      admission.Queue
	picker     placement.Picker
	random     *rand.PCG
	groups     []*group
	// names holds the names of groups while their targets are replaced.
	names []string
	// revoked is the last generation of a group that lost a member. Entries stay, since a list of targets may lag; there
	// are no more than groups that ever broke.
	revoked map[string]uint64
	running map[uint64]job
	waiting map[uint64]wanted
	all     rates
	// fill is the part of the expected answer that is really generated; callers name an upper bound.
	fill average
	// miss is the mean relative error of the expected service time.
	miss  average
	conf  Configured
	orgs  map[string]int
	unmet [note.Ranks]bool
	// changed is whether waiting or running requests changed since the demands were counted at counted.
	changed bool
	counted time.Time
	trimmed time.Time
	watched time.Time
	// learned is when a result last changed the rates.
	learned  time.Time
	out      []Action
	choices  []placement.Candidate
	position []*group
	// passed holds the requests that this step has passed over because only targets that failed them have room.
	passed []uint64
	// at is the time of the last step.
	at time.Time
}

// wanted is what the queue doesn't keep of a waiting request.
type wanted struct {
	prefix []uint64
	output int
	avoid  []Tried
}

// NewCore returns the core of a service, without targets. seed seeds its random numbers.
func NewCore(daemon, dataCentre string, seed uint64) *Core {
	return &Core{
		daemon: daemon, dataCentre: dataCentre, random: rand.NewPCG(seed, 0),
		revoked: map[string]uint64{}, running: map[uint64]job{}, waiting: map[uint64]wanted{},
	}
}

// Step takes in a message and returns what to do, in order. The result is valid until the next call.
func (c *Core) Step(now time.Time, m Message) []Action {
	c.out, c.at = c.out[:0], now
	switch m := m.(type) {
	case Submit:
		c.measure(now)
		c.submit(now, m)
	case Withdraw:
		c.withdraw(m.Key)
	case Done:
		c.done(now, m)
	case Granted:
		if g := c.find(m.Grant.Group, m.Grant.Generation); g != nil {
			g.loan.Accept(now, m.From, m.Grant)
		}
	case Withdrawn:
		if g := c.find(m.Lent.Group, m.Lent.Generation); g != nil {
			g.loan.Withdraw(now, m.From, m.Lent)
		}
	case Proved:
		if g := c.find(m.Group, m.Generation); g != nil {
			g.loan.RecordPresence(m.At, m.Generation)
			if g.lost > 0 && m.At.After(g.failed) {
				g.reached(now, true)
			}
		}
	case Began:
		if j, ok := c.running[m.Key]; ok {
			j.began = true
			c.running[m.Key] = j
		}
		return nil
	case Loaded:
		c.picker.RecordLoad(now, m.Group, m.Load)
		return nil
	case Cached:
		c.picker.ApplyCacheEvents(now, m.Group, m.Generation, m.Next, m.Events)
		return nil
	case Revoked:
		c.revoke(m)
	case Targets:
		c.targets(m)
	case Configured:
		c.configure(m)
	}
	c.measure(now)
	c.watch(now)
	c.expire(now)
	c.start(now)
	c.report(now)
	return c.out
}

const (
	// watchPeriod is how often requests without a first token are looked at. Load reports show a straggler only after
	// three of them, which is too late for one live request in a hundred.
	watchPeriod = 50 * time.Millisecond
	// lateRatio is how many times the mean time to the first token a request may wait for it, and lateLeast bounds that
	// time from below, where means are short and noise is not.
	lateRatio = 2.5
	lateLeast = 100 * time.Millisecond
	// lateCount is how many such requests make their group a straggler. One alone may have a long prompt.
	lateCount = 2
)

// watch finds groups on which urgent requests wait for their first token while most other groups have none that wait.
func (c *Core) watch(now time.Time) {
	if now.Sub(c.watched) < watchPeriod || len(c.running) == 0 || !c.all.first.some {
		return
	}
	c.watched = now
	limit := max(lateLeast, time.Duration(lateRatio*float64(seconds(c.all.first))))
	for _, g := range c.groups {
		g.late = 0
	}
	for _, j := range c.running {
		if j.urgent && !j.began && now.Sub(j.at) > limit {
			j.group.late++
		}
	}
	late := 0
	for _, g := range c.groups {
		if g.late > 0 || c.picker.IsStraggler(g.target.Group) {
			late++
		}
	}
	// Where many groups are late the service is overloaded, and leaving them out would only load the rest.
	if 4*late > len(c.groups) {
		return
	}
	for _, g := range c.groups {
		if g.late >= lateCount && !g.target.Fixed {
			c.picker.MarkStraggler(g.target.Group)
		}
	}
}

// Next is when Step has to be called next, if nothing else happens before.
func (c *Core) Next() (time.Time, bool) {
	next, ok := c.queue.NextExpiry()
	earlier := func(t time.Time) {
		if !ok || t.Before(next) {
			next, ok = t, true
		}
	}
	for _, g := range c.groups {
		if !g.target.Fixed {
			earlier(g.loan.Due())
		}
	}
	if c.changed {
		earlier(c.counted.Add(countPeriod))
	}
	if len(c.waiting) > 0 {
		for _, g := range c.groups {
			if g.lost > 0 && g.retry.After(c.at) {
				earlier(g.retry)
			}
		}
		earlier(c.trimmed.Add(trimPeriod))
	}
	return next, ok
}

// staleAfter is how long rates are relied on that refuse every request. After a pause of the daemon they hold the time of
// the pause; since nothing then runs, nothing would correct them. In a run, a daemon that had been paused for 30 s refused
// 860 requests until it was restarted.
const staleAfter = time.Second

func (c *Core) submit(now time.Time, m Submit) {
	q := m.Request
	if len(c.groups) == 0 {
		c.refuse(m.Key, &Refusal{Kind: admission.NoTarget, Reason: "no group of the service is serving", RetryAfter: time.Second})
		return
	}
	if !slices.ContainsFunc(c.groups, func(g *group) bool { return !slices.Contains(q.Avoid, g.target.tried()) }) {
		c.refuse(m.Key, &Refusal{Kind: admission.NoTarget, Reason: fmt.Sprintf("each of the %d targets of the service has failed the request", len(c.groups)), RetryAfter: time.Second})
		return
	}
	out := q.Output
	if out <= 0 {
		out = q.Cost
	}
	service := c.all.expect(float64(out) * c.fill.or(1))
	if now.Add(service).After(q.Deadline) && len(c.running) == 0 && now.Sub(c.learned) >= staleAfter {
		c.all, c.fill, c.miss, c.learned, service = rates{}, average{}, average{}, now, 0
	}
	slow := time.Duration(float64(service) * (1 + 2*min(c.miss.or(0), 1)))
	e := admission.Entry{ID: m.Key, Rank: q.Rank, Organisation: q.Organisation, Cost: q.Cost, Deadline: q.Deadline, ServiceTime: service, SlowServiceTime: slow}
	if r := c.queue.Submit(now, e); r != nil {
		c.refuse(m.Key, r)
		return
	}
	c.waiting[m.Key] = wanted{q.Prefix, out, q.Avoid}
	c.changed = true
}

func (c *Core) refuse(key uint64, r *Refusal) {
	c.changed = true
	delete(c.waiting, key)
	c.out = append(c.out, Action{Verb: Refuse, Key: key, Refusal: r})
}

func (c *Core) withdraw(key uint64) {
	switch c.queue.Withdraw(key) {
	case admission.Queued:
		delete(c.waiting, key)
		c.changed = true
	case admission.Started:
		c.out = append(c.out, Action{Verb: Cancel, Key: key, Target: c.running[key].group.target})
	}
}

func (c *Core) done(now time.Time, m Done) {
	j, ok := c.running[m.Key]
	if !ok {
		return
	}
	delete(c.running, m.Key)
	c.changed = true
	j.group.running[j.rank]--
	if j.within {
		j.group.within[j.rank]--
	}
	j.group.total--
	c.picker.RecordEnded(now, j.group.target.Group)
	r := m.Result
	// What started before the last failure tells nothing of the target since then.
	if g := j.group; (r.Unreachable || !r.Failed) && (g.lost == 0 || j.at.After(g.failed)) {
		g.reached(now, !r.Unreachable)
	}
	cost := -1
	if r.Tokens > 0 || r.Failed {
		cost = max(0, j.cost-j.output+r.Tokens)
	}
	c.queue.Done(m.Key, cost)
	if r.Failed || r.Total <= 0 {
		return
	}
	c.all.learn(r)
	c.learned = now
	if r.Tokens > 0 {
		c.fill.add(float64(r.Tokens) / float64(j.output))
	}
	if j.expected > 0 {
		c.miss.add(math.Abs(float64(r.Total-j.expected)) / float64(j.expected))
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

// revoke stops the use of a generation for good, also when the list of targets still names it.
func (c *Core) revoke(m Revoked) {
	c.revoked[m.Group] = max(c.revoked[m.Group], m.Generation)
	c.groups = slices.DeleteFunc(c.groups, func(g *group) bool { return c.dead(g.target) })
}

func (c *Core) dead(t Target) bool {
	last, ok := c.revoked[t.Group]
	return ok && t.Generation <= last
}

// targets replaces the groups. A group keeps its permission, counts and rates while its generation stays; requests that
// run on an earlier generation no longer count.
func (c *Core) targets(m Targets) {
	var next []*group
	for _, t := range m.List {
		if c.dead(t) {
			continue
		}
		g := c.find(t.Group, t.Generation)
		if g == nil {
			g = &group{loan: share.Borrower{Self: c.daemon, Group: t.Group}}
		}
		g.target = t
		if !t.Fixed {
			g.loan.SetGeneration(t.Generation, t.Slots)
			g.loan.SetHomes(m.Homes[t.Group])
		}
		next = append(next, g)
	}
	c.groups = next
	c.names = c.names[:0]
	for _, g := range next {
		c.names = append(c.names, g.target.Group)
	}
	c.picker.Retain(c.names)
}

func (c *Core) configure(m Configured) {
	c.conf = m
	c.queue.Configure(m.Limits)
	c.orgs = make(map[string]int, len(m.Organisations))
	for i, o := range m.Organisations {
		c.orgs[o] = i
	}
}

// measure tells the queue how much the service can run at once.
func (c *Core) measure(now time.Time) {
	var p admission.Capacity
	open := c.anyOpen(now)
	for _, g := range c.groups {
		if open && g.leftOut(now) {
			continue
		}
		caps := g.caps(now)
		for r := range p.Slots {
			if !g.target.Fixed {
				p.Slots[r] += caps[r]
				continue
			}
			p.Shared = true
			p.Slots[r] += g.target.Slots
			p.Floor[r] += floor(c.conf.Floors[r], g.target.Slots)
		}
	}
	c.queue.SetCapacity(p)
}

func floor(part float64, slots int) int { return int(math.Ceil(part*float64(slots) - 1e-9)) }

func (c *Core) expire(now time.Time) {
	for _, d := range c.queue.Expire(now) {
		c.refuse(d.Entry.ID, d.Refusal)
	}
	if len(c.waiting) == 0 || now.Sub(c.trimmed) < trimPeriod {
		return
	}
	c.trimmed = now
	for _, d := range c.queue.Trim(now) {
		c.refuse(d.Entry.ID, d.Refusal)
	}
}

// start gives slots to waiting requests, urgent ones first, each rank within its caps. Where a rank's caps are used up,
// organisations with a single request waiting may use what their homes lend beyond the caps.
func (c *Core) start(now time.Time) {
	for r := range note.Rank(note.Ranks) {
		c.passed = c.passed[:0]
		for {
			e, ok := c.queue.PeekSkipping(r, c.passed)
			if !ok {
				break
			}
			g := c.choose(now, r, c.waiting[e.ID], false)
			if g == nil && len(c.waiting[e.ID].avoid) > 0 {
				c.passed = append(c.passed, e.ID)
				continue
			}
			if g == nil {
				break
			}
			c.begin(now, e, g)
		}
		c.passed = c.passed[:0]
		for {
			e, ok := c.queue.PeekOnlyEntry(r, c.passed)
			if !ok {
				break
			}
			if g := c.choose(now, r, c.waiting[e.ID], true); g != nil {
				c.begin(now, e, g)
				continue
			}
			if len(c.waiting[e.ID].avoid) == 0 {
				break
			}
			c.passed = append(c.passed, e.ID)
		}
	}
}

// begin gives a request a slot of a group.
func (c *Core) begin(now time.Time, e admission.Entry, g *group) {
	r := e.Rank
	if g.lost > 0 {
		g.retry = now.Add(lostMost)
	}
	c.queue.StartEntry(now, e.ID)
	c.picker.RecordSent(now, g.target.Group, placement.Query{PrefixHashes: c.waiting[e.ID].prefix, DataCentre: c.dataCentre})
	within := g.within[r] < g.loan.FloorSlots(now)[r]
	if within {
		g.within[r]++
	}
	p := priority(r, c.queue.Backlog(r, e.Organisation) > 0, within)
	c.running[e.ID] = job{g, r, e.Organisation, e.Cost, c.waiting[e.ID].output, now, within, false, p <= priorityFloor, e.ServiceTime}
	delete(c.waiting, e.ID)
	g.running[r]++
	g.total++
	c.out = append(c.out, Action{Verb: Start, Key: e.ID, Target: g.target, Priority: p})
}

// anyOpen tells whether there is a target that is not left out. Without one, none is left out: a request that fails at
// once is better than one that waits for a target that may not return.
func (c *Core) anyOpen(now time.Time) bool {
	return slices.ContainsFunc(c.groups, func(g *group) bool { return !g.leftOut(now) })
}

// choose picks a group with room for a request, nil if there is none. extra counts what may exceed the caps.
func (c *Core) choose(now time.Time, r note.Rank, w wanted, extra bool) *group {
	c.choices, c.position = c.choices[:0], c.position[:0]
	open := c.anyOpen(now)
	for _, g := range c.groups {
		if open && g.leftOut(now) || slices.Contains(w.avoid, g.target.tried()) {
			continue
		}
		free := c.free(now, g, r)
		if extra && !g.target.Fixed && g.loan.MayExceedCap(now)[r] {
			free++
		}
		if free > 0 {
			c.choices = append(c.choices, placement.Candidate{Group: g.target.Group, DataCentre: g.target.DataCentre, Slots: g.target.Slots, Running: g.total, Free: free})
			c.position = append(c.position, g)
		}
	}
	if len(c.choices) == 0 {
		return nil
	}
	i := c.picker.Pick(placement.Query{PrefixHashes: w.prefix, DataCentre: c.dataCentre, Urgent: r == note.RankLive}, c.choices, c.random.Uint64())
	if i < 0 {
		return nil
	}
	return c.position[i]
}

// free is how many more requests of a rank the group may run.
//
// The home's caps already leave the floors free. Its overnight cap may be older than what this daemon has started since,
// so overnight work also leaves the slots that this daemon's own requests occupy. On a fixed target, the floors of less
// urgent ranks with something waiting are kept free here.
func (c *Core) free(now time.Time, g *group, r note.Rank) int {
	if !g.target.Fixed {
		n := g.caps(now)[r] - g.running[r]
		if r == note.RankOvernight && g.target.Slots > 0 {
			n = min(n, g.target.Slots-g.total)
		}
		return n
	}
	n := g.target.Slots - g.total
	for q := r + 1; q < note.Ranks; q++ {
		if c.queue.Waiting(q) > 0 {
			n -= max(0, floor(c.conf.Floors[q], g.target.Slots)-g.running[q])
		}
	}
	return n
}

// countPeriod bounds how often demands are counted while requests come and go: counting passes over all running requests.
// A demand that turns from met to unmet is counted at once, so that it is reported at once.
const countPeriod = share.MinReportInterval / 2

// report sends the demands that are due. The borrowers decide when that is.
func (c *Core) report(now time.Time) {
	turned := false
	for r := range c.unmet {
		w := c.queue.Waiting(note.Rank(r)) > 0
		turned = turned || w && !c.unmet[r]
		c.unmet[r] = w
	}
	count := turned || c.changed && now.Sub(c.counted) >= countPeriod
	if count {
		c.changed, c.counted = false, now
	}
	for _, g := range c.groups {
		if g.target.Fixed || !count && now.Before(g.loan.Due()) {
			continue
		}
		g.loan.SetDemand(now, c.conf.Revision, c.lines(g))
		if r, ok := g.loan.Step(now); ok {
			c.out = append(c.out, Action{Verb: Report, Report: r})
		}
	}
}

// lines is the demand for a group. Waiting requests could run on any group, so each group is asked for an even part of
// them, rounded up: asking every group for all of them would borrow several slots for one request. Requests of
// organisations that the configuration no longer names have no index and are left out.
func (c *Core) lines(g *group) []share.DemandLine {
	n := 0
	for _, o := range c.groups {
		if !o.target.Fixed {
			n++
		}
	}
	var lines []share.DemandLine
	line := func(r note.Rank, org string) *share.DemandLine {
		i, ok := c.orgs[org]
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
	for r := range note.Rank(note.Ranks) {
		c.queue.Flows(r, func(org string, waiting int) {
			if l := line(r, org); l != nil {
				l.Waiting = (waiting + n - 1) / n
			}
		})
	}
	for _, j := range c.running {
		if j.group != g {
			continue
		}
		if l := line(j.rank, j.org); l != nil {
			l.Running++
		}
	}
	return lines
}

// average is an exponentially weighted moving average. The weight of a new value is 1/8, so that a change shows within
// some 20 requests and one outlier moves it little.
type average struct {
	v    float64
	some bool
}

func (a *average) add(v float64) {
	if !a.some {
		a.v, a.some = v, true
		return
	}
	a.v += (v - a.v) / 8
}

func (a average) or(def float64) float64 {
	if a.some {
		return a.v
	}
	return def
}

// rates is what has been learnt of the speed of a service, in seconds.
type rates struct{ first, token average }

// learn takes in a result. Without a count of tokens the whole time counts as the time to the first one, which is right
// for plain services.
func (s *rates) learn(r Result) {
	if r.Tokens <= 0 || r.First <= 0 {
		s.first.add(r.Total.Seconds())
		return
	}
	s.first.add(r.First.Seconds())
	if r.Tokens > 1 {
		s.token.add((r.Total - r.First).Seconds() / float64(r.Tokens-1))
	}
}

// expect is the service time of an answer of so many tokens; 0 when nothing has been learnt.
func (s *rates) expect(tokens float64) time.Duration {
	return time.Duration((s.first.or(0) + max(0, tokens-1)*s.token.or(0)) * float64(time.Second))
}

func seconds(a average) time.Duration { return time.Duration(a.or(0) * float64(time.Second)) }
