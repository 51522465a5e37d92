package revision

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// fleet is a small model of daemons that propagate revisions: the state of each, the messages in flight, and the number
// of faults that may still occur. The tests explore it in every order of delivery, loss and duplication.
type fleet struct {
	daemons [3]State
	// current is the revision that each daemon uses. It is kept apart from State, which a rule under test may reset.
	current  [3]uint64
	inFlight []packet
	faults   int
	// accepted is the number of revisions in the table.
	accepted uint64
}

type packet struct {
	to  int
	msg Message
}

func testRevision(n uint64) Revision { return New(n, fmt.Appendf(nil, "config %d", n)) }

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// step delivers a message and adds the resulting messages to those in flight. apply is called for each Apply action and
// tells whether the daemon applies the revision.
func (f fleet) step(t *testing.T, i int, m Message, apply func(*State, Revision) bool) fleet {
	t.Helper()
	f.inFlight = append([]packet(nil), f.inFlight...)
	for _, a := range f.daemons[i].Step(time.Time{}, m) {
		switch a := a.(type) {
		case Apply:
			if apply(&f.daemons[i], a.Revision) {
				f.daemons[i].Step(time.Time{}, Applied{Number: a.Revision.Number})
				f.current[i] = a.Revision.Number
			}
		case Push:
			for j := range f.daemons {
				if j != i && len(f.inFlight) < 4 {
					f.inFlight = append(f.inFlight, packet{j, Offered(a)})
				}
			}
		case Pull:
			for j := range f.daemons {
				if peerAddr(j) == a.Peer {
					if r, ok := f.daemons[j].Newer(a.Have); ok && len(f.inFlight) < 4 {
						f.inFlight = append(f.inFlight, packet{i, Offered{Revision: r, Hops: MaxHops}})
					}
				}
			}
		}
	}
	return f
}

// stateKey identifies a state of the model.
type stateKey struct {
	received, applied [3]uint64
	accepted          uint64
	inFlight          [4]int
	faults            int
}

// inFlightKey encodes the packets in flight. It does not depend on their order, since any of them may be delivered next.
func inFlightKey(packets []packet) (out [4]int) {
	for i, p := range packets {
		o := p.msg.(Offered)
		out[i] = 1 + p.to + 3*int(o.Revision.Number) + 16*o.Hops
	}
	slices.Sort(out[:])
	return out
}

// explore visits every reachable state until a daemon goes back to a lower revision. It returns the number of states
// visited and whether a daemon went back.
func explore(t *testing.T, apply func(*State, Revision) bool) (states int, reverted bool) {
	t.Helper()
	seen := map[stateKey]bool{}
	var visit func(f fleet)
	visit = func(f fleet) {
		k := stateKey{accepted: f.accepted, inFlight: inFlightKey(f.inFlight), faults: f.faults}
		for i := range f.daemons {
			k.received[i], k.applied[i] = f.daemons[i].Received(), f.current[i]
		}
		if seen[k] || reverted {
			return
		}
		seen[k] = true
		next := func(n fleet) {
			for i := range n.current {
				if n.current[i] < f.current[i] {
					reverted = true
				}
			}
			visit(n)
		}
		// The operator submits a release note at daemon 0 or 1.
		if f.accepted < 2 {
			for i := range 2 {
				n := f
				n.accepted++
				next(n.step(t, i, Offered{Revision: testRevision(n.accepted)}, apply))
			}
		}
		// The last daemon reads the table. The read may be stale, that is, sent before the latest commit.
		for r := uint64(1); r <= f.accepted; r++ {
			next(f.step(t, 2, Offered{Revision: testRevision(r)}, apply))
		}
		for p, pk := range f.inFlight {
			rest := append(append([]packet(nil), f.inFlight[:p]...), f.inFlight[p+1:]...)
			n := f
			n.inFlight = rest
			next(n.step(t, pk.to, pk.msg, apply))
			if f.faults > 0 {
				dropped := f
				dropped.inFlight, dropped.faults = rest, f.faults-1
				next(dropped)
				duplicated := f
				duplicated.faults--
				next(duplicated.step(t, pk.to, pk.msg, apply))
			}
		}
	}
	visit(fleet{faults: 2})
	return len(seen), reverted
}

// TestNeverReverts guards against a daemon that goes back to an older revision when messages are delayed, lost or
// duplicated (promise 8).
func TestNeverReverts(t *testing.T) {
	states, reverted := explore(t, func(*State, Revision) bool { return true })
	if reverted {
		t.Fatal("a daemon went back to an older revision")
	}
	if states < 1000 {
		t.Fatalf("only %d states explored, want at least 1000; the model is too small to be meaningful", states)
	}
	t.Logf("%d states explored", states)
}

// TestExplorationFindsRevert checks that the exploration detects a revert. Its rule resets the state of a daemon at each
// Apply action, so that the daemon accepts older revisions.
func TestExplorationFindsRevert(t *testing.T) {
	_, reverted := explore(t, func(s *State, _ Revision) bool {
		*s = State{}
		return true
	})
	if !reverted {
		t.Fatal("the exploration did not detect the revert of a daemon that forgets received revisions")
	}
}

// TestPullsHigherRevision guards against a daemon that stays on an old revision when every push to it was lost: it must
// pull when a peer reports a higher number.
func TestPullsHigherRevision(t *testing.T) {
	var a, b State
	now := time.Unix(0, 0)
	a.Step(now, Offered{Revision: testRevision(3)})
	got := b.Step(now, Announced{Peer: peerAddr(0), Number: a.Received()})
	if len(got) != 1 || got[0] != (Pull{Peer: peerAddr(0)}) {
		t.Fatalf("actions %v, want one pull", got)
	}
	if again := b.Step(now.Add(pullRetryDelay/2), Announced{Peer: peerAddr(1), Number: 3}); again != nil {
		t.Fatalf("pulled again after only %v: %v", pullRetryDelay/2, again)
	}
	if again := b.Step(now.Add(pullRetryDelay), Announced{Peer: peerAddr(1), Number: 3}); len(again) != 1 {
		t.Fatalf("not pulled from another peer after %v", pullRetryDelay)
	}
}

// TestRejectsCorruptAndConflicting guards against applying a body that was corrupted in transit, and against silently
// accepting two different bodies for one revision.
func TestRejectsCorruptAndConflicting(t *testing.T) {
	var s State
	corrupt := testRevision(1)
	corrupt.Body = []byte("config 1 damaged")
	var digestErr *DigestError
	if got := s.Step(time.Time{}, Offered{Revision: corrupt}); len(got) != 1 || !errors.As(got[0].(LogError).Err, &digestErr) {
		t.Fatalf("body with a wrong digest: actions %v, want one report", got)
	}
	s.Step(time.Time{}, Offered{Revision: testRevision(1)})
	var conflictErr *ConflictError
	if got := s.Step(time.Time{}, Offered{Revision: New(1, []byte("other"))}); len(got) != 1 || !errors.As(got[0].(LogError).Err, &conflictErr) {
		t.Fatalf("second body for one revision: actions %v, want one report", got)
	}
	if s.Received() != 1 {
		t.Fatalf("received %d, want 1", s.Received())
	}
}
