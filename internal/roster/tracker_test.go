package roster

import (
	"testing"
	"time"
)

const (
	testGrace          = 2 * time.Second
	testRenewalTimeout = 2400 * time.Millisecond
)

func size(string, string) int { return 2 }

func member(id string, rank int, state GroupState) *Server {
	return &Server{ID: id, Service: "s", Model: "m", Membership: Membership{Group: "g", Epoch: 7, Rank: rank, State: state}}
}

// TestGroupsNeedAllMembers guards against sending requests to a group with a missing member.
func TestGroupsNeedAllMembers(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	v := tr.View(now, size)
	if g := v.Groups["s"]; len(g) != 1 || !g[0].Complete() || g[0].Head.ID != "a" {
		t.Fatalf("groups %v, want one complete group with head a", g)
	}
	tr.Apply(now, []Change{{ID: "b"}})
	if g := tr.View(now, size).Groups["s"]; len(g) != 1 || g[0].Complete() {
		t.Errorf("a group with a missing member is complete")
	}
}

// TestEntryOfAnotherServiceTakesNoGroup guards against a group that gets no requests as an entry of another service, left by
// another writer, claims its head.
func TestEntryOfAnotherServiceTakesNoGroup(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	odd := member("z", 0, Open)
	odd.Service = "other"
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined), odd})
	if g := tr.View(now, size).Groups["s"]; len(g) != 1 || !g[0].Complete() || g[0].Head.ID != "a" {
		t.Errorf("groups %v, want one complete group with head a", g)
	}
}

// TestDrainingGetsNoRequests guards against sending new requests to a draining backend server.
func TestDrainingGetsNoRequests(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	a := member("a", 0, Open)
	a.State = Draining
	tr.Replace(now, []*Server{a, member("b", 1, Joined)})
	v := tr.View(now, size)
	if len(v.Groups["s"]) != 0 || len(v.Services["s"]) != 1 {
		t.Errorf("groups %v, services %v", v.Groups, v.Services)
	}
}

// TestEntriesExpireDuringOutage guards against removing backend servers whose entries expired during an outage of the
// store, and against keeping those that do not register again.
func TestEntriesExpireDuringOutage(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	tr.MarkStoreDown()
	now = now.Add(10 * time.Second)
	tr.MarkStoreUp(now)
	tr.Replace(now, []*Server{member("a", 0, Open)})
	if g := tr.View(now, size).Groups["s"]; len(g) != 1 || !g[0].Complete() {
		t.Error("an entry that expired during the outage was removed immediately")
	}
	now = now.Add(testGrace)
	tr.Apply(now, nil)
	if tr.View(now, size).Servers["b"] != nil {
		t.Error("an entry that was not registered again is kept")
	}
}

// TestShortOutageKeepsNothing guards against sending requests to a backend server that left while this daemon
// repeatedly failed to read the store for a moment. In one run a request was sent 3,033 ms after the backend server had
// announced that it was leaving.
func TestShortOutageKeepsNothing(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open), member("b", 1, Joined)})
	tr.MarkStoreDown()
	now = now.Add(testRenewalTimeout / 2)
	tr.MarkStoreUp(now)
	tr.Apply(now, []Change{{ID: "b"}})
	if tr.View(now, size).Servers["b"] != nil {
		t.Error("an entry that cannot have expired was not removed")
	}
	if !tr.View(now, size).StoreRecovered.Equal(now) {
		t.Error("a short outage is not reported in the view")
	}
}

// TestDeparted guards against taking a head that left in order for a dead one: it may still run its requests.
func TestDeparted(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
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
	if v.Departed["c"].Expired {
		t.Error("a drained head counts as expired")
	}
	if v.Departed["a"].Expired || !v.Departed["b"].Expired {
		t.Errorf("expired: a %v, b %v, want false, true", v.Departed["a"].Expired, v.Departed["b"].Expired)
	}
	now = now.Add(departedRetention + time.Second)
	tr.Apply(now, nil)
	if len(tr.View(now, size).Departed) != 0 {
		t.Error("departed servers are never forgotten")
	}
}

// TestHiddenHeartbeats guards against taking a backend server for dead because its entry has not changed for long, where the store
// shows no heartbeats, and against not taking it for dead when its entry lapses, also after an outage.
func TestHiddenHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	const timeout = 2400 * time.Millisecond
	tr := NewTracker(2*time.Second, timeout)
	tr.Replace(now, []*Server{{ID: "i", Service: "s", Born: 1}, {ID: "j", Service: "s", Born: 1}})
	tr.MarkStoreDown()
	tr.MarkStoreUp(now.Add(10 * time.Second))
	now = now.Add(time.Minute)
	if v := tr.View(now, func(string, string) int { return 0 }); !v.HeartbeatSeen.IsZero() {
		t.Errorf("a heartbeat was seen at %v", v.HeartbeatSeen)
	}
	tr.Apply(now, []Change{{ID: "i"}})
	if v := tr.View(now, func(string, string) int { return 0 }); v.Departed["i"] == nil || !v.Departed["i"].Expired {
		t.Errorf("departed server %+v, want an expired one", v.Departed["i"])
	}
	tr.Apply(now, []Change{{ID: "j", Server: &Server{ID: "j", Service: "s", Born: 1, Beat: 1}}})
	if v := tr.View(now, func(string, string) int { return 0 }); !v.HeartbeatSeen.Equal(now) {
		t.Errorf("last heartbeat seen at %v, want %v", v.HeartbeatSeen, now)
	}
}

