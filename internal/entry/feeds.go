package entry

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

const (
	// storeTimeout bounds a call to the store; slow answers take some hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// quietWait is how long a read waits for a change of the configuration at a daemon that hears of changes from others.
	quietWait = 25 * time.Second
	// applyParts is the part of the time for applying a configuration that an answer may be late before the connection
	// counts as silent.
	applyParts = 4
	// minServersPeriod and maxServersPeriod bound how often the entries of backend servers are read.
	minServersPeriod = 200 * time.Millisecond
	maxServersPeriod = time.Second
	// readsInDrain is how often they are read within the time after which a leaving backend server must get no new
	// requests; one read is for the daemon that tells another, one for a call that is lost.
	readsInDrain = 5
	// readsPart is the part of the store's reading calls that all daemons together use to read entries, even if each of
	// them has to read for itself.
	readsPart = 0.25
	// daemonsPeriod is how often the rows of daemons are read; presence comes with digests.
	daemonsPeriod = 5 * time.Second
	// daemonsSpread is how much each other daemon adds to it, so that the calls of all do not grow with their square.
	daemonsSpread = 300 * time.Millisecond
	// hubSpread bounds that at daemons that tell all others: well within the time for which a silent daemon is remembered.
	hubSpread = 10 * time.Second
	// rowPeriod is how often a daemon writes its own row.
	rowPeriod = 10 * time.Second
	// lapseGrace is how long backend servers have to register again after the store was away.
	lapseGrace = 2 * time.Second
	// retryFirst and retryMax bound the pause after a call that failed.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// peerTimeout bounds a question to another daemon.
	peerTimeout = 500 * time.Millisecond
	// relayReads is after how many missed reads another daemon is asked for what it knows; a store that is silent is then
	// still being waited for.
	relayReads = 2
	// relayPeriod is how often it is asked.
	relayPeriod = 250 * time.Millisecond
	// nearAsks is one in how many such questions goes to any daemon, whatever its data centre; those that are near may all be
	// out of reach.
	nearAsks = 4
	// behindFor is how long another daemon may have a newer configuration before it is asked for it.
	behindFor = 250 * time.Millisecond
	maxRelay  = 16 << 20
)

const tableDaemons = "daemon"

// feeds keeps what the daemon knows up to date with the store, or with another daemon while the store does not answer.
type feeds struct {
	d *Daemon
	// peers asks other daemons.
	peers *http.Client
	mu    sync.Mutex
	// rawConfig is the newest configuration as it was stored, for daemons that the store turns away.
	rawConfig []byte
	// packed is rawConfig compressed, nil until another daemon asks for it.
	packed []byte
	// following tells whether the last read of the configuration succeeded, toldConfig when a daemon that follows it last told
	// this one that its configuration is the newest.
	following  bool
	toldConfig time.Time
	// rawServers is the entries as they were stored, with those removed lately; version is that of the store up to which
	// they are known, readAt when that was so.
	rawServers map[string]entryRow
	version    int64
	readAt     time.Time
	tracker    *roster.Tracker
	// started is when the daemon began.
	started time.Time
}

// newFeeds returns feeds that know nothing and a function that closes their connections to other daemons.
func newFeeds(d *Daemon) (*feeds, func()) {
	t := &http.Transport{
		DialContext: netopt.Dialer(peerTimeout).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: storeTimeout * 4,
	}
	return &feeds{
		d: d, started: time.Now(), peers: &http.Client{Transport: t}, rawServers: map[string]entryRow{}, tracker: roster.NewTracker(lapseGrace, d.beatSilence()),
	}, t.CloseIdleConnections
}

// backOff waits longer after each failure.
type backOff struct{ d time.Duration }

const (
	// fleetProbe is what each daemon of a fleet that misses the store adds to the pause between its calls, so that all
	// together call as often at any size; the first that is answered tells the others.
	fleetProbe = 100 * time.Millisecond
	// relayedMax bounds the pause while another daemon tells what the store would.
	relayedMax = 3 * time.Second
	// lookUp is how often a daemon that waits looks whether others have found the store.
	lookUp = 200 * time.Millisecond
)

