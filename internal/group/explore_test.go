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

// machine is an engine.
type machine struct {
	platform.Instance
	up    bool
	state engine.State
	// restarted is whether it has started again since its last order.
	restarted bool
}

// holder is a daemon that has, or had, the lease: its planner and what it has read.
type holder struct {
	on             bool
	token, version uint64
	planner        Planner
	table          Table
	states         map[string]Observed
	view           map[string]member.State
	// stale is which machines have changed since the holder asked them.
	stale map[string]bool
	out   []Decision
}

// world is a state of the exploration: the table service, the engines and two successive holders. late are orders and
// transactions that the network still holds although their senders have given up on them.
type world struct {
	now  time.Time
	rows map[string]platform.Row
	// truth is what the rows say, and history a hash of all that was written.
	truth    Table
	history  uint64
	version  uint64
	last     uint64
	machines []machine
	holders  [2]holder
	late     []Decision
	cfg      note.ModelService
	fencing  bool
	// withdrawn and leaving are what the configuration and the list of instances say.
	withdrawn bool
	leaving   map[string]bool
	// faults, passes and waits are how many more of each may happen.
	faults, passes, waits int
	wrong                 string
	depth                 int
	// displaced is whether an order of an old holder moved a member out of a serving group.
	displaced bool
}

// breaks is a deliberately broken rule: it changes what a planner is given or the transaction that it decides on.
type breaks struct {
	input func(*Input)
	txn   func(*platform.Txn)
}

