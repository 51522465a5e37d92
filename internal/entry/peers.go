package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/era"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/netopt"
	"flamingorudder.example/internal/schedule"
	"flamingorudder.example/internal/timer"
)

// maxDatagram is the maximum size of a datagram between daemons, in bytes.
const maxDatagram = 8 << 10

// digest returns the state that this daemon sends to its peers.
func (d *Daemon) digest() gossip.Digest {
	out := gossip.Digest{
		Name: d.settings().Name, Boot: d.boot, CallerAddr: d.settings().Caller, PeerAddr: d.settings().Peer,
		DataCentre: d.settings().DataCentre, Cores: d.settings().Cores, Ready: d.ready(), StoreUp: d.storeOK.Load(), Collects: true, Relays: true, LimitsCold: true, Unreachable: d.paths.lostServices(),
	}
	out.Region = d.settings().Region
	out.Uptime = max(time.Since(d.feed.started), 1)
	if c := d.config.Load(); c != nil {
		out.ConfigVersion = c.Version
	}
	d.dispatch.fillDigest(&out)
	out.Limits = d.limits.Advertised(time.Now())
	out.Quarantined = d.quarantine.advertised(time.Now())
	out.LeavingServers = d.feed.leavers()
	out.Evacuations = d.feed.evacuationState(time.Now(), true)
	now := time.Now()
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	out.Hub, out.LiveInDataCentre = d.members.Hub(now), d.members.LiveInDataCentre(now)
	if token, ok := d.election.Holding(leaseClock()); ok {
		position := d.election.Position()
		out.Lease, out.LeaseVersion, out.LeaseEra = d.leader.record(token), position.Version, position.Era
	} else if record, position := d.election.LastRecord(); out.Hub && position.Version > 0 {
		out.Lease, out.LeaseVersion, out.LeaseEra = &record, position.Version, position.Era
	}
	return out
}

// sendDigests sends digests to the peers periodically until ctx ends.
func (d *Daemon) sendDigests(ctx context.Context) {
	var lastFar time.Time
	for {
		now := time.Now()
		d.peersMu.Lock()
		near, far := d.members.Targets(now)
		nearPeriod, farPeriod := d.members.Periods(now)
		holder := d.election.Holder()
		for _, m := range d.members.All(now) {
			// The leader checks the groups that other daemons suspect, so it has to learn of suspicions quickly.
			if m.Name == holder && !slices.Contains(near, m) {
				near = append(near, m)
			}
		}
		d.peersMu.Unlock()
		d.sendDigest(near, nearPeriod)
		if now.Sub(lastFar) >= farPeriod {
			lastFar = now
			d.sendDigest(far, farPeriod)
		}
		if timer.Wait(ctx, nearPeriod) != nil {
			_ = d.udp.Close() // makes receive return
			return
		}
	}
}

// announce sends a digest to all known peers.
func (d *Daemon) announce() {
	d.peersMu.Lock()
	all := d.members.All(time.Now())
	d.peersMu.Unlock()
	d.sendDigest(all, 0)
}

// sendDigest sends a digest to peers. period is when they can expect the next one.
func (d *Daemon) sendDigest(to []*gossip.Peer, period time.Duration) {
	if len(to) == 0 {
		return
	}
	digest := d.digest()
	digest.Seq, digest.Interval = d.digestSeq.Add(1), period
	text := d.encode(kindDigest, digest)
	for _, m := range to {
		d.sendDatagram(text, m.PeerAddr)
	}
}

// Kinds of datagrams, given by the first byte.
const (
	kindDigest byte = 'd'
	kindReport byte = 'r'
	kindAnswer byte = 'a'
)

// encode encodes a datagram. It returns nil if the message cannot be encoded or is too large.
func (d *Daemon) encode(kind byte, message any) []byte {
	text, err := cbor.Marshal(message)
	if err != nil || len(text) >= maxDatagram {
		d.log.Error("cannot encode a datagram", "kind", string(kind), "bytes", len(text), "error", err)
		return nil
	}
	return append([]byte{kind}, text...)
}

