package evacuation

import (
	"testing"
	"time"
)

// TestContinuity guards against requests that a daemon sends after a pause by a set from before it, and against a daemon that sends none
// any more because the store is down.
func TestContinuity(t *testing.T) {
	const limit = 2500 * time.Millisecond
	c := &Continuity{}
	if c.Observe(time.Hour, limit) || c.Observe(time.Hour+2*time.Second, limit) || !c.Current() {
		t.Fatal("a short pause counts")
	}
	resumed := time.Hour + 10*time.Second
	if !c.Observe(resumed, limit) || c.Current() {
		t.Fatal("a long pause does not count")
	}
	c.RecordRead(resumed-5*time.Second, resumed+time.Millisecond, limit, true)
	c.RecordRead(resumed+time.Millisecond, resumed+time.Second, limit, false)
	if c.Observe(resumed+time.Second, limit) || c.Current() {
		t.Error("a read from before the pause, or one that failed, counts")
	}
	failing := *c
	failing.RecordRead(resumed+time.Second, resumed+limit, limit, false)
	if !failing.Current() {
		t.Error("the last known set is not in force while the store is down")
	}
	c.RecordRead(resumed+time.Second, resumed+1100*time.Millisecond, limit, true)
	if !c.Current() {
		t.Error("a read after the pause does not count")
	}
}
