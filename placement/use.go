// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/topology"
)

// Use is what one box tells of an adapter at an endpoint.
type Use struct {
	Endpoint string
	Adapter  topology.Adapter
	Begun    int // requests begun since the box told last
	Running  int // requests under way
}

// boxRuns is how many requests one box has under way, as it told last.
type boxRuns struct {
	at       time.Time
	runs     map[string]int  // by endpoint
	adapters map[wantKey]int // by endpoint and adapter
}

const (
	runsLife    = 2 * time.Second // a box that says nothing for so long has nothing under way here
	pressedPart = 0.6             // of an endpoint's slots in use: batches become slow, and the next burst queues
	pressedDebt = 1.0             // requests asked in vain that a full endpoint counts as for its hottest adapter, each time
)

// Used takes what a box tells of the endpoints of this box. What tells only a part says
// nothing of the rest.
func (l *Loader) Used(box string, uses []Use, part bool, now time.Time) {
	l.mu.Lock()
	b := boxRuns{at: now, runs: make(map[string]int), adapters: make(map[wantKey]int)}
	if old, known := l.running[box]; part && known {
		b = old
	}
	for _, u := range uses {
		if !part {
			b.runs[u.Endpoint] += u.Running
		}
		b.adapters[wantKey{endpoint: u.Endpoint, adapter: u.Adapter}] = u.Running
		if u.Begun > 0 {
			l.countLocked(u.Adapter, float64(u.Begun), now)
		}
		if o := l.owned[u.Endpoint]; o != nil && o.slots[u.Adapter] != nil {
			o.slots[u.Adapter].used = now
		}
	}
	l.running[box] = b
	full := l.fullLocked(b.runs, now)
	l.mu.Unlock()
	for centre, a := range full {
		l.pressed(centre, a, now)
	}
}

// fullLocked returns, by data centre, the hottest adapter of an endpoint that is full.
func (l *Loader) fullLocked(endpoints map[string]int, now time.Time) map[string]topology.Adapter {
	full := make(map[string]topology.Adapter)
	for id := range endpoints {
		o := l.owned[id]
		if o == nil || o.phase != owning || float64(l.runsLocked(id, now)) < pressedPart*float64(o.endpoint.Slots()) {
			continue
		}
		hottest, most := topology.Adapter{}, 0.0
		for a, s := range o.slots {
			if r := l.rateLocked(a, now); s.ready && r > most {
				hottest, most = a, r
			}
		}
		if most > 0 {
			full[o.endpoint.DataCentre()] = hottest
		}
	}
	return full
}

// inUseLocked tells whether a box has requests under way with an adapter at an endpoint.
func (l *Loader) inUseLocked(id string, a topology.Adapter, now time.Time) bool {
	for _, b := range l.running {
		if now.Sub(b.at) < runsLife && b.adapters[wantKey{endpoint: id, adapter: a}] > 0 {
			return true
		}
	}
	return false
}

// runsLocked returns how many requests all boxes have under way at an endpoint.
func (l *Loader) runsLocked(id string, now time.Time) int {
	n := 0
	for _, b := range l.running {
		if now.Sub(b.at) < runsLife {
			n += b.runs[id]
		}
	}
	return n
}
