// Package quarantine detects prompt parts that crash backend servers, and keeps requests with these parts from reaching
// any more of them.
//
// The scheduler of a model receives the outcomes of all daemons and feeds them to its Detector. Every daemon keeps the
// detected parts in a Set, tells them to the others in its digests, and rejects requests with them.
//
// # Which part caused a crash
//
// A crash also cuts off sound requests at the same server, and the request that caused it has sound parts as well. The
// parts differ in what happens elsewhere: requests with a sound part are answered soon, those with a part that crashes
// servers never are. For example, of the requests [A D 1], [B 2] and [A 3] at a server that D crashes, A, B and D are
// suspected at first. When [A 4] is answered, A no longer is, while the next crashes count for D alone. The last part of
// a prompt belongs to one request, so it is not considered.
//
// Many servers may be lost at once, for example with a data centre. So a part is not quarantined before a request has
// crashed its server that was placed after an earlier crash was known.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCrashes is the number of crashed groups after which a part is quarantined. While many requests are cut off by crashes,
	// a sound part may be in all of its last few requests by chance; then up to maxCrashes are required, so that the chance
	// stays below maxCoincidence.
	minCrashes     = 3
	maxCrashes     = 5
	maxCoincidence = 1e-3
	// rateHalfLife is the half-life of the outcomes in the rate of crashes, and priorAnswers how many answers are assumed
	// before the first outcome.
	rateHalfLife = 10 * time.Second
	priorAnswers = 50
	// crashMemory is how long a crash counts.
	crashMemory = 10 * time.Minute
	// maxSuspects and maxAnswered bound the parts with crashes and those known to have been answered. The ones that
	// have been seen least recently are dropped first. An answered part that is dropped can be suspected sooner.
	maxSuspects = 1024
	maxAnswered = 4096
)

// Outcome is what happened to a request at a group.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// Parts identifies the parts of the prompt that other requests may share, from the most common to the most specific.
	Parts []uint64
	// Group is the key of the group.
	Group string
	// Took is the time from the placement of the request to the outcome.
	Took time.Duration
	// Crashed is set when the server ended before it had answered; otherwise it has answered.
	Crashed bool
}

// Detector finds the parts that crash backend servers from the outcomes of requests. It is not safe for concurrent use.
type Detector struct {
	suspects *simplelru.LRU[uint64, *suspect]
	// answered holds when a request with a part was last answered.
	answered *simplelru.LRU[uint64, time.Time]
	// crashes and answers are decaying counts of outcomes, as of countedAt.
	crashes, answers float64
	countedAt        time.Time
}

// suspect is a part of which requests have crashed servers and none has been answered since.
type suspect struct {
	// groups holds the crashed groups with the time at which the crash became known.
	groups map[string]time.Time
	// repeated is set when a request crashed its server that was placed after an earlier crash had become known.
	repeated bool
}

// NewDetector returns a Detector without outcomes.
func NewDetector() *Detector {
	suspects, _ := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil) // fails only for a size below one
	answered, _ := simplelru.NewLRU[uint64, time.Time](maxAnswered, nil)
	return &Detector{suspects: suspects, answered: answered, answers: priorAnswers}
}

// Observe records an outcome. It returns the part that has to be quarantined because of it, if there is one. quarantined
// reports whether a part is known from an earlier quarantine, and whether that has ended: then a single crash suffices.
func (d *Detector) Observe(now time.Time, o Outcome, quarantined func(part uint64) (known, ended bool)) (part uint64, detected bool) {
	decay := math.Exp2(-max(now.Sub(d.countedAt), 0).Seconds() / rateHalfLife.Seconds())
	if d.countedAt.IsZero() {
		decay = 1
	}
	d.crashes, d.answers, d.countedAt = d.crashes*decay, max(d.answers*decay, priorAnswers), now
	if !o.Crashed {
		d.answers++
		for _, p := range o.Parts {
			d.answered.Add(p, now)
			d.suspects.Remove(p)
		}
		return 0, false
	}
	for _, p := range o.Parts {
		if known, ended := quarantined(p); known {
			// The request was placed before the part was quarantined, or after that had ended. The other parts did not
			// cause the crash.
			return p, ended
		}
	}
	d.crashes++
	placed := now.Add(-o.Took)
	most := 0
	// Of parts with equally many crashes, the most specific one is taken, which the fewest sound requests share. If a more
	// common one is the cause, the next crash of another request with it shows that.
	for _, p := range o.Parts {
		if answered, ok := d.answered.Get(p); ok && placed.Before(answered) {
			continue
		}
		s, _ := d.suspects.Get(p)
		if s == nil {
			s = &suspect{groups: map[string]time.Time{}}
			d.suspects.Add(p, s)
		}
		s.record(now, placed, o.Group)
		if n := len(s.groups); s.repeated && n >= d.requiredCrashes(n) && n >= most {
			part, detected, most = p, true, n
		}
	}
	if detected {
		d.suspects.Remove(part)
	}
	return part, detected
}

