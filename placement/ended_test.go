// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// addEndpoint adds an endpoint of the same data centre, behind the same fake one.
func (b *bench) addEndpoint(id string) {
	b.loader.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}}))
}

func (b *bench) awaitBoth() {
	for {
		b.loader.mu.Lock()
		owns := 0
		for _, o := range b.loader.owned {
			if o.phase == owning {
				owns++
			}
		}
		b.loader.mu.Unlock()
		if owns == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A stream that was cut off when its endpoint ended was brought to the same endpoint ten times within
// 20 ms, took a retry from the budget each time, and was refused at last.
//
// The order of events: the box can't reach the endpoint and asks the leader for the adapter. The
// leader names the endpoint that holds it, by its own word; it is the one that ended. Its entry
// lapses after three heartbeats.
//
// The evidence: ten lines of one request with one endpoint, "not reached: connection refused".
func TestAnEndpointThatEndedIsNotNamedAgain(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, "e1")
	b.addEndpoint("e2")
	b.awaitBoth()
	b.loader.Ended("e1", time.Now().Add(time.Minute))
	for range 2 {
		p, err = b.want(adapter(1), 5*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
}

// Where no endpoint of the data centre is left, those elsewhere are asked at once.
func TestWhereTheLastEndpointEndedOthersAreAsked(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	b.loader.Ended("e1", time.Now().Add(time.Minute))
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Settling, quicktest.IsTrue)
	c.Assert(p.Retry > 50*time.Second, quicktest.IsTrue)
	b.loader.Ended("unknown", time.Now().Add(time.Minute))
}

// A box may be wrong, and an entry that lapsed may come back.
func TestAnEndpointIsUsedAgainWhereItsEntryStays(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	b.loader.Ended("e1", time.Now().Add(100*time.Millisecond))
	time.Sleep(100 * time.Millisecond)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
}
