package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/quarantine"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

const (
	// daemonTimeout is how long a daemon with work may send no report before its work no longer counts. It reports
	// several times as often, and its requests end when it does.
	daemonTimeout = 1500 * time.Millisecond
	// resendAnswerAfter is how long an answer is taken to be in flight before it is sent again for a request that is
	// still reported as waiting.
	resendAnswerAfter = 8 * time.Millisecond
)

// Server is a daemon's side of the protocol as the scheduler of models. Every daemon has one; the clients choose
// which daemon they ask, and a server decides with the reports that it has received. It is not safe for concurrent
// use.
type Server struct {
	models map[Model]*modelState
	// outcomes holds the outcomes in the reports since the last call of TakeOutcomes.
	outcomes []quarantine.Outcome
	// limits holds the limits in the reports since the last call of TakeLimits.
	limits []balance.LimitNotice
}

// modelState is the state of one model.
type modelState struct {
	scheduler *balance.Scheduler
	daemons   map[string]*daemonState
	// loads is the work of all daemons at each group, with the placements that no report includes yet. workers counts
	// the daemons with work at a group, suspects those that suspect it. They are updated on every change because each
	// request needs them.
	loads             map[string]balance.Load
	workers, suspects map[string]int
	// suspectedSince is when the first daemon reported that it suspects a group, responding when the group last answered a
	// request of a daemon that does not, after that. Both have entries for suspected groups only.
	suspectedSince, responding map[string]time.Time
	// heardSince is since when all daemons with work have reported here: this daemon is the preferred scheduler and hears
	// from most of the others. It is zero while that is not so.
	heardSince time.Time
}

// daemonState is what a daemon last reported.
type daemonState struct {
	boot       int64
	seq        uint64
	lastReport time.Time
	work       reportedWork
	suspects   []string
	// waiting holds the fingerprints of the waiting requests by id, decided the decisions that no report has confirmed yet.
	waiting map[uint64]uint64
	decided map[uint64]sentDecision
}

func (c *daemonState) isWaiting(id uint64) bool {
	_, ok := c.waiting[id]
	return ok
}

// sentDecision is a decision and the load that counts until a report counts it.
type sentDecision struct {
	place Placement
	load  balance.Load
	sent  time.Time
}

// NewServer returns a server without work.
func NewServer() *Server { return &Server{models: map[Model]*modelState{}} }

func (s *Server) model(m Model) *modelState {
	out := s.models[m]
	if out == nil {
		out = &modelState{scheduler: balance.NewScheduler(), daemons: map[string]*daemonState{}, loads: map[string]balance.Load{}, workers: map[string]int{}, suspects: map[string]int{}, suspectedSince: map[string]time.Time{}, responding: map[string]time.Time{}}
		s.models[m] = out
	}
	return out
}

// HandleReport processes a report. It returns what to answer before Step, or nil: decisions that the daemon seems to
// have missed, and the acknowledgement of its requests. A report that is not newer than the last one is ignored.
func (s *Server) HandleReport(now time.Time, r *Report) *Answer {
	m := s.model(r.Model)
	c := m.daemons[r.From]
	if c != nil && (r.Boot < c.boot || r.Boot == c.boot && r.Seq <= c.seq) {
		return nil
	}
	if c == nil || c.boot != r.Boot {
		if c != nil {
			m.removeDaemon(r.From, c)
		}
		c = &daemonState{boot: r.Boot, waiting: map[uint64]uint64{}, decided: map[uint64]sentDecision{}}
		m.daemons[r.From] = c
	}
	m.setReported(c, reportedWork{}, nil)
	c.seq, c.lastReport = r.Seq, now
	m.setReported(c, reportedWork{r.Work, r.HeldTokens, r.Unsized}, r.Suspects)
	m.recordResponses(now, r)
	for _, f := range r.FirstEvents {
		m.scheduler.RecordFirstEvent(now, f.Group, balance.Estimate{Passes: f.Passes, QueuedPrefill: f.QueuedPrefill, Full: f.Full}, f.Took)
	}
	for i, o := range r.Outcomes {
		if i < len(r.OutcomeRequests) {
			o.Request = r.OutcomeRequests[i]
		}
		s.outcomes = append(s.outcomes, o)
	}
	s.limits = append(s.limits, r.Limits...)
	for _, key := range r.Failed {
		m.scheduler.RecordFailure(now, key)
	}
	out := &Answer{Model: r.Model, Boot: r.Boot, Seq: r.Seq}
	reported := make(map[uint64]bool, len(r.Unacknowledged)+len(r.Acknowledged))
	// repeat reports whether the request has been decided. It sends the decision again unless it may still be in
	// flight.
	repeat := func(id uint64) bool {
		reported[id] = true
		g, ok := c.decided[id]
		if ok && now.Sub(g.sent) >= resendAnswerAfter {
			g.sent = now
			c.decided[id] = g
			out.Placements = append(out.Placements, g.place)
		}
		return ok
	}
	for i := range r.Unacknowledged {
		if a := &r.Unacknowledged[i]; !repeat(a.ID) && !c.isWaiting(a.ID) {
			if i < len(r.Tokens) {
				a.Tokens = r.Tokens[i]
			}
			c.waiting[a.ID] = a.Fingerprint
			m.scheduler.Put(now, a.waiter(now, r))
		}
	}
	for _, id := range r.Acknowledged {
		if !repeat(id) && !c.isWaiting(id) {
			out.Unknown = append(out.Unknown, id)
		}
	}
	for id := range c.waiting {
		if !reported[id] {
			delete(c.waiting, id)
			m.scheduler.Drop(balance.Ticket{Daemon: r.From, Boot: r.Boot, ID: id})
		}
	}
	// Requests that are no longer reported as waiting count in the report's work.
	for id, g := range c.decided {
		if id <= r.Last && !reported[id] {
			delete(c.decided, id)
			m.addLoad(g.place.Group, g.load.Negative())
		}
	}
	if len(reported) == 0 {
		return nil
	}
	return out
}

