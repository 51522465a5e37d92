package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func named(id string, born int64, rate float64) LimitNotice {
	return LimitNotice{Server: id, Born: born, Limited: true, Rate: rate, SentAgo: 100 * time.Millisecond}
}

// TestLimitOfAllDaemons guards against daemons that keep to a limit one by one but not together, and against daemons that
// send at once when they learn of it. Callers ask each of them all the time.
func TestLimitOfAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 7, 195} {
		for _, rate := range []float64{0.5, 6, 40} {
			t.Run(fmt.Sprint(daemons, " daemons ", rate), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, uint64(daemons)))
				start := time.Unix(1000, 0)
				all := make([]*Limits, daemons)
				for i := range all {
					all[i] = NewLimits()
					all[i].Observe(start, named("a", 1, rate), true, r.Float64)
				}
				share := 1 / float64(daemons)
				const window = 4 * time.Second
				var sent []time.Time
				for now := start; now.Sub(start) < 10*window; now = now.Add(25 * time.Millisecond) {
					for _, l := range all {
						n, limited := l.Allowance(now, "a", 1, share)
						if !limited {
							t.Fatal("the limit is not known")
						}
						for ; n > 0; n-- {
							l.Take("a")
							sent = append(sent, now)
						}
					}
				}
				for i := range sent {
					n := 0
					for n < len(sent)-i && sent[i+n].Sub(sent[i]) < window {
						n++
					}
					if most := 1.5*rate*window.Seconds() + 5; float64(n) > most {
						t.Fatalf("%d requests in %v, at most %v are allowed", n, window, most)
					}
				}
				if least := rate * (10 * window).Seconds() * 0.75; float64(len(sent)) < least {
					t.Errorf("%d requests in %v, the limit allows %v", len(sent), 10*window, rate*(10*window).Seconds())
				}
			})
		}
	}
}

// TestLimitEnds guards against a limit that stays although the server no longer names it, and against one that is given up
// because of an answer to an earlier request or of an earlier lifetime.
func TestLimitEnds(t *testing.T) {
	zero := func() float64 { return 0 }
	l, now := NewLimits(), time.Unix(1000, 0)
	limited := func(born int64) bool {
		_, ok := l.Allowance(now, "a", born, 1)
		return ok
	}
	if l.Observe(now, LimitNotice{Server: "a", Born: 1}, true, zero) != Unchanged || limited(1) {
		t.Error("a limit without a notice")
	}
	if l.Observe(now, named("a", 1, 5), true, zero) != Named || l.Observe(now, named("a", 1, 6), true, zero) != Confirmed || !limited(1) {
		t.Error("the limit is not known")
	}
	now = now.Add(50 * time.Millisecond)
	if l.Observe(now, LimitNotice{Server: "a", Born: 1, SentAgo: 100 * time.Millisecond}, true, zero) != Unchanged || !limited(1) {
		t.Error("an answer to an earlier request ends the limit")
	}
	if l.Observe(now, LimitNotice{Server: "a", Born: 1, SentAgo: 20 * time.Millisecond}, true, zero) != Lifted || limited(1) {
		t.Error("the limit does not end")
	}
	for range 1000 {
		l.Take("a")
	}
	now = now.Add(time.Second)
	l.Observe(now, named("a", 1, 5), true, zero)
	if next := l.Next(now, "a", 1, 1); !next.IsZero() {
		t.Errorf("requests that were sent without a limit hold back the next one for %v", next.Sub(now))
	}
	if limited(2) {
		t.Error("the limit holds for the next lifetime")
	}
	l.Observe(now, named("a", 2, 5), true, zero)
	if l.Observe(now, LimitNotice{Server: "a", Born: 1, SentAgo: -time.Second}, true, zero) != Unchanged || !limited(2) {
		t.Error("an answer of the earlier lifetime ends the limit")
	}
	if got := l.Advertised(now); len(got) != 1 || got[0].Rate != 5 || len(l.Advertised(now.Add(2*limitAdvertisePeriod))) != 0 {
		t.Errorf("told to other daemons: %+v", got)
	}
}

// TestLimitOfZero guards against never asking a server again that takes nothing for a while.
func TestLimitOfZero(t *testing.T) {
	l, now := NewLimits(), time.Unix(1000, 0)
	l.Observe(now, named("a", 1, 0), true, func() float64 { return 0 })
	if next := l.Next(now, "a", 1, 1); next.IsZero() || next.Sub(now) > 10*time.Second {
		t.Errorf("next request in %v", next.Sub(now))
	}
}

// TestLimitMemory guards against memory that grows with the servers that have named limits.
func TestLimitMemory(t *testing.T) {
	l, now := NewLimits(), time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(time.Second)
		l.Observe(now, named(fmt.Sprint(i), 1, 5), true, func() float64 { return 0 })
	}
	if got, most := l.Len(), int(limitRetention.Seconds())+1; got > most {
		t.Errorf("%d limits are kept, at most %d were named lately", got, most)
	}
}
