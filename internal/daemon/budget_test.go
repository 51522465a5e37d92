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

// The size that design section 1 states for two years on, and the limit for each daemon.
const (
	daemons   = 370
	groups    = 75
	instances = 8
	services  = 2
	limit     = 5000.0 // Bytes per second.
)

// packet is what a message of the protocol between daemons costs besides its own bytes: IP, UDP and QUIC headers, the
// tag and the frame's. An acknowledgement that has no message to go with is a packet without one.
const packet = 60

// Guards against control traffic that a daemon sends outgrowing 5 KB/s at 370 daemons and 75 groups: a message that
// grows, a period that becomes shorter, or an exchange whose cost grows with the fleet.
func TestControlBudget(t *testing.T) {
	if sent, _ := budget(t); sent > limit {
		t.Errorf("a daemon sends %.0f B/s of control traffic, limit %.0f", sent, limit)
	}
}

// Guards against the same when the answers of engines and platform count as well.
func TestControlBudgetWithAnswers(t *testing.T) {
	if sent, answers := budget(t); sent+answers > limit {
		t.Errorf("control traffic of a daemon with the answers is %.0f B/s, limit %.0f", sent+answers, limit)
	}
}

// budget returns the bytes per second that a daemon sends to others, to engines and to the platform, and those of the
// answers of engines and platform. A message between daemons counts at its sender. The bytes of HTTP are those of a real
// exchange with its headers; those of TCP and IP and the contents of cache events are left out (see docs/CAPACITY.md).
// Periods count with their mean jitter.
func budget(t *testing.T) (sent, answers float64) {
	size := func(m peer.Message) float64 {
		b, err := peer.Encode(m, timeline.Stamp{Wall: time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixMicro(), Count: 1})
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(b))
	}
	addr := netip.MustParseAddrPort("10.100.200.100:18443")
	now := uint64(time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	wanted := peer.Wanted{Group: "asistente-tallas/75", Generation: 300, Revision: 20000, Seq: now, Turn: now, Borrowers: 30}
	for org := range 5 {
		// The lines of a daemon that runs a request or two of each of 5 organisations.
		wanted.Lines = append(wanted.Lines, peer.Line{Rank: note.Rank(org % note.Ranks), Org: org, Running: 2})
	}
	demand := size(&peer.Demand{Groups: []peer.Wanted{wanted}})
	grant := size(&peer.Grant{Groups: []peer.Lent{{Group: wanted.Group, Generation: 300, Caps: [3]int{4, 3, 2}, Floors: [3]int{4, 3, 2}, Millis: 1500, Seq: now, Turn: now, Borrowers: 30}}, Ages: []uint32{600}})
	hello := size(&peer.Hello{Boot: now, DataCentre: "rosario-a", Addr: addr, Operator: addr, Revision: 20000})
	http := exchanges(t)

	// The periods of package control and lease are not exported: 3 ms for each daemon between reads of the
	// counter rows, 30 s for the lease of each service.
	every := func(d time.Duration, jitter float64) float64 { return 1 / (d.Seconds() * (1 - jitter/2)) }
	terms := []struct {
		name string
		rate float64
		cost exchange
	}{
		{"demands and grants, running requests", subset * every(share.RenewInterval, 0), exchange{sent: demand + grant + 3*packet}},
		{"hello", every(revision.HelloPeriod, 0.5), exchange{sent: hello + 2*packet}},
		{"probes of members", groups * instances / float64(daemons) * every(member.ProbePeriod, 0.1), http["state"]},
		// The grants prove that members are present, so that no load reports are asked for (TestProven of package control).
		{"cache events, none", subset * every(cachePause, 0), http["cache"]},
		{"list of instances", every(daemons*watchShare, 0.2), http["list"]},
		{"counter rows", every(daemons*3*time.Millisecond, 0.2), http["counters"]},
		{"head of the configuration", every(revision.ReadPeriod, 0.5), http["head"]},
		{"rows of daemons", every(registerPeriod, 0.3), http["daemons"]},
		{"leases", services * every(30*time.Second, 0.2), http["lease"]},
		// 155 instances fail, restart or are replaced a day; each is leaving, away and back. 350 notes a day.
		{"changed list", 155 * 3 / 86400.0, http["list changed"]},
		{"changed configuration", 350 / 86400.0, exchange{20000, 20000}},
	}
	for _, x := range terms {
		t.Logf("%-38s %5.2f/s of %5.0f + %5.0f bytes: %5.0f + %5.0f B/s", x.name, x.rate, x.cost.sent, x.cost.answer, x.rate*x.cost.sent, x.rate*x.cost.answer)
		sent += x.rate * x.cost.sent
		answers += x.rate * x.cost.answer
	}
	t.Logf("sent %.0f, answers %.0f, limit %.0f B/s", sent, answers, limit)
	return sent, answers
}

// exchange is the bytes of a question and its answer.
type exchange struct{ sent, answer float64 }

// exchanges returns one exchange of each kind at the stated size.
func exchanges(t *testing.T) map[string]exchange {
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
	pc, stopPlatform := platform.Dial(at(ps))
	t.Cleanup(stopPlatform)
	ec, stopEngine := engine.NewClient()
	t.Cleanup(stopEngine)
	ctx := context.Background()

	var list []platform.Instance
	var writes []platform.Write
	for i := range daemons {
		name := fmt.Sprintf("tallado-%d", i)
		list = append(list, platform.Instance{ID: name, Addr: at(ps), Kind: platform.KindDaemon, DataCentre: "rosario-a", State: platform.Live})
		writes = append(writes, platform.Write{Key: prefixDaemon + name, Value: []byte(strings.Repeat("v", 200))})
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
	_, err := pc.Commit(ctx, platform.Txn{Op: "setup", Writes: writes})
	check(err)
	check(ec.Order(ctx, at(es), engine.Order{
		Op: engine.OpLoad, Fence: 1000, Group: "asistente-tallas/75", Generation: 300, Members: []netip.AddrPort{at(es)},
		Model: "asistente-tallas-70b", Version: "12",
	}))
	out := map[string]exchange{}
	cost := func(name string, stats func() traffic.Stats, f func() error) {
		t.Helper()
		check(f()) // The first exchange opens the connection and fetches what does not change.
		before := stats()
		check(f())
		after := stats()
		out[name] = exchange{float64(after.Out - before.Out), float64(after.In - before.In)}
	}
	engines := func() traffic.Stats { s, _ := ec.Traffic(); return s }
	cost("state", engines, func() error { _, err := ec.State(ctx, at(es)); return err })
	cost("load", engines, func() error { _, err := ec.Load(ctx, at(es)); return err })
	cost("cache", engines, func() error { _, err := ec.Cache(ctx, at(es), 1<<30); return err })
	cost("list", pc.Traffic, func() error { _, err := pc.Roster(ctx); return err })
	cost("counters", pc.Traffic, func() error { _, err := pc.Scan(ctx, group.PrefixCounter); return err })
	cost("daemons", pc.Traffic, func() error { _, err := pc.Scan(ctx, prefixDaemon); return err })
	cost("head", pc.Traffic, func() error { _, err := pc.Scan(ctx, "config/head"); return err })
	cost("lease", pc.Traffic, func() error { _, err := pc.Read(ctx, "lease/x"); return err })
	i := 0
	cost("list changed", pc.Traffic, func() error {
		list[i].State = platform.Leaving
		p.Add(list[i])
		i++
		_, err := pc.Roster(ctx)
		return err
	})
	return out
}
