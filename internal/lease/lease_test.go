package lease

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/platform"
)

// store is the table service with the two rows of a lease.
type store struct {
	version uint64
	rows    map[string]platform.Row
}

func (s *store) commit(t platform.Txn) Message {
	for _, c := range t.Checks {
		if s.rows[c.Key].Version != c.Version {
			return Conflict{}
		}
	}
	s.version++
	s.rows = maps.Clone(s.rows)
	for _, w := range t.Writes {
		s.rows[w.Key] = platform.Row{Key: w.Key, Version: s.version, Op: t.Op, Value: w.Value}
	}
	return Committed{Version: s.version}
}

// daemon is one side of the lease with the request that it has outstanding.
type daemon struct {
	*Lease
	ask    Action
	answer Message
	ops    int
}

// world is a state of the exploration. late is a transaction whose sender was told that the answer is lost and that
// the network still holds.
type world struct {
	now    time.Time
	store  store
	ds     []daemon
	late   *platform.Txn
	faults int
}

func (w *world) clone() *world {
	c := *w
	c.ds = make([]daemon, len(w.ds))
	for i, d := range w.ds {
		c.ds[i] = d
		c.ds[i].Lease = d.Clone()
	}
	return &c
}

// key is a hash of everything that the future of a state depends on.
func (w *world) key() uint64 {
	var b []byte
	num := func(list ...int64) {
		for _, n := range list {
			b = binary.AppendVarint(b, n)
		}
	}
	at := func(list ...time.Time) {
		for _, t := range list {
			num(int64(max(t.Sub(epoch), -1)))
		}
	}
	flag := func(list ...bool) {
		for _, f := range list {
			b = strconv.AppendBool(b, f)
		}
	}
	txn := func(t *platform.Txn) {
		if t != nil {
			b = append(append(b, t.Op...), t.Writes[0].Value...)
			num(int64(t.Checks[0].Version))
		}
		b = append(b, '|')
	}
	at(w.now)
	for _, k := range []string{"lease/x", "token/x"} {
		r := w.store.rows[k]
		b = append(append(b, r.Op...), r.Value...)
		num(int64(r.Version))
	}
	num(int64(w.store.version), int64(w.faults))
	txn(w.late)
	for _, d := range w.ds {
		l := d.Lease
		num(int64(d.ops), int64(l.version), int64(l.row.Token), int64(l.held.Token), int64(l.retry))
		b = append(append(append(b, l.row.Holder...), '/'), l.row.Next...)
		at(l.seen, l.last, l.held.Until, l.renewAt, l.sent, l.pollAt, l.retryAt, l.asked)
		flag(l.known, l.moved, l.giving, l.busy, l.unsettled)
		txn(l.txn)
		switch a := d.ask.(type) {
		case Read:
			b = append(b, 'r')
		case Commit:
			txn(&a.Txn)
		}
		switch m := d.answer.(type) {
		case Row:
			b = append(append(b, m.Row.Op...), m.Row.Value...)
			num(int64(m.Row.Version))
		case Committed:
			num(int64(m.Version))
		case Conflict:
			b = append(b, 'c')
		}
		b = append(b, '|')
	}
	return xxhash.Sum64(b)
}

var epoch = time.Unix(1_000_000, 0)

// rule changes the state of a daemon after a Step, to show that a check catches a broken rule.
type rule func(l *Lease, now time.Time, m Message)

func (w *world) step(i int, m Message, broken rule) {
	d := &w.ds[i]
	out := d.Step(w.now, m)
	if broken != nil {
		broken(d.Lease, w.now, m)
	}
	d.ask, d.answer = nil, nil
	for _, a := range out {
		switch a.(type) {
		case Read, Commit:
			d.ask = a
		}
	}
}

