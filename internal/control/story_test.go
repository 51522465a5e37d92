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

// four is a fleet of 3 daemons and 2 groups of 2 instances with 2 spares in one domain.
var four = spec{daemons: 3, domains: []int{6}, copies: 2, instances: 2, fencing: true, load: time.Second, period: 200 * time.Millisecond}

// group returns a group as the first live daemon sees it.
func (f *fleet) group(n int) View { return f.live()[0].Groups()[n] }

// phases counts the groups of the first live daemon's view by phase.
func (f *fleet) phases() map[group.Phase]int {
	out := map[group.Phase]int{}
	for _, v := range f.live()[0].Groups() {
		out[v.Phase]++
	}
	return out
}

// cutOff cuts a daemon off: nothing that it sends arrives before it is joined again, and the others know it.
func (f *fleet) cutOff(d *daemon, cut bool) {
	f.mu.Lock()
	f.cut[d.name] = cut
	f.mu.Unlock()
	d.table.set(cut, "")
	d.orders.set(cut, "")
}

// lose kills an instance and checks that the loss is found and healed in time.
func (f *fleet) lose(g View, id string) {
	f.t.Helper()
	f.fault(`{"kill": true}`, id)
	found := f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
	f.until(time.Second, "no daemon uses the group", func() bool { return !f.used(g) })
	rest := f.until(f.spec.load+10*time.Second, "the group is healed", func() bool {
		return f.present() == f.spec.copies && !slices.Contains(f.members(), id)
	})
	f.t.Logf("%s lost: found after %v, healed everywhere %v later", id, found, rest)
}

// Guards against a group that goes on serving without a member, whichever it is, or that is not healed.
func TestMemberDies(t *testing.T) {
	for index := range 2 {
		t.Run(fmt.Sprint("member ", index), func(t *testing.T) {
			t.Parallel()
			s := four
			s.copies, s.domains = 3, []int{9}
			story(t, s, func(f *fleet) {
				f.form()
				for n := range 3 { // Their homes differ, and not all are the lease holder.
					g := f.group(n)
					f.lose(g, g.Members[index])
				}
				f.kinds(timeline.Lose, timeline.Stop)
			})
		})
	}
}

// Guards against a member that comes back after a pause and takes part in a generation that has ended, and against one
// that is lost for good although it answers again.
func TestMemberPaused(t *testing.T) {
	for _, spares := range []int{0, 1} {
		t.Run(fmt.Sprint("spares ", spares), func(t *testing.T) {
			t.Parallel()
			s := four
			s.domains, s.copies = []int{2 + spares}, 1
			story(t, s, func(f *fleet) {
				f.form()
				g := f.group(0)
				paused := g.Members[1]
				start := time.Now()
				f.fault(`{"pause": true}`, paused)
				took := f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
				t.Logf("pause found after %v", took)
				f.until(time.Second, "no daemon uses the group", func() bool { return !f.used(g) })
				f.throughout(5*time.Second-time.Since(start), "no daemon uses the generation", func() bool { return !f.used(g) })
				f.fault(`{"pause": false}`, paused)
				f.throughout(time.Second, "no daemon uses the generation", func() bool { return !f.used(g) })
				took = f.until(20*time.Second, "the group serves again", func() bool { return f.present() == 1 })
				t.Logf("serves again %v after the pause", took)
				if spares > 0 {
					next := f.group(0)
					i := slices.IndexFunc(next.Members, func(m string) bool { return m != paused })
					f.lose(next, next.Members[i]) // The instance that was paused is the only spare.
				}
			})
		})
	}
}

// Guards against groups of a dark fabric domain that go on, against spares of other domains that are not used, and
// against a domain that comes back and is not used again.
func TestDomainDark(t *testing.T) {
	t.Parallel()
	s := four
	s.domains, s.copies = []int{4, 4}, 3
	story(t, s, func(f *fleet) {
		f.form()
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
		for _, i := range f.all {
			if i.Domain == dark {
				ids = append(ids, i.ID)
			}
		}
		f.fault(`{"dark": true}`, ids...)
		took := f.until(2*time.Second, "the homes find the loss", func() bool { return !f.atHome(lost[0]) && !f.atHome(lost[1]) })
		t.Logf("loss of a domain found after %v", took)
		took = f.until(20*time.Second, "the spares of the other domain serve", func() bool { return f.present() == 2 })
		t.Logf("2 of 3 groups serve %v later", took)
		f.sleep(30 * time.Second)
		f.fault(`{"dark": false}`, ids...)
		took = f.until(30*time.Second, "all groups serve", func() bool { return f.present() == 3 })
		t.Logf("all groups serve %v after the domain came back", took)
	})
}

