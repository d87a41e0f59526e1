// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// RecordRemoteRequests counts requests from a data centre that another one served: a popular
// adapter is worth a local copy, which also remains available during a network partition.
func (l *Loader) RecordRemoteRequests(centre string, a topology.Adapter, count int, now time.Time) {
	ranked := l.copyCandidates(centre, a, now)
	if len(ranked) == 0 || len(l.holdersIn(centre, a)) > 0 {
		return
	}
	l.requestCopy(ranked[0], a, now, func(w *pendingLoad) { w.remoteRequests += float64(count) })
}

// requestCopies requests as many copies of an adapter as its requests would occupy endpoints,
// and at least one more than there are.
func (l *Loader) requestCopies(f hotAdapter, now time.Time) {
	more := max(f.copies-len(l.holdersIn(f.centre, f.adapter)), 1)
	ranked := l.copyCandidates(f.centre, f.adapter, now)
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
	for _, id := range l.copyCandidates(o.endpoint.DataCentre(), a, now) {
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

// holdersIn returns the endpoints of a data centre that hold an adapter or are loading it.
func (l *Loader) holdersIn(centre string, a topology.Adapter) []string {
	var list []string
	for _, e := range append(l.View.EndpointsReady(a), l.View.EndpointsLoading(a)...) {
		if e.DataCentre() == centre {
			list = append(list, e.ID())
		}
	}
	return list
}

// copyCandidates returns the endpoints of a data centre that could hold an adapter and don't,
// except saturated ones, in the adapter's rendezvous-hashing order.
func (l *Loader) copyCandidates(centre string, a topology.Adapter, now time.Time) []string {
	held := make(map[string]bool)
	for _, id := range l.holdersIn(centre, a) {
		held[id] = true
	}
	var names []string
	for _, e := range l.View.All() {
		if e.DataCentre() == centre && e.HasModel(a.Model) && !e.Draining() && !held[e.ID()] && !l.isSaturated(e.ID(), now) {
			names = append(names, e.ID())
		}
	}
	return policy.Rank(a.String(), names)
}
