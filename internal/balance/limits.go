package balance

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Limits tracks the request rates that backend servers have named as their limits, and what is left of them.
//
// # Load pattern
//
// A limit holds for the requests of all daemons together. The scheduler of a model places the requests of all daemons, so it
// may use the whole limit of a group's head. A daemon that decides without the others uses its share.
//
// Limits is safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]*limit
}

// limit is the limit of one backend server, as a token bucket.
type limit struct {
	born int64
	// rate is the limit in requests a second.
	rate float64
	// named is when the limit was last named, and since when it was first named.
	named, since time.Time
	// lifted is set when the server no longer names a limit. Its tokens are kept for the case that it soon does again.
	lifted   bool
	tokens   float64
	refilled time.Time
	// direct is set when the server named the limit to this daemon itself.
	direct bool
}

const (
	// limitBurst is the depth of a bucket: the requests that the limit allows in this time may be sent at once.
	limitBurst = time.Second
	// minLimit is the rate in requests a second at which a server is tried that takes fewer. Only its answers tell that
	// the limit has ended.
	minLimit = 0.25
	// limitRetention is how long the limit of a server is kept that gets no requests.
	limitRetention = 10 * time.Minute
	// limitAdvertisePeriod is how long a new limit is told to other daemons. Several digests are sent within this time even
	// in the largest fleets.
	limitAdvertisePeriod = 4 * time.Second
	// maxAdvertisedLimits bounds the limits in one message. Answers tell of the others.
	maxAdvertisedLimits = 32
)

// LimitNotice is what an answer says about the limit of its server.
type LimitNotice struct {
	_      struct{} `cbor:",toarray"`
	Server string
	// Born is the lifetime of the server, zero when it is not known.
	Born int64
	// Limited is set when the answer names a limit of Rate requests a second.
	Limited bool
	Rate    float64
	// SentAgo is how long ago the answered request was sent.
	SentAgo time.Duration
}

// LimitChange is what a notice changes.
type LimitChange uint8

// Changes of a limit. Confirmed means that the server still has the same limit or names another one.
const (
	Unchanged LimitChange = iota
	Confirmed
	Named
	Lifted
)

// NewLimits returns an empty set.
func NewLimits() *Limits { return &Limits{servers: map[string]*limit{}} }

// Observe records what an answer says and returns what that changes. direct is set if this daemon got the answer itself.
// random returns numbers in [0, 1): daemons that use a share each begin with a random part of a request, so that they do
// not all send at once.
func (l *Limits) Observe(now time.Time, n LimitNotice, direct bool, random func() float64) LimitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.servers[n.Server]
	if o != nil && o.born != n.Born && o.born != 0 && n.Born != 0 {
		if n.Born < o.born {
			return Unchanged // the answer of an earlier lifetime
		}
		o = nil
		delete(l.servers, n.Server)
	}
	if !n.Limited {
		// Answers to requests that were sent before the limit was named say nothing about its end.
		if o == nil || o.lifted || !now.Add(-n.SentAgo).After(o.named) {
			return Unchanged
		}
		o.lifted = true
		return Lifted
	}
	change := Confirmed
	if o == nil {
		o = &limit{born: n.Born, tokens: random(), refilled: now}
		maps.DeleteFunc(l.servers, func(_ string, o *limit) bool { return now.Sub(o.named) > limitRetention })
		l.servers[n.Server] = o
	}
	if o.lifted || o.named.IsZero() {
		change, o.since = Named, now
	}
	o.rate, o.named, o.lifted, o.direct = max(n.Rate, minLimit), now, false, o.direct || direct
	return change
}

// refill adds the tokens since the last call. share is the part of the limit that this daemon may use.
func (o *limit) refill(now time.Time, share float64) {
	rate := o.rate * share
	o.tokens = min(o.tokens+rate*max(now.Sub(o.refilled), 0).Seconds(), max(rate*limitBurst.Seconds(), 1))
	o.refilled = now
}

func (l *Limits) active(id string, born int64) *limit {
	o := l.servers[id]
	if o == nil || o.lifted || o.born != born && o.born != 0 && born != 0 {
		return nil
	}
	return o
}

// Allowance returns how many requests a server may be sent now. It reports false when there is no limit.
func (l *Limits) Allowance(now time.Time, id string, born int64, share float64) (requests int, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.active(id, born)
	if o == nil {
		return 0, false
	}
	o.refill(now, share)
	return int(o.tokens), true
}

// Take counts a request that is sent to a server. Requests that are sent at the same time may take more than there is; the
// next ones wait for longer then.
func (l *Limits) Take(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.servers[id]; o != nil && !o.lifted {
		o.tokens--
	}
}

// Next returns when a server may be sent a request again, or zero if it may be now.
func (l *Limits) Next(now time.Time, id string, born int64, share float64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.active(id, born)
	if o == nil {
		return time.Time{}
	}
	if o.refill(now, share); o.tokens >= 1 {
		return time.Time{}
	}
	return now.Add(time.Duration(math.Ceil((1 - o.tokens) / (o.rate * share) * float64(time.Second))))
}

// Advertised returns the limits that servers have lately named to this daemon, for the others.
func (l *Limits) Advertised(now time.Time) []LimitNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []LimitNotice
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if o := l.servers[id]; o.direct && !o.lifted && now.Sub(o.since) <= limitAdvertisePeriod && len(out) < maxAdvertisedLimits {
			out = append(out, LimitNotice{Server: id, Born: o.born, Limited: true, Rate: o.rate})
		}
	}
	return out
}

// Len returns the number of servers with a limit.
func (l *Limits) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.servers {
		if !o.lifted {
			n++
		}
	}
	return n
}
