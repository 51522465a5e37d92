package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/timer"
)

// maxDatagram bounds a datagram between daemons, in bytes.
const maxDatagram = 8 << 10

// digest returns what this daemon tells the others.
func (d *Daemon) digest() gossip.Digest {
	out := gossip.Digest{
		Name: d.settings().Name, Boot: d.boot, Caller: d.settings().Caller, Peer: d.settings().Peer,
		DataCentre: d.settings().DataCentre, Cores: d.settings().Cores, Ready: d.ready(), Store: d.storeOK.Load(),
	}
	if c := d.config.Load(); c != nil {
		out.Config = c.Version
	}
	d.dispatch.tell(&out)
	out.Leavers = d.feed.leavers()
	now := time.Now()
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	out.Hub, out.Near = d.members.Hub(now), d.members.Near(now)
	if token, ok := d.vote.Holding(steady()); ok {
		out.Lease, out.Version = d.lead.record(token), d.vote.Version()
	} else if record, version := d.vote.Learnt(); out.Hub && version > 0 {
		out.Lease, out.Version = &record, version
	}
	return out
}

// tell sends digests to the other daemons.
func (d *Daemon) tell(ctx context.Context) {
	var toldFar time.Time
	for {
		now := time.Now()
		d.peersMu.Lock()
		near, far := d.members.Targets(now)
		nearPeriod, farPeriod := d.members.Periods(now)
		holder := d.vote.Holder()
		for _, m := range d.members.All(now) {
			// The holder of the lease has groups looked at that others suspect, and must hear of them soon.
			if m.Name == holder && !slices.Contains(near, m) {
				near = append(near, m)
			}
		}
		d.peersMu.Unlock()
		d.send(near, nearPeriod)
		if now.Sub(toldFar) >= farPeriod {
			toldFar = now
			d.send(far, farPeriod)
		}
		if timer.Wait(ctx, nearPeriod) != nil {
			_ = d.udp.Close() // ends receive
			return
		}
	}
}

// greet tells every daemon that is known of this one.
func (d *Daemon) greet() {
	d.peersMu.Lock()
	all := d.members.All(time.Now())
	d.peersMu.Unlock()
	d.send(all, 0)
}

// send sends a digest to other daemons; they hear the next one after a period.
func (d *Daemon) send(to []*gossip.Member, period time.Duration) {
	if len(to) == 0 {
		return
	}
	digest := d.digest()
	digest.Seq, digest.Every = d.told.Add(1), period
	text := d.encode(kindDigest, digest)
	for _, m := range to {
		d.write(text, m.Peer)
	}
}

// The kinds of datagrams between daemons, told by the first byte.
const (
	kindDigest byte = 'd'
	kindReport byte = 'r'
	kindAnswer byte = 'a'
)

// encode returns a datagram, nil when the message cannot be one.
func (d *Daemon) encode(kind byte, message any) []byte {
	text, err := cbor.Marshal(message)
	if err != nil || len(text) >= maxDatagram {
		d.log.Error("encode datagram", "kind", string(kind), "bytes", len(text), "error", err)
		return nil
	}
	return append([]byte{kind}, text...)
}

// write sends a datagram to another daemon. One that is lost is made good by the next of its kind.
func (d *Daemon) write(text []byte, to netip.AddrPort) {
	if len(text) == 0 || !to.IsValid() {
		return
	}
	if _, err := d.udp.WriteToUDPAddrPort(text, to); err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Debug("tell another daemon", "peer", to, "error", err)
	}
}

// receive takes the datagrams of other daemons.
func (d *Daemon) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := d.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			d.log.Warn("receive from other daemons", "error", err)
			if timer.Wait(ctx, retryFirst) != nil {
				return
			}
			continue
		}
		if err := d.take(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())); err != nil {
			d.log.Warn("datagram left out", "peer", from, "error", err)
		}
	}
}

// KindError reports a datagram of a kind that this version does not know.
type KindError struct{ Kind byte }

func (e *KindError) Error() string { return fmt.Sprintf("datagram of kind %q", e.Kind) }

// take takes one datagram.
func (d *Daemon) take(b []byte, from netip.AddrPort) error {
	if len(b) == 0 {
		return &KindError{}
	}
	switch b[0] {
	case kindDigest:
		m, err := gossip.Decode(b[1:])
		if err != nil {
			return err
		}
		d.hear(m)
	case kindReport:
		r, err := schedule.DecodeReport(b[1:])
		if err != nil {
			return err
		}
		d.dispatch.hearReport(r, from)
	case kindAnswer:
		a, err := schedule.DecodeAnswer(b[1:])
		if err != nil {
			return err
		}
		d.dispatch.hearAnswer(a)
	default:
		return &KindError{b[0]}
	}
	return nil
}

func (d *Daemon) hear(m gossip.Digest) {
	d.peersMu.Lock()
	isNew := d.members.Hear(time.Now(), m)
	if m.Lease != nil {
		d.vote.Learn(steady(), *m.Lease, m.Version)
	}
	d.peersMu.Unlock()
	if isNew {
		d.log.Info("daemon", "name", m.Name, "peer", m.Peer, "boot", m.Boot)
	}
	for _, l := range m.Leavers {
		d.feed.leave(l, m.Name)
	}
	for _, key := range m.Closed {
		d.dispatch.end(key, false)
	}
	// The scheduler hears of suspects by reports and weighs them; here they only have the holder of the lease look.
	for _, key := range m.Suspects {
		d.lead.suspect(key)
	}
}
