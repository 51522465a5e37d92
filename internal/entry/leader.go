package entry

import (
	"context"
	"errors"
	"reflect"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/election"
	"flamingorudder.example/internal/era"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/replica"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

const (
	tableLease = "lease"
	// votePeriod is how often this daemon checks whether to renew or take the lease.
	votePeriod = 50 * time.Millisecond
	// planPeriod is how often the planner of each service runs.
	planPeriod = 100 * time.Millisecond
	// departuresPeriod is how often other daemons are asked for removed entries while none answers.
	departuresPeriod = time.Second
	// reportPeriod is how often a backend server is asked for its report, fastReportPeriod the same while its state is
	// about to change.
	reportPeriod     = 1200 * time.Millisecond
	fastReportPeriod = 150 * time.Millisecond
	// busyReportDivisor is the fraction of the time for which an order has run by which its end may be noticed late.
	busyReportDivisor = 10
	// reportLag is how long a daemon takes to report a request to the scheduler of its model, and the planner to run.
	reportLag = 200 * time.Millisecond
	// effectWait is how long after an order reports are requested every fastReportPeriod.
	effectWait = time.Second
	// openWait is how long a member that has joined is polled every fastReportPeriod while the rest of its group gets
	// ready.
	openWait = 2 * time.Second
	// reportTimeout bounds a request for a report, orderTimeout an order.
	reportTimeout = 350 * time.Millisecond
	orderTimeout  = time.Second
	// maxReportFailures is the number of consecutive failed requests for a report after which a backend server counts as lost.
	maxReportFailures = 2
	// soundSilence is the longest silence of a sound backend server, during which no work there may end. One whose entry is listed and
	// whose process is not known to have ended counts as lost only if it answers no query that is sent later than that either.
	soundSilence = 2500 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeat periods a live backend server may take to renew its entry. It includes the
	// delay of reading the entry.
	maxMissedHeartbeats = 2
	// lapseHeartbeats is after how many heartbeat periods of silence the platform removes the entry of a backend server.
	lapseHeartbeats = 3
	// outageSilence replaces that time while the store does not answer. It is longer than any outage.
	outageSilence = time.Hour
	// maxCalls bounds concurrent requests for reports. maxOrders bounds concurrent orders and allows one for each backend
	// server.
	maxCalls  = 128
	maxOrders = 2048
)

// leader sends orders to backend servers while this daemon holds the lease.
type leader struct {
	d  *Daemon
	mu sync.Mutex
	// token is the fencing token of the lease under which the planners were created.
	token    int64
	planners map[string]*replica.Planner
	// polls holds what each backend server reported, by ID.
	polls map[string]*reportPoll
	// tallies holds the last logged counts of each service.
	tallies map[string]replica.Summary
	// askDepartures is when other daemons are asked for removed entries; zero once one has answered under this token.
	askDepartures time.Time
	// suspects holds the keys of groups that some daemon suspects of making no progress.
	suspects map[string]bool
	// calls runs requests for reports and calls for the lease. Orders have a group of their own, so that a burst of such
	// requests cannot block one: if only some members of a group were told to join, the group has to be broken up again.
	calls, orders errgroup.Group
}

// reportPoll is the state of requesting reports from one backend server.
type reportPoll struct {
	born     int64
	report   platform.Report
	reported bool
	// fastReportsUntil is until when an order may still show its effect. Reports lag by a few hundred milliseconds.
	fastReportsUntil time.Time
	// leftEpoch is the epoch of the last group that the backend server was ordered to leave and has left.
	leftEpoch int64
	// changed is when the reported membership last changed, busySince when the backend server began the order that it is
	// executing; zero while it executes none.
	changed, busySince time.Time
	// at is when the last report arrived, next when the next request is due.
	at, next time.Time
	failures int
	// silentSince is when the first of the unanswered requests in a row was sent; zero if the last one was answered. asked is set if
	// other daemons were asked meanwhile.
	silentSince time.Time
	asked       bool
	// relayed is set if the last report came through another daemon: it is known that only this one does not reach the server.
	relayed bool
	// ended is set when the process is known to have ended. refused is set when its address refused a connection of this daemon and no
	// daemon that was asked reached it, while its entry was listed.
	ended, refused bool
	asking         bool
}

// ReplacedError reports that another process now runs at a backend server's address.
type ReplacedError struct{ ID string }

func (e *ReplacedError) Error() string {
	return e.ID + " has ended; another process uses its address"
}

func newLeader(d *Daemon) *leader {
	l := &leader{d: d, planners: map[string]*replica.Planner{}, tallies: map[string]replica.Summary{}, polls: map[string]*reportPoll{}, suspects: map[string]bool{}}
	l.calls.SetLimit(maxCalls)
	l.orders.SetLimit(maxOrders)
	return l
}

// heartbeatTimeout returns how long a live backend server may go without renewing its entry.
func (d *Daemon) heartbeatTimeout() time.Duration {
	return maxMissedHeartbeats * d.settings().HeartbeatPeriod
}

func (l *leader) record(token int64) *election.Record {
	return &election.Record{Holder: l.d.settings().Name, Token: token}
}

// resign stops renewing the lease; other daemons can take it once it expires.
func (l *leader) resign() {
	l.d.peersMu.Lock()
	defer l.d.peersMu.Unlock()
	l.d.election.Resign()
}

// suspect has reports requested at once from the members of a group.
func (l *leader) suspect(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspects[key] = true
}

func (l *leader) run(ctx context.Context) {
	votes, stopVotes := timer.Every(votePeriod, 0.2)
	defer stopVotes()
	plans, stopPlans := timer.Every(planPeriod, 0)
	defer stopPlans()
	for {
		select {
		case <-ctx.Done():
			// Neither returns an error; failures are logged where they occur.
			_, _ = l.calls.Wait(), l.orders.Wait()
			return
		case <-votes:
			l.stepElection(ctx)
		case <-plans:
			l.plan(ctx)
		}
	}
}

// stepElection renews the lease or tries to take it.
func (l *leader) stepElection(ctx context.Context) {
	d := l.d
	// A daemon that has just started does not know its place in the order of candidates yet.
	if d.shuttingDown.Load() || time.Since(d.feed.started) < discoveryTime {
		return
	}
	if d.shouldLeaveLease() {
		d.peersMu.Lock()
		_, held := d.election.Holding(leaseClock())
		d.election.Resign()
		d.peersMu.Unlock()
		if held {
			d.log.Warn("lease left to a daemon with a path to the backend servers", "services", d.paths.lostServices())
		}
		return
	}
	place := 0
	for _, m := range d.livePeers(time.Now()) {
		if m.Ready && len(m.Unreachable) == 0 && gossip.Precedes(m.Cores, m.Name, d.settings().Cores, d.settings().Name) {
			place++
		}
	}
	d.peersMu.Lock()
	action := d.election.Step(leaseClock(), place)
	next, expected := d.election.Next()
	d.peersMu.Unlock()
	switch action {
	case election.ReadLease:
		l.calls.Go(func() error {
			l.readLease(ctx)
			return nil
		})
	case election.WriteLease:
		l.calls.Go(func() error {
			l.writeLease(ctx, next, expected)
			return nil
		})
	}
}

// shouldLeaveLease reports whether another daemon reaches the backend servers of a service with groups to which this one has no path.
func (d *Daemon) shouldLeaveLease() bool {
	c := d.config.Load()
	if c == nil {
		return false
	}
	for _, name := range d.paths.lostServices() {
		if s := c.Service(name); s != nil && s.Engine != nil && len(d.peersWithPath(name)) > 0 {
			return true
		}
	}
	return false
}

func (l *leader) readLease(ctx context.Context) {
	page, err := l.d.storeCall(ctx, "lease", storeTimeout, func(ctx context.Context) (platform.Page, error) {
		return l.d.store.Rows(ctx, tableLease)
	})
	l.d.peersMu.Lock()
	defer l.d.peersMu.Unlock()
	if err != nil {
		l.d.election.CallFailed()
		l.d.log.Warn("cannot read the lease", "error", err)
		return
	}
	r, position := l.decodeLease(page.Rows, page.Era)
	l.d.election.ReadSucceeded(leaseClock(), r, position)
}

// leaseKey returns the key of the lease row of an era.
func leaseKey(n int64) string {
	if n <= election.FirstEra {
		return "orders"
	}
	return "orders/" + strconv.FormatInt(n, 10)
}

// decodeLease returns the record and the position of the lease row of an era, without a version if there is none.
func (l *leader) decodeLease(rows []platform.Row, n int64) (election.Record, era.Position) {
	for _, row := range rows {
		if row.Key != leaseKey(n) || row.Version == 0 {
			continue
		}
		var r election.Record
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			l.d.log.Error("cannot decode the lease", "error", err)
			r = election.Record{}
		}
		return r, era.Position{Era: n, Version: row.Version}
	}
	return election.Record{}, era.Position{Era: n}
}

