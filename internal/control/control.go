// Package control forms, heals and releases the model groups, and knows which groups are present.
//
// A daemon runs these duties: watch reads the group rows; probe asks engines for their states; and for each model
// service, lease keeps or waits for the service's lease and plan runs the planner while the lease is held. They share
// one view, guarded by a mutex that is never held during I/O. While the table service is down the view stays as it was
// and probes go on; nothing is formed.
//
// Load on the table service: every daemon reads the counter rows once a period (500 ms, or 3 ms for each live daemon
// if that is longer) and the group rows only when a counter row has changed. With 370 daemons that is at most 334
// reads/s plus the leases (see package lease).
package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/lease"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

const (
	// watchPeriod is the least time between two reads of the counter rows, and watchShare what each live daemon adds to
	// it, so that the reads of the whole fleet stay the same.
	watchPeriod = 500 * time.Millisecond
	watchShare  = 3 * time.Millisecond
	// rowsMax is how long group rows are relied on without a change of a counter row.
	rowsMax = 30 * time.Second
	// proofMax is how old a proof may be to count as present: the time in which the home finds a loss.
	proofMax = member.FailureThreshold*member.ProbePeriod + member.ProbeTimeout
	// awayPeriod is how often a daemon that is not a group's home asks its member 0, and awayMax how long that counts. It
	// does not ask while the home tells of the members: not before that word is homeSilent old, which leaves time for an
	// answer until awayMax.
	awayPeriod = time.Second
	homeSilent = awayPeriod * 3 / 2
	awayMax    = 2*awayPeriod + member.ProbeTimeout
	// loadingPeriod is how often members of a loading group are asked, since the group is out of service until the last
	// one has loaded.
	loadingPeriod = member.ProbePeriod / 2
	// probes bounds the requests under way, so that a domain that does not answer cannot hold up the others.
	probes = 256
	// tableTimeout and orderTimeout bound one call. group.Settle is twice the latter.
	tableTimeout = time.Second
	orderTimeout = group.TakeoverWait / 2
	// backoffFirst and backoffMax bound the time between attempts while the table service is down.
	backoffFirst = 500 * time.Millisecond
	backoffMax   = 8 * time.Second
	// prefixLost is the prefix of the rows in which a home reports a loss to the lease holder.
	prefixLost = "lost/"
)

// Daemons tells which daemons are live.
type Daemons interface {
	// Daemons returns the names of the live daemons, this one among them.
	Daemons() []string
}

// Change says that a group became present or stopped being present.
type Change struct {
	View
	Reason string
}

// Options is what a Control needs.
type Options struct {
	// Name is the name of this daemon among Daemons.
	Name string
	// Boot differs between two runs of the daemon.
	Boot     string
	Platform *platform.Client
	Engine   *engine.Client
	Daemons  Daemons
	// Config returns the configuration in force and whether there is one.
	Config   func() (note.Config, bool)
	Log      hclog.Logger
	Timeline *timeline.Log
	// Uses is whether this daemon sends requests to a group; nil stands for all. It limits the groups that are probed
	// besides those whose home this daemon is.
	Uses func(id string) bool
	// Changed is called for each change, in order. It must not block or call the Control. May be nil.
	Changed func(Change)
	// Lost is called once for each generation whose home this daemon is and that lost a member. It must not block or call
	// the Control. May be nil.
	Lost func(v View, instance string)
	// Loads bounds the groups of one service that load at once; 0 stands for group.DefaultLoads.
	Loads int
}

// View is a group as this daemon sees it.
type View struct {
	Service    string
	Group      string
	Generation uint64
	// Addr is the address of member 0.
	Addr       netip.AddrPort
	DataCentre string
	Domain     string
	Slots      int
	// Members holds the instances, member 0 first.
	Members []string
	Phase   group.Phase
	// Home is whether this daemon is the group's home.
	Home bool
	// Present is whether the group may be used, and Proof when that was last seen.
	Present bool
	Proof   time.Time
}

