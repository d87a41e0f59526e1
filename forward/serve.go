// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

const (
	firstByte    = 100 * time.Millisecond // from sending to the first event, assumed when a wait is allowed
	shedRetry    = 200 * time.Millisecond // a full endpoint has room again
	noneRetry    = 500 * time.Millisecond // an endpoint may be back
	mostAttempts = 4                      // sends for one request, refused ones included
	// mostUnreached is how many endpoints a request may find gone besides: where many end together others
	// serve, and where more in a row can't be reached the way there is cut.
	mostUnreached = 8
)

// target is where one attempt goes.
type target struct {
	endpoint *topology.Endpoint
	version  int64 // of the adapter; zero: any
}

// serve tries endpoints until the answer was given, which it returns as nil.
func (g *Gateway) serve(ctx context.Context, q *request, out *answer) *Refusal {
	g.budget(q.service.Name()).RecordFirst(clock.Now())
	q.tried, q.refused = make(map[string]bool), make(map[string]bool)
	var last *Refusal
	for q.hasAttempts() {
		t, f := g.find(ctx, q)
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
	if q.mayHaveRun {
		f.MayHaveRun = true
	}
	return f
}

// another tells whether a failed request may be sent once more. One that reached nobody
// takes nothing from the budget, which keeps endpoints from being asked too often.
func (g *Gateway) another(q *request, out *answer, f *Refusal) bool {
	if out.begun || f.Code == CodeInvalidAnswer {
		return false
	}
	if f.MayHaveRun && (!q.route.MayRepeat() || q.ran >= q.route.MaxAttempts()) {
		return false
	}
	now := clock.Now()
	if q.left(now) < firstByte/2 {
		return false
	}
	switch {
	case q.budgeted:
		q.budgeted = false
		return true
	case f.Unsent:
		g.budget(q.service.Name()).RecordUnsent()
		return true
	}
	return g.mayRetry(q, now)
}

// mayRetry takes one more attempt from the budget, or notes that it was withheld.
func (g *Gateway) mayRetry(q *request, now time.Time) bool {
	q.withheld = !g.budget(q.service.Name()).TryRetry(now, g.Boxes())
	return !q.withheld
}

// place finds the endpoint for the next attempt.
func (g *Gateway) place(ctx context.Context, q *request) (target, *Refusal) {
	now := clock.Now()
	list := g.View.Endpoints(q.service.Name())
	if q.service.Engine() != nil && q.call.Adapter.Model != "" {
		list = withModel(list, q.call.Adapter.Model)
	}
	able := list
	list = g.usable(able, q.tried, now) // of those that can serve it: it avoids none without another
	if len(list) == 0 {
		return target{}, g.noneLeft(able, now)
	}
	list = g.withRoom(q, list)
	if len(list) == 0 {
		return target{}, q.noRoom()
	}
	if q.call.Adapter.Name == "" || q.service.Engine() == nil {
		return target{endpoint: g.least(list, now)}, nil
	}
	return g.placeAdapter(ctx, q, list)
}

// noneLeft refuses a request for which no endpoint of those that could serve it is left. Where all want
// nothing for a while its caller is told when the first takes requests again.
func (g *Gateway) noneLeft(able []*topology.Endpoint, now time.Time) *Refusal {
	if after, known := g.soonest(able, now); known && after > 0 {
		return &Refusal{Code: CodeBackoff, RetryAfter: after, Detail: "the endpoints that could serve it want nothing for a while"}
	}
	return &Refusal{Code: CodeNoEndpoint, RetryAfter: noneRetry, Detail: "no endpoint of the service that is left can be used"}
}
