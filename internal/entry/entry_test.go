package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/timer"
)

// backendServer is a stand-in whose handler writes raw answers.
func backendServer(t *testing.T, f func(c net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					b, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(strings.NewReader(string(b)))
					if r.URL.Path == "/api/report" {
						writeAnswer(c, r, 200, `{"born":1}`)
						continue
					}
					f(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func writeAnswer(c net.Conn, r *http.Request, status int, body string, more ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Response-Signature: sig\r\n%sContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Flamingorudder-Request-Id"), strings.Join(more, ""), len(body), body)
}

const testConfig = `{"version":%d,"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeoutMs":2000,"targetLatencyMs":150,"service":"plain","maxAttempts":2},
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":2000,"service":"plain","maxAttempts":1},
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"service":"llm","maxAttempts":2,"streamResume":true}%s],
 "services":[{"name":"plain","maxConnections":50},{"name":"llm","maxConnections":50,"engine":{"slots":8,"stride":1,"step_ms":5,"read_per_s":46000,"formMs":10,
  "models":[{"name":"m","size":1,"share":1,"pace":1,"loadS":1,"warmS":1}]}}],
 "limits":{"maxBodyBytes":1000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}`

// daemonUnderTest is a daemon on loopback with its store.
type daemonUnderTest struct {
	t     *testing.T
	d     *Daemon
	store *fakeplatform.Store
	s     Settings
}

// freeAddr returns an address of a port that is free for TCP and UDP.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// start starts a daemon; before are called with it while it does not run yet.
func start(t *testing.T, store *fakeplatform.Store, name string, before ...func(d *Daemon)) *daemonUnderTest {
	t.Helper()
	srv := httptest.NewServer(store.Daemons())
	t.Cleanup(srv.Close)
	s := Settings{
		Name: name, DataCentre: "dc", MemoryMB: 256, Caller: freeAddr(t), Readiness: freeAddr(t), Directory: freeAddr(t), Peer: freeAddr(t),
		Store: netip.MustParseAddrPort(srv.Listener.Addr().String()), Grace: 2 * time.Second, Hold: 5 * time.Second, Stall: 6 * time.Second,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second, Beat: 1200 * time.Millisecond, Drain: 2 * time.Second, Apply: time.Second, StoreReads: 2000,
	}
	d, closeDaemon, err := New(s, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range before {
		f(d)
	}
	done := make(chan error, 1)
	go func() { done <- d.Start(context.Background()) }()
	t.Cleanup(func() {
		if !d.leaving.Load() {
			if err := d.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		closeDaemon()
	})
	return &daemonUnderTest{t, d, store, s}
}

// eventually waits for a condition, which other goroutines bring about.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond) //nolint:forbidigo // waits for other goroutines
	}
	t.Fatalf("%s: not within 10 s", what)
}

func (u *daemonUnderTest) server(id, service, addr, group string) {
	u.store.Put("servers", id, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc","slots":8,"state":"ready","born":1,"models":[{"name":"m"}],"domain":"d","staged":["m"],"group":%s}`, service, addr, group)))
}

func (u *daemonUnderTest) ready() {
	eventually(u.t, "ready", u.d.ready)
	n := u.store.Len("servers")
	eventually(u.t, "entries", func() bool { return len(u.d.view.Load().Servers) == n })
}

type reply struct {
	status int
	body   string
	h      http.Header
	err    error
}

func (u *daemonUnderTest) do(method, path, key, body string, more ...string) reply {
	req, err := http.NewRequest(method, "http://"+u.s.Caller.String()+path, strings.NewReader(body))
	if err != nil {
		u.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Flamingorudder-Request-Id", "id-1")
	req.Header.Set("X-Flamingorudder-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(b), resp.Header, err}
}

// TestPlain guards against requests being changed on their way, against keys reaching backend servers, and against answers
// for what is not configured.
func TestPlain(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	got := make(chan *http.Request, 10)
	u.server("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		got <- r
		writeAnswer(c, r, 200, "fine")
	}), "null")
	u.ready()
	r := u.do(http.MethodPost, "/unsafe/x%20y?q=1", "k1", "hello", "X-Flamingorudder-Tenant", "forged")
	if r.status != 200 || r.body != "fine" || r.h.Get("X-Flamingorudder-Response-Signature") != "sig" {
		t.Fatalf("reply %+v", r)
	}
	in := <-got
	body, _ := io.ReadAll(in.Body)
	if in.RequestURI != "/unsafe/x%20y?q=1" || in.Host != "a.example" || string(body) != "hello" || in.Header.Get("X-Api-Key") != "" ||
		in.Header.Get("X-Flamingorudder-Tenant") != "t1" || in.Header.Get("X-Flamingorudder-Target-Instance") != "i-1" {
		t.Errorf("%s %v %q", in.RequestURI, in.Header, body)
	}
	if left, err := strconv.Atoi(in.Header.Get("X-Flamingorudder-Deadline-Ms")); err != nil || left > 2000 || left < 1000 {
		t.Errorf("time left %v", left)
	}
	for _, test := range []struct {
		path, key, body string
		want            int
	}{{"/unsafe/", "odd", "", 401}, {"/none/", "k1", "", 404}, {"/unsafe/", "k1", strings.Repeat("x", 1001), 413}} {
		if r := u.do(http.MethodPost, test.path, test.key, test.body); r.status != test.want {
			t.Errorf("%s with key %s: %d, want %d", test.path, test.key, r.status, test.want)
		}
	}
}

// TestUnsafeRunsOnce guards against a request that may run only once being sent again after its answer was lost, and against
// an answer that says that it did not run.
func TestUnsafeRunsOnce(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	var mu sync.Mutex
	runs := 0
	lose := func(c net.Conn, _ *http.Request) {
		mu.Lock()
		runs++
		mu.Unlock()
		_ = c.Close()
	}
	u.server("i-1", "plain", backendServer(t, lose), "null")
	u.server("i-2", "plain", backendServer(t, lose), "null")
	u.ready()
	r := u.do(http.MethodPost, "/unsafe/", "k1", "x")
	mu.Lock()
	defer mu.Unlock()
	if runs != 1 || r.status != http.StatusBadGateway {
		t.Errorf("%d runs, %+v", runs, r)
	}
}

// TestSafeIsRepeated guards against a failure of one backend server reaching the caller although another could answer.
func TestSafeIsRepeated(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	for _, id := range []string{"i-1", "i-2"} {
		u.server(id, "plain", backendServer(t, func(c net.Conn, r *http.Request) {
			if r.Header.Get("X-Flamingorudder-Target-Instance") == "i-1" {
				writeAnswer(c, r, 500, "broken")
				return
			}
			writeAnswer(c, r, 200, "fine")
		}), "null")
	}
	u.ready()
	for range 5 {
		if r := u.do(http.MethodGet, "/safe/", "k1", ""); r.status != 200 || r.body != "fine" {
			t.Fatalf("reply %+v", r)
		}
	}
}

// TestRejectionIsPassedOnOnlyWithProof guards against a 503 without a proof telling the caller that nothing ran.
func TestRejectionIsPassedOnOnlyWithProof(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	proof := make(chan string, 1)
	u.server("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) { writeAnswer(c, r, 503, "", <-proof) }), "null")
	u.ready()
	proof <- ""
	if r := u.do(http.MethodPost, "/unsafe/", "k1", "x"); r.status != http.StatusBadGateway {
		t.Errorf("without a proof: %d", r.status)
	}
	proof <- "X-Flamingorudder-Not-Executed: 1\r\n"
	if r := u.do(http.MethodPost, "/unsafe/", "k1", "x"); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
		t.Errorf("with a proof: %+v", r)
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

const openGroup = `{"name":"g%d","epoch":1,"rank":0,"state":"open"}`

// TestStreamGoesOnElsewhere guards against pieces of two runs being joined wrongly: a stream that is cut in the middle of an
// event goes on at another group after the last whole one, without a gap or a repeat.
func TestStreamGoesOnElsewhere(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	var mu sync.Mutex
	sent := 0
	for i := 1; i <= 2; i++ {
		u.server(fmt.Sprint("i-", i), "llm", backendServer(t, func(c net.Conn, r *http.Request) {
			mu.Lock()
			sent++
			first := sent == 1
			mu.Unlock()
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", i)
			chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
			if first {
				_, _ = io.WriteString(c, head+chunk(event(1)+event(2)+"id: 3\nda"))
				_ = c.Close()
				return
			}
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			out := ""
			for n := from + 1; n <= 4; n++ {
				out += chunk(event(n))
			}
			_, _ = io.WriteString(c, head+out+"0\r\n\r\n")
		}), fmt.Sprintf(openGroup, i))
	}
	u.ready()
	eventually(t, "groups", func() bool { return len(u.d.view.Load().Groups["llm"]) == 2 })
	r := u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
	if want := event(1) + event(2) + event(3) + event(4); r.err != nil || r.status != 200 || r.body != want {
		t.Errorf("%d %v %q", r.status, r.err, r.body)
	}
}

// TestStreamOutOfOrder guards against an answer that does not go on where the last one ended reaching the caller.
func TestStreamOutOfOrder(t *testing.T) {
	if _, _, _, err := events([]byte(event(2)+event(4)), "1"); err == nil {
		t.Error("a gap is passed on")
	}
	if _, _, _, err := events([]byte(event(2)), "2"); err == nil {
		t.Error("a repeat is passed on")
	}
	whole, count, id, err := events([]byte(event(2)+event(3)+"id: 4"), "1")
	if err != nil || id != "3" || whole != len(event(2)+event(3)) || count != 2 {
		t.Errorf("%d %d %q %v", whole, count, id, err)
	}
}

// TestCutStreamDoesNotLookComplete guards against a caller taking a stream that no group can finish for a whole one.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	u.server("i-1", "llm", backendServer(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n"+event(1))
		_ = c.Close()
	}), fmt.Sprintf(openGroup, 1))
	u.ready()
	r := u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Deadline-Ms", "600")
	if r.err == nil && r.status == 200 {
		t.Errorf("looks complete: %q", r.body)
	}
}

// TestConfigNeverGoesBack guards against an older configuration, from the store or from another daemon, replacing a newer one.
func TestConfigNeverGoesBack(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 5, "")))
	u := start(t, store, "a")
	u.ready()
	extra := `,{"name":"new","host":"a.example","prefix":"/new/","kind":"safe","service":"plain"}`
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 9, extra)))
	eventually(t, "the new version", func() bool { return u.d.config.Load().Version == 9 })
	u.d.feed.applyConfig([]byte(fmt.Sprintf(testConfig, 7, "")), "test")
	u.d.feed.applyConfig([]byte("{"), "test")
	if u.d.config.Load().Version != 9 {
		t.Errorf("version %d", u.d.config.Load().Version)
	}
}

