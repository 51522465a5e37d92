// Package daemon composes a daemon: it starts the duties and joins them.
//
// Each duty runs on goroutines of one group and owns its own state; they are joined by bounded rings and by small
// interfaces:
//
//	callers    HTTP towards callers; asks dispatch for slots and claims for idempotency keys
//	operators  HTTP towards operators
//	peers      the protocol between daemons; hands messages to config, loan and control
//	config     keeps the configuration by revisions
//	control    leases, model groups, probes; tells which groups are present
//	loan       lends the slots of groups whose home this daemon is
//	dispatch   decides which request gets a slot; borrows from homes
//	observe    load reports and cache events of the groups in use
//	register   this daemon's row in the table and the others'
//	watch      the platform's list of instances
//	snapshot   writes and reads what a fresh daemon needs while the table service is down
package daemon

import (
	"context"
	"math/rand/v2"
	stdhttp "net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/control"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/loan"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timeline"
)

// Daemon is one daemon.
type Daemon struct {
	set      setting.Daemon
	log      hclog.Logger
	line     *timeline.Log
	platform *platform.Client
	engine   *engine.Client
	identity *identity.Identity
	metrics  *metric.Set

	registry *registry.Registry
	node     *peer.Node
	config   *config.Keeper
	control  *control.Control
	loan     *loan.Lender
	dispatch *dispatch.Dispatcher
	claims   *claim.Writer
	callers  *caller.Server
	suspects *suspects
	views    *views

	// changes holds a token when groups or daemons have changed since the dispatcher was told.
	changes chan struct{}
	// targeting keeps an older set of targets from replacing a newer one.
	targeting sync.Mutex

	// answered is whether the table service has answered since the start.
	answered atomic.Bool

	// homing guards homes.
	homing sync.Mutex
	homes  member.HomeCache

	mu sync.Mutex
	// self is how other daemons know this one.
	self   registry.Entry
	roster platform.Roster
	cancel context.CancelFunc
}

// timelineSize is how many events a daemon keeps: some 4 minutes at 100 requests/s and 5 events each, in 34 MB when full.
// The garbage collector lets the heap grow to twice its live part, so twice as many events would not fit into 128 MB.
const timelineSize = 1 << 17

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
		set: s, log: log, line: timeline.NewLog(s.Name, timelineSize), platform: p, engine: e, identity: id, metrics: metrics,
		self:     registry.Entry{Name: s.Name, PeerAddr: s.Peer, CallerAddr: s.Caller, OperatorAddr: s.Operator, DataCentre: s.DataCentre, Boot: boot},
		changes:  make(chan struct{}, 1),
		suspects: newSuspects(),
		views:    newViews(),
	}
	d.registry = registry.New(d.self)
	var closeDispatch func()
	d.dispatch, closeDispatch = dispatch.New(dispatch.Options{Daemon: s.Name, DataCentre: s.DataCentre, SendDemands: d.report})
	free := func() {
		closeDispatch()
		closePlatform()
		closeEngine()
		closeMetrics()
	}
	e.OnLoad(d.loaded)
	node, closeNode, err := peer.Listen(s.Peer, id, d.line.Clock(), log.Named("peer"), d)
	if err != nil {
		free()
		return nil, nil, err
	}
	d.node = node
	d.config = config.New(config.Deps{
		Table: p, Peers: node, Others: d.others, Partners: d.partners, Hello: d.hello, Apply: d.dispatch.Configure,
		Log: log.Named("config"), Line: d.line, Random: rand.New(rand.NewPCG(boot, 0)),
	})
	d.control = control.New(control.Options{
		Name: s.Name, Boot: uuid.NewString(), Platform: p, Engine: e, Daemons: d, Config: d.config.Config,
		Log: log.Named("control"), Timeline: d.line, Uses: d.views.uses, Changed: func(control.Change) { d.changed() },
		Lost: d.lost,
	})
	d.loan = loan.New(loan.Deps{
		Self: s.Name, HomedGroups: d.homed, Config: d.config.Config, Addr: d.peerAddr, Send: node.Send, Borrowers: d.dispatch,
		MissingMember: d.control.Missing, Misdirected: d.misdirected, Presence: d.control.Present, PresenceConfirmed: d.control.Proven, Timeline: d.line,
	})
	d.claims = claim.NewWriter(p, uuid.NewString)
	d.callers = caller.New(caller.Options{Config: d.config, Slots: caller.Slots{From: d.dispatch}, Addresses: d, Engine: e, Claims: d.claims, Log: d.line, Metrics: metrics, Self: s.Caller})
	if err := d.gauges(); err != nil {
		d.callers.Close()
		closeNode()
		free()
		return nil, nil, err
	}
	return d, func() {
		d.callers.Close()
		closeNode()
		free()
	}, nil
}

