// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/topology"
)

const (
	firstByte    = 100 * time.Millisecond // from sending to the first event, reckoned when a wait is allowed
	shedRetry    = 200 * time.Millisecond // a full endpoint has room again
	noneRetry    = 500 * time.Millisecond // an endpoint may be back
	mostAttempts = 4                      // sends for one request, refused ones included
)

// target is where one attempt goes.
type target struct {
	endpoint *topology.Endpoint
	version  int64 // of the adapter; zero: any
}

// serve tries endpoints until the answer was given, which it returns as nil.
func (g *Gateway) serve(ctx context.Context, q *request, out *answer) *Refusal {
	g.budget(q.service.Name()).First()
	q.tried = make(map[string]bool)
	var last *Refusal
	for q.attempts < mostAttempts {
		t, f := g.place(ctx, q)
		if f != nil {
			return g.sum(q, f)
		}
		f = g.attempt(ctx, q, out, t)
		if f == nil {
			return nil
		}
		last = f
		if ctx.Err() != nil || !g.another(q, out, f) {
			break
		}
	}
	return g.sum(q, last)
}

// sum says of the whole request what its attempts together allow.
func (g *Gateway) sum(q *request, f *Refusal) *Refusal {
	if q.unsure {
		f.Ran = true
	}
	return f
}

// another tells whether a failed request may be sent once more.
func (g *Gateway) another(q *request, out *answer, f *Refusal) bool {
	if out.begun || f.Code == CodeCallerGone {
		return false
	}
	if f.Ran && (!q.route.MayRepeat() || q.ran >= q.route.MaxAttempts()) {
		return false
	}
	now := time.Now()
	if q.left(now) < firstByte/2 {
		return false
	}
	return g.budget(q.service.Name()).Take(now, g.Boxes())
}

// place finds the endpoint for the next attempt.
func (g *Gateway) place(ctx context.Context, q *request) (target, *Refusal) {
	now := time.Now()
	list := g.usable(g.View.Endpoints(q.service.Name()), q.tried, now)
	if q.service.Engine() != nil && q.call.Adapter.Model != "" {
		list = withModel(list, q.call.Adapter.Model)
	}
	if len(list) == 0 {
		return target{}, &Refusal{Code: CodeNoEndpoint, Retry: noneRetry}
	}
	if q.call.Adapter.Name == "" || q.service.Engine() == nil {
		return target{endpoint: g.least(list, now)}, nil
	}
	return g.placeAdapter(ctx, q, list)
}

// placeAdapter prefers an endpoint that holds the adapter and else has it loaded at
// its home. An endpoint that begins to leave while the request waits for a load there
// gets it no more; the next home does.
func (g *Gateway) placeAdapter(ctx context.Context, q *request, list []*topology.Endpoint) (target, *Refusal) {
	a := q.call.Adapter
	if e := g.least(among(g.View.Holders(a), list), time.Now()); e != nil {
		return target{endpoint: e, version: g.View.Newest(a)}, nil
	}
	e := Home(a, list)
	if at := g.least(among(g.View.Loading(a), list), time.Now()); at != nil {
		e = at
	}
	p, err := g.Placer.Want(ctx, g.wanted(q, e))
	q.waited = time.Since(q.received)
	if err != nil {
		g.away.note(e.DataCentre(), time.Now())
		g.Log.Info("Nobody answers for the endpoint that should load the adapter", "request", q.call.ID,
			"endpoint", e.ID(), "endpoint_data_centre", e.DataCentre(), "adapter", a.String(), "err", err.Error())
		return target{}, &Refusal{Code: CodeNotLoaded, Retry: noneRetry, Detail: "no leader answers"}
	}
	if !g.stays(e.ID()) {
		return g.placeElsewhere(ctx, q, e)
	}
	if !p.Ready {
		return target{}, &Refusal{Code: CodeNotLoaded, Retry: p.Retry, Detail: p.Reason}
	}
	return target{endpoint: g.View.Endpoint(e.ID()), version: max(p.Version, g.View.Newest(a))}, nil
}

// stays tells whether an endpoint is there and does not leave.
func (g *Gateway) stays(id string) bool {
	e := g.View.Endpoint(id)
	return e != nil && !e.Draining()
}

// placeElsewhere places a request anew whose endpoint began to leave.
func (g *Gateway) placeElsewhere(ctx context.Context, q *request, left *topology.Endpoint) (target, *Refusal) {
	g.Log.Info("Endpoint began to leave while a request waited for a load there", "request", q.call.ID, "endpoint", left.ID())
	q.tried[left.ID()] = true
	if ctx.Err() != nil {
		return target{}, &Refusal{Code: CodeNotLoaded, Retry: noneRetry, Detail: "the endpoint left"}
	}
	return g.place(ctx, q)
}

func (g *Gateway) wanted(q *request, e *topology.Endpoint) Wanted {
	return Wanted{
		Request:  q.call.ID,
		Endpoint: e,
		Adapter:  q.call.Adapter,
		Version:  g.View.Newest(q.call.Adapter),
		Wait:     q.route.Target() - time.Since(q.received) - firstByte,
		Most:     q.left(time.Now()) / 2,
		Priority: q.route.Priority(),
		Worth:    float64(q.call.TokensIn + outputWeight*q.call.TokensOut),
		Returned: q.returned(),
		Denied:   q.denied == e.ID(),
	}
}

// outputWeight is how many tokens of a prompt cost as much as one that is
// generated.
const outputWeight = 10

// among returns those of list that are in allowed too.
func among(list, allowed []*topology.Endpoint) []*topology.Endpoint {
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
