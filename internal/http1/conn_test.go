package http1

import (
	"bufio"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"flamingorudder.example/internal/rawserver"
)

// TestConnAfterMalformedHead guards against a connection becoming idle, and so being taken for another request, after a malformed head
// without a body, which net/http ends before it returns the response.
func TestConnAfterMalformedHead(t *testing.T) {
	for name, x := range map[string]struct {
		text   string
		reused bool
	}{
		"no content":              {"HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n", false},
		"no content, valid":       {"HTTP/1.1 204 No Content\r\nX-Fine: 1\r\n\r\n", true},
		"not modified":            {"HTTP/1.1 304 Not Modified\r\nX-Odd : 1\r\n\r\n", false},
		"two lengths":             {okHead + "Content-Length : 4\r\nContent-Length: 0\r\n\r\n", false},
		"after informational":     {"HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + "X Odd: 1\r\nContent-Length: 0\r\n\r\n", false},
		"informational, valid":    {"HTTP/1.1 103 Early Hints\r\n\r\n" + okHead + "Content-Length: 0\r\n\r\n", true},
		"longer than one read":    {okHead + "X-Long: " + strings.Repeat("x", 20_000) + "\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", false},
		"long, valid":             {okHead + "X-Long: " + strings.Repeat("x ", 10_000) + "\r\nContent-Length: 0\r\n\r\n", true},
		"status 000":              {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", false},
		"blanks outside of names": {okHead + "X-Fine: a b : c\r\n d e: f\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := start(t, rawserver.Text(x.text))
			tr := transport(t)
			for range 2 {
				var idle atomic.Bool
				trace := &httptrace.ClientTrace{PutIdleConn: func(err error) { idle.Store(err == nil) }}
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, url, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := tr.RoundTrip(req)
				if err == nil {
					_ = resp.Body.Close() // it is empty
				}
				if (err == nil) != x.reused || idle.Load() != x.reused {
					t.Errorf("error %v, connection idle: %t", err, idle.Load())
				}
			}
		})
	}
}

// TestScanner checks that the scanner rejects what CheckHead rejects of the heads that net/http accepts, whatever is read at a time.
func TestScanner(t *testing.T) {
	statuses := []string{"HTTP/1.1 200 OK", "HTTP/1.1  204", "HTTP/1.0 404 Not Found", "HTTP/1.1 304 a: b"}
	lines := []string{"X-A: 1", "X-B:", "X-C : 1", "X D: 1", "X-E: a b: c", " folded: a", "\tfolded : a", " ", "X-F: 1 ", "X-G\t: 1", "no colon"}
	params := gopter.DefaultTestParametersWithSeed(5)
	params.MinSuccessfulTests, params.MaxSize = 2000, 6
	accepted, rejected := 0, 0
	p := gopter.NewProperties(params)
	p.Property("agrees with net/http and CheckHead", prop.ForAll(func(informational bool, status int, fields []int, lf bool, size int) bool {
		end := "\r\n"
		if lf {
			end = "\n"
		}
		text := statuses[status] + end
		for _, i := range fields {
			text += lines[i] + end
		}
		text += end
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return true // net/http closes the connection
		}
		defer func() { _ = resp.Body.Close() }()
		want := CheckHead(resp) != nil
		if want {
			rejected++
		} else {
			accepted++
		}
		if informational {
			text = "HTTP/1.1 103 Early Hints" + end + "X-H: 1" + end + end + text
		}
		var s headScanner
		for text != "" {
			n := min(size, len(text))
			whole, malformed := s.scan([]byte(text[:n]))
			text = text[n:]
			if whole != (text == "") || malformed != (whole && want) {
				return false
			}
		}
		return true
	}, gen.Bool(), gen.IntRange(0, len(statuses)-1), gen.SliceOf(gen.IntRange(0, len(lines)-1)), gen.Bool(), gen.IntRange(1, 80)))
	p.TestingRun(t)
	if accepted < 100 || rejected < 100 {
		t.Errorf("%d heads accepted and %d rejected, want at least 100 of each", accepted, rejected)
	}
}
