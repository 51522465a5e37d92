// Command rig runs a small fleet of daemons as separate processes against stand-ins in its own process, for the cases of the third review.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

const (
	host        = "review.example"
	key         = "key-north"
	drain       = 2 * time.Second
	beat        = 1200 * time.Millisecond
	startupTime = 15 * time.Second
)

// loopback is the loopback address of this run, by its process: a port that is free may be taken by another run before it is used.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16%200, os.Getpid()>>8%256, 1+os.Getpid()%254)

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line) // a run is judged by its exit code
	fmt.Print(line)
}

// fleet is the store, and the daemons of a run.
type fleet struct {
	*record
	// tasks are the goroutines that end with the context of the run or with stop.
	tasks        errgroup.Group
	dir, program string
	store        *fakeplatform.Store
	storeAddr    string
	daemons      []*daemon
	servers      []*http.Server
	// models holds the members of model groups by id, doubled counts the joins that a member took while the head of its group was open.
	modelsMu sync.Mutex
	models   map[string]*modelServer
	doubled  atomic.Int64
}

// daemon is a process of the daemon.
type daemon struct {
	name, caller, readiness, directory, peer, settings string
	cmd                                                *exec.Cmd
	done                                               chan struct{}
	ended                                              atomic.Bool
}

func newFleet(program string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	f := &fleet{record: rec, dir: dir, program: program, store: fakeplatform.NewStore(), models: map[string]*modelServer{}}
	l, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.storeAddr = l.Addr().String()
	f.serve(l, f.store.Daemons())
	return f, nil
}

func (f *fleet) serve(l net.Listener, h http.Handler) *http.Server {
	return f.serveWith(l, &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
}

func (f *fleet) serveWith(l net.Listener, srv *http.Server) *http.Server {
	f.servers = append(f.servers, srv)
	f.tasks.Go(func() error {
		_ = srv.Serve(l) // ends when it is closed
		return nil
	})
	return srv
}

// configure writes a configuration, as operators do.
func (f *fleet) configure(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	f.store.Put(platform.TableOperator, platform.ConfigKey, text)
	return nil
}

// register keeps the entry of a backend server in the store until ctx ends.
func (f *fleet) register(ctx context.Context, id string, entry map[string]any) {
	beats := 0
	write := func() {
		beats++
		entry["sequence"] = beats
		text, _ := json.Marshal(entry)
		f.store.Put(platform.TableServers, id, text)
	}
	write()
	f.repeat(ctx, beat, write)
}

// repeat calls do in each period until ctx ends.
func (f *fleet) repeat(ctx context.Context, period time.Duration, do func()) {
	f.tasks.Go(func() error {
		for timer.Wait(ctx, period) == nil {
			do()
		}
		return nil
	})
}

// PortError reports that no port was found that is free for TCP and UDP.
type PortError struct{}

func (e *PortError) Error() string { return "no port is free for TCP and UDP" }

// firstPort and lastPort bound the ports of daemons. Those of outgoing connections lie above.
const firstPort, lastPort = 12000, 32000

// port returns an address with a port that is free for TCP and UDP.
func port() (string, error) {
	for range 100 {
		addr := net.JoinHostPort(loopback, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", &PortError{}
}

func (f *fleet) addDaemon(zone string, memoryMB int) (*daemon, error) {
	d := &daemon{name: "front-" + strconv.Itoa(len(f.daemons)+1)}
	for _, to := range []*string{&d.caller, &d.readiness, &d.directory, &d.peer} {
		addr, err := port()
		if err != nil {
			return nil, err
		}
		*to = addr
	}
	d.settings = filepath.Join(f.dir, d.name+".ini")
	text := fmt.Sprintf(`[daemon]
name = %s
data-centre = %s
region = review
first-start = false
memory-mb = %d
cores = 0.4

[listen]
caller = %s
readiness = %s
directory = %s
peer = %s

[store]
address = %s
reads = 2000

[bounds]
drain-ms = %d
apply-ms = 2000
grace-s = 8
hold-s = 5
stall-ms = 6000
load-window-s = 5
retry-ratio = 0.2
retry-slack = 132
retry-window-s = 10
beat-ms = %d

[log]
level = info
`, d.name, zone, memoryMB, d.caller, d.readiness, d.directory, d.peer, f.storeAddr, drain.Milliseconds(), beat.Milliseconds())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	f.daemons = append(f.daemons, d)
	return d, f.start(d)
}

func (f *fleet) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	d.cmd = exec.Command(f.program, "entry")
	d.cmd.Env = append(os.Environ(), "FLAMINGORUDDER_BOOT="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	d.done = make(chan struct{})
	d.ended.Store(false)
	cmd, done := d.cmd, d.done
	f.tasks.Go(func() error {
		_ = cmd.Wait() // its end is all that counts
		d.ended.Store(true)
		close(done)
		return log.Close()
	})
	f.write("%s started, pid %d", d.name, d.cmd.Process.Pid)
	return nil
}

// awaitReady waits until a daemon says that it is ready.
func (f *fleet) awaitReady(ctx context.Context, d *daemon) error {
	for end := time.Now().Add(startupTime); time.Now().Before(end); _ = timer.Wait(ctx, 50*time.Millisecond) {
		resp, err := http.Get("http://" + d.readiness + platform.ReadinessPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.write("%s ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// stop ends all processes and removes the folder of the run.
func (f *fleet) stop(keep bool) {
	for _, d := range f.daemons {
		if d.cmd != nil && d.cmd.Process != nil && !d.ended.Load() {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = f.tasks.Wait() // the run is over
	if keep {
		f.write("logs in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
