package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/roster"
)

const (
	// silentFor is how long a daemon that has work here may send no report before its work no longer counts. It reports
	// several times as often, and its requests end with it.
	silentFor = 1500 * time.Millisecond
	// resendAfter is how long an answer may be on its way before it is sent again for a request that is still asked for.
	resendAfter = 8 * time.Millisecond
)

// Server is a daemon's part as the scheduler of models. Every daemon has one: which daemon is asked is up to those who
// ask, and a server decides with what it has been told. It is not safe for concurrent use.
type Server struct {
	models map[Model]*served
}

// served is one model.
type served struct {
	scheduler *balance.Scheduler
	clients   map[string]*client
	// loads is the work of all clients at each group, with what has been granted and is in no report yet. workers counts
	// the clients with work at a group, suspects those that suspect it. They follow every change, since they are needed for
	// each request.
	loads             map[string]balance.Load
	workers, suspects map[string]int
}

// client is what a daemon last reported.
type client struct {
	boot     int64
	seq      uint64
	heard    time.Time
	work     []Work
	suspects []string
	// open holds the requests that wait, granted the answers that no report has confirmed yet.
	open    map[uint64]bool
	granted map[uint64]grant
}

// grant is an answer, with the prompt tokens that count as unread until a report counts them itself.
type grant struct {
	place  Place
	prompt int
	sent   time.Time
}

// NewServer returns a server that knows of no work.
func NewServer() *Server { return &Server{models: map[Model]*served{}} }

func (s *Server) model(m Model) *served {
	out := s.models[m]
	if out == nil {
		out = &served{scheduler: balance.NewScheduler(), clients: map[string]*client{}, loads: map[string]balance.Load{}, workers: map[string]int{}, suspects: map[string]int{}}
		s.models[m] = out
	}
	return out
}

// Report takes a report. It returns what there is to answer before Step, nil when nothing is: answers that the daemon seems
// to have missed, and that its requests are known. A report that is older than the last one is passed over.
func (s *Server) Report(now time.Time, r *Report) *Answer {
	m := s.model(r.Model)
	c := m.clients[r.From]
	if c != nil && (r.Boot < c.boot || r.Boot == c.boot && r.Seq <= c.seq) {
		return nil
	}
	if c == nil || c.boot != r.Boot {
		if c != nil {
			m.forget(r.From, c)
		}
		c = &client{boot: r.Boot, open: map[uint64]bool{}, granted: map[uint64]grant{}}
		m.clients[r.From] = c
	}
	m.state(c, nil, nil)
	c.seq, c.heard = r.Seq, now
	m.state(c, r.Work, r.Suspects)
	for _, f := range r.Firsts {
		m.scheduler.First(now, f.Group, balance.Estimate{Passes: f.Passes, Unread: f.Unread, Full: f.Full}, f.Took)
	}
	for _, key := range r.Failed {
		m.scheduler.Failed(now, key)
	}
	out := &Answer{Model: r.Model, Boot: r.Boot, Seq: r.Seq}
	asked := make(map[uint64]bool, len(r.Open)+len(r.Held))
	// repeat tells whether the request has been decided on; its answer is sent again unless it may be on its way.
	repeat := func(id uint64) bool {
		asked[id] = true
		g, ok := c.granted[id]
		if ok && now.Sub(g.sent) >= resendAfter {
			g.sent = now
			c.granted[id] = g
			out.Places = append(out.Places, g.place)
		}
		return ok
	}
	for i := range r.Open {
		if a := &r.Open[i]; !repeat(a.ID) && !c.open[a.ID] {
			c.open[a.ID] = true
			m.scheduler.Put(now, a.waiter(now, r))
		}
	}
	for _, id := range r.Held {
		if !repeat(id) && !c.open[id] {
			out.Unknown = append(out.Unknown, id)
		}
	}
	for id := range c.open {
		if !asked[id] {
			delete(c.open, id)
			m.scheduler.Drop(balance.Ticket{Daemon: r.From, Boot: r.Boot, ID: id})
		}
	}
	// What is not asked for any more counts in the report's work.
	for id, g := range c.granted {
		if id <= r.Last && !asked[id] {
			delete(c.granted, id)
			m.shift(g.place.Group, balance.Load{Requests: -1, Unread: -g.prompt})
		}
	}
	if len(asked) == 0 {
		return nil
	}
	return out
}

func (a *Ask) waiter(now time.Time, r *Report) *balance.Waiter {
	return &balance.Waiter{
		Ticket: balance.Ticket{Daemon: r.From, Boot: r.Boot, ID: a.ID}, Organisation: a.Organisation, DataCentre: r.DataCentre, Exclude: a.Exclude,
		Request: balance.Request{
			Rank: a.Rank, Prompt: a.Prompt, Objective: a.Objective, Gap: a.Gap, Asked: a.Asked, Mark: a.Mark, Arrived: now.Add(-a.Waited),
			Until: now.Add(a.Left), Continues: a.Continues,
		},
	}
}

