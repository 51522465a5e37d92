package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/memnet"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timer"
)

// world is stand-ins, their ports and real HTTP clients on a network in memory, in one synctest bubble.
type world struct {
	t      *testing.T
	ctx    context.Context
	net    memnet.Network
	g      errgroup.Group
	stops  []func()
	tr     *http.Transport
	client *engine.Client
}

// run runs a test in a bubble with a network of its own.
func run(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, ctx: t.Context()}
		w.tr = &http.Transport{DialContext: w.net.Dial, DisableCompression: true}
		w.client = engine.NewClientWithTransport(w.tr)
		f(t, w)
		w.tr.CloseIdleConnections()
		for _, stop := range w.stops {
			stop()
		}
		_ = w.g.Wait()
	})
}

func (w *world) serve(h http.Handler, c *Control) netip.AddrPort {
	a := w.net.NewAddr()
	p, err := NewPort(func() (net.Listener, error) { return w.net.Listen(a) })
	if err != nil {
		w.t.Fatal(err)
	}
	c.Attach(p)
	s := &http.Server{Handler: h}
	w.g.Go(func() error { return s.Serve(p) })
	w.stops = append(w.stops, func() { _ = s.Close() })
	return a
}

func (w *world) engine(s EngineSpec) (*Engine, netip.AddrPort) {
	s.Dial = w.net.Dial
	e, stop := NewEngine(s)
	a := w.serve(e, e.Control())
	w.stops = append(w.stops, stop)
	return e, a
}

// ready returns an engine that serves group g, generation 1, alone: 1 slot, 100 ms to the first token and 10 ms between
// tokens unless the spec says otherwise.
func (w *world) ready(s EngineSpec) (*Engine, netip.AddrPort) {
	if s.Slots == 0 {
		s.Slots = 1
	}
	s.First, s.Token = 100*time.Millisecond, 10*time.Millisecond
	e, a := w.engine(s)
	w.order(a, engine.Order{Op: engine.OpLoad, Group: "g", Generation: 1})
	synctest.Wait()
	return e, a
}

func (w *world) order(a netip.AddrPort, o engine.Order) {
	w.t.Helper()
	if err := w.client.Order(w.ctx, a, o); err != nil {
		w.t.Fatal(err)
	}
}

func attempt(id string, priority, tokens int) engine.Attempt {
	return engine.Attempt{ID: id, Group: "g", Generation: 1, Priority: priority, Chat: engine.ChatRequest{MaxTokens: tokens}}
}

func (w *world) send(a netip.AddrPort, t engine.Attempt) *engine.Stream {
	w.t.Helper()
	s, err := w.client.Send(w.ctx, a, t)
	if err != nil {
		w.t.Fatalf("attempt %s: %v", t.ID, err)
	}
	return s
}

// drain reads a stream to its end and returns the number of tokens.
func drain(s *engine.Stream) (int, error) {
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
}

func (w *world) sleep(d time.Duration) { _ = timer.Wait(w.ctx, d) }

func (w *world) patch(c *Control, text string) {
	w.t.Helper()
	if err := c.Patch([]byte(text)); err != nil {
		w.t.Fatal(err)
	}
}

func refusal(err error) string {
	var r *engine.RefusedError
	if errors.As(err, &r) {
		return fmt.Sprintf("%d %s", r.Status, r.Reason)
	}
	return fmt.Sprint(err)
}

// Guards against a batch of overnight work that delays a live caller, and against a paused request that starts afresh or
// loses tokens.
func TestUrgentPausesLeastUrgent(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Queue: 1})
		slow := w.send(a, attempt("overnight", 2, 20))
		w.sleep(151 * time.Millisecond)
		start := time.Now()
		if n, err := drain(w.send(a, attempt("live", 0, 3))); n != 3 || err != nil {
			t.Fatalf("live got %d tokens, %v", n, err)
		}
		if took := time.Since(start); took != 120*time.Millisecond {
			t.Errorf("live took %v behind overnight work, want 120ms", took)
		}
		if n, err := drain(slow); n != 20 || err != nil {
			t.Fatalf("overnight got %d tokens, %v", n, err)
		}
		runs := e.Record().Runs
		if len(runs) != 2 || runs[0].Pauses != 1 || runs[0].Tokens != 20 || runs[0].Ended != EndDone {
			t.Errorf("record %+v", runs)
		}
		// 100 ms and 19 tokens alone, 120 ms paused, and at most one token's time spent twice.
		if took := runs[0].End.Sub(runs[0].Start); took < 410*time.Millisecond || took > 420*time.Millisecond {
			t.Errorf("paused request took %v", took)
		}
	})
}