// next returns every state that one event leads to: the clock moves on (a daemon that does not tick meanwhile is
// paused), a daemon ticks, the store carries a request out, an answer arrives or is lost, a late transaction arrives.
func (w *world) next(step time.Duration, broken rule) []*world {
	var out []*world
	add := func(f func(c *world)) {
		c := w.clone()
		f(c)
		out = append(out, c)
	}
	add(func(c *world) { c.now = c.now.Add(step) })
	if w.late != nil {
		add(func(c *world) { c.store.commit(*c.late); c.late = nil })
	}
	for i := range w.ds {
		d := &w.ds[i]
		switch {
		case d.answer != nil:
			add(func(c *world) { c.step(i, d.answer, broken) })
			if _, ok := d.ask.(Commit); ok && w.faults > 0 {
				add(func(c *world) { c.faults--; c.step(i, Unknown{}, broken) })
			}
		case d.ask != nil:
			add(func(c *world) {
				switch a := c.ds[i].ask.(type) {
				case Read:
					r := c.store.rows[a.Key]
					r.Key = a.Key
					c.ds[i].answer = Row{Row: r}
				case Commit:
					c.ds[i].answer = c.store.commit(a.Txn)
				}
			})
			if w.faults > 0 {
				add(func(c *world) { c.faults--; c.step(i, Unavailable{}, broken) })
			}
			if a, ok := d.ask.(Commit); ok && w.faults > 0 && w.late == nil {
				add(func(c *world) { c.faults--; c.late = &a.Txn; c.step(i, Unknown{}, broken) })
			}
		default:
			add(func(c *world) {
				c.step(i, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(c.ds[i].ops), Rank: i}, broken)
				if _, ok := c.ds[i].ask.(Commit); ok {
					c.ds[i].ops++ // A number that was not used stays fresh, so a Tick without effect is the same state.
				}
			})
		}
	}
	return out
}

// wrong returns which promise a state breaks.
func (w *world) wrong() string {
	holders := 0
	for _, d := range w.ds {
		h, ok := d.Holding(w.now)
		if !ok {
			continue
		}
		holders++
		if row := w.store.rows["token/x"]; row.Version != h.Version {
			return "a holder's token is not the one in force"
		}
	}
	if holders > 1 {
		return "two holders"
	}
	return ""
}

// explore visits every state up to the horizon and returns how many there are and the first broken promise. Two states
// with the same clock, rows, requests and lease fields have the same future, so each is expanded once.
func explore(daemons, faults, limit int, step, horizon time.Duration, start *world, broken rule) (states int, wrong string) {
	w := start
	if w == nil {
		w = &world{now: epoch, store: store{rows: map[string]platform.Row{}}}
		for i := range daemons {
			w.ds = append(w.ds, daemon{Lease: New("x", string(rune('a'+i)))})
		}
	}
	w.faults = faults
	seen := map[uint64]bool{w.key(): true}
	queue := []*world{w}
	for len(queue) > 0 && len(seen) < limit {
		// The newest state first: deep schedules are reached also when the limit cuts the search.
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if why := w.wrong(); why != "" {
			return len(seen), why
		}
		for _, c := range w.next(step, broken) {
			if k := c.key(); c.now.Sub(epoch) <= horizon && !seen[k] {
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return len(seen), ""
}

// held is a world in which a holds the lease and b has seen its row, just now.
func held(t *testing.T) *world {
	w := &world{now: epoch, store: store{rows: map[string]platform.Row{}}}
	for i := range 2 {
		w.ds = append(w.ds, daemon{Lease: New("x", string(rune('a'+i)))})
	}
	for range 8 {
		for i := range w.ds {
			w.run(i)
		}
	}
	if _, ok := w.ds[0].Holding(w.now); !ok {
		t.Fatal("the first daemon did not take a free lease")
	}
	return w
}

// run ticks a daemon and answers its requests at once.
func (w *world) run(i int) {
	w.ds[i].ops++
	w.step(i, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(w.ds[i].ops), Rank: i, Jitter: 0.5}, nil)
	for w.ds[i].ask != nil {
		switch a := w.ds[i].ask.(type) {
		case Read:
			r := w.store.rows[a.Key]
			w.step(i, Row{Row: r}, nil)
		case Commit:
			w.step(i, w.store.commit(a.Txn), nil)
		}
	}
}

// Guards against two holders at a time and against a holder whose token row another has replaced, under every order of
// messages, lost answers, late transactions and pauses of two daemons.
func TestOneHolder(t *testing.T) {
	for _, x := range []struct {
		name            string
		daemons, faults int
		step, horizon   time.Duration
		start           *world
	}{
		{"2 daemons, absent row, 1 fault", 2, 1, 3500 * time.Millisecond, 7 * time.Second, nil},
		{"3 daemons, absent row", 3, 0, 3500 * time.Millisecond, 3500 * time.Millisecond, nil},
		{"2 daemons, held lease, 1 fault", 2, 1, 2250 * time.Millisecond, 9 * time.Second, held(t)},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			limit := 400_000
			n, wrong := explore(x.daemons, x.faults, limit, x.step, x.horizon, x.start, nil)
			if wrong != "" {
				t.Error(wrong)
			}
			t.Logf("%d states, complete to %v: %v", n, x.horizon, n < limit)
		})
	}
}

