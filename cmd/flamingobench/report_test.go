package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a page that needs other files, leaves out the baseline or a failure, or takes text of a run for markup.
func TestReportPage(t *testing.T) {
	dir := t.TempDir()
	rows := []row{{By: "rank", Name: "live", Sent: 2, Good: 1}, {By: "org", Name: "tiree", Sent: 2, Good: 1}}
	e := entry{Name: "flood", Baseline: rows, Candidate: rows, Failure: "<script>alert(1)</script>", Downtimes: map[string]float64{"loss": 2}}
	e.none("flood-measure", "s", 2, "nothing was seen")
	r := report{Deployment: "craigmhor", Entries: []entry{e}, Skipped: []string{"other: not selected"}}
	if err := r.write(dir); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	for _, text := range []string{"<svg", "baseline", "group downtime", "flood-measure", "short", "other: not selected", "&lt;script&gt;"} {
		if !strings.Contains(page, text) {
			t.Errorf("page lacks %q", text)
		}
	}
	for _, text := range []string{"<script>", "src=", "href=", "<?xml"} {
		if strings.Contains(page, text) {
			t.Errorf("page holds %q", text)
		}
	}
}