// Guards against an old holder, paused past its lease, whose transactions or orders take effect on what its successor
// has done. An engine that ignores tokens may take such an order: the group must then stop at once and be healed.
func TestHolderPaused(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, kind := range []string{"orders", "transactions"} {
			t.Run(fmt.Sprintf("%s, fencing %v", kind, fencing), func(t *testing.T) {
				t.Parallel()
				s := four
				s.domains, s.copies, s.fencing = []int{5}, 1, fencing
				story(t, s, func(f *fleet) {
					f.form()
					f.until(20*time.Second, "a daemon holds the lease", func() bool { return f.holder() != nil })
					old := f.holder()
					first := f.group(0)
					if kind == "orders" {
						old.orders.set(true, "POST")
					} else {
						old.table.set(true, "POST")
					}
					f.fault(`{"kill": true}`, first.Members[1])
					if kind == "orders" {
						f.until(5*time.Second, "the holder decides on a new generation", func() bool { return f.group(0).Generation > first.Generation })
					} else {
						f.until(5*time.Second, "the home finds the loss", func() bool { return !f.atHome(first) })
						f.sleep(2 * time.Second) // The holder decides within this time.
					}
					f.cutOff(old, true)
					took := f.until(lease.TTL+lease.TakeoverMargin+lease.CandidatePollInterval+time.Second, "another daemon holds the lease", func() bool {
						h := f.holder()
						return h != nil && h != old
					})
					t.Logf("lease passed %v after the pause began", took)
					f.until(20*time.Second, "the group serves", func() bool { return f.present() == 1 })
					// The next generation is one that the old holder knows nothing of.
					now := f.group(0)
					f.lose(now, now.Members[1])
					now = f.group(0)
					f.cutOff(old, false)
					if fencing || kind == "transactions" {
						f.throughout(5*time.Second, "the successor's group serves", func() bool {
							ok, _ := f.live()[0].Present(now.Group, now.Generation)
							return ok
						})
						return
					}
					took = f.until(time.Second, "the home finds the displaced member", func() bool { return !f.atHome(now) })
					t.Logf("displaced member found after %v", took)
					f.until(20*time.Second, "the group is healed", func() bool { return f.present() == 1 })
				})
			})
		}
	}
}

// Guards against a daemon that was cut off from everything and that, back again, takes what it learnt meanwhile for the
// loss of healthy instances: as a home it would report them, as a lease holder replace them.
func TestDaemonReturns(t *testing.T) {
	for k := range 3 {
		t.Run(fmt.Sprint("daemon ", k), func(t *testing.T) {
			t.Parallel()
			s := four
			s.copies, s.domains, s.period = 3, []int{9}, time.Second
			story(t, s, func(f *fleet) {
				f.form()
				d := f.daemons[k]
				before := d.Groups()
				same := func() bool {
					now := d.Groups()
					return slices.EqualFunc(before, now, func(a, b View) bool { return a.Group == b.Group && a.Generation == b.Generation })
				}
				f.cutOff(d, true)
				f.throughout(10*time.Second, "the other daemons use all groups", func() bool { return f.present() == 3 })
				f.cutOff(d, false)
				// The lease goes back to the first in order within lease.HandOver.
				f.throughout(10*time.Second, "no generation changes", same)
				if h := f.holder(); h != nil && h != d {
					f.cutOff(h, true)
				}
				f.throughout(lease.HandOverInterval+20*time.Second, "no generation changes", same)
			})
		})
	}
}

