package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/lease"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
)

// smallFleet has 3 daemons and 2 groups of 2 instances, with 2 spares, in one domain.
var smallFleet = fleetSpec{daemons: 3, domains: []int{6}, copies: 2, instances: 2, fencing: true, load: time.Second, period: 200 * time.Millisecond}

// groupAt returns the nth group in the first live daemon's view.
func (f *fleet) groupAt(n int) View { return f.live()[0].Groups()[n] }

// phases counts the groups of the first live daemon's view by phase.
func (f *fleet) phases() map[group.Phase]int {
	out := map[group.Phase]int{}
	for _, v := range f.live()[0].Groups() {
		out[v.Phase]++
	}
	return out
}

// setCutOff partitions a daemon or ends its partition. What a partitioned daemon sends is delivered only when the
// partition ends. The other daemons know that it is unreachable.
func (f *fleet) setCutOff(d *daemon, cut bool) {
	f.mu.Lock()
	f.cutOff[d.name] = cut
	f.mu.Unlock()
	d.table.setStalled(cut, "")
	d.orders.setStalled(cut, "")
}

// killAndCheck kills an instance and checks that the loss is detected and the group repaired in time.
func (f *fleet) killAndCheck(g View, id string) {
	f.t.Helper()
	f.patchFaults(`{"kill": true}`, id)
	detected := f.waitUntil(2*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(g) })
	f.waitUntil(time.Second, "no daemon uses the group", func() bool { return !f.usedAnywhere(g) })
	repaired := f.waitUntil(f.spec.load+10*time.Second, "the group is repaired", func() bool {
		return f.presentCount() == f.spec.copies && !slices.Contains(f.members(), id)
	})
	f.t.Logf("%s lost: detected after %v, repaired in every view %v later", id, detected, repaired)
}

// Guards against a group that keeps serving after it lost a member, whichever member it is, or that is not repaired.
func TestMemberDies(t *testing.T) {
	for index := range 2 {
		t.Run(fmt.Sprint("member ", index), func(t *testing.T) {
			t.Parallel()
			s := smallFleet
			s.copies, s.domains = 3, []int{9}
			runScenario(t, s, func(f *fleet) {
				f.waitFormed()
				for n := range 3 { // The groups have different homes, of which at most one holds the lease.
					g := f.groupAt(n)
					f.killAndCheck(g, g.Members[index])
				}
				f.requireKinds(timeline.InstanceLost, timeline.GroupStopped)
			})
		})
	}
}

// Guards against a member that resumes after a pause and takes part in a generation that has ended, and against an
// instance that is never used again although it answers again.
func TestMemberPaused(t *testing.T) {
	for _, spares := range []int{0, 1} {
		t.Run(fmt.Sprint("spares ", spares), func(t *testing.T) {
			t.Parallel()
			s := smallFleet
			s.domains, s.copies = []int{2 + spares}, 1
			runScenario(t, s, func(f *fleet) {
				f.waitFormed()
				g := f.groupAt(0)
				paused := g.Members[1]
				start := time.Now()
				f.patchFaults(`{"pause": true}`, paused)
				elapsed := f.waitUntil(2*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(g) })
				t.Logf("pause detected after %v", elapsed)
				f.waitUntil(time.Second, "no daemon uses the group", func() bool { return !f.usedAnywhere(g) })
				f.requireThroughout(5*time.Second-time.Since(start), "no daemon uses the generation", func() bool { return !f.usedAnywhere(g) })
				f.patchFaults(`{"pause": false}`, paused)
				f.requireThroughout(time.Second, "no daemon uses the generation", func() bool { return !f.usedAnywhere(g) })
				elapsed = f.waitUntil(20*time.Second, "the group serves again", func() bool { return f.presentCount() == 1 })
				t.Logf("the group serves again %v after the pause ended", elapsed)
				if spares > 0 {
					next := f.groupAt(0)
					i := slices.IndexFunc(next.Members, func(m string) bool { return m != paused })
					f.killAndCheck(next, next.Members[i]) // The only spare is the instance that was paused.
				}
			})
		})
	}
}

