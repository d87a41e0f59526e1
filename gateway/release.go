// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/wire"
)

// release is a grant to give back.
type release struct {
	owner   member.Member
	request *wire.ReleaseRequest
}

// releaseTimeout bounds one try to tell a scheduler how a grant or a key ended.
const releaseTimeout = 2 * time.Second

// releaseWorker gives grants back one after another until ctx ends and none is left.
func (g *Gateway) releaseWorker(ctx context.Context) error {
	for {
		select {
		case r := <-g.releases:
			g.giveBack(r)
		case <-ctx.Done():
			return g.drainReleases()
		}
	}
}

// drainReleases gives back what is left when the gateway ends.
func (g *Gateway) drainReleases() error {
	for {
		select {
		case r := <-g.releases:
			g.giveBack(r)
		default:
			return nil
		}
	}
}

// giveBack tells the scheduler once. When that fails the scheduler finds out by
// the endpoint's report that the grant is over.
func (g *Gateway) giveBack(r release) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := g.Schedulers.Scheduler(r.owner.Address()).Release(ctx, r.request)
	if err != nil {
		g.Log.V(1).Info("Grant was not given back", "scheduler", r.owner.Name(), "err", err.Error())
	}
}

// release hands a grant to a worker, or gives it back itself when all are busy.
func (g *Gateway) release(owner member.Member, q *wire.ReleaseRequest) {
	g.beliefs.count(q.GetEndpoint(), -1)
	r := release{owner: owner, request: q}
	select {
	case g.releases <- r:
	default:
		g.giveBack(r)
	}
}
