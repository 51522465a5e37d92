package entry

import (
	"sync"
	"time"
)

// budget is this daemon's share of the retry budget of each service. The budget of all daemons together is a ratio of the
// requests within a sliding window plus a constant. Each daemon applies the ratio to its own requests and gets an equal share
// of the constant. A daemon that does not know the size of the fleet assumes a large one, and so a small share.
type budget struct {
	mu       sync.Mutex
	services map[string]*repeats
}

// repeats counts the requests and retries of one service.
type repeats struct {
	// slices divide the sliding window. requests and spent are the requests and retries of a slice; at is its number since
	// the Unix epoch, by which slices older than the window are ignored.
	slices [budgetSlices]struct {
		at              int64
		requests, spent float64
	}
}

// budgetSlices is the number of slices of a window.
const budgetSlices = 20

// budgetPart is the fraction of the allowed retries that is used. The rest is a margin, as the windows of the daemons are not
// aligned.
const budgetPart = 0.8

// slice returns the counters of a service and the number of the current slice, which it resets if it is out of date.
func (b *budget) slice(service string, now time.Time, window time.Duration) (*repeats, int64) {
	if b.services == nil {
		b.services = map[string]*repeats{}
	}
	r := b.services[service]
	if r == nil {
		r = &repeats{}
		b.services[service] = r
	}
	at := now.UnixNano() / int64(window/budgetSlices)
	s := &r.slices[at%budgetSlices]
	if s.at != at {
		s.at, s.requests, s.spent = at, 0, 0
	}
	return r, at
}

// request records a request to a service.
func (b *budget) request(service string, now time.Time, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, at := b.slice(service, now, window)
	r.slices[at%budgetSlices].requests++
}

// repeat takes one retry out of the budget. It reports false if the budget is exhausted.
func (b *budget) repeat(service string, now time.Time, s *Settings, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, at := b.slice(service, now, s.RetryWindow)
	requests, spent := 0.0, 0.0
	for i := range r.slices {
		if at-r.slices[i].at < budgetSlices {
			requests += r.slices[i].requests
			spent += r.slices[i].spent
		}
	}
	allowed := budgetPart * (s.RetryRatio*requests + s.RetrySlack/float64(max(daemons, 1)))
	if spent+1 > allowed {
		return false
	}
	r.slices[at%budgetSlices].spent++
	return true
}
