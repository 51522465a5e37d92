package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// stop shuts the daemon down and returns a function that waits for the end.
func (u *daemonUnderTest) stop() (wait func()) {
	stopped := make(chan error, 1)
	go func() { stopped <- u.d.Stop(context.Background()) }()
	eventually(u.t, "the shutdown has begun", u.d.shuttingDown.Load)
	return func() {
		if err := <-stopped; err != nil {
			u.t.Error(err)
		}
	}
}

// TestAnswerAtTheEndOfShutdown guards against an answer that the end of the process cuts off as it is complete but not yet
// written to the connection.
func TestAnswerAtTheEndOfShutdown(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := startDaemon(t, store, "a", func(d *Daemon) {
		serve := d.httpServers[0].Handler
		d.httpServers[0].Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			serve.ServeHTTP(w, r)
			_ = timer.Wait(context.Background(), 200*time.Millisecond) // net/http writes the rest of the answer afterwards
		})
	})
	arrived, release := make(chan struct{}), make(chan struct{})
	u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		close(arrived)
		<-release
		writeAnswer(c, r, 200, "fine")
	}), "null")
	u.waitReady()
	got := make(chan reply, 1)
	go func() { got <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
	<-arrived
	wait := u.stop()
	eventually(t, "requests are rejected", u.d.closing.Load)
	close(release)
	if r := <-got; r.status != 200 || r.body != "fine" {
		t.Errorf("reply %+v", r)
	}
	wait()
}

// TestBodyLateInShutdown guards against passing on a request whose body arrives only after new requests are rejected: the end
// of the process may cut its answer off, and it may not be repeated.
func TestBodyLateInShutdown(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := startDaemon(t, store, "a")
	passedOn := make(chan struct{}, 1)
	u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		passedOn <- struct{}{}
		writeAnswer(c, r, 200, "fine")
	}), "null")
	u.waitReady()
	c, err := net.Dial("tcp", u.s.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: id-1\r\nContent-Length: 2\r\n\r\nx")
	eventually(t, "the daemon has read the header", func() bool { return u.d.inFlight.Load() == 1 })
	wait := u.stop()
	eventually(t, "requests are rejected", u.d.closing.Load)
	_, _ = io.WriteString(c, "x")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "" || len(passedOn) > 0 {
		t.Errorf("status %d, Retry-After %q, passed on %d times", resp.StatusCode, resp.Header.Get("Retry-After"), len(passedOn))
	}
	wait()
}

