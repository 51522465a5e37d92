package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"flamingorudder.example/internal/admission"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/share"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	names = []string{"a", "b", "c"}
)

// lender is the test's own account of what the core may use.
type lender struct {
	target Target
	caps   [note.Ranks]int
	until  time.Time
	run    [note.Ranks]int
	// asked holds the demands sent for this generation, accepted the number of the one whose grant came last.
	asked    []asked
	accepted uint64
	turn     uint64
}

type asked struct {
	seq uint64
	at  time.Time
}

// homes lets daemon h1 be the home of every group of a list.
func homes(list []Target) map[string][]string {
	m := map[string][]string{}
	for _, t := range list {
		m[t.Group] = []string{"h1"}
	}
	return m
}

// grantFor answers the last demand for a group among actions, as its home would.
func grantFor(as []Action, group string, caps [note.Ranks]int) Granted {
	g := Granted{Grant: share.Grant{Group: group, Caps: caps, TTL: share.GrantTTL}}
	for _, a := range as {
		if a.Verb == Report && a.Report.Demand.Group == group {
			g.From = a.Report.To
			g.Grant.Generation, g.Grant.DemandSeq = a.Report.Demand.Generation, a.Report.Demand.Seq
		}
	}
	return g
}

func (l *lender) free(now time.Time, r note.Rank) int {
	total := l.run[0] + l.run[1] + l.run[2]
	switch {
	case l.target.Fixed:
		return l.target.Slots - total
	case !now.Before(l.until):
		return 0
	case r == note.RankOvernight:
		return min(l.caps[r]-l.run[r], l.target.Slots-total)
	}
	return l.caps[r] - l.run[r]
}

// Guards against starts on a lapsed, revoked or older grant, above a cap or after the deadline; against a slot left free
// while a request waits for it; against requests that end twice or never; and against demands out of their periods.
func TestCore(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 300
	ps := gopter.NewProperties(params)
	ps.Property("core", prop.ForAll(func(seed uint64, fixed bool) string {
		return session(rand.New(rand.NewPCG(seed, 2)), fixed)
	}, gen.UInt64(), gen.Bool()))
	ps.TestingRun(t)
}

