// Package balance decides which model group takes a request, which requests wait, and which are turned away at once.
//
// # Load pattern
//
// A burst of one kind of work reaches all daemons at the same moment, at up to two and a half times the usual rate. A
// group that takes all of it serves all of it late: the more requests run, the slower each token, and prompts are read
// between the tokens of the others. So a group takes work only while a new request would still see its first event
// within most of its objective; what exceeds that waits for a short while, most urgent first, and is then told when to
// come back. Less urgent work is stopped at a lower level, so that it cannot delay the first events of urgent work.
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
	// Load is the work of all daemons there, as far as this one knows.
	Load Load
	// Near groups have their head in the daemon's own data centre.
	Near bool
	// Suspect groups may have lost a member.
	Suspect bool
	// Slowness multiplies the engine's times; 1 for a group that runs as configured.
	Slowness float64
}

const (
	// onTime is the part of an objective within which the first event is planned, leaving the rest to what cannot be
	// foreseen: the network, and passes longer than estimated.
	onTime = 0.7
	// lessUrgent multiplies the plan for work below which all recent work of its model is more urgent.
	lessUrgent = 0.6
	// heldSlots is the part of the slots that such work leaves free.
	heldSlots = 0.2
	// patience is the part of its objective for which a request waits at most. Beyond it the answer would be late, and
	// the caller does better to come back.
	patience = 0.5
	// nearBonus is what a group in the daemon's own data centre gains against others, as a part of the slots.
	nearBonus = 0.03
	// minNoise spreads the choices of daemons that see the same loads; staleNoise is what each request adds that a group
	// gets, on average, before the daemons hear of each other's choices.
	minNoise   = 0.05
	staleNoise = 10
)

// Plan is what is known of a model's work.
type Plan struct {
	Engine *route.Engine
	Model  *route.Model
	// Urgent tells how much of the model's recent work is more urgent than a rank, as a part of all, and the least
	// objective of that work.
	Urgent func(rank int) (part float64, objective time.Duration)
	// Unheard is how many requests all daemons place between two words of each other.
	Unheard float64
}

// Request is a request that wants a place.
type Request struct {
	Rank      int
	Prompt    int
	Objective time.Duration
	Arrived   time.Time
	// Until is when the caller gives up.
	Until time.Time
	// Continues is set when a backend server has worked on the request and its answer was cut off. Its caller has waited
	// already, and work would be lost, so it goes first and waits for as long as the caller does.
	Continues bool
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

// FirstEvent estimates how long a request waits for its first event in a group. A request that finds every slot taken
// waits for one of the answers to end.
func (p *Plan) FirstEvent(g Group, prompt int) time.Duration {
	pass := p.Pass(g.Load.Requests + 1)
	d := pass + pass/2 + p.Reading(g.Load.Unread+prompt)
	if over := g.Load.Requests + 1 - p.Engine.Slots; over > 0 && p.Engine.Slots > 0 {
		steps := float64(max(p.Engine.UsualAnswer, 1)) / float64(p.Engine.Stride)
		residence := time.Duration(float64(pass) * steps)
		d += residence * time.Duration(over) / time.Duration(p.Engine.Slots)
	}
	return time.Duration(float64(d) * max(g.Slowness, 1))
}

// budget returns the longest first event with which a request is still given to a group.
func (p *Plan) budget(r *Request) time.Duration {
	if r.Continues {
		return r.Objective
	}
	objective := float64(r.Objective)
	if part, least := p.Urgent(r.Rank); part > 0 {
		objective = min(objective, float64(least)+(objective-float64(least))*(1-part))
		objective *= 1 - (1-lessUrgent)*part
	}
	// A prompt that takes longer than the budget to read alone must not be kept out for ever.
	return max(time.Duration(objective*onTime), p.FirstEvent(Group{}, r.Prompt)*5/4)
}

// slots returns how many requests a group may hold when one of this rank is added.
func (p *Plan) slots(rank int) int {
	part, _ := p.Urgent(rank)
	return max(int(float64(p.Engine.Slots)*(1-heldSlots*part)), 1)
}

// Choose returns the index of the group that takes r, or -1 when none should now. random returns numbers in [0, 1).
func (p *Plan) Choose(r *Request, groups []Group, random func() float64) int {
	best, bestScore := -1, 0.0
	budget, slots := p.budget(r), p.slots(r.Rank)
	noise := minNoise + staleNoise*p.Unheard/float64(max(len(groups)*p.Engine.Slots, 1))
	if r.Continues {
		slots = p.Engine.Slots
	}
	for i, g := range groups {
		if g.Suspect || g.Load.Requests >= slots {
			continue
		}
		first := p.FirstEvent(g, r.Prompt)
		if first > budget {
			continue
		}
		score := float64(g.Load.Requests)/float64(max(p.Engine.Slots, 1)) + float64(first)/float64(max(budget, 1)) + noise*random()
		if g.Near {
			score -= nearBonus
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Patience returns how long r may wait for a place.
func Patience(r *Request) time.Duration {
	if r.Continues {
		return r.Until.Sub(r.Arrived)
	}
	return min(time.Duration(float64(r.Objective)*patience), r.Until.Sub(r.Arrived)/8)
}
