// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

const (
	firstByteTime         = 100 * time.Millisecond // from sending to the first event, assumed in decisions to wait
	refusedRetryAfter     = 200 * time.Millisecond // until a full endpoint has capacity again
	unavailableRetryAfter = 500 * time.Millisecond // until an endpoint may be back
	maxAttempts           = 4                      // for one request, rejected ones included
	// maxUnsent limits the unreachable endpoints that a request may try in addition. Where several end
	// together others still serve; more in a row indicate that the network is cut.
	maxUnsent = 8
)

// target is the destination of one attempt.
type target struct {
	endpoint *topology.Endpoint
	version  int64 // of the adapter; zero: any

	// If an owner chose the endpoint by speed and work:
	aheadTokens int           // prompt tokens that the endpoint reads until the request's first token, its own included
	firstToken  time.Duration // expected time to first token
}

// serve tries endpoints until one has responded, and returns nil then.
func (g *Gateway) serve(ctx context.Context, q *request, out *callerResponse) *Refusal {
	g.retryBudget(q.service.Name()).RecordFirst(clock.Now())
	q.tried, q.excluded = make(map[string]bool), make(map[string]bool)
	var last *Refusal
	for q.hasAttempts() {
		t, f := g.nextTarget(ctx, q)
		if f != nil {
			return g.markMayHaveRun(q, f)
		}
		f = g.attempt(ctx, q, out, t)
		if f == nil {
			return nil
		}
		last = f
		if ctx.Err() != nil || !g.mayTryAgain(q, out, f) {
			break
		}
	}
	return g.markMayHaveRun(q, last)
}

// markMayHaveRun marks a refusal of a request of which any attempt may have been executed.
func (g *Gateway) markMayHaveRun(q *request, f *Refusal) *Refusal {
	if q.mayHaveRun {
		f.MayHaveRun = true
	}
	return f
}

// mayTryAgain reports whether a failed request may be sent once more. The budget protects endpoints from
// overload, so an attempt of which nothing was sent costs none of it.
func (g *Gateway) mayTryAgain(q *request, out *callerResponse, f *Refusal) bool {
	if out.started || f.Code == CodeCallerGone {
		return false
	}
	if f.MayHaveRun && (!q.route.IsReexecutable() || q.executions >= q.route.MaxAttempts()) {
		return false
	}
	now := clock.Now()
	if q.remaining(now) < firstByteTime/2 {
		return false
	}
	switch {
	case q.retryReserved:
		q.retryReserved = false
		return true
	case f.Unsent:
		g.retryBudget(q.service.Name()).RecordUnsent()
		return true
	}
	return g.takeRetry(q, now)
}

// takeRetry takes one retry from the budget, and notes if it was denied.
func (g *Gateway) takeRetry(q *request, now time.Time) bool {
	q.retryWithheld = !g.retryBudget(q.service.Name()).TryRetry(now, g.Boxes())
	return !q.retryWithheld
}

// selectEndpoint selects the endpoint for the next attempt.
func (g *Gateway) selectEndpoint(ctx context.Context, q *request) (target, *Refusal) {
	now := clock.Now()
	capable, newFor := g.withoutNewSoftware(q, g.capable(q))
	list := g.usable(capable, q.tried, now) // filtered last, since usable avoids endpoints only if others are left
	if len(list) == 0 && newFor > 0 {
		return target{}, &Refusal{Code: CodeNoEndpoint, RetryAfter: newFor, Detail: "the software of the endpoints that could serve the request has just become known"}
	}
	if len(list) == 0 {
		return target{}, g.noEndpoint(q, capable, now)
	}
	list = g.withCapacity(q, list)
	if len(list) == 0 {
		return target{}, q.limitRefusal()
	}
	if isBalanced(q) {
		return g.balanceRequest(ctx, q, list)
	}
	if q.call.Adapter.Name == "" || q.service.Engine() == nil {
		return target{endpoint: g.leastLoaded(list, now)}, nil
	}
	return g.placeAdapter(ctx, q, list)
}

// capable returns the endpoints of the request's service that hold its base model, and that match the origin of the stream
// which it continues, if any.
func (g *Gateway) capable(q *request) []*topology.Endpoint {
	list := q.matching(g.View.Endpoints(q.service.Name()))
	if q.service.Engine() != nil && q.call.Adapter.Model != "" {
		list = withModel(list, q.call.Adapter.Model)
	}
	return list
}

// noEndpoint refuses a request that no endpoint can serve. If all of them are in a back-off the caller
// gets the time until the first one ends as its retry time.
func (g *Gateway) noEndpoint(q *request, capable []*topology.Endpoint, now time.Time) *Refusal {
	if q.origin != nil && len(capable) == 0 {
		return &Refusal{Code: CodeStreamLost, Final: true, Detail: "no endpoint runs the software that began the stream: " + q.origin.Software}
	}
	if after, known := g.earliestAvailable(capable, now); known && after > 0 {
		return &Refusal{Code: CodeBackoff, RetryAfter: after, Detail: "all endpoints that could serve the request are in a back-off"}
	}
	return &Refusal{Code: CodeNoEndpoint, RetryAfter: g.linkRetryAfter(q.service.Name(), unavailableRetryAfter), Detail: "no usable endpoint of the service is left"}
}
