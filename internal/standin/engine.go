package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// EngineSpec is how an engine behaves. Zero values of Watch and Linger stand for their defaults.
type EngineSpec struct {
	ID string
	// Slots is the number of requests that run at a time. Queue bounds the requests that wait and have not started.
	Slots, Queue int
	// First and Token are the time to the first token and between tokens of a request that runs alone.
	First, Token time.Duration
	// Growth is the part by which each further running request lengthens the time between tokens.
	Growth float64
	// Load is the time that an order to load takes when Platform is not set; otherwise the platform's weight store
	// decides.
	Load     time.Duration
	Platform netip.AddrPort
	// Fencing is whether the engine refuses orders with a lower fencing token.
	Fencing bool
	// Cache is the number of prefixes that the cache holds.
	Cache int
	// Gap loses every Gap-th cache event; 0 loses none.
	Gap uint64
	// Lag is the age of load reports and cache events.
	Lag time.Duration
	// Watch is the period in which member 0 checks its group; a member that does not answer in 5 periods is missing.
	Watch time.Duration
	// Linger is how long an attempt goes on after its last connection broke.
	Linger time.Duration
	// Dial opens connections to the platform and to other members; nil stands for TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

const (
	defaultWatch  = 100 * time.Millisecond
	defaultLinger = 2 * time.Second
	// keptJobs bounds the ended attempts that can still be resumed.
	keptJobs = 1024
	// keptReports bounds the load reports and cache events that are kept for their lag.
	keptReports = 4096
	// cachedPercent is the part of the time to the first token that a fully cached prompt saves.
	cachedPercent = 80
	// weightRetry is the pause after the weight store failed.
	weightRetry = 200 * time.Millisecond
)

// Engine is an in-memory model engine.
type Engine struct {
	spec    EngineSpec
	control Control
	mux     *http.ServeMux
	http    *http.Client
	client  *engine.Client

	ctx context.Context
	g   errgroup.Group

	mu     sync.Mutex
	closed bool
	state  engine.State
	// order counts the orders that changed what is loaded; stopLoad ends the load that the last one started.
	order    int
	stopLoad context.CancelFunc
	members  []netip.AddrPort
	present  bool
	// span is the index of the open span, or -1.
	span int
	// running and waiting hold the attempts that are not ended; waiting also holds the paused ones.
	running, waiting []*job
	jobs             map[string]*job
	ended            []*job
	seq              int
	record           Record
	cache            cache
	reports          []engine.Load
}

// job is one attempt. The engine's lock guards it.
type job struct {
	id       string
	priority int
	// seq is the order of arrival.
	seq      int
	words    []string
	prefixes []uint64
	// run is the index of its record, or -1 while it has not started.
	run      int
	produced int
	// ended is why it ended; empty before.
	ended string
	// changed is closed and replaced on each change.
	changed chan struct{}
	// stop ends the turn that it runs in.
	stop     context.CancelFunc
	watchers int
	// stopLinger and stopDeadline end its timers.
	stopLinger, stopDeadline func()
}

// NewEngine returns an engine that has nothing loaded, and a function that stops its goroutines.
func NewEngine(s EngineSpec) (*Engine, func()) {
	if s.Watch == 0 {
		s.Watch = defaultWatch
	}
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	if s.Dial == nil {
		s.Dial = (&net.Dialer{}).DialContext
	}
	tr := &http.Transport{DialContext: s.Dial, MaxIdleConnsPerHost: 4}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		spec: s, mux: http.NewServeMux(), http: &http.Client{Transport: tr}, client: engine.NewClientWithTransport(tr),
		ctx: ctx, span: -1, stopLoad: func() {}, jobs: map[string]*job{}, state: engine.State{Instance: s.ID},
		cache: cache{size: s.Cache, entries: map[uint64]*entry{}},
	}
	e.control.onKill = e.kill
	e.control.effect = func(r *http.Request) (lose, refuse bool) {
		return r.Method == http.MethodPost, r.URL.Path == "/v1/chat/completions"
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/stream", e.resume)
	e.mux.HandleFunc("POST /v1/cancel", e.cancel)
	e.mux.HandleFunc("POST /order", e.obey)
	e.mux.HandleFunc("GET /state", e.report)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache", e.cacheEvents)
	e.mux.HandleFunc("POST /kv/export", e.exportKV)
	e.mux.HandleFunc("POST /kv/import", e.importKV)
	e.mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Record()) })
	e.g.Go(e.watch)
	return e, func() {
		e.mu.Lock()
		e.closed = true
		for _, j := range slices.Concat(e.running, e.waiting) {
			e.end(j, EndKilled)
		}
		e.mu.Unlock()
		cancel()
		_ = e.g.Wait()
		tr.CloseIdleConnections()
	}
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.control.serve(w, r, e.mux) }

