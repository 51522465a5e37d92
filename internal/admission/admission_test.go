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

func check(t *testing.T, name string, f func(r *rand.Rand) string) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(1796356589877442196)
	params.MinSuccessfulTests = 300
	ps := gopter.NewProperties(params)
	ps.Property(name, prop.ForAll(func(seed uint64) string { return f(rand.New(rand.NewPCG(seed, 1))) }, gen.UInt64()))
	ps.TestingRun(t)
}

// Guards against an organisation with waiting work that gets less than its weighted share less one maximum cost, while
// others come and go. One that comes back after a pause may have been served ahead of its share by one more maximum cost
// just before, which it isn't given twice.
func TestFairShare(t *testing.T) {
	check(t, "fair share", func(r *rand.Rand) string {
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
		q.SetCapacity(Capacity{Slots: [note.Ranks]int{1, 1, 1}})
		waiting, got, total, ahead := make([]int, n), make([]float64, n), make([]float64, n), make([]float64, n)
		id := uint64(0)
		for step := range 600 {
			i := r.IntN(n)
			if r.IntN(3) > 0 || i == 0 && waiting[0] < 3 { // org0 always has something waiting.
				id++
				if waiting[i] == 0 {
					if total[i] > 0 {
						ahead[i] = most
					}
					got[i], total[i] = 0, 0
				}
				if q.Submit(epoch, Entry{ID: id, Organisation: names[i], Cost: 1 + r.IntN(most)}) != nil {
					return "refused without a reason"
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
					return fmt.Sprintf("step %d: %s got %.0f, its share is %.0f", step, names[j], got[j], share)
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

// Guards against entries that end twice or never, that start when they can't finish in time, that exceed the bound of
// their organisation, and against counts that drift.
func TestEntriesEndOnce(t *testing.T) {
	check(t, "entries end once", func(r *rand.Rand) string {
		var q Queue
		q.Configure(map[string]Limit{"a": {Weight: 2, Queue: 150}, "b": {Queue: 80}})
		q.SetCapacity(Capacity{Slots: [note.Ranks]int{2, 2, 2}, Shared: r.IntN(2) == 0, Floor: [note.Ranks]int{0, 1, 1}})
		now := epoch
		open, running, queued := map[uint64]Entry{}, []uint64{}, map[string]int{}
		leave := func(id uint64) bool {
			e, ok := open[id]
			delete(open, id)
			queued[e.Organisation+e.Rank.String()] -= e.Cost
			return ok
		}
		for id := range uint64(400) {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			e := Entry{ID: id, Rank: note.Rank(r.IntN(note.Ranks)), Organisation: string(rune('a' + r.IntN(2))), Cost: 1 + r.IntN(60), Deadline: now.Add(time.Duration(r.IntN(3000)) * time.Millisecond), Service: time.Duration(r.IntN(500)) * time.Millisecond}
			if r := q.Submit(now, e); r == nil {
				open[id] = e
				queued[e.Organisation+e.Rank.String()] += e.Cost
			}
			for k, cost := range queued {
				if limit := map[byte]int{'a': 150, 'b': 80}[k[0]]; cost > limit {
					return fmt.Sprintf("%s has %d waiting, its bound is %d", k, cost, limit)
				}
			}
			for _, d := range append(append([]Drop{}, q.Expire(now)...), q.Trim(now)...) {
				if !leave(d.Entry.ID) {
					return "dropped twice"
				}
			}
			if at, ok := q.Next(); ok && !at.After(now) {
				return "Expire left an entry that is due"
			}
			switch e, ok := q.Peek(e.Rank); {
			case r.IntN(3) == 0 && id > 0:
				some := r.Uint64N(id)
				if _, there := open[some]; there != (q.Withdraw(some) == Queued) {
					return "Withdraw and the model differ"
				}
				if _, there := open[some]; there {
					leave(some)
				}
			case ok && r.IntN(2) == 0:
				q.Start(now, e.Rank)
				if !leave(e.ID) || now.Add(e.Service).After(e.Deadline) {
					return "started late or twice"
				}
				running = append(running, e.ID)
			case len(running) > 0:
				if !q.Done(running[0], r.IntN(100)-1) || q.Done(running[0], 1) {
					return "Done is not once"
				}
				running = running[1:]
			}
			if n := q.Waiting(0) + q.Waiting(1) + q.Waiting(2); n != len(open) {
				return fmt.Sprintf("%d wait, the model has %d", n, len(open))
			}
		}
		return ""
	})
}

// Guards against an idle organisation that returns with credit for the time in which it sent nothing, and against one
// that pays for work it had done while nobody else wanted the slots.
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
		t.Errorf("a ran %d of 100 after b came back, want 50", a)
	}
	run(100)
	add("a", 100)
	run(100)
	add("a", 50)
	add("b", 50)
	if a := run(50); a != 25 {
		t.Errorf("a ran %d of 50 after a pause, want 25", a)
	}
}

// Guards against an organisation that gains by understating what its requests cost.
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
		t.Errorf("real cost served: %v, want it equal within one request", got)
	}
}

// Guards against a virtual time that advances by estimates which are never corrected: a newcomer then waits for all that
// the others were charged too much.
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
			continue // The others keep something waiting.
		}
		e, _ := q.Start(epoch, 0)
		q.Done(e.ID, 10)
		if e.Organisation == "new" {
			got++
		}
	}
	if got < 166-10 || got > 167+10 {
		t.Errorf("the newcomer got %d of 500, want a third", got)
	}
}