// wait waits after a failed call to the store: for as long as the whole fleet misses it, or until others have found it.
func (b *backOff) wait(ctx context.Context, f *feeds) {
	b.d = max(b.d*2, retryFirst)
	began, part := time.Now(), 0.5+rand.Float64()/2
	for ctx.Err() == nil {
		now := time.Now()
		limit := retryMax
		switch {
		case f.storeIsAway(now):
			if all := time.Duration(f.d.fleet(now)) * fleetProbe; all > limit {
				limit, b.d = all, time.Duration(float64(all)*part)
			}
		case f.isRelayed(now):
			limit = relayedMax
		}
		rest := min(b.d, limit) - now.Sub(began)
		if rest <= 0 {
			b.d = min(b.d, limit)
			return
		}
		_ = timer.Wait(ctx, min(rest, lookUp)) // the loop ends with ctx
	}
}

// storeIsAway tells whether no other daemon reaches the store, as far as this one hears any.
func (f *feeds) storeIsAway(now time.Time) bool {
	live := f.d.live(now)
	for _, m := range live {
		if m.Store {
			return false
		}
	}
	return len(live) > 0
}

// isRelayed tells whether the entries are known as of lately although the store does not answer here.
func (f *feeds) isRelayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.readAt) <= maxAge
}

// watchConfig follows the operators' table.
func (f *feeds) watchConfig(ctx context.Context) {
	var pause backOff
	after := int64(-1)
	f.meet(ctx)
	for ctx.Err() == nil {
		if now := time.Now(); f.configIsTold(now) || f.d.config.Load() == nil && f.mayBeTold(now) {
			after = -1
			_ = timer.Wait(ctx, toldPeriod) // the loop ends with ctx
			continue
		}
		var page platform.Page
		var err error
		if after < 0 {
			page, err = f.d.storeCall(ctx, "configuration", storeTimeout, func(ctx context.Context) (platform.Page, error) {
				return f.d.store.Rows(ctx, platform.TableOperator)
			})
		} else {
			wait := f.configWait()
			page, err = f.d.storeCall(ctx, "configuration", wait+f.d.settings().Apply/applyParts, func(ctx context.Context) (platform.Page, error) {
				return f.d.store.Feed(ctx, platform.TableOperator, after, wait)
			})
		}
		f.mu.Lock()
		f.following = err == nil
		f.mu.Unlock()
		if err != nil {
			if ctx.Err() == nil {
				f.d.log.Warn("read configuration from the store", "error", err)
			}
			after = -1
			pause.wait(ctx, f)
			continue
		}
		pause = backOff{}
		after = page.Version
		for _, r := range page.Rows {
			if r.Key == platform.ConfigKey && !r.Removed {
				f.apply(r.Value, "store")
			}
		}
	}
}

const (
	// meetTime is how long a daemon that has just started listens for others before it asks the store for what they may know:
	// several digests of a large data centre.
	meetTime = 500 * time.Millisecond
	// meetMax bounds the time until a fresh daemon asks the store itself although another one should tell it.
	meetMax = 2 * time.Second
	// meetPeriod is how often it asks that one meanwhile.
	meetPeriod = 150 * time.Millisecond
)

// meet waits until the daemon has had time to hear others.
func (f *feeds) meet(ctx context.Context) {
	for ctx.Err() == nil && time.Since(f.started) < meetMax {
		if f.d.met.Load() && time.Since(f.started) >= meetTime {
			return
		}
		_ = timer.Wait(ctx, meetPeriod/3) // the loop ends with ctx
	}
}

// mayBeTold tells whether a daemon that knows nothing yet should wait for another one to tell it.
func (f *feeds) mayBeTold(now time.Time) bool {
	return now.Sub(f.started) < meetMax && f.reader(now) != nil
}

// toldPeriod is how often a daemon whose configuration is told by another one looks whether that goes on.
const toldPeriod = 100 * time.Millisecond

