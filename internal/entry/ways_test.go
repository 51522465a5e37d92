package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/timer"
)

// soon is a few scheduling periods, with room for a busy machine. The requests of these tests have 20 s.
const soon = 2 * time.Second

// waysConfig is a configuration in the form of the operators' table, as changes are made to it.
type waysConfig struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// newWaysConfig returns a configuration with a route to a service whose servers ask for pauses, and a second model, of which no
// group is open at first.
func newWaysConfig(t *testing.T) *waysConfig {
	t.Helper()
	var c waysConfig
	if err := json.Unmarshal([]byte(fmt.Sprintf(testConfig, 1, onceRoute+`
 ,{"name":"pause","host":"a.example","prefix":"/pause/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":4000,"service":"pausing","maxAttempts":2}`)), &c); err != nil {
		t.Fatal(err)
	}
	for _, r := range c.Routes {
		r["timeoutMs"] = 20000
		if r["kind"] == "streaming" {
			r["targetLatencyMs"] = 20000 // a request that waits for a group is not late
		}
	}
	c.Services = append(c.Services, map[string]any{"name": "pausing"}, map[string]any{"name": "other"})
	engine := c.Services[1]["engine"].(map[string]any)
	engine["models"] = append(engine["models"].([]any), map[string]any{"name": "n", "size": 1, "share": 0, "pace": 1, "loadS": 1, "warmS": 1})
	return &c
}

