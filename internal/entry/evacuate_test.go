package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"flamingorudder.example/internal/evacuation"
	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

// twoDataCentres is a store with a plain server and a group in each of the data centres x and y, which count their requests.
type twoDataCentres struct {
	*fakeplatform.Store
	plain, group map[string]*atomic.Int64
}

func newTwoDataCentres(t *testing.T) *twoDataCentres {
	s := &twoDataCentres{fakeplatform.NewStore(), map[string]*atomic.Int64{}, map[string]*atomic.Int64{}}
	s.Put("op", "config", []byte(fmt.Sprintf(testConfig, 1, "")))
	for i, dataCentre := range []string{"x", "y"} {
		plain, group := &atomic.Int64{}, &atomic.Int64{}
		s.plain[dataCentre], s.group[dataCentre] = plain, group
		s.putServer(dataCentre, "plain", backendServer(t, func(c net.Conn, r *http.Request) {
			plain.Add(1)
			writeAnswer(c, r, 200, "fine")
		}), "null")
		s.putServer(dataCentre, "llm", backendServer(t, func(c net.Conn, r *http.Request) {
			group.Add(1)
			writeAnswer(c, r, 200, event(1), "Content-Type: text/event-stream\r\n")
		}), fmt.Sprintf(openGroup, i))
	}
	return s
}

func (s *twoDataCentres) putServer(dataCentre, service, addr, group string) {
	s.Put("servers", service+"-"+dataCentre, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":8,"state":"ready","born":1,"models":[{"name":"m"}],"domain":%q,"staged":["m"],"group":%s}`, service, addr, dataCentre, dataCentre, group)))
}

// requests returns the number of requests that have reached the servers of a data centre.
func (s *twoDataCentres) requests(dataCentre string) int64 {
	return s.plain[dataCentre].Load() + s.group[dataCentre].Load()
}

// send sends one request to the plain service and one to the model.
func (u *daemonUnderTest) send() (plain, stream reply) {
	return u.do(http.MethodGet, "/safe/", "k1", ""), u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m")
}

func (u *daemonUnderTest) covers(dataCentre string) func() bool {
	return func() bool {
		set := u.d.evacuations.Load()
		return set != nil && set.Covers(dataCentre)
	}
}

// TestEvacuation guards against requests to a plain server or a group in an evacuated data centre, by a daemon that reads the store, by
// one whose configuration a peer relays, and by one that has just started, and against servers that get none after the evacuation.
func TestEvacuation(t *testing.T) {
	store := newTwoDataCentres(t)
	all := []*daemonUnderTest{startDaemon(t, store.Store, "a"), startDaemon(t, store.Store, "b"), startDaemon(t, store.Store, "c")}
	for _, u := range all {
		u.waitReady()
	}
	eventually(t, "a peer relays the configuration to one daemon", func() bool {
		return all[1].d.feed.configIsRelayed(time.Now()) || all[2].d.feed.configIsRelayed(time.Now())
	})
	eventually(t, "both data centres get requests of both services", func() bool {
		for _, u := range all {
			if plain, stream := u.send(); plain.status != 200 || stream.status != 200 {
				t.Fatalf("replies %+v and %+v", plain, stream)
			}
		}
		return store.plain["x"].Load() > 0 && store.plain["y"].Load() > 0 && store.group["x"].Load() > 0 && store.group["y"].Load() > 0
	})

	began := time.Now()
	store.Put(platform.TableOperator, platform.EvacuationKey("x"), []byte("{}"))
	for _, u := range all {
		eventually(t, "the daemon knows of the evacuation", u.covers("x"))
	}
	if took := time.Since(began); took > all[0].s.Evacuate {
		t.Errorf("evacuation in force after %v, want %v or less", took, all[0].s.Evacuate)
	}
	before, elsewhere := store.requests("x"), store.requests("y")
	late := startDaemon(t, store.Store, "d")
	for late.d.config.Load() == nil || !late.d.ready() {
		late.send()
	}
	late.waitReady()
	all = append(all, late)
	for range 10 {
		for _, u := range all {
			if plain, stream := u.send(); plain.status != 200 || stream.status != 200 {
				t.Errorf("daemon %s: replies %+v and %+v", u.s.Name, plain, stream)
			}
		}
	}
	if n := store.requests("x") - before; n != 0 {
		t.Errorf("%d requests to the evacuated data centre", n)
	}
	if store.requests("y") == elsewhere {
		t.Error("no requests to the other data centre")
	}

	store.Put(platform.TableOperator, platform.EvacuationKey("y"), []byte("{}"))
	for _, u := range all {
		eventually(t, "the daemon knows of the second evacuation", u.covers("y"))
		began := time.Now()
		plain, stream := u.send()
		for _, r := range []reply{plain, stream} {
			if r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
				t.Errorf("daemon %s: reply %+v, want 503 with Retry-After", u.s.Name, r)
			}
		}
		// The deadline of the requests is 3 s.
		if took := time.Since(began); took > time.Second {
			t.Errorf("daemon %s: rejected after %v", u.s.Name, took)
		}
	}

	store.Remove(platform.TableOperator, platform.EvacuationKey("x"))
	for _, u := range all {
		eventually(t, "the daemon knows of the end of the evacuation", func() bool { return !u.covers("x")() })
		plain, group := store.plain["x"].Load(), store.group["x"].Load()
		eventually(t, "the servers get requests again", func() bool {
			u.send()
			return store.plain["x"].Load() > plain && store.group["x"].Load() > group
		})
		if u.d.evacuations.Load().EndedAt("x").IsZero() {
			t.Errorf("daemon %s does not know when the evacuation ended", u.s.Name)
		}
	}
}

