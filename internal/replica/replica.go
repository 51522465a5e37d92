// Package replica plans the model groups of a service: which backend servers form which group, and which orders they
// are sent.
//
// # Load pattern
//
// Every few seconds a member of some group is lost permanently, sometimes a whole fabric domain. New backend servers
// arrive without weights and need tens of seconds to fetch those of a model, while one that has them on its host joins
// a group in a second or two. A group runs at full speed only within one domain. The planner therefore works domain by
// domain: it replaces lost members by any idle backend servers of the domain that have the weights, it stages weights
// on hosts before they are needed, and it combines the survivors of broken groups into complete ones, also of another
// model.
//
// The planner stores no plan. Each step compares the reports of the backend servers with the desired state and returns
// orders for the differences, so a new holder of the lease continues where the previous one stopped.
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

// ServerStatus is the state of a backend server as known to the holder of the lease, from its entry or its report,
// whichever is newer.
type ServerStatus struct {
	*roster.Server
	// Orders counts the orders that the backend server has begun to execute.
	Orders int64
	// Responding is false when the backend server has not responded for a while.
	Responding bool
	// Ended is set when its process is known to have ended: another one has its address.
	Ended bool
	// Refused is set when its address refuses connections and no daemon that was asked reaches it. A path that is cut off on the way may
	// do the same, so that its entry decides.
	Refused bool
	// Listed is false when its entry was removed.
	Listed bool
	// Reported is set when a report of this lifetime was received.
	Reported bool
	Busy     bool
	// Pace is greater than 1 while the backend server is slow.
	Pace float64
	// Unreachable is set when the holder of the lease does not reach the backend server, though it is alive: another daemon reaches
	// it, or most others do not respond either.
	Unreachable bool
}

// usable reports whether the backend server may join a group.
func (m *ServerStatus) usable() bool {
	return m.Listed && m.State == roster.Ready && m.Responding && m.Reported && !m.Unreachable
}

// lost reports whether a member cannot serve in its group any more. A member that is disconnected from the store, but
// responds, continues to work. Only a head must be registered, since it receives requests.
func (m *ServerStatus) lost() bool {
	return !m.Responding || m.State != roster.Ready || !m.Listed && m.Rank == 0
}

// mayLeaveInOrder reports whether a backend server leaves, as its state or the removal of its entry tells, for all that is known. It may stop
// listening before its last work is done, its own or that of the head of its group.
func (m *ServerStatus) mayLeaveInOrder() bool {
	return !m.Ended && (m.State == roster.Draining || !m.Listed && !m.Expired)
}

// dead reports whether a backend server has ended, or neither responds nor renews its entry, so that it has lapsed or is about to. A
// head that only stands still may go on, however many daemons it does not answer or however many it refuses. A draining one may do
// neither and still finish its requests, so it does not count as dead.
func (m *ServerStatus) dead(in *Input) bool {
	if m.Responding || m.State != roster.Ready {
		return false
	}
	if m.Ended {
		return true
	}
	if !m.Listed {
		return m.Expired || m.Refused
	}
	return !m.renewed(in)
}

// renewed reports whether the entry of a backend server has been renewed in time, as far as its renewals can be seen. A renewal is
// missing only if a read has shown so: the holder may not have read the entries since, for example because it was paused.
func (m *ServerStatus) renewed(in *Input) bool {
	last, timeout := m.RenewedAt, in.RenewalTimeout
	if in.StoreRecovered.After(last) {
		last = in.StoreRecovered
	}
	if m.Refused {
		timeout = in.RefusedTimeout
	}
	return in.HeartbeatsRead.Sub(last) <= timeout
}

// presumeAlive returns the backend servers as they are taken to be. While most of them do not respond, it is more likely that the
// path to them is lost than that they all fail within the time for which an entry is good. So those whose entries are renewed
// are alive until they respond again: they keep their groups, and get no new ones.
func (p *Planner) presumeAlive(now time.Time, in *Input) []*ServerStatus {
	silent := func(m *ServerStatus) bool {
		return m.Listed && m.State == roster.Ready && !m.Responding && !m.dead(in)
	}
	listed, unresponsive := 0, 0
	for _, m := range in.Servers {
		if m.Listed && m.State == roster.Ready {
			listed++
		}
		if silent(m) {
			unresponsive++
		}
	}
	lost := 2*unresponsive > listed
	presumed := map[string]int64{}
	out := make([]*ServerStatus, len(in.Servers))
	for i, m := range in.Servers {
		out[i] = m
		if born, ok := p.presumed[m.ID]; silent(m) && (lost || ok && born == m.Born) {
			presumed[m.ID] = m.Born
			alive := *m
			alive.Responding, alive.Unreachable = true, true
			out[i] = &alive
		}
	}
	p.presumed = presumed
	return out
}

