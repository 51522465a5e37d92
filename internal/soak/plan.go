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
	// SilencePath makes the way from a daemon to all backend servers silent, without acknowledgements. Nothing is reset.
	SilencePath
	// Evacuate evacuates a data centre for a while.
	Evacuate
	// CoolServer makes a running backend server cold.
	CoolServer
	faults
)

func (f Fault) String() string {
	return [...]string{
		"kill daemon", "stop daemon", "pause daemon", "reload daemon", "kill server", "drain server", "pause server", "pause store",
		"harm store", "harm server", "configure", "kill all daemons", "silence server",
		"restore store", "cut daemon", "silence path", "evacuate", "cool server",
	}[f]
}

// Step is one fault of a plan.
type Step struct {
	// At is from the start of the faults.
	At    time.Duration
	Fault Fault
	// Target is the place of the daemon, backend server or data centre.
	Target int
	// For is how long the fault lasts, or how long a process stays down.
	For  time.Duration
	Harm Harm
	// Cold is set if the backend servers of an evacuated data centre become cold when the evacuation ends.
	Cold bool
}

func (s Step) String() string {
	out := fmt.Sprintf("%6.2fs %s %d for %v", s.At.Seconds(), s.Fault, s.Target, s.For.Round(10*time.Millisecond))
	if s.Harm != Clear {
		out += ", " + s.Harm.String()
	}
	if s.Cold {
		out += ", ends cold"
	}
	return out
}

// weights is how often each fault is drawn against the others.
var weights = [faults]int{
	KillDaemon: 4, StopDaemon: 3, PauseDaemon: 4, ReloadDaemon: 1, KillServer: 5, DrainServer: 3, PauseServer: 2, PauseStore: 2, HarmStore: 5,
	HarmServer: 5, Configure: 4, KillAll: 1, SilenceServer: 4, RestoreStore: 4, CutDaemon: 8, SilencePath: 6,
	Evacuate: 10, CoolServer: 10,
}

// overlapping is how often faults are drawn from firstOfSilences on.
var overlapping = func() [faults]int {
	w := weights
	w[StopDaemon], w[ReloadDaemon], w[Configure], w[SilenceServer] = 4, 4, 6, 10
	return w
}()

// firstOfAll is the first seed that draws faults of all kinds, slow requests and odd entries. Those below it give what they gave
// before those kinds existed.
const firstOfAll = 1000

// firstOfCuts is the first seed that also cuts daemons off from all backend servers.
const firstOfCuts = 2000

// firstOfSilences is the first seed with longer silences, acknowledged and not, of servers and of a daemon's way to all of them. Planned
// work comes in series more often, and callers stay with their daemon.
const firstOfSilences = 3000

// firstOfEvacuations is the first seed with evacuations of data centres, cold backend servers and callers that read slowly.
const firstOfEvacuations = 4000

// firstOfBrokenAnswers is the first seed with long uploads, and with backend servers that break some of their answers.
const firstOfBrokenAnswers = 5000

// firstOfUnannounced is the first seed in which backend servers leave without telling that they drain.
const firstOfUnannounced = 6000

// firstOfFeeds is the first seed with streams of plain services.
const firstOfFeeds = 7000

// hidesHeartbeats tells whether the store of a seed shows no entry of which only the heartbeat has changed.
func hidesHeartbeats(seed uint64) bool { return seed >= firstOfSilences && seed/plannedOnly%2 == 1 }

const (
	// meanGap is the mean time between two faults; they overlap, since most last longer.
	meanGap = 500 * time.Millisecond
	// seriesShare is how often a fault is followed by more of its kind at once, up to maxSeries in all. A silence always is: a
	// request that leaves one silent server may meet another.
	seriesShare = 0.2
	maxSeries   = 4
	seriesGap   = 80 * time.Millisecond
	// plannedSeries is seriesShare for planned work from firstOfSilences on.
	plannedSeries = 0.5
)

