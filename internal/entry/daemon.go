// Package entry is the daemon on the users' platform: it serves callers, and one daemon at a time also gives the orders
// that form and heal model groups.
//
// Its duties run on goroutines of one group. What they share is small: the configuration and the view of the backend
// servers are immutable values that are swapped; the dispatcher and the set of other daemons are guarded by a lock each.
package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/election"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

const (
	// memoryShare is the part of the memory limit at which the garbage collector works harder, in percent.
	memoryShare = 70
	// sweepPeriod is how often idle connections are looked through.
	sweepPeriod = time.Second
	// acceptPart is the part of the grace for which a leaving daemon takes new connections: callers keep the answer that
	// named it for up to three times its time to live.
	acceptPart = 0.36
	// endPart is the part of the grace after which a leaving daemon ends although answers are outstanding.
	endPart = 0.97
)

// Daemon is one daemon.
type Daemon struct {
	// current is the settings; a reload swaps them.
	current atomic.Pointer[Settings]
	log     hclog.Logger
	boot    int64

	store   *platform.Store
	servers *platform.ServerClient
	pool    *backend.Pool

	config atomic.Pointer[route.Config]
	view   atomic.Pointer[roster.View]
	// leaving is set when the signal to stop has come.
	leaving atomic.Bool
	// inFlight counts requests of callers.
	inFlight atomic.Int64
	// served is set when the first request of a caller has come.
	served atomic.Bool
	// buffered is the bytes of request bodies in memory.
	buffered atomic.Int64
	// met is set when the rows of the other daemons have been read once.
	met atomic.Bool
	// told counts the digests sent.
	told atomic.Uint64
	// storeOK tells whether the last read of the store succeeded.
	storeOK atomic.Bool

	// peersMu guards the next two. It may be taken while the dispatcher's lock is held, not the other way round.
	peersMu sync.Mutex
	members *gossip.PeerSet
	vote    *election.Election

	dispatch *dispatcher
	plain    standings
	pauses   *balance.Pauses
	budget   *budget
	feed     *storeSync
	lead     *leader
	metrics  *metric.Set
	calls    callCounts
	udp      *net.UDPConn
	servings []*khttp.Server
	group    errgroup.Group
	stop     context.CancelFunc
	// ended is closed when the daemon stops.
	ended chan struct{}
}

// ListenError reports an address that cannot be served.
type ListenError struct {
	What string
	Addr netip.AddrPort
	Err  error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s on %s: %v", e.What, e.Addr, e.Err)
}
func (e *ListenError) Unwrap() error { return e.Err }

// New returns a daemon that listens, and a function that frees what it holds.
func New(s Settings, log hclog.Logger) (*Daemon, func(), error) {
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryShare / 100)
	d := &Daemon{log: log, boot: time.Now().UnixMilli(), members: gossip.NewPeerSet(s.Name, s.DataCentre, s.Cores), vote: election.New(s.Name), ended: make(chan struct{})}
	d.current.Store(&s)
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	fail := func(err error) (*Daemon, func(), error) {
		cleanup()
		return nil, nil, err
	}
	var closeIdle func()
	d.store, closeIdle = platform.NewStore(s.Store)
	cleanups = append(cleanups, closeIdle)
	d.servers, closeIdle = platform.NewServerClient()
	cleanups = append(cleanups, closeIdle)
	d.pool, closeIdle = backend.NewPool()
	cleanups = append(cleanups, closeIdle)
	var closeMetrics func()
	var err error
	if d.metrics, closeMetrics, err = metric.New(); err != nil {
		return fail(err)
	}
	cleanups = append(cleanups, closeMetrics)
	if err := d.gauges(); err != nil {
		return fail(err)
	}
	d.view.Store(&roster.View{})
	d.dispatch = newDispatcher(d)
	d.budget = &budget{}
	d.pauses = balance.NewPauses()
	d.feed, closeIdle = newStoreSync(d)
	cleanups = append(cleanups, closeIdle)
	d.lead = newLeader(d)

	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Peer))
	if err != nil {
		return fail(&ListenError{"peers", s.Peer, err})
	}
	d.udp = udp
	cleanups = append(cleanups, func() { _ = udp.Close() })
	for _, l := range []struct {
		what string
		addr netip.AddrPort
		h    http.Handler
	}{
		{"callers", s.Caller, http.HandlerFunc(d.serveCaller)},
		{"readiness", s.Readiness, http.HandlerFunc(d.serveReadiness)},
		{"directory", s.Directory, http.HandlerFunc(d.serveDirectory)},
		{"peers", s.Peer, http.HandlerFunc(d.servePeer)},
		{"metrics", s.Metrics, d.metrics.Handler()},
	} {
		if !l.addr.IsValid() {
			continue
		}
		lis, err := net.Listen("tcp4", l.addr.String())
		if err != nil {
			return fail(&ListenError{l.what, l.addr, err})
		}
		// The endpoint is given because kratos would look for one among the network interfaces, which a confined process
		// may not list.
		srv := khttp.NewServer(khttp.Listener(lis), khttp.Endpoint(&url.URL{Scheme: "http", Host: l.addr.String()}), khttp.Timeout(0))
		// The handler replaces kratos' router, which cleans paths; requests are passed on exactly as they came.
		srv.Handler = l.h
		srv.IdleTimeout = callerIdle
		d.servings = append(d.servings, srv)
		cleanups = append(cleanups, func() { _ = srv.Close() })
	}
	return d, cleanup, nil
}

