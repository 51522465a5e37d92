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

// fakeTable simulates the table service with the two rows of a lease.
type fakeTable struct {
	version uint64
	rows    map[string]platform.Row
}

func (s *fakeTable) commit(t platform.Txn) Message {
	for _, c := range t.Checks {
		if s.rows[c.Key].Version != c.Version {
			return Conflict{}
		}
	}
	s.version++
	s.rows = maps.Clone(s.rows)
	for _, st := range t.Writes {
		s.rows[st.Key] = platform.Row{Key: st.Key, Version: s.version, OperationID: t.OperationID, Value: st.Value}
	}
	return Committed{Version: s.version}
}

// daemon is one daemon's lease state machine with its outstanding request and the reply to it.
type daemon struct {
	*Lease
	request Action
	reply   Message
	ops     int
}

// modelState is one state of the state space. delayedTxn is a transaction that is still in flight although its sender
// was told that the outcome is unknown.
type modelState struct {
	now        time.Time
	table      fakeTable
	daemons    []daemon
	delayedTxn *platform.Txn
	faultsLeft int
}

func (st *modelState) clone() *modelState {
	c := *st
	c.daemons = make([]daemon, len(st.daemons))
	for i, d := range st.daemons {
		c.daemons[i] = d
		c.daemons[i].Lease = d.Clone()
	}
	return &c
}

