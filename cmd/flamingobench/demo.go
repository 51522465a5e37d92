package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// addresses is the part of the stand-ins' file that the demo needs.
type addresses struct {
	Daemons []struct {
		Caller netip.AddrPort `json:"caller"`
	} `json:"daemons"`
}

// Failed reports a run that did not meet its checks.
type Failed struct{ Msg string }

func (e *Failed) Error() string { return e.Msg }

// tally is what came back for one kind of work.
type tally struct {
	mu      sync.Mutex
	took    *hdrhistogram.Histogram
	ok, bad int
	reason  string
}

func (t *tally) add(took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.bad++
		t.reason = err.Error()
		return
	}
	t.ok++
	_ = t.took.RecordValue(took.Microseconds())
}

func demo(ctx context.Context, c *cli.Command) error {
	var addrs addresses
	b, err := os.ReadFile(c.String("addresses"))
	if err != nil {
		return fmt.Errorf("read addresses: %w", err)
	}
	if err := json.Unmarshal(b, &addrs); err != nil {
		return fmt.Errorf("decode addresses: %w", err)
	}
	text, err := os.ReadFile(c.String("note"))
	if err != nil {
		return fmt.Errorf("read release note: %w", err)
	}
	n, err := note.Parse(c.String("note"), text)
	if err != nil {
		return err
	}
	cfg, err := note.Config{}.Apply(n)
	if err != nil {
		return err
	}
	if err := waitReady(ctx, c.Duration("wait"), addrs, cfg); err != nil {
		return err
	}
	orgs := slices.Sorted(maps.Keys(cfg.Organisations))
	fmt.Printf("%-12s %-18s %-10s %6s %6s %9s %9s\n", "work", "service", "rank", "ok", "bad", "p50 ms", "p95 ms")
	total := 0
	for _, name := range slices.Sorted(maps.Keys(cfg.Works)) {
		t := &tally{took: hdrhistogram.New(1, 120_000_000, 3)}
		g, gctx := errgroup.WithContext(ctx)
		g.SetLimit(32)
		for i := range c.Int("requests") {
			g.Go(func() error {
				start := time.Now()
				err := send(gctx, addrs.Daemons[i%len(addrs.Daemons)].Caller, orgs[i%len(orgs)], name, cfg, i)
				t.add(time.Since(start), err)
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		w := cfg.Works[name]
		fmt.Printf("%-12s %-18s %-10s %6d %6d %9.1f %9.1f\n", name, w.Service, w.Rank, t.ok, t.bad, float64(t.took.ValueAtQuantile(50))/1e3, float64(t.took.ValueAtQuantile(95))/1e3)
		if t.bad > 0 {
			return &Failed{Msg: fmt.Sprintf("%d requests of %s failed: %s", t.bad, name, t.reason)}
		}
		total += t.ok
	}
	fmt.Printf("%d requests answered, each with the whole answer to its own request\n", total)
	return nil
}

// waitReady waits until every daemon answers a chat of every model service.
func waitReady(ctx context.Context, limit time.Duration, addrs addresses, cfg note.Config) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	org := slices.Sorted(maps.Keys(cfg.Organisations))[0]
	for _, d := range addrs.Daemons {
		for name := range cfg.Works {
			for {
				err := send(ctx, d.Caller, org, name, cfg, 0)
				if err == nil {
					break
				}
				if timer.Wait(ctx, 100*time.Millisecond) != nil {
					return fmt.Errorf("fleet is not ready: %w", err)
				}
			}
		}
	}
	return nil
}

// send sends one request and checks its answer.
func send(ctx context.Context, addr netip.AddrPort, org, work string, cfg note.Config, i int) error {
	w := cfg.Works[work]
	path, body, want := "/v1/chat/completions", "", ""
	if _, ok := cfg.Models[w.Service]; ok {
		chat := engine.Chat{Model: w.Service, Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("summary of bull %s-%s-%d", org, work, i)}}, MaxTokens: 8}
		b, err := json.Marshal(chat)
		if err != nil {
			return err
		}
		body, want = string(b), strings.TrimSpace(standin.Answer(chat))
	} else {
		for _, r := range cfg.Plains[w.Service].Routes {
			if r.Method == http.MethodPost {
				path = r.Path
			}
		}
		body = fmt.Sprintf("%s-%s-%d", org, work, i)
		want = body
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+org+"-demo-key")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderWork, work)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &Failed{Msg: fmt.Sprintf("status %d, outcome %s: %s", resp.StatusCode, resp.Header.Get(caller.HeaderOutcome), b)}
	}
	if !bytes.Contains(b, []byte(want)) {
		return &Failed{Msg: fmt.Sprintf("answer %s does not hold %q", b, want)}
	}
	return nil
}
