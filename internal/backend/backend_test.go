package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flamingorudder.example/internal/roster"
)

// listen accepts connections on a loopback address, calls f for each and counts them.
func listen(t *testing.T, f func(c net.Conn, r *bufio.Reader)) (*roster.Server, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var n atomic.Int32
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return &roster.Server{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())}, &n
}

// readRequest reads one request and returns its ID.
func readRequest(r *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Flamingorudder-Request-Id"), true
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"X-Flamingorudder-Request-Id": {id}}, Body: []byte("body")}
}

func pool(t *testing.T) *Pool {
	t.Helper()
	p, closePool := NewPool(Dialer().DialContext)
	t.Cleanup(closePool)
	return p
}

func readBody(t *testing.T, a *Response) string {
	t.Helper()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	return string(b)
}

// TestStrayResponse guards against a late second response to one request being returned for the next request on the same
// connection.
func TestStrayResponse(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		for last := ""; ; {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			if last != "" {
				_, _ = io.WriteString(c, response(last, "late"))
			}
			_, _ = io.WriteString(c, response(id, "own "+id))
			last = id
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b", "c"} {
		a, err := p.Do(context.Background(), s, request(id), 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := readBody(t, a); got != "own "+id {
			t.Errorf("request %s got %q", id, got)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections opened", conns.Load())
	}
}

// TestRepeatedRejection guards against taking a rejection that a backend server writes once more for the answer to a later
// request on the connection: the server is running that one.
func TestRepeatedRejection(t *testing.T) {
	refusal := func(id string) string {
		if id != "" {
			id = "X-Flamingorudder-Request-Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 X\r\n" + id + "X-Flamingorudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, test := range []struct {
		name, second string
		repeatsID    bool
	}{
		{"another request", "b", true},
		{"another request, without an id", "b", false},
		{"the same request", "a", true},
		{"a request without an id", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var ran atomic.Int32
			s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				first := ""
				for n := 0; ; n++ {
					id, ok := readRequest(r)
					if !ok {
						return
					}
					if n == 0 && ran.Load() == 0 {
						first = id
						ran.Add(1) // before the client may send the second request on another connection
						_, _ = io.WriteString(c, refusal(id))
						continue
					}
					if n > 0 && test.repeatsID {
						_, _ = io.WriteString(c, refusal(first))
					} else if n > 0 {
						_, _ = io.WriteString(c, refusal(""))
					}
					ran.Add(1)
					_, _ = io.WriteString(c, response(id, "ran"))
				}
			})
			p := pool(t)
			a, err := p.Do(context.Background(), s, request("a"), 0)
			if err != nil || !a.NotExecuted {
				t.Fatalf("first request: %+v, %v", a, err)
			}
			readBody(t, a)
			a, err = p.Do(context.Background(), s, request(test.second), 0)
			var noResponse *NoResponseError
			if err != nil {
				if !errors.As(err, &noResponse) {
					t.Errorf("second request: %v", err)
				}
				return
			}
			defer a.Close()
			if a.NotExecuted {
				t.Error("a request that ran counts as not run")
			}
		})
	}
}

// TestBytesAfterResponse guards against bytes that follow a complete response being parsed as the next one.
func TestBytesAfterResponse(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, response(id, "own")+"garbage")
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b"} {
		a, err := p.Do(context.Background(), s, request(id), 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := readBody(t, a); got != "own" {
			t.Errorf("got %q", got)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections opened: one with unread bytes was reused", conns.Load())
	}
}

// TestTruncatedResponse guards against a truncated response looking complete.
func TestTruncatedResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
			if _, ok := readRequest(r); ok {
				_, _ = io.WriteString(c, head)
			}
		})
		a, err := pool(t).Do(context.Background(), s, request("a"), 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(a.Body); err == nil {
			t.Errorf("%s: the truncated response looks complete", name)
		}
		a.Close()
	}
}

