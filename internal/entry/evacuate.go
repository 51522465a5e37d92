package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/evacuation"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/startup"
	"flamingorudder.example/platform"
)

// EvacuatedError reports a request that is not sent to a backend server because its data centre is evacuated.
type EvacuatedError struct{ DataCentre string }

func (e *EvacuatedError) Error() string { return "data centre " + e.DataCentre + " is evacuated" }

// reasonEvacuated is the reason of the rejection of a request that only evacuated backend servers could serve.
const reasonEvacuated = "all backend servers are in evacuated data centres"

// continuity holds whether the process may have missed changes of the evacuations. It is safe for concurrent use.
type continuity struct {
	mu sync.Mutex
	evacuation.Continuity
	// missed is set while it may have.
	missed atomic.Bool
	// stale is set while the datagrams in the socket may be from before the last pause.
	stale atomic.Bool
}

// minPauseLimit is the shortest pause of the process that counts. A busy instance with a fifth of a core may stand still for less.
const minPauseLimit = 500 * time.Millisecond

// pauseLimit returns how long the process may stand still without a new read of the evacuations. The other half of the bound is for
// changes to arrive. It is zero if the settings have no bound.
func (d *Daemon) pauseLimit() time.Duration {
	if d.settings().Evacuate <= 0 {
		return 0
	}
	return max(d.settings().Evacuate/2, minPauseLimit)
}

// observeRunning records that the process runs. After a long pause, the evacuations are read again before a backend server is used.
func (d *Daemon) observeRunning() {
	c := &d.continuity
	c.mu.Lock()
	now := leaseClock()
	if c.Gap(now) >= maxDatagramAge {
		c.stale.Store(true)
	}
	resumed := c.Observe(now, d.pauseLimit())
	c.missed.Store(!c.Current())
	c.mu.Unlock()
	if resumed {
		d.log.Warn("process was paused; no backend server is used until the evacuations have been read")
		d.feed.endLongPolls()
	}
}

// recordEvacuationRead records the end of a read of the evacuations that began at a time of leaseClock.
func (d *Daemon) recordEvacuationRead(began time.Duration, ok bool) {
	c := &d.continuity
	c.mu.Lock()
	c.RecordRead(began, leaseClock(), d.pauseLimit(), ok)
	current := c.Current()
	ended := c.missed.Swap(!current) && current
	c.mu.Unlock()
	if ended {
		d.log.Info("evacuations read after a pause", "succeeded", ok)
		d.dispatch.groupsChanged()
	}
}

// evacuated reports whether no new request may be sent to a backend server, because its data centre is evacuated or it is not known
// which ones are.
func (d *Daemon) evacuated(s *roster.Server) bool {
	set := d.evacuations.Load()
	switch {
	case set == nil || d.continuity.missed.Load():
		return true
	case set.Len() == 0:
		return false
	}
	name := s.DataCentre
	if name == "" {
		// The scheduler of a model names only the address of a head.
		listed := d.view.Load().Servers[s.ID]
		if listed == nil {
			return true
		}
		name = listed.DataCentre
	}
	return set.Covers(name)
}

// checkEvacuation returns an error if a request must not be sent to a backend server because of an evacuation.
func (x *exchange) checkEvacuation(s *roster.Server) error {
	x.d.observeRunning()
	if !x.d.evacuated(s) {
		return nil
	}
	x.d.metrics.RecordWithheldAttempt(x.service)
	return &backend.NotSentError{Server: s.ID, Err: &EvacuatedError{s.DataCentre}}
}

// checkServer returns an error if a request must not be sent to a backend server, the head of the group with that key or, if it is empty,
// one of a plain service. It is called right before it would be.
func (x *exchange) checkServer(s *roster.Server, group string) error {
	if err := x.checkEvacuation(s); err != nil {
		return err
	}
	return x.checkHomes(s, group)
}

// outsideEvacuation returns those of the backend servers to which requests may be sent.
func (d *Daemon) outsideEvacuation(servers []*roster.Server) []*roster.Server {
	if set := d.evacuations.Load(); set != nil && set.Len() == 0 && !d.continuity.missed.Load() {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), d.evacuated)
}

// withoutEarlierBuilds returns the daemons to which requests may be handed over. While a data centre is evacuated, those of earlier builds
// would send them there.
func (d *Daemon) withoutEarlierBuilds(peers []*gossip.Peer) []*gossip.Peer {
	if set := d.evacuations.Load(); set != nil && set.Len() == 0 {
		return peers
	}
	return slices.DeleteFunc(peers, func(m *gossip.Peer) bool { return m.Evacuations == nil })
}

// serves reports whether a group takes new requests for a model.
func (d *Daemon) serves(g *roster.Group, model string) bool {
	return g.Model == model && g.Complete() && !d.evacuated(g.Head)
}

// onlyEvacuated reports whether a service, or a model of it, has backend servers that could serve it but for an evacuation.
func (d *Daemon) onlyEvacuated(m schedule.Model) bool {
	set := d.evacuations.Load()
	if set == nil || set.Len() == 0 {
		return false
	}
	v := d.view.Load()
	if m.Name == "" {
		servers := v.Services[m.Service]
		return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *roster.Server) bool { return !d.evacuated(s) })
	}
	found := false
	for _, g := range v.Groups[m.Service] {
		switch {
		case d.serves(g, m.Name):
			return false
		case g.Model == m.Name && g.Complete():
			found = true
		}
	}
	return found
}