// gauges declares the values that are read when metrics are asked for.
func (d *Daemon) gauges() error {
	return errors.Join(
		d.metrics.Gauge("in_flight", "{request}", "Requests of callers under way", d.inFlight.Load),
		d.metrics.Gauge("daemons", "{daemon}", "Other daemons that live, as far as this one knows", func() int64 { return int64(d.fleet(time.Now()) - 1) }),
		d.metrics.Gauge("config_version", "1", "Version of the configuration in force", func() int64 {
			if c := d.config.Load(); c != nil {
				return c.Version
			}
			return 0
		}),
	)
}

// settings returns the settings in force.
func (d *Daemon) settings() *Settings { return d.current.Load() }

// settingsPeriod is how often the settings file is read; it may change without a signal.
const settingsPeriod = time.Second

// Follow takes the settings from a file again when a signal comes or the file's text, which is given as it was read at the
// start, has changed. Addresses and names stay until the next start; bounds change at once.
func (d *Daemon) Follow(file string, text []byte, signals <-chan os.Signal) {
	ticks, stop := timer.Every(settingsPeriod, 0.1)
	d.group.Go(func() error {
		defer stop()
		for {
			signalled := false
			select {
			case <-d.ended:
				return nil
			case <-signals:
				signalled = true
			case <-ticks:
			}
			now, err := os.ReadFile(file)
			if err != nil {
				// While the file is being replaced there may be none; a signal says that it has been.
				if signalled {
					d.log.Error("settings were not read; the earlier ones stay", "error", err)
				}
				continue
			}
			if !signalled && bytes.Equal(now, text) {
				continue
			}
			text = now
			s, err := ParseSettings(file, text)
			if err != nil {
				d.log.Error("settings were not read; the earlier ones stay", "error", err)
				continue
			}
			d.adopt(s)
		}
	})
}

// adopt puts settings in force, but for those that hold until the next start.
func (d *Daemon) adopt(s Settings) {
	old := d.settings()
	s.Name, s.DataCentre, s.Caller, s.Readiness, s.Directory = old.Name, old.DataCentre, old.Caller, old.Readiness, old.Directory
	s.Peer, s.Metrics, s.Store = old.Peer, old.Metrics, old.Store
	d.current.Store(&s)
	d.log.Info("settings read anew", "drain", s.Drain, "grace", s.Grace, "stall", s.Stall)
}

// callerIdle is how long a caller's connection may be idle. It is longer than any limit that operators set for callers,
// so a caller who keeps to that limit never meets a close.
const callerIdle = 3 * time.Minute

// Start runs the daemon until Stop has ended it. It implements kratos' transport.Server.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.stop = context.WithCancel(ctx)
	d.log.Info("start", "data_centre", d.settings().DataCentre, "region", d.settings().Region, "caller", d.settings().Caller, "first_start", d.settings().FirstStart, "boot", d.boot)
	for _, srv := range d.servings {
		d.group.Go(func() error {
			err := srv.Start(ctx)
			if err != nil {
				// A daemon that serves only part of its addresses misleads callers.
				d.log.Error("serving ended", "error", err)
				d.stop()
			}
			return err
		})
	}
	for _, duty := range []func(context.Context){
		d.feed.watchConfig, d.feed.pollServers, d.feed.pollDaemons, d.feed.pollPeers, d.receive, d.sendDigests, d.lead.run, d.dispatch.run, d.sweep,
	} {
		d.group.Go(func() error {
			duty(ctx)
			return nil
		})
	}
	return d.group.Wait()
}

