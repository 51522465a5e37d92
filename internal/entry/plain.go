package entry

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
)

const (
	// attemptTimeoutFactor times the latency objective is the timeout of an attempt, after which a safe request is retried
	// at another backend server.
	attemptTimeoutFactor = 1.5
	// minServerBackoff and maxServerBackoff are the first and the longest time for which a backend server that gave no
	// response is avoided; the time doubles with each failure in a row.
	minServerBackoff = 500 * time.Millisecond
	maxServerBackoff = 4 * time.Second
	// failingRate is the failure rate above which a backend server is used only as a last resort.
	failingRate = 0.3
)

// serverHealth is the health of a plain backend server as this daemon observes it from its own requests.
type serverHealth struct {
	inFlight int
	// avoidUntil is when the backend server may be used again. backoff is the length of the last such period.
	avoidUntil time.Time
	backoff    time.Duration
	// failures is the failure rate, an exponentially weighted moving average.
	failures float64
}

// healthTable holds the health of all plain backend servers, by id.
type healthTable struct {
	mu      sync.Mutex
	servers map[string]*serverHealth
}

// failureWeight is the weight of the latest result in the moving average of failures.
const failureWeight = 0.1

// choose returns the backend server with the lowest score, which is mostly its relative load. Failing backend servers and
// those already tried score worse. Those for which usable is false are excluded.
func (s *healthTable) choose(servers []*roster.Server, usable func(*roster.Server) bool, tried map[string]bool, dc string, now time.Time) *roster.Server {
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
			if st.failures > failingRate {
				score += 10 * st.failures
			}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.servers[id]
	st.inFlight--
	st.failures *= 1 - failureWeight
	if lost || failed {
		st.failures += failureWeight
	}
	if lost {
		st.backoff = min(max(st.backoff*2, minServerBackoff), maxServerBackoff)
		st.avoidUntil = now.Add(st.backoff)
	} else {
		st.backoff = 0
	}
}

// NoServerError reports that a service has no backend server that can be used.
type NoServerError struct{ Service string }

func (e *NoServerError) Error() string { return "no usable backend server for service " + e.Service }

// servePlain serves a request to a plain service, one that runs no models.
func (x *exchange) servePlain(ctx context.Context, svc *route.Service) {
	tried := map[string]bool{}
	limit := x.d.connectionLimit(svc)
	waiting, stopWaiting := x.untilClosing(ctx)
	defer stopWaiting()
	var last error
	var answer *bufferedResponse
	for unsent := 0; unsent < maxUnsent && ctx.Err() == nil; {
		servers, now := x.d.view.Load().Services[x.service], time.Now()
		share := 1 / float64(x.d.fleetSize(now)) // of a limit, as callers spread over all daemons
		usable := func(s *roster.Server) bool { return x.d.usableFrom(now, s, share).IsZero() }
		server := x.d.plainServers.choose(servers, usable, tried, x.d.settings().DataCentre, now)
		if server == nil {
			wait, err := x.noServer(now, servers, share)
			if wait > 0 && timer.Wait(waiting, wait) == nil {
				continue
			}
			last = err
			break
		}
		if !x.allowAttempt(0) {
			break
		}
		if !x.d.pauses.Admit(now, server.ID) {
			continue // another request is already probing whether the pause is over
		}
		x.d.limits.Take(server.ID)
		before := x.attempts
		out, err := x.tryPlain(ctx, server, limit)
		tried[server.ID] = true
		if out != nil {
			answer = out
			if out.a.Status < http.StatusInternalServerError {
				break
			}
		}
		if err != nil {
			last = err
		}
		if x.attempts == before {
			unsent++
		}
		if out != nil && !x.route.Repeatable() {
			break
		}
	}
	if answer != nil && x.r.Context().Err() == nil {
		answer.forward(x)
		return
	}
	x.respondFailure(ctx, last)
}

// usableFrom returns when a plain backend server may be sent a request, or zero if it may be now. share is the part of its
// limit that this daemon may use.
func (d *Daemon) usableFrom(now time.Time, s *roster.Server, share float64) time.Time {
	if until := d.pauses.Until(now, s.ID); !until.IsZero() {
		return until
	}
	return d.limits.Next(now, s.ID, s.Born, share)
}

