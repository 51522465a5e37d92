package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/quarantine"
	"flamingorudder.example/internal/region"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/timer"
)

// dispatchPeriod is how often stalled groups are detected, due reports are sent to schedulers, and waiting requests are
// scheduled. Requests are also scheduled when something changes.
const dispatchPeriod = balance.TickPeriod

// suspectFor is how long a group that stalled gets no new requests.
const suspectFor = 3 * time.Second

// rejectedFor is how long a group that rejected a request gets no others. By then the entries in the store show the reason.
const rejectedFor = 500 * time.Millisecond

// dispatcher connects requests to the placement decisions of package schedule, which does no I/O. The protocol between the
// daemons is in place.go.
type dispatcher struct {
	d  *Daemon
	mu sync.Mutex
	// server schedules the requests of all daemons that have chosen this one as the scheduler of a model. clients request
	// placements for the requests of this daemon.
	server  *schedule.Server
	clients map[schedule.Model]*schedule.Client
	// crashDetector finds requests and prompt parts that crash backend servers, from the outcomes that daemons report to this
	// scheduler.
	crashDetector *quarantine.Detector
	// plainDetectors does the same for the plain services whose crashes this daemon collects.
	plainDetectors map[string]*quarantine.Detector
	// reporters holds the daemons that have sent reports to this scheduler, by name.
	reporters map[string]reporter
	// targets caches the daemons that may be the scheduler of each model.
	targets map[schedule.Model]*candidates
	// waiters holds the requests that wait for a placement, by ticket.
	waiters map[uint64]*waiter
	ticket  uint64
	// localLoad is the load that the requests of this daemon put on each group.
	localLoad map[schedule.Model]map[string]balance.Load
	stalls    *balance.StallDetector
	// suspects holds the groups that are temporarily excluded: they stalled, rejected a request, or are being closed.
	suspects map[string]suspicion
	// unreachable holds the groups to whose heads this daemon could not connect, by their keys.
	unreachable map[string]unreachableGroup
	// running holds the requests in progress at each group, by their tracks in stalls.
	running map[string]map[*balance.Track]*groupPlace
	// peerWatches holds the requests that other daemons serve and that may go on elsewhere when those are lost.
	peerWatches map[*peerWatch]struct{}
}

// suspicion is the temporary exclusion of a group. local is set if this daemon detected it and so reports it to the others.
// closed is set for groups that this daemon, as holder of the lease, has ordered to close.
type suspicion struct {
	until         time.Time
	local, closed bool
}

// excludesForAll reports whether the scheduler places no request of any daemon at the group: it was ordered to close, or it said
// itself that it takes none. That this daemon finds it stalled counts like the suspicion of another one, in its report.
func (s suspicion) excludesForAll(now time.Time) bool {
	return now.Before(s.until) && (s.closed || !s.local)
}

// waiter is a request that waits for a placement.
type waiter struct {
	model schedule.Model
	// ask is the request as it is reported to the scheduler, with its latest ticket as the id.
	ask            schedule.PlacementRequest
	arrived, until time.Time
	// first is set if no attempt at the request has been made.
	first bool
	// homes are the home regions of the request.
	homes region.Homes
	ids   suspectIDs
	// limit is how long a group of the model may make no progress before it counts as stalled.
	limit time.Duration
	// result receives the reserved place in a group, or the reason for the rejection.
	result chan outcome
}

type outcome struct {
	reservation *reservation
	err         error
}

// reservation is the place of one attempt at a stream, held until the attempt ends: in a group, at a backend server of a service without
// models, or at another daemon.
type reservation struct {
	occupancy
	// key is the group; it is empty at other places.
	key  string
	head *roster.Server
	// peer is the daemon to which the request is handed over; it is empty at other places.
	peer string
	// ctx is cancelled when the request or a part of its prompt is put in quarantine. Its cause is the error of the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// silent is set while the place, or this request alone, makes no progress.
	silent atomic.Bool
	// limit is how long the place may make no progress.
	limit time.Duration
}

// name returns what the place is called in the log and in the list of places that later attempts leave out.
func (s *reservation) name() string { return cmp.Or(s.key, s.head.ID) }

// release gives the place back.
func (s *reservation) release() {
	s.cancel(nil)
	s.occupancy.release()
}

