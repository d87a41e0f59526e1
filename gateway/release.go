// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/wire"
)

// pendingRelease is a grant to release.
type pendingRelease struct {
	owner   member.Member
	request *wire.ReleaseRequest
}

// releaseTimeout limits one Release or EndKey call.
const releaseTimeout = 2 * time.Second

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
// endpoint's report that the request has ended.
func (g *Gateway) sendRelease(r pendingRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := g.Schedulers.Scheduler(r.owner.Address()).Release(ctx, r.request)
	if err != nil {
		g.Log.V(1).Info("Grant could not be released", "scheduler", r.owner.Name(), "err", err.Error())
	}
}

// release queues a grant for the workers, or releases it itself if the queue is full.
func (g *Gateway) release(owner member.Member, q *wire.ReleaseRequest) {
	g.states.addGrants(q.GetEndpoint(), -1)
	r := pendingRelease{owner: owner, request: q}
	select {
	case g.releases <- r:
	default:
		g.sendRelease(r)
	}
}
