// Package sse recognizes where the events of a server-sent event stream (text/event-stream) end, as a stream that ends inside an event has
// been broken off.
package sse

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
)

// IsStream reports whether a header declares a body to be an event stream.
func IsStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return kind == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// ends are the ends of an event: a line end and an empty line. An empty line that ends with CR LF is found once its LF has been read if
// the line before ends with LF; the LF is at the start of the next event otherwise, where it has no effect.
var ends = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// MaxEnd is the length of the longest end of an event.
const MaxEnd = 3

// EventLength returns the length of the first complete event in b with its end, or -1 if there is none.
func EventLength(b []byte) int {
	n := -1
	for _, end := range ends {
		if i := bytes.Index(b, end); i >= 0 {
			n = i + len(end)
			b = b[:n-1] // another end counts only if it is earlier
		}
	}
	return n
}

// Position is the position of a reader in a stream. The zero value is the start of a stream.
type Position struct {
	// inEvent is set between the first character of an event and the empty line that ends it; blanks between events do not count. inLine
	// is set between the first character of a line of an event and the line end.
	inLine, inEvent bool
	// afterCR is set after a CR, which an LF may follow as part of the same line end.
	afterCR bool
}

// Advance moves the position over b.
func (p *Position) Advance(b []byte) {
	for _, c := range b {
		switch {
		case c == '\n' && p.afterCR:
		case c == '\n' || c == '\r':
			p.inEvent = p.inLine
			p.inLine = false
		case p.inEvent || c != ' ' && c != '\t':
			p.inLine, p.inEvent = true, true
		}
		p.afterCR = c == '\r'
	}
}

// InEvent reports whether the position is inside an event.
func (p *Position) InEvent() bool { return p.inEvent }

// Reader reads an event stream and fails with io.ErrUnexpectedEOF if it ends inside an event.
type Reader struct {
	r   io.Reader
	pos Position
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.pos.Advance(b[:n])
	if errors.Is(err, io.EOF) && r.pos.InEvent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
