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
	epoch    = time.Unix(1_800_000_000, 0)
	orgNames = []string{"a", "b", "c"}
)

// groupModel tracks independently of the core what it may use of a group.
type groupModel struct {
	target  Target
	caps    [note.NumRanks]int
	until   time.Time
	running [note.NumRanks]int
	// sent holds the demands sent for this generation, accepted the sequence number of the one that the grant in force
	// answers.
	sent     []sentDemand
	accepted uint64
	turn     uint64
}

type sentDemand struct {
	seq uint64
	at  time.Time
}

// singleHome makes daemon h1 the home of every group of a list.
func singleHome(list []Target) map[string][]string {
	m := map[string][]string{}
	for _, t := range list {
		m[t.Group] = []string{"h1"}
	}
	return m
}

// grantFor returns the grant with which the home answers the last demand for a group among actions.
func grantFor(as []Action, group string, caps [note.NumRanks]int) Granted {
	g := Granted{Grant: share.Grant{Group: group, Caps: caps, TTL: share.GrantTTL}}
	for _, a := range as {
		if a.Kind == Report && a.Report.Demand.Group == group {
			g.From = a.Report.To
			g.Grant.Generation, g.Grant.DemandSeq = a.Report.Demand.Generation, a.Report.Demand.Seq
		}
	}
	return g
}

func (gm *groupModel) free(now time.Time, r note.Rank) int {
	total := gm.running[0] + gm.running[1] + gm.running[2]
	switch {
	case gm.target.FixedSlots:
		return gm.target.Slots - total
	case !now.Before(gm.until):
		return 0
	case r == note.RankOvernight:
		return min(gm.caps[r]-gm.running[r], gm.target.Slots-total)
	}
	return gm.caps[r] - gm.running[r]
}

// Guards against starting requests on an expired, revoked or outdated grant, above a cap or after the deadline; against
// free slots while a request waits; against requests that end twice or never; and against demands sent too often or too
// rarely.
func TestCore(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 300
	ps := gopter.NewProperties(params)
	ps.Property("core", prop.ForAll(func(seed uint64, fixed bool) string {
		return runSession(rand.New(rand.NewPCG(seed, 2)), fixed)
	}, gen.UInt64(), gen.Bool()))
	ps.TestingRun(t)
}