// Order is an order to one backend server.
type Order struct {
	Server *roster.Server
	platform.Order
	// Reason is the reason for the order.
	Reason string
}

// pendingOrder is an order that was sent and has no visible effect yet.
type pendingOrder struct {
	order   platform.Order
	born    int64
	expires time.Time
}

// Planner plans the groups of one model service. It is not safe for concurrent use.
type Planner struct {
	engine *route.Engine
	// pending holds the last order of each backend server until its effect is visible or it times out.
	pending map[string]pendingOrder
	// histories holds what members do not report about each group that was formed or reported recently.
	histories map[string]*history
	epoch     int64
	// staging holds the weights that are being fetched to hosts.
	staging map[string]pendingLoad
	// loadTimes are the times at which loads of weights were started, for the rate limit.
	loadTimes []time.Time
	// startedLoads counts the loads started by the current step.
	startedLoads int
	// started is when this planner was created.
	started time.Time
	// serverCount is the number of backend servers at the last step, and lastGrowth is when it last increased.
	serverCount int
	lastGrowth  time.Time
	token       int64
	// lastServed is the model that each backend server served last. reservations are the hosts of each domain that are
	// reserved for a group.
	lastServed   map[string]servedModel
	reservations map[string]reservation
	// pressure is the smoothed pressure on each model, as of pressureAt.
	pressure   map[string]float64
	pressureAt time.Time
	// presumed holds the lifetimes of the backend servers that are presumed alive, by id.
	presumed map[string]int64
}

// history is what the planner remembers about a group.
type history struct {
	// members are the backend servers that this planner ordered to form the group. It is empty for groups formed under
	// an earlier holder of the lease.
	members []string
	// head is the backend server that reported rank 0, headBorn its lifetime.
	head     string
	headBorn int64
	// ranks holds the backend server that last reported each rank to this planner.
	ranks map[int]string
	// stalledSince is when the group was first found broken with a head that does not respond.
	stalledSince time.Time
	// lastSeen is when the group was formed or a member last reported it.
	lastSeen time.Time
	// preempted is set when the group was ordered to close to free its hosts for a group of another model.
	preempted bool
}

const (
	// historyTTL is how long a group that no member reports is remembered. It is longer than the time for which an
	// outage of the store hides members.
	historyTTL = 2 * time.Minute
	// orderTimeout is how long the planner waits for a report that shows the effect of an order.
	orderTimeout = 1500 * time.Millisecond
	// registrationQuiet is the time without a new registration after which all backend servers of a starting fleet are
	// taken to have registered. The groups are laid out over all of them.
	registrationQuiet = 1600 * time.Millisecond
	// settleTime is the time after the start at which hosts that are still idle are given weights as spares.
	settleTime = 4 * time.Second
	// leaveGrace is how much longer than the stall time a head that left in order may take to finish its requests.
	leaveGrace = 6 * time.Second
	// epochBits is the number of low bits of an epoch that number the groups formed under one fencing token.
	epochBits = 20
)

// New returns a planner that gives orders under the fencing token of a lease.
func New(engine *route.Engine, token int64, now time.Time) *Planner {
	return &Planner{
		engine: engine, pending: map[string]pendingOrder{}, histories: map[string]*history{},
		staging: map[string]pendingLoad{}, lastServed: map[string]servedModel{}, reservations: map[string]reservation{}, started: now, token: token, epoch: token << epochBits,
	}
}

// Input is the state on which a step decides.
type Input struct {
	Servers []*ServerStatus
	// RenewalTimeout is the longest time between two renewals of the entry of a live backend server. It is longer than
	// any outage while the store does not answer, since entries cannot be renewed then, and while it shows no renewals.
	RenewalTimeout time.Duration
	// RefusedTimeout replaces it for a backend server that refuses connections. One that is sound answers.
	RefusedTimeout time.Duration
	// HeartbeatsRead is when the last read of the entries that shows all heartbeats was sent.
	HeartbeatsRead time.Time
	// EntriesCurrent is set while the store answers. It then removes the entry of a backend server that has not renewed it for a
	// few heartbeats.
	EntriesCurrent bool
	// StoreRecovered is when the store last recovered from an outage.
	StoreRecovered time.Time
	// Stall is the time within which a head that lost a member detects that its group is broken.
	Stall time.Duration
	// LoadRate bounds the loads of weights per second, on average over LoadWindow.
	LoadRate   float64
	LoadWindow time.Duration
	// Pressure is the ratio of demand to the concurrent capacity of the open groups, by model. Above 1, requests wait
	// or are rejected. It is empty while the demand is unknown.
	Pressure map[string]float64
	// UrgentModel is the model of the most urgent requests.
	UrgentModel string
	// DemandLag is how long it may take until the holder of the lease learns of the first request.
	DemandLag time.Duration
	// StartingUp is set before the first request, when loads are fast and do not count against limits.
	StartingUp bool
	// Evacuated reports whether a backend server is in an evacuated data centre; nil if there is none. It gets no new group and no
	// weights, and counts as no capacity. Its group stays as it is, so that it serves again after the evacuation.
	Evacuated func(*roster.Server) bool
}

