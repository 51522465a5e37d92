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
	"flamingorudder.example/internal/timer"
)

// dispatchPeriod is how often waiting requests are looked at besides when something changes, and how often silent groups
// are looked for.
const dispatchPeriod = 25 * time.Millisecond

// suspectFor is how long a group that was found silent gets no requests unless it makes progress.
const suspectFor = 3 * time.Second

// rejectedFor is how long a group that turned a request away gets no others: until the entries tell why.
const rejectedFor = 500 * time.Millisecond

// dispatcher joins the pure decisions on placement to the requests that wait for them.
type dispatcher struct {
	d       *Daemon
	mu      sync.Mutex
	models  map[modelKey]*model
	own     map[string]balance.Load
	silence *balance.Silence
	// suspects are groups that were silent and are left out for a while.
	suspects map[string]suspicion
	// running holds the requests of each group by the tracks of their answers.
	running map[string]map[*balance.Track]*seat
	ticket  uint64
}

// suspicion is until when a group is left out. Only what this daemon found itself is told to others; closed is set for
// groups that it told to end as holder of the lease.
type suspicion struct {
	until       time.Time
	own, closed bool
}

type modelKey struct{ service, model string }

// model is what is kept for each model of a service.
type model struct {
	queue   balance.Queue
	waiters map[uint64]*waiter
	// topRank is that of the most urgent work seen, once any was.
	topRank int
	seen    bool
}

type waiter struct {
	request *balance.Waiter
	exclude map[string]bool
	// seat receives the place, nil when the request is turned away.
	seat chan *seat
}

// seat is a request's place in a group.
type seat struct {
	d     *dispatcher
	key   string
	group *roster.Group
	// ctx ends when the group, or this request there, is found silent.
	ctx    context.Context
	cancel context.CancelFunc
	prompt int
	track  *balance.Track
	ended  bool
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
		d: d, models: map[modelKey]*model{}, own: map[string]balance.Load{}, silence: balance.NewSilence(),
		suspects: map[string]suspicion{}, running: map[string]map[*balance.Track]*seat{},
	}
}

