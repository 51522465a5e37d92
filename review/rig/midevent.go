package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	midEvents = 10
	// midStreams are sent by midClients at once. One of the two servers of the plain service breaks off one answer in midShare.
	midStreams = 4000
	midClients = 32
	midShare   = 50
	// midTime is how long it does so.
	midTime = 5 * time.Second
	// midModels and midPlain are the parts of the route that go to the model service and to the plain one, and midServers the servers of the former.
	midModels, midPlain = 90, 10
	midServers          = 4
)

// NotServedError reports that requests were not served that nothing disturbed.
type NotServedError struct{ Requests int }

func (e *NotServedError) Error() string {
	return fmt.Sprintf("%d requests were not served whole", e.Requests)
}

// streamUnframed answers with a stream that has neither a length nor chunks and ends with its connection, after all events or inside one.
func (s *plainServer) streamUnframed(w http.ResponseWriter, r *http.Request, breakOff bool) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	s.run(id)
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Response-Signature: signed-by-%s\r\nConnection: close\r\n\r\n", id, s.id)
	for n := 1; n <= midEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if breakOff && n == midEvents/2 {
			_, _ = io.WriteString(c, event[:len(event)/2])
			return
		}
		_, _ = io.WriteString(c, event)
		_ = timer.Wait(context.Background(), 10*time.Millisecond) // does not end early
	}
}

// midevent has backend servers of a plain service break off streams inside an event. A part of a streaming route goes to that service, the rest to a
// model service, which is not disturbed. A client must not get such a stream as a complete one.
func midevent(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	config := modelConfig(1, 2, false)
	split := streamingRoute("split", "", false)
	delete(split, "service")
	split["trafficSplit"] = []any{map[string]any{"service": modelService, "weight": midModels}, map[string]any{"service": service, "weight": midPlain}}
	config["routes"] = append(config["routes"].([]any), split)
	if err := f.configure(config); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range midServers {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, midEvents, 1, time.Millisecond)
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	var plain, brokenOff, began atomic.Int64
	for i := range 2 {
		s, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a")
		if err != nil {
			return false, err
		}
		var answers atomic.Int64
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			plain.Add(1)
			began.CompareAndSwap(0, time.Now().UnixNano())
			breakOff := trouble && i == 0 && answers.Add(1)%midShare == 0 && time.Since(time.Unix(0, began.Load())) < midTime
			if breakOff {
				brokenOff.Add(1)
			}
			s.streamUnframed(w, r, breakOff)
		}
	}
	d, err := f.addDaemon("zone-a", 284)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx, d); err != nil {
		return false, err
	}
	if err := awaitGroups(ctx, servers, midServers/2); err != nil {
		return false, err
	}
	_ = timer.Wait(ctx, 2*time.Second) // the entries are read meanwhile
	var clients errgroup.Group
	clients.SetLimit(midClients)
	var wrong, whole, others atomic.Int64
	for i := range midStreams {
		clients.Go(func() error {
			id := fmt.Sprintf("t%d", i)
			r := talk(d.caller, "/split/a", id, modelFields(fmt.Sprintf("%x", 0x1000+i)), 8*time.Second)
			got := strings.Count(r.body, "\n\n")
			switch {
			case r.status == http.StatusOK && r.complete && got == midEvents:
				whole.Add(1)
				return nil
			case r.status == http.StatusOK && r.complete:
				wrong.Add(1)
			default:
				others.Add(1)
			}
			f.write("%s: status %d, signed %v, %d whole events of %d, ends with %q, looks complete: %v, error: %v", id, r.status, r.signed, got, midEvents, r.body[max(len(r.body)-12, 0):], r.complete, r.err)
			return nil
		})
	}
	_ = clients.Wait() // its tasks return no error
	if lost := midStreams - int(whole.Load()); !trouble && lost > midStreams/midShare {
		return false, &NotServedError{lost}
	}
	f.write("%d streams, %d of them at the plain service, which broke %d off: %d served whole, %d ended inside an event and looked complete, %d others", midStreams, plain.Load(), brokenOff.Load(), whole.Load(), wrong.Load(), others.Load())
	return wrong.Load() > 0, nil
}
