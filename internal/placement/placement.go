// Package placement chooses the model group that runs a request.
//
// A Picker owns what a daemon has learnt of the groups of one service: cached prefixes, load reports and speed. It is
// not safe for concurrent use.
package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Query is what placement needs to know of a request.
type Query struct {
	// Prefix holds the hashes of the prompt's prefixes at growing lengths, shortest first.
	Prefix []uint64
	// DataCentre is where the daemon runs.
	DataCentre string
	// Urgent is whether somebody waits for the answer, so that it should not be used to probe a straggler.
	Urgent bool
}

// Candidate is a group that may run the request.
type Candidate struct {
	Group      string
	DataCentre string
	// Slots is the capacity of the group, Running what is known to run there, of all daemons.
	Slots, Running int
	// Free is how many more requests of the rank this daemon may start there; candidates without any are not chosen.
	Free int
}

// Load is a load report of a group.
type Load struct {
	Generation uint64
	// Running and Waiting count the requests of all daemons.
	Running, Waiting int
	// Token is the mean time between tokens of one stream, 0 when none ran.
	Token time.Duration
	// At is when the report was true, by this daemon's clock; the time when it asked for the report is a safe value.
	At time.Time
}

// CacheEvent is a change of a group's prefix cache.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Drop   bool
}

const (
	// bound is how far above the mean load a group with the prefix in its cache may be to be preferred.
	bound = 1.25
	// A group is a straggler after slowReports reports in a row above slowRatio times the median time per token of its
	// service's groups, until a report below fastRatio. Meanwhile one request in probeEvery goes there.
	slowRatio, fastRatio = 2, 1.5
	slowReports          = 3
	probeEvery           = 20
	// urgentProbeEvery is probeEvery where only urgent requests come: one request in 200 keeps their 99th percentile
	// clear of the straggler.
	urgentProbeEvery = 200

	// halfTold is the age at which a report and the mean of those before it count the same. In the trial of
	// TestLateReports 250 ms and more made groups that looked empty a while ago overshoot. Very old reports count at
	// least minFresh, so that the view follows a lasting change.
	halfTold = 100 * time.Millisecond
	minFresh = 0.05

	// maxGroups bounds the groups known at once; the cache view and corrections of further ones are not kept.
	maxGroups = 256
	// maxPrefixes bounds each of the two generations of the cache view. An entry takes 40 bytes before the overhead of
	// the map, so both together stay below 4 MB.
	maxPrefixes = 1 << 14
	// maxSent bounds the requests per group that the next report may not include.
	maxSent = 512
)

// set is a set of group numbers.
type set [maxGroups / 64]uint64

func (s *set) has(i int) bool { return s[i/64]>>(i%64)&1 == 1 }
func (s *set) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s *set) drop(i int)     { s[i/64] &^= 1 << (i % 64) }

type change struct {
	at time.Time
	by int
}

type group struct {
	number     int
	generation uint64
	// own is how many requests of this daemon run there; others is what the reports tell of other daemons.
	own      int
	reported bool
	others   float64
	at       time.Time
	// changes are requests that this daemon sent (1) or that ended (-1) after the report was true.
	changes []change

	token    time.Duration
	slow     int
	straggle bool
	skipped  int

	// next is the sequence number expected next of the cache events.
	next uint64
}

// Picker chooses groups of one service. The zero value is ready.
type Picker struct {
	groups map[string]*group
	used   set
	// young and old map a prefix to the groups that cache it. When young is full it becomes old, and old is forgotten.
	young, old map[uint64]set

	// The slices below are reused by Pick.
	known []*group
	loads []int
	local []int
	any   []int
}

