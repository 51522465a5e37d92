// Package caller is the HTTP interface towards callers.
//
// It owns each request from its first byte to its last: it authenticates the organisation, finds the kind of work,
// asks for a slot, sends the attempts and relays the answer. Every response names the request and says whether it was
// run. No state outlives a request, but for the retry budget and the learnt speed of backend servers.
//
// chat.go holds chats, plain.go calls of plain services, claims.go calls that may run only once, drain.go the list of
// addresses and the end of the server, tls.go the certificate.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/retry"
	"flamingorudder.example/internal/timeline"
)

// Outcome tells whether a request was run.
type Outcome string

// Outcomes of a request, as the X-Outcome header says them.
const (
	NotRun  Outcome = "not-run"
	Run     Outcome = "run"
	Unknown Outcome = "unknown"
)

func outcome(v retry.Verdict) Outcome {
	return [...]Outcome{retry.NotRun: NotRun, retry.Unknown: Unknown, retry.Run: Run}[v]
}

// Headers towards callers.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderOutcome  = "X-Outcome"
	HeaderWork     = "X-Work"
	HeaderDeadline = "X-Deadline"
	HeaderKey      = "Idempotency-Key"
	// HeaderReplayed marks an answer that was recorded for an earlier request with the same key: "true", or
	// "status-only" when the recorded body was too large to keep.
	HeaderReplayed = "Idempotent-Replayed"
)

const (
	// maxBody bounds a body that is held in memory, maxStreamed one that is passed on as it arrives.
	maxBody     = 1 << 20
	maxStreamed = 64 << 20
	// maxDeadline bounds a caller's deadline, and with it the time that a leaving daemon waits for its requests.
	maxDeadline = time.Hour
	// stall is how long a caller may take to send more of its body, or to take more of its answer.
	stall = 5 * time.Second
)

// Failure is an answer other than success.
type Failure struct {
	Status     int
	Type       string
	Message    string
	RetryAfter time.Duration
	Outcome    Outcome
	// Allow lists the methods of the route, for status 405.
	Allow []string
	// Numbers holds the numbers of a decision of this server; it goes into the timeline, so it has no text of the caller.
	Numbers string
}

func (e *Failure) Error() string { return fmt.Sprintf("%s: %s", e.Type, e.Message) }

// Gone reports that the caller has closed its connection or no longer takes its answer.
type Gone struct{ Err error }

func (e *Gone) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }
func (e *Gone) Unwrap() error { return e.Err }

type configs interface{ Config() (note.Config, bool) }

// Slot is permission to send one attempt to a target. Release must be called once.
type Slot struct {
	Target dispatch.Target
	// Priority is the attempt's priority at an engine, 0 the most urgent.
	Priority int
	// Began is told when the first token has arrived; nil where nobody wants to know.
	Began   func()
	Release func(dispatch.Result)
}

type slots interface {
	// Acquire waits for a slot. It fails with *dispatch.Refusal, or when ctx ends.
	Acquire(ctx context.Context, q dispatch.Request) (Slot, error)
}

// Slots hands out the slots of a dispatcher.
type Slots struct{ From *dispatch.Dispatcher }

// Acquire waits for a slot.
func (s Slots) Acquire(ctx context.Context, q dispatch.Request) (Slot, error) {
	slot, err := s.From.Acquire(ctx, q)
	return Slot{Target: slot.Target, Priority: slot.Priority, Began: slot.RecordFirstToken, Release: slot.Release}, err
}

type addresses interface {
	Addresses() ([]netip.AddrPort, time.Duration)
}

type claims interface {
	Take(ctx context.Context, key string, e claim.Entry) (claim.Claim, error)
	Record(c claim.Claim, a claim.Response)
	Release(c claim.Claim)
}

type metrics interface{ Count(metric.Request) }

