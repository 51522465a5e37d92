package balance

import "flamingorudder.example/internal/route"

// Memory tells how many tokens a request is expected to hold at a group, and whether a group has room for it.
//
// # Load pattern
//
// A group holds the prompts and the answers of all its requests in memory, and crashes when they need more than there is. With
// requests of the usual size its slots are taken long before. A wave of requests with very long prompts fills the memory while most slots
// are free, and the groups that look least busy crash one after the other, with all requests that they hold.
//
// A part of the memory is left free for answers that become longer than expected. The zero value has no bound.
type Memory struct {
	// capacity is the number of tokens that a group holds; 0 if it is not bounded. limit is the part of it that is used.
	capacity, limit int
	// usual is what a request of unknown size counts.
	usual int
	// answer is the longest answer that a request is expected to have; 0 if only its own maximum bounds it.
	answer int
}

const (
	// memoryShare is the fraction of the memory of a group that expected tokens may take. The rest is for longer answers.
	memoryShare = 0.9
	// usualAnswers is the length of an answer for which memory is kept, in usual answers: most answers end far before their maximum.
	usualAnswers = 2
	// promptSamples is the number of prompts over which the usual prompt is averaged.
	promptSamples = 128
)

// NewMemory returns the memory of the groups of an engine. usualPrompt is the mean size of prompts, zero when it is not known; then one
// chunk of the engine is assumed.
func NewMemory(e *route.Engine, usualPrompt int) Memory {
	if e.KVTokens <= 0 {
		return Memory{}
	}
	if usualPrompt <= 0 {
		usualPrompt = e.Chunk
	}
	return Memory{
		capacity: e.KVTokens, limit: int(memoryShare * float64(e.KVTokens)), usual: max(usualPrompt+e.UsualAnswer, 1), answer: usualAnswers * e.UsualAnswer,
	}
}

// Tokens returns how many tokens a request is expected to hold: its prompt and the smaller of its maximum answer and twice the usual one.
// maxAnswer is zero if the request states none. The result is 0 if the size of the prompt is not known or the memory is not bounded.
func (m Memory) Tokens(prompt, maxAnswer int) int {
	if m.capacity == 0 || prompt <= 0 {
		return 0
	}
	answer := max(maxAnswer, 0)
	if m.answer > 0 && (answer == 0 || answer > m.answer) {
		answer = m.answer
	}
	// Sizes above the capacity are all the same; the bound keeps sums from overflowing.
	return min(prompt, m.capacity+1) + min(answer, m.capacity)
}

// Exceeds reports whether a request is too large for an empty group.
func (m Memory) Exceeds(tokens int) bool { return m.capacity > 0 && tokens > m.capacity }

// need returns what a waiting request counts; 0 if the memory is not bounded. Requests of earlier builds state no expected tokens, only the size of their prompt.
func (m Memory) need(w *Waiter) int {
	switch tokens := m.Tokens(w.Prompt, 0); {
	case m.capacity == 0:
		return 0
	case w.Tokens > 0:
		return min(w.Tokens, m.capacity+1)
	case tokens > 0:
		return tokens
	}
	return m.usual
}

// held returns the tokens that a group holds. Requests of unknown size count as usual ones.
func (m Memory) held(l Load) int { return l.HeldTokens + max(l.Requests-l.SizedRequests, 0)*m.usual }

// hasRoom reports whether a group with a load may take a request that needs so many tokens. A request alone may use the whole memory.
func (m Memory) hasRoom(l Load, tokens int) bool {
	switch {
	case m.capacity == 0:
		return true
	case l.Requests == 0:
		return tokens <= m.capacity
	}
	return m.held(l)+tokens < m.limit
}

// Use returns which part of the memory of a group is held; 0 if the memory is not bounded.
func (m Memory) Use(l Load) float64 {
	if m.capacity == 0 {
		return 0
	}
	return float64(m.held(l)) / float64(m.capacity)
}
