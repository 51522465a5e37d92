package member

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Guards against Home and HomeCache returning another home than RendezvousOrder, also after the nodes have changed.
// Daemons that use one or the other must agree on the home.
func TestHomeIsFirstInRendezvousOrder(t *testing.T) {
	var h HomeCache
	h.SetNodes(nil)
	if h.Home("model-desk/1") != "" {
		t.Error("a home without nodes")
	}
	for n := 1; n <= 371; n += 37 {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("entry-%d", i+n))
		}
		h.SetNodes(nodes)
		for i := range 150 {
			key := fmt.Sprintf("model-desk/%d", i%75)
			want := RendezvousOrder(key, nodes)[0]
			if Home(key, nodes) != want || h.Home(key) != want {
				t.Fatalf("%s among %d: %s and %s, want %s", key, n, Home(key, nodes), h.Home(key), want)
			}
		}
	}
}

// Guards against an order that is not by score and then by name, also with duplicate names. Daemons of different
// versions must agree on the order.
func TestOrderIsByScore(t *testing.T) {
	for n := range 400 {
		nodes := []string{}
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("entry-%d", (i*7919)%max(1, n-n/9)))
		}
		got, want := RendezvousOrder("lease/model-desk", nodes), slices.Clone(nodes)
		sum := func(node string) uint64 { return xxhash.Sum64String("lease/model-desk\x00" + node) }
		slices.SortFunc(want, func(a, b string) int { return cmp.Or(cmp.Compare(sum(b), sum(a)), cmp.Compare(a, b)) })
		if !slices.Equal(got, want) {
			t.Fatalf("%d nodes: %v, want %v", n, got, want)
		}
	}
}

// BenchmarkHomes finds the homes of 75 groups among 370 daemons, as package loan does 8 times a second.
func BenchmarkHomes(b *testing.B) {
	var nodes, keys []string
	for i := range 370 {
		nodes = append(nodes, fmt.Sprintf("craigmhor-%d", i))
	}
	for i := range 75 {
		keys = append(keys, fmt.Sprintf("model-desk/%d", i))
	}
	var h HomeCache
	for name, first := range map[string]func(string) string{
		"order": func(k string) string { return RendezvousOrder(k, nodes)[0] }, "first": func(k string) string { return Home(k, nodes) },
		"remembered": h.Home,
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h.SetNodes(nodes)
				for _, k := range keys {
					first(k)
				}
			}
		})
	}
}
