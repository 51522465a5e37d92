// Package placement chooses the model group that runs a request.
//
// A Picker holds what a daemon knows about the groups of one service: cached prefixes, load reports and speed. It is
// not safe for concurrent use.
package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Query describes the request to place.
type Query struct {
	// PrefixHashes holds the hashes of prefixes of the prompt in order of increasing length.
	PrefixHashes []uint64
	// DataCentre is the daemon's own data centre.
	DataCentre string
	// Urgent reports whether a user waits for the answer, so that the request should rarely probe a straggler.
	Urgent bool
}

// Candidate is a group that can run the request.
type Candidate struct {
	Group      string
	DataCentre string
	// Slots is the capacity of the group. Running is the number of requests of all daemons known to run there.
	Slots, Running int
	// Free is how many more requests of the rank this daemon may start there. A candidate without any is not chosen.
	Free int
}

// Load is a load report of a group.
type Load struct {
	Generation uint64
	// Running and Waiting count the requests of all daemons.
	Running, Waiting int
	// TokenInterval is the mean time between tokens of a stream, or 0 if none ran.
	TokenInterval time.Duration
	// MeasuredAt is when the report was true, by this daemon's clock. The time at which this daemon asked for the
	// report is a safe value.
	MeasuredAt time.Time
}

// CacheEvent is an insertion into a group's prefix cache or, with Evicted, a removal from it.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

const (
	// cacheLoadBound limits the load of a group that is preferred for a cached prefix, as a multiple of the mean load.
	cacheLoadBound = 1.25
	// A group becomes a straggler after stragglerReports consecutive reports above stragglerRatio times the median time
	// per token of the service's groups, until a report below recoveryRatio times the median. Meanwhile one request in
	// probeInterval goes there.
	stragglerRatio, recoveryRatio = 2, 1.5
	stragglerReports              = 3
	probeInterval                 = 20
	// urgentProbeInterval replaces probeInterval for urgent requests: with one request in 200, the straggler does not
	// affect their 99th percentile.
	urgentProbeInterval = 200

	// reportHalfAge is the age at which a report and the mean of the reports before it have equal weight. In the
	// simulation of TestLateReports, values of 250 ms and more overloaded groups that had been idle a short while
	// before. Older reports have a weight of at least minReportWeight, so that the estimate follows a lasting change.
	reportHalfAge   = 100 * time.Millisecond
	minReportWeight = 0.05

	// maxGroups limits the number of known groups. Nothing is recorded for groups beyond it.
	maxGroups = 256
	// maxPrefixes limits each of the two generations of the prefix index. An entry takes 40 bytes before the overhead
	// of the map, so that both together stay below 4 MB.
	maxPrefixes = 1 << 14
	// maxChanges limits, for each group, the starts and ends of requests that the next report may not include yet.
	maxChanges = 512
)

// groupSet is a bit set of group indexes.
type groupSet [maxGroups / 64]uint64

func (s *groupSet) has(i int) bool { return s[i/64]>>(i%64)&1 == 1 }
func (s *groupSet) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *groupSet) remove(i int)   { s[i/64] &^= 1 << (i % 64) }

// loadChange is the start (delta 1) or the end (delta -1) of a request of this daemon.
type loadChange struct {
	at    time.Time
	delta int
}

type group struct {
	index      int
	generation uint64
	// ownRequests is the number of this daemon's requests on the group, otherRequests the estimate for the other
	// daemons from the load reports.
	ownRequests   int
	reported      bool
	otherRequests float64
	reportedAt    time.Time
	// changes holds the changes since the time of the last report.
	changes []loadChange

	tokenInterval time.Duration
	slowReports   int
	straggler     bool
	sinceProbe    int

	// nextSeq is the sequence number of the next cache event.
	nextSeq uint64
}

// Picker chooses among the groups of one service. The zero value is ready to use.
type Picker struct {
	groups      map[string]*group
	usedIndexes groupSet
	// recentPrefixes and olderPrefixes map a prefix hash to the groups that cache the prefix. When recentPrefixes is
	// full it replaces olderPrefixes.
	recentPrefixes, olderPrefixes map[uint64]groupSet

	// The slices below are reused by Pick to avoid allocations.
	candidateGroups []*group
	candidateLoads  []int
	freeLocal       []int
	free            []int
}

