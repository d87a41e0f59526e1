// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"sync"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// startingEndpoint is an endpoint whose entry names no base model. It checks fences, counts the orders that it has taken, and its
// reports lag behind.
type startingEndpoint struct {
	lag time.Duration

	mu        sync.Mutex
	fence     uint64
	sequence  uint64
	loading   bool // the base model
	loaded    bool
	adapters  map[topology.Adapter]bool // true: ready
	inventory []laggingInventory        // after each change, oldest first
	orders    int                       // orders that began the load of a base model
}

type laggingInventory struct {
	at time.Time
	Inventory
}

func newStartingEndpoint(lag time.Duration) *startingEndpoint {
	f := &startingEndpoint{lag: lag, adapters: make(map[topology.Adapter]bool)}
	f.changedLocked()
	return f
}

func (f *startingEndpoint) changedLocked() {
	h := Inventory{Sequence: f.sequence, Ordering: f.loading, Ready: make(map[topology.Adapter]int64), Pending: make(map[topology.Adapter]int64)}
	if f.loaded {
		h.Models = []string{model}
	}
	for a, ready := range f.adapters {
		if ready {
			h.Ready[a] = 1
		} else {
			h.Pending[a] = 1
		}
	}
	f.inventory = append(f.inventory, laggingInventory{at: time.Now(), Inventory: h})
}

// Report implements Control.
func (f *startingEndpoint) Report(context.Context, *topology.Endpoint) (Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().Add(-f.lag)
	h := f.inventory[0].Inventory
	for _, i := range f.inventory {
		if i.at.Before(at) {
			h = i.Inventory
		}
	}
	return h, nil
}

// Order implements Control.
func (f *startingEndpoint) Order(_ context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < f.fence {
		return Fenced, nil
	}
	f.fence = o.Fence
	if o.IsConditional && o.Sequence != f.sequence {
		return Busy, nil
	}
	if o.Adapter.Name == "" {
		return f.orderModelLocked(), nil
	}
	if _, there := f.adapters[o.Adapter]; there && o.Unload {
		f.sequence++
		delete(f.adapters, o.Adapter)
		f.changedLocked()
		return Done, nil
	}
	if ready, there := f.adapters[o.Adapter]; !f.loaded || o.Unload || there {
		if ready {
			return Done, nil
		}
		return Accepted, nil
	}
	f.sequence++
	f.adapters[o.Adapter] = false
	f.changedLocked()
	f.later(30*time.Millisecond, func() {
		if _, there := f.adapters[o.Adapter]; there {
			f.adapters[o.Adapter] = true
		}
	})
	return Accepted, nil
}

func (f *startingEndpoint) orderModelLocked() Outcome {
	switch {
	case f.loading:
		return Busy
	case f.loaded:
		return Done
	}
	f.sequence++
	f.orders++
	f.loading = true
	f.changedLocked()
	f.later(600*time.Millisecond, func() { f.loading, f.loaded = false, true })
	return Accepted
}

func (f *startingEndpoint) later(after time.Duration, change func()) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
		f.changedLocked()
	})
}

// orderUntilFenced gives orders as an owner that is cut off from the other boxes: the base model, and then adapters one after the other.
func (f *startingEndpoint) orderUntilFenced(ctx context.Context) {
	fence := (&Fences{Process: 1}).Next(time.Now().Add(-10*time.Second), 0, 0)
	next := 0
	for out := Accepted; out != Fenced && ctx.Err() == nil && next < 500; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		loaded := f.loaded
		f.mu.Unlock()
		d := Order{Adapter: topology.Adapter{Model: model}, Fence: fence, Holder: "previous"}
		if loaded {
			next++
			d.Adapter = adapter(1000 + next)
		}
		out, _ = f.Order(ctx, nil, d)
	}
}

// newStartingFixture returns a loader that is to own an endpoint without a base model.
func newStartingFixture(f *startingEndpoint) *fixture {
	b := newFixture(4)
	b.endpoint = topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "llm", DataCentre: "dc", Slots: 8})
	b.loader.View.SetEndpoint(b.endpoint)
	b.loader.Control = f
	return b
}

// unknown returns how many adapters the endpoint holds that its owner does not know.
func (b *fixture) unknown(f *startingEndpoint) int {
	b.loader.mu.Lock()
	known := make(map[topology.Adapter]bool)
	if o := b.loader.owned["e1"]; o != nil {
		for a := range o.slots {
			known[a] = true
		}
	}
	b.loader.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	unknown := 0
	for a := range f.adapters {
		if !known[a] {
			unknown++
		}
	}
	return unknown
}

// Guards against a claim that raises no fence at an endpoint without a base model: the previous owner, which is cut off, goes on loading
// adapters that the new one does not know of, and together they exceed the slots.
func TestPreviousOwnerOrdersNothingAfterTheClaimOfAnEmptyEndpoint(t *testing.T) {
	for _, k := range []struct {
		name   string
		lag    time.Duration // of reports
		before time.Duration // how long the previous owner has given orders when the claim begins; negative: it begins later
	}{
		{"while it loads the base model", reportLag / 4, 200 * time.Millisecond},
		{"before the report shows its order", reportLag * 3 / 4, 20 * time.Millisecond},
		{"once it has loaded adapters", reportLag / 4, 800 * time.Millisecond},
		{"before its first order", reportLag / 4, -300 * time.Millisecond},
		{"just before its first order", reportLag * 3 / 4, -20 * time.Millisecond},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			f := newStartingEndpoint(k.lag)
			time.Sleep(k.lag)
			b := newStartingFixture(f)
			if k.before < 0 {
				b.start(t)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				time.Sleep(max(-k.before, 0))
				f.orderUntilFenced(t.Context())
			}()
			if k.before >= 0 {
				time.Sleep(k.before)
				b.start(t)
			}
			b.awaitOwned()
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
			}
			time.Sleep(100 * time.Millisecond)
			c.Check(b.unknown(f), quicktest.Equals, 0)
			f.mu.Lock()
			defer f.mu.Unlock()
			c.Check(f.orders, quicktest.Equals, 1)
			c.Check(f.fence, quicktest.Equals, b.fence())
		})
	}
}

// fence returns the fence with which the loader owns the endpoint.
func (b *fixture) fence() uint64 {
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	return b.loader.owned["e1"].fence
}

// Guards against an owner that takes a base model that somebody else has loaded for one without adapters.
func TestBaseModelOfAnotherOwnerIsReadAgain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newStartingEndpoint(reportLag / 4)
	b := newStartingFixture(f)
	l := b.loader
	o := &ownedEndpoint{endpoint: b.endpoint, phase: owning, claims: 1, fence: 1}
	l.owned["e1"] = o
	f.loaded = true
	l.loadModel(c.Context(), o, 1, model, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Check(o.needsReclaim, quicktest.IsTrue)
	c.Check(o.models[model], quicktest.IsFalse)
}
