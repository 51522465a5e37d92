package revision

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// fleet is a small model of daemons that spread revisions: what each knows, what is on the way, and how many faults may
// still happen. It is explored in every order of delivery, loss and duplication.
type fleet struct {
	daemons [3]State
	// shown is the highest revision that each daemon has served by since it started.
	shown  [3]uint64
	wire   []packet
	faults int
	// table is how many revisions have been accepted.
	table uint64
}

type packet struct {
	to  int
	msg Message
}

func body(n uint64) Revision { return New(n, fmt.Appendf(nil, "config %d", n)) }

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// step delivers a message and puts what follows on the wire. apply is the rule under test.
func (f fleet) step(t *testing.T, i int, m Message, apply func(*State, Revision) bool) fleet {
	t.Helper()
	f.wire = append([]packet(nil), f.wire...)
	for _, a := range f.daemons[i].Step(time.Time{}, m) {
		switch a := a.(type) {
		case Apply:
			if apply(&f.daemons[i], a.Revision) {
				f.daemons[i].Step(time.Time{}, Applied{Number: a.Revision.Number})
				f.shown[i] = a.Revision.Number
			}
		case Push:
			for j := range f.daemons {
				if j != i && len(f.wire) < 4 {
					f.wire = append(f.wire, packet{j, Offered(a)})
				}
			}
		case Pull:
			for j := range f.daemons {
				if peerAddr(j) == a.Peer {
					if r, ok := f.daemons[j].Newer(a.Have); ok && len(f.wire) < 4 {
						f.wire = append(f.wire, packet{i, Offered{Revision: r, Hops: MaxHops}})
					}
				}
			}
		}
	}
	return f
}

type key struct {
	received, applied [3]uint64
	table             uint64
	wire              [4]int
	faults            int
}

// summary is the same for wires that hold the same packets, since any of them may be delivered next.
func summary(wire []packet) (out [4]int) {
	for i, p := range wire {
		o := p.msg.(Offered)
		out[i] = 1 + p.to + 3*int(o.Revision.Number) + 16*o.Hops
	}
	slices.Sort(out[:])
	return out
}

// explore visits every state that is reachable and calls check on each change of what a daemon serves by.
func explore(t *testing.T, apply func(*State, Revision) bool) (states int, reverted bool) {
	t.Helper()
	seen := map[key]bool{}
	var visit func(f fleet)
	visit = func(f fleet) {
		k := key{table: f.table, wire: summary(f.wire), faults: f.faults}
		for i := range f.daemons {
			k.received[i], k.applied[i] = f.daemons[i].Received(), f.shown[i]
		}
		if seen[k] || reverted {
			return
		}
		seen[k] = true
		next := func(n fleet) {
			for i := range n.shown {
				if n.shown[i] < f.shown[i] {
					reverted = true
				}
			}
			visit(n)
		}
		// A note is accepted at daemon 0 or 1, whichever the operator used.
		if f.table < 2 {
			for i := range 2 {
				n := f
				n.table++
				next(n.step(t, i, Offered{Revision: body(n.table)}, apply))
			}
		}
		// The last daemon reads the table; the read may have been sent before the latest commit.
		for r := uint64(1); r <= f.table; r++ {
			next(f.step(t, 2, Offered{Revision: body(r)}, apply))
		}
		for p, pk := range f.wire {
			rest := append(append([]packet(nil), f.wire[:p]...), f.wire[p+1:]...)
			n := f
			n.wire = rest
			next(n.step(t, pk.to, pk.msg, apply))
			if f.faults > 0 {
				lost := f
				lost.wire, lost.faults = rest, f.faults-1
				next(lost)
				twice := f
				twice.faults--
				next(twice.step(t, pk.to, pk.msg, apply))
			}
		}
	}
	visit(fleet{faults: 2})
	return len(seen), reverted
}

// Guards against a daemon that goes back to an older revision when messages are late, lost or repeated (promise 8).
func TestNeverReverts(t *testing.T) {
	states, reverted := explore(t, func(*State, Revision) bool { return true })
	if reverted {
		t.Fatal("a daemon went back to an older revision")
	}
	if states < 1000 {
		t.Fatalf("only %d states were explored; the model is too small to mean anything", states)
	}
	t.Logf("%d states", states)
}

// Shows that the exploration finds a revert: here the state forgets what it has received before each step.
func TestExplorationFindsRevert(t *testing.T) {
	_, reverted := explore(t, func(s *State, _ Revision) bool {
		*s = State{}
		return true
	})
	if !reverted {
		t.Fatal("a rule that forgets received revisions was not caught")
	}
}

// Guards against a daemon that stays behind when every push to it was lost: hearing of a higher number must pull it.
func TestHeardPulls(t *testing.T) {
	var a, b State
	now := time.Unix(0, 0)
	a.Step(now, Offered{Revision: body(3)})
	got := b.Step(now, Heard{Peer: peerAddr(0), Number: a.Received()})
	if len(got) != 1 || got[0] != (Pull{Peer: peerAddr(0)}) {
		t.Fatalf("actions %v, want one pull", got)
	}
	if again := b.Step(now.Add(pullAgain/2), Heard{Peer: peerAddr(1), Number: 3}); again != nil {
		t.Fatalf("pulled again after %v: %v", pullAgain/2, again)
	}
	if again := b.Step(now.Add(pullAgain), Heard{Peer: peerAddr(1), Number: 3}); len(again) != 1 {
		t.Fatalf("not pulled from another peer after %v", pullAgain)
	}
}

// Guards against serving by a body that was damaged on the way, and against silently accepting a fork.
func TestRefusesDamagedAndForked(t *testing.T) {
	var s State
	bad := body(1)
	bad.Body = []byte("config 1 damaged")
	var damaged *Damaged
	if got := s.Step(time.Time{}, Offered{Revision: bad}); len(got) != 1 || !errors.As(got[0].(Report).Err, &damaged) {
		t.Fatalf("damaged body gave %v", got)
	}
	s.Step(time.Time{}, Offered{Revision: body(1)})
	var forked *Forked
	if got := s.Step(time.Time{}, Offered{Revision: New(1, []byte("other"))}); len(got) != 1 || !errors.As(got[0].(Report).Err, &forked) {
		t.Fatalf("second body of one revision gave %v", got)
	}
	if s.Received() != 1 {
		t.Fatalf("received %d, want 1", s.Received())
	}
}
