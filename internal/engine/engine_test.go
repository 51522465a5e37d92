package engine

import (
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

// TestBrokenStreams guards against broken streams that end as whole ones: one that is cut off while a long request is written.
func TestBrokenStreams(t *testing.T) {
	chunk := func(n int, done bool) string {
		return fmt.Sprintf("data: {\"id\":\"a1\",\"index\":%d,\"text\":\"w\",\"done\":%v}\n\n", n, done)
	}
	const own = " X\r\nX-Attempt: a1\r\n"
	for name, answer := range map[string]rawserver.Answer{
		"reset": rawserver.Reset("HTTP/1.1 200"+own+"\r\n"+chunk(0, false), 20*time.Millisecond),
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
