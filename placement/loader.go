// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/go-logr/logr"
)

// Loader decides for the endpoints that it owns. Set the exported fields before
// Run.
type Loader struct {
	Box     string
	View    *topology.View
	Control Control
	Limits  func() RateLimits // of the weight store, by the settings in force
	Log     logr.Logger

	// Publish tells all boxes what an endpoint holds. Versions rise over all owners.
	Publish func(endpoint string, version uint64, held map[topology.Adapter]topology.Held)
	// Fences makes this box's fences.
	Fences *Fences
	// Owns tells whether this box gives orders to the endpoint by its view of now, and
	// from when on it may.
	Owns func(e *topology.Endpoint, now time.Time) (bool, time.Time)
	// Leaders returns how many boxes give orders.
	Leaders func() int
	// Reads returns how long an endpoint takes to read so many tokens of prompts, as it
	// was seen lately.
	PrefillTime func(tokens int) time.Duration
	// AskToResign asks the boxes that leave and may have given an endpoint its orders to resign
	// from it. Where none did and one did not answer, that one may give orders for so long.
	// Nobody leaves: nothing, at once.
	AskToResign func(ctx context.Context, e *topology.Endpoint) (Handover, time.Duration)
	// Room returns what an endpoint takes that may name a limit; nil: none does.
	Headroom func(endpoint string, now time.Time) ratelimit.Room
	// Lease is how long two boxes that both think that they own an endpoint must not take
	// turns; a refused one keeps away for somewhat longer.
	Lease func() time.Duration

	mu                 sync.Mutex
	owned              map[string]*ownedEndpoint // by endpoint
	pendingLoads       map[placementKey]*pendingLoad
	requestRates       map[topology.Adapter]*policy.Popularity
	modelLoadBucket    tokenBucket       // of loads of base models
	loadLimiter        loadLimiter       // of loads of adapters
	inFlight           inFlightTable     // requests under way, as boxes tell
	idleTransitions    policy.Popularity // adapters that came to rest
	meanWorth          map[int]float64   // by priority, smoothed over the requests that asked
	coldLoadTime       time.Duration     // smoothed time of a load from the store
	warmLoadTime       time.Duration     // smoothed time of a load from an endpoint's memory
	cacheSize          int               // adapters that an endpoint's memory keeps, as learnt from loads
	minLoadCost        time.Duration     // what a load costs here at least, as of levelAt
	minLoadCostKnown   bool
	minLoadCostAt      time.Time
	ownershipCheckedAt time.Time // when what is owned was last looked at
	nextClaimAt        time.Time // when the first of the endpoints that wait may be claimed; zero: none waits
	queue              []rank    // of the loads from the store that are wanted, the first one first, as of the last look
	wake               chan struct{}
	startedAt          time.Time // when this box began to look at what it owns
	leavingSince       time.Time // when this box began to leave; zero: it has not
	initOnce           sync.Once
}

// Init makes the loader ready for calls before Run.
func (l *Loader) Init() {
	l.initOnce.Do(func() {
		l.owned = make(map[string]*ownedEndpoint)
		l.pendingLoads = make(map[placementKey]*pendingLoad)
		l.requestRates = make(map[topology.Adapter]*policy.Popularity)
		l.modelLoadBucket = tokenBucket{limits: l.Limits()}
		l.coldLoadTime, l.warmLoadTime = initialColdLoadTime, initialWarmLoadTime
		l.cacheSize = initialCacheSize
		l.loadLimiter = newLoadLimiter()
		l.meanWorth = make(map[int]float64)
		l.inFlight = newInFlightTable()
		l.wake = make(chan struct{}, 1)
		if l.Headroom == nil {
			l.Headroom = noLimits
		}
	})
}

const (
	ownershipInterval = 100 * time.Millisecond // between two looks at what is owned
	queueInterval     = 25 * time.Millisecond  // between two looks at the queue while it is not empty
	minStepInterval   = 5 * time.Millisecond   // at least between two steps: what comes meanwhile is looked at together
	stepPauseFactor   = 10                     // times as long as a step took is the next one's pause: a long queue must not take the whole processor
)

// Run claims and drops endpoints as the view changes and starts loads, until ctx
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
	var nextStep time.Time // not before it
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
		begun := clock.Now()
		for _, task := range l.step(begun) {
			spawn(task)
		}
		nextStep = clock.Now().Add(max(minStepInterval, stepPauseFactor*clock.Since(begun)))
		next.Reset(l.nextStepDelay())
	}
	for range running {
		<-ended
	}
	return nil
}

// Look makes Run look soon at what this box owns.
func (l *Loader) RefreshOwnership() {
	l.Init()
	l.mu.Lock()
	l.ownershipCheckedAt = time.Time{}
	l.mu.Unlock()
	l.wakeUp()
}

// nudge makes Run look at the queue soon.
func (l *Loader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // it will look anyway
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

// step returns what is to be done now.
func (l *Loader) step(now time.Time) []func(context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var tasks []func(context.Context)
	if now.Sub(l.ownershipCheckedAt) >= ownershipInterval || (!l.nextClaimAt.IsZero() && !now.Before(l.nextClaimAt)) {
		l.ownershipCheckedAt = now
		l.inFlight.expire(now)
		if l.leavingSince.IsZero() {
			tasks = l.updateOwnershipLocked(now)
		} else {
			l.pruneWhileLeavingLocked(now)
		}
		l.updateRateShareLocked()
	}
	tasks = append(tasks, l.startReclaimsLocked()...)
	tasks = append(tasks, l.startModelLoadsLocked(now)...)
	return append(tasks, l.startLoadsLocked(now)...)
}

// engine returns what an endpoint's service can do; nil when it runs no models.
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

// shareLocked sets this box's share of the store's rate by the endpoints owned.
func (l *Loader) updateRateShareLocked() {
	all, mine, whole := 0, 0, 0.0
	for _, e := range l.View.All() {
		g := l.engineSpec(e)
		if g == nil {
			continue
		}
		whole = max(whole, g.LoadsPerSec)
		all++
		if o := l.owned[e.ID()]; o != nil && o.phase == owning {
			mine++
		}
	}
	l.modelLoadBucket.limits = l.Limits()
	l.modelLoadBucket.setShare(whole, float64(mine)/float64(max(all, 1)), l.Leaders())
}

func (l *Loader) countRequestsLocked(a topology.Adapter, n float64, now time.Time) {
	r := l.requestRates[a]
	if r == nil {
		r = &policy.Popularity{}
		l.requestRates[a] = r
	}
	r.Add(n, now, requestRateHalfLife)
}

// rateLocked returns requests a second for an adapter.
func (l *Loader) requestRateLocked(a topology.Adapter, now time.Time) float64 {
	r := l.requestRates[a]
	if r == nil {
		return 0
	}
	return r.Rate(now, requestRateHalfLife)
}

// publishLocked tells all boxes what an endpoint holds.
func (l *Loader) publishLocked(o *ownedEndpoint) {
	held := make(map[topology.Adapter]topology.Held, len(o.slots))
	for a, s := range o.slots {
		if !s.evicting {
			held[a] = topology.Held{Version: s.version, Ready: s.ready}
		}
	}
	o.publications++
	l.Publish(o.endpoint.ID(), term(o.fence)<<publicationBits|o.publications, held)
}

var _ forward.Placer = (*Loader)(nil)
