package entry

import (
	"net/netip"
	"slices"
	"time"

	"flamingorudder.example/internal/ini"
)

// Settings are the settings of one daemon. Everything that a deployment can choose is set here or in the configuration
// that is read from the store.
type Settings struct {
	Name, DataCentre, Region string
	// FirstStart is set when the whole fleet starts for the first time. Until the first request arrives, loads of weights
	// are not rate limited.
	FirstStart bool
	// Cores is the CPU quota of the daemon on its instance, in cores.
	Cores float64
	// MemoryMB is the memory limit in MiB, above which the process is killed.
	MemoryMB int
	// BufferPercent is the part of the memory limit that heads and bodies of requests and held responses may take together, and
	// MaxConnections the number of connections of callers. Zero stands for the default.
	BufferPercent, MaxConnections int
	// Caller, Readiness and Directory are the listen addresses for requests of callers, readiness checks of the platform
	// and address queries of callers. Directory is optional.
	Caller, Readiness, Directory netip.AddrPort
	// Metrics is the listen address for metrics; optional.
	Metrics netip.AddrPort
	// Peer is the listen address for other daemons, over both UDP and TCP.
	Peer  netip.AddrPort
	Store netip.AddrPort
	// StoreReads is the limit of read calls per second that the store accepts from all daemons together.
	StoreReads float64
	// Drain is the deadline, after a backend server announced that it leaves, by which no new requests may be sent to it.
	Drain time.Duration
	// Apply is the deadline by which a new configuration must be in force.
	Apply time.Duration
	// Evacuate is the deadline, after the store has acknowledged that a data centre is evacuated, by which no new requests may be
	// sent to the backend servers there. Zero means that there is none.
	Evacuate time.Duration
	// Grace is the time between the stop signal and the forced end of the process.
	Grace time.Duration
	// AddressTTL is the maximum time to live of the address lists that callers receive.
	AddressTTL time.Duration
	// Stall is how long a group that lost a member hangs before its head reports the loss.
	Stall time.Duration
	// RetryRatio and RetrySlack bound the retries of all daemons to a service within RetryWindow: RetryRatio times the
	// number of requests to the service, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ColdOverage and ColdSlack bound the requests that a cold backend server may get in any second from all daemons:
	// ColdOverage times the service's cold rate, plus ColdSlack.
	ColdOverage, ColdSlack float64
	// LoadWindow is the time window of the rate limit for loading weights.
	LoadWindow time.Duration
	// HeartbeatPeriod is how often backend servers renew their entries in the store.
	HeartbeatPeriod time.Duration
	// LogLevel is the minimum level that is logged.
	LogLevel string
}

// sections lists the sections of the settings file.
var sections = []string{"daemon", "listen", "store", "bounds", "log"}

// ParseSettings parses the settings file of a daemon. Its errors are of type *ini.Faults.
func ParseSettings(file string, text []byte) (Settings, error) {
	f := ini.Parse(file, text)
	var s Settings
	d := f.Section("daemon")
	d.Require("name", "data-centre")
	s.Name, s.DataCentre, s.Region = d.String("name", ""), d.String("data-centre", ""), d.String("region", "")
	s.FirstStart = d.Choice("first-start", "false", "true", "false") == "true"
	s.Cores = d.Float("cores", 1, 0, 1e4)
	s.MemoryMB = d.Int("memory-mb", 256, 32, 1<<20)
	s.BufferPercent, s.MaxConnections = d.Int("buffer-percent", defaultBufferPercent, 5, 50), d.Int("max-connections", 0, 0, 1<<20)

	l := f.Section("listen")
	l.Require("caller", "readiness", "peer")
	s.Caller, s.Readiness, s.Peer = l.Addr("caller", s.Caller), l.Addr("readiness", s.Readiness), l.Addr("peer", s.Peer)
	s.Directory, s.Metrics = l.Addr("directory", s.Directory), l.Addr("metrics", s.Metrics)

	st := f.Section("store")
	st.Require("address")
	s.Store = st.Addr("address", s.Store)
	s.StoreReads = st.Float("reads", 2000, 1, 1e9)

	// The defaults are the values of the first deployments.
	b := f.Section("bounds")
	second := func(key string, def float64) time.Duration {
		return time.Duration(b.Float(key, def, 0, 1e6) * float64(time.Second))
	}
	milli := func(key string, def float64) time.Duration {
		return time.Duration(b.Float(key, def, 0, 1e9) * float64(time.Millisecond))
	}
	s.Apply, s.Evacuate = milli("apply-ms", 2000), milli("evacuate-ms", 0)
	s.Drain, s.Grace, s.AddressTTL = milli("drain-ms", 2000), second("grace-s", 8), second("hold-s", 5)
	s.Stall, s.LoadWindow, s.HeartbeatPeriod = milli("stall-ms", 6000), second("load-window-s", 5), milli("beat-ms", 1200)
	s.RetryRatio, s.RetrySlack = b.Float("retry-ratio", 0.2, 0, 1e3), b.Float("retry-slack", 0, 0, 1e9)
	s.ColdOverage, s.ColdSlack = b.Float("cold-overage", 1.5, 1, 1e3), b.Float("cold-slack", 5, 0, 1e9)
	s.RetryWindow = time.Duration(b.Float("retry-window-s", 10, 0.1, 1e6) * float64(time.Second))

	g := f.Section("log")
	s.LogLevel = g.Choice("level", "info", "trace", "debug", "info", "warn", "error")
	for _, sec := range f.Sections {
		if !slices.Contains(sections, sec.Name) {
			sec.AddFault("", "unknown section"+ini.SuggestWord(sec.Name, sections))
		}
	}
	return s, f.Err()
}