// acquire finds a place for a request, waiting for a short while. exclude holds groups that have failed it.
func (p *dispatcher) acquire(ctx context.Context, service *route.Service, name, org string, r balance.Request, exclude map[string]bool) (*seat, error) {
	now := time.Now()
	p.mu.Lock()
	m := p.model(modelKey{service.Name, name})
	if !m.seen || r.Rank < m.topRank {
		m.seen, m.topRank = true, r.Rank
	}
	p.ticket++
	w := &waiter{request: &balance.Waiter{Request: r, Organisation: org, Ticket: p.ticket}, exclude: exclude, seat: make(chan *seat, 1)}
	if m.queue.Len() == 0 {
		if s := p.options(service, name, m, now).place(now, w); s != nil {
			p.mu.Unlock()
			return s, nil
		}
	}
	if !m.queue.Add(now, w.request) {
		m.queue.Refused(now)
		p.mu.Unlock()
		return nil, &RejectedError{balance.ComeBack(now, &r, rand.Float64), "queue"}
	}
	m.waiters[w.request.Ticket] = w
	p.pump(now, service, name, m)
	p.mu.Unlock()
	select {
	case s := <-w.seat:
		if s == nil {
			return nil, &RejectedError{balance.ComeBack(time.Now(), &r, rand.Float64), "waited"}
		}
		return s, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	m.queue.Remove(w.request.Ticket)
	delete(m.waiters, w.request.Ticket)
	p.mu.Unlock()
	select {
	case s := <-w.seat:
		if s != nil {
			s.end()
		}
	default:
	}
	return nil, ctx.Err()
}

func (p *dispatcher) model(key modelKey) *model {
	m := p.models[key]
	if m == nil {
		m = &model{waiters: map[uint64]*waiter{}}
		p.models[key] = m
	}
	return m
}

// options is what requests of one model may choose from in one pass.
type options struct {
	p      *dispatcher
	queue  *balance.Queue
	plan   *balance.Plan
	groups []*roster.Group
	// loads are those of groups, with what this pass has placed.
	loads []balance.Group
}

// options returns the whole groups of a model and their loads. A model that the configuration does not know has none.
func (p *dispatcher) options(service *route.Service, name string, m *model, now time.Time) *options {
	o := &options{p: p, queue: &m.queue}
	if service.Engine == nil {
		return o
	}
	spec := service.Engine.Model(name)
	if spec == nil {
		return o
	}
	live := p.d.live(now)
	o.plan = &balance.Plan{Engine: service.Engine, Model: spec, Urgent: m.queue.Urgent, Unheard: m.queue.Rate() * p.d.unheard(len(live))}
	others := gossip.Others(live)
	near := p.d.settings().DataCentre
	for _, g := range p.d.view.Load().Groups[service.Name] {
		if g.Model != name || !g.Whole() {
			continue
		}
		key := g.Key()
		o.groups = append(o.groups, g)
		o.loads = append(o.loads, balance.Group{
			Load: p.own[key].Add(others[key]), Near: g.Head.DataCentre == near,
			Suspect: now.Before(p.suspects[key].until), Slowness: 1,
		})
	}
	return o
}

// place gives a request to a group now, if one takes it.
func (o *options) place(now time.Time, w *waiter) *seat {
	loads := o.loads
	if len(w.exclude) > 0 {
		loads = slices.Clone(o.loads)
		for i, g := range o.groups {
			loads[i].Suspect = loads[i].Suspect || w.exclude[g.Key()]
		}
	}
	if o.plan == nil {
		return nil
	}
	i := o.plan.Choose(&w.request.Request, loads, rand.Float64)
	if i < 0 {
		return nil
	}
	load := balance.Load{Requests: 1, Unread: w.request.Prompt}
	o.loads[i].Load = o.loads[i].Load.Add(load)
	o.queue.Used(now, w.request)
	return o.p.seat(now, o.groups[i], load, o.plan.Limit())
}

// seat begins a request's work at a group. limit is how long a pass of the group may take.
func (p *dispatcher) seat(now time.Time, g *roster.Group, load balance.Load, limit time.Duration) *seat {
	key := g.Key()
	p.own[key] = p.own[key].Add(load)
	s := &seat{d: p, key: key, group: g, prompt: load.Unread, track: p.silence.Begin(now, key, limit)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if p.running[key] == nil {
		p.running[key] = map[*balance.Track]*seat{}
	}
	p.running[key][s.track] = s
	return s
}

// maxTries bounds the requests that are looked at in one pass of the queue without a place being found.
const maxTries = 8

// pump gives places to waiting requests and turns away those that have waited for too long.
func (p *dispatcher) pump(now time.Time, service *route.Service, name string, m *model) {
	for _, w := range m.queue.Expire(now) {
		m.queue.Refused(now)
		p.hand(m, w.Ticket, nil)
	}
	if m.queue.Len() == 0 {
		return
	}
	options := p.options(service, name, m, now)
	tries := 0
	for _, r := range m.queue.Order(now) {
		w := m.waiters[r.Ticket]
		s := options.place(now, w)
		if s == nil {
			if tries++; tries >= maxTries {
				return
			}
			continue
		}
		m.queue.Remove(r.Ticket)
		p.hand(m, r.Ticket, s)
	}
}

func (p *dispatcher) hand(m *model, ticket uint64, s *seat) {
	if w := m.waiters[ticket]; w != nil {
		delete(m.waiters, ticket)
		w.seat <- s
	}
}

// update looks at all waiting requests, after the groups or their loads have changed.
func (p *dispatcher) update() {
	c := p.d.config.Load()
	if c == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, m := range p.models {
		if m.queue.Len() == 0 {
			continue
		}
		if s := c.Service(key.service); s != nil {
			p.pump(now, s, key.model, m)
		}
	}
}

// run looks for silent groups and for requests that have waited for too long.
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
		p.mu.Unlock()
		for _, key := range silent {
			p.d.log.Warn("group makes no progress", "group", key)
			p.d.lead.suspect(key)
		}
		p.update()
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

// reject leaves out a group that turned a request away; entries that tell why come later.
func (p *dispatcher) reject(key string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects[key].until.Before(now.Add(rejectedFor)) {
		p.suspects[key] = suspicion{until: now.Add(rejectedFor)}
	}
}

// hear takes the suspects of another daemon. Groups that make progress here are not left out.
func (p *dispatcher) hear(keys []string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if len(p.running[key]) == 0 && !p.suspects[key].own {
			p.suspects[key] = suspicion{until: now.Add(suspectFor)}
		}
	}
}

// tell puts into a digest what this daemon has at each group, the places that its callers lack, the groups that it suspects,
// and those that it told to end.
func (p *dispatcher) tell(d *gossip.Digest) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.own {
		d.Work = append(d.Work, gossip.Work{Group: key, Requests: l.Requests, Unread: l.Unread})
	}
	for key, m := range p.models {
		if n := m.queue.Lacking(now); n > 0 {
			if d.Lacking == nil {
				d.Lacking = map[string]int{}
			}
			d.Lacking[gossip.LackingKey(key.service, key.model)] = n
		}
	}
	for key, s := range p.suspects {
		switch {
		case now.After(s.until) || !s.own:
		case s.closed:
			d.Closed = append(d.Closed, key)
		default:
			d.Suspects = append(d.Suspects, key)
		}
	}
}

