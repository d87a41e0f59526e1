// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// A leaving box keeps giving orders to its endpoints until the next owner of each asks it to
// resign. It then stops and hands over what the endpoint holds, so that the next owner need
// not wait for a recent report: between the last order of one owner and the first order of
// the next there are only a few calls.

// HandoverTimeout is how long a leaving box keeps giving orders at most: three times as long as
// the announcement that it leaves takes to reach the next owner with the next heartbeats.
// A next owner that can't ask it waits for as long, so that the two do not alternate.
const HandoverTimeout = time.Second

// Handover is a leaving box's final state of an endpoint.
type Handover struct {
	Inventory

	Resigned bool   // the box has sent its last order and knows what the endpoint holds; when false, the other fields are empty
	Fence    uint64 // of its orders
}

// Leave ends this box's claims: from now on it gives orders only to the endpoints that it owns,
// until other boxes ask for them, and for HandoverTimeout at most.
func (l *Loader) Leave(now time.Time) {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince, l.nextClaimAt = now, time.Time{}
	l.pruneWhileLeavingLocked(now)
}

// pruneWhileLeavingLocked drops the endpoints that a leaving box does not own, and all of them
// after HandoverTimeout.
func (l *Loader) pruneWhileLeavingLocked(now time.Time) {
	for id, o := range l.owned {
		e := l.View.Endpoint(id)
		if e == nil || now.Sub(l.leavingSince) >= HandoverTimeout || (o.phase != owning && o.phase != resigned) {
			l.dropLocked(o)
			continue
		}
		l.updateEndpointLocked(o, e)
	}
}

// OrdersWhileLeaving reports whether this box is leaving and still gives orders to an endpoint.
func (l *Loader) OrdersWhileLeaving(endpoint string) bool {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.owned[endpoint]
	return !l.leavingSince.IsZero() && o != nil && o.phase == owning
}

// Resign ends this box's orders to an endpoint for good when the box is leaving. It waits for
// orders in progress, and then checks that the endpoint has seen no higher fence: if so, no
// other box has given it orders.
func (l *Loader) Resign(ctx context.Context, endpoint string) Handover {
	l.Init()
	o, e, answered := l.stopOrders(endpoint)
	if o == nil {
		return Handover{}
	}
	defer l.resetState(o)
	select {
	case <-ctx.Done():
	case <-answered:
		if l.hasHighestFence(ctx, e, o.fence) {
			return l.buildHandover(o)
		}
	}
	l.Log.Info("Resigned from endpoint without handing over its state", "endpoint", endpoint, "fence", o.fence)
	return Handover{}
}

// stopOrders begins no more orders to an endpoint. The channel is closed when those in progress
// are answered. The returned endpoint is nil when this box gives it no orders.
func (l *Loader) stopOrders(endpoint string) (*ownedEndpoint, *topology.Endpoint, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.owned[endpoint]
	if l.leavingSince.IsZero() || o == nil || o.phase != owning || !l.mayOrderLocked(clock.Now()) {
		return nil, nil, nil
	}
	o.phase, o.since = resigned, clock.Now()
	answered := make(chan struct{})
	if o.ordersInFlight == 0 {
		close(answered)
	} else {
		o.ordersDone = answered
	}
	return o, o.endpoint, answered
}

// hasHighestFence checks, with an order that changes nothing, that an endpoint has seen no fence
// above the given one of this box.
func (l *Loader) hasHighestFence(ctx context.Context, e *topology.Endpoint, fence uint64) bool {
	models := e.Models()
	if len(models) == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := l.Control.Order(call, e, Order{Adapter: topology.Adapter{Model: models[0]}, Fence: fence, Holder: l.Box})
	return err == nil && out == Done
}

// buildHandover returns what an endpoint holds, unless that is uncertain: an order got no
// response, a base model is being loaded, or an adapter is to be unloaded when its requests end.
func (l *Loader) buildHandover(o *ownedEndpoint) Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := Handover{Resigned: !o.stateUncertain && !o.loadingModel, Fence: o.fence}
	h.Ready, h.Pending = make(map[topology.Adapter]int64), make(map[topology.Adapter]int64)
	for m := range o.models {
		h.Models = append(h.Models, m)
	}
	for a, s := range o.slots {
		switch {
		case s.unloading:
			h.Resigned = false
		case s.ready:
			h.Ready[a] = s.version
		default:
			h.Pending[a] = s.version
		}
	}
	if !h.Resigned {
		return Handover{}
	}
	l.Log.Info("Endpoint handed over", "endpoint", o.endpoint.ID(), "fence", o.fence, "ready", len(h.Ready), "pending", len(h.Pending))
	return h
}

func (l *Loader) resetState(o *ownedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetStateLocked(o)
}

// mayOrderLocked reports whether this box may give orders at all. Ownership is checked only
// periodically, but a leaving box must have stopped when the next owner has waited for it.
func (l *Loader) mayOrderLocked(now time.Time) bool {
	return l.leavingSince.IsZero() || now.Sub(l.leavingSince) < HandoverTimeout
}

// beginOrder registers an order to an endpoint that is still owned under the given claim. Under
// a later claim the task's knowledge of what the endpoint holds may be outdated.
func (l *Loader) beginOrder(o *ownedEndpoint, claim int) (*topology.Endpoint, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owns := o.phase == owning && o.claims == claim && l.owned[o.endpoint.ID()] == o && l.mayOrderLocked(clock.Now())
	if owns {
		o.ordersInFlight++
	}
	return o.endpoint, o.fence, owns
}

// endOrder records the end of an order. After a missing response, or a sign of another owner,
// this box no longer knows what the endpoint holds. An emptied slot is recorded here because the
// task that unloads it may continue too late for a handover.
func (l *Loader) endOrder(o *ownedEndpoint, claim int, d Order, out Outcome, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.ordersInFlight--
	switch {
	case err != nil || out == Fenced || out == Misdirected:
		o.stateUncertain = true
	case d.Unload && out == Done && o.claims == claim:
		delete(o.slots, d.Adapter)
	}
	if o.ordersInFlight == 0 && o.ordersDone != nil {
		close(o.ordersDone)
		o.ordersDone = nil
	}
}
