package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/audit"
	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/lease"
	"flamingorudder.example/internal/memnet"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// spec is what a fleet is made of.
type spec struct {
	daemons int
	// domains holds the number of engines of each fabric domain.
	domains           []int
	copies, instances int
	fencing           bool
	// load is how long an engine loads, lag how old the platform's list is.
	load, lag time.Duration
	// period is the time between two requests of a daemon to a group.
	period time.Duration
	// apart is whether each daemon takes itself for the only one.
	apart bool
}

// fleet is the control and configuration parts of several daemons, with their real clients and timers, over stand-ins
// on a network in memory, in one synctest bubble. Each daemon sends requests to every group that is present in its view.
type fleet struct {
	t        *testing.T
	spec     spec
	net      memnet.Network
	platform *standin.Platform
	engines  map[string]*standin.Engine
	all      []platform.Instance
	daemons  []*daemon
	servers  errgroup.Group
	stops    []func()

	mu sync.Mutex
	// cut holds the daemons that other daemons do not reach.
	cut     map[string]bool
	answers int
}

// daemon is the parts of one daemon that the fleet runs.
type daemon struct {
	*Control
	f      *fleet
	name   string
	peer   netip.AddrPort
	config *config.Manager
	line   *timeline.Log
	engine *engine.Client
	// table and orders are its connections to the platform and to engines.
	table, orders *gate
	run           func(ctx context.Context) error
	stop          context.CancelFunc
	wait          errgroup.Group
}

// story runs a test on a fleet and checks the promises at its end.
func story(t *testing.T, s spec, do func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, s)
		defer f.close()
		do(f)
		if !t.Failed() {
			f.audit()
		}
	})
}

func newFleet(t *testing.T, s spec) *fleet {
	f := &fleet{t: t, spec: s, platform: standin.NewPlatform(s.lag), engines: map[string]*standin.Engine{}, cut: map[string]bool{}}
	table := f.serve(f.platform, f.platform.Control())
	for d, n := range s.domains {
		for k := range n {
			id := fmt.Sprintf("d%d-%d", d, k)
			e, stop := standin.NewEngine(standin.EngineSpec{ID: id, Slots: 64, First: 300 * time.Millisecond, Token: 100 * time.Millisecond, Load: s.load, Fencing: s.fencing, Dial: f.net.Dial})
			f.stops = append(f.stops, stop)
			f.engines[id] = e
			f.all = append(f.all, platform.Instance{ID: id, Addr: f.serve(e, e.Control()), Kind: platform.KindEngine, DataCentre: "c", Domain: fmt.Sprintf("d%d", d), Accelerators: 8, State: platform.Live})
		}
	}
	f.platform.Add(f.all...)
	for k := range s.daemons {
		f.daemons = append(f.daemons, &daemon{f: f, name: string(rune('x' + k)), peer: f.net.Addr()})
	}
	for k, d := range f.daemons {
		d.table, d.orders = &gate{}, &gate{}
		p, closePlatform := platform.DialWith(table, d.table.dial(f.net.Dial))
		e, closeEngine := engine.NewClientWith(d.orders.dial(f.net.Dial))
		d.engine, d.line = e, timeline.NewLog(d.name, 1<<16)
		d.config = config.New(config.Deps{
			Table: p, Peers: d, LivePeers: d.others, HelloPeers: d.others, Hello: func() peer.Hello { return peer.Hello{Boot: 1} }, Apply: func(note.Config) {},
			Log: hclog.NewNullLogger(), Timeline: d.line, Random: rand.New(rand.NewPCG(uint64(k), 1)),
		})
		d.Control = New(Options{Name: d.name, Boot: "1", Platform: p, Engine: e, Daemons: d, Config: d.config.Config, Log: hclog.NewNullLogger(), Timeline: d.line, Lost: d.lost})
		d.run = func(ctx context.Context) error {
			defer closePlatform()
			defer closeEngine()
			var g errgroup.Group
			g.Go(func() error { return d.Run(ctx) })
			g.Go(func() error { return d.config.Run(ctx) })
			g.Go(func() error { return d.watchList(ctx, p) })
			g.Go(func() error { return d.request(ctx) })
			return g.Wait()
		}
	}
	for _, d := range f.daemons {
		d.line.Add(timeline.Event{Kind: timeline.Begin})
		var ctx context.Context
		ctx, d.stop = context.WithCancel(context.Background())
		d.wait.Go(func() error { return d.run(ctx) })
	}
	f.note(f.daemons[0], fmt.Sprintf("[added model-service s]\nmodel = m\nversion = 1\ncopies = %d\ninstances = %d\nslots = 64\n", s.copies, s.instances))
	return f
}