// requiredCrashes returns the number of crashes after which a part with n of them is quarantined. The rate of crashes of
// other requests tells how likely it is that a sound part was in n of them.
func (d *Detector) requiredCrashes(n int) int {
	others := max(d.crashes-float64(n), 0)
	rate := others / (others + d.answers)
	required := minCrashes
	for required < maxCrashes && math.Pow(rate, float64(required)) > maxCoincidence {
		required++
	}
	return required
}

func (s *suspect) record(now, placed time.Time, group string) {
	maps.DeleteFunc(s.groups, func(_ string, at time.Time) bool { return now.Sub(at) > crashMemory })
	if len(s.groups) == 0 {
		s.repeated = false
	}
	for _, at := range s.groups {
		s.repeated = s.repeated || placed.After(at)
	}
	if _, ok := s.groups[group]; !ok {
		s.groups[group] = now
	}
}

const (
	// Term is how long a part stays in quarantine.
	Term = 10 * time.Minute
	// maxExtension is the largest fraction added to the term by each daemon for itself, so that after the term only one
	// daemon tries the part again. The others learn of another crash before their own term ends.
	maxExtension = 0.5
	// maxParts bounds the parts in a Set. Those whose term ends first are dropped first.
	maxParts = 1024
	// maxAdvertised bounds the parts in one digest, the latest first. Daemons read all others from the store.
	maxAdvertised = 64
)

// Part is a part in quarantine, as daemons tell it to each other.
type Part struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Left is the rest of the term.
	Left time.Duration
}

// Set holds the parts in quarantine. It is not safe for concurrent use.
type Set struct {
	parts map[uint64]term
}

// term is the quarantine of one part.
type term struct {
	// until is when the term ends for the fleet, and end is when it ends for this daemon, which is not before until. The
	// entry is kept for another term, in which a single crash starts a new quarantine.
	until, end time.Time
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{parts: map[uint64]term{}} }

// Add adds a part. It reports whether the part was not in quarantine before. random returns numbers in [0, 1).
func (s *Set) Add(now time.Time, p Part, random func() float64) bool {
	left := min(p.Left, Term)
	if left <= 0 {
		return false
	}
	old, ok := s.parts[p.ID]
	until := now.Add(left)
	if ok && !until.After(old.until.Add(renewalMargin)) {
		return false
	}
	s.parts[p.ID] = term{until, until.Add(time.Duration(random() * maxExtension * float64(Term)))}
	if len(s.parts) > maxParts {
		s.dropEarliest(now)
	}
	return !ok || !now.Before(old.end)
}

// renewalMargin is how much later a term has to end to replace a known one. The same term seems to end later with each
// daemon that passes it on.
const renewalMargin = time.Minute

func (s *Set) dropEarliest(now time.Time) {
	s.Expire(now)
	for len(s.parts) > maxParts {
		earliest, first := uint64(0), time.Time{}
		for id, t := range s.parts {
			if first.IsZero() || t.until.Before(first) {
				earliest, first = id, t.until
			}
		}
		delete(s.parts, earliest)
	}
}

// Match returns the first of the given parts that is in quarantine, and how long it stays.
func (s *Set) Match(now time.Time, parts []uint64) (id uint64, left time.Duration, ok bool) {
	for _, id := range parts {
		if t, ok := s.parts[id]; ok && now.Before(t.end) {
			return id, t.end.Sub(now), true
		}
	}
	return 0, 0, false
}

// Known reports whether a part is or lately was in quarantine, and whether that has ended.
func (s *Set) Known(now time.Time, id uint64) (known, ended bool) {
	t, known := s.parts[id]
	return known, known && !now.Before(t.end)
}

// Advertised returns the parts to tell to other daemons.
func (s *Set) Advertised(now time.Time) []Part {
	var out []Part
	for id, t := range s.parts {
		if left := t.until.Sub(now); left > 0 {
			out = append(out, Part{ID: id, Left: left})
		}
	}
	slices.SortFunc(out, func(a, b Part) int { return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxAdvertised)]
}

// Len returns the number of parts in quarantine.
func (s *Set) Len(now time.Time) int {
	n := 0
	for _, t := range s.parts {
		if now.Before(t.end) {
			n++
		}
	}
	return n
}

// Expire drops the parts whose quarantine ended a term ago, and returns them.
func (s *Set) Expire(now time.Time) []uint64 {
	var out []uint64
	for id, t := range s.parts {
		if now.Sub(t.end) > Term {
			out = append(out, id)
			delete(s.parts, id)
		}
	}
	return out
}
