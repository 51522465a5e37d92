// Command flamingod is the daemon: entry and control in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/daemon"
	"flamingorudder.example/internal/logging"
	"flamingorudder.example/internal/setting"
)

func main() {
	cmd := &cli.Command{
		Name:      "flamingod",
		Usage:     "serve callers and keep the model groups",
		ArgsUsage: "SETTINGS.ini",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}},
		Action:    run,
		Commands:  []*cli.Command{entryCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// stopLimit bounds a graceful stop after the hold. It is above the longest deadline of a request, an hour; kratos'
// default of 10 s would cut requests off.
const stopLimit = time.Hour + time.Minute

// load reads and checks settings, and returns them with their text. They are nil when the program is to end: with a fault,
// or because they were only to be checked.
func load[S any](c *cli.Command, file string, parse func(file string, text []byte) (S, error)) (*S, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	set, err := parse(file, text)
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), 2)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil, nil, nil
	}
	return &set, text, nil
}

func run(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return cli.Exit("name the file with the settings, for example: flamingod /etc/flamingod.ini", 2)
	}
	set, _, err := load(c, file, setting.ParseDaemon)
	if set == nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: set.Name, Level: hclog.LevelFromString(set.LogLevel), JSONFormat: set.LogFormat == "json"})
	log = logging.Limit(log, logging.LimitPeriod)
	logging.SetGlobal(log)
	d, closeDaemon, err := daemon.New(*set, log)
	if err != nil {
		return err
	}
	defer closeDaemon()
	return kratos.New(kratos.Name("flamingod"), kratos.ID(set.Name), kratos.Logger(logging.NewKratosLogger(log.Named("kratos"))),
		kratos.Server(d), kratos.StopTimeout(set.AddressTTL+stopLimit)).Run()
}