// sendDatagram sends a datagram to a peer. A lost datagram needs no retry: the next of its kind replaces it.
func (d *Daemon) sendDatagram(text []byte, to netip.AddrPort) {
	if len(text) == 0 || !to.IsValid() {
		return
	}
	if _, err := d.udp.WriteToUDPAddrPort(text, to); err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Debug("cannot send a datagram to a peer", "peer", to, "error", err)
	}
}

// maxDatagramAge is the pause of this process after which datagrams in its socket are not read. They may be from daemons that have gone
// meanwhile, which would count as live, and be listed to callers, from then on.
const maxDatagramAge = time.Second

// receive handles datagrams of peers until the socket is closed.
func (d *Daemon) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := d.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			d.log.Warn("cannot receive datagrams from peers", "error", err)
			if timer.Wait(ctx, firstBackoff) != nil {
				return
			}
			continue
		}
		d.observeRunning()
		if d.continuity.stale.Swap(false) {
			dropped, err := netopt.Discard(d.udp)
			d.log.Warn("datagrams from before a pause of the process dropped", "datagrams", dropped+1, "error", err)
			continue
		}
		if err := d.handleDatagram(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())); err != nil {
			d.log.Warn("invalid datagram ignored", "peer", from, "error", err)
		}
	}
}

// UnknownKindError reports a datagram of a kind that is unknown to this version.
type UnknownKindError struct{ Kind byte }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of datagram %q", e.Kind) }

// handleDatagram decodes and handles one datagram.
func (d *Daemon) handleDatagram(b []byte, from netip.AddrPort) error {
	if len(b) == 0 {
		return &UnknownKindError{}
	}
	switch b[0] {
	case kindDigest:
		m, err := gossip.Decode(b[1:])
		if err != nil {
			return err
		}
		d.handleDigest(m)
	case kindReport:
		r, err := schedule.DecodeReport(b[1:])
		if err != nil {
			return err
		}
		d.dispatch.handleReport(r, from)
	case kindAnswer:
		a, err := schedule.DecodeAnswer(b[1:])
		if err != nil {
			return err
		}
		d.dispatch.handleReply(a)
	default:
		return &UnknownKindError{b[0]}
	}
	return nil
}

func (d *Daemon) handleDigest(m gossip.Digest) {
	d.peersMu.Lock()
	isNew := d.members.Receive(time.Now(), m)
	if m.Lease != nil {
		d.election.Observe(leaseClock(), *m.Lease, era.Position{Era: m.LeaseEra, Version: m.LeaseVersion})
	}
	d.peersMu.Unlock()
	if isNew {
		d.log.Info("daemon", "name", m.Name, "peer", m.PeerAddr, "boot", m.Boot)
		d.dispatch.targetRestarted(m.Name)
	}
	// Rows of daemons are not looked at: one from before a change of the settings could outlast it at all daemons that read it first.
	d.learnRegion(m.DataCentre, m.Region, m.Name)
	d.helpStart(m)
	for _, l := range m.LeavingServers {
		d.feed.markLeaving(l, m.Name)
	}
	for _, n := range m.Limits {
		d.limits.Observe(time.Now(), n, false, rand.Float64)
	}
	d.feed.mergeDigest(m.Evacuations, m.Name)
	d.addQuarantined(m.Quarantined, m.Name)
	if len(m.Suspicions) > 0 {
		d.dispatch.mu.Lock()
		d.dispatch.reportAnswers(time.Now(), m.Suspicions)
		d.dispatch.mu.Unlock()
	}
	for _, key := range m.ClosedGroups {
		d.dispatch.excludeClosed(key, false)
	}
	// Schedulers learn of suspected groups from reports and weigh them. A suspicion in a digest only makes the leader check
	// the group.
	for _, key := range m.SuspectGroups {
		d.leader.suspect(key)
	}
}
