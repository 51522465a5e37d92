// Package control forms, repairs and releases model groups, and tracks which groups are present, that is, usable with
// all their members.
//
// A daemon runs these loops: watchRows polls the group rows; probe asks engines for their states; and for each model
// service, runLease holds or waits for the service's lease and runPlanner runs the planner while the lease is held. They
// share state under a mutex that is never held during I/O. While the table service is unavailable the last rows stay in
// use and probing continues, but no group is formed.
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
	// minWatchPeriod is the minimum time between two reads of the counter rows. watchPeriodPerDaemon scales the period
	// with the number of live daemons, so that the read rate of the whole fleet stays constant.
	minWatchPeriod       = 500 * time.Millisecond
	watchPeriodPerDaemon = 3 * time.Millisecond
	// maxRowsAge is how long the group rows are used before they are read again although no counter row has changed.
	maxRowsAge = 30 * time.Second
	// maxProofAge is the maximum age of a proof of presence at the home: the time within which the home detects a loss.
	maxProofAge = member.FailureThreshold*member.ProbePeriod + member.ProbeTimeout
	// remotePollPeriod is how often a daemon that is not a group's home polls its member 0, and maxRemoteProofAge how long
	// the answer counts. It does not poll while the home reports on the members. It starts once the last report is
	// maxHomeReportAge old, which leaves time for an answer before maxRemoteProofAge.
	remotePollPeriod  = time.Second
	maxHomeReportAge  = remotePollPeriod * 3 / 2
	maxRemoteProofAge = 2*remotePollPeriod + member.ProbeTimeout
	// loadingProbePeriod is how often members of a loading group are probed. It is shorter than member.ProbePeriod because
	// the group is out of service until its last member has loaded.
	loadingProbePeriod = member.ProbePeriod / 2
	// maxProbes bounds the concurrent requests. The bound is high so that a domain that does not answer cannot delay the
	// probes of others.
	maxProbes = 256
	// tableTimeout and orderTimeout each bound a single call. group.TakeoverWait is twice orderTimeout.
	tableTimeout = time.Second
	orderTimeout = group.TakeoverWait / 2
	// minBackoff and maxBackoff bound the delay between attempts while the table service is unavailable.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// prefixLossReport is the key prefix of the rows in which a home reports a loss to the lease holder.
	prefixLossReport = "lost/"
)

// Daemons lists the live daemons.
type Daemons interface {
	// Daemons returns the names of the live daemons, including this one.
	Daemons() []string
}

// Change reports that a group became present or stopped being present.
type Change struct {
	View
	Reason string
}

// Options configures a Control.
type Options struct {
	// Name is this daemon's name as Daemons returns it.
	Name string
	// Boot identifies this run of the daemon; it differs from that of every other run.
	Boot     string
	Platform *platform.Client
	Engine   *engine.Client
	Daemons  Daemons
	// Config returns the configuration in force; the result is false if there is none.
	Config   func() (note.Config, bool)
	Log      hclog.Logger
	Timeline *timeline.Log
	// UsesGroup reports whether this daemon sends requests to a group; nil means all groups. Groups whose home is another
	// daemon are polled only if this daemon uses them.
	UsesGroup func(id string) bool
	// OnChange is called for each change, in order. It must not block or call the Control. It may be nil.
	OnChange func(Change)
	// OnLost is called once for each generation that loses a member while this daemon is its home. It must not block or call
	// the Control. It may be nil.
	OnLost func(v View, instance string)
	// MaxLoads is the maximum number of groups of one service that load concurrently; 0 means group.DefaultMaxLoads.
	MaxLoads int
}

// View is the state of a group as this daemon sees it.
type View struct {
	Service    string
	Group      string
	Generation uint64
	// Addr is the address of member 0.
	Addr       netip.AddrPort
	DataCentre string
	Domain     string
	Slots      int
	// Members holds the IDs of the instances, member 0 first.
	Members []string
	Phase   group.Phase
	// Home reports whether this daemon is the group's home.
	Home bool
	// Present reports whether the group may be used. ProvenAt is when all members were last known to be present.
	Present  bool
	ProvenAt time.Time
}

