package balance

import "time"

// Lag learns from first events what estimates leave out: what an engine takes besides its passes, the network, and which
// part of the prompts that others have to read a request waits for. The rest are read before it reaches the engine, or in
// passes after its own. NewLag returns one that knows nothing.
type Lag struct {
	// late is by how much first events came later than expected, but for the lag itself; base is what it was at least
	// over a longer time.
	late window[time.Duration]
	base time.Duration
	// part is the part of Estimate.Unread that a request waits for; the sums that it is worked out from are averages.
	part                             float64
	unread, rest, square, product, n float64
	// groups holds what is particular to single groups.
	groups map[string]*groupLag
}

// groupLag is by how much a group is later than the others, as an average that forgets.
type groupLag struct {
	more time.Duration
	at   time.Time
}

const (
	// mostly is the part of first events that are planned to be in time in a group that is as full as it may be. With a larger
	// one groups would be left emptier than it takes for most requests to be in time.
	mostly = 0.6
	// lagFresh is how long what was learnt holds without news; the base then halves in lagForget. A lag that was learnt while
	// groups were overloaded would otherwise keep all work away, and with it the news that they no longer are.
	lagFresh  = time.Second
	lagForget = time.Second
	// baseFrom is how many values the base is learnt from, low the part of them below it, and baseRises the weight of one
	// that is above it.
	baseFrom  = 64
	low       = 0.25
	baseRises = 0.05
	// partMemory is how many first events the part of unread prompts is learnt from, partEnough from how many on it is.
	partMemory = 2000
	partEnough = 200
	// firstPart is assumed before; leastPart and mostPart bound what is learnt.
	firstPart = 0.5
	leastPart = 0.15
	mostPart  = 0.9
	// groupWeight is the weight of one first event in the average of its group.
	groupWeight = 0.2
	// groupForget is the time in which a group's own lag halves while it gets no requests, so that one which was slow
	// is tried again.
	groupForget = time.Second
)

// NewLag returns a Lag that knows nothing.
func NewLag() *Lag { return &Lag{part: firstPart, groups: map[string]*groupLag{}} }

// Add notes how long a request of a group took to its first event.
func (l *Lag) Add(now time.Time, group string, e Estimate, took time.Duration) {
	if !e.Full {
		l.learn(e.Unread.Seconds(), (took - e.Passes).Seconds())
	}
	late := took - l.Expect(e)
	l.late.add(now, late)
	if !l.late.known() {
		return
	}
	if now.Equal(l.late.at) && len(l.late.sorted) >= baseFrom {
		l.settle(l.late.quantile(low))
	}
	g := l.groups[group]
	if g == nil {
		g = &groupLag{at: now}
		l.groups[group] = g
	}
	g.more = time.Duration((1-groupWeight)*float64(g.after(now)) + groupWeight*float64(late-l.late.quantile(0.5)))
	g.at = now
}

// settle moves the base to a low quantile of late: down at once, up slowly.
func (l *Lag) settle(q time.Duration) {
	if l.base == 0 || q < l.base {
		l.base = q
		return
	}
	l.base += time.Duration(baseRises * float64(q-l.base))
}

// learn fits rest = constant + part * unread by least squares over the last first events.
func (l *Lag) learn(unread, rest float64) {
	l.n = min(l.n+1, partMemory)
	average := func(sum *float64, v float64) { *sum += (v - *sum) / l.n }
	average(&l.unread, unread)
	average(&l.rest, rest)
	average(&l.square, unread*unread)
	average(&l.product, unread*rest)
	if spread := l.square - l.unread*l.unread; l.n >= partEnough && spread > 0 {
		l.part = min(max((l.product-l.unread*l.rest)/spread, leastPart), mostPart)
	}
}

// Expect is the time to a first event without what it mostly takes besides.
func (l *Lag) Expect(e Estimate) time.Duration {
	return e.Passes + time.Duration(l.part*float64(e.Unread))
}

// Mostly is how much later than expected most first events come at worst.
func (l *Lag) Mostly(now time.Time) time.Duration {
	if old := now.Sub(l.late.at); old > lagFresh {
		return time.Duration(float64(l.base) * fading(old-lagFresh, lagForget))
	}
	return l.late.quantile(mostly)
}

// Of returns by how much a group is later than the others; it is never negative.
func (l *Lag) Of(now time.Time, group string) time.Duration {
	g := l.groups[group]
	if g == nil {
		return 0
	}
	return max(g.after(now), 0)
}

// after is what is left of a group's own lag at a time.
func (g *groupLag) after(now time.Time) time.Duration {
	return time.Duration(float64(g.more) * fading(now.Sub(g.at), groupForget))
}

// Forget drops the groups that are not kept.
func (l *Lag) Forget(kept func(group string) bool) {
	for key := range l.groups {
		if !kept(key) {
			delete(l.groups, key)
		}
	}
}
