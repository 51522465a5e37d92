package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// plainStreamConfig has streaming routes to a service without models: for streams that must not be resumed, for those that may be, and
// with a split.
var plainStreamConfig = fmt.Sprintf(testConfig, 1, `,
 {"name":"events","host":"a.example","prefix":"/events/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":100,"service":"plain","maxAttempts":2},
 {"name":"resumed","host":"a.example","prefix":"/resumed/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":100,"service":"plain","maxAttempts":2,"streamResume":true},
 {"name":"split","host":"a.example","prefix":"/split/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":100,"trafficSplit":[{"service":"plain","weight":1}],"maxAttempts":2}`)

const (
	typeEvents   = "Content-Type: text/event-stream\r\n"
	framedChunks = "Transfer-Encoding: chunked\r\n"
)

// streamHead returns the head of a response with other header lines.
func streamHead(r *http.Request, lines string) string {
	return "HTTP/1.1 200 X\r\nX-Flamingorudder-Request-Id: " + r.Header.Get("X-Flamingorudder-Request-Id") + "\r\nX-Flamingorudder-Response-Signature: sig\r\n" + lines + "\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// nextEvents returns n events after the Last-Event-Id of a request.
func nextEvents(r *http.Request, n int) (out string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := range n {
		out += event(from + i + 1)
	}
	return out
}

// brokenPlainStream is a response that ends inside an event or before its first one.
type brokenPlainStream struct {
	head           string
	whole, partial string
	// forwarded is set if the partial event does not fit the buffer of the daemon, so that the stream cannot be resumed.
	forwarded bool
	encode    func(string) string
}

func brokenPlainStreams() map[string]brokenPlainStream {
	const partial = "id: 2\ndata: e"
	endings := func(text, ending string) string { return strings.ReplaceAll(text, "\n", ending) }
	many, large := "", ""
	for n := 1; n <= 3000; n++ {
		many += event(n)
	}
	for n := 1; n <= 40; n++ {
		large += fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20<<10))
	}
	return map[string]brokenPlainStream{
		"inside the data":                {head: typeEvents, whole: event(1), partial: partial},
		"after the id":                   {head: typeEvents, whole: event(1), partial: "id: 2\n"},
		"before the blank line":          {head: typeEvents, whole: event(1), partial: "id: 2\ndata: e2\n"},
		"inside the first event":         {head: typeEvents, partial: "id: 1\nda"},
		"before any event":               {head: typeEvents},
		"lines with CRLF":                {head: typeEvents, whole: endings(event(1), "\r\n"), partial: endings(partial, "\r\n")},
		"lines with CR":                  {head: typeEvents, whole: endings(event(1), "\r"), partial: endings(partial, "\r")},
		"content type with parameters":   {head: "Content-Type: Text/Event-Stream; charset=utf-8\r\n", whole: event(1), partial: partial},
		"no content type":                {whole: event(1), partial: partial},
		"after many events":              {head: typeEvents, whole: many, partial: "id: 3001\nda"},
		"after large events":             {head: typeEvents, whole: large, partial: "id: 41\nda"},
		"inside an event over the limit": {head: typeEvents, whole: event(1), partial: "id: 2\ndata: " + strings.Repeat("x", 3*maxEvent), forwarded: true},
		"chunks": {head: typeEvents + framedChunks, whole: event(1), partial: partial, encode: func(text string) string {
			return chunk(text) + "0\r\n\r\n"
		}},
		"length": {head: typeEvents + fmt.Sprintf("Content-Length: %d\r\n", len(event(1)+partial)), whole: event(1), partial: partial},
	}
}

// send responds to the first request of a path with the broken stream, and to later ones with two events after their Last-Event-Id.
func (b brokenPlainStream) send(c net.Conn, r *http.Request, first bool) {
	text := b.whole + b.partial
	if b.encode != nil {
		text = b.encode(text)
	}
	if first {
		_, _ = io.WriteString(c, streamHead(r, b.head)+text)
	} else {
		// The content type has to be the same in all attempts.
		contentType, _, _ := strings.Cut(b.head, "\r\n")
		_, _ = io.WriteString(c, streamHead(r, strings.TrimPrefix(contentType+"\r\n", "\r\n")+framedChunks)+chunk(nextEvents(r, 2))+"0\r\n\r\n")
	}
	_ = c.Close()
}

