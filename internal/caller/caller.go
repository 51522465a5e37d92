// Package caller is the HTTP interface towards callers.
//
// It owns each request from its first byte to its last: it authenticates the organisation, finds the kind of work,
// asks for a slot, sends the attempt and relays the answer. Every response names the request and says whether it was
// run. No state outlives a request.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/note"
)

// Outcome tells whether a request was run.
type Outcome string

// Outcomes of a request, as the X-Outcome header says them.
const (
	NotRun  Outcome = "not-run"
	Run     Outcome = "run"
	Unknown Outcome = "unknown"
)

// Headers towards callers.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderOutcome  = "X-Outcome"
	HeaderWork     = "X-Work"
	HeaderDeadline = "X-Deadline"
	HeaderKey      = "Idempotency-Key"
)

// maxBody bounds the body of a request.
const maxBody = 1 << 20

// Failure is an answer other than success.
type Failure struct {
	Status     int
	Type       string
	Message    string
	RetryAfter time.Duration
	Outcome    Outcome
}

func (e *Failure) Error() string { return fmt.Sprintf("%s: %s", e.Type, e.Message) }

type configs interface{ Config() (note.Config, bool) }

type dispatcher interface {
	Acquire(ctx context.Context, q dispatch.Request) (dispatch.Slot, error)
}

type addresses interface {
	Addresses() ([]netip.AddrPort, time.Duration)
}

// Server answers callers.
type Server struct {
	config configs
	slots  dispatcher
	addrs  addresses
	engine *engine.Client
	plain  *http.Client
	mux    *http.ServeMux
}

// New returns a server.
func New(c configs, d dispatcher, a addresses, e *engine.Client) *Server {
	s := &Server{config: c, slots: d, addrs: a, engine: e, plain: &http.Client{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /v1/addresses", s.addresses)
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chat))
	s.mux.HandleFunc("/", s.handle(s.call))
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// request is what is known of a caller's request.
type request struct {
	id  string
	org string
	cfg note.Config
}

func (s *Server) handle(f func(w http.ResponseWriter, r *http.Request, q request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := request{id: uuid.NewString()}
		w.Header().Set(HeaderRequest, q.id)
		err := s.admit(r, &q)
		if err == nil {
			err = f(w, r, q)
		}
		if err != nil {
			fail(w, err)
		}
	}
}

// admit finds the organisation of a request.
func (s *Server) admit(r *http.Request, q *request) error {
	cfg, ok := s.config.Config()
	if !ok {
		return &Failure{Status: http.StatusServiceUnavailable, Type: "not_ready", Message: "no configuration has been received yet; use another address", RetryAfter: time.Second, Outcome: NotRun}
	}
	q.cfg = cfg
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return &Failure{Status: http.StatusUnauthorized, Type: "no_key", Message: "send Authorization: Bearer KEY", Outcome: NotRun}
	}
	hash := note.HashKey(key)
	for name, o := range cfg.Organisations {
		if slices.Contains(o.Keys, hash) {
			q.org = name
			return nil
		}
	}
	return &Failure{Status: http.StatusUnauthorized, Type: "unknown_key", Message: "the bearer key belongs to no organisation", Outcome: NotRun}
}

func fail(w http.ResponseWriter, err error) {
	var f *Failure
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &f):
	case errors.As(err, &refusal):
		f = &Failure{Status: http.StatusServiceUnavailable, Type: "refused", Message: refusal.Reason, RetryAfter: refusal.RetryAfter, Outcome: NotRun}
	default:
		f = &Failure{Status: http.StatusBadGateway, Type: "backend", Message: err.Error(), Outcome: Unknown}
	}
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	var body struct {
		Error struct {
			Type       string `json:"type"`
			Message    string `json:"message"`
			RetryAfter int64  `json:"retry_after_ms,omitempty"`
		} `json:"error"`
	}
	body.Error.Type, body.Error.Message, body.Error.RetryAfter = f.Type, f.Message, f.RetryAfter.Milliseconds()
	reply(w, f.Status, body)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if _, ok := s.config.Config(); !ok {
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) addresses(w http.ResponseWriter, _ *http.Request) {
	list, hold := s.addrs.Addresses()
	reply(w, http.StatusOK, map[string]any{"addresses": list, "hold_seconds": int(hold.Seconds())})
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, q request) error {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range q.cfg.Organisations[q.org].Services {
		if _, ok := q.cfg.Models[name]; ok {
			list = append(list, model{ID: name, Object: "model", Owner: "flamingorudder"})
		}
	}
	w.Header().Set(HeaderOutcome, string(Run))
	reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}

// work finds the kind of work of a request to a service: the one the caller names, else the most urgent of the service.
func (q request) work(r *http.Request, service string) (note.Work, error) {
	if !slices.Contains(q.cfg.Organisations[q.org].Services, service) {
		return note.Work{}, &Failure{Status: http.StatusForbidden, Type: "not_assigned", Message: fmt.Sprintf("organisation %s is not assigned to service %q", q.org, service), Outcome: NotRun}
	}
	if name := r.Header.Get(HeaderWork); name != "" {
		w, ok := q.cfg.Works[name]
		if !ok || w.Service != service {
			return note.Work{}, &Failure{Status: http.StatusBadRequest, Type: "unknown_work", Message: fmt.Sprintf("service %q has no kind of work %q", service, name), Outcome: NotRun}
		}
		return w, nil
	}
	best := note.Work{Rank: note.RankOvernight, Deadline: time.Minute}
	for _, w := range q.cfg.Works {
		if w.Service == service && w.Rank <= best.Rank {
			best = w
		}
	}
	return best, nil
}

