package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPauses guards against sending requests to a backend server during its pause, and against sending all waiting
// requests at its end.
func TestPauses(t *testing.T) {
	p := NewPauses()
	now := time.Now()
	none := func() float64 { return 0 }
	if !p.Usable(now, "a") || !p.Admit(now, "a") {
		t.Error("a backend server without a pause is not usable")
	}
	if !p.Start(now, "a", 2*time.Second, none) || p.Start(now, "a", time.Second, none) {
		t.Error("only the first of two overlapping pauses must be reported as new")
	}
	// An answer to a request that was sent before the pause does not end it.
	p.Answered(now, "a")
	for _, d := range []time.Duration{0, time.Second, 1999 * time.Millisecond} {
		if p.Usable(now.Add(d), "a") || p.Admit(now.Add(d), "a") {
			t.Errorf("usable %v after it asked for a pause of 2 s", d)
		}
	}
	if got := p.Until(now, "a"); !got.Equal(now.Add(2 * time.Second)) {
		t.Errorf("pause ends after %v, want 2s", got.Sub(now))
	}
	now = now.Add(2 * time.Second)
	if !p.Usable(now, "a") || !p.Admit(now, "a") {
		t.Error("not usable after its pause")
	}
	if p.Usable(now, "a") || p.Admit(now, "a") {
		t.Error("a second request was admitted before the probe was answered")
	}
	if !p.Usable(now.Add(probeTimeout), "a") {
		t.Error("an unanswered probe still blocks other requests after its timeout")
	}
	p.Answered(now, "a")
	for range 2 {
		if !p.Admit(now, "a") {
			t.Error("a request was not admitted after the probe was answered")
		}
	}
}

// TestShedReplay simulates a backend server that sheds load for three seconds and asks for pauses of half a second,
// while each of 50 daemons may send it a request every 50 ms. No daemon may send during its pause, and at most half
// of the daemons may return at the same moment.
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
			if (int(now.Sub(start)/step)+i)%5 != 0 || !p.Admit(now, "a") {
				continue
			}
			if now.Sub(asked[i]) < pause {
				t.Fatalf("daemon %d sent a request %v after it was asked for a pause", i, now.Sub(asked[i]))
			}
			arrived++
			if now.Sub(start) < busy {
				p.Start(now, "a", pause, r.Float64)
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
		t.Errorf("%d of %d daemons sent a request within %v", most, daemons, step)
	}
}
