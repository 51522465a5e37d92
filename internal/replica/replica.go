// Package replica decides which backend servers form which model group, and in which order they are told.
//
// # Load pattern
//
// Every few seconds a member of some group is lost for good, at times a whole fabric domain; empty backend servers
// arrive, and need tens of seconds to fetch the weights of a model, while one that has them on its host joins in a
// second or two. A group runs at full speed only within one domain. So the planner works domain by domain: it heals with
// whatever idle backend servers of the domain hold the model, it puts weights on idle hosts before they are needed, and
// it lets the survivors of broken groups make whole ones together.
//
// The planner keeps no plan: each step compares what the backend servers report with what should be and returns orders
// for the differences. A new holder of the lease therefore goes on where the earlier one stopped.
package replica

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/platform"
)

// Member is what the holder of the lease knows of a backend server, the newer of its entry and its report.
type Member struct {
	*roster.Server
	// Orders counts the orders that began.
	Orders int64
	// Answers is false when the backend server has not answered for a while.
	Answers bool
	// Listed is false when its entry is gone.
	Listed bool
	// Reported tells whether a report of this lifetime has come.
	Reported bool
	Busy     bool
	// Pace is above 1 while the backend server is slow.
	Pace float64
}

// usable members may join groups.
func (m *Member) usable() bool { return m.Listed && m.State == roster.Ready && m.Answers && m.Reported }

// lost members cannot serve in their group any more. One that is cut off from the store, but answers, works on; only a
// head must be listed, since it gets requests.
func (m *Member) lost() bool {
	return !m.Answers || m.State != roster.Ready || !m.Listed && m.Rank == 0
}

// dead members neither answer nor renew their entries. One that drains may do neither and still finish its requests.
func (m *Member) dead(now time.Time, in *Input) bool {
	if m.Answers || m.State != roster.Ready {
		return false
	}
	if !m.Listed {
		return m.Lapsed
	}
	last := m.Renewed
	if in.Back.After(last) {
		last = in.Back
	}
	return now.Sub(last) > in.Silence
}

// Order is an order for one backend server.
type Order struct {
	Server *roster.Server
	platform.Order
	// Why tells what the order is for.
	Why string
}

// pending is an order that has been given and whose effect has not been seen.
type pending struct {
	order platform.Order
	born  int64
	until time.Time
}

// Planner is the planner of one model service. It is not safe for concurrent use.
type Planner struct {
	engine *route.Engine
	// pending holds the last order of each backend server while its effect may still show.
	pending map[string]pending
	// histories holds what members do not report of each group that was formed or seen lately.
	histories map[string]*history
	epoch     int64
	// staging holds the weights that are on their way to hosts.
	staging map[string]load
	// loads are the times at which loads of weights were started.
	loads []time.Time
	// begun counts the loads that the present step starts.
	begun int
	// started is when this planner began.
	started time.Time
	// known is the number of backend servers at the last step, grown when it last grew.
	known int
	grown time.Time
	token int64
	// served is what each backend server served last, rooms what is being made room for in each domain.
	served map[string]served
	rooms  map[string]room
}

// history is what is remembered of a group.
type history struct {
	// members are the backend servers that this planner told to form the group, empty for groups of an earlier holder.
	members []string
	// head is the backend server that reported rank 0.
	head string
	// stuck is since when the group cannot become whole and its head does not answer.
	stuck time.Time
	// seen is when a member last reported the group, or when it was formed.
	seen time.Time
	// ending is set when the group makes room for one of another model.
	ending bool
}

const (
	// historyTime is how long a group that nobody reports is remembered: longer than a store's outage hides its members.
	historyTime = 2 * time.Minute
	// orderWait is how long an order may take until its effect is reported.
	orderWait = 1500 * time.Millisecond
	// quietTime is how long no further backend server registers when all that start together have; groups are laid out
	// over all of them.
	quietTime = 1600 * time.Millisecond
	// settleTime is when hosts that are still idle after the start get weights as spares.
	settleTime = 4 * time.Second
	// leaveTime is how much longer than a stall a head that left in order may finish its requests.
	leaveTime = 6 * time.Second
	// epochBits leave room for the groups formed under one fencing token.
	epochBits = 20
)

