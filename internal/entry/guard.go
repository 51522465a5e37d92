package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"flamingorudder.example/internal/intake"
	"flamingorudder.example/internal/timer"
)

const (
	// defaultBufferPercent is the part of the memory limit from which heads, bodies and held responses reserve. The garbage collector
	// may let the heap grow to about twice what is reserved before it frees the buffers of earlier requests.
	defaultBufferPercent = 25
	// connsPerMB is the number of connections of callers for each MiB of the memory limit. An unused one takes about 20 KiB in the
	// process; its socket may hold up to 4 * socketBuffer.
	connsPerMB = 5
	// reservedDescriptors are kept for the store, other daemons and state queries. Each connection of a caller may need one to a
	// backend server and, while a standby is prepared, one to another.
	reservedDescriptors = 256
	descriptorsPerConn  = 3
	// minConns is the least number of connections at an address, also with little memory or few descriptors.
	minConns = 64
	// otherConnsDivisor is the part of the connections of callers that each of the other addresses may have: their requests are short.
	otherConnsDivisor = 4
	// headShare is the part of the budget that heads in progress may take, minHeads their least number.
	headShare = 8
	minHeads  = 16
	// maxHeadBytes bounds what the configuration may allow for a head. defaultHeadBytes and defaultHeadTimeout apply without one.
	maxHeadBytes       = 1 << 20
	defaultHeadBytes   = 16 << 10
	defaultHeadTimeout = 10 * time.Second
	// otherRequestTimeout bounds a request, and its answer, at the addresses that are not for callers.
	otherRequestTimeout = 10 * time.Second
	// refusalWriteTimeout bounds the write of a refusal of a few bytes, for which an empty socket buffer has room at once.
	refusalWriteTimeout = 100 * time.Millisecond
	// guardPeriod is how often slow and unused connections are looked for; the timeouts are ten times as long at least.
	guardPeriod = 100 * time.Millisecond
	// headTimeoutMargin allows for a daemon that reads the last byte of a head late.
	headTimeoutMargin = time.Second
	// idleTimeoutFactor keeps the daemon from closing a connection on which a caller that closes it itself after the configured
	// time is about to send.
	idleTimeoutFactor = 2
	// maxBodyTime bounds the time for a body whose request has a later deadline.
	maxBodyTime = defaultTimeout
	// unreadBodyTime bounds the wait for the rest of a body that is not used, so that the connection can be kept.
	unreadBodyTime = time.Second
	// slowCallerMargin is the time after its deadline for which a caller may still read its answer.
	slowCallerMargin = time.Second
	// socketBuffer is the size of the socket buffers of a connection, which the system doubles. It carries 60 Mbit/s at a round trip
	// of 4 ms.
	socketBuffer = 32 << 10
	// refusalRetryAfter is the Retry-After time of a refused head, in seconds: that of notReadyRetryAfter.
	refusalRetryAfter = "0.50"
)

// guard bounds the connections of clients at one listening address.
type guard struct {
	d *Daemon
	// what names the address in the log.
	what string
	// share divides the number of connections of callers.
	share  int
	conns  *intake.Conns[*callerConn]
	active *activeConns
}

// newGuard returns the guard of an address that may have 1/share of the connections of callers.
func (d *Daemon) newGuard(what string, share int, active *activeConns) *guard {
	g := &guard{d: d, what: what, share: share, active: active}
	g.conns = intake.NewConns[*callerConn](g.limits(), d.memory)
	return g
}

// memoryBudget returns the size of the budget of heads, bodies and held responses.
func (s *Settings) memoryBudget() int64 {
	percent := s.BufferPercent
	if percent == 0 {
		percent = defaultBufferPercent
	}
	return int64(s.MemoryMB) << 20 * int64(percent) / 100
}

// maxConnections returns the bound of the connections of callers.
func (s *Settings) maxConnections() int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	n := s.MemoryMB * connsPerMB
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil && descriptors.Cur < 1<<30 {
		n = min(n, (int(descriptors.Cur)-reservedDescriptors)/descriptorsPerConn) //nolint:gosec // bounded by the condition
	}
	return max(n, minConns)
}

// limits returns the limits in force, from the settings and the configuration.
func (g *guard) limits() intake.Limits {
	s := g.d.settings()
	l := intake.Limits{
		Conns: max(s.maxConnections()/g.share, minConns), HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: callerIdleTimeout,
	}
	if c := g.d.config.Load(); c != nil {
		if c.MaxHeader > 0 {
			l.HeadBytes = int(min(c.MaxHeader, maxHeadBytes))
		}
		// The daemon sees the first byte later than the client has sent it, and the last one perhaps later still.
		if c.HeaderTimeout > 0 {
			l.HeadTimeout = c.HeaderTimeout + headTimeoutMargin
		}
		// A client that closes unused connections itself after the timeout never sends a request on one that is being closed.
		if c.IdleTimeout > 0 {
			l.IdleTimeout = idleTimeoutFactor * c.IdleTimeout
		}
	}
	l.Heads = max(int(s.memoryBudget()/headShare)/(2*l.HeadBytes), minHeads)
	return l
}

// refuse counts and logs that a client was refused.
func (d *Daemon) refuse(reason intake.Refusal, at string) {
	d.metrics.RecordRefusal(string(reason))
	d.log.Warn("client refused", "reason", string(reason), "at", at)
}

