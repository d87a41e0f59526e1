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

// phase says how far ownership of an endpoint is.
type ownership int

const (
	notOwned ownership = iota // another scheduler owns it
	claiming                  // this one wants it and has not seen its own fence there
	owned                     // the endpoint has this scheduler's fence
)

func (o ownership) String() string { return [...]string{"foreign", "claiming", "owned"}[o] }

// endpoint is what one scheduler knows of one model server.
type endpoint struct {
	name           string
	client         engine.Endpoint
	preferredOwner string // who should own it, in the view that assign last saw; only assign uses it

	mu             sync.Mutex
	spec           catalog.Endpoint
	ownership      ownership
	owner          string       // of the scheduler believed to own it; a member's name
	fence          engine.Fence // this scheduler's, while owned
	bootID         string       // the engine's life that slots describe
	verifiedAt     time.Time    // when a look that showed the own fence was begun
	claimedAt      time.Time    // when the claim that holds was begun
	claimingSince  time.Time    // when this scheduler began to claim it, while another may have owned it; zero: none may
	losses         int          // claims lost to others lately
	probing        bool         // a look is queued or under way
	nextProbe      time.Time
	slots          map[string]*slot  // by adapter@version; at most spec.Slots()
	grants         map[uint64]*grant // not given back; through claims of the same owner
	inUse          map[string]int    // how many of them, by adapter@version; never zero
	waiters        []*waiter         // in order of arrival
	popularity     map[string]*policy.Popularity
	concurrency    float64         // of requests running; adapts below spec.Running()
	rateLimit      ratelimit.Limit // that it names, by the latest word
	serviceTime    time.Duration   // moving mean of a request's time at the engine
	loadTime       time.Duration   // moving mean of a load's time
	loadFailures   map[string]loadFailure
	pendingLoads   int                     // adapters to load, as last counted
	unmetDemands   map[string]*unmetDemand // adapters whose requests were refused because they are not loaded
	reportNeeded   bool                    // a report may show slots to be free
	leavingUntil   time.Time               // until then it gets nothing new: it said that it is leaving
	rateLimitTimer *time.Timer             // serves those that wait once the endpoint takes one more; nil: it names no limit, or nobody waits
}

// slotState says what a slot holds.
type slotState int

const (
	loading slotState = iota
	ready
	unloading
)

func (s slotState) String() string { return [...]string{"loading", "ready", "unloading"}[s] }

// slot is one adapter at the engine.
type slot struct {
	state            slotState
	unaccountedUntil time.Time // a request may begin on it until then, and run after; zero: none unaccounted
	lastUsed         time.Time // when a grant was last given
	stateSince       time.Time // when the state began
}

// demand is what refused requests would have waited for: they were told when to
// come back, so their adapter is loaded meanwhile.
type unmetDemand struct {
	count int
	last  time.Time
}

// failure remembers a load that failed, so that it is not repeated at once.
type loadFailure struct {
	count   int
	retryAt time.Time // not tried before
}

const (
	initialServiceTime = time.Second // of a request's time, assumed until measured
	initialLoadTime    = time.Second // of a load's time, assumed until measured
	sampleWeight       = 0.1         // of a new sample in a moving mean
	maxPopularity      = 4096        // adapters whose popularity is remembered
	maxLoadsInFlight   = 2           // at one endpoint
	maxUnmetDemands    = 256         // adapters of refused requests
	unmetDemandTTL     = 10 * time.Second
)

func newEndpoint(spec catalog.Endpoint, client engine.Endpoint) *endpoint {
	return &endpoint{
		name:         spec.Name(),
		client:       client,
		spec:         spec,
		slots:        make(map[string]*slot),
		grants:       make(map[uint64]*grant),
		inUse:        make(map[string]int),
		popularity:   make(map[string]*policy.Popularity),
		concurrency:  float64(spec.Running()),
		serviceTime:  initialServiceTime,
		loadTime:     initialLoadTime,
		loadFailures: make(map[string]loadFailure),
		unmetDemands: make(map[string]*unmetDemand),
	}
}

