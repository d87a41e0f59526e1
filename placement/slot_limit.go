// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// mayUseSlotLocked reports whether a request may have its adapter loaded. The last free slots of a data centre are kept
// for more urgent requests: a stream of a less urgent one may keep a slot in use for many times as long as theirs. A
// request that returned as it was asked to may use half of what is kept. Copies of an adapter that an endpoint holds
// don't count: without them its requests would only queue there.
func (l *Loader) mayUseSlotLocked(w *waiter, r balance.Request, now time.Time) bool {
	if w.QueueLimit >= w.UrgentLimit || w.UrgentLimit <= 0 {
		return true
	}
	if n := l.slotRefusals[w.Adapter]; n != nil && n.Count(now, demandHalfLife) >= maxSlotRefusals {
		return true
	}
	allowed := float64(w.QueueLimit) / float64(w.UrgentLimit)
	if r.Returned {
		allowed += (1 - allowed) / 2
	}
	return l.slotUseLocked(w.Endpoint, now) <= allowed
}

// slotUseLocked returns the part of the adapter slots in an endpoint's service and data centre that are in use or being filled.
func (l *Loader) slotUseLocked(e *topology.Endpoint, now time.Time) float64 {
	taken, slots := 0, 0
	for _, o := range l.owned {
		g := l.engineSpec(o.endpoint)
		if g == nil || o.endpoint.DataCentre() != e.DataCentre() || o.endpoint.Service() != e.Service() || !o.isAvailable(now) {
			continue
		}
		slots += g.AdapterCapacity(o.models)
		for a, s := range o.slots {
			if !s.ready || !l.isIdleLocked(o, a, s, now) {
				taken++
			}
		}
	}
	return float64(taken) / float64(max(slots, 1))
}

// refuseSlotLocked refuses a request for which no slot is left. Callers are asked to return at the rate at which slots
// become free for them.
func (l *Loader) refuseSlotLocked(w *waiter, r balance.Request, now time.Time) forward.PlacementResult {
	l.decisions[reasonSlotsKept]++
	l.countRequestsLocked(w.Adapter, 1, now)
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
	p := forward.PlacementResult{Busy: true, Reason: reasonSlotsKept}
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
