package entry

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
)

const (
	// candidatesFor is how long the order of the daemons that may schedule a model is kept; daemons come and go more slowly.
	candidatesFor = 100 * time.Millisecond
	// enoughCores is the part of the largest instance's processor that one must have to schedule for others.
	enoughCores = 0.5
	// pumpPeriod is the least time between two looks at requests that wait while reports come in.
	pumpPeriod = 2 * time.Millisecond
	// peerMemory is how long the address of a daemon that reported is remembered.
	peerMemory = time.Minute
)

// candidates are the daemons that may be asked to place the requests of a model, the one to ask first.
type candidates struct {
	names []string
	peers map[string]netip.AddrPort
	until time.Time
	// pumped is when the requests of the model were last looked at here.
	pumped time.Time
}

// reporter is a daemon that reported to this one.
type reporter struct {
	peer  netip.AddrPort
	heard time.Time
}

func (p *dispatcher) client(m schedule.Model) *schedule.Client {
	c := p.clients[m]
	if c == nil {
		c = schedule.NewClient(m)
		p.clients[m] = c
	}
	return c
}

// candidates returns the daemons that may schedule a model. Small instances do only where there are no others.
func (p *dispatcher) candidates(now time.Time, m schedule.Model) *candidates {
	c := p.targets[m]
	if c == nil {
		c = &candidates{}
		p.targets[m] = c
	}
	if now.Before(c.until) {
		return c
	}
	c.until = now.Add(candidatesFor)
	self := p.d.settings()
	most := self.Cores
	live := p.d.live(now)
	for _, o := range live {
		most = max(most, o.Cores)
	}
	var names []string
	c.peers = map[string]netip.AddrPort{}
	// Others hear only of the hubs of a large fleet, and all have to name the same daemon.
	if p.d.ready() && self.Cores >= most*enoughCores && p.d.hub(now) {
		names = append(names, self.Name)
	}
	for _, o := range live {
		if o.Ready && o.Hub && o.Cores >= most*enoughCores {
			names = append(names, o.Name)
			c.peers[o.Name] = o.PeerAddr
		}
	}
	c.names = member.Order(m.Service+"/"+m.Name, names)
	return c
}

// schedules tells whether this daemon is the one to ask for a model.
func (p *dispatcher) schedules(now time.Time, m schedule.Model) bool {
	c := p.candidates(now, m)
	return len(c.names) == 0 || c.names[0] == p.d.settings().Name
}

// report tells the scheduler of a model what this daemon has and wants there.
func (p *dispatcher) report(now time.Time, m schedule.Model) {
	c := p.client(m)
	candidates := p.candidates(now, m)
	target := c.Target(now, candidates.names)
	r := p.compose(now, m)
	if target == "" || target == p.d.settings().Name {
		p.serve(now, r)
		return
	}
	p.d.sendDatagram(p.d.encode(kindReport, r), candidates.peers[target])
}

// compose returns this daemon's report.
func (p *dispatcher) compose(now time.Time, m schedule.Model) *schedule.Report {
	work := make([]schedule.Work, 0, len(p.own[m]))
	for key, l := range p.own[m] {
		work = append(work, schedule.Work{Group: key, Requests: l.Requests, Unread: l.Unread})
	}
	return p.client(m).Report(now, p.d.settings().Name, p.d.boot, p.d.settings().DataCentre, work, p.excluded(now))
}

// tick tells schedulers what has changed, places requests whose scheduler is silent, and looks at those that wait here.
func (p *dispatcher) tick(now time.Time) {
	for m, c := range p.clients {
		if c.Silent(now) {
			p.d.log.Warn("scheduler is silent; its requests are placed here", "service", m.Service, "model", m.Name, "scheduler", c.Target(now, p.candidates(now, m).names), "open", c.Open())
			p.serve(now, p.compose(now, m))
			continue
		}
		if c.Due(now, len(p.own[m]) > 0) {
			p.report(now, m)
		}
	}
	p.pump(now)
	for name, o := range p.peers {
		if now.Sub(o.heard) > peerMemory {
			delete(p.peers, name)
		}
	}
}

// serve takes a report as the scheduler of its model, of this daemon or another, and answers it.
func (p *dispatcher) serve(now time.Time, r *schedule.Report) {
	idle := !p.server.Waiting(r.Model)
	first := p.server.Report(now, r)
	var answers map[string]*schedule.Answer
	// While many wait, not every report is worth a look at all of them.
	if c := p.candidates(now, r.Model); p.server.Waiting(r.Model) && (idle || now.Sub(c.pumped) >= pumpPeriod) {
		answers = p.step(now, r.Model)
	}
	if first != nil {
		if a := answers[r.From]; a != nil {
			first.Places = append(first.Places, a.Places...)
			delete(answers, r.From)
		}
		p.deliver(now, r.From, first)
	}
	for name, a := range answers {
		p.deliver(now, name, a)
	}
}

