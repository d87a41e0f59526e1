// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	if o.IsConditional && o.Sequence != f.sequence.Load() {
		return Busy, nil
	}
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

// ask requests an adapter again and again, until the test ends.
func (b *fixture) ask(t *testing.T) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for t.Context().Err() == nil {
			_, _ = b.want(adapter(1), 10*time.Millisecond) // refused until the endpoint is owned
			time.Sleep(10 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { <-ended })
}

// loneWatch is how long tests watch a box without contact. With the lease of the fixture it may claim an endpoint after half a second.
const loneWatch = 4 * time.Second

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
	b.ask(t)
	c.Check(f.awaitOrders(loneWatch), quicktest.Equals, int64(0))
	stop() // the other owner has ended
	c.Check(f.awaitOrders(loneWatch) > 0, quicktest.IsTrue)
}

// A box that finds others while it waits claims what is its own by their common view.
func TestBoxClaimsOnceItHasContact(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var contact atomic.Bool
	b, f := newLoneFixture(&contact)
	defer f.serveOther()()
	b.start(t)
	c.Check(f.awaitOrders(loneWatch/2), quicktest.Equals, int64(0))
	contact.Store(true)
	c.Check(f.awaitOrders(loneWatch) > 0, quicktest.IsTrue)
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

// Guards against boxes that start while none of them reaches another, and own the same endpoints in turns.
func TestBoxesWithoutContactTakeNoTurns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const lease, watched = 400 * time.Millisecond, 12 * time.Second
	f := &turnTaker{startingEndpoint: newStartingEndpoint(reportLag / 4)}
	f.loaded = true
	f.changedLocked()
	ctx, cancel := context.WithTimeout(t.Context(), watched)
	defer cancel()
	var callers sync.WaitGroup
	for i := range 4 {
		b := newStartingFixture(f.startingEndpoint)
		b.loader.Box, b.loader.Fences, b.loader.Control = fmt.Sprintf("box-%d", i), NewFences(), f
		b.loader.HasContact, b.loader.Lease = func() bool { return false }, func() time.Duration { return lease }
		b.start(t)
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ { // each box wants other adapters, more often at some times
				_, _ = b.want(adapter(1000*i+n), 10*time.Millisecond)
				time.Sleep(time.Duration(rand.IntN(1+300*(n/20%2))) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := make(map[string]bool)
	for i, o := range f.taken {
		holders[o.holder] = true
		if i > 0 && o.holder != f.taken[i-1].holder {
			since := o.at.Sub(f.taken[i-1].at)
			c.Check(since >= lease, quicktest.IsTrue, quicktest.Commentf("%s orders %v after %s", o.holder, since, f.taken[i-1].holder))
		}
	}
	c.Check(len(f.taken) > 10, quicktest.IsTrue, quicktest.Commentf("%d orders", len(f.taken)))
	c.Check(f.orders, quicktest.Equals, 0)
}

// turnTaker is an endpoint that records which box gave each order that it accepted.
type turnTaker struct {
	*startingEndpoint

	taken []takenOrder // guarded by mu
}

type takenOrder struct {
	holder string
	at     time.Time
}

// Order implements Control.
func (f *turnTaker) Order(ctx context.Context, e *topology.Endpoint, o Order) (Outcome, error) {
	out, err := f.startingEndpoint.Order(ctx, e, o)
	if out == Done || out == Accepted {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.taken = append(f.taken, takenOrder{holder: o.Holder, at: time.Now()})
	}
	return out, err
}