// TestEvacuationWhileWaiting guards against requests that wait for a group until their deadline although all groups of their model are in
// evacuated data centres, and against an evacuation of which a daemon that is cut off from the store does not learn.
func TestEvacuationWhileWaiting(t *testing.T) {
	store := newTwoDataCentres(t)
	u := startDaemon(t, store.Store, "a")
	u.waitReady()
	store.Refuse(http.StatusServiceUnavailable)
	eventually(t, "the daemon misses the store", func() bool { return !u.d.storeOK.Load() })
	u.d.dispatch.mu.Lock()
	for _, key := range []string{"g0/1", "g1/1"} {
		u.d.dispatch.suspects[key] = suspicion{until: time.Now().Add(time.Minute)}
	}
	u.d.dispatch.mu.Unlock()
	got := make(chan reply, 1)
	go func() { got <- u.do(http.MethodPost, "/stream/", "k1", "x", "X-Flamingorudder-Model", "m") }()
	eventually(t, "the request waits for a group", func() bool {
		u.d.dispatch.mu.Lock()
		defer u.d.dispatch.mu.Unlock()
		return len(u.d.dispatch.waiters) == 1
	})
	digest := gossip.Digest{Name: "peer", Boot: 1, Seq: 1, PeerAddr: u.s.Peer, DataCentre: "y", Cores: 1, Interval: 5 * time.Second}
	digest.Evacuations = &evacuation.State{Era: 1, Version: 1 << 20, DataCentres: []string{"x", "y"}}
	u.d.handleDigest(digest)
	u.d.dispatch.mu.Lock()
	waiting := len(u.d.dispatch.waiters)
	u.d.dispatch.mu.Unlock()
	if r := <-got; waiting != 0 || r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
		t.Errorf("reply %+v, %d still waiting, want 503 with Retry-After at once", r, waiting)
	}
	if n := store.requests("x") + store.requests("y"); n != 0 {
		t.Errorf("%d requests reached the servers", n)
	}
}

