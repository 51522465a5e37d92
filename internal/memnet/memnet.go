// Package memnet is a network in memory, so that tests run servers, the stand-ins' ports and real HTTP clients in one
// synctest bubble. It knows no faults of its own; those are the ports' (see package standin).
package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Network is a set of addresses that can be listened at. The zero value is an empty network. Its methods may be called
// from several goroutines.
type Network struct {
	mu   sync.Mutex
	open map[netip.AddrPort]*listener
	last uint16
	// conns holds the connections opened, so that Close ends those that both sides forgot.
	conns  []net.Conn
	closed bool
}

// Close closes all connections and refuses new ones. In a synctest bubble a connection that a client was still opening
// when it was closed would otherwise keep goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// Addr returns an address that was not returned before.
func (n *Network) Addr() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), n.last)
}

// Listen opens an address. It fails with *net.OpError while the address is open already.
func (n *Network) Listen(a netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open[a] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(a), Err: syscall.EADDRINUSE}
	}
	if n.open == nil {
		n.open = map[netip.AddrPort]*listener{}
	}
	l := &listener{n: n, addr: a, conns: make(chan net.Conn), done: make(chan struct{})}
	n.open[a] = l
	return l, nil
}

// Dial connects to an open address, as net.Dialer.DialContext does. An address that is not open refuses.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	refused := &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(a), Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	l := n.open[a]
	n.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.closed {
			_ = near.Close()
			return nil, refused
		}
		n.conns = append(n.conns, near)
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: refused.Addr, Err: ctx.Err()}
	}
}

type listener struct {
	n     *Network
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.open[l.addr] == l {
		delete(l.n.open, l.addr)
		close(l.done)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
