// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// claimPause is between two tries to learn what an endpoint holds.
const claimRetryInterval = 300 * time.Millisecond

// claim raises the fence at an endpoint, learns what it holds, and then owns it. The
// fence comes first: from then on the endpoint refuses the owner before, who may not
// know yet, so that no order comes between the report and the first order here. The
// report may be some time old, so it is read that much later. Where the owner before leaves
// and says what the endpoint holds, no report is needed: that owner had the highest fence when
// it was asked, and who raised one since gives no order before its report is new enough.
func (l *Loader) claim(o *ownedEndpoint) func(context.Context) {
	return func(ctx context.Context) {
		asked := clock.Now()
		handed := l.requestHandover(ctx, o)
		for ctx.Err() == nil && l.isClaiming(o) {
			e, fence, raised := l.raiseFence(ctx, o)
			if !raised {
				if !sleep(ctx, claimRetryInterval) {
					return
				}
				continue
			}
			if handed.Resigned && clock.Since(asked) < reportLag {
				l.takeOwnership(ctx, o, fence, handed.Inventory, true)
				return
			}
			if !sleep(ctx, reportLag) {
				return
			}
			call, cancel := context.WithTimeout(ctx, callTimeout)
			h, err := l.Control.Report(call, e)
			cancel()
			if err == nil {
				l.takeOwnership(ctx, o, fence, h, false)
				return
			}
			l.Log.Info("Endpoint gives no report", "endpoint", e.ID(), "err", err.Error())
			if !sleep(ctx, claimRetryInterval) {
				return
			}
		}
	}
}

// takeOver asks the owner before for an endpoint that this box has not owned. An owner that
// does not answer may still give orders, and a fence would make it take turns with this box,
// so that takes as long as it may.
func (l *Loader) requestHandover(ctx context.Context, o *ownedEndpoint) Handover {
	l.mu.Lock()
	e, first := o.endpoint, o.claims == 0
	l.mu.Unlock()
	if !first {
		return Handover{}
	}
	h, wait := l.AskToResign(ctx, e)
	if h.Resigned {
		l.Fences.Observe(term(h.Fence))
		return h
	}
	if wait > 0 {
		l.Log.Info("Endpoint's owner leaves and does not answer", "endpoint", e.ID(), "wait_ms", wait.Milliseconds())
		sleep(ctx, wait)
	}
	return Handover{}
}