// TestOutageIsNotExpiry guards against counting a head as dead because of a store outage, during which no entry can be
// renewed.
func TestOutageIsNotExpiry(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open)})
	tr.MarkStoreDown()
	now = now.Add(8 * time.Second)
	tr.MarkStoreUp(now)
	now = now.Add(testGrace)
	tr.Apply(now, []Change{{ID: "a"}})
	if tr.View(now, size).Departed["a"].Expired {
		t.Error("an entry that could not be renewed counts as expired")
	}
}

// TestFullReadIsNoRenewal guards against a dead backend server appearing renewed by each full read.
func TestFullReadIsNoRenewal(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{member("a", 0, Open)})
	tr.Replace(now.Add(5*time.Second), []*Server{member("a", 0, Open)})
	if got := tr.View(now, size).Servers["a"].RenewedAt; !got.Equal(now) {
		t.Errorf("renewed by a full read after %v", got.Sub(now))
	}
}

// TestLeavingServerGetsNoRequests guards against sending new requests to a backend server whose responses say that it
// is about to stop while its entry does not, and against applying the notice to its next lifetime.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	born := func(id string, rank int, state GroupState, born int64) *Server {
		s := member(id, rank, state)
		s.Born = born
		return s
	}
	tr.Replace(now, []*Server{born("a", 0, Open, 1), born("b", 1, Joined, 1)})
	if !tr.MarkLeaving(now, LeavingServer{ID: "a", Born: 1}, true) || tr.MarkLeaving(now, LeavingServer{ID: "a", Born: 1}, false) {
		t.Error("only the first notice must change the view")
	}
	if v := tr.View(now, size); len(v.Groups["s"]) != 0 || len(v.Services["s"]) != 1 || v.Servers["a"].State != Draining {
		t.Errorf("groups %v, services %v", v.Groups, v.Services)
	}
	if l := tr.LeavingServers(now); len(l) != 1 || l[0].ID != "a" || l[0].Born != 1 {
		t.Errorf("notices %v are sent, want a in lifetime 1", l)
	}
	if l := tr.LeavingServers(now.Add(2 * advertisePeriod)); len(l) != 0 {
		t.Errorf("notices %v are still sent after the advertise period", l)
	}
	// A renewal of the entry does not revoke the notice.
	tr.Apply(now, []Change{{"a", born("a", 0, Open, 1)}})
	if v := tr.View(now, size); len(v.Groups["s"]) != 0 {
		t.Errorf("groups %v after a renewal", v.Groups)
	}
	// A removed entry with a notice did not expire: the backend server continues to serve for a while.
	tr.Apply(now.Add(2*testRenewalTimeout), []Change{{ID: "a"}})
	if v := tr.View(now, size); v.Departed["a"] == nil || v.Departed["a"].Expired {
		t.Errorf("departed %+v, want an entry that did not expire", v.Departed["a"])
	}
	tr.Apply(now, []Change{{"a", born("a", 0, Open, 2)}})
	if v := tr.View(now, size); len(v.Groups["s"]) != 1 {
		t.Errorf("groups %v in the next lifetime", v.Groups)
	}
	if tr.MarkLeaving(now, LeavingServer{ID: "a", Born: 1}, false) || len(tr.View(now, size).Groups["s"]) != 1 {
		t.Error("a late notice of the earlier lifetime was applied")
	}
}

