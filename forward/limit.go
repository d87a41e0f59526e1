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
	// limitWaitFraction is the part of a route's target that a request waits for room at an endpoint that names
	// a limit, where all others that it could go to name one too. It is less than a load elsewhere takes,
	// and leaves the rest for the answer.
	limitWaitFraction = 0.125
	// maxLimitDenials is how many endpoints without room a request asks: each is a call to another box, and
	// where so many are in need the rest are.
	maxLimitDenials = 4
)

// observeLimit takes in what the head of an answer says of the endpoint's limit. Any answer of the
// endpoint may name one; that there is none only its own answer to this request tells.
func (g *Gateway) observeLimit(q *request, t target, v Response) {
	switch {
	case v.LimitErr != nil:
		g.Limits.InvalidLimit(t.endpoint.ID(), v.LimitErr)
	case v.Limit.Named() || (v.MatchesCall && v.Signed):
		g.Limits.ObserveLimit(t.endpoint.ID(), v.Limit, q.sentAt)
	}
}

// nextTarget finds the endpoint for the next attempt. Each send, a first one, a retry or one by which a stream
// goes on, passes here: of an endpoint that names a limit it takes one of the requests that all
// boxes together may send there, or else goes to another one.
func (g *Gateway) nextTarget(ctx context.Context, q *request) (target, *Refusal) {
	for {
		t, f := g.selectEndpoint(ctx, q)
		if f != nil {
			return t, f
		}
		if g.wasDenied(q, t.endpoint) { // who decides for the endpoints knows no other one
			return t, q.limitRefusal()
		}
		hasRoom := !g.Limits.HasLimit(t.endpoint.ID()) || g.acquireCapacity(ctx, q, t.endpoint)
		if now := clock.Now(); hasRoom && g.accepts(t.endpoint.ID(), now) { // it may have said else while the request waited for its turn
			return t, g.maySend(q, now)
		}
		if ctx.Err() != nil {
			return t, q.limitRefusal()
		}
	}
}

// acquireCapacity takes one of the requests that an endpoint takes which names a limit, and waits for its time.
// Where there is none the request goes there no more, unless it gets on by nothing else.
func (g *Gateway) acquireCapacity(ctx context.Context, q *request, e *topology.Endpoint) bool {
	a := g.limitRequest(q, e)
	r := g.Limits.Acquire(ctx, e, a)
	if !r.OK {
		if q.limitDenials == nil {
			q.limitDenials = make(map[string]limitDenial)
		}
		q.limitDenials[e.ID()] = limitDenial{request: a, wait: r.Wait}
		return false
	}
	if r.Wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(r.Wait):
		}
	}
	return true
}

// limitDenial is the answer that an endpoint which names a limit takes no more.
type limitDenial struct {
	request ratelimit.Ask
	wait    time.Duration // until it likely takes such a request
}

// wasDenied tells whether an endpoint had no room for the request, which would get none by asking again:
// only where the others have failed meanwhile it asks for more than they leave.
func (g *Gateway) wasDenied(q *request, e *topology.Endpoint) bool {
	n, asked := q.limitDenials[e.ID()]
	return asked && !g.limitRequest(q, e).Before(n.request)
}

// limitRequest returns what the request asks of an endpoint that names a limit: what others leave, where another
// one without a limit has what it needs; else it waits a little.
func (g *Gateway) limitRequest(q *request, e *topology.Endpoint) ratelimit.Ask {
	a := ratelimit.Ask{Rank: q.config.Rank(q.route, q.organisation)}
	others := g.View.Endpoints(q.service.Name())
	if q.call.Adapter.Name != "" && q.service.Engine() != nil {
		others = intersect(g.View.Holders(q.call.Adapter), others)
	}
	for _, o := range g.untried(others, q.tried, clock.Now()) {
		if o.ID() != e.ID() && !g.Limits.HasLimit(o.ID()) {
			a.Spare = true
			return a
		}
	}
	a.Patience = time.Duration(limitWaitFraction * float64(q.route.Target()))
	return a
}

// withCapacity returns those that had room for the request, as far as they were asked.
func (g *Gateway) withCapacity(q *request, list []*topology.Endpoint) []*topology.Endpoint {
	if len(q.limitDenials) == 0 {
		return list
	}
	var some []*topology.Endpoint
	for _, e := range list {
		if g.wasDenied(q, e) {
			continue
		}
		if len(q.limitDenials) < maxLimitDenials || !g.Limits.HasLimit(e.ID()) {
			some = append(some, e)
		}
	}
	return some
}

// withoutLimit returns those that name no limit.
func (g *Gateway) withoutLimit(list []*topology.Endpoint) []*topology.Endpoint {
	var some []*topology.Endpoint
	for _, e := range list {
		if !g.Limits.HasLimit(e.ID()) {
			some = append(some, e)
		}
	}
	return some
}

// limitRefusal refuses a request for which no endpoint has room: its caller may come back when the first of
// those that were asked has.
func (q *request) limitRefusal() *Refusal {
	var back time.Duration
	for _, n := range q.limitDenials {
		if back == 0 || n.wait < back {
			back = n.wait
		}
	}
	return &Refusal{Code: CodeEndpointLimit, RetryAfter: back, Detail: "the endpoints that could serve it take no more requests"}
}
