package netopt

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose Read returns io.EOF only if the peer has shut down its side, not if it has reset the connection. Read must
// not be called concurrently.
//
// The kernel reports a reset once, to the first system call after it, and end of file to later reads. If the first one is a write in
// another goroutine, a response that ends with its connection looks complete. Read returns the error of the write in that case.
type Conn struct {
	net.Conn
	// raw is nil if the connection has no socket.
	raw syscall.RawConn
	// writing is held during a Write and protects writeErr, the error of the first Write that failed.
	writing  sync.Mutex
	writeErr error
	// reset is the reset that Read has returned, and returns again.
	reset error
}

// NewConn returns a Conn that uses c. A connection without a socket cannot tell a reset during a Write.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			conn.raw = raw
		}
	}
	return conn
}

// DialConn returns a function that opens connections with dial and returns them as Conn.
func DialConn(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *Conn) Read(b []byte) (int, error) {
	if c.reset != nil {
		return 0, c.reset
	}
	n, err := c.Conn.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		c.reset = c.resetInWrite()
	case errors.Is(err, syscall.ECONNRESET):
		c.reset = err
	}
	if c.reset != nil {
		return n, c.reset
	}
	return n, err
}

// resetInWrite returns the error of a Write to which the kernel has reported a reset of the connection. It is called at the end of file.
func (c *Conn) resetInWrite() error {
	if !c.writing.TryLock() {
		if !c.hungUp() {
			return nil // the peer need not read the rest, so the Write may block forever
		}
		c.writing.Lock() // the Write fails at once
	}
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil // the reset came after the peer had shut down its side, so everything was read
	}
	return c.writeErr
}

// hungUp reports whether both directions of the connection are closed, and so not only the one that the peer can shut down.
func (c *Conn) hungUp() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&unix.POLLHUP != 0
	})
	return closed || err != nil // Control fails on a connection that Close has closed
}