// Guards against an unbounded queue, against a refused request that ran all the same, and against less urgent work in the
// queue that turns away more urgent work.
func TestQueueBound(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Queue: 1})
		first := w.send(a, attempt("1", 1, 5))
		var g errgroup.Group
		results := map[string]string{}
		var mu sync.Mutex
		for _, at := range []engine.Attempt{attempt("2", 2, 5), attempt("3", 2, 5), attempt("4", 1, 5)} {
			g.Go(func() error {
				s, err := w.client.Send(w.ctx, a, at)
				if err == nil {
					_, err = drain(s)
				}
				mu.Lock()
				defer mu.Unlock()
				results[at.ID] = refusal(err)
				return nil
			})
			synctest.Wait()
		}
		if _, err := drain(first); err != nil {
			t.Error(err)
		}
		_ = g.Wait()
		if results["2"] != "503 busy" || results["3"] != "503 busy" || results["4"] != "<nil>" {
			t.Errorf("results %v", results)
		}
		if r := e.Record().Runs; len(r) != 2 || r[1].Attempt != "4" {
			t.Errorf("record %+v", r)
		}
	})
}

// Guards against tokens that are lost or repeated over a resumption, and against an attempt that nobody wants running on.
func TestResume(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Slots: 4, Linger: time.Second})
		read := func(id string) {
			s := w.send(a, attempt(id, 0, 500))
			for range 5 {
				if _, err := s.Next(); err != nil {
					t.Fatal(err)
				}
			}
			s.Close()
		}
		read("a")
		read("b")
		w.sleep(500 * time.Millisecond)
		s, err := w.client.Resume(w.ctx, a, "a", 5, 0)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := drain(s); n != 495 || err != nil {
			t.Errorf("resumed %d tokens, %v", n, err)
		}
		b := e.Record().Runs[1]
		if took := b.End.Sub(b.Start); !b.Cancelled || took != 1140*time.Millisecond {
			t.Errorf("abandoned attempt: %+v after %v, want cancelled 1s after its connection broke", b, took)
		}
		if _, err := w.client.Resume(w.ctx, a, "b", 5, 0); refusal(err) != "404 cancelled" {
			t.Errorf("resume of a cancelled attempt: %v", err)
		}
		c := w.send(a, attempt("c", 0, 500))
		if err := w.client.Cancel(w.ctx, a, "c"); err != nil {
			t.Error(err)
		}
		if _, err := drain(c); err == nil {
			t.Error("cancelled attempt ended as if whole")
		}
	})
}

// Guards against a request that occupies the engine after its deadline.
func TestDeadline(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{})
		at := attempt("a", 0, 100)
		at.Deadline = time.Now().Add(150 * time.Millisecond)
		if _, err := drain(w.send(a, at)); err == nil {
			t.Error("late answer ended as if whole")
		}
		if r := e.Record().Runs[0]; r.Ended != EndDeadline || r.End.After(at.Deadline) {
			t.Errorf("record %+v", r)
		}
		at.Deadline = time.Now()
		if _, err := w.client.Send(w.ctx, a, at); refusal(err) != "503 deadline" || len(e.Record().Runs) != 1 {
			t.Errorf("request past its deadline: %v", err)
		}
	})
}

