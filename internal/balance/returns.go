package balance

import "time"

// rejections recognizes retries of requests that were rejected before. The zero value is ready to use.
type rejections struct {
	// byFingerprint holds the rejected requests by fingerprint.
	byFingerprint map[uint64]rejection
	lastSweep     time.Time
}

// rejection describes a request that was rejected.
type rejection struct {
	// firstArrival is when the first attempt arrived, deadline when the caller gives up, and retryAt when it was told
	// to retry.
	firstArrival, deadline, retryAt time.Time
}

const (
	// deadlineTolerance is how much the caller's deadline may differ between two attempts of one request.
	deadlineTolerance = 50 * time.Millisecond
	// earlyRetryTolerance is how early a retry may arrive; network latency differs between connections and daemons by
	// about this much.
	earlyRetryTolerance = 50 * time.Millisecond
	// rejectionSweepPeriod is how often rejections whose callers have given up are removed.
	rejectionSweepPeriod = time.Second
)

// record stores a rejection.
func (r *rejections) record(now time.Time, w *Waiter, retryAfter time.Duration) {
	if w.Fingerprint == 0 || w.CallerTimeout == 0 {
		return
	}
	if r.byFingerprint == nil {
		r.byFingerprint = map[uint64]rejection{}
	}
	r.byFingerprint[w.Fingerprint] = rejection{w.firstArrival, w.callerDeadline(), now.Add(retryAfter)}
	if now.Sub(r.lastSweep) < rejectionSweepPeriod {
		return
	}
	r.lastSweep = now
	for fingerprint, o := range r.byFingerprint {
		if now.After(o.deadline) {
			delete(r.byFingerprint, fingerprint)
		}
	}
}

// match returns the earlier rejection of a request, if there was one.
func (r *rejections) match(w *Waiter) (rejection, bool) {
	o, ok := r.byFingerprint[w.Fingerprint]
	if !ok || w.CallerTimeout == 0 || w.callerDeadline().Sub(o.deadline).Abs() > deadlineTolerance {
		return rejection{}, false
	}
	return o, true
}

// callerDeadline returns when the caller gives up, by the timeout that it sent.
func (w *Waiter) callerDeadline() time.Time { return w.Arrived.Add(w.CallerTimeout) }

const (
	// minRetryDelay is the least delay after which a rejected caller retries; a burst lasts seconds.
	minRetryDelay = 900 * time.Millisecond
	// retryJitter spreads the retries of callers that were rejected together.
	retryJitter = 900 * time.Millisecond
)

// RetryDelay returns the delay after which a rejected caller with the given deadline should retry, where no placement rate is
// known. random returns numbers in [0, 1).
func RetryDelay(now, until time.Time, random func() float64) time.Duration {
	return retryDelay(now, until, retryJitter, random)
}

// retryDelay returns the delay after which a rejected caller should retry. needed is the time in which all callers that were
// rejected lately could be placed, over which their retries are spread. Callers wait at most a third of their remaining
// time. Where this limits the delay, the retries are spread over its second half: callers with the same deadline that are
// all told the limit would come together.
func retryDelay(now, until time.Time, needed time.Duration, random func() float64) time.Duration {
	limit := max(until.Sub(now)/3, 0)
	least := min(minRetryDelay, limit/2)
	return least + time.Duration(random()*float64(min(max(needed, retryJitter), limit-least)))
}
