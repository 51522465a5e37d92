package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// bounds are those of a run; the daemons get the same in their settings.
var bounds = Bounds{
	RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second, Rollback: 250 * time.Millisecond, Apply: apply,
	Calm: 3 * time.Second, Recover: 8 * time.Second, Drain: drain, Grace: grace, Evacuate: evacuate, ColdLimit: coldLimit,
}

const (
	// startLimit bounds the time until the fleet serves the first requests.
	startLimit = 30 * time.Second
	// calm is how long the fleet runs without faults at the end, the time of recovery included.
	calm = 12 * time.Second
	// callers is how many callers there are, or callersEach for each daemon if that is more and the seed is from firstOfSilences on, and
	// callPause the mean time between two requests of one.
	callers     = 16
	callersEach = 2
	// slowReaders is how many more callers read their answers slowly from firstOfEvacuations on, readPause their pause before each part:
	// the longest answer then takes about 1.3 s, less than the limit of any route.
	slowReaders = 2
	readPause   = 30 * time.Millisecond
	callPause   = 60 * time.Millisecond
	// probePause is the time between two questions for the route of one version at each daemon.
	probePause = 150 * time.Millisecond
	// eventDelay is how late events are judged, so that those of different processes come in order.
	eventDelay = time.Second
	// callerLimit is how long a caller waits.
	callerLimit = 4 * time.Second
	// slowShare is one slow request in that many.
	slowShare = 12
	// uploadShare is one long upload in that many requests from firstOfBrokenAnswers on. An upload is longer than what all buffers between a
	// daemon and a backend server hold.
	uploadShare  = 4
	uploadLength = 900 << 10
	// restoreTime is how long the store is away before it comes back from a copy, and the operator needs to write again.
	restoreTime = 400 * time.Millisecond
)

// answerLimits is how long a request may take to get its answer, a little less than the time limit of its route at most.
var answerLimits = map[Kind]time.Duration{
	Read: plainLimit * 9 / 10, Write: plainLimit * 9 / 10, Talk: plainLimit * 9 / 10, Once: plainLimit * 9 / 10, Probe: probeLimit * 9 / 10,
	Feed: plainLimit * 9 / 10, FeedOnce: plainLimit * 9 / 10,
}

// run is a run under way.
type run struct {
	*fleet
	plan []Step
	out  io.Writer

	// operator is held while a configuration or an evacuation is stored, drill while the store is to come back from a copy, and
	// evacuation while a data centre is evacuated.
	operator, drill, evacuation sync.Mutex
	// evacuated is the data centre with a row in the store, if any. operator guards it.
	evacuated string
	auditMu   sync.Mutex
	audit     *Audit
	// version is the newest one that the store has acknowledged.
	version int
	late    []timed
}

// timed is something that backend servers told, to be judged in order.
type timed struct {
	at time.Time
	do func()
}

// Result is what came of a run.
type Result struct {
	Tally    Tally
	Faults   int
	Failures []string
}

// EndedError reports that a process ended that no fault ends.
type EndedError struct{ Process string }

func (e *EndedError) Error() string { return e.Process + " ended by itself; its log tells how" }

// Run starts a fleet, injects the faults of the seed, and checks the promises meanwhile. An error means that the run
// itself did not work.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, gctx := errgroup.WithContext(ctx)
	r := &run{
		fleet: newFleet(o),
		plan:  Plan(o.Seed, o.Length, o.Daemons, o.Servers), out: out, audit: NewAudit(bounds),
	}
	if o.Seed >= firstOfSilences {
		r.audit.b.Answer = answerLimits
	}
	judged, endJudging := context.WithCancel(context.WithoutCancel(ctx))
	defer endJudging()
	g.Go(func() error { return r.judge(judged) })
	err := r.play(gctx)
	r.stop()
	waited := r.g.Wait()
	// What was told last is judged too.
	if err == nil {
		err = timer.Wait(ctx, eventDelay+eventDelay/2)
	}
	endJudging()
	cancel()
	err = errors.Join(err, waited, g.Wait())
	r.auditMu.Lock()
	defer r.auditMu.Unlock()
	r.audit.Lost()
	return Result{r.audit.Count(time.Time{}, time.Now()), len(r.plan), r.audit.Failures}, err
}

