package main

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/audit"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/timer"
)

// session is a fleet with the load and the collector of its trace.
type session struct {
	*fleet
	client    *client
	collector *collector
	// serial numbers the runs of the session.
	serial int
}

// withSession opens the fleet that the flags name, waits until it answers and calls f while the trace is collected.
func withSession(ctx context.Context, c *cli.Command, f func(context.Context, *session) error) error {
	fl, closeFleet, err := openFleet(c.String("dir"), c.String("note"), speeds{First: c.Duration("first"), Token: c.Duration("token"), Load: c.Duration("load"), RosterLag: c.Duration("roster-lag")})
	if err != nil {
		return err
	}
	defer closeFleet()
	cl, closeClient := newClient(fl)
	defer closeClient()
	s := &session{fleet: fl, client: cl, collector: newCollector(fl)}
	if err := s.waitReady(ctx, c.Duration("wait")); err != nil {
		return err
	}
	var g errgroup.Group
	polling, stop := context.WithCancel(ctx)
	g.Go(func() error { return s.collector.run(polling) })
	err = f(ctx, s)
	stop()
	if e := g.Wait(); err == nil {
		err = e
	}
	return err
}

// run runs a load and keeps its answers for the audit.
func (s *session) run(ctx context.Context, l load) (result, error) {
	s.serial++
	l.serial = s.serial
	r, err := s.client.run(ctx, l)
	s.collector.addAnswers(r)
	return r, err
}

// finish saves the trace of the session, audits it and prints the report.
func (s *session) finish(ctx context.Context) (audit.Report, string, error) {
	t, err := s.collector.trace(ctx)
	if err != nil {
		return audit.Report{}, "", err
	}
	file := filepath.Join(s.dir, "trace.json.gz")
	if err := saveTrace(file, t); err != nil {
		return audit.Report{}, "", err
	}
	fmt.Printf("trace of %d events, %d runs and %d answers saved as %s\n", len(t.Events), len(t.Record.Runs), len(t.Answers), file)
	return audit.Check(t, audit.Targets), file, nil
}

// waitReady waits until every daemon answers a request of every kind of work, and every group has formed.
func (s *session) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	org := s.orgs()[0]
	_, m := s.model()
	for {
		if n := len(s.groups(ctx)); n >= m.Copies {
			break
		} else if timer.Wait(ctx, 200*time.Millisecond) != nil {
			return failed("fleet is not ready after %v: %d of %d groups are loaded", limit, n, m.Copies)
		}
	}
	var g errgroup.Group
	for _, d := range s.addrs.Daemons {
		for _, name := range slices.Sorted(maps.Keys(s.cfg.WorkKinds)) {
			g.Go(func() error {
				for n := 0; ; n++ {
					l := load{name: "ready", streams: []stream{{Org: org, Work: name, Via: d.Name}}}
					o := s.client.send(ctx, l, arrival{Number: n}, time.Now())
					if o.class == good {
						return nil
					}
					if timer.Wait(ctx, 100*time.Millisecond) != nil {
						return failed("fleet is not ready after %v: %s answers %s with status %d: %s", limit, d.Name, name, o.answer.Status, o.reason)
					}
				}
			})
		}
	}
	return g.Wait()
}

// usual is the everyday load: every organisation sends each kind of work, by its weight. chats is the part of the
// groups' slots that chats of each rank take; plains is the rate of plain calls.
func (s *session) usual(chats [note.NumRanks]float64, plains float64) []stream {
	total := 0.0
	for _, o := range s.cfg.Organisations {
		total += o.Weight
	}
	var out []stream
	for _, name := range slices.Sorted(maps.Keys(s.cfg.WorkKinds)) {
		w := s.cfg.WorkKinds[name]
		rate := plains
		if _, plain := s.cfg.PlainServices[w.Service]; !plain {
			rate = s.rate(w.Rank, chats[w.Rank])
		}
		for _, org := range s.orgs() {
			out = append(out, stream{Org: org, Work: name, Rate: rate * s.cfg.Organisations[org].Weight / total})
		}
	}
	return out
}

// rate is the number of chats of a rank per second that take a part of the groups' slots.
func (s *session) rate(r note.Rank, part float64) float64 {
	return part * float64(s.slots()) / s.speeds.work(shapes[r].Tokens).Seconds()
}

