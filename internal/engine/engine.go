// Package engine speaks to model engines: it holds the wire types of their protocol and a client.
//
// An attempt is bound to its answer by an attempt id, which the engine echoes in a header and in each chunk. The client
// drops chunks that carry another id, counts them and closes the connection.
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

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the body of a chat request.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Chunk is one event of an answer.
type Chunk struct {
	// ID is the attempt that the chunk belongs to.
	ID string `json:"id"`
	// Index counts the tokens of the answer from 0, without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
	Done  bool   `json:"done,omitempty"`
}

// Load is an engine's report of its load. Member 0 of a group reports for the group.
type Load struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// Present is whether member 0 sees every member of its group.
	Present bool `json:"present"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	// TokenMillis is the mean time between tokens of one stream, in milliseconds.
	TokenMillis float64   `json:"token_ms"`
	At          time.Time `json:"at"`
}

// State is an engine's own report of the order that it carried out last.
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

// CacheOp is what happened to a cached prefix.
type CacheOp string

// Operations of a cache event.
const (
	CacheAdd  CacheOp = "add"
	CacheDrop CacheOp = "drop"
)

// CacheEvent reports a change of an engine's prefix cache. Seq counts events from 1; a gap in it means that events were
// lost.
type CacheEvent struct {
	Seq uint64  `json:"seq"`
	Op  CacheOp `json:"op"`
	// Prefix is one of the hashes of Prefixes. It is a string in JSON because not every decoder keeps 64 bits of a number.
	Prefix uint64 `json:"prefix,string"`
}

// CacheEvents are the events from a sequence number on; Next is the number to ask from the next time.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// prefixBlock is the length of the blocks, in bytes, at whose ends prefixes of a prompt are cached.
const prefixBlock = 64

// Prefixes returns the hashes of a prompt's prefixes at growing lengths, shortest first. Each covers the model and a
// whole number of blocks of the messages.
func Prefixes(c Chat) []uint64 {
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

// Op is what an order asks for.
type Op string

// Operations of an order.
const (
	OpLoad    Op = "load"
	OpUnload  Op = "unload"
	OpRole    Op = "role"
	OpAdapter Op = "adapter"
	OpVersion Op = "version"
)

// Order tells an engine what to be.
type Order struct {
	Op Op `json:"op"`
	// Fence is the fencing token of the lease under which the order is given. An engine that checks it refuses an
	// order whose token is lower than the highest it has seen.
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

// Fenced reports that an engine refused an order because it has seen a higher fencing token.
type Fenced struct {
	Fence uint64 `json:"fence"`
}

func (e *Fenced) Error() string { return fmt.Sprintf("engine has seen fencing token %d", e.Fence) }

// Refused reports that the engine or plain service refused a request before it ran any of it.
type Refused struct {
	Status int    `json:"-"`
	Reason string `json:"reason"`
}

func (e *Refused) Error() string { return fmt.Sprintf("refused with %d: %s", e.Status, e.Reason) }

// NotSent reports that a request failed before any byte of it left, so it was not run.
type NotSent struct{ Err error }

func (e *NotSent) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }
func (e *NotSent) Unwrap() error { return e.Err }

// Broken reports that a stream ended before its last chunk; the answer so far holds Tokens tokens.
type Broken struct {
	Tokens int
	Err    error
}

func (e *Broken) Error() string {
	return fmt.Sprintf("stream broke after %d tokens: %v", e.Tokens, e.Err)
}
func (e *Broken) Unwrap() error { return e.Err }

// Misrouted reports an answer or chunk that belongs to another attempt.
type Misrouted struct{ Want, Got string }

func (e *Misrouted) Error() string {
	return fmt.Sprintf("answer belongs to attempt %q, not %q", e.Got, e.Want)
}

// Attempt is one try of a request at one engine.
type Attempt struct {
	ID         string
	Group      string
	Generation uint64
	Priority   int
	// Deadline is zero when the request has none.
	Deadline time.Time
	// First is the progress deadline of the first token; 0 sets none.
	First time.Duration
	Chat  Chat
	// Body takes the place of Chat when it is set: a chat request as JSON, which may hold fields that Chat lacks. It must
	// ask for a stream.
	Body []byte
}

// Silent reports that nothing arrived within the progress deadline; the answer so far holds Tokens tokens. The
// connection has been closed. The engine may have run the request.
type Silent struct {
	Tokens int
	After  time.Duration
}

func (e *Silent) Error() string {
	return fmt.Sprintf("nothing arrived for %v after %d tokens", e.After, e.Tokens)
}

// Client speaks to any number of engines. Its methods may be called from several goroutines.
type Client struct {
	dial Dial
	mu   sync.Mutex
	// pools holds the connections to each engine apart, so that those to one engine can be dropped at once.
	pools map[netip.AddrPort]*http.Transport
	// fresh opens a connection for each request.
	fresh http.RoundTripper
	// over takes the place of pools and fresh when it is set.
	over http.RoundTripper
	// foreign counts the chunks that belonged to another attempt.
	foreign atomic.Uint64
	// calls counts the calls other than streams, and traffic the bytes of all.
	calls   atomic.Uint64
	loaded  atomic.Pointer[func(l Load, asked time.Time)]
	traffic traffic.Counter
}

// Dial opens a connection, as net.Dialer.DialContext does. Its failures are *net.OpError with Op "dial".
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	return NewClientWith((&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext)
}

// NewClientWith is NewClient with a way to open connections.
func NewClientWith(dial Dial) (*Client, func()) {
	c := &Client{pools: map[netip.AddrPort]*http.Transport{}}
	c.dial = c.traffic.Dial(dial)
	fresh := c.newTransport()
	fresh.DisableKeepAlives = true
	c.fresh = fresh
	return c, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, tr := range c.pools {
			tr.CloseIdleConnections()
		}
	}
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// maxPools bounds the engines whose connections are kept; a daemon uses a small subset of the fleet.
const maxPools = 1024

func (c *Client) pool(addr netip.AddrPort) http.RoundTripper {
	if c.over != nil {
		return c.over
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

// Renew drops the connections to an engine: idle ones are closed, busy ones are not used again after their answer, and
// later calls open new ones. A connection that went silent without an error is rarely the only one.
func (c *Client) Renew(addr netip.AddrPort) {
	c.mu.Lock()
	old := c.pools[addr]
	delete(c.pools, addr)
	c.mu.Unlock()
	if old != nil {
		// Connections that become idle after this call are closed by the transport's own idle mark.
		old.CloseIdleConnections()
	}
}

// Probe reads the engine's state over a new connection. Its success tells a silent connection from a lost engine.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := c.do(ctx, c.fresh, http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// NewClientOver returns a client that sends over a transport of the caller's.
func NewClientOver(rt http.RoundTripper) *Client { return &Client{over: rt, fresh: rt} }

// Traffic returns the connections and bytes so far, streams included, and the number of calls other than streams.
func (c *Client) Traffic() (s traffic.Stats, calls uint64) { return c.traffic.Stats(), c.calls.Load() }

// Foreign is the number of chunks dropped because they belonged to another attempt.
func (c *Client) Foreign() uint64 { return c.foreign.Load() }

// Stream is an open answer.
type Stream struct {
	c       *Client
	attempt string
	next    int
	done    bool
	body    io.ReadCloser
	scan    *bufio.Scanner
	// cancel closes the connection; its cause is *Silent when the progress deadline passed.
	cancel context.CancelCauseFunc
	ctx    context.Context
	// first is what the head of the answer has left of the progress deadline of the first chunk; 0 sets none.
	first time.Time
}

// Send starts an attempt at the engine at addr. It fails with *NotSent or *Refused when the request was not run, and
// with *Broken when it may have run.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, a Attempt) (*Stream, error) {
	body := a.Body
	if body == nil {
		a.Chat.Stream = true
		var err error
		if body, err = json.Marshal(a.Chat); err != nil {
			return nil, &NotSent{Err: err}
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, &NotSent{Err: err}
	}
	// GetBody is cleared so that net/http never sends the request a second time on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	req.Header.Set(HeaderGroup, a.Group)
	req.Header.Set(HeaderGeneration, strconv.FormatUint(a.Generation, 10))
	if !a.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, a.Deadline.Format(time.RFC3339Nano))
	}
	return c.open(c.pool(addr), req, a.ID, 0, a.First)
}

// Resume continues the answer of an earlier attempt from token from on, over a new connection. limit is the progress
// deadline of the first chunk; 0 sets none. Here *Refused means only that the engine cannot continue the attempt, not
// that the attempt was not run; its reason is "attempt" (unknown), "cancelled", "deadline" or "lost".
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, attempt string, from int, limit time.Duration) (*Stream, error) {
	query := url.Values{"attempt": {attempt}, "from": {strconv.Itoa(from)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/stream?"+query.Encode(), nil)
	if err != nil {
		return nil, &NotSent{Err: err}
	}
	return c.open(c.fresh, req, attempt, from, limit)
}

// watch cancels with *Silent after a progress deadline, unless the returned function is called first.
func watch(cancel context.CancelCauseFunc, limit, total time.Duration, tokens int) (stop func()) {
	return timer.AfterFunc(limit, func() { cancel(&Silent{Tokens: tokens, After: total}) })
}

// fault names the failure of a stream: *Silent when its progress deadline ended it, else *Broken.
func fault(ctx context.Context, tokens int, err error) error {
	var silent *Silent
	if errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return &Broken{Tokens: tokens, Err: err}
}

func (c *Client) open(tr http.RoundTripper, req *http.Request, attempt string, from int, limit time.Duration) (_ *Stream, err error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer func() {
		if err != nil {
			cancel(err)
		}
	}()
	var first time.Time
	if limit > 0 {
		first = time.Now().Add(limit)
		defer watch(cancel, limit, limit, from)()
	}
	resp, err := tr.RoundTrip(req.WithContext(ctx))
	if err != nil {
		if dialFailed(err) {
			return nil, &NotSent{Err: err}
		}
		return nil, fault(ctx, from, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusNotFound {
			r := &Refused{Status: resp.StatusCode}
			if json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(r) == nil && r.Reason != "" {
				return nil, r
			}
		}
		if resp.StatusCode == http.StatusNotFound {
			return nil, &Refused{Status: resp.StatusCode, Reason: "not found"}
		}
		return nil, &Broken{Tokens: from, Err: &Refused{Status: resp.StatusCode, Reason: "unexpected status"}}
	}
	if got := resp.Header.Get(HeaderAttempt); got != attempt {
		c.foreign.Add(1)
		cancel(nil)
		_ = resp.Body.Close()
		return nil, &Broken{Tokens: from, Err: &Misrouted{Want: attempt, Got: got}}
	}
	s := &Stream{c: c, attempt: attempt, next: from, body: resp.Body, scan: bufio.NewScanner(resp.Body), cancel: cancel, ctx: ctx, first: first}
	s.scan.Buffer(make([]byte, 0, 4096), 1<<20)
	return s, nil
}

var dataPrefix = []byte("data: ")

// Next returns the next chunk, io.EOF after the last one, or *Broken.
func (s *Stream) Next() (Chunk, error) { return s.NextWithin(0) }

// NextWithin is Next with a progress deadline, after which it fails with *Silent; 0 sets none. For the first chunk the
// deadline that the stream was opened with holds in place of limit.
func (s *Stream) NextWithin(limit time.Duration) (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	left := limit
	if !s.first.IsZero() {
		left = max(time.Until(s.first), time.Nanosecond)
		s.first = time.Time{}
	}
	if left > 0 {
		defer watch(s.cancel, left, max(limit, left), s.next)()
	}
	for s.scan.Scan() {
		line := s.scan.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		var k Chunk
		if err := json.Unmarshal(line[len(dataPrefix):], &k); err != nil {
			return Chunk{}, &Broken{Tokens: s.next, Err: err}
		}
		if k.ID != s.attempt {
			s.c.foreign.Add(1)
			return Chunk{}, &Broken{Tokens: s.next, Err: &Misrouted{Want: s.attempt, Got: k.ID}}
		}
		if k.Index < s.next {
			continue
		}
		if k.Index > s.next {
			return Chunk{}, &Broken{Tokens: s.next, Err: &Gap{Want: s.next, Got: k.Index}}
		}
		s.next++
		s.done = k.Done
		return k, nil
	}
	err := s.scan.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Chunk{}, fault(s.ctx, s.next, err)
}

// Close ends the stream. Closing before the last chunk also closes its connection. After the last chunk the rest of the
// body, which holds nothing, is read so that the connection can be used again.
func (s *Stream) Close() {
	if s.done {
		stop := watch(s.cancel, drainLimit, drainLimit, s.next)
		_, _ = io.CopyN(io.Discard, s.body, 4096)
		stop()
	}
	_ = s.body.Close()
	s.cancel(nil)
}

// drainLimit bounds the wait for the end of a body whose last chunk has been read.
const drainLimit = 10 * time.Millisecond

// Gap reports that a token is missing from a stream.
type Gap struct{ Want, Got int }

func (e *Gap) Error() string { return fmt.Sprintf("token %d follows where %d was due", e.Got, e.Want) }

// Cancel stops an attempt at the engine, over a new connection, since the attempt's own may be one of several that went
// silent.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, attempt string) error {
	return c.do(ctx, c.fresh, http.MethodPost, addr, "/v1/cancel", map[string]string{"attempt": attempt}, nil)
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	var l Load
	asked := time.Now()
	err := c.call(ctx, http.MethodGet, addr, "/load", nil, &l)
	if f := c.loaded.Load(); err == nil && f != nil {
		(*f)(l, asked)
	}
	return l, err
}

// OnLoad makes f see each load report, whoever asked for it, with the time of asking.
func (c *Client) OnLoad(f func(l Load, asked time.Time)) { c.loaded.Store(&f) }

// State returns the engine's own report of its assignment.
func (c *Client) State(ctx context.Context, addr netip.AddrPort) (State, error) {
	var s State
	err := c.call(ctx, http.MethodGet, addr, "/state", nil, &s)
	return s, err
}

// Cache returns the events of the engine's prefix cache from sequence number since on.
func (c *Client) Cache(ctx context.Context, addr netip.AddrPort, since uint64) (CacheEvents, error) {
	var v CacheEvents
	err := c.call(ctx, http.MethodGet, addr, "/cache?since="+strconv.FormatUint(since, 10), nil, &v)
	return v, err
}

// ExportKV returns the KV cache of a prefix as a blob that ImportKV of another engine takes.
func (c *Client) ExportKV(ctx context.Context, addr netip.AddrPort, prefix uint64) ([]byte, error) {
	var blob json.RawMessage
	err := c.call(ctx, http.MethodPost, addr, "/kv/export", KV{Prefix: prefix}, &blob)
	return blob, err
}

// ImportKV puts the KV cache of a prefix into an engine.
func (c *Client) ImportKV(ctx context.Context, addr netip.AddrPort, blob []byte) error {
	return c.call(ctx, http.MethodPost, addr, "/kv/import", json.RawMessage(blob), nil)
}

// KV names a cached prefix.
type KV struct {
	Prefix uint64 `json:"prefix,string"`
}

// Order gives an order. It fails with *Fenced when the engine has seen a higher fencing token, and with *Refused when
// an order that changes a loaded engine names another group or generation.
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
			return &NotSent{Err: err}
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return &NotSent{Err: err}
	}
	// Calls are short and many, so each byte of a header counts; this one tells the engine nothing.
	req.Header.Set("User-Agent", "")
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("%s %s at %s: %w", method, path, addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		var f struct {
			Fenced
			Reason string `json:"reason"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
			return fmt.Errorf("%s %s at %s: decode: %w", method, path, addr, err)
		}
		if f.Reason != "" {
			return &Refused{Status: resp.StatusCode, Reason: f.Reason}
		}
		return &f.Fenced
	case resp.StatusCode != http.StatusOK:
		return &Refused{Status: resp.StatusCode, Reason: path}
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
