// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

const (
	claimRetryInterval = 300 * time.Millisecond // the pause after a failed attempt to claim an endpoint
	// loneBackoffLeases is for how many leases a box without contact claims no endpoint after a refusal: the owner is alive, and
	// contact with it settles who owns the endpoint.
	loneBackoffLeases = 10
)

// claim raises the fence at an endpoint, learns what it holds, and then owns it. The fence
// comes first: from then on the endpoint refuses orders of the previous owner, who may not know
// of its replacement, so none is carried out between the report and this box's first order.
// A report may be up to reportLag old, so it is read that much later. When the previous owner is
// leaving and hands over what the endpoint holds, no report is needed: that owner had the highest
// fence when it was asked, and a box that has raised one since gives no order before its
// own report is recent enough.
// An endpoint that carries out an order of a previous owner is claimed once that has ended: what it will hold then is not known
// before. After modelLoadTimeout it is claimed all the same, gets no order about a base model, and is claimed anew after that time.
// An endpoint that holds nothing, as after its start, is claimed by the order to load a base model.
func (l *Loader) claim(o *ownedEndpoint) func(context.Context) {
	return func(ctx context.Context) {
		if !l.hasContact() && l.claimAlone(ctx, o) {
			return
		}
		asked := clock.Now()
		handed := l.requestHandover(ctx, o)
		waiting := time.Time{}
		for ctx.Err() == nil && l.isClaiming(o) {
			r, raised := l.raiseFence(ctx, o)
			if !raised {
				if !sleep(ctx, claimRetryInterval) {
					return
				}
				continue
			}
			if r.loading != "" {
				l.ownLoadingEndpoint(ctx, o, r)
				return
			}
			if handed.Resigned && clock.Since(asked) < reportLag {
				l.takeOwnership(ctx, o, r.fence, handed.Inventory, true)
				return
			}
			if !sleep(ctx, reportLag) {
				return
			}
			call, cancel := context.WithTimeout(ctx, callTimeout)
			h, err := l.Control.Report(call, r.endpoint)
			cancel()
			switch {
			case err != nil:
				l.Log.Info("Endpoint report failed; retrying claim", "endpoint", r.endpoint.ID(), "err", err.Error())
			case h.Ordering && l.isWorthWaiting(r.endpoint, &waiting):
			default:
				l.takeOwnership(ctx, o, r.fence, h, false)
				if h.Ordering {
					l.reclaimLater(ctx, o)
				}
				return
			}
			if !sleep(ctx, claimRetryInterval) {
				return
			}
		}
	}
}

// isWorthWaiting reports whether the claim of an endpoint that carries out an order still waits for its end. since is when it
// began to wait; zero: it has not.
func (l *Loader) isWorthWaiting(e *topology.Endpoint, since *time.Time) bool {
	if since.IsZero() {
		*since = clock.Now()
		l.Log.Info("Endpoint carries out an order about a base model; its claim waits", "endpoint", e.ID())
	}
	return clock.Since(*since) < modelLoadTimeout
}

// reclaimLater claims an endpoint anew that was claimed while it carried out an order about a base model.
func (l *Loader) reclaimLater(ctx context.Context, o *ownedEndpoint) {
	l.mu.Lock()
	claim := o.claims
	l.mu.Unlock()
	if sleep(ctx, modelLoadTimeout) {
		l.requestReclaim(o, claim, "an order about a base model was under way")
	}
}

// hasContact reports whether this box has had contact with another box, or knows that there is none.
func (l *Loader) hasContact() bool { return l.HasContact == nil || l.HasContact() }

// requestHandover asks the previous owner to hand over an endpoint that this box has not owned.
// An owner that is leaving and does not answer may still give orders, and raising the fence
// would make the two boxes alternate; so this waits until that owner must have stopped.
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
		l.Log.Info("Leaving owner did not answer; waiting until its orders have ended", "endpoint", e.ID(), "wait_ms", wait.Milliseconds())
		sleep(ctx, wait)
	}
	return Handover{}
}

// raisedFence is a fence that an endpoint has accepted.
type raisedFence struct {
	endpoint *topology.Endpoint
	fence    uint64
	loading  string // the base model whose load showed the fence, at an endpoint that held nothing; empty: there was none
}

// raiseFence shows an endpoint a new fence with an order that changes nothing: to load a base model that it holds.
func (l *Loader) raiseFence(ctx context.Context, o *ownedEndpoint) (raisedFence, bool) {
	l.mu.Lock()
	e, previous, refusals := o.endpoint, o.fence, o.refusals
	l.mu.Unlock()
	fence := l.Fences.Next(time.Now(), previous, refusals)
	models := e.Models()
	if len(models) == 0 {
		return l.raiseFenceByLoad(ctx, o, e, fence)
	}
	_, raised := l.showFence(ctx, o, e, Order{Adapter: topology.Adapter{Model: models[0]}, Fence: fence, Holder: l.Box})
	return raisedFence{endpoint: e, fence: fence}, raised
}

