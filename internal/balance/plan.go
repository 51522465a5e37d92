// Package balance decides which model group takes a request, which requests wait, and which are turned away at once.
//
// # Load pattern
//
// A burst of one kind of work reaches all daemons at the same moment, at up to two and a half times the usual rate. A
// group that takes all of it serves all of it late: the more requests run, the slower each token, and prompts are read
// between the tokens of the others. So a group takes work only while a new request would still see its first event
// within its objective. Callers who come back after a refusal have missed their objective already; serving them first
// would make those late who arrive meanwhile, and a burst of four seconds would spoil ten. They get what the others
// leave, and a share of their own.
//
// Loads must be exact for that. Daemons that learn each other's loads a quarter of a second late put a few prompts too
// many on one group and none on the next, which alone makes one request in ten late. So one daemon places the requests
// of a model for all (package schedule), and a Scheduler is what it decides with.
//
// Everything here is pure: time is handed in, and randomness too.
package balance

import (
	"time"

	"flamingorudder.example/internal/route"
)

// Load is the work that a group holds.
type Load struct {
	// Requests counts those sent to the group whose answers have not ended.
	Requests int
	// Unread is the prompt tokens of those without a first event.
	Unread int
}

// Add returns the sum of both.
func (l Load) Add(o Load) Load { return Load{l.Requests + o.Requests, l.Unread + o.Unread} }

// Group is a model group that may take a request.
type Group struct {
	Key string
	// DataCentre is that of the group's head.
	DataCentre string
	// Load is the work of all daemons there, as far as it is known.
	Load Load
	// Suspect groups may have lost a member.
	Suspect bool
}

// Plan is how a model's groups work.
type Plan struct {
	Engine *route.Engine
	Model  *route.Model
}

// Pass returns how long a pass takes while n requests run.
func (p *Plan) Pass(n int) time.Duration {
	e := p.Engine
	step := e.Step + time.Duration(min(n, e.Slots))*e.PerRequest
	return time.Duration(float64(step) * float64(e.Stride) * p.Model.Pace)
}

// Reading returns how long prompt tokens take to be read.
func (p *Plan) Reading(tokens int) time.Duration {
	if p.Engine.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.Engine.ReadRate * p.Model.Pace * float64(time.Second))
}

// Estimate is what a request waits for until its first event, as far as it follows from a group's load.
type Estimate struct {
	// Passes is half of the pass that runs when the request comes and its own, with its prompt. A request that finds every
	// slot taken waits for one of the answers to end as well.
	Passes time.Duration
	// Unread is the time to read the prompts of others without a first event. Which part of it the request waits for is
	// learnt, see Lag.
	Unread time.Duration
	// Full is set when every slot was taken, which makes the estimate a rough one.
	Full bool
}

// Estimate estimates a request's way to its first event in a group.
func (p *Plan) Estimate(l Load, prompt int) Estimate {
	pass := p.Pass(l.Requests + 1)
	d := pass + pass/2 + p.Reading(prompt)
	if over := l.Requests + 1 - p.Engine.Slots; over > 0 && p.Engine.Slots > 0 {
		steps := float64(max(p.Engine.UsualAnswer, 1)) / float64(p.Engine.Stride)
		residence := time.Duration(float64(pass) * steps)
		d += residence * time.Duration(over) / time.Duration(p.Engine.Slots)
	}
	return Estimate{d, p.Reading(l.Unread), l.Requests >= p.Engine.Slots}
}
