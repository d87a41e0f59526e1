// SPDX-License-Identifier: Apache-2.0

// Package scheduler owns endpoints: it decides what their slots hold, hands
// out grants to run requests on them, and refuses what cannot be in time.
//
// Each endpoint of the data centre is owned by the scheduler that comes first
// in the rendezvous order of the schedulers believed to serve. Views differ,
// so two may believe it: the endpoint arbitrates by its fence, and a scheduler
// hands out grants only while it has lately seen its own fence there.
//
// assign says which endpoints to own; a look claims one, or sees that it is still owned.
// Acquire answers a request at once or makes it wait; whatever may let a waiting request
// run (a grant given back, a load that ended, a look) calls serveWaitersLocked, which
// hands out grants and plans loads. Orders are carried out by workers.
//
// Lock order: Scheduler.mu before endpoint.mu; neither is held during a call to
// an endpoint. Keys.mu and storeBudget.mu are taken last and alone.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/daemon"
	"cairnwick.example/decision"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/metrics"
	"cairnwick.example/policy"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
)

// Spans are the time spans of a scheduler.
type Spans struct {
	SendWindow time.Duration // a grant must be used within it
	Verify     time.Duration // between looks at an endpoint's fence
	Trust      time.Duration // how long a look vouches for ownership; above Verify
	Backoff    time.Duration // after a refused claim or a lost endpoint
	Patience   time.Duration // a one-off request is held back so long before it evicts
	HalfLife   time.Duration // of popularity
	OrderLimit time.Duration // longest load or unload
}

// Store is the published rate of the weight store.
type Store struct {
	Rate   float64 // loads a second for the whole system
	AtOnce int     // loads at full speed
}

// Scheduler owns endpoints. Set every exported field before Run.
type Scheduler struct {
	wire.UnimplementedSchedulerServer

	Name      string // as a member
	Box       string
	Centre    string // its data centre
	Catalog   func() *catalog.Catalog
	Changed   func() <-chan struct{} // closes when the catalog changes
	Members   *member.Table
	Listed    func() []string // schedulers of the data centre, as the platform lists them
	Ready     func() bool     // whether the daemon has joined its data centre
	Dial      func(address string) engine.Endpoint
	Eviction  policy.EvictionPolicy
	Weights   policy.BatchPolicy
	Spans     Spans
	Store     Store
	QueueMost int     // requests waiting at one endpoint
	HomeShare float64 // how full its own load may make one home of an adapter
	Workers   int     // orders at a time
	Record    *decision.Record
	Keys      *Keys
	Log       logr.Logger

	mu        sync.Mutex
	endpoints map[string]*endpoint // by name; every one of the data centre
	known     []string             // serving schedulers as assign last saw them
	leaving   bool                 // hands out no new ownership

	looks       chan *endpoint // to look at
	orders      chan order     // to carry out
	budget      *storeBudget
	limits      ratelimit.Limiter // by endpoint; its lock is taken last and alone
	loadsWanted atomic.Int64      // at all endpoints, and not begun
	stats       stats
}

// stats are the scheduler's figures for /debug/vars.
type stats struct {
	Stall   *metrics.Histogram // time that requests waited for a load
	Queue   *metrics.Histogram // time that requests waited for a place
	Classes *metrics.Family    // waits by class
	Callers *metrics.Family    // waits by caller
	Reasons *metrics.Family    // waits by reason of the answer
	Load    *metrics.Histogram // time of loads
}

const (
	familyLimit = 64                     // callers, classes or reasons counted apart
	lookWorkers = 4                      // looks at a time, so that an endpoint that hangs delays few others
	jobBuffer   = 256                    // looks or orders that wait for a worker
	ownInterval = 250 * time.Millisecond // between checks for looks that are due
)

// Init prepares the tables; call it before the server takes requests.
func (s *Scheduler) Init() {
	s.endpoints = make(map[string]*endpoint)
	s.looks = make(chan *endpoint, jobBuffer)
	s.orders = make(chan order, jobBuffer)
	s.budget = &storeBudget{}
	s.stats = stats{
		Stall:   metrics.NewHistogram(),
		Queue:   metrics.NewHistogram(),
		Classes: metrics.NewFamily(familyLimit),
		Callers: metrics.NewFamily(familyLimit),
		Reasons: metrics.NewFamily(familyLimit),
		Load:    metrics.NewHistogram(),
	}
}

// Run keeps ownership, looks and orders going until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	tasks := []daemon.Task{s.ownLoop}
	for range lookWorkers {
		tasks = append(tasks, s.lookWorker)
	}
	for range s.Workers {
		tasks = append(tasks, s.orderWorker)
	}
	return daemon.RunAll(ctx, tasks...)
}

func (s *Scheduler) lookWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.looks:
			s.look(ctx, e)
		}
	}
}

func (s *Scheduler) orderWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-s.orders:
			s.carryOut(ctx, o)
		}
	}
}

// ownLoop follows members and configuration, and schedules looks.
func (s *Scheduler) ownLoop(ctx context.Context) error {
	tick := time.NewTicker(ownInterval)
	defer tick.Stop()
	for {
		s.assign(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-s.Members.Changed():
		case <-s.Changed():
		case <-tick.C:
		}
	}
}

// Leave makes the scheduler refuse new work; what waits is sent to the next
// owners.
func (s *Scheduler) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, e := range s.all() {
		e.mu.Lock()
		s.dropLocked(e, wire.Reason_REASON_NOT_OWNER)
		e.mu.Unlock()
	}
}

// Ping implements the Scheduler service.
func (s *Scheduler) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

// all returns every endpoint of the data centre.
func (s *Scheduler) all() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, e)
	}
	return list
}

func (s *Scheduler) find(name string) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[name]
}

// Outstanding returns how many grants are not given back and how many requests
// wait.
func (s *Scheduler) Outstanding() (grants, waiting int) {
	for _, e := range s.all() {
		e.mu.Lock()
		grants += len(e.grants)
		waiting += len(e.waiters)
		e.mu.Unlock()
	}
	return grants, waiting
}