// TestRestoredStoreTellsNothingOlder guards against taking entries from a backup of the store for newer than the known ones:
// a leaving or departed backend server would get requests again, and one that registered lately would get none.
func TestRestoredStoreTellsNothingOlder(t *testing.T) {
	entry := func(id string, state State, born, beat int64) *Server {
		return &Server{ID: id, Service: "s", State: state, Born: born, Beat: beat}
	}
	now := time.Now()
	tr := NewTracker(testGrace, testRenewalTimeout)
	tr.Replace(now, []*Server{
		entry("changed", Ready, 1, 9), entry("leaving", Draining, 1, 9), entry("left", Ready, 1, 2), entry("late", Ready, 1, 1),
		entry("restarted", Ready, 2, 1), entry("alive", Ready, 1, 2),
	})
	tr.Apply(now, []Change{{ID: "left"}, {ID: "alive"}})
	now = now.Add(time.Second)
	tr.MarkRestored(now, 0)
	read := func() {
		var all []*Server
		for _, s := range []*Server{
			entry("changed", Ready, 1, 4), entry("leaving", Ready, 1, 4), entry("left", Ready, 1, 4), entry("restarted", Ready, 1, 4),
			entry("alive", Ready, 1, 4), entry("new", Ready, 3, 1),
		} {
			s.Slots = 7 // an older state that differs by more than its heartbeat
			if s = tr.Supersede(now, s); s != nil {
				all = append(all, s)
			}
		}
		tr.Replace(now, all)
	}
	check := func(when string, want map[string]State) {
		t.Helper()
		v := tr.View(now, size)
		for _, id := range []string{"changed", "leaving", "left", "late", "restarted", "alive", "new"} {
			s := v.Servers[id]
			state, listed := want[id]
			if (s != nil) != listed || listed && s.State != state {
				t.Errorf("%s: %s is %+v, want listed %v as %v", when, id, s, listed, state)
			}
		}
	}
	read()
	check("first read", map[string]State{"changed": Ready, "leaving": Draining, "late": Ready, "restarted": Ready, "new": Ready})
	if s := tr.View(now, size).Servers["changed"]; s.Beat != 9 || s.Slots != 0 {
		t.Errorf("an older state replaced the known one: %+v", s)
	}
	if s := tr.View(now, size).Servers["restarted"]; s.Born != 2 {
		t.Errorf("the entry of an earlier lifetime replaced that of a later one: %+v", s)
	}
	now = now.Add(testGrace)
	tr.Apply(now, []Change{{"alive", entry("alive", Ready, 1, 5)}})
	if tr.RereadDue(now) {
		t.Error("read again while the entries of dead backend servers may remain")
	}
	check("after the grace period", map[string]State{"changed": Ready, "leaving": Draining, "restarted": Ready, "new": Ready, "alive": Ready})
	if s := tr.View(now, size).Departed["late"]; s == nil || s.Expired {
		t.Errorf("an entry that the backup lacks counts as expired: %+v", s)
	}
	// What the store still holds then is renewed, but a lifetime that was leaving stays so.
	now = now.Add(2 * testRenewalTimeout)
	if !tr.RereadDue(now) || tr.RereadDue(now) {
		t.Error("outdated entries are not read again once")
	}
	read()
	check("read again", map[string]State{"changed": Ready, "leaving": Draining, "left": Ready, "restarted": Ready, "new": Ready, "alive": Ready})
}

// TestDeparturesOfAnotherDaemon guards against what another daemon tells of removed entries replacing what this one has read, and
// against remembering them for longer than that daemon would.
func TestDeparturesOfAnotherDaemon(t *testing.T) {
	now := time.Unix(1000, 0)
	own := NewTracker(2*time.Second, 2400*time.Millisecond)
	own.Replace(now, []*Server{{ID: "listed", Born: 2}, {ID: "removed", Born: 2}})
	own.Apply(now, []Change{{ID: "removed"}})
	told := []Departure{
		{ID: "listed", Born: 1, Age: time.Second},
		{ID: "removed", Born: 1, Age: time.Second},
		{ID: "old", Born: 1, Age: departedRetention + time.Second},
		{ID: "unknown", Born: 1, Age: 10 * time.Second},
	}
	if !own.AddDepartures(now, told) {
		t.Error("the view does not change")
	}
	departed := own.View(now, func(string, string) int { return 0 }).Departed
	if len(departed) != 2 || departed["removed"].Born != 2 || departed["unknown"] == nil || !departed["unknown"].Hearsay {
		t.Errorf("departed %v, want removed of lifetime 2 and unknown", departed)
	}
	if own.AddDepartures(now, told) {
		t.Error("the view changes when the same is told again")
	}
	own.Apply(now.Add(departedRetention-9*time.Second), nil)
	if v := own.View(now, func(string, string) int { return 0 }); v.Departed["unknown"] != nil || v.Departed["removed"] == nil {
		t.Errorf("departed %v, want only removed", v.Departed)
	}
}

