package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingorudder.example/internal/election"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/intake"
	"flamingorudder.example/internal/startup"
	"flamingorudder.example/internal/timer"
)

const (
	// discoveryTime is how long a daemon that has just started listens for peers before it takes part in the election, and before it
	// reads the rows of daemons again after the first start of a fleet. It covers several digests of a large data centre.
	discoveryTime = 500 * time.Millisecond
	// maxDiscoveryTime is how long after its start a daemon may not know all live peers.
	maxDiscoveryTime = 2 * time.Second
	// startTick is how often a daemon without data decides anew. Digests and the rows of daemons cause a decision at once.
	startTick = 5 * time.Millisecond
	// startRelayTimeout bounds the request for the complete state to a peer, after which another one is asked. A peer that failed is
	// not asked again for relayPause.
	startRelayTimeout = 150 * time.Millisecond
	relayPause        = 50 * time.Millisecond
	// maxStartWait is the longest time for which a request waits for the first configuration, startWaitShare the inverse of the
	// longest part of its own timeout.
	maxStartWait   = 500 * time.Millisecond
	startWaitShare = 3
	// startWaitBytes is the memory that a waiting request is charged for: its header, whose size is limited to 16 KiB by the usual
	// configurations, and its connection. Its body is read later.
	startWaitBytes = 32 << 10
	// idleAfterStart is how long a daemon that has just started counts as idle at schedulers that have no report of it. A daemon with
	// work reports several times in it.
	idleAfterStart = time.Second
)

// start is the state of a daemon's start, until it knows the configuration and the entries of backend servers.
type start struct {
	// wake has an entry when something has happened that may change whom to ask.
	wake chan struct{}
	// decided is closed when a peer has relayed the first data or the store is to be asked, synced when configuration and entries are
	// known.
	decided, synced chan struct{}
	syncedOnce      sync.Once
	// relay is the name of the peer that relayed the first data, nil if there is none.
	relay atomic.Pointer[string]
	// hadRow is set if the store has a row of an earlier lifetime. Only pollDaemons uses it.
	hadRow bool
	// took is the time until configuration and entries were known in milliseconds, waiting the number of requests that wait for them.
	// unconfirmed counts the responses of peers that were not used.
	took, waiting, unconfirmed atomic.Int64
	// rowsTook is how long the first read of the rows of daemons took, in nanoseconds.
	rowsTook atomic.Int64
}

func newStart() *start {
	return &start{wake: make(chan struct{}, 1), decided: make(chan struct{}), synced: make(chan struct{})}
}

// notify has the daemon decide anew whom to ask.
func (s *start) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// await waits until it is known whether a peer or the store has the first data.
func (s *start) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.decided:
	}
}

// findSource returns when a peer has relayed the first data or the store is to be asked.
func (f *storeSync) findSource(ctx context.Context) {
	defer close(f.start.decided)
	plan := startup.NewPlan(rand.Float64())
	ticks, stop := timer.Every(startTick, 0)
	defer stop()
	failed := map[string]time.Time{}
	last, listened, rowsRead, sourceSince := f.started, time.Duration(0), time.Duration(0), time.Duration(0)
	for {
		now := time.Now()
		listened += min(now.Sub(last), 2*startTick)
		last = now
		state, sources := f.startState(now)
		if rowsRead == 0 && f.d.peersLoaded.Load() {
			rowsRead = listened
		}
		if len(sources) > 0 && sourceSince == 0 {
			sourceSince = listened
		}
		state.Elapsed, state.RowsRead, state.SourceSince = listened, rowsRead, sourceSince
		switch plan.Next(state) {
		case startup.AskStore:
			f.d.log.Info("asks the store for the first configuration", "after", now.Sub(f.started), "daemons", state.Daemons, "preceding", state.Preceding, "sources", len(sources))
			return
		case startup.AskPeer:
			sources = slices.DeleteFunc(sources, func(m *gossip.Peer) bool { return now.Before(failed[m.Name]) })
			if len(sources) == 0 {
				break
			}
			m := sources[rand.IntN(len(sources))]
			if f.bootstrap(ctx, m) {
				return
			}
			failed[m.Name] = time.Now().Add(relayPause)
		case startup.Wait:
		}
		select {
		case <-ctx.Done():
			return
		case <-f.start.wake:
		case <-ticks:
		}
	}
}

