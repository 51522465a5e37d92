package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
)

// TestLargeRequestsShareMemory guards against a daemon whose requests no longer count at a group once they have begun to answer, so that
// requests of another daemon exceed its memory, and against requests that wait although no group can hold them.
func TestLargeRequestsShareMemory(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(strings.ReplaceAll(fmt.Sprintf(testConfig, 1, ""), `"slots":8,`, `"slots":8,"kvTokens":1000,"usual":{"answer":10},`)))
	var fleet []*daemonUnderTest
	for _, name := range []string{"a", "b"} {
		fleet = append(fleet, startDaemon(t, store, name))
	}
	arrived, end := make(chan string, 10), make(chan struct{})
	answer := func(c net.Conn, r *http.Request) {
		arrived <- r.URL.Path
		if r.URL.Path != "/stream/held" {
			writeAnswer(c, r, 200, event(1))
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Flamingorudder-Request-Id"))
		// The group goes on, so that it is not taken for silent.
		for n := 1; n <= 400; n++ {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event(n)), event(n))
			select {
			case <-end:
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return
			case <-time.After(20 * time.Millisecond): //nolint:forbidigo // the pace of the stand-in
			}
		}
	}
	fleet[0].putServer("i-1", "llm", backendServer(t, answer), fmt.Sprintf(openGroup, 1))
	for _, u := range fleet {
		u.waitReady()
		eventually(t, "the daemon hears the other", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
	}
	send := func(u *daemonUnderTest, path string, prompt int) reply {
		return u.do(http.MethodPost, "/stream/"+path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", fmt.Sprintf("%d,900", prompt))
	}
	if r := send(fleet[0], "huge", 1200); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") != "" {
		t.Errorf("larger than the memory: %+v", r)
	}
	// The usual size becomes small, so that a large request which counts as a usual one is noticed.
	for range 10 {
		if r := send(fleet[0], "first", 20); r.status != http.StatusOK {
			t.Errorf("small request: %+v", r)
		}
		<-arrived
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if r := send(fleet[0], "held", 600); r.status != http.StatusOK || r.err != nil {
			t.Errorf("large request: %+v", r)
		}
	})
	if path := <-arrived; path != "/stream/held" {
		t.Errorf("%s arrived", path)
	}
	model := fleet[0].d.dispatch
	eventually(t, "the first event has arrived", func() bool {
		model.mu.Lock()
		defer model.mu.Unlock()
		for _, loads := range model.localLoad {
			for _, l := range loads {
				if l.QueuedTokens == 0 && l.HeldTokens == 620 {
					return true
				}
			}
		}
		return false
	})
	if r := send(fleet[1], "large", 600); r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
		t.Errorf("second large request: %+v", r)
	}
	if r := send(fleet[1], "small", 100); r.status != http.StatusOK {
		t.Errorf("small request beside the large one: %+v", r)
	}
	close(end)
	wg.Wait()
	eventually(t, "the next large request is served", func() bool { return send(fleet[1], "next", 600).status == http.StatusOK })
	close(arrived)
	for path := range arrived {
		if path == "/stream/large" || path == "/stream/huge" {
			t.Errorf("%s reached the backend server", path)
		}
	}
}
