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
// A large group fails with the loss of any one of its members. Its survivors are then idle until a host of their domain
// has fetched the weights, which takes longer than most overloads last. Meanwhile small groups of a model with little
// demand run next to them. Weights can be fetched while a host serves, and a member that served a model last can serve
// it again without loading them. So hosts of small groups are given the weights of the large model in advance,
// preferably while the fleet starts, when loads are fast. Closing one small group then completes a large one within the
// time that its requests take to finish.

const (
	// preemptPressure is the pressure on a model from which groups of other models are closed for it. Below it the
	// groups of the model itself carry the demand.
	preemptPressure = 0.4
	// preemptGain is how many times greater the gain for one model must be than the loss for the other, since neither
	// group serves in the meantime.
	preemptGain = 1.5
	// reservationTime is how long hosts are reserved for the model for which groups were closed. A closing group first
	// finishes its requests.
	reservationTime = 8 * time.Second
	// minSizeRatio is the least ratio of the group size of a model to that of the groups whose hosts are given its
	// weights. Closing a group for one of about the same size gains nothing, and its hosts would lose the weights with
	// which they serve.
	minSizeRatio = 2
	// prefetchedHosts is how many hosts of a domain, idle or in groups of other models, should be able to join a large
	// group that loses a member. It covers the losses that occur while one host fetches the weights.
	prefetchedHosts = 2
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
	if s.StartingUp || len(s.Pressure) == 0 || now.Before(p.reservations[domain].expires) {
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
		if g.model != from || g.preempted || !g.isServing() || g.members[0].Domain != domain {
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

// worthPreempting reports whether the gain of another group of a model outweighs the loss of n groups of another model.
// Both are the change of the pressure times the demand, in groups.
func (s *stepState) worthPreempting(to, from *route.Model, n int) bool {
	have, left := float64(max(s.open[to.Name], 1)), float64(s.open[from.Name]-n)
	if left < 1 {
		return false
	}
	gain := s.weightedPressure(to) * s.Pressure[to.Name] * have / (have + 1 + s.forming[to.Name])
	loss := s.weightedPressure(from) * s.Pressure[from.Name] * (left + float64(n)) * float64(n) / left
	return gain > preemptGain*loss
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

// prefetchBudget returns how many loads may be started before they are needed: while the fleet starts as many as the
// weight store serves at once, later half as many, less those in progress. More would slow down the loads for which
// groups wait.
func (p *Planner) prefetchBudget(in Input) int {
	n := max(p.engine.LoadsAtOnce, 1)
	if !in.StartingUp {
		n /= 2
	}
	return n - p.loadsInProgress(in.Servers)
}

// prefetch gives hosts that serve a small model the weights of a larger model that has groups in their domain: as many
// hosts as the weight store serves at once while the fleet starts, later as many as one or two losses need. The hosts
// of one group are completed before those of the next, so that few groups have to be closed.
func (p *Planner) prefetch(now time.Time, s *stepState) []Order {
	// While the fleet starts, the weights of the groups that are being formed come first.
	if s.prefetchBudget <= 0 || s.StartingUp && slices.ContainsFunc(s.Servers, p.joiningGroup) {
		return nil
	}
	ready := map[string]map[string]int{}
	hosts := map[string][]*ServerStatus{}
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[key]
		if g.model == nil || g.preempted || !g.isServing() {
			continue
		}
		for rank := range g.size() {
			if m := g.members[rank]; m != nil && m.Listed {
				hosts[m.Domain] = append(hosts[m.Domain], m)
			}
		}
	}
	for _, m := range s.Servers {
		for i := range p.engine.Models {
			if name := p.engine.Models[i].Name; m.usable() && m.Model != name && (p.loading(now, m) == name || slices.Contains(m.Staged, name)) {
				increment(ready, m.Domain, name)
			}
		}
	}
	var orders []Order
	for {
		given := false
		for _, domain := range slices.Sorted(maps.Keys(hosts)) {
			if s.prefetchBudget <= 0 || !p.mayLoad(now, s.Input) {
				return orders
			}
			m, to := p.prefetchTarget(now, s, hosts[domain], ready[domain], domain)
			if m == nil {
				continue
			}
			given = true
			s.prefetchBudget--
			increment(ready, domain, to.Name)
			orders = append(orders, p.startLoad(now, m, to, "may join a group of "+to.Name+" that loses a member"))
		}
		if !given {
			return orders
		}
	}
}

// joiningGroup reports whether a backend server is joining a group that is going to serve.
func (p *Planner) joiningGroup(m *ServerStatus) bool {
	o, ok := p.pending[m.ID]
	return m.Membership.State == roster.Joining && !isSpare(m) || ok && o.order.Operation == platform.Join && !strings.HasPrefix(o.order.Group, sparePrefix)
}

// prefetchTarget returns the next host of a domain to be given the weights of a larger model, and that model, or nil if
// there is none.
func (p *Planner) prefetchTarget(now time.Time, s *stepState, hosts []*ServerStatus, ready map[string]int, domain string) (*ServerStatus, *route.Model) {
	for i := range p.engine.Models {
		to := &p.engine.Models[i]
		if s.groupMembers[domain][to.Name] == 0 || !s.StartingUp && s.Pressure[to.Name] < preemptPressure/2 {
			continue
		}
		for _, m := range hosts {
			from := p.engine.Model(m.Model)
			if from == nil || from.Size*minSizeRatio > to.Size {
				continue
			}
			want := prefetchedHosts
			if s.StartingUp {
				want = max(want, from.Size)
			}
			if ready[to.Name] >= want || m.Busy || slices.Contains(m.Staged, to.Name) || p.loading(now, m) != "" {
				continue
			}
			return m, to
		}
	}
	return nil, nil
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
