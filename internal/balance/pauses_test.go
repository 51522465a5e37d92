package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPauses guards against requests to a backend server that asked for none, and against all that waits going there at the
// end of the pause.
func TestPauses(t *testing.T) {
	p := NewPauses()
	now := time.Now()
	none := func() float64 { return 0 }
	if !p.Usable(now, "a") || !p.Begin(now, "a") {
		t.Error("a backend server that asked for nothing is left out")
	}
	if !p.Ask(now, "a", 2*time.Second, none) || p.Ask(now, "a", time.Second, none) {
		t.Error("a pause begins once")
	}
	// An answer to a request that was sent before the pause does not end it.
	p.Answered(now, "a")
	for _, d := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		if p.Usable(now.Add(d), "a") || p.Begin(now.Add(d), "a") {
			t.Errorf("in use %v after it asked for a pause of 2 s", d)
		}
	}
	if got := p.Until(now, "a"); !got.Equal(now.Add(2 * time.Second)) {
		t.Errorf("until %v", got.Sub(now))
	}
	now = now.Add(2 * time.Second)
	if !p.Usable(now, "a") || !p.Begin(now, "a") {
		t.Error("left out after its pause")
	}
	if p.Usable(now, "a") || p.Begin(now, "a") {
		t.Error("a second request before the first is answered")
	}
	if !p.Usable(now.Add(trialTime), "a") {
		t.Error("a request without an answer keeps others back for ever")
	}
	p.Answered(now, "a")
	for range 2 {
		if !p.Begin(now, "a") {
			t.Error("left out after an answer")
		}
	}
}

// TestShedReplay replays a backend server of 20 places that sheds for three seconds while 50 daemons send it a request each 50
// ms, and asks for pauses of half a second. It must see few requests in its pauses, from each daemon at most the two that were
// on their way, and not all daemons at once when it is well.
func TestShedReplay(t *testing.T) {
	const (
		daemons = 50
		pause   = 500 * time.Millisecond
		step    = 10 * time.Millisecond
		busy    = 3 * time.Second
	)
	r := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	pauses := make([]*Pauses, daemons)
	asked := make([]time.Time, daemons)
	for i := range pauses {
		pauses[i] = NewPauses()
	}
	most := 0
	for now := start; now.Before(start.Add(busy + 2*pause)); now = now.Add(step) {
		arrived := 0
		for i, p := range pauses {
			if (int(now.Sub(start)/step)+i)%5 != 0 || !p.Begin(now, "a") {
				continue
			}
			if now.Sub(asked[i]) < pause {
				t.Fatalf("daemon %d sends %v after it was asked for a pause", i, now.Sub(asked[i]))
			}
			arrived++
			if now.Sub(start) < busy {
				p.Ask(now, "a", pause, r.Float64)
				asked[i] = now
			} else {
				p.Answered(now, "a")
			}
		}
		if since := now.Sub(start); since > busy-pause && since < busy {
			most = max(most, arrived)
		}
	}
	if most > daemons/2 {
		t.Errorf("%d of %d daemons return within %v", most, daemons, step)
	}
}
