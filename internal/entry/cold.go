package entry

import (
	"hash/fnv"
	"slices"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/platform"
)

// This file connects balance.Cold, which decides, to what a daemon knows of the others (docs/design/cold-servers.md).

// anyCold reports whether a backend server of a service may be cold. It costs nothing for a service without a cold rate.
func (d *Daemon) anyCold(now time.Time, svc *route.Service) bool {
	return svc != nil && svc.ColdRate > 0 && d.cold.Any(now)
}

// recordCold records what a backend server reports of its cold time.
func (d *Daemon) recordCold(now time.Time, s *roster.Server, r platform.Report) {
	if r.ColdInvalid {
		d.metrics.RecordInvalid("report")
		d.log.Warn("remaining cold time in the report of a backend server ignored", "id", s.ID)
	}
	if r.ColdKnown && r.Born == s.Born {
		d.cold.Tell(now, s, r.Cold)
	}
}

// coldBounds returns the bounds of the settings.
func (d *Daemon) coldBounds() balance.ColdBounds {
	s := d.settings()
	return balance.ColdBounds{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

// coldSlots returns the slots of this daemon among all that it knows, of rate requests a second. A daemon that knows no other one and has
// not read their rows assumes a large fleet.
func (d *Daemon) coldSlots(now time.Time, rate float64) balance.Slots {
	self := d.settings().Name
	names := map[string]bool{self: true}
	if rows := d.feed.rowNames.Load(); rows != nil {
		for _, name := range *rows {
			names[name] = true
		}
	}
	d.peersMu.Lock()
	for _, m := range d.members.All(now) {
		names[m.Name] = true
	}
	d.peersMu.Unlock()
	out := balance.Slots{Daemons: len(names), Clock: d.feed.storeClock(), Rate: rate}
	if out.Clock == 0 {
		out.Clock = time.Duration(now.UnixNano())
	}
	if len(names) == 1 && !d.peersLoaded.Load() {
		h := fnv.New32a()
		_, _ = h.Write([]byte(self)) // never fails
		out.Daemons, out.Rank = assumedFleetSize, int(h.Sum32()%assumedFleetSize)
		return out
	}
	for name := range names {
		if name < self {
			out.Rank++
		}
	}
	return out
}

// coldFrom returns when this daemon may send a request to a plain backend server as it is cold, or zero if it may now.
func (d *Daemon) coldFrom(now time.Time, svc *route.Service, s *roster.Server) time.Time {
	if !d.anyCold(now, svc) {
		return time.Time{}
	}
	until := d.cold.Until(now, s, svc)
	if until.IsZero() {
		return until
	}
	next := d.cold.NextAlone(now, s, d.coldSlots(now, svc.ColdRate))
	if until.Before(next) {
		return until
	}
	return next
}

// takeColdSlot uses a slot of this daemon for a request to a plain backend server if it is cold. It reports false if there is none.
func (d *Daemon) takeColdSlot(now time.Time, svc *route.Service, s *roster.Server) bool {
	if !d.anyCold(now, svc) || d.cold.Until(now, s, svc).IsZero() {
		return true
	}
	return d.cold.TakeAlone(now, s, d.coldSlots(now, svc.ColdRate))
}

// checkTenures records for which models with a cold rate this daemon is the preferred scheduler. Models without requests count too, so
// that their first ones meet a settled scheduler.
func (p *dispatcher) checkTenures(now time.Time) {
	c := p.d.config.Load()
	if c == nil || !c.HasColdRates() {
		return
	}
	for i := range c.Services {
		svc := &c.Services[i]
		if svc.ColdRate <= 0 || svc.Engine == nil {
			continue
		}
		for j := range svc.Engine.Models {
			m := schedule.Model{Service: svc.Name, Name: svc.Engine.Models[j].Name}
			p.candidates(now, m).tenure.Settled(now, p.isScheduler(now, m))
		}
	}
}

// limitCold fills in which groups have cold members, and what the cold heads may be sent in a round.
func (p *dispatcher) limitCold(now time.Time, m schedule.Model, svc *route.Service, in *schedule.Input) {
	groups := map[string]*roster.Group{}
	for _, g := range p.d.view.Load().Groups[m.Service] {
		groups[g.Key] = g
	}
	d, bounds := p.d, p.d.coldBounds()
	settled := p.candidates(now, m).tenure.Settled(now, in.Preferred)
	rate := 0.0
	if in.Preferred {
		live, known := d.liveAndKnown(now)
		rate = bounds.SchedulerRate(svc.ColdRate, settled, live, known)
	}
	// A scheduler whose part is less than one request has its slots, as a daemon without a scheduler does.
	alone, slots := rate < 1, balance.Slots{}
	if alone {
		slots = d.coldSlots(now, bounds.AloneRate(svc.ColdRate))
	}
	in.ColdAllowance = map[string]int{}
	for i := range in.Groups {
		g := &in.Groups[i]
		g.Cold = d.cold.AnyMember(now, groups[g.Key].Members, svc)
		head := in.Heads[g.Key]
		switch {
		case !g.Cold || d.cold.Until(now, head, svc).IsZero():
		case !alone:
			in.ColdAllowance[g.Key] = d.cold.Allowance(now, head, rate)
		case d.cold.NextAlone(now, head, slots).IsZero():
			in.ColdAllowance[g.Key] = 1
		default:
			in.ColdAllowance[g.Key] = 0
		}
	}
	in.TakeCold = func(head *roster.Server) {
		if alone {
			d.cold.TakeAlone(now, head, slots)
		} else {
			d.cold.Take(now, head)
		}
	}
}

// mayUseCold reports whether a request may be sent to the head that a scheduler has chosen. The scheduler reads the entries up to a
// second later than this daemon, or may be of a build that does not limit the requests to cold servers. Until it must know, this daemon
// keeps to its own slots.
func (p *dispatcher) mayUseCold(now time.Time, m schedule.Model, head *roster.Server, scheduler string) bool {
	c := p.d.config.Load()
	if c == nil || scheduler == p.d.settings().Name {
		return true
	}
	svc := c.Service(m.Service)
	if !p.d.anyCold(now, svc) || p.d.cold.Until(now, head, svc).IsZero() {
		return true
	}
	if !p.d.cold.LearntLately(now, head) && p.d.limitsCold(now, scheduler) {
		return true
	}
	if p.d.cold.TakeAlone(now, head, p.d.coldSlots(now, p.d.coldBounds().AloneRate(svc.ColdRate))) {
		return true
	}
	p.d.metrics.RecordCold(m.Service, metric.ColdHeld, 1)
	return false
}

// limitsCold reports whether a daemon limits the requests to cold servers as a scheduler.
func (d *Daemon) limitsCold(now time.Time, name string) bool {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	return slices.ContainsFunc(d.members.All(now), func(m *gossip.Peer) bool { return m.Name == name && m.LimitsCold })
}

// liveAndKnown returns the numbers of daemons, this one included, that it hears from and that it knows.
func (d *Daemon) liveAndKnown(now time.Time) (live, known int) {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	live, known = d.members.FleetSize(now), len(d.members.All(now))+1
	if known == 1 && !d.peersLoaded.Load() {
		known = assumedFleetSize
	}
	return live, known
}
