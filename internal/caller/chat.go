package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/retry"
	"flamingorudder.example/internal/timeline"
)

// chat answers a chat, whole or streamed. A chat may be run again as long as the caller has seen no token of it.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, q request) error {
	b, err := readBody(w, r)
	if err != nil {
		return err
	}
	p, err := parseChat(b)
	if err != nil {
		return &Failure{Status: http.StatusBadRequest, Type: "bad_body", Message: "the body is not a chat request: " + err.Error(), Outcome: NotRun}
	}
	c := p.ChatRequest
	if len(c.Messages) == 0 || c.MaxTokens < 0 {
		return &Failure{Status: http.StatusBadRequest, Type: "bad_body", Message: "send at least one message, and no max_tokens below 0", Outcome: NotRun}
	}
	if _, ok := q.cfg.ModelServices[c.Model]; !ok {
		return &Failure{Status: http.StatusNotFound, Type: "unknown_model", Message: fmt.Sprintf("there is no model service %q", c.Model), Outcome: NotRun}
	}
	j, err := s.accept(r, q, c.Model, max(1, promptTokens(c)+c.MaxTokens))
	if err != nil {
		return err
	}
	j.output, j.prefix = c.MaxTokens, engine.Prefixes(c)
	j.call.Repeatable, j.call.Resumable = true, true
	ctx, stop := context.WithDeadline(r.Context(), j.due)
	defer stop()
	x := &exchange{Server: s, job: j, r: r, chat: p, out: answer{w: w, id: q.id, chat: p, created: s.Now().Unix()}}
	for again := true; again; {
		slot, err := s.acquire(ctx, r, j)
		if err != nil {
			return x.end(err)
		}
		again, err = x.attempt(ctx, slot)
		if err != nil {
			return x.end(err)
		}
	}
	return x.end(nil)
}

// readBody reads a whole body from a caller that keeps sending.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(stall))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &tooLong):
		return nil, &Failure{Status: http.StatusRequestEntityTooLarge, Type: "too_large", Message: fmt.Sprintf("the body is over %d bytes", tooLong.Limit), Outcome: NotRun}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, slow(NotRun)
	}
	return nil, &Failure{Status: http.StatusBadRequest, Type: "bad_body", Message: "the body could not be read", Outcome: NotRun}
}

// prompt is a chat request as the caller sent it.
type prompt struct {
	// Chat holds what this server uses of the request.
	engine.ChatRequest
	// usage is whether a stream ends with the counts of tokens.
	usage bool
	// body is what the engine is sent: the caller's fields, known or not, with an answer that is always streamed.
	body []byte
}

// parseChat reads a chat request. Fields are found by their exact names, as an engine finds them: encoding/json would
// also take "MODEL" for the model, and the engine could run another one than the caller was admitted to.
func parseChat(b []byte) (prompt, error) {
	var p prompt
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return p, err
	}
	var messages []map[string]json.RawMessage
	var options struct {
		Usage bool `json:"include_usage"`
	}
	for _, f := range []struct {
		name string
		to   any
	}{
		{"model", &p.Model},
		{"messages", &messages},
		{"max_completion_tokens", &p.MaxTokens},
		{"max_tokens", &p.MaxTokens},
		{"stream", &p.Stream},
		{"stream_options", &options},
	} {
		v, ok := fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(v, f.to); err != nil {
			return p, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	p.usage = options.Usage
	for _, m := range messages {
		var role string
		_ = json.Unmarshal(m["role"], &role) // The engine judges what it is sent.
		p.Messages = append(p.Messages, engine.Message{Role: role, Content: content(m["content"])})
	}
	if fields == nil {
		return p, nil
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "stream_options")
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false) // The caller's values are passed on unchanged.
	if err := enc.Encode(fields); err != nil {
		return p, err
	}
	p.body = bytes.TrimSpace(out.Bytes())
	return p, nil
}

