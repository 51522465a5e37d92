package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/group"
	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/revision"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/traffic"
)

// The fleet size that design section 1 expects in two years, and the traffic limit for each daemon.
const (
	daemons       = 370
	groups        = 75
	instances     = 8
	services      = 2
	byteRateLimit = 5000.0 // Bytes per second.
)

// packetOverhead is the size of a message between daemons besides its own bytes: the headers of IP, UDP and QUIC, the
// authentication tag and the frame header. An acknowledgement sent without a message counts as a packet of this size.
const packetOverhead = 60

// Guards against a daemon sending more than 5 KB/s of control traffic with 370 daemons and 75 groups: because a message
// grows, a period becomes shorter, or the cost of an exchange grows with the fleet.
func TestControlBudget(t *testing.T) {
	if sent, _ := controlTraffic(t); sent > byteRateLimit {
		t.Errorf("a daemon sends %.0f B/s of control traffic, want at most %.0f", sent, byteRateLimit)
	}
}

// Guards against the same when the responses of engines and platform count as well.
func TestControlBudgetWithAnswers(t *testing.T) {
	if sent, answers := controlTraffic(t); sent+answers > byteRateLimit {
		t.Errorf("control traffic of a daemon including responses is %.0f B/s, want at most %.0f", sent+answers, byteRateLimit)
	}
}

// controlTraffic returns the bytes per second that a daemon sends to other daemons, to engines and to the platform, and
// those of the responses of engines and platform. A message between daemons counts at its sender. HTTP bytes are
// measured from a real exchange including headers; TCP and IP headers and the contents of cache events are left out (see
// docs/CAPACITY.md). Periods count with their mean jitter.
func controlTraffic(t *testing.T) (sent, answers float64) {
	size := func(m peer.Message) float64 {
		b, err := peer.Encode(m, timeline.Stamp{Wall: time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixMicro(), Logical: 1})
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(b))
	}
	addr := netip.MustParseAddrPort("10.100.200.100:18443")
	now := uint64(time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	wanted := peer.GroupDemand{Group: "asistente-tallas/75", Generation: 300, Revision: 20000, Seq: now, Turn: now, Borrowers: 30}
	for org := range 5 {
		// A daemon that runs 2 requests of each of 5 organisations.
		wanted.Lines = append(wanted.Lines, peer.DemandLine{Rank: note.Rank(org % note.NumRanks), Org: org, Running: 2})
	}
	demand := size(&peer.Demand{Groups: []peer.GroupDemand{wanted}})
	grant := size(&peer.Grant{Groups: []peer.GroupGrant{{Group: wanted.Group, Generation: 300, Caps: [3]int{4, 3, 2}, Floors: [3]int{4, 3, 2}, TTLMillis: 1500, Seq: now, Turn: now, Borrowers: 30}}, PresenceAges: []uint32{600}})
	hello := size(&peer.Hello{Boot: now, DataCentre: "rosario-a", Addr: addr, Operator: addr, Revision: 20000})
	http := measureExchanges(t)

	// The periods of packages control and lease are not exported, so they are repeated here: 3 ms per daemon between
	// reads of the counter rows, 30 s for the lease of each service.
	every := func(d time.Duration, jitter float64) float64 { return 1 / (d.Seconds() * (1 - jitter/2)) }
	terms := []struct {
		name string
		rate float64
		cost exchange
	}{
		{"demands and grants, running requests", groupsPerService * every(share.RenewInterval, 0), exchange{sent: demand + grant + 3*packetOverhead}},
		{"hello", every(revision.HelloPeriod, 0.5), exchange{sent: hello + 2*packetOverhead}},
		{"probes of members", groups * instances / float64(daemons) * every(member.ProbePeriod, 0.1), http["state"]},
		// Grants prove that members are present, so no load reports are requested (TestProven in package control).
		{"cache events, none", groupsPerService * every(maxCacheInterval, 0), http["cache"]},
		{"list of instances", every(daemons*watchPeriodPerDaemon, 0.2), http["list"]},
		{"counter rows", every(daemons*3*time.Millisecond, 0.2), http["counters"]},
		{"head of the configuration", every(revision.ReadPeriod, 0.5), http["head"]},
		{"rows of daemons", every(rowsPeriod, 0.3), http["daemons"]},
		{"leases", services * every(30*time.Second, 0.2), http["lease"]},
		// 155 instances a day fail, restart or are replaced; each changes state 3 times: leaving, absent and live again.
		// 350 release notes a day.
		{"changed list", 155 * 3 / 86400.0, http["list changed"]},
		{"changed configuration", 350 / 86400.0, exchange{20000, 20000}},
	}
	for _, x := range terms {
		t.Logf("%-38s %5.2f/s of %5.0f + %5.0f bytes: %5.0f + %5.0f B/s", x.name, x.rate, x.cost.sent, x.cost.answer, x.rate*x.cost.sent, x.rate*x.cost.answer)
		sent += x.rate * x.cost.sent
		answers += x.rate * x.cost.answer
	}
	t.Logf("sent %.0f B/s, responses %.0f B/s, limit %.0f B/s", sent, answers, byteRateLimit)
	return sent, answers
}

