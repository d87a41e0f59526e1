// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"
	"time"
)

// rankedLoad is a pending load with its current rank.
type rankedLoad struct {
	key  placementKey
	load *pendingLoad
	rank rank
}

// rank orders pending loads.
type rank struct {
	timely bool // begun now, it completes in time for a waiting request; loads that are too late anyway rank lower
	score  float64
}

// before reports whether a load of this rank goes before one of rank o.
func (r rank) before(o rank) bool {
	if r.timely != o.timely {
		return r.timely
	}
	return r.score > o.score
}

// rankLocked returns the rank of a pending load at an endpoint.
func (l *Loader) rankLocked(k placementKey, w *pendingLoad, now time.Time) rank {
	load := l.coldLoadTime
	if l.isWarmLocked(l.owned[k.endpoint], k.adapter) {
		load = l.warmLoadTime
	}
	return rank{timely: w.waiting > 0 && !now.Add(load).After(w.deadline), score: w.score(now)}
}

// rankPendingLocked returns the worthwhile pending loads by descending rank, and drops those
// that were not requested for demandRetention. Scores decay with time and there may be thousands
// of pending loads, so each is ranked only once per call.
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
		o.queuedLoads, o.begunLoads = 0, 0
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
