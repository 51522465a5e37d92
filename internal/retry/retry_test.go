package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against a decision that repeats a request that may have run, or that reports a request as not run when it
// may have run.
func TestDecide(t *testing.T) {
	due := now.Add(time.Second)
	chat := Call{Repeatable: true, Resumable: true, Deadline: due}
	once := Call{Deadline: due}
	late := Call{Repeatable: true, Deadline: now.Add(MinLeft / 2)}
	cases := []struct {
		name string
		call Call
		res  Result
		want Decision
	}{
		{"done", chat, Result{Outcome: Done}, Decision{GiveUp, Run}},
		{"refused chat", chat, Result{Outcome: Refused}, Decision{Action: Again}},
		{"refused booking", once, Result{Outcome: Refused}, Decision{Action: Again}},
		{"booking not sent", once, Result{Outcome: NotSent}, Decision{Action: Again}},
		{"booking broken", once, Result{Outcome: Broken}, Decision{GiveUp, Unknown}},
		{"booking silent", once, Result{Outcome: Silent, Alive: true}, Decision{GiveUp, Unknown}},
		{"booking misrouted", once, Result{Outcome: Misrouted}, Decision{GiveUp, Unknown}},
		{"chat broken, engine alive", chat, Result{Outcome: Broken, Tokens: 3, Given: 3, Alive: true}, Decision{Action: Resume}},
		{"chat silent, engine lost", chat, Result{Outcome: Silent, Tokens: 3}, Decision{Action: Again}},
		{"chat not resumable, tokens sent", chat, Result{Outcome: Silent, Tokens: 3, Given: 3, Alive: true, ResumeRefused: true}, Decision{GiveUp, Run}},
		{"chat not resumable, nothing sent", chat, Result{Outcome: Silent, Alive: true, ResumeRefused: true}, Decision{Action: Again}},
		{"refused too late", late, Result{Outcome: Refused}, Decision{GiveUp, NotRun}},
		{"broken too late", late, Result{Outcome: Broken}, Decision{GiveUp, Unknown}},
	}
	for _, c := range cases {
		if got := c.call.Decide(now, c.res, NewBudget()); got != c.want {
			t.Errorf("%s: decided %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a refused later attempt hiding an earlier attempt that may have run.
func TestEarlierAttemptCounts(t *testing.T) {
	c := Call{Repeatable: true, Deadline: now.Add(time.Second)}
	b := &Budget{units: requestsPerRetry}
	if d := c.Decide(now, Result{Outcome: Broken}, b); d.Action != Again {
		t.Fatalf("first: %+v", d)
	}
	if d := c.Decide(now, Result{Outcome: Refused}, b); d != (Decision{GiveUp, Unknown}) {
		t.Fatalf("second: %+v, want unknown", d)
	}
}

// Guards against a retry storm: for any sequence of outcomes, attempts stay within 1.1 times the requests plus the
// burst, and a request that must not be repeated has at most one attempt that may have run.
func TestBudget(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	params.MinSuccessfulTests = 300
	params.Rng.Seed(7)
	p := gopter.NewProperties(params)
	p.Property("attempts are bounded", prop.ForAll(func(outcomes []uint8, repeatable bool) bool {
		b, attempts, requests := NewBudget(), 0, 0
		for i := 0; i < len(outcomes); {
			requests++
			b.Deposit()
			c := Call{Repeatable: repeatable}
			ran := 0
			for d := (Decision{Action: Again}); d.Action == Again && i < len(outcomes); i++ {
				c.NextAttemptID("r")
				o := Outcome(outcomes[i])
				if o.mayHaveRun() {
					ran++
				}
				d = c.Decide(now, Result{Outcome: o}, b)
			}
			attempts += c.Attempts()
			if !repeatable && ran > 1 {
				return false
			}
		}
		return 10*attempts <= 11*requests+10*Burst
	}, gen.SliceOfN(400, gen.UInt8Range(uint8(Refused), uint8(Misrouted))), gen.Bool()))
	p.TestingRun(t)
}