// Shows that the exploration finds a broken rule, so that its silence means something.
func TestOneHolderFindsBrokenRules(t *testing.T) {
	rules := map[string]rule{
		"holder counts from the answer": func(l *Lease, now time.Time, m Message) {
			if _, ok := m.(Committed); ok && l.held.Token > 0 {
				l.held.Until = now.Add(TTL - Guard)
			}
		},
		"waiting daemon does not wait for the margin": func(l *Lease, _ time.Time, m Message) {
			if _, ok := m.(Row); ok && l.row.Holder != "" && l.row.Holder != l.self {
				l.seen = l.seen.Add(-TTL / 2)
				l.last = l.last.Add(TTL / 2)
			}
		},
		"holder does not stop": func(l *Lease, now time.Time, _ Message) {
			if l.held.Token > 0 {
				l.held.Until = now.Add(time.Hour)
			}
		},
	}
	for name, broken := range rules {
		if _, wrong := explore(2, 0, 400_000, 2250*time.Millisecond, 16*time.Second, held(t), broken); wrong == "" {
			t.Errorf("not found: %s", name)
		}
	}
}

// Guards against a lost lease that nobody takes, and against a takeover that is faster than the holder's stop or slower
// than TTL, margin and one poll.
func TestTakeover(t *testing.T) {
	w := held(t)
	until := w.ds[0].held.Until
	for {
		w.now = w.now.Add(100 * time.Millisecond)
		w.run(1)
		if h, ok := w.ds[1].Holding(w.now); ok {
			took := w.now.Sub(epoch)
			if w.now.Before(until.Add(Guard)) || took > TTL+Margin+Stagger+NearPoll || h.Token != 2 {
				t.Errorf("token %d taken after %v; the old holder stops at %v", h.Token, took, until.Sub(epoch))
			}
			return
		}
		if w.now.Sub(epoch) > time.Minute {
			t.Fatal("nobody took the lease")
		}
	}
}

// Guards against a lease that stays with a daemon that is late in rendezvous order, and against a hand-over to one that
// does not come back for it.
func TestHandOver(t *testing.T) {
	w := held(t)
	w.ds[0], w.ds[1] = w.ds[1], w.ds[0] // The holder is now second in order.
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for i := range w.ds {
			w.run(i)
		}
		if why := w.wrong(); why != "" {
			t.Fatal(why)
		}
	}
	if h, ok := w.ds[0].Holding(w.now); !ok || h.Token != 2 {
		t.Errorf("first in order holds: %v, token %d", ok, h.Token)
	}
}

