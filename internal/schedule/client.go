// Package schedule implements the protocol by which the daemons of a fleet place the requests of a model together:
// all of them ask one daemon, the model's scheduler, which therefore knows the exact load of each group.
//
// The scheduler has no exclusive authority. It is the first live daemon in rendezvous order of the model's name.
// Daemons that see different daemons alive may ask different ones, and a daemon that gets no answer in time decides
// by itself. Then the load is spread less evenly, but nothing becomes incorrect: a backend server still rejects what
// it cannot take.
//
// Messages are datagrams. A report carries the whole state of its daemon, and an answer is repeated for as long as
// its request is reported as waiting, so nothing depends on a single datagram.
package schedule

import (
	"maps"
	"slices"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/quarantine"
)

const (
	// resendReportAfter is how long a report that needs an answer may go unanswered before it is sent again: several
	// round trips within a region.
	resendReportAfter = 20 * time.Millisecond
	// schedulerTimeout is how long an asked scheduler may stay silent before its requests are placed without it. It
	// is slightly more than a tenth of a short objective; a longer wait would cost more than a worse placement.
	schedulerTimeout = 45 * time.Millisecond
	// minAvoidTime is how long a scheduler that was silent is not asked, doubled on each repetition up to
	// maxAvoidTime.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// keepaliveInterval is how often a daemon with work reports while nothing changes.
	keepaliveInterval = 300 * time.Millisecond
	// finalReports is the number of reports after the end of all work, so that the loss of one does not leave the
	// work counted.
	finalReports = 3
	// maxRequestsPerReport bounds the requests that one report describes in full, so that it fits a datagram.
	// maxPending bounds those that wait.
	maxRequestsPerReport = 8
	maxPending           = 100
	// maxLimitsPerReport bounds the limits in one report; the next one has the others.
	maxLimitsPerReport = 32
	// maxOutcomesPerReport bounds the outcomes between two reports, so that they fit a datagram.
	maxOutcomesPerReport = 32
	// maxUnexplained bounds the crashes that another target is told.
	maxUnexplained = 16
)

// Client is a daemon's side of the protocol with the scheduler of one model. It is not safe for concurrent use.
type Client struct {
	model Model
	// lastID is the highest id that has been reported in full.
	lastID  uint64
	pending []*pendingRequest
	seq     uint64
	// target is the daemon that is asked, "" for this one.
	target string
	// lastSent is when a report was last sent to the target. unansweredSince is when the oldest unanswered report
	// that needs an answer was sent, zero when there is none, and unansweredSeq is its sequence number.
	lastSent, unansweredSince time.Time
	unansweredSeq             uint64
	// dirty is set when work has changed since the last report; idleReports counts the reports since all work ended.
	dirty       bool
	idleReports int
	avoided     map[string]avoidance
	firstEvents []FirstEvent
	failures    []string
	// outcomes holds the outcomes since the last report, crashes the crashes in that report, which the next one repeats.
	outcomes, crashes []placedOutcome
	// unexplained holds the latest crashes whose cause is not known, for the next target. Requests and parts that were answered
	// since are left out.
	unexplained []placedOutcome
	// limits holds the latest notice of each backend server since the last report.
	limits map[string]limitNotice
}

// limitNotice is a notice in the answer to a request that was sent at the given time.
type limitNotice struct {
	balance.LimitNotice
	sent time.Time
}

// placedOutcome is the outcome of a request that was placed at the given time. Its Parts may be shared and are not changed in place.
type placedOutcome struct {
	quarantine.Outcome
	placed time.Time
}

// pendingRequest is a request without an answer.
type pendingRequest struct {
	PlacementRequest
	arrived, until time.Time
	// limited is set if the request may run in dataCentres only.
	limited     bool
	dataCentres []string
	// sentIn is the sequence number of the first report with the request in full, zero before; acknowledged is set
	// when the target has answered that report or a later one.
	sentIn       uint64
	acknowledged bool
}

// avoidance is the penalty of a scheduler that was silent.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// NewClient returns a client without requests.
func NewClient(m Model) *Client {
	return &Client{model: m, idleReports: finalReports, avoided: map[string]avoidance{}, limits: map[string]limitNotice{}}
}

// Submit adds a request that arrived, and whose caller gives up, at the given times. Its id must be above all earlier
// ones. It reports false when too many wait already.
func (c *Client) Submit(a PlacementRequest, arrived, until time.Time) bool {
	if len(c.pending) >= maxPending {
		return false
	}
	c.pending = append(c.pending, &pendingRequest{PlacementRequest: a, arrived: arrived, until: until})
	return true
}

// Limit restricts a request that was just submitted to groups whose members are all in the given data centres.
func (c *Client) Limit(id uint64, dataCentres []string) {
	for _, a := range c.pending {
		if a.ID == id {
			a.limited, a.dataCentres = true, dataCentres
		}
	}
}