// resumed returns the whole stream that a caller gets when it goes on at another backend server.
func (b brokenPlainStream) resumed() string {
	n := strings.Count(b.whole, "id: ")
	return b.whole + event(n+1) + event(n+2)
}

// TestBrokenPlainStreams guards against a stream of a plain service that ends inside an event, or before its first one, reaching its caller
// as a complete answer. One that may be resumed goes on at another backend server.
func TestBrokenPlainStreams(t *testing.T) {
	t.Parallel()
	for name, test := range brokenPlainStreams() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(plainStreamConfig))
			u := startDaemon(t, store, "a")
			var arrived atomic.Int32
			for _, id := range []string{"i-1", "i-2"} {
				u.putServer(id, "plain", backendServer(t, func(c net.Conn, r *http.Request) { test.send(c, r, arrived.Add(1) == 1) }), "null")
			}
			u.waitReady()
			for _, path := range []string{"/events/", "/split/", "/resumed/"} {
				arrived.Store(0)
				// The header means nothing where a stream may not be resumed.
				headers := []string{"Last-Event-Id", "7"}
				if path == "/resumed/" {
					headers = nil
				}
				r := u.do(http.MethodPost, path, "k1", "x", headers...)
				if path == "/resumed/" && !test.forwarded {
					if r.err != nil || r.status != http.StatusOK || r.body != test.resumed() {
						t.Errorf("%s: status %d, error %v, %d bytes, want %d", path, r.status, r.err, len(r.body), len(test.resumed()))
					}
					continue
				}
				if r.err == nil && r.status == http.StatusOK {
					t.Errorf("%s: %d bytes look complete, headers %v", path, len(r.body), r.h)
				}
				if n := arrived.Load(); n != 1 {
					t.Errorf("%s: %d requests arrived, want 1", path, n)
				}
			}
		})
	}
}

// TestPlainStreamsArePassedOn guards against the events of a plain service being held back until its stream ends. The backend server sends
// each event when the caller has read the one before.
func TestPlainStreamsArePassedOn(t *testing.T) {
	t.Parallel()
	const events = 5
	for name, test := range map[string]struct {
		head   string
		size   int
		encode func(string) string
		end    string
	}{
		"without a length":     {head: typeEvents},
		"chunks":               {typeEvents + framedChunks, 0, chunk, "0\r\n\r\n"},
		"large events":         {head: typeEvents, size: 30 << 10},
		"events over the size": {head: typeEvents, size: maxEvent + 40<<10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(plainStreamConfig))
			u := startDaemon(t, store, "a")
			read := make(chan struct{}, events)
			one := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", test.size)) }
			u.putServer("i-1", "plain", backendServer(t, func(c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, streamHead(r, test.head))
				for n := 1; n <= events; n++ {
					text := one(n)
					if test.encode != nil {
						text = test.encode(text)
					}
					_, _ = io.WriteString(c, text)
					select {
					case <-read:
					case <-time.After(time.Second): //nolint:forbidigo // ends a test that has failed
						t.Errorf("event %d has not reached the caller", n)
					}
				}
				_, _ = io.WriteString(c, test.end)
				_ = c.Close()
			}), "null")
			u.waitReady()
			for _, path := range []string{"/events/", "/resumed/"} {
				req, err := http.NewRequest(http.MethodPost, "http://"+u.s.Caller.String()+path, strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "a.example"
				req.Header.Set("X-Flamingorudder-Request-Id", "id-1")
				req.Header.Set("X-Api-Key", "k1")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				for n := 1; n <= events; n++ {
					got := make([]byte, len(one(n)))
					if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != one(n) {
						t.Errorf("%s: event %d: error %v", path, n, err)
					}
					read <- struct{}{}
				}
				if n, err := resp.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF {
					t.Errorf("%s: %d bytes after the stream, error %v", path, n, err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}

// TestPlainStreamOfSilentServer guards against a stream that may be resumed staying at a plain backend server that has fallen silent, before
// its first event or after it.
func TestPlainStreamOfSilentServer(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]int{"no event": 0, "one event": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(plainStreamConfig))
			u := startDaemon(t, store, "a")
			var arrived atomic.Int32
			for _, id := range []string{"i-1", "i-2"} {
				u.putServer(id, "plain", backendServer(t, func(c net.Conn, r *http.Request) {
					if arrived.Add(1) == 1 {
						if before > 0 {
							_, _ = io.WriteString(c, streamHead(r, typeEvents)+nextEvents(r, before))
						}
						_ = timer.Wait(t.Context(), time.Minute) // silent until the test ends
						return
					}
					_, _ = io.WriteString(c, streamHead(r, typeEvents)+nextEvents(r, 2))
					_ = c.Close()
				}), "null")
			}
			u.waitReady()
			start := time.Now()
			r := u.do(http.MethodPost, "/resumed/", "k1", "x")
			want := ""
			for n := 1; n <= before+2; n++ {
				want += event(n)
			}
			if took := time.Since(start); r.err != nil || r.status != http.StatusOK || r.body != want || took > soon {
				t.Errorf("status %d, error %v, body %q after %v", r.status, r.err, r.body, took)
			}
		})
	}
}

