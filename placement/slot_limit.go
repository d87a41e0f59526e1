// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// slotPool identifies the adapter slots of a service's endpoints in a data centre, which requests compete for.
type slotPool struct{ centre, service string }

// slotDemand is the recent demand for the slots of a pool, and their supply.
type slotDemand struct {
	needed   [maxRequestRank + 1]policy.DecayingCounter // requests that need a slot of their own, by rank
	released policy.DecayingCounter                     // slots that were emptied for other adapters
}

const (
	// slotDemandHalfLife is the half-life of the counts of slots needed and released: demand moves to other adapters within seconds.
	slotDemandHalfLife = 2 * time.Second
	// slotReserveTime is for how long the free slots of a pool, and those that become free meanwhile, suffice for its
	// more urgent requests: a slot that a less urgent request takes stays in use for a few seconds.
	slotReserveTime = 2 * time.Second
	// slotBurstTime is for how long the free slots alone suffice for them: requests come in bursts, and one that waits
	// for longer than this before its load begins is late.
	slotBurstTime = 500 * time.Millisecond
	// returnReserveFraction is the part of the reserve that a request leaves free which returned as it was asked to.
	returnReserveFraction = 0.5
)

// slotDemandLocked returns the demand for the slots of an endpoint's pool.
func (l *Loader) slotDemandLocked(e *topology.Endpoint) *slotDemand {
	key := slotPool{centre: e.DataCentre(), service: e.Service()}
	d := l.slotDemand[key]
	if d == nil {
		d = &slotDemand{}
		l.slotDemand[key] = d
	}
	return d
}

// neededBy returns the requests per second of ranks below the given one that needed a slot.
func (d *slotDemand) neededBy(rank int, now time.Time) float64 {
	needed := 0.0
	for i := range rank {
		needed += d.needed[i].Rate(now, slotDemandHalfLife)
	}
	return needed
}

// reserve returns how many free slots are kept for requests of ranks below the given one.
func (d *slotDemand) reserve(rank int, now time.Time) float64 {
	needed := d.neededBy(rank, now)
	shortage := max(needed-d.released.Rate(now, slotDemandHalfLife), 0)
	return shortage*slotReserveTime.Seconds() + needed*slotBurstTime.Seconds()
}

// countSlotDemandLocked counts a request whose adapter no endpoint of its data centre holds or loads. One that shares a
// load which another request asked for needs no further slot.
func (l *Loader) countSlotDemandLocked(w *waiter, now time.Time) {
	if w.counted || w.Declined || l.isLoadRequestedLocked(w) {
		return
	}
	weight := 1.0
	if w.Retried {
		weight = retryWeight
	}
	l.slotDemandLocked(w.Endpoint).needed[w.Priority].Add(weight, now, slotDemandHalfLife)
}

// isLoadRequestedLocked reports whether a load of a request's adapter waits in its pool.
func (l *Loader) isLoadRequestedLocked(w *waiter) bool {
	for id, o := range l.owned {
		if o.endpoint.DataCentre() == w.Endpoint.DataCentre() && o.endpoint.Service() == w.Endpoint.Service() &&
			l.pendingLoads[placementKey{endpoint: id, adapter: w.Adapter}] != nil {
			return true
		}
	}
	return false
}

// mayUseSlotLocked reports whether a request may have its adapter loaded. As many free slots of its data centre are kept
// as more urgent requests are likely to need: a stream of a less urgent one may keep a slot in use for many times as
// long as theirs. Copies of an adapter that an endpoint holds don't count: without them its requests would only queue
// there.
func (l *Loader) mayUseSlotLocked(w *waiter, r balance.Request, p *poolState, now time.Time) bool {
	reserve := p.demand.reserve(w.Priority, now)
	if r.Returned {
		reserve *= returnReserveFraction
	}
	if reserve < 1 || float64(p.freeSlots()) >= reserve {
		return true
	}
	return l.isOftenRefusedLocked(w.Adapter, now)
}

// isOftenRefusedLocked reports whether requests for an adapter were refused so often, since slots lack, that one is let in.
func (l *Loader) isOftenRefusedLocked(a topology.Adapter, now time.Time) bool {
	n := l.slotRefusals[a]
	return n != nil && n.Count(now, demandHalfLife) >= maxSlotRefusals
}