// raiseFenceByLoad shows a fence to an endpoint whose entry names no base model. The entry may be older than an order of the previous
// owner, which may also be in transit, so the endpoint is to accept the load only if it has accepted no order since its report.
func (l *Loader) raiseFenceByLoad(ctx context.Context, o *ownedEndpoint, e *topology.Endpoint, fence uint64) (raisedFence, bool) {
	r := raisedFence{endpoint: e, fence: fence}
	l.mu.Lock()
	model, allowed := l.rarestModel(e), l.modelLoadBucket.has(clock.Now())
	l.mu.Unlock()
	if model == "" || e.Draining() || !allowed {
		return r, false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	h, err := l.Control.Report(call, e)
	cancel()
	if err != nil {
		l.Log.Info("Endpoint report failed; retrying claim", "endpoint", e.ID(), "err", err.Error())
		return r, false
	}
	if len(h.Models) > 0 {
		_, raised := l.showFence(ctx, o, e, Order{Adapter: topology.Adapter{Model: h.Models[0]}, Fence: fence, Holder: l.Box})
		return r, raised
	}
	if h.Ordering || !l.takeModelLoad() {
		return r, false
	}
	d := Order{Adapter: topology.Adapter{Model: model}, Fence: fence, Holder: l.Box, IsConditional: true, Sequence: h.Sequence}
	out, raised := l.showFence(ctx, o, e, d)
	if out == Accepted {
		r.loading = model
	}
	return r, raised
}

// takeModelLoad reports whether the store's rate allows the load of a base model now, and counts it.
func (l *Loader) takeModelLoad() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modelLoadBucket.take(clock.Now())
}

// showFence sends an order of a claim. It reports whether the endpoint has accepted its fence.
func (l *Loader) showFence(ctx context.Context, o *ownedEndpoint, e *topology.Endpoint, d Order) (Outcome, bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := l.Control.Order(call, e, d)
	switch {
	case err != nil:
		l.Log.Info("Claim failed: endpoint did not answer", "endpoint", e.ID(), "err", err.Error())
	case out == Fenced:
		l.handleClaimRefused(o, e, d.Fence)
	}
	return out, err == nil && (out == Done || out == Accepted)
}

// ownLoadingEndpoint takes an endpoint over that held nothing when it accepted this box's order to load a base model, and follows that load.
func (l *Loader) ownLoadingEndpoint(ctx context.Context, o *ownedEndpoint, r raisedFence) {
	l.Log.Info("Base model load begins", "model", r.loading, "endpoint", r.endpoint.ID(), "fence", r.fence)
	if claim, ok := l.takeOwnership(ctx, o, r.fence, Inventory{Ordering: true}, false); ok {
		l.loadModel(ctx, o, claim, r.loading, true)
	}
}

func (l *Loader) isClaiming(o *ownedEndpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owned[o.endpoint.ID()] == o && o.phase == claiming
}

// takeOwnership starts giving orders to an endpoint that holds h, according to its report or
// the handover. It returns the number of the claim; false if the endpoint is no longer claimed.
func (l *Loader) takeOwnership(ctx context.Context, o *ownedEndpoint, fence uint64, h Inventory, handedOver bool) (claim int, ok bool) {
	now := clock.Now()
	l.mu.Lock()
	if l.owned[o.endpoint.ID()] != o || o.phase != claiming {
		l.mu.Unlock()
		return 0, false
	}
	o.fence, o.publications = fence, 0
	o.phase, o.since, o.loadsInFlight = owning, now, 0
	o.handedOver, o.stateUncertain = handedOver, false
	o.claims++
	claim = o.claims
	o.slots, o.wanted = make(map[topology.Adapter]*slot), nil
	o.models, o.loadingModel = make(map[string]bool), h.Ordering
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
	l.Log.Info("Endpoint is owned", "endpoint", o.endpoint.ID(), "fence", o.fence, "handed_over", handedOver,
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
	return claim, true
}

// handleClaimRefused handles an endpoint's refusal of the fence of a claim. The first refusal
// may only mean that the clock here is behind the clock of an earlier owner that may be long
// gone: the claim is retried at once with a much higher fence. After the second one another
// box is assumed to claim the endpoint too, and this box backs off.
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
	l.Log.Info("Claim refused: endpoint has seen a higher fence; retrying with a much higher one", "endpoint", e.ID(), "fence", fence)
}

// yieldOwnership gives up an endpoint that refused the fence in the given phase: another owner
// has a higher one.
func (l *Loader) yieldOwnership(o *ownedEndpoint, in phase, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.phase != in {
		return
	}
	l.Log.Info("Ownership yielded: endpoint has seen a higher fence", "endpoint", o.endpoint.ID(), "fence", fence)
	o.phase, o.since = yielded, clock.Now()
	o.refusals++
	l.resetStateLocked(o)
}

// startupClaimBackoff is the back-off after a refusal soon after this box started: when many
// boxes start together their cluster views differ briefly, and a refusal says little.
const startupClaimBackoff = 400 * time.Millisecond

// claimBackoffLocked returns how long this box backs off from an endpoint that refused it:
// longer than the lease, so that two boxes that both consider themselves owner do not alternate.
func (l *Loader) claimBackoffLocked(o *ownedEndpoint) time.Duration {
	if !l.hasContact() {
		return loneBackoffLeases * l.Lease()
	}
	if o.since.Sub(l.startedAt) < l.Lease() {
		return startupClaimBackoff
	}
	return l.Lease() * 5 / 4
}

// requestReclaim starts a new claim of an endpoint after an order with unknown result.
func (l *Loader) requestReclaim(o *ownedEndpoint, claim int, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.phase == owning && o.claims == claim {
		l.reclaimLocked(o, why)
	}
}

func (l *Loader) reclaimLocked(o *ownedEndpoint, why string) {
	l.Log.Info("Endpoint state is uncertain; claiming it again", "endpoint", o.endpoint.ID(), "cause", why)
	o.phase, o.since = claiming, clock.Now()
	l.resetStateLocked(o)
	o.needsReclaim = true
}

// renewFencesLocked claims endpoints again, with a new fence, before the count of publications under the current one runs out.
func (l *Loader) renewFencesLocked() {
	for _, o := range l.owned {
		if o.phase == owning && o.publications >= maxPublications/2 {
			l.reclaimLocked(o, "its fence has had many publications")
		}
	}
}

// startReclaimsLocked returns the claims that requestReclaim asked for. A leaving box claims
// nothing.
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

// sleep returns false when ctx ends first.
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