// Withdraw removes a request that no longer needs placement.
func (c *Client) Withdraw(id uint64) {
	n := len(c.pending)
	c.pending = slices.DeleteFunc(c.pending, func(a *pendingRequest) bool { return a.ID == id })
	c.dirty = c.dirty || len(c.pending) < n
}

// Changed records that the daemon's work has changed.
func (c *Client) Changed() { c.dirty = true }

// RecordFirstEvent records a first event.
func (c *Client) RecordFirstEvent(f FirstEvent) {
	c.firstEvents = append(c.firstEvents, f)
	c.dirty = true
}

// RecordFailure records that a group failed a request.
func (c *Client) RecordFailure(group string) {
	c.failures = append(c.failures, group)
	c.dirty = true
}

// RecordOutcome records the outcome of a request that was placed at the given time.
func (c *Client) RecordOutcome(o quarantine.Outcome, placed time.Time) {
	if len(c.outcomes) >= maxOutcomesPerReport {
		// Crashes are rarer than answers and are kept if possible.
		i := max(slices.IndexFunc(c.outcomes, func(o placedOutcome) bool { return !o.Crashed }), 0)
		c.outcomes = slices.Delete(c.outcomes, i, i+1)
	}
	c.outcomes = append(c.outcomes, placedOutcome{o, placed})
	c.dirty = true
	if o.Crashed {
		c.unexplained = append(c.unexplained, placedOutcome{o, placed})
		c.unexplained = c.unexplained[max(len(c.unexplained)-maxUnexplained, 0):]
		return
	}
	answered := func(part uint64) bool { return slices.Contains(o.Parts, part) }
	for i := range c.unexplained {
		if crash := &c.unexplained[i]; slices.ContainsFunc(crash.Parts, answered) {
			crash.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), answered)
		}
	}
	c.forgetCrashes(func(crash placedOutcome) bool {
		return o.Request != 0 && crash.Request == o.Request || crash.Request == 0 && len(crash.Parts) == 0
	})
}

func (c *Client) forgetCrashes(forgotten func(crash placedOutcome) bool) {
	c.unexplained = slices.DeleteFunc(c.unexplained, forgotten)
}

// ForgetQuarantined forgets the crashes by requests or prompt parts that are quarantined.
func (c *Client) ForgetQuarantined(ids []uint64) {
	quarantined := func(id uint64) bool { return slices.Contains(ids, id) }
	c.forgetCrashes(func(crash placedOutcome) bool {
		return quarantined(crash.Request) || slices.ContainsFunc(crash.Parts, quarantined)
	})
}

// TargetRestarted records that a daemon has restarted. If it is the target, it has forgotten the reports.
func (c *Client) TargetRestarted(name string) {
	if name == c.target {
		c.repeatCrashes()
	}
}

// repeatCrashes has the next report repeat the crashes without a known cause.
func (c *Client) repeatCrashes() {
	// The report repeats all crashes of the last one, too.
	for _, crash := range slices.Backward(c.unexplained) {
		reported := func(o placedOutcome) bool { return o.Crashed && o.Request == crash.Request && o.Group == crash.Group }
		if len(c.outcomes) < maxOutcomesPerReport && !slices.ContainsFunc(c.outcomes, reported) && !slices.ContainsFunc(c.crashes, reported) {
			c.outcomes = append(c.outcomes, crash)
		}
	}
	c.dirty = c.dirty || len(c.unexplained) > 0
}

// HasUnexplainedCrashes reports whether there are crashes to repeat to the next target. It forgets those that count no more.
func (c *Client) HasUnexplainedCrashes(now time.Time) bool {
	c.forgetCrashes(func(crash placedOutcome) bool { return now.Sub(crash.placed) > quarantine.CrashMemory })
	return len(c.unexplained) > 0
}

// RecordLimit records what the answer to a request that was sent at the given time says about the limit of its server.
func (c *Client) RecordLimit(n balance.LimitNotice, sent time.Time) {
	c.limits[n.Server] = limitNotice{n, sent}
	c.dirty = true
}

// SelectTarget selects the daemon to ask from the candidates, in order of preference. "" stands for this daemon.
func (c *Client) SelectTarget(now time.Time, candidates []string) string {
	next := ""
	for _, name := range candidates {
		if now.Before(c.avoided[name].until) {
			continue
		}
		next = name
		break
	}
	if next != c.target {
		c.target, c.dirty = next, true
		c.resetSent()
		c.repeatCrashes()
	}
	return next
}

// resetSent has all pending requests reported in full again.
func (c *Client) resetSent() {
	c.unansweredSince = time.Time{}
	for _, a := range c.pending {
		a.sentIn, a.acknowledged = 0, false
	}
}

