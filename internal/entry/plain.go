package entry

import (
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/http1"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/sse"
	"flamingorudder.example/internal/timer"
)

const (
	// attemptTimeoutFactor times the latency objective is how long an attempt may be silent before a safe request is also sent
	// to another backend server.
	attemptTimeoutFactor = 1.5
	// minServerBackoff and maxServerBackoff are the first and the longest time for which a backend server that gave no
	// response is avoided; the time doubles with each failure in a row.
	minServerBackoff = 500 * time.Millisecond
	maxServerBackoff = 4 * time.Second
	// failingRate is the failure rate above which a backend server is used only as a last resort.
	failingRate = 0.3
	// failureHalfLife is the half-life of the failure rate since the last failure, so that a server is tried again when it may have
	// recovered.
	failureHalfLife = 2 * time.Second
)

// serverHealth is the health of a plain backend server as this daemon observes it from its own requests.
type serverHealth struct {
	inFlight int
	// avoidUntil is when the backend server may be used again. backoff is the length of the last such period.
	avoidUntil time.Time
	backoff    time.Duration
	// failures is the failure rate, an exponentially weighted moving average.
	failures float64
	// failedAt is when the last attempt failed.
	failedAt time.Time
}

// healthTable holds the health of all plain backend servers, by id.
type healthTable struct {
	mu      sync.Mutex
	servers map[string]*serverHealth
}

// failureWeight is the weight of the latest result in the moving average of failures.
const failureWeight = 0.1

// coldScore is added to the score of a cold server, which is slow: others are preferred until half of their slots are in use.
const coldScore = 2

// choose returns the backend server with the lowest score, which is mostly its relative load. Failing backend servers and
// those already tried score worse. Those for which usable is false are excluded. cold is nil if no server
// is cold.
func (s *healthTable) choose(servers []*roster.Server, usable, cold func(*roster.Server) bool, tried map[string]bool, dc string, now time.Time) *roster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *roster.Server
	bestScore := 0.0
	for _, server := range servers {
		if !usable(server) {
			continue
		}
		score := rand.Float64() * 0.5
		if st := s.servers[server.ID]; st != nil {
			score += float64(st.inFlight) / float64(max(server.Slots, 1)) * 4
			if now.Before(st.avoidUntil) {
				score += 100
			}
			if failures := st.failures * math.Exp2(-now.Sub(st.failedAt).Seconds()/failureHalfLife.Seconds()); failures > failingRate {
				score += 10 * failures
			}
		}
		if cold != nil && cold(server) {
			score += coldScore
		}
		if server.DataCentre == dc {
			score -= 0.1
		}
		if tried[server.ID] {
			score += 1000
		}
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

// forget drops the state of backend servers that no longer exist.
func (s *healthTable) forget(v *roster.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.servers, func(id string, st *serverHealth) bool { return st.inFlight == 0 && v.Servers[id] == nil })
}

func (s *healthTable) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers == nil {
		s.servers = map[string]*serverHealth{}
	}
	st := s.servers[id]
	if st == nil {
		st = &serverHealth{}
		s.servers[id] = st
	}
	st.inFlight++
}

// end records the end of an attempt. lost is set if there was no complete response, failed if the response was an error.
func (s *healthTable) end(id string, lost, failed bool, now time.Time) {
	s.release(id)
	s.record(id, lost, failed, now)
}

// release ends an attempt whose result is recorded by itself.
func (s *healthTable) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[id].inFlight--
}

// record records the result of an attempt.
func (s *healthTable) record(id string, lost, failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.servers[id]
	if st == nil {
		return // the server has been forgotten since the end of the attempt
	}
	st.failures *= 1 - failureWeight
	if lost || failed {
		st.failures += failureWeight
		st.failedAt = now
	}
	if lost {
		st.backoff = min(max(st.backoff*2, minServerBackoff), maxServerBackoff)
		st.avoidUntil = now.Add(st.backoff)
	} else {
		st.backoff = 0
	}
}

// avoided reports whether a backend server gave no response lately.
func (s *healthTable) avoided(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.servers[id]
	return st != nil && now.Before(st.avoidUntil)
}

