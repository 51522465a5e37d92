package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/timer"
)

// Harm is what a proxy does to connections.
type Harm uint8

// Harms of a proxy.
const (
	// Clear passes everything on.
	Clear Harm = iota
	// Delay passes everything on late.
	Delay
	// Reset resets every connection, old and new.
	Reset
	// Silence passes nothing on, in either direction, and takes new connections.
	Silence
	// Deaf drops what goes to the server, Dumb what comes from it.
	Deaf
	Dumb
	// Drop takes nothing from those who connect, not even new connections, and acknowledges nothing. All goes on when it ends.
	Drop
)

func (h Harm) String() string {
	return [...]string{"clear", "delay", "reset", "silence", "deaf", "dumb", "drop"}[h]
}

// delayed is how late Delay passes bytes on.
const delayed = 150 * time.Millisecond

// Proxy passes TCP connections on to one address and harms them.
type Proxy struct {
	Addr netip.AddrPort

	to netip.AddrPort
	l  *net.TCPListener
	g  errgroup.Group

	// cuts harms the connections of single daemons; nil if none is ever cut off.
	cuts *cuts

	mu    sync.Mutex
	harm  Harm
	conns map[*net.TCPConn]end
	// changed is closed, and replaced, when harm changes.
	changed chan struct{}
}

// end is one end of what a proxy passes on.
type end struct {
	// owner is the daemon that has opened the connection, or for which it was opened.
	owner string
	// accepted is set for connections that were opened to the proxy.
	accepted bool
}

// newProxy returns a proxy that takes the connections of a listener at an address, and a function that ends both. cuts may be nil.
func newProxy(l *net.TCPListener, at, to netip.AddrPort, cuts *cuts) (*Proxy, func()) {
	p := &Proxy{Addr: at, to: to, l: l, cuts: cuts, conns: map[*net.TCPConn]end{}, changed: make(chan struct{})}
	p.g.Go(func() error {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return nil // closed
			}
			p.g.Go(func() error {
				p.pass(c)
				return nil
			})
		}
	})
	return p, func() {
		_ = l.Close() // ends Accept
		p.Set(Reset)
		_ = p.g.Wait() // returns no error
	}
}

// Set changes what is done to connections.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.harm
	p.harm = h
	close(p.changed)
	p.changed = make(chan struct{})
	if h == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
	if was == Drop || h == Drop {
		p.filter(p.l, "")
		p.filterAll()
	}
}

// cut has a change of the harm to a daemon take effect on its connections.
func (p *Proxy) cut(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts.harm(daemon) == Reset {
		for c, e := range p.conns {
			if e.owner == daemon {
				reset(c)
			}
		}
	}
	p.filterAll()
}

// filterAll has the kernel drop, or no longer drop, what arrives from those who connect. p.mu is held.
func (p *Proxy) filterAll() {
	for c, e := range p.conns {
		if e.accepted {
			p.filter(c, e.owner)
		}
	}
}

func (p *Proxy) filter(c syscall.Conn, owner string) {
	// It fails on a socket that is closed, or that did not drop.
	_ = fakeplatform.DropReceived(c, p.harm == Drop || p.cuts.harm(owner) == Drop)
}

// hold waits while nothing is passed on that goes on later.
func (p *Proxy) hold(owner string) {
	for {
		p.mu.Lock()
		harm, changed := p.harm, p.changed
		p.mu.Unlock()
		switch {
		case harm == Drop:
			<-changed
		case harm != Reset && p.cuts.harm(owner) == Drop: // a proxy that ends resets its connections
			_ = timer.Wait(context.Background(), cutPeriod) // never ends early
		default:
			return
		}
	}
}

// release waits until what was held has gone on.
func (p *Proxy) release() {
	p.hold("")
	_ = timer.Wait(context.Background(), cutPeriod) // never ends early
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// pass serves one connection.
func (p *Proxy) pass(in *net.TCPConn) {
	defer reset(in)
	p.mu.Lock()
	harm := p.harm
	p.mu.Unlock()
	owner := p.cuts.owner(netip.MustParseAddrPort(in.RemoteAddr().String()), p.Addr)
	if harm == Reset || p.cuts.harm(owner) == Reset {
		return
	}
	c, err := net.DialTimeout("tcp4", p.to.String(), time.Second)
	if err != nil {
		p.hold(owner)
		return
	}
	out := c.(*net.TCPConn)
	defer reset(out)
	p.mu.Lock()
	p.conns[in], p.conns[out] = end{owner, true}, end{owner, false}
	p.filter(in, owner)
	if p.harm == Reset { // since the connection was taken; the other ones have been reset already
		reset(in)
		reset(out)
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, in)
		delete(p.conns, out)
	}()
	for _, c := range []*net.TCPConn{in, out} {
		// A proxy that took a whole upload would hide from a daemon that the server reads none of it.
		_, _ = c.SetReadBuffer(proxyBuffer), c.SetWriteBuffer(proxyBuffer) // without the bound the connection works too
	}
	client, server := peerConn{netopt.NewConn(in), in}, peerConn{netopt.NewConn(out), out}
	var g errgroup.Group
	g.Go(func() error { return p.copy(server, client, Deaf, owner) })
	g.Go(func() error { return p.copy(client, server, Dumb, owner) })
	_ = g.Wait() // both directions have ended
}

// proxyBuffer is the size of the socket buffers of a proxy.
const proxyBuffer = 64 << 10

// peerConn is a connection of a proxy. A reset that its Write gets is not read as the end of the connection, which would be passed on as one.
type peerConn struct {
	*netopt.Conn
	tcp *net.TCPConn
}

// cutPeriod is how often a silent connection of a daemon that is cut off is looked at.
const cutPeriod = 50 * time.Millisecond

// copy passes bytes of a daemon's connection on in one direction. drop is the harm that swallows them.
func (p *Proxy) copy(to, from peerConn, drop Harm, owner string) error {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.hold(owner)
		if err != nil {
			if errors.Is(err, io.EOF) {
				return to.tcp.CloseWrite()
			}
			reset(to.tcp)
			return err
		}
		p.mu.Lock()
		harm, changed := p.harm, p.changed
		p.mu.Unlock()
		if p.cuts.harm(owner) == Silence {
			for p.cuts.harm(owner) == Silence {
				_ = timer.Wait(context.Background(), cutPeriod) // never ends early
			}
			reset(to.tcp)
			reset(from.tcp)
			return nil
		}
		switch harm {
		case Silence, drop:
			// Later bytes must not follow a gap, so the connection goes when the harm ends.
			<-changed
			reset(to.tcp)
			reset(from.tcp)
			return nil
		case Delay:
			if err := timer.Wait(context.Background(), delayed); err != nil {
				return err
			}
		}
		if _, err := to.Write(b[:n]); err != nil {
			reset(from.tcp)
			return err
		}
	}
}
