package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"flamingorudder.example/internal/route"
)

// This file simulates load: callers that retry, daemons, and model groups that work in passes. A placer, the
// Scheduler or a baseline, makes the decisions; nothing else differs between two simulations with one seed.

const (
	// simulationStep is the time resolution of a simulation.
	simulationStep = time.Millisecond
	// eventJitter is how much one event may be delayed more than the one before it.
	eventJitter = 8 * time.Millisecond
	// engineDelay is how long a simulated engine takes before it looks at a prompt; no plan includes it.
	engineDelay = 120 * time.Millisecond
)

// workload is one kind of requests.
type workload struct {
	name                               string
	model, rank                        int
	perSecond                          float64
	prompt, promptDeviation, maxPrompt float64
	events                             float64
	objective, gap, limit              time.Duration
}

// topTenth returns the prompt size that the largest tenth exceeds.
func (w *workload) topTenth() float64 {
	s2 := math.Log(1 + w.promptDeviation*w.promptDeviation)
	return min(math.Exp(math.Log(w.prompt)-s2/2+1.2816*math.Sqrt(s2)), 0.99*w.maxPrompt)
}

// scenario is a simulated load.
type scenario struct {
	seed    uint64
	daemons int
	// groups is the number of groups of each model.
	groups []int
	work   []workload
	length time.Duration
	// rate multiplies a workload's rate at a time; organisation draws the organisation of a request, of which 0 is a
	// large one.
	rate         func(w *workload, at time.Duration) float64
	organisation func(r *rand.Rand, w *workload, at time.Duration) int
	// size multiplies the prompts of an organisation.
	size func(organisation int) float64
	// impatient is the fraction of callers that retry at once after a rejection, up to four times.
	impatient float64
	// memory is the number of tokens that a group holds, as far as the placer knows; 0 if it does not.
	memory int
	// fault changes the groups at a time.
	fault func(f *simulation)
	// values holds what a request of each kind and of mean size earns in time and late.
	values map[string][2]float64
}

// simRequest is a request of a caller, over all its attempts.
type simRequest struct {
	id           uint64
	work         *workload
	organisation int
	prompt       int
	events       int
	// tokens is how many tokens the request is expected to hold; 0 without a known memory.
	tokens             int
	daemon             int
	firstSent, arrived time.Duration
	limit, until       time.Duration
	attempts           int
	impatient          bool
	// The fields below describe the current placement.
	group      *simGroup
	placed     time.Duration
	enqueuedAt time.Duration
	unread     int
	sentEvents int
	first      time.Duration
	last       time.Duration
	maxPause   time.Duration
	estimate   Estimate
	// waitTime is how long the request has waited for placement in all.
	waitTime time.Duration
}

// load is the load of a request that has been placed, endOf what ends it when so many tokens of its prompt are unread.
func (q *simRequest) load() Load { return RequestLoad(q.prompt, q.tokens) }

func (q *simRequest) endOf(unread int) Load {
	l := q.load()
	l.QueuedTokens = unread
	return l.Negative()
}

// simGroup is a model group.
type simGroup struct {
	index, model int
	down         bool
	// fails is set while the group answers every request with a failure at once.
	fails bool
	// lost is the fraction of the requests whose answers are lost.
	lost     float64
	slow     float64
	arriving []*simRequest
	waiting  []*simRequest
	running  []*simRequest
	passEnd  time.Duration
	busy     bool
	// load is the group's true load.
	load Load
	// held is the number of tokens of its requests when all of them end.
	held int
}

func (g *simGroup) key() string { return strconv.Itoa(g.index) }

// placer decides which groups take requests.
type placer interface {
	arrive(f *simulation, q *simRequest)
	tick(f *simulation)
	first(f *simulation, q *simRequest)
	end(f *simulation, q *simRequest, unread int)
	failed(f *simulation, q *simRequest)
}

// tally counts the outcomes of requests.
type tally struct {
	requests, inTime, lateAnswers, rejected float64
	// cutOff counts those of lateAnswers whose group was lost.
	cutOff float64
	// waitedAndRejected counts requests that waited longer than an eighth of their objective before their final
	// rejection.
	waitedAndRejected float64
	// value is what the requests earned, worth what they would have earned had all been in time.
	value, worth float64
}

// valueShare returns the earned fraction of the value.
func (t *tally) valueShare() float64 { return t.value / max(t.worth, 1e-9) }