// avoid has a silent backend server avoided for a while.
func (s *healthTable) avoid(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.servers[id]; st != nil && st.avoidUntil.Before(now.Add(minServerBackoff)) {
		st.avoidUntil = now.Add(minServerBackoff)
	}
}

// NoServerError reports that a service has no backend server that can be used.
type NoServerError struct{ Service string }

func (e *NoServerError) Error() string { return "no usable backend server for service " + e.Service }

// serverChoice chooses backend servers of a plain service for the attempts at one request.
type serverChoice struct {
	x *exchange
	// svc is nil if the configuration lacks the service.
	svc *route.Service
	ids suspectIDs
	// tried holds the servers of all attempts, by id.
	tried map[string]bool
}

func newServerChoice(x *exchange, svc *route.Service) serverChoice {
	return serverChoice{x: x, svc: svc, ids: newSuspectIDs(x.hash, nil), tried: map[string]bool{}}
}

// rejection returns why the request must not be sent to any server now, or nil.
func (p *serverChoice) rejection(now time.Time) error {
	if err := p.x.d.quarantineRejection(now, p.ids); err != nil {
		return err
	}
	if err := p.x.evacuationRejection(schedule.Model{Service: p.x.service}); err != nil {
		return err
	}
	return p.x.homeRejection(schedule.Model{Service: p.x.service})
}

// candidates returns the backend servers of the service that may be used, and the share of a limit that this daemon may use, as callers spread
// over all daemons.
func (p *serverChoice) candidates() (servers []*roster.Server, now time.Time, share float64) {
	now = time.Now()
	return p.x.d.serversInHomes(p.x.d.outsideEvacuation(p.x.d.view.Load().Services[p.x.service]), p.x.homes), now, 1 / float64(p.x.d.sharingDaemons(now, p.x.service))
}

// choose returns the backend server to use now, one that has not been tried if fresh is set, or nil if there is none.
func (p *serverChoice) choose(servers []*roster.Server, now time.Time, share float64, fresh bool) *roster.Server {
	usable := func(s *roster.Server) bool {
		return (!fresh || !p.tried[s.ID]) && p.x.d.usableFrom(now, p.svc, s, share).IsZero()
	}
	var cold func(*roster.Server) bool
	if p.x.d.anyCold(now, p.svc) {
		cold = func(s *roster.Server) bool { return !p.x.d.cold.Until(now, s, p.svc).IsZero() }
	}
	return p.x.d.plainServers.choose(servers, usable, cold, p.tried, p.x.d.settings().DataCentre, now)
}

// begin begins an attempt at a server. It reports false if another request has taken the slot of a cold server, or is already probing
// whether the pause of the server is over.
func (p *serverChoice) begin(now time.Time, server *roster.Server) bool {
	d := p.x.d
	if !d.takeColdSlot(now, p.svc, server) || !d.pauses.Admit(now, server.ID) {
		return false
	}
	d.limits.Take(server.ID)
	d.plainServers.begin(server.ID)
	p.tried[server.ID] = true
	return true
}

// maxPlainAttempts bounds the attempts of one request that are under way at the same time.
const maxPlainAttempts = 3

// plainRequest is the state of a request to a plain service. A safe request is also sent to another backend server if one is
// silent, which may be sound and go on: the first usable response is forwarded.
type plainRequest struct {
	serverChoice
	limit int
	// handedTo are the daemons to which the request was handed over.
	handedTo []string
	// underWay holds the attempts that have not been settled. ended receives each of them once and never blocks.
	underWay []*plainAttempt
	ended    chan *plainAttempt
	tasks    errgroup.Group
	unsent   int
	// answer is the best response, last the last error.
	answer *bufferedResponse
	last   error
}

// plainAttempt is one attempt at a plain service.
type plainAttempt struct {
	server *roster.Server
	// peer is the daemon to which the request is handed over; empty for an attempt at a backend server.
	peer   string
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sent is when the attempt began, patience how long the backend server may be silent.
	sent     time.Time
	patience time.Duration
	// response is nil if there was none, sendErr is the reason. notices describes what the response announces.
	response *backend.Response
	notices  string
	sendErr  error
	// crashed is set if the process of the backend server ended before its response did.
	crashed bool
	// out is nil if there is no response to forward, err is the reason.
	out *bufferedResponse
	err error
}

