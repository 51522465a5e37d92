package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/daemon"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// The capacity experiment measures what a daemon costs at several sizes of the fleet. scripts/capacity runs, for each
// size, the stand-ins, the measured daemons (all in one process) and the callers in a process each, so that the
// processor time and memory of the second one are those of the daemons.

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure what a daemon costs by the size of the fleet; scripts/capacity runs it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "folder that the stand-ins wrote"},
			&cli.StringFlag{Name: "note", Usage: "release note to apply"},
			&cli.StringFlag{Name: "out", Usage: "file that each window is appended to", Value: "run/capacity/windows.jsonl"},
			&cli.IntFlag{Name: "windows", Usage: "measured windows for each phase", Value: 3},
			&cli.DurationFlag{Name: "window", Usage: "length of a window", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "settle", Usage: "time before the windows of a phase, in which connections of the start end", Value: 8 * time.Second},
			&cli.StringFlag{Name: "profile", Usage: "file for a processor profile of the windows"},
			&cli.BoolFlag{Name: "drive", Usage: "send requests while the measured process is in its phase with load"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second for each daemon", Value: 4},
			&cli.BoolFlag{Name: "fit", Usage: "print the table and the slopes of the file named by out"},
			&cli.FloatFlag{Name: "at", Usage: "number of daemons to extrapolate to", Value: 370},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			switch {
			case c.Bool("fit"):
				return fit(c.String("out"), c.Float("at"))
			case c.Bool("drive"):
				return drive(ctx, c)
			}
			return capacity(ctx, c)
		},
	}
}

// window is what one daemon cost on average in one window. Rates are per second.
type window struct {
	Daemons int    `json:"daemons"`
	Groups  int    `json:"groups"`
	Phase   string `json:"phase"`
	// Core is the part of a core in percent; with load it includes serving the requests.
	Core float64 `json:"core"`
	// Heap is the live heap and Resident the resident memory of the process, in MB for each daemon.
	Heap     float64 `json:"heap"`
	Resident float64 `json:"resident"`
	// PeerOut and PeerIn are payload bytes, PeerMessages messages sent.
	PeerOut      float64 `json:"peer_out"`
	PeerIn       float64 `json:"peer_in"`
	PeerMessages float64 `json:"peer_messages"`
	// Wire counts the bytes both ways between daemons with handshakes, acknowledgements and headers of UDP and IP, and
	// Opened the connections of either side.
	Wire   float64 `json:"wire"`
	Opened float64 `json:"opened"`
	// Platform counts bytes both ways, headers included.
	Platform float64 `json:"platform"`
	// Engine counts bytes both ways, headers included; with load it includes the streams.
	Engine float64 `json:"engine"`
	// Calls counts the calls of engines other than streams, Reads, Writes and Lists those of the platform, and Same the
	// reads and lists that were answered as not modified.
	Calls  float64 `json:"calls"`
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	Lists  float64 `json:"lists"`
	Same   float64 `json:"same"`
}

var columns = []struct {
	name string
	of   func(window) float64
}{
	{"core %", func(w window) float64 { return w.Core }},
	{"heap MB", func(w window) float64 { return w.Heap }},
	{"resident MB", func(w window) float64 { return w.Resident }},
	{"peer out B/s", func(w window) float64 { return w.PeerOut }},
	{"peer in B/s", func(w window) float64 { return w.PeerIn }},
	{"peer messages/s", func(w window) float64 { return w.PeerMessages }},
	{"peer wire B/s", func(w window) float64 { return w.Wire }},
	{"connections/s", func(w window) float64 { return w.Opened }},
	{"platform B/s", func(w window) float64 { return w.Platform }},
	{"engine B/s", func(w window) float64 { return w.Engine }},
	{"engine calls/s", func(w window) float64 { return w.Calls }},
	{"reads/s", func(w window) float64 { return w.Reads }},
	{"writes/s", func(w window) float64 { return w.Writes }},
	{"lists/s", func(w window) float64 { return w.Lists }},
	{"not modified/s", func(w window) float64 { return w.Same }},
}

