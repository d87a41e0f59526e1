// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

const (
	model     = "base"
	slotCount = 2
)

// fakeEndpoint is an endpoint that records what it was ordered to hold.
type fakeEndpoint struct {
	mu                 sync.Mutex
	slots              map[topology.Adapter]bool // true: ready
	inUse              map[topology.Adapter]bool // unloading waits for these
	unloadPending      map[topology.Adapter]bool // unloaded once they are not in use
	overfilled         bool                      // it was ordered to load more adapters than it has slots
	loads              []topology.Adapter
	loadTime           time.Duration
	fence              uint64 // highest seen
	fencedBeforeReport bool   // a fence was seen before the first report
	reported           bool
}

// Report implements Control.
func (f *fakeEndpoint) Report(context.Context, *topology.Endpoint) (Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reported {
		f.reported, f.fencedBeforeReport = true, f.fence > 0
	}
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
func (f *fakeEndpoint) Order(_ context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < f.fence {
		return Fenced, nil
	}
	f.fence = o.Fence
	if o.Adapter.Name == "" && f.loads == nil && !f.reported {
		return Done, nil // the base model is loaded
	}
	if o.Unload {
		if f.inUse[o.Adapter] {
			f.unloadPending[o.Adapter] = true
			return Accepted, nil
		}
		delete(f.unloadPending, o.Adapter)
		delete(f.slots, o.Adapter)
		return Done, nil
	}
	if f.unloadPending[o.Adapter] {
		return Busy, nil
	}
	if ready, ok := f.slots[o.Adapter]; ok {
		if ready {
			return Done, nil
		}
		return Accepted, nil
	}
	if len(f.slots) >= slotCount {
		f.overfilled = true
	}
	f.slots[o.Adapter] = false
	f.loads = append(f.loads, o.Adapter)
	time.AfterFunc(f.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if _, ok := f.slots[o.Adapter]; ok {
			f.slots[o.Adapter] = true
		}
	})
	return Accepted, nil
}

func (f *fakeEndpoint) setInUse(a topology.Adapter, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inUse[a] = used
}

// fixture is a loader that owns one fake endpoint.
type fixture struct {
	loader   *Loader
	endpoint *topology.Endpoint
	fake     *fakeEndpoint
}

func adapter(n int) topology.Adapter {
	return topology.Adapter{Model: model, Name: fmt.Sprintf("x%d", n)}
}

func newOwningFixture(t *testing.T, atOnce float64) *fixture {
	b := newFixture(atOnce)
	b.start(t)
	b.awaitOwned()
	return b
}

// newFixture returns a loader that is not running.
func newFixture(atOnce float64) *fixture {
	v := topology.NewView()
	engine := &topology.EngineSpec{Models: []topology.ModelSpec{{Name: model}}, AdapterSlots: slotCount, LoadsPerSec: 10}
	v.SetConfig(topology.NewConfig(1, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "llm", Engine: engine})}, topology.RequestLimits{}))
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
	v.SetEndpoint(e)
	fake := &fakeEndpoint{slots: make(map[topology.Adapter]bool), inUse: make(map[topology.Adapter]bool), unloadPending: make(map[topology.Adapter]bool), loadTime: 20 * time.Millisecond}
	l := &Loader{
		Box:         "box",
		View:        v,
		Control:     fake,
		Limits:      func() RateLimits { return DefaultRateLimits },
		Log:         logr.Discard(),
		Fences:      &Fences{Process: 1},
		Lease:       func() time.Duration { return 100 * time.Millisecond },
		Leaders:     func() int { return 1 },
		PrefillTime: func(tokens int) time.Duration { return time.Duration(tokens) * 25 * time.Microsecond },
		Owns:        func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, time.Time{} },
		AskToResign: func(context.Context, *topology.Endpoint) (Handover, time.Duration) { return Handover{}, 0 },
		Publish: func(_ string, _ uint64, held map[topology.Adapter]topology.AdapterState) {
			v.SetAdapterStates("e1", held)
		},
	}
	l.Init()
	l.loadLimiter.limit = atOnce
	return &fixture{loader: l, endpoint: e, fake: fake}
}

