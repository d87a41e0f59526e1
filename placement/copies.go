// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// Far notes requests of a data centre's callers that went to another one: an adapter
// that is hot there is worth a copy of its own, which also lasts through a cut.
func (l *Loader) RecordRemoteRequests(centre string, a topology.Adapter, count int, now time.Time) {
	ranked := l.copyCandidates(centre, a, now)
	if len(ranked) == 0 || len(l.holdersIn(centre, a)) > 0 {
		return
	}
	l.requestCopy(ranked[0], a, now, func(w *pendingLoad) { w.remoteRequests += float64(count) })
}

// copyMore asks for as many copies of an adapter as its requests would fill, and for one
// more than there are in any case.
func (l *Loader) requestCopies(f hotAdapter, now time.Time) {
	more := max(f.copies-len(l.holdersIn(f.centre, f.adapter)), 1)
	ranked := l.copyCandidates(f.centre, f.adapter, now)
	for _, id := range ranked[:min(more, len(ranked))] {
		l.requestCopy(id, f.adapter, now, func(w *pendingLoad) { w.demand.Add(fullEndpointDemand, now, demandHalfLife) })
	}
}

// copyTo counts for a copy of an adapter at an endpoint.
func (l *Loader) requestCopy(endpoint string, a topology.Adapter, now time.Time, count func(*pendingLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCopyLocked(endpoint, a, now, count)
}

// copyAheadLocked asks for copies of an adapter that so many ask for before it is loaded
// anywhere that they would fill more than its home.
func (l *Loader) requestCopiesForDemandLocked(o *ownedEndpoint, q *pendingLoad, a topology.Adapter, now time.Time) {
	copies := int(float64(q.unservedRequests) / o.comfortableRequests())
	for _, id := range l.copyCandidates(o.endpoint.DataCentre(), a, now) {
		if q.copiesRequested >= copies {
			return
		}
		if id == o.endpoint.ID() || l.pendingLoads[placementKey{endpoint: id, adapter: a}] != nil {
			continue
		}
		q.copiesRequested++
		l.requestCopyLocked(id, a, now, func(w *pendingLoad) { w.demand.Add(o.comfortableRequests(), now, demandHalfLife) })
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
		w = &pendingLoad{done: make(chan struct{}), version: l.View.Newest(a), isCopy: true}
		l.pendingLoads[key] = w
	}
	w.lastRequested = now
	count(w)
	l.wakeUp()
}

// in returns the endpoints of a data centre that hold an adapter or will soon.
func (l *Loader) holdersIn(centre string, a topology.Adapter) []string {
	var list []string
	for _, e := range append(l.View.Holders(a), l.View.Loading(a)...) {
		if e.DataCentre() == centre {
			list = append(list, e.ID())
		}
	}
	return list
}

// without returns the endpoints of a data centre that could hold an adapter and do not, without
// those that get all that they take, by the adapter's rendezvous order.
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
