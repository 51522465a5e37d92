package entry

import (
	"sync"
	"time"
)

// budget is this daemon's share of the retry budget of each service. The budget of all daemons together is a ratio of the
// requests within a sliding window plus a constant. Each daemon applies the ratio to its own requests and gets an equal
// share of the constant. A daemon that does not know the size of the fleet assumes a large one, and so a small share.
type budget struct {
	mu       sync.Mutex
	services map[string]*retryCounts
}

// retryCounts counts the requests and retries of one service.
type retryCounts struct {
	// buckets divide the sliding window. requests and spent are the requests and retries of a bucket; at is its number
	// since the Unix epoch, by which buckets older than the window are ignored.
	buckets [budgetBuckets]struct {
		at              int64
		requests, spent float64
	}
}

// budgetBuckets is the number of buckets of a window.
const budgetBuckets = 20

// budgetFraction is the fraction of the allowed retries that is used. The rest is a margin, as the windows of the daemons
// are not aligned.
const budgetFraction = 0.8

// currentBucket returns the counters of a service and the number of the current bucket, which it resets if it is out of
// date.
func (b *budget) currentBucket(service string, now time.Time, window time.Duration) (*retryCounts, int64) {
	if b.services == nil {
		b.services = map[string]*retryCounts{}
	}
	r := b.services[service]
	if r == nil {
		r = &retryCounts{}
		b.services[service] = r
	}
	at := now.UnixNano() / int64(window/budgetBuckets)
	s := &r.buckets[at%budgetBuckets]
	if s.at != at {
		s.at, s.requests, s.spent = at, 0, 0
	}
	return r, at
}

// countRequest counts a request to a service.
func (b *budget) countRequest(service string, now time.Time, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, at := b.currentBucket(service, now, window)
	r.buckets[at%budgetBuckets].requests++
}

// takeRetry takes one retry out of the budget. It reports false if the budget is exhausted.
func (b *budget) takeRetry(service string, now time.Time, s *Settings, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, at := b.currentBucket(service, now, s.RetryWindow)
	requests, spent := 0.0, 0.0
	for i := range r.buckets {
		if at-r.buckets[i].at < budgetBuckets {
			requests += r.buckets[i].requests
			spent += r.buckets[i].spent
		}
	}
	allowed := budgetFraction * (s.RetryRatio*requests + s.RetrySlack/float64(max(daemons, 1)))
	if spent+1 > allowed {
		return false
	}
	r.buckets[at%budgetBuckets].spent++
	return true
}