// Control manages the groups on behalf of a daemon. Its methods are safe for concurrent use.
type Control struct {
	opts Options
	// wakeProbe and wakeWatch wake loops early: probe when there is more to probe, watchRows when rows have changed.
	wakeProbe, wakeWatch chan struct{}

	mu            sync.Mutex
	members       member.View
	order         member.HomeCache
	engines       []platform.Instance
	rows          map[string]*trackedGroup
	states        map[string]group.ObservedState
	plannerProbes map[string][]group.Member
	// suspects holds the members that were reported missing and have not been probed since.
	suspects map[string]group.Member
	// reported holds, by group, the generation whose loss has been reported.
	reported map[string]uint64
	services map[string]*service
}

// trackedGroup is a group row and what this daemon knows of the group.
type trackedGroup struct {
	row  group.Row
	home bool
	// reportAfter is the earliest time at which the home may report a loss of this generation.
	reportAfter time.Time
	// notifiedLoss is the lost member for which Options.OnLost was called.
	notifiedLoss string
	// matchedAt holds, at the home, when each member's own state last matched the row.
	matchedAt []time.Time
	// mismatched is the member whose own state does not match the row, and reportedMissing the member that another daemon
	// reported missing; each is empty when there is none.
	mismatched, reportedMissing string
	// remoteProof is when a daemon that is not the home last learnt, from member 0 or the home, that all members are
	// present, and homeProof when it last learnt so from the home. loadAskedAt is when member 0 was last polled for its
	// load, and idleAt when it last reported no request in flight.
	remoteProof, homeProof, loadAskedAt, idleAt time.Time
	present                                     bool
	reason                                      string
}

// New returns a Control; Run starts it.
func New(o Options) *Control {
	return &Control{
		opts: o, wakeProbe: make(chan struct{}, 1), wakeWatch: make(chan struct{}, 1), rows: map[string]*trackedGroup{},
		states: map[string]group.ObservedState{}, plannerProbes: map[string][]group.Member{}, suspects: map[string]group.Member{}, reported: map[string]uint64{}, services: map[string]*service{},
	}
}

// Run runs the loops until ctx is done and then releases the leases.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.watchRows(ctx) })
	g.Go(func() error { return c.probe(ctx) })
	g.Go(func() error { return c.startServices(ctx, g) })
	return g.Wait()
}

