// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
	"github.com/pkg/errors"
)

const (
	// maxBalanceCentres is how many data centres a request asks for an endpoint. Each is a round trip of a few
	// milliseconds, and where that many are busy the rest likely are too.
	maxBalanceCentres = 3
	// minOwnerWait is the shortest time that a request waits for an owner's choice while an endpoint holds its
	// adapter. An owner that answers takes a few milliseconds unless it waits for a load.
	minOwnerWait = 200 * time.Millisecond
	// ownerWaitFraction is the part of the remaining target that a request waits for the choice. The rest is for
	// the endpoint that this box chooses itself if no owner answers.
	ownerWaitFraction = 0.5
)

// isBalanced reports whether the owners choose the endpoints of a request by speed and work, which a box alone does
// not know.
func isBalanced(q *request) bool { return q.service.Engine().IsMemoryBound() }

// balanceRequest asks the owners of the data centres, the nearest first, for an endpoint. While no owner answers it
// uses the endpoint that seems the best to this box.
func (g *Gateway) balanceRequest(ctx context.Context, q *request, list []*topology.Endpoint) (target, *Refusal) {
	ready := g.holders(q.call.Adapter, list)
	if others := g.withoutLimit(list); len(others) > 0 {
		list = others // the owner may still choose an endpoint whose rate limit has capacity left
	}
	for {
		t, f, noOwner := g.askOwners(ctx, q, list, ready)
		if !noOwner || ctx.Err() != nil {
			return t, f
		}
		now := clock.Now()
		if e := g.leastLoaded(ready, now); e != nil {
			return target{endpoint: e, version: g.View.LatestVersion(q.call.Adapter)}, nil
		}
		if f.RetryAfter > q.usefulTime(now)-g.predictFirstToken(q.call.PromptTokens) {
			return t, f
		}
		select {
		case <-ctx.Done():
		case <-time.After(ownerPollInterval):
		}
	}
}

// holders returns the endpoints of the list that can serve requests for an adapter or a base model.
func (g *Gateway) holders(adapter topology.Adapter, list []*topology.Endpoint) []*topology.Endpoint {
	if adapter.Name == "" {
		return list
	}
	return intersect(g.View.EndpointsReady(adapter), list)
}

// askOwners asks the owners of up to maxBalanceCentres data centres until one does not refuse the request. noOwner
// reports that none of them answered, or none that knows how to balance. What an owner answered goes before the
// silence of others: it knows when there is room.
func (g *Gateway) askOwners(ctx context.Context, q *request, list, ready []*topology.Endpoint) (t target, f *Refusal, noOwner bool) {
	noOwner = true
	silent := &Refusal{Code: CodeNotLoaded, RetryAfter: unavailableRetryAfter, Detail: "no leader was asked in time"}
	for range maxBalanceCentres {
		if len(list) == 0 || ctx.Err() != nil {
			break
		}
		e := g.balanceTarget(q.call.Adapter, list, ready)
		p, err := g.placeBalanced(ctx, q, e, len(ready) > 0)
		q.placementTime, q.queueTime = clock.Since(q.received), p.QueueTime
		isHolder := slices.Contains(ready, e)
		switch {
		case err != nil:
			silent.Detail = "no leader answers"
			g.recordSilentOwner(ctx, q, e, err)
			if isHolder && e.DataCentre() == g.DataCentre && ctx.Err() == nil {
				return g.unassigned(q, ready, e.DataCentre()), nil, false // elsewhere the adapter would be loaded again
			}
		case p.OwnerChanging:
			f = earlierRetry(f, p.refusal())
			if isHolder && ctx.Err() == nil {
				return g.unassigned(q, ready, e.DataCentre()), nil, false
			}
		case !p.Ready && p.Busy:
			noOwner, q.declined = false, true
			f = earlierRetry(f, p.refusal())
		case !p.Ready && len(ready) > 0: // an owner of an older version, or the endpoint leaves: the holder may serve
			f = earlierRetry(f, p.refusal())
		default:
			t, f = g.applyPlacement(ctx, q, e, p)
			return t, f, false
		}
		list = outsideDataCentre(list, e.DataCentre())
	}
	if f == nil {
		f = silent
	}
	return target{}, f, noOwner
}

