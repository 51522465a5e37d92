package caller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// Guards against a change of what callers see of a chat, whole and streamed.
func TestChat(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 4, true, nil))
		f.steps(engines[1], tokens(0, 4, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.send("POST", "/v1/chat/completions", chatBody(true), HeaderWork, "talk", HeaderDeadline, "2s")
		f.send("GET", "/v1/models", "")
		f.golden("chat")
	})
}

// Guards against an error without its type, status, outcome or request id, on any path.
func TestErrors(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.send("GET", "/v1/models", "", "Authorization", "")
		f.send("GET", "/v1/models", "", "Authorization", "Bearer other")
		f.send("POST", "/v1/chat/completions", "{")
		f.send("POST", "/v1/chat/completions", `{"model":"none","messages":[{}]}`)
		f.send("POST", "/v1/chat/completions", `{"model":"desk","messages":[]}`)
		f.send("POST", "/v1/chat/completions", `{"model":"other","messages":[{}]}`)
		f.send("POST", "/v1/chat/completions", chatBody(false), HeaderWork, "hire")
		f.send("POST", "/v1/chat/completions", chatBody(false), HeaderDeadline, "soon")
		f.send("POST", "/v1/chat/completions", chatBody(false), HeaderDeadline, "1999-01-01T00:00:00Z")
		f.send("POST", "/v1/chat/completions", strings.Repeat(" ", maxBody+1))
		f.send("GET", "/v1/chat/completions", "")
		f.send("POST", "/v1/addresses", "")
		f.send("DELETE", "/bookings", "")
		f.send("GET", "/bookings/..", "")
		f.send("GET", "/nowhere", "")
		f.send("GET", "/v1/addresses", "")
		f.send("GET", "/healthz", "")
		f.send("GET", "/readyz", "")
		f.cfg = false
		f.send("GET", "/readyz", "")
		f.send("GET", "/v1/models", "")
		f.golden("errors")
	})
}

// Guards against a refused attempt that is not retried, or that is retried without end.
func TestRetry(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], refuse(http.StatusServiceUnavailable, "busy"))
		f.steps(engines[1], tokens(0, 4, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(true))
		for range 20 {
			f.steps(engines[0], refuse(http.StatusConflict, "generation"))
			f.steps(engines[1], refuse(http.StatusConflict, "generation"))
		}
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.golden("retry")
	})
}

// Guards against a silent connection that is found late, loses the answer or hands the caller a token twice.
func TestSilentStreamIsResumed(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 2, false, silent), tokens(2, 4, true, nil))
		start := time.Now()
		f.send("POST", "/v1/chat/completions", chatBody(true))
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("answer complete after %v, want at most 2s", d)
		}
		f.steps(engines[1], silent, refuse(http.StatusNotFound, "unknown attempt"))
		f.steps(engines[0], tokens(0, 4, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.golden("resume")
	})
}

// Guards against a token of another attempt, or one that is missing, in a caller's answer (P3).
func TestForeignChunk(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		chunk := func(text string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "data: "+text+"\n\n")
			}
		}
		f.steps(engines[0],
			tokens(0, 1, false, chunk(`{"id":"r9.1","index":1,"text":"foreign"}`)),
			tokens(1, 2, false, chunk(`{"id":"r1.1","index":3,"text":"after a gap"}`)),
			tokens(2, 4, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.golden("foreign")
	})
}

// Guards against two answers joined into one, and against a broken stream that looks complete: after tokens were given,
// an engine that is lost ends the stream with an error event, while an answer that is held back is run again.
func TestEngineLost(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		lose := func(w http.ResponseWriter, r *http.Request) { f.lose(engines[0]); cut(w, r) }
		f.steps(engines[0], tokens(0, 2, false, lose))
		f.send("POST", "/v1/chat/completions", chatBody(true))
		f.next = 1
		f.steps(engines[1], tokens(0, 3, false, func(w http.ResponseWriter, r *http.Request) { f.lose(engines[1]); cut(w, r) }))
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.golden("lost")
	})
}

// Guards against an engine that goes on for a caller who has left.
func TestCallerHangsUp(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 2, false, silent))
		c, err := f.net.dial(t.Context(), "tcp", self.String())
		if err != nil {
			t.Fatal(err)
		}
		body := chatBody(true)
		_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer secret-bearer\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		in := bufio.NewReader(c)
		for line := ""; !strings.Contains(line, "w1"); {
			if line, err = in.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		_ = c.Close()
		synctest.Wait()
		if d := time.Since(start); d > 0 || f.held != 0 {
			t.Errorf("after %v %d slots are held", d, f.held)
		}
		f.golden("hangup")
	})
}