// Control is the control part of a daemon. Its methods may be called from several goroutines.
type Control struct {
	o Options
	// kicks wakes duties early: probe when there is more to probe, watch when rows have changed.
	kickProbe, kickWatch chan struct{}

	mu       sync.Mutex
	members  member.View
	order    member.HomeCache
	engines  []platform.Instance
	rows     map[string]*tracked
	states   map[string]group.ObservedState
	interest map[string][]group.Member
	// suspects holds the members that were reported missing and have not been asked since.
	suspects map[string]group.Member
	// reported holds the generations whose loss has been reported.
	reported map[string]uint64
	services map[string]*service
}

// tracked is a group row with what this daemon knows of the group.
type tracked struct {
	row  group.Row
	home bool
	// sure is from when on the home may report a loss of this generation.
	sure time.Time
	// told is the lost member that Options.Lost was called for.
	told string
	// seen holds, at the home, when each member's own state was last the right one.
	seen []time.Time
	// wrong is the member whose own state is another one, and suspect the one that another daemon reported missing; empty
	// when there is none.
	wrong, suspect string
	// away is when member 0 or the home last told a daemon that is not the home that all members are present, and byHome
	// is when the home did; asked is when member 0 was asked last, and idle when it last reported no request in flight.
	away, byHome, asked, idle time.Time
	present                   bool
	reason                    string
}

// New returns a Control that runs nothing yet.
func New(o Options) *Control {
	return &Control{
		o: o, kickProbe: make(chan struct{}, 1), kickWatch: make(chan struct{}, 1), rows: map[string]*tracked{},
		states: map[string]group.ObservedState{}, interest: map[string][]group.Member{}, suspects: map[string]group.Member{}, reported: map[string]uint64{}, services: map[string]*service{},
	}
}

// Run runs the duties until ctx ends and then gives up the leases.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watch(ctx) })
	g.Go(func() error { return c.probe(ctx) })
	g.Go(func() error { return c.serve(ctx, g) })
	return g.Wait()
}

// serve starts the duties of each model service that is configured or still has groups. They go on until the end: a
// service that was withdrawn may be added again.
func (c *Control) serve(ctx context.Context, g *errgroup.Group) error {
	tick, stop := timer.Every(watchPeriod, 0.2)
	defer stop()
	for {
		names := map[string]bool{}
		if cfg, ok := c.o.Config(); ok {
			for name := range cfg.Models {
				names[name] = true
			}
			c.mu.Lock()
			for _, t := range c.rows {
				names[t.row.Service] = true
			}
			for name := range names {
				if c.services[name] != nil {
					continue
				}
				s := newService(c, name)
				c.services[name] = s
				g.Go(func() error { return s.lease(ctx) })
				g.Go(func() error { return s.plan(ctx) })
			}
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// Groups returns the groups of the table rows as last read, in order of their names.
func (c *Control) Groups() []View {
	cfg, _ := c.o.Config()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]View, 0, len(c.rows))
	for _, t := range c.rows {
		out = append(out, c.view(now, t, cfg))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.Group, b.Group) })
	return out
}

// Present returns whether a generation of a group may be used, and when that was last proved. It is false once the
// proof is too old, for example after a pause of the process.
func (c *Control) Present(id string, generation uint64) (bool, time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[id]
	if t == nil || t.row.Generation != generation {
		return false, time.Time{}
	}
	at, until := t.proof()
	return t.present && now.Before(until), at
}

// Proven takes in when the home of a group last saw all members of a generation present, or earlier. It does not count
// against a member that is in another state or was reported missing; member 0 itself is asked then.
func (c *Control) Proven(id string, generation uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[id]
	if t == nil || t.row.Generation != generation || t.home || t.wrong != "" || t.suspect != "" || !at.After(t.away) {
		return
	}
	t.away, t.byHome = at, at
	if !t.present {
		c.evaluate(time.Now())
	}
}

// Report takes in that another daemon found a member of a generation missing. The group stops being present here until
// it is seen whole again, and the member is asked at once; it counts as lost only if it does not answer this daemon
// either. A report may be late, or its sender may have lost its own network, and then no other members would help.
func (c *Control) Report(id string, generation uint64, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[id]
	if t == nil || t.row.Generation != generation {
		return
	}
	for _, m := range t.row.Members {
		if m.ID == instance {
			t.suspect, t.away, t.byHome = instance, time.Time{}, time.Time{}
			c.suspects[instance] = m
			c.evaluate(time.Now())
			kick(c.kickProbe)
		}
	}
}

