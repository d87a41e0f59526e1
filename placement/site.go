// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"slices"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

const (
	idleRateHalfLife = 2 * time.Second        // half-life of the rate at which slots come to rest
	minIdleRate      = 0.2                    // of an endpoint's slots a second, where none came to rest lately: runs take up to some five seconds
	maxSlotWait      = 10 * time.Second       // the longest wait that is expected of a full endpoint
	minSlotWait      = 100 * time.Millisecond // the shortest
)

// siteLocked returns where an adapter is loaded: the endpoint of the usual one's data centre
// at which it costs the least, of those that take more requests where there are any, and of none that is
// to be avoided but the usual one. Only endpoints that this box owns count.
func (l *Loader) chooseEndpointLocked(a topology.Adapter, usual *ownedEndpoint, avoid []string, now time.Time) *ownedEndpoint {
	best, least := usual, l.endpointRankLocked(usual, a, true, now)
	for id, o := range l.owned {
		if o == usual || slices.Contains(avoid, id) || !o.isAvailable(now) || !o.models[a.Model] || o.endpoint.DataCentre() != usual.endpoint.DataCentre() {
			continue
		}
		if r := l.endpointRankLocked(o, a, false, now); r.before(least) {
			best, least = o, r
		}
	}
	return best
}

// siteRank orders endpoints where an adapter may be loaded.
type endpointRank struct {
	unavailable bool // it ended, or leaves
	saturated   bool // it names a limit, and gets all that it takes
	cost        time.Duration
}

// before tells whether an endpoint of this rank goes before one of another.
func (r endpointRank) before(o endpointRank) bool {
	switch {
	case r.unavailable != o.unavailable:
		return o.unavailable
	case r.saturated != o.saturated:
		return o.saturated
	}
	return r.cost < o.cost
}

func (l *Loader) endpointRankLocked(o *ownedEndpoint, a topology.Adapter, usual bool, now time.Time) endpointRank {
	return endpointRank{unavailable: !o.isAvailable(now), saturated: l.isSaturated(o.endpoint.ID(), now), cost: l.siteFactsLocked(o, a, usual, now).Cost()}
}

// wantedAtLocked returns the endpoint of a data centre where a load that serves a request waits already;
// nil for none.
func (l *Loader) pendingEndpointLocked(w *waiter, centre string, now time.Time) *ownedEndpoint {
	for id, o := range l.owned {
		q := l.pendingLoads[placementKey{endpoint: id, adapter: w.Adapter}]
		if q != nil && !q.isCopy && !w.avoids(id) && o.isAvailable(now) && o.endpoint.DataCentre() == centre {
			return o
		}
	}
	return nil
}

// factsLocked is what is known of an endpoint where an adapter may be loaded.
func (l *Loader) siteFactsLocked(o *ownedEndpoint, a topology.Adapter, usual bool, now time.Time) policy.SiteFacts {
	f := policy.SiteFacts{
		Empty:   l.freeSlotDelayLocked(o, o.queuedLoads, now),
		Load:    l.warmLoadTime,
		Read:    l.prefillDelayLocked(o, now),
		Taken:   l.slotUtilisationLocked(o, now),
		Fetched: !l.isWarmLocked(o, a),
		Usual:   usual,
	}
	if f.Fetched {
		f.Load = l.coldLoadTime
	}
	if o.loadsInFlight >= maxConcurrentLoads {
		f.Load += l.coldLoadTime / maxConcurrentLoads
	}
	return f
}

// takenLocked is which part of an endpoint's slots is in use, being filled or wanted.
func (l *Loader) slotUtilisationLocked(o *ownedEndpoint, now time.Time) float64 {
	g := l.engineSpec(o.endpoint)
	if g == nil {
		return 1
	}
	taken := o.queuedLoads
	for a, s := range o.slots {
		if !s.ready || !l.isIdleLocked(o, a, s, now) {
			taken++
		}
	}
	return float64(taken) / float64(max(g.SlotsBeside(o.models), 1))
}

// levelFor is how long a level is good for: it changes with each load and each prompt, and
// boxes ask for it with each report of use.
const loadCostMaxAge = 20 * time.Millisecond

// Level returns what a load from the store costs now at the cheapest endpoint of this box;
// false where it owns none.
func (l *Loader) MinLoadCost(now time.Time) (cost time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.minLoadCostAt) < loadCostMaxAge {
		return l.minLoadCost, l.minLoadCostKnown
	}
	for _, o := range l.owned {
		if o.phase != owning || o.endpoint.Draining() || len(o.models) == 0 {
			continue
		}
		if c := l.siteFactsLocked(o, topology.Adapter{}, false, now).Cost(); !known || c < cost {
			cost, known = c, true
		}
	}
	l.minLoadCost, l.minLoadCostKnown, l.minLoadCostAt = cost, known, now
	return cost, known
}

// heldLocked returns the endpoint of a data centre where the adapter is ready in the version
// that a request needs, the one that reads the least, or, where none is, one where it is
// being loaded.
func (l *Loader) findHolderLocked(asked *ownedEndpoint, w *waiter, denied *ownedEndpoint, now time.Time) (o *ownedEndpoint, s *slot) {
	a, centre := w.Adapter, asked.endpoint.DataCentre()
	for id, p := range l.owned {
		t := p.slots[a]
		if t == nil || p == denied || w.avoids(id) || !p.isAvailable(now) || p.endpoint.DataCentre() != centre {
			continue
		}
		if (w.Elsewhere && l.isSaturated(id, now) || l.isThrottled(p, now)) && l.hasAlternativeLocked(a, centre, now) {
			continue // a copy elsewhere serves those that it has no room for
		}
		serves := t.ready && t.version >= w.Version && !(t.evicting && (t.unloading || t.outdated))
		loads := !t.ready && t.done != nil
		switch {
		case !serves && !loads:
			continue
		case s == nil, serves && !s.ready, serves == s.ready && l.inFlight.prefillTokens(id) < l.inFlight.prefillTokens(o.endpoint.ID()):
			o, s = p, t
		}
	}
	return o, s
}

// busyLocked is how long it takes until a slot of an endpoint whose slots are all in use
// is free, with so many loads before, by how fast slots come to rest lately.
func (l *Loader) slotWaitLocked(o *ownedEndpoint, before int, now time.Time) time.Duration {
	rate := max(l.idleTransitions.Rate(now, idleRateHalfLife)/float64(max(len(l.owned), 1)), minIdleRate*float64(len(o.slots)))
	wait := time.Duration(float64(before+1) / rate * float64(time.Second))
	return min(max(wait, minSlotWait), maxSlotWait)
}
