package entry

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// mostWithin returns the largest number of requests in any second that ended before the given time.
func (a *arrivals) mostWithin(end time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, t := range a.times {
		n, _ := slices.BinarySearch(a.times[i:], t+time.Second)
		if a.first.Add(t + time.Second).Before(end) {
			most = max(most, n)
		}
	}
	return most
}

// since returns the number of requests from a time on.
func (a *arrivals) since(start time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, _ := slices.BinarySearch(a.times, start.Sub(a.first))
	return len(a.times) - n
}

// TestColdServerGetsItsRate guards against a cold server, or the cold head of a group, that gets more requests than it accepts from several
// daemons under a burst, and against one that is not used meanwhile or afterwards. The tests of balance.Cold hold each second to the rate.
func TestColdServerGetsItsRate(t *testing.T) {
	const (
		rate    = 6
		cold    = 3 * time.Second
		callers = 4
		pause   = 10 * time.Millisecond // between the requests of a caller
		// overage and slack are the bounds of the rule.
		overage, slack = 1.5, 5
		most           = overage*rate + slack
		patience       = 20 * time.Second
	)
	for _, test := range []struct {
		name, service, path, group string
		// average is how many requests a second the server may get over the whole cold time.
		average int
	}{
		{"model", "llm", "/stream/", fmt.Sprintf(openGroup, 1), overage*rate + slack},
		{"plain", "plain", "/safe/", "null", rate},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			config := strings.ReplaceAll(fmt.Sprintf(testConfig, 1, ""), `"maxConnections":50`, fmt.Sprintf(`"maxConnections":50,"coldStartS":1,"coldPerS":%d`, rate))
			store.Put("op", "config", []byte(config))
			var fleet []*daemonUnderTest
			for _, name := range []string{"a", "b", "c"} {
				fleet = append(fleet, startDaemon(t, store, name, func(d *Daemon) {
					s := *d.settings()
					s.ColdOverage, s.ColdSlack = overage, slack
					d.currentSettings.Store(&s)
				}))
			}
			for _, u := range fleet {
				u.waitReady()
				eventually(t, "the daemon hears the others", func() bool { return len(u.d.livePeers(time.Now())) == 2 })
			}
			var got arrivals
			addr := backendServer(t, func(c net.Conn, r *http.Request) {
				got.record()
				writeAnswer(c, r, 200, event(1)+event(2))
			})
			// write has the server stay cold for the cold time from now on.
			beat := 0
			write := func() time.Time {
				beat++
				store.Put("servers", "i-1", []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc","slots":8,"state":"ready","born":1,"sequence":%d,"models":[{"name":"m"}],"domain":"d","staged":["m"],"group":%s,"coldRemainingMs":%d}`,
					test.service, addr, beat, test.group, cold.Milliseconds())))
				return time.Now()
			}
			write()
			for _, u := range fleet {
				eventually(t, "the daemon reads the entry", func() bool { return u.d.view.Load().Servers["i-1"] != nil })
			}
			var ended atomic.Bool
			var wg sync.WaitGroup
			for _, u := range fleet {
				for range callers {
					wg.Go(func() {
						for !ended.Load() {
							start := time.Now()
							r := u.do(http.MethodPost, test.path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
							// A request that outlives its deadline of 2 s, as on a machine that stands still, gets no such header.
							if r.status == http.StatusServiceUnavailable && r.h.Get("Retry-After") == "" && time.Since(start) < time.Second {
								t.Errorf("rejected without Retry-After: %+v", r)
							}
							_ = timer.Wait(t.Context(), pause)
						}
					})
				}
			}
			// The server stays cold until it has got some requests, however slow the machine is.
			began := time.Now()
			coldUntil := began
			for got.since(began) < 3*rate && time.Since(began) < patience {
				coldUntil = write().Add(cold)
				_ = timer.Wait(t.Context(), 100*time.Millisecond)
			}
			if n := got.since(began); n < 3*rate {
				t.Errorf("%d requests while the server is cold", n)
			}
			_ = timer.Wait(t.Context(), time.Until(coldUntil)) // the test does not end
			ended.Store(true)
			wg.Wait()
			for _, u := range fleet {
				eventually(t, "no server is cold", func() bool { return !u.d.cold.Any(time.Now()) })
				eventually(t, "requests are served again", func() bool {
					return u.do(http.MethodPost, test.path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20").status == http.StatusOK
				})
			}
			if n := got.mostWithin(coldUntil); n > most {
				t.Errorf("%d requests in a second while the server is cold", n)
			}
			seconds := coldUntil.Sub(began).Seconds()
			if n := got.since(began) - got.since(coldUntil); float64(n) > float64(test.average)*(seconds+1) {
				t.Errorf("%d requests in %.1f s while the server is cold, at most %d a second are allowed", n, seconds, test.average)
			}
		})
	}
}
