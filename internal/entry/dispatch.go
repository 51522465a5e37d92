package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/timer"
)

// dispatchPeriod is how often silent groups are looked for, waiting requests are looked at besides when something changes,
// and changes are told to schedulers.
const dispatchPeriod = 25 * time.Millisecond

// suspectFor is how long a group that was found silent gets no requests unless it makes progress.
const suspectFor = 3 * time.Second

// rejectedFor is how long a group that turned a request away gets no others: until the entries tell why.
const rejectedFor = 500 * time.Millisecond

// dispatcher joins the pure decisions on placement to the requests that wait for them. What goes between daemons for that
// is in place.go.
type dispatcher struct {
	d  *Daemon
	mu sync.Mutex
	// server places the requests of those who take this daemon for the scheduler of a model, clients ask for this daemon's.
	server  *schedule.Server
	clients map[schedule.Model]*schedule.Client
	// peers are the daemons that have reported to the server, by name.
	peers map[string]reporter
	// targets are the daemons that may be asked for the places of each model.
	targets map[schedule.Model]*candidates
	// waiters are the requests without a place, by ticket.
	waiters map[uint64]*waiter
	ticket  uint64
	// own is this daemon's work at each group.
	own     map[schedule.Model]map[string]balance.Load
	silence *balance.Silence
	// suspects are groups that were silent and are left out for a while.
	suspects map[string]suspicion
	// running holds the requests of each group by the tracks of their answers.
	running map[string]map[*balance.Track]*seat
}

// suspicion is until when a group is left out. Only what this daemon found itself is told to others; closed is set for
// groups that it told to end as holder of the lease.
type suspicion struct {
	until       time.Time
	own, closed bool
}

// waiter is a request without a place.
type waiter struct {
	model schedule.Model
	// ask is what its scheduler is asked under its latest ticket.
	ask            schedule.Ask
	arrived, until time.Time
	// limit is how long a pass of the model's groups may take.
	limit time.Duration
	// seat receives the place, or why there is none.
	seat chan outcome
}

type outcome struct {
	seat *seat
	err  error
}

// seat is a request's place in a group.
type seat struct {
	d     *dispatcher
	model schedule.Model
	key   string
	head  *roster.Server
	// ctx ends when the group, or this request there, is found silent.
	ctx    context.Context
	cancel context.CancelFunc
	prompt int
	began  time.Time
	// place is as the scheduler gave it.
	place schedule.Place
	track *balance.Track
	ended bool
}

// RejectedError tells that a request got no place. It has not run.
type RejectedError struct {
	// ComeBack is when the caller should return.
	ComeBack time.Duration
	Reason   string
}

func (e *RejectedError) Error() string { return "no place: " + e.Reason }

func newDispatcher(d *Daemon) *dispatcher {
	return &dispatcher{
		d: d, server: schedule.NewServer(), clients: map[schedule.Model]*schedule.Client{}, peers: map[string]reporter{},
		targets: map[schedule.Model]*candidates{}, waiters: map[uint64]*waiter{}, own: map[schedule.Model]map[string]balance.Load{},
		silence: balance.NewSilence(), suspects: map[string]suspicion{}, running: map[string]map[*balance.Track]*seat{},
	}
}

// acquire finds a place for a request, waiting for as long as its scheduler lets it. exclude holds groups that have failed
// it.
func (p *dispatcher) acquire(ctx context.Context, service *route.Service, name, org string, r balance.Request, exclude []string) (*seat, error) {
	now := time.Now()
	model := schedule.Model{Service: service.Name, Name: name}
	plan := &balance.Plan{Engine: service.Engine, Model: service.Engine.Model(name)}
	w := &waiter{
		model: model, arrived: r.Arrived, until: r.Until, limit: plan.Limit(), seat: make(chan outcome, 1),
		ask: schedule.Ask{
			Rank: r.Rank, Prompt: r.Prompt, Organisation: org, Objective: r.Objective, Gap: r.Gap, Asked: r.Asked, Mark: r.Mark, Continues: r.Continues,
		},
	}
	p.mu.Lock()
	w.ask.Exclude = append(slices.Clone(exclude), p.excluded(now)...)
	if p.ask(w) {
		p.report(now, model)
	}
	p.mu.Unlock()
	select {
	case o := <-w.seat:
		return o.seat, o.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiters, w.ask.ID)
	p.client(model).Withdraw(w.ask.ID)
	p.mu.Unlock()
	select {
	case o := <-w.seat:
		if o.seat != nil {
			o.seat.end()
		}
	default:
	}
	return nil, ctx.Err()
}

// ask has a request asked for with the next report. It reports false when too many wait already; the request is turned
// away then.
func (p *dispatcher) ask(w *waiter) bool {
	p.ticket++
	w.ask.ID = p.ticket
	if !p.client(w.model).Ask(w.ask, w.arrived, w.until) {
		w.seat <- outcome{err: &RejectedError{balance.ComeBack(time.Now(), w.until, rand.Float64), "too many wait here"}}
		return false
	}
	p.waiters[w.ask.ID] = w
	return true
}

// excluded returns the groups that this daemon leaves out.
func (p *dispatcher) excluded(now time.Time) []string {
	var out []string
	for key, s := range p.suspects {
		if now.Before(s.until) {
			out = append(out, key)
		}
	}
	return out
}

