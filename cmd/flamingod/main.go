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

func run(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return cli.Exit("name the file with the settings, for example: flamingod /etc/flamingod.ini", 2)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	set, err := setting.ParseDaemon(file, text)
	if err != nil {
		return cli.Exit(err.Error(), 2)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	log := hclog.New(&hclog.LoggerOptions{Name: set.Name, Level: hclog.LevelFromString(set.LogLevel), JSONFormat: set.LogFormat == "json"})
	log = logging.Limit(log, logging.Period)
	logging.Adopt(log)
	d, closeDaemon, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	defer closeDaemon()
	return kratos.New(kratos.Name("flamingod"), kratos.ID(set.Name), kratos.Logger(logging.Kratos(log.Named("kratos"))),
		kratos.Server(d), kratos.StopTimeout(set.Hold+stopLimit)).Run()
}
