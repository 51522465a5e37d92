package main

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExplain guards against a failed request that cannot be traced from its id to its cause. The log is from a day on the
// bench.
func TestExplain(t *testing.T) {
	f, err := os.Open("testdata/explain.log")
	if err != nil {
		t.Fatal(err)
	}
	lines := readLog(f)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	for name, id := range map[string]string{"explain-refused": "3d931290ce717745", "explain-cut": "16e2061fcfbadda9", "explain-lost": "7c555aadbeaf6f60"} {
		var b strings.Builder
		if err := explain(&b, id, lines); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, []byte(b.String()))
	}
	var missing *NotLoggedError
	if err := explain(&strings.Builder{}, "none", lines); !errors.As(err, &missing) {
		t.Errorf("unknown request: %v", err)
	}
}

// TestExplainNotes guards against the reasons that backend servers gave being lost in the attempts.
func TestExplainNotes(t *testing.T) {
	const line = `{"@level":"info","@message":"request","@module":"front-1","@timestamp":"2026-12-04T10:00:00Z","id":"r1","outcome":"not run",` +
		`"attempts":["i-1 g1/1: 503, server leaving, server asked for a pause of 2s","i-2 g2/2: 200, after event 3: answer without end: an event is too large"]}`
	var b strings.Builder
	if err := explain(&b, "r1", readLog(strings.NewReader(line))); err != nil {
		t.Fatal(err)
	}
	for _, n := range attemptNotes {
		if !strings.Contains(b.String(), n.text) {
			t.Errorf("%q is not explained in %s", n.mark, b.String())
		}
	}
}