// evacuated reports whether a backend server is in an evacuated data centre.
func (in *Input) evacuated(m *ServerStatus) bool {
	return m != nil && in.Evacuated != nil && in.Evacuated(m.Server)
}

// group is a group as reported by its members.
type group struct {
	name    string
	epoch   int64
	model   *route.Model
	members map[int]*ServerStatus
	*history
}

// Step returns the orders to send now.
func (p *Planner) Step(now time.Time, in Input) []Order {
	p.startedLoads = 0
	in.Servers = p.presumeAlive(now, &in)
	in.Pressure = p.smoothPressure(now, in.Pressure)
	p.clearPending(now, in.Servers)
	p.recordServed(in.Servers)
	var orders []Order
	groups := p.groups(now, in.Servers)
	taken := map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(groups)) {
		g := groups[key]
		out, busy := p.reconcile(now, g, in)
		orders = append(orders, out...)
		for _, m := range g.members {
			if busy {
				taken[m.ID] = true
			}
		}
	}
	if len(in.Servers) > p.serverCount {
		p.lastGrowth = now
	}
	p.serverCount = len(in.Servers)
	if !in.StartingUp || now.Sub(p.lastGrowth) >= registrationQuiet {
		orders = append(orders, p.formGroups(now, in, taken, groups)...)
	}
	for _, o := range orders {
		p.addPending(now, o)
	}
	return orders
}

// pressureHalfLife is the half-life of the smoothed pressure. It spans several arrivals of a slow service, and a group
// takes longer than that to form.
const pressureHalfLife = 500 * time.Millisecond

// smoothPressure returns the pressure on each model, averaged over the recent past. A model keeps its pressure while the
// daemon that knows its demand cannot be reached: otherwise its groups would be closed as unused.
func (p *Planner) smoothPressure(now time.Time, current map[string]float64) map[string]float64 {
	if p.pressure == nil {
		p.pressure = map[string]float64{}
	}
	keep := math.Exp2(-float64(max(now.Sub(p.pressureAt), 0)) / float64(pressureHalfLife))
	for name, v := range current {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			continue // would remain in the average
		}
		if old, ok := p.pressure[name]; ok {
			v = v + (old-v)*keep
		}
		p.pressure[name] = v
	}
	p.pressureAt = now
	return p.pressure
}

// addPending records an order until its effect is visible.
func (p *Planner) addPending(now time.Time, o Order) {
	p.pending[o.Server.ID] = pendingOrder{o.Order, o.Server.Born, now.Add(orderTimeout)}
}

// Summary summarises the states of the backend servers of a service.
type Summary struct {
	// Open counts the open groups of each model, and Forming counts those that are not open yet.
	Open, Forming map[string]int
	// Idle counts the usable backend servers without a group, by the models staged on their hosts. Lost counts those
	// that are lost.
	Idle map[string]int
	Lost int
}

// Summarize returns the summary of the backend servers.
func Summarize(servers []*ServerStatus) Summary {
	t := Summary{Open: map[string]int{}, Forming: map[string]int{}, Idle: map[string]int{}}
	for _, m := range servers {
		switch {
		case m.lost():
			t.Lost++
		case m.Membership.State == roster.Open:
			t.Open[m.Model]++
		case m.Group == "" || isSpare(m):
			t.Idle[strings.Join(m.Staged, "+")]++
		case m.Rank == 0:
			t.Forming[m.Model]++
		}
	}
	return t
}

// clearPending drops pending orders whose effect is visible or that timed out.
func (p *Planner) clearPending(now time.Time, servers []*ServerStatus) {
	for _, m := range servers {
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
		if done || o.born != m.Born || now.After(o.expires) {
			delete(p.pending, m.ID)
		}
	}
}

// OrderFailed drops a pending order that was rejected or not sent, so that the next step can decide again.
func (p *Planner) OrderFailed(id string) {
	if p.pending[id].order.Operation == platform.Stage {
		delete(p.staging, id)
	}
	delete(p.pending, id)
}

// groups collects the groups that members report, and forgets those that no member has reported for historyTTL.
func (p *Planner) groups(now time.Time, servers []*ServerStatus) map[string]*group {
	out := map[string]*group{}
	for _, m := range servers {
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
			if h.ranks == nil {
				h.ranks = map[int]string{}
			}
			h.lastSeen = now
			g = &group{name: m.Group, epoch: m.Epoch, members: map[int]*ServerStatus{}, history: h}
			out[key] = g
		}
		g.members[m.Rank] = m
		g.ranks[m.Rank] = m.ID
		if m.Rank == 0 {
			g.head, g.headBorn = m.ID, m.Born
		}
		if model := p.engine.Model(m.Model); model != nil {
			g.model = model
		}
	}
	maps.DeleteFunc(p.histories, func(_ string, h *history) bool { return now.Sub(h.lastSeen) > historyTTL })
	return out
}

