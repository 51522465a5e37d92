package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// run runs f in a bubble with a keeper on a table.
func run(t *testing.T, f func(t *testing.T, k *Keeper, s *standin.Table)) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Table{}
		n := 0
		k := NewKeeper(s, func() string { n++; return fmt.Sprint("op", n) })
		ctx, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return k.Run(ctx) })
		f(t, k, s)
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// wait lets time of the bubble pass.
func wait(t *testing.T, d time.Duration) {
	t.Helper()
	if err := timer.Wait(t.Context(), d); err != nil {
		t.Fatal(err)
	}
}

func entry(request, hash string) Entry {
	return Entry{Hash: hash, Request: request, Due: time.Now().Add(time.Minute)}
}

func want(t *testing.T, k *Keeper, e Entry, v Verdict) Claim {
	t.Helper()
	c, err := k.Take(t.Context(), "claim/org/k", e)
	if err != nil || c.Verdict != v {
		t.Fatalf("request %s: verdict %v, error %v; want %v", e.Request, c.Verdict, err, v)
	}
	return c
}

// Guards against a second run of a claimed call through each state of its row, and against a lost recorded answer.
func TestClaimLife(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, _ *standin.Table) {
		c := want(t, k, entry("a", "h"), Mine)
		want(t, k, entry("b", "h"), InProgress)
		want(t, k, entry("c", "other"), Mismatch)
		k.Release(c)
		synctest.Wait()
		c = want(t, k, entry("d", "h"), Mine)
		wait(t, 2*time.Minute)
		want(t, k, entry("e", "h"), Lost)
		k.Record(c, Answer{Status: 201, Body: []byte("booked")})
		synctest.Wait()
		if c := want(t, k, entry("f", "h"), Replay); string(c.Entry.Answer.Body) != "booked" || c.Entry.Answer.Status != 201 {
			t.Errorf("replayed %+v", c.Entry.Answer)
		}
	})
}

// Guards against a body without bound in the table.
func TestLargeAnswer(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, _ *standin.Table) {
		k.Record(want(t, k, entry("a", "h"), Mine), Answer{Status: 200, Body: make([]byte, MaxBody+1)})
		synctest.Wait()
		if a := want(t, k, entry("b", "h"), Replay).Entry.Answer; !a.Partial || a.Body != nil {
			t.Errorf("recorded %d bytes, partial %v", len(a.Body), a.Partial)
		}
	})
}

// Guards against a claim that is refused or taken twice because an answer of the table was lost, before or after the
// write took effect.
func TestLostAnswers(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *standin.Table) {
		s.Set(standin.TableFaults{LoseAfter: 1})
		c := want(t, k, entry("a", "h"), Mine)
		s.Set(standin.TableFaults{LoseAfter: 1})
		k.Record(c, Answer{Status: 200})
		synctest.Wait()
		want(t, k, entry("b", "h"), Replay)
		s.Set(standin.TableFaults{LoseBefore: 1})
		if c, err := k.Take(t.Context(), "claim/org/other", entry("c", "h")); err != nil || c.Verdict != Mine {
			t.Errorf("after a lost request: %v, %v", c.Verdict, err)
		}
	})
}

// Guards against one conflict that loses the other claims of its transaction, and against one transaction per claim.
func TestBatch(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *standin.Table) {
		want(t, k, entry("a", "h"), Mine)
		// With a table that takes no time, the scheduler would decide how many claims wait at once.
		s.Set(standin.TableFaults{Took: time.Millisecond})
		before := s.Commits()
		var g errgroup.Group
		got := make([]Verdict, 40)
		for i := range got {
			g.Go(func() error {
				key := "claim/org/k" // The first of them is taken already.
				if i > 0 {
					key = fmt.Sprint("claim/org/", i)
				}
				c, err := k.Take(t.Context(), key, entry(fmt.Sprint("r", i), "h"))
				got[i] = c.Verdict
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		for i, v := range got {
			if (i == 0 && v != InProgress) || (i > 0 && v != Mine) {
				t.Errorf("claim %d: %v", i, v)
			}
		}
		if n := s.Commits() - before; n > 10 {
			t.Errorf("%d transactions for 40 claims", n)
		}
	})
}

// Guards against a call that is sent, or a caller that waits, while the table is down, and against an outcome that is
// forgotten because the table was down when it came.
func TestTableDown(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *standin.Table) {
		c := want(t, k, entry("a", "h"), Mine)
		s.Set(standin.TableFaults{Down: true})
		var u *Unavailable
		if _, err := k.Take(t.Context(), "claim/org/new", entry("b", "h")); !errors.As(err, &u) {
			t.Errorf("claim while the table is down: %v", err)
		}
		k.Record(c, Answer{Status: 200})
		wait(t, time.Minute)
		s.Set(standin.TableFaults{})
		wait(t, 30*time.Second)
		want(t, k, entry("c", "h"), Replay)
		if c, err := k.Take(t.Context(), "claim/org/new", entry("d", "h")); err != nil || c.Verdict != Mine {
			t.Errorf("key refused as not run cannot be claimed later: %v, %v", c.Verdict, err)
		}
	})
}

// Guards against two daemons that both hold a claim when repeats reach them at once and the table loses answers.
func TestTwoDaemons(t *testing.T) {
	for seed := range uint64(200) {
		run(t, func(t *testing.T, k *Keeper, s *standin.Table) {
			random := rand.New(rand.NewPCG(seed, 0))
			s.Set(standin.TableFaults{LoseAfter: random.IntN(3), LoseBefore: random.IntN(3)})
			n := 0
			other := NewKeeper(s, func() string { n++; return fmt.Sprint("other", n) })
			ctx, stop := context.WithCancel(t.Context())
			var duty, repeats errgroup.Group
			duty.Go(func() error { return other.Run(ctx) })
			var mine atomic.Int32
			for i := range 6 {
				at := time.Duration(random.IntN(3)) * time.Millisecond
				keeper := []*Keeper{k, other}[i%2]
				repeats.Go(func() error {
					_ = timer.Wait(ctx, at)
					if c, err := keeper.Take(ctx, "claim/org/k", entry(fmt.Sprint("r", i), "h")); err == nil && c.Verdict == Mine {
						mine.Add(1)
					}
					return nil
				})
			}
			_ = repeats.Wait()
			stop()
			_ = duty.Wait()
			if mine.Load() > 1 {
				t.Errorf("seed %d: %d requests hold the claim", seed, mine.Load())
			}
		})
	}
}