// Pick returns the index of the chosen candidate, or -1 when none is free. random is a uniform random number.
func (p *Picker) Pick(q Query, cs []Candidate, random uint64) int {
	p.known, p.loads, p.local, p.any = p.known[:0], p.loads[:0], p.local[:0], p.any[:0]
	slow, sum, slots := -1, 0, 0
	due := -1
	for i := range cs {
		c := &cs[i]
		g := p.groups[c.Group]
		load := c.Running
		if g != nil {
			load = g.estimate(c.Running)
		}
		p.known, p.loads = append(p.known, g), append(p.loads, load)
		if g != nil && g.straggle {
			if c.Free > 0 {
				if slow < 0 || load < p.loads[slow] {
					slow = i
				}
				every := probeEvery
				if q.Urgent {
					every = urgentProbeEvery
				}
				if g.skipped++; due < 0 && g.skipped >= every {
					due = i
				}
			}
			continue
		}
		sum, slots = sum+load, slots+c.Slots
		if c.Free > 0 {
			p.any = append(p.any, i)
			if c.DataCentre == q.DataCentre && load < c.Slots {
				p.local = append(p.local, i)
			}
		}
	}
	if due >= 0 {
		p.known[due].skipped = 0
		return due
	}
	if len(p.any) == 0 {
		// Only stragglers are free, or nothing is.
		return slow
	}
	if i := p.cached(q, cs, float64(sum+1)/float64(max(1, slots))); i >= 0 {
		return i
	}
	// The way to another data centre takes less time than a wait for a slot in this one.
	from := p.local
	if len(from) == 0 {
		from = p.any
	}
	n := uint64(len(from))
	hi, lo := bits.Mul64(random, n)
	a := from[hi]
	if n == 1 {
		return a
	}
	hi2, _ := bits.Mul64(lo, n-1)
	if hi2 >= hi {
		hi2++
	}
	if b := from[hi2]; p.loads[b]*cs[a].Slots < p.loads[a]*cs[b].Slots {
		return b
	}
	return a
}

