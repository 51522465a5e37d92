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
	"time"
)

// cuts holds which daemons are cut off from all backend servers. It is safe for concurrent use.
type cuts struct {
	mu sync.Mutex
	// harms holds the harm to each daemon that is cut off. pids holds the processes of all daemons, by name.
	harms map[string]Harm
	pids  func() map[string]int

	scan sync.Mutex
	// owners is what the last scan found, which began at scanned.
	owners  map[string]string
	scanned time.Time
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

// owner returns the daemon whose process has opened a connection, by its two ends, or "" if none has. A scan that began after the
// connection was opened tells, so that many connections take one scan.
func (c *cuts) owner(from, to netip.AddrPort) string {
	if c == nil {
		return ""
	}
	opened := time.Now()
	c.scan.Lock()
	defer c.scan.Unlock()
	if !c.scanned.After(opened) {
		c.scanned = time.Now()
		c.owners = c.findOwners()
	}
	return c.owners[procAddr(from)+procAddr(to)]
}

// findOwners returns the daemons that have opened each connection, by both ends. c.scan is held.
func (c *cuts) findOwners() map[string]string {
	const inode = 9 // the field's place in a line
	out := map[string]string{}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return out // a connection without an owner is not cut
	}
	ends := map[string]string{} // by socket, as a process's files show it
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > inode {
			ends["socket:["+f[inode]+"]"] = f[1] + f[2]
		}
	}
	for name, pid := range c.pids() {
		dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		files, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, f := range files {
			if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && ends[to] != "" {
				out[ends[to]] = name
			}
		}
	}
	return out
}

// procAddr returns an address as /proc/net/tcp shows it, in the byte order of the machine.
func procAddr(a netip.AddrPort) string {
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}
