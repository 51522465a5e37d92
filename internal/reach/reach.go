// Package reach decides whether a daemon has a path to the backend servers of a service.
//
// A server that does not respond may have failed, or only this daemon cannot reach it. One failure does not tell which. So when
// a server does not respond, the daemon asks another one, chosen at random, over a new connection, and if that does not respond
// either, several at once. It has lost its path if none of them responds. While it has none, it asks again until one responds.
// Nothing is asked while servers respond, and the number of servers that are asked does not grow with the fleet.
package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// FirstSample and secondSample are how many servers are asked. All of a sample of eight fail by chance in one of 6,000
	// cases while a third of the servers are down.
	FirstSample  = 1
	secondSample = 7
	// doubtInterval is the shortest time between two samples that were caused by failures, of which a burst usually has one
	// cause.
	doubtInterval = 500 * time.Millisecond
	// While there is no path, LostSample servers are asked every retryInterval, and every slowRetryInterval once it has been
	// lost for retryPeriod.
	retryInterval     = 250 * time.Millisecond
	slowRetryInterval = time.Second
	retryPeriod       = 3 * time.Second
)

// Tracker holds whether there is a path to each service. It is not safe for concurrent use. The zero value has all paths.
type Tracker struct {
	services map[string]*path
}

// path is the state of the path to one service.
type path struct {
	// lostSince is when the path was found lost; zero while there is one.
	lostSince time.Time
	// asking is set while a sample is being asked, second if it is the second of two. next is when another may begin.
	asking, second bool
	next           time.Time
	// responded is when a server last responded.
	responded time.Time
}

func (t *Tracker) path(service string) *path {
	if t.services == nil {
		t.services = map[string]*path{}
	}
	p := t.services[service]
	if p == nil {
		p = &path{}
		t.services[service] = p
	}
	return p
}

// begin begins a sample, unless one is being asked or there is no path. It returns how many servers to ask, or zero.
func (p *path) begin() (sample int) {
	if p.asking || !p.lostSince.IsZero() {
		return 0
	}
	p.asking, p.second = true, false
	return FirstSample
}

// Doubt records that a server of a service did not respond. It returns how many servers to ask, or zero.
func (t *Tracker) Doubt(now time.Time, service string) (sample int) {
	p := t.path(service)
	if now.Before(p.next) {
		return 0
	}
	return p.begin()
}

// Verify returns how many servers to ask so that it is known whether there was a path to a service within the last age, or zero.
// Unlike Doubt it counts on no earlier response: a path may be lost just after one.
func (t *Tracker) Verify(now time.Time, service string, age time.Duration) (sample int) {
	p := t.path(service)
	if now.Sub(p.responded) <= age {
		return 0
	}
	return p.begin()
}

// LostSample is how many servers of a service without a path are asked at a time.
const LostSample = 2

// Retry returns the services without a path of which LostSample servers are to be asked now.
func (t *Tracker) Retry(now time.Time) []string {
	var due []string
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		p := t.services[service]
		if p.lostSince.IsZero() || p.asking || now.Before(p.next) {
			continue
		}
		p.asking = true
		due = append(due, service)
	}
	return due
}

// Record records whether a server of a sample responded. It returns how many more to ask, or zero, and whether the path was lost
// or found by that.
func (t *Tracker) Record(now time.Time, service string, responded bool) (sample int, changed bool) {
	p := t.services[service]
	if p == nil || !p.asking {
		return 0, false
	}
	wasLost := !p.lostSince.IsZero()
	switch {
	case responded:
		p.lostSince, p.next, p.responded = time.Time{}, now.Add(doubtInterval), now
	case !wasLost && !p.second:
		p.second = true
		return secondSample, false
	case !wasLost:
		p.lostSince, p.next = now, now.Add(retryInterval)
	case now.Sub(p.lostSince) < retryPeriod:
		p.next = now.Add(retryInterval)
	default:
		p.next = now.Add(slowRetryInterval)
	}
	p.asking = false
	return 0, wasLost == responded
}

// Lost reports whether there is no path to a service.
func (t *Tracker) Lost(service string) bool {
	p := t.services[service]
	return p != nil && !p.lostSince.IsZero()
}

// LostServices returns the services without a path.
func (t *Tracker) LostServices() []string {
	var out []string
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		if t.Lost(service) {
			out = append(out, service)
		}
	}
	return out
}

// Hasten has servers of a service without a path asked again at once, as there are new ones.
func (t *Tracker) Hasten(service string) {
	if p := t.services[service]; p != nil && !p.lostSince.IsZero() {
		p.next = time.Time{}
	}
}
