package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
)

// TestLargeRequestsShareMemory guards against a daemon whose requests no longer count at a group once they have begun to answer, so that
// requests of another daemon exceed its memory, and against requests that wait although no group can hold them.
func TestLargeRequestsShareMemory(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(strings.ReplaceAll(fmt.Sprintf(testConfig, 1, ""), `"slots":8,`, `"slots":8,"kvTokens":1000,"usual":{"answer":10},`)))
	fleet := []*daemonUnderTest{startDaemon(t, store, "a"), startDaemon(t, store, "b")}
	end, sizes := make(chan struct{}), make(chan string, 100)
	fleet[0].putServer("i-1", "llm", backendServer(t, func(c net.Conn, r *http.Request) {
		sizes <- r.Header.Get("X-Flamingorudder-Token-Usage")
		if r.URL.Path == "/stream/held" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: id-1\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n")
			for n := 1; !isClosed(end); n++ { // the group goes on, so that it is not taken for silent
				_, _ = fmt.Fprint(c, event(n))
				time.Sleep(20 * time.Millisecond) //nolint:forbidigo // the pace of the stand-in
			}
			_ = c.Close()
			return
		}
		writeAnswer(c, r, 200, event(1))
	}), fmt.Sprintf(openGroup, 1))
	for _, u := range fleet {
		u.waitReady()
		eventually(t, "the daemon hears the other", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
	}
	send := func(u *daemonUnderTest, path string, prompt, status int, retry bool) {
		r := u.do(http.MethodPost, "/stream/"+path, "k1", "x", "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", fmt.Sprintf("%d,900", prompt))
		if r.status != status || (r.h.Get("Retry-After") != "") != retry {
			t.Errorf("%s request of %d tokens: %+v", path, prompt, r)
		}
	}
	send(fleet[0], "too-large", 1200, http.StatusServiceUnavailable, false)
	for range 10 { // the usual size becomes small, so that a large request which counts as a usual one is noticed
		send(fleet[0], "small", 20, http.StatusOK, false)
	}
	held := make(chan struct{})
	go func() {
		defer close(held)
		send(fleet[0], "held", 600, http.StatusOK, false)
	}()
	eventually(t, "the first event has arrived", func() bool {
		p := fleet[0].d.dispatch
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, loads := range p.localLoad {
			for _, l := range loads {
				return l.QueuedTokens == 0 && l.HeldTokens == 620
			}
		}
		return false
	})
	send(fleet[1], "second", 601, http.StatusServiceUnavailable, true)
	send(fleet[1], "small", 100, http.StatusOK, false)
	close(end)
	<-held
	close(sizes)
	for size := range sizes {
		if size == "1200,900" || size == "601,900" {
			t.Errorf("a request of %s tokens reached the backend server", size)
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
