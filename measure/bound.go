// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"math"
	"time"
)

// fewestLoads returns how many loads a policy that knows the future needs for a
// sequence of adapters with so many slots in all: it always evicts what is asked
// for the latest. Only loads from the request called first on count; those before
// warm the slots.
func fewestLoads(asked []string, slots, first int) int {
	loads := 0
	for i, m := range missed(asked, slots) {
		if m && i >= first {
			loads++
		}
	}
	return loads
}

// missed tells of each request whether that policy has to load its adapter.
func missed(asked []string, slots int) []bool {
	next := nextUse(asked)
	held := make(map[string]int) // when each adapter in a slot is asked for again
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

// nextUse returns, for each request, when its adapter is asked for again.
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

func latest(held map[string]int) string {
	best, most := "", -1
	for a, n := range held {
		if n > most {
			best, most = a, n
		}
	}
	return best
}

// stallBound is the least mean stall: the fewest loads, each waited for by one
// request alone and never queued behind another.
func stallBound(loads, requests int, loadTime time.Duration) float64 {
	if requests == 0 {
		return 0
	}
	return millis(loadTime) * float64(loads) / float64(requests)
}