// play is the run up to the end of the processes.
func (r *run) play(ctx context.Context) error {
	if err := r.startStore(ctx); err != nil {
		return err
	}
	store, closeStore := platform.NewStore(r.platform)
	defer closeStore()
	if err := r.configure(ctx, store); err != nil {
		return err
	}
	for i := range r.o.Servers {
		if err := r.addServer(i); err != nil {
			return err
		}
	}
	for i := range r.o.Daemons {
		if err := r.addDaemon(i); err != nil {
			return err
		}
	}
	if err := r.await(ctx); err != nil {
		return err
	}
	work, end := context.WithCancel(ctx)
	defer end()
	g, work := errgroup.WithContext(work)
	n := callers
	if r.o.Seed >= firstOfSilences {
		n = max(n, callersEach*r.o.Daemons)
	}
	quick := n
	if r.o.Seed >= firstOfEvacuations {
		n += slowReaders
	}
	for i := range n {
		g.Go(func() error { return r.call(work, i, i >= quick) })
	}
	for _, d := range r.daemons {
		g.Go(func() error { return r.probe(work, d) })
	}
	if r.o.Seed >= firstOfAll {
		g.Go(func() error { return r.disturb(work, store) })
	}
	g.Go(func() error {
		select {
		case <-work.Done():
			return nil
		case <-r.store.done:
			return &EndedError{r.store.name}
		}
	})
	g.Go(func() error {
		defer end()
		last, err := r.harm(work, store, r.plan)
		if err != nil {
			return err
		}
		if r.o.Seed >= firstOfAll {
			if err := timer.Wait(work, bounds.Calm); err != nil {
				return err
			}
			if _, err := r.harm(work, store, closing); err != nil {
				return err
			}
		}
		length := calm
		if r.o.Seed >= firstOfEvacuations {
			length += coldTime // a backend server that starts gets few requests until then
		}
		if err := timer.Wait(work, time.Until(last.Add(length))); err != nil {
			return err
		}
		r.auditMu.Lock()
		defer r.auditMu.Unlock()
		r.audit.Recovered(last, time.Now().Add(-callerLimit/2))
		var servers []string
		for _, s := range r.servers[:plains] {
			servers = append(servers, s.id())
		}
		r.audit.Followed(last.Add(bounds.Recover/2), servers)
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return ctx.Err()
}

// configure stores the next version of the configuration. Versions are stored one after the other, as operators do; one
// may be in force from when it is sent.
func (r *run) configure(ctx context.Context, store *platform.Store) error {
	r.operator.Lock()
	defer r.operator.Unlock()
	r.auditMu.Lock()
	n := r.version + 1
	r.audit.Configured(n)
	r.auditMu.Unlock()
	return r.write(ctx, store, n)
}

// write stores one version of the configuration. r.operator is held.
func (r *run) write(ctx context.Context, store *platform.Store, n int) error {
	text, err := platform.EncodeConfig(r.configuration(n))
	if err != nil {
		return fmt.Errorf("encode configuration %d: %w", n, err)
	}
	row := platform.Row{Table: platform.TableOperator, Key: platform.ConfigKey, Value: text}
	if _, err := store.Commit(ctx, platform.Tx{Write: []platform.Row{row}}); err != nil {
		return fmt.Errorf("store configuration %d: %w", n, err)
	}
	r.auditMu.Lock()
	defer r.auditMu.Unlock()
	r.version = n
	r.audit.Stored(time.Now(), n)
	return nil
}

// await waits until requests of every kind are served.
func (r *run) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for kind := range Probe {
		for n := 0; ; n++ {
			d := r.daemons[n%len(r.daemons)]
			reply := r.send(ctx, c, d.caller, fmt.Sprintf("start-%s-%d", kind, n), kind, "north", d.lifetime(), 0)
			if reply.Status == 200 && reply.Err == nil {
				break
			}
			if err := timer.Wait(ctx, callPause); err != nil {
				return fmt.Errorf("the fleet does not serve a %s within %v: %w", kind, startLimit, err)
			}
		}
	}
	return nil
}

// send sends one request and has its answer checked.
func (r *run) send(ctx context.Context, c *http.Client, addr netip.AddrPort, id string, kind Kind, org, daemon string, version int) fakeplatform.Reply {
	ask := fakeplatform.Ask{ID: id, Method: http.MethodGet, Host: host, Path: "/" + kind.String() + "/x?id=" + id, Key: "key-" + org, Left: callerLimit}
	if strings.HasPrefix(id, fakeplatform.BigPrefix) {
		ask.Pause = readPause
	}
	switch kind {
	case Write:
		ask.Method, ask.Body = http.MethodPost, []byte("body of "+id)
	case Talk, Once:
		ask.Method, ask.Body = http.MethodPost, []byte("prompt of "+id)
		ask.Model = models[int(fakeplatform.Sum([]byte(id)))%len(models)].Name
	case Feed, FeedOnce:
		ask.Method, ask.Body = http.MethodPost, []byte("topic of "+id)
	case Probe:
		ask.Path = "/" + versionRoute(version) + "/"
	case Read:
	}
	if r.o.Seed >= firstOfBrokenAnswers && len(ask.Body) > 0 && fakeplatform.Sum([]byte(id))%uploadShare == 0 {
		ask.Body = append(ask.Body, make([]byte, uploadLength)...)
	}
	r.auditMu.Lock()
	r.audit.Sent(time.Now(), ask, kind, org, daemon, version)
	r.auditMu.Unlock()
	reply := ask.Do(ctx, c, addr)
	if ctx.Err() != nil && reply.Err != nil {
		return reply // the run ends
	}
	r.auditMu.Lock()
	defer r.auditMu.Unlock()
	r.audit.Answered(time.Now(), id, reply)
	return reply
}

// call is one caller. It keeps its connections until the daemon is gone from the addresses that it is told, or fails it. Every
// second caller, or all of them, stay with one daemon and its open connection until the process is gone, whatever the addresses say. A
// slow one asks for large answers and reads them slowly.
func (r *run) call(ctx context.Context, place int, slow bool) error {
	rnd := rand.New(rand.NewPCG(r.o.Seed, uint64(place)+1))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer c.CloseIdleConnections()
	var addrs []netip.AddrPort
	var until time.Time
	org := [...]string{"north", "south"}[place%2]
	kinds := []Kind{Read, Write, Talk, Talk}
	if r.o.Seed >= firstOfSilences {
		kinds = append(kinds, Once)
	}
	if r.o.Seed >= firstOfFeeds {
		kinds = append(kinds, Feed, FeedOnce)
	}
	stays := place/2%2 == 1 || r.o.Seed >= firstOfSilences
	var kept netip.AddrPort // the daemon that the caller stays with
	for n := 0; ; n++ {
		if err := timer.Wait(ctx, time.Duration(rnd.ExpFloat64()*float64(callPause))); err != nil {
			return err
		}
		if time.Now().After(until) {
			d := r.daemons[rnd.IntN(len(r.daemons))]
			told, hold, err := fakeplatform.Resolve(ctx, c, d.directory, host, r.dataCentre(place))
			if err == nil && len(told) > 0 {
				addrs, until = told, time.Now().Add(hold)
			}
		}
		if len(addrs) == 0 {
			continue
		}
		addr := addrs[rnd.IntN(len(addrs))]
		if stays && kept.IsValid() {
			addr = kept
		}
		id := fmt.Sprintf("c%d-%d", place, n)
		kind := kinds[rnd.IntN(len(kinds))]
		switch {
		case slow:
			id = fakeplatform.BigPrefix + id
		case r.o.Seed >= firstOfAll && n%slowShare == 0 && kind != Read:
			id = fakeplatform.SlowPrefix + id
		}
		reply := r.send(ctx, c, addr, id, kind, org, r.at(addr), 0)
		if kept = addr; reply.Err != nil {
			kept = netip.AddrPort{}
		}
		switch {
		case reply.Err != nil && len(addrs) > 1:
			addrs = slices.DeleteFunc(slices.Clone(addrs), func(a netip.AddrPort) bool { return a == addr })
		case reply.ComeBack > 0:
			if err := timer.Wait(ctx, min(reply.ComeBack, callerLimit/3)); err != nil {
				return err
			}
		}
	}
}

// at returns the lifetime of the daemon at an address.
func (r *run) at(addr netip.AddrPort) string {
	for _, d := range r.daemons {
		if d.caller == addr {
			return d.lifetime()
		}
	}
	return ""
}

// probe asks one daemon for the routes of the newest version and of the one before.
func (r *run) probe(ctx context.Context, d *daemon) error {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for n := 0; ; n++ {
		if err := timer.Wait(ctx, probePause); err != nil {
			return err
		}
		r.auditMu.Lock()
		version := max(r.version-n%2, 1)
		r.auditMu.Unlock()
		life := d.lifetime()
		r.send(ctx, c, d.caller, fmt.Sprintf("p-%s-%d", life, n), Probe, "north", life, version)
	}
}

// judge gives the audit what backend servers tell, in the order of time.
func (r *run) judge(ctx context.Context) error {
	tick, stop := timer.Every(eventDelay/4, 0)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			r.settle(time.Now())
			return nil
		case e := <-r.events:
			r.late = append(r.late, timed{e.At, func() { r.audit.Event(e) }})
		case id := <-r.gone:
			r.late = append(r.late, timed{time.Now(), func() { r.audit.Gone(id) }})
		case p := <-r.ended:
			r.late = append(r.late, timed{time.Now(), func() { r.audit.Ended(p.name, p.cmd.ProcessState.String()) }})
		case now := <-tick:
			r.settle(now.Add(-eventDelay))
		}
	}
}

