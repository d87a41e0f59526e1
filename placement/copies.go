// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// Far notes requests of a data centre's callers that went to another one: an adapter
// that is hot there is worth a copy of its own, which also lasts through a cut.
func (l *Loader) Far(centre string, a topology.Adapter, count int, now time.Time) {
	ranked := l.without(centre, a, now)
	if len(ranked) == 0 || len(l.in(centre, a)) > 0 {
		return
	}
	l.copyTo(ranked[0], a, now, func(w *want) { w.far += float64(count) })
}

// copyMore asks for as many copies of an adapter as its requests would fill, and for one
// more than there are in any case.
func (l *Loader) copyMore(f pressure, now time.Time) {
	more := max(f.copies-len(l.in(f.centre, f.adapter)), 1)
	ranked := l.without(f.centre, f.adapter, now)
	for _, id := range ranked[:min(more, len(ranked))] {
		l.copyTo(id, f.adapter, now, func(w *want) { w.demand.Add(pressedDemand, now, demandHalfLife) })
	}
}

// copyTo counts for a copy of an adapter at an endpoint.
func (l *Loader) copyTo(endpoint string, a topology.Adapter, now time.Time, count func(*want)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copyToLocked(endpoint, a, now, count)
}

// copyAheadLocked asks for copies of an adapter that so many ask for before it is loaded
// anywhere that they would fill more than its home.
func (l *Loader) copyAheadLocked(o *owned, q *want, a topology.Adapter, now time.Time) {
	copies := int(float64(q.asked) / o.comfortable())
	for _, id := range l.without(o.endpoint.DataCentre(), a, now) {
		if q.ahead >= copies {
			return
		}
		if id == o.endpoint.ID() || l.wants[wantKey{endpoint: id, adapter: a}] != nil {
			continue
		}
		q.ahead++
		l.copyToLocked(id, a, now, func(w *want) { w.demand.Add(o.comfortable(), now, demandHalfLife) })
	}
}

func (l *Loader) copyToLocked(endpoint string, a topology.Adapter, now time.Time, count func(*want)) {
	o := l.owned[endpoint]
	if o == nil || o.phase != owning || o.slots[a] != nil {
		return
	}
	key := wantKey{endpoint: endpoint, adapter: a}
	w := l.wants[key]
	if w == nil {
		w = &want{done: make(chan struct{}), version: l.View.Newest(a), copies: true}
		l.wants[key] = w
	}
	w.last = now
	count(w)
	l.nudge()
}

// in returns the endpoints of a data centre that hold an adapter or will soon.
func (l *Loader) in(centre string, a topology.Adapter) []string {
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
func (l *Loader) without(centre string, a topology.Adapter, now time.Time) []string {
	held := make(map[string]bool)
	for _, id := range l.in(centre, a) {
		held[id] = true
	}
	var names []string
	for _, e := range l.View.All() {
		if e.DataCentre() == centre && e.HasModel(a.Model) && !e.Draining() && !held[e.ID()] && !l.isTaken(e.ID(), now) {
			names = append(names, e.ID())
		}
	}
	return policy.Rank(a.String(), names)
}
