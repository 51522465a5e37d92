package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
)

const (
	daemons   = 7
	groupSize = 56
	oneWay    = time.Millisecond
	service   = 400 * time.Millisecond
	patience  = 500 * time.Millisecond
)

// fleet runs daemons that use one group, in steps of a millisecond. Daemon i serves organisation i alone. An engine
// runs at most groupSize requests; more wait in the engine.
type fleet struct {
	now      time.Time
	rnd      *rand.Rand
	rank     note.Rank
	sharing  scheme
	load     [daemons]float64 // Requests that arrive, in parts of an even share.
	patient  bool
	waiting  [daemons][]time.Time
	running  [daemons]int
	engine   []job
	dead     [daemons]bool
	arrived  [daemons]int
	served   [daemons]int
	overMost int
	overSum  int
	// demand replaces what daemons report, if set.
	demand func(i int) []Line
}

type job struct {
	daemon  int
	arrival time.Time
	end     time.Time // Zero while it waits in the engine.
}

// scheme is a way to divide slots; caps is how many requests daemon i may run.
type scheme interface {
	step(f *fleet)
	caps(f *fleet, i int) int
}

func (f *fleet) lines(i int) []Line {
	if f.demand != nil {
		return f.demand(i)
	}
	if len(f.waiting[i])+f.running[i] == 0 {
		return nil
	}
	return []Line{{Rank: f.rank, Org: i, Waiting: len(f.waiting[i]), Running: f.running[i]}}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		kept := f.engine[:0]
		for _, j := range f.engine {
			if !j.end.IsZero() && !f.now.Before(j.end) || f.dead[j.daemon] {
				f.running[j.daemon]--
				continue
			}
			kept = append(kept, j)
		}
		f.engine = kept
		f.sharing.step(f)
		for i := range daemons {
			if f.dead[i] {
				f.waiting[i], f.running[i] = nil, 0
				continue
			}
			mean := f.load[i] * groupSize / daemons * float64(time.Millisecond) / float64(service)
			for n := poisson(f.rnd, mean); n > 0; n-- {
				f.waiting[i] = append(f.waiting[i], f.now)
				f.arrived[i]++
			}
			for !f.patient && len(f.waiting[i]) > 0 && f.now.Sub(f.waiting[i][0]) > patience {
				f.waiting[i] = f.waiting[i][1:]
			}
			for caps := f.sharing.caps(f, i); len(f.waiting[i]) > 0 && f.running[i] < caps; f.running[i]++ {
				f.engine = append(f.engine, job{daemon: i, arrival: f.waiting[i][0]})
				f.waiting[i] = f.waiting[i][1:]
			}
		}
		for n := range f.engine[:min(len(f.engine), groupSize)] {
			if j := &f.engine[n]; j.end.IsZero() {
				j.end = f.now.Add(time.Duration((0.5 + f.rnd.Float64()) * float64(service)))
				if f.now.Sub(j.arrival) <= patience {
					f.served[j.daemon]++
				}
			}
		}
		over := max(0, len(f.engine)-groupSize)
		f.overMost, f.overSum = max(f.overMost, over), f.overSum+over
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); n++ {
		p *= r.Float64()
	}
	return n
}

// lending is (a): a home lends slots by reported demand.
type lending struct {
	names     []string
	borrowers [daemons]Borrower
	homes     [daemons]Home
	flight    []flight
	messages  int
}

type flight struct {
	at     time.Time
	to     int
	from   int
	demand *Demand
	reply  *Action
}

func newLending(f *fleet, slots int, p Policy) *lending {
	l := &lending{}
	for i := range daemons {
		l.names = append(l.names, fmt.Sprintf("daemon-%d", i))
	}
	for i := range daemons {
		b := &l.borrowers[i]
		b.Self, b.Group = l.names[i], "group"
		b.Serve(1, slots)
		b.Homes(member.Order("group", l.names))
		l.homes[i].Step(f.now, Group{Name: "group", Generation: 1, Slots: slots, Present: true})
		l.homes[i].Step(f.now, p)
	}
	return l
}

func (l *lending) index(name string) int {
	for i, n := range l.names {
		if n == name {
			return i
		}
	}
	return -1
}

func (l *lending) step(f *fleet) {
	var now []flight
	var later []flight
	for _, m := range l.flight {
		if m.at.After(f.now) {
			later = append(later, m)
		} else {
			now = append(now, m)
		}
	}
	l.flight = later
	send := func(m flight) {
		m.at = f.now.Add(oneWay)
		l.flight = append(l.flight, m)
		l.messages++
	}
	reply := func(from int, as []Action) {
		for _, a := range as {
			send(flight{from: from, to: l.index(a.To), reply: &a})
		}
	}
	for _, m := range now {
		switch {
		case f.dead[m.to]:
		case m.demand != nil:
			reply(m.to, l.homes[m.to].Step(f.now, *m.demand))
		case m.reply.Grant != nil:
			l.borrowers[m.to].Accept(f.now, l.names[m.from], *m.reply.Grant)
		}
	}
	ms := f.now.Sub(start).Milliseconds()
	for i := range daemons {
		if f.dead[i] {
			continue
		}
		b := &l.borrowers[i]
		if ms%500 == 0 {
			b.Proved(f.now, 1)
		}
		if ms%250 == 0 {
			reply(i, l.homes[i].Step(f.now, Tick{}))
		}
		b.Want(f.now, 0, f.lines(i))
		if r, ok := b.Step(f.now); ok {
			send(flight{from: i, to: l.index(r.To), demand: &r.Demand})
		}
	}
}