// Guards against callers who hold a slot, or a goroutine, by sending or reading slowly.
func TestSlowCallers(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		c, _ := f.net.dial(t.Context(), "tcp", self.String())
		_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer secret-bearer\r\nContent-Length: 100\r\n\r\n{")
		start := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || time.Since(start) != stall {
			t.Fatalf("slow body: %v, %v after %v", resp, err, time.Since(start))
		}
		_ = resp.Body.Close()
		_ = c.Close()

		f.steps(engines[0], tokens(0, 1000, true, nil))
		body := chatBody(true)
		c, _ = f.net.dial(t.Context(), "tcp", self.String())
		_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer secret-bearer\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err := timer.Wait(t.Context(), stall+time.Second); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		held := f.held
		f.mu.Unlock()
		if calls := f.backends[engines[0]].seen(); held != 0 || len(calls) != 2 || !strings.Contains(calls[1], "/v1/cancel") {
			t.Errorf("stalled reader: %d slots held, engine saw %q", held, calls)
		}
		_ = c.Close()
	})
}

// Guards against an upload that stalls with a slot, and against a read deadline left on the connection of one that did
// not.
func TestUpload(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		head := "POST /bookings HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer secret-bearer\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nvan\r\n"
		f.steps(ledgers[0], answered(200, "first"))
		f.steps(ledgers[1], answered(200, "second"))
		c, _ := f.net.dial(t.Context(), "tcp", self.String())
		in := bufio.NewReader(c)
		for i, want := range []string{"200 run first", "200 run second", "408 unknown"} {
			_, _ = io.WriteString(c, head)
			if i < 2 {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			start := time.Now()
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(HeaderOutcome), " ", string(b)); !strings.HasPrefix(got, want) || time.Since(start) > stall {
				t.Errorf("upload %d: %s after %v", i, got, time.Since(start))
			}
			_ = timer.Wait(t.Context(), 2*stall) // The connection is idle for longer than a caller may stall.
		}
		_ = c.Close()
	})
}

// Guards against a booking that is sent twice, by this server or by net/http, when its connection breaks after the call
// was read; against one that is reported as not run then; and against one that is not sent again when it proved not
// run. The empty body and the key are what makes net/http send a POST again.
func TestBookingIsSentOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(ledgers[0], answered(200, "first"), cut, cut)
		f.steps(ledgers[1], answered(200, "second"), cut)
		for range 2 {
			f.send("POST", "/bookings", "")
		}
		// Connections to both are idle now, if any are kept.
		for _, key := range []string{"secret-key", "secret-key-2"} {
			f.send("POST", "/bookings", "", HeaderKey, key)
		}
		f.send("POST", "/bookings", "")
		f.lose(ledgers[0])
		f.next = 0
		f.steps(ledgers[1], answered(200, "third"))
		f.send("POST", "/bookings", "x")
		for i, a := range ledgers {
			attempts := map[string]bool{}
			for _, c := range f.backends[a].seen() {
				if id := strings.Fields(c)[2]; attempts[id] {
					t.Errorf("ledger %d was sent attempt %s twice", i, id)
				} else {
					attempts[id] = true
				}
			}
		}
		f.golden("booking-once")
	})
}

// Guards against a claimed booking that runs again, and against a repeat that is not given the recorded answer.
func TestBookingReplay(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(ledgers[0], answered(201, "booked"))
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key")
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key")
		f.send("POST", "/bookings", "car", HeaderKey, "secret-key")
		f.steps(ledgers[1], cut)
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key-2")
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key-2")
		if err := timer.Wait(t.Context(), time.Minute); err != nil {
			t.Fatal(err)
		}
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key-2")
		f.down = true
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key-3")
		f.down = false
		f.send("POST", "/bookings", "van", HeaderKey, strings.Repeat("k", maxKey+1))
		f.golden("booking-replay")
	})
}

// Guards against a claimed booking that is cut off when its caller leaves, so that its outcome is never known.
func TestClaimedBookingOutlivesCaller(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(ledgers[0], func(w http.ResponseWriter, r *http.Request) {
			if timer.Wait(r.Context(), time.Second) == nil {
				answered(201, "booked")(w, r)
			}
		})
		c, err := f.net.dial(t.Context(), "tcp", self.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /bookings HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer secret-bearer\r\nIdempotency-Key: secret-key\r\nContent-Length: 3\r\n\r\nvan")
		synctest.Wait()
		_ = c.Close()
		_ = timer.Wait(t.Context(), 2*time.Second)
		f.send("POST", "/bookings", "van", HeaderKey, "secret-key")
		f.golden("booking-caller-left")
	})
}

