// Package backend sends HTTP/1.1 requests to backend servers over persistent connections.
//
// net/http's client is not used because it hides what the retry rules depend on: whether any byte of a request was sent,
// whether a response belongs to another request, and whether a body without a length ended with the connection or was cut
// off. Responses are parsed by net/http, and checked by package http1.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/http1"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

const (
	// dialTimeout covers several round trips between regions. A lost SYN is retransmitted only after a second, so another
	// backend server is tried sooner.
	dialTimeout = 400 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the backend server announces no keep-alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the announced timeout, so that a request does not cross the close of its connection.
	keepAliveMargin = 500 * time.Millisecond
	// maxSafeIdle is the longest idle time after which a connection may carry a request that must not run twice. If the
	// backend server closed the connection while the request was on its way, its outcome would be unknown.
	maxSafeIdle = 300 * time.Millisecond
	// maxInlineBody is the size up to which a body is written before the response is read. A backend server may answer
	// without reading a longer body.
	maxInlineBody = 16 << 10
	// maxStray is the number of responses to earlier requests that are skipped before a connection is closed.
	maxStray = 4
	// maxHeaderBytes bounds what is read of a response before its body: status lines, headers, informational responses
	// and the headers of stray responses. Usual headers take a few hundred bytes.
	maxHeaderBytes = 64 << 10
	// socketBuffer is the size of the socket buffers of a connection. It carries 60 Mbit/s at a round trip of 8 ms.
	socketBuffer = 64 << 10
	// maxStrayBody bounds the body of a stray response that is read in order to keep the connection.
	maxStrayBody = 64 << 10
	readBuffer   = 4 << 10
	// maxRejections is the number of rejected requests after which a connection is closed.
	maxRejections = 8
	// noDeadlineTimeout is the user timeout of a connection during a request without a deadline, about how long the kernel sends
	// unacknowledged data again by default.
	noDeadlineTimeout = 15 * time.Minute
	// refusalTimeout bounds the wait for the refusal of a connection: a few round trips between regions.
	refusalTimeout = 150 * time.Millisecond
)

// NotSentError reports a request of which no byte was sent. The request has not run.
type NotSentError struct {
	Server string
	Err    error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Server, e.Err) }
func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError reports a request that was sent, at least in part, and got no usable response. The request may have run.
type NoResponseError struct {
	Server string
	Err    error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Server, e.Err)
}
func (e *NoResponseError) Unwrap() error { return e.Err }

// ConnectionLimitError reports that this daemon's share of the connections to a backend server is in use.
type ConnectionLimitError struct{ Limit int }

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// StrayError reports responses that belong to other requests.
type StrayError struct{ ID string }

func (e *StrayError) Error() string { return "response to another request " + strconv.Quote(e.ID) }

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target, byte for byte as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set for requests that must not run twice. They use only new or recently used connections.
	AtMostOnce bool
}

// Response is the response of a backend server. Close must be called.
type Response struct {
	platform.ResponseInfo
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is unknown. EndsWithConnection is set if the body has neither a length nor
	// chunks, so that its end is that of the connection.
	Length             int64
	EndsWithConnection bool
	Body               io.Reader

	resp       *http.Response
	conn       *conn
	pool       *Pool
	stopCancel func() bool
	bodyRead   bool
	reusable   bool
}

// Read reads the body. Once it has returned io.EOF, the connection can be reused.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		if malformed := http1.CheckTrailer(a.resp); malformed != nil {
			return n, malformed
		}
		a.bodyRead = true
	}
	return n, err
}

// Close returns the connection to the pool if the body was read to its end. Otherwise it closes the connection, which
// cancels the request.
func (a *Response) Close() {
	notCancelled := a.stopCancel()
	if notCancelled && a.bodyRead && a.reusable && !a.resp.Close && a.conn.br.Buffered() == 0 {
		a.pool.put(a.conn, platform.KeepAliveTimeout(a.resp.Header))
		return
	}
	a.pool.discard(a.conn)
}

// Distrust has Close close the connection, as the server is faulty.
func (a *Response) Distrust() { a.reusable = false }