// TakeOutcomes returns the outcomes in the reports since the last call.
func (s *Server) TakeOutcomes() []quarantine.Outcome {
	out := s.outcomes
	s.outcomes = nil
	return out
}

// TakeLimits returns the limits in the reports since the last call.
func (s *Server) TakeLimits() []balance.LimitNotice {
	out := s.limits
	s.limits = nil
	return out
}

func (a *PlacementRequest) waiter(now time.Time, r *Report) *balance.Waiter {
	dataCentres, limited := r.DataCentres[a.ID]
	return &balance.Waiter{
		Limited: limited, DataCentres: dataCentres,
		Ticket: balance.Ticket{Daemon: r.From, Boot: r.Boot, ID: a.ID}, Organisation: a.Organisation, DataCentre: r.DataCentre, Exclude: a.Exclude,
		Request: balance.Request{
			Rank: a.Rank, Prompt: a.Prompt, Tokens: a.Tokens, Objective: a.Objective, Gap: a.Gap, CallerTimeout: a.CallerTimeout, Fingerprint: a.Fingerprint, Arrived: now.Add(-a.Waited),
			Until: now.Add(a.Left), Resumed: a.Resumed,
		},
	}
}

// setReported replaces the work and the suspect groups that a daemon reported.
func (m *modelState) setReported(c *daemonState, work reportedWork, suspects []string) {
	for i, w := range c.work.work {
		m.addLoad(w.Group, c.work.load(i).Negative())
		addCount(m.workers, w.Group, -1)
	}
	for _, key := range c.suspects {
		addCount(m.suspects, key, -1)
	}
	for i, w := range work.work {
		m.addLoad(w.Group, work.load(i))
		addCount(m.workers, w.Group, 1)
	}
	for _, key := range suspects {
		addCount(m.suspects, key, 1)
	}
	c.work, c.suspects = work, suspects
}

// addCount changes an entry of a table of counts.
func addCount(table map[string]int, key string, by int) {
	if n := table[key] + by; n > 0 {
		table[key] = n
	} else {
		delete(table, key)
	}
}

// maxResponseDelay is how much later than a first event its report may come. respondingFor is how long a first event shows that a
// suspected group responds.
const (
	maxResponseDelay = 100 * time.Millisecond
	respondingFor    = 2 * time.Second
)

// recordResponses records the first events of suspected groups that a report contains.
func (m *modelState) recordResponses(now time.Time, r *Report) {
	for key := range m.suspectedSince {
		if m.suspects[key] == 0 {
			delete(m.suspectedSince, key)
			delete(m.responding, key)
		}
	}
	for _, key := range r.Suspects {
		if m.suspectedSince[key].IsZero() {
			m.suspectedSince[key] = now
		}
	}
	for _, f := range r.FirstEvents {
		// An event that was on its way when the group stalled proves nothing.
		if since, ok := m.suspectedSince[f.Group]; ok && now.Sub(since) > maxResponseDelay && !slices.Contains(r.Suspects, f.Group) {
			m.responding[f.Group] = now
		}
	}
}

