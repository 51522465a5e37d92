package replica

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/platform"
)

// # Load pattern
//
// A group fails with the loss of any one of its members. Its survivors are then idle until a host of their domain has
// fetched the weights, which takes longer than most overloads last. Weights can be fetched while a host serves, and a
// member that served a model last can serve it again without loading them. So each host is given the weights of a second
// model in advance, preferably while the fleet starts, when loads are fast. Survivors then form a group of another model,
// or closing one small group completes a large one within the time that its requests take to finish.

const (
	// preemptPressure is the pressure on a model from which groups of other models are closed for it. Below it the
	// groups of the model itself carry the demand.
	preemptPressure = 0.4
	// relaxedPressure is the pressure on a model below which another group of it hardly serves its requests sooner.
	relaxedPressure = 0.6
	// shortPressure is the pressure from which a model is short of groups: requests wait whenever they arrive unevenly.
	shortPressure = 0.8
	// preemptGain is how many times greater the pressure on one model must be than that on the other would become, since
	// neither group serves in the meantime.
	preemptGain = 1.5
	// demandDelay is the time after which a new holder of the lease knows the demand for all models. Before, it would close
	// the groups of those that it does not know yet.
	demandDelay = time.Second
	// reservationTime is how long hosts are reserved for the model for which groups were closed. A closing group first
	// finishes its requests.
	reservationTime = 8 * time.Second
	// startBurstShare is the fraction of the loads allowed in LoadWindow that may start within DemandLag while the fleet
	// starts. Those that start after the first request count against the load rate, although the holder of the lease does
	// not know of it yet.
	startBurstShare = 0.4
	// prefetchPressure is the pressure on a model from which hosts are given its weights before they are needed.
	prefetchPressure = 0.2
)

// servedModel is the model that a backend server served last within a lifetime.
type servedModel struct {
	born  int64
	model string
}

// reservation reserves the hosts of a domain that have the weights of a model for its next group.
type reservation struct {
	model   string
	expires time.Time
}

// recordServed records which models the backend servers serve.
func (p *Planner) recordServed(servers []*ServerStatus) {
	for _, m := range servers {
		if m.Model != "" && m.Membership.State != roster.Joining {
			p.lastServed[m.ID] = servedModel{m.Born, m.Model}
		}
	}
	if len(p.lastServed) > 2*len(servers) {
		listed := make(map[string]bool, len(servers))
		for _, m := range servers {
			listed[m.ID] = true
		}
		maps.DeleteFunc(p.lastServed, func(id string, _ servedModel) bool { return !listed[id] })
	}
}

// canServe reports whether a backend server can join a group of a model without fetching its weights.
func (p *Planner) canServe(m *ServerStatus, model string) bool {
	return slices.Contains(m.Staged, model) || p.lastServed[m.ID] == servedModel{m.Born, model}
}

// reserved reports whether a backend server is reserved for a group of another model.
func (p *Planner) reserved(now time.Time, m *ServerStatus, model string) bool {
	r := p.reservations[m.Domain]
	return now.Before(r.expires) && r.model != model && p.canServe(m, r.model)
}

// preempt closes groups of a model with low pressure in a domain whose idle backend servers are too few for a group of
// a model with high pressure.
func (p *Planner) preempt(now time.Time, s *stepState, idle []*ServerStatus, domain string) []Order {
	if s.StartingUp || len(s.Pressure) == 0 || now.Sub(p.started) < demandDelay || now.Before(p.reservations[domain].expires) {
		return nil
	}
	for i := range p.engine.Models {
		to := &p.engine.Models[i]
		have := 0
		for _, m := range idle {
			if p.canServe(m, to.Name) {
				have++
			}
		}
		if have == 0 || have >= to.Size || s.Pressure[to.Name] < preemptPressure {
			continue
		}
		for j := range p.engine.Models {
			from := &p.engine.Models[j]
			if from == to {
				continue
			}
			closing := p.donors(s, from, to, domain, to.Size-have)
			if len(closing) == 0 || !s.worthPreempting(to, from, len(closing)) {
				continue
			}
			p.reservations[domain] = reservation{to.Name, now.Add(reservationTime)}
			s.open[from.Name] -= len(closing)
			s.forming[to.Name]++
			var orders []Order
			for _, g := range closing {
				g.preempted = true
				orders = append(orders, p.newOrder(g.members[0], g, platform.CloseHead, "makes room for a group of "+to.Name))
			}
			return orders
		}
	}
	return nil
}

