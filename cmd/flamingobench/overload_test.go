package main

import "testing"

// Guards against useful work that falls under overload: at 2, 5 and 10 times the capacity at least 90% of that at the
// capacity must remain, and live work that was started must be in time. The baseline must show the fall, or else the
// load is no overload.
func TestOverload(t *testing.T) {
	runs, base := overloadRuns(newCore), overloadRuns(newRoundRobin)
	for i, r := range runs {
		t.Logf("%+v, baseline %+v", r, base[i])
		if r.Goodput < 0.9*runs[0].Goodput || r.Live < 0.99 {
			t.Errorf("%+v, at the capacity %+v", r, runs[0])
		}
		if r.Load > 1 && base[i].Goodput > r.Goodput/2 {
			t.Errorf("the baseline isn't overloaded: %+v", base[i])
		}
	}
}
