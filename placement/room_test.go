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

// crowd makes endpoints name limits and take no more; it is set before the loader runs.
func (b *bench) crowd(endpoints map[string]time.Duration) {
	b.loader.Room = func(id string, _ time.Time) ratelimit.Room {
		wait, limited := endpoints[id]
		return ratelimit.Room{Limited: limited, Wait: wait, Spare: !limited}
	}
}

func TestNothingMoreIsLoadedAtAnEndpointThatNamesALimit(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	b.crowd(map[string]time.Duration{"e1": 0})
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBoth()
	for i := range slotCount {
		p, err := b.want(adapter(i), 5*time.Second) // its home is e1
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Endpoint, quicktest.Equals, "e2")
	}
}

// Requests that the holder has no room for get a copy elsewhere; while it has room it is named.
func TestAnAdapterIsLoadedElsewhereWhileItsHolderHasNoRoom(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	room := map[string]time.Duration{}
	b.crowd(room)
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBoth()
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
	o.slots[w.Adapter] = &slot{ready: true, version: 1, used: time.Now(), given: time.Now()}
	b.loader.mu.Unlock()
	p, err = b.loader.Place(context.Background(), w) // it has room, and had none for this request
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

// Where all endpoints name limits adapters are loaded as ever: boxes ask for room before they send.
func TestWhereAllEndpointsNameLimitsAdaptersAreLoaded(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	b.crowd(map[string]time.Duration{"e1": time.Second, "e2": time.Second})
	b.addEndpoint("e2")
	b.start(t)
	b.awaitBoth()
	for range 2 {
		p, err := b.want(adapter(1), 5*time.Second)
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Ready, quicktest.IsTrue)
	}
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.loads, quicktest.HasLen, 1)
}
