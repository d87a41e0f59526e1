// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// phase is the state of this box's ownership of an endpoint.
type phase int

const (
	claiming phase = iota + 1 // learning what the endpoint holds
	owning                    // giving orders
	yielded                   // another box owns it; backing off before the next claim
	resigned                  // this box is leaving and has handed the endpoint over
)

// ownedEndpoint is an endpoint that this box owns or is claiming. Guarded by Loader.mu.
type ownedEndpoint struct {
	endpoint        *topology.Endpoint
	phase           phase
	since           time.Time // start of the phase
	fence           uint64    // the last one shown to the endpoint
	refusals        int       // consecutive refused fences
	publications    uint64    // count of publications under the fence
	slots           map[topology.Adapter]*slot
	loadsInFlight   int                        // loads in progress
	announcedTokens policy.DecayingCounter     // prompt tokens of requests that boxes were assigned here and have not reported yet
	waitingTokens   int                        // prompt tokens of requests that wait for loads here
	queuedLoads     int                        // loads that wait for a slot here, as of the last ranking
	begunLoads      int                        // of those, loads that have begun since
	needsReclaim    bool                       // a new claim is needed to learn what it holds
	models          map[string]bool            // base models that it holds
	loadingModel    bool                       // a base model is being loaded
	claims          int                        // completed claims; tasks of earlier ones stop
	handedOver      bool                       // the last claim used a handover from the previous owner, without a report
	ordersInFlight  int                        // orders without a response yet
	ordersDone      chan struct{}              // closed when ordersInFlight reaches zero; nil: no goroutine waits
	endedUntil      time.Time                  // a box observed that the endpoint ended; it is not used until then, when its entry has expired
	grants          []grant                    // requests assigned to it that their boxes have not reported yet; oldest first
	wanted          map[topology.Adapter]int64 // adapters that were requested while this box, without contact to others, has not claimed it; by version
	stateUncertain  bool                       // since the last claim an order got no response or another owner was noticed
}

// slot is an adapter that occupies a slot of an endpoint.
type slot struct {
	version          int64
	ready            bool
	evicting         bool          // announced to the boxes; it will be unloaded
	evictionBegan    time.Time     // set while evicting
	unloading        bool          // set while evicting: the unload order may have been sent
	outdated         bool          // a newer version is needed
	holdsPermit      bool          // the load in progress holds a permit of the load limiter
	done             chan struct{} // closed when the load in progress has ended, successfully or not
	loadBegan        time.Time
	evictionsSince   int  // with heldBefore: how many adapters were evicted from the endpoint between this one's eviction and its load
	heldBefore       bool // the endpoint held it before
	expectedLoadTime time.Duration
	lastUsed         time.Time
	lastAnnounced    time.Time // when it was last announced to a box as ready, publications aside
}

// updateOwnershipLocked follows the cluster view: it claims the endpoints that this box should
// own and drops the others.
func (l *Loader) updateOwnershipLocked(now time.Time) []func(context.Context) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.nextClaimAt = time.Time{}
	var tasks []func(context.Context)
	for _, e := range l.View.All() {
		if l.engineSpec(e) == nil {
			continue
		}
		owns, from := l.Owns(e, now)
		o := l.owned[e.ID()]
		switch {
		case !owns:
			l.dropLocked(o)
		case o == nil && !now.Before(from):
			o = &ownedEndpoint{endpoint: e, phase: claiming, since: now, slots: make(map[topology.Adapter]*slot)}
			l.owned[e.ID()] = o
			tasks = append(tasks, l.claim(o))
		case o == nil && (l.nextClaimAt.IsZero() || from.Before(l.nextClaimAt)):
			l.nextClaimAt = from
		case o != nil && o.phase == yielded && now.Sub(o.since) > l.claimBackoffLocked(o):
			o.phase, o.since = claiming, now
			tasks = append(tasks, l.claim(o))
		}
		if o != nil {
			l.updateEndpointLocked(o, e)
		}
	}
	for id, o := range l.owned {
		if l.View.Endpoint(id) == nil {
			l.dropLocked(o)
		}
	}
	return tasks
}

// updateEndpointLocked updates an endpoint to its published state. When it starts draining,
// requests that wait for loads there are re-evaluated, so that they go elsewhere.
func (l *Loader) updateEndpointLocked(o *ownedEndpoint, e *topology.Endpoint) {
	startsDraining := e.Draining() && !o.endpoint.Draining()
	o.endpoint = e
	if !startsDraining {
		return
	}
	l.cancelPendingLoadsLocked(e.ID())
	for _, s := range o.slots {
		s.notifyWaiters()
	}
}

// dropLocked stops giving orders to an endpoint; waiting requests are answered.
func (l *Loader) dropLocked(o *ownedEndpoint) {
	if o == nil {
		return
	}
	l.Log.Info("Endpoint is no longer owned", "endpoint", o.endpoint.ID(), "fence", o.fence)
	delete(l.owned, o.endpoint.ID())
	l.resetStateLocked(o)
	l.Fences.Advance()
}

// resetStateLocked ends every wait for an endpoint and discards what is known to be loaded.
func (l *Loader) resetStateLocked(o *ownedEndpoint) {
	l.cancelPendingLoadsLocked(o.endpoint.ID())
	for _, s := range o.slots {
		l.releasePermitLocked(s, 0, clock.Now())
		s.notifyWaiters()
	}
	o.slots = make(map[topology.Adapter]*slot)
}

// cancelPendingLoadsLocked cancels the loads at an endpoint that have not begun.
func (l *Loader) cancelPendingLoadsLocked(endpoint string) {
	for k, w := range l.pendingLoads {
		if k.endpoint == endpoint {
			delete(l.pendingLoads, k)
			w.notifyWaiters()
		}
	}
}

func (s *slot) notifyWaiters() {
	if s.done != nil {
		close(s.done)
		s.done = nil
	}
}