// Control returns the faults of the engine.
func (e *Engine) Control() *Control { return &e.control }

// Record returns what the engine really ran, and when it was loaded for which group.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{Runs: copied(e.record.Runs), Spans: copied(e.record.Spans), Commits: []Commit{}}
}

// spawn starts a goroutine that the clean-up function waits for. It is called with the lock held.
func (e *Engine) spawn(f func() error) {
	if !e.closed {
		e.g.Go(f)
	}
}

// Scheduling. Everything in this part is called with the lock held. The most urgent waiting attempt takes a free slot or
// that of the least urgent running one if that is less urgent; an attempt that lost its slot keeps its tokens and its
// place among the waiting ones.

func compare(a, b *job) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return a.seq - b.seq
}

func (e *Engine) schedule() {
	for len(e.waiting) > 0 && !e.closed {
		next := slices.MinFunc(e.waiting, compare)
		if len(e.running) >= e.spec.Slots {
			if len(e.running) == 0 {
				return
			}
			last := slices.MaxFunc(e.running, compare)
			if last.priority <= next.priority {
				return
			}
			last.stop()
			e.running = without(e.running, last)
			e.waiting = append(e.waiting, last)
			e.record.Runs[last.run].Pauses++
		}
		e.waiting = without(e.waiting, next)
		e.running = append(e.running, next)
		e.start(next)
	}
	e.note()
}

func (e *Engine) start(j *job) {
	wait := e.tokenTime()
	if j.run < 0 {
		j.run = len(e.record.Runs)
		e.record.Runs = append(e.record.Runs, Run{Attempt: j.id, Instance: e.spec.ID, Group: e.state.Group, Generation: e.state.Generation, Priority: j.priority, Start: now()})
		wait = e.firstTime(j)
		j.wake()
	}
	ctx, stop := context.WithCancel(e.ctx)
	j.stop = stop
	e.spawn(func() error {
		defer stop()
		e.turn(ctx, j, wait)
		return nil
	})
}

func (e *Engine) tokenTime() time.Duration {
	return e.control.straggle(time.Duration(float64(e.spec.Token) * (1 + e.spec.Growth*float64(max(len(e.running)-1, 0)))))
}

func (e *Engine) firstTime(j *job) time.Duration {
	first := e.spec.First
	if n := len(j.prefixes); n > 0 {
		first -= first * cachedPercent * time.Duration(e.cache.hit(j.prefixes)) / time.Duration(100*n)
	}
	return e.control.straggle(first)
}

func (e *Engine) end(j *job, why string) {
	if j.ended != "" {
		return
	}
	j.ended = why
	if j.run >= 0 {
		r := &e.record.Runs[j.run]
		r.End, r.Ended, r.Cancelled = now(), why, why == EndCancelled
	}
	j.stop()
	j.stopLinger()
	j.stopDeadline()
	e.running, e.waiting = without(e.running, j), without(e.waiting, j)
	e.ended = append(e.ended, j)
	if len(e.ended) > keptJobs {
		if old := e.ended[0]; e.jobs[old.id] == old {
			delete(e.jobs, old.id)
		}
		e.ended = e.ended[1:]
	}
	j.wake()
	e.schedule()
}

// lose ends every attempt, because the group no longer serves.
func (e *Engine) lose(why string) {
	e.present = false
	waiting := e.waiting
	e.waiting = nil
	for _, j := range slices.Concat(waiting, e.running) {
		e.end(j, why)
	}
	e.note()
}

