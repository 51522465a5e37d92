package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/claim"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/metric"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// network joins clients and servers by net.Pipe, so that a whole session runs in a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	dials     int
	// refuse is how many of the next connections are refused.
	refuse int
	// open holds the connections that were opened to backend servers.
	open []*line
}

// line is a connection that can go silent without an error: what is sent is lost and nothing arrives.
type line struct {
	net.Conn
	silent, closed context.Context
	silence, end   context.CancelFunc
}

func (l *line) Read(b []byte) (n int, err error) {
	if l.silent.Err() == nil {
		n, err = l.Conn.Read(b)
	}
	if l.silent.Err() != nil {
		<-l.closed.Done()
		return 0, net.ErrClosed
	}
	return n, err
}

func (l *line) Write(b []byte) (int, error) {
	if l.silent.Err() != nil {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

func (l *line) Close() error {
	l.end()
	return l.Conn.Close()
}

// silence makes every second connection that is open to a backend server go silent, and returns how many did.
func (n *network) silence() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = slices.DeleteFunc(n.open, func(l *line) bool { return l.closed.Err() != nil })
	for i := 0; i < len(n.open); i += 2 {
		n.open[i].silence()
	}
	return (len(n.open) + 1) / 2
}

type listener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.dials++
	if n.refuse > 0 {
		n.refuse--
		l = nil
	}
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	if l == nil {
		return nil, refused
	}
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		if addr == self.String() {
			return a, nil
		}
		c := &line{Conn: a}
		c.silent, c.silence = context.WithCancel(context.Background())
		c.closed, c.end = context.WithCancel(context.Background())
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open = append(n.open, c)
		return c, nil
	case <-l.done:
		return nil, refused
	}
}

func (n *network) listen(addr string) *listener {
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// backend is a fake engine or plain service. Each call runs the next of its steps.
type backend struct {
	mu    sync.Mutex
	steps []http.HandlerFunc
	// calls lists what arrived, in order.
	calls []string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	if r.URL.Path == "/state" {
		b.mu.Unlock()
		_ = json.NewEncoder(w).Encode(engine.State{Group: "g", Generation: 1, Loaded: true})
		return
	}
	b.calls = append(b.calls, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", r.Method, r.URL, r.Header.Get(engine.HeaderAttempt), body)))
	if r.URL.Path == "/v1/cancel" {
		b.mu.Unlock()
		_, _ = io.WriteString(w, "{}")
		return
	}
	step := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }
	if len(b.steps) > 0 {
		step = b.steps[0]
		b.steps = b.steps[1:]
	}
	b.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	step(w, r)
}

func (b *backend) seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

// tokens streams tokens from a number on; the last one ends the answer when done is set. Then it runs the next step.
func tokens(from, to int, done bool, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(engine.HeaderAttempt)
		if id == "" {
			id = r.URL.Query().Get("attempt")
		}
		w.Header().Set(engine.HeaderAttempt, id)
		for i := from; i < to; i++ {
			if timer.Wait(r.Context(), 20*time.Millisecond) != nil {
				return
			}
			b, _ := json.Marshal(engine.Chunk{ID: id, Index: i, Text: fmt.Sprintf("w%d ", i), Done: done && i == to-1})
			_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
			_ = http.NewResponseController(w).Flush()
		}
		if then != nil {
			then(w, r)
		}
	}
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
func cut(http.ResponseWriter, *http.Request)        { panic(http.ErrAbortHandler) }

func refuse(status int, reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(engine.RefusedError{Reason: reason})
	}
}