func (l *leader) writeLease(ctx context.Context, next election.Record, expected era.Position) {
	value, err := cbor.Marshal(next)
	if err != nil {
		l.d.log.Error("cannot encode the lease", "error", err)
		return
	}
	sent := leaseClock()
	row := platform.Row{Table: tableLease, Key: leaseKey(expected.Era), Value: value, Version: expected.Version}
	page, err := l.d.storeCall(ctx, "lease", storeTimeout, func(ctx context.Context) (platform.Page, error) {
		return l.d.store.Commit(ctx, platform.Tx{Check: []platform.Row{row}, Write: []platform.Row{row}})
	})
	l.d.peersMu.Lock()
	defer l.d.peersMu.Unlock()
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		taken := l.d.election.Holder() != l.d.settings().Name || expected.Version == 0
		l.d.election.WriteSucceeded(sent, next, expected.Era, page.Position())
		if l.d.election.Position() != page.Position() {
			l.d.log.Warn("lease was written in another era", "token", next.Token, "version", page.Version, "era", page.Era, "expected_era", expected.Era)
		} else if taken {
			l.d.log.Info("lease taken", "token", next.Token, "version", page.Version, "era", page.Era)
		}
	case errors.As(err, &conflict):
		l.d.election.CallFailed()
		r, position := l.decodeLease(conflict.Rows, expected.Era)
		if conflict.Era == expected.Era {
			l.d.election.Observe(leaseClock(), r, position)
		}
		l.d.log.Info("lease is another's", "holder", r.Holder, "token", r.Token, "version", position.Version, "expected", expected.Version, "era", conflict.Era, "expected_era", expected.Era)
	default:
		l.d.election.CallFailed()
		l.d.log.Warn("cannot write the lease", "error", err)
	}
}