// New returns a planner for the fencing token of the lease under which its orders are given.
func New(engine *route.Engine, token int64, now time.Time) *Planner {
	return &Planner{
		engine: engine, pending: map[string]pending{}, histories: map[string]*history{},
		staging: map[string]load{}, served: map[string]served{}, rooms: map[string]room{}, started: now, token: token, epoch: token << epochBits,
	}
}

// Input is what a step knows.
type Input struct {
	Members []*Member
	// Silence is how long a live backend server may go without renewing its entry. It means nothing while the store does
	// not answer; it is then longer than any outage.
	Silence time.Duration
	// Back is when the store last came back from an outage.
	Back time.Time
	// Stall is how long a head that lost a member takes to find its group broken.
	Stall time.Duration
	// LoadRate bounds the loads started in a second over the ceiling's window.
	LoadRate float64
	Window   time.Duration
	// Pressure is the work asked of each model as a part of what its open groups run at once; more than 1 waits or is
	// turned away. It is empty while no work is known.
	Pressure map[string]float64
	// Urgent names the model of the most urgent work.
	Urgent string
	// Early is set before the first request, when loads are quick and not counted.
	Early bool
}

// group is a group as its members report it.
type group struct {
	name    string
	epoch   int64
	model   *route.Model
	members map[int]*Member
	*history
}

// Step returns the orders to give now.
func (p *Planner) Step(now time.Time, in Input) []Order {
	p.begun = 0
	p.settle(now, in.Members)
	p.note(in.Members)
	var orders []Order
	groups := p.groups(now, in.Members)
	taken := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		out, busy := p.tend(now, g, in)
		orders = append(orders, out...)
		for _, m := range g.members {
			if busy {
				taken[m.ID] = true
			}
		}
	}
	if len(in.Members) > p.known {
		p.grown = now
	}
	p.known = len(in.Members)
	if !in.Early || now.Sub(p.grown) >= quietTime {
		orders = append(orders, p.form(now, in, taken, groups)...)
	}
	for _, o := range orders {
		p.await(now, o)
	}
	return orders
}

// await keeps an order until its effect shows.
func (p *Planner) await(now time.Time, o Order) {
	p.pending[o.Server.ID] = pending{o.Order, o.Server.Born, now.Add(orderWait)}
}

// Tally is what a service's backend servers do at one moment.
type Tally struct {
	// Open counts the open groups of each model, Forming those on their way.
	Open, Forming map[string]int
	// Idle counts the usable backend servers without a group, by the model on their host; Lost those that do not answer.
	Idle map[string]int
	Lost int
}

// Count returns the tally of members.
func Count(members []*Member) Tally {
	t := Tally{Open: map[string]int{}, Forming: map[string]int{}, Idle: map[string]int{}}
	for _, m := range members {
		switch {
		case m.lost():
			t.Lost++
		case m.Membership.State == roster.Open:
			t.Open[m.Model]++
		case m.Group == "" || parked(m):
			t.Idle[strings.Join(m.Staged, "+")]++
		case m.Rank == 0:
			t.Forming[m.Model]++
		}
	}
	return t
}

// settle drops pending orders whose effect shows or whose time is over.
func (p *Planner) settle(now time.Time, members []*Member) {
	for _, m := range members {
		o, ok := p.pending[m.ID]
		if !ok {
			continue
		}
		done := false
		switch o.order.Operation {
		case platform.Join:
			done = m.Epoch == o.order.Epoch
		case platform.OpenHead:
			done = m.Membership.State == roster.Open
		case platform.CloseHead:
			done = m.Membership.State != roster.Open
		case platform.Leave:
			done = m.Group == "" || m.Epoch != o.order.Epoch
		case platform.Stage:
			done = m.Busy || slices.Contains(m.Staged, o.order.Model)
		}
		if done || o.born != m.Born || now.After(o.until) {
			delete(p.pending, m.ID)
		}
	}
}

