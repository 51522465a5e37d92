package caller

import (
	"fmt"
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

// BenchmarkAdded measures requests through the server next to the same ones sent directly to the stand-in, over real
// connections; the difference is what the server adds. The targets are below 1 ms for p50 and below 5 ms for p99.
func BenchmarkAdded(b *testing.B) {
	serve := func(h http.Handler) netip.AddrPort {
		s := httptest.NewServer(h)
		b.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	plain := serve(standin.NewPlain("ledger-1", 0))
	eng, closeEngine := standin.NewEngine(standin.EngineSpec{ID: "desk-1", Slots: 64, Queue: 64, First: time.Millisecond, Token: time.Millisecond, Watch: time.Second})
	b.Cleanup(closeEngine)
	desk := serve(eng)
	table, closeTable := platform.NewClient(serve(standin.NewPlatform(0)))
	b.Cleanup(closeTable)
	keeper := claim.NewWriter(table, uuid.NewString)
	var duties errgroup.Group
	duties.Go(func() error { return keeper.Run(b.Context()) }) // b's context ends before the clean-up.
	b.Cleanup(func() { _ = duties.Wait() })
	engines, closeEngines := engine.NewClient()
	b.Cleanup(closeEngines)
	if err := engines.Order(b.Context(), desk, engine.Order{Op: engine.OpLoad, Fence: 1, Group: "g", Generation: 1, Members: []netip.AddrPort{desk}, Model: "m", Version: "1"}); err != nil {
		b.Fatal(err)
	}
	for l := (engine.Load{}); !l.Present; l, _ = engines.Load(b.Context(), desk) {
	}
	d, closeDispatch := dispatch.New(dispatch.Options{Daemon: "d1", FixedSlots: true})
	b.Cleanup(closeDispatch)
	f := &fleet{cfg: true, net: &network{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	b.Cleanup(f.client.CloseIdleConnections)
	cfg, _ := f.Config()
	cfg.Revision = 1
	d.Configure(cfg)
	d.SetTargets([]dispatch.Target{{Service: "desk", Group: "g", Generation: 1, Addr: desk, Slots: 64}, {Service: "ledger", Group: "ledger-1", Addr: plain, Slots: 64}}, nil)
	metrics, closeMetrics, err := metric.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeMetrics)
	s := New(Options{Config: f, Slots: Slots{From: d}, Engine: engines, Claims: keeper, Log: timeline.NewLog("d1", 1<<14), Metrics: metrics})
	b.Cleanup(s.Close)
	server := serve(s)
	var n atomic.Uint64
	for _, c := range []struct {
		name, method, path, body string
		to                       netip.AddrPort
		key                      bool
	}{
		{"chat/direct", "POST", "/v1/chat/completions", chatBody(true), desk, false},
		{"chat/server", "POST", "/v1/chat/completions", chatBody(true), server, false},
		{"repeatable/direct", "GET", "/bookings/7", "", plain, false},
		{"repeatable/server", "GET", "/bookings/7", "", server, false},
		{"once/direct", "POST", "/bookings", "van", plain, false},
		{"once/server", "POST", "/bookings", "van", server, false},
		{"once-key/server", "POST", "/bookings", "van", server, true},
	} {
		for _, at := range []int{1, 32} {
			b.Run(fmt.Sprintf("%s/%d", c.name, at), func(b *testing.B) {
				all := hdrhistogram.New(1, 10_000_000, 3)
				took := make(chan time.Duration, b.N)
				var workers errgroup.Group
				workers.SetLimit(at)
				for range b.N {
					workers.Go(func() error {
						id := fmt.Sprint("direct-", n.Add(1))
						header := []string{engine.HeaderGroup, "g", engine.HeaderGeneration, "1", engine.HeaderAttempt, id}
						if c.key {
							header = append(header, HeaderKey, id)
						}
						start := time.Now()
						g, err := f.askBy(b.Context(), c.method, c.to, c.path, strings.NewReader(c.body), header...)
						took <- time.Since(start)
						if err == nil && g.status != http.StatusOK {
							err = &Failure{Status: g.status, Message: g.text}
						}
						return err
					})
				}
				if err := workers.Wait(); err != nil {
					b.Fatal(err)
				}
				for range b.N {
					_ = all.RecordValue((<-took).Microseconds())
				}
				b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-µs")
				b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-µs")
			})
		}
	}
}
