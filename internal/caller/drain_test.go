package caller

import (
	"net/netip"
	"slices"
	"testing"
)

// Guards against callers who all begin with one daemon, or who are sent to another data centre first.
func TestSpread(t *testing.T) {
	addr := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	near := []netip.AddrPort{addr("10.0.0.1:1"), addr("10.0.0.2:1"), addr("10.0.0.3:1")}
	far := []netip.AddrPort{addr("10.1.0.1:1"), addr("10.1.0.2:1")}
	first := map[netip.AddrPort]int{}
	for range 300 {
		list := Spread(near, far)
		first[list[0]]++
		if len(list) != 5 || slices.Contains(near, list[3]) || slices.Contains(near, list[4]) {
			t.Fatalf("order %v", list)
		}
	}
	// Each has a third on average; 50 is more than 6 standard deviations below.
	for _, a := range near {
		if first[a] < 50 {
			t.Errorf("%v was first %d times in 300", a, first[a])
		}
	}
}
