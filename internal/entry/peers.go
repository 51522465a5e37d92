package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/timer"
)

// maxDatagram is more than any digest.
const maxDatagram = 4096

// digest returns what this daemon tells the others.
func (d *Daemon) digest() gossip.Digest {
	out := gossip.Digest{
		Name: d.settings().Name, Boot: d.boot, Caller: d.settings().Caller, Peer: d.settings().Peer,
		DataCentre: d.settings().DataCentre, Ready: d.ready(), Store: d.storeOK.Load(),
	}
	if c := d.config.Load(); c != nil {
		out.Config = c.Version
	}
	d.dispatch.tell(&out)
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	if token, ok := d.vote.Holding(steady()); ok {
		out.Lease, out.Version = d.lead.record(token), d.vote.Version()
	}
	return out
}

// unheard is how many seconds of the work of one daemon stand for that of all between two digests. live counts the others.
func (d *Daemon) unheard(live int) float64 {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	return float64(live+1) * d.members.Period().Seconds()
}

// tell sends digests to the other daemons.
func (d *Daemon) tell(ctx context.Context) {
	seq := uint64(0)
	for {
		d.peersMu.Lock()
		period := d.members.Period()
		all := d.members.All(time.Now())
		d.peersMu.Unlock()
		if len(all) > 0 {
			digest := d.digest()
			seq++
			digest.Seq = seq
			text, err := gossip.Encode(digest)
			if err != nil {
				d.log.Error("tell other daemons", "error", err)
			}
			for _, m := range all {
				if _, err := d.udp.WriteToUDPAddrPort(text, m.Peer); err != nil && ctx.Err() == nil {
					d.log.Debug("tell another daemon", "name", m.Name, "error", err)
				}
			}
		}
		if timer.Wait(ctx, period) != nil {
			_ = d.udp.Close() // ends receive
			return
		}
	}
}

// receive takes the digests of other daemons.
func (d *Daemon) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := d.udp.ReadFromUDPAddrPort(b)
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
		m, err := gossip.Decode(b[:n])
		if err != nil {
			d.log.Warn("datagram left out", "error", err)
			continue
		}
		d.hear(m)
	}
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
	for _, key := range m.Closed {
		d.dispatch.end(key, false)
	}
	if len(m.Suspects) > 0 {
		d.dispatch.hear(m.Suspects)
		for _, key := range m.Suspects {
			d.lead.suspect(key)
		}
	}
}
