package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
)

// Guards against downloading the list of instances or table rows again although they have not changed (200 KB each time
// at 970 instances), and against serving a cached response after a change or while the platform is down.
func TestReadsOnlyChanges(t *testing.T) {
	p := standin.NewPlatform(0)
	s := httptest.NewServer(p)
	defer s.Close()
	c, stop := platform.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	defer stop()
	ctx := context.Background()
	instance := func(i int) platform.Instance {
		return platform.Instance{
			ID: fmt.Sprintf("rosario-a-%03d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 8000),
			Kind: platform.KindEngine, DataCentre: "rosario-a", Domain: "rosario-a-1", Accelerators: 8, State: platform.Live,
		}
	}
	for i := range 970 {
		p.Add(instance(i))
	}
	const maxUnchangedBytes = 500 // The request and the response of an unchanged read, headers included.
	read := func(want int) uint64 {
		t.Helper()
		before := c.Traffic()
		r, err := c.Roster(ctx)
		if err != nil || len(r.Instances) != want {
			t.Fatalf("%d instances, want %d: %v", len(r.Instances), want, err)
		}
		after := c.Traffic()
		return after.In + after.Out - before.In - before.Out
	}
	full, unchanged := read(970), read(970)
	t.Logf("list of 970 instances: %d bytes, unchanged %d", full, unchanged)
	if unchanged > maxUnchangedBytes {
		t.Errorf("reading an unchanged list transferred %d bytes", unchanged)
	}
	p.Add(instance(970))
	read(971)

	write := func(value string) {
		t.Helper()
		if _, err := c.Commit(ctx, platform.Txn{OperationID: value, Writes: []platform.Write{{Key: "config/head", Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, value := range []string{strings.Repeat("x", 5000), "y"} {
		write(value)
		for i := range 2 {
			before := c.Traffic()
			rows, err := c.Scan(ctx, "config/")
			if err != nil || len(rows) != 1 || string(rows[0].Value) != value {
				t.Fatalf("%d rows, want one of %d bytes: %v", len(rows), len(value), err)
			}
			if after := c.Traffic(); i == 1 && after.In+after.Out-before.In-before.Out > maxUnchangedBytes {
				t.Errorf("reading unchanged rows transferred %d bytes", after.In+after.Out-before.In-before.Out)
			}
		}
	}
	p.SetFaults(standin.PlatformFaults{Down: true})
	var down *platform.UnavailableError
	if _, err := c.Scan(ctx, "config/"); !errors.As(err, &down) {
		t.Errorf("scan while the platform is down: %v, want *UnavailableError", err)
	}
}
