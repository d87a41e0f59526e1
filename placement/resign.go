// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// A box that leaves goes on with its endpoints until the next owner of each asks it to
// resign. It then gives no order there any more and tells what the endpoint holds, so that
// the next owner need not wait until a report is new enough: between the last order of the
// one and the first of the other lie a few calls.

// KeepMost is how long a box that leaves gives orders at most: three times as long as the
// news that it leaves takes to the next owner, by the time between two heartbeats. Where that
// one can't ask, it waits for so long, so that the two do not take turns.
const HandoverTimeout = time.Second

// Handover is what a box tells of an endpoint to which it gives no orders any more.
type Handover struct {
	Inventory

	Resigned bool   // it gave the last orders and knows what the endpoint holds; else the rest is empty
	Fence    uint64 // of its orders
}

// Leave ends the claims of this box: it gives orders only to the endpoints that it owns,
// until others ask for them, and for KeepMost at most.
func (l *Loader) Leave(now time.Time) {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince, l.nextClaimAt = now, time.Time{}
	l.pruneWhileLeavingLocked(now)
}

// keepLocked drops what a box that leaves does not own, or has owned for long enough.
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

// Keeps tells whether this box leaves and still gives orders to an endpoint.
func (l *Loader) OrdersWhileLeaving(endpoint string) bool {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.owned[endpoint]
	return !l.leavingSince.IsZero() && o != nil && o.phase == owning
}

// Resign ends this box's orders to an endpoint for good, when it leaves. Those under way are
// answered first, and the endpoint must still know no higher fence: then nobody has given it
// other orders.
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
	l.Log.Info("Endpoint is left without a word of what it holds", "endpoint", endpoint, "fence", o.fence)
	return Handover{}
}

// endOrders begins no more orders to an endpoint. The channel closes when those under way
// are answered; without an endpoint there is nothing to resign from.
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

// isHighest tells whether an endpoint knows no fence above one of this box, by an order that
// changes nothing.
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

// handOver tells what an endpoint holds, unless that is not certain: an order got no answer,
// or the endpoint unloads an adapter when its runs have ended.
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
	l.Log.Info("Endpoint is handed over", "endpoint", o.endpoint.ID(), "fence", o.fence, "ready", len(h.Ready), "pending", len(h.Pending))
	return h
}

func (l *Loader) resetState(o *ownedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetStateLocked(o)
}

// ordersLocked tells whether this box gives orders at all. One that leaves looks at what it
// owns only now and then, and must have stopped when the next owner has waited.
func (l *Loader) mayOrderLocked(now time.Time) bool {
	return l.leavingSince.IsZero() || now.Sub(l.leavingSince) < HandoverTimeout
}

// callBegins notes that an order is on its way to an endpoint that is still owned under the
// claim with the number; what the endpoint holds may have changed since any other.
func (l *Loader) beginOrder(o *ownedEndpoint, claim int) (*topology.Endpoint, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owns := o.phase == owning && o.claims == claim && l.owned[o.endpoint.ID()] == o && l.mayOrderLocked(clock.Now())
	if owns {
		o.ordersInFlight++
	}
	return o.endpoint, o.fence, owns
}

// callEnded notes an order's end. Of an endpoint that did not answer, or follows another
// owner, this box no longer knows what it holds; a slot that is empty is known at once, as
// its task may come too late for the next owner.
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
