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
	leaseTick = 100 * time.Millisecond
	planTick  = 250 * time.Millisecond
	// planLeast is the least time between two rounds, since each probe's answer starts one.
	planLeast = 20 * time.Millisecond
	// rescan is how long a holder relies on the rows that it read and on its own writes.
	rescan = 10 * time.Second
	// stepsMax bounds the transactions of one round, so that the reports of losses are read in between.
	stepsMax = 16
	// ordersMax bounds the orders under way.
	ordersMax = 64
)

// service is the lease duty and the planning duty of one model service.
type service struct {
	c    *Control
	name string
	kick chan struct{}

	mu    sync.Mutex
	state *lease.Lease
	// recorded is the last token whose start was recorded; only the lease duty uses it.
	recorded uint64
}

func newService(c *Control, name string) *service {
	return &service{c: c, name: name, kick: make(chan struct{}, 1), state: lease.New(name, c.o.Name+"#"+c.o.Boot)}
}

// holding returns the lease if it is in force now.
func (s *service) holding() (lease.Held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Holding(time.Now())
}

// lease keeps or waits for the lease. At the end it gives the lease up, so that another daemon need not wait for it to
// expire.
func (s *service) lease(ctx context.Context) error {
	tick, stop := timer.Every(leaseTick, 0.2)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return s.resign(context.WithoutCancel(ctx))
		case <-tick:
		}
		s.step(ctx, s.tick())
	}
}

func (s *service) tick() lease.Tick {
	order := member.RendezvousOrder("lease/"+s.name, s.c.o.Daemons.Daemons())
	rank := slices.Index(order, s.c.o.Name)
	if rank < 0 {
		rank = len(order)
	}
	return lease.Tick{Op: uuid.NewString(), Rank: rank, Jitter: rand.Float64()}
}

func (s *service) resign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	s.mu.Lock()
	out := s.state.Resign(time.Now())
	s.mu.Unlock()
	s.record(out)
	for range 3 {
		s.step(ctx, s.tick())
		s.mu.Lock()
		settled := s.state.Released()
		s.mu.Unlock()
		if settled {
			break
		}
	}
	return nil
}

// step drives the lease with one message and with the answers to what it asks for.
func (s *service) step(ctx context.Context, m lease.Message) {
	for m != nil {
		s.mu.Lock()
		out := s.state.Step(time.Now(), m)
		s.mu.Unlock()
		s.record(out)
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

func (s *service) record(out []lease.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case lease.Held:
			if s.recorded != a.Token {
				s.recorded = a.Token
				s.c.o.Timeline.Add(timeline.Event{Kind: timeline.Lease, Service: s.name, Token: a.Token})
				s.c.o.Log.Info("lease taken", "service", s.name, "token", a.Token)
				kick(s.kick)
			}
		case lease.Lost:
			s.c.o.Timeline.Add(timeline.Event{Kind: timeline.Yield, Service: s.name, Token: a.Token, Reason: a.Reason})
			s.c.o.Log.Info("lease lost", "service", s.name, "token", a.Token, "reason", a.Reason)
			kick(s.kick)
		}
	}
}

func (s *service) read(ctx context.Context, a lease.Read) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	r, err := s.c.o.Platform.Read(ctx, a.Key)
	if err != nil {
		return lease.Unavailable{}
	}
	return lease.Row{Row: r}
}

func (s *service) commit(ctx context.Context, a lease.Commit) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	v, err := s.c.o.Platform.Commit(ctx, a.Txn)
	var conflict *platform.Conflict
	var down *platform.Unavailable
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

