package daemon

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/control"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// daemonRowPrefix is the key prefix of the rows in which daemons publish their addresses.
const daemonRowPrefix = "daemon/"

const (
	// rowsPeriod is how often a daemon reads the rows of the others. With 370 daemons this is 37 reads/s of the table
	// service, nearly all of which are answered as not modified.
	rowsPeriod = 10 * time.Second
	// rowsStartPeriod is the period of these reads until the daemon knows as many daemons as its settings name, so that the
	// daemons of a fleet that starts all at once find each other quickly. It applies for at most rowsStartLimit, because
	// the settings may name daemons that no longer exist.
	rowsStartPeriod = 500 * time.Millisecond
	rowsStartLimit  = time.Minute
	// forgetAfter is how long a daemon that has disappeared from the platform's list is remembered. The list lags and can
	// be wrong for a while; a daemon that comes back writes its row again.
	forgetAfter = 10 * time.Minute
)

// syncDaemonRows writes the daemon's own row and reads the rows of the others. It rewrites its own row if that is missing
// or differs.
func (d *Daemon) syncDaemonRows(ctx context.Context) error {
	period, start := rowsStartPeriod, time.Now()
	for {
		if err := d.syncDaemonRowsOnce(ctx); err != nil {
			if ctx.Err() == nil {
				d.log.Debug("failed to read daemons from the table service", "error", err)
			}
		} else if others := len(d.registry.All(time.Now())) - 1; others >= len(d.settings.Peers)-1 || time.Since(start) > rowsStartLimit {
			period = rowsPeriod
		}
		if err := waitJittered(ctx, period, 0.3); err != nil {
			return nil
		}
	}
}

// waitJittered waits for period, shortened by a random fraction of up to jitter.
func waitJittered(ctx context.Context, period time.Duration, jitter float64) error {
	return timer.Wait(ctx, time.Duration(float64(period)*(1-jitter*rand.Float64())))
}

func (d *Daemon) syncDaemonRowsOnce(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rows, err := d.platform.Scan(ctx, daemonRowPrefix)
	if err != nil {
		return err
	}
	d.tableAnswered.Store(true)
	var own platform.Row
	for _, r := range rows {
		var e registry.Entry
		if json.Unmarshal(r.Value, &e) != nil {
			continue
		}
		if e.Name == d.settings.Name {
			own = r
			continue
		}
		d.registry.Update(e)
	}
	if err := d.removeDeparted(ctx, rows); err != nil {
		return err
	}
	self := d.selfEntry()
	body, err := json.Marshal(self)
	if err != nil {
		return err
	}
	if string(own.Value) == string(body) {
		return nil
	}
	_, err = d.platform.Commit(ctx, platform.Txn{
		OperationID: self.Name + "/" + time.Now().UTC().Format(time.RFC3339Nano),
		Writes:      []platform.Write{{Key: daemonRowPrefix + self.Name, Value: body}},
	})
	return err
}

// removeDeparted removes daemons that disappeared from the platform's list more than forgetAfter ago. One of the live
// daemons also deletes their rows.
func (d *Daemon) removeDeparted(ctx context.Context, rows []platform.Row) error {
	now := time.Now()
	gone := d.registry.RemoveAbsent(now, forgetAfter)
	if len(gone) == 0 || member.Home(daemonRowPrefix, d.registry.Live(now)) != d.settings.Name {
		return nil
	}
	t := platform.Txn{OperationID: d.settings.Name + "/forget/" + now.UTC().Format(time.RFC3339Nano)}
	for _, r := range rows {
		if slices.Contains(gone, strings.TrimPrefix(r.Key, daemonRowPrefix)) {
			t.Checks = append(t.Checks, platform.Check{Key: r.Key, Version: r.Version})
			t.Writes = append(t.Writes, platform.Write{Key: r.Key, Delete: true})
		}
	}
	if len(t.Writes) == 0 {
		return nil
	}
	_, err := d.platform.Commit(ctx, t)
	return err
}

// selfEntry returns the current entry under which other daemons know this one.
func (d *Daemon) selfEntry() registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

func (d *Daemon) helloMessage() peer.Hello {
	e := d.selfEntry()
	return peer.Hello{Boot: e.Boot, DataCentre: e.DataCentre, Addr: e.CallerAddr, Operator: e.OperatorAddr, Leaving: e.Leaving}
}

// helloPeerCount is the number of daemons from which the receiver of each periodic hello message is picked.
const helloPeerCount = 4

// helloPeers returns a subset of what otherPeers returns. The subset is stable while the set of daemons is: opening a
// connection costs about 100 times the bytes of a hello, and 370 daemons could not keep connections to each other.
func (d *Daemon) helloPeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range member.RendezvousOrder("hello/"+d.settings.Name, d.registry.Live(time.Now())) {
		if e, ok := d.registry.Entry(name); ok && name != d.settings.Name && e.PeerAddr.IsValid() {
			list = append(list, e.PeerAddr)
		}
		if len(list) == helloPeerCount {
			break
		}
	}
	if len(list) == 0 {
		return d.otherPeers()
	}
	return list
}

