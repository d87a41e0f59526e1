// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a load that is wanted, with its rank now.
type rankedLoad struct {
	key  placementKey
	load *pendingLoad
	rank rank
}

// rank orders the loads that are wanted.
type rank struct {
	timely bool // begun now, it ends in time for somebody who waits: what is late already waits for those
	score  float64
}

// before tells whether a load goes before one of another rank.
func (r rank) before(o rank) bool {
	if r.timely != o.timely {
		return r.timely
	}
	return r.score > o.score
}

// rankLocked returns the rank of a load that is wanted at an endpoint.
func (l *Loader) rankLocked(k placementKey, w *pendingLoad, now time.Time) rank {
	load := l.coldLoadTime
	if l.isWarmLocked(l.owned[k.endpoint], k.adapter) {
		load = l.warmLoadTime
	}
	return rank{timely: w.waiting > 0 && !now.Add(load).After(w.deadline), score: w.score(now)}
}

// rankedLocked returns the loads that are wanted now, the most wanted first, and
// forgets those that nobody asked for in a long time. Scores fade with time, and
// thousands of loads may be remembered, so each is ranked once.
func (l *Loader) rankPendingLocked(now time.Time) []rankedLoad {
	var list []rankedLoad
	for k, w := range l.pendingLoads {
		if w.isWorthwhile(now) {
			list = append(list, rankedLoad{key: k, load: w, rank: l.rankLocked(k, w, now)})
		} else if now.Sub(w.lastRequested) > demandRetention {
			delete(l.pendingLoads, k)
			w.notifyWaiters()
		}
	}
	slices.SortFunc(list, func(a, b rankedLoad) int {
		switch {
		case a.rank.before(b.rank):
			return -1
		case b.rank.before(a.rank):
			return 1
		}
		return cmp.Or(cmp.Compare(b.load.remoteRequests, a.load.remoteRequests), b.load.lastRequested.Compare(a.load.lastRequested))
	})
	l.queue = l.queue[:0]
	for _, o := range l.owned {
		o.queuedLoads = 0
	}
	for _, r := range list {
		if o := l.owned[r.key.endpoint]; o != nil && !r.load.isCopyOnly(now) {
			r.load.queuedAhead = o.queuedLoads
			o.queuedLoads++
		}
		if !r.load.isCopyOnly(now) && !l.isWarmLocked(l.owned[r.key.endpoint], r.key.adapter) {
			l.queue = append(l.queue, r.rank)
		}
	}
	return list
}