// TestSilentFeed guards against a configuration that is never seen because the connection of the waiting read went silent
// (deploy/days/edges.toml: 26 s behind).
func TestSilentFeed(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 5, "")))
	u := start(t, store, "a")
	u.ready()
	store.Mute("op")
	eventually(t, "a silent read", func() bool {
		return !store.Muted("op")
	})
	began := time.Now()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 6, "")))
	eventually(t, "the new version", func() bool { return u.d.config.Load().Version == 6 })
	if took := time.Since(began); took > 3*u.s.Apply {
		t.Errorf("took %v", took)
	}
}

// TestPeerTellsWhatTheStoreDoesNot guards against a daemon that the store turns away staying without the configuration and
// the entries that another daemon has, and against callers getting 404 or 401 from it meanwhile.
func TestPeerTellsWhatTheStoreDoesNot(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	store.Put("servers", "i-1", []byte(`{"service":"plain","address":"127.0.0.1:1","state":"ready","born":1}`))
	a := start(t, store, "a")
	a.ready()
	down := fakeplatform.NewStore()
	down.Refuse(http.StatusServiceUnavailable)
	b := start(t, down, "b")
	if r := b.do(http.MethodGet, "/safe/", "k1", ""); r.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %d", r.status)
	}
	introduce := func(to, of *daemonUnderTest) {
		row := of.d.digest()
		to.d.peersMu.Lock()
		defer to.d.peersMu.Unlock()
		to.d.members.AddFromRow(time.Now(), row)
	}
	introduce(a, b)
	introduce(b, a)
	eventually(t, "ready by another daemon", func() bool { return b.d.ready() && b.d.view.Load().Servers["i-1"] != nil })
}