// sample is the counts at one moment, summed over the daemons.
type sample struct {
	at     time.Time
	cpu    time.Duration
	t      daemon.Traffic
	counts standin.PlatformCounts
}

func take(ctx context.Context, platform netip.AddrPort, all []*daemon.Daemon) (sample, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return sample{}, fmt.Errorf("read processor time: %w", err)
	}
	s := sample{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano())}
	for _, d := range all {
		t := d.Traffic()
		s.t.Peer.BytesOut += t.Peer.BytesOut
		s.t.Peer.BytesIn += t.Peer.BytesIn
		s.t.Peer.Sent += t.Peer.Sent
		s.t.Peer.Wire.In += t.Peer.Wire.In + t.Peer.Wire.Out
		s.t.Peer.Wire.Opened += t.Peer.Wire.Opened
		s.t.Platform.In += t.Platform.In + t.Platform.Out
		s.t.Engine.In += t.Engine.In + t.Engine.Out
		s.t.EngineCalls += t.EngineCalls
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform.String()+"/control/counts", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s.counts)
}

// measure returns the mean of all daemons over one window.
func measure(ctx context.Context, c *cli.Command, platform netip.AddrPort, all []*daemon.Daemon, phase string) (window, error) {
	w := window{Daemons: len(all), Groups: len(all[0].Status().Groups), Phase: phase}
	a, err := take(ctx, platform, all)
	if err != nil {
		return w, err
	}
	if err := timer.Wait(ctx, c.Duration("window")); err != nil {
		return w, err
	}
	b, err := take(ctx, platform, all)
	if err != nil {
		return w, err
	}
	rate := func(from, to uint64) float64 { return float64(to-from) / b.at.Sub(a.at).Seconds() / float64(len(all)) }
	w.Core = 100 * (b.cpu - a.cpu).Seconds() / b.at.Sub(a.at).Seconds() / float64(len(all))
	w.PeerOut, w.PeerIn, w.PeerMessages = rate(a.t.Peer.BytesOut, b.t.Peer.BytesOut), rate(a.t.Peer.BytesIn, b.t.Peer.BytesIn), rate(a.t.Peer.Sent, b.t.Peer.Sent)
	w.Platform, w.Engine, w.Calls = rate(a.t.Platform.In, b.t.Platform.In), rate(a.t.Engine.In, b.t.Engine.In), rate(a.t.EngineCalls, b.t.EngineCalls)
	w.Reads, w.Writes, w.Lists = rate(a.counts.Reads, b.counts.Reads), rate(a.counts.Writes, b.counts.Writes), rate(a.counts.Lists, b.counts.Lists)
	w.Wire, w.Opened = rate(a.t.Peer.Wire.In, b.t.Peer.Wire.In), rate(a.t.Peer.Wire.Opened, b.t.Peer.Wire.Opened)
	w.Same = rate(a.counts.Same, b.counts.Same)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	w.Heap = float64(m.HeapAlloc) / 1e6 / float64(len(all))
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return w, fmt.Errorf("read resident memory: %w", err)
	}
	var pages [2]float64
	if _, err := fmt.Sscan(string(text), &pages[0], &pages[1]); err != nil {
		return w, fmt.Errorf("read resident memory: %w", err)
	}
	w.Resident = pages[1] * float64(os.Getpagesize()) / 1e6 / float64(len(all))
	return w, nil
}

