package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// Plain is an in-memory plain service. It answers every call and records each as run.
type Plain struct {
	id   string
	took time.Duration
	mu   sync.Mutex
	runs []Run
}

// NewPlain returns a plain service whose calls take some time.
func NewPlain(id string, took time.Duration) *Plain { return &Plain{id: id, took: took} }

func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/control/runs" {
		p.mu.Lock()
		defer p.mu.Unlock()
		reply(w, http.StatusOK, p.runs)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	p.mu.Lock()
	p.runs = append(p.runs, Run{Attempt: id, Instance: p.id, Start: time.Now(), Call: r.Method + " " + r.URL.Path, Key: r.Header.Get("Idempotency-Key")})
	p.mu.Unlock()
	if timer.Wait(r.Context(), p.took) != nil {
		return
	}
	w.Header().Set(engine.HeaderAttempt, id)
	reply(w, http.StatusOK, map[string]string{"confirmed": string(body)})
}
