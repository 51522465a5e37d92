package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/region"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

// homesConfig has routes of both services whose home region is eu, and organisation t2 whose home region is us.
func homesConfig(version int) []byte {
	routes := `,{"name":"eu","host":"a.example","prefix":"/eu/","kind":"safe","timeoutMs":2000,"targetLatencyMs":150,"service":"plain","maxAttempts":2,"allowedRegions":["eu"]},
 {"name":"eu-llm","host":"a.example","prefix":"/eu-llm/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":3000,"service":"llm","maxAttempts":2,"streamResume":true,"allowedRegions":["eu"]}`
	return []byte(strings.Replace(fmt.Sprintf(testConfig, version, routes), `"tenants":[`, `"tenants":[{"name":"t2","apiKeys":["k2"],"allowedRegions":["us"]},`, 1))
}

// startInRegion starts a daemon in a data centre.
func startInRegion(t *testing.T, store *fakeplatform.Store, name, dataCentre, region string, setup ...func(d *Daemon)) *daemonUnderTest {
	t.Helper()
	u := startDaemon(t, store, name, append(setup, func(d *Daemon) {
		s := *d.settings()
		s.DataCentre, s.Region = dataCentre, region
		d.currentSettings.Store(&s)
		d.members = gossip.NewPeerSet(name, dataCentre, s.Cores)
	})...)
	u.waitReady()
	return u
}

// sendBoth returns a function that sends a request to a plain route and one to a model route.
func (u *daemonUnderTest) sendBoth(plain, model, key string) func() []reply {
	return func() []reply {
		return []reply{u.do(http.MethodGet, plain, key, "x"), u.do(http.MethodPost, model, key, "x", "X-Flamingorudder-Model", "m")}
	}
}

// sendHome does so with the routes whose home region is eu.
func (u *daemonUnderTest) sendHome(key string) func() []reply {
	return u.sendBoth("/eu/", "/eu-llm/", key)
}

// checkServed checks that requests are served, some of them at a later attempt, as a busy machine may have a sound group seem silent.
func checkServed(t *testing.T, what string, send func() []reply) {
	eventually(t, what, func() bool {
		return !slices.ContainsFunc(send(), func(r reply) bool { return r.status != http.StatusOK })
	})
}

