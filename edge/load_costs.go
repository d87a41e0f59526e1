// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/wire"
)

// loadCostTTL is how long what a leader told of its endpoints says something of them: boxes
// report, and so hear, at least twice a second while they have requests there.
const loadCostTTL = 1500 * time.Millisecond

// loadCosts is what the leaders of the data centres told lately of what a load costs there.
// The zero value knows nothing.
type loadCosts struct {
	mu       sync.Mutex
	byCentre map[string]loadCost
}

type loadCost struct {
	cost time.Duration
	at   time.Time
}

// update takes in a leader's answer.
func (l *loadCosts) update(centre string, a *wire.UseReply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byCentre == nil {
		l.byCentre = make(map[string]loadCost)
	}
	if !a.GetLevelKnown() {
		delete(l.byCentre, centre)
		return
	}
	l.byCentre[centre] = loadCost{cost: time.Duration(a.GetLevelMicros()) * time.Microsecond, at: now}
}

// get returns what a load costs in a data centre; false where that is not known.
func (l *loadCosts) get(centre string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byCentre[centre]
	return v.cost, ok && now.Sub(v.at) < loadCostTTL
}
