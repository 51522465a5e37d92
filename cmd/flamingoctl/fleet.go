package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/timer"
)

const (
	// answerTime bounds a call to one daemon, after which the next one is tried.
	answerTime = 5 * time.Second
	// readTime bounds the reading of a daemon's timeline, which can be tens of megabytes.
	readTime = 25 * time.Second
	// parallel is how many daemons are asked at a time.
	parallel = 32
	// pollPeriod is how often the daemons are asked for their revisions while waiting.
	pollPeriod = 500 * time.Millisecond
	// repeatPeriod is the pause before an apply whose outcome is unknown goes round the daemons again.
	repeatPeriod = time.Second
)

// fleet is the connections to the daemons. Its methods may be called from several goroutines.
type fleet struct {
	// addrs are the addresses from the flags, in the order in which they are tried.
	addrs []netip.AddrPort
	open  opener

	mu      sync.Mutex
	clients map[netip.AddrPort]*operator.Client
	closers []func()
}

func (f *fleet) client(a netip.AddrPort) *operator.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.clients[a]
	if c == nil {
		var stop func()
		c, stop = f.open(a)
		f.clients[a] = c
		f.closers = append(f.closers, stop)
	}
	return c
}

func (f *fleet) close() {
	for _, stop := range f.closers {
		stop()
	}
}

// first calls one daemon after the other until one answers. A daemon that cannot reach the platform counts as one that
// does not answer, since another may reach it.
func first[T any](ctx context.Context, f *fleet, call func(context.Context, *operator.Client) (T, error)) (T, error) {
	var none T
	var errs []error
	for _, a := range f.addrs {
		one, stop := context.WithTimeout(ctx, answerTime)
		v, err := call(one, f.client(a))
		stop()
		var fault *operator.Fault
		switch {
		case err == nil:
			return v, nil
		case errors.As(err, &fault) && fault.Kind != operator.FaultPlatform:
			return none, err
		}
		errs = append(errs, fmt.Errorf("daemon %s: %w", a, err))
	}
	return none, errors.Join(errs...)
}

// traced returns a context whose second result tells whether a call got a connection, after which its request may have
// been sent.
func traced(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}), &sent
}

// refused reports whether the daemon refused the operator's certificate. In TLS 1.3 it does so after the client's part of
// the handshake, when the request is on its way already; it never reads that request.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "remote error" && strings.Contains(op.Err.Error(), "certificate")
}

// apply applies a note under one operation number, going round the daemons while the outcome is unknown. Only a call
// that certainly did nothing at every daemon is reported as failed.
func (f *fleet) apply(ctx context.Context, op string, text []byte, limit time.Duration) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	unknown := false
	for {
		var errs []error
		for _, a := range f.addrs {
			one, stopOne := context.WithTimeout(ctx, answerTime)
			one, sent := traced(one)
			n, err := f.client(a).Apply(one, op, text)
			stopOne()
			if err == nil {
				return n, nil
			}
			var fault *operator.Fault
			switch {
			case !errors.As(err, &fault):
				unknown = unknown || sent.Load() && !refused(err)
			case fault.Kind == operator.FaultOutcomeUnknown:
				unknown = true
			case fault.Kind != operator.FaultPlatform:
				// A wrong note is never accepted, and a conflict means that another note has this one's number.
				return 0, err
			}
			errs = append(errs, fmt.Errorf("daemon %s: %w", a, err))
		}
		if !unknown {
			return 0, &Exit{Code: exitFailed, Err: fmt.Errorf("note was not accepted: %w", errors.Join(errs...))}
		}
		if timer.Wait(ctx, repeatPeriod) != nil {
			return 0, &Exit{Code: exitUnknown, Err: fmt.Errorf("outcome is unknown: %w", errors.Join(errs...))}
		}
	}
}

// Daemon is what is known of one daemon.
type Daemon struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Operator is the daemon's operator address, empty when it is not known.
	Operator string `json:"operator,omitempty"`
	// State is live, leaving, suspect, absent (no longer in the platform's list) or silent (did not answer).
	State    string `json:"state"`
	Received uint64 `json:"received"`
	Applied  uint64 `json:"applied"`
	// Heard is whether the revision comes from another daemon, because this one was not asked or did not answer.
	Heard bool `json:"heard,omitempty"`
	// Lags is whether a newer revision has been accepted than the daemon has in force. It is false for a daemon that has
	// left the list, one that was leaving and does not answer, and an address from the flags that has no known name.
	Lags bool `json:"lags"`
	// Fault is why the daemon did not answer.
	Fault string `json:"fault,omitempty"`
}