// onTimeRate returns the fraction of requests whose answers began in time and had no long pauses.
func (t *tally) onTimeRate() float64 { return t.inTime / max(t.requests, 1) }

// servedRate returns the fraction of requests that were answered at all.
func (t *tally) servedRate() float64 { return (t.inTime + t.lateAnswers) / max(t.requests, 1) }

type simulation struct {
	scenario
	now      time.Duration
	rand     *rand.Rand
	plans    []*Plan
	all      []*simGroup
	placer   placer
	lastID   uint64
	retrying []*simRequest
	weights  []float64
	// tallies are keyed by workload, by workload of the large organisation and of the small ones, by workload of long
	// prompts, and by the patience of callers.
	tallies map[string]*tally
	// seconds holds the outcomes of the requests first sent in each second.
	seconds []tally
	// returned counts the callers that came back when they were told to, rejectedAgain those of them that were rejected again.
	returned, rejectedAgain float64
	// mostHeld is the largest number of tokens that a group has held.
	mostHeld int
}

// simulationPlans returns a large slow model and a small fast one.
func simulationPlans() []*Plan {
	e := &route.Engine{
		Slots: 34, Stride: 5, Step: 6070 * time.Microsecond, PerRequest: 241 * time.Microsecond, PrefillRate: 46000, Chunk: 2048, UsualAnswer: 108,
	}
	return []*Plan{{Engine: e, Model: &route.Model{Name: "large", Size: 8, TimeFactor: 1}}, {Engine: e, Model: &route.Model{Name: "small", Size: 4, TimeFactor: 0.6}}}
}

// simulationWorkloads returns the daily work of a fleet of 72 daemons at its usual rate.
func simulationWorkloads() []workload {
	ms := time.Millisecond
	return []workload{
		{"drafts", 0, 5, 57, 1460, 1, 4030, 23.2, 500 * ms, 300 * ms, 8000 * ms},
		{"summaries", 1, 4, 346, 714, 0.89, 2340, 23.2, 250 * ms, 200 * ms, 6000 * ms},
		{"notes", 0, 6, 35.6, 2000, 1.3, 5880, 4.5, 1000 * ms, 300 * ms, 8000 * ms},
	}
}

// simulate runs a scenario with a placer.
func simulate(l scenario, p placer) *simulation {
	f := &simulation{scenario: l, rand: rand.New(rand.NewPCG(l.seed, 1)), plans: simulationPlans(), placer: p, tallies: map[string]*tally{}}
	for _, plan := range f.plans {
		plan.Engine.KVTokens = l.memory
	}
	f.seconds = make([]tally, l.length/time.Second+1)
	for model, n := range l.groups {
		for range n {
			f.all = append(f.all, &simGroup{index: len(f.all), model: model, slow: 1})
		}
	}
	// Callers keep their connections, so some daemons get several times the requests of others.
	for range l.daemons {
		f.weights = append(f.weights, f.rand.ExpFloat64()+f.rand.ExpFloat64()+f.rand.ExpFloat64())
	}
	for ; f.now < l.length+9*time.Second; f.now += simulationStep {
		if l.fault != nil {
			l.fault(f)
		}
		if f.now < l.length {
			for i := range f.work {
				f.generate(&f.work[i])
			}
		}
		f.retry()
		for _, g := range f.all {
			f.runPass(g)
		}
		f.placer.tick(f)
	}
	return f
}

func (f *simulation) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

func (f *simulation) daemon() int {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	x := f.rand.Float64() * total
	for i, w := range f.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(f.weights) - 1
}

// lognormal draws a size.
func (f *simulation) lognormal(mean, spread, most float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return min(math.Exp(math.Log(mean)-s2/2+math.Sqrt(s2)*f.rand.NormFloat64()), most)
}

// generate creates the new requests of a workload.
func (f *simulation) generate(w *workload) {
	rate := w.perSecond
	if f.rate != nil {
		rate *= f.rate(w, f.now)
	}
	if f.rand.Float64() >= rate*simulationStep.Seconds() {
		return
	}
	f.lastID++
	q := &simRequest{
		id: f.lastID, work: w, prompt: int(f.lognormal(w.prompt, w.promptDeviation, w.maxPrompt)) + 1, events: int(f.lognormal(w.events, 0.8, 57)) + 1,
		firstSent: f.now - callerNetworkTime/2, limit: time.Duration(float64(w.limit) * (0.83 + 0.17*f.rand.Float64())), impatient: f.rand.Float64() < f.impatient,
	}
	if f.organisation != nil {
		q.organisation = f.organisation(f.rand, w, f.now)
	}
	if f.size != nil {
		q.prompt = int(float64(q.prompt)*f.size(q.organisation)) + 1
	}
	q.tokens = NewMemory(f.plans[w.model].Engine, 0).Tokens(q.prompt, 1000)
	q.until = f.now + q.limit
	f.arrive(q)
}

