// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// runs counts the requests under way at endpoints, as the boxes tell. The sums are kept, so
// that what one report costs does not grow with the number of boxes.
type inFlightTable struct {
	boxes     map[string]boxUsage
	endpoints map[string]workload
	adapters  map[placementKey]workload // by endpoint and adapter
}

// load is some requests under way.
type workload struct {
	requests      int
	prefillTokens int // tokens of their prompts that the endpoint has not read
}

// boxRuns is what one box told last.
type boxUsage struct {
	receivedAt time.Time
	adapters   map[placementKey]workload
}

func newInFlightTable() inFlightTable {
	return inFlightTable{boxes: make(map[string]boxUsage), endpoints: make(map[string]workload), adapters: make(map[placementKey]workload)}
}

// at returns how many requests all boxes have under way at an endpoint.
func (r *inFlightTable) endpointRequests(endpoint string) int { return r.endpoints[endpoint].requests }

// reading returns how many tokens of their prompts an endpoint has not read.
func (r *inFlightTable) prefillTokens(endpoint string) int {
	return r.endpoints[endpoint].prefillTokens
}

// of returns how many of them are with an adapter.
func (r *inFlightTable) adapterRequests(endpoint string, a topology.Adapter) int {
	return r.adapters[placementKey{endpoint: endpoint, adapter: a}].requests
}

// told takes a report; one that is only a part says nothing of the rest. It returns how many
// adapters came to rest at their endpoints by it.
func (r *inFlightTable) update(box string, uses []Use, part bool, now time.Time) (rested int) {
	b, known := r.boxes[box]
	if !part || !known {
		r.removeBox(box)
		b.adapters = make(map[placementKey]workload)
	}
	b.receivedAt = now
	for _, u := range uses {
		k := placementKey{endpoint: u.Endpoint, adapter: u.Adapter}
		w := workload{requests: u.Running, prefillTokens: u.PrefillTokens}
		ran := r.adapters[k].requests > 0 || b.adapters[k].requests > 0
		r.add(k, w.minus(b.adapters[k]))
		b.adapters[k] = w
		if ran && r.adapters[k].requests == 0 {
			rested++
		}
	}
	r.boxes[box] = b
	return rested
}

// forget drops what boxes told that have said nothing for long.
func (r *inFlightTable) expire(now time.Time) {
	for box, b := range r.boxes {
		if now.Sub(b.receivedAt) >= usageReportExpiry {
			r.removeBox(box)
		}
	}
}

func (r *inFlightTable) removeBox(box string) {
	for k, n := range r.boxes[box].adapters {
		r.add(k, workload{}.minus(n))
	}
	delete(r.boxes, box)
}

func (r *inFlightTable) add(k placementKey, more workload) {
	a := r.adapters[k].plus(more)
	if r.adapters[k] = a; a == (workload{}) {
		delete(r.adapters, k)
	}
	e := r.endpoints[k.endpoint].plus(more)
	if r.endpoints[k.endpoint] = e; e == (workload{}) {
		delete(r.endpoints, k.endpoint)
	}
}

func (a workload) plus(b workload) workload {
	return workload{requests: a.requests + b.requests, prefillTokens: a.prefillTokens + b.prefillTokens}
}

func (a workload) minus(b workload) workload {
	return workload{requests: a.requests - b.requests, prefillTokens: a.prefillTokens - b.prefillTokens}
}