// TestHeadOfUnknownDataCentre guards against a request to a head of which this daemon knows only the address, while a data centre is
// evacuated, and against one that is sent although its data centre was evacuated after a place had been reserved.
func TestHeadOfUnknownDataCentre(t *testing.T) {
	store := newTwoDataCentres(t)
	u := startDaemon(t, store.Store, "a")
	u.waitReady()
	head := &roster.Server{ID: "llm-x"}
	unknown := &roster.Server{ID: "other"}
	if u.d.evacuated(head) || u.d.evacuated(unknown) {
		t.Error("a server counts as evacuated without an evacuation")
	}
	store.Put(platform.TableOperator, platform.EvacuationKey("x"), []byte("{}"))
	eventually(t, "the daemon knows of the evacuation", u.covers("x"))
	if !u.d.evacuated(head) || !u.d.evacuated(unknown) || u.d.evacuated(&roster.Server{ID: "llm-y"}) {
		t.Error("the data centre of a head without an entry is not looked up")
	}
	if err := (&exchange{d: u.d}).checkEvacuation(head); err == nil {
		t.Error("a request would be sent to a head in an evacuated data centre")
	}
}

// TestOddEvacuations guards against a misspelt row that stops requests to servers, and against one that is not reported or reported again
// and again.
func TestOddEvacuations(t *testing.T) {
	store := newTwoDataCentres(t)
	store.putServer("", "plain", backendServer(t, func(c net.Conn, r *http.Request) { writeAnswer(c, r, 200, "fine") }), "null")
	u := startDaemon(t, store.Store, "a")
	u.waitReady()
	for _, name := range []string{"", "nowhere", "dc"} {
		store.Put(platform.TableOperator, platform.EvacuationKey(name), []byte("odd"))
	}
	eventually(t, "the daemon knows of the evacuations", u.covers("dc"))
	u.d.feed.reportUnknownDataCentres()
	u.d.feed.reportUnknownDataCentres()
	u.d.feed.mu.Lock()
	reported := len(u.d.feed.invalidEvacuations)
	u.d.feed.mu.Unlock()
	if reported != 2 {
		t.Errorf("%d names reported, want the empty one and the unknown one", reported)
	}
	for id, s := range u.d.view.Load().Servers {
		if u.d.evacuated(s) {
			t.Errorf("server %s counts as evacuated", id)
		}
	}
}

// TestEvacuationAfterRestore guards against an evacuation that ends at once when the store is restored from a backup without its row.
func TestEvacuationAfterRestore(t *testing.T) {
	store := newTwoDataCentres(t)
	u := startDaemon(t, store.Store, "a")
	u.waitReady()
	backup := store.Backup()
	store.Put(platform.TableOperator, platform.EvacuationKey("x"), []byte("{}"))
	eventually(t, "the daemon knows of the evacuation", u.covers("x"))
	store.Restore(backup)
	restored := time.Now()
	eventually(t, "the evacuation has ended", func() bool { return !u.covers("x")() })
	if took := time.Since(restored); took < evacuation.Grace {
		t.Errorf("the evacuation ended %v after the restore, want %v or more", took, evacuation.Grace)
	}
}

// TestUnknownEvacuations guards against the use of servers by a daemon that has a configuration from a peer of an earlier build, or from
// one that is cut off from the store, and so may lack an evacuation.
func TestUnknownEvacuations(t *testing.T) {
	store := newTwoDataCentres(t)
	store.Refuse(http.StatusServiceUnavailable)
	u := startDaemon(t, store.Store, "a")
	u.d.handleDigest(gossip.Digest{Name: "peer", Boot: 1, Seq: 1, PeerAddr: freeAddr(t), DataCentre: "dc", Cores: u.s.Cores / 2, StoreUp: true, Interval: 5 * time.Second})
	config := []byte(fmt.Sprintf(testConfig, 1, ""))
	eventually(t, "the configuration of the earlier build is taken, as the store does not answer", func() bool {
		return u.d.feed.applyRelayedConfig(peerState{Era: 1, Config: config, Following: true}, "earlier build")
	})
	u.d.feed.applyRelayedConfig(peerState{Config: config, Evacuations: &evacuation.State{Era: 1, Version: 1}}, "cut off")
	if u.d.config.Load() == nil || u.d.evacuations.Load() != nil || u.d.ready() {
		t.Error("the daemon is ready, or knows the set, without a peer that follows the store")
	}
	if plain, stream := u.send(); plain.status != http.StatusServiceUnavailable || stream.status != http.StatusServiceUnavailable {
		t.Errorf("replies %+v and %+v, want 503", plain, stream)
	}
	u.d.feed.applyRelayedConfig(peerState{Following: true, Evacuations: &evacuation.State{Era: 1, Version: 1}}, "peer")
	if u.d.evacuations.Load() == nil {
		t.Error("the set of a peer that follows the store was not taken over")
	}
}

