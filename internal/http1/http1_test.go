package http1

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/rawserver"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// start starts a server and returns its URL.
func start(t *testing.T, answer rawserver.Answer) (url string) {
	t.Helper()
	addr, stop, err := rawserver.Start(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return "http://" + addr.String()
}

// transport returns a Transport whose idle connections are closed at the end of the test.
func transport(t *testing.T) *Transport {
	t.Helper()
	tr := NewTransport(&http.Transport{})
	t.Cleanup(tr.CloseIdleConnections)
	return tr
}

// post sends a request that is not sent again by net/http, and reads the body of its response.
func post(t *testing.T, tr http.RoundTripper, url string, size int) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(size)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestResetDuringUpload guards against a response without a length looking complete when its connection is reset while net/http writes the
// request in another goroutine.
func TestResetDuringUpload(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			url := start(t, rawserver.Reset(okHead+"\r\npart", wait))
			for range 10 {
				if status, body, err := post(t, transport(t), url, 6<<20); err == nil {
					t.Errorf("status %d, body %q", status, body)
				}
			}
		})
	}
}

// TestEarlyResponses guards against complete responses that do not arrive because the request could not be written to its end.
func TestEarlyResponses(t *testing.T) {
	for name, text := range map[string]string{
		"without a length":    okHead + "\r\nbody",
		"length":              okHead + "Content-Length: 4\r\n\r\nbody",
		"chunks":              okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Fine: 1\r\n\r\n",
		"after informational": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okHead + "\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			url := start(t, rawserver.ShutDown(text, 300*time.Millisecond))
			if status, body, err := post(t, transport(t), url, 6<<20); status != 200 || body != "body" || err != nil {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
}
