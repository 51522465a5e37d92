package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

const (
	// readSize is the initial size of the event buffer, which grows for larger events.
	readSize = 2 << 10
	// maxEvent bounds the size of an event and the number of bytes between two event ids. Usual events have a few hundred
	// bytes, but a faulty backend server may send an endless body without events.
	maxEvent = 256 << 10
	// extraEvents is how many events a response may have in addition to one for each token that the caller accepts.
	extraEvents = 16
	// priorityLevels is the number of priorities that a model runner distinguishes.
	priorityLevels = 10
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

// serveStream serves a request to a model. The events of several attempts are joined into one response.
func (x *exchange) serveStream(ctx context.Context, svc *route.Service) {
	s := &forwardedStream{x: x, lastEvent: x.call.LastEvent}
	var exclude []string
	var last error
	ids := newSuspectIDs(x.requestHash(), x.call.SharedParts)
	for unsent := 0; unsent < maxUnsent; {
		if err := ctx.Err(); err != nil {
			last = err
			break
		}
		if !x.allowAttempt() {
			break
		}
		reserved, err := x.d.dispatch.acquire(ctx, svc, x.call.Model, x.org, balance.Request{
			Rank: x.rank, Prompt: x.call.PromptTokens, Objective: x.route.Objective, Gap: x.route.Gap, CallerTimeout: x.call.Timeout, Fingerprint: ids.request,
			Arrived: x.start, Until: x.deadline, Resumed: x.mayHaveRun || x.call.LastEvent != "",
		}, ids, exclude)
		if err != nil {
			last = err
			break
		}
		exclude = append(exclude, reserved.key)
		before, events := x.attempts, s.events
		err = s.attempt(ctx, svc, reserved)
		reserved.release()
		if err == nil {
			x.finish(s.status, outcomeServed)
			return
		}
		last = err
		if ctx.Err() == nil {
			x.recordFailure(ctx, reserved, err, s.events-events)
		}
		if x.attempts == before {
			unsent++
		} else if countsAgainstGroup(err) && ctx.Err() == nil {
			reserved.reportFailure()
		}
		if x.mayHaveRun && !x.route.Repeatable() {
			break
		}
	}
	switch {
	case s.failure != nil && !s.headerSent && x.r.Context().Err() == nil:
		s.failure.forward(x)
	case s.headerSent:
		x.finish(s.status, "broken off")
		panic(http.ErrAbortHandler)
	default:
		x.respondFailure(ctx, last)
	}
}

// Causes of failed attempts, for the log and the metrics.
const (
	causeNotSent  = "not sent"
	causeRejected = "rejected"
	causeStalled  = "stalled"
	causeCutOff   = "cut off"
	causeUnusable = "unusable"
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
	var cutOff *backend.NoResponseError
	switch {
	case errors.As(err, &notSent):
		cause = causeNotSent
	case errors.As(err, &rejected):
		cause = causeRejected
	case errors.As(err, &stalled):
		cause = causeStalled
	case errors.As(err, &quarantined):
		cause = causeQuarantined
	case errors.As(err, &cutOff):
		cause = causeCutOff
		if events <= maxEventsBeforeCrash && x.d.hasEnded(ctx, s.head) {
			cause = causeCrashed
			s.recordOutcome(true)
			x.attemptLog[len(x.attemptLog)-1] += ", " + noteCrashed
			x.d.log.Warn("backend server crashed while it worked on a request", "server", s.head.ID, "group", s.key, "id", x.call.ID,
				"route", x.route.Name, "prompt", formatHash(x.requestHash()), "prompt_parts", formatHashes(x.call.SharedParts), "events", events)
		}
	}
	x.d.metrics.RecordFailedAttempt(x.service, cause)
}

// hasEnded reports whether the process of a backend server has ended, as a new connection to it is refused.
func (d *Daemon) hasEnded(ctx context.Context, s *roster.Server) bool {
	ended, _, _ := d.probes.Do(s.ID, func() (any, error) { return d.pool.RefusesConnections(context.WithoutCancel(ctx), s.Addr), nil })
	return ended.(bool)
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

// requestHash returns a hash that is the same for all attempts of a caller at one request, or zero if there is none.
func (x *exchange) requestHash() uint64 {
	if x.call.Fingerprint == "" {
		return 0
	}
	h := xxhash.New()
	for _, part := range []string{x.org, x.r.URL.Path, x.call.Fingerprint} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// forwardedStream is the state of the stream that is forwarded to the caller.
type forwardedStream struct {
	x *exchange
	// headerSent is set once the status and headers have been sent to the caller.
	headerSent bool
	status     int
	// contentType is that of the response whose headers were sent.
	contentType string
	// lastEvent is the id of the last event that the caller has received completely.
	lastEvent string
	// lastForward is when the last event was forwarded.
	lastForward time.Time
	// events counts the complete events that were received from backend servers.
	events int
	// failure is an error response, which is forwarded if no later attempt succeeds.
	failure *bufferedResponse
}

// attempt sends the request to one group and forwards its events. It returns nil once the whole response has been
// forwarded.
func (s *forwardedStream) attempt(ctx context.Context, svc *route.Service, reserved *reservation) error {
	x := s.x
	head := reserved.head
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(reserved.ctx, cancel)()
	// Until the caller has got an event, its own Last-Event-Id header, which is forwarded, is the position to resume from.
	resume := ""
	if s.headerSent {
		resume = s.lastEvent
	}
	sent := time.Now()
	a, err := x.d.pool.Do(ctx, head, x.buildRequest(head, priority(x.rank), resume), x.d.connectionLimit(svc))
	ran := x.recordAttempt(head, reserved.key, err, a)
	if err != nil {
		if reserved.ctx.Err() != nil {
			return context.Cause(reserved.ctx)
		}
		return err
	}
	defer a.Close()
	if n, relevant := x.d.observeLimit(head, a, sent); relevant {
		reserved.reportLimit(n, sent)
	}
	if !ran {
		x.d.dispatch.excludeRejecting(reserved.key, a.Pause)
	}
	if !ran || !forwardable(a) {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxReadAhead)) // allows the connection to be reused
		if !ran {
			return &NotRunError{head.ID, a.Status}
		}
		return &UnusableError{head.ID, a.Status}
	}
	if a.Status != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(a.Body, maxReadAhead+1))
		if err != nil {
			return &backend.NoResponseError{Server: head.ID, Err: err}
		}
		if len(body) <= maxReadAhead {
			s.failure = &bufferedResponse{a: a, body: body, done: func(bool) {}}
		}
		return &UnusableError{head.ID, a.Status}
	}
	if s.headerSent && a.Header.Get("Content-Type") != s.contentType {
		return &UnusableError{head.ID, a.Status}
	}
	err = s.forward(a, reserved)
	if err != nil && reserved.ctx.Err() != nil {
		err = context.Cause(reserved.ctx)
	}
	if err != nil {
		x.attemptLog[len(x.attemptLog)-1] += ", after event " + s.lastEvent + ": " + err.Error()
	}
	return err
}