// Failed forgets an order that was turned down, so that it can be decided again.
func (p *Planner) Failed(id string) {
	if p.pending[id].order.Operation == platform.Stage {
		delete(p.staging, id)
	}
	delete(p.pending, id)
}

// groups collects the groups that members report, and forgets those that nobody has reported for long.
func (p *Planner) groups(now time.Time, members []*Member) map[string]*group {
	out := map[string]*group{}
	for _, m := range members {
		if m.Group == "" {
			continue
		}
		key := roster.GroupKey(m.Group, m.Epoch)
		g := out[key]
		if g == nil {
			h := p.histories[key]
			if h == nil {
				h = &history{}
				p.histories[key] = h
			}
			h.seen = now
			g = &group{name: m.Group, epoch: m.Epoch, members: map[int]*Member{}, history: h}
			out[key] = g
		}
		g.members[m.Rank] = m
		if m.Rank == 0 {
			g.head = m.ID
		}
		if model := p.engine.Model(m.Model); model != nil {
			g.model = model
		}
	}
	maps.DeleteFunc(p.histories, func(_ string, h *history) bool { return now.Sub(h.seen) > historyTime })
	return out
}

// tend looks after one group. busy tells that its members stay where they are.
func (p *Planner) tend(now time.Time, g *group, in Input) (orders []Order, busy bool) {
	head := g.members[0]
	size := g.size()
	whole := size > 0 && len(g.members) >= size && (head == nil || head.Membership.State != roster.Broken)
	for _, m := range g.members {
		whole = whole && !m.lost()
	}
	switch {
	case strings.HasPrefix(g.name, parking):
		return nil, head != nil && head.Membership.State == roster.Joining
	case whole && g.ending && head != nil:
		return p.finish(g, head), true
	case whole:
		return p.open(g, head, size), true
	}
	// Members that have not reported the group yet may still join it.
	if len(g.history.members) > 0 && p.joining(g.history.members, in.Members, g.epoch) {
		return nil, true
	}
	// The group cannot become whole. Its head leaves first; the others may join another group only then.
	switch {
	case head == nil && g.head != "":
		// The head has left, or has been forgotten.
		return nil, false
	case head == nil:
		return nil, g.stalls(now, in)
	case head.Answers:
		if _, ok := p.pending[head.ID]; ok {
			return nil, true
		}
		if g.drains(head) {
			if head.Membership.State == roster.Closing {
				return nil, true // it finishes its requests
			}
			return []Order{p.tell(head, g, platform.CloseHead, "a member drains")}, true
		}
		return []Order{p.tell(head, g, platform.Leave, "a member is lost")}, true
	case head.dead(now, &in):
		return nil, false
	}
	// The head may run although it does not answer; one that left in order finishes the requests that it has.
	if !head.Listed {
		in.Stall += leaveTime
	}
	return nil, g.stalls(now, in)
}

// drains tells whether a group should end the requests that it has: every member still works, and one of them drains.
func (g *group) drains(head *Member) bool {
	if head.Membership.State != roster.Open && head.Membership.State != roster.Closing {
		return false
	}
	for _, m := range g.members {
		if !m.Answers || !m.Listed && m.Rank == 0 {
			return false
		}
	}
	return len(g.members) == g.size()
}

func (g *group) size() int {
	if g.model != nil {
		return g.model.Size
	}
	return len(g.history.members)
}

// stalls tells whether the head of a group that lost a member may still run; it finds the group broken in the end.
func (g *group) stalls(now time.Time, in Input) bool {
	if g.stuck.IsZero() {
		g.stuck = now
	}
	return now.Sub(g.stuck) < in.Stall
}