// Options is what a server is made of. Config, Slots, Addresses, Engine, Claims and Log are required.
type Options struct {
	Config    configs
	Slots     slots
	Addresses addresses
	Engine    *engine.Client
	Claims    claims
	Log       *timeline.Log
	// Self is the server's own address towards callers.
	Self netip.AddrPort
	// Metrics counts the requests; nil counts none.
	Metrics metrics
	// Dial opens connections to plain services; nil means TCP.
	Dial engine.DialFunc
	// IDs returns a new request id for each call; nil means random UUIDs.
	IDs func() string
	// Now is the clock of what callers are shown; nil means time.Now.
	Now func() time.Time
}

// Server answers callers.
type Server struct {
	Options
	budget budget
	speeds speeds
	plains plains
	drain  drain
}

// New returns a server.
func New(o Options) *Server {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext
	}
	if o.IDs == nil {
		o.IDs = uuid.NewString
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Server{Options: o, plains: newPlains(o.Dial)}
	s.budget.b = retry.NewBudget()
	return s
}

// request is what is known of a caller's request.
type request struct {
	id  string
	org string
	cfg note.Config
	// seen is what the metrics are told when the request ends; its service is empty until the request is accepted.
	seen     *metric.Request
	accepted time.Time
}

// ServeHTTP answers a request. The headers that every response carries are set first, so that no path leaves them out;
// until an attempt is sent, the outcome is "not run".
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.drain.enter()()
	q := request{id: s.IDs(), seen: &metric.Request{}, accepted: time.Now()}
	if s.Metrics != nil {
		defer s.count(&q) // A handler may end with a panic, which cuts off the connection.
	}
	h := w.Header()
	h.Set(HeaderRequest, q.id)
	h.Set(HeaderOutcome, string(NotRun))
	if s.drain.leaving() {
		// The caller's next request opens a connection, which the list of addresses takes elsewhere.
		h.Set("Connection", "close")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Time{}) // The last response on this connection may have left one.
	if err := s.route(w, r, &q); err != nil {
		s.fail(w, q, err)
	}
}

// count tells the metrics of a request that was accepted.
func (s *Server) count(q *request) {
	if q.seen.Service == "" {
		return
	}
	q.seen.Total = time.Since(q.accepted)
	s.Metrics.Count(*q.seen)
}

// route finds what answers a request.
func (s *Server) route(w http.ResponseWriter, r *http.Request, q *request) error {
	fixed := map[string]struct {
		method string
		open   bool
		f      func(w http.ResponseWriter, r *http.Request, q request) error
	}{
		"/healthz":             {http.MethodGet, true, s.healthy},
		"/readyz":              {http.MethodGet, true, s.ready},
		"/v1/addresses":        {http.MethodGet, true, s.addresses},
		"/v1/models":           {http.MethodGet, false, s.models},
		"/v1/chat/completions": {http.MethodPost, false, s.chat},
	}
	f, ok := fixed[r.URL.Path]
	if strings.HasPrefix(r.URL.Path, pathModel) {
		f.method, f.f, ok = http.MethodGet, s.model, true
	}
	switch {
	case ok && f.method != r.Method && (f.method != http.MethodGet || r.Method != http.MethodHead):
		return notAllowed(r, f.method)
	case ok && f.open:
		return f.f(w, r, *q)
	}
	if err := s.admit(r, q); err != nil {
		return err
	}
	if ok {
		return f.f(w, r, *q)
	}
	return s.plain(w, r, *q)
}

func notAllowed(r *http.Request, allow ...string) error {
	return &Failure{Status: http.StatusMethodNotAllowed, Type: "method_not_allowed", Message: fmt.Sprintf("%s is not a method of %s", r.Method, r.URL.Path), Outcome: NotRun, Allow: allow}
}

// admit finds the organisation of a request.
func (s *Server) admit(r *http.Request, q *request) error {
	cfg, ok := s.Config.Config()
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

// failure gives an error the form in which the caller sees it.
func failure(err error) *Failure {
	var f *Failure
	var refusal *dispatch.Refusal
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refusal):
		return refused(refusal)
	}
	return &Failure{Status: http.StatusServiceUnavailable, Type: "internal", Message: "the request could not be handled", RetryAfter: time.Second, Outcome: Unknown}
}

