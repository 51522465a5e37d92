package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/platform"
)

const (
	// defaultTimeout is that of a request whose caller and route name none.
	defaultTimeout = 30 * time.Second
	// answerMargin is how long before a caller gives up its answer is sent.
	answerMargin = 40 * time.Millisecond
	// maxBuffered is the part of the memory limit that request bodies may take, in percent.
	maxBuffered = 25
	// maxWhole is the largest answer of a plain service that is read whole before it is passed on, so that one that
	// breaks off can still be repeated.
	maxWhole = 64 << 10
	// maxAnswer bounds the answer of a plain service; one that goes on is of a backend server in trouble.
	maxAnswer = 64 << 20
	// sampled is one in how many ordinary requests is logged; the choice goes by the id, so it is the same everywhere.
	sampled = 32
	// notReady is when a caller comes back to a daemon that knows no configuration yet.
	notReady = 500 * time.Millisecond
)

// exchange is one request of a caller on its way.
type exchange struct {
	d    *Daemon
	w    http.ResponseWriter
	r    *http.Request
	call platform.RequestInfo
	// config is the one with which the request began.
	config  *route.Config
	route   *route.Route
	service string
	org     string
	rank    int
	body    []byte
	began   time.Time
	// until is when the caller or the operator's timeout ends the request.
	until time.Time
	// sends counts the backend servers that the request has reached, ran tells whether one of them may have run it.
	sends int
	ran   bool
	// first is when the first event or the answer came; zero before.
	first time.Time
	// pause is the longest time between two events.
	pause time.Duration
	// trail is what became of each attempt, for the log.
	trail []string
}

// serveCaller serves one request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	x := &exchange{d: d, w: w, r: r, call: platform.ParseRequestInfo(r.Header), began: time.Now()}
	if d.leaving.Load() {
		// The answer lets the caller go elsewhere; it comes with the close of the connection.
		w.Header().Set("Connection", "close")
	}
	if !x.admit() {
		return
	}
	d.served.Store(true)
	ctx, cancel := context.WithDeadline(r.Context(), x.until)
	defer cancel()
	svc := x.config.Service(x.service)
	d.budget.request(x.service, x.began, d.settings().RetryWindow)
	if svc != nil && svc.Engine != nil && svc.Engine.Model(x.call.Model) != nil {
		x.stream(ctx, svc)
		return
	}
	x.plain(ctx, svc)
}

// admit finds the route and the organisation of the request and reads its body. It answers what cannot be served.
func (x *exchange) admit() bool {
	d := x.d
	x.config = d.config.Load()
	if x.config == nil {
		x.refuse(http.StatusServiceUnavailable, notReady, "no configuration")
		return false
	}
	x.route = x.config.Find(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	x.rank = combine(-1, x.route.Rank)
	if x.config.Keyed() {
		o := x.config.Organisation(x.call.Key)
		if o == nil && !x.route.Anonymous {
			x.refuse(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
		if o != nil {
			x.org = o.Name
			x.rank = combine(o.Rank, x.route.Rank)
		}
	}
	x.service = x.route.Pick()
	left := x.call.Timeout
	if t := x.route.Timeout; t > 0 && (left == 0 || t < left) {
		left = t
	}
	if left == 0 {
		left = defaultTimeout
	}
	x.until = x.began.Add(max(left-answerMargin, left/2))
	return x.readBody()
}

// routeRanks is the number of ranks of routes that are told apart within one rank of organisations.
const routeRanks = 4

// combine makes one rank of an organisation's, which goes first, and a route's. An organisation without one counts by the
// route alone.
func combine(org, of int) int {
	if org < 0 {
		org = of
	}
	return org*routeRanks + min(of, routeRanks-1)
}

func (x *exchange) readBody() bool {
	limit := x.config.MaxBody
	if limit > 0 && x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
		return false
	}
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	if x.d.buffered.Load()+max(x.r.ContentLength, 0) > int64(x.d.settings().MemoryMB)<<20*maxBuffered/100 {
		x.refuse(http.StatusServiceUnavailable, notReady, "bodies fill the memory")
		return false
	}
	var in io.Reader = x.r.Body
	if limit > 0 {
		in = io.LimitReader(in, limit+1)
	}
	var err error
	if n := x.r.ContentLength; n > 0 {
		x.body = make([]byte, n)
		_, err = io.ReadFull(in, x.body)
	} else {
		x.body, err = io.ReadAll(in)
	}
	x.d.buffered.Add(int64(len(x.body)))
	if err != nil {
		x.log("request was not read", "error", err)
		panic(http.ErrAbortHandler)
	}
	if limit > 0 && int64(len(x.body)) > limit {
		x.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
		return false
	}
	return true
}

// refuse gives an answer of this daemon's own. comeBack tells the caller when to return; zero leaves it out.
func (x *exchange) refuse(status int, comeBack time.Duration, reason string) {
	if comeBack > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 2, 64))
	}
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.finish(status, reason)
}

