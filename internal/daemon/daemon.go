// Package daemon composes a daemon: it starts the duties and joins them.
//
// Duties of this version: watch (reads the configuration and the list of instances from the platform), control (package
// control: forms and heals groups and knows which are present), follow (passes changes of groups to the dispatcher) and
// the two HTTP servers. Each runs on a goroutine of one group; Start returns when all have stopped.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/control"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// Daemon is one daemon.
type Daemon struct {
	set      setting.Daemon
	log      hclog.Logger
	platform *platform.Client
	engine   *engine.Client
	dispatch *dispatch.Dispatcher
	control  *control.Control
	timeline *timeline.Log
	// changes holds a token when groups have changed since the dispatcher was told.
	changes chan struct{}
	// targeting keeps an older set of targets from replacing a newer one.
	targeting sync.Mutex

	mu  sync.Mutex
	cfg note.Config
	// accepted is whether a configuration has been received.
	accepted bool
	roster   platform.Roster
	cancel   context.CancelFunc
}

// timelineSize is how many events a daemon keeps.
const timelineSize = 1 << 15

// New returns a daemon and a function that frees its connections.
func New(s setting.Daemon, log hclog.Logger) (*Daemon, func()) {
	p, closePlatform := platform.Dial(s.Platform)
	e, closeEngine := engine.NewClient()
	d := &Daemon{
		set: s, log: log, platform: p, engine: e, dispatch: dispatch.New(),
		timeline: timeline.NewLog(s.Name, timelineSize), changes: make(chan struct{}, 1),
	}
	d.control = control.New(control.Options{
		Name: s.Name, Boot: uuid.NewString(), Platform: p, Engine: e, Daemons: d, Config: d.Config, Log: log.Named("control"), Timeline: d.timeline,
		Changed: func(control.Change) {
			select {
			case d.changes <- struct{}{}:
			default:
			}
		},
	})
	return d, func() {
		closePlatform()
		closeEngine()
	}
}

// Start serves until ctx ends, Stop is called or a duty fails. With Stop it makes the daemon a server of a kratos
// application.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.cancel = cancel
	d.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	callers := http.NewServer(http.Address(d.set.Caller.String()), http.Timeout(0))
	callers.HandlePrefix("/", caller.New(d, d.dispatch, d, d.engine))
	operators := http.NewServer(http.Address(d.set.Operator.String()), http.Timeout(0))
	operators.HandlePrefix("/", operator.New(d))
	for _, s := range []*http.Server{callers, operators} {
		g.Go(func() error { return s.Start(ctx) })
		g.Go(func() error {
			<-ctx.Done()
			return s.Stop(context.WithoutCancel(ctx))
		})
	}
	g.Go(func() error { return d.watch(ctx) })
	g.Go(func() error { return d.control.Run(ctx) })
	g.Go(func() error { return d.follow(ctx) })
	d.log.Info("daemon started", "name", d.set.Name, "caller", d.set.Caller, "operator", d.set.Operator)
	return g.Wait()
}

// Stop makes Start return once the requests in flight have ended.
func (d *Daemon) Stop(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		d.cancel()
	}
	return nil
}

// Config returns the configuration in force and whether there is one.
func (d *Daemon) Config() (note.Config, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg, d.accepted
}

// Addresses returns the caller addresses to use and for how long the answer holds.
func (d *Daemon) Addresses() ([]netip.AddrPort, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []netip.AddrPort{d.set.Caller}
	for _, i := range d.roster.Instances {
		if i.Kind == platform.KindDaemon && i.State == platform.Live && i.Addr != d.set.Caller {
			list = append(list, i.Addr)
		}
	}
	return list, d.set.Hold
}

// Rows of the table that belong to the configuration.
const (
	keyHead    = "config/head"
	prefixNote = "config/"
)

// Apply accepts a release note in one transaction and returns the new revision.
func (d *Daemon) Apply(ctx context.Context, text []byte) (uint64, error) {
	n, err := note.Parse("note", text)
	if err != nil {
		return 0, err
	}
	head, err := d.platform.Read(ctx, keyHead)
	if err != nil {
		return 0, err
	}
	var cur note.Config
	if head.Version > 0 {
		if err := json.Unmarshal(head.Value, &cur); err != nil {
			return 0, fmt.Errorf("decode %s: %w", keyHead, err)
		}
	}
	next, err := cur.Apply(n)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode revision %d: %w", next.Revision, err)
	}
	_, err = d.platform.Commit(ctx, platform.Txn{
		Op:     uuid.NewString(),
		Checks: []platform.Check{{Key: keyHead, Version: head.Version}},
		Writes: []platform.Write{{Key: keyHead, Value: body}, {Key: fmt.Sprintf("%s%012d", prefixNote, next.Revision), Value: text}},
	})
	if err != nil {
		return 0, err
	}
	d.log.Info("release note accepted", "revision", next.Revision, "about", n.About)
	return next.Revision, nil
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
	head, err := d.platform.Read(ctx, keyHead)
	if err != nil {
		return err
	}
	if head.Version > 0 {
		var c note.Config
		if err := json.Unmarshal(head.Value, &c); err != nil {
			return fmt.Errorf("decode %s: %w", keyHead, err)
		}
		d.mu.Lock()
		if c.Revision > d.cfg.Revision {
			d.cfg, d.accepted = c, true
			d.log.Info("configuration in force", "revision", c.Revision)
		}
		d.mu.Unlock()
	}
	roster, err := d.platform.Roster(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.roster = roster
	d.mu.Unlock()
	d.control.List(roster)
	d.retarget()
	return nil
}

// follow passes changes of groups on to the dispatcher at once.
func (d *Daemon) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes:
			d.retarget()
		}
	}
}

// retarget tells the dispatcher which groups are present and which plain backend servers are live.
func (d *Daemon) retarget() {
	d.targeting.Lock()
	defer d.targeting.Unlock()
	d.mu.Lock()
	cfg, roster := d.cfg, d.roster
	d.mu.Unlock()
	var targets []dispatch.Target
	for _, g := range d.control.Groups() {
		if g.Present {
			targets = append(targets, dispatch.Target{Service: g.Service, Group: g.Group, Generation: g.Generation, Addr: g.Addr, DataCentre: g.DataCentre, Slots: g.Slots})
		}
	}
	for _, i := range roster.Instances {
		if p, ok := cfg.Plains[i.Service]; ok && i.Kind == platform.KindPlain && i.State == platform.Live {
			targets = append(targets, dispatch.Target{Service: i.Service, Group: i.ID, Addr: i.Addr, DataCentre: i.DataCentre, Slots: p.Slots})
		}
	}
	d.dispatch.SetTargets(targets)
}

// Daemons returns the names of the live daemons by the platform's list, and this one.
func (d *Daemon) Daemons() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{d.set.Name}
	for _, i := range d.roster.Instances {
		if i.Kind == platform.KindDaemon && i.State == platform.Live && i.ID != d.set.Name {
			list = append(list, i.ID)
		}
	}
	return list
}