func (f *simulation) arrive(q *simRequest) {
	q.daemon, q.arrived = f.daemon(), f.now
	q.attempts++
	if q.attempts == 2 && !q.impatient {
		f.returned++
	}
	f.placer.arrive(f, q)
}

// retry sends the requests of rejected callers again.
func (f *simulation) retry() {
	due := slices.Clone(f.retrying)
	f.retrying = f.retrying[:0]
	for _, q := range due {
		if q.arrived <= f.now {
			f.arrive(q)
		} else {
			f.retrying = append(f.retrying, q)
		}
	}
}

// place gives a request to a group.
func (f *simulation) place(q *simRequest, g *simGroup, estimate Estimate) {
	q.group, q.placed, q.enqueuedAt, q.unread, q.sentEvents, q.first, q.maxPause = g, f.now, f.now+engineDelay, q.prompt, 0, 0, 0
	q.estimate = estimate
	q.waitTime += f.now - q.arrived
	g.arriving = append(g.arriving, q)
	g.load = g.load.Add(q.load())
	g.held += f.tokensOf(q)
	f.mostHeld = max(f.mostHeld, g.held)
}

// reject rejects a request.
func (f *simulation) reject(q *simRequest, retryAfter time.Duration) {
	q.waitTime += f.now - q.arrived
	tries := 2
	if q.attempts == 2 && !q.impatient {
		f.rejectedAgain++
	}
	if q.impatient {
		tries, retryAfter = 5, 50*time.Millisecond
	}
	if q.attempts >= tries || f.now+retryAfter >= q.until {
		f.count(q, func(t *tally) {
			t.rejected++
			if q.waitTime > q.work.objective/8 {
				t.waitedAndRejected++
			}
		})
		return
	}
	q.arrived = f.now + min(retryAfter, (q.until-f.now)/3)
	f.retrying = append(f.retrying, q)
}

func (f *simulation) count(q *simRequest, add func(t *tally)) {
	size := "large "
	if q.organisation > 0 {
		size = "small "
	}
	names := []string{q.work.name, size + q.work.name}
	names = append(names, "all", size+"all", "organisation "+strconv.Itoa(q.organisation))
	if float64(q.prompt) > 2*q.work.prompt {
		names = append(names, "long "+q.work.name)
	}
	if float64(q.prompt) > q.work.topTenth() {
		names = append(names, "tenth "+q.work.name)
	}
	if q.impatient {
		names = append(names, "impatient")
	} else {
		names = append(names, "patient")
	}
	for _, name := range names {
		if f.tallies[name] == nil {
			f.tallies[name] = &tally{}
		}
		f.tallies[name].requests++
		add(f.tallies[name])
	}
	var one tally
	add(&one)
	if v, ok := f.values[q.work.name]; ok {
		// A request's value grows with its size.
		size := 0.3 + 0.7*float64(q.prompt)/q.work.prompt
		for _, name := range names {
			f.tallies[name].worth += v[0] * size
			f.tallies[name].value += (v[0]*one.inTime + v[1]*(one.lateAnswers-one.cutOff)) * size
		}
	}
	s := &f.seconds[min(int(q.firstSent/time.Second), len(f.seconds)-1)]
	s.requests++
	add(s)
}

// tallyOf returns the tally of a name.
func (f *simulation) tallyOf(name string) *tally {
	if t := f.tallies[name]; t != nil {
		return t
	}
	return &tally{}
}

// fail cuts off the requests of a group; their callers see a failure.
func (f *simulation) fail(g *simGroup) {
	g.down, g.busy = true, false
	for _, list := range [][]*simRequest{g.arriving, g.waiting, g.running} {
		for _, q := range list {
			f.release(q)
			f.count(q, func(t *tally) { t.lateAnswers, t.cutOff = t.lateAnswers+1, t.cutOff+1 })
		}
	}
	g.arriving, g.waiting, g.running = nil, nil, nil
}