// TestLeaving guards against a daemon that stops cutting off a request, and against callers being sent to it.
func TestLeaving(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	arrived, release := make(chan struct{}), make(chan struct{})
	u.server("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		close(arrived)
		<-release
		writeAnswer(c, r, 200, "fine")
	}), "null")
	u.ready()
	got := make(chan reply, 1)
	go func() { got <- u.do(http.MethodPost, "/unsafe/", "k1", "x") }()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- u.d.Stop(context.Background()) }()
	eventually(t, "leaving", u.d.leaving.Load)
	resp, err := http.Get("http://" + u.s.Readiness.String() + "/api/readiness")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready while leaving: %d", resp.StatusCode)
	}
	close(release)
	if r := <-got; r.status != 200 || r.body != "fine" {
		t.Errorf("reply %+v", r)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestBudget guards against more repeats than the services' bound, and against a burst being forgotten too early.
func TestBudget(t *testing.T) {
	s := &Settings{RetryRatio: 0.2, RetrySlack: 70, RetryWindow: 10 * time.Second}
	b := &budget{}
	now := time.Unix(1000, 0)
	for range 100 {
		b.request("s", now, s.RetryWindow)
	}
	n := 0
	for b.repeat("s", now.Add(time.Second), s, 7) {
		n++
	}
	if want := int(budgetPart * (0.2*100 + 10)); n != want {
		t.Errorf("%d repeats, want %d", n, want)
	}
	if b.repeat("s", now.Add(9*time.Second), s, 7) {
		t.Error("repeats of the same window are forgotten")
	}
	if !b.repeat("s", now.Add(12*time.Second), s, 7) {
		t.Error("a new window has no repeats")
	}
}

// TestReadsKeepToTheStore guards against reading entries more often than a store with few calls allows.
func TestReadsKeepToTheStore(t *testing.T) {
	for reads, want := range map[float64]time.Duration{2000: 400 * time.Millisecond, 2: 2 * time.Second} {
		d := &Daemon{members: gossip.NewPeerSet("a", "dc", 1)}
		d.current.Store(&Settings{Drain: 2 * time.Second, StoreReads: reads})
		if got := (&storeSync{d: d}).serversPeriod(); got != want {
			t.Errorf("%v calls a second: %v, want %v", reads, got, want)
		}
	}
}

// TestSettings guards against settings that are read as others, and against a fault that is not told.
func TestSettings(t *testing.T) {
	text := "[daemon]\nname = a\ndata-centre = z\nfirst-start = true\n[listen]\ncaller = 10.0.0.1:1\nreadiness = 10.0.0.1:2\npeer = 10.0.0.1:3\n" +
		"[store]\naddress = 10.0.0.9:9\n[bounds]\ndrain-ms = 2500\ngrace-s = 4\n[log]\n"
	s, err := ParseSettings("f.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if !s.FirstStart || s.Drain != 2500*time.Millisecond || s.Grace != 4*time.Second || s.Stall != 6*time.Second || s.Directory.IsValid() {
		t.Errorf("settings %+v", s)
	}
	_, err = ParseSettings("f.ini", []byte(strings.Replace(text, "grace-s", "grase-s", 1)))
	if err == nil || !strings.Contains(err.Error(), "grace-s") {
		t.Errorf("near miss: %v", err)
	}
}

// TestOrdersToAnotherServer guards against orders that are given again and again to an address that another backend server
// has taken over. Orders used to put off the question that shows it.
func TestOrdersToAnotherServer(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	var reports, orders atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/api/order":
			orders.Add(1)
		case reports.Add(1) == 1:
			_, _ = io.WriteString(w, `{"born":1,"models":[{"name":"m"}],"group":{"name":"g1","epoch":1,"rank":0,"state":"broken"}}`)
			return
		}
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer srv.Close()
	u := start(t, store, "a")
	u.server("i-1", "llm", srv.Listener.Addr().String(), `{"name":"g1","epoch":1,"rank":0,"state":"broken"}`)
	u.ready()
	eventually(t, "an order", func() bool { return orders.Load() > 0 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond) //nolint:forbidigo // lets orders come
	}
	if n := orders.Load(); n > 2 {
		t.Errorf("%d orders to an address that is another's", n)
	}
}

