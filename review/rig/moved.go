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
	movedEvents = 10
	movedPause  = 280 * time.Millisecond
	// movedGap is the gap after which clients abandon a stream: the longest of two seconds, four times the objective of 500 ms and eight
	// times the pause of 300 ms.
	movedGap  = 2400 * time.Millisecond
	movedTime = 25 * time.Second
	// movedStreams of each of the two kinds are open at a time on average, and as many plain requests are sent as streams.
	movedPeriod = 250 * time.Millisecond
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
	for n := 1; n <= movedEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		if n < movedEvents && timer.Wait(r.Context(), movedPause) != nil {
			return
		}
	}
}

// moved has a version of the configuration move a streaming route to a service that runs no models. Its streams must still be served.
func moved(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 1, false)); err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range 3 {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, movedEvents, 1, movedPause)
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
			if strings.HasPrefix(r.URL.Path, "/talk/") {
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
	if trouble {
		config := modelConfig(2, 1, false)
		for _, r := range config["routes"].([]any) {
			if route := r.(map[string]any); route["name"] == "talk" {
				route["service"] = service
			}
		}
		if err := f.configure(config); err != nil {
			return false, err
		}
		f.write("version 2 moves the route talk to the service %s", service)
	}
	_ = timer.Wait(ctx, 3*time.Second) // longer than configApplyMs
	var streams, streamsServed, others, othersServed atomic.Int64
	var clients errgroup.Group
	for i, end := 0, time.Now().Add(movedTime); time.Now().Before(end); i++ {
		clients.Go(func() error {
			id := fmt.Sprintf("t%d", i)
			events, complete, err := follow(d.caller, "/talk/a", id, modelFields(fmt.Sprintf("%x", 1000+i)), movedGap)
			streams.Add(1)
			if complete && events == movedEvents {
				streamsServed.Add(1)
			}
			if i < 5 || !complete && i%20 == 0 {
				f.write("%s: %d of %d events, complete %v, error %v", id, events, movedEvents, complete, err)
			}
			return nil
		})
		clients.Go(func() error {
			others.Add(1)
			if r := talk(d.caller, "/write/a", fmt.Sprintf("w%d", i), "", 3*time.Second); r.status == http.StatusOK && r.complete {
				othersServed.Add(1)
			}
			return nil
		})
		_ = timer.Wait(ctx, movedPeriod)
	}
	_ = clients.Wait() // its tasks return no error
	f.write("streams: %d of %d served; other requests: %d of %d served", streamsServed.Load(), streams.Load(), othersServed.Load(), others.Load())
	share := float64(streamsServed.Load()) / float64(streams.Load())
	all := float64(streamsServed.Load()+othersServed.Load()) / float64(streams.Load()+others.Load())
	return share < all/4, nil
}
