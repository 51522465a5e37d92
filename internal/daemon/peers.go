package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/timer"
)

// prefixDaemon is the prefix of the rows in which daemons tell where they are.
const prefixDaemon = "daemon/"

const (
	// registerPeriod is how often a daemon reads the others' rows. At 370 daemons this is 37 reads/s of the table.
	registerPeriod = 10 * time.Second
	// registerFirst is how often it tries until the first read has succeeded.
	registerFirst = 500 * time.Millisecond
)

// register writes the daemon's own row and reads the others'. The row is written again when it is lost or differs.
func (d *Daemon) register(ctx context.Context) error {
	period := registerFirst
	for {
		if err := d.registerOnce(ctx); err != nil {
			if ctx.Err() == nil {
				d.log.Debug("daemons could not be read from the table", "error", err)
			}
		} else if others := len(d.registry.All(time.Now())) - 1; others >= len(d.set.Peers)-1 {
			period = registerPeriod
		}
		if err := wait(ctx, period); err != nil {
			return nil
		}
	}
}

// wait waits for a period with jitter.
func wait(ctx context.Context, period time.Duration) error {
	tick, stop := timer.Every(period, 0.3)
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick:
		return nil
	}
}

func (d *Daemon) registerOnce(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rows, err := d.platform.Scan(ctx, prefixDaemon)
	if err != nil {
		return err
	}
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
		d.registry.Learn(e)
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

// entry is how other daemons know this one now.
func (d *Daemon) entry() registry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

func (d *Daemon) hello() peer.Hello {
	e := d.entry()
	return peer.Hello{Boot: e.Boot, DataCentre: e.DataCentre, Addr: e.Caller, Leaving: e.Leaving}
}

// others returns where other daemons can be reached: those that are known to be live, or, before any is known, the
// ones that the settings name.
func (d *Daemon) others() []netip.AddrPort {
	if list := d.registry.Others(time.Now()); len(list) > 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(d.set.Peers), func(a netip.AddrPort) bool { return a == d.set.Peer })
}

// Receive takes in a message of another daemon.
func (d *Daemon) Receive(from peer.From, m peer.Message) {
	if h, ok := m.(*peer.Hello); ok {
		d.registry.Learn(registry.Entry{Name: from.Name, Peer: from.Addr, Caller: h.Addr, DataCentre: h.DataCentre, Boot: h.Boot, Leaving: h.Leaving})
		d.registry.Heard(from.Name, h.Revision)
	}
	d.keeper.Receive(from, m)
}

// Answer answers a question of another daemon.
func (d *Daemon) Answer(_ peer.From, m peer.Message) peer.Message {
	switch m := m.(type) {
	case *peer.Pull:
		return d.keeper.Answer(m)
	case *peer.Tell:
		events, next, lost := d.line.Since(m.Since)
		return &peer.Tell{Events: events, Next: next, Lost: lost}
	}
	return nil
}
