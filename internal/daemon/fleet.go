package daemon

import (
	"context"
	"time"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/platform"
)

// Accept makes a release note the configuration of the fleet.
func (d *Daemon) Accept(ctx context.Context, op string, text []byte) (uint64, error) {
	return d.config.Accept(ctx, op, text)
}

// Head returns the configuration that was accepted last.
func (d *Daemon) Head(ctx context.Context) (note.Config, platform.Row, error) {
	return d.config.Head(ctx)
}

// History returns the accepted notes.
func (d *Daemon) History(ctx context.Context) ([]config.Past, error) { return d.config.History(ctx) }

// Status returns the state of the fleet as this daemon sees it.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{Daemon: d.set.Name, Leaving: d.entry().Leaving, Daemons: d.registry.All(time.Now())}
	s.Received, s.Applied = d.config.Numbers()
	for i := range s.Daemons {
		if s.Daemons[i].Name == d.set.Name {
			s.Daemons[i].Operator, s.Daemons[i].Leaving, s.Daemons[i].Revision = d.set.Operator, s.Leaving, s.Applied
		}
	}
	return s
}

// Events returns this daemon's events from a sequence number on.
func (d *Daemon) Events(since uint64) operator.Events {
	events, next, lost := d.line.Since(since)
	return operator.Events{Daemon: d.set.Name, Events: events, Next: next, Lost: lost}
}

// Drain makes the daemon leave: other daemons no longer name it to callers, and it takes no new duties.
func (d *Daemon) Drain() {
	d.mu.Lock()
	was := d.self.Leaving
	d.self.Leaving = true
	d.mu.Unlock()
	if was {
		return
	}
	d.callers.Drain()
	hello := d.hello()
	for _, to := range d.others() {
		d.node.Send(to, &hello)
	}
}
