// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/wire"
)

// loadCostTTL is how long a leader's load cost is valid. While a box has requests in a data centre it reports to the
// leader, and gets the cost in the reply, at least twice a second.
const loadCostTTL = 1500 * time.Millisecond

// loadCosts caches, for each data centre, what loading an adapter costs there as its leader last reported. The zero
// value is empty.
type loadCosts struct {
	mu       sync.Mutex
	byCentre map[string]loadCost
}

type loadCost struct {
	cost time.Duration
	at   time.Time
}

// update stores the cost from a leader's reply, or removes it if the leader does not know one.
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

// get returns the cost of a load in a data centre, or false if it is unknown or has expired.
func (l *loadCosts) get(centre string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byCentre[centre]
	return v.cost, ok && now.Sub(v.at) < loadCostTTL
}
