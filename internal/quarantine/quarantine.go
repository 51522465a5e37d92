// Package quarantine detects requests and prompt parts that crash backend servers, and keeps them from reaching any more
// servers.
//
// The scheduler of a model receives the outcomes of all daemons and feeds them to its Detector. Every daemon keeps what was
// detected in a Set, tells it to the others in its digests, and rejects the requests concerned. A plain service has no
// scheduler, so one daemon collects its crashes. Answers are reported only for the requests that it suspects.
//
// # What caused a crash
//
// A crash also cuts off sound requests at the same server, and the request that caused it has sound parts as well. They
// differ in what happens elsewhere: requests with a sound part are answered soon, those with a part that crashes servers
// never are. For example, of the requests [A D 1], [B 2] and [A 3] at a server that D crashes, A, B and D are suspected at
// first. When [A 4] is answered, A no longer is, while the next crashes count for D alone.
//
// The last part of a prompt makes a request what it is, and callers repeat requests. So a whole request is suspected beside
// its parts. If [A 1] crashes servers again and again, the request is the cause: a part is so only if different requests with
// it crash servers. Crashes that a quarantined request or part explains do not count against any other.
//
// Many servers may be lost at once, for example with a data centre. So nothing is quarantined before a request has crashed
// its server that was placed after an earlier crash was known, unless the request was at every server that crashed.
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
	// minRequestCrashes and minPartCrashes are the numbers of crashed groups after which a request or a part is quarantined.
	// While many requests are cut off by other crashes, a sound one may be in all of its last few attempts by chance; then up
	// to maxCrashes are required, so that the chance stays below maxCoincidence.
	minRequestCrashes = 2
	minPartCrashes    = 3
	maxCrashes        = 5
	maxCoincidence    = 1e-3
	// settleTime is how much later than the first report of a crash the others may come. A request with minRequestCrashes is
	// judged only then, and a part with fewer than minOtherCrashes that are not crashes of one and the same request.
	settleTime      = 30 * time.Millisecond
	minOtherCrashes = 2
	// minPlainCrashes and plainSettleTime are the same for requests to plain services. Many callers send the same request there,
	// and the other daemons have to report first that it was answered.
	minPlainCrashes = 3
	plainSettleTime = 100 * time.Millisecond
	// suspicionTerm is how long after its last crash a suspected request is told to the other daemons, and maxSuspicions how
	// many are, the latest first.
	suspicionTerm = 3 * time.Second
	maxSuspicions = 16
	// rateHalfLife is the half-life of the outcomes in the rate of crashes, and priorAnswers how many answers are assumed
	// before the first outcome.
	rateHalfLife = 10 * time.Second
	priorAnswers = 50
	// CrashMemory is how long a crash counts.
	CrashMemory = 10 * time.Minute
	// maxSuspects and maxAnswered bound the requests, and the parts, with crashes and those known to have been answered. The
	// ones that have been seen least recently are dropped first. One that was answered can be suspected sooner when dropped.
	maxSuspects = 1024
	maxAnswered = 4096
	// maxGroups bounds the crashed groups, and maxRequestsPerGroup the requests that are known to have been at one.
	maxGroups           = 256
	maxRequestsPerGroup = 64
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
	// Request identifies the request, the same in all of its attempts and repeats; zero when unknown. It is sent apart from
	// the other fields, as daemons of another version accept no longer arrays.
	Request uint64 `cbor:"-"`
}

// Finding is a request or part to be quarantined.
type Finding struct {
	ID uint64
	// Request is set if ID identifies a request, not a part.
	Request bool
	// Crashes is the number of groups that it crashed, Group the last one.
	Crashes int
	Group   string
	Term    time.Duration
}

// Detector finds the requests and parts that crash backend servers from the outcomes of requests. It is not safe for
// concurrent use.
type Detector struct {
	// minCrashes is the number of crashes after which a request may be quarantined, and settleTime how long after its last one
	// it is judged. plain is set for a plain service, where the last crash must have followed an earlier known one.
	minCrashes int
	settleTime time.Duration
	plain      bool

	requests, parts evidence
	// groups holds the crashed groups by key.
	groups *simplelru.LRU[string, *crash]
	// settling holds the crashes that may lead to a quarantine once they have settled.
	settling []settlingCrash
	// cutOff and answers are decaying counts of outcomes, as of countedAt.
	cutOff, answers float64
	countedAt       time.Time
}

