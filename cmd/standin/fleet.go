package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/timer"
)

// storeCommand runs the stand-in of the users' store.
func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a stand-in of the users' store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemons", Usage: "address for daemons", Required: true},
			&cli.StringFlag{Name: "platform", Usage: "address for operators and backend servers", Required: true},
			&cli.DurationFlag{Name: "beat", Usage: "how often backend servers renew their entries", Value: time.Second},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) error {
	s := fakeplatform.NewStore()
	g, ctx := errgroup.WithContext(ctx)
	for addr, h := range map[string]http.Handler{c.String("daemons"): s.Daemons(), c.String("platform"): s.Platform()} {
		srv := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: time.Minute}
		g.Go(func() error {
			if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve the store: %w", err)
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
				s.Lapse(now, c.Duration("beat"))
			}
		}
	})
	return g.Wait()
}

// serverCommand runs the stand-in of one backend server, which writes its events to standard output.
func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "run a stand-in of one backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "data-centre", Value: "dc"},
			&cli.StringFlag{Name: "domain", Value: "d"},
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "address", Usage: "address that its entry tells", Required: true},
			&cli.StringFlag{Name: "store", Usage: "the store's address for the platform", Required: true},
			&cli.IntFlag{Name: "slots", Value: 16},
			&cli.DurationFlag{Name: "beat", Value: time.Second},
			&cli.DurationFlag{Name: "drain", Value: time.Second},
			&cli.DurationFlag{Name: "form", Value: 100 * time.Millisecond},
			&cli.DurationFlag{Name: "stall", Value: 2 * time.Second},
			&cli.DurationFlag{Name: "work", Usage: "time of a plain request, and between events of a stream", Value: 20 * time.Millisecond},
			&cli.StringFlag{Name: "models", Usage: "models as JSON; none for a plain service"},
		},
		Action: runServer,
	}
}

func runServer(ctx context.Context, c *cli.Command) error {
	o := fakeplatform.Options{
		ID: c.String("id"), Service: c.String("service"), DataCentre: c.String("data-centre"), Domain: c.String("domain"),
		Slots: c.Int("slots"), Beat: c.Duration("beat"), Drain: c.Duration("drain"), Form: c.Duration("form"),
		Stall: c.Duration("stall"), Work: c.Duration("work"),
	}
	for name, to := range map[string]*netip.AddrPort{"listen": &o.Listen, "address": &o.Addr, "store": &o.Store} {
		var err error
		if *to, err = netip.ParseAddrPort(c.String(name)); err != nil {
			return cli.Exit(fmt.Sprintf("--%s: %v", name, err), 2)
		}
	}
	if text := c.String("models"); text != "" {
		if err := json.Unmarshal([]byte(text), &o.Models); err != nil {
			return cli.Exit(fmt.Sprintf("--models: %v", err), 2)
		}
	}
	out := json.NewEncoder(os.Stdout)
	o.Told = func(e fakeplatform.Event) {
		_ = out.Encode(e) // whoever reads the events has ended
	}
	return fakeplatform.Serve(ctx, o)
}
