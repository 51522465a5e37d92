package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/sse"
	"flamingorudder.example/internal/timer"
)

const (
	// readSize is the initial size of the event buffer, which grows for larger events.
	readSize = 2 << 10
	// maxEvent bounds the size of an event and the number of bytes between two event ids. Usual events have a few hundred
	// bytes, but a faulty backend server may send an endless body without events.
	maxEvent = 256 << 10
	// extraEvents is how many events a response may have in addition to one for each token that the caller accepts.
	extraEvents = 16
)

// OrderError reports an event whose id does not follow that of the previous event.
type OrderError struct{ After, Got string }

func (e *OrderError) Error() string { return "event " + e.Got + " after " + e.After }

// EndlessError reports a response that exceeds every size that the request allows for.
type EndlessError struct{ Reason string }

func (e *EndlessError) Error() string { return "answer without end: " + e.Reason }

// StalledError reports a group that stalled.
type StalledError struct{ Group string }

func (e *StalledError) Error() string { return "group " + e.Group + " makes no progress" }

// NotRunError reports a response which proves that the request has not run.
type NotRunError struct {
	Server string
	Status int
}

func (e *NotRunError) Error() string { return "request was not executed by backend server " + e.Server }

// serveStream serves a request whose response is a stream. The events of several attempts are joined into one response.
func (x *exchange) serveStream(ctx context.Context, svc *route.Service, newSource func(*forwardedStream) placeSource) {
	s := &forwardedStream{x: x, svc: svc}
	if x.route.Resumable {
		s.lastEvent = x.call.LastEvent // where a stream may not be resumed, the header means nothing
	}
	s.places = newSource(s)
	var last error
	for s.places.mayTry(s.unsent) {
		if err := ctx.Err(); err != nil {
			last = err
			break
		}
		if !x.attemptLeft(0) {
			break
		}
		waiting, stopWaiting := x.untilClosing(ctx)
		x.awaitBefore(waiting, last)
		reserved, err := s.reserve(waiting, 0, nil)
		stopWaiting()
		var pathLost *PathLostError
		var noRetry *NoRetryError
		switch {
		case errors.As(err, &pathLost):
			s.unsent++
			continue
		case err != nil && !errors.As(err, &noRetry):
			last = err
		}
		if err != nil {
			break
		}
		for a := s.newAttempt(ctx, reserved, 0); a != nil; {
			var next *streamAttempt
			if next, err = s.run(ctx, a); err == nil {
				x.finish(s.status, outcomeServed)
				return
			}
			last, a = err, next
		}
		var other *OtherAnswerError
		if x.mayHaveRun && !x.route.Repeatable() || s.partial || isFinal(last) || errors.As(last, &other) {
			break
		}
	}
	if s.failure != nil && !s.headerSent && x.r.Context().Err() == nil {
		s.failure.forward(x)
		return
	}
	s.failure.discard()
	if s.headerSent {
		x.breakOff(s.status)
	}
	x.respondFailure(ctx, last)
}

// Causes of failed attempts, for the log and the metrics.
const (
	causeNotSent  = "not sent"
	causeRejected = "rejected"
	// causeStalled means that another attempt answered while the group was silent, causeSuperseded that the silent group
	// went on before the other attempt answered.
	causeStalled    = "stalled"
	causeSuperseded = "superseded"
	causeCutOff     = "cut off"
	causeUnusable   = "unusable"
	// causeCrashed means that the backend server ended before it had sent more than one event of its response.
	causeCrashed = "crashed"
	// causeQuarantined means that the attempt was cancelled as the request or a part of its prompt crashes backend servers.
	causeQuarantined = "quarantined"
)

// maxEventsBeforeCrash is the number of events after which a request is no longer suspected to have crashed its backend
// server. The first one may be sent in the moment of the crash.
const maxEventsBeforeCrash = 1

// recordFailure logs and counts a failed attempt after which events had been received from the group.
func (x *exchange) recordFailure(ctx context.Context, s *reservation, err error, events int) {
	cause := causeUnusable
	var notSent *backend.NotSentError
	var rejected *NotRunError
	var stalled *StalledError
	var quarantined *QuarantinedError
	switch {
	case errors.As(err, &notSent):
		cause = causeNotSent
	case errors.As(err, &rejected):
		cause = causeRejected
	case errors.As(err, &stalled):
		cause = causeStalled
	case errors.As(err, &quarantined):
		cause = causeQuarantined
	case wasCutOff(err):
		cause = causeCutOff
		if events <= maxEventsBeforeCrash && x.d.hasEnded(ctx, s.head) {
			cause = causeCrashed
			s.recordOutcome(true)
			x.logCrash(s.head, s.key, events)
		}
	}
	x.d.metrics.RecordFailedAttempt(x.service, cause)
}

