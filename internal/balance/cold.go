package balance

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
)

// Cold tracks the backend servers that are cold and the requests that they are sent meanwhile.
//
// # Load pattern
//
// A server that has just started, or a whole data centre after an evacuation, looks idle, so every daemon prefers it. A cold
// server accepts few requests a second from all daemons together and crashes well above that rate.
//
// The scheduler of a model places the requests of all daemons and uses the rate by itself. A daemon that decides alone
// must not save up its share: daemons that have all been idle would spend what they saved at the same moment. Each has time slots of
// its own instead, which follow from its rank, and an unused slot is lost.
//
// Cold is safe for concurrent use.
type Cold struct {
	mu      sync.Mutex
	servers map[string]*coldServer
	// presumed holds, by data centre, when the time began from which its servers are presumed cold.
	presumed map[string]time.Time
	// longest is the longest cold time of a service.
	longest time.Duration
	// last is when the last server stops being cold; nil if none has been. It spares the lookups while no server is cold.
	last atomic.Pointer[time.Time]
}

// coldServer is the state of one lifetime of a server that is cold or was lately.
type coldServer struct {
	born int64
	// told is until when the server is cold as its answers say, until is that by all that is known.
	told, until time.Time
	// since is when this daemon learnt that the server is cold; zero while it is not.
	since time.Time
	// sent holds when requests were sent within the last coldWindow.
	sent []time.Time
	// slot is the beginning of the last slot that was used, by the shared clock; used is set once there is one.
	slot time.Duration
	used bool
}

const (
	// coldTransit is how much the times may differ that requests are under way from the decision to the server: a datagram, a
	// connection, and the error of the shared clock.
	coldTransit = 100 * time.Millisecond
	// coldWindow is the time over which decisions are counted so that no second at the server has more.
	coldWindow = time.Second + coldTransit
	// slotLength is how long a slot may be used after its beginning. Longer ones are found by more of the requests that come now and
	// then, but more of them overlap, so they come less often.
	slotLength = 500 * time.Millisecond
	// slotReserve is the part of a fleet by which the number of slots is rounded up, so that a few more daemons do not move
	// the slots of all.
	slotReserve = 16
	// coldSpareShare is the part of what the bounds allow beyond the rate that is used.
	coldSpareShare = 0.8
	// missingShare is the part of the known daemons that may be missing before another scheduler may place their requests.
	missingShare = 0.05
	// ColdLearnTime is how long after this daemon another one may learn that a server is cold, from the entries.
	ColdLearnTime = time.Second
)

// NewCold returns an empty set.
func NewCold() *Cold {
	return &Cold{servers: map[string]*coldServer{}, presumed: map[string]time.Time{}}
}

// ColdBounds are the bounds of the requests that a cold server may get in any second: Overage times its rate, plus Slack.
type ColdBounds struct{ Overage, Slack float64 }

// spare returns half of what may be used beyond the rate.
func (b ColdBounds) spare(rate float64) float64 {
	return min(max(rate*(b.Overage-1)+b.Slack, 0)*coldSpareShare/2, rate)
}

// SchedulerRate returns the rate that the scheduler of a model may use. settled is its Tenure; live and known are the numbers of daemons
// that it hears from and that it knows. Until the change of the scheduler is known everywhere, the earlier one may use the whole
// rate. While daemons are missing, they may have a scheduler of their own, or each be one for itself.
func (b ColdBounds) SchedulerRate(rate float64, settled bool, live, known int) float64 {
	part := float64(live) / float64(max(known, live, 1))
	switch {
	case !settled:
		return b.spare(rate) * part
	case part < 1-missingShare:
		return rate * min(part, 0.5)
	}
	return max(rate, 1)
}

// AloneRate returns the rate of all daemons together that place requests to a model without its scheduler, beside it.
func (b ColdBounds) AloneRate(rate float64) float64 { return b.spare(rate) }

// Tenure tells whether a daemon has been the preferred scheduler of a model for long enough that no earlier one still is.
type Tenure struct{ since, checked time.Time }

