package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/textproto"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a body that ends the daemon, a field that an engine gets changed or not at all, and a request of which
// the engine sees something else than what this server has checked.
func FuzzChatBody(f *testing.F) {
	for _, s := range []string{
		chatBody(true), `{"model":"desk","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stop":["<"],"MODEL":"x","stream_options":{"include_usage":true}}`,
		`{"max_tokens":1e2,"max_completion_tokens":7,"seed":12345678901234567890}`, `null`, `[]`, `{"messages":[null]}`, `{"model":"\ud800","x":"\u2028"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := parseChat(b)
		if err != nil || p.body == nil {
			return
		}
		var in, out map[string]json.RawMessage
		if json.Unmarshal(b, &in) != nil || json.Unmarshal(p.body, &out) != nil {
			t.Fatalf("%q is sent to the engine as %q", b, p.body)
		}
		if string(out["stream"]) != "true" {
			t.Errorf("the engine is not asked for a stream: %q", p.body)
		}
		for _, m := range []map[string]json.RawMessage{in, out} {
			delete(m, "stream")
			delete(m, "stream_options")
		}
		if len(in) != len(out) {
			t.Errorf("%q has other fields than %q", p.body, b)
		}
		for k, v := range in {
			var want bytes.Buffer
			if json.Compact(&want, v) != nil || want.String() != string(out[k]) {
				t.Errorf("field %q: engine gets %q for %q", k, out[k], v)
			}
		}
		again, err := parseChat(p.body)
		p.Stream, again.Stream = true, true
		if err != nil || !reflect.DeepEqual(p.ChatRequest, again.ChatRequest) {
			t.Errorf("%q is read as %+v, then as %+v, %v", b, p.ChatRequest, again.ChatRequest, err)
		}
	})
}

// Guards against a deadline in the past or beyond the limit, and against a fault without its answer.
func FuzzDeadline(f *testing.F) {
	for _, s := range []string{"", "1500ms", "-1s", "2562047h47m16.854775807s", "2026-01-02T03:04:05Z", "1999-01-01T00:00:00+23:59", "0", "soon", "1e3s", "9999-12-31T23:59:59.999999999Z"} {
		f.Add(s, int64(time.Minute))
	}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	f.Fuzz(func(t *testing.T, text string, def int64) {
		r := &http.Request{Header: http.Header{HeaderDeadline: {text}}}
		due, err := deadline(r, now, max(1, time.Duration(def)))
		var failed *Failure
		inTime := err == nil && due.After(now) && !due.After(now.Add(maxDeadline))
		if !inTime && (!errors.As(err, &failed) || failed.Outcome != NotRun || failed.Status != http.StatusBadRequest && failed.Status != http.StatusGatewayTimeout) {
			t.Errorf("deadline %q: %v, %v", text, due, err)
		}
	})
}

// Guards against a header of one connection that is passed on, in any spelling, and against one that is lost although it
// is none, by reading whole requests as the server does.
func FuzzEndToEnd(f *testing.F) {
	for _, s := range []string{"Connection: close, X-A\r\nX-A: 1\r\nX-B: 2", "connection: \"x\"\r\nCONNECTION: te,,x-b\t\r\nx-b: 1", "Proxy-Foo: 1\r\nproxy-: 2\r\nKeep-Alive: 5", "Te: trailers\r\nUpgrade: h2c\r\nA: b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: d\r\n" + text + "\r\n\r\n")))
		if err != nil {
			return
		}
		before := r.Header.Clone()
		out := endToEnd(r.Header)
		if !reflect.DeepEqual(before, r.Header) {
			t.Error("the request's own headers were changed")
		}
		hop := []string{"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
		for _, v := range before["Connection"] {
			for name := range strings.SplitSeq(v, ",") {
				hop = append(hop, strings.ToLower(textproto.TrimString(name)))
			}
		}
		for name, v := range before {
			low := strings.ToLower(name)
			drop := slices.Contains(hop, low) || strings.HasPrefix(low, "proxy-")
			if got, ok := out[name]; ok == drop || ok && !slices.Equal(got, v) {
				t.Errorf("header %q: %q is passed on as %q", name, v, got)
			}
		}
	})
}
