// Package retry decides what happens after an attempt: whether its stream is resumed, whether another attempt is
// made, or what the caller is told.
//
// The package does no I/O. A Budget belongs to the server that makes the attempts; a Call belongs to one request.
package retry

import (
	"strconv"
	"time"
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Done means that the whole answer arrived.
	Done Outcome = iota
	// Refused means that the backend server proved that it did not run the attempt.
	Refused
	// NotSent means that the attempt failed before any byte was sent.
	NotSent
	// Broken means that the connection failed after a byte may have been sent.
	Broken
	// Silent means that nothing arrived within the progress deadline.
	Silent
	// Misrouted means that the answer belonged to another attempt.
	Misrouted
)

var outcomeNames = [...]string{"done", "refused", "not-sent", "broken", "silent", "misrouted"}

func (o Outcome) String() string { return outcomeNames[o] }

// mayHaveRun reports whether the backend server may have run the attempt.
func (o Outcome) mayHaveRun() bool { return o != Refused && o != NotSent }

// Action is what to do after an attempt.
type Action uint8

const (
	// GiveUp ends the request with the verdict of the decision.
	GiveUp Action = iota
	// Resume continues the same attempt at the same backend server on a new connection.
	Resume
	// Again makes a new attempt, after the old one has been cancelled as far as possible.
	Again
)

// Verdict is whether a request that ends has run.
type Verdict uint8

// Verdicts of a request that ends.
const (
	NotRun Verdict = iota
	Unknown
	Run
)

// Decision is what to do after an attempt.
type Decision struct {
	Action Action
	// Verdict is valid when Action is GiveUp.
	Verdict Verdict
}

// MaxAttempts bounds the attempts of one request, so that a request that is refused everywhere does not use up the
// budget.
const MaxAttempts = 3

// MinLeft is the least time until the deadline with which another attempt is worth sending.
const MinLeft = 20 * time.Millisecond

// Call is the retry state of one request. The zero value is a request that must not run more than once.
type Call struct {
	// Repeatable is whether the request may run more than once.
	Repeatable bool
	// Resumable is whether the backend server can continue a broken answer.
	Resumable bool
	// Deadline is when the answer becomes useless to the caller.
	Deadline time.Time

	attempts int
	// mayHaveRun is whether an attempt may have run, answered whether one certainly did.
	mayHaveRun, answered bool
}

// NextAttemptID returns the id of the next attempt of a request: the request's id, a dot and the number of the attempt.
func (c *Call) NextAttemptID(request string) string {
	c.attempts++
	return request + "." + strconv.Itoa(c.attempts)
}

// Attempts returns the number of attempts so far.
func (c *Call) Attempts() int { return c.attempts }

// Result describes the end of an attempt.
type Result struct {
	Outcome Outcome
	// Tokens is the number of tokens received, Given the number already sent to the caller.
	Tokens, Given int
	// Alive is whether the backend server answered a probe on a new connection after the failure.
	Alive bool
	// ResumeRefused is whether the backend server refused to resume the attempt.
	ResumeRefused bool
}

// End records the end of an attempt that needs no decision.
func (c *Call) End(r Result) {
	c.mayHaveRun = c.mayHaveRun || r.Outcome.mayHaveRun()
	c.answered = c.answered || r.Tokens > 0 || r.Outcome == Done
}

// Decide records the end of an attempt and returns what to do next. A new attempt uses the budget; resuming is free
// because the backend server runs nothing twice for it.
func (c *Call) Decide(now time.Time, r Result, b *Budget) Decision {
	c.End(r)
	if r.Outcome == Done {
		return Decision{Action: GiveUp, Verdict: Run}
	}
	inTime := c.Deadline.IsZero() || c.Deadline.Sub(now) >= MinLeft
	switch {
	case !inTime:
		return c.giveUp()
	case r.Outcome.mayHaveRun() && c.Resumable && r.Alive && !r.ResumeRefused:
		return Decision{Action: Resume}
	case r.Given > 0:
		// A second run may give another text, which must not be joined to the tokens that the caller has.
		return c.giveUp()
	case c.mayHaveRun && !c.Repeatable:
		return c.giveUp()
	case c.attempts >= MaxAttempts || !b.Withdraw():
		return c.giveUp()
	}
	return Decision{Action: Again}
}

// Verdict returns whether the request has run, if it ends now.
func (c *Call) Verdict() Verdict {
	switch {
	case c.answered:
		return Run
	case c.mayHaveRun:
		return Unknown
	}
	return NotRun
}

func (c *Call) giveUp() Decision { return Decision{Action: GiveUp, Verdict: c.Verdict()} }

// Burst is the initial and the largest number of attempts in the budget; requestsPerRetry is the number of requests
// that add one. Together they bound the attempts to 1.1 times the requests plus 10, whatever fails. The budget is an
// integer in units of 1/requestsPerRetry because sums of tenths are not exact in floating point.
const (
	Burst            = 10
	requestsPerRetry = 10
)

// Budget is a token bucket of attempts beyond the first of each request. It is not safe for concurrent use.
type Budget struct{ units int }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{units: Burst * requestsPerRetry} }

// Deposit adds the contribution of one request.
func (b *Budget) Deposit() { b.units = min(b.units+1, Burst*requestsPerRetry) }

// Withdraw takes one attempt from the budget. It reports false when there is none.
func (b *Budget) Withdraw() bool {
	if b.units < requestsPerRetry {
		return false
	}
	b.units -= requestsPerRetry
	return true
}