const (
	// tenureTime is how long a daemon must have been the preferred scheduler: several digests, after which a lost daemon is
	// known to be lost, and the reports sent to it have lapsed.
	tenureTime = 4 * time.Second
	// tenureGap is the time without a check after which the daemon may have been paused, and another one preferred.
	tenureGap = time.Second
)

// Settled records whether the daemon is preferred now. It has to be called several times a second.
func (t *Tenure) Settled(now time.Time, preferred bool) bool {
	if !preferred {
		*t = Tenure{}
		return false
	}
	if t.since.IsZero() || now.Sub(t.checked) > tenureGap {
		t.since = now
	}
	t.checked = now
	return now.Sub(t.since) >= tenureTime
}

// Slots are the time slots in which one of a number of daemons may send a request to a cold server without the others.
type Slots struct {
	// Daemons is the number of daemons that share Rate requests a second, Rank the place of this one among them, from 0.
	Daemons, Rank int
	// Clock is the present time by a clock that the daemons share.
	Clock time.Duration
	Rate  float64
}

// next returns the beginning of the first slot that can be used now or later. At most Rate requests, or one if that is more, are
// sent in any coldWindow.
func (s Slots) next(o *coldServer) time.Duration {
	spacing := time.Duration(float64(coldWindow+slotLength) / max(s.Rate-1, 0.5))
	n := max(s.Daemons, 1)
	step := max(n/slotReserve, 1)
	period := time.Duration((n+step-1)/step*step) * spacing
	offset := time.Duration(s.Rank%n) * spacing
	earliest := s.Clock - slotLength
	// A slot that was used in a period of another length, or by a clock that has gone back since, may be followed too soon or
	// block all others.
	if o != nil && o.used && o.slot <= s.Clock+period {
		earliest = max(earliest, o.slot+period/2)
	}
	k := math.Floor(float64(earliest-offset)/float64(period)) + 1
	return time.Duration(k)*period + offset
}