// trustedLocked tells whether the own fence was seen lately enough to act on.
func (e *endpoint) ownershipValidLocked(now time.Time, ttl time.Duration) bool {
	return e.ownership == owned && now.Sub(e.verifiedAt) <= ttl
}

// dropLocked gives up ownership: what waits is refused so that the gateways ask
// the next owner. Grants already given stay good; the endpoint's next owner
// waits them out.
func (s *Scheduler) relinquishLocked(e *endpoint, reason wire.Reason) {
	if e.ownership == notOwned && len(e.waiters) == 0 {
		return
	}
	e.ownership = notOwned
	e.fence = engine.Fence{}
	e.slots = make(map[string]*slot)
	e.grants, e.inUse = make(map[uint64]*grant), make(map[string]int)
	waiters := e.waiters
	e.waiters = nil
	e.unmetDemands = make(map[string]*unmetDemand)
	s.updatePendingLoadsLocked(e, clock.Now())
	for _, w := range waiters {
		w.refuse(reason, 0, e.owner)
	}
}

// addGrantLocked adds a grant that was given.
func (e *endpoint) addGrantLocked(id uint64, g *grant) {
	e.grants[id] = g
	e.inUse[g.adapter]++
}

// endGrantLocked takes a grant away, and returns it; nil: there is none.
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

// running is how many grants are not given back.
func (e *endpoint) running() int { return len(e.grants) }

// limitLocked is how many requests may run.
func (e *endpoint) concurrencyLimitLocked() int {
	return max(1, min(int(e.concurrency), e.maxConcurrencyLocked()))
}

// mostLocked is how many requests it can run at a time. One that names how many it takes counts as one
// that runs as many at a time as come at that rate: so its adapters get further homes, and requests
// choose those that are less full.
func (e *endpoint) maxConcurrencyLocked() int {
	if !e.rateLimit.Named() {
		return e.spec.Running()
	}
	return min(int(math.Ceil(e.rateLimit.Rate()*e.serviceTime.Seconds())), e.spec.Running())
}

// rateLocked returns the popularity of an adapter, forgetting the faintest when
// there are too many.
func (e *endpoint) popularityLocked(adapter string, now time.Time, halfLife time.Duration) *policy.Popularity {
	if p := e.popularity[adapter]; p != nil {
		return p
	}
	if len(e.popularity) >= maxPopularity {
		e.evictPopularityLocked(now, halfLife)
	}
	p := new(policy.Popularity)
	e.popularity[adapter] = p
	return p
}

// forgetRatesLocked drops the adapters that are not in a slot and were not
// asked for in the last half-lives, or arbitrary ones when there are none.
func (e *endpoint) evictPopularityLocked(now time.Time, halfLife time.Duration) {
	minRate := 0.01 / halfLife.Seconds()
	for n, p := range e.popularity {
		if e.slots[n] == nil && p.Rate(now, halfLife) < minRate {
			delete(e.popularity, n)
		}
	}
	for n := range e.popularity {
		if len(e.popularity) < maxPopularity {
			return
		}
		if e.slots[n] == nil {
			delete(e.popularity, n)
		}
	}
}

// demandLocked notes that a request was refused for want of its adapter.
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

// dropDemandsLocked forgets demands that are met or old.
func (e *endpoint) expireUnmetDemandsLocked(now time.Time) {
	for n, d := range e.unmetDemands {
		if e.slots[n] != nil || now.Sub(d.last) > unmetDemandTTL {
			delete(e.unmetDemands, n)
		}
	}
}

// movingMean moves a mean by one sample.
func movingMean(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}

// factsLocked is what replies tell of the endpoint.
func (e *endpoint) factsLocked(adapter string, width int, now time.Time) *wire.EndpointFacts {
	s := e.slots[adapter]
	return &wire.EndpointFacts{
		Running:   int32(e.running()),
		Limit:     int32(e.concurrencyLimitLocked()),
		Waiting:   int32(len(e.waiters)),
		AgeMicros: now.Sub(e.verifiedAt).Microseconds(),
		Width:     int32(width),
		Loaded:    s != nil && s.state == ready,
	}
}
