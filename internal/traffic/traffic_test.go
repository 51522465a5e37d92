package traffic

import (
	"context"
	"net"
	"testing"
)

// sink is a connection that calls sent for what is written to it.
type sink struct {
	net.Conn
	sent func()
}

func (s sink) Write(b []byte) (int, error) {
	s.sent()
	return len(b), nil
}

// TestWriteIsCountedFirst guards against a request that is not counted yet when its response arrives, which may be before Write returns.
func TestWriteIsCountedFirst(t *testing.T) {
	var counter Counter
	want := uint64(0)
	peer := sink{sent: func() {
		if out := counter.Stats().Out; out != want {
			t.Errorf("%d bytes are counted as the peer has %d", out, want)
		}
	}}
	c, err := counter.Dial(func(context.Context, string, string) (net.Conn, error) { return peer, nil })(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		want += 100
		if _, err := c.Write(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if out := counter.Stats().Out; out != want {
		t.Errorf("%d bytes are counted, want %d", out, want)
	}
}