// cutOff fails a request at its group.
func (f *simulation) cutOff(q *simRequest) {
	f.release(q)
	f.placer.failed(f, q)
	f.count(q, func(t *tally) { t.lateAnswers, t.cutOff = t.lateAnswers+1, t.cutOff+1 })
}

// release ends a request's work at its group.
func (f *simulation) release(q *simRequest) {
	unread := 0
	if q.first == 0 {
		unread = q.prompt
	}
	q.group.load = q.group.load.Add(q.endOf(unread))
	q.group.held -= f.tokensOf(q)
	f.placer.end(f, q, unread)
}

// tokensOf returns the tokens that a request holds when it ends.
func (f *simulation) tokensOf(q *simRequest) int {
	return q.prompt + q.events*f.plans[q.work.model].Engine.Stride
}

// runPass advances a group by one pass.
func (f *simulation) runPass(g *simGroup) {
	if g.down || g.busy && f.now < g.passEnd {
		return
	}
	if g.fails {
		for _, q := range g.arriving {
			f.cutOff(q)
		}
		g.arriving = nil
	}
	if g.busy {
		f.emitEvents(g)
	}
	engine := f.plans[g.model].Engine
	entered := 0
	for _, q := range g.arriving {
		if q.enqueuedAt > f.now {
			break
		}
		entered++
		if g.lost > 0 && f.rand.Float64() < g.lost {
			f.cutOff(q)
			continue
		}
		g.waiting = append(g.waiting, q)
	}
	g.arriving = g.arriving[entered:]
	slices.SortStableFunc(g.waiting, func(a, b *simRequest) int { return cmp.Compare(a.work.rank, b.work.rank) })
	for len(g.waiting) > 0 && len(g.running) < engine.Slots {
		g.running = append(g.running, g.waiting[0])
		g.waiting = g.waiting[1:]
	}
	if len(g.running) == 0 {
		return
	}
	steps := 1
	for _, q := range g.running {
		if q.unread == 0 {
			steps = engine.Stride
		}
	}
	room, read := steps*engine.Chunk, 0
	for _, q := range g.running {
		n := min(q.unread, room)
		q.unread -= n
		room -= n
		read += n
	}
	plan := f.plans[g.model]
	took := plan.PassTime(len(g.running))*time.Duration(steps)/time.Duration(engine.Stride) + plan.PrefillTime(read)
	g.busy, g.passEnd = true, f.now+time.Duration(float64(took)*g.slow)
}

// emitEvents sends the events of the requests that a pass has worked on.
func (f *simulation) emitEvents(g *simGroup) {
	g.busy = false
	var ended []*simRequest
	g.running = slices.DeleteFunc(g.running, func(q *simRequest) bool {
		if q.unread > 0 {
			return false
		}
		if q.sentEvents++; q.sentEvents == 1 {
			q.first = f.now
			g.load.QueuedTokens -= q.prompt
			f.placer.first(f, q)
		} else {
			q.maxPause = max(q.maxPause, f.now-q.last)
		}
		q.last = f.now
		if q.sentEvents < q.events {
			return false
		}
		ended = append(ended, q)
		return true
	})
	for _, q := range ended {
		f.release(q)
		f.count(q, func(t *tally) {
			switch {
			case f.now > q.until:
				t.rejected++
			case q.first-q.firstSent+callerNetworkTime/2 <= q.work.objective && q.maxPause+eventJitter <= q.work.gap:
				t.inTime++
			default:
				t.lateAnswers++
			}
		})
	}
}

// String returns the outcomes of each workload, and of each two seconds.
func (f *simulation) String() string {
	out := ""
	for i := range f.work {
		t := f.tallyOf(f.work[i].name)
		out += fmt.Sprintf("%s: %.0f requests, in time %.3f, late %.3f, rejected %.3f, rejected after waiting %.3f; ",
			f.work[i].name, t.requests, t.onTimeRate(), t.lateAnswers/t.requests, t.rejected/t.requests, t.waitedAndRejected/t.requests)
	}
	out += "in time by two seconds:"
	for i := 0; i+1 < len(f.seconds); i += 2 {
		out += fmt.Sprintf(" %.2f", (f.seconds[i].inTime+f.seconds[i+1].inTime)/max(f.seconds[i].requests+f.seconds[i+1].requests, 1))
	}
	return out
}