func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func without(list []*job, j *job) []*job {
	return slices.DeleteFunc(list, func(k *job) bool { return k == j })
}

// turn produces the tokens of an attempt while it holds a slot. Each token is due a fixed time after the last one was
// due, not after it was ready, so that late timers of a busy machine do not add up. What is later than a whole token, as
// after a pause, is not made up for.
func (e *Engine) turn(ctx context.Context, j *job, wait time.Duration) {
	due := time.Now()
	for {
		due = due.Add(wait)
		if timer.Wait(ctx, time.Until(due)) != nil || e.control.hold(ctx) != nil {
			return
		}
		if t := time.Now(); t.Sub(due) > wait {
			due = t
		}
		e.mu.Lock()
		if ctx.Err() != nil {
			e.mu.Unlock()
			return
		}
		r := &e.record.Runs[j.run]
		if j.produced == 0 {
			r.First = now()
			e.cache.add(j.prefixes)
		}
		j.produced++
		r.Tokens = j.produced
		wait = e.tokenTime()
		j.wake()
		if j.produced == len(j.words) {
			e.end(j, EndDone)
		}
		e.mu.Unlock()
	}
}

// Requests.

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c engine.ChatRequest
	if !decode(w, r, &c) {
		return
	}
	j := &job{id: r.Header.Get(engine.HeaderAttempt), words: strings.Fields(Answer(c)), prefixes: engine.Prefixes(c), run: -1, changed: make(chan struct{}), stop: func() {}, stopLinger: func() {}, stopDeadline: func() {}}
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	generation, _ := strconv.ParseUint(r.Header.Get(engine.HeaderGeneration), 10, 64)
	var left time.Duration
	if text := r.Header.Get(engine.HeaderDeadline); text != "" {
		due, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if left = time.Until(due); left <= 0 {
			reply(w, http.StatusServiceUnavailable, engine.RefusedError{Reason: EndDeadline})
			return
		}
	}
	e.mu.Lock()
	if !e.present || e.closed || e.state.Group != r.Header.Get(engine.HeaderGroup) || e.state.Generation != generation {
		e.mu.Unlock()
		reply(w, http.StatusConflict, engine.RefusedError{Reason: "generation"})
		return
	}
	j.seq = e.seq
	e.seq++
	e.waiting = append(e.waiting, j)
	e.schedule()
	// When too many wait, the least urgent of those that have not started gives way, so that less urgent work in the
	// queue cannot turn away more urgent work.
	var fresh []*job
	for _, k := range e.waiting {
		if k.run < 0 {
			fresh = append(fresh, k)
		}
	}
	if len(fresh) > e.spec.Queue {
		last := slices.MaxFunc(fresh, compare)
		if last == j {
			e.waiting = without(e.waiting, j)
			e.note()
			e.mu.Unlock()
			reply(w, http.StatusServiceUnavailable, engine.RefusedError{Reason: endBusy})
			return
		}
		e.end(last, endBusy)
	}
	e.jobs[j.id] = j
	if left > 0 {
		j.stopDeadline = timer.AfterFunc(left, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(j, EndDeadline)
		})
	}
	j.watchers++
	e.mu.Unlock()
	e.stream(w, r, j, 0)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	j := e.jobs[r.URL.Query().Get("attempt")]
	why := ""
	switch {
	case j == nil:
		why = "attempt"
	case j.ended != "" && j.ended != EndDone:
		why = j.ended
	}
	if why != "" {
		e.mu.Unlock()
		reply(w, http.StatusNotFound, engine.RefusedError{Reason: why})
		return
	}
	if err != nil || from < 0 || from > len(j.words) {
		e.mu.Unlock()
		http.Error(w, "from is outside the answer", http.StatusBadRequest)
		return
	}
	j.stopLinger()
	j.watchers++
	e.mu.Unlock()
	e.stream(w, r, j, from)
}