func runSession(r *rand.Rand, fixed bool) string {
	c := NewCore("d1", "stirling", 1)
	now := epoch
	groups := []*groupModel{}
	var list []Target
	for i := range 3 {
		tg := Target{Group: fmt.Sprint("g", i), Generation: 1, Slots: 1 + r.IntN(4), FixedSlots: fixed}
		list = append(list, tg)
		groups = append(groups, &groupModel{target: tg})
	}
	open, running := map[uint64]Request{}, map[uint64]*groupModel{}
	rank, sent, listed := map[uint64]note.Rank{}, map[string]time.Time{}, []Target{}
	fault := ""
	step := func(m Message) {
		for _, a := range c.Step(now, m) {
			switch a.Kind {
			case Start:
				q, ok := open[a.Key]
				i := slices.IndexFunc(groups, func(gm *groupModel) bool { return gm.target == a.Target })
				switch {
				case !ok:
					fault = "started a request that has ended"
				case i < 0:
					fault = "started on a target that may not be used"
				case groups[i].free(now, q.Rank) <= 0:
					fault = fmt.Sprintf("started above the caps or without a grant in force: %+v", groups[i])
				case now.After(q.Deadline):
					fault = "started after the deadline"
				default:
					groups[i].running[q.Rank]++
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
				if i := slices.IndexFunc(groups, func(gm *groupModel) bool { return gm.target.Group == m.Group && gm.target.Generation == m.Generation }); i >= 0 {
					groups[i].sent = append(groups[i].sent, sentDemand{m.Seq, now})
				}
				if a.Report.To != "h1" {
					fault = fmt.Sprintf("sent a demand to %q, which is not the home", a.Report.To)
				}
				if d := now.Sub(sent[id]); d < share.MinReportInterval {
					fault = fmt.Sprintf("sent another demand after %v", d)
				}
				sent[id] = now
			}
		}
		var wait [note.NumRanks]int
		for _, q := range open {
			wait[q.Rank]++
		}
		for rk, n := range wait {
			for _, gm := range groups {
				if n > 0 && gm.free(now, note.Rank(rk)) > 0 {
					fault = fmt.Sprintf("%d requests of rank %d wait although %s has %d free slots", n, rk, gm.target.Group, gm.free(now, note.Rank(rk)))
				}
			}
		}
		for _, tg := range listed {
			id := fmt.Sprint(tg.Group, tg.Generation)
			gm := groups[slices.IndexFunc(groups, func(gm *groupModel) bool { return gm.target == tg })]
			most := share.IdleReportInterval
			if len(open) > 0 {
				// Demands are sent less often to a group whose caps cover its share of the waiting requests, but only while
				// a grant is in force.
				most = share.RenewInterval + share.MinReportInterval
				if !now.Before(gm.until) {
					most = share.ReportInterval + share.MinReportInterval
				}
			}
			if d := now.Sub(sent[id]); !fixed && d > most {
				fault = fmt.Sprintf("no demand for %v with %d requests waiting", d, len(open))
			}
		}
	}
	step(Configured{Revision: 1, Organisations: orgNames, Limits: map[string]admission.Limit{"a": {Weight: 2, MaxWaitingCost: 400}}})
	listed = list
	step(Targets{list, singleHome(list)})
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
		gm := groups[at]
		switch r.IntN(9) {
		case 0:
			if len(gm.sent) == 0 {
				continue
			}
			demand := gm.sent[max(0, len(gm.sent)-1-r.IntN(3))]
			gm.turn++
			g := share.Grant{Group: gm.target.Group, Generation: gm.target.Generation - uint64(r.IntN(2)), TTL: share.GrantTTL, DemandSeq: demand.seq, GrantSeq: gm.turn}
			for i := range g.Caps {
				g.Caps[i] = r.IntN(4)
			}
			if g.Generation == gm.target.Generation && demand.seq >= gm.accepted && now.Before(demand.at.Add(g.TTL)) {
				gm.caps, gm.until, gm.accepted = g.Caps, demand.at.Add(g.TTL), demand.seq
			}
			step(Granted{"h1", g})
		case 1:
			if fixed || r.IntN(4) > 0 {
				continue
			}
			old := gm.target
			groups[at] = &groupModel{target: old}
			groups[at].target.Generation++
			list = nil
			for _, o := range groups {
				list = append(list, o.target)
			}
			listed = nil
			step(Revoked{old.Group, old.Generation})
			listed = list
			step(Targets{append([]Target{old}, list...), singleHome(list)}) // A stale list that still contains the revoked generation.
		case 2, 3, 4:
			for id, gm := range running {
				gm.running[rank[id]]--
				delete(running, id)
				total := time.Duration(r.IntN(400)) * time.Millisecond
				step(Done{id, Result{Tokens: r.IntN(50), TimeToFirstToken: total / 3, Total: total, Failed: r.IntN(9) == 0}})
				break
			}
		case 5:
			if len(ids) > 0 {
				id := ids[r.IntN(len(ids))]
				delete(open, id)
				step(CallerLeft{id})
			}
		default:
			open[key] = Request{Rank: note.Rank(r.IntN(note.NumRanks)), Organisation: orgNames[r.IntN(3)], Cost: 1 + r.IntN(100), Deadline: now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)}
			ids = append(ids, key)
			step(Submit{key, open[key]})
		}
		if fault != "" {
			return fmt.Sprintf("at %v: %s", now.Sub(epoch), fault)
		}
	}
	now = now.Add(time.Hour)
	if step(Tick{}); len(open) > 0 {
		return "requests are still waiting after an hour"
	}
	return ""
}

