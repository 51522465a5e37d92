package schedule

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/balance"
)

// memoryInput returns an input with one group that holds 10000 tokens.
func memoryInput() Input {
	in := input(1)
	in.Plan.Engine.KVTokens = 10000
	return in
}

// TestMixedReports guards against a scheduler that takes the work of an earlier build for none, and against an earlier build that
// cannot read the reports of this one. Two requests of unknown size count as 1000 tokens each, so 7500 more are too many and 6500 are not.
func TestMixedReports(t *testing.T) {
	for _, test := range []struct {
		name    string
		held    balance.Load
		tokens  int
		placed  bool
		twoKept bool
	}{
		{"too many beside those of unknown size", balance.Load{}, 7500, false, true},
		{"room beside those of unknown size", balance.Load{}, 6500, true, true},
		{"too many beside those of both builds", balance.Load{Requests: 1, HeldTokens: 3000, SizedRequests: 1}, 4500, false, true},
		{"room beside those of both builds", balance.Load{Requests: 1, HeldTokens: 3000, SizedRequests: 1}, 3500, true, true},
		{"one of unknown size at this build", balance.Load{Requests: 2, HeldTokens: 3000, SizedRequests: 1}, 3500, false, true},
		{"room when the earlier build's have ended", balance.Load{Requests: 1, HeldTokens: 3000, SizedRequests: 1}, 5500, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, in := NewServer(), memoryInput()
			type olderReport struct {
				From  string `cbor:"1,keyasint"`
				Seq   uint64 `cbor:"3,keyasint"`
				Model Model  `cbor:"5,keyasint"`
				Work  []Work `cbor:"9,keyasint,omitempty"`
			}
			c := NewClient(model)
			a := ask(1)
			a.Prompt, a.Tokens = 900, test.tokens // the only prompt is the usual one
			c.Submit(a, noon, noon.Add(8*time.Second))
			loads := map[string]balance.Load{}
			var work []Work
			if test.held.Requests > 0 {
				loads["g0"], work = test.held, []Work{{Group: "g0", Requests: test.held.Requests}}
			}
			r := c.NewReport(noon, "new", 1, "dc", work, nil)
			r.SetHeldTokens(loads)
			text := encode(t, r)
			var read olderReport
			if err := cbor.Unmarshal(text, &read); err != nil || len(read.Work) != len(work) {
				t.Errorf("an earlier build reads %+v, %v", read, err)
			}
			s.HandleReport(noon, decode(t, encode(t, olderReport{"old", 1, model, []Work{{Group: "g0", Requests: 2}}})))
			if !test.twoKept {
				s.HandleReport(noon, decode(t, encode(t, olderReport{"old", 2, model, nil})))
			}
			s.HandleReport(noon, decode(t, text))
			answer := s.Step(noon, model, in)["new"]
			if placed := answer != nil && answer.Placements[0].Group == "g0"; placed != test.placed {
				t.Errorf("placed: %t, load %+v", placed, s.load("g0"))
			}
			if test.placed {
				// Once the daemon reports the request as its work, it counts once, and no more after its end.
				c.HandleAnswer(answer)
				loads["g0"] = test.held.Add(balance.RequestLoad(900, test.tokens))
				before := s.load("g0")
				r := c.NewReport(noon, "new", 1, "dc", []Work{{Group: "g0", Requests: test.held.Requests + 1, QueuedTokens: 900}}, nil)
				r.SetHeldTokens(loads)
				s.HandleReport(noon, decode(t, encode(t, r)))
				if after := s.load("g0"); after != before {
					t.Errorf("load %+v, as reported %+v", before, after)
				}
				s.HandleReport(noon, c.NewReport(noon, "new", 1, "dc", nil, nil))
				s.HandleReport(noon, decode(t, encode(t, olderReport{"old", 3, model, nil})))
				if l := s.load("g0"); l != (balance.Load{}) {
					t.Errorf("load %+v after the end", l)
				}
			}
		})
	}
}

// TestInvalidTokens guards against tokens in a report that are out of range, or that belong to nothing, blocking a group or crashing
// the scheduler.
func TestInvalidTokens(t *testing.T) {
	for _, r := range []*Report{
		{Work: []Work{{Group: "g0", Requests: 1}}, HeldTokens: []int{-5}},
		{Work: []Work{{Group: "g0", Requests: 1}}, HeldTokens: []int{1 << 60}},
		{Work: []Work{{Group: "g0", Requests: 1}}, HeldTokens: []int{5, 6}},
		{Work: []Work{{Group: "g0", Requests: 1}}, HeldTokens: []int{5}, Unsized: []int{-1}},
		{Unacknowledged: []PlacementRequest{ask(1)}, Tokens: []int{-1}},
		{Unsized: []int{1}},
	} {
		if !r.DropInvalid() || r.DropInvalid() {
			t.Errorf("%+v", r)
		}
	}
	if r := (&Report{Work: []Work{{Group: "g0", Requests: 1}}, HeldTokens: []int{5}, Unsized: []int{0}}); r.DropInvalid() {
		t.Error("a valid report was changed")
	}
}

func encode(t *testing.T, m any) []byte {
	t.Helper()
	text, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func decode(t *testing.T, text []byte) *Report {
	t.Helper()
	r, err := DecodeReport(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