// configIsTold tells whether the daemon that reads entries for this one tells it the configuration too, with each answer. A
// waiting read of every daemon would cost a call for each of them with each change.
func (f *feeds) configIsTold(now time.Time) bool {
	if f.reader(now) == nil || f.d.config.Load() == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.toldConfig) <= relayReads*f.serversPeriod()
}

// configWait is how long a read waits for a change of the configuration. A connection that has gone silent shows only by an
// answer that is late, so those daemons that read for others do not wait for longer than a configuration may take; the
// others hear of its version from them.
func (f *feeds) configWait() time.Duration {
	if f.reader(time.Now()) == nil {
		return f.d.settings().Apply
	}
	return quietWait
}

// call runs one call under a time limit.
func call[T any](ctx context.Context, limit time.Duration, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f(ctx)
}

// storeCall runs one call of the store under a time limit and counts it by its purpose.
func (d *Daemon) storeCall(ctx context.Context, purpose string, limit time.Duration, f func(context.Context) (platform.Page, error)) (platform.Page, error) {
	page, err := call(ctx, limit, f)
	d.metrics.Call(purpose, err)
	d.calls.add(purpose)
	return page, err
}

// callCounts counts the calls to the store by purpose, for the log.
type callCounts struct {
	mu    sync.Mutex
	all   map[string]int
	since time.Time
}

func (c *callCounts) add(purpose string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]int{}
	}
	c.all[purpose]++
}

// callsPeriod is how often the calls to the store are logged.
const callsPeriod = 10 * time.Second

// take returns the counts since they were last taken when that is long enough ago, nil otherwise.
func (c *callCounts) take(now time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.since) < callsPeriod {
		return nil
	}
	out := c.all
	c.all, c.since = nil, now
	return out
}

