// Package daemon assembles a daemon: it starts the subsystems and connects them.
//
// Each subsystem runs on goroutines of one errgroup and owns its own state. They communicate through bounded ring
// buffers and small interfaces:
//
//	callers         HTTP API for callers; requests slots from dispatch and records idempotency keys with claim
//	operators       HTTP API for operators
//	peers           the protocol between daemons; passes messages to config, loan and control
//	config          maintains the configuration by replicating revisions
//	control         leases, model groups and probes; determines which groups are present
//	loan            lends the slots of groups whose home is this daemon
//	dispatch        decides which request gets a slot; borrows slots from the homes of groups
//	pollGroups      load reports and cache events of the groups in use
//	syncDaemonRows  this daemon's row and the rows of the others in the table service
//	watchInstances  the platform's list of instances
//	snapshot        writes and reads the state that a newly started daemon needs while the table service is down
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

// Daemon is one daemon process with all its subsystems.
type Daemon struct {
	settings setting.Daemon
	log      hclog.Logger
	timeline *timeline.Log
	platform *platform.Client
	engine   *engine.Client
	identity *identity.Identity
	metrics  *metric.Set

	registry  *registry.Registry
	node      *peer.Node
	config    *config.Manager
	control   *control.Control
	loan      *loan.Lender
	dispatch  *dispatch.Dispatcher
	claims    *claim.Writer
	callers   *caller.Server
	suspects  *suspects
	selection *groupSelection

	// changes holds an element if groups or daemons have changed since the dispatcher was last updated.
	changes chan struct{}
	// targetsMu serializes updateTargets, so that an older set of targets cannot replace a newer one.
	targetsMu sync.Mutex

	// tableAnswered reports whether the table service has answered since the daemon started.
	tableAnswered atomic.Bool

	// homesMu guards homes, which caches the home of each group because the lender asks for all of them 8 times a second.
	homesMu sync.Mutex
	homes   member.HomeCache

	mu sync.Mutex
	// self is the entry under which other daemons know this one.
	self   registry.Entry
	roster platform.Roster
	cancel context.CancelFunc
}

// timelineSize is the number of events that a daemon retains: about 4 minutes at 100 requests/s with 5 events each, which
// takes 34 MB when full. The garbage collector lets the heap grow to twice its live size, so twice as many events would
// not fit into 128 MB.
const timelineSize = 1 << 17

