package fakeplatform

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

const (
	// probePeriod is how often the head of a group looks for its members, and probeLosses how many failures in a row make
	// one lost.
	probePeriod = 100 * time.Millisecond
	probeLosses = 3
	// longestDrain is how long a member that drains waits for the head of its group to finish.
	longestDrain = 10 * time.Second
)

// Kind is what an Event tells of.
type Kind string

// Kinds of events.
const (
	// Run and Done are a request's begin and good end. Abandoned means that the daemon left before that.
	Run       Kind = "run"
	Done      Kind = "done"
	Abandoned Kind = "abandoned"
	// Joining, Ready, Opened, Closed, Broken and Left are changes of a membership.
	Joining Kind = "joining"
	Ready   Kind = "ready"
	Opened  Kind = "opened"
	Closed  Kind = "closed"
	Broken  Kind = "broken"
	Left    Kind = "left"
	// Drains means that the store has acknowledged that the server drains, or that its entry is removed.
	Drains Kind = "drains"
	// Refused is a request that arrived and was rejected with 503.
	Refused Kind = "refused"
	// Spoiled is a request that got a broken answer and was not run.
	Spoiled Kind = "spoiled"
	// Cold means that the store has acknowledged an entry by which the server is cold.
	Cold Kind = "cold"
)

