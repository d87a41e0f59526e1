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
	// roomPart is the part of a route's target that a request waits for room at an endpoint that names
	// a limit, where all others that it could go to name one too. It is less than a load elsewhere takes,
	// and leaves the rest for the answer.
	roomPart = 0.125
	// fullMost is how many endpoints without room a request asks: each is a call to another box, and
	// where so many are in need the rest are.
	fullMost = 4
)

// hearLimit takes in what the head of an answer says of the endpoint's limit. Any answer of the
// endpoint may name one; that there is none only its own answer to this request tells.
func (g *Gateway) hearLimit(q *request, t target, v Response) {
	switch {
	case v.LimitErr != nil:
		g.Limits.InvalidLimit(t.endpoint.ID(), v.LimitErr)
	case v.Limit.Named() || (v.MatchesCall && v.Signed):
		g.Limits.ObserveLimit(t.endpoint.ID(), v.Limit, q.sentAt)
	}
}

// find finds the endpoint for the next attempt. Each send, a first one, a retry or one by which a stream
// goes on, passes here: of an endpoint that names a limit it takes one of the requests that all
// boxes together may send there, or else goes to another one.
func (g *Gateway) find(ctx context.Context, q *request) (target, *Refusal) {
	for {
		t, f := g.place(ctx, q)
		if f != nil {
			return t, f
		}
		if g.wasFull(q, t.endpoint) { // who decides for the endpoints knows no other one
			return t, q.noRoom()
		}
		hasRoom := !g.Limits.HasLimit(t.endpoint.ID()) || g.hasRoom(ctx, q, t.endpoint)
		if now := clock.Now(); hasRoom && g.takes(t.endpoint.ID(), now) { // it may have said else while the request waited for its turn
			return t, g.maySend(q, now)
		}
		if ctx.Err() != nil {
			return t, q.noRoom()
		}
	}
}

// hasRoom takes one of the requests that an endpoint takes which names a limit, and waits for its time.
// Where there is none the request goes there no more, unless it gets on by nothing else.
func (g *Gateway) hasRoom(ctx context.Context, q *request, e *topology.Endpoint) bool {
	a := g.askFor(q, e)
	r := g.Limits.Acquire(ctx, e, a)
	if !r.OK {
		if q.full == nil {
			q.full = make(map[string]noRoom)
		}
		q.full[e.ID()] = noRoom{ask: a, wait: r.Wait}
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

// noRoom is the answer that an endpoint which names a limit takes no more.
type noRoom struct {
	ask  ratelimit.Ask
	wait time.Duration // until it likely takes such a request
}

// wasFull tells whether an endpoint had no room for the request, which would get none by asking again:
// only where the others have failed meanwhile it asks for more than they leave.
func (g *Gateway) wasFull(q *request, e *topology.Endpoint) bool {
	n, asked := q.full[e.ID()]
	return asked && !g.askFor(q, e).Before(n.ask)
}

// askFor returns what the request asks of an endpoint that names a limit: what others leave, where another
// one without a limit has what it needs; else it waits a little.
func (g *Gateway) askFor(q *request, e *topology.Endpoint) ratelimit.Ask {
	a := ratelimit.Ask{Rank: q.config.Rank(q.route, q.organisation)}
	others := g.View.Endpoints(q.service.Name())
	if q.call.Adapter.Name != "" && q.service.Engine() != nil {
		others = among(g.View.Holders(q.call.Adapter), others)
	}
	for _, o := range g.untried(others, q.tried, clock.Now()) {
		if o.ID() != e.ID() && !g.Limits.HasLimit(o.ID()) {
			a.Spare = true
			return a
		}
	}
	a.Patience = time.Duration(roomPart * float64(q.route.Target()))
	return a
}

// withRoom returns those that had room for the request, as far as they were asked.
func (g *Gateway) withRoom(q *request, list []*topology.Endpoint) []*topology.Endpoint {
	if len(q.full) == 0 {
		return list
	}
	var some []*topology.Endpoint
	for _, e := range list {
		if g.wasFull(q, e) {
			continue
		}
		if len(q.full) < fullMost || !g.Limits.HasLimit(e.ID()) {
			some = append(some, e)
		}
	}
	return some
}

// unlimited returns those that name no limit.
func (g *Gateway) unlimited(list []*topology.Endpoint) []*topology.Endpoint {
	var some []*topology.Endpoint
	for _, e := range list {
		if !g.Limits.HasLimit(e.ID()) {
			some = append(some, e)
		}
	}
	return some
}

// noRoom refuses a request for which no endpoint has room: its caller may come back when the first of
// those that were asked has.
func (q *request) noRoom() *Refusal {
	var back time.Duration
	for _, n := range q.full {
		if back == 0 || n.wait < back {
			back = n.wait
		}
	}
	return &Refusal{Code: CodeEndpointLimit, RetryAfter: back, Detail: "the endpoints that could serve it take no more requests"}
}
