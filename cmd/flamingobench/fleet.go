package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// Failed reports a run that did not meet its checks.
type Failed struct{ Msg string }

func (e *Failed) Error() string { return e.Msg }

func failed(format string, args ...any) error { return &Failed{Msg: fmt.Sprintf(format, args...)} }

// daemonAddrs is one daemon in the file that the stand-ins write.
type daemonAddrs struct {
	Name     string         `json:"name"`
	Settings string         `json:"settings"`
	Caller   netip.AddrPort `json:"caller"`
	Operator netip.AddrPort `json:"operator"`
}

// addresses is the part of the stand-ins' file that this program needs.
type addresses struct {
	Control netip.AddrPort   `json:"control"`
	Daemons []daemonAddrs    `json:"daemons"`
	Engines []netip.AddrPort `json:"engines"`
	Plains  []netip.AddrPort `json:"plains"`
}

// speeds is how fast the stand-ins work. The script gives both programs the same values.
type speeds struct {
	First, Token, Load time.Duration
	// RosterLag is the age of the platform's list of instances.
	RosterLag time.Duration
}

// work is the time that a chat of some tokens takes on an engine that runs nothing else.
func (s speeds) work(tokens int) time.Duration {
	return s.First + time.Duration(max(tokens-1, 0))*s.Token
}

// fleet is a running fleet, as its run folder describes it.
type fleet struct {
	dir       string
	addrs     addresses
	cfg       note.Config
	speeds    speeds
	control   *http.Client
	engine    *engine.Client
	operators map[string]*operator.Client
}

// openFleet reads a run folder and the release note in force.
func openFleet(dir, noteFile string, s speeds) (*fleet, func(), error) {
	f := &fleet{dir: dir, speeds: s, operators: map[string]*operator.Client{}}
	b, err := os.ReadFile(filepath.Join(dir, "addresses.json"))
	if err != nil {
		return nil, nil, fmt.Errorf("read addresses: %w", err)
	}
	if err := json.Unmarshal(b, &f.addrs); err != nil {
		return nil, nil, fmt.Errorf("decode addresses: %w", err)
	}
	if err := f.addrs.check(); err != nil {
		return nil, nil, err
	}
	text, err := os.ReadFile(noteFile)
	if err != nil {
		return nil, nil, fmt.Errorf("read release note: %w", err)
	}
	n, err := note.Parse(noteFile, text)
	if err != nil {
		return nil, nil, err
	}
	if f.cfg, err = (note.Config{}).Apply(n); err != nil {
		return nil, nil, err
	}
	id, err := identity.Load(f.operatorFiles())
	if err != nil {
		return nil, nil, err
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 4}
	f.control = &http.Client{Transport: tr, Timeout: time.Minute}
	closers := []func(){tr.CloseIdleConnections}
	for _, d := range f.addrs.Daemons {
		c, closeClient := operator.Dial(d.Operator, id.ClientConfig("http/1.1"))
		f.operators[d.Name] = c
		closers = append(closers, closeClient)
	}
	// Each question to an engine opens a connection of its own: a kept one may be among those that went silent.
	f.engine = engine.NewClientWithTransport(&http.Transport{DisableKeepAlives: true})
	return f, func() {
		for _, c := range closers {
			c()
		}
	}, nil
}

// check refuses addresses outside the loopback interface: this program must never put load on anything else.
func (a addresses) check() error {
	list := slices.Concat(a.Engines, a.Plains, []netip.AddrPort{a.Control})
	for _, d := range a.Daemons {
		list = append(list, d.Caller, d.Operator)
	}
	for _, x := range list {
		if !x.Addr().IsLoopback() {
			return failed("address %s is not on the loopback interface", x)
		}
	}
	if len(a.Daemons) == 0 {
		return failed("addresses.json names no daemon")
	}
	return nil
}

func (f *fleet) operatorFiles() identity.Files {
	p := func(name string) string { return filepath.Join(f.dir, name) }
	return identity.Files{Authority: p("authority.pem"), Certificate: p("operator.pem"), Key: p("operator.key")}
}

func (f *fleet) orgs() []string { return slices.Sorted(maps.Keys(f.cfg.Organisations)) }

// model returns the model service; a deployment has one.
func (f *fleet) model() (string, note.ModelService) {
	for _, name := range slices.Sorted(maps.Keys(f.cfg.ModelServices)) {
		return name, f.cfg.ModelServices[name]
	}
	return "", note.ModelService{}
}

// workOf returns the name of the kind of work of a rank on a model service or, with plain set, on a plain service.
func (f *fleet) workOf(r note.Rank, plain bool) (string, note.WorkKind) {
	for _, name := range slices.Sorted(maps.Keys(f.cfg.WorkKinds)) {
		w := f.cfg.WorkKinds[name]
		if _, isPlain := f.cfg.PlainServices[w.Service]; w.Rank == r && isPlain == plain {
			return name, w
		}
	}
	return "", note.WorkKind{}
}