// update looks at all waiting requests, after the groups have changed.
func (p *dispatcher) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(time.Now())
}

// pump looks at the requests that wait here.
func (p *dispatcher) pump(now time.Time) {
	for _, m := range p.server.Models() {
		if !p.server.Waiting(m) {
			continue
		}
		for name, a := range p.step(now, m) {
			p.deliver(now, name, a)
		}
	}
}

// step decides on the requests for a model that wait here. A model that the configuration does not know has no groups.
func (p *dispatcher) step(now time.Time, m schedule.Model) map[string]*schedule.Answer {
	p.candidates(now, m).pumped = now
	c := p.d.config.Load()
	if c == nil {
		return nil
	}
	service := c.Service(m.Service)
	if service == nil || service.Engine == nil {
		return nil
	}
	spec := service.Engine.Model(m.Name)
	if spec == nil {
		return nil
	}
	in := schedule.Input{
		Plan: &balance.Plan{Engine: service.Engine, Model: spec}, Heads: map[string]*roster.Server{}, Daemons: p.d.fleet(now), Random: rand.Float64,
	}
	for _, g := range p.d.view.Load().Groups[m.Service] {
		if g.Model != m.Name || !g.Complete() {
			continue
		}
		in.Groups = append(in.Groups, balance.Group{Key: g.Key, DataCentre: g.Head.DataCentre, Suspect: now.Before(p.suspects[g.Key].until)})
		in.Heads[g.Key] = g.Head
	}
	return p.server.Step(now, m, in)
}

// deliver gives an answer to the daemon that asked.
func (p *dispatcher) deliver(now time.Time, name string, a *schedule.Answer) {
	a.From = p.d.settings().Name
	if name == a.From {
		p.take(now, a)
		return
	}
	if o, ok := p.peers[name]; ok {
		p.d.sendDatagram(p.d.encode(kindAnswer, a), o.peer)
	}
}

// take gives the places of an answer to the requests that wait for them.
func (p *dispatcher) take(now time.Time, a *schedule.Answer) {
	if a.Boot != p.d.boot {
		return // it was meant for an earlier lifetime
	}
	for _, place := range p.client(a.Model).Answer(a) {
		w := p.waiters[place.ID]
		if w == nil {
			continue
		}
		delete(p.waiters, place.ID)
		if place.Group == "" {
			w.seat <- outcome{err: &RejectedError{place.ComeBack, place.Reason}}
			continue
		}
		head := p.head(now, &place)
		if head == nil {
			// The scheduler does not know yet what this daemon knows of the group.
			w.ask.Exclude = append(w.ask.Exclude, place.Group)
			p.ask(w)
			continue
		}
		w.seat <- outcome{seat: p.seat(now, w, &place, head)}
	}
}

// head returns the head of a group that a scheduler chose, nil when this daemon must not use it.
func (p *dispatcher) head(now time.Time, place *schedule.Place) *roster.Server {
	if now.Before(p.suspects[place.Group].until) {
		return nil
	}
	v := p.d.view.Load()
	if v.Departed[place.Head] != nil || !p.d.pauses.Begin(now, place.Head) {
		return nil
	}
	if s := v.Servers[place.Head]; s != nil {
		if s.State != roster.Ready {
			return nil
		}
		return s
	}
	// Its entry has not been read here yet.
	return &roster.Server{ID: place.Head, Addr: place.Addr}
}

// forget drops what is known of groups that are gone.
func (p *dispatcher) forget(v *roster.View) {
	keys := map[string]bool{}
	for _, groups := range v.Groups {
		for _, g := range groups {
			keys[g.Key] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Forget(func(group string) bool { return keys[group] })
}

// logState tells what placement goes by, of each model that this daemon schedules.
func (p *dispatcher) logState(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.server.Models() {
		s, daemons := p.server.State(now, m)
		if !p.schedules(now, m) || s.Placed+s.Refused < 1 {
			continue
		}
		demand, _ := p.server.Demand(now, m)
		groups := 0
		for _, g := range p.d.view.Load().Groups[m.Service] {
			if g.Model == m.Name && g.Complete() && now.After(p.suspects[g.Key].until) {
				groups++
			}
		}
		p.d.log.Info("placement", "service", m.Service, "model", m.Name, "daemons", daemons, "groups", groups, "requests", demand.Requests, "waiting", s.Waiting,
			"placed", math.Round(s.Placed), "late", math.Round(s.Late), "refused", math.Round(s.Refused), "lag", s.Lag.Round(time.Millisecond),
			"part", math.Round(s.Part*100)/100, "bound", math.Round(s.Bound))
	}
}

// hearReport takes a report of another daemon.
func (p *dispatcher) hearReport(r *schedule.Report, from netip.AddrPort) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[r.From] = reporter{from, now}
	p.serve(now, r)
}

// hearAnswer takes an answer of another daemon.
func (p *dispatcher) hearAnswer(a *schedule.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(time.Now(), a)
}