// evidence holds what is known for and against requests, or against parts.
type evidence struct {
	suspects *simplelru.LRU[uint64, *suspect]
	// answered holds when a request, or one with a part, was last answered.
	answered *simplelru.LRU[uint64, time.Time]
}

// suspect is a request that has crashed servers and was not answered since, or a part of such requests.
type suspect struct {
	// groups holds the crashed groups with the time at which the crash became known.
	groups map[string]time.Time
	// placed is when it was placed at the first of them, which may have been long before the crash became known here.
	placed time.Time
	// repeated is set when a request crashed its server that was placed after an earlier crash had become known.
	repeated bool
}

// crash is the crash of a group.
type crash struct {
	// cutOff counts the reports of requests that were cut off, the first at the given time.
	cutOff float64
	first  time.Time
	// requests holds the parts of the requests that were cut off.
	requests map[uint64][]uint64
	// causes holds the requests and parts in quarantine that explain the crash.
	causes []cause
}

// cause is a request or part that explains a crash.
type cause struct {
	id uint64
	// parts holds the parts of the request, one of which may be the true cause.
	parts []uint64
}

// settlingCrash is the crash of a request, after which the request and its parts are to be judged: once when it is known, and
// again when it has settled.
type settlingCrash struct {
	Outcome
	due    time.Time
	judged bool
}

// NewDetector returns a Detector without outcomes for the models of a daemon.
func NewDetector() *Detector {
	groups, _ := simplelru.NewLRU[string, *crash](maxGroups, nil) // fails only for a size below one
	return &Detector{minCrashes: minRequestCrashes, settleTime: settleTime, requests: newEvidence(), parts: newEvidence(), groups: groups, answers: priorAnswers}
}

// NewPlainDetector returns a Detector without outcomes for a plain service. Its groups are single servers.
func NewPlainDetector() *Detector {
	d := NewDetector()
	d.minCrashes, d.settleTime, d.plain = minPlainCrashes, plainSettleTime, true
	return d
}

// Suspicion is a request to a plain service that has crashed a server. Daemons report whether it has been answered since.
type Suspicion struct {
	_       struct{} `cbor:",toarray"`
	Service string
	ID      uint64
	// Age is the time since its placement at the first server that it crashed.
	Age time.Duration
}

