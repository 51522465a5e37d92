package engine

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/rawserver"
)

func start(t *testing.T, answer rawserver.Answer) netip.AddrPort {
	t.Helper()
	addr, stop, err := rawserver.Start(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return addr
}

// TestBrokenStreams guards against broken streams that end as whole ones: one that is cut off while a long request is written, and those
// whose head is malformed.
func TestBrokenStreams(t *testing.T) {
	chunk := func(n int, done bool) string {
		return fmt.Sprintf("data: {\"id\":\"a1\",\"index\":%d,\"text\":\"w\",\"done\":%v}\n\n", n, done)
	}
	const own = " X\r\nX-Attempt: a1\r\n"
	whole := chunk(0, false) + chunk(1, true)
	for name, answer := range map[string]rawserver.Answer{
		"reset":            rawserver.Reset("HTTP/1.1 200"+own+"\r\n"+chunk(0, false), 20*time.Millisecond),
		"status 000":       rawserver.Text("HTTP/1.1 000" + own + "\r\n" + whole),
		"blank in a name":  rawserver.Text("HTTP/1.1 200" + own + "X Odd: 1\r\n\r\n" + whole),
		"blank, encoding":  rawserver.Text("HTTP/1.1 200" + own + "Transfer-Encoding : chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(whole), whole)),
		"control byte":     rawserver.Text("HTTP/1.1 200" + own + "X-\x01Odd: 1\r\n\r\n" + whole),
		"status 000, then": rawserver.Text("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200" + own + "\r\n" + whole),
	} {
		t.Run(name, func(t *testing.T) {
			c, closeClient := NewClient()
			defer closeClient()
			s, err := c.Send(t.Context(), start(t, answer), Attempt{ID: "a1", Body: []byte(strings.Repeat(" ", 6<<20))})
			for err == nil {
				_, err = s.Next()
			}
			if s != nil {
				s.Close()
			}
			var broken *BrokenStreamError
			if !errors.As(err, &broken) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestMalformedAnswerToOrder guards against an order that counts as accepted by a malformed response.
func TestMalformedAnswerToOrder(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 X\r\nX Odd: 1\r\n", "HTTP/1.1 200 X\r\nX-\x01Odd: 1\r\n", "HTTP/1.1 000 X\r\n"} {
		c, closeClient := NewClient()
		addr := start(t, rawserver.Text(head+"Content-Length: 2\r\n\r\n{}"))
		if err := c.Order(context.Background(), addr, Order{Op: OpLoad, Group: "g"}); err == nil {
			t.Errorf("%q: the order was accepted", head)
		}
		closeClient()
	}
}
