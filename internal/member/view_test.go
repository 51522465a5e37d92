package member

import (
	"fmt"
	"testing"
	"time"

	"flamingorudder.example/internal/platform"
)

// Guards against an instance that is Live after 3 failed probes, while it is leaving or missing, or before it has
// passed 2 probes again, and against an outdated list that overrides a newer one.
func TestView(t *testing.T) {
	var v View
	at := time.Unix(1000, 0)
	list := func(state platform.InstanceState, ids ...string) {
		at = at.Add(time.Second)
		r := platform.Roster{At: at}
		for _, id := range ids {
			r.Instances = append(r.Instances, platform.Instance{ID: id, Kind: platform.KindEngine, State: state})
		}
		v.ApplyList(r)
	}
	list(platform.Live, "a", "b")
	steps := []struct {
		name string
		do   func()
		want State
	}{
		{"listed", func() {}, Live},
		{"1 failure", func() { v.RecordProbe("a", false) }, Suspect},
		{"2 failures", func() { v.RecordProbe("a", false) }, Suspect},
		{"a successful probe", func() { v.RecordProbe("a", true) }, Live},
		{"3 failures", func() { v.RecordProbe("a", false); v.RecordProbe("a", false); v.RecordProbe("a", false) }, Gone},
		{"still listed", func() { list(platform.Live, "a", "b") }, Gone},
		{"1 successful probe", func() { v.RecordProbe("a", true) }, Gone},
		{"2 successful probes", func() { v.RecordProbe("a", true) }, Live},
		{"leaving", func() { list(platform.Leaving, "a", "b") }, Leaving},
		{"older list", func() {
			v.ApplyList(platform.Roster{At: at.Add(-time.Second), Instances: []platform.Instance{{ID: "a", State: platform.Live}}})
		}, Leaving},
		{"missing", func() { list(platform.Live, "b") }, Gone},
		{"empty list", func() { list(platform.Live) }, Gone},
		{"returned", func() { list(platform.Live, "a", "b") }, Gone},
		{"returned, 2 probes", func() { v.RecordProbe("a", true); v.RecordProbe("a", true) }, Live},
		{"reported", func() { v.RecordMissing("a") }, Gone},
		{"reported, 2 probes", func() { v.RecordProbe("a", true); v.RecordProbe("a", true) }, Live},
	}
	for _, s := range steps {
		s.do()
		if got := v.State("a"); got != s.want {
			t.Errorf("after %q: %v, want %v", s.name, got, s.want)
		}
	}
	if v.State("b") != Live || v.State("c") != Gone {
		t.Error("the state of another instance changed: ", fmt.Sprint(v.State("b"), v.State("c")))
	}
}

// Guards against an instance that refuses connections but stays in use until three probes have failed, and against a
// new lease holder that acts on losses detected earlier, while its own network was down.
func TestRefusalAndDiscardedProbes(t *testing.T) {
	var v View
	now := time.Unix(1_000_000, 0)
	v.ApplyList(platform.Roster{At: now, Instances: []platform.Instance{{ID: "a", State: platform.Live}, {ID: "b", State: platform.Leaving}}})
	if v.RecordRefusal("a"); v.State("a") != Gone {
		t.Errorf("refused: %v", v.State("a"))
	}
	if v.RecordProbe("a", true); v.State("a") != Gone {
		t.Errorf("after one successful probe: %v", v.State("a"))
	}
	if v.DiscardProbes(); v.State("a") != Live || v.State("b") != Leaving {
		t.Errorf("after DiscardProbes: %v and %v", v.State("a"), v.State("b"))
	}
	v.RecordProbe("a", false)
	if v.RecordProbe("a", false); v.State("a") != Suspect {
		t.Errorf("after two failed probes: %v", v.State("a"))
	}
}
