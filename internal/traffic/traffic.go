// Package traffic counts connections and their bytes, so that a daemon can report the load that it puts on other systems.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Counter counts connections and all bytes on them, including headers. The zero value is ready to use. It is safe for
// concurrent use.
type Counter struct{ opened, in, out atomic.Uint64 }

// Stats holds the counts of a Counter.
type Stats struct {
	// Opened is the number of connections, In and Out are the bytes read and written on them. All of them only grow. Out includes the bytes
	// of writes that failed.
	Opened, In, Out uint64
}

// Stats returns the current counts.
func (c *Counter) Stats() Stats { return Stats{c.opened.Load(), c.in.Load(), c.out.Load()} }

// Dial wraps dial so that the connections it opens and their bytes are counted.
func (c *Counter) Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c.opened.Add(1)
		return &countedConn{Conn: inner, counter: c}, nil
	}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// SyscallConn returns the socket, for its options and state. It fails for a connection without one.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return s.SyscallConn()
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(uint64(max(n, 0)))
	return n, err
}

// Write counts the bytes before it sends them, as the response may arrive before the inner Write returns.
func (c *countedConn) Write(b []byte) (int, error) {
	c.counter.out.Add(uint64(len(b)))
	return c.Conn.Write(b)
}
