package election

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/era"
)

// at returns a position in a store that names no era.
func at(version int64) era.Position { return era.Position{Version: version} }

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
		e.ReadSucceeded(now, s.r, at(s.version))
	case WriteLease:
		next, position := e.Next()
		if position != at(s.version) {
			e.CallFailed()
			e.Observe(now, s.r, at(s.version))
			return
		}
		s.r, s.version = next, s.version+1
		if lost {
			e.CallFailed()
			return
		}
		e.WriteSucceeded(now, next, 0, at(s.version))
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
							o.Observe(now, e.record, e.position)
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
		b.Observe(now, s.r, at(s.version))
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
	e.ReadSucceeded(0, Record{}, at(0))
	e.WriteSucceeded(time.Second, Record{Holder: "a", Token: 1}, 0, at(5))
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
		e.Observe(0, Record{Holder: "x", Token: 1}, at(5))
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
	holder.WriteSucceeded(0, Record{Holder: "a", Token: 1}, 0, at(5))
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

// restorable is a store that keeps a lease row for each era and may be restored from an earlier copy of itself.
type restorable struct {
	era, version int64
	rows         map[int64]row
}

func (s *restorable) copy() restorable {
	out := *s
	out.rows = map[int64]row{}
	for n, r := range s.rows {
		out.rows[n] = r
	}
	return out
}

// leaseCall is a call for the lease under way. The store performs it at one time and the daemon learns the outcome at another.
type leaseCall struct {
	e                     *Election
	write                 bool
	next                  Record
	expected              era.Position
	sent, performed, done time.Duration
	// lost is set if the answer does not arrive, ended when the daemon has it or gave up.
	lost, ended bool
	answer      func(now time.Duration)
}

func (c *leaseCall) perform(s *restorable) {
	if !c.write {
		n, r := s.era, s.rows[s.era]
		c.answer = func(now time.Duration) { c.e.ReadSucceeded(now, r.r, era.Position{Era: n, Version: r.version}) }
		return
	}
	key, n := c.expected.Era, s.era
	if r := s.rows[key]; r.version != c.expected.Version {
		c.answer = func(now time.Duration) {
			c.e.CallFailed()
			c.e.ObserveEra(now, n)
			if n == key {
				c.e.Observe(now, r.r, era.Position{Era: n, Version: r.version})
			}
		}
		return
	}
	s.version++
	s.rows[key] = row{c.next, s.version}
	position := era.Position{Era: n, Version: s.version}
	c.answer = func(now time.Duration) {
		c.e.ObserveEra(now, n)
		c.e.WriteSucceeded(c.sent, c.next, key, position)
	}
}

// TestOneHolderAcrossRestores guards against two daemons sending orders at the same time, or under one token, after the store
// was restored from a backup, and against a lease that nobody takes again. Calls are late, answers are lost, daemons pause and
// restart without memory.
func TestOneHolderAcrossRestores(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := &restorable{era: 1, rows: map[int64]row{}}
		copies := []restorable{s.copy()}
		names := []string{"a", "b", "c"}
		elections := []*Election{New("a"), New("b"), New("c")}
		lifetimes, pausedUntil := make([]int, 3), make([]time.Duration, 3)
		tokens := map[int64]string{}
		var calls []*leaseCall
		calm, held := time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < 90*time.Second; now += 25 * time.Millisecond {
			s.version += r.Int64N(3) // other rows
			if quiet := now > 75*time.Second; !quiet {
				calm = now
				if r.IntN(40) == 0 {
					copies = append(copies, s.copy())
				}
				if r.IntN(200) == 0 {
					back := copies[max(0, len(copies)-1-r.IntN(12))].copy()
					back.era = s.era + 1
					*s = back
				}
			}
			for i, e := range elections {
				if now < pausedUntil[i] {
					continue
				}
				if now == calm && r.IntN(400) == 0 {
					pausedUntil[i] = now + time.Duration(r.IntN(6000))*time.Millisecond
					continue
				}
				if now == calm && r.IntN(600) == 0 {
					lifetimes[i]++
					elections[i] = New(names[i])
					e = elections[i]
				}
				if r.IntN(8) == 0 {
					e.ObserveEra(now, s.era) // by another call
				}
				action := e.Step(now, i)
				if action == Wait {
					continue
				}
				c := &leaseCall{e: e, write: action == WriteLease, sent: now}
				c.next, c.expected = e.Next()
				c.performed = now + time.Duration(r.IntN(100))*time.Millisecond
				if now == calm && r.IntN(10) == 0 {
					c.performed = now + time.Duration(r.IntN(8000))*time.Millisecond
				}
				c.done = c.performed + time.Duration(r.IntN(100))*time.Millisecond
				c.lost = now == calm && r.IntN(20) == 0
				calls = append(calls, c)
			}
			calls = slices.DeleteFunc(calls, func(c *leaseCall) bool {
				if c.answer == nil && now >= c.performed {
					c.perform(s)
				}
				i := slices.Index(elections, c.e)
				switch {
				case i < 0:
					c.ended = true // the daemon has restarted
				case c.ended || now < pausedUntil[i]:
				case now >= c.sent+1500*time.Millisecond:
					c.ended = true
					c.e.CallFailed()
				case c.answer != nil && now >= c.done && !c.lost:
					c.ended = true
					c.answer(now)
				}
				return c.ended && c.answer != nil
			})
			holders := 0
			for i, e := range elections {
				token, ok := e.Holding(now)
				if !ok {
					continue
				}
				holders++
				held = now
				who := fmt.Sprint(e.self, lifetimes[i])
				if tokens[token] != "" && tokens[token] != who {
					t.Fatalf("seed %d: token %d held by %s and %s", seed, token, tokens[token], who)
				}
				tokens[token] = who
				for _, o := range elections {
					if o != e && r.IntN(3) == 0 {
						o.Observe(now, e.record, e.position)
					}
				}
			}
			if holders > 1 {
				t.Fatalf("seed %d: %d holders at %v", seed, holders, now)
			}
		}
		if held < 89*time.Second {
			t.Fatalf("seed %d: nobody holds the lease at the end, last at %v", seed, held)
		}
	}
}

// TestHolderInNewEra guards against a former holder, whose time had ended when the store was restored, taking the lease at once
// while its successor still acts, and against a gap in orders when the holder's time had not ended.
func TestHolderInNewEra(t *testing.T) {
	for learned, want := range map[time.Duration]struct {
		after time.Duration
		token int64
	}{
		TTL - Guard - 1: {0, 1},
		TTL - Guard:     {TTL, firstToken(2)},
	} {
		e := New("a")
		e.ReadSucceeded(0, Record{}, era.Position{Era: 1})
		e.WriteSucceeded(0, Record{Holder: "a", Token: 1}, 1, era.Position{Era: 1, Version: 5})
		e.ObserveEra(learned, 2)
		for now := learned; ; now += 50 * time.Millisecond {
			switch e.Step(now, 0) {
			case ReadLease:
				e.ReadSucceeded(now, Record{}, era.Position{Era: 2})
				continue
			case Wait:
				continue
			}
			next, expected := e.Next()
			if took := now - learned; took < want.after || took > want.after+Renewal || next.Token != want.token || expected != (era.Position{Era: 2}) {
				t.Errorf("learned %v after its renewal, the holder takes the lease after %v with token %d at %v, want %v and token %d", learned, took, next.Token, expected, want.after, want.token)
			}
			break
		}
	}
}