// raise shows an endpoint a new fence by an order that changes nothing: to load a base
// model that it holds. One that holds none has nothing that the owner before could
// order it to add to, and is claimed without.
func (l *Loader) raiseFence(ctx context.Context, o *ownedEndpoint) (e *topology.Endpoint, fence uint64, raised bool) {
	l.mu.Lock()
	e, past, refused := o.endpoint, o.fence, o.refusals
	l.mu.Unlock()
	fence = l.Fences.Next(time.Now(), past, refused)
	if len(e.Models()) == 0 {
		return e, fence, true
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d := Order{Adapter: topology.Adapter{Model: e.Models()[0]}, Fence: fence, Holder: l.Box}
	out, err := l.Control.Order(call, e, d)
	switch {
	case err != nil:
		l.Log.Info("Endpoint does not answer its new owner", "endpoint", e.ID(), "err", err.Error())
	case out == Fenced:
		l.handleClaimRefused(o, e, fence)
	case out == Done || out == Accepted:
		return e, fence, true
	}
	return e, 0, false
}

func (l *Loader) isClaiming(o *ownedEndpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owned[o.endpoint.ID()] == o && o.phase == claiming
}

// own begins to give orders to an endpoint that holds h, by its report or as handed over.
func (l *Loader) takeOwnership(ctx context.Context, o *ownedEndpoint, fence uint64, h Inventory, handed bool) {
	now := clock.Now()
	l.mu.Lock()
	if l.owned[o.endpoint.ID()] != o || o.phase != claiming {
		l.mu.Unlock()
		return
	}
	o.fence = fence
	o.phase, o.since, o.loadsInFlight = owning, now, 0
	o.handedOver, o.stateUncertain = handed, false
	o.claims++
	claim := o.claims
	o.slots = make(map[topology.Adapter]*slot)
	o.models, o.loadingModel = make(map[string]bool), false
	for _, m := range h.Models {
		o.models[m] = true
	}
	for a, v := range h.Ready {
		o.slots[a] = &slot{version: v, ready: true, lastUsed: now}
	}
	var pending []topology.Adapter
	for a, v := range h.Pending {
		if o.slots[a] != nil {
			continue
		}
		o.slots[a] = &slot{version: v, loadBegan: now, expectedLoadTime: l.coldLoadTime, done: make(chan struct{}), lastUsed: now}
		o.loadsInFlight++
		pending = append(pending, a)
	}
	l.publishLocked(o)
	l.updateRateShareLocked()
	l.Log.Info("Endpoint is owned", "endpoint", o.endpoint.ID(), "fence", o.fence, "handed_over", handed,
		"models", len(h.Models), "ready", len(h.Ready), "pending", len(pending))
	l.mu.Unlock()
	ended := make(chan struct{})
	for _, a := range pending {
		go func() {
			l.runLoad(ctx, o, claim, a)
			ended <- struct{}{}
		}()
	}
	for range pending {
		<-ended
	}
	l.wakeUp()
}

// outbid handles a refusal of the fence by which an endpoint was to be claimed. The
// first may only mean that the clock here is behind the last owner's, who may have ended
// long ago: it is tried once more at once, with a fence far above. From the second on
// another box claims it too, and this one keeps away.
func (l *Loader) handleClaimRefused(o *ownedEndpoint, e *topology.Endpoint, fence uint64) {
	l.mu.Lock()
	o.fence = fence
	first := o.refusals == 0
	if first {
		o.refusals = 1
	}
	l.mu.Unlock()
	if !first {
		l.yieldOwnership(o, claiming, fence)
		return
	}
	l.Log.Info("Endpoint has seen a higher fence and is claimed with one far above", "endpoint", e.ID(), "fence", fence)
}

// yield gives an endpoint up, in the phase in which it refused the fence: another owner
// has a higher one.
func (l *Loader) yieldOwnership(o *ownedEndpoint, in phase, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.phase != in {
		return
	}
	l.Log.Info("Endpoint has seen a higher fence and is given up", "endpoint", o.endpoint.ID(), "fence", fence)
	o.phase, o.since = yielded, clock.Now()
	o.refusals++
	l.resetStateLocked(o)
}

// youngPause is how long a box keeps away from an endpoint that refused it soon after its
// start: after a start of many their views differ for a moment, and a refusal says little.
const startupClaimBackoff = 400 * time.Millisecond

// keepAwayLocked is how long this box keeps away from an endpoint that refused it: longer
// than the lease, so that two boxes that both think they own it do not take turns.
func (l *Loader) claimBackoffLocked(o *ownedEndpoint) time.Duration {
	if o.since.Sub(l.startedAt) < l.Lease() {
		return startupClaimBackoff
	}
	return l.Lease() * 5 / 4
}

// relearn learns anew what an endpoint holds, after an order without an answer.
func (l *Loader) requestReclaim(o *ownedEndpoint, claim int, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.phase != owning || o.claims != claim {
		return
	}
	l.Log.Info("Endpoint is asked anew what it holds", "endpoint", o.endpoint.ID(), "cause", why)
	o.phase, o.since = claiming, clock.Now()
	l.resetStateLocked(o)
	o.needsReclaim = true
}

// reclaimLocked begins the claims that relearn asked for. A box that leaves claims nothing.
func (l *Loader) startReclaimsLocked() []func(context.Context) {
	if !l.leavingSince.IsZero() {
		return nil
	}
	var tasks []func(context.Context)
	for _, o := range l.owned {
		if o.needsReclaim {
			o.needsReclaim = false
			tasks = append(tasks, l.claim(o))
		}
	}
	return tasks
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
