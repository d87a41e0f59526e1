// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// ownerPollInterval is the time between two checks whether an endpoint has an owner again.
const ownerPollInterval = 100 * time.Millisecond

// placeAdapter prefers an endpoint that holds the adapter, and has it loaded otherwise. While no
// endpoint has an owner the request waits, as long as one is expected in time for the caller to be
// served.
func (g *Gateway) placeAdapter(ctx context.Context, q *request, list []*topology.Endpoint) (target, *Refusal) {
	adapter := q.call.Adapter
	g.Log.V(1).Info("Adapter is needed", "request", q.call.ID, "adapter", adapter.String(), "route", q.route.Name())
	now := clock.Now()
	if e := g.leastLoaded(intersect(g.View.EndpointsReady(adapter), list), now); e != nil {
		return target{endpoint: e, version: g.View.LatestVersion(adapter)}, nil
	}
	if others := g.withoutLimit(list); len(others) > 0 {
		list = others // the owner may still choose an endpoint whose rate limit has capacity left
	}
	for {
		t, f, noOwner := g.requestPlacement(ctx, q, list)
		if !noOwner || ctx.Err() != nil || f.RetryAfter > q.usefulTime(clock.Now())-g.predictFirstToken(q.call.PromptTokens) {
			return t, f
		}
		select {
		case <-ctx.Done():
		case <-time.After(ownerPollInterval):
		}
	}
}

// requestPlacement asks the owner of the preferred endpoint for the adapter. If that endpoint has no
// owner it goes on with the preferred endpoints in the other data centres; noOwner reports that none
// of them has an owner.
func (g *Gateway) requestPlacement(ctx context.Context, q *request, list []*topology.Endpoint) (t target, f *Refusal, noOwner bool) {
	for len(list) > 0 {
		e := g.loadTarget(q.call.Adapter, list)
		p, err := g.Placer.Place(ctx, g.adapterRequest(q, e))
		q.placementTime, q.queueTime = clock.Since(q.received), p.QueueTime
		switch {
		case err != nil:
			g.dataCentres.avoid(e.DataCentre(), clock.Now())
			g.logNoOwner(q, e, err)
			f = earlierRetry(f, &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "no leader answers"})
		case p.OwnerChanging:
			f = earlierRetry(f, p.refusal())
		default:
			t, f = g.applyPlacement(ctx, q, e, p)
			return t, f, false
		}
		if ctx.Err() != nil {
			break
		}
		list = outsideDataCentre(list, e.DataCentre())
	}
	return target{}, f, true
}

// refusal returns the refusal of a request that was not placed.
func (p PlacementResult) refusal() *Refusal {
	f := &Refusal{Code: p.Code, RetryAfter: p.RetryAfter, NoRoom: p.NoRoom, Detail: p.Reason}
	if f.Code == "" {
		f.Code = CodeNotLoaded
	}
	return f
}

// logNoOwner logs once per request that an endpoint has no owner: the request asks again ten times a
// second.
func (g *Gateway) logNoOwner(q *request, e *topology.Endpoint, err error) {
	if q.noOwnerLogged {
		return
	}
	q.noOwnerLogged = true
	g.Log.Info("No leader answered for the endpoint that should load the adapter", "request", q.call.ID,
		"endpoint", e.ID(), "endpoint_data_centre", e.DataCentre(), "adapter", q.call.Adapter.String(), "err", err.Error())
}

// earlierRetry returns the refusal with the shorter RetryAfter; a may be nil.
func earlierRetry(a, b *Refusal) *Refusal {
	if a != nil && a.RetryAfter <= b.RetryAfter {
		return a
	}
	return b
}

