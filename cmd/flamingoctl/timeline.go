package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/timeline"
)

func (t *tool) status(ctx context.Context, c *cli.Command) error {
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	r, err := f.report(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(t.out, r)
	}
	return printReport(t.out, r)
}

func (t *tool) drain(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	addr, err := netip.ParseAddrPort(args[0])
	if err != nil {
		if addr, err = f.find(ctx, args[0]); err != nil {
			return err
		}
	}
	if err := f.client(addr).Drain(ctx); err != nil {
		return fmt.Errorf("drain %s: %w", args[0], err)
	}
	return printf(t.out, "%s is leaving\n", args[0])
}

// find returns the operator address of a daemon by its name.
func (f *fleet) find(ctx context.Context, name string) (netip.AddrPort, error) {
	answers, known, err := f.ask(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	d, ok := known[name]
	if !ok {
		return netip.AddrPort{}, &Input{Msg: fmt.Sprintf("no daemon is called %q; known are %s", name, strings.Join(slices.Sorted(maps.Keys(known)), ", "))}
	}
	if d.OperatorAddr.IsValid() {
		return d.OperatorAddr, nil
	}
	if _, ok := answers[name]; ok {
		// The daemon answered at one of the addresses from the flags.
		for _, a := range f.addrs {
			if s, err := f.client(a).Status(ctx); err == nil && s.Daemon == name {
				return a, nil
			}
		}
	}
	return netip.AddrPort{}, &Input{Msg: fmt.Sprintf("operator address of %q is not known; name the address instead", name)}
}

// Trace is the events of several daemons in one order.
type Trace struct {
	Events []timeline.Event `json:"events"`
	// Lost counts, by daemon, the events that were overwritten before they were read.
	Lost map[string]uint64 `json:"lost"`
	// Unread holds, by daemon, why its events could not be read.
	Unread map[string]string `json:"unread"`
}

func (t *tool) timeline(ctx context.Context, c *cli.Command) error {
	filter := operator.Filter{
		Request: c.String("request"), Instance: c.String("instance"), Group: c.String("group"),
		Service: c.String("service"), Revision: c.Uint64("revision"),
	}
	for key, at := range map[string]*time.Time{"since": &filter.Since, "until": &filter.Until} {
		var err error
		if *at, err = moment(c.String(key), time.Now()); err != nil {
			return &Input{Msg: fmt.Sprintf("--%s: %v", key, err)}
		}
	}
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	trace, err := f.trace(ctx, filter)
	if err != nil {
		return err
	}
	if file := c.String("html"); file != "" {
		if err := writePage(file, trace); err != nil {
			return err
		}
		if !c.Bool("json") {
			return printf(t.out, "%d events written to %s\n", len(trace.Events), file)
		}
	}
	if c.Bool("json") {
		return printJSON(t.out, trace)
	}
	return printTrace(t.out, trace)
}

func writePage(file string, trace Trace) error {
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	if err := page(out, trace); err != nil {
		_ = out.Close()
		return fmt.Errorf("write page: %w", err)
	}
	if err := out.Close(); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// moment reads a time in RFC 3339 form or as a duration before now.
func moment(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// trace reads and merges the events of every daemon that can be reached.
func (f *fleet) trace(ctx context.Context, filter operator.Filter) (Trace, error) {
	answers, known, err := f.ask(ctx)
	if err != nil {
		return Trace{}, err
	}
	t := Trace{Events: []timeline.Event{}, Lost: map[string]uint64{}, Unread: map[string]string{}}
	targets := map[netip.AddrPort]bool{}
	for _, a := range f.addrs {
		targets[a] = true
	}
	for name, d := range known {
		_, answered := answers[name]
		switch {
		case d.OperatorAddr.IsValid() && !d.Absent:
			targets[d.OperatorAddr] = true
		case !answered && !d.Absent:
			t.Unread[name] = "operator address is not known; add it to --daemon"
		}
	}
	var mu sync.Mutex
	logs := map[string][]timeline.Event{}
	var g errgroup.Group
	g.SetLimit(parallel)
	for a := range targets {
		g.Go(func() error {
			one, stop := context.WithTimeout(ctx, readTime)
			defer stop()
			e, err := f.client(a).Timeline(one, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				name := a.String()
				for n, d := range known {
					if d.OperatorAddr == a {
						name = n
					}
				}
				t.Unread[name] = err.Error()
				return nil
			}
			// Two addresses may lead to one daemon; its events count once.
			logs[e.Daemon] = e.Events
			if e.Lost > 0 {
				t.Lost[e.Daemon] = e.Lost
			}
			return nil
		})
	}
	_ = g.Wait()
	if len(logs) == 0 {
		return t, &NoTimeline{Daemons: len(t.Unread)}
	}
	var parts [][]timeline.Event
	for _, name := range slices.Sorted(maps.Keys(logs)) {
		parts = append(parts, logs[name])
	}
	t.Events = append(t.Events, timeline.Merge(parts...)...)
	return t, nil
}

// NoTimeline reports that no daemon's events could be read.
type NoTimeline struct{ Daemons int }

func (e *NoTimeline) Error() string {
	return fmt.Sprintf("the events of none of %d daemons could be read", e.Daemons)
}

// describe says what an event means, in one sentence with its reason.
func describe(e timeline.Event) string {
	var s string
	group := fmt.Sprintf("%s generation %d", e.Group, e.Generation)
	switch e.Kind {
	case timeline.RequestAccepted:
		s = fmt.Sprintf("request of %s for %s accepted at rank %s", e.Org, e.Service, e.Rank)
	case timeline.RequestRefused:
		s = "request refused as not run"
	case timeline.RequestStarted:
		s = "slot granted at " + group
	case timeline.AttemptSent:
		s = fmt.Sprintf("attempt %s sent to %s", e.Attempt, e.Instance)
		if e.Group != "" {
			s += " of " + group
		}
	case timeline.StreamResumed:
		s = fmt.Sprintf("stream of attempt %s resumed", e.Attempt)
	case timeline.AttemptEnded:
		s = fmt.Sprintf("attempt %s ended", e.Attempt)
	case timeline.RequestAnswered:
		s = "caller got the final answer, outcome " + e.Outcome
	case timeline.KeyClaimed:
		s = "idempotency key of " + e.Org + " claimed"
	case timeline.RequestCancelled:
		s = "caller left"
		if e.Attempt != "" {
			s += "; attempt " + e.Attempt + " cancelled"
		}
	case timeline.GroupFormed:
		s = fmt.Sprintf("%s formed from %s under token %d", group, strings.Join(e.Members, " "), e.Token)
	case timeline.GroupServing:
		s = group + " may serve"
	case timeline.GroupStopped:
		s = group + " may no longer serve"
	case timeline.InstanceLost:
		s = "instance " + e.Instance + " is missing"
	case timeline.InstanceLeaving:
		s = "instance " + e.Instance + " is leaving"
	case timeline.GroupReleased:
		s = fmt.Sprintf("%s released %s", group, strings.Join(e.Members, " "))
	case timeline.SlotsLent:
		s = "slots of " + group + " lent"
	case timeline.LeaseAcquired:
		s = fmt.Sprintf("lease of %s taken with token %d", e.Service, e.Token)
	case timeline.LeaseEnded:
		s = fmt.Sprintf("lease of %s with token %d given up", e.Service, e.Token)
	case timeline.NoteAccepted:
		s = fmt.Sprintf("release note accepted as revision %d", e.Revision)
	case timeline.RevisionReceived:
		s = fmt.Sprintf("revision %d received", e.Revision)
	case timeline.RevisionApplied:
		s = fmt.Sprintf("revision %d in force", e.Revision)
	case timeline.ProcessStarted:
		s = "daemon started"
	case timeline.ProcessDraining:
		s = "daemon is leaving"
	case timeline.PeerChanged:
		s = "state of peer " + e.Instance + " changed"
	case timeline.StoreChanged:
		s = "state of the platform changed"
	default:
		s = string(e.Kind)
	}
	if e.Reason != "" {
		s += ": " + e.Reason
	}
	return s
}

// printTrace prints one line for each event, then what is missing.
func printTrace(w io.Writer, t Trace) error {
	rows := [][]string{{"TIME (UTC)", "PROCESS", "EVENT", "REQUEST", "WHAT HAPPENED"}}
	for _, e := range t.Events {
		request := e.Request
		if request == "" {
			request = "-"
		}
		rows = append(rows, []string{e.At.Time().UTC().Format("2006-01-02 15:04:05.000000"), e.Proc, string(e.Kind), request, describe(e)})
	}
	if err := table(w, rows); err != nil {
		return err
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(t.Lost)) {
		errs = append(errs, printf(w, "%s: %d older events were overwritten and are lost\n", name, t.Lost[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(t.Unread)) {
		errs = append(errs, printf(w, "%s: events not read: %s\n", name, t.Unread[name]))
	}
	return errors.Join(errs...)
}
