package balance

import (
	"math"
	"time"
)

// shares are what organisations and ranks have had of a model lately, as averages that fade, and what each organisation may
// have while there is too little for all.
//
// # Load pattern
//
// One organisation sends as much as all others together, or many times that. Its requests find room between two of a small
// one, and fill every group up to where the next request of anyone is late. So while others are refused there is a bound to
// the use of each organisation, and what one wants beyond it has to leave room for the others. The bound falls until those
// below it are met, which is the largest one that is fair, whatever the groups can take at that moment.
type shares struct {
	// faded is up to when the averages have been faded.
	faded time.Time
	// used is the use of each organisation in tokens, asked what it wanted, unmet what was refused when it first came.
	used, asked, unmet map[string]float64
	// bound is the use beyond which an organisation's work comes after that of the others, in tokens; infinite while nobody
	// else is refused.
	bound float64
	ranks map[int]rankUse
	// late is the requests that found a place in a second although they could not be in time, refused those that were turned
	// away.
	late, refused float64
}

// rankUse is the use of one rank.
type rankUse struct {
	// tokens are those of prompts of organisations within their shares.
	tokens float64
	// placed is the requests that found a place in a second.
	placed float64
	// vain is the part of those that waited lately which did so in vain: no place came while they could still be in time.
	// tried counts those who came while that was most of them.
	vain           float64
	tried          int
	objective, gap time.Duration
}

const (
	// memory is the time in which past use loses two thirds of its weight.
	memory = 2 * time.Second
	// fadePeriod is how often averages are faded, which keeps the cost of it away from single requests.
	fadePeriod = 50 * time.Millisecond
	// unmetFrom is the part of what the organisations below the bound ask for from whose refusal on the bound falls;
	// boundFalls and boundRises are how fast it does and recovers, as exponents in a second.
	unmetFrom  = 0.01
	boundFalls = 2
	boundRises = 0.1
	// vainWeight is the weight of one request in the part of those that waited in vain, mostVain the part from which on
	// waiting is pointless, but for one request in vainTries, which shows whether it still is.
	vainWeight = 0.05
	mostVain   = 0.5
	vainTries  = 8
	// perSecond is what one event adds to an average of events a second.
	perSecond = float64(time.Second) / float64(memory)
)

func newShares() *shares {
	return &shares{used: map[string]float64{}, asked: map[string]float64{}, unmet: map[string]float64{}, bound: math.Inf(1), ranks: map[int]rankUse{}}
}

// fading is what is left after d of something that halves in half.
func fading(d, half time.Duration) float64 { return math.Exp2(-float64(d) / float64(half)) }

// fade ages the averages and works out the shares.
func (s *shares) fade(now time.Time) {
	d := now.Sub(s.faded)
	if d < fadePeriod {
		return
	}
	s.faded = now
	keep := math.Exp(-float64(d) / float64(memory))
	s.late *= keep
	s.refused *= keep
	for rank, u := range s.ranks {
		u.tokens *= keep
		u.placed *= keep
		if u.tokens < 1 && u.placed < perSecond/100 {
			delete(s.ranks, rank)
		} else {
			s.ranks[rank] = u
		}
	}
	for _, averages := range []map[string]float64{s.used, s.asked, s.unmet} {
		for org, v := range averages {
			if v *= keep; v < 1 {
				delete(averages, org)
			} else {
				averages[org] = v
			}
		}
	}
	s.adjust(min(d, time.Second).Seconds())
}

// adjust moves the bound by how well the organisations below it are met. The largest one is never among these: holding it
// back for its own sake would help nobody.
func (s *shares) adjust(seconds float64) {
	most, all := 0.0, 0.0
	for org, v := range s.asked {
		most = max(most, v)
		all += s.used[org]
	}
	below, lacking := 0.0, 0.0
	for org, v := range s.asked {
		if v < min(s.bound, most) {
			below += v
			lacking += s.unmet[org]
		}
	}
	switch {
	case lacking > below*unmetFrom:
		// It is never below an equal part for each.
		s.bound = max(min(s.bound, most)*math.Exp(-boundFalls*seconds), all/float64(max(len(s.asked), 1)))
	case s.bound > 2*most:
		s.bound = math.Inf(1)
	default:
		s.bound *= math.Exp(boundRises * seconds)
	}
}

// over tells whether a request's organisation has had its share while others lack theirs. What it wants beyond comes after
// the work of the others of its rank.
func (s *shares) over(w *Waiter) bool { return s.used[w.Organisation] > s.bound }

// ask notes that a request came.
func (s *shares) ask(w *Waiter) { s.asked[w.Organisation] += float64(w.Prompt) }

// refuse notes that a request was turned away.
func (s *shares) refuse(w *Waiter) {
	s.refused += perSecond
	if w.due.IsZero() {
		s.unmet[w.Organisation] += float64(w.Prompt)
	}
}

// take notes that a request found a place.
func (s *shares) take(w *Waiter) {
	u := s.ranks[w.Rank]
	u.placed, u.objective, u.gap = u.placed+perSecond, w.Objective, w.Gap
	if !s.over(w) {
		u.tokens += float64(w.Prompt)
	}
	s.ranks[w.Rank] = u
	s.used[w.Organisation] += float64(w.Prompt)
	if w.missed {
		s.late += perSecond
	}
}

// waited notes whether a request that waited found a place in time.
func (s *shares) waited(w *Waiter, found bool) {
	u := s.ranks[w.Rank]
	u.vain *= 1 - vainWeight
	if !found {
		u.vain += vainWeight
	}
	s.ranks[w.Rank] = u
}

// vain tells whether a request that finds no place now would wait in vain.
func (s *shares) vain(w *Waiter) bool {
	u := s.ranks[w.Rank]
	if u.vain < mostVain {
		return false
	}
	u.tried++
	s.ranks[w.Rank] = u
	return u.tried%vainTries != 0
}

// urgent tells how much of the recent work is more urgent than a rank, as a part of all, and the least objective of it.
func (s *shares) urgent(rank int) (part float64, objective time.Duration) {
	all, above := 0.0, 0.0
	for r, u := range s.ranks {
		all += u.tokens
		if r < rank && u.objective > 0 {
			above += u.tokens
			if objective == 0 || u.objective < objective {
				objective = u.objective
			}
		}
	}
	if above == 0 {
		return 0, 0
	}
	return above / all, objective
}

// placed is the requests that found a place in a second lately.
func (s *shares) placed() float64 {
	sum := 0.0
	for _, u := range s.ranks {
		sum += u.placed
	}
	return sum
}

// mostUrgent is the most urgent rank of recent work, if there was any.
func (s *shares) mostUrgent() (rank int, known bool) {
	for r := range s.ranks {
		if !known || r < rank {
			rank, known = r, true
		}
	}
	return rank, known
}