// silence is how long a sound backend server may be silent. From firstOfSilences on, silences last between the other two, and one server
// is not silent again before rest has passed: two silences in a row would be one that is too long.
const (
	silence         = 1200 * time.Millisecond
	shortestSilence = 500 * time.Millisecond
	longestSilence  = 2 * time.Second
	rest            = time.Second
)

// longest is how long each fault lasts at most. A backend server that stands still for longer than that may be taken for
// gone, which the platform does not do to one that lives: its entry lapses three beats after it was written, up to a beat before
// it stopped. A paused store is one that is down.
var longest = [faults]time.Duration{
	KillDaemon: 2 * time.Second, StopDaemon: time.Second, PauseDaemon: 4 * time.Second, KillServer: 3 * time.Second, DrainServer: time.Second,
	PauseServer: 500 * time.Millisecond, PauseStore: 4 * time.Second, HarmStore: 5 * time.Second, HarmServer: 4 * time.Second,
	KillAll: time.Second, SilenceServer: silence, RestoreStore: 4 * time.Second, CutDaemon: 6 * time.Second,
	SilencePath: longestSilence, Evacuate: 6 * time.Second,
}

// planned tells whether a fault is planned work or no fault in the eyes of the platform, so that nothing may be lost around it.
func (f Fault) planned() bool {
	return f == StopDaemon || f == ReloadDaemon || f == DrainServer || f == Configure || f == SilenceServer || f == Evacuate || f == CoolServer
}

// closing is the planned work in the calm at the end. A fleet that no longer follows its store shows by it.
var closing = []Step{{Fault: Configure}, {Fault: DrainServer}, {Fault: DrainServer, Target: plains}}

// plannedOnly is how often a seed draws planned work only: one in that many. From firstOfAll on, the seed after it draws that and
// restored stores, so that their effects show by themselves.
const plannedOnly = 4

func draws(seed uint64, f Fault) bool {
	switch {
	case seed < firstOfAll && f > KillAll, seed < firstOfCuts && f == CutDaemon, seed < firstOfSilences && f == SilencePath,
		seed < firstOfEvacuations && f > SilencePath:
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
	long := seed >= firstOfSilences
	if long {
		weights = overlapping
	}
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
	silentUntil := map[int]time.Duration{}
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f, series, share, gap := draw(), 1, seriesShare, seriesGap
		if long && f.planned() {
			share = plannedSeries
		}
		if f != Evacuate && r.Float64() < share || f == SilenceServer || f == SilencePath {
			series = 2 + r.IntN(maxSeries-1)
		}
		if long && r.IntN(2) == 0 {
			gap = 0
		}
		for i := range series {
			s := Step{At: at + time.Duration(i)*gap, Fault: f}
			switch f {
			case KillDaemon, StopDaemon, PauseDaemon, ReloadDaemon, HarmStore, CutDaemon, SilencePath:
				s.Target = r.IntN(daemons)
			case KillServer, DrainServer, PauseServer, HarmServer, SilenceServer, CoolServer:
				s.Target = r.IntN(servers)
			case Evacuate:
				s.Target, s.Cold = r.IntN(dataCentres), r.IntN(2) == 0
			}
			if f == HarmStore || f == HarmServer {
				s.Harm = Delay + Harm(r.IntN(int(Dumb)))
			}
			switch {
			case f == CutDaemon:
				s.Harm = []Harm{Reset, Silence}[r.IntN(2)]
			case f == SilencePath:
				s.Harm = Drop
			case f == SilenceServer && long:
				s.Harm = []Harm{Clear, Drop}[r.IntN(2)]
			}
			s.For = time.Duration((0.05 + 0.95*r.Float64()) * float64(longest[f]))
			if f == SilencePath || f == SilenceServer && long {
				s.For = shortestSilence + time.Duration(r.Float64()*float64(longestSilence-shortestSilence))
			}
			if f == SilenceServer && long {
				if s.At < silentUntil[s.Target] {
					continue
				}
				silentUntil[s.Target] = s.At + s.For + rest
			}
			out = append(out, s)
		}
	}
	return out
}