// serve serves a stand-in on the network.
func (f *fleet) serve(h http.Handler, c *standin.Control) netip.AddrPort {
	a := f.net.Addr()
	p, err := standin.NewPort(func() (net.Listener, error) { return f.net.Listen(a) })
	if err != nil {
		f.t.Fatal(err)
	}
	c.Attach(p)
	s := &http.Server{Handler: h}
	f.servers.Go(func() error {
		if err := s.Serve(p); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	f.stops = append(f.stops, func() { _ = s.Close() })
	return a
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.stop()
		d.table.set(false, "")
		d.orders.set(false, "")
	}
	f.platform.SetFaults(standin.PlatformFaults{})
	for _, d := range f.daemons {
		if err := d.wait.Wait(); err != nil {
			f.t.Error(err)
		}
	}
	for _, d := range f.daemons {
		d.table.shut()
		d.orders.shut()
	}
	for _, e := range f.engines {
		_ = e.Control().Set(standin.Faults{})
	}
	for _, stop := range slices.Backward(f.stops) {
		stop()
	}
	f.net.Close()
	// A server does not wait for its handlers, which may be in the delay of a slow stand-in.
	_ = timer.Wait(context.Background(), 2*time.Second)
	if err := f.servers.Wait(); err != nil {
		f.t.Error(err)
	}
}

// Daemons returns the daemons that this one takes to be alive: those that it reaches.
func (d *daemon) Daemons() []string {
	f := d.f
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []string{d.name}
	for _, o := range f.daemons {
		if o != d && !f.spec.apart && !f.cut[d.name] && !f.cut[o.name] {
			out = append(out, o.name)
		}
	}
	slices.Sort(out)
	return out
}

func (d *daemon) others() []netip.AddrPort {
	var out []netip.AddrPort
	for _, o := range d.f.daemons {
		if o != d {
			out = append(out, o.peer)
		}
	}
	return out
}

// reach returns the daemon at an address unless it or this one is cut off.
func (d *daemon) reach(to netip.AddrPort) *daemon {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	for _, o := range d.f.daemons {
		if o.peer == to && !d.f.cut[o.name] && !d.f.cut[d.name] {
			return o
		}
	}
	return nil
}

// Send and Ask are the protocol between daemons.
func (d *daemon) Send(to netip.AddrPort, m peer.Message) {
	if o := d.reach(to); o != nil {
		o.config.Receive(peer.Sender{Name: d.name, Addr: d.peer}, m)
	}
}

func (d *daemon) Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error) {
	if o := d.reach(to); o != nil {
		if m, ok := m.(*peer.PullRevision); ok {
			return o.config.HandlePull(m), nil
		}
	}
	return nil, context.DeadlineExceeded
}

// lost tells the daemons that may hold the lease, as package daemon does.
func (d *daemon) lost(v View, instance string) {
	for _, o := range d.f.daemons {
		if o != d && slices.Contains(LeaseOrder(v.Service, d.Daemons()), o.name) && d.reach(o.peer) != nil {
			d.wait.Go(func() error {
				o.Report(v.Group, v.Generation, instance)
				return nil
			})
		}
	}
}

