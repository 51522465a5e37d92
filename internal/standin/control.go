package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// Faults are the faults in force at one stand-in, and the body of GET and POST /control/fault. A POST changes only the
// keys that it holds. The zero value is a stand-in without faults.
type Faults struct {
	// Down refuses every call with 503 before any effect.
	Down bool `json:"down"`
	// Slow delays every call, in milliseconds: half of it before the effect and half after, so that a client that
	// gives up meets both cases.
	Slow int `json:"slow_ms"`
	// Lose is the number of calls with an effect whose connections close, unanswered, after the effect. Below 0: all.
	Lose int `json:"lose"`
	// Refuse is the number of calls refused with 503 {"reason":"busy"} before any effect. Below 0: all.
	Refuse int `json:"refuse"`
	// Parts limits Down, Slow, Lose and Refuse to calls whose path starts with one of these names; empty: all calls.
	Parts []string `json:"parts"`
	// Pause freezes the stand-in: it accepts connections and does and answers nothing until Pause is false again.
	Pause bool `json:"pause"`
	// Straggle multiplies the time to the first token and between tokens, or of a plain call; 0 counts as 1.
	Straggle float64 `json:"straggle"`
	// Lag is added to the lag of load reports, cache events or the list of instances, in milliseconds.
	Lag int `json:"lag_ms"`
	// Kill closes all connections, refuses new ones and ends what runs; an engine loses its memory.
	Kill bool `json:"kill"`
	// Dark lets no byte through in either direction, as when a switch fails, while the stand-in itself works on.
	Dark bool `json:"dark"`
	// Leaving and Gone show the instance as leaving on, or take it off, the platform's list.
	Leaving bool `json:"leaving"`
	Gone    bool `json:"gone"`

	// Silent is the part (0 to 1) of the connections open now that never send another byte. It acts once and reads as 0.
	Silent float64 `json:"silent"`
	// Revive ends Kill. It acts once and reads as false.
	Revive bool `json:"revive"`
}

// Control holds the faults of one stand-in and applies them to its calls.
type Control struct {
	mu sync.Mutex
	f  Faults
	// released is closed when the pause ends; nil while there is none.
	released chan struct{}
	port     *Port

	// onKill and onList act on a change; they are set before the stand-in serves. effect tells which calls Lose and
	// Refuse count.
	onKill func()
	onList func(leaving, gone bool)
	effect func(r *http.Request) (lose, refuse bool)
}

// Attach makes the port through which the stand-in is served follow its faults.
func (c *Control) Attach(p *Port) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port = p
}

// Faults returns the faults in force.
func (c *Control) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.f
}

// Set replaces the faults in force.
func (c *Control) Set(f Faults) error {
	return c.change(func(old *Faults) error { *old = f; return nil })
}

// Patch changes the faults that the JSON object holds.
func (c *Control) Patch(body []byte) error {
	return c.change(func(f *Faults) error { return json.Unmarshal(body, f) })
}

func (c *Control) change(edit func(*Faults) error) error {
	c.mu.Lock()
	old, f := c.f, c.f
	if err := edit(&f); err != nil {
		c.mu.Unlock()
		return err
	}
	if f.Revive {
		f.Kill = false
	}
	silent := f.Silent
	f.Silent, f.Revive = 0, false
	c.f = f
	if f.Pause && c.released == nil {
		c.released = make(chan struct{})
	}
	if !f.Pause && c.released != nil {
		close(c.released)
		c.released = nil
	}
	port, onKill, onList := c.port, c.onKill, c.onList
	c.mu.Unlock()

	var err error
	if port != nil {
		port.silence(silent)
		port.darken(f.Dark)
		if f.Kill != old.Kill {
			if err = port.kill(f.Kill); err != nil {
				c.mu.Lock()
				c.f.Kill = old.Kill
				c.mu.Unlock()
			}
		}
	}
	if f.Kill && !old.Kill && onKill != nil {
		onKill()
	}
	if onList != nil && (f.Leaving != old.Leaving || f.Gone != old.Gone) {
		onList(f.Leaving, f.Gone)
	}
	return err
}

// straggle returns a time of work lengthened by the straggle factor.
func (c *Control) straggle(d time.Duration) time.Duration {
	if s := c.Faults().Straggle; s > 0 {
		return time.Duration(float64(d) * s)
	}
	return d
}

