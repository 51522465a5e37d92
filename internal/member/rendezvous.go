// Package member keeps the view of which instances are there, and assigns names to daemons by rendezvous hashing.
package member

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the nodes in rendezvous order for a key: the first is the key's home, and when it is lost the second
// takes over, while the homes of other keys stay where they are.
//
// Its cost grows with the nodes (about 370) for each of many keys, so it hashes without an allocation for each node.
func Order(key string, nodes []string) []string {
	// Scores are sorted as plain numbers, with the node's index in place of the lowest bits: 370 nodes for each of 75 keys
	// are sorted about once a second.
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
		// Nodes whose scores agree in the other bits follow each other by the whole score, then by name.
		for k := i; k > 0 && all[k-1]&^mask == s&^mask && before(buf, key, out[k], out[k-1]); k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// before is whether node a precedes node b for a key.
func before(buf []byte, key, a, b string) bool {
	x, y := score(buf, key, a), score(buf, key, b)
	return x > y || x == y && a < b
}

func score(buf []byte, key, node string) uint64 {
	return xxhash.Sum64(append(append(append(buf, key...), 0), node...))
}

// First returns the first node in rendezvous order for a key, or "" without any. It costs much less than Order.
func First(key string, nodes []string) string {
	buf := make([]byte, 0, 128)
	first, most := "", uint64(0)
	for _, n := range nodes {
		if s := score(buf, key, n); first == "" || s > most || s == most && n < first {
			first, most = n, s
		}
	}
	return first
}

// Homes finds the first node of many keys over the same nodes and remembers it until the nodes change. The zero value is
// ready.
type Homes struct {
	nodes []string
	first map[string]string
}

// homesMost bounds the keys remembered; names of groups that are gone are forgotten with the rest.
const homesMost = 4096

// Set sets the nodes.
func (h *Homes) Set(nodes []string) {
	if h.first == nil || !slices.Equal(h.nodes, nodes) || len(h.first) >= homesMost {
		h.nodes, h.first = slices.Clone(nodes), map[string]string{}
	}
}

// First is like the function First. Set is called before.
func (h *Homes) First(key string) string {
	home, ok := h.first[key]
	if !ok {
		home = First(key, h.nodes)
		h.first[key] = home
	}
	return home
}
