// Package member keeps the view of which instances are there, and assigns names to daemons by rendezvous hashing.
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the nodes in rendezvous order for a key: the first is the key's home, and when it is lost the second
// takes over, while the homes of other keys stay where they are.
func Order(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, xxhash.Sum64String(key + "\x00" + n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.node
	}
	return out
}