func (r *run) settle(until time.Time) {
	slices.SortStableFunc(r.late, func(a, b timed) int { return a.at.Compare(b.at) })
	r.auditMu.Lock()
	defer r.auditMu.Unlock()
	n := 0
	for ; n < len(r.late) && !r.late[n].at.After(until); n++ {
		r.late[n].do()
	}
	r.late = r.late[n:]
	r.audit.Budget(until)
}

// harm carries out faults and returns when the last one ended.
func (r *run) harm(ctx context.Context, store *platform.Store, steps []Step) (time.Time, error) {
	began := time.Now()
	_, _ = fmt.Fprintln(r.out, "faults from", began.Format(time.RFC3339Nano)) // the run does not depend on its report
	var g errgroup.Group
	for _, s := range steps {
		if err := timer.Wait(ctx, time.Until(began.Add(s.At))); err != nil {
			return time.Time{}, err
		}
		_, _ = fmt.Fprintln(r.out, s)
		g.Go(func() error { return r.inject(ctx, store, s) })
	}
	err := g.Wait()
	return time.Now(), err
}

// inject carries out one fault and ends it.
func (r *run) inject(ctx context.Context, store *platform.Store, s Step) error {
	daemon, process := "", ""
	switch s.Fault {
	case KillDaemon, StopDaemon, PauseDaemon, HarmStore, CutDaemon, SilencePath:
		daemon = r.daemons[s.Target].name
		process = daemon
	case PauseServer, HarmServer, SilenceServer:
		process = r.servers[s.Target].id()
	case PauseStore:
		process = r.store.name
	default:
	}
	if !s.Fault.planned() && s.Fault != RestoreStore {
		defer r.note(r.audit.Trouble, daemon)()
	}
	switch s.Fault {
	case SilencePath:
		defer r.note(r.audit.Quiet, daemon)()
	case HarmStore, PauseStore:
		defer r.note(r.audit.storeLost.begin, daemon)()
	default:
	}
	if process != "" || s.Fault == KillAll {
		defer r.note(r.audit.Touched, process)()
	}
	switch s.Fault {
	case KillDaemon, StopDaemon, KillAll:
		list := r.daemons[s.Target : s.Target+1]
		if s.Fault == KillAll {
			list = r.daemons
		}
		var g errgroup.Group
		for _, d := range list {
			g.Go(func() error { return r.restartDaemon(ctx, d, s) })
		}
		return g.Wait()
	case PauseDaemon:
		return pause(ctx, r.daemons[s.Target].process(), s.For)
	case ReloadDaemon:
		r.daemons[s.Target].process().signal(syscall.SIGHUP)
	case KillServer, DrainServer:
		return r.restartServer(ctx, r.servers[s.Target], s)
	case PauseServer, SilenceServer:
		if s.Harm == Drop {
			return harmFor(ctx, r.servers[s.Target].front(), s)
		}
		return pause(ctx, r.servers[s.Target].process(), s.For)
	case PauseStore:
		return pause(ctx, r.store, s.For)
	case HarmStore:
		return harmFor(ctx, r.daemons[s.Target].store, s)
	case HarmServer:
		return harmFor(ctx, r.servers[s.Target].front(), s)
	case CutDaemon, SilencePath:
		return r.cutOff(ctx, r.daemons[s.Target], s)
	case Configure:
		return r.configure(ctx, store)
	case RestoreStore:
		return r.restore(ctx, store, s.For)
	case Evacuate:
		return r.evacuate(ctx, store, s)
	case CoolServer:
		r.servers[s.Target].process().signal(syscall.SIGUSR1)
	}
	return nil
}

