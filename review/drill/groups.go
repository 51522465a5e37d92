package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
)

// membership is the group that a backend server belongs to, as it tells itself.
type membership struct {
	group   string
	epoch   int64
	members []string
	state   fakeplatform.Kind
	at      time.Time
}

// runners are the model runners of a drill, by id.
type runners struct {
	f       *fleet
	mu      sync.Mutex
	of      map[string]membership
	process map[string]*process
	store   map[string]*proxy
	// broken tells of joins that break the rule TWO.
	broken []string
}

// observe follows the memberships and checks each join: while the head of the group that the server belongs to is open or closing, or
// stands still and is not yet broken, it takes no join of another group.
func (r *runners) observe(e fakeplatform.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.of[e.Server]
	switch e.Kind {
	case fakeplatform.Joining:
		if len(was.members) > 1 && was.state != fakeplatform.Left && was.group != e.Group {
			head := r.of[was.members[0]]
			if head.group == was.group && head.epoch == was.epoch && (head.state == fakeplatform.Opened || head.state == fakeplatform.Closed) {
				r.broken = append(r.broken, fmt.Sprintf("%s was joined to group %s while group %s of %s, which it had not left, was open", e.Server, e.Group, was.group, was.members[0]))
				r.f.record.add("BROKEN: %s", r.broken[len(r.broken)-1])
			}
		}
	case fakeplatform.Ready, fakeplatform.Opened, fakeplatform.Closed, fakeplatform.Broken, fakeplatform.Left:
	default:
		return // of a request
	}
	if e.Kind == fakeplatform.Closed {
		e.Kind = fakeplatform.Ready // its head is ready again
	}
	r.of[e.Server] = membership{e.Group, e.Epoch, e.Members, e.Kind, e.At}
}

// openHeads returns the heads of open groups of several members.
func (r *runners) openHeads() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, m := range r.of {
		if m.state == fakeplatform.Opened && len(m.members) > 1 && m.members[0] == id {
			out = append(out, id)
		}
	}
	return out
}

func (r *runners) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// runnerModels are the models of the drills: as on the sheet, but small ones that load soon.
var runnerModels = []route.Model{{Name: "m1", Size: 2, Share: 1, TimeFactor: 0.6, Load: time.Second, Warm: 300 * time.Millisecond}}

func runnerConfig() *route.Config {
	engine := &route.Engine{
		Slots: 26, Stride: 5, Step: 6 * time.Millisecond, PerRequest: 241 * time.Microsecond, PrefillRate: 46000, Chunk: 2048,
		Form: 300 * time.Millisecond, LoadRate: 4, LoadsAtOnce: 6, UsualAnswer: 60, Models: runnerModels,
	}
	return &route.Config{
		Version: 1, MaxBody: maxBody,
		Routes: []route.Route{{
			Name: "draft", Host: hostName, Prefix: "/draft/", Kind: route.Streaming, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
			Gap: 300 * time.Millisecond, Split: []route.Weighted{{Service: modelService, Weight: 1}}, MaxAttempts: 2, Resumable: true,
		}},
		Services:      []route.Service{{Name: modelService, MaxConnections: 404, Engine: engine}},
		Organisations: []route.Organisation{{Name: "north", Keys: []string{apiKey}, Rank: -1}},
	}
}

// startRunners starts a store, model runners with a proxy before their way to the store each, and daemons, and waits for open groups.
func startRunners(ctx context.Context, f *fleet, servers, daemons, groups int) (*runners, error) {
	r := &runners{f: f, of: map[string]membership{}, process: map[string]*process{}, store: map[string]*proxy{}}
	f.events = r.observe
	if err := f.startStore(ctx); err != nil {
		return nil, err
	}
	if err := f.putConfig(ctx, runnerConfig()); err != nil {
		return nil, err
	}
	own := f.platform
	for i := range servers {
		id := "i-" + strconv.Itoa(i)
		p, err := f.proxy(own)
		if err != nil {
			return nil, err
		}
		addr, err := f.free()
		if err != nil {
			return nil, err
		}
		f.platform = p.addr
		r.store[id] = p
		r.process[id], err = f.startServer(serverOptions{id: id, service: modelService, domain: "d0", slots: 26, work: 30 * time.Millisecond, models: runnerModels}, addr)
		f.platform = own
		if err != nil {
			return nil, err
		}
	}
	for i := range daemons {
		if _, err := f.addDaemon(i, "z"+strconv.Itoa(i%3), f.serves); err != nil {
			return nil, err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return nil, err
		}
	}
	return r, r.awaitGroups(ctx, groups)
}

func (r *runners) awaitGroups(ctx context.Context, n int) error {
	for len(r.openHeads()) < n {
		if timer.Wait(ctx, 50*time.Millisecond) != nil {
			return fmt.Errorf("%d groups are open, %d are needed", len(r.openHeads()), n)
		}
	}
	return nil
}

// talk has consumers send streams to all daemons until ctx ends.
func (f *fleet) talk(ctx context.Context, perDaemon int) (wait func()) {
	var clients sync.WaitGroup
	for i, d := range f.daemons {
		for j := range perDaemon {
			clients.Go(func() {
				c := &http.Client{Transport: &http.Transport{}}
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("s%d-%d-%d", i, j, n)
					a := fakeplatform.Ask{ID: id, Method: http.MethodPost, Host: hostName, Path: "/draft/" + id, Key: apiKey, Model: "m1", Left: 6 * time.Second}
					reply := a.Do(ctx, c, d.caller)
					f.record.add("request %s: status %d, %d bytes, error %v", id, reply.Status, len(reply.Body), reply.Err)
					_ = timer.Wait(ctx, 100*time.Millisecond)
				}
			})
		}
	}
	return clients.Wait
}

// silentFor is how long a sound runner is silent, silentBefore how long before the end of its entry that begins.
const (
	silentFor    = 1500 * time.Millisecond
	silentBefore = 500 * time.Millisecond
	// cutFor is how long the way of a runner to the store is cut.
	cutFor = 6 * time.Second
)

// lapse cuts the way of a head to the store, and has it fall silent for a moment about when its entry lapses. Without the trouble it only
// falls silent.
func lapse(ctx context.Context, f *fleet, trouble bool) (int, error) {
	r, err := startRunners(ctx, f, 5, 4, 2)
	if err != nil {
		return unable, err
	}
	talking, stop := context.WithCancel(ctx)
	wait := f.talk(talking, 3)
	defer func() {
		stop()
		wait()
	}()
	_ = timer.Wait(ctx, 6*time.Second)
	for round := 0; round < 8 && r.brokenCount() == 0; round++ {
		if err := r.awaitGroups(ctx, 2); err != nil {
			return unable, err
		}
		head := r.openHeads()[0]
		p, store := r.process[head], r.store[head]
		if trouble {
			f.record.add("the way of %s to the store is cut", head)
			store.cut()
		}
		lapses := time.Unix(0, store.passed.Load()).Add(3 * beatTime)
		_ = timer.Wait(ctx, time.Until(lapses.Add(-silentBefore)))
		f.record.add("%s falls silent", head)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		_ = timer.Wait(ctx, silentFor)
		f.record.add("%s goes on", head)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = timer.Wait(ctx, cutFor-3*beatTime-silentFor+silentBefore)
		store.heal()
		f.record.add("the cut has ended")
		_ = timer.Wait(ctx, 4*time.Second)
	}
	if r.brokenCount() > 0 {
		return broken, nil
	}
	return held, nil
}
