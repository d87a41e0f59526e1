// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
)

// Requests for endpoints whose memory limits them are balanced by work: the owner of the endpoints chooses one for each
// request, since it alone knows the work of all boxes. Package balance decides; this file collects the facts.

// recordWorkLocked records what a box reported of prompts that an endpoint read and of requests that it failed.
func (l *Loader) recordWorkLocked(o *ownedEndpoint, box string, u Use, now time.Time) {
	if u.Started > 0 {
		o.settleGrants(box, u.Adapter, u.Started)
	}
	l.speeds.Observe(u.Endpoint, u.Read, now)
	l.speeds.ObserveFailures(u.Endpoint, u.Failed, now)
	if u.Streams > 0 && l.inFlight.hadLongRead(u.Endpoint, now) {
		l.speeds.ObservePause(u.Endpoint, u.Pauses/time.Duration(u.Streams), now)
	}
	if slow, changed := l.speeds.Changed(u.Endpoint, now); changed {
		message := "Endpoint is slow or fails requests"
		if !slow {
			message = "Endpoint has recovered its speed"
		}
		l.Log.Info(message, "endpoint", u.Endpoint, "slowdown", l.speeds.Slowdown(u.Endpoint, now))
	}
}

// queuedTokensLocked returns the prompt tokens that an endpoint has to read, including those of requests on their way and
// of those that wait for loads there.
func (l *Loader) queuedTokensLocked(o *ownedEndpoint, now time.Time) int {
	o.expireGrants(now)
	tokens, _ := o.granted()
	return l.inFlight.prefillTokens(o.endpoint.ID()) + tokens + o.waitingTokens
}

// stallMargin is how much longer than predicted an endpoint may take to read a prompt before it counts as stalled:
// boxes report in batches.
const stallMargin = 100 * time.Millisecond

// queueTimeLocked returns how long an endpoint takes to read the prompts that it has. If it has read none for longer
// than predicted, that time is added.
func (l *Loader) queueTimeLocked(o *ownedEndpoint, now time.Time) time.Duration {
	id := o.endpoint.ID()
	queue := l.speeds.ReadTime(id, l.queuedTokensLocked(o, now), now)
	if p, busy := l.inFlight.readingOf(id); busy {
		expected := l.speeds.FirstToken(id, l.inFlight.prefillTokens(id), now)
		queue += max(now.Sub(p.progressAt)-expected-stallMargin, 0)
	}
	return queue
}

// ownsAnyLocked reports whether this box gives orders to an endpoint of the same service and data centre.
func (l *Loader) ownsAnyLocked(e *topology.Endpoint) bool {
	for _, o := range l.owned {
		if o.phase == owning && o.endpoint.DataCentre() == e.DataCentre() && o.endpoint.Service() == e.Service() {
			return true
		}
	}
	return false
}

// longClaimTime is how long a claim may take before the endpoint's adapters are loaded elsewhere: an endpoint that does not
// answer its claims would keep them from being loaded. Claims usually take typicalClaimTime.
const longClaimTime = 4 * typicalClaimTime

// unsettledHolderLocked returns an endpoint that holds a request's adapter according to its previous owner, if this box
// doesn't own it yet and none that it owns holds or loads the adapter. A load elsewhere would be a second one.
func (l *Loader) unsettledHolderLocked(w *waiter, now time.Time) *topology.Endpoint {
	if w.Adapter.Name == "" || w.Version > l.View.LatestVersion(w.Adapter) {
		return nil
	}
	var unsettled *topology.Endpoint
	for _, e := range l.View.EndpointsReady(w.Adapter) {
		if e.DataCentre() != w.Endpoint.DataCentre() || e.Service() != w.Endpoint.Service() || e.Draining() || w.avoids(e.ID()) {
			continue
		}
		if w.NotLoaded && e.ID() == w.Endpoint.ID() {
			continue
		}
		o := l.owned[e.ID()]
		if o != nil && o.phase == owning {
			return nil
		}
		if o != nil && o.phase == claiming && now.Sub(o.since) >= longClaimTime {
			continue
		}
		unsettled = e
	}
	if unsettled != nil && l.isHeldOrLoadingLocked(w, now) { // a load that is in progress isn't published as ready
		return nil
	}
	return unsettled
}

// isHeldOrLoadingLocked reports whether an endpoint that this box owns holds or loads a request's adapter.
func (l *Loader) isHeldOrLoadingLocked(w *waiter, now time.Time) bool {
	var denied *ownedEndpoint
	if w.NotLoaded {
		denied = l.owned[w.Endpoint.ID()]
	}
	return len(l.candidatesLocked(w, denied, balance.Loading, now).list) > 0
}

