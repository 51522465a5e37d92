package evacuation

import "time"

// Continuity tells whether this daemon may have missed changes of the set because its process was paused. A process that goes on finds
// requests in its sockets and could send them before it has read what changed meanwhile. It is not safe for concurrent use. All times
// are by a clock that runs on while the process, or the machine, stands still.
type Continuity struct {
	// running is when the process was last known to run, zero before the first call.
	running time.Duration
	// resumed is when it went on after the last pause. It is zero if the set was read since.
	resumed time.Duration
}

// Observe records that the process runs. It reports whether it has just gone on after a pause of limit or longer; then reads that began
// before show nothing. Shorter pauses leave enough of the time within which an evacuation must be in force.
func (c *Continuity) Observe(now, limit time.Duration) (resumed bool) {
	resumed = limit > 0 && c.Gap(now) >= limit
	c.running = now
	if resumed {
		c.resumed = now
	}
	return resumed
}

// Gap returns how long ago the process was last known to run, zero before the first call of Observe.
func (c *Continuity) Gap(now time.Duration) time.Duration {
	if c.running == 0 {
		return 0
	}
	return now - c.running
}

// RecordRead records a read of the set that began at a time and has ended now. A read that failed counts only limit after the pause: an
// unstable store answers the next one, and while a store is down the last known set stays in force.
func (c *Continuity) RecordRead(began, now, limit time.Duration, ok bool) {
	if began >= c.resumed && (ok || now-c.resumed >= limit) {
		c.resumed = 0
	}
}

// Current reports whether the set was read since the last pause.
func (c *Continuity) Current() bool { return c.resumed == 0 }
