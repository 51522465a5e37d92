package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

const (
	alpnProtocol = "flamingorudder/1"
	// idleTimeout is how long an unused connection stays open, so that a daemon keeps only those that it uses.
	idleTimeout = 30 * time.Second
	// handshakeTimeout limits opening a connection. It is below the failure detection timeout of package share (Silence),
	// so that a dead peer is detected in time.
	handshakeTimeout = 800 * time.Millisecond
	// sendQueueSize is the capacity of the send queue of one peer. Newer messages supersede older ones, so a longer queue
	// would only hold more stale messages.
	sendQueueSize = 64
	// responseTimeout limits the time between a request and its response.
	responseTimeout = 5 * time.Second
)

// Sender identifies the sender of a message.
type Sender struct {
	// Name is the name in the certificate of the sender.
	Name string
	// Addr is the remote address of the connection, on which the sender also listens.
	Addr netip.AddrPort
}

// Handler processes the messages of other daemons. Its methods are called concurrently and must not block for long.
type Handler interface {
	// Receive handles a message that has no response.
	Receive(from Sender, m Message)
	// Answer returns the response to a request, or nil for an empty response.
	Answer(from Sender, m Message) Message
}

// Node is the endpoint of the protocol in one daemon. Its methods are safe for concurrent use.
type Node struct {
	addr      netip.AddrPort
	id        *identity.Identity
	clock     *timeline.Clock
	log       hclog.Logger
	handler   Handler
	transport *quic.Transport
	group     *errgroup.Group
	ctx       context.Context

	mu    sync.Mutex
	peers map[netip.AddrPort]*link
	// openConns holds the connections that have a read loop. closedWire holds the traffic of those that are closed, and
	// the number of connections opened so far.
	openConns  map[*quic.Conn]struct{}
	closedWire WireStats

	sent, received, bytesOut, bytesIn, dropped atomic.Uint64
}

// link is the connection to one peer and its send queue. Either side may have opened the connection; with a shared
// connection, the packet that carries a response also carries the acknowledgement of the request.
type link struct {
	queue *ring.Queue[Message]
	// reset makes the send loop close the connection, so that the next message opens a new one.
	reset chan struct{}
	conn  atomic.Pointer[quic.Conn]
	// dialMu serializes dialing, so that this side opens at most one connection at a time.
	dialMu sync.Mutex
	// dialedAt is when this side last opened a connection, in Unix nanoseconds.
	dialedAt atomic.Int64
}

// Stats counts the messages and payload bytes that a node sent and received.
type Stats struct {
	Sent, Received, BytesOut, BytesIn uint64
	// Dropped counts messages that were discarded because the send queue was full or sending failed.
	Dropped uint64
	Wire    WireStats
}

// WireStats counts connections and their traffic in bytes of IP packets, including handshakes and acknowledgements.
type WireStats struct {
	// Opened counts connections opened by either side. Out and In are bytes, with 28 bytes per packet for the IPv4 and
	// UDP headers.
	Opened, Out, In uint64
}

func (w *WireStats) add(c *quic.Conn) {
	const packetHeaders = 28
	s := c.ConnectionStats()
	w.Out += s.BytesSent + packetHeaders*s.PacketsSent
	w.In += s.BytesReceived + packetHeaders*s.PacketsReceived
}

