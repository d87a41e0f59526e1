// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// pool is the endpoints of a service in a data centre, which may serve the same requests.
type pool struct {
	centre  string
	service string // empty: of all services
}

func endpointPool(e *topology.Endpoint) pool {
	return pool{centre: e.DataCentre(), service: e.Service()}
}

func (p pool) contains(e *topology.Endpoint) bool {
	return e.DataCentre() == p.centre && (p.service == "" || e.Service() == p.service)
}

// RecordRemoteRequests counts requests from a data centre that another one served: a popular
// adapter is worth a local copy, which also remains available during a network partition.
func (l *Loader) RecordRemoteRequests(centre string, a topology.Adapter, count int, now time.Time) {
	all := pool{centre: centre} // reports name no service
	ranked := l.copyCandidates(all, a, now)
	if len(ranked) == 0 || len(l.holdersIn(all, a)) > 0 {
		return
	}
	l.requestCopy(ranked[0], a, now, func(w *pendingLoad) { w.remoteRequests += float64(count) })
}

// requestCopies requests as many copies of an adapter as its requests would occupy endpoints,
// and at least one more than there are.
func (l *Loader) requestCopies(f hotAdapter, now time.Time) {
	more := max(f.copies-len(l.holdersIn(f.pool, f.adapter)), 1)
	ranked := l.copyCandidates(f.pool, f.adapter, now)
	for _, id := range ranked[:min(more, len(ranked))] {
		l.requestCopy(id, f.adapter, now, func(w *pendingLoad) { w.demand.Add(fullEndpointDemand, now, demandHalfLife) })
	}
}

// requestCopy adds demand for a copy of an adapter at an endpoint.
func (l *Loader) requestCopy(endpoint string, a topology.Adapter, now time.Time, count func(*pendingLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCopyLocked(endpoint, a, now, count)
}

// requestCopiesForDemandLocked requests copies of an adapter that is not loaded anywhere yet
// when its unserved requests would occupy more than one endpoint.
func (l *Loader) requestCopiesForDemandLocked(o *ownedEndpoint, q *pendingLoad, a topology.Adapter, now time.Time) {
	copies := int(float64(q.unservedRequests) / l.comfortableRequests(o))
	for _, id := range l.copyCandidates(endpointPool(o.endpoint), a, now) {
		if q.copiesRequested >= copies {
			return
		}
		if id == o.endpoint.ID() || l.pendingLoads[placementKey{endpoint: id, adapter: a}] != nil {
			continue
		}
		q.copiesRequested++
		l.requestCopyLocked(id, a, now, func(w *pendingLoad) { w.demand.Add(l.comfortableRequests(o), now, demandHalfLife) })
	}
}

func (l *Loader) requestCopyLocked(endpoint string, a topology.Adapter, now time.Time, count func(*pendingLoad)) {
	o := l.owned[endpoint]
	if o == nil || o.phase != owning || o.slots[a] != nil {
		return
	}
	key := placementKey{endpoint: endpoint, adapter: a}
	w := l.pendingLoads[key]
	if w == nil {
		w = &pendingLoad{done: make(chan struct{}), version: l.View.LatestVersion(a), isCopy: true}
		l.pendingLoads[key] = w
	}
	w.lastRequested = now
	count(w)
	l.wakeUp()
}

// holdersIn returns the endpoints of a pool that hold an adapter or are loading it.
func (l *Loader) holdersIn(p pool, a topology.Adapter) []string {
	var list []string
	for _, e := range append(l.View.EndpointsReady(a), l.View.EndpointsLoading(a)...) {
		if p.contains(e) {
			list = append(list, e.ID())
		}
	}
	return list
}

// copyCandidates returns the endpoints of a pool that could hold an adapter and don't,
// except saturated ones, in the adapter's rendezvous-hashing order.
func (l *Loader) copyCandidates(p pool, a topology.Adapter, now time.Time) []string {
	held := make(map[string]bool)
	for _, id := range l.holdersIn(p, a) {
		held[id] = true
	}
	var names []string
	for _, e := range l.View.All() {
		if p.contains(e) && e.HasModel(a.Model) && !e.Draining() && !held[e.ID()] && !l.isSaturated(e.ID(), now) {
			names = append(names, e.ID())
		}
	}
	return policy.Rank(a.String(), names)
}