// countSlotRefusalLocked counts a request that is refused since slots lack.
func (l *Loader) countSlotRefusalLocked(w *waiter, now time.Time) {
	n := l.slotRefusals[w.Adapter]
	if n == nil {
		n = &policy.DecayingCounter{}
		l.slotRefusals[w.Adapter] = n
	}
	weight := 1.0
	if w.Retried {
		weight = retryWeight
	}
	n.Add(weight, now, demandHalfLife)
}

// poolState is the state of a pool during one decision. It counts the free slots once, and only if they matter.
type poolState struct {
	loader   *Loader
	endpoint *topology.Endpoint // of the pool
	demand   *slotDemand
	now      time.Time
	free     int
	counted  bool
}

func (l *Loader) poolStateLocked(e *topology.Endpoint, now time.Time) *poolState {
	return &poolState{loader: l, endpoint: e, demand: l.slotDemandLocked(e), now: now}
}

func (p *poolState) freeSlots() int {
	if !p.counted {
		p.free, p.counted = p.loader.freeSlotsLocked(p.endpoint, p.now), true
	}
	return p.free
}

// isScarce reports whether requests of all ranks are likely to need more slots than are free.
func (p *poolState) isScarce() bool { return p.isScarceFor(maxRequestRank) }

// isScarceFor reports whether requests of a rank and more urgent ones are likely to need more slots than are free.
func (p *poolState) isScarceFor(rank int) bool {
	need := p.demand.reserve(rank+1, p.now)
	return need >= 1 && float64(p.freeSlots()) < need
}

// freeSlotsLocked returns how many adapter slots in an endpoint's service and data centre are neither in use nor being filled,
// less the loads that wait to begin there. It is negative if more loads wait.
func (l *Loader) freeSlotsLocked(e *topology.Endpoint, now time.Time) int {
	free := 0
	for _, o := range l.owned {
		g := l.engineSpec(o.endpoint)
		if g == nil || o.endpoint.DataCentre() != e.DataCentre() || o.endpoint.Service() != e.Service() || !o.isAvailable(now) {
			continue
		}
		free += g.AdapterCapacity(o.models) - (o.queuedLoads - o.begunLoads)
		for a, s := range o.slots {
			if !s.ready || !l.isIdleLocked(o, a, s, now) {
				free--
			}
		}
	}
	return free
}

// slotCountsLocked returns the state of an endpoint's pool.
func (l *Loader) slotCountsLocked(e *topology.Endpoint, now time.Time) SlotCounts {
	d := l.slotDemandLocked(e)
	return SlotCounts{
		Free:     l.freeSlotsLocked(e, now),
		Needed:   d.neededBy(maxRequestRank+1, now),
		Released: d.released.Rate(now, slotDemandHalfLife),
		Reserved: d.reserve(maxRequestRank, now),
	}
}

// refuseSlotLocked refuses a request for which no slot is left. Callers are asked to return at the rate at which slots
// become free for them.
func (l *Loader) refuseSlotLocked(w *waiter, r balance.Request, now time.Time) forward.PlacementResult {
	l.decisions[reasonSlotsKept]++
	l.countRequestsLocked(w.Adapter, 1, now)
	l.countSlotRefusalLocked(w, now)
	p := forward.PlacementResult{Busy: true, Code: forward.CodeNoSlot, Reason: reasonSlotsKept}
	wait := l.slotWaitAnywhereLocked(now)
	l.setRetryLocked(&p, r, &l.slotReturns, wait+l.coldLoadTime, wait, 1, now)
	return p
}

// maxSlotRefusals is how many recent requests for an adapter are refused for want of a slot before one is let in, so that
// an adapter which only less urgent callers ask for does not starve.
const maxSlotRefusals = 2.5

// pruneSlotRefusalsLocked drops adapters that were not refused for a long time.
func (l *Loader) pruneSlotRefusalsLocked(now time.Time) {
	for a, n := range l.slotRefusals {
		if n.Count(now, demandHalfLife) < 0.1 {
			delete(l.slotRefusals, a)
		}
	}
}

const reasonSlotsKept = "free adapter slots are kept for more urgent requests"

// slotWaitAnywhereLocked estimates from the recent rate at which adapters become idle when the next slot is free.
func (l *Loader) slotWaitAnywhereLocked(now time.Time) time.Duration {
	rate := l.idleTransitions.Rate(now, idleRateHalfLife)
	if rate*maxSlotWait.Seconds() <= 1 { // the quotient may exceed the range of a duration
		return maxSlotWait
	}
	return time.Duration(float64(time.Second) / rate)
}
