// Package dispatch assigns requests to slots on backend servers.
//
// A Core decides for one service: it combines the admission queue, the choice of a group and the caps that were granted
// to this daemon for each group. A Dispatcher runs one core per service, each on its own goroutine with bounded input
// queues, so that a burst of requests for one service doesn't delay another.
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

// Request describes a request that needs a slot.
type Request struct {
	ID           string
	Service      string
	Rank         note.Rank
	Organisation string
	// Cost is the estimated work in tokens: the prompt and the expected answer.
	Cost int
	// OutputTokens is the part of Cost that is the expected answer. If it is 0 (unknown), all of Cost counts as the
	// answer.
	OutputTokens int
	// Prefix holds the hashes of prefixes of the prompt, shortest first; nil if there are none.
	Prefix []uint64
	// Avoid holds the targets that must not be chosen because they have already failed this request.
	Avoid []TargetID
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
}

// TargetID identifies a generation of a target.
type TargetID struct {
	Group      string
	Generation uint64
}

// Target can run requests of a service: a model group, which is addressed through its member 0, or a backend server of
// a plain service.
type Target struct {
	Service    string
	Group      string
	Generation uint64
	Addr       netip.AddrPort
	// Instance is the ID of the instance at Addr; empty if unknown.
	Instance   string
	DataCentre string
	// Slots is the number of requests that the target can run concurrently.
	Slots int
	// FixedSlots is whether this daemon may always use all slots, without a grant, as with backend servers of plain
	// services.
	FixedSlots bool
}

func (t Target) id() TargetID { return TargetID{t.Group, t.Generation} }

// Refusal is the error for a request that got no slot and was not run.
type Refusal = admission.Refusal

// Result is the outcome of a request that had a slot.
type Result struct {
	// Tokens is the length of the answer; 0 if unknown or not counted.
	Tokens int
	// TimeToFirstToken is the time from the start to the first token, Total that to the end. If Total is 0, the time for
	// which the slot was held is used.
	TimeToFirstToken time.Duration
	Total            time.Duration
	Failed           bool
	// Unreachable is whether no connection to the target could be opened; it implies Failed.
	Unreachable bool
}

// Slot permits sending one request to a target. Release must be called exactly once.
type Slot struct {
	Target Target
	// Priority is the priority of the request at the engine; 0 is the most urgent.
	Priority     int
	onFirstToken func()
	onRelease    func(Result)
}

// RecordFirstToken records that the first token has arrived.
func (s Slot) RecordFirstToken() { s.onFirstToken() }

// Release returns the slot and records the outcome of its request.
func (s Slot) Release(r Result) { s.onRelease(r) }

// Options are the parameters of a dispatcher.
type Options struct {
	// Daemon is the name of this daemon, DataCentre its location.
	Daemon, DataCentre string
	// FixedSlots lets this daemon use all slots of every group without grants, for deployments that don't share groups
	// between daemons.
	FixedSlots bool
	// SendDemands sends demands to the daemons that they name. It is called on the goroutine of a service and must not
	// block. If it is nil, demands are dropped.
	SendDemands func([]share.Report)
	// QueueSize is the capacity of the input queue of each service, in requests; 0 selects 1024.
	QueueSize int
}

// defaultQueueSize holds the requests of a fifth of a second if one daemon receives the entire peak of 5,700
// requests/s.
const defaultQueueSize = 1024

// Dispatcher assigns slots. Its methods are safe for concurrent use.
type Dispatcher struct {
	opts        Options
	lastKey     atomic.Uint64
	workerGroup errgroup.Group
	closed      chan struct{}

	mu        sync.Mutex
	stopped   bool
	byService map[string]*worker
	// workerOf holds the worker of each group.
	workerOf map[string]*worker
	cfg      note.Config
}

// New returns a dispatcher without targets and a function that stops it and waits for its goroutines. Stopping refuses
// all waiting requests.
func New(o Options) (*Dispatcher, func()) {
	if o.QueueSize <= 0 {
		o.QueueSize = defaultQueueSize
	}
	d := &Dispatcher{opts: o, closed: make(chan struct{}), byService: map[string]*worker{}, workerOf: map[string]*worker{}}
	return d, func() {
		d.mu.Lock()
		if !d.stopped {
			d.stopped = true
			close(d.closed)
		}
		d.mu.Unlock()
		_ = d.workerGroup.Wait()
	}
}