// donors returns the fewest open groups of a model in a domain that have the missing members for a group of another
// model, or nil if there are not enough.
func (p *Planner) donors(s *stepState, from, to *route.Model, domain string, missing int) []*group {
	type donor struct {
		*group
		usableHosts int
	}
	var list []donor
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[key]
		if g.model != from || g.preempted || !g.isServing() || s.evacuated(g.members[0]) || g.members[0].Domain != domain {
			continue
		}
		d := donor{group: g}
		for _, m := range g.members {
			if m.Domain == domain && m.Listed && p.canServe(m, to.Name) {
				d.usableHosts++
			}
		}
		if d.usableHosts > 0 {
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b donor) int { return cmp.Compare(b.usableHosts, a.usableHosts) })
	var out []*group
	for _, d := range list {
		if missing <= 0 {
			break
		}
		missing -= d.usableHosts
		out = append(out, d.group)
	}
	if missing > 0 {
		return nil
	}
	return out
}

// isServing reports whether a group is open and complete.
func (g *group) isServing() bool {
	head := g.members[0]
	if head == nil || head.Membership.State != roster.Open || len(g.members) < g.size() {
		return false
	}
	for _, m := range g.members {
		if m.lost() {
			return false
		}
	}
	return true
}

// worthPreempting reports whether n groups of a model should be closed for another group of a model with high pressure.
// That model must be short of groups even with those that are being formed, the more so if fewer backend servers will
// serve afterwards. The other model must not become short of groups, and must remain under less pressure. Otherwise groups
// would be closed back and forth.
func (s *stepState) worthPreempting(to, from *route.Model, n int) bool {
	left := s.open[from.Name] - n
	if left < 1 {
		return false
	}
	least := shortPressure
	if to.Size > n*from.Size {
		least = relaxedPressure
	}
	open := float64(max(s.open[to.Name], 1))
	relief := open / (open + s.forming[to.Name])
	loss := float64(s.open[from.Name]) / float64(left)
	return s.Pressure[to.Name]*relief >= least && s.Pressure[from.Name]*loss < relaxedPressure &&
		s.weightedPressure(to)*relief > preemptGain*s.weightedPressure(from)*loss
}

// weightedPressure returns the pressure on a model, increased for the model of the most urgent requests.
func (s *stepState) weightedPressure(model *route.Model) float64 {
	if model.Name == s.UrgentModel {
		return s.Pressure[model.Name] * urgentFactor
	}
	return s.Pressure[model.Name]
}

// closePreempted returns the order for the next step in closing a preempted group.
func (p *Planner) closePreempted(g *group, head *ServerStatus) []Order {
	if _, ok := p.pending[head.ID]; ok {
		return nil
	}
	switch head.Membership.State {
	case roster.Open:
		return []Order{p.newOrder(head, g, platform.CloseHead, "makes room")}
	case roster.Joined:
		return []Order{p.newOrder(head, g, platform.Leave, "makes room")}
	}
	return nil // the head is finishing its requests
}

// prefetchBudget returns how many loads may be started before they are needed in a fleet that serves: half as many as the
// weight store serves at once, less those in progress. More would slow down the loads for which groups wait.
func (p *Planner) prefetchBudget(in Input) int {
	return max(p.engine.LoadsAtOnce, 1)/2 - p.loadsInProgress(in.Servers)
}

