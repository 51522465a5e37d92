package daemon

import (
	"context"
	"time"

	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/revision"
	"flamingorudder.example/internal/snapshot"
)

// snapshotTimeout limits the reads and writes of the object store and the table service for one snapshot.
const snapshotTimeout = 2 * time.Second

// runSnapshotWriter periodically writes a snapshot whenever it is this daemon's turn.
func (d *Daemon) runSnapshotWriter(ctx context.Context) error {
	var w snapshot.Writer
	for {
		if waitJittered(ctx, snapshot.MinWriteInterval, 0.1) != nil {
			return nil
		}
		if !w.Due(time.Now(), d.settings.Name, d.Daemons()) {
			continue
		}
		if err := d.writeSnapshot(ctx, &w); err != nil && ctx.Err() == nil {
			d.log.Debug("failed to write snapshot", "error", err)
		}
	}
}

func (d *Daemon) writeSnapshot(ctx context.Context, w *snapshot.Writer) error {
	ctx, stop := context.WithTimeout(ctx, snapshotTimeout)
	defer stop()
	r, _ := d.config.Revision()
	s := snapshot.Snapshot{Revision: r.Number, Config: r.Body}
	var err error
	if s.Groups, err = d.platform.Scan(ctx, group.PrefixGroup); err != nil {
		return err
	}
	for _, known := range d.registry.All(time.Now()) {
		if !known.Absent && !known.Leaving {
			s.Daemons = append(s.Daemons, known.Entry)
		}
	}
	stored, err := d.platform.GetObject(ctx, snapshot.ObjectName)
	if err != nil {
		return err
	}
	b, err := w.Prepare(time.Now(), s, stored)
	if b == nil {
		return err
	}
	if err := d.platform.PutObject(ctx, snapshot.ObjectName, b); err != nil {
		return err
	}
	w.MarkWritten(s)
	return nil
}

// restoreSnapshot loads the snapshot if the table service has not answered in time and no other daemon has sent a
// configuration. Other messages from daemons do not count, because all daemons may have just started.
func (d *Daemon) restoreSnapshot(ctx context.Context) error {
	for {
		err := waitJittered(ctx, snapshot.ReadDelay, 0)
		if received, _ := d.config.RevisionNumbers(); err != nil || received > 0 || d.tableAnswered.Load() {
			return nil
		}
		err = d.readSnapshot(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		d.log.Debug("failed to load snapshot", "error", err)
	}
}

func (d *Daemon) readSnapshot(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, snapshotTimeout)
	defer stop()
	b, err := d.platform.GetObject(ctx, snapshot.ObjectName)
	if err != nil || b == nil {
		return err
	}
	s, err := snapshot.Decode(b)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, e := range d.registry.All(time.Now()) {
		known[e.Name] = true
	}
	for _, e := range s.Daemons {
		if !known[e.Name] {
			d.registry.Update(e)
		}
	}
	d.config.Restore(revision.New(s.Revision, s.Config))
	d.log.Info("loaded configuration from snapshot", "revision", s.Revision, "made", s.CreatedAt, "daemons", len(s.Daemons))
	return nil
}