// hash covers everything that the future of a state depends on.
func (st *modelState) hash() uint64 {
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
			b = append(append(b, t.OperationID...), t.Writes[0].Value...)
			num(int64(t.Checks[0].Version))
		}
		b = append(b, '|')
	}
	at(st.now)
	for _, k := range []string{"lease/x", "token/x"} {
		r := st.table.rows[k]
		b = append(append(b, r.OperationID...), r.Value...)
		num(int64(r.Version))
	}
	num(int64(st.table.version), int64(st.faultsLeft))
	txn(st.delayedTxn)
	for _, d := range st.daemons {
		l := d.Lease
		num(int64(d.ops), int64(l.version), int64(l.row.Token), int64(l.held.Token), int64(l.retryDelay))
		b = append(append(append(b, l.row.Holder...), '/'), l.row.Successor...)
		at(l.versionSeenAt, l.readAt, l.held.Until, l.renewAt, l.sentAt, l.pollAt, l.retryAt, l.handOverAskedAt)
		flag(l.rowRead, l.renewalSeen, l.releasing, l.awaitingReply, l.outcomeUnknown)
		txn(l.pendingTxn)
		switch a := d.request.(type) {
		case Read:
			b = append(b, 'r')
		case Commit:
			txn(&a.Txn)
		}
		switch m := d.reply.(type) {
		case Row:
			b = append(append(b, m.Row.OperationID...), m.Row.Value...)
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

// mutation changes a lease after a Step. It breaks a rule on purpose, to show that the checks detect it.
type mutation func(l *Lease, now time.Time, m Message)

func (st *modelState) step(i int, m Message, mutate mutation) {
	d := &st.daemons[i]
	out := d.Step(st.now, m)
	if mutate != nil {
		mutate(d.Lease, st.now, m)
	}
	d.request, d.reply = nil, nil
	for _, a := range out {
		switch a.(type) {
		case Read, Commit:
			d.request = a
		}
	}
}

// successors returns every state that one event leads to: the clock advances (a daemon that doesn't tick meanwhile is
// paused), a daemon ticks, the table executes a request, a reply arrives or is lost, a delayed transaction arrives.
func (st *modelState) successors(step time.Duration, mutate mutation) []*modelState {
	var out []*modelState
	add := func(f func(c *modelState)) {
		c := st.clone()
		f(c)
		out = append(out, c)
	}
	add(func(c *modelState) { c.now = c.now.Add(step) })
	if st.delayedTxn != nil {
		add(func(c *modelState) { c.table.commit(*c.delayedTxn); c.delayedTxn = nil })
	}
	for i := range st.daemons {
		d := &st.daemons[i]
		switch {
		case d.reply != nil:
			add(func(c *modelState) { c.step(i, d.reply, mutate) })
			if _, ok := d.request.(Commit); ok && st.faultsLeft > 0 {
				add(func(c *modelState) { c.faultsLeft--; c.step(i, Unknown{}, mutate) })
			}
		case d.request != nil:
			add(func(c *modelState) {
				switch a := c.daemons[i].request.(type) {
				case Read:
					r := c.table.rows[a.Key]
					r.Key = a.Key
					c.daemons[i].reply = Row{Row: r}
				case Commit:
					c.daemons[i].reply = c.table.commit(a.Txn)
				}
			})
			if st.faultsLeft > 0 {
				add(func(c *modelState) { c.faultsLeft--; c.step(i, Unavailable{}, mutate) })
			}
			if a, ok := d.request.(Commit); ok && st.faultsLeft > 0 && st.delayedTxn == nil {
				add(func(c *modelState) { c.faultsLeft--; c.delayedTxn = &a.Txn; c.step(i, Unknown{}, mutate) })
			}
		default:
			add(func(c *modelState) {
				c.step(i, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(c.daemons[i].ops), Rank: i}, mutate)
				if _, ok := c.daemons[i].request.(Commit); ok {
					c.daemons[i].ops++ // An unused operation ID stays available, so a Tick without effect leads to the same state.
				}
			})
		}
	}
	return out
}

// violation returns the invariant that a state violates, or "".
func (st *modelState) violation() string {
	holders := 0
	for _, d := range st.daemons {
		h, ok := d.Holding(st.now)
		if !ok {
			continue
		}
		holders++
		if row := st.table.rows["token/x"]; row.Version != h.Version {
			return "the holder's token row has been replaced by another daemon"
		}
	}
	if holders > 1 {
		return "two daemons hold the lease"
	}
	return ""
}

// explore visits every state up to the horizon and returns their number and the first violated invariant. Two states
// with the same clock, rows, requests and lease fields have the same future, so each is expanded once.
func explore(daemons, faults, limit int, step, horizon time.Duration, start *modelState, mutate mutation) (states int, violation string) {
	st := start
	if st == nil {
		st = &modelState{now: epoch, table: fakeTable{rows: map[string]platform.Row{}}}
		for i := range daemons {
			st.daemons = append(st.daemons, daemon{Lease: New("x", string(rune('a'+i)))})
		}
	}
	st.faultsLeft = faults
	seen := map[uint64]bool{st.hash(): true}
	queue := []*modelState{st}
	for len(queue) > 0 && len(seen) < limit {
		// Depth first, so that long schedules are covered even when the limit cuts the search short.
		st := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if violation := st.violation(); violation != "" {
			return len(seen), violation
		}
		for _, c := range st.successors(step, mutate) {
			if k := c.hash(); c.now.Sub(epoch) <= horizon && !seen[k] {
				seen[k] = true
				queue = append(queue, c)
			}
		}
	}
	return len(seen), ""
}

// newHeldState returns a state in which daemon a holds the lease and daemon b has just read its row.
func newHeldState(t *testing.T) *modelState {
	st := &modelState{now: epoch, table: fakeTable{rows: map[string]platform.Row{}}}
	for i := range 2 {
		st.daemons = append(st.daemons, daemon{Lease: New("x", string(rune('a'+i)))})
	}
	for range 8 {
		for i := range st.daemons {
			st.tickAndReply(i)
		}
	}
	if _, ok := st.daemons[0].Holding(st.now); !ok {
		t.Fatal("daemon a did not take the free lease")
	}
	return st
}

// tickAndReply ticks a daemon and replies to its requests at once.
func (st *modelState) tickAndReply(i int) {
	st.daemons[i].ops++
	st.step(i, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(st.daemons[i].ops), Rank: i, Jitter: 0.5}, nil)
	for st.daemons[i].request != nil {
		switch a := st.daemons[i].request.(type) {
		case Read:
			r := st.table.rows[a.Key]
			st.step(i, Row{Row: r}, nil)
		case Commit:
			st.step(i, st.table.commit(a.Txn), nil)
		}
	}
}

