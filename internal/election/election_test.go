package election

import (
	"math/rand/v2"
	"testing"
	"time"
)

// row is the lease row of a store that answers at once.
type row struct {
	r       Record
	version int64
}

// step lets one daemon act on the row. lost drops the answer of a write.
func (s *row) step(e *Election, now time.Duration, place int, lost bool) {
	switch e.Step(now, place) {
	case Look:
		e.Read(now, s.r, s.version)
	case Write:
		next, version := e.Next()
		if version != s.version {
			e.Failed()
			e.Learn(now, s.r, s.version)
			return
		}
		s.r, s.version = next, s.version+1
		if lost {
			e.Failed()
			return
		}
		e.Written(now, next, s.version)
	}
}

// TestOneHolder guards against two daemons giving orders at once, over random pauses, lost answers and missing word of the
// holder. A paused daemon does not step, as if its machine were suspended.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &row{}
		es := []*Election{New("a"), New("b"), New("c")}
		paused := make([]time.Duration, len(es))
		tokens := map[int64]string{}
		for now := time.Duration(0); now < 60*time.Second; now += 25 * time.Millisecond {
			for i, e := range es {
				if now < paused[i] {
					continue
				}
				if r.IntN(400) == 0 {
					paused[i] = now + time.Duration(r.IntN(6000))*time.Millisecond
					continue
				}
				s.step(e, now, i, r.IntN(20) == 0)
				if token, ok := e.Holding(now); ok {
					if who := tokens[token]; who != "" && who != e.self {
						t.Fatalf("seed %d: token %d held by %s and %s", seed, token, who, e.self)
					}
					tokens[token] = e.self
					// Word of the holder reaches the others now and then.
					for _, o := range es {
						if o != e && r.IntN(3) == 0 {
							o.Learn(now, e.record, e.version)
						}
					}
				}
			}
			holders := 0
			for _, e := range es {
				if _, ok := e.Holding(now); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("seed %d: %d holders at %v", seed, holders, now)
			}
		}
		if len(tokens) == 0 {
			t.Fatalf("seed %d: nobody ever held the lease", seed)
		}
	}
}

// TestTakeover guards against a fleet that stays without a holder after the loss of one.
func TestTakeover(t *testing.T) {
	s := &row{}
	a, b := New("a"), New("b")
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		s.step(a, now, 0, false)
		b.Learn(now, s.r, s.version)
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
			if took := now - lost; took > TTL+Stagger+lookPeriod+100*time.Millisecond {
				t.Errorf("took %v", took)
			}
			return
		}
	}
	t.Error("the lease was not taken over")
}

// TestStopsBeforeOthersTake guards against a holder whose renewals fail acting when the lease is free for others.
func TestStopsBeforeOthersTake(t *testing.T) {
	e := New("a")
	e.Read(0, Record{}, 0)
	e.Written(time.Second, Record{Holder: "a", Token: 1}, 5)
	if _, ok := e.Holding(time.Second + TTL - Guard - 1); !ok {
		t.Error("does not hold a fresh lease")
	}
	if _, ok := e.Holding(time.Second + TTL - Guard); ok {
		t.Error("holds a lease that is about to be free")
	}
}

// TestCallsWhileTheStoreIsAway guards against a fleet that reads the lease row again and again while the store refuses: only
// the first in order try often.
func TestCallsWhileTheStoreIsAway(t *testing.T) {
	const away = 10 * time.Second
	calls := 0
	for place := range 200 {
		e := New("a")
		e.Learn(0, Record{Holder: "x", Token: 1}, 5)
		mine := 0
		for now := time.Duration(0); now < away; now += 50 * time.Millisecond {
			if e.Step(now, place) != Wait {
				mine++
				e.Failed()
			}
		}
		if place == 0 && mine < int((away-TTL)/time.Second) {
			t.Errorf("the first in order tries %d times", mine)
		}
		calls += mine
	}
	if most := 30 * int(away/time.Second); calls > most {
		t.Errorf("%d calls of 200 daemons, want at most %d", calls, most)
	}
	holder := New("a")
	holder.Written(0, Record{Holder: "a", Token: 1}, 5)
	calls = 0
	for now := time.Duration(0); now < away; now += 50 * time.Millisecond {
		if holder.Step(now, 0) != Wait {
			calls++
			holder.Failed()
		}
	}
	if most := int(away/lookPeriod) + 1; calls > most || calls < most/2 {
		t.Errorf("%d calls of the holder, want about %d", calls, most)
	}
}
