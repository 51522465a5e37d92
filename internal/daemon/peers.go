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

// prefixDaemon is the prefix of the rows in which daemons tell where they are.
const prefixDaemon = "daemon/"

const (
	// registerPeriod is how often a daemon reads the others' rows. At 370 daemons this is 37 reads/s of the table, nearly
	// all answered as not modified.
	registerPeriod = 10 * time.Second
	// registerFirst is how often it reads until it knows as many daemons as its settings name, for at most registerTry: a
	// fleet that starts together finds itself soon, and settings may name daemons that are gone.
	registerFirst = 500 * time.Millisecond
	registerTry   = time.Minute
	// forgetAfter is how long a daemon that has left the platform's list is remembered. The list lags and can be wrong for
	// a while; a daemon that comes back writes its row again.
	forgetAfter = 10 * time.Minute
)

// register writes the daemon's own row and reads the others'. The row is written again when it is lost or differs.
func (d *Daemon) register(ctx context.Context) error {
	period, start := registerFirst, time.Now()
	for {
		if err := d.registerOnce(ctx); err != nil {
			if ctx.Err() == nil {
				d.log.Debug("daemons could not be read from the table", "error", err)
			}
		} else if others := len(d.registry.All(time.Now())) - 1; others >= len(d.set.Peers)-1 || time.Since(start) > registerTry {
			period = registerPeriod
		}
		if err := wait(ctx, period, 0.3); err != nil {
			return nil
		}
	}
}

// wait waits for a period with jitter.
func wait(ctx context.Context, period time.Duration, jitter float64) error {
	return timer.Wait(ctx, time.Duration(float64(period)*(1-jitter*rand.Float64())))
}

func (d *Daemon) registerOnce(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rows, err := d.platform.Scan(ctx, prefixDaemon)
	if err != nil {
		return err
	}
	d.answered.Store(true)
	var own platform.Row
	for _, r := range rows {
		var e registry.Entry
		if json.Unmarshal(r.Value, &e) != nil {
			continue
		}
		if e.Name == d.set.Name {
			own = r
			continue
		}
		d.registry.Update(e)
	}
	if err := d.forget(ctx, rows); err != nil {
		return err
	}
	self := d.entry()
	body, err := json.Marshal(self)
	if err != nil {
		return err
	}
	if string(own.Value) == string(body) {
		return nil
	}
	_, err = d.platform.Commit(ctx, platform.Txn{
		Op:     self.Name + "/" + time.Now().UTC().Format(time.RFC3339Nano),
		Writes: []platform.Write{{Key: prefixDaemon + self.Name, Value: body}},
	})
	return err
}

