package roster

import (
	"testing"
	"time"
)

const (
	testGrace   = 2 * time.Second
	testSilence = 2400 * time.Millisecond
)

func size(string, string) int { return 2 }

func member(id string, rank int, state GroupState) *Server {
	return &Server{ID: id, Service: "s", Model: "m", Membership: Membership{Group: "g", Epoch: 7, Rank: rank, State: state}}
}

// TestGroupsNeedAllMembers guards against requests to a group with a missing member.
func TestGroupsNeedAllMembers(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	v := tr.View(now, size)
	if g := v.Groups["s"]; len(g) != 1 || !g[0].Whole() || g[0].Head.ID != "a" {
		t.Fatalf("groups %v", g)
	}
	tr.Apply(now, []Change{{ID: "b"}})
	if g := tr.View(now, size).Groups["s"]; len(g) != 1 || g[0].Whole() {
		t.Errorf("a group without its member is whole")
	}
}

// TestDrainingGetsNoRequests guards against new requests to a backend server that leaves.
func TestDrainingGetsNoRequests(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	a := member("a", 0, Open)
	a.State = Draining
	tr.Replace(now, []*Server{a, member("b", 1, Joined)})
	v := tr.View(now, size)
	if len(v.Groups["s"]) != 0 || len(v.Services["s"]) != 1 {
		t.Errorf("groups %v, services %v", v.Groups, v.Services)
	}
}

// TestEntriesLapseWithTheStore guards against forgetting backend servers whose entries ran out while the store was away, and
// against keeping those that do not come back.
func TestEntriesLapseWithTheStore(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	tr.Hold()
	now = now.Add(10 * time.Second)
	tr.Back(now)
	tr.Replace(now, []*Server{member("a", 0, Open)})
	if g := tr.View(now, size).Groups["s"]; len(g) != 1 || !g[0].Whole() {
		t.Error("an entry that lapsed during the outage is gone at once")
	}
	now = now.Add(testGrace)
	tr.Apply(now, nil)
	if tr.View(now, size).Servers["b"] != nil {
		t.Error("an entry that did not come back is kept")
	}
}

// TestShortOutageKeepsNothing guards against requests to a backend server that left while this daemon could not read the store
// for a moment, again and again. Found on tallado-austral-grown, scale-2: a request 3,033 ms after its notice.
func TestShortOutageKeepsNothing(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	tr.Hold()
	now = now.Add(testSilence / 2)
	tr.Back(now)
	tr.Apply(now, []Change{{ID: "b"}})
	if tr.View(now, size).Servers["b"] != nil {
		t.Error("an entry that cannot have lapsed is kept")
	}
	if !tr.View(now, size).Back.Equal(now) {
		t.Error("a short outage does not count for the silence of others")
	}
}

// TestDeparted guards against taking a head that left in order for a dead one: it may still run its requests.
func TestDeparted(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 0, Open)})
	now = now.Add(time.Second)
	tr.Apply(now, []Change{{ID: "a"}})
	now = now.Add(3 * time.Second)
	tr.Apply(now, []Change{{ID: "b"}})
	c := member("c", 0, Open)
	c.State = Draining
	tr.Apply(now, []Change{{ID: "c", Server: c}})
	now = now.Add(4 * time.Second)
	tr.Apply(now, []Change{{ID: "c"}})
	v := tr.View(now, size)
	if v.Departed["c"].Lapsed {
		t.Error("a head that drained counts as dead")
	}
	if v.Departed["a"].Lapsed || !v.Departed["b"].Lapsed {
		t.Errorf("lapsed: a %v, b %v", v.Departed["a"].Lapsed, v.Departed["b"].Lapsed)
	}
	now = now.Add(departedFor + time.Second)
	tr.Apply(now, nil)
	if len(tr.View(now, size).Departed) != 0 {
		t.Error("departed servers are kept for ever")
	}
}

// TestOutageIsNoSilence guards against a head being called dead because the store was away: nothing can be renewed then.
func TestOutageIsNoSilence(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open)})
	tr.Hold()
	now = now.Add(8 * time.Second)
	tr.Back(now)
	now = now.Add(testGrace)
	tr.Apply(now, []Change{{ID: "a"}})
	if tr.View(now, size).Departed["a"].Lapsed {
		t.Error("an entry that could not be renewed counts as lapsed in silence")
	}
}

// TestWholeReadIsNoRenewal guards against a dead backend server looking alive each time the whole list is read.
func TestWholeReadIsNoRenewal(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open)})
	tr.Replace(now.Add(5*time.Second), []*Server{member("a", 0, Open)})
	if got := tr.View(now, size).Servers["a"].Renewed; !got.Equal(now) {
		t.Errorf("renewed %v later", got.Sub(now))
	}
}

// TestLeaverGetsNoRequests guards against new requests to a backend server that says in its answers that it will end while its
// entry does not, and against taking its next lifetime for one that leaves.
func TestLeaverGetsNoRequests(t *testing.T) {
	tr := NewTracker(testGrace, testSilence)
	now := time.Now()
	born := func(id string, rank int, state GroupState, born int64) *Server {
		s := member(id, rank, state)
		s.Born = born
		return s
	}
	tr.Replace(now, []*Server{born("a", 0, Open, 1), born("b", 1, Joined, 1)})
	if !tr.Leave(now, Leaver{ID: "a", Born: 1}, true) || tr.Leave(now, Leaver{ID: "a", Born: 1}, false) {
		t.Error("a notice is new once")
	}
	if v := tr.View(now, size); len(v.Groups["s"]) != 0 || len(v.Services["s"]) != 1 || v.Servers["a"].State != Draining {
		t.Errorf("groups %v, services %v", v.Groups, v.Services)
	}
	if l := tr.Leavers(now); len(l) != 1 || l[0].ID != "a" || l[0].Born != 1 {
		t.Errorf("others are told of %v", l)
	}
	if l := tr.Leavers(now.Add(2 * tellFor)); len(l) != 0 {
		t.Errorf("others are told of %v for too long", l)
	}
	// Its entry is renewed without a word of it.
	tr.Apply(now, []Change{{"a", born("a", 0, Open, 1)}})
	if v := tr.View(now, size); len(v.Groups["s"]) != 0 {
		t.Errorf("groups %v after a renewal", v.Groups)
	}
	// An entry that goes did not lapse: the backend server serves on for a while.
	tr.Apply(now.Add(2*testSilence), []Change{{ID: "a"}})
	if v := tr.View(now, size); v.Departed["a"] == nil || v.Departed["a"].Lapsed {
		t.Errorf("departed %+v", v.Departed["a"])
	}
	tr.Apply(now, []Change{{"a", born("a", 0, Open, 2)}})
	if v := tr.View(now, size); len(v.Groups["s"]) != 1 {
		t.Errorf("groups %v in the next lifetime", v.Groups)
	}
	if tr.Leave(now, Leaver{ID: "a", Born: 1}, false) || len(tr.View(now, size).Groups["s"]) != 1 {
		t.Error("a late notice of the earlier lifetime counts")
	}
}
