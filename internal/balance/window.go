package balance

import (
	"cmp"
	"slices"
	"time"
)

// window keeps the last values of something and tells their quantiles. Values that are older than windowTime do not count.
// The zero value is ready.
type window[T cmp.Ordered] struct {
	recent [windowSize]timed[T]
	n      int
	// sorted is what counted in order, as of at, the last multiple of windowPeriod.
	sorted []T
	at     time.Time
}

type timed[T any] struct {
	value T
	at    time.Time
}

const (
	// windowSize is how many values are kept at most, windowTime for how long.
	windowSize = 256
	windowTime = 2 * time.Second
	// windowPeriod is after how many values quantiles are worked out again.
	windowPeriod = 16
)

func (w *window[T]) add(now time.Time, v T) {
	w.recent[w.n%windowSize] = timed[T]{v, now}
	if w.n++; w.n%windowPeriod != 0 {
		return
	}
	w.sorted, w.at = w.sorted[:0], now
	for i := range min(w.n, windowSize) {
		if o := &w.recent[i]; now.Sub(o.at) <= windowTime {
			w.sorted = append(w.sorted, o.value)
		}
	}
	slices.Sort(w.sorted)
}

// known tells whether there have been enough values for quantiles.
func (w *window[T]) known() bool { return len(w.sorted) > 0 }

// quantile returns the value below which a part p of the values are, p < 1; the zero value while too few are known.
func (w *window[T]) quantile(p float64) T {
	if !w.known() {
		var none T
		return none
	}
	return w.sorted[int(float64(len(w.sorted))*p)]
}
