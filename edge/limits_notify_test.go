// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// newLimitsLeader returns a node, not running, that leads its data centre, and more of its endpoints than fit into one
// message.
func newLimitsLeader(c *quicktest.C) (n *Node, ids []string) {
	n = newNode(c, "box-1")
	n.build()
	for i := range maxReportedLimits + 10 {
		id := fmt.Sprintf("e%d", i)
		n.view.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "s", DataCentre: "dc"}))
		ids = append(ids, id)
	}
	for tries := 0; !n.limits.leads(&wire.LimitWord{Endpoint: ids[0]}, clock.Now()); tries++ {
		c.Assert(tries < 1000, quicktest.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	return n, ids
}

// Guards against lost limits: the leader ignored what exceeded the bound of one message and confirmed it nevertheless.
func TestLeaderDoesNotConfirmLimitsThatItIgnores(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	n, ids := newLimitsLeader(c)
	now := clock.Now()
	q := &wire.LimitsRequest{Box: "box-2"}
	for _, id := range ids {
		q.Words = append(q.Words, wire.NewLimitWord(id, ratelimit.NewObservation(ratelimit.PerSecond(5), now, now), now))
	}
	c.Check(n.limits.handleReport(q, now).GetLeads(), quicktest.IsFalse)
	c.Check(n.limits.counter.Limit(ids[0]).IsSet(), quicktest.IsTrue)
	q.Words = q.Words[:maxReportedLimits]
	c.Check(n.limits.handleReport(q, now).GetLeads(), quicktest.IsTrue)
}

// A report that exceeds the bound of one message reaches the leader in full.
func TestReportOfManyLimitsIsSplit(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	n, ids := newLimitsLeader(c)
	now := clock.Now()
	for _, id := range ids {
		n.limits.ObserveLimit(id, ratelimit.PerSecond(5), now)
	}
	c.Assert(n.limits.notifyLeaders(context.Background()), quicktest.IsTrue)
	missing := 0
	for _, id := range ids {
		if !n.limits.counter.Limit(id).IsSet() {
			missing++
		}
	}
	c.Check(missing, quicktest.Equals, 0)
}
