package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// EngineSpec is how an engine behaves.
type EngineSpec struct {
	ID    string
	Slots int
	// First and Token are the time to the first token and between tokens.
	First, Token time.Duration
	// Load is the time that an order to load takes.
	Load time.Duration
	// Fencing is whether the engine refuses orders with a lower fencing token.
	Fencing bool
}

// Run is the record of one request that an engine or plain service ran.
type Run struct {
	Attempt    string    `json:"attempt"`
	Instance   string    `json:"instance"`
	Group      string    `json:"group,omitempty"`
	Generation uint64    `json:"generation,omitempty"`
	Start      time.Time `json:"start"`
	Tokens     int       `json:"tokens,omitempty"`
	Call       string    `json:"call,omitempty"`
	Key        string    `json:"key,omitempty"`
}

// Engine is an in-memory model engine.
type Engine struct {
	spec EngineSpec

	mu      sync.Mutex
	state   engine.State
	ready   time.Time
	running int
	runs    []Run
	mux     *http.ServeMux
}

// NewEngine returns an engine that has nothing loaded.
func NewEngine(s EngineSpec) *Engine {
	e := &Engine{spec: s, state: engine.State{Instance: s.ID}, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("POST /order", e.order)
	e.mux.HandleFunc("GET /state", e.report)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /control/runs", e.listRuns)
	return e
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) now() engine.State {
	s := e.state
	s.Loaded = s.Group != "" && !time.Now().Before(e.ready)
	return s
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c engine.Chat
	if !decode(w, r, &c) {
		return
	}
	id := r.Header.Get(engine.HeaderAttempt)
	generation, _ := strconv.ParseUint(r.Header.Get(engine.HeaderGeneration), 10, 64)
	e.mu.Lock()
	s := e.now()
	switch {
	case s.Group != r.Header.Get(engine.HeaderGroup) || s.Generation != generation || !s.Loaded:
		e.mu.Unlock()
		reply(w, http.StatusConflict, engine.Refused{Reason: "generation"})
		return
	case e.running >= e.spec.Slots:
		e.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, engine.Refused{Reason: "busy"})
		return
	}
	e.running++
	e.runs = append(e.runs, Run{Attempt: id, Instance: e.spec.ID, Group: s.Group, Generation: s.Generation, Start: time.Now()})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()

	w.Header().Set(engine.HeaderAttempt, id)
	w.Header().Set("Content-Type", "text/event-stream")
	words := strings.Fields(Answer(c))
	wait := e.spec.First
	for i, word := range words {
		if timer.Wait(r.Context(), wait) != nil {
			return
		}
		wait = e.spec.Token
		b, _ := json.Marshal(engine.Chunk{ID: id, Index: i, Text: word + " ", Done: i == len(words)-1})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// Answer is the text that every stand-in engine gives for a chat; it depends only on the request, so that a check can
// tell whether a caller got the whole answer to its own request.
func Answer(c engine.Chat) string {
	n := c.MaxTokens
	if n <= 0 {
		n = 16
	}
	prompt := ""
	if len(c.Messages) > 0 {
		prompt = c.Messages[len(c.Messages)-1].Content
	}
	words := make([]string, n)
	for i := range words {
		words[i] = "w" + strconv.Itoa(i)
	}
	if f := strings.Fields(prompt); len(f) > 0 {
		words[0] = f[len(f)-1]
	}
	return strings.Join(words, " ")
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.Fencing && o.Fence < e.state.Fence {
		reply(w, http.StatusConflict, engine.Fenced{Fence: e.state.Fence})
		return
	}
	switch o.Op {
	case engine.OpLoad:
		e.state = engine.State{Instance: e.spec.ID, Group: o.Group, Generation: o.Generation, Fence: o.Fence, Index: o.Index, Model: o.Model, Version: o.Version}
		e.ready = time.Now().Add(e.spec.Load)
	case engine.OpUnload:
		e.state = engine.State{Instance: e.spec.ID, Fence: o.Fence}
	}
	reply(w, http.StatusOK, struct{}{})
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.now())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.now()
	reply(w, http.StatusOK, engine.Load{Group: s.Group, Generation: s.Generation, Present: s.Loaded, Running: e.running, Slots: e.spec.Slots, TokenMillis: float64(e.spec.Token) / float64(time.Millisecond), At: time.Now()})
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.runs)
}
