// Package dispatch gives requests a slot on a backend server.
//
// A Core decides for one service: it combines the admission queue, the choice of a group and the caps that this daemon
// holds of each group. A Dispatcher runs one core per service, each on a goroutine of its own that is fed by bounded
// rings, so that a flood of one service doesn't delay another.
package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/placement"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timer"
)

// Request is a request that wants a slot.
type Request struct {
	ID           string
	Service      string
	Rank         note.Rank
	Organisation string
	// Cost is the work in tokens: prompt and expected answer.
	Cost int
	// Output is the part of Cost that is the expected answer; 0 if not known, then all of it is taken for the answer.
	Output int
	// Prefix holds the hashes of the prompt's prefixes at growing lengths, shortest first; nil if there are none.
	Prefix []uint64
	// Avoid holds the targets that must not be chosen again because they failed this request.
	Avoid []Tried
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
}

// Tried names a generation of a target.
type Tried struct {
	Group      string
	Generation uint64
}

// Target is something that can run requests of a service: a model group, by its member 0, or a backend server of a
// plain service.
type Target struct {
	Service    string
	Group      string
	Generation uint64
	Addr       netip.AddrPort
	// Instance is the id of the instance at Addr; empty if not known.
	Instance   string
	DataCentre string
	// Slots is how many requests the target runs at once.
	Slots int
	// Fixed is whether this daemon may use all slots without a grant, as with backend servers of plain services.
	Fixed bool
}

func (t Target) tried() Tried { return Tried{t.Group, t.Generation} }

// Refusal tells why a request gets no slot. The request was not run.
type Refusal = admission.Refusal

// Result tells what became of a request on its slot.
type Result struct {
	// Tokens is the length of the answer; 0 if not known or not counted.
	Tokens int
	// First is the time from the slot to the first token, Total to the end. A Total of 0 stands for the time that the
	// slot was held.
	First  time.Duration
	Total  time.Duration
	Failed bool
	// Unreachable is whether no connection to the target could be opened. Failed is set then too.
	Unreachable bool
}

// Slot is permission to send one request to a target. Release must be called once.
type Slot struct {
	Target Target
	// Priority is the request's priority at an engine, 0 the most urgent.
	Priority int
	began    func()
	release  func(Result)
}

// Began tells that the first token has arrived.
func (s Slot) Began() { s.began() }

// Release returns the slot.
func (s Slot) Release(r Result) { s.release(r) }

// Options are the parameters of a dispatcher.
type Options struct {
	// Daemon and DataCentre tell where it runs.
	Daemon, DataCentre string
	// Local gives every group its slots as a fixed cap, without grants. For daemons that don't share groups.
	Local bool
	// Report sends demands to the daemons that they name. It is called on the goroutine of a service and must not block.
	// nil drops demands.
	Report func([]share.Report)
	// Size is the number of requests that the ring of each service holds; 0 for 1024.
	Size int
}

// ringSize holds a fifth of a second of the requests of a daemon that receives the whole peak of 5,700 requests/s.
const ringSize = 1024

// Dispatcher gives slots. Its methods may be called from several goroutines.
type Dispatcher struct {
	opts   Options
	keys   atomic.Uint64
	duties errgroup.Group
	closed chan struct{}

	mu       sync.Mutex
	stopped  bool
	services map[string]*service
	// owner is the service of each group.
	owner map[string]*service
	cfg   note.Config
}

// New returns a dispatcher without targets and a function that stops it and waits for its goroutines. Requests that
// wait are then refused.
func New(o Options) (*Dispatcher, func()) {
	if o.Size <= 0 {
		o.Size = ringSize
	}
	d := &Dispatcher{opts: o, closed: make(chan struct{}), services: map[string]*service{}, owner: map[string]*service{}}
	return d, func() {
		d.mu.Lock()
		if !d.stopped {
			d.stopped = true
			close(d.closed)
		}
		d.mu.Unlock()
		_ = d.duties.Wait()
	}
}

