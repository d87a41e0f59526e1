// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/decision"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// fakeEngine is an in-memory engine.Endpoint.
type fakeEngine struct {
	mu         sync.Mutex
	fence      engine.Fence
	boot       string
	slots      map[string]bool
	loadError  error    // result of every load
	failUnload error    // result of every unload; nil: it is carried out
	operations []string // loads and unloads, in order
}

func (f *fakeEngine) state() engine.State { return engine.NewState(f.fence, f.boot) }

// ReadState implements engine.Endpoint.
func (f *fakeEngine) ReadState(context.Context) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(), nil
}

// Claim implements engine.Endpoint.
func (f *fakeEngine) Claim(_ context.Context, x engine.Fence) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence = x
	return f.state(), nil
}

// Load implements engine.Endpoint.
func (f *fakeEngine) Load(_ context.Context, u engine.Lease, name, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operations = append(f.operations, "load "+name)
	if u.Fence.Less(f.fence) {
		return &engine.RefusedError{Code: engine.CodeStaleFence, HighestFence: f.fence}
	}
	if f.loadError == nil {
		f.slots[name] = true
	}
	return f.loadError
}

// Unload implements engine.Endpoint.
func (f *fakeEngine) Unload(_ context.Context, _ engine.Lease, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operations = append(f.operations, "unload "+name)
	if f.failUnload != nil {
		return f.failUnload
	}
	delete(f.slots, name)
	return nil
}

// Models implements engine.Endpoint.
func (f *fakeEngine) Models(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for n := range f.slots {
		list = append(list, n)
	}
	return list, nil
}

// Report implements engine.Endpoint. No request is running.
func (f *fakeEngine) Report(context.Context) (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return engine.NewReport(f.state(), nil), nil
}

func (f *fakeEngine) sentOperations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.operations...)
}

// fixture is a scheduler with one endpoint, e1, with two slots and a limit of two running requests.
type fixture struct {
	*quicktest.C

	scheduler *Scheduler
	engine    *fakeEngine
	catalog   *catalog.Catalog
}

func newFixture(t *testing.T, loaded ...string) *fixture {
	f := &fixture{C: quicktest.New(t), engine: &fakeEngine{boot: "1", slots: make(map[string]bool)}}
	for _, n := range loaded {
		f.engine.slots[n] = true
	}
	f.catalog = f.buildCatalog("serving", true)
	self := member.New("box/scheduler", "127.0.0.1:1", member.Scheduler, "d1", 1)
	f.scheduler = &Scheduler{
		Name: "box/scheduler", Box: "box", DataCentre: "d1",
		Catalog:          func() *catalog.Catalog { return f.catalog },
		CatalogChanged:   func() <-chan struct{} { return nil },
		Members:          member.NewTable(self, member.TableOptions{SuspectTimeout: time.Second, DeadRetention: time.Minute, FreshFor: time.Second}),
		ListedSchedulers: func() []string { return []string{"box/scheduler"} },
		Ready:            func() bool { return true },
		Dial:             func(string) engine.Endpoint { return f.engine },
		Eviction:         must(policy.NewEvictionPolicy(policy.EvictLeastRecentlyUsed)),
		Timing:           Timing{SendWindow: 20 * time.Millisecond, VerifyInterval: 10 * time.Millisecond, OwnershipTTL: 200 * time.Millisecond, Backoff: 20 * time.Millisecond, PopularityHalfLife: time.Minute, LoadTimeout: time.Second},
		StoreLimits:      StoreLimits{Rate: 1000, Concurrency: 8},
		MaxQueue:         4,
		HomeUtilisation:  0.5,
		LoadWorkers:      2,
		Decisions:        decision.NewHistory(16),
		Keys:             NewKeyLedger(KeyTiming{ClockSkew: time.Second, Retention: time.Minute}, 4, time.Now()),
		Log:              logr.Discard(),
	}
	f.scheduler.Init()
	return f
}

func must(e policy.EvictionPolicy, err error) policy.EvictionPolicy {
	if err != nil {
		panic(err)
	}
	return e
}

// buildCatalog returns a configuration in which e1 has the state, and checks fences or does not.
func (f *fixture) buildCatalog(state string, checks bool) *catalog.Catalog {
	shards := map[string][]byte{"all": []byte(fmt.Sprintf(`{
		"bases": [{"name": "b"}],
		"classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}, {"name": "urgent", "deadline": "5s"}, {"name": "night", "may_wait": "1h", "deadline": "2h"}],
		"endpoints": [{"name": "e1", "data_centre": "d1", "base": "b", "address": "127.0.0.1:9", "slots": 2, "running": 2, "checks_fences": %v, "state": %q}],
		"adapters": [{"name": "a", "base": "b", "versions": {"1": "p/a"}}, {"name": "b", "base": "b", "versions": {"1": "p/b"}}, {"name": "c", "base": "b", "versions": {"1": "p/c"}}]}`, checks, state))}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	f.Assert(err, quicktest.IsNil)
	c, err := catalog.Build(h, shards, nil)
	f.Assert(err, quicktest.IsNil)
	return c
}

// run starts the scheduler's background tasks.
func (f *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.scheduler.Run(ctx) }()
	f.Cleanup(func() {
		cancel()
		<-ended
	})
}

// own makes the scheduler own the endpoint without starting its background tasks.
func (f *fixture) own() *endpoint {
	s := f.scheduler
	s.reconcile(time.Now())
	s.probe(context.Background(), <-s.probes)
	return s.findEndpoint("e1")
}

func (f *fixture) acquire(adapter, class string) *wire.AcquireReply {
	a, err := f.scheduler.Acquire(context.Background(), &wire.AcquireRequest{
		Request: "r", Endpoint: "e1", Adapter: adapter, Class: class, Caller: "till", WaitMicros: (2 * time.Second).Microseconds(),
	})
	f.Assert(err, quicktest.IsNil)
	return a
}

func (f *fixture) release(a *wire.AcquireReply, o wire.Outcome) {
	_, err := f.scheduler.Release(context.Background(), &wire.ReleaseRequest{Endpoint: "e1", Id: a.GetGrant().GetId(), Outcome: o})
	f.Assert(err, quicktest.IsNil)
}
