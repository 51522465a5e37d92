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
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/timer"
)

// Daemon is one daemon.
type Daemon struct {
	set      setting.Daemon
	log      hclog.Logger
	platform *platform.Client
	engine   *engine.Client
	dispatch *dispatch.Dispatcher

	mu  sync.Mutex
	cfg note.Config
	// accepted is whether a configuration has been received.
	accepted bool
	roster   platform.Roster
	cancel   context.CancelFunc
}

// New returns a daemon and a function that frees its connections.
func New(s setting.Daemon, log hclog.Logger) (*Daemon, func()) {
	p, closePlatform := platform.Dial(s.Platform)
	e, closeEngine := engine.NewClient()
	// Groups have a fixed local cap until the daemon is wired to grants.
	slots, closeSlots := dispatch.New(dispatch.Options{Daemon: s.Name, DataCentre: s.DataCentre, Local: true})
	d := &Daemon{set: s, log: log, platform: p, engine: e, dispatch: slots}
	return d, func() {
		closeSlots()
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
	g.Go(func() error { return d.form(ctx) })
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
			d.dispatch.Configure(c)
			d.log.Info("configuration in force", "revision", c.Revision)
		}
		d.mu.Unlock()
	}
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
	cfg := d.cfg
	d.mu.Unlock()
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
			targets = append(targets, dispatch.Target{Service: i.Service, Group: i.ID, Addr: i.Addr, DataCentre: i.DataCentre, Slots: p.Slots, Fixed: true})
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
	cfg, ok := d.Config()
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