// reconcile returns the orders for one group. busy reports whether the members must stay in the group.
func (p *Planner) reconcile(now time.Time, g *group, in Input) (orders []Order, busy bool) {
	head := g.members[0]
	size := g.size()
	complete := size > 0 && len(g.members) >= size && (head == nil || head.Membership.State != roster.Broken)
	for _, m := range g.members {
		complete = complete && !m.lost()
	}
	switch {
	case strings.HasPrefix(g.name, sparePrefix):
		return nil, head != nil && head.Membership.State == roster.Joining
	case complete && in.evacuated(head):
		return nil, true
	case complete && g.preempted && head != nil:
		return p.closePreempted(g, head), true
	case complete:
		return p.openOrder(g, head, size), true
	}
	// Members that have not reported the group yet may still join it.
	if len(g.history.members) > 0 && p.membersJoining(g.history.members, in.Servers, g.epoch) {
		return nil, true
	}
	// The group cannot become complete. Its head must leave first, and only then may the others join another group.
	switch {
	case head == nil && p.headIsDone(g, in.Servers):
		return nil, false
	case head == nil && g.head != "":
		return p.dismiss(now, g, "the head is lost"), false
	case head == nil && g.maybeRunning(now, in):
		return nil, true
	case head == nil:
		return p.dismiss(now, g, "the head is unknown"), false
	case head.Responding:
		if _, ok := p.pending[head.ID]; ok {
			return nil, true
		}
		if g.canDrain(head, in.Servers) {
			if head.Membership.State == roster.Closing {
				return nil, true // the head is finishing its requests
			}
			return []Order{p.newOrder(head, g, platform.CloseHead, "a member leaves")}, true
		}
		return []Order{p.newOrder(head, g, platform.Leave, "a member is lost")}, true
	case head.Ended:
		return nil, false
	case head.dead(&in):
		return p.dismiss(now, g, "the head is lost"), false
	}
	// The head may be running although it does not respond. A head that left in order first finishes its requests. One whose
	// entry is listed has renewed it not long ago, and the entry says when it finds its group broken.
	if !head.Listed {
		if !head.Hearsay {
			in.Stall += leaveGrace
		}
	} else if in.EntriesCurrent && head.Membership.State != roster.Broken {
		return nil, true
	}
	if g.maybeRunning(now, in) {
		return nil, true
	}
	return p.dismiss(now, g, "the head is silent"), false
}

// headIsDone reports whether the head of a group is known to have left it or to have ended.
func (p *Planner) headIsDone(g *group, servers []*ServerStatus) bool {
	i := slices.IndexFunc(servers, func(m *ServerStatus) bool { return m.ID == g.head })
	if i < 0 {
		return false // it may go on, although no daemon knows it any more
	}
	m := servers[i]
	return m.Ended || m.Born != g.headBorn || m.Reported && m.Responding
}

// dismiss returns the orders by which the members of a group leave it whose head is out of reach. Neither a lapsed entry nor refused
// connections prove that such a head has ended: it may be cut off from the store and from all daemons, and still serve with its
// members. Only a member's own word makes it free. The order stays pending until then, which keeps the member out of other groups.
func (p *Planner) dismiss(now time.Time, g *group, why string) []Order {
	var orders []Order
	for _, rank := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[rank]
		if _, ok := p.pending[m.ID]; ok || !m.Responding {
			continue
		}
		o := p.newOrder(m, g, platform.Leave, why)
		p.addPending(now, o)
		orders = append(orders, o)
	}
	return orders
}

// canDrain reports whether the head may finish the requests of a group that is to close: it serves, and no member is known to be lost. A head
// works on after its entry was removed, whether it has left in order or is cut off from the store.
//
// An order to leave cuts the requests of the head for good, while a closed head finishes them and can be opened again. So the order to leave
// needs evidence. A member of which nothing is known is none: a daemon that has just taken the lease does not know servers whose entries
// were removed before it began to read, until others tell it, and a store that was restored from a backup may lack entries. If such a
// member is lost after all, the head finds its group broken within the stall time and reports so.
func (g *group) canDrain(head *ServerStatus, servers []*ServerStatus) bool {
	if head.Membership.State != roster.Open && head.Membership.State != roster.Closing {
		return false
	}
	for _, m := range g.members {
		if !m.Responding && !m.mayLeaveInOrder() {
			return false
		}
	}
	for rank, id := range g.ranks {
		// A member that is still known but reports the group no more has joined another one, has left, or has been started again.
		if g.members[rank] == nil && slices.ContainsFunc(servers, func(m *ServerStatus) bool { return m.ID == id }) {
			return false
		}
	}
	return true
}