// formatHash returns a hash as the log shows it, or "" for zero.
func formatHash(h uint64) string {
	if h == 0 {
		return ""
	}
	return strconv.FormatUint(h, 16)
}

// formatHashes returns hashes as formatHash does. Those of prompt parts look as callers send them.
func formatHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = formatHash(h)
	}
	return out
}

// countsAgainstGroup reports whether the failure of an attempt counts against its group. Stalls are reported separately,
// a response which proves that the request has not run is only a rejection, and this daemon itself cancels requests
// that are put in quarantine.
func countsAgainstGroup(err error) bool {
	var silent *StalledError
	var rejected *NotRunError
	var quarantined *QuarantinedError
	return !errors.As(err, &silent) && !errors.As(err, &rejected) && !errors.As(err, &quarantined)
}

// requestHash returns a hash that is the same for all attempts of a caller at one request and for its repeats. A request without
// a prompt prefix is identified by everything that is sent to the backend server.
func (x *exchange) requestHash() uint64 {
	identity := []string{x.org, x.r.URL.Path, x.call.Fingerprint}
	if x.call.Fingerprint == "" {
		identity = []string{x.org, x.r.Method, x.r.Host, x.r.RequestURI, x.call.Model}
	}
	h := xxhash.New()
	for _, part := range identity {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	if x.call.Fingerprint == "" {
		_, _ = h.Write(x.body)
	}
	return h.Sum64()
}

// logCrash logs that a backend server ended while it worked on the request, after so many events of its response. group is empty
// for a plain service.
func (x *exchange) logCrash(server *roster.Server, group string, events int) {
	x.attemptLog[len(x.attemptLog)-1] += ", " + noteCrashed
	x.d.log.Warn("backend server crashed while it worked on a request", "server", server.ID, "group", group, "id", x.call.ID,
		"route", x.route.Name, "hash", formatHash(x.hash), "prompt_parts", formatHashes(x.call.SharedParts), "events", events)
}

// forwardedStream is the state of the stream that is forwarded to the caller.
//
// # Load pattern
//
// A group that falls silent may have lost a member, and its head answers only seconds later, or it may be sound and go on; a plain backend
// server may have ended. Nothing tells which before it does. So a silent attempt is not given up: a standby attempt at another place is
// prepared beside it, and the first of the two to send an event goes on.
//
// The goroutine of the request owns the state and the bookkeeping of the exchange, except while it waits for a silent group:
// then the goroutine of the standby attempt does.
type forwardedStream struct {
	x   *exchange
	svc *route.Service
	// places finds the places of the attempts.
	places placeSource
	// headerSent is set once the status and headers have been sent to the caller.
	headerSent bool
	status     int
	// contentType is that of the response whose headers were sent.
	contentType string
	// lastEvent is the id of the last event that the caller has received completely.
	lastEvent string
	// lastForward is when the last event was forwarded.
	lastForward time.Time
	// events counts the complete events that were forwarded.
	events int
	// partial is set once a part of an event has been forwarded, so that the stream cannot go on at another place.
	partial bool
	// failure is an error response, which is forwarded if no later attempt succeeds.
	failure *bufferedResponse
	// exclude holds the names of the places of all attempts, unsent counts the attempts that did not reach their backend server.
	exclude []string
	unsent  int
	// handedTo are the daemons to which the request was handed over.
	handedTo []string

	mu sync.Mutex
	// awaited is the attempt whose group the request waits for, nil while it does not. standby is the one that is prepared
	// meanwhile. Both are guarded by mu.
	awaited *streamAttempt
	standby *standby
	tasks   errgroup.Group
}

// standby is an attempt that is prepared while the group of another one is silent.
type standby struct {
	cancel context.CancelCauseFunc
	// stopSeeking is called when the silent attempt has ended: then an attempt that is under way goes on, and no other one is begun.
	stopSeeking context.CancelFunc
	// attempt has begun to answer; it is nil if there is none. It is set before the task ends.
	attempt *streamAttempt
}

// streamAttempt is one attempt to have a group answer the request, or go on with its response.
type streamAttempt struct {
	s        *forwardedStream
	reserved *reservation
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// detach separates ctx from that of the reservation.
	detach func() bool
	// resume is the event after which the response goes on, empty for the beginning or where the caller said.
	resume string
	// underWay is the number of attempts beside which this one was made.
	underWay int
	// response is nil until its headers arrive; sendErr is why they did not. notices describes what they announce.
	response *backend.Response
	sendErr  error
	notices  string
	failure  *bufferedResponse
	// ready is set while events that were read have not been forwarded.
	ready  bool
	events eventReader
}

// SupersededError reports an attempt that is no longer needed, as another one has answered.
type SupersededError struct{ By string }

func (e *SupersededError) Error() string { return "superseded by " + e.By }

// AbandonedError reports an attempt that was ended because its caller left or its deadline passed.
type AbandonedError struct{ Reason string }

func (e *AbandonedError) Error() string { return "abandoned: " + e.Reason }

// NoRetryError reports that the retry budget of a service is used up.
type NoRetryError struct{ Service string }

func (e *NoRetryError) Error() string { return "no retry is left for service " + e.Service }

// reserve acquires a place for an attempt beside the given number of others, at none of the groups to avoid, and pays for it, once
// however often a place is sought.
func (s *forwardedStream) reserve(ctx context.Context, underWay int, avoid []string) (*reservation, error) {
	x := s.x
	if !x.payRetry(underWay) && !x.d.paths.lost(x.service) {
		return nil, &NoRetryError{x.service}
	}
	reserved, err := s.acquire(ctx, underWay, avoid)
	if err != nil || reserved.peer != "" {
		return reserved, err // if this daemon could not pay, the other one does
	}
	if !x.payRetry(underWay) {
		reserved.release()
		return nil, &NoRetryError{x.service}
	}
	x.paid = false
	s.exclude = append(s.exclude, reserved.name())
	return reserved, nil
}

// acquire waits for a place that has not been tried and is not to be avoided, beside the given number of attempts. Without a path to the
// backend servers it has another daemon serve the request.
func (s *forwardedStream) acquire(ctx context.Context, underWay int, avoid []string) (*reservation, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	x := s.x
	if err := s.places.rejection(time.Now()); err != nil {
		return nil, err
	}
	if x.d.paths.lost(x.service) {
		target := x.handOverTarget(s.handedTo)
		if target == nil {
			return nil, x.noPath()
		}
		s.handedTo = append(s.handedTo, target.Name)
		return handOver(target), nil
	}
	return s.places.take(ctx, underWay, avoid)
}

// seek reserves a place for a standby where the service is known to work, or at any if there is none soon.
func (s *forwardedStream) seek(preparation context.Context, limit time.Duration) (*reservation, error) {
	avoid := s.places.withoutEvidence(limit)
	if len(avoid) > 0 {
		soon, cancel := context.WithTimeout(preparation, maxStandbyRetry)
		defer cancel()
		if reserved, err := s.reserve(soon, 1, avoid); err == nil || preparation.Err() != nil {
			return reserved, err
		}
	}
	return s.reserve(preparation, 1, nil)
}

// newAttempt returns an attempt that goes on after the last event that was forwarded, beside the given number of others. The caller
// settles it.
func (s *forwardedStream) newAttempt(ctx context.Context, reserved *reservation, underWay int) *streamAttempt {
	a := &streamAttempt{s: s, reserved: reserved, underWay: underWay, events: eventReader{x: s.x, reserved: reserved, last: s.lastEvent, resuming: s.headerSent, base: s.events}}
	// Until the caller has got an event, its own Last-Event-Id header, which is forwarded, is the position to resume from.
	if s.headerSent {
		a.resume = s.lastEvent
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.detach = context.AfterFunc(reserved.ctx, func() { a.cancel(context.Cause(reserved.ctx)) })
	if reserved.peer != "" && s.x.route.Repeatable() && s.x.attemptLeft(underWay+1) {
		detach, unwatch := a.detach, s.x.d.dispatch.watchPeer(reserved.peer, func() { a.cancel(&PeerLostError{reserved.peer}) })
		a.detach = func() bool {
			unwatch()
			return detach()
		}
	}
	s.watch(ctx, a)
	return a
}

// watch has a standby prepared when the group of an attempt falls silent while the request waits for it.
func (s *forwardedStream) watch(ctx context.Context, a *streamAttempt) {
	a.reserved.watch(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startStandby(ctx, a)
	})
}

// run forwards the response of an attempt. It returns nil once the whole response has been forwarded, or else the error of
// the attempt and the one that takes its place, if there is one.
func (s *forwardedStream) run(ctx context.Context, a *streamAttempt) (next *streamAttempt, err error) {
	defer func() { s.settle(ctx, a, err) }()
	read := a.open
	for {
		if !a.ready {
			if next, err = s.await(ctx, a, read); err != nil {
				return next, err
			}
		}
		a.ready, read = false, a.next
		if err := s.write(a); err != nil || a.events.eof {
			return nil, err
		}
	}
}

// await calls read, which waits for events of an attempt. If the group falls silent, another attempt is prepared meanwhile; it
// is returned with an error if it was the first to answer, or if the silent one has failed.
func (s *forwardedStream) await(ctx context.Context, a *streamAttempt, read func() error) (*streamAttempt, error) {
	s.mu.Lock()
	s.awaited = a
	if a.reserved.silent.Load() {
		s.startStandby(ctx, a)
	}
	s.mu.Unlock()
	err := a.cause(read())
	s.mu.Lock()
	other := s.standby
	s.awaited, s.standby = nil, nil
	s.mu.Unlock()
	if other != nil {
		if err == nil {
			other.cancel(&SupersededError{a.reserved.name()})
		} else {
			other.stopSeeking()
			a.detach()
			a.reserved.release() // the group no longer works on the request
		}
		_ = s.tasks.Wait() // its task returns no error
		other.cancel(nil)
		if other.attempt != nil && err == nil {
			err = &StalledError{a.reserved.name()} // both have answered; the silent attempt has been cancelled
		}
		return other.attempt, err
	}
	return nil, err
}

// startStandby prepares another attempt while a waits for its group, unless the request must not run at two of them. s.mu is
// held.
func (s *forwardedStream) startStandby(ctx context.Context, a *streamAttempt) {
	if s.awaited != a || s.standby != nil || !s.x.route.Repeatable() || s.partial {
		return
	}
	// The attempt outlives this context, which ends only the preparation.
	preparation, cancel := context.WithCancelCause(ctx)
	whileSilent, stopSeeking := context.WithCancel(preparation)
	other := &standby{cancel: cancel, stopSeeking: stopSeeking}
	s.standby = other
	s.tasks.Go(func() error {
		defer stopSeeking()
		other.attempt = s.prepare(ctx, preparation, whileSilent, a)
		return nil
	})
}

const (
	// standbyRetry and maxStandbyRetry are the shortest and the longest time after which a place for a standby is sought again.
	standbyRetry    = 50 * time.Millisecond
	maxStandbyRetry = 250 * time.Millisecond
)

// prepare makes attempts at other groups until one has begun to answer, and cancels the silent attempt then. Where there is no place
// for an attempt, it looks again until whileSilent ends, which is when the silent attempt does.
func (s *forwardedStream) prepare(ctx, preparation, whileSilent context.Context, silent *streamAttempt) *streamAttempt {
	x := s.x
	for s.places.mayTry(s.unsent) && preparation.Err() == nil && x.attemptLeft(1) {
		// Without a path, an attempt at another group would be as silent. A response that came in the last part of the silence
		// shows that there is one.
		x.d.paths.verify(whileSilent, x.service, silent.reserved.limit/3)
		if whileSilent.Err() != nil {
			return nil
		}
		reserved, err := s.seek(preparation, silent.reserved.limit)
		var pathLost *PathLostError
		switch {
		case errors.As(err, &pathLost):
			continue
		case err != nil:
			pause := standbyRetry
			var rejected *RejectedError
			if errors.As(err, &rejected) && !x.d.paths.lost(x.service) {
				pause = min(max(rejected.RetryAfter, standbyRetry), maxStandbyRetry)
			}
			if len(s.handedTo) > 0 {
				s.handedTo, pause = nil, maxStandbyRetry // they may have room, or a path, then
			}
			if timer.Wait(whileSilent, pause) != nil {
				return nil
			}
			continue
		}
		a := s.newAttempt(ctx, reserved, 1)
		if x.attempts+2 < x.route.MaxAttempts {
			// A standby at a group that is silent too makes room for one at a third group.
			reserved.watch(func() { a.cancel(&StalledError{reserved.name()}) })
		}
		stop := context.AfterFunc(preparation, func() { a.cancel(context.Cause(preparation)) })
		err = a.cause(a.open())
		if !stop() {
			a.cancel(context.Cause(preparation))
			err = a.cause(context.Canceled)
		}
		if err == nil {
			s.watch(ctx, a)
			silent.cancel(&StalledError{silent.reserved.name()})
			return a
		}
		s.settle(preparation, a, err)
		if reserved.peer != "" && timer.Wait(whileSilent, standbyRetry) != nil {
			return nil
		}
	}
	return nil
}

// settle ends an attempt and records its result.
func (s *forwardedStream) settle(ctx context.Context, a *streamAttempt, err error) {
	x, before := s.x, s.x.attempts
	end := func(bool) {
		if a.response != nil {
			a.response.Close()
		}
		a.cancel(nil)
	}
	a.detach()
	a.reserved.release()
	if a.failure != nil && a.failure.tail {
		a.failure.done = end // the rest of the response may still be forwarded
	} else {
		end(false)
	}
	x.recordAttempt(a.reserved.head, a.reserved.key, a.sendErr, a.response, a.notices)
	if a.failure != nil {
		s.failure.discard()
		s.failure = a.failure
	}
	var other *OtherAnswerError
	if err == nil || errors.As(err, &other) {
		return
	}
	if !errors.Is(err, a.sendErr) {
		x.attemptLog[len(x.attemptLog)-1] += ", after event " + a.events.last + ": " + err.Error()
	}
	var superseded *SupersededError
	if errors.As(err, &superseded) {
		x.d.metrics.RecordFailedAttempt(x.service, causeSuperseded)
	}
	if ctx.Err() != nil {
		return
	}
	if a.reserved.peer == "" {
		x.recordFailure(ctx, a.reserved, err, a.events.count)
	}
	if x.attempts == before {
		// Beside a silent attempt, there is time to ask one daemon after the other.
		if a.reserved.peer == "" || a.underWay == 0 {
			s.unsent++
		}
	} else if countsAgainstGroup(err) {
		a.reserved.reportFailure(err)
	}
}

// cause returns why an attempt failed: the reason of this daemon if it has closed the connection itself, else err.
func (a *streamAttempt) cause(err error) error {
	if err == nil || a.ctx.Err() == nil {
		return err
	}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return &AbandonedError{"the deadline passed"}
	case errors.Is(cause, context.Canceled):
		return &AbandonedError{"the caller left"}
	default:
		return cause
	}
}

