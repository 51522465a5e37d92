package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// arrivals counts the requests that reach a backend server after its first answer.
type arrivals struct {
	mu    sync.Mutex
	first time.Time
	times []time.Duration
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		a.first = time.Now()
	}
	a.times = append(a.times, time.Since(a.first))
}

// within returns the number of requests in [from, to) after the first.
func (a *arrivals) within(from, to time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// TestRequestsBeyondServerLimit guards against sending a backend server more requests than the limit that it names to all daemons
// together, while many callers wait at each daemon.
func TestRequestsBeyondServerLimit(t *testing.T) {
	const (
		limit   = 5.0
		learn   = time.Second // daemons may take so long to agree
		measure = 3 * time.Second
		callers = 4
		pause   = 10 * time.Millisecond // between the requests of a caller
	)
	for _, test := range []struct{ name, service, path, group string }{
		{"model", "llm", "/stream/", fmt.Sprintf(openGroup, 1)},
		{"plain", "plain", "/safe/", "null"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			a, b := startDaemon(t, store, "a"), startDaemon(t, store, "b")
			var got arrivals
			a.putServer("i-1", test.service, backendServer(t, func(c net.Conn, r *http.Request) {
				got.record()
				writeAnswer(c, r, 200, event(1)+event(2), fmt.Sprintf("Server-Limit: %.1f\r\n", limit))
			}), test.group)
			for _, u := range []*daemonUnderTest{a, b} {
				u.waitReady()
				eventually(t, "the daemon hears the other one", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
			}
			var wg sync.WaitGroup
			for _, u := range []*daemonUnderTest{a, b} {
				for range callers {
					wg.Go(func() {
						for start := time.Now(); time.Since(start) < learn+measure; _ = timer.Wait(t.Context(), pause) {
							if r := u.do(http.MethodPost, test.path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20"); r.status == http.StatusServiceUnavailable && r.h.Get("Retry-After") == "" {
								t.Errorf("rejected without Retry-After: %+v", r)
							}
						}
					})
				}
			}
			wg.Wait()
			if n, most := got.within(learn, learn+measure), 1.5*limit*measure.Seconds()+5; float64(n) > most {
				t.Errorf("%d requests in %v, at most %.0f are allowed", n, measure, most)
			} else if least := limit * measure.Seconds() / 2; float64(n) < least {
				t.Errorf("%d requests in %v, want at least half of what the limit allows, %.0f", n, measure, least)
			}
		})
	}
}
