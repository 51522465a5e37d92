package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flamingorudder.example/internal/note"
)

// row sums up the requests of one kind.
type row struct {
	// By is "work", "rank" or "org"; Name is which.
	By   string `json:"by"`
	Name string `json:"name"`

	Sent    int `json:"sent"`
	Good    int `json:"good"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	Wrong   int `json:"wrong"`
	// First and Whole are the quantiles, in milliseconds, of all requests that were not refused.
	First quantiles `json:"first_ms"`
	Whole quantiles `json:"whole_ms"`

	first, whole *hdrhistogram.Histogram
}

// quantiles are those of a latency in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// newHistogram covers a microsecond to two minutes with three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e3
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99)}
}

func newRow(by, name string) *row {
	return &row{By: by, Name: name, first: newHistogram(), whole: newHistogram()}
}

func (r *row) add(o outcome) {
	r.Sent++
	switch o.class {
	case good:
		r.Good++
	case late:
		r.Late++
	case refused:
		r.Refused++
	case wrong:
		r.Wrong++
	default:
		r.Broken++
	}
	if o.class == refused {
		return
	}
	// A request without a whole answer counts as long as its caller would have waited, so that losses cannot make the
	// quantiles look better.
	first, whole := o.first, o.whole
	if !o.answer.Complete {
		whole = max(whole, shapes[o.rank].Deadline+grace)
		if !o.started {
			first = whole
		}
	}
	_ = r.first.RecordValue(max(first.Microseconds(), 1))
	_ = r.whole.RecordValue(max(whole.Microseconds(), 1))
}

func (r *row) close() row {
	r.First, r.Whole = quantilesOf(r.first), quantilesOf(r.whole)
	return *r
}

// met is the part of the requests whose whole answer came within the deadline.
func (r row) met() float64 { return part(float64(r.Good), float64(r.Sent)) }

// part returns a/b, and 0 when there is nothing to divide by.
func part(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// sum sums up those counted requests that keep selects.
func (r result) sum(name string, keep func(outcome) bool) row {
	out := newRow("", name)
	for _, o := range r.outcomes {
		if !o.warm && keep(o) {
			out.add(o)
		}
	}
	return out.close()
}

// rank sums up the chats of a rank.
func (r result) rank(k note.Rank) row {
	return r.sum(k.String(), func(o outcome) bool { return o.rank == k && !o.plain })
}

// rows sums up by rank, work and organisation.
func (r result) rows() []row {
	by := map[[2]string]*row{}
	add := func(kind, name string, o outcome) {
		k := [2]string{kind, name}
		if by[k] == nil {
			by[k] = newRow(kind, name)
		}
		by[k].add(o)
	}
	for _, o := range r.outcomes {
		if !o.warm {
			add("rank", o.rank.String(), o)
			add("work", o.stream.Work, o)
			add("org", o.stream.Org, o)
		}
	}
	var out []row
	for _, v := range by {
		out = append(out, v.close())
	}
	order := []string{"rank", "work", "org"}
	slices.SortFunc(out, func(a, b row) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.By), slices.Index(order, b.By)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// goodput is the useful work per second, in slots: the engine time of the chats that ended in time while the run was
// counted. Work counts when it ends, so that what a queue holds at the end of the run does not.
func (r result) goodput(s speeds) float64 {
	var sum time.Duration
	for _, o := range r.outcomes {
		if !o.plain && o.class == good && !o.answer.Done.Before(r.start) && o.answer.Done.Before(r.end) {
			sum += s.work(shapes[o.rank].Tokens)
		}
	}
	return part(sum.Seconds(), r.end.Sub(r.start).Seconds())
}

func printRows(w io.Writer, rows []row) {
	_, _ = fmt.Fprintf(w, "%-5s %-18s %6s %6s %6s %7s %6s %6s %8s %8s %8s %8s %8s\n", "by", "name", "sent", "good", "late", "refused", "broken", "wrong", "first50", "first95", "first99", "whole95", "met %")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%-5s %-18s %6d %6d %6d %7d %6d %6d %8.1f %8.1f %8.1f %8.1f %8.2f\n", r.By, r.Name, r.Sent, r.Good, r.Late, r.Refused, r.Broken, r.Wrong, r.First.P50, r.First.P95, r.First.P99, r.Whole.P95, 100*r.met())
	}
}
