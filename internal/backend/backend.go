// Package backend exchanges HTTP/1.1 requests with backend servers over kept connections.
//
// net/http's client is not used here because it hides what the rules on repeating requests depend on: whether any byte
// of a request was sent, whether an answer belongs to another request, and whether a body without a length ended with
// the connection or was cut off. Parsing of answers is net/http's.
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
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

const (
	// dialTimeout is several round trips between regions; a lost opening packet is sent again only after a second, so
	// another backend server is tried sooner.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept for a backend server that does not tell.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what a backend server tells, so that a request does not cross its close.
	idleMargin = 500 * time.Millisecond
	// trustedIdle is how recently a connection must have been used to carry a request that may run only once. An end
	// of the connection that crosses the request would leave its outcome unknown.
	trustedIdle = 300 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read. A backend server may answer without
	// reading a longer one.
	inlineBody = 16 << 10
	// maxStray is how many answers to earlier requests are passed over before a connection is given up.
	maxStray = 4
	// maxHead bounds all that is read of an answer before its body, in bytes: status lines, headers, interim answers and the
	// heads of stray answers. Known heads take a few hundred.
	maxHead = 64 << 10
	// maxStrayBody bounds the body of a stray answer that is read so that its connection can be kept.
	maxStrayBody = 64 << 10
	readBuffer   = 4 << 10
)

// NotSentError reports a request of which no byte reached the backend server; it has not run.
type NotSentError struct {
	Server string
	Err    error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Server, e.Err) }
func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a request that was sent, wholly or in part, and has no usable answer; it may have run.
type LostError struct {
	Server string
	Err    error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.Server, e.Err) }
func (e *LostError) Unwrap() error { return e.Err }

// CrowdedError reports that this daemon's part of a backend server's connections is taken.
type CrowdedError struct{ Limit int }

func (e *CrowdedError) Error() string { return fmt.Sprintf("all %d connections are taken", e.Limit) }

// StrayError reports answers that belong to other requests.
type StrayError struct{ ID string }

func (e *StrayError) Error() string { return "answer to another request " + strconv.Quote(e.ID) }

// Request is one request for a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set for requests that may run only once; they use only connections that are surely alive.
	Once bool
}

// Answer is the answer of a backend server. Close must be called.
type Answer struct {
	platform.Answer
	Status int
	Header http.Header
	// Length is that of the body, -1 when it is not told.
	Length int64
	Body   io.Reader

	resp *http.Response
	conn *conn
	pool *Pool
	stop func() bool
	done bool
	keep bool
}

// Read reads the body and notes its end, after which the connection can be kept.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.done = true
	}
	return n, err
}

// Close keeps the connection when the whole answer was read and closes it otherwise, which cancels the request.
func (a *Answer) Close() {
	ours := a.stop()
	if ours && a.done && a.keep && !a.resp.Close && a.conn.br.Buffered() == 0 {
		a.pool.put(a.conn, platform.KeepAlive(a.resp.Header))
		return
	}
	a.pool.drop(a.conn)
}

// HeadError reports an answer whose head does not end within the bound.
type HeadError struct{ Limit int }

func (e *HeadError) Error() string { return fmt.Sprintf("no end of the head in %d bytes", e.Limit) }

// limiter passes on no more bytes than left while the head of an answer is read, since net/http bounds neither the lines
// nor the number of headers of an answer. A negative left is no bound.
type limiter struct {
	net  *net.TCPConn
	left int
}

func (l *limiter) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, &HeadError{maxHead}
	}
	if l.left > 0 && len(b) > l.left {
		b = b[:l.left]
	}
	n, err := l.net.Read(b)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

type conn struct {
	net   *net.TCPConn
	in    *limiter
	br    *bufio.Reader
	addr  netip.AddrPort
	used  time.Time
	until time.Time
}

// Pool keeps connections to backend servers. It may be used from several goroutines.
type Pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	// idle holds the kept connections of an address, the one used last at the end.
	idle map[netip.AddrPort][]*conn
	// open counts all connections of an address.
	open map[netip.AddrPort]int
	// writers sends long bodies while answers are read.
	writers errgroup.Group
}

