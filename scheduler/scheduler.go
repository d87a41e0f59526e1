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
type Timing struct {
	SendWindow         time.Duration // a grant must be used within it
	VerifyInterval     time.Duration // between looks at an endpoint's fence
	OwnershipTTL       time.Duration // how long a look vouches for ownership; above Verify
	Backoff            time.Duration // after a refused claim or a lost endpoint
	MaxDeferral        time.Duration // a one-off request is held back so long before it evicts
	PopularityHalfLife time.Duration // of popularity
	LoadTimeout        time.Duration // longest load or unload
}

// Store is the published rate of the weight store.
type StoreLimits struct {
	Rate        float64 // loads a second for the whole system
	Concurrency int     // loads at full speed
}

// Scheduler owns endpoints. Set every exported field before Run.
type Scheduler struct {
	wire.UnimplementedSchedulerServer

	Name             string // as a member
	Box              string
	DataCentre       string // its data centre
	Catalog          func() *catalog.Catalog
	CatalogChanged   func() <-chan struct{} // closes when the catalog changes
	Members          *member.Table
	ListedSchedulers func() []string // schedulers of the data centre, as the platform lists them
	Ready            func() bool     // whether the daemon has joined its data centre
	Dial             func(address string) engine.Endpoint
	Eviction         policy.Eviction
	Weights          policy.Weights
	Timing           Timing
	StoreLimits      StoreLimits
	MaxQueue         int     // requests waiting at one endpoint
	HomeUtilisation  float64 // how full its own load may make one home of an adapter
	LoadWorkers      int     // orders at a time
	Decisions        *decision.Record
	Keys             *KeyLedger
	Log              logr.Logger

	mu              sync.Mutex
	endpoints       map[string]*endpoint // by name; every one of the data centre
	knownSchedulers []string             // serving schedulers as assign last saw them
	leaving         bool                 // hands out no new ownership

	probes       chan *endpoint // to look at
	loadTasks    chan loadTask  // to carry out
	storeBudget  *lockedBudget
	rateLimits   ratelimit.Counter // by endpoint; its lock is taken last and alone
	pendingLoads atomic.Int64      // at all endpoints, and not begun
	stats        stats
}

// stats are the scheduler's figures for /debug/vars.
type stats struct {
	LoadWait *metrics.Histogram // time that requests waited for a load
	Wait     *metrics.Histogram // time that requests waited for a place
	Classes  *metrics.Family    // waits by class
	Callers  *metrics.Family    // waits by caller
	Reasons  *metrics.Family    // waits by reason of the answer
	LoadTime *metrics.Histogram // time of loads
}

const (
	maxLabels         = 64                     // callers, classes or reasons counted apart
	probeWorkers      = 4                      // looks at a time, so that an endpoint that hangs delays few others
	taskBuffer        = 256                    // looks or orders that wait for a worker
	reconcileInterval = 250 * time.Millisecond // between checks for looks that are due
)

// Init prepares the tables; call it before the server takes requests.
func (s *Scheduler) Init() {
	s.endpoints = make(map[string]*endpoint)
	s.probes = make(chan *endpoint, taskBuffer)
	s.loadTasks = make(chan loadTask, taskBuffer)
	s.storeBudget = &lockedBudget{}
	s.stats = stats{
		LoadWait: metrics.NewHistogram(),
		Wait:     metrics.NewHistogram(),
		Classes:  metrics.NewFamily(maxLabels),
		Callers:  metrics.NewFamily(maxLabels),
		Reasons:  metrics.NewFamily(maxLabels),
		LoadTime: metrics.NewHistogram(),
	}
}

// Run keeps ownership, looks and orders going until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	tasks := []daemon.Task{s.reconcileLoop}
	for range probeWorkers {
		tasks = append(tasks, s.probeWorker)
	}
	for range s.LoadWorkers {
		tasks = append(tasks, s.loadWorker)
	}
	return daemon.RunAll(ctx, tasks...)
}

func (s *Scheduler) probeWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.probes:
			s.probe(ctx, e)
		}
	}
}

func (s *Scheduler) loadWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-s.loadTasks:
			s.runLoadTask(ctx, task)
		}
	}
}

// ownLoop follows members and configuration, and schedules looks.
func (s *Scheduler) reconcileLoop(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-s.Members.Changed():
		case <-s.CatalogChanged():
		case <-ticker.C:
		}
	}
}

// Leave makes the scheduler refuse new work; what waits is sent to the next
// owners.
func (s *Scheduler) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		s.relinquishLocked(e, wire.Reason_REASON_NOT_OWNER)
		e.mu.Unlock()
	}
}

// Ping implements the Scheduler service.
func (s *Scheduler) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

// all returns every endpoint of the data centre.
func (s *Scheduler) allEndpoints() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, e)
	}
	return list
}

func (s *Scheduler) findEndpoint(name string) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[name]
}

// Outstanding returns how many grants are not given back and how many requests
// wait.
func (s *Scheduler) Outstanding() (grants, waiting int) {
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		grants += len(e.grants)
		waiting += len(e.waiters)
		e.mu.Unlock()
	}
	return grants, waiting
}
