package balance

import "time"

// merits ranks requests of one rank by what their callers lose for each unit of work, relative to the usual of their kind.
//
// # Load pattern
//
// Demand exceeds the capacity by a third or more for seconds. Requests of one kind differ several times in size. A request
// costs its prefill, which grows with its size, and the generation of its answer, which does not. Its value has a fixed part,
// too, but a smaller one, so of two requests that wait for one place the larger one loses more for each unit of work. Kinds
// are not compared with each other: what one is worth relative to another is expressed by ranks only.
type merits struct {
	// meanPrompts holds the recent mean of the prompt tokens of each kind.
	meanPrompts map[kind]float64
}

// kind is a set of requests of one rank with one objective.
type kind struct {
	rank      int
	objective time.Duration
}

const (
	// fixedValueShare is the part of the value of a request of usual size that does not depend on its size.
	fixedValueShare = 0.3
	// meanPromptWeight is the weight of one request in the mean of its kind: a second's requests of a common kind.
	meanPromptWeight = 0.005
	// usualMerit is the level of a request of usual size, maxMerit the highest one. The work is estimated for the usual answer,
	// so larger differences say little; without the bound the prompts of a large organisation, in work with short answers, took
	// the prefill time of the small ones.
	usualMerit = 4
	maxMerit   = 6
)

// record records the size of a new request.
func (m *merits) record(w *Waiter) {
	if m.meanPrompts == nil {
		m.meanPrompts = map[kind]float64{}
	}
	k, size := kind{w.Rank, w.Objective}, float64(max(w.Prompt, 1))
	if m.meanPrompts[k] == 0 {
		m.meanPrompts[k] = size
	}
	m.meanPrompts[k] += (size - m.meanPrompts[k]) * meanPromptWeight
}

// level returns the merit of a request, from 1 to maxMerit.
func (m *merits) level(plan *Plan, w *Waiter) int {
	mean := m.meanPrompts[kind{w.Rank, w.Objective}]
	if mean == 0 {
		return usualMerit
	}
	value := fixedValueShare + (1-fixedValueShare)*float64(max(w.Prompt, 1))/mean
	work := float64(plan.work(w.Prompt)) / max(float64(plan.work(int(mean))), 1)
	return int(min(max(usualMerit*value/max(work, 1e-3), 1), maxMerit))
}

// work returns the time that a request takes of a full group: its prefill and its part of the passes of a usual answer.
func (p *Plan) work(prompt int) time.Duration {
	e := p.Engine
	passes := float64(max(e.UsualAnswer, 1)) / float64(max(e.Stride, 1))
	return time.Duration(passes*float64(p.PassTime(e.Slots))/float64(max(e.Slots, 1))) + p.PrefillTime(prompt)
}
