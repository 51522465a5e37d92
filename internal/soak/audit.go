// Package soak runs the real programs as processes on one machine, injects faults from outside, and checks what callers and
// backend servers see against what the system promises.
//
// It owns the processes that it starts and ends no others. Faults come from signals and from proxies on loopback; which
// ones and when is drawn from a seed, so that a run can be repeated with the same faults.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/fakeplatform"
)

// Kind is what may be repeated.
type Kind uint8

// Kinds of requests.
const (
	Read Kind = iota
	Write
	Talk
	// Probe asks a daemon directly for the route of one version of the configuration.
	Probe
	// Once is a stream that may not be resumed.
	Once
	// Feed and FeedOnce are streams of a plain service, which may and may not be resumed.
	Feed
	FeedOnce
)

func (k Kind) String() string {
	return [...]string{"read", "write", "talk", "probe", "once", "feed", "feed-once"}[k]
}

func (k Kind) stream() bool { return k == Talk || k == Once || k == Feed || k == FeedOnce }

// once tells whether requests of a kind may run once only.
func (k Kind) once() bool { return k == Write || k == Once || k == FeedOnce }

// sent is one attempt of a caller.
type sent struct {
	ask  fakeplatform.Ask
	kind Kind
	org  string
	at   time.Time
	// daemon is the lifetime of the daemon that is asked, version that of a probe's route.
	daemon  string
	version int

	reply *fakeplatform.Reply
	ended time.Time
	// runs counts the backend servers that ran it, ran is when the first began, done when one came to a good end.
	runs      int
	ran, done time.Time
	// server is the last of them. abandoned holds when the daemon left each one, zero for those that it has not left.
	server    string
	abandoned map[string]time.Time
	// brokeOff is set if the last server broke its work off, and no daemon had it do so.
	brokeOff bool
	// spoiled is set if a backend server sent a broken answer, which uses up an attempt.
	spoiled bool
}

// membership is one group, of one epoch, as its members told.
type membership struct {
	members []string
	ready   map[string]bool
	// open is set while the head takes requests or finishes them.
	open bool
}

// Bounds are the figures that the audit holds the system to.
type Bounds struct {
	// RetryRatio and RetrySlack bound the repeats of a service in RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// Rollback is how long after the effect of a version of the configuration was seen an older one may still show.
	Rollback time.Duration
	// Apply is how long a stored configuration may take to be in force at a daemon that nothing has disturbed for Calm.
	Apply, Calm time.Duration
	// Recover is how long the fleet may take after the last fault until a quarter of the requests is served.
	Recover time.Duration
	// Drain is how long requests may reach a backend server after the store has acknowledged that it drains, Grace how long a
	// daemon may go on after it was told to stop.
	Drain, Grace time.Duration
	// Answer is until when a request of each kind that runs must get the answer of its backend server, 0 if that is not checked.
	Answer map[Kind]time.Duration
	// Evacuate is how long requests may reach an evacuated data centre after the store has acknowledged the row, ColdLimit how many may
	// reach a cold backend server in a second.
	Evacuate  time.Duration
	ColdLimit int
}

// coldTimes is what is known of a backend server that is or was cold.
type coldTimes struct {
	from, until time.Time
	// arrivals are those of the last second between the two.
	arrivals []time.Time
}

// arrival is one request that reached a backend server.
type arrival struct {
	at     time.Time
	repeat bool
}

// Audit checks what was seen against the promises. It is pure: events come in by time. It is not safe for concurrent use.
type Audit struct {
	b        Bounds
	requests map[string]*sent
	// groups are keyed by name and epoch; in holds the group of each backend server.
	groups map[string]*membership
	in     map[string]string
	// gone holds the backend servers whose process has ended.
	gone map[string]bool
	// arrivals and requested are those of each service, for the budget of repeats.
	arrivals  map[string][]arrival
	requested map[string][]time.Time
	// seen is the newest version of the configuration in effect at each lifetime of a daemon, and since when.
	seen map[string]version
	// newest is the version that may be in force last, stored the one that the store has acknowledged last, and when.
	newest int
	stored version
	// trouble holds the spans of unplanned faults; those of a daemon by its name, the others under "". touched holds those of all
	// faults by the name of the process that they act on.
	trouble, touched spans
	// quiet holds when the way from a daemon to all backend servers was silent.
	quiet spans
	// storeLost holds when a daemon, or every daemon under "", could not read what operators want from the store. evacuations holds when the
	// store had acknowledged each row and none had asked for its removal, by data centre.
	storeLost, evacuations spans
	cold                   map[string]*coldTimes
	// stops holds when each lifetime of a daemon was told to stop, drains when the store acknowledged that a server drains.
	stops, drains map[string]time.Time
	// reached holds when the requests of each daemon ran, by backend server and daemon.
	reached map[string]map[string][]time.Time
	// Failures lists broken promises, one line each.
	Failures []string
	told     map[string]int
}