// otherPeers returns the peer addresses of the other daemons: those known to be live or, before any is known, those named
// in the settings.
func (d *Daemon) otherPeers() []netip.AddrPort {
	if list := d.registry.LivePeerAddrs(time.Now()); len(list) > 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(d.settings.Peers), func(a netip.AddrPort) bool { return a == d.settings.Peer })
}

// peerAddr returns the peer address of a daemon.
func (d *Daemon) peerAddr(name string) (netip.AddrPort, bool) {
	e, ok := d.registry.Entry(name)
	return e.PeerAddr, ok && e.PeerAddr.IsValid()
}

// forwardDemands forwards demands for slots to the daemons that they name. A demand addressed to a daemon other than the
// home of the group means that the home did not answer.
func (d *Daemon) forwardDemands(list []share.Report) {
	daemons := d.Daemons()
	for _, r := range list {
		if home := d.homeOf(r.Demand.Group, daemons); home != r.To {
			d.suspects.add(home)
		}
	}
	d.loan.SendDemands(list)
}

// misdirected handles a demand from another daemon for a group whose home is not this daemon: the sender found the home
// unresponsive.
func (d *Daemon) misdirected(group string) {
	if home := d.homeOf(group, d.Daemons()); home != d.settings.Name {
		d.suspects.add(home)
	}
}

// suspects is the queue of daemons that seem unresponsive and have to be probed.
type suspects struct {
	mu      sync.Mutex
	pending map[string]bool
	names   *ring.Queue[string]
}

func newSuspects() *suspects {
	return &suspects{pending: map[string]bool{}, names: ring.NewQueue[string](64)}
}

// add queues a probe of a daemon, unless one is pending already.
func (q *suspects) add(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.pending[name] && q.names.Offer(name) {
		q.pending[name] = true
	}
}

func (q *suspects) done(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, name)
}

// suspectTimeout is how long a daemon may take to answer a probe before it counts as unresponsive.
const suspectTimeout = 500 * time.Millisecond

// checkSuspects probes daemons that seem unresponsive. If one does not answer, its connection is reset and it is probed
// again, because the connection may be dead rather than the daemon. One that still does not answer is suspected for a
// while, and the next daemon in order takes over its work.
func (d *Daemon) checkSuspects(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case name := <-d.suspects.names.C():
			g.Go(func() error {
				defer d.suspects.done(name)
				d.checkDaemon(ctx, name)
				return nil
			})
		}
	}
}

func (d *Daemon) checkDaemon(ctx context.Context, name string) {
	addr, ok := d.peerAddr(name)
	if !ok || name == d.settings.Name {
		return
	}
	ask := func() error {
		ctx, stop := context.WithTimeout(ctx, suspectTimeout)
		defer stop()
		_, err := d.node.Ask(ctx, addr, &peer.PullRevision{Have: math.MaxUint64})
		return err
	}
	if ask() == nil {
		d.registry.RecordMessage(name, 0)
		return
	}
	d.node.Reset(addr)
	err := ask()
	if err == nil {
		d.registry.RecordMessage(name, 0)
		return
	}
	if ctx.Err() == nil && d.registry.MarkSuspect(name, time.Now()) {
		d.log.Warn("daemon does not answer; its duties pass on", "daemon", name, "error", err)
		d.timeline.Add(timeline.Event{Kind: timeline.PeerChanged, Instance: name, Reason: "does not answer"})
		d.notifyChange()
	}
}

// notifyMemberLost tells the daemons that may hold the lease of a service that a group lost a member, so that they need
// not wait for the next read of the home's report. The lender tells the borrowers.
func (d *Daemon) notifyMemberLost(v control.View, instance string) {
	for _, name := range control.LeaseCandidates(v.Service, d.Daemons()) {
		if addr, ok := d.peerAddr(name); ok && name != d.settings.Name {
			d.node.Send(addr, &peer.Withdrawal{Group: v.Group, Generation: v.Generation, Instance: instance})
		}
	}
}

// Receive handles a message from another daemon.
func (d *Daemon) Receive(from peer.Sender, m peer.Message) {
	if gone, ok := m.(*peer.Withdrawal); ok && gone.Instance != "" {
		d.control.ReportMissing(gone.Group, gone.Generation, gone.Instance)
	}
	if d.loan.HandleMessage(from, m) {
		d.registry.RecordMessage(from.Name, 0)
		return
	}
	if h, ok := m.(*peer.Hello); ok {
		d.registry.Update(registry.Entry{Name: from.Name, PeerAddr: from.Addr, CallerAddr: h.Addr, OperatorAddr: h.Operator, DataCentre: h.DataCentre, Boot: h.Boot, Leaving: h.Leaving})
		d.registry.RecordMessage(from.Name, h.Revision)
	}
	d.config.Receive(from, m)
}

// Answer returns the reply to a request from another daemon, or nil if there is none.
func (d *Daemon) Answer(_ peer.Sender, m peer.Message) peer.Message {
	switch m := m.(type) {
	case *peer.PullRevision:
		return d.config.HandlePull(m)
	case *peer.Timeline:
		events, next, lost := d.timeline.Since(m.Since)
		return &peer.Timeline{Events: events, Next: next, Lost: lost}
	}
	return nil
}
