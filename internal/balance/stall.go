package balance

import "time"

// StallDetector detects groups and single requests that have stopped making progress.
//
// # Load pattern
//
// A member of a group stops responding every few seconds. The head keeps its connections and accepts requests, but
// nothing moves until it gives up, seconds later. All streams of the group stop at the same moment, so a daemon can
// detect the stall from the longest possible pass of the group's engine, without a timeout on a single request.
//
// A single connection may also stall while its group continues to serve others; this shows in a request without
// progress for several times as long.
//
// While a daemon is paused itself, or waits for a processor, everything appears silent to it, so a gap between two ticks moves
// all timestamps forward by what it is longer than usual.
type StallDetector struct {
	groups   map[string]*groupProgress
	lastTick time.Time
	// events holds the last event of each group for maxEventAge, also when it has no requests any more.
	events map[string]lastEvent
}

// groupProgress is the progress of one group.
type groupProgress struct {
	// lastProgress is when the group last made progress, or when it went from idle to busy.
	lastProgress time.Time
	limit        time.Duration
	stalled      bool
	// quiet is set when Quiet has returned the group since its last progress.
	quiet    bool
	requests map[*Track]struct{}
	// started counts the requests that have had a first event.
	started int
}

// lastEvent is when a group sent its last event.
type lastEvent struct {
	at time.Time
	// moved is later than at by the time in which this process did not run since.
	moved time.Time
}

// Track is one request at a group.
type Track struct {
	group string
	// lastProgress is when the request last made progress, or when it began.
	lastProgress time.Time
	started      bool
	stalled      bool
}

// Group returns the key of the group that runs the request.
func (t *Track) Group() string { return t.group }

const (
	// stallPasses is the number of longest passes after which a group without progress counts as stalled.
	stallPasses = 1.5
	// queuedStallPasses is the same for a group none of whose requests has had a first event: they may wait for a
	// slot.
	queuedStallPasses = 4
	// requestStallFactor is the same for one request after its first event, in multiples of the group's limit; a
	// request that was preempted has its prompt read again in this time. queuedRequestStallFactor is that before the
	// first event.
	requestStallFactor       = 3
	queuedRequestStallFactor = 8
	// maxEventAge is how long events are remembered: longer than a pass, and than a group is suspected.
	maxEventAge = 4 * time.Second
	// TickPeriod is the usual time between two ticks. Above maxTickGap, this process did not run for the rest.
	TickPeriod = 25 * time.Millisecond
	maxTickGap = 2 * TickPeriod
)

// StallTimeout returns how long a group with running streams may go without progress: its longest pass reads a whole
// chunk of prompt in each step.
func (p *Plan) StallTimeout() time.Duration {
	pass := p.PassTime(p.Engine.Slots) + time.Duration(p.Engine.Stride)*p.PrefillTime(p.Engine.Chunk)
	return time.Duration(float64(pass) * stallPasses)
}

// NewStallDetector returns an empty StallDetector.
func NewStallDetector() *StallDetector {
	return &StallDetector{groups: map[string]*groupProgress{}, events: map[string]lastEvent{}}
}

// Begin starts to track a request sent to a group; limit is the group's Plan.StallTimeout.
func (s *StallDetector) Begin(now time.Time, group string, limit time.Duration) *Track {
	p := s.groups[group]
	if p == nil {
		p = &groupProgress{lastProgress: now, requests: map[*Track]struct{}{}}
		s.groups[group] = p
	}
	if p.stalled {
		// The group gets another chance: only the connections of the earlier requests may have stalled.
		p.lastProgress, p.stalled = now, false
	}
	t := &Track{group: group, lastProgress: now}
	p.requests[t] = struct{}{}
	p.limit = limit
	return t
}

// Progress records an event of a request. It reports whether it was the first.
func (s *StallDetector) Progress(now time.Time, t *Track) (first bool) {
	p := s.groups[t.group]
	if p == nil {
		return false
	}
	p.lastProgress, p.stalled, p.quiet = now, false, false
	s.events[t.group] = lastEvent{at: now, moved: now}
	t.lastProgress, t.stalled = now, false
	if t.started {
		return false
	}
	t.started = true
	p.started++
	return true
}

// Started reports whether the request has had its first event.
func (t *Track) Started() bool { return t.started }

// End records the end of a request.
func (s *StallDetector) End(t *Track) {
	p := s.groups[t.group]
	if p == nil {
		return
	}
	if _, ok := p.requests[t]; !ok {
		return
	}
	delete(p.requests, t)
	if t.started {
		p.started--
	}
	if len(p.requests) == 0 {
		delete(s.groups, t.group)
	}
}

// Tick returns the groups, and the single requests of other groups, that stalled since the last tick.
func (s *StallDetector) Tick(now time.Time) (groups []string, requests []*Track) {
	gap := now.Sub(s.lastTick) - TickPeriod
	if s.lastTick.IsZero() || gap <= maxTickGap-TickPeriod {
		gap = 0
	}
	s.lastTick = now
	for name, e := range s.events {
		if e.moved = e.moved.Add(gap); now.Sub(e.at) > maxEventAge {
			delete(s.events, name)
			continue
		}
		s.events[name] = e
	}
	for name, p := range s.groups {
		p.lastProgress = p.lastProgress.Add(gap)
		limit := p.limit
		if p.started == 0 {
			limit = time.Duration(float64(limit) / stallPasses * queuedStallPasses)
		}
		if !p.stalled && now.Sub(p.lastProgress) > limit {
			p.stalled = true
			groups = append(groups, name)
		}
		for t := range p.requests {
			t.lastProgress = t.lastProgress.Add(gap)
			requestLimit := queuedRequestStallFactor * p.limit
			if t.started {
				requestLimit = requestStallFactor * p.limit
			}
			if !t.stalled && !p.stalled && now.Sub(t.lastProgress) > requestLimit {
				t.stalled = true
				requests = append(requests, t)
			}
		}
	}
	return groups, requests
}

// Silent reports whether a group has made no progress for its limit. Unlike for a stall, it does not matter whether its requests have
// had a first event, so they may also wait for a slot.
func (s *StallDetector) Silent(now time.Time, group string) bool {
	p := s.groups[group]
	return p != nil && now.Sub(p.lastProgress) > p.limit
}

// Quiet returns the groups that have become silent since the last call.
func (s *StallDetector) Quiet(now time.Time) (groups []string) {
	for name, p := range s.groups {
		if !p.quiet && s.Silent(now, name) {
			p.quiet = true
			groups = append(groups, name)
		}
	}
	return groups
}

// Works reports whether a group whose requests have the given limit has sent an event within its longest pass.
func (s *StallDetector) Works(now time.Time, group string, limit time.Duration) bool {
	e, ok := s.events[group]
	return ok && now.Sub(e.moved) <= time.Duration(float64(limit)/stallPasses)
}

// EventSince reports whether a group has sent an event after a moment that is no longer ago than maxEventAge.
func (s *StallDetector) EventSince(group string, at time.Time) bool {
	return s.events[group].at.After(at)
}