// TestAddresses guards against callers who cross data centres although enough daemons are near, against callers who know
// no daemon when their data centre is lost, and against a daemon that is never named.
func TestAddresses(t *testing.T) {
	list := func(from, n int) []netip.AddrPort {
		var out []netip.AddrPort
		for i := range n {
			out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(from), byte(i)}), 1))
		}
		return out
	}
	for _, test := range []struct{ near, far, wantNear, wantFar int }{
		{0, 0, 0, 0}, {2, 5, 2, 5}, {0, 7, 0, 7}, {27, 45, 27, keptFar}, {8, 60, 8, maxAddresses - 8}, {100, 200, maxAddresses - keptFar, keptFar},
	} {
		named := map[netip.AddrPort]bool{}
		for range 2000 {
			near, far := 0, 0
			for _, a := range addresses(list(1, test.near), list(2, test.far), rand.Shuffle) {
				named[a] = true
				if a.Addr().As4()[2] == 1 {
					near++
				} else {
					far++
				}
			}
			if near != test.wantNear || far != test.wantFar {
				t.Fatalf("%d near and %d far: named %d and %d, want %d and %d", test.near, test.far, near, far, test.wantNear, test.wantFar)
			}
		}
		if test.wantFar > 0 && len(named) != test.near+test.far {
			t.Errorf("%d near and %d far: only %d are ever named", test.near, test.far, len(named))
		}
	}
}