// noServer is called when no backend server of a plain service can be used now. It returns how long to wait for one, or zero
// with an error if the request would become late: then the caller is told when to retry.
func (x *exchange) noServer(now time.Time, servers []*roster.Server, share float64) (wait time.Duration, err error) {
	if len(servers) == 0 {
		return 0, &NoServerError{x.service}
	}
	first := x.deadline
	for _, s := range servers {
		from := x.d.usableFrom(now, s, share)
		if from.IsZero() {
			return dispatchPeriod, nil // the answer to another request has ended its pause meanwhile
		}
		if from.Before(first) {
			first = from
		}
	}
	if first.Before(x.start.Add(x.route.Objective / 2)) {
		return first.Sub(now), nil
	}
	return 0, &RejectedError{max(first.Sub(now), 0), "all backend servers asked for a pause or are at their limit"}
}

// connectionLimit returns this daemon's share of the connections that a backend server of a service accepts, or zero if
// there is no limit.
func (d *Daemon) connectionLimit(svc *route.Service) int {
	if svc == nil || svc.MaxConnections <= 0 {
		return 0
	}
	return max(svc.MaxConnections/d.fleetSize(time.Now()), 1)
}

// maxUnsent bounds the attempts for one request that cannot reach their backend server.
const maxUnsent = 4

// bufferedResponse is a response whose body has been read ahead, completely unless tail is set.
type bufferedResponse struct {
	a    *backend.Response
	body []byte
	// tail is set if the body is larger than the part that is read ahead.
	tail bool
	done func(lost bool)
}

// tryPlain sends the request to one backend server and reads the response.
func (x *exchange) tryPlain(ctx context.Context, server *roster.Server, limit int) (*bufferedResponse, error) {
	tryCtx, cancel := ctx, context.CancelFunc(func() {})
	if x.route.Kind == route.Safe && x.attempts+1 < x.route.MaxAttempts && x.route.Objective > 0 {
		tryCtx, cancel = context.WithTimeout(ctx, time.Duration(float64(x.route.Objective)*attemptTimeoutFactor))
	}
	x.d.plainServers.begin(server.ID)
	sent := time.Now()
	a, err := x.d.pool.Do(tryCtx, server, x.buildRequest(server, -1, ""), limit)
	notices, ran := "", true
	if err == nil {
		notices, ran = x.d.handleNotices(server, a), !a.NotExecuted
	}
	x.recordAttempt(server, "", err, a, notices)
	if err != nil {
		cancel()
		x.d.plainServers.end(server.ID, x.r.Context().Err() == nil, false, time.Now())
		return nil, err
	}
	x.d.observeLimit(server, a, sent)
	end := func(lost bool) {
		a.Close()
		cancel()
		x.d.plainServers.end(server.ID, lost && x.r.Context().Err() == nil, a.Status >= http.StatusInternalServerError && ran, time.Now())
	}
	if !ran || !forwardable(a) {
		_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxReadAhead))
		end(err != nil || a.Status == http.StatusMisdirectedRequest) // another backend server has the address
		return nil, &UnusableError{server.ID, a.Status}
	}
	out := &bufferedResponse{a: a, done: end}
	out.body, err = io.ReadAll(io.LimitReader(a.Body, maxReadAhead+1))
	out.tail = len(out.body) > maxReadAhead
	if err != nil {
		end(true)
		x.attemptLog[len(x.attemptLog)-1] += ", broken off"
		return nil, &backend.NoResponseError{Server: server.ID, Err: err}
	}
	if !out.tail {
		end(false)
	}
	return out, nil
}

// UnusableError reports a response that must not be forwarded.
type UnusableError struct {
	Server string
	Status int
}

func (e *UnusableError) Error() string { return "unusable response from backend server " + e.Server }

// forwardRest forwards the part of the body that was not read ahead. A body of unknown length is limited, as it may never
// end.
func (o *bufferedResponse) forwardRest(w io.Writer) error {
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
	if !o.tail {
		o.a.Length = int64(len(o.body))
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
		x.finish(o.a.Status, "broken off")
		panic(http.ErrAbortHandler)
	}
	reason := outcomeServed
	if o.a.Status >= http.StatusInternalServerError {
		reason = "failed by its backend server"
	}
	x.finish(o.a.Status, reason)
}
