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
	// midStreams are sent by midClients at once. One of the two servers breaks off one answer in midShare.
	midStreams = 400
	midClients = 8
	midShare   = 50
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

// midevent has backend servers of a plain service break off streams inside an event. A client must not get such a stream as a complete one.
func midevent(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	config := plainConfig(1)
	config["routes"] = append(config["routes"].([]any), streamingRoute("talk", service, false))
	if err := f.configure(config); err != nil {
		return false, err
	}
	for i := range 2 {
		s, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a")
		if err != nil {
			return false, err
		}
		var answers atomic.Int64
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			s.streamUnframed(w, r, trouble && i == 0 && answers.Add(1)%midShare == 0)
		}
	}
	d, err := f.addDaemon("zone-a", 284)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx, d); err != nil {
		return false, err
	}
	var clients errgroup.Group
	clients.SetLimit(midClients)
	var wrong, whole atomic.Int64
	for i := range midStreams {
		clients.Go(func() error {
			id := fmt.Sprintf("t%d", i)
			r := talk(d.caller, "/talk/a", id, "", 8*time.Second)
			got := strings.Count(r.body, "\n\n")
			if r.status == http.StatusOK && r.complete && got == midEvents {
				whole.Add(1)
				return nil
			}
			f.write("%s: status %d, signed %v, %d whole events of %d, ends with %q, looks complete: %v, error: %v", id, r.status, r.signed, got, midEvents, r.body[max(len(r.body)-12, 0):], r.complete, r.err)
			if r.status == http.StatusOK && r.complete {
				wrong.Add(1)
			}
			return nil
		})
	}
	_ = clients.Wait() // its tasks return no error
	if !trouble && whole.Load() < midStreams {
		return false, &NotServedError{midStreams - int(whole.Load())}
	}
	f.write("%d streams: %d served whole, %d ended inside an event and looked complete", midStreams, whole.Load(), wrong.Load())
	return wrong.Load() > 0, nil
}
