package startup

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scenario is a start of a fleet.
type scenario struct {
	daemons int
	// within is the time over which the daemons start. running daemons are synchronised before.
	within  time.Duration
	running int
	// rows is set if the rows of daemons exist from before; otherwise a daemon writes its row when it has read those of others.
	rows bool
	// gone is the number of daemons whose rows exist and that do not run; they precede all others.
	gone int
	// latency is that of a call to the store. refused is the fraction of daemons that the store turns away.
	latency time.Duration
	refused float64
}

type result struct {
	// delays holds the time from the start of each daemon to its data, sorted.
	delays []time.Duration
	// reads is the number of reads of configuration and entries, each of which is one call.
	reads int
}

// simulate steps all daemons through a start in steps of a millisecond, in which a message between daemons arrives.
func simulate(s scenario, seed uint64) result {
	const dataCentres, step, digestPeriod = 3, time.Millisecond, 150 * time.Millisecond
	type daemon struct {
		dc, rank              int
		start, synced, answer time.Duration
		rowsAt, sourceSince   time.Duration
		rowsDue               time.Duration
		fromPeer              time.Duration
		known                 int
		plan                  Plan
		refused               bool
		sources               map[int]bool
		rowWritten            time.Duration
	}
	r := rand.New(rand.NewPCG(seed, 7))
	all := make([]*daemon, s.daemons)
	local := [dataCentres]int{} // the synchronised daemons of each data centre
	for i := range all {
		d := &daemon{dc: i % dataCentres, rank: (i + s.gone) / dataCentres, plan: NewPlan(r.Float64()), sources: map[int]bool{}, synced: -1, answer: -1, fromPeer: -1, rowWritten: -1}
		d.refused = r.Float64() < s.refused
		if i >= s.daemons-s.running {
			d.synced, d.start = 0, -time.Hour
			local[d.dc]++
		} else {
			d.start = time.Duration(r.Float64() * float64(s.within))
		}
		d.rowsDue = d.start + s.latency + step
		all[i] = d
	}
	out := result{}
	synced := s.running
	hear := func(now time.Duration, to *daemon, from int) {
		if to.start <= now && to.synced < 0 {
			to.sources[from] = true
			if to.sourceSince == 0 {
				to.sourceSince = now - to.start + 1
			}
		}
	}
	sync := func(now time.Duration, i int, fromStore bool) {
		d := all[i]
		d.synced = now
		synced++
		local[d.dc]++
		out.delays = append(out.delays, now-d.start)
		for _, j := range r.Perm(len(all))[:FanOut(len(all), fromStore, d.rank < 4)] {
			hear(now, all[j], i)
		}
	}
	for now := time.Duration(0); synced < len(all) && now < 10*time.Second; now += step {
		for i, d := range all {
			if d.start > now || d.synced >= 0 {
				continue
			}
			if d.rowsAt == 0 && now >= d.rowsDue && !d.refused {
				d.rowsAt = max(now-d.start, 1)
				d.rowWritten = now + s.latency
				for j, o := range all {
					visible := s.rows || o.rowWritten >= 0 && o.rowWritten <= now-s.latency/2
					if j != i && visible {
						d.known++
					}
					// The announcement to a synchronised daemon is answered by some of them.
					if j != i && visible && o.synced >= 0 && o.synced < now && Replies(o.dc == d.dc, local[o.dc], r.Float64()) {
						hear(now, d, j)
					}
				}
			}
			// The periodic digests of synchronised daemons of the data centre.
			if s.rows && r.Float64() < float64(local[d.dc])*float64(step)/float64(digestPeriod) {
				if j := r.IntN(len(all)); all[j].dc == d.dc && all[j].synced >= 0 {
					hear(now, d, j)
				}
			}
			if d.answer >= 0 {
				if now >= d.answer {
					sync(now, i, true)
				}
				continue
			}
			if d.fromPeer >= 0 {
				if now >= d.fromPeer {
					sync(now, i, false)
				}
				continue
			}
			state := State{Elapsed: now - d.start, RowsRead: d.rowsAt, Daemons: d.known + 1 + s.gone, SourceSince: d.sourceSince, RowsTook: s.latency}
			for j := range d.sources {
				if all[j].dc == d.dc {
					state.Local++
				} else {
					state.Remote++
				}
			}
			if s.rows {
				state.Preceding = d.rank
			} else {
				state.Preceding = min(d.rank, d.known/dataCentres)
			}
			switch d.plan.Next(state) {
			case AskPeer:
				d.fromPeer = now + 4*step
			case AskStore:
				out.reads += 2
				if d.refused {
					d.fromPeer = now + 500*step // the fall-back to peers that also serves outages of the store
					continue
				}
				d.answer = now + s.latency + step
			}
		}
	}
	slices.Sort(out.delays)
	return out
}

