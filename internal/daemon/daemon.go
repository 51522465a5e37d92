// Package daemon composes a daemon: it starts the duties and joins them.
//
// Duties of this version: watch (reads the configuration, the list of instances and the groups from the platform),
// form (forms groups by transactional claims) and the two HTTP servers. Each runs on a goroutine of one group; Run
// returns when all have stopped.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	stdhttp "net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// Daemon is one daemon.
type Daemon struct {
	set      setting.Daemon
	log      hclog.Logger
	line     *timeline.Log
	platform *platform.Client
	engine   *engine.Client
	dispatch *dispatch.Dispatcher
	identity *identity.Identity
	node     *peer.Node
	registry *registry.Registry
	keeper   *config.Keeper
	metrics  *metric.Set
	// self is how other daemons know this one.
	self    registry.Entry
	claims  *claim.Keeper
	callers *caller.Server

	mu     sync.Mutex
	roster platform.Roster
	cancel context.CancelFunc
}

// timelineSize is how many events a daemon keeps: about ten minutes at 100 requests/s.
const timelineSize = 1 << 18

// New returns a daemon and a function that frees what it holds. The daemon listens for its peers from now on and for
// callers and operators from Start on.
func New(s setting.Daemon, log hclog.Logger) (*Daemon, func(), error) {
	id, err := identity.Load(s.Identity)
	if err != nil {
		return nil, nil, err
	}
	metrics, closeMetrics, err := metric.New()
	if err != nil {
		return nil, nil, err
	}
	p, closePlatform := platform.Dial(s.Platform)
	e, closeEngine := engine.NewClient()
	boot := uint64(time.Now().UnixNano())
	d := &Daemon{
		set: s, log: log, line: timeline.NewLog(s.Name, timelineSize), platform: p, engine: e, dispatch: dispatch.New(), identity: id, metrics: metrics,
		self: registry.Entry{Name: s.Name, Peer: s.Peer, Caller: s.Caller, DataCentre: s.DataCentre, Boot: boot},
	}
	d.registry = registry.New(d.self)
	d.claims = claim.NewKeeper(p, uuid.NewString)
	free := func() {
		closePlatform()
		closeEngine()
		closeMetrics()
	}
	node, closeNode, err := peer.Listen(s.Peer, id, d.line.Clock(), log.Named("peer"), d)
	if err != nil {
		free()
		return nil, nil, err
	}
	d.node = node
	d.keeper = config.New(config.Deps{
		Table: p, Peers: node, Others: d.others, Hello: d.hello, Apply: func(note.Config) {},
		Log: log.Named("config"), Line: d.line, Random: rand.New(rand.NewPCG(boot, 0)),
	})
	d.callers = caller.New(caller.Options{Config: d.keeper, Slots: caller.Slots{From: d.dispatch}, Addresses: d, Engine: e, Claims: d.claims, Log: d.line, Self: s.Caller})
	return d, func() {
		d.callers.Close()
		closeNode()
		free()
	}, nil
}

