package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
)

// counted returns how often a daemon called the store for a purpose since the last log line.
func (u *daemonUnderTest) counted(purpose string) int {
	u.d.calls.mu.Lock()
	defer u.d.calls.mu.Unlock()
	return u.d.calls.all[purpose]
}

// TestConfigurationIsTold guards against a call to the store by each daemon with each change of the configuration, and against
// a daemon that stays behind when the one that tells it is gone.
func TestConfigurationIsTold(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	all := []*daemonUnderTest{start(t, store, "a"), start(t, store, "b"), start(t, store, "c")}
	var told *daemonUnderTest
	eventually(t, "one is told", func() bool {
		for _, u := range all[1:] {
			if u.d.feed.configIsTold(time.Now()) {
				told = u
			}
		}
		return told != nil
	})
	eventually(t, "its own waiting read has ended", func() bool { return told.counted("configuration") > 0 })
	before := told.counted("configuration")
	for version := int64(2); version < 12; version++ {
		store.Put("op", "config", []byte(fmt.Sprintf(testConfig, version, "")))
		began := time.Now()
		eventually(t, "the change is in force", func() bool { return told.d.feed.configVersion() == version })
		if took := time.Since(began); took > told.s.Apply*2 {
			t.Errorf("version %d after %v", version, took)
		}
	}
	// The read that was waiting when the daemon began to be told returns with the first change.
	if n := told.counted("configuration") - before; n > 1 {
		t.Errorf("%d calls for ten changes", n)
	}
	if err := all[0].d.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 20, "")))
	eventually(t, "the change is in force without the one that told", func() bool { return told.d.feed.configVersion() == 20 })
}

// TestRelay guards against heartbeats being told to daemons that have no use for them, and against an entry that is gone
// staying with those who ask for what has changed after the teller had to read everything anew.
func TestRelay(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	entry := func(id string, beat int) {
		store.Put("servers", id, []byte(fmt.Sprintf(`{"service":"plain","address":"127.0.0.1:1","state":"ready","born":1,"sequence":%d}`, beat)))
	}
	entry("i-1", 1)
	entry("i-2", 1)
	u := start(t, store, "a")
	u.ready()
	ask := func(after int64) relay {
		resp, err := http.Get(fmt.Sprintf("http://%s%s?after=%d&config=0", u.s.Peer, pathServers, after))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		var in relay
		if err := cbor.NewDecoder(resp.Body).Decode(&in); err != nil {
			t.Fatal(err)
		}
		return in
	}
	first := ask(0)
	if len(first.Servers) != 2 || len(first.Packed) == 0 {
		t.Fatalf("%d entries, %d bytes of configuration", len(first.Servers), len(first.Packed))
	}
	entry("i-1", 2)
	eventually(t, "the heartbeat is read", func() bool { return u.d.view.Load().Servers["i-1"].Beat == 2 })
	// In a small fleet any daemon may be the next to give orders and needs to know who has gone silent.
	if in := ask(first.Version); len(in.Servers) != 1 || !in.Whole {
		t.Errorf("a small fleet is told %d entries, whole %v", len(in.Servers), in.Whole)
	}
	for i := range gossip.Mesh {
		u.d.hear(gossip.Digest{Name: fmt.Sprint("o", i), Boot: 1, Seq: 1, Peer: u.s.Peer, DataCentre: "dc", Cores: u.s.Cores, Every: 5 * time.Second})
	}
	if in := ask(first.Version); len(in.Servers) != 0 || in.Version <= first.Version || in.Whole {
		t.Errorf("told %d entries for a heartbeat, at %d after %d, whole %v", len(in.Servers), in.Version, first.Version, in.Whole)
	}
	store.Remove("servers", "i-2")
	store.Forget() // the reader has to read everything
	eventually(t, "the removal is read", func() bool { return u.d.view.Load().Servers["i-2"] == nil })
	gone := false
	for _, r := range ask(first.Version).Servers {
		gone = gone || r.ID == "i-2" && r.Removed
	}
	if !gone {
		t.Error("the removal is not told")
	}
}

// TestFleetProbesTheStore guards against a large fleet that calls a store which is away so often that its calls are most of the
// day's, and against one that does not notice its return.
func TestFleetProbesTheStore(t *testing.T) {
	store := fakeplatform.NewStore()
	store.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	u := start(t, store, "a")
	u.ready()
	const others = 150
	stop := make(chan struct{})
	ended := make(chan struct{})
	seq := uint64(0)
	tell := func(storeAnswers bool) {
		seq++
		for i := range others {
			u.d.hear(gossip.Digest{
				Name: fmt.Sprint("o", i), Boot: 1, Seq: seq, Peer: u.s.Peer, DataCentre: "dc", Cores: u.s.Cores, Store: storeAnswers && i == 0,
			})
		}
	}
	tell(false)
	store.Refuse(http.StatusServiceUnavailable)
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond): //nolint:forbidigo // stands in for the others' digests
				tell(false)
			}
		}
	}()
	eventually(t, "the store is missed", func() bool { return !u.d.storeOK.Load() })
	before := u.counted("entries")
	<-time.After(3 * time.Second) //nolint:forbidigo // the time over which calls are counted
	if n := u.counted("entries") - before; n > 2 {
		t.Errorf("%d calls for entries in 3 s", n)
	}
	close(stop)
	<-ended
	store.Refuse(0)
	tell(true)
	eventually(t, "the store is found again", u.d.storeOK.Load)
}
