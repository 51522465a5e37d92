// Package dispatch gives requests a slot on a backend server.
//
// This first version knows the serving targets of each service and picks the one with the fewest requests of this
// daemon. It owns the count of its own requests per target.
package dispatch

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"flamingorudder.example/internal/note"
)

// Request is a request that wants a slot.
type Request struct {
	ID           string
	Service      string
	Rank         note.Rank
	Organisation string
	// Cost is the work in tokens: prompt and expected answer.
	Cost int
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
}

// Target is something that can run requests of a service: a model group, by its member 0, or a backend server of a
// plain service.
type Target struct {
	Service    string
	Group      string
	Generation uint64
	Addr       netip.AddrPort
	DataCentre string
	// Slots is how many requests the target runs at once.
	Slots int
}

// Refusal tells why a request gets no slot. The request was not run.
type Refusal struct {
	Reason string
	// RetryAfter is when to come back; 0 when waiting does not help.
	RetryAfter time.Duration
}

func (e *Refusal) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Result tells what became of a request on its slot.
type Result struct {
	Tokens int
	First  time.Duration
	Total  time.Duration
	Failed bool
}

// Slot is permission to send one request to a target. Release must be called once.
type Slot struct {
	Target  Target
	release func(Result)
}

// Release returns the slot.
func (s Slot) Release(r Result) { s.release(r) }

// Dispatcher gives slots. Its methods may be called from several goroutines.
type Dispatcher struct {
	mu      sync.Mutex
	targets map[string][]Target
	running map[string]int
}

// New returns a dispatcher without targets.
func New() *Dispatcher {
	return &Dispatcher{targets: map[string][]Target{}, running: map[string]int{}}
}

// SetTargets replaces the targets of all services.
func (d *Dispatcher) SetTargets(ts []Target) {
	m := map[string][]Target{}
	for _, t := range ts {
		m[t.Service] = append(m[t.Service], t)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = m
}

// Acquire waits for a slot. It fails with *Refusal.
func (d *Dispatcher) Acquire(_ context.Context, q Request) (Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *Target
	for i, t := range d.targets[q.Service] {
		if best == nil || d.running[t.Group] < d.running[best.Group] {
			best = &d.targets[q.Service][i]
		}
	}
	if best == nil {
		return Slot{}, &Refusal{Reason: "no group of the service is serving", RetryAfter: time.Second}
	}
	t := *best
	d.running[t.Group]++
	return Slot{Target: t, release: func(Result) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.running[t.Group]--; d.running[t.Group] == 0 {
			delete(d.running, t.Group)
		}
	}}, nil
}