func (c *waysConfig) text(t *testing.T) []byte {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// waysChange is a change of the configuration while requests are under way.
type waysChange struct {
	name string
	do   func(c *waysConfig)
	// drops is set if no request to a model can be placed afterwards. retries is set if callers should come back later,
	// as their requests are still allowed.
	drops, retries bool
}

var waysChanges = []waysChange{
	{"nothing", func(*waysConfig) {}, false, false},
	{"key dropped", func(c *waysConfig) { c.Tenants[0]["apiKeys"] = []string{"k2"} }, false, false},
	{"models dropped", func(c *waysConfig) {
		c.Services[1]["engine"].(map[string]any)["models"] = []any{map[string]any{"name": "x", "size": 1, "share": 1, "pace": 1, "loadS": 1, "warmS": 1}}
	}, true, true},
	{"engine dropped", func(c *waysConfig) { delete(c.Services[1], "engine") }, true, true},
	{"services dropped", func(c *waysConfig) { c.Services = c.Services[3:] }, true, true},
	{"services and key dropped", func(c *waysConfig) { c.Services, c.Tenants[0]["apiKeys"] = c.Services[3:], []string{"k2"} }, true, false},
	{"routes dropped", func(c *waysConfig) { c.Routes = c.Routes[:0] }, false, false},
	{"routes moved", func(c *waysConfig) {
		for _, r := range c.Routes {
			r["service"] = "other"
		}
	}, false, false},
	{"routes moved, services dropped", func(c *waysConfig) {
		for _, r := range c.Routes {
			r["service"] = "other"
		}
		c.Services = c.Services[3:]
	}, true, false},
	{"time limits lowered", func(c *waysConfig) {
		for _, r := range c.Routes {
			r["timeoutMs"] = 10
		}
	}, false, false},
	{"attempts lowered", func(c *waysConfig) {
		for _, r := range c.Routes {
			r["maxAttempts"] = 1
		}
	}, false, false},
	{"body size lowered", func(c *waysConfig) { c.Limits["maxBodyBytes"] = 1 }, false, false},
	{"everything dropped", func(c *waysConfig) { c.Routes, c.Services = c.Routes[:0], c.Services[:0] }, true, false},
}

// waysServers are backend servers that hold their answers, at the place that the last element of the path names, until they are
// released.
type waysServers struct {
	t        *testing.T
	released chan struct{}
	mu       sync.Mutex
	// at holds the paths of the requests that arrived, in order.
	at []string
}

func newWaysServers(t *testing.T) *waysServers {
	t.Helper()
	return &waysServers{t: t, released: make(chan struct{})}
}

// waysGroups is the number of groups, one for each stream that a test holds: a group that holds one takes no others.
const waysGroups = 5

// put puts the servers into the store.
func (s *waysServers) put(u *daemonUnderTest) {
	for i := 1; i <= waysGroups; i++ {
		u.putServer(fmt.Sprint("p-", i), "plain", backendServer(s.t, s.serve), "null")
		u.putServer(fmt.Sprint("i-", i), "llm", backendServer(s.t, s.serve), fmt.Sprintf(openGroup, i))
	}
}

// arrived returns how many requests with a path have arrived.
func (s *waysServers) arrived(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.at {
		if p == path {
			n++
		}
	}
	return n
}

func (s *waysServers) hold() {
	select {
	case <-s.released:
	case <-s.t.Context().Done():
	}
}

func (s *waysServers) serve(c net.Conn, r *http.Request) {
	s.mu.Lock()
	first := !slices.Contains(s.at, r.URL.Path)
	s.at = append(s.at, r.URL.Path)
	s.mu.Unlock()
	place := path.Base(r.URL.Path)
	switch {
	case strings.HasPrefix(r.URL.Path, "/api/"): // an order
		writeAnswer(c, r, http.StatusConflict, "")
		return
	case place == "pause" && first:
		writeAnswer(c, r, http.StatusServiceUnavailable, "", "X-Flamingorudder-Not-Executed: 1\r\nRetry-After: 1\r\n")
		return
	case r.Header.Get("X-Flamingorudder-Model") == "":
		if place == "run" {
			s.hold()
		}
		body, _ := io.ReadAll(r.Body)
		writeAnswer(c, r, http.StatusOK, "echo "+string(body))
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= 4; n++ {
		if n == 1 && place == "first" || n == 3 && place == "middle" {
			s.hold()
		}
		out := event(n)
		if n == from+1 {
			out = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: " + r.Header.Get("X-Flamingorudder-Request-Id") +
				"\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + out
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
	_ = c.Close()
}

// way is a request on its way.
type way struct {
	path, model string
	// waits is set if it waits for a group of its model.
	waits bool
	done  chan reply
}

// begin sends a request.
func (u *daemonUnderTest) begin(w *way) {
	w.done = make(chan reply, 1)
	go func() {
		headers := []string{"X-Flamingorudder-Request-Id", w.path + w.model, "X-Flamingorudder-Deadline-Ms", "20000"}
		if w.model != "" {
			headers = append(headers, "X-Flamingorudder-Model", w.model, "X-Flamingorudder-Token-Usage", "100,20")
		}
		w.done <- u.do(http.MethodPost, w.path, "k1", "xy", headers...)
	}()
}

// check reports an end of the request that is neither a whole answer nor a refusal. served is set if there must be an answer.
func (w *way) check(t *testing.T, r reply, served bool) {
	t.Helper()
	want := "echo xy"
	if w.model != "" {
		want = event(1) + event(2) + event(3) + event(4)
	}
	switch {
	case r.err == nil && r.status == http.StatusOK && r.body == want:
	case r.err == nil && r.status == http.StatusServiceUnavailable && !served:
	default:
		t.Errorf("%s, model %q: reply %+v, must be served: %v", w.path, w.model, r, served)
	}
}

func (p *dispatcher) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// endWays checks the ends of the requests after a change. Those that wait and can no longer be placed are rejected at once; the others
// are served once their servers go on and a group of the second model opens.
func endWays(t *testing.T, ways []*way, change waysChange, release func()) {
	t.Helper()
	since := time.Now()
	for _, w := range ways {
		if !w.waits || !change.drops {
			continue
		}
		select {
		case r := <-w.done:
			if r.status != http.StatusServiceUnavailable || (r.h.Get("Retry-After") != "") != change.retries {
				t.Errorf("%s: reply %+v, want 503, with Retry-After: %v", w.path, r, change.retries)
			}
		case <-time.After(soon): //nolint:forbidigo // bounds the test
			t.Errorf("%s: not rejected %v after the change", w.path, time.Since(since))
			w.check(t, <-w.done, false)
		}
	}
	release()
	for _, w := range ways {
		if !w.waits || !change.drops {
			w.check(t, <-w.done, true)
		}
	}
}

// TestWaysAtConfigChange guards against a request ending without a whole answer or a refusal, or being refused later than known,
// when the configuration changes while it is on one of the steps of its way through one daemon.
func TestWaysAtConfigChange(t *testing.T) {
	t.Parallel()
	for _, change := range waysChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			c := newWaysConfig(t)
			store := fakeplatform.NewStore()
			store.Put("op", "config", c.text(t))
			u, servers := startDaemon(t, store, "a"), newWaysServers(t)
			servers.put(u)
			u.putServer("s-1", "pausing", backendServer(t, servers.serve), "null")
			u.waitReady()
			eventually(t, "the groups are open", func() bool { return len(u.d.view.Load().Groups["llm"]) == waysGroups })
			ways := []*way{
				{path: "/unsafe/run"},
				{path: "/safe/run"},
				{path: "/pause/pause"},
				{path: "/once/first", model: "m"},
				{path: "/once/middle", model: "m"},
				{path: "/stream/first", model: "m"},
				{path: "/stream/middle", model: "m"},
				{path: "/once/wait", model: "n", waits: true},
				{path: "/stream/wait", model: "n", waits: true},
			}
			for _, w := range ways {
				u.begin(w)
			}
			body, err := net.Dial("tcp", u.s.Caller.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = body.Close() }()
			_, _ = io.WriteString(body, "POST /unsafe/body HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: id-b\r\nContent-Length: 2\r\n\r\nx")
			// at reports whether requests have arrived at that many servers.
			at := func(want int, paths ...string) func() bool {
				return func() bool {
					return !slices.ContainsFunc(paths, func(path string) bool { return servers.arrived(path) < want })
				}
			}
			eventually(t, "the requests have arrived", at(1, "/unsafe/run", "/safe/run", "/pause/pause", "/once/first", "/once/middle", "/stream/first", "/stream/middle"))
			u.putServer("i-9", "llm", backendServer(t, servers.serve), fmt.Sprintf(openGroup, 8))
			eventually(t, "others are asked beside the silent ones", at(2, "/safe/run", "/stream/first", "/stream/middle"))
			eventually(t, "all requests are under way", func() bool { return u.d.dispatch.waiting() == 2 && u.d.inFlight.Load() == int64(len(ways))+1 })
			change.do(c)
			c.Version = 2
			store.Put("op", "config", c.text(t))
			eventually(t, "the change is in force", func() bool { return u.d.config.Load().Version == 2 })
			_, _ = io.WriteString(body, "y")
			resp, err := http.ReadResponse(bufio.NewReader(body), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("request whose body was being read: status %d", resp.StatusCode)
			}
			endWays(t, ways, change, func() {
				close(servers.released)
				u.putModel(servers, "n")
			})
		})
	}
}

// putModel puts the head of an open group of a model into the store.
func (u *daemonUnderTest) putModel(servers *waysServers, model string) {
	u.store.Put("servers", "head-"+model, []byte(fmt.Sprintf(`{"service":"llm","address":%q,"zone":"dc","slots":8,"state":"ready","born":1,"models":[{"name":%q}],"domain":"d","staged":[%q],"group":%s}`,
		backendServer(u.t, servers.serve), model, model, fmt.Sprintf(openGroup, 9))))
}

// TestWaysAtRemoteScheduler guards against the same for a request that waits at a scheduler of another daemon, which learns of the
// change sooner or later than its own.
func TestWaysAtRemoteScheduler(t *testing.T) {
	t.Parallel()
	for _, order := range []string{"both", "scheduler later", "scheduler first"} {
		for _, change := range waysChanges {
			if order != "both" && !change.drops {
				continue
			}
			t.Run(order+", "+change.name, func(t *testing.T) {
				t.Parallel()
				c := newWaysConfig(t)
				store := fakeplatform.NewStore()
				store.Put("op", "config", c.text(t))
				names := member.RendezvousOrder("llm/n", []string{"a", "b"})
				scheduler, u := startDaemon(t, store, names[0]), startDaemon(t, store, names[1])
				for _, v := range []*daemonUnderTest{scheduler, u} {
					v.waitReady()
					eventually(t, "the daemon hears the other one", func() bool { return len(v.d.livePeers(time.Now())) == 1 })
				}
				_ = timer.Wait(t.Context(), 2*candidatesTTL)
				ways := []*way{{path: "/once/wait", model: "n", waits: true}, {path: "/stream/wait", model: "n", waits: true}}
				for _, w := range ways {
					u.begin(w)
				}
				eventually(t, "the requests wait at the scheduler", func() bool {
					scheduler.d.dispatch.mu.Lock()
					defer scheduler.d.dispatch.mu.Unlock()
					for _, m := range scheduler.d.dispatch.server.Models() {
						if s, _ := scheduler.d.dispatch.server.State(time.Now(), m); m.Name == "n" && s.Waiting == 2 {
							return true
						}
					}
					return false
				})
				change.do(c)
				c.Version = 2
				switch order {
				case "both":
					store.Put("op", "config", c.text(t))
				case "scheduler later":
					u.d.feed.applyConfig(c.text(t), "test")
				case "scheduler first":
					scheduler.d.feed.applyConfig(c.text(t), "test")
				}
				eventually(t, "the change is in force", func() bool { return u.d.config.Load().Version == 2 })
				endWays(t, ways, change, func() {
					servers := newWaysServers(t)
					u.putModel(servers, "n")
				})
			})
		}
	}
}

// losePath cuts a daemon off from all backend servers and waits until it knows.
func losePath(t *testing.T, u *daemonUnderTest, cut *pathCut) {
	t.Helper()
	cut.set("reset")
	eventually(t, "the daemon knows that it has no path", func() bool {
		for _, service := range []string{"plain", "llm"} {
			u.d.paths.doubt(service)
		}
		return len(u.d.paths.lostServices()) == 2
	})
}

// TestWaysHandedOver guards against the same for requests that another daemon serves, or that wait there.
func TestWaysHandedOver(t *testing.T) {
	t.Parallel()
	for _, change := range waysChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			c, servers := newWaysConfig(t), newWaysServers(t)
			store := fakeplatform.NewStore()
			store.Put("op", "config", c.text(t))
			var cut pathCut
			u, other := startDaemon(t, store, "a", cut.apply), startDaemon(t, store, "b")
			servers.put(u)
			for _, v := range []*daemonUnderTest{u, other} {
				v.waitReady()
				eventually(t, "the daemon hears the other one", func() bool { return len(v.d.livePeers(time.Now())) == 1 })
			}
			losePath(t, u, &cut)
			eventually(t, "the other daemon takes requests", func() bool { return len(u.d.peersWithPath("llm")) == 1 })
			ways := []*way{
				{path: "/unsafe/run"},
				{path: "/safe/run"},
				{path: "/once/first", model: "m"},
				{path: "/once/middle", model: "m"},
				{path: "/stream/middle", model: "m"},
				{path: "/once/wait", model: "n", waits: true},
				{path: "/stream/wait", model: "n", waits: true},
			}
			for _, w := range ways {
				u.begin(w)
			}
			eventually(t, "the requests are at their places", func() bool {
				return other.d.dispatch.waiting() >= 2 && !slices.ContainsFunc(ways, func(w *way) bool { return !w.waits && servers.arrived(w.path) == 0 })
			})
			change.do(c)
			c.Version = 2
			// The daemon that the caller asked names the time to retry.
			for _, v := range []*daemonUnderTest{u, other} {
				v.d.feed.applyConfig(c.text(t), "test")
			}
			endWays(t, ways, change, func() {
				close(servers.released)
				u.putModel(servers, "n")
			})
		})
	}
}