// apply puts a configuration in force unless a newer one is.
func (f *feeds) apply(text []byte, source string) {
	c, err := platform.DecodeConfig(text)
	if err != nil {
		f.d.log.Error("configuration cannot be used", "source", source, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.d.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	f.rawConfig, f.packed = text, nil
	f.d.config.Store(c)
	was := int64(0)
	if old != nil {
		was = old.Version
	}
	f.d.log.Info("configuration in force", "version", c.Version, "before", was, "source", source, "routes", len(c.Routes))
}

// pollServers follows the entries of backend servers.
func (f *feeds) pollServers(ctx context.Context) {
	after := int64(-1)
	var pause backOff
	f.meet(ctx)
	for ctx.Err() == nil && after < 0 && f.mayBeTold(time.Now()) {
		f.askAll(ctx, &after)
		_ = timer.Wait(ctx, meetPeriod) // the loop ends with ctx
	}
	ticks, stop := timer.Every(f.serversPeriod(), 0.1)
	defer stop()
	for {
		err := f.readServers(ctx, &after)
		f.note(err)
		if err != nil {
			pause.wait(ctx, f)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		pause = backOff{}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// askAll asks the daemon that reads the entries for this one for all that it knows.
func (f *feeds) askAll(ctx context.Context, after *int64) {
	r := f.reader(time.Now())
	if r == nil {
		return
	}
	in, err := f.fetch(ctx, r.Peer, pathAll)
	if err != nil {
		f.d.log.Warn("ask the daemon that reads for this one", "name", r.Name, "error", err)
		return
	}
	if in.Age > maxAge || in.Version == 0 {
		return // it knows nothing yet
	}
	f.takeConfig(in, r.Name)
	f.back(in.Whole)
	f.takeServers(in.Servers, true, in.Version, in.Age)
	*after = in.Version
	f.note(nil)
}

// serversPeriod is how often the entries of backend servers are read. With a store that takes few calls they are read less
// often than the time for draining asks.
func (f *feeds) serversPeriod() time.Duration {
	s := f.d.settings()
	daemons := len(f.d.live(time.Now())) + 1
	allowed := time.Duration(float64(daemons) / (s.StoreReads * readsPart) * float64(time.Second))
	return max(min(max(s.Drain/readsInDrain, minServersPeriod), maxServersPeriod), allowed)
}

// readers is how many daemons one reader of the store tells the entries to. One reader a data centre and one more for
// each such number keep the calls to the store independent of the number of daemons, and the work of a reader small.
const readers = 40

// reader returns the daemon that reads the entries for this one, nil when this daemon reads the store itself: the largest
// instances of the data centre do, and whoever gives orders, who needs every heartbeat.
func (f *feeds) reader(now time.Time) *gossip.Member {
	d := f.d
	self := d.settings()
	if d.orders() {
		return nil
	}
	before := 0
	var near []*gossip.Member
	for _, m := range d.live(now) {
		if m.DataCentre != self.DataCentre || !m.Ready {
			continue
		}
		near = append(near, m)
		if gossip.Senior(m.Cores, m.Name, self.Cores, self.Name) {
			before++
		}
	}
	n := 1 + len(near)/readers
	if before < n {
		return nil
	}
	// The first of them are the same for all; live comes in the order of names.
	slices.SortStableFunc(near, func(a, b *gossip.Member) int { return cmp.Compare(b.Cores, a.Cores) })
	return near[before%n]
}

func (f *feeds) readServers(ctx context.Context, after *int64) error {
	if r := f.reader(time.Now()); r != nil && *after >= 0 {
		in, err := f.fetch(ctx, r.Peer, fmt.Sprintf("%s?after=%d&config=%d", pathServers, *after, f.configVersion()))
		if err == nil && in.Age <= maxAge && in.Version >= *after {
			f.back(in.Whole)
			f.takeServers(in.Servers, false, in.Version, in.Age)
			f.takeConfig(in, r.Name)
			*after = in.Version
			return nil
		}
		if err != nil && ctx.Err() == nil {
			f.d.log.Warn("entries from another daemon", "name", r.Name, "error", err)
		}
	}
	page, err := f.d.storeCall(ctx, "entries", storeTimeout, func(ctx context.Context) (platform.Page, error) {
		if *after < 0 {
			return f.d.store.Rows(ctx, platform.TableServers)
		}
		return f.d.store.Feed(ctx, platform.TableServers, *after, 0)
	})
	var history *platform.HistoryError
	if errors.As(err, &history) && *after >= 0 {
		*after = -1
		return f.readServers(ctx, after)
	}
	if err != nil {
		return err
	}
	f.back(true)
	whole := *after < 0
	*after = page.Version
	rows := make([]entryRow, len(page.Rows))
	for i, r := range page.Rows {
		rows[i] = entryRow{ID: r.Key, Value: r.Value, Removed: r.Removed, Version: r.Version}
	}
	f.takeServers(rows, whole, page.Version, 0)
	return nil
}

// back notes that the entries are being read, here or through another daemon. It comes before what was read is taken, since
// entries that lapsed in an outage are kept for a while from its end. whole tells whether all changes are read, heartbeats too.
func (f *feeds) back(whole bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Back(now)
	f.tracker.Whole(now, whole)
}

// configVersion is that of the configuration in force, 0 when there is none.
func (f *feeds) configVersion() int64 {
	if c := f.d.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// takeConfig takes what another daemon told of the configuration.
func (f *feeds) takeConfig(in relay, source string) {
	if len(in.Config) > 0 {
		f.apply(in.Config, source)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.Following {
		f.toldConfig = time.Now()
	}
}

// maxAge is how old the entries that another daemon tells may be.
const maxAge = 900 * time.Millisecond

// note keeps whether the store answers.
func (f *feeds) note(err error) {
	ok := err == nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok {
		f.tracker.Hold()
	}
	if f.d.storeOK.Swap(ok) != ok {
		if ok {
			f.d.log.Info("store answers")
		} else {
			f.d.log.Warn("store lost", "error", err)
		}
	}
}

// entryRow is the entry of a backend server as it was stored.
type entryRow struct {
	ID      string `cbor:"id"`
	Value   []byte `cbor:"value"`
	Removed bool   `cbor:"removed,omitempty"`
	Version int64  `cbor:"version"`
	// at is when the row was read, changed the version at which more than its heartbeat changed.
	at      time.Time
	changed int64
}

// takeServers takes changed entries, or with whole set all of them, as they were at a version of the store some time ago.
func (f *feeds) takeServers(rows []entryRow, whole bool, version int64, age time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version {
		return
	}
	f.version, f.readAt = version, now.Add(-age)
	for id, r := range f.rawServers {
		if r.Removed && now.Sub(r.at) > removedFor {
			delete(f.rawServers, id)
		}
	}
	if whole {
		// Those who ask for what has changed have to hear what is gone.
		for id, r := range f.rawServers {
			if !r.Removed {
				f.rawServers[id] = entryRow{ID: id, Removed: true, Version: version, at: now, changed: version}
			}
		}
	}
	changes := make([]roster.Change, 0, len(rows))
	var all []*roster.Server
	for _, r := range rows {
		r.at, r.changed = now, r.Version
		if r.Removed {
			f.rawServers[r.ID] = r
			changes = append(changes, roster.Change{ID: r.ID})
			continue
		}
		s, err := platform.DecodeServer(r.ID, r.Value)
		if err != nil {
			// Another writer's entry names no backend server.
			f.d.log.Warn("entry left out", "id", r.ID, "error", err)
			f.rawServers[r.ID] = r
			changes = append(changes, roster.Change{ID: r.ID})
			continue
		}
		if old, ok := f.rawServers[r.ID]; ok && !whole && f.tracker.Renews(s) {
			r.changed = old.changed
		}
		f.rawServers[r.ID] = r
		all = append(all, s)
		changes = append(changes, roster.Change{ID: r.ID, Server: s})
	}
	if whole {
		f.tracker.Replace(now, all)
	} else {
		f.tracker.Apply(now, changes)
	}
	f.look(now)
}

// look puts a view of the entries as they are known now in force.
func (f *feeds) look(now time.Time) {
	old := f.d.view.Load()
	v := f.tracker.View(now, f.size)
	f.d.view.Store(v)
	f.logChanges(old, v)
	f.d.dispatch.update()
}

// leave notes that a backend server said that it will end; source is the daemon that heard it, empty for this one.
func (f *feeds) leave(l roster.Leaver, source string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.tracker.Leave(now, l, source == "") {
		return
	}
	f.d.log.Info("backend server says that it is leaving", "id", l.ID, "born", l.Born, "source", source)
	f.look(now)
}

// leavers returns the backend servers of which other daemons should hear that they will end.
func (f *feeds) leavers() []roster.Leaver {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Leavers(time.Now())
}

// size is the roster.Size of the configuration in force.
func (f *feeds) size(service, model string) int {
	c := f.d.config.Load()
	if c == nil {
		return 0
	}
	s := c.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	if m := s.Engine.Model(model); m != nil {
		return m.Size
	}
	return 0
}

func (f *feeds) logChanges(old, v *roster.View) {
	for id, s := range v.Servers {
		if o := old.Servers[id]; o == nil || o.State != s.State || o.Born != s.Born {
			f.d.log.Info("backend server", "id", id, "service", s.Service, "state", s.State.String(), "born", s.Born, "domain", s.Domain)
		}
	}
	for id, s := range old.Servers {
		if v.Servers[id] == nil {
			f.d.log.Info("backend server gone", "id", id, "service", s.Service)
		}
	}
}

// pollDaemons reads the rows of the other daemons and writes this one's. The rows come first: a daemon that has just started
// has to know of the others before anything else.
func (f *feeds) pollDaemons(ctx context.Context) {
	var wrote time.Time
	var pause backOff
	for ctx.Err() == nil {
		err := f.readDaemons(ctx)
		if err == nil && time.Since(wrote) >= rowPeriod+f.spread() {
			if err = f.writeDaemon(ctx); err == nil {
				wrote = time.Now()
			}
		}
		if err != nil && ctx.Err() == nil {
			f.d.log.Warn("exchange rows of daemons with the store", "error", err)
			pause.wait(ctx, f)
			continue
		}
		pause = backOff{}
		if timer.Wait(ctx, daemonsPeriod+f.spread()) != nil {
			return
		}
	}
}

// spread is how much the other daemons add to the periods of the exchange of rows. Hubs, which have to know all others, read
// more often.
func (f *feeds) spread() time.Duration {
	now := time.Now()
	spread := time.Duration(f.d.fleet(now)-1) * daemonsSpread
	f.d.peersMu.Lock()
	defer f.d.peersMu.Unlock()
	if f.d.members.Hub(now) {
		return min(spread, hubSpread)
	}
	return spread
}

func (f *feeds) writeDaemon(ctx context.Context) error {
	value, err := cbor.Marshal(f.d.digest())
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	_, err = f.d.storeCall(ctx, "row", storeTimeout, func(ctx context.Context) (platform.Page, error) {
		return f.d.store.Do(ctx, platform.Tx{Write: []platform.Row{{Table: tableDaemons, Key: f.d.settings().Name, Value: value}}})
	})
	return err
}

func (f *feeds) readDaemons(ctx context.Context) error {
	page, err := f.d.storeCall(ctx, "daemons", storeTimeout, func(ctx context.Context) (platform.Page, error) {
		return f.d.store.Rows(ctx, tableDaemons)
	})
	if err != nil {
		return err
	}
	f.d.peersMu.Lock()
	for _, r := range page.Rows {
		m, err := gossip.Decode(r.Value)
		if err != nil {
			f.d.log.Warn("row of a daemon cannot be read", "key", r.Key, "error", err)
			continue
		}
		f.d.members.Introduce(time.Now(), m)
	}
	f.d.peersMu.Unlock()
	if !f.d.met.Swap(true) {
		// The others count this daemon's work, and it theirs, only when they have heard of each other.
		f.d.greet()
	}
	return nil
}

// removedFor is how long removed entries are remembered for daemons that ask for what has changed.
const removedFor = time.Minute

// relay is what a daemon tells another one.
type relay struct {
	// Packed is the configuration as it was stored, compressed; Config is what fetch makes of it.
	Packed  []byte     `cbor:"config,omitempty"`
	Config  []byte     `cbor:"-"`
	Servers []entryRow `cbor:"servers"`
	// Version is that of the store up to which Servers are known, Age how long ago that was so.
	Version int64         `cbor:"version"`
	Age     time.Duration `cbor:"age"`
	// Store tells whether the sender reads the store now, Following whether it hears of each change of the configuration.
	Store     bool `cbor:"store"`
	Following bool `cbor:"following"`
	// Whole tells that Servers holds renewals too.
	Whole bool `cbor:"whole,omitempty"`
}

// servePeer answers another daemon.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	f := d.feed
	out := relay{Store: d.storeOK.Load()}
	after, config := int64(-1), int64(-1)
	if r.URL.Path == pathServers {
		var err, configErr error
		after, err = strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		config, configErr = strconv.ParseInt(r.URL.Query().Get("config"), 10, 64)
		if err != nil || configErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	newer := f.configVersion() > config
	// In a large fleet only the first few in line for the lease need every heartbeat, and they read the store themselves.
	whole := d.fleet(time.Now()) < gossip.Mesh
	f.mu.Lock()
	out.Version, out.Age, out.Following = f.version, time.Since(f.readAt), f.following
	out.Whole = whole && !f.tracker.Partial()
	if newer {
		out.Packed = f.pack()
	}
	if r.URL.Path != pathConfig {
		for _, row := range f.rawServers {
			if (row.changed > after || whole && row.Version > after) && (after >= 0 || !row.Removed) {
				out.Servers = append(out.Servers, row)
			}
		}
	}
	f.mu.Unlock()
	text, err := cbor.Marshal(out)
	if err != nil {
		d.log.Error("encode relay", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(text); err != nil {
		d.log.Debug("another daemon left before it was answered", "error", err)
	}
}

// pack returns the newest configuration compressed: large ones would fill the link of a small instance that tells many. f.mu
// is held.
func (f *feeds) pack() []byte {
	if f.packed == nil && f.rawConfig != nil {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err == nil {
			_, err = w.Write(f.rawConfig)
			err = errors.Join(err, w.Close())
		}
		if err != nil {
			f.d.log.Error("compress the configuration", "error", err)
			return nil
		}
		f.packed = b.Bytes()
	}
	return f.packed
}

// Paths between daemons: everything, the entries changed after a version, the configuration.
const (
	pathAll     = "/all"
	pathServers = "/servers"
	pathConfig  = "/config"
)

// askPeers asks other daemons for what the store does not tell.
func (f *feeds) askPeers(ctx context.Context) {
	ticks, stop := timer.Every(relayPeriod, 0.2)
	defer stop()
	var behind time.Time
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-ticks:
		}
		f.mu.Lock()
		failing := now.Sub(f.readAt) > relayReads*f.serversPeriod()
		f.mu.Unlock()
		mine := int64(0)
		if c := f.d.config.Load(); c != nil {
			mine = c.Version
		}
		var newest *gossip.Member
		var reading, near []*gossip.Member
		for _, m := range f.d.live(now) {
			if m.Config > mine && (newest == nil || m.Config > newest.Config) {
				newest = m
			}
			if !m.Store {
				continue
			}
			reading = append(reading, m)
			if m.DataCentre == f.d.settings().DataCentre {
				near = append(near, m)
			}
		}
		if len(near) > 0 && rand.IntN(nearAsks) > 0 {
			reading = near
		}
		if newest == nil {
			behind = time.Time{}
		} else if behind.IsZero() {
			behind = now
		}
		switch {
		case failing && len(reading) > 0:
			// Any of them, since this daemon may not reach the one that it asked last.
			f.ask(ctx, reading[rand.IntN(len(reading))].Peer, f.whatIsMissing())
		case newest != nil && now.Sub(behind) >= behindFor:
			f.ask(ctx, newest.Peer, pathConfig)
		}
	}
}

func (f *feeds) ask(ctx context.Context, peer netip.AddrPort, path string) {
	in, err := f.fetch(ctx, peer, path)
	if err != nil {
		if ctx.Err() == nil {
			f.d.log.Warn("ask another daemon", "peer", peer, "error", err)
		}
		return
	}
	f.takeConfig(in, peer.String())
	if path != pathConfig && in.Store {
		f.mu.Lock()
		f.tracker.Whole(time.Now(), false)
		f.mu.Unlock()
		f.takeServers(in.Servers, path == pathAll, in.Version, in.Age)
	}
}

// whatIsMissing is the path that asks another daemon for all that has changed since this one last read: everything, if it
// never did.
func (f *feeds) whatIsMissing() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readAt.IsZero() {
		return pathAll
	}
	return fmt.Sprintf("%s?after=%d&config=%d", pathServers, f.version, f.configVersion())
}

// fetch asks another daemon.
func (f *feeds) fetch(ctx context.Context, peer netip.AddrPort, path string) (relay, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+path, nil)
	if err != nil {
		return relay{}, fmt.Errorf("make request: %w", err)
	}
	resp, err := f.peers.Do(req)
	if err != nil {
		return relay{}, err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	if resp.StatusCode != http.StatusOK {
		return relay{}, &platform.RefusedError{Status: resp.StatusCode}
	}
	var in relay
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxRelay)).Decode(&in); err != nil {
		return relay{}, fmt.Errorf("decode answer: %w", err)
	}
	if len(in.Packed) > 0 {
		if in.Config, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(in.Packed)), maxRelay)); err != nil {
			return relay{}, fmt.Errorf("expand configuration: %w", err)
		}
	}
	return in, nil
}