// Guards against silent connections that also silence new ones, and against a run that ends with its connection.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Slots: 2})
		s := w.send(a, attempt("a", 0, 50))
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		w.patch(e.Control(), `{"silent": 1}`)
		var g errgroup.Group
		silent := true
		g.Go(func() error {
			_, err := s.Next()
			silent = errors.As(err, new(*engine.BrokenStreamError))
			return nil
		})
		w.sleep(time.Minute)
		r, err := w.client.Resume(w.ctx, a, "a", 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := drain(r); n != 49 || err != nil {
			t.Errorf("resumed %d tokens, %v", n, err)
		}
		s.Close()
		if _ = g.Wait(); !silent {
			t.Error("silent connection sent another token")
		}
	})
}

// Guards against a group that serves without one of its members, and against a lost group that still looks present.
func TestMissingMember(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		spec := EngineSpec{Slots: 2, First: 100 * time.Millisecond, Token: 10 * time.Millisecond, Load: time.Second}
		e0, a0 := w.engine(spec)
		e1, a1 := w.engine(spec)
		form := func(generation uint64) {
			for i, a := range []netip.AddrPort{a0, a1} {
				w.order(a, engine.Order{Op: engine.OpLoad, Group: "g", Generation: generation, Index: i, Members: []netip.AddrPort{a0, a1}})
				w.sleep(500 * time.Millisecond)
			}
		}
		form(1)
		w.sleep(100 * time.Millisecond)
		if _, err := w.client.Send(w.ctx, a0, attempt("early", 0, 5)); refusal(err) != "409 generation" {
			t.Errorf("request before the group is whole: %v", err)
		}
		w.sleep(time.Second)
		s := w.send(a0, attempt("a", 0, 1000))
		w.sleep(time.Second)
		lost := time.Now()
		w.patch(e1.Control(), `{"kill": true}`)
		if n, err := drain(s); err == nil || n == 0 || time.Since(lost) > 600*time.Millisecond {
			t.Errorf("stream of the broken group: %d tokens, %v after %v", n, err, time.Since(lost))
		}
		if _, err := w.client.Send(w.ctx, a0, attempt("b", 0, 5)); refusal(err) != "409 generation" {
			t.Errorf("request to the broken group: %v", err)
		}
		if l, err := w.client.Load(w.ctx, a0); err != nil || l.Present {
			t.Errorf("load report %+v, %v", l, err)
		}
		if r := e0.Record().Runs; len(r) != 1 || r[0].Ended != EndLost {
			t.Errorf("record %+v", r)
		}
		if s := e1.Record().Spans; len(s) != 1 || !s[0].End.Equal(lost) {
			t.Errorf("spans of the killed member %+v", s)
		}
		w.patch(e1.Control(), `{"revive": true}`)
		form(2)
		w.sleep(time.Second)
		at := attempt("c", 0, 5)
		at.Generation = 2
		if n, err := drain(w.send(a0, at)); n != 5 || err != nil {
			t.Errorf("healed group: %d tokens, %v", n, err)
		}
		// A member that freezes is missing too, without any connection that breaks.
		w.patch(e1.Control(), `{"pause": true}`)
		w.sleep(700 * time.Millisecond)
		if _, err := w.client.Send(w.ctx, a0, at); refusal(err) != "409 generation" {
			t.Errorf("request with a frozen member: %v", err)
		}
		w.patch(e1.Control(), `{"pause": false}`)
	})
}

// Guards against a stand-in that hides stale orders: with fencing it refuses them, without it obeys.
func TestFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		run(t, func(t *testing.T, w *world) {
			_, a := w.engine(EngineSpec{Slots: 1, Fencing: fencing})
			w.order(a, engine.Order{Op: engine.OpLoad, Fence: 5, Group: "g", Generation: 2})
			err := w.client.Order(w.ctx, a, engine.Order{Op: engine.OpUnload, Fence: 4})
			var f *engine.FencedError
			if refused := errors.As(err, &f); refused != fencing || refused && f.Fence != 5 {
				t.Errorf("fencing %v: stale order: %v", fencing, err)
			}
			st, err := w.client.State(w.ctx, a)
			if err != nil || (st.Group == "g") != fencing {
				t.Errorf("fencing %v: state %+v, %v", fencing, st, err)
			}
		})
	}
}

func (w *world) call(method string, a netip.AddrPort, path, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+a.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		w.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set("Idempotency-Key", "k")
	resp, err := w.tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b)), err
}

