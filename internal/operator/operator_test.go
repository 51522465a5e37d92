package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timeline"
)

// stub is a Daemon that returns fixed results.
type stub struct {
	err error
	log *timeline.Log
}

func (s stub) Accept(context.Context, string, []byte) (uint64, error) { return 0, s.err }
func (s stub) Head(context.Context) (note.Config, platform.Row, error) {
	return note.Config{}, platform.Row{}, s.err
}
func (s stub) History(context.Context) ([]config.HistoryEntry, error) { return nil, s.err }
func (s stub) Status() Status                                         { return Status{} }
func (s stub) Drain()                                                 {}
func (s stub) Events(since uint64) Events {
	e, next, lost := s.log.Since(since)
	return Events{Daemon: "a", Events: e, Next: next, Lost: lost}
}

// handlerTransport passes requests to a handler without a connection.
type handlerTransport struct{ h http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.h.ServeHTTP(w, r)
	return w.Result(), nil
}

func newTestClient(s stub) *Client {
	return NewClient("http://a", handlerTransport{NewServer(s, http.NotFoundHandler())})
}

// Guards against errors that are reported with the wrong kind, which would mislead the operator. The worst case is an
// unknown outcome that is reported as "nothing was changed".
func TestFaultKinds(t *testing.T) {
	down := &platform.UnavailableError{Err: errors.New("down")}
	for _, c := range []struct {
		err    error
		kind   string
		status int
	}{
		{&ini.Faults{All: []ini.Fault{{Msg: "x"}}}, FaultInvalidNote, 400},
		{&note.StaleBaseError{Base: 2, Current: 1}, FaultStale, 409},
		{&config.ConflictError{Current: 2}, FaultConflict, 409},
		{down, FaultPlatform, 503},
		{&platform.UnknownOutcomeError{OperationID: "1", Err: down}, FaultOutcomeUnknown, 503},
		{errors.Join(&platform.UnknownOutcomeError{OperationID: "1", Err: down}, down), FaultOutcomeUnknown, 503},
		// The second transaction conflicts with the first, whose response was lost, and reading back fails.
		{errors.Join(&platform.ConflictError{Key: "config/head"}, down), FaultOutcomeUnknown, 503},
	} {
		_, err := newTestClient(stub{err: c.err}).Apply(t.Context(), "1", nil)
		var f *Fault
		if !errors.As(err, &f) || f.Kind != c.kind || f.Status != c.status {
			t.Errorf("%v is reported as %#v, want kind %s and status %d", c.err, err, c.kind, c.status)
		}
	}
}

// Guards against events that are missed or repeated at page boundaries, and against lost events that are not counted.
func TestTimelinePages(t *testing.T) {
	line := timeline.NewLog("a", 2*eventsPerPage+10)
	for i := range 2*eventsPerPage + 15 {
		line.Add(timeline.Event{Kind: timeline.RequestAccepted, Request: fmt.Sprint(i)})
	}
	got, err := newTestClient(stub{log: line}).Timeline(t.Context(), Filter{})
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Events) != 2*eventsPerPage+10 || got.Lost != 5 || got.Next != 2*eventsPerPage+15 {
		t.Fatalf("%d events, %d lost, next %d", len(got.Events), got.Lost, got.Next)
	}
	for i, e := range got.Events {
		if e.Request != fmt.Sprint(i+5) {
			t.Fatalf("event %d has request %s", i, e.Request)
		}
	}
	if got, err := newTestClient(stub{log: timeline.NewLog("a", 4)}).Timeline(t.Context(), Filter{}); err != nil || len(got.Events) != 0 {
		t.Errorf("empty timeline: %v, error %v", got, err)
	}
}

// Guards against filters that change between client and server, and against a service filter that omits events which name
// only the request.
func TestTimelineFilter(t *testing.T) {
	line := timeline.NewLog("a", 64)
	for _, e := range []timeline.Event{
		{Kind: timeline.RequestAccepted, Request: "r1", Service: "desk"},
		{Kind: timeline.RequestAccepted, Request: "r2", Service: "ledger"},
		{Kind: timeline.RequestRefused, Request: "r1", Reason: "late"},
		{Kind: timeline.GroupServing, Group: "desk/g1", Generation: 2},
		{Kind: timeline.GroupFormed, Group: "desk/g1", Members: []string{"i1", "i2"}},
		{Kind: timeline.RevisionApplied, Revision: 3},
		{Kind: timeline.InstanceLost, Instance: "i2"},
	} {
		line.Add(e)
	}
	all, _, _ := line.Since(0)
	for name, c := range map[string]struct {
		f    Filter
		want []int
	}{
		"request":  {Filter{Request: "r1"}, []int{0, 2}},
		"service":  {Filter{Service: "desk"}, []int{0, 2, 3, 4}},
		"group":    {Filter{Group: "desk/g1"}, []int{3, 4}},
		"instance": {Filter{Instance: "i2"}, []int{4, 6}},
		"revision": {Filter{Revision: 3}, []int{5}},
		"until":    {Filter{Until: all[0].At.Time().Add(-time.Second)}, nil},
		"since":    {Filter{Since: all[0].At.Time(), Until: all[6].At.Time().Add(time.Second)}, []int{0, 1, 2, 3, 4, 5, 6}},
	} {
		got, err := newTestClient(stub{log: line}).Timeline(t.Context(), c.f)
		if err != nil {
			t.Fatal(err)
		}
		var want []timeline.Event
		for _, i := range c.want {
			want = append(want, all[i])
		}
		if !reflect.DeepEqual(got.Events, want) {
			t.Errorf("%s: got %v, want %v", name, got.Events, want)
		}
	}
}
