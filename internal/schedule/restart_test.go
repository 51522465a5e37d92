package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"flamingorudder.example/internal/balance"
	"flamingorudder.example/internal/route"
)

// TestNothingRejectedAfterRestart guards against rejections after a start of all daemons, while all groups are idle: a scheduler scaled
// the load of the few daemons that had reported up for all others, which held no work.
func TestNothingRejectedAfterRestart(t *testing.T) {
	const daemons = 88
	for _, test := range []struct {
		name string
		// perDaemon is the number of requests that each daemon has when it starts to report, within is the time over which the daemons
		// do so, and alone is set if each daemon schedules for itself.
		perDaemon int
		within    time.Duration
		alone     bool
		prompt    int
		objective time.Duration
		groups    int
	}{
		{"one scheduler, few requests", 1, 100 * time.Millisecond, false, 700, 250 * time.Millisecond, 28},
		{"one scheduler, long prompts", 2, 100 * time.Millisecond, false, 1420, 500 * time.Millisecond, 28},
		{"one scheduler, callers that return together", 6, 400 * time.Millisecond, false, 700, 250 * time.Millisecond, 28},
		{"one scheduler, few groups", 3, 400 * time.Millisecond, false, 700, 250 * time.Millisecond, 10},
		{"each for itself", 3, 100 * time.Millisecond, true, 700, 250 * time.Millisecond, 28},
		{"each for itself, few groups", 3, 100 * time.Millisecond, true, 700, 250 * time.Millisecond, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			in := input(test.groups)
			in.Plan = &balance.Plan{
				Engine: &route.Engine{Slots: 34, Stride: 5, Step: 6 * time.Millisecond, PerRequest: 200 * time.Microsecond, PrefillRate: 46000, Chunk: 2048, UsualAnswer: 100},
				Model:  &route.Model{Name: "m", Size: 8, TimeFactor: 1},
			}
			in.Daemons, in.Started, in.Preferred, in.Random = daemons, 1, true, r.Float64
			rejected, placed := map[string]int{}, 0
			waiting := 0
			var servers []*Server
			clients := make([]*testDaemon, daemons)
			starts := make([]time.Duration, daemons)
			for i := range clients {
				clients[i], starts[i] = newDaemon(fmt.Sprint("d", i)), time.Duration(r.Float64()*float64(test.within))
				if i == 0 || test.alone {
					servers = append(servers, NewServer())
				}
			}
			type run struct {
				group string
				began time.Duration
			}
			running := make([][]run, daemons)
			const firstEvent = 120 * time.Millisecond
			for at := time.Duration(0); at < time.Second; at += time.Millisecond {
				now := noon.Add(at)
				for i, c := range clients {
					s := servers[i%len(servers)]
					if at >= starts[i] && at < starts[i]+time.Millisecond {
						for id := range test.perDaemon {
							c.Submit(PlacementRequest{ID: uint64(id + 1), Rank: 1, Prompt: test.prompt, Objective: test.objective, CallerTimeout: 6 * time.Second}, now, now.Add(6*time.Second))
						}
						c.dirty = true
					}
					var work []Work
					loads := map[string]balance.Load{}
					for _, g := range running[i] {
						l := balance.Load{Requests: 1, QueuedTokens: test.prompt}
						if at-g.began >= firstEvent {
							l.QueuedTokens = 0
						}
						if at-g.began == firstEvent {
							c.dirty = true
						}
						loads[g.group] = loads[g.group].Add(l)
					}
					for key, l := range loads {
						work = append(work, Work{Group: key, Requests: l.Requests, QueuedTokens: l.QueuedTokens})
					}
					answers := map[string]*Answer{}
					if c.Due(now, len(work) > 0) {
						rep := c.NewReport(now, c.name, 1, "dc", work, nil)
						if a := s.HandleReport(now, rep); a != nil {
							c.HandleAnswer(a)
						}
						answers = s.Step(now, model, in)
					}
					for j, o := range clients {
						if a := answers[o.name]; a != nil {
							for _, p := range clients[j].HandleAnswer(a) {
								if p.Group == "" {
									rejected[p.Reason]++
								} else {
									running[j] = append(running[j], run{p.Group, at})
									placed++
								}
							}
						}
					}
				}
			}
			for _, c := range clients {
				waiting += c.Open()
			}
			t.Logf("%d placed, %d wait, rejected %v", placed, waiting, rejected)
			if len(rejected) > 0 {
				t.Errorf("rejected: %v", rejected)
			}
		})
	}
}
