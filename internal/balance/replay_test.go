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

// This file replays loads: callers who come back, daemons, and model groups that work in passes. The decisions are those of
// a placer, the Scheduler or a baseline, and nothing else differs between two replays of one seed.

const (
	// replayStep is the resolution of a replay.
	replayStep = time.Millisecond
	// eventDelay is what may delay one event more than the one before it.
	eventDelay = 8 * time.Millisecond
	// engineLag is what the replayed engines take before a prompt is looked at; no plan knows it.
	engineLag = 120 * time.Millisecond
)

// workload is a kind of requests.
type workload struct {
	name                  string
	model, rank           int
	perSecond             float64
	prompt, spread, most  float64
	events                float64
	objective, gap, limit time.Duration
}

// load is a replayed load.
type load struct {
	seed    uint64
	daemons int
	// groups is how many groups each model has.
	groups []int
	work   []workload
	length time.Duration
	// rate multiplies a workload's rate at a time; organisation draws the organisation of a request, of which 0 is a large
	// one.
	rate         func(w *workload, at time.Duration) float64
	organisation func(r *rand.Rand, w *workload, at time.Duration) int
	// impatient is the part of the callers who come back at once when they are refused, and up to four times.
	impatient float64
	// fault changes the groups at a time.
	fault func(f *fleet)
}

// replayed is a request of a caller, over its attempts.
type replayed struct {
	id            uint64
	work          *workload
	organisation  int
	prompt        int
	events        int
	daemon        int
	born, arrived time.Duration
	limit, until  time.Duration
	attempts      int
	impatient     bool
	// What follows is of the present place.
	group    *replayedGroup
	placed   time.Duration
	enters   time.Duration
	unread   int
	got      int
	first    time.Duration
	last     time.Duration
	pause    time.Duration
	estimate Estimate
	// held is how long the request waited for a place in all.
	held time.Duration
}

// replayedGroup is a model group.
type replayedGroup struct {
	index, model int
	down         bool
	// fails has it answer every request with a failure as soon as it comes.
	fails   bool
	slow    float64
	coming  []*replayed
	waiting []*replayed
	running []*replayed
	ends    time.Duration
	works   bool
	// load is its true load.
	load Load
}

func (g *replayedGroup) key() string { return strconv.Itoa(g.index) }

// placer decides where requests go.
type placer interface {
	arrive(f *fleet, q *replayed)
	tick(f *fleet)
	first(f *fleet, q *replayed)
	end(f *fleet, q *replayed, unread int)
	failed(f *fleet, q *replayed)
}

// tally is what became of requests.
type tally struct {
	asked, inTime, late, refused float64
	// cut are those of late whose group was lost.
	cut float64
	// heldAndRefused waited for longer than an eighth of their objective and were then refused for good.
	heldAndRefused float64
}

// met is the part of requests whose answers began in time and went on without long pauses.
func (t *tally) met() float64 { return t.inTime / max(t.asked, 1) }

// served is the part that was answered at all.
func (t *tally) served() float64 { return (t.inTime + t.late) / max(t.asked, 1) }

type fleet struct {
	load
	now     time.Duration
	rand    *rand.Rand
	plans   []*Plan
	all     []*replayedGroup
	placer  placer
	next    uint64
	away    []*replayed
	weights []float64
	// tallies are by workload, by workload of the large organisation and of the small ones, of the long prompts of each
	// workload, and by the patience of callers.
	tallies map[string]*tally
	// seconds is what became of the requests that first came in a second.
	seconds []tally
}

// replayPlans are a large slow model and a small quick one.
func replayPlans() []*Plan {
	e := &route.Engine{
		Slots: 34, Stride: 5, Step: 6070 * time.Microsecond, PerRequest: 241 * time.Microsecond, ReadRate: 46000, Chunk: 2048, UsualAnswer: 108,
	}
	return []*Plan{{Engine: e, Model: &route.Model{Name: "large", Size: 8, Pace: 1}}, {Engine: e, Model: &route.Model{Name: "small", Size: 4, Pace: 0.6}}}
}

