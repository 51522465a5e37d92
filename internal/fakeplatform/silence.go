package fakeplatform

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// DropReceived makes the kernel drop whatever arrives at a TCP socket, without an acknowledgement, or ends that. A process that stands
// still does not have this effect, as the kernel acknowledges for it. Connections that a listener accepts meanwhile drop too.
func DropReceived(c syscall.Conn, drop bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the socket: %w", err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if drop {
			// A program of one instruction: return 0, the number of bytes to keep.
			filter := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
			optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter})
			return
		}
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	return errors.Join(err, optErr)
}
