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
	id      string
	took    time.Duration
	control Control
	mux     *http.ServeMux
	mu      sync.Mutex
	runs    []Run
}

// NewPlain returns a plain service whose calls take some time.
func NewPlain(id string, took time.Duration) *Plain {
	p := &Plain{id: id, took: took, mux: http.NewServeMux()}
	p.control.effect = func(*http.Request) (bool, bool) { return true, true }
	p.mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Record()) })
	p.mux.HandleFunc("/", p.call)
	return p
}

// Control returns the faults of the service.
func (p *Plain) Control() *Control { return &p.control }

// Record returns what the service really ran.
func (p *Plain) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Record{Runs: copied(p.runs), Spans: []Span{}, Commits: []Commit{}}
}

func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.control.serve(w, r, p.mux) }

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	p.mu.Lock()
	n := len(p.runs)
	p.runs = append(p.runs, Run{Attempt: id, Instance: p.id, Start: now(), Call: r.Method + " " + r.URL.Path, Key: r.Header.Get("Idempotency-Key")})
	p.mu.Unlock()
	// The call runs to its end even when its client has left.
	err = timer.Wait(r.Context(), p.control.straggle(p.took))
	p.mu.Lock()
	p.runs[n].End, p.runs[n].Ended = now(), EndDone
	p.mu.Unlock()
	if err != nil {
		return
	}
	w.Header().Set(engine.HeaderAttempt, id)
	reply(w, http.StatusOK, map[string]string{"confirmed": string(body)})
}