func demo(ctx context.Context, c *cli.Command) error {
	return withSession(ctx, c, func(ctx context.Context, s *session) error {
		length := c.Duration("length")
		fmt.Printf("sending the everyday load for %v: %d organisations, %d kinds of work, %d daemons\n", length, len(s.cfg.Organisations), len(s.cfg.WorkKinds), len(s.addrs.Daemons))
		r, err := s.run(ctx, load{name: "demo", streams: s.usual([note.NumRanks]float64{0.15, 0.05, 0.05}, 20), seed: c.Uint64("seed"), length: length})
		if err != nil {
			return err
		}
		rows := r.rows()
		printRows(c.Root().Writer, rows)
		fmt.Println("one answer of each kind of work:")
		for _, name := range slices.Sorted(maps.Keys(s.cfg.WorkKinds)) {
			for _, o := range r.outcomes {
				if o.stream.Work == name && o.class == good {
					fmt.Printf("  %-10s %-10s for %-14s by %-12s in %4d ms: %s\n", name, o.rank, o.stream.Org, o.answer.Daemon, o.whole.Milliseconds(), clip(o.text, 60))
					break
				}
			}
		}
		rep, file, err := s.finish(ctx)
		if err != nil {
			return err
		}
		if err := printAudit(rep, file); err != nil {
			return err
		}
		return s.checkDemo(r)
	})
}

// checkDemo fails when a request of a fleet without faults was not answered in time.
func (s *session) checkDemo(r result) error {
	bad := 0
	for _, o := range r.outcomes {
		if o.class != good {
			if bad++; bad <= maxShown {
				fmt.Printf("%s of %s was %s: status %d: %s\n", o.stream.Work, o.stream.Org, o.class, o.answer.Status, clip(o.reason, 120))
			}
		}
	}
	if bad > 0 || r.unsent > 0 || len(r.outcomes) == 0 {
		return failed("%d of %d requests were not answered in time, %d were not sent", bad, len(r.outcomes), r.unsent)
	}
	fmt.Printf("%d requests answered in time, each with the whole answer to its own request\n", len(r.outcomes))
	return nil
}

// loadCommand sends the everyday load and reports what came back.
func loadCommand(ctx context.Context, c *cli.Command) error {
	return withSession(ctx, c, func(ctx context.Context, s *session) error {
		f := c.Float("fill")
		r, err := s.run(ctx, load{name: "load", streams: s.usual([note.NumRanks]float64{0.5 * f, 0.2 * f, 0.3 * f}, c.Float("plains")), seed: c.Uint64("seed"), warm: c.Duration("warm"), length: c.Duration("length")})
		if err != nil {
			return err
		}
		rows := r.rows()
		printRows(c.Root().Writer, rows)
		if r.unsent > 0 || r.redials > 0 {
			fmt.Printf("%d requests were not sent because %d were in flight; %d connections were refused and tried elsewhere\n", r.unsent, maxInFlight, r.redials)
		}
		if file := c.String("json"); file != "" {
			if err := writeJSON(file, map[string]any{"name": r.name, "start": r.start, "end": r.end, "unsent": r.unsent, "redials": r.redials, "rows": rows}); err != nil {
				return err
			}
		}
		rep, file, err := s.finish(ctx)
		if err != nil {
			return err
		}
		return printAudit(rep, file)
	})
}

// up prints what a person needs to use a fleet that is left running.
func up(_ context.Context, c *cli.Command) error {
	s, closeFleet, err := openFleet(c.String("dir"), c.String("note"), speeds{})
	if err != nil {
		return err
	}
	defer closeFleet()
	fmt.Println("callers:")
	for _, d := range s.addrs.Daemons {
		fmt.Printf("  %-14s http://%s\n", d.Name, d.Caller)
	}
	fmt.Println("keys:")
	for _, org := range s.orgs() {
		key := org + "-demo-key"
		if !slices.Contains(s.cfg.Organisations[org].Keys, note.HashKey(key)) {
			return failed("release note has no working key of %s", org)
		}
		fmt.Printf("  %-18s Authorization: Bearer %s\n", org, key)
	}
	id := s.operatorFiles()
	fmt.Printf("operators:\n  export FLAMINGO_DAEMON=%s FLAMINGO_AUTHORITY=%s FLAMINGO_CERTIFICATE=%s FLAMINGO_KEY=%s\n", s.addrs.Daemons[0].Operator, id.Authority, id.Certificate, id.Key)
	fmt.Printf("faults and records of the stand-ins:\n  http://%s/control/fault  http://%s/control/records\n", s.addrs.Control, s.addrs.Control)
	return nil
}

func clip(s string, n int) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > n {
		return s[:n] + "..."
	}
	return s
}