// TestSettingsChange guards against a change of the settings file that comes without a signal being missed until the next
// start, and against a file that cannot be used replacing settings that can.
func TestSettingsChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.ini")
	write := func(drain string) []byte {
		text := []byte("[daemon]\nname = other\ndata-centre = dc\n[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n" +
			"[store]\naddress = 127.0.0.1:4\n[bounds]\ndrain-ms = " + drain + "\n[log]\n")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return text
	}
	signals := make(chan os.Signal)
	u := start(t, fakeplatform.NewStore(), "a", func(d *Daemon) { d.Follow(file, write("1000"), signals) })
	write("1500")
	eventually(t, "a change without a signal", func() bool { return u.d.settings().Drain == 1500*time.Millisecond })
	if s := u.d.settings(); s.Name != "a" || s.Store != u.s.Store {
		t.Errorf("name %s, store %v: these hold until the next start", s.Name, s.Store)
	}
	write("soon")
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP // the first has been dealt with
	if d := u.d.settings().Drain; d != 1500*time.Millisecond {
		t.Errorf("drain %v after a file that cannot be used", d)
	}
}

// TestPressureOfAllDaemons guards against the holder of the lease taking what waits at itself for what waits everywhere: the
// daemon that schedules a model tells.
func TestPressureOfAllDaemons(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	u.server("i-1", "llm", "127.0.0.1:1", `{"name":"g1","epoch":1,"rank":0,"state":"open"}`)
	u.ready()
	llm := u.d.config.Load().Service("llm")
	if p, _ := u.d.dispatch.pressure(llm); p["m"] != 0 {
		t.Errorf("pressure %v without work", p)
	}
	u.d.peersMu.Lock()
	for i := range 3 {
		u.d.members.Receive(time.Now(), gossip.Digest{
			Name: fmt.Sprint(i), PeerAddr: u.s.Peer, Demands: map[string]schedule.Demand{gossip.DemandKey("llm", "m"): {Requests: 6, Lacking: 4 * i}},
		})
	}
	u.d.peersMu.Unlock()
	// Six requests run and eight lack a place at the daemon that knows most; the group has 8 places.
	if p, urgent := u.d.dispatch.pressure(llm); p["m"] != 14.0/8 || urgent != "m" {
		t.Errorf("pressure %v, want %v", p, 14.0/8)
	}
}

