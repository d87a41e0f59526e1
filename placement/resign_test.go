// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// sharedEndpoint is an endpoint with a base model that several boxes send orders to.
type sharedEndpoint struct {
	mu            sync.Mutex
	slots         map[topology.Adapter]bool // true: ready
	inUse         map[topology.Adapter]bool // unloading waits for these
	holders       []string                  // boxes in the order of their orders, including refused ones
	fence         uint64                    // highest seen
	reports       int
	maxHeld       int           // most adapters that it was ordered to hold at once
	respond       chan struct{} // load orders are answered once it can be read; nil: at once
	dropResponses bool          // load orders are carried out and not answered
}

func newSharedEndpoint() *sharedEndpoint {
	return &sharedEndpoint{slots: make(map[topology.Adapter]bool), inUse: make(map[topology.Adapter]bool)}
}

// Report implements Control.
func (f *sharedEndpoint) Report(context.Context, *topology.Endpoint) (Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	h := Inventory{Models: []string{model}, Ready: make(map[topology.Adapter]int64), Pending: make(map[topology.Adapter]int64)}
	for a, ready := range f.slots {
		if ready {
			h.Ready[a] = 1
		} else {
			h.Pending[a] = 1
		}
	}
	return h, nil
}

// Order implements Control.
func (f *sharedEndpoint) Order(ctx context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	out, answer, mute := f.carryOut(o)
	if o.Adapter.Name == "" || out == Fenced {
		return out, nil
	}
	if mute {
		return 0, errors.New("no response")
	}
	if answer != nil {
		select {
		case <-answer:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return out, nil
}

func (f *sharedEndpoint) carryOut(o Order) (out Outcome, answer <-chan struct{}, mute bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.holders); n == 0 || f.holders[n-1] != o.Holder {
		f.holders = append(f.holders, o.Holder)
	}
	if o.Fence < f.fence {
		return Fenced, nil, false
	}
	f.fence = o.Fence
	switch {
	case o.Adapter.Name == "":
		return Done, nil, false
	case o.Unload && f.inUse[o.Adapter]:
		return Accepted, nil, false
	case o.Unload:
		delete(f.slots, o.Adapter)
		return Done, nil, false
	}
	ready, known := f.slots[o.Adapter]
	if ready {
		return Done, f.respond, f.dropResponses
	}
	f.slots[o.Adapter] = known // a repeated order finds the adapter ready
	f.maxHeld = max(f.maxHeld, len(f.slots))
	return Accepted, f.respond, f.dropResponses
}

func (f *sharedEndpoint) count() (reports, most int, holders []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports, f.maxHeld, slices.Clone(f.holders)
}

func (f *sharedEndpoint) holds(a topology.Adapter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.slots[a]
	return ok
}

// newSharedFixture returns a loader of a box of its own that shares an endpoint, and requests
// handovers from the previous box's loader.
func newSharedFixture(f *sharedEndpoint, name string, number uint32, before *Loader) *fixture {
	b := newFixture(4)
	b.loader.Box, b.loader.Control = name, f
	b.loader.Fences = &Fences{Process: number}
	if before != nil {
		b.loader.AskToResign = func(ctx context.Context, e *topology.Endpoint) (Handover, time.Duration) {
			return before.Resign(ctx, e.ID()), 0
		}
	}
	return b
}

// newLeavingLoader returns a box that owns an endpoint, has loaded an adapter there and has begun
// to leave.
func newLeavingLoader(t *testing.T, c *quicktest.C, f *sharedEndpoint) *fixture {
	b := newSharedFixture(f, "first", 9, nil)
	b.start(t)
	b.awaitOwned()
	c.Assert(b.loads(1), quicktest.IsTrue)
	b.loader.Leave(time.Now())
	return b
}

// loads reports whether an adapter gets loaded for a request that can wait.
func (b *fixture) loads(i int) bool {
	p, err := b.loader.Place(context.Background(), b.patientRequest(i))
	return err == nil && p.Ready
}

// A stopping leader gave up its endpoints at once. The next one loaded nothing until it had
// learned of this, raised its fence and waited 0.4 s for a recent report.
func TestLeavingLeaderGivesOrdersUntilNextOneTakesOver(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := newLeavingLoader(t, c, f)
	time.Sleep(2 * ownershipInterval) // it has checked its ownership again
	c.Assert(first.loads(2), quicktest.IsTrue)
	reports, _, _ := f.count()
	second := newSharedFixture(f, "second", 1, first.loader) // with equal terms its fence is the lower one
	second.start(t)
	second.awaitOwned()
	after, _, _ := f.count()
	c.Assert(after, quicktest.Equals, reports) // the handover made a report unnecessary
	c.Assert(second.loader.View.EndpointsReady(adapter(1)), quicktest.HasLen, 1)
	p, err := first.loader.Place(context.Background(), first.patientRequest(3))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.OwnerChanging, quicktest.IsTrue)
	time.Sleep(2 * ownershipInterval)
	_, most, holders := f.count()
	c.Assert(holders, quicktest.DeepEquals, []string{"first", "second"}) // the boxes did not alternate
	c.Assert(most <= slotCount, quicktest.IsTrue)
}

