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
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	leavingServers = 8
	leavingClients = 32
	leavingEvents  = 40
	leavingTime    = 15 * time.Second
	// leavingSilence is how long a member that has left listens on: the drain time and a little longer.
	leavingSilence = 2300 * time.Millisecond
)

// leaving has a member, which is not the head of its group, leave without a report: its entry is removed. It stops listening after the drain time, but
// works for its head until the streams there have ended. The daemon that holds the lease is killed in between, and starts again. The streams of the
// head, at the other daemons, must go on.
func leaving(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 2, false)); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range leavingServers {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, leavingEvents, 1, 100*time.Millisecond)
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	for i := range 2 {
		if _, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a"); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := f.addDaemon("zone-a", 284); err != nil {
			return false, err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return false, err
		}
	}
	if err := awaitGroups(ctx, servers, leavingServers/2); err != nil {
		return false, err
	}
	_ = timer.Wait(ctx, 2*time.Second) // the entries are read meanwhile
	f.writeGroups(servers)
	holder, daemons, err := f.holder()
	if err != nil {
		return false, err
	}
	var sent, served, closed, others atomic.Int64
	var clients errgroup.Group
	end := time.Now().Add(leavingTime)
	for i := range leavingClients {
		clients.Go(func() error {
			d := daemons[i%len(daemons)]
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("t%d-%d", i, n)
				c, err := net.DialTimeout("tcp4", d.caller, time.Second)
				if err != nil {
					return err
				}
				from := bufio.NewReader(c)
				first := talkOn(c, from, "/write/a", "w"+id, "", 3*time.Second)
				r := talkOn(c, from, "/talk/a", id, modelFields(fmt.Sprintf("%x", 0x1000*(i+1)+n)), 8*time.Second)
				_ = c.Close()
				sent.Add(1)
				switch events := strings.Count(r.body, "\n\n"); {
				case r.status == http.StatusOK && r.complete && events == leavingEvents:
					served.Add(1)
				case r.err != nil && first.status == http.StatusOK:
					closed.Add(1)
					f.write("%s at %s: status %d, %d of %d events, then the connection ended: %v", id, d.name, r.status, events, leavingEvents, r.err)
				default:
					others.Add(1)
					f.write("%s at %s: status %d, error %v", id, d.name, r.status, r.err)
				}
			}
			return nil
		})
	}
	_ = timer.Wait(ctx, 5*time.Second)
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
		stop := timer.AfterFunc(leavingSilence, func() {
			f.write("%s stops listening, and works on for its head", s.id)
			_ = s.srv.Close() // only daemons ask it for something
		})
		defer stop()
		break
	}
	if trouble {
		_ = timer.Wait(ctx, 500*time.Millisecond)
		f.write("%s, which holds the lease, is killed", holder.name)
		_ = holder.cmd.Process.Kill() // it may have ended, which shows in the record
		<-holder.done
		if err := f.start(holder); err != nil {
			return false, err
		}
	}
	if err := clients.Wait(); err != nil {
		return false, err
	}
	f.writeGroups(servers)
	f.write("%d streams: %d served whole, %d closed on a kept connection without their answer, %d others", sent.Load(), served.Load(), closed.Load(), others.Load())
	if !trouble && served.Load() < sent.Load() {
		return false, &NotServedError{int(sent.Load() - served.Load())}
	}
	return closed.Load() > 3, nil
}

// NoHolderError reports that no daemon has taken the lease.
type NoHolderError struct{}

func (e *NoHolderError) Error() string { return "no daemon holds the lease" }

// holder returns the daemon that holds the lease, by its log, and the others.
func (f *fleet) holder() (holder *daemon, others []*daemon, err error) {
	for _, d := range f.daemons {
		text, err := os.ReadFile(filepath.Join(f.dir, d.name+".log"))
		if err != nil {
			return nil, nil, fmt.Errorf("read the log: %w", err)
		}
		if strings.Contains(string(text), "lease taken") {
			holder = d
		} else {
			others = append(others, d)
		}
	}
	if holder == nil {
		return nil, nil, &NoHolderError{}
	}
	return holder, others, nil
}
