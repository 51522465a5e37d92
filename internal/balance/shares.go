package balance

import (
	"math"
	"time"
)

// usage tracks the recent use of a model by organisation and rank, as decaying averages, and the limit on the use of
// each organisation while there is not enough capacity for all.
//
// # Load pattern
//
// One organisation sends as much as all others together, or many times that. Its requests find room between two of a
// small organisation's and fill every group up to the point where the next request of anyone is late. So while others
// are rejected, the use of each organisation is limited, and its work beyond the limit must leave room for the
// others. The limit falls until the organisations below it are served. This is the largest fair limit, whatever the
// groups can take at that moment.
type usage struct {
	// decayedAt is when the averages were last decayed.
	decayedAt time.Time
	// used is the use of each organisation in prompt tokens, demand what it requested, unmet what was rejected at the
	// first attempt.
	used, demand, unmet map[string]float64
	// limit is the use in tokens beyond which an organisation's work comes after that of the others; infinite while
	// nobody else is rejected.
	limit float64
	ranks map[int]rankUsage
	// lateRate is the rate of requests that were placed although they could not meet their objective, rejectionRate
	// that of rejected requests, both in requests a second.
	lateRate, rejectionRate float64
}

// rankUsage is the use by one rank.
type rankUsage struct {
	// tokens counts the prompt tokens of organisations within their limit.
	tokens float64
	// placementRate is the rate of placements a second.
	placementRate float64
	// futileRate is the recent fraction of waiting requests that were not placed while they could still meet their
	// objective. futileCount counts the requests that arrived while this was more than maxFutileRate.
	futileRate     float64
	futileCount    int
	objective, gap time.Duration
}

const (
	// averagingTime is the time in which past use loses about two thirds (1-1/e) of its weight.
	averagingTime = 2 * time.Second
	// decayPeriod is how often averages are decayed, so that single requests do not pay for it.
	decayPeriod = 50 * time.Millisecond
	// unmetThreshold is the rejected fraction of the demand below the limit from which the limit falls; limitFallRate
	// and limitRiseRate are the rates at which it falls and recovers, as exponents a second.
	unmetThreshold = 0.01
	limitFallRate  = 2
	limitRiseRate  = 0.1
	// futileWeight is the weight of one request in the futile rate, maxFutileRate the rate from which waiting is
	// skipped, except for one request in futileProbeInterval, which shows whether waiting is still futile.
	futileWeight        = 0.05
	maxFutileRate       = 0.5
	futileProbeInterval = 8
	// perSecond is what one event adds to an average rate a second.
	perSecond = float64(time.Second) / float64(averagingTime)
)

func newUsage() *usage {
	return &usage{used: map[string]float64{}, demand: map[string]float64{}, unmet: map[string]float64{}, limit: math.Inf(1), ranks: map[int]rankUsage{}}
}

// halfLifeDecay returns the fraction that remains after d of a value with the given half-life.
func halfLifeDecay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// decay decays the averages and adjusts the limit.
func (s *usage) decay(now time.Time) {
	d := now.Sub(s.decayedAt)
	if d < decayPeriod {
		return
	}
	s.decayedAt = now
	factor := math.Exp(-float64(d) / float64(averagingTime))
	s.lateRate *= factor
	s.rejectionRate *= factor
	for rank, u := range s.ranks {
		u.tokens *= factor
		u.placementRate *= factor
		if u.tokens < 1 && u.placementRate < perSecond/100 {
			delete(s.ranks, rank)
		} else {
			s.ranks[rank] = u
		}
	}
	for _, averages := range []map[string]float64{s.used, s.demand, s.unmet} {
		for org, v := range averages {
			if v *= factor; v < 1 {
				delete(averages, org)
			} else {
				averages[org] = v
			}
		}
	}
	s.adjustLimit(min(d, time.Second).Seconds())
}

// adjustLimit moves the limit by how well the organisations below it are served. The largest organisation is never
// among these: limiting it for its own sake would help nobody.
func (s *usage) adjustLimit(seconds float64) {
	largest, total := 0.0, 0.0
	for org, v := range s.demand {
		largest = max(largest, v)
		total += s.used[org]
	}
	demandBelow, unmetBelow := 0.0, 0.0
	for org, v := range s.demand {
		if v < min(s.limit, largest) {
			demandBelow += v
			unmetBelow += s.unmet[org]
		}
	}
	switch {
	case unmetBelow > demandBelow*unmetThreshold:
		// The limit is never below an equal share for each organisation.
		s.limit = max(min(s.limit, largest)*math.Exp(-limitFallRate*seconds), total/float64(max(len(s.demand), 1)))
	case s.limit > 2*largest:
		s.limit = math.Inf(1)
	default:
		s.limit *= math.Exp(limitRiseRate * seconds)
	}
}

// overLimit reports whether a request's organisation has used its share while others lack theirs. Its further work
// comes after that of the other organisations of the same rank.
func (s *usage) overLimit(w *Waiter) bool { return s.used[w.Organisation] > s.limit }

// recordRequest records the demand of a new request.
func (s *usage) recordRequest(w *Waiter) { s.demand[w.Organisation] += float64(w.Prompt) }

// recordRejection records that a request was rejected.
func (s *usage) recordRejection(w *Waiter) {
	s.rejectionRate += perSecond
	if w.retryAt.IsZero() {
		s.unmet[w.Organisation] += float64(w.Prompt)
	}
}

// recordPlacement records that a request was placed.
func (s *usage) recordPlacement(w *Waiter) {
	u := s.ranks[w.Rank]
	u.placementRate, u.objective, u.gap = u.placementRate+perSecond, w.Objective, w.Gap
	if !s.overLimit(w) {
		u.tokens += float64(w.Prompt)
	}
	s.ranks[w.Rank] = u
	s.used[w.Organisation] += float64(w.Prompt)
	if w.late {
		s.lateRate += perSecond
	}
}

// recordWait records whether a request that waited was placed in time.
func (s *usage) recordWait(w *Waiter, placed bool) {
	u := s.ranks[w.Rank]
	u.futileRate *= 1 - futileWeight
	if !placed {
		u.futileRate += futileWeight
	}
	s.ranks[w.Rank] = u
}

// skipsWait reports whether a request that cannot be placed now should not wait because waiting is probably futile.
func (s *usage) skipsWait(w *Waiter) bool {
	u := s.ranks[w.Rank]
	if u.futileRate < maxFutileRate {
		return false
	}
	u.futileCount++
	s.ranks[w.Rank] = u
	return u.futileCount%futileProbeInterval != 0
}

// moreUrgent returns the fraction of the recent work that is more urgent than a rank, and the smallest objective of
// that work.
func (s *usage) moreUrgent(rank int) (fraction float64, objective time.Duration) {
	total, above := 0.0, 0.0
	for r, u := range s.ranks {
		total += u.tokens
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
	return above / total, objective
}

// placementRate returns the recent rate of placements a second.
func (s *usage) placementRate() float64 {
	sum := 0.0
	for _, u := range s.ranks {
		sum += u.placementRate
	}
	return sum
}

// mostUrgent returns the most urgent rank of recent work, if there was any.
func (s *usage) mostUrgent() (rank int, known bool) {
	for r := range s.ranks {
		if !known || r < rank {
			rank, known = r, true
		}
	}
	return rank, known
}