// replayWork is a day's work of a fleet of 72 daemons at its usual rate.
func replayWork() []workload {
	ms := time.Millisecond
	return []workload{
		{"drafts", 0, 5, 57, 1460, 1, 4030, 23.2, 500 * ms, 300 * ms, 8000 * ms},
		{"summaries", 1, 4, 346, 714, 0.89, 2340, 23.2, 250 * ms, 200 * ms, 6000 * ms},
		{"notes", 0, 6, 35.6, 2000, 1.3, 5880, 4.5, 1000 * ms, 300 * ms, 8000 * ms},
	}
}

// replay plays a load against a placer.
func replay(l load, p placer) *fleet {
	f := &fleet{load: l, rand: rand.New(rand.NewPCG(l.seed, 1)), plans: replayPlans(), placer: p, tallies: map[string]*tally{}}
	f.seconds = make([]tally, l.length/time.Second+1)
	for model, n := range l.groups {
		for range n {
			f.all = append(f.all, &replayedGroup{index: len(f.all), model: model, slow: 1})
		}
	}
	// Callers keep their connections, so some daemons have several times the requests of others.
	for range l.daemons {
		f.weights = append(f.weights, f.rand.ExpFloat64()+f.rand.ExpFloat64()+f.rand.ExpFloat64())
	}
	for ; f.now < l.length+9*time.Second; f.now += replayStep {
		if l.fault != nil {
			l.fault(f)
		}
		if f.now < l.length {
			for i := range f.work {
				f.come(&f.work[i])
			}
		}
		f.comeBack()
		for _, g := range f.all {
			f.pass(g)
		}
		f.placer.tick(f)
	}
	return f
}

func (f *fleet) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