// priority converts a rank to the priority that is sent to a model runner.
func priority(rank int) int { return min(max(rank, 0), priorityLevels-1) }

// forward forwards the events of one attempt to the caller. Only complete events are forwarded, so that another attempt can
// resume after the last one.
func (s *forwardedStream) forward(a *backend.Response, reserved *reservation) error {
	x := s.x
	control := http.NewResponseController(x.w)
	buf := make([]byte, 0, readSize)
	// searched is the length of the prefix of buf that holds no end of an event. sinceID is the number of bytes read since
	// the last event id.
	searched, sinceID := 0, 0
	before, answered := s.events, false
	resuming := s.headerSent // until the first event, whose id shows that the stream goes on where it was broken off
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				return &EndlessError{"an event is too large"}
			}
			buf = append(buf, make([]byte, cap(buf))...)[:len(buf)]
		}
		n, err := a.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		whole, count := 0, 0
		id, orderErr := "", error(nil)
		if eventLength(buf[searched:]) >= 0 {
			whole, count, id, orderErr = parseEvents(buf, s.lastEvent, resuming)
		}
		if orderErr != nil {
			return orderErr
		}
		searched = max(len(buf)-whole-maxEventEnd+1, 0)
		s.events += count
		sinceID += n
		if id != "" {
			sinceID, resuming = 0, false
		}
		switch maxTokens := x.call.MaxTokens; {
		case maxTokens > 0 && s.events > maxTokens+extraEvents:
			return &EndlessError{strconv.Itoa(s.events) + " events for " + strconv.Itoa(maxTokens) + " tokens"}
		case sinceID > maxEvent:
			return &EndlessError{"events without ids"}
		}
		eof := errors.Is(err, io.EOF)
		switch {
		case !eof:
		case !x.isEventStream(a), whole < len(buf) && len(bytes.TrimSpace(buf[whole:])) == 0:
			whole = len(buf)
		case whole < len(buf), s.events == 0 && a.EndsWithConnection:
			// The response ends inside an event, or with its connection before the first one.
			eof, err = false, io.ErrUnexpectedEOF
		}
		if !answered && (s.events-before > maxEventsBeforeCrash || eof && s.events > before) {
			answered = true
			reserved.recordOutcome(false)
		}
		if whole > 0 || eof {
			if !s.headerSent {
				s.headerSent, s.status, x.firstAt = true, a.Status, time.Now()
				s.contentType = a.Header.Get("Content-Type")
				// The Content-Length of one attempt does not hold for the joined response.
				a.Length = -1
				a.Header.Del("Content-Length")
				x.writeHeader(a)
			}
			now := time.Now()
			if !s.lastForward.IsZero() {
				x.maxGap = max(x.maxGap, now.Sub(s.lastForward))
			}
			s.lastForward = now
			if n > 0 {
				reserved.progress()
			}
			if _, writeErr := x.w.Write(buf[:whole]); writeErr != nil {
				return writeErr
			}
			if !eof {
				if flushErr := control.Flush(); flushErr != nil {
					return flushErr
				}
			}
			if id != "" {
				s.lastEvent = id
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if eof {
			return nil
		}
		if err != nil {
			return &backend.NoResponseError{Server: reserved.head.ID, Err: err}
		}
	}
}