// joining tells whether every listed member that is not in the group is on its way there.
func (p *Planner) joining(list []string, members []*Member, epoch int64) bool {
	byID := make(map[string]*Member, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	for _, id := range list {
		m := byID[id]
		if m == nil || m.lost() {
			return false
		}
		if m.Epoch == epoch {
			continue
		}
		if o, ok := p.pending[id]; !ok || o.order.Operation != platform.Join || o.order.Epoch != epoch {
			return false
		}
	}
	return true
}

// open returns the order that opens a group all of whose members have been ready.
func (p *Planner) open(g *group, head *Member, size int) []Order {
	if head == nil || head.Membership.State != roster.Joined {
		return nil
	}
	for rank := range size {
		m := g.members[rank]
		if m == nil || m.Membership.State != roster.Joined && m.Membership.State != roster.Open {
			return nil
		}
	}
	if _, ok := p.pending[head.ID]; ok {
		return nil
	}
	return []Order{{head.Server, platform.Order{Operation: platform.OpenHead, Group: g.name, Epoch: g.epoch, FencingToken: p.token, ExpectedOrders: head.Orders}, "all members are ready"}}
}

func (p *Planner) tell(m *Member, g *group, op platform.Operation, why string) Order {
	return Order{m.Server, platform.Order{Operation: op, Group: g.name, Epoch: g.epoch, FencingToken: p.token, ExpectedOrders: -1}, why}
}

// supply is what the backend servers make up at one step.
type supply struct {
	Input
	// ready counts the listed backend servers that take work.
	ready int
	// serving counts the groups of each model, whole or on their way, and coming those not open yet.
	serving, coming map[string]float64
	// aheadLoads is how many more loads may be started ahead of need.
	aheadLoads int
	// open counts the open groups of each model that are to stay.
	open map[string]int
	// groups are all groups.
	groups map[string]*group
	// local counts the members of groups of each model, by domain.
	local map[string]map[string]int
	// weights counts the hosts of each domain that have the weights of each model, or will have them.
	weights map[string]map[string]int
	// hosts counts the backend servers of each domain that may join groups, or have.
	hosts map[string]int
	// layout is how many groups of each model but the largest each domain is given while the fleet starts.
	layout map[string]map[string]int
}

// count adds one to an entry of a table by domain and model.
func count(table map[string]map[string]int, domain, model string) {
	if table[domain] == nil {
		table[domain] = map[string]int{}
	}
	table[domain][model]++
}

// absent tells whether no domain has enough hosts with the weights of a model for one group.
func (s *supply) absent(model *route.Model) bool {
	for _, models := range s.weights {
		if models[model.Name] >= model.Size {
			return false
		}
	}
	return true
}

// foothold returns the domain in which hosts are gathered for the first group of a model: one that other models leave
// enough hosts for it, then the one with the most of its weights, then the one with the most room.
func (s *supply) foothold(model *route.Model) string {
	best, bestFits, bestHeld, bestRoom := "", 0, 0, 0
	for _, domain := range slices.Sorted(maps.Keys(s.hosts)) {
		if s.hosts[domain] < model.Size {
			continue
		}
		held, room, fits := s.weights[domain][model.Name], s.hosts[domain], 0
		for name, n := range s.weights[domain] {
			if name != model.Name {
				room -= n
			}
		}
		if room >= model.Size {
			fits = 1
		}
		if best == "" || cmp.Or(cmp.Compare(fits, bestFits), cmp.Compare(held, bestHeld), cmp.Compare(room, bestRoom)) > 0 {
			best, bestFits, bestHeld, bestRoom = domain, fits, held, room
		}
	}
	return best
}

// order returns the domains in the order in which their hosts are given loads: those in which an absent model is to come back
// first, since loads are few.
func (s *supply) order(models []route.Model, domains map[string][]*Member) []string {
	first := map[string]bool{}
	for i := range models {
		if s.absent(&models[i]) {
			first[s.foothold(&models[i])] = true
		}
	}
	names := slices.Sorted(maps.Keys(domains))
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case first[a] == first[b]:
			return 0
		case first[a]:
			return -1
		}
		return 1
	})
	return names
}