// isSuspect reports whether a group is excluded for all daemons. A daemon excludes the groups that it suspects by
// itself. For the others such a group may work well, as for those that are cut off from its head, so it is excluded for all
// only when at least as many daemons suspect it as have work there, and it has answered none of the others since.
func (m *modelState) isSuspect(now time.Time, group string) bool {
	n := m.suspects[group]
	if n == 0 || n < m.workers[group] {
		return false
	}
	at, responds := m.responding[group]
	return !responds || now.Sub(at) > respondingFor
}

// addLoad changes the load of a group.
func (m *modelState) addLoad(group string, by balance.Load) {
	if group == "" {
		return // the request was rejected
	}
	l := m.loads[group].Add(by)
	if l == (balance.Load{}) {
		delete(m.loads, group)
		return
	}
	m.loads[group] = l
}

// removeDaemon removes a daemon with its requests and its work.
func (m *modelState) removeDaemon(name string, c *daemonState) {
	m.setReported(c, reportedWork{}, nil)
	for _, g := range c.decided {
		m.addLoad(g.place.Group, g.load.Negative())
	}
	for id := range c.waiting {
		m.scheduler.Drop(balance.Ticket{Daemon: name, Boot: c.boot, ID: id})
	}
	delete(m.daemons, name)
}

// Input is what the caller of Step knows of a model.
type Input struct {
	Plan *balance.Plan
	// Groups holds the complete groups; Step fills in their loads. Heads holds their heads by group key.
	Groups []balance.Group
	Heads  map[string]*roster.Server
	// Daemons is the number of daemons, including this one.
	Daemons int
	// Started is the fraction of the daemons that have just started, as far as known. They hold no work that they have not reported.
	Started float64
	// Limits holds the limits that heads have named. Preferred is set when the other daemons ask this one too, so that it
	// may use them whole; otherwise it uses the share of the daemons that it has reports from.
	Limits    *balance.Limits
	Preferred bool
	// ColdAllowance holds how many requests the cold heads take now, by group key; TakeCold counts one. Both are nil if no head is
	// cold.
	ColdAllowance map[string]int
	TakeCold      func(head *roster.Server)
	// HearsMost is set when this daemon hears from at least half of the daemons that it knows.
	HearsMost bool
	// Reject returns the decision on a request that no group may run, by its fingerprint. It is nil if there are none.
	Reject func(fingerprint uint64) (p Placement, rejected bool)
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Waiting reports whether requests of a model wait.
func (s *Server) Waiting(m Model) bool {
	state := s.models[m]
	return state != nil && state.scheduler.Waiting() > 0
}

// Models returns the models that the server has received reports for.
func (s *Server) Models() []Model {
	return slices.SortedFunc(maps.Keys(s.models), func(a, b Model) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// Step decides on the waiting requests of a model and returns the answers by daemon.
func (s *Server) Step(now time.Time, model Model, in Input) map[string]*Answer {
	m := s.models[model]
	if m == nil {
		return nil
	}
	m.removeSilent(now)
	switch {
	case !in.Preferred || !in.HearsMost:
		m.heardSince = time.Time{}
	case m.heardSince.IsZero():
		m.heardSince = now
	}
	out := map[string]*Answer{}
	answer := func(daemon string, c *daemonState, p Placement, load balance.Load) {
		delete(c.waiting, p.ID)
		c.decided[p.ID] = sentDecision{place: p, load: load, sent: now}
		if out[daemon] == nil {
			out[daemon] = &Answer{Model: model, Boot: c.boot, Seq: c.seq}
		}
		out[daemon].Placements = append(out[daemon].Placements, p)
	}
	if in.Reject != nil {
		for name, c := range m.daemons {
			for id, fingerprint := range c.waiting {
				if p, rejected := in.Reject(fingerprint); rejected {
					p.ID = id
					m.scheduler.Drop(balance.Ticket{Daemon: name, Boot: c.boot, ID: id})
					answer(name, c, p, balance.Load{})
				}
			}
		}
	}
	if m.scheduler.Waiting() == 0 {
		return out
	}
	unreported := 1 - float64(min(len(m.daemons), in.Daemons))/float64(max(in.Daemons, 1))
	share := 1 - unreported
	if in.Preferred {
		share = 1
	}
	// Every daemon with work reports to its scheduler several times in daemonTimeout, so those that have not by then have
	// none. Where two thirds of the daemons had no work, the work assumed for them tripled the loads.
	if !m.heardSince.IsZero() && now.Sub(m.heardSince) > daemonTimeout {
		unreported = 0
	}
	for i := range in.Groups {
		g := &in.Groups[i]
		g.Load = m.loads[g.Key]
		g.Suspect = g.Suspect || m.isSuspect(now, g.Key)
		if h := in.Heads[g.Key]; h != nil && in.Limits != nil {
			g.Allowance, g.Limited = in.Limits.Allowance(now, h.ID, h.Born, share)
		}
		if n, cold := in.ColdAllowance[g.Key]; cold {
			if g.ColdLimited = n < 1; !g.Limited || n < g.Allowance {
				g.Allowance, g.Limited = n, true
			}
		}
	}
	m.scheduler.SetIdle(in.Started)
	for _, d := range m.scheduler.Step(now, in.Plan, in.Groups, unreported, in.Random) {
		c := m.daemons[d.Daemon]
		if c == nil {
			continue // the daemon was removed after a long silence
		}
		p := Placement{ID: d.ID, Group: d.Group, Passes: d.Estimate.Passes, QueuedPrefill: d.Estimate.QueuedPrefill, Full: d.Estimate.Full, RetryAfter: d.RetryAfter, Reason: string(d.Reason)}
		if h := in.Heads[d.Group]; h != nil {
			p.Head, p.Addr = h.ID, h.Addr
			if in.Limits != nil {
				in.Limits.Take(h.ID)
			}
			if _, cold := in.ColdAllowance[d.Group]; cold {
				in.TakeCold(h)
			}
		}
		m.addLoad(p.Group, d.Load)
		answer(d.Daemon, c, p, d.Load)
	}
	return out
}

// TakeColdCounts returns balance.Scheduler.TakeColdCounts of a model.
func (s *Server) TakeColdCounts(model Model) (held, rejected int) {
	if m := s.models[model]; m != nil {
		return m.scheduler.TakeColdCounts()
	}
	return 0, 0
}

// TakeMemoryCounts returns balance.Scheduler.TakeMemoryCounts of a model.
func (s *Server) TakeMemoryCounts(model Model) (held, rejected int) {
	if m := s.models[model]; m != nil {
		return m.scheduler.TakeMemoryCounts()
	}
	return 0, 0
}

// MemoryUse returns the largest part of its memory that a group of a model holds, as far as reported; 0 if it is not bounded.
func (s *Server) MemoryUse(model Model, e *route.Engine) float64 {
	m := s.models[model]
	if m == nil {
		return 0
	}
	most, memory := 0.0, m.scheduler.Memory(e)
	for _, l := range m.loads {
		most = max(most, memory.Use(l))
	}
	return most
}

// removeSilent removes the daemons that have sent no report for daemonTimeout.
func (m *modelState) removeSilent(now time.Time) {
	for name, c := range m.daemons {
		if now.Sub(c.lastReport) > daemonTimeout {
			m.removeDaemon(name, c)
		}
	}
}

// Demand is the demand for a model as its scheduler knows it.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of requests that run at groups; Shortfall is about how many more placements would have
	// served all requests.
	Requests  int
	Shortfall int
	// Urgent is the most urgent rank of recent work.
	Urgent int
}

// Demand returns the demand for a model; ok is false when no work is known.
func (s *Server) Demand(now time.Time, model Model) (d Demand, ok bool) {
	m := s.models[model]
	if m == nil {
		return d, false
	}
	m.removeSilent(now)
	for _, l := range m.loads {
		d.Requests += l.Requests
	}
	var known bool
	d.Shortfall, d.Urgent, known = m.scheduler.Shortfall(now)
	return d, known || d.Requests > 0
}

// State returns the scheduler's state for a model, and the number of daemons that report to it.
func (s *Server) State(now time.Time, model Model) (state balance.State, daemons int) {
	m := s.models[model]
	if m == nil {
		return state, 0
	}
	m.removeSilent(now)
	return m.scheduler.State(now), len(m.daemons)
}

// Forget drops the state of groups for which kept is false.
func (s *Server) Forget(kept func(group string) bool) {
	for _, m := range s.models {
		m.scheduler.Forget(kept)
	}
}