func (g *group) size() int {
	if g.model != nil {
		return g.model.Size
	}
	return len(g.history.members)
}

// maybeRunning reports whether the head of a broken group may still be running. A running head detects the failure
// within the stall time and stops.
func (g *group) maybeRunning(now time.Time, in Input) bool {
	if g.stalledSince.IsZero() {
		g.stalledSince = now
	}
	return now.Sub(g.stalledSince) < in.Stall
}

// membersJoining reports whether every member in ids that has not reported the group is still expected to join it.
func (p *Planner) membersJoining(ids []string, servers []*ServerStatus, epoch int64) bool {
	byID := make(map[string]*ServerStatus, len(servers))
	for _, m := range servers {
		byID[m.ID] = m
	}
	for _, id := range ids {
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

// openOrder returns the order to open a group once all its members have joined.
func (p *Planner) openOrder(g *group, head *ServerStatus, size int) []Order {
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

func (p *Planner) newOrder(m *ServerStatus, g *group, op platform.Operation, why string) Order {
	return Order{m.Server, platform.Order{Operation: op, Group: g.name, Epoch: g.epoch, FencingToken: p.token, ExpectedOrders: -1}, why}
}

// stepState is the state of the backend servers within one step.
type stepState struct {
	Input
	// ready counts the registered backend servers that are ready.
	ready int
	// serving counts the groups of each model that are open or being formed, partly formed ones in fractions. forming
	// counts the groups that are not open yet.
	serving, forming map[string]float64
	// prefetchBudget is how many more loads may be started before they are needed.
	prefetchBudget int
	// open counts the open groups of each model, without preempted ones.
	open map[string]int
	// groups are all reported groups by key.
	groups map[string]*group
	// groupMembers counts the members of groups, by domain and model.
	groupMembers map[string]map[string]int
	// weights counts the hosts that have the weights of a model or are fetching them, by domain and model.
	weights map[string]map[string]int
	// hosts counts the backend servers of each domain that are members of groups or could be.
	hosts map[string]int
	// layout is the number of groups of each model, except the largest model, that each domain is assigned while the
	// fleet starts.
	layout map[string]map[string]int
}

// increment adds one to the entry for a domain and model.
func increment(table map[string]map[string]int, domain, model string) {
	if table[domain] == nil {
		table[domain] = map[string]int{}
	}
	table[domain][model]++
}

// lacksHosts reports whether no domain has enough hosts with the weights of a model for one group.
func (s *stepState) lacksHosts(model *route.Model) bool {
	for _, models := range s.weights {
		if models[model.Name] >= model.Size {
			return false
		}
	}
	return true
}

// gatheringDomain returns the domain in which hosts are given the weights for the first group of a model. It prefers a
// domain in which other models leave enough hosts, then the one with the most hosts that have the weights, then the one
// with the most hosts left.
func (s *stepState) gatheringDomain(model *route.Model) string {
	best, bestFits, bestHeld, bestFree := "", 0, 0, 0
	for _, domain := range slices.Sorted(maps.Keys(s.hosts)) {
		if s.hosts[domain] < model.Size {
			continue
		}
		held, free, fits := s.weights[domain][model.Name], s.hosts[domain], 0
		for name, n := range s.weights[domain] {
			if name != model.Name {
				free -= n
			}
		}
		if free >= model.Size {
			fits = 1
		}
		if best == "" || cmp.Or(cmp.Compare(fits, bestFits), cmp.Compare(held, bestHeld), cmp.Compare(free, bestFree)) > 0 {
			best, bestFits, bestHeld, bestFree = domain, fits, held, free
		}
	}
	return best
}

// domainOrder returns the domains in the order in which their hosts are given loads. Since loads are limited, the
// domains chosen for models that lack hosts come first.
func (s *stepState) domainOrder(models []route.Model, domains map[string][]*ServerStatus) []string {
	first := map[string]bool{}
	for i := range models {
		if s.lacksHosts(&models[i]) {
			first[s.gatheringDomain(&models[i])] = true
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

// formGroups forms groups from idle backend servers, and stages weights on the hosts of those that cannot form one.
func (p *Planner) formGroups(now time.Time, in Input, taken map[string]bool, groups map[string]*group) []Order {
	domains := map[string][]*ServerStatus{}
	s := &stepState{
		Input: in, serving: map[string]float64{}, forming: map[string]float64{}, groupMembers: map[string]map[string]int{},
		weights: map[string]map[string]int{}, hosts: map[string]int{}, open: map[string]int{}, groups: groups, prefetchBudget: p.prefetchBudget(in),
	}
	for _, g := range groups {
		if g.model != nil && !g.preempted && g.isServing() && !in.evacuated(g.members[0]) {
			s.open[g.model.Name]++
		}
	}
	for _, m := range in.Servers {
		if in.evacuated(m) {
			continue
		}
		if m.Listed && m.State == roster.Ready {
			s.ready++
		}
		_, busy := p.pending[m.ID]
		if model := p.engine.Model(m.Model); model != nil && taken[m.ID] {
			s.serving[model.Name] += 1 / float64(model.Size)
			if m.Rank == 0 && m.Membership.State != roster.Open {
				s.forming[model.Name]++
			}
			increment(s.groupMembers, m.Domain, model.Name)
		} else if o, ok := p.pending[m.ID]; ok && o.order.Operation == platform.Join {
			if model := p.engine.Model(o.order.Model); model != nil {
				s.serving[model.Name] += 1 / float64(model.Size)
			}
		}
		if m.Responding && m.State == roster.Ready {
			s.hosts[m.Domain]++
			for _, name := range p.hostModels(now, m) {
				increment(s.weights, m.Domain, name)
			}
		}
		if m.usable() && !busy && !taken[m.ID] {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	for _, r := range p.reservations {
		if now.Before(r.expires) {
			s.forming[r.model]++
		}
	}
	var orders []Order
	spares := map[string][]*ServerStatus{}
	s.layout = p.layOut(slices.DeleteFunc(slices.Clone(in.Servers), in.evacuated), s.ready)
	for _, domain := range s.domainOrder(p.engine.Models, domains) {
		idle := domains[domain]
		slices.SortFunc(idle, func(a, b *ServerStatus) int {
			return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(a.ID, b.ID))
		})
		for {
			model := p.nextModel(now, idle, s, domain)
			if model == nil {
				break
			}
			members := p.selectMembers(now, idle, s, model)
			idle = slices.DeleteFunc(idle, func(m *ServerStatus) bool { return slices.Contains(members, m) })
			if r := p.reservations[domain]; r.model == model.Name {
				if now.Before(r.expires) {
					s.forming[model.Name]-- // counted while the hosts were reserved
				}
				delete(p.reservations, domain)
			}
			for _, o := range p.joinOrders(now, "g", members, model, "form a group of "+model.Name) {
				p.addPending(now, o) // nextModel counts pending joins against the layout
				orders = append(orders, o)
			}
			s.serving[model.Name]++
			s.forming[model.Name]++
		}
		if in.StartingUp && now.Sub(p.started) < settleTime {
			continue
		}
		orders = append(orders, p.preempt(now, s, idle, domain)...)
		orders = append(orders, p.warmSpares(now, idle)...)
		orders = append(orders, p.stage(now, s, idle, domain)...)
		spares[domain] = idle
	}
	if !in.StartingUp || now.Sub(p.started) >= settleTime {
		orders = append(orders, p.prefetch(now, s, spares)...)
	}
	return orders
}

// selectMembers chooses the members of a new group from idle backend servers. Fast ones come first, since a group is as
// slow as its slowest member, and among equally fast ones those that served the model last, which need not load the
// weights.
func (p *Planner) selectMembers(now time.Time, idle []*ServerStatus, s *stepState, model *route.Model) []*ServerStatus {
	var out []*ServerStatus
	for _, m := range idle {
		if s.StartingUp || p.canServe(m, model.Name) && !p.reserved(now, m, model.Name) {
			out = append(out, m)
		}
	}
	cold := func(m *ServerStatus) int {
		if p.lastServed[m.ID] == (servedModel{m.Born, model.Name}) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b *ServerStatus) int { return cmp.Or(cmp.Compare(a.Pace, b.Pace), cold(a)-cold(b)) })
	return out[:model.Size]
}

// layOut returns the number of groups of each model, except the largest model, for each domain of a starting fleet. The
// small groups are spread evenly over as few domains as can hold them next to one large group each. The other domains
// then hold only large groups, and every domain keeps some spares. If small groups were formed wherever two backend
// servers register first, too few domains could hold large groups.
func (p *Planner) layOut(servers []*ServerStatus, ready int) map[string]map[string]int {
	sizes := map[string]int{}
	for _, m := range servers {
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
	free := map[string]int{}
	for domain := range sizes {
		out[domain] = map[string]int{}
		free[domain] = most - models[0].Size
	}
	for _, model := range models[1:] {
		want := int(math.Round(model.Share * float64(ready) / float64(model.Size)))
		var shared []string
		capacity := 0
		for _, domain := range slices.Sorted(maps.Keys(sizes)) {
			out[domain][model.Name] += 0 // an entry of 0 excludes the domain
			if n := free[domain] / model.Size; n > 0 && capacity < want {
				capacity += n
				shared = append(shared, domain)
			}
		}
		for want = min(want, capacity); want > 0; {
			for _, domain := range shared {
				if want > 0 && free[domain] >= model.Size {
					out[domain][model.Name]++
					free[domain] -= model.Size
					want--
				}
			}
		}
	}
	return out
}

// nextModel returns the model of the next group to form from idle backend servers, or nil if they cannot form one. Among
// models that are not short of groups it is the one that most of them served last, which opens soonest.
func (p *Planner) nextModel(now time.Time, idle []*ServerStatus, s *stepState, domain string) *route.Model {
	var best *route.Model
	bestNeed, bestWarm := 0.0, 0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		have, warm := 0, 0
		for _, m := range idle {
			if s.StartingUp || p.canServe(m, model.Name) && !p.reserved(now, m, model.Name) {
				have++
				if p.lastServed[m.ID] == (servedModel{m.Born, model.Name}) {
					warm++
				}
			}
		}
		if have < model.Size {
			continue
		}
		if s.StartingUp && !p.layoutAllows(model, s, domain) || p.waitsForOther(s, idle, model, domain) {
			continue
		}
		need := s.need(model)
		if pressure, known := s.Pressure[model.Name]; known && pressure < relaxedPressure && s.open[model.Name] > 0 {
			need = 0
		}
		if best == nil || cmp.Or(cmp.Compare(need, bestNeed), cmp.Compare(warm, bestWarm)) > 0 {
			best, bestNeed, bestWarm = model, need, warm
		}
	}
	return best
}

// waitsForOther reports whether idle backend servers of a domain should remain spares of another model in place of forming
// a group of model. A model that has no group gets one first. A model that is not short of groups leaves its hosts to one
// that is, and to one of which they are most of a group: that group needs few more hosts, and its loss weighs more.
func (p *Planner) waitsForOther(s *stepState, idle []*ServerStatus, model *route.Model, domain string) bool {
	if s.StartingUp || len(s.Pressure) == 0 || s.open[model.Name] == 0 {
		return false
	}
	for i := range p.engine.Models {
		other := &p.engine.Models[i]
		if other == model {
			continue
		}
		have := 0
		for _, m := range idle {
			if p.canServe(m, other.Name) {
				have++
			}
		}
		if have == 0 {
			continue
		}
		absent := s.serving[other.Name] == 0 && s.Pressure[other.Name] > 0
		if absent && domain == s.gatheringDomain(other) && s.weights[domain][other.Name] >= other.Size {
			return true
		}
		if s.Pressure[model.Name] >= relaxedPressure {
			continue
		}
		short := s.Pressure[other.Name] >= preemptPressure && s.weightedPressure(other) >= preemptGain*s.weightedPressure(model)
		if short || other.Size > model.Size && have < other.Size && 2*have > other.Size {
			return true
		}
	}
	return false
}

// layoutAllows reports whether the layout allows another group of a model in a domain.
func (p *Planner) layoutAllows(model *route.Model, s *stepState, domain string) bool {
	mine, size := 0, 0
	for _, m := range s.Servers {
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

// formedSize returns the size of the group that m reports, or 0 when this planner did not form it.
func (p *Planner) formedSize(m *ServerStatus) int {
	if h := p.histories[roster.GroupKey(m.Group, m.Epoch)]; h != nil {
		return len(h.members)
	}
	return 0
}

// urgentFactor multiplies the pressure on the model of the most urgent requests.
const urgentFactor = 1.5

// need returns the priority of another group of a model. If the demand is known, this is the pressure on the model,
// otherwise the fraction by which the model is below its share of the backend servers.
func (s *stepState) need(model *route.Model) float64 {
	if len(s.Pressure) > 0 {
		// Groups that are being formed will relieve the pressure.
		return s.weightedPressure(model) / (1 + s.forming[model.Name])
	}
	want := model.Share * float64(s.ready) / float64(model.Size)
	if want <= 0 {
		return -1
	}
	return (want - s.serving[model.Name]) / want
}

// joinOrders returns the orders by which members form a group, whose name starts with prefix.
func (p *Planner) joinOrders(now time.Time, prefix string, members []*ServerStatus, model *route.Model, why string) []Order {
	p.epoch++
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	name := fmt.Sprintf("%s%d", prefix, p.epoch)
	p.histories[roster.GroupKey(name, p.epoch)] = &history{members: ids, lastSeen: now}
	var orders []Order
	for _, m := range members {
		orders = append(orders, Order{m.Server, platform.Order{
			Operation: platform.Join, Group: name, Epoch: p.epoch, Model: model.Name, Members: ids, FencingToken: p.token, ExpectedOrders: m.Orders,
		}, why})
	}
	return orders
}

// stage gives weights to the hosts of idle backend servers that cannot serve any model. Each host gets the model with the
// greatest need among those for which the idle hosts of the domain can complete a group.
func (p *Planner) stage(now time.Time, s *stepState, idle []*ServerStatus, domain string) []Order {
	held := map[string]int{}
	var empty []*ServerStatus
	for _, m := range idle {
		models := p.hostModels(now, m)
		for _, name := range models {
			held[name]++
		}
		if len(models) == 0 && !m.Busy {
			empty = append(empty, m)
		}
	}
	var orders []Order
	for i, m := range empty {
		model := p.modelToStage(held, len(empty)-i, s, domain)
		if model == nil || !p.mayLoad(now, s.Input) {
			break
		}
		held[model.Name]++
		increment(s.weights, domain, model.Name)
		orders = append(orders, p.startLoad(now, m, model, "put weights on an idle host"))
	}
	return orders
}

// pendingLoad is a load of weights to a host that is in progress.
type pendingLoad struct {
	model   string
	born    int64
	expires time.Time
}

// loadTimeoutFactor is the timeout of a load as a multiple of its usual duration. Concurrent loads slow each other
// down.
const loadTimeoutFactor = 3

// loading returns the model whose weights are being fetched to the host of m.
func (p *Planner) loading(now time.Time, m *ServerStatus) string {
	l, ok := p.staging[m.ID]
	if !ok {
		return ""
	}
	if l.born != m.Born || now.After(l.expires) || slices.Contains(m.Staged, l.model) {
		delete(p.staging, m.ID)
		return ""
	}
	return l.model
}

// lacksHostsPriority puts models for which no domain has enough hosts with the weights before all others: their
// requests would be rejected, however few they are. Of two such models the one with larger groups comes first, as it is
// harder to find hosts for it.
const lacksHostsPriority = 1000

// hostModels returns the models that m can serve without fetching their weights, or whose weights are being fetched.
func (p *Planner) hostModels(now time.Time, m *ServerStatus) []string {
	var out []string
	for i := range p.engine.Models {
		if name := p.engine.Models[i].Name; p.loading(now, m) == name || m.Model == name || p.canServe(m, name) {
			out = append(out, name)
		}
	}
	return out
}

// modelToStage chooses the model for one of the empty hosts of a domain.
func (p *Planner) modelToStage(held map[string]int, empty int, s *stepState, domain string) *route.Model {
	var best *route.Model
	bestScore := 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		missing := model.Size - held[model.Name]%model.Size
		score := s.need(model)
		switch {
		case s.lacksHosts(model) && (missing <= empty || domain == s.gatheringDomain(model)):
			score += lacksHostsPriority * float64(model.Size)
		case missing > empty:
			// The host would only be a spare. Spares are most useful where the model has groups.
			score += spareValue*s.spareUse(model, domain, held[model.Name]) - sparePenalty
		default:
			score += 1 / float64(missing)
		}
		if best == nil || score > bestScore {
			best, bestScore = model, score
		}
	}
	return best
}

// sparePenalty is how much less a spare is worth than a host that completes a group now.
const sparePenalty = 2

// spareUse estimates the use of another spare of a model in a domain that has some already, from 0 to 1. The more
// members its groups have in the domain, the more likely is a loss among them, and the fewer spares there are, the more
// likely is this one needed.
func (s *stepState) spareUse(model *route.Model, domain string, have int) float64 {
	members := 0
	for _, n := range s.groupMembers[domain] {
		members += n
	}
	return float64(s.groupMembers[domain][model.Name]) / float64(max(members, 1)*(1+have))
}

// spareValue is the value of the most useful spare on the scale of pressure. It equals the demand of two full groups on a
// model with one group.
const spareValue = 2

// loadsInProgress counts the loads in progress. Concurrent loads beyond the capacity of the weight store slow each
// other down, so that the first hosts would be ready no sooner than the last. The load of a host that was lost has ended,
// although its last report remains.
func (p *Planner) loadsInProgress(servers []*ServerStatus) int {
	n := p.startedLoads
	for _, m := range servers {
		if !m.Responding {
			continue
		}
		o, ok := p.pending[m.ID]
		if m.Busy && m.Membership.State != roster.Joining || ok && o.order.Operation == platform.Stage {
			n++
		}
	}
	return n
}

// mayLoad reports whether another load may start now, within the concurrency of the weight store and the load rate.
func (p *Planner) mayLoad(now time.Time, in Input) bool {
	if in.StartingUp || in.LoadRate <= 0 {
		return true
	}
	if n := p.engine.LoadsAtOnce; n > 0 && p.loadsInProgress(in.Servers) >= n {
		return false
	}
	p.loadTimes = slices.DeleteFunc(p.loadTimes, func(t time.Time) bool { return now.Sub(t) > in.LoadWindow })
	return float64(len(p.loadTimes)) < in.LoadRate*in.LoadWindow.Seconds()
}