// startState returns what this daemon knows but for the times, and the synchronised peers to ask: those of its data centre, or of others if there are none.
func (f *storeSync) startState(now time.Time) (startup.State, []*gossip.Peer) {
	d := f.d
	out := startup.State{RowsTook: time.Duration(f.start.rowsTook.Load()), Restored: f.storeEra() > election.FirstEra}
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	out.Daemons, out.Preceding = len(d.members.All(now))+1, d.members.Preceding(now)
	var local, remote []*gossip.Peer
	for _, m := range d.members.Live(now) {
		switch {
		case !m.Ready || !m.StoreUp:
		case m.DataCentre == d.settings().DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	out.Local, out.Remote = len(local), len(remote)
	if len(local) > 0 {
		return out, local
	}
	return out, remote
}

// bootstrap fetches the complete state from a peer. It reports false if the peer has none that this daemon may use.
func (f *storeSync) bootstrap(ctx context.Context, source *gossip.Peer) bool {
	callCtx, cancel := context.WithTimeout(ctx, startRelayTimeout)
	defer cancel()
	in, err := f.fetch(callCtx, source.PeerAddr, pathAll)
	if err != nil {
		if ctx.Err() == nil {
			f.d.log.Warn("cannot fetch the complete state from a peer", "name", source.Name, "error", err)
		}
		return false
	}
	if in.Age > maxRelayAge || in.Version == 0 || in.Era < f.storeEra() || !f.applyRelayedConfig(in, source.Name) {
		return false
	}
	f.observeEra(in.Era)
	f.start.relay.Store(&source.Name)
	f.markSynced(in.WithHeartbeats)
	f.recordStoreResult(nil)
	f.applyServers(in.Servers, true, in.position(), in.Age, time.Time{})
	f.inheritDoubt(in.Doubt)
	return true
}

// isConfirmed reports whether a daemon without a configuration may use that of a peer. Peers of earlier builds do not tell how recently
// the store has confirmed it; they are trusted only once the store has had time to answer.
func (f *storeSync) isConfirmed(now time.Time, in peerState) bool {
	if in.Era < f.storeEra() {
		return false
	}
	return startup.MayTake(in.ConfigAge) || in.ConfigAge == 0 && in.Following && now.Sub(f.started) >= maxDiscoveryTime
}

// startRelay returns the peer that relayed the first data, for as long as this daemon may not know all peers of its data centre and so
// cannot tell which of them reads the store. It returns nil if this daemon is to do so.
func (f *storeSync) startRelay(now time.Time) *gossip.Peer {
	name := f.start.relay.Load()
	if name == nil || now.Sub(f.started) >= maxDiscoveryTime {
		return nil
	}
	f.d.peersMu.Lock()
	defer f.d.peersMu.Unlock()
	if f.d.members.Preceding(now) == 0 {
		return nil
	}
	for _, m := range f.d.members.Live(now) {
		if m.Name == *name && m.Ready && m.StoreUp {
			return m
		}
	}
	return nil
}

// noteSynced records that configuration, evacuations and entries are known, if so.
func (d *Daemon) noteSynced() {
	if d.config.Load() == nil || d.evacuations.Load() == nil || d.view.Load().Read.IsZero() {
		return
	}
	d.feed.start.syncedOnce.Do(func() {
		d.feed.start.took.Store(max(time.Since(d.feed.started).Milliseconds(), 1))
		close(d.feed.start.synced)
	})
}

// announceStart tells other daemons once this one is synchronised: those that start as well may ask it for its data, and all have to
// choose the same schedulers.
func (d *Daemon) announceStart(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.feed.start.synced:
	}
	source := "store"
	if name := d.feed.start.relay.Load(); name != nil {
		source = *name
	}
	now := time.Now()
	d.peersMu.Lock()
	hub := d.members.ExpectedHub(now)
	to := d.members.All(now)
	d.peersMu.Unlock()
	d.log.Info("ready", "after", now.Sub(d.feed.started), "source", source, "daemons", len(to)+1, "waiting", d.feed.start.waiting.Load(), "unconfirmed", d.feed.start.unconfirmed.Load())
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	d.sendDigest(to[:startup.FanOut(len(to), source == "store", hub)], 0)
}

// helpStart handles the digest of a daemon while one of the two starts: it may be the peer that this daemon waits for, or one that waits
// for its peers.
func (d *Daemon) helpStart(m gossip.Digest) {
	if !d.ready() {
		d.feed.start.notify()
		return
	}
	if m.ConfigVersion > 0 || !d.storeOK.Load() || m.Name == d.settings().Name {
		return
	}
	d.peersMu.Lock()
	synchronised := d.members.LiveInDataCentre(time.Now())
	d.peersMu.Unlock()
	if startup.Replies(m.DataCentre == d.settings().DataCentre, synchronised, rand.Float64()) {
		d.sendDigest([]*gossip.Peer{{Digest: m}}, 0)
	}
}

// startedFraction returns the fraction of the other daemons that have started lately and so hold no work that they have not reported.
func (d *Daemon) startedFraction(now time.Time) float64 {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	return d.members.StartedFraction(now, idleAfterStart)
}

// awaitStart has a request of a caller wait for the first configuration and entries. It returns at once if they are known, if the memory
// for requests is used up, or if another daemon has handed the request over: that one has others to choose from.
func (x *exchange) awaitStart() {
	s := x.d.feed.start
	select {
	case <-s.synced:
		return
	default:
	}
	if x.from != "" {
		return
	}
	if x.memory.Grow(time.Now(), intake.Head, startWaitBytes) != nil {
		return
	}
	defer x.memory.Shrink(startWaitBytes)
	limit := maxStartWait
	if t := x.call.Timeout; t > 0 {
		limit = min(limit, t/startWaitShare)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), limit)
	defer cancel()
	defer context.AfterFunc(x.d.closed, cancel)()
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case <-s.synced:
	case <-ctx.Done():
	}
}
