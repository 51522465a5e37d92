package group

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
)

var epoch = time.Unix(1_000_000, 0)

// simInstance is a simulated engine.
type simInstance struct {
	platform.Instance
	up    bool
	state engine.State
	// restarted is whether the engine has restarted since its last order.
	restarted bool
}

// holder is a daemon that has, or had, the lease: its planner and what it has read.
type holder struct {
	active         bool
	token, version uint64
	planner        Planner
	table          Table
	states         map[string]ObservedState
	view           map[string]member.State
	// changedSince has the instances that changed after the holder queried them.
	changedSince map[string]bool
	decisions    []Decision
}

// modelState is one state of the state space: the table service, the engines and two successive lease holders. delayed
// has orders and transactions that are still in flight although their senders have given up on them.
type modelState struct {
	now  time.Time
	rows map[string]platform.Row
	// table is the decoded content of rows, and writesHash a hash of everything that was written.
	table          Table
	writesHash     uint64
	version        uint64
	lastGeneration uint64
	instances      []simInstance
	holders        [2]holder
	delayed        []Decision
	cfg            note.ModelService
	checksTokens   bool
	// withdrawn is whether the service was removed from the configuration, and leaving has the instances that are
	// marked as leaving in the list of instances.
	withdrawn bool
	leaving   map[string]bool
	// faultsLeft, leaseChangesLeft and waitsLeft limit how many more of each may happen.
	faultsLeft, leaseChangesLeft, waitsLeft int
	violation                               string
	depth                                   int
	// displaced is whether an order of an old holder removed a member from a serving group.
	displaced bool
}

// mutation breaks a rule on purpose: it changes the input of a planner or the transaction that it decides on.
type mutation struct {
	input func(*Input)
	txn   func(*platform.Txn)
}

