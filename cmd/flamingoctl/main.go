// Command flamingoctl is the operator's command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/operator"
)

// Exit codes. Scripts rely on them; they are listed in the help.
const (
	exitFailed   = 1
	exitInput    = 2
	exitConflict = 3
	exitUnknown  = 4
	exitTimeout  = 5
)

const codes = `Exit codes: 0 done, 1 could not be done, 2 wrong input, 3 conflict with another operator, 4 outcome unknown,
5 timed out waiting.`

// Exit is an error with an exit code.
type Exit struct {
	Code int
	Err  error
}

func (e *Exit) Error() string { return e.Err.Error() }
func (e *Exit) Unwrap() error { return e.Err }

// Input reports wrong arguments.
type Input struct{ Msg string }

func (e *Input) Error() string { return e.Msg }

// exitCode returns the exit code that belongs to an error.
func exitCode(err error) int {
	var exit *Exit
	var fault *operator.Fault
	var faults *ini.Faults
	var input *Input
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &faults), errors.As(err, &input):
		return exitInput
	case errors.As(err, &fault):
		switch fault.Kind {
		case operator.FaultInvalidNote, operator.FaultBadRequest:
			return exitInput
		case operator.FaultStale, operator.FaultConflict:
			return exitConflict
		case operator.FaultOutcomeUnknown:
			return exitUnknown
		}
	}
	return exitFailed
}

// opener connects to one daemon; the function it returns closes the connections.
type opener func(netip.AddrPort) (*operator.Client, func())

// tool is what the commands work with. Tests hand in their own.
type tool struct {
	in       io.Reader
	out, err io.Writer
	// connect returns an opener with the identity that the flags name.
	connect func(*cli.Command) (opener, error)
	// newOp returns a new operation number.
	newOp func() string
}

func main() {
	t := &tool{in: os.Stdin, out: os.Stdout, err: os.Stderr, connect: connect, newOp: uuid.NewString}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := t.run(ctx, os.Args)
	stop()
	os.Exit(exitCode(err))
}

// connect opens connections with mutual TLS.
func connect(c *cli.Command) (opener, error) {
	id, err := identity.Load(identity.Files{Authority: c.String("authority"), Certificate: c.String("certificate"), Key: c.String("key")})
	if err != nil {
		return nil, &Exit{Code: exitInput, Err: err}
	}
	return func(a netip.AddrPort) (*operator.Client, func()) {
		return operator.Dial(a, id.ClientConfig("http/1.1"))
	}, nil
}

// run runs one command line and prints its error.
func (t *tool) run(ctx context.Context, args []string) error {
	err := t.command().Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(t.err, err)
	}
	return err
}

