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

// sharedEndpoint is an endpoint that several boxes order. It holds its base model.
type sharedEndpoint struct {
	mu      sync.Mutex
	slots   map[topology.Adapter]bool // true: ready
	inUse   map[topology.Adapter]bool // unloading waits for these
	holders []string                  // boxes in the order in which their orders came, refused ones too
	fence   uint64                    // the highest seen
	reports int
	most    int           // adapters that it was ordered to hold at once
	answer  chan struct{} // an order to load is answered once it can be read; nil: at once
	mute    bool          // orders to load are taken and not answered
}

func newSharedEndpoint() *sharedEndpoint {
	return &sharedEndpoint{slots: make(map[topology.Adapter]bool), inUse: make(map[topology.Adapter]bool)}
}

// Report implements Control.
func (f *sharedEndpoint) Report(context.Context, *topology.Endpoint) (Holding, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	h := Holding{Models: []string{model}, Ready: make(map[topology.Adapter]int64), Pending: make(map[topology.Adapter]int64)}
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
	out, answer, mute := f.take(o)
	if o.Adapter.Name == "" || out == Fenced {
		return out, nil
	}
	if mute {
		return 0, errors.New("no answer")
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

func (f *sharedEndpoint) take(o Order) (out Outcome, answer <-chan struct{}, mute bool) {
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
		return Begun, nil, false
	case o.Unload:
		delete(f.slots, o.Adapter)
		return Done, nil, false
	}
	ready, known := f.slots[o.Adapter]
	if ready {
		return Done, f.answer, f.mute
	}
	f.slots[o.Adapter] = known // a repeated order finds it ready
	f.most = max(f.most, len(f.slots))
	return Begun, f.answer, f.mute
}

func (f *sharedEndpoint) count() (reports, most int, holders []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports, f.most, slices.Clone(f.holders)
}

func (f *sharedEndpoint) holds(a topology.Adapter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.slots[a]
	return ok
}

// boxAt returns a loader of a box of its own at an endpoint, after the box before.
func boxAt(f *sharedEndpoint, name string, number uint32, before *Loader) *bench {
	b := prepare(4)
	b.loader.Box, b.loader.Control = name, f
	b.loader.Fences = &Fences{Box: number}
	if before != nil {
		b.loader.AskToResign = func(ctx context.Context, e *topology.Endpoint) (Handover, time.Duration) {
			return before.Resign(ctx, e.ID()), 0
		}
	}
	return b
}

// leaver returns a box that owns an endpoint, has loaded an adapter there and begins to leave.
func leaver(t *testing.T, c *quicktest.C, f *sharedEndpoint) *bench {
	b := boxAt(f, "first", 9, nil)
	b.start(t)
	b.awaitOwned()
	c.Assert(b.loads(1), quicktest.IsTrue)
	b.loader.Leave(time.Now())
	return b
}

// loads tells whether an adapter is loaded for a request that can wait.
func (b *bench) loads(i int) bool {
	p, err := b.loader.Place(context.Background(), b.patient(i))
	return err == nil && p.Ready
}

// A leader that was told to stop gave its endpoints up at once, and the next one loaded
// nothing before it had heard of it, raised its fence and waited 0.4 s for a report that was
// new enough.
func TestALeaderThatLeavesGoesOnUntilTheNextOneTakesOver(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := leaver(t, c, f)
	time.Sleep(2 * ownPause) // it has looked again at what it owns
	c.Assert(first.loads(2), quicktest.IsTrue)
	reports, _, _ := f.count()
	second := boxAt(f, "second", 1, first.loader) // of two terms alike its fence is the lower one
	second.start(t)
	second.awaitOwned()
	after, _, _ := f.count()
	c.Assert(after, quicktest.Equals, reports) // what the endpoint holds was told
	c.Assert(second.loader.View.Holders(adapter(1)), quicktest.HasLen, 1)
	p, err := first.loader.Place(context.Background(), first.patient(3))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.OwnerChanging, quicktest.IsTrue)
	time.Sleep(2 * ownPause)
	_, most, holders := f.count()
	c.Assert(holders, quicktest.DeepEquals, []string{"first", "second"}) // no turns
	c.Assert(most <= slotCount, quicktest.IsTrue)
}