// balanceLocked answers a request that is balanced by work, or returns a channel to wait on and the endpoint of the load
// that it waits for. asked is the endpoint that the request names; nil: this box does not own it. Any endpoint of its data
// centre may serve, so one that has just ended doesn't matter.
func (l *Loader) balanceLocked(asked *ownedEndpoint, w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}, *ownedEndpoint) {
	r := balance.Request{
		Target:     w.Target - now.Sub(w.requestedAt),
		QueueLimit: w.QueueLimit,
		MaxWait:    limit.Sub(now),
		MaxPause:   w.MaxPause,
		Returned:   w.Retried && l.returns.IsDue(w.requestedAt, w.Elapsed) && l.slotReturns.IsDue(w.requestedAt, w.Elapsed),

		ReturnLimit: w.UrgentLimit,
	}
	chosen, d := l.chooseBalancedLocked(asked, w, r, now)
	switch {
	case d.Reason == reasonNoSlot:
		return l.refuseSlotLocked(w, r, now), nil, nil
	case d.Index < 0:
		return l.refuseBusyLocked(w, r, d, chosen, now), nil, nil
	}
	o, c := chosen.endpoints[d.Index], chosen.list[d.Index]
	if d.AddCopy && w.Adapter.Name != "" {
		l.addCopyLocked(o, w, c, now)
	}
	switch c.Availability {
	case balance.Loading:
		s := o.slots[w.Adapter]
		p, done := l.waitOrRetry(s.expectedLoadTime-now.Sub(s.loadBegan), s.done, now, limit, reasonLoading)
		return p, done, o
	case balance.Requested, balance.Loadable:
		p, done := l.enqueueLocked(o, w, now, limit)
		l.Log.V(1).Info("Load is requested", "request", w.RequestID, "adapter", w.Adapter.String(), "reason", d.Reason.String(),
			"endpoint", o.endpoint.ID(), "first_token_ms", d.FirstToken.Milliseconds(), "delay_ms", c.Delay.Milliseconds(), "waits", done != nil)
		if done == nil {
			return l.refuseLoadLocked(r, p), nil, nil
		}
		return p, done, o
	}
	return l.grantLocked(o, w, d, now), nil, nil
}

// reasonNoSlot is the reason of a decision without a candidate, since free adapter slots are kept for more urgent requests.
const reasonNoSlot = balance.Reason(0)

// chooseBalancedLocked chooses among the endpoints that hold the adapter or are loading it and, if none of them serves
// the request in time, among those on which it may be loaded. While slots are scarce, none is taken for a request that
// would be late all the same.
func (l *Loader) chooseBalancedLocked(asked *ownedEndpoint, w *waiter, r balance.Request, now time.Time) (candidates, balance.Decision) {
	var denied *ownedEndpoint
	if w.NotLoaded {
		denied = asked
	}
	pool := l.poolStateLocked(w.Endpoint, now)
	holders := l.candidatesLocked(w, denied, balance.Loading, now)
	r.Pack = w.Adapter.Name != "" && len(holders.list) > 1 && pool.isScarce()
	d := balance.Choose(r, holders.list)
	if d.Reason == balance.InTime || w.Adapter.Name == "" {
		return holders, d
	}
	last := balance.Loadable
	if len(holders.list) == 0 {
		l.countSlotDemandLocked(w, now)
		if !l.mayUseSlotLocked(w, r, pool, now) {
			last = balance.Requested // that load takes a slot anyway
		}
	}
	all := l.candidatesLocked(w, denied, last, now)
	switch {
	case len(all.list) > 0:
		d = balance.Choose(r, all.list)
		if d.Reason != balance.Late || all.list[d.Index].Availability != balance.Loadable {
			return all, d
		}
		return l.withoutNewSlotLocked(w, r, pool, holders, all, d)
	case last == balance.Requested:
		return all, balance.Decision{Index: -1, Reason: reasonNoSlot}
	}
	return holders, d
}

// withoutNewSlotLocked decides about a request that may be late at the endpoint where its adapter costs least to load. While
// requests of its rank and more urgent ones lack slots, none is taken if it would be late for sure, unless requests for the
// adapter were refused often. An expected time between the target and the part of it that Choose allows is as often
// in time as not.
func (l *Loader) withoutNewSlotLocked(w *waiter, r balance.Request, pool *poolState, holders, all candidates, d balance.Decision) (candidates, balance.Decision) {
	scarce := d.FirstToken > r.Target && pool.isScarceFor(w.Priority)
	switch {
	case scarce && len(holders.list) > 0:
		return holders, balance.Choose(r, holders.list)
	case scarce && !l.isOftenRefusedLocked(w.Adapter, pool.now):
		l.countSlotRefusalLocked(w, pool.now)
	case !w.Declined:
		return all, d
	}
	return all, balance.Decision{Index: -1, Reason: balance.LoadTooLate, Relief: all.list[d.Index].Delay}
}