// HeaderSizeError reports a response whose status line and headers exceed the limit.
type HeaderSizeError struct{ Limit int }

func (e *HeaderSizeError) Error() string {
	return fmt.Sprintf("response headers exceed %d bytes", e.Limit)
}

// headerLimiter passes on at most left bytes while the headers of a response are read, because net/http limits neither the
// length of the lines nor the number of headers of a response. There is no limit if left is negative.
type headerLimiter struct {
	r    io.Reader
	left int
}

func (l *headerLimiter) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, &HeaderSizeError{maxHeaderBytes}
	}
	if l.left > 0 && len(b) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

type conn struct {
	net net.Conn
	// checked is net for all reads and writes: a reset during the write of a body is not read as the end of a response.
	checked *netopt.Conn
	// socket has the user timeout netopt.UserTimeout while the connection is in the pool, so that keep-alive probes end one that has
	// gone silent for good, and that of the request otherwise.
	socket   *netopt.Socket
	limit    *headerLimiter
	br       *bufio.Reader
	addr     netip.AddrPort
	lastUsed time.Time
	expires  time.Time
	// kept is set once the connection has carried a request.
	kept bool
	// rejected holds the ids of the requests that were rejected on this connection, at most maxRejections. A faulty backend
	// server may write a rejection again, so no request is sent twice on a connection on which it was rejected.
	rejected []string
}

// reset closes a connection whose request is cancelled. What the peer has not acknowledged is not sent again: after a silence, it would
// get a request that nobody waits for.
func (c *conn) reset() {
	if t, ok := c.net.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	_ = c.net.Close() // nothing is to be written
}

// Pool is a pool of connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial netopt.DialFunc
	mu   sync.Mutex
	// idle holds the idle connections to each address, the most recently used one last.
	idle map[netip.AddrPort][]*conn
	// open counts all connections to each address.
	open map[netip.AddrPort]int
	// writers writes long bodies while responses are read.
	writers errgroup.Group
}

// Dialer returns the dialer for connections to backend servers.
func Dialer() *net.Dialer {
	d := netopt.Dialer(dialTimeout)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	return d
}

// NewPool returns a pool whose TCP connections dial opens, and a function that closes its idle connections and waits for its
// writers.
func NewPool(dial netopt.DialFunc) (*Pool, func()) {
	p := &Pool{dial: dial, idle: map[netip.AddrPort][]*conn{}, open: map[netip.AddrPort]int{}}
	return p, func() {
		p.CloseExpired(time.Time{})
		_ = p.writers.Wait() // writers return no error
	}
}

// CloseExpired closes the idle connections that have expired, or all idle connections if now is zero.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.IsZero() || now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.release(c.addr)
	p.mu.Unlock()
	_ = c.net.Close() // writes are not buffered, so a failed close loses nothing
}

func (p *Pool) release(addr netip.AddrPort) {
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// userTimeout returns the user timeout of a connection during a request. A backend server that is silent may be sound, so the kernel
// must not end a request before its deadline, not even while nothing is acknowledged. Without a user timeout, the number of
// unanswered keep-alive probes would end it.
func userTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadlineTimeout
	}
	return max(time.Until(deadline), 0) + netopt.UserTimeout
}

