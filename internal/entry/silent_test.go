package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// silence is how long the backend servers of these tests are silent: many times as long as a group may take for a pass.
const silence = 700 * time.Millisecond

// onceRoute is the route of a stream that may not be sent again.
const onceRoute = `,{"name":"once","host":"a.example","prefix":"/once/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"service":"llm","maxAttempts":2}`

// streamer is a backend server that sends four events, goes on after Last-Event-Id, and falls silent before one of them.
type streamer struct {
	// silentBefore is the event before which it falls silent for pause, 0 for none.
	silentBefore int
	pause        time.Duration
	// rejects is set if it rejects all requests.
	rejects bool
	// arrived counts the requests, left those whose connection was closed before the end of the response.
	arrived, left atomic.Int32
}

func (s *streamer) serve(t *testing.T) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		s.arrived.Add(1)
		if s.rejects {
			writeAnswer(c, r, http.StatusServiceUnavailable, "", "X-Flamingorudder-Not-Executed: 1\r\n")
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= 4; n++ {
			if n == s.silentBefore {
				_ = timer.Wait(t.Context(), s.pause)
				if closed(c) {
					s.left.Add(1)
					return
				}
			}
			out := event(n)
			if n == from+1 {
				out = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + out
			}
			if _, err := io.WriteString(c, out); err != nil {
				return
			}
		}
		_ = c.Close()
	}
}

// closed reports whether the other side has closed a connection.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// TestStreamLostWhileGroupSilent guards against a stream being cut off, or run again where it must not, while its group is silent
// for a moment and goes on: beside no other group, one that rejects the request, and one that is as silent.
func TestStreamLostWhileGroupSilent(t *testing.T) {
	for name, test := range map[string]struct {
		path          string
		first, second *streamer
	}{
		"once, before the first event":  {"/once/", &streamer{silentBefore: 1, pause: silence}, &streamer{}},
		"once, inside the stream":       {"/once/", &streamer{silentBefore: 3, pause: silence}, &streamer{}},
		"no other group, first event":   {"/stream/", &streamer{silentBefore: 1, pause: silence}, nil},
		"no other group":                {"/stream/", &streamer{silentBefore: 3, pause: silence}, nil},
		"the other group rejects":       {"/stream/", &streamer{silentBefore: 3, pause: silence}, &streamer{rejects: true}},
		"the other group is silent too": {"/stream/", &streamer{silentBefore: 3, pause: silence}, &streamer{silentBefore: 3, pause: 2 * silence}},
		"both are silent at the start":  {"/stream/", &streamer{silentBefore: 1, pause: silence}, &streamer{silentBefore: 1, pause: 2 * silence}},
	} {
		t.Run(name, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, onceRoute)))
			u := startDaemon(t, store, "a")
			u.putServer("i-1", "llm", backendServer(t, test.first.serve(t)), fmt.Sprintf(openGroup, 1))
			u.waitReady()
			got := make(chan reply, 1)
			go func() {
				got <- u.do(http.MethodPost, test.path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
			}()
			eventually(t, "the request is at the first group", func() bool { return test.first.arrived.Load() == 1 })
			if test.second != nil {
				u.putServer("i-2", "llm", backendServer(t, test.second.serve(t)), fmt.Sprintf(openGroup, 2))
			}
			if r, want := <-got, event(1)+event(2)+event(3)+event(4); r.err != nil || r.status != http.StatusOK || r.body != want {
				t.Errorf("status %d, error %v, body %q", r.status, r.err, r.body)
			}
			if n := test.first.arrived.Load(); n != 1 {
				t.Errorf("%d requests at the first group, want 1", n)
			}
			if test.second == nil {
				return
			}
			if n := test.second.arrived.Load(); test.path == "/once/" && n != 0 || n > 1 {
				t.Errorf("%d requests at the second group", n)
			}
			if test.second.arrived.Load() == 1 && !test.second.rejects {
				eventually(t, "the second group no longer works on the request", func() bool { return test.second.left.Load() == 1 })
			}
		})
	}
}

