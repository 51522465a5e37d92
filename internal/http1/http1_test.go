package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"flamingorudder.example/internal/rawserver"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// start starts a server. It returns the server's URL and counts the connections.
func start(t *testing.T, answer rawserver.Answer) (url string, conns *connCounter) {
	t.Helper()
	conns = &connCounter{seen: map[string]bool{}}
	addr, stop, err := rawserver.Start(func(c *net.TCPConn, r *http.Request) {
		conns.add(c.RemoteAddr().String())
		answer(c, r)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return "http://" + addr.String(), conns
}

// connCounter counts the connections on which requests came.
type connCounter struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (c *connCounter) add(remote string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[remote] = true
}

func (c *connCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen)
}

// transport returns a Transport whose idle connections are closed at the end of the test.
func transport(t *testing.T) *Transport {
	t.Helper()
	tr := NewTransport(&http.Transport{})
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// post sends a request that is not sent again by net/http, and reads the body of its response.
func post(t *testing.T, tr http.RoundTripper, url string, size int) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(size)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestResetDuringUpload guards against a response without a length looking complete when its connection is reset while net/http writes the
// request in another goroutine.
func TestResetDuringUpload(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			url, _ := start(t, rawserver.Reset(okHead+"\r\npart", wait))
			for range 10 {
				if status, body, err := post(t, transport(t), url, 6<<20); err == nil {
					t.Errorf("status %d, body %q", status, body)
				}
			}
		})
	}
}

// TestEarlyResponses guards against complete responses that do not arrive because the request could not be written to its end.
func TestEarlyResponses(t *testing.T) {
	for name, text := range map[string]string{
		"without a length":    okHead + "\r\nbody",
		"length":              okHead + "Content-Length: 4\r\n\r\nbody",
		"chunks":              okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Fine: 1\r\n\r\n",
		"after informational": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + "\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := start(t, rawserver.ShutDown(text, 300*time.Millisecond))
			if status, body, err := post(t, transport(t), url, 6<<20); status != 200 || body != "body" || err != nil {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
}

// TestMalformedHead guards against responses whose status or names of fields are not valid, and against the use of their connections.
func TestMalformedHead(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody",
		"status 000, no body":    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"status 099":             "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
		"status +01":             "HTTP/1.1 +01 X\r\nContent-Length: 0\r\n\r\n",
		"status 101":             "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"blank before the colon": okHead + "X-Odd : 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank inside":           okHead + "X Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank, no content":      "HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n",
		"length":                 okHead + "Content-Length : 4\r\nContent-Length: 0\r\n\r\n",
		"encoding":               okHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, conns := start(t, rawserver.Text(text))
			tr := transport(t)
			for n := range 2 {
				status, body, err := post(t, tr, url, 1)
				var malformed *MalformedError
				if !errors.As(err, &malformed) {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
				if conns.count() != n+1 {
					t.Errorf("%d connections for %d requests", conns.count(), n+1)
				}
			}
		})
	}
	for name, text := range map[string]string{
		"control byte": okHead + "X-\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody",
		"tab":          okHead + "X-Odd\t: 1\r\nContent-Length: 4\r\n\r\nbody",
		"no name":      okHead + ": 1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := start(t, rawserver.Text(text))
			if status, body, err := post(t, transport(t), url, 1); err == nil {
				t.Errorf("status %d, body %q", status, body)
			}
		})
	}
}

// TestMalformedTrailer guards against bodies that look complete although what follows them is not valid.
func TestMalformedTrailer(t *testing.T) {
	for _, line := range []string{"X-Odd : 1", "X Odd: 1", "X-\x01Odd: 1"} {
		url, _ := start(t, rawserver.Text(okHead+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+line+"\r\n\r\n"))
		if status, body, err := post(t, transport(t), url, 1); err == nil {
			t.Errorf("%q: status %d, body %q", line, status, body)
		}
	}
}

// TestValidResponses checks that connections are reused after valid responses.
func TestValidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length":       okHead + "Content-Length: 4\r\n\r\nbody",
		"chunks":       okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Fine: 1\r\n\r\n",
		"no content":   "HTTP/1.1 204 No Content\r\n\r\n",
		"not modified": "HTTP/1.1 304 Not Modified\r\n\r\n",
		"folded line":  okHead + "X-Folded: a\r\n b: c\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url, conns := start(t, rawserver.Text(text))
			tr := transport(t)
			for range 3 {
				if _, _, err := post(t, tr, url, 1); err != nil {
					t.Error(err)
				}
			}
			if n := conns.count(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}