// checkRejected checks that requests were rejected at once; their deadline is 3 s.
func checkRejected(t *testing.T, what string, send func() []reply) {
	t.Helper()
	began := time.Now()
	for _, r := range send() {
		if r.status != http.StatusServiceUnavailable || r.h.Get("Retry-After") == "" {
			t.Errorf("%s: reply %+v, want 503 with Retry-After", what, r)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("%s: rejected after %v", what, took)
	}
}

// TestHomeRegions guards against requests that reach a backend server outside of their home regions, or whose body is handed over to a
// daemon there: with idle servers elsewhere, without a path, when the servers at home are evacuated, and right before a request is sent.
// It guards against callers that are sent to daemons of another region while one of their own lives, and against requests without home
// regions that are affected.
func TestHomeRegions(t *testing.T) {
	store := newTwoDataCentres(t) // x is in region eu, y in us
	store.Put("op", "config", homesConfig(2))
	var cut pathCut
	b := startInRegion(t, store.Store, "b", "y", "us", cut.apply)
	a, c := startInRegion(t, store.Store, "a", "x", "eu"), startInRegion(t, store.Store, "c", "y", "us")
	for _, u := range []*daemonUnderTest{a, b, c} {
		eventually(t, "the daemon knows both regions", func() bool { return u.d.homes.regions.Load().Len() == 2 && len(u.d.livePeers(time.Now())) == 2 })
	}
	for range 20 {
		for _, u := range []*daemonUnderTest{a, b} {
			checkServed(t, "route with home regions", u.sendHome("k1"))
		}
	}
	if n := store.requests("y"); n != 0 {
		t.Errorf("%d requests outside of the home region", n)
	}
	before := store.requests("x")
	for range 10 {
		checkServed(t, "organisation with home regions", a.sendBoth("/safe/", "/stream/", "k2"))
	}
	if n := store.requests("x") - before; n != 0 {
		t.Errorf("%d requests outside of the home region of their organisation", n)
	}
	checkRejected(t, "route and organisation without a common region", b.sendHome("k2"))

	eu := region.NewHomes([]string{"eu"})
	v := b.d.view.Load()
	if !b.d.groupInHomes("llm", "g0/1", eu) || b.d.groupInHomes("llm", "g1/1", eu) || b.d.groupInHomes("llm", "g9/1", eu) ||
		b.d.inHomes(&roster.Group{Head: v.Servers["llm-x"], Members: []*roster.Server{v.Servers["llm-x"], v.Servers["llm-y"]}}, eu) {
		t.Error("a group elsewhere, one with a member elsewhere, or an unknown one counts as in its home region")
	}
	x := &exchange{d: b.d, homes: eu, service: "llm"}
	if x.checkServer(v.Servers["llm-x"], "g0/1") != nil || x.checkServer(v.Servers["llm-y"], "g1/1") == nil || x.checkServer(v.Servers["plain-y"], "") == nil {
		t.Error("a request would be sent to a backend server elsewhere, or to none at home")
	}

	for query, want := range map[string]string{"region=eu&zone=x": "a", "zone=x": "a", "region=us&zone=y": "bc", "region=asia&zone=z": "abc"} {
		w := httptest.NewRecorder()
		c.d.serveDirectory(w, httptest.NewRequest(http.MethodGet, platform.ResolvePath+"?"+query, nil))
		for _, u := range []*daemonUnderTest{a, b, c} {
			if got := w.Body.String(); strings.Contains(got, u.s.Caller.String()) != strings.Contains(want, u.s.Name) {
				t.Errorf("directory for %s, daemon %s at %v: %s", query, u.s.Name, u.s.Caller, got)
			}
		}
	}

	losePath(t, b, &cut)
	checkServed(t, "handed over", b.sendHome("k1"))
	if c.d.served.Load() {
		t.Error("a request was handed over to a daemon outside of its home region")
	}
	older := &gossip.Peer{Digest: gossip.Digest{Name: "older", DataCentre: "x"}}
	if len(x.inHomes([]*gossip.Peer{older})) != 0 {
		t.Error("a request would be handed over to a daemon of an earlier build, which sends it anywhere")
	}

	store.Put(platform.TableOperator, platform.EvacuationKey("x"), []byte("{}"))
	for _, u := range []*daemonUnderTest{a, c} {
		eventually(t, "the daemon knows of the evacuation", u.covers("x"))
	}
	outside := store.requests("y")
	for _, u := range []*daemonUnderTest{a, b, c} {
		checkRejected(t, "evacuated home region, daemon "+u.s.Name, u.sendHome("k1"))
	}
	if n := store.requests("y") - outside; n != 0 {
		t.Errorf("%d requests outside of the evacuated home region", n)
	}
	checkServed(t, "no home regions", c.sendBoth("/safe/", "/stream/", "k1"))
}

// TestUnknownRegions guards against requests with home regions that are sent to data centres of unknown region, against requests that wait
// on although the region of a data centre with room has become known, and against a wrong region that replaces the known one.
func TestUnknownRegions(t *testing.T) {
	store := newTwoDataCentres(t)
	store.Put("op", "config", homesConfig(2))
	u := startInRegion(t, store.Store, "b", "y", "us")
	digest := gossip.Digest{Name: "peer", Boot: 1, Seq: 1, PeerAddr: u.s.Peer, DataCentre: "x", Cores: 1, Interval: 5 * time.Second}
	u.d.handleDigest(digest)
	checkRejected(t, "unknown region", u.sendHome("k1"))
	for _, digest.Region = range []string{"eu", "us"} {
		u.d.handleDigest(digest)
	}
	checkServed(t, "known region", u.sendHome("k1"))
	if n := store.requests("y"); n != 0 {
		t.Errorf("%d requests outside of the home region", n)
	}

	// Only a group in data centre z, whose region is not known yet, has room.
	store.putServer("z", "llm", backendServer(t, twoEvents), fmt.Sprintf(openGroup, 2))
	eventually(t, "the daemon knows the group", func() bool { return len(u.d.view.Load().Groups["llm"]) == 3 })
	u.d.dispatch.mu.Lock()
	u.d.dispatch.suspects["g0/1"] = suspicion{until: time.Now().Add(time.Minute)}
	u.d.dispatch.mu.Unlock()
	got := make(chan reply, 1)
	go func() { got <- u.do(http.MethodPost, "/eu-llm/", "k1", "x", "X-Flamingorudder-Model", "m") }()
	eventually(t, "the request waits for a group", func() bool { return u.d.dispatch.waiting() == 1 })
	u.d.learnRegion("z", "eu", "other")
	if r := <-got; r.status != http.StatusOK {
		t.Errorf("reply %+v after the region became known", r)
	}
}