// occupancy follows an attempt at the place where it runs. It is safe for concurrent use.
type occupancy interface {
	// watch has f called whenever the place, or this request alone, is found to make no progress. f must not block.
	watch(f func())
	// expect records that the daemon begins to wait for an event of the response, progress that one arrived.
	expect()
	progress()
	// recordConnection records whether this daemon could connect to the server, recordRejection that the server rejected the request and
	// for how long it wants no others.
	recordConnection(connected bool)
	recordRejection(pause time.Duration)
	// reportLimit reports what the answer says about the limit of its server.
	reportLimit(n balance.LimitNotice, sent time.Time)
	// recordOutcome records that the server has answered the request or crashed, reportFailure that it failed the request.
	recordOutcome(crashed bool)
	reportFailure(err error)
	// release ends the occupancy. It may be called more than once.
	release()
}

// peerPlace is the occupancy of a request that another daemon serves, which follows the attempts itself.
type peerPlace struct{}

func (peerPlace) watch(func())                               {}
func (peerPlace) expect()                                    {}
func (peerPlace) progress()                                  {}
func (peerPlace) recordConnection(bool)                      {}
func (peerPlace) recordRejection(time.Duration)              {}
func (peerPlace) reportLimit(balance.LimitNotice, time.Time) {}
func (peerPlace) recordOutcome(bool)                         {}
func (peerPlace) reportFailure(error)                        {}
func (peerPlace) release()                                   {}

// groupPlace is the occupancy of a place in a group. The mutex of the dispatcher guards it.
type groupPlace struct {
	d     *dispatcher
	held  *reservation
	model schedule.Model
	ids   suspectIDs
	// onSilence is called, with the mutex of the dispatcher held, when the place falls silent.
	onSilence func()
	// load is the load of the request when it is placed.
	load  balance.Load
	began time.Time
	// place is the decision of the scheduler.
	place schedule.Placement
	track *balance.Track
	ended bool
}

// RejectedError reports that a request was not assigned to any backend server. The request has not run.
type RejectedError struct {
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	Reason     string
}

func (e *RejectedError) Error() string { return "request rejected: " + e.Reason }

func newDispatcher(d *Daemon) *dispatcher {
	return &dispatcher{
		d: d, server: schedule.NewServer(), crashDetector: quarantine.NewDetector(), plainDetectors: map[string]*quarantine.Detector{}, clients: map[schedule.Model]*schedule.Client{}, reporters: map[string]reporter{},
		targets: map[schedule.Model]*candidates{}, waiters: map[uint64]*waiter{}, localLoad: map[schedule.Model]map[string]balance.Load{},
		stalls: balance.NewStallDetector(), suspects: map[string]suspicion{}, unreachable: map[string]unreachableGroup{}, running: map[string]map[*balance.Track]*groupPlace{}, peerWatches: map[*peerWatch]struct{}{},
	}
}

// acquire waits until the scheduler has assigned a request to a group or has rejected it. exclude holds the groups that
// must not be used as earlier attempts there failed.
func (p *dispatcher) acquire(ctx context.Context, service *route.Service, name, org string, r balance.Request, homes region.Homes, ids suspectIDs, exclude []string) (*reservation, error) {
	now := time.Now()
	model := schedule.Model{Service: service.Name, Name: name}
	plan := &balance.Plan{Engine: service.Engine, Model: service.Engine.Model(name)}
	w := &waiter{
		model: model, arrived: r.Arrived, until: r.Until, homes: homes, ids: ids, limit: plan.StallTimeout(), result: make(chan outcome, 1),
		ask: schedule.PlacementRequest{
			Rank: r.Rank, Prompt: r.Prompt, Tokens: r.Tokens, Organisation: org, Objective: r.Objective, Gap: r.Gap, CallerTimeout: r.CallerTimeout, Fingerprint: r.Fingerprint, Resumed: r.Resumed,
		},
	}
	p.mu.Lock()
	// Checked under the mutex, so that no request begins to wait unnoticed while it is quarantined.
	if err := p.d.quarantineRejection(now, ids); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if err := p.dropped(model); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if p.d.onlyEvacuated(model) {
		p.mu.Unlock()
		return nil, &RejectedError{balance.RetryDelay(now, r.Until, rand.Float64), reasonEvacuated}
	}
	if p.d.onlyOutsideHomes(model, homes) {
		p.mu.Unlock()
		return nil, p.d.rejectOutsideHomes(now, model.Service, r.Until)
	}
	w.first = len(exclude) == 0
	w.ask.Exclude = slices.Concat(exclude, p.excluded(now, model, w.first, homes), p.unreachableGroups(now, model, homes))
	if p.enqueue(w) {
		p.sendReport(now, model)
	}
	p.mu.Unlock()
	select {
	case o := <-w.result:
		return o.reservation, o.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiters, w.ask.ID)
	p.client(model).Withdraw(w.ask.ID)
	p.mu.Unlock()
	select {
	case o := <-w.result:
		if o.reservation != nil {
			o.reservation.release()
		}
	default:
	}
	return nil, ctx.Err()
}