// New returns a daemon and a function that releases its resources. The daemon listens for its peers immediately, and for
// callers and operators once Start is called.
func New(s setting.Daemon, log hclog.Logger) (*Daemon, func(), error) {
	id, err := identity.Load(s.Identity)
	if err != nil {
		return nil, nil, err
	}
	metrics, closeMetrics, err := metric.New()
	if err != nil {
		return nil, nil, err
	}
	p, closePlatform := platform.NewClient(s.Platform)
	e, closeEngine := engine.NewClient()
	boot := uint64(time.Now().UnixNano())
	d := &Daemon{
		settings: s, log: log, timeline: timeline.NewLog(s.Name, timelineSize), platform: p, engine: e, identity: id, metrics: metrics,
		self:      registry.Entry{Name: s.Name, PeerAddr: s.Peer, CallerAddr: s.Caller, OperatorAddr: s.Operator, DataCentre: s.DataCentre, Boot: boot},
		changes:   make(chan struct{}, 1),
		suspects:  newSuspects(),
		selection: newGroupSelection(),
	}
	d.registry = registry.New(d.self)
	var closeDispatch func()
	d.dispatch, closeDispatch = dispatch.New(dispatch.Options{Daemon: s.Name, DataCentre: s.DataCentre, SendDemands: d.forwardDemands})
	free := func() {
		closeDispatch()
		closePlatform()
		closeEngine()
		closeMetrics()
	}
	e.OnLoadReport(d.recordLoad)
	node, closeNode, err := peer.Listen(s.Peer, id, d.timeline.Clock(), log.Named("peer"), d)
	if err != nil {
		free()
		return nil, nil, err
	}
	d.node = node
	d.config = config.New(config.Deps{
		Table: p, Peers: node, LivePeers: d.otherPeers, HelloPeers: d.helloPeers, Hello: d.helloMessage, Apply: d.dispatch.Configure,
		Log: log.Named("config"), Timeline: d.timeline, Random: rand.New(rand.NewPCG(boot, 0)),
	})
	d.control = control.New(control.Options{
		Name: s.Name, Boot: uuid.NewString(), Platform: p, Engine: e, Daemons: d, Config: d.config.Config,
		Log: log.Named("control"), Timeline: d.timeline, UsesGroup: d.selection.uses, OnChange: func(control.Change) { d.notifyChange() },
		OnLost: d.notifyMemberLost,
	})
	d.loan = loan.New(loan.Deps{
		Self: s.Name, HomedGroups: d.homedGroups, Config: d.config.Config, Addr: d.peerAddr, Send: node.Send, Borrowers: d.dispatch,
		MissingMember: d.control.MissingMember, Misdirected: d.misdirected, Presence: d.control.Present, PresenceConfirmed: d.control.RecordProof, Timeline: d.timeline,
	})
	d.claims = claim.NewWriter(p, uuid.NewString)
	d.callers = caller.New(caller.Options{Config: d.config, Slots: caller.Slots{From: d.dispatch}, Addresses: d, Engine: e, Claims: d.claims, Log: d.timeline, Metrics: metrics, Self: s.Caller})
	if err := d.registerGauges(); err != nil {
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

// registerGauges registers the metrics whose values are read from the subsystems on each scrape.
func (d *Daemon) registerGauges() error {
	for _, g := range []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"config_revision", "{revision}", "Revision of the configuration in force", func() int64 { _, n := d.config.RevisionNumbers(); return int64(n) }},
		{"groups_present", "{group}", "Model groups that this daemon may use, by its own view", func() int64 { return int64(d.selection.present()) }},
		{"peer_bytes_sent", "By", "Payload sent to other daemons since the start", func() int64 { return int64(d.node.Stats().BytesOut) }},
		{"peer_bytes_received", "By", "Payload received from other daemons since the start", func() int64 { return int64(d.node.Stats().BytesIn) }},
		{"peer_messages_dropped", "{message}", "Messages to other daemons that could not be sent", func() int64 { return int64(d.node.Stats().Dropped) }},
		{"demands_dropped", "{message}", "Demands that found the ring of the lender full", func() int64 { return int64(d.loan.DroppedDemands()) }},
		{"foreign_chunks", "{chunk}", "Chunks of engines that belonged to another attempt", func() int64 { return int64(d.engine.MisroutedCount()) }},
		{"daemons_live", "{daemon}", "Daemons that this one takes to be alive", func() int64 { return int64(len(d.registry.Live(time.Now()))) }},
	} {
		if err := d.metrics.RegisterGauge(g.name, g.unit, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}

// Start runs the daemon until ctx is done, Stop is called or a subsystem fails. Start and Stop implement the server
// interface of a kratos application.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	set := func(f context.CancelFunc) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cancel = f
	}
	set(cancel)
	defer func() {
		set(nil) // After a subsystem has failed, Stop has nothing to wait for.
		cancel()
	}()
	d.timeline.Add(timeline.Event{Kind: timeline.ProcessStarted})
	g, ctx := errgroup.WithContext(ctx)
	// The filter replaces the router, whose own responses (redirects, 404) lack the headers of section 7.1.
	options := []http.ServerOption{http.Address(d.settings.Caller.String()), http.Timeout(0), http.Filter(func(stdhttp.Handler) stdhttp.Handler { return d.callers })}
	if d.settings.Certificate != "" {
		public, err := identity.Load(identity.Files{Certificate: d.settings.Certificate, Key: d.settings.Key})
		if err != nil {
			return err
		}
		options = append(options, http.TLSConfig(public.PublicServerConfig()))
		g.Go(func() error { return public.Watch(ctx, certificatePeriod, d.log.Named("tls")) })
	}
	callers := http.NewServer(options...)
	callers.ReadHeaderTimeout, callers.IdleTimeout = readHeaderTimeout, idleTimeout
	operators := http.NewServer(http.Address(d.settings.Operator.String()), http.Timeout(0), http.TLSConfig(d.identity.ServerConfig("h2", "http/1.1")))
	operators.HandlePrefix("/", operator.NewServer(d, d.metrics.Handler()))
	// Requests and claims are not cancelled with ctx, which would abort those in flight.
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
	for _, run := range []func(context.Context) error{
		d.config.Run, d.control.Run, d.loan.Run, d.syncDaemonRows, d.watchInstances, d.applyChanges, d.pollGroups, d.checkSuspects, d.runSnapshotWriter, d.restoreSnapshot,
		func(ctx context.Context) error {
			return d.identity.Watch(ctx, certificatePeriod, d.log.Named("identity"))
		},
	} {
		g.Go(func() error { return run(ctx) })
	}
	d.log.Info("daemon started", "name", d.settings.Name, "caller", d.settings.Caller, "operator", d.settings.Operator, "peer", d.settings.Peer)
	return g.Wait()
}