func (f *fleet) daemon() int {
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
func (f *fleet) lognormal(mean, spread, most float64) float64 {
	s2 := math.Log(1 + spread*spread)
	return min(math.Exp(math.Log(mean)-s2/2+math.Sqrt(s2)*f.rand.NormFloat64()), most)
}

// come has new requests of a workload arrive.
func (f *fleet) come(w *workload) {
	rate := w.perSecond
	if f.rate != nil {
		rate *= f.rate(w, f.now)
	}
	if f.rand.Float64() >= rate*replayStep.Seconds() {
		return
	}
	f.next++
	q := &replayed{
		id: f.next, work: w, prompt: int(f.lognormal(w.prompt, w.spread, w.most)) + 1, events: int(f.lognormal(w.events, 0.8, 57)) + 1,
		born: f.now - callerPath/2, limit: time.Duration(float64(w.limit) * (0.83 + 0.17*f.rand.Float64())), impatient: f.rand.Float64() < f.impatient,
	}
	if f.organisation != nil {
		q.organisation = f.organisation(f.rand, w, f.now)
	}
	q.until = f.now + q.limit
	f.arrive(q)
}

func (f *fleet) arrive(q *replayed) {
	q.daemon, q.arrived = f.daemon(), f.now
	q.attempts++
	f.placer.arrive(f, q)
}

// comeBack has refused callers arrive again.
func (f *fleet) comeBack() {
	due := slices.Clone(f.away)
	f.away = f.away[:0]
	for _, q := range due {
		if q.arrived <= f.now {
			f.arrive(q)
		} else {
			f.away = append(f.away, q)
		}
	}
}

// place gives a request to a group.
func (f *fleet) place(q *replayed, g *replayedGroup, estimate Estimate) {
	q.group, q.placed, q.enters, q.unread, q.got, q.first, q.pause = g, f.now, f.now+engineLag, q.prompt, 0, 0, 0
	q.estimate = estimate
	q.held += f.now - q.arrived
	g.coming = append(g.coming, q)
	g.load = g.load.Add(Load{1, q.prompt})
}

// refuse turns a request away.
func (f *fleet) refuse(q *replayed, comeBack time.Duration) {
	q.held += f.now - q.arrived
	tries := 2
	if q.impatient {
		tries, comeBack = 5, 50*time.Millisecond
	}
	if q.attempts >= tries || f.now+comeBack >= q.until {
		f.count(q, func(t *tally) {
			t.refused++
			if q.held > q.work.objective/8 {
				t.heldAndRefused++
			}
		})
		return
	}
	q.arrived = f.now + min(comeBack, (q.until-f.now)/3)
	f.away = append(f.away, q)
}

func (f *fleet) count(q *replayed, add func(t *tally)) {
	size := "large "
	if q.organisation > 0 {
		size = "small "
	}
	names := []string{q.work.name, size + q.work.name}
	if float64(q.prompt) > 2*q.work.prompt {
		names = append(names, "long "+q.work.name)
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
		f.tallies[name].asked++
		add(f.tallies[name])
	}
	s := &f.seconds[min(int(q.born/time.Second), len(f.seconds)-1)]
	s.asked++
	add(s)
}

// of returns the tally of a name.
func (f *fleet) of(name string) *tally {
	if t := f.tallies[name]; t != nil {
		return t
	}
	return &tally{}
}

// lose cuts the requests of a group off; callers see a failure.
func (f *fleet) lose(g *replayedGroup) {
	g.down, g.works = true, false
	for _, list := range [][]*replayed{g.coming, g.waiting, g.running} {
		for _, q := range list {
			f.leave(q)
			f.count(q, func(t *tally) { t.late, t.cut = t.late+1, t.cut+1 })
		}
	}
	g.coming, g.waiting, g.running = nil, nil, nil
}

// leave ends a request's work at its group.
func (f *fleet) leave(q *replayed) {
	unread := 0
	if q.first == 0 {
		unread = q.prompt
	}
	q.group.load = q.group.load.Add(Load{-1, -unread})
	f.placer.end(f, q, unread)
}

// pass has a group work.
func (f *fleet) pass(g *replayedGroup) {
	if g.down || g.works && f.now < g.ends {
		return
	}
	if g.fails {
		for _, q := range g.coming {
			f.leave(q)
			f.placer.failed(f, q)
			f.count(q, func(t *tally) { t.late, t.cut = t.late+1, t.cut+1 })
		}
		g.coming = nil
	}
	if g.works {
		f.events(g)
	}
	engine := f.plans[g.model].Engine
	entered := 0
	for _, q := range g.coming {
		if q.enters > f.now {
			break
		}
		g.waiting = append(g.waiting, q)
		entered++
	}
	g.coming = g.coming[entered:]
	slices.SortStableFunc(g.waiting, func(a, b *replayed) int { return cmp.Compare(a.work.rank, b.work.rank) })
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
	took := plan.Pass(len(g.running))*time.Duration(steps)/time.Duration(engine.Stride) + plan.Reading(read)
	g.works, g.ends = true, f.now+time.Duration(float64(took)*g.slow)
}

// events gives the requests that a pass has worked on their events.
func (f *fleet) events(g *replayedGroup) {
	g.works = false
	var ended []*replayed
	g.running = slices.DeleteFunc(g.running, func(q *replayed) bool {
		if q.unread > 0 {
			return false
		}
		if q.got++; q.got == 1 {
			q.first = f.now
			g.load.Unread -= q.prompt
			f.placer.first(f, q)
		} else {
			q.pause = max(q.pause, f.now-q.last)
		}
		q.last = f.now
		if q.got < q.events {
			return false
		}
		ended = append(ended, q)
		return true
	})
	for _, q := range ended {
		f.leave(q)
		f.count(q, func(t *tally) {
			switch {
			case f.now > q.until:
				t.refused++
			case q.first-q.born+callerPath/2 <= q.work.objective && q.pause+eventDelay <= q.work.gap:
				t.inTime++
			default:
				t.late++
			}
		})
	}
}

// String tells what became of each workload, and of each two seconds.
func (f *fleet) String() string {
	out := ""
	for i := range f.work {
		t := f.of(f.work[i].name)
		out += fmt.Sprintf("%s: %.0f, in time %.3f, late %.3f, refused %.3f, held and refused %.3f; ",
			f.work[i].name, t.asked, t.met(), t.late/t.asked, t.refused/t.asked, t.heldAndRefused/t.asked)
	}
	out += "in time by two seconds:"
	for i := 0; i+1 < len(f.seconds); i += 2 {
		out += fmt.Sprintf(" %.2f", (f.seconds[i].inTime+f.seconds[i+1].inTime)/max(f.seconds[i].asked+f.seconds[i+1].asked, 1))
	}
	return out
}

// central places the requests of each model by one Scheduler, which hears of first events and ends a while later, as
// reports take.
type central struct {
	delay      time.Duration
	schedulers []*Scheduler
	known      []Load
	news       []news
	waiting    map[uint64]*replayed
	// unheard is the part of the daemons whose work is not known.
	unheard float64
}

// news is a change of a group's load on its way.
type news struct {
	at    time.Duration
	group int
	by    Load
}

// reportDelay is how long a scheduler is in the dark about a first event or an end.
const reportDelay = 25 * time.Millisecond

func newCentral() *central { return &central{delay: reportDelay, waiting: map[uint64]*replayed{}} }

func (c *central) setup(f *fleet) {
	if c.known == nil {
		c.known = make([]Load, len(f.all))
		for range f.plans {
			c.schedulers = append(c.schedulers, NewScheduler())
		}
	}
}

func (c *central) arrive(f *fleet, q *replayed) {
	c.setup(f)
	c.waiting[q.id] = q
	start := f.clock().Add(-f.now)
	c.schedulers[q.work.model].Put(f.clock(), &Waiter{
		Ticket: Ticket{ID: q.id}, Organisation: strconv.Itoa(q.organisation),
		Request: Request{
			Rank: q.work.rank, Prompt: q.prompt, Objective: q.work.objective, Gap: q.work.gap, Mark: q.id, Asked: q.until - f.now,
			Arrived: f.clock(), Until: start.Add(q.until),
		},
	})
	c.decide(f, q.work.model)
}

func (c *central) first(f *fleet, q *replayed) {
	c.news = append(c.news, news{f.now + c.delay, q.group.index, Load{Unread: -q.prompt}})
	c.schedulers[q.work.model].First(f.clock(), q.group.key(), q.estimate, f.now-q.placed)
}

func (c *central) failed(f *fleet, q *replayed) {
	c.schedulers[q.work.model].Failed(f.clock(), q.group.key())
}

func (c *central) end(f *fleet, q *replayed, unread int) {
	c.news = append(c.news, news{f.now + c.delay, q.group.index, Load{-1, -unread}})
}

func (c *central) tick(f *fleet) {
	heard := 0
	for _, n := range c.news {
		if n.at > f.now {
			break
		}
		c.known[n.group] = c.known[n.group].Add(n.by)
		heard++
	}
	c.news = c.news[heard:]
	if heard > 0 || f.now%(25*time.Millisecond) == 0 {
		for model := range c.schedulers {
			c.decide(f, model)
		}
	}
}

func (c *central) decide(f *fleet, model int) {
	s := c.schedulers[model]
	if s.Waiting() == 0 {
		return
	}
	var groups []Group
	for _, g := range f.all {
		if g.model == model {
			groups = append(groups, Group{Key: g.key(), Load: c.known[g.index], Suspect: g.down})
		}
	}
	for _, d := range s.Step(f.clock(), f.plans[model], groups, c.unheard, f.rand.Float64) {
		q := c.waiting[d.ID]
		delete(c.waiting, d.ID)
		if d.Group == "" {
			f.refuse(q, d.ComeBack)
			continue
		}
		i, err := strconv.Atoi(d.Group)
		if err != nil {
			panic(err)
		}
		c.known[i] = c.known[i].Add(Load{1, q.prompt})
		f.place(q, f.all[i], d.Estimate)
	}
}

// restarted is a fleet whose daemons have all just started: at first each has to place its own requests and hears nothing of
// the others, then all ask a scheduler that knows nothing but the work.
type restarted struct {
	*central
	// alone is until when daemons are alone. Each then has a scheduler for each model, with only its own work.
	alone time.Duration
	own   []*central
}

func (c *restarted) arrive(f *fleet, q *replayed) {
	if f.now >= c.alone {
		c.meet(f)
		c.central.arrive(f, q)
		return
	}
	for len(c.own) < f.daemons {
		o := newCentral()
		o.unheard = 1 - 1/float64(f.daemons)
		c.own = append(c.own, o)
	}
	c.own[q.daemon].arrive(f, q)
}

func (c *restarted) tick(f *fleet) {
	for _, o := range c.own {
		o.tick(f)
	}
	if f.now >= c.alone {
		c.meet(f)
	}
	c.central.tick(f)
}

// meet has the daemons report their work to the common scheduler.
func (c *restarted) meet(f *fleet) {
	if c.known != nil {
		return
	}
	c.setup(f)
	for _, g := range f.all {
		c.known[g.index] = g.load
	}
}

func (c *restarted) of(q *replayed) []*central {
	if len(c.own) == 0 || q.placed >= c.alone {
		return []*central{c.central}
	}
	if c.known == nil {
		return []*central{c.own[q.daemon]}
	}
	return []*central{c.own[q.daemon], c.central}
}

func (c *restarted) first(f *fleet, q *replayed) {
	for _, o := range c.of(q) {
		o.first(f, q)
	}
}

func (c *restarted) end(f *fleet, q *replayed, unread int) {
	for _, o := range c.of(q) {
		o.end(f, q, unread)
	}
}

// apart is the baseline: every daemon places its own requests by loads that the others told a while ago, and takes a
// request for as long as the plan says that its first event is in time. It is the version before the Scheduler without its
// finer points.
type apart struct {
	// period is how often daemons tell each other their loads.
	period time.Duration
	own    [][]Load
	told   [][]Load
	known  []Load
	queue  []*replayed
}

func (a *apart) arrive(f *fleet, q *replayed) {
	if a.own == nil {
		a.known = make([]Load, len(f.all))
		for range f.daemons {
			a.own = append(a.own, make([]Load, len(f.all)))
			a.told = append(a.told, make([]Load, len(f.all)))
		}
	}
	if !a.try(f, q) {
		a.queue = append(a.queue, q)
	}
}

func (a *apart) try(f *fleet, q *replayed) bool {
	plan := f.plans[q.work.model]
	best, least := -1, math.Inf(1)
	for _, g := range f.all {
		if g.model != q.work.model || g.down {
			continue
		}
		mine, told := a.own[q.daemon][g.index], a.told[q.daemon][g.index]
		l := a.known[g.index].Add(mine).Add(Load{-told.Requests, -told.Unread})
		e := plan.Estimate(l, q.prompt)
		first := e.Passes + e.Unread
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
	a.own[q.daemon][best] = a.own[q.daemon][best].Add(Load{1, q.prompt})
	f.place(q, f.all[best], Estimate{})
	return true
}

func (a *apart) first(_ *fleet, q *replayed) {
	l := &a.own[q.daemon][q.group.index]
	l.Unread -= q.prompt
}

func (a *apart) failed(*fleet, *replayed) {}

func (a *apart) end(_ *fleet, q *replayed, unread int) {
	l := &a.own[q.daemon][q.group.index]
	*l = l.Add(Load{-1, -unread})
}

func (a *apart) tick(f *fleet) {
	for i := range a.own {
		// The daemons tell their loads in turns.
		if (f.now+a.period*time.Duration(i)/time.Duration(f.daemons))%a.period >= replayStep {
			continue
		}
		for g := range a.known {
			a.known[g] = a.known[g].Add(a.own[i][g]).Add(Load{-a.told[i][g].Requests, -a.told[i][g].Unread})
		}
		copy(a.told[i], a.own[i])
	}
	if f.now%(5*time.Millisecond) != 0 {
		return
	}
	slices.SortStableFunc(a.queue, func(x, y *replayed) int { return cmp.Compare(x.work.rank, y.work.rank) })
	a.queue = slices.DeleteFunc(a.queue, func(q *replayed) bool {
		if a.try(f, q) {
			return true
		}
		late := f.now-q.arrived >= q.work.objective/2
		if late {
			f.refuse(q, 900*time.Millisecond+time.Duration(f.rand.Float64()*float64(900*time.Millisecond)))
		}
		return late
	})
}
