package replica

import (
	"testing"
	"time"

	"flamingorudder.example/internal/roster"
)

// orders counts the orders that the backend servers of a domain have executed, and returns the highest epoch among them.
func (f *fleet) orders(domain string) (n, epoch int64) {
	for _, s := range f.servers {
		if s.Domain == domain {
			n += s.Orders
			epoch = max(epoch, s.maxEpoch)
		}
	}
	return n, epoch
}

// TestEvacuation guards against new groups and loads of weights in an evacuated data centre, against closing the groups there, and
// against groups that do not return after the evacuation.
func TestEvacuation(t *testing.T) {
	f := newFleet(t, 2, 9)
	f.engine.Models = f.engine.Models[:1]
	f.run(10 * time.Second)
	f.in.StartingUp = false
	if f.open("large") != 4 {
		t.Fatalf("%d groups, want 4", f.open("large"))
	}
	f.in.Evacuated = func(s *roster.Server) bool { return s.Domain == "d0" }
	for range 3 {
		f.add("d0") // without weights
	}
	n, epoch := f.orders("d0")
	f.run(5 * time.Second)
	if after, _ := f.orders("d0"); after != n || f.open("large") != 4 {
		t.Errorf("%d orders to the evacuated data centre, %d groups open, want none and 4", after-n, f.open("large"))
	}
	for _, s := range f.servers {
		if s.Domain == "d0" && s.Rank == 1 && s.Group != "" {
			s.alive = false
			break
		}
	}
	f.run(15 * time.Second)
	if _, after := f.orders("d0"); after != epoch || f.open("large") != 3 {
		t.Errorf("epoch %d after %d, %d groups open, want no new group in place of the broken one", after, epoch, f.open("large"))
	}
	f.in.Evacuated = nil
	f.run(5 * time.Second)
	if f.open("large") != 4 {
		t.Errorf("%d groups after the evacuation, want 4", f.open("large"))
	}
}

// TestEvacuationWhileForming guards against a group that opens in an evacuated data centre because its members had joined before.
func TestEvacuationWhileForming(t *testing.T) {
	f := newFleet(t, 1, 4)
	for joining := 0; joining < 4; {
		f.step(func() bool { return false })
		joining = 0
		for _, s := range f.servers {
			if s.Membership.State == roster.Joining {
				joining++
			}
		}
	}
	f.in.Evacuated = func(*roster.Server) bool { return true }
	f.run(6 * time.Second)
	if f.open("large") != 0 || f.servers[0].Membership.State != roster.Joined {
		t.Errorf("%d groups open, member in state %v, want none and joined", f.open("large"), f.servers[0].Membership.State)
	}
	f.in.Evacuated = nil
	f.run(time.Second)
	if f.open("large") != 1 {
		t.Error("the group has not opened after the evacuation")
	}
}

// TestEvacuatedCapacity guards against a model that gets no group elsewhere, as its groups in an evacuated data centre seem to carry the
// demand.
func TestEvacuatedCapacity(t *testing.T) {
	f := newFleet(t, 0, 0)
	f.in.StartingUp = false
	for range 2 {
		f.add("d0").Staged = []string{"small"}
	}
	for range 4 {
		f.add("d1").Staged = []string{"large"}
	}
	f.run(5 * time.Second)
	if f.open("large") != 1 || f.open("small") != 1 {
		t.Fatalf("%d large and %d small groups, want one of each", f.open("large"), f.open("small"))
	}
	f.in.Evacuated = func(s *roster.Server) bool { return s.Domain == "d0" }
	f.in.Pressure = map[string]float64{"large": 0.55, "small": 0.5}
	for range 4 {
		f.add("d1").Staged = []string{"large", "small"}
	}
	f.run(5 * time.Second)
	if f.open("small") < 2 {
		t.Error("no group of the small model was formed outside the evacuated data centre")
	}
}