// open sends the request to the group and reads the first events of the response.
func (a *streamAttempt) open() error {
	x, head := a.s.x, a.reserved.head
	sent := time.Now()
	if a.reserved.peer == "" {
		if a.sendErr = x.checkServer(head, a.reserved.key); a.sendErr != nil {
			return a.sendErr
		}
	}
	var r *backend.Response
	var err error
	if a.reserved.peer != "" {
		r, err = x.d.peerPool.Do(a.ctx, head, x.buildHandOver(a.resume, a.underWay), 0)
	} else {
		r, err = x.d.pool.Do(a.ctx, head, x.buildRequest(head, a.s.places.priority(), a.resume), x.d.connectionLimit(a.s.svc))
	}
	if err != nil {
		a.sendErr = err
		if a.reserved.peer == "" && suggestsLostPath(a.ctx, err) {
			x.d.paths.doubt(x.service)
			var notSent *backend.NotSentError
			if errors.As(err, &notSent) {
				a.reserved.recordConnection(false)
			}
		}
		return err
	}
	a.response = r
	if a.reserved.peer != "" {
		return a.openPeer(r)
	}
	a.reserved.recordConnection(true)
	a.notices = x.d.handleNotices(head, r)
	if n, relevant := x.d.observeLimit(head, r, sent); relevant {
		a.reserved.reportLimit(n, sent)
	}
	if r.NotExecuted {
		a.reserved.recordRejection(r.Pause)
	}
	if r.NotExecuted || !forwardable(r) {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxReadAhead)) // allows the connection to be reused
		if r.NotExecuted {
			return &NotRunError{head.ID, r.Status}
		}
		return &UnusableError{head.ID, r.Status}
	}
	return a.readResponse(r)
}