// isEventStream reports whether a response consists of events. Routes of other kinds may get any body.
func (x *exchange) isEventStream(a *backend.Response) bool {
	return x.route.Kind == route.Streaming || strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// Ends of events: a line end and an empty line.
var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\n\r\n")
)

// maxEventEnd is the length of the longest end of an event.
const maxEventEnd = 3

// eventLength returns the length of the first complete event in b with its end, or -1 if there is none.
func eventLength(b []byte) int {
	i := bytes.Index(b, eventEnd)
	if i >= 0 {
		b = b[:i+1]
	}
	if j := bytes.Index(b, eventEndCR); j >= 0 {
		return j + len(eventEndCR)
	}
	if i < 0 {
		return -1
	}
	return i + len(eventEnd)
}

// parseEvents returns the total length of the complete events in b, their number and the id of the last one. Numeric ids
// must be consecutive, also with the id last of the previous event; otherwise the response does not continue where the
// previous attempt ended. If resuming is set, the first event must have an id: text without one may be an error message.
func parseEvents(b []byte, last string, resuming bool) (whole, count int, id string, err error) {
	prev, known := -1, false
	if n, e := strconv.Atoi(last); e == nil {
		prev, known = n, true
	}
	for {
		n := eventLength(b[whole:])
		if n < 0 {
			return whole, count, id, nil
		}
		event := b[whole : whole+n]
		whole += n
		count++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			v, ok := bytes.CutPrefix(line, []byte("id:"))
			if !ok {
				continue
			}
			id = string(bytes.TrimSpace(v))
			n, e := strconv.Atoi(id)
			if e != nil {
				continue
			}
			if known && n != prev+1 {
				return 0, 0, "", &OrderError{strconv.Itoa(prev), id}
			}
			prev, known = n, true
		}
		if resuming && id == "" && !isComment(event) {
			return 0, 0, "", &OrderError{last, "an event without an id"}
		}
	}
}

// isComment reports whether an event has only comments, which servers send to keep a connection alive.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
