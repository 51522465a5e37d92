package balance

import (
	"testing"
	"time"
)

// TestGroupStall guards against not detecting a stall, against suspecting a group that only reads a long prompt, and
// against suspecting all groups after this process was paused.
func TestGroupStall(t *testing.T) {
	p := testPlan()
	limit := p.StallTimeout()
	now := time.Now()
	s := NewStallDetector()
	tick := func(d time.Duration) (out []string) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(25 * time.Millisecond)
			groups, _ := s.Tick(now)
			out = append(out, groups...)
		}
		return out
	}
	r := s.Begin(now, "g", limit)
	if !s.Progress(now, r) || s.Progress(now, r) {
		t.Fatal("the first event is not distinguished from later ones")
	}
	if got := tick(limit - 50*time.Millisecond); len(got) != 0 {
		t.Fatalf("suspected within its longest pass: %v", got)
	}
	s.Progress(now, r)
	if got := tick(limit + 75*time.Millisecond); len(got) != 1 {
		t.Fatalf("stalled groups: %v, want one", got)
	}
	if got := tick(time.Second); len(got) != 0 {
		t.Errorf("stall reported again: %v", got)
	}
	s.Progress(now, r)
	now = now.Add(5 * time.Second)
	if got, requests := s.Tick(now); len(got)+len(requests) != 0 {
		t.Errorf("suspected after this process was paused: %v", got)
	}
	s.End(r)
	if got := tick(3 * time.Second); len(got) != 0 {
		t.Errorf("idle group suspected: %v", got)
	}
}

// TestRequestStall guards against a stream that waits until its deadline on a connection that stalled while its group
// serves others.
func TestRequestStall(t *testing.T) {
	limit := testPlan().StallTimeout()
	now := time.Now()
	s := NewStallDetector()
	works, silent := s.Begin(now, "g", limit), s.Begin(now, "g", limit)
	s.Progress(now, works)
	s.Progress(now, silent)
	var stalled []*Track
	for end := now.Add((requestStallFactor + 1) * limit); now.Before(end); {
		now = now.Add(25 * time.Millisecond)
		s.Progress(now, works)
		groups, requests := s.Tick(now)
		if len(groups) != 0 {
			t.Fatal("the group is suspected")
		}
		stalled = append(stalled, requests...)
	}
	if len(stalled) != 1 || stalled[0] != silent {
		t.Errorf("%d requests stalled, want only the silent one", len(stalled))
	}
}

// TestSecondStall guards against a group, or a request, that went on after a silence not being noticed when it falls silent again.
func TestSecondStall(t *testing.T) {
	limit := testPlan().StallTimeout()
	now := time.Now()
	s := NewStallDetector()
	works, silent := s.Begin(now, "g", limit), s.Begin(now, "g", limit)
	for round := range 2 {
		s.Progress(now, works)
		s.Progress(now, silent)
		requests := 0
		for end := now.Add((requestStallFactor + 1) * limit); now.Before(end); {
			now = now.Add(25 * time.Millisecond)
			s.Progress(now, works)
			_, stalled := s.Tick(now)
			requests += len(stalled)
		}
		if requests != 1 {
			t.Errorf("round %d: %d requests stalled, want 1", round, requests)
		}
		s.Progress(now, silent)
		groups := 0
		for end := now.Add(2 * limit); now.Before(end); {
			now = now.Add(25 * time.Millisecond)
			stalled, _ := s.Tick(now)
			groups += len(stalled)
		}
		if groups != 1 {
			t.Errorf("round %d: %d groups stalled, want 1", round, groups)
		}
	}
}

// TestNewRequestAtStalledGroup guards against a request that is sent to a stalled group waiting there unnoticed, beside an earlier
// one that still waits.
func TestNewRequestAtStalledGroup(t *testing.T) {
	limit := testPlan().StallTimeout()
	now := time.Now()
	s := NewStallDetector()
	s.Progress(now, s.Begin(now, "g", limit))
	for round := range 3 {
		groups := 0
		for end := now.Add(2 * limit); now.Before(end); {
			now = now.Add(25 * time.Millisecond)
			stalled, _ := s.Tick(now)
			groups += len(stalled)
		}
		if groups != 1 {
			t.Errorf("round %d: %d groups stalled, want 1", round, groups)
		}
		s.Begin(now, "g", limit)
	}
}

// TestQuietGroup guards against noticing only at the end of a queue's time that a group answers nothing, and against naming it again
// while nothing has changed.
func TestQuietGroup(t *testing.T) {
	s, start, limit := NewStallDetector(), time.Unix(1000, 0), 100*time.Millisecond
	track := s.Begin(start, "g", limit)
	for _, step := range []struct {
		after time.Duration
		quiet int
	}{{limit, 0}, {limit + 1, 1}, {2 * limit, 0}} {
		if got := s.Quiet(start.Add(step.after)); len(got) != step.quiet {
			t.Errorf("after %v: groups %v, want %d", step.after, got, step.quiet)
		}
	}
	s.Progress(start.Add(3*limit), track)
	if s.Silent(start.Add(4*limit), "g") || !s.Silent(start.Add(4*limit+1), "g") {
		t.Error("the silence does not begin with the last progress")
	}
	if got := s.Quiet(start.Add(5 * limit)); len(got) != 1 {
		t.Errorf("in the next silence: groups %v, want one", got)
	}
}

// TestGroupThatWorks guards against taking a group for one that works although its last event is longer ago than a pass, and against
// forgetting its event with its last request.
func TestGroupThatWorks(t *testing.T) {
	s, now, limit := NewStallDetector(), time.Unix(1000, 0), 150*time.Millisecond
	track := s.Begin(now, "g", limit)
	if s.Works(now, "g", limit) {
		t.Error("a group works before its first event")
	}
	s.Progress(now, track)
	s.End(track)
	if !s.Works(now.Add(100*time.Millisecond), "g", limit) || s.Works(now.Add(101*time.Millisecond), "g", limit) {
		t.Error("want a group to work for a pass after an event")
	}
}

// TestStallWhileShortOfTime guards against suspecting a group because this process had a processor for only part of the time, and
// against never noticing a stall meanwhile.
func TestStallWhileShortOfTime(t *testing.T) {
	limit := testPlan().StallTimeout()
	now := time.Now()
	s := NewStallDetector()
	s.Progress(now, s.Begin(now, "g", limit))
	began := now
	var stalledAfter time.Duration
	for stalledAfter == 0 && now.Sub(began) < 10*limit {
		// Every other tick is 50 ms late.
		for _, gap := range []time.Duration{25 * time.Millisecond, 75 * time.Millisecond} {
			now = now.Add(gap)
			if groups, _ := s.Tick(now); len(groups) > 0 {
				stalledAfter = now.Sub(began)
			}
		}
	}
	if stalledAfter < 3*limit/2 || stalledAfter > 3*limit {
		t.Errorf("the group counts as stalled after %v, want about twice the limit of %v", stalledAfter, limit)
	}
}

// TestEventBeforePause guards against taking an event for a later one than a suspicion because this process was paused after both.
func TestEventBeforePause(t *testing.T) {
	s, start, limit := NewStallDetector(), time.Unix(1000, 0), 300*time.Millisecond
	s.Tick(start)
	s.Progress(start, s.Begin(start, "g", limit))
	suspected := start.Add(2 * TickPeriod)
	s.Tick(suspected)
	back := suspected.Add(time.Second)
	s.Tick(back)
	if s.EventSince("g", suspected) {
		t.Error("the event counts as later than the suspicion")
	}
	if !s.Works(back, "g", limit) {
		t.Error("the pause counts as silence")
	}
}