// TestReasonsOfDepartures guards against a daemon taking a server for one that left in order, or for one whose entry expired, of which another
// daemon, perhaps of an earlier build, does not say so.
func TestReasonsOfDepartures(t *testing.T) {
	now := time.Unix(1000, 0)
	size := func(string, string) int { return 0 }
	first := NewTracker(testGrace, testRenewalTimeout)
	first.Replace(now, []*Server{{ID: "expired"}, {ID: "left"}})
	now = now.Add(testRenewalTimeout / 2)
	first.Apply(now, []Change{{ID: "left", Server: &Server{ID: "left", Beat: 1}}})
	now = now.Add(testRenewalTimeout)
	first.Apply(now, []Change{{ID: "expired"}, {ID: "left"}})
	first.AddDepartures(now, []Departure{{ID: "untold"}})
	told := first.Departures(now)
	for range 3 { // from daemon to daemon
		next := NewTracker(testGrace, testRenewalTimeout)
		next.AddDepartures(now, told)
		departed := next.View(now, size).Departed
		if s := departed["expired"]; !s.Expired || s.Hearsay {
			t.Errorf("expired: %+v", s)
		}
		if s := departed["left"]; s.Expired || s.Hearsay {
			t.Errorf("left: %+v", s)
		}
		if s := departed["untold"]; s.Expired || !s.Hearsay {
			t.Errorf("untold: %+v", s)
		}
		told = next.Departures(now)
	}
	several := NewTracker(testGrace, testRenewalTimeout)
	for _, r := range []Removal{UnknownRemoval, NotExpired, Expired, NotExpired, UnknownRemoval} {
		several.AddDepartures(now, []Departure{{ID: "s", Removal: r}})
	}
	if s := several.View(now, size).Departed["s"]; !s.Expired || s.Hearsay {
		t.Errorf("told by several daemons: %+v", s)
	}
}

// TestRemainingColdTimeIsNoChange guards against relaying each heartbeat of a cold server to all daemons as its remaining time counts down,
// and against not relaying that it is cold again.
func TestRemainingColdTimeIsNoChange(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	start := time.Now()
	read := func(after, remaining time.Duration, beat int64) *Server {
		s := &Server{ID: "a", Service: "s", Born: 1, Beat: beat, Cold: remaining}
		if remaining > 0 {
			s.ColdUntil = start.Add(after + remaining)
		}
		return s
	}
	tr.Replace(start, []*Server{read(0, 3*time.Second, 1)})
	// The same entry read again starts no new cold time.
	tr.Replace(start.Add(900*time.Millisecond), []*Server{read(900*time.Millisecond, 3*time.Second, 1)})
	if got := tr.servers["a"]; !got.ColdUntil.Equal(start.Add(3*time.Second)) || !got.RenewedAt.Equal(start) {
		t.Errorf("cold until %v after the start, renewed %v after it", got.ColdUntil.Sub(start), got.RenewedAt.Sub(start))
	}
	for _, test := range []struct {
		name             string
		after, remaining time.Duration
		renewal          bool
	}{
		{"counted down", 2 * time.Second, 1800 * time.Millisecond, true},
		{"not cold", 3 * time.Second, 0, true},
		{"cold again", 2 * time.Second, 3100 * time.Millisecond, false},
		{"cold again for less", 3 * time.Second, 2900 * time.Millisecond, false},
	} {
		if got := tr.IsRenewal(read(test.after, test.remaining, 2)); got != test.renewal {
			t.Errorf("%s: only a heartbeat %v", test.name, got)
		}
	}
	// A remaining time that the store computes at each read renews no entry.
	later := start.Add(time.Second)
	tr.Replace(later, []*Server{read(time.Second, 2*time.Second, 1)})
	if got := tr.servers["a"]; !got.RenewedAt.Equal(start) || got.Cold != 2*time.Second {
		t.Errorf("renewed %v after the start, cold for %v", got.RenewedAt.Sub(start), got.Cold)
	}
}

// TestNewLifetimeIsSeen guards against a server that has just started counting as one that has run for long, and the other way round after
// its entry was removed for a while.
func TestNewLifetimeIsSeen(t *testing.T) {
	tr := NewTracker(testGrace, testRenewalTimeout)
	now := time.Now()
	tr.Replace(now, []*Server{{ID: "a", Service: "s", Born: 1}})
	check := func(id string, seen time.Time, appeared bool) {
		t.Helper()
		if s := tr.servers[id]; !s.FirstSeen.Equal(seen) || s.Appeared != appeared {
			t.Errorf("%s: first seen %v after the start, appeared %v", id, s.FirstSeen.Sub(now), s.Appeared)
		}
	}
	check("a", now, false)
	second := now.Add(time.Second)
	tr.Apply(second, []Change{{ID: "b", Server: &Server{ID: "b", Service: "s", Born: 2}}, {ID: "a", Server: &Server{ID: "a", Service: "s", Born: 1, Beat: 1}}})
	check("a", now, false)
	check("b", second, true)
	third := now.Add(2 * time.Second)
	tr.Apply(third, []Change{{ID: "a"}, {ID: "b", Server: &Server{ID: "b", Service: "s", Born: 3}}})
	check("b", third, true)
	tr.Apply(third.Add(time.Second), []Change{{ID: "a", Server: &Server{ID: "a", Service: "s", Born: 1, Beat: 2}}})
	check("a", now, false)
}
