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

// Guards against a fresh daemon that stays without a configuration while the table service is down and every other
// daemon is fresh too, and against one that starts from a damaged snapshot or goes back to an older revision.
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
	store := func(number uint64) []byte {
		t.Helper()
		body, err := json.Marshal(note.Config{Revision: number})
		if err != nil {
			t.Fatal(err)
		}
		x := snapshot.Snapshot{Revision: number, Body: body, Daemons: []registry.Entry{{Name: "other", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}}}
		b, err := x.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := d.platform.PutObject(t.Context(), snapshot.Name, b); err != nil {
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
	applied := func(want uint64) {
		t.Helper()
		for {
			if _, n := d.config.Numbers(); n >= want {
				return
			}
			if timer.Wait(ctx, time.Millisecond) != nil {
				t.Fatalf("revision %d did not come into force", want)
			}
		}
	}

	b := store(7)
	if err := d.platform.PutObject(ctx, snapshot.Name, b[:len(b)-1]); err != nil {
		t.Fatal(err)
	}
	if err := d.readSnapshot(ctx); err == nil {
		t.Error("a damaged snapshot was used")
	}
	store(7)
	start := time.Now()
	if err := d.restore(ctx); err != nil {
		t.Fatal(err)
	}
	applied(7)
	t.Logf("configuration in force %v after the start", time.Since(start).Round(time.Millisecond))
	if _, ok := d.registry.Entry("other"); !ok {
		t.Error("the other daemon is not known")
	}
	d.config.Restore(revision.New(9, []byte(`{"revision":9}`)))
	applied(9)
	if err := d.readSnapshot(ctx); err != nil {
		t.Fatal(err)
	}
	d.config.Restore(revision.New(10, []byte(`{"revision":10}`)))
	applied(10)
	if r, _ := d.config.Revision(); r.Number != 10 {
		t.Errorf("revision went back to %d", r.Number)
	}
}