// Missing returns the member that this daemon, as the home, found missing from a generation, or nothing.
func (c *Control) Missing(id string, generation uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.rows[id]; t != nil && t.row.Generation == generation && t.home && !t.present {
		return c.lostMember(t)
	}
	return ""
}

// lostMember returns a member that probes found missing although the list shows it, or nothing. c.mu is held.
func (c *Control) lostMember(t *tracked) string {
	lost := ""
	for _, m := range t.row.Members {
		if c.members.State(m.ID) == member.Gone && c.members.ListedState(m.ID) == member.Live {
			lost = m.ID
		}
	}
	return lost
}

// LeaseOrder returns the live daemons that read a service's lease at the short period, the one that normally holds it
// first.
func LeaseOrder(service string, daemons []string) []string {
	order := member.RendezvousOrder("lease/"+service, daemons)
	return order[:min(lease.CandidateCount, len(order))]
}

// List takes in the platform's list of instances.
func (c *Control) List(r platform.Roster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed(c.members.ApplyList(r))
	c.engines = c.members.Instances(platform.KindEngine)
	c.evaluate(time.Now())
}

func (c *Control) view(now time.Time, t *tracked, cfg note.Config) View {
	v := View{
		Service: t.row.Service, Group: t.row.ID, Generation: t.row.Generation, DataCentre: t.row.DataCentre, Domain: t.row.Domain,
		Slots: cfg.Models[t.row.Service].Slots, Members: t.row.InstanceIDs(), Phase: t.row.Phase, Home: t.home,
	}
	if len(t.row.Members) > 0 {
		v.Addr = t.row.Members[0].Addr
	}
	at, until := t.proof()
	v.Present, v.Proof = t.present && now.Before(until), at
	return v
}

// proof is when all members were last known to be present, and until when that counts. A proof of one kind counts on
// for its time when this daemon becomes, or is no longer, the home.
func (t *tracked) proof() (at, until time.Time) {
	first := time.Time{}
	for i, seen := range t.seen {
		if i == 0 || seen.Before(first) {
			first = seen
		}
	}
	at, until = first, first.Add(proofMax)
	if t.away.Add(awayMax).After(until) {
		at, until = t.away, t.away.Add(awayMax)
	}
	return at, until
}

// changed records changes of instances. c.mu is held.
func (c *Control) changed(list []member.Change) {
	for _, m := range list {
		switch m.To {
		case member.Gone:
			c.o.Timeline.Add(timeline.Event{Kind: timeline.Lose, Instance: m.Instance, Reason: m.Reason})
			c.o.Log.Info("instance is gone", "instance", m.Instance, "reason", m.Reason)
		case member.Leaving:
			c.o.Timeline.Add(timeline.Event{Kind: timeline.Leave, Instance: m.Instance})
			c.o.Log.Info("instance is leaving", "instance", m.Instance)
		}
	}
}

// evaluate decides which groups are present and announces changes. c.mu is held.
func (c *Control) evaluate(now time.Time) {
	for _, t := range c.rows {
		reason := c.missing(now, t)
		if reason == "" && t.home {
			// All members have been seen here, so another loss is a new one.
			t.sure, t.told = time.Time{}, ""
			delete(c.reported, t.row.ID)
		}
		if (reason == "") == t.present {
			t.reason = reason
			continue
		}
		t.present, t.reason = reason == "", reason
		c.announce(now, t)
	}
}

// missing returns why a group is not present, or nothing. c.mu is held.
func (c *Control) missing(now time.Time, t *tracked) string {
	if t.row.Phase != group.Serving {
		return "group is " + string(t.row.Phase)
	}
	for _, m := range t.row.Members {
		st := c.members.State(m.ID)
		if !t.home {
			st = c.members.ListedState(m.ID)
		}
		if !st.AcceptsRequests() {
			return "instance " + m.ID + " is " + st.String()
		}
	}
	switch {
	case t.wrong != "":
		return "instance " + t.wrong + " is in another state"
	case t.suspect != "":
		return "instance " + t.suspect + " was reported missing"
	}
	if _, until := t.proof(); !now.Before(until) {
		return "members have not been seen"
	}
	return ""
}