func (p *Pool) put(c *conn, keepAlive time.Duration) {
	if err := c.socket.SetUserTimeout(netopt.UserTimeout); err != nil {
		p.discard(c) // closed meanwhile
		return
	}
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	c.lastUsed = time.Now()
	c.expires = c.lastUsed.Add(keepAlive - keepAliveMargin)
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

// get returns an idle connection for a request or opens a new one. A request without an id gets a new one, as its response
// could not be told from that of an earlier request.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, limit int, req *Request) (*conn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		i := len(list) - 1
		for i >= 0 && slices.Contains(list[i].rejected, req.ID) {
			i--
		}
		if i < 0 || req.ID == "" {
			break
		}
		c := list[i]
		if req.AtMostOnce && now.Sub(c.lastUsed) > maxSafeIdle {
			break
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		p.mu.Unlock()
		// The kernel may end the connection until it has the timeout of the request, so that is set before the check.
		if now.Before(c.expires) && c.socket.SetUserTimeout(userTimeout(ctx)) == nil && c.socket.Idle() {
			return c, nil
		}
		p.discard(c)
	}
	// p.mu is still locked.
	if limit > 0 && p.open[addr] >= limit {
		p.mu.Unlock()
		return nil, &ConnectionLimitError{limit}
	}
	p.open[addr]++
	p.mu.Unlock()
	c, err := p.connect(ctx, addr)
	if err != nil {
		p.mu.Lock()
		p.release(addr)
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// connect opens a connection for a request.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	n, err := p.dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	socket, err := netopt.SocketOf(n)
	if err == nil {
		err = socket.SetUserTimeout(userTimeout(ctx))
	}
	if err != nil {
		_ = n.Close() // nothing was sent
		return nil, err
	}
	if tcp, ok := n.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// The system would let them grow to several MiB while a caller does not read, or a server. They count as memory of the
		// process. Without the bound the connection works too.
		_, _ = tcp.SetReadBuffer(socketBuffer), tcp.SetWriteBuffer(socketBuffer)
	}
	checked := netopt.NewConn(n)
	limiter := &headerLimiter{r: checked, left: -1}
	return &conn{net: n, checked: checked, socket: socket, limit: limiter, br: bufio.NewReaderSize(limiter, readBuffer), addr: addr}, nil
}

// RefusesConnections reports whether nothing listens on an address any more, as its process has ended.
func (p *Pool) RefusesConnections(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // nothing was sent
	return false
}

// Do sends a request and reads the headers of its response. limit bounds the number of connections to the backend server;
// there is no bound if it is zero. The connection is closed when ctx ends. Errors are *NotSentError or *NoResponseError.
func (p *Pool) Do(ctx context.Context, server *roster.Server, req *Request, limit int) (*Response, error) {
	c, err := p.get(ctx, server.Addr, limit, req)
	if err != nil {
		return nil, &NotSentError{server.ID, err}
	}
	stop := context.AfterFunc(ctx, c.reset) // unblocks reads and writes
	fail := func(err error) (*Response, error) {
		stop()
		p.discard(c)
		return nil, &NoResponseError{server.ID, err}
	}
	reusable, err := p.send(c, req)
	if err != nil {
		return fail(err)
	}
	kept := c.kept
	c.kept = true
	c.limit.left = maxHeaderBytes
	for range maxStray {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method}) //nolint:bodyclose // closed with its connection by Response.Close
		if err == nil {
			err = http1.CheckHead(resp)
		}
		if err != nil {
			return fail(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a := platform.ParseResponseInfo(resp.StatusCode, resp.Header)
		if a.ID == "" && kept {
			return fail(&StrayError{}) // it may be the response to an earlier request
		}
		if a.ID != "" && a.ID != req.ID {
			c.limit.left = -1
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody+1))
			if err != nil || resp.Close || n > maxStrayBody {
				return fail(&StrayError{a.ID})
			}
			c.limit.left = maxHeaderBytes
			continue
		}
		c.limit.left = -1
		if a.NotExecuted {
			c.rejected = append(c.rejected, req.ID)
			reusable = reusable && len(c.rejected) < maxRejections
		}
		out := &Response{
			ResponseInfo: a, Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
			EndsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
			resp:               resp, conn: c, pool: p, stopCancel: stop, reusable: reusable,
		}
		out.Body = out
		if resp.Body == http.NoBody {
			out.bodyRead = true
		}
		return out, nil
	}
	return fail(&StrayError{})
}

// send writes a request. It reports whether the connection may be reused, which it may not be while a long body is still
// being written.
func (p *Pool) send(c *conn, req *Request) (reusable bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), maxInlineBody))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return false, fmt.Errorf("write headers: %w", err)
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(req.Body) <= maxInlineBody {
		b.Write(req.Body)
		_, err := c.checked.Write(b.Bytes())
		return true, err
	}
	if _, err := c.checked.Write(b.Bytes()); err != nil {
		return false, err
	}
	p.writers.Go(func() error {
		// After an error the read of the response fails too, as checked keeps it.
		_, _ = c.checked.Write(req.Body)
		return nil
	})
	return false, nil
}
