package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/admission"
)

// newStaticCore returns a core with fixed targets g0, g1 and so on, which need no grants.
func newStaticCore(slots ...int) *Core {
	c := NewCore("d1", "stirling", 1)
	var list []Target
	for i, n := range slots {
		list = append(list, Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: n, FixedSlots: true})
	}
	c.Step(epoch, Targets{list, nil})
	return c
}

func submitAvoiding(key uint64, avoid ...string) Submit {
	q := Request{Organisation: "a", Cost: 1, Deadline: epoch.Add(time.Hour)}
	for _, g := range avoid {
		q.Avoid = append(q.Avoid, TargetID{g, 1})
	}
	return Submit{key, q}
}

// describe lists started requests as "key at group" and refused ones as "key kind".
func describe(as []Action) (out []string) {
	for _, a := range as {
		switch a.Kind {
		case Start:
			out = append(out, fmt.Sprint(a.Key, " at ", a.Target.Group))
		case Refuse:
			out = append(out, fmt.Sprint(a.Key, " ", a.Refusal.Kind))
		case Report, Cancel:
		}
	}
	return out
}

func expectActions(t *testing.T, c *Core, after time.Duration, m Message, want ...string) {
	t.Helper()
	if got := describe(c.Step(epoch.Add(after), m)); !slices.Equal(got, want) {
		t.Errorf("%T after %v: %q, want %q", m, after, got, want)
	}
}

// Guards against retrying a request at a target that failed it, against a retry that blocks other requests for which a
// target has free slots, and against a request that waits although it avoids every target.
func TestAvoidedTargets(t *testing.T) {
	c := newStaticCore(1, 1)
	expectActions(t, c, 0, submitAvoiding(1, "g0"), "1 at g1")
	expectActions(t, c, 0, submitAvoiding(2, "g0"))
	expectActions(t, c, 0, submitAvoiding(3, "g0"))
	expectActions(t, c, 0, submitAvoiding(4), "4 at g0")
	expectActions(t, c, 0, submitAvoiding(5))
	expectActions(t, c, 0, Done{4, Result{Failed: true}}, "5 at g0")
	expectActions(t, c, 0, Done{1, Result{Failed: true}}, "2 at g1")
	expectActions(t, c, 0, submitAvoiding(6, "g0", "g1"), fmt.Sprint("6 ", admission.NoTarget))
	// A new generation of the group is not avoided.
	c.Step(epoch, Targets{[]Target{{Group: "g0", Generation: 2, Slots: 2, FixedSlots: true}}, nil})
	expectActions(t, c, 0, submitAvoiding(7, "g0"), "7 at g0")
}

// Guards against the retries of one organisation blocking another one with a later virtual time in the same rank.
func TestAvoidOtherOrganisation(t *testing.T) {
	c := newStaticCore(1, 1)
	other := func(key uint64) Submit {
		return Submit{key, Request{Organisation: "b", Cost: 50, Deadline: epoch.Add(time.Hour)}}
	}
	expectActions(t, c, 0, submitAvoiding(1, "g0"), "1 at g1")
	expectActions(t, c, 0, submitAvoiding(3, "g0"))
	expectActions(t, c, 0, other(2), "2 at g0")
	expectActions(t, c, 0, other(4))
	expectActions(t, c, 0, Done{2, Result{Total: time.Millisecond}}, "4 at g0")
}

// Guards against sending requests to an unreachable target, against a target that stays in backoff after its return,
// and against a core whose Next does not advance during the backoff.
func TestUnreachable(t *testing.T) {
	c := newStaticCore(2, 8)
	unreachable := Result{Failed: true, Unreachable: true}
	key, running := uint64(0), []uint64{}
	// try submits n requests, all of which have a free slot, and returns the keys of those sent to g0.
	try := func(after time.Duration, n int) (first []uint64) {
		for range n {
			key++
			for _, a := range c.Step(epoch.Add(after), submitAvoiding(key)) {
				if a.Kind == Start && a.Target.Group == "g0" {
					first = append(first, a.Key)
				} else if a.Kind == Start {
					running = append(running, a.Key)
				}
			}
		}
		for _, k := range running {
			c.Step(epoch.Add(after), Done{k, Result{Total: time.Millisecond}})
		}
		running = running[:0]
		return first
	}
	first := try(0, 8)
	if len(first) == 0 {
		t.Fatal("g0 got no request")
	}
	for _, k := range first {
		c.Step(epoch, Done{k, unreachable})
	}
	if n := len(try(minBackoff-1, 8)); n != 0 {
		t.Errorf("%d requests sent to a target in backoff", n)
	}
	probes := try(minBackoff, 8)
	if len(probes) != 1 {
		t.Fatalf("%d requests probe the target after its backoff, want 1", len(probes))
	}
	c.Step(epoch.Add(minBackoff), Done{probes[0], Result{Total: time.Millisecond}})
	if n := len(try(minBackoff, 8)); n < 2 {
		t.Errorf("%d requests sent to a target that is reachable again", n)
	}

	// A waiting request starts on the unreachable target as soon as its backoff ends.
	c = newStaticCore(1, 1)
	c.Step(epoch, submitAvoiding(1))
	c.Step(epoch, submitAvoiding(2))
	failing := uint64(1)
	if c.running[1].group.target.Group != "g0" {
		failing = 2
	}
	c.Step(epoch, Done{failing, unreachable})
	expectActions(t, c, 0, submitAvoiding(3))
	now := epoch
	for steps := 0; len(c.waiting) > 0; steps++ {
		at, ok := c.Next()
		if !ok || !at.After(now) || steps > 100 {
			t.Fatalf("Next returns %v from now, %v, after %d calls", at.Sub(now), ok, steps)
		}
		now = at
		c.Step(now, Tick{})
	}
	if d := now.Sub(epoch); d != minBackoff {
		t.Errorf("the request started after %v, want %v", d, minBackoff)
	}
	// A request that probes the target and does not end occupies its only slot.
	c = newStaticCore(1, 1)
	for key := range uint64(2) {
		c.Step(epoch, submitAvoiding(key))
	}
	for key, j := range c.running {
		if j.group.target.Group == "g0" {
			c.Step(epoch, Done{key, unreachable})
		}
	}
	expectActions(t, c, minBackoff, submitAvoiding(2), "2 at g0")
	expectActions(t, c, 2*maxBackoff, submitAvoiding(3))
	if at, _ := c.Next(); !at.After(epoch.Add(2 * maxBackoff)) {
		t.Errorf("Next is %v before the last step", epoch.Add(2*maxBackoff).Sub(at))
	}
	// If every target is unreachable, requests are sent and fail at once instead of waiting.
	c = newStaticCore(1)
	expectActions(t, c, 0, submitAvoiding(1), "1 at g0")
	c.Step(epoch, Done{1, unreachable})
	expectActions(t, c, 0, submitAvoiding(2), "2 at g0")
}
