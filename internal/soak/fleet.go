package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/route"
)

// Options is what a run needs.
type Options struct {
	// Bin holds the programs flamingod and standin, Dir takes the settings and logs.
	Bin, Dir string
	Seed     uint64
	// Length is how long faults come.
	Length           time.Duration
	Daemons, Servers int
}

// process is one process that the soak started.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed when it has ended.
	done chan struct{}
	// told is set when it has been told to end.
	told atomic.Bool
}

func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.told.Store(true)
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // it may end at this moment
	}
}

// place is where processes of one daemon or backend server follow each other.
type place struct {
	mu sync.Mutex
	p  *process
	// life counts the processes.
	life int
	// busy is set while a fault that ends in a new process is under way.
	busy bool
}

// process returns the present process.
func (p *place) process() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.p
}

// claim returns the present process to a fault that is to end it, and a function to call when the next one runs. It is nil
// while another such fault is under way.
func (p *place) claim() (*process, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil, func() {}
	}
	p.busy = true
	return p.p, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy = false
	}
}

// daemon is the place of one daemon.
type daemon struct {
	place
	name                               string
	caller, readiness, directory, peer netip.AddrPort
	settings                           string
	store                              *Proxy
}

// lifetime names the daemon's present process.
func (d *daemon) lifetime() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.name + "#" + strconv.Itoa(d.life)
}

// server is the place of one backend server.
type server struct {
	place
	name, service, domain, dataCentre string
	proxy                             *Proxy
	closeProxy                        func()
}

// id is that of the server's present process.
func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s-%d", s.name, s.life)
}

// front is the proxy before the server's present process.
func (s *server) front() *Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxy
}

// fleet is the processes of a run.
type fleet struct {
	o    Options
	g    *errgroup.Group
	beat time.Duration
	// cuts is nil if no daemon is ever cut off.
	cuts *cuts
	// host is the address on which all parts of the fleet listen.
	host     netip.Addr
	platform netip.AddrPort
	// serves is the store's address for daemons, behind their proxies.
	serves  netip.AddrPort
	store   *process
	daemons []*daemon
	servers []*server
	// events takes what backend servers tell, gone the ids of those whose process has ended.
	events chan fakeplatform.Event
	gone   chan string
	// ended takes processes that ended without being told to.
	ended chan *process
	mu    sync.Mutex
	stops []func()
	taken map[netip.AddrPort]bool
}

const (
	// beat is how often backend servers renew their entries; short, so that lapses happen within a run. longBeat is that of runs
	// in which sound ones are silent, whose entries must not lapse meanwhile.
	beat     = 400 * time.Millisecond
	longBeat = 800 * time.Millisecond
	// longestBeat is that of runs with longer silences.
	longestBeat = 1200 * time.Millisecond
	// drain, grace and stall are the platform's bounds, as its installations have them but shorter.
	drain = time.Second
	grace = 4 * time.Second
	stall = 2 * time.Second
	apply = 2 * time.Second
	// evacuate, coldOverage and coldSlack are those from firstOfEvacuations on. A backend server is cold for coldTime and then takes
	// coldRate requests a second, less than a plain one gets in these runs; it crashes at coldCrash times what daemons may send.
	evacuate    = 2 * time.Second
	coldTime    = 3 * time.Second
	coldRate    = 4
	coldOverage = 1.5
	coldSlack   = 2
	coldLimit   = coldRate*coldOverage + coldSlack
	coldCrash   = 2
)

// brokenShare is one request in that many whose answer a backend server breaks from firstOfBrokenAnswers on.
const brokenShare = 12

// dataCentres is the number of data centres from firstOfEvacuations on. Daemons and backend servers alternate between them.
const dataCentres = 2

// dataCentre returns the data centre of a place.
func (f *fleet) dataCentre(place int) string {
	if f.o.Seed < firstOfEvacuations {
		return "dc"
	}
	return "dc-" + strconv.Itoa(place%dataCentres)
}

