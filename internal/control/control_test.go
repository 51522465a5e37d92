package control

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
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
			{"two failed probes", func(c *Control, _ *tracked) { c.members.Probe("b", false); c.members.Probe("b", false) }, true},
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

var listed = time.Now()

func list(state platform.InstanceState, ids ...string) platform.Roster {
	listed = listed.Add(time.Second)
	r := platform.Roster{At: listed}
	for _, id := range ids {
		r.Instances = append(r.Instances, platform.Instance{ID: id, Kind: platform.KindEngine, State: state})
	}
	return r
}

// fleet is three control parts over stand-ins on loopback.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	servers  map[string]*httptest.Server
	all      []platform.Instance
	cs       []*Control
	stop     []context.CancelFunc
	logs     []*timeline.Log
	wait     errgroup.Group

	mu  sync.Mutex
	cfg note.Config
}

func addr(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func newFleet(t *testing.T, engines int, fencing bool) *fleet {
	f := &fleet{t: t, platform: standin.NewPlatform(0), servers: map[string]*httptest.Server{}}
	f.cfg = note.Config{Revision: 1, Models: map[string]note.ModelService{"s": {Model: "m", Version: "1", Copies: 2, Instances: 2, Slots: 4}}}
	table := httptest.NewServer(f.platform)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		s := httptest.NewServer(standin.NewEngine(standin.EngineSpec{ID: id, Slots: 4, Load: 300 * time.Millisecond, Fencing: fencing}))
		f.servers[id] = s
		f.all = append(f.all, platform.Instance{ID: id, Addr: addr(s), Kind: platform.KindEngine, DataCentre: "c", Domain: "d", Accelerators: 8, State: platform.Live})
	}
	f.platform.Add(f.all...)
	daemons := names{"x", "y", "z"}
	for _, name := range daemons {
		p, closePlatform := platform.Dial(addr(table))
		e, closeEngine := engine.NewClient()
		log := timeline.NewLog(name, 1024)
		c := New(Options{Name: name, Boot: "1", Platform: p, Engine: e, Daemons: daemons, Config: f.config, Log: hclog.NewNullLogger(), Timeline: log})
		ctx, cancel := context.WithCancel(context.Background())
		f.cs, f.stop, f.logs = append(f.cs, c), append(f.stop, cancel), append(f.logs, log)
		f.wait.Go(func() error {
			defer closePlatform()
			defer closeEngine()
			return c.Run(ctx)
		})
		f.wait.Go(func() error {
			for timer.Wait(ctx, 100*time.Millisecond) == nil {
				if r, err := p.Roster(ctx); err == nil {
					c.List(r)
				}
			}
			return nil
		})
	}
	t.Cleanup(func() {
		for _, stop := range f.stop {
			stop()
		}
		if err := f.wait.Wait(); err != nil {
			t.Error(err)
		}
		table.Close()
		for _, s := range f.servers {
			s.Close()
		}
	})
	return f
}

func (f *fleet) config() (note.Config, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg, true
}

