// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/go-logr/logr"
)

// Loader places adapters on the endpoints that it owns. Set the exported fields before
// Run.
type Loader struct {
	Box     string
	View    *topology.View
	Control Control
	Limits  func() RateLimits // of the weight store, by the current settings
	Log     logr.Logger

	// Publish announces to all boxes what an endpoint holds. Versions increase across owners.
	Publish func(endpoint string, version uint64, held map[topology.Adapter]topology.AdapterState)
	// Fences generates this box's fences.
	Fences *Fences
	// Owns reports whether this box owns the endpoint by its cluster view at now, and from
	// when on it may claim it.
	Owns func(e *topology.Endpoint, now time.Time) (bool, time.Time)
	// Leaders returns the number of boxes that lead a data centre.
	Leaders func() int
	// PrefillTime returns how long an endpoint takes to prefill a number of prompt tokens, as
	// measured recently.
	PrefillTime func(tokens int) time.Duration
	// AskToResign asks the leaving boxes that may own an endpoint to resign from it. When none
	// did and one did not answer, that box may give orders for the returned duration. Without
	// leaving boxes it returns zero values at once.
	AskToResign func(ctx context.Context, e *topology.Endpoint) (Handover, time.Duration)
	// Headroom returns the remaining capacity of an endpoint that announces a rate limit; nil: no
	// endpoint does.
	Headroom func(endpoint string, now time.Time) ratelimit.Headroom
	// HasContact reports whether this box has had contact with another box, or knows that there is none; nil: it has.
	HasContact func() bool
	// Lease is the ownership lease. A box whose claim was refused retries after somewhat longer,
	// so that two boxes that both consider themselves owner do not alternate.
	Lease func() time.Duration

	mu                 sync.Mutex
	owned              map[string]*ownedEndpoint // by endpoint
	pendingLoads       map[placementKey]*pendingLoad
	requestRates       map[topology.Adapter]*policy.DecayingCounter
	modelLoadBucket    tokenBucket                                  // limits loads of base models
	loadLimiter        loadLimiter                                  // limits loads of adapters
	inFlight           inFlightTable                                // requests in progress, as reported by the boxes
	speeds             balance.Speeds                               // of the endpoints that are balanced by work
	returns            balance.Returns                              // of callers that were refused there because of queues or memory
	slotReturns        balance.Returns                              // of callers that were refused because no adapter slot was left
	slotRefusals       map[topology.Adapter]*policy.DecayingCounter // requests refused because free slots are kept, since the adapter's last load
	slotDemand         map[slotPool]*slotDemand                     // recent requests that need a slot
	decisions          map[string]int64                             // for requests that are balanced by work, by reason
	idleTransitions    policy.DecayingCounter                       // adapters that became idle
	meanWorth          map[int]float64                              // by priority, smoothed over recent requests
	coldLoadTime       time.Duration                                // smoothed time of a load from the store
	warmLoadTime       time.Duration                                // smoothed time of a load from an endpoint's host memory
	cacheSize          int                                          // estimated number of adapters that an endpoint's host memory caches
	minLoadCost        time.Duration                                // cost of a load at the cheapest endpoint, as of minLoadCostAt
	minLoadCostKnown   bool
	minLoadCostAt      time.Time
	ownershipCheckedAt time.Time
	ratesPrunedAt      time.Time
	nextClaimAt        time.Time // when the next endpoint may be claimed; zero: no claim is scheduled
	queue              []rank    // ranks of the pending loads from the store, highest first, as of the last ranking
	wake               chan struct{}
	startedAt          time.Time // time of the first ownership check
	leavingSince       time.Time // zero: not leaving
	initOnce           sync.Once
}

// Init prepares the loader for calls before Run.
func (l *Loader) Init() {
	l.initOnce.Do(func() {
		l.owned = make(map[string]*ownedEndpoint)
		l.pendingLoads = make(map[placementKey]*pendingLoad)
		l.requestRates = make(map[topology.Adapter]*policy.DecayingCounter)
		l.modelLoadBucket = tokenBucket{limits: l.Limits()}
		l.coldLoadTime, l.warmLoadTime = initialColdLoadTime, initialWarmLoadTime
		l.cacheSize = initialCacheSize
		l.loadLimiter = newLoadLimiter()
		l.meanWorth = make(map[int]float64)
		l.decisions = make(map[string]int64)
		l.slotDemand = make(map[slotPool]*slotDemand)
		l.slotRefusals = make(map[topology.Adapter]*policy.DecayingCounter)
		l.inFlight = newInFlightTable()
		l.wake = make(chan struct{}, 1)
		if l.Headroom == nil {
			l.Headroom = noLimits
		}
	})
}

const (
	ownershipInterval = 100 * time.Millisecond // between ownership checks
	queueInterval     = 25 * time.Millisecond  // between steps while loads are queued
	minStepInterval   = 5 * time.Millisecond   // between steps, so that events in between are handled together
	stepPauseFactor   = 10                     // pause after a step, in multiples of its duration: a long queue must not take the whole processor
)