// startServices starts the lease and planner loops of each model service that is configured or still has groups. They
// run until ctx is done, since a withdrawn service may be added again.
func (c *Control) startServices(ctx context.Context, g *errgroup.Group) error {
	tick, stop := timer.Every(minWatchPeriod, 0.2)
	defer stop()
	for {
		names := map[string]bool{}
		if cfg, ok := c.opts.Config(); ok {
			for name := range cfg.ModelServices {
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
				g.Go(func() error { return s.runLease(ctx) })
				g.Go(func() error { return s.runPlanner(ctx) })
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

// Groups returns the groups of the last read of the table rows, sorted by name.
func (c *Control) Groups() []View {
	cfg, _ := c.opts.Config()
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

// Present reports whether a generation of a group may be used, and when that was last proved. It is false once the
// proof is too old, for example after the process was paused.
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

// RecordProof records that the home of a group saw all members of a generation present at the given time or later. It is
// ignored while a member is mismatched or reported missing; member 0 itself is polled then.
func (c *Control) RecordProof(id string, generation uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[id]
	if t == nil || t.row.Generation != generation || t.home || t.mismatched != "" || t.reportedMissing != "" || !at.After(t.remoteProof) {
		return
	}
	t.remoteProof, t.homeProof = at, at
	if !t.present {
		c.updatePresence(time.Now())
	}
}

// ReportMissing records that another daemon found a member of a generation missing. The group stops being present here
// until all members are seen again, and the member is probed at once. It counts as lost only if it does not answer this
// daemon either: a report may be late, or its sender may be cut off from the network itself, and replacing the member
// would not help then.
func (c *Control) ReportMissing(id string, generation uint64, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[id]
	if t == nil || t.row.Generation != generation {
		return
	}
	for _, m := range t.row.Members {
		if m.ID == instance {
			t.reportedMissing, t.remoteProof, t.homeProof = instance, time.Time{}, time.Time{}
			c.suspects[instance] = m
			c.updatePresence(time.Now())
			wake(c.wakeProbe)
		}
	}
}

// MissingMember returns the member that this daemon, as the home, found missing from a generation, or "" if there is
// none.
func (c *Control) MissingMember(id string, generation uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.rows[id]; t != nil && t.row.Generation == generation && t.home && !t.present {
		return c.lostMember(t)
	}
	return ""
}

// lostMember returns a member that probes found missing although the platform lists it as live, or "" if there is none.
// c.mu is held.
func (c *Control) lostMember(t *trackedGroup) string {
	lost := ""
	for _, m := range t.row.Members {
		if c.members.State(m.ID) == member.Gone && c.members.ListedState(m.ID) == member.Live {
			lost = m.ID
		}
	}
	return lost
}

// LeaseCandidates returns the live daemons that poll a service's lease at the short period, starting with the one that
// normally holds it.
func LeaseCandidates(service string, daemons []string) []string {
	order := member.RendezvousOrder("lease/"+service, daemons)
	return order[:min(lease.CandidateCount, len(order))]
}

// ApplyRoster applies the platform's list of instances.
func (c *Control) ApplyRoster(r platform.Roster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordInstanceChanges(c.members.ApplyList(r))
	c.engines = c.members.Instances(platform.KindEngine)
	c.updatePresence(time.Now())
}

func (c *Control) view(now time.Time, t *trackedGroup, cfg note.Config) View {
	v := View{
		Service: t.row.Service, Group: t.row.ID, Generation: t.row.Generation, DataCentre: t.row.DataCentre, Domain: t.row.Domain,
		Slots: cfg.ModelServices[t.row.Service].Slots, Members: t.row.InstanceIDs(), Phase: t.row.Phase, Home: t.home,
	}
	if len(t.row.Members) > 0 {
		v.Addr = t.row.Members[0].Addr
	}
	at, until := t.proof()
	v.Present, v.ProvenAt = t.present && now.Before(until), at
	return v
}

// proof returns when all members were last known to be present, and until when that counts. Each kind of proof keeps
// counting for its full time when this daemon becomes the home or stops being it.
func (t *trackedGroup) proof() (at, until time.Time) {
	first := time.Time{}
	for i, seen := range t.matchedAt {
		if i == 0 || seen.Before(first) {
			first = seen
		}
	}
	at, until = first, first.Add(maxProofAge)
	if t.remoteProof.Add(maxRemoteProofAge).After(until) {
		at, until = t.remoteProof, t.remoteProof.Add(maxRemoteProofAge)
	}
	return at, until
}

// recordInstanceChanges logs changes of instance states. c.mu is held.
func (c *Control) recordInstanceChanges(list []member.Change) {
	for _, m := range list {
		switch m.To {
		case member.Gone:
			c.opts.Timeline.Add(timeline.Event{Kind: timeline.InstanceLost, Instance: m.Instance, Reason: m.Reason})
			c.opts.Log.Info("instance is gone", "instance", m.Instance, "reason", m.Reason)
		case member.Leaving:
			c.opts.Timeline.Add(timeline.Event{Kind: timeline.InstanceLeaving, Instance: m.Instance})
			c.opts.Log.Info("instance is leaving", "instance", m.Instance)
		}
	}
}

// updatePresence decides which groups are present and publishes changes. c.mu is held.
func (c *Control) updatePresence(now time.Time) {
	for _, t := range c.rows {
		reason := c.absenceReason(now, t)
		if reason == "" && t.home {
			// The home has seen all members, so the next loss is a new one.
			t.reportAfter, t.notifiedLoss = time.Time{}, ""
			delete(c.reported, t.row.ID)
		}
		if (reason == "") == t.present {
			t.reason = reason
			continue
		}
		t.present, t.reason = reason == "", reason
		c.publishChange(now, t)
	}
}

// absenceReason returns why a group is not present, or "" if it is present. c.mu is held.
func (c *Control) absenceReason(now time.Time, t *trackedGroup) string {
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
	case t.mismatched != "":
		return "instance " + t.mismatched + " is in another state"
	case t.reportedMissing != "":
		return "instance " + t.reportedMissing + " was reported missing"
	}
	if _, until := t.proof(); !now.Before(until) {
		return "members have not been seen"
	}
	return ""
}

func (c *Control) publishChange(now time.Time, t *trackedGroup) {
	kind := timeline.GroupServing
	if !t.present {
		kind = timeline.GroupStopped
	}
	c.opts.Timeline.Add(timeline.Event{Kind: kind, Group: t.row.ID, Generation: t.row.Generation, Reason: t.reason})
	c.opts.Log.Debug("group presence changed", "group", t.row.ID, "generation", t.row.Generation, "present", t.present, "reason", t.reason)
	if c.opts.OnChange != nil {
		cfg, _ := c.opts.Config()
		c.opts.OnChange(Change{View: c.view(now, t, cfg), Reason: t.reason})
	}
}

// replaceRows replaces all group rows. An ended generation stops being present before the next one can start.
func (c *Control) replaceRows(rows map[string]group.Row) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.rows {
		if r, ok := rows[id]; !ok || r.Generation != t.row.Generation {
			c.removeGroup(now, id, t)
		}
	}
	for _, r := range rows {
		c.putRow(r)
	}
	c.updateHomes()
	c.updatePresence(now)
}

// removeGroup removes a generation of a group. c.mu is held.
func (c *Control) removeGroup(now time.Time, id string, t *trackedGroup) {
	if t.present {
		t.present, t.reason = false, "generation has ended"
		c.publishChange(now, t)
	}
	delete(c.rows, id)
	delete(c.reported, id)
}

func (c *Control) putRow(r group.Row) {
	if t := c.rows[r.ID]; t != nil {
		if t.row.Phase != r.Phase {
			t.idleAt = time.Time{}
		}
		t.row = r
		return
	}
	c.rows[r.ID] = &trackedGroup{row: r, matchedAt: make([]time.Time, len(r.Members))}
}

// applyWrittenRow applies a row that this daemon has written, before the next read returns it.
func (c *Control) applyWrittenRow(r group.Row, gone bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.rows[r.ID]; t != nil && (gone || t.row.Generation != r.Generation) {
		c.removeGroup(now, r.ID, t)
	}
	if !gone {
		c.putRow(r)
	}
	c.updateHomes()
	c.updatePresence(now)
	wake(c.wakeProbe)
}

// updateHomes determines the groups whose home this daemon is. c.mu is held.
func (c *Control) updateHomes() {
	c.order.SetNodes(c.opts.Daemons.Daemons())
	for id, t := range c.rows {
		home := c.order.Home(id) == c.opts.Name
		if home && !t.home {
			t.reportAfter = time.Now().Add(maxProofAge)
		}
		t.home = home
	}
}

// watchRows polls the table service and keeps the group rows up to date.
func (c *Control) watchRows(ctx context.Context) error {
	var versions map[string]uint64
	var readAt time.Time
	failures := 0
	for {
		now := time.Now()
		v, rows, err := c.readRows(ctx, versions, now.Sub(readAt) > maxRowsAge)
		switch {
		case err != nil:
			if failures++; failures == 1 && ctx.Err() == nil {
				c.opts.Log.Warn("groups could not be read; the last view stays in use", "error", err)
				c.opts.Timeline.Add(timeline.Event{Kind: timeline.StoreChanged, Reason: "unavailable"})
			}
		default:
			if failures > 0 {
				c.opts.Timeline.Add(timeline.Event{Kind: timeline.StoreChanged, Reason: "back"})
			}
			failures, versions = 0, v
			if rows != nil {
				readAt = now
				c.replaceRows(rows)
			} else {
				c.mu.Lock()
				c.updateHomes()
				c.mu.Unlock()
			}
		}
		wait := max(minWatchPeriod, time.Duration(len(c.opts.Daemons.Daemons()))*watchPeriodPerDaemon)
		wait -= time.Duration(rand.Float64() * 0.2 * float64(wait))
		if failures > 0 {
			wait = backoff(failures)
		}
		if c.waitOrWake(ctx, wait, c.wakeWatch) != nil {
			return nil
		}
	}
}

// readRows returns the versions of the counter rows. It returns the group rows as well if a version has changed or all
// is set, and nil otherwise.
func (c *Control) readRows(ctx context.Context, versions map[string]uint64, all bool) (map[string]uint64, map[string]group.Row, error) {
	counters, err := c.scan(ctx, group.PrefixCounter)
	if err != nil {
		return nil, nil, err
	}
	next := map[string]uint64{}
	unchanged := versions != nil && len(counters) == len(versions) && !all
	for _, r := range counters {
		next[r.Key] = r.Version
		unchanged = unchanged && versions[r.Key] == r.Version
	}
	if unchanged {
		return next, nil, nil
	}
	// The groups are read after the counters, so a change between the two reads changes a version at the next read.
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

// scan and commit make a single call to the table service each. The timeout applies to each call rather than to a
// sequence, so that a slow table service is not taken for an unavailable one.
func (c *Control) scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return c.opts.Platform.Scan(ctx, prefix)
}

func (c *Control) commit(ctx context.Context, x platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := c.opts.Platform.Commit(ctx, x)
	return err
}

// recheckInstances resets the instances that probes took for lost and probes them again.
func (c *Control) recheckInstances() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordInstanceChanges(c.members.DiscardProbes())
	c.updatePresence(time.Now())
	wake(c.wakeProbe)
}

// waitOrWake waits for d, a wake-up or the end of ctx. It returns an error only if ctx is done.
func (c *Control) waitOrWake(ctx context.Context, d time.Duration, woken <-chan struct{}) error {
	wait := make(chan struct{})
	stop := timer.AfterFunc(d, func() { close(wait) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait:
	case <-woken:
	}
	return nil
}

func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 8), maxBackoff)
	return time.Duration(float64(d) * (0.5 + rand.Float64()/2))
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe asks engines for their states. A round starts every period, or at once on a wake-up; an instance with a probe in
// flight is skipped.
func (c *Control) probe(ctx context.Context) error {
	tick, stop := timer.Every(loadingProbePeriod, 0.1)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxProbes)
	var mu sync.Mutex
	inFlight := map[string]bool{}
	lastStart, lastCounted := map[string]time.Time{}, map[string]time.Time{}
	start := func(key string, period time.Duration, f func(ctx context.Context, countFailure bool)) {
		mu.Lock()
		defer mu.Unlock()
		if inFlight[key] || time.Since(lastStart[key]) < period*4/5 {
			return
		}
		// Failures are counted at most once per member.ProbePeriod, however often wake-ups or the shorter period while
		// loading cause probes: three failures in a row are to span the time within which a loss is detected.
		countFailure := time.Since(lastCounted[key]) >= member.ProbePeriod*4/5
		started := g.TryGo(func() error {
			pctx, cancel := context.WithTimeout(gctx, member.ProbeTimeout)
			defer cancel()
			f(pctx, countFailure)
			mu.Lock()
			defer mu.Unlock()
			delete(inFlight, key)
			return nil
		})
		if started {
			inFlight[key], lastStart[key] = true, time.Now()
			if countFailure {
				lastCounted[key] = time.Now()
			}
		}
	}
	for {
		states, loads, loading := c.probeTargets(time.Now())
		mu.Lock()
		for key, at := range lastStart {
			if time.Since(at) > time.Minute {
				delete(lastStart, key)
				delete(lastCounted, key)
			}
		}
		mu.Unlock()
		for _, m := range states {
			period := member.ProbePeriod
			if loading[m.ID] {
				period = loadingProbePeriod
			}
			start(m.ID, period, func(ctx context.Context, countFailure bool) { c.probeState(ctx, m, countFailure) })
		}
		for _, r := range loads {
			start("load "+r.ID, member.ProbePeriod, func(ctx context.Context, _ bool) { c.pollLoad(ctx, r) })
		}
		c.mu.Lock()
		c.updatePresence(time.Now())
		c.mu.Unlock()
		c.reportLosses(ctx, g)
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-tick:
		case <-c.wakeProbe:
		}
	}
}