// enqueue adds a request under a new ticket to the next report. If too many requests wait already, it rejects the request
// and reports false.
func (p *dispatcher) enqueue(w *waiter) bool {
	p.ticket++
	w.ask.ID = p.ticket
	if !p.client(w.model).Submit(w.ask, w.arrived, w.until) {
		w.result <- outcome{err: &RejectedError{balance.RetryDelay(time.Now(), w.until, rand.Float64), "too many wait here"}}
		return false
	}
	if w.homes.Limited() {
		p.client(w.model).Limit(w.ask.ID, p.d.homes.regions.Load().DataCentres(w.homes))
	}
	p.waiters[w.ask.ID] = w
	return true
}

// excluded returns the groups that this daemon currently excludes for requests to a model. Silence is no proof: if all groups that are
// left are only silent, first attempts may try them, one at a time until one has brought an event. The others are rejected: if the
// group is dead, they would only wait until their callers leave.
func (p *dispatcher) excluded(now time.Time, m schedule.Model, first bool, homes region.Homes) []string {
	var keys, silent []string
	for key, s := range p.suspects {
		switch {
		case !now.Before(s.until):
		case s.local && !s.closed:
			silent = append(silent, key)
		default:
			keys = append(keys, key)
		}
	}
	othersLeft := func() bool {
		return slices.ContainsFunc(p.d.view.Load().Groups[m.Service], func(g *roster.Group) bool {
			return p.d.servesIn(g, m.Name, homes) && !now.Before(p.suspects[g.Key].until) && !now.Before(p.unreachable[g.Key].until)
		})
	}
	if first && len(silent) > 0 && !othersLeft() {
		silent = slices.DeleteFunc(silent, p.mayTry)
	}
	return append(keys, silent...)
}

// mayTry reports whether a suspected group has sent an event since, or has got no request since that could bring one.
func (p *dispatcher) mayTry(key string) bool {
	since := p.suspects[key].until.Add(-suspectFor)
	if p.stalls.EventSince(key, since) {
		return true
	}
	for _, s := range p.running[key] {
		if s.began.After(since) {
			return false
		}
	}
	return true
}

// unreachableGroup is a group that this daemon does not use for a while because it could not connect to its head. Unlike a
// suspicion, this is not reported, as other daemons may reach the group. The time doubles with each failure in a row.
type unreachableGroup struct {
	until   time.Time
	backoff time.Duration
}

// maxUnreachableGroups bounds the unreachable groups that a request excludes, so that its report fits a datagram.
const maxUnreachableGroups = 32

// recordConnection records whether this daemon could connect to the head of a group.
func (p *dispatcher) recordConnection(key string, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connected {
		delete(p.unreachable, key)
		return
	}
	now := time.Now()
	if g := p.unreachable[key]; !now.Before(g.until) {
		g.backoff = min(max(2*g.backoff, minServerBackoff), maxServerBackoff)
		p.unreachable[key] = unreachableGroup{now.Add(g.backoff), g.backoff}
	}
}

// unreachableGroups returns the groups of a model that this daemon does not use as it could not connect to them. If those are all
// groups of the model, it returns none: an attempt that fails is answered sooner than a request that waits for a group.
func (p *dispatcher) unreachableGroups(now time.Time, m schedule.Model, homes region.Homes) (keys []string) {
	if len(p.unreachable) == 0 {
		return nil
	}
	reached := false
	for _, g := range p.d.view.Load().Groups[m.Service] {
		switch {
		case !p.d.servesIn(g, m.Name, homes):
		case now.Before(p.unreachable[g.Key].until):
			keys = append(keys, g.Key)
		default:
			reached = true
		}
	}
	if !reached {
		return nil
	}
	return keys[:min(len(keys), maxUnreachableGroups)]
}