// worker runs the core of one service.
type worker struct {
	core   *Core
	report func([]share.Report)
	closed chan struct{}
	// requests holds messages from callers. control holds messages that a burst of requests must neither delay nor
	// displace: ends of requests, grants, revocations, targets.
	requests *ring.Queue[Message]
	control  *ring.Queue[Message]
	wake     chan struct{}
	// timerAt is when the timer fires; zero if it is not set.
	timerAt   time.Time
	stopTimer func()

	mu sync.Mutex
	// waiters holds the pending calls of Acquire. Whoever removes one from the map determines its outcome.
	waiters map[uint64]chan<- Action
}

// workerFor returns the worker of a service and starts it if necessary. It returns nil if there is none and the
// dispatcher has stopped.
func (d *Dispatcher) workerFor(name string) *worker {
	if w := d.byService[name]; w != nil || d.stopped {
		return w
	}
	w := &worker{
		core: NewCore(d.opts.Daemon, d.opts.DataCentre, rand.Uint64()), report: d.opts.SendDemands, closed: d.closed,
		requests: ring.NewQueue[Message](d.opts.QueueSize), control: ring.NewQueue[Message](d.opts.QueueSize),
		wake: make(chan struct{}, 1), stopTimer: func() {}, waiters: map[uint64]chan<- Action{},
	}
	d.byService[name] = w
	if d.cfg.Revision > 0 {
		w.control.Offer(newConfigured(d.cfg, name))
	}
	d.workerGroup.Go(w.run)
	return w
}

// SetTargets replaces the targets of all services. homes holds the daemons to ask for slots, by group and in order of
// preference.
func (d *Dispatcher) SetTargets(ts []Target, homes map[string][]string) {
	lists := map[string][]Target{}
	for _, t := range ts {
		t.FixedSlots = t.FixedSlots || d.opts.FixedSlots
		lists[t.Service] = append(lists[t.Service], t)
	}
	d.mu.Lock()
	clear(d.workerOf)
	for name := range lists {
		d.workerFor(name)
	}
	for _, t := range ts {
		d.workerOf[t.Group] = d.byService[t.Service]
	}
	workers := maps.Clone(d.byService)
	d.mu.Unlock()
	for name, w := range workers {
		w.sendControl(Targets{lists[name], homes})
	}
}

// Configure applies the limits of organisations and the floors to all services.
func (d *Dispatcher) Configure(c note.Config) {
	d.mu.Lock()
	d.cfg = c
	workers := maps.Clone(d.byService)
	d.mu.Unlock()
	for name, w := range workers {
		w.sendControl(newConfigured(c, name))
	}
}

func newConfigured(c note.Config, service string) Configured {
	m := Configured{Revision: c.Revision, Organisations: c.OrganisationNames(), Floors: c.Floors(service), Limits: map[string]admission.Limit{}}
	for name, o := range c.Organisations {
		m.Limits[name] = admission.Limit{Weight: o.Weight, MaxWaitingCost: o.QueueLimit}
	}
	return m
}

// Grant processes a grant from the home daemon of a group.
func (d *Dispatcher) Grant(from string, g share.Grant) { d.sendToGroup(g.Group, Granted{from, g}) }

// Withdraw processes the notice of a home daemon that its grants for a generation of a group are no longer valid.
func (d *Dispatcher) Withdraw(from string, w share.Withdrawn) {
	d.sendToGroup(w.Group, GrantWithdrawn{from, w})
}

// ConfirmPresence records that probes of this daemon found every member of a generation of a group present at the time
// at.
func (d *Dispatcher) ConfirmPresence(group string, generation uint64, at time.Time) {
	d.sendToGroup(group, PresenceConfirmed{group, generation, at})
}

// UpdateLoad processes a load report of a group.
func (d *Dispatcher) UpdateLoad(group string, l placement.Load) {
	d.sendToGroup(group, LoadReported{group, l})
}

// UpdateCache processes prefix cache events of a group.
func (d *Dispatcher) UpdateCache(c CacheUpdated) { d.sendToGroup(c.Group, c) }

// sendToGroup sends a message to the worker of a group, if there is one.
func (d *Dispatcher) sendToGroup(group string, m Message) {
	d.mu.Lock()
	w := d.workerOf[group]
	d.mu.Unlock()
	if w != nil {
		w.sendControl(m)
	}
}

