package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/lease"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

const (
	leaseTickPeriod = 100 * time.Millisecond
	planPeriod      = 250 * time.Millisecond
	// minPlanInterval is the minimum time between two planning rounds, since the answer to each probe triggers one.
	minPlanInterval = 20 * time.Millisecond
	// maxTableAge is how long a lease holder relies on the rows that it read, updated by its own writes, before it reads
	// them again.
	maxTableAge = 10 * time.Second
	// maxStepsPerRound bounds the transactions of one round, so that loss reports are read in between.
	maxStepsPerRound = 16
	// maxParallelOrders bounds the concurrent orders.
	maxParallelOrders = 64
)

// service runs the lease and the planner of one model service.
type service struct {
	c    *Control
	name string
	wake chan struct{}

	mu    sync.Mutex
	lease *lease.Lease
	// recordedToken is the last token whose acquisition was logged; only the lease loop uses it.
	recordedToken uint64
}

func newService(c *Control, name string) *service {
	return &service{c: c, name: name, wake: make(chan struct{}, 1), lease: lease.New(name, c.opts.Name+"#"+c.opts.Boot)}
}

// heldLease returns the lease; the result is false unless it is in force now.
func (s *service) heldLease() (lease.Held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Holding(time.Now())
}

// runLease acquires and renews the lease. When ctx is done it resigns, so that another daemon need not wait for the lease
// to expire.
func (s *service) runLease(ctx context.Context) error {
	tick, stop := timer.Every(leaseTickPeriod, 0.2)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return s.resign(context.WithoutCancel(ctx))
		case <-tick:
		}
		s.step(ctx, s.nextTick())
	}
}

func (s *service) nextTick() lease.Tick {
	order := member.RendezvousOrder("lease/"+s.name, s.c.opts.Daemons.Daemons())
	rank := slices.Index(order, s.c.opts.Name)
	if rank < 0 {
		rank = len(order)
	}
	return lease.Tick{Op: uuid.NewString(), Rank: rank, Jitter: rand.Float64()}
}

func (s *service) resign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	s.mu.Lock()
	out := s.lease.Resign(time.Now())
	s.mu.Unlock()
	s.recordLease(out)
	for range 3 {
		s.step(ctx, s.nextTick())
		s.mu.Lock()
		settled := s.lease.Released()
		s.mu.Unlock()
		if settled {
			break
		}
	}
	return nil
}

// step passes one message to the lease, carries out the reads and commits that it returns, and passes their results back
// until there are none.
func (s *service) step(ctx context.Context, m lease.Message) {
	for m != nil {
		s.mu.Lock()
		out := s.lease.Step(time.Now(), m)
		s.mu.Unlock()
		s.recordLease(out)
		m = nil
		for _, a := range out {
			switch a := a.(type) {
			case lease.Read:
				m = s.read(ctx, a)
			case lease.Commit:
				m = s.commit(ctx, a)
			}
		}
	}
}

func (s *service) recordLease(out []lease.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case lease.Held:
			if s.recordedToken != a.Token {
				s.recordedToken = a.Token
				s.c.opts.Timeline.Add(timeline.Event{Kind: timeline.LeaseAcquired, Service: s.name, Token: a.Token})
				s.c.opts.Log.Info("lease taken", "service", s.name, "token", a.Token)
				wake(s.wake)
			}
		case lease.Lost:
			s.c.opts.Timeline.Add(timeline.Event{Kind: timeline.LeaseEnded, Service: s.name, Token: a.Token, Reason: a.Reason})
			s.c.opts.Log.Info("lease lost", "service", s.name, "token", a.Token, "reason", a.Reason)
			wake(s.wake)
		}
	}
}

func (s *service) read(ctx context.Context, a lease.Read) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	r, err := s.c.opts.Platform.Read(ctx, a.Key)
	if err != nil {
		return lease.Unavailable{}
	}
	return lease.Row{Row: r}
}

func (s *service) commit(ctx context.Context, a lease.Commit) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	v, err := s.c.opts.Platform.Commit(ctx, a.Txn)
	var conflict *platform.ConflictError
	var down *platform.UnavailableError
	switch {
	case err == nil:
		return lease.Committed{Version: v}
	case errors.As(err, &conflict):
		return lease.Conflict{}
	case errors.As(err, &down):
		return lease.Unavailable{}
	}
	return lease.Unknown{}
}