// TestRequestsOutlastShutdown guards against requests that are cut with no answer at the end of the grace period: those that a
// backend server still works on, and those that still wait for one.
func TestRequestsOutlastShutdown(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, `,
 {"name":"once","host":"a.example","prefix":"/once/","kind":"streaming","timeoutMs":9000,"targetLatencyMs":9000,"service":"llm","maxAttempts":1}`)))
	u := startDaemon(t, store, "a")
	deadlines := make(chan time.Duration, 10)
	u.putServer("i-1", "plain", backendServer(t, func(_ net.Conn, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get("X-Flamingorudder-Deadline-Ms"))
		deadlines <- time.Duration(ms) * time.Millisecond
		<-u.d.stopped
	}), "null")
	u.waitReady()
	began := time.Now()
	early, late, waiting := make(chan reply, 1), make(chan reply, 1), make(chan reply, 1)
	go func() { early <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
	<-deadlines
	go func() {
		waiting <- u.do(http.MethodPost, "/once/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "10,10", "X-Flamingorudder-Deadline-Ms", "9000")
	}()
	eventually(t, "a request waits for a group", func() bool {
		u.d.dispatch.mu.Lock()
		defer u.d.dispatch.mu.Unlock()
		return len(u.d.dispatch.waiters) == 1
	})
	stopping := time.Now()
	wait := u.stop()
	go func() { late <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
	if d := <-deadlines; d > u.s.Grace {
		t.Errorf("a backend server may work for %v, the process ends within %v", d, u.s.Grace)
	}
	if r := <-waiting; r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") != "" || time.Since(stopping) > u.s.Grace/2 {
		t.Errorf("the waiting request: %v after the beginning of the shutdown, reply %+v", time.Since(stopping), r)
	}
	for name, r := range map[string]reply{"early": <-early, "late": <-late} {
		if r.status != http.StatusGatewayTimeout || time.Since(began) < u.s.Grace*3/4 {
			t.Errorf("the %s request: after %v, reply %+v", name, time.Since(began), r)
		}
	}
	wait()
	if took := time.Since(stopping); took > u.s.Grace {
		t.Errorf("stopped after %v", took)
	}
}

// TestGraceChangesBeforeShutdown guards against answers that are cut off as the process ends after the grace period with
// which it was started, although the settings now have a longer one.
func TestGraceChangesBeforeShutdown(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := startDaemon(t, store, "a")
	arrived, release := make(chan struct{}), make(chan struct{})
	u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		close(arrived)
		<-release
		writeAnswer(c, r, 200, "fine")
	}), "null")
	u.waitReady()
	got, stopped := make(chan reply, 1), make(chan error, 1)
	go func() { got <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
	<-arrived
	// kratos ends the context after the grace period of the start.
	ctx, cancel := context.WithTimeout(context.Background(), u.s.Grace/20)
	defer cancel()
	go func() { stopped <- u.d.Stop(ctx) }()
	_ = timer.Wait(context.Background(), u.s.Grace/2)
	close(release)
	if r := <-got; r.status != 200 {
		t.Errorf("reply %+v", r)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestLongGraceTakesNoRequestsForLonger guards against requests that are taken so late in a long grace period that their
// callers count on an answer, and that its end cuts off.
func TestLongGraceTakesNoRequestsForLonger(t *testing.T) {
	for _, test := range []struct{ grace, accept time.Duration }{
		{0, 0}, {2 * time.Second, 720 * time.Millisecond}, {8 * time.Second, 2880 * time.Millisecond}, {30 * time.Second, 2880 * time.Millisecond}, {time.Hour, 2880 * time.Millisecond},
	} {
		if got := acceptPeriod(test.grace); got != test.accept {
			t.Errorf("grace period %v: requests are taken for %v, want %v", test.grace, got, test.accept)
		}
	}
}

// TestRequestInDoubtAtShutdown guards against passing on a request that may not be repeated after new requests are rejected, as it
// waited until then to know whether there is a path: the end of the process may cut its only answer off.
func TestRequestInDoubtAtShutdown(t *testing.T) {
	for path, model := range map[string]string{"/unsafe/": "", "/once/": "m"} {
		t.Run(path, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, onceRoute)))
			u, servers := startDaemon(t, store, "a"), newWaysServers(t)
			u.putServer("p-0", "plain", freeAddr(t).String(), "null")
			u.putServer("i-0", "llm", freeAddr(t).String(), fmt.Sprintf(openGroup, 9))
			u.waitReady()
			u.d.paths.mu.Lock()
			for _, service := range []string{"plain", "llm"} {
				u.d.paths.tracker.Doubt(time.Now(), service)
				u.d.paths.verdicts[service] = make(chan struct{})
			}
			u.d.paths.mu.Unlock()
			w := &way{path: path, model: model}
			u.begin(w)
			eventually(t, "the request has come", func() bool { return u.d.inFlight.Load() == 1 })
			servers.put(u)
			eventually(t, "the daemon knows other servers", func() bool { return len(u.d.view.Load().Servers) == 2*waysGroups+2 })
			wait := u.stop()
			if r := <-w.done; r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") != "" || servers.arrived(path) > 0 {
				t.Errorf("reply %+v, %d requests at the servers", r, servers.arrived(path))
			}
			wait()
		})
	}
}