// TestPlainStreamOfSlowCaller guards against a backend server counting as silent because its caller reads slowly.
func TestPlainStreamOfSlowCaller(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(plainStreamConfig))
	u := startDaemon(t, store, "a")
	const events = 40
	var arrived atomic.Int32
	for _, id := range []string{"i-1", "i-2"} {
		u.putServer(id, "plain", backendServer(t, func(c net.Conn, r *http.Request) {
			arrived.Add(1)
			_, _ = io.WriteString(c, streamHead(r, typeEvents))
			for n := 1; n <= events; n++ {
				_, _ = fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", maxEvent))
			}
			_ = c.Close()
		}), "null")
	}
	u.waitReady()
	c, err := net.Dial("tcp", u.s.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /resumed/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: id-1\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = timer.Wait(t.Context(), 3*probeTimeout)
	for _, id := range []string{"i-1", "i-2"} {
		if u.d.plainServers.avoided(id, time.Now()) {
			t.Errorf("%s counts as silent", id)
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || n < events*maxEvent || arrived.Load() != 1 {
		t.Errorf("%d bytes, error %v, %d requests arrived", n, err, arrived.Load())
	}
}

// TestOtherAnswersOnStreamingRoutes guards against answers that are no streams, such as errors, not reaching the caller unchanged from a
// plain service. Only failures of the backend server are tried again.
func TestOtherAnswersOnStreamingRoutes(t *testing.T) {
	t.Parallel()
	long := `{"error":"` + strings.Repeat("x", longBody) + `"}`
	for name, test := range map[string]struct {
		method   string
		status   int
		lines    string
		body     string
		attempts int32
	}{
		"rejected":        {http.MethodPost, http.StatusBadRequest, "Content-Type: application/json\r\n", `{"error":"x"}`, 1},
		"long rejection":  {http.MethodPost, http.StatusUnprocessableEntity, "Content-Type: application/json\r\n", long, 1},
		"failed":          {http.MethodPost, http.StatusInternalServerError, "Content-Type: application/json\r\n", `{"error":"x"}`, 2},
		"long failure":    {http.MethodPost, http.StatusInternalServerError, "Content-Type: application/json\r\n", long, 2},
		"no events":       {http.MethodPost, http.StatusOK, "Content-Type: application/json\r\n", `{"answer":1}`, 1},
		"long, no events": {http.MethodPost, http.StatusOK, "Content-Type: application/json\r\n", long, 1},
		"no content":      {http.MethodPost, http.StatusNoContent, "", "", 1},
		"empty":           {http.MethodPost, http.StatusOK, typeEvents, "", 1},
		"HEAD":            {http.MethodHead, http.StatusOK, typeEvents, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := fakeplatform.NewStore()
			store.Put("op", "config", []byte(plainStreamConfig))
			u := startDaemon(t, store, "a")
			var arrived atomic.Int32
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				u.putServer(id, "plain", backendServer(t, func(c net.Conn, r *http.Request) {
					arrived.Add(1)
					if test.status == http.StatusNoContent {
						_, _ = io.WriteString(c, strings.Replace(streamHead(r, test.lines), "200", "204", 1))
						return
					}
					writeAnswer(c, r, test.status, test.body, test.lines)
				}), "null")
			}
			u.waitReady()
			for _, path := range []string{"/events/", "/resumed/"} {
				arrived.Store(0)
				r := u.do(test.method, path, "k1", "x")
				if r.err != nil || r.status != test.status || r.body != test.body || r.h.Get("X-Flamingorudder-Response-Signature") != "sig" {
					t.Errorf("%s: status %d, error %v, %d bytes, headers %v", path, r.status, r.err, len(r.body), r.h)
				}
				want := test.attempts
				if path == "/events/" {
					want = 1
				}
				if n := arrived.Load(); n != want {
					t.Errorf("%s: %d requests arrived, want %d", path, n, want)
				}
			}
		})
	}
}