// TargetTimedOut reports whether the target has been silent for so long that the pending requests must be placed
// without it. If so, the target is not asked for a while.
func (c *Client) TargetTimedOut(now time.Time) bool {
	if c.target == "" || c.unansweredSince.IsZero() || now.Sub(c.unansweredSince) < schedulerTimeout {
		return false
	}
	a := c.avoided[c.target]
	a.pause = min(max(2*a.pause, minAvoidTime), maxAvoidTime)
	a.until = now.Add(a.pause)
	c.avoided[c.target] = a
	c.resetSent()
	return true
}

// Due reports whether a report is to be sent. working is whether the daemon has work at groups of the model.
func (c *Client) Due(now time.Time, working bool) bool {
	switch {
	case c.dirty:
		return true
	case len(c.pending) > 0 && !c.unansweredSince.IsZero():
		return now.Sub(c.lastSent) >= resendReportAfter
	}
	return (working || len(c.pending) > 0 || c.idleReports < finalReports) && now.Sub(c.lastSent) >= keepaliveInterval
}

// NewReport returns the report to send to the target now.
func (c *Client) NewReport(now time.Time, from string, boot int64, dataCentre string, work []Work, suspects []string) *Report {
	c.seq++
	r := &Report{From: from, Boot: boot, Seq: c.seq, DataCentre: dataCentre, Model: c.model, Work: work, Suspects: suspects, FirstEvents: c.firstEvents, Failed: c.failures}
	for _, a := range c.pending {
		switch {
		case a.acknowledged:
			r.Acknowledged = append(r.Acknowledged, a.ID)
		case len(r.Unacknowledged) < maxRequestsPerReport:
			out := a.PlacementRequest
			out.Waited, out.Left = now.Sub(a.arrived), a.until.Sub(now)
			r.Unacknowledged = append(r.Unacknowledged, out)
			if a.limited {
				if r.DataCentres == nil {
					r.DataCentres = map[uint64][]string{}
				}
				r.DataCentres[a.ID] = a.dataCentres
			}
			c.lastID = max(c.lastID, a.ID)
			if a.sentIn == 0 {
				a.sentIn = c.seq
			}
		}
	}
	if slices.ContainsFunc(r.Unacknowledged, func(a PlacementRequest) bool { return a.Tokens > 0 }) {
		for i := range r.Unacknowledged {
			r.Tokens = append(r.Tokens, r.Unacknowledged[i].Tokens)
		}
	}
	r.Last = c.lastID
	for _, o := range slices.Concat(c.crashes, c.outcomes) {
		o.Took = now.Sub(o.placed)
		r.Outcomes = append(r.Outcomes, o.Outcome)
		r.OutcomeRequests = append(r.OutcomeRequests, o.Request)
	}
	for _, server := range slices.Sorted(maps.Keys(c.limits)) {
		if len(r.Limits) == maxLimitsPerReport {
			break
		}
		n := c.limits[server]
		n.SentAgo = now.Sub(n.sent)
		r.Limits = append(r.Limits, n.LimitNotice)
		delete(c.limits, server)
	}
	c.crashes = slices.DeleteFunc(c.outcomes, func(o placedOutcome) bool { return !o.Crashed })
	c.idleReports++
	if len(work) > 0 || len(c.pending) > 0 {
		c.idleReports = 0
	}
	c.lastSent, c.dirty, c.firstEvents, c.failures = now, len(c.limits) > 0, nil, nil
	c.outcomes = nil
	if len(c.pending) > 0 && c.unansweredSince.IsZero() {
		c.unansweredSince, c.unansweredSeq = now, c.seq
	}
	return r
}

// HandleAnswer processes an answer and returns the decisions on requests that were pending.
func (c *Client) HandleAnswer(a *Answer) []Placement {
	if a.From == c.target && a.Seq >= c.unansweredSeq {
		c.unansweredSince = time.Time{}
		if a.Seq < c.seq {
			c.unansweredSince, c.unansweredSeq = c.lastSent, c.seq
		}
		delete(c.avoided, a.From)
	}
	for _, o := range c.pending {
		if a.From == c.target && o.sentIn > 0 && o.sentIn <= a.Seq {
			o.acknowledged = true
		}
		if slices.Contains(a.Unknown, o.ID) {
			o.sentIn, o.acknowledged, c.dirty = 0, false, true
		}
	}
	var out []Placement
	for _, p := range a.Placements {
		n := len(c.pending)
		c.pending = slices.DeleteFunc(c.pending, func(o *pendingRequest) bool { return o.ID == p.ID })
		if len(c.pending) < n {
			out = append(out, p)
		}
	}
	// The scheduler counts its decisions as load only until the next report, which should follow soon.
	c.dirty = c.dirty || len(out) > 0
	return out
}

// Open returns the number of requests without an answer.
func (c *Client) Open() int { return len(c.pending) }
