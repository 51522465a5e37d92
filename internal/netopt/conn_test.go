package netopt

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// connPair returns a Conn and the peer's end of it.
func connPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := DialConn((&net.Dialer{}).DialContext)(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	return c.(*Conn), peer.(*net.TCPConn)
}

// fill writes until the peer's buffers are full, in another goroutine. The returned function waits for the end of the write.
func fill(c *Conn) (wait func() error) {
	var g sync.WaitGroup
	var err error
	g.Go(func() { _, err = c.Write(make([]byte, 16<<20)) })
	return func() error {
		g.Wait()
		return err
	}
}

// TestResetReportedToWrite guards against end of file being read after a reset that the kernel has reported to a write.
func TestResetReportedToWrite(t *testing.T) {
	for range 20 {
		c, peer := connPair(t)
		wait := fill(c)
		if _, err := peer.Write([]byte("part")); err != nil {
			t.Fatal(err)
		}
		_ = peer.SetLinger(0)
		_ = peer.Close()
		if err := wait(); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("write: %v", err)
		}
		b, err := io.ReadAll(c)
		if string(b) != "part" || !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %q, error %v", b, err)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a later read returns %v", err)
		}
	}
}

// TestResetWhileWriteReturns guards against end of file being read while the write that got the reset has not returned yet.
func TestResetWhileWriteReturns(t *testing.T) {
	for range 20 {
		c, peer := connPair(t)
		wait := fill(c)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		if b, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %d bytes, error %v", len(b), err)
		}
		if err := wait(); err == nil {
			t.Fatal("the write did not fail")
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a later read returns %v", err)
		}
	}
}

// TestShutdownDuringWrite guards against a response being lost whose sender has shut down its side and does not read the rest of the
// request, whether it resets the connection later or leaves it open.
func TestShutdownDuringWrite(t *testing.T) {
	for name, reset := range map[string]bool{"open": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c, peer := connPair(t)
			wait := fill(c)
			whole := bytes.Repeat([]byte("b"), 5000) // fits the receive buffer, so that a reset overtakes none of it
			if _, err := peer.Write(whole); err != nil {
				t.Fatal(err)
			}
			_ = peer.CloseWrite()
			if reset {
				_ = peer.SetLinger(0)
				_ = peer.Close()
				if err := wait(); err == nil {
					t.Error("the write did not fail")
				}
			}
			start := time.Now()
			b, err := io.ReadAll(c)
			if err != nil || !bytes.Equal(b, whole) || time.Since(start) > 5*time.Second {
				t.Errorf("read %d bytes, error %v", len(b), err)
			}
			_ = c.Close()
			_ = wait() // Close ends it
		})
	}
}

// TestConnWithoutSocket checks that end of file is read from a connection in memory, also while a write is blocked.
func TestConnWithoutSocket(t *testing.T) {
	a, b := net.Pipe()
	c := NewConn(&halfPipe{a, bytes.NewReader([]byte("whole"))})
	wait := fill(c)
	if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
		t.Errorf("read %q, error %v", got, err)
	}
	_ = b.Close()
	if wait() == nil {
		t.Error("the write did not fail")
	}
}

// halfPipe is a pipe whose other end has written r and shut down its side.
type halfPipe struct {
	net.Conn
	r io.Reader
}

func (p *halfPipe) Read(b []byte) (int, error) { return p.r.Read(b) }
