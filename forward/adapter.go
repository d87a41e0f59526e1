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

// ownerPollInterval is between two looks whether somebody decides for an endpoint again.
const ownerPollInterval = 100 * time.Millisecond

// placeAdapter prefers an endpoint that holds the adapter and else has it loaded. While
// nobody decides for any endpoint a request waits, as long as somebody is expected to in
// time for its caller to be served.
func (g *Gateway) placeAdapter(ctx context.Context, q *request, list []*topology.Endpoint) (target, *Refusal) {
	a := q.call.Adapter
	g.Log.V(1).Info("Adapter is needed", "request", q.call.ID, "adapter", a.String(), "route", q.route.Name())
	now := clock.Now()
	if e := g.leastLoaded(intersect(g.View.Holders(a), list), now); e != nil {
		return target{endpoint: e, version: g.View.Newest(a)}, nil
	}
	if others := g.withoutLimit(list); len(others) > 0 {
		list = others // who decides may still choose one with a limit that takes more than it gets
	}
	for {
		t, f, settling := g.requestPlacement(ctx, q, list)
		if !settling || ctx.Err() != nil || f.RetryAfter > q.usefulTime(clock.Now())-g.predictFirstToken(q.call.PromptTokens) {
			return t, f
		}
		select {
		case <-ctx.Done():
		case <-time.After(ownerPollInterval):
		}
	}
}

// requestPlacement asks for the adapter at its home. Where nobody decides for that endpoint just
// now it asks at the home that the adapter has in the other data centres; settling says
// that this is so for all of them.
func (g *Gateway) requestPlacement(ctx context.Context, q *request, list []*topology.Endpoint) (t target, f *Refusal, settling bool) {
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
			f = earlierRetry(f, &Refusal{Code: CodeNotLoaded, RetryAfter: p.RetryAfter, Detail: p.Reason})
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

// logNoOwner logs once for a request that nobody answers for the endpoint: it asks again ten
// times a second.
func (g *Gateway) logNoOwner(q *request, e *topology.Endpoint, err error) {
	if q.noOwnerLogged {
		return
	}
	q.noOwnerLogged = true
	g.Log.Info("Nobody answers for the endpoint that should load the adapter", "request", q.call.ID,
		"endpoint", e.ID(), "endpoint_data_centre", e.DataCentre(), "adapter", q.call.Adapter.String(), "err", err.Error())
}

// earlierRetry returns the refusal whose caller may come back first; a may be nil.
func earlierRetry(a, b *Refusal) *Refusal {
	if a != nil && a.RetryAfter <= b.RetryAfter {
		return a
	}
	return b
}

// outsideDataCentre returns those of other data centres.
func outsideDataCentre(list []*topology.Endpoint, centre string) []*topology.Endpoint {
	var some []*topology.Endpoint
	for _, e := range list {
		if e.DataCentre() != centre {
			some = append(some, e)
		}
	}
	return some
}

// What a load costs in one data centre or another, on top of what its leader tells.
const (
	// secondaryCost is how much more a load may cost in an adapter's first data centre than in
	// its second before it goes there: where costs are alike, boxes agree.
	secondaryCost = 60 * time.Millisecond
	// cachedAdapterGain is how much less a load costs where the adapter was held last: its memory
	// likely has it, so that it takes some 35 ms instead of 250 and nothing from the store.
	cachedAdapterGain = 500 * time.Millisecond
	// unknownLoadCost is what a load counts for in a data centre whose leader has told nothing
	// lately: it may be cut off, or be changing.
	unknownLoadCost = 600 * time.Millisecond
)

// loadTarget returns where an adapter is being loaded, or else an endpoint in the data centre
// where its load costs the least: where it was held last, if that is there.
func (g *Gateway) loadTarget(a topology.Adapter, list []*topology.Endpoint) *topology.Endpoint {
	if e := g.leastLoaded(intersect(g.View.Loading(a), list), clock.Now()); e != nil {
		return e
	}
	latest := g.View.Latest(a)
	if latest != nil && !slices.Contains(list, latest) {
		latest = nil
	}
	byCentre := make(map[string][]*topology.Endpoint)
	for _, e := range list {
		byCentre[e.DataCentre()] = append(byCentre[e.DataCentre()], e)
	}
	best, least := "", time.Duration(0)
	for i, c := range policy.Rank(a.String(), slices.Collect(maps.Keys(byCentre))) {
		cost, known := g.LoadCost(c)
		if !known {
			cost = unknownLoadCost
		}
		cost += time.Duration(i) * secondaryCost
		if latest != nil && c == latest.DataCentre() {
			cost -= cachedAdapterGain
		}
		if best == "" || cost < least {
			best, least = c, cost
		}
	}
	if latest != nil && best == latest.DataCentre() {
		return latest
	}
	return rendezvousEndpoint(a, byCentre[best])
}

// applyPlacement goes by the answer of who decides for an endpoint. One that begins to leave, or asks for a back-off,
// while the request waits for a load there gets it no more; the next home does.
func (g *Gateway) applyPlacement(ctx context.Context, q *request, e *topology.Endpoint, p PlacementResult) (target, *Refusal) {
	now := clock.Now()
	if !p.Ready && g.accepts(e.ID(), now) {
		return target{}, &Refusal{Code: CodeNotLoaded, RetryAfter: p.RetryAfter, Detail: p.Reason}
	}
	if p.Ready && p.Endpoint != e.ID() { // who decides chose another one
		if e = g.View.Endpoint(p.Endpoint); e == nil {
			return target{}, &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "the endpoint is not known here"}
		}
		if g.isExcluded(q, e.ID(), now) { // a box of an older version decides, which is not told what to avoid
			return target{}, &Refusal{Code: CodeNotLoaded, RetryAfter: max(unavailableRetryAfter, backoff.ComeBack(g.BackoffRemaining(e.ID(), now))),
				Detail: "only an endpoint that turned requests away holds the adapter"}
		}
	}
	if !g.accepts(e.ID(), now) {
		return g.selectAnother(ctx, q, e)
	}
	return target{endpoint: g.View.Endpoint(e.ID()), version: max(p.Version, g.View.Newest(q.call.Adapter))}, nil
}

