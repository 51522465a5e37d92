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

// groupsPerService is how many groups of a service a daemon uses. It bounds the traffic of a daemon regardless of the
// size of the fleet, and the number of daemons that the home of a group serves: about 30 with 370 daemons and 75 groups.
const groupsPerService = 6

// groupSelection is the set of groups that this daemon uses.
type groupSelection struct {
	mu           sync.Mutex
	used         map[string]control.View
	presentCount int
}

func newGroupSelection() *groupSelection { return &groupSelection{used: map[string]control.View{}} }

// uses reports whether this daemon sends requests to a group.
func (v *groupSelection) uses(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.used[id]
	return ok
}

// present returns the number of groups in use that are present.
func (v *groupSelection) present() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.presentCount
}

// all returns the groups in use that are present, sorted by name.
func (v *groupSelection) all() []control.View {
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

// choose selects the groups to use of each service: first those of the daemon's own data centre, then the others, both in
// rendezvous hashing order of the daemon's name. This spreads the daemons over the groups, and a change of one group
// changes few selections. Groups whose presence this daemon cannot judge because it has not used them yet are selected
// like present ones.
func (v *groupSelection) choose(name, dataCentre string, groups []control.View) {
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
		for _, id := range order[:min(groupsPerService, len(order))] {
			used[id] = byID[id]
			if byID[id].Present {
				count++
			}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.used, v.presentCount = used, count
}

const (
	// observePeriod is how often load reports and cache events are read from each group in use.
	observePeriod = time.Second
	// observeTimeout limits a single read. A late report is worth less than the next one.
	observeTimeout = 800 * time.Millisecond
	// maxCacheInterval is the longest interval between two reads of the cache events of a group that reports none. This
	// daemon already knows what it sent to the group itself, and shorter intervals exceed the limit of control traffic
	// (TestControlBudgetWithAnswers).
	maxCacheInterval = 10 * time.Second
)

// recordLoad passes a load report on to placement.
func (d *Daemon) recordLoad(l engine.Load, asked time.Time) {
	d.dispatch.UpdateLoad(l.Group, placement.Load{Generation: l.Generation, Running: l.Running, Waiting: l.Waiting, TokenInterval: time.Duration(l.TokenMillis * float64(time.Millisecond)), MeasuredAt: asked})
}

// pollGroups reads load reports and cache events of the groups in use and passes them on to placement.
func (d *Daemon) pollGroups(ctx context.Context) error {
	tick, stop := timer.Every(observePeriod, 0.2)
	defer stop()
	type position struct {
		next uint64
		// due is the time of the next read of the events, and pause the interval between reads, which grows while there
		// are none.
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
		g.SetLimit(groupsPerService)
		now := time.Now()
		for _, v := range d.selection.all() {
			g.Go(func() error {
				ctx, stop := context.WithTimeout(ctx, observeTimeout)
				defer stop()
				if v.Home {
					// Package control reads the load of all other groups, to prove that their members are present.
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
				p.pause = min(2*p.pause+observePeriod/2, maxCacheInterval)
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
