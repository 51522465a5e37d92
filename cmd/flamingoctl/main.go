// Command flamingoctl is the operator's command line.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/note"
)

func main() {
	cmd := &cli.Command{
		Name:                  "flamingoctl",
		Usage:                 "drive a fleet by its release notes",
		EnableShellCompletion: true,
		Flags:                 []cli.Flag{&cli.StringFlag{Name: "daemon", Usage: "operator address of any daemon", Value: "127.0.0.1:9443"}},
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

func apply(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read release note: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.String("daemon")+"/note", bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("apply %s: %w", file, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("apply %s: %w", file, err)
	}
	if resp.StatusCode != http.StatusOK {
		return cli.Exit(string(b), 3)
	}
	fmt.Print(string(b))
	return nil
}