// prefetch gives hosts the weights of a second model while they serve or wait, so that a domain can form a group of
// whichever model the hosts left after a loss suffice for. A backend server keeps the weights that it served last besides
// those staged on its host. While the fleet starts every host gets a second model; later as many as prefetchBudget allows,
// idle hosts first and then those that serve the model with the least pressure.
func (p *Planner) prefetch(now time.Time, s *stepState, idle map[string][]*ServerStatus) []Order {
	if !s.StartingUp && s.prefetchBudget <= 0 {
		return nil
	}
	var hosts []*ServerStatus
	for _, domain := range slices.Sorted(maps.Keys(idle)) {
		hosts = append(hosts, idle[domain]...)
	}
	waiting := len(hosts)
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[key]
		if g.model == nil || g.preempted || !g.isServing() || s.evacuated(g.members[0]) {
			continue
		}
		for rank := range g.size() {
			if m := g.members[rank]; m != nil && m.Listed {
				hosts = append(hosts, m)
			}
		}
	}
	slices.SortStableFunc(hosts[waiting:], func(a, b *ServerStatus) int { return cmp.Compare(s.Pressure[a.Model], s.Pressure[b.Model]) })
	var orders []Order
	for _, m := range hosts {
		if s.StartingUp && s.LoadRate > 0 && p.loadsSince(now.Add(-s.DemandLag)) >= startBurstShare*s.LoadRate*s.LoadWindow.Seconds() {
			break
		}
		if !s.StartingUp && s.prefetchBudget <= 0 || !p.mayLoad(now, s.Input) {
			break
		}
		if to := p.secondModel(now, s, m); to != nil {
			s.prefetchBudget--
			orders = append(orders, p.startLoad(now, m, to, "can then also serve "+to.Name))
		}
	}
	return orders
}

// loadsSince returns how many loads were started after t.
func (p *Planner) loadsSince(t time.Time) float64 {
	n := 0
	for i := len(p.loadTimes) - 1; i >= 0 && p.loadTimes[i].After(t); i-- {
		n++
	}
	return float64(n)
}

// secondModel returns the model whose weights a host that can serve only one model should be given: the one with the
// greatest need among those whose groups fit into the domain. It returns nil if the host should be left alone.
func (p *Planner) secondModel(now time.Time, s *stepState, m *ServerStatus) *route.Model {
	served := p.lastServed[m.ID]
	if _, pending := p.pending[m.ID]; pending || m.Busy || served.born != m.Born || p.loading(now, m) != "" {
		return nil
	}
	var best *route.Model
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if model.Name == served.model {
			continue
		}
		if slices.Contains(m.Staged, model.Name) {
			return nil
		}
		if s.hosts[m.Domain] < model.Size || !s.StartingUp && s.Pressure[model.Name] < prefetchPressure {
			continue
		}
		if best == nil || s.need(model) > s.need(best) {
			best = model
		}
	}
	return best
}

// startLoad returns the order to fetch the weights of a model to a host, and records the load.
func (p *Planner) startLoad(now time.Time, m *ServerStatus, model *route.Model, why string) Order {
	p.startedLoads++
	p.loadTimes = append(p.loadTimes, now)
	p.staging[m.ID] = pendingLoad{model.Name, m.Born, now.Add(model.Load * loadTimeoutFactor)}
	return Order{m.Server, platform.Order{Operation: platform.Stage, Model: model.Name, FencingToken: p.token, ExpectedOrders: m.Orders}, why}
}

// sparePrefix starts the names of the single-member groups of spares. A new holder of the lease recognises spares by
// it.
const sparePrefix = "spare-"

// isSpare reports whether a backend server is a spare that is loading, or has loaded, the weights of its host.
func isSpare(m *ServerStatus) bool { return strings.HasPrefix(m.Group, sparePrefix) }

// warmSpares makes idle spares that have not served yet load the weights on their hosts, so that they join a group that
// loses a member as quickly as its survivors. A spare does so as the only member of a group that never opens, and
// remains in it until it is needed.
func (p *Planner) warmSpares(now time.Time, idle []*ServerStatus) []Order {
	var orders []Order
	for _, m := range idle {
		_, pending := p.pending[m.ID]
		if pending || m.Busy || m.Group != "" || len(m.Staged) == 0 || p.loading(now, m) != "" || p.lastServed[m.ID].born == m.Born {
			continue
		}
		model := p.engine.Model(m.Staged[0])
		if model == nil {
			continue
		}
		join := p.joinOrders(now, sparePrefix, []*ServerStatus{m}, model, "take up the weights before they are needed")
		p.addPending(now, join[0])
		orders = append(orders, join...)
	}
	return orders
}