// Run claims and drops endpoints as the cluster view changes and starts loads, until ctx
// ends.
func (l *Loader) Run(ctx context.Context) error {
	l.Init()
	ended := make(chan struct{})
	running := 0
	spawn := func(f func(context.Context)) {
		running++
		go func() {
			f(ctx)
			ended <- struct{}{}
		}()
	}
	var nextStep time.Time // earliest time of the next step
	next := time.NewTimer(ownershipInterval)
	defer next.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ended:
			running--
		case <-l.wake:
		case <-next.C:
		}
		sleep(ctx, clock.Until(nextStep))
		started := clock.Now()
		for _, task := range l.step(started) {
			spawn(task)
		}
		nextStep = clock.Now().Add(max(minStepInterval, stepPauseFactor*clock.Since(started)))
		next.Reset(l.nextStepDelay())
	}
	for range running {
		<-ended
	}
	return nil
}

// RefreshOwnership makes Run check soon which endpoints this box owns.
func (l *Loader) RefreshOwnership() {
	l.Init()
	l.mu.Lock()
	l.ownershipCheckedAt = time.Time{}
	l.mu.Unlock()
	l.wakeUp()
}

// wakeUp makes Run start a step soon.
func (l *Loader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

func (l *Loader) nextStepDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := ownershipInterval
	if len(l.queue) > 0 {
		pause = queueInterval
	}
	if !l.nextClaimAt.IsZero() {
		pause = min(pause, max(clock.Until(l.nextClaimAt), 0))
	}
	return pause
}

// step updates the state and returns the tasks to start.
func (l *Loader) step(now time.Time) []func(context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var tasks []func(context.Context)
	if now.Sub(l.ownershipCheckedAt) >= ownershipInterval || (!l.nextClaimAt.IsZero() && !now.Before(l.nextClaimAt)) {
		l.ownershipCheckedAt = now
		l.inFlight.expire(now)
		l.speeds.Prune(now)
		l.pruneSlotRefusalsLocked(now)
		l.pruneRequestRatesLocked(now)
		if l.leavingSince.IsZero() {
			tasks = l.updateOwnershipLocked(now)
			l.renewFencesLocked()
		} else {
			l.pruneWhileLeavingLocked(now)
		}
		l.updateRateShareLocked()
	}
	tasks = append(tasks, l.startReclaimsLocked()...)
	tasks = append(tasks, l.startModelLoadsLocked(now)...)
	return append(tasks, l.startLoadsLocked(now)...)
}

// engineSpec returns the engine of an endpoint's service; nil when it runs no models.
func (l *Loader) engineSpec(e *topology.Endpoint) *topology.EngineSpec {
	c := l.View.Config()
	if c == nil {
		return nil
	}
	s := c.Service(e.Service())
	if s == nil {
		return nil
	}
	return s.Engine()
}

// updateRateShareLocked sets this box's share of the store's load rate in proportion to the
// endpoints that it owns or claims.
func (l *Loader) updateRateShareLocked() {
	total, owned, storeRate := 0, 0, 0.0
	for _, e := range l.View.All() {
		g := l.engineSpec(e)
		if g == nil {
			continue
		}
		storeRate = max(storeRate, g.LoadsPerSec)
		total++
		if o := l.owned[e.ID()]; o != nil && (o.phase == owning || o.phase == claiming) {
			owned++
		}
	}
	l.modelLoadBucket.limits = l.Limits()
	l.modelLoadBucket.setShare(storeRate, float64(owned)/float64(max(total, 1)), l.Leaders())
}

func (l *Loader) countRequestsLocked(a topology.Adapter, n float64, now time.Time) {
	r := l.requestRates[a]
	if r == nil {
		r = &policy.DecayingCounter{}
		l.requestRates[a] = r
	}
	r.Add(n, now, requestRateHalfLife)
}

// requestRateLocked returns requests per second for an adapter.
func (l *Loader) requestRateLocked(a topology.Adapter, now time.Time) float64 {
	r := l.requestRates[a]
	if r == nil {
		return 0
	}
	return r.Rate(now, requestRateHalfLife)
}

const (
	// minRequestCount is the decayed number of requests below which an adapter's rate is forgotten: one request counts
	// this little after 40 s.
	minRequestCount = 0.01
	// pruneInterval is the time between two removals of forgotten rates, of which there may be thousands.
	pruneInterval = 5 * time.Second
)

// pruneRequestRatesLocked forgets adapters that were not requested for a long time. Callers choose the names of adapters, so
// their number has no bound.
func (l *Loader) pruneRequestRatesLocked(now time.Time) {
	if now.Sub(l.ratesPrunedAt) < pruneInterval {
		return
	}
	l.ratesPrunedAt = now
	for a, r := range l.requestRates {
		if r.Count(now, requestRateHalfLife) < minRequestCount {
			delete(l.requestRates, a)
		}
	}
}

// publishLocked announces to all boxes what an endpoint holds; adapters being evicted are
// left out.
func (l *Loader) publishLocked(o *ownedEndpoint) {
	held := make(map[topology.Adapter]topology.AdapterState, len(o.slots))
	for a, s := range o.slots {
		if !s.evicting {
			held[a] = topology.AdapterState{Version: s.version, Ready: s.ready}
		}
	}
	o.publications++
	l.Publish(o.endpoint.ID(), publicationVersion(o.fence, o.publications), held)
}

var _ forward.Placer = (*Loader)(nil)
