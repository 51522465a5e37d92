package fakeplatform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Forms of broken answers.
const (
	// cutOff is half an answer without a length, sent before the request has been read. The connection is reset up to maxResetDelay later.
	cutOff = iota
	statusZero
	blankInName
	blankInLength
	// insideEvent is a stream without a length that ends with its connection, in order, inside an event.
	insideEvent
	brokenForms
)

const maxResetDelay = 100 * time.Millisecond

// breaks reports whether a server breaks its answer to a request. Other servers answer the same request.
func (s *Server) breaks(id string) bool {
	return s.o.Broken > 0 && int(Sum([]byte(s.o.ID+id)))%s.o.Broken == 0
}

// breakAnswer answers a request that it does not run in one of the broken forms.
func (s *Server) breakAnswer(w http.ResponseWriter, r *http.Request, id string, after int) {
	s.mu.Lock()
	s.tell(Event{Kind: Spoiled, ID: id})
	s.mu.Unlock()
	forms := brokenForms
	if !s.streams(r) || len(s.o.Models) > 0 { // as in the runs of earlier seeds
		forms = insideEvent
	}
	form := int(Sum([]byte(id+s.o.ID))) % forms
	if form != cutOff {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the daemon has left
		}
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	body := beginning(id)
	header := http.Header{}
	platform.SetResponseHeader(header, id, s.o.ID+"."+id, false)
	if s.streams(r) {
		header.Set("Content-Type", "text/event-stream")
		body = EventText(id, after+1)
	}
	var head bytes.Buffer
	_ = header.Write(&head) // never fails
	status, length := "200", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch form {
	case cutOff:
		length = ""
	case insideEvent:
		length = ""
		body += "id: " + strconv.Itoa(after+2)
	case statusZero:
		status = "000"
	case blankInName:
		head.WriteString("X Odd: 1\r\n")
	case blankInLength:
		length = fmt.Sprintf("Content-Length : %d\r\n", len(body))
	}
	if tcp, ok := c.(*net.TCPConn); ok && form == cutOff {
		_ = tcp.SetLinger(0) // before the answer, as the process may be killed: its end must not look like that of the answer
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s%s\r\n%s", status, head.Bytes(), length, body) // the daemon may have left
	if form == cutOff {
		_ = timer.Wait(r.Context(), time.Duration(Sum([]byte(id)))%maxResetDelay)
	}
}
