// Command flamingoctl is the operator's command line.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
)

func main() {
	cmd := &cli.Command{
		Name:                  "flamingoctl",
		Usage:                 "drive a fleet by its release notes",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "operator address of any daemon", Value: "127.0.0.1:9443", Sources: cli.EnvVars("FLAMINGO_DAEMON")},
			&cli.StringFlag{Name: "authority", Usage: "PEM file of the deployment's certificate authority", Sources: cli.EnvVars("FLAMINGO_AUTHORITY")},
			&cli.StringFlag{Name: "certificate", Usage: "PEM file of the operator's certificate", Sources: cli.EnvVars("FLAMINGO_CERTIFICATE")},
			&cli.StringFlag{Name: "key", Usage: "PEM file of the certificate's key", Sources: cli.EnvVars("FLAMINGO_KEY")},
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a release note without a fleet", ArgsUsage: "NOTE.ini", Action: check},
			{Name: "apply", Usage: "make a release note the configuration of the fleet", ArgsUsage: "NOTE.ini", Action: apply},
			{Name: "key", Usage: "print the form in which a bearer key is kept in a release note", ArgsUsage: "KEY", Action: key},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func check(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read release note: %w", err)
	}
	n, err := note.Parse(file, text)
	if err != nil {
		return cli.Exit(err.Error(), 2)
	}
	fmt.Printf("%s is valid: %d items against revision %d\n", file, len(n.Items), n.Base)
	return nil
}

func key(_ context.Context, c *cli.Command) error {
	fmt.Println(note.HashKey(c.Args().First()))
	return nil
}

// dial connects to the daemon that the flags name.
func dial(c *cli.Command) (*operator.Client, func(), error) {
	addr, err := netip.ParseAddrPort(c.String("daemon"))
	if err != nil {
		return nil, nil, fmt.Errorf("--daemon: %w", err)
	}
	id, err := identity.Load(identity.Files{Authority: c.String("authority"), Certificate: c.String("certificate"), Key: c.String("key")})
	if err != nil {
		return nil, nil, err
	}
	client, closeClient := operator.Dial(addr, id.Client("http/1.1"))
	return client, closeClient, nil
}

func apply(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read release note: %w", err)
	}
	client, closeClient, err := dial(c)
	if err != nil {
		return err
	}
	defer closeClient()
	revision, err := client.Apply(ctx, uuid.NewString(), text)
	if err != nil {
		return fmt.Errorf("apply %s: %w", file, err)
	}
	fmt.Printf("accepted as revision %d\n", revision)
	return nil
}