// refused is the answer to a request that got no slot. Status 429 says that the organisation itself has to send less,
// 503 that the service cannot take the request now, and 504 that its deadline is too short at any time, so that there is
// no time to retry. A request that is late only because the service is busy gets 503 rather than 504, which clients and
// proxies commonly take for a request that may have been run.
func refused(r *dispatch.Refusal) *Failure {
	f := &Failure{Status: http.StatusServiceUnavailable, Type: string(r.Kind), Message: r.Reason, RetryAfter: r.RetryAfter, Outcome: NotRun, Numbers: r.Reason}
	switch {
	case r.Kind == admission.WaitingLimitReached || r.Kind == admission.Trimmed:
		f.Status = http.StatusTooManyRequests
		f.RetryAfter = max(f.RetryAfter, time.Millisecond)
	case r.Kind == admission.DeadlineUnmeetable && r.RetryAfter <= 0:
		f.Status = http.StatusGatewayTimeout
	}
	return f
}

// body is the JSON form of a failure.
func (e *Failure) body() any {
	type fault struct {
		Type       string `json:"type"`
		Message    string `json:"message"`
		RetryAfter int64  `json:"retry_after_ms,omitempty"`
	}
	return map[string]fault{"error": {e.Type, e.Message, max(0, int64(math.Ceil(float64(e.RetryAfter)/float64(time.Millisecond))))}}
}

func (s *Server) fail(w http.ResponseWriter, q request, err error) {
	var gone *Gone
	if errors.As(err, &gone) {
		// A handler that just returned would send status 200. The server may also end a request's context because of a
		// timeout, with the caller still there.
		panic(http.ErrAbortHandler)
	}
	f := failure(err)
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if len(f.Allow) > 0 {
		h.Set("Allow", strings.Join(f.Allow, ", "))
	}
	if f.Status == http.StatusRequestTimeout {
		h.Set("Connection", "close") // The rest of the body would be read as the next request.
	}
	if q.org != "" {
		if f.Outcome == NotRun {
			reason := f.Type
			if f.Numbers != "" {
				reason += ": " + f.Numbers
			}
			s.Log.Add(timeline.Event{Kind: timeline.RequestRefused, Request: q.id, Org: q.org, Reason: reason})
		}
		s.replied(q, f.Outcome, f.Type)
	}
	reply(w, f.Status, f.body())
}

// replied records that the caller gets its final answer.
func (s *Server) replied(q request, o Outcome, reason string) {
	q.seen.Outcome = string(o)
	s.Log.Add(timeline.Event{Kind: timeline.RequestAnswered, Request: q.id, Org: q.org, Outcome: string(o), Reason: reason})
}

// reply writes a whole JSON answer within the time that a caller has to take it.
func reply(w http.ResponseWriter, status int, v any) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(stall))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request, _ request) error {
	w.Header().Set(HeaderOutcome, string(Run))
	_, _ = io.WriteString(w, "ok\n")
	return nil
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ request) error {
	if s.drain.leaving() {
		return &Failure{Status: http.StatusServiceUnavailable, Type: "leaving", Message: "the daemon is leaving; use another address", Outcome: NotRun}
	}
	if _, ok := s.Config.Config(); !ok {
		return &Failure{Status: http.StatusServiceUnavailable, Type: "not_ready", Message: "no configuration has been received yet", RetryAfter: time.Second, Outcome: NotRun}
	}
	w.Header().Set(HeaderOutcome, string(Run))
	_, _ = io.WriteString(w, "ready\n")
	return nil
}

// pathModel is the path of one model service, up to its name.
const pathModel = "/v1/models/"

// model is how a model service is shown to a caller.
type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// visible returns the model services of the caller's organisation.
func (q request) visible() []model {
	list := []model{}
	for _, name := range q.cfg.Organisations[q.org].Services {
		if _, ok := q.cfg.ModelServices[name]; ok {
			list = append(list, model{ID: name, Object: "model", Owner: "flamingorudder"})
		}
	}
	return list
}

