package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/control"
	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/placement"
	"flamingorudder.example/internal/timer"
)

// subset is how many groups of a service a daemon uses. It bounds what a daemon hears and says whatever the size of the
// fleet, and how many daemons a group's home serves: with 370 daemons and 75 groups about 30.
const subset = 6

// views is which groups this daemon uses.
type views struct {
	mu    sync.Mutex
	used  map[string]control.View
	count int
}

func newViews() *views { return &views{used: map[string]control.View{}} }

// uses tells whether this daemon sends requests to a group.
func (v *views) uses(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.used[id]
	return ok
}

// present is how many groups in use are present.
func (v *views) present() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.count
}

// all returns the groups in use that are present.
func (v *views) all() []control.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []control.View
	for _, g := range v.used {
		if g.Present {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b control.View) int { return strings.Compare(a.Group, b.Group) })
	return out
}

// choose picks the groups to use of each service: those of the daemon's own data centre first, each kind in rendezvous
// order of the daemon's name, so that daemons spread over the groups and a change of one group changes few choices.
// Groups that this daemon cannot judge because it has not used them yet are chosen like present ones.
func (v *views) choose(name, dataCentre string, groups []control.View) {
	byService := map[string][]control.View{}
	for _, g := range groups {
		if g.Phase == group.Serving {
			byService[g.Service] = append(byService[g.Service], g)
		}
	}
	used, count := map[string]control.View{}, 0
	for _, list := range byService {
		byID := map[string]control.View{}
		var near, far []string
		for _, g := range list {
			byID[g.Group] = g
			if g.DataCentre == dataCentre {
				near = append(near, g.Group)
			} else {
				far = append(far, g.Group)
			}
		}
		order := append(member.RendezvousOrder(name, near), member.RendezvousOrder(name, far)...)
		for _, id := range order[:min(subset, len(order))] {
			used[id] = byID[id]
			if byID[id].Present {
				count++
			}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.used, v.count = used, count
}

const (
	// observePeriod is how often load reports and cache events are read from each group in use.
	observePeriod = time.Second
	// observeTimeout bounds one read; a late report is worth less than the next.
	observeTimeout = 800 * time.Millisecond
	// cachePause is the longest time between two reads of the cache events of a group that has none. What this daemon
	// itself sent there it knows already, and shorter pauses do not fit the limit of control bytes (TestControlBudgetWithAnswers).
	cachePause = 10 * time.Second
)

// loaded hands a load report to placement.
func (d *Daemon) loaded(l engine.Load, asked time.Time) {
	d.dispatch.UpdateLoad(l.Group, placement.Load{Generation: l.Generation, Running: l.Running, Waiting: l.Waiting, TokenInterval: time.Duration(l.TokenMillis * float64(time.Millisecond)), MeasuredAt: asked})
}

// observe reads load reports and cache events of the groups in use and hands them to placement.
func (d *Daemon) observe(ctx context.Context) error {
	tick, stop := timer.Every(observePeriod, 0.2)
	defer stop()
	type position struct {
		next uint64
		// due is when the events are read next, and pause the time between reads, which grows while there are none.
		due   time.Time
		pause time.Duration
	}
	read := map[string]position{}
	var mu sync.Mutex
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
		var g errgroup.Group
		g.SetLimit(subset)
		now := time.Now()
		for _, v := range d.views.all() {
			g.Go(func() error {
				ctx, stop := context.WithTimeout(ctx, observeTimeout)
				defer stop()
				if v.Home {
					// Package control asks all others for their load as the proof that their members are present.
					_, _ = d.engine.Load(ctx, v.Addr)
				}
				mu.Lock()
				p := read[v.Group]
				mu.Unlock()
				if now.Before(p.due) {
					return nil
				}
				c, err := d.engine.Cache(ctx, v.Addr, p.next)
				if err != nil {
					return nil
				}
				events := make([]placement.CacheEvent, len(c.Events))
				for i, e := range c.Events {
					events[i] = placement.CacheEvent{Seq: e.Seq, Prefix: e.Prefix, Evicted: e.Op == "drop"}
				}
				d.dispatch.UpdateCache(dispatch.CacheUpdated{Group: v.Group, Generation: v.Generation, Next: c.Next, Events: events})
				mu.Lock()
				p.next = c.Next
				p.pause = min(2*p.pause+observePeriod/2, cachePause)
				if len(events) > 0 {
					p.pause = 0
				}
				p.due = now.Add(p.pause)
				read[v.Group] = p
				mu.Unlock()
				return nil
			})
		}
		_ = g.Wait()
	}
}