// Guards against a grant that stays in force after its expiry or withdrawal, against using the base share while the
// home answers or without recent probes of all members, and against reusing a revoked generation.
func TestGrantExpiry(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	list := Targets{[]Target{{Group: "g", Generation: 3, Slots: 8}}, map[string][]string{"g": {"h1", "h2"}}}
	key := uint64(0)
	var last []Action
	now := epoch
	starts := func(at time.Duration, m Message) int {
		last = nil
		for next, ok := c.Next(); ok && next.Before(epoch.Add(at)); next, ok = c.Next() {
			now = latest(now, next)
			last = append(last, c.Step(now, Tick{})...)
		}
		now = epoch.Add(at)
		first := slices.Clone(c.Step(now, m))
		last = append(last, first...)
		n := len(startedKeys(first))
		for range 8 {
			key++
			as := c.Step(epoch.Add(at), Submit{key, Request{Organisation: "a", Cost: 1, Deadline: epoch.Add(at + time.Nanosecond)}})
			last = append(last, as...)
			n += len(startedKeys(as))
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
	expect("with a grant", time.Millisecond, grantFor(last, "g", [note.NumRanks]int{4, 4, 4}), 4)
	expect("before the grant's end", share.GrantTTL-time.Millisecond, Tick{}, 4)
	expect("after the grant's end", share.GrantTTL, Tick{}, 0)
	expect("with present members while the home may still answer", share.GrantTTL+time.Millisecond, PresenceConfirmed{"g", 3, epoch.Add(share.GrantTTL)}, 0)
	// An idle borrower sends a demand after IdleReportInterval and considers the home lost when that stays unanswered.
	homeLost := share.IdleReportInterval + share.AnswerTimeout + 100*time.Millisecond
	expect("with present members and without the home", homeLost, PresenceConfirmed{"g", 3, epoch.Add(homeLost)}, 8)
	expect("with present members of another generation", homeLost+share.GrantTTL, PresenceConfirmed{"g", 2, epoch.Add(homeLost + share.GrantTTL)}, 0)
	g := grantFor(last, "g", [note.NumRanks]int{2, 2, 2})
	expect("with a grant of the daemon that got the last demand", homeLost+share.GrantTTL, g, 2)
	expect("after a withdrawal", homeLost+share.GrantTTL+100*time.Millisecond, GrantWithdrawn{g.From, share.Withdrawn{Group: "g", Generation: 3}}, 0)
	expect("after the loss of a member", homeLost+share.GrantTTL+200*time.Millisecond, Revoked{"g", 3}, 0)
	expect("with a stale list", homeLost+share.GrantTTL+300*time.Millisecond, list, 0)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func startedKeys(as []Action) (keys []uint64) {
	for _, a := range as {
		if a.Kind == Start {
			keys = append(keys, a.Key)
		}
	}
	return keys
}

// Guards against live requests that use up the floors of fixed targets, and against floors that stay unused when no
// request of their rank waits.
func TestFloors(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	c.Step(epoch, Configured{Floors: [note.NumRanks]float64{0, 0.25, 0.25}})
	c.Step(epoch, Targets{List: []Target{{Group: "g", Slots: 8, FixedSlots: true}}})
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

// Guards against demands that ask each group for all waiting requests, and against lines out of order.
func TestDemand(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	c.Step(epoch, Configured{Revision: 7, Organisations: orgNames})
	list := []Target{{Group: "g", Generation: 1, Slots: 8}, {Group: "h", Generation: 1, Slots: 8}}
	as := slices.Clone(c.Step(epoch, Targets{list, singleHome(list)}))
	now := epoch.Add(time.Second)
	c.Step(now, grantFor(as, "g", [note.NumRanks]int{1, 1, 1}))
	for key := range uint64(6) {
		c.Step(now, Submit{key, Request{Rank: note.RankBooking, Organisation: orgNames[2-key%2], Cost: 1, Deadline: now.Add(time.Hour)}})
	}
	var got []share.Demand
	for _, a := range c.Step(now.Add(share.ReportInterval), Tick{}) {
		if a.Kind == Report {
			got = append(got, a.Report.Demand)
		}
	}
	lines := []share.DemandLine{{Rank: 1, Org: 1, Waiting: 2}, {Rank: 1, Org: 2, Waiting: 1, Running: 1}}
	if len(got) != 2 || got[0].Revision != 7 || !slices.Equal(got[0].Lines, lines) {
		t.Errorf("demands %+v, want lines %+v for g", got, lines)
	}
}

// Guards against a small organisation that waits behind a burst of another one at the same daemon, against a burst that
// uses the extra slots meant for other organisations, and against priorities by which an engine would pause the small
// organisation's requests or those within a floor in favour of the burst.
func TestExtraSlots(t *testing.T) {
	c := NewCore("d1", "stirling", 1)
	list := []Target{{Group: "g", Generation: 1, Slots: 8}}
	g := grantFor(c.Step(epoch, Targets{list, singleHome(list)}), "g", [note.NumRanks]int{2, 2, 2})
	g.Grant.MayExceedCap, g.Grant.FloorSlots = [note.NumRanks]bool{true, true, false}, [note.NumRanks]int{0, 1, 1}
	c.Step(epoch, g)
	key := uint64(0)
	submit := func(org string, r note.Rank) (priorities []int) {
		key++
		for _, a := range c.Step(epoch, Submit{key, Request{Organisation: org, Rank: r, Cost: 1, Deadline: epoch.Add(time.Hour)}}) {
			if a.Kind == Start {
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
		{"large", note.RankLive, []int{priorityLive}}, // The organisation has no backlog, so it gets the extra slot.
		{"large", note.RankLive, nil},
		{"large", note.RankLive, nil},
		{"small", note.RankLive, nil}, // The extra slot is in use.
		{"small", note.RankBooking, []int{priorityFloor}},
		{"small", note.RankBooking, []int{priorityBooking}},
		{"small", note.RankOvernight, []int{priorityFloor}},
	} {
		if got := submit(want.org, want.rank); !slices.Equal(got, want.got) {
			t.Errorf("request %d of %s at %v started at %v, want %v", i, want.org, want.rank, got, want.got)
		}
	}
	// The extra slot goes to the small organisation although the large one has been waiting longer.
	got := slices.Clone(c.Step(epoch, Done{1, Result{Total: time.Second}}))
	if s := startedKeys(got); len(s) != 1 || s[0] != 6 {
		t.Errorf("requests %v started in the extra slot, want 6", s)
	}
	// A slot within the caps goes to the large organisation, at a priority below those without a backlog and the floors.
	for _, a := range c.Step(epoch, Done{2, Result{Total: time.Second}}) {
		if a.Kind == Start && (a.Key != 4 || a.Priority != priorityLiveQueued) {
			t.Errorf("request %d started at priority %d, want 4 at %d", a.Key, a.Priority, priorityLiveQueued)
		}
	}
}