// answered is a plain service's answer to a call.
func answered(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Date", "now")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// fleet is a server with two engines and two plain services behind it. It hands out slots of the first target of a
// service first, then of the second, and so on.
type fleet struct {
	t        *testing.T
	net      *network
	server   *Server
	log      *timeline.Log
	backends map[netip.AddrPort]*backend
	rows     map[string]platform.Row
	servers  map[netip.AddrPort]*http.Server
	engine   *engine.Client
	client   *http.Client
	group    errgroup.Group

	mu   sync.Mutex
	next int
	ops  int
	held int
	cfg  bool
	// asked and results are what passed through the slots, counted what was told to the metrics. refusal takes the place
	// of every slot when it is set.
	asked   []dispatch.Request
	results []dispatch.Result
	counted []metric.Request
	refusal *dispatch.Refusal
	// down is whether the table fails; fault, when it is set, says what happens to a transaction.
	down  bool
	fault func() fault
	out   bytes.Buffer
}

var (
	self    = netip.MustParseAddrPort("10.0.0.1:80")
	engines = []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:80"), netip.MustParseAddrPort("10.0.1.2:80")}
	ledgers = []netip.AddrPort{netip.MustParseAddrPort("10.0.2.1:80"), netip.MustParseAddrPort("10.0.2.2:80")}
)

func (f *fleet) Config() (note.Config, bool) {
	return note.Config{
		ModelServices: map[string]note.ModelService{"desk": {}, "other": {}},
		PlainServices: map[string]note.PlainService{"ledger": {Routes: []note.Route{{Method: "POST", Path: "/bookings"}, {Method: "GET", Path: "/bookings/*", Repeatable: true}}}},
		Organisations: map[string]note.Organisation{
			"uist": {Keys: []string{note.HashKey("secret-bearer")}, Services: []string{"desk", "ledger"}},
		},
		WorkKinds: map[string]note.WorkKind{
			"talk": {Service: "desk", Rank: note.RankLive, Deadline: 8 * time.Second},
			"hire": {Service: "ledger", Rank: note.RankBooking, Deadline: 10 * time.Second},
		},
	}, f.cfg
}

func (f *fleet) Addresses() ([]netip.AddrPort, time.Duration) {
	return []netip.AddrPort{engines[0], self}, 10 * time.Second
}

func (f *fleet) Acquire(_ context.Context, q dispatch.Request) (Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := engines
	if q.Service == "ledger" {
		list = ledgers
	}
	if f.refusal != nil {
		return Slot{}, f.refusal
	}
	f.asked = append(f.asked, q)
	for range list {
		i := f.next % len(list)
		f.next++
		group := fmt.Sprint("g", i+1)
		if slices.Contains(q.Avoid, dispatch.TargetID{Group: group, Generation: 1}) {
			continue
		}
		f.held++
		return Slot{Target: dispatch.Target{Service: q.Service, Group: group, Generation: 1, Addr: list[i], Instance: fmt.Sprint(q.Service, "-", i+1)}, Release: func(r dispatch.Result) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.held--
			f.results = append(f.results, r)
		}}, nil
	}
	return Slot{}, &dispatch.Refusal{Kind: admission.NoTarget, Reason: "each target failed the request", RetryAfter: time.Second}
}

func (f *fleet) Count(r metric.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counted = append(f.counted, r)
}

func (f *fleet) Commit(_ context.Context, t platform.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hit := fine
	if f.fault != nil {
		hit = f.fault()
	}
	if f.down || hit == unavailable {
		return 0, &platform.UnavailableError{Err: errors.New("down")}
	}
	for _, c := range t.Checks {
		if have := f.rows[c.Key].Version; have != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	v := uint64(len(f.rows) + 1)
	for _, w := range t.Writes {
		v = max(v, f.rows[w.Key].Version+1)
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: v, OperationID: t.OperationID, Value: w.Value}
	}
	if hit == lost {
		return 0, &platform.UnknownOutcomeError{Err: errors.New("no answer")}
	}
	return v, nil
}

// fault is what happens to a transaction.
type fault int

const (
	fine        fault = iota
	unavailable       // it fails without an effect
	lost              // it takes effect, but its answer is lost
)

func (f *fleet) Read(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault != nil && f.fault() == unavailable {
		return platform.Row{}, &platform.UnavailableError{Err: errors.New("down")}
	}
	r := f.rows[key]
	r.Key = key
	return r, nil
}