// models are those that the stand-ins run.
var models = []route.Model{
	{Name: "large", Size: 2, Share: 0.5, TimeFactor: 1, Load: time.Second, Warm: 200 * time.Millisecond},
	{Name: "small", Size: 1, Share: 0.5, TimeFactor: 1, Load: time.Second, Warm: 200 * time.Millisecond},
}

// PortError reports that no port was found that is free for TCP and UDP.
type PortError struct{}

func (e *PortError) Error() string { return "no port is free for TCP and UDP" }

// Names in the configuration of a run.
const (
	host         = "soak.example"
	plainService = "ledger"
	modelService = "desk"
)

// plainLimit is the time limit of the routes of plain services, probeLimit that of a route that only one version has.
const (
	plainLimit = 3 * time.Second
	probeLimit = 2 * time.Second
)

// versionRoute is the route that only one version of the configuration has.
func versionRoute(version int) string { return "version-" + strconv.Itoa(version) }

// configuration is that of a run: routes that every version has, and one that only this version has.
func (f *fleet) configuration(version int) *route.Config {
	to := func(name string, kind route.Kind, service string, timeout time.Duration, attempts int) route.Route {
		return route.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, Objective: 500 * time.Millisecond,
			Split: []route.Weighted{{Service: service, Weight: 1}}, MaxAttempts: attempts, Resumable: kind == route.Streaming,
		}
	}
	once := to(Once.String(), route.Streaming, modelService, 6*time.Second, 3)
	feedOnce := to(FeedOnce.String(), route.Streaming, plainService, 6*time.Second, 3)
	once.Resumable, feedOnce.Resumable = false, false
	engine := &route.Engine{
		Slots: 16, Stride: 1, Step: 20 * time.Millisecond, PerRequest: 100 * time.Microsecond, PrefillRate: 46000, Chunk: 2048,
		Form: 100 * time.Millisecond, LoadRate: 20, UsualAnswer: 12, Models: models,
	}
	c := &route.Config{
		Version: int64(version),
		Routes: []route.Route{
			to("read", route.Safe, plainService, plainLimit, 2), to("write", route.Unsafe, plainService, plainLimit, 1),
			to("talk", route.Streaming, modelService, 6*time.Second, 3), to(versionRoute(version), route.Safe, plainService, probeLimit, 2),
			once, to(Feed.String(), route.Streaming, plainService, 6*time.Second, 3), feedOnce,
		},
		Services:      []route.Service{{Name: plainService, MaxConnections: 200}, {Name: modelService, MaxConnections: 200, Engine: engine}},
		Organisations: []route.Organisation{{Name: "north", Keys: []string{"key-north"}, Rank: -1}, {Name: "south", Keys: []string{"key-south"}, Rank: -1}},
		MaxBody:       1 << 20,
	}
	for i := range c.Services {
		if f.o.Seed >= firstOfEvacuations {
			c.Services[i].ColdTime, c.Services[i].ColdRate = coldTime, coldRate
		}
	}
	return c
}

// newFleet returns a fleet without processes. It has a loopback address of its own, by the number of this process: a port of
// 127.0.0.1 that is free while a process is down may be taken by any other connection of the machine.
func newFleet(o Options) *fleet {
	pid := os.Getpid()
	f := &fleet{
		o: o, g: &errgroup.Group{}, beat: beat, events: make(chan fakeplatform.Event, 4096), gone: make(chan string, 64), ended: make(chan *process, 64), taken: map[netip.AddrPort]bool{},
		host: netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16)%200, byte(pid >> 8), byte(pid)}),
	}
	if o.Seed >= firstOfAll {
		f.beat = longBeat
	}
	if o.Seed >= firstOfSilences {
		f.beat = longestBeat
	}
	// Programs that are started inherit this, so that a signal which comes before their own code runs does not end them.
	signal.Ignore(syscall.SIGHUP)
	if o.Seed >= firstOfEvacuations {
		signal.Ignore(syscall.SIGUSR1)
	}
	if o.Seed >= firstOfCuts {
		f.cuts = &cuts{harms: map[string]Harm{}, pids: f.daemonPids}
	}
	return f
}