// Guards against a lost answer whose effect is missing, and against a refusal that had one.
func TestLoseAndRefuse(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		p := NewPlain("p", 5*time.Millisecond)
		a := w.serve(p, p.Control())
		w.patch(p.Control(), `{"lose": 1}`)
		if _, _, err := w.call("POST", a, "/hire", "x"); err == nil {
			t.Error("answer was not lost")
		}
		w.patch(p.Control(), `{"refuse": 1}`)
		if status, body, err := w.call("POST", a, "/hire", "x"); status != 503 || body != `{"reason":"busy"}` {
			t.Errorf("refusal: %d %s, %v", status, body, err)
		}
		if status, _, err := w.call("POST", a, "/hire", "x"); status != 200 {
			t.Errorf("after the faults: %d, %v", status, err)
		}
		if r := p.Record().Runs; len(r) != 2 || r[0].Key != "k" || r[0].Call != "POST /hire" {
			t.Errorf("record %+v", r)
		}

		store := NewPlatform(0)
		a = w.serve(store, store.Control())
		w.patch(store.Control(), `{"lose": 1}`)
		if _, _, err := w.call("POST", a, "/table/txn", `{"op":"1","writes":[{"key":"k"}]}`); err == nil {
			t.Error("answer of the transaction was not lost")
		}
		w.patch(store.Control(), `{"refuse": -1}`)
		if status, _, err := w.call("POST", a, "/table/txn", `{"op":"2","writes":[{"key":"k"}]}`); status != 503 {
			t.Errorf("refusal: %d, %v", status, err)
		}
		if _, body, err := w.call("GET", a, "/table/read?key=k", ""); body != `{"rows":[{"key":"k","version":1,"op":"1"}]}` {
			t.Errorf("rows %s, %v", body, err)
		}
		w.patch(store.Control(), `{"down": true, "parts": ["object"]}`)
		if status, _, err := w.call("GET", a, "/object/x", ""); status != 503 {
			t.Errorf("object store that is down: %d, %v", status, err)
		}
		if status, _, err := w.call("GET", a, "/roster", ""); status != 200 {
			t.Errorf("list beside an object store that is down: %d, %v", status, err)
		}
	})
}

// Guards against a list that shows a change at once, and against changes that never show.
func TestRosterLag(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		p := NewPlatform(500 * time.Millisecond)
		a := w.serve(p, p.Control())
		e, b := w.engine(EngineSpec{ID: "e"})
		i := platform.Instance{ID: "e", Addr: b, Kind: platform.KindEngine, Domain: "d", State: platform.Live}
		p.Add(i)
		f := NewFleet(p)
		f.Add(i, e)
		control := w.serve(f, &Control{})
		want := func(text string) {
			t.Helper()
			if _, body, err := w.call("GET", a, "/roster", ""); !strings.Contains(body, text) {
				t.Errorf("list %s, %v; want %s", body, err, text)
			}
		}
		w.sleep(time.Second)
		if status, body, err := w.call("POST", control, "/control/fault", `{"target":"domain:d","leaving":true}`); status != 200 {
			t.Fatalf("%d %s %v", status, body, err)
		}
		want(`"live"`)
		w.sleep(500 * time.Millisecond)
		want(`"leaving"`)
		w.patch(p.Control(), `{"lag_ms": 2000}`)
		w.patch(e.Control(), `{"gone": true}`)
		w.sleep(2400 * time.Millisecond)
		want(`"leaving"`)
		w.sleep(100 * time.Millisecond)
		want(`"instances":[]`)
		if status, _, _ := w.call("POST", control, "/control/fault", `{"target":"nobody"}`); status != 404 {
			t.Errorf("unknown target: %d", status)
		}
	})
}