// NewPool returns a pool and a function that closes its idle connections and waits for its writers.
func NewPool() (*Pool, func()) {
	p := &Pool{dialer: netopt.Dialer(dialTimeout), idle: map[netip.AddrPort][]*conn{}, open: map[netip.AddrPort]int{}}
	p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	return p, func() {
		p.Sweep(time.Time{})
		_ = p.writers.Wait() // writers return no error
	}
}

// Sweep closes the idle connections whose time is over; all of them when now is zero.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.IsZero() || now.After(c.until) {
				old = append(old, c)
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
	for _, c := range old {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	p.release(c.addr)
	p.mu.Unlock()
	_ = c.net.Close() // nothing is left to be written
}

func (p *Pool) release(addr netip.AddrPort) {
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

func (p *Pool) put(c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdle
	}
	c.used = time.Now()
	c.until = c.used.Add(keep - idleMargin)
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

// take returns a kept connection or opens a new one.
func (p *Pool) take(ctx context.Context, addr netip.AddrPort, limit int, once bool) (*conn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			break
		}
		c := list[len(list)-1]
		if once && now.Sub(c.used) > trustedIdle {
			break
		}
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.until) && netopt.Idle(c.net) {
			return c, nil
		}
		p.drop(c)
	}
	// The lock is held.
	if limit > 0 && p.open[addr] >= limit {
		p.mu.Unlock()
		return nil, &CrowdedError{limit}
	}
	p.open[addr]++
	p.mu.Unlock()
	n, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		p.mu.Lock()
		p.release(addr)
		p.mu.Unlock()
		return nil, err
	}
	in := &limiter{net: n.(*net.TCPConn), left: -1}
	return &conn{net: in.net, in: in, br: bufio.NewReaderSize(in, readBuffer), addr: addr}, nil
}

// Do sends a request and reads the head of its answer. limit bounds the connections to the backend server; zero means
// no bound. The end of ctx closes the connection. Errors are *NotSentError or *LostError.
func (p *Pool) Do(ctx context.Context, server *roster.Server, req *Request, limit int) (*Answer, error) {
	c, err := p.take(ctx, server.Addr, limit, req.Once)
	if err != nil {
		return nil, &NotSentError{server.ID, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() }) // makes reads and writes fail
	fail := func(err error) (*Answer, error) {
		stop()
		p.drop(c)
		return nil, &LostError{server.ID, err}
	}
	keep, err := p.send(c, req)
	if err != nil {
		return fail(err)
	}
	c.in.left = maxHead
	for range maxStray {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.Method}) //nolint:bodyclose // Answer.Close ends it with its connection
		if err != nil {
			return fail(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a := platform.ReadAnswer(resp.StatusCode, resp.Header)
		if a.ID != "" && a.ID != req.ID {
			c.in.left = -1
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody+1))
			if err != nil || resp.Close || n > maxStrayBody {
				return fail(&StrayError{a.ID})
			}
			c.in.left = maxHead
			continue
		}
		c.in.left = -1
		out := &Answer{
			Answer: a, Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
			resp: resp, conn: c, pool: p, stop: stop, keep: keep,
		}
		out.Body = out
		if resp.Body == http.NoBody {
			out.done = true
		}
		return out, nil
	}
	return fail(&StrayError{})
}

// send writes a request. keep tells whether the connection may carry another one afterwards: not while a long body is
// still being written.
func (p *Pool) send(c *conn, req *Request) (keep bool, err error) {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), inlineBody))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return false, fmt.Errorf("write headers: %w", err)
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(req.Body) <= inlineBody {
		b.Write(req.Body)
		_, err := c.net.Write(b.Bytes())
		return true, err
	}
	if _, err := c.net.Write(b.Bytes()); err != nil {
		return false, err
	}
	p.writers.Go(func() error {
		// The reader of the answer sees the failure of the connection.
		_, _ = c.net.Write(req.Body)
		return nil
	})
	return false, nil
}