// evacuationRejection returns the rejection of a request that only evacuated backend servers could serve, or nil.
func (x *exchange) evacuationRejection(m schedule.Model) error {
	if !x.d.onlyEvacuated(m) {
		return nil
	}
	// Another daemon could not serve the request either, so that this is final for one that was handed over.
	return &RejectedError{balance.RetryDelay(time.Now(), x.deadline, rand.Float64), reasonEvacuated}
}

// rejectEvacuated rejects the requests that wait for a model whose groups are all in evacuated data centres. p.mu is held.
func (p *dispatcher) rejectEvacuated(now time.Time) {
	if set := p.d.evacuations.Load(); set == nil || set.Len() == 0 {
		return
	}
	only := map[schedule.Model]bool{}
	for id, w := range p.waiters {
		hopeless, ok := only[w.model]
		if !ok {
			hopeless = p.d.onlyEvacuated(w.model)
			only[w.model] = hopeless
		}
		if hopeless {
			p.withdraw(id, w, &RejectedError{balance.RetryDelay(now, w.until, rand.Float64), reasonEvacuated})
		}
	}
}

// applyEvacuationRows applies the rows of the operators' table that evacuate data centres; whole is set if the page has all rows.
func (f *storeSync) applyEvacuationRows(page platform.Page, whole bool) {
	now := time.Now()
	names, changes := []string{}, []evacuation.Change{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Rows {
		name, ok := platform.EvacuatedDataCentre(r.Key)
		if !ok {
			continue
		}
		if name == "" {
			f.reportUnknownDataCentre(name)
		}
		changes = append(changes, evacuation.Change{DataCentre: name, Removed: r.Removed})
		if !r.Removed {
			names = append(names, name)
		}
	}
	if whole {
		f.evacuations.Replace(now, page.Position(), names)
	} else {
		f.evacuations.Update(now, page.Position(), changes)
	}
	// The daemons that read the store are few, so that all of them may tell all others at once.
	if f.publishEvacuations("store") {
		f.d.requestAnnouncement()
	}
}

// mergeRelayed takes over the evacuations that came with a relayed configuration. A daemon that has just started trusts only a peer that
// follows the store or has lately got a confirmation from one, or any if none does: the set of another one may lack the latest changes.
func (f *storeSync) mergeRelayed(in peerState, source string) {
	if in.Evacuations == nil {
		return
	}
	now := time.Now()
	trusted := in.Following || startup.MayTake(in.ConfigAge) || f.storeIsUnreachable(now)
	if in.Following {
		defer f.d.recordEvacuationRead(in.began, true)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if trusted || f.evacuations.Set() != nil {
		f.evacuations.Merge(now, in.Evacuations)
		f.publishEvacuations(source)
	}
}

// mergeDigest takes over the evacuations in a digest. They do not make the set known, since their sender may be cut off from the store.
func (f *storeSync) mergeDigest(s *evacuation.State, source string) {
	if s == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuations.Set() != nil {
		f.evacuations.Merge(time.Now(), s)
		f.publishEvacuations(source)
	}
}

// endLongPolls ends the waiting reads of the store, so that they begin again.
func (f *storeSync) endLongPolls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end()
	f.current, f.end = context.WithCancel(context.Background())
}

// expireEvacuations ends the evacuations that a restored store lacks and whose time is over.
func (f *storeSync) expireEvacuations(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations.Expire(now)
	f.publishEvacuations("restored store")
}

// publishEvacuations puts the known set in force and reports whether it has changed. f.mu is held.
func (f *storeSync) publishEvacuations(source string) (changed bool) {
	set, old := f.evacuations.Set(), f.d.evacuations.Load()
	if set == old {
		return false
	}
	f.d.evacuations.Store(set)
	f.d.noteSynced()
	for _, name := range set.DataCentres() {
		if old == nil || !old.Covers(name) {
			f.d.log.Warn("data centre evacuated", "data_centre", name, "source", source)
		}
	}
	if old != nil {
		for _, name := range old.DataCentres() {
			if !set.Covers(name) {
				f.d.log.Info("evacuation of a data centre ended", "data_centre", name, "source", source)
				f.d.cold.Presume(name, set.EndedAt(name))
			}
		}
	}
	f.d.dispatch.groupsChanged()
	return true
}

// evacuationState returns the evacuations as this daemon tells them to others; see evacuation.Tracker.State.
func (f *storeSync) evacuationState(now time.Time, short bool) *evacuation.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.State(now, short)
}

// reportUnknownDataCentres logs and counts, once each, the evacuated data centres that have neither backend servers nor daemons.
func (f *storeSync) reportUnknownDataCentres() {
	set, v := f.d.evacuations.Load(), f.d.view.Load()
	if set == nil || set.Len() == 0 || v.Read.IsZero() {
		return
	}
	known := map[string]bool{f.d.settings().DataCentre: true}
	for _, s := range v.Servers {
		known[s.DataCentre] = true
	}
	for _, m := range f.d.livePeers(time.Now()) {
		known[m.DataCentre] = true
	}
	delete(known, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range set.DataCentres() {
		if !known[name] {
			f.reportUnknownDataCentre(name)
		}
	}
}

// reportUnknownDataCentre logs and counts an evacuated data centre once. f.mu is held.
func (f *storeSync) reportUnknownDataCentre(name string) {
	if f.invalidEvacuations[name] {
		return
	}
	if f.invalidEvacuations == nil {
		f.invalidEvacuations = map[string]bool{}
	}
	f.invalidEvacuations[name] = true
	f.d.metrics.RecordUnknownEvacuation()
	f.d.log.Warn("evacuated data centre has neither backend servers nor daemons", "data_centre", name)
}
