package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/region"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
)

// OutsideHomesError reports a request that is not sent to a backend server because the server, or a member of its group, is not known to
// be in a home region.
type OutsideHomesError struct{ DataCentre string }

func (e *OutsideHomesError) Error() string {
	return "data centre " + e.DataCentre + " is not known to be in a home region"
}

// reasonOutsideHomes is the reason of the rejection of a request that no backend server in its home regions can serve.
const reasonOutsideHomes = "no backend server in a home region"

// homeState is what a daemon knows of regions. It is safe for concurrent use.
type homeState struct {
	// regions is what is known of data centres. It is never nil once the daemon has been created.
	regions atomic.Pointer[region.Table]

	// mu guards the other fields and changes of regions.
	mu sync.Mutex
	// contradicted holds the daemons whose region was ignored and logged.
	contradicted map[string]bool
	// checkedVersion is the version of the configuration whose unknown home regions have been logged.
	checkedVersion int64
}

// learnRegion takes over the region that a daemon of a data centre names.
func (d *Daemon) learnRegion(dataCentre, name, daemon string) {
	h := &d.homes
	if _, learned := h.regions.Load().Learn(dataCentre, name); learned == region.Known {
		return
	}
	h.mu.Lock()
	table, learned := h.regions.Load().Learn(dataCentre, name)
	h.regions.Store(table)
	logged := h.contradicted[daemon]
	if learned == region.Contradicted && !logged {
		if h.contradicted == nil {
			h.contradicted = map[string]bool{}
		}
		h.contradicted[daemon] = true
	}
	h.mu.Unlock()
	switch {
	case learned == region.Added:
		d.log.Info("region of a data centre learned", "data_centre", dataCentre, "region", name, "daemon", daemon)
		d.dispatch.regionsChanged()
	case learned == region.Contradicted && !logged:
		d.metrics.RecordInvalid("digest")
		d.log.Warn("region ignored, as the data centre is known to be in another one", "data_centre", dataCentre, "region", name, "known", table.Region(dataCentre), "daemon", daemon)
	}
}

// regionsKnownAfter is how long after its start a daemon has heard from each data centre: hubs announce themselves there every few
// seconds. Unknown home regions are reported only then.
const regionsKnownAfter = 5 * time.Second

// reportUnknownHomes logs and counts, once for each version of the configuration, the home regions to which no known data centre belongs.
func (d *Daemon) reportUnknownHomes(now time.Time) {
	c := d.config.Load()
	if c == nil || !c.HasHomes() || now.Sub(d.feed.started) < regionsKnownAfter {
		return
	}
	h := &d.homes
	h.mu.Lock()
	done := h.checkedVersion == c.Version
	h.checkedVersion = c.Version
	h.mu.Unlock()
	if done {
		return
	}
	for _, name := range h.regions.Load().Unknown(c.HomeRegions()) {
		d.metrics.RecordUnknownHome()
		d.log.Warn("no known data centre is in a home region of the configuration", "region", name, "version", c.Version)
	}
}

// regionOf returns the region of another daemon, empty if it is not known.
func (d *Daemon) regionOf(m *gossip.Peer) string {
	if m.Region != "" {
		return m.Region
	}
	return d.homes.regions.Load().Region(m.DataCentre)
}

// directoryRegion returns the region of a caller that asks for addresses if only daemons there are to be listed, else an empty name: a ready
// one lives there, and the configuration has home regions.
func (d *Daemon) directoryRegion(now time.Time, name, dataCentre string) string {
	if c := d.config.Load(); c == nil || !c.HasHomes() {
		return ""
	}
	if name == "" {
		name = d.homes.regions.Load().Region(dataCentre)
	}
	if name == "" || d.ready() && d.settings().Region == name {
		return name
	}
	if slices.ContainsFunc(d.livePeers(now), func(m *gossip.Peer) bool { return m.Ready && d.regionOf(m) == name }) {
		return name
	}
	return ""
}

// serverInHomes reports whether a backend server is known to be in a home region.
func (d *Daemon) serverInHomes(s *roster.Server, homes region.Homes) bool {
	return s != nil && d.homes.regions.Load().Allows(homes, s.DataCentre)
}

// serversInHomes returns those of the backend servers that are known to be in a home region.
func (d *Daemon) serversInHomes(servers []*roster.Server, homes region.Homes) []*roster.Server {
	if !homes.Limited() {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *roster.Server) bool { return !d.serverInHomes(s, homes) })
}

// inHomes reports whether all members of a group are known to be in home regions.
func (d *Daemon) inHomes(g *roster.Group, homes region.Homes) bool {
	return !homes.Limited() || len(g.Members) > 0 && d.serverInHomes(g.Head, homes) &&
		!slices.ContainsFunc(g.Members, func(s *roster.Server) bool { return !d.serverInHomes(s, homes) })
}