// evacuate evacuates a data centre for a while, unless one is. Its backend servers may be cold when that ends.
func (r *run) evacuate(ctx context.Context, store *platform.Store, s Step) error {
	if !r.evacuation.TryLock() {
		return nil
	}
	defer r.evacuation.Unlock()
	dc := r.dataCentre(s.Target)
	r.operator.Lock()
	defer r.operator.Unlock()
	r.evacuated = dc
	if err := r.writeEvacuations(ctx, store); err != nil {
		return err
	}
	end := r.note(r.audit.evacuations.begin, dc)
	r.operator.Unlock()
	err := timer.Wait(ctx, s.For)
	for _, sv := range r.servers {
		if s.Cold && sv.dataCentre == dc {
			sv.process().signal(syscall.SIGUSR1)
		}
	}
	r.operator.Lock()
	if err != nil {
		return err
	}
	end()
	r.evacuated = ""
	return r.writeEvacuations(ctx, store)
}

// writeEvacuations makes the rows in the store those that the operator wants, whatever is there. r.operator is held.
func (r *run) writeEvacuations(ctx context.Context, store *platform.Store) error {
	var tx platform.Tx
	for i := range dataCentres {
		row := platform.Row{Table: platform.TableOperator, Key: platform.EvacuationKey(r.dataCentre(i)), Value: []byte("{}")}
		if r.dataCentre(i) == r.evacuated {
			tx.Write = append(tx.Write, row)
		} else {
			tx.Remove = append(tx.Remove, row)
		}
	}
	if _, err := store.Commit(ctx, tx); err != nil {
		return fmt.Errorf("store evacuations: %w", err)
	}
	return nil
}

