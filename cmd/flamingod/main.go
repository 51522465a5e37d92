// Command flamingod is the daemon. One process serves callers and controls the model groups; the subcommand entry serves
// callers on the users' platform.
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
		Usage:     "serve callers and manage the model groups",
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

// maxGracefulStop limits how long a stopping daemon waits for running requests, beyond the time for which callers may cache
// its address. It exceeds the longest deadline of a request, one hour; kratos' default of 10 s would abort requests.
const maxGracefulStop = time.Hour + time.Minute

// loadSettings reads and validates a settings file and returns the settings with the text of the file. The settings are
// nil if the program must exit: on an error, or after a successful --check.
func loadSettings[S any](c *cli.Command, file string, parse func(file string, text []byte) (S, error)) (*S, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := parse(file, text)
	if err != nil {
		return nil, nil, cli.Exit(err.Error(), 2)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil, nil, nil
	}
	return &settings, text, nil
}

func run(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return cli.Exit("missing argument: the settings file, for example: flamingod /etc/flamingod.ini", 2)
	}
	settings, _, err := loadSettings(c, file, setting.ParseDaemon)
	if settings == nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: settings.Name, Level: hclog.LevelFromString(settings.LogLevel), JSONFormat: settings.LogFormat == "json"})
	log = logging.Limit(log, logging.LimitPeriod)
	logging.SetGlobal(log)
	d, closeDaemon, err := daemon.New(*settings, log)
	if err != nil {
		return err
	}
	defer closeDaemon()
	return kratos.New(kratos.Name("flamingod"), kratos.ID(settings.Name), kratos.Logger(logging.NewKratosLogger(log.Named("kratos"))),
		kratos.Server(d), kratos.StopTimeout(settings.AddressTTL+maxGracefulStop)).Run()
}