// TestTruncatedAnywhere guards against a response looking complete that was cut off at any byte, in its head above all, whose
// body would then seem empty.
func TestTruncatedAnywhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: a\r\nX-Flamingorudder-Response-Signature: s\r\n"
	for name, full := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\ntwelve bytes",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		// Only the head: where the end of the body is that of the connection, a shorter body cannot be told.
		"neither":      head + "Content-Type: text/plain\r\n\r\n",
		"early hints":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"bare newline": "HTTP/1.1 200 OK\nX-Flamingorudder-Request-Id: a\nContent-Length: 2\n\nok",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int32
			s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, full[:cut.Load()])
				}
			})
			p := pool(t)
			for n := range len(full) {
				cut.Store(int32(n))
				a, err := p.Do(context.Background(), s, request("a"), 0)
				if err != nil {
					var noResponse *NoResponseError
					if !errors.As(err, &noResponse) {
						t.Fatalf("cut after %d bytes: %v", n, err)
					}
					continue
				}
				if b, err := io.ReadAll(a.Body); err == nil {
					t.Errorf("cut after %d of %d bytes: status %d with the whole body %q", n, len(full), a.Status, b)
				}
				a.Close()
			}
		})
	}
}

// TestResetWithoutLength guards against a response without a length looking complete when its connection is reset.
func TestResetWithoutLength(t *testing.T) {
	s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	a, err := pool(t).Do(context.Background(), s, request("a"), 0)
	if err != nil {
		var lost *NoResponseError
		if !errors.As(err, &lost) {
			t.Fatal(err)
		}
		return // the reset arrived before the headers were read
	}
	defer a.Close()
	if _, err := io.ReadAll(a.Body); err == nil {
		t.Error("the response looks complete after a reset")
	}
}

// TestOutcomes checks that a request that was sent is not reported as NotSentError, and one that was not sent not as
// NoResponseError.
func TestOutcomes(t *testing.T) {
	s, _ := listen(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	p := pool(t)
	_, err := p.Do(context.Background(), s, request("a"), 0)
	var lost *NoResponseError
	if !errors.As(err, &lost) {
		t.Errorf("connection closed without a response: got %v", err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	_, err = p.Do(context.Background(), &roster.Server{ID: "gone", Addr: free}, request("a"), 0)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("no listener: got %v", err)
	}
}

// TestDeadConnectionIsNotUsed guards against a request that must not run twice being written to a connection that the
// backend server has closed, which would leave its outcome unknown.
func TestDeadConnectionIsNotUsed(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		if id, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, response(id, "once"))
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b"} {
		req := request(id)
		req.AtMostOnce = true
		a, err := p.Do(context.Background(), s, req, 0)
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		readBody(t, a)
		time.Sleep(20 * time.Millisecond) //nolint:forbidigo // waits until the close has arrived
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections opened", conns.Load())
	}
}

// TestCancel checks that cancelling a request closes its connection, so that the backend server stops working on it. The
// request is cancelled after it has arrived: before that there may be no connection to close.
func TestCancel(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	s, _ := listen(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	p := pool(t)
	go func() {
		<-arrived
		cancel()
	}()
	_, err := p.Do(ctx, s, request("a"), 0)
	var lost *NoResponseError
	if !errors.As(err, &lost) {
		t.Fatalf("request cancelled while it ran: got %v", err)
	}
	limit, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	select {
	case <-ended:
	case <-limit.Done():
		t.Fatal("the backend server does not see the cancellation")
	}
}

// TestCancelBeforeSending checks that a request that is cancelled before it is sent counts as not run.
func TestCancelBeforeSending(t *testing.T) {
	s, conns := listen(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool(t).Do(ctx, s, request("a"), 0)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("request cancelled before it was sent: got %v", err)
	}
	if conns.Load() != 0 {
		t.Errorf("%d connections opened", conns.Load())
	}
}

// TestEarlyResponse guards against waiting until a long body is read by a backend server that has already responded.
func TestEarlyResponse(t *testing.T) {
	s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, r)
	})
	req := request("a")
	req.Body = []byte(strings.Repeat("x", 8<<20))
	p := pool(t)
	a, err := p.Do(context.Background(), s, req, 0)
	if err != nil {
		t.Fatal(err)
	}
	if a.Status != http.StatusRequestEntityTooLarge || readBody(t, a) != "no" {
		t.Errorf("status %d", a.Status)
	}
	if len(p.idle) != 0 {
		t.Error("a connection on which a body is still being written is in the pool")
	}
}

