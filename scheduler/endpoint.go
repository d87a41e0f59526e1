// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math"
	"sync"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// ownership is the state of this scheduler's ownership of an endpoint.
type ownership int

const (
	notOwned ownership = iota // another scheduler owns it
	claiming                  // to be claimed; this scheduler's fence was not yet seen at the endpoint
	owned                     // the endpoint has this scheduler's fence
)

func (o ownership) String() string { return [...]string{"foreign", "claiming", "owned"}[o] }

// endpoint is the state that one scheduler keeps about one model server.
type endpoint struct {
	name           string
	client         engine.Endpoint
	preferredOwner string // scheduler that should own it, as of the last reconcile; only reconcile uses it

	mu             sync.Mutex
	spec           catalog.Endpoint
	ownership      ownership
	owner          string       // member name of the scheduler believed to own it
	fence          engine.Fence // this scheduler's, while owned
	bootID         string       // identifies the run of the engine that slots describes
	verifiedAt     time.Time    // start of the last probe that saw this scheduler's fence
	claimedAt      time.Time    // start of the claim that is in force
	claimingSince  time.Time    // start of claiming, while another scheduler may still act as owner; zero: none may
	losses         int          // recent claims lost to others, up to maxLossDoublings
	probing        bool         // a probe is queued or running
	nextProbe      time.Time
	slots          map[string]*slot  // by adapter@version; at most spec.Slots()
	grants         map[uint64]*grant // not yet released; kept when the same owner claims again
	inUse          map[string]int    // number of these grants by adapter@version; never zero
	waiters        []*waiter         // in order of arrival
	popularity     map[string]*policy.DecayingCounter
	concurrency    float64         // limit of running requests; adapts, up to the configured maximum
	rateLimit      ratelimit.Limit // rate limit that the endpoint announced last
	serviceTime    time.Duration   // moving average of the time a request takes at the engine
	loadTime       time.Duration   // moving average of the time a load takes
	loadFailures   map[string]loadFailure
	pendingLoads   int                     // this endpoint's part of Scheduler.pendingLoads, as last counted
	unmetDemands   map[string]*unmetDemand // adapters whose requests were refused because they are not loaded
	reportNeeded   bool                    // a report may show that slots are unused
	leavingUntil   time.Time               // no new requests until then, because the endpoint announced that it is leaving
	firstTokenAt   time.Time               // when the last first token was observed in this run of the engine
	rejected       uint64                  // requests that the engine rejected because its queue was full
	rateLimitTimer *time.Timer             // serves the queue when the rate limit allows one more request; nil: no limit, or none has to wait for it
}

// slotState is the state of a slot.
type slotState int

const (
	loading slotState = iota
	ready
	unloading
)

func (s slotState) String() string { return [...]string{"loading", "ready", "unloading"}[s] }

// slot is an adapter in an engine's slot.
type slot struct {
	state            slotState
	unaccountedUntil time.Time // requests unknown here may start on it until then, and still run later; zero: there are none
	lastUsed         time.Time // when a grant was last issued
	stateSince       time.Time // when the slot entered its state
}

// unmetDemand counts refused requests for an adapter. Their callers got a retry time, so
// the adapter is loaded in the meantime.
type unmetDemand struct {
	count int
	last  time.Time
}

// loadFailure records failed loads of an adapter, so that the next attempt is delayed.
type loadFailure struct {
	count   int
	retryAt time.Time // earliest next attempt
}

const (
	initialServiceTime   = time.Second // assumed time of a request until one is measured
	initialLoadTime      = time.Second // assumed time of a load until one is measured
	sampleWeight         = 0.1         // weight of a new sample in a moving average
	maxPopularityEntries = 4096        // adapters whose popularity is tracked
	maxLoadsInFlight     = 2           // per endpoint
	maxUnmetDemands      = 256         // adapters of refused requests that are tracked
	unmetDemandTTL       = 10 * time.Second
)

func newEndpoint(spec catalog.Endpoint, client engine.Endpoint) *endpoint {
	return &endpoint{
		name:         spec.Name(),
		client:       client,
		spec:         spec,
		slots:        make(map[string]*slot),
		grants:       make(map[uint64]*grant),
		inUse:        make(map[string]int),
		popularity:   make(map[string]*policy.DecayingCounter),
		concurrency:  float64(spec.MaxRunning()),
		serviceTime:  initialServiceTime,
		loadTime:     initialLoadTime,
		loadFailures: make(map[string]loadFailure),
		unmetDemands: make(map[string]*unmetDemand),
	}
}

// ownershipValidLocked reports whether this scheduler's fence was seen recently enough to act on.
func (e *endpoint) ownershipValidLocked(now time.Time, ttl time.Duration) bool {
	return e.ownership == owned && now.Sub(e.verifiedAt) <= ttl
}

