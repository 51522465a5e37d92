package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	leavingServers = 8
	leavingClients = 64
	// leavingEvents and leavingPause make streams of 7 s. The pause is shorter than the targetGapMs of the route.
	leavingEvents = 28
	leavingPause  = 250 * time.Millisecond
	leavingTime   = 20 * time.Second
	// leavingStart is how long after the clients the first daemon is stopped. Each client's second stream begins shortly before the member leaves.
	leavingStart = 4900 * time.Millisecond
	// leavingSilence is how long a member that has left listens on: the drain time and a little longer.
	leavingSilence = 2300 * time.Millisecond
	// restartTime is how long a daemon that was stopped stays down, restartGap the time from its return to the next stop.
	restartTime = time.Second
	restartGap  = 1300 * time.Millisecond
)

// outcomes counts the streams at one daemon.
type outcomes struct{ sent, served, closed, others int }

// leaving has a member, which is not the head of its group, leave without a report: its entry is removed. It stops listening after the drain time, but
// works for its head until the streams there have ended. Two daemons are stopped and started again in turn: the first is down when the entry is
// removed, the second holds the lease. The streams at the daemon that is not stopped must go on.
func leaving(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	servers, err := f.startLeaving(ctx)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	counts := map[string]*outcomes{}
	for _, d := range f.daemons {
		counts[d.name] = &outcomes{}
	}
	var clients errgroup.Group
	end := time.Now().Add(leavingTime)
	for i := range leavingClients {
		d := f.daemons[1+i%2]
		clients.Go(func() error {
			wait := time.Duration(0)
			for n := 0; timer.Wait(ctx, wait) == nil && time.Now().Before(end); n++ {
				wait = 0
				if !f.streamAfterWrite(d, fmt.Sprintf("t%d-%d", i, n), fmt.Sprintf("%x", 0x1000*(i+1)+n), &mu, counts[d.name]) {
					wait = 300 * time.Millisecond // the daemon is being stopped
				}
			}
			return nil
		})
	}
	_ = timer.Wait(ctx, leavingStart)
	first := f.daemons[0]
	if trouble {
		f.stopDaemon(first)
	}
	removeMember(f, servers)
	stopped := ""
	if trouble {
		_ = timer.Wait(ctx, restartTime)
		if err := f.startAgain(ctx, first); err != nil {
			return false, err
		}
		_ = timer.Wait(ctx, restartGap)
		holder, err := f.holder()
		if err != nil {
			return false, err
		}
		f.write("%s holds the lease", holder.name)
		stopped = holder.name
		f.stopDaemon(holder)
		_ = timer.Wait(ctx, restartTime)
		if err := f.startAgain(ctx, holder); err != nil {
			return false, err
		}
	}
	_ = clients.Wait() // its tasks return no error
	f.writeGroups(servers)
	closed, lost := 0, 0
	for _, d := range f.daemons[1:] {
		n := counts[d.name]
		f.write("%s: %d streams: %d served whole, %d closed on a kept connection without their answer, %d others", d.name, n.sent, n.served, n.closed, n.others)
		if d.name != stopped {
			closed += n.closed
			lost += n.sent - n.served
		}
	}
	if !trouble && lost > 0 {
		return false, &NotServedError{lost}
	}
	return closed > 3, nil
}

// startLeaving starts the servers and the daemons, and waits for the groups.
func (f *fleet) startLeaving(ctx context.Context) (servers []*modelServer, err error) {
	if err := f.configure(modelConfig(1, 2, false)); err != nil {
		return nil, err
	}
	for i := range leavingServers {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, leavingEvents, 1, leavingPause)
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	for i := range 2 {
		if _, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a"); err != nil {
			return nil, err
		}
	}
	for range 3 {
		if _, err := f.addDaemon("zone-a", 284); err != nil {
			return nil, err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return nil, err
		}
	}
	if err := awaitGroups(ctx, servers, leavingServers/2); err != nil {
		return nil, err
	}
	_ = timer.Wait(ctx, 2*time.Second) // the entries are read meanwhile
	f.writeGroups(servers)
	return servers, nil
}

// streamAfterWrite sends a request to the plain service and then, on the same connection, one for a stream. It reports whether the daemon took
// both; one that is being stopped does not.
func (f *fleet) streamAfterWrite(d *daemon, id, session string, mu *sync.Mutex, n *outcomes) bool {
	c, err := net.DialTimeout("tcp4", d.caller, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	from := bufio.NewReader(c)
	first := talkOn(c, from, "/write/a", "w"+id, "", 3*time.Second)
	if first.status != http.StatusOK || first.err != nil {
		return false
	}
	r := talkOn(c, from, "/talk/a", id, modelFields(session), 8*time.Second)
	mu.Lock()
	defer mu.Unlock()
	n.sent++
	switch events := strings.Count(r.body, "\n\n"); {
	case r.status == http.StatusOK && r.complete && events == leavingEvents:
		n.served++
	case r.status == http.StatusOK && r.err != nil:
		n.closed++
		f.write("%s at %s: status %d, %d of %d events, then the connection ended: %v", id, d.name, r.status, events, leavingEvents, r.err)
	default:
		n.others++
		f.write("%s at %s: status %d, error %v", id, d.name, r.status, r.err)
		return false
	}
	return true
}

// removeMember has one server leave that is a member of a group, and not its head.
func removeMember(f *fleet, servers []*modelServer) {
	for _, s := range servers {
		s.mu.Lock()
		member := s.group != nil && s.group.Rank == 1
		s.left = member
		s.mu.Unlock()
		if !member {
			continue
		}
		f.store.Remove("servers", s.id)
		f.write("%s leaves: its entry is removed", s.id)
		timer.AfterFunc(leavingSilence, func() {
			f.write("%s stops listening, and works on for its head", s.id)
			_ = s.srv.Close() // only daemons ask it for something
		})
		return
	}
}

// stopDaemon stops a daemon as operators do, and waits until it has ended.
func (f *fleet) stopDaemon(d *daemon) {
	f.write("%s gets SIGTERM", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM) // it may have ended, which shows in the record
	<-d.done
	f.write("%s has ended", d.name)
}

// startAgain starts a daemon that has ended, and waits until it is ready.
func (f *fleet) startAgain(ctx context.Context, d *daemon) error {
	if err := f.start(d); err != nil {
		return err
	}
	return f.awaitReady(ctx, d)
}

// NoHolderError reports that no daemon has taken the lease.
type NoHolderError struct{}

func (e *NoHolderError) Error() string { return "no daemon holds the lease" }

// holder returns the daemon that took the lease last, by the logs.
func (f *fleet) holder() (holder *daemon, err error) {
	latest := ""
	for _, d := range f.daemons {
		text, err := os.ReadFile(filepath.Join(f.dir, d.name+".log"))
		if err != nil {
			return nil, fmt.Errorf("read the log: %w", err)
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"lease taken"`) {
				continue
			}
			if _, at, _ := strings.Cut(line, `"@timestamp":"`); at > latest {
				holder, latest = d, at
			}
		}
	}
	if holder == nil {
		return nil, &NoHolderError{}
	}
	return holder, nil
}
