package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/platform"
)

// rules are the parts of the pure core that the exploration drives, so that a broken one can be put in its place.
type rules struct {
	decide func(platform.Row, Entry, time.Time) (Verdict, Entry, error)
	settle func(Txn, platform.Row) Settled
}

type phase uint8

const (
	idle    phase = iota
	waiting       // a claim has been sent
	reading       // its answer was lost or was a conflict
	holding       // the claim is held, the booking not sent
	called        // the booking was sent
	ended
)

// actor is one daemon, which handles repeats of the same call one after the other.
type actor struct {
	phase   phase
	request int
	txn     Txn
	resends int
	version uint64
}

type message struct {
	from int
	txn  Txn
}

// world is one state of the exploration: a table with one row, transactions on their way, two daemons and the number
// of times that the booking was run.
type world struct {
	row     platform.Row
	commits uint64
	flight  []message
	actors  [2]actor
	runs    int
	expired bool
	ops     int
}

var (
	exploreStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	exploreDue   = exploreStart.Add(time.Minute)
)

func (w world) now() time.Time {
	if w.expired {
		return exploreDue.Add(time.Second)
	}
	return exploreStart
}

func (w world) entry(i int) Entry {
	return Entry{State: Pending, Hash: "h", Request: fmt.Sprintf("%d.%d", i, w.actors[i].request), Due: exploreDue}
}

func (w world) copy() world {
	w.flight = slices.Clone(w.flight)
	return w
}

// send puts a transaction with one change of the row on its way.
func (w *world) send(i int, version uint64, e Entry) Txn {
	w.ops++
	t := Txn{Op: fmt.Sprint(w.ops), Changes: []Change{{Key: "k", Version: version, Entry: e}}}
	w.flight = append(w.flight, message{i, t})
	return t
}

// apply carries out a transaction at the table, which accepts it only at the checked version.
func (w *world) apply(t Txn) bool {
	if w.row.Version != t.Changes[0].Version {
		return false
	}
	w.commits++
	b, _ := json.Marshal(t.Changes[0].Entry)
	w.row = platform.Row{Key: "k", Version: w.commits, Op: t.Op, Value: b}
	return true
}

// next returns every state that can follow: each message may be applied, its answer delivered or lost; each daemon may
// take its next step or pause, which is any order of the others' steps; a claim may run out at any moment.
func (w world) next(r rules) []world {
	var out []world
	add := func(f func(n *world)) {
		n := w.copy()
		f(&n)
		out = append(out, n)
	}
	for m, msg := range w.flight {
		for _, delivered := range []bool{true, false} {
			add(func(n *world) {
				n.flight = slices.Delete(n.flight, m, m+1)
				ok := n.apply(msg.txn)
				a := &n.actors[msg.from]
				if !delivered || a.phase != waiting || a.txn.Op != msg.txn.Op {
					return
				}
				a.phase = reading
				if ok {
					a.phase, a.version = holding, n.row.Version
				}
			})
		}
	}
	if !w.expired {
		add(func(n *world) { n.expired = true })
	}
	for i, a := range w.actors {
		switch a.phase {
		case idle:
			add(func(n *world) {
				n.actors[i].txn = n.send(i, 0, n.entry(i))
				n.actors[i].phase = waiting
			})
		case waiting:
			add(func(n *world) { n.actors[i].phase = reading }) // The answer was lost or is late.
		case reading:
			add(func(n *world) { n.read(i, r) })
		case holding:
			add(func(n *world) { n.runs++; n.actors[i].phase = called })
			add(func(n *world) { // The backend server proves that it did not run the call.
				e := n.entry(i)
				e.State = Free
				n.send(i, a.version, e)
				n.actors[i].end()
			})
		case called:
			add(func(n *world) {
				e := n.entry(i)
				e.State, e.Answer = Done, &Answer{Status: 200}
				n.send(i, a.version, e)
				n.actors[i].end()
			})
			add(func(n *world) { n.actors[i].end() }) // The answer of the booking was lost: the row stays pending.
		case ended:
		}
	}
	return out
}

// read is what Keeper.commit does after a conflict or a lost answer.
func (w *world) read(i int, r rules) {
	a := &w.actors[i]
	switch r.settle(a.txn, w.row) {
	case Applied:
		a.phase, a.version = holding, w.row.Version
	case Open:
		if a.resends++; a.resends > 1 {
			a.end() // Refused as not run; the transaction may still be applied.
			return
		}
		w.flight = append(w.flight, message{i, a.txn})
		a.phase = waiting
	case Failed:
		verdict, _, _ := r.decide(w.row, w.entry(i), w.now())
		switch verdict {
		case Claimable:
			a.txn = w.send(i, w.row.Version, w.entry(i))
			a.phase = waiting
		case Mine:
			a.phase, a.version = holding, w.row.Version
		default:
			a.end()
		}
	}
}

// end finishes a request; the daemon gets one repeat of it.
func (a *actor) end() {
	a.phase, a.resends = ended, 0
	if a.request == 0 {
		a.request, a.phase = 1, idle
	}
}

// key names the state by all that its future depends on.
func (w world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.row.Version, w.row.Op, w.commits, w.runs, w.expired, w.ops)
	for _, m := range w.flight {
		fmt.Fprint(&b, "|", m.from, m.txn.Op, m.txn.Changes[0].Version, m.txn.Changes[0].Entry.State)
	}
	for _, a := range w.actors {
		fmt.Fprint(&b, "|", a.phase, a.request, a.txn.Op, a.resends, a.version)
	}
	b.Write(w.row.Value)
	return b.String()
}

// explore returns the number of states seen up to a depth, and the greatest number of runs in any of them.
func explore(r rules, depth int) (states, runs int) {
	seen := map[string]bool{}
	level := []world{{row: platform.Row{Key: "k"}}}
	for range depth {
		var following []world
		for _, w := range level {
			for _, n := range w.next(r) {
				key := n.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				runs = max(runs, n.runs)
				if runs > 1 {
					return len(seen), runs
				}
				following = append(following, n)
			}
		}
		level = following
	}
	return len(seen), runs
}

// Guards against a booking that runs twice (P5): every order of claims, lost answers, late transactions, pauses and
// repeats at two daemons up to the depth runs the booking at most once. The broken variants show that the exploration
// finds the faults it is there for.
func TestAtMostOnce(t *testing.T) {
	const depth = 11
	sound := rules{Decide, Txn.Settle}
	states, runs := explore(sound, depth)
	t.Logf("%d states", states)
	if runs != 1 {
		t.Errorf("the booking ran %d times, want 1", runs)
	}
	trusting := rules{Decide, func(t Txn, row platform.Row) Settled {
		if s := t.Settle(row); s != Open {
			return s
		}
		return Applied // Takes a lost answer for success.
	}}
	if _, runs := explore(trusting, depth); runs < 2 {
		t.Error("a claim that is taken for written after a lost answer was not found")
	}
	expiring := rules{func(row platform.Row, e Entry, now time.Time) (Verdict, Entry, error) {
		v, have, err := Decide(row, e, now)
		if v == Lost {
			v = Claimable // Gives a claim that ran out to the next request.
		}
		return v, have, err
	}, Txn.Settle}
	if _, runs := explore(expiring, depth); runs < 2 {
		t.Error("a claim that is given away after its due time was not found")
	}
}
