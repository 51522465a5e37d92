package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// standins puts stand-in engines that take 100 ms to the first token and 20 ms for each further one behind the fleet.
func (f *fleet) standins() (list []*standin.Engine, stop func()) {
	var stops []func()
	for i, a := range engines {
		own := func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := f.net.dial(ctx, "tcp", addr)
			if l, ok := c.(*line); ok {
				return l.Conn, err // The engines' own connections do not fail.
			}
			return c, err
		}
		e, stop := standin.NewEngine(standin.EngineSpec{ID: fmt.Sprint("desk-", i+1), Slots: 64, Queue: 64, First: 100 * time.Millisecond, Token: 20 * time.Millisecond, Dial: own})
		list, stops = append(list, e), append(stops, stop)
		f.serve(a, e)
		order := engine.Order{Op: engine.OpLoad, Fence: 1, Group: fmt.Sprint("g", i+1), Generation: 1, Members: []netip.AddrPort{a}, Model: "m", Version: "1"}
		if err := f.engine.Order(f.t.Context(), a, order); err != nil {
			f.t.Fatal(err)
		}
	}
	_ = timer.Wait(f.t.Context(), time.Second) // Until the engines have found their groups present.
	return list, func() {
		for _, s := range stops {
			s()
		}
	}
}

// got is what a caller received.
type got struct {
	status     int
	id         string
	outcome    string
	text       string
	done       bool
	failed     bool
	gap, total time.Duration
	// serial is that of the server's certificate, if it has one.
	serial int64
}

// ask sends a request and reads its answer, whole or as a stream of events.
func (f *fleet) ask(to netip.AddrPort, path string, body io.Reader, header ...string) (g got, err error) {
	return f.askBy(f.t.Context(), "POST", to, path, body, header...)
}

func (f *fleet) askBy(ctx context.Context, method string, to netip.AddrPort, path string, body io.Reader, header ...string) (g got, err error) {
	scheme := "http://"
	if to.Port() == 443 {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+to.String()+path, body)
	if err != nil {
		return g, err
	}
	req.Header.Set("Authorization", "Bearer secret-bearer")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	resp, err := f.client.Do(req)
	if err != nil {
		return g, err
	}
	defer func() { _ = resp.Body.Close() }()
	g.status, g.id, g.outcome = resp.StatusCode, resp.Header.Get(HeaderRequest), resp.Header.Get(HeaderOutcome)
	if resp.TLS != nil {
		g.serial = resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	type choice struct {
		Delta, Message struct{ Content string }
	}
	var v struct{ Choices []choice }
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		b, err := io.ReadAll(resp.Body)
		g.text, g.total = string(b), time.Since(start)
		if json.Unmarshal(b, &v) == nil && len(v.Choices) > 0 {
			g.text, g.done = v.Choices[0].Message.Content, true
		}
		return g, err
	}
	lines, last := bufio.NewScanner(resp.Body), time.Now()
	for lines.Scan() {
		g.gap, last = max(g.gap, time.Since(last)), time.Now()
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case data == "[DONE]":
			g.done = true
		case lines.Text() == "event: error":
			g.failed = true
		case ok && json.Unmarshal([]byte(data), &v) == nil && len(v.Choices) > 0:
			g.text += v.Choices[0].Delta.Content
			v.Choices = nil
		}
	}
	g.total = time.Since(start)
	return g, lines.Err()
}

// chats sends chats at once, every second pair of them streamed, and returns the answers and what they should be.
func (f *fleet) chats(n, length int) (answers []got, want []string, wait func()) {
	answers, want = make([]got, n), make([]string, n)
	var g errgroup.Group
	for i := range n {
		c := engine.ChatRequest{Model: "desk", Messages: []engine.Message{{Role: "user", Content: fmt.Sprint("bull-", i)}}, MaxTokens: length, Stream: i%4 < 2}
		want[i] = standin.Answer(c)
		b, _ := json.Marshal(c)
		g.Go(func() error {
			var err error
			answers[i], err = f.ask(self, "/v1/chat/completions", strings.NewReader(string(b)))
			return err
		})
	}
	return answers, want, func() {
		if err := g.Wait(); err != nil {
			f.t.Error(err)
		}
	}
}