// servePlain serves a request to a plain service, one that runs no models.
func (x *exchange) servePlain(ctx context.Context, svc *route.Service) {
	p := &plainRequest{serverChoice: newServerChoice(x, svc), limit: x.d.connectionLimit(svc), ended: make(chan *plainAttempt, maxPlainAttempts)}
	for done := false; !done && (len(p.underWay) > 0 || ctx.Err() == nil); {
		if len(p.underWay) == 0 && !p.start(ctx) {
			break
		}
		done = p.settle(p.await(ctx))
	}
	for _, a := range p.underWay {
		a.cancel(&SupersededError{"another server"})
	}
	_ = p.tasks.Wait() // its tasks return no error
	for len(p.underWay) > 0 {
		p.settle(<-p.ended)
	}
	if p.answer != nil && x.r.Context().Err() == nil {
		p.answer.forward(x)
		return
	}
	p.answer.discard()
	x.respondFailure(ctx, p.last)
}

// start sends the request to a backend server as soon as one can be used. It reports false if none can in time, or if no
// attempt is left.
func (p *plainRequest) start(ctx context.Context) bool {
	waiting, stopWaiting := p.x.untilClosing(ctx)
	defer stopWaiting()
	p.x.awaitBefore(waiting, p.last)
	for waiting.Err() == nil {
		servers, now, share := p.candidates()
		if err := p.rejection(now); err != nil {
			p.last = err
			return false
		}
		if target := p.x.handOverTarget(p.handedTo); target != nil {
			if p.unsent >= maxUnsent || !p.x.attemptLeft(0) {
				return false
			}
			p.x.payRetry(0) // if it cannot, the other daemon pays
			p.handOver(ctx, now, target)
			return true
		}
		if p.x.d.paths.lost(p.x.service) {
			p.last = p.x.noPath()
			return false
		}
		server := p.choose(servers, now, share, false)
		if server != nil && p.unsent >= maxUnsent && (p.tried[server.ID] || p.x.d.plainServers.avoided(server.ID, now)) {
			return false
		}
		if server == nil {
			wait, err := p.x.noServer(now, p.svc, servers, share)
			if wait > 0 && timer.Wait(waiting, wait) == nil {
				continue
			}
			p.last = err
			return false
		}
		if !p.x.allowAttempt(0) {
			return false
		}
		if p.send(ctx, now, server) {
			return true
		}
	}
	return false
}

