// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// phase is how far an endpoint's owner is.
type phase int

const (
	claiming phase = iota + 1 // what it holds is being learnt
	owning
	yielded  // another box owns it; wait before claiming it again
	resigned // this box leaves, and has told the next owner what it holds
)

// owned is one endpoint that this box gives orders to. Guarded by Loader.mu.
type ownedEndpoint struct {
	endpoint        *topology.Endpoint
	phase           phase
	since           time.Time // of the phase
	fence           uint64    // the last one that the endpoint was shown
	refusals        int       // fences refused in a row
	publications    uint64    // publications so far
	slots           map[topology.Adapter]*slot
	loadsInFlight   int               // loads on their way
	announcedTokens policy.Popularity // tokens of prompts that boxes were told to send here and have not told of
	waitingTokens   int               // tokens of prompts that wait for loads here
	queuedLoads     int               // loads that wait for a slot here, as of the last look
	needsReclaim    bool              // what it holds must be learnt anew
	models          map[string]bool   // base models that it holds
	loadingModel    bool              // a base model is on its way
	claims          int               // how often this box learnt what it holds; tasks of earlier claims stop
	handedOver      bool              // what it holds was told by the owner before, as of the last claim
	ordersInFlight  int               // orders that it has not answered
	ordersDone      chan struct{}     // closed when it has; nil: nobody waits
	endedUntil      time.Time         // a box found that it ended: it is not used until then, by which its entry has lapsed
	stateUncertain  bool              // an order got no answer since the last claim, or another owner's stands
}

// slot is one adapter that takes room at an endpoint.
type slot struct {
	version          int64
	ready            bool
	evicting         bool          // boxes are told not to use it; it will be unloaded
	evictionBegan    time.Time     // with leaving: since when
	unloading        bool          // with leaving: the endpoint was ordered to unload it
	outdated         bool          // a newer version of it is wanted
	holdsPermit      bool          // the load under way counts for the pace
	done             chan struct{} // closed when the load under way ended, well or not
	loadBegan        time.Time     // of the load
	evictionsSince   int           // with remembered: how many adapters left the endpoint since this one did, before the load
	heldBefore       bool          // it left the endpoint before
	expectedLoadTime time.Duration // of the load
	lastUsed         time.Time
	lastAnnounced    time.Time // when a box was last told that it is ready, besides by what is published
}

// ownLocked follows the view: endpoints that are this box's are claimed, others
// dropped.
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
		mine, from := l.Owns(e, now)
		o := l.owned[e.ID()]
		switch {
		case !mine:
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

// followLocked takes what is published of an endpoint. Those who wait for a load at
// one that begins to leave are told, so that they go elsewhere.
func (l *Loader) updateEndpointLocked(o *ownedEndpoint, e *topology.Endpoint) {
	leaves := e.Draining() && !o.endpoint.Draining()
	o.endpoint = e
	if !leaves {
		return
	}
	l.cancelPendingLoadsLocked(e.ID())
	for _, s := range o.slots {
		s.notifyWaiters()
	}
}

// dropLocked stops giving orders to an endpoint; those who wait are answered.
func (l *Loader) dropLocked(o *ownedEndpoint) {
	if o == nil {
		return
	}
	l.Log.Info("Endpoint is no longer owned", "endpoint", o.endpoint.ID(), "fence", o.fence)
	delete(l.owned, o.endpoint.ID())
	l.resetStateLocked(o)
	l.Fences.Advance()
}

// forgetLocked ends every wait for an endpoint and forgets what it holds.
func (l *Loader) resetStateLocked(o *ownedEndpoint) {
	l.cancelPendingLoadsLocked(o.endpoint.ID())
	for _, s := range o.slots {
		l.releasePermitLocked(s, 0, clock.Now())
		s.notifyWaiters()
	}
	o.slots = make(map[topology.Adapter]*slot)
}

// endWantsLocked ends every wait for a load at an endpoint that has not begun.
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
