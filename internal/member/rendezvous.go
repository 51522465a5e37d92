// Package member tracks the state of instances, and assigns keys to daemons by rendezvous hashing.
package member

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder returns the nodes in rendezvous order for a key: the first is the key's home. When it is lost, the
// second becomes the home, while the homes of other keys don't change.
//
// It hashes every node (about 370) for each of many keys, so it avoids an allocation for each node.
func RendezvousOrder(key string, nodes []string) []string {
	// Scores are sorted as plain integers whose lowest bits are replaced by the index of the node, since 370 nodes are
	// sorted for each of 75 keys about once a second.
	low := bits.Len(uint(len(nodes)))
	mask := uint64(1)<<low - 1
	buf := make([]byte, 0, 128)
	all := make([]uint64, len(nodes))
	for i, n := range nodes {
		all[i] = ^score(buf, key, n)&^mask | uint64(i)
	}
	slices.Sort(all)
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = nodes[s&mask]
		// Nodes whose scores have equal high bits are ordered by full score, then by name.
		for k := i; k > 0 && all[k-1]&^mask == s&^mask && precedes(buf, key, out[k], out[k-1]); k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// precedes reports whether node a comes before node b in the order for a key.
func precedes(buf []byte, key, a, b string) bool {
	scoreA, scoreB := score(buf, key, a), score(buf, key, b)
	return scoreA > scoreB || scoreA == scoreB && a < b
}

func score(buf []byte, key, node string) uint64 {
	return xxhash.Sum64(append(append(append(buf, key...), 0), node...))
}

// Home returns the first node in rendezvous order for a key, or "" if there are no nodes. It is much cheaper than
// RendezvousOrder.
func Home(key string, nodes []string) string {
	buf := make([]byte, 0, 128)
	first, highest := "", uint64(0)
	for _, n := range nodes {
		if s := score(buf, key, n); first == "" || s > highest || s == highest && n < first {
			first, highest = n, s
		}
	}
	return first
}

// HomeCache caches the homes of keys until the set of nodes changes. The zero value is ready to use.
type HomeCache struct {
	nodes []string
	homes map[string]string
}

// maxCachedHomes limits the size of the cache. When it is reached, the whole cache is cleared, which also removes the
// keys of groups that no longer exist.
const maxCachedHomes = 4096

// SetNodes sets the nodes and clears the cache if they have changed or the cache is full.
func (h *HomeCache) SetNodes(nodes []string) {
	if h.homes == nil || !slices.Equal(h.nodes, nodes) || len(h.homes) >= maxCachedHomes {
		h.nodes, h.homes = slices.Clone(nodes), map[string]string{}
	}
}

// Home returns the same as the function Home for the nodes given to SetNodes, which must have been called.
func (h *HomeCache) Home(key string) string {
	home, ok := h.homes[key]
	if !ok {
		home = Home(key, h.nodes)
		h.homes[key] = home
	}
	return home
}