// probeTargets returns the instances to probe for their states, the groups to poll for their load, and which instances
// are loading.
func (c *Control) probeTargets(now time.Time) (states []group.Member, loads []group.Row, loading map[string]bool) {
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
		remote := !t.home && t.row.Phase == group.Serving && (c.opts.UsesGroup == nil || c.opts.UsesGroup(t.row.ID))
		reportedByHome := remote && now.Sub(t.homeProof) < maxHomeReportAge
		if (remote && !reportedByHome || t.row.Phase == group.Draining) && now.Sub(t.loadAskedAt) >= remotePollPeriod*9/10 {
			t.loadAskedAt = now
			loads = append(loads, t.row)
		}
	}
	for _, list := range c.plannerProbes {
		add(list)
	}
	add(slices.Collect(maps.Values(c.suspects)))
	return states, loads, loading
}

// probeState asks a member for its state. countFailure is whether a failure counts as a failed probe.
func (c *Control) probeState(ctx context.Context, m group.Member, countFailure bool) {
	asked := time.Now()
	s, err := c.opts.Engine.State(ctx, m.Addr)
	now := time.Now()
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return // The daemon is stopping; the error says nothing about the engine.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, suspected := c.suspects[m.ID]
	delete(c.suspects, m.ID)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.recordInstanceChanges(c.members.RecordRefusal(m.ID))
	case err != nil && suspected:
		c.recordInstanceChanges(c.members.RecordMissing(m.ID))
	case err != nil && !countFailure:
	default:
		c.recordInstanceChanges(c.members.RecordProbe(m.ID, err == nil))
	}
	if err == nil {
		c.states[m.ID] = group.ObservedState{State: s, At: asked}
		for _, t := range c.rows {
			i := slices.IndexFunc(t.row.Members, func(x group.Member) bool { return x.ID == m.ID })
			switch {
			case i < 0 || !t.home:
			case t.row.Matches(i, s):
				t.matchedAt[i] = asked
				if t.mismatched == m.ID {
					t.mismatched = ""
				}
				if t.reportedMissing == m.ID {
					t.reportedMissing = ""
				}
			case t.row.Phase == group.Serving:
				t.mismatched = m.ID
			}
		}
	}
	c.updatePresence(now)
	if err != nil {
		wake(c.wakeProbe) // The next round reports the loss.
	}
	for _, s := range c.services {
		wake(s.wake)
	}
}

