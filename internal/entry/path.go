package entry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/reach"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// paths holds whether this daemon has a path to the backend servers of each service. It is safe for concurrent use.
type paths struct {
	d *Daemon
	// prober asks servers over new connections, as open ones may live on when new ones are refused.
	prober *platform.ServerClient

	mu      sync.Mutex
	tracker reach.Tracker
	samples errgroup.Group
	// doubts has an entry while a sample is due because of a failure. verdicts holds, for each service in doubt, a channel that
	// is closed when it is known whether there is a path.
	doubts   chan sampleDue
	verdicts map[string]chan struct{}
}

// sampleDue is a sample of the backend servers of a service to be asked.
type sampleDue struct {
	service string
	size    int
}

const (
	// pathPeriod is how often paths that are lost are looked at.
	pathPeriod = 50 * time.Millisecond
	// probeTimeout bounds the wait for a response of a sample: several round trips between regions. firstProbeTimeout is for the one
	// server that is asked first, for a connection and a response; after it, more servers are asked.
	probeTimeout      = 350 * time.Millisecond
	firstProbeTimeout = 150 * time.Millisecond
	// maxDoubts bounds the samples that are due. One that finds no room is asked for by the next failure.
	maxDoubts = 16
)

func newPaths(d *Daemon, prober *platform.ServerClient) *paths {
	return &paths{d: d, prober: prober, doubts: make(chan sampleDue, maxDoubts), verdicts: map[string]chan struct{}{}}
}

// doubt has other backend servers of a service asked, as one of them did not respond.
func (p *paths) doubt(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askIfDue(service, func() int { return p.tracker.Doubt(time.Now(), service) })
}

// askIfDue has a sample of servers asked if one is due; due returns its size, or zero. p.mu is held.
func (p *paths) askIfDue(service string, due func() int) {
	if len(p.doubts) == cap(p.doubts) {
		return
	}
	if n := due(); n > 0 {
		p.verdicts[service] = make(chan struct{})
		p.doubts <- sampleDue{service, n} // only this method sends, under the mutex
	}
}

// checkRecent has servers asked unless one has responded within the last age. It returns a channel that is closed when it is known
// whether there is a path, or nil if that is known.
func (p *paths) checkRecent(service string, age time.Duration) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.askIfDue(service, func() int { return p.tracker.Verify(time.Now(), service, age) })
	return p.verdicts[service]
}

// awaitBefore waits while it is in doubt whether there is a path, before an attempt of a request. last is the error of the attempt
// before. The first attempt of a request that may not be repeated waits too, as it could not leave a silent server. A request that was
// handed over waits until it is known whether there is a path, as several daemons may have lost theirs at the same time.
func (x *exchange) awaitBefore(ctx context.Context, last error) {
	switch {
	case x.from != "":
		x.d.paths.verify(ctx, x.service, probeTimeout)
	case last != nil || !x.route.Repeatable():
		x.d.paths.await(ctx, x.service)
	}
}

// await waits while it is in doubt whether there is a path to a service.
func (p *paths) await(ctx context.Context, service string) {
	p.mu.Lock()
	verdict := p.verdicts[service]
	p.mu.Unlock()
	awaitVerdict(ctx, verdict)
}

// verify waits until it is known whether there was a path to a service within the last age.
func (p *paths) verify(ctx context.Context, service string, age time.Duration) {
	awaitVerdict(ctx, p.checkRecent(service, age))
}

func awaitVerdict(ctx context.Context, verdict <-chan struct{}) {
	if verdict == nil {
		return
	}
	select {
	case <-verdict:
	case <-ctx.Done():
	}
}

// lost reports whether there is no path to a service.
func (p *paths) lost(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Lost(service)
}

// lostServices returns the services without a path.
func (p *paths) lostServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.LostServices()
}

// run asks the samples that are due until ctx ends.
func (p *paths) run(ctx context.Context) {
	ticks, stop := timer.Every(pathPeriod, 0.2)
	defer stop()
	ask := func(due sampleDue) {
		p.samples.Go(func() error {
			p.ask(ctx, due)
			return nil
		})
	}
	for {
		select {
		case <-ctx.Done():
			_ = p.samples.Wait() // its tasks return no error
			return
		case due := <-p.doubts:
			ask(due)
		case now := <-ticks:
			p.mu.Lock()
			services := p.tracker.Retry(now)
			p.mu.Unlock()
			for _, service := range services {
				ask(sampleDue{service, reach.LostSample})
			}
		}
	}
}

// ask asks a sample of the backend servers of a service, and then another one if that is due.
func (p *paths) ask(ctx context.Context, due sampleDue) {
	for due.size > 0 {
		timeout := probeTimeout
		if due.size == reach.FirstSample {
			timeout = firstProbeTimeout
		}
		asking, cancel := context.WithTimeout(ctx, timeout)
		responded := p.anyResponds(asking, p.d.view.Load().Listed(due.service), due.size)
		cancel()
		if ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		next, changed := p.tracker.Record(time.Now(), due.service, responded)
		if verdict := p.verdicts[due.service]; next == 0 && verdict != nil {
			close(verdict)
			delete(p.verdicts, due.service)
		}
		p.mu.Unlock()
		due.size = next
		if !changed {
			continue
		}
		if responded {
			p.d.log.Info("path to backend servers found again", "service", due.service)
		} else {
			p.d.log.Warn("no path to the backend servers of a service", "service", due.service)
		}
		p.d.dispatch.pathChanged(due.service)
		p.d.requestAnnouncement()
	}
}

