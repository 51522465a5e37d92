package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Names in the configuration of a case with model runners.
const (
	Desk    = "desk"
	Model   = "model-one"
	Talking = "/talk/"
)

// Times of model runners, shorter than those of the small installations.
const (
	loading = 500 * time.Millisecond
	forming = 300 * time.Millisecond
	// again is how soon a runner writes its entry again that the store has not taken.
	again = 500 * time.Millisecond
)

// PutModelConfig writes a configuration with one route to one model service, whose groups have so many members. The route's requests are
// answered by streams that may not be resumed.
func (s *Stage) PutModelConfig(version, size int, timeout time.Duration) error {
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "talk", "host": Host, "prefix": Talking, "kind": "streaming", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 500, "targetGapMs": 300,
			"priority": 1, "service": Desk, "maxAttempts": 2, "sessionAffinity": true, "streamResume": false,
		}},
		"services": []map[string]any{{"name": Desk, "healthPath": "/health", "maxConnections": 404, "engine": map[string]any{
			"slots": 26, "kvTokens": 1400000, "models": []map[string]any{{"name": Model, "size": size, "share": 1, "pace": 1, "loadS": loading.Seconds(), "warmS": loading.Seconds()}},
			"stride": 8, "step_ms": 6.07, "per_seq_ms": 0.241, "read_per_s": 46000, "chunk": 2048, "loadsPerS": 4, "loads_at_once": 6, "usual": map[string]any{"prompt": 1076, "answer": 116}, "formMs": forming.Milliseconds(),
		}}},
		"limits":  map[string]int{"maxHeaderBytes": MaxHeaderBytes, "maxBodyBytes": MaxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": Tenant, "apiKeys": []string{Key}}},
	})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	s.Store.Put("op", "config", text)
	s.Record.Printf("the operator writes configuration %d", version)
	return nil
}

// membership is the group of a model runner, as it tells it.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Engine is a model runner. Each request that it runs is answered with a stream of events.
type Engine struct {
	ID     string
	Addr   netip.AddrPort
	stage  *Stage
	domain string
	born   int64
	// events is the number of events of an answer, pause the time between two.
	events int
	pause  time.Duration

	mu sync.Mutex
	// beats counts the entries written, sequence the orders begun. fence and epoch are the highest seen.
	beats, sequence, fence, epoch int64
	staged                        []string
	group                         *membership
	busy, gone                    bool
	running                       int
	// left ends the work of the present membership.
	left  context.Context
	leave context.CancelFunc
	// write asks for the entry to be written at once.
	write chan struct{}
}

// AddEngine starts a model runner of a domain, and writes its entry until ctx ends or it has left.
func (s *Stage) AddEngine(ctx context.Context, id, domain string, events int, pause time.Duration) (*Engine, error) {
	e := &Engine{ID: id, stage: s, domain: domain, born: time.Now().UnixMilli(), events: events, pause: pause, write: make(chan struct{}, 1)}
	e.left, e.leave = context.WithCancel(context.Background())
	var err error
	if e.Addr, err = s.Serve(e); err != nil {
		return nil, err
	}
	if err := e.writeEntry(ctx); err != nil {
		return nil, err
	}
	s.tasks.Go(func() error {
		ticks, stop := timer.Every(heartbeat, 0)
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticks:
			case <-e.write:
			}
			for ctx.Err() == nil && e.writeEntry(ctx) != nil {
				_ = timer.Wait(ctx, again) // the loop checks ctx
			}
		}
	})
	return e, nil
}

// status returns what the runner says of itself. e.mu is held.
func (e *Engine) status() map[string]any {
	out := map[string]any{"born": e.born, "domain": e.domain, "staged": e.staged, "models": []map[string]any{}, "group": e.group, "stage": "colocated"}
	if e.group != nil && e.group.State != "joining" {
		out["models"] = []map[string]any{{"name": Model, "version": 1, "adapters": []string{}}}
	}
	return out
}

func (e *Engine) writeEntry(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return nil
	}
	e.beats++
	entry := e.status()
	entry["service"], entry["address"], entry["zone"], entry["version"], entry["slots"] = Desk, e.Addr.String(), "rosario-a", "v1", 26
	entry["state"], entry["coldRemainingMs"], entry["sequence"] = "ready", 0, e.beats
	text, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode the entry of %s: %w", e.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = e.stage.runners.Commit(ctx, platform.Tx{Write: []platform.Row{{Table: platform.TableServers, Key: e.ID, Value: text}}})
	return err
}

