package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

// ask answers the samples of a tracker as servers of which a part responds would, and returns how many were asked.
func ask(t *Tracker, now time.Time, sample int, responds func() bool) (asked int) {
	for sample > 0 {
		responded := false
		for range sample {
			responded = responds() || responded
		}
		asked += sample
		sample, _ = t.Record(now, "s", responded)
	}
	return asked
}

// TestLostPath guards against a path that counts as lost because of a few failed servers, and against one that is not found lost
// or found again.
func TestLostPath(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1000, 0)
	if asked := ask(&tracker, now, tracker.Doubt(now, "s"), func() bool { return true }); asked != 1 || tracker.Lost("s") {
		t.Errorf("%d servers asked, lost %v; want one and a path", asked, tracker.Lost("s"))
	}
	if tracker.Doubt(now.Add(doubtInterval/2), "s") != 0 {
		t.Error("a burst of failures has servers asked again")
	}
	now = now.Add(time.Second)
	if asked := ask(&tracker, now, tracker.Doubt(now, "s"), func() bool { return false }); asked != 8 || !tracker.Lost("s") {
		t.Errorf("%d servers asked, lost %v; want eight and no path", asked, tracker.Lost("s"))
	}
	asked := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if tracker.Doubt(now, "s") != 0 {
			t.Fatal("a failure without a path has servers asked")
		}
		if len(tracker.Retry(now)) > 0 {
			asked += ask(&tracker, now, LostSample, func() bool { return false })
		}
	}
	if asked < 20 || asked > 50 {
		t.Errorf("%d servers asked in 10 s without a path", asked)
	}
	now = now.Add(slowRetryInterval)
	if due := tracker.Retry(now); len(due) != 1 {
		t.Fatalf("due %v", due)
	}
	if _, changed := tracker.Record(now, "s", true); !changed || tracker.Lost("s") {
		t.Error("a response does not end the loss")
	}
}

// TestFailedServersAreNoLostPath guards against daemons that hand their requests over while a third of the servers are down.
func TestFailedServersAreNoLostPath(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	lost := 0
	for range 10000 {
		var tracker Tracker
		now := time.Unix(1000, 0)
		ask(&tracker, now, tracker.Doubt(now, "s"), func() bool { return random.IntN(3) > 0 })
		if tracker.Lost("s") {
			lost++
		}
	}
	if lost > 10 {
		t.Errorf("the path was lost in %d of 10000 cases", lost)
	}
}

// TestPathLostAfterResponse guards against counting on a path because a server responded before it was lost, and against asking again
// while a response is recent enough.
func TestPathLostAfterResponse(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1000, 0)
	ask(&tracker, now, tracker.Doubt(now, "s"), func() bool { return true })
	now = now.Add(doubtInterval / 5)
	if tracker.Verify(now, "s", doubtInterval/4) != 0 {
		t.Error("servers are asked although one has just responded")
	}
	if asked := ask(&tracker, now, tracker.Verify(now, "s", doubtInterval/10), func() bool { return false }); asked != 8 || !tracker.Lost("s") {
		t.Errorf("%d servers asked, lost %v; want eight and no path", asked, tracker.Lost("s"))
	}
	if tracker.Verify(now.Add(time.Second), "s", 0) != 0 {
		t.Error("servers are asked although the path is known to be lost")
	}
}