// content is the text of a message, which is a string or a list of parts.
func content(v json.RawMessage) string {
	var text string
	if json.Unmarshal(v, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(v, &parts)
	for _, p := range parts {
		text += p.Text
	}
	return text
}

// promptTokens estimates the length of a prompt in tokens, at about four bytes each; engines don't report it.
func promptTokens(c engine.ChatRequest) (n int) {
	for _, m := range c.Messages {
		n += len(m.Content) / 4
	}
	return n
}

// exchange is one chat from the first attempt to the end of the answer.
type exchange struct {
	*Server
	*job
	r    *http.Request
	chat prompt
	out  answer

	// The current attempt: its id, the tokens that have arrived, and when it was sent and gave its first token.
	id          string
	tokens      int
	sent, first time.Time
	// began is told of the first token; nil where nobody wants to know.
	began func()
	// fruitless counts the resumptions since the last token, broken those of them that failed at once.
	fruitless, broken int
	forgotten         bool
	// gone is whether the last probe could not reach the engine.
	gone bool
}

// maxBroken is how many resumptions in a row may fail at once before the attempt counts as forgotten.
const maxBroken = 3

// attempt sends the chat once and resumes its stream as often as that helps. It reports whether another attempt is to
// be made.
func (x *exchange) attempt(ctx context.Context, slot Slot) (again bool, err error) {
	t := slot.Target
	x.id = x.sending(x.Log, t)
	x.tokens, x.fruitless, x.broken, x.forgotten, x.gone = 0, 0, 0, false, false
	x.sent, x.first, x.began = time.Now(), time.Time{}, slot.Began
	x.out.reset()
	if x.out.given == 0 {
		x.seen.First = 0 // What an earlier attempt delivered was not given to the caller.
	}
	v := x.speeds.get(t.Addr)
	reason := retry.Done.String()
	defer func() {
		x.Log.Add(timeline.Event{Kind: timeline.AttemptEnded, Request: x.request.id, Attempt: x.id, Reason: reason})
		slot.Release(x.result(reason))
	}()

	stream, err := x.Engine.Send(ctx, t.Addr, engine.Attempt{ID: x.id, Group: t.Group, Generation: t.Generation, Priority: slot.Priority, Deadline: x.due, FirstTokenTimeout: v.firstLimit(), Chat: x.chat.ChatRequest, Body: x.chat.body})
	for {
		if err == nil {
			err = x.read(stream, v.gapLimit())
			stream.Close()
		}
		if err == nil {
			x.call.End(retry.Result{Outcome: retry.Done})
			x.learn(t)
			return false, nil
		}
		var gone *Gone
		if errors.As(err, &gone) || ctx.Err() != nil {
			reason = "cancelled"
			x.call.End(x.failed(classify(err), false))
			x.cancel(ctx, t)
			if gone != nil {
				x.Log.Add(timeline.Event{Kind: timeline.RequestCancelled, Request: x.request.id, Attempt: x.id})
				return false, gone
			}
			return false, x.stopped(ctx, x.r, x.job, x.id)
		}
		out := classify(err)
		d, alive := x.decide(ctx, t, out)
		if d.Action != retry.Resume {
			reason = out.String()
			x.shun(t, out)
			if x.gone && out == retry.Broken {
				x.avoid = append(x.avoid, dispatch.TargetID{Group: t.Group, Generation: t.Generation})
			}
			if alive {
				x.cancel(ctx, t)
			}
			if d.Action == retry.Again {
				return true, nil
			}
			return false, x.gaveUp(out)
		}
		x.Log.Add(timeline.Event{Kind: timeline.StreamResumed, Request: x.request.id, Attempt: x.id, Reason: out.String()})
		x.fruitless++
		stream, err = x.Engine.Resume(ctx, t.Addr, x.id, x.tokens, x.patience(v))
		var refused *engine.RefusedError
		if errors.As(err, &refused) {
			// The engine no longer knows the attempt. What ended it before is what counts.
			x.forgotten = true
			err = &engine.BrokenStreamError{Tokens: x.tokens, Err: refused}
		}
	}
}

// decide judges a failed attempt, after a probe of the engine where the answer may still be had. It also reports
// whether the engine answered; one that does not cannot be told to cancel.
func (x *exchange) decide(ctx context.Context, t dispatch.Target, out retry.Outcome) (d retry.Decision, alive bool) {
	switch out {
	case retry.Silent:
		x.Engine.DropConnections(t.Addr)
		fallthrough
	case retry.Broken, retry.Misrouted:
		if out != retry.Silent {
			x.broken++
		}
		probe, stop := context.WithTimeout(ctx, probeLimit)
		defer stop()
		st, err := x.Engine.Probe(probe, t.Addr)
		alive = err == nil && st.Generation == t.Generation
		var op *net.OpError
		x.gone = errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil
	}
	if x.broken > maxBroken {
		x.forgotten = true
	}
	return x.budget.decide(&x.call, time.Now(), x.failed(out, alive)), alive
}

func (x *exchange) failed(out retry.Outcome, alive bool) retry.Result {
	return retry.Result{Outcome: out, Tokens: x.tokens, Given: x.out.given, Alive: alive, ResumeRefused: x.forgotten}
}

// patience is the progress deadline of a resumed stream.
func (x *exchange) patience(v speed) time.Duration {
	limit := v.firstLimit()
	if x.tokens > 0 {
		limit = v.gapLimit()
	}
	return min(limit<<min(x.fruitless, 6), maxPatience)
}

// read relays the chunks of a stream until its end.
func (x *exchange) read(s *engine.Stream, limit time.Duration) error {
	for {
		k, err := s.NextWithTimeout(limit)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if x.tokens++; x.tokens == 1 {
			x.first = time.Now()
			x.seen.First = x.first.Sub(x.accepted)
			if x.began != nil {
				x.began()
			}
		}
		x.fruitless, x.broken = 0, 0
		if err := x.out.add(k); err != nil {
			return err
		}
	}
}

// cancel stops the attempt at the engine. It goes on when the caller has left, for a short time.
func (x *exchange) cancel(ctx context.Context, t dispatch.Target) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelLimit)
	defer stop()
	// A failure leaves the engine to notice the closed connection by itself.
	_ = x.Engine.Cancel(ctx, t.Addr, x.id)
}

