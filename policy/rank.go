// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names for a key by rendezvous hashing: all daemons compute the same
// order, and removing a name moves only the keys that ranked it first.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{name: n, score: score(key, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.name
	}
	return ranked
}

// First returns the name that Rank puts first, without sorting; "" if there are no names.
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		s := score(key, n)
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

func score(key, name string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(name)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(key)
	return mixBits(h.Sum64())
}

// mixBits is the finaliser of SplitMix64. It decorrelates the hashes of similar names.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
