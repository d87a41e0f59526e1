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

// addEndpoint adds an endpoint in the same data centre, backed by the same fake.
func (b *fixture) addEndpoint(id string) {
	b.loader.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}}))
}

func (b *fixture) awaitBothOwned() {
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

// newFixtureWithHolder returns a loader of two endpoints of which only e1 holds adapter 1.
func newFixtureWithHolder(t *testing.T) (*quicktest.C, *fixture) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, "e1")
	b.addEndpoint("e2")
	b.awaitBothOwned()
	return c, b
}

// The leader kept naming an ended endpoint that held the adapter until its entry expired, three
// heartbeats later. A box whose stream was cut off there was sent back ten times within 20 ms
// ("not reached: connection refused"), used up a retry each time, and refused the request in
// the end.
func TestEndedEndpointIsNotOffered(t *testing.T) {
	c, b := newFixtureWithHolder(t)
	b.loader.Ended("e1", time.Now().Add(time.Minute))
	for range 2 {
		p, err := b.want(adapter(1), 5*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
}

// When no endpoint of the data centre is left, boxes must ask other data centres at once.
func TestRequestGoesElsewhereWhenLastEndpointEnded(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.Ended("e1", time.Now().Add(time.Minute))
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.OwnerChanging, quicktest.IsTrue)
	c.Assert(p.RetryAfter > 50*time.Second, quicktest.IsTrue)
	b.loader.Ended("unknown", time.Now().Add(time.Minute))
}

// A box may be wrong about an ended endpoint, and an expired entry may be renewed.
func TestEndedEndpointIsUsedAgainAfterExpiry(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.Ended("e1", time.Now().Add(100*time.Millisecond))
	time.Sleep(100 * time.Millisecond)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
}

// An endpoint refused a request for an adapter that it held, and its leader named the same
// endpoint again, four times within 30 ms. Of 668 refused attempts, 89 went to an endpoint that
// had refused the same request before.
func TestRequestIsNotSentToAvoidedEndpoint(t *testing.T) {
	c, b := newFixtureWithHolder(t)
	other := b.loader.View.Endpoint("e2")
	w := forward.AdapterRequest{Endpoint: other, Adapter: adapter(1), TargetWait: 5 * time.Second, MaxWait: 5 * time.Second, Avoid: []string{"e1"}}
	for range 2 { // the first request loads it there, the second finds it
		p, err := b.loader.Place(context.Background(), w)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
	w.Adapter = adapter(2) // not loaded: its load costs the same on both
	p, err := b.loader.Place(context.Background(), w)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, "e2")
}

// A pending load on an endpoint that a request avoids does not serve that request.
func TestRequestDoesNotWaitForLoadOnAvoidedEndpoint(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBothOwned()
	now := time.Now()
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	b.loader.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}] = &pendingLoad{done: make(chan struct{})}
	w := &waiter{AdapterRequest: forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(1)}}
	c.Assert(b.loader.pendingEndpointLocked(w, now), quicktest.Equals, b.loader.owned["e1"])
	w.Avoid = []string{"e1"}
	c.Assert(b.loader.pendingEndpointLocked(w, now), quicktest.IsNil)
}