// run closes connections that are slow or unused, until ctx ends.
func (g *guard) run(ctx context.Context) {
	ticks, stop := timer.Every(guardPeriod, 0.1)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks:
			g.conns.SetLimits(g.limits())
			slow, unused := g.conns.Expired(now)
			for _, c := range slow {
				g.d.refuse(intake.HeadTooSlow, g.what)
				_ = c.Close() // it may be closed at this moment
			}
			for _, c := range unused {
				_ = c.Close() // it may be closed at this moment
			}
		}
	}
}

// admit takes a new connection, perhaps in place of another one. It returns nil if there is no room.
func (g *guard) admit(c *net.TCPConn) *callerConn {
	out := &callerConn{TCPConn: c, active: g.active, guard: g}
	displaced, ok := g.conns.Open(time.Now(), out)
	g.displace(displaced)
	if !ok {
		g.d.refuse(intake.TooManyConns, g.what)
		_ = c.Close() // nothing was read
		return nil
	}
	// The system would let the buffers of a connection grow to several MiB, which count as memory of the process. Without them the
	// connection works too.
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return out
}

func (g *guard) displace(conns []*callerConn) {
	for _, c := range conns {
		g.d.refuse(intake.Displaced, g.what)
		_ = c.TCPConn.Close() // no answer is outstanding
	}
}

// received handles bytes that were read from a connection. It reports false after it has refused the connection.
func (g *guard) received(c *callerConn, n int) bool {
	refusal, displaced := g.conns.Received(time.Now(), c, n)
	g.displace(displaced)
	status, header := 0, ""
	switch refusal {
	case intake.NotRefused:
		return true
	case intake.HeadTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	default:
		status, header = http.StatusServiceUnavailable, "Retry-After: "+refusalRetryAfter+"\r\n"
	}
	g.d.refuse(refusal, g.what)
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only if the connection is closed
	_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+header+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	return false
}

// track is called by net/http when the state of a connection changes. A connection becomes active once the head of a request has been
// read, and idle once its answer has been written.
func (g *guard) track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	switch {
	case !ok:
	case state == http.StateActive:
		g.conns.HeadDone(time.Now(), conn)
	case state == http.StateIdle:
		g.conns.Idle(time.Now(), conn)
	}
}

// readBody reads the body of the request. It reports false after it has rejected the request.
func (x *exchange) readBody() bool {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	control, now := http.NewResponseController(x.w), time.Now()
	end := x.start.Add(maxBodyTime)
	if x.deadline.Before(end) {
		end = x.deadline
	}
	_ = control.SetReadDeadline(end) // fails only if the connection is closed
	x.memory.BeginReading(now, func() {
		_ = control.SetReadDeadline(now) // has passed, so reading ends
	})
	body, err := intake.ReadBody(x.r.Body, x.r.ContentLength, x.config.MaxBody, x.memory, time.Now)
	givenUp := x.memory.EndReading()
	var tooLarge *intake.TooLargeError
	var exhausted *intake.ExhaustedError
	switch {
	case givenUp:
		x.refuseBody(intake.BodyStalled, http.StatusServiceUnavailable)
	case err == nil:
		_ = control.SetReadDeadline(time.Time{}) // the end of the connection is waited for while the request runs
		x.body, x.bodyRead = body, true
		return true
	case errors.As(err, &tooLarge):
		x.refuseBody(intake.BodyTooLarge, http.StatusRequestEntityTooLarge)
	case errors.As(err, &exhausted):
		x.refuseBody(intake.BodyNoMemory, http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuseBody(intake.BodyTooSlow, http.StatusRequestTimeout)
	default:
		x.log("request was not read", "error", err)
		panic(http.ErrAbortHandler)
	}
	return false
}

// refuseBody rejects a request whose body has not been read, and closes its connection, so that the answer is sent without waiting for the
// rest of the body.
func (x *exchange) refuseBody(reason intake.Refusal, status int) {
	x.d.refuse(reason, "callers")
	x.memory.Release()
	x.w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		x.rejectNotReady(string(reason))
		return
	}
	x.reject(status, 0, string(reason))
}

// leaveBody bounds the time for which net/http reads the rest of a body before it sends the answer to a request that was rejected
// before its body was read.
func (x *exchange) leaveBody() {
	if !x.bodyRead && x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTime)) // fails only if the connection is closed
	}
}

// boundAnswer sets the time by which the caller must have read the answer. Without it, a caller that does not read would hold its
// connection and the memory of its response for ever.
func (x *exchange) boundAnswer(deadline time.Time) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(slowCallerMargin)) // fails only if the connection is closed
}

// countSlowCaller counts a caller that was given up because it did not read its answer.
func (x *exchange) countSlowCaller(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.d.refuse(intake.CallerTooSlow, "callers")
	}
}

// readAhead reserves memory for a response of a length, -1 if it is unknown, and returns how much of it may be read before it is
// forwarded: zero if the memory is used up.
func (x *exchange) readAhead(length int64) int64 {
	n := int64(maxReadAhead)
	if length >= 0 {
		n = min(n, length)
	}
	if x.memory.Grow(time.Now(), intake.Response, n) != nil {
		return 0
	}
	return n
}