const (
	// readHeaderTimeout limits how long a caller may take to send its headers, idleTimeout how long a connection may stay
	// idle between requests.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// leavePropagation is the time that other daemons take to learn that this one is leaving.
	leavePropagation = 3 * time.Second
	// certificatePeriod is how often the certificate files are checked for changes.
	certificatePeriod = 10 * time.Second
)

// Stop shuts the daemon down gracefully and then makes Start return. The daemon accepts requests until no caller can
// still hold a valid list of addresses that contains it, and exits when no request is in flight. If ctx is done first,
// Stop returns its error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.mu.Lock()
	cancel := d.cancel
	d.mu.Unlock()
	if cancel == nil {
		return nil
	}
	defer cancel()
	d.log.Info("daemon is leaving", "hold", d.settings.AddressTTL)
	d.Drain()
	if err := d.callers.Hold(ctx, leavePropagation); err != nil {
		return err
	}
	return d.callers.Wait(ctx)
}

// Addresses returns the caller addresses that callers should use, and for how long the list is valid.
func (d *Daemon) Addresses() ([]netip.AddrPort, time.Duration) {
	near, far := []netip.AddrPort{d.settings.Caller}, []netip.AddrPort(nil)
	for _, name := range d.registry.Live(time.Now()) {
		e, ok := d.registry.Entry(name)
		switch {
		case !ok || name == d.settings.Name:
		case e.DataCentre == d.settings.DataCentre:
			near = append(near, e.CallerAddr)
		default:
			far = append(far, e.CallerAddr)
		}
	}
	return caller.Spread(near, far), d.settings.AddressTTL
}

const (
	// watchPeriod is the minimum time between two reads of the platform's list of instances. Each live daemon adds
	// watchPeriodPerDaemon to it: with 370 daemons the period is 1.1 s, so that a leaving instance is still seen well
	// within 3 s.
	watchPeriod          = 500 * time.Millisecond
	watchPeriodPerDaemon = 3 * time.Millisecond
)

// watchInstances polls the platform's list of instances. If a read fails, the last list stays in use.
func (d *Daemon) watchInstances(ctx context.Context) error {
	failing := false
	for {
		roster, err := d.platform.Roster(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			d.setRoster(roster)
			if failing {
				d.log.Info("platform is reachable again")
				d.timeline.Add(timeline.Event{Kind: timeline.StoreChanged, Reason: "answers again"})
			}
		case !failing:
			d.log.Warn("platform's list of instances cannot be read; the last one stays in use", "error", err)
			d.timeline.Add(timeline.Event{Kind: timeline.StoreChanged, Reason: "list of instances cannot be read"})
		}
		failing = err != nil
		d.updateTargets()
		if waitJittered(ctx, max(watchPeriod, time.Duration(len(d.Daemons()))*watchPeriodPerDaemon), 0.2) != nil {
			return nil
		}
	}
}