// form makes groups of idle backend servers, and puts weights on the hosts of those that cannot form one.
func (p *Planner) form(now time.Time, in Input, taken map[string]bool, groups map[string]*group) []Order {
	domains := map[string][]*Member{}
	s := &supply{
		Input: in, serving: map[string]float64{}, coming: map[string]float64{}, local: map[string]map[string]int{},
		weights: map[string]map[string]int{}, hosts: map[string]int{}, open: map[string]int{}, groups: groups, aheadLoads: p.aheadLoads(in),
	}
	for _, g := range groups {
		if g.model != nil && !g.ending && g.serves() {
			s.open[g.model.Name]++
		}
	}
	for _, m := range in.Members {
		if m.Listed && m.State == roster.Ready {
			s.ready++
		}
		_, busy := p.pending[m.ID]
		if model := p.engine.Model(m.Model); model != nil && taken[m.ID] {
			s.serving[model.Name] += 1 / float64(model.Size)
			if m.Rank == 0 && m.Membership.State != roster.Open {
				s.coming[model.Name]++
			}
			count(s.local, m.Domain, model.Name)
		} else if o, ok := p.pending[m.ID]; ok && o.order.Operation == platform.Join {
			if model := p.engine.Model(o.order.Model); model != nil {
				s.serving[model.Name] += 1 / float64(model.Size)
			}
		}
		if m.Answers && m.State == roster.Ready {
			s.hosts[m.Domain]++
			for _, name := range p.holds(now, m) {
				count(s.weights, m.Domain, name)
			}
		}
		if m.usable() && !busy && !taken[m.ID] {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	var orders []Order
	s.layout = p.layout(in.Members, s.ready)
	for _, domain := range s.order(p.engine.Models, domains) {
		idle := domains[domain]
		slices.SortFunc(idle, func(a, b *Member) int {
			return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(a.ID, b.ID))
		})
		for {
			model := p.next(now, idle, s, domain)
			if model == nil {
				break
			}
			members := p.pick(now, idle, s, model)
			idle = slices.DeleteFunc(idle, func(m *Member) bool { return slices.Contains(members, m) })
			if p.rooms[domain].model == model.Name {
				delete(p.rooms, domain)
			}
			for _, o := range p.join(now, "g", members, model, "form a group of "+model.Name) {
				p.await(now, o) // counts for the room of the domain
				orders = append(orders, o)
			}
			s.serving[model.Name]++
			s.coming[model.Name]++
		}
		if in.Early && now.Sub(p.started) < settleTime {
			continue
		}
		orders = append(orders, p.makeRoom(now, s, idle, domain)...)
		orders = append(orders, p.warm(now, idle)...)
		orders = append(orders, p.stage(now, s, idle, domain)...)
	}
	if !in.Early || now.Sub(p.started) >= settleTime {
		orders = append(orders, p.prepare(now, s)...)
	}
	return orders
}

// pick returns the members of the group to form from idle ones, those that need not take up the weights first. The slowest
// come last whatever they hold, since a group is as slow as its slowest member.
func (p *Planner) pick(now time.Time, idle []*Member, s *supply, model *route.Model) []*Member {
	var out []*Member
	for _, m := range idle {
		if s.Early || p.able(m, model.Name) && !p.kept(now, m, model.Name) {
			out = append(out, m)
		}
	}
	cold := func(m *Member) int {
		if p.served[m.ID] == (served{m.Born, model.Name}) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b *Member) int { return cmp.Or(cmp.Compare(a.Pace, b.Pace), cold(a)-cold(b)) })
	return out[:model.Size]
}

