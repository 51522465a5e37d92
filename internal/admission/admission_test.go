package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"flamingorudder.example/internal/note"
)

var epoch = time.Unix(1_800_000_000, 0)

func checkProperty(t *testing.T, name string, f func(r *rand.Rand) string) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(1796356589877442196)
	params.MinSuccessfulTests = 300
	ps := gopter.NewProperties(params)
	ps.Property(name, prop.ForAll(func(seed uint64) string { return f(rand.New(rand.NewPCG(seed, 1))) }, gen.UInt64()))
	ps.TestingRun(t)
}

// TestFairShare guards against an organisation with waiting entries that gets less than its weighted share minus one
// maximum cost while other organisations become idle and active. An organisation that was idle may have been served
// ahead of its share by one more maximum cost before; that lead is deducted from what it is owed.
func TestFairShare(t *testing.T) {
	checkProperty(t, "fair share", func(r *rand.Rand) string {
		const most = 100
		var q Queue
		n := 2 + r.IntN(5)
		limits, sum := map[string]Limit{}, 0.0
		names := make([]string, n)
		for i := range n {
			names[i] = fmt.Sprint("org", i)
			w := float64(1 + r.IntN(8))
			limits[names[i]] = Limit{Weight: w}
			sum += w
		}
		q.Configure(limits)
		q.SetCapacity(Capacity{Slots: [note.NumRanks]int{1, 1, 1}})
		waiting, got, total, ahead := make([]int, n), make([]float64, n), make([]float64, n), make([]float64, n)
		id := uint64(0)
		for step := range 600 {
			i := r.IntN(n)
			if r.IntN(3) > 0 || i == 0 && waiting[0] < 3 { // org0 always has waiting entries.
				id++
				if waiting[i] == 0 {
					if total[i] > 0 {
						ahead[i] = most
					}
					got[i], total[i] = 0, 0
				}
				if q.Submit(epoch, Entry{ID: id, Organisation: names[i], Cost: 1 + r.IntN(most)}) != nil {
					return "Submit refused an entry although no limit and no deadline is set"
				}
				waiting[i]++
			}
			if r.IntN(2) > 0 {
				continue
			}
			e, ok := q.Start(epoch, 0)
			if !ok {
				continue
			}
			for j := range n {
				if waiting[j] == 0 {
					continue
				}
				total[j] += float64(e.Cost)
				if names[j] == e.Organisation {
					got[j] += float64(e.Cost)
				}
				if share := total[j] * limits[names[j]].Weight / sum; got[j] < share-most-ahead[j] {
					return fmt.Sprintf("step %d: %s was served cost %.0f, its share is %.0f", step, names[j], got[j], share)
				}
				if names[j] == e.Organisation {
					waiting[j]--
				}
			}
			q.Done(e.ID, e.Cost)
		}
		return ""
	})
}

