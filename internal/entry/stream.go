package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/backend"
	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/route"
)

const (
	// readSize is the size of the buffer into which events are read; larger events grow it.
	readSize = 2 << 10
	// maxEvent bounds one event, and what may come between two ids. Known events take some hundred bytes; a backend server in
	// trouble may send bytes that are none without end.
	maxEvent = 256 << 10
	// moreEvents is how many events an answer may have beyond one for each token that the caller takes.
	moreEvents = 16
	// urgencies is the number of priorities that a model runner knows.
	urgencies = 10
)

// OrderError reports an event that does not follow the one before it.
type OrderError struct{ After, Got string }

func (e *OrderError) Error() string { return "event " + e.Got + " after " + e.After }

// EndlessError reports an answer that goes on beyond anything that the request asked for.
type EndlessError struct{ Reason string }

func (e *EndlessError) Error() string { return "answer without end: " + e.Reason }

// SilentError reports a group that stopped making progress.
type SilentError struct{ Group string }

func (e *SilentError) Error() string { return "group " + e.Group + " makes no progress" }

// NotRunError reports an answer that proves that the request has not run.
type NotRunError struct {
	Server string
	Status int
}

func (e *NotRunError) Error() string { return "not run by " + e.Server }

// stream serves a request to a model. The events of several attempts make one answer.
func (x *exchange) stream(ctx context.Context, svc *route.Service) {
	s := &relayed{x: x, lastEvent: x.call.LastEvent}
	var exclude []string
	var last error
	for unsent := 0; unsent < maxUnsent; {
		if err := ctx.Err(); err != nil {
			last = err
			break
		}
		if !x.maySend() {
			break
		}
		seat, err := x.d.dispatch.acquire(ctx, svc, x.call.Model, x.org, balance.Request{
			Rank: x.rank, Prompt: x.call.PromptTokens, Objective: x.route.Objective, Gap: x.route.Gap, Asked: x.call.Timeout, Mark: x.mark(),
			Arrived: x.began, Until: x.until, Continues: x.ran || x.call.LastEvent != "",
		}, exclude)
		if err != nil {
			last = err
			break
		}
		exclude = append(exclude, seat.key)
		before := x.sends
		err = s.attempt(ctx, svc, seat)
		seat.end()
		if err == nil {
			x.finish(s.status, outcomeServed)
			return
		}
		last = err
		if x.sends == before {
			unsent++
		} else if failedBy(err) && ctx.Err() == nil {
			seat.failed()
		}
		if x.ran && !x.route.Repeatable() {
			break
		}
	}
	switch {
	case s.failure != nil && !s.begun && x.r.Context().Err() == nil:
		s.failure.pass(x)
	case s.begun:
		x.finish(s.status, "broken off")
		panic(http.ErrAbortHandler)
	default:
		x.failed(ctx, last)
	}
}

// failedBy tells whether an attempt failed by what its backend server answered, or did not. A group that makes no progress
// is told of by other means, and one that proves that it has not run the request only turned it away.
func failedBy(err error) bool {
	var silent *SilentError
	var rejected *NotRunError
	return !errors.As(err, &silent) && !errors.As(err, &rejected)
}