// ErrOwnerUnreachable is returned by a Placer if the box that should answer can't be reached.
var ErrOwnerUnreachable = errors.New("forward: the owner of the endpoint is unreachable")

// recordSilentOwner records that the owner of an endpoint did not answer a request. If it can't be reached, its data centre
// is avoided for a moment: further requests would each wait as long. An owner that is slow may be reached.
func (g *Gateway) recordSilentOwner(ctx context.Context, q *request, e *topology.Endpoint, err error) {
	if ctx.Err() != nil {
		return // the caller has left, or its time is over
	}
	if errors.Is(err, ErrOwnerUnreachable) && e.DataCentre() != g.DataCentre {
		g.dataCentres.avoid(e.DataCentre(), clock.Now())
	}
	g.logNoOwner(q, e, err)
}

// unassigned returns the holder in a data centre that seems the best to this box, as no owner there assigns the request. Owners
// of other data centres may have refused it: their endpoints are left out.
func (g *Gateway) unassigned(q *request, ready []*topology.Endpoint, centre string) target {
	local := slices.DeleteFunc(slices.Clone(ready), func(e *topology.Endpoint) bool { return e.DataCentre() != centre })
	return target{endpoint: g.leastLoaded(local, clock.Now()), version: g.View.LatestVersion(q.call.Adapter)}
}

// placeBalanced asks one owner. If an endpoint holds the adapter, the wait for the answer leaves time to use that
// one without it.
func (g *Gateway) placeBalanced(ctx context.Context, q *request, e *topology.Endpoint, held bool) (PlacementResult, error) {
	r := g.adapterRequest(q, e)
	now := clock.Now()
	r.Balance = true
	r.OutputTokens = q.call.MaxOutputTokens
	r.Target = q.route.TargetOrTimeout() - now.Sub(q.received)
	r.QueueLimit = q.config.QueueLimit(q.route, q.organisation, q.service.Name())
	r.UrgentLimit = q.config.LongestQueueLimit(q.service.Name())
	r.MaxPause = q.route.EventGapTarget()
	r.Declined = q.declined
	if r.Retried {
		r.Elapsed = q.route.Timeout() - q.call.Deadline
		r.Target -= r.Elapsed
	}
	r.Avoid = append(r.Avoid, g.unusable(q, e.DataCentre(), now)...)
	if held {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(time.Duration(ownerWaitFraction*float64(r.Target)), minOwnerWait))
		defer cancel()
	}
	return g.Placer.Place(ctx, r)
}

// unusable returns the endpoints of a data centre to which this box would not send the request, since it has tried them or
// found them unhealthy: the owner may not know yet.
func (g *Gateway) unusable(q *request, centre string, now time.Time) []string {
	capable := g.capable(q)
	usable := make(map[string]bool, len(capable))
	for _, e := range g.usable(capable, q.tried, now) {
		usable[e.ID()] = true
	}
	var avoid []string
	for _, e := range capable {
		if e.DataCentre() == centre && !usable[e.ID()] && g.isAvailable(e, now) {
			avoid = append(avoid, e.ID())
		}
	}
	return avoid
}

// balanceTarget returns an endpoint of the data centre to ask next: the own one if an endpoint there holds the
// adapter, then another one with a holder, then the one where a load costs least.
func (g *Gateway) balanceTarget(adapter topology.Adapter, list, ready []*topology.Endpoint) *topology.Endpoint {
	held := intersect(ready, list)
	if len(held) == 0 {
		return g.loadTarget(adapter, list)
	}
	byCentre := make(map[string]*topology.Endpoint)
	var centres []string
	for _, e := range held {
		if byCentre[e.DataCentre()] == nil {
			byCentre[e.DataCentre()] = e
			centres = append(centres, e.DataCentre())
		}
	}
	if e := byCentre[g.DataCentre]; e != nil {
		return e
	}
	slices.Sort(centres)
	return byCentre[policy.First(adapter.String(), centres)]
}
