// Command drill starts a small deployment for the cases of the review, disturbs it as one case tells, and checks the rule of that case.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdicts of a case, as exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by name. Each returns a verdict.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) (int, error){
	"memory": memory,
	"lapse":  lapse,
	"nested": nested,
}

func main() { os.Exit(run()) }

func run() int {
	bin := flag.String("daemon", "target/flamingod", "the daemon's program")
	standin := flag.String("standin", "review/bin/standin", "the program of the stand-ins")
	recordFile := flag.String("record", "record.txt", "the record")
	limit := flag.Duration("limit", 110*time.Second, "the longest time of a run")
	flag.Parse()
	c, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return unable
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	r, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(*bin, *standin, dir, r)
	defer f.stop()
	r.add("case %s, trouble %v", flag.Arg(0), trouble)
	verdict, err := c(ctx, f, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	r.add("verdict %d (0 the rule held, 1 it was broken)", verdict)
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir)) // for a look at the logs
	}
	return verdict
}

// get returns the status of an answer.
func get(ctx context.Context, target string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, fmt.Errorf("make a question: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
