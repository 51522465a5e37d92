// Command flamingobench puts load on a fleet, runs experiments on it and audits what it did.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	fleetFlags := []cli.Flag{
		&cli.StringFlag{Name: "dir", Usage: "run folder, with the files of the stand-ins", Required: true},
		&cli.StringFlag{Name: "note", Usage: "release note in force", Required: true},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the fleet", Value: 20 * time.Second},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
		&cli.DurationFlag{Name: "first", Usage: "the stand-ins' time to the first token", Value: 40 * time.Millisecond},
		&cli.DurationFlag{Name: "token", Usage: "the stand-ins' time between tokens", Value: 10 * time.Millisecond},
		&cli.DurationFlag{Name: "load", Usage: "the stand-ins' time to load a model", Value: time.Second},
		&cli.DurationFlag{Name: "roster-lag", Usage: "age of the platform's list", Value: 500 * time.Millisecond},
	}
	with := func(more ...cli.Flag) []cli.Flag { return append(append([]cli.Flag{}, fleetFlags...), more...) }
	cmd := &cli.Command{
		Name:  "flamingobench",
		Usage: "load, experiments and checks",
		Commands: []*cli.Command{
			{
				Name: "demo", Usage: "send all ranks of work to a running fleet and check the answers", Action: demo,
				Flags: with(&cli.DurationFlag{Name: "length", Usage: "how long to send", Value: 10 * time.Second}),
			},
			{
				Name: "overload", Usage: "compare useful work under overload with the baseline, in handed-in time", Action: overloadTable,
			},
			{
				Name: "load", Usage: "send the everyday load to a running fleet and report what came back", Action: loadCommand,
				Flags: with(
					&cli.DurationFlag{Name: "length", Usage: "how long to send", Value: 10 * time.Second},
					&cli.DurationFlag{Name: "warm", Usage: "how long to send before requests count", Value: time.Second},
					&cli.FloatFlag{Name: "fill", Usage: "part of the groups' slots that the chats take", Value: 0.6},
					&cli.FloatFlag{Name: "plains", Usage: "plain calls per second", Value: 20},
					&cli.StringFlag{Name: "json", Usage: "file for the results"},
				),
			},
			{
				Name: "bench", Usage: "run the experiments of docs/design.md, section 4, on a running fleet", Action: benchCommand,
				Flags: with(
					&cli.StringFlag{Name: "only", Usage: "names of the experiments to run, or first parts of them"},
					&cli.BoolFlag{Name: "list", Usage: "list the experiments"},
					&cli.StringFlag{Name: "report", Usage: "folder for report.json and report.html", Value: "report"},
				),
			},
			{
				Name: "up", Usage: "print the addresses, keys and settings of a running fleet", Action: up, Flags: with(),
			},
			{
				Name: "audit", Usage: "audit a saved trace again", ArgsUsage: "FILE", Action: auditFile,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "print every violation"}},
			},
		},
	}
	cmd.Commands = append(cmd.Commands, capacityCommand())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
