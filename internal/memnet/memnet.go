// Package memnet implements an in-memory network, so that tests can run servers, simulated backends and real HTTP clients
// in one synctest bubble. It injects no faults; package standin does that in its listeners.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Network is an in-memory TCP network. The zero value is an empty network. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	lastPort  uint16
	// conns holds the client side of every connection, so that Close also ends those that neither side closed.
	conns  []net.Conn
	closed bool
}

// Close closes all connections and refuses new ones. Without it, a connection that a client was still opening when the
// client was closed would leave goroutines running in the synctest bubble.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// NewAddr allocates an address that has not been returned before.
func (n *Network) NewAddr() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), n.lastPort)
}

// Listen starts listening on an address. It fails with a *net.OpError (EADDRINUSE) if the address already has a listener.
func (n *Network) Listen(a netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(a), Err: syscall.EADDRINUSE}
	}
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	l := &listener{n: n, addr: a, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// Dial connects to an address, like net.Dialer.DialContext. An address without a listener refuses the connection.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	refused := &net.OpError{Op: "dial", Net: network, Addr: net.TCPAddrFromAddrPort(a), Err: syscall.ECONNREFUSED}
	n.mu.Lock()
	l := n.listeners[a]
	n.mu.Unlock()
	if l == nil {
		return nil, refused
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.closed {
			_ = clientConn.Close()
			return nil, refused
		}
		n.conns = append(n.conns, clientConn)
		return clientConn, nil
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
	if l.n.listeners[l.addr] == l {
		delete(l.n.listeners, l.addr)
		close(l.done)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
