package entry

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/sse"
	"flamingorudder.example/internal/timer"
)

// plainSource finds places at the backend servers of a plain service.
type plainSource struct {
	serverChoice
}

func newPlainSource(s *forwardedStream) placeSource {
	return &plainSource{newServerChoice(s.x, s.svc)}
}

// take prefers servers that have not been tried. Beside other attempts it takes no others.
func (p *plainSource) take(ctx context.Context, underWay int, _ []string) (*reservation, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		servers, now, share := p.candidates()
		if err := p.rejection(now); err != nil {
			return nil, err
		}
		if p.x.d.paths.lost(p.x.service) {
			return nil, &PathLostError{p.x.service}
		}
		server := p.choose(servers, now, share, underWay > 0)
		if server != nil {
			if p.begin(now, server) {
				return newPlainPlace(p.x, server, now), nil
			}
			continue // its slot has been taken meanwhile
		}
		if underWay > 0 {
			return nil, &NoServerError{p.x.service}
		}
		wait, err := p.x.noServer(now, p.svc, servers, share)
		if err != nil {
			return nil, err
		}
		_ = timer.Wait(ctx, wait) // the end of ctx is looked at next
	}
}

// withoutEvidence returns none: the servers of a plain service are independent of each other.
func (p *plainSource) withoutEvidence(time.Duration) []string { return nil }

// mayTry also allows for servers that no request has lately failed to reach: each failure costs this daemon one connection.
func (p *plainSource) mayTry(unsent int) bool {
	if unsent < maxUnsent {
		return true
	}
	servers, now, _ := p.candidates()
	return slices.ContainsFunc(servers, func(s *roster.Server) bool { return !p.tried[s.ID] && !p.x.d.plainServers.avoided(s.ID, now) })
}

func (p *plainSource) priority() int { return -1 }

// isStream takes a response without a content type for a stream, as its route is for streams.
func (p *plainSource) isStream(r *backend.Response) bool {
	return r.Header.Get("Content-Type") == "" || sse.IsStream(r.Header)
}

// isAnswer reports whether a status is none of a failing server, so that others would respond with it too.
func (p *plainSource) isAnswer(status int) bool { return status < http.StatusInternalServerError }

// bounds allows for any stream of a known length, as for other responses of plain services.
func (p *plainSource) bounds(r *backend.Response) eventBounds {
	b := eventBounds{sinceID: maxUnsizedBody, partial: true, gaps: true}
	if r.Length >= 0 {
		b.sinceID = math.MaxInt64
	}
	return b
}

// plainPlace is the occupancy of a backend server of a plain service by one attempt. The server counts as silent when it has sent nothing
// for longer than the route allows.
type plainPlace struct {
	x      *exchange
	held   *reservation
	server *roster.Server
	sent   time.Time

	mu        sync.Mutex
	onSilence func()
	// waiting is set while the daemon waits for the server, not for the caller, since is when it began to do so. begun is set once the server
	// has sent an event.
	waiting, begun bool
	since          time.Time
	// stop stops the timer that looks for silence; it is nil once the place has been released.
	stop func()
}

func newPlainPlace(x *exchange, server *roster.Server, now time.Time) *reservation {
	r := &reservation{head: server, limit: x.patience()}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	p := &plainPlace{x: x, held: r, server: server, sent: now, waiting: true, since: now}
	r.occupancy = p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = timer.AfterFunc(p.patience(), p.check)
	return r
}

// patience returns how long the server may be silent. p.mu is held.
func (p *plainPlace) patience() time.Duration {
	if gap := p.x.route.Gap; p.begun && gap > 0 {
		return max(time.Duration(float64(gap)*attemptTimeoutFactor), probeTimeout)
	}
	return max(p.x.patience(), probeTimeout)
}

// check looks for silence. Where the route does not say when an event is due, silence is only a reason to ask whether there is a path.
func (p *plainPlace) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop == nil {
		return
	}
	left := p.patience()
	if p.waiting {
		left -= time.Since(p.since)
	}
	if left <= 0 {
		left = p.patience()
		p.x.d.paths.doubt(p.x.service)
		due := p.x.route.Objective
		if p.begun {
			due = p.x.route.Gap
		}
		if due > 0 || p.x.d.paths.lost(p.x.service) {
			p.held.silent.Store(true)
			p.x.d.plainServers.avoid(p.server.ID, time.Now())
			if p.onSilence != nil {
				p.onSilence()
			}
		}
	}
	p.stop = timer.AfterFunc(left, p.check)
}

func (p *plainPlace) watch(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onSilence = f
}

func (p *plainPlace) expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting { // the first wait began when the request was sent
		p.waiting, p.since = true, time.Now()
		p.held.silent.Store(false)
	}
}

func (p *plainPlace) progress() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting, p.begun = false, true
	p.held.silent.Store(false)
}

func (p *plainPlace) recordConnection(connected bool) {
	if !connected {
		p.x.d.plainServers.record(p.server.ID, true, false, time.Now())
	}
}

// recordRejection does nothing: a pause that a server asks for holds for all requests of the daemon (handleNotices).
func (p *plainPlace) recordRejection(time.Duration) {}

// reportLimit does nothing: there is no scheduler to tell.
func (p *plainPlace) reportLimit(balance.LimitNotice, time.Time) {}

func (p *plainPlace) recordOutcome(crashed bool) {
	if crashed {
		p.x.d.dispatch.recordPlainCrash(p.x.service, p.x.hash, p.server, p.sent)
		return
	}
	p.x.d.answered.add(p.x.hash, time.Now())
	p.x.d.plainServers.record(p.server.ID, false, false, time.Now())
}

func (p *plainPlace) reportFailure(err error) {
	var unusable *UnusableError
	failed := errors.As(err, &unusable) && unusable.Status != http.StatusMisdirectedRequest // by a server that goes on
	if failed {
		p.x.d.answered.add(p.x.hash, time.Now())
	}
	p.x.d.plainServers.record(p.server.ID, !failed, failed, time.Now())
}

func (p *plainPlace) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop == nil {
		return
	}
	p.stop()
	p.stop = nil
	p.x.d.plainServers.release(p.server.ID)
}