func newWorld(machines, copies, instances int, fencing bool) *world {
	w := &world{now: epoch, rows: map[string]platform.Row{}, fencing: fencing, cfg: note.ModelService{Model: "m", Version: "1", Copies: copies, Instances: instances, Slots: 1}}
	for i := range machines {
		w.machines = append(w.machines, machine{up: true, Instance: platform.Instance{
			ID: fmt.Sprintf("i%d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Kind: platform.KindEngine, DataCentre: "c", Domain: "d", Accelerators: 8, State: platform.Live,
		}})
	}
	w.truth, _ = Decode()
	w.pass(0, breaks{})
	return w
}

// pass gives the lease to a holder under the next token.
func (w *world) pass(i int, _ breaks) {
	w.version++
	w.rows = maps.Clone(w.rows)
	w.rows["token/s"] = platform.Row{Key: "token/s", Version: w.version}
	w.holders[i] = holder{on: true, token: uint64(i + 1), version: w.version, planner: Planner{Service: "s"}}
	w.observe(i)
}

// clone copies a world. Maps are shared: whoever changes one replaces it by a copy first.
func (w *world) clone() *world {
	c := *w
	c.machines = slices.Clone(w.machines)
	c.late = slices.Clone(w.late)
	return &c
}

// coder builds the encoding of a state whose hash is the state's key. Each value ends or starts with its length, so that
// no two states have the same encoding.
type coder []byte

func (b *coder) num(list ...uint64) {
	for _, n := range list {
		*b = binary.AppendUvarint(*b, n)
	}
}

func (b *coder) text(list ...string) {
	for _, s := range list {
		*b = append(binary.AppendUvarint(*b, uint64(len(s))), s...)
	}
}

func (b *coder) flag(list ...bool) {
	for _, f := range list {
		*b = strconv.AppendBool(*b, f)
	}
}

func (b *coder) at(t time.Time) { *b = binary.AppendVarint(*b, int64(t.Sub(epoch))) }

func (b *coder) state(s engine.State) {
	b.text(s.Instance, s.Group, s.Model, s.Version, s.Role, s.Adapter)
	b.num(s.Generation, s.Fence, uint64(s.Index))
	b.flag(s.Loaded)
}

func (b *coder) addrs(list []netip.AddrPort) {
	b.num(uint64(len(list)))
	for _, a := range list {
		*b = a.AppendTo(*b)
		*b = append(*b, ' ')
	}
}

func (b *coder) checks(list []platform.Check) {
	b.num(uint64(len(list)))
	for _, c := range list {
		b.text(c.Key)
		b.num(c.Version)
	}
}

func (b *coder) row(r Row) {
	b.text(r.ID, r.Service, r.DataCentre, r.Domain, r.Model, r.Version, string(r.Phase), r.Cause)
	b.num(r.Generation, r.Token, uint64(len(r.Members)))
	for _, m := range r.Members {
		b.text(m.ID)
	}
	b.addrs(r.Addrs())
}

// key is a hash of everything that the future of a state depends on. It leaves out since when groups load, which matters
// only after LoadLimit, longer than any schedule here.
func (w *world) key() uint64 {
	b := make(coder, 0, 2048)
	b.at(w.now)
	b.num(w.last, uint64(w.faults), uint64(w.passes), uint64(w.waits), w.history)
	b.flag(w.displaced)
	for _, m := range w.machines {
		b.flag(m.up, m.restarted)
		b.state(m.state)
	}
	b.num(uint64(len(w.late)))
	for _, d := range w.late {
		b.text(string(d.Kind), d.Member.ID)
		o := d.Order
		b.text(string(o.Op), o.Group, o.Model, o.Version, o.Role, o.Adapter)
		b.num(o.Fence, o.Generation, uint64(o.Index))
		b.addrs(o.Members)
		b.checks(d.Txn.Checks)
	}
	for i := range w.holders {
		h := &w.holders[i]
		b.flag(h.on)
		b.num(uint64(len(h.stale)))
		for _, k := range slices.Sorted(maps.Keys(h.stale)) {
			b.text(k)
		}
		b.num(uint64(len(h.table.Versions)))
		for _, k := range slices.Sorted(maps.Keys(h.table.Versions)) {
			b.text(k)
			b.num(h.table.Versions[k])
		}
		for _, m := range w.machines {
			o, s := h.states[m.ID], h.planner.orders[m.ID]
			b.state(o.State)
			b.at(o.At)
			b.num(s.generation, uint64(h.view[m.ID]))
			b.text(string(s.op))
			b.at(s.at)
		}
		b.num(uint64(len(h.out)))
		for _, d := range h.out {
			b.text(string(d.Kind), d.Member.ID)
			b.row(d.Row)
			b.checks(d.Txn.Checks)
		}
	}
	return xxhash.Sum64(b)
}

func (t Table) clone() Table {
	return Table{Groups: maps.Clone(t.Groups), Seats: maps.Clone(t.Seats), Counters: maps.Clone(t.Counters), Versions: maps.Clone(t.Versions)}
}

// observe makes a holder read the table and ask every engine.
func (w *world) observe(i int) {
	h := &w.holders[i]
	h.table, h.states, h.view, h.stale = w.truth, map[string]Observed{}, map[string]member.State{}, map[string]bool{}
	for _, m := range w.machines {
		if m.up {
			h.states[m.ID] = Observed{State: m.state, At: w.now}
			h.view[m.ID] = member.Live
		}
	}
}

func (w *world) plan(i int, x breaks) {
	h := &w.holders[i]
	in := Input{Config: w.cfg, Wanted: !w.withdrawn, Sizes: []int{w.cfg.Instances}, Table: h.table, Token: h.token, TokenVersion: h.version, States: h.states}
	for _, m := range w.machines {
		in.Instances = append(in.Instances, m.Instance)
	}
	in.Member = func(id string) member.State {
		if w.leaving[id] {
			return member.Leaving
		}
		return h.view[id]
	}
	in.Idle = func(Row) bool { return true }
	if x.input != nil {
		x.input(&in)
	}
	h.planner.orders, h.planner.drains = maps.Clone(h.planner.orders), maps.Clone(h.planner.drains)
	h.planner.begun, h.planner.bars = maps.Clone(h.planner.begun), maps.Clone(h.planner.bars)
	h.out = h.planner.Step(w.now, in)
	for k := range h.out {
		if x.txn != nil {
			x.txn(&h.out[k].Txn)
		}
	}
}

// commit carries a transaction out in the table service and checks it against the promises.
func (w *world) commit(d Decision, by *holder) bool {
	for _, c := range d.Txn.Checks {
		if w.rows[c.Key].Version != c.Version {
			return false
		}
	}
	if w.holders[1].on && d.Row.Token == 1 && by != &w.holders[1] && d.Kind != Release {
		w.fail("a write of an old holder took effect")
	}
	if d.Kind == Claim || d.Kind == Heal {
		if d.Row.Generation <= w.last {
			w.fail("a generation was given out twice")
		}
		w.last = max(w.last, d.Row.Generation)
	}
	if d.Kind == Serve && by != nil {
		for k, m := range d.Row.Members {
			x := w.machine(m.ID)
			if !by.stale[m.ID] && (!x.up || !d.Row.Matches(k, x.state)) {
				w.fail("a group serves without a member")
			}
		}
	}
	w.version++
	w.rows, w.truth = maps.Clone(w.rows), w.truth.clone()
	if err := w.truth.Apply(d.Txn, w.version); err != nil {
		panic(err)
	}
	b := binary.AppendUvarint(nil, w.history)
	for _, r := range d.Txn.Writes {
		b = append(append(b, r.Key...), r.Value...)
	}
	w.history = xxhash.Sum64(b)
	for _, r := range d.Txn.Writes {
		if r.Delete {
			delete(w.rows, r.Key)
			continue
		}
		w.rows[r.Key] = platform.Row{Key: r.Key, Version: w.version, Value: r.Value}
	}
	t := w.truth
	seats := 0
	for _, g := range t.Groups {
		for _, m := range g.Members {
			seats++
			if t.Seats[m.ID] != (Seat{Group: g.ID, Generation: g.Generation}) {
				w.fail("an instance belongs to two groups")
			}
		}
	}
	if seats != len(t.Seats) {
		w.fail("an instance's row names no group")
	}
	return true
}

// fail keeps the first broken promise.
func (w *world) fail(why string) {
	if w.wrong == "" {
		w.wrong = why
	}
}

func (w *world) machine(id string) *machine {
	return &w.machines[slices.IndexFunc(w.machines, func(m machine) bool { return m.ID == id })]
}

func (w *world) changed(id string) {
	for i := range w.holders {
		if h := &w.holders[i]; h.stale != nil && !h.stale[id] {
			h.stale = maps.Clone(h.stale)
			h.stale[id] = true
		}
	}
}

// order is an engine taking an order.
func (w *world) order(d Decision) {
	m := w.machine(d.Member.ID)
	if !m.up || (w.fencing && d.Order.Fence < m.state.Fence) {
		return
	}
	o := d.Order
	next := engine.State{Fence: o.Fence}
	if o.Op == engine.OpLoad {
		next = engine.State{Group: o.Group, Generation: o.Generation, Fence: o.Fence, Index: o.Index, Model: o.Model, Version: o.Version}
	}
	for _, g := range w.truth.Groups {
		for k, x := range g.Members {
			if x.ID == m.ID && g.Phase == Serving && g.Matches(k, m.state) && o.Fence < w.holders[1].token && (o.Group != g.ID || o.Generation != g.Generation || o.Op != engine.OpLoad) {
				w.displaced = true
			}
		}
	}
	m.state, m.restarted = next, false
	w.changed(m.ID)
}

// run carries out the first thing that a holder has decided.
func (w *world) run(i int) {
	h := &w.holders[i]
	d := h.out[0]
	h.out = h.out[1:]
	switch {
	case d.Kind == Order:
		w.order(d)
	case w.commit(d, h):
		h.table = h.table.clone()
		if err := h.table.Apply(d.Txn, w.version); err != nil {
			panic(err)
		}
	default:
		h.out = nil
		h.table = w.truth
	}
}

// next returns every state that one event leads to.
func (w *world) next(x breaks) []*world {
	var out []*world
	add := func(f func(c *world)) {
		c := w.clone()
		f(c)
		out = append(out, c)
	}
	if w.passes > 0 {
		add(func(c *world) { c.passes--; c.pass(1, x) })
	}
	if w.waits > 0 {
		add(func(c *world) { c.waits--; c.now = c.now.Add(Settle) })
	}
	for k := range w.late {
		add(func(c *world) {
			d := c.late[k]
			c.late = slices.Delete(c.late, k, k+1)
			if d.Kind == Order {
				c.order(d)
			} else {
				c.commit(d, nil)
			}
		})
	}
	for i := range w.holders {
		h := &w.holders[i]
		switch {
		case !h.on:
		case len(h.out) == 0:
			add(func(c *world) { c.observe(i) })
			add(func(c *world) { c.plan(i, x) })
		default:
			add(func(c *world) { c.run(i) })
			if w.faults > 0 {
				// The answer is lost, and the network holds the message.
				add(func(c *world) {
					c.faults--
					h := &c.holders[i]
					c.late = append(c.late, h.out[0])
					h.out = nil
					h.table = c.truth
				})
			}
		}
	}
	for k, m := range w.machines {
		if m.up && m.state.Group != "" && !m.state.Loaded {
			add(func(c *world) { c.machines[k].state.Loaded = true; c.changed(m.ID) })
		}
		if m.up && w.faults > 0 {
			add(func(c *world) { c.faults--; c.machines[k].up = false; c.changed(m.ID) })
		}
		if !m.up {
			add(func(c *world) { c.machines[k].restart(); c.changed(m.ID) })
		}
	}
	return out
}

func (m *machine) restart() { m.up, m.restarted, m.state = true, true, engine.State{} }

// quiesce ends the faults: what the network holds arrives, the current holder works on, engines finish loading. It
// returns how many groups serve with every member in its place.
func (w *world) quiesce(x breaks) int {
	i := 0
	if w.holders[1].on {
		i = 1
	}
	for _, d := range w.late {
		if d.Kind == Order {
			w.order(d)
		} else {
			w.commit(d, nil)
		}
	}
	w.late, w.holders[i].out = nil, nil
	for range 30 {
		w.now = w.now.Add(500 * time.Millisecond)
		w.observe(i)
		for range 6 {
			if w.plan(i, x); len(w.holders[i].out) == 0 {
				break
			}
			for len(w.holders[i].out) > 0 {
				w.run(i)
			}
		}
		for k := range w.machines {
			w.machines[k].state.Loaded = w.machines[k].state.Group != ""
		}
	}
	n := 0
	for _, g := range w.truth.Groups {
		whole := g.Phase == Serving
		for k, m := range g.Members {
			x := w.machine(m.ID)
			whole = whole && x.up && g.Matches(k, x.state)
		}
		if whole {
			n++
		}
	}
	return n
}

// settles lets the faults end in a copy of the world and returns what is wrong then: a broken promise or a group that
// fits but does not serve.
func (w *world) settles(x breaks) string {
	c := w.clone()
	up := 0
	for _, m := range c.machines {
		if m.up {
			up++
		}
	}
	want := min(c.cfg.Copies, up/c.cfg.Instances)
	if got := c.quiesce(x); got != want && c.wrong == "" {
		return fmt.Sprintf("%d groups serve after the faults, %d fit", got, want)
	}
	return c.wrong
}

type result struct {
	states, settled int
	// depth is up to how many events every schedule was visited.
	depth     int
	displaced int
	wrong     string
}

// explore visits states in order of depth up to a number of states. From every eighth one it lets the faults end and
// checks that all copies that fit are formed.
func explore(w *world, limit int, x breaks) (r result) {
	seen := map[uint64]bool{w.key(): true}
	queue := []*world{w}
	r.depth = -1
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		r.states++
		if len(seen) < limit {
			r.depth = w.depth
		}
		if w.displaced {
			r.displaced++
		}
		if w.wrong == "" && r.states%8 == 0 {
			w.wrong = w.settles(x)
			r.settled++
		}
		if w.wrong != "" {
			r.wrong = w.wrong
			return r
		}
		for _, c := range w.next(x) {
			c.depth = w.depth + 1
			if k := c.key(); !seen[k] && len(seen) < limit {
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return r
}

// serving is a world whose groups serve, with a number of faults, lease changes and waits to come.
func serving(machines, copies int, fencing bool, faults, passes, waits int) *world {
	w := newWorld(machines, copies, 2, fencing)
	w.quiesce(breaks{})
	w.faults, w.passes, w.waits = faults, passes, waits
	return w
}

// Guards against an instance in two groups, a group that serves without a member, a write of an old holder, a
// generation given out twice and a group that is never formed, in every order of messages, lost answers, late orders
// and transactions, crashes, restarts and a change of the lease, up to a number of states.
func TestPromises(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		fresh := newWorld(3, 1, 2, fencing)
		fresh.faults, fresh.passes, fresh.waits = 2, 1, 2
		for name, w := range map[string]*world{
			"3 instances, none formed": fresh,
			"2 instances, 1 copy":      serving(2, 1, fencing, 2, 1, 2),
			"3 instances, 1 copy":      serving(3, 1, fencing, 2, 1, 2),
			"4 instances, 2 copies":    serving(4, 2, fencing, 2, 1, 2),
		} {
			t.Run(fmt.Sprintf("%s, fencing %v", name, fencing), func(t *testing.T) {
				t.Parallel()
				r := explore(w, 3000, breaks{})
				if r.wrong != "" {
					t.Error(r.wrong)
				}
				t.Logf("%d states, all up to %d events; %d followed to the end, %d with a member displaced by an old order", r.states, r.depth, r.settled, r.displaced)
			})
		}
	}
}

// Guards against the same faults in schedules that are too long to try all of: seeded random ones, each followed to the
// end.
func TestSchedules(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 7))
			formed, displaced := 0, 0
			for n := range 100 {
				fencing := r.IntN(2) == 0
				w := serving(2+r.IntN(3), 1+r.IntN(2), fencing, 4, 1, 6)
				if r.IntN(2) == 0 {
					w = newWorld(2+r.IntN(3), 1+r.IntN(2), 2, fencing)
					w.faults, w.passes, w.waits = 4, 1, 6
				}
				for range 60 {
					next := w.next(breaks{})
					w = next[r.IntN(len(next))]
					if w.wrong != "" {
						t.Fatalf("schedule %d: %s", n, w.wrong)
					}
				}
				if why := w.settles(breaks{}); why != "" {
					t.Errorf("schedule %d: %s", n, why)
				}
				formed += int(w.last)
				if w.displaced {
					displaced++
				}
			}
			t.Logf("100 schedules of 60 events, %d generations, a member displaced in %d", formed, displaced)
		})
	}
}