// Guards against two daemons that form the same copies, or that put an instance into two groups, when each takes itself
// for the first in order and answers are lost.
func TestRace(t *testing.T) {
	for lose := range 4 {
		t.Run(fmt.Sprint(4*lose, " answers lost"), func(t *testing.T) {
			t.Parallel()
			s := four
			s.apart = true
			story(t, s, func(f *fleet) {
				f.platform.SetFaults(standin.PlatformFaults{Lose: 4 * lose})
				f.form()
				f.throughout(10*time.Second, "there are 2 groups", func() bool { return len(f.group(0).Members) == 2 && len(f.live()[0].Groups()) == 2 })
			})
		})
	}
}

// Guards against groups that stop while the table service is down for 10 minutes, against a loss that nobody notices
// meanwhile, and against one that is not healed when the service is back.
func TestTableDown(t *testing.T) {
	t.Parallel()
	s := four
	s.period = 5 * time.Second
	story(t, s, func(f *fleet) {
		f.form()
		f.platform.SetFaults(standin.PlatformFaults{Down: true})
		f.throughout(5*time.Minute, "both groups serve", func() bool { return f.present() == 2 })
		g := f.group(0)
		f.fault(`{"kill": true}`, g.Members[1])
		f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
		f.until(time.Second, "no daemon uses the group", func() bool { return !f.used(g) })
		f.throughout(5*time.Minute, "the other group serves", func() bool { return f.present() == 1 && !f.used(g) })
		f.platform.SetFaults(standin.PlatformFaults{})
		took := f.until(30*time.Second, "the group is healed", func() bool { return f.present() == 2 })
		t.Logf("healed %v after the table service came back", took)
		f.kinds(timeline.Store, timeline.Yield)
	})
}

// Guards against groups that stop, or are not formed and healed, while the table service answers in 900 ms, or while
// answers of writes are lost.
func TestTableFaults(t *testing.T) {
	for name, x := range map[string]standin.PlatformFaults{"slow": {Slow: 900}, "answers lost": {Lose: 12}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			story(t, four, func(f *fleet) {
				f.platform.SetFaults(x)
				took := f.form()
				t.Logf("formed after %v", took)
				f.throughout(20*time.Second, "both groups serve", func() bool { return f.present() == 2 })
				f.platform.SetFaults(x)
				g := f.group(0)
				f.fault(`{"kill": true}`, g.Members[1])
				f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
				took = f.until(40*time.Second, "the group is healed", func() bool { return f.present() == 2 })
				t.Logf("healed everywhere %v later", took)
			})
		})
	}
}

// Guards against a group that takes new requests for more than 3 s after the notice that a member leaves, and against
// requests in flight that are cut off by the change.
func TestLeavingInstance(t *testing.T) {
	t.Parallel()
	story(t, four, func(f *fleet) {
		f.form()
		g := f.group(0)
		f.leave(g.Members[0])
		f.until(3*time.Second, "no daemon uses the group", func() bool { return !f.used(g) })
		took := f.until(40*time.Second, "the group has another member", func() bool {
			return f.present() == 2 && !slices.Contains(f.members(), g.Members[0])
		})
		t.Logf("replaced %v after it was out of use", took)
		for _, e := range f.engines {
			for _, r := range e.Record().Runs {
				if r.Ended != "" && r.Ended != standin.EndDone {
					t.Errorf("%s on %s ended as %s", r.Attempt, r.Instance, r.Ended)
				}
			}
		}
		f.kinds(timeline.Leave)
	})
}

// Guards against a loss that is only found by the platform's list, and against a spare that the list still shows though
// it is dead.
func TestListLags(t *testing.T) {
	t.Parallel()
	s := four
	s.lag = 10 * time.Second
	story(t, s, func(f *fleet) {
		f.form()
		g := f.group(0)
		var spare string
		for _, i := range f.all {
			if !slices.Contains(f.members(), i.ID) {
				spare = i.ID
				break
			}
		}
		f.fault(`{"kill": true}`, spare)
		f.sleep(group.MaxStateAge + time.Second) // Until then the spare's last answer counts.
		f.lose(g, g.Members[1])
		for _, e := range f.events() {
			if e.Kind == timeline.Form && slices.Contains(e.Members, spare) {
				t.Errorf("%s, which is dead, joined %s", spare, e.Group)
			}
		}
		g = f.group(0)
		f.leave(g.Members[0])
		f.until(14*time.Second, "no daemon uses the group of a leaving instance", func() bool { return !f.used(g) })
	})
}