type version struct {
	number int
	at     time.Time
}

// span is a fault's time; to is zero while it lasts.
type span struct{ from, to time.Time }

type spans map[string][]span

// begin notes that a fault begins. The function that it returns tells its end.
func (s spans) begin(from time.Time, name string) (end func(to time.Time)) {
	i := len(s[name])
	s[name] = append(s[name], span{from: from})
	return func(to time.Time) { s[name][i].to = to }
}

// none tells whether no fault under any of the names falls between two times.
func (s spans) none(from, to time.Time, names ...string) bool {
	for _, name := range names {
		for _, x := range s[name] {
			if x.from.Before(to) && (x.to.IsZero() || x.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// NewAudit returns an audit that has seen nothing.
func NewAudit(b Bounds) *Audit {
	return &Audit{
		b: b, requests: map[string]*sent{}, groups: map[string]*membership{}, in: map[string]string{}, gone: map[string]bool{}, arrivals: map[string][]arrival{},
		requested: map[string][]time.Time{}, seen: map[string]version{}, trouble: spans{}, touched: spans{}, quiet: spans{},
		storeLost: spans{}, evacuations: spans{}, cold: map[string]*coldTimes{},
		told: map[string]int{}, stops: map[string]time.Time{}, drains: map[string]time.Time{}, reached: map[string]map[string][]time.Time{},
	}
}

// mostTold bounds the lines about one promise; the first ones tell the cause.
const mostTold = 5

func (a *Audit) fail(promise, format string, args ...any) {
	if a.told[promise]++; a.told[promise] <= mostTold {
		a.Failures = append(a.Failures, promise+": "+fmt.Sprintf(format, args...))
	}
}

func service(k Kind) string {
	if k == Talk || k == Once {
		return modelService
	}
	return plainService
}

// Sent notes a request before it goes out.
func (a *Audit) Sent(at time.Time, ask fakeplatform.Ask, kind Kind, org, daemon string, version int) {
	a.requests[ask.ID] = &sent{ask: ask, kind: kind, org: org, at: at, daemon: daemon, version: version, abandoned: map[string]time.Time{}}
	a.requested[service(kind)] = append(a.requested[service(kind)], at)
}

// Answered checks what a caller got.
func (a *Audit) Answered(at time.Time, id string, r fakeplatform.Reply) {
	s := a.requests[id]
	s.reply, s.ended = &r, at
	if r.Status == 0 {
		return
	}
	if r.ID != "" && r.ID != id {
		a.fail("own answers", "request %s got the answer to %s", id, r.ID)
	}
	if r.Status == 200 {
		a.success(s)
	}
	if s.kind != Talk && r.Status/100 == 3 || r.Status == 401 || r.Status == 403 || r.Status == 404 && s.kind != Probe {
		a.fail("proper requests are served", "%s %s was answered with %d", s.kind, id, r.Status)
	}
	if s.runs > 0 {
		a.refused(s)
	}
	if s.kind == Probe {
		a.probed(s)
	}
}

// success checks an answer that says that all is well.
func (a *Audit) success(s *sent) {
	id := s.ask.ID
	if !s.reply.Signed {
		a.fail("own answers", "request %s got a success that no backend server signed", id)
	}
	var whole string
	if s.kind.stream() {
		var b strings.Builder
		for n := s.ask.After + 1; n <= fakeplatform.Length(id); n++ {
			b.WriteString(fakeplatform.EventText(id, n))
		}
		whole = b.String()
	} else {
		whole = fakeplatform.Text(id, s.ask.Body)
	}
	got := string(s.reply.Body)
	switch {
	case s.reply.Err == nil && got != whole:
		a.fail("whole answers", "%s %s got %.800q, complete, in place of %.800q", s.kind, id, got, whole)
	case s.reply.Err != nil && !strings.HasPrefix(whole, got):
		a.fail("whole answers", "%s %s got %.800q, cut off, which does not begin %.800q", s.kind, id, got, whole)
	}
}

// refused checks that a request that was promised not to run did not. Requests that may be repeated promise nothing.
func (a *Audit) refused(s *sent) {
	if !s.kind.once() || s.reply == nil {
		return
	}
	switch s.reply.Status {
	case 408, 421, 429, 503:
		a.fail("refused means not run", "request %s was answered with %d and ran", s.ask.ID, s.reply.Status)
	}
}

// probed checks that a daemon does not go back to an earlier configuration in one lifetime.
func (a *Audit) probed(s *sent) {
	was := a.seen[s.daemon]
	switch {
	case s.reply.Status == 200 && s.version > was.number:
		a.seen[s.daemon] = version{s.version, s.ended}
	case s.reply.Status == 404 && s.version == a.stored.number && s.version == a.newest && s.at.After(a.stored.at.Add(a.b.Apply)) &&
		a.calm(name(s.daemon), s.at, s.ended):
		a.fail("configuration applies in time", "%s does not know version %d %v after it was stored", s.daemon, s.version, s.at.Sub(a.stored.at))
	case was.number == 0 || s.at.Before(was.at.Add(a.b.Rollback)):
	case s.reply.Status == 200 && s.version < was.number:
		a.fail("configuration never goes back", "%s served version %d after %d was in effect", s.daemon, s.version, was.number)
	case s.reply.Status == 404 && s.version == was.number && s.version == a.newest:
		a.fail("configuration never goes back", "%s no longer knows version %d", s.daemon, s.version)
	}
}

// Trouble tells that an unplanned fault begins, at a daemon or, with an empty name, elsewhere. The function that it returns
// tells its end.
func (a *Audit) Trouble(from time.Time, daemon string) (end func(to time.Time)) {
	return a.trouble.begin(from, daemon)
}

// Touched tells that a fault, planned or not, begins at a process. The function that it returns tells its end.
func (a *Audit) Touched(from time.Time, process string) (end func(to time.Time)) {
	return a.touched.begin(from, process)
}

// Quiet tells that the way from a daemon to all backend servers becomes silent. The function that it returns tells its end.
func (a *Audit) Quiet(from time.Time, daemon string) (end func(to time.Time)) {
	return a.quiet.begin(from, daemon)
}

// Stopped tells that a daemon was told to stop.
func (a *Audit) Stopped(at time.Time, lifetime string) { a.stops[lifetime] = at }

// Ended tells that the process of a daemon or backend server ended without being told to.
func (a *Audit) Ended(process, how string) {
	a.fail("no process ends by itself", "%s: %s", process, how)
}

// enoughRuns is how many requests a daemon sends to backend servers of a service until each of them has got one.
const enoughRuns = 40

// Followed checks that each of the plain backend servers has got requests since a time, and from each daemon that sent enough of
// them since it got the first.
func (a *Audit) Followed(since time.Time, servers []string) {
	for _, s := range servers {
		var first time.Time
		for _, list := range a.reached[s] {
			if i := slices.IndexFunc(list, since.Before); i >= 0 && (first.IsZero() || list[i].Before(first)) {
				first = list[i]
			}
		}
		if first.IsZero() {
			a.fail("servers are followed", "%s got nothing in the calm at the end", s)
			continue
		}
		sent := map[string]int{}
		for _, other := range servers {
			for d, list := range a.reached[other] {
				if i := slices.IndexFunc(list, first.Before); i >= 0 {
					sent[d] += len(list) - i
				}
			}
		}
		for d, n := range sent {
			if list := a.reached[s][d]; n >= enoughRuns && (len(list) == 0 || list[len(list)-1].Before(first)) {
				a.fail("servers are followed", "%s sent %d requests in the calm at the end, none of them to %s", d, n, s)
			}
		}
	}
}

// calm tells whether no unplanned fault touched a daemon, nor anything but daemons, from Calm before a time until another.
func (a *Audit) calm(daemon string, from, to time.Time) bool {
	return a.trouble.none(from.Add(-a.b.Calm), to, "", daemon)
}

// Stored tells that the store has acknowledged a version of the configuration.
func (a *Audit) Stored(at time.Time, number int) { a.stored = version{number, at} }

// Lost checks that no request ended without an answer after it had run, where only planned work went on. It is called at
// the end of the run.
func (a *Audit) Lost() {
	for id, s := range a.requests {
		if s.reply == nil || s.runs == 0 || s.brokeOff || s.spoiled || !a.calm(name(s.daemon), s.at, s.ended) {
			continue
		}
		if s.reply.Err == nil {
			if a.withheld(s) {
				a.fail("planned work loses nothing", "%s %s at %s ran at %s and was answered with %d", s.kind, id, s.daemon, s.server, s.reply.Status)
			}
			continue
		}
		// The time limit excuses only what a backend server worked on until then.
		limit := s.at.Add(s.ask.Left * 9 / 10)
		if s.ended.After(limit) && s.attended(limit) {
			continue
		}
		// A slow request that was sent before three eighths of the grace time, and still ran in its last sixth, is not lost.
		if stop := a.stops[s.daemon]; strings.HasPrefix(id, fakeplatform.SlowPrefix) && !stop.IsZero() && !s.at.After(stop.Add(a.b.Grace*3/8)) &&
			s.ended.After(stop.Add(a.b.Grace*5/6)) && s.done.IsZero() {
			continue
		}
		a.fail("planned work loses nothing", "%s %s at %s ran and got no whole answer: %v", s.kind, id, s.daemon, s.reply.Err)
	}
}

// attended tells whether the daemon had not left one of the backend servers by a time.
func (s *sent) attended(at time.Time) bool {
	for _, left := range s.abandoned {
		if left.IsZero() || left.After(at) {
			return true
		}
	}
	return false
}

// withheld tells whether a request was answered with an error of the daemon's own, though its backend server was still to answer in
// time, or had and was not silent.
func (a *Audit) withheld(s *sent) bool {
	if a.b.Answer[s.kind] == 0 || s.reply.Status != 502 && s.reply.Status != 504 {
		return false
	}
	limit := s.at.Add(a.b.Answer[s.kind])
	return s.ended.Before(limit) || !s.done.IsZero() && s.done.Before(limit) && a.touched.none(s.at, s.ended, s.server)
}

// name is that of a daemon whose lifetime is given.
func name(lifetime string) string {
	n, _, _ := strings.Cut(lifetime, "#")
	return n
}

// Configured tells that a version of the configuration may be in force from now on.
func (a *Audit) Configured(number int) { a.newest = number }

// Gone tells that the process of a backend server has ended.
func (a *Audit) Gone(id string) {
	if g := a.groups[a.in[id]]; g != nil && len(g.members) > 0 && g.members[0] == id {
		g.open = false
	}
	delete(a.in, id)
	a.gone[id] = true
}

// Event takes what a backend server did.
func (a *Audit) Event(e fakeplatform.Event) {
	key := fmt.Sprintf("%s/%d", e.Group, e.Epoch)
	g := a.groups[key]
	if g == nil && e.Group != "" {
		g = &membership{members: e.Members, ready: map[string]bool{}}
		a.groups[key] = g
	}
	switch e.Kind {
	case fakeplatform.Joining:
		if was := a.groups[a.in[e.Server]]; was != nil && was.open && a.in[e.Server] != key {
			a.fail("one group at a time", "%s joins %s while the head of %s is open", e.Server, key, a.in[e.Server])
		}
		if !slices.Equal(g.members, e.Members) {
			a.fail("one list of members", "%s has the members %v and %v", key, g.members, e.Members)
		}
		a.in[e.Server] = key
	case fakeplatform.Ready:
		g.ready[e.Server] = true
	case fakeplatform.Opened:
		g.open = true
	case fakeplatform.Closed, fakeplatform.Broken, fakeplatform.Left:
		if e.Kind == fakeplatform.Broken {
			a.broken(e, key)
		}
		if e.Server == g.members[0] {
			g.open = false
		}
		if e.Kind == fakeplatform.Left && a.in[e.Server] == key {
			delete(a.in, e.Server)
		}
	case fakeplatform.Run:
		a.run(e, g, key)
	case fakeplatform.Done:
		if s := a.requests[e.ID]; s != nil && s.done.IsZero() {
			s.done = e.At
		}
	case fakeplatform.Abandoned:
		if s := a.requests[e.ID]; s != nil {
			s.abandoned[e.Server] = e.At
		}
	case fakeplatform.Spoiled:
		if s := a.requests[e.ID]; s != nil {
			s.spoiled = true
		}
	case fakeplatform.Drains:
		a.drains[e.Server] = e.At
	case fakeplatform.Refused:
		a.arrived(e)
	case fakeplatform.Cold:
		a.becameCold(e)
	}
}

// becameCold notes that a backend server is cold. One that becomes so while its data centre has been evacuated for the bound gets no requests,
// and counts as cold when that ends, so daemons have no time to learn it.
func (a *Audit) becameCold(e fakeplatform.Event) {
	c := a.cold[e.Server]
	if c == nil || !c.until.After(e.At) {
		c = &coldTimes{from: e.From}
		for _, x := range a.evacuations[e.DataCentre] {
			if !x.from.Add(a.b.Evacuate).After(e.At) && (x.to.IsZero() || x.to.After(e.At.Add(-eventDelay/2))) {
				c.from = e.At
			}
		}
		a.cold[e.Server] = c
	}
	c.until = e.Until
}

// arrived checks that a request, run or rejected with 503, reaches no evacuated server, and no cold one too soon after others. After a
// fault of the server or a silence of the way to it, requests may arrive late, or together; the daemon sent them after the caller did.
func (a *Audit) arrived(e fakeplatform.Event) {
	before := e.At.Add(-a.b.Calm)
	calm := a.touched.none(before, e.At, e.Server)
	if s := a.requests[e.ID]; s != nil && s.daemon != "" {
		left := s.at
		if calm && a.quiet.none(before, e.At, name(s.daemon)) {
			left = e.At
		}
		for _, x := range a.evacuations[e.DataCentre] {
			if (x.to.IsZero() || e.At.Before(x.to)) && a.informed(x.from, left, name(s.daemon)) {
				a.fail("evacuated data centres get no requests", "%s of %s got %s of %s %v after the store had acknowledged the evacuation",
					e.Server, e.DataCentre, e.ID, s.daemon, e.At.Sub(x.from))
			}
		}
	}
	c := a.cold[e.Server]
	if c == nil || e.At.Before(c.from) || !e.At.Before(c.until) {
		return
	}
	c.arrivals = append(slices.DeleteFunc(c.arrivals, func(at time.Time) bool { return e.At.Sub(at) > time.Second }), e.At)
	for d := range a.quiet {
		calm = calm && a.quiet.none(before, e.At, d)
	}
	if calm && len(c.arrivals) > a.b.ColdLimit {
		a.fail("cold servers get few requests", "%s got %d in a second, %v before it is warm", e.Server, len(c.arrivals), c.until.Sub(e.At))
	}
}

// informed tells whether a daemon could read the store for the whole of the bound between two times. It then knows an evacuation that
// began before, also when it is cut off or starts again later.
func (a *Audit) informed(from, to time.Time, daemon string) bool {
	for moved := true; moved; {
		moved = false
		for _, x := range slices.Concat(a.storeLost[""], a.storeLost[daemon]) {
			if x.from.Before(from.Add(a.b.Evacuate)) && (x.to.IsZero() || x.to.After(from)) {
				if x.to.IsZero() {
					return false
				}
				from, moved = x.to, true
			}
		}
	}
	return !from.Add(a.b.Evacuate).After(to)
}

// broken notes the requests that a head breaks off because it has found a member lost, unless that was told to go elsewhere.
func (a *Audit) broken(e fakeplatform.Event, key string) {
	for _, id := range e.Members {
		if at, ok := a.in[id]; ok && at != key || !ok && !a.gone[id] {
			return
		}
	}
	for _, s := range a.requests {
		if s.server == e.Server && s.ran.Before(e.At) && (s.ended.IsZero() || s.ended.After(e.At)) {
			s.brokeOff = true
		}
	}
}

func (a *Audit) run(e fakeplatform.Event, g *membership, key string) {
	a.arrived(e)
	s := a.requests[e.ID]
	if s == nil {
		a.fail("only what was asked", "%s ran %q, which no caller sent", e.Server, e.ID)
		return
	}
	if e.Method != s.ask.Method || e.URI != s.ask.Path || e.Sum != fakeplatform.Sum(s.ask.Body) || e.Keyed {
		a.fail("only what was asked", "%s ran %s as %s %s, body %d, with key %v", e.Server, e.ID, e.Method, e.URI, e.Sum, e.Keyed)
	}
	if e.Organisation != s.org {
		a.fail("only what was asked", "%s ran %s for %q, not for %q", e.Server, e.ID, e.Organisation, s.org)
	}
	a.arrivals[service(s.kind)] = append(a.arrivals[service(s.kind)], arrival{e.At, s.runs > 0})
	s.abandoned[e.Server], s.server, s.brokeOff = time.Time{}, e.Server, false
	if s.runs++; s.runs == 1 {
		s.ran = e.At
	} else if s.kind.once() {
		a.fail("at most once", "%s ran %d times", e.ID, s.runs)
	}
	a.refused(s)
	if a.reached[e.Server] == nil {
		a.reached[e.Server] = map[string][]time.Time{}
	}
	a.reached[e.Server][name(s.daemon)] = append(a.reached[e.Server][name(s.daemon)], e.At)
	// Both the acknowledgement and the daemon count only in touch: the store up to the bound, the daemon and its way to the server
	// up to the request.
	if acked, ok := a.drains[e.Server]; ok && e.At.Sub(acked) > a.b.Drain && s.daemon != "" {
		from, until := acked.Add(-a.b.Calm), acked.Add(a.b.Drain)
		if a.touched.none(from, until, "store") && a.touched.none(from, e.At, "", name(s.daemon), e.Server) {
			a.fail("no request after the drain", "%s ran %s of %s %v after it had told that it drains", e.Server, e.ID, s.daemon, e.At.Sub(acked))
		}
	}
	if g == nil {
		return
	}
	for _, id := range g.members {
		if !g.ready[id] {
			a.fail("whole groups", "%s ran in %s, whose member %s was never ready", e.ID, key, id)
		}
	}
}

// Budget checks the repeats in the window that ends at a time.
func (a *Audit) Budget(now time.Time) {
	for name, list := range a.arrivals {
		from := now.Add(-a.b.RetryWindow)
		repeats := 0
		for _, x := range list {
			if x.repeat && x.at.After(from) && !x.at.After(now) {
				repeats++
			}
		}
		// The requests are those of this window, the one before it, or the one half a window before it.
		most := 0
		for _, shift := range []time.Duration{0, a.b.RetryWindow / 2, a.b.RetryWindow} {
			n := 0
			for _, at := range a.requested[name] {
				if at.After(from.Add(-shift)) && !at.After(now.Add(-shift)) {
					n++
				}
			}
			most = max(most, n)
		}
		if limit := a.b.RetryRatio*float64(most) + float64(a.b.RetrySlack); float64(repeats) > limit {
			a.fail("budget of repeats", "%d repeats of %s in %v, limit %.0f", repeats, name, a.b.RetryWindow, limit)
		}
	}
}

// Tally is how many requests of callers met an end.
type Tally struct {
	Sent, Served, Refused, Failed int
	// Quiet is how many of those sent were under way at a daemon whose way to all backend servers was silent, QuietFailed how many
	// of these failed.
	Quiet, QuietFailed int
}

// Count returns the tally of requests that were sent in a span, probes left out.
func (a *Audit) Count(from, to time.Time) Tally {
	var t Tally
	for _, s := range a.requests {
		if s.kind == Probe || s.at.Before(from) || s.at.After(to) {
			continue
		}
		t.Sent++
		failed := false
		switch {
		case s.reply == nil || s.reply.Err != nil:
			failed = true
		case s.reply.Status == 200:
			t.Served++
		case s.reply.Status == 503 || s.reply.Status == 429:
			t.Refused++
		default:
			failed = true
		}
		quiet := !s.ended.IsZero() && !a.quiet.none(s.at, s.ended, name(s.daemon))
		if quiet {
			t.Quiet++
		}
		if failed {
			t.Failed++
			if quiet {
				t.QuietFailed++
			}
		}
	}
	return t
}

// Recovered checks that the fleet serves again after the last fault, which ended at a time.
func (a *Audit) Recovered(last, end time.Time) {
	if t := a.Count(last.Add(a.b.Recover), end); t.Sent == 0 || t.Served*4 < t.Sent {
		a.fail("recovery", "of %d requests later than %v after the last fault, %d were served", t.Sent, a.b.Recover, t.Served)
	}
}