// seat begins a request's work at a group. limit is how long a pass of the group may take.
func (p *dispatcher) seat(now time.Time, w *waiter, place *schedule.Place, head *roster.Server) *seat {
	s := &seat{
		d: p, model: w.model, key: place.Group, head: head, prompt: w.ask.Prompt, began: now, place: *place,
		track: p.silence.Begin(now, place.Group, w.limit),
	}
	p.shift(s, balance.Load{Requests: 1, Unread: w.ask.Prompt})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if p.running[s.key] == nil {
		p.running[s.key] = map[*balance.Track]*seat{}
	}
	p.running[s.key][s.track] = s
	return s
}

// shift changes this daemon's work at a group.
func (p *dispatcher) shift(s *seat, by balance.Load) {
	own := p.own[s.model]
	if own == nil {
		own = map[string]balance.Load{}
		p.own[s.model] = own
	}
	if l := own[s.key].Add(by); l.Requests > 0 {
		own[s.key] = l
	} else {
		delete(own, s.key)
	}
	p.client(s.model).Changed()
}

// run looks for silent groups, and tells and asks schedulers what is due.
func (p *dispatcher) run(ctx context.Context) {
	ticks, stop := timer.Every(dispatchPeriod, 0)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now := time.Now()
		p.mu.Lock()
		silent, lone := p.silence.Tick(now)
		for _, key := range silent {
			p.suspect(now, key)
		}
		for _, t := range lone {
			if s := p.running[t.Group()][t]; s != nil {
				s.cancel() // this request's connection went silent, not its group
			}
		}
		p.tick(now)
		p.mu.Unlock()
		for _, key := range silent {
			p.d.log.Warn("group makes no progress", "group", key)
			p.d.lead.suspect(key)
		}
	}
}

// suspect leaves a group out for a while and frees its requests, which may go on elsewhere.
func (p *dispatcher) suspect(now time.Time, key string) {
	p.suspects[key] = suspicion{until: now.Add(suspectFor), own: true}
	for _, s := range p.running[key] {
		s.cancel()
	}
	for k, s := range p.suspects {
		if now.After(s.until) {
			delete(p.suspects, k)
		}
	}
}

// end leaves out a group that is told to end. own is set at the holder of the lease, who tells the others.
func (p *dispatcher) end(key string, own bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.suspects[key]; !o.closed || own {
		p.suspects[key] = suspicion{until: time.Now().Add(suspectFor), own: own, closed: own}
	}
}

// reject leaves out a group that turned a request away, for as long as it asked for; entries that tell why come later.
func (p *dispatcher) reject(key string, pause time.Duration) {
	until := time.Now().Add(max(rejectedFor, pause))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects[key].until.Before(until) {
		p.suspects[key] = suspicion{until: until}
	}
}

// tell puts into a digest what is asked of the models that this daemon schedules, the groups that it suspects, and those
// that it told to end.
func (p *dispatcher) tell(d *gossip.Digest) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.server.Models() {
		if !p.schedules(now, m) {
			continue
		}
		if demand, ok := p.server.Demand(now, m); ok {
			if d.Demands == nil {
				d.Demands = map[string]schedule.Demand{}
			}
			d.Demands[gossip.DemandKey(m.Service, m.Name)] = demand
		}
	}
	for key, s := range p.suspects {
		switch {
		case now.After(s.until) || !s.own:
		case s.closed:
			d.ClosedGroups = append(d.ClosedGroups, key)
		default:
			d.SuspectGroups = append(d.SuspectGroups, key)
		}
	}
}

// pressure returns the work asked of each model of a service, by all daemons, as a part of what its open groups run at
// once, and the model of the most urgent work.
func (p *dispatcher) pressure(service *route.Service) (pressure map[string]float64, urgent string) {
	now := time.Now()
	live := p.d.live(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for i := range service.Engine.Models {
		name := service.Engine.Models[i].Name
		// Several daemons may schedule a model for a moment; the one that is asked by most knows the most work.
		demand, known := p.server.Demand(now, schedule.Model{Service: service.Name, Name: name})
		for _, o := range live {
			d, ok := o.Demands[gossip.DemandKey(service.Name, name)]
			if ok && (!known || d.Requests+d.Lacking > demand.Requests+demand.Lacking) {
				demand, known = d, true
			}
		}
		if !known {
			continue
		}
		if urgent == "" || demand.Urgent < rank {
			urgent, rank = name, demand.Urgent
		}
		slots := 0
		for _, g := range p.d.view.Load().Groups[service.Name] {
			if g.Model == name {
				slots += service.Engine.Slots
			}
		}
		if pressure == nil {
			pressure = map[string]float64{}
		}
		pressure[name] = float64(demand.Requests+demand.Lacking) / float64(max(slots, 1))
	}
	return pressure, urgent
}

// progress notes an event of the answer.
func (s *seat) progress() {
	now := time.Now()
	p := s.d
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ended {
		return
	}
	if p.silence.Progress(now, s.track) {
		p.shift(s, balance.Load{Unread: -s.prompt})
		p.client(s.model).First(schedule.First{Group: s.key, Passes: s.place.Passes, Unread: s.place.Unread, Full: s.place.Full, Took: now.Sub(s.began)})
	}
}

// failed notes that the group failed the request.
func (s *seat) failed() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.client(s.model).Failed(s.key)
}

// end gives the place back.
func (s *seat) end() {
	p := s.d
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.cancel()
	p.silence.End(s.track)
	load := balance.Load{Requests: -1}
	if !s.track.Started() {
		load.Unread = -s.prompt
	}
	p.shift(s, load)
	delete(p.running[s.key], s.track)
	if len(p.running[s.key]) == 0 {
		delete(p.running, s.key)
	}
}
