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

type fixedDaemons []string

func (n fixedDaemons) Daemons() []string { return n }

func testRow(phase group.Phase) group.Row {
	return group.Row{ID: "s/1", Service: "s", Generation: 1, Members: []group.Member{{ID: "a"}, {ID: "b"}}, Model: "m", Version: "1", Phase: phase}
}

// Guards against a group that counts as present, at its home or at another daemon, although a member is gone, leaving,
// in a mismatched state or was not seen for too long, for example after a pause of the daemon.
func TestPresent(t *testing.T) {
	for _, home := range []bool{true, false} {
		for _, x := range []struct {
			name string
			do   func(c *Control, tracked *trackedGroup)
			want bool
		}{
			{"whole", func(*Control, *trackedGroup) {}, true},
			{"loading", func(_ *Control, tracked *trackedGroup) { tracked.row.Phase = group.Loading }, false},
			{"draining", func(_ *Control, tracked *trackedGroup) { tracked.row.Phase = group.Draining }, false},
			{"leaving", func(c *Control, _ *trackedGroup) { c.ApplyRoster(newRoster(platform.Leaving, "a", "b")) }, false},
			{"missing", func(c *Control, _ *trackedGroup) { c.ApplyRoster(newRoster(platform.Live, "a")) }, false},
			{"two failed probes", func(c *Control, _ *trackedGroup) {
				c.members.RecordProbe("b", false)
				c.members.RecordProbe("b", false)
			}, true},
			{"reported by another daemon", func(c *Control, _ *trackedGroup) { c.ReportMissing("s/1", 1, "b") }, false},
			{"report on an earlier generation", func(c *Control, _ *trackedGroup) { c.ReportMissing("s/1", 0, "b") }, true},
			{"another state", func(_ *Control, tracked *trackedGroup) { tracked.mismatched = "b" }, false},
			{"old proof", func(_ *Control, tracked *trackedGroup) {
				tracked.remoteProof = time.Now().Add(-maxRemoteProofAge)
				for i := range tracked.matchedAt {
					tracked.matchedAt[i] = time.Now().Add(-maxProofAge)
				}
			}, false},
			{"next generation", func(c *Control, _ *trackedGroup) {
				r := testRow(group.Serving)
				r.Generation = 2
				c.applyWrittenRow(r, false)
			}, false},
		} {
			c := New(Options{Name: "x", Daemons: fixedDaemons{"x"}, Config: func() (note.Config, bool) { return note.Config{}, true }, Log: hclog.NewNullLogger(), Timeline: timeline.NewLog("x", 64)})
			c.ApplyRoster(newRoster(platform.Live, "a", "b"))
			c.putRow(testRow(group.Serving))
			tracked := c.rows["s/1"]
			tracked.home = home
			if home {
				tracked.matchedAt[0], tracked.matchedAt[1] = time.Now(), time.Now()
			} else {
				tracked.remoteProof = time.Now()
			}
			c.updatePresence(time.Now())
			x.do(c, tracked)
			c.updatePresence(time.Now())
			if got, _ := c.Present("s/1", 1); got != x.want {
				t.Errorf("home %v, %s: present %v", home, x.name, got)
			}
		}
	}
}

// Guards against load reports that are polled although the home reports on the members, and against a member that was
// reported missing but counts as present because of an earlier report of the home.
func TestProven(t *testing.T) {
	c := New(Options{Name: "x", Daemons: fixedDaemons{"x"}, Config: func() (note.Config, bool) { return note.Config{}, true }, Log: hclog.NewNullLogger(), Timeline: timeline.NewLog("x", 64)})
	c.ApplyRoster(newRoster(platform.Live, "a", "b"))
	c.putRow(testRow(group.Serving))
	start := time.Now()
	polls := func(now time.Time) bool {
		_, loads, _ := c.probeTargets(now)
		return len(loads) > 0
	}
	if !polls(start) {
		t.Error("member 0 of a group without a proof is not polled")
	}
	// The home's report comes with the answer to each demand. Its age is that of the home's probes, which are answered
	// within a quarter of their timeout.
	const reportAge = member.ProbePeriod*11/10 + member.ProbeTimeout/4
	c.RecordProof("s/1", 1, start.Add(-reportAge))
	for now := start.Add(share.RenewInterval); now.Before(start.Add(10 * time.Second)); now = now.Add(share.RenewInterval) {
		if polls(now) {
			t.Fatalf("member 0 is polled %v after the start although the home reports on the members", now.Sub(start))
		}
		c.RecordProof("s/1", 1, now.Add(-reportAge))
	}
	if ok, _ := c.Present("s/1", 1); !ok {
		t.Error("group is not present although the home reports its members present")
	}
	if !polls(start.Add(12 * time.Second)) {
		t.Error("member 0 is not polled after the home stops reporting")
	}
	c.ReportMissing("s/1", 1, "b")
	c.RecordProof("s/1", 1, time.Now())
	if ok, _ := c.Present("s/1", 1); ok {
		t.Error("group is present by the home's report although a member was reported missing")
	}
	c.RecordProof("s/1", 2, time.Now())
	if ok, _ := c.Present("s/1", 1); ok {
		t.Error("group is present by a proof of another generation")
	}
}

var lastListed = time.Now()

func newRoster(state platform.InstanceState, ids ...string) platform.Roster {
	lastListed = lastListed.Add(time.Second)
	r := platform.Roster{At: lastListed}
	for _, id := range ids {
		r.Instances = append(r.Instances, platform.Instance{ID: id, Kind: platform.KindEngine, State: state})
	}
	return r
}

var _ Daemons = fixedDaemons{}

// Guards against probe intervals so short, or so long, that three failures do not span the time within which a loss is to
// be detected.
func TestBounds(t *testing.T) {
	if maxProofAge != 2*time.Second || member.FailureThreshold*member.ProbePeriod*4/5 < time.Second {
		t.Errorf("proof counts for %v, or failed probes span too little time", maxProofAge)
	}
}
