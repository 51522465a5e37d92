package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
)

const guardConfig = `{"version":1,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":%d,"service":"plain","maxAttempts":1}],
 "services":[{"name":"plain","maxConnections":50}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}`

// TestLargestRequestIsServed guards against default limits that a single client inside the limits of the configuration meets: an idle
// daemon with little memory serves the largest head with the largest body.
func TestLargestRequestIsServed(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(guardConfig, 8000)))
	u := startDaemon(t, store, "a", func(d *Daemon) {
		s := *d.settings()
		s.MemoryMB = 184
		d.applySettings(s)
	})
	u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		writeAnswer(c, r, 200, fmt.Sprint(len(b)))
	}), "null")
	u.waitReady()
	const others = 300 // bytes of the head beside the filler, about
	body, filler := strings.Repeat("x", 4<<20), strings.Repeat("y", 16<<10-others)
	for _, path := range []string{"/unsafe/1", "/unsafe/2"} {
		if r := u.do(http.MethodPost, path, "k1", body, "X-Filler", filler); r.status != http.StatusOK || r.body != "4194304" {
			t.Errorf("reply %+v", r)
		}
	}
	if r := u.do(http.MethodPost, "/unsafe/3", "k1", "x", "X-Filler", filler+strings.Repeat("y", 8<<10)); r.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head of 24 KiB: %+v, want 431", r)
	}
	eventually(t, "all memory is given back", func() bool { return u.d.memory.Used() == 0 })
}

// TestCallerThatDoesNotRead guards against a caller that does not read a large answer and so holds its connection, its backend server and
// memory for ever.
func TestCallerThatDoesNotRead(t *testing.T) {
	store := fakeplatform.NewStore()
	// The caller is given up at the timeout of the route. The answer has to be held before, also on a busy machine.
	store.Put("op", "config", []byte(fmt.Sprintf(guardConfig, 3000)))
	u := startDaemon(t, store, "a")
	u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) { writeAnswer(c, r, 200, strings.Repeat("x", 32<<20)) }), "null")
	u.waitReady()
	c, err := net.Dial("tcp4", u.s.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: r\r\nContent-Length: 1\r\n\r\nx")
	eventually(t, "the answer is held", func() bool { return u.d.memory.Used() >= maxReadAhead })
	eventually(t, "the caller is given up", func() bool { return u.d.inFlight.Load() == 0 && u.d.memory.Used() == 0 })
}

// TestStalledBodyEndsWithItsTime guards against a body that never ends and so keeps its memory after the time of its request is up.
func TestStalledBodyEndsWithItsTime(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(guardConfig, 500)))
	u := startDaemon(t, store, "a")
	u.waitReady()
	for _, head := range []string{"Content-Length: 900\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"} {
		c, err := net.Dial("tcp4", u.s.Caller.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"+head)
		answer, _ := io.ReadAll(c)
		if !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
			t.Errorf("answer %q, want 408", answer)
		}
		eventually(t, "the memory is given back", func() bool { return u.d.memory.Used() == 0 })
	}
}