// TestHandedOverToUnready guards against failing or rejecting a request that has been handed to a daemon that cannot serve it, for a
// reason of its own, while a third one can.
func TestHandedOverToUnready(t *testing.T) {
	t.Parallel()
	put := func(change func(c *waysConfig)) func(t *testing.T, u *daemonUnderTest) {
		return func(t *testing.T, u *daemonUnderTest) {
			t.Helper()
			c := newWaysConfig(t)
			change(c)
			u.d.feed.applyConfig(c.text(t), "test")
		}
	}
	same := put(func(*waysConfig) {})
	dead := freeAddr(t)
	for name, prepare := range map[string]func(t *testing.T, u *daemonUnderTest){
		"no configuration": func(*testing.T, *daemonUnderTest) {},
		"entries not read": func(t *testing.T, u *daemonUnderTest) {
			same(t, u)
			if !u.d.view.Load().Read.IsZero() {
				t.Fatal("the daemon has read the entries")
			}
		},
		"memory full": func(t *testing.T, u *daemonUnderTest) {
			same(t, u)
			u.d.memory.SetLimit(0)
		},
		"closing": func(t *testing.T, u *daemonUnderTest) {
			same(t, u)
			u.d.closing.Store(true)
			u.d.close()
		},
		"cut off": func(t *testing.T, u *daemonUnderTest) {
			same(t, u)
			for i := 1; i <= 4; i++ {
				u.putServer(fmt.Sprint("p-", i), "plain", dead.String(), "null")
				u.putServer(fmt.Sprint("i-", i), "llm", dead.String(), fmt.Sprintf(openGroup, i))
			}
			eventually(t, "the daemon has read the entries", func() bool { return len(u.d.view.Load().Servers) == 8 })
		},
		"no route":       put(func(c *waysConfig) { c.Routes = c.Routes[:0] }),
		"no key":         put(func(c *waysConfig) { c.Tenants[0]["apiKeys"] = []string{"k2"} }),
		"no service":     put(func(c *waysConfig) { c.Services = c.Services[:0] }),
		"no model":       put(waysChanges[2].do),
		"small bodies":   put(func(c *waysConfig) { c.Limits["maxBodyBytes"] = 1 }),
		"other services": put(waysChanges[7].do),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, empty := fakeplatform.NewStore(), fakeplatform.NewStore()
			store.Put("op", "config", newWaysConfig(t).text(t))
			var cut pathCut
			u := startDaemon(t, store, "a", cut.apply)
			third := startDaemon(t, store, "c", func(d *Daemon) {
				s := *d.settings()
				s.DataCentre = "other" // the unready one is asked first
				d.currentSettings.Store(&s)
			})
			servers := newWaysServers(t)
			servers.put(u)
			for _, v := range []*daemonUnderTest{u, third} {
				v.waitReady()
				eventually(t, "the daemon hears the other one", func() bool { return len(v.d.livePeers(time.Now())) == 1 })
			}
			if name == "entries not read" {
				empty.Refuse(http.StatusServiceUnavailable)
			}
			unready := startDaemon(t, empty, "b")
			prepare(t, unready)
			srv := httptest.NewServer(http.HandlerFunc(unready.d.servePeer))
			t.Cleanup(srv.Close)
			losePath(t, u, &cut)
			u.d.handleDigest(gossip.Digest{
				Name: "b", Boot: 1, Seq: 1, PeerAddr: netip.MustParseAddrPort(srv.Listener.Addr().String()), DataCentre: "dc", Ready: true, Relays: true, Cores: 1, Interval: time.Minute,
			})
			eventually(t, "the other daemons take requests", func() bool { return len(u.d.peersWithPath("llm")) == 2 })
			for range 5 {
				for _, w := range []*way{{path: "/unsafe/x"}, {path: "/safe/x"}, {path: "/once/x", model: "m"}, {path: "/stream/x", model: "m"}} {
					u.begin(w)
					w.check(t, <-w.done, true)
				}
			}
		})
	}
}

