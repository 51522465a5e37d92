package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Route is a route of the configuration, as operators write it.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

// Service is a plain service of the configuration.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

// Names in the configuration of a case.
const (
	Host    = "ledger.example"
	Key     = "key-one"
	Tenant  = "one"
	Ledger  = "ledger"
	Reading = "/read/"
	Writing = "/write/"
)

// Limits of the small installations.
const (
	MaxHeaderBytes = 16384
	MaxBodyBytes   = 4194304
)

// PutConfig writes a configuration with the limits of the small installations: a safe and an unsafe route to one plain service.
func (s *Stage) PutConfig(version int, timeout time.Duration) error {
	ms := float64(timeout.Milliseconds())
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []Route{
			{"read", Host, Reading, "safe", ms, 300, 2, Ledger, 2},
			{"write", Host, Writing, "unsafe", ms, 300, 2, Ledger, 2},
		},
		"services": []Service{{Ledger, "/health", 100}},
		"limits":   map[string]int{"maxHeaderBytes": MaxHeaderBytes, "maxBodyBytes": MaxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": Tenant, "apiKeys": []string{Key}}},
	})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	s.Store.Put("op", "config", text)
	s.Record.Printf("the operator writes configuration %d", version)
	return nil
}

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// Runner is a plain runner. It answers each request with its id and the number of its bytes, and records it.
type Runner struct {
	ID    string
	Addr  netip.AddrPort
	stage *Stage
	born  int64
	work  time.Duration
	// leave ends the heartbeats, left is closed when the last one has been written.
	leave  context.CancelFunc
	left   chan struct{}
	server *http.Server
	mu     sync.Mutex
	runs   map[string]int
	// working holds the requests under way.
	working map[string]bool
	// Late is called, if it isn't nil, with each request that comes after the entry was removed, and the time since.
	Late   func(id string, since time.Duration)
	goneAt time.Time
}

// AddRunner starts a plain runner that works for so long on each request, and writes its entry until ctx ends.
func (s *Stage) AddRunner(ctx context.Context, id string, work time.Duration) (*Runner, error) {
	r := &Runner{ID: id, stage: s, born: time.Now().UnixMilli(), work: work, left: make(chan struct{}), runs: map[string]int{}, working: map[string]bool{}}
	var err error
	if r.Addr, r.server, err = s.serve(r); err != nil {
		return nil, err
	}
	ctx, r.leave = context.WithCancel(ctx)
	sequence := 0
	beat := func() error {
		sequence++
		value := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"rosario-a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`, Ledger, r.Addr, sequence, r.born)
		_, err := s.runners.Commit(context.WithoutCancel(ctx), platform.Tx{Write: []platform.Row{{Table: platform.TableServers, Key: id, Value: value}}})
		return err
	}
	if err := beat(); err != nil {
		return nil, err
	}
	s.Record.Printf("runner %s is ready at %v", id, r.Addr)
	s.tasks.Go(func() error {
		defer close(r.left)
		for timer.Wait(ctx, heartbeat) == nil {
			if err := beat(); err != nil {
				s.Fail(err)
			}
		}
		return nil
	})
	return r, nil
}

// Remove removes the entry of the runner, which goes on serving.
func (r *Runner) Remove(ctx context.Context) error {
	r.leave()
	<-r.left
	_, err := r.stage.runners.Commit(ctx, platform.Tx{Remove: []platform.Row{{Table: platform.TableServers, Key: r.ID}}})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.goneAt = time.Now()
	r.mu.Unlock()
	r.stage.Record.Printf("runner %s leaves: the store has acknowledged that its entry is removed", r.ID)
	return nil
}

// End ends the runner, as soon as it works on something or when the patience is over, and returns the requests that it has not finished.
func (r *Runner) End(ctx context.Context, patience time.Duration) (unfinished []string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for len(unfinished) == 0 && timer.Wait(ctx, time.Millisecond) == nil {
		r.mu.Lock()
		unfinished = slices.Collect(maps.Keys(r.working))
		r.mu.Unlock()
	}
	_ = r.server.Close() // what it still works on is lost
	r.stage.Record.Printf("runner %s ends, while it works on %v", r.ID, unfinished)
	return unfinished
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/api/report" {
		_, _ = fmt.Fprintf(w, `{"stage":"colocated","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":0,"handles":0,"born":%d}`, r.born)
		return
	}
	id := req.Header.Get("X-Flamingorudder-Request-Id")
	w.Header().Set("X-Flamingorudder-Request-Id", id)
	if req.Header.Get("X-Flamingorudder-Target-Instance") != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return // the daemon has left
	}
	r.mu.Lock()
	r.runs[id]++
	r.working[id] = true
	goneAt := r.goneAt
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.working, id)
	}()
	r.stage.Record.Printf("runner %s runs %s %s %s, body of %d bytes", r.ID, id, req.Method, req.RequestURI, n)
	if r.Late != nil && !goneAt.IsZero() {
		r.Late(id, time.Since(goneAt))
	}
	if timer.Wait(req.Context(), r.work) != nil {
		return // the daemon has left
	}
	w.Header().Set("X-Flamingorudder-Response-Signature", "3e1b.07.5a2")
	_, _ = fmt.Fprintf(w, "%s has %d bytes\n", id, n)
}

// Runs returns how often the runner has run a request.
func (r *Runner) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Ask sends a small request on a new channel and returns its status, or 0 with the error.
func (s *Stage) Ask(to netip.AddrPort, prefix, id string, limit time.Duration) (int, error) {
	c, err := net.DialTimeout("tcp4", to.String(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }() // the answer has been read or is given up
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, Head("POST", prefix, id, limit)+"Content-Length: 5\r\n\r\nhello"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // its connection is closed too
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Head returns the request line and the headers of every request, without the empty line.
func Head(method, path, id string, limit time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, path, Host, id, limit.Milliseconds(), Key)
}
