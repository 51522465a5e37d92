package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
)

// faultyPlatform aborts connections, either ahead of a transaction being handled or once it has been handled.
type faultyPlatform struct {
	p *standin.Platform
	// The number of transactions whose request or response is still to be lost. They are atomic because the server handles
	// each connection in its own goroutine.
	lostRequests, lostResponses atomic.Int32
	// Runs once a response has been lost, to simulate a concurrent writer.
	afterLostResponse func()
}

func (f *faultyPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/txn") && f.lostRequests.Load() > 0 {
		f.lostRequests.Add(-1)
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/txn") && f.lostResponses.Load() > 0 {
		f.lostResponses.Add(-1)
		f.p.ServeHTTP(httptest.NewRecorder(), r)
		if f.afterLostResponse != nil {
			f.afterLostResponse()
		}
		panic(http.ErrAbortHandler)
	}
	f.p.ServeHTTP(w, r)
}

// Guards against a transaction whose response was lost being reported as failed although it was committed, being committed
// twice, or being reported as committed although it was not.
func TestCommitSure(t *testing.T) {
	noWait := func(context.Context, int) error { return nil }
	for _, x := range []struct {
		name                          string
		lostRequests, lostResponses   int32
		afterLostResponse, wantCommit bool
	}{
		{name: "no fault", wantCommit: true},
		{name: "request lost", lostRequests: 1, wantCommit: true},
		{name: "response lost", lostResponses: 1, wantCommit: true},
		{name: "request lost, then response lost", lostRequests: 1, lostResponses: 1, wantCommit: true},
		{name: "response lost and row overwritten", lostResponses: 1, afterLostResponse: true},
	} {
		f := &faultyPlatform{p: standin.NewPlatform(0)}
		s := httptest.NewServer(f)
		c, stop := platform.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
		direct := platform.Txn{OperationID: "other", Writes: []platform.Write{{Key: "k", Value: []byte("x")}}}
		if _, err := c.Commit(t.Context(), direct); err != nil {
			t.Fatal(err)
		}
		row, err := c.Read(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		f.lostRequests.Store(x.lostRequests)
		f.lostResponses.Store(x.lostResponses)
		if x.afterLostResponse {
			f.afterLostResponse = func() { _, _ = c.Commit(context.Background(), direct) }
		}
		v, err := c.CommitWithRetry(t.Context(), platform.Txn{OperationID: "mine", Checks: []platform.Check{{Key: "k", Version: row.Version}}, Writes: []platform.Write{{Key: "k", Value: []byte("y")}}}, noWait)
		got, _ := c.Read(t.Context(), "k")
		var conflict *platform.ConflictError
		switch {
		case x.wantCommit && (err != nil || got.OperationID != "mine" || got.Version != v):
			t.Errorf("%s: version %d, %v; row %+v", x.name, v, err, got)
		case !x.wantCommit && !errors.As(err, &conflict):
			t.Errorf("%s: %v, want a conflict", x.name, err)
		}
		stop()
		s.Close()
	}
}