// until waits for a condition and returns how long that took. It fails the test after limit.
func (f *fleet) until(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	tick, stop := timer.Every(10*time.Millisecond, 0)
	defer stop()
	for !ok() {
		if time.Since(start) > limit {
			for _, c := range f.cs {
				f.t.Logf("%s: %+v", c.o.Name, c.Groups())
			}
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		<-tick
	}
	return time.Since(start)
}

// present is how many groups are present in every control part from number from on.
func (f *fleet) present(from int) int {
	least := 1 << 30
	for _, c := range f.cs[from:] {
		n := 0
		for _, v := range c.Groups() {
			if v.Present {
				n++
			}
		}
		least = min(least, n)
	}
	return least
}

// Guards, with processes' real clients and timers, against groups that are not formed while answers are lost, a loss
// that is not found within 2 s or not healed, a group that stops while the table service is down, and a lease that is
// not taken over.
func TestFleet(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 6, fencing)
			f.platform.SetFaults(standin.PlatformFaults{Lose: 4})
			took := f.until(20*time.Second, "2 groups present everywhere", func() bool { return f.present(0) == 2 })
			t.Logf("formed after %v, with 4 answers lost", took)

			g := f.cs[0].Groups()[0]
			lost := f.member(g.Group, 1)
			f.servers[lost].CloseClientConnections()
			f.servers[lost].Close()
			took = f.until(5*time.Second, "the home finds the loss", func() bool {
				return slices.ContainsFunc(f.cs, func(c *Control) bool {
					return slices.ContainsFunc(c.Groups(), func(v View) bool { return v.Group == g.Group && v.Home && !v.Present })
				})
			})
			if t.Logf("loss found after %v", took); took > 2*time.Second+500*time.Millisecond {
				t.Errorf("loss found after %v", took)
			}
			took = f.until(10*time.Second, "healed under a higher generation", func() bool {
				ok, _ := f.cs[1].Present(g.Group, g.Generation)
				return !ok && f.present(0) == 2 && !slices.Contains(f.members(), lost)
			})
			t.Logf("healed everywhere %v later", took)

			f.platform.SetFaults(standin.PlatformFaults{Down: true})
			start := time.Now()
			f.until(10*time.Second, "the table service is down for longer than a lease", func() bool {
				if f.present(0) != 2 {
					t.Fatal("a group stopped while the table service was down")
				}
				return time.Since(start) > 7*time.Second
			})
			f.platform.SetFaults(standin.PlatformFaults{})

			leaving := f.members()[0]
			i := slices.IndexFunc(f.all, func(i platform.Instance) bool { return i.ID == leaving })
			f.all[i].State = platform.Leaving
			f.platform.Add(f.all[i])
			f.until(3*time.Second, "no daemon uses the group of a leaving instance", func() bool {
				return f.present(0) < 2
			})
			f.until(40*time.Second, "the leaving instance is replaced", func() bool {
				return f.present(0) == 2 && !slices.Contains(f.members(), leaving)
			})

			holder := slices.IndexFunc(f.cs, func(c *Control) bool {
				c.mu.Lock()
				s := c.services["s"]
				c.mu.Unlock()
				_, ok := s.holding()
				return ok
			})
			f.stop[holder]()
			f.mu.Lock()
			f.cfg.Models = map[string]note.ModelService{"s": {Model: "m", Version: "1", Copies: 1, Instances: 2, Slots: 4}}
			f.mu.Unlock()
			rest := (holder + 1) % 3
			took = f.until(20*time.Second, "the next holder releases the surplus group", func() bool { return len(f.cs[rest].Groups()) == 1 })
			t.Logf("surplus group released %v after the holder stopped", took)
			f.audit()
		})
	}
}

// members returns the instances of all groups.
func (f *fleet) members() (out []string) {
	for _, c := range f.cs {
		c.mu.Lock()
		for _, t := range c.rows {
			out = append(out, t.row.Names()...)
		}
		c.mu.Unlock()
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (f *fleet) member(id string, index int) string {
	c := f.cs[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[id].row.Members[index].ID
}

// audit checks the events: no instance in two groups at once, no generation formed twice, tokens that grow.
func (f *fleet) audit() {
	var logs [][]timeline.Event
	for _, l := range f.logs {
		events, _, _ := l.Since(0)
		logs = append(logs, events)
	}
	at := map[string]string{}
	formed := map[uint64]bool{}
	token := uint64(0)
	kinds := map[timeline.Kind]int{}
	for _, e := range timeline.Merge(logs...) {
		kinds[e.Kind]++
		switch e.Kind {
		case timeline.Form:
			if formed[e.Generation] {
				f.t.Errorf("generation %d was formed twice", e.Generation)
			}
			formed[e.Generation] = true
			for _, m := range e.Members {
				if at[m] != "" {
					f.t.Errorf("%s joins %s while in %s", m, e.Group, at[m])
				}
				at[m] = e.Group
			}
		case timeline.Free:
			for _, m := range e.Members {
				delete(at, m)
			}
		case timeline.Lease:
			if e.Token <= token {
				f.t.Errorf("token %d after %d", e.Token, token)
			}
			token = e.Token
		}
	}
	for _, k := range []timeline.Kind{timeline.Form, timeline.Free, timeline.Serve, timeline.Stop, timeline.Lose, timeline.Leave, timeline.Lease, timeline.Yield} {
		if kinds[k] == 0 {
			f.t.Errorf("no event of kind %s", k)
		}
	}
}

var _ Daemons = names{}

// Guards against probes that follow each other so fast, or so slowly, that three failures do not span the time in
// which a loss is to be found.
func TestBounds(t *testing.T) {
	if proofMax != 2*time.Second || member.Losses*member.ProbePeriod*4/5 < time.Second {
		t.Errorf("proof counts for %v", proofMax)
	}
}