// plan runs the planner while the lease is held.
func (s *service) plan(ctx context.Context) error {
	p := &planning{service: s, seen: map[string]uint64{}, planner: group.Planner{Service: s.name, MaxLoads: s.c.o.Loads}}
	fails := 0
	for {
		wait := planTick
		if held, ok := s.holding(); ok {
			if err := p.round(ctx, held); err != nil && ctx.Err() == nil {
				fails++
				wait = backoff(fails)
				s.c.o.Log.Warn("groups could not be planned", "service", s.name, "error", err)
			} else {
				fails = 0
			}
		} else {
			p.token = 0
			s.c.setInterest(s.name, nil)
			wait = rescan
		}
		if timer.Wait(ctx, planLeast) != nil {
			return nil
		}
		var kicked <-chan struct{} = s.kick
		if fails > 0 {
			kicked = nil
		}
		if s.c.pause(ctx, wait, kicked) != nil {
			return nil
		}
	}
}

// planning is what the plan duty keeps between rounds.
type planning struct {
	*service
	planner group.Planner
	token   uint64
	table   group.Table
	read    time.Time
	// reports holds those on members in another state, and seen the versions of those on missing members, which are
	// checked by a probe once each.
	reports map[string]group.Report
	seen    map[string]uint64
	// lost is when the reports were read.
	lost time.Time
}

func (p *planning) round(ctx context.Context, held lease.Held) error {
	now := time.Now()
	if held.Token != p.token || now.Sub(p.read) > rescan {
		if err := p.scan(ctx); err != nil {
			return err
		}
		if held.Token != p.token {
			// What is lost now is in the homes' reports, which are read next.
			p.c.recheck()
			p.lost = time.Time{}
			clear(p.seen)
		}
		p.token, p.read = held.Token, now
	}
	if now.Sub(p.lost) >= 2*planTick*9/10 {
		if err := p.readReports(ctx); err != nil {
			return err
		}
		p.lost = now
	}
	cfg, ok := p.c.o.Config()
	if !ok {
		return nil
	}
	m, wanted := cfg.Models[p.name]
	for range stepsMax {
		held, ok := p.holding()
		if !ok || held.Token != p.token {
			return nil
		}
		in := p.c.input(p.name, cfg, m, wanted, p.table, p.reports)
		in.Token, in.TokenVersion = held.Token, held.Version
		again, err := p.run(ctx, p.planner.Step(time.Now(), in))
		if err != nil || !again {
			return err
		}
	}
	return nil
}

