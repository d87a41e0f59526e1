// SPDX-License-Identifier: Apache-2.0

// Package scheduler owns endpoints: it decides which adapters their slots hold, issues grants to run
// requests on them, and refuses requests that cannot run in time.
//
// Each endpoint of a data centre is owned by the serving scheduler that comes first in rendezvous
// order. Views of the members differ, so two schedulers may both consider themselves the owner: the
// endpoint's fence decides between them, and a scheduler issues grants only while it has recently
// seen its own fence there.
//
// Scheduler.reconcile decides which endpoints to own; a probe claims one, or verifies that it is
// still owned. Acquire replies to a request immediately or queues it. Every event that may let a
// queued request run (a released grant, a finished load, a probe) calls serveWaitersLocked, which
// issues grants and plans loads. Workers execute the loads and unloads.
//
// Lock order: Scheduler.mu before endpoint.mu; neither is held during a call to an endpoint.
// KeyLedger.mu, lockedBudget.mu and lockedSpeeds.mu are taken last, never together.
package scheduler

import (
	"context"
	"math/rand/v2"
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

// Timing holds the durations that a scheduler uses.
type Timing struct {
	SendWindow         time.Duration // a grant must be used within it
	VerifyInterval     time.Duration // between probes of an endpoint's fence
	OwnershipTTL       time.Duration // how long a probe proves ownership; above VerifyInterval
	Backoff            time.Duration // after a refused claim or an endpoint that did not answer
	MaxDeferral        time.Duration // how long a one-off request waits before it may evict an adapter
	PopularityHalfLife time.Duration
	LoadTimeout        time.Duration // longest time for an unload and load
}

// StoreLimits holds the published limits of the weight store.
type StoreLimits struct {
	Rate        float64 // loads a second for the whole system
	Concurrency int     // concurrent loads at full speed
}

// Scheduler owns endpoints. Set every exported field before Run.
type Scheduler struct {
	wire.UnimplementedSchedulerServer

	Name             string // as a member
	Box              string
	DataCentre       string
	Catalog          func() *catalog.Catalog
	CatalogChanged   func() <-chan struct{} // closed when the catalog changes
	Members          *member.Table
	ListedSchedulers func() []string // schedulers of the data centre, as the platform lists them
	Ready            func() bool     // whether the daemon has joined its data centre
	Dial             func(address string) engine.Endpoint
	Eviction         policy.EvictionPolicy
	BatchPolicy      policy.BatchPolicy
	Timing           Timing
	StoreLimits      StoreLimits
	MaxQueue         int     // queued requests per endpoint
	HomeUtilisation  float64 // how far an adapter's own load may utilise one of its homes
	LoadWorkers      int     // concurrent loads and unloads
	Decisions        *decision.History
	Keys             *KeyLedger
	Log              logr.Logger

	mu              sync.Mutex
	endpoints       map[string]*endpoint // by name; all endpoints of the data centre
	knownSchedulers []string             // serving schedulers at the last reconcile
	leaving         bool                 // takes no new ownership

	probes       chan *endpoint // endpoints to probe
	loadTasks    chan loadTask  // loads and unloads to execute
	storeBudget  *lockedBudget
	process      uint32            // random, in this scheduler's fences
	speeds       lockedSpeeds      // of the endpoints' incarnations
	rateLimits   ratelimit.Limiter // by endpoint; its lock is taken last, with no other after it
	pendingLoads atomic.Int64      // at all endpoints, not yet begun
	stats        stats
}

// stats are the scheduler's metrics in /debug/vars.
type stats struct {
	LoadWait *metrics.Histogram // time that granted requests waited for a load
	Wait     *metrics.Histogram // time that granted requests waited in all
	Classes  *metrics.Family    // waiting time by class
	Callers  *metrics.Family    // waiting time by caller
	Reasons  *metrics.Family    // waiting time by reason of the reply
	LoadTime *metrics.Histogram // time that loads took
}

const (
	maxLabels         = 64                     // callers, classes or reasons with their own label
	probeWorkers      = 4                      // more than one, so that an endpoint that does not answer delays few others
	taskBuffer        = 256                    // probes or load tasks that wait for a worker
	reconcileInterval = 250 * time.Millisecond // between checks for due probes
)

// Init prepares the scheduler; call it before the server accepts requests.
func (s *Scheduler) Init() {
	s.endpoints = make(map[string]*endpoint)
	s.probes = make(chan *endpoint, taskBuffer)
	s.loadTasks = make(chan loadTask, taskBuffer)
	s.storeBudget = &lockedBudget{}
	s.process = max(rand.Uint32(), 1)
	s.stats = stats{
		LoadWait: metrics.NewHistogram(),
		Wait:     metrics.NewHistogram(),
		Classes:  metrics.NewFamily(maxLabels),
		Callers:  metrics.NewFamily(maxLabels),
		Reasons:  metrics.NewFamily(maxLabels),
		LoadTime: metrics.NewHistogram(),
	}
}

// Run maintains ownership and executes probes and load tasks until ctx ends.
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

// reconcileLoop reconciles whenever members or configuration change, and periodically to queue probes.
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

// Leave makes the scheduler refuse new requests. Queued requests are refused, so that the gateways
// ask the next owners.
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

// allEndpoints returns every endpoint of the data centre.
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

// Outstanding returns the number of grants that are not released and the number of queued
// requests.
func (s *Scheduler) Outstanding() (grants, waiting int) {
	for _, e := range s.allEndpoints() {
		e.mu.Lock()
		grants += len(e.grants)
		waiting += len(e.waiters)
		e.mu.Unlock()
	}
	return grants, waiting
}
