package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// fleet plays daemons that exchange digests over a network that loses, delays, doubles and reorders them. All know each other
// by their rows, as they were when the daemon read them.
type fleet struct {
	r       *rand.Rand
	now     time.Time
	daemons []*daemon
	byName  map[string]*daemon
	flying  []datagram
	// loss is the part of the datagrams that is lost, cut tells which ones are not delivered at all.
	loss float64
	cut  func(from, to *daemon) bool
	// sent and received count datagrams.
	sent, received map[string]int
}

type daemon struct {
	self
	m             *Members
	boot          int64
	seq           uint64
	alive         bool
	near, far     time.Time
	rows          time.Time
	started, died time.Time
}

// self is what a daemon is known by.
type self struct {
	name, dc string
	cores    float64
}

type datagram struct {
	at time.Time
	to string
	d  Digest
}

const tick = 10 * time.Millisecond

// rowsEvery is how often the rows of others are read.
const rowsEvery = 15 * time.Second

func newTestFleet(seed uint64, size, dataCentres, large int) *fleet {
	f := &fleet{
		r: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), byName: map[string]*daemon{}, loss: 0.03,
		cut: func(_, _ *daemon) bool { return false }, sent: map[string]int{}, received: map[string]int{},
	}
	for i := range size {
		cores := 0.2
		if i/dataCentres < large {
			cores = 0.8
		}
		f.add(self{fmt.Sprintf("d%04d", i), fmt.Sprintf("dc%d", i%dataCentres), cores})
	}
	return f
}

func (f *fleet) add(s self) *daemon {
	d := &daemon{self: s, boot: 1, alive: true, started: f.now.Add(time.Duration(f.r.IntN(300)) * time.Millisecond)}
	d.m = NewMembers(s.name, s.dc, s.cores)
	f.daemons = append(f.daemons, d)
	f.byName[s.name] = d
	return d
}

func (f *fleet) digest(d *daemon, every time.Duration) Digest {
	d.seq++
	return Digest{
		Name: d.name, Boot: d.boot, Seq: d.seq, DataCentre: d.dc, Cores: d.cores, Ready: true, Hub: d.m.Hub(f.now), Near: d.m.Near(f.now), Every: every,
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 1),
	}
}