// plan requests due reports, runs the planner of each service and sends the orders that they return.
func (l *leader) plan(ctx context.Context) {
	d := l.d
	d.peersMu.Lock()
	token, ok := d.election.Holding(leaseClock())
	d.peersMu.Unlock()
	c, v := d.config.Load(), d.view.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || c == nil || v.Read.IsZero() || d.evacuations.Load() == nil {
		clear(l.polls)
		clear(l.suspects)
		return
	}
	now := time.Now()
	if token != l.token {
		l.token = token
		clear(l.planners)
		clear(l.polls)
		l.askDepartures = now
	}
	l.learnDepartures(ctx, now)
	early := d.settings().FirstStart && !d.served.Load()
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		members := l.members(ctx, now, s.Name, v)
		pressure, urgent := d.dispatch.pressure(s)
		if t := replica.Summarize(members); !reflect.DeepEqual(t, l.tallies[s.Name]) {
			l.tallies[s.Name] = t
			d.log.Info("groups", "service", s.Name, "open", t.Open, "forming", t.Forming, "idle", t.Idle, "lost", t.Lost, "pressure", pressure, "urgent", urgent)
		}
		p := l.planners[s.Name]
		if p == nil {
			p = replica.New(s.Engine, token, now)
			l.planners[s.Name] = p
		}
		// Missing heartbeats mean something only while all of them are read, and only since then. Some stores show no heartbeats at
		// all, only that an entry lapses without them.
		silence, refusal, back := outageSilence, outageSilence, v.StoreRecovered
		if d.storeOK.Load() && !v.RenewalsHidden && now.Sub(v.HeartbeatSeen) <= d.heartbeatTimeout() {
			silence, refusal = lapseHeartbeats*d.settings().HeartbeatPeriod, d.heartbeatTimeout()
		}
		if v.RenewalsVisibleSince.After(back) {
			back = v.RenewalsVisibleSince
		}
		orders := p.Step(now, replica.Input{
			Pressure: pressure, UrgentModel: urgent,
			Servers: members, RenewalTimeout: silence, RefusedTimeout: refusal, HeartbeatsRead: v.HeartbeatsRead, EntriesCurrent: d.storeOK.Load(), StoreRecovered: back, Stall: d.settings().Stall, LoadRate: s.Engine.LoadRate, LoadWindow: d.settings().LoadWindow, StartingUp: early && len(pressure) == 0,
			DemandLag: d.demandLag(now), Evacuated: d.evacuated,
		})
		for _, o := range orders {
			if !l.orders.TryGo(func() error {
				l.sendOrder(ctx, p, o)
				return nil
			}) {
				p.OrderFailed(o.Server.ID)
			}
		}
	}
}