// TestEvacuationsWithoutStore guards against a daemon that never learns of the evacuations while no daemon reaches the store, because it
// already has the configuration.
func TestEvacuationsWithoutStore(t *testing.T) {
	store := newTwoDataCentres(t)
	store.Put(platform.TableOperator, platform.EvacuationKey("x"), []byte("{}"))
	a := startDaemon(t, store.Store, "a")
	a.waitReady()
	store.Refuse(http.StatusServiceUnavailable)
	eventually(t, "the first daemon misses the store", func() bool { return !a.d.storeOK.Load() })
	b := startDaemon(t, store.Store, "b")
	b.d.feed.applyRelayedConfig(peerState{Config: []byte(fmt.Sprintf(testConfig, 1, ""))}, "earlier build")
	row := b.d.digest()
	a.d.peersMu.Lock()
	a.d.members.AddFromRow(time.Now(), row)
	a.d.peersMu.Unlock()
	eventually(t, "the second daemon knows of the evacuation", b.covers("x"))
}

// TestEvacuationWhilePaused guards against requests that a daemon sends after a pause of its process before it has read which data
// centres were evacuated meanwhile.
func TestEvacuationWhilePaused(t *testing.T) {
	store := newTwoDataCentres(t)
	u := startDaemon(t, store.Store, "a", func(d *Daemon) {
		s := *d.settings()
		s.Evacuate = 20 * time.Second
		d.currentSettings.Store(&s)
	})
	u.waitReady()
	store.Refuse(http.StatusServiceUnavailable)
	u.d.continuity.mu.Lock()
	u.d.continuity.Observe(leaseClock()-u.d.pauseLimit(), time.Hour)
	u.d.continuity.mu.Unlock()
	u.d.observeRunning()
	if plain, _ := u.send(); plain.status != http.StatusServiceUnavailable || plain.h.Get("Retry-After") == "" {
		t.Errorf("reply %+v, want 503 with Retry-After", plain)
	}
	store.Refuse(0)
	eventually(t, "the evacuations have been read", func() bool { return !u.d.continuity.missed.Load() })
	if plain, stream := u.send(); plain.status != 200 || stream.status != 200 {
		t.Errorf("replies %+v and %+v, want 200", plain, stream)
	}
}

// TestDatagramsFromBeforePause guards against a daemon that lists, after a pause of its process, daemons which have gone meanwhile: their
// digests were still in its socket.
func TestDatagramsFromBeforePause(t *testing.T) {
	store := newTwoDataCentres(t)
	digest := gossip.Digest{Name: "gone", Boot: 1, Seq: 1, PeerAddr: freeAddr(t), DataCentre: "dc", Ready: true, Interval: 5 * time.Second}
	send := func(d *Daemon) {
		if _, err := d.udp.WriteToUDPAddrPort(d.encode(kindDigest, digest), d.settings().Peer); err != nil {
			t.Error(err)
		}
	}
	u := startDaemon(t, store.Store, "a", func(d *Daemon) {
		for range 3 {
			send(d)
		}
		d.continuity.Observe(leaseClock()-maxDatagramAge, time.Hour)
	})
	u.waitReady()
	if peers := u.d.livePeers(time.Now()); len(peers) > 0 {
		t.Errorf("daemon %s counts as live", peers[0].Name)
	}
	digest.Seq++
	eventually(t, "a daemon that is heard counts as live", func() bool {
		send(u.d)
		return len(u.d.livePeers(time.Now())) == 1
	})
}
