package balance

import "time"

// trust keeps which groups fail what they are given. The zero value is ready.
//
// # Load pattern
//
// A head answers each request at once with a failure, while its health check and its entry are good. It always has the least
// work, so it would be given most of it.
type trust struct {
	groups map[string]*standing
}

// standing is what became of a group's requests lately.
type standing struct {
	// failing is the recent part of failures.
	failing float64
	// retry is when the group is given another request although it fails, pause how long after the last one.
	retry time.Time
	pause time.Duration
}

const (
	// outcomeWeight is the weight of one answer in the recent part of failures.
	outcomeWeight = 0.2
	// mostFailing is the part of failures from which on a group is given single requests only.
	mostFailing = 0.3
	// retryFirst and retryMost bound the time between these.
	retryFirst = 500 * time.Millisecond
	retryMost  = 4 * time.Second
)

// note takes the outcome of a request.
func (t *trust) note(now time.Time, group string, failed bool) {
	s := t.groups[group]
	if s == nil {
		if !failed {
			return
		}
		if t.groups == nil {
			t.groups = map[string]*standing{}
		}
		s = &standing{pause: retryFirst}
		t.groups[group] = s
	}
	s.failing *= 1 - outcomeWeight
	if failed {
		s.failing += outcomeWeight
	}
	switch {
	case s.failing < mostFailing/4:
		delete(t.groups, group)
	case s.failing < mostFailing || !failed:
		s.pause, s.retry = retryFirst, now
	case !now.Before(s.retry):
		s.retry = now.Add(s.pause)
		s.pause = min(2*s.pause, retryMost)
	}
}

// usable tells whether a group may be given a request now.
func (t *trust) usable(now time.Time, group string) bool {
	s := t.groups[group]
	return s == nil || s.failing < mostFailing || !now.Before(s.retry)
}

// give notes that a group is given a request; one that fails gets no other until its outcome is known.
func (t *trust) give(now time.Time, group string) {
	if s := t.groups[group]; s != nil && s.failing >= mostFailing {
		s.retry = now.Add(retryMost)
	}
}