func (b *fixture) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.loader.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func (b *fixture) awaitOwned() {
	for {
		b.loader.mu.Lock()
		o := b.loader.owned["e1"]
		owns := o != nil && o.phase == owning
		b.loader.mu.Unlock()
		if owns {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *fixture) want(a topology.Adapter, wait time.Duration) (forward.PlacementResult, error) {
	return b.loader.Place(context.Background(), forward.AdapterRequest{Endpoint: b.endpoint, Adapter: a, TargetWait: wait, MaxWait: wait})
}

// patientRequest returns a request for an adapter that can wait long.
func (b *fixture) patientRequest(i int) forward.AdapterRequest {
	return forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(i), Version: 1, TargetWait: 10 * time.Second, MaxWait: 10 * time.Second}
}

func TestRequestedAdapterIsLoaded(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	p, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
}

// An adapter whose unload waited for its requests to end was loaded again while its slot was
// counted as free: the endpoint got one load too many.
func TestAdapterIsNotLoadedWhileItIsEvicted(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	for i := 1; i <= slotCount; i++ {
		_, err := b.want(adapter(i), 5*time.Second)
		c.Assert(err, quicktest.IsNil)
		b.fake.setInUse(adapter(i), true)
	}
	time.Sleep(4 * usageSettleTime) // so that they count as idle
	done := make(chan struct{})
	for _, i := range []int{3, 1, 2, 4} { // one evicts an adapter in use, which is then requested again
		go func() {
			_, _ = b.want(adapter(i), 2*time.Second) // may be refused
			done <- struct{}{}
		}()
		time.Sleep(3 * queueInterval)
	}
	for i := 1; i <= slotCount; i++ {
		b.fake.setInUse(adapter(i), false)
	}
	for range 2 * slotCount {
		<-done
	}
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.overfilled, quicktest.IsFalse)
}

func TestAdapterWithMoreUnservedRequestsIsLoadedFirst(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 1)
	b.fake.loadTime = 300 * time.Millisecond
	_, _ = b.want(adapter(1), 0) // in progress during the requests below
	c.Assert(b.eventuallyLoads(adapter(1)), quicktest.IsTrue)
	_, _ = b.want(adapter(10), 0)
	for range 4 {
		_, _ = b.want(adapter(11), 0)
	}
	c.Assert(b.eventuallyLoads(adapter(10)), quicktest.IsTrue)
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.loads, quicktest.DeepEquals, []topology.Adapter{adapter(1), adapter(11), adapter(10)})
}