// withoutEvidence returns the groups of a model that have sent this daemon no event within a pass, those with silent requests first, if
// there is another one that may be used. limit is that of the model's requests. A group that is silent has the least load, so others
// are preferred where it matters.
func (p *dispatcher) withoutEvidence(m schedule.Model, limit time.Duration, homes region.Homes, exclude []string) (keys []string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	exclude = slices.Concat(exclude, p.excluded(now, m, false, homes), p.unreachableGroups(now, m, homes))
	works := false
	var idle []string
	for _, g := range p.d.view.Load().Groups[m.Service] {
		switch {
		case !p.d.servesIn(g, m.Name, homes) || slices.Contains(exclude, g.Key):
		case p.stalls.Works(now, g.Key, limit):
			works = true
		case len(p.running[g.Key]) > 0:
			keys = append(keys, g.Key)
		default:
			idle = append(idle, g.Key)
		}
	}
	if !works {
		return nil
	}
	keys = append(keys, idle...)
	return keys[:min(len(keys), max(maxUnreachableGroups-len(exclude), 0))]
}

// handOver returns a reservation for an attempt that has another daemon serve the request.
func handOver(target *gossip.Peer) *reservation {
	s := &reservation{occupancy: peerPlace{}, head: peerServer(target), peer: target.Name}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// reserve takes the place in a group that the scheduler has assigned to a request, and starts tracking its progress.
func (p *dispatcher) reserve(now time.Time, w *waiter, place *schedule.Placement, head *roster.Server) *reservation {
	r := &reservation{key: place.Group, head: head, limit: w.limit}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	s := &groupPlace{
		d: p, held: r, model: w.model, ids: w.ids, load: balance.RequestLoad(w.ask.Prompt, w.ask.Tokens), began: now, place: *place,
		track: p.stalls.Begin(now, place.Group, w.limit),
	}
	r.occupancy = s
	p.addLoad(s, s.load)
	if p.running[r.key] == nil {
		p.running[r.key] = map[*balance.Track]*groupPlace{}
	}
	p.running[r.key][s.track] = s
	return r
}

// addLoad adds delta to the load that this daemon puts on a group.
func (p *dispatcher) addLoad(s *groupPlace, delta balance.Load) {
	loads := p.localLoad[s.model]
	if loads == nil {
		loads = map[string]balance.Load{}
		p.localLoad[s.model] = loads
	}
	if l := loads[s.held.key].Add(delta); l.Requests > 0 {
		loads[s.held.key] = l
	} else {
		delete(loads, s.held.key)
	}
	p.client(s.model).Changed()
}

// run periodically detects stalled groups, sends due reports and schedules waiting requests, until ctx ends.
func (p *dispatcher) run(ctx context.Context) {
	ticks, stop := timer.Every(dispatchPeriod, 0)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		p.d.observeRunning()
		now := time.Now()
		p.mu.Lock()
		stalledGroups, stalledRequests := p.stalls.Tick(now)
		for _, key := range stalledGroups {
			p.suspect(now, key)
		}
		// A group that may only be busy is no suspect yet, but it is a reason to ask whether there is a path.
		var doubted []string
		for _, key := range slices.Concat(stalledGroups, p.stalls.Quiet(now)) {
			for _, s := range p.running[key] {
				doubted = append(doubted, s.model.Service)
				break
			}
		}
		p.silenceWithoutPath(now)
		p.checkPeers(now)
		for _, t := range stalledRequests {
			if s := p.running[t.Group()][t]; s != nil {
				s.fallSilent() // only the connection of this request stalled, not the group
			}
		}
		p.tick(now)
		p.mu.Unlock()
		for _, key := range stalledGroups {
			p.d.log.Warn("group makes no progress", "group", key)
			p.d.leader.suspect(key)
		}
		for _, service := range doubted {
			p.d.paths.doubt(service)
		}
	}
}

// suspect excludes a stalled group temporarily. Its requests wait on, as the group may be sound, and prepare to continue at
// other groups.
func (p *dispatcher) suspect(now time.Time, key string) {
	if s := p.suspects[key]; !s.local || s.closed || now.After(s.until) {
		p.suspects[key] = suspicion{until: now.Add(suspectFor), local: true}
	}
	for _, s := range p.running[key] {
		s.fallSilent()
	}
	for k, s := range p.suspects {
		if now.After(s.until) {
			delete(p.suspects, k)
		}
	}
}

// excludeClosed excludes a group that has been ordered to close. leaseHolder is set if this daemon holds the lease and so
// reports it to the other daemons.
func (p *dispatcher) excludeClosed(key string, leaseHolder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.suspects[key]; !s.closed || leaseHolder {
		p.suspects[key] = suspicion{until: time.Now().Add(suspectFor), local: leaseHolder, closed: leaseHolder}
	}
}

// excludeRejecting excludes a group that rejected a request, at least for the pause that it asked for. The reason shows in
// the entries of the store only later.
func (p *dispatcher) excludeRejecting(key string, pause time.Duration) {
	until := time.Now().Add(max(rejectedFor, pause))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspects[key].until.Before(until) {
		p.suspects[key] = suspicion{until: until}
	}
}