// stream sends the tokens of an attempt from one on. An attempt that has not started gets its headers only when it
// starts, so that it can still be refused.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, next int) {
	defer e.leave(j)
	open := false
	for {
		e.mu.Lock()
		run, produced, ended, changed := j.run, j.produced, j.ended, j.changed
		e.mu.Unlock()
		if e.control.hold(r.Context()) != nil {
			return
		}
		switch {
		case run >= 0 && !open:
			w.Header().Set(engine.HeaderAttempt, j.id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			open = true
		case run < 0 && ended == EndLost:
			reply(w, http.StatusConflict, engine.RefusedError{Reason: "generation"})
			return
		case run < 0 && ended == EndKilled:
			panic(http.ErrAbortHandler)
		case run < 0 && ended != "":
			reply(w, http.StatusServiceUnavailable, engine.RefusedError{Reason: ended})
			return
		}
		if next < produced {
			for ; next < produced; next++ {
				b, _ := json.Marshal(engine.Chunk{ID: j.id, Index: next, Text: j.words[next] + " ", Done: next == len(j.words)-1})
				if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
					return
				}
			}
			_ = http.NewResponseController(w).Flush()
		}
		if ended == EndDone {
			return
		}
		if ended != "" {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// leave ends the part of one connection in an attempt. Without any, the attempt is cancelled after the linger time, or
// at once if it has not started.
func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.watchers--
	if j.watchers > 0 || j.ended != "" {
		return
	}
	if j.run < 0 {
		e.end(j, EndCancelled)
		return
	}
	j.stopLinger = timer.AfterFunc(e.spec.Linger, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if j.watchers == 0 {
			e.end(j, EndCancelled)
		}
	})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Attempt string `json:"attempt"`
	}
	if !decode(w, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.jobs[c.Attempt]
	if j == nil {
		reply(w, http.StatusNotFound, engine.RefusedError{Reason: "attempt"})
		return
	}
	e.end(j, EndCancelled)
	reply(w, http.StatusOK, struct{}{})
}

// Answer is the text that every stand-in engine gives for a chat; it depends only on the request, so that a check can
// tell whether a caller got the whole answer to its own request.
func Answer(c engine.ChatRequest) string {
	n := c.MaxTokens
	if n <= 0 {
		n = 16
	}
	prompt := ""
	if len(c.Messages) > 0 {
		prompt = c.Messages[len(c.Messages)-1].Content
	}
	words := make([]string, n)
	for i := range words {
		words[i] = "w" + strconv.Itoa(i)
	}
	if f := strings.Fields(prompt); len(f) > 0 {
		words[0] = f[len(f)-1]
	}
	return strings.Join(words, " ")
}

// Orders and the group.

