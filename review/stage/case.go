package stage

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest bounds a case.
const longest = 110 * time.Second

// Main runs a case: check returns what broke the rule, empty if nothing did. The arguments of the program are the path of flamingod and that
// of the record. trouble is false if TROUBLE is 0: then the case is played without its disruption.
func Main(check func(ctx context.Context, s *Stage, trouble bool) (broken string, err error)) {
	os.Exit(run(check))
}

func run(check func(ctx context.Context, s *Stage, trouble bool) (broken string, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case FLAMINGOD RECORD")
		return NotRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = record.Close() }() // nothing depends on the record
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	s, clean, err := New(os.Args[1], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("the case starts, with the disruption: %v", trouble)
	broken, err := check(ctx, s, trouble)
	cancel()
	clean()
	err = errors.Join(err, s.failed())
	switch {
	case err != nil:
		record.Printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return NotRun
	case broken != "":
		record.Printf("broken: %s", broken)
		fmt.Println("broken:", broken)
		return Broken
	}
	record.Printf("held")
	fmt.Println("held")
	return Held
}

// Fail records that a part of the case could not do its work.
func (s *Stage) Fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = errors.Join(s.failure, err)
}

func (s *Stage) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}