func (b *fixture) eventuallyLoads(a topology.Adapter) bool {
	for range 500 {
		b.fake.mu.Lock()
		_, ok := b.fake.slots[a]
		b.fake.mu.Unlock()
		if ok {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestEndpointWithoutBaseModelGetsOne(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.mu.Lock()
	b.loader.owned["e1"].models = make(map[string]bool)
	b.loader.mu.Unlock()
	c.Assert(b.eventuallyLoads(topology.Adapter{Model: model}), quicktest.IsTrue)
}

func TestNextFenceIsAboveAllKnownFences(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := &Fences{Process: 7}
	first := f.Next(now, 0, 0)
	c.Assert(f.Next(now, first, 0) > first, quicktest.IsTrue)
	f.Observe(term(first) + 5000) // from an owner whose clock is ahead
	c.Assert(term(f.Next(now, 0, 0)), quicktest.Equals, term(first)+5001)
	c.Assert(f.Next(now, 0, 0) < 1<<53, quicktest.IsTrue)
	c.Assert(f.Next(now, 0, 0)&(1<<processBits-1), quicktest.Equals, uint64(7))
	given := f.Next(now, 0, 0)
	f.Advance()
	c.Assert(f.Next(now, 0, 0) > given, quicktest.IsTrue)
}

// Each claim of each endpoint used a new term, so terms ran ahead of the clock by a minute. After
// a restart of all boxes, fences made from the clock were refused.
func TestTermsDoNotRunAheadOfTheClock(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := &Fences{Process: 7}
	first := f.Next(now, 0, 0)
	for range 20 { // endpoints claimed together
		c.Assert(f.Next(now, 0, 0), quicktest.Equals, first)
	}
	for range 20 { // and refused together
		c.Assert(term(f.Next(now, first, 1)), quicktest.Equals, term(first)+termRaiseFactor)
	}
}

// After a restart of all boxes the endpoints remembered the fence of a box whose clock had been
// ahead. The new owner backed off for the lease, although no box owned them.
func TestEndpointThatRefusesFirstFenceIsClaimedAgainAtOnce(t *testing.T) {
	c := quicktest.New(t)
	ahead := (&Fences{Process: 2}).Next(time.Now().Add(30*time.Second), 0, 0)
	b := newFixture(4)
	b.fake.fence = ahead
	b.loader.Lease = func() time.Duration { return time.Hour }
	b.start(t)
	b.awaitOwned()
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.fence > ahead, quicktest.IsTrue)
}

// The wait of a retry was restarted at each re-evaluation, so that from the end of the wait until
// the load began the loop spun.
func TestRetryIsRefusedAtTheEndOfItsWait(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 0) // nothing is loaded
	refused := make(chan forward.PlacementResult, 1)
	go func() {
		p, _ := b.loader.Place(context.Background(), forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(9), MaxWait: 50 * time.Millisecond, Retried: true})
		refused <- p
	}()
	select {
	case p := <-refused:
		c.Assert(p.Ready, quicktest.IsFalse)
	case <-time.After(20 * time.Second):
		c.Fatal("no response within 20 s")
	}
}

// After a slow load the next one was polled late, and so appeared to take long as well.
func TestSlowLoadDoesNotDelayPollsOfTheNext(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.mu.Lock()
	b.loader.coldLoadTime, b.loader.loadLimiter.fastest = 5*time.Second, 20*time.Millisecond
	b.loader.mu.Unlock()
	begun := time.Now()
	p, err := b.want(adapter(1), 20*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Ready, quicktest.IsTrue)
	c.Assert(time.Since(begun) < 3*time.Second, quicktest.IsTrue) // late polls would take it to four seconds; the bound is on the polling, not on speed
}

// A slow previous owner that did not know of its replacement ordered a load after the new owner
// had read the report, and the endpoint got more loads than it has slots.
func TestFenceIsRaisedBeforeReportIsRead(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.fake.mu.Lock()
	claimed, fence := b.fake.fencedBeforeReport, b.fake.fence
	b.fake.mu.Unlock()
	c.Assert(claimed, quicktest.IsTrue)
	out, err := b.fake.Order(context.Background(), b.endpoint, Order{Adapter: adapter(1), Fence: fence - 1})
	c.Assert(err, quicktest.IsNil)
	c.Assert(out, quicktest.Equals, Fenced) // an order of the previous owner
}

// Guards against memory that grows with the number of adapters that callers ever named.
func TestRatesOfAdaptersAreForgotten(t *testing.T) {
	c := quicktest.New(t)
	l, _ := newIdleLoader("e1")
	now := time.Now()
	for i := range 1000 {
		l.countRequestsLocked(adapter(i), 1, now)
	}
	l.pruneRequestRatesLocked(now)
	c.Assert(l.requestRates, quicktest.HasLen, 1000)
	now = now.Add(10 * requestRateHalfLife)
	l.countRequestsLocked(adapter(7), 1, now)
	l.pruneRequestRatesLocked(now)
	c.Assert(l.requestRates, quicktest.HasLen, 1)
}
