package entry

import (
	"sync"
	"time"
)

// budget is this daemon's part of the repeats that each service takes from all daemons: a ratio of the requests of a
// window and a number besides. A daemon that does not know how many others there are takes the smaller part.
type budget struct {
	mu       sync.Mutex
	services map[string]*repeats
}

type repeats struct {
	// requests and spent count in slices of a window; slices older than the window are dropped.
	slices [budgetSlices]struct {
		at              int64
		requests, spent float64
	}
}

// budgetSlices is how many slices a window is counted in.
const budgetSlices = 20

// budgetPart is the part of the allowed repeats that is used; daemons count slightly different windows.
const budgetPart = 0.8

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

// request notes a request to a service.
func (b *budget) request(service string, now time.Time, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, at := b.slice(service, now, window)
	r.slices[at%budgetSlices].requests++
}

// repeat takes one repeat out of the budget. It reports false when there is none left.
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
