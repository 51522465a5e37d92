package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func clock() time.Time { return noon }

// TestBudgetKeepsRoomForSmallRequests guards against large bodies that leave no room for small requests and their heads.
func TestBudgetKeepsRoomForSmallRequests(t *testing.T) {
	b := NewBudget(8000)
	large, small, head := b.Reservation(), b.Reservation(), b.Reservation()
	for _, step := range []struct {
		r    *Reservation
		kind Kind
		n    int64
		fits bool
	}{{large, LargeBody, 6000, true}, {large, LargeBody, 1, false}, {small, Body, 1000, true}, {small, Body, 1, false}, {head, Head, 1000, true}, {head, Head, 1, false}} {
		if err := step.r.Grow(noon, step.kind, step.n); (err == nil) != step.fits {
			t.Errorf("%d bytes of kind %d: %v, want room: %v", step.n, step.kind, err, step.fits)
		}
	}
	large.Release()
	if small.Grow(noon, LargeBody, 4000) != nil || b.Used() != 6000 {
		t.Errorf("%d bytes are reserved after a release, want 6000", b.Used())
	}
	if large.Grow(noon, Head, 1) == nil {
		t.Error("a released reservation has grown")
	}
}

// TestStalledBodyGivesWay guards against a budget that clients fill with bodies that they do not finish.
func TestStalledBodyGivesWay(t *testing.T) {
	b := NewBudget(8000)
	gaveUp := ""
	var all []*Reservation
	for i, name := range []string{"first", "second"} {
		r := b.Reservation()
		r.BeginReading(noon, func() { gaveUp += name })
		if err := r.Grow(noon, LargeBody, 3000); err != nil {
			t.Fatal(err)
		}
		r.Progress(noon.Add(time.Duration(2-i) * time.Second)) // the second one stalls earlier
		all = append(all, r)
	}
	newer := b.Reservation()
	var exhausted *ExhaustedError
	if err := newer.Grow(noon.Add(2*time.Second), LargeBody, 1000); !errors.As(err, &exhausted) || gaveUp != "" {
		t.Errorf("error %v, gave up: %q, want none, as each has made progress lately", err, gaveUp)
	}
	for range 2 { // each is told once
		if newer.Grow(noon.Add(2500*time.Millisecond), LargeBody, 1000) == nil || gaveUp != "second" {
			t.Errorf("gave up: %q, want the one that stalls for longest", gaveUp)
		}
	}
	if !all[1].EndReading() || all[0].EndReading() {
		t.Error("the wrong body has to give up")
	}
}

// TestReadBody guards against bodies that are cut, are larger than their limit, or leave memory reserved.
func TestReadBody(t *testing.T) {
	for _, test := range []struct {
		name          string
		size          int
		length, limit int64
		budget        int64
		tooLarge      bool
		exhausted     bool
	}{
		{name: "announced", size: 100, length: 100, limit: 100, budget: 1 << 20},
		{name: "at the limit", size: 1 << 20, length: -1, limit: 1 << 20, budget: 8 << 20},
		{name: "announced at the limit", size: 1 << 20, length: 1 << 20, limit: 1 << 20, budget: 8 << 20},
		{name: "no limit", size: 1 << 20, length: -1, budget: 8 << 20},
		{name: "one byte over the limit", size: 1<<20 + 1, length: -1, limit: 1 << 20, budget: 8 << 20, tooLarge: true},
		{name: "announced over the limit", size: 0, length: 1 << 40, limit: 1 << 20, budget: 8 << 20, tooLarge: true},
		{name: "over the budget", size: 1 << 20, length: -1, limit: 1 << 20, budget: 1 << 20, exhausted: true},
		{name: "announced over the budget", size: 1 << 20, length: 1 << 20, limit: 1 << 20, budget: 1 << 20, exhausted: true},
		{name: "no limit, over the budget", size: 1 << 24, length: -1, budget: 1 << 20, exhausted: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := bytes.Repeat([]byte("0123456789"), test.size/10+1)[:test.size]
			b := NewBudget(test.budget)
			r := b.Reservation()
			got, err := ReadBody(iotest.HalfReader(bytes.NewReader(want)), test.length, test.limit, r, clock)
			var tooLarge *TooLargeError
			var exhausted *ExhaustedError
			switch {
			case errors.As(err, &tooLarge) != test.tooLarge || errors.As(err, &exhausted) != test.exhausted:
				t.Errorf("error %v", err)
			case err == nil && !bytes.Equal(got, want):
				t.Errorf("%d bytes, want %d", len(got), len(want))
			case err == nil && b.Used() != int64(cap(got)):
				t.Errorf("%d bytes are reserved for a buffer of %d", b.Used(), cap(got))
			}
			if r.Release(); b.Used() != 0 {
				t.Errorf("%d bytes stay reserved", b.Used())
			}
		})
	}
	if _, err := ReadBody(bytes.NewReader(make([]byte, 10)), 11, 0, NewBudget(1<<20).Reservation(), clock); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that ends early: %v", err)
	}
}

