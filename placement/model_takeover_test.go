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

// singleModelEndpoint is an endpoint with room for one of several base models. It carries out one order at a time, and its reports
// lag behind.
type singleModelEndpoint struct {
	mu         sync.Mutex
	loading    string // the base model that it loads
	loaded     string
	changedAt  time.Time // its reports show the state before until reportLag later
	before     Inventory
	overloaded bool // it was ordered to load more than it holds
}

func (f *singleModelEndpoint) inventoryLocked() Inventory {
	h := Inventory{Ordering: f.loading != "", Ready: map[topology.Adapter]int64{}, Pending: map[topology.Adapter]int64{}}
	if f.loaded != "" {
		h.Models = []string{f.loaded}
	}
	return h
}

// load begins to load a base model.
func (f *singleModelEndpoint) load(name string, takes time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before, f.changedAt, f.loading = f.inventoryLocked(), time.Now(), name
	time.AfterFunc(takes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.before, f.changedAt = f.inventoryLocked(), time.Now()
		f.loaded, f.loading = name, ""
	})
}

// Report implements Control.
func (f *singleModelEndpoint) Report(context.Context, *topology.Endpoint) (Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.changedAt) < reportLag/2 {
		return f.before, nil
	}
	return f.inventoryLocked(), nil
}

// Order implements Control.
func (f *singleModelEndpoint) Order(_ context.Context, _ *topology.Endpoint, o Order) (Outcome, error) {
	f.mu.Lock()
	switch {
	case f.loading != "":
		f.mu.Unlock()
		return Busy, nil
	case f.loaded == o.Adapter.Model:
		f.mu.Unlock()
		return Done, nil
	case f.loaded != "":
		f.overloaded = true
		f.mu.Unlock()
		return Accepted, nil
	}
	f.mu.Unlock()
	f.load(o.Adapter.Model, time.Second)
	return Accepted, nil
}

// newModelFixture returns a loader that owns an empty endpoint of an engine with two base models, of which the other one is the
// rarest.
func newModelFixture(f *singleModelEndpoint) *fixture {
	b := newFixture(4)
	engine := &topology.EngineSpec{Models: []topology.ModelSpec{{Name: "m0", WeightsMB: 60}, {Name: "m1", WeightsMB: 60}}, MemoryMB: 70, AdapterSlots: slotCount, LoadsPerSec: 10}
	b.loader.View.SetConfig(topology.NewConfig(2, nil, []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "llm", Engine: engine})}, topology.RequestLimits{}))
	b.endpoint = topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "llm", DataCentre: "dc", Slots: 8})
	b.loader.View.SetEndpoint(b.endpoint)
	b.loader.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e2", Service: "llm", DataCentre: "other", Slots: 8, Models: []string{"m0"}}))
	b.loader.Owns = func(e *topology.Endpoint, _ time.Time) (bool, time.Time) { return e.ID() == "e1", time.Time{} }
	b.loader.Control = f
	return b
}

// knownModels returns the base models that the owner knows at the endpoint.
func (b *fixture) knownModels() map[string]bool {
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	held := make(map[string]bool)
	if o := b.loader.owned["e1"]; o != nil {
		for m := range o.models {
			held[m] = true
		}
	}
	return held
}

// Guards against a leader that takes over while an endpoint loads a base model, and orders another one beyond its memory.
func TestNewOwnerOrdersNoSecondBaseModel(t *testing.T) {
	for _, k := range []struct {
		name   string
		before time.Duration // from the previous owner's order until the takeover
	}{
		{"while the report shows the order", reportLag},
		{"before the report shows the order", 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			f := &singleModelEndpoint{}
			b := newModelFixture(f)
			f.load("m0", 2*time.Second)
			time.Sleep(k.before)
			b.start(t)
			for range 800 {
				if b.knownModels()["m0"] {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.Check(b.knownModels(), quicktest.DeepEquals, map[string]bool{"m0": true})
			time.Sleep(2 * reportLag)
			f.mu.Lock()
			defer f.mu.Unlock()
			c.Check(f.overloaded, quicktest.IsFalse)
			c.Check(f.loaded, quicktest.Equals, "m0")
		})
	}
}

// Guards against an owner that repeats an order that the endpoint has rejected for another one, after which it may hold something
// else.
func TestOwnerAsksAnEndpointThatIsBusyWithAnotherOrder(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := &singleModelEndpoint{}
	b := newModelFixture(f)
	stale := Inventory{Ready: map[topology.Adapter]int64{}, Pending: map[topology.Adapter]int64{}}
	first := true
	b.loader.Control = reportHook{Control: f, report: func(h Inventory) Inventory {
		if first { // an order of the previous owner arrives after the report
			first = false
			f.load("m0", 2*time.Second)
			return stale
		}
		return h
	}}
	b.start(t)
	for range 800 {
		if b.knownModels()["m0"] {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(b.knownModels(), quicktest.DeepEquals, map[string]bool{"m0": true})
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Check(f.overloaded, quicktest.IsFalse)
}

// reportHook changes reports.
type reportHook struct {
	Control

	report func(h Inventory) Inventory
}

// Report implements Control.
func (r reportHook) Report(ctx context.Context, e *topology.Endpoint) (Inventory, error) {
	h, err := r.Control.Report(ctx, e)
	return r.report(h), err
}

// Guards against a base model that is ordered beyond the memory of an endpoint whose order before took longer than its claim waited.
func TestEndpointClaimedDuringAnOrderGetsNoBaseModel(t *testing.T) {
	c := quicktest.New(t)
	for _, ordering := range []bool{true, false} {
		b := newModelFixture(&singleModelEndpoint{})
		l := b.loader
		l.Init()
		o := &ownedEndpoint{endpoint: b.endpoint, phase: claiming}
		l.owned["e1"] = o
		l.takeOwnership(c.Context(), o, 1, Inventory{Ordering: ordering}, false)
		l.mu.Lock()
		tasks := l.startModelLoadsLocked(time.Now())
		tasks = append(tasks, l.startModelLoadsLocked(time.Now().Add(10*time.Second))...) // the rate allows one by then
		l.mu.Unlock()
		c.Check(len(tasks) == 0, quicktest.Equals, ordering)
	}
}
