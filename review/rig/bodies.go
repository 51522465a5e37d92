package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	bodiesConns = 1600
	bodiesTime  = 30 * time.Second
)

// bodies has clients hold chunked bodies open. Ordinary clients must still get answers.
func bodies(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(plainConfig(1)); err != nil {
		return false, err
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
	end := time.Now().Add(bodiesTime)
	var clients errgroup.Group
	var open, sent atomic.Int64
	if trouble {
		for i := range bodiesConns {
			clients.Go(func() error {
				for n := 0; time.Now().Before(end) && !d.ended.Load(); n++ {
					open.Add(1)
					sent.Add(1)
					_ = holdBody(d.caller, "", fmt.Sprintf("u%d-%d", i, n), end)
					open.Add(-1)
					_ = timer.Wait(ctx, 100*time.Millisecond)
				}
				return nil
			})
		}
	}
	_ = timer.Wait(ctx, 2*time.Second) // the others come first
	served, failed := 0, 0
	for i := 0; time.Now().Before(end.Add(-time.Second)); i++ {
		ok := false
		for try := 0; try < 2 && !ok; try++ {
			id := fmt.Sprintf("o%d-%d", i, try)
			r := talk(d.caller, "/write/order", id, "", 3*time.Second)
			ok = r.status == http.StatusOK && r.complete && r.signed && strings.HasSuffix(r.body, id)
			if !ok && i < 5 {
				f.write("ordinary request %s: status %d, error %v", id, r.status, r.err)
			}
		}
		if ok {
			served++
		} else {
			failed++
		}
		if i%20 == 0 {
			f.write("%d ordinary requests served, %d not; %d clients with an open body, %d MiB resident", served, failed, open.Load(), d.memory("VmRSS"))
		}
		_ = timer.Wait(ctx, 200*time.Millisecond)
	}
	_ = clients.Wait() // its tasks return no error
	f.write("%d bodies sent; %d ordinary requests served, %d not; ended: %v", sent.Load(), served, failed, d.ended.Load())
	return served < failed || d.ended.Load(), nil
}
