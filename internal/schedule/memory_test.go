package schedule

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/balance"
)

// TestMixedReports guards against a scheduler that takes the work of an earlier build for none, and against an earlier build that
// cannot read the reports of this one. The group holds 10000 tokens; each request of unknown size counts 1000 of them.
func TestMixedReports(t *testing.T) {
	type olderReport struct {
		From  string `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"3,keyasint"`
		Model Model  `cbor:"5,keyasint"`
		Work  []Work `cbor:"9,keyasint,omitempty"`
	}
	for _, test := range []struct {
		// older is the number of requests at the earlier build, held the work at this one, most the tokens for which there is room beside both.
		older int
		held  balance.Load
		most  int
	}{
		{2, balance.Load{}, 6999},
		{2, balance.RequestLoad(0, 3000), 3999},
		{2, balance.RequestLoad(0, 3000).Add(balance.Load{Requests: 1}), 2999},
		{0, balance.RequestLoad(0, 3000), 5999},
	} {
		for _, tokens := range []int{test.most, test.most + 1} {
			s, c, in := NewServer(), NewClient(model), input(1)
			in.Plan.Engine.KVTokens = 10000
			// hand has the server handle a report as it is sent.
			hand := func(m any) {
				text, err := Encode(m)
				var older olderReport
				if err == nil {
					err = cbor.Unmarshal(text, &older)
				}
				r, decodeErr := DecodeReport(text)
				if err != nil || decodeErr != nil || len(older.Work) != len(r.Work) || r.DropInvalid() {
					t.Fatalf("%+v, %v, %v; an earlier build reads %+v", r, err, decodeErr, older)
				}
				s.HandleReport(noon, r)
			}
			report := func(l balance.Load) *Report {
				r := c.NewReport(noon, "new", 1, "dc", []Work{{Group: "g0", Requests: l.Requests, QueuedTokens: l.QueuedTokens}}, nil)
				r.SetHeldTokens(map[string]balance.Load{"g0": l})
				return r
			}
			c.Submit(PlacementRequest{ID: 1, Prompt: 900, Tokens: tokens, Objective: time.Second}, noon, noon.Add(time.Minute))
			hand(olderReport{"old", 1, model, []Work{{Group: "g0", Requests: test.older}}})
			hand(report(test.held))
			answer := s.Step(noon, model, in)["new"]
			if placed := answer != nil && answer.Placements[0].Group == "g0"; placed != (tokens == test.most) {
				t.Fatalf("%+v, %d tokens: placed %t", test, tokens, placed)
			} else if !placed {
				continue
			}
			c.HandleAnswer(answer)
			before := s.load("g0")
			if hand(report(test.held.Add(balance.RequestLoad(900, tokens)))); s.load("g0") != before {
				t.Errorf("%+v: the placed request counts as %+v, and as %+v when it is reported", test, before, s.load("g0"))
			}
			hand(report(balance.Load{}))
			if hand(olderReport{"old", 2, model, nil}); s.load("g0") != (balance.Load{}) {
				t.Errorf("%+v: load %+v after the end", test, s.load("g0"))
			}
		}
	}
}

// TestInvalidTokens guards against tokens in a report that are out of range, or that belong to nothing, blocking a group or crashing
// the scheduler.
func TestInvalidTokens(t *testing.T) {
	work := []Work{{Group: "g0", Requests: 1}}
	for _, r := range []*Report{
		{Work: work, HeldTokens: []int{-5}},
		{Work: work, HeldTokens: []int{1 << 60}},
		{Work: work, HeldTokens: []int{5, 6}},
		{Work: work, HeldTokens: []int{5}, Unsized: []int{-1}},
		{Unacknowledged: []PlacementRequest{ask(1)}, Tokens: []int{-1}},
		{Unsized: []int{1}},
	} {
		if !r.DropInvalid() || r.DropInvalid() {
			t.Errorf("%+v", r)
		}
	}
}