// layout lays out the groups of a starting fleet: how many of each model but the largest each domain is given. The small
// groups share as few domains as hold them with one large group each, evenly, so that the other domains hold large ones only
// and every domain keeps some spares; were they formed wherever two backend servers happen to register first, too few domains
// could hold large ones.
func (p *Planner) layout(members []*Member, ready int) map[string]map[string]int {
	sizes := map[string]int{}
	for _, m := range members {
		if m.Listed && m.State == roster.Ready {
			sizes[m.Domain]++
		}
	}
	most := 0
	for _, n := range sizes {
		most = max(most, n)
	}
	models := slices.Clone(p.engine.Models)
	slices.SortStableFunc(models, func(a, b route.Model) int { return cmp.Compare(b.Size, a.Size) })
	out := map[string]map[string]int{}
	rooms := map[string]int{}
	for domain := range sizes {
		out[domain] = map[string]int{}
		rooms[domain] = most - models[0].Size
	}
	for _, model := range models[1:] {
		want := int(math.Round(model.Share * float64(ready) / float64(model.Size)))
		var shared []string
		room := 0
		for _, domain := range slices.Sorted(maps.Keys(sizes)) {
			out[domain][model.Name] += 0 // a domain without an allotment gets none
			if n := rooms[domain] / model.Size; n > 0 && room < want {
				room += n
				shared = append(shared, domain)
			}
		}
		for want = min(want, room); want > 0; {
			for _, domain := range shared {
				if want > 0 && rooms[domain] >= model.Size {
					out[domain][model.Name]++
					rooms[domain] -= model.Size
					want--
				}
			}
		}
	}
	return out
}

// next returns the model of the group to form from idle members, nil when they make none.
func (p *Planner) next(now time.Time, idle []*Member, s *supply, domain string) *route.Model {
	var best *route.Model
	most := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		have := 0
		for _, m := range idle {
			if s.Early || p.able(m, model.Name) && !p.kept(now, m, model.Name) {
				have++
			}
		}
		if have < model.Size {
			continue
		}
		if s.Early && !p.allotted(model, s, domain) {
			continue
		}
		if need := s.need(model); best == nil || need > most {
			best, most = model, need
		}
	}
	return best
}

// allotted tells whether a domain has room in the layout for another group of a model.
func (p *Planner) allotted(model *route.Model, s *supply, domain string) bool {
	mine, size := 0, 0
	for _, m := range s.Members {
		if m.Domain != domain || !m.Listed {
			continue
		}
		size++
		// A member that is still joining reports no model.
		o, ok := p.pending[m.ID]
		if m.Group != "" && (m.Model == model.Name || m.Model == "" && p.formedSize(m) == model.Size) || ok && o.order.Model == model.Name {
			mine++
		}
	}
	if n, ok := s.layout[domain][model.Name]; ok {
		return mine < n*model.Size
	}
	reserved := 0
	for i := range p.engine.Models {
		reserved += s.layout[domain][p.engine.Models[i].Name] * p.engine.Models[i].Size
	}
	return mine+model.Size+reserved <= size
}

// formedSize is the size of the group that m reports, 0 when this planner did not form it.
func (p *Planner) formedSize(m *Member) int {
	if h := p.histories[roster.GroupKey(m.Group, m.Epoch)]; h != nil {
		return len(h.members)
	}
	return 0
}

// urgentFirst is what the pressure on the model of the most urgent work counts more than that on others.
const urgentFirst = 1.5

// need is how badly a model needs another group. While work is known it is the pressure on the model's groups, before that
// how far the model is below its part of the backend servers.
func (s *supply) need(model *route.Model) float64 {
	if len(s.Pressure) > 0 {
		// A group that is on its way relieves the pressure already.
		return s.weight(model) / (1 + s.coming[model.Name])
	}
	want := model.Share * float64(s.ready) / float64(model.Size)
	if want <= 0 {
		return -1
	}
	return (want - s.serving[model.Name]) / want
}

// join returns the orders that make members a group, whose name begins with prefix.
func (p *Planner) join(now time.Time, prefix string, members []*Member, model *route.Model, why string) []Order {
	p.epoch++
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	name := fmt.Sprintf("%s%d", prefix, p.epoch)
	p.histories[roster.GroupKey(name, p.epoch)] = &history{members: ids, seen: now}
	var orders []Order
	for _, m := range members {
		orders = append(orders, Order{m.Server, platform.Order{
			Operation: platform.Join, Group: name, Epoch: p.epoch, Model: model.Name, Members: ids, FencingToken: p.token, ExpectedOrders: m.Orders,
		}, why})
	}
	return orders
}