// Guards against groups that keep serving in an unreachable fabric domain, against spares in other domains that are not
// used, and against a recovered domain that is not used again.
func TestDomainDark(t *testing.T) {
	t.Parallel()
	s := smallFleet
	s.domains, s.copies = []int{4, 4}, 3
	runScenario(t, s, func(f *fleet) {
		f.waitFormed()
		count := map[string]int{}
		for _, v := range f.daemons[0].Groups() {
			count[v.Domain]++
		}
		dark := "d0"
		if count["d1"] == 2 {
			dark = "d1"
		}
		var lost []View
		for _, v := range f.daemons[0].Groups() {
			if v.Domain == dark {
				lost = append(lost, v)
			}
		}
		var ids []string
		for _, i := range f.instances {
			if i.Domain == dark {
				ids = append(ids, i.ID)
			}
		}
		f.patchFaults(`{"dark": true}`, ids...)
		elapsed := f.waitUntil(2*time.Second, "the homes detect the loss", func() bool { return !f.presentAtHome(lost[0]) && !f.presentAtHome(lost[1]) })
		t.Logf("loss of a domain detected after %v", elapsed)
		elapsed = f.waitUntil(20*time.Second, "the spares of the other domain serve", func() bool { return f.presentCount() == 2 })
		t.Logf("2 of 3 groups serve %v later", elapsed)
		f.sleep(30 * time.Second)
		f.patchFaults(`{"dark": false}`, ids...)
		elapsed = f.waitUntil(30*time.Second, "all groups serve", func() bool { return f.presentCount() == 3 })
		t.Logf("all groups serve %v after the domain recovered", elapsed)
	})
}

// Guards against a former lease holder, paused past its lease, whose delayed transactions or orders change what its
// successor has done. An engine that ignores tokens may execute such an order: the group must then stop at once and be
// repaired.
func TestHolderPaused(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, kind := range []string{"orders", "transactions"} {
			t.Run(fmt.Sprintf("%s, fencing %v", kind, fencing), func(t *testing.T) {
				t.Parallel()
				s := smallFleet
				s.domains, s.copies, s.fencing = []int{5}, 1, fencing
				runScenario(t, s, func(f *fleet) {
					f.waitFormed()
					f.waitUntil(20*time.Second, "a daemon holds the lease", func() bool { return f.holder() != nil })
					oldHolder := f.holder()
					first := f.groupAt(0)
					if kind == "orders" {
						oldHolder.orders.setStalled(true, "POST")
					} else {
						oldHolder.table.setStalled(true, "POST")
					}
					f.patchFaults(`{"kill": true}`, first.Members[1])
					if kind == "orders" {
						f.waitUntil(5*time.Second, "the holder decides on a new generation", func() bool { return f.groupAt(0).Generation > first.Generation })
					} else {
						f.waitUntil(5*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(first) })
						f.sleep(2 * time.Second) // The holder decides on a new generation within this time.
					}
					f.setCutOff(oldHolder, true)
					elapsed := f.waitUntil(lease.TTL+lease.TakeoverMargin+lease.CandidatePollInterval+time.Second, "another daemon holds the lease", func() bool {
						h := f.holder()
						return h != nil && h != oldHolder
					})
					t.Logf("lease taken over %v after the pause began", elapsed)
					f.waitUntil(20*time.Second, "the group serves", func() bool { return f.presentCount() == 1 })
					// Form a generation that the former holder does not know.
					next := f.groupAt(0)
					f.killAndCheck(next, next.Members[1])
					next = f.groupAt(0)
					f.setCutOff(oldHolder, false)
					if fencing || kind == "transactions" {
						f.requireThroughout(5*time.Second, "the successor's group serves", func() bool {
							ok, _ := f.live()[0].Present(next.Group, next.Generation)
							return ok
						})
						return
					}
					elapsed = f.waitUntil(time.Second, "the home detects the displaced member", func() bool { return !f.presentAtHome(next) })
					t.Logf("displaced member detected after %v", elapsed)
					f.waitUntil(20*time.Second, "the group is repaired", func() bool { return f.presentCount() == 1 })
				})
			})
		}
	}
}

