// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// inFlightTable counts the requests in progress at endpoints, as reported by the boxes. Totals
// are maintained incrementally, so the cost of a report does not grow with the number of boxes.
type inFlightTable struct {
	boxes     map[string]boxUsage
	endpoints map[string]workload
	adapters  map[placementKey]workload // per endpoint and adapter
	reading   map[string]reading        // by endpoint with unprocessed prompts
	longReads map[string]time.Time      // by endpoint: when it last had processed prompts for longReadTime without a break
}

const (
	// longReadTime is how long an endpoint must have processed prompts without a break for the pauses of its streams to
	// show how long they are at most. At endpoints that process one prompt now and then they are much shorter.
	longReadTime = 400 * time.Millisecond
	// longReadRecency is how long ago that may have been when a stream ends: streams take some seconds.
	longReadRecency = 3 * time.Second
)

// reading says since when an endpoint processes prompts.
type reading struct {
	since      time.Time // it had none before
	progressAt time.Time // when one was last processed, or since
}

// workload is a number of requests in progress.
type workload struct {
	requests      int
	prefillTokens int // tokens of their prompts that the endpoint has not processed
	memoryTokens  int // tokens of their prompts and outputs; reported for endpoints that are balanced by work
}

// boxUsage is the latest usage reported by a box.
type boxUsage struct {
	receivedAt time.Time
	adapters   map[placementKey]workload
}

func newInFlightTable() inFlightTable {
	return inFlightTable{boxes: make(map[string]boxUsage), endpoints: make(map[string]workload), adapters: make(map[placementKey]workload), reading: make(map[string]reading), longReads: make(map[string]time.Time)}
}

// endpointRequests returns how many requests of all boxes are in progress at an endpoint.
func (r *inFlightTable) endpointRequests(endpoint string) int { return r.endpoints[endpoint].requests }

// prefillTokens returns how many tokens of their prompts an endpoint has not processed.
func (r *inFlightTable) prefillTokens(endpoint string) int {
	return r.endpoints[endpoint].prefillTokens
}

// memoryTokens returns how many tokens the requests in progress at an endpoint may hold in its memory.
func (r *inFlightTable) memoryTokens(endpoint string) int { return r.endpoints[endpoint].memoryTokens }

// readingOf returns since when an endpoint processes prompts; false: it has none.
func (r *inFlightTable) readingOf(endpoint string) (reading, bool) {
	p, busy := r.reading[endpoint]
	return p, busy
}

// recordProgress updates reading after a report on an endpoint; read: the endpoint has processed a prompt since the
// report before.
func (r *inFlightTable) recordProgress(endpoint string, read bool, now time.Time) {
	p, busy := r.reading[endpoint]
	if busy && now.Sub(p.since) >= longReadTime {
		r.longReads[endpoint] = now
	}
	switch {
	case r.prefillTokens(endpoint) <= 0:
		delete(r.reading, endpoint)
	case !busy:
		r.reading[endpoint] = reading{since: now, progressAt: now}
	case read:
		p.progressAt = now
		r.reading[endpoint] = p
	}
}

// hadLongRead reports whether an endpoint recently processed prompts without a break for longReadTime.
func (r *inFlightTable) hadLongRead(endpoint string, now time.Time) bool {
	at, ok := r.longReads[endpoint]
	return ok && now.Sub(at) <= longReadRecency
}

// adapterRequests returns how many of them use an adapter.
func (r *inFlightTable) adapterRequests(endpoint string, a topology.Adapter) int {
	return r.adapters[placementKey{endpoint: endpoint, adapter: a}].requests
}

// update records a report; a partial one leaves the box's other entries unchanged. It returns
// how many adapters became idle at their endpoints.
func (r *inFlightTable) update(box string, uses []Use, partial bool, now time.Time) (idled int) {
	b, known := r.boxes[box]
	before := b.adapters
	if !partial || !known {
		r.removeBox(box)
		b.adapters = make(map[placementKey]workload)
	}
	b.receivedAt = now
	read := make(map[string]bool) // by endpoint: it has processed prompts
	for _, u := range uses {
		k := placementKey{endpoint: u.Endpoint, adapter: u.Adapter}
		w := workload{requests: u.Running, prefillTokens: u.PrefillTokens, memoryTokens: u.MemoryTokens}
		read[k.endpoint] = read[k.endpoint] || u.Read.Prompts > 0 || w.prefillTokens < before[k].prefillTokens
		ran := r.adapters[k].requests > 0 || b.adapters[k].requests > 0
		r.add(k, w.minus(b.adapters[k]))
		b.adapters[k] = w
		if ran && r.adapters[k].requests == 0 {
			idled++
		}
	}
	for k, w := range before {
		if _, reported := b.adapters[k]; !reported {
			read[k.endpoint] = read[k.endpoint] || w.prefillTokens > 0
		}
	}
	for endpoint, progress := range read {
		r.recordProgress(endpoint, progress, now)
	}
	r.boxes[box] = b
	return idled
}

// expire drops the entries of boxes that have not reported for usageReportExpiry.
func (r *inFlightTable) expire(now time.Time) {
	for box, b := range r.boxes {
		if now.Sub(b.receivedAt) >= usageReportExpiry {
			r.removeBox(box)
		}
	}
	for endpoint, at := range r.longReads {
		if now.Sub(at) > longReadRecency {
			delete(r.longReads, endpoint)
		}
	}
	for endpoint := range r.reading {
		if r.prefillTokens(endpoint) <= 0 {
			delete(r.reading, endpoint)
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
	return workload{requests: a.requests + b.requests, prefillTokens: a.prefillTokens + b.prefillTokens, memoryTokens: a.memoryTokens + b.memoryTokens}
}

func (a workload) minus(b workload) workload {
	return workload{requests: a.requests - b.requests, prefillTokens: a.prefillTokens - b.prefillTokens, memoryTokens: a.memoryTokens - b.memoryTokens}
}
