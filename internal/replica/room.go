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
// A large group ends with any one of its members, and the survivors stand idle until a host of their domain has fetched the
// weights, which takes longer than most shortages last. Meanwhile small groups of a model that is asked for little run beside
// them. Weights can be fetched while a host serves, and a member that served a model last takes it up again without them. So
// hosts of small groups are given the weights of the large model ahead of need, at best while the fleet starts, when loads are
// quick; one small group that ends then makes a large one whole within the time that its requests take.

const (
	// roomPressure is the pressure on a model from which groups of others end for it; below it the model's own groups carry
	// its work.
	roomPressure = 0.4
	// roomGain is how many times as much the one model must gain as the other loses, since neither serves meanwhile.
	roomGain = 1.5
	// roomTime is how long members are kept for the model that room is made for: a group that ends finishes its requests.
	roomTime = 8 * time.Second
	// donorPart is how many times as many members as its donor a group must have that hosts are prepared for. A group that ends
	// for one of about its own size gains nothing, and its hosts would lose the weights that they serve with.
	donorPart = 2
	// readyHosts is how many hosts of a domain, idle or in groups of other models, should be able to join a large group that
	// loses a member: the losses that come while one host is being prepared.
	readyHosts = 2
)

// served is the model that a backend server served last in a lifetime.
type served struct {
	born  int64
	model string
}

// room is what is being done in a domain to make a group of a model whole.
type room struct {
	model string
	until time.Time
}

// note keeps what the members serve.
func (p *Planner) note(members []*Member) {
	for _, m := range members {
		if m.Model != "" && m.Membership.State != roster.Joining {
			p.served[m.ID] = served{m.Born, m.Model}
		}
	}
	if len(p.served) > 2*len(members) {
		listed := make(map[string]bool, len(members))
		for _, m := range members {
			listed[m.ID] = true
		}
		maps.DeleteFunc(p.served, func(id string, _ served) bool { return !listed[id] })
	}
}

// able tells whether a member can join a group of a model without fetching its weights.
func (p *Planner) able(m *Member, model string) bool {
	return slices.Contains(m.Staged, model) || p.served[m.ID] == served{m.Born, model}
}

// kept tells whether a member waits for a group of another model that room is being made for.
func (p *Planner) kept(now time.Time, m *Member, model string) bool {
	r := p.rooms[m.Domain]
	return now.Before(r.until) && r.model != model && p.able(m, r.model)
}

// makeRoom ends groups of a relaxed model in a domain whose idle members lack a few for a group of a crowded one.
func (p *Planner) makeRoom(now time.Time, s *supply, idle []*Member, domain string) []Order {
	if s.Early || len(s.Pressure) == 0 || now.Before(p.rooms[domain].until) {
		return nil
	}
	for i := range p.engine.Models {
		to := &p.engine.Models[i]
		have := 0
		for _, m := range idle {
			if p.able(m, to.Name) {
				have++
			}
		}
		if have == 0 || have >= to.Size || s.Pressure[to.Name] < roomPressure {
			continue
		}
		for j := range p.engine.Models {
			from := &p.engine.Models[j]
			if from == to {
				continue
			}
			ending := p.donors(s, from, to, domain, to.Size-have)
			if len(ending) == 0 || !s.pays(to, from, len(ending)) {
				continue
			}
			p.rooms[domain] = room{to.Name, now.Add(roomTime)}
			s.open[from.Name] -= len(ending)
			var orders []Order
			for _, g := range ending {
				g.ending = true
				orders = append(orders, p.tell(g.members[0], g, platform.CloseHead, "makes room for a group of "+to.Name))
			}
			return orders
		}
	}
	return nil
}

// donors returns the fewest open groups of a model in a domain that have the missing members for a group of another one; nil
// when there are not enough.
func (p *Planner) donors(s *supply, from, to *route.Model, domain string, missing int) []*group {
	type donor struct {
		*group
		able int
	}
	var list []donor
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[key]
		if g.model != from || g.ending || !g.serves() || g.members[0].Domain != domain {
			continue
		}
		d := donor{group: g}
		for _, m := range g.members {
			if m.Domain == domain && m.Listed && p.able(m, to.Name) {
				d.able++
			}
		}
		if d.able > 0 {
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b donor) int { return cmp.Compare(b.able, a.able) })
	var out []*group
	for _, d := range list {
		if missing <= 0 {
			break
		}
		missing -= d.able
		out = append(out, d.group)
	}
	if missing > 0 {
		return nil
	}
	return out
}

