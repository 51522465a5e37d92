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

// listen serves each connection with f on a loopback address and counts the connections.
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

// read takes one request and returns its id.
func read(r *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Flamingorudder-Request-Id"), true
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"X-Flamingorudder-Request-Id": {id}}, Body: []byte("body")}
}

func pool(t *testing.T) *Pool {
	t.Helper()
	p, closePool := NewPool()
	t.Cleanup(closePool)
	return p
}

func text(t *testing.T, a *Answer) string {
	t.Helper()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	return string(b)
}

// TestStrayAnswer guards against a late second answer to one request reaching the caller of the next.
func TestStrayAnswer(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		for last := ""; ; {
			id, ok := read(r)
			if !ok {
				return
			}
			if last != "" {
				_, _ = io.WriteString(c, answer(last, "late"))
			}
			_, _ = io.WriteString(c, answer(id, "own "+id))
			last = id
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b", "c"} {
		a, err := p.Do(context.Background(), s, request(id), 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := text(t, a); got != "own "+id {
			t.Errorf("request %s gets %q", id, got)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections", conns.Load())
	}
}

// TestBytesAfterAnswer guards against bytes that follow a complete answer being taken for the next one.
func TestBytesAfterAnswer(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, ok := read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "own")+"garbage")
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b"} {
		a, err := p.Do(context.Background(), s, request(id), 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := text(t, a); got != "own" {
			t.Errorf("gets %q", got)
		}
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections: one with stray bytes was kept", conns.Load())
	}
}

// TestTornAnswer guards against an answer that is cut off looking complete.
func TestTornAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
			if _, ok := read(r); ok {
				_, _ = io.WriteString(c, head)
			}
		})
		a, err := pool(t).Do(context.Background(), s, request("a"), 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(a.Body); err == nil {
			t.Errorf("%s: the torn answer looks complete", name)
		}
		a.Close()
	}
}

// TestResetWithoutLength guards against an answer without a length looking complete when its connection is reset.
func TestResetWithoutLength(t *testing.T) {
	s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, ok := read(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	a, err := pool(t).Do(context.Background(), s, request("a"), 0)
	if err != nil {
		var lost *LostError
		if !errors.As(err, &lost) {
			t.Fatal(err)
		}
		return // the reset overtook the head
	}
	defer a.Close()
	if _, err := io.ReadAll(a.Body); err == nil {
		t.Error("the reset answer looks complete")
	}
}

// TestOutcomes guards against a request that was sent counting as not run, and one that was not sent as lost.
func TestOutcomes(t *testing.T) {
	s, _ := listen(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
	p := pool(t)
	_, err := p.Do(context.Background(), s, request("a"), 0)
	var lost *LostError
	if !errors.As(err, &lost) {
		t.Errorf("closed without an answer: %v", err)
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
		t.Errorf("no listener: %v", err)
	}
}

// TestDeadConnectionIsNotUsed guards against a request that may run once being written to a connection that the backend
// server has closed: its outcome would be unknown.
func TestDeadConnectionIsNotUsed(t *testing.T) {
	s, conns := listen(t, func(c net.Conn, r *bufio.Reader) {
		if id, ok := read(r); ok {
			_, _ = io.WriteString(c, answer(id, "once"))
		}
	})
	p := pool(t)
	for _, id := range []string{"a", "b"} {
		req := request(id)
		req.Once = true
		a, err := p.Do(context.Background(), s, req, 0)
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		text(t, a)
		time.Sleep(20 * time.Millisecond) //nolint:forbidigo // the close has to arrive
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections", conns.Load())
	}
}

// TestCancel guards against a backend server working on for a caller who has left. The caller leaves once the request
// has arrived: before that there is no connection whose end the backend server could see.
func TestCancel(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	s, _ := listen(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
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
	var lost *LostError
	if !errors.As(err, &lost) {
		t.Fatalf("a request that was cancelled while it ran: %v", err)
	}
	limit, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	select {
	case <-ended:
	case <-limit.Done():
		t.Fatal("the backend server still works for a caller who has left")
	}
}

// TestCancelBeforeSending guards against a request whose caller left before it was sent counting as run.
func TestCancelBeforeSending(t *testing.T) {
	s, conns := listen(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool(t).Do(ctx, s, request("a"), 0)
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("cancelled before it was sent: %v", err)
	}
	if conns.Load() != 0 {
		t.Errorf("%d connections", conns.Load())
	}
}

// TestEarlyAnswer guards against waiting for a long body to be read by a backend server that has answered already.
func TestEarlyAnswer(t *testing.T) {
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
	if a.Status != http.StatusRequestEntityTooLarge || text(t, a) != "no" {
		t.Errorf("status %d", a.Status)
	}
	if len(p.idle) != 0 {
		t.Error("a connection that still carries a body is kept")
	}
}

// TestLimit guards against more connections to a backend server than this daemon's part.
func TestLimit(t *testing.T) {
	block := make(chan struct{})
	s, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := read(r)
		<-block
		_, _ = io.WriteString(c, answer(id, ""))
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
	var crowded *CrowdedError
	if !errors.As(err, &crowded) {
		t.Errorf("beyond the limit: %v", err)
	}
	close(block)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// endless writes b until the other side closes, which it reports on ended.
func endless(c net.Conn, b string, ended chan<- int) {
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

// TestHeadWithoutEnd guards against a backend server whose answer never begins: the bytes that are read, and the time, must be
// bounded, and its connection closed at once.
func TestHeadWithoutEnd(t *testing.T) {
	for name, parts := range map[string][2]string{
		"status line":      {"", "x"},
		"no line":          {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers":          {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"interim headers":  {"HTTP/1.1 100 Continue\r\n", "X-More: y\r\n"},
		"blank lines":      {"", "\r\n"},
		"stray answers":    {"", answer("other", "x")},
		"body of a stray":  {"HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"not the protocol": {"", "\x00\xff\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			server, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := read(r); ok {
					_, _ = io.WriteString(c, parts[0])
					endless(c, parts[1], ended)
				}
			})
			p := pool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := p.Do(ctx, server, request("r1"), 0)
			var lost *LostError
			if err == nil {
				a.Close()
			}
			if !errors.As(err, &lost) || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second): //nolint:forbidigo // bounds the test
				t.Error("the connection stays open")
			}
			if n := p.open[server.Addr]; n != 0 {
				t.Errorf("%d connections are counted", n)
			}
		})
	}
}

// TestBodyWithoutEnd guards against framing of a body that never ends: sizes and extensions of chunks, and trailers.
func TestBodyWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, parts := range map[string][2]string{
		"size of a chunk":       {"", "0"},
		"extension of a chunk":  {"1;", "e"},
		"extensions of chunks":  {"", "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"line of a trailer":     {"1\r\nx\r\n0\r\nX-Long: ", "x"},
		"trailers":              {"1\r\nx\r\n0\r\n", "X-More: y\r\n"},
		"bytes without a chunk": {"", "\x00\xff\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			server, _ := listen(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := read(r); ok {
					_, _ = io.WriteString(c, head+parts[0])
					endless(c, parts[1], ended)
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
				t.Errorf("%d bytes, error %v", n, err)
			}
			a.Close()
			select {
			case <-ended:
			case <-time.After(5 * time.Second): //nolint:forbidigo // bounds the test
				t.Error("the connection stays open")
			}
		})
	}
}