// stream sends a request to a model.
func (u *daemonUnderTest) stream(id string) reply {
	u.t.Helper()
	return u.do(http.MethodPost, "/stream/x", "k1", "body", "X-Flamingorudder-Request-Id", id, "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,10")
}

// twoEvents answers a request with two events.
func twoEvents(c net.Conn, r *http.Request) {
	writeAnswer(c, r, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "Content-Type: text/event-stream\r\n")
}

// TestOneDaemonPlaces guards against daemons that place their requests by different loads: all ask the same one, and it
// knows the work of all.
func TestOneDaemonPlaces(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	release := make(chan struct{})
	server := backendServer(t, func(c net.Conn, r *http.Request) {
		<-release
		twoEvents(c, r)
	})
	u := []*daemonUnderTest{start(t, store, "a"), start(t, store, "b")}
	u[0].server("i-1", "llm", server, `{"name":"g1","epoch":1,"rank":0,"state":"open"}`)
	for _, d := range u {
		d.ready()
	}
	m := schedule.Model{Service: "llm", Name: "m"}
	schedules := func(d *Daemon) bool {
		d.dispatch.mu.Lock()
		defer d.dispatch.mu.Unlock()
		return d.dispatch.schedules(time.Now(), m)
	}
	eventually(t, "one daemon schedules", func() bool {
		return len(u[0].d.live(time.Now())) == 1 && len(u[1].d.live(time.Now())) == 1 && schedules(u[0].d) != schedules(u[1].d)
	})
	var done sync.WaitGroup
	for i, d := range u {
		done.Add(1)
		go func() {
			defer done.Done()
			if r := d.stream(fmt.Sprint("r", i)); r.status != 200 || !strings.Contains(r.body, "id: 2") {
				t.Errorf("answer %+v", r)
			}
		}()
	}
	first := u[0]
	if schedules(u[1].d) {
		first = u[1]
	}
	demand := func() int {
		first.d.dispatch.mu.Lock()
		defer first.d.dispatch.mu.Unlock()
		d, _ := first.d.dispatch.server.Demand(time.Now(), m)
		return d.Requests
	}
	eventually(t, "the scheduler knows both requests", func() bool { return demand() == 2 })
	close(release)
	done.Wait()
	eventually(t, "the scheduler knows that both have ended", func() bool { return demand() == 0 })
}

// TestSchedulerIsDeaf guards against requests that wait for a scheduler which lives and hears nothing of them.
func TestSchedulerIsDeaf(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	u.server("i-1", "llm", backendServer(t, twoEvents), `{"name":"g1","epoch":1,"rank":0,"state":"open"}`)
	u.ready()
	// Digests of larger instances come, but nobody listens where they say they do.
	deaf, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = deaf.Close() }()
	hear := func(seq uint64) {
		for _, name := range []string{"x", "y"} {
			u.d.handleDigest(gossip.Digest{Name: name, Boot: 1, Seq: seq, Ready: true, Hub: true, Cores: 64, PeerAddr: netip.MustParseAddrPort(deaf.LocalAddr().String())})
		}
	}
	hear(1)
	began := time.Now()
	if r := u.stream("r"); r.status != 200 || !strings.Contains(r.body, "id: 2") {
		t.Errorf("answer %+v after %v", r, time.Since(began))
	}
}