func (c *Control) announce(now time.Time, t *tracked) {
	kind := timeline.Serve
	if !t.present {
		kind = timeline.Stop
	}
	c.o.Timeline.Add(timeline.Event{Kind: kind, Group: t.row.ID, Generation: t.row.Generation, Reason: t.reason})
	c.o.Log.Debug("group changed", "group", t.row.ID, "generation", t.row.Generation, "present", t.present, "reason", t.reason)
	if c.o.Changed != nil {
		cfg, _ := c.o.Config()
		c.o.Changed(Change{View: c.view(now, t, cfg), Reason: t.reason})
	}
}

// adopt replaces the group rows. A generation that is gone stops being present before the next one can start.
func (c *Control) adopt(rows map[string]group.Row) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.rows {
		if r, ok := rows[id]; !ok || r.Generation != t.row.Generation {
			c.drop(now, id, t)
		}
	}
	for _, r := range rows {
		c.put(r)
	}
	c.homes()
	c.evaluate(now)
}

// drop forgets a generation of a group. c.mu is held.
func (c *Control) drop(now time.Time, id string, t *tracked) {
	if t.present {
		t.present, t.reason = false, "generation has ended"
		c.announce(now, t)
	}
	delete(c.rows, id)
	delete(c.reported, id)
}

func (c *Control) put(r group.Row) {
	if t := c.rows[r.ID]; t != nil {
		if t.row.Phase != r.Phase {
			t.idle = time.Time{}
		}
		t.row = r
		return
	}
	c.rows[r.ID] = &tracked{row: r, seen: make([]time.Time, len(r.Members))}
}

// adoptOne takes in a row that this daemon has written itself, before the next read shows it.
func (c *Control) adoptOne(r group.Row, gone bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.rows[r.ID]; t != nil && (gone || t.row.Generation != r.Generation) {
		c.drop(now, r.ID, t)
	}
	if !gone {
		c.put(r)
	}
	c.homes()
	c.evaluate(now)
	kick(c.kickProbe)
}

// homes finds the groups whose home this daemon is. c.mu is held.
func (c *Control) homes() {
	c.order.SetNodes(c.o.Daemons.Daemons())
	for id, t := range c.rows {
		home := c.order.Home(id) == c.o.Name
		if home && !t.home {
			t.sure = time.Now().Add(proofMax)
		}
		t.home = home
	}
}

// watch keeps the group rows up to date.
func (c *Control) watch(ctx context.Context) error {
	var versions map[string]uint64
	var read time.Time
	fails := 0
	for {
		now := time.Now()
		v, rows, err := c.readRows(ctx, versions, now.Sub(read) > rowsMax)
		switch {
		case err != nil:
			if fails++; fails == 1 && ctx.Err() == nil {
				c.o.Log.Warn("groups could not be read; the last view stays in use", "error", err)
				c.o.Timeline.Add(timeline.Event{Kind: timeline.Store, Reason: "unavailable"})
			}
		default:
			if fails > 0 {
				c.o.Timeline.Add(timeline.Event{Kind: timeline.Store, Reason: "back"})
			}
			fails, versions = 0, v
			if rows != nil {
				read = now
				c.adopt(rows)
			} else {
				c.mu.Lock()
				c.homes()
				c.mu.Unlock()
			}
		}
		wait := max(watchPeriod, time.Duration(len(c.o.Daemons.Daemons()))*watchShare)
		wait -= time.Duration(rand.Float64() * 0.2 * float64(wait))
		if fails > 0 {
			wait = backoff(fails)
		}
		if c.pause(ctx, wait, c.kickWatch) != nil {
			return nil
		}
	}
}

// readRows returns the versions of the counter rows, and the group rows if those have changed or all is set.
func (c *Control) readRows(ctx context.Context, versions map[string]uint64, all bool) (map[string]uint64, map[string]group.Row, error) {
	counters, err := c.scan(ctx, group.PrefixCounter)
	if err != nil {
		return nil, nil, err
	}
	next := map[string]uint64{}
	same := versions != nil && len(counters) == len(versions) && !all
	for _, r := range counters {
		next[r.Key] = r.Version
		same = same && versions[r.Key] == r.Version
	}
	if same {
		return next, nil, nil
	}
	// The groups are read after the counters, so a change in between shows again at the next read.
	rows, err := c.scan(ctx, group.PrefixGroup)
	if err != nil {
		return nil, nil, err
	}
	t, err := group.Decode(rows)
	if err != nil {
		return nil, nil, err
	}
	return next, t.Groups, nil
}