// grantLocked assigns a request to an endpoint.
func (l *Loader) grantLocked(o *ownedEndpoint, w *waiter, d balance.Decision, now time.Time) forward.PlacementResult {
	l.decisions[d.Reason.String()]++
	p := forward.PlacementResult{Ready: true, Endpoint: o.endpoint.ID(), AheadTokens: l.queuedTokensLocked(o, now) + w.PromptTokens, FirstToken: d.FirstToken}
	if s := o.slots[w.Adapter]; s != nil {
		if s.evicting {
			l.cancelEvictionLocked(o, w.Adapter)
		}
		s.lastUsed, s.lastAnnounced = now, now
		p.Version, p.QueueTime = s.version, w.queueTime(s)
	}
	o.grants = append(o.grants, grant{box: w.Box, adapter: w.Adapter, tokens: w.PromptTokens, memory: w.PromptTokens + w.OutputTokens, at: now})
	return p
}

// refuseBusyLocked refuses a request that no endpoint of the data centre serves, with the time to come back.
func (l *Loader) refuseBusyLocked(w *waiter, r balance.Request, d balance.Decision, chosen candidates, now time.Time) forward.PlacementResult {
	l.decisions[d.Reason.String()]++
	p := forward.PlacementResult{Busy: true, Code: forward.CodeEndpointsBusy, Reason: d.Reason.String()}
	if d.Reason == balance.LoadTooLate || d.Reason == balance.NoneAvailable {
		p.Code = forward.CodeNotLoaded
	}
	l.setRetryLocked(&p, r, &l.returns, d.Relief, l.speeds.FirstToken("", w.PromptTokens, now), len(chosen.list), now)
	return p
}

// setRetryLocked sets when a refused caller should come back. If that is later than it can use, the reason says that there
// is no room, and the time to come back is all that the caller has left.
func (l *Loader) setRetryLocked(p *forward.PlacementResult, r balance.Request, returns *balance.Returns, relief, work time.Duration, servers int, now time.Time) {
	latest := time.Duration(returnFraction * float64(r.MaxWait))
	after, offered := returns.Assign(now, min(relief, latest)+retryMargin, work, latest, servers)
	if !offered {
		after = max(r.MaxWait, retryMargin)
		p.NoRoom = true
		p.Reason += noRoomSuffix
	}
	p.RetryAfter = after
}

// noRoomSuffix is added to the reason of a refusal whose caller can't be served in the time that it has.
const noRoomSuffix = ": no room in time"

// refuseLoadLocked completes the refusal of a request whose load would be too late.
func (l *Loader) refuseLoadLocked(r balance.Request, p forward.PlacementResult) forward.PlacementResult {
	l.decisions[p.Reason]++
	p.Busy = true
	if p.Reason == reasonSlotsInUse {
		p.Code = forward.CodeNoSlot
	}
	if p.RetryAfter > time.Duration(returnFraction*float64(r.MaxWait)) {
		p.RetryAfter, p.NoRoom, p.Reason = max(r.MaxWait, retryMargin), true, p.Reason+noRoomSuffix
	}
	return p
}

// returnFraction is the part of a caller's remaining time after which it comes back at the latest, whatever
// its Retry-After.
const returnFraction = 1.0 / 3

// candidates are the endpoints that may serve a request, with the facts that decide.
type candidates struct {
	list      []balance.Candidate
	endpoints []*ownedEndpoint
}

// candidatesLocked returns the endpoints of the request's service and data centre that may serve it and whose availability
// for its adapter is the last given or an earlier one.
func (l *Loader) candidatesLocked(w *waiter, denied *ownedEndpoint, last balance.Availability, now time.Time) candidates {
	var list candidates
	centre, service := w.Endpoint.DataCentre(), w.Endpoint.Service()
	for id, o := range l.owned {
		if o.endpoint.DataCentre() != centre || o.endpoint.Service() != service || !o.isAvailable(now) || w.avoids(id) || !o.models[w.Adapter.Model] || l.isThrottled(o, now) ||
			(w.AvoidLimited && l.isSaturated(id, now)) {
			continue
		}
		c := balance.Candidate{Availability: balance.Ready}
		if w.Adapter.Name != "" {
			c.Availability, c.Delay = l.availabilityLocked(o, w, denied, now)
		}
		if c.Availability == 0 || c.Availability > last {
			continue
		}
		if c.Availability == balance.Loadable || c.Availability == balance.Requested {
			c.Delay = l.loadDelayLocked(o, w.Adapter, now)
		}
		l.addWorkLocked(&c, o, w, now)
		list.list = append(list.list, c)
		list.endpoints = append(list.endpoints, o)
	}
	return list
}