// hold blocks while the stand-in is paused.
func (c *Control) hold(ctx context.Context) error {
	for {
		c.mu.Lock()
		released := c.released
		c.mu.Unlock()
		if released == nil {
			return ctx.Err()
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take returns the faults that apply to a call and counts it against Lose and Refuse.
func (c *Control) take(r *http.Request) (f Faults, lose, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f = c.f
	if len(f.Parts) > 0 {
		match := false
		for _, p := range f.Parts {
			match = match || strings.HasPrefix(r.URL.Path, "/"+p)
		}
		if !match {
			f.Down, f.Slow = false, 0
			return f, false, false
		}
	}
	lose, refuse = c.effect(r)
	if f.Down {
		return f, false, false
	}
	if refuse = refuse && f.Refuse != 0; refuse {
		c.f.Refuse = max(c.f.Refuse-1, -1)
		return f, false, true
	}
	if lose = lose && f.Lose != 0; lose {
		c.f.Lose = max(c.f.Lose-1, -1)
	}
	return f, lose, false
}

// serve answers /control/fault and passes every other call on through the faults. Calls under /control/ meet none.
func (c *Control) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch {
	case r.URL.Path == "/control/fault":
		c.serveFault(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/control/"):
		next.ServeHTTP(w, r)
		return
	}
	if c.hold(r.Context()) != nil {
		return
	}
	f, lose, refuse := c.take(r)
	half := time.Duration(f.Slow) * time.Millisecond / 2
	switch {
	case f.Kill:
		panic(http.ErrAbortHandler)
	case half > 0 && timer.Wait(r.Context(), half) != nil:
		return
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case refuse:
		reply(w, http.StatusServiceUnavailable, engine.RefusedError{Reason: "busy"})
		return
	case lose:
		next.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
	if half > 0 {
		_ = timer.Wait(r.Context(), half)
	}
	_ = c.hold(r.Context())
}

func (c *Control) serveFault(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			err = c.Patch(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	reply(w, http.StatusOK, c.Faults())
}

// discard is the answer of a call whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// Port is the listener of one stand-in. Its connections fail in the ways that those of real instances do.
type Port struct {
	addr   net.Addr
	listen func() (net.Listener, error)

	mu sync.Mutex
	// inner is nil while the port is killed; changed is closed and replaced whenever inner or closed changes.
	inner   net.Listener
	changed chan struct{}
	closed  bool
	conns   map[*conn]struct{}
	dark    bool
}

// NewPort opens a port with listen, which must open the same address again when the stand-in is revived.
func NewPort(listen func() (net.Listener, error)) (*Port, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	return &Port{addr: l.Addr(), listen: listen, inner: l, changed: make(chan struct{}), conns: map[*conn]struct{}{}}, nil
}

// Listen opens a port on a free TCP port of the loopback interface.
func Listen() (*Port, error) { return ListenOn(netip.MustParseAddrPort("127.0.0.1:0")) }

// ListenOn is Listen on a given address.
func ListenOn(at netip.AddrPort) (*Port, error) {
	addr := at.String()
	return NewPort(func() (net.Listener, error) {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			addr = l.Addr().String()
		}
		return l, err
	})
}

// Addr is the address of the port.
func (p *Port) Addr() net.Addr { return p.addr }

// Accept returns the next connection. While the port is killed it waits for the revival.
func (p *Port) Accept() (net.Conn, error) {
	for {
		p.mu.Lock()
		l, changed, closed := p.inner, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if l == nil {
			<-changed
			continue
		}
		c, err := l.Accept()
		p.mu.Lock()
		current := p.inner == l && !p.closed
		if err == nil && current {
			k := &conn{Conn: c, port: p, dark: p.dark, done: make(chan struct{})}
			p.conns[k] = struct{}{}
			p.mu.Unlock()
			return k, nil
		}
		p.mu.Unlock()
		if err == nil {
			_ = c.Close()
		} else if current {
			return nil, err
		}
	}
}

// Close closes the listener; connections stay open.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.closed = true
	close(p.changed)
	if p.inner != nil {
		return p.inner.Close()
	}
	return nil
}

func (p *Port) kill(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || on == (p.inner == nil) {
		return nil
	}
	if on {
		_ = p.inner.Close()
		p.inner = nil
		p.drop(func(*conn) bool { return true })
	} else {
		l, err := p.listen()
		if err != nil {
			return err
		}
		p.inner = l
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// darken starts or ends a black-out. Connections that it met never work again; they are reset at its end.
func (p *Port) darken(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on == p.dark {
		return
	}
	p.dark = on
	if on {
		for c := range p.conns {
			c.dark = true
		}
		return
	}
	p.drop(func(c *conn) bool { return c.dark })
}

// silence makes a part of the open connections silent.
func (p *Port) silence(part float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int(part*float64(len(p.conns)) + 0.5)
	for c := range p.conns {
		if n <= 0 {
			return
		}
		c.silent = true
		n--
	}
}

// drop resets connections. It is called with the lock held.
func (p *Port) drop(which func(*conn) bool) {
	for c := range p.conns {
		if !which(c) {
			continue
		}
		delete(p.conns, c)
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.once.Do(func() { close(c.done) })
		_ = c.Conn.Close()
	}
}

// conn is one connection of a port. The port's lock guards silent and dark.
type conn struct {
	net.Conn
	port         *Port
	silent, dark bool
	done         chan struct{}
	once         sync.Once
}

func (c *conn) muted() (silent, dark bool) {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.silent, c.dark
}

// Read returns what the peer sent. In the dark nothing arrives, not even the end of the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if _, dark := c.muted(); dark {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if silent, dark := c.muted(); silent || dark {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.port.mu.Lock()
	delete(c.port.conns, c)
	c.port.mu.Unlock()
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
