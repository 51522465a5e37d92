package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flamingorudder.example/internal/admission"
)

// fixed returns a core with targets g0, g1 and so on that need no grants.
func fixed(slots ...int) *Core {
	c := NewCore("d1", "stirling", 1)
	var list []Target
	for i, n := range slots {
		list = append(list, Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: n, Fixed: true})
	}
	c.Step(epoch, Targets{list, nil})
	return c
}

func submit(key uint64, avoid ...string) Submit {
	q := Request{Organisation: "a", Cost: 1, Deadline: epoch.Add(time.Hour)}
	for _, g := range avoid {
		q.Avoid = append(q.Avoid, Tried{g, 1})
	}
	return Submit{key, q}
}

// starts lists what starts, as "key at group", and what is refused.
func starts(as []Action) (out []string) {
	for _, a := range as {
		switch a.Verb {
		case Start:
			out = append(out, fmt.Sprint(a.Key, " at ", a.Target.Group))
		case Refuse:
			out = append(out, fmt.Sprint(a.Key, " ", a.Refusal.Kind))
		case Report, Cancel:
		}
	}
	return out
}

func expect(t *testing.T, c *Core, after time.Duration, m Message, want ...string) {
	t.Helper()
	if got := starts(c.Step(epoch.Add(after), m)); !slices.Equal(got, want) {
		t.Errorf("%T after %v: %q, want %q", m, after, got, want)
	}
}

// Guards against a retry at a target that failed the request, against a request that such a retry holds up although a
// target has room for it, and against one that waits for a target that does not exist.
func TestAvoid(t *testing.T) {
	c := fixed(1, 1)
	expect(t, c, 0, submit(1, "g0"), "1 at g1")
	expect(t, c, 0, submit(2, "g0"))
	expect(t, c, 0, submit(3, "g0"))
	expect(t, c, 0, submit(4), "4 at g0")
	expect(t, c, 0, submit(5))
	expect(t, c, 0, Done{4, Result{Failed: true}}, "5 at g0")
	expect(t, c, 0, Done{1, Result{Failed: true}}, "2 at g1")
	expect(t, c, 0, submit(6, "g0", "g1"), fmt.Sprint("6 ", admission.NoTarget))
	// Another generation of the group is another target.
	c.Step(epoch, Targets{[]Target{{Group: "g0", Generation: 2, Slots: 2, Fixed: true}}, nil})
	expect(t, c, 0, submit(7, "g0"), "7 at g0")
}

// Guards against an organisation whose retries wait and hold up the others of its rank, whose virtual times are ahead.
func TestAvoidOtherOrganisation(t *testing.T) {
	c := fixed(1, 1)
	other := func(key uint64) Submit {
		return Submit{key, Request{Organisation: "b", Cost: 50, Deadline: epoch.Add(time.Hour)}}
	}
	expect(t, c, 0, submit(1, "g0"), "1 at g1")
	expect(t, c, 0, submit(3, "g0"))
	expect(t, c, 0, other(2), "2 at g0")
	expect(t, c, 0, other(4))
	expect(t, c, 0, Done{2, Result{Total: time.Millisecond}}, "4 at g0")
}

// Guards against more requests for a target that cannot be reached, against a target that stays left out after its
// return, and against a core that asks to be called again and again meanwhile.
func TestUnreachable(t *testing.T) {
	c := fixed(2, 8)
	lost := Result{Failed: true, Unreachable: true}
	key, running := uint64(0), []uint64{}
	// try sends requests at a time that all have room and returns how many the first target got.
	try := func(after time.Duration, n int) (first []uint64) {
		for range n {
			key++
			for _, a := range c.Step(epoch.Add(after), submit(key)) {
				if a.Verb == Start && a.Target.Group == "g0" {
					first = append(first, a.Key)
				} else if a.Verb == Start {
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
		t.Fatal("the first target got nothing")
	}
	for _, k := range first {
		c.Step(epoch, Done{k, lost})
	}
	if n := len(try(lostFirst-1, 8)); n != 0 {
		t.Errorf("%d requests for a target that is left out", n)
	}
	again := try(lostFirst, 8)
	if len(again) != 1 {
		t.Fatalf("%d requests try the target again, want 1", len(again))
	}
	c.Step(epoch.Add(lostFirst), Done{again[0], Result{Total: time.Millisecond}})
	if n := len(try(lostFirst, 8)); n < 2 {
		t.Errorf("%d requests for a target that is back", n)
	}

	// A request that waits for the only other target starts as soon as the time of the lost one is over.
	c = fixed(1, 1)
	c.Step(epoch, submit(1))
	c.Step(epoch, submit(2))
	gone := uint64(1)
	if c.running[1].group.target.Group != "g0" {
		gone = 2
	}
	c.Step(epoch, Done{gone, lost})
	expect(t, c, 0, submit(3))
	now := epoch
	for steps := 0; len(c.waiting) > 0; steps++ {
		at, ok := c.Next()
		if !ok || !at.After(now) || steps > 100 {
			t.Fatalf("next call at %v, %v, after %d calls", at.Sub(now), ok, steps)
		}
		now = at
		c.Step(now, Tick{})
	}
	if d := now.Sub(epoch); d != lostFirst {
		t.Errorf("the request started after %v, want %v", d, lostFirst)
	}
	// A request that tries the target again and does not end holds its only slot.
	c = fixed(1, 1)
	for key := range uint64(2) {
		c.Step(epoch, submit(key))
	}
	for key, j := range c.running {
		if j.group.target.Group == "g0" {
			c.Step(epoch, Done{key, lost})
		}
	}
	expect(t, c, lostFirst, submit(2), "2 at g0")
	expect(t, c, 2*lostMost, submit(3))
	if at, _ := c.Next(); !at.After(epoch.Add(2 * lostMost)) {
		t.Errorf("next call %v before the last one", epoch.Add(2*lostMost).Sub(at))
	}
	// With every target lost, requests fail at once instead of waiting.
	c = fixed(1)
	expect(t, c, 0, submit(1), "1 at g0")
	c.Step(epoch, Done{1, lost})
	expect(t, c, 0, submit(2), "2 at g0")
}
