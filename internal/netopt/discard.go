package netopt

import (
	"errors"
	"fmt"
	"syscall"
)

// Discard drops the datagrams that are in the receive buffer of a socket and returns their number.
func Discard(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("access socket: %w", err)
	}
	var b [1]byte // the rest of a datagram is dropped with it
	err = raw.Read(func(fd uintptr) bool {
		for {
			if _, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT); err != nil && !errors.Is(err, syscall.EINTR) {
				return true // the buffer is empty, or the next read of the socket fails too
			}
			n++
		}
	})
	if err != nil {
		return n, fmt.Errorf("read socket: %w", err)
	}
	return n, nil
}
