// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// ownedElsewhere is an endpoint that takes orders of another owner all the time, until that ends. It records the orders of others.
type ownedElsewhere struct {
	fakeEndpoint

	orders   atomic.Int64 // of this box
	sequence atomic.Uint64
}

// Report implements Control.
func (f *ownedElsewhere) Report(ctx context.Context, e *topology.Endpoint) (Inventory, error) {
	h, err := f.fakeEndpoint.Report(ctx, e)
	h.Sequence = f.sequence.Load()
	return h, err
}

// Order implements Control.
func (f *ownedElsewhere) Order(ctx context.Context, e *topology.Endpoint, o Order) (Outcome, error) {
	f.orders.Add(1)
	return f.fakeEndpoint.Order(ctx, e, o)
}

// serveOther has another owner give an order each 100 ms until stop is called.
func (f *ownedElsewhere) serveOther() (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
				f.sequence.Add(1)
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(ended)
		<-done
	})
}

// newLoneFixture returns a loader of a box without contact to any other, which considers itself the owner of an endpoint.
func newLoneFixture(contact *atomic.Bool) (*fixture, *ownedElsewhere) {
	b := newFixture(4)
	f := &ownedElsewhere{fakeEndpoint: fakeEndpoint{slots: make(map[topology.Adapter]bool)}}
	b.loader.Control, b.loader.HasContact = f, contact.Load
	return b, f
}

// awaitOrders waits until the endpoint has an order of this box, for the time at most.
func (f *ownedElsewhere) awaitOrders(most time.Duration) int64 {
	for begun := time.Now(); time.Since(begun) < most && f.orders.Load() == 0; {
		time.Sleep(10 * time.Millisecond)
	}
	return f.orders.Load()
}

// Guards against a box that finds none of its seeds and takes endpoints from the owner that gives them orders.
func TestBoxWithoutContactDoesNotClaimEndpointsInUse(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var contact atomic.Bool
	b, f := newLoneFixture(&contact)
	stop := f.serveOther()
	defer stop()
	b.start(t)
	c.Check(f.awaitOrders(4*ownerCheckTime), quicktest.Equals, int64(0))
	stop() // the other owner has ended
	c.Check(f.awaitOrders(4*ownerCheckTime) > 0, quicktest.IsTrue)
}

// A box that finds others while it waits claims what is its own by their common view.
func TestBoxClaimsOnceItHasContact(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var contact atomic.Bool
	b, f := newLoneFixture(&contact)
	defer f.serveOther()()
	b.start(t)
	c.Check(f.awaitOrders(2*ownerCheckTime), quicktest.Equals, int64(0))
	contact.Store(true)
	c.Check(f.awaitOrders(4*ownerCheckTime) > 0, quicktest.IsTrue)
}

// Guards against two boxes that own an endpoint in turns: one without contact does not come back after the usual back-off.
func TestRefusedOrderEndsTheClaimsOfABoxWithoutContact(t *testing.T) {
	c := quicktest.New(t)
	contact := false
	now := time.Now()
	l := &Loader{Lease: func() time.Duration { return 3 * time.Second }, startedAt: now, HasContact: func() bool { return contact }}
	for _, since := range []time.Duration{time.Second, 10 * time.Second} {
		c.Check(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(since)}), quicktest.Equals, 30*time.Second)
	}
	contact = true
	c.Check(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(10 * time.Second)}) < 4*time.Second, quicktest.IsTrue)
}

// Guards against a claim that waits for good for an endpoint whose report always shows an order under way.
func TestClaimWaitsForAnOrderForABoundedTime(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	var since time.Time
	c.Check(b.loader.isWorthWaiting(b.endpoint, &since), quicktest.IsTrue)
	c.Assert(since.IsZero(), quicktest.IsFalse)
	c.Check(b.loader.isWorthWaiting(b.endpoint, &since), quicktest.IsTrue)
	since = since.Add(-modelLoadTimeout)
	c.Check(b.loader.isWorthWaiting(b.endpoint, &since), quicktest.IsFalse)
}