func (l *lending) caps(f *fleet, i int) int {
	caps, _ := l.borrowers[i].Caps(f.now)
	return caps[f.rank]
}

// gossip is (b): each daemon has an even part, and takes from or leaves to others by the usage heard from them, which
// is 125 to 375 ms old when the next one replaces it.
type gossip struct {
	heard [daemons][daemons]struct {
		want int
		at   time.Time
	}
	next [daemons][daemons]time.Time
}

func (g *gossip) step(f *fleet) {
	for to := range daemons {
		for from := range daemons {
			if f.now.Before(g.next[to][from]) || f.dead[from] {
				continue
			}
			g.next[to][from] = f.now.Add(Period/2 + time.Duration(f.rnd.Int64N(int64(Period))))
			// The value applies on arrival; its age is modelled by the random interval.
			h := &g.heard[to][from]
			h.want, h.at = len(f.waiting[from])+f.running[from], f.now.Add(oneWay)
		}
	}
}

func (g *gossip) caps(f *fleet, i int) int {
	bs := []*borrower{}
	at := 0
	for j := range daemons {
		want, known := len(f.waiting[i])+f.running[i], true
		if j != i {
			want, known = g.heard[i][j].want, f.now.Sub(g.heard[i][j].at) < Term
		}
		if !known {
			continue
		}
		if j == i {
			at = len(bs)
		}
		bs = append(bs, &borrower{demand: Demand{Lines: []Line{{Org: j, Waiting: want}}}})
	}
	return divide(groupSize, Policy{}, &rotation{}, bs).caps[at][0]
}

func newFleet(kind string, rank note.Rank, seed uint64) *fleet {
	f := &fleet{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), rank: rank}
	if f.sharing = scheme(&gossip{}); kind == "lending" {
		f.sharing = newLending(f, groupSize, Policy{})
	}
	f.run(3 * time.Second)
	return f
}

// Guards the choice of lending and its targets: small callers beside a flood, return of idle slots, loss of the home.
func TestCompareSharing(t *testing.T) {
	for _, c := range []struct {
		kind string
		rank note.Rank
	}{{"lending", note.RankLive}, {"lending", note.RankOvernight}, {"gossip", note.RankLive}} {
		name := fmt.Sprintf("%s %s", c.kind, c.rank)
		f := newFleet(c.kind, c.rank, 1)
		// The small organisations ask for 0.8 of their share, so that their own bursts alone seldom fill it.
		f.load = [daemons]float64{20, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8}
		f.run(5 * time.Second)
		f.arrived, f.served, f.overMost, f.overSum = [daemons]int{}, [daemons]int{}, 0, 0
		f.run(30 * time.Second)
		arrived, served, least := 0, 0, 1.0
		for i := 1; i < daemons; i++ {
			arrived, served = arrived+f.arrived[i], served+f.served[i]
			least = min(least, float64(f.served[i])/float64(f.arrived[i]))
		}
		small := float64(served) / float64(arrived)
		capacity := float64(30*time.Second) / float64(service) * groupSize
		if l, ok := f.sharing.(*lending); ok {
			t.Logf("%s: %.1f messages a second and daemon", name, float64(l.messages)/float64(f.now.Sub(start))*1e9/daemons)
		}
		t.Logf("%s: small served %.4f (least %.4f), capacity used %.3f, most over %d, mean over %.2f", name, small, least,
			float64(served+f.served[0])/capacity, f.overMost, float64(f.overSum)/30000)
		if c.kind == "lending" && small < 0.99 {
			t.Errorf("%s: small callers served %.4f", name, small)
		}

		// Organisation 0 uses every slot, then the others return with all they can use.
		worst := time.Duration(0)
		for seed := range uint64(5) {
			f = newFleet(c.kind, c.rank, seed+2)
			f.patient, f.load = true, [daemons]float64{20}
			f.run(5*time.Second + time.Duration(f.rnd.IntN(1500))*time.Millisecond)
			back := f.now
			f.load[1] = 3
			for f.running[1] < groupSize/2*95/100 && f.now.Sub(back) < 10*time.Second {
				f.run(time.Millisecond)
			}
			worst = max(worst, f.now.Sub(back))
		}
		t.Logf("%s: idle share back after at most %v", name, worst)
		if c.kind == "lending" && worst > 2*time.Second {
			t.Errorf("%s: idle share back after %v", name, worst)
		}

		// The home is lost while all daemons want more than the group has.
		f = newFleet(c.kind, c.rank, 99)
		f.patient = true
		for i := range f.load {
			f.load[i] = 1.5
		}
		f.run(5 * time.Second)
		lost := 0
		if l, ok := f.sharing.(*lending); ok {
			lost = l.index(l.borrowers[0].Home())
		}
		f.dead[lost] = true
		idle, until, least2 := 0.0, time.Duration(0), groupSize
		for at := f.now; f.now.Sub(at) < 10*time.Second; {
			f.run(time.Millisecond)
			n := 0
			for i := range daemons {
				n += f.running[i]
			}
			idle += float64(max(0, groupSize-n)) / 1000
			least2 = min(least2, n)
			if n < groupSize*95/100 {
				until = f.now.Sub(at)
			}
		}
		t.Logf("%s: daemon %d lost: least %d of %d slots in use, all back after %v, %.1f slot seconds idle in 10 s", name,
			lost, least2, groupSize, until, idle)
	}
}

