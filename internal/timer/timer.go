// Package timer is the timer service of a process. Parts subscribe to a period and receive ticks; nothing else in the
// project creates timers, so a test that runs in a synctest bubble controls all of them.
package timer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Every delivers a tick each period until the returned function is called. A receiver that is late misses ticks and
// does not receive them in a burst. Each period is shortened by a random part of up to jitter (0 to 1), which keeps
// the daemons of a fleet from acting at the same moment.
func Every(period time.Duration, jitter float64) (<-chan time.Time, func()) {
	c := make(chan time.Time, 1)
	ctx, stop := context.WithCancel(context.Background())
	var fire func()
	next := func() time.Duration {
		return time.Duration(float64(period) * (1 - jitter*rand.Float64()))
	}
	var t *time.Timer
	ready := make(chan struct{})
	fire = func() {
		<-ready
		if ctx.Err() != nil {
			return
		}
		select {
		case c <- time.Now():
		default:
		}
		t.Reset(next())
	}
	t = time.AfterFunc(next(), fire)
	close(ready)
	return c, func() {
		stop()
		t.Stop()
	}
}

// Wait blocks for d or until ctx ends, whose error it then returns.
func Wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// After calls f once after d, unless the returned function is called first. f runs on a goroutine of its own and must
// not block.
func After(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}