// groupInHomes does the same for the group with that key. A group that this daemon does not know is in none.
func (d *Daemon) groupInHomes(service, key string, homes region.Homes) bool {
	return !homes.Limited() || slices.ContainsFunc(d.view.Load().Groups[service], func(g *roster.Group) bool { return g.Key == key && d.inHomes(g, homes) })
}

// servesIn reports whether a group takes new requests for a model that have the given home regions.
func (d *Daemon) servesIn(g *roster.Group, model string, homes region.Homes) bool {
	return d.serves(g, model) && d.inHomes(g, homes)
}

// onlyOutsideHomes reports whether a service, or a model of it, has backend servers that could serve a request but for its home regions.
func (d *Daemon) onlyOutsideHomes(m schedule.Model, homes region.Homes) bool {
	if !homes.Limited() {
		return false
	}
	v := d.view.Load()
	if m.Name == "" {
		servers := v.Services[m.Service]
		return len(servers) > 0 && len(d.serversInHomes(d.outsideEvacuation(servers), homes)) == 0
	}
	outside := false
	for _, g := range v.Groups[m.Service] {
		switch {
		case !d.serves(g, m.Name):
		case d.inHomes(g, homes):
			return false
		default:
			outside = true
		}
	}
	return outside
}

// rejectOutsideHomes returns the rejection of a request that no backend server in its home regions can serve.
func (d *Daemon) rejectOutsideHomes(now time.Time, service string, until time.Time) error {
	d.metrics.RecordHome(service, metric.HomeRejected)
	return &RejectedError{balance.RetryDelay(now, until, rand.Float64), reasonOutsideHomes}
}

// homeRejection returns the rejection of a request that no backend server in its home regions can serve, or nil. Another daemon that has
// handed the request over may know of one, and asks the next.
func (x *exchange) homeRejection(m schedule.Model) error {
	if !x.d.onlyOutsideHomes(m, x.homes) {
		return nil
	}
	x.d.metrics.RecordHome(x.service, metric.HomeRejected)
	return &RejectedError{x.retryDelay(), reasonOutsideHomes}
}

// checkHomes returns an error if a request must not be sent to a backend server, the head of the group with that key, because of its home
// regions. The key is empty for one of a plain service.
func (x *exchange) checkHomes(s *roster.Server, group string) error {
	if !x.homes.Limited() || group == "" && x.d.serverInHomes(s, x.homes) || group != "" && x.d.groupInHomes(x.service, group, x.homes) {
		return nil
	}
	x.d.metrics.RecordHome(x.service, metric.HomeWithheld)
	return &backend.NotSentError{Server: s.ID, Err: &OutsideHomesError{s.DataCentre}}
}

// inHomes returns the daemons to which the request may be handed over. Those of earlier builds, which name no region, would send it
// anywhere.
func (x *exchange) inHomes(peers []*gossip.Peer) []*gossip.Peer {
	if !x.homes.Limited() {
		return peers
	}
	table := x.d.homes.regions.Load()
	return slices.DeleteFunc(peers, func(m *gossip.Peer) bool { return !x.homes.Allow(m.Region) || !table.Allows(x.homes, m.DataCentre) })
}

// rejectWaitingOutsideHomes rejects the requests that wait for a model whose groups are all outside of their home regions. p.mu is held.
func (p *dispatcher) rejectWaitingOutsideHomes(now time.Time) {
	for id, w := range p.waiters {
		if p.d.onlyOutsideHomes(w.model, w.homes) {
			p.withdraw(id, w, p.d.rejectOutsideHomes(now, w.model.Service, w.until))
		}
	}
}

// excludeOutsideHomes adds to the groups that a request excludes those outside of its home regions, up to the number that fits a report. A
// scheduler that does not know home regions would else try one after the other.
func (p *dispatcher) excludeOutsideHomes(exclude []string, w *waiter) []string {
	if !w.homes.Limited() {
		return exclude
	}
	for _, g := range p.d.view.Load().Groups[w.model.Service] {
		if len(exclude) < maxUnreachableGroups && p.d.serves(g, w.model.Name) && !p.d.inHomes(g, w.homes) && !slices.Contains(exclude, g.Key) {
			exclude = append(exclude, g.Key)
		}
	}
	return exclude
}

// regionsChanged has the requests that wait for a group in their home regions scheduled again, as the region of another data centre is known.
func (p *dispatcher) regionsChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var limited []*waiter
	for id, w := range p.waiters {
		if w.homes.Limited() {
			delete(p.waiters, id)
			p.client(w.model).Withdraw(id)
			limited = append(limited, w)
		}
	}
	now := time.Now()
	for _, w := range limited {
		if p.enqueue(w) {
			p.sendReport(now, w.model)
		}
	}
}