// Suspicions returns the requests that have crashed a server lately and are not known to have been answered since, as those of
// a service.
func (d *Detector) Suspicions(now time.Time, service string) []Suspicion {
	var out []Suspicion
	latest := map[uint64]time.Time{}
	for _, id := range d.requests.suspects.Keys() {
		s, _ := d.requests.suspects.Peek(id)
		for _, at := range s.groups {
			if at.After(latest[id]) {
				latest[id] = at
			}
		}
		if now.Sub(latest[id]) <= suspicionTerm {
			out = append(out, Suspicion{Service: service, ID: id, Age: now.Sub(s.placed)})
		}
	}
	slices.SortFunc(out, func(a, b Suspicion) int {
		return cmp.Or(latest[b.ID].Compare(latest[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxSuspicions)]
}

func newEvidence() evidence {
	suspects, _ := simplelru.NewLRU[uint64, *suspect](maxSuspects, nil) // fails only for a size below one
	answered, _ := simplelru.NewLRU[uint64, time.Time](maxAnswered, nil)
	return evidence{suspects, answered}
}

// Observe records an outcome. quarantined reports whether a request or part is known from an earlier quarantine, and whether
// that has ended: then a single crash suffices, and Observe returns what is to be quarantined again.
func (d *Detector) Observe(now time.Time, o Outcome, quarantined func(id uint64) (known, ended bool)) []Finding {
	d.decay(now)
	if !o.Crashed {
		d.answers++
		for _, p := range o.Parts {
			d.parts.recordAnswer(now, p)
		}
		if o.Request != 0 {
			d.requests.recordAnswer(now, o.Request)
		}
		return nil
	}
	c := d.group(now, o.Group)
	if o.Request != 0 && (c.requests[o.Request] != nil || len(c.requests) < maxRequestsPerGroup) {
		c.requests[o.Request] = o.Parts
	}
	if id, ok := d.findKnown(o, quarantined); ok {
		return d.recordKnown(c, o, id, quarantined)
	}
	d.cutOff++
	c.cutOff++
	placed := now.Add(-o.Took)
	crashes := 0
	for _, p := range o.Parts {
		crashes = max(crashes, d.parts.recordCrash(now, placed, p, o.Group))
	}
	if o.Request != 0 {
		crashes = max(crashes, d.requests.recordCrash(now, placed, o.Request, o.Group))
	}
	if crashes >= min(d.minCrashes, minPartCrashes) {
		d.settling = append(d.settling, settlingCrash{Outcome: o, due: now.Add(d.settleTime)})
	}
	return nil
}

// Settle returns what is to be quarantined because of the outcomes so far.
func (d *Detector) Settle(now time.Time) (found []Finding) {
	for i := range d.settling {
		c := &d.settling[i]
		settled := !now.Before(c.due)
		if c.judged && !settled {
			continue
		}
		c.judged = true
		if g, ok := d.groups.Peek(c.Group); ok && len(g.causes) > 0 {
			continue // something that was in quarantine or has been put there explains the crash
		}
		if f, ok := d.judgeParts(now, c.Outcome, settled); ok {
			found = append(found, f)
		}
		if f, ok := d.judgeRequest(now, c.Outcome, settled); ok {
			found = append(found, f)
		}
	}
	d.settling = slices.DeleteFunc(d.settling, func(c settlingCrash) bool { return !now.Before(c.due) })
	return found
}

// judgeRequest judges the request of a crash, which may have settled.
func (d *Detector) judgeRequest(now time.Time, o Outcome, settled bool) (f Finding, ok bool) {
	s, ok := d.requests.suspects.Peek(o.Request)
	if !ok {
		return f, false // answered or quarantined meanwhile
	}
	n, others := d.unexplained(s, o.Request), d.otherCrashes(now, s)
	switch {
	case n < requiredCrashes(d.minCrashes, others, d.answers):
		return f, false
	case (n == d.minCrashes || d.plain) && (!settled || !s.repeated):
		return f, false
	case (n == d.minCrashes || d.plain && n < maxCrashes) && d.ambiguous(s, o):
		return f, false
	case !s.repeated && others >= 1:
		return f, false
	}
	f = Finding{ID: o.Request, Request: true, Crashes: n, Group: o.Group, Term: Term}
	if n == d.minCrashes {
		f.Term = requestTerm
	}
	d.conclude(d.requests, s, o.Request, o.Parts)
	return f, true
}

// judgeParts judges the parts of the request of a crash, which may have settled.
func (d *Detector) judgeParts(now time.Time, o Outcome, settled bool) (f Finding, ok bool) {
	f = Finding{Group: o.Group, Term: Term}
	var culprit *suspect
	// Of parts with equally many crashes, the most specific one is taken, which the fewest sound requests share. If a more
	// common one is the cause, the next crash of another request with it shows that.
	for _, p := range o.Parts {
		s, ok := d.parts.suspects.Peek(p)
		if !ok || !s.repeated {
			continue
		}
		n := d.unexplained(s, p)
		if n < f.Crashes || n < requiredCrashes(minPartCrashes, d.otherCrashes(now, s), d.answers) {
			continue
		}
		// Crashes of one and the same request do not tell its parts from the rest of it.
		if others := n - d.mostOfOneRequest(s, p); others < 1 || others < minOtherCrashes && !settled {
			continue
		}
		if n >= maxCrashes || !d.ambiguous(s, o) {
			f.ID, f.Crashes, culprit = p, n, s
		}
	}
	if culprit == nil {
		return f, false
	}
	d.conclude(d.parts, culprit, f.ID, o.Parts)
	return f, true
}

// mostOfOneRequest returns the largest number of crashes of a part that were crashes of one and the same request.
func (d *Detector) mostOfOneRequest(s *suspect, part uint64) int {
	crashes, most := map[uint64]int{}, 0
	for key := range s.groups {
		if c, ok := d.groups.Peek(key); ok {
			for request, parts := range c.requests {
				if slices.Contains(parts, part) {
					crashes[request]++
					most = max(most, crashes[request])
				}
			}
		}
	}
	return most
}

// ambiguous reports whether something else than the request of an outcome and its parts was in all crashes of a suspect.
func (d *Detector) ambiguous(s *suspect, o Outcome) bool {
	inAll := func(e evidence, id uint64) bool {
		other, ok := e.suspects.Peek(id)
		if !ok {
			return false
		}
		for key := range s.groups {
			if _, ok := other.groups[key]; !ok {
				return false
			}
		}
		return true
	}
	for key := range s.groups {
		c, ok := d.groups.Peek(key)
		if !ok {
			continue
		}
		for other, parts := range c.requests {
			if other != o.Request && inAll(d.requests, other) {
				return true
			}
			if slices.ContainsFunc(parts, func(p uint64) bool { return !slices.Contains(o.Parts, p) && inAll(d.parts, p) }) {
				return true
			}
		}
		break // what was in all crashes was in this one
	}
	return false
}

// otherCrashes returns the decayed count of the requests that were cut off by crashes that a suspect was not in.
func (d *Detector) otherCrashes(now time.Time, s *suspect) float64 {
	others := d.cutOff
	for key := range s.groups {
		if c, ok := d.groups.Peek(key); ok {
			others -= c.cutOff * decayed(now.Sub(c.first))
		}
	}
	return max(others, 0)
}

func (d *Detector) decay(now time.Time) {
	if !d.countedAt.IsZero() {
		f := decayed(now.Sub(d.countedAt))
		d.cutOff, d.answers = d.cutOff*f, max(d.answers*f, priorAnswers)
	}
	d.countedAt = now
}

func decayed(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / rateHalfLife.Seconds())
}

// group returns the record of a crashed group.
func (d *Detector) group(now time.Time, key string) *crash {
	c, ok := d.groups.Get(key)
	if !ok {
		c = &crash{first: now, requests: map[uint64][]uint64{}}
		d.groups.Add(key, c)
	}
	return c
}

// findKnown returns the first id of a request that is known from a quarantine, and was not answered since.
func (d *Detector) findKnown(o Outcome, quarantined func(uint64) (known, ended bool)) (id uint64, ok bool) {
	isKnown := func(e evidence, id uint64) bool {
		known, ended := quarantined(id)
		return known && (!ended || !e.answered.Contains(id))
	}
	if o.Request != 0 && isKnown(d.requests, o.Request) {
		return o.Request, true
	}
	for _, p := range o.Parts {
		if isKnown(d.parts, p) {
			return p, true
		}
	}
	return 0, false
}

// recordKnown records the crash of a request that is or was in quarantine, or has such a part: id. It was placed before the
// quarantine began, or after it had ended. id explains the crash.
func (d *Detector) recordKnown(c *crash, o Outcome, id uint64, quarantined func(uint64) (known, ended bool)) []Finding {
	if slices.ContainsFunc(c.causes, func(c cause) bool { return c.id == id }) {
		return nil // reported before
	}
	f := Finding{ID: id, Request: id == o.Request, Crashes: 1, Group: o.Group, Term: Term}
	c.causes = append(c.causes, cause{id, o.Parts})
	// The quarantine of a request may have begun with a short term.
	if _, ended := quarantined(id); ended || f.Request {
		return []Finding{f}
	}
	return nil
}

// conclude ends the suspicion of a request or part that is to be quarantined, and that explains its crashes. parts holds the
// parts of the request.
func (d *Detector) conclude(e evidence, s *suspect, id uint64, parts []uint64) {
	for key := range s.groups {
		if c, ok := d.groups.Peek(key); ok {
			c.causes = append(c.causes, cause{id, parts})
		}
	}
	e.suspects.Remove(id)
	e.answered.Remove(id)
}

// unexplained returns the number of crashes of a suspect that nothing in quarantine explains. What is in quarantine does not
// exculpate the parts of the same request, as one of them may be the true cause.
func (d *Detector) unexplained(s *suspect, id uint64) int {
	n := 0
	for key := range s.groups {
		c, ok := d.groups.Peek(key)
		if !ok || !slices.ContainsFunc(c.causes, func(c cause) bool { return c.id != id && !slices.Contains(c.parts, id) }) {
			n++
		}
	}
	return n
}

// requiredCrashes returns the number of crashes, at least least, that are required while so many other requests are cut off
// and answered. The rate of crashes of other requests tells how likely it is that a sound one was in so many.
func requiredCrashes(least int, others, answers float64) int {
	rate := others / (others + answers)
	required := least
	for required < maxCrashes && math.Pow(rate, float64(required)) > maxCoincidence {
		required++
	}
	return required
}

func (e evidence) recordAnswer(now time.Time, id uint64) {
	e.answered.Add(id, now)
	e.suspects.Remove(id)
}

// recordCrash records that a request, or one with a part, crashed a group, unless it was answered after it had been placed. It
// returns the number of groups that crashed.
func (e evidence) recordCrash(now, placed time.Time, id uint64, group string) int {
	if answered, ok := e.answered.Get(id); ok && placed.Before(answered) {
		return 0
	}
	s, _ := e.suspects.Get(id)
	if s == nil {
		s = &suspect{groups: map[string]time.Time{}}
		e.suspects.Add(id, s)
	}
	s.record(now, placed, group)
	return len(s.groups)
}

func (s *suspect) record(now, placed time.Time, group string) {
	maps.DeleteFunc(s.groups, func(_ string, at time.Time) bool { return now.Sub(at) > CrashMemory })
	if len(s.groups) == 0 {
		s.placed, s.repeated = placed, false
	}
	if placed.Before(s.placed) {
		s.placed = placed
	}
	for _, at := range s.groups {
		s.repeated = s.repeated || placed.After(at)
	}
	if _, ok := s.groups[group]; !ok {
		s.groups[group] = now
	}
}

const (
	// Term is how long a request or part stays in quarantine. requestTerm is the first term of a request after the fewest
	// crashes that suffice, in which it may have been by chance.
	Term        = 10 * time.Minute
	requestTerm = time.Minute
	// maxExtension is the largest fraction added to the term by each daemon for itself, so that after the term only one
	// daemon tries the request or part again. The others learn of another crash before their own term ends.
	maxExtension = 0.5
	// maxEntries bounds the entries of a Set. Those whose term ends first are dropped first.
	maxEntries = 1024
	// maxAdvertised bounds the entries in one digest, the latest first. Daemons read all others from the store.
	maxAdvertised = 64
)

// Entry is a request or part in quarantine, as daemons tell it to each other.
type Entry struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Left is the rest of the term.
	Left time.Duration
}

// Set holds the requests and parts in quarantine. It is not safe for concurrent use.
type Set struct {
	entries map[uint64]term
}

// term is the quarantine of one request or part.
type term struct {
	// until is when the term ends for the fleet, and end is when it ends for this daemon, which is not before until. The
	// entry is kept for another term, in which a single crash starts a new quarantine.
	until, end time.Time
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: map[uint64]term{}} }

