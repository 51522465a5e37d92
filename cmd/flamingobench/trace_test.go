package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"flamingorudder.example/internal/audit"
	"flamingorudder.example/internal/operator"
	"flamingorudder.example/internal/timeline"
)

// Guards against a collector that loses events when it meets more than a page of them or a daemon that was replaced, or
// that keeps events twice.
func TestCollector(t *testing.T) {
	const page = 3
	log := timeline.NewLog("d1", 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		events, next, lost := log.Since(since)
		if len(events) > page {
			next -= uint64(len(events) - page)
			events = events[:page]
		}
		_ = json.NewEncoder(w).Encode(operator.Events{Daemon: "d1", Events: events, Next: next, Lost: lost})
	}))
	defer s.Close()
	client, closeClient := operator.Dial(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), nil)
	defer closeClient()
	c := newCollector(&fleet{addrs: addresses{Daemons: []daemonAddrs{{Name: "d1"}}}, operators: map[string]*operator.Client{"d1": client}})
	add := func(l *timeline.Log, n int) {
		for range n {
			l.Add(timeline.Event{Kind: timeline.RequestAccepted})
		}
	}
	read := func(want int) {
		t.Helper()
		if err := c.poll(context.Background(), "d1"); err != nil {
			t.Fatal(err)
		}
		if len(c.events) != want || c.lost != 0 {
			t.Fatalf("%d events, %d lost, want %d and 0", len(c.events), c.lost, want)
		}
	}
	add(log, 10)
	read(10)
	add(log, 1)
	read(11)
	read(11)
	// A new process counts from 0 again.
	last := log.Clock().Now(time.Now())
	log = timeline.NewLog("d1", 64)
	log.Clock().Update(time.Now(), last)
	add(log, 5)
	read(16)
}

// Guards against changes of the audit, or of the form in which traces are kept, that would judge a recorded run
// differently. The trace holds a few seconds of a fleet in which a member of a group was killed and came back.
func TestReplay(t *testing.T) {
	tr, err := loadTrace(filepath.Join("testdata", "instance-loss.json.gz"))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "instance-loss", []byte(audit.Check(tr, audit.Targets).String()))
	file := filepath.Join(t.TempDir(), "trace.json.gz")
	if err := saveTrace(file, tr); err != nil {
		t.Fatal(err)
	}
	if again, err := loadTrace(file); err != nil || !reflect.DeepEqual(tr, again) {
		t.Errorf("a trace that was saved and read is not the same: %v", err)
	}
}
