package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kratos/kratos/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/entry"
	"flamingorudder.example/internal/logging"
)

// settingsVariable is the environment variable in which the users' platform passes the path of the settings file.
const settingsVariable = "FLAMINGORUDDER_BOOT"

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:      "entry",
		Usage:     "serve callers on the users' platform, with backend servers and configuration from its store",
		ArgsUsage: "[SETTINGS.ini]",
		Description: "Without an argument, the environment variable " + settingsVariable + " gives the settings file. " +
			"docs/new-machines.md describes the daemon, deploy/entry.ini.tmpl its settings.",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}},
		Action: runEntry,
	}
}

func runEntry(_ context.Context, c *cli.Command) error {
	// Without this, the signal would end the process. It stays so to the end, as the signal may come in the last moment.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	file := c.Args().First()
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file == "" {
		return cli.Exit("missing settings file: pass it as an argument or set "+settingsVariable, 2)
	}
	settings, text, err := loadSettings(c, file, entry.ParseSettings)
	if settings == nil {
		return err
	}
	out, flush := logging.NewAsyncWriter(os.Stdout)
	defer flush()
	log := hclog.New(&hclog.LoggerOptions{Name: settings.Name, Level: hclog.LevelFromString(settings.LogLevel), JSONFormat: true, Output: out})
	log = logging.Limit(log, logging.LimitPeriod)
	logging.SetGlobal(log)
	d, closeDaemon, err := entry.New(*settings, log)
	if err != nil {
		log.Error("cannot start", "error", err)
		return err
	}
	defer closeDaemon()
	d.WatchSettings(file, text, hup)
	return kratos.New(kratos.Name("flamingod"), kratos.ID(settings.Name), kratos.Logger(logging.NewKratosLogger(log.Named("kratos"))),
		kratos.Server(d), kratos.StopTimeout(settings.Grace)).Run()
}