// TestEntriesEndOnce guards against entries that end twice or never, that start although they would miss their deadline
// or that exceed the limit of their organisation, and against counters that diverge from the model. It applies random
// operations to a queue and to a simple model of it.
func TestEntriesEndOnce(t *testing.T) {
	checkProperty(t, "entries end once", func(r *rand.Rand) string {
		var q Queue
		q.Configure(map[string]Limit{"a": {Weight: 2, MaxWaitingCost: 150}, "b": {MaxWaitingCost: 80}})
		q.SetCapacity(Capacity{Slots: [note.NumRanks]int{2, 2, 2}, Shared: r.IntN(2) == 0, Floor: [note.NumRanks]int{0, 1, 1}})
		now := epoch
		open, running, queued := map[uint64]Entry{}, []uint64{}, map[string]int{}
		removeFromModel := func(id uint64) bool {
			e, ok := open[id]
			delete(open, id)
			queued[e.Organisation+e.Rank.String()] -= e.Cost
			return ok
		}
		for id := range uint64(400) {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			e := Entry{ID: id, Rank: note.Rank(r.IntN(note.NumRanks)), Organisation: string(rune('a' + r.IntN(2))), Cost: 1 + r.IntN(60), Deadline: now.Add(time.Duration(r.IntN(3000)) * time.Millisecond), ServiceTime: time.Duration(r.IntN(500)) * time.Millisecond}
			if r := q.Submit(now, e); r == nil {
				open[id] = e
				queued[e.Organisation+e.Rank.String()] += e.Cost
			}
			for k, cost := range queued {
				if limit := map[byte]int{'a': 150, 'b': 80}[k[0]]; cost > limit {
					return fmt.Sprintf("%s has cost %d waiting, its limit is %d", k, cost, limit)
				}
			}
			for _, d := range append(append([]Drop{}, q.Expire(now)...), q.Trim(now)...) {
				if !removeFromModel(d.Entry.ID) {
					return "an entry that was not waiting was dropped"
				}
			}
			if at, ok := q.NextExpiry(); ok && !at.After(now) {
				return "Expire left an entry that has expired"
			}
			switch e, ok := q.Peek(e.Rank); {
			case r.IntN(3) == 0 && id > 0:
				randomID := r.Uint64N(id)
				if _, there := open[randomID]; there != (q.Withdraw(randomID) == Queued) {
					return "Withdraw does not agree with the model on whether an entry waits"
				}
				if _, there := open[randomID]; there {
					removeFromModel(randomID)
				}
			case ok && r.IntN(2) == 0:
				q.Start(now, e.Rank)
				if !removeFromModel(e.ID) || now.Add(e.ServiceTime).After(e.Deadline) {
					return "an entry was started twice or too late for its deadline"
				}
				running = append(running, e.ID)
			case len(running) > 0:
				if !q.Done(running[0], r.IntN(100)-1) || q.Done(running[0], 1) {
					return "Done did not remove a running entry exactly once"
				}
				running = running[1:]
			}
			if n := q.Waiting(0) + q.Waiting(1) + q.Waiting(2); n != len(open) {
				return fmt.Sprintf("%d entries wait, %d in the model", n, len(open))
			}
		}
		return ""
	})
}

// TestIdleHasNoCredit guards against credit for the time in which an organisation was idle, and against a penalty for
// slots that it used while no other organisation wanted them.
func TestIdleHasNoCredit(t *testing.T) {
	var q Queue
	id := uint64(0)
	add := func(org string, n int) {
		for range n {
			id++
			if r := q.Submit(epoch, Entry{ID: id, Organisation: org, Cost: 10}); r != nil {
				t.Fatal(r)
			}
		}
	}
	run := func(n int) (a int) {
		for range n {
			e, _ := q.Start(epoch, 0)
			if e.Organisation == "a" {
				a++
			}
			q.Done(e.ID, 10)
		}
		return a
	}
	add("a", 200)
	run(100) // b is idle.
	add("b", 100)
	if a := run(100); a != 50 {
		t.Errorf("a ran %d of 100 requests after b became active, want 50", a)
	}
	run(100)
	add("a", 100)
	run(100)
	add("a", 50)
	add("b", 50)
	if a := run(50); a != 25 {
		t.Errorf("a ran %d of 50 requests after both were idle, want 25", a)
	}
}

// TestRealCostIsCharged guards against an organisation that gains slots by understating the cost of its requests.
func TestRealCostIsCharged(t *testing.T) {
	var q Queue
	got := map[string]int{}
	for id := range uint64(2000) {
		org := "understates"
		if id%2 == 0 {
			org = "honest"
		}
		if r := q.Submit(epoch, Entry{ID: id, Organisation: org, Cost: 10}); r != nil {
			t.Fatal(r)
		}
		if id < 1000 {
			continue
		}
		e, _ := q.Start(epoch, 0)
		cost := 40
		if e.Organisation == "honest" {
			cost = 10
		}
		got[e.Organisation] += cost
		q.Done(e.ID, cost)
	}
	if d := got["understates"] - got["honest"]; d > 40 || d < -40 {
		t.Errorf("actual cost served: %v, want a difference of at most one request", got)
	}
}

