package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

// rig is a server with real connections, a dispatcher and stand-ins behind it.
type rig struct {
	server, plain, chat string
	client              *http.Client
}

func newRig(b *testing.B) rig {
	var cleanups errgroup.Group
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(func() { stop(); _ = cleanups.Wait() })
	serve := func(h http.Handler) (string, netip.AddrPort) {
		s := httptest.NewServer(h)
		b.Cleanup(s.Close)
		return s.URL, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	plainURL, plainAddr := serve(standin.NewPlain("ledger-1", 0))
	eng, closeEngine := standin.NewEngine(standin.EngineSpec{ID: "desk-1", Slots: 64, Queue: 64, First: time.Millisecond, Token: time.Millisecond, Watch: time.Second})
	b.Cleanup(closeEngine)
	chatURL, chatAddr := serve(eng)
	_, tableAddr := serve(standin.NewPlatform(0))
	table, closeTable := platform.Dial(tableAddr)
	b.Cleanup(closeTable)
	keeper := claim.NewKeeper(table, uuid.NewString)
	cleanups.Go(func() error { return keeper.Run(ctx) })
	engines, closeEngines := engine.NewClient()
	b.Cleanup(closeEngines)
	if err := engines.Order(ctx, chatAddr, engine.Order{Op: engine.OpLoad, Fence: 1, Group: "g", Generation: 1, Members: []netip.AddrPort{chatAddr}, Model: "m", Version: "1"}); err != nil {
		b.Fatal(err)
	}
	d, closeDispatch := dispatch.New(dispatch.Options{Daemon: "d1", Local: true})
	b.Cleanup(closeDispatch)
	cfg, _ := (&fleet{}).Config()
	cfg.Revision = 1
	d.Configure(cfg)
	d.SetTargets([]dispatch.Target{
		{Service: "desk", Group: "g", Generation: 1, Addr: chatAddr, Slots: 64},
		{Service: "ledger", Group: "ledger-1", Addr: plainAddr, Slots: 64},
	}, nil)
	metrics, closeMetrics, err := metric.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeMetrics)
	s := New(Options{Config: &fleet{cfg: true}, Slots: Slots{From: d}, Engine: engines, Claims: keeper, Log: timeline.NewLog("d1", 1<<14), Metrics: metrics})
	b.Cleanup(s.Close)
	serverURL, _ := serve(s)
	for {
		if l, err := engines.Load(ctx, chatAddr); err == nil && l.Present {
			break
		}
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	b.Cleanup(tr.CloseIdleConnections)
	return rig{server: serverURL, plain: plainURL, chat: chatURL, client: &http.Client{Transport: tr}}
}

// unexpected reports an answer that a benchmark cannot use.
type unexpected struct{ status int }

func (e *unexpected) Error() string { return fmt.Sprintf("status %d", e.status) }

func (g rig) call(method, url, body string, header ...string) error {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer secret-bearer")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &unexpected{resp.StatusCode}
	}
	return nil
}

// BenchmarkAdded measures requests through the server next to the same ones sent directly to the stand-in; the
// difference is what the server adds. The targets are below 1 ms for p50 and below 5 ms for p99.
func BenchmarkAdded(b *testing.B) {
	g := newRig(b)
	var n atomic.Uint64
	chat := []string{engine.HeaderGroup, "g", engine.HeaderGeneration, "1"}
	direct := func() []string { return append(chat, engine.HeaderAttempt, fmt.Sprint("direct.", n.Add(1))) }
	key := func() []string { return []string{HeaderKey, fmt.Sprint("secret-key-", n.Add(1))} }
	for _, c := range []struct {
		name string
		call func() error
	}{
		{"chat/direct", func() error { return g.call("POST", g.chat+"/v1/chat/completions", chatBody(true), direct()...) }},
		{"chat/server", func() error { return g.call("POST", g.server+"/v1/chat/completions", chatBody(true)) }},
		{"repeatable/direct", func() error { return g.call("GET", g.plain+"/bookings/7", "", direct()...) }},
		{"repeatable/server", func() error { return g.call("GET", g.server+"/bookings/7", "") }},
		{"once/direct", func() error { return g.call("POST", g.plain+"/bookings", "van", direct()...) }},
		{"once/server", func() error { return g.call("POST", g.server+"/bookings", "van") }},
		{"once-key/server", func() error { return g.call("POST", g.server+"/bookings", "van", key()...) }},
	} {
		for _, at := range []int{1, 32} {
			b.Run(fmt.Sprintf("%s/%d", c.name, at), func(b *testing.B) {
				hist := make([]*hdrhistogram.Histogram, at)
				var left atomic.Int64
				left.Store(int64(b.N))
				var workers errgroup.Group
				for i := range hist {
					hist[i] = hdrhistogram.New(1, 10_000_000, 3)
					workers.Go(func() error {
						for left.Add(-1) >= 0 {
							start := time.Now()
							if err := c.call(); err != nil {
								return err
							}
							_ = hist[i].RecordValue(time.Since(start).Microseconds())
						}
						return nil
					})
				}
				if err := workers.Wait(); err != nil {
					b.Fatalf("%s: %v", c.name, err)
				}
				for _, h := range hist[1:] {
					hist[0].Merge(h)
				}
				b.ReportMetric(float64(hist[0].ValueAtQuantile(50)), "p50-µs")
				b.ReportMetric(float64(hist[0].ValueAtQuantile(99)), "p99-µs")
			})
		}
	}
}
