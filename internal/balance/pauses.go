package balance

import (
	"maps"
	"sync"
	"time"
)

// Pauses keeps the backend servers that turned a request away and asked for none for a while.
//
// # Load pattern
//
// A backend server that sheds load tells every daemon to stay away for about the same time. Were they all to return at its
// end with all that waits, it would shed again. So each daemon returns at its own time within a spread, with one request,
// and with the others only when that one has been answered.
//
// It may be used from several goroutines.
type Pauses struct {
	mu  sync.Mutex
	all map[string]*pause
}

// pause is that of one backend server.
type pause struct {
	until time.Time
	// trial is until when the first request after the pause is waited for; zero when there is none.
	trial time.Time
}

const (
	// pauseSpread is the part of a pause that is added at most, so that daemons return one after the other.
	pauseSpread = 0.2
	// trialTime is how long the first request after a pause keeps back others while it has no answer: most first events come
	// sooner, and one that comes later is a reason not to send more.
	trialTime = time.Second
	// pauseMemory is how long a pause that nobody tried to end is remembered.
	pauseMemory = time.Minute
)

// NewPauses returns an empty set.
func NewPauses() *Pauses { return &Pauses{all: map[string]*pause{}} }

// Ask notes that a backend server wants no requests for d. random returns numbers in [0, 1). It reports whether the backend
// server was in use until now.
func (p *Pauses) Ask(now time.Time, id string, d time.Duration, random func() float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := now.Add(d + time.Duration(float64(d)*pauseSpread*random()))
	o := p.all[id]
	if o == nil {
		o = &pause{}
		p.all[id] = o
	}
	used := !now.Before(o.until)
	// A later answer may ask for less; requests that were on their way together are answered in any order.
	if until.After(o.until) {
		o.until = until
	}
	o.trial = time.Time{}
	maps.DeleteFunc(p.all, func(_ string, o *pause) bool { return now.Sub(o.until) > pauseMemory })
	return used
}

// Usable tells whether a backend server may be sent a request now.
func (p *Pauses) Usable(now time.Time, id string) bool { return p.Until(now, id).IsZero() }

// Until returns when a backend server may be sent a request again; zero when it may be now.
func (p *Pauses) Until(now time.Time, id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all[id].end(now)
}

// end returns when the pause or its trial is over; zero when both are, or there is none.
func (o *pause) end(now time.Time) time.Time {
	switch {
	case o == nil:
	case now.Before(o.until):
		return o.until
	case now.Before(o.trial):
		return o.trial
	}
	return time.Time{}
}

// Begin takes the right to send a backend server a request, which it reports. After a pause only one request has it.
func (p *Pauses) Begin(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.all[id]
	if o == nil {
		return true
	}
	if !o.end(now).IsZero() {
		return false
	}
	o.trial = now.Add(trialTime)
	return true
}

// Answered notes an answer that asked for no pause. Answers to requests that were sent before the pause end it no sooner.
func (p *Pauses) Answered(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.all[id]; o != nil && !now.Before(o.until) {
		delete(p.all, id)
	}
}
