// Package balance decides which model group takes a request, which requests wait, and which are rejected at once.
//
// # Load pattern
//
// A burst of one kind of work reaches all daemons at the same moment, at up to 2.5 times the usual rate. A group that
// accepts all of it serves all of it late: the more requests run, the slower each token, and prompts are read between
// the tokens of other requests. So a group accepts work only while a new request would still get its first event
// within its objective. Callers that retry after a rejection have missed their objective already. Serving them first
// would make new arrivals late too, and a burst of four seconds would degrade ten. Retries get the capacity that
// others leave, and a small guaranteed share.
//
// This needs exact loads. Daemons that learn each other's loads 250 ms late put a few prompts too many on one group
// and none on the next, which alone makes one request in ten late. So one daemon places the requests of a model for
// all daemons (package schedule), using a Scheduler.
//
// The package has no clock and no random source; callers pass in time and randomness.
package balance

import (
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

// Load is the work that a group holds.
type Load struct {
	// Requests counts the requests sent to the group whose answers have not ended.
	Requests int
	// QueuedTokens is the number of prompt tokens of the requests that wait for their first event.
	QueuedTokens int
	// HeldTokens is the number of tokens that SizedRequests of the requests are expected to hold until they end, see Memory. The size of
	// the others is not known. Both are zero where the memory of groups is not bounded.
	HeldTokens, SizedRequests int
}

// Add returns the sum of both loads.
func (l Load) Add(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests, QueuedTokens: l.QueuedTokens + o.QueuedTokens,
		HeldTokens: l.HeldTokens + o.HeldTokens, SizedRequests: l.SizedRequests + o.SizedRequests,
	}
}

// Negative returns the load that ends l when it is added.
func (l Load) Negative() Load {
	return Load{-l.Requests, -l.QueuedTokens, -l.HeldTokens, -l.SizedRequests}
}

// RequestLoad returns the load of a request that has been placed, with the tokens that it is expected to hold, zero if they are not known.
func RequestLoad(prompt, tokens int) Load {
	l := Load{Requests: 1, QueuedTokens: prompt, HeldTokens: tokens}
	if tokens > 0 {
		l.SizedRequests = 1
	}
	return l
}

// Group is a model group that may take a request.
type Group struct {
	Key string
	// DataCentre is the data centre of the group's head.
	DataCentre string
	// Load is the known work of all daemons in the group.
	Load Load
	// Suspect is set when the group may have lost a member.
	Suspect bool
	// Limited is set when the group's head takes only Allowance requests now, as it has named a limit.
	Limited   bool
	Allowance int
	// Cold is set when a member is cold; the group runs at the pace of its slowest member. ColdLimited is set when the head is cold and
	// takes no more requests now.
	Cold, ColdLimited bool
	// Members decide where requests with home regions may run; such requests get no group without members.
	Members []*roster.Server
}

// Plan describes the timing of a model's groups.
type Plan struct {
	Engine *route.Engine
	Model  *route.Model
}

// PassTime returns how long an engine pass takes while n requests run.
func (p *Plan) PassTime(n int) time.Duration {
	e := p.Engine
	step := e.Step + time.Duration(min(n, e.Slots))*e.PerRequest
	return time.Duration(float64(step) * float64(e.Stride) * p.Model.TimeFactor)
}

// PrefillTime returns how long prefill of the given number of prompt tokens takes.
func (p *Plan) PrefillTime(tokens int) time.Duration {
	if p.Engine.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.Engine.PrefillRate * p.Model.TimeFactor * float64(time.Second))
}

// Estimate is the wait until a request's first event, as far as it follows from a group's load.
type Estimate struct {
	// Passes is half of the pass that runs when the request arrives plus the request's own pass with its prompt. If
	// every slot is taken, it includes the wait for an answer to end.
	Passes time.Duration
	// QueuedPrefill is the prefill time of other requests that wait for their first event. LatencyCorrection
	// learns which fraction of it delays the request.
	QueuedPrefill time.Duration
	// Full is set when every slot was taken, which makes the estimate a rough one.
	Full bool
}

// Estimate estimates the wait until the first event of a request in a group.
func (p *Plan) Estimate(l Load, prompt int) Estimate {
	pass := p.PassTime(l.Requests + 1)
	d := pass + pass/2 + p.PrefillTime(prompt)
	if over := l.Requests + 1 - p.Engine.Slots; over > 0 && p.Engine.Slots > 0 {
		steps := float64(max(p.Engine.UsualAnswer, 1)) / float64(p.Engine.Stride)
		residence := time.Duration(float64(pass) * steps)
		d += residence * time.Duration(over) / time.Duration(p.Engine.Slots)
	}
	return Estimate{d, p.PrefillTime(l.QueuedTokens), l.Requests >= p.Engine.Slots}
}