// centralPlacer places the requests of each model by one Scheduler, which learns of first events and ends with the
// delay of reports.
type centralPlacer struct {
	delay      time.Duration
	schedulers []*Scheduler
	loads      []Load
	updates    []loadUpdate
	waiting    map[uint64]*simRequest
	// unreported is the fraction of the daemons whose work is not known.
	unreported float64
}

// loadUpdate is a delayed change of a group's known load.
type loadUpdate struct {
	at    time.Duration
	group int
	by    Load
}

// reportDelay is how late a scheduler learns of a first event or an end.
const reportDelay = 25 * time.Millisecond

func newCentral() *centralPlacer {
	return &centralPlacer{delay: reportDelay, waiting: map[uint64]*simRequest{}}
}

func (c *centralPlacer) setup(f *simulation) {
	if c.loads == nil {
		c.loads = make([]Load, len(f.all))
		for range f.plans {
			c.schedulers = append(c.schedulers, NewScheduler())
		}
	}
}

func (c *centralPlacer) arrive(f *simulation, q *simRequest) {
	c.setup(f)
	c.waiting[q.id] = q
	start := f.clock().Add(-f.now)
	c.schedulers[q.work.model].Put(f.clock(), &Waiter{
		Ticket: Ticket{ID: q.id}, Organisation: strconv.Itoa(q.organisation),
		Request: Request{
			Rank: q.work.rank, Prompt: q.prompt, Tokens: q.tokens, Objective: q.work.objective, Gap: q.work.gap, Fingerprint: q.id, CallerTimeout: q.until - f.now,
			Arrived: f.clock(), Until: start.Add(q.until),
		},
	})
	c.decide(f, q.work.model)
}

func (c *centralPlacer) first(f *simulation, q *simRequest) {
	c.updates = append(c.updates, loadUpdate{f.now + c.delay, q.group.index, Load{QueuedTokens: -q.prompt}})
	c.schedulers[q.work.model].RecordFirstEvent(f.clock(), q.group.key(), q.estimate, f.now-q.placed)
}

func (c *centralPlacer) failed(f *simulation, q *simRequest) {
	c.schedulers[q.work.model].RecordFailure(f.clock(), q.group.key())
}

func (c *centralPlacer) end(f *simulation, q *simRequest, unread int) {
	c.updates = append(c.updates, loadUpdate{f.now + c.delay, q.group.index, q.endOf(unread)})
}

func (c *centralPlacer) tick(f *simulation) {
	heard := 0
	for _, n := range c.updates {
		if n.at > f.now {
			break
		}
		c.loads[n.group] = c.loads[n.group].Add(n.by)
		heard++
	}
	c.updates = c.updates[heard:]
	if heard > 0 || f.now%(25*time.Millisecond) == 0 {
		for model := range c.schedulers {
			c.decide(f, model)
		}
	}
}

func (c *centralPlacer) decide(f *simulation, model int) {
	s := c.schedulers[model]
	if s.Waiting() == 0 {
		return
	}
	var groups []Group
	for _, g := range f.all {
		if g.model == model {
			groups = append(groups, Group{Key: g.key(), Load: c.loads[g.index], Suspect: g.down})
		}
	}
	for _, d := range s.Step(f.clock(), f.plans[model], groups, c.unreported, f.rand.Float64) {
		q := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Group == "" {
			f.reject(q, d.RetryAfter)
			continue
		}
		i, err := strconv.Atoi(d.Group)
		if err != nil {
			panic(err)
		}
		c.loads[i] = c.loads[i].Add(q.load())
		f.place(q, f.all[i], d.Estimate)
	}
}

// restartedPlacer is a fleet whose daemons have all just started: at first each places its own requests without
// reports of the others, then all ask a scheduler that knows only the current work.
type restartedPlacer struct {
	*centralPlacer
	// separateUntil is until when each daemon places its own requests. Each then has a scheduler for each model, with
	// only its own work.
	separateUntil time.Duration
	own           []*centralPlacer
}

func (c *restartedPlacer) arrive(f *simulation, q *simRequest) {
	if f.now >= c.separateUntil {
		c.mergeLoads(f)
		c.centralPlacer.arrive(f, q)
		return
	}
	for len(c.own) < f.daemons {
		o := newCentral()
		o.unreported = 1 - 1/float64(f.daemons)
		c.own = append(c.own, o)
	}
	c.own[q.daemon].arrive(f, q)
}

