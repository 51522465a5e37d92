package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/schedule"
)

// crashingServer starts a fake backend server that serves two events to each request, but closes its listener and all
// connections when the prompt of a request contains the part "dead", or its body is "dead". It calls crashed then.
func crashingServer(t *testing.T, crashed func()) string {
	return serverThatEnds(t, func(r *http.Request, body string) bool {
		ends := strings.Contains(r.Header.Get("X-Flamingorudder-Prompt-Prefix"), "dead:") || body == "dead"
		if ends {
			crashed()
		}
		return ends
	})
}

// serverThatEnds starts a fake backend server as crashingServer does, which ends instead of answering the request when ends
// reports true.
func serverThatEnds(t *testing.T, ends func(r *http.Request, body string) bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	crash := func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range conns {
			_ = c.Close()
		}
	}
	t.Cleanup(crash)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			if ends(r, string(body)) {
				crash()
				return
			}
			if r.URL.Path == "/api/report" {
				writeAnswer(c, r, 200, `{"born":1}`)
				continue
			}
			writeAnswer(c, r, 200, event(1)+event(2))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestPromptPartCrashesServers guards against requests with the same prompt part crashing one backend server after the
// other. Daemons that saw none of the crashes have to reject them too, and sound requests that share the caller and the
// other parts must be served.
func TestPromptPartCrashesServers(t *testing.T) {
	const groups, tolerated = 14, 5
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	a, b := startDaemon(t, store, "a"), startDaemon(t, store, "b")
	var crashes atomic.Int32
	for i := 1; i <= groups; i++ {
		a.putServer(fmt.Sprint("i-", i), "llm", crashingServer(t, func() { crashes.Add(1) }), fmt.Sprintf(openGroup, i))
	}
	for _, u := range []*daemonUnderTest{a, b} {
		u.waitReady()
		eventually(t, "the daemon hears the other one", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
	}
	send := func(u *daemonUnderTest, part string, n int) reply {
		return u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20",
			"X-Flamingorudder-Prompt-Prefix", fmt.Sprintf("abc:50,%s:20,%x:30", part, n))
	}
	for n := range tolerated {
		send(a, "dead", n)
	}
	if n := crashes.Load(); n > tolerated {
		t.Errorf("%d servers crashed at the first daemon, want at most %d", n, tolerated)
	}
	before, start := crashes.Load(), time.Now()
	eventually(t, "the other daemon knows of the part", func() bool {
		_, _, ok := b.d.quarantine.match(time.Now(), []uint64{0xdead})
		return ok
	})
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the other daemon learnt of the part only after %v", took)
	}
	if r := send(b, "dead", 100); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
		t.Errorf("request with the part at the other daemon: reply %+v, want 503 with Retry-After", r)
	}
	for n := range 5 {
		send(a, "dead", 200+n)
		send(b, "dead", 300+n)
	}
	if n := crashes.Load(); n > before {
		t.Errorf("%d more servers crashed afterwards", n-before)
	}
	for n := range 3 {
		for _, u := range []*daemonUnderTest{a, b} {
			if r := send(u, "beef", 400+n); r.status != http.StatusOK {
				t.Errorf("sound request with the same first part: reply %+v", r)
			}
		}
	}
}

// TestRequestCrashesServers guards against one request crashing backend servers whenever its callers repeat it, at any daemon,
// and against rejecting sound requests that share its first part.
func TestRequestCrashesServers(t *testing.T) {
	for name, prompt := range map[string]string{"with a shared part": "abc:50,dead:30", "without shared parts": "dead:30"} {
		t.Run(name, func(t *testing.T) {
			const groups, tolerated = 12, 3
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			a, b := startDaemon(t, store, "a"), startDaemon(t, store, "b")
			var crashes atomic.Int32
			for i := 1; i <= groups; i++ {
				a.putServer(fmt.Sprint("i-", i), "llm", crashingServer(t, func() { crashes.Add(1) }), fmt.Sprintf(openGroup, i))
			}
			for _, u := range []*daemonUnderTest{a, b} {
				u.waitReady()
			}
			schedules := func(u *daemonUnderTest) bool {
				u.d.dispatch.mu.Lock()
				defer u.d.dispatch.mu.Unlock()
				return u.d.dispatch.isScheduler(time.Now(), schedule.Model{Service: "llm", Name: "m"})
			}
			eventually(t, "exactly one daemon is the scheduler", func() bool {
				return len(a.d.livePeers(time.Now())) == 1 && len(b.d.livePeers(time.Now())) == 1 && schedules(a) != schedules(b)
			})
			send := func(u *daemonUnderTest, prompt string) reply {
				return u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20",
					"X-Flamingorudder-Prompt-Prefix", prompt)
			}
			var last reply
			for i := range 6 {
				last = send([]*daemonUnderTest{a, b}[i%2], prompt)
				send(a, fmt.Sprintf("abc:50,%x:30", i))
			}
			if n := crashes.Load(); n > tolerated {
				t.Errorf("%d servers crashed, want at most %d", n, tolerated)
			}
			if last.status != http.StatusServiceUnavailable || last.h.Get("Retry-After") == "" {
				t.Errorf("the last repeat gets reply %+v, want 503 with Retry-After", last)
			}
			for i := range 3 {
				for _, u := range []*daemonUnderTest{a, b} {
					if r := send(u, fmt.Sprintf("abc:50,%x:30", 100+i)); r.status != http.StatusOK {
						t.Errorf("sound request with the same first part: reply %+v", r)
					}
				}
			}
		})
	}
}