// openPeer reads the first events of the response of the daemon to which the request was handed over.
func (a *streamAttempt) openPeer(r *backend.Response) error {
	if err := a.s.x.handOverResult(a.reserved.peer, r); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxReadAhead)) // allows the connection to be reused
		return err
	}
	return a.readResponse(r)
}

// readResponse reads the first events of a response of a backend server.
func (a *streamAttempt) readResponse(r *backend.Response) error {
	if r.Status != http.StatusOK || !a.s.places.isStream(r) {
		return a.readOther(r)
	}
	if a.s.headerSent && r.Header.Get("Content-Type") != a.s.contentType {
		return &UnusableError{a.reserved.head.ID, r.Status}
	}
	a.events.response, a.events.bounds = r, a.s.places.bounds(r)
	return a.next()
}

// OtherAnswerError reports a response that is no stream and that no other backend server need be asked for.
type OtherAnswerError struct {
	Server string
	Status int
}

func (e *OtherAnswerError) Error() string {
	return "backend server " + e.Server + " answers without a stream: " + strconv.Itoa(e.Status)
}

// readOther reads a response that is no stream.
func (a *streamAttempt) readOther(r *backend.Response) error {
	id, out := a.reserved.head.ID, &bufferedResponse{a: r}
	if err := out.readAhead(a.s.x); err != nil {
		return &backend.NoResponseError{Server: id, Err: err}
	}
	a.failure = out
	if a.s.places.isAnswer(r.Status) {
		a.reserved.recordOutcome(false)
		return &OtherAnswerError{id, r.Status}
	}
	return &UnusableError{id, r.Status}
}