// service is the duty that serves one service.
type service struct {
	core   *Core
	report func([]share.Report)
	closed chan struct{}
	// requests holds what callers send; orders holds what a flood must neither delay nor crowd out: ends of requests,
	// grants, revocations, targets.
	requests *ring.Queue[Message]
	orders   *ring.Queue[Message]
	wake     chan struct{}
	// armed is when the timer fires; zero when it is not set.
	armed  time.Time
	disarm func()

	mu sync.Mutex
	// waiters holds the calls of Acquire without an answer. Whoever takes one out of the map decides its outcome.
	waiters map[uint64]chan<- Action
}

// service returns the duty of a service and starts it if it is new; nil when the dispatcher has stopped.
func (d *Dispatcher) service(name string) *service {
	if s := d.services[name]; s != nil || d.stopped {
		return s
	}
	s := &service{
		core: NewCore(d.opts.Daemon, d.opts.DataCentre, rand.Uint64()), report: d.opts.Report, closed: d.closed,
		requests: ring.NewQueue[Message](d.opts.Size), orders: ring.NewQueue[Message](d.opts.Size),
		wake: make(chan struct{}, 1), disarm: func() {}, waiters: map[uint64]chan<- Action{},
	}
	d.services[name] = s
	if d.cfg.Revision > 0 {
		s.orders.Offer(configured(d.cfg, name))
	}
	d.duties.Go(s.run)
	return s
}

// SetTargets replaces the targets of all services. homes holds, by group, the daemons to ask for slots, in order.
func (d *Dispatcher) SetTargets(ts []Target, homes map[string][]string) {
	lists := map[string][]Target{}
	for _, t := range ts {
		t.Fixed = t.Fixed || d.opts.Local
		lists[t.Service] = append(lists[t.Service], t)
	}
	d.mu.Lock()
	clear(d.owner)
	for name := range lists {
		d.service(name)
	}
	for _, t := range ts {
		d.owner[t.Group] = d.services[t.Service]
	}
	services := maps.Clone(d.services)
	d.mu.Unlock()
	for name, s := range services {
		s.order(Targets{lists[name], homes})
	}
}

// Configure sets the organisations and floors of all services.
func (d *Dispatcher) Configure(c note.Config) {
	d.mu.Lock()
	d.cfg = c
	services := maps.Clone(d.services)
	d.mu.Unlock()
	for name, s := range services {
		s.order(configured(c, name))
	}
}

func configured(c note.Config, service string) Configured {
	m := Configured{Revision: c.Revision, Organisations: c.OrganisationNames(), Floors: c.Floors(service), Limits: map[string]admission.Limit{}}
	for name, o := range c.Organisations {
		m.Limits[name] = admission.Limit{Weight: o.Weight, MaxWaitingCost: o.Queue}
	}
	return m
}

// Grant takes in a grant from a home.
func (d *Dispatcher) Grant(from string, g share.Grant) { d.tell(g.Group, Granted{from, g}) }

// Withdraw takes in a home's word that it lends a generation of a group no more.
func (d *Dispatcher) Withdraw(from string, w share.Withdrawn) { d.tell(w.Group, Withdrawn{from, w}) }

// Proved tells that this daemon's own probe found every member of a generation of a group present.
func (d *Dispatcher) Proved(group string, generation uint64, at time.Time) {
	d.tell(group, Proved{group, generation, at})
}

// Loaded takes in a load report of a group.
func (d *Dispatcher) Loaded(group string, l placement.Load) { d.tell(group, Loaded{group, l}) }

// Cached takes in cache events of a group.
func (d *Dispatcher) Cached(c Cached) { d.tell(c.Group, c) }

// tell hands a message to the service that has the group.
func (d *Dispatcher) tell(group string, m Message) {
	d.mu.Lock()
	s := d.owner[group]
	d.mu.Unlock()
	if s != nil {
		s.order(m)
	}
}

