package fakeplatform

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// TestCallerSeesCutConnection guards against a client that repeats a request by itself, which hides a connection that ended
// without an answer.
func TestCallerSeesCutConnection(t *testing.T) {
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	for i := range 2 {
		a := Ask{ID: "r", Method: http.MethodGet, Host: "h", Path: "/", Left: time.Minute}
		r := a.Do(t.Context(), s.Client(), netip.MustParseAddrPort(s.Listener.Addr().String()))
		if cut := i == 1; cut != (r.Err != nil) || requests.Load() != int32(i)+1 {
			t.Errorf("request %d: %v, %d arrived", i+1, r.Err, requests.Load())
		}
	}
}