// restore has the store go away for a moment and come back from a copy. The operator then writes its configuration again, and
// backend servers their entries.
func (r *run) restore(ctx context.Context, store *platform.Store, age time.Duration) error {
	if !r.drill.TryLock() {
		return nil // another is under way
	}
	defer r.drill.Unlock()
	if err := r.tellStore(ctx, "copy"); err != nil {
		return err
	}
	if err := timer.Wait(ctx, age); err != nil {
		return err
	}
	r.operator.Lock()
	defer r.operator.Unlock()
	// Until the operator has written again, the store may lack an evacuation.
	defer r.note(r.audit.storeLost.begin, "")()
	endTrouble, endTouched := r.note(r.audit.Trouble, ""), r.note(r.audit.Touched, r.store.name)
	err := pause(ctx, r.store, restoreTime)
	if err == nil {
		err = r.tellStore(ctx, "restore")
	}
	endTrouble()
	endTouched()
	if err != nil {
		return err
	}
	if err := timer.Wait(ctx, restoreTime); err != nil {
		return err
	}
	if r.o.Seed >= firstOfEvacuations {
		if err := r.writeEvacuations(ctx, store); err != nil {
			return err
		}
	}
	return r.write(ctx, store, r.version)
}

// tellStore has the store keep a copy of itself, or come back from it.
func (r *run) tellStore(ctx context.Context, what string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.platform.String()+"/"+what, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("have the store %s: %w", what, err)
	}
	return resp.Body.Close()
}

