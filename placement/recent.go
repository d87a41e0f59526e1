// SPDX-License-Identifier: Apache-2.0

package placement

import "cairnwick.example/topology"

// recent is the adapters that an endpoint held lately and has in its memory: the zero
// value holds none.
type recent struct {
	left  map[topology.Adapter]int // when each left its slot, counted in adapters
	count int
}

// has tells whether the endpoint's memory keeps an adapter.
func (r *recent) has(a topology.Adapter) bool {
	_, ok := r.left[a]
	return ok
}

// add notes that an adapter left its slot just now; the one that left first is dropped
// where there are too many.
func (r *recent) add(a topology.Adapter) {
	if r.left == nil {
		r.left = make(map[topology.Adapter]int)
	}
	r.count++
	r.left[a] = r.count
	if len(r.left) <= warmAdapters {
		return
	}
	first, least := a, r.count
	for b, n := range r.left {
		if n < least {
			first, least = b, n
		}
	}
	delete(r.left, first)
}

// isWarm tells whether the endpoint's memory keeps an adapter that it held lately.
func (o *owned) isWarm(a topology.Adapter) bool { return o != nil && o.recent.has(a) }