// stage puts weights on the hosts of idle members that cannot form a group. Each gets the model that needs a group most
// among those that the domain's idle hosts can complete.
func (p *Planner) stage(now time.Time, s *supply, idle []*Member, domain string) []Order {
	held := map[string]int{}
	holders := map[string][]*Member{}
	var empty []*Member
	for _, m := range idle {
		model := p.loading(now, m)
		for _, name := range m.Staged {
			if model == "" && p.engine.Model(name) != nil {
				model = name
				holders[name] = append(holders[name], m)
			}
		}
		switch {
		case model != "":
			held[model]++
		case !m.Busy:
			empty = append(empty, m)
		}
	}
	var orders []Order
	load := func(m *Member, model *route.Model, why string) {
		held[model.Name]++
		count(s.weights, domain, model.Name)
		orders = append(orders, p.load(now, m, model, why))
	}
	for i, m := range empty {
		model := p.stageFor(held, len(empty)-i, s, domain)
		if model == nil || !p.mayLoad(now, s.Input) {
			return orders
		}
		load(m, model, "put weights on an idle host")
	}
	for i := range p.engine.Models {
		from := &p.engine.Models[i]
		to := p.convert(from, held, s)
		if to == nil || now.Before(p.rooms[domain].until) {
			continue
		}
		missing := to.Size - held[to.Name]%to.Size
		for _, m := range holders[from.Name] {
			if missing == 0 || !p.mayLoad(now, s.Input) {
				break
			}
			if p.able(m, to.Name) {
				continue
			}
			missing--
			held[from.Name]--
			holders[from.Name] = holders[from.Name][1:]
			load(m, to, "too few hosts of the domain hold "+from.Name)
		}
	}
	if from, to := s.rebalance(p.engine.Models, held, domain); to != nil && s.aheadLoads > 0 && len(holders[from.Name]) > 0 && !now.Before(p.rooms[domain].until) &&
		!p.able(holders[from.Name][0], to.Name) && p.mayLoad(now, s.Input) {
		s.aheadLoads--
		load(holders[from.Name][0], to, "a spare of "+from.Name+" is worth more as one of "+to.Name)
	}
	return orders
}

// load is weights on their way to a host.
type load struct {
	model string
	born  int64
	until time.Time
}

// loadPatience is how many times its usual length a load may take; many loads at once slow each other.
const loadPatience = 3

// loading returns the model that is on its way to a member's host.
func (p *Planner) loading(now time.Time, m *Member) string {
	l, ok := p.staging[m.ID]
	if !ok {
		return ""
	}
	if l.born != m.Born || now.After(l.until) || slices.Contains(m.Staged, l.model) {
		delete(p.staging, m.ID)
		return ""
	}
	return l.model
}

// convertPressure is the pressure on a model from which idle hosts that hold another one are given its weights.
const convertPressure = 0.5

// convert returns the model to which hosts of from are turned that are too few for a group of their own; nil when they
// are to stay spares.
func (p *Planner) convert(from *route.Model, held map[string]int, s *supply) *route.Model {
	if held[from.Name] == 0 || held[from.Name] >= from.Size || s.absent(from) {
		return nil
	}
	for i := range p.engine.Models {
		to := &p.engine.Models[i]
		missing := to.Size - held[to.Name]%to.Size
		if to == from || s.Pressure[to.Name] < convertPressure || missing > held[from.Name] {
			continue
		}
		if s.need(to) > s.need(from) {
			return to
		}
	}
	return nil
}

// absentFirst puts a model of which no domain has enough weights for a group before all others: its callers would be
// turned away however little work it has. Of two such models the larger one goes first, as it is harder to find room for.
const absentFirst = 1000