func TestOnlyABoxThatLeavesResigns(t *testing.T) {
	c := quicktest.New(t)
	b := boxAt(newSharedEndpoint(), "first", 9, nil)
	b.start(t)
	b.awaitOwned()
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse)
	c.Assert(b.loads(1), quicktest.IsTrue)
	b.loader.Leave(time.Now())
	c.Assert(b.loader.Resign(context.Background(), "e2").Resigned, quicktest.IsFalse)
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsTrue)
	c.Assert(b.loader.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse) // one owner at most comes after it
}

// An order that was under way when the endpoint was handed over would come after the first
// one of the next owner.
func TestABoxThatResignsWaitsForItsOrders(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := leaver(t, c, f)
	f.mu.Lock()
	f.answer = make(chan struct{})
	f.mu.Unlock()
	go func() { _, _ = first.loader.Place(context.Background(), first.patient(2)) }() // it is told nothing more
	c.Assert(first.eventually(func() bool { return f.holds(adapter(2)) }), quicktest.IsTrue)
	handed := make(chan Handover, 1)
	go func() { handed <- first.loader.Resign(context.Background(), "e1") }()
	select {
	case <-handed:
		c.Fatal("handed over with an order under way")
	case <-time.After(50 * time.Millisecond):
	}
	close(f.answer)
	h := <-handed
	c.Assert(h.Resigned, quicktest.IsTrue)
	c.Assert(h.Ready, quicktest.DeepEquals, map[topology.Adapter]int64{adapter(1): 1})
	c.Assert(h.Pending, quicktest.DeepEquals, map[topology.Adapter]int64{adapter(2): 1})
}

