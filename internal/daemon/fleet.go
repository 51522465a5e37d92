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

// Accept applies a release note to the fleet's configuration and returns the new revision number.
func (d *Daemon) Accept(ctx context.Context, op string, text []byte) (uint64, error) {
	return d.config.Accept(ctx, op, text)
}

// Head returns the most recently accepted configuration and its row.
func (d *Daemon) Head(ctx context.Context) (note.Config, platform.Row, error) {
	return d.config.Head(ctx)
}

// History returns the accepted release notes, oldest first.
func (d *Daemon) History(ctx context.Context) ([]config.HistoryEntry, error) {
	return d.config.History(ctx)
}

// Status returns the state of the fleet as this daemon sees it.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{Daemon: d.settings.Name, Leaving: d.selfEntry().Leaving, Daemons: d.registry.All(time.Now())}
	s.ReceivedRevision, s.AppliedRevision = d.config.RevisionNumbers()
	for i := range s.Daemons {
		if s.Daemons[i].Name == d.settings.Name {
			s.Daemons[i].OperatorAddr, s.Daemons[i].Leaving, s.Daemons[i].Revision = d.settings.Operator, s.Leaving, s.AppliedRevision
		}
	}
	d.groupStatus(&s)
	return s
}

// groupStatus adds the groups to s, with the copies that the configuration demands but no group serves and the
// accelerators of instances that are in no serving group.
func (d *Daemon) groupStatus(s *operator.Status) {
	cfg, _ := d.config.Config()
	s.MissingCopies, s.StrandedAccelerators = map[string]int{}, map[string]int{}
	for name, m := range cfg.ModelServices {
		s.MissingCopies[name] = m.Copies
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
		if s.MissingCopies[g.Service] > 0 {
			s.MissingCopies[g.Service]--
		}
		for _, m := range g.Members {
			serving[m] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.roster.Instances {
		if i.Kind == platform.KindEngine && !serving[i.ID] {
			s.StrandedAccelerators[i.Domain] += i.Accelerators
		}
	}
}

// Traffic counts what a daemon has sent and received since it started.
type Traffic struct {
	Peer peer.Stats
	// Platform and Engine count the bytes of HTTP connections; those to engines include the streams of requests.
	Platform, Engine traffic.Stats
	// EngineCalls counts the calls to engines other than streams.
	EngineCalls uint64
}

// Traffic returns the traffic counters since the daemon started.
func (d *Daemon) Traffic() Traffic {
	t := Traffic{Peer: d.node.Stats(), Platform: d.platform.Traffic()}
	t.Engine, t.EngineCalls = d.engine.Traffic()
	return t
}

// Events returns this daemon's timeline events from a sequence number on.
func (d *Daemon) Events(since uint64) operator.Events {
	events, next, lost := d.timeline.Since(since)
	return operator.Events{Daemon: d.settings.Name, Events: events, Next: next, Lost: lost}
}

// Drain marks the daemon as leaving: other daemons stop listing it to callers, and it takes on no new work.
func (d *Daemon) Drain() {
	d.mu.Lock()
	was := d.self.Leaving
	d.self.Leaving = true
	d.mu.Unlock()
	if was {
		return
	}
	d.callers.Drain()
	hello := d.helloMessage()
	for _, to := range d.otherPeers() {
		d.node.Send(to, &hello)
	}
}