// counts tells whether the daemon is one of those that should have the revision in force. An address that does not answer
// may belong to a daemon that is listed under its name as well, so it is not counted a second time. A daemon that was
// leaving and does not answer has most likely ended; the platform's list may name it for long after that.
func (d Daemon) counts() bool {
	_, err := netip.ParseAddrPort(d.Name)
	return err != nil && d.State != "absent" && (d.State != "leaving" || !d.Heard)
}

// Service is a service of the release note next to what serves it.
type Service struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Copies is what the note asks for and Serving what the groups show; both are 0 for a plain service.
	Copies  int `json:"copies"`
	Serving int `json:"serving"`
	// Missing is the number of copies that the daemons report as missing, nil when none reports it.
	Missing *int `json:"missing,omitempty"`
}

// Report is the state of the fleet next to the release note.
type Report struct {
	// Accepted is the revision accepted last, or the highest that a daemon knows when Fault is set.
	Accepted uint64           `json:"accepted"`
	Fault    string           `json:"fault,omitempty"`
	Daemons  []Daemon         `json:"daemons"`
	Services []Service        `json:"services"`
	Groups   []operator.Group `json:"groups"`
	// Stranded counts accelerators outside a serving group by fabric domain, nil when no daemon reports it.
	Stranded map[string]int `json:"stranded,omitempty"`
}

// answer is what one daemon said.
type answer struct {
	status operator.Status
	err    error
}

// ask asks every daemon that is known for its status. Answers are keyed by the daemon's name; addresses that did not
// answer and whose name is not known are keyed by the address.
func (f *fleet) ask(ctx context.Context) (map[string]answer, map[string]registry.Status, error) {
	firstStatus, err := first(ctx, f, func(ctx context.Context, c *operator.Client) (operator.Status, error) { return c.Status(ctx) })
	if err != nil {
		return nil, nil, err
	}
	answers := map[string]answer{firstStatus.Daemon: {status: firstStatus}}
	known := map[string]registry.Status{}
	asked := map[netip.AddrPort]bool{}
	// The daemons that answer name further ones, for example when the one asked first has just started.
	for round := 0; round < 3; round++ {
		targets := map[netip.AddrPort]string{}
		for _, a := range f.addrs {
			targets[a] = a.String()
		}
		clear(known)
		for _, name := range slices.Sorted(maps.Keys(answers)) {
			for _, d := range answers[name].status.Daemons {
				if old, ok := known[d.Name]; ok {
					d = join(old, d)
				}
				known[d.Name] = d
			}
		}
		for name, d := range known {
			if d.OperatorAddr.IsValid() && !d.Absent {
				targets[d.OperatorAddr] = name
			}
		}
		maps.DeleteFunc(targets, func(a netip.AddrPort, _ string) bool { return asked[a] })
		if len(targets) == 0 {
			break
		}
		var mu sync.Mutex
		var g errgroup.Group
		g.SetLimit(parallel)
		for a, name := range targets {
			asked[a] = true
			g.Go(func() error {
				one, stop := context.WithTimeout(ctx, answerTime)
				defer stop()
				s, err := f.client(a).Status(one)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					answers[name] = answer{err: err}
				} else {
					answers[s.Daemon] = answer{status: s}
				}
				return nil
			})
		}
		_ = g.Wait()
	}
	return answers, known, nil
}

// join puts together what two daemons know of a third. Its list of instances may lag at either, so it is absent only
// when both say so.
func join(a, b registry.Status) registry.Status {
	if b.Boot > a.Boot {
		a, b = b, a
	}
	if !a.OperatorAddr.IsValid() && a.Boot == b.Boot {
		a.OperatorAddr = b.OperatorAddr
	}
	a.Revision = max(a.Revision, b.Revision)
	a.Absent = a.Absent && b.Absent
	a.Suspect = a.Suspect || b.Suspect
	a.Leaving = a.Leaving || (b.Leaving && a.Boot == b.Boot)
	return a
}

