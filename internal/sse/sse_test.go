package sse

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestIsStream guards against an event stream not being recognized as one, by the spelling of its content type.
func TestIsStream(t *testing.T) {
	for text, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "text/event-stream;charset": true, " text/event-stream ": true,
		"": false, "text/plain": false, "application/json": false, "text/event-streams": false,
	} {
		if got := IsStream(http.Header{"Content-Type": {text}}); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

// TestEnds guards against an end inside an event being taken for one between events, or the other way round, however the stream is split
// into reads.
func TestEnds(t *testing.T) {
	for text, whole := range map[string]bool{
		"": true, "\n": true, "id: 1\ndata: x\n\n": true, ": comment\n\n": true, "data: x\n\ndata: y\n\n\n": true, "data: x\n\n  ": true,
		"data: x": false, "data: x\n": false, "data: x\n\nd": false, "data: x\n\ndata: y\n": false, "data: x\n \n": false,
	} {
		for name, ending := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
			in := strings.ReplaceAll(text, "\n", ending)
			for _, r := range []io.Reader{strings.NewReader(in), iotest.OneByteReader(strings.NewReader(in)), iotest.DataErrReader(strings.NewReader(in))} {
				out, err := io.ReadAll(NewReader(r))
				if string(out) != in || whole && err != nil || !whole && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("%q with %s: read %q, error %v", text, name, out, err)
				}
			}
		}
	}
}

// TestEventLength guards against events being split at another place than their end.
func TestEventLength(t *testing.T) {
	for text, want := range map[string]int{
		"": -1, "data: x\n": -1, "data: x\r\n": -1, "data: x\n\nrest": 9, "data: x\r\n\r\nrest": 11, "data: x\n\r\nrest": 10, "data: x\r\rrest": 9,
		"a\r\n\r\nb\n\n": 5, "a\n\nb\r\n\r\n": 3, "a\r\rb\n\n": 3,
	} {
		if got := EventLength([]byte(text)); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}
