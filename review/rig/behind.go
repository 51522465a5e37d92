package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	behindServers = 8
	behindClients = 32
	behindEvents  = 20
	behindTime    = 14 * time.Second
	// behindCut is how long the member is cut off.
	behindCut = 5 * time.Second
)

// behind cuts one member, which is not the head of its group, off from all daemons, with resets. It reaches the store and its head, so the group goes
// on, and so must the streams of its head, which nothing happens to.
func behind(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 2, false)); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range behindServers {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, behindEvents, 1, 100*time.Millisecond)
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
	if err := awaitGroups(ctx, servers, behindServers/2); err != nil {
		return false, err
	}
	_ = timer.Wait(ctx, 2*time.Second) // the entries are read meanwhile
	f.writeGroups(servers)
	var sent, served, closed, others atomic.Int64
	var clients errgroup.Group
	end := time.Now().Add(behindTime)
	for i := range behindClients {
		clients.Go(func() error {
			d := f.daemons[i%len(f.daemons)]
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("t%d-%d", i, n)
				c, err := net.DialTimeout("tcp4", d.caller, time.Second)
				if err != nil {
					return err
				}
				from := bufio.NewReader(c)
				first := talkOn(c, from, "/write/a", "w"+id, "", 3*time.Second)
				r := talkOn(c, from, "/talk/a", id, modelFields(fmt.Sprintf("%x", 0x1000*(i+1)+n)), 6*time.Second)
				_ = c.Close()
				sent.Add(1)
				switch events := strings.Count(r.body, "\n\n"); {
				case r.status == http.StatusOK && r.complete && events == behindEvents:
					served.Add(1)
				case r.err != nil && first.status == http.StatusOK:
					closed.Add(1)
					f.write("%s at %s: status %d, %d of %d events, then the connection ended: %v", id, d.name, r.status, events, behindEvents, r.err)
				default:
					others.Add(1)
					f.write("%s at %s: status %d, error %v", id, d.name, r.status, r.err)
				}
			}
			return nil
		})
	}
	_ = timer.Wait(ctx, 5*time.Second)
	if trouble {
		for _, s := range servers {
			s.mu.Lock()
			member := s.group != nil && s.group.Rank == 1
			s.mu.Unlock()
			if member {
				f.write("%s is cut off from all daemons, with resets", s.id)
				s.reset()
				_ = timer.Wait(ctx, behindCut)
				if err := s.listenAgain(); err != nil {
					return false, err
				}
				f.write("%s can be reached again", s.id)
				break
			}
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