// gauges declares the metrics that are read from the duties when they are asked for.
func (d *Daemon) gauges() error {
	for _, g := range []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"config_revision", "{revision}", "Revision of the configuration in force", func() int64 { _, n := d.config.Numbers(); return int64(n) }},
		{"groups_present", "{group}", "Model groups that this daemon may use, by its own view", func() int64 { return int64(d.views.present()) }},
		{"peer_bytes_sent", "By", "Payload sent to other daemons since the start", func() int64 { return int64(d.node.Stats().BytesOut) }},
		{"peer_bytes_received", "By", "Payload received from other daemons since the start", func() int64 { return int64(d.node.Stats().BytesIn) }},
		{"peer_messages_dropped", "{message}", "Messages to other daemons that could not be sent", func() int64 { return int64(d.node.Stats().Dropped) }},
		{"demands_dropped", "{message}", "Demands that found the ring of the lender full", func() int64 { return int64(d.loan.DroppedDemands()) }},
		{"foreign_chunks", "{chunk}", "Chunks of engines that belonged to another attempt", func() int64 { return int64(d.engine.Foreign()) }},
		{"daemons_live", "{daemon}", "Daemons that this one takes to be alive", func() int64 { return int64(len(d.registry.Live(time.Now()))) }},
	} {
		if err := d.metrics.Gauge(g.name, g.unit, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
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
		public, err := identity.Load(identity.Files{Certificate: d.set.Certificate, Key: d.set.Key})
		if err != nil {
			return err
		}
		options = append(options, http.TLSConfig(public.Public()))
		g.Go(func() error { return public.Watch(ctx, certificatePeriod, d.log.Named("tls")) })
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
	for _, duty := range []func(context.Context) error{
		d.config.Run, d.control.Run, d.loan.Run, d.register, d.watch, d.follow, d.observe, d.checkSuspects, d.keepSnapshot, d.restore,
		func(ctx context.Context) error {
			return d.identity.Watch(ctx, certificatePeriod, d.log.Named("identity"))
		},
	} {
		g.Go(func() error { return duty(ctx) })
	}
	d.log.Info("daemon started", "name", d.set.Name, "caller", d.set.Caller, "operator", d.set.Operator, "peer", d.set.Peer)
	return g.Wait()
}

const (
	// headerLimit bounds the time in which a caller sends its headers, idleLimit that between its requests.
	headerLimit = 5 * time.Second
	idleLimit   = 2 * time.Minute
	// leaveSpread is the time that other daemons take to see that this one is leaving.
	leaveSpread = 3 * time.Second
	// certificatePeriod is how often the certificate's files are looked at.
	certificatePeriod = 10 * time.Second
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
	d.log.Info("daemon is leaving", "hold", d.set.AddressTTL)
	d.Drain()
	if err := d.callers.Hold(ctx, leaveSpread); err != nil {
		return err
	}
	return d.callers.Wait(ctx)
}

// Addresses returns the caller addresses to use and for how long the answer holds.
func (d *Daemon) Addresses() ([]netip.AddrPort, time.Duration) {
	near, far := []netip.AddrPort{d.set.Caller}, []netip.AddrPort(nil)
	for _, name := range d.registry.Live(time.Now()) {
		e, ok := d.registry.Entry(name)
		switch {
		case !ok || name == d.set.Name:
		case e.DataCentre == d.set.DataCentre:
			near = append(near, e.CallerAddr)
		default:
			far = append(far, e.CallerAddr)
		}
	}
	return caller.Spread(near, far), d.set.AddressTTL
}

const (
	// watchPeriod is the least time between two reads of the platform's list, and watchShare what each live daemon adds
	// to it: with 370 daemons 1.1 s, so that a leaving instance is still seen well within 3 s.
	watchPeriod = 500 * time.Millisecond
	watchShare  = 3 * time.Millisecond
)

// watch keeps the view of the platform's list up to date. A list that cannot be read stays as it was.
func (d *Daemon) watch(ctx context.Context) error {
	failing := false
	for {
		roster, err := d.platform.Roster(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			d.take(roster)
			if failing {
				d.log.Info("platform answers again")
				d.line.Add(timeline.Event{Kind: timeline.Store, Reason: "answers again"})
			}
		case !failing:
			d.log.Warn("platform's list of instances cannot be read; the last one stays in use", "error", err)
			d.line.Add(timeline.Event{Kind: timeline.Store, Reason: "list of instances cannot be read"})
		}
		failing = err != nil
		d.retarget()
		if wait(ctx, max(watchPeriod, time.Duration(len(d.Daemons()))*watchShare), 0.2) != nil {
			return nil
		}
	}
}

func (d *Daemon) take(r platform.Roster) {
	d.mu.Lock()
	d.roster = r
	d.mu.Unlock()
	var daemons []string
	for _, i := range r.Instances {
		if i.Kind == platform.KindDaemon {
			daemons = append(daemons, i.ID)
		}
	}
	d.registry.ApplyList(time.Now(), daemons)
	d.control.List(r)
}

// changed makes follow tell the dispatcher and the lender about changes of groups or daemons.
func (d *Daemon) changed() {
	select {
	case d.changes <- struct{}{}:
	default:
	}
}

// follow passes changes on at once.
func (d *Daemon) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes:
			d.retarget()
			d.loan.NotifyChanged()
		}
	}
}

