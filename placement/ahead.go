// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
)

// aheadLocked uses what the store's rate has left to load adapters that nobody
// asked for yet, in the order in which the configuration numbers them.
func (l *Loader) aheadLocked(now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	for len(l.wants) == 0 {
		l.bucket.refill(now)
		if l.bucket.tokens < 1+min(preloadSpare, l.bucket.burst-1) {
			return tasks
		}
		o, a, ok := l.unlistedLocked(now)
		if !ok {
			return tasks
		}
		l.bucket.take(now, 0)
		tasks = append(tasks, l.beginLocked(o, a, l.View.Newest(a), nil, true, now))
	}
	return tasks
}

// lookMost bounds how many adapters one step looks at.
const lookMost = 200

// unlistedLocked returns the next adapter whose home is owned, not loaded and has
// a free slot.
func (l *Loader) unlistedLocked(now time.Time) (*owned, topology.Adapter, bool) {
	for range lookMost {
		a, list, ok := l.adapterAt(l.listed)
		if !ok {
			return nil, a, false
		}
		e := forward.Home(a, list)
		o := l.owned[e.ID()]
		if o != nil && o.phase == claiming {
			return nil, a, false // its turn comes soon
		}
		if o != nil && o.orders >= loadsAtOnce {
			return nil, a, false
		}
		l.listed++
		if o == nil || o.phase != owning || o.slots[a] != nil || len(l.View.Holders(a)) > 0 {
			continue
		}
		if g := l.engine(o.endpoint); len(o.slots) < g.AdapterSlots {
			return o, a, true
		}
	}
	return nil, topology.Adapter{}, false
}

// adapterAt returns the adapter at a place of all models' lists, the models by
// turns, with the endpoints that can hold it.
func (l *Loader) adapterAt(place int) (topology.Adapter, []*topology.Endpoint, bool) {
	c := l.View.Config()
	if c == nil {
		return topology.Adapter{}, nil, false
	}
	for _, s := range c.Services() {
		if s.Engine() == nil {
			continue
		}
		for _, m := range s.Engine().Models {
			if place >= m.Adapters {
				place -= m.Adapters
				continue
			}
			list := forward.Serving(l.View.Endpoints(s.Name()), m.Name)
			a := topology.Adapter{Model: m.Name, Name: m.AdapterName(place)}
			return a, list, len(list) > 0
		}
	}
	return topology.Adapter{}, nil, false
}
