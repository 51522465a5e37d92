package registry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against a failed daemon that stays in the list of live daemons, and against one that has returned and is never
// listed again.
func TestSuspectAndReturn(t *testing.T) {
	now := time.Unix(100, 0)
	r := New(Entry{Name: "a"})
	r.Update(Entry{Name: "b", Boot: 1})
	r.Update(Entry{Name: "c", Boot: 1})
	if !r.MarkSuspect("b", now) || r.MarkSuspect("b", now) {
		t.Error("Suspect must return true only for the first of two calls")
	}
	if got := r.Live(now); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("live %v while b is suspect", got)
	}
	if got := r.Live(now.Add(SuspectTime)); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("live %v after the suspicion expired", got)
	}
	r.MarkSuspect("b", now)
	r.RecordMessage("b", 0)
	if got := r.Live(now); !slices.Contains(got, "b") {
		t.Errorf("live %v after a message from b", got)
	}
	r.MarkSuspect("b", now)
	r.Update(Entry{Name: "b", Boot: 2})
	if got := r.Live(now); !slices.Contains(got, "b") {
		t.Errorf("live %v after b restarted", got)
	}
}

// Guards against an entry from an earlier start that overwrites the current one. Messages would go to an address that
// another process may use by now.
func TestOldEntryIsIgnored(t *testing.T) {
	r := New(Entry{Name: "a"})
	r.Update(Entry{Name: "b", Boot: 2, DataCentre: "new"})
	r.Update(Entry{Name: "b", Boot: 1, DataCentre: "old"})
	if e, _ := r.Entry("b"); e.DataCentre != "new" {
		t.Errorf("entry %+v", e)
	}
}

// Guards against an empty list, caused by a fault of the platform, after which every daemon would consider itself the
// only one.
func TestListOfInstances(t *testing.T) {
	now := time.Unix(100, 0)
	r := New(Entry{Name: "a"})
	r.Update(Entry{Name: "b"})
	r.Update(Entry{Name: "c", Leaving: true})
	r.ApplyList(now, nil)
	if got := r.Live(now); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("live %v after an empty list", got)
	}
	r.ApplyList(now, []string{"a"})
	if got := r.Live(now); !slices.Equal(got, []string{"a"}) {
		t.Errorf("live %v after b left the list", got)
	}
	if got := r.RemoveAbsent(now.Add(time.Minute-1), time.Minute); got != nil {
		t.Errorf("removed %v too early", got)
	}
	if got := r.RemoveAbsent(now.Add(time.Minute), time.Minute); !slices.Equal(got, []string{"b", "c"}) || len(r.All(now)) != 1 {
		t.Errorf("removed %v, want the two that left the list", got)
	}
}

// Guards against losing the operator address to a message of an earlier version during a rolling upgrade.
func TestUpdateKeepsOperatorAddr(t *testing.T) {
	r := New(Entry{Name: "a"})
	at := netip.MustParseAddrPort("10.0.0.2:9443")
	r.Update(Entry{Name: "b", Boot: 1, OperatorAddr: at})
	r.Update(Entry{Name: "b", Boot: 1, Leaving: true})
	if e, _ := r.Entry("b"); e.OperatorAddr != at || !e.Leaving {
		t.Errorf("entry after a message without operator address: %+v", e)
	}
	r.Update(Entry{Name: "b", Boot: 2})
	if e, _ := r.Entry("b"); e.OperatorAddr.IsValid() {
		t.Errorf("a restarted daemon keeps the old operator address %s", e.OperatorAddr)
	}
}

// Guards against unsorted names, from which daemons would derive different homes, and against missing or duplicate
// daemons depending on the order in which they are added.
func TestLiveIsSorted(t *testing.T) {
	r := New(Entry{Name: "m"})
	var want []string
	for i := range 26 {
		name := string(rune('a' + i))
		want = append(want, name)
		r.Update(Entry{Name: string(rune('a' + i*7%26)), Boot: 1})
	}
	if got := r.Live(time.Unix(100, 0)); !slices.Equal(got, want) {
		t.Errorf("live %v", got)
	}
	if all := r.All(time.Unix(100, 0)); len(all) != len(want) || all[0].Name != "a" || all[25].Name != "z" {
		t.Errorf("all %v", all)
	}
}

func BenchmarkLive(b *testing.B) {
	r := New(Entry{Name: "craigmhor-0"})
	for i := range 370 {
		r.Update(Entry{Name: fmt.Sprintf("craigmhor-%d", i*7919%370), Boot: 1})
	}
	for b.Loop() {
		r.Live(time.Unix(100, 0))
	}
}