// Guards against a live request that is lost, answered late, joined from two runs or run twice when half of the open
// connections go silent under load.
func TestHalfTheConnectionsGoSilent(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		list, stop := f.standins()
		defer stop()
		answers, want, wait := f.chats(50, 100)
		_ = timer.Wait(t.Context(), time.Second)
		if n := f.net.silence(); n < 25 {
			t.Errorf("%d connections went silent, want at least 25", n)
		}
		wait()
		for i, a := range answers {
			if !a.done || strings.TrimSpace(a.text) != want[i] || a.gap > 2*time.Second || a.total > 4080*time.Millisecond {
				t.Errorf("request %d: done %v after %v with a gap of %v: %q", i, a.done, a.total, a.gap, a.text)
			}
		}
		if n := len(list[0].Record().Runs) + len(list[1].Record().Runs); n != 50 {
			t.Errorf("the engines ran %d attempts for 50 requests", n)
		}
	})
}

// Guards against two runs joined in one answer, a broken stream that looks whole, and a whole answer that is lost
// although it could be run again, when an engine dies in the middle of 20 answers.
func TestEngineDiesUnderStreams(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		list, stop := f.standins()
		defer stop()
		answers, want, wait := f.chats(20, 100)
		_ = timer.Wait(t.Context(), time.Second)
		f.lose(engines[0])
		_ = f.servers[engines[0]].Close()
		wait()
		complete, failed := 0, 0
		for i, a := range answers {
			text := strings.TrimSpace(a.text)
			switch {
			case a.done && !a.failed && text == want[i]:
				complete++
			case a.failed && !a.done && text != "" && strings.HasPrefix(want[i], text):
				failed++
			default:
				t.Errorf("request %d: done %v, failed %v: %q", i, a.done, a.failed, a.text)
			}
		}
		// Half of the requests ran on the lost engine; the streams among them had given tokens.
		if died := len(list[0].Record().Runs); complete+failed != 20 || died != 10 || failed == 0 || failed >= died {
			t.Errorf("%d complete and %d failed of 20, %d ran on the lost engine", complete, failed, died)
		}
	})
}

// trickle is a body that arrives a byte at a time.
type trickle struct{ left int }

func (b *trickle) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	_ = timer.Wait(context.Background(), 100*time.Millisecond)
	p[0] = 'u'
	return 1, nil
}

// Guards against a leaving daemon that cuts off a stream, a whole answer, an upload or a booking: it shuts its server down
// as soon as Wait returns.
func TestDrainCutsOffNothing(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		_, stop := f.standins()
		defer stop()
		for _, a := range ledgers {
			f.serve(a, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, _ := io.ReadAll(r.Body)
				after(2*time.Second, answered(201, "booked "+string(b)))(w, r)
			}))
		}
		answers, want, wait := f.chats(8, 100)
		booked := make([]got, 6)
		var g errgroup.Group
		for i := range booked {
			g.Go(func() (err error) {
				switch {
				case i < 2:
					booked[i], err = f.ask(self, "/bookings", &trickle{left: 20})
				case i < 4:
					booked[i], err = f.ask(self, "/bookings", strings.NewReader("van"))
				default:
					booked[i], err = f.ask(self, "/bookings", strings.NewReader("van"), HeaderKey, fmt.Sprint("secret-key-", i))
				}
				return err
			})
		}
		_ = timer.Wait(t.Context(), 500*time.Millisecond)
		f.server.Drain()
		if err := f.server.Wait(t.Context()); err != nil {
			t.Error(err)
		}
		f.mu.Lock()
		if f.held != 0 {
			t.Errorf("%d requests were in flight when the wait ended", f.held)
		}
		f.mu.Unlock()
		if err := f.servers[self].Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		wait()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		for i, a := range answers {
			if !a.done || strings.TrimSpace(a.text) != want[i] {
				t.Errorf("chat %d: done %v: %q", i, a.done, a.text)
			}
		}
		for i, b := range booked {
			body := []string{strings.Repeat("u", 20), "van"}[min(i/2, 1)]
			if b.status != 201 || b.text != "booked "+body {
				t.Errorf("booking %d: %d %q", i, b.status, b.text)
			}
		}
	})
}

