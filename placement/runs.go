// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// runs counts the requests under way at endpoints, as the boxes tell. The sums are kept, so
// that what one report costs does not grow with the number of boxes.
type runs struct {
	boxes     map[string]boxRuns
	endpoints map[string]int
	adapters  map[wantKey]int // by endpoint and adapter
}

// boxRuns is what one box told last.
type boxRuns struct {
	at       time.Time
	adapters map[wantKey]int
}

func newRuns() runs {
	return runs{boxes: make(map[string]boxRuns), endpoints: make(map[string]int), adapters: make(map[wantKey]int)}
}

// at returns how many requests all boxes have under way at an endpoint.
func (r *runs) at(endpoint string) int { return r.endpoints[endpoint] }

// of returns how many of them are with an adapter.
func (r *runs) of(endpoint string, a topology.Adapter) int {
	return r.adapters[wantKey{endpoint: endpoint, adapter: a}]
}

// told takes a report; one that is only a part says nothing of the rest.
func (r *runs) told(box string, uses []Use, part bool, now time.Time) {
	b, known := r.boxes[box]
	if !part || !known {
		r.forgetBox(box)
		b.adapters = make(map[wantKey]int)
	}
	b.at = now
	for _, u := range uses {
		k := wantKey{endpoint: u.Endpoint, adapter: u.Adapter}
		r.add(k, u.Running-b.adapters[k])
		b.adapters[k] = u.Running
	}
	r.boxes[box] = b
}

// forget drops what boxes told that have said nothing for long.
func (r *runs) forget(now time.Time) {
	for box, b := range r.boxes {
		if now.Sub(b.at) >= runsLife {
			r.forgetBox(box)
		}
	}
}

func (r *runs) forgetBox(box string) {
	for k, n := range r.boxes[box].adapters {
		r.add(k, -n)
	}
	delete(r.boxes, box)
}

func (r *runs) add(k wantKey, n int) {
	if r.adapters[k] += n; r.adapters[k] == 0 {
		delete(r.adapters, k)
	}
	if r.endpoints[k.endpoint] += n; r.endpoints[k.endpoint] == 0 {
		delete(r.endpoints, k.endpoint)
	}
}