// TestOutageEndsForDaemonThatReadsThroughAnother guards against a daemon that takes the entries from another one missing the
// end of an outage of the store: entries that lapsed meanwhile were dropped at once, and silent heads counted as dead by
// renewals that nobody could have seen. Found on tallado-austral-grown, trouble-3: members joined other groups while the
// heads of theirs were open.
func TestOutageEndsForDaemonThatReadsThroughAnother(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	store.Put("servers", "i-1", []byte(`{"service":"plain","address":"127.0.0.1:1","state":"ready","born":1}`))
	const silence = 300 * time.Millisecond
	short := func(d *Daemon) { d.feed.tracker = roster.NewTracker(lapseGrace, silence) }
	a := start(t, store, "a", short)
	a.ready()
	// The daemon that gives orders reads for itself, whichever that is.
	others := []*daemonUnderTest{start(t, store, "b", short), start(t, store, "c", short)}
	var b *daemonUnderTest
	eventually(t, "one reads through a", func() bool {
		for _, o := range others {
			if o.d.ready() && o.d.feed.configIsRelayed(time.Now()) && o.d.storeOK.Load() {
				b = o
			}
		}
		return b != nil
	})
	store.Refuse(http.StatusServiceUnavailable)
	eventually(t, "both miss the store", func() bool { return !a.d.storeOK.Load() && !b.d.storeOK.Load() })
	if err := timer.Wait(t.Context(), 2*silence); err != nil {
		t.Fatal(err)
	}
	store.Remove("servers", "i-1") // it lapsed while it could not be renewed
	store.Refuse(0)
	eventually(t, "b knows when the store came back", func() bool { return !b.d.view.Load().StoreRecovered.IsZero() })
	eventually(t, "the removal is read", func() bool { return a.d.view.Load().Read.After(a.d.view.Load().StoreRecovered) })
	if v := b.d.view.Load(); time.Since(v.StoreRecovered) < lapseGrace && v.Servers["i-1"] == nil {
		t.Error("an entry that lapsed during the outage is dropped at once")
	}
	eventually(t, "it is taken as gone after the grace", func() bool { return b.d.view.Load().Servers["i-1"] == nil })
}

const leavingHeader = "Server-Leaving: 1\r\n"

// TestServerLeaves guards against new requests to a backend server that says in an answer that it will end, at the daemon that
// passed the answer on and at those that hear of it. The answer itself is delivered.
func TestServerLeaves(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u, other := start(t, store, "a"), start(t, store, "b")
	var leaving [3]atomic.Int32
	for i := 1; i <= 2; i++ {
		f := func(c net.Conn, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/api/") { // the holder of the lease gives it orders
				leaving[i].Add(1)
			}
			writeAnswer(c, r, 200, event(1), leavingHeader)
		}
		if i == 2 {
			f = func(c net.Conn, r *http.Request) { writeAnswer(c, r, 200, event(1)) }
		}
		addr := backendServer(t, f)
		u.server(fmt.Sprint("p-", i), "plain", addr, "null")
		u.server(fmt.Sprint("m-", i), "llm", addr, fmt.Sprintf(openGroup, i))
	}
	u.ready()
	other.ready()
	eventually(t, "daemons know each other", func() bool { return len(u.d.live(time.Now())) == 1 && len(other.d.live(time.Now())) == 1 })
	for i := 0; leaving[1].Load() == 0; i++ {
		if r := u.do(http.MethodPost, "/unsafe/", "k1", "x"); r.status != 200 || i > 200 {
			t.Fatalf("reply %d: %+v", i, r)
		}
	}
	for i := 0; leaving[1].Load() == 1; i++ {
		if r := u.stream(fmt.Sprint("s", i)); r.status != 200 || i > 200 {
			t.Fatalf("reply %d: %+v", i, r)
		}
	}
	eventually(t, "the other daemon hears of it", func() bool {
		v := other.d.view.Load()
		return v.Servers["p-1"].State == roster.Draining && v.Servers["m-1"].State == roster.Draining
	})
	for i := range 20 {
		for _, d := range []*daemonUnderTest{u, other} {
			if r := d.do(http.MethodPost, "/unsafe/", "k1", "x"); r.status != 200 {
				t.Errorf("reply %+v", r)
			}
			if r := d.stream(fmt.Sprint("t", i)); r.status != 200 {
				t.Errorf("reply %+v", r)
			}
		}
	}
	if n := leaving[1].Load(); n != 2 {
		t.Errorf("%d requests after the answers that said so", n-2)
	}
}