// TestStreamHeldAtSilentGroup guards against a stream waiting for a silent group while another one would go on, and against the
// silent one working on.
func TestStreamHeldAtSilentGroup(t *testing.T) {
	for _, silentBefore := range []int{1, 3} {
		t.Run(strconv.Itoa(silentBefore), func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			u := startDaemon(t, store, "a")
			first, second := &streamer{silentBefore: silentBefore, pause: 2 * silence}, &streamer{}
			u.putServer("i-1", "llm", backendServer(t, first.serve(t)), fmt.Sprintf(openGroup, 1))
			u.waitReady()
			got, start := make(chan reply, 1), time.Now()
			go func() { got <- u.stream("held") }()
			eventually(t, "the request is at the first group", func() bool { return first.arrived.Load() == 1 })
			u.putServer("i-2", "llm", backendServer(t, second.serve(t)), fmt.Sprintf(openGroup, 2))
			if r := <-got; r.err != nil || strings.Count(r.body, "id: ") != 4 || r.body != event(1)+event(2)+event(3)+event(4) {
				t.Errorf("status %d, error %v, body %q", r.status, r.err, r.body)
			}
			if took := time.Since(start); took > silence {
				t.Errorf("took %v", took)
			}
			eventually(t, "the silent group no longer works on the request", func() bool { return first.left.Load() == 1 })
		})
	}
}

// TestSafeRequestLostWhileServerSilent guards against giving up a backend server of a plain service that is silent for a moment
// when no other one answers the request.
func TestSafeRequestLostWhileServerSilent(t *testing.T) {
	fail := func(c net.Conn, r *http.Request) { writeAnswer(c, r, http.StatusInternalServerError, "broken") }
	hang := func(net.Conn, *http.Request) { _ = timer.Wait(t.Context(), 2*silence) }
	shed := func(c net.Conn, r *http.Request) {
		writeAnswer(c, r, http.StatusServiceUnavailable, "", "X-Flamingorudder-Not-Executed: 1\r\n")
	}
	for name, other := range map[string]func(c net.Conn, r *http.Request){"fails": fail, "is silent": hang, "rejects": shed, "does not exist": nil} {
		t.Run("the other "+name, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			u := startDaemon(t, store, "a")
			var arrived atomic.Int32
			serve := func(c net.Conn, r *http.Request) {
				if arrived.Add(1) > 1 && other != nil {
					other(c, r)
					return
				}
				_ = timer.Wait(t.Context(), silence)
				writeAnswer(c, r, 200, "fine")
			}
			u.putServer("i-1", "plain", backendServer(t, serve), "null")
			most := int32(1)
			if other != nil {
				u.putServer("i-2", "plain", backendServer(t, serve), "null")
				most = 2
			}
			u.waitReady()
			if r := u.do(http.MethodGet, "/safe/", "k1", ""); r.status != 200 || r.body != "fine" {
				t.Errorf("reply %+v", r)
			}
			if n := arrived.Load(); n > most {
				t.Errorf("%d requests at the servers, want %d at most", n, most)
			}
		})
	}
}

// TestRequestLostAtConfigChange guards against a request that runs or waits ending without an answer when a new configuration has
// no place for it any more.
func TestRequestLostAtConfigChange(t *testing.T) {
	old := fmt.Sprintf(testConfig, 1, onceRoute)
	changes := map[string]func(string) string{
		"key": func(c string) string { return strings.Replace(c, `"k1"`, `"k2"`, 1) },
		"model": func(c string) string {
			return strings.Replace(c, `"name":"m","size"`, `"name":"other","size"`, 1)
		},
		"engine": func(c string) string {
			i := strings.Index(c, `,"engine"`)
			return c[:i] + `}],` + c[strings.Index(c, `"limits"`):]
		},
		"services and routes": func(c string) string {
			return `{"version":1,"routes":[],"services":[],` + c[strings.Index(c, `"limits"`):]
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(old))
			u := startDaemon(t, store, "a")
			stream := &streamer{silentBefore: 3, pause: silence}
			u.putServer("i-1", "llm", backendServer(t, stream.serve(t)), fmt.Sprintf(openGroup, 1))
			var plain atomic.Int32
			u.putServer("i-2", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
				plain.Add(1)
				_ = timer.Wait(t.Context(), silence)
				writeAnswer(c, r, 200, "fine")
			}), "null")
			u.waitReady()
			served, once, waits := make(chan reply, 1), make(chan reply, 1), make(chan reply, 1)
			go func() {
				served <- u.do(http.MethodPost, "/once/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
			}()
			go func() { once <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
			eventually(t, "the requests are at their servers", func() bool { return stream.arrived.Load() == 1 && plain.Load() == 1 })
			u.putServer("i-1", "llm", "127.0.0.1:9", "null") // no other request can be placed
			eventually(t, "no group is open", func() bool {
				return len(u.d.view.Load().Groups["llm"]) == 0 || !u.d.view.Load().Groups["llm"][0].Complete()
			})
			go func() {
				waits <- u.do(http.MethodPost, "/once/", "k1", "x", "X-Flamingorudder-Request-Id", "id-2", "X-Flamingorudder-Deadline-Ms", "1500", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
			}()
			eventually(t, "a request waits", func() bool {
				u.d.dispatch.mu.Lock()
				defer u.d.dispatch.mu.Unlock()
				return len(u.d.dispatch.waiters) == 1
			})
			store.Put("op", "config", []byte(strings.Replace(change(old), `"version":1`, `"version":2`, 1)))
			eventually(t, "the new configuration is in force", func() bool { return u.d.config.Load().Version == 2 })
			if r, want := <-served, event(1)+event(2)+event(3)+event(4); r.err != nil || r.status != 200 || r.body != want {
				t.Errorf("stream: status %d, error %v, body %q", r.status, r.err, r.body)
			}
			if r := <-once; r.status != 200 || r.body != "fine" {
				t.Errorf("unsafe request: %+v", r)
			}
			if r := <-waits; r.status != http.StatusServiceUnavailable {
				t.Errorf("waiting request: %+v", r)
			}
		})
	}
}

