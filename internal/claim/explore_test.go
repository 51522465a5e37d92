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

// coreFuncs are the functions under test that the exploration calls, so that a test can replace one by a broken
// variant.
type coreFuncs struct {
	decide func(platform.Row, Entry, time.Time) (Verdict, Entry, error)
	settle func(Txn, platform.Row) TxnStatus
}

type phase uint8

const (
	idle    phase = iota
	waiting       // a claim has been sent
	reading       // the reply was lost or was a conflict
	holding       // the claim is held, the call has not been sent
	called        // the call was sent
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

// modelState is one state of the state space: a table with one row, transactions in flight, two daemons and the number
// of times that the call was executed.
type modelState struct {
	row        platform.Row
	commits    uint64
	inFlight   []message
	actors     [2]actor
	runs       int
	dueElapsed bool
	ops        int
}

var (
	exploreStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	exploreDue   = exploreStart.Add(time.Minute)
)

func (st modelState) now() time.Time {
	if st.dueElapsed {
		return exploreDue.Add(time.Second)
	}
	return exploreStart
}

func (st modelState) entry(i int) Entry {
	return Entry{State: Pending, Hash: "h", Request: fmt.Sprintf("%d.%d", i, st.actors[i].request), Due: exploreDue}
}

func (st modelState) clone() modelState {
	st.inFlight = slices.Clone(st.inFlight)
	return st
}

// send puts a transaction with one change of the row in flight.
func (st *modelState) send(i int, version uint64, e Entry) Txn {
	st.ops++
	t := Txn{Op: fmt.Sprint(st.ops), Changes: []Change{{Key: "k", Version: version, Entry: e}}}
	st.inFlight = append(st.inFlight, message{i, t})
	return t
}

// apply executes a transaction at the table, which accepts it only if the row has the checked version.
func (st *modelState) apply(t Txn) bool {
	if st.row.Version != t.Changes[0].Version {
		return false
	}
	st.commits++
	b, _ := json.Marshal(t.Changes[0].Entry)
	st.row = platform.Row{Key: "k", Version: st.commits, OperationID: t.Op, Value: b}
	return true
}

// successors returns every state that can follow: a transaction is applied and its reply delivered or lost; a daemon
// takes its next step or pauses, which means any order of the others' steps; the claim's due time passes at any moment.
func (st modelState) successors(r coreFuncs) []modelState {
	var out []modelState
	add := func(f func(n *modelState)) {
		n := st.clone()
		f(&n)
		out = append(out, n)
	}
	for m, msg := range st.inFlight {
		for _, delivered := range []bool{true, false} {
			add(func(n *modelState) {
				n.inFlight = slices.Delete(n.inFlight, m, m+1)
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
	if !st.dueElapsed {
		add(func(n *modelState) { n.dueElapsed = true })
	}
	for i, a := range st.actors {
		switch a.phase {
		case idle:
			add(func(n *modelState) {
				n.actors[i].txn = n.send(i, 0, n.entry(i))
				n.actors[i].phase = waiting
			})
		case waiting:
			add(func(n *modelState) { n.actors[i].phase = reading }) // The reply was lost or is late.
		case reading:
			add(func(n *modelState) { n.read(i, r) })
		case holding:
			add(func(n *modelState) { n.runs++; n.actors[i].phase = called })
			add(func(n *modelState) { // The backend server reports that it did not execute the call.
				e := n.entry(i)
				e.State = Free
				n.send(i, a.version, e)
				n.actors[i].endRequest()
			})
		case called:
			add(func(n *modelState) {
				e := n.entry(i)
				e.State, e.Response = Done, &Response{Status: 200}
				n.send(i, a.version, e)
				n.actors[i].endRequest()
			})
			add(func(n *modelState) { n.actors[i].endRequest() }) // The response to the call was lost: the row stays pending.
		case ended:
		}
	}
	return out
}

// read does what Writer.commitTxn does after a conflict or a lost reply.
func (st *modelState) read(i int, r coreFuncs) {
	a := &st.actors[i]
	switch r.settle(a.txn, st.row) {
	case Applied:
		a.phase, a.version = holding, st.row.Version
	case Undecided:
		if a.resends++; a.resends > 1 {
			a.endRequest() // Rejected as not executed; the transaction may still be applied.
			return
		}
		st.inFlight = append(st.inFlight, message{i, a.txn})
		a.phase = waiting
	case Failed:
		verdict, _, _ := r.decide(st.row, st.entry(i), st.now())
		switch verdict {
		case Claimable:
			a.txn = st.send(i, st.row.Version, st.entry(i))
			a.phase = waiting
		case Owned:
			a.phase, a.version = holding, st.row.Version
		default:
			a.endRequest()
		}
	}
}

// endRequest finishes a request; the daemon gets one repeat of it.
func (a *actor) endRequest() {
	a.phase, a.resends = ended, 0
	if a.request == 0 {
		a.request, a.phase = 1, idle
	}
}

// encode returns a string that identifies the state by everything that its future depends on.
func (st modelState) encode() string {
	var b strings.Builder
	fmt.Fprint(&b, st.row.Version, st.row.OperationID, st.commits, st.runs, st.dueElapsed, st.ops)
	for _, m := range st.inFlight {
		fmt.Fprint(&b, "|", m.from, m.txn.Op, m.txn.Changes[0].Version, m.txn.Changes[0].Entry.State)
	}
	for _, a := range st.actors {
		fmt.Fprint(&b, "|", a.phase, a.request, a.txn.Op, a.resends, a.version)
	}
	b.Write(st.row.Value)
	return b.String()
}

// explore returns the number of states up to a depth, and the largest number of executions in any of them.
func explore(r coreFuncs, depth int) (states, runs int) {
	seen := map[string]bool{}
	level := []modelState{{row: platform.Row{Key: "k"}}}
	for range depth {
		var nextLevel []modelState
		for _, st := range level {
			for _, n := range st.successors(r) {
				key := n.encode()
				if seen[key] {
					continue
				}
				seen[key] = true
				runs = max(runs, n.runs)
				if runs > 1 {
					return len(seen), runs
				}
				nextLevel = append(nextLevel, n)
			}
		}
		level = nextLevel
	}
	return len(seen), runs
}

// Guards against a call that is executed twice (P5): no order of claims, lost replies, delayed transactions, pauses and
// repeats on two daemons up to the depth executes the call more than once. The broken variants show that the
// exploration detects such faults.
func TestAtMostOnce(t *testing.T) {
	const depth = 11
	sound := coreFuncs{Decide, Txn.Status}
	states, runs := explore(sound, depth)
	t.Logf("%d states", states)
	if runs != 1 {
		t.Errorf("the call was executed %d times, want 1", runs)
	}
	trustLostReply := coreFuncs{Decide, func(t Txn, row platform.Row) TxnStatus {
		if s := t.Status(row); s != Undecided {
			return s
		}
		return Applied // Treats a lost reply as success.
	}}
	if _, runs := explore(trustLostReply, depth); runs < 2 {
		t.Error("did not detect a variant that treats a claim with a lost reply as written")
	}
	giveAwayAfterDue := coreFuncs{func(row platform.Row, e Entry, now time.Time) (Verdict, Entry, error) {
		v, have, err := Decide(row, e, now)
		if v == OutcomeUnknown {
			v = Claimable // Gives a claim that passed its due time to the next request.
		}
		return v, have, err
	}, Txn.Status}
	if _, runs := explore(giveAwayAfterDue, depth); runs < 2 {
		t.Error("did not detect a variant that gives a claim to another request after its due time")
	}
}