// isExcluded tells whether a request can't go to an endpoint, though it may hold the adapter.
func (g *Gateway) isExcluded(q *request, endpoint string, now time.Time) bool {
	return q.excluded[endpoint] || g.BackoffRemaining(endpoint, now) > 0
}

// excludedEndpoints returns the endpoints that a request can't go to, though they may hold its adapter.
func (g *Gateway) excludedEndpoints(q *request, now time.Time) []string {
	list := append(g.notices.backoffs.Under(now), slices.Collect(maps.Keys(q.excluded))...)
	slices.Sort(list)
	return slices.Compact(list)
}

// selectAnother places a request anew whose endpoint takes no new ones any more.
func (g *Gateway) selectAnother(ctx context.Context, q *request, left *topology.Endpoint) (target, *Refusal) {
	line := "Endpoint began to leave while a request waited for a load there"
	if g.BackoffRemaining(left.ID(), clock.Now()) > 0 {
		line = "Endpoint asked for a back-off while a request waited for a load there"
	}
	g.Log.Info(line, "request", q.call.ID, "endpoint", left.ID())
	q.tried[left.ID()] = true
	if ctx.Err() != nil {
		return target{}, &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "the endpoint takes no new requests"}
	}
	return g.selectEndpoint(ctx, q)
}

func (g *Gateway) adapterRequest(q *request, e *topology.Endpoint) AdapterRequest {
	now := clock.Now()
	answers := g.predictFirstToken(q.call.PromptTokens)
	return AdapterRequest{
		RequestID:    q.call.ID,
		Endpoint:     e,
		Adapter:      q.call.Adapter,
		Version:      g.View.Newest(q.call.Adapter),
		TargetWait:   q.route.Target() - now.Sub(q.received) - answers,
		MaxWait:      q.usefulTime(now) - answers,
		Priority:     q.config.Rank(q.route, q.organisation),
		Value:        float64(q.call.PromptTokens + outputWeight*q.call.MaxOutputTokens),
		Retried:      q.isRetry(),
		NotLoaded:    q.notLoadedAt == e.ID(),
		PromptTokens: q.call.PromptTokens,

		AvoidLimited: len(q.limitDenials) > 0,
		Avoid:        g.excludedEndpoints(q, now),
	}
}

// outputWeight is how many tokens of a prompt cost as much as one that is
// generated.
const outputWeight = 10

// intersect returns those of list that are in allowed too.
func intersect(list, allowed []*topology.Endpoint) []*topology.Endpoint {
	in := make(map[string]bool, len(allowed))
	for _, e := range allowed {
		in[e.ID()] = true
	}
	var some []*topology.Endpoint
	for _, e := range list {
		if in[e.ID()] {
			some = append(some, e)
		}
	}
	return some
}