// TestLimit checks that no more connections to a backend server are opened than the limit.
func TestLimit(t *testing.T) {
	block := make(chan struct{})
	s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		<-block
		_, _ = io.WriteString(c, response(id, ""))
	})
	p := pool(t)
	done := make(chan error)
	go func() {
		a, err := p.Do(context.Background(), s, request("a"), 1)
		if err == nil {
			a.Close()
		}
		done <- err
	}()
	for {
		p.mu.Lock()
		n := p.open[s.Addr]
		p.mu.Unlock()
		if n == 1 {
			break
		}
	}
	_, err := p.Do(context.Background(), s, request("b"), 1)
	var crowded *ConnectionLimitError
	if !errors.As(err, &crowded) {
		t.Errorf("request over the limit: got %v", err)
	}
	close(block)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// writeUntilClosed writes b again and again until the peer closes the connection, and then sends the number of bytes
// written to ended.
func writeUntilClosed(c net.Conn, b string, ended chan<- int) {
	text := []byte(strings.Repeat(b, 1+4096/len(b)))
	for n := 0; ; {
		m, err := c.Write(text)
		n += m
		if err != nil {
			ended <- n
			return
		}
	}
}

// TestEndlessHeaders guards against a backend server that sends headers without end: the bytes read and the time must be
// bounded, and the connection must be closed at once.
func TestEndlessHeaders(t *testing.T) {
	for name, parts := range map[string][2]string{
		"status line":             {"", "x"},
		"header line":             {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"informational headers":   {"HTTP/1.1 100 Continue\r\n", "X-More: y\r\n"},
		"blank lines":             {"", "\r\n"},
		"stray responses":         {"", response("other", "x")},
		"stray response body":     {"HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"not HTTP":                {"", "\x00\xff\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			server, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, parts[0])
					writeUntilClosed(c, parts[1], ended)
				}
			})
			p := pool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := p.Do(ctx, server, request("r1"), 0)
			var lost *NoResponseError
			if err == nil {
				a.Close()
			}
			if !errors.As(err, &lost) || ctx.Err() != nil {
				t.Errorf("got error %v", err)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second): //nolint:forbidigo // limits the duration of the test
				t.Error("the connection is still open")
			}
			if n := p.open[server.Addr]; n != 0 {
				t.Errorf("%d connections are counted as open", n)
			}
		})
	}
}

// TestEndlessBodyFraming guards against chunked framing without end: chunk sizes, chunk extensions and trailers.
func TestEndlessBodyFraming(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, parts := range map[string][2]string{
		"chunk size":            {"", "0"},
		"chunk extension":       {"1;", "e"},
		"chunk extensions":      {"", "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"trailer line":          {"1\r\nx\r\n0\r\nX-Long: ", "x"},
		"trailers":              {"1\r\nx\r\n0\r\n", "X-More: y\r\n"},
		"bytes without a chunk": {"", "\x00\xff\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			server, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, head+parts[0])
					writeUntilClosed(c, parts[1], ended)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := pool(t).Do(ctx, server, request("r1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, a.Body)
			if err == nil || n > 64<<10 || ctx.Err() != nil {
				t.Errorf("read %d bytes, got error %v", n, err)
			}
			a.Close()
			select {
			case <-ended:
			case <-time.After(5 * time.Second): //nolint:forbidigo // limits the duration of the test
				t.Error("the connection is still open")
			}
		})
	}
}