// TestHandedOverToStranger guards against taking the answer of a process that has the address of a daemon that is gone for that of a
// backend server, and so denying a request or promising that it has not run.
func TestHandedOverToStranger(t *testing.T) {
	t.Parallel()
	for status, want := range map[int]int{
		http.StatusOK: http.StatusBadGateway, http.StatusNotFound: http.StatusBadGateway, http.StatusServiceUnavailable: http.StatusBadGateway,
		http.StatusTooManyRequests: http.StatusBadGateway, http.StatusMisdirectedRequest: http.StatusServiceUnavailable, // not run
	} {
		store := fakeplatform.NewStore()
		store.Put("op", "config", newWaysConfig(t).text(t))
		var cut pathCut
		u := startDaemon(t, store, "a", cut.apply)
		for i := 1; i <= 4; i++ {
			u.putServer(fmt.Sprint("p-", i), "plain", freeAddr(t).String(), "null")
			u.putServer(fmt.Sprint("i-", i), "llm", freeAddr(t).String(), fmt.Sprintf(openGroup, i))
		}
		u.waitReady()
		losePath(t, u, &cut)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(status)
		}))
		t.Cleanup(srv.Close)
		u.d.handleDigest(gossip.Digest{
			Name: "b", Boot: 1, Seq: 1, PeerAddr: netip.MustParseAddrPort(srv.Listener.Addr().String()), DataCentre: "dc", Ready: true, Relays: true, Cores: 1, Interval: time.Minute,
		})
		for _, w := range []*way{{path: "/unsafe/x"}, {path: "/once/x", model: "m"}} {
			u.begin(w)
			if r := <-w.done; r.status != want {
				t.Errorf("%s, the stranger says %d: reply %+v, want %d", w.path, status, r, want)
			}
		}
	}
}

