package caller

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against fields of a request that an engine never sees or sees changed, and against a field whose name differs
// by case only and takes the place of a checked one.
func TestUnknownFields(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 2, true, nil))
		f.steps(engines[1], tokens(0, 2, true, nil))
		f.send("POST", "/v1/chat/completions", `{"model":"desk","temperature":0.70,"stop":["</a>","&"],"seed":12345678901234567890,"stream_options":null,
			"messages":[{"role":"user","name":"n","content":[{"type":"text","text":"part"}]},{"role":"assistant","content":null,"tool_calls":[{"id":"1"}]}],
			"tools":[{"type":"function","function":{"name":"f","parameters":{"b":1,"a":2}}}]}`)
		f.send("POST", "/v1/chat/completions", `{"MODEL":"other","Stream":true,"model":"desk","messages":[{"role":"user","content":"x"}]}`)
		f.send("POST", "/v1/chat/completions", `{"MODEL":"desk","messages":[{"role":"user","content":"x"}]}`)
		f.send("POST", "/v1/chat/completions", `null`)
		f.send("POST", "/v1/chat/completions", `{"model":"desk","messages":"x"}`)
		f.golden("fields")
	})
}

// Guards against a wrong count of tokens, also after a second attempt, and against a count that was not asked for.
func TestUsage(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 2, false, func(w http.ResponseWriter, r *http.Request) { f.lose(engines[0]); cut(w, r) }))
		f.steps(engines[1], tokens(0, 3, true, nil), tokens(0, 3, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.next = 1
		f.send("POST", "/v1/chat/completions", strings.Replace(chatBody(true), `"stream"`, `"stream_options":{"include_usage":true},"stream"`, 1))
		f.golden("usage")
	})
}

// Guards against an answer that was cut at max_tokens but is reported as whole, or the reverse.
func TestFinishReason(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		limit := func(field string) string { return strings.Replace(chatBody(true), "max_tokens", field, 1) }
		for i, n := range []int{4, 4, 3, 4} {
			f.steps(engines[i%2], tokens(0, n, true, nil))
		}
		f.send("POST", "/v1/chat/completions", chatBody(false))
		f.send("POST", "/v1/chat/completions", limit("max_completion_tokens"))
		f.send("POST", "/v1/chat/completions", limit("max_tokens"))
		f.send("POST", "/v1/chat/completions", limit("no_limit"))
		f.golden("finish")
	})
}

// Guards against a stream whose chunks differ in what must be the same: a clock that is read for each chunk, or a role
// that is sent again.
func TestStreamIsConstant(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 80, true, nil))
		f.send("POST", "/v1/chat/completions", chatBody(true))
		if n := strings.Count(f.out.String(), `"created":946684800,`); n != 80 {
			t.Errorf("%d chunks of 80 were created at the time of the request", n)
		}
		if n := strings.Count(f.out.String(), `"role":"assistant"`); n != 1 {
			t.Errorf("the role was sent %d times", n)
		}
	})
}

// Guards against a failed stream that a client takes for a whole one: it must end with an error event, without [DONE].
func TestErrorEvent(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(engines[0], tokens(0, 2, false, silent))
		f.send("POST", "/v1/chat/completions", chatBody(true), HeaderDeadline, "200ms")
		f.golden("stream-error")
	})
}

// Guards against a model service that is shown to an organisation that is not assigned to it.
func TestModel(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.send("GET", "/v1/models/desk", "")
		f.send("GET", "/v1/models/other", "")
		f.send("GET", "/v1/models/ledger", "")
		f.send("POST", "/v1/models/desk", "")
		f.send("GET", "/v1/models/desk", "", "Authorization", "")
		f.golden("model")
	})
}