// daemons turns answers into rows, sorted by name. number is the revision that every daemon should have in force.
func daemons(answers map[string]answer, known map[string]registry.Status, number uint64) []Daemon {
	rows := map[string]Daemon{}
	for name, d := range known {
		r := Daemon{Name: name, DataCentre: d.DataCentre, State: "live", Received: d.Revision, Applied: d.Revision, Heard: true}
		if d.OperatorAddr.IsValid() {
			r.Operator = d.OperatorAddr.String()
		}
		switch {
		case d.Absent:
			r.State = "absent"
		case d.Suspect:
			r.State = "suspect"
		case d.Leaving:
			r.State = "leaving"
		}
		rows[name] = r
	}
	for name, a := range answers {
		r := rows[name]
		r.Name = name
		if a.err != nil {
			r.Heard, r.Fault = true, a.err.Error()
			if r.State != "leaving" {
				r.State = "silent"
			}
		} else {
			r.State, r.Heard, r.Received, r.Applied = "live", false, a.status.ReceivedRevision, a.status.AppliedRevision
			if a.status.Leaving {
				r.State = "leaving"
			}
		}
		rows[name] = r
	}
	for name, r := range rows {
		r.Lags = r.counts() && r.Applied < number
		rows[name] = r
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b Daemon) int { return cmp.Compare(a.Name, b.Name) })
}

// report compares the fleet with the release note.
func (f *fleet) report(ctx context.Context) (Report, error) {
	answers, known, err := f.ask(ctx)
	if err != nil {
		return Report{}, err
	}
	var r Report
	cfg, err := f.config(ctx)
	if err != nil {
		r.Fault = err.Error()
	}
	r.Accepted = cfg.Revision
	for _, a := range answers {
		r.Accepted = max(r.Accepted, a.status.ReceivedRevision)
	}
	r.Daemons = daemons(answers, known, r.Accepted)
	groups := map[string]operator.Group{}
	missing := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		s := answers[name].status
		for _, g := range s.Groups {
			// Only the home of a group has a proof that it is present; a lower generation is out of date.
			old, ok := groups[g.Group]
			if !ok || g.Generation > old.Generation || (g.Generation == old.Generation && g.Present && !old.Present) {
				groups[g.Group] = g
			}
		}
		for service, n := range s.MissingCopies {
			missing[service] = max(missing[service], n)
		}
		if r.Stranded == nil {
			r.Stranded = s.StrandedAccelerators
		}
	}
	r.Groups = slices.SortedFunc(maps.Values(groups), func(a, b operator.Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	r.Services = services(cfg, r.Groups, missing)
	return r, nil
}

func services(cfg note.Config, groups []operator.Group, missing map[string]int) []Service {
	var out []Service
	for _, name := range slices.Sorted(maps.Keys(cfg.ModelServices)) {
		s := Service{Name: name, Kind: note.KindModel, Copies: cfg.ModelServices[name].Copies}
		for _, g := range groups {
			if g.Service == name && g.State == "serving" {
				s.Serving++
			}
		}
		if n, ok := missing[name]; ok {
			s.Missing = &n
		}
		out = append(out, s)
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.PlainServices)) {
		out = append(out, Service{Name: name, Kind: note.KindPlain})
	}
	return out
}

func (f *fleet) config(ctx context.Context) (note.Config, error) {
	return first(ctx, f, func(ctx context.Context, c *operator.Client) (note.Config, error) { return c.Config(ctx) })
}

// wait waits until every daemon has a revision in force. progress gets a line whenever the state changes.
func (f *fleet) wait(ctx context.Context, number uint64, limit time.Duration, progress func(string)) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	last := ""
	for {
		answers, known, err := f.ask(ctx)
		line := ""
		if err != nil {
			if ctx.Err() == nil {
				line = "no daemon answers"
			}
		} else {
			rows := daemons(answers, known, number)
			line = waitLine(number, rows)
			if !slices.ContainsFunc(rows, func(d Daemon) bool { return d.Lags }) {
				progress(line)
				return nil
			}
		}
		if line != "" && line != last {
			progress(line)
			last = line
		}
		if timer.Wait(ctx, pollPeriod) != nil {
			return &Exit{Code: exitTimeout, Err: &TimedOut{Number: number, Limit: limit, Last: last}}
		}
	}
}

// TimedOut reports a revision that did not come into force everywhere in time.
type TimedOut struct {
	Number uint64
	Limit  time.Duration
	Last   string
}

func (e *TimedOut) Error() string {
	return fmt.Sprintf("revision %d is not in force everywhere after %s: %s", e.Number, e.Limit, e.Last)
}