// watchList reads the platform's list as package daemon does.
func (d *daemon) watchList(ctx context.Context, p *platform.Client) error {
	tick, stop := timer.Every(500*time.Millisecond, 0.2)
	defer stop()
	for {
		if r, err := p.Roster(ctx); err == nil {
			d.List(r)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// request sends a request to each group that is present, once a period. A request runs for 800 ms: longer than member 0
// takes to notice that a member is silent (600 ms), because the stand-in goes on without the member until then, and a real
// group cannot.
func (d *daemon) request(ctx context.Context) error {
	tick, stop := timer.Every(d.f.spec.period, 0.2)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(256)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-tick:
		}
		for _, v := range d.Groups() {
			if !v.Present {
				continue
			}
			a := engine.Attempt{ID: fmt.Sprintf("%s%d%s.1", d.name, n, v.Group), Group: v.Group, Generation: v.Generation, Chat: engine.Chat{MaxTokens: 6}}
			g.TryGo(func() error {
				ctx, cancel := context.WithTimeout(gctx, 5*time.Second)
				defer cancel()
				s, err := d.engine.Send(ctx, v.Addr, a)
				if err != nil {
					return nil
				}
				defer s.Close()
				for err == nil {
					_, err = s.Next()
				}
				if errors.Is(err, io.EOF) {
					d.f.mu.Lock()
					d.f.answers++
					d.f.mu.Unlock()
				}
				return nil
			})
		}
	}
}

// gate is the way of a daemon's connections to the network. It can hold back what the daemon sends, as when the process
// is paused with a message handed to the network, or when the network delays it. Messages held back arrive at the end,
// also those whose senders have given up.
type gate struct {
	mu     sync.Mutex
	held   bool
	prefix []byte
	conns  map[*heldConn]bool
	late   errgroup.Group
}

type heldConn struct {
	net.Conn
	g *gate
	// pending holds what is to be sent; closed is whether the daemon has closed the connection. The gate's lock guards
	// them.
	pending [][]byte
	closed  bool
}

func (g *gate) dial(dial engine.Dial) engine.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.conns == nil {
			g.conns = map[*heldConn]bool{}
		}
		h := &heldConn{Conn: c, g: g}
		g.conns[h] = true
		return h, nil
	}
}

// set starts or ends holding back requests that begin with prefix.
func (g *gate) set(held bool, prefix string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held, g.prefix = held, []byte(prefix)
	if held {
		return
	}
	for c := range g.conns {
		if pending := c.pending; pending != nil {
			c.pending = nil
			g.late.Go(func() error {
				for _, b := range pending {
					if _, err := c.Conn.Write(b); err != nil {
						break
					}
				}
				// The answer is not wanted any more, but the other side must get to read the request.
				if c.gone() {
					_ = timer.Wait(context.Background(), time.Second)
					_ = c.Conn.Close()
				}
				return nil
			})
		}
	}
}

// shut waits for what was held back and closes all connections.
func (g *gate) shut() {
	_ = g.late.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Conn.Close()
	}
}

func (c *heldConn) gone() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.closed
}

func (c *heldConn) Write(b []byte) (int, error) {
	c.g.mu.Lock()
	if c.pending != nil || (c.g.held && bytes.HasPrefix(b, c.g.prefix)) {
		c.pending = append(c.pending, bytes.Clone(b))
		c.g.mu.Unlock()
		return len(b), nil
	}
	c.g.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *heldConn) Close() error {
	c.g.mu.Lock()
	c.closed = true
	if c.pending != nil {
		c.g.mu.Unlock()
		return nil
	}
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// note makes a release note, without its head, the configuration through a daemon.
func (f *fleet) note(d *daemon, items string) {
	f.t.Helper()
	var err error
	for range 10 {
		var c note.Config
		if c, _, err = d.config.Head(f.t.Context()); err == nil {
			if _, err = d.config.Accept(f.t.Context(), "op", fmt.Appendf(nil, "[note]\nbase = %d\nabout = test\n\n%s", c.Revision, items)); err == nil {
				return
			}
		}
		f.sleep(100 * time.Millisecond)
	}
	f.t.Fatal(err)
}

func (f *fleet) sleep(d time.Duration) { _ = timer.Wait(f.t.Context(), d) }

// until waits for a condition and returns how long that took. It fails the test after limit.
func (f *fleet) until(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	step := 10 * time.Millisecond
	if limit <= 2*time.Second {
		step = time.Millisecond // A detection is timed.
	}
	for !ok() {
		if time.Since(start) > limit {
			for _, d := range f.daemons {
				f.t.Logf("%s: %+v", d.name, d.Groups())
			}
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		f.sleep(step)
	}
	return time.Since(start)
}

// throughout checks a condition for a time.
func (f *fleet) throughout(d time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < d; f.sleep(max(10*time.Millisecond, d/1000)) {
		if !ok() {
			f.t.Fatalf("after %v no longer: %s", time.Since(start), what)
		}
	}
}

// fault changes the faults of engines.
func (f *fleet) fault(patch string, ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		if err := f.engines[id].Control().Patch([]byte(patch)); err != nil {
			f.t.Fatal(err)
		}
	}
}

// live returns the daemons that are not cut off.
func (f *fleet) live() []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return f.cut[d.name] })
}