// daemonPids returns the processes of the daemons by name.
func (f *fleet) daemonPids() map[string]int {
	out := map[string]int{}
	for _, d := range f.daemons {
		if p := d.process(); p != nil {
			out[d.name] = p.cmd.Process.Pid
		}
	}
	return out
}

// free returns an address whose port is free for TCP and UDP, and that no other part of the fleet is given.
func (f *fleet) free() (netip.AddrPort, error) {
	l, addr, err := f.listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	_ = l.Close() // only its port is wanted
	return addr, nil
}

// listen returns a listener at an address whose port is free for TCP and UDP, and that no other part of the fleet is given.
func (f *fleet) listen() (*net.TCPListener, netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // the kernel takes no filter for a listener of the other kind
	for range 50 {
		listener, err := lc.Listen(context.Background(), "tcp4", netip.AddrPortFrom(f.host, 0).String())
		if err != nil {
			return nil, netip.AddrPort{}, fmt.Errorf("find a free port: %w", err)
		}
		l := listener.(*net.TCPListener)
		addr := netip.MustParseAddrPort(l.Addr().String())
		if u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err == nil {
			_ = u.Close() // only its port is wanted
			if !f.taken[addr] {
				f.taken[addr] = true
				return l, addr, nil
			}
		}
		_ = l.Close() // its port cannot be used
	}
	return nil, netip.AddrPort{}, &PortError{}
}

// proxy returns a proxy to an address, at one that no other part of the fleet is given. It keeps the listener with which its port
// was chosen: a child between fork and exec holds a copy of each, so the port may stay in use after a listener is closed.
func (f *fleet) proxy(to netip.AddrPort, cuts *cuts) (*Proxy, func(), error) {
	l, at, err := f.listen()
	if err != nil {
		return nil, nil, err
	}
	p, stop := newProxy(l, at, to, cuts)
	return p, stop, nil
}

// start starts a program. What it writes to standard output goes to its log, and to out if that is not nil.
func (f *fleet) start(name string, out func(line []byte), program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.o.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}
	cmd := exec.Command(filepath.Join(f.o.Bin, program), args...)
	cmd.Stderr = log
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	var lines *bufio.Scanner
	if out == nil {
		cmd.Stdout = log
	} else {
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return nil, errors.Join(fmt.Errorf("read from %s: %w", name, err), log.Close())
		}
		lines = bufio.NewScanner(pipe)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	f.g.Go(func() error {
		for lines != nil && lines.Scan() {
			out(lines.Bytes())
			_, _ = fmt.Fprintf(log, "%s\n", lines.Bytes()) // a run does not depend on its logs
		}
		_ = cmd.Wait() // its state tells how it ended
		close(p.done)
		if !p.told.Load() {
			f.ended <- p
		}
		_, err := fmt.Fprintf(log, "%s %s: %v\n", time.Now().Format(time.RFC3339Nano), name, cmd.ProcessState)
		return errors.Join(err, log.Close())
	})
	return p, nil
}

func (f *fleet) startStore(ctx context.Context) error {
	var err error
	if f.platform, err = f.free(); err != nil {
		return err
	}
	if f.serves, err = f.free(); err != nil {
		return err
	}
	args := []string{"store", "--daemons", f.serves.String(), "--platform", f.platform.String(), "--beat", f.beat.String()}
	if hidesHeartbeats(f.o.Seed) {
		args = append(args, "--hide-heartbeats")
	}
	f.store, err = f.start("store", nil, "standin", args...)
	if err != nil {
		return err
	}
	return reach(ctx, f.platform)
}

// reach waits until an address takes connections.
func reach(ctx context.Context, addr netip.AddrPort) error {
	for {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", addr.String())
		if err == nil {
			return c.Close()
		}
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("reach %v: %w", addr, err)
		}
	}
}