// Pick returns the index of the chosen candidate, or -1 if none is free. random must be uniformly distributed. It
// prefers a group that caches a prefix of the prompt, otherwise the less loaded of two random groups.
func (p *Picker) Pick(q Query, cs []Candidate, random uint64) int {
	p.candidateGroups, p.candidateLoads, p.freeLocal, p.free = p.candidateGroups[:0], p.candidateLoads[:0], p.freeLocal[:0], p.free[:0]
	straggler, sum, slots := -1, 0, 0
	probe := -1
	for i := range cs {
		c := &cs[i]
		g := p.groups[c.Group]
		load := c.Running
		if g != nil {
			load = g.estimatedLoad(c.Running)
		}
		p.candidateGroups, p.candidateLoads = append(p.candidateGroups, g), append(p.candidateLoads, load)
		if g != nil && g.straggler {
			if c.Free > 0 {
				if straggler < 0 || load < p.candidateLoads[straggler] {
					straggler = i
				}
				interval := probeInterval
				if q.Urgent {
					interval = urgentProbeInterval
				}
				if g.sinceProbe++; probe < 0 && g.sinceProbe >= interval {
					probe = i
				}
			}
			continue
		}
		sum, slots = sum+load, slots+c.Slots
		if c.Free > 0 {
			p.free = append(p.free, i)
			if c.DataCentre == q.DataCentre && load < c.Slots {
				p.freeLocal = append(p.freeLocal, i)
			}
		}
	}
	if probe >= 0 {
		p.candidateGroups[probe].sinceProbe = 0
		return probe
	}
	if len(p.free) == 0 {
		// The least loaded straggler that is free, or -1.
		return straggler
	}
	if i := p.pickCached(q, cs, float64(sum+1)/float64(max(1, slots))); i >= 0 {
		return i
	}
	// The latency to another data centre is lower than the wait for a slot in this one.
	choices := p.freeLocal
	if len(choices) == 0 {
		choices = p.free
	}
	n := uint64(len(choices))
	hi, lo := bits.Mul64(random, n)
	a := choices[hi]
	if n == 1 {
		return a
	}
	hi2, _ := bits.Mul64(lo, n-1)
	if hi2 >= hi {
		hi2++
	}
	if b := choices[hi2]; p.candidateLoads[b]*cs[a].Slots < p.candidateLoads[a]*cs[b].Slots {
		return b
	}
	return a
}