// outsideDataCentre returns the endpoints of other data centres.
func outsideDataCentre(list []*topology.Endpoint, centre string) []*topology.Endpoint {
	var filtered []*topology.Endpoint
	for _, e := range list {
		if e.DataCentre() != centre {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// Adjustments of the load cost that a data centre's leader reports.
const (
	// secondaryCost is the extra cost of a load for each rank that a data centre has below the first
	// in the rendezvous order of the adapter. Where costs are similar it makes all boxes agree.
	secondaryCost = 60 * time.Millisecond
	// cachedAdapterGain is how much less a load costs at the endpoint that held the adapter last. The
	// adapter is likely in its memory, so a load takes some 35 ms instead of 250 and nothing from the
	// store.
	cachedAdapterGain = 500 * time.Millisecond
	// unknownLoadCost is the cost in a data centre whose leader has not reported one recently: the
	// data centre may be cut off, or its leader may be changing.
	unknownLoadCost = 600 * time.Millisecond
)

// loadTarget returns an endpoint that is loading the adapter already, or else one in the data centre with
// the lowest load cost: there the endpoint that held the adapter last is preferred.
func (g *Gateway) loadTarget(adapter topology.Adapter, list []*topology.Endpoint) *topology.Endpoint {
	if e := g.leastLoaded(intersect(g.View.EndpointsLoading(adapter), list), clock.Now()); e != nil {
		return e
	}
	lastHolder := g.View.LastHolder(adapter)
	if lastHolder != nil && !slices.Contains(list, lastHolder) {
		lastHolder = nil
	}
	byCentre := make(map[string][]*topology.Endpoint)
	for _, e := range list {
		byCentre[e.DataCentre()] = append(byCentre[e.DataCentre()], e)
	}
	best, lowest := "", time.Duration(0)
	for i, c := range policy.Rank(adapter.String(), slices.Collect(maps.Keys(byCentre))) {
		cost, known := g.LoadCost(c)
		if !known {
			cost = unknownLoadCost
		}
		cost += time.Duration(i) * secondaryCost
		if lastHolder != nil && c == lastHolder.DataCentre() {
			cost -= cachedAdapterGain
		}
		if best == "" || cost < lowest {
			best, lowest = c, cost
		}
	}
	if lastHolder != nil && best == lastHolder.DataCentre() {
		return lastHolder
	}
	return rendezvousEndpoint(adapter, byCentre[best])
}

// applyPlacement turns an owner's answer into a target. If the chosen endpoint began to drain or asked for a
// back-off while the request waited, another one is selected.
func (g *Gateway) applyPlacement(ctx context.Context, q *request, e *topology.Endpoint, p PlacementResult) (target, *Refusal) {
	now := clock.Now()
	if !p.Ready && g.accepts(e.ID(), now) {
		return target{}, p.refusal()
	}
	if p.Ready && p.Endpoint != e.ID() { // the owner chose another endpoint
		if e = g.View.Endpoint(p.Endpoint); e == nil {
			return g.selectKnown(ctx, q, p.Endpoint, &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "the chosen endpoint is not in this box's view"})
		}
		if !q.matches(e) || g.newSoftwareFor(q, e) > 0 || g.isExcluded(q, e.ID(), now) { // owners of an older version ignore AdapterRequest.Avoid
			return g.selectKnown(ctx, q, e.ID(), &Refusal{Code: CodeNotLoaded, RetryAfter: max(unavailableRetryAfter, backoff.RetryAfter(g.BackoffRemaining(e.ID(), now))),
				Detail: "the chosen endpoint can't continue the stream, runs software that has just become known, has failed the request or is in a back-off"})
		}
	}
	if !g.accepts(e.ID(), now) {
		return g.selectAnother(ctx, q, e)
	}
	return target{endpoint: g.View.Endpoint(e.ID()), version: max(p.Version, g.View.LatestVersion(q.call.Adapter)),
		aheadTokens: p.AheadTokens, firstToken: p.FirstToken}, nil
}

// maxUnusableChoices is how many endpoints that this box can't use an owner may choose for one request: it may have learned of
// new ones before, or not yet of what ended.
const maxUnusableChoices = 3

// selectKnown selects another endpoint in place of one that the owner chose and this box can't use; otherwise is the refusal if that
// has happened too often.
func (g *Gateway) selectKnown(ctx context.Context, q *request, chosen string, otherwise *Refusal) (target, *Refusal) {
	if q.misplaced++; q.misplaced >= maxUnusableChoices || ctx.Err() != nil {
		return target{}, otherwise
	}
	q.excluded[chosen] = true
	return g.selectEndpoint(ctx, q)
}

// isExcluded reports whether a request must not go to an endpoint, though it may hold the adapter.
func (g *Gateway) isExcluded(q *request, endpoint string, now time.Time) bool {
	return q.excluded[endpoint] || g.BackoffRemaining(endpoint, now) > 0
}

// excludedEndpoints returns the endpoints that a request must not go to, though they may hold its adapter. Of those whose
// software it must not use it returns only those of the data centre that is asked.
func (g *Gateway) excludedEndpoints(q *request, centre string, now time.Time) []string {
	list := append(g.notices.backoffs.Active(now), slices.Collect(maps.Keys(q.excluded))...)
	if q.origin != nil || q.mayBeginResumable() {
		for _, e := range g.View.Endpoints(q.service.Name()) {
			if e.DataCentre() == centre && (!q.matches(e) || g.newSoftwareFor(q, e) > 0) {
				list = append(list, e.ID())
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// selectAnother selects another endpoint for a request whose endpoint no longer accepts new ones.
func (g *Gateway) selectAnother(ctx context.Context, q *request, previous *topology.Endpoint) (target, *Refusal) {
	message := "Endpoint began to leave while a request waited for a load there"
	if g.BackoffRemaining(previous.ID(), clock.Now()) > 0 {
		message = "Endpoint asked for a back-off while a request waited for a load there"
	}
	g.Log.Info(message, "request", q.call.ID, "endpoint", previous.ID())
	q.tried[previous.ID()] = true
	if ctx.Err() != nil {
		return target{}, &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "the chosen endpoint accepts no new requests"}
	}
	return g.selectEndpoint(ctx, q)
}

func (g *Gateway) adapterRequest(q *request, e *topology.Endpoint) AdapterRequest {
	now := clock.Now()
	firstToken := g.predictFirstToken(q.call.PromptTokens)
	return AdapterRequest{
		RequestID:    q.call.ID,
		Endpoint:     e,
		Adapter:      q.call.Adapter,
		Version:      g.View.LatestVersion(q.call.Adapter),
		TargetWait:   q.route.LatencyTarget() - now.Sub(q.received) - firstToken,
		MaxWait:      q.usefulTime(now) - firstToken,
		Priority:     q.loadRank(),
		Value:        float64(q.call.PromptTokens + outputWeight*q.call.MaxOutputTokens),
		Retried:      q.isRetry(),
		NotLoaded:    q.notLoadedAt == e.ID(),
		PromptTokens: q.call.PromptTokens,

		AvoidLimited: len(q.limitDenials) > 0,
		Avoid:        g.excludedEndpoints(q, e.DataCentre(), now),
	}
}

// loadRank returns the priority of a load for the request. One that continues a stream can't go to endpoints of other software,
// where the adapter may be loaded, and its caller has got a part of the response: its load goes first.
func (q *request) loadRank() int {
	if q.origin != nil {
		return mostUrgentRank
	}
	return q.config.Rank(q.route, q.organisation)
}

// mostUrgentRank is the rank of the most urgent requests.
const mostUrgentRank = 0

// outputWeight is how many prompt tokens cost as much as one generated
// token.
const outputWeight = 10

// intersect returns the endpoints of list that are in allowed too.
func intersect(list, allowed []*topology.Endpoint) []*topology.Endpoint {
	in := make(map[string]bool, len(allowed))
	for _, e := range allowed {
		in[e.ID()] = true
	}
	var filtered []*topology.Endpoint
	for _, e := range list {
		if in[e.ID()] {
			filtered = append(filtered, e)
		}
	}
	return filtered
}