// cached returns the candidate with the longest cached prefix whose load is within bounds, in the same data centre if
// there is a choice, or -1. mean is the load per slot with the new request.
func (p *Picker) cached(q Query, cs []Candidate, mean float64) int {
	for n := len(q.Prefix) - 1; n >= 0; n-- {
		s, ok := p.young[q.Prefix[n]]
		if o, more := p.old[q.Prefix[n]]; more {
			ok = true
			for w := range s {
				s[w] |= o[w]
			}
		}
		if !ok {
			continue
		}
		best := -1
		for _, i := range p.any {
			g := p.known[i]
			if g == nil || g.number < 0 || !s.has(g.number) ||
				float64(p.loads[i]+1) > math.Ceil(bound*mean*float64(cs[i].Slots)) {
				continue
			}
			here, there := cs[i].DataCentre == q.DataCentre, best >= 0 && cs[best].DataCentre == q.DataCentre
			if best < 0 || here && !there || here == there && p.loads[i] < p.loads[best] {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// estimate is the load: this daemon's own requests, which it knows, and those of others by the reports. Without a report
// it is running.
func (g *group) estimate(running int) int {
	if !g.reported {
		return max(running, g.own)
	}
	return g.own + int(g.others+0.5)
}

// Report takes a load report of a group. Reports older than the last one are ignored.
func (p *Picker) Report(now time.Time, name string, l Load) {
	g := p.group(name)
	if l.At.IsZero() || l.At.After(now) {
		l.At = now
	}
	if l.Generation < g.generation || l.Generation == g.generation && l.At.Before(g.at) {
		return
	}
	p.renew(g, l.Generation)
	i, own := 0, g.own
	for ; i < len(g.changes) && !g.changes[i].at.After(l.At); i++ {
	}
	g.changes = slices.Delete(g.changes, 0, i)
	for _, c := range g.changes {
		own -= c.by
	}
	// The older a report is while it is in use, the less it tells of what other daemons run by then, and the more the
	// mean of their reports does. It is in use until the next one comes.
	others := float64(max(0, l.Running+l.Waiting-own))
	age := now.Sub(l.At) + l.At.Sub(g.at)/2
	fresh := max(minFresh, 1/(1+float64(age)/float64(halfTold)))
	if !g.reported {
		fresh = 1
	}
	g.reported, g.at = true, l.At
	g.others += fresh * (others - g.others)
	if l.Token <= 0 {
		return
	}
	g.token = l.Token
	median := p.median()
	switch ratio := float64(l.Token) / float64(median); {
	case ratio > slowRatio:
		if g.slow++; g.slow >= slowReports && !g.straggle {
			g.straggle, g.skipped = true, 0
		}
	case ratio < fastRatio:
		g.slow, g.straggle = 0, false
	default:
		g.slow = 0
	}
}

// Slow takes in that requests wait for their first token on a group far longer than on others. The group is a straggler
// from now on, until a report shows otherwise.
func (p *Picker) Slow(name string) {
	if g := p.groups[name]; g != nil && !g.straggle {
		g.slow, g.straggle, g.skipped = slowReports, true, 0
	}
}

// Straggling tells whether a group is taken for a straggler.
func (p *Picker) Straggling(name string) bool {
	g := p.groups[name]
	return g != nil && g.straggle
}

// median is the lower median, so that one of two groups can be a straggler.
func (p *Picker) median() time.Duration {
	var ts []time.Duration
	for _, g := range p.groups {
		if g.token > 0 {
			ts = append(ts, g.token)
		}
	}
	slices.Sort(ts)
	return ts[(len(ts)-1)/2]
}

// Sent tells that this daemon sent a request to a group. The group is expected to cache its prefixes.
func (p *Picker) Sent(now time.Time, name string, q Query) {
	g := p.group(name)
	g.change(now, 1)
	for _, h := range q.Prefix {
		p.cache(g, h)
	}
}

// Ended tells that a request of this daemon ended on a group.
func (p *Picker) Ended(now time.Time, name string) {
	if g := p.groups[name]; g != nil {
		g.change(now, -1)
	}
}

func (g *group) change(now time.Time, by int) {
	if len(g.changes) >= maxSent {
		// The next report is taken to include the oldest change.
		g.changes = slices.Delete(g.changes, 0, 1)
	}
	g.changes = append(g.changes, change{now, by})
	g.own = max(0, g.own+by)
}

// Cache takes cache events of a group in the order of their numbers; next is the number after the last event that the
// engine has. Events that come again are ignored. After a gap everything known up to it is forgotten.
func (p *Picker) Cache(_ time.Time, name string, generation, next uint64, events []CacheEvent) {
	g := p.group(name)
	if generation < g.generation {
		return
	}
	p.renew(g, generation)
	for _, e := range events {
		if e.Seq < g.next {
			continue
		}
		if e.Seq > g.next {
			p.clear(g)
		}
		g.next = e.Seq + 1
		if !e.Drop {
			p.cache(g, e.Prefix)
		} else if g.number >= 0 {
			p.uncache(g, e.Prefix)
		}
	}
	if next > g.next {
		p.clear(g)
		g.next = next
	}
}

// Retain forgets all groups but those named.
func (p *Picker) Retain(names []string) {
	for name, g := range p.groups {
		if !slices.Contains(names, name) {
			p.clear(g)
			if g.number >= 0 {
				p.used.drop(g.number)
			}
			delete(p.groups, name)
		}
	}
}

func (p *Picker) group(name string) *group {
	g := p.groups[name]
	if g != nil {
		return g
	}
	g = &group{number: -1}
	for i := range maxGroups {
		if !p.used.has(i) {
			g.number = i
			p.used.add(i)
			break
		}
	}
	if g.number < 0 {
		// Not kept: the caller names more groups than the bound and did not call Retain.
		return g
	}
	if p.groups == nil {
		p.groups = map[string]*group{}
	}
	p.groups[name] = g
	return g
}

// renew forgets what was learnt of another generation. Requests sent before the generation was known still count.
func (p *Picker) renew(g *group, generation uint64) {
	if generation == g.generation {
		return
	}
	if g.generation != 0 {
		p.clear(g)
		*g = group{number: g.number}
	}
	g.generation = generation
}

func (p *Picker) cache(g *group, prefix uint64) {
	if g.number < 0 {
		return
	}
	s, ok := p.young[prefix]
	if !ok && len(p.young) >= maxPrefixes {
		p.old, p.young = p.young, nil
	}
	if p.young == nil {
		p.young = map[uint64]set{}
	}
	s.add(g.number)
	p.young[prefix] = s
}

func (p *Picker) uncache(g *group, prefix uint64) {
	for _, m := range [...]map[uint64]set{p.young, p.old} {
		s, ok := m[prefix]
		if !ok {
			continue
		}
		if s.drop(g.number); s == (set{}) {
			delete(m, prefix)
		} else {
			m[prefix] = s
		}
	}
}

// clear forgets the cache view of a group.
func (p *Picker) clear(g *group) {
	if g.number < 0 {
		return
	}
	for _, m := range [...]map[uint64]set{p.young, p.old} {
		for h, s := range m {
			if s.has(g.number) {
				p.uncache(g, h)
			}
		}
	}
}
