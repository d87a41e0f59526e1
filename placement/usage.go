// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"time"

	"cairnwick.example/topology"
)

// Use is what one box tells of an adapter at an endpoint.
type Use struct {
	Endpoint      string
	Adapter       topology.Adapter
	Started       int // requests begun since the box told last
	Running       int // requests under way
	PrefillTokens int // tokens of their prompts that the endpoint has not read
}

const (
	usageReportExpiry  = 2 * time.Second // a box that says nothing for so long has nothing under way here
	fullThreshold      = 0.6             // of an endpoint's slots in use: batches become slow, and the next burst queues
	fullEndpointDemand = 1.0             // requests asked in vain that a full endpoint counts as for its hottest adapter, each time
)

// Used takes what a box tells of the endpoints of this box. What tells only a part says
// nothing of the rest.
func (l *Loader) RecordUsage(box string, uses []Use, part bool, now time.Time) {
	l.mu.Lock()
	if n := l.inFlight.update(box, uses, part, now); n > 0 {
		l.idleTransitions.Add(float64(n), now, idleRateHalfLife)
	}
	endpoints := make(map[string]bool)
	for _, u := range uses {
		endpoints[u.Endpoint] = true
		if u.Started > 0 {
			l.countRequestsLocked(u.Adapter, float64(u.Started), now)
		}
		if o := l.owned[u.Endpoint]; o != nil && o.slots[u.Adapter] != nil {
			o.slots[u.Adapter].lastUsed = now
		}
	}
	var full []hotAdapter
	if !part { // changes come many times as often, and would ask for many times the copies
		full = l.hotAdaptersLocked(endpoints)
	}
	if len(l.pendingLoads) > 0 {
		l.wakeUp() // a slot may rest now
	}
	l.mu.Unlock()
	for _, f := range full {
		l.requestCopies(f, now)
	}
}

// pressure is an adapter that fills an endpoint.
type hotAdapter struct {
	centre  string
	adapter topology.Adapter
	copies  int // that its requests under way in the data centre would fill
}

// fullLocked returns the busiest adapter of each of the endpoints that is full.
func (l *Loader) hotAdaptersLocked(endpoints map[string]bool) []hotAdapter {
	var full []hotAdapter
	for id := range endpoints {
		o := l.owned[id]
		if o == nil || o.phase != owning || float64(l.inFlight.endpointRequests(id)) < o.comfortableRequests() {
			continue
		}
		busiest, most := topology.Adapter{}, 0
		for a, s := range o.slots {
			if n := l.inFlight.adapterRequests(id, a); s.ready && n > most {
				busiest, most = a, n
			}
		}
		if most > 0 {
			full = append(full, hotAdapter{centre: o.endpoint.DataCentre(), adapter: busiest, copies: l.copiesNeededLocked(o, busiest)})
		}
	}
	return full
}

// copiesLocked is how many endpoints like one the requests under way with an adapter in its
// data centre would fill.
func (l *Loader) copiesNeededLocked(o *ownedEndpoint, a topology.Adapter) int {
	n := 0
	for id, p := range l.owned {
		if p.endpoint.DataCentre() == o.endpoint.DataCentre() {
			n += l.inFlight.adapterRequests(id, a)
		}
	}
	return int(math.Ceil(float64(n) / o.comfortableRequests()))
}

// comfortable is how many requests an endpoint runs at once before it counts as full.
func (o *ownedEndpoint) comfortableRequests() float64 {
	return fullThreshold * float64(o.endpoint.Slots())
}
