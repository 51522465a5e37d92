// Package rawserver is a test double of an HTTP/1.1 server that responds with any bytes, valid or not.
package rawserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

// Answer responds to a request whose head has been read.
type Answer func(c *net.TCPConn, r *http.Request)

// Start starts a server on a loopback address, and returns a function that ends it. Once answer has returned, the server reads the rest of
// the request and then the next one.
func Start(answer Answer) (netip.AddrPort, func(), error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	var conns errgroup.Group
	conns.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // closed
			}
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			conns.Go(func() error {
				defer stop()
				serve(c.(*net.TCPConn), answer)
				return nil
			})
		}
	})
	return netip.MustParseAddrPort(l.Addr().String()), func() {
		end()
		_ = l.Close()
		_ = conns.Wait() // returns no error
	}, nil
}

func serve(c *net.TCPConn, answer Answer) {
	defer func() { _ = c.Close() }()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer(c, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Text responds with a text.
func Text(text string) Answer {
	return func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) } // a client may have left
}

// Reset responds with a text and resets the connection later.
func Reset(text string, later time.Duration) Answer {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, text)
		_ = timer.Wait(r.Context(), later) // never ends early
		ResetConn(c)
	}
}

// ShutDown responds with a text and shuts down the sending side of the connection. It reads nothing of the request for a while.
func ShutDown(text string, unread time.Duration) Answer {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
		_ = timer.Wait(r.Context(), unread) // never ends early
	}
}

// ResetConn resets a connection.
func ResetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}
