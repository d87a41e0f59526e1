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
	// drain is how long after it said so an endpoint that leaves may get new requests.
	drain = 2 * time.Second
	// backoffHeard and backoffMost are what users allow a box that was asked for a back-off: so many
	// requests after so long.
	backoffHeard = 500 * time.Millisecond
	backoffMost  = 2
)

// after returns how many requests came from boxes that had been told so long before.
func (e *limitedEndpoint) after(d time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, a := range e.arrivals {
		if told, known := e.announcedAt[a.box]; known && a.at.Sub(told) > d {
			count++
		}
	}
	return count
}

// ignored returns the most requests that came from one box during one of the back-offs that the endpoint
// asked it for, which are so long; it asks with each answer.
func (e *limitedEndpoint) ignored(long time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, asked := range e.arrivals {
		count := 0
		for _, a := range e.arrivals {
			if since := a.at.Sub(asked.at); a.box == asked.box && since > backoffHeard && since < long {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Users saw requests reach an endpoint more than two seconds after it had told their box that it leaves.
//
// The order of events: the store falls silent. An endpoint begins to leave, and says so in all its
// answers; the store takes its entry only 13 s later. Each box that passes such an answer on goes on to
// send requests there, and the leader of its data centre to order loads.
//
// The cause: boxes knew that an endpoint leaves by its entry in the store alone, and no box read its answers
// for it.
//
// The evidence: no line of any box named the leaving before the store was back, and arrivals and loads at
// the endpoint went on until then; with the mend taken out 55 requests come here too late.
func TestAnEndpointThatLeavesByItsAnswersGetsNothingNew(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newLimitedService(c, 4)
	nodes, _ := fleetOf(c, s, centreDecoder{}, boxes)
	s.endpoints[0].setHeader("Leaving", "1", false)
	got := sendLoad(nodes, 80, 5*time.Second)
	c.Check(s.endpoints[0].after(drain), quicktest.Equals, 0)
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}

// The first answers tell one box each, and all boxes leave the endpoint alone.
func TestAllBoxesHearThatAnEndpointLeaves(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	s := newLimitedService(c, 2)
	nodes, end := fleetOf(c, s, centreDecoder{}, 4)
	nodes[3].departures.observe("e/1") // as if it had been told: it leads nothing
	for _, n := range nodes {
		awaitLeaving(c, n, "e/1")
		c.Check(n.view.Endpoint("e/0").Draining(), quicktest.IsFalse)
	}
	end(0) // its data centre's leader
	started, stop := startBox(c, s, nodes[1])
	awaitLeaving(c, started, "e/1")
	c.Check(stop(), quicktest.IsNil)
}

// awaitLeaving waits until a box believes that an endpoint leaves.
func awaitLeaving(c *quicktest.C, n *Node, endpoint string) {
	for tries := 0; ; tries++ {
		if e := n.view.Endpoint(endpoint); e != nil && e.Draining() {
			return
		}
		c.Assert(tries < 500, quicktest.IsTrue, quicktest.Commentf("%s", n.Settings.Box))
		time.Sleep(10 * time.Millisecond)
	}
}

// A fact that an endpoint leaves ends with the endpoint; boxes that have not heard of its end may tell it again.
func TestFactsOfEndpointsThatAreGoneAreForgotten(t *testing.T) {
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

// The store's entry of an endpoint is written anew while it says that it serves; the endpoint itself said
// that it leaves.
func TestTheSourceDoesNotTakeBackThatAnEndpointLeaves(t *testing.T) {
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

// Users saw an endpoint that had turned a box away, and had asked it to send nothing for three seconds, get
// 24 requests from it in that time; 29 in 100 requests were refused while two thirds of the endpoints
// served.
//
// The order of events: the endpoint turns a request away and says for how long it wants nothing. The next
// requests go there all the same: since it runs nothing of this box it looks the emptiest.
//
// The cause: what an endpoint asks for was not read, and an answer that turns a request away kept that one
// request away and no other.
//
// The evidence: the four endpoints that asked got 14 to 59 requests a second each while they turned all away,
// after 6 to 20; with the mend taken out 16 requests come here in one back-off, and 45 of 400 are refused.
func TestAnEndpointThatAsksForABackOffIsLeftAlone(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newLimitedService(c, 4)
	nodes, _ := fleetOf(c, s, centreDecoder{}, boxes)
	sendLoad(nodes, 80, 2*time.Second) // by which each box has earned the retries that it needs
	s.endpoints[0].setHeader("Back-Off", "2", true)
	got := sendLoad(nodes, 80, 5*time.Second)
	ignored := s.endpoints[0].ignored(2 * time.Second)
	c.Check(ignored <= backoffMost, quicktest.IsTrue, quicktest.Commentf("%d requests from one box in one back-off", ignored))
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}

// Where a box that decides for an endpoint was asked for a back-off it loads adapters elsewhere.
func TestAnEndpointThatAskedForABackOffIsNoGoodSite(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	n.build()
	now := clock.Now()
	c.Check(n.room("e1", now).Limited, quicktest.IsFalse)
	n.HearNotice("e1", forward.Notice{Backoff: time.Minute})
	c.Check(n.room("e1", now), quicktest.Equals, ratelimit.Room{Limited: true})
	c.Check(n.room("e2", now).Limited, quicktest.IsFalse)
}
