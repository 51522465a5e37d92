package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/timer"
)

const (
	modelService = "desk"
	model        = "m1"
	joinTime     = 200 * time.Millisecond
	formTime     = 300 * time.Millisecond
)

// modelServer is a backend server that may be a member of a model group.
type modelServer struct {
	f        *fleet
	srv      *http.Server
	id, addr string
	zone     string
	born     int64
	// stream answers a request at an open head.
	stream func(s *modelServer, w http.ResponseWriter, r *http.Request)

	mu               sync.Mutex
	beats, orders    int
	fence, epochSeen int64
	staged           []string
	group            *membership
	members          []string
	running          int
	// left is set once the server has left the store.
	left bool
	// gone is closed when the present membership ends.
	gone chan struct{}

	connsMu sync.Mutex
	conns   map[net.Conn]struct{}
}

type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	FencingToken *int64   `json:"fencingToken"`
	Expected     *int     `json:"expected"`
}

// addModel starts a backend server of the model service.
func (f *fleet) addModel(ctx context.Context, id, zone string, stream func(s *modelServer, w http.ResponseWriter, r *http.Request)) (*modelServer, error) {
	l, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &modelServer{f: f, id: id, addr: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), stream: stream, conns: map[net.Conn]struct{}{}, staged: []string{}, gone: make(chan struct{})}
	f.modelsMu.Lock()
	f.models[id] = s
	f.modelsMu.Unlock()
	s.serve(l)
	s.mu.Lock()
	s.renew()
	s.mu.Unlock()
	f.repeat(ctx, beat, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.renew()
	})
	return s, nil
}

func (s *modelServer) serve(l net.Listener) {
	s.srv = s.f.serveWith(l, &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) {
		s.connsMu.Lock()
		defer s.connsMu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
		} else {
			s.conns[c] = struct{}{}
		}
	}})
}

// reset has all connections end with a reset, and new ones refused.
func (s *modelServer) reset() {
	s.connsMu.Lock()
	n := len(s.conns)
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closing it sends a reset
		}
	}
	s.connsMu.Unlock()
	_ = s.srv.Close()
	s.f.write("%s: %d connections are reset", s.id, n)
}

// listenAgain ends a cut.
func (s *modelServer) listenAgain() error {
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.serve(l)
	return nil
}

// self is what the server says of itself. s.mu is held.
func (s *modelServer) self() map[string]any {
	models := []any{}
	out := map[string]any{"stage": "colocated", "domain": "d1", "staged": s.staged, "born": s.born, "coldRemainingMs": 0}
	if s.group != nil {
		g := *s.group
		out["group"] = g
		if g.State != "joining" {
			models = append(models, map[string]any{"name": model, "version": 1, "adapters": []any{}})
		}
	}
	out["models"] = models
	return out
}

// entry is the entry in the store. s.mu is held.
func (s *modelServer) entry() map[string]any {
	out := s.self()
	out["service"], out["address"], out["zone"], out["version"], out["slots"], out["state"], out["sequence"] = modelService, s.addr, s.zone, "1", 16, "ready", s.beats
	return out
}

// renew writes the entry. s.mu is held.
func (s *modelServer) renew() {
	if s.left {
		return
	}
	s.beats++
	text, _ := json.Marshal(s.entry()) // never fails
	s.f.store.Put("servers", s.id, text)
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Flamingorudder-Instance-Id", s.id)
	if t := r.Header.Get("X-Flamingorudder-Target-Instance"); t != "" && t != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	switch {
	case r.URL.Path == "/health":
	case r.URL.Path == "/api/report":
		s.mu.Lock()
		out := s.self()
		out["busy"], out["sequence"], out["waiting"], out["running"], out["kvUsed"], out["kvTotal"], out["handles"], out["pace"] = false, s.orders, 0, s.running, 0, 1400000, 0, 1
		s.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	case r.URL.Path == "/api/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		before := s.f.openGroup(s)
		status := s.obey(o)
		if status == http.StatusAccepted && o.Operation == "join" && before != nil && before.Name != o.Group {
			s.f.doubled.Add(1)
			s.f.write("%s takes a join of group %s in epoch %d while the head of its group %s is open", s.id, o.Group, o.Epoch, before.Name)
		}
		w.WriteHeader(status)
	case id == "":
		h.Set("X-Flamingorudder-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		h.Set("X-Flamingorudder-Request-Id", id)
		s.mu.Lock()
		head, open := s.group != nil && s.group.Rank == 0, s.group != nil && s.group.State == "open"
		if head && open {
			s.running++
		}
		gone := s.gone
		s.mu.Unlock()
		switch {
		case !head:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case !open:
			h.Set("X-Flamingorudder-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			s.f.tasks.Go(func() error {
				select {
				case <-gone:
					cancel() // the work of the membership ends with it
				case <-ctx.Done():
				}
				return nil
			})
			defer func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.running--
				s.finishClose()
			}()
			s.stream(s, w, r.WithContext(ctx))
			if ctx.Err() != nil {
				panic(http.ErrAbortHandler) // the stream is broken off
			}
		}
	}
}

// end ends the membership. s.mu is held.
func (s *modelServer) end() {
	s.group, s.members = nil, nil
	close(s.gone)
	s.gone = make(chan struct{})
}

// finishClose returns a head that closes to ready once its work is done. s.mu is held.
func (s *modelServer) finishClose() {
	if s.group != nil && s.group.State == "closing" && s.running == 0 {
		s.group.State = "ready"
		s.renew()
	}
}

// openGroup returns the group of a backend server if its head is open in it, or else nil.
func (f *fleet) openGroup(s *modelServer) *membership {
	s.mu.Lock()
	group, members := s.group, s.members
	s.mu.Unlock()
	if group == nil || len(members) == 0 {
		return nil
	}
	f.modelsMu.Lock()
	head := f.models[members[0]]
	f.modelsMu.Unlock()
	head.mu.Lock()
	defer head.mu.Unlock()
	if g := head.group; g == nil || g.Name != group.Name || g.Epoch != group.Epoch || g.Rank != 0 || g.State != "open" {
		return nil
	}
	return group
}

// obey carries out an order and returns the status of the answer.
func (s *modelServer) obey(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.FencingToken != nil {
		if *o.FencingToken < s.fence {
			return http.StatusPreconditionFailed
		}
		s.fence = *o.FencingToken
	}
	mine := s.group != nil && s.group.Name == o.Group && s.group.Epoch == o.Epoch
	begin := func() bool {
		if o.Expected != nil && *o.Expected != s.orders {
			return false
		}
		s.orders++
		return true
	}
	later := func(wait time.Duration, g *membership, state string) {
		timer.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.group == g {
				g.State = state
				s.renew()
			}
		})
	}
	switch o.Operation {
	case "join":
		switch {
		case o.Epoch < s.epochSeen || mine && !slices.Equal(o.Members, s.members):
			return http.StatusPreconditionFailed
		case mine:
			return http.StatusOK
		case !begin():
			return http.StatusConflict
		}
		s.end()
		s.epochSeen, s.members = o.Epoch, o.Members
		s.group = &membership{o.Group, o.Epoch, slices.Index(o.Members, s.id), "joining"}
		s.staged = []string{o.Model}
		later(joinTime, s.group, "ready")
	case "open":
		switch {
		case !mine || s.group.Rank != 0 || s.group.State == "joining":
			return http.StatusConflict
		case s.group.State == "open":
			return http.StatusOK
		case !begin():
			return http.StatusConflict
		}
		later(formTime, s.group, "open")
	case "close":
		if !mine {
			return http.StatusOK
		}
		if !begin() {
			return http.StatusConflict
		}
		s.group.State = "closing"
		s.finishClose()
	case "leave":
		if !mine {
			return http.StatusOK
		}
		if !begin() {
			return http.StatusConflict
		}
		s.end()
	case "stage":
		if slices.Contains(s.staged, o.Model) {
			return http.StatusOK
		}
		if !begin() {
			return http.StatusConflict
		}
		s.staged = []string{o.Model}
	default:
		return http.StatusBadRequest
	}
	s.renew()
	return http.StatusAccepted
}

// events answers with a stream whose ids rise by step, after the event that the request names.
func (s *modelServer) events(w http.ResponseWriter, r *http.Request, count, step int, pause time.Duration) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	after := 0
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &after)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Flamingorudder-Response-Signature", "signed-by-"+s.id)
	h.Set("X-Flamingorudder-Weight-Versions", "1")
	for n := 1; n <= count; n++ {
		if n*step <= after {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n*step, n, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if timer.Wait(r.Context(), pause) != nil {
			return
		}
	}
}

// streamingRoute returns a route for streams.
func streamingRoute(name, to string, resume bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 500, "targetGapMs": 300, "priority": 0,
		"service": to, "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "streamResume": resume,
	}
}

// modelConfig returns a configuration with streams of a model beside the routes of plainConfig.
func modelConfig(version, size int, resume bool) map[string]any {
	c := plainConfig(version)
	c["routes"] = append(c["routes"].([]any), streamingRoute("talk", modelService, resume))
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": modelService, "healthPath": "/health", "maxConnections": 404, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 26, "kvTokens": 1400000, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
			"report_lag_ms": 200.0, "loadsPerS": 4.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 1076, "answer": 116}, "retainCount": 1, "far_x": 4.0, "formMs": 300.0,
			"models": []any{map[string]any{"name": model, "size": size, "share": 1.0, "pace": 1.0, "loadS": 1.0, "warmS": 0.2}},
		},
	})
	return c
}

// awaitGroups waits until so many groups are open.
func awaitGroups(ctx context.Context, servers []*modelServer, n int) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); _ = timer.Wait(ctx, 50*time.Millisecond) {
		open := 0
		for _, s := range servers {
			s.mu.Lock()
			if s.group != nil && s.group.Rank == 0 && s.group.State == "open" {
				open++
			}
			s.mu.Unlock()
		}
		if open >= n {
			return nil
		}
	}
	return fmt.Errorf("no %d groups are open", n)
}
