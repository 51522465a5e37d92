package fakeplatform

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

// TestHiddenHeartbeats guards against a store that tells by a read what feeds don't tell, that a backend server lives, and against one in
// which the entry of a server that renews it lapses.
func TestHiddenHeartbeats(t *testing.T) {
	store := NewStore()
	store.HideHeartbeats()
	srv := httptest.NewServer(store.Platform())
	defer srv.Close()
	client, stop := platform.NewStore(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	defer stop()
	write := func(s roster.Server) {
		text, err := platform.EncodeServer(&s)
		if err != nil {
			t.Fatal(err)
		}
		row := platform.Row{Table: platform.TableServers, Key: s.ID, Value: text}
		if _, err := client.Commit(t.Context(), platform.Tx{Write: []platform.Row{row}}); err != nil {
			t.Fatal(err)
		}
	}
	read := func() (int64, *roster.Server) {
		page, err := client.Rows(t.Context(), platform.TableServers)
		if err != nil || len(page.Rows) != 1 {
			t.Fatalf("%d entries, %v", len(page.Rows), err)
		}
		s, err := platform.DecodeServer("s", page.Rows[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		return page.Rows[0].Version, s
	}
	s := roster.Server{ID: "s", Service: "x", Addr: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: "dc", Slots: 1, Beat: 1}
	write(s)
	first, _ := read()
	const beat = 100 * time.Millisecond
	later := time.Now().Add(lapseBeats * beat) // the first entry lapses after that
	s.Beat = 2
	write(s)
	if version, got := read(); version != first || got.Beat != 1 {
		t.Errorf("after a heartbeat: version %d, heartbeat %d; want %d, 1", version, got.Beat, first)
	}
	store.Lapse(later, beat)
	if store.Len(platform.TableServers) != 1 {
		t.Error("the entry lapsed though it was renewed")
	}
	s.Beat, s.State = 3, roster.Draining
	write(s)
	if version, got := read(); version == first || got.Beat != 3 || got.State != roster.Draining {
		t.Errorf("after a change: version %d, %+v", version, got)
	}
	store.Lapse(time.Now().Add((lapseBeats+1)*beat), beat)
	if store.Len(platform.TableServers) != 0 {
		t.Error("the entry stayed")
	}
}