// TestRequestWithoutPromptCrashesServers guards against a request without a prompt that crashes backend servers whenever its
// callers repeat it, at any daemon, and against rejecting other requests of the same caller.
func TestRequestWithoutPromptCrashesServers(t *testing.T) {
	for _, test := range []struct {
		name, path, service string
		headers             []string
		// Every request of a caller may crash as many servers as it has attempts, and the third crash is the one that counts.
		tolerated int32
	}{
		{"unsafe", "/unsafe/", "plain", nil, 3},
		{"safe", "/safe/", "plain", nil, 4},
		{"model", "/stream/", "llm", []string{"X-Flamingorudder-Model", "m"}, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			daemons := []*daemonUnderTest{startDaemon(t, store, "a"), startDaemon(t, store, "b"), startDaemon(t, store, "c")}
			var crashes atomic.Int32
			for i := 1; i <= 12; i++ {
				group := "null"
				if test.service == "llm" {
					group = fmt.Sprintf(openGroup, i)
				}
				daemons[0].putServer(fmt.Sprint("i-", i), test.service, crashingServer(t, func() { crashes.Add(1) }), group)
			}
			for _, u := range daemons {
				u.waitReady()
				eventually(t, "the daemon hears the others", func() bool { return len(u.d.livePeers(time.Now())) == 2 })
			}
			var last reply
			for i := range 9 {
				last = daemons[i%3].do(http.MethodPost, test.path, "k1", "dead", test.headers...)
				if r := daemons[i%3].do(http.MethodPost, test.path, "k1", fmt.Sprint("sound ", i), test.headers...); r.status != http.StatusOK {
					t.Errorf("sound request beside it: reply %+v", r)
				}
				time.Sleep(500 * time.Millisecond) //nolint:forbidigo // callers repeat the request after its answer, not at once
			}
			if n := crashes.Load(); n > test.tolerated {
				t.Errorf("%d servers crashed, want at most %d", n, test.tolerated)
			}
			if last.status != http.StatusServiceUnavailable || last.h.Get("Retry-After") == "" {
				t.Errorf("the last repeat gets reply %+v, want 503 with Retry-After", last)
			}
		})
	}
}

