package main

import (
	"context"
	"io"
	"math"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/audit"
	"flamingorudder.example/internal/caller"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

// Guards against a baseline and a candidate that send different requests: the same seed must give the same arrivals, also
// when further streams are added.
func TestArrivalsBySeed(t *testing.T) {
	base := []stream{{Org: "a", Rate: 50}, {Org: "b", Rate: 5}}
	one := arrivals(base, 7, 20*time.Second)
	if !reflect.DeepEqual(one, arrivals(base, 7, 20*time.Second)) {
		t.Error("the same seed gave other arrivals")
	}
	if reflect.DeepEqual(one, arrivals(base, 8, 20*time.Second)) {
		t.Error("another seed gave the same arrivals")
	}
	var kept []arrival
	for _, a := range arrivals(append(base, stream{Org: "c", Rate: 500}), 7, 20*time.Second) {
		if a.Stream < len(base) {
			kept = append(kept, a)
		}
	}
	if !reflect.DeepEqual(one, kept) {
		t.Error("a further stream moved the arrivals of the others")
	}
}

// Guards against a load that is not Poisson: its mean must be the rate, and gaps must vary as much as their mean.
func TestArrivalsArePoisson(t *testing.T) {
	const rate, seconds = 200.0, 100
	list := arrivals([]stream{{Rate: rate}}, 1, seconds*time.Second)
	if n := float64(len(list)); math.Abs(n-rate*seconds) > 4*math.Sqrt(rate*seconds) {
		t.Errorf("%v arrivals, want about %v", n, rate*seconds)
	}
	var sum, squares float64
	for i := 1; i < len(list); i++ {
		if list[i].Number != i || list[i].At < list[i-1].At {
			t.Fatalf("arrival %d is %+v", i, list[i])
		}
		gap := (list[i].At - list[i-1].At).Seconds()
		sum, squares = sum+gap, squares+gap*gap
	}
	mean := sum / float64(len(list)-1)
	if cv := math.Sqrt(squares/float64(len(list)-1)-mean*mean) / mean; cv < 0.95 || cv > 1.05 {
		t.Errorf("coefficient of variation of the gaps is %v, want about 1", cv)
	}
}

// Guards against verdicts that pass a missing value, or that read a bound in the wrong direction.
func TestVerdicts(t *testing.T) {
	var e entry
	e.most("at most", 1.2, "ratio", 1.2)
	e.most("at most", 1.21, "ratio", 1.2)
	e.least("at least", 0.99, "part", 0.99)
	e.least("at least", 0.98, "part", 0.99)
	e.none("none", "s", 2, "nothing was seen")
	var got []string
	for _, l := range e.Lines {
		got = append(got, l.Verdict())
	}
	if want := "ok short ok short short"; strings.Join(got, " ") != want {
		t.Errorf("verdicts are %v, want %s", got, want)
	}
}

// Guards against quantiles that lost requests make better, and against counts that mix up what became of requests.
func TestRowsCountLostRequests(t *testing.T) {
	r := result{start: time.Unix(0, 0), end: time.Unix(10, 0)}
	add := func(n int, c class, whole time.Duration) {
		for range n {
			r.outcomes = append(r.outcomes, outcome{rank: note.RankLive, class: c, first: whole / 2, whole: whole, started: c == good, answer: audit.Answer{Complete: c == good, Done: r.start.Add(whole)}, stream: stream{Org: "a", Work: "w"}})
		}
	}
	add(90, good, 100*time.Millisecond)
	add(6, broken, time.Millisecond)
	add(3, refused, time.Millisecond)
	add(1, late, 5*time.Second)
	r.outcomes = append(r.outcomes, outcome{warm: true, class: wrong})
	x := r.rank(note.RankLive)
	if x.Sent != 100 || x.Good != 90 || x.Broken != 6 || x.Refused != 3 || x.Late != 1 || x.Wrong != 0 {
		t.Errorf("counts are %+v", x)
	}
	if x.met() != 0.9 {
		t.Errorf("met is %v, want 0.9", x.met())
	}
	if x.Whole.P50 < 99 || x.Whole.P50 > 101 || x.Whole.P95 < 4900 {
		t.Errorf("quantiles are %+v, want about 100 at p50 and at least the deadline at p95", x.Whole)
	}
	if n := r.lost(every); n != 7 {
		t.Errorf("%d requests lost, want 7: broken and late without an answer, not refused", n)
	}
	s := speeds{First: 100 * time.Millisecond, Token: 10 * time.Millisecond}
	r.outcomes = append(r.outcomes, outcome{class: good, answer: audit.Answer{Done: r.end}})
	if got, want := r.goodput(s), 90*s.work(shapes[note.RankLive].Tokens).Seconds()/10; math.Abs(got-want) > 1e-9 {
		t.Errorf("goodput is %v, want %v", got, want)
	}
	if part(1, 0) != 0 {
		t.Error("a ratio without a baseline is not 0")
	}
}

// Guards against streams that pass as whole without their end, and against taking a stream that the daemon ended with an
// error event for a broken connection.
func TestReadStream(t *testing.T) {
	const event = "data: {\"choices\":[{\"delta\":{\"content\":\"x \"},\"finish_reason\":null}]}\n\n"
	const last = "data: {\"choices\":[{\"delta\":{\"content\":\"y\"},\"finish_reason\":\"stop\"}]}\n\n"
	cases := []struct {
		name, body string
		class      class
		outcome    caller.Outcome
		own        bool
	}{
		{"whole", event + last + "data: [DONE]\n\n", good, caller.Run, true},
		{"no end", event + last, broken, caller.Run, true},
		{"token missing", last + "data: [DONE]\n\n", wrong, caller.Run, false},
		{"error event", event + "data: {\"error\":{\"type\":\"backend\",\"message\":\"lost\"}}\n\n", broken, caller.Unknown, true},
	}
	for _, c := range cases {
		o := outcome{streamed: true, at: time.Now(), answer: audit.Answer{Sent: time.Now()}}
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
		resp.Header.Set(caller.HeaderOutcome, string(caller.Run))
		resp.Body = bodyOf(c.body)
		err := o.read(resp, "x y")
		o.classify(context.Background(), err, time.Second)
		if o.class != c.class || o.answer.Outcome != c.outcome || o.answer.OwnContent != c.own || o.answer.Broken {
			t.Errorf("%s: %s, answer %+v, want %s, %s, own %v", c.name, o.class, o.answer, c.class, c.outcome, c.own)
		}
	}
}

// Guards against capacity figures that count pauses, or work outside the run, as used, and against taking the priority at
// the engine for the rank.
func TestUsedCapacity(t *testing.T) {
	s := speeds{First: 100 * time.Millisecond, Token: 100 * time.Millisecond}
	b := &bench{session: &session{fleet: &fleet{speeds: s, cfg: note.Config{ModelServices: map[string]note.ModelService{"m": {Copies: 1, Slots: 2}}}}}}
	at := func(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }
	rec := standin.Record{Runs: []standin.Run{
		{Attempt: "live.1", Group: "g", Priority: 4, Tokens: 10, Start: at(0), End: at(time.Second)},
		{Attempt: "night.2", Group: "g", Priority: 1, Tokens: 10, Start: at(0), End: at(2 * time.Second)},
		{Group: "g", Priority: 1, Tokens: 10, Start: at(-time.Second), End: at(0)},
		{Priority: 0, Tokens: 10, Start: at(0), End: at(time.Second)},
	}}
	all, by := b.used(rec, result{start: at(0), end: at(2 * time.Second), outcomes: []outcome{
		{rank: note.RankLive, answer: audit.Answer{Request: "live"}}, {rank: note.RankOvernight, answer: audit.Answer{Request: "night"}},
	}})
	if math.Abs(all-0.5) > 1e-9 || by[0] != 0.25 || by[1] != 0 || by[2] != 0.25 {
		t.Errorf("used %v, by rank %v, want 0.5 and [0.25 0 0.25]", all, by)
	}
	if n := duplicated(standin.Record{Runs: []standin.Run{{Attempt: "a.1", Start: at(0)}, {Attempt: "a.2", Start: at(0)}, {Attempt: "b", Key: "k", Start: at(0)}, {Attempt: "c", Key: "k", Start: at(0)}, {Attempt: "d", Start: at(0)}}}, at(0)); n != 2 {
		t.Errorf("%d bookings duplicated, want 2", n)
	}
	if got := attempts([]timeline.Event{{Kind: timeline.AttemptSent, Request: "a"}, {Kind: timeline.AttemptSent, Request: "a"}, {Kind: timeline.AttemptSent, Request: "b"}, {Kind: timeline.RequestAnswered, Request: "c"}}); got != 1.5 {
		t.Errorf("%v attempts per request, want 1.5", got)
	}
}

func bodyOf(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }
