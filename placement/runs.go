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
	endpoints map[string]load
	adapters  map[wantKey]load // by endpoint and adapter
}

// load is some requests under way.
type load struct {
	requests int
	reading  int // tokens of their prompts that the endpoint has not read
}

// boxRuns is what one box told last.
type boxRuns struct {
	at       time.Time
	adapters map[wantKey]load
}

func newRuns() runs {
	return runs{boxes: make(map[string]boxRuns), endpoints: make(map[string]load), adapters: make(map[wantKey]load)}
}

// at returns how many requests all boxes have under way at an endpoint.
func (r *runs) at(endpoint string) int { return r.endpoints[endpoint].requests }

// reading returns how many tokens of their prompts an endpoint has not read.
func (r *runs) reading(endpoint string) int { return r.endpoints[endpoint].reading }

// of returns how many of them are with an adapter.
func (r *runs) of(endpoint string, a topology.Adapter) int {
	return r.adapters[wantKey{endpoint: endpoint, adapter: a}].requests
}

// told takes a report; one that is only a part says nothing of the rest. It returns how many
// adapters came to rest at their endpoints by it.
func (r *runs) told(box string, uses []Use, part bool, now time.Time) (rested int) {
	b, known := r.boxes[box]
	if !part || !known {
		r.forgetBox(box)
		b.adapters = make(map[wantKey]load)
	}
	b.at = now
	for _, u := range uses {
		k := wantKey{endpoint: u.Endpoint, adapter: u.Adapter}
		w := load{requests: u.Running, reading: u.Reading}
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
func (r *runs) forget(now time.Time) {
	for box, b := range r.boxes {
		if now.Sub(b.at) >= runsLife {
			r.forgetBox(box)
		}
	}
}

func (r *runs) forgetBox(box string) {
	for k, n := range r.boxes[box].adapters {
		r.add(k, load{}.minus(n))
	}
	delete(r.boxes, box)
}

func (r *runs) add(k wantKey, more load) {
	a := r.adapters[k].plus(more)
	if r.adapters[k] = a; a == (load{}) {
		delete(r.adapters, k)
	}
	e := r.endpoints[k.endpoint].plus(more)
	if r.endpoints[k.endpoint] = e; e == (load{}) {
		delete(r.endpoints, k.endpoint)
	}
}

func (a load) plus(b load) load {
	return load{requests: a.requests + b.requests, reading: a.reading + b.reading}
}

func (a load) minus(b load) load {
	return load{requests: a.requests - b.requests, reading: a.reading - b.reading}
}