// Guards against a smaller number of copies that is not reached, that takes the remaining ones out of service, or that
// leaves instances claimed or loaded; likewise for a service that is withdrawn.
func TestShrinkThenWithdraw(t *testing.T) {
	t.Parallel()
	s := four
	s.copies = 3
	story(t, s, func(f *fleet) {
		f.form()
		f.note(f.daemons[1], "[changed model-service s]\ncopies = 1\n")
		start := time.Now()
		for len(f.live()[0].Groups()) > 1 {
			if time.Since(start) > 30*time.Second {
				t.Fatalf("after %v: %v", time.Since(start), f.phases())
			}
			if f.present() < 1 {
				t.Fatal("no group serves while copies are released")
			}
			f.sleep(10 * time.Millisecond)
		}
		t.Logf("1 of 3 groups left after %v", time.Since(start))
		f.note(f.daemons[2], "[withdrawn model-service s]\n")
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
		took := f.until(30*time.Second, "no group is left", func() bool { return len(f.live()[0].Groups()) == 0 && loaded() == 0 })
		t.Logf("no group left %v after the withdrawal", took)
		f.kinds(timeline.Free)
	})
}

// Guards against a change of version that takes more than one group out of service at a time, or that leaves one behind.
func TestVersionRolled(t *testing.T) {
	t.Parallel()
	s := four
	s.copies = 3
	story(t, s, func(f *fleet) {
		f.form()
		f.note(f.daemons[1], "[changed model-service s]\nversion = 2\n")
		current := func() bool {
			for _, e := range f.events() {
				if e.Kind == timeline.Form && e.Generation == 6 {
					return f.present() == 3
				}
			}
			return false
		}
		start := time.Now()
		for !current() {
			if time.Since(start) > 2*time.Minute {
				t.Fatalf("after %v: %v", time.Since(start), f.phases())
			}
			if n := f.present(); n < 2 {
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

// Measures how long a group is down after the loss of a member, from the loss until the daemons use the next generation:
// the first one and all of them. The loss falls into different parts of the probes' period.
func TestDowntime(t *testing.T) {
	for _, load := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("load %v, silent %v", load, silent), func(t *testing.T) {
				t.Parallel()
				s := four
				s.domains, s.copies, s.load, s.period = []int{6}, 1, load, time.Second
				story(t, s, func(f *fleet) {
					f.form()
					var found, first, all time.Duration
					losses := 4
					if load >= 20*time.Second {
						losses = 2 // The parts of the period matter less, and each takes long to run.
					}
					for n := range losses {
						f.sleep(3*time.Second + time.Duration(n)*500*time.Millisecond/time.Duration(losses))
						g := f.group(0)
						start := time.Now()
						if silent {
							f.fault(`{"dark": true}`, g.Members[n%2])
						} else {
							f.fault(`{"kill": true}`, g.Members[n%2])
						}
						f.until(2*time.Second, "the home finds the loss", func() bool { return !f.atHome(g) })
						found = max(found, time.Since(start))
						f.until(load+20*time.Second, "a daemon uses the next generation", func() bool {
							return slices.ContainsFunc(f.daemons, func(d *daemon) bool {
								return slices.ContainsFunc(d.Groups(), func(v View) bool { return v.Present && v.Generation > g.Generation })
							})
						})
						first = max(first, time.Since(start))
						f.until(5*time.Second, "all daemons use it", func() bool { return f.present() == 1 && !f.used(g) })
						all = max(all, time.Since(start))
					}
					target := time.Duration(1.2 * float64(load+time.Second))
					t.Logf("load %v, silent %v: found after %v at most, first use after %v (%.2f of load + 1 s), use by all after %v (%.2f)", load, silent, found,
						first, float64(first)/float64(load+time.Second), all, float64(all)/float64(load+time.Second))
					// 1.2 times load + 1 s leaves no room for 2 s of silence at a load time below 9 s.
					if first > target && (!silent || load > 9*time.Second) {
						t.Errorf("down for %v, target %v", first, target)
					}
				})
			})
		}
	}
}
