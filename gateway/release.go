// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/wire"
)

// pendingRelease is a grant to release, or the first token of its request to report.
type pendingRelease struct {
	owner   member.Member
	request *wire.ReleaseRequest
	address string // of the endpoint
	runID   string // of the execution there, to cancel it if its outcome is unknown; empty: there is nothing to cancel

	responded bool // the execution began to respond, so that it has ended once it is cancelled

	adapter    string                  // of the request; empty: it was not sent
	firstToken *wire.FirstTokenRequest // set instead of request: a first token to report
}

const (
	releaseTimeout = 2 * time.Second // limits one Release or EndKey call
	// brokenRunTimeout limits the call that cancels an execution whose response broke off. An endpoint whose
	// connections broke answers at once on a new one; one that is gone must not delay the release of other grants.
	brokenRunTimeout = 300 * time.Millisecond
)

// releaseWorker releases grants until ctx ends and none is pending.
func (g *Gateway) releaseWorker(ctx context.Context) error {
	for {
		select {
		case r := <-g.releases:
			g.sendRelease(r)
		case <-ctx.Done():
			return g.flushReleases()
		}
	}
}

// flushReleases releases the grants that are pending at shutdown.
func (g *Gateway) flushReleases() error {
	for {
		select {
		case r := <-g.releases:
			g.sendRelease(r)
		default:
			return nil
		}
	}
}

// sendRelease releases a grant, without retries: if the call fails, the scheduler learns from the
// endpoint's report that the request has ended. An execution whose response broke off is cancelled first: it would
// run on, and with the next request the endpoint would have more than its limit.
func (g *Gateway) sendRelease(r pendingRelease) {
	if r.request.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN && r.runID != "" && g.cancelExecution(r.address, r.runID, r.request.GetEndpoint(), brokenRunTimeout) && r.responded {
		r.request.Outcome = wire.Outcome_OUTCOME_REFUSED
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if r.firstToken != nil {
		reply, err := g.Schedulers.Scheduler(r.owner.Address()).FirstToken(ctx, r.firstToken)
		if err != nil {
			g.Log.V(1).Info("First token could not be reported", "scheduler", r.owner.Name(), "err", err.Error())
		}
		g.states.update(r.firstToken.GetEndpoint(), r.adapter, reply.GetFacts(), clock.Now())
		return
	}
	reply, err := g.Schedulers.Scheduler(r.owner.Address()).Release(ctx, r.request)
	if err != nil {
		g.Log.V(1).Info("Grant could not be released", "scheduler", r.owner.Name(), "err", err.Error())
	}
	if r.adapter != "" {
		g.states.update(r.request.GetEndpoint(), r.adapter, reply.GetFacts(), clock.Now())
	}
}

// release queues a grant for the workers, or releases it itself if the queue is full.
func (g *Gateway) release(r pendingRelease) {
	g.states.addGrants(r.request.GetEndpoint(), -1)
	select {
	case g.releases <- r:
	default:
		g.sendRelease(r)
	}
}

// reportFirstToken reports the time to first token to the scheduler, unless all workers are busy: the release of the
// grant reports it, too.
func (g *Gateway) reportFirstToken(h heldGrant, took time.Duration) {
	r := pendingRelease{owner: h.owner, adapter: h.adapter, firstToken: &wire.FirstTokenRequest{Endpoint: h.endpoint, Id: h.grant.GetId(), TookMicros: took.Microseconds()}}
	select {
	case g.releases <- r:
	default:
	}
}