// Revoke permanently stops the use of a generation of a group. It is sent to all services, since the group may be
// missing from the current targets and return with a later list.
func (d *Dispatcher) Revoke(group string, generation uint64) {
	d.mu.Lock()
	workers := maps.Clone(d.byService)
	d.mu.Unlock()
	for _, w := range workers {
		w.sendControl(Revoked{group, generation})
	}
}

// Acquire waits for a slot. Its error is always a *Refusal; the request then has not run and will not.
func (d *Dispatcher) Acquire(ctx context.Context, q Request) (Slot, error) {
	d.mu.Lock()
	w, stopped := d.byService[q.Service], d.stopped
	d.mu.Unlock()
	switch {
	case stopped:
		return Slot{}, stoppingRefusal()
	case w == nil:
		return Slot{}, &Refusal{Kind: admission.NoTarget, Reason: "no group of the service is serving", RetryAfter: time.Second}
	case ctx.Err() != nil:
		return Slot{}, callerLeftRefusal(ctx)
	}
	key := d.lastKey.Add(1)
	answer := make(chan Action, 1)
	w.mu.Lock()
	w.waiters[key] = answer
	w.mu.Unlock()
	if !w.requests.Offer(Submit{key, q}) {
		w.removeWaiter(key)
		return Slot{}, &Refusal{Kind: admission.BufferFull, Reason: "the daemon receives requests of the service faster than it can queue them", RetryAfter: time.Second}
	}
	select {
	case a := <-answer:
		if a.Kind == Refuse {
			return Slot{}, a.Refusal
		}
		start := time.Now()
		return Slot{Target: a.Target, Priority: a.Priority, onFirstToken: func() { w.sendControl(FirstToken{key}) }, onRelease: func(r Result) {
			if r.Total <= 0 {
				r.Total = time.Since(start)
			}
			w.sendControl(Done{key, r})
		}}, nil
	case <-d.closed:
		return Slot{}, stoppingRefusal()
	case <-ctx.Done():
	}
	if w.removeWaiter(key) != nil {
		w.requests.Put(d.closed, CallerLeft{key})
	} else if a := <-answer; a.Kind == Start {
		w.sendControl(Done{key, Result{Failed: true}}) // The slot was assigned concurrently; return it unused.
	}
	return Slot{}, callerLeftRefusal(ctx)
}

func callerLeftRefusal(ctx context.Context) *Refusal {
	return &Refusal{Kind: admission.CallerLeft, Reason: "the caller left before the request started", Cause: context.Cause(ctx)}
}

func stoppingRefusal() *Refusal {
	return &Refusal{Kind: admission.Stopped, Reason: "the daemon is stopping; use another address", RetryAfter: time.Second}
}

func (w *worker) sendControl(m Message) { w.control.Put(w.closed, m) }

// removeWaiter removes and returns a pending call of Acquire, or returns nil if there is none.
func (w *worker) removeWaiter(key uint64) chan<- Action {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiter := w.waiters[key]
	delete(w.waiters, key)
	return waiter
}

// run is the goroutine of the worker. It processes control messages before requests.
func (w *worker) run() error {
	defer func() { w.stopTimer() }()
	for {
		var m Message
		select {
		case m = <-w.control.C():
		default:
			select {
			case <-w.closed:
				return nil
			case m = <-w.control.C():
			case m = <-w.requests.C():
			case <-w.wake:
				w.timerAt, m = time.Time{}, Tick{}
			}
		}
		w.step(m)
	}
}

func (w *worker) step(m Message) {
	now := time.Now()
	var unused []uint64
	var reports []share.Report
	for _, a := range w.core.Step(now, m) {
		switch a.Kind {
		case Start, Refuse:
			if waiter := w.removeWaiter(a.Key); waiter != nil {
				waiter <- a
			} else if a.Kind == Start {
				unused = append(unused, a.Key)
			}
		case Report:
			reports = append(reports, a.Report)
		case Cancel: // A request is withdrawn only after its call of Acquire has given up; a slot assigned to it is returned below.
		}
	}
	if len(reports) > 0 && w.report != nil {
		w.report(reports)
	}
	for _, k := range unused {
		w.step(Done{k, Result{Failed: true}})
	}
	next, ok := w.core.Next()
	if !ok || !w.timerAt.IsZero() && !next.Before(w.timerAt) {
		return
	}
	w.stopTimer()
	w.timerAt = next
	w.stopTimer = timer.AfterFunc(max(0, next.Sub(now)), func() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	})
}
