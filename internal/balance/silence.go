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
// A daemon that was itself paused sees every group silent; a gap between two ticks moves all clocks forward by it.
type Silence struct {
	groups map[string]*pulse
	tick   time.Time
}

type pulse struct {
	// last is when the group last made progress, or when it went from idle to busy.
	last time.Time
	// streams counts requests with a first event, waiting those without.
	streams, waiting int
	limit            time.Duration
	suspect          bool
}

const (
	// worstPasses is how many of the longest passes a group may stay silent.
	worstPasses = 1.5
	// waitingPasses is the same for a group whose requests have had no first event yet: they may queue for a slot.
	waitingPasses = 4
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
func (s *Silence) Begin(now time.Time, group string, limit time.Duration) {
	p := s.groups[group]
	if p == nil {
		p = &pulse{}
		s.groups[group] = p
	}
	if p.streams+p.waiting == 0 {
		p.last = now
	}
	p.waiting++
	p.limit = limit
}

// First notes the first event of a request.
func (s *Silence) First(now time.Time, group string) {
	if p := s.groups[group]; p != nil {
		p.waiting--
		p.streams++
		p.progress(now)
	}
}

// Progress notes a later event.
func (s *Silence) Progress(now time.Time, group string) {
	if p := s.groups[group]; p != nil {
		p.progress(now)
	}
}

func (p *pulse) progress(now time.Time) { p.last, p.suspect = now, false }

// End notes the end of a request; started tells whether it had a first event.
func (s *Silence) End(group string, started bool) {
	p := s.groups[group]
	if p == nil {
		return
	}
	if started {
		p.streams--
	} else {
		p.waiting--
	}
	if p.streams+p.waiting <= 0 {
		delete(s.groups, group)
	}
}

// Tick returns the groups that became suspect since the last tick.
func (s *Silence) Tick(now time.Time) []string {
	if gap := now.Sub(s.tick); !s.tick.IsZero() && gap > lateTick {
		for _, p := range s.groups {
			p.last = p.last.Add(gap)
		}
	}
	s.tick = now
	var out []string
	for name, p := range s.groups {
		limit := p.limit
		if p.streams == 0 {
			limit = time.Duration(float64(limit) / worstPasses * waitingPasses)
		}
		if !p.suspect && now.Sub(p.last) > limit {
			p.suspect = true
			out = append(out, name)
		}
	}
	return out
}