// Guards against an answer of another attempt that reaches a caller (P3), and against a repeatable call that is lost
// with a silent connection.
func TestPlainFaults(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(ledgers[0], func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderAttempt, "r0.1")
			_, _ = io.WriteString(w, "another caller's booking")
		})
		f.send("POST", "/bookings", "van")
		f.steps(ledgers[1], silent)
		f.steps(ledgers[0], answered(200, "found"))
		f.send("GET", "/bookings/7?full=1", "")
		f.steps(ledgers[1], silent)
		f.send("POST", "/bookings", "van")
		f.steps(ledgers[0], func(w http.ResponseWriter, r *http.Request) {
			answered(200, "half of")(w, r)
			_ = http.NewResponseController(w).Flush()
			cut(w, r)
		})
		f.send("GET", "/bookings/8", "")
		f.golden("plain-faults")
	})
}

// Guards against headers of one connection that reach the other side, and against lost end-to-end headers and trailers.
func TestHeaders(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		var got http.Header
		var trailer http.Header
		f.steps(ledgers[0], func(w http.ResponseWriter, r *http.Request) {
			got, trailer = r.Header, r.Trailer
			h := w.Header()
			h.Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
			h.Set("Connection", "X-Hop")
			h.Set("X-Hop", "1")
			h.Set("Keep-Alive", "timeout=5")
			h.Set("Proxy-Authenticate", "Basic")
			h.Set("ETag", "7")
			h.Set(HeaderOutcome, "not-run")
			h.Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "streamed")
			h.Set("X-Sum", "9")
		})
		req, _ := http.NewRequestWithContext(t.Context(), "GET", "http://"+self.String()+"/bookings/7", io.NopCloser(strings.NewReader("van")))
		req.Header = http.Header{
			"Authorization": {"Bearer secret-bearer"}, "Connection": {"X-Private, close"}, "X-Private": {"1"}, "Te": {"trailers"},
			"Proxy-Authorization": {"Basic"}, "Upgrade": {"h2c"}, "X-Shop": {"north"}, "Accept": {"text/plain"},
		}
		req.Trailer = http.Header{"X-Check": {"5"}}
		resp, err := f.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for _, name := range []string{"Authorization", "X-Private", "Te", "Proxy-Authorization", "Upgrade", "Keep-Alive"} {
			if got.Get(name) != "" {
				t.Errorf("backend server was sent %s: %s", name, got.Get(name))
			}
		}
		if got.Get("X-Shop") != "north" || got.Get("Accept") != "text/plain" || trailer.Get("X-Check") != "5" {
			t.Errorf("backend server was sent %v with trailer %v", got, trailer)
		}
		for _, name := range []string{"X-Hop", "Keep-Alive", "Proxy-Authenticate", engine.HeaderAttempt} {
			if resp.Header.Get(name) != "" {
				t.Errorf("caller was sent %s: %s", name, resp.Header.Get(name))
			}
		}
		if string(b) != "streamed" || resp.Header.Get("ETag") != "7" || resp.Trailer.Get("X-Sum") != "9" || resp.Header.Get(HeaderOutcome) != "run" {
			t.Errorf("caller was sent %q, %v with trailer %v", b, resp.Header, resp.Trailer)
		}
	})
}

// Guards against a leaving daemon that is still named, refuses requests before its time or leaves one behind.
func TestDrain(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 100, true, nil))
		start := time.Now()
		var inFlight string
		f.group.Go(func() error {
			a, err := f.ask(self, "/v1/chat/completions", strings.NewReader(chatBody(false)))
			inFlight = fmt.Sprint(a.status, a.text)
			return err
		})
		synctest.Wait()
		f.server.Drain()
		ready, _ := f.client.Get("http://" + self.String() + "/readyz")
		_ = ready.Body.Close()
		list, _ := f.client.Get("http://" + self.String() + "/v1/addresses")
		b, _ := io.ReadAll(list.Body)
		_ = list.Body.Close()
		if ready.StatusCode != 503 || strings.Contains(string(b), self.String()) || !list.Close {
			t.Errorf("ready %d, addresses %s, close %v", ready.StatusCode, b, list.Close)
		}
		if err := f.server.Wait(t.Context()); err != nil || time.Since(start) != 2*time.Second {
			t.Errorf("waited %v, %v; want 2s", time.Since(start), err)
		}
		synctest.Wait()
		if !strings.HasPrefix(inFlight, "200") || !strings.Contains(inFlight, "w99") {
			t.Errorf("request in flight got %q", inFlight)
		}
	})
}