// Guards against a flood that takes the place of others: only the flooding organisation is refused, its newest entries
// first, and a small one's requests still are served in time.
func TestFloodHitsOnlyItsSender(t *testing.T) {
	var q Queue
	q.SetCapacity(Capacity{Slots: [note.Ranks]int{4, 4, 4}})
	now, id, refused, served, late := epoch, uint64(0), map[string]int{}, map[string]int{}, 0
	var running []Entry
	var ends []time.Time
	submit := func(org string) {
		id++
		if r := q.Submit(now, Entry{ID: id, Organisation: org, Cost: 100, Deadline: now.Add(2 * time.Second), Service: 100 * time.Millisecond}); r != nil {
			refused[org]++
		}
	}
	for step := range 6000 { // 10 ms each; capacity 40 requests/s.
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
			running, ends = append(running, e), append(ends, now.Add(e.Service))
		}
	}
	t.Logf("served %v refused %v late %d", served, refused, late)
	if refused["small"] > 0 || late > 0 || served["small"]+served["flood"] < 2390 {
		t.Errorf("served %v, refused %v, late %d; want nothing of small refused, nothing late, 2400 served", served, refused, late)
	}
}

// Guards against a Retry-After after which the same request is refused again although nothing else came, and against
// one where waiting does not help.
func TestRetryAfterIsSound(t *testing.T) {
	check(t, "retry after", func(r *rand.Rand) string {
		var q Queue
		k := 1 + r.IntN(4)
		q.SetCapacity(Capacity{Slots: [note.Ranks]int{k, k, k}})
		now, ends := epoch, map[uint64]time.Time{}
		service := time.Duration(50+r.IntN(200)) * time.Millisecond
		pump := func() {
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
			e := Entry{ID: id, Organisation: "a", Cost: 10, Deadline: now.Add(allowed), Service: service}
			refusal := q.Submit(now, e)
			if refusal == nil {
				pump()
				continue
			}
			for end := now.Add(refusal.RetryAfter + time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
				pump()
			}
			e.Deadline = now.Add(allowed)
			if q.Submit(now, e) != nil {
				return fmt.Sprintf("refused again after %v; %d slots, service %v, allowed %v", refusal.RetryAfter, k, service, allowed)
			}
			e.ID, e.Deadline = 1000, now.Add(service/2)
			if again := q.Submit(now, e); again == nil || again.RetryAfter != 0 {
				return "a request that can never be in time is not refused for good"
			}
			return ""
		}
		return "500 requests were never refused"
	})
}
