// Package netopt sets socket options that make dead connections fail, checks idle connections and reads the boot clock.
package netopt

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the TCP user timeout of new connections: how long sent data may stay unacknowledged, keep-alive probes unanswered
// and the receive window of the peer closed before the connection fails. After the loss of the network path, a connection would
// otherwise hang for minutes.
const UserTimeout = 1500 * time.Millisecond

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dialer whose connections have the user timeout UserTimeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, c syscall.RawConn) error {
		s := newSocket(c)
		return s.SetUserTimeout(UserTimeout)
	}}
}

// Socket is the socket of an open connection. Its methods do not allocate and must not be called concurrently.
type Socket struct {
	// raw is nil if the connection has no socket.
	raw syscall.RawConn
	// set and peek are the operations on the file descriptor; the other fields are their operands and results.
	set           func(fd uintptr)
	peek          func(fd uintptr) bool
	timeoutMillis int
	setErr        error
	idle          bool
}

// SocketOf returns the socket of a connection.
func SocketOf(c net.Conn) (*Socket, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return &Socket{}, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, err
	}
	return newSocket(raw), nil
}

func newSocket(raw syscall.RawConn) *Socket {
	s := &Socket{raw: raw}
	s.set = func(fd uintptr) {
		s.setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, s.timeoutMillis)
	}
	s.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		s.idle = err == unix.EAGAIN
		return true
	}
	return s
}

// SetUserTimeout sets TCP_USER_TIMEOUT. It has no effect on a connection without a socket.
func (s *Socket) SetUserTimeout(d time.Duration) error {
	if s.raw == nil {
		return nil
	}
	s.timeoutMillis = int(min(d.Milliseconds(), math.MaxInt32)) // of an int in C
	if err := s.raw.Control(s.set); err != nil {
		return err
	}
	return s.setErr
}

// Idle reports whether a pooled connection can be reused for a request: it must have nothing to read, neither leftover
// response bytes nor the end of the connection.
func (s *Socket) Idle() bool {
	if s.raw == nil {
		return false
	}
	s.idle = false
	return s.raw.Read(s.peek) == nil && s.idle
}

// SinceBoot returns the time since boot (CLOCK_BOOTTIME). It is monotonic and, unlike the monotonic clock of time.Now,
// includes the time for which the instance was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
