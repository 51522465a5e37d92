package evacuation

import (
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/era"
)

var start = time.Unix(1000, 0)

func at(n, version int64) era.Position { return era.Position{Era: n, Version: version} }

func covers(t *testing.T, tr *Tracker, want ...string) {
	t.Helper()
	if got := strings.Join(tr.Set().DataCentres(), " "); got != strings.Join(want, " ") {
		t.Errorf("evacuated: %q, want %q", got, want)
	}
}

// TestOrder guards against an older set that replaces a newer one, whichever way it arrives, and against a set that is used before it is
// known.
func TestOrder(t *testing.T) {
	tr := &Tracker{}
	tr.Update(start, at(1, 3), []Change{{DataCentre: "x"}})
	if tr.Set() != nil || tr.State(start, false) != nil {
		t.Fatal("a set is known from changes alone")
	}
	tr.Replace(start, at(1, 10), []string{"a"})
	before := tr.Set()
	tr.Replace(start, at(1, 11), []string{"a"})
	if tr.Set() != before {
		t.Error("the set was replaced though it is the same")
	}
	tr.Merge(start, &State{Era: 1, Version: 10})
	covers(t, tr, "a")
	tr.Merge(start, &State{Era: 1, Version: 20, DataCentres: []string{"b"}})
	covers(t, tr, "b")
	tr.Update(start, at(1, 15), []Change{{DataCentre: "b", Removed: true}})
	covers(t, tr, "b")
	// The feed goes on from before the merged position and repeats its changes.
	tr.Update(start, at(1, 21), []Change{{DataCentre: "a", Removed: true}, {DataCentre: "b"}, {DataCentre: "c"}})
	covers(t, tr, "b", "c")
	tr.Merge(start, &State{Era: 1, Version: 30, Omitted: true})
	covers(t, tr, "b", "c")
	tr.Replace(start, at(1, 31), []string{"", "d"})
	covers(t, tr, "d")
}

// TestEndedAt guards against servers that count as warm after the end of an evacuation, or as cold during the next one.
func TestEndedAt(t *testing.T) {
	tr := &Tracker{}
	tr.Replace(start, at(1, 1), []string{"a"})
	end := start.Add(time.Minute)
	tr.Update(end, at(1, 2), []Change{{DataCentre: "a", Removed: true}})
	if got := tr.Set().EndedAt("a"); tr.Set().Covers("a") || !got.Equal(end) {
		t.Errorf("ended at %v, want %v", got, end)
	}
	tr.Update(end.Add(time.Second), at(1, 3), []Change{{DataCentre: "b"}})
	if got := tr.Set().EndedAt("a"); !got.Equal(end) {
		t.Errorf("ended at %v after another change, want %v", got, end)
	}
	tr.Update(end.Add(time.Second), at(1, 4), []Change{{DataCentre: "a"}})
	if got := tr.Set().EndedAt("a"); !got.IsZero() {
		t.Errorf("ended at %v during an evacuation", got)
	}
}

// TestRestore guards against an evacuation that ends at once because the backup lacks its row, and against one that never ends.
func TestRestore(t *testing.T) {
	tr := &Tracker{}
	tr.Replace(start, at(1, 10), []string{"a", "b", "c"})
	tr.ObserveEra(start, 2)
	covers(t, tr, "a", "b", "c")
	// The backup lacks a and b; b is written again and removed.
	tr.Replace(start.Add(500*time.Millisecond), at(2, 5), []string{"c"})
	covers(t, tr, "a", "b", "c")
	tr.Update(start.Add(time.Second), at(2, 6), []Change{{DataCentre: "b"}})
	tr.Update(start.Add(1500*time.Millisecond), at(2, 7), []Change{{DataCentre: "b", Removed: true}})
	covers(t, tr, "a", "c")
	tr.Merge(start, &State{Era: 1, Version: 99, DataCentres: []string{"d"}})
	covers(t, tr, "a", "c")

	// A daemon that starts meanwhile learns of it, once.
	other := &Tracker{}
	other.Replace(start, at(2, 5), []string{"c"})
	told := tr.State(start.Add(1500*time.Millisecond), true)
	other.Merge(start.Add(1500*time.Millisecond), told)
	covers(t, other, "a", "c")
	tr.Expire(start.Add(Grace - time.Millisecond))
	covers(t, tr, "a", "c")
	tr.Expire(start.Add(Grace))
	covers(t, tr, "c")
	other.Expire(start.Add(Grace))
	other.Merge(start.Add(Grace), told)
	tr.Merge(start.Add(Grace), told)
	covers(t, other, "c")
	covers(t, tr, "c")

	late := &Tracker{}
	late.Replace(start, at(1, 10), []string{"a"})
	late.ObserveEra(start, 2)
	late.Replace(start.Add(Grace), at(2, 5), nil)
	covers(t, late)
}

// TestState guards against a digest that does not fit a datagram as rows have long names.
func TestState(t *testing.T) {
	tr := &Tracker{}
	tr.Replace(start, at(1, 10), []string{"a", strings.Repeat("x", maxNamesBytes)})
	text, err := cbor.Marshal(tr.State(start, true))
	if err != nil || len(text) > 100 {
		t.Errorf("state of %d bytes, error %v", len(text), err)
	}
	other := &Tracker{}
	other.Merge(start, tr.State(start, false))
	if !other.Set().Covers("a") || other.Set().Len() != 2 {
		t.Error("the whole state was not taken over")
	}
}
