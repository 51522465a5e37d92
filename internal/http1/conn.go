package http1

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
)

// conn is a connection of a Transport. Read returns io.EOF together with the end of a head that has a malformed name, so that net/http does
// not reuse the connection. RoundTrip could not prevent it: if the response has no body, the connection is idle before RoundTrip returns.
type conn struct {
	net.Conn
	// awaitsHead is whether the next bytes are those of a head. expectResponse may set it during a Read.
	awaitsHead atomic.Bool
	// head and ended are used by Read only. ended is whether Read has returned io.EOF for a malformed head.
	head  headScanner
	ended bool
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

// expectResponse is called before a request is written.
func (c *conn) expectResponse() { c.awaitsHead.Store(true) }

func (c *conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if !c.awaitsHead.Load() {
		return n, err
	}
	if whole, malformed := c.head.scan(b[:n]); whole {
		c.awaitsHead.Store(false)
		if malformed {
			c.ended = true
			return n, io.EOF
		}
	}
	return n, err
}

// headScanner finds the end of the head of a response in what is read from a connection, and the names in it that checkNames rejects. What
// else is malformed makes net/http close the connection. The zero value is ready for the first head, and each whole head makes it ready for
// the next one.
type headScanner struct {
	// partial is the beginning of the line that the last scan ended in.
	partial []byte
	// inHead is whether the status line has been scanned. informational and malformed describe its head and are false without it.
	inHead, informational, malformed bool
}

// scan scans the next bytes. It reports whether the head of a response that is not informational ends in them, and whether that is malformed.
func (s *headScanner) scan(b []byte) (whole, malformed bool) {
	for {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.partial = append(s.partial, b...)
			return false, false
		}
		line := b[:end]
		b = b[end+1:]
		if len(s.partial) > 0 {
			s.partial = append(s.partial, line...)
			line, s.partial = s.partial, nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case !s.inHead:
			_, status, _ := bytes.Cut(line, []byte(" "))
			s.inHead = true
			s.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		case len(line) == 0:
			last := *s
			*s = headScanner{}
			if !last.informational {
				return true, last.malformed
			}
		case line[0] == ' ' || line[0] == '\t': // continues the value of the field before it
		default:
			name, _, _ := bytes.Cut(line, []byte(":"))
			s.malformed = s.malformed || bytes.IndexByte(name, ' ') >= 0
		}
	}
}