// Remove removes the entry of the runner, which goes on serving.
func (e *Engine) Remove(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	_, err := e.stage.runners.Commit(ctx, platform.Tx{Remove: []platform.Row{{Table: platform.TableServers, Key: e.ID}}})
	e.stage.Record.Printf("runner %s leaves: the store has acknowledged that its entry is removed; it works on %d requests", e.ID, e.running)
	return err
}

// Serving returns the name of the group that the runner is the open head of, and the number of requests that it works on.
func (e *Engine) Serving() (group string, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil || e.group.Rank != 0 || e.group.State != "open" {
		return "", 0
	}
	return e.group.Name, e.running
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Flamingorudder-Target-Instance") != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		out := e.status()
		out["busy"], out["sequence"], out["waiting"], out["running"], out["kvUsed"], out["kvTotal"], out["handles"] = e.busy, e.sequence, 0, e.running, 0, 1400000, 0
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(out) // the daemon may have left
	case "/api/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

// order carries an order out.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string   `json:"operation"`
		Group        string   `json:"group"`
		Epoch        int64    `json:"epoch"`
		Model        string   `json:"model"`
		Members      []string `json:"members"`
		FencingToken int64    `json:"fencingToken"`
		Expected     *int64   `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	status := http.StatusAccepted
	switch {
	case o.FencingToken < e.fence || o.Operation == "join" && o.Epoch < e.epoch:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case o.Operation == "join" && mine, o.Operation == "leave" && !mine, o.Operation == "stage" && slices.Contains(e.staged, o.Model):
		status = http.StatusOK
	case o.Operation == "join":
		e.drop()
		e.epoch = o.Epoch
		e.group = &membership{o.Group, o.Epoch, slices.Index(o.Members, e.ID), "joining"}
		e.after(loading, "joining", "ready")
	case o.Operation == "open" && mine && e.group.State == "ready":
		e.after(forming, "ready", "open")
	case o.Operation == "close" && mine && e.group.State == "open":
		e.group.State = "closing"
	case o.Operation == "leave":
		e.drop()
		status = http.StatusOK
	case o.Operation == "stage":
		e.staged = []string{o.Model}
	default:
		status = http.StatusConflict
	}
	e.fence = max(e.fence, o.FencingToken)
	if status == http.StatusAccepted {
		e.sequence++
	}
	e.stage.Record.Printf("order to runner %s: %s, group %s, fence %d: status %d; it works on %d requests", e.ID, o.Operation, o.Group, o.FencingToken, status, e.running)
	e.changed()
	w.WriteHeader(status)
}

// drop ends the membership and all work of it, at once. e.mu is held.
func (e *Engine) drop() {
	e.leave()
	e.left, e.leave = context.WithCancel(context.Background())
	e.group = nil
}

// after changes the state of the present membership after a while. e.mu is held.
func (e *Engine) after(d time.Duration, from, to string) {
	left := e.left
	e.stage.tasks.Go(func() error {
		if timer.Wait(left, d) != nil {
			return nil
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if left.Err() == nil && e.group.State == from {
			e.group.State = to
			e.staged = []string{Model}
			e.changed()
		}
		return nil
	})
}

func (e *Engine) changed() {
	select {
	case e.write <- struct{}{}:
	default: // it will be written
	}
}

// run answers a request with a stream of events.
func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	w.Header().Set("X-Flamingorudder-Request-Id", id)
	e.mu.Lock()
	switch {
	case e.group == nil || e.group.Rank != 0:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.group.State != "open":
		e.mu.Unlock()
		w.Header().Set("X-Flamingorudder-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	left, group := e.left, e.group.Name
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	e.stage.Record.Printf("runner %s, head of %s, runs %s", e.ID, group, id)
	w.Header().Set("X-Flamingorudder-Response-Signature", "3e1b.07.5a2")
	w.Header().Set("Content-Type", "text/event-stream")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(left, cancel)()
	for n := 1; n <= e.events; n++ {
		if timer.Wait(ctx, e.pause) != nil {
			e.stage.Record.Printf("runner %s stops its work on %s after event %d of %d, as it has left its group: %v", e.ID, id, n-1, e.events, left.Err() != nil)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %d for %s\n\n", n, n, e.events, id)
		_ = http.NewResponseController(w).Flush() // the daemon may have left
	}
	e.stage.Record.Printf("runner %s has answered %s", e.ID, id)
}
