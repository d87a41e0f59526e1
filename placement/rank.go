// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a load that is wanted, with its rank now.
type ranked struct {
	key  wantKey
	want *want
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
func (l *Loader) rankLocked(k wantKey, w *want, now time.Time) rank {
	load := l.cold
	if l.isWarmLocked(l.owned[k.endpoint], k.adapter) {
		load = l.warm
	}
	return rank{timely: w.waiting > 0 && !now.Add(load).After(w.inTime), score: w.score(now)}
}

// rankedLocked returns the loads that are wanted now, the most wanted first, and
// forgets those that nobody asked for in a long time. Scores fade with time, and
// thousands of loads may be remembered, so each is ranked once.
func (l *Loader) rankedLocked(now time.Time) []ranked {
	var list []ranked
	for k, w := range l.wants {
		if w.worthwhile(now) {
			list = append(list, ranked{key: k, want: w, rank: l.rankLocked(k, w, now)})
		} else if now.Sub(w.last) > demandLife {
			delete(l.wants, k)
			w.end()
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.rank.before(b.rank):
			return -1
		case b.rank.before(a.rank):
			return 1
		}
		return cmp.Or(cmp.Compare(b.want.far, a.want.far), b.want.last.Compare(a.want.last))
	})
	l.queue = l.queue[:0]
	for _, o := range l.owned {
		o.queued = 0
	}
	for _, r := range list {
		if o := l.owned[r.key.endpoint]; o != nil && !r.want.spare(now) {
			r.want.before = o.queued
			o.queued++
		}
		if !r.want.spare(now) && !l.isWarmLocked(l.owned[r.key.endpoint], r.key.adapter) {
			l.queue = append(l.queue, r.rank)
		}
	}
	return list
}