// send starts an attempt. It reports false if another request has taken the slot of a cold server, or is already probing
// whether the pause of the server is over.
func (p *plainRequest) send(ctx context.Context, now time.Time, server *roster.Server) bool {
	x := p.x
	if !p.begin(now, server) {
		return false
	}
	x.paid = false
	a := &plainAttempt{server: server, sent: now, patience: x.patience()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	p.underWay = append(p.underWay, a)
	p.tasks.Go(func() error {
		x.tryPlain(a, p.limit)
		p.ended <- a
		return nil
	})
	return true
}

// patience returns how long a backend server of a plain service may be silent. Without an objective, silence is only a reason to ask
// whether there is a path.
func (x *exchange) patience() time.Duration {
	if x.route.Objective == 0 {
		return probeTimeout
	}
	return time.Duration(float64(x.route.Objective) * attemptTimeoutFactor)
}

// handOver has another daemon serve the request.
func (p *plainRequest) handOver(ctx context.Context, now time.Time, target *gossip.Peer) {
	p.handedTo = append(p.handedTo, target.Name)
	a := &plainAttempt{server: peerServer(target), peer: target.Name, sent: now}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	request := p.x.buildHandOver("", len(p.underWay))
	unwatch := func() {}
	if p.x.route.Repeatable() && p.x.attemptLeft(len(p.underWay)+1) {
		unwatch = p.x.d.dispatch.watchPeer(target.Name, func() { a.cancel(&PeerLostError{target.Name}) })
	}
	p.underWay = append(p.underWay, a)
	p.tasks.Go(func() error {
		defer unwatch()
		p.x.tryPeer(a, request)
		p.ended <- a
		return nil
	})
}

// await waits for the end of an attempt. While the backend servers are silent, it may send the request to others.
func (p *plainRequest) await(ctx context.Context) *plainAttempt {
	x := p.x
	latest := p.underWay[len(p.underWay)-1]
	for wait := latest.patience - time.Since(latest.sent); ; {
		if latest.peer != "" {
			break // that daemon sends it to another backend server if one is silent
		}
		if a := p.awaitFor(wait); a != nil {
			return a
		}
		x.d.plainServers.avoid(latest.server.ID, time.Now())
		if x.route.Kind != route.Safe || len(p.underWay) >= maxPlainAttempts || !x.attemptLeft(len(p.underWay)) {
			x.d.paths.doubt(x.service)
			break
		}
		// Without a path, another server would be as silent. A response that came in the last part of the silence shows that
		// there is one.
		if verdict := x.d.paths.checkRecent(x.service, latest.patience/3); verdict != nil {
			select {
			case a := <-p.ended:
				return a
			case <-verdict:
			}
		}
		servers, now, share := p.candidates()
		if x.d.quarantineRejection(now, p.ids) != nil {
			break
		}
		if x.d.paths.lost(x.service) {
			if target := x.handOverTarget(p.handedTo); target != nil {
				x.payRetry(len(p.underWay)) // if it cannot, the other daemon pays
				p.handOver(ctx, now, target)
				break
			}
			wait = standbyRetry
			if len(p.handedTo) > 0 {
				p.handedTo, wait = nil, maxStandbyRetry // they may have room, or a path, then
			}
			continue
		}
		wait = max(latest.patience, probeTimeout) // the path may be lost later
		if x.route.Objective == 0 {
			continue
		}
		if server := p.choose(servers, now, share, true); server != nil && x.payRetry(len(p.underWay)) && p.send(ctx, now, server) {
			latest = p.underWay[len(p.underWay)-1]
			wait = latest.patience
		}
	}
	return <-p.ended
}

// awaitFor waits for the end of an attempt, or returns nil when the time is over.
func (p *plainRequest) awaitFor(d time.Duration) *plainAttempt {
	over := make(chan struct{})
	stop := timer.AfterFunc(d, func() { close(over) })
	defer stop()
	select {
	case a := <-p.ended:
		return a
	case <-over:
		return nil
	}
}

// settle records the result of an attempt. It reports whether no other attempt is needed.
func (p *plainRequest) settle(a *plainAttempt) (done bool) {
	x := p.x
	p.underWay = slices.DeleteFunc(p.underWay, func(o *plainAttempt) bool { return o == a })
	before := x.attempts
	x.recordAttempt(a.server, "", a.sendErr, a.response, a.notices)
	if x.attempts == before && (a.peer == "" || len(p.underWay) == 0) {
		p.unsent++
	}
	if a.err != nil {
		p.last = a.err
		var superseded *SupersededError
		switch {
		case errors.As(context.Cause(a.ctx), &superseded):
			x.attemptLog[len(x.attemptLog)-1] += ", " + superseded.Error()
		case isFinal(a.err):
			return len(p.underWay) == 0 // or a silent server may still answer
		case a.sendErr == nil:
			x.attemptLog[len(x.attemptLog)-1] += ", " + a.err.Error()
		}
		if a.crashed {
			x.logCrash(a.server, "", 0)
			x.d.dispatch.recordPlainCrash(x.service, x.hash, a.server, a.sent)
		}
		return false
	}
	if a.peer == "" {
		x.d.answered.add(x.hash, time.Now())
	}
	good := a.out.a.Status < http.StatusInternalServerError
	if p.answer != nil && (!good || p.answer.a.Status < http.StatusInternalServerError) {
		a.out.discard()
		return good
	}
	p.answer.discard()
	p.answer = a.out
	return good || !x.route.Repeatable()
}

// usableFrom returns when a plain backend server may be sent a request, or zero if it may be now. share is the part of its
// limit that this daemon may use.
func (d *Daemon) usableFrom(now time.Time, svc *route.Service, s *roster.Server, share float64) time.Time {
	if until := d.pauses.Until(now, s.ID); !until.IsZero() {
		return until
	}
	from := d.limits.Next(now, s.ID, s.Born, share)
	if cold := d.coldFrom(now, svc, s); cold.After(from) {
		return cold
	}
	return from
}

// noServer is called when no backend server of a plain service can be used now. It returns how long to wait for one, or zero
// with an error if the request would become late: then the caller is told when to retry.
func (x *exchange) noServer(now time.Time, svc *route.Service, servers []*roster.Server, share float64) (wait time.Duration, err error) {
	if len(servers) == 0 {
		return 0, &NoServerError{x.service}
	}
	first := x.deadline
	for _, s := range servers {
		from := x.d.usableFrom(now, svc, s, share)
		if from.IsZero() {
			return dispatchPeriod, nil // the answer to another request has ended its pause meanwhile
		}
		if from.Before(first) {
			first = from
		}
	}
	cold, reason := x.d.anyCold(now, svc), "all backend servers asked for a pause or are at their limit"
	if cold {
		reason = "all backend servers are cold, asked for a pause or are at their limit"
	}
	if first.Before(x.start.Add(x.route.Objective / 2)) {
		if cold {
			x.d.metrics.RecordCold(x.service, metric.ColdHeld, 1)
		}
		return first.Sub(now), nil
	}
	if cold {
		x.d.metrics.RecordCold(x.service, metric.ColdRejected, 1)
	}
	return 0, &RejectedError{max(first.Sub(now), 0), reason}
}

// connectionLimit returns this daemon's share of the connections that a backend server of a service accepts, or zero if
// there is no limit.
func (d *Daemon) connectionLimit(svc *route.Service) int {
	if svc == nil || svc.MaxConnections <= 0 {
		return 0
	}
	return max(svc.MaxConnections/d.sharingDaemons(time.Now(), svc.Name), 1)
}

// maxUnsent bounds the attempts for one request that cannot reach their backend server. For a plain service, those that no request
// has lately failed to reach are tried beyond it, as each costs this daemon one connection in its backoff.
const maxUnsent = 4

// bufferedResponse is a response whose body has been read ahead, completely unless tail is set.
type bufferedResponse struct {
	a    *backend.Response
	body []byte
	// tail is set if the body is larger than the part that is read ahead.
	tail bool
	done func(lost bool)
}

// readAhead reads the response, completely if it is small and there is memory for it. An event stream that ends inside an event fails.
func (o *bufferedResponse) readAhead(x *exchange) (err error) {
	if sse.IsStream(o.a.Header) {
		o.a.Body = sse.NewReader(o.a.Body)
	}
	n := x.readAhead(o.a.Length)
	if o.body, err = io.ReadAll(io.LimitReader(o.a.Body, n+1)); err != nil {
		o.a.Distrust()
	}
	o.tail = int64(len(o.body)) > n
	return err
}

// discard ends a response that is not forwarded.
func (o *bufferedResponse) discard() {
	if o != nil && o.tail {
		o.done(false)
	}
}

// tryPlain sends the request to one backend server and reads the response.
func (x *exchange) tryPlain(a *plainAttempt, limit int) {
	end := func(lost, failed bool) {
		var superseded *SupersededError
		if errors.As(context.Cause(a.ctx), &superseded) && time.Since(a.sent) < a.patience {
			lost = false // it had no time to answer
		}
		a.cancel(nil)
		x.d.plainServers.end(a.server.ID, lost && x.r.Context().Err() == nil, failed, time.Now())
	}
	if err := x.checkServer(a.server, ""); err != nil {
		a.sendErr, a.err = err, err
		end(false, false)
		return
	}
	r, err := x.d.pool.Do(a.ctx, a.server, x.buildRequest(a.server, -1, ""), limit)
	if err != nil {
		a.sendErr, a.err = err, err
		if suggestsLostPath(a.ctx, err) {
			x.d.paths.doubt(x.service)
		}
		a.crashed = x.hasCrashed(a)
		end(true, false)
		return
	}
	a.response, a.notices = r, x.d.handleNotices(a.server, r)
	x.d.observeLimit(a.server, r, a.sent)
	done := func(lost bool) {
		r.Close()
		end(lost, r.Status >= http.StatusInternalServerError && !r.NotExecuted)
	}
	if r.NotExecuted || !forwardable(r) {
		_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxReadAhead))
		done(err != nil || r.Status == http.StatusMisdirectedRequest) // another backend server has the address
		a.err = &UnusableError{a.server.ID, r.Status}
		return
	}
	out := &bufferedResponse{a: r, done: done}
	err = out.readAhead(x)
	if err != nil {
		a.err = &backend.NoResponseError{Server: a.server.ID, Err: err}
		a.crashed = x.hasCrashed(a)
		done(true)
		return
	}
	if !out.tail {
		done(false)
	}
	a.out = out
}