func (s *Server) model(w http.ResponseWriter, r *http.Request, q request) error {
	name := strings.TrimPrefix(r.URL.Path, pathModel)
	for _, m := range q.visible() {
		if m.ID == name {
			w.Header().Set(HeaderOutcome, string(Run))
			reply(w, http.StatusOK, m)
			return nil
		}
	}
	return &Failure{Status: http.StatusNotFound, Type: "unknown_model", Message: fmt.Sprintf("the organisation has no model service %q", name), Outcome: NotRun}
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, q request) error {
	list := q.visible()
	w.Header().Set(HeaderOutcome, string(Run))
	reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}

// job is a request that has been accepted: what it is for and when it is due.
type job struct {
	request
	service string
	work    note.WorkKind
	due     time.Time
	// cost and output are the tokens of the whole request and of its answer, as far as they can be told; prefix holds
	// the hashes of its prompt's prefixes.
	cost, output int
	prefix       []uint64
	call         retry.Call
	// avoid holds the targets that failed the request in a way that another attempt there would not mend.
	avoid []dispatch.TargetID
	// silent holds those of them that went silent.
	silent []dispatch.TargetID
	// last is how the last attempt failed.
	last retry.Outcome
}

// shun leaves a target out of the choice for further attempts when it refused the request, could not be reached or went
// silent. A broken or misrouted answer is a fault of one connection, so it does not rule out the target. One that went
// silent is chosen again only when no other is left.
func (j *job) shun(t dispatch.Target, out retry.Outcome) {
	j.last = out
	tried := dispatch.TargetID{Group: t.Group, Generation: t.Generation}
	if out == retry.Refused || out == retry.NotSent || out == retry.Silent {
		j.avoid = append(j.avoid, tried)
	}
	if out == retry.Silent {
		j.silent = append(j.silent, tried)
	}
}

// sending counts and records that an attempt is about to be sent.
func (j *job) sending(log *timeline.Log, t dispatch.Target) (id string) {
	id = j.call.NextAttemptID(j.id)
	j.seen.Attempts = j.call.Attempts()
	log.Add(timeline.Event{Kind: timeline.AttemptSent, Request: j.id, Attempt: id, Group: t.Group, Generation: t.Generation, Instance: instance(t)})
	return id
}

// instance names the instance of a target: by its id, or its address when the id is not known.
func instance(t dispatch.Target) string {
	if t.Instance != "" {
		return t.Instance
	}
	return t.Addr.String()
}

// accept finds the kind of work of a request to a service, the one that the caller names or else the most urgent of
// the service, and its deadline.
func (s *Server) accept(r *http.Request, q request, service string, cost int) (*job, error) {
	if !slices.Contains(q.cfg.Organisations[q.org].Services, service) {
		return nil, &Failure{Status: http.StatusForbidden, Type: "not_assigned", Message: fmt.Sprintf("organisation %s is not assigned to service %q", q.org, service), Outcome: NotRun}
	}
	work := note.WorkKind{Rank: note.RankOvernight, Deadline: time.Minute}
	if name := r.Header.Get(HeaderWork); name != "" {
		w, ok := q.cfg.WorkKinds[name]
		if !ok || w.Service != service {
			return nil, &Failure{Status: http.StatusBadRequest, Type: "unknown_work", Message: fmt.Sprintf("service %q has no kind of work %q", service, name), Outcome: NotRun}
		}
		work = w
	} else {
		for _, w := range q.cfg.WorkKinds {
			if w.Service == service && w.Rank <= work.Rank {
				work = w
			}
		}
	}
	due, err := deadline(r, s.Now(), work.Deadline)
	if err != nil {
		return nil, err
	}
	s.budget.earn()
	s.Log.Add(timeline.Event{Kind: timeline.RequestAccepted, Request: q.id, Org: q.org, Service: service, Rank: work.Rank.String()})
	q.seen.Service, q.seen.Org, q.seen.Rank = service, q.org, work.Rank.String()
	return &job{request: q, service: service, work: work, due: due, cost: cost, call: retry.Call{Deadline: due}}, nil
}