// oddEntries are what another writer left among the entries of backend servers. None names a server to use.
var oddEntries = []string{
	strings.Repeat("[", 60000),
	`{"service":"desk","state":"ready","slots":16,"address":"127.0.0.1:70000"}`,
	`{"service":"desk","state":"ready","slots":1e30,"sequence":1e400,"address":"127.0.0.1:9"}`,
	`{"service":"odd","state":"ready","slots":16,"address":"127.0.0.1:9","domain":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
	`{"service":"desk","state":"odd","address":"127.0.0.1:9","group":{"rank":-9e18,"members":{}}}`,
}

// oddBeats is how often an odd entry is renewed before another takes its place.
const oddBeats = 4

// disturb keeps an odd entry in the store.
func (r *run) disturb(ctx context.Context, store *platform.Store) error {
	for i := 0; ; i++ {
		row := platform.Row{Table: platform.TableServers, Key: "odd", Value: []byte(oddEntries[i/oddBeats%len(oddEntries)])}
		// A write that fails is made up for by the next.
		_, _ = store.Commit(ctx, platform.Tx{Write: []platform.Row{row}})
		if err := timer.Wait(ctx, r.beat); err != nil {
			return err
		}
	}
}

// note tells the audit that a fault begins. The function that it returns tells its end.
func (r *run) note(begin func(time.Time, string) func(time.Time), name string) func() {
	r.auditMu.Lock()
	defer r.auditMu.Unlock()
	end := begin(time.Now(), name)
	return func() {
		r.auditMu.Lock()
		defer r.auditMu.Unlock()
		end(time.Now())
	}
}

// pause stops a process for a while. Pauses may overlap; the first end of one continues the process.
func pause(ctx context.Context, p *process, length time.Duration) error {
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	return timer.Wait(ctx, length)
}

func harmFor(ctx context.Context, p *Proxy, s Step) error {
	p.Set(s.Harm)
	defer p.Set(Clear)
	return timer.Wait(ctx, s.For)
}

// cutOff takes the way to all backend servers from a daemon for a while. Cuts of one daemon may overlap; the first end of one ends
// them all.
func (r *run) cutOff(ctx context.Context, d *daemon, s Step) error {
	set := func(h Harm) {
		r.cuts.set(d.name, h)
		for _, sv := range r.servers {
			sv.front().cut(d.name)
		}
	}
	set(s.Harm)
	defer set(Clear)
	return timer.Wait(ctx, s.For)
}

// restartDaemon ends a daemon, by a request to stop or by force, and starts it again later.
func (r *run) restartDaemon(ctx context.Context, d *daemon, s Step) error {
	p, release := d.claim()
	defer release()
	if p == nil {
		return nil // it is down already
	}
	if s.Fault == StopDaemon {
		r.auditMu.Lock()
		r.audit.Stopped(time.Now(), d.lifetime())
		r.auditMu.Unlock()
		p.signal(syscall.SIGTERM)
		stopping, cancel := context.WithTimeout(ctx, grace)
		defer cancel()
		select {
		case <-p.done:
		case <-stopping.Done():
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	p.signal(syscall.SIGKILL)
	<-p.done
	if err := timer.Wait(ctx, s.For); err != nil {
		return err
	}
	return r.startDaemon(d)
}

// restartServer ends a backend server and starts another in its place later.
func (r *run) restartServer(ctx context.Context, sv *server, s Step) error {
	p, release := sv.claim()
	defer release()
	if p == nil {
		return nil // it is down already
	}
	if s.Fault == DrainServer {
		p.signal(syscall.SIGTERM)
	} else {
		p.signal(syscall.SIGKILL)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := timer.Wait(ctx, s.For); err != nil {
		return err
	}
	sv.front().release()
	return r.startServer(sv)
}
