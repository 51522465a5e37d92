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
