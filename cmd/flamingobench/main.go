// Command flamingobench puts load on a fleet and reports what came back.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "flamingobench",
		Usage: "load, experiments and checks",
		Commands: []*cli.Command{{
			Name: "demo", Usage: "send all ranks of work to a running fleet and check the answers", Action: demo,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "addresses", Usage: "file that the stand-ins wrote", Value: "run/addresses.json"},
				&cli.StringFlag{Name: "note", Usage: "release note in force", Required: true},
				&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the fleet", Value: 20e9},
				&cli.IntFlag{Name: "requests", Usage: "requests for each kind of work", Value: 100},
			},
		}, {
			Name: "overload", Usage: "compare useful work under overload with the baseline, in handed-in time", Action: overloadTable,
		}},
	}
	cmd.Commands = append(cmd.Commands, capacityCommand())
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