// Guards against a daemon that was partitioned and, on its return, takes the failed probes of that time for the loss of
// healthy instances: as a home it would report them, as a lease holder replace them.
func TestDaemonReturns(t *testing.T) {
	for k := range 3 {
		t.Run(fmt.Sprint("daemon ", k), func(t *testing.T) {
			t.Parallel()
			s := smallFleet
			s.copies, s.domains, s.period = 3, []int{9}, time.Second
			runScenario(t, s, func(f *fleet) {
				f.waitFormed()
				d := f.daemons[k]
				before := d.Groups()
				same := func() bool {
					now := d.Groups()
					return slices.EqualFunc(before, now, func(a, b View) bool { return a.Group == b.Group && a.Generation == b.Generation })
				}
				f.setCutOff(d, true)
				f.requireThroughout(10*time.Second, "the other daemons use all groups", func() bool { return f.presentCount() == 3 })
				f.setCutOff(d, false)
				// The lease returns to the first daemon in its order within lease.HandOverInterval.
				f.requireThroughout(10*time.Second, "no generation changes", same)
				if h := f.holder(); h != nil && h != d {
					f.setCutOff(h, true)
				}
				f.requireThroughout(lease.HandOverInterval+20*time.Second, "no generation changes", same)
			})
		})
	}
}

// Guards against two daemons that form the same copies, or that put an instance into two groups, when each believes that
// it is first in the lease order and answers are lost.
func TestRace(t *testing.T) {
	for lose := range 4 {
		t.Run(fmt.Sprint(4*lose, " answers lost"), func(t *testing.T) {
			t.Parallel()
			s := smallFleet
			s.isolatedViews = true
			runScenario(t, s, func(f *fleet) {
				f.platform.SetFaults(standin.PlatformFaults{Lose: 4 * lose})
				f.waitFormed()
				f.requireThroughout(10*time.Second, "there are 2 groups", func() bool { return len(f.groupAt(0).Members) == 2 && len(f.live()[0].Groups()) == 2 })
			})
		})
	}
}

// Guards against groups that stop while the table service is unavailable for 10 minutes, against a loss that is not
// detected meanwhile, and against one that is not repaired once the service is back.
func TestGroupLossWhileTableDown(t *testing.T) {
	t.Parallel()
	s := smallFleet
	s.period = 5 * time.Second
	runScenario(t, s, func(f *fleet) {
		f.waitFormed()
		f.platform.SetFaults(standin.PlatformFaults{Down: true})
		f.requireThroughout(5*time.Minute, "both groups serve", func() bool { return f.presentCount() == 2 })
		g := f.groupAt(0)
		f.patchFaults(`{"kill": true}`, g.Members[1])
		f.waitUntil(2*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(g) })
		f.waitUntil(time.Second, "no daemon uses the group", func() bool { return !f.usedAnywhere(g) })
		f.requireThroughout(5*time.Minute, "the other group serves", func() bool { return f.presentCount() == 1 && !f.usedAnywhere(g) })
		f.platform.SetFaults(standin.PlatformFaults{})
		elapsed := f.waitUntil(30*time.Second, "the group is repaired", func() bool { return f.presentCount() == 2 })
		t.Logf("repaired %v after the table service recovered", elapsed)
		f.requireKinds(timeline.StoreChanged, timeline.LeaseEnded)
	})
}