// retarget tells the dispatcher which groups are present, who lends their slots, and which plain backend servers are
// live.
func (d *Daemon) retarget() {
	d.targeting.Lock()
	defer d.targeting.Unlock()
	cfg, _ := d.config.Config()
	d.mu.Lock()
	roster := d.roster
	d.mu.Unlock()
	daemons := d.Daemons()
	groups := d.control.Groups()
	d.views.choose(d.set.Name, d.set.DataCentre, groups)
	var targets []dispatch.Target
	homes := map[string][]string{}
	for _, g := range groups {
		if g.Phase != group.Serving || !g.Present || !d.views.uses(g.Group) {
			continue
		}
		targets = append(targets, dispatch.Target{Service: g.Service, Group: g.Group, Generation: g.Generation, Addr: g.Addr, Instance: first(g.Members), DataCentre: g.DataCentre, Slots: g.Slots})
		homes[g.Group] = member.RendezvousOrder(g.Group, daemons)
	}
	for _, i := range roster.Instances {
		if p, ok := cfg.Plains[i.Service]; ok && i.Kind == platform.KindPlain && i.State == platform.Live {
			targets = append(targets, dispatch.Target{Service: i.Service, Group: i.ID, Addr: i.Addr, Instance: i.ID, DataCentre: i.DataCentre, Slots: max(1, p.Slots/len(daemons)), FixedSlots: true})
		}
	}
	d.dispatch.SetTargets(targets, homes)
	for _, g := range groups {
		if g.Present && d.views.uses(g.Group) {
			d.dispatch.ConfirmPresence(g.Group, g.Generation, g.Proof)
		}
	}
}

// first returns the id of a group's member 0; empty when the members are not known.
func first(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return members[0]
}

// home returns the home of a group. The lender asks for those of all groups 8 times a second.
func (d *Daemon) home(group string, daemons []string) string {
	d.homing.Lock()
	defer d.homing.Unlock()
	d.homes.SetNodes(daemons)
	return d.homes.Home(group)
}

// homed returns the groups whose home this daemon is.
func (d *Daemon) homed() []loan.Group {
	groups := d.control.Groups()
	d.homing.Lock()
	defer d.homing.Unlock()
	d.homes.SetNodes(d.Daemons())
	var out []loan.Group
	for _, g := range groups {
		if g.Phase != group.Serving || d.homes.Home(g.Group) != d.set.Name {
			continue
		}
		out = append(out, loan.Group{Service: g.Service, Group: share.Group{Name: g.Group, Generation: g.Generation, Slots: g.Slots, Present: g.Present}})
	}
	return out
}

// Daemons returns the names of the daemons that take duties: the live ones, and this one unless it is leaving and there
// are others.
func (d *Daemon) Daemons() []string {
	live := d.registry.Live(time.Now())
	if d.entry().Leaving && len(live) > 1 {
		live = slices.DeleteFunc(live, func(n string) bool { return n == d.set.Name })
	}
	return live
}