// Update learns of the servers and the services, and returns the servers that have become cold since the last call. It
// has to be called before requests are sent to servers that are new or whose entries have changed.
func (c *Cold) Update(now time.Time, servers map[string]*roster.Server, config *route.Config) (started []*roster.Server) {
	if config == nil || !config.HasColdRates() && c.last.Load() == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest = 0
	for i := range config.Services {
		c.longest = max(c.longest, config.Services[i].ColdTime)
	}
	last := now
	for dc, began := range c.presumed {
		if end := began.Add(c.longest); end.After(now) {
			last = later(last, end)
		} else {
			delete(c.presumed, dc)
		}
	}
	for id, o := range c.servers {
		if s := servers[id]; s == nil || s.Born != o.born {
			delete(c.servers, id)
			continue
		}
		last = later(last, o.told)
	}
	for id, s := range servers {
		service := config.Service(s.Service)
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		until := c.until(s, service)
		o := c.servers[id]
		switch {
		case until.After(now):
			if o = c.server(s); o.since.IsZero() {
				o.since = now
				started = append(started, s)
			}
			o.until = until
			last = later(last, until)
		case o != nil:
			o.since, o.until = time.Time{}, until
		}
	}
	c.last.Store(&last)
	return started
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// server returns the state of a lifetime of a server.
func (c *Cold) server(s *roster.Server) *coldServer {
	o := c.servers[s.ID]
	if o == nil || o.born != s.Born {
		o = &coldServer{born: s.Born}
		c.servers[s.ID] = o
	}
	return o
}

// until returns when a server stops being cold by all that is known. c.mu is held.
func (c *Cold) until(s *roster.Server, service *route.Service) time.Time {
	end := s.ColdUntil
	if !s.FirstSeen.IsZero() && (s.Appeared || s.Born > 0) {
		started := s.FirstSeen
		// The clock of this daemon or of the server may be off by seconds, so their difference counts only for servers that
		// were there before.
		if born := time.UnixMilli(s.Born); !s.Appeared && born.Before(started) {
			started = born
		}
		end = later(end, started.Add(service.ColdTime))
	}
	if began, ok := c.presumed[s.DataCentre]; ok {
		end = later(end, began.Add(service.ColdTime))
	}
	if o := c.servers[s.ID]; o != nil && o.born == s.Born {
		end = later(end, o.told)
	}
	return end
}

// Presume has the servers of a data centre count as cold for the cold times of their services from began on: those of an
// evacuated data centre may have become cold without requests.
func (c *Cold) Presume(dataCentre string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.presumed[dataCentre] = began
	c.extend(began.Add(c.longest))
}

// Tell records what a server itself has said: that it is cold for so much longer, zero if it is not.
func (c *Cold) Tell(now time.Time, s *roster.Server, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.servers[s.ID]; o == nil && remaining <= 0 || o != nil && o.born > s.Born {
		return
	}
	o := c.server(s)
	o.told = now.Add(remaining)
	if remaining > 0 {
		c.extend(o.told)
	}
}

// extend has servers be looked up until t at least. c.mu is held.
func (c *Cold) extend(t time.Time) {
	if last := c.last.Load(); last == nil || last.Before(t) {
		c.last.Store(&t)
	}
}

// Any reports whether a server may be cold.
func (c *Cold) Any(now time.Time) bool {
	last := c.last.Load()
	return last != nil && last.After(now)
}

// Until returns until when a server is cold, or zero if it is not.
func (c *Cold) Until(now time.Time, s *roster.Server, service *route.Service) time.Time {
	if service.ColdRate <= 0 || !c.Any(now) {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if end := c.until(s, service); end.After(now) {
		return end
	}
	return time.Time{}
}

// AnyMember reports whether a member of a group is cold. Missing members are nil.
func (c *Cold) AnyMember(now time.Time, members []*roster.Server, service *route.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(members, func(s *roster.Server) bool { return s != nil && c.until(s, service).After(now) })
}

// LearntLately reports whether this daemon has known for less than ColdLearnTime that a server is cold, so that the scheduler of its model
// may not know.
func (c *Cold) LearntLately(now time.Time, s *roster.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.servers[s.ID]
	return o == nil || o.since.IsZero() || now.Sub(o.since) < ColdLearnTime
}

// Allowance returns how many requests the scheduler of a model may send to a cold server now, of rate requests a second.
func (c *Cold) Allowance(now time.Time, s *roster.Server, rate float64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.server(s)
	o.expire(now)
	return max(int(rate)-len(o.sent), 0)
}

// Take counts a request that the scheduler of a model sends to a cold server.
func (c *Cold) Take(now time.Time, s *roster.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.server(s)
	o.expire(now)
	o.sent = append(o.sent, now)
}

// expire drops the requests that were sent before the last coldWindow.
func (o *coldServer) expire(now time.Time) {
	n := 0
	for n < len(o.sent) && now.Sub(o.sent[n]) >= coldWindow {
		n++
	}
	o.sent = o.sent[n:]
}

// NextAlone returns when one of several daemons may send a request to a cold server, or zero if it may now.
func (c *Cold) NextAlone(now time.Time, s *roster.Server, slots Slots) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next := slots.next(c.servers[s.ID]); next > slots.Clock {
		return now.Add(next - slots.Clock)
	}
	return time.Time{}
}

// TakeAlone uses the slot of one of several daemons for a request to a cold server. It reports false if there is none now.
func (c *Cold) TakeAlone(now time.Time, s *roster.Server, slots Slots) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.server(s)
	next := slots.next(o)
	if next > slots.Clock {
		return false
	}
	o.slot, o.used = next, true
	o.expire(now)
	o.sent = append(o.sent, now) // counts too if this daemon becomes the scheduler
	return true
}

// Remaining returns the number of servers that are cold and the longest time for which one still is.
func (c *Cold) Remaining(now time.Time) (servers int, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.servers {
		if left := o.until.Sub(now); left > 0 {
			servers++
			longest = max(longest, left)
		}
	}
	return servers, longest
}
