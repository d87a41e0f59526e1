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
	stageCandidates = 4                      // endpoints asked in one stage
	maxCandidates   = 8                      // endpoints asked for one request
	maxAttempts     = 3                      // runs begun for one request
	failoverPause   = 25 * time.Millisecond  // between tries to find an owner that answers
	farFailover     = 500 * time.Millisecond // longest search for an owner in another data centre
)

// route brings a request to an endpoint and its answer to the caller. It
// returns nil when the answer was given whole.
func (g *Gateway) route(ctx context.Context, q *request, out *answer) *Failure {
	f := g.routeAnywhere(ctx, q, out)
	if f != nil && f.Ran == NotRun && q.unsure {
		return &Failure{Code: f.Code, Ran: Unknown, Message: "an earlier attempt may have run; the last one: " + f.Message, Retry: f.Retry}
	}
	return f
}

// routeAnywhere tries one stage of endpoints after another. What it returns
// speaks of the last attempts alone.
func (g *Gateway) routeAnywhere(ctx context.Context, q *request, out *answer) *Failure {
	if f := g.quarantined(q.content); f != nil {
		return f
	}
	if q.left() <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: "the deadline passed before the request was routed"}
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

// noneOpen refuses a request for which no endpoint may be asked.
func (g *Gateway) noneOpen(q *request) *Failure {
	if left := g.backoffLeast(q); left > 0 {
		return &Failure{Code: CodeRefused, Ran: NotRun, Message: "the endpoints that could serve it want nothing for a while", Retry: backoff.RetryAfter(left)}
	}
	return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint serves " + q.model.Adapter().Base(), Retry: g.Spans.Retry}
}

// otherCentreMayServe tells whether another data centre may do better.
func otherCentreMayServe(c Code) bool {
	switch c {
	case CodeNoEndpoint, CodeNoWait, CodeQueueFull, CodeDeadline, CodeLeaving, CodeNotReady:
		return true
	}
	return false
}

// sooner keeps the failure that asks the caller back first.
func sooner(a, b *Failure) *Failure {
	if a == nil || (b.Retry > 0 && b.Retry < a.Retry) {
		return b
	}
	return a
}

// routeIn tries the endpoints of one stage.
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
		return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint took the request", Retry: g.Spans.Retry}
	}
	return last
}

// otherEndpointMayServe tells whether another endpoint of the data centre may do better.
func otherEndpointMayServe(c Code) bool {
	return otherCentreMayServe(c) || c == CodeLoadFailed || c == CodeRefused || c == CodeLost
}

// mayRepeat tells whether a request that may have run may run again: it is
// repeatable, the caller has seen nothing of it, and the budget allows it.
func (g *Gateway) mayRepeat(q *request, out *answer) bool {
	return q.key == "" && out.untouched() && q.attempts < maxAttempts && g.Retries.Take()
}

// tryEndpoint runs the request at one endpoint, as often as its refusals prove
// that it did not run and the budget allows.
func (g *Gateway) tryEndpoint(ctx context.Context, q *request, out *answer, endpoint, centre string) *Failure {
	q.candidates++
	for {
		h, f := g.acquire(ctx, q, endpoint, centre)
		if f != nil {
			return f
		}
		if f = g.mayRun(q, endpoint); f != nil { // it came so far while the request waited
			g.release(h.owner, &wire.ReleaseRequest{Endpoint: h.endpoint, Id: h.grant.GetId(), Outcome: wire.Outcome_OUTCOME_NOT_SENT})
			return f
		}
		f = g.attempt(ctx, q, out, h)
		if f == nil || f.Ran != NotRun || f.Code != CodeRefused || ctx.Err() != nil {
			return f
		}
		if q.attempts >= maxAttempts || g.backoffs.Remaining(endpoint, clock.Now()) > 0 || !g.Retries.Take() {
			return f
		}
	}
}

// mayRun tells why a request must not be given to an endpoint for which it has a grant; nil: it may.
func (g *Gateway) mayRun(q *request, endpoint string) *Failure {
	if f := g.quarantined(q.content); f != nil {
		return f
	}
	return g.backingOff(endpoint)
}