// tryPeer hands the request over to another daemon and reads the response.
func (x *exchange) tryPeer(a *plainAttempt, request *backend.Request) {
	r, err := x.d.peerPool.Do(a.ctx, a.server, request, 0)
	if err != nil {
		a.sendErr, a.err = err, err
		a.cancel(nil)
		return
	}
	a.response = r
	end := func() {
		r.Close()
		a.cancel(nil)
	}
	if err := x.handOverResult(a.peer, r); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxReadAhead)) // allows the connection to be reused
		end()
		a.err = err
		return
	}
	out := &bufferedResponse{a: r, done: func(bool) { end() }}
	err = out.readAhead(x)
	if err != nil {
		end()
		a.err = &backend.NoResponseError{Server: a.server.ID, Err: err}
		return
	}
	if !out.tail {
		end()
	}
	a.out = out
}

// hasCrashed reports whether an attempt was cut off because the process of its backend server ended.
func (x *exchange) hasCrashed(a *plainAttempt) bool {
	return wasCutOff(a.err) && a.ctx.Err() == nil && x.d.hasEnded(a.ctx, a.server)
}

// wasCutOff reports whether an attempt failed before its backend server had responded in full. One that sends a malformed response still
// runs and can be reached.
func wasCutOff(err error) bool {
	var noResponse *backend.NoResponseError
	var malformed *http1.MalformedError
	return errors.As(err, &noResponse) && !errors.As(err, &malformed)
}