// pickCached returns the candidate with the longest cached prefix among those whose load is within cacheLoadBound, or
// -1. Among equals it prefers the daemon's data centre, then the lower load. mean is the load per slot including the
// new request.
func (p *Picker) pickCached(q Query, cs []Candidate, mean float64) int {
	for n := len(q.PrefixHashes) - 1; n >= 0; n-- {
		s, ok := p.recentPrefixes[q.PrefixHashes[n]]
		if o, more := p.olderPrefixes[q.PrefixHashes[n]]; more {
			ok = true
			for w := range s {
				s[w] |= o[w]
			}
		}
		if !ok {
			continue
		}
		best := -1
		for _, i := range p.free {
			g := p.candidateGroups[i]
			if g == nil || g.index < 0 || !s.has(g.index) ||
				float64(p.candidateLoads[i]+1) > math.Ceil(cacheLoadBound*mean*float64(cs[i].Slots)) {
				continue
			}
			local, bestLocal := cs[i].DataCentre == q.DataCentre, best >= 0 && cs[best].DataCentre == q.DataCentre
			if best < 0 || local && !bestLocal || local == bestLocal && p.candidateLoads[i] < p.candidateLoads[best] {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// estimatedLoad is the number of the daemon's own requests, which is exact, plus the estimate for other daemons.
// Without a load report it is the higher of running and the daemon's own requests.
func (g *group) estimatedLoad(running int) int {
	if !g.reported {
		return max(running, g.ownRequests)
	}
	return g.ownRequests + int(g.otherRequests+0.5)
}

// RecordLoad records a load report of a group. Reports older than the last one are ignored.
func (p *Picker) RecordLoad(now time.Time, name string, l Load) {
	g := p.groupFor(name)
	if l.MeasuredAt.IsZero() || l.MeasuredAt.After(now) {
		l.MeasuredAt = now
	}
	if l.Generation < g.generation || l.Generation == g.generation && l.MeasuredAt.Before(g.reportedAt) {
		return
	}
	p.setGeneration(g, l.Generation)
	i, own := 0, g.ownRequests
	for ; i < len(g.changes) && !g.changes[i].at.After(l.MeasuredAt); i++ {
	}
	g.changes = slices.Delete(g.changes, 0, i)
	for _, c := range g.changes {
		own -= c.delta
	}
	// A report is in use until the next one arrives. The older it is during that time, the less it says about the
	// requests that other daemons run by then, and the better the mean of earlier reports is as an estimate.
	others := float64(max(0, l.Running+l.Waiting-own))
	age := now.Sub(l.MeasuredAt) + l.MeasuredAt.Sub(g.reportedAt)/2
	weight := max(minReportWeight, 1/(1+float64(age)/float64(reportHalfAge)))
	if !g.reported {
		weight = 1
	}
	g.reported, g.reportedAt = true, l.MeasuredAt
	g.otherRequests += weight * (others - g.otherRequests)
	if l.TokenInterval <= 0 {
		return
	}
	g.tokenInterval = l.TokenInterval
	median := p.medianTokenInterval()
	switch ratio := float64(l.TokenInterval) / float64(median); {
	case ratio > stragglerRatio:
		if g.slowReports++; g.slowReports >= stragglerReports && !g.straggler {
			g.straggler, g.sinceProbe = true, 0
		}
	case ratio < recoveryRatio:
		g.slowReports, g.straggler = 0, false
	default:
		g.slowReports = 0
	}
}

// MarkStraggler marks a group as a straggler because its requests wait much longer for their first token than those on
// other groups. It stays one until a load report shows otherwise.
func (p *Picker) MarkStraggler(name string) {
	if g := p.groups[name]; g != nil && !g.straggler {
		g.slowReports, g.straggler, g.sinceProbe = stragglerReports, true, 0
	}
}

// IsStraggler reports whether a group is a straggler.
func (p *Picker) IsStraggler(name string) bool {
	g := p.groups[name]
	return g != nil && g.straggler
}

// medianTokenInterval returns the lower median, so that one of two groups can be a straggler.
func (p *Picker) medianTokenInterval() time.Duration {
	var ts []time.Duration
	for _, g := range p.groups {
		if g.tokenInterval > 0 {
			ts = append(ts, g.tokenInterval)
		}
	}
	slices.Sort(ts)
	return ts[(len(ts)-1)/2]
}

// RecordSent records that this daemon sent a request to a group. The group is expected to cache its prefixes.
func (p *Picker) RecordSent(now time.Time, name string, q Query) {
	g := p.groupFor(name)
	g.recordChange(now, 1)
	for _, h := range q.PrefixHashes {
		p.addPrefix(g, h)
	}
}

// RecordEnded records that a request of this daemon ended on a group.
func (p *Picker) RecordEnded(now time.Time, name string) {
	if g := p.groups[name]; g != nil {
		g.recordChange(now, -1)
	}
}

func (g *group) recordChange(now time.Time, by int) {
	if len(g.changes) >= maxChanges {
		// Assumes that the next report includes the oldest change.
		g.changes = slices.Delete(g.changes, 0, 1)
	}
	g.changes = append(g.changes, loadChange{now, by})
	g.ownRequests = max(0, g.ownRequests+by)
}

// ApplyCacheEvents applies cache events of a group in the order of their sequence numbers. next is the number after the
// last event of the engine. Repeated events are ignored. After a gap, everything recorded before it is discarded.
func (p *Picker) ApplyCacheEvents(_ time.Time, name string, generation, next uint64, events []CacheEvent) {
	g := p.groupFor(name)
	if generation < g.generation {
		return
	}
	p.setGeneration(g, generation)
	for _, e := range events {
		if e.Seq < g.nextSeq {
			continue
		}
		if e.Seq > g.nextSeq {
			p.clearPrefixes(g)
		}
		g.nextSeq = e.Seq + 1
		if !e.Evicted {
			p.addPrefix(g, e.Prefix)
		} else if g.index >= 0 {
			p.removePrefix(g, e.Prefix)
		}
	}
	if next > g.nextSeq {
		p.clearPrefixes(g)
		g.nextSeq = next
	}
}

// Retain discards all groups that are not in names.
func (p *Picker) Retain(names []string) {
	for name, g := range p.groups {
		if !slices.Contains(names, name) {
			p.clearPrefixes(g)
			if g.index >= 0 {
				p.usedIndexes.remove(g.index)
			}
			delete(p.groups, name)
		}
	}
}

func (p *Picker) groupFor(name string) *group {
	g := p.groups[name]
	if g != nil {
		return g
	}
	g = &group{index: -1}
	for i := range maxGroups {
		if !p.usedIndexes.has(i) {
			g.index = i
			p.usedIndexes.add(i)
			break
		}
	}
	if g.index < 0 {
		// Not stored: the caller uses more than maxGroups groups without calling Retain.
		return g
	}
	if p.groups == nil {
		p.groups = map[string]*group{}
	}
	p.groups[name] = g
	return g
}

// setGeneration discards what was recorded for another generation. Requests sent before the first generation was known
// still count.
func (p *Picker) setGeneration(g *group, generation uint64) {
	if generation == g.generation {
		return
	}
	if g.generation != 0 {
		p.clearPrefixes(g)
		*g = group{index: g.index}
	}
	g.generation = generation
}

func (p *Picker) addPrefix(g *group, prefix uint64) {
	if g.index < 0 {
		return
	}
	s, ok := p.recentPrefixes[prefix]
	if !ok && len(p.recentPrefixes) >= maxPrefixes {
		p.olderPrefixes, p.recentPrefixes = p.recentPrefixes, nil
	}
	if p.recentPrefixes == nil {
		p.recentPrefixes = map[uint64]groupSet{}
	}
	s.add(g.index)
	p.recentPrefixes[prefix] = s
}

func (p *Picker) removePrefix(g *group, prefix uint64) {
	for _, m := range [...]map[uint64]groupSet{p.recentPrefixes, p.olderPrefixes} {
		s, ok := m[prefix]
		if !ok {
			continue
		}
		if s.remove(g.index); s == (groupSet{}) {
			delete(m, prefix)
		} else {
			m[prefix] = s
		}
	}
}

// clearPrefixes removes a group from the prefix index.
func (p *Picker) clearPrefixes(g *group) {
	if g.index < 0 {
		return
	}
	for _, m := range [...]map[uint64]groupSet{p.recentPrefixes, p.olderPrefixes} {
		for h, s := range m {
			if s.has(g.index) {
				p.removePrefix(g, h)
			}
		}
	}
}
