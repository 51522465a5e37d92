package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// drain counts the requests in flight and knows whether the server is leaving. The zero value is ready.
type drain struct {
	mu      sync.Mutex
	left    bool
	running int
	// idle is closed when no request is in flight; it is nil while nobody waits.
	idle chan struct{}
}

// enter counts a request in and returns what counts it out.
func (d *drain) enter() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.running--; d.running == 0 && d.idle != nil {
			close(d.idle)
			d.idle = nil
		}
	}
}

func (d *drain) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left
}

// Drain marks the daemon as leaving. It goes on accepting requests, but its list of addresses no longer names it, it
// reports that it is not ready, and each response closes its connection.
func (s *Server) Drain() {
	s.drain.mu.Lock()
	before := s.drain.left
	s.drain.left = true
	s.drain.mu.Unlock()
	if !before {
		s.Log.Add(timeline.Event{Kind: timeline.ProcessDraining})
	}
}

// Hold waits until every answer that names this daemon has run out. spread is the time that other daemons take to
// notice that it is leaving; their answers may name it until then.
func (s *Server) Hold(ctx context.Context, spread time.Duration) error {
	_, hold := s.Addresses.Addresses()
	return timer.Wait(ctx, hold+spread)
}

// Wait returns when no request is in flight, or with the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	s.drain.mu.Lock()
	if s.drain.running == 0 {
		s.drain.mu.Unlock()
		return nil
	}
	if s.drain.idle == nil {
		s.drain.idle = make(chan struct{})
	}
	idle := s.drain.idle
	s.drain.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) addresses(w http.ResponseWriter, _ *http.Request, _ request) error {
	all, hold := s.Addresses.Addresses()
	list := []netip.AddrPort{}
	for _, a := range all {
		if a != s.Self || !s.drain.leaving() {
			list = append(list, a)
		}
	}
	w.Header().Set(HeaderOutcome, string(Run))
	reply(w, http.StatusOK, map[string]any{"addresses": list, "hold_seconds": int(hold.Seconds())})
	return nil
}

// Spread orders addresses for a caller: those near the daemon first and the others after them, each part in random
// order, so that callers do not all begin with the same daemon.
func Spread(near, far []netip.AddrPort) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(near)+len(far))
	for _, part := range [][]netip.AddrPort{near, far} {
		from := len(list)
		list = append(list, part...)
		part = list[from:]
		rand.Shuffle(len(part), func(i, k int) { part[i], part[k] = part[k], part[i] })
	}
	return list
}
