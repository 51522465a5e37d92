package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Bounds of the deployment, as on the sheet of the first site.
const (
	drainTime = 2 * time.Second
	graceTime = 8 * time.Second
	stallTime = 6 * time.Second
	beatTime  = 1200 * time.Millisecond
	applyTime = 2 * time.Second
	memoryMB  = 284
)

// Names in the configuration.
const (
	hostName     = "drill.example"
	plainService = "ledger"
	modelService = "desk"
	apiKey       = "key-north"
)

// process is one process that the drill started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// end kills the process if it still runs, and waits for its end.
func (p *process) end() {
	if p.running() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may end at this moment
	}
	<-p.done
}

// daemon is one daemon and its addresses.
type daemon struct {
	name                               string
	caller, readiness, directory, peer netip.AddrPort
	settings                           string
	mu                                 sync.Mutex
	p                                  *process
}

func (d *daemon) process() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.p
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	bin, standin string
	dir          string
	host         netip.Addr
	record       *record
	serves       netip.AddrPort
	platform     netip.AddrPort
	mu           sync.Mutex
	all          []*process
	taken        map[netip.AddrPort]bool
	daemons      []*daemon
	// events takes what backend servers tell.
	events func(fakeplatform.Event)
}

// record writes what happened to a file, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	f     *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{start: time.Now(), f: f}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...) // the verdict does not depend on it
}

func newFleet(bin, standin, dir string, r *record) *fleet {
	pid := os.Getpid()
	return &fleet{
		bin: bin, standin: standin, dir: dir, record: r, taken: map[netip.AddrPort]bool{}, events: func(fakeplatform.Event) {},
		host: netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16)%200, byte(pid >> 8), byte(pid)}),
	}
}

// free returns an address whose port is free for TCP and UDP.
func (f *fleet) free() (netip.AddrPort, error) {
	for range 50 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.host, 0).String())
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("find a free port: %w", err)
		}
		addr := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		_ = l.Close() // only its port is wanted
		if err != nil {
			continue
		}
		_ = u.Close() // only its port is wanted
		f.mu.Lock()
		free := !f.taken[addr]
		f.taken[addr] = true
		f.mu.Unlock()
		if free {
			return addr, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no port is free for TCP and UDP")
}

// start starts a program, whose output goes to a log, or line by line to out.
func (f *fleet) start(name string, out func(line []byte), program string, args ...string) (*process, error) {
	return f.startWith(nil, name, out, program, args...)
}

// startWith is like start, with variables added to the environment.
func (f *fleet) startWith(env []string, name string, out func(line []byte), program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout, cmd.Env = log, log, append(os.Environ(), env...)
	if out != nil {
		cmd.Stdout = &lineWriter{out: out}
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // its state tells how it ended
		f.record.add("process %s ended: %v", name, cmd.ProcessState)
		_ = log.Close() // logs decide nothing
		close(p.done)
	}()
	f.mu.Lock()
	f.all = append(f.all, p)
	f.mu.Unlock()
	return p, nil
}

