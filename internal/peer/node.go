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
	protocol = "flamingorudder/1"
	// idle closes connections that nothing was sent on for a while, so that a daemon keeps only those it uses.
	idle = 30 * time.Second
	// handshake bounds the opening of a connection; it is below share.Silence, so that a dead peer is noticed in time.
	handshake = 800 * time.Millisecond
	// outbox is how many messages wait for one peer. Messages replace each other, so a longer queue would only be older.
	outbox = 64
	// answerTime bounds how long a question waits for its answer.
	answerTime = 5 * time.Second
)

// From tells where a message came from.
type From struct {
	// Name is the name in the sender's certificate.
	Name string
	// Addr is where the sender can be reached.
	Addr netip.AddrPort
}

// Handler takes in the messages of other daemons. Its methods are called from several goroutines and must not block
// for long.
type Handler interface {
	// Receive takes in a message that has no answer.
	Receive(from From, m Message)
	// Answer answers a question; nil means that there is no answer.
	Answer(from From, m Message) Message
}

// Node is the end of the protocol in one daemon. Its methods may be called from several goroutines.
type Node struct {
	addr    netip.AddrPort
	id      *identity.Identity
	clock   *timeline.Clock
	log     hclog.Logger
	handler Handler
	tr      *quic.Transport
	group   *errgroup.Group
	ctx     context.Context

	mu    sync.Mutex
	peers map[netip.AddrPort]*link
	// open holds the connections that are read, and ended the bytes on the wire of those that are not any more.
	open  map[*quic.Conn]struct{}
	ended Wire

	sent, received, bytesOut, bytesIn, dropped atomic.Uint64
}

// link is the connection to one peer, with the messages that wait for it. Either side may have opened the connection;
// sharing it lets an answer carry the acknowledgement of what it answers.
type link struct {
	out *ring.Queue[Message]
	// reset tells the sender to open a new connection.
	reset chan struct{}
	conn  atomic.Pointer[quic.Conn]
	// dial is held while a connection is opened, so that there is at most one.
	dial sync.Mutex
	// dialed is when this side last opened a connection, in Unix nanoseconds.
	dialed atomic.Int64
}

// Stats counts what a node sent and received, in messages and bytes of payload.
type Stats struct {
	Sent, Received, BytesOut, BytesIn uint64
	// Dropped counts messages that found their peer's queue full or its connection closed.
	Dropped uint64
	Wire    Wire
}

// Wire counts what connections cost in bytes of UDP packets, handshakes and acknowledgements included.
type Wire struct {
	// Opened counts connections of either side, Out and In bytes with 28 for the IP and UDP headers of each packet.
	Opened, Out, In uint64
}

func (w *Wire) add(c *quic.Conn) {
	const headers = 28
	s := c.ConnectionStats()
	w.Out += s.BytesSent + headers*s.PacketsSent
	w.In += s.BytesReceived + headers*s.PacketsReceived
}

// Listen starts a node on an address and returns it with a function that stops it.
func Listen(addr netip.AddrPort, id *identity.Identity, clock *timeline.Clock, log hclog.Logger, h Handler) (*Node, func(), error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	tr := &quic.Transport{Conn: udp}
	l, err := tr.Listen(id.Server(protocol), config())
	if err != nil {
		_ = udp.Close()
		return nil, nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	n := &Node{addr: netip.MustParseAddrPort(udp.LocalAddr().String()), id: id, clock: clock, log: log, handler: h, tr: tr, group: g, ctx: ctx, peers: map[netip.AddrPort]*link{}, open: map[*quic.Conn]struct{}{}}
	g.Go(func() error { return n.accept(l) })
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

func config() *quic.Config {
	return &quic.Config{EnableDatagrams: true, MaxIdleTimeout: idle, HandshakeIdleTimeout: handshake, MaxIncomingStreams: 256}
}

// Addr is the address that the node listens on.
func (n *Node) Addr() netip.AddrPort { return n.addr }

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	w := n.ended
	for c := range n.open {
		w.add(c)
	}
	n.mu.Unlock()
	return Stats{Sent: n.sent.Load(), Received: n.received.Load(), BytesOut: n.bytesOut.Load(), BytesIn: n.bytesIn.Load(), Dropped: n.dropped.Load(), Wire: w}
}

// Send sends a message that has no answer. It does not block, and the message may be lost.
func (n *Node) Send(to netip.AddrPort, m Message) {
	if !n.link(to).out.Offer(m) {
		n.dropped.Add(1)
	}
}

// Reset drops the connection to a peer; the next message opens a new one.
func (n *Node) Reset(to netip.AddrPort) {
	select {
	case n.link(to).reset <- struct{}{}:
	default:
	}
}

func (n *Node) link(to netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[to]
	if p == nil {
		p = &link{out: ring.NewQueue[Message](outbox), reset: make(chan struct{}, 1)}
		n.peers[to] = p
		n.group.Go(func() error { return n.send(to, p) })
	}
	return p
}

// send is the duty that sends to one peer. It ends when nothing has been sent for a while.
func (n *Node) send(to netip.AddrPort, p *link) error {
	tick, stop := timer.Every(idle, 0)
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
			if !used && n.retire(to, p) {
				return nil
			}
			used = false
		case m := <-p.out.C():
			used = true
			if err := n.write(to, p, m); err != nil {
				n.dropped.Add(1)
				n.log.Debug("message could not be sent", "peer", to, "kind", m.kind(), "error", err)
			}
		}
	}
}