// present is how many groups are present in every live daemon's view.
func (f *fleet) present() int {
	least := 1 << 30
	for _, d := range f.live() {
		n := 0
		for _, v := range d.Groups() {
			if v.Present {
				n++
			}
		}
		least = min(least, n)
	}
	return least
}

// form waits until all copies are present.
func (f *fleet) form() time.Duration {
	f.t.Helper()
	return f.until(time.Minute+f.spec.load, "all copies present everywhere", func() bool { return f.present() == f.spec.copies })
}

// used is whether any live daemon counts a generation of a group as present.
func (f *fleet) used(g View) bool {
	return slices.ContainsFunc(f.live(), func(d *daemon) bool {
		ok, _ := d.Present(g.Group, g.Generation)
		return ok
	})
}

// atHome is whether the home of a group counts a generation as present.
func (f *fleet) atHome(g View) bool {
	return slices.ContainsFunc(f.live(), func(d *daemon) bool {
		return slices.ContainsFunc(d.Groups(), func(v View) bool { return v.Group == g.Group && v.Generation == g.Generation && v.Home && v.Present })
	})
}

// members returns the instances of all groups in any live daemon's view.
func (f *fleet) members() []string {
	all := map[string]bool{}
	for _, d := range f.live() {
		for _, v := range d.Groups() {
			for _, m := range v.Members {
				all[m] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// holder returns the daemon that holds the lease, or nil.
func (f *fleet) holder() *daemon {
	for _, d := range f.daemons {
		if _, ok := d.held(); ok {
			return d
		}
	}
	return nil
}

func (d *daemon) held() (lease.Held, bool) {
	d.mu.Lock()
	s := d.services["s"]
	d.mu.Unlock()
	if s == nil {
		return lease.Held{}, false
	}
	return s.holding()
}

func (f *fleet) events() []timeline.Event {
	var logs [][]timeline.Event
	for _, d := range f.daemons {
		events, _, lost := d.line.Since(0)
		if lost > 0 {
			f.t.Errorf("%s lost %d events", d.name, lost)
		}
		logs = append(logs, events)
	}
	return timeline.Merge(logs...)
}

// kinds fails the test unless there are events of some kinds, so that a story that no longer causes them is noticed.
func (f *fleet) kinds(want ...timeline.Kind) {
	have := map[timeline.Kind]bool{}
	for _, e := range f.events() {
		have[e.Kind] = true
	}
	for _, k := range want {
		if !have[k] {
			f.t.Errorf("no event of kind %s", k)
		}
	}
}

// audit checks promises 1, 2, 6 and 8 by what the daemons recorded and by what the stand-ins ran, and that no
// generation is formed twice and tokens grow.
func (f *fleet) audit() {
	f.t.Helper()
	trace := audit.Trace{Events: f.events()}
	for _, e := range f.engines {
		r := e.Record()
		trace.Record.Runs = append(trace.Record.Runs, r.Runs...)
		trace.Record.Spans = append(trace.Record.Spans, r.Spans...)
	}
	report := audit.Check(trace, audit.Targets)
	for _, v := range report.Violations {
		if slices.Contains([]int{1, 2, 6, 8}, v.Promise) {
			f.t.Error(v)
		}
	}
	left := slices.ContainsFunc(trace.Events, func(e timeline.Event) bool { return e.Kind == timeline.Leave })
	for _, p := range []int{1, 2, 6, 8} {
		if report.Checked[p] == 0 && (p != 6 || left) {
			f.t.Errorf("promise %d was not checked", p)
		}
	}
	formed := map[uint64]bool{}
	at := map[string]string{}
	token := uint64(0)
	for _, e := range trace.Events {
		switch e.Kind {
		case timeline.Form:
			if formed[e.Generation] {
				f.t.Errorf("generation %d was formed twice", e.Generation)
			}
			formed[e.Generation] = true
			for _, m := range e.Members {
				if at[m] != "" {
					f.t.Errorf("%s joins %s while in %s", m, e.Group, at[m])
				}
				at[m] = e.Group
			}
		case timeline.Free:
			for _, m := range e.Members {
				delete(at, m)
			}
		case timeline.Lease:
			if e.Token <= token {
				f.t.Errorf("token %d after %d", e.Token, token)
			}
			token = e.Token
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d runs, %d whole answers, %d generations, promises checked on %v", len(trace.Record.Runs), f.answers, len(formed), report.Checked[1:])
}

// Guards, with processes' real clients and timers, against groups that are not formed while answers are lost, a loss
// that is not found within 2 s or not healed, a group that stops while the table service is down, and a lease that is
// not taken over.
func TestFleet(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			t.Parallel()
			story(t, spec{daemons: 3, domains: []int{6}, copies: 2, instances: 2, fencing: fencing, load: 300 * time.Millisecond, period: 100 * time.Millisecond}, func(f *fleet) {
				f.platform.SetFaults(standin.PlatformFaults{Lose: 4})
				took := f.until(20*time.Second, "2 groups present everywhere", func() bool { return f.present() == 2 })
				t.Logf("formed after %v, with 4 answers lost", took)

				g := f.daemons[0].Groups()[0]
				lost := g.Members[1]
				f.fault(`{"kill": true}`, lost)
				took = f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
				t.Logf("loss found after %v", took)
				took = f.until(10*time.Second, "healed under a higher generation", func() bool {
					return !f.used(g) && f.present() == 2 && !slices.Contains(f.members(), lost)
				})
				t.Logf("healed everywhere %v later", took)

				f.platform.SetFaults(standin.PlatformFaults{Down: true})
				f.throughout(8*time.Second, "groups serve while the table service is down for longer than a lease", func() bool { return f.present() == 2 })
				f.platform.SetFaults(standin.PlatformFaults{})

				leaving := f.daemons[0].Groups()[0].Members[0]
				f.leave(leaving)
				f.until(3*time.Second, "no daemon uses the group of a leaving instance", func() bool { return f.present() < 2 })
				f.until(40*time.Second, "the leaving instance is replaced", func() bool {
					return f.present() == 2 && !slices.Contains(f.members(), leaving)
				})

				// The lease may be passing from one daemon to another just now.
				f.until(10*time.Second, "a daemon holds the lease", func() bool { return f.holder() != nil })
				holder := f.holder()
				holder.stop()
				rest := f.daemons[(slices.Index(f.daemons, holder)+1)%3]
				f.note(rest, "[changed model-service s]\ncopies = 1\n")
				took = f.until(20*time.Second, "the next holder releases the surplus group", func() bool { return len(rest.Groups()) == 1 })
				t.Logf("surplus group released %v after the holder stopped", took)
				f.kinds(timeline.Form, timeline.Free, timeline.Serve, timeline.Stop, timeline.Lose, timeline.Leave, timeline.Lease, timeline.Yield)
			})
		})
	}
}

// leave shows an instance as leaving on the platform's list.
func (f *fleet) leave(id string) {
	i := f.all[slices.IndexFunc(f.all, func(i platform.Instance) bool { return i.ID == id })]
	i.State = platform.Leaving
	f.platform.Add(i)
}