func (t *tool) command() *cli.Command {
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"}
	limit := &cli.DurationFlag{Name: "limit", Usage: "how long to wait", Value: 30 * time.Second}
	root := &cli.Command{
		Name:                  "flamingoctl",
		Usage:                 "control a fleet by its release notes",
		Description:           codes,
		EnableShellCompletion: true,
		Writer:                t.out,
		ErrWriter:             t.err,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemon", Usage: "operator addresses of daemons; the next is tried when one does not answer", Value: []string{"127.0.0.1:9443"}, Sources: cli.EnvVars("FLAMINGO_DAEMON")},
			&cli.StringFlag{Name: "authority", Usage: "PEM file of the deployment's certificate authority", Sources: cli.EnvVars("FLAMINGO_AUTHORITY")},
			&cli.StringFlag{Name: "certificate", Usage: "PEM file of the operator's certificate", Sources: cli.EnvVars("FLAMINGO_CERTIFICATE")},
			&cli.StringFlag{Name: "key", Usage: "PEM file of the certificate's key", Sources: cli.EnvVars("FLAMINGO_KEY")},
		},
		Commands: []*cli.Command{
			explainCommand(),
			{
				Name: "check", Usage: "check a release note without a fleet", ArgsUsage: "NOTE.ini", Action: t.check, Flags: []cli.Flag{asJSON},
				Description: "Reads the whole file and reports every fault at once. Names that only the fleet knows are\nchecked by plan.\n\nExample:\n  flamingoctl check note.ini",
			},
			{
				Name: "plan", Usage: "show what a release note would change", ArgsUsage: "NOTE.ini", Action: t.plan, Flags: []cli.Flag{asJSON},
				Description: "Example:\n  flamingoctl --daemon 10.0.0.1:9443,10.0.1.1:9443 plan note.ini",
			},
			{
				Name: "apply", Usage: "make a release note the configuration of the fleet", ArgsUsage: "NOTE.ini", Action: t.apply,
				Flags: []cli.Flag{
					asJSON, limit,
					&cli.BoolFlag{Name: "wait", Usage: "wait until every daemon has the revision in force"},
					&cli.StringFlag{Name: "operation", Usage: "operation number of an earlier apply whose outcome is unknown"},
				},
				Description: "A call whose answer was lost is repeated at the next daemon under the same operation number, so\nthe note is accepted at most once. When the outcome stays unknown (exit code 4), run the printed command.\n\nExamples:\n  flamingoctl apply --wait note.ini\n  flamingoctl apply --operation 5c3f0c1e-7a0e-4a57-9b53-0d8b6c1f2a11 note.ini",
			},
			{
				Name: "wait", Usage: "wait until every daemon has a revision in force", ArgsUsage: "[REVISION]", Action: t.wait, Flags: []cli.Flag{limit},
				Description: "Without a revision it waits for the one accepted last. Daemons that the platform's list no longer\nnames are left out.\n\nExample:\n  flamingoctl wait --limit 16s 12",
			},
			{
				Name: "show", Usage: "show the configuration accepted last", Action: t.show, Flags: []cli.Flag{asJSON},
				Description: "Example:\n  flamingoctl show",
			},
			{
				Name: "history", Usage: "list the accepted release notes", Action: t.history, Flags: []cli.Flag{asJSON},
				Description: "With --json each entry holds the whole text of the note.\n\nExample:\n  flamingoctl history",
			},
			{
				Name: "diff", Usage: "show what changed between two revisions", ArgsUsage: "A B", Action: t.diff, Flags: []cli.Flag{asJSON},
				Description: "Revision 0 is the empty configuration.\n\nExample:\n  flamingoctl diff 3 5",
			},
			{
				Name: "status", Usage: "compare the fleet with the release note", Action: t.status, Flags: []cli.Flag{asJSON},
				Description: "Example:\n  flamingoctl status",
			},
			{
				Name: "timeline", Usage: "show the events of all daemons in one order", Action: t.timeline,
				Flags: []cli.Flag{
					asJSON,
					&cli.StringFlag{Name: "html", Usage: "write a self-contained page to a file"},
					&cli.StringFlag{Name: "request", Usage: "only this request"},
					&cli.StringFlag{Name: "instance", Usage: "only this instance"},
					&cli.StringFlag{Name: "group", Usage: "only this model group"},
					&cli.StringFlag{Name: "service", Usage: "only this service, its groups and its requests"},
					&cli.Uint64Flag{Name: "revision", Usage: "only this revision"},
					&cli.StringFlag{Name: "since", Usage: "from this time on: RFC 3339, or a duration before now"},
					&cli.StringFlag{Name: "until", Usage: "up to this time: RFC 3339, or a duration before now"},
				},
				Description: "Daemons keep a bounded number of events; the output counts those that were overwritten.\n\nExamples:\n  flamingoctl timeline --request 7f3c9d52-64b5-4f5e-8f5c-2f4a0de0a7b1\n  flamingoctl timeline --since 5m --group model-desk/1 --html trace.html",
			},
			{
				Name: "drain", Usage: "make a daemon leave", ArgsUsage: "DAEMON", Action: t.drain,
				Description: "DAEMON is a name or an operator address. The daemon is no longer named to callers and takes no new\nduties; it finishes what it has.\n\nExample:\n  flamingoctl drain craigmhor-3",
			},
			{
				Name: "key", Usage: "print the form in which a bearer key is kept in a release note", ArgsUsage: "[KEY]", Action: t.key,
				Description: "Without KEY the key is read from the first line of the input, which keeps it out of the shell's\nhistory and the list of processes.\n\nExample:\n  flamingoctl key < key.txt",
			},
		},
		// The exit code is decided in main, once the error has been printed.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	usage := func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &Input{Msg: fmt.Sprintf("%v; see %s --help", err, c.FullName())}
	}
	root.OnUsageError = usage
	for _, c := range root.Commands {
		c.OnUsageError = usage
	}
	return root
}

// arguments returns the arguments of a command, of which it needs at least low and at most high.
func arguments(c *cli.Command, low, high int) ([]string, error) {
	if n := c.NArg(); n < low || n > high {
		return nil, &Input{Msg: fmt.Sprintf("usage: %s %s", c.FullName(), c.ArgsUsage)}
	}
	return c.Args().Slice(), nil
}

// fleet connects to the daemons that the flags name.
func (t *tool) fleet(c *cli.Command) (*fleet, error) {
	f := &fleet{clients: map[netip.AddrPort]*operator.Client{}}
	for _, text := range c.StringSlice("daemon") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &Input{Msg: fmt.Sprintf("--daemon: %v", err)}
		}
		f.addrs = append(f.addrs, a)
	}
	if len(f.addrs) == 0 {
		return nil, &Input{Msg: "--daemon names no daemon"}
	}
	open, err := t.connect(c)
	if err != nil {
		return nil, err
	}
	f.open = open
	return f, nil
}
