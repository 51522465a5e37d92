package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// storeCommand runs a stand-in for the users' store.
func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a stand-in for the users' store; POST /copy to its platform address keeps a copy, POST /restore brings it back",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemons", Usage: "listen address for daemons", Required: true},
			&cli.StringFlag{Name: "platform", Usage: "listen address for operators and backend servers", Required: true},
			&cli.DurationFlag{Name: "beat", Usage: "interval at which backend servers renew their entries", Value: time.Second},
			&cli.BoolFlag{Name: "hide-heartbeats", Usage: "return entries of backend servers as they were when more than the heartbeat changed"},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) error {
	store := fakeplatform.NewStore()
	if c.Bool("hide-heartbeats") {
		store.HideHeartbeats()
	}
	g, ctx := errgroup.WithContext(ctx)
	var mu sync.Mutex
	kept := store.Backup()
	platformSide := http.NewServeMux()
	platformSide.Handle("/", store.Platform())
	platformSide.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		kept = store.Backup()
	})
	platformSide.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		store.Restore(kept)
	})
	for addr, handler := range map[string]http.Handler{c.String("daemons"): store.Daemons(), c.String("platform"): platformSide} {
		srv := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: time.Minute}
		g.Go(func() error {
			if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve store: %w", err)
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	g.Go(func() error {
		tick, stop := timer.Every(c.Duration("beat")/4, 0)
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case now := <-tick:
				store.Lapse(now, c.Duration("beat"))
			}
		}
	})
	return g.Wait()
}

// serverCommand runs a stand-in for one backend server, which writes its events to standard output as JSON.
func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "run a stand-in for one backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "data-centre", Value: "dc"},
			&cli.StringFlag{Name: "domain", Value: "d"},
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "address", Usage: "address that the server registers in the store", Required: true},
			&cli.StringFlag{Name: "store", Usage: "address at which the store serves the platform", Required: true},
			&cli.IntFlag{Name: "slots", Value: 16},
			&cli.DurationFlag{Name: "beat", Value: time.Second},
			&cli.DurationFlag{Name: "drain", Value: time.Second},
			&cli.DurationFlag{Name: "linger", Usage: "how long the server serves on after the drain"},
			&cli.BoolFlag{Name: "unannounced", Usage: "the server leaves by the removal of its entry, without telling that it drains"},
			&cli.DurationFlag{Name: "form", Value: 100 * time.Millisecond},
			&cli.DurationFlag{Name: "stall", Value: 2 * time.Second},
			&cli.DurationFlag{Name: "work", Usage: "duration of a plain request, and time between events of a stream", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "cold", Usage: "how long the server is cold after it starts and after SIGUSR1"},
			&cli.IntFlag{Name: "cold-crash", Usage: "requests in a second that a cold server bears; it crashes above that, 0 for never"},
			&cli.IntFlag{Name: "broken", Usage: "one request in this many gets a broken answer; 0 for none"},
			&cli.StringFlag{Name: "models", Usage: "models as JSON; unset for a plain service"},
		},
		Action: runServer,
	}
}

func runServer(ctx context.Context, c *cli.Command) error {
	opts := fakeplatform.Options{
		ID: c.String("id"), Service: c.String("service"), DataCentre: c.String("data-centre"), Domain: c.String("domain"),
		Slots: c.Int("slots"), Beat: c.Duration("beat"), Drain: c.Duration("drain"), Linger: c.Duration("linger"), Unannounced: c.Bool("unannounced"), Form: c.Duration("form"),
		Stall: c.Duration("stall"), Work: c.Duration("work"), Cold: c.Duration("cold"), ColdCrash: c.Int("cold-crash"),
		Broken: c.Int("broken"),
	}
	if opts.Cold > 0 {
		cold := make(chan os.Signal, 1)
		signal.Notify(cold, syscall.SIGUSR1)
		opts.MakeCold = cold
	}
	for name, target := range map[string]*netip.AddrPort{"listen": &opts.Listen, "address": &opts.Addr, "store": &opts.Store} {
		var err error
		if *target, err = netip.ParseAddrPort(c.String(name)); err != nil {
			return cli.Exit(fmt.Sprintf("--%s: %v", name, err), 2)
		}
	}
	if text := c.String("models"); text != "" {
		if err := json.Unmarshal([]byte(text), &opts.Models); err != nil {
			return cli.Exit(fmt.Sprintf("--models: %v", err), 2)
		}
	}
	events := json.NewEncoder(os.Stdout)
	opts.Told = func(e fakeplatform.Event) {
		_ = events.Encode(e) // fails only if the reader of standard output has exited
	}
	return fakeplatform.Serve(ctx, opts)
}