// learnDepartures asks other daemons for removed entries, until one has answered: servers whose entries were removed while this daemon did
// not read may still serve. l.mu is held.
func (l *leader) learnDepartures(ctx context.Context, now time.Time) {
	if l.askDepartures.IsZero() || now.Before(l.askDepartures) {
		return
	}
	l.askDepartures = now.Add(departuresPeriod)
	if !l.calls.TryGo(func() error {
		if l.d.feed.learnDepartures(ctx) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.askDepartures = time.Time{}
		}
		return nil
	}) {
		l.d.log.Warn("no call is free to ask other daemons for removed entries")
	}
}

// members combines the entries of a service's backend servers with their reports, and requests the reports that are due.
func (l *leader) members(ctx context.Context, now time.Time, service string, v *roster.View) []*replica.ServerStatus {
	var out []*replica.ServerStatus
	add := func(s *roster.Server, listed bool) {
		if s.Service != service {
			return
		}
		q := l.polls[s.ID]
		if q == nil || q.born != s.Born {
			q = &reportPoll{born: s.Born, next: now}
			l.polls[s.ID] = q
		}
		out = append(out, l.mergeReport(&replica.ServerStatus{Server: s, Listed: listed}, q))
		if doubt := s.Group != "" && l.suspects[roster.GroupKey(s.Group, s.Epoch)]; doubt && now.Sub(q.at) > fastReportPeriod {
			q.next = now
		}
		if listed || q.failures < maxReportFailures {
			l.requestReport(ctx, now, s, listed, q)
		}
	}
	for _, s := range v.Servers {
		add(s, true)
	}
	for _, s := range v.Departed {
		add(s, false)
	}
	clear(l.suspects)
	for id := range l.polls {
		if v.Servers[id] == nil && v.Departed[id] == nil {
			delete(l.polls, id)
		}
	}
	return out
}

// mergeReport adds the report of a backend server to a member made from its entry; the newer of the two decides.
func (l *leader) mergeReport(m *replica.ServerStatus, q *reportPoll) *replica.ServerStatus {
	m.Reported, m.Responding, m.Ended, m.Refused, m.Unreachable = q.reported, q.failures < maxReportFailures, q.ended, q.refused, q.relayed
	if !q.reported {
		return m
	}
	s := *m.Server
	// An entry that is read after a report may still be older than it. Only a later epoch shows that it is newer, unless the server has
	// left that group since.
	if s.Epoch <= max(q.report.Membership.Epoch, q.leftEpoch) || s.Group == "" {
		s.Staged, s.Model, s.Membership = q.report.Staged, q.report.Model, q.report.Membership
	}
	m.Server = &s
	m.Orders, m.Busy, m.Pace = q.report.Orders, q.report.Busy, q.report.Pace
	return m
}