// setRoster stores the platform's list of instances and passes it on to the registry and to control.
func (d *Daemon) setRoster(r platform.Roster) {
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
	d.control.ApplyRoster(r)
}

// notifyChange makes applyChanges update the dispatcher and the lender after a change of groups or daemons. It never
// blocks.
func (d *Daemon) notifyChange() {
	select {
	case d.changes <- struct{}{}:
	default:
	}
}

// applyChanges updates the dispatcher and the lender as soon as notifyChange is called.
func (d *Daemon) applyChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes:
			d.updateTargets()
			d.loan.NotifyChanged()
		}
	}
}

// updateTargets tells the dispatcher which groups are present, which daemons lend their slots, and which plain backend
// servers are live.
func (d *Daemon) updateTargets() {
	d.targetsMu.Lock()
	defer d.targetsMu.Unlock()
	cfg, _ := d.config.Config()
	d.mu.Lock()
	roster := d.roster
	d.mu.Unlock()
	daemons := d.Daemons()
	groups := d.control.Groups()
	d.selection.choose(d.settings.Name, d.settings.DataCentre, groups)
	var targets []dispatch.Target
	homes := map[string][]string{}
	for _, g := range groups {
		if g.Phase != group.Serving || !g.Present || !d.selection.uses(g.Group) {
			continue
		}
		targets = append(targets, dispatch.Target{Service: g.Service, Group: g.Group, Generation: g.Generation, Addr: g.Addr, Instance: firstMember(g.Members), DataCentre: g.DataCentre, Slots: g.Slots})
		homes[g.Group] = member.RendezvousOrder(g.Group, daemons)
	}
	for _, i := range roster.Instances {
		if p, ok := cfg.PlainServices[i.Service]; ok && i.Kind == platform.KindPlain && i.State == platform.Live {
			targets = append(targets, dispatch.Target{Service: i.Service, Group: i.ID, Addr: i.Addr, Instance: i.ID, DataCentre: i.DataCentre, Slots: max(1, p.Slots/len(daemons)), FixedSlots: true})
		}
	}
	d.dispatch.SetTargets(targets, homes)
	for _, g := range groups {
		if g.Present && d.selection.uses(g.Group) {
			d.dispatch.ConfirmPresence(g.Group, g.Generation, g.ProvenAt)
		}
	}
}

// firstMember returns the ID of a group's member 0, or an empty string if the members are not known.
func firstMember(members []string) string {
	if len(members) == 0 {
		return ""
	}
	return members[0]
}

// homeOf returns the name of the daemon that is the home of a group.
func (d *Daemon) homeOf(group string, daemons []string) string {
	d.homesMu.Lock()
	defer d.homesMu.Unlock()
	d.homes.SetNodes(daemons)
	return d.homes.Home(group)
}

// homedGroups returns the groups whose home is this daemon.
func (d *Daemon) homedGroups() []loan.Group {
	groups := d.control.Groups()
	d.homesMu.Lock()
	defer d.homesMu.Unlock()
	d.homes.SetNodes(d.Daemons())
	var out []loan.Group
	for _, g := range groups {
		if g.Phase != group.Serving || d.homes.Home(g.Group) != d.settings.Name {
			continue
		}
		out = append(out, loan.Group{Service: g.Service, Group: share.Group{Name: g.Group, Generation: g.Generation, Slots: g.Slots, Present: g.Present}})
	}
	return out
}

// Daemons returns the names of the daemons that take on work: the live ones, without this one if it is leaving and there
// are others.
func (d *Daemon) Daemons() []string {
	live := d.registry.Live(time.Now())
	if d.selfEntry().Leaving && len(live) > 1 {
		live = slices.DeleteFunc(live, func(n string) bool { return n == d.settings.Name })
	}
	return live
}
