// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"net/http"
	"testing"
	"time"

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
func (e *needyEndpoint) after(d time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, a := range e.arrivals {
		if told, known := e.told[a.box]; known && a.at.Sub(told) > d {
			count++
		}
	}
	return count
}

// ignored returns the most requests that came from one box during one of the back-offs that the endpoint
// asked it for, which are so long; it asks with each answer.
func (e *needyEndpoint) ignored(long time.Duration) int {
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
func TestAnEndpointThatLeavesByItsAnswersGetsNothingNew(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newNeedy(c, 4)
	nodes, _ := fleetOf(c, s, centreDecoder{}, boxes)
	s.endpoints[0].say("Leaving", "1", false)
	got := press(nodes, 80, 5*time.Second)
	c.Check(s.endpoints[0].after(drain), quicktest.Equals, 0)
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}

// Users saw an endpoint that had turned a box away, and had asked it to send nothing for three seconds, get
// 24 requests from it in that time; 29 in 100 requests were refused while two thirds of the endpoints
// served.
//
// The order of events: the endpoint turns a request away and says for how long it wants nothing. The next
// requests go there all the same: since it runs nothing of this box it looks the emptiest.
func TestAnEndpointThatAsksForABackOffIsLeftAlone(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newNeedy(c, 4)
	nodes, _ := fleetOf(c, s, centreDecoder{}, boxes)
	s.endpoints[0].say("Back-Off", "2", true)
	got := press(nodes, 80, 5*time.Second)
	ignored := s.endpoints[0].ignored(2 * time.Second)
	c.Check(ignored <= backoffMost, quicktest.IsTrue, quicktest.Commentf("%d requests from one box in one back-off", ignored))
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 5})
}