// UnusableError reports a response that must not be forwarded.
type UnusableError struct {
	Server string
	Status int
}

func (e *UnusableError) Error() string { return "unusable response from backend server " + e.Server }

// forwardRest forwards the part of the body that was not read ahead. A body of unknown length is limited, as it may never
// end.
func (o *bufferedResponse) forwardRest(w io.Writer) (err error) {
	defer func() {
		if err != nil {
			o.a.Distrust()
		}
	}()
	if o.a.Length >= 0 {
		_, err := io.Copy(w, o.a.Body)
		return err
	}
	n, err := io.Copy(w, io.LimitReader(o.a.Body, maxUnsizedBody+1))
	if err == nil && n > maxUnsizedBody {
		return &EndlessError{"a body is too large"}
	}
	return err
}

// forward forwards the response to the caller.
func (o *bufferedResponse) forward(x *exchange) {
	x.firstAt = time.Now()
	switch {
	case !o.tail:
		o.a.Length = int64(len(o.body))
	case sse.IsStream(o.a.Header):
		// With its length, a stream that ends inside an event would be complete for the caller.
		o.a.Length = -1
		o.a.Header.Del("Content-Length")
	}
	x.writeHeader(o.a)
	if x.r.Method == http.MethodHead {
		x.finish(o.a.Status, outcomeServed)
		return
	}
	_, err := x.w.Write(o.body)
	if o.tail {
		if err == nil {
			err = o.forwardRest(x.w)
		}
		o.done(err != nil)
	}
	if err != nil {
		x.countSlowCaller(err)
		x.breakOff(o.a.Status)
	}
	reason := outcomeServed
	if o.a.Status >= http.StatusInternalServerError {
		reason = "failed by its backend server"
	}
	x.finish(o.a.Status, reason)
}
