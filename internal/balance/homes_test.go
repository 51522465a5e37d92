package balance

import (
	"testing"

	"flamingorudder.example/internal/roster"
)

// TestHomeRegions guards against a request that is placed at a group with a member outside of its home regions, or of unknown place, as
// that group is the least loaded or the only one.
func TestHomeRegions(t *testing.T) {
	in := func(requests int, dataCentres ...string) Group {
		g := Group{Load: Load{Requests: requests}}
		for _, dc := range dataCentres {
			g.Members = append(g.Members, &roster.Server{DataCentre: dc})
		}
		return g
	}
	lost := Group{Members: []*roster.Server{{DataCentre: "eu1"}, nil}}
	for name, test := range map[string]struct {
		groups []Group
		want   string
	}{
		"idle elsewhere":         {[]Group{in(0, "us", "us"), in(20, "eu1", "eu2")}, "1"},
		"a member elsewhere":     {[]Group{in(0, "eu1", "us"), in(20, "eu1", "eu1")}, "1"},
		"members of other place": {[]Group{in(0, "eu1", ""), lost, in(0)}, ""},
		"only elsewhere":         {[]Group{in(0, "us")}, ""},
	} {
		s := NewScheduler()
		s.Put(noon, request(1, func(w *Waiter) { w.Limited, w.DataCentres = true, []string{"eu1", "eu2"} }))
		s.Put(noon, request(2, func(w *Waiter) { w.Limited = true }))
		got := map[uint64]string{}
		for _, d := range step(s, noon, test.groups...) {
			got[d.ID] = d.Group
		}
		if got[1] != test.want || got[2] != "" {
			t.Errorf("%s: %q, want %q; a request without a known home at %q", name, got[1], test.want, got[2])
		}
	}
}

// TestHomeRegionsHoldUpNoOthers guards against requests that are rejected since many wait before them for home regions, which take no
// places elsewhere.
func TestHomeRegionsHoldUpNoOthers(t *testing.T) {
	s := NewScheduler()
	for id := range uint64(50) {
		s.Put(noon, request(id, func(w *Waiter) { w.Limited, w.DataCentres = true, []string{"eu"} }))
	}
	s.Put(noon, request(50, nil))
	for _, d := range step(s, noon, Group{Load: Load{Requests: 26}, Members: []*roster.Server{{DataCentre: "us"}}}) {
		if d.ID == 50 {
			t.Errorf("the request does not wait for the full group: %+v", d)
		}
	}
}
