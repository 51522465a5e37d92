package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timer"
)

func request(d time.Duration) Request {
	return Request{Service: "s", Organisation: "a", Cost: 1, Deadline: time.Now().Add(d)}
}

func kind(err error) admission.RefusalKind {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Kind
	}
	return ""
}

func dispatcher(t *testing.T, o Options) *Dispatcher {
	d, stop := New(o)
	t.Cleanup(stop)
	return d
}

// Guards against a demand that isn't sent, a grant that doesn't reach its service, and use of a group without a grant.
func TestGrantedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d *Dispatcher
		demands := make(chan share.Demand, 100)
		d = dispatcher(t, Options{Daemon: "d1", SendDemands: func(list []share.Report) {
			for _, r := range list {
				demands <- r.Demand
			}
		}})
		d.Configure(note.Config{Revision: 4, Organisations: map[string]note.Organisation{"a": {Weight: 1}}})
		d.SetTargets([]Target{{Service: "s", Group: "g", Generation: 2, Slots: 4}}, map[string][]string{"g": {"h1"}})
		synctest.Wait()
		if x := <-demands; x.Group != "g" || x.Generation != 2 || x.Revision != 4 {
			t.Errorf("demand %+v", x)
		}
		if _, err := d.Acquire(t.Context(), request(100*time.Millisecond)); kind(err) != admission.Expired {
			t.Errorf("without a grant: %v", err)
		}
		if n := len(demands); n != 1 {
			t.Errorf("%d demands in 100 ms, want 1", n)
		}
		var g errgroup.Group
		g.Go(func() error {
			x := <-demands
			for len(x.Lines) == 0 {
				x = <-demands
			}
			d.Grant("h1", share.Grant{Group: "g", Generation: 2, Caps: [note.NumRanks]int{1, 1, 1}, TTL: share.GrantTTL, DemandSeq: x.Seq})
			return nil
		})
		slot, err := d.Acquire(t.Context(), request(time.Second))
		if err != nil || slot.Target.Group != "g" {
			t.Fatal(slot, err)
		}
		slot.Release(Result{})
		_ = g.Wait()
		d.Revoke("g", 2)
		if _, err := d.Acquire(t.Context(), request(time.Second)); kind(err) != admission.NoTarget {
			t.Errorf("after the revocation: %v", err)
		}
	})
}

// Guards against leaking a slot when the caller leaves before, while or after the slot is assigned to it.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := dispatcher(t, Options{FixedSlots: true})
		d.SetTargets([]Target{{Service: "s", Group: "g", Generation: 1, Slots: 1}}, nil)
		for i := range 200 {
			slot, err := d.Acquire(t.Context(), request(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			var g errgroup.Group
			g.Go(func() error {
				late, err := d.Acquire(ctx, request(time.Hour))
				if err == nil {
					late.Release(Result{})
				} else if kind(err) != admission.CallerLeft || !errors.Is(err, context.Canceled) {
					return err
				}
				return nil
			})
			synctest.Wait()
			if i%2 == 0 {
				cancel()
				slot.Release(Result{Total: time.Millisecond})
			} else {
				slot.Release(Result{Total: time.Millisecond})
				cancel()
			}
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against calls that hang when the dispatcher stops, and against a full input queue without a typed refusal.
func TestStopAndFullRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := make(chan struct{})
		d, stop := New(Options{QueueSize: 2, SendDemands: func([]share.Report) { <-blocked }})
		d.SetTargets([]Target{{Service: "s", Group: "g", Generation: 1, Slots: 1}}, map[string][]string{"g": {"h1"}})
		synctest.Wait() // The worker now blocks while it sends the first demand.
		var g errgroup.Group
		kinds := make(chan admission.RefusalKind, 5)
		for range 5 {
			g.Go(func() error {
				_, err := d.Acquire(t.Context(), request(time.Hour))
				kinds <- kind(err)
				return nil
			})
		}
		synctest.Wait()
		if len(kinds) != 3 || <-kinds != admission.BufferFull || <-kinds != admission.BufferFull || <-kinds != admission.BufferFull {
			t.Error("a full input queue does not refuse requests")
		}
		close(blocked)
		synctest.Wait()
		stop()
		_ = g.Wait()
		if a, b := <-kinds, <-kinds; a != admission.Stopped || b != admission.Stopped {
			t.Errorf("waiting calls failed with %q and %q", a, b)
		}
		if _, err := d.Acquire(t.Context(), request(time.Hour)); kind(err) != admission.Stopped {
			t.Errorf("after the stop: %v", err)
		}
	})
}

// Guards against refusing a request later than when it can no longer meet its deadline, and against ignoring the
// measured service time.
func TestRefusalAtLatestUsefulStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := dispatcher(t, Options{FixedSlots: true})
		d.SetTargets([]Target{{Service: "s", Group: "g", Generation: 1, Slots: 1}}, nil)
		for range 20 {
			slot, err := d.Acquire(t.Context(), request(time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			_ = timer.Wait(t.Context(), time.Second)
			slot.Release(Result{}) // A measured service time of 1 s.
		}
		start := time.Now()
		if _, err := d.Acquire(t.Context(), request(999*time.Millisecond)); kind(err) != admission.DeadlineUnmeetable || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		slot, _ := d.Acquire(t.Context(), request(time.Hour))
		defer slot.Release(Result{})
		if _, err := d.Acquire(t.Context(), request(2500*time.Millisecond)); kind(err) != admission.Expired || time.Since(start) != 1500*time.Millisecond+1 {
			t.Errorf("%v after %v, want it after 1.5 s, 1 s before the deadline", err, time.Since(start))
		}
	})
}

// BenchmarkStart measures a request in the core from Submit to Done, with 1000 other requests in the queue, 10
// organisations and 50 groups.
func BenchmarkStart(b *testing.B) {
	c := benchCore()
	for i := range uint64(1000) {
		c.Step(epoch, Submit{i, Request{Organisation: fmt.Sprint("org", i%10), Cost: 100, Deadline: epoch.Add(time.Hour)}})
	}
	key, now := uint64(1000), epoch
	q := Request{Organisation: "org1", Cost: 100, Deadline: epoch.Add(time.Hour)}
	var last uint64
	for k := range c.running {
		last = k
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		key++
		c.Step(now, Submit{key, q})
		as := c.Step(now, Done{last, Result{Tokens: 100, TimeToFirstToken: time.Millisecond, Total: 2 * time.Millisecond}})
		if len(as) == 0 {
			b.Fatal("nothing started")
		}
		last = as[0].Key
	}
}

// BenchmarkChoose measures only the choice of a group among 50. The target is less than 20 µs without allocations.
func BenchmarkChoose(b *testing.B) {
	c := benchCore()
	b.ReportAllocs()
	for b.Loop() {
		if c.choose(epoch, note.RankLive, waitingRequest{}, false) == nil {
			b.Fatal("no group")
		}
	}
}

func benchCore() *Core {
	c := NewCore("d1", "stirling", 1)
	var list []Target
	for i := range 50 {
		list = append(list, Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: 4})
	}
	as := slices.Clone(c.Step(epoch, Targets{list, singleHome(list)}))
	for _, t := range list {
		c.Step(epoch, grantFor(as, t.Group, [note.NumRanks]int{4, 4, 4}))
	}
	return c
}
