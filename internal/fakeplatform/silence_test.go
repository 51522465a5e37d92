package fakeplatform

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestDropReceived checks that bytes that arrive meanwhile are delivered afterwards, and none before.
func TestDropReceived(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if err := DropReceived(s.(*net.TCPConn), true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 1)
	if err := s.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := s.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes, error %v", n, err)
	}
	if err := DropReceived(s.(*net.TCPConn), false); err != nil {
		t.Fatal(err)
	}
	if err := s.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Read(b); err != nil {
		t.Errorf("after the silence: %v", err)
	}
}
