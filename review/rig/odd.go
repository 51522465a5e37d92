package main

import (
	"bufio"
	"context"
	"encoding/json"
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
	// oddServers is one more than three groups of two need.
	oddServers = 7
	oddClients = 24
	oddEvents  = 20
	oddTime    = 14 * time.Second
)

// odd has another writer leave an entry of the head of a group that lacks a field. It names no backend server, and the others hold, so no member may be
// told to join another group while the head of its group is open.
func odd(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 2, false)); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range oddServers {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, oddEvents, 1, 100*time.Millisecond)
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
	if err := awaitGroups(ctx, servers, 3); err != nil {
		return false, err
	}
	_ = timer.Wait(ctx, 2*time.Second) // the entries are read meanwhile
	f.writeGroups(servers)
	var sent, served, closed, refused atomic.Int64
	var clients errgroup.Group
	end := time.Now().Add(oddTime)
	for i := range oddClients {
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
				case r.status == http.StatusOK && r.complete && events == oddEvents:
					served.Add(1)
				case r.err != nil && first.status == http.StatusOK:
					closed.Add(1)
					f.write("%s at %s: status %d, %d of %d events, then the connection ended: %v", id, d.name, r.status, events, oddEvents, r.err)
				default:
					refused.Add(1)
					f.write("%s at %s: status %d, error %v", id, d.name, r.status, r.err)
				}
			}
			return nil
		})
	}
	_ = timer.Wait(ctx, 5*time.Second)
	if trouble {
		f.writeOdd(ctx, servers)
	}
	if err := clients.Wait(); err != nil {
		return false, err
	}
	f.writeGroups(servers)
	f.write("%d streams: %d served whole, %d closed on a kept connection without their answer, %d others", sent.Load(), served.Load(), closed.Load(), refused.Load())
	if !trouble && served.Load() < sent.Load() {
		return false, &NotServedError{int(sent.Load() - served.Load())}
	}
	f.write("%d joins were taken while the head of the member's group was open", f.doubled.Load())
	return f.doubled.Load() > 0, nil
}

// writeOdd writes the entry of a head again after a heartbeat, without one of its fields. The head replaces it with the next heartbeat.
func (f *fleet) writeOdd(ctx context.Context, servers []*modelServer) {
	for _, s := range servers {
		s.mu.Lock()
		beats, head := s.beats, s.group != nil && s.group.Rank == 0 && s.group.State == "open"
		s.mu.Unlock()
		if !head {
			continue
		}
		var entry map[string]any
		for renewed := false; !renewed && timer.Wait(ctx, 10*time.Millisecond) == nil; {
			s.mu.Lock()
			entry, renewed = s.entry(), s.beats != beats
			s.mu.Unlock()
		}
		delete(entry, "born")
		text, _ := json.Marshal(entry) // never fails
		f.store.Put("servers", s.id, text)
		f.write("another writer leaves the row servers/%s: %s", s.id, text)
		return
	}
}

func (f *fleet) writeGroups(servers []*modelServer) {
	for _, s := range servers {
		s.mu.Lock()
		f.write("%s: group %+v, %d orders", s.id, s.group, s.orders)
		s.mu.Unlock()
	}
}
