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