// Revoke stops the use of a generation of a group for good. All services are told, since a list of targets may lack the
// group for a moment and name it again later.
func (d *Dispatcher) Revoke(group string, generation uint64) {
	d.mu.Lock()
	services := maps.Clone(d.services)
	d.mu.Unlock()
	for _, s := range services {
		s.order(Revoked{group, generation})
	}
}

// Acquire waits for a slot. It fails with *Refusal; then the request was not run and won't be.
func (d *Dispatcher) Acquire(ctx context.Context, q Request) (Slot, error) {
	d.mu.Lock()
	s, stopped := d.services[q.Service], d.stopped
	d.mu.Unlock()
	switch {
	case stopped:
		return Slot{}, stopping()
	case s == nil:
		return Slot{}, &Refusal{Kind: admission.NoTarget, Reason: "no group of the service is serving", RetryAfter: time.Second}
	case ctx.Err() != nil:
		return Slot{}, left(ctx)
	}
	key := d.keys.Add(1)
	answer := make(chan Action, 1)
	s.mu.Lock()
	s.waiters[key] = answer
	s.mu.Unlock()
	if !s.requests.Offer(Submit{key, q}) {
		s.take(key)
		return Slot{}, &Refusal{Kind: admission.BufferFull, Reason: "the daemon receives requests of the service faster than it can queue them", RetryAfter: time.Second}
	}
	select {
	case a := <-answer:
		if a.Verb == Refuse {
			return Slot{}, a.Refusal
		}
		start := time.Now()
		return Slot{Target: a.Target, Priority: a.Priority, began: func() { s.order(Began{key}) }, release: func(r Result) {
			if r.Total <= 0 {
				r.Total = time.Since(start)
			}
			s.order(Done{key, r})
		}}, nil
	case <-d.closed:
		return Slot{}, stopping()
	case <-ctx.Done():
	}
	if s.take(key) != nil {
		s.requests.Put(d.closed, Withdraw{key})
	} else if a := <-answer; a.Verb == Start {
		s.order(Done{key, Result{Failed: true}}) // The slot came at the same moment; it goes back unused.
	}
	return Slot{}, left(ctx)
}

func left(ctx context.Context) *Refusal {
	return &Refusal{Kind: admission.CallerLeft, Reason: "the caller left before the request started", Cause: context.Cause(ctx)}
}

func stopping() *Refusal {
	return &Refusal{Kind: admission.Stopped, Reason: "the daemon is stopping; use another address", RetryAfter: time.Second}
}

func (s *service) order(m Message) { s.orders.Put(s.closed, m) }

// take removes a call of Acquire; nil if it is not there any more.
func (s *service) take(key uint64) chan<- Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiters[key]
	delete(s.waiters, key)
	return w
}

// run is the goroutine of the service. Orders go before requests.
func (s *service) run() error {
	defer func() { s.disarm() }()
	for {
		var m Message
		select {
		case m = <-s.orders.C():
		default:
			select {
			case <-s.closed:
				return nil
			case m = <-s.orders.C():
			case m = <-s.requests.C():
			case <-s.wake:
				s.armed, m = time.Time{}, Tick{}
			}
		}
		s.step(m)
	}
}

func (s *service) step(m Message) {
	now := time.Now()
	var unused []uint64
	var reports []share.Report
	for _, a := range s.core.Step(now, m) {
		switch a.Verb {
		case Start, Refuse:
			if w := s.take(a.Key); w != nil {
				w <- a
			} else if a.Verb == Start {
				unused = append(unused, a.Key)
			}
		case Report:
			reports = append(reports, a.Report)
		case Cancel: // Only a request that no call of Acquire waits for is withdrawn, and a slot for it goes back below.
		}
	}
	if len(reports) > 0 && s.report != nil {
		s.report(reports)
	}
	for _, k := range unused {
		s.step(Done{k, Result{Failed: true}})
	}
	next, ok := s.core.Next()
	if !ok || !s.armed.IsZero() && !next.Before(s.armed) {
		return
	}
	s.disarm()
	s.armed = next
	s.disarm = timer.AfterFunc(max(0, next.Sub(now)), func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
}
