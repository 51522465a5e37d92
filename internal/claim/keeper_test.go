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

// runWithWriter runs f in a synctest bubble with a running Writer on a simulated table.
func runWithWriter(t *testing.T, f func(t *testing.T, w *Writer, s *standin.Table)) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Table{}
		n := 0
		w := NewWriter(s, func() string { n++; return fmt.Sprint("op", n) })
		ctx, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return w.Run(ctx) })
		f(t, w, s)
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// advance advances the bubble's clock.
func advance(t *testing.T, d time.Duration) {
	t.Helper()
	if err := timer.Wait(t.Context(), d); err != nil {
		t.Fatal(err)
	}
}

func entry(request, hash string) Entry {
	return Entry{Hash: hash, Request: request, Due: time.Now().Add(time.Minute)}
}

func mustTake(t *testing.T, w *Writer, e Entry, v Verdict) Claim {
	t.Helper()
	c, err := w.Take(t.Context(), "claim/org/k", e)
	if err != nil || c.Verdict != v {
		t.Fatalf("request %s: verdict %v, error %v; want %v", e.Request, c.Verdict, err, v)
	}
	return c
}

// Guards against a second execution of a claimed call in each state of its row, and against losing a recorded response.
func TestClaimLifecycle(t *testing.T) {
	runWithWriter(t, func(t *testing.T, w *Writer, _ *standin.Table) {
		c := mustTake(t, w, entry("a", "h"), Owned)
		mustTake(t, w, entry("b", "h"), InProgress)
		mustTake(t, w, entry("c", "other"), Mismatch)
		w.Release(c)
		synctest.Wait()
		c = mustTake(t, w, entry("d", "h"), Owned)
		advance(t, 2*time.Minute)
		mustTake(t, w, entry("e", "h"), OutcomeUnknown)
		w.Record(c, Response{Status: 201, Body: []byte("booked")})
		synctest.Wait()
		if c := mustTake(t, w, entry("f", "h"), Replay); string(c.Entry.Response.Body) != "booked" || c.Entry.Response.Status != 201 {
			t.Errorf("replayed response is %+v, want status 201 and body \"booked\"", c.Entry.Response)
		}
	})
}

// Guards against response bodies of unlimited size in the table.
func TestLargeBody(t *testing.T) {
	runWithWriter(t, func(t *testing.T, w *Writer, _ *standin.Table) {
		w.Record(mustTake(t, w, entry("a", "h"), Owned), Response{Status: 200, Body: make([]byte, MaxResponseBody+1)})
		synctest.Wait()
		if a := mustTake(t, w, entry("b", "h"), Replay).Entry.Response; !a.Partial || a.Body != nil {
			t.Errorf("recorded body of %d bytes, partial %v; want no body, partial true", len(a.Body), a.Partial)
		}
	})
}

// Guards against a claim that is rejected or granted twice because a reply of the table was lost, before or after the
// write took effect.
func TestLostReplies(t *testing.T) {
	runWithWriter(t, func(t *testing.T, w *Writer, s *standin.Table) {
		s.Set(standin.TableFaults{LoseAfter: 1})
		c := mustTake(t, w, entry("a", "h"), Owned)
		s.Set(standin.TableFaults{LoseAfter: 1})
		w.Record(c, Response{Status: 200})
		synctest.Wait()
		mustTake(t, w, entry("b", "h"), Replay)
		s.Set(standin.TableFaults{LoseBefore: 1})
		if c, err := w.Take(t.Context(), "claim/org/other", entry("c", "h")); err != nil || c.Verdict != Owned {
			t.Errorf("claim after a lost request: verdict %v, error %v", c.Verdict, err)
		}
	})
}

// Guards against a conflict that fails the other claims of its transaction, and against one transaction per claim.
func TestBatch(t *testing.T) {
	runWithWriter(t, func(t *testing.T, w *Writer, s *standin.Table) {
		mustTake(t, w, entry("a", "h"), Owned)
		// If the table took no time, the number of claims queued at once would depend on the scheduler.
		s.Set(standin.TableFaults{Took: time.Millisecond})
		before := s.Commits()
		var g errgroup.Group
		got := make([]Verdict, 40)
		for i := range got {
			g.Go(func() error {
				key := "claim/org/k" // The first of them is already claimed.
				if i > 0 {
					key = fmt.Sprint("claim/org/", i)
				}
				c, err := w.Take(t.Context(), key, entry(fmt.Sprint("r", i), "h"))
				got[i] = c.Verdict
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		for i, v := range got {
			if (i == 0 && v != InProgress) || (i > 0 && v != Owned) {
				t.Errorf("claim %d: verdict %v", i, v)
			}
		}
		if n := s.Commits() - before; n > 10 {
			t.Errorf("%d transactions for 40 claims, want at most 10", n)
		}
	})
}

// Guards against a call that is sent and a caller that waits too long while the table is unavailable, and against
// losing an outcome that arrives meanwhile.
func TestTableDown(t *testing.T) {
	runWithWriter(t, func(t *testing.T, w *Writer, s *standin.Table) {
		c := mustTake(t, w, entry("a", "h"), Owned)
		s.Set(standin.TableFaults{Down: true})
		var u *UnavailableError
		if _, err := w.Take(t.Context(), "claim/org/new", entry("b", "h")); !errors.As(err, &u) {
			t.Errorf("claim while the table is unavailable: error %v, want *UnavailableError", err)
		}
		w.Record(c, Response{Status: 200})
		advance(t, time.Minute)
		s.Set(standin.TableFaults{})
		advance(t, 30*time.Second)
		mustTake(t, w, entry("c", "h"), Replay)
		if c, err := w.Take(t.Context(), "claim/org/new", entry("d", "h")); err != nil || c.Verdict != Owned {
			t.Errorf("key of a rejected request cannot be claimed later: verdict %v, error %v", c.Verdict, err)
		}
	})
}

// Guards against two daemons that both hold a claim when repeats reach them at the same time and the table loses
// replies.
func TestTwoDaemons(t *testing.T) {
	for seed := range uint64(200) {
		runWithWriter(t, func(t *testing.T, w *Writer, s *standin.Table) {
			random := rand.New(rand.NewPCG(seed, 0))
			s.Set(standin.TableFaults{LoseAfter: random.IntN(3), LoseBefore: random.IntN(3)})
			n := 0
			other := NewWriter(s, func() string { n++; return fmt.Sprint("other", n) })
			ctx, stop := context.WithCancel(t.Context())
			var background, repeats errgroup.Group
			background.Go(func() error { return other.Run(ctx) })
			var holders atomic.Int32
			for i := range 6 {
				delay := time.Duration(random.IntN(3)) * time.Millisecond
				writer := []*Writer{w, other}[i%2]
				repeats.Go(func() error {
					_ = timer.Wait(ctx, delay)
					if c, err := writer.Take(ctx, "claim/org/k", entry(fmt.Sprint("r", i), "h")); err == nil && c.Verdict == Owned {
						holders.Add(1)
					}
					return nil
				})
			}
			_ = repeats.Wait()
			stop()
			_ = background.Wait()
			if holders.Load() > 1 {
				t.Errorf("seed %d: %d requests hold the claim, want at most 1", seed, holders.Load())
			}
		})
	}
}