// TestConns guards against connections and heads beyond their limits, against memory of heads that is not given back, and against the
// loss of connections on which a request runs.
func TestConns(t *testing.T) {
	b := NewBudget(1 << 20)
	c := NewConns[int](Limits{Conns: 4, Heads: 2, HeadBytes: 1000, HeadTimeout: time.Second, IdleTimeout: 3 * time.Second}, b)
	open := func(at time.Duration, id, displaces int, fits bool) {
		t.Helper()
		displaced, ok := c.Open(noon.Add(at), id)
		if ok != fits || len(displaced) != min(displaces, 1) || displaces > 0 && displaced[0] != displaces {
			t.Errorf("connection %d: %v, displaces %v; want %v, %d", id, ok, displaced, fits, displaces)
		}
	}
	receive := func(at time.Duration, id, n int, want Refusal, displaces ...int) {
		t.Helper()
		refusal, displaced := c.Received(noon.Add(at), id, n)
		if refusal != want || len(displaced) != len(displaces) || len(displaces) > 0 && displaced[0] != displaces[0] {
			t.Errorf("%d bytes of connection %d: %q, displaces %v; want %q, %v", n, id, refusal, displaced, want, displaces)
		}
	}
	for id := 1; id <= 4; id++ {
		open(time.Duration(id), id, 0, true)
	}
	receive(10, 1, 500, NotRefused)
	c.HeadDone(noon.Add(11), 1)
	if b.Used() != 1000 {
		t.Errorf("%d bytes are reserved for a head of 500, want twice as many", b.Used())
	}
	open(20, 5, 2, true) // 1 has a request, 2 has waited longest
	receive(30, 3, 900, NotRefused)
	receive(31, 4, 900, NotRefused)
	receive(32, 5, 900, NotRefused, 3)
	receive(33, 4, 1000+headSlop, HeadTooLarge)
	c.Closing(noon.Add(34), 4)
	if slow, unused := c.Expired(noon.Add(time.Second + 40)); len(slow) != 1 || slow[0] != 5 || len(unused) != 0 {
		t.Errorf("slow: %v, unused: %v, want the head of 5", slow, unused)
	}
	c.Closed(5)
	c.Idle(noon.Add(2*time.Second), 1)
	if _, unused := c.Expired(noon.Add(6 * time.Second)); len(unused) != 1 || unused[0] != 1 {
		t.Errorf("unused: %v, want 1", unused)
	}
	if b.Used() != 0 || c.Len() != 2 {
		t.Errorf("%d bytes are reserved for heads and %d connections are open, want none and 2", b.Used(), c.Len())
	}
	for id := 6; id <= 7; id++ {
		open(7*time.Second, id, 0, true)
		receive(7*time.Second, id, 10, NotRefused)
		c.HeadDone(noon.Add(7*time.Second), id)
	}
	open(8*time.Second, 8, 4, true)
	receive(8*time.Second, 8, 10, NotRefused)
	c.HeadDone(noon.Add(8*time.Second), 8)
	open(9*time.Second, 9, 0, false) // a request runs on each but the idle one, which may be used again
}
