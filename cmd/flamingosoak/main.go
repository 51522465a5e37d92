// Command flamingosoak runs the real programs as processes on this machine, injects faults that are drawn from a seed, and
// checks what the system promises while they last.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/soak"
)

func main() {
	cmd := &cli.Command{
		Name:  "flamingosoak",
		Usage: "inject faults into a fleet of processes and check what it promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, one after the other", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "how long faults come", Value: 15 * time.Second},
			&cli.IntFlag{Name: "daemons", Value: 4},
			&cli.IntFlag{Name: "servers", Usage: "number of backend servers, two of them plain", Value: 10},
			&cli.StringFlag{Name: "bin", Usage: "folder of the programs", Value: "bin"},
			&cli.StringFlag{Name: "dir", Usage: "folder for settings and logs; one in it for each seed", Value: "run/soak"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	failed := 0
	for i := range uint64(c.Int("seeds")) {
		seed := c.Uint64("seed") + i
		dir := filepath.Join(c.String("dir"), strconv.FormatUint(seed, 10))
		if err := os.RemoveAll(dir); err != nil {
			return fmt.Errorf("empty the folder of the run: %w", err)
		}
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("make the folder of the run: %w", err)
		}
		out, err := os.Create(filepath.Join(dir, "faults.log"))
		if err != nil {
			return fmt.Errorf("make the list of faults: %w", err)
		}
		o := soak.Options{Bin: c.String("bin"), Dir: dir, Seed: seed, Length: c.Duration("length"), Daemons: c.Int("daemons"), Servers: c.Int("servers")}
		r, err := soak.Run(ctx, o, out)
		if err := out.Close(); err != nil {
			return fmt.Errorf("write the list of faults: %w", err)
		}
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		verdict := "ok"
		if len(r.Failures) > 0 {
			failed++
			verdict = "FAILED"
		}
		fmt.Printf("seed %d: %s, %d faults, %d requests, %d served, %d refused, %d failed\n", seed, verdict, r.Faults, r.Tally.Sent, r.Tally.Served, r.Tally.Refused, r.Tally.Failed)
		for _, f := range r.Failures {
			fmt.Println("  " + f)
		}
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds failed", failed, c.Int("seeds")), 1)
	}
	return nil
}