// Guards against groups that stop, or are not formed or repaired, while the table service takes 900 ms to answer, or
// while answers to writes are lost.
func TestTableFaults(t *testing.T) {
	for name, x := range map[string]standin.PlatformFaults{"slow": {Slow: 900}, "answers lost": {Lose: 12}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, smallFleet, func(f *fleet) {
				f.platform.SetFaults(x)
				elapsed := f.waitFormed()
				t.Logf("formed after %v", elapsed)
				f.requireThroughout(20*time.Second, "both groups serve", func() bool { return f.presentCount() == 2 })
				f.platform.SetFaults(x)
				g := f.groupAt(0)
				f.patchFaults(`{"kill": true}`, g.Members[1])
				f.waitUntil(2*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(g) })
				elapsed = f.waitUntil(40*time.Second, "the group is repaired", func() bool { return f.presentCount() == 2 })
				t.Logf("repaired in every view %v later", elapsed)
			})
		})
	}
}

// Guards against a group that accepts new requests for more than 3 s after the platform lists a member as leaving, and
// against requests in flight that are interrupted by its replacement.
func TestLeavingInstance(t *testing.T) {
	t.Parallel()
	runScenario(t, smallFleet, func(f *fleet) {
		f.waitFormed()
		g := f.groupAt(0)
		f.markLeaving(g.Members[0])
		f.waitUntil(3*time.Second, "no daemon uses the group", func() bool { return !f.usedAnywhere(g) })
		elapsed := f.waitUntil(40*time.Second, "the group has another member", func() bool {
			return f.presentCount() == 2 && !slices.Contains(f.members(), g.Members[0])
		})
		t.Logf("member replaced %v after the group was out of use", elapsed)
		for _, e := range f.engines {
			for _, r := range e.Record().Runs {
				if r.Ended != "" && r.Ended != standin.EndDone {
					t.Errorf("%s on %s ended as %s", r.Attempt, r.Instance, r.Ended)
				}
			}
		}
		f.requireKinds(timeline.InstanceLeaving)
	})
}

// Guards against a loss that is detected only through the platform's list, which lags, and against a dead spare that
// joins a group because the list still shows it.
func TestListLags(t *testing.T) {
	t.Parallel()
	s := smallFleet
	s.lag = 10 * time.Second
	runScenario(t, s, func(f *fleet) {
		f.waitFormed()
		g := f.groupAt(0)
		var spare string
		for _, i := range f.instances {
			if !slices.Contains(f.members(), i.ID) {
				spare = i.ID
				break
			}
		}
		f.patchFaults(`{"kill": true}`, spare)
		f.sleep(group.MaxStateAge + time.Second) // The spare's last answer counts until then.
		f.killAndCheck(g, g.Members[1])
		for _, e := range f.events() {
			if e.Kind == timeline.GroupFormed && slices.Contains(e.Members, spare) {
				t.Errorf("dead instance %s joined %s", spare, e.Group)
			}
		}
		g = f.groupAt(0)
		f.markLeaving(g.Members[0])
		f.waitUntil(14*time.Second, "no daemon uses the group of a leaving instance", func() bool { return !f.usedAnywhere(g) })
	})
}

// Guards against a reduced number of copies that is not reached, that takes the remaining copies out of service, or that
// leaves instances claimed or loaded. Checks the same for a service that is withdrawn.
func TestShrinkThenWithdraw(t *testing.T) {
	t.Parallel()
	s := smallFleet
	s.copies = 3
	runScenario(t, s, func(f *fleet) {
		f.waitFormed()
		f.applyNote(f.daemons[1], "[changed model-service s]\ncopies = 1\n")
		start := time.Now()
		for len(f.live()[0].Groups()) > 1 {
			if time.Since(start) > 30*time.Second {
				t.Fatalf("condition not met after %v; phases %v", time.Since(start), f.phases())
			}
			if f.presentCount() < 1 {
				t.Fatal("no group serves while copies are released")
			}
			f.sleep(10 * time.Millisecond)
		}
		t.Logf("1 of 3 groups left after %v", time.Since(start))
		f.applyNote(f.daemons[2], "[withdrawn model-service s]\n")
		loaded := func() int {
			n := 0
			for _, e := range f.engines {
				for _, x := range e.Record().Spans {
					if x.End.IsZero() {
						n++
					}
				}
			}
			return n
		}
		elapsed := f.waitUntil(30*time.Second, "no group is left", func() bool { return len(f.live()[0].Groups()) == 0 && loaded() == 0 })
		t.Logf("no group left %v after the withdrawal", elapsed)
		f.requireKinds(timeline.GroupReleased)
	})
}

