package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/http1"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/retry"
	"flamingorudder.example/internal/sse"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// plains holds the connections to plain services.
type plains struct {
	// pooled keeps connections open, for calls that may be repeated.
	pooled *http1.Transport
	// fresh opens a connection for each call. Calls that must not be repeated use it: on a connection that has been
	// idle, a close by the backend server cannot be told from a call that was run, and net/http sends some calls again
	// on its own.
	fresh *http1.Transport
}

func newPlains(dial engine.DialFunc) plains {
	tr := func(fresh bool) *http1.Transport {
		return http1.NewTransport(&http.Transport{
			DialContext:         dial,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			// Headers are held in memory, so a fault of a backend server must not make them large.
			MaxResponseHeaderBytes: 64 << 10,
		})
	}
	return plains{pooled: tr(false), fresh: tr(true)}
}

// Close closes the idle connections to plain services.
func (s *Server) Close() { s.plains.pooled.CloseIdleConnections() }

// findRoute finds the route of a call. The methods that other routes of the path allow are returned when none matches.
func (q request) findRoute(r *http.Request) (service string, rt note.Route, allow []string) {
	if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean+"/" != r.URL.Path {
		return "", rt, nil // A backend server could take ".." for another route.
	}
	for _, name := range slices.Sorted(maps.Keys(q.cfg.PlainServices)) {
		for _, rt := range q.cfg.PlainServices[name].Routes {
			switch match, _ := path.Match(rt.Path, r.URL.Path); {
			case match && rt.Method == r.Method:
				return name, rt, nil
			case match && !slices.Contains(allow, rt.Method):
				allow = append(allow, rt.Method)
			}
		}
	}
	return "", note.Route{}, allow
}

// plain passes a call on to a plain service.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, q request) error {
	service, rt, allow := q.findRoute(r)
	switch {
	case service == "" && len(allow) > 0:
		return notAllowed(r, allow...)
	case service == "":
		return &Failure{Status: http.StatusNotFound, Type: "unknown_route", Message: fmt.Sprintf("no service declares %s %s", r.Method, r.URL.Path), Outcome: NotRun}
	}
	keys := r.Header.Values(HeaderKey)
	claimed := len(keys) > 0 && !rt.Repeatable
	if claimed && (len(keys) > 1 || len(keys[0]) == 0 || len(keys[0]) > maxKey) {
		return &Failure{Status: http.StatusBadRequest, Type: "bad_key", Message: fmt.Sprintf("send one %s of 1 to %d bytes", HeaderKey, maxKey), Outcome: NotRun}
	}
	f := &forward{Server: s, w: w, r: r}
	if claimed || (r.ContentLength >= 0 && r.ContentLength <= maxBody) {
		b, err := readBody(w, r)
		if err != nil {
			return err
		}
		f.whole = b
	} else if r.ContentLength > maxStreamed {
		return &Failure{Status: http.StatusRequestEntityTooLarge, Type: "too_large", Message: fmt.Sprintf("the body is over %d bytes", maxStreamed), Outcome: NotRun}
	} else {
		f.streamed = &upload{r: http.MaxBytesReader(w, r.Body, maxStreamed), rc: http.NewResponseController(w)}
		defer f.streamed.stop()
	}
	j, err := s.accept(r, q, service, 1)
	if err != nil {
		return err
	}
	f.job = j
	j.call.Repeatable = rt.Repeatable
	ctx, stop := context.WithDeadline(r.Context(), j.due)
	defer stop()
	if claimed {
		answered, err := f.claim(ctx, keys[0])
		if answered || err != nil {
			return err
		}
		defer f.settle()
	}
	for again := true; again; {
		slot, err := s.acquire(ctx, r, j)
		if err != nil {
			return f.end(err)
		}
		again, err = f.attempt(ctx, slot)
		if err != nil {
			return f.end(err)
		}
	}
	return nil
}