// run runs f in a bubble with a fleet.
func run(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: &network{listeners: map[string]*listener{}}, log: timeline.NewLog("d1", 1000), backends: map[netip.AddrPort]*backend{}, rows: map[string]platform.Row{}, servers: map[netip.AddrPort]*http.Server{}, cfg: true}
		ids := 0
		keeper := claim.NewWriter(f, func() string { f.mu.Lock(); defer f.mu.Unlock(); f.ops++; return fmt.Sprint("op", f.ops) })
		ctx, stop := context.WithCancel(t.Context())
		f.group.Go(func() error { return keeper.Run(ctx) })
		eng, closeEngine := engine.NewClientWithDialer(f.net.dial)
		f.server = New(Options{
			Config: f, Slots: f, Addresses: f, Engine: eng, Claims: keeper, Log: f.log, Metrics: f, Self: self, Dial: f.net.dial, Now: time.Now,
			IDs: func() string { f.mu.Lock(); defer f.mu.Unlock(); ids++; return fmt.Sprint("r", ids) },
		})
		f.engine = eng
		f.serve(self, f.server)
		for _, a := range slices.Concat(engines, ledgers) {
			f.backends[a] = &backend{}
			f.serve(a, f.backends[a])
		}
		tr := &http.Transport{DialContext: f.net.dial, DisableCompression: true}
		f.client = &http.Client{Transport: tr}
		test(t, f)
		synctest.Wait()
		if f.held != 0 {
			t.Errorf("%d slots were not returned", f.held)
		}
		tr.CloseIdleConnections()
		closeEngine()
		f.server.Close()
		for _, s := range f.servers {
			_ = s.Close()
		}
		stop()
		_ = timer.Wait(t.Context(), time.Second) // net/http lingers on some connections for half a second.
		if err := f.group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// serve puts a handler at an address, in place of the one before.
func (f *fleet) serve(a netip.AddrPort, h http.Handler) {
	if old := f.servers[a]; old != nil {
		_ = old.Close()
	}
	srv := &http.Server{Handler: h}
	f.servers[a] = srv
	l := f.net.listen(a.String())
	f.group.Go(func() error { _ = srv.Serve(l); return nil })
}

func (f *fleet) steps(a netip.AddrPort, steps ...http.HandlerFunc) {
	f.backends[a].steps = append(f.backends[a].steps, steps...)
}

// lose makes a backend server unreachable for new connections.
func (f *fleet) lose(a netip.AddrPort) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	delete(f.net.listeners, a.String())
}

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"desk","messages":[{"role":"user","content":"private words"}],"max_tokens":4,"stream":%v}`, stream)
}

// send sends a request and writes it and its answer to the session.
func (f *fleet) send(method, path, body string, header ...string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+self.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret-bearer")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	resp, err := f.client.Do(req)
	fmt.Fprintf(&f.out, "> %s %s %v\n", method, path, header)
	if err != nil {
		fmt.Fprintf(&f.out, "failed: %v\n\n", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	resp.Header.Del("Date")
	fmt.Fprintf(&f.out, "< %d after %v\n", resp.StatusCode, time.Since(start).Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(resp.Header)) {
		fmt.Fprintf(&f.out, "< %s: %s\n", k, strings.Join(resp.Header[k], "; "))
	}
	fmt.Fprintf(&f.out, "%s\n", b)
	if err != nil {
		fmt.Fprintf(&f.out, "body ended early: %v\n", err)
	}
	f.out.WriteString("\n")
	synctest.Wait()
}

// golden compares the session, what the backend servers saw and the timeline with a file. No secret of the caller may
// be in the timeline.
func (f *fleet) golden(name string) {
	f.t.Helper()
	synctest.Wait()
	for _, a := range slices.Concat(engines, ledgers) {
		for _, c := range f.backends[a].seen() {
			fmt.Fprintf(&f.out, "%s saw %s\n", a, c)
		}
	}
	f.out.WriteString("\n")
	events, _, _ := f.log.Since(0)
	for _, e := range events {
		e.At = timeline.Stamp{}
		b, _ := json.Marshal(e)
		_, b, _ = bytes.Cut(b, []byte(`"proc":"d1",`))
		for _, secret := range []string{"secret-bearer", "secret-key", "private words"} {
			if bytes.Contains(b, []byte(secret)) {
				f.t.Errorf("event %s holds %q", b, secret)
			}
		}
		fmt.Fprintf(&f.out, "{%s\n", b)
	}
	goldie.New(f.t).Assert(f.t, name, f.out.Bytes())
}
