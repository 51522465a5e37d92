// Package netopt sets socket options that make silent connections fail.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silence is how long sent bytes may stay unacknowledged before a connection fails. A connection that lost its path
// would otherwise hang for minutes.
const silence = 1500 * time.Millisecond

// Dialer returns a dialer whose connections fail when what they sent stays unacknowledged.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: failSilent}
}

// failSilent is a net.Dialer's Control that sets TCP_USER_TIMEOUT.
func failSilent(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Idle tells whether a kept connection can take a request: nothing may be readable on it, neither bytes of a stray
// answer nor the end of the connection.
func Idle(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
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

// BootTime is a steady clock that also counts the time for which the machine was suspended; the clock behind time.Now
// does not.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
