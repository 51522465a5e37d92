package entry

import (
	"math"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/schedule"
)

// This file connects balance.Memory, which decides, to the requests of a daemon (docs/design/server-memory.md).

// expectedTokens returns the tokens that a request is expected to hold at a group, zero if they are not known, or an error if that is more
// than a group can hold. The rejection names no time to retry, as waiting does not help.
func (x *exchange) expectedTokens(e *route.Engine) (int, error) {
	memory := balance.NewMemory(e, 0)
	tokens := memory.Tokens(x.call.PromptTokens, x.call.MaxTokens)
	if !memory.Exceeds(tokens) {
		return tokens, nil
	}
	x.d.metrics.RecordMemory(x.service, metric.MemoryTooLarge, 1)
	return 0, &RejectedError{0, string(balance.TooLarge)}
}

// engine returns the engine of a service in the configuration in force, nil if it has none.
func (p *dispatcher) engine(service string) *route.Engine {
	if c := p.d.config.Load(); c != nil {
		if s := c.Service(service); s != nil {
			return s.Engine
		}
	}
	return nil
}

// recordMemory records what the last round of a model could not place as the memory of groups had no room. p.mu is held.
func (p *dispatcher) recordMemory(m schedule.Model) {
	held, rejected := p.server.TakeMemoryCounts(m)
	p.d.metrics.RecordMemory(m.Service, metric.MemoryHeld, held)
	p.d.metrics.RecordMemory(m.Service, metric.MemoryRejected, rejected)
}

// memoryUse returns the largest part of its memory, in hundredths, that a group holds of a model that this daemon schedules.
func (p *dispatcher) memoryUse() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, m := range p.server.Models() {
		if e := p.engine(m.Service); e != nil {
			most = max(most, p.server.MemoryUse(m, e))
		}
	}
	return int64(math.Round(most * 100))
}