// mark is the same for all attempts of a caller's request.
func (x *exchange) mark() uint64 {
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

// relayed is a stream as far as the caller has it.
type relayed struct {
	x *exchange
	// begun is set when the caller has the head of the answer.
	begun  bool
	status int
	// lastEvent is the id of the last event that the caller has whole.
	lastEvent string
	// passed is when the last event was passed on.
	passed time.Time
	// events counts those that the caller has.
	events int
	// failure is an answer other than a success, kept in case no other comes.
	failure *wholeAnswer
}

// attempt sends the request to one group and passes its events on. It returns nil when the caller has the whole answer.
func (s *relayed) attempt(ctx context.Context, svc *route.Service, seat *seat) error {
	x := s.x
	head := seat.head
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(seat.ctx, cancel)()
	// The caller's own place to go on from is in its header already.
	resume := ""
	if s.begun {
		resume = s.lastEvent
	}
	a, err := x.d.pool.Do(ctx, head, x.request(head, priority(x.rank), resume), x.d.connections(svc))
	ran := x.note(head, seat.key, err, a)
	if err != nil {
		if seat.ctx.Err() != nil {
			return &SilentError{seat.key}
		}
		return err
	}
	defer a.Close()
	if !ran {
		x.d.dispatch.reject(seat.key, a.Pause)
	}
	if !ran || !usable(a) {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxWhole)) // lets the connection be kept
		if !ran {
			return &NotRunError{head.ID, a.Status}
		}
		return &UnusableError{head.ID, a.Status}
	}
	if a.Status != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
		if err != nil {
			return &backend.NoResponseError{Server: head.ID, Err: err}
		}
		if len(body) <= maxWhole {
			s.failure = &wholeAnswer{a: a, body: body, done: func(bool) {}}
		}
		return &UnusableError{head.ID, a.Status}
	}
	err = s.pass(a, seat)
	if err != nil && seat.ctx.Err() != nil {
		err = &SilentError{seat.key}
	}
	if err != nil {
		x.trail[len(x.trail)-1] += ", after event " + s.lastEvent + ": " + err.Error()
	}
	return err
}

// priority is that of a rank at a model runner.
func priority(rank int) int { return min(max(rank, 0), urgencies-1) }

// pass gives the events of one attempt to the caller. Only whole events are passed on, so that another attempt can go on
// after the last one.
func (s *relayed) pass(a *backend.Response, seat *seat) error {
	x := s.x
	control := http.NewResponseController(x.w)
	buf := make([]byte, 0, readSize)
	// looked is the part of buf that is known to hold no end of an event, unnamed the bytes that came since the last id.
	looked, unnamed := 0, 0
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
		if bytes.Contains(buf[looked:], eventEnd) {
			whole, count, id, orderErr = events(buf, s.lastEvent)
		}
		if orderErr != nil {
			return orderErr
		}
		looked = max(len(buf)-whole-len(eventEnd)+1, 0)
		s.events += count
		unnamed += n
		if id != "" {
			unnamed = 0
		}
		switch most := x.call.MaxTokens; {
		case most > 0 && s.events > most+moreEvents:
			return &EndlessError{strconv.Itoa(s.events) + " events for " + strconv.Itoa(most) + " tokens"}
		case unnamed > maxEvent:
			return &EndlessError{"events without ids"}
		}
		end := errors.Is(err, io.EOF)
		if end && whole < len(buf) {
			// The answer is complete although its last event has no blank line.
			whole = len(buf)
		}
		if whole > 0 || end {
			if !s.begun {
				s.begun, s.status, x.first = true, a.Status, time.Now()
				// The length is that of one attempt.
				a.Length = -1
				a.Header.Del("Content-Length")
				x.head(a)
			}
			now := time.Now()
			if !s.passed.IsZero() {
				x.pause = max(x.pause, now.Sub(s.passed))
			}
			s.passed = now
			if n > 0 {
				seat.progress()
			}
			if _, werr := x.w.Write(buf[:whole]); werr != nil {
				return werr
			}
			if !end {
				if ferr := control.Flush(); ferr != nil {
					return ferr
				}
			}
			if id != "" {
				s.lastEvent = id
			}
			buf = append(buf[:0], buf[whole:]...)
		}
		if end {
			return nil
		}
		if err != nil {
			return &backend.NoResponseError{Server: seat.head.ID, Err: err}
		}
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// events returns the length of the whole events in b, their number and the id of the last one. Ids that are numbers must
// follow each other; a gap shows an answer that does not go on where the last attempt ended.
func events(b []byte, last string) (whole, count int, id string, err error) {
	prev, known := -1, false
	if n, e := strconv.Atoi(last); e == nil {
		prev, known = n, true
	}
	for {
		i := bytes.Index(b[whole:], eventEnd)
		if i < 0 {
			return whole, count, id, nil
		}
		event := b[whole : whole+i]
		whole += i + len(eventEnd)
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
	}
}