// next reads the next events of the response.
func (a *streamAttempt) next() error {
	err := a.events.read()
	a.ready = err == nil
	return err
}

// write forwards the events that were read last to the caller.
func (s *forwardedStream) write(a *streamAttempt) error {
	x, r := s.x, &a.events
	if !s.headerSent {
		s.headerSent, s.status, x.firstAt = true, a.response.Status, time.Now()
		s.contentType = a.response.Header.Get("Content-Type")
		// The Content-Length of one attempt does not hold for the joined response.
		a.response.Length = -1
		a.response.Header.Del("Content-Length")
		x.writeHeader(a.response)
	}
	now := time.Now()
	if !s.lastForward.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(s.lastForward))
	}
	s.lastForward = now
	s.events, s.partial = r.base+r.count, s.partial || r.partial
	// A write that is larger than the buffer of the socket may wait for delayed acknowledgements several times.
	for part := range slices.Chunk(r.buf[:r.whole], socketBuffer) {
		if _, err := x.w.Write(part); err != nil {
			x.countSlowCaller(err)
			return err
		}
	}
	if !r.eof {
		if err := http.NewResponseController(x.w).Flush(); err != nil {
			return err
		}
	}
	s.lastEvent = r.last
	return nil
}

// eventReader reads the events of one attempt. Only complete events are forwarded, so that another attempt can resume after the
// last one.
type eventReader struct {
	x        *exchange
	reserved *reservation
	bounds   eventBounds
	response *backend.Response
	// buf holds what was read; its first whole bytes are complete events, and the first searched bytes hold no other end
	// of an event.
	buf             []byte
	whole, searched int
	// partial is set once an event was larger than the buffer. All that is read from then on is forwarded at once, and pos tells whether it
	// ends inside an event.
	partial bool
	pos     sse.Position
	// last is the id of the last event, sinceID the number of bytes read since the last id.
	last    string
	sinceID int64
	// resuming is set until the first event, whose id shows that the stream goes on where it was broken off.
	resuming bool
	// base counts the events of earlier attempts, count those of this one.
	base, count int
	// answered is set once the request can no longer have crashed its backend server.
	answered bool
	// eof is set at the end of a complete response, err when it was broken off after the events in buf.
	eof bool
	err error
}