// Guards against faults that leave a way through: a frozen, dark or killed stand-in answers nothing, and works again
// afterwards.
func TestUnreachable(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{})
		for _, name := range []string{"pause", "dark", "kill"} {
			w.patch(e.Control(), `{"`+name+`": true}`)
			start := time.Now()
			ctx, stop := context.WithTimeout(w.ctx, time.Second)
			_, err := w.client.State(ctx, a)
			stop()
			if refused := errors.Is(err, syscall.ECONNREFUSED); err == nil || refused != (name == "kill") {
				t.Errorf("%s: %v", name, err)
			}
			if took := time.Since(start); name != "kill" && took != time.Second {
				t.Errorf("%s answered after %v", name, took)
			}
			w.patch(e.Control(), `{"`+name+`": false}`)
			w.tr.CloseIdleConnections()
			st, err := w.client.State(w.ctx, a)
			if err != nil || (st.Group == "g") != (name != "kill") {
				t.Errorf("after %s: %+v, %v", name, st, err)
			}
		}
	})
}

// Guards against loads that overrun the weight store's rate.
func TestWeightStore(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		p := NewPlatform(0)
		p.SetWeights(time.Second, 2)
		store := w.serve(p, p.Control())
		start := time.Now()
		var engines []*Engine
		for range 3 {
			e, a := w.engine(EngineSpec{Platform: store})
			w.order(a, engine.Order{Op: engine.OpLoad, Group: "g", Generation: 1, Model: "m", Version: "1"})
			engines = append(engines, e)
		}
		w.sleep(5 * time.Second)
		took := map[time.Duration]int{}
		for _, e := range engines {
			took[e.Record().Spans[0].Start.Sub(start)]++
		}
		if took[time.Second] != 2 || took[2*time.Second] != 1 {
			t.Errorf("load times %v", took)
		}
	})
}

// Guards against a cache that saves nothing, grows without bound, or whose events come in time and without gaps.
func TestCache(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Cache: 4, Gap: 3, Lag: time.Second})
		ask := func(id, text string) time.Duration {
			at := attempt(id, 0, 1)
			at.Chat.Messages = []engine.Message{{Role: "user", Content: strings.Repeat(text, 200)}}
			if _, err := drain(w.send(a, at)); err != nil {
				t.Fatal(err)
			}
			r := e.Record().Runs
			return r[len(r)-1].First.Sub(r[len(r)-1].Start)
		}
		cold, warm := ask("1", "x"), ask("2", "x")
		if cold != 100*time.Millisecond || warm != 20*time.Millisecond {
			t.Errorf("time to first token %v cold, %v cached", cold, warm)
		}
		if v, err := w.client.Cache(w.ctx, a, 1); err != nil || len(v.Events) != 0 || v.Next != 1 {
			t.Errorf("events before their lag: %+v, %v", v, err)
		}
		other := ask("3", "y")
		w.sleep(time.Second)
		v, err := w.client.Cache(w.ctx, a, 1)
		if err != nil || other != cold || v.Next != 9 {
			t.Errorf("events %+v, %v", v, err)
		}
		for _, x := range v.Events {
			if x.Seq%3 == 0 {
				t.Errorf("event %d was to be lost", x.Seq)
			}
		}
		c := engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: strings.Repeat("y", 200)}}}
		p := engine.Prefixes(c)
		blob, err := w.client.ExportKV(w.ctx, a, p[len(p)-1])
		if err != nil {
			t.Fatal(err)
		}
		_, b := w.ready(EngineSpec{Cache: 4})
		if err := w.client.ImportKV(w.ctx, b, blob); err != nil {
			t.Fatal(err)
		}
		if got, err := w.client.ExportKV(w.ctx, b, p[len(p)-1]); err != nil || string(got) != string(blob) {
			t.Errorf("imported %s, %v; want %s", got, err, blob)
		}
		w.patch(e.Control(), `{"kill": true}`)
		w.patch(e.Control(), `{"revive": true}`)
		w.tr.CloseIdleConnections()
		if v, err := w.client.Cache(w.ctx, a, 9); err != nil || v.Next != 1 {
			t.Errorf("events of an engine that restarted: %+v, %v; want next 1", v, err)
		}
	})
}