// Listen starts a node on an address. It returns the node and a function that stops it.
func Listen(addr netip.AddrPort, id *identity.Identity, clock *timeline.Clock, log hclog.Logger, h Handler) (*Node, func(), error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	tr := &quic.Transport{Conn: udp}
	l, err := tr.Listen(id.ServerConfig(alpnProtocol), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	n := &Node{addr: netip.MustParseAddrPort(udp.LocalAddr().String()), id: id, clock: clock, log: log, handler: h, transport: tr, group: g, ctx: ctx, peers: map[netip.AddrPort]*link{}, openConns: map[*quic.Conn]struct{}{}}
	g.Go(func() error { return n.acceptLoop(l) })
	return n, func() {
		cancel()
		_ = l.Close()
		n.mu.Lock()
		for _, p := range n.peers {
			if c := p.conn.Load(); c != nil {
				_ = c.CloseWithError(0, "stopped")
			}
		}
		n.mu.Unlock()
		_ = g.Wait()
		_ = tr.Close()
		_ = udp.Close()
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{EnableDatagrams: true, MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout, MaxIncomingStreams: 256}
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() netip.AddrPort { return n.addr }

// Stats returns the totals since the start.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	w := n.closedWire
	for c := range n.openConns {
		w.add(c)
	}
	n.mu.Unlock()
	return Stats{Sent: n.sent.Load(), Received: n.received.Load(), BytesOut: n.bytesOut.Load(), BytesIn: n.bytesIn.Load(), Dropped: n.dropped.Load(), Wire: w}
}

// Send queues a message that has no response. It does not block, and the message may be lost.
func (n *Node) Send(to netip.AddrPort, m Message) {
	if !n.linkTo(to).queue.Offer(m) {
		n.dropped.Add(1)
	}
}

// Reset closes the connection to a peer asynchronously. The next message opens a new one.
func (n *Node) Reset(to netip.AddrPort) {
	select {
	case n.linkTo(to).reset <- struct{}{}:
	default:
	}
}

func (n *Node) linkTo(to netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[to]
	if p == nil {
		p = &link{queue: ring.NewQueue[Message](sendQueueSize), reset: make(chan struct{}, 1)}
		n.peers[to] = p
		n.group.Go(func() error { return n.sendLoop(to, p) })
	}
	return p
}

// sendLoop sends the queued messages of one peer. It ends when the link has been unused for about idleTimeout.
func (n *Node) sendLoop(to netip.AddrPort, p *link) error {
	tick, stop := timer.Every(idleTimeout, 0)
	defer stop()
	used := true
	for {
		select {
		case <-n.ctx.Done():
			return nil
		case <-p.reset:
			if c := p.conn.Swap(nil); c != nil {
				_ = c.CloseWithError(0, "silent")
			}
		case <-tick:
			if !used && n.removeIdle(to, p) {
				return nil
			}
			used = false
		case m := <-p.queue.C():
			used = true
			if err := n.write(to, p, m); err != nil {
				n.dropped.Add(1)
				n.log.Debug("message could not be sent", "peer", to, "kind", m.kind(), "error", err)
			}
		}
	}
}

// removeIdle removes an unused link and reports whether it did. It keeps the link if a message has been queued meanwhile
// or the connection is still open, since the peer may be using it; a connection that neither side uses closes by itself.
func (n *Node) removeIdle(to netip.AddrPort, p *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := p.conn.Load(); len(p.queue.C()) > 0 || c != nil && c.Context().Err() == nil {
		return false
	}
	delete(n.peers, to)
	return true
}

func (n *Node) write(to netip.AddrPort, p *link, m Message) error {
	b, err := Encode(m, n.clock.Now(time.Now()))
	if err != nil {
		return err
	}
	c, err := n.conn(to, p)
	if err != nil {
		return err
	}
	if len(b) > MaxDatagram {
		err = n.writeStream(c, b)
	} else {
		err = c.SendDatagram(b)
	}
	if err != nil {
		p.conn.CompareAndSwap(c, nil)
		return fmt.Errorf("send %s: %w", m.kind(), err)
	}
	n.sent.Add(1)
	n.bytesOut.Add(uint64(len(b)))
	return nil
}

func (n *Node) writeStream(c *quic.Conn, b []byte) error {
	s, err := c.OpenUniStream()
	if err != nil {
		return err
	}
	if _, err := s.Write(b); err != nil {
		return err
	}
	return s.Close()
}

// conn returns the open connection to a peer, or opens one.
func (n *Node) conn(to netip.AddrPort, p *link) (*quic.Conn, error) {
	if c := p.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	p.dialMu.Lock()
	defer p.dialMu.Unlock()
	if c := p.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	c, err := n.transport.Dial(ctx, net.UDPAddrFromAddrPort(to), n.id.ClientConfig(alpnProtocol), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	p.dialedAt.Store(time.Now().UnixNano())
	p.conn.Store(c)
	n.group.Go(func() error { return n.readLoop(c) })
	return c, nil
}

// Ask sends a request and returns the response, or nil if the response is empty.
func (n *Node) Ask(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	b, err := Encode(m, n.clock.Now(time.Now()))
	if err != nil {
		return nil, err
	}
	p := n.linkTo(to)
	c, err := n.conn(to, p)
	if err != nil {
		return nil, err
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", to, err)
	}
	defer s.CancelRead(0)
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if _, err := s.Write(b); err != nil {
		return nil, fmt.Errorf("send request to %s: %w", to, err)
	}
	if err := s.Close(); err != nil {
		return nil, fmt.Errorf("send request to %s: %w", to, err)
	}
	n.sent.Add(1)
	n.bytesOut.Add(uint64(len(b)))
	response, err := io.ReadAll(io.LimitReader(s, MaxStreamBytes))
	if err != nil {
		return nil, fmt.Errorf("read response from %s: %w", to, err)
	}
	if len(response) == 0 {
		return nil, nil
	}
	return n.decode(response)
}

func (n *Node) decode(b []byte) (Message, error) {
	n.received.Add(1)
	n.bytesIn.Add(uint64(len(b)))
	m, at, err := Decode(b)
	if err != nil {
		return nil, err
	}
	n.clock.Update(time.Now(), at)
	return m, nil
}

func (n *Node) acceptLoop(l *quic.Listener) error {
	for {
		c, err := l.Accept(n.ctx)
		if err != nil {
			return nil // The node is stopping.
		}
		n.useIncoming(c)
		n.group.Go(func() error { return n.readLoop(c) })
	}
}

// useIncoming makes a connection that a peer has opened the one for sending to that peer. The peer opened it because it
// had no connection or got no reply on the previous one, so it replaces an older connection. When both sides dial at the
// same time, the connection dialed by the side with the lower address is used.
func (n *Node) useIncoming(c *quic.Conn) {
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return
	}
	p := n.linkTo(from)
	if old := p.conn.Load(); old != nil && old.Context().Err() == nil && n.addr.Compare(from) < 0 &&
		time.Since(time.Unix(0, p.dialedAt.Load())) < handshakeTimeout {
		return
	}
	p.conn.Store(c)
}

// readLoop handles the datagrams and streams of one connection until it closes.
func (n *Node) readLoop(c *quic.Conn) error {
	n.mu.Lock()
	n.openConns[c] = struct{}{}
	n.closedWire.Opened++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.openConns, c)
		n.closedWire.add(c)
	}()
	from := Sender{Name: identity.PeerName(tlsState(c)), Addr: netip.MustParseAddrPort(c.RemoteAddr().String())}
	g, ctx := errgroup.WithContext(n.ctx)
	g.Go(func() error {
		for {
			b, err := c.ReceiveDatagram(ctx)
			if err != nil {
				return &connClosedError{err}
			}
			n.receive(from, b)
		}
	})
	g.Go(func() error {
		for {
			s, err := c.AcceptUniStream(ctx)
			if err != nil {
				return &connClosedError{err}
			}
			g.Go(func() error {
				if b, err := io.ReadAll(io.LimitReader(s, MaxStreamBytes)); err == nil {
					n.receive(from, b)
				}
				return nil
			})
		}
	})
	g.Go(func() error {
		for {
			s, err := c.AcceptStream(ctx)
			if err != nil {
				return &connClosedError{err}
			}
			g.Go(func() error {
				n.respond(from, s)
				return nil
			})
		}
	})
	_ = g.Wait()
	_ = c.CloseWithError(0, "closed")
	return nil
}