func (b *bench) eventually(is func() bool) bool {
	for range 500 {
		if is() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// What the next owner were told would be wrong, and it would order more than there are slots.
func TestWhatIsNotCertainIsNotHandedOver(t *testing.T) {
	for _, k := range []struct {
		name string
		do   func(f *sharedEndpoint, first *bench)
	}{
		{"an order gets no answer", func(f *sharedEndpoint, first *bench) {
			f.mu.Lock()
			f.mute = true
			f.mu.Unlock()
			first.loader.mu.Lock()
			o := first.loader.owned["e1"]
			claim := o.claims
			first.loader.mu.Unlock()
			e, fence, _ := first.loader.callBegins(o, claim)
			d := Order{Adapter: adapter(2), Fence: fence, Holder: "first"}
			out, err := f.Order(context.Background(), e, d)
			first.loader.callEnded(o, claim, d, out, err)
		}},
		{"another box has claimed it", func(f *sharedEndpoint, _ *bench) {
			f.mu.Lock()
			f.fence += 1 << boxBits
			f.mu.Unlock()
		}},
		{"an adapter is unloaded when its runs end", func(_ *sharedEndpoint, first *bench) {
			first.loader.mu.Lock()
			defer first.loader.mu.Unlock()
			s := first.loader.owned["e1"].slots[adapter(1)]
			s.leaving, s.unloading = true, true
		}},
		{"a base model is on its way", func(_ *sharedEndpoint, first *bench) {
			first.loader.mu.Lock()
			defer first.loader.mu.Unlock()
			first.loader.owned["e1"].fetching = true
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newSharedEndpoint()
			first := leaver(t, c, f)
			k.do(f, first)
			c.Assert(first.loader.Resign(context.Background(), "e1"), quicktest.DeepEquals, Handover{})
			p, err := first.loader.Place(context.Background(), first.patient(3)) // nor does it order any more
			c.Assert(err, quicktest.IsNil)
			c.Assert(p.OwnerChanging, quicktest.IsTrue)
		})
	}
}

// Who raised a fence after the owner before was asked may order as soon as its report is new
// enough.
func TestAHandoverThatCameLateIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	f.slots[adapter(7)] = true // loaded by a third box meanwhile
	b := boxAt(f, "second", 1, nil)
	b.loader.AskToResign = func(context.Context, *topology.Endpoint) (Handover, time.Duration) {
		time.Sleep(reportLag)
		return Handover{Resigned: true, Fence: 1, Holding: Holding{Models: []string{model}}}, 0
	}
	b.start(t)
	b.awaitOwned()
	reports, _, _ := f.count()
	c.Assert(reports, quicktest.Equals, 1)
	c.Assert(b.loader.View.Holders(adapter(7)), quicktest.HasLen, 1)
}

// An owner that leaves and can't be asked goes on; a fence would make it take turns with the
// next one.
func TestAnOwnerThatDoesNotAnswerHasStoppedBeforeItsEndpointIsClaimed(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := leaver(t, c, f)
	left := time.Now()
	second := boxAt(f, "second", 1, nil)
	second.loader.AskToResign = func(context.Context, *topology.Endpoint) (Handover, time.Duration) {
		return Handover{}, time.Until(left.Add(KeepMost + 2*ownPause))
	}
	second.start(t)
	for i := 2; first.loader.Keeps("e1"); i++ {
		_, _ = first.loader.Place(context.Background(), forward.AdapterRequest{Endpoint: first.endpoint, Adapter: adapter(i)}) // refused, once its endpoint is full
		time.Sleep(ownPause / 4)
	}
	second.awaitOwned()
	c.Assert(second.loads(1), quicktest.IsTrue)
	_, _, holders := f.count()
	c.Assert(holders, quicktest.DeepEquals, []string{"first", "second"})
}

// Slots were emptied under requests whose boxes had not told the new owner of them yet.
func TestAfterAHandoverNoSlotIsEmptiedBeforeTheBoxesWereHeard(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	o, now := b.loader.owned["e1"], time.Now()
	s := &slot{ready: true}
	o.since = now.Add(-heardAfter)
	c.Assert(b.loader.restsLocked(o, adapter(1), s, now), quicktest.IsTrue)
	o.handed = true // it did not wait for a report
	c.Assert(b.loader.restsLocked(o, adapter(1), s, now), quicktest.IsFalse)
	c.Assert(b.loader.restsLocked(o, adapter(1), s, now.Add(reportLag)), quicktest.IsTrue)
}

// An endpoint that holds no base model, as after its restart, was not asked for: the owner
// that left went on fetching the model while the next one ordered too.
func TestAnEndpointWithoutABaseModelIsAskedForToo(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	b.loader.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "llm", DataCentre: "dc", Slots: 8}))
	asked := make(chan string, 1)
	b.loader.AskToResign = func(_ context.Context, e *topology.Endpoint) (Handover, time.Duration) {
		select {
		case asked <- e.ID():
		default: // once is enough
		}
		return Handover{}, 0
	}
	b.start(t)
	b.awaitOwned()
	select {
	case id := <-asked:
		c.Assert(id, quicktest.Equals, "e1")
	default:
		c.Fatal("nobody was asked")
	}
}

// A box that leaves looked late at what it owns, since its queue was long, and went on with
// its orders while the next owner, which had waited for it, gave its own.
func TestABoxThatLeavesStopsInTimeWithoutALook(t *testing.T) {
	c := quicktest.New(t)
	f := newSharedEndpoint()
	first := leaver(t, c, f)
	l := first.loader
	l.mu.Lock()
	o := l.owned["e1"]
	claim := o.claims
	l.mu.Unlock()
	_, _, owns := l.callBegins(o, claim)
	c.Assert(owns, quicktest.IsTrue)
	l.callEnded(o, claim, Order{}, Done, nil)
	l.mu.Lock()
	l.left = l.left.Add(-KeepMost)
	o.phase, l.owned["e1"] = owning, o // as before the look
	l.mu.Unlock()
	_, _, owns = l.callBegins(o, claim)
	c.Assert(owns, quicktest.IsFalse)
	c.Assert(l.Resign(context.Background(), "e1").Resigned, quicktest.IsFalse)
}