func (c *restartedPlacer) tick(f *simulation) {
	for _, o := range c.own {
		o.tick(f)
	}
	if f.now >= c.separateUntil {
		c.mergeLoads(f)
	}
	c.centralPlacer.tick(f)
}

// mergeLoads has the daemons report their work to the common scheduler.
func (c *restartedPlacer) mergeLoads(f *simulation) {
	if c.loads != nil {
		return
	}
	c.setup(f)
	for _, g := range f.all {
		c.loads[g.index] = g.load
	}
}

func (c *restartedPlacer) placersOf(q *simRequest) []*centralPlacer {
	if len(c.own) == 0 || q.placed >= c.separateUntil {
		return []*centralPlacer{c.centralPlacer}
	}
	if c.loads == nil {
		return []*centralPlacer{c.own[q.daemon]}
	}
	return []*centralPlacer{c.own[q.daemon], c.centralPlacer}
}

func (c *restartedPlacer) first(f *simulation, q *simRequest) {
	for _, o := range c.placersOf(q) {
		o.first(f, q)
	}
}

func (c *restartedPlacer) end(f *simulation, q *simRequest, unread int) {
	for _, o := range c.placersOf(q) {
		o.end(f, q, unread)
	}
}

// independentPlacer is the baseline: every daemon places its own requests by delayed reports of the others' loads,
// and places a request while the plan estimates its first event in time. It is a simplified form of the placement
// before the Scheduler.
type independentPlacer struct {
	// period is how often daemons report their loads.
	period   time.Duration
	own      [][]Load
	reported [][]Load
	total    []Load
	queue    []*simRequest
}

func (a *independentPlacer) arrive(f *simulation, q *simRequest) {
	if a.own == nil {
		a.total = make([]Load, len(f.all))
		for range f.daemons {
			a.own = append(a.own, make([]Load, len(f.all)))
			a.reported = append(a.reported, make([]Load, len(f.all)))
		}
	}
	if !a.tryPlace(f, q) {
		a.queue = append(a.queue, q)
	}
}

func (a *independentPlacer) tryPlace(f *simulation, q *simRequest) bool {
	plan := f.plans[q.work.model]
	best, least := -1, math.Inf(1)
	for _, g := range f.all {
		if g.model != q.work.model || g.down {
			continue
		}
		own, reported := a.own[q.daemon][g.index], a.reported[q.daemon][g.index]
		l := a.total[g.index].Add(own).Add(reported.Negative())
		e := plan.Estimate(l, q.prompt)
		first := e.Passes + e.QueuedPrefill
		if l.Requests >= plan.Engine.Slots || float64(first) > float64(q.work.objective)*0.7 {
			continue
		}
		if score := float64(l.Requests)/34 + float64(first)/float64(q.work.objective) + 0.3*f.rand.Float64(); score < least {
			best, least = g.index, score
		}
	}
	if best < 0 {
		return false
	}
	a.own[q.daemon][best] = a.own[q.daemon][best].Add(q.load())
	f.place(q, f.all[best], Estimate{})
	return true
}

func (a *independentPlacer) first(_ *simulation, q *simRequest) {
	l := &a.own[q.daemon][q.group.index]
	l.QueuedTokens -= q.prompt
}

func (a *independentPlacer) failed(*simulation, *simRequest) {}

func (a *independentPlacer) end(_ *simulation, q *simRequest, unread int) {
	l := &a.own[q.daemon][q.group.index]
	*l = l.Add(q.endOf(unread))
}

func (a *independentPlacer) tick(f *simulation) {
	for i := range a.own {
		// The daemons report at different times.
		if (f.now+a.period*time.Duration(i)/time.Duration(f.daemons))%a.period >= simulationStep {
			continue
		}
		for g := range a.total {
			a.total[g] = a.total[g].Add(a.own[i][g]).Add(a.reported[i][g].Negative())
		}
		copy(a.reported[i], a.own[i])
	}
	if f.now%(5*time.Millisecond) != 0 {
		return
	}
	slices.SortStableFunc(a.queue, func(x, y *simRequest) int { return cmp.Compare(x.work.rank, y.work.rank) })
	a.queue = slices.DeleteFunc(a.queue, func(q *simRequest) bool {
		if a.tryPlace(f, q) {
			return true
		}
		late := f.now-q.arrived >= q.work.objective/2
		if late {
			f.reject(q, 900*time.Millisecond+time.Duration(f.rand.Float64()*float64(900*time.Millisecond)))
		}
		return late
	})
}
