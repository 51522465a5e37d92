package balance

import (
	"cmp"
	"slices"
	"time"
)

// window keeps the most recent values and returns their quantiles. Values older than windowTime do not count. The
// zero value is ready to use.
type window[T cmp.Ordered] struct {
	recent [windowSize]timed[T]
	n      int
	// sorted holds the values that counted at sortedAt, in order. It is updated after every windowPeriod values.
	sorted   []T
	sortedAt time.Time
}

type timed[T any] struct {
	value T
	at    time.Time
}

const (
	// windowSize is the largest number of values kept, windowTime the longest time for which they count.
	windowSize = 256
	windowTime = 2 * time.Second
	// windowPeriod is the number of new values after which the quantiles are updated.
	windowPeriod = 16
)

func (w *window[T]) add(now time.Time, v T) {
	w.recent[w.n%windowSize] = timed[T]{v, now}
	if w.n++; w.n%windowPeriod != 0 {
		return
	}
	w.sorted, w.sortedAt = w.sorted[:0], now
	for i := range min(w.n, windowSize) {
		if o := &w.recent[i]; now.Sub(o.at) <= windowTime {
			w.sorted = append(w.sorted, o.value)
		}
	}
	slices.Sort(w.sorted)
}

// known reports whether there have been enough values for quantiles.
func (w *window[T]) known() bool { return len(w.sorted) > 0 }

// quantile returns the value below which a fraction p of the values lie, p < 1; the zero value while there are too
// few.
func (w *window[T]) quantile(p float64) T {
	if !w.known() {
		var none T
		return none
	}
	return w.sorted[int(float64(len(w.sorted))*p)]
}