// runPlanner runs planning rounds while the lease is held.
func (s *service) runPlanner(ctx context.Context) error {
	p := &planState{service: s, checkedReports: map[string]uint64{}, planner: group.Planner{Service: s.name, MaxLoads: s.c.opts.MaxLoads}}
	failures := 0
	for {
		wait := planPeriod
		if held, ok := s.heldLease(); ok {
			if err := p.runRound(ctx, held); err != nil && ctx.Err() == nil {
				failures++
				wait = backoff(failures)
				s.c.opts.Log.Warn("groups could not be planned", "service", s.name, "error", err)
			} else {
				failures = 0
			}
		} else {
			p.token = 0
			s.c.setPlannerProbes(s.name, nil)
			wait = maxTableAge
		}
		if timer.Wait(ctx, minPlanInterval) != nil {
			return nil
		}
		var woken <-chan struct{} = s.wake
		if failures > 0 {
			woken = nil
		}
		if s.c.waitOrWake(ctx, wait, woken) != nil {
			return nil
		}
	}
}

// planState is the state that the planner loop keeps between rounds.
type planState struct {
	*service
	planner group.Planner
	token   uint64
	table   group.Table
	readAt  time.Time
	// reports holds the reports on mismatched members by group. checkedReports holds the row versions of the reports on
	// missing members; each of those is verified once, by a probe.
	reports        map[string]group.Report
	checkedReports map[string]uint64
	// reportsReadAt is when the reports were last read.
	reportsReadAt time.Time
}

func (p *planState) runRound(ctx context.Context, held lease.Held) error {
	now := time.Now()
	if held.Token != p.token || now.Sub(p.readAt) > maxTableAge {
		if err := p.scan(ctx); err != nil {
			return err
		}
		if held.Token != p.token {
			// Current losses are in the homes' reports, which are read next.
			p.c.recheckInstances()
			p.reportsReadAt = time.Time{}
			clear(p.checkedReports)
		}
		p.token, p.readAt = held.Token, now
	}
	if now.Sub(p.reportsReadAt) >= 2*planPeriod*9/10 {
		if err := p.readReports(ctx); err != nil {
			return err
		}
		p.reportsReadAt = now
	}
	cfg, ok := p.c.opts.Config()
	if !ok {
		return nil
	}
	m, wanted := cfg.ModelServices[p.name]
	for range maxStepsPerRound {
		held, ok := p.heldLease()
		if !ok || held.Token != p.token {
			return nil
		}
		in := p.c.plannerInput(p.name, cfg, m, wanted, p.table, p.reports)
		in.Token, in.TokenVersion = held.Token, held.Version
		again, err := p.execute(ctx, p.planner.Step(time.Now(), in))
		if err != nil || !again {
			return err
		}
	}
	return nil
}

func (p *planState) scan(ctx context.Context) error {
	var all [][]platform.Row
	for _, prefix := range []string{group.PrefixGroup, group.PrefixInstance, group.PrefixCounter} {
		rows, err := p.c.scan(ctx, prefix)
		if err != nil {
			return err
		}
		all = append(all, rows)
	}
	t, err := group.Decode(all...)
	if err != nil {
		return err
	}
	p.table = t
	return nil
}

// readReports reads the loss reports of the homes and deletes those on groups that no longer exist.
func (p *planState) readReports(ctx context.Context) error {
	rows, err := p.c.scan(ctx, prefixLossReport+p.name+"/")
	if err != nil {
		return err
	}
	p.reports = map[string]group.Report{}
	for _, r := range rows {
		id := strings.TrimPrefix(r.Key, prefixLossReport)
		g, ok := p.table.Groups[id]
		if !ok {
			x, err := lossReportTxn(id, nil)
			if err != nil {
				return err
			}
			x.Checks = []platform.Check{{Key: r.Key, Version: r.Version}}
			if err := p.c.commit(ctx, x); err != nil {
				p.c.opts.Log.Debug("loss report of a released group could not be deleted", "group", id, "error", err)
			}
			continue
		}
		var rep group.Report
		if json.Unmarshal(r.Value, &rep) != nil || rep.Generation != g.Generation {
			continue
		}
		if !rep.Missing {
			p.reports[id] = rep
		} else if p.checkedReports[id] != r.Version {
			p.checkedReports[id] = r.Version
			p.c.ReportMissing(id, rep.Generation, rep.Instance)
		}
	}
	return nil
}

// execute carries out decisions. It returns whether a transaction took effect, in which case the planner runs again.
func (p *planState) execute(ctx context.Context, list []group.Decision) (again bool, err error) {
	g, octx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelOrders)
	defer func() { _ = g.Wait() }()
	for _, d := range list {
		if d.Kind == group.Order {
			g.Go(func() error {
				p.sendOrder(octx, d)
				return nil
			})
			continue
		}
		d.Txn.OperationID = uuid.NewString()
		v, err := p.c.opts.Platform.CommitWithRetry(ctx, d.Txn, func(ctx context.Context, n int) error {
			return timer.Wait(ctx, backoff(n+1))
		})
		if err != nil {
			// After a conflict the rows differ from those that were read, and after an unknown outcome they may differ.
			p.readAt = time.Time{}
			var conflict *platform.ConflictError
			if errors.As(err, &conflict) {
				p.c.opts.Log.Debug("decision dropped: its transaction conflicted", "kind", d.Kind, "group", d.Row.ID, "key", conflict.Key)
				return false, nil
			}
			return false, err
		}
		p.recordDecision(d)
		if err := p.table.Apply(d.Txn, v); err != nil {
			return false, err
		}
		p.c.applyWrittenRow(d.Row, d.Kind == group.Release)
		again = true
	}
	return again, nil
}

