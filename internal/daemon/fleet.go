package daemon

import (
	"context"
	"time"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/traffic"
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
			s.Daemons[i].OperatorAddr, s.Daemons[i].Leaving, s.Daemons[i].Revision = d.set.Operator, s.Leaving, s.Applied
		}
	}
	d.groupStatus(&s)
	return s
}

// groupStatus compares the groups with the configuration and with the platform's list.
func (d *Daemon) groupStatus(s *operator.Status) {
	cfg, _ := d.config.Config()
	s.Missing, s.Stranded = map[string]int{}, map[string]int{}
	for name, m := range cfg.Models {
		s.Missing[name] = m.Copies
	}
	serving := map[string]bool{}
	for _, g := range d.control.Groups() {
		s.Groups = append(s.Groups, operator.Group{
			Service: g.Service, Group: g.Group, Generation: g.Generation, State: string(g.Phase), DataCentre: g.DataCentre,
			Domain: g.Domain, Members: g.Members, Present: g.Present,
		})
		if g.Phase != group.Serving {
			continue
		}
		if s.Missing[g.Service] > 0 {
			s.Missing[g.Service]--
		}
		for _, m := range g.Members {
			serving[m] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.roster.Instances {
		if i.Kind == platform.KindEngine && !serving[i.ID] {
			s.Stranded[i.Domain] += i.Accelerators
		}
	}
}

// Traffic is what a daemon has exchanged since it started.
type Traffic struct {
	Peer peer.Stats
	// Platform and Engine hold the bytes of HTTP connections; those to engines include the streams of requests.
	Platform, Engine traffic.Stats
	// EngineCalls counts the calls to engines other than streams.
	EngineCalls uint64
}

// Traffic returns what the daemon has exchanged so far.
func (d *Daemon) Traffic() Traffic {
	t := Traffic{Peer: d.node.Stats(), Platform: d.platform.Traffic()}
	t.Engine, t.EngineCalls = d.engine.Traffic()
	return t
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
