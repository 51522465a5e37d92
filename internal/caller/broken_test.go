package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/rawserver"
	"flamingorudder.example/internal/timeline"
)

// TestBrokenAnswers guards against broken answers of plain services reaching callers as whole ones, over real connections.
func TestBrokenAnswers(t *testing.T) {
	reset := func(wait time.Duration, size int) rawserver.Answer {
		return func(c *net.TCPConn, r *http.Request) {
			rawserver.Reset(ownHead("200", r)+"\r\n"+strings.Repeat("b", size), wait)(c, r)
		}
	}
	send := func(status, rest string) rawserver.Answer {
		return func(c *net.TCPConn, r *http.Request) { rawserver.Text(ownHead(status, r)+rest)(c, r) }
	}
	for name, test := range map[string]struct {
		answer rawserver.Answer
		// begun is set if the answer is broken only after its head, which may have been forwarded.
		begun bool
	}{
		"reset after 1ms":    {reset(time.Millisecond, 1), true},
		"reset after 20ms":   {reset(20*time.Millisecond, 90_000), true},
		"reset after 200ms":  {reset(200*time.Millisecond, 5000), true},
		"blank in a trailer": {send("200", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n"), true},
		"inside an event": {func(c *net.TCPConn, r *http.Request) {
			rawserver.ShutDown(ownHead("200", r)+"Content-Type: text/event-stream\r\n\r\ndata: a\n\ndata", 20*time.Millisecond)(c, r)
		}, true},
		"inside an event, chunks": {send("200", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n0\r\n\r\n"), true},
		"inside an event, length": {send("200", "Content-Type: text/event-stream\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("d", 100_000)), true},
		"status 000":              {send("000", "Content-Length: 4\r\n\r\nbody"), false},
		"status 099, no length":   {send("099", "\r\nbody"), false},
		"blank in a name":         {send("200", "X Odd: 1\r\nContent-Length: 4\r\n\r\nbody"), false},
		"blank, length":           {send("200", "Content-Length : 4\r\n\r\nbody"), false},
		"blank, encoding":         {send("200", "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), false},
		"control byte":            {send("200", "X-\x01Odd: 1\r\nContent-Length: 4\r\n\r\nbody"), false},
	} {
		t.Run(name, func(t *testing.T) {
			size := 1
			if test.begun {
				size = 6 << 20
			}
			url := serveOverTCP(t, test.answer)
			status, body, h, err := ask(t, http.MethodPost, url+"/bookings", size)
			switch {
			case test.begun && err == nil && (status != http.StatusServiceUnavailable || h.Get(HeaderOutcome) != string(Unknown)):
				t.Errorf("booking: status %d, %d bytes that look complete", status, len(body))
			case !test.begun && (err != nil || status != http.StatusServiceUnavailable || h.Get(HeaderOutcome) != string(Unknown) || h.Get("Retry-After") != ""):
				t.Errorf("booking: status %d, body %q, headers %v, error %v", status, body, h, err)
			}
			if test.begun {
				return
			}
			url = serveOverTCP(t, test.answer, send("200", "Content-Length: 4\r\n\r\nfine"))
			if status, body, _, err := ask(t, http.MethodGet, url+"/bookings/7", 0); err != nil || status != 200 || body != "fine" {
				t.Errorf("repeatable call: status %d, body %q, error %v", status, body, err)
			}
		})
	}
}

// TestEarlyAnswer guards against a whole answer that does not arrive as the plain service does not read the rest of the request.
func TestEarlyAnswer(t *testing.T) {
	url := serveOverTCP(t, func(c *net.TCPConn, r *http.Request) {
		rawserver.ShutDown(ownHead("200", r)+"\r\nbody", 300*time.Millisecond)(c, r)
	})
	c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	var upload errgroup.Group
	upload.Go(func() error {
		// The server closes the connection after the answer.
		_, _ = fmt.Fprintf(c, "POST /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret-bearer\r\nContent-Length: %d\r\n\r\n%s", 6<<20, strings.Repeat("u", 6<<20))
		return nil
	})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != "body" {
		t.Errorf("status %d, body %q, error %v", resp.StatusCode, body, err)
	}
	_ = resp.Body.Close()
	_ = c.Close()
	_ = upload.Wait()
}

// ownHead begins the head of an answer to a request.
func ownHead(status string, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %s X\r\n%s: %s\r\n", status, engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
}

// serveOverTCP starts a server whose plain service has backend servers with the given answers, which get attempts in turn. It returns the
// URL of the server.
func serveOverTCP(t *testing.T, answers ...rawserver.Answer) string {
	t.Helper()
	services := map[string]string{}
	for i, answer := range answers {
		addr, stop, err := rawserver.Start(answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		services[ledgers[i].String()] = addr.String()
	}
	f := &fleet{t: t, cfg: true, rows: map[string]platform.Row{}}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if services[addr] == "" {
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		}
		return (&net.Dialer{}).DialContext(ctx, network, services[addr])
	}
	eng, closeEngine := engine.NewClient()
	t.Cleanup(closeEngine)
	ids := 0
	s := New(Options{
		Config: f, Slots: f, Engine: eng, Claims: claim.NewWriter(f, func() string { return "op" }), Log: timeline.NewLog("d1", 1000), Metrics: f, Dial: dial,
		Now: time.Now, IDs: func() string { f.mu.Lock(); defer f.mu.Unlock(); ids++; return fmt.Sprint("r", ids) },
	})
	t.Cleanup(s.Close)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv.URL
}

// ask sends a request whose body has the given size and reads its answer.
func ask(t *testing.T, method, url string, size int) (status int, body string, h http.Header, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret-bearer")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header, err
}