// relinquishLocked gives up ownership and refuses the queued requests, so that the gateways ask the
// next owner. Grants already issued stay valid; the next owner waits until they have ended or
// expired.
func (s *Scheduler) relinquishLocked(e *endpoint, reason wire.Reason) {
	if e.ownership == notOwned && len(e.waiters) == 0 {
		return
	}
	e.ownership = notOwned
	e.fence = engine.Fence{}
	e.slots = make(map[string]*slot)
	e.grants, e.inUse = make(map[uint64]*grant), make(map[string]int)
	e.unmetDemands = make(map[string]*unmetDemand)
	e.refuseWaitersLocked(reason)
	s.updatePendingLoadsLocked(e, clock.Now())
}

// refuseWaitersLocked refuses all queued requests.
func (e *endpoint) refuseWaitersLocked(reason wire.Reason) {
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		w.refuse(reason, 0, e.owner)
	}
}

func (e *endpoint) addGrantLocked(id uint64, g *grant) {
	e.grants[id] = g
	e.inUse[g.adapter]++
}

// removeGrantLocked removes a grant and returns it; nil if there is none.
func (e *endpoint) removeGrantLocked(id uint64) *grant {
	g := e.grants[id]
	if g == nil {
		return nil
	}
	delete(e.grants, id)
	e.inUse[g.adapter]--
	if e.inUse[g.adapter] == 0 {
		delete(e.inUse, g.adapter)
	}
	return g
}

// running returns the number of grants that are not released.
func (e *endpoint) running() int { return len(e.grants) }

// concurrencyLimitLocked returns how many requests may run at a time.
func (e *endpoint) concurrencyLimitLocked() int {
	return max(1, min(int(e.concurrency), e.maxConcurrencyLocked()))
}

// maxConcurrencyLocked returns how many requests the endpoint can run at a time at most. For an
// endpoint with a rate limit this is the concurrency that results from requests at that rate, so
// that its adapters get further homes and requests prefer endpoints with more spare capacity.
func (e *endpoint) maxConcurrencyLocked() int {
	if !e.rateLimit.HasRate() {
		return e.spec.MaxRunning()
	}
	return min(int(math.Ceil(e.rateLimit.Rate()*e.serviceTime.Seconds())), e.spec.MaxRunning())
}

// popularityLocked returns the popularity of an adapter. When too many are tracked, it first evicts
// those that were hardly requested.
func (e *endpoint) popularityLocked(adapter string, now time.Time, halfLife time.Duration) *policy.DecayingCounter {
	if p := e.popularity[adapter]; p != nil {
		return p
	}
	if len(e.popularity) >= maxPopularityEntries {
		e.evictPopularityLocked(now, halfLife)
	}
	p := new(policy.DecayingCounter)
	e.popularity[adapter] = p
	return p
}

// evictPopularityLocked removes adapters that are in no slot and were hardly requested in the last
// half-lives, or arbitrary ones in no slot when that does not suffice.
func (e *endpoint) evictPopularityLocked(now time.Time, halfLife time.Duration) {
	minRate := 0.01 / halfLife.Seconds()
	for n, p := range e.popularity {
		if e.slots[n] == nil && p.Rate(now, halfLife) < minRate {
			delete(e.popularity, n)
		}
	}
	for n := range e.popularity {
		if len(e.popularity) < maxPopularityEntries {
			return
		}
		if e.slots[n] == nil {
			delete(e.popularity, n)
		}
	}
}

// recordUnmetDemandLocked counts a request that was refused because its adapter is not loaded.
func (e *endpoint) recordUnmetDemandLocked(adapter string, now time.Time) {
	d := e.unmetDemands[adapter]
	if d == nil && len(e.unmetDemands) >= maxUnmetDemands {
		return
	}
	if d == nil {
		d = new(unmetDemand)
		e.unmetDemands[adapter] = d
	}
	d.count++
	d.last = now
}

// expireUnmetDemandsLocked removes demands that are met or too old.
func (e *endpoint) expireUnmetDemandsLocked(now time.Time) {
	for n, d := range e.unmetDemands {
		if e.slots[n] != nil || now.Sub(d.last) > unmetDemandTTL {
			delete(e.unmetDemands, n)
		}
	}
}

// movingMean returns the moving average after one more sample.
func movingMean(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// factsLocked returns the state of the endpoint that is sent with every reply.
func (s *Scheduler) factsLocked(e *endpoint, req *wire.AcquireRequest, now time.Time) *wire.EndpointFacts {
	sl := e.slots[req.GetAdapter()]
	firstToken, queue := s.expectedFirstTokenLocked(e, req, now)
	return &wire.EndpointFacts{
		Running:   int32(e.running()),
		Limit:     int32(e.concurrencyLimitLocked()),
		Waiting:   int32(len(e.waiters)),
		AgeMicros: now.Sub(e.verifiedAt).Microseconds(),
		Width:     int32(s.homeCountLocked(e, req, now)),
		Loaded:    sl != nil && sl.state == ready,

		FirstTokenMicros: firstToken.Microseconds(),
		QueueMicros:      queue.Microseconds(),
	}
}
