// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/ratelimit"
	"github.com/frankban/quicktest"
)

// limitEndpoints gives endpoints rate limits without spare capacity; it must be called before
// the loader runs.
func (b *fixture) limitEndpoints(endpoints map[string]time.Duration) {
	b.loader.Headroom = func(id string, _ time.Time) ratelimit.Headroom {
		wait, limited := endpoints[id]
		return ratelimit.Headroom{Limited: limited, Wait: wait, HasSpare: !limited}
	}
}

func TestSaturatedEndpointGetsNoLoads(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	b.limitEndpoints(map[string]time.Duration{"e1": 0})
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBothOwned()
	for i := range slotCount {
		p, err := b.want(adapter(i), 5*time.Second) // its usual endpoint is e1
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
}

// Requests that exceed the holder's limit get a copy elsewhere; while the holder accepts
// requests they are sent there.
func TestAdapterIsCopiedWhileItsHolderHasNoHeadroom(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	room := map[string]time.Duration{}
	b.limitEndpoints(room)
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBothOwned()
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	held := p.Endpoint
	b.loader.mu.Lock()
	room[held] = 0
	b.loader.mu.Unlock()
	p, err = b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Equals, held)
	w := forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(2), TargetWait: 5 * time.Second, MaxWait: 5 * time.Second, AvoidLimited: true}
	b.loader.mu.Lock()
	o := b.loader.owned[held]
	o.slots[w.Adapter] = &slot{ready: true, version: 1, lastUsed: time.Now(), lastAnnounced: time.Now()}
	b.loader.mu.Unlock()
	p, err = b.loader.Place(context.Background(), w) // the holder has headroom now, but had none for this request
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Endpoint, quicktest.Not(quicktest.Equals), held)
	b.loader.mu.Lock()
	room[held] = time.Second
	b.loader.mu.Unlock()
	p, err = b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
	c.Assert(p.Endpoint, quicktest.Not(quicktest.Equals), held)
}

// When all endpoints announce limits, adapters are loaded as usual: boxes check the limit
// before they send.
func TestAdaptersAreLoadedWhenAllEndpointsAreLimited(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	b.limitEndpoints(map[string]time.Duration{"e1": time.Second, "e2": time.Second})
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBothOwned()
	for range 2 {
		p, err := b.want(adapter(1), 5*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
	}
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.loads, quicktest.HasLen, 1)
}