// fillDigest fills in the demand for the models that this daemon schedules, the requests to plain services that it suspects, the
// groups that it found stalled, and those that it has ordered to close.
func (p *dispatcher) fillDigest(d *gossip.Digest) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.server.Models() {
		if !p.isScheduler(now, m) {
			continue
		}
		if demand, ok := p.server.Demand(now, m); ok {
			if d.Demands == nil {
				d.Demands = map[string]schedule.Demand{}
			}
			d.Demands[gossip.DemandKey(m.Service, m.Name)] = demand
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.plainDetectors)) {
		d.Suspicions = append(d.Suspicions, p.plainDetectors[service].Suspicions(now, service)...)
	}
	pathLost := len(p.d.paths.lostServices()) > 0
	for key, s := range p.suspects {
		switch {
		case now.After(s.until) || !s.local || pathLost && !s.closed:
		case s.closed:
			d.ClosedGroups = append(d.ClosedGroups, key)
		default:
			d.SuspectGroups = append(d.SuspectGroups, key)
		}
	}
}

// pressure returns, for each model of a service, the ratio of the demand of all daemons to the slots of the model's open
// groups that are not evacuated, and the model whose demand is more urgent than that of all others, if there is one.
func (p *dispatcher) pressure(service *route.Service) (pressure map[string]float64, urgent string) {
	now := time.Now()
	live := p.d.livePeers(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for i := range service.Engine.Models {
		name := service.Engine.Models[i].Name
		// For a short time, several daemons may schedule the same model. The one with the highest demand has reports from
		// the most daemons.
		demand, known := p.server.Demand(now, schedule.Model{Service: service.Name, Name: name})
		for _, peer := range live {
			d, ok := peer.Demands[gossip.DemandKey(service.Name, name)]
			if ok && (!known || d.Requests+d.Shortfall > demand.Requests+demand.Shortfall) {
				demand, known = d, true
			}
		}
		if !known {
			continue
		}
		switch {
		case pressure == nil || demand.Urgent < rank:
			urgent, rank = name, demand.Urgent
		case demand.Urgent == rank:
			urgent = "" // no model has more urgent work than the others
		}
		slots := 0
		for _, g := range p.d.view.Load().Groups[service.Name] {
			if g.Model == name && !p.d.evacuated(g.Head) {
				slots += service.Engine.Slots
			}
		}
		if pressure == nil {
			pressure = map[string]float64{}
		}
		pressure[name] = float64(demand.Requests+demand.Shortfall) / float64(max(slots, 1))
	}
	return pressure, urgent
}

func (s *groupPlace) watch(f func()) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.onSilence = f
}

func (s *groupPlace) fallSilent() {
	s.held.silent.Store(true)
	if s.onSilence != nil {
		s.onSilence()
	}
}

// expect does nothing: a group makes progress by the events of all its requests.
func (s *groupPlace) expect() {}

func (s *groupPlace) progress() {
	now := time.Now()
	p := s.d
	p.mu.Lock()
	defer p.mu.Unlock()
	s.held.silent.Store(false)
	if s.ended {
		return
	}
	if p.stalls.Progress(now, s.track) {
		p.addLoad(s, balance.Load{QueuedTokens: -s.load.QueuedTokens})
		p.client(s.model).RecordFirstEvent(schedule.FirstEvent{Group: s.held.key, Passes: s.place.Passes, QueuedPrefill: s.place.QueuedPrefill, Full: s.place.Full, Took: now.Sub(s.began)})
	}
}

func (s *groupPlace) recordConnection(connected bool) { s.d.recordConnection(s.held.key, connected) }

func (s *groupPlace) recordRejection(pause time.Duration) { s.d.excludeRejecting(s.held.key, pause) }

// reportLimit reports the limit to the scheduler.
func (s *groupPlace) reportLimit(n balance.LimitNotice, sent time.Time) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.client(s.model).RecordLimit(n, sent)
}

// reportFailure reports to the scheduler that the group failed the request.
func (s *groupPlace) reportFailure(error) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.client(s.model).RecordFailure(s.held.key)
}

func (s *groupPlace) release() {
	p := s.d
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	p.stalls.End(s.track)
	load := s.load
	if s.track.Started() {
		load.QueuedTokens = 0
	}
	p.addLoad(s, load.Negative())
	delete(p.running[s.held.key], s.track)
	if len(p.running[s.held.key]) == 0 {
		delete(p.running, s.held.key)
	}
}