// finish logs and counts the end of a request.
func (x *exchange) finish(status int, reason string) {
	x.d.buffered.Add(-int64(len(x.body)))
	x.body = nil
	first := time.Duration(0)
	if !x.first.IsZero() {
		first = x.first.Sub(x.began)
	}
	x.d.metrics.Count(metric.Request{
		Service: x.service, Org: x.org, Outcome: reason, Rank: strconv.Itoa(x.rank), First: first, Total: time.Since(x.began), Attempts: x.sends,
	})
	if reason == outcomeServed && !x.sample() {
		return
	}
	x.log("request", "status", status, "outcome", reason, "first", first, "pause", x.pause)
}

// outcomeServed is the outcome of a request whose answer was passed on whole.
const outcomeServed = "served"

// sample tells whether an ordinary request is logged.
func (x *exchange) sample() bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(x.call.ID)) // never fails
	return h.Sum32()%sampled == 0
}

func (x *exchange) log(msg string, args ...any) {
	name, version := "", int64(0)
	if x.route != nil {
		name = x.route.Name
	}
	if x.config != nil {
		version = x.config.Version
	}
	x.d.log.Info(msg, append([]any{
		"id", x.call.ID, "route", name, "service", x.service, "model", x.call.Model, "organisation", x.org, "rank", x.rank,
		"config", version, "took", time.Since(x.began).Round(time.Millisecond), "attempts", x.trail,
	}, args...)...)
}

// failed answers a request that got no answer of a backend server.
func (x *exchange) failed(ctx context.Context, why error) {
	switch {
	case x.r.Context().Err() != nil:
		x.finish(0, "caller left")
		panic(http.ErrAbortHandler)
	case !x.ran:
		comeBack := balance.ComeBack(time.Now(), x.until, rand.Float64)
		var rejected *RejectedError
		reason := "not run"
		if errors.As(why, &rejected) {
			comeBack, reason = rejected.ComeBack, "rejected: "+rejected.Reason
		}
		x.refuse(http.StatusServiceUnavailable, comeBack, reason)
	case ctx.Err() != nil:
		x.refuse(http.StatusGatewayTimeout, 0, "timeout")
	default:
		x.refuse(http.StatusBadGateway, 0, "answer lost")
	}
}

// request makes the request for a backend server.
func (x *exchange) request(server *roster.Server, priority int, lastEvent string) *backend.Request {
	h := platform.ForwardHeader(x.r.Header, platform.Forwarding{
		Timeout: time.Until(x.until), Target: server.ID, Organisation: x.org, Priority: priority, LastEvent: lastEvent,
	})
	return &backend.Request{
		ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, AtMostOnce: !x.route.Repeatable(),
	}
}

// maySend tells whether the request may go to one more backend server, and takes the repeat out of the budget.
func (x *exchange) maySend() bool {
	if x.sends == 0 {
		return true
	}
	if x.ran && !x.route.Repeatable() || x.sends >= x.route.MaxAttempts {
		return false
	}
	now := time.Now()
	return x.d.budget.repeat(x.service, now, x.d.settings(), x.d.fleet(now))
}

// note keeps what became of an attempt at a backend server, which group names too unless it is a plain one. It tells whether
// the request may have run there.
func (x *exchange) note(s *roster.Server, group string, err error, a *backend.Response) (ran bool) {
	server := s.ID
	if group != "" {
		server += " " + group
	}
	var notSent *backend.NotSentError
	switch {
	case errors.As(err, &notSent):
		x.trail = append(x.trail, server+": not sent")
		return false
	case err != nil:
		x.sends++
		x.ran = true
		x.trail = append(x.trail, server+": "+err.Error())
		return true
	}
	x.sends++
	x.trail = append(x.trail, fmt.Sprintf("%s: %d", server, a.Status)+x.d.heed(s, a))
	if a.NotExecuted {
		return false
	}
	x.ran = true
	return true
}

// heed takes what a backend server asks of its callers in an answer. It returns a note on it for the log of the request.
func (d *Daemon) heed(s *roster.Server, a *backend.Response) (note string) {
	now := time.Now()
	if a.Malformed != "" {
		d.log.Warn("header of a backend server cannot be read", "id", s.ID, "header", a.Malformed, "value", a.Header.Get(a.Malformed), "taken", a.Notice)
	}
	if a.Leaving {
		d.feed.markLeaving(roster.LeavingServer{ID: s.ID, Born: s.Born}, "")
		note = ", " + noteLeaving
	}
	if a.Pause > 0 {
		if d.pauses.Ask(now, s.ID, a.Pause, rand.Float64) {
			d.log.Info("backend server asked for a pause", "id", s.ID, "pause", a.Pause)
		}
		return note + ", " + notePause + " " + a.Pause.String()
	}
	if a.Status != http.StatusMisdirectedRequest {
		d.pauses.Answered(now, s.ID)
	}
	return note
}

// What attempts tell of backend servers in the log of a request.
const (
	noteLeaving = "server leaving"
	notePause   = "server asked for a pause of"
)

// usable tells whether an answer is a backend server's own and may be passed on.
func usable(a *backend.Response) bool {
	if a.Status < http.StatusMultipleChoices {
		return a.Signed
	}
	// These say that the request has not run, which only a proof of the backend server may say.
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// head passes on the status and headers of an answer.
func (x *exchange) head(a *backend.Response) {
	platform.StripResponseHeader(a.Header)
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if x.d.leaving.Load() {
		h.Set("Connection", "close")
	}
	if a.Length >= 0 && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
}