func newModelState(instances, copies, groupSize int, fencing bool) *modelState {
	st := &modelState{now: epoch, rows: map[string]platform.Row{}, checksTokens: fencing, cfg: note.ModelService{Model: "m", Version: "1", Copies: copies, Instances: groupSize, Slots: 1}}
	for i := range instances {
		st.instances = append(st.instances, simInstance{up: true, Instance: platform.Instance{
			ID: fmt.Sprintf("i%d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Kind: platform.KindEngine, DataCentre: "c", Domain: "d", Accelerators: 8, State: platform.Live,
		}})
	}
	st.table, _ = Decode()
	st.changeLease(0, mutation{})
	return st
}

// changeLease gives the lease to a holder with a new token.
func (st *modelState) changeLease(i int, _ mutation) {
	st.version++
	st.rows = maps.Clone(st.rows)
	st.rows["token/s"] = platform.Row{Key: "token/s", Version: st.version}
	st.holders[i] = holder{active: true, token: uint64(i + 1), version: st.version, planner: Planner{Service: "s"}}
	st.observe(i)
}

// clone copies a state. Maps are shared: code that changes one replaces it by a copy first.
func (st *modelState) clone() *modelState {
	c := *st
	c.instances = slices.Clone(st.instances)
	c.delayed = slices.Clone(st.delayed)
	return &c
}

// stateEncoder builds the encoding of a state, which is hashed. Variable-length values start with their length and
// lists with their number of elements, so that no two states have the same encoding.
type stateEncoder []byte

func (b *stateEncoder) num(list ...uint64) {
	for _, n := range list {
		*b = binary.AppendUvarint(*b, n)
	}
}

func (b *stateEncoder) text(list ...string) {
	for _, s := range list {
		*b = append(binary.AppendUvarint(*b, uint64(len(s))), s...)
	}
}

func (b *stateEncoder) flag(list ...bool) {
	for _, f := range list {
		*b = strconv.AppendBool(*b, f)
	}
}

func (b *stateEncoder) at(t time.Time) { *b = binary.AppendVarint(*b, int64(t.Sub(epoch))) }

func (b *stateEncoder) state(s engine.State) {
	b.text(s.Instance, s.Group, s.Model, s.Version, s.Role, s.Adapter)
	b.num(s.Generation, s.Fence, uint64(s.Index))
	b.flag(s.Loaded)
}

func (b *stateEncoder) addrs(list []netip.AddrPort) {
	b.num(uint64(len(list)))
	for _, a := range list {
		*b = a.AppendTo(*b)
		*b = append(*b, ' ')
	}
}

func (b *stateEncoder) checks(list []platform.Check) {
	b.num(uint64(len(list)))
	for _, c := range list {
		b.text(c.Key)
		b.num(c.Version)
	}
}

func (b *stateEncoder) row(r Row) {
	b.text(r.ID, r.Service, r.DataCentre, r.Domain, r.Model, r.Version, string(r.Phase), r.Cause)
	b.num(r.Generation, r.Token, uint64(len(r.Members)))
	for _, m := range r.Members {
		b.text(m.ID)
	}
	b.addrs(r.Addrs())
}

// hash covers everything that the future of a state depends on. It omits the time since which groups load, which
// matters only after LoadTimeout, longer than any schedule here.
func (st *modelState) hash() uint64 {
	b := make(stateEncoder, 0, 2048)
	b.at(st.now)
	b.num(st.lastGeneration, uint64(st.faultsLeft), uint64(st.leaseChangesLeft), uint64(st.waitsLeft), st.writesHash)
	b.flag(st.displaced)
	for _, m := range st.instances {
		b.flag(m.up, m.restarted)
		b.state(m.state)
	}
	b.num(uint64(len(st.delayed)))
	for _, d := range st.delayed {
		b.text(string(d.Kind), d.Member.ID)
		o := d.Order
		b.text(string(o.Op), o.Group, o.Model, o.Version, o.Role, o.Adapter)
		b.num(o.Fence, o.Generation, uint64(o.Index))
		b.addrs(o.Members)
		b.checks(d.Txn.Checks)
	}
	for i := range st.holders {
		h := &st.holders[i]
		b.flag(h.active)
		b.num(uint64(len(h.changedSince)))
		for _, k := range slices.Sorted(maps.Keys(h.changedSince)) {
			b.text(k)
		}
		b.num(uint64(len(h.table.Versions)))
		for _, k := range slices.Sorted(maps.Keys(h.table.Versions)) {
			b.text(k)
			b.num(h.table.Versions[k])
		}
		for _, m := range st.instances {
			o, s := h.states[m.ID], h.planner.sentOrders[m.ID]
			b.state(o.State)
			b.at(o.At)
			b.num(s.generation, uint64(h.view[m.ID]))
			b.text(string(s.op))
			b.at(s.at)
		}
		b.num(uint64(len(h.decisions)))
		for _, d := range h.decisions {
			b.text(string(d.Kind), d.Member.ID)
			b.row(d.Row)
			b.checks(d.Txn.Checks)
		}
	}
	return xxhash.Sum64(b)
}

func (t Table) clone() Table {
	return Table{Groups: maps.Clone(t.Groups), Assignments: maps.Clone(t.Assignments), Counters: maps.Clone(t.Counters), Versions: maps.Clone(t.Versions)}
}

// observe makes a holder read the table and query every engine.
func (st *modelState) observe(i int) {
	h := &st.holders[i]
	h.table, h.states, h.view, h.changedSince = st.table, map[string]ObservedState{}, map[string]member.State{}, map[string]bool{}
	for _, m := range st.instances {
		if m.up {
			h.states[m.ID] = ObservedState{State: m.state, At: st.now}
			h.view[m.ID] = member.Live
		}
	}
}

func (st *modelState) plan(i int, x mutation) {
	h := &st.holders[i]
	in := Input{Config: st.cfg, Wanted: !st.withdrawn, GroupSizes: []int{st.cfg.Instances}, Table: h.table, Token: h.token, TokenVersion: h.version, States: h.states}
	for _, m := range st.instances {
		in.Instances = append(in.Instances, m.Instance)
	}
	in.MemberState = func(id string) member.State {
		if st.leaving[id] {
			return member.Leaving
		}
		return h.view[id]
	}
	in.Idle = func(Row) bool { return true }
	if x.input != nil {
		x.input(&in)
	}
	h.planner.sentOrders, h.planner.drainStarts = maps.Clone(h.planner.sentOrders), maps.Clone(h.planner.drainStarts)
	h.planner.loadStarts, h.planner.exclusions = maps.Clone(h.planner.loadStarts), maps.Clone(h.planner.exclusions)
	h.decisions = h.planner.Step(st.now, in)
	for k := range h.decisions {
		if x.txn != nil {
			x.txn(&h.decisions[k].Txn)
		}
	}
}

// commit executes a transaction in the table service and checks the invariants.
func (st *modelState) commit(d Decision, by *holder) bool {
	for _, c := range d.Txn.Checks {
		if st.rows[c.Key].Version != c.Version {
			return false
		}
	}
	if st.holders[1].active && d.Row.Token == 1 && by != &st.holders[1] && d.Kind != Release {
		st.recordViolation("a write of an old lease holder took effect")
	}
	if d.Kind == Claim || d.Kind == Heal {
		if d.Row.Generation <= st.lastGeneration {
			st.recordViolation("a generation was used twice")
		}
		st.lastGeneration = max(st.lastGeneration, d.Row.Generation)
	}
	if d.Kind == Serve && by != nil {
		for k, m := range d.Row.Members {
			x := st.instance(m.ID)
			if !by.changedSince[m.ID] && (!x.up || !d.Row.Matches(k, x.state)) {
				st.recordViolation("a group serves although a member is not ready")
			}
		}
	}
	st.version++
	st.rows, st.table = maps.Clone(st.rows), st.table.clone()
	if err := st.table.Apply(d.Txn, st.version); err != nil {
		panic(err)
	}
	b := binary.AppendUvarint(nil, st.writesHash)
	for _, r := range d.Txn.Writes {
		b = append(append(b, r.Key...), r.Value...)
	}
	st.writesHash = xxhash.Sum64(b)
	for _, r := range d.Txn.Writes {
		if r.Delete {
			delete(st.rows, r.Key)
			continue
		}
		st.rows[r.Key] = platform.Row{Key: r.Key, Version: st.version, Value: r.Value}
	}
	t := st.table
	seats := 0
	for _, g := range t.Groups {
		for _, m := range g.Members {
			seats++
			if t.Assignments[m.ID] != (Assignment{Group: g.ID, Generation: g.Generation}) {
				st.recordViolation("an instance belongs to two groups")
			}
		}
	}
	if seats != len(t.Assignments) {
		st.recordViolation("an instance that is in no group still has a row")
	}
	return true
}

// recordViolation records the first violated invariant.
func (st *modelState) recordViolation(violation string) {
	if st.violation == "" {
		st.violation = violation
	}
}

func (st *modelState) instance(id string) *simInstance {
	return &st.instances[slices.IndexFunc(st.instances, func(m simInstance) bool { return m.ID == id })]
}

func (st *modelState) markChanged(id string) {
	for i := range st.holders {
		if h := &st.holders[i]; h.changedSince != nil && !h.changedSince[id] {
			h.changedSince = maps.Clone(h.changedSince)
			h.changedSince[id] = true
		}
	}
}

// receiveOrder simulates an engine that receives an order.
func (st *modelState) receiveOrder(d Decision) {
	m := st.instance(d.Member.ID)
	if !m.up || (st.checksTokens && d.Order.Fence < m.state.Fence) {
		return
	}
	o := d.Order
	next := engine.State{Fence: o.Fence}
	if o.Op == engine.OpLoad {
		next = engine.State{Group: o.Group, Generation: o.Generation, Fence: o.Fence, Index: o.Index, Model: o.Model, Version: o.Version}
	}
	for _, g := range st.table.Groups {
		for k, x := range g.Members {
			if x.ID == m.ID && g.Phase == Serving && g.Matches(k, m.state) && o.Fence < st.holders[1].token && (o.Group != g.ID || o.Generation != g.Generation || o.Op != engine.OpLoad) {
				st.displaced = true
			}
		}
	}
	m.state, m.restarted = next, false
	st.markChanged(m.ID)
}

// runNextDecision carries out the first of a holder's decisions.
func (st *modelState) runNextDecision(i int) {
	h := &st.holders[i]
	d := h.decisions[0]
	h.decisions = h.decisions[1:]
	switch {
	case d.Kind == Order:
		st.receiveOrder(d)
	case st.commit(d, h):
		h.table = h.table.clone()
		if err := h.table.Apply(d.Txn, st.version); err != nil {
			panic(err)
		}
	default:
		h.decisions = nil
		h.table = st.table
	}
}

// successors returns every state that one event leads to.
func (st *modelState) successors(x mutation) []*modelState {
	var out []*modelState
	add := func(f func(c *modelState)) {
		c := st.clone()
		f(c)
		out = append(out, c)
	}
	if st.leaseChangesLeft > 0 {
		add(func(c *modelState) { c.leaseChangesLeft--; c.changeLease(1, x) })
	}
	if st.waitsLeft > 0 {
		add(func(c *modelState) { c.waitsLeft--; c.now = c.now.Add(TakeoverWait) })
	}
	for k := range st.delayed {
		add(func(c *modelState) {
			d := c.delayed[k]
			c.delayed = slices.Delete(c.delayed, k, k+1)
			if d.Kind == Order {
				c.receiveOrder(d)
			} else {
				c.commit(d, nil)
			}
		})
	}
	for i := range st.holders {
		h := &st.holders[i]
		switch {
		case !h.active:
		case len(h.decisions) == 0:
			add(func(c *modelState) { c.observe(i) })
			add(func(c *modelState) { c.plan(i, x) })
		default:
			add(func(c *modelState) { c.runNextDecision(i) })
			if st.faultsLeft > 0 {
				// The reply is lost, and the message is still in flight.
				add(func(c *modelState) {
					c.faultsLeft--
					h := &c.holders[i]
					c.delayed = append(c.delayed, h.decisions[0])
					h.decisions = nil
					h.table = c.table
				})
			}
		}
	}
	for k, m := range st.instances {
		if m.up && m.state.Group != "" && !m.state.Loaded {
			add(func(c *modelState) { c.instances[k].state.Loaded = true; c.markChanged(m.ID) })
		}
		if m.up && st.faultsLeft > 0 {
			add(func(c *modelState) { c.faultsLeft--; c.instances[k].up = false; c.markChanged(m.ID) })
		}
		if !m.up {
			add(func(c *modelState) { c.instances[k].restart(); c.markChanged(m.ID) })
		}
	}
	return out
}

func (m *simInstance) restart() { m.up, m.restarted, m.state = true, true, engine.State{} }

// quiesce ends the faults: messages in flight arrive, the current holder continues and engines finish loading. It
// returns the number of groups that serve with every member in place.
func (st *modelState) quiesce(x mutation) int {
	i := 0
	if st.holders[1].active {
		i = 1
	}
	for _, d := range st.delayed {
		if d.Kind == Order {
			st.receiveOrder(d)
		} else {
			st.commit(d, nil)
		}
	}
	st.delayed, st.holders[i].decisions = nil, nil
	for range 30 {
		st.now = st.now.Add(500 * time.Millisecond)
		st.observe(i)
		for range 6 {
			if st.plan(i, x); len(st.holders[i].decisions) == 0 {
				break
			}
			for len(st.holders[i].decisions) > 0 {
				st.runNextDecision(i)
			}
		}
		for k := range st.instances {
			st.instances[k].state.Loaded = st.instances[k].state.Group != ""
		}
	}
	n := 0
	for _, g := range st.table.Groups {
		whole := g.Phase == Serving
		for k, m := range g.Members {
			x := st.instance(m.ID)
			whole = whole && x.up && g.Matches(k, x.state)
		}
		if whole {
			n++
		}
	}
	return n
}

// convergenceViolation ends the faults in a copy of the state. It returns the violation found then, if any: a violated
// invariant, or a number of serving groups other than the largest possible.
func (st *modelState) convergenceViolation(x mutation) string {
	c := st.clone()
	up := 0
	for _, m := range c.instances {
		if m.up {
			up++
		}
	}
	want := min(c.cfg.Copies, up/c.cfg.Instances)
	if got := c.quiesce(x); got != want && c.violation == "" {
		return fmt.Sprintf("%d groups serve after the faults, want %d", got, want)
	}
	return c.violation
}

type exploration struct {
	states, convergenceChecks int
	// depth is the number of events up to which all schedules were visited.
	depth     int
	displaced int
	violation string
}

// explore visits states breadth first up to a number of states. From every eighth state it ends the faults and checks
// that all copies that fit are formed.
func explore(st *modelState, limit int, x mutation) (r exploration) {
	seen := map[uint64]bool{st.hash(): true}
	queue := []*modelState{st}
	r.depth = -1
	for len(queue) > 0 {
		st := queue[0]
		queue = queue[1:]
		r.states++
		if len(seen) < limit {
			r.depth = st.depth
		}
		if st.displaced {
			r.displaced++
		}
		if st.violation == "" && r.states%8 == 0 {
			st.violation = st.convergenceViolation(x)
			r.convergenceChecks++
		}
		if st.violation != "" {
			r.violation = st.violation
			return r
		}
		for _, c := range st.successors(x) {
			c.depth = st.depth + 1
			if k := c.hash(); !seen[k] && len(seen) < limit {
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return r
}

// newServingState returns a state in which all groups serve, with limits of faults, lease changes and waits to come.
func newServingState(instances, copies int, fencing bool, faults, passes, waits int) *modelState {
	st := newModelState(instances, copies, 2, fencing)
	st.quiesce(mutation{})
	st.faultsLeft, st.leaseChangesLeft, st.waitsLeft = faults, passes, waits
	return st
}

// Guards against an instance in two groups, a group that serves although a member is not ready, a write of an old lease
// holder, a generation that is used twice and a group that is never formed, in every order of messages, lost replies,
// delayed orders and transactions, crashes, restarts and a change of the lease, up to a number of states.
func TestInvariants(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		fresh := newModelState(3, 1, 2, fencing)
		fresh.faultsLeft, fresh.leaseChangesLeft, fresh.waitsLeft = 2, 1, 2
		for name, st := range map[string]*modelState{
			"3 instances, none formed": fresh,
			"2 instances, 1 copy":      newServingState(2, 1, fencing, 2, 1, 2),
			"3 instances, 1 copy":      newServingState(3, 1, fencing, 2, 1, 2),
			"4 instances, 2 copies":    newServingState(4, 2, fencing, 2, 1, 2),
		} {
			t.Run(fmt.Sprintf("%s, fencing %v", name, fencing), func(t *testing.T) {
				t.Parallel()
				r := explore(st, 3000, mutation{})
				if r.violation != "" {
					t.Error(r.violation)
				}
				t.Logf("%d states, all up to %d events; convergence checked from %d, a member displaced by an old order in %d", r.states, r.depth, r.convergenceChecks, r.displaced)
			})
		}
	}
}

// Guards against the same faults in random schedules, which are too long to explore all of them. Each ends with the
// check of convergence.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7))
			formed, displaced := 0, 0
			for n := range 100 {
				fencing := r.IntN(2) == 0
				st := newServingState(2+r.IntN(3), 1+r.IntN(2), fencing, 4, 1, 6)
				if r.IntN(2) == 0 {
					st = newModelState(2+r.IntN(3), 1+r.IntN(2), 2, fencing)
					st.faultsLeft, st.leaseChangesLeft, st.waitsLeft = 4, 1, 6
				}
				for range 60 {
					next := st.successors(mutation{})
					st = next[r.IntN(len(next))]
					if st.violation != "" {
						t.Fatalf("schedule %d: %s", n, st.violation)
					}
				}
				if violation := st.convergenceViolation(mutation{}); violation != "" {
					t.Errorf("schedule %d: %s", n, violation)
				}
				formed += int(st.lastGeneration)
				if st.displaced {
					displaced++
				}
			}
			t.Logf("100 schedules of 60 events: %d generations, a member displaced in %d schedules", formed, displaced)
		})
	}
}