func (c *Control) pollLoad(ctx context.Context, r group.Row) {
	asked := time.Now()
	l, err := c.opts.Engine.Load(ctx, r.Members[0].Addr)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.rows[r.ID]
	if t == nil || t.row.Generation != r.Generation {
		return
	}
	if err == nil && t.row.Phase == group.Draining && l.Running+l.Waiting == 0 {
		t.idleAt = asked
	}
	if t.home {
		return
	}
	switch {
	case err != nil:
		// The proof is not renewed, and the group stops being present once it is maxRemoteProofAge old.
	case l.Group == r.ID && l.Generation == r.Generation && l.Present:
		t.remoteProof, t.mismatched, t.reportedMissing = asked, "", ""
	default:
		t.mismatched = r.Members[0].ID
	}
	c.updatePresence(now)
}

// reportLosses writes a row to the table service, for the lease holder to read, for each group whose home this daemon is
// and that lost a member. A failed write is retried until the group has another generation. A daemon that has just
// become the home, or that could not reach the table service, may have been cut off from the network: it first probes
// for maxProofAge, long enough to see the members again.
func (c *Control) reportLosses(ctx context.Context, g *errgroup.Group) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.rows {
		if !t.home || t.present || t.row.Phase != group.Serving || c.reported[id] == t.row.Generation || now.Before(t.reportAfter) {
			continue
		}
		rep := group.Report{Generation: t.row.Generation, Instance: t.mismatched}
		if lost := c.lostMember(t); lost != "" {
			rep.Instance, rep.Missing = lost, true
		}
		if rep.Instance == "" {
			continue
		}
		c.reported[id] = rep.Generation
		if rep.Missing && c.opts.OnLost != nil && t.notifiedLoss != rep.Instance {
			t.notifiedLoss = rep.Instance
			cfg, _ := c.opts.Config()
			c.opts.OnLost(c.view(now, t, cfg), rep.Instance)
		}
		started := g.TryGo(func() error {
			if err := c.writeLossReport(ctx, id, rep); err != nil && ctx.Err() == nil {
				c.opts.Log.Warn("loss could not be reported", "group", id, "instance", rep.Instance, "error", err)
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.reported[id] == rep.Generation {
					delete(c.reported, id)
				}
				t.reportAfter = time.Now().Add(maxProofAge)
			}
			return nil
		})
		if !started {
			delete(c.reported, id)
		}
	}
}

func (c *Control) writeLossReport(ctx context.Context, id string, rep group.Report) error {
	x, err := lossReportTxn(id, &rep)
	if err != nil {
		return fmt.Errorf("encode loss report for group %s: %w", id, err)
	}
	// The write has no conditions and is idempotent, so after a lost answer the report is simply written again.
	return c.commit(ctx, x)
}
