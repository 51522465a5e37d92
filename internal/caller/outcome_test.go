package caller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/dispatch"
)

// Guards against a refusal with a status that blames the wrong side, without Retry-After where waiting helps, with one
// that is 0 or in the past, or held back; and against one that is not said to be not run.
func TestRefusals(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		start := time.Now()
		for _, r := range []dispatch.Refusal{
			{Kind: admission.WaitingLimitReached, RetryAfter: 1100 * time.Millisecond},
			{Kind: admission.Trimmed, RetryAfter: 300 * time.Microsecond},
			{Kind: admission.Trimmed, RetryAfter: -time.Second},
			{Kind: admission.NoTarget, RetryAfter: time.Second},
			{Kind: admission.BufferFull, RetryAfter: time.Second},
			{Kind: admission.Stopped, RetryAfter: time.Second},
			{Kind: admission.DeadlineUnmeetable, RetryAfter: 2 * time.Second},
			{Kind: admission.DeadlineUnmeetable},
			{Kind: admission.Expired, RetryAfter: 40 * time.Millisecond},
		} {
			r.Reason = "it needs 340ms, 200ms left"
			f.refusal = &r
			f.send("POST", "/v1/chat/completions", chatBody(false))
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("refusals took %v", d)
		}
		if len(f.counted) != 9 {
			t.Errorf("%d requests counted, want 9", len(f.counted))
		}
		f.golden("refusals")
	})
}

// Guards against a placement that knows nothing of the prompt, rates learnt from wrong figures, a request that the
// metrics miss or count twice, and a retry at the target that just failed.
func TestMeasured(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		prompt := strings.Repeat("a long prompt ", 20)
		body := fmt.Sprintf(`{"model":"desk","messages":[{"role":"user","content":%q}],"max_tokens":4,"stream":true}`, prompt)
		f.steps(engines[0], refuse(http.StatusServiceUnavailable, "busy"))
		f.steps(engines[1], tokens(0, 4, true, nil))
		f.send("POST", "/v1/chat/completions", body)
		f.lose(ledgers[0])
		f.next = 0
		f.steps(ledgers[1], answered(200, "booked"))
		f.send("POST", "/bookings", "van")
		if q := f.asked[0]; q.OutputTokens != 4 || q.Cost != 4+len(prompt)/4 || len(q.Prefix) != (len("user")+len(prompt)+2)/64 || len(q.Avoid) != 0 {
			t.Errorf("first request for a slot: %+v", q)
		}
		for _, i := range []int{1, 3} {
			if q := f.asked[i]; len(q.Avoid) != 1 || q.Avoid[0] != (dispatch.TargetID{Group: "g1", Generation: 1}) {
				t.Errorf("request %d for a slot avoids %v", i, q.Avoid)
			}
		}
		want := []dispatch.Result{
			{Failed: true},
			{Tokens: 4, TimeToFirstToken: 20 * time.Millisecond, Total: 80 * time.Millisecond},
			{Failed: true, Unreachable: true},
			{},
		}
		if fmt.Sprint(f.results) != fmt.Sprint(want) {
			t.Errorf("results %v, want %v", f.results, want)
		}
		if got, want := fmt.Sprintf("%+v", f.counted), "[{Service:desk Org:uist Outcome:run Rank:live First:20ms Total:80ms Tokens:4 Attempts:2} {Service:ledger Org:uist Outcome:run Rank:booking First:0s Total:0s Tokens:0 Attempts:2}]"; got != want {
			t.Errorf("counted %s, want %s", got, want)
		}
	})
}