// Checks that every invariant check detects a rule that is broken on purpose.
func TestInvariantsDetectMutations(t *testing.T) {
	strip := func(prefix string) func(*platform.Txn) {
		return func(x *platform.Txn) {
			x.Checks = slices.DeleteFunc(slices.Clone(x.Checks), func(c platform.Check) bool { return strings.HasPrefix(c.Key, prefix) })
		}
	}
	for _, x := range []struct {
		name, want string
		fresh      bool
		mutation   mutation
	}{
		{"no check of the token row", "a write of an old lease holder took effect", false, mutation{txn: strip("token/")}},
		{"no check of instance rows", "an instance belongs to two groups", false, mutation{txn: strip(PrefixInstance)}},
		{"no check of the engines' states", "a group serves although a member is not ready", true, mutation{input: func(in *Input) {
			in.States = maps.Clone(in.States)
			for _, g := range in.Table.Groups {
				for k, m := range g.Members {
					o := in.States[m.ID]
					o.State = engine.State{Group: g.ID, Generation: g.Generation, Index: k, Loaded: true, Model: g.Model, Version: g.Version}
					in.States[m.ID] = o
				}
			}
		}}},
		{"no counter row", "a generation was used twice", false, mutation{input: func(in *Input) { in.Table.Counters = map[string]Counter{} }}},
		{"losses are ignored", "0 groups serve after the faults, want 1", false, mutation{input: func(in *Input) {
			in.MemberState = func(string) member.State { return member.Live }
		}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			st := newServingState(3, 1, true, 1, 1, 2)
			if x.fresh {
				st = newModelState(3, 1, 2, true)
				st.leaseChangesLeft, st.waitsLeft = 1, 2
			}
			found := explore(st, 20_000, x.mutation).violation
			if x.name == "no check of instance rows" {
				// Within one service the checks of the token and counter rows already prevent double claims, so this
				// takes two services.
				if violation := claimForTwoServices(mutation{}); violation != "" {
					t.Errorf("two services: %s", violation)
				}
				found = claimForTwoServices(x.mutation)
			}
			if found != x.want {
				t.Errorf("found %q, want %q", found, x.want)
			}
		})
	}
}