// Add adds an entry. It reports whether its request or part was not in quarantine before. random returns numbers in [0, 1).
func (s *Set) Add(now time.Time, e Entry, random func() float64) bool {
	left := min(e.Left, Term)
	if left <= 0 {
		return false
	}
	old, ok := s.entries[e.ID]
	until := now.Add(left)
	if ok && !until.After(old.until.Add(renewalMargin)) {
		return false
	}
	s.entries[e.ID] = term{until, until.Add(time.Duration(random() * maxExtension * float64(left)))}
	if len(s.entries) > maxEntries {
		s.dropEarliest(now)
	}
	return !ok || !now.Before(old.end)
}

// renewalMargin is how much later a term has to end to replace a known one. The same term seems to end later with each
// daemon that passes it on.
const renewalMargin = time.Minute

func (s *Set) dropEarliest(now time.Time) {
	s.Expire(now)
	for len(s.entries) > maxEntries {
		earliest, first := uint64(0), time.Time{}
		for id, t := range s.entries {
			if first.IsZero() || t.until.Before(first) {
				earliest, first = id, t.until
			}
		}
		delete(s.entries, earliest)
	}
}

// Match returns the first of the given ids that is in quarantine, and how long it stays.
func (s *Set) Match(now time.Time, ids []uint64) (id uint64, left time.Duration, ok bool) {
	for _, id := range ids {
		if t, ok := s.entries[id]; ok && now.Before(t.end) {
			return id, t.end.Sub(now), true
		}
	}
	return 0, 0, false
}

// Known reports whether an id is or lately was in quarantine, and whether that has ended.
func (s *Set) Known(now time.Time, id uint64) (known, ended bool) {
	t, known := s.entries[id]
	return known, known && !now.Before(t.end)
}

// Advertised returns the entries to tell to other daemons.
func (s *Set) Advertised(now time.Time) []Entry {
	var out []Entry
	for id, t := range s.entries {
		if left := t.until.Sub(now); left > 0 {
			out = append(out, Entry{ID: id, Left: left})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.ID, b.ID)) })
	return out[:min(len(out), maxAdvertised)]
}

// Len returns the number of requests and parts in quarantine.
func (s *Set) Len(now time.Time) int {
	n := 0
	for _, t := range s.entries {
		if now.Before(t.end) {
			n++
		}
	}
	return n
}

// Empty reports whether nothing is or lately was in quarantine.
func (s *Set) Empty() bool { return len(s.entries) == 0 }

// Expire drops the entries whose quarantine ended a term ago, and returns their ids.
func (s *Set) Expire(now time.Time) []uint64 {
	var out []uint64
	for id, t := range s.entries {
		if now.Sub(t.end) > Term {
			out = append(out, id)
			delete(s.entries, id)
		}
	}
	return out
}
