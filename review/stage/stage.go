// Package stage starts daemons as separate processes on loopback addresses, beside stand-ins of the store and of backend servers, for the
// cases of the second review.
package stage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Error reports a case that could not run.
type Error struct{ Reason string }

func (e *Error) Error() string { return e.Reason }

// Record is the record of what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // nothing depends on the record
}

// Close closes the record.
func (r *Record) Close() error { return r.file.Close() }

// Stage holds the processes and stand-ins of a case.
type Stage struct {
	// Dir is a temporary folder for settings and logs.
	Dir    string
	Record *Record
	Store  *fakeplatform.Store
	// StoreAddr is where the store serves daemons.
	StoreAddr netip.AddrPort

	// runners is the client by which runners write to the store.
	runners *platform.Store
	// down is set while the store resets all channels.
	down    atomic.Bool
	program string
	host    netip.Addr
	// calls holds the functions that end the calls under way at the store.
	calls   sync.Map
	mu      sync.Mutex
	taken   map[netip.AddrPort]bool
	daemons []*Daemon
	servers []*http.Server
	tasks   errgroup.Group
	// failure is why the case could not run.
	failure error
}

// New returns a stage with a store, and a function that ends all processes and removes the folder. program is the path of flamingod.
func New(program string, record *Record) (*Stage, func(), error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	pid := os.Getpid()
	s := &Stage{
		Dir: dir, Record: record, Store: fakeplatform.NewStore(), program: program, taken: map[netip.AddrPort]bool{},
		host: netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16)%200, byte(pid >> 8), 1 + byte(pid)%250}),
	}
	if s.StoreAddr, err = s.Serve(s.unlessDown(s.Store.Daemons())); err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	writes, err := s.Serve(s.unlessDown(s.Store.Platform()))
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	var closeIdle func()
	s.runners, closeIdle = platform.NewStore(writes)
	return s, func() {
		closeIdle()
		for _, d := range s.daemons {
			d.Signal(syscall.SIGCONT)
			d.Signal(syscall.SIGKILL)
			<-d.ended
		}
		for _, srv := range s.servers {
			_ = srv.Close() // the case is over
		}
		_ = s.tasks.Wait()      // its tasks return no error
		_ = os.RemoveAll(s.Dir) // a temporary folder
	}, nil
}

// Free returns a loopback address whose port is free for TCP and UDP, and that no other part of the case is given.
func (s *Stage) Free() (netip.AddrPort, error) {
	l, err := s.Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	return addr, l.Close()
}

// Listen returns a listener at an address of which Free's promises hold.
func (s *Stage) Listen() (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 50 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(s.host, 0).String())
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		addr := netip.MustParseAddrPort(l.Addr().String())
		if u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err == nil {
			_ = u.Close() // only its port is wanted
			if !s.taken[addr] {
				s.taken[addr] = true
				return l, nil
			}
		}
		_ = l.Close() // its port cannot be used
	}
	return nil, &Error{"no port is free for TCP and UDP"}
}

// unlessDown resets all channels while the store is down.
func (s *Stage) unlessDown(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		s.calls.Store(r, cancel)
		defer s.calls.Delete(r)
		if !s.down.Load() {
			h.ServeHTTP(w, r.WithContext(ctx))
		}
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
	})
}

// StoreDown has the store reset all channels, also those on which a call waits, or ends that.
func (s *Stage) StoreDown(down bool) {
	s.down.Store(down)
	s.Record.Printf("the store is down: %v", down)
	if down {
		s.calls.Range(func(_, cancel any) bool {
			cancel.(context.CancelFunc)()
			return true
		})
	}
}

// Lapse has the entries of runners removed that have not written for three heartbeats, also while the store is down, until ctx ends.
func (s *Stage) Lapse(ctx context.Context) {
	s.tasks.Go(func() error {
		for timer.Wait(ctx, heartbeat/4) == nil {
			s.Store.Lapse(time.Now(), heartbeat)
		}
		return nil
	})
}

// Serve serves HTTP at a free address until the case ends.
func (s *Stage) Serve(h http.Handler) (netip.AddrPort, error) {
	addr, _, err := s.serve(h)
	return addr, err
}