// eventBounds bounds what a faulty backend server may send.
type eventBounds struct {
	// events is the number of events, zero if it is not bounded.
	events int
	// sinceID is the number of bytes without an event id.
	sinceID int64
	// partial is set if an event that is larger than the buffer may be forwarded in parts.
	partial bool
	// gaps is set if the ids of events need only increase.
	gaps bool
}

// read reads until there is something to forward, usually complete events, or the response ends.
func (r *eventReader) read() error {
	if r.err != nil {
		return r.err
	}
	if r.buf == nil {
		r.buf = make([]byte, 0, readSize)
	}
	r.buf = append(r.buf[:0], r.buf[r.whole:]...)
	r.whole = 0
	r.reserved.expect()
	for {
		if len(r.buf) == cap(r.buf) {
			switch {
			case cap(r.buf) < maxEvent:
				r.buf = append(r.buf, make([]byte, cap(r.buf))...)[:len(r.buf)]
			case !r.bounds.partial || r.resuming:
				return &EndlessError{"an event is too large"}
			default:
				r.partial, r.whole = true, len(r.buf)
				r.pos.Advance(r.buf)
				return nil
			}
		}
		n, err := r.response.Body.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		whole, count, id := 0, 0, ""
		if r.partial {
			whole = len(r.buf)
			r.pos.Advance(r.buf)
		} else if sse.EventLength(r.buf[r.searched:]) >= 0 {
			var orderErr error
			if whole, count, id, orderErr = parseEvents(r.buf, r.last, r.resuming, r.bounds.gaps); orderErr != nil {
				return orderErr
			}
		}
		r.searched = max(len(r.buf)-whole-sse.MaxEnd+1, 0)
		r.count += count
		r.sinceID += int64(n)
		if id != "" {
			r.last, r.sinceID, r.resuming = id, 0, false
		}
		switch events := r.base + r.count; {
		case r.bounds.events > 0 && events > r.bounds.events:
			return &EndlessError{fmt.Sprintf("%d events, at most %d are expected", events, r.bounds.events)}
		case r.sinceID > r.bounds.sinceID:
			return &EndlessError{"events without ids"}
		}
		r.eof = errors.Is(err, io.EOF)
		switch {
		case !r.eof:
		case r.partial && r.pos.InEvent():
			r.eof, err = false, io.ErrUnexpectedEOF
		case !r.x.isEventStream(r.response), whole < len(r.buf) && len(bytes.TrimSpace(r.buf[whole:])) == 0:
			whole = len(r.buf)
		case whole < len(r.buf), r.base+r.count == 0 && !r.partial && r.response.EndsWithConnection:
			// The response ends inside an event, or with its connection before the first one.
			r.eof, err = false, io.ErrUnexpectedEOF
		}
		if !r.answered && (r.count > maxEventsBeforeCrash || r.partial || r.eof && r.count > 0) {
			r.answered = true
			r.reserved.recordOutcome(false)
		}
		if err != nil && !r.eof {
			r.response.Distrust()
			r.err = &backend.NoResponseError{Server: r.reserved.head.ID, Err: err}
		}
		if whole > 0 || r.eof {
			if n > 0 {
				r.reserved.progress()
			}
			r.whole = whole
			return nil
		}
		if r.err != nil {
			return r.err
		}
	}
}

