package balance

import "time"

// Silence finds groups that have stopped making progress.
//
// # Load pattern
//
// A member of a group goes dark every few seconds. The head keeps its connections and accepts requests, but nothing
// moves until it gives up, seconds later. All streams of the group stop at the same moment, so a daemon can tell from
// the longest pass that a group's engine may take, and needs no timeout of a single request.
//
// A single connection may also go silent while its group works on for others; a request without progress for several times
// as long shows that.
//
// A daemon that was itself paused sees everything silent; a gap between two ticks moves all clocks forward by it.
type Silence struct {
	groups map[string]*pulse
	tick   time.Time
}

// pulse is the progress of one group.
type pulse struct {
	// last is when the group last made progress, or when it went from idle to busy.
	last    time.Time
	limit   time.Duration
	suspect bool
	tracks  map[*Track]struct{}
	// started counts the requests with a first event.
	started int
}

// Track is one request at a group.
type Track struct {
	group string
	// last is when the request last made progress, or when it began.
	last    time.Time
	started bool
	silent  bool
}

// Group returns the key of the group that runs the request.
func (t *Track) Group() string { return t.group }

const (
	// worstPasses is how many of the longest passes a group may stay silent.
	worstPasses = 1.5
	// waitingPasses is the same for a group whose requests have had no first event yet: they may queue for a slot.
	waitingPasses = 4
	// loneLimits is how many times a group's limit one of its requests may stay silent after its first event; one that
	// was preempted is read again meanwhile. loneWaiting is the same before the first event.
	loneLimits  = 3
	loneWaiting = 8
	// lateTick is a gap between two ticks that shows that this process did not run.
	lateTick = 100 * time.Millisecond
)

// Limit returns how long a group with running streams may stay silent: its longest pass reads a whole chunk of prompt in
// each step.
func (p *Plan) Limit() time.Duration {
	pass := p.Pass(p.Engine.Slots) + time.Duration(p.Engine.Stride)*p.Reading(p.Engine.Chunk)
	return time.Duration(float64(pass) * worstPasses)
}

// NewSilence returns an empty Silence.
func NewSilence() *Silence { return &Silence{groups: map[string]*pulse{}} }

// Begin notes a request sent to a group, limit is the group's Plan.Limit.
func (s *Silence) Begin(now time.Time, group string, limit time.Duration) *Track {
	p := s.groups[group]
	if p == nil {
		p = &pulse{last: now, tracks: map[*Track]struct{}{}}
		s.groups[group] = p
	}
	t := &Track{group: group, last: now}
	p.tracks[t] = struct{}{}
	p.limit = limit
	return t
}

// Progress notes an event of a request. It reports whether it was the first.
func (s *Silence) Progress(now time.Time, t *Track) (first bool) {
	p := s.groups[t.group]
	if p == nil {
		return false
	}
	p.last, p.suspect = now, false
	t.last = now
	if t.started {
		return false
	}
	t.started = true
	p.started++
	return true
}

// Started tells whether the request had its first event.
func (t *Track) Started() bool { return t.started }

// End notes the end of a request.
func (s *Silence) End(t *Track) {
	p := s.groups[t.group]
	if p == nil {
		return
	}
	if _, ok := p.tracks[t]; !ok {
		return
	}
	delete(p.tracks, t)
	if t.started {
		p.started--
	}
	if len(p.tracks) == 0 {
		delete(s.groups, t.group)
	}
}

// Tick returns the groups, and the single requests of other groups, that became silent since the last tick.
func (s *Silence) Tick(now time.Time) (groups []string, requests []*Track) {
	gap := now.Sub(s.tick)
	if s.tick.IsZero() || gap <= lateTick {
		gap = 0
	}
	s.tick = now
	for name, p := range s.groups {
		p.last = p.last.Add(gap)
		limit := p.limit
		if p.started == 0 {
			limit = time.Duration(float64(limit) / worstPasses * waitingPasses)
		}
		if !p.suspect && now.Sub(p.last) > limit {
			p.suspect = true
			groups = append(groups, name)
		}
		for t := range p.tracks {
			t.last = t.last.Add(gap)
			lone := loneWaiting * p.limit
			if t.started {
				lone = loneLimits * p.limit
			}
			if !t.silent && !p.suspect && now.Sub(t.last) > lone {
				t.silent = true
				requests = append(requests, t)
			}
		}
	}
	return groups, requests
}