// exchange is the size in bytes of a request and its response.
type exchange struct{ sent, answer float64 }

// measureExchanges measures one exchange of each kind at the sizes given by the constants above.
func measureExchanges(t *testing.T) map[string]exchange {
	p := standin.NewPlatform(0)
	ps := httptest.NewServer(p)
	t.Cleanup(ps.Close)
	e, closeEngine := standin.NewEngine(standin.EngineSpec{ID: "rosario-a-1-01", Slots: 128})
	t.Cleanup(closeEngine)
	es := httptest.NewServer(e)
	t.Cleanup(es.Close)
	at := func(s *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	pc, stopPlatform := platform.NewClient(at(ps))
	t.Cleanup(stopPlatform)
	ec, stopEngine := engine.NewClient()
	t.Cleanup(stopEngine)
	ctx := context.Background()

	var list []platform.Instance
	var writes []platform.Write
	for i := range daemons {
		name := fmt.Sprintf("tallado-%d", i)
		list = append(list, platform.Instance{ID: name, Addr: at(ps), Kind: platform.KindDaemon, DataCentre: "rosario-a", State: platform.Live})
		writes = append(writes, platform.Write{Key: daemonRowPrefix + name, Value: []byte(strings.Repeat("v", 200))})
	}
	for i := range groups * instances {
		list = append(list, platform.Instance{
			ID: fmt.Sprintf("rosario-a-%d-%02d", i/80, i%80), Addr: at(es), Kind: platform.KindEngine, DataCentre: "rosario-a",
			Domain: fmt.Sprintf("rosario-a-%d", i/80), Accelerators: 8, State: platform.Live,
		})
	}
	for i := range services {
		writes = append(writes, platform.Write{Key: fmt.Sprintf("%s%d", group.PrefixCounter, i), Value: []byte(`{"generation":1000}`)})
	}
	writes = append(writes, platform.Write{Key: "config/head", Value: []byte(strings.Repeat("v", 20000))}, platform.Write{Key: "lease/x", Value: []byte(strings.Repeat("v", 100))})
	p.Add(list...)
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	_, err := pc.Commit(ctx, platform.Txn{OperationID: "setup", Writes: writes})
	check(err)
	check(ec.Order(ctx, at(es), engine.Order{
		Op: engine.OpLoad, Fence: 1000, Group: "asistente-tallas/75", Generation: 300, Members: []netip.AddrPort{at(es)},
		Model: "asistente-tallas-70b", Version: "12",
	}))
	out := map[string]exchange{}
	measure := func(name string, stats func() traffic.Stats, f func() error) {
		t.Helper()
		check(f()) // The first exchange opens the connection and fetches what later ones find not modified.
		before := stats()
		check(f())
		after := stats()
		out[name] = exchange{float64(after.Out - before.Out), float64(after.In - before.In)}
	}
	engines := func() traffic.Stats { s, _ := ec.Traffic(); return s }
	measure("state", engines, func() error { _, err := ec.State(ctx, at(es)); return err })
	measure("load", engines, func() error { _, err := ec.Load(ctx, at(es)); return err })
	measure("cache", engines, func() error { _, err := ec.Cache(ctx, at(es), 1<<30); return err })
	measure("list", pc.Traffic, func() error { _, err := pc.Roster(ctx); return err })
	measure("counters", pc.Traffic, func() error { _, err := pc.Scan(ctx, group.PrefixCounter); return err })
	measure("daemons", pc.Traffic, func() error { _, err := pc.Scan(ctx, daemonRowPrefix); return err })
	measure("head", pc.Traffic, func() error { _, err := pc.Scan(ctx, "config/head"); return err })
	measure("lease", pc.Traffic, func() error { _, err := pc.Read(ctx, "lease/x"); return err })
	i := 0
	measure("list changed", pc.Traffic, func() error {
		list[i].State = platform.Leaving
		p.Add(list[i])
		i++
		_, err := pc.Roster(ctx)
		return err
	})
	return out
}