func (e *Engine) obey(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.Fencing && o.Fence < e.state.Fence {
		reply(w, http.StatusConflict, engine.FencedError{Fence: e.state.Fence})
		return
	}
	s := &e.state
	if o.Op != engine.OpLoad && o.Op != engine.OpUnload && (o.Group != s.Group || o.Generation != s.Generation) {
		reply(w, http.StatusConflict, engine.RefusedError{Reason: "generation"})
		return
	}
	s.Fence = o.Fence
	switch o.Op {
	case engine.OpLoad:
		next := engine.State{Instance: e.spec.ID, Group: o.Group, Generation: o.Generation, Fence: o.Fence, Index: o.Index, Model: o.Model, Version: o.Version, Role: o.Role, Adapter: o.Adapter}
		last := *s
		last.Loaded = false
		// A repeat of the order in force, as after a lost answer, changes nothing.
		if last == next && slices.Equal(e.members, o.Members) {
			break
		}
		// Weights that are in memory are not read again.
		kept := s.Loaded && s.Model == o.Model && s.Version == o.Version
		e.assign(next, o.Members, kept)
	case engine.OpUnload:
		e.assign(engine.State{Instance: e.spec.ID, Fence: o.Fence}, nil, false)
	case engine.OpVersion:
		next := *s
		next.Version, next.Loaded = o.Version, false
		if next.Version != s.Version {
			e.assign(next, e.members, false)
		}
	case engine.OpRole:
		s.Role = o.Role
	case engine.OpAdapter:
		s.Adapter = o.Adapter
	default:
		http.Error(w, "unknown operation", http.StatusBadRequest)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// assign makes the engine a member of a group. It is called with the lock held.
func (e *Engine) assign(s engine.State, members []netip.AddrPort, kept bool) {
	e.stopLoad()
	e.closeSpan()
	e.state, e.members = s, members
	e.order++
	e.lose(EndLost)
	if !kept {
		e.cache.clear()
	}
	if s.Group == "" {
		return
	}
	order := e.order
	ctx, stop := context.WithCancel(e.ctx)
	e.stopLoad = stop
	e.spawn(func() error {
		defer stop()
		if !kept {
			e.fetch(ctx, s.Model, s.Version)
		}
		if e.control.hold(ctx) != nil {
			return nil
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.order == order && ctx.Err() == nil {
			e.state.Loaded = true
			e.span = len(e.record.Spans)
			e.record.Spans = append(e.record.Spans, Span{Instance: e.spec.ID, Group: s.Group, Generation: s.Generation, Index: s.Index, Start: now()})
			e.present = s.Index == 0 && len(members) <= 1
			e.note()
		}
		return nil
	})
}

func (e *Engine) closeSpan() {
	if e.span >= 0 {
		e.record.Spans[e.span].End = now()
		e.span = -1
	}
}

// fetch reads the weights of a model, for as long as it takes.
func (e *Engine) fetch(ctx context.Context, model, version string) {
	if !e.spec.Platform.IsValid() {
		_ = timer.Wait(ctx, e.spec.Load)
		return
	}
	target := "http://" + e.spec.Platform.String() + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return
		}
		resp, err := e.http.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		_ = timer.Wait(ctx, weightRetry)
	}
}

// kill ends everything that runs and forgets everything, as the death of the process does.
func (e *Engine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLoad()
	e.closeSpan()
	e.state, e.members = engine.State{Instance: e.spec.ID}, nil
	e.order++
	e.lose(EndKilled)
	e.jobs, e.ended = map[string]*job{}, nil
	e.cache = cache{size: e.spec.Cache, entries: map[uint64]*entry{}}
}

// watch checks the members of the group while the engine is its member 0. It checks more often while one is missing,
// so that a complete group serves soon.
func (e *Engine) watch() error {
	for {
		e.mu.Lock()
		s, members, order, present := e.state, e.members, e.order, e.present
		e.mu.Unlock()
		wait := e.spec.Watch
		if s.Loaded && !present {
			wait /= 5
		}
		if timer.Wait(e.ctx, wait) != nil || e.control.hold(e.ctx) != nil {
			return nil
		}
		if s.Index != 0 || !s.Loaded || len(members) <= 1 {
			continue
		}
		var g errgroup.Group
		for i, a := range members[1:] {
			g.Go(func() error {
				ctx, stop := context.WithTimeout(e.ctx, 5*e.spec.Watch)
				defer stop()
				m, err := e.client.State(ctx, a)
				if err == nil && (!m.Loaded || m.Group != s.Group || m.Generation != s.Generation || m.Index != i+1) {
					err = &engine.RefusedError{Status: http.StatusConflict, Reason: "generation"}
				}
				return err
			})
		}
		err := g.Wait()
		e.mu.Lock()
		switch {
		case e.order != order:
		case err != nil && e.present:
			e.lose(EndLost)
		case err == nil && !e.present:
			e.present = true
			e.note()
		}
		e.mu.Unlock()
	}
}

// Reports.

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.state)
}

func (e *Engine) lag() time.Duration {
	return e.spec.Lag + time.Duration(e.control.Faults().Lag)*time.Millisecond
}