// TestServerAsksForPause guards against requests to a backend server within the pause that it asked for, against callers who
// are not told when to come back, and against a pause that never ends.
func TestServerAsksForPause(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	var mu sync.Mutex
	var arrived []time.Time
	shedding := true
	addr := backendServer(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrived = append(arrived, time.Now())
		if shedding {
			writeAnswer(c, r, 503, "", "X-Flamingorudder-Not-Executed: 1\r\nRetry-After: 0.8\r\n")
			return
		}
		writeAnswer(c, r, 200, event(1))
	})
	u.server("p-1", "plain", addr, "null")
	u.server("m-1", "llm", addr, fmt.Sprintf(openGroup, 1))
	u.ready()
	for _, send := range []func() reply{
		func() reply {
			return u.do(http.MethodPost, "/unsafe/", "k1", "x", "X-Flamingorudder-Deadline-Ms", "900")
		},
		func() reply {
			return u.do(http.MethodPost, "/stream/x", "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "10,10", "X-Flamingorudder-Deadline-Ms", "900")
		},
	} {
		mu.Lock()
		shedding, arrived = true, nil
		mu.Unlock()
		began := time.Now()
		for time.Since(began) < 700*time.Millisecond {
			if r := send(); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
				t.Fatalf("reply %+v", r)
			}
		}
		mu.Lock()
		if len(arrived) != 1 {
			t.Errorf("%d requests in a pause", len(arrived))
		}
		shedding = false
		mu.Unlock()
		eventually(t, "served after the pause", func() bool { return send().status == 200 })
		mu.Lock()
		if wait := arrived[1].Sub(arrived[0]); wait < 800*time.Millisecond {
			t.Errorf("the second request came after %v", wait)
		}
		mu.Unlock()
	}
}

// TestAnswerWithoutEnd guards against a backend server whose answer goes on for ever: its bytes must end soon at the daemon and
// never look like a whole answer to the caller, and others must be served meanwhile.
func TestAnswerWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\n\r\n"
	for name, bytes := range map[string]func(n int) string{
		"no event":           func(int) string { return strings.Repeat("x", 4096) },
		"events without ids": func(int) string { return strings.Repeat(": more\n\n", 512) },
		"blank lines":        func(int) string { return strings.Repeat("\n", 4096) },
		"too many events":    func(n int) string { return event(n + 1) },
	} {
		t.Run(name, func(t *testing.T) {
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			u := start(t, store, "a")
			sent := make(chan int, 10)
			u.server("m-1", "llm", backendServer(t, func(c net.Conn, r *http.Request) {
				if r.Header.Get("X-Flamingorudder-Request-Id") == "well" {
					twoEvents(c, r)
					return
				}
				_, _ = io.WriteString(c, head)
				for n, all := 0, 0; ; n++ {
					m, err := io.WriteString(c, bytes(n))
					all += m
					if err != nil {
						sent <- all
						return
					}
				}
			}), fmt.Sprintf(openGroup, 1))
			u.ready()
			got := make(chan reply, 1)
			go func() { got <- u.stream("endless") }()
			if r := u.stream("well"); r.status != 200 || !strings.Contains(r.body, "id: 2") {
				t.Errorf("another request: %+v", r)
			}
			select {
			case n := <-sent:
				t.Logf("%d bytes were sent", n)
			case <-time.After(time.Second): //nolint:forbidigo // bounds the test
				t.Error("the connection stays open")
			}
			// The caller waits for another group to go on with the answer, in vain.
			if r := <-got; r.err == nil && r.status == 200 {
				t.Errorf("looks complete: %d bytes", len(r.body))
			}
		})
	}
}
