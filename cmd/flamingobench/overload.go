package main

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/dispatch"
	"flamingorudder.example/internal/note"
)

// The overload experiment drives the dispatch core and the baseline in handed-in time, without processes: 4 targets of 4
// slots, 3 organisations, half of the requests overnight, a fifth bookings, the rest live.

var (
	epoch = time.Unix(1_800_000_000, 0)
	orgs  = []string{"a", "b", "c"}
)

// event is an arrival or an end.
type event struct {
	at  time.Time
	key uint64
	end bool
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(v any)        { *h = append(*h, v.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// roundRobin is the baseline: each request goes to the next of 4 servers, first come, first served, nothing refused.
type roundRobin struct {
	queue   [4][]uint64
	running [4]int
	at      map[uint64]int
	next    int
}

func newRoundRobin() decider { return &roundRobin{at: map[uint64]int{}} }

func (b *roundRobin) Step(_ time.Time, m dispatch.Message) (as []dispatch.Action) {
	i := 0
	switch m := m.(type) {
	case dispatch.Submit:
		i, b.next = b.next, (b.next+1)%4
		b.queue[i] = append(b.queue[i], m.Key)
	case dispatch.Done:
		i = b.at[m.Key]
		b.running[i]--
	}
	for b.running[i] < 4 && len(b.queue[i]) > 0 {
		as = append(as, dispatch.Action{Kind: dispatch.Start, Key: b.queue[i][0]})
		b.at[b.queue[i][0]] = i
		b.queue[i] = b.queue[i][1:]
		b.running[i]++
	}
	return as
}

func (b *roundRobin) Next() (time.Time, bool) { return time.Time{}, false }

// decider is what is compared.
type decider interface {
	Step(now time.Time, m dispatch.Message) []dispatch.Action
	Next() (time.Time, bool)
}

// handedOverload runs 4 targets of 4 slots for 140 s of handed-in time at a multiple of their capacity, and returns the tokens
// per second of answers that were complete in time, and the parts of started live work that were.
func handedOverload(d decider, load float64) (goodput, inTime float64) {
	r := rand.New(rand.NewPCG(7, 7))
	const first, token = 0.1, 0.01 // Seconds.
	type request struct {
		dispatch.Request
		tokens int
		total  time.Duration
	}
	all, h := map[uint64]request{}, events{}
	key, late, done := uint64(0), 0, 0
	now := epoch
	act := func(as []dispatch.Action) {
		for _, a := range as {
			if a.Kind == dispatch.Start {
				heap.Push(&h, event{now.Add(all[a.Key].total), a.Key, true})
			}
		}
	}
	heap.Push(&h, event{at: now})
	for now.Before(epoch.Add(140 * time.Second)) {
		if at, ok := d.Next(); ok && at.Before(h[0].at) {
			now = at
			act(d.Step(now, dispatch.Tick{}))
			continue
		}
		e := heap.Pop(&h).(event)
		now = e.at
		if e.end {
			q := all[e.key]
			act(d.Step(now, dispatch.Done{Key: e.key, Result: dispatch.Result{Tokens: q.tokens, TimeToFirstToken: q.total / 10, Total: q.total}}))
			if now.Before(epoch.Add(20 * time.Second)) {
				continue // Warm-up.
			}
			if q.Rank == note.RankLive {
				done++
			}
			if !now.After(q.Deadline) {
				goodput += float64(q.tokens) / 120
			} else if q.Rank == note.RankLive {
				late++
			}
			continue
		}
		// 20 to 180 tokens, 1.1 s on average; 16 slots serve 14.5 requests/s. The service time varies by 20%, and
		// callers announce up to 3 times the tokens that are generated.
		key++
		tokens := 20 + r.IntN(161)
		total := (first + token*float64(tokens)) * (0.8 + 0.4*r.Float64())
		rank := []note.Rank{0, 0, 0, 1, 1, 2, 2, 2, 2, 2}[r.IntN(10)]
		due := []time.Duration{3 * time.Second, 5 * time.Second, 20 * time.Second}[rank]
		q := dispatch.Request{Rank: rank, Organisation: orgs[r.IntN(len(orgs))], Cost: tokens + r.IntN(2*tokens), Deadline: now.Add(due)}
		all[key] = request{q, tokens, time.Duration(total * float64(time.Second))}
		act(d.Step(now, dispatch.Submit{Key: key, Request: q}))
		heap.Push(&h, event{at: now.Add(time.Duration(r.ExpFloat64() / (load * 16 / 1.1) * float64(time.Second)))})
	}
	return goodput, 1 - float64(late)/float64(max(done, 1))
}

// newCore returns the core under test, with a floor of a tenth for bookings and overnight work.
func newCore() decider {
	c := dispatch.NewCore("d1", "stirling", 1)
	var list []dispatch.Target
	for i := range 4 {
		list = append(list, dispatch.Target{Group: fmt.Sprint("g", i), Slots: 4, FixedSlots: true})
	}
	c.Step(epoch, dispatch.Configured{Floors: [note.NumRanks]float64{0, 0.1, 0.1}})
	c.Step(epoch, dispatch.Targets{List: list})
	return c
}

// overloadRun is the outcome of one run.
type overloadRun struct {
	// Load is the multiple of the capacity.
	Load float64
	// Goodput is the tokens per second of answers that were complete in time, Live the part of live requests that ended
	// in time among those that ran.
	Goodput, Live float64
}

func overloadRuns(d func() decider) (runs []overloadRun) {
	for _, load := range []float64{1, 2, 5, 10} {
		goodput, live := handedOverload(d(), load)
		runs = append(runs, overloadRun{load, goodput, live})
	}
	return runs
}

func overloadTable(context.Context, *cli.Command) error {
	fmt.Printf("%-14s %5s %14s %9s %14s\n", "decision", "load", "tokens/s good", "of load 1", "live in time")
	for _, v := range []struct {
		name string
		new  func() decider
	}{{"dispatch core", newCore}, {"round robin", newRoundRobin}} {
		runs := overloadRuns(v.new)
		for _, r := range runs {
			fmt.Printf("%-14s %5.0f %14.0f %9.2f %14.3f\n", v.name, r.Load, r.Goodput, r.Goodput/runs[0].Goodput, r.Live)
		}
	}
	return nil
}
