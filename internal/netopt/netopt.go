// Package netopt sets socket options that make dead connections fail, checks idle connections and reads the boot clock.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the TCP user timeout: how long sent data may stay unacknowledged before the connection fails. After the
// loss of the network path, a connection would otherwise hang for minutes.
const userTimeout = 1500 * time.Millisecond

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a dialer whose connections fail when sent data stays unacknowledged for userTimeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUserTimeout}
}

// setUserTimeout is a net.Dialer.Control function that sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Idle reports whether a pooled connection can be reused for a request: it must have nothing to read, neither leftover
// response bytes nor the end of the connection.
func Idle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = e == unix.EAGAIN
		return true
	})
	return err == nil && idle
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