// pressure returns the work asked of each model of a service, by all daemons, as a part of what its open groups run at
// once, and the model of the most urgent work.
func (p *dispatcher) pressure(service *route.Service) (pressure map[string]float64, urgent string) {
	now := time.Now()
	live := p.d.live(now)
	others := gossip.Others(live)
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for i := range service.Engine.Models {
		name := service.Engine.Models[i].Name
		work, slots := 0, 0
		for _, g := range p.d.view.Load().Groups[service.Name] {
			if g.Model == name {
				work += p.own[g.Key()].Add(others[g.Key()]).Requests
				slots += service.Engine.Slots
			}
		}
		for _, o := range live {
			work += o.Lacking[gossip.LackingKey(service.Name, name)]
		}
		m := p.models[modelKey{service.Name, name}]
		if m != nil && m.seen {
			work += m.queue.Lacking(now)
			if urgent == "" || m.topRank < rank {
				urgent, rank = name, m.topRank
			}
		}
		if work == 0 && (m == nil || !m.seen) {
			continue // nothing is known of its work
		}
		if pressure == nil {
			pressure = map[string]float64{}
		}
		pressure[name] = float64(work) / float64(max(slots, 1))
	}
	return pressure, urgent
}

// progress notes an event of the answer.
func (s *seat) progress() {
	now := time.Now()
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.ended {
		return
	}
	if s.d.silence.Progress(now, s.track) {
		s.d.shift(s.key, balance.Load{Unread: -s.prompt})
	}
}

// end gives the place back.
func (s *seat) end() {
	s.d.mu.Lock()
	if s.ended {
		s.d.mu.Unlock()
		return
	}
	s.ended = true
	s.cancel()
	s.d.silence.End(s.track)
	load := balance.Load{Requests: -1}
	if !s.track.Started() {
		load.Unread = -s.prompt
	}
	s.d.shift(s.key, load)
	delete(s.d.running[s.key], s.track)
	if len(s.d.running[s.key]) == 0 {
		delete(s.d.running, s.key)
	}
	waiting := false
	for _, m := range s.d.models {
		waiting = waiting || m.queue.Len() > 0
	}
	s.d.mu.Unlock()
	if waiting {
		s.d.update()
	}
}

func (p *dispatcher) shift(key string, l balance.Load) {
	l = p.own[key].Add(l)
	if l.Requests <= 0 {
		delete(p.own, key)
		return
	}
	p.own[key] = l
}