// lineWriter passes on whole lines.
type lineWriter struct {
	out  func(line []byte)
	rest []byte
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.rest = append(w.rest, b...)
	for {
		line, rest, found := strings.Cut(string(w.rest), "\n")
		if !found {
			return len(b), nil
		}
		w.out([]byte(line))
		w.rest = []byte(rest)
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, p := range all {
		p.end()
	}
}

func (f *fleet) startStore(ctx context.Context) error {
	var err error
	if f.platform, err = f.free(); err != nil {
		return err
	}
	if f.serves, err = f.free(); err != nil {
		return err
	}
	_, err = f.start("store", nil, f.standin, "store", "--daemons", f.serves.String(), "--platform", f.platform.String(), "--beat", beatTime.String(), "--hide-heartbeats")
	if err != nil {
		return err
	}
	return reach(ctx, f.platform)
}

func reach(ctx context.Context, addr netip.AddrPort) error {
	for {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", addr.String())
		if err == nil {
			return c.Close()
		}
		if timer.Wait(ctx, 20*time.Millisecond) != nil {
			return fmt.Errorf("reach %v: %w", addr, err)
		}
	}
}

// putConfig stores a configuration, as the operator does.
func (f *fleet) putConfig(ctx context.Context, c *route.Config) error {
	text, err := platform.EncodeConfig(c)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	store, closeStore := platform.NewStore(f.platform)
	defer closeStore()
	_, err = store.Commit(ctx, platform.Tx{Write: []platform.Row{{Table: platform.TableOperator, Key: platform.ConfigKey, Value: text}}})
	return err
}

// serverOptions describes a backend server.
type serverOptions struct {
	id, service, domain string
	slots               int
	work                time.Duration
	models              []route.Model
}

// startServer starts a backend server.
func (f *fleet) startServer(o serverOptions, listen netip.AddrPort) (*process, error) {
	args := []string{
		"server", "--id", o.id, "--service", o.service, "--domain", o.domain, "--listen", listen.String(), "--address", listen.String(),
		"--store", f.platform.String(), "--beat", beatTime.String(), "--drain", drainTime.String(), "--stall", stallTime.String(),
		"--slots", strconv.Itoa(o.slots), "--work", o.work.String(), "--linger", "1s",
	}
	if len(o.models) > 0 {
		text, err := json.Marshal(o.models)
		if err != nil {
			return nil, fmt.Errorf("encode models: %w", err)
		}
		args = append(args, "--models", string(text))
	}
	return f.start(o.id, func(line []byte) {
		var e fakeplatform.Event
		if json.Unmarshal(line, &e) != nil {
			return // the last line of one that was killed
		}
		f.record.add("server %s %s id=%s group=%s/%d members=%v", e.Server, e.Kind, e.ID, e.Group, e.Epoch, e.Members)
		f.events(e)
	}, f.standin, args...)
}

func (f *fleet) addDaemon(i int, zone string, store netip.AddrPort) (*daemon, error) {
	d := &daemon{name: "front-" + zone + "-" + strconv.Itoa(i)}
	for _, to := range []*netip.AddrPort{&d.caller, &d.readiness, &d.directory, &d.peer} {
		var err error
		if *to, err = f.free(); err != nil {
			return nil, err
		}
	}
	d.settings = filepath.Join(f.dir, d.name+".ini")
	text := fmt.Sprintf(`[daemon]
name = %s
data-centre = %s
region = r
first-start = false
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
drain-ms = %d
apply-ms = %d
grace-s = %g
hold-s = 5
stall-ms = %d
load-window-s = 5
retry-ratio = 0.2
retry-slack = 132
retry-window-s = 10
beat-ms = %d

[log]
level = info
`, d.name, zone, memoryMB, d.caller, d.readiness, d.directory, d.peer, store, drainTime.Milliseconds(), applyTime.Milliseconds(), graceTime.Seconds(),
		stallTime.Milliseconds(), beatTime.Milliseconds())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	f.daemons = append(f.daemons, d)
	return d, f.startDaemon(d)
}

func (f *fleet) startDaemon(d *daemon) error {
	// The platform names the settings file in the environment.
	p, err := f.startWith([]string{"FLAMINGORUDDER_BOOT=" + d.settings}, d.name, nil, f.bin, "entry")
	if err != nil {
		return err
	}
	f.record.add("daemon %s started, process %d", d.name, p.cmd.Process.Pid)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.p = p
	return nil
}

// awaitReady waits until a daemon is ready.
func (f *fleet) awaitReady(ctx context.Context, d *daemon) error {
	for {
		status, err := get(ctx, "http://"+d.readiness.String()+platform.ReadinessPath)
		if err == nil && status == 200 {
			return nil
		}
		if timer.Wait(ctx, 50*time.Millisecond) != nil {
			return fmt.Errorf("%s is not ready: status %d, %w", d.name, status, err)
		}
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}