func session(r *rand.Rand, fixed bool) string {
	c := NewCore("d1", "stirling", 1)
	now := epoch
	groups := []*lender{}
	var list []Target
	for i := range 3 {
		tg := Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: 1 + r.IntN(4), Fixed: fixed}
		list = append(list, tg)
		groups = append(groups, &lender{target: tg})
	}
	open, running := map[uint64]Request{}, map[uint64]*lender{}
	rank, sent, listed := map[uint64]note.Rank{}, map[string]time.Time{}, []Target{}
	fault := ""
	step := func(m Message) {
		for _, a := range c.Step(now, m) {
			switch a.Verb {
			case Start:
				q, ok := open[a.Key]
				i := slices.IndexFunc(groups, func(l *lender) bool { return l.target == a.Target })
				switch {
				case !ok:
					fault = "started a request that had ended"
				case i < 0:
					fault = "started on a target that may not be used"
				case groups[i].free(now, q.Rank) <= 0:
					fault = fmt.Sprintf("started above the caps or without a grant in force: %+v", groups[i])
				case now.After(q.Deadline):
					fault = "started after its deadline"
				default:
					groups[i].run[q.Rank]++
					running[a.Key], rank[a.Key] = groups[i], q.Rank
				}
				delete(open, a.Key)
			case Refuse:
				if _, ok := open[a.Key]; !ok || a.Refusal.Kind == "" {
					fault = "refused twice or without a kind"
				}
				delete(open, a.Key)
			case Report:
				m := a.Report.Demand
				id := fmt.Sprint(m.Group, m.Generation)
				if i := slices.IndexFunc(groups, func(l *lender) bool { return l.target.Group == m.Group && l.target.Generation == m.Generation }); i >= 0 {
					groups[i].asked = append(groups[i].asked, asked{m.Seq, now})
				}
				if a.Report.To != "h1" {
					fault = fmt.Sprintf("asked %q, which is not the home", a.Report.To)
				}
				if d := now.Sub(sent[id]); d < share.MinReportInterval {
					fault = fmt.Sprintf("reported again after %v", d)
				}
				sent[id] = now
			}
		}
		var wait [note.Ranks]int
		for _, q := range open {
			wait[q.Rank]++
		}
		for rk, n := range wait {
			for _, l := range groups {
				if n > 0 && l.free(now, note.Rank(rk)) > 0 {
					fault = fmt.Sprintf("%d of rank %d wait although %s has %d free", n, rk, l.target.Group, l.free(now, note.Rank(rk)))
				}
			}
		}
		for _, tg := range listed {
			id := fmt.Sprint(tg.Group, tg.Generation)
			l := groups[slices.IndexFunc(groups, func(l *lender) bool { return l.target == tg })]
			most := share.IdleReportInterval
			if len(open) > 0 {
				// A group whose caps cover this daemon's part of what waits is asked less often; without a grant it is not.
				most = share.RenewInterval + share.MinReportInterval
				if !now.Before(l.until) {
					most = share.ReportInterval + share.MinReportInterval
				}
			}
			if d := now.Sub(sent[id]); !fixed && d > most {
				fault = fmt.Sprintf("no demand for %v with %d requests waiting", d, len(open))
			}
		}
	}
	step(Configured{Revision: 1, Organisations: names, Limits: map[string]admission.Limit{"a": {Weight: 2, MaxWaitingCost: 400}}})
	listed = list
	step(Targets{list, homes(list)})
	var ids []uint64
	for key := range uint64(300) {
		for end := now.Add(time.Duration(r.IntN(60)) * time.Millisecond); ; step(Tick{}) {
			if at, ok := c.Next(); ok && !at.After(end) {
				now = at
				continue
			}
			now = end
			break
		}
		at := r.IntN(len(groups))
		l := groups[at]
		switch r.IntN(9) {
		case 0:
			if len(l.asked) == 0 {
				continue
			}
			ask := l.asked[max(0, len(l.asked)-1-r.IntN(3))]
			l.turn++
			g := share.Grant{Group: l.target.Group, Generation: l.target.Generation - uint64(r.IntN(2)), TTL: share.GrantTTL, DemandSeq: ask.seq, GrantSeq: l.turn}
			for i := range g.Caps {
				g.Caps[i] = r.IntN(4)
			}
			if g.Generation == l.target.Generation && ask.seq >= l.accepted && now.Before(ask.at.Add(g.TTL)) {
				l.caps, l.until, l.accepted = g.Caps, ask.at.Add(g.TTL), ask.seq
			}
			step(Granted{"h1", g})
		case 1:
			if fixed || r.IntN(4) > 0 {
				continue
			}
			old := l.target
			groups[at] = &lender{target: old}
			groups[at].target.Generation++
			list = nil
			for _, o := range groups {
				list = append(list, o.target)
			}
			listed = nil
			step(Revoked{old.Group, old.Generation})
			listed = list
			step(Targets{append([]Target{old}, list...), homes(list)}) // The list lags and still names the lost generation.
		case 2, 3, 4:
			for id, l := range running {
				l.run[rank[id]]--
				delete(running, id)
				total := time.Duration(r.IntN(400)) * time.Millisecond
				step(Done{id, Result{Tokens: r.IntN(50), First: total / 3, Total: total, Failed: r.IntN(9) == 0}})
				break
			}
		case 5:
			if len(ids) > 0 {
				id := ids[r.IntN(len(ids))]
				delete(open, id)
				step(Withdraw{id})
			}
		default:
			open[key] = Request{Rank: note.Rank(r.IntN(note.Ranks)), Organisation: names[r.IntN(3)], Cost: 1 + r.IntN(100), Deadline: now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)}
			ids = append(ids, key)
			step(Submit{key, open[key]})
		}
		if fault != "" {
			return fmt.Sprintf("at %v: %s", now.Sub(epoch), fault)
		}
	}
	now = now.Add(time.Hour)
	if step(Tick{}); len(open) > 0 {
		return "requests without an end"
	}
	return ""
}