// capacity runs the daemons of a folder and appends what they cost to a file.
func capacity(ctx context.Context, c *cli.Command) (err error) {
	files, err := filepath.Glob(filepath.Join(c.String("dir"), "*-*.ini"))
	if err != nil {
		return err
	}
	var all []*daemon.Daemon
	var platform netip.AddrPort
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		set, err := setting.ParseDaemon(f, text)
		if err != nil {
			return err
		}
		platform = set.Platform
		d, free, err := daemon.New(set, hclog.NewNullLogger())
		if err != nil {
			return err
		}
		defer free()
		all = append(all, d)
	}
	if len(all) == 0 {
		return &Failed{Msg: "no settings of daemons in " + c.String("dir")}
	}
	run, stop := context.WithCancel(ctx)
	g, run := errgroup.WithContext(run)
	for _, d := range all {
		g.Go(func() error { return d.Start(run) })
	}
	defer func() {
		stop()
		err = errors.Join(err, g.Wait())
	}()
	if err := settle(run, c.String("note"), all); err != nil {
		return err
	}
	out, err := os.OpenFile(c.String("out"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("write windows: %w", err)
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	for _, phase := range []string{"idle", "load"} {
		if err := os.WriteFile(filepath.Join(c.String("dir"), "phase"), []byte(phase), 0o644); err != nil {
			return fmt.Errorf("write phase: %w", err)
		}
		if err := timer.Wait(run, c.Duration("settle")); err != nil {
			return err
		}
		if file := c.String("profile"); file != "" {
			f, err := os.Create(file + "-" + phase)
			if err != nil {
				return fmt.Errorf("write profile: %w", err)
			}
			if err := pprof.StartCPUProfile(f); err != nil {
				return fmt.Errorf("write profile: %w", err)
			}
		}
		for range c.Int("windows") {
			w, err := measure(run, c, platform, all, phase)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(out).Encode(w); err != nil {
				return fmt.Errorf("write windows: %w", err)
			}
		}
		pprof.StopCPUProfile()
	}
	return os.WriteFile(filepath.Join(c.String("dir"), "phase"), []byte("end"), 0o644)
}

// settle applies the note and waits until every daemon has every group in its view and may use all of its own.
func settle(ctx context.Context, file string, all []*daemon.Daemon) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read release note: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	for {
		if _, err = all[0].Accept(ctx, "capacity", text); err == nil {
			break
		}
		if timer.Wait(ctx, 200*time.Millisecond) != nil {
			return err
		}
	}
	for {
		waits := ""
		for _, d := range all {
			s := d.Status()
			serving := 0
			for _, g := range s.Groups {
				if g.State == "serving" {
					serving++
				}
			}
			missing := 0
			for _, n := range s.MissingCopies {
				missing += n
			}
			if s.AppliedRevision == 0 || missing > 0 || serving == 0 || len(s.Daemons) < len(all) {
				waits = fmt.Sprintf("%s: revision %d, %d groups serving, %d missing, %d daemons known", s.Daemon, s.AppliedRevision, serving, missing, len(s.Daemons))
			}
		}
		if waits == "" {
			return nil
		}
		if timer.Wait(ctx, 500*time.Millisecond) != nil {
			return &Failed{Msg: "fleet does not settle: " + waits}
		}
	}
}

// drive sends requests of all chat works at a steady rate while the phase is "load".
func drive(ctx context.Context, c *cli.Command) error {
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
	var addrs addresses
	b, err := os.ReadFile(filepath.Join(c.String("dir"), "addresses.json"))
	if err != nil {
		return fmt.Errorf("read addresses: %w", err)
	}
	if err := json.Unmarshal(b, &addrs); err != nil {
		return fmt.Errorf("decode addresses: %w", err)
	}
	var works, names []string
	for name, w := range cfg.WorkKinds {
		if _, ok := cfg.ModelServices[w.Service]; ok {
			works = append(works, name)
		}
	}
	for name := range cfg.Organisations {
		names = append(names, name)
	}
	slices.Sort(works)
	slices.Sort(names)
	tick, stop := timer.Every(time.Duration(float64(time.Second)/c.Float("rate")), 0)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(4096)
	var t tally
	for i := 0; ; i++ {
		phase, err := os.ReadFile(filepath.Join(c.String("dir"), "phase"))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("read phase: %w", err)
		}
		if string(phase) == "end" {
			break
		}
		if string(phase) == "load" {
			for k, d := range addrs.Daemons {
				g.TryGo(func() error {
					err := sendChat(ctx, d.Caller, names[(i+k)%len(names)], works[(i+k/3)%len(works)], cfg, i)
					t.mu.Lock()
					defer t.mu.Unlock()
					if err != nil {
						t.bad++
						t.reason = err.Error()
					} else {
						t.ok++
					}
					return nil
				})
			}
		}
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-tick:
		}
	}
	err = g.Wait()
	fmt.Printf("%d requests answered, %d failed %s\n", t.ok, t.bad, t.reason)
	return err
}

