// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"math"
	"time"
)

// minLoads returns the minimum number of loads for a sequence of requested adapters with
// the given total number of slots. It applies Bélády's offline optimal algorithm: evict the
// adapter whose next request is furthest away. Loads are counted from the request with index
// first; earlier requests only warm the slots.
func minLoads(requested []string, slots, first int) int {
	loads := 0
	for i, m := range optimalMisses(requested, slots) {
		if m && i >= first {
			loads++
		}
	}
	return loads
}

// optimalMisses reports for each request whether the offline optimal policy has to load its adapter.
func optimalMisses(requested []string, slots int) []bool {
	next := nextRequests(requested)
	held := make(map[string]int) // adapter in a slot -> index of its next request
	misses := make([]bool, len(requested))
	for i, a := range requested {
		if _, ok := held[a]; !ok {
			misses[i] = true
			if len(held) >= slots {
				delete(held, furthest(held))
			}
		}
		held[a] = next[i]
	}
	return misses
}

// nextRequests returns, for each request, the index of the next request for the same adapter,
// or math.MaxInt if there is none.
func nextRequests(requested []string) []int {
	next := make([]int, len(requested))
	seen := make(map[string]int)
	for i := len(requested) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if n, ok := seen[requested[i]]; ok {
			next[i] = n
		}
		seen[requested[i]] = i
	}
	return next
}

// furthest returns the adapter whose next request is furthest away.
func furthest(held map[string]int) string {
	best, index := "", -1
	for a, n := range held {
		if n > index {
			best, index = a, n
		}
	}
	return best
}

// stallBound returns a lower bound of the mean load stall in milliseconds. It assumes that
// exactly one request waits for each load and that loads never queue.
func stallBound(loads, requests int, loadTime time.Duration) float64 {
	if requests == 0 {
		return 0
	}
	return millis(loadTime) * float64(loads) / float64(requests)
}