// requestReport requests a report if it is due.
func (l *leader) requestReport(ctx context.Context, now time.Time, s *roster.Server, listed bool, q *reportPoll) {
	if q.asking || now.Before(q.next) {
		return
	}
	q.asking = true
	late := !listed || q.ended || q.refused || !q.silentSince.IsZero() && now.Sub(q.silentSince) >= soundSilence
	// The first time, other daemons are asked because they may reach the server.
	ask := q.failures == maxReportFailures-1 && (late || !q.asked)
	ok := l.calls.TryGo(func() error {
		r, relayed, lost, err := l.query(ctx, s, ask)
		l.mu.Lock()
		defer l.mu.Unlock()
		q.asking = false
		if err == nil {
			q.relayed = relayed
		}
		switch {
		case platform.Responded(err):
			q.silentSince, q.asked = time.Time{}, false
		case q.silentSince.IsZero():
			q.silentSince = now
		default:
			q.asked = q.asked || ask
		}
		lost = lost && (late || platform.Responded(err) || errors.Is(err, syscall.ECONNREFUSED) || !l.d.isListed(s))
		// If only some daemons reach a server, or others of its service, those that were asked may all be cut off from it. Then its
		// entry decides.
		lost = lost && (platform.Responded(err) || !l.d.isListed(s) || !l.partlyCutOff(s.Service))
		now := time.Now()
		if err == nil && r.Born != s.Born {
			// Another process has the address, so this one has ended.
			err = &ReplacedError{s.ID}
			q.failures = maxReportFailures - 1
			q.ended = true
		}
		// A backend server that leaves may stop listening before it has finished its requests.
		if errors.Is(err, syscall.ECONNREFUSED) && lost && listed && s.State == roster.Ready {
			q.refused = true
		}
		var pause *platform.PauseError
		if errors.As(err, &pause) {
			// The backend server is alive but asks for a pause in requests.
			q.failures, q.ended, q.refused, q.next = 0, false, false, now.Add(pause.Pause)
			return nil
		}
		if err != nil && q.failures == maxReportFailures-1 && !lost && l.d.isListed(s) {
			q.next = now.Add(fastReportPeriod)
			return nil
		}
		if err != nil {
			q.failures++
			q.next = now.Add(fastReportPeriod)
			if q.failures >= maxReportFailures {
				q.next = now.Add(reportPeriod)
			}
			if q.failures == maxReportFailures && ctx.Err() == nil {
				l.d.log.Warn("backend server does not answer", "id", s.ID, "group", s.Group, "error", err)
			}
			return nil
		}
		if q.failures >= maxReportFailures {
			l.d.log.Info("backend server answers again", "id", s.ID)
		}
		q.failures, q.ended, q.refused = 0, false, false
		q.next = now.Add(reportPeriod)
		if r.Membership != q.report.Membership {
			q.changed = now
		}
		switch busy := r.Busy || r.Membership.State == roster.Joining; {
		case !busy:
			q.busySince = time.Time{}
		case q.busySince.IsZero():
			q.busySince = now
		}
		// A member stays in the joined state until its head opens the group, and then for as long as the group serves.
		joined := r.Membership.State == roster.Joined && now.Sub(q.changed) < openWait
		switch {
		case joined || now.Before(q.fastReportsUntil):
			q.next = now.Add(fastReportPeriod)
		case !q.busySince.IsZero():
			q.next = now.Add(busyReportPeriod(now.Sub(q.busySince)))
		}
		q.report, q.reported, q.at = r, true, now
		l.d.recordCold(now, s, r)
		if r.Leaving {
			l.d.feed.markLeaving(roster.LeavingServer{ID: s.ID, Born: s.Born}, "")
		}
		return nil
	})
	if !ok {
		q.asking = false
	}
}

// partlyCutOff reports whether other daemons reach backend servers of a service that this one does not reach.
func (l *leader) partlyCutOff(service string) bool {
	for id, q := range l.polls {
		if q.relayed {
			if s := l.d.view.Load().Servers[id]; s != nil && s.Service == service && s.Born == q.born {
				return true
			}
		}
	}
	return false
}

