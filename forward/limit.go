// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

const (
	// limitWaitFraction is the part of a route's target latency that a request waits for capacity at an
	// endpoint with a rate limit, if all its alternatives have one too. It is less than a load elsewhere
	// takes, and leaves the rest for the response.
	limitWaitFraction = 0.125
	// maxLimitDenials is how many endpoints may deny capacity before a request gives up on those with a rate
	// limit. Each is a call to another box, and where that many are at their limits the rest are too.
	maxLimitDenials = 4
	// capacityRecheckInterval is how long after a denial the endpoint is asked again if the owner chose it again. An
	// owner without an alternative chooses it at once, and would do so forever. One that waits for a load elsewhere
	// chooses it when it has capacity again.
	capacityRecheckInterval = 100 * time.Millisecond
)

// observeLimit records the rate limit that a response announces. Any response of the endpoint may announce
// one, but only a signed one to this request shows that there is none.
func (g *Gateway) observeLimit(q *request, t target, head Response) {
	switch {
	case head.LimitErr != nil:
		g.Limits.InvalidLimit(t.endpoint.ID(), head.LimitErr)
	case head.Limit.IsSet() || (head.MatchesCall && head.Signed):
		g.Limits.ObserveLimit(t.endpoint.ID(), head.Limit, q.sentAt)
	}
}

// nextTarget selects the endpoint for the next attempt. Every attempt passes here: first attempts, retries
// and resumed streams. At an endpoint with a rate limit, which all boxes share, it reserves one request, or
// else selects another endpoint.
func (g *Gateway) nextTarget(ctx context.Context, q *request) (target, *Refusal) {
	for {
		t, f := g.selectEndpoint(ctx, q)
		if f != nil {
			return t, f
		}
		if g.wasDenied(q, t.endpoint) && !q.mayAskAgain(t.endpoint, clock.Now()) { // the owner chose it again, though it has no capacity
			return t, q.limitRefusal()
		}
		acquired := !g.Limits.HasLimit(t.endpoint.ID()) || g.acquireCapacity(ctx, q, t.endpoint)
		if acquired {
			now := clock.Now()
			if !g.accepts(t.endpoint.ID(), now) { // it may have changed while the request waited
				g.Limits.Release(t.endpoint.ID())
			} else if f = g.maySend(q, now); f != nil {
				g.Limits.Release(t.endpoint.ID())
				return t, f
			} else {
				return t, nil
			}
		}
		if ctx.Err() != nil {
			return t, q.limitRefusal()
		}
	}
}

// acquireCapacity reserves one request of an endpoint's rate limit, and waits for its turn. If that is
// denied the request does not go to the endpoint again, unless limitRequest asks for more.
func (g *Gateway) acquireCapacity(ctx context.Context, q *request, e *topology.Endpoint) bool {
	ask := g.limitRequest(q, e)
	result := g.Limits.Acquire(ctx, e, ask)
	if !result.OK {
		if q.limitDenials == nil {
			q.limitDenials = make(map[string]limitDenial)
		}
		q.limitDenials[e.ID()] = limitDenial{request: ask, at: clock.Now(), wait: result.Wait}
		return false
	}
	if result.Wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(result.Wait):
		}
	}
	return true
}

// limitDenial records that an endpoint had no capacity left in its rate limit.
type limitDenial struct {
	request ratelimit.Request
	at      time.Time
	wait    time.Duration // until such a request is likely granted
}

// mayAskAgain reports whether an endpoint that denied the request and was chosen again may have capacity by now.
func (q *request) mayAskAgain(e *topology.Endpoint, now time.Time) bool {
	return now.Sub(q.limitDenials[e.ID()].at) >= capacityRecheckInterval
}

// wasDenied reports whether an endpoint denied the request, and would deny it again. A request asks for more
// than before, not only for spare capacity, once its alternatives have failed.
func (g *Gateway) wasDenied(q *request, e *topology.Endpoint) bool {
	denial, denied := q.limitDenials[e.ID()]
	return denied && !g.limitRequest(q, e).Before(denial.request)
}

// limitRequest returns what the request asks of an endpoint with a rate limit: spare capacity if an endpoint
// without a limit could serve it, or else any capacity after a short wait.
func (g *Gateway) limitRequest(q *request, e *topology.Endpoint) ratelimit.Request {
	ask := ratelimit.Request{Rank: q.config.Rank(q.route, q.organisation)}
	others := q.matching(g.View.Endpoints(q.service.Name()))
	if q.call.Adapter.Name != "" && q.service.Engine() != nil {
		others = intersect(g.View.EndpointsReady(q.call.Adapter), others)
	}
	for _, other := range g.untried(others, q.tried, clock.Now()) {
		if other.ID() != e.ID() && !g.Limits.HasLimit(other.ID()) {
			ask.SpareOnly = true
			return ask
		}
	}
	ask.MaxWait = time.Duration(limitWaitFraction * float64(q.route.LatencyTarget()))
	return ask
}

// withCapacity returns the endpoints that have not denied the request.
func (g *Gateway) withCapacity(q *request, list []*topology.Endpoint) []*topology.Endpoint {
	if len(q.limitDenials) == 0 {
		return list
	}
	var filtered []*topology.Endpoint
	for _, e := range list {
		if g.wasDenied(q, e) {
			continue
		}
		if len(q.limitDenials) < maxLimitDenials || !g.Limits.HasLimit(e.ID()) {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// withoutLimit returns the endpoints without a rate limit.
func (g *Gateway) withoutLimit(list []*topology.Endpoint) []*topology.Endpoint {
	var filtered []*topology.Endpoint
	for _, e := range list {
		if !g.Limits.HasLimit(e.ID()) {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// limitRefusal refuses a request that all endpoints denied. Its caller may come back when the first of them
// has capacity.
func (q *request) limitRefusal() *Refusal {
	var retryAfter time.Duration
	for _, n := range q.limitDenials {
		if retryAfter == 0 || n.wait < retryAfter {
			retryAfter = n.wait
		}
	}
	return &Refusal{Code: CodeEndpointLimit, RetryAfter: retryAfter, Detail: "the endpoints that could serve the request have reached their limits"}
}