func deadline(r *http.Request, now time.Time, def time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(def), nil
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(d), nil
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return t, nil
	}
	return time.Time{}, &Failure{Status: http.StatusBadRequest, Type: "bad_deadline", Message: HeaderDeadline + " is neither a duration such as 1500ms nor a time as in RFC 3339", Outcome: NotRun}
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, q request) error {
	var c engine.Chat
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&c); err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return &Failure{Status: http.StatusRequestEntityTooLarge, Type: "too_large", Message: fmt.Sprintf("the body is over %d bytes", tooLong.Limit), Outcome: NotRun}
		}
		return &Failure{Status: http.StatusBadRequest, Type: "bad_body", Message: "the body is not a chat request: " + err.Error(), Outcome: NotRun}
	}
	if _, ok := q.cfg.Models[c.Model]; !ok {
		return &Failure{Status: http.StatusNotFound, Type: "unknown_model", Message: fmt.Sprintf("there is no model service %q", c.Model), Outcome: NotRun}
	}
	work, err := q.work(r, c.Model)
	if err != nil {
		return err
	}
	due, err := deadline(r, time.Now(), work.Deadline)
	if err != nil {
		return err
	}
	slot, err := s.slots.Acquire(r.Context(), dispatch.Request{ID: q.id, Service: c.Model, Rank: work.Rank, Organisation: q.org, Cost: cost(c), Deadline: due})
	if err != nil {
		return err
	}
	var res dispatch.Result
	defer func() { slot.Release(res) }()
	t := slot.Target
	stream, err := s.engine.Send(r.Context(), t.Addr, engine.Attempt{ID: q.id, Group: t.Group, Generation: t.Generation, Priority: int(work.Rank), Deadline: due, Chat: c})
	if err != nil {
		res.Failed = true
		return err
	}
	defer stream.Close()
	return relay(w, stream, c, q.id)
}

// cost estimates the work of a chat in tokens: about four bytes of prompt to a token, and the expected answer.
func cost(c engine.Chat) int {
	n := c.MaxTokens
	for _, m := range c.Messages {
		n += len(m.Content) / 4
	}
	return max(n, 1)
}

func relay(w http.ResponseWriter, s *engine.Stream, c engine.Chat, id string) error {
	var text strings.Builder
	h := w.Header()
	for first := true; ; first = false {
		k, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if c.Stream && !first {
				return nil // The status has been sent; ending without [DONE] tells the caller that the answer is not whole.
			}
			return err
		}
		if !c.Stream {
			text.WriteString(k.Text)
			continue
		}
		if first {
			h.Set(HeaderOutcome, string(Run))
			h.Set("Content-Type", "text/event-stream")
			h.Set("Cache-Control", "no-store")
		}
		finish := ""
		if k.Done {
			finish = "stop"
		}
		b, _ := json.Marshal(completion(id, c.Model, "chat.completion.chunk", "delta", k.Text, finish))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
			return nil
		}
		_ = http.NewResponseController(w).Flush()
	}
	if c.Stream {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return nil
	}
	h.Set(HeaderOutcome, string(Run))
	reply(w, http.StatusOK, completion(id, c.Model, "chat.completion", "message", text.String(), "stop"))
	return nil
}

func completion(id, model, object, field, text, finish string) map[string]any {
	choice := map[string]any{"index": 0, field: engine.Message{Role: "assistant", Content: text}, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	return map[string]any{"id": id, "object": object, "created": time.Now().Unix(), "model": model, "choices": []any{choice}}
}

// call passes a call on to a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request, q request) error {
	service, _, ok := q.route(r)
	if !ok {
		return &Failure{Status: http.StatusNotFound, Type: "unknown_route", Message: fmt.Sprintf("no service declares %s %s", r.Method, r.URL.Path), Outcome: NotRun}
	}
	work, err := q.work(r, service)
	if err != nil {
		return err
	}
	due, err := deadline(r, time.Now(), work.Deadline)
	if err != nil {
		return err
	}
	slot, err := s.slots.Acquire(r.Context(), dispatch.Request{ID: q.id, Service: service, Rank: work.Rank, Organisation: q.org, Cost: 1, Deadline: due})
	if err != nil {
		return err
	}
	var res dispatch.Result
	defer func() { slot.Release(res) }()
	ctx, stop := context.WithDeadline(r.Context(), due)
	defer stop()
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+slot.Target.Addr.String()+r.URL.RequestURI(), http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return err
	}
	out.Header.Set(engine.HeaderAttempt, q.id)
	out.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	out.Header.Set(HeaderKey, r.Header.Get(HeaderKey))
	resp, err := s.plain.Do(out)
	if err != nil {
		res.Failed = true
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(engine.HeaderAttempt); got != q.id {
		return &engine.Misrouted{Want: q.id, Got: got}
	}
	w.Header().Set(HeaderOutcome, string(Run))
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
	return nil
}

func (q request) route(r *http.Request) (service string, rt note.Route, ok bool) {
	for name, p := range q.cfg.Plains {
		for _, rt := range p.Routes {
			if match, _ := path.Match(rt.Path, r.URL.Path); match && rt.Method == r.Method {
				return name, rt, true
			}
		}
	}
	return "", note.Route{}, false
}