func (p *planState) recordDecision(d group.Decision) {
	e := timeline.Event{Group: d.Row.ID, Generation: d.Row.Generation, Members: d.Row.InstanceIDs(), Token: p.token}
	old, had := p.table.Groups[d.Row.ID]
	switch d.Kind {
	case group.Claim, group.Heal:
		if had {
			p.c.opts.Timeline.Add(timeline.Event{Kind: timeline.GroupReleased, Group: old.ID, Generation: old.Generation, Members: old.InstanceIDs(), Reason: d.Reason})
		}
		e.Kind = timeline.GroupFormed
		p.c.opts.Timeline.Add(e)
	case group.Release:
		e.Kind = timeline.GroupReleased
		e.Reason = d.Reason
		p.c.opts.Timeline.Add(e)
	}
	p.c.opts.Log.Info("group decided", "kind", d.Kind, "group", d.Row.ID, "generation", d.Row.Generation, "phase", d.Row.Phase, "reason", d.Reason)
}

func (p *planState) sendOrder(ctx context.Context, d group.Decision) {
	if held, ok := p.heldLease(); !ok || held.Token != d.Order.Fence {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.c.opts.Engine.Order(ctx, d.Member.Addr, d.Order); err != nil && ctx.Err() == nil {
		p.c.opts.Log.Warn("order failed", "instance", d.Member.ID, "op", d.Order.Op, "group", d.Row.ID, "error", err)
	}
	wake(p.c.wakeProbe)
}

// plannerInput builds the planner's input and sets which instances are probed for it.
func (c *Control) plannerInput(name string, cfg note.Config, m note.ModelService, wanted bool, t group.Table, reports map[string]group.Report) group.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := group.Input{Config: m, Wanted: wanted, Instances: slices.Clone(c.engines), Table: t, Reports: reports, States: map[string]group.ObservedState{}}
	instanceStates := map[string]member.State{}
	for _, x := range cfg.ModelServices {
		in.GroupSizes = append(in.GroupSizes, x.Instances)
	}
	for id, o := range c.states {
		if c.members.ListedState(id) == member.Gone {
			delete(c.states, id)
			continue
		}
		in.States[id] = o
	}
	idle := map[string]bool{}
	unsettled := group.InTransition(name, m, wanted, t) || len(reports) > 0
	var probed []group.Member
	for _, i := range c.engines {
		instanceStates[i.ID] = c.members.State(i.ID)
	}
	for id, r := range t.Groups {
		if r.Service != name {
			continue
		}
		allWork := true
		for _, x := range r.Members {
			allWork = allWork && instanceStates[x.ID].AcceptsRequests()
		}
		if !allWork || r.Phase != group.Serving || reports[id].Generation == r.Generation {
			unsettled = true
			probed = append(probed, r.Members...)
		}
		if tracked := c.rows[id]; tracked != nil && tracked.row.Generation == r.Generation {
			idle[id] = !tracked.idleAt.IsZero() && time.Since(tracked.idleAt) < group.MaxStateAge
		}
	}
	if unsettled {
		for _, i := range c.engines {
			if _, taken := t.Versions[group.PrefixInstance+i.ID]; !taken {
				probed = append(probed, group.Member{ID: i.ID, Addr: i.Addr})
			}
		}
	}
	if len(probed) > len(c.plannerProbes[name]) {
		wake(c.wakeProbe)
	}
	c.plannerProbes[name] = probed
	in.MemberState = func(id string) member.State { return instanceStates[id] }
	in.Idle = func(r group.Row) bool { return idle[r.ID] }
	return in
}

func (c *Control) setPlannerProbes(name string, list []group.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plannerProbes[name] = list
}

// lossReportTxn returns the transaction that writes the loss report on a group, or deletes it if rep is nil.
func lossReportTxn(id string, rep *group.Report) (platform.Txn, error) {
	w := platform.Write{Key: prefixLossReport + id, Delete: rep == nil}
	if rep != nil {
		b, err := json.Marshal(rep)
		if err != nil {
			return platform.Txn{}, err
		}
		w.Value = b
	}
	return platform.Txn{OperationID: uuid.NewString(), Writes: []platform.Write{w}}, nil
}