// availabilityLocked returns when an endpoint can serve requests for an adapter; zero: it can't.
func (l *Loader) availabilityLocked(o *ownedEndpoint, w *waiter, denied *ownedEndpoint, now time.Time) (balance.Availability, time.Duration) {
	s := o.slots[w.Adapter]
	requested := l.pendingLoads[placementKey{endpoint: o.endpoint.ID(), adapter: w.Adapter}] != nil
	switch {
	case s != nil && o != denied && !s.ready && s.done != nil:
		return balance.Loading, max(s.expectedLoadTime-now.Sub(s.loadBegan), 0)
	case s != nil && o != denied && s.ready && s.version >= w.Version && !s.outdated && !s.unloading:
		return balance.Ready, 0
	case requested:
		return balance.Requested, 0
	case s == nil, o == denied: // denied: it reported that it does not hold the adapter
		return balance.Loadable, 0
	case s.ready && s.version < w.Version && !s.unloading:
		return balance.Loadable, 0
	}
	return 0, 0
}

// loadDelayLocked returns how long it takes until an adapter is loaded at an endpoint. A load that is requested already
// waits for those that are ranked ahead of it, a new one for all.
func (l *Loader) loadDelayLocked(o *ownedEndpoint, a topology.Adapter, now time.Time) time.Duration {
	key := placementKey{endpoint: o.endpoint.ID(), adapter: a}
	ahead, storeDelay := o.queuedLoads, time.Duration(0)
	if q := l.pendingLoads[key]; q != nil {
		ahead, storeDelay = q.queuedAhead, l.queueDelayLocked(key, q, now)
	} else if len(l.queue) > 0 {
		storeDelay = l.loadLimiter.queueDelay(len(l.queue), l.coldLoadTime)
	}
	load := l.coldLoadTime + storeDelay
	if l.isWarmLocked(o, a) {
		load = l.warmLoadTime
	}
	if o.loadsInFlight >= maxConcurrentLoads {
		load += l.coldLoadTime / maxConcurrentLoads
	}
	return load + l.freeSlotDelayLocked(o, ahead, now)
}

// addWorkLocked adds an endpoint's work to the facts about it.
func (l *Loader) addWorkLocked(c *balance.Candidate, o *ownedEndpoint, w *waiter, now time.Time) {
	id := o.endpoint.ID()
	c.Queue = l.queueTimeLocked(o, now)
	c.Own = l.speeds.FirstToken(id, w.PromptTokens, now)
	c.Pause = l.speeds.Pause(id, now)
	c.Running = l.inFlight.adapterRequests(id, w.Adapter) + o.grantsFor(w.Adapter)
	if p, busy := l.inFlight.readingOf(id); busy {
		c.Busy = now.Sub(p.since)
	}
	if g := l.engineSpec(o.endpoint); g != nil && g.MemoryTokens > 0 {
		_, granted := o.granted()
		c.Memory = g.MemoryTokens
		c.FreeMemory = g.MemoryTokens - l.inFlight.memoryTokens(id) - granted - w.PromptTokens - w.OutputTokens
	}
}

// addCopyLocked requests one more copy of an adapter whose endpoint is busy, on the endpoint where it costs least, if that one has
// a free slot and less than half the queue. One copy is requested at a time.
func (l *Loader) addCopyLocked(o *ownedEndpoint, w *waiter, busy balance.Candidate, now time.Time) {
	for id, p := range l.owned {
		if s := p.slots[w.Adapter]; l.pendingLoads[placementKey{endpoint: id, adapter: w.Adapter}] != nil || (s != nil && !s.ready) {
			return
		}
	}
	best := l.chooseEndpointLocked(w.Adapter, o, append(l.holdersIn(endpointPool(o.endpoint), w.Adapter), w.Avoid...), now)
	if best == o || l.queueTimeLocked(best, now) > busy.Queue/2 || l.freeSlotDelayLocked(best, best.queuedLoads, now) > idleUnloadTime {
		return
	}
	l.decisions["copy"]++
	l.Log.V(1).Info("Copy of an adapter is requested", "adapter", w.Adapter.String(), "busy_endpoint", o.endpoint.ID(), "queue_ms", busy.Queue.Milliseconds(), "endpoint", best.endpoint.ID())
	l.requestCopyLocked(best.endpoint.ID(), w.Adapter, now, func(q *pendingLoad) { q.demand.Add(fullEndpointDemand, now, demandHalfLife) })
}
