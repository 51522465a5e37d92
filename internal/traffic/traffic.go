// Package traffic counts the bytes of connections, so that a daemon can tell what it costs the systems around it.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts connections and their bytes, headers included. The zero value is ready; its methods may be called from
// several goroutines.
type Counter struct{ opened, in, out atomic.Uint64 }

// Stats is what was counted so far.
type Stats struct {
	// Opened counts connections, In and Out the bytes read and written on them.
	Opened, In, Out uint64
}

// Stats returns what was counted so far.
func (c *Counter) Stats() Stats { return Stats{c.opened.Load(), c.in.Load(), c.out.Load()} }

// Dial returns a dial function that counts the bytes of the connections which dial opens.
func (c *Counter) Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c.opened.Add(1)
		return &conn{Conn: inner, c: c}, nil
	}
}

type conn struct {
	net.Conn
	c *Counter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(uint64(max(n, 0)))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(uint64(max(n, 0)))
	return n, err
}