// Guards the floors in motion, where slots move between borrowers and ranks: bookings and overnight work keep at least
// 95% of their floors while live work floods at 5 times the capacity through every daemon.
func TestFloorsUnderFlood(t *testing.T) {
	for _, slots := range []int{8, groupSize} {
		f := &fleet{now: start, rnd: rand.New(rand.NewPCG(3, 1))}
		p := Policy{Floors: [note.Ranks]float64{0, 0.2, 0.1}}
		l := newLending(f, slots, p)
		var running, sum [note.Ranks]int
		var ends [daemons][note.Ranks][]time.Time
		f.demand = func(i int) (ls []Line) {
			for r, es := range ends[i] {
				ls = append(ls, Line{Rank: note.Rank(r), Org: i % 3, Waiting: 5 * slots / daemons, Running: len(es)})
			}
			return ls
		}
		const from, to = 5000, 35000
		most := 0
		for ms := range to {
			for i := range daemons {
				for r := range note.Ranks {
					es := slices.DeleteFunc(ends[i][r], func(e time.Time) bool { return !e.After(f.now) })
					running[r] += len(es) - len(ends[i][r])
					ends[i][r] = es
				}
			}
			l.step(f)
			for i := range daemons {
				caps, _ := l.borrowers[i].Caps(f.now)
				for r := range note.Ranks {
					for ; len(ends[i][r]) < caps[r]; running[r]++ {
						ends[i][r] = append(ends[i][r], f.now.Add(time.Duration((0.5+f.rnd.Float64())*float64(service))))
					}
					if ms >= from {
						sum[r] += running[r]
					}
				}
			}
			if ms >= from {
				most = max(most, running[0]+running[1]+running[2])
			}
			f.now = f.now.Add(time.Millisecond)
		}
		for r, n := range sum {
			mean, floor := float64(n)/(to-from)/daemons, p.Floors[r]*float64(slots)
			t.Logf("%d slots: %v runs %.2f on average, floor %.1f", slots, note.Rank(r), mean, floor)
			if mean < 0.95*floor {
				t.Errorf("%d slots: %v is below its floor", slots, note.Rank(r))
			}
		}
		t.Logf("%d slots: at most %d at once", slots, most)
	}
}

// Guards the size of messages: it reports bytes per second and fails when they grow beyond what the page states.
func TestBytes(t *testing.T) {
	enc := func(v any) int {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b) + 60
	}
	const subset, entry = 6.0, 14.0 // A gossip entry: daemon, group, three ranks.
	for _, c := range []struct {
		name                 string
		daemons, groups, org int
	}{{"7 daemons, 12 groups", 7, 12, 10}, {"370 daemons, 75 groups", 370, 75, 10}} {
		for _, lines := range []int{1, 5, 3 * c.org} {
			d := Demand{
				Daemon: "entry-stirling-3", Group: "model-desk/17", Generation: 300, Revision: 20000,
				Seq: uint64(start.UnixNano()), Turn: uint64(start.UnixNano()), Borrowers: 30,
			}
			for i := range lines {
				d.Lines = append(d.Lines, Line{Rank: note.Rank(i / c.org), Org: i % c.org, Waiting: 40, Running: 3})
			}
			g := Grant{
				Group: d.Group, Generation: 300, Caps: [3]int{4, 3, 2}, For: Term, Seq: d.Seq, Turn: d.Turn,
				Borrowers: 30,
			}
			rate := func(every time.Duration) float64 {
				return subset / every.Seconds() * float64(enc(d)+enc(g)) / 1000
			}
			users := subset * float64(c.daemons) / float64(c.groups)
			fan := min(3, float64(c.daemons-1))
			t.Logf("%s, %d lines: demand %d, grant %d bytes; sent KB/s unmet %.2f, running %.2f; gossip to %.0f each 250 ms %.2f",
				c.name, lines, enc(d), enc(g), rate(Period), rate(Renew), fan, 4*fan*(60+subset*users*entry)/1000)
			if enc(d) > 150+10*lines || enc(g) > 150 {
				t.Errorf("demand %d bytes, grant %d", enc(d), enc(g))
			}
		}
	}
}
