// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"slices"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

const (
	idleRateHalfLife = 2 * time.Second        // half-life of the rate at which adapters become idle
	minIdleRate      = 0.2                    // of an endpoint's slots per second, assumed when few became idle recently: requests take up to some five seconds
	maxSlotWait      = 10 * time.Second       // upper bound of the expected wait at an endpoint without idle slots
	minSlotWait      = 100 * time.Millisecond // lower bound
)

// isSameSite reports whether two endpoints run the same service in the same data centre, so that either may serve a request.
func isSameSite(a, b *topology.Endpoint) bool {
	return a.DataCentre() == b.DataCentre() && a.Service() == b.Service()
}

// chooseEndpointLocked returns where to load an adapter: the endpoint with the least cost of the
// usual endpoint's service in its data centre, preferring endpoints that accept more requests. Endpoints
// in avoid are excluded, except the usual one, as are endpoints that this box does not own.
func (l *Loader) chooseEndpointLocked(a topology.Adapter, usual *ownedEndpoint, avoid []string, now time.Time) *ownedEndpoint {
	best, lowest := usual, l.endpointRankLocked(usual, a, true, now)
	for id, o := range l.owned {
		if o == usual || slices.Contains(avoid, id) || !o.isAvailable(now) || !o.models[a.Model] || !isSameSite(o.endpoint, usual.endpoint) {
			continue
		}
		if r := l.endpointRankLocked(o, a, false, now); r.before(lowest) {
			best, lowest = o, r
		}
	}
	return best
}

// endpointRank orders endpoints on which an adapter may be loaded.
type endpointRank struct {
	unavailable bool // the endpoint ended or is draining
	saturated   bool // it receives all the requests that its announced limit permits
	cost        time.Duration
}

// before reports whether an endpoint of this rank is preferred to one of rank o.
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

// pendingEndpointLocked returns the endpoint of a request's service and data centre with a pending load that would
// serve it; nil for none.
func (l *Loader) pendingEndpointLocked(w *waiter, now time.Time) *ownedEndpoint {
	for id, o := range l.owned {
		q := l.pendingLoads[placementKey{endpoint: id, adapter: w.Adapter}]
		if q != nil && !q.isCopy && !w.avoids(id) && o.isAvailable(now) && isSameSite(o.endpoint, w.Endpoint) {
			return o
		}
	}
	return nil
}

// siteFactsLocked returns the inputs to the cost of loading an adapter on an endpoint.
func (l *Loader) siteFactsLocked(o *ownedEndpoint, a topology.Adapter, usual bool, now time.Time) policy.LoadTarget {
	f := policy.LoadTarget{
		SlotWait:        l.freeSlotDelayLocked(o, o.queuedLoads, now),
		LoadTime:        l.warmLoadTime,
		PrefillTime:     l.prefillDelayLocked(o, now),
		SlotUtilisation: l.slotUtilisationLocked(o, now),
		FromStore:       !l.isWarmLocked(o, a),
		Preferred:       usual,
	}
	if f.FromStore {
		f.LoadTime = l.coldLoadTime
	}
	if o.loadsInFlight >= maxConcurrentLoads {
		f.LoadTime += l.coldLoadTime / maxConcurrentLoads
	}
	return f
}

// slotUtilisationLocked returns the part of an endpoint's slots that are in use, being filled or
// needed by queued loads.
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
	return float64(taken) / float64(max(g.AdapterCapacity(o.models), 1))
}

// loadCostMaxAge is how long a computed load cost is reused: it changes with each load and prompt,
// and boxes ask for it with each usage report.
const loadCostMaxAge = 20 * time.Millisecond

// MinLoadCost returns the current cost of a load from the store on the cheapest endpoint of this
// box; false when it owns none.
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

// findHolderLocked returns the endpoint of the home's service and data centre that holds an adapter ready in the
// version that a request needs, with the fewest prompt tokens to process, or else one where it is
// being loaded.
func (l *Loader) findHolderLocked(home *ownedEndpoint, w *waiter, denied *ownedEndpoint, now time.Time) (o *ownedEndpoint, s *slot) {
	a := w.Adapter
	for id, p := range l.owned {
		t := p.slots[a]
		if t == nil || p == denied || w.avoids(id) || !p.isAvailable(now) || !isSameSite(p.endpoint, home.endpoint) {
			continue
		}
		if (w.AvoidLimited && l.isSaturated(id, now) || l.isThrottled(p, now)) && l.hasAlternativeLocked(a, home.endpoint, now) {
			continue // a copy elsewhere serves the requests that exceed the limit
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

// slotWaitLocked estimates, from the recent rate at which adapters become idle, how long a load
// that is queued behind the given number of others waits for a slot of an endpoint whose slots
// are all in use.
func (l *Loader) slotWaitLocked(o *ownedEndpoint, ahead int, now time.Time) time.Duration {
	rate := max(l.idleTransitions.Rate(now, idleRateHalfLife)/float64(max(len(l.owned), 1)), minIdleRate*float64(len(o.slots)))
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	return min(max(wait, minSlotWait), maxSlotWait)
}