// Guards against two daemons holding the lease at once, and against a holder whose token row another daemon has
// replaced, under every order of messages, lost replies, delayed transactions and pauses of two daemons.
func TestOneHolder(t *testing.T) {
	for _, x := range []struct {
		name            string
		daemons, faults int
		step, horizon   time.Duration
		start           *modelState
	}{
		{"2 daemons, absent row, 1 fault", 2, 1, 3500 * time.Millisecond, 7 * time.Second, nil},
		{"3 daemons, absent row", 3, 0, 3500 * time.Millisecond, 3500 * time.Millisecond, nil},
		{"2 daemons, held lease, 1 fault", 2, 1, 2250 * time.Millisecond, 9 * time.Second, newHeldState(t)},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			limit := 400_000
			n, violation := explore(x.daemons, x.faults, limit, x.step, x.horizon, x.start, nil)
			if violation != "" {
				t.Error(violation)
			}
			t.Logf("%d states; all states up to %v visited: %v", n, x.horizon, n < limit)
		})
	}
}

// Checks that the exploration detects broken rules, so that a pass of TestOneHolder is meaningful.
func TestOneHolderDetectsMutations(t *testing.T) {
	mutations := map[string]mutation{
		"holder measures the TTL from the reply instead of the request": func(l *Lease, now time.Time, m Message) {
			if _, ok := m.(Committed); ok && l.held.Token > 0 {
				l.held.Until = now.Add(TTL - HolderMargin)
			}
		},
		"waiting daemon takes over before TTL+TakeoverMargin": func(l *Lease, _ time.Time, m Message) {
			if _, ok := m.(Row); ok && l.row.Holder != "" && l.row.Holder != l.self {
				l.versionSeenAt = l.versionSeenAt.Add(-TTL / 2)
				l.readAt = l.readAt.Add(TTL / 2)
			}
		},
		"holder does not stop before the TTL": func(l *Lease, now time.Time, _ Message) {
			if l.held.Token > 0 {
				l.held.Until = now.Add(time.Hour)
			}
		},
	}
	for name, mutate := range mutations {
		if _, violation := explore(2, 0, 400_000, 2250*time.Millisecond, 16*time.Second, newHeldState(t), mutate); violation == "" {
			t.Errorf("no invariant violation detected for: %s", name)
		}
	}
}

// Guards against a lost lease that nobody takes, and against a takeover before the old holder stops or later than TTL,
// margin and one poll interval.
func TestTakeover(t *testing.T) {
	st := newHeldState(t)
	until := st.daemons[0].held.Until
	for {
		st.now = st.now.Add(100 * time.Millisecond)
		st.tickAndReply(1)
		if h, ok := st.daemons[1].Holding(st.now); ok {
			took := st.now.Sub(epoch)
			if st.now.Before(until.Add(HolderMargin)) || took > TTL+TakeoverMargin+TakeoverStagger+CandidatePollInterval || h.Token != 2 {
				t.Errorf("lease taken with token %d after %v; the old holder stops after %v", h.Token, took, until.Sub(epoch))
			}
			return
		}
		if st.now.Sub(epoch) > time.Minute {
			t.Fatal("no daemon took the lease")
		}
	}
}

// Guards against a lease that stays with a daemon late in rendezvous order, and against a hand-over to a daemon that
// doesn't take it.
func TestHandOver(t *testing.T) {
	st := newHeldState(t)
	st.daemons[0], st.daemons[1] = st.daemons[1], st.daemons[0] // The holder is now second in rendezvous order.
	for range 100 {
		st.now = st.now.Add(100 * time.Millisecond)
		for i := range st.daemons {
			st.tickAndReply(i)
		}
		if violation := st.violation(); violation != "" {
			t.Fatal(violation)
		}
	}
	if h, ok := st.daemons[0].Holding(st.now); !ok || h.Token != 2 {
		t.Errorf("first daemon in rendezvous order holds the lease: %v, token %d; want true, 2", ok, h.Token)
	}
}

// Guards against other daemons having to wait for the TTL after the holder restarted or resigned.
func TestResign(t *testing.T) {
	st := newHeldState(t)
	st.daemons[0].Resign(st.now)
	st.tickAndReply(0)
	if !st.daemons[0].Released() {
		t.Fatal("the release after Resign is not in the table")
	}
	for range 30 {
		st.now = st.now.Add(100 * time.Millisecond)
		st.tickAndReply(1)
	}
	if h, ok := st.daemons[1].Holding(st.now); !ok || h.Token != 2 {
		t.Errorf("second daemon holds the lease after 3 s: %v, token %d; want true, 2", ok, h.Token)
	}
}

