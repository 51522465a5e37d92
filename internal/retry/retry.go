// Package retry decides what follows an attempt: whether its stream is resumed, whether another attempt is made, or
// what the caller is told.
//
// The package is pure. A Budget belongs to the server that hands out attempts; a Call belongs to one request.
package retry

import (
	"strconv"
	"time"
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Done means that the whole answer arrived.
	Done Outcome = iota
	// Refused means that the backend server proved that it did not run the attempt.
	Refused
	// NotSent means that the attempt failed before a byte of it could leave.
	NotSent
	// Broken means that the connection failed after a byte may have left.
	Broken
	// Silent means that nothing arrived within the progress deadline.
	Silent
	// Misrouted means that the answer belonged to another attempt.
	Misrouted
)

var outcomeNames = [...]string{"done", "refused", "not-sent", "broken", "silent", "misrouted"}

func (o Outcome) String() string { return outcomeNames[o] }

// mayHaveRun tells whether the backend server may have run the attempt.
func (o Outcome) mayHaveRun() bool { return o != Refused && o != NotSent }

// Action is what to do next.
type Action uint8

// Actions after an attempt.
const (
	// GiveUp ends the request with the verdict of the decision.
	GiveUp Action = iota
	// Resume continues the same attempt at the same backend server on a new connection.
	Resume
	// Again makes a new attempt, after the old one has been cancelled as far as it can be.
	Again
)

// Verdict is what is known of a request that ends.
type Verdict uint8

// Verdicts.
const (
	NotRun Verdict = iota
	Unknown
	Run
)

// Decision is what follows an attempt.
type Decision struct {
	Action Action
	// Verdict holds when Action is GiveUp.
	Verdict Verdict
}

// MaxAttempts bounds the attempts of one request, so that one that is refused everywhere does not use up the budget.
const MaxAttempts = 3

// MinLeft is the time that must be left until the deadline for another attempt to be worth sending.
const MinLeft = 20 * time.Millisecond

// Call is what the policy knows of one request. The zero value is a call that must not be repeated.
type Call struct {
	// Repeatable is whether the request may run more than once.
	Repeatable bool
	// Resumable is whether the backend server can continue a broken answer.
	Resumable bool
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time

	attempts int
	// ran is whether an attempt may have run, answered whether one certainly did.
	ran, answered bool
}

// Next returns the id of the next attempt of a request: the request's id, a dot and the number of the attempt.
func (c *Call) Next(request string) string {
	c.attempts++
	return request + "." + strconv.Itoa(c.attempts)
}

// Attempts is the number of attempts so far.
func (c *Call) Attempts() int { return c.attempts }

// Result describes the end of an attempt.
type Result struct {
	Outcome Outcome
	// Tokens is how many tokens have arrived, Given how many of them the caller has been sent.
	Tokens, Given int
	// Alive is whether the backend server answered a probe on a new connection after the failure.
	Alive bool
	// Forgotten is whether the backend server has refused to resume the attempt.
	Forgotten bool
}

// End takes in the end of an attempt after which nothing is to be decided.
func (c *Call) End(r Result) {
	c.ran = c.ran || r.Outcome.mayHaveRun()
	c.answered = c.answered || r.Tokens > 0 || r.Outcome == Done
}

// Decide takes in the end of an attempt and returns what follows. A new attempt is taken from the budget; to resume one
// is free, because the backend server runs nothing twice for it.
func (c *Call) Decide(now time.Time, r Result, b *Budget) Decision {
	c.End(r)
	if r.Outcome == Done {
		return Decision{Action: GiveUp, Verdict: Run}
	}
	inTime := c.Deadline.IsZero() || c.Deadline.Sub(now) >= MinLeft
	switch {
	case !inTime:
		return c.giveUp()
	case r.Outcome.mayHaveRun() && c.Resumable && r.Alive && !r.Forgotten:
		return Decision{Action: Resume}
	case r.Given > 0:
		// A second run may give another text, which must not be joined to what the caller has.
		return c.giveUp()
	case c.ran && !c.Repeatable:
		return c.giveUp()
	case c.attempts >= MaxAttempts || !b.Take():
		return c.giveUp()
	}
	return Decision{Action: Again}
}

// Verdict is what is known of the request when it ends now.
func (c *Call) Verdict() Verdict {
	switch {
	case c.answered:
		return Run
	case c.ran:
		return Unknown
	}
	return NotRun
}

func (c *Call) giveUp() Decision { return Decision{Action: GiveUp, Verdict: c.Verdict()} }

// Burst is what the budget starts with and holds at most; shares is the number of requests that pay for one attempt.
// Together they bound the attempts to 1.1 times the requests plus 10, whatever fails. The budget counts in whole shares
// because a sum of tenths is not exact.
const (
	Burst  = 10
	shares = 10
)

// Budget is a token bucket of attempts beyond the first one of each request. It is not safe for use by several
// goroutines at once.
type Budget struct{ units int }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{units: Burst * shares} }

// Earn adds the share of one request.
func (b *Budget) Earn() { b.units = min(b.units+1, Burst*shares) }

// Take takes one attempt. It reports false when there is none.
func (b *Budget) Take() bool {
	if b.units < shares {
		return false
	}
	b.units -= shares
	return true
}