// Start serves until ctx ends, Stop is called or a duty fails. With Stop it makes the daemon a server of a kratos
// application.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	set := func(f context.CancelFunc) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cancel = f
	}
	set(cancel)
	defer func() {
		set(nil) // Stop has nothing to wait for when a duty has failed.
		cancel()
	}()
	d.line.Add(timeline.Event{Kind: timeline.Begin})
	g, ctx := errgroup.WithContext(ctx)
	// The filter takes the place of the router, whose own answers (redirects, 404) lack the headers of section 7.1.
	options := []http.ServerOption{http.Address(d.set.Caller.String()), http.Timeout(0), http.Filter(func(stdhttp.Handler) stdhttp.Handler { return d.callers })}
	if d.set.Certificate != "" {
		cert, err := caller.LoadCertificate(d.set.Certificate, d.set.Key)
		if err != nil {
			return err
		}
		options = append(options, http.TLSConfig(cert.Config()))
		g.Go(func() error { return cert.Watch(ctx, d.log) })
	}
	callers := http.NewServer(options...)
	callers.ReadHeaderTimeout, callers.IdleTimeout = headerLimit, idleLimit
	operators := http.NewServer(http.Address(d.set.Operator.String()), http.Timeout(0), http.TLSConfig(d.identity.Server("h2", "http/1.1")))
	operators.HandlePrefix("/", operator.New(d, d.metrics.Handler()))
	// Requests and claims do not inherit the end of ctx, which would cut off those in flight.
	serving, served := context.WithCancel(context.WithoutCancel(ctx))
	defer served()
	g.Go(func() error { return d.claims.Run(serving) })
	for _, s := range []*http.Server{callers, operators} {
		g.Go(func() error { return s.Start(context.WithoutCancel(ctx)) })
		g.Go(func() error {
			<-ctx.Done()
			if s == callers {
				defer served()
			}
			return s.Stop(context.WithoutCancel(ctx))
		})
	}
	g.Go(func() error { return d.keeper.Run(ctx) })
	g.Go(func() error { return d.register(ctx) })
	g.Go(func() error { return d.identity.Watch(ctx, certificatePeriod, d.log.Named("identity")) })
	g.Go(func() error { return d.watch(ctx) })
	g.Go(func() error { return d.form(ctx) })
	d.log.Info("daemon started", "name", d.set.Name, "caller", d.set.Caller, "operator", d.set.Operator, "peer", d.set.Peer)
	return g.Wait()
}

const (
	// headerLimit bounds the time in which a caller sends its headers, idleLimit that between its requests.
	headerLimit = 5 * time.Second
	idleLimit   = 2 * time.Minute
	// leaveSpread is the time that other daemons take to see that this one is leaving.
	leaveSpread = 3 * time.Second
)

// Stop leaves and then makes Start return: the daemon accepts requests until no caller can know it from a valid list of
// addresses, and ends when none is in flight. When ctx ends first, Stop returns its error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.mu.Lock()
	cancel := d.cancel
	d.mu.Unlock()
	if cancel == nil {
		return nil
	}
	defer cancel()
	d.log.Info("daemon is leaving", "hold", d.set.Hold)
	d.Drain()
	if err := d.callers.Hold(ctx, leaveSpread); err != nil {
		return err
	}
	return d.callers.Wait(ctx)
}

// certificatePeriod is how often the certificate's files are looked at.
const certificatePeriod = 10 * time.Second

// Addresses returns the caller addresses to use and for how long the answer holds.
func (d *Daemon) Addresses() ([]netip.AddrPort, time.Duration) {
	near, far := []netip.AddrPort{d.set.Caller}, []netip.AddrPort(nil)
	for _, name := range d.registry.Live(time.Now()) {
		e, ok := d.registry.Entry(name)
		switch {
		case !ok || name == d.set.Name:
		case e.DataCentre == d.set.DataCentre:
			near = append(near, e.Caller)
		default:
			far = append(far, e.Caller)
		}
	}
	return caller.Spread(near, far), d.set.Hold
}

const watchPeriod = 500 * time.Millisecond