// result is what the slot's owner learns from. Reason is how the attempt ended.
func (x *exchange) result(reason string) dispatch.Result {
	r := dispatch.Result{Tokens: x.tokens, Total: time.Since(x.sent), Failed: reason != retry.Done.String(), Unreachable: x.gone || reason == retry.NotSent.String()}
	if !x.first.IsZero() {
		r.TimeToFirstToken = x.first.Sub(x.sent)
	}
	return r
}

func (x *exchange) learn(t dispatch.Target) {
	var gap time.Duration
	if x.tokens > 1 {
		gap = time.Since(x.first) / time.Duration(x.tokens-1)
	}
	x.speeds.learn(t.Addr, x.first.Sub(x.sent), gap)
}

// end gives the caller its final answer. A stream that has begun ends with an error event and without [DONE].
func (x *exchange) end(err error) error {
	var gone *Gone
	x.seen.Tokens = x.out.given
	if err == nil {
		x.seen.Tokens = x.tokens // An answer that is not streamed is given at its end.
	}
	switch {
	case errors.As(err, &gone):
		x.replied(x.request, outcome(x.call.Verdict()), "caller left")
		return err
	case err == nil:
		x.replied(x.request, Run, "done")
		x.out.finish()
		return nil
	case x.out.given > 0:
		f := failure(err)
		x.replied(x.request, f.Outcome, f.Type)
		x.out.breakOff(f)
		return nil
	}
	return err
}

// answer writes a chat's answer to the caller: at once when it is streamed, else when it is complete.
type answer struct {
	w       http.ResponseWriter
	id      string
	chat    prompt
	created int64
	text    strings.Builder
	// given is how many tokens the caller has been sent, length how many the answer has, and reason why it ended.
	given, length int
	reason        string
}

// reset forgets what has been kept of an earlier attempt.
func (a *answer) reset() {
	a.text.Reset()
	a.length, a.reason = 0, ""
}

func (a *answer) add(k engine.Chunk) error {
	a.length++
	if k.Done {
		a.reason = "stop"
		if a.chat.MaxTokens > 0 && a.length >= a.chat.MaxTokens {
			a.reason = "length"
		}
	}
	if !a.chat.Stream {
		a.text.WriteString(k.Text)
		return nil
	}
	if a.given == 0 {
		h := a.w.Header()
		h.Set(HeaderOutcome, string(Run))
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	}
	d := delta{Content: k.Text}
	if a.given == 0 {
		d.Role = "assistant"
	}
	a.given++
	v := a.completion("chat.completion.chunk", a.choice("delta", d))
	if a.chat.usage {
		v["usage"] = nil
	}
	return a.event(v)
}

// delta is the part of a message that a chunk adds; only the first one names the role.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// event sends one event. It fails with *Gone when the caller does not take it in time.
func (a *answer) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode an event: %w", err)
	}
	return a.line("data: " + string(b))
}

// line sends the lines of one event.
func (a *answer) line(text string) error {
	rc := http.NewResponseController(a.w)
	_ = rc.SetWriteDeadline(time.Now().Add(stall))
	if _, err := io.WriteString(a.w, text+"\n\n"); err != nil {
		return &Gone{Err: err}
	}
	if err := rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return &Gone{Err: err}
	}
	return nil
}

func (a *answer) finish() {
	if a.chat.Stream {
		if a.chat.usage {
			v := a.completion("chat.completion.chunk")
			v["usage"] = a.usage()
			_ = a.event(v)
		}
		_ = a.line("data: [DONE]")
		return
	}
	a.w.Header().Set(HeaderOutcome, string(Run))
	v := a.completion("chat.completion", a.choice("message", engine.Message{Role: "assistant", Content: a.text.String()}))
	v["usage"] = a.usage()
	reply(a.w, http.StatusOK, v)
}

// breakOff ends a stream that has begun with an error event in place of [DONE].
func (a *answer) breakOff(f *Failure) {
	b, err := json.Marshal(f.body())
	if err == nil {
		_ = a.line("event: error\ndata: " + string(b))
	}
}

func (a *answer) completion(object string, choices ...any) map[string]any {
	return map[string]any{"id": a.id, "object": object, "created": a.created, "model": a.chat.Model, "choices": append([]any{}, choices...)}
}

func (a *answer) choice(field string, v any) map[string]any {
	choice := map[string]any{"index": 0, field: v, "finish_reason": nil}
	if a.reason != "" {
		choice["finish_reason"] = a.reason
	}
	return choice
}

// usage counts the tokens; those of the prompt are an estimate.
func (a *answer) usage() map[string]int {
	p := promptTokens(a.chat.ChatRequest)
	return map[string]int{"prompt_tokens": p, "completion_tokens": a.length, "total_tokens": p + a.length}
}
