// Package schedule is how the daemons of a fleet place the requests of a model together: all of them ask one daemon, the
// model's scheduler, which therefore knows the load of each group to the request.
//
// The scheduler is no authority. It is the first live daemon in rendezvous order of the model's name; daemons that see
// different daemons alive may ask different ones, and one that gets no answer in time decides by itself. What is lost then
// is evenness, not correctness: a backend server still turns away what it cannot take.
//
// Messages are datagrams. A report is all that a daemon has to say at that moment, and an answer is repeated for as long
// as the request is reported as open, so nothing depends on a single datagram.
package schedule

import (
	"slices"
	"time"
)

const (
	// repeatAfter is how long a report that should bring an answer may stay without one before it is sent again: several
	// round trips within a region.
	repeatAfter = 20 * time.Millisecond
	// silentAfter is how long a scheduler may be silent while it is asked before its requests are placed without it; a tenth
	// of a short objective and more, so longer silence would cost more than a worse place.
	silentAfter = 45 * time.Millisecond
	// avoidFor is how long a scheduler that was silent is not asked; doubled each time in a row up to avoidMax.
	avoidFor = 500 * time.Millisecond
	avoidMax = 4 * time.Second
	// quietReport is how often a daemon with work reports while nothing changes.
	quietReport = 300 * time.Millisecond
	// lastReports is how many reports follow the end of all work, so that one that is lost does not leave the work counted.
	lastReports = 3
	// maxTold bounds the requests that one report has whole, so that it fits a datagram. maxOpen bounds those that wait.
	maxTold = 8
	maxOpen = 100
)

// Client is a daemon's part in asking the scheduler of one model. It is not safe for concurrent use.
type Client struct {
	model Model
	// last is the highest id that has been told whole.
	last uint64
	open []*asking
	seq  uint64
	// target is the daemon that is asked, "" for this one.
	target string
	// sent is when a report last went to the target. waiting is since when one that should bring an answer is without,
	// zero when none is, and waitingSeq is its number.
	sent, waiting time.Time
	waitingSeq    uint64
	// dirty is set when work has changed since the last report; idle counts the reports since all work ended.
	dirty  bool
	idle   int
	avoid  map[string]avoided
	firsts []First
	failed []string
}

// asking is a request without an answer.
type asking struct {
	Ask
	arrived, until time.Time
	// told is the first report that had it whole, zero before; known is set when the target has said that it knows it.
	told  uint64
	known bool
}

// avoided is a scheduler that was silent.
type avoided struct {
	until time.Time
	pause time.Duration
}

// NewClient returns a client without requests.
func NewClient(m Model) *Client {
	return &Client{model: m, idle: lastReports, avoid: map[string]avoided{}}
}

// Ask adds a request, which arrived and is given up by its caller at the given times. Its id must be above all earlier
// ones. It reports false when too many wait already.
func (c *Client) Ask(a Ask, arrived, until time.Time) bool {
	if len(c.open) >= maxOpen {
		return false
	}
	c.open = append(c.open, &asking{Ask: a, arrived: arrived, until: until})
	return true
}

// Withdraw takes back a request that wants no place any more.
func (c *Client) Withdraw(id uint64) {
	n := len(c.open)
	c.open = slices.DeleteFunc(c.open, func(a *asking) bool { return a.ID == id })
	c.dirty = c.dirty || len(c.open) < n
}

// Changed notes that the daemon's work has changed.
func (c *Client) Changed() { c.dirty = true }

// First notes a first event.
func (c *Client) First(f First) {
	c.firsts = append(c.firsts, f)
	c.dirty = true
}

// Failed notes that a group failed a request.
func (c *Client) Failed(group string) {
	c.failed = append(c.failed, group)
	c.dirty = true
}

// Target chooses whom to ask, from the candidates in their order. "" stands for this daemon.
func (c *Client) Target(now time.Time, candidates []string) string {
	next := ""
	for _, name := range candidates {
		if now.Before(c.avoid[name].until) {
			continue
		}
		next = name
		break
	}
	if next != c.target {
		c.target, c.dirty = next, true
		c.retell()
	}
	return next
}

// retell has all open requests told whole again.
func (c *Client) retell() {
	c.waiting = time.Time{}
	for _, a := range c.open {
		a.told, a.known = 0, false
	}
}

// Silent tells whether the target has been silent for so long that the open requests are to be placed without it. It is
// then not asked for a while.
func (c *Client) Silent(now time.Time) bool {
	if c.target == "" || c.waiting.IsZero() || now.Sub(c.waiting) < silentAfter {
		return false
	}
	a := c.avoid[c.target]
	a.pause = min(max(2*a.pause, avoidFor), avoidMax)
	a.until = now.Add(a.pause)
	c.avoid[c.target] = a
	c.retell()
	return true
}

// Due tells whether a report is to be sent. working tells whether the daemon has work at groups of the model.
func (c *Client) Due(now time.Time, working bool) bool {
	switch {
	case c.dirty:
		return true
	case len(c.open) > 0 && !c.waiting.IsZero():
		return now.Sub(c.sent) >= repeatAfter
	}
	return (working || len(c.open) > 0 || c.idle < lastReports) && now.Sub(c.sent) >= quietReport
}

// Report returns what is to be sent to the target now.
func (c *Client) Report(now time.Time, from string, boot int64, dataCentre string, work []Work, suspects []string) *Report {
	c.seq++
	r := &Report{From: from, Boot: boot, Seq: c.seq, DataCentre: dataCentre, Model: c.model, Work: work, Suspects: suspects, Firsts: c.firsts, Failed: c.failed}
	for _, a := range c.open {
		switch {
		case a.known:
			r.Held = append(r.Held, a.ID)
		case len(r.Open) < maxTold:
			out := a.Ask
			out.Waited, out.Left = now.Sub(a.arrived), a.until.Sub(now)
			r.Open = append(r.Open, out)
			c.last = max(c.last, a.ID)
			if a.told == 0 {
				a.told = c.seq
			}
		}
	}
	r.Last = c.last
	c.idle++
	if len(work) > 0 || len(c.open) > 0 {
		c.idle = 0
	}
	c.sent, c.dirty, c.firsts, c.failed = now, false, nil, nil
	if len(c.open) > 0 && c.waiting.IsZero() {
		c.waiting, c.waitingSeq = now, c.seq
	}
	return r
}

// Answer takes an answer and returns the places of requests that were open.
func (c *Client) Answer(a *Answer) []Place {
	if a.From == c.target && a.Seq >= c.waitingSeq {
		c.waiting = time.Time{}
		if a.Seq < c.seq {
			c.waiting, c.waitingSeq = c.sent, c.seq
		}
		delete(c.avoid, a.From)
	}
	for _, o := range c.open {
		if a.From == c.target && o.told > 0 && o.told <= a.Seq {
			o.known = true
		}
		if slices.Contains(a.Unknown, o.ID) {
			o.told, o.known, c.dirty = 0, false, true
		}
	}
	var out []Place
	for _, p := range a.Places {
		n := len(c.open)
		c.open = slices.DeleteFunc(c.open, func(o *asking) bool { return o.ID == p.ID })
		if len(c.open) < n {
			out = append(out, p)
		}
	}
	// The scheduler counts the places by itself until the next report, which should not be long in coming.
	c.dirty = c.dirty || len(out) > 0
	return out
}

// Open is the number of requests without an answer.
func (c *Client) Open() int { return len(c.open) }
