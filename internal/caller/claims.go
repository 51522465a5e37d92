package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"time"

	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/retry"
	"flamingorudder.example/internal/timeline"
)

const (
	// maxKey bounds an idempotency key, in bytes.
	maxKey = 255
	// claimGrace is how long after its deadline a claimed call still counts as in progress; it covers the difference
	// between the clocks of two daemons and the time to record the outcome.
	claimGrace = 5 * time.Second
)

// claim claims the call's idempotency key before anything is sent. It reports whether the caller has been answered from
// the row of the key. The claim comes before the slot, so that a repeat of a call that was run is never refused as not
// run because the service is busy.
func (f *forward) claim(ctx context.Context, key string) (answered bool, err error) {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", f.r.Method, f.r.URL.RequestURI())
	_, _ = sum.Write(f.whole)
	entry := claim.Entry{Hash: hex.EncodeToString(sum.Sum(nil)), Request: f.id, Due: f.due.Add(claimGrace)}
	c, err := f.Claims.Take(ctx, claim.Key(f.org, key), entry)
	if err != nil {
		if stopped := f.stopped(ctx, f.r, f.job, ""); stopped != nil {
			return false, f.end(stopped)
		}
		return false, &Failure{Status: http.StatusServiceUnavailable, Type: "claims_unavailable", Message: "the table of idempotency keys does not answer; the call was not run", RetryAfter: 2 * time.Second, Outcome: NotRun}
	}
	f.Log.Add(timeline.Event{Kind: timeline.KeyClaimed, Request: f.id, Org: f.org, Reason: c.Verdict.String()})
	conflict := &Failure{Status: http.StatusConflict, Outcome: Unknown}
	switch c.Verdict {
	case claim.Owned:
		f.held = &c
		return false, nil
	case claim.Replay:
		f.replay(c.Entry.Response)
		return true, nil
	case claim.InProgress:
		conflict.Type, conflict.Message, conflict.RetryAfter = "in_progress", "a call with this key is being run", time.Second
	case claim.Mismatch:
		conflict.Type, conflict.Message, conflict.Outcome = "key_reused", "the key belongs to a different call; this one was not run", NotRun
	default:
		conflict.Type, conflict.Message = "outcome_unknown", "a call with this key may have been run; its outcome was lost and the call is not run again"
	}
	return false, conflict
}

// replay gives the answer that was recorded for the key.
func (f *forward) replay(a *claim.Response) {
	h := f.w.Header()
	maps.Copy(h, a.Header)
	h.Set(HeaderOutcome, string(Run))
	h.Set(HeaderReplayed, "true")
	if a.Partial {
		h.Set(HeaderReplayed, "status-only")
		h.Del("Content-Length")
		h.Del("Content-Type")
	}
	f.replied(f.request, Run, "replay")
	_ = http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(stall))
	f.w.WriteHeader(a.Status)
	_, _ = f.w.Write(a.Body)
}

// settle records what became of a claimed call: its answer, or that it was not run. The row of a call that may have run
// without an answer stays as it is and is reported as unknown from its due time on.
func (f *forward) settle() {
	switch {
	case f.held == nil:
	case f.recorded != nil:
		f.Claims.Record(*f.held, *f.recorded)
	case f.call.Verdict() == retry.NotRun:
		f.Claims.Release(*f.held)
	}
}