// scan and commit are one call of the table service each. The time limit is for a call and not for several, so that a
// service that answers slowly is slow and not unavailable.
func (c *Control) scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return c.o.Platform.Scan(ctx, prefix)
}

func (c *Control) commit(ctx context.Context, x platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := c.o.Platform.Commit(ctx, x)
	return err
}

// recheck forgets which instances seemed lost.
func (c *Control) recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed(c.members.DiscardProbes())
	c.evaluate(time.Now())
	kick(c.kickProbe)
}

// pause waits for d, a kick or the end of ctx, whose error it returns.
func (c *Control) pause(ctx context.Context, d time.Duration, kicked <-chan struct{}) error {
	wait := make(chan struct{})
	stop := timer.AfterFunc(d, func() { close(wait) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait:
	case <-kicked:
	}
	return nil
}

func backoff(fails int) time.Duration {
	d := min(backoffFirst<<min(fails-1, 8), backoffMax)
	return time.Duration(float64(d) * (0.5 + rand.Float64()/2))
}

func kick(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe asks engines for their states. A round starts every period, or at once when there is more to ask; an instance
// that is still being asked is left out of it.
func (c *Control) probe(ctx context.Context) error {
	tick, stop := timer.Every(loadingPeriod, 0.1)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(probes)
	var mu sync.Mutex
	busy := map[string]bool{}
	last, counted := map[string]time.Time{}, map[string]time.Time{}
	ask := func(key string, period time.Duration, f func(ctx context.Context, counts bool)) {
		mu.Lock()
		defer mu.Unlock()
		if busy[key] || time.Since(last[key]) < period*4/5 {
			return
		}
		// Neither a kick nor the shorter period while loading may make the failures that count follow each other faster:
		// three in a row are to span the time in which a loss is found.
		counts := time.Since(counted[key]) >= member.ProbePeriod*4/5
		started := g.TryGo(func() error {
			pctx, cancel := context.WithTimeout(gctx, member.ProbeTimeout)
			defer cancel()
			f(pctx, counts)
			mu.Lock()
			defer mu.Unlock()
			delete(busy, key)
			return nil
		})
		if started {
			busy[key], last[key] = true, time.Now()
			if counts {
				counted[key] = time.Now()
			}
		}
	}
	for {
		states, loads, loading := c.targets(time.Now())
		mu.Lock()
		for key, at := range last {
			if time.Since(at) > time.Minute {
				delete(last, key)
				delete(counted, key)
			}
		}
		mu.Unlock()
		for _, m := range states {
			period := member.ProbePeriod
			if loading[m.ID] {
				period = loadingPeriod
			}
			ask(m.ID, period, func(ctx context.Context, counts bool) { c.askState(ctx, m, counts) })
		}
		for _, r := range loads {
			ask("load "+r.ID, member.ProbePeriod, func(ctx context.Context, _ bool) { c.askLoad(ctx, r) })
		}
		c.mu.Lock()
		c.evaluate(time.Now())
		c.mu.Unlock()
		c.reportLosses(ctx, g)
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-tick:
		case <-c.kickProbe:
		}
	}
}

// targets returns the instances to ask for their states, the groups to ask for their load, and which instances load.
func (c *Control) targets(now time.Time) (states []group.Member, loads []group.Row, loading map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loading = map[string]bool{}
	seen := map[string]bool{}
	add := func(list []group.Member) {
		for _, m := range list {
			if !seen[m.ID] {
				seen[m.ID] = true
				states = append(states, m)
			}
		}
	}
	for _, t := range c.rows {
		if t.row.Phase == group.Loading {
			for _, m := range t.row.Members {
				loading[m.ID] = true
			}
		}
		if t.home && (t.row.Phase == group.Serving || t.row.Phase == group.Loading) {
			add(t.row.Members)
		}
		away := !t.home && t.row.Phase == group.Serving && (c.o.Uses == nil || c.o.Uses(t.row.ID))
		told := away && now.Sub(t.byHome) < homeSilent
		if (away && !told || t.row.Phase == group.Draining) && now.Sub(t.asked) >= awayPeriod*9/10 {
			t.asked = now
			loads = append(loads, t.row)
		}
	}
	for _, list := range c.interest {
		add(list)
	}
	add(slices.Collect(maps.Values(c.suspects)))
	return states, loads, loading
}

// askState asks a member for its state. counts is whether a failure counts as a failed probe.
func (c *Control) askState(ctx context.Context, m group.Member, counts bool) {
	asked := time.Now()
	s, err := c.o.Engine.State(ctx, m.Addr)
	now := time.Now()
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return // The daemon stops; this says nothing of the engine.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, suspected := c.suspects[m.ID]
	delete(c.suspects, m.ID)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.changed(c.members.RecordRefusal(m.ID))
	case err != nil && suspected:
		c.changed(c.members.RecordMissing(m.ID))
	case err != nil && !counts:
	default:
		c.changed(c.members.RecordProbe(m.ID, err == nil))
	}
	if err == nil {
		c.states[m.ID] = group.ObservedState{State: s, At: asked}
		for _, t := range c.rows {
			i := slices.IndexFunc(t.row.Members, func(x group.Member) bool { return x.ID == m.ID })
			switch {
			case i < 0 || !t.home:
			case t.row.Matches(i, s):
				t.seen[i] = asked
				if t.wrong == m.ID {
					t.wrong = ""
				}
				if t.suspect == m.ID {
					t.suspect = ""
				}
			case t.row.Phase == group.Serving:
				t.wrong = m.ID
			}
		}
	}
	c.evaluate(now)
	if err != nil {
		kick(c.kickProbe) // A loss is reported at once.
	}
	for _, s := range c.services {
		kick(s.kick)
	}
}