// Shows that each check finds a rule that was broken on purpose.
func TestPromisesFindBrokenRules(t *testing.T) {
	strip := func(prefix string) func(*platform.Txn) {
		return func(x *platform.Txn) {
			x.Checks = slices.DeleteFunc(slices.Clone(x.Checks), func(c platform.Check) bool { return strings.HasPrefix(c.Key, prefix) })
		}
	}
	for _, x := range []struct {
		name, want string
		fresh      bool
		breaks     breaks
	}{
		{"no check of the token row", "a write of an old holder took effect", false, breaks{txn: strip("token/")}},
		{"no check of instance rows", "an instance belongs to two groups", false, breaks{txn: strip(PrefixInstance)}},
		{"no check of the engines' own states", "a group serves without a member", true, breaks{input: func(in *Input) {
			in.States = maps.Clone(in.States)
			for _, g := range in.Table.Groups {
				for k, m := range g.Members {
					o := in.States[m.ID]
					o.State = engine.State{Group: g.ID, Generation: g.Generation, Index: k, Loaded: true, Model: g.Model, Version: g.Version}
					in.States[m.ID] = o
				}
			}
		}}},
		{"no counter row", "a generation was given out twice", false, breaks{input: func(in *Input) { in.Table.Counters = map[string]Counter{} }}},
		{"losses are not seen", "0 groups serve after the faults, 1 fit", false, breaks{input: func(in *Input) {
			in.Member = func(string) member.State { return member.Live }
		}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			w := serving(3, 1, true, 1, 1, 2)
			if x.fresh {
				w = newWorld(3, 1, 2, true)
				w.passes, w.waits = 1, 2
			}
			found := explore(w, 20_000, x.breaks).wrong
			if x.name == "no check of instance rows" {
				// The token and counter rows keep the claims of one service apart, so this takes two services.
				if wrong := claimTwice(breaks{}); wrong != "" {
					t.Errorf("two services: %s", wrong)
				}
				found = claimTwice(x.breaks)
			}
			if found != x.want {
				t.Errorf("found %q, want %q", found, x.want)
			}
		})
	}
}

