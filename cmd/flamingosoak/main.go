// Command flamingosoak runs the real programs as processes on this machine, injects faults that are drawn from a seed, and
// checks what the system promises while they last.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/soak"
)

func main() {
	cmd := &cli.Command{
		Name:  "flamingosoak",
		Usage: "inject faults into a fleet of processes and check what it promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, one after the other", Value: 1},
			&cli.StringFlag{Name: "cases", Usage: "file of seeds that failed before, run in place of --seed"},
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

// trial is one run to make.
type trial struct {
	seed   uint64
	length time.Duration
}

func run(ctx context.Context, c *cli.Command) error {
	var trials []trial
	for i := range uint64(c.Int("seeds")) {
		trials = append(trials, trial{c.Uint64("seed") + i, c.Duration("length")})
	}
	if file := c.String("cases"); file != "" {
		var err error
		if trials, err = cases(file); err != nil {
			return err
		}
	}
	failed := 0
	for _, t := range trials {
		ok, err := play(ctx, c, t)
		if err != nil {
			return fmt.Errorf("seed %d: %w", t.seed, err)
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds failed", failed, len(trials)), 1)
	}
	return nil
}

// cases reads the seeds that failed before.
func cases(file string) ([]trial, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read cases: %w", err)
	}
	doc := ini.Parse(file, text)
	var out []trial
	for _, s := range doc.Sections {
		seed, err := strconv.ParseUint(strings.TrimPrefix(s.Name, "seed "), 10, 64)
		if err != nil {
			s.AddFault("", "the name of a section is \"seed\" with a number")
		}
		s.Require("cause")
		out = append(out, trial{seed, s.Duration("length", 15*time.Second, time.Second)})
		s.AllowKeys("cause", "length")
	}
	if err := doc.Err(); err != nil {
		return nil, cli.Exit(err.Error(), 2)
	}
	return out, nil
}

// play makes one run and prints what came of it.
func play(ctx context.Context, c *cli.Command, t trial) (ok bool, err error) {
	dir := filepath.Join(c.String("dir"), strconv.FormatUint(t.seed, 10))
	if err := os.RemoveAll(dir); err != nil {
		return false, fmt.Errorf("empty the folder of the run: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, fmt.Errorf("make the folder of the run: %w", err)
	}
	out, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return false, fmt.Errorf("make the list of faults: %w", err)
	}
	r, err := soak.Run(ctx, soak.Options{
		Bin: c.String("bin"), Dir: dir, Seed: t.seed, Length: t.length, Daemons: c.Int("daemons"), Servers: c.Int("servers"),
	}, out)
	if err := errors.Join(err, out.Close()); err != nil {
		return false, err
	}
	verdict := "ok"
	if len(r.Failures) > 0 {
		verdict = "FAILED"
	}
	fmt.Printf("seed %d: %s, %d faults, %d requests, %d served, %d refused, %d failed\n", t.seed, verdict, r.Faults, r.Tally.Sent, r.Tally.Served, r.Tally.Refused, r.Tally.Failed)
	if r.Tally.Quiet > 0 {
		fmt.Printf("  %d requests were at a daemon whose way to all backend servers was silent, %d of them failed\n", r.Tally.Quiet, r.Tally.QuietFailed)
	}
	for _, f := range r.Failures {
		fmt.Println("  " + f)
	}
	return len(r.Failures) == 0, nil
}