// claimForTwoServices lets the lease holders of two services, which have read the same rows, each claim a group.
func claimForTwoServices(x mutation) string {
	st := newModelState(2, 1, 2, true)
	st.version++
	st.rows["token/t"] = platform.Row{Key: "token/t", Version: st.version}
	st.holders[1] = holder{active: true, token: 1, version: st.version, planner: Planner{Service: "t"}}
	st.observe(1)
	for i := range st.holders {
		st.plan(i, x)
	}
	for i := range st.holders {
		st.lastGeneration = 0
		st.commit(st.holders[i].decisions[0], &st.holders[1])
	}
	return st.violation
}

// Guards against an old holder's order that takes effect after the new holder has sent the engine an order (with
// fencing). Without fencing it takes effect: the member leaves the serving group, which is then not present, and the
// group is repaired.
func TestDelayedOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		st := newModelState(2, 1, 2, fencing)
		a := &st.holders[0]
		for range 2 {
			st.plan(0, mutation{})
			for len(a.decisions) > 0 && a.decisions[0].Kind != Order {
				st.runNextDecision(0)
			}
		}
		st.delayed = a.decisions // Orders for generation 1 that arrive late.
		st.instances[0].up = false
		st.changeLease(1, mutation{})
		st.holders[1].token = 2
		late := st.delayed
		st.delayed = nil
		st.quiesce(mutation{})
		st.instances[0].restart()
		if n := st.quiesce(mutation{}); n != 1 {
			t.Fatalf("fencing %v: %d groups serve under the new holder, want 1", fencing, n)
		}
		for _, d := range late {
			st.receiveOrder(d)
		}
		out := 0
		for _, g := range st.table.Groups {
			for k, m := range g.Members {
				if !g.Matches(k, st.instance(m.ID).state) {
					out++
				}
			}
		}
		if st.displaced == fencing || (out > 0) == fencing {
			t.Errorf("fencing %v: displaced %v, %d members in an unexpected state", fencing, st.displaced, out)
		}
		if n := st.quiesce(mutation{}); n != 1 {
			t.Errorf("fencing %v: %d groups serve in the end, want 1", fencing, n)
		}
	}
}

// Guards against rows that other versions of the program can't decode.
func TestRowFormat(t *testing.T) {
	st := newServingState(2, 1, true, 0, 0, 0)
	var r Row
	if err := json.Unmarshal(st.rows["group/s/1"].Value, &r); err != nil || r.Phase != Serving || r.Generation != 1 || len(r.Members) != 2 {
		t.Errorf("unexpected row %s, error %v", st.rows["group/s/1"].Value, err)
	}
}