// connClosedError stops the goroutines that read a connection once one of them finds it closed.
type connClosedError struct{ err error }

func (e *connClosedError) Error() string { return e.err.Error() }
func (e *connClosedError) Unwrap() error { return e.err }

func tlsState(c *quic.Conn) tls.ConnectionState { return c.ConnectionState().TLS }

func (n *Node) receive(from Sender, b []byte) {
	m, err := n.decode(b)
	if err != nil {
		n.log.Warn("message dropped", "peer", from.Name, "error", err)
		return
	}
	n.handler.Receive(from, m)
}

func (n *Node) respond(from Sender, s *quic.Stream) {
	defer func() { _ = s.Close() }()
	_ = s.SetDeadline(time.Now().Add(responseTimeout))
	b, err := io.ReadAll(io.LimitReader(s, MaxStreamBytes))
	if err != nil {
		return
	}
	m, err := n.decode(b)
	if err != nil {
		n.log.Warn("question dropped", "peer", from.Name, "error", err)
		return
	}
	response := n.handler.Answer(from, m)
	if response == nil {
		return
	}
	out, err := Encode(response, n.clock.Now(time.Now()))
	if err != nil {
		n.log.Error("answer could not be encoded", "peer", from.Name, "error", err)
		return
	}
	if _, err := s.Write(out); err == nil {
		n.sent.Add(1)
		n.bytesOut.Add(uint64(len(out)))
	}
}