func (f *fleet) addDaemon(i int) error {
	d := &daemon{name: "daemon-" + strconv.Itoa(i)}
	for _, to := range []*netip.AddrPort{&d.caller, &d.readiness, &d.directory, &d.peer} {
		var err error
		if *to, err = f.free(); err != nil {
			return err
		}
	}
	store, stop, err := f.proxy(f.serves, nil)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, stop)
	d.store = store
	d.settings = filepath.Join(f.o.Dir, d.name+".ini")
	more := ""
	if f.o.Seed >= firstOfEvacuations {
		more = fmt.Sprintf("evacuate-ms = %d\ncold-overage = %g\ncold-slack = %d\n", evacuate.Milliseconds(), coldOverage, coldSlack)
	}
	text := fmt.Sprintf(`[daemon]
name = %s
data-centre = %s
region = r
first-start = false
memory-mb = 256

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
hold-s = 3
stall-ms = %d
load-window-s = 5
retry-ratio = %g
retry-slack = %d
retry-window-s = %g
beat-ms = %d
%s
[log]
level = info
`, d.name, f.dataCentre(i), d.caller, d.readiness, d.directory, d.peer, store.Addr, drain.Milliseconds(), apply.Milliseconds(), grace.Seconds(),
		stall.Milliseconds(), bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow.Seconds(), f.beat.Milliseconds(), more)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	f.daemons = append(f.daemons, d)
	return f.startDaemon(d)
}

func (f *fleet) startDaemon(d *daemon) error {
	p, err := f.start(d.name, nil, "flamingod", "entry", d.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.p = p
	d.life++
	return nil
}

func (f *fleet) addServer(i int) error {
	s := &server{name: "server-" + strconv.Itoa(i), service: modelService, domain: strconv.Itoa(i % 2), dataCentre: f.dataCentre(i)}
	if i < plains {
		s.service = plainService
	}
	f.servers = append(f.servers, s)
	return f.startServer(s)
}

// plains is how many of the backend servers are plain ones.
const plains = 2

func (f *fleet) startServer(s *server) error {
	listen, err := f.free()
	if err != nil {
		return err
	}
	proxy, stop, err := f.proxy(listen, f.cuts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if s.closeProxy != nil {
		s.closeProxy()
	}
	s.proxy, s.closeProxy = proxy, stop
	s.life++
	id := fmt.Sprintf("%s-%d", s.name, s.life)
	s.mu.Unlock()
	args := []string{
		"server", "--id", id, "--service", s.service, "--domain", s.domain, "--listen", listen.String(), "--address", proxy.Addr.String(),
		"--store", f.platform.String(), "--beat", f.beat.String(), "--drain", drain.String(), "--stall", stall.String(),
	}
	if f.o.Seed >= firstOfAll {
		args = append(args, "--linger", drain.String())
	}
	if f.o.Seed >= firstOfEvacuations {
		args = append(args, "--data-centre", s.dataCentre, "--cold", coldTime.String(), "--cold-crash", strconv.Itoa(coldCrash*coldLimit))
	}
	if f.o.Seed >= firstOfBrokenAnswers {
		args = append(args, "--broken", strconv.Itoa(brokenShare))
	}
	if f.o.Seed >= firstOfUnannounced {
		args = append(args, "--unannounced")
	}
	if s.service == modelService {
		models, err := json.Marshal(models)
		if err != nil {
			return fmt.Errorf("encode models: %w", err)
		}
		args = append(args, "--models", string(models))
	}
	p, err := f.start(s.name, func(line []byte) {
		var e fakeplatform.Event
		if err := json.Unmarshal(line, &e); err != nil {
			return // the last line of one that was killed
		}
		f.events <- e
	}, "standin", args...)
	if err != nil {
		return err
	}
	f.g.Go(func() error {
		<-p.done
		f.gone <- id
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.p = p
	return nil
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []*process{f.store}
	for _, d := range f.daemons {
		list = append(list, d.process())
	}
	for _, s := range f.servers {
		list = append(list, s.process())
	}
	for _, p := range list {
		if p != nil {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	for _, s := range f.servers {
		if s.closeProxy != nil {
			s.closeProxy()
		}
	}
	for _, stop := range f.stops {
		stop()
	}
}