func (f *fleet) send(from *daemon, to []*Member, every time.Duration) {
	if len(to) == 0 {
		return
	}
	digest := f.digest(from, every)
	for _, m := range to {
		f.sent[from.name]++
		for copies := 1 + f.r.IntN(50)/49; copies > 0; copies-- {
			if o := f.byName[m.Name]; f.r.Float64() < f.loss || f.cut(from, o) {
				continue
			}
			f.flying = append(f.flying, datagram{f.now.Add(time.Duration(1+f.r.IntN(15)) * time.Millisecond), m.Name, digest})
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.flying = slices.DeleteFunc(f.flying, func(g datagram) bool {
			if g.at.After(f.now) {
				return false
			}
			if o := f.byName[g.to]; o.alive && !o.started.After(f.now) {
				f.received[o.name]++
				o.m.Hear(f.now, g.d)
			}
			return true
		})
		for _, d := range f.daemons {
			if !d.alive || d.started.After(f.now) {
				continue
			}
			if f.now.Sub(d.rows) >= rowsEvery {
				first := d.rows.IsZero()
				d.rows = f.now.Add(time.Duration(f.r.IntN(500)) * time.Millisecond)
				for _, o := range f.daemons {
					if !o.started.After(f.now) {
						row := f.digest(o, 0)
						row.Seq = 0
						d.m.Introduce(f.now, row)
					}
				}
				if first {
					f.send(d, d.m.All(f.now), 0)
				}
			}
			if f.now.Before(d.near) {
				continue
			}
			near, far := d.m.Targets(f.now)
			nearPeriod, farPeriod := d.m.Periods(f.now)
			d.near = f.now.Add(nearPeriod)
			f.send(d, near, nearPeriod)
			if f.now.Sub(d.far) >= farPeriod {
				d.far = f.now
				f.send(d, far, farPeriod)
			}
		}
	}
}

// check fails unless every living daemon takes exactly the living of its data centre to live, some hub of every data centre
// that has living daemons, none that are dead, and about the right size of the fleet.
func (f *fleet) check(t *testing.T, when string) {
	t.Helper()
	living, size := map[string]int{}, 0
	for _, d := range f.daemons {
		if d.alive {
			living[d.dc]++
			size++
		}
	}
	for _, d := range f.daemons {
		if !d.alive {
			continue
		}
		near, heard := 1, map[string]bool{d.dc: true}
		for _, o := range d.m.Live(f.now) {
			other := f.byName[o.Name]
			if !other.alive {
				t.Fatalf("%s: %s takes %s to live, which ended %v ago", when, d.name, o.Name, f.now.Sub(other.died))
			}
			if other.dc == d.dc {
				near++
			}
			heard[other.dc] = true
		}
		if near != living[d.dc] || len(heard) != len(living) {
			t.Fatalf("%s: %s of %s knows %d of %d near and %d of %d data centres", when, d.name, d.dc, near, living[d.dc], len(heard), len(living))
		}
		if n := d.m.Fleet(f.now); n < size*9/10 || n > size*11/10 {
			t.Fatalf("%s: %s counts %d of %d daemons", when, d.name, n, size)
		}
	}
}

func (f *fleet) kill(d *daemon) { d.alive, d.died = false, f.now }

// nearKnown is within which time a death is known in the data centre, and farKnown at the others, in the sizes up to 300.
const (
	nearKnown = 1500 * time.Millisecond
	farKnown  = 4 * time.Second
)

// TestFleet guards against daemons that are taken for dead or alive wrongly as the fleet grows, and against digests that grow
// with the fleet: daemons start together, some end, among them all the hubs of a data centre, one data centre is dark for a
// while, and others arrive.
func TestFleet(t *testing.T) {
	for _, size := range []int{7, 30, 100, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newTestFleet(uint64(size), size, 5, 3)
			f.run(4 * time.Second)
			f.check(t, "start")
			clear(f.sent)
			clear(f.received)
			f.run(5 * time.Second)
			for _, d := range f.daemons {
				if n := f.received[d.name] / 5; n > 250 {
					t.Errorf("%s receives %d digests a second", d.name, n)
				}
				if n := f.sent[d.name] / 5; n > 650 {
					t.Errorf("%s sends %d digests a second", d.name, n)
				}
			}
			for _, d := range f.daemons {
				if d.dc == "dc1" && d.m.Hub(f.now) && size > Mesh || f.r.IntN(10) == 0 {
					f.kill(d)
				}
			}
			f.run(nearKnown)
			for _, d := range f.daemons {
				for _, o := range d.m.Live(f.now) {
					if other := f.byName[o.Name]; d.alive && !other.alive && other.dc == d.dc {
						t.Fatalf("%s takes %s to live %v after it ended", d.name, o.Name, nearKnown)
					}
				}
			}
			f.run(farKnown - nearKnown)
			f.check(t, "some have ended")
			dark := func(d *daemon) bool { return d.dc == "dc2" }
			f.cut = func(from, to *daemon) bool { return dark(from) != dark(to) }
			f.run(farKnown)
			f.cut = func(_, _ *daemon) bool { return false }
			f.run(farKnown)
			f.check(t, "a data centre is back")
			for i := range 1 + size/20 {
				f.add(self{fmt.Sprintf("e%04d", i), fmt.Sprintf("dc%d", i%5), 0.2})
			}
			f.run(2 * farKnown)
			f.check(t, "some have arrived")
		})
	}
}

// TestOneWay guards against a daemon that is not heard being taken for live because it hears others, and against a wrong word
// of it spreading.
func TestOneWay(t *testing.T) {
	f := newTestFleet(1, 60, 3, 2)
	f.run(4 * time.Second)
	mute := f.daemons[0]
	f.cut = func(from, _ *daemon) bool { return from == mute }
	f.run(farKnown)
	for _, d := range f.daemons {
		for _, o := range d.m.Live(f.now) {
			if o.Name == mute.name {
				t.Fatalf("%s takes a daemon to live that nobody hears", d.name)
			}
		}
	}
	if n := len(mute.m.Live(f.now)); n < 60/3-1 {
		t.Errorf("the daemon that is not heard hears only %d", n)
	}
	f.cut = func(_, _ *daemon) bool { return false }
	f.run(farKnown)
	f.check(t, "it is heard again")
}

// BenchmarkTell is what a daemon does for one round of digests: whom to tell, and what it tells of the others.
func BenchmarkTell(b *testing.B) {
	for _, size := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newTestFleet(1, size, 5, 3)
			f.loss = 0
			f.run(1500 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				f.daemons[0].m.Targets(f.now)
				f.daemons[0].m.Periods(f.now)
				f.daemons[0].m.Near(f.now)
			}
		})
	}
}