// Guards against a grant that stays in force past its term or its withdrawal, against a base share that is used while the
// home answers or without a fresh proof, and against a lost generation that is used again.
func TestPermitsLapse(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	list := Targets{[]Target{{Group: "g", Generation: 3, Slots: 8}}, map[string][]string{"g": {"h1", "h2"}}}
	key := uint64(0)
	var last []Action
	now := epoch
	starts := func(at time.Duration, m Message) int {
		last = nil
		for next, ok := c.Next(); ok && next.Before(epoch.Add(at)); next, ok = c.Next() {
			now = later(now, next)
			last = append(last, c.Step(now, Tick{})...)
		}
		now = epoch.Add(at)
		first := slices.Clone(c.Step(now, m))
		last = append(last, first...)
		n := len(started(first))
		for range 8 {
			key++
			as := c.Step(epoch.Add(at), Submit{key, Request{Organisation: "a", Cost: 1, Deadline: epoch.Add(at + time.Nanosecond)}})
			last = append(last, as...)
			n += len(started(as))
		}
		for k := range key + 1 {
			c.Step(epoch.Add(at), Done{Key: k})
		}
		return n
	}
	expect := func(what string, at time.Duration, m Message, want int) {
		t.Helper()
		if n := starts(at, m); n != want {
			t.Errorf("%s at %v: %d starts, want %d", what, at, n, want)
		}
	}
	expect("without a grant", 0, list, 0)
	expect("with a grant", time.Millisecond, grantFor(last, "g", [note.Ranks]int{4, 4, 4}), 4)
	expect("before the grant's end", share.GrantTTL-time.Millisecond, Tick{}, 4)
	expect("after the grant's end", share.GrantTTL, Tick{}, 0)
	expect("with a proof while the home may still answer", share.GrantTTL+time.Millisecond, Proved{"g", 3, epoch.Add(share.GrantTTL)}, 0)
	// An idle borrower asks again after IdlePeriod and takes the home to be lost when that is not answered either.
	lost := share.IdleReportInterval + share.AnswerTimeout + 100*time.Millisecond
	expect("with a proof and without the home", lost, Proved{"g", 3, epoch.Add(lost)}, 8)
	expect("with the proof of another generation", lost+share.GrantTTL, Proved{"g", 2, epoch.Add(lost + share.GrantTTL)}, 0)
	g := grantFor(last, "g", [note.Ranks]int{2, 2, 2})
	expect("with a grant of the daemon asked last", lost+share.GrantTTL, g, 2)
	expect("after a withdrawal", lost+share.GrantTTL+100*time.Millisecond, Withdrawn{g.From, share.Withdrawn{Group: "g", Generation: 3}}, 0)
	expect("after the loss of a member", lost+share.GrantTTL+200*time.Millisecond, Revoked{"g", 3}, 0)
	expect("with a list that lags", lost+share.GrantTTL+300*time.Millisecond, list, 0)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func started(as []Action) (keys []uint64) {
	for _, a := range as {
		if a.Verb == Start {
			keys = append(keys, a.Key)
		}
	}
	return keys
}

// Guards against floors of fixed targets that live work takes, and that stay empty when nobody wants them.
func TestFloors(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	c.Step(epoch, Configured{Floors: [note.Ranks]float64{0, 0.25, 0.25}})
	c.Step(epoch, Targets{List: []Target{{Group: "g", Slots: 8, Fixed: true}}})
	for key := range uint64(40) { // Live requests first.
		c.Step(epoch, Submit{key, Request{Rank: note.Rank(key / 20 * 2), Organisation: "a", Cost: 1, Deadline: epoch.Add(time.Hour)}})
	}
	for i, want := range []int{0, 1, 2, 2, 2, 2} {
		if live, rest := c.queue.Running(note.RankLive), c.queue.Running(note.RankOvernight); live != 8-want || rest != want {
			t.Errorf("after %d ends %d live and %d overnight run, want %d and %d", i, live, rest, 8-want, want)
		}
		c.Step(epoch, Done{Key: uint64(i)})
	}
}

// Guards against demands that ask each group for all that waits, and against lines that are out of order.
func TestDemand(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	c.Step(epoch, Configured{Revision: 7, Organisations: names})
	list := []Target{{Group: "g", Generation: 1, Slots: 8}, {Group: "h", Generation: 1, Slots: 8}}
	as := slices.Clone(c.Step(epoch, Targets{list, homes(list)}))
	now := epoch.Add(time.Second)
	c.Step(now, grantFor(as, "g", [note.Ranks]int{1, 1, 1}))
	for key := range uint64(6) {
		c.Step(now, Submit{key, Request{Rank: note.RankBooking, Organisation: names[2-key%2], Cost: 1, Deadline: now.Add(time.Hour)}})
	}
	var got []share.Demand
	for _, a := range c.Step(now.Add(share.ReportInterval), Tick{}) {
		if a.Verb == Report {
			got = append(got, a.Report.Demand)
		}
	}
	lines := []share.DemandLine{{Rank: 1, Org: 1, Waiting: 2}, {Rank: 1, Org: 2, Waiting: 1, Running: 1}}
	if len(got) != 2 || got[0].Revision != 7 || !slices.Equal(got[0].Lines, lines) {
		t.Errorf("demands %+v, want for g the lines %+v", got, lines)
	}
}

// Guards against a small organisation that waits behind a flood at its own daemon, against a flood that uses what is lent
// beyond the caps for others, and against priorities that let an engine pause the small one or a floor for the flood.
func TestExtra(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	list := []Target{{Group: "g", Generation: 1, Slots: 8}}
	g := grantFor(c.Step(epoch, Targets{list, homes(list)}), "g", [note.Ranks]int{2, 2, 2})
	g.Grant.MayExceedCap, g.Grant.FloorSlots = [note.Ranks]bool{true, true, false}, [note.Ranks]int{0, 1, 1}
	c.Step(epoch, g)
	key := uint64(0)
	submit := func(org string, r note.Rank) (priorities []int) {
		key++
		for _, a := range c.Step(epoch, Submit{key, Request{Organisation: org, Rank: r, Cost: 1, Deadline: epoch.Add(time.Hour)}}) {
			if a.Verb == Start {
				priorities = append(priorities, a.Priority)
			}
		}
		return priorities
	}
	for i, want := range []struct {
		org  string
		rank note.Rank
		got  []int
	}{
		{"large", note.RankLive, []int{priorityLive}},
		{"large", note.RankLive, []int{priorityLive}},
		{"large", note.RankLive, []int{priorityLive}}, // It has nothing else waiting, so this one is extra.
		{"large", note.RankLive, nil},
		{"large", note.RankLive, nil},
		{"small", note.RankLive, nil}, // The extra slot is taken.
		{"small", note.RankBooking, []int{priorityFloor}},
		{"small", note.RankBooking, []int{priorityBooking}},
		{"small", note.RankOvernight, []int{priorityFloor}},
	} {
		if got := submit(want.org, want.rank); !slices.Equal(got, want.got) {
			t.Errorf("request %d of %s at %v started at %v, want %v", i, want.org, want.rank, got, want.got)
		}
	}
	// The extra slot goes to the small organisation although the large one has waited longer.
	got := slices.Clone(c.Step(epoch, Done{1, Result{Total: time.Second}}))
	if s := started(got); len(s) != 1 || s[0] != 6 {
		t.Errorf("requests %v started in the place of the extra one, want 6", s)
	}
	// A slot within the caps goes to the flood, at a priority that gives way to small ones and floors.
	for _, a := range c.Step(epoch, Done{2, Result{Total: time.Second}}) {
		if a.Verb == Start && (a.Key != 4 || a.Priority != priorityLiveQueued) {
			t.Errorf("request %d started at priority %d, want 4 at %d", a.Key, a.Priority, priorityLiveQueued)
		}
	}
}
