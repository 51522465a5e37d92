package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"flamingorudder.example/internal/timer"
)

const service = "ledger"

// plainServer is a backend server of a plain service.
type plainServer struct {
	id, addr string
	born     int64
	handle   http.HandlerFunc
	mu       sync.Mutex
	runs     map[string]int
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	h := w.Header()
	h.Set("X-Flamingorudder-Instance-Id", s.id)
	if t := r.Header.Get("X-Flamingorudder-Target-Instance"); t != "" && t != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/api/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"colocated","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"born":%d}`, s.born)
		return
	}
	if id == "" {
		h.Set("X-Flamingorudder-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Flamingorudder-Request-Id", id)
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	s.answer(w, r)
}

// run counts a run of a request.
func (s *plainServer) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// answer runs a request.
func (s *plainServer) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	s.run(id)
	_, _ = io.Copy(io.Discard, r.Body)
	if timer.Wait(r.Context(), 20*time.Millisecond) != nil {
		return
	}
	w.Header().Set("X-Flamingorudder-Response-Signature", "signed-by-"+s.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// addPlain starts a backend server of the plain service.
func (f *fleet) addPlain(ctx context.Context, id, zone string) (*plainServer, error) {
	l, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &plainServer{id: id, addr: l.Addr().String(), born: time.Now().UnixMilli(), runs: map[string]int{}}
	f.serve(l, s)
	f.register(ctx, id, map[string]any{"service": service, "address": s.addr, "zone": zone, "version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "born": s.born})
	return s, nil
}

// plainConfig returns a configuration with a safe and an unsafe route to the plain service, and one that needs no key.
func plainConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "read", "host": host, "prefix": "/read/", "kind": "safe", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 2, "allowAnonymous": false},
			map[string]any{"name": "open", "host": host, "prefix": "/open/", "kind": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 1, "allowAnonymous": true},
			map[string]any{"name": "write", "host": host, "prefix": "/write/", "kind": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 0, "service": service, "maxAttempts": 1, "allowAnonymous": false},
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "north", "apiKeys": []string{key}, "priority": 1}},
	}
}