// retire forgets an unused link, unless a message came in meanwhile or the peer uses its connection, which closes by
// itself when nobody does.
func (n *Node) retire(to netip.AddrPort, p *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := p.conn.Load(); len(p.out.C()) > 0 || c != nil && c.Context().Err() == nil {
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

// conn returns the open connection to a peer or opens one.
func (n *Node) conn(to netip.AddrPort, p *link) (*quic.Conn, error) {
	if c := p.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	p.dial.Lock()
	defer p.dial.Unlock()
	if c := p.conn.Load(); c != nil && c.Context().Err() == nil {
		return c, nil
	}
	ctx, stop := context.WithTimeout(n.ctx, handshake)
	defer stop()
	c, err := n.tr.Dial(ctx, net.UDPAddrFromAddrPort(to), n.id.Client(protocol), config())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	p.dialed.Store(time.Now().UnixNano())
	p.conn.Store(c)
	n.group.Go(func() error { return n.read(c) })
	return c, nil
}

// Ask sends a question and returns its answer, or nil when the peer has none.
func (n *Node) Ask(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	ctx, stop := context.WithTimeout(ctx, answerTime)
	defer stop()
	b, err := Encode(m, n.clock.Now(time.Now()))
	if err != nil {
		return nil, err
	}
	p := n.link(to)
	c, err := n.conn(to, p)
	if err != nil {
		return nil, err
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", to, err)
	}
	defer s.CancelRead(0)
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if _, err := s.Write(b); err != nil {
		return nil, fmt.Errorf("ask %s: %w", to, err)
	}
	if err := s.Close(); err != nil {
		return nil, fmt.Errorf("ask %s: %w", to, err)
	}
	n.sent.Add(1)
	n.bytesOut.Add(uint64(len(b)))
	answer, err := io.ReadAll(io.LimitReader(s, MaxAnswer))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", to, err)
	}
	if len(answer) == 0 {
		return nil, nil
	}
	return n.decode(answer)
}

func (n *Node) decode(b []byte) (Message, error) {
	n.received.Add(1)
	n.bytesIn.Add(uint64(len(b)))
	m, at, err := Decode(b)
	if err != nil {
		return nil, err
	}
	n.clock.See(time.Now(), at)
	return m, nil
}

func (n *Node) accept(l *quic.Listener) error {
	for {
		c, err := l.Accept(n.ctx)
		if err != nil {
			return nil // The listener is closed when the node stops.
		}
		n.adopt(c)
		n.group.Go(func() error { return n.read(c) })
	}
}

// adopt sends what goes to a peer over the connection that it opened. The peer has opened it because it has no other one
// or found that one silent, so it replaces an older one; when both sides have just opened one, that of the lower address
// is used.
func (n *Node) adopt(c *quic.Conn) {
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return
	}
	p := n.link(from)
	if old := p.conn.Load(); old != nil && old.Context().Err() == nil && n.addr.Compare(from) < 0 &&
		time.Since(time.Unix(0, p.dialed.Load())) < handshake {
		return
	}
	p.conn.Store(c)
}

// read takes in what comes over one connection until it closes.
func (n *Node) read(c *quic.Conn) error {
	n.mu.Lock()
	n.open[c] = struct{}{}
	n.ended.Opened++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.open, c)
		n.ended.add(c)
	}()
	from := From{Name: identity.Name(tlsState(c)), Addr: netip.MustParseAddrPort(c.RemoteAddr().String())}
	g, ctx := errgroup.WithContext(n.ctx)
	g.Go(func() error {
		for {
			b, err := c.ReceiveDatagram(ctx)
			if err != nil {
				return &closed{err}
			}
			n.receive(from, b)
		}
	})
	g.Go(func() error {
		for {
			s, err := c.AcceptUniStream(ctx)
			if err != nil {
				return &closed{err}
			}
			g.Go(func() error {
				if b, err := io.ReadAll(io.LimitReader(s, MaxAnswer)); err == nil {
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
				return &closed{err}
			}
			g.Go(func() error {
				n.answer(from, s)
				return nil
			})
		}
	})
	_ = g.Wait()
	_ = c.CloseWithError(0, "closed")
	return nil
}

// closed ends the group that reads a connection.
type closed struct{ err error }

func (e *closed) Error() string { return e.err.Error() }
func (e *closed) Unwrap() error { return e.err }

func tlsState(c *quic.Conn) tls.ConnectionState { return c.ConnectionState().TLS }

func (n *Node) receive(from From, b []byte) {
	m, err := n.decode(b)
	if err != nil {
		n.log.Warn("message dropped", "peer", from.Name, "error", err)
		return
	}
	n.handler.Receive(from, m)
}

func (n *Node) answer(from From, s *quic.Stream) {
	defer func() { _ = s.Close() }()
	_ = s.SetDeadline(time.Now().Add(answerTime))
	b, err := io.ReadAll(io.LimitReader(s, MaxAnswer))
	if err != nil {
		return
	}
	m, err := n.decode(b)
	if err != nil {
		n.log.Warn("question dropped", "peer", from.Name, "error", err)
		return
	}
	a := n.handler.Answer(from, m)
	if a == nil {
		return
	}
	out, err := Encode(a, n.clock.Now(time.Now()))
	if err != nil {
		n.log.Error("answer could not be encoded", "peer", from.Name, "error", err)
		return
	}
	if _, err := s.Write(out); err == nil {
		n.sent.Add(1)
		n.bytesOut.Add(uint64(len(out)))
	}
}