func (c *Control) askLoad(ctx context.Context, r group.Row) {
	asked := time.Now()
	l, err := c.o.Engine.Load(ctx, r.Members[0].Addr)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[r.ID]
	if t == nil || t.row.Generation != r.Generation {
		return
	}
	if err == nil && t.row.Phase == group.Draining && l.Running+l.Waiting == 0 {
		t.idle = asked
	}
	if t.home {
		return
	}
	switch {
	case err != nil:
		// The proof ages, and the group is not present when it is awayMax old.
	case l.Group == r.ID && l.Generation == r.Generation && l.Present:
		t.away, t.wrong, t.suspect = asked, "", ""
	default:
		t.wrong = r.Members[0].ID
	}
	c.evaluate(now)
}

// reportLosses tells the lease holders, through the table service, of the groups whose home this daemon is and that
// lost a member. It goes on until the group has another generation. A daemon that has just become the home, or that
// could not reach the table service, may have lost its own network meanwhile: it first probes for long enough to see
// the members again.
func (c *Control) reportLosses(ctx context.Context, g *errgroup.Group) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.rows {
		if !t.home || t.present || t.row.Phase != group.Serving || c.reported[id] == t.row.Generation || now.Before(t.sure) {
			continue
		}
		rep := group.Report{Generation: t.row.Generation, Instance: t.wrong}
		if lost := c.lostMember(t); lost != "" {
			rep.Instance, rep.Missing = lost, true
		}
		if rep.Instance == "" {
			continue
		}
		c.reported[id] = rep.Generation
		if rep.Missing && c.o.Lost != nil && t.told != rep.Instance {
			t.told = rep.Instance
			cfg, _ := c.o.Config()
			c.o.Lost(c.view(now, t, cfg), rep.Instance)
		}
		started := g.TryGo(func() error {
			if err := c.report(ctx, id, rep); err != nil && ctx.Err() == nil {
				c.o.Log.Warn("loss could not be reported", "group", id, "instance", rep.Instance, "error", err)
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.reported[id] == rep.Generation {
					delete(c.reported, id)
				}
				t.sure = time.Now().Add(proofMax)
			}
			return nil
		})
		if !started {
			delete(c.reported, id)
		}
	}
}

func (c *Control) report(ctx context.Context, id string, rep group.Report) error {
	x, err := lostTxn(id, &rep)
	if err != nil {
		return fmt.Errorf("encode report on %s: %w", id, err)
	}
	// The write has no conditions and can be repeated, so a lost answer is answered by another report.
	return c.commit(ctx, x)
}
