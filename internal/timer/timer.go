// Package timer provides periodic ticks, delays and delayed calls. The rest of the project creates its timers only
// through this package, so a test that runs in a synctest bubble controls all of them.
package timer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Every delivers a tick each period until the returned stop function is called. A slow receiver misses ticks and does
// not get them in a burst. Each period is shortened by a random fraction of up to jitter (0 to 1), so that the daemons of
// a fleet do not act in lockstep.
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

// Wait blocks for d. When ctx is done first, it returns the error of ctx.
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

// AfterFunc calls f once after d, unless the returned stop function is called first. f runs in its own goroutine and must
// not block.
func AfterFunc(d time.Duration, f func()) (stop func()) {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}
