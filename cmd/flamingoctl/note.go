package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/operator"
)

// readNote reads the release note that a command names and checks it by itself.
func readNote(c *cli.Command) (file string, text []byte, n *note.Note, err error) {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return "", nil, nil, err
	}
	if text, err = os.ReadFile(args[0]); err != nil {
		return "", nil, nil, &Exit{Code: exitInput, Err: fmt.Errorf("read release note: %w", err)}
	}
	n, err = note.Parse(args[0], text)
	return args[0], text, n, err
}

func (t *tool) check(_ context.Context, c *cli.Command) error {
	file, _, n, err := readNote(c)
	var faults *ini.Faults
	if c.Bool("json") && (err == nil || errors.As(err, &faults)) {
		if jsonErr := printJSON(t.out, checked(n, faults)); jsonErr != nil {
			return jsonErr
		}
		return err
	}
	if err != nil {
		return err
	}
	return printf(t.out, "%s is valid: %d items against revision %d\n", file, len(n.Items), n.Base)
}

func (t *tool) plan(ctx context.Context, c *cli.Command) error {
	_, text, _, err := readNote(c)
	if err != nil {
		return err
	}
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	changes, err := first(ctx, f, func(ctx context.Context, d *operator.Client) ([]note.Change, error) { return d.Plan(ctx, text) })
	if err != nil {
		return err
	}
	return t.changes(c, changes)
}

func (t *tool) changes(c *cli.Command, changes []note.Change) error {
	if c.Bool("json") {
		return printJSON(t.out, changes)
	}
	return printChanges(t.out, changes)
}

func (t *tool) apply(ctx context.Context, c *cli.Command) error {
	file, text, _, err := readNote(c)
	if err != nil {
		return err
	}
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	op := c.String("operation")
	if op == "" {
		op = t.newOp()
	}
	number, err := f.apply(ctx, op, text, c.Duration("limit"))
	if exitCode(err) == exitUnknown {
		return &Exit{Code: exitUnknown, Err: fmt.Errorf("%w\nto learn the outcome run: flamingoctl apply --operation %s %s", err, op, file)}
	}
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(t.out, map[string]any{"revision": number, "operation": op})
	} else {
		err = printf(t.out, "accepted as revision %d\n", number)
	}
	if err != nil || !c.Bool("wait") {
		return err
	}
	return f.wait(ctx, number, c.Duration("limit"), t.progress)
}

// progress prints a progress line, apart from the output that scripts read.
func (t *tool) progress(line string) { _ = printf(t.err, "%s\n", line) }

func (t *tool) wait(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 0, 1)
	if err != nil {
		return err
	}
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	var number uint64
	if len(args) > 0 {
		if number, err = revisionNumber(args[0]); err != nil {
			return err
		}
	} else {
		cfg, err := f.config(ctx)
		if err != nil {
			return err
		}
		number = cfg.Revision
	}
	return f.wait(ctx, number, c.Duration("limit"), t.progress)
}

func revisionNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &Input{Msg: fmt.Sprintf("%q is not the number of a revision", text)}
	}
	return n, nil
}

func (t *tool) show(ctx context.Context, c *cli.Command) error {
	f, err := t.fleet(c)
	if err != nil {
		return err
	}
	defer f.close()
	cfg, err := f.config(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(t.out, cfg)
	}
	return printConfig(t.out, cfg)
}

func (t *tool) past(ctx context.Context, c *cli.Command) ([]config.HistoryEntry, error) {
	f, err := t.fleet(c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return first(ctx, f, func(ctx context.Context, d *operator.Client) ([]config.HistoryEntry, error) { return d.History(ctx) })
}

func (t *tool) history(ctx context.Context, c *cli.Command) error {
	past, err := t.past(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(t.out, past)
	}
	return printHistory(t.out, past)
}

func (t *tool) diff(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 2, 2)
	if err != nil {
		return err
	}
	var numbers [2]uint64
	for i, a := range args {
		if numbers[i], err = revisionNumber(a); err != nil {
			return err
		}
	}
	past, err := t.past(ctx, c)
	if err != nil {
		return err
	}
	var configs [2]note.Config
	for i, n := range numbers {
		if configs[i], err = fold(past, n); err != nil {
			return err
		}
	}
	return t.changes(c, note.Diff(configs[0], configs[1]))
}

// fold returns the configuration after a number of accepted notes.
func fold(past []config.HistoryEntry, number uint64) (note.Config, error) {
	var cfg note.Config
	if number > uint64(len(past)) {
		return cfg, &Input{Msg: fmt.Sprintf("revision %d does not exist; the newest is %d", number, len(past))}
	}
	for _, p := range past[:number] {
		n, err := note.Parse(fmt.Sprintf("revision %d", p.Revision), []byte(p.Text))
		if err != nil {
			return cfg, &Exit{Code: exitFailed, Err: err}
		}
		if cfg, err = cfg.Apply(n); err != nil {
			return cfg, &Exit{Code: exitFailed, Err: fmt.Errorf("revision %d: %w", p.Revision, err)}
		}
	}
	return cfg, nil
}

func (t *tool) key(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 0, 1)
	if err != nil {
		return err
	}
	var key string
	if len(args) > 0 {
		key = args[0]
	} else {
		line, err := bufio.NewReader(t.in).ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read key: %w", err)
		}
		key = strings.TrimRight(line, "\r\n")
	}
	if key == "" {
		return &Input{Msg: "key is empty"}
	}
	return printf(t.out, "%s\n", note.HashKey(key))
}