// forward is one call of a plain service from the first attempt to the end of the answer.
type forward struct {
	*Server
	*job
	w http.ResponseWriter
	r *http.Request
	// whole is the body when it has been read; else it is passed on from streamed as it arrives, once.
	whole    []byte
	streamed *upload
	// held is the claim of the call; it is nil without one. recorded is what is kept of the answer.
	held     *claim.Claim
	recorded *claim.Response
	// headed is whether the status has been sent to the caller.
	headed bool
}

// upload reads a caller's body as it arrives, as long as it does not stall. The transport may go on reading it after
// the answer has come, so stop must be called before the handler returns: a read deadline that was set later would hit
// the connection's next request.
type upload struct {
	r  io.Reader
	rc *http.ResponseController

	mu                              sync.Mutex
	started, ended, stalled, closed bool
}

func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return 0, http.ErrBodyReadAfterClose
	}
	u.started = true
	_ = u.rc.SetReadDeadline(time.Now().Add(stall))
	u.mu.Unlock()
	n, err := u.r.Read(b)
	if err != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.ended, u.stalled = true, errors.Is(err, os.ErrDeadlineExceeded)
		if !u.closed {
			_ = u.rc.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}

// used tells whether the backend server may have been sent a part of the body, so that it cannot be sent again, and
// whether the caller stopped sending it.
func (u *upload) used() (started, stalled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started, u.stalled
}

// stop ends a read in progress and prevents others. The server then closes the connection of a body that was not read
// to its end.
func (u *upload) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.started && !u.ended {
		_ = u.rc.SetReadDeadline(time.Unix(1, 0))
	}
}

// end gives the caller the final answer of a failed call. Once the status has been sent, only the end of the
// connection can show that the body is not whole.
func (f *forward) end(err error) error {
	var gone *Gone
	switch {
	case errors.As(err, &gone):
		f.replied(f.request, outcome(f.call.Verdict()), "caller left")
	case f.headed:
		f.replied(f.request, Run, failure(err).Type)
		panic(http.ErrAbortHandler)
	}
	return err
}

// attempt sends the call once and relays its answer. It reports whether another attempt is to be made.
func (f *forward) attempt(ctx context.Context, slot Slot) (again bool, err error) {
	t := slot.Target
	lost := false
	id := f.sending(f.Log, t)
	sent, reason := time.Now(), retry.Done.String()
	defer func() {
		f.Log.Add(timeline.Event{Kind: timeline.AttemptEnded, Request: f.id, Attempt: id, Reason: reason})
		slot.Release(dispatch.Result{Total: time.Since(sent), Failed: reason != retry.Done.String(), Unreachable: reason == retry.NotSent.String() || lost})
	}()
	if f.held != nil {
		// A claimed call goes on without its caller, so that a repeat can be given the outcome.
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(context.WithoutCancel(ctx), f.due)
		defer stop()
	}
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unwatch := f.watch(run, cancel, t)
	defer func() { lost = unwatch() }()
	resp, err := f.send(run, cancel, t, id)
	if err == nil {
		f.speeds.learn(t.Addr, time.Since(sent), 0)
		f.call.End(retry.Result{Outcome: retry.Done})
		defer func() { _ = resp.Body.Close() }()
		err = f.relay(resp)
		if err != nil {
			reason = retry.Broken.String()
		}
		return false, err
	}
	out := classify(err)
	reason = out.String()
	res := retry.Result{Outcome: out}
	if f.streamed != nil {
		started, stalled := f.streamed.used()
		if started {
			res.Given = 1 // A body that was passed on as it arrived cannot be sent again, whatever became of it.
		}
		if stalled {
			f.call.End(res)
			return false, slow(outcome(f.call.Verdict()))
		}
	}
	if ctx.Err() != nil {
		f.call.End(res)
		reason = "cancelled"
		return false, f.stopped(ctx, f.r, f.job, id)
	}
	if out == retry.Silent {
		f.plains.pooled.CloseIdleConnections()
	}
	f.shun(t, out)
	d := f.budget.decide(&f.call, time.Now(), res)
	if d.Action == retry.Again {
		return true, nil
	}
	return false, f.gaveUp(out)
}

