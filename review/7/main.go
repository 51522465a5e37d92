// Command case-7 lets heads of model groups leave without a report, as the platform's pages allow: their entry is removed, and they go on
// serving. It looks for streams from kept channels that are broken off meanwhile.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/review/stage"
)

const (
	machines = 2
	// runners is the number of model runners of a domain, size that of the members of a group.
	runners = 8
	size    = 2
	// leaving is the number of runners that leave, a quarter of all, apart the time between two of them.
	leaving = 2
	apart   = 4 * time.Second
	// consumers is the number of consumers of each machine. Each has one channel, which it keeps.
	consumers = 8
	// events is the number of events of an answer, gap the time between two.
	events = 25
	gap    = 100 * time.Millisecond
	// timeout is that of the route and of the consumers.
	timeout = 8 * time.Second
	// stable is stableWindowMs of the small installations.
	stable = 3 * time.Second
	// allowed is how many channels the rule lets a machine close.
	allowed = 3
)

func main() { stage.Main(check) }

// losses is the requests whose channel was closed before their answer was complete, by machine.
type losses struct {
	mu     sync.Mutex
	closed map[string][]string
	// looking is set from when they count.
	looking bool
}

func (l *losses) add(machine, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.looking {
		l.closed[machine] = append(l.closed[machine], id)
	}
}

func (l *losses) look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looking = true
}

func check(ctx context.Context, s *stage.Stage, trouble bool) (string, error) {
	if err := s.PutModelConfig(7, size, timeout); err != nil {
		return "", err
	}
	var engines []*stage.Engine
	for i := range runners {
		e, err := s.AddEngine(ctx, fmt.Sprintf("i-runner-%d", i), "rosario-a-d0", events, gap)
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	var daemons []*stage.Daemon
	for i := range machines {
		d, err := s.AddDaemon(fmt.Sprintf("front-rosario-a-%d", i+1), stage.Options{})
		if err != nil {
			return "", err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.AwaitReady(ctx); err != nil {
			return "", err
		}
	}
	if err := awaitGroups(ctx, engines); err != nil {
		return "", err
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	lost := &losses{closed: map[string][]string{}}
	var clients errgroup.Group
	for _, d := range daemons {
		for i := range consumers {
			clients.Go(func() error {
				for n := 0; asking.Err() == nil; n++ {
					keep(asking, s, d, fmt.Sprintf("%s.%d.%d", d.Name, i, n), lost)
					_ = timer.Wait(asking, gap) // the loop checks the context
				}
				return nil
			})
		}
	}
	if err := timer.Wait(ctx, 2*stable); err != nil {
		return "", err
	}
	lost.look()
	gone := map[*stage.Engine]bool{}
	for range leaving {
		if trouble {
			e, err := busiest(engines, gone)
			if err != nil {
				return "", err
			}
			gone[e] = true
			if err := e.Remove(ctx); err != nil {
				return "", err
			}
		}
		if err := timer.Wait(ctx, apart); err != nil {
			return "", err
		}
	}
	stop()
	_ = clients.Wait() // its tasks return no error
	for _, d := range daemons {
		if !d.Running() {
			return "", &stage.Error{Reason: d.Name + " has ended"}
		}
	}
	total, most := 0, 0
	for machine, ids := range lost.closed {
		total, most = total+len(ids), max(most, len(ids))
		s.Record.Printf("%s closed the channels of %d requests: %s", machine, len(ids), strings.Join(ids, " "))
	}
	if most > allowed {
		return fmt.Sprintf("%d kept channels were closed before the answers were complete, %d of them by one machine, of requests that sound runners worked on", total, most), nil
	}
	return "", nil
}

// awaitGroups waits until all groups that the runners suffice for are open, but for one.
func awaitGroups(ctx context.Context, engines []*stage.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for {
		open := 0
		for _, e := range engines {
			if group, _ := e.Serving(); group != "" {
				open++
			}
		}
		if open >= runners/size-1 {
			return nil
		}
		if timer.Wait(ctx, gap) != nil {
			return &stage.Error{Reason: fmt.Sprintf("only %d groups are open", open)}
		}
	}
}

// busiest returns the head that works on the most requests, of those that have not left.
func busiest(engines []*stage.Engine, gone map[*stage.Engine]bool) (best *stage.Engine, err error) {
	most := 0
	for _, e := range engines {
		if _, n := e.Serving(); n > most && !gone[e] {
			best, most = e, n
		}
	}
	if best == nil {
		return nil, &stage.Error{Reason: "no head works on a request"}
	}
	return best, nil
}

// keep sends requests on one channel, one after the other, until it is closed.
func keep(ctx context.Context, s *stage.Stage, d *stage.Daemon, prefix string, lost *losses) {
	c, err := net.DialTimeout("tcp4", d.Caller.String(), time.Second)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }() // the consumer leaves
	r := bufio.NewReader(c)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s.%d", prefix, n)
		_ = c.SetDeadline(time.Now().Add(timeout)) // fails only if the channel is closed
		_, err := io.WriteString(c, stage.Head("POST", stage.Talking, id, timeout)+
			"X-Flamingorudder-Model: "+stage.Model+"\r\nX-Flamingorudder-Token-Usage: 200,100\r\nX-Flamingorudder-Prompt-Prefix: 5c1e07a2:150,"+fmt.Sprintf("%x", time.Now().UnixNano())+":50\r\nContent-Length: 5\r\n\r\nhello")
		status, body := 0, ""
		if err == nil {
			status, body, err = answer(r)
		}
		s.Record.Printf("request %s, the %d. of its channel: status %d, %d of %d events, error %v", id, n+1, status, strings.Count(body, "data:"), events, err)
		if err != nil {
			if ctx.Err() == nil && n > 0 {
				lost.add(d.Name, id)
			}
			return
		}
	}
}

// answer reads an answer.
func answer(r *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the rest is given up with its channel
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
