// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/forward"
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

// holdingFirst returns a loader of two endpoints, of which the first one alone holds the first adapter.
func holdingFirst(t *testing.T) (*quicktest.C, *bench) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, "e1")
	b.addEndpoint("e2")
	b.awaitBoth()
	return c, b
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
	c, b := holdingFirst(t)
	b.loader.Ended("e1", time.Now().Add(time.Minute))
	for range 2 {
		p, err := b.want(adapter(1), 5*time.Second)
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
	c.Assert(p.OwnerChanging, quicktest.IsTrue)
	c.Assert(p.RetryAfter > 50*time.Second, quicktest.IsTrue)
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

// An endpoint that holds an adapter turned a request for it away. Asked where else it can go, its leader
// named the same endpoint, four times within 30 ms.
//
// The evidence: of 668 attempts that were turned away, 89 went to an endpoint that had turned the same request
// away before.
func TestARequestIsNotBroughtToAnEndpointThatItAvoids(t *testing.T) {
	c, b := holdingFirst(t)
	other := b.loader.View.Endpoint("e2")
	w := forward.AdapterRequest{Endpoint: other, Adapter: adapter(1), TargetWait: 5 * time.Second, MaxWait: 5 * time.Second, Avoid: []string{"e1"}}
	for range 2 { // it is loaded, and then held there
		p, err := b.loader.Place(context.Background(), w)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
	w.Adapter = adapter(2) // held nowhere: its load costs the same at both
	p, err := b.loader.Place(context.Background(), w)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, "e2")
}

// A load that others wait for at an endpoint which a request avoids does not serve it.
func TestARequestDoesNotWaitForALoadWhereItCannotGo(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBoth()
	now := time.Now()
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	b.loader.wants[wantKey{endpoint: "e1", adapter: adapter(1)}] = &want{done: make(chan struct{})}
	w := &waiter{AdapterRequest: forward.AdapterRequest{Adapter: adapter(1)}}
	c.Assert(b.loader.wantedAtLocked(w, "dc", now), quicktest.Equals, b.loader.owned["e1"])
	w.Avoid = []string{"e1"}
	c.Assert(b.loader.wantedAtLocked(w, "dc", now), quicktest.IsNil)
}
