// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

const (
	stageCandidates  = 4                      // endpoints tried in one stage
	maxCandidates    = 8                      // endpoints tried for one request
	maxAttempts      = 3                      // executions started for one request
	failoverInterval = 25 * time.Millisecond  // between attempts to reach an owner or a key's home
	remoteFailover   = 500 * time.Millisecond // search for an owner in another data centre
)

// route sends a request to an endpoint and relays the response to the caller. It
// returns nil if the response was relayed completely.
func (g *Gateway) route(ctx context.Context, q *request, out *callerResponse) *Failure {
	f := g.routeStages(ctx, q, out)
	if f != nil && f.Ran == NotRun && q.mayHaveRun {
		return &Failure{Code: f.Code, Ran: MayHaveRun, Message: "an earlier attempt may have been executed; last attempt: " + f.Message, RetryAfter: f.RetryAfter}
	}
	return f
}

// routeStages tries the stages of endpoints in order. The failure it returns covers
// only the last attempts: an earlier one may have been executed.
func (g *Gateway) routeStages(ctx context.Context, q *request, out *callerResponse) *Failure {
	if f := g.checkQuarantine(q.content, q.parts); f != nil {
		return f
	}
	if q.remaining() <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: "deadline exceeded before the request was routed"}
	}
	var last *Failure
	for _, names := range g.stages(q) {
		f := g.routeStage(ctx, q, out, names)
		if f == nil || f.Ran != NotRun || !retryInOtherDataCentre(f.Code) {
			return f
		}
		last = earlierRetry(last, f)
	}
	if last == nil {
		return g.noEndpointFailure(q)
	}
	return last
}

// noEndpointFailure returns the failure of a request that has no endpoint to try.
func (g *Gateway) noEndpointFailure(q *request) *Failure {
	if backoffLeft := g.shortestBackoff(q); backoffLeft > 0 {
		return &Failure{Code: CodeRefusedByEndpoint, Ran: NotRun, Message: "all endpoints that serve " + q.model.Adapter().Base() + " are in a back-off", RetryAfter: backoff.RetryAfter(backoffLeft)}
	}
	return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint serves " + q.model.Adapter().Base(), RetryAfter: g.RetryAfter}
}

// retryInOtherDataCentre reports whether a request that failed with this code may succeed in another data
// centre.
func retryInOtherDataCentre(c Code) bool {
	switch c {
	case CodeNoEndpoint, CodeNoCapacity, CodeQueueFull, CodeDeadlineUnreachable, CodeLeaving, CodeNotReady:
		return true
	}
	return false
}

// earlierRetry returns the failure with the shorter retry interval; a may be nil.
func earlierRetry(a, b *Failure) *Failure {
	if a == nil || (b.RetryAfter > 0 && b.RetryAfter < a.RetryAfter) {
		return b
	}
	return a
}

// routeStage tries the endpoints of one stage, best first.
func (g *Gateway) routeStage(ctx context.Context, q *request, out *callerResponse, names []string) *Failure {
	order := g.rankEndpoints(q, names)
	var last *Failure
	for _, n := range order[:min(stageCandidates, len(order))] {
		if q.candidates >= maxCandidates {
			break
		}
		e, _ := q.catalog.Endpoint(n)
		f := g.tryEndpoint(ctx, q, out, n, e.DataCentre())
		if f == nil || !retryAtOtherEndpoint(f.Code) || ctx.Err() != nil {
			return f
		}
		if f.Ran != NotRun && !g.mayRepeat(q, out) {
			return f
		}
		last = earlierRetry(last, f)
	}
	if last == nil {
		return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "the request has reached its limit of endpoints to try", RetryAfter: g.RetryAfter}
	}
	return last
}

// retryAtOtherEndpoint reports whether a request that failed with this code may succeed at another endpoint
// of the same stage.
func retryAtOtherEndpoint(c Code) bool {
	return retryInOtherDataCentre(c) || c == CodeLoadFailed || c == CodeRefusedByEndpoint || c == CodeNoResponse
}

// mayRepeat reports whether a request that may have been executed can be executed again: it is
// repeatable, the caller has received no part of a response, and the retry budget allows it.
func (g *Gateway) mayRepeat(q *request, out *callerResponse) bool {
	return q.key == "" && !out.started() && q.attempts < maxAttempts && g.RetryBudget.Take()
}

// tryEndpoint runs the request at one endpoint. It retries there while the endpoint refuses the
// request, the request was provably not executed or is repeatable, and the retry budget allows it.
func (g *Gateway) tryEndpoint(ctx context.Context, q *request, out *callerResponse, endpoint, dataCentre string) *Failure {
	q.candidates++
	for {
		h, f := g.acquire(ctx, q, endpoint, dataCentre)
		if f != nil {
			return f
		}
		if f = g.checkSendable(q, endpoint); f != nil { // quarantined or in a back-off since the request began to wait
			g.release(pendingRelease{owner: h.owner, request: &wire.ReleaseRequest{Endpoint: h.endpoint, Id: h.grant.GetId(), Outcome: wire.Outcome_OUTCOME_NOT_SENT}})
			return f
		}
		f = g.attempt(ctx, q, out, h)
		if f == nil || f.Code != CodeRefusedByEndpoint || ctx.Err() != nil {
			return f
		}
		if f.Ran != NotRun && q.key != "" {
			return f
		}
		if q.attempts >= maxAttempts || g.backoffs.Remaining(endpoint, clock.Now()) > 0 || !g.RetryBudget.Take() {
			return f
		}
	}
}

// checkSendable returns why a request must not be sent to an endpoint although it has a grant; nil: it may be sent.
func (g *Gateway) checkSendable(q *request, endpoint string) *Failure {
	if f := g.checkQuarantine(q.content, q.parts); f != nil {
		return f
	}
	return g.checkBackoff(endpoint)
}
