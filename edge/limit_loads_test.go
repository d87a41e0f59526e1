// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// newFragileNode returns a node, not running, that knows two endpoints of a service, one of which has announced how many
// rejections a second it survives. No box leads the data centre yet.
func newFragileNode(c *quicktest.C, slots, rejections int) *Node {
	n := newNode(c, "box-1")
	n.build()
	for _, id := range []string{"e1", "e2"} {
		n.view.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "s", DataCentre: "dc", Slots: slots}))
	}
	n.limits.ObserveLimit("e1", ratelimit.Limit{}.WithRejections(float64(rejections)), clock.Now())
	return n
}

// An endpoint that has restarted and not answered yet got 482 requests in its first second.
func TestEndpointThatHasNotAnsweredIsFragileLikeItsService(t *testing.T) {
	c := quicktest.New(t)
	n := newFragileNode(c, 8, 16)
	c.Check(n.limits.HasLimit("e2"), quicktest.IsTrue)
	n.limits.ObserveLimit("e1", ratelimit.Limit{}, clock.Now().Add(time.Second)) // the trouble is over
	c.Check(n.limits.HasLimit("e1"), quicktest.IsFalse)
	c.Check(n.limits.HasLimit("e2"), quicktest.IsFalse)
}

// Requests that are reserved, sent, released or ended are counted once.
func TestLoadAtEndpointReturnsToZero(t *testing.T) {
	c := quicktest.New(t)
	n := newFragileNode(c, 8, 16)
	s := n.limits
	c.Assert(s.startAsking(context.Background(), "e1"), quicktest.IsTrue)
	s.stopAsking("e1", true)
	s.RequestSent("e1")
	c.Check(s.loads["e1"].inFlight, quicktest.Equals, 1)
	s.RequestEnded("e1")
	c.Assert(s.startAsking(context.Background(), "e1"), quicktest.IsTrue)
	s.stopAsking("e1", true)
	s.Release("e1")
	s.RequestSent("e1") // without a reservation, as before the endpoint announced a limit
	c.Check(s.loads["e1"].inFlight, quicktest.Equals, 1)
	s.RequestEnded("e1")
	c.Check(s.loads["e1"], quicktest.IsNil)
	ended, cancel := context.WithCancel(context.Background())
	c.Assert(s.startAsking(ended, "e1"), quicktest.IsTrue)
	cancel()
	c.Check(s.startAsking(ended, "e1"), quicktest.IsFalse) // another request asks
	s.stopAsking("e1", false)
	c.Check(s.loads["e1"], quicktest.IsNil)
}

// Without a leader, all boxes together send no more than the endpoint runs at once; a box whose request was rejected pauses.
func TestEqualPartOfTheSlotsIsUsedWithoutLeader(t *testing.T) {
	c := quicktest.New(t)
	n := newFragileNode(c, 3, 16)
	e, s, now := n.view.Endpoint("e1"), n.limits, clock.Now().Add(time.Minute) // this box alone is known by then
	_, alone := s.acquireAlone(e, now)
	c.Check(alone, quicktest.IsFalse) // the leader may answer
	s.loadLocked("e1").aloneUntil = now.Add(time.Second)
	for range 3 {
		result, alone := s.acquireAlone(e, now)
		c.Check(alone && result.OK, quicktest.IsTrue)
		s.RequestSent("e1")
	}
	result, _ := s.acquireAlone(e, now)
	c.Check(result.OK, quicktest.IsFalse)
	c.Check(result.Wait, quicktest.Equals, time.Second)
	s.RequestEnded("e1")
	s.RequestRejected("e1")
	s.loadLocked("e1").rejectedAt = now
	result, _ = s.acquireAlone(e, now)
	c.Check(result.OK, quicktest.IsFalse)
}

// Endpoints get another ID with each start; a box that kept the load of each that once rejected a request would grow for
// as long as it runs.
func TestLoadAtEndedEndpointIsForgotten(t *testing.T) {
	c := quicktest.New(t)
	n := newFragileNode(c, 8, 16)
	s := n.limits
	for _, id := range []string{"e1", "e2"} { // only e1 has announced a limit
		s.RequestSent(id)
		s.RequestRejected(id)
	}
	n.view.RemoveEndpoint("e1")
	n.view.RemoveEndpoint("e2")
	s.forgetGone()
	c.Check(s.loads, quicktest.HasLen, 2) // requests are in flight
	s.RequestEnded("e1")
	s.RequestEnded("e2")
	s.forgetGone()
	c.Check(s.loads, quicktest.HasLen, 0)
}