// TestUnknownModel guards against a request whose model its configuration lacks running at a server that was chosen without regard to
// its model, as if the service were a plain one.
func TestUnknownModel(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", newWaysConfig(t).text(t))
	u, servers := startDaemon(t, store, "a"), newWaysServers(t)
	servers.put(u)
	u.waitReady()
	w := &way{path: "/once/x", model: "none"}
	u.begin(w)
	if r := <-w.done; r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" || servers.arrived(w.path) > 0 {
		t.Errorf("reply %+v, %d requests at the servers", r, servers.arrived(w.path))
	}
}

// keptCaller is a caller that sends requests back to back on kept connections.
type keptCaller struct {
	name   string
	u      *daemonUnderTest
	random *rand.Rand
	// whole holds the ids of the requests that got a whole answer of a backend server, refused those that the daemon refused.
	whole, refused map[string]bool
	// faults are answers that are neither.
	faults []string
	sent   int
}

// run sends requests until the daemon takes no more connections.
func (c *keptCaller) run() {
	for c.sent < 5000 {
		conn, err := net.Dial("tcp", c.u.s.Caller.String())
		if err != nil {
			return
		}
		c.use(conn)
		_ = conn.Close()
	}
}

// use sends requests on one connection until it ends.
func (c *keptCaller) use(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		var ids []string
		pipelined := 1 + c.random.IntN(3)*c.random.IntN(2)
		for i := range pipelined {
			c.sent++
			id := fmt.Sprint(c.name, "-", c.sent)
			ids = append(ids, id)
			head := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: %s\r\n", id)
			body := strings.Repeat("x", c.random.IntN(3)*400)
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
			if i < pipelined-1 || c.random.IntN(4) > 0 {
				_, _ = io.WriteString(conn, head+body)
				continue
			}
			for _, part := range []string{head, body[:len(body)/2], body[len(body)/2:]} {
				_, _ = io.WriteString(conn, part)
				_ = timer.Wait(c.u.t.Context(), time.Duration(c.random.IntN(8))*time.Millisecond)
			}
		}
		for _, id := range ids {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			switch {
			case err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Flamingorudder-Request-Id") == id && strings.HasSuffix(string(body), id):
				c.whole[id] = true
			case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
				c.refused[id] = true
				_ = timer.Wait(c.u.t.Context(), 5*time.Millisecond)
			default:
				c.faults = append(c.faults, fmt.Sprintf("%s: status %d, %d bytes, error %v", id, resp.StatusCode, len(body), err))
			}
			if resp.Close || err != nil {
				return
			}
		}
	}
}

