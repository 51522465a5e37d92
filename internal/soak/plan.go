package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is one kind of fault.
type Fault uint8

// Faults. Those of a daemon and of a backend server name one by its place.
const (
	KillDaemon Fault = iota
	StopDaemon
	PauseDaemon
	ReloadDaemon
	KillServer
	DrainServer
	PauseServer
	PauseStore
	HarmStore
	HarmServer
	Configure
	// KillAll kills every daemon at once.
	KillAll
	// SilenceServer stops a sound backend server for so short a time that its entry stays.
	SilenceServer
	// RestoreStore brings the store back from a copy that is as old as the fault is long.
	RestoreStore
	// CutDaemon takes the way to all backend servers from a daemon.
	CutDaemon
	faults
)

func (f Fault) String() string {
	return [...]string{
		"kill daemon", "stop daemon", "pause daemon", "reload daemon", "kill server", "drain server", "pause server", "pause store",
		"harm store", "harm server", "configure", "kill all daemons", "silence server",
		"restore store", "cut daemon",
	}[f]
}

// Step is one fault of a plan.
type Step struct {
	// At is from the start of the faults.
	At    time.Duration
	Fault Fault
	// Target is the place of the daemon or backend server.
	Target int
	// For is how long the fault lasts, or how long a process stays down.
	For  time.Duration
	Harm Harm
}

func (s Step) String() string {
	out := fmt.Sprintf("%6.2fs %s %d for %v", s.At.Seconds(), s.Fault, s.Target, s.For.Round(10*time.Millisecond))
	if s.Harm != Clear {
		out += ", " + s.Harm.String()
	}
	return out
}

// weights is how often each fault is drawn against the others.
var weights = [faults]int{
	KillDaemon: 4, StopDaemon: 3, PauseDaemon: 4, ReloadDaemon: 1, KillServer: 5, DrainServer: 3, PauseServer: 2, PauseStore: 2, HarmStore: 5,
	HarmServer: 5, Configure: 4, KillAll: 1, SilenceServer: 4, RestoreStore: 4, CutDaemon: 8,
}

// firstOfAll is the first seed that draws faults of all kinds, slow requests and odd entries. Those below it give what they gave
// before those kinds existed.
const firstOfAll = 1000

// firstOfCuts is the first seed that also cuts daemons off from all backend servers.
const firstOfCuts = 2000

const (
	// meanGap is the mean time between two faults; they overlap, since most last longer.
	meanGap = 500 * time.Millisecond
	// seriesShare is how often a fault is followed by more of its kind at once, up to maxSeries in all. A silence always is: a
	// request that leaves one silent server may meet another.
	seriesShare = 0.2
	maxSeries   = 4
	seriesGap   = 80 * time.Millisecond
)

// silence is how long a sound backend server may be silent.
const silence = 1200 * time.Millisecond

// longest is how long each fault lasts at most. A backend server that stands still for longer than that may be taken for
// gone, which the platform does not do to one that lives: its entry lapses three beats after it was written, up to a beat before
// it stopped. A paused store is one that is down.
var longest = [faults]time.Duration{
	KillDaemon: 2 * time.Second, StopDaemon: time.Second, PauseDaemon: 4 * time.Second, KillServer: 3 * time.Second, DrainServer: time.Second,
	PauseServer: 500 * time.Millisecond, PauseStore: 4 * time.Second, HarmStore: 5 * time.Second, HarmServer: 4 * time.Second,
	KillAll: time.Second, SilenceServer: silence, RestoreStore: 4 * time.Second, CutDaemon: 6 * time.Second,
}

// planned tells whether a fault is planned work or no fault in the eyes of the platform, so that nothing may be lost around it.
func (f Fault) planned() bool {
	return f == StopDaemon || f == ReloadDaemon || f == DrainServer || f == Configure || f == SilenceServer
}

// closing is the planned work in the calm at the end. A fleet that no longer follows its store shows by it.
var closing = []Step{{Fault: Configure}, {Fault: DrainServer}, {Fault: DrainServer, Target: plains}}

// plannedOnly is how often a seed draws planned work only: one in that many. From firstOfAll on, the seed after it draws that and
// restored stores, so that their effects show by themselves.
const plannedOnly = 4

func draws(seed uint64, f Fault) bool {
	switch {
	case seed < firstOfAll && f > KillAll, seed < firstOfCuts && f == CutDaemon:
		return false
	case seed%plannedOnly == 0:
		return f.planned()
	case seed >= firstOfAll && seed%plannedOnly == 1:
		return f.planned() || f == RestoreStore
	}
	return true
}

// Plan draws the faults of a run.
func Plan(seed uint64, length time.Duration, daemons, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	weights := weights
	total := 0
	for f := range weights {
		if !draws(seed, Fault(f)) {
			weights[f] = 0
		}
		total += weights[f]
	}
	draw := func() Fault {
		n := r.IntN(total)
		for f, w := range weights {
			if n -= w; n < 0 {
				return Fault(f)
			}
		}
		return KillDaemon
	}
	var out []Step
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f, series := draw(), 1
		if r.Float64() < seriesShare || f == SilenceServer {
			series = 2 + r.IntN(maxSeries-1)
		}
		for i := range series {
			s := Step{At: at + time.Duration(i)*seriesGap, Fault: f}
			switch f {
			case KillDaemon, StopDaemon, PauseDaemon, ReloadDaemon, HarmStore, CutDaemon:
				s.Target = r.IntN(daemons)
			case KillServer, DrainServer, PauseServer, HarmServer, SilenceServer:
				s.Target = r.IntN(servers)
			}
			if f == HarmStore || f == HarmServer {
				s.Harm = Delay + Harm(r.IntN(int(Dumb)))
			}
			if f == CutDaemon {
				s.Harm = []Harm{Reset, Silence}[r.IntN(2)]
			}
			s.For = time.Duration((0.05 + 0.95*r.Float64()) * float64(longest[f]))
			out = append(out, s)
		}
	}
	return out
}