// claimTwice lets the holders of two services, which read the same rows, each claim a group.
func claimTwice(x breaks) string {
	w := newWorld(2, 1, 2, true)
	w.version++
	w.rows["token/t"] = platform.Row{Key: "token/t", Version: w.version}
	w.holders[1] = holder{on: true, token: 1, version: w.version, planner: Planner{Service: "t"}}
	w.observe(1)
	for i := range w.holders {
		w.plan(i, x)
	}
	for i := range w.holders {
		w.last = 0
		w.commit(w.holders[i].out[0], &w.holders[1])
	}
	return w.wrong
}

// Guards against an old holder's order that takes effect after the new holder has ordered the engine (with fencing), and
// shows what remains without: the member leaves the serving group, which is then not present, and it is healed.
func TestOldOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		w := newWorld(2, 1, 2, fencing)
		a := &w.holders[0]
		for range 2 {
			w.plan(0, breaks{})
			for len(a.out) > 0 && a.out[0].Kind != Order {
				w.run(0)
			}
		}
		w.late = a.out // Orders for generation 1 that the network delays.
		w.machines[0].up = false
		w.pass(1, breaks{})
		w.holders[1].token = 2
		late := w.late
		w.late = nil
		w.quiesce(breaks{})
		w.machines[0].restart()
		if n := w.quiesce(breaks{}); n != 1 {
			t.Fatalf("fencing %v: %d groups serve under the new holder", fencing, n)
		}
		for _, d := range late {
			w.order(d)
		}
		out := 0
		for _, g := range w.truth.Groups {
			for k, m := range g.Members {
				if !g.Matches(k, w.machine(m.ID).state) {
					out++
				}
			}
		}
		if w.displaced == fencing || (out > 0) == fencing {
			t.Errorf("fencing %v: displaced %v, %d members out of place", fencing, w.displaced, out)
		}
		if n := w.quiesce(breaks{}); n != 1 {
			t.Errorf("fencing %v: %d groups serve in the end", fencing, n)
		}
	}
}

// Guards against rows that other versions of the program cannot read.
func TestRowFormat(t *testing.T) {
	w := serving(2, 1, true, 0, 0, 0)
	var r Row
	if err := json.Unmarshal(w.rows["group/s/1"].Value, &r); err != nil || r.Phase != Serving || r.Generation != 1 || len(r.Members) != 2 {
		t.Errorf("row %s: %v", w.rows["group/s/1"].Value, err)
	}
}