// watch keeps the view of the platform up to date. What cannot be read stays as it was.
func (d *Daemon) watch(ctx context.Context) error {
	tick, stop := timer.Every(watchPeriod, 0.2)
	defer stop()
	for {
		if err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("platform could not be read", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

func (d *Daemon) refresh(ctx context.Context) error {
	roster, err := d.platform.Roster(ctx)
	if err != nil {
		return err
	}
	rows, err := d.platform.Scan(ctx, prefixGroup)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.roster = roster
	d.mu.Unlock()
	cfg, _ := d.keeper.Config()
	var targets []dispatch.Target
	for _, r := range rows {
		var g groupRow
		if err := json.Unmarshal(r.Value, &g); err != nil {
			return fmt.Errorf("decode %s: %w", r.Key, err)
		}
		if st, err := d.engine.State(ctx, g.Members[0]); err != nil || !st.Loaded || st.Generation != g.Generation {
			continue
		}
		targets = append(targets, dispatch.Target{Service: g.Service, Group: g.ID, Generation: g.Generation, Addr: g.Members[0], DataCentre: g.DataCentre, Slots: cfg.Models[g.Service].Slots})
	}
	for _, i := range roster.Instances {
		if p, ok := cfg.Plains[i.Service]; ok && i.Kind == platform.KindPlain && i.State == platform.Live {
			targets = append(targets, dispatch.Target{Service: i.Service, Group: i.ID, Addr: i.Addr, DataCentre: i.DataCentre, Slots: p.Slots})
		}
	}
	d.dispatch.SetTargets(targets)
	return nil
}

const (
	prefixGroup    = "group/"
	prefixInstance = "instance/"
)

// groupRow is a model group as the table keeps it.
type groupRow struct {
	ID         string           `json:"id"`
	Service    string           `json:"service"`
	Generation uint64           `json:"generation"`
	DataCentre string           `json:"data_centre"`
	Domain     string           `json:"domain"`
	Members    []netip.AddrPort `json:"members"`
}

// form forms missing groups from unclaimed instances of one fabric domain.
func (d *Daemon) form(ctx context.Context) error {
	tick, stop := timer.Every(2*watchPeriod, 0.5)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
		if err := d.formOnce(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("groups could not be formed", "error", err)
		}
	}
}

func (d *Daemon) formOnce(ctx context.Context) error {
	cfg, ok := d.keeper.Config()
	if !ok {
		return nil
	}
	groups, err := d.platform.Scan(ctx, prefixGroup)
	if err != nil {
		return err
	}
	claimed, err := d.platform.Scan(ctx, prefixInstance)
	if err != nil {
		return err
	}
	d.mu.Lock()
	roster := d.roster
	d.mu.Unlock()
	free := map[string][]platform.Instance{}
	for _, i := range roster.Instances {
		taken := slices.ContainsFunc(claimed, func(r platform.Row) bool { return r.Key == prefixInstance+i.ID })
		if i.Kind == platform.KindEngine && i.State == platform.Live && !taken {
			free[i.Domain] = append(free[i.Domain], i)
		}
	}
	for name, m := range cfg.Models {
		have := 0
		for _, r := range groups {
			if strings.HasPrefix(r.Key, prefixGroup+name+"/") {
				have++
			}
		}
		for domain, list := range free {
			for have < m.Copies && len(list) >= m.Instances {
				if err := d.claimGroup(ctx, name, m, list[:m.Instances]); err != nil {
					var c *platform.Conflict
					if errors.As(err, &c) {
						return nil // Another daemon claimed one of them; the next round sees it.
					}
					return err
				}
				list = list[m.Instances:]
				have++
			}
			free[domain] = list
		}
	}
	return nil
}

func (d *Daemon) claimGroup(ctx context.Context, service string, m note.ModelService, members []platform.Instance) error {
	g := groupRow{ID: service + "/" + members[0].ID, Service: service, Generation: 1, DataCentre: members[0].DataCentre, Domain: members[0].Domain}
	t := platform.Txn{Op: uuid.NewString(), Checks: []platform.Check{{Key: prefixGroup + g.ID}}}
	for _, i := range members {
		g.Members = append(g.Members, i.Addr)
		t.Checks = append(t.Checks, platform.Check{Key: prefixInstance + i.ID})
		t.Writes = append(t.Writes, platform.Write{Key: prefixInstance + i.ID, Value: []byte(g.ID)})
	}
	body, err := json.Marshal(g)
	if err != nil {
		return fmt.Errorf("encode group %s: %w", g.ID, err)
	}
	t.Writes = append(t.Writes, platform.Write{Key: prefixGroup + g.ID, Value: body})
	if _, err := d.platform.Commit(ctx, t); err != nil {
		return err
	}
	for i, a := range g.Members {
		o := engine.Order{Op: engine.OpLoad, Fence: 1, Group: g.ID, Generation: g.Generation, Index: i, Members: g.Members, Model: m.Model, Version: m.Version}
		if err := d.engine.Order(ctx, a, o); err != nil {
			return err
		}
	}
	d.log.Info("group formed", "group", g.ID, "members", len(g.Members))
	return nil
}
