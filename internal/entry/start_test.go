package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/intake"
)

// streamServer returns the address of a backend server that answers each stream with one event and its end.
func streamServer(t *testing.T) string {
	return backendServer(t, func(c net.Conn, _ *http.Request) {
		body := event(1) + "data: [DONE]\n\n"
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body))
	})
}

// TestFleetStart guards against daemons that reject requests after all of them have started at once, although groups are open: for want
// of a configuration, or because the scheduler takes daemons that it does not know for busy. It also guards against a start in which
// every daemon calls the store for everything.
func TestFleetStart(t *testing.T) {
	for _, withRows := range []bool{true, false} {
		t.Run(fmt.Sprint("rows exist: ", withRows), func(t *testing.T) {
			const daemons = 10
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
			var all []*daemonUnderTest
			var runs []func()
			for i := range daemons {
				u, run := prepareDaemon(t, store, fmt.Sprint("d", i), func(d *Daemon) {
					if !withRows {
						return
					}
					row := d.digest()
					row.Boot--
					value, err := cbor.Marshal(row)
					if err != nil {
						t.Fatal(err)
					}
					store.Put(tableDaemons, row.Name, value)
				})
				all, runs = append(all, u), append(runs, run)
			}
			for i := 1; i <= 4; i++ {
				all[0].putServer(fmt.Sprint("i-", i), "llm", streamServer(t), fmt.Sprintf(openGroup, i))
			}
			for _, run := range runs {
				run()
			}
			replies := make([]reply, 2*daemons)
			var wait sync.WaitGroup
			for i := range replies {
				wait.Go(func() {
					replies[i] = all[i%daemons].do(http.MethodPost, "/stream/", "k1", "{}", "X-Flamingorudder-Request-Id", fmt.Sprint("id-", i), "X-Flamingorudder-Model", "m")
				})
			}
			wait.Wait()
			for i, r := range replies {
				if r.status != http.StatusOK {
					t.Errorf("request %d: reply %+v", i, r)
				}
			}
			calls, slowest := 0, int64(0)
			for _, u := range all {
				calls += u.counted("configuration") + u.counted("entries")
				slowest = max(slowest, u.d.feed.start.took.Load())
				if u.d.holdsLease() {
					t.Logf("daemon %s holds the lease already", u.s.Name)
				}
			}
			t.Logf("%d calls for configuration and entries, the last daemon was ready after %d ms", calls, slowest)
			// Each daemon needed two calls, and one that waits for the next change.
			if calls >= 3*daemons {
				t.Errorf("%d calls for configuration and entries", calls)
			}
		})
	}
}

// TestStartWithoutStore guards against requests that are rejected at once by a daemon that will know its configuration in a moment, and
// against callers that all return at the same moment.
func TestStartWithoutStore(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	store.Refuse(http.StatusServiceUnavailable)
	u := startDaemon(t, store, "a")
	const requests = 8
	retryAfter := map[string]bool{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() {
			began := time.Now()
			r := u.do(http.MethodGet, "/safe/", "k1", "", "X-Flamingorudder-Deadline-Ms", "900")
			if took := time.Since(began); r.status != http.StatusServiceUnavailable || took < 300*time.Millisecond {
				t.Errorf("status %d after %v, want 503 after a third of the timeout", r.status, took)
			}
			mu.Lock()
			defer mu.Unlock()
			retryAfter[r.h.Get("Retry-After")] = true
		})
	}
	wait.Wait()
	if retryAfter[""] {
		t.Errorf("a rejection without Retry-After")
	}
	if u.d.ready() {
		t.Error("ready without a configuration")
	}
	eventually(t, "no memory is reserved", func() bool { return u.d.memory.Used() == 0 })
	others := u.d.memory.Reservation()
	if err := others.Grow(time.Now(), intake.Head, u.d.settings().memoryBudget()-startWaitBytes/2); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if r := u.do(http.MethodGet, "/safe/", "k1", "", "X-Flamingorudder-Deadline-Ms", "30000"); r.status != http.StatusServiceUnavailable || time.Since(began) >= maxStartWait {
		t.Errorf("without memory: status %d after %v, want 503 at once", r.status, time.Since(began))
	}
	others.Release()
	got := make(chan reply, 1)
	go func() { got <- u.do(http.MethodPost, "/stream/", "", "{}", "X-Flamingorudder-Deadline-Ms", "30000") }()
	eventually(t, "the request waits", func() bool { return u.d.feed.start.waiting.Load() == 1 })
	u.d.feed.applyRelayedConfig(peerState{Config: []byte(fmt.Sprintf(testConfig, 1, "")), Following: true, ConfigAge: 1, Era: 1}, "b")
	if u.d.ready() {
		t.Error("ready without entries")
	}
	<-got
}

