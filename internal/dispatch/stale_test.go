package dispatch

import (
	"testing"
	"time"
)

// Guards against a daemon that refuses every request forever because its service rates include the duration of a pause,
// and against discarding recent rates.
func TestStaleRates(t *testing.T) {
	sim := newSimulation(2, 0)
	ask := func(key uint64) bool {
		as := sim.core.Step(sim.now, Submit{key, Request{Organisation: "a", Cost: 8, Deadline: sim.now.Add(8 * time.Second)}})
		return len(startedKeys(as)) == 1
	}
	if !ask(1) {
		t.Fatal("the first request did not start")
	}
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.apply(Done{1, Result{Tokens: 8, TimeToFirstToken: time.Second, Total: 30 * time.Second}})
	if ask(2) {
		t.Error("a request with a deadline in 8 s started although recent rates predict 30 s")
	}
	sim.now = sim.now.Add(rejectingRatesTTL)
	if !ask(3) {
		t.Error("the request did not start although the rates are stale")
	}
}