// Stop lets the daemon leave: it is no longer named to callers, goes on taking requests until those who know it have
// asked anew, and ends when the last answer has.
func (d *Daemon) Stop(ctx context.Context) error {
	began := time.Now()
	d.leaving.Store(true)
	d.lead.resign()
	d.log.Info("leaving", "in_flight", d.inFlight.Load())
	accept := time.Duration(float64(d.settings().Grace) * acceptPart)
	end := began.Add(time.Duration(float64(d.settings().Grace) * endPart))
	if err := timer.Wait(ctx, accept); err != nil {
		d.log.Warn("stop was cut short", "error", err)
	}
	// Idle connections close now; a request that crosses the close has not been read.
	d.servings[0].SetKeepAlivesEnabled(false)
	for time.Now().Before(end) && d.inFlight.Load() > 0 {
		if err := timer.Wait(ctx, 20*time.Millisecond); err != nil {
			break
		}
	}
	d.log.Info("stop", "in_flight", d.inFlight.Load(), "after", time.Since(began))
	close(d.ended)
	d.stop()
	for _, srv := range d.servings {
		_ = srv.Close() // the process ends
	}
	return nil
}

func (d *Daemon) sweep(ctx context.Context) {
	ticks, stop := timer.Every(sweepPeriod, 0)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks:
			d.pool.CloseExpired(now)
			v := d.view.Load()
			d.plain.forget(v)
			d.dispatch.forget(v)
			d.dispatch.logState(now)
			if calls := d.calls.flush(now); len(calls) > 0 {
				d.log.Info("calls to the store", "by_purpose", calls)
			}
		}
	}
}

// steady is the clock of leases.
func steady() time.Duration { return netopt.SinceBoot() }

// live returns the other daemons heard of lately.
func (d *Daemon) live(now time.Time) []*gossip.Peer {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	return d.members.Live(now)
}

// hub tells whether this daemon tells all others.
func (d *Daemon) hub(now time.Time) bool {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	return d.members.Hub(now)
}

// orders tells whether this daemon gives orders to backend servers.
func (d *Daemon) orders() bool {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	_, ok := d.vote.Holding(steady())
	return ok
}

// fleet is how many daemons there are, as far as this one knows. One that hears less than half of those that it knows of is
// cut off, or has just started, and the others work on.
func (d *Daemon) fleet(now time.Time) int {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	live, known := d.members.FleetSize(now), len(d.members.All(now))+1
	switch {
	case known == 1 && !d.met.Load():
		return unknownFleet
	case 2*live < known:
		return known
	}
	return live
}

// unknownFleet is how many daemons there may be while this one knows of none and has not read their rows: many, so it places
// little until it has, which takes an answer of the store.
const unknownFleet = 400

// ready tells whether the daemon takes new callers: it knows a configuration and the backend servers.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.config.Load() != nil && !d.view.Load().Read.IsZero()
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveDirectory tells a caller which daemons to use.
func (d *Daemon) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ResolvePath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var near, far []netip.AddrPort
	dc := platform.RequestedDataCentre(r)
	add := func(addr netip.AddrPort, at string) {
		if at == dc {
			near = append(near, addr)
		} else {
			far = append(far, addr)
		}
	}
	if d.ready() {
		add(d.settings().Caller, d.settings().DataCentre)
	}
	for _, m := range d.live(time.Now()) {
		if m.Ready {
			add(m.CallerAddr, m.DataCentre)
		}
	}
	addrs := addresses(near, far, rand.Shuffle)
	if len(addrs) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, err := platform.EncodeAddresses(addrs, min(directoryHold, d.settings().Hold))
	if err != nil {
		d.log.Error("encode addresses", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		d.log.Debug("a caller left before it was told addresses", "error", err)
	}
}

// addresses returns the daemons that a caller is told of. Those of the caller's data centre answer sooner; where they are
// enough to carry its callers, only a few others are added, for callers whose whole data centre is lost. Callers spread
// over all that they are told, so no daemon is always left out. shuffle is that of math/rand.
func addresses(near, far []netip.AddrPort, shuffle func(n int, swap func(i, j int))) []netip.AddrPort {
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if len(near) >= enoughNear && len(near)*maxDataCentres >= len(near)+len(far) {
		far = far[:min(len(far), keptFar)]
		near = near[:min(len(near), maxAddresses-len(far))]
	}
	all := append(near, far...)
	return all[:min(len(all), maxAddresses)]
}

const (
	// enoughNear is how many daemons of its data centre carry a caller's requests while some of them fail.
	enoughNear = 8
	// maxDataCentres is the part of all daemons, one in that many, below which those of one data centre may be too few
	// for its callers.
	maxDataCentres = 6
	// keptFar is how many daemons of other data centres a caller is told of besides: as many as it asks for addresses.
	keptFar = 3
	// maxAddresses is the most that a caller takes.
	maxAddresses = 64
	// directoryHold is how long callers keep an answer. Some keep it for three times as long, which is the time for
	// which a leaving daemon goes on taking connections.
	directoryHold = 900 * time.Millisecond
)