// Guards against a restarted daemon or one that resigned making others wait for the time to live.
func TestResign(t *testing.T) {
	w := held(t)
	w.ds[0].Resign(w.now)
	w.run(0)
	if !w.ds[0].Settled() {
		t.Fatal("resignation is not in the store")
	}
	for range 30 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.run(1)
	}
	if h, ok := w.ds[1].Holding(w.now); !ok || h.Token != 2 {
		t.Errorf("second daemon holds %v after 3 s, token %d", ok, h.Token)
	}
}

// Measures the reads and writes of waiting and holding daemons against the figures in the package comment.
func TestLoad(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		daemons int
		most    float64
	}{{7, 1.4}, {370, 16.5}} {
		w := &world{now: epoch, store: store{rows: map[string]platform.Row{}}}
		for i := range x.daemons {
			w.ds = append(w.ds, daemon{Lease: New("x", strconv.Itoa(i))})
		}
		reads, writes := 0, 0
		const warm, span = 1200, 6000
		for n := range warm + span {
			w.now = w.now.Add(100 * time.Millisecond)
			for i := range w.ds {
				out := w.ds[i].Step(w.now, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(n), Rank: i, Jitter: float64((i*7+n*13)%100) / 100})
				for len(out) > 0 {
					a := out[len(out)-1]
					out = nil
					switch a := a.(type) {
					case Read:
						if n >= warm {
							reads++
						}
						out = w.ds[i].Step(w.now, Row{Row: w.store.rows[a.Key]})
					case Commit:
						if n >= warm {
							writes++
						}
						out = w.ds[i].Step(w.now, w.store.commit(a.Txn))
					}
				}
			}
		}
		r, wr := float64(reads)/(span/10), float64(writes)/(span/10)
		t.Logf("%d daemons: %.2f reads/s, %.2f writes/s", x.daemons, r, wr)
		if r > x.most || wr > 0.51 {
			t.Errorf("%d daemons: %.2f reads/s, %.2f writes/s; at most %.1f and 0.5", x.daemons, r, wr, x.most)
		}
	}
}

// Guards against a token that stays the same when the holder changes or lapses, which would let old orders through.
func TestTokenGrows(t *testing.T) {
	w := held(t)
	w.now = w.now.Add(TTL) // The holder was paused past its time; nobody else took the lease.
	if _, ok := w.ds[0].Holding(w.now); ok {
		t.Fatal("lease is held past its time")
	}
	w.run(0)
	w.run(0)
	if h, ok := w.ds[0].Holding(w.now); !ok || h.Token != 2 {
		t.Errorf("taken again: %v, token %d", ok, h.Token)
	}
	var r Record
	if err := json.Unmarshal(w.store.rows["token/x"].Value, &r); err != nil || r.Token != 2 {
		t.Errorf("token row: %+v, %v", r, err)
	}
}

// Guards against a far daemon that waits for its long period although the near ones are known to be silent, as it is
// told by its rank.
func TestFarTakeover(t *testing.T) {
	for wait := range 30 {
		w := held(t)
		rank, n := Near+2, 0
		tick := func() {
			n++
			d := &w.ds[1]
			for m := Message(Tick{Op: strconv.Itoa(n), Rank: rank, Jitter: 0.5}); m != nil; {
				w.step(1, m, nil)
				m = nil
				switch a := d.ask.(type) {
				case Read:
					m = Row{Row: w.store.rows[a.Key]}
				case Commit:
					m = w.store.commit(a.Txn)
				}
			}
		}
		for range 10 * (wait + 1) {
			w.now = w.now.Add(100 * time.Millisecond)
			w.run(0)
			tick()
		}
		stopped := w.now
		for {
			w.now = w.now.Add(100 * time.Millisecond)
			if w.now.Sub(stopped) >= 2*time.Second {
				rank = 0
			}
			tick()
			took := w.now.Sub(stopped)
			if _, ok := w.ds[1].Holding(w.now); ok {
				break
			}
			if took > 2*time.Second+TTL+Margin+500*time.Millisecond {
				t.Fatalf("%d s after the last read: not taken %v after the near daemons stopped", wait, took)
			}
		}
	}
}