// note keeps the present load for later reports. It is called with the lock held after each change.
func (e *Engine) note() {
	s := e.state
	l := engine.Load{Group: s.Group, Generation: s.Generation, Present: e.present, Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots, TokenMillis: float64(e.tokenTime()) / float64(time.Millisecond), At: time.Now()}
	e.reports = append(e.reports, l)
	if len(e.reports) > keptReports {
		e.reports = slices.Clone(e.reports[keptReports/2:])
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	lag := e.lag()
	at := time.Now().Add(-lag)
	e.mu.Lock()
	defer e.mu.Unlock()
	// A change of the straggle factor is no event of its own, so the present load is noted here too.
	e.note()
	out := engine.Load{Slots: e.spec.Slots}
	for _, l := range slices.Backward(e.reports) {
		if !l.At.After(at) {
			out = l
			break
		}
	}
	out.At = at
	reply(w, http.StatusOK, out)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	at := time.Now().Add(-e.lag())
	e.mu.Lock()
	defer e.mu.Unlock()
	// The numbers start again at 1 when the engine was killed. A client that is ahead gets lower numbers than it asked
	// for, which tells it that its view is void.
	if since > e.cache.seq+1 {
		since = 1
	}
	out := engine.CacheEvents{Next: since, Events: []engine.CacheEvent{}}
	for _, v := range e.cache.events {
		if v.at.After(at) {
			break
		}
		if v.Seq < since {
			continue
		}
		out.Next = v.Seq + 1
		if e.spec.Gap == 0 || v.Seq%e.spec.Gap != 0 {
			out.Events = append(out.Events, v.CacheEvent)
		}
	}
	reply(w, http.StatusOK, out)
}

// kv is the blob of an exported prefix: the hashes of its own prefixes and itself, shortest first.
type kv struct {
	Prefixes []uint64 `json:"prefixes"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var k engine.ExportRequest
	if !decode(w, r, &k) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if chain := e.cache.chain(k.Prefix); chain != nil {
		reply(w, http.StatusOK, kv{Prefixes: chain})
		return
	}
	reply(w, http.StatusNotFound, engine.RefusedError{Reason: "prefix"})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var k kv
	if !decode(w, r, &k) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(k.Prefixes)
	reply(w, http.StatusOK, struct{}{})
}

// cache is the prefix cache: prefixes in limited memory, of which the least recently used are dropped. The engine's
// lock guards it.
type cache struct {
	size    int
	entries map[uint64]*entry
	// used counts uses, as the clock of the entries.
	used   uint64
	seq    uint64
	events []cacheEvent
}

type entry struct {
	// shorter is the prefix that is one block shorter, 0 for the shortest.
	shorter, used uint64
}

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

// hit returns how many of the prefixes are cached without a gap from the shortest on.
func (c *cache) hit(prefixes []uint64) int {
	for i, p := range prefixes {
		if c.entries[p] == nil {
			return i
		}
	}
	return len(prefixes)
}

func (c *cache) add(prefixes []uint64) {
	if len(prefixes) > c.size {
		prefixes = prefixes[:c.size]
	}
	// The shortest is used last, so that a prefix is never dropped before the longer ones that need it.
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		c.used++
		if have := c.entries[p]; have != nil {
			have.used = c.used
			continue
		}
		n := &entry{used: c.used}
		if i > 0 {
			n.shorter = prefixes[i-1]
		}
		c.entries[p] = n
		c.event(engine.CacheAdd, p)
	}
	for len(c.entries) > c.size {
		var old uint64
		least := ^uint64(0)
		for p, n := range c.entries {
			if n.used < least {
				old, least = p, n.used
			}
		}
		delete(c.entries, old)
		c.event(engine.CacheDrop, old)
	}
}

func (c *cache) clear() {
	for p := range c.entries {
		c.event(engine.CacheDrop, p)
	}
	clear(c.entries)
}

func (c *cache) event(op engine.CacheOp, p uint64) {
	c.seq++
	c.events = append(c.events, cacheEvent{CacheEvent: engine.CacheEvent{Seq: c.seq, Op: op, Prefix: p}, at: time.Now()})
	if len(c.events) > keptReports {
		c.events = slices.Clone(c.events[keptReports/2:])
	}
}

// chain returns the cached prefixes that lead to p, shortest first, or nil when one of them is missing.
func (c *cache) chain(p uint64) []uint64 {
	var out []uint64
	for p != 0 {
		n := c.entries[p]
		if n == nil {
			return nil
		}
		out = append(out, p)
		p = n.shorter
	}
	slices.Reverse(out)
	return out
}
