// Package engine defines the wire types of the protocol of model engines and implements a client for it.
//
// Each attempt has an ID, which the engine echoes in a response header and in each chunk. The client drops a response or
// chunk that carries a different ID, counts it and closes the connection.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/http1"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/internal/traffic"
)

// Headers of the engine protocol.
const (
	HeaderAttempt    = "X-Attempt"
	HeaderPriority   = "X-Priority"
	HeaderGroup      = "X-Group"
	HeaderGeneration = "X-Generation"
	HeaderDeadline   = "X-Deadline"
)

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// ID is the attempt that the chunk belongs to.
	ID string `json:"id"`
	// Index is the position of the token in the response, counted from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
	Done  bool   `json:"done,omitempty"`
}

// Load is a load report of an engine. Member 0 of a group reports for the whole group.
type Load struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// Present tells whether member 0 can reach every member of its group.
	Present bool `json:"present"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	// TokenMillis is the mean time between tokens of one stream, in milliseconds.
	TokenMillis float64   `json:"token_ms"`
	At          time.Time `json:"at"`
}

// State is the assignment of an engine as the engine reports it, as set by the last order that it carried out.
type State struct {
	Instance   string `json:"instance"`
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	Fence      uint64 `json:"fence"`
	Index      int    `json:"index"`
	Loaded     bool   `json:"loaded"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Role       string `json:"role,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
}

// CacheOp is the kind of a cache event.
type CacheOp string

// Kinds of cache events.
const (
	CacheAdd  CacheOp = "add"
	CacheDrop CacheOp = "drop"
)

// CacheEvent reports a change of an engine's prefix cache. Seq counts events from 1; a gap in it means that events were
// lost.
type CacheEvent struct {
	Seq uint64  `json:"seq"`
	Op  CacheOp `json:"op"`
	// Prefix is one of the hashes that Prefixes returns. It is a string in JSON because some decoders lose precision in
	// 64-bit numbers.
	Prefix uint64 `json:"prefix,string"`
}

// CacheEvents is a page of cache events. Next is the sequence number to request next.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// prefixBlock is the block size, in bytes, of the prefix cache: cached prefixes end at multiples of it.
const prefixBlock = 64

// Prefixes returns the hashes of the prefixes of a prompt, shortest first. Each hash covers the model name and a whole
// number of blocks of the messages.
func Prefixes(c ChatRequest) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model + "\x00")
	var text []byte
	for _, m := range c.Messages {
		text = append(append(append(append(text, m.Role...), 0), m.Content...), 0)
	}
	out := make([]uint64, 0, len(text)/prefixBlock)
	for ; len(text) >= prefixBlock; text = text[prefixBlock:] {
		_, _ = d.Write(text[:prefixBlock])
		out = append(out, d.Sum64())
	}
	return out
}

// Op is the operation of an order.
type Op string

// Operations of an order.
const (
	OpLoad    Op = "load"
	OpUnload  Op = "unload"
	OpRole    Op = "role"
	OpAdapter Op = "adapter"
	OpVersion Op = "version"
)

// Order changes the assignment of an engine: its model, version, role, adapter or group.
type Order struct {
	Op Op `json:"op"`
	// Fence is the fencing token of the lease under which the order is sent. An engine that checks it rejects an order
	// whose token is lower than the highest that it has seen.
	Fence      uint64           `json:"fence"`
	Group      string           `json:"group"`
	Generation uint64           `json:"generation"`
	Index      int              `json:"index"`
	Members    []netip.AddrPort `json:"members,omitempty"`
	Model      string           `json:"model,omitempty"`
	Version    string           `json:"version,omitempty"`
	Role       string           `json:"role,omitempty"`
	Adapter    string           `json:"adapter,omitempty"`
}

// FencedError reports that an engine rejected an order because it has seen a higher fencing token.
type FencedError struct {
	Fence uint64 `json:"fence"`
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("order rejected: engine has seen the higher fencing token %d", e.Fence)
}

// RefusedError reports that an engine or plain service rejected a request before running any part of it.
type RefusedError struct {
	Status int    `json:"-"`
	Reason string `json:"reason"`
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", e.Status, e.Reason)
}

// NotSentError reports that a request failed before any byte of it was sent, so it was not run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }
func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenStreamError reports that a stream ended before its last chunk, after Tokens tokens.
type BrokenStreamError struct {
	Tokens int
	Err    error
}

func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream failed after %d tokens: %v", e.Tokens, e.Err)
}
func (e *BrokenStreamError) Unwrap() error { return e.Err }

// MisroutedError reports a response or chunk that carries the ID of another attempt.
type MisroutedError struct{ Want, Got string }

func (e *MisroutedError) Error() string {
	return fmt.Sprintf("response carries attempt ID %q, want %q", e.Got, e.Want)
}

// Attempt is one attempt to run a request on an engine.
type Attempt struct {
	ID         string
	Group      string
	Generation uint64
	Priority   int
	// Deadline is the zero time if the request has none.
	Deadline time.Time
	// FirstTokenTimeout is the progress timeout for the first token; 0 means none.
	FirstTokenTimeout time.Duration
	Chat              ChatRequest
	// Body, if set, is sent instead of Chat: a chat request as JSON, which may have fields that Chat lacks. It must request
	// a streamed response.
	Body []byte
}

// StallError reports that no data arrived within the progress timeout, after Tokens tokens. The connection has been closed. The
// engine may have run the request.
type StallError struct {
	Tokens  int
	Timeout time.Duration
}

func (e *StallError) Error() string {
	return fmt.Sprintf("no data received for %v after %d tokens", e.Timeout, e.Tokens)
}

// Client is a client for any number of engines. It is safe for concurrent use.
type Client struct {
	dial DialFunc
	mu   sync.Mutex
	// pools has a transport per engine, so that all connections to one engine can be dropped together.
	pools map[netip.AddrPort]*http1.Transport
	// noReuse opens a new connection for each request.
	noReuse http.RoundTripper
	// override, if set, is used instead of pools and noReuse.
	override http.RoundTripper
	// misrouted counts the responses and chunks that carried the ID of another attempt.
	misrouted atomic.Uint64
	// calls counts the calls other than streams; traffic counts the bytes of all, streams included.
	calls   atomic.Uint64
	onLoad  atomic.Pointer[func(l Load, requested time.Time)]
	traffic traffic.Counter
}

// DialFunc opens a connection, like net.Dialer.DialContext. Its errors must be a *net.OpError with Op "dial".
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	return NewClientWithDialer((&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext)
}

// NewClientWithDialer is like NewClient, but opens connections with dial.
func NewClientWithDialer(dial DialFunc) (*Client, func()) {
	c := &Client{pools: map[netip.AddrPort]*http1.Transport{}}
	c.dial = c.traffic.Dial(dial)
	noReuse := c.newTransport()
	noReuse.DisableKeepAlives = true
	c.noReuse = noReuse
	return c, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, tr := range c.pools {
			tr.CloseIdleConnections()
		}
	}
}

func (c *Client) newTransport() *http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
}

// maxPools bounds the number of engines that connections are kept to. A daemon uses only a small subset of the fleet.
const maxPools = 1024

// pool returns the transport of an engine. When there are maxPools it evicts an arbitrary one.
func (c *Client) pool(addr netip.AddrPort) http.RoundTripper {
	if c.override != nil {
		return c.override
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tr := c.pools[addr]
	if tr == nil {
		for a, old := range c.pools {
			if len(c.pools) < maxPools {
				break
			}
			old.CloseIdleConnections()
			delete(c.pools, a)
		}
		tr = c.newTransport()
		c.pools[addr] = tr
	}
	return tr
}

// DropConnections drops the connections to an engine: idle ones are closed, busy ones are not reused after their response, and later
// calls open new ones. It is used when a connection stalls without an error, because the others have often stalled too.
func (c *Client) DropConnections(addr netip.AddrPort) {
	c.mu.Lock()
	old := c.pools[addr]
	delete(c.pools, addr)
	c.mu.Unlock()
	if old != nil {
		// After this call the transport also closes connections that become idle later.
		old.CloseIdleConnections()
	}
}

// Probe reads the state of an engine over a new connection. If it succeeds, a stalled connection is at fault and not the
// engine.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := c.do(ctx, c.noReuse, http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// NewClientWithTransport returns a client that sends all requests through rt.
func NewClientWithTransport(rt http.RoundTripper) *Client { return &Client{override: rt, noReuse: rt} }

// Traffic returns the number of connections opened and bytes transferred so far, streams included, and the number of calls
// other than streams.
func (c *Client) Traffic() (s traffic.Stats, calls uint64) { return c.traffic.Stats(), c.calls.Load() }

// MisroutedCount returns the number of responses and chunks that were dropped because they carried the ID of another attempt.
func (c *Client) MisroutedCount() uint64 { return c.misrouted.Load() }

// Stream is a streamed response that is being read.
type Stream struct {
	c         *Client
	attempt   string
	nextToken int
	done      bool
	body      io.ReadCloser
	scanner   *bufio.Scanner
	// cancel closes the connection; its cause is a *StallError if the progress timeout expired.
	cancel context.CancelCauseFunc
	ctx    context.Context
	// firstDeadline is when the progress timeout of the first chunk expires, which also covers the wait for the response
	// header; the zero time means none.
	firstDeadline time.Time
}

// Send starts an attempt on the engine at addr. It fails with *NotSentError or *RefusedError if the request was not run, and with
// *BrokenStreamError or *StallError if it may have run.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, a Attempt) (*Stream, error) {
	body := a.Body
	if body == nil {
		a.Chat.Stream = true
		var err error
		if body, err = json.Marshal(a.Chat); err != nil {
			return nil, &NotSentError{Err: err}
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	// Without GetBody, net/http never retries the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	req.Header.Set(HeaderGroup, a.Group)
	req.Header.Set(HeaderGeneration, strconv.FormatUint(a.Generation, 10))
	if !a.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, a.Deadline.Format(time.RFC3339Nano))
	}
	return c.open(c.pool(addr), req, a.ID, 0, a.FirstTokenTimeout)
}

// Resume continues the stream of an earlier attempt at token index from, over a new connection. timeout is the progress
// timeout of the first chunk; 0 means none. Here *RefusedError means only that the engine cannot continue the attempt, not that
// the attempt was not run; its reason is "attempt" (unknown), "cancelled", "deadline" or "lost".
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, attempt string, from int, timeout time.Duration) (*Stream, error) {
	query := url.Values{"attempt": {attempt}, "from": {strconv.Itoa(from)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/stream?"+query.Encode(), nil)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return c.open(c.noReuse, req, attempt, from, timeout)
}

// cancelAfter cancels with a *StallError cause after timeout, unless stop is called first. The error gives the duration reported and
// the number of tokens received.
func cancelAfter(cancel context.CancelCauseFunc, timeout, reported time.Duration, tokens int) (stop func()) {
	return timer.AfterFunc(timeout, func() { cancel(&StallError{Tokens: tokens, Timeout: reported}) })
}

// streamError returns the error of a failed stream: *StallError if its progress timeout expired, else *BrokenStreamError.
func streamError(ctx context.Context, tokens int, err error) error {
	var silent *StallError
	if errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return &BrokenStreamError{Tokens: tokens, Err: err}
}

func (c *Client) open(tr http.RoundTripper, req *http.Request, attempt string, from int, timeout time.Duration) (_ *Stream, err error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer func() {
		if err != nil {
			cancel(err)
		}
	}()
	var firstDeadline time.Time
	if timeout > 0 {
		firstDeadline = time.Now().Add(timeout)
		defer cancelAfter(cancel, timeout, timeout, from)()
	}
	resp, err := tr.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if dialFailed(err) {
			return nil, &NotSentError{Err: err}
		}
		return nil, streamError(ctx, from, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusNotFound {
			r := &RefusedError{Status: resp.StatusCode}
			if json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(r) == nil && r.Reason != "" {
				return nil, r
			}
		}
		if resp.StatusCode == http.StatusNotFound {
			return nil, &RefusedError{Status: resp.StatusCode, Reason: "not found"}
		}
		return nil, &BrokenStreamError{Tokens: from, Err: &RefusedError{Status: resp.StatusCode, Reason: "unexpected status"}}
	}
	if got := resp.Header.Get(HeaderAttempt); got != attempt {
		c.misrouted.Add(1)
		cancel(nil)
		_ = resp.Body.Close()
		return nil, &BrokenStreamError{Tokens: from, Err: &MisroutedError{Want: attempt, Got: got}}
	}
	s := &Stream{c: c, attempt: attempt, nextToken: from, body: resp.Body, scanner: bufio.NewScanner(resp.Body), cancel: cancel, ctx: ctx, firstDeadline: firstDeadline}
	s.scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	return s, nil
}

var dataPrefix = []byte("data: ")

// Next returns the next chunk. It fails with io.EOF after the last one, and with *BrokenStreamError, or with *StallError if the progress
// timeout of the first chunk expires.
func (s *Stream) Next() (Chunk, error) { return s.NextWithTimeout(0) }

// NextWithTimeout is like Next with a progress timeout, after which it fails with *StallError; 0 means none. For the first chunk, the
// timeout that the stream was opened with, if any, replaces the argument.
func (s *Stream) NextWithTimeout(timeout time.Duration) (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	remaining := timeout
	if !s.firstDeadline.IsZero() {
		remaining = max(time.Until(s.firstDeadline), time.Nanosecond)
		s.firstDeadline = time.Time{}
	}
	if remaining > 0 {
		defer cancelAfter(s.cancel, remaining, max(timeout, remaining), s.nextToken)()
	}
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(line[len(dataPrefix):], &chunk); err != nil {
			return Chunk{}, &BrokenStreamError{Tokens: s.nextToken, Err: err}
		}
		if chunk.ID != s.attempt {
			s.c.misrouted.Add(1)
			return Chunk{}, &BrokenStreamError{Tokens: s.nextToken, Err: &MisroutedError{Want: s.attempt, Got: chunk.ID}}
		}
		if chunk.Index < s.nextToken {
			continue
		}
		if chunk.Index > s.nextToken {
			return Chunk{}, &BrokenStreamError{Tokens: s.nextToken, Err: &GapError{Want: s.nextToken, Got: chunk.Index}}
		}
		s.nextToken++
		s.done = chunk.Done
		return chunk, nil
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Chunk{}, streamError(s.ctx, s.nextToken, err)
}

// Close ends the stream. Before the last chunk it also closes the connection. After the last chunk it reads the end of the
// body, so that the connection can be reused.
func (s *Stream) Close() {
	if s.done {
		stop := cancelAfter(s.cancel, drainTimeout, drainTimeout, s.nextToken)
		_, _ = io.CopyN(io.Discard, s.body, 4096)
		stop()
	}
	_ = s.body.Close()
	s.cancel(nil)
}

// drainTimeout bounds the wait for the end of a body after its last chunk.
const drainTimeout = 10 * time.Millisecond

// GapError reports that a stream skipped a token.
type GapError struct{ Want, Got int }

func (e *GapError) Error() string {
	return fmt.Sprintf("received token %d, want token %d", e.Got, e.Want)
}

// Cancel stops an attempt on an engine. It uses a new connection, because pooled connections may have stalled together with
// the connection of the attempt.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, attempt string) error {
	return c.do(ctx, c.noReuse, http.MethodPost, addr, "/v1/cancel", map[string]string{"attempt": attempt}, nil)
}

// Load requests the load report of an engine.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	var l Load
	requested := time.Now()
	err := c.call(ctx, http.MethodGet, addr, "/load", nil, &l)
	if f := c.onLoad.Load(); err == nil && f != nil {
		(*f)(l, requested)
	}
	return l, err
}

// OnLoadReport sets a function that is called with each load report received and the time at which it was requested.
func (c *Client) OnLoadReport(f func(l Load, requested time.Time)) { c.onLoad.Store(&f) }

// State requests the assignment of an engine.
func (c *Client) State(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := c.call(ctx, http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// Cache requests the events of the prefix cache of an engine, starting at sequence number since.
func (c *Client) Cache(ctx context.Context, addr netip.AddrPort, since uint64) (CacheEvents, error) {
	var v CacheEvents
	err := c.call(ctx, http.MethodGet, addr, "/cache?since="+strconv.FormatUint(since, 10), nil, &v)
	return v, err
}

// ExportKV exports the KV cache of a prefix as a blob that ImportKV can load into another engine.
func (c *Client) ExportKV(ctx context.Context, addr netip.AddrPort, prefix uint64) ([]byte, error) {
	var blob json.RawMessage
	err := c.call(ctx, http.MethodPost, addr, "/kv/export", ExportRequest{Prefix: prefix}, &blob)
	return blob, err
}

// ImportKV loads a blob of ExportKV into an engine.
func (c *Client) ImportKV(ctx context.Context, addr netip.AddrPort, blob []byte) error {
	return c.call(ctx, http.MethodPost, addr, "/kv/import", json.RawMessage(blob), nil)
}

// ExportRequest is the body of a ExportRequest cache export request.
type ExportRequest struct {
	Prefix uint64 `json:"prefix,string"`
}

// Order sends an order to an engine. It fails with *FencedError if the engine has seen a higher fencing token, and with *RefusedError
// if the order changes a loaded engine but names another group or generation.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order) error {
	return c.call(ctx, http.MethodPost, addr, "/order", o, nil)
}

func (c *Client) call(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) error {
	return c.do(ctx, c.pool(addr), method, addr, path, in, out)
}

func (c *Client) do(ctx context.Context, tr http.RoundTripper, method string, addr netip.AddrPort, path string, in, out any) error {
	c.calls.Add(1)
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &NotSentError{Err: err}
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return &NotSentError{Err: err}
	}
	// Engines do not use User-Agent, and calls are so short and frequent that the header would cost bandwidth.
	req.Header.Set("User-Agent", "")
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		var f struct {
			FencedError
			Reason string `json:"reason"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
			return fmt.Errorf("%s %s at %s: decode: %w", method, path, addr, err)
		}
		if f.Reason != "" {
			return &RefusedError{Status: resp.StatusCode, Reason: f.Reason}
		}
		return &f.FencedError
	case resp.StatusCode != http.StatusOK:
		return &RefusedError{Status: resp.StatusCode, Reason: path}
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("%s %s at %s: decode: %w", method, path, addr, err)
	}
	return nil
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
