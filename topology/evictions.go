// SPDX-License-Identifier: Apache-2.0

package topology

// maxEvictionHistory bounds the evicted adapters that are remembered for an endpoint. It is above the number
// that an endpoint keeps in memory.
const maxEvictionHistory = 256

// evictionHistory records the order in which adapters were evicted from an endpoint's slots. The endpoint's
// own memory still has the latest of them. The zero value is empty.
type evictionHistory struct {
	sequences map[Adapter]int // sequence number of each adapter's latest eviction
	count     int             // sequence number of the latest eviction
}

// add records the eviction of an adapter and drops the oldest record if there are too many.
func (h *evictionHistory) add(a Adapter) {
	if h.sequences == nil {
		h.sequences = make(map[Adapter]int)
	}
	h.count++
	h.sequences[a] = h.count
	if len(h.sequences) <= maxEvictionHistory {
		return
	}
	oldest, lowest := a, h.count
	for b, n := range h.sequences {
		if n < lowest {
			oldest, lowest = b, n
		}
	}
	delete(h.sequences, oldest)
}

// evictionsSince returns how many evictions followed the adapter's latest one, and false if none of the adapter is
// recorded.
func (h *evictionHistory) evictionsSince(a Adapter) (int, bool) {
	n, ok := h.sequences[a]
	return h.count - n, ok
}