func deadline(r *http.Request, now time.Time, def time.Duration) (time.Time, error) {
	latest := now.Add(maxDeadline)
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(min(def, maxDeadline)), nil
	}
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(min(d, maxDeadline)), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	switch {
	case err != nil:
		return time.Time{}, &Failure{Status: http.StatusBadRequest, Type: "bad_deadline", Message: HeaderDeadline + " is neither a duration such as 1500ms nor a time as in RFC 3339", Outcome: NotRun}
	case !t.After(now):
		return time.Time{}, late(NotRun)
	case t.After(latest):
		return latest, nil
	}
	return t, nil
}

func slow(o Outcome) *Failure {
	return &Failure{Status: http.StatusRequestTimeout, Type: "slow_body", Message: fmt.Sprintf("the body did not arrive, or stopped for %v", stall), Outcome: o}
}

func late(o Outcome) *Failure {
	return &Failure{Status: http.StatusGatewayTimeout, Type: "deadline", Message: "the deadline passed before the answer was complete", Outcome: o}
}

// acquire waits for a slot. Its failure is the caller's final answer.
func (s *Server) acquire(ctx context.Context, r *http.Request, j *job) (Slot, error) {
	slot, err := s.Slots.Acquire(ctx, dispatch.Request{ID: j.id, Service: j.service, Rank: j.work.Rank, Organisation: j.org, Cost: j.cost, OutputTokens: j.output, Prefix: j.prefix, Avoid: j.avoid, Deadline: j.due})
	if err == nil {
		t := slot.Target
		s.Log.Add(timeline.Event{Kind: timeline.RequestStarted, Request: j.id, Group: t.Group, Generation: t.Generation})
		return slot, nil
	}
	if stopped := s.stopped(ctx, r, j, ""); stopped != nil {
		return slot, stopped
	}
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) && refusal.Kind == admission.NoTarget && len(j.silent) > 0 {
		// No other target is left. A new connection to one that went silent may work.
		j.avoid = slices.DeleteFunc(j.avoid, func(t dispatch.TargetID) bool { return slices.Contains(j.silent, t) })
		j.silent = nil
		return s.acquire(ctx, r, j)
	}
	if j.call.Verdict() != retry.NotRun {
		return slot, j.gaveUp(j.last) // An earlier attempt may have run, so a refusal would say too much.
	}
	f := *failure(err)
	f.Outcome = NotRun // The request never left.
	return slot, &f
}

// stopped tells why a request ends before its answer: the caller left or the deadline passed. It is nil when neither
// has happened.
func (s *Server) stopped(ctx context.Context, r *http.Request, j *job, attempt string) error {
	switch {
	case r.Context().Err() != nil:
		s.Log.Add(timeline.Event{Kind: timeline.RequestCancelled, Request: j.id, Attempt: attempt})
		return &Gone{Err: r.Context().Err()}
	case ctx.Err() != nil:
		return late(outcome(j.call.Verdict()))
	}
	return nil
}

// gaveUp is the failure of a request whose attempts have failed.
func (j *job) gaveUp(o retry.Outcome) *Failure {
	f := &Failure{Status: http.StatusServiceUnavailable, Type: "backend_" + strings.ReplaceAll(o.String(), "-", "_"), Outcome: outcome(j.call.Verdict())}
	switch f.Outcome {
	case NotRun:
		f.Message, f.RetryAfter = "no backend server took the request; it was not run", time.Second
	case Unknown:
		f.Message = "the backend server did not answer; the request may have been run"
	default:
		f.Message = "the request was run, but its answer is not complete"
	}
	return f
}

// classify names the end of an attempt.
func classify(err error) retry.Outcome {
	var refused *engine.RefusedError
	var notSent *engine.NotSentError
	var silent *engine.StallError
	var misrouted *engine.MisroutedError
	var broken *engine.BrokenStreamError
	switch {
	case err == nil:
		return retry.Done
	case errors.As(err, &misrouted):
		return retry.Misrouted
	case errors.As(err, &silent):
		return retry.Silent
	case errors.As(err, &broken):
		return retry.Broken
	case errors.As(err, &refused):
		return retry.Refused
	case errors.As(err, &notSent):
		return retry.NotSent
	}
	return retry.Broken
}
