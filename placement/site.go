// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"slices"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

const (
	turnoverHalf  = 2 * time.Second        // half-life of the rate at which slots come to rest
	turnoverLeast = 0.2                    // of an endpoint's slots a second, where none came to rest lately: runs take up to some five seconds
	busyMost      = 10 * time.Second       // the longest wait that is expected of a full endpoint
	busyLeast     = 100 * time.Millisecond // the shortest
)

// siteLocked returns where an adapter is loaded: the endpoint of the usual one's data centre
// at which it costs the least, of those that take more requests where there are any, and of none that is
// to be avoided but the usual one. Only endpoints that this box owns count.
func (l *Loader) siteLocked(a topology.Adapter, usual *owned, avoid []string, now time.Time) *owned {
	best, least := usual, l.siteRankLocked(usual, a, true, now)
	for id, o := range l.owned {
		if o == usual || slices.Contains(avoid, id) || !o.serves(now) || !o.models[a.Model] || o.endpoint.DataCentre() != usual.endpoint.DataCentre() {
			continue
		}
		if r := l.siteRankLocked(o, a, false, now); r.before(least) {
			best, least = o, r
		}
	}
	return best
}

// siteRank orders endpoints where an adapter may be loaded.
type siteRank struct {
	gone  bool // it ended, or leaves
	taken bool // it names a limit, and gets all that it takes
	cost  time.Duration
}

// before tells whether an endpoint of this rank goes before one of another.
func (r siteRank) before(o siteRank) bool {
	switch {
	case r.gone != o.gone:
		return o.gone
	case r.taken != o.taken:
		return o.taken
	}
	return r.cost < o.cost
}

func (l *Loader) siteRankLocked(o *owned, a topology.Adapter, usual bool, now time.Time) siteRank {
	return siteRank{gone: !o.serves(now), taken: l.isTaken(o.endpoint.ID(), now), cost: l.factsLocked(o, a, usual, now).Cost()}
}

// wantedAtLocked returns the endpoint of a data centre where a load that serves a request waits already;
// nil for none.
func (l *Loader) wantedAtLocked(w *waiter, centre string, now time.Time) *owned {
	for id, o := range l.owned {
		q := l.wants[wantKey{endpoint: id, adapter: w.Adapter}]
		if q != nil && !q.copies && !w.avoids(id) && o.serves(now) && o.endpoint.DataCentre() == centre {
			return o
		}
	}
	return nil
}

// factsLocked is what is known of an endpoint where an adapter may be loaded.
func (l *Loader) factsLocked(o *owned, a topology.Adapter, usual bool, now time.Time) policy.SiteFacts {
	f := policy.SiteFacts{
		Empty:   l.emptyInLocked(o, o.queued, now),
		Load:    l.warm,
		Read:    l.readsLocked(o, now),
		Taken:   l.takenLocked(o, now),
		Fetched: !l.isWarmLocked(o, a),
		Usual:   usual,
	}
	if f.Fetched {
		f.Load = l.cold
	}
	if o.orders >= loadsAtOnce {
		f.Load += l.cold / loadsAtOnce
	}
	return f
}

// takenLocked is which part of an endpoint's slots is in use, being filled or wanted.
func (l *Loader) takenLocked(o *owned, now time.Time) float64 {
	g := l.engine(o.endpoint)
	if g == nil {
		return 1
	}
	taken := o.queued
	for a, s := range o.slots {
		if !s.ready || !l.restsLocked(o, a, s, now) {
			taken++
		}
	}
	return float64(taken) / float64(max(g.SlotsBeside(o.models), 1))
}

// levelFor is how long a level is good for: it changes with each load and each prompt, and
// boxes ask for it with each report of use.
const levelFor = 20 * time.Millisecond

// Level returns what a load from the store costs now at the cheapest endpoint of this box;
// false where it owns none.
func (l *Loader) Level(now time.Time) (cost time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.levelAt) < levelFor {
		return l.level, l.levelKnown
	}
	for _, o := range l.owned {
		if o.phase != owning || o.endpoint.Draining() || len(o.models) == 0 {
			continue
		}
		if c := l.factsLocked(o, topology.Adapter{}, false, now).Cost(); !known || c < cost {
			cost, known = c, true
		}
	}
	l.level, l.levelKnown, l.levelAt = cost, known, now
	return cost, known
}

// heldLocked returns the endpoint of a data centre where the adapter is ready in the version
// that a request needs, the one that reads the least, or, where none is, one where it is
// being loaded.
func (l *Loader) heldLocked(asked *owned, w *waiter, denied *owned, now time.Time) (o *owned, s *slot) {
	a, centre := w.Adapter, asked.endpoint.DataCentre()
	for id, p := range l.owned {
		t := p.slots[a]
		if t == nil || p == denied || w.avoids(id) || !p.serves(now) || p.endpoint.DataCentre() != centre {
			continue
		}
		if (w.AvoidLimited && l.isTaken(id, now) || l.isCrowded(p, now)) && l.hasOthersLocked(a, centre, now) {
			continue // a copy elsewhere serves those that it has no room for
		}
		serves := t.ready && t.version >= w.Version && !(t.leaving && (t.unloading || t.outdated))
		loads := !t.ready && t.done != nil
		switch {
		case !serves && !loads:
			continue
		case s == nil, serves && !s.ready, serves == s.ready && l.runs.reading(id) < l.runs.reading(o.endpoint.ID()):
			o, s = p, t
		}
	}
	return o, s
}

// busyLocked is how long it takes until a slot of an endpoint whose slots are all in use
// is free, with so many loads before, by how fast slots come to rest lately.
func (l *Loader) busyLocked(o *owned, before int, now time.Time) time.Duration {
	rate := max(l.rests.Rate(now, turnoverHalf)/float64(max(len(l.owned), 1)), turnoverLeast*float64(len(o.slots)))
	wait := time.Duration(float64(before+1) / rate * float64(time.Second))
	return min(max(wait, busyLeast), busyMost)
}
