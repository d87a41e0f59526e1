// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"net/http"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

const (
	// drainTolerance is how long an endpoint may get new requests after it announced draining.
	drainTolerance = 2 * time.Second
	// backoffReaction and backoffTolerance are the users' tolerance for a box that was asked for a back-off: after
	// backoffReaction it may send at most backoffTolerance requests.
	backoffReaction  = 500 * time.Millisecond
	backoffTolerance = 2
)

// lateRequests returns how many requests came from boxes later than d after their first response with the header.
func (e *limitedEndpoint) lateRequests(d time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, a := range e.arrivals {
		if announced, known := e.announcedAt[a.box]; known && a.at.Sub(announced) > d {
			count++
		}
	}
	return count
}

// requestsDuringBackoff returns the highest number of requests that one box sent during one back-off of the given
// length. The endpoint asks for a back-off in each response.
func (e *limitedEndpoint) requestsDuringBackoff(long time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, asked := range e.arrivals {
		count := 0
		for _, a := range e.arrivals {
			if since := a.at.Sub(asked.at); a.box == asked.box && since > backoffReaction && since < long {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against requests to an endpoint more than two seconds after it announced draining. During an outage of the
// store an endpoint began to drain and announced it in all its responses, but the store only got its entry 13 s later.
// Boxes learnt of draining from the store alone and did not read it from responses, so until then they sent requests
// there, the leader of the data centre ordered adapter loads, and no box logged that the endpoint was draining.
// Without the fix 55 requests are late in this test.
func TestEndpointThatAnnouncesDrainingGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newLimitedService(c, 4)
	nodes, _ := startFleet(c, s, centreDecoder{}, boxes)
	s.endpoints[0].setHeader("Leaving", "1", false)
	got := sendLoad(nodes, 80, 5*time.Second)
	c.Check(s.endpoints[0].lateRequests(drainTolerance), quicktest.Equals, 0)
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}

// One box learns from a response that an endpoint is draining; all boxes must treat it as draining, also one that
// starts later.
func TestAllBoxesLearnThatAnEndpointDrains(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	s := newLimitedService(c, 2)
	nodes, end := startFleet(c, s, centreDecoder{}, 4)
	nodes[3].departures.observe("e/1") // as if by a response; this box leads no data centre
	for _, n := range nodes {
		awaitLeaving(c, n, "e/1")
		c.Check(n.view.Endpoint("e/0").Draining(), quicktest.IsFalse)
	}
	end(0) // the leader of its data centre
	started, stop := startBox(c, s, nodes[1])
	awaitLeaving(c, started, "e/1")
	c.Check(stop(), quicktest.IsNil)
}

// awaitLeaving waits until a box considers an endpoint draining.
func awaitLeaving(c *quicktest.C, n *Node, endpoint string) {
	for tries := 0; ; tries++ {
		if e := n.view.Endpoint(endpoint); e != nil && e.Draining() {
			return
		}
		c.Assert(tries < 500, quicktest.IsTrue, quicktest.Commentf("%s", n.Settings.Box))
		time.Sleep(10 * time.Millisecond)
	}
}

// A drain fact is removed with its endpoint, and stays so when a box that has not yet received the removal sends it
// again.
func TestDrainFactsAreRemovedWithTheirEndpoints(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	n.build()
	n.view.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "s"}))
	n.departures.receive(&wire.EndedRequest{Leaving: []string{"e1", "", "unknown"}})
	n.departures.forgetGone()
	c.Check(n.items.Keys(), quicktest.DeepEquals, []string{leavingPrefix + "e1"})
	n.view.RemoveEndpoint("e1")
	n.departures.forgetGone()
	c.Check(n.items.Keys(), quicktest.HasLen, 0)
	n.departures.receive(&wire.EndedRequest{Leaving: []string{"e1"}})
	n.departures.forgetGone()
	c.Check(n.items.Keys(), quicktest.HasLen, 0)
}

// An endpoint announced draining in a response. A later version of its entry in the store that still says that it
// serves must not revert that.
func TestSourceDoesNotRevertDraining(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	n.Decoder = serviceDecoder{}
	n.build()
	entry := func(revision uint64) {
		n.items.Merge(&wire.Item{Key: "e/1", Version: uint64(rev(revision)), Value: []byte("a:1")})
	}
	entry(1)
	n.departures.observe("e/1")
	entry(2)
	c.Check(n.view.Endpoint("e/1").Draining(), quicktest.IsTrue)
}

// Guards against requests to an endpoint that asked for a back-off: one that had rejected a request of a box and asked
// for a back-off of three seconds got 24 requests from that box in that time, and 29% of all requests were rejected
// while two thirds of the endpoints served. Boxes did not read the back-off, and a rejection only kept that one
// request away. The next ones went there as well, since an endpoint that runs no requests of the box looks the least
// loaded. Four such endpoints got 14 to 59 requests a second each while they rejected all, after 6 to 20 before.
// Without the fix this test sees 16 requests in one back-off, and 45 of 400 rejected.
func TestBackOffOfAnEndpointIsRespected(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newLimitedService(c, 4)
	nodes, _ := startFleet(c, s, centreDecoder{}, boxes)
	sendLoad(nodes, 80, 2*time.Second) // earns each box the retry budget that it needs
	s.endpoints[0].setHeader("Back-Off", "2", true)
	got := sendLoad(nodes, 80, 5*time.Second)
	ignored := s.endpoints[0].requestsDuringBackoff(2 * time.Second)
	c.Check(ignored <= backoffTolerance, quicktest.IsTrue, quicktest.Commentf("%d requests from one box in one back-off", ignored))
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}

// An owner that was asked for a back-off by an endpoint loads adapters elsewhere.
func TestEndpointInBackOffGetsNoLoads(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	n.build()
	now := clock.Now()
	c.Check(n.room("e1", now).Limited, quicktest.IsFalse)
	n.HandleNotice("e1", forward.Notice{Backoff: time.Minute})
	c.Check(n.room("e1", now), quicktest.Equals, ratelimit.Headroom{Limited: true})
	c.Check(n.room("e2", now).Limited, quicktest.IsFalse)
}
