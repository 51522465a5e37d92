package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes TCP connections on to one address. While it is cut, nothing passes in either direction, and nothing is reset.
type proxy struct {
	addr, to netip.AddrPort
	l        net.Listener
	isCut    atomic.Bool
	// passed is when bytes were last passed on to the address, in nanoseconds since the Unix epoch.
	passed atomic.Int64
	mu     sync.Mutex
	conns  []net.Conn
}

func (f *fleet) proxy(to netip.AddrPort) (*proxy, error) {
	addr, err := f.free()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: addr, to: to, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the drill ends
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(in net.Conn) {
	p.keep(in)
	if p.isCut.Load() {
		return
	}
	out, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", p.to.String())
	if err != nil {
		_ = in.Close() // nobody listens
		return
	}
	p.keep(out)
	go p.pass(out, in, &p.passed)
	p.pass(in, out, new(atomic.Int64))
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

// pass copies from one side to the other until one of them ends. What comes in a cut is lost.
func (p *proxy) pass(to, from net.Conn, at *atomic.Int64) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if p.isCut.Load() {
			return // both sides stay open, and hear nothing
		}
		if n > 0 {
			at.Store(time.Now().UnixNano())
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close() // one side has ended
			return
		}
	}
}

// cut begins a partition, heal ends it: what was open before is closed, as its bytes are lost.
func (p *proxy) cut() { p.isCut.Store(true) }

func (p *proxy) heal() {
	p.isCut.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // a new one is opened
	}
	p.conns = nil
}