// Guards against load reports that are more recent than their lag allows, and checks the cost of a full batch and of a
// straggler.
func TestLoadReport(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{Slots: 2, Growth: 0.5})
		w.patch(e.Control(), `{"lag_ms": 2000, "straggle": 2}`)
		w.sleep(3 * time.Second)
		one, two := w.send(a, attempt("1", 0, 300)), w.send(a, attempt("2", 0, 300))
		load := func() engine.Load {
			t.Helper()
			l, err := w.client.Load(w.ctx, a)
			if err != nil || time.Since(l.At) != 2*time.Second {
				t.Errorf("report %+v, %v", l, err)
			}
			return l
		}
		w.sleep(1900 * time.Millisecond)
		if l := load(); l.Running != 0 || !l.Present {
			t.Errorf("report shows the present load: %+v", l)
		}
		w.sleep(200 * time.Millisecond)
		if l := load(); l.Running != 2 || l.TokenMillis != 30 {
			t.Errorf("report %+v, want 2 running at 30 ms", l)
		}
		for _, s := range []*engine.Stream{one, two} {
			if _, err := drain(s); err != nil {
				t.Error(err)
			}
		}
	})
}

// Guards against records that miss a stand-in, and against a change of the JSON that checks and experiments read.
func TestFleetRecords(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		p := NewPlatform(0)
		f := NewFleet(p)
		e, a := w.ready(EngineSpec{ID: "e"})
		plain := NewPlain("p", 0)
		f.Add(platform.Instance{ID: "e"}, e)
		f.Add(platform.Instance{ID: "p"}, plain)
		b := w.serve(plain, plain.Control())
		if _, err := drain(w.send(a, attempt("1", 2, 2))); err != nil {
			t.Fatal(err)
		}
		if _, _, err := w.call("POST", b, "/hire", "x"); err != nil {
			t.Fatal(err)
		}
		control := w.serve(f, &Control{})
		_, body, err := w.call("GET", control, "/control/records", "")
		if err != nil {
			t.Fatal(err)
		}
		// Bubble time starts at midnight UTC 2000-01-01.
		want := `{"runs":[{"attempt":"1","instance":"e","group":"g","generation":1,"priority":2,"start":"2000-01-01T00:00:00Z","first":"2000-01-01T00:00:00.1Z","end":"2000-01-01T00:00:00.11Z","ended":"done","cancelled":false,"tokens":2,"pauses":0},` +
			`{"attempt":"","instance":"p","priority":0,"start":"2000-01-01T00:00:00.11Z","end":"2000-01-01T00:00:00.11Z","ended":"done","cancelled":false,"tokens":0,"pauses":0,"call":"POST /hire","key":"k"}],` +
			`"spans":[{"instance":"e","group":"g","generation":1,"index":0,"start":"2000-01-01T00:00:00Z"}],"commits":[]}`
		if body != want {
			t.Errorf("records\n%s\nwant\n%s", body, want)
		}
	})
}

// Guards against a port that accepts connections while its stand-in is dead, or that cannot open its address again.
func TestPortOverTCP(t *testing.T) {
	p, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	c := &Control{}
	c.Attach(p)
	s := &http.Server{Handler: NewPlatform(0)}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(p) })
	client, closeClient := platform.NewClient(netip.MustParseAddrPort(p.Addr().String()))
	for _, kill := range []bool{false, true, false} {
		if err := c.Set(Faults{Kill: kill}); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Roster(t.Context()); (err != nil) != kill || kill && !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("kill %v: %v", kill, err)
		}
	}
	closeClient()
	_ = s.Close()
	_ = g.Wait()
}

// Guards against a frozen engine that goes on producing tokens, as a daemon's straggler and pause checks rely on the
// stream standing still.
func TestPauseFreezesRuns(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		e, a := w.ready(EngineSpec{})
		s := w.send(a, attempt("a", 0, 20))
		w.sleep(145 * time.Millisecond)
		w.patch(e.Control(), `{"pause": true}`)
		w.sleep(30 * time.Second)
		if n := e.Record().Runs[0].Tokens; n != 5 {
			t.Errorf("%d tokens while frozen, want 5", n)
		}
		w.patch(e.Control(), `{"pause": false}`)
		if n, err := drain(s); n != 20 || err != nil {
			t.Errorf("after the pause: %d tokens, %v", n, err)
		}
	})
}