// TestAllGroupsSilent guards against rejecting the requests to a model because all of its groups were silent for a moment at a daemon
// that had no time to read their answers, and against using a silent group while another one is left.
func TestAllGroupsSilent(t *testing.T) {
	t.Parallel()
	for name, sound := range map[string]bool{"no other group": false, "another group": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, onceRoute)))
			all := []*daemonUnderTest{startDaemon(t, store, "a"), startDaemon(t, store, "b")}
			var arrived atomic.Int32
			silent := make(chan struct{})
			addr := backendServer(t, func(c net.Conn, r *http.Request) {
				if arrived.Add(1) == 1 {
					<-silent
				}
				(&streamer{}).serve(t)(c, r)
			})
			all[0].putServer("i-1", "llm", addr, fmt.Sprintf(openGroup, 1))
			for _, u := range all {
				u.waitReady()
				eventually(t, "the daemon hears the other one", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
			}
			first := make(chan reply, 1)
			go func() {
				first <- all[0].do(http.MethodPost, "/once/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
			}()
			eventually(t, "the daemon finds the group silent", func() bool {
				p := all[0].d.dispatch
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.suspects) == 1
			})
			other := &streamer{}
			if sound {
				all[0].putServer("i-2", "llm", backendServer(t, other.serve(t)), fmt.Sprintf(openGroup, 2))
				for _, u := range all {
					eventually(t, "the daemon knows the other group", func() bool { return len(u.d.view.Load().Groups["llm"]) == 2 })
				}
			}
			before := other.arrived.Load()
			for i, u := range all {
				if r := u.stream(fmt.Sprint("s", i)); r.status != http.StatusOK {
					t.Errorf("daemon %d: reply %+v", i, r)
				}
			}
			if n := other.arrived.Load() - before; sound && n != 2 {
				t.Errorf("%d requests at the other group, want 2", n)
			}
			close(silent)
			if r := <-first; r.status != http.StatusOK {
				t.Errorf("the first request: reply %+v", r)
			}
		})
	}
}

// TestSilentGroupTriedOnce guards against sending all requests to the last group of a model while it is silent, where they would wait for
// nothing if it is dead, and against rejecting them once it has gone on.
func TestSilentGroupTriedOnce(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, onceRoute)))
	u := startDaemon(t, store, "a")
	var arrived atomic.Int32
	goOn := make(chan struct{})
	u.putServer("i-1", "llm", backendServer(t, func(c net.Conn, r *http.Request) {
		arrived.Add(1)
		<-goOn
		(&streamer{}).serve(t)(c, r)
	}), fmt.Sprintf(openGroup, 1))
	u.waitReady()
	waiting := make(chan reply, 2)
	send := func(id string) reply {
		return u.do(http.MethodPost, "/once/", "k1", "x", "X-Flamingorudder-Request-Id", id, "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
	}
	go func() { waiting <- send("first") }()
	eventually(t, "the daemon finds the group silent", func() bool {
		p := u.d.dispatch
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.suspects) == 1
	})
	go func() { waiting <- send("try") }()
	eventually(t, "one request tries the group", func() bool { return arrived.Load() == 2 })
	if r := send("another"); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
		t.Errorf("another request meanwhile: reply %+v, want 503 with Retry-After", r)
	}
	close(goOn)
	for range 2 {
		if r := <-waiting; r.status != http.StatusOK {
			t.Errorf("a request that waited: reply %+v", r)
		}
	}
	if r := send("later"); r.status != http.StatusOK {
		t.Errorf("a request after the silence: reply %+v", r)
	}
}
