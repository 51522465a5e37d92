package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"flamingorudder.example/internal/timer"
)

const (
	stepsStreams = 40
	stepsEvents  = 10
)

// steps has sound backend servers number the events of a stream by the tokens so far, five for each event, in place of one by one.
func steps(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(modelConfig(1, 1, false)); err != nil {
		return false, err
	}
	step := 1
	if trouble {
		step = 5
	}
	var servers []*modelServer
	for i := range 3 {
		s, err := f.addModel(ctx, fmt.Sprintf("i-%d", i+1), "zone-a", func(s *modelServer, w http.ResponseWriter, r *http.Request) {
			s.events(w, r, stepsEvents, step, 30*time.Millisecond)
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
	_ = timer.Wait(ctx, time.Second) // the entries are read meanwhile
	closed, unserved := 0, 0
	for i := range stepsStreams {
		c, err := net.DialTimeout("tcp4", d.caller, time.Second)
		if err != nil {
			return false, fmt.Errorf("connect: %w", err)
		}
		from := bufio.NewReader(c)
		first := talkOn(c, from, "/write/a", fmt.Sprintf("w%d", i), "", 3*time.Second)
		r := talkOn(c, from, "/talk/a", fmt.Sprintf("t%d", i), modelFields(fmt.Sprintf("%x", 1000+i)), 6*time.Second)
		_ = c.Close()
		n := strings.Count(r.body, "\n\n")
		f.write("t%d, after an answer %d on the same connection: status %d, signed %v, %d of %d events, complete %v, error %v", i, first.status, r.status, r.signed, n, stepsEvents, r.complete, r.err)
		switch {
		case first.status == http.StatusOK && r.err != nil:
			closed++
		case r.status != http.StatusOK || !r.complete || n < stepsEvents:
			unserved++
		}
	}
	f.write("%d streams: %d closed on a kept connection without their answer, %d others not served", stepsStreams, closed, unserved)
	if !trouble && unserved > 0 {
		return false, &NotServedError{unserved}
	}
	return closed > 3, nil
}