func TestOnlyLeavingBoxResigns(t *testing.T) {
	c := quicktest.New(t)
	b := newSharedFixture(newSharedEndpoint(), "first", 9, nil)
	b.start(t)
	b.awaitOwned()
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse)
	c.Assert(b.loads(1), quicktest.IsTrue)
	b.loader.Leave(time.Now())
	c.Assert(b.loader.Resign(context.Background(), "e2").Resigned, quicktest.IsFalse)
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsTrue)
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse) // at most one owner takes over from it
}

// An order in transit during the handover would arrive after the first order of the next owner.
func TestResigningBoxWaitsForItsOrders(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := newLeavingLoader(t, c, f)
	f.mu.Lock()
	f.respond = make(chan struct{})
	f.mu.Unlock()
	go func() { _, _ = first.loader.Place(context.Background(), first.patientRequest(2)) }() // its result is not needed
	c.Assert(first.eventually(func() bool { return f.holds(adapter(2)) }), quicktest.IsTrue)
	handed := make(chan Handover, 1)
	go func() { handed <- first.loader.Resign(context.Background(), "e1") }()
	select {
	case <-handed:
		c.Fatal("handed over with an order in transit")
	case <-time.After(50 * time.Millisecond):
	}
	close(f.respond)
	h := <-handed
	c.Assert(h.Resigned, quicktest.IsTrue)
	c.Assert(h.Ready, quicktest.DeepEquals, map[topology.Adapter]int64{adapter(1): 1})
	c.Assert(h.Pending, quicktest.DeepEquals, map[topology.Adapter]int64{adapter(2): 1})
}