// TestKeptConnectionsAtStop guards against closing a kept connection of a caller without the answer to a request that was passed on,
// while the daemon stops and its configuration changes all the time.
func TestKeptConnectionsAtStop(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", newWaysConfig(t).text(t))
			u := startDaemon(t, store, "a", func(d *Daemon) {
				s := *d.settings()
				s.Grace = 6 * time.Second // no answer is cut by its end
				d.currentSettings.Store(&s)
			})
			var mu sync.Mutex
			arrived := map[string]bool{}
			serve := func(c net.Conn, r *http.Request) {
				id := r.Header.Get("X-Flamingorudder-Request-Id")
				mu.Lock()
				again := arrived[id]
				arrived[id] = true
				random := rand.New(rand.NewPCG(seed, uint64(len(arrived)))) //nolint:gosec // no secret
				mu.Unlock()
				if again {
					t.Errorf("%s ran twice", id)
				}
				_ = timer.Wait(t.Context(), time.Duration(random.IntN(20))*time.Millisecond)
				// Some answers are larger than the buffers of the connections, and than what is read ahead.
				writeAnswer(c, r, http.StatusOK, strings.Repeat("y", random.IntN(4)/3*(1<<20))+id)
			}
			for i := 1; i <= 3; i++ {
				u.putServer(fmt.Sprint("p-", i), "plain", backendServer(t, serve), "null")
			}
			u.waitReady()
			var callers []*keptCaller
			var running sync.WaitGroup
			for i := range 8 {
				c := &keptCaller{
					name: fmt.Sprint("c", i), u: u, random: rand.New(rand.NewPCG(seed, uint64(i))), //nolint:gosec // no secret
					whole: map[string]bool{}, refused: map[string]bool{},
				}
				callers = append(callers, c)
				running.Go(c.run)
			}
			stopped := make(chan struct{})
			running.Go(func() {
				for version := int64(2); ; version++ {
					select {
					case <-stopped:
						return
					default:
					}
					c := newWaysConfig(t)
					change := waysChanges[[]int{0, 2, 3, 9, 10}[version%5]]
					change.do(c)
					for _, r := range c.Routes {
						r["timeoutMs"] = max(r["timeoutMs"].(int), 4000) // requests whose time is over are no matter of this test
					}
					c.Version = version
					u.d.feed.applyConfig(c.text(t), "test")
					_ = timer.Wait(t.Context(), 3*time.Millisecond)
				}
			})
			wait := u.stop() // requests are taken for some two seconds
			wait()
			close(stopped)
			running.Wait()
			sent, whole, refused := 0, 0, 0
			for _, c := range callers {
				sent, whole, refused = sent+c.sent, whole+len(c.whole), refused+len(c.refused)
				for _, fault := range c.faults {
					t.Error(fault)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for id := range arrived {
				if !slices.ContainsFunc(callers, func(c *keptCaller) bool { return c.whole[id] }) {
					t.Errorf("%s was passed on and got no whole answer", id)
				}
			}
			t.Logf("%d requests: %d answered, %d refused, %d passed on", sent, whole, refused, len(arrived))
			if whole < 20 || refused == 0 {
				t.Error("too few requests for a test")
			}
		})
	}
}

// TestHandedOverToEarlierConfiguration guards against serving a request under a configuration that its own daemon has already replaced,
// for example for an organisation that no longer has the key, because it was handed to a daemon that lags behind.
func TestHandedOverToEarlierConfiguration(t *testing.T) {
	t.Parallel()
	f := newPathFleet(t, false)
	f.cut.set("reset")
	f.settle(t)
	newer := []byte(strings.Replace(fmt.Sprintf(testConfig, 2, pathRoutes), `"name":"t1"`, `"name":"t2"`, 1))
	f.a.d.feed.applyConfig(newer, "test")
	before := f.ran.Load()
	for _, path := range []string{"/unsafe/", "/safe/"} {
		if r := f.send(f.a, path, "x", 700); r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: reply %+v, want a rejection", path, r)
		}
	}
	if n := f.ran.Load() - before; n != 0 {
		t.Errorf("%d requests ran under the earlier configuration", n)
	}
	f.b.d.feed.applyConfig(newer, "test")
	for _, path := range []string{"/unsafe/", "/safe/"} {
		if r := f.send(f.a, path, "x", 2000); r.status != http.StatusOK {
			t.Errorf("%s, once the configuration is in force everywhere: reply %+v", path, r)
		}
	}
}