// TestUnconfirmedConfiguration guards against a daemon that has just started and takes an outdated configuration from a daemon that was
// paused.
func TestUnconfirmedConfiguration(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Refuse(http.StatusServiceUnavailable)
	u := startDaemon(t, store, "a")
	eventually(t, "the daemon knows the era", func() bool { return u.d.feed.storeEra() == 1 })
	config := []byte(fmt.Sprintf(testConfig, 1, ""))
	for _, test := range []struct {
		what string
		in   peerState
		want bool
	}{
		{"paused", peerState{Config: config, Following: true, ConfigAge: 3 * time.Second, Era: 1}, false},
		{"of an earlier build", peerState{Config: config, Following: true, Era: 1}, false},
		{"cut off from the store", peerState{Config: config, Era: 1}, false},
		{"in an earlier era", peerState{Config: config, Following: true, ConfigAge: time.Millisecond}, false},
		{"sound", peerState{Config: config, Following: true, ConfigAge: time.Millisecond, Era: 1}, true},
	} {
		if got := u.d.feed.isConfirmed(u.d.feed.started.Add(100*time.Millisecond), test.in); got != test.want {
			t.Errorf("peer %s: confirmed %v, want %v", test.what, got, test.want)
		}
	}
	if u.d.feed.applyRelayedConfig(peerState{Config: config, Following: true, ConfigAge: 3 * time.Second, Era: 1}, "b") || u.d.config.Load() != nil {
		t.Error("an unconfirmed configuration is in force")
	}
}

// TestStartingDaemonGetsDigest guards against a daemon that starts among synchronised ones and waits for their next periodic digest.
func TestStartingDaemonGetsDigest(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	first := startDaemon(t, store, "a")
	first.waitReady()
	second := startDaemon(t, store, "b")
	second.waitReady()
	eventually(t, "the first daemon relays", func() bool { return second.d.feed.start.relay.Load() != nil })
	if n := second.counted("entries"); n > 0 {
		t.Errorf("%d calls for entries by a daemon that started beside a synchronised one", n)
	}
}

// TestCompressedEntries guards against a start that is slowed down by the link of the daemon that relays to all others, and against
// relaying entries that have changed since they were compressed.
func TestCompressedEntries(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := startDaemon(t, store, "a")
	const entries = 171
	for i := range entries {
		u.putServer(fmt.Sprint("i-", i), "llm", "127.0.0.1:9", fmt.Sprintf(openGroup, i))
	}
	u.waitReady()
	in, err := u.d.feed.fetch(t.Context(), u.s.Peer, pathAll)
	if err != nil || len(in.Servers) != entries || in.Servers[0].Version == 0 || len(in.CompressedServers) > 16<<10 {
		t.Fatalf("%d entries in %d bytes, error %v", len(in.Servers), len(in.CompressedServers), err)
	}
	t.Logf("%d entries in %d bytes", entries, len(in.CompressedServers))
	store.Remove("servers", "i-7")
	eventually(t, "the daemon has read the removal", func() bool { return u.d.view.Load().Servers["i-7"] == nil })
	if in, err := u.d.feed.fetch(t.Context(), u.s.Peer, pathAll); err != nil || len(in.Servers) != entries-1 {
		t.Errorf("%d entries after a removal, error %v", len(in.Servers), err)
	}
	resp, err := http.Get("http://" + u.s.Peer.String() + pathAll)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var plain peerState
	if err := cbor.NewDecoder(resp.Body).Decode(&plain); err != nil || len(plain.Servers) != entries-1 || plain.CompressedServers != nil {
		t.Errorf("a daemon of an earlier build gets %d entries, error %v", len(plain.Servers), err)
	}
}