// serves tells whether a group is open with all its members.
func (g *group) serves() bool {
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

// pays tells whether one more group of a model relieves its work by more than the loss of n groups of another one crowds that
// one's. Both are the change of the pressure times the work, in groups.
func (s *supply) pays(to, from *route.Model, n int) bool {
	have, left := float64(max(s.open[to.Name], 1)), float64(s.open[from.Name]-n)
	if left < 1 {
		return false
	}
	gain := s.weight(to) * s.Pressure[to.Name] * have / (have + 1 + s.coming[to.Name])
	loss := s.weight(from) * s.Pressure[from.Name] * (left + float64(n)) * float64(n) / left
	return gain > roomGain*loss
}

// weight is the pressure on a model, counted more for that of the most urgent work.
func (s *supply) weight(model *route.Model) float64 {
	if model.Name == s.Urgent {
		return s.Pressure[model.Name] * urgentFirst
	}
	return s.Pressure[model.Name]
}

// finish ends a group that makes room for another one.
func (p *Planner) finish(g *group, head *Member) []Order {
	if _, ok := p.pending[head.ID]; ok {
		return nil
	}
	switch head.Membership.State {
	case roster.Open:
		return []Order{p.tell(head, g, platform.CloseHead, "makes room")}
	case roster.Joined:
		return []Order{p.tell(head, g, platform.Leave, "makes room")}
	}
	return nil // it finishes its requests
}

// aheadLoads is how many loads may be started ahead of need: while the fleet starts as many as the weight store serves at once,
// later half of them less those under way. Those that groups wait for would take longer otherwise.
func (p *Planner) aheadLoads(in Input) int {
	n := max(p.engine.LoadsAtOnce, 1)
	if !in.Early {
		n /= 2
	}
	return n - p.fetching(in.Members)
}

// prepare gives hosts that serve a small model the weights of a larger one that has groups in their domain: as many as the
// weight store serves at once while the fleet starts, later as many as a loss or two need. One group after the other is
// prepared, so that the end of few groups is enough.
func (p *Planner) prepare(now time.Time, s *supply) []Order {
	// While the fleet starts the groups' own weights come first.
	if s.aheadLoads <= 0 || s.Early && slices.ContainsFunc(s.Members, p.forming) {
		return nil
	}
	ready := map[string]map[string]int{}
	hosts := map[string][]*Member{}
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[key]
		if g.model == nil || g.ending || !g.serves() {
			continue
		}
		for rank := range g.size() {
			if m := g.members[rank]; m != nil && m.Listed {
				hosts[m.Domain] = append(hosts[m.Domain], m)
			}
		}
	}
	for _, m := range s.Members {
		for i := range p.engine.Models {
			if name := p.engine.Models[i].Name; m.usable() && m.Model != name && (p.loading(now, m) == name || slices.Contains(m.Staged, name)) {
				count(ready, m.Domain, name)
			}
		}
	}
	var orders []Order
	for {
		given := false
		for _, domain := range slices.Sorted(maps.Keys(hosts)) {
			if s.aheadLoads <= 0 || !p.mayLoad(now, s.Input) {
				return orders
			}
			m, to := p.unprepared(now, s, hosts[domain], ready[domain], domain)
			if m == nil {
				continue
			}
			given = true
			s.aheadLoads--
			count(ready, domain, to.Name)
			orders = append(orders, p.load(now, m, to, "may join a group of "+to.Name+" that loses a member"))
		}
		if !given {
			return orders
		}
	}
}

// forming tells whether a member is on its way into a group that is to serve.
func (p *Planner) forming(m *Member) bool {
	o, ok := p.pending[m.ID]
	return m.Membership.State == roster.Joining && !parked(m) || ok && o.order.Operation == platform.Join && !strings.HasPrefix(o.order.Group, parking)
}

// unprepared returns the next host of a domain to give the weights of a larger model, which it returns too; nil when there is
// none.
func (p *Planner) unprepared(now time.Time, s *supply, hosts []*Member, ready map[string]int, domain string) (*Member, *route.Model) {
	for i := range p.engine.Models {
		to := &p.engine.Models[i]
		if s.local[domain][to.Name] == 0 || !s.Early && s.Pressure[to.Name] < roomPressure/2 {
			continue
		}
		for _, m := range hosts {
			from := p.engine.Model(m.Model)
			if from == nil || from.Size*donorPart > to.Size {
				continue
			}
			want := readyHosts
			if s.Early {
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

// load returns the order that puts the weights of a model on a member's host.
func (p *Planner) load(now time.Time, m *Member, model *route.Model, why string) Order {
	p.begun++
	p.loads = append(p.loads, now)
	p.staging[m.ID] = load{model.Name, m.Born, now.Add(model.Load * loadPatience)}
	return Order{m.Server, platform.Order{Operation: platform.Stage, Model: model.Name, FencingToken: p.token, ExpectedOrders: m.Orders}, why}
}

// parking begins the names of the memberships of spares, so that a new holder of the lease knows them too.
const parking = "spare-"

// parked tells whether a member is a spare that takes up, or has taken up, the weights of its host.
func parked(m *Member) bool { return strings.HasPrefix(m.Group, parking) }

// warm has idle spares that have served nothing yet take up the weights on their hosts, so that they join a group that loses a
// member as quickly as the survivors do. Each does so as the only member of a group that never opens, and stays there until it
// is needed.
func (p *Planner) warm(now time.Time, idle []*Member) []Order {
	var orders []Order
	for _, m := range idle {
		_, pending := p.pending[m.ID]
		if pending || m.Busy || m.Group != "" || len(m.Staged) == 0 || p.loading(now, m) != "" || p.served[m.ID].born == m.Born {
			continue
		}
		model := p.engine.Model(m.Staged[0])
		if model == nil {
			continue
		}
		join := p.join(now, parking, []*Member{m}, model, "take up the weights before they are needed")
		p.await(now, join[0])
		orders = append(orders, join...)
	}
	return orders
}
