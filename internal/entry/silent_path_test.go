package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// silentPathConfig is the configuration of these tests, with limits well beyond the silences.
var silentPathConfig = `{"version":1,"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeoutMs":9000,"targetLatencyMs":150,"service":"plain","maxAttempts":2},
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":9000,"service":"plain","maxAttempts":1},
 {"name":"once","host":"a.example","prefix":"/once/","kind":"streaming","timeoutMs":9000,"targetLatencyMs":500,"service":"llm","maxAttempts":2},
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"streaming","timeoutMs":9000,"targetLatencyMs":500,"service":"llm","maxAttempts":2,"streamResume":true}],
 ` + testConfig[strings.Index(testConfig, `"services"`):]

// silentPath is a backend server, and the path to it: while that is silent, the server sends nothing, and its kernel neither
// acknowledges what arrives nor accepts connections.
type silentPath struct {
	t *testing.T
	l *net.TCPListener
	// moment is when the path falls silent for d: "request written", "before the answer" or "inside the answer".
	moment string
	d      time.Duration
	// ran counts the requests that were read, dialled the connections that the daemon opened for requests.
	ran, dialled atomic.Int32
	tasks        sync.WaitGroup

	mu    sync.Mutex
	conns []*net.TCPConn
	// silent is held while the path is silent.
	silent sync.RWMutex
}

func newSilentPath(t *testing.T, moment string, d time.Duration) *silentPath {
	t.Helper()
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // such a listener can't drop
	l, err := lc.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentPath{t: t, l: l.(*net.TCPListener), moment: moment, d: d}
	p.tasks.Go(func() {
		for {
			c, err := p.l.AcceptTCP()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			p.tasks.Go(func() { p.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = p.l.Close()
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		p.tasks.Wait()
	})
	return p
}

// drop begins or ends the silence of the kernel.
func (p *silentPath) drop(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.t.Context().Err() != nil {
		return // closed
	}
	err := fakeplatform.DropReceived(p.l, on)
	for _, c := range p.conns {
		if e := fakeplatform.DropReceived(c, on); !errors.Is(e, net.ErrClosed) && !errors.Is(e, syscall.ENOENT) {
			err = errors.Join(err, e)
		}
	}
	if err != nil {
		p.t.Error(err)
	}
}

// fallSilent makes the path silent for d if this is the moment.
func (p *silentPath) fallSilent(moment string) {
	if moment != p.moment || p.ran.Load() > 1 {
		return
	}
	p.silent.Lock()
	defer p.silent.Unlock()
	p.drop(true)
	_ = timer.Wait(p.t.Context(), p.d)
	p.drop(false)
}

// apply makes the path silent, if the moment is "request written", once the daemon has the connection for its first request.
func (p *silentPath) apply(d *Daemon) {
	dial := d.dial
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil || p.moment != "request written" || p.dialled.Add(1) > 1 {
			return c, err
		}
		eventually(p.t, "the server has accepted the connection", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.ContainsFunc(p.conns, func(end *net.TCPConn) bool { return end.RemoteAddr().String() == c.LocalAddr().String() })
		})
		p.silent.Lock()
		p.drop(true)
		p.tasks.Go(func() {
			defer p.silent.Unlock()
			_ = timer.Wait(p.t.Context(), p.d)
			p.drop(false)
		})
		return c, nil
	}
}

func (p *silentPath) write(c net.Conn, text string) {
	p.silent.RLock()
	defer p.silent.RUnlock()
	_, _ = io.WriteString(c, text)
}

func (p *silentPath) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		head := "HTTP/1.1 200 OK\r\nX-Flamingorudder-Request-Id: " + r.Header.Get("X-Flamingorudder-Request-Id") + "\r\nX-Flamingorudder-Response-Signature: s\r\n"
		if r.URL.Path == "/api/report" {
			p.write(c, head+"Content-Length: 10\r\n\r\n"+`{"born":1}`)
			continue
		}
		p.ran.Add(1)
		p.fallSilent("before the answer")
		if strings.HasPrefix(r.URL.Path, "/safe/") || strings.HasPrefix(r.URL.Path, "/unsafe/") {
			p.write(c, head+"Content-Length: 10\r\n\r\nfirst")
			p.fallSilent("inside the answer")
			p.write(c, "after")
			continue
		}
		p.write(c, head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"+event(1)+event(2))
		p.fallSilent("inside the answer")
		p.write(c, event(3)+event(4))
		return
	}
}

// TestPathSilent guards against ending a request, or sending it twice, while the path to its only backend server is silent for a
// moment: nothing arrives and nothing is acknowledged, on open and new connections.
func TestPathSilent(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/", "/unsafe/", "/once/", "/stream/"} {
		for _, moment := range []string{"request written", "before the answer", "inside the answer"} {
			for _, d := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprint(path[1:], moment, "/", d), func(t *testing.T) {
					t.Parallel()
					store := fakeplatform.NewStore()
					store.Put("op", "config", []byte(silentPathConfig))
					p, service, group, want := newSilentPath(t, moment, d), "plain", "null", "firstafter"
					u := startDaemon(t, store, "a", p.apply)
					headers := []string{"X-Flamingorudder-Deadline-Ms", "9000"}
					if path == "/once/" || path == "/stream/" {
						service, group, want = "llm", fmt.Sprintf(openGroup, 1), event(1)+event(2)+event(3)+event(4)
						headers = append(headers, "X-Flamingorudder-Model", "m", "X-Flamingorudder-Token-Usage", "100,20")
					}
					u.putServer("i-1", service, p.l.Addr().String(), group)
					u.waitReady()
					start := time.Now()
					if r := u.do(http.MethodPost, path, "k1", "x", headers...); r.err != nil || r.status != http.StatusOK || r.body != want {
						t.Errorf("after %v: status %d, error %v, body %q", time.Since(start), r.status, r.err, r.body)
					}
					if n := p.ran.Load(); n != 1 {
						t.Errorf("%d requests at the server, want 1", n)
					}
				})
			}
		}
	}
}