// TestCollectorStops guards against forgetting crashes when the daemon that collects them stops, or is not yet known to the others
// when they happen.
func TestCollectorStops(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	var crashes atomic.Int32
	daemons := map[string]*daemonUnderTest{}
	for _, name := range []string{"a", "b", "c"} {
		daemons[name] = startDaemon(t, store, name)
	}
	for i := 1; i <= 12; i++ {
		daemons["a"].putServer(fmt.Sprint("i-", i), "plain", crashingServer(t, func() { crashes.Add(1) }), "null")
	}
	for _, u := range daemons {
		u.waitReady()
		eventually(t, "the daemon knows who collects crashes", func() bool {
			u.d.dispatch.mu.Lock()
			defer u.d.dispatch.mu.Unlock()
			return len(u.d.dispatch.candidates(time.Now(), schedule.Model{Service: "plain"}).names) == 3
		})
	}
	u := daemons["a"]
	u.d.dispatch.mu.Lock()
	order := slices.Clone(u.d.dispatch.candidates(time.Now(), schedule.Model{Service: "plain"}).names)
	u.d.dispatch.mu.Unlock()
	first, second := daemons[order[1]], daemons[order[2]]
	for _, u := range []*daemonUnderTest{first, second} {
		u.do(http.MethodPost, "/unsafe/", "k1", "dead")
	}
	// Answers to some requests must not make up for the crashes of another one.
	for _, u := range []*daemonUnderTest{first, second} {
		if r := u.do(http.MethodPost, "/unsafe/", "k1", "sound"); r.status != http.StatusOK {
			t.Errorf("sound request: reply %+v", r)
		}
	}
	if err := daemons[order[0]].d.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, u := range []*daemonUnderTest{first, second} {
		eventually(t, "the daemon knows that the collector has stopped", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
	}
	for range 3 {
		for _, u := range []*daemonUnderTest{first, second} {
			u.do(http.MethodPost, "/unsafe/", "k1", "dead")
			time.Sleep(500 * time.Millisecond) //nolint:forbidigo // callers repeat the request after its answer, not at once
		}
	}
	if n := crashes.Load(); n > 3 {
		t.Errorf("%d servers crashed, want at most 3", n)
	}
}

// TestEarlierBuildCollectsNoCrashes guards against reporting the crashes of a plain service to a daemon of a build that does not
// ask for answers, and so would reject requests that all callers send alike.
func TestEarlierBuildCollectsNoCrashes(t *testing.T) {
	u := startDaemon(t, fakeplatform.NewStore(), "a")
	for i := range 8 {
		digest := gossip.Digest{Name: fmt.Sprint("p", i), Boot: 1, Seq: 1, PeerAddr: freeAddr(t), DataCentre: "dc", Ready: true, Hub: true, Interval: time.Second, Collects: i%2 == 0}
		u.d.handleDigest(digest)
	}
	u.d.dispatch.mu.Lock()
	defer u.d.dispatch.mu.Unlock()
	for _, name := range u.d.dispatch.candidates(time.Now(), schedule.Model{Service: "plain"}).names {
		if name != "a" && (name[1]-'0')%2 != 0 {
			t.Errorf("%s collects crashes", name)
		}
	}
	if n := len(u.d.dispatch.candidates(time.Now(), schedule.Model{Service: "llm", Name: "m"}).names); n < 8 {
		t.Errorf("%d daemons may schedule a model, want 8 and more", n)
	}
}

// TestSharedRequestOutlivesServers guards against rejecting a request that all callers send alike because servers end, one after
// the other, while they work on it.
func TestSharedRequestOutlivesServers(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	daemons := []*daemonUnderTest{startDaemon(t, store, "a"), startDaemon(t, store, "b"), startDaemon(t, store, "c")}
	var due, ended atomic.Int32
	for i := 1; i <= 12; i++ {
		daemons[0].putServer(fmt.Sprint("i-", i), "plain", serverThatEnds(t, func(*http.Request, string) bool {
			ends := due.CompareAndSwap(1, 0)
			if ends {
				ended.Add(1)
			}
			return ends
		}), "null")
	}
	for _, u := range daemons {
		u.waitReady()
		eventually(t, "the daemon hears the others", func() bool { return len(u.d.livePeers(time.Now())) == 2 })
	}
	for i := range 8 {
		due.Store(1)
		for j := range 3 {
			if r := daemons[(i+j)%3].do(http.MethodGet, "/safe/", "k1", ""); r.status != http.StatusOK {
				t.Errorf("after %d servers have ended: reply %+v", ended.Load(), r)
			}
		}
	}
	if n := ended.Load(); n < 6 {
		t.Errorf("%d servers ended, want 6 and more", n)
	}
}

// TestQuarantineOutlivesAllDaemons guards against daemons that crash servers again after all of them have been restarted.
func TestQuarantineOutlivesAllDaemons(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	a := startDaemon(t, store, "a")
	var crashes atomic.Int32
	for i := 1; i <= 6; i++ {
		a.putServer(fmt.Sprint("i-", i), "llm", crashingServer(t, func() { crashes.Add(1) }), fmt.Sprintf(openGroup, i))
	}
	a.waitReady()
	send := func(u *daemonUnderTest) reply {
		return u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20",
			"X-Flamingorudder-Prompt-Prefix", "abc:50,dead:20,1:30")
	}
	for a.d.quarantine.len() == 0 && crashes.Load() < 6 {
		send(a)
	}
	written := func() bool {
		page, err := a.d.store.Rows(t.Context(), tableDaemons)
		if err != nil || len(page.Rows) == 0 {
			return false
		}
		digest, err := gossip.Decode(page.Rows[0].Value)
		return err == nil && len(digest.Quarantined) == 1
	}
	eventually(t, "the row has the part", written)
	if err := a.d.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := crashes.Load()
	b := startDaemon(t, store, "b")
	b.waitReady()
	eventually(t, "the new daemon has read the rows", b.d.peersLoaded.Load)
	if r := send(b); r.status != http.StatusServiceUnavailable || crashes.Load() > before {
		t.Errorf("reply %+v, %d more servers crashed", r, crashes.Load()-before)
	}
}