// serve serves HTTP at a free address until the case ends, or the server is closed.
func (s *Stage) serve(h http.Handler) (netip.AddrPort, *http.Server, error) {
	l, err := s.Listen()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	s.tasks.Go(func() error {
		_ = srv.Serve(l) // ends with the case
		return nil
	})
	return netip.MustParseAddrPort(l.Addr().String()), srv, nil
}

// Daemon is one daemon process.
type Daemon struct {
	Name                               string
	Caller, Readiness, Directory, Peer netip.AddrPort
	stage                              *Stage
	settings                           string
	mu                                 sync.Mutex
	cmd                                *exec.Cmd
	ended                              chan struct{}
	// told is set once a signal was sent that ends the process.
	told bool
}

// Options are the settings of a daemon that cases choose. Zero values stand for those of the small installations.
type Options struct {
	DataCentre string
	MemoryMB   int
	GraceS     float64
	Store      netip.AddrPort
}

// AddDaemon starts a daemon with the settings that deploy/entry.ini.tmpl gives on a small installation.
func (s *Stage) AddDaemon(name string, o Options) (*Daemon, error) {
	d := &Daemon{Name: name, stage: s, settings: filepath.Join(s.Dir, name+".ini")}
	for _, a := range []*netip.AddrPort{&d.Caller, &d.Readiness, &d.Directory, &d.Peer} {
		var err error
		if *a, err = s.Free(); err != nil {
			return nil, err
		}
	}
	if o.DataCentre == "" {
		o.DataCentre = "rosario-a"
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 284
	}
	if o.GraceS == 0 {
		o.GraceS = 8
	}
	if !o.Store.IsValid() {
		o.Store = s.StoreAddr
	}
	text := fmt.Sprintf(`[daemon]
name = %s
data-centre = %s
region = ar-centro
first-start = true
memory-mb = %d
cores = 0.4

[listen]
caller = %v
readiness = %v
directory = %v
peer = %v

[store]
address = %v
reads = 2000

[bounds]
drain-ms = 2000
apply-ms = 2000
grace-s = %g
hold-s = 5
stall-ms = 6000
load-window-s = 5
retry-ratio = 0.2
retry-slack = 132
retry-window-s = 10
beat-ms = 1200

[log]
level = info
`, name, o.DataCentre, o.MemoryMB, d.Caller, d.Readiness, d.Directory, d.Peer, o.Store, o.GraceS)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	s.daemons = append(s.daemons, d)
	return d, d.Start()
}

// Start starts the process, with the command of deploy/system.toml.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", d.Name, err)
	}
	cmd := exec.Command(d.stage.program, "entry")
	cmd.Env = append(os.Environ(), "FLAMINGORUDDER_BOOT="+d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", d.Name, err), log.Close())
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.told = cmd, ended, false
	d.mu.Unlock()
	d.stage.Record.Printf("%s starts, process %d", d.Name, cmd.Process.Pid)
	d.stage.tasks.Go(func() error {
		_ = cmd.Wait() // its state tells how it ended
		d.stage.Record.Printf("%s, process %d, has ended: %v", d.Name, cmd.Process.Pid, cmd.ProcessState)
		_ = log.Close() // nothing depends on the log
		close(ended)
		return nil
	})
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = d.told || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = d.cmd.Process.Signal(sig) // it may have ended
}

// Pid returns the id of the process.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Log returns what the daemon has logged.
func (d *Daemon) Log() string {
	text, err := os.ReadFile(d.settings + ".log")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Ended is closed when the process has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// Running reports whether the process has not ended.
func (d *Daemon) Running() bool {
	select {
	case <-d.Ended():
		return false
	default:
		return true
	}
}

// AwaitReady waits until the daemon says that it is ready.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Readiness.String()+"/api/readiness", nil)
		if err != nil {
			return fmt.Errorf("create request: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close() // has no body
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !d.Running() {
			return &Error{d.Name + " has ended"}
		}
		if err := timer.Wait(ctx, 20*time.Millisecond); err != nil {
			return &Error{d.Name + " does not get ready"}
		}
	}
}

// Memory returns a value in MiB of /proc/PID/status: VmRSS or VmHWM.
func (d *Daemon) Memory(name string) (int, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(d.Pid()) + "/status")
	if err != nil {
		return 0, fmt.Errorf("read the memory of %s: %w", d.Name, err)
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10, err
		}
	}
	return 0, &Error{"no " + name + " in the status of " + d.Name}
}