// TestFleetStart guards against a fleet whose daemons wait for each other after all of them were lost, and against one that calls the
// store with every daemon at once.
func TestFleetStart(t *testing.T) {
	for _, n := range []int{7, 88, 300, 1000} {
		for _, test := range []struct {
			name string
			scenario
			// maxReads bounds the calls for configuration and entries. slowest is the bound for the last daemon.
			maxReads int
			slowest  time.Duration
		}{
			{"rows exist", scenario{within: 200 * time.Millisecond, rows: true}, 20 + n/2, 100 * time.Millisecond},
			{"at one moment", scenario{rows: true}, 20 + n/4, 100 * time.Millisecond},
			{"the first of the order are gone", scenario{within: 200 * time.Millisecond, rows: true, gone: 60}, 20 + n/2, 100 * time.Millisecond},
			{"no rows", scenario{within: 200 * time.Millisecond}, 40 + n/2, 100 * time.Millisecond},
			{"slow store", scenario{within: 200 * time.Millisecond, rows: true, latency: 300 * time.Millisecond}, 2 * n, 1500 * time.Millisecond},
			{"the store turns half away", scenario{within: 200 * time.Millisecond, rows: true, refused: 0.5}, 40 + n, blindDelay + blindSpread + 600*time.Millisecond},
		} {
			t.Run(fmt.Sprint(test.name, "/", n), func(t *testing.T) {
				test.daemons = n
				test.latency = cmp.Or(test.latency, 4*time.Millisecond)
				most, slowest, median := 0, time.Duration(0), time.Duration(0)
				for seed := range uint64(5) {
					out := simulate(test.scenario, seed)
					if len(out.delays) < n {
						t.Fatalf("seed %d: %d of %d daemons have data", seed, len(out.delays), n)
					}
					most, slowest, median = max(most, out.reads), max(slowest, out.delays[n-1]), max(median, out.delays[n/2])
				}
				t.Logf("at most %d reads beside the rows, median %v, slowest %v", most, median, slowest)
				if most > test.maxReads {
					t.Errorf("%d reads, want at most %d", most, test.maxReads)
				}
				if slowest > test.slowest {
					t.Errorf("the last daemon has data after %v, want at most %v", slowest, test.slowest)
				}
			})
		}
	}
}

// TestSingleStart guards against calls to the store by a daemon that starts among synchronised ones.
func TestSingleStart(t *testing.T) {
	reads := 0
	for seed := range uint64(100) {
		out := simulate(scenario{daemons: 88, running: 87, rows: true, latency: 4 * time.Millisecond}, seed)
		reads += out.reads
		if len(out.delays) != 1 || out.delays[0] > 100*time.Millisecond {
			t.Fatalf("seed %d: %v", seed, out.delays)
		}
	}
	if reads > 30 {
		t.Errorf("%d reads in 100 starts", reads)
	}
}

// TestRestored guards against a daemon that starts after a restore of the store and takes older entries from there than its peers know.
func TestRestored(t *testing.T) {
	for _, test := range []struct {
		s    State
		want Action
	}{
		{State{Elapsed: 100 * time.Millisecond}, Wait},
		{State{Elapsed: 200 * time.Millisecond}, AskStore},
		{State{Elapsed: 400 * time.Millisecond, Local: 1, SourceSince: 20 * time.Millisecond}, AskPeer},
		{State{Elapsed: 600 * time.Millisecond, Local: 1, SourceSince: 20 * time.Millisecond}, AskStore},
	} {
		test.s.Restored, test.s.RowsRead, test.s.Daemons = true, 5*time.Millisecond, 2
		if got := NewPlan(0).Next(test.s); got != test.want {
			t.Errorf("%+v: action %d, want %d", test.s, got, test.want)
		}
	}
}

// TestRowWrites guards against a start in which all daemons write their rows within one second.
func TestRowWrites(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{7, 88, 300, 1000} {
		perSecond := map[time.Duration]int{}
		for range n {
			perSecond[RowDelay(n, true, r.Float64())/time.Second]++
		}
		for second, writes := range perSecond {
			if writes > 600 {
				t.Errorf("%d daemons: %d writes in second %d", n, writes, second)
			}
		}
	}
}

// TestConfirmation guards against a daemon that has been paused and passes on a configuration that it believes to be the newest.
func TestConfirmation(t *testing.T) {
	var c Confirmation
	now := time.Unix(1000, 0)
	if _, ok := c.Age(now); ok {
		t.Error("confirmed without a read")
	}
	c.Read(now)
	for range 5 {
		now = now.Add(400 * time.Millisecond)
		c.Alive(now)
	}
	if age, ok := c.Age(now); !ok || !MayTake(age) {
		t.Errorf("a daemon that follows the store confirms as of %v ago", age)
	}
	now = now.Add(2 * time.Second) // the pause
	c.Alive(now)
	if age, _ := c.Age(now); MayTake(age) {
		t.Errorf("a daemon that was paused confirms as of %v ago", age)
	}
	c.Relayed(now, 3*time.Second)
	if age, _ := c.Age(now); age != 2*time.Second {
		t.Errorf("an older confirmation of a peer counts: %v", age)
	}
	c.Read(now)
	c.Lost()
	now = now.Add(500 * time.Millisecond)
	c.Alive(now)
	if age, _ := c.Age(now); age != 500*time.Millisecond {
		t.Errorf("confirmed %v ago although the reads of the configuration have failed", age)
	}
	if MayTake(0) {
		t.Error("a peer that knows of no confirmation is trusted")
	}
}
