package caller

import (
	"net/netip"
	"sync"
	"time"

	"flamingorudder.example/internal/retry"
)

// budget guards the retry budget of the server.
type budget struct {
	mu sync.Mutex
	b  *retry.Budget
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Deposit()
}

func (b *budget) decide(c *retry.Call, now time.Time, r retry.Result) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Decide(now, r, b.b)
}

// speed is what has been learnt of a backend server, as moving averages; 0 means nothing yet.
type speed struct{ first, gap time.Duration }

// Bounds of the progress deadlines. With the probe, which takes at most probeLimit, a silent connection is found within
// 2 s. A deadline that passed while the backend server lives is doubled, up to maxPatience, because the server may have
// paused the work for more urgent work.
const (
	minGap, maxGap     = 300 * time.Millisecond, time.Second
	minFirst, maxFirst = time.Second, 1500 * time.Millisecond
	gapFactor          = 6
	firstFactor        = 4
	maxPatience        = 8 * time.Second
	probeLimit         = 500 * time.Millisecond
	cancelLimit        = 200 * time.Millisecond
)

func (v speed) gapLimit() time.Duration {
	if v.gap == 0 {
		return maxGap
	}
	return min(max(gapFactor*v.gap, minGap), maxGap)
}

func (v speed) firstLimit() time.Duration {
	if v.first == 0 {
		return maxFirst
	}
	return min(max(firstFactor*v.first, minFirst), maxFirst)
}

// speeds keeps the learnt speed of each backend server.
type speeds struct {
	mu sync.Mutex
	m  map[netip.AddrPort]speed
}

// maxSpeeds bounds the servers that are remembered; beyond it an arbitrary one is forgotten.
const maxSpeeds = 4096

func (s *speeds) get(a netip.AddrPort) speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m[a]
}

// learn takes in a measured time to the first token and mean time between tokens; 0 leaves an average as it is.
func (s *speeds) learn(a netip.AddrPort, first, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[netip.AddrPort]speed{}
	}
	v, ok := s.m[a]
	if !ok && len(s.m) >= maxSpeeds {
		for old := range s.m {
			delete(s.m, old)
			break
		}
	}
	v.first, v.gap = average(v.first, first), average(v.gap, gap)
	s.m[a] = v
}

// average moves an average an eighth of the way to a new value.
func average(old, v time.Duration) time.Duration {
	switch {
	case v <= 0:
		return old
	case old == 0:
		return v
	}
	return old + (v-old)/8
}
