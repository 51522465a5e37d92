package entry

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/region"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
)

const (
	// candidatesTTL is how long the candidates for the scheduler of a model are cached. Daemons come and go more slowly.
	candidatesTTL = 100 * time.Millisecond
	// minCoresFraction is the fraction of the largest daemon's CPU quota that a daemon needs to schedule for others.
	minCoresFraction = 0.5
	// minRoundInterval is the minimum time between two scheduling rounds of a model while reports arrive.
	minRoundInterval = 2 * time.Millisecond
	// reporterTTL is how long the address of a daemon is kept after its last report.
	reporterTTL = time.Minute
)

// candidates are the daemons that may schedule a model, in order of preference.
type candidates struct {
	names []string
	peers map[string]netip.AddrPort
	until time.Time
	// tenure tells whether this daemon has been the first of them for long enough to use the whole rate of cold heads.
	tenure balance.Tenure
	// lastRound is when this daemon last ran a scheduling round for the model.
	lastRound time.Time
}

// reporter is a daemon that has sent a report to this one.
type reporter struct {
	peer  netip.AddrPort
	heard time.Time
	// invalid is set when it has reported invalid tokens, which is logged once.
	invalid bool
}

func (p *dispatcher) client(m schedule.Model) *schedule.Client {
	c := p.clients[m]
	if c == nil {
		c = schedule.NewClient(m)
		p.clients[m] = c
	}
	return c
}

// candidates returns the daemons that may schedule a model, or collect the crashes of a plain service. Daemons with a much
// smaller CPU quota than the largest one are not among them, nor those of earlier builds that would collect crashes without
// asking for answers.
func (p *dispatcher) candidates(now time.Time, m schedule.Model) *candidates {
	c := p.targets[m]
	if c == nil {
		c = &candidates{}
		p.targets[m] = c
	}
	if now.Before(c.until) {
		return c
	}
	c.until = now.Add(candidatesTTL)
	self := p.d.settings()
	maxCores := self.Cores
	live := p.d.livePeers(now)
	for _, peer := range live {
		maxCores = max(maxCores, peer.Cores)
	}
	var names []string
	c.peers = map[string]netip.AddrPort{}
	// All daemons have to choose the same scheduler. Only hubs qualify, as the other daemons of a large fleet are not
	// known in every data centre.
	if p.d.ready() && self.Cores >= maxCores*minCoresFraction && p.d.isHub(now) {
		names = append(names, self.Name)
	}
	for _, peer := range live {
		if peer.Ready && peer.Hub && peer.Cores >= maxCores*minCoresFraction && (m.Name != "" || peer.Collects) {
			names = append(names, peer.Name)
			c.peers[peer.Name] = peer.PeerAddr
		}
	}
	c.names = member.RendezvousOrder(m.Service+"/"+m.Name, names)
	return c
}

// isScheduler reports whether this daemon is the preferred scheduler of a model.
func (p *dispatcher) isScheduler(now time.Time, m schedule.Model) bool {
	c := p.candidates(now, m)
	return len(c.names) == 0 || c.names[0] == p.d.settings().Name
}

// sendReport sends the load and the waiting requests of this daemon to the scheduler of a model.
func (p *dispatcher) sendReport(now time.Time, m schedule.Model) {
	c := p.client(m)
	candidates := p.candidates(now, m)
	target := c.SelectTarget(now, candidates.names)
	r := p.buildReport(now, m)
	if target == "" || target == p.d.settings().Name {
		p.processReport(now, r)
		return
	}
	p.d.sendDatagram(p.d.encode(kindReport, r), candidates.peers[target])
}

// buildReport builds the report of this daemon for a model.
func (p *dispatcher) buildReport(now time.Time, m schedule.Model) *schedule.Report {
	work := make([]schedule.Work, 0, len(p.localLoad[m]))
	for key, l := range p.localLoad[m] {
		work = append(work, schedule.Work{Group: key, Requests: l.Requests, QueuedTokens: l.QueuedTokens})
	}
	r := p.client(m).NewReport(now, p.d.settings().Name, p.d.boot, p.d.settings().DataCentre, work, p.reportedSuspects(now, m))
	r.SetHeldTokens(p.localLoad[m])
	return r
}

// reportedSuspects returns the groups to report as suspects. What a daemon without a path finds out about groups says nothing about
// them.
func (p *dispatcher) reportedSuspects(now time.Time, m schedule.Model) []string {
	if p.d.paths.lost(m.Service) {
		return nil
	}
	return p.excluded(now, m, true, region.Homes{})
}

