// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"time"

	"cairnwick.example/topology"
)

// Use is what one box tells of an adapter at an endpoint.
type Use struct {
	Endpoint string
	Adapter  topology.Adapter
	Begun    int // requests begun since the box told last
	Running  int // requests under way
	Reading  int // tokens of their prompts that the endpoint has not read
}

const (
	runsLife      = 2 * time.Second // a box that says nothing for so long has nothing under way here
	pressedPart   = 0.6             // of an endpoint's slots in use: batches become slow, and the next burst queues
	pressedDemand = 1.0             // requests asked in vain that a full endpoint counts as for its hottest adapter, each time
)

// Used takes what a box tells of the endpoints of this box. What tells only a part says
// nothing of the rest.
func (l *Loader) Used(box string, uses []Use, part bool, now time.Time) {
	l.mu.Lock()
	if n := l.runs.told(box, uses, part, now); n > 0 {
		l.rests.Add(float64(n), now, turnoverHalf)
	}
	endpoints := make(map[string]bool)
	for _, u := range uses {
		endpoints[u.Endpoint] = true
		if u.Begun > 0 {
			l.countLocked(u.Adapter, float64(u.Begun), now)
		}
		if o := l.owned[u.Endpoint]; o != nil && o.slots[u.Adapter] != nil {
			o.slots[u.Adapter].used = now
		}
	}
	var full []pressure
	if !part { // changes come many times as often, and would ask for many times the copies
		full = l.fullLocked(endpoints)
	}
	if len(l.wants) > 0 {
		l.nudge() // a slot may rest now
	}
	l.mu.Unlock()
	for _, f := range full {
		l.copyMore(f, now)
	}
}

// pressure is an adapter that fills an endpoint.
type pressure struct {
	centre  string
	adapter topology.Adapter
	copies  int // that its requests under way in the data centre would fill
}

// fullLocked returns the busiest adapter of each of the endpoints that is full.
func (l *Loader) fullLocked(endpoints map[string]bool) []pressure {
	var full []pressure
	for id := range endpoints {
		o := l.owned[id]
		if o == nil || o.phase != owning || float64(l.runs.at(id)) < o.comfortable() {
			continue
		}
		busiest, most := topology.Adapter{}, 0
		for a, s := range o.slots {
			if n := l.runs.of(id, a); s.ready && n > most {
				busiest, most = a, n
			}
		}
		if most > 0 {
			full = append(full, pressure{centre: o.endpoint.DataCentre(), adapter: busiest, copies: l.copiesLocked(o, busiest)})
		}
	}
	return full
}

// copiesLocked is how many endpoints like one the requests under way with an adapter in its
// data centre would fill.
func (l *Loader) copiesLocked(o *owned, a topology.Adapter) int {
	n := 0
	for id, p := range l.owned {
		if p.endpoint.DataCentre() == o.endpoint.DataCentre() {
			n += l.runs.of(id, a)
		}
	}
	return int(math.Ceil(float64(n) / o.comfortable()))
}

// comfortable is how many requests an endpoint runs at once before it counts as full.
func (o *owned) comfortable() float64 { return pressedPart * float64(o.endpoint.Slots()) }
