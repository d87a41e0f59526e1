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
	stageCandidates = 4                      // endpoints tried in one stage
	maxCandidates   = 8                      // endpoints tried for one request
	maxAttempts     = 3                      // executions started for one request
	failoverPause   = 25 * time.Millisecond  // between attempts to reach an owner or a key's home
	farFailover     = 500 * time.Millisecond // search for an owner in another data centre
)

// route sends a request to an endpoint and relays the response to the caller. It
// returns nil if the response was relayed completely.
func (g *Gateway) route(ctx context.Context, q *request, out *answer) *Failure {
	f := g.routeAnywhere(ctx, q, out)
	if f != nil && f.Ran == NotRun && q.unsure {
		return &Failure{Code: f.Code, Ran: Unknown, Message: "an earlier attempt may have been executed; last attempt: " + f.Message, Retry: f.Retry}
	}
	return f
}

// routeAnywhere tries the stages of endpoints in order. The failure it returns covers
// only the last attempts: an earlier one may have been executed.
func (g *Gateway) routeAnywhere(ctx context.Context, q *request, out *answer) *Failure {
	if f := g.quarantined(q.content); f != nil {
		return f
	}
	if q.left() <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: "deadline exceeded before the request was routed"}
	}
	var last *Failure
	for _, names := range g.stages(q) {
		f := g.routeIn(ctx, q, out, names)
		if f == nil || f.Ran != NotRun || !otherCentreMayServe(f.Code) {
			return f
		}
		last = sooner(last, f)
	}
	if last == nil {
		return g.noneOpen(q)
	}
	return last
}

// noneOpen returns the failure of a request that has no endpoint to try.
func (g *Gateway) noneOpen(q *request) *Failure {
	if left := g.backoffLeast(q); left > 0 {
		return &Failure{Code: CodeRefused, Ran: NotRun, Message: "all endpoints that serve " + q.model.Adapter().Base() + " are in a back-off", Retry: backoff.ComeBack(left)}
	}
	return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint serves " + q.model.Adapter().Base(), Retry: g.Spans.Retry}
}

// otherCentreMayServe reports whether a request that failed with this code may succeed in another data
// centre.
func otherCentreMayServe(c Code) bool {
	switch c {
	case CodeNoEndpoint, CodeNoWait, CodeQueueFull, CodeDeadline, CodeLeaving, CodeNotReady:
		return true
	}
	return false
}

// sooner returns the failure with the shorter retry interval; a may be nil.
func sooner(a, b *Failure) *Failure {
	if a == nil || (b.Retry > 0 && b.Retry < a.Retry) {
		return b
	}
	return a
}

// routeIn tries the endpoints of one stage, best first.
func (g *Gateway) routeIn(ctx context.Context, q *request, out *answer, names []string) *Failure {
	order := g.place(q, names)
	var last *Failure
	for _, n := range order[:min(stageCandidates, len(order))] {
		if q.candidates >= maxCandidates {
			break
		}
		e, _ := q.catalog.Endpoint(n)
		f := g.tryEndpoint(ctx, q, out, n, e.DataCentre())
		if f == nil || !otherEndpointMayServe(f.Code) || ctx.Err() != nil {
			return f
		}
		if f.Ran != NotRun && !g.mayRepeat(q, out) {
			return f
		}
		last = sooner(last, f)
	}
	if last == nil {
		return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "the request has reached its limit of endpoints to try", Retry: g.Spans.Retry}
	}
	return last
}

// otherEndpointMayServe reports whether a request that failed with this code may succeed at another endpoint
// of the same stage.
func otherEndpointMayServe(c Code) bool {
	return otherCentreMayServe(c) || c == CodeLoadFailed || c == CodeRefused || c == CodeLost
}

// mayRepeat reports whether a request that may have been executed can be executed again: it is
// repeatable, the caller has received no part of a response, and the retry budget allows it.
func (g *Gateway) mayRepeat(q *request, out *answer) bool {
	return q.key == "" && out.untouched() && q.attempts < maxAttempts && g.Retries.Take()
}

// tryEndpoint runs the request at one endpoint. It retries there while the endpoint's refusals
// prove that the request was not executed and the retry budget allows it.
func (g *Gateway) tryEndpoint(ctx context.Context, q *request, out *answer, endpoint, centre string) *Failure {
	q.candidates++
	for {
		h, f := g.acquire(ctx, q, endpoint, centre)
		if f != nil {
			return f
		}
		if f = g.mayRun(q, endpoint); f != nil { // quarantined or in a back-off since the request began to wait
			g.release(h.owner, &wire.ReleaseRequest{Endpoint: h.endpoint, Id: h.grant.GetId(), Outcome: wire.Outcome_OUTCOME_NOT_SENT})
			return f
		}
		f = g.attempt(ctx, q, out, h)
		if f == nil || f.Ran != NotRun || f.Code != CodeRefused || ctx.Err() != nil {
			return f
		}
		if q.attempts >= maxAttempts || g.backoffs.Left(endpoint, clock.Now()) > 0 || !g.Retries.Take() {
			return f
		}
	}
}

// mayRun returns why a request must not be sent to an endpoint although it has a grant; nil: it may be sent.
func (g *Gateway) mayRun(q *request, endpoint string) *Failure {
	if f := g.quarantined(q.content); f != nil {
		return f
	}
	return g.backingOff(endpoint)
}