// state replaces what a client told of its work and of groups that it suspects.
func (m *served) state(c *client, work []Work, suspects []string) {
	for _, w := range c.work {
		m.shift(w.Group, balance.Load{Requests: -w.Requests, Unread: -w.Unread})
		count(m.workers, w.Group, -1)
	}
	for _, key := range c.suspects {
		count(m.suspects, key, -1)
	}
	for _, w := range work {
		m.shift(w.Group, balance.Load{Requests: w.Requests, Unread: w.Unread})
		count(m.workers, w.Group, 1)
	}
	for _, key := range suspects {
		count(m.suspects, key, 1)
	}
	c.work, c.suspects = work, suspects
}

// count changes an entry of a table of counts.
func count(table map[string]int, key string, by int) {
	if n := table[key] + by; n > 0 {
		table[key] = n
	} else {
		delete(table, key)
	}
}

// suspect tells whether a group is left out. A daemon that suspects a group leaves it out by itself; for the others it may
// serve well, so it takes as many that suspect it as still have work there.
func (m *served) suspect(group string) bool {
	n := m.suspects[group]
	return n > 0 && n >= m.workers[group]
}

// shift changes the load of a group.
func (m *served) shift(group string, by balance.Load) {
	if group == "" {
		return // the request was turned away
	}
	l := m.loads[group].Add(by)
	if l == (balance.Load{}) {
		delete(m.loads, group)
		return
	}
	m.loads[group] = l
}

// forget drops a client with what it asked for and its work.
func (m *served) forget(name string, c *client) {
	m.state(c, nil, nil)
	for _, g := range c.granted {
		m.shift(g.place.Group, balance.Load{Requests: -1, Unread: -g.prompt})
	}
	for id := range c.open {
		m.scheduler.Drop(balance.Ticket{Daemon: name, Boot: c.boot, ID: id})
	}
	delete(m.clients, name)
}

// Input is what the server's owner knows of a model at one moment.
type Input struct {
	Plan *balance.Plan
	// Groups are its whole groups; their loads are filled in. Heads are their heads.
	Groups []balance.Group
	Heads  map[string]*roster.Server
	// Daemons is how many daemons there are, this one included.
	Daemons int
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Waiting tells whether requests of a model wait.
func (s *Server) Waiting(m Model) bool {
	served := s.models[m]
	return served != nil && served.scheduler.Waiting() > 0
}

// Models returns the models that the server knows of.
func (s *Server) Models() []Model {
	return slices.SortedFunc(maps.Keys(s.models), func(a, b Model) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
}

// Step decides on the waiting requests of a model and returns the answers by daemon.
func (s *Server) Step(now time.Time, model Model, in Input) map[string]*Answer {
	m := s.models[model]
	if m == nil {
		return nil
	}
	m.sweep(now)
	if m.scheduler.Waiting() == 0 {
		return nil
	}
	for i := range in.Groups {
		g := &in.Groups[i]
		g.Load = m.loads[g.Key]
		g.Suspect = g.Suspect || m.suspect(g.Key)
	}
	unheard := 1 - float64(min(len(m.clients), in.Daemons))/float64(max(in.Daemons, 1))
	out := map[string]*Answer{}
	for _, d := range m.scheduler.Step(now, in.Plan, in.Groups, unheard, in.Random) {
		c := m.clients[d.Daemon]
		if c == nil {
			continue // it has been silent for long
		}
		p := Place{ID: d.ID, Group: d.Group, Passes: d.Estimate.Passes, Unread: d.Estimate.Unread, Full: d.Estimate.Full, ComeBack: d.ComeBack, Reason: string(d.Reason)}
		if h := in.Heads[d.Group]; h != nil {
			p.Head, p.Addr = h.ID, h.Addr
		}
		delete(c.open, d.ID)
		c.granted[d.ID] = grant{place: p, prompt: d.Prompt, sent: now}
		m.shift(p.Group, balance.Load{Requests: 1, Unread: d.Prompt})
		if out[d.Daemon] == nil {
			out[d.Daemon] = &Answer{Model: model, Boot: c.boot, Seq: c.seq}
		}
		out[d.Daemon].Places = append(out[d.Daemon].Places, p)
	}
	return out
}

// sweep forgets daemons that have been silent for long.
func (m *served) sweep(now time.Time) {
	for name, c := range m.clients {
		if now.Sub(c.heard) > silentFor {
			m.forget(name, c)
		}
	}
}

// Demand is the work asked of a model as its scheduler knows it.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Requests run at groups; Lacking is about how many more places would have served all.
	Requests int
	Lacking  int
	// Urgent is the most urgent rank of recent work.
	Urgent int
}

// Demand returns what is asked of a model; ok is false when nothing is known of its work.
func (s *Server) Demand(now time.Time, model Model) (d Demand, ok bool) {
	m := s.models[model]
	if m == nil {
		return d, false
	}
	m.sweep(now)
	for _, l := range m.loads {
		d.Requests += l.Requests
	}
	var known bool
	d.Lacking, d.Urgent, known = m.scheduler.Lacking(now)
	return d, known || d.Requests > 0
}

// State returns what the scheduler of a model goes by, and how many daemons ask it.
func (s *Server) State(now time.Time, model Model) (state balance.State, daemons int) {
	m := s.models[model]
	if m == nil {
		return state, 0
	}
	m.sweep(now)
	return m.scheduler.State(now), len(m.clients)
}

// Forget drops what is known of groups that are gone.
func (s *Server) Forget(kept func(group string) bool) {
	for _, m := range s.models {
		m.scheduler.Forget(kept)
	}
}
