package soak

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// cuts holds which daemons are cut off from all backend servers. It is safe for concurrent use.
type cuts struct {
	mu sync.Mutex
	// harms holds the harm to each daemon that is cut off. pids holds the processes of all daemons, by name.
	harms map[string]Harm
	pids  func() map[string]int
}

// set cuts a daemon off, or ends that with Clear.
func (c *cuts) set(daemon string, h Harm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harms[daemon] = h
}

// harm returns what is done to the connections of a daemon.
func (c *cuts) harm(daemon string) Harm {
	if c == nil || daemon == "" {
		return Clear
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.harms[daemon]
}

// owner returns the daemon whose process has opened a connection, by its two ends, or "" if none has.
func (c *cuts) owner(from, to netip.AddrPort) string {
	if c == nil {
		return ""
	}
	inode, err := socketInode(from, to)
	if err != nil {
		return "" // the connection has ended
	}
	for name, pid := range c.pids() {
		if holdsSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// socketInode returns the inode of the socket at one end of a connection.
func socketInode(local, remote netip.AddrPort) (string, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", fmt.Errorf("read connections: %w", err)
	}
	const inode = 9 // the field's place in a line
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) > inode && f[1] == procAddr(local) && f[2] == procAddr(remote) {
			return f[inode], nil
		}
	}
	return "", &PortError{}
}

// procAddr returns an address as /proc/net/tcp shows it, in the byte order of the machine.
func procAddr(a netip.AddrPort) string {
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(dir)
	if err != nil {
		return false // the process has ended
	}
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