// TestPlainStreamsHandedOver guards against a broken stream of a plain service looking complete, or a sound one being held back, where
// another daemon serves it.
func TestPlainStreamsHandedOver(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(plainStreamConfig))
	var cut pathCut
	a, b := startDaemon(t, store, "a", cut.apply), startDaemon(t, store, "b")
	begun := make(chan struct{})
	var broken atomic.Bool
	for i := range 3 {
		a.putServer(fmt.Sprint("i-", i), "plain", backendServer(t, func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, streamHead(r, typeEvents)+event(1))
			if broken.Load() {
				_, _ = io.WriteString(c, "id: 2\nda")
			} else {
				select {
				case <-begun:
				case <-time.After(time.Second): //nolint:forbidigo // ends a test that has failed
					t.Error("the first event has not reached the caller")
				}
				_, _ = io.WriteString(c, event(2))
			}
			_ = c.Close()
		}), "null")
	}
	for _, u := range []*daemonUnderTest{a, b} {
		u.waitReady()
		eventually(t, "the daemon hears the other one", func() bool { return len(u.d.livePeers(time.Now())) == 1 })
	}
	cut.set("hang")
	eventually(t, "the daemon finds that it has no path", func() bool {
		_ = a.do(http.MethodGet, "/safe/", "k1", "", "X-Flamingorudder-Deadline-Ms", "300")
		return a.d.paths.lost("plain")
	})
	c, err := net.Dial("tcp", a.s.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /events/ HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: id-1\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len(event(1)))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Error(err)
	}
	close(begun)
	rest, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(first)+string(rest) != event(1)+event(2) {
		t.Errorf("body %q, error %v", string(first)+string(rest), err)
	}
	broken.Store(true)
	if r := a.do(http.MethodGet, "/events/", "k1", ""); r.err == nil && r.status == http.StatusOK {
		t.Errorf("a broken stream looks complete: %q", r.body)
	}
}

// TestBrokenStreamsOverHTTP10 guards against a stream that is broken off looking complete to a caller with HTTP/1.0, whose answer ends with
// its connection.
func TestBrokenStreamsOverHTTP10(t *testing.T) {
	t.Parallel()
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(plainStreamConfig))
	u := startDaemon(t, store, "a")
	var broken atomic.Bool
	server := backendServer(t, func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, streamHead(r, typeEvents)+event(1)+map[bool]string{true: "id: 2\nda", false: event(2)}[broken.Load()])
		_ = c.Close()
	})
	u.putServer("i-1", "plain", server, "null")
	u.putServer("i-2", "llm", server, fmt.Sprintf(openGroup, 1))
	u.waitReady()
	for _, path := range []string{"/events/", "/stream/"} {
		for _, sound := range []bool{true, false} {
			broken.Store(!sound)
			c, err := net.Dial("tcp", u.s.Caller.String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "GET "+path+" HTTP/1.0\r\nHost: a.example\r\nX-Api-Key: k1\r\nX-Flamingorudder-Request-Id: id-1\r\nX-Flamingorudder-Deadline-Ms: 1000\r\nX-Flamingorudder-Model: m\r\nX-Flamingorudder-Token-Usage: 100,20\r\n\r\n")
			text, err := io.ReadAll(c)
			_ = c.Close()
			if whole := strings.HasSuffix(string(text), event(1)+event(2)); sound && (err != nil || !whole) || !sound && err == nil && strings.Contains(string(text), " 200 ") {
				t.Errorf("%s, sound %v: %q, error %v", path, sound, text, err)
			}
		}
	}
}