// tick sends due reports, schedules requests locally whose scheduler does not respond, and runs a scheduling round for the
// requests that wait at this scheduler.
func (p *dispatcher) tick(now time.Time) {
	for m, c := range p.clients {
		if c.HasUnexplainedCrashes(now) {
			c.SelectTarget(now, p.candidates(now, m).names) // a new target must learn of them before the next crash
		}
		if c.TargetTimedOut(now) {
			p.d.log.Warn("scheduler does not respond; scheduling its requests locally", "service", m.Service, "model", m.Name, "scheduler", c.SelectTarget(now, p.candidates(now, m).names), "open", c.Open())
			p.processReport(now, p.buildReport(now, m))
			continue
		}
		if c.Due(now, len(p.localLoad[m]) > 0) {
			p.sendReport(now, m)
		}
	}
	p.settleCrashes(now)
	p.checkTenures(now)
	p.scheduleAll(now)
	for name, peer := range p.reporters {
		if now.Sub(peer.heard) > reporterTTL {
			delete(p.reporters, name)
		}
	}
}

// processReport processes a report, of this daemon or another one, as the scheduler of its model, and replies to it.
func (p *dispatcher) processReport(now time.Time, r *schedule.Report) {
	idle := !p.server.Waiting(r.Model)
	first := p.server.HandleReport(now, r)
	p.observeOutcomes(now, r.Model)
	for _, n := range p.server.TakeLimits() {
		p.d.limits.Observe(now, n, false, rand.Float64)
	}
	var answers map[string]*schedule.Answer
	// A scheduling round considers all waiting requests, so it is not run for every report while many wait.
	if c := p.candidates(now, r.Model); p.server.Waiting(r.Model) && (idle || now.Sub(c.lastRound) >= minRoundInterval) {
		answers = p.scheduleModel(now, r.Model)
	}
	if first != nil {
		if a := answers[r.From]; a != nil {
			first.Placements = append(first.Placements, a.Placements...)
			delete(answers, r.From)
		}
		p.sendReply(now, r.From, first)
	}
	for name, a := range answers {
		p.sendReply(now, name, a)
	}
}

// groupsChanged schedules or rejects the waiting requests after the groups, or the evacuated data centres, have changed.
func (p *dispatcher) groupsChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.rejectEvacuated(now)
	p.rejectWaitingOutsideHomes(now)
	p.scheduleAll(now)
}

// DroppedError reports that the configuration in force has no longer the model of a request. No scheduler places it.
type DroppedError struct{ Model schedule.Model }

func (e *DroppedError) Error() string {
	return "the configuration no longer has model " + e.Model.Name + " of service " + e.Model.Service
}

// dropped returns an error if the configuration in force lacks a model that an earlier one had.
func (p *dispatcher) dropped(m schedule.Model) error {
	if p.d.config.Load().Model(m.Service, m.Name) == nil {
		return &DroppedError{m}
	}
	return nil
}

// configChanged rejects the requests that wait for models which the configuration in force no longer has.
func (p *dispatcher) configChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.waiters {
		if err := p.dropped(w.model); err != nil {
			p.withdraw(id, w, err)
		}
	}
}

// withdraw ends the wait of a request for a group. p.mu is held.
func (p *dispatcher) withdraw(id uint64, w *waiter, err error) {
	delete(p.waiters, id)
	p.client(w.model).Withdraw(id)
	w.result <- outcome{err: err}
}

// scheduleAll runs a scheduling round for each model with requests that wait at this scheduler, and sends the decisions.
func (p *dispatcher) scheduleAll(now time.Time) {
	for _, m := range p.server.Models() {
		if !p.server.Waiting(m) {
			continue
		}
		for name, a := range p.scheduleModel(now, m) {
			p.sendReply(now, name, a)
		}
	}
}

// scheduleModel runs a scheduling round for a model and returns the decisions by daemon. It decides nothing for a model
// that is not in the configuration.
func (p *dispatcher) scheduleModel(now time.Time, m schedule.Model) map[string]*schedule.Answer {
	p.candidates(now, m).lastRound = now
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
		Plan: &balance.Plan{Engine: service.Engine, Model: spec}, Heads: map[string]*roster.Server{}, Daemons: p.d.sharingDaemons(now, m.Service), Random: rand.Float64,
		Limits: p.d.limits, Preferred: p.isScheduler(now, m), Started: p.d.startedFraction(now), HearsMost: p.d.hearsMost(now),
	}
	if !p.d.quarantine.empty() {
		in.Reject = p.d.rejectPlacement
	}
	for _, g := range p.d.view.Load().Groups[m.Service] {
		if !p.d.serves(g, m.Name) {
			continue
		}
		in.Groups = append(in.Groups, balance.Group{Key: g.Key, DataCentre: g.Head.DataCentre, Members: g.Members, Suspect: p.suspects[g.Key].excludesForAll(now)})
		in.Heads[g.Key] = g.Head
	}
	if p.d.anyCold(now, service) {
		p.limitCold(now, m, service, &in)
		defer func() {
			held, rejected := p.server.TakeColdCounts(m)
			p.d.metrics.RecordCold(m.Service, metric.ColdHeld, held)
			p.d.metrics.RecordCold(m.Service, metric.ColdRejected, rejected)
		}()
	}
	if service.Engine.KVTokens > 0 {
		defer p.recordMemory(m)
	}
	return p.server.Step(now, m, in)
}