func (b *fixture) eventually(is func() bool) bool {
	for range 500 {
		if is() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// With a wrong handover the next owner would order more loads than there are slots.
func TestWhatIsNotCertainIsNotHandedOver(t *testing.T) {
	for _, k := range []struct {
		name string
		do   func(f *sharedEndpoint, first *fixture)
	}{
		{"an order gets no response", func(f *sharedEndpoint, first *fixture) {
			f.mu.Lock()
			f.dropResponses = true
			f.mu.Unlock()
			first.loader.mu.Lock()
			o := first.loader.owned["e1"]
			claim := o.claims
			first.loader.mu.Unlock()
			e, fence, _ := first.loader.beginOrder(o, claim)
			d := Order{Adapter: adapter(2), Fence: fence, Holder: "first"}
			out, err := f.Order(context.Background(), e, d)
			first.loader.endOrder(o, claim, d, out, err)
		}},
		{"another box has claimed it", func(f *sharedEndpoint, _ *fixture) {
			f.mu.Lock()
			f.fence += 1 << processBits
			f.mu.Unlock()
		}},
		{"an adapter is unloaded when its requests end", func(_ *sharedEndpoint, first *fixture) {
			first.loader.mu.Lock()
			defer first.loader.mu.Unlock()
			s := first.loader.owned["e1"].slots[adapter(1)]
			s.evicting, s.unloading = true, true
		}},
		{"a base model is being loaded", func(_ *sharedEndpoint, first *fixture) {
			first.loader.mu.Lock()
			defer first.loader.mu.Unlock()
			first.loader.owned["e1"].loadingModel = true
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newSharedEndpoint()
			first := newLeavingLoader(t, c, f)
			k.do(f, first)
			c.Assert(first.loader.Resign(context.Background(), "e1"), quicktest.DeepEquals, Handover{})
			p, err := first.loader.Place(context.Background(), first.patientRequest(3)) // it gives no more orders either
			c.Assert(err, quicktest.IsNil)
			c.Assert(p.OwnerChanging, quicktest.IsTrue)
		})
	}
}

// A box that raised a fence after the previous owner was asked may give orders as soon as its
// report is recent enough, so a late handover may be outdated.
func TestLateHandoverIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	f.slots[adapter(7)] = true // loaded by a third box in the meantime
	b := newSharedFixture(f, "second", 1, nil)
	b.loader.AskToResign = func(context.Context, *topology.Endpoint) (Handover, time.Duration) {
		time.Sleep(reportLag)
		return Handover{Resigned: true, Fence: 1, Inventory: Inventory{Models: []string{model}}}, 0
	}
	b.start(t)
	b.awaitOwned()
	reports, _, _ := f.count()
	c.Assert(reports, quicktest.Equals, 1)
	c.Assert(b.loader.View.EndpointsReady(adapter(7)), quicktest.HasLen, 1)
}

// A leaving owner that can't be asked keeps giving orders; raising the fence meanwhile would make
// it alternate with the next owner.
func TestUnresponsiveOwnerHasStoppedBeforeItsEndpointIsClaimed(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := newLeavingLoader(t, c, f)
	left := time.Now()
	second := newSharedFixture(f, "second", 1, nil)
	second.loader.AskToResign = func(context.Context, *topology.Endpoint) (Handover, time.Duration) {
		return Handover{}, time.Until(left.Add(HandoverTimeout + 2*ownershipInterval))
	}
	second.start(t)
	for i := 2; first.loader.OrdersWhileLeaving("e1"); i++ {
		_, _ = first.loader.Place(context.Background(), forward.AdapterRequest{Endpoint: first.endpoint, Adapter: adapter(i)}) // refused once its endpoint is full
		time.Sleep(ownershipInterval / 4)
	}
	second.awaitOwned()
	c.Assert(second.loads(1), quicktest.IsTrue)
	_, _, holders := f.count()
	c.Assert(holders, quicktest.DeepEquals, []string{"first", "second"})
}

// Slots were emptied while in use because the boxes had not reported their usage to the new owner
// yet.
func TestNoEvictionBetweenHandoverAndUsageReports(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	o, now := b.loader.owned["e1"], time.Now()
	s := &slot{ready: true}
	o.since = now.Add(-usageSyncTime)
	c.Assert(b.loader.isIdleLocked(o, adapter(1), s, now), quicktest.IsTrue)
	o.handedOver = true // the owner did not wait for a report
	c.Assert(b.loader.isIdleLocked(o, adapter(1), s, now), quicktest.IsFalse)
	c.Assert(b.loader.isIdleLocked(o, adapter(1), s, now.Add(reportLag)), quicktest.IsTrue)
}

// No handover was requested for an endpoint without a base model, as after its restart: the
// leaving owner continued to load the model while the next one sent orders too.
func TestHandoverIsRequestedForEndpointWithoutBaseModel(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	b.loader.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "llm", DataCentre: "dc", Slots: 8}))
	asked := make(chan string, 1)
	b.loader.AskToResign = func(_ context.Context, e *topology.Endpoint) (Handover, time.Duration) {
		select {
		case asked <- e.ID():
		default: // asked before
		}
		return Handover{}, 0
	}
	b.start(t)
	b.awaitOwned()
	select {
	case id := <-asked:
		c.Assert(id, quicktest.Equals, "e1")
	default:
		c.Fatal("no handover was requested")
	}
}

// With a long queue a leaving box checked its ownership late, and kept sending orders while the
// next owner, which had waited for it to stop, sent its own.
func TestLeavingBoxStopsInTimeWithoutOwnershipCheck(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := newLeavingLoader(t, c, f)
	l := first.loader
	l.mu.Lock()
	o := l.owned["e1"]
	claim := o.claims
	l.mu.Unlock()
	_, _, owns := l.beginOrder(o, claim)
	c.Assert(owns, quicktest.IsTrue)
	l.endOrder(o, claim, Order{}, Done, nil)
	l.mu.Lock()
	l.leavingSince = l.leavingSince.Add(-HandoverTimeout)
	o.phase, l.owned["e1"] = owning, o // as before the ownership check
	l.mu.Unlock()
	_, _, owns = l.beginOrder(o, claim)
	c.Assert(owns, quicktest.IsFalse)
	c.Assert(l.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse)
}