// Guards against a booking that runs twice, or that is reported as not run although it ran, when the table is down for
// a while and loses answers, and the same keys come in at two daemons.
func TestBookingsAtTwoDaemons(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		other := netip.MustParseAddrPort("10.0.0.2:80")
		keeper := claim.NewWriter(f, func() string { f.mu.Lock(); defer f.mu.Unlock(); f.ops++; return fmt.Sprint("op", f.ops) })
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f.group.Go(func() error { return keeper.Run(ctx) })
		o := f.server.Options
		o.Claims = keeper
		second := New(o)
		defer second.Close()
		f.serve(other, second)

		random := rand.New(rand.NewPCG(7, 7))
		f.fault = func() fault { return [...]fault{fine, fine, fine, lost, unavailable}[random.IntN(5)] }
		var mu sync.Mutex
		runs, attempts := map[string]int{}, map[string]bool{}
		for _, a := range ledgers {
			f.serve(a, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				mu.Lock()
				runs[r.Header.Get(HeaderKey)]++
				request, _, _ := strings.Cut(r.Header.Get(engine.HeaderAttempt), ".")
				attempts[request] = true
				n := len(attempts)
				mu.Unlock()
				if n%7 == 0 {
					cut(w, r)
				}
				after(300*time.Millisecond, answered(201, "booked"))(w, r)
			}))
		}
		var g errgroup.Group
		counts := map[string]int{}
		for i := range 240 {
			g.Go(func() error {
				// A timer of no time at all has crashed the Go runtime here (go1.26.8, synctest under the race detector,
				// runtime.timer.maybeRunChan).
				if i >= 80 {
					_ = timer.Wait(t.Context(), time.Duration(i/80)*1500*time.Millisecond)
				}
				to := self
				if i%2 == 1 {
					to = other
				}
				a, err := f.ask(to, "/bookings", strings.NewReader("van"), HeaderKey, fmt.Sprint("secret-key-", i/2%40))
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if a.outcome == string(NotRun) && attempts[a.id] {
					t.Errorf("request %s was reported as not run: %d %s", a.id, a.status, a.text)
				}
				counts[fmt.Sprint(a.status, " ", a.outcome)]++
				return nil
			})
		}
		for _, down := range []bool{true, false} {
			_ = timer.Wait(t.Context(), time.Second)
			f.mu.Lock()
			f.down = down
			f.mu.Unlock()
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		for key, n := range runs {
			if n > 1 {
				t.Errorf("booking %s ran %d times", key, n)
			}
		}
		if len(runs) < 20 || counts["201 run"] < 20 || counts["503 not-run"] == 0 {
			t.Errorf("%d of 40 bookings ran, answers %v", len(runs), counts)
		}
		stop()
	})
}

// Guards against tokens of an earlier attempt in a caller's answer (P3): late ones on the connection of the attempt that
// was given up, and ones that an engine sends within the stream of the attempt that took its place.
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for _, stream := range []bool{true, false} {
			f.next = 0
			request := "r1"
			if !stream {
				request = "r2"
			}
			late := func(w http.ResponseWriter, _ *http.Request) {
				_ = timer.Wait(t.Context(), 2200*time.Millisecond)
				w.Header().Set(engine.HeaderAttempt, request+".1")
				for i := range 4 {
					_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":\"late%d \",\"done\":%v}\n\n", request+".1", i, i, i == 3)
				}
			}
			f.steps(engines[0], late, refuse(http.StatusNotFound, "attempt"))
			foreign := func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":2,\"text\":\"late2 \",\"done\":false}\n\n", request+".1")
			}
			f.steps(engines[1], after(500*time.Millisecond, tokens(0, 2, false, foreign)), after(600*time.Millisecond, tokens(2, 4, true, nil)))
			a, err := f.ask(self, "/v1/chat/completions", strings.NewReader(chatBody(stream)))
			if err != nil || !a.done || a.text != "w0 w1 w2 w3 " || a.total < 2500*time.Millisecond {
				t.Errorf("answer %+v, %v", a, err)
			}
			if f.engine.MisroutedCount() == 0 {
				t.Error("no foreign token was counted")
			}
			_ = timer.Wait(t.Context(), 5*time.Second)
		}
	})
}