// Event is what a backend server did, for those who check the promises of the whole system.
type Event struct {
	At     time.Time `json:"at"`
	Server string    `json:"server"`
	Kind   Kind      `json:"kind"`
	// DataCentre is that of the server.
	DataCentre string `json:"dataCentre,omitempty"`
	// ID, Method, URI, Organisation and Sum are of a request; Sum is that of its body, After the event that it goes on from.
	ID           string `json:"id,omitempty"`
	Method       string `json:"method,omitempty"`
	URI          string `json:"uri,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Sum          uint32 `json:"sum,omitempty"`
	After        int    `json:"after,omitempty"`
	// Keyed is set when a caller's key came with the request.
	Keyed bool `json:"keyed,omitempty"`
	// Group, Epoch, Size and Members are of the membership.
	Group   string   `json:"group,omitempty"`
	Epoch   int64    `json:"epoch,omitempty"`
	Members []string `json:"members,omitempty"`
	// From and Until are those of a cold time. Daemons must know of it at From.
	From  time.Time `json:"from,omitzero"`
	Until time.Time `json:"until,omitzero"`
}

// Options describes one backend server.
type Options struct {
	ID, Service, DataCentre, Domain string
	// Listen is where it listens, Addr what its entry tells.
	Listen, Addr netip.AddrPort
	// Store is the store's address for the platform's own parts.
	Store netip.AddrPort
	Slots int
	// Beat is how often the entry is renewed.
	Beat time.Duration
	// Drain is how long it serves after it has told that it drains, or, with Linger, after the store has acknowledged that. Linger
	// is how long it serves on, so that later requests are seen.
	Drain, Linger time.Duration
	// Unannounced is set if backend servers leave by the removal of their entries, without telling that they drain.
	Unannounced bool
	// Models is empty for a plain service.
	Models []route.Model
	// Form is how long a head takes to open, Stall how long one that lost a member takes to find the group broken.
	Form, Stall time.Duration
	// Work is the time of a plain request, and between two events of a stream.
	Work time.Duration
	// Cold is how long the server is cold after it starts, and after a signal on MakeCold. It crashes if more than ColdCrash requests
	// arrive in a second of that time; 0 for never.
	Cold      time.Duration
	MakeCold  <-chan os.Signal
	ColdCrash int
	// Broken is one request in that many that gets a broken answer; 0 for none.
	Broken int
	// Told is called with every event, one at a time.
	Told func(Event)
}

// Server is a backend server.
type Server struct {
	o     Options
	store *platform.Store
	peers *platform.ServerClient
	// known holds the entries of other backend servers that answered, by id.
	known sync.Map

	mu    sync.Mutex
	born  int64
	state roster.State
	beats int64
	// orders counts those that began, fence is the highest token seen and epoch the highest of a join.
	orders, fence, epoch int64
	staged               string
	busy                 bool
	// group is nil without a membership; a new one is another value.
	group   *roster.Membership
	members []string
	model   string
	running int
	// lost is since when a member is missing.
	lost time.Time
	// gone is closed when the requests of the present membership end.
	gone chan struct{}
	// renew asks for the entry to be written at once.
	renew chan struct{}
	// drains is closed when the store has acknowledged that the server drains, or that its entry is removed.
	drains chan struct{}
	// coldUntil is the end of the last cold time, coldFrom when daemons must know of it; zero until the store has acknowledged it.
	coldFrom, coldUntil time.Time
	// arrivals holds when requests came in the last second that must have been sent with the cold rate in mind.
	arrivals []time.Time
	crashed  chan struct{}
}

// ColdNotice is how long daemons may take to learn that a running server has become cold: they read entries every 0.4 to 0.9 s.
const ColdNotice = time.Second

// ColdCrashError reports that a cold server got more requests than it can bear.
type ColdCrashError struct{ Requests int }

func (e *ColdCrashError) Error() string {
	return fmt.Sprintf("cold server got %d requests in a second", e.Requests)
}

// Serve runs a backend server until ctx ends; it then drains, leaves the list and returns.
func Serve(ctx context.Context, o Options) error {
	store, closeStore := platform.NewStore(o.Store)
	defer closeStore()
	peers, closePeers := platform.NewServerClient(platform.Dialer().DialContext)
	defer closePeers()
	s := &Server{
		o: o, store: store, peers: peers, born: time.Now().UnixMilli(), gone: make(chan struct{}), renew: make(chan struct{}, 1),
		drains: make(chan struct{}), crashed: make(chan struct{}), coldUntil: time.Now().Add(o.Cold),
	}
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: o.Drain + longestDrain}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error { return s.keepEntry(running) })
	g.Go(func() error { return s.watchMembers(running) })
	g.Go(func() error { return s.watchCold(running) })
	g.Go(func() error {
		defer stop()
		select {
		case <-running.Done():
		case <-ctx.Done():
			s.drain(running)
		}
		return srv.Close()
	})
	return g.Wait()
}

// watchCold makes the server cold when it is told to, and ends it when it crashes.
func (s *Server) watchCold(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.crashed:
			return &ColdCrashError{s.o.ColdCrash + 1}
		case <-s.o.MakeCold:
			now := time.Now()
			s.mu.Lock()
			if !s.coldUntil.After(now) {
				s.coldFrom = time.Time{}
			}
			s.coldUntil = now.Add(s.o.Cold)
			s.mu.Unlock()
			s.changed()
		}
	}
}

// tellCold records that the store has acknowledged a cold time that ends at until. s.mu is held.
func (s *Server) tellCold(until time.Time, first bool) {
	if s.coldFrom.IsZero() {
		if s.coldFrom = time.Now(); !first {
			s.coldFrom = s.coldFrom.Add(ColdNotice)
		}
	}
	s.tell(Event{Kind: Cold, From: s.coldFrom, Until: until})
}

// arrive counts a request while the server is cold. s.mu is held.
func (s *Server) arrive(now time.Time) {
	if s.o.ColdCrash == 0 || s.coldFrom.IsZero() || now.Before(s.coldFrom) || !now.Before(s.coldUntil) {
		return
	}
	s.arrivals = append(slices.DeleteFunc(s.arrivals, now.Add(-time.Second).After), now)
	if len(s.arrivals) == s.o.ColdCrash+1 {
		close(s.crashed)
	}
}

// drain has the store learn that the server leaves, serves on, and drops its entry.
func (s *Server) drain(ctx context.Context) {
	s.mu.Lock()
	s.state = roster.Draining
	s.mu.Unlock()
	s.changed()
	if s.o.Linger > 0 {
		acknowledged, cancel := context.WithTimeout(ctx, longestDrain)
		defer cancel()
		select {
		case <-s.drains:
		case <-acknowledged.Done():
		}
	}
	_ = timer.Wait(ctx, s.o.Drain+s.o.Linger) // an early end only shortens the drain
	for end := time.Now().Add(longestDrain); time.Now().Before(end) && s.needed(ctx); {
		if timer.Wait(ctx, probePeriod) != nil {
			break
		}
	}
	tx := platform.Tx{Remove: []platform.Row{{Table: platform.TableServers, Key: s.o.ID}}}
	if _, err := s.store.Commit(ctx, tx); err != nil {
		return // the entry lapses
	}
}

// needed tells whether requests run here, or at the head of the group that this server is a member of.
func (s *Server) needed(ctx context.Context) bool {
	s.mu.Lock()
	running, group, members := s.running, s.group, slices.Clone(s.members)
	s.mu.Unlock()
	if running > 0 || group == nil || group.Rank == 0 {
		return running > 0
	}
	ctx, cancel := context.WithTimeout(ctx, probePeriod)
	defer cancel()
	head, err := s.report(ctx, members[0])
	return err == nil && head.Membership.Group == group.Group && head.Membership.Epoch == group.Epoch && head.Running > 0
}

// report asks another backend server for its state. It looks its entry up only if it does not know one that answers: many heads that read all
// entries each time would keep the store from its work.
func (s *Server) report(ctx context.Context, id string) (platform.Report, error) {
	if known, ok := s.known.Load(id); ok {
		r, err := s.peers.Report(ctx, known.(*roster.Server))
		if err != nil {
			s.known.Delete(id)
		}
		return r, err
	}
	page, err := s.store.Rows(ctx, platform.TableServers)
	if err != nil {
		return platform.Report{}, err
	}
	i := slices.IndexFunc(page.Rows, func(r platform.Row) bool { return r.Key == id })
	if i < 0 {
		return platform.Report{}, &platform.EntryError{ID: id, Reason: "not listed"}
	}
	entry, err := platform.DecodeServer(id, page.Rows[i].Value)
	if err != nil {
		return platform.Report{}, err
	}
	r, err := s.peers.Report(ctx, entry)
	if err == nil {
		s.known.Store(id, entry)
	}
	return r, err
}

func (s *Server) changed() {
	select {
	case s.renew <- struct{}{}:
	default:
	}
}

// keepEntry renews the entry in the store.
func (s *Server) keepEntry(ctx context.Context) error {
	tick, stop := timer.Every(s.o.Beat, 0)
	defer stop()
	var toldCold time.Time
	for told := false; ; {
		s.mu.Lock()
		s.beats++
		cold := s.coldUntil
		draining := s.state == roster.Draining
		text, err := platform.EncodeServer(s.self())
		s.mu.Unlock()
		if err != nil {
			return fmt.Errorf("encode entry: %w", err)
		}
		entry := []platform.Row{{Table: platform.TableServers, Key: s.o.ID, Value: text}}
		tx := platform.Tx{Write: entry}
		if draining && s.o.Unannounced {
			tx = platform.Tx{Remove: entry}
		}
		// A write that fails is made up for by the next.
		_, err = s.store.Commit(ctx, tx)
		if err == nil && cold.After(toldCold) && s.o.Cold > 0 {
			s.mu.Lock()
			s.tellCold(cold, toldCold.IsZero())
			s.mu.Unlock()
			toldCold = cold
		}
		if err == nil && draining && !told {
			s.mu.Lock()
			s.tell(Event{Kind: Drains})
			s.mu.Unlock()
			close(s.drains)
			told = true
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-s.renew:
		}
	}
}

// self is the server as its entry tells it. s.mu is held.
func (s *Server) self() *roster.Server {
	out := &roster.Server{
		ID: s.o.ID, Service: s.o.Service, Addr: s.o.Addr, DataCentre: s.o.DataCentre, Domain: s.o.Domain, Slots: s.o.Slots, State: s.state,
		Born: s.born, Beat: s.beats, Cold: max(time.Until(s.coldUntil), 0),
	}
	if s.staged != "" {
		out.Staged = []string{s.staged}
	}
	if s.group != nil {
		out.Model, out.Membership = s.model, *s.group
	}
	return out
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := platform.ParseForwarding(r.Header)
	switch {
	case f.Target != "" && f.Target != s.o.ID:
		w.WriteHeader(platform.Misdirected.Status())
	case platform.IsReportRequest(r):
		s.mu.Lock()
		self := s.self()
		text, err := platform.EncodeReport(self, platform.Report{Busy: s.busy, Orders: s.orders, Running: s.running, Pace: 1})
		s.mu.Unlock()
		if self.Cold > 0 {
			platform.SetColdHeader(w.Header(), self.Cold)
		}
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // a daemon that has left does not read it
	case platform.IsOrderRequest(r):
		s.order(w, r)
	default:
		s.work(w, r, f)
	}
}

// order carries out an order of a daemon.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon has left
	}
	o, err := platform.DecodeOrder(text)
	if err != nil {
		w.WriteHeader(platform.Invalid.Status())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.WriteHeader(s.obey(o).Status())
}

// obey carries out an order. s.mu is held.
func (s *Server) obey(o platform.Order) platform.OrderOutcome {
	same := s.group != nil && s.group.Group == o.Group && s.group.Epoch == o.Epoch
	switch {
	case o.FencingToken < s.fence:
		return platform.Fenced
	case o.ExpectedOrders >= 0 && o.ExpectedOrders != s.orders:
		return platform.StateConflict
	}
	switch o.Operation {
	case platform.Join:
		rank := slices.Index(o.Members, s.o.ID)
		switch {
		case o.Epoch < s.epoch || same && !slices.Equal(o.Members, s.members):
			return platform.Fenced
		case same:
			return platform.AlreadyApplied
		case rank < 0 || s.find(o.Model) == nil:
			return platform.Invalid
		}
		s.end("")
		s.epoch, s.members, s.model = o.Epoch, o.Members, o.Model
		s.group = &roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.Joining}
		s.tell(Event{Kind: Joining})
		m, group := s.find(o.Model), s.group
		wait := m.Warm
		if s.staged != o.Model {
			wait = m.Load
		}
		s.later(wait, func() {
			s.staged = o.Model
			if s.group == group {
				group.State = roster.Joined
				s.tell(Event{Kind: Ready})
			}
		})
	case platform.OpenHead:
		switch {
		case !same || s.group.Rank != 0 || s.group.State != roster.Joined && s.group.State != roster.Open:
			return platform.StateConflict
		case s.group.State == roster.Open:
			return platform.AlreadyApplied
		}
		group := s.group
		s.later(s.o.Form, func() {
			if s.group == group && group.State == roster.Joined {
				group.State = roster.Open
				s.lost = time.Time{}
				s.tell(Event{Kind: Opened})
			}
		})
	case platform.CloseHead:
		if !same || s.group.State != roster.Open {
			return platform.StateConflict
		}
		s.group.State = roster.Closing
	case platform.Leave:
		if !same {
			return platform.AlreadyApplied
		}
		s.end(Left)
		s.group, s.members = nil, nil
	case platform.Stage:
		m := s.find(o.Model)
		switch {
		case m == nil:
			return platform.Invalid
		case s.staged == o.Model:
			return platform.AlreadyApplied
		case s.busy:
			return platform.StateConflict
		}
		s.busy = true
		s.later(m.Load, func() { s.staged, s.busy = o.Model, false })
	default:
		return platform.Invalid
	}
	s.fence = max(s.fence, o.FencingToken)
	s.orders++
	s.changed()
	return platform.Accepted
}

// later does something after a time, with s.mu held, and renews the entry.
func (s *Server) later(wait time.Duration, do func()) {
	timer.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		do()
		s.changed()
	})
}

// end stops the requests of the present membership. s.mu is held.
func (s *Server) end(kind Kind) {
	if s.group != nil && kind != "" {
		s.tell(Event{Kind: kind})
	}
	close(s.gone)
	s.gone = make(chan struct{})
}

func (s *Server) find(model string) *route.Model {
	for i := range s.o.Models {
		if s.o.Models[i].Name == model {
			return &s.o.Models[i]
		}
	}
	return nil
}

// tell passes on an event. s.mu is held.
func (s *Server) tell(e Event) {
	e.At, e.Server, e.DataCentre = time.Now(), s.o.ID, s.o.DataCentre
	if s.group != nil {
		e.Group, e.Epoch, e.Members = s.group.Group, s.group.Epoch, s.members
	}
	s.o.Told(e)
}

// watchMembers finds, as the head of a group, members that are gone or elsewhere; nothing moves then, and the group is
// broken after the stall.
func (s *Server) watchMembers(ctx context.Context) error {
	tick, stop := timer.Every(probePeriod, 0)
	defer stop()
	misses := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
		s.mu.Lock()
		var group *roster.Membership
		if s.group != nil && s.group.Rank == 0 && (s.group.State == roster.Open || s.group.State == roster.Closing) {
			group = s.group
		}
		members := slices.Clone(s.members)
		s.mu.Unlock()
		if group == nil {
			misses = 0
			if s.o.Unannounced && len(members) > 0 {
				s.learnHead(ctx, members[0])
			}
			continue
		}
		if s.whole(ctx, group, members) {
			misses = 0
		} else {
			misses++
		}
		s.mu.Lock()
		switch {
		case s.group != group:
		case misses == 0 && !s.lost.IsZero() && time.Since(s.lost) < s.o.Stall:
			s.lost = time.Time{} // a member that was silent goes on
		case misses >= probeLosses && s.lost.IsZero():
			s.lost = time.Now()
		case !s.lost.IsZero() && time.Since(s.lost) >= s.o.Stall:
			group.State = roster.Broken
			s.end(Broken)
			s.changed()
		case group.State == roster.Closing && s.running == 0:
			group.State = roster.Joined
			s.tell(Event{Kind: Closed})
			s.changed()
		}
		s.mu.Unlock()
	}
}

// learnHead notes the address of the head, whose entry may be gone when this server leaves.
func (s *Server) learnHead(ctx context.Context, id string) {
	if _, ok := s.known.Load(id); ok || id == s.o.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probePeriod)
	defer cancel()
	_, _ = s.report(ctx, id) // asked again if it fails
}

// whole tells whether all members are in the group.
func (s *Server) whole(ctx context.Context, group *roster.Membership, members []string) bool {
	if len(members) < 2 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probePeriod)
	defer cancel()
	for _, id := range members[1:] {
		r, err := s.report(ctx, id)
		var unknown *platform.UnknownOutcomeError
		if errors.As(err, &unknown) {
			continue // the store's trouble is not the members'
		}
		if err != nil || r.Membership.Group != group.Group || r.Membership.Epoch != group.Epoch {
			return false
		}
	}
	return true
}

// work runs a caller's request.
func (s *Server) work(w http.ResponseWriter, r *http.Request, f platform.Forwarding) {
	call := platform.ParseRequestInfo(r.Header)
	id := call.ID
	after, err := strconv.Atoi(f.LastEvent)
	if err != nil {
		after = 0 // a new stream
	}
	if s.breaks(id) {
		s.breakAnswer(w, r, id, after)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon has left
	}
	s.mu.Lock()
	status := s.rejects()
	if status != http.StatusMisdirectedRequest {
		s.arrive(time.Now())
	}
	if status == http.StatusServiceUnavailable {
		s.tell(Event{Kind: Refused, ID: id})
	}
	if status != 0 {
		s.mu.Unlock()
		platform.SetResponseHeader(w.Header(), id, "", true)
		w.WriteHeader(status)
		return
	}
	s.running++
	gone := s.gone
	s.tell(Event{
		Kind: Run, ID: id, Method: r.Method, URI: r.RequestURI, Organisation: f.Organisation, Sum: Sum(body), After: after, Keyed: call.Key != "",
	})
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	platform.SetResponseHeader(w.Header(), id, s.o.ID+"."+id, false)
	done := false
	if s.streams(r) {
		done = s.stream(w, r, id, after, gone)
	} else {
		done = s.answer(w, r, id, body)
	}
	end := Event{Kind: Done, ID: id}
	if !done {
		defer panic(http.ErrAbortHandler)
		if end.Kind = Abandoned; r.Context().Err() == nil {
			return // by this server
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(end)
}

// rejects returns the status for a request that is not to run, 0 for one that may. s.mu is held.
func (s *Server) rejects() int {
	switch {
	case s.running >= s.o.Slots:
		return http.StatusServiceUnavailable
	case len(s.o.Models) == 0:
		return 0
	case s.group != nil && s.group.Rank > 0:
		return http.StatusMisdirectedRequest
	case s.group == nil || s.group.State != roster.Open:
		return http.StatusServiceUnavailable
	}
	return 0
}

// FeedPrefix begins the paths at which plain services answer with streams.
const FeedPrefix = "/feed"

// streams tells whether the answer to a request is a stream.
func (s *Server) streams(r *http.Request) bool {
	return len(s.o.Models) > 0 || strings.HasPrefix(r.URL.Path, FeedPrefix)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) bool {
	work := s.o.Work
	if strings.HasPrefix(id, SlowPrefix) {
		work *= time.Duration(Length(id)) // as long as a stream
	}
	if timer.Wait(r.Context(), work) != nil {
		return false
	}
	text := Text(id, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := io.WriteString(w, text)
	return err == nil
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, after int, gone <-chan struct{}) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := after + 1; n <= Length(id); n++ {
		for stalled := true; stalled; {
			select {
			case <-gone:
				return false
			default:
			}
			if timer.Wait(r.Context(), s.o.Work) != nil {
				return false
			}
			s.mu.Lock()
			stalled = !s.lost.IsZero()
			s.mu.Unlock()
		}
		if _, err := io.WriteString(w, EventText(id, n)); err != nil {
			return false
		}
		if err := flush.Flush(); err != nil {
			return false
		}
	}
	return true
}

// SlowPrefix begins the ids of requests that take seconds, slowness is how many times as long.
const (
	SlowPrefix = "slow-"
	slowness   = 6
)

// BigPrefix begins the ids of requests whose answers fill the buffers between a daemon and a caller that reads slowly. bigAnswer is
// the size of the answer to a plain request, bigEvent that of an event.
const (
	BigPrefix = "big-"
	bigAnswer = 512 << 10
	bigEvent  = 32 << 10
)

// padding fills answers to big requests up to a size.
func padding(id string, size int) string {
	if !strings.HasPrefix(id, BigPrefix) {
		return ""
	}
	return strings.Repeat(".", size)
}

// Sum is the checksum of a body.
func Sum(body []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(body) // never fails
	return h.Sum32()
}

// Text is the body of the answer to a plain request.
func Text(id string, body []byte) string {
	return fmt.Sprintf("%s%d%s\n", beginning(id), Sum(body), padding(id, bigAnswer))
}

// beginning is the part of a Text that does not depend on the body of the request.
func beginning(id string) string { return "answer to " + id + " of " }

// Length is the number of events of the answer to a stream.
func Length(id string) int {
	n := 3 + int(Sum([]byte(id))%20)
	if strings.HasPrefix(id, SlowPrefix) {
		n *= slowness
	}
	return n
}

// EventText is one event of the answer to a stream.
func EventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s%s\n\n", n, n, id, padding(id, bigEvent))
}