// Guards against a change of version that takes more than one group out of service at a time, or that skips a group.
func TestVersionRolled(t *testing.T) {
	t.Parallel()
	s := smallFleet
	s.copies = 3
	runScenario(t, s, func(f *fleet) {
		f.waitFormed()
		f.applyNote(f.daemons[1], "[changed model-service s]\nversion = 2\n")
		current := func() bool {
			for _, e := range f.events() {
				if e.Kind == timeline.GroupFormed && e.Generation == 6 {
					return f.presentCount() == 3
				}
			}
			return false
		}
		start := time.Now()
		for !current() {
			if time.Since(start) > 2*time.Minute {
				t.Fatalf("condition not met after %v; phases %v", time.Since(start), f.phases())
			}
			if n := f.presentCount(); n < 2 {
				t.Fatalf("%d of 3 groups serve", n)
			}
			f.sleep(10 * time.Millisecond)
		}
		t.Logf("all groups have the next version after %v", time.Since(start))
		for _, d := range f.daemons {
			d.mu.Lock()
			for id, x := range d.rows {
				if x.row.Version != "2" || !strings.HasPrefix(id, "s/") {
					t.Errorf("%s sees %s with version %s", d.name, id, x.row.Version)
				}
			}
			d.mu.Unlock()
		}
	})
}

// Measures the downtime of a group after the loss of a member: from the loss until the first daemon, and until all
// daemons, use the next generation. The losses are spread over the probe period.
func TestDowntime(t *testing.T) {
	for _, load := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("load %v, silent %v", load, silent), func(t *testing.T) {
				t.Parallel()
				s := smallFleet
				s.domains, s.copies, s.load, s.period = []int{6}, 1, load, time.Second
				runScenario(t, s, func(f *fleet) {
					f.waitFormed()
					var detected, first, all time.Duration
					losses := 4
					if load >= 20*time.Second {
						losses = 2 // The probe period's share of the downtime is small here, and each loss takes long to run.
					}
					for n := range losses {
						f.sleep(3*time.Second + time.Duration(n)*500*time.Millisecond/time.Duration(losses))
						g := f.groupAt(0)
						start := time.Now()
						if silent {
							f.patchFaults(`{"dark": true}`, g.Members[n%2])
						} else {
							f.patchFaults(`{"kill": true}`, g.Members[n%2])
						}
						f.waitUntil(2*time.Second, "the home detects the loss", func() bool { return !f.presentAtHome(g) })
						detected = max(detected, time.Since(start))
						f.waitUntil(load+20*time.Second, "a daemon uses the next generation", func() bool {
							return slices.ContainsFunc(f.daemons, func(d *daemon) bool {
								return slices.ContainsFunc(d.Groups(), func(v View) bool { return v.Present && v.Generation > g.Generation })
							})
						})
						first = max(first, time.Since(start))
						f.waitUntil(5*time.Second, "all daemons use it", func() bool { return f.presentCount() == 1 && !f.usedAnywhere(g) })
						all = max(all, time.Since(start))
					}
					target := time.Duration(1.2 * float64(load+time.Second))
					t.Logf("load %v, silent %v: detected within %v, first use after %v (%.2f of load + 1 s), use by all after %v (%.2f)", load, silent, detected,
						first, float64(first)/float64(load+time.Second), all, float64(all)/float64(load+time.Second))
					// Detection of a silent member takes up to 2 s, which 1.2 * (load + 1 s) leaves no room for at load times
					// below 9 s.
					if first > target && (!silent || load > 9*time.Second) {
						t.Errorf("down for %v, target %v", first, target)
					}
				})
			})
		}
	}
}
