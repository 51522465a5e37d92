package balance

import (
	"maps"
	"sync"
	"time"
)

// Pauses tracks the backend servers that rejected a request and asked for a pause.
//
// # Load pattern
//
// A backend server that sheds load asks every daemon for about the same pause. If all daemons returned at its end
// with all their waiting requests, the server would shed load again. So each daemon adds random jitter to the pause,
// sends a single probe request first, and sends the others only after the probe has been answered.
//
// Pauses is safe for concurrent use.
type Pauses struct {
	mu      sync.Mutex
	servers map[string]*pause
}

// pause is the pause of one backend server.
type pause struct {
	until time.Time
	// probeUntil is when the wait for the answer to the probe request ends; zero without a probe.
	probeUntil time.Time
}

const (
	// pauseJitter is the largest fraction added to a pause, so that daemons return one after the other.
	pauseJitter = 0.2
	// probeTimeout is how long an unanswered probe holds back other requests. Most first events arrive sooner, and a
	// later one is a reason not to send more.
	probeTimeout = time.Second
	// pauseRetention is how long an expired pause is kept if no request probes the backend server.
	pauseRetention = time.Minute
)

// NewPauses returns an empty set.
func NewPauses() *Pauses { return &Pauses{servers: map[string]*pause{}} }

// Start records that a backend server asked for a pause of d. random returns numbers in [0, 1). Start reports whether
// the backend server was in use until now.
func (p *Pauses) Start(now time.Time, id string, d time.Duration, random func() float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(d + time.Duration(float64(d)*pauseJitter*random()))
	o := p.servers[id]
	if o == nil {
		o = &pause{}
		p.servers[id] = o
	}
	usable := !now.Before(o.until)
	// A later answer may ask for a shorter pause: answers to requests sent at the same time arrive in any order.
	if until.After(o.until) {
		o.until = until
	}
	o.probeUntil = time.Time{}
	maps.DeleteFunc(p.servers, func(_ string, o *pause) bool { return now.Sub(o.until) > pauseRetention })
	return usable
}

// Usable reports whether a backend server may be sent a request now.
func (p *Pauses) Usable(now time.Time, id string) bool { return p.Until(now, id).IsZero() }

// Until returns when a backend server may next be sent a request, or zero if it may be now.
func (p *Pauses) Until(now time.Time, id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[id].blockedUntil(now)
}

// blockedUntil returns when the pause or the wait for its probe ends, or zero if neither blocks.
func (o *pause) blockedUntil(now time.Time) time.Time {
	switch {
	case o == nil:
	case now.Before(o.until):
		return o.until
	case now.Before(o.probeUntil):
		return o.probeUntil
	}
	return time.Time{}
}

// Admit reports whether a request may be sent to a backend server now. After a pause it admits one request, as the
// probe.
func (p *Pauses) Admit(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.servers[id]
	if o == nil {
		return true
	}
	if !o.blockedUntil(now).IsZero() {
		return false
	}
	o.probeUntil = now.Add(probeTimeout)
	return true
}

// Answered records an answer that asked for no pause. Answers to requests that were sent before the pause do not end
// it early.
func (p *Pauses) Answered(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.servers[id]; o != nil && !now.Before(o.until) {
		delete(p.servers, id)
	}
}
