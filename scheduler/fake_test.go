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

// fakeEngine is an engine.Endpoint in memory.
type fakeEngine struct {
	mu     sync.Mutex
	fence  engine.Fence
	boot   string
	slots  map[string]bool
	refuse error    // answers every load
	orders []string // load and unload, in order
}

func (f *fakeEngine) sight() engine.State { return engine.NewState(f.fence, f.boot) }

// ReadState implements engine.Endpoint.
func (f *fakeEngine) ReadState(context.Context) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sight(), nil
}

// Claim implements engine.Endpoint.
func (f *fakeEngine) Claim(_ context.Context, x engine.Fence) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fence = x
	return f.sight(), nil
}

// Load implements engine.Endpoint.
func (f *fakeEngine) Load(_ context.Context, u engine.Lease, name, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, "load "+name)
	if u.Fence.Less(f.fence) {
		return &engine.RefusedError{Code: engine.CodeStaleFence, HighestFence: f.fence}
	}
	if f.refuse == nil {
		f.slots[name] = true
	}
	return f.refuse
}

// Unload implements engine.Endpoint.
func (f *fakeEngine) Unload(_ context.Context, _ engine.Lease, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, "unload "+name)
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

// Report implements engine.Endpoint: nothing runs.
func (f *fakeEngine) Report(context.Context) (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return engine.NewReport(f.sight(), nil), nil
}

func (f *fakeEngine) ordered() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.orders...)
}

// bench is a scheduler with one endpoint e1 of two slots and a batch of two.
type bench struct {
	*quicktest.C

	scheduler *Scheduler
	engine    *fakeEngine
	catalog   *catalog.Catalog
}

func newBench(t *testing.T, loaded ...string) *bench {
	b := &bench{C: quicktest.New(t), engine: &fakeEngine{boot: "1", slots: make(map[string]bool)}}
	for _, n := range loaded {
		b.engine.slots[n] = true
	}
	b.catalog = b.configure("serving", true)
	self := member.New("box/scheduler", "127.0.0.1:1", member.Scheduler, "d1", 1)
	b.scheduler = &Scheduler{
		Name: "box/scheduler", Box: "box", Centre: "d1",
		Catalog:   func() *catalog.Catalog { return b.catalog },
		Changed:   func() <-chan struct{} { return nil },
		Members:   member.NewTable(self, member.Limits{SuspectFor: time.Second, ForgetDead: time.Minute, Fresh: time.Second}),
		Listed:    func() []string { return []string{"box/scheduler"} },
		Ready:     func() bool { return true },
		Dial:      func(string) engine.Endpoint { return b.engine },
		Eviction:  must(policy.NewEviction(policy.EvictOldest)),
		Spans:     Spans{SendWindow: 20 * time.Millisecond, Verify: 10 * time.Millisecond, Trust: 200 * time.Millisecond, Backoff: 20 * time.Millisecond, HalfLife: time.Minute, OrderLimit: time.Second},
		Store:     Store{Rate: 1000, AtOnce: 8},
		QueueMost: 4,
		HomeShare: 0.5,
		Workers:   2,
		Record:    decision.NewRecord(16),
		Keys:      NewKeys(KeySpans{Margin: time.Second, Keep: time.Minute}, 4, time.Now()),
		Log:       logr.Discard(),
	}
	b.scheduler.Init()
	return b
}

func must(e policy.Eviction, err error) policy.Eviction {
	if err != nil {
		panic(err)
	}
	return e
}

// configure makes a configuration in which e1 has the state and checks fences or
// not.
func (b *bench) configure(state string, checks bool) *catalog.Catalog {
	shards := map[string][]byte{"all": []byte(fmt.Sprintf(`{
		"bases": [{"name": "b"}],
		"classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}, {"name": "urgent", "deadline": "5s"}, {"name": "night", "may_wait": "1h", "deadline": "2h"}],
		"endpoints": [{"name": "e1", "data_centre": "d1", "base": "b", "address": "127.0.0.1:9", "slots": 2, "running": 2, "checks_fences": %v, "state": %q}],
		"adapters": [{"name": "a", "base": "b", "versions": {"1": "p/a"}}, {"name": "b", "base": "b", "versions": {"1": "p/b"}}, {"name": "c", "base": "b", "versions": {"1": "p/c"}}]}`, checks, state))}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	b.Assert(err, quicktest.IsNil)
	c, err := catalog.Build(h, shards, nil)
	b.Assert(err, quicktest.IsNil)
	return c
}

// run starts the scheduler's own work.
func (b *bench) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.scheduler.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
}

// own makes the scheduler own the endpoint without its own work running.
func (b *bench) own() *endpoint {
	s := b.scheduler
	s.assign(time.Now())
	s.look(context.Background(), <-s.looks)
	return s.find("e1")
}

func (b *bench) ask(adapter, class string) *wire.AcquireReply {
	a, err := b.scheduler.Acquire(context.Background(), &wire.AcquireRequest{
		Request: "r", Endpoint: "e1", Adapter: adapter, Class: class, Caller: "till", WaitMicros: (2 * time.Second).Microseconds(),
	})
	b.Assert(err, quicktest.IsNil)
	return a
}

func (b *bench) release(a *wire.AcquireReply, o wire.Outcome) {
	_, err := b.scheduler.Release(context.Background(), &wire.ReleaseRequest{Endpoint: "e1", Id: a.GetGrant().GetId(), Outcome: o})
	b.Assert(err, quicktest.IsNil)
}
