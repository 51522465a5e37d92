package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/revision"
	"flamingorudder.example/internal/setting"
	"flamingorudder.example/internal/snapshot"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timer"
)

// Guards against a newly started daemon that gets no configuration while the table service is down and every other
// daemon has just started too, and against one that loads a damaged snapshot or reverts to an older revision.
func TestStartWithoutTable(t *testing.T) {
	p := standin.NewPlatform(0)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/table/") {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		p.ServeHTTP(w, r)
	}))
	defer s.Close()
	ca, err := identity.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	id := identity.Files{Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	if err := ca.Issue(id, "fresh"); err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	d, free, err := New(setting.Daemon{
		Name: "fresh", DataCentre: "perth", Caller: loopback, Operator: loopback, Peer: loopback, Identity: id,
		Platform: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
	}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	putSnapshot := func(number uint64) []byte {
		t.Helper()
		body, err := json.Marshal(note.Config{Revision: number})
		if err != nil {
			t.Fatal(err)
		}
		x := snapshot.Snapshot{Revision: number, Config: body, Daemons: []registry.Entry{{Name: "other", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}}}
		b, err := x.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := d.platform.PutObject(t.Context(), snapshot.ObjectName, b); err != nil {
			t.Fatal(err)
		}
		return b
	}
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return d.config.Run(ctx) })
	defer func() {
		stop()
		_ = g.Wait()
	}()
	waitApplied := func(want uint64) {
		t.Helper()
		for {
			if _, n := d.config.RevisionNumbers(); n >= want {
				return
			}
			if timer.Wait(ctx, time.Millisecond) != nil {
				t.Fatalf("revision %d was not applied", want)
			}
		}
	}

	b := putSnapshot(7)
	if err := d.platform.PutObject(ctx, snapshot.ObjectName, b[:len(b)-1]); err != nil {
		t.Fatal(err)
	}
	if err := d.readSnapshot(ctx); err == nil {
		t.Error("a damaged snapshot was loaded")
	}
	putSnapshot(7)
	start := time.Now()
	if err := d.restoreSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
	waitApplied(7)
	t.Logf("configuration applied %v after restore began", time.Since(start).Round(time.Millisecond))
	if _, ok := d.registry.Entry("other"); !ok {
		t.Error("the other daemon of the snapshot is not in the registry")
	}
	d.config.Restore(revision.New(9, []byte(`{"revision":9}`)))
	waitApplied(9)
	if err := d.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
	d.config.Restore(revision.New(10, []byte(`{"revision":10}`)))
	waitApplied(10)
	if r, _ := d.config.Revision(); r.Number != 10 {
		t.Errorf("got revision %d, want 10", r.Number)
	}
}
