// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/topology"
)

// Use is a box's report on an adapter at an endpoint.
type Use struct {
	Endpoint      string
	Adapter       topology.Adapter
	Started       int // requests sent since the box's last report
	Running       int // requests in progress
	PrefillTokens int // tokens of their prompts that the endpoint has not processed

	// At endpoints that are balanced by work:
	MemoryTokens int                 // tokens of the requests in progress, prompts and outputs
	Read         balance.Observation // prompts that the endpoint has read since the box's last report
	Failed       int                 // requests that failed there since then
	Streams      int                 // streams that ended there since then
	Pauses       time.Duration       // sum of the longest pauses between two events of each
}

const (
	usageReportExpiry  = 2 * time.Second // the reported requests of a box without a newer report for this time are dropped
	fullThreshold      = 0.6             // requests in progress per request slot from which an endpoint is full: above it batches become slow, and the next burst queues
	fullEndpointDemand = 1.0             // unserved requests that each complete usage report of a full endpoint counts as for its busiest adapter
)

// RecordUsage records a box's report on the endpoints of this box. A partial report leaves what
// the box reported earlier on other adapters unchanged.
func (l *Loader) RecordUsage(box string, uses []Use, partial bool, now time.Time) {
	bounded := make([]Use, len(uses))
	for i, u := range uses {
		bounded[i] = boundedUse(u)
	}
	uses = bounded
	l.mu.Lock()
	if n := l.inFlight.update(box, uses, partial, now); n > 0 {
		l.idleTransitions.Add(float64(n), now, idleRateHalfLife)
	}
	endpoints := make(map[string]bool)
	for _, u := range uses {
		endpoints[u.Endpoint] = true
		if u.Started > 0 {
			l.countRequestsLocked(u.Adapter, float64(u.Started), now)
		}
		if o := l.owned[u.Endpoint]; o != nil {
			if s := o.slots[u.Adapter]; s != nil {
				s.lastUsed = now
			}
			l.recordWorkLocked(o, box, u, now)
		}
	}
	var full []hotAdapter
	if !partial { // partial reports are many times as frequent and would request as many more copies
		full = l.hotAdaptersLocked(endpoints)
	}
	if len(l.pendingLoads) > 0 {
		l.wakeUp() // a slot may be idle now
	}
	l.mu.Unlock()
	for _, f := range full {
		l.requestCopies(f, now)
	}
}

// hotAdapter is the busiest adapter of a full endpoint.
type hotAdapter struct {
	pool    pool
	adapter topology.Adapter
	copies  int // endpoints that its requests in progress in the pool would fill
}

// hotAdaptersLocked returns the busiest adapter of each full endpoint among those given.
func (l *Loader) hotAdaptersLocked(endpoints map[string]bool) []hotAdapter {
	var hot []hotAdapter
	for id := range endpoints {
		o := l.owned[id]
		if o == nil || o.phase != owning || float64(l.inFlight.endpointRequests(id)) < l.comfortableRequests(o) {
			continue
		}
		busiest, most := topology.Adapter{}, 0
		for a, s := range o.slots {
			if n := l.inFlight.adapterRequests(id, a); s.ready && n > most {
				busiest, most = a, n
			}
		}
		if most > 0 {
			hot = append(hot, hotAdapter{pool: endpointPool(o.endpoint), adapter: busiest, copies: l.copiesNeededLocked(o, busiest)})
		}
	}
	return hot
}

// copiesNeededLocked returns how many endpoints of this size an adapter's requests in progress in
// the pool would fill.
func (l *Loader) copiesNeededLocked(o *ownedEndpoint, a topology.Adapter) int {
	n := 0
	for id, p := range l.owned {
		if endpointPool(p.endpoint) == endpointPool(o.endpoint) {
			n += l.inFlight.adapterRequests(id, a)
		}
	}
	return int(math.Ceil(float64(n) / l.comfortableRequests(o)))
}

// comfortableRequests is the number of concurrent requests from which an endpoint counts as full. If its memory limits
// them before its slots do, it is the number of such requests as run there that fill the part of its memory.
func (l *Loader) comfortableRequests(o *ownedEndpoint) float64 {
	slots := float64(o.endpoint.Slots())
	if g := l.engineSpec(o.endpoint); g.IsMemoryBound() {
		w := l.inFlight.endpoints[o.endpoint.ID()]
		if w.requests > 0 && w.memoryTokens > 0 {
			slots = min(slots, float64(g.MemoryTokens)*float64(w.requests)/float64(w.memoryTokens))
		}
	}
	return fullThreshold * slots
}