// query queries the state of a backend server. If it is not reached, and askOthers is set or its address refuses connections, other
// daemons are asked. relayed is set if the report is theirs. lost is set if the server may be taken for lost: they do not reach it
// either, or there are none.
func (l *leader) query(ctx context.Context, s *roster.Server, askOthers bool) (r platform.Report, relayed, lost bool, err error) {
	type answer struct {
		probeResult
		asked int
	}
	ctx, cancel := context.WithCancel(ctx)
	var queries errgroup.Group
	defer func() {
		cancel()
		_ = queries.Wait() // they return no error
	}()
	var others chan answer
	ask := func() {
		others = make(chan answer, 1)
		queries.Go(func() error {
			t, asked := l.d.probeIndirectly(ctx, s, maxProbers)
			others <- answer{t, asked}
			return nil
		})
	}
	if askOthers {
		ask() // at the same time, so that a server that has ended is not found lost any later
	}
	r, err = call(ctx, reportTimeout, func(ctx context.Context) (platform.Report, error) {
		return l.d.servers.Report(ctx, s)
	})
	if err == nil || platform.Responded(err) {
		return r, false, true, err
	}
	l.d.paths.doubt(s.Service)
	if others == nil && errors.Is(err, syscall.ECONNREFUSED) {
		ask()
	}
	if others == nil {
		return r, false, false, err
	}
	a := <-others
	if a.Report != nil {
		return *a.Report, true, false, nil
	}
	return r, false, a.asked == 0 || a.Failed, err
}

// isListed reports whether the entry of a backend server has not lapsed.
func (d *Daemon) isListed(s *roster.Server) bool {
	o := d.view.Load().Servers[s.ID]
	return o != nil && o.Born == s.Born
}

// busyReportPeriod returns how often a backend server is asked for its report that has been executing an order for the
// given time. A load of weights takes many times as long as another order, and its end may be noticed later.
func busyReportPeriod(busy time.Duration) time.Duration {
	return min(max(busy/busyReportDivisor, fastReportPeriod), reportPeriod)
}

// demandLag returns how long it may take until this daemon learns of a request that another one has received: the other
// one reports it to the scheduler of the model, whose next digest carries the demand.
func (d *Daemon) demandLag(now time.Time) time.Duration {
	lag := time.Duration(0)
	for _, m := range d.livePeers(now) {
		lag = max(lag, m.Interval)
	}
	return lag + reportLag
}

// sendOrder sends an order to its backend server.
func (l *leader) sendOrder(ctx context.Context, p *replica.Planner, o replica.Order) {
	d := l.d
	d.peersMu.Lock()
	token, ok := d.election.Holding(leaseClock())
	d.peersMu.Unlock()
	if !ok || token != o.FencingToken {
		return
	}
	if o.Operation == platform.Leave || o.Operation == platform.CloseHead {
		// The group would reject requests that arrive during the order.
		d.dispatch.excludeClosed(roster.GroupKey(o.Group, o.Epoch), true)
	}
	out, err := call(ctx, orderTimeout, func(ctx context.Context) (platform.OrderOutcome, error) {
		return d.servers.SendOrder(ctx, o.Server, o.Order)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	args := []any{"id", o.Server.ID, "operation", o.Operation, "group", o.Group, "epoch", o.Epoch, "model", o.Model, "why", o.Reason, "fence", o.FencingToken}
	if q := l.polls[o.Server.ID]; q != nil {
		now := time.Now()
		// Ask for a report soon after the order; consecutive orders must not postpone it.
		if soon := now.Add(fastReportPeriod); soon.Before(q.next) {
			q.next = soon
		}
		q.fastReportsUntil = now.Add(effectWait)
		if err == nil && o.Operation == platform.Leave && (out == platform.Accepted || out == platform.AlreadyApplied) {
			q.leftEpoch = max(q.leftEpoch, o.Epoch)
		}
		switch {
		case err != nil:
		case out == platform.Accepted:
			q.report.Orders++
		case out == platform.Misdirected:
			// Another backend server has the address, so this one has ended.
			q.failures, q.ended = maxReportFailures, true
		}
	}
	if err != nil {
		// The order may still be carried out. The planner waits a while for its effect and then decides again.
		d.log.Warn("order without an answer", append(args, "error", err)...)
		return
	}
	d.log.Info("order", append(args, "outcome", out.String())...)
	switch out {
	case platform.Accepted, platform.AlreadyApplied:
	case platform.Fenced:
		p.OrderFailed(o.Server.ID)
		d.peersMu.Lock()
		d.election.Resign()
		d.peersMu.Unlock()
	default:
		p.OrderFailed(o.Server.ID)
	}
}