// Compares the reads and writes of waiting and holding daemons with the figures in the package comment.
func TestLoad(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		daemons int
		most    float64
	}{{7, 1.4}, {370, 16.5}} {
		st := &modelState{now: epoch, table: fakeTable{rows: map[string]platform.Row{}}}
		for i := range x.daemons {
			st.daemons = append(st.daemons, daemon{Lease: New("x", strconv.Itoa(i))})
		}
		reads, writes := 0, 0
		const warm, span = 1200, 6000
		for n := range warm + span {
			st.now = st.now.Add(100 * time.Millisecond)
			for i := range st.daemons {
				out := st.daemons[i].Step(st.now, Tick{Op: strconv.Itoa(i) + "-" + strconv.Itoa(n), Rank: i, Jitter: float64((i*7+n*13)%100) / 100})
				for len(out) > 0 {
					a := out[len(out)-1]
					out = nil
					switch a := a.(type) {
					case Read:
						if n >= warm {
							reads++
						}
						out = st.daemons[i].Step(st.now, Row{Row: st.table.rows[a.Key]})
					case Commit:
						if n >= warm {
							writes++
						}
						out = st.daemons[i].Step(st.now, st.table.commit(a.Txn))
					}
				}
			}
		}
		r, w := float64(reads)/(span/10), float64(writes)/(span/10)
		t.Logf("%d daemons: %.2f reads/s, %.2f writes/s", x.daemons, r, w)
		if r > x.most || w > 0.51 {
			t.Errorf("%d daemons: %.2f reads/s, %.2f writes/s; at most %.1f and 0.5", x.daemons, r, w, x.most)
		}
	}
}

// Guards against a token that doesn't increase when the holder changes or its lease expires, so that old orders would
// still be accepted.
func TestTokenGrows(t *testing.T) {
	st := newHeldState(t)
	st.now = st.now.Add(TTL) // The holder was paused beyond its lease; no other daemon took it.
	if _, ok := st.daemons[0].Holding(st.now); ok {
		t.Fatal("lease is still held after its TTL")
	}
	st.tickAndReply(0)
	st.tickAndReply(0)
	if h, ok := st.daemons[0].Holding(st.now); !ok || h.Token != 2 {
		t.Errorf("lease taken again: %v, token %d; want true, 2", ok, h.Token)
	}
	var r Record
	if err := json.Unmarshal(st.table.rows["token/x"].Value, &r); err != nil || r.Token != 2 {
		t.Errorf("token row is %+v, error %v; want token 2", r, err)
	}
}

// Guards against a daemon that keeps polling at the long interval after its rank shows that the daemons before it are
// no longer live.
func TestFarTakeover(t *testing.T) {
	for wait := range 30 {
		st := newHeldState(t)
		rank, n := CandidateCount+2, 0
		tick := func() {
			n++
			d := &st.daemons[1]
			for m := Message(Tick{Op: strconv.Itoa(n), Rank: rank, Jitter: 0.5}); m != nil; {
				st.step(1, m, nil)
				m = nil
				switch a := d.request.(type) {
				case Read:
					m = Row{Row: st.table.rows[a.Key]}
				case Commit:
					m = st.table.commit(a.Txn)
				}
			}
		}
		for range 10 * (wait + 1) {
			st.now = st.now.Add(100 * time.Millisecond)
			st.tickAndReply(0)
			tick()
		}
		stopped := st.now
		for {
			st.now = st.now.Add(100 * time.Millisecond)
			if st.now.Sub(stopped) >= 2*time.Second {
				rank = 0
			}
			tick()
			took := st.now.Sub(stopped)
			if _, ok := st.daemons[1].Holding(st.now); ok {
				break
			}
			if took > 2*time.Second+TTL+TakeoverMargin+500*time.Millisecond {
				t.Fatalf("wait %d: lease not taken %v after the holder stopped", wait, took)
			}
		}
	}
}