// TestNewcomerAmongOverstated guards against a virtual time that advances by estimated costs which are never corrected.
// A new organisation would then wait for everything that the others were overcharged.
func TestNewcomerAmongOverstated(t *testing.T) {
	var q Queue
	got := 0
	for id := range uint64(3000) {
		org := string(rune('a' + id%2))
		if id >= 2000 {
			org = "new"
		}
		if r := q.Submit(epoch, Entry{ID: id, Organisation: org, Cost: 100}); r != nil {
			t.Fatal(r)
		}
		if id < 1000 || id >= 2000 && id%2 == 0 {
			continue // Keeps a backlog of the other organisations.
		}
		e, _ := q.Start(epoch, 0)
		q.Done(e.ID, 10)
		if e.Organisation == "new" {
			got++
		}
	}
	if got < 166-10 || got > 167+10 {
		t.Errorf("the new organisation ran %d of 500 requests, want a third", got)
	}
}

// TestFloodHitsOnlyItsSender guards against an organisation that overloads the queue at the expense of others. Only its
// own requests may be refused, and the requests of a small organisation must still finish in time.
func TestFloodHitsOnlyItsSender(t *testing.T) {
	var q Queue
	q.SetCapacity(Capacity{Slots: [note.NumRanks]int{4, 4, 4}})
	now, id, refused, served, late := epoch, uint64(0), map[string]int{}, map[string]int{}, 0
	var running []Entry
	var ends []time.Time
	submit := func(org string) {
		id++
		if r := q.Submit(now, Entry{ID: id, Organisation: org, Cost: 100, Deadline: now.Add(2 * time.Second), ServiceTime: 100 * time.Millisecond}); r != nil {
			refused[org]++
		}
	}
	for step := range 6000 { // Steps of 10 ms; the capacity is 40 requests/s.
		now = now.Add(10 * time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			q.Done(running[0].ID, 100)
			if now.After(running[0].Deadline) {
				late++
			}
			served[running[0].Organisation]++
			running, ends = running[1:], ends[1:]
		}
		for range 2 {
			submit("flood") // 200 requests/s.
		}
		if step%10 == 0 {
			submit("small") // 10 requests/s, half of its share.
		}
		for _, d := range append(append([]Drop{}, q.Expire(now)...), q.Trim(now)...) {
			refused[d.Entry.Organisation]++
		}
		for q.Running(0) < 4 && q.Waiting(0) > 0 {
			e, _ := q.Start(now, 0)
			running, ends = append(running, e), append(ends, now.Add(e.ServiceTime))
		}
	}
	t.Logf("served %v refused %v late %d", served, refused, late)
	if refused["small"] > 0 || late > 0 || served["small"]+served["flood"] < 2390 {
		t.Errorf("served %v, refused %v, late %d; want no request of small refused, none late, about 2400 served", served, refused, late)
	}
}

// TestRetryAfterIsSound guards against a retry delay after which the same request is refused again although no other
// arrived, and against a retry delay for a request that can never meet its deadline.
func TestRetryAfterIsSound(t *testing.T) {
	checkProperty(t, "retry after", func(r *rand.Rand) string {
		var q Queue
		k := 1 + r.IntN(4)
		q.SetCapacity(Capacity{Slots: [note.NumRanks]int{k, k, k}})
		now, ends := epoch, map[uint64]time.Time{}
		service := time.Duration(50+r.IntN(200)) * time.Millisecond
		startAndFinish := func() {
			for id, end := range ends {
				if !end.After(now) {
					q.Done(id, 10)
					delete(ends, id)
				}
			}
			for len(ends) < k {
				e, ok := q.Start(now, 0)
				if !ok {
					return
				}
				ends[e.ID] = now.Add(service)
			}
		}
		allowed := service + time.Duration(r.IntN(2000))*time.Millisecond
		for id := range uint64(500) {
			e := Entry{ID: id, Organisation: "a", Cost: 10, Deadline: now.Add(allowed), ServiceTime: service}
			refusal := q.Submit(now, e)
			if refusal == nil {
				startAndFinish()
				continue
			}
			for end := now.Add(refusal.RetryAfter + time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
				startAndFinish()
			}
			e.Deadline = now.Add(allowed)
			if q.Submit(now, e) != nil {
				return fmt.Sprintf("refused again after %v; %d slots, service %v, allowed %v", refusal.RetryAfter, k, service, allowed)
			}
			e.ID, e.Deadline = 1000, now.Add(service/2)
			if again := q.Submit(now, e); again == nil || again.RetryAfter != 0 {
				return "a request that can never meet its deadline is accepted or gets a retry delay"
			}
			return ""
		}
		return "500 requests were never refused"
	})
}