// isEventStream reports whether a response consists of events. Routes of other kinds may get any body.
func (x *exchange) isEventStream(a *backend.Response) bool {
	return x.route.Kind == route.Streaming || sse.IsStream(a.Header)
}

// parseEvents returns the total length of the complete events in b, their number and the id of the last one. Numeric ids
// must be consecutive, or increase if gaps is set, also with the id last of the previous event; otherwise the response does not continue
// where the previous attempt ended. If resuming is set, the first event must have an id: text without one may be an error message.
func parseEvents(b []byte, last string, resuming, gaps bool) (whole, count int, id string, err error) {
	prev, known := -1, false
	if n, e := strconv.Atoi(last); e == nil {
		prev, known = n, true
	}
	for {
		n := sse.EventLength(b[whole:])
		if n < 0 {
			return whole, count, id, nil
		}
		event := b[whole : whole+n]
		whole += n
		count++
		for line := range lines(event) {
			v, ok := bytes.CutPrefix(line, []byte("id:"))
			if !ok {
				continue
			}
			id = string(bytes.TrimSpace(v))
			n, e := strconv.Atoi(id)
			if e != nil {
				continue
			}
			if known && (n <= prev || n != prev+1 && !gaps) {
				return 0, 0, "", &OrderError{strconv.Itoa(prev), id}
			}
			prev, known = n, true
		}
		if resuming && id == "" && !isComment(event) {
			return 0, 0, "", &OrderError{last, "an event without an id"}
		}
	}
}

// lines returns the lines of an event, which may end with LF, CR LF or CR. There are empty ones between CR and LF.
func lines(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for text := range bytes.SplitSeq(event, []byte("\n")) {
			for line := range bytes.SplitSeq(text, []byte("\r")) {
				if !yield(line) {
					return
				}
			}
		}
	}
}

// isComment reports whether an event has only comments, which servers send to keep a connection alive.
func isComment(event []byte) bool {
	for line := range lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