// tally counts what came back.
type tally struct {
	mu      sync.Mutex
	ok, bad int
	reason  string
}

// sendChat sends one short chat of a kind of work and checks that an answer comes back.
func sendChat(ctx context.Context, addr netip.AddrPort, org, work string, cfg note.Config, i int) error {
	body, err := json.Marshal(engine.ChatRequest{
		Model: cfg.WorkKinds[work].Service, MaxTokens: 8,
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("summary of bull %s-%s-%d", org, work, i)}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", bytes.NewReader(body))
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
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &Failed{Msg: fmt.Sprintf("status %d: %s", resp.StatusCode, b)}
	}
	return err
}

// trend is a least-squares line of a figure over the number of daemons.
type trend struct {
	Phase  string  `json:"phase"`
	Figure string  `json:"figure"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Error is the standard error of the slope, At the value of the trend at the size asked for and Spread the standard
	// error of that value.
	Error  float64 `json:"error"`
	At     float64 `json:"at"`
	Spread float64 `json:"spread"`
}

func fitLine(x, y []float64, at float64) (l trend) {
	n := float64(len(x))
	var mx, my, sxx, sxy, rest float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	if sxx == 0 {
		return trend{Base: my, At: my}
	}
	l.Slope = sxy / sxx
	l.Base = my - l.Slope*mx
	for i := range x {
		d := y[i] - l.Base - l.Slope*x[i]
		rest += d * d
	}
	if n > 2 {
		s := math.Sqrt(rest / (n - 2))
		l.Error = s / math.Sqrt(sxx)
		l.Spread = s * math.Sqrt(1/n+(at-mx)*(at-mx)/sxx)
	}
	l.At = l.Base + l.Slope*at
	return l
}

// fit prints the means by size, and the lines over the size.
func fit(file string, at float64) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("read windows: %w", err)
	}
	defer func() { _ = f.Close() }()
	by := map[string][]window{}
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		var w window
		if err := json.Unmarshal(scan.Bytes(), &w); err != nil {
			return fmt.Errorf("decode window: %w", err)
		}
		by[w.Phase] = append(by[w.Phase], w)
	}
	var lines []trend
	for _, phase := range []string{"idle", "load"} {
		list := by[phase]
		slices.SortStableFunc(list, func(a, b window) int { return cmp.Compare(a.Daemons, b.Daemons) })
		var sizes []int
		for _, w := range list {
			sizes = append(sizes, w.Daemons)
		}
		sizes = slices.Compact(sizes)
		fmt.Printf("%-16s", phase)
		for _, n := range sizes {
			fmt.Printf(" %9d", n)
		}
		fmt.Printf(" %22s %22s\n", "slope by 100 daemons", fmt.Sprintf("at %.0f", at))
		for _, col := range columns {
			var x, y []float64
			fmt.Printf("%-16s", col.name)
			for _, n := range sizes {
				sum, count := 0.0, 0.0
				for _, w := range list {
					if w.Daemons == n {
						x, y = append(x, float64(n)), append(y, col.of(w))
						sum += col.of(w)
						count++
					}
				}
				fmt.Printf(" %9.3f", sum/count)
			}
			l := fitLine(x, y, at)
			l.Phase, l.Figure = phase, col.name
			lines = append(lines, l)
			fmt.Printf(" %13.3f ±%7.3f %13.3f ±%7.3f\n", 100*l.Slope, 100*l.Error, l.At, l.Spread)
		}
		fmt.Println()
	}
	b, err := json.MarshalIndent(lines, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(file, ".jsonl")+".json", b, 0o644)
}