// holds returns the models whose weights a member's host has or will have: those of its group, of what is on its way, and
// what is staged.
func (p *Planner) holds(now time.Time, m *Member) []string {
	if name := p.loading(now, m); name != "" {
		return []string{name}
	}
	if m.Model != "" && !slices.Contains(m.Staged, m.Model) {
		return append([]string{m.Model}, m.Staged...)
	}
	return m.Staged
}

// stageFor chooses the model for one of the empty hosts of a domain.
func (p *Planner) stageFor(held map[string]int, empty int, s *supply, domain string) *route.Model {
	var best *route.Model
	bestScore := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		missing := model.Size - held[model.Name]%model.Size
		score := s.need(model)
		switch {
		case s.absent(model) && (missing <= empty || domain == s.foothold(model)):
			score += absentFirst * float64(model.Size)
		case missing > empty:
			// It would only be a spare; spares are worth most where groups of the model are.
			score += spareWorth*s.spare(model, domain, held[model.Name]) - spareLater
		default:
			score += 1 / float64(missing)
		}
		if best == nil || score > bestScore {
			best, bestScore = model, score
		}
	}
	return best
}

// spareLater is how much less a spare is worth than a host that completes a group now.
const spareLater = 2

// spare is the use of one more spare of a model in a domain that has some, from 0 to 1: the more members its groups have
// there, the likelier a loss is one of theirs, and the fewer spares there are, the likelier this one is needed.
func (s *supply) spare(model *route.Model, domain string, have int) float64 {
	members := 0
	for _, n := range s.local[domain] {
		members += n
	}
	return float64(s.local[domain][model.Name]) / float64(max(members, 1)*(1+have))
}

const (
	// spareWorth is the worth of the most useful spare on the scale of pressure: as much as work for two whole groups that
	// one has.
	spareWorth = 2
	// moveSpare is by how much a spare must be worth more with another model's weights before it is given them.
	moveSpare = 0.2
)

// rebalance returns the model that has one spare too many in a domain and the one that lacks it, nil when none does. Which
// models need spares shows only when their work comes.
func (s *supply) rebalance(models []route.Model, held map[string]int, domain string) (from, to *route.Model) {
	gain := moveSpare
	for i := range models {
		a := &models[i]
		// The last spare stays: a burst of other work is over before its host has loaded. Where the domain has no group of
		// the model, its hosts are the rest of one and wait for what it lacks.
		if held[a.Name] < 2 || held[a.Name] >= a.Size || s.local[domain][a.Name] == 0 || s.absent(a) {
			continue
		}
		keeps := s.Pressure[a.Name] + spareWorth*s.spare(a, domain, held[a.Name]-1)
		for j := range models {
			b := &models[j]
			if i == j || held[b.Name] >= b.Size-1 {
				continue
			}
			if g := s.Pressure[b.Name] + spareWorth*s.spare(b, domain, held[b.Name]) - keeps; g > gain {
				gain, from, to = g, a, b
			}
		}
	}
	return from, to
}

// fetching counts the loads under way. Beyond what the weight store serves at once each takes longer, so the first hosts would
// be ready no sooner than the last.
func (p *Planner) fetching(members []*Member) int {
	n := p.begun
	for _, m := range members {
		o, ok := p.pending[m.ID]
		if m.Busy && m.Membership.State != roster.Joining || ok && o.order.Operation == platform.Stage {
			n++
		}
	}
	return n
}

// mayLoad tells whether another load may start now: within what the weight store serves at once, and within the rate over the
// ceiling's window.
func (p *Planner) mayLoad(now time.Time, in Input) bool {
	if in.Early || in.LoadRate <= 0 {
		return true
	}
	if n := p.engine.LoadsAtOnce; n > 0 && p.fetching(in.Members) >= n {
		return false
	}
	p.loads = slices.DeleteFunc(p.loads, func(t time.Time) bool { return now.Sub(t) > in.Window })
	return float64(len(p.loads)) < in.LoadRate*in.Window.Seconds()
}