// slots is the number of requests that the groups of the model service run at once.
func (f *fleet) slots() int {
	_, m := f.model()
	return m.Copies * m.Slots
}

// once returns the route of a plain service that must not be repeated.
func (f *fleet) once(service string) string {
	for _, r := range f.cfg.PlainServices[service].Routes {
		if !r.Repeatable {
			return r.Path
		}
	}
	return ""
}

// fault changes the faults of a target: an instance, "platform", "domain:NAME" or "centre:NAME".
func (f *fleet) fault(ctx context.Context, target string, faults map[string]any) error {
	body := maps.Clone(faults)
	body["target"] = target
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode fault: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.addrs.Control.String()+"/control/fault", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("fault of %s: %w", target, err)
	}
	resp, err := f.control.Do(req)
	if err != nil {
		return fmt.Errorf("fault of %s: %w", target, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return failed("fault of %s: status %d: %s", target, resp.StatusCode, text)
	}
	return nil
}

// centres are the targets that together name every engine and plain service.
func (f *fleet) centres() []string {
	_, m := f.model()
	out := slices.Clone(m.DataCentres)
	for i := range out {
		out[i] = "centre:" + out[i]
	}
	return out
}

// record reads what the stand-ins really did.
func (f *fleet) record(ctx context.Context) (standin.Record, error) {
	var r standin.Record
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addrs.Control.String()+"/control/records", nil)
	if err != nil {
		return r, fmt.Errorf("read records: %w", err)
	}
	resp, err := f.control.Do(req)
	if err != nil {
		return r, fmt.Errorf("read records: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return r, fmt.Errorf("decode records: %w", err)
	}
	return r, nil
}

// states asks every engine what it has loaded; engines that do not answer are left out.
func (f *fleet) states(ctx context.Context) []engine.State {
	var out []engine.State
	for _, a := range f.addrs.Engines {
		c, stop := context.WithTimeout(ctx, time.Second)
		if s, err := f.engine.State(c, a); err == nil {
			out = append(out, s)
		}
		stop()
	}
	return out
}

// group is a model group as its engines report it, by index.
type group struct {
	Name       string
	Generation uint64
	Members    []string
	Addr       netip.AddrPort
}

// groups returns the complete groups, by name.
func (f *fleet) groups(ctx context.Context) []group {
	_, m := f.model()
	by := map[string]*group{}
	for _, a := range f.addrs.Engines {
		c, stop := context.WithTimeout(ctx, time.Second)
		s, err := f.engine.State(c, a)
		stop()
		if err != nil || !s.Loaded {
			continue
		}
		key := fmt.Sprintf("%s#%d", s.Group, s.Generation)
		if by[key] == nil {
			by[key] = &group{Name: s.Group, Generation: s.Generation, Members: make([]string, m.Instances)}
		}
		if s.Index < m.Instances {
			by[key].Members[s.Index] = s.Instance
		}
		if s.Index == 0 {
			by[key].Addr = a
		}
	}
	var out []group
	for _, key := range slices.Sorted(maps.Keys(by)) {
		if !slices.Contains(by[key].Members, "") {
			out = append(out, *by[key])
		}
	}
	return out
}

// domain is the fabric domain of an instance: the stand-ins name instances DOMAIN-NUMBER.
func domain(instance string) string {
	if i := strings.LastIndexByte(instance, '-'); i >= 0 {
		return instance[:i]
	}
	return instance
}

// pid reads the process id that the script recorded for a daemon.
func (f *fleet) pid(daemon string) (int, error) {
	b, err := os.ReadFile(filepath.Join(f.dir, daemon+".pid"))
	if err != nil {
		return 0, fmt.Errorf("read process id: %w", err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
	if err != nil || pid <= 1 {
		return 0, failed("%s.pid holds no process id", daemon)
	}
	return pid, nil
}

// signal sends a signal to a daemon. It checks first that the process is still the daemon that the script started, since
// the system may give the id of an ended process to another.
func (f *fleet) signal(daemon string, s syscall.Signal) error {
	pid, err := f.pid(daemon)
	if err != nil {
		return err
	}
	line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err != nil || !strings.Contains(string(line), daemon+".ini") {
		return failed("process %d is not daemon %s", pid, daemon)
	}
	if err := syscall.Kill(pid, s); err != nil {
		return fmt.Errorf("signal %s to %s: %w", s, daemon, err)
	}
	return nil
}

// restarted waits until the script has started a daemon again after old ended, and the daemon is ready.
func (f *fleet) restarted(ctx context.Context, d daemonAddrs, old int, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for {
		if pid, err := f.pid(d.Name); err == nil && pid != old && f.ready(ctx, d) {
			return nil
		}
		if err := timer.Wait(ctx, 50*time.Millisecond); err != nil {
			return failed("%s was not ready again within %v", d.Name, limit)
		}
	}
}

func (f *fleet) ready(ctx context.Context, d daemonAddrs) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Caller.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := f.control.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
