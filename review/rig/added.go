package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	addedEvents = 10
	addedPause  = 280 * time.Millisecond
	// addedGap is the gap after which clients abandon a stream: the longest of two seconds, four times the objective of 500 ms and eight
	// times the pause of 300 ms.
	addedGap  = 2400 * time.Millisecond
	addedTime = 25 * time.Second
	// addedPeriod is the time between two requests on the added route, and on the first ones.
	addedPeriod = 250 * time.Millisecond
)

// follow sends a request for a stream and reads it until it ends, or until there was no byte for gap. It reports how many whole events came and
// whether the stream looks complete.
func follow(addr, path, id, fields string, gap time.Duration) (events int, complete bool, err error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Deadline-Ms: 8000\r\n%sContent-Length: 2\r\n\r\nhi", path, host, key, id, fields)
	_ = c.SetReadDeadline(time.Now().Add(gap))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	b := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(gap))
		n, err := resp.Body.Read(b)
		text.Write(b[:n])
		if err == nil {
			continue
		}
		complete := err == io.EOF && resp.StatusCode == http.StatusOK //nolint:errorlint // Read returns it as it is
		return strings.Count(text.String(), "\n\n"), complete, err
	}
}

// stream answers with events at the pace of an engine.
func (s *plainServer) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Flamingorudder-Request-Id")
	s.run(id)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Flamingorudder-Response-Signature", "signed-by-"+s.id)
	for n := 1; n <= addedEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		if n < addedEvents && timer.Wait(r.Context(), addedPause) != nil {
			return
		}
	}
}

// added has a version of the configuration add a streaming route to a service that runs no models. Its streams must be served as often as the
// requests on the first routes. Without trouble, the route leads to the model service.
func added(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 1, false)); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range 3 {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, addedEvents, 1, addedPause)
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	for i := range 3 {
		s, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a")
		if err != nil {
			return false, err
		}
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/chat/") {
				s.stream(w, r)
				return
			}
			s.answer(w, r)
		}
	}
	d, err := f.addDaemon("zone-a", 284)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx, d); err != nil {
		return false, err
	}
	if err := awaitGroups(ctx, servers, 2); err != nil {
		return false, err
	}
	to := modelService
	if trouble {
		to = service
	}
	config := modelConfig(2, 1, false)
	config["routes"] = append(config["routes"].([]any), streamingRoute("chat", to, false))
	if err := f.configure(config); err != nil {
		return false, err
	}
	f.write("version 2 adds the streaming route chat to the service %s", to)
	_ = timer.Wait(ctx, 3*time.Second) // longer than configApplyMs
	var late, lateServed, first, firstServed atomic.Int64
	var clients errgroup.Group
	for i, end := 0, time.Now().Add(addedTime); time.Now().Before(end); i++ {
		stream := func(route string, sent, served *atomic.Int64) error {
			id := fmt.Sprintf("%s%d", route, i)
			events, complete, err := follow(d.caller, "/"+route+"/a", id, modelFields(fmt.Sprintf("%x", 1000+i)), addedGap)
			sent.Add(1)
			if complete && events == addedEvents {
				served.Add(1)
			}
			if i < 5 || i%20 == 0 {
				f.write("%s: %d of %d events, complete %v, error %v", id, events, addedEvents, complete, err)
			}
			return nil
		}
		clients.Go(func() error { return stream("chat", &late, &lateServed) })
		if i%2 == 0 {
			clients.Go(func() error { return stream("talk", &first, &firstServed) })
		} else {
			clients.Go(func() error {
				first.Add(1)
				if r := talk(d.caller, "/write/a", fmt.Sprintf("w%d", i), "", 3*time.Second); r.status == http.StatusOK && r.complete {
					firstServed.Add(1)
				}
				return nil
			})
		}
		_ = timer.Wait(ctx, addedPeriod)
	}
	_ = clients.Wait() // its tasks return no error
	f.write("added route: %d of %d served; first routes: %d of %d served", lateServed.Load(), late.Load(), firstServed.Load(), first.Load())
	share := func(served, sent *atomic.Int64) float64 { return float64(served.Load()) / float64(sent.Load()) }
	return late.Load() >= 20 && share(&lateServed, &late) < share(&firstServed, &first)/4, nil
}
