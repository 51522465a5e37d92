package election

import (
	"math/rand/v2"
	"testing"
	"time"
)

// row is the lease row of a store that answers immediately.
type row struct {
	r       Record
	version int64
}

// step lets one daemon perform its next action on the row. With lost set, the write is applied but its response is
// lost.
func (s *row) step(e *Election, now time.Duration, position int, lost bool) {
	switch e.Step(now, position) {
	case ReadLease:
		e.ReadSucceeded(now, s.r, s.version)
	case WriteLease:
		next, version := e.Next()
		if version != s.version {
			e.CallFailed()
			e.Observe(now, s.r, s.version)
			return
		}
		s.r, s.version = next, s.version+1
		if lost {
			e.CallFailed()
			return
		}
		e.WriteSucceeded(now, next, s.version)
	}
}

// TestOneHolder guards against two daemons sending orders at the same time, with random pauses, lost write responses
// and missing announcements of the holder. A paused daemon does not step, like a process on a suspended machine.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &row{}
		elections := []*Election{New("a"), New("b"), New("c")}
		pausedUntil := make([]time.Duration, len(elections))
		tokens := map[int64]string{}
		for now := time.Duration(0); now < 60*time.Second; now += 25 * time.Millisecond {
			for i, e := range elections {
				if now < pausedUntil[i] {
					continue
				}
				if r.IntN(400) == 0 {
					pausedUntil[i] = now + time.Duration(r.IntN(6000))*time.Millisecond
					continue
				}
				s.step(e, now, i, r.IntN(20) == 0)
				if token, ok := e.Holding(now); ok {
					if who := tokens[token]; who != "" && who != e.self {
						t.Fatalf("seed %d: token %d held by %s and %s", seed, token, who, e.self)
					}
					tokens[token] = e.self
					// Announcements of the holder reach the others only sometimes.
					for _, o := range elections {
						if o != e && r.IntN(3) == 0 {
							o.Observe(now, e.record, e.version)
						}
					}
				}
			}
			holders := 0
			for _, e := range elections {
				if _, ok := e.Holding(now); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("seed %d: %d holders at %v", seed, holders, now)
			}
		}
		if len(tokens) == 0 {
			t.Fatalf("seed %d: no daemon ever held the lease", seed)
		}
	}
}

// TestTakeover guards against a fleet without a holder after the holder is lost.
func TestTakeover(t *testing.T) {
	s := &row{}
	a, b := New("a"), New("b")
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		s.step(a, now, 0, false)
		b.Observe(now, s.r, s.version)
	}
	if _, ok := a.Holding(now); !ok {
		t.Fatal("a does not hold the lease")
	}
	lost := now
	for ; now < lost+10*time.Second; now += 50 * time.Millisecond {
		s.step(b, now, 1, false)
		if token, ok := b.Holding(now); ok {
			if token != 2 {
				t.Errorf("token %d, want 2", token)
			}
			if took := now - lost; took > TTL+Stagger+readInterval+100*time.Millisecond {
				t.Errorf("takeover took %v", took)
			}
			return
		}
	}
	t.Error("the lease was not taken over")
}

// TestStopsBeforeTakeover guards against a holder whose renewals fail still acting once other daemons may take the
// lease.
func TestStopsBeforeTakeover(t *testing.T) {
	e := New("a")
	e.ReadSucceeded(0, Record{}, 0)
	e.WriteSucceeded(time.Second, Record{Holder: "a", Token: 1}, 5)
	if _, ok := e.Holding(time.Second + TTL - Guard - 1); !ok {
		t.Error("does not hold the lease before the guard time")
	}
	if _, ok := e.Holding(time.Second + TTL - Guard); ok {
		t.Error("still holds the lease within the guard time")
	}
}

// TestCallsWhileStoreIsUnavailable guards against a fleet that keeps reading the lease row while the store rejects
// calls: only the daemons at the front of the takeover order may retry often.
func TestCallsWhileStoreIsUnavailable(t *testing.T) {
	const away = 10 * time.Second
	calls := 0
	for position := range 200 {
		e := New("a")
		e.Observe(0, Record{Holder: "x", Token: 1}, 5)
		own := 0
		for now := time.Duration(0); now < away; now += 50 * time.Millisecond {
			if e.Step(now, position) != Wait {
				own++
				e.CallFailed()
			}
		}
		if position == 0 && own < int((away-TTL)/time.Second) {
			t.Errorf("the first daemon in the takeover order makes only %d calls", own)
		}
		calls += own
	}
	if limit := 30 * int(away/time.Second); calls > limit {
		t.Errorf("%d calls by 200 daemons, want at most %d", calls, limit)
	}
	holder := New("a")
	holder.WriteSucceeded(0, Record{Holder: "a", Token: 1}, 5)
	calls = 0
	for now := time.Duration(0); now < away; now += 50 * time.Millisecond {
		if holder.Step(now, 0) != Wait {
			calls++
			holder.CallFailed()
		}
	}
	if limit := int(away/readInterval) + 1; calls > limit || calls < limit/2 {
		t.Errorf("%d calls by the holder, want about %d", calls, limit)
	}
}

// TestRestartedHolderTakesOver guards against a fleet without repair of its groups for a whole TTL after all daemons
// restarted together: the row still names the previous holder, which runs again and cannot hold it twice.
func TestRestartedHolderTakesOver(t *testing.T) {
	s := &row{r: Record{Holder: "b", Token: 7}, version: 40}
	holder, other := New("b"), New("a")
	for now := time.Duration(0); now < time.Second; now += 25 * time.Millisecond {
		s.step(other, now, 0, false)
		s.step(holder, now, 1, false)
		if _, ok := other.Holding(now); ok {
			t.Fatalf("%v: a daemon that was not the holder took the lease within its TTL", now)
		}
	}
	if token, ok := holder.Holding(time.Second); !ok || token != 8 {
		t.Errorf("token %d, holding %v one second after the restart, want 8 and true", token, ok)
	}
}
