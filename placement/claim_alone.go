// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"maps"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

const (
	// ownerCheckInterval is the time between two reports of an endpoint that a box without contact to any other would claim.
	ownerCheckInterval = 500 * time.Millisecond
	// maxWantedAdapters is how many adapters are remembered for the first order to an endpoint.
	maxWantedAdapters = 16
)

// claimAlone claims an endpoint for a box that has no contact with any other box. Others may be in the same situation, or own the
// endpoint, and know of each other only by the endpoint's count of orders. So this box claims an endpoint that has accepted no order for a
// lease, and does so by an order that it needs, which raises the count and is accepted only if no other one came first. An owner
// whose endpoint was claimed so has given its last order a lease before, so that boxes never order there in turns. It returns false
// once there is contact, and the claim goes on as usual.
func (l *Loader) claimAlone(ctx context.Context, o *ownedEndpoint) bool {
	var sequence uint64
	var quietSince time.Time // zero: the count is not known
	for ctx.Err() == nil && l.isClaiming(o) {
		if l.hasContact() {
			return false
		}
		h, err := l.readReport(ctx, o)
		now := clock.Now()
		switch {
		case err != nil:
			quietSince = time.Time{}
		case quietSince.IsZero() || h.Sequence != sequence:
			sequence, quietSince = h.Sequence, now
		case !h.Ordering && now.Sub(quietSince) >= l.Lease()+reportLag && l.orderAlone(ctx, o, h):
			return true
		}
		sleep(ctx, ownerCheckInterval)
	}
	return true
}

// readReport reads the report of an endpoint that is being claimed.
func (l *Loader) readReport(ctx context.Context, o *ownedEndpoint) (Inventory, error) {
	l.mu.Lock()
	e := o.endpoint
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := l.Control.Report(call, e)
	if err != nil {
		l.Log.Info("Endpoint report failed before its claim", "endpoint", e.ID(), "err", err.Error())
	}
	return h, err
}

// orderAlone gives an endpoint that holds h the first order that this box needs there, if any. It reports whether the endpoint was
// claimed.
func (l *Loader) orderAlone(ctx context.Context, o *ownedEndpoint, h Inventory) bool {
	l.mu.Lock()
	e, previous, refusals := o.endpoint, o.fence, o.refusals
	d, needed := l.firstOrderLocked(o, h)
	l.mu.Unlock()
	if !needed {
		return false
	}
	d.Fence, d.Holder = l.Fences.Next(time.Now(), previous, refusals), l.Box
	d.IsConditional, d.Sequence = true, h.Sequence
	out, accepted := l.showFence(ctx, o, e, d)
	switch {
	case !accepted:
		return false
	case d.Adapter.Name == "" && out == Accepted:
		l.ownLoadingEndpoint(ctx, o, raisedFence{endpoint: e, fence: d.Fence, loading: d.Adapter.Model})
	case d.Adapter.Name == "":
		return false // it holds the model by now
	default:
		if d.Unload && out == Done {
			delete(h.Ready, d.Adapter)
		} else if !d.Unload {
			h.Pending[d.Adapter] = d.Version
		}
		l.takeOwnership(ctx, o, d.Fence, h, false)
	}
	return true
}

// firstOrderLocked returns the order with which this box would begin to own an endpoint that holds h: to load a base model, or an
// adapter that was requested there, or to unload one if there is no room for it.
func (l *Loader) firstOrderLocked(o *ownedEndpoint, h Inventory) (d Order, needed bool) {
	if o.endpoint.Draining() {
		return Order{}, false
	}
	if len(h.Models) == 0 {
		model := l.rarestModel(o.endpoint)
		return Order{Adapter: topology.Adapter{Model: model}}, model != "" && l.modelLoadBucket.take(clock.Now())
	}
	g := l.engineSpec(o.endpoint)
	if g == nil || len(h.Pending) >= maxConcurrentLoads {
		return Order{}, false
	}
	models := make(map[string]bool)
	for _, m := range h.Models {
		models[m] = true
	}
	isHeld := func(a topology.Adapter, _ int64) bool {
		_, ready := h.Ready[a]
		_, pending := h.Pending[a]
		return ready || pending || !models[a.Model]
	}
	maps.DeleteFunc(o.wanted, isHeld)
	for a, version := range o.wanted {
		if len(h.Ready)+len(h.Pending) < g.AdapterCapacity(models) {
			return Order{Adapter: a, Version: version}, true
		}
		for held := range h.Ready {
			return Order{Unload: true, Adapter: held}, true
		}
	}
	return Order{}, false
}

// wantLocked remembers that an adapter was requested at an endpoint that this box has not claimed yet.
func (l *Loader) wantLocked(o *ownedEndpoint, a topology.Adapter, version int64) {
	if o == nil || o.phase != claiming || a.Name == "" || len(o.wanted) >= maxWantedAdapters || l.hasContact() {
		return
	}
	if o.wanted == nil {
		o.wanted = make(map[topology.Adapter]int64)
	}
	o.wanted[a] = version
}