// forget drops daemons that left the platform's list long ago. One of the live daemons also deletes their rows.
func (d *Daemon) forget(ctx context.Context, rows []platform.Row) error {
	now := time.Now()
	gone := d.registry.RemoveAbsent(now, forgetAfter)
	if len(gone) == 0 || member.Home(prefixDaemon, d.registry.Live(now)) != d.set.Name {
		return nil
	}
	t := platform.Txn{Op: d.set.Name + "/forget/" + now.UTC().Format(time.RFC3339Nano)}
	for _, r := range rows {
		if slices.Contains(gone, strings.TrimPrefix(r.Key, prefixDaemon)) {
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

// entry is how other daemons know this one now.
func (d *Daemon) entry() registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

func (d *Daemon) hello() peer.Hello {
	e := d.entry()
	return peer.Hello{Boot: e.Boot, DataCentre: e.DataCentre, Addr: e.CallerAddr, Operator: e.OperatorAddr, Leaving: e.Leaving}
}

// partners is to how many daemons a daemon says hello in turn.
const partners = 4

// partners returns some of the daemons that others returns, the same ones while the daemons stay the same: opening a
// connection costs about 100 times the bytes of a hello, and 370 daemons could not keep connections to each other.
func (d *Daemon) partners() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range member.RendezvousOrder("hello/"+d.set.Name, d.registry.Live(time.Now())) {
		if e, ok := d.registry.Entry(name); ok && name != d.set.Name && e.PeerAddr.IsValid() {
			list = append(list, e.PeerAddr)
		}
		if len(list) == partners {
			break
		}
	}
	if len(list) == 0 {
		return d.others()
	}
	return list
}

// others returns where other daemons can be reached: those that are known to be live, or, before any is known, the
// ones that the settings name.
func (d *Daemon) others() []netip.AddrPort {
	if list := d.registry.LivePeerAddrs(time.Now()); len(list) > 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(d.set.Peers), func(a netip.AddrPort) bool { return a == d.set.Peer })
}

// peerAddr returns where a daemon can be reached.
func (d *Daemon) peerAddr(name string) (netip.AddrPort, bool) {
	e, ok := d.registry.Entry(name)
	return e.PeerAddr, ok && e.PeerAddr.IsValid()
}

// report passes demands on to the daemons that they name. A demand that goes to another daemon than the group's home
// means that the home did not answer.
func (d *Daemon) report(list []share.Report) {
	daemons := d.Daemons()
	for _, r := range list {
		if home := d.home(r.Demand.Group, daemons); home != r.To {
			d.suspects.add(home)
		}
	}
	d.loan.SendDemands(list)
}

// misdirected takes in that another daemon asks this one for a group whose home is elsewhere: it found that home silent.
func (d *Daemon) misdirected(group string) {
	if home := d.home(group, d.Daemons()); home != d.set.Name {
		d.suspects.add(home)
	}
}

// suspects holds the names of daemons that seem silent and have to be asked.
type suspects struct {
	mu      sync.Mutex
	pending map[string]bool
	names   *ring.Queue[string]
}

func newSuspects() *suspects {
	return &suspects{pending: map[string]bool{}, names: ring.NewQueue[string](64)}
}

// add asks for a check of a daemon, unless one is under way.
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

// answerLimit is how long a daemon may take to answer before it counts as silent.
const answerLimit = 500 * time.Millisecond

// checkSuspects asks daemons that seem silent. One that does not answer is suspect for a while: its duties pass on to the
// next in order. Its connection is reset, because it may be the connection that is dead and not the daemon.
func (d *Daemon) checkSuspects(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case name := <-d.suspects.names.C():
			g.Go(func() error {
				defer d.suspects.done(name)
				d.check(ctx, name)
				return nil
			})
		}
	}
}

func (d *Daemon) check(ctx context.Context, name string) {
	addr, ok := d.peerAddr(name)
	if !ok || name == d.set.Name {
		return
	}
	ask := func() error {
		ctx, stop := context.WithTimeout(ctx, answerLimit)
		defer stop()
		_, err := d.node.Ask(ctx, addr, &peer.Pull{Have: math.MaxUint64})
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
		d.line.Add(timeline.Event{Kind: timeline.Peer, Instance: name, Reason: "does not answer"})
		d.changed()
	}
}

// lost tells the daemons that may hold the lease of a service that a group lost a member, so that they need not wait for
// the next read of the home's report. The borrowers are told by the lender.
func (d *Daemon) lost(v control.View, instance string) {
	for _, name := range control.LeaseOrder(v.Service, d.Daemons()) {
		if addr, ok := d.peerAddr(name); ok && name != d.set.Name {
			d.node.Send(addr, &peer.Gone{Group: v.Group, Generation: v.Generation, Instance: instance})
		}
	}
}

// Receive takes in a message of another daemon.
func (d *Daemon) Receive(from peer.From, m peer.Message) {
	if gone, ok := m.(*peer.Gone); ok && gone.Instance != "" {
		d.control.Report(gone.Group, gone.Generation, gone.Instance)
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

// Answer answers a question of another daemon.
func (d *Daemon) Answer(_ peer.From, m peer.Message) peer.Message {
	switch m := m.(type) {
	case *peer.Pull:
		return d.config.Answer(m)
	case *peer.Tell:
		events, next, lost := d.line.Since(m.Since)
		return &peer.Tell{Events: events, Next: next, Lost: lost}
	}
	return nil
}