const (
	// watchPeriod is the pause between two probes of the backend server of a call. The server counts as gone after
	// watchTries failed ones in a row, at most probeLimit each, which together is less than 2 s.
	watchPeriod = 600 * time.Millisecond
	watchTries  = 2
)

// watch ends an attempt with *engine.Silent when its backend server is gone, which a silent connection does not show.
// It returns a function that ends the watch and reports whether the server was found gone.
//
// A probe is a TCP connection of its own to the same address. While the server takes connections the call waits until
// its deadline, whether nothing has come yet or the answer has paused: the answer may still come, and a call that must
// not run again is not helped by an early "unknown". A server that can't be reached will not deliver it.
func (f *forward) watch(ctx context.Context, cancel context.CancelCauseFunc, t dispatch.Target) (stop func() bool) {
	ctx, end := context.WithCancel(ctx)
	var g errgroup.Group
	gone := false
	g.Go(func() error {
		started := time.Now()
		for failed := 0; failed < watchTries; {
			if failed == 0 && timer.Wait(ctx, watchPeriod) != nil {
				return nil
			}
			probe, done := context.WithTimeout(ctx, probeLimit)
			c, err := f.Dial(probe, "tcp", t.Addr.String())
			done()
			switch {
			case ctx.Err() != nil:
				if err == nil {
					_ = c.Close()
				}
				return nil
			case err == nil:
				_ = c.Close()
				failed = 0
			default:
				failed++
			}
		}
		gone = true
		cancel(&engine.StallError{Timeout: time.Since(started)})
		return nil
	})
	return func() bool {
		end()
		_ = g.Wait()
		return gone
	}
}

// send makes the HTTP call of an attempt and returns an answer that belongs to it.
func (f *forward) send(ctx context.Context, cancel context.CancelCauseFunc, t dispatch.Target, id string) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: t.Addr.String(), Path: f.r.URL.Path, RawPath: f.r.URL.RawPath, RawQuery: f.r.URL.RawQuery}
	// The body is never nil or http.NoBody and GetBody stays nil. net/http sends a request again on its own when it can
	// rewind the body, if its method is idempotent or, whatever its method, if it carries an Idempotency-Key.
	out, err := http.NewRequestWithContext(ctx, f.r.Method, u.String(), nil)
	if err != nil {
		return nil, &engine.NotSentError{Err: err}
	}
	if f.streamed != nil {
		out.Body, out.ContentLength = io.NopCloser(f.streamed), f.r.ContentLength
	} else {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(f.whole)), int64(len(f.whole))
	}
	out.Header = endToEnd(f.r.Header)
	for _, h := range []string{"Authorization", HeaderWork, HeaderDeadline, "Expect"} {
		out.Header.Del(h) // These speak to this server, and the bearer key is none of the backend server's business.
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	out.Header.Set(engine.HeaderAttempt, id)
	out.Header.Set(engine.HeaderDeadline, f.due.Format(time.RFC3339Nano))
	if len(f.r.Trailer) > 0 {
		out.Trailer, out.ContentLength = f.r.Trailer, -1 // Trailers need a body in chunks.
	}
	tr := f.plains.fresh
	if f.call.Repeatable {
		tr = f.plains.pooled
		if f.call.Attempts() > 1 {
			tr = f.plains.fresh // The first connection may have been one that went silent.
		}
		// Only the first attempt, on a connection that was idle, has a progress deadline: a slow answer to a later one
		// beats none. An upload takes as long as its caller does, so it has none either.
		if limit := f.speeds.get(t.Addr).firstLimit(); f.call.Attempts() == 1 && f.streamed == nil && time.Until(f.due) > 2*limit {
			defer timer.AfterFunc(limit, func() { cancel(&engine.StallError{Timeout: limit}) })()
		}
	}
	resp, err := tr.RoundTrip(out)
	if err != nil {
		var silent *engine.StallError
		var op *net.OpError
		switch {
		case errors.As(context.Cause(ctx), &silent):
			return nil, silent
		case errors.As(err, &op) && op.Op == "dial":
			return nil, &engine.NotSentError{Err: err}
		}
		return nil, &engine.BrokenStreamError{Err: err}
	}
	if got := resp.Header.Get(engine.HeaderAttempt); got != id {
		cancel(nil)
		_ = resp.Body.Close()
		return nil, &engine.MisroutedError{Want: id, Got: got}
	}
	return resp, nil
}