func (p *planning) scan(ctx context.Context) error {
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

// readReports reads what homes have reported, and deletes reports on groups that are gone.
func (p *planning) readReports(ctx context.Context) error {
	rows, err := p.c.scan(ctx, prefixLost+p.name+"/")
	if err != nil {
		return err
	}
	p.reports = map[string]group.Report{}
	for _, r := range rows {
		id := strings.TrimPrefix(r.Key, prefixLost)
		g, ok := p.table.Groups[id]
		if !ok {
			x, err := lostTxn(id, nil)
			if err != nil {
				return err
			}
			x.Checks = []platform.Check{{Key: r.Key, Version: r.Version}}
			if err := p.c.commit(ctx, x); err != nil {
				p.c.o.Log.Debug("report could not be deleted", "group", id, "error", err)
			}
			continue
		}
		var rep group.Report
		if json.Unmarshal(r.Value, &rep) != nil || rep.Generation != g.Generation {
			continue
		}
		if !rep.Missing {
			p.reports[id] = rep
		} else if p.seen[id] != r.Version {
			p.seen[id] = r.Version
			p.c.Report(id, rep.Generation, rep.Instance)
		}
	}
	return nil
}

// run carries out decisions. It returns whether a transaction took effect, after which there may be more to decide.
func (p *planning) run(ctx context.Context, list []group.Decision) (again bool, err error) {
	g, octx := errgroup.WithContext(ctx)
	g.SetLimit(ordersMax)
	defer func() { _ = g.Wait() }()
	for _, d := range list {
		if d.Kind == group.Order {
			g.Go(func() error {
				p.order(octx, d)
				return nil
			})
			continue
		}
		d.Txn.Op = uuid.NewString()
		v, err := p.c.o.Platform.CommitSure(ctx, d.Txn, func(ctx context.Context, n int) error {
			return timer.Wait(ctx, backoff(n+1))
		})
		if err != nil {
			// After a conflict the rows are not as they were read, and after an unknown outcome they may not be.
			p.read = time.Time{}
			var conflict *platform.Conflict
			if errors.As(err, &conflict) {
				p.c.o.Log.Debug("decision conflicted", "kind", d.Kind, "group", d.Row.ID, "key", conflict.Key)
				return false, nil
			}
			return false, err
		}
		p.record(d)
		if err := p.table.Apply(d.Txn, v); err != nil {
			return false, err
		}
		p.c.adoptOne(d.Row, d.Kind == group.Release)
		again = true
	}
	return again, nil
}

func (p *planning) record(d group.Decision) {
	e := timeline.Event{Group: d.Row.ID, Generation: d.Row.Generation, Members: d.Row.InstanceIDs(), Token: p.token}
	old, had := p.table.Groups[d.Row.ID]
	switch d.Kind {
	case group.Claim, group.Heal:
		if had {
			p.c.o.Timeline.Add(timeline.Event{Kind: timeline.Free, Group: old.ID, Generation: old.Generation, Members: old.InstanceIDs(), Reason: d.Reason})
		}
		e.Kind = timeline.Form
		p.c.o.Timeline.Add(e)
	case group.Release:
		e.Kind = timeline.Free
		e.Reason = d.Reason
		p.c.o.Timeline.Add(e)
	}
	p.c.o.Log.Info("group decided", "kind", d.Kind, "group", d.Row.ID, "generation", d.Row.Generation, "phase", d.Row.Phase, "reason", d.Reason)
}

func (p *planning) order(ctx context.Context, d group.Decision) {
	if held, ok := p.holding(); !ok || held.Token != d.Order.Fence {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.c.o.Engine.Order(ctx, d.Member.Addr, d.Order); err != nil && ctx.Err() == nil {
		p.c.o.Log.Warn("order failed", "instance", d.Member.ID, "op", d.Order.Op, "group", d.Row.ID, "error", err)
	}
	kick(p.c.kickProbe)
}

// input gathers what the planner needs and sets which instances are probed for it.
func (c *Control) input(name string, cfg note.Config, m note.ModelService, wanted bool, t group.Table, reports map[string]group.Report) group.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := group.Input{Config: m, Wanted: wanted, Instances: slices.Clone(c.engines), Table: t, Reports: reports, States: map[string]group.ObservedState{}}
	views := map[string]member.State{}
	for _, x := range cfg.Models {
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
	var interest []group.Member
	for _, i := range c.engines {
		views[i.ID] = c.members.State(i.ID)
	}
	for id, r := range t.Groups {
		if r.Service != name {
			continue
		}
		whole := true
		for _, x := range r.Members {
			whole = whole && views[x.ID].AcceptsRequests()
		}
		if !whole || r.Phase != group.Serving || reports[id].Generation == r.Generation {
			unsettled = true
			interest = append(interest, r.Members...)
		}
		if k := c.rows[id]; k != nil && k.row.Generation == r.Generation {
			idle[id] = !k.idle.IsZero() && time.Since(k.idle) < group.MaxStateAge
		}
	}
	if unsettled {
		for _, i := range c.engines {
			if _, taken := t.Versions[group.PrefixInstance+i.ID]; !taken {
				interest = append(interest, group.Member{ID: i.ID, Addr: i.Addr})
			}
		}
	}
	if len(interest) > len(c.interest[name]) {
		kick(c.kickProbe)
	}
	c.interest[name] = interest
	in.MemberState = func(id string) member.State { return views[id] }
	in.Idle = func(r group.Row) bool { return idle[r.ID] }
	return in
}

func (c *Control) setInterest(name string, list []group.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interest[name] = list
}

// lostTxn writes or deletes the report on a group.
func lostTxn(id string, rep *group.Report) (platform.Txn, error) {
	w := platform.Write{Key: prefixLost + id, Delete: rep == nil}
	if rep != nil {
		b, err := json.Marshal(rep)
		if err != nil {
			return platform.Txn{}, err
		}
		w.Value = b
	}
	return platform.Txn{Op: uuid.NewString(), Writes: []platform.Write{w}}, nil
}
