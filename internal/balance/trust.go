package balance

import "time"

// failureTracker tracks the failure rate of groups. The zero value is ready to use.
//
// # Load pattern
//
// A head answers each request at once with a failure while its health check and its roster entry are good. Such a
// group always has the least work, so it would get most of the requests.
type failureTracker struct {
	groups map[string]*groupFailures
}

// groupFailures describes the recent failures of one group.
type groupFailures struct {
	// failureRate is the recent fraction of requests that failed.
	failureRate float64
	// nextProbe is when a failing group is sent another request, probeInterval the delay after the last one.
	nextProbe     time.Time
	probeInterval time.Duration
}

const (
	// outcomeWeight is the weight of one outcome in the failure rate.
	outcomeWeight = 0.2
	// maxFailureRate is the failure rate from which a group is sent single requests only, as probes.
	maxFailureRate = 0.3
	// maxUsefulFailureRate is the failure rate up to which a failing group may still take a request that no other group takes in time.
	// Above it, most of its requests would fail at this attempt and the next.
	maxUsefulFailureRate = 0.75
	// minProbeInterval and maxProbeInterval bound the time between these.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
)

// record records the outcome of a request.
func (t *failureTracker) record(now time.Time, group string, failed bool) {
	s := t.groups[group]
	if s == nil {
		if !failed {
			return
		}
		if t.groups == nil {
			t.groups = map[string]*groupFailures{}
		}
		s = &groupFailures{probeInterval: minProbeInterval}
		t.groups[group] = s
	}
	s.failureRate *= 1 - outcomeWeight
	if failed {
		s.failureRate += outcomeWeight
	}
	switch {
	case s.failureRate < maxFailureRate/4:
		delete(t.groups, group)
	case s.failureRate < maxFailureRate || !failed:
		s.probeInterval, s.nextProbe = minProbeInterval, now
	case !now.Before(s.nextProbe):
		s.nextProbe = now.Add(s.probeInterval)
		s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	}
}

// usable reports whether a group may be sent a request now.
func (t *failureTracker) usable(now time.Time, group string) bool {
	s := t.groups[group]
	return s == nil || s.failureRate < maxFailureRate || !now.Before(s.nextProbe)
}

// useful reports whether a group may be sent a request that would be rejected otherwise.
func (t *failureTracker) useful(group string) bool {
	s := t.groups[group]
	return s == nil || s.failureRate < maxUsefulFailureRate
}

// recordPlacement records that a group is sent a request. A failing group gets no other until the outcome is known.
func (t *failureTracker) recordPlacement(now time.Time, group string) {
	if s := t.groups[group]; s != nil && s.failureRate >= maxFailureRate {
		s.nextProbe = now.Add(maxProbeInterval)
	}
}
