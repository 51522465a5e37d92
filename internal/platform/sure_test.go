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

// flaky breaks connections before or after the platform has handled a transaction.
type flaky struct {
	p *standin.Platform
	// before and after are how many transactions lose their request or their answer. Connections run on goroutines of
	// their own.
	before, after atomic.Int32
	// between runs after a lost answer, in place of other writers.
	between func()
}

func (f *flaky) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/txn") && f.before.Load() > 0 {
		f.before.Add(-1)
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/txn") && f.after.Load() > 0 {
		f.after.Add(-1)
		f.p.ServeHTTP(httptest.NewRecorder(), r)
		if f.between != nil {
			f.between()
		}
		panic(http.ErrAbortHandler)
	}
	f.p.ServeHTTP(w, r)
}

// Guards against a write whose answer is lost being taken for failed, done twice or done when it was not.
func TestCommitSure(t *testing.T) {
	now := func(context.Context, int) error { return nil }
	for _, x := range []struct {
		name          string
		before, after int32
		between, want bool
	}{
		{name: "no fault", want: true},
		{name: "request lost", before: 1, want: true},
		{name: "answer lost", after: 1, want: true},
		{name: "request lost, then answer lost", before: 1, after: 1, want: true},
		{name: "answer lost and row overwritten", after: 1, between: true},
	} {
		f := &flaky{p: standin.NewPlatform(0)}
		s := httptest.NewServer(f)
		c, stop := platform.Dial(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
		direct := platform.Txn{Op: "other", Writes: []platform.Write{{Key: "k", Value: []byte("x")}}}
		if _, err := c.Commit(t.Context(), direct); err != nil {
			t.Fatal(err)
		}
		row, err := c.Read(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		f.before.Store(x.before)
		f.after.Store(x.after)
		if x.between {
			f.between = func() { _, _ = c.Commit(context.Background(), direct) }
		}
		v, err := c.CommitSure(t.Context(), platform.Txn{Op: "mine", Checks: []platform.Check{{Key: "k", Version: row.Version}}, Writes: []platform.Write{{Key: "k", Value: []byte("y")}}}, now)
		got, _ := c.Read(t.Context(), "k")
		var conflict *platform.Conflict
		switch {
		case x.want && (err != nil || got.Op != "mine" || got.Version != v):
			t.Errorf("%s: version %d, %v; row %+v", x.name, v, err, got)
		case !x.want && !errors.As(err, &conflict):
			t.Errorf("%s: %v, want a conflict", x.name, err)
		}
		stop()
		s.Close()
	}
}