// anyResponds reports whether one of a sample of backend servers, chosen at random, responds. It changes the order of servers. No
// servers count as ones that respond: there is nothing to reach.
func (p *paths) anyResponds(ctx context.Context, servers []*roster.Server, sample int) bool {
	if len(servers) == 0 {
		return true
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = servers[:min(len(servers), sample)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	var queries errgroup.Group
	defer func() {
		cancel()
		_ = queries.Wait() // they return no error
	}()
	responses := make(chan bool, len(servers))
	for _, s := range servers {
		queries.Go(func() error {
			r, err := p.prober.Report(ctx, s)
			if err == nil {
				p.d.recordCold(time.Now(), s, r)
			}
			responses <- platform.Responded(err)
			return nil
		})
	}
	for range servers {
		if <-responses {
			return true
		}
	}
	return false
}

// handOverTarget returns a daemon to hand the request over to, one that has not been tried, or nil if this daemon has a path or no other one
// is known to have one. A request that was handed over stays.
func (x *exchange) handOverTarget(tried []string) *gossip.Peer {
	if x.from != "" || !x.d.paths.lost(x.service) {
		return nil
	}
	return choosePeer(x.inHomes(x.d.withoutEarlierBuilds(x.d.peersWithPath(x.service))), tried, x.d.settings().DataCentre)
}

// peersWithPath returns the live daemons that serve others' requests and do not say that they have no path to a service.
func (d *Daemon) peersWithPath(service string) []*gossip.Peer {
	return slices.DeleteFunc(d.livePeers(time.Now()), func(m *gossip.Peer) bool {
		return !m.Ready || !m.Relays || slices.Contains(m.Unreachable, service)
	})
}

// choosePeer returns a random daemon that has not been tried, by its number of cores. One of the same data centre comes first, as
// bytes between data centres are costly.
func choosePeer(peers []*gossip.Peer, tried []string, dataCentre string) *gossip.Peer {
	var near, far []*gossip.Peer
	for _, m := range peers {
		switch {
		case slices.Contains(tried, m.Name):
		case m.DataCentre == dataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	cores := 0.0
	for _, m := range near {
		cores += m.Cores
	}
	at := rand.Float64() * cores
	for i, m := range near {
		if at -= m.Cores; at < 0 || i == len(near)-1 {
			return m
		}
	}
	return nil
}

// Headers between daemons, for a request that one of them hands over to another.
const (
	// headerFrom names the daemon that hands a request over. Only that of a peer is looked at, since the address for peers is
	// another one than that for callers.
	headerFrom = "Daemon-From"
	// headerAttempts is the number of attempts that reached a backend server or are under way, headerMayHaveRun is set if one may
	// have run. On responses of the daemon itself, headerAttempts counts its own attempts.
	headerAttempts   = "Daemon-Attempts"
	headerMayHaveRun = "Daemon-May-Have-Run"
	// headerPaid is set if the next attempt has been paid for out of the retry budget, on rejections if it still is.
	headerPaid = "Daemon-Paid"
	// headerConfig is the version of the configuration under which the request was admitted.
	headerConfig = "Daemon-Config"
	// headerOutcome is set on responses of the daemon itself: outcomeNotRun or outcomeUnknown.
	headerOutcome  = "Daemon-Outcome"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// PeerLostError reports that nothing has been heard for a while from the daemon to which a request was handed over.
type PeerLostError struct{ Daemon string }

func (e *PeerLostError) Error() string { return "daemon " + e.Daemon + " is no longer heard from" }

// peerWatch is a request that another daemon serves.
type peerWatch struct {
	peer string
	// lost is called, once, when that daemon counts as lost. It must not block.
	lost func()
}

// watchPeer has lost called when a daemon is no longer heard from. It returns a function that ends that.
func (p *dispatcher) watchPeer(peer string, lost func()) (stop func()) {
	w := &peerWatch{peer, lost}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerWatches[w] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.peerWatches, w)
	}
}

// checkPeers reports the daemons that are lost to the requests that they serve. A connection to such a daemon may not fail before the
// deadline. p.mu is held.
func (p *dispatcher) checkPeers(now time.Time) {
	if len(p.peerWatches) == 0 {
		return
	}
	live := map[string]bool{}
	for _, m := range p.d.livePeers(now) {
		live[m.Name] = true
	}
	for w := range p.peerWatches {
		if !live[w.peer] {
			delete(p.peerWatches, w)
			w.lost()
		}
	}
}

// HandOverError reports that the daemon to which a request was handed over has not got a response for it.
type HandOverError struct {
	Daemon string
	Status int
}

func (e *HandOverError) Error() string {
	return "daemon " + e.Daemon + " has no answer: " + strconv.Itoa(e.Status)
}

// PathLostError reports that this daemon has lost its path to the backend servers while a request waited for one.
type PathLostError struct{ Service string }

func (e *PathLostError) Error() string {
	return "no path to the backend servers of service " + e.Service
}

// buildHandOver builds the request that is handed over to another daemon, beside the given number of attempts that are under way. What
// has been paid for goes with it.
func (x *exchange) buildHandOver(lastEvent string, underWay int) *backend.Request {
	h := platform.RelayHeader(x.r.Header, time.Until(x.deadline), lastEvent)
	h.Set(headerFrom, x.d.settings().Name)
	h.Set(headerAttempts, strconv.Itoa(x.attempts+underWay))
	h.Set(headerConfig, strconv.FormatInt(x.config.Version, 10))
	if x.mayHaveRun || underWay > 0 {
		h.Set(headerMayHaveRun, "1")
	}
	if x.paid {
		x.paid = false
		h.Set(headerPaid, "1")
	}
	return &backend.Request{ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, AtMostOnce: !x.route.Repeatable()}
}

// handOverResult returns why the response of another daemon is none of a backend server, or nil if it is one. A request that has not
// run there may be rejected or handed over again. Another process may have the address of a daemon that has ended; backend servers
// echo the id of a request.
func (x *exchange) handOverResult(daemon string, r *backend.Response) error {
	switch r.Header.Get(headerOutcome) {
	case "":
		if forwardable(r) && (r.ID != "" || x.call.ID == "") {
			return nil
		}
	case outcomeNotRun:
		r.NotExecuted = true
		return &RejectedError{retryAfter(r.Header), "by daemon " + daemon}
	}
	return &HandOverError{daemon, r.Status}
}

// isFinal reports whether a request that another daemon has rejected is to be rejected here too. Without a time to retry, that daemon
// could not serve any request.
func isFinal(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.RetryAfter > 0
}

// retryAfter returns the Retry-After time of another daemon's response.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// peerServer returns a daemon in the form in which the pool of connections addresses backend servers.
func peerServer(m *gossip.Peer) *roster.Server {
	return &roster.Server{ID: "daemon " + m.Name, Addr: m.PeerAddr}
}

// serveHandedOver serves a request that another daemon, which has no path to the backend servers, has handed over. It is not
// handed over again.
func (d *Daemon) serveHandedOver(w http.ResponseWriter, r *http.Request) {
	attempts, err := strconv.Atoi(r.Header.Get(headerAttempts))
	if err != nil || attempts < 0 {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := &exchange{d: d, w: w, r: r, from: r.Header.Get(headerFrom), attempts: attempts, handedAttempts: attempts, mayHaveRun: r.Header.Get(headerMayHaveRun) != "", paid: r.Header.Get(headerPaid) != ""}
	// Daemons of earlier builds name no version.
	x.minConfig, _ = strconv.ParseInt(r.Header.Get(headerConfig), 10, 64)
	for _, name := range []string{headerFrom, headerAttempts, headerMayHaveRun, headerPaid, headerConfig} {
		r.Header.Del(name)
	}
	x.serve()
}

// suggestsLostPath reports whether a lost path may have made an attempt fail, whose context is ctx: it got no response, or none
// before its deadline.
func suggestsLostPath(ctx context.Context, err error) bool {
	var notSent *backend.NotSentError
	var limit *backend.ConnectionLimitError
	return (errors.As(err, &notSent) || wasCutOff(err)) && !errors.As(err, &limit) &&
		(ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

// noPath returns the rejection of a request that neither this daemon nor another one can send to a backend server.
func (x *exchange) noPath() error {
	return &RejectedError{x.retryDelay(), "no path to the backend servers"}
}

// pathChanged is called when the path to a service was lost or found again. Requests that wait for a group are handed over, and so are
// those whose group is silent. What this daemon has found out about single groups no longer counts.
func (p *dispatcher) pathChanged(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.suspects, func(_ string, s suspicion) bool { return s.local && !s.closed })
	clear(p.unreachable)
	for id, w := range p.waiters {
		if w.model.Service != service || !p.d.paths.lost(service) {
			continue
		}
		p.withdraw(id, w, &PathLostError{service})
	}
	p.silenceWithoutPath(time.Now())
}

// silenceWithoutPath has the requests of silent groups handed over whose service has no path. A group whose answers have not begun
// is not given the time of a queue then.
func (p *dispatcher) silenceWithoutPath(now time.Time) {
	for _, service := range p.d.paths.lostServices() {
		for key, reservations := range p.running {
			for _, s := range reservations {
				if s.model.Service != service || !p.stalls.Silent(now, key) {
					break // all requests of a group have the same service
				}
				if !s.held.silent.Load() {
					s.fallSilent()
				}
			}
		}
	}
}

// serversChanged has the servers of services without a path asked at once when there are new ones.
func (p *paths) serversChanged(before, now *roster.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range p.tracker.LostServices() {
		if slices.ContainsFunc(now.Services[service], func(s *roster.Server) bool {
			o := before.Servers[s.ID]
			return o == nil || o.Born != s.Born
		}) {
			p.tracker.Hasten(service)
		}
	}
}