// sendReply sends a reply to the daemon whose report it answers.
func (p *dispatcher) sendReply(now time.Time, name string, a *schedule.Answer) {
	a.From = p.d.settings().Name
	if name == a.From {
		p.processReply(now, a)
		return
	}
	if r, ok := p.reporters[name]; ok {
		p.d.sendDatagram(p.d.encode(kindAnswer, a), r.peer)
	}
}

// processReply passes the decisions of a scheduler's reply to the requests that wait for them.
func (p *dispatcher) processReply(now time.Time, a *schedule.Answer) {
	if a.Boot != p.d.boot {
		return // the reply is for an earlier run of this daemon
	}
	for _, place := range p.client(a.Model).HandleAnswer(a) {
		w := p.waiters[place.ID]
		if w == nil {
			continue
		}
		delete(p.waiters, place.ID)
		if place.Group == "" {
			w.result <- outcome{err: &RejectedError{place.RetryAfter, place.Reason}}
			continue
		}
		head := p.head(now, w, &place, a.From)
		if head == nil {
			// This daemon knows something about the group that the scheduler has not learnt yet.
			w.ask.Exclude = p.excludeOutsideHomes(append(w.ask.Exclude, place.Group), w)
			p.enqueue(w)
			continue
		}
		w.result <- outcome{reservation: p.reserve(now, w, &place, head)}
	}
}

// head returns the head of the group that the scheduler chose for a request, or nil if this daemon must not use it.
func (p *dispatcher) head(now time.Time, w *waiter, place *schedule.Placement, scheduler string) *roster.Server {
	if slices.Contains(p.excluded(now, w.model, w.first, w.homes), place.Group) {
		return nil
	}
	if !p.d.groupInHomes(w.model.Service, place.Group, w.homes) {
		return nil // the scheduler knows other regions or members, or is of an earlier build
	}
	v := p.d.view.Load()
	if v.Departed[place.Head] != nil || !p.d.pauses.Admit(now, place.Head) {
		return nil
	}
	s := v.Servers[place.Head]
	if s == nil {
		// This daemon has not read the entry of the head yet.
		s = &roster.Server{ID: place.Head, Addr: place.Addr, State: roster.Ready}
	}
	if s.State != roster.Ready || p.d.evacuated(s) || !p.mayUseCold(now, w.model, s, scheduler) {
		return nil
	}
	return s
}

// forget drops the scheduler's state about groups that no longer exist.
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
	maps.DeleteFunc(p.unreachable, func(key string, _ unreachableGroup) bool { return !keys[key] })
}

// logState logs the scheduler's state for each model that this daemon schedules and that had requests.
func (p *dispatcher) logState(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.server.Models() {
		s, daemons := p.server.State(now, m)
		if !p.isScheduler(now, m) || s.Placed+s.Refused < 1 {
			continue
		}
		demand, _ := p.server.Demand(now, m)
		groups := 0
		for _, g := range p.d.view.Load().Groups[m.Service] {
			if p.d.serves(g, m.Name) && !p.suspects[g.Key].excludesForAll(now) {
				groups++
			}
		}
		args := []any{
			"service", m.Service, "model", m.Name, "daemons", daemons, "groups", groups, "requests", demand.Requests, "waiting", s.Waiting,
			"placed", math.Round(s.Placed), "late", math.Round(s.Late), "refused", math.Round(s.Refused), "lag", s.Residual.Round(time.Millisecond),
			"part", math.Round(s.Part*100) / 100, "bound", math.Round(s.Bound),
		}
		if e := p.engine(m.Service); e != nil && e.KVTokens > 0 {
			args = append(args, "memory", math.Round(p.server.MemoryUse(m, e)*100)/100)
		}
		p.d.log.Info("placement", args...)
	}
}

// handleReport handles a report that another daemon sent.
func (p *dispatcher) handleReport(r *schedule.Report, from netip.AddrPort) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	invalid := p.reporters[r.From].invalid
	if r.DropInvalid() {
		p.d.metrics.RecordInvalid("load report")
		if !invalid {
			p.d.log.Warn("tokens in the report of a daemon ignored", "daemon", r.From, "service", r.Model.Service, "model", r.Model.Name)
		}
		invalid = true
	}
	p.reporters[r.From] = reporter{from, now, invalid}
	p.processReport(now, r)
}

// handleReply handles the reply that another daemon sent as the scheduler.
func (p *dispatcher) handleReply(a *schedule.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processReply(time.Now(), a)
}