// relay passes an answer on as it arrives, and keeps what a claim records. A plain service's answer may pause for any
// time within the deadline of its call.
func (f *forward) relay(resp *http.Response) error {
	h := f.w.Header()
	own := []string{HeaderRequest, HeaderOutcome, HeaderReplayed, engine.HeaderAttempt}
	header := endToEnd(resp.Header)
	for _, k := range own {
		header.Del(k)
	}
	if f.held != nil {
		f.recorded = &claim.Response{Status: resp.StatusCode, Header: small(header), Partial: true}
	}
	maps.Copy(h, header)
	for k := range resp.Trailer {
		h.Add("Trailer", k)
	}
	body, length := io.Reader(resp.Body), resp.ContentLength
	if sse.IsStream(resp.Header) && f.r.Method != http.MethodHead {
		// With its length, a stream that ends inside an event would be complete for the caller.
		body, length = sse.NewReader(body), -1
		h.Del("Content-Length")
	}
	if length >= 0 && h.Get("Content-Length") == "" && f.r.Method != http.MethodHead && len(resp.Trailer) == 0 {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	h.Set(HeaderOutcome, string(Run))
	f.headed = true
	f.w.WriteHeader(resp.StatusCode)

	rc := http.NewResponseController(f.w)
	var kept []byte
	var gone error
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if f.held != nil && len(kept) <= claim.MaxResponseBody {
			kept = append(kept, buf[:n]...)
		}
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(stall))
			if gone == nil {
				_, gone = f.w.Write(buf[:n])
			}
			// An answer of known length is written as a whole by the server; others are passed on as they come.
			if gone == nil && length < 0 {
				if err := rc.Flush(); !errors.Is(err, http.ErrNotSupported) {
					gone = err
				}
			}
			if gone != nil && f.held == nil {
				return &Gone{Err: gone}
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if gone == nil {
				gone = f.r.Context().Err()
			}
			if gone != nil {
				return &Gone{Err: gone}
			}
			return f.gaveUp(retry.Broken)
		}
	}
	for k, v := range resp.Trailer {
		h[k] = v
	}
	if f.held != nil {
		f.recorded.Body, f.recorded.Partial = kept, false
	}
	if gone != nil {
		return &Gone{Err: gone}
	}
	f.replied(f.request, Run, "done")
	return nil
}

// maxHeader bounds the headers that a claim records, in bytes.
const maxHeader = 4 << 10

// small returns the headers of an answer, or only those without which its body cannot be read when they are too many
// to record.
func small(h http.Header) http.Header {
	size := 0
	for k, vs := range h {
		for _, v := range vs {
			size += len(k) + len(v)
		}
	}
	if size <= maxHeader {
		return h
	}
	few := http.Header{}
	for _, k := range []string{"Content-Type", "Content-Encoding", "Location"} {
		if v := h.Get(k); v != "" && len(v) < maxHeader/4 {
			few.Set(k, v)
		}
	}
	return few
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns a copy of the headers without those that concern one connection only, by their names or because the
// Connection header names them.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, "Proxy-") {
			delete(out, name)
		}
	}
	return out
}
