// Command case-9 restarts one of four daemons, again and again, while runners leave whose entries are removed. It looks for requests that
// one of the other daemons, which nothing happens to, sends to such a runner later than it may.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/review/stage"
)

const (
	// machines is the number of machines of the zone.
	machines = 4
	// rounds is how often the first of them is restarted at most.
	rounds = 17
	// staying runners stay, leaving ones leave in each round: a quarter of all.
	staying = 9
	leaving = 3
	// drain is drainMs of the small installations, stable their stableWindowMs.
	drain  = 2 * time.Second
	stable = 3 * time.Second
	// serves is how long a runner serves after its entry was removed: drainMs and some seconds.
	serves = 6 * time.Second
	// back is the pause before a process that has ended starts again, lead how long before its start the first runner leaves, gap the pause
	// before the next one.
	back = 500 * time.Millisecond
	lead = 330 * time.Millisecond
	gap  = 110 * time.Millisecond
	// patience is how much longer it serves at most if it works on nothing then.
	patience = time.Second
	// rest is the pause before the machine is stopped again.
	rest = 2 * time.Second
	// consumers is the number of consumers of each machine, pause that between two requests of one.
	consumers = 6
	pause     = 200 * time.Millisecond
	work      = 30 * time.Millisecond
	timeout   = 1500 * time.Millisecond
)

func main() { stage.Main(check) }

// lateness is the requests that came too late.
type lateness struct {
	mu     sync.Mutex
	broken string
	count  int
	// unfinished holds the requests at which runners ended, failed those that failed with their status.
	unfinished map[string]bool
	failed     map[string]int
}

func (l *lateness) fail(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[id] = status
}

func (l *lateness) end(unfinished []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range unfinished {
		l.unfinished[id] = true
	}
}

// seen reports whether a request came too late.
func (l *lateness) seen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count > 0
}

func check(ctx context.Context, s *stage.Stage, trouble bool) (string, error) {
	if err := s.PutConfig(7, timeout); err != nil {
		return "", err
	}
	for i := range staying {
		if _, err := s.AddRunner(ctx, fmt.Sprintf("i-stays-%d", i), work); err != nil {
			return "", err
		}
	}
	var daemons []*stage.Daemon
	for i := range machines {
		d, err := s.AddDaemon(fmt.Sprintf("front-rosario-a-%d", i+1), stage.Options{})
		if err != nil {
			return "", err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.AwaitReady(ctx); err != nil {
			return "", err
		}
	}
	if err := timer.Wait(ctx, 2*stable); err != nil {
		return "", err
	}
	late := &lateness{unfinished: map[string]bool{}, failed: map[string]int{}}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var clients errgroup.Group
	for _, d := range daemons[1:] {
		for i := range consumers {
			prefix := []string{stage.Reading, stage.Writing}[i%2]
			clients.Go(func() error {
				for n := 0; timer.Wait(asking, pause) == nil; n++ {
					id := fmt.Sprintf("%s.%d.%d", d.Name, i, n)
					status, err := s.Ask(d.Caller, prefix, id, timeout)
					s.Record.Printf("consumer's request %s%s to %s: status %d, error %v", prefix, id, d.Name, status, err)
					if status != http.StatusOK {
						late.fail(id, status)
					}
				}
				return nil
			})
		}
	}
	var ends errgroup.Group
	for round := 0; round < rounds && !late.seen(); round++ {
		if err := play(ctx, s, daemons[0], round, late, &ends, trouble); err != nil {
			return "", err
		}
	}
	_ = ends.Wait() // its tasks return no error
	stop()
	_ = clients.Wait() // its tasks return no error
	for _, d := range daemons[1:] {
		if !d.Running() {
			return "", &stage.Error{Reason: d.Name + " has ended"}
		}
	}
	for id := range late.unfinished {
		if status, ok := late.failed[id]; ok {
			s.Record.Printf("lost: request %s ran at a runner that had left and ended, the consumer got status %d", id, status)
		}
	}
	if late.broken != "" {
		return fmt.Sprintf("%d requests came to runners later than drainMs after they were gone; the first: %s", late.count, late.broken), nil
	}
	return "", nil
}

// play plays a round: the first machine is stopped and started, and runners leave shortly before it is back. Without the
// disruption, the machine runs on.
func play(ctx context.Context, s *stage.Stage, first *stage.Daemon, round int, late *lateness, ends *errgroup.Group, trouble bool) error {
	var runners []*stage.Runner
	for i := range leaving {
		r, err := s.AddRunner(ctx, fmt.Sprintf("i-leaves-%d-%d", round, i), work)
		if err != nil {
			return err
		}
		r.Late = func(id string, since time.Duration) {
			if since <= drain {
				return
			}
			daemon, _, _ := strings.Cut(id, ".")
			what := fmt.Sprintf("%s, from %s, came to %s %d ms after the store had acknowledged that it is gone (bound %d ms)", id, daemon, r.ID, since.Milliseconds(), drain.Milliseconds())
			s.Record.Printf("too late: %s", what)
			late.mu.Lock()
			defer late.mu.Unlock()
			if late.count++; late.count == 1 {
				late.broken = what
			}
		}
		runners = append(runners, r)
	}
	if trouble {
		first.Signal(syscall.SIGTERM)
		select {
		case <-first.Ended():
		case <-ctx.Done():
			return ctx.Err()
		}
	} else if err := timer.Wait(ctx, stable); err != nil {
		return err
	}
	if err := timer.Wait(ctx, back-lead); err != nil {
		return err
	}
	began := time.Now()
	for _, r := range runners {
		if err := r.Remove(ctx); err != nil {
			return err
		}
		if err := timer.Wait(ctx, gap); err != nil {
			return err
		}
	}
	if err := timer.Wait(ctx, lead-time.Since(began)); err != nil {
		return err
	}
	if trouble {
		if err := first.Start(); err != nil {
			return err
		}
	}
	ends.Go(func() error {
		_ = timer.Wait(ctx, serves-lead) // ends early only with the case
		for _, r := range runners {
			late.end(r.End(ctx, patience))
		}
		return nil
	})
	return timer.Wait(ctx, rest)
}
