// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"math"
	"time"
)

// fewestLoads returns the minimum number of loads for a sequence of requested adapters with
// the given total number of slots. It applies Bélády's offline optimal algorithm: evict the
// adapter whose next request is furthest away. Loads are counted from the request with index
// first; earlier requests only warm the slots.
func fewestLoads(asked []string, slots, first int) int {
	loads := 0
	for i, m := range missed(asked, slots) {
		if m && i >= first {
			loads++
		}
	}
	return loads
}

// missed reports for each request whether the offline optimal policy has to load its adapter.
func missed(asked []string, slots int) []bool {
	next := nextUse(asked)
	held := make(map[string]int) // adapter in a slot -> index of its next request
	list := make([]bool, len(asked))
	for i, a := range asked {
		if _, ok := held[a]; !ok {
			list[i] = true
			if len(held) >= slots {
				delete(held, latest(held))
			}
		}
		held[a] = next[i]
	}
	return list
}

// nextUse returns, for each request, the index of the next request for the same adapter,
// or math.MaxInt if there is none.
func nextUse(asked []string) []int {
	next := make([]int, len(asked))
	seen := make(map[string]int)
	for i := len(asked) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if n, ok := seen[asked[i]]; ok {
			next[i] = n
		}
		seen[asked[i]] = i
	}
	return next
}

// latest returns the adapter whose next request is furthest away.
func latest(held map[string]int) string {
	best, most := "", -1
	for a, n := range held {
		if n > most {
			best, most = a, n
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
