package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// TestTwoSilentGroupsHoldAStream guards against a request that waits for two silent groups while a third one is free and its route
// allows another attempt.
func TestTwoSilentGroupsHoldAStream(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, `,{"name":"three","host":"a.example","prefix":"/three/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"service":"llm","maxAttempts":3,"streamResume":true}`)))
	u := startDaemon(t, store, "a")
	// Both silent groups go on only after the time limit of the route.
	first, second, third := &streamer{silentBefore: 1, pause: 5 * time.Second}, &streamer{silentBefore: 1, pause: 5 * time.Second}, &streamer{}
	u.putServer("i-1", "llm", backendServer(t, first.serve(t)), fmt.Sprintf(openGroup, 1))
	u.waitReady()
	got, start := make(chan reply, 1), time.Now()
	go func() {
		got <- u.do(http.MethodPost, "/three/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
	}()
	eventually(t, "the request is at the first group", func() bool { return first.arrived.Load() == 1 })
	u.putServer("i-2", "llm", backendServer(t, second.serve(t)), fmt.Sprintf(openGroup, 2))
	eventually(t, "the request is at the second group", func() bool { return second.arrived.Load() == 1 })
	u.putServer("i-3", "llm", backendServer(t, third.serve(t)), fmt.Sprintf(openGroup, 3))
	if r := <-got; r.status != 200 || r.body != event(1)+event(2)+event(3)+event(4) {
		t.Errorf("after %v: status %d, error %v, body %q, requests at the groups %d, %d, %d", time.Since(start), r.status, r.err, r.body, first.arrived.Load(), second.arrived.Load(), third.arrived.Load())
	}
}

// TestLostRequestKeepsGroupOut guards against a sound group that gets no requests as long as one lost request, which may not be
// repeated, waits for its answer there.
func TestLostRequestKeepsGroupOut(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, `,{"name":"long","host":"a.example","prefix":"/long/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"service":"llm","maxAttempts":1}`)))
	u := startDaemon(t, store, "a")
	var arrived atomic.Int32
	u.putServer("i-1", "llm", backendServer(t, func(c net.Conn, r *http.Request) {
		if arrived.Add(1) == 1 {
			_ = timer.Wait(t.Context(), 14*time.Second) // only this request is lost
			return
		}
		(&streamer{}).serve(t)(c, r)
	}), fmt.Sprintf(openGroup, 1))
	u.waitReady()
	lost := make(chan reply, 1)
	go func() {
		lost <- u.do(http.MethodPost, "/long/", "k1", "x", "X-Flamingorudder-Deadline-Ms", "12000", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
	}()
	eventually(t, "the request is at the group", func() bool { return arrived.Load() == 1 })
	_ = timer.Wait(t.Context(), suspectFor+2*time.Second)
	if r := u.stream("next"); r.status != 200 {
		t.Errorf("another request, %v after the first: status %d, error %v", suspectFor+2*time.Second, r.status, r.err)
	}
	if r := <-lost; r.status != http.StatusGatewayTimeout {
		t.Logf("the lost request: status %d, error %v", r.status, r.err)
	}
}

// TestFailedSilentGroupKeepsItsLoad guards against counting a request at a group that has broken it off, and against that group
// counting as silent, while the request waits for another one.
func TestFailedSilentGroupKeepsItsLoad(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := startDaemon(t, store, "a")
	var arrived, broken atomic.Int32
	u.putServer("i-1", "llm", backendServer(t, func(c net.Conn, _ *http.Request) {
		arrived.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n"+event(1))
		_ = timer.Wait(t.Context(), silence)
		_ = c.Close()
		broken.Add(1)
	}), fmt.Sprintf(openGroup, 1))
	u.waitReady()
	got := make(chan reply, 1)
	go func() { got <- u.stream("s") }()
	eventually(t, "the request is at the first group", func() bool { return arrived.Load() == 1 })
	second := &streamer{silentBefore: 2, pause: 2 * silence}
	u.putServer("i-2", "llm", backendServer(t, second.serve(t)), fmt.Sprintf(openGroup, 2))
	eventually(t, "the request is at the second group", func() bool { return second.arrived.Load() == 1 })
	eventually(t, "the first group has broken the request off", func() bool { return broken.Load() == 1 })
	_ = timer.Wait(t.Context(), 200*time.Millisecond)
	if len(got) > 0 {
		t.Fatalf("the request has ended: %+v", <-got)
	}
	u.d.dispatch.mu.Lock()
	running := len(u.d.dispatch.running)
	u.d.dispatch.mu.Unlock()
	if running != 1 {
		t.Errorf("%d groups count the request, one works on it", running)
	}
	<-got
}

// TestStandbyWithoutEvidence guards against placing a standby at a group that is in the same silence as the first one, and so has the
// least load, while another group delivers events.
func TestStandbyWithoutEvidence(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(strings.Replace(fmt.Sprintf(testConfig, 1, ""), `"step_ms":5`, `"step_ms":40`, 1)))
	u := startDaemon(t, store, "a")
	const events = 25
	var mute atomic.Bool
	var arrived [5]atomic.Int32
	group := func(i int) {
		u.putServer(fmt.Sprint("i-", i), "llm", backendServer(t, func(c net.Conn, r *http.Request) {
			silent := func() bool { return mute.Load() && i < 4 }
			if r.Header.Get("X-Flamingorudder-Model") == "" {
				if !silent() {
					writeAnswer(c, r, http.StatusOK, "")
				}
				return
			}
			arrived[i].Add(1)
			out := "HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for n := from + 1; n <= events; n++ {
				if silent() {
					_ = timer.Wait(t.Context(), 4*time.Second)
					return
				}
				if _, err := io.WriteString(c, out+event(n)); err != nil {
					return
				}
				out = ""
				_ = timer.Wait(t.Context(), 40*time.Millisecond)
			}
			_ = c.Close()
		}), fmt.Sprintf(openGroup, i))
	}
	for i := 1; i <= 4; i++ {
		group(i)
	}
	u.waitReady()
	var streams errgroup.Group
	for _, i := range []int{1, 2, 4} {
		for other := 1; other <= 4; other++ {
			if other != i {
				u.d.dispatch.excludeRejecting(fmt.Sprintf("g%d/1", other), 0)
			}
		}
		streams.Go(func() error {
			r := u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Request-Id", fmt.Sprint(i), "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,60")
			if r.err != nil || r.status != http.StatusOK || strings.Count(r.body, "id: ") != events {
				t.Errorf("stream %d: status %d, error %v, %d events", i, r.status, r.err, strings.Count(r.body, "id: "))
			}
			return nil
		})
		eventually(t, "the stream runs", func() bool { return arrived[i].Load() == 1 })
		u.d.dispatch.mu.Lock()
		clear(u.d.dispatch.suspects)
		u.d.dispatch.mu.Unlock()
	}
	mute.Store(true)
	_ = streams.Wait() // its tasks return no error
	if n := arrived[3].Load(); n > 0 {
		t.Errorf("%d standbys at the silent group without requests", n)
	}
	if n := arrived[4].Load(); n != 3 {
		t.Errorf("%d requests at the group that delivers events, want 3", n)
	}
}
