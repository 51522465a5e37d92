package control

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timeline"
)

type names []string

func (n names) Daemons() []string { return n }

func row(phase group.Phase) group.Row {
	return group.Row{ID: "s/1", Service: "s", Generation: 1, Members: []group.Member{{ID: "a"}, {ID: "b"}}, Model: "m", Version: "1", Phase: phase}
}

// Guards against a group that counts as present, at its home or elsewhere, with a member that is gone, leaving, of
// another state or not seen for too long, for example after a pause of the daemon.
func TestPresent(t *testing.T) {
	for _, home := range []bool{true, false} {
		for _, x := range []struct {
			name string
			do   func(c *Control, k *tracked)
			want bool
		}{
			{"whole", func(*Control, *tracked) {}, true},
			{"loading", func(_ *Control, k *tracked) { k.row.Phase = group.Loading }, false},
			{"draining", func(_ *Control, k *tracked) { k.row.Phase = group.Draining }, false},
			{"leaving", func(c *Control, _ *tracked) { c.List(list(platform.Leaving, "a", "b")) }, false},
			{"missing", func(c *Control, _ *tracked) { c.List(list(platform.Live, "a")) }, false},
			{"two failed probes", func(c *Control, _ *tracked) { c.members.RecordProbe("b", false); c.members.RecordProbe("b", false) }, true},
			{"reported by another daemon", func(c *Control, _ *tracked) { c.Report("s/1", 1, "b") }, false},
			{"report on an earlier generation", func(c *Control, _ *tracked) { c.Report("s/1", 0, "b") }, true},
			{"another state", func(_ *Control, k *tracked) { k.wrong = "b" }, false},
			{"old proof", func(_ *Control, k *tracked) {
				k.away = time.Now().Add(-awayMax)
				for i := range k.seen {
					k.seen[i] = time.Now().Add(-proofMax)
				}
			}, false},
			{"next generation", func(c *Control, _ *tracked) { r := row(group.Serving); r.Generation = 2; c.adoptOne(r, false) }, false},
		} {
			c := New(Options{Name: "x", Daemons: names{"x"}, Config: func() (note.Config, bool) { return note.Config{}, true }, Log: hclog.NewNullLogger(), Timeline: timeline.NewLog("x", 64)})
			c.List(list(platform.Live, "a", "b"))
			c.put(row(group.Serving))
			k := c.rows["s/1"]
			k.home = home
			if home {
				k.seen[0], k.seen[1] = time.Now(), time.Now()
			} else {
				k.away = time.Now()
			}
			c.evaluate(time.Now())
			x.do(c, k)
			c.evaluate(time.Now())
			if got, _ := c.Present("s/1", 1); got != x.want {
				t.Errorf("home %v, %s: present %v", home, x.name, got)
			}
		}
	}
}

// Guards against load reports that are asked for although the home tells of the members, and against a member that was
// reported missing counting as present by what the home saw earlier.
func TestProven(t *testing.T) {
	c := New(Options{Name: "x", Daemons: names{"x"}, Config: func() (note.Config, bool) { return note.Config{}, true }, Log: hclog.NewNullLogger(), Timeline: timeline.NewLog("x", 64)})
	c.List(list(platform.Live, "a", "b"))
	c.put(row(group.Serving))
	start := time.Now()
	asks := func(now time.Time) bool {
		_, loads, _ := c.targets(now)
		return len(loads) > 0
	}
	if !asks(start) {
		t.Error("a group without proof is not asked")
	}
	// The home's word comes with the answer to each demand, and is as old as its probes, which are answered within a
	// quarter of their time limit.
	const oldest = member.ProbePeriod*11/10 + member.ProbeTimeout/4
	c.Proven("s/1", 1, start.Add(-oldest))
	for now := start.Add(share.RenewInterval); now.Before(start.Add(10 * time.Second)); now = now.Add(share.RenewInterval) {
		if asks(now) {
			t.Fatalf("member 0 is asked %v after the start although the home tells of it", now.Sub(start))
		}
		c.Proven("s/1", 1, now.Add(-oldest))
	}
	if ok, _ := c.Present("s/1", 1); !ok {
		t.Error("not present by the home's word")
	}
	if !asks(start.Add(12 * time.Second)) {
		t.Error("member 0 is not asked when the home falls silent")
	}
	c.Report("s/1", 1, "b")
	c.Proven("s/1", 1, time.Now())
	if ok, _ := c.Present("s/1", 1); ok {
		t.Error("present by the home's word although a member was reported missing")
	}
	c.Proven("s/1", 2, time.Now())
	if ok, _ := c.Present("s/1", 1); ok {
		t.Error("present by a proof of another generation")
	}
}

var listed = time.Now()

func list(state platform.InstanceState, ids ...string) platform.Roster {
	listed = listed.Add(time.Second)
	r := platform.Roster{At: listed}
	for _, id := range ids {
		r.Instances = append(r.Instances, platform.Instance{ID: id, Kind: platform.KindEngine, State: state})
	}
	return r
}

var _ Daemons = names{}

// Guards against probes that follow each other so fast, or so slowly, that three failures do not span the time in
// which a loss is to be found.
func TestBounds(t *testing.T) {
	if proofMax != 2*time.Second || member.FailureThreshold*member.ProbePeriod*4/5 < time.Second {
		t.Errorf("proof counts for %v", proofMax)
	}
}
