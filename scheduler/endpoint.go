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
type phase int

const (
	foreign  phase = iota // another scheduler owns it
	claiming              // this one wants it and has not seen its own fence there
	owned                 // the endpoint has this scheduler's fence
)

func (p phase) String() string { return [...]string{"foreign", "claiming", "owned"}[p] }

// endpoint is what one scheduler knows of one model server.
type endpoint struct {
	name   string
	client engine.Endpoint
	home   string // who should own it, in the view that assign last saw; only assign uses it

	mu           sync.Mutex
	spec         catalog.Endpoint
	phase        phase
	owner        string       // of the scheduler believed to own it; a member's name
	fence        engine.Fence // this scheduler's, while owned
	boot         string       // the engine's life that slots describe
	seen         time.Time    // when a look that showed the own fence was begun
	claimed      time.Time    // when the claim that holds was begun
	taken        time.Time    // when this scheduler began to claim it, while another may have owned it; zero: none may
	losses       int          // claims lost to others lately
	looking      bool         // a look is queued or under way
	nextLook     time.Time
	slots        map[string]*slot  // by adapter@version; at most spec.Slots()
	grants       map[uint64]*grant // not given back; through claims of the same owner
	inUse        map[string]int    // how many of them, by adapter@version; never zero
	waiters      []*waiter         // in order of arrival
	rates        map[string]*policy.Popularity
	limit        float64         // of requests running; adapts below spec.Running()
	takes        ratelimit.Limit // that it names, by the latest word
	service      time.Duration   // moving mean of a request's time at the engine
	loadTime     time.Duration   // moving mean of a load's time
	failed       map[string]failure
	loadsWanted  int                // adapters to load, as last counted
	demands      map[string]*demand // adapters whose requests were refused because they are not loaded
	reportWanted bool               // a report may show slots to be free
	closedUntil  time.Time          // until then it gets nothing new: it said that it is leaving
	roomTimer    *time.Timer        // serves those that wait once the endpoint takes one more; nil: it names no limit, or nobody waits
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
	state  slotState
	unsure time.Time // a request may begin on it until then, and run after; zero: none unaccounted
	used   time.Time // when a grant was last given
	since  time.Time // when the state began
}

// demand is what refused requests would have waited for: they were told when to
// come back, so their adapter is loaded meanwhile.
type demand struct {
	count int
	last  time.Time
}

// failure remembers a load that failed, so that it is not repeated at once.
type failure struct {
	count int
	until time.Time // not tried before
}

const (
	firstService  = time.Second // of a request's time, assumed until measured
	firstLoad     = time.Second // of a load's time, assumed until measured
	meanWeight    = 0.1         // of a new sample in a moving mean
	ratesKept     = 4096        // adapters whose popularity is remembered
	loadsInFlight = 2           // at one endpoint
	demandsKept   = 256         // adapters of refused requests
	demandLife    = 10 * time.Second
)

func newEndpoint(spec catalog.Endpoint, client engine.Endpoint) *endpoint {
	return &endpoint{
		name:     spec.Name(),
		client:   client,
		spec:     spec,
		slots:    make(map[string]*slot),
		grants:   make(map[uint64]*grant),
		inUse:    make(map[string]int),
		rates:    make(map[string]*policy.Popularity),
		limit:    float64(spec.MaxRunning()),
		service:  firstService,
		loadTime: firstLoad,
		failed:   make(map[string]failure),
		demands:  make(map[string]*demand),
	}
}

// trustedLocked tells whether the own fence was seen lately enough to act on.
func (e *endpoint) trustedLocked(now time.Time, trust time.Duration) bool {
	return e.phase == owned && now.Sub(e.seen) <= trust
}

// dropLocked gives up ownership: what waits is refused so that the gateways ask
// the next owner. Grants already given stay good; the endpoint's next owner
// waits them out.
func (s *Scheduler) dropLocked(e *endpoint, r wire.Reason) {
	if e.phase == foreign && len(e.waiters) == 0 {
		return
	}
	e.phase = foreign
	e.fence = engine.Fence{}
	e.slots = make(map[string]*slot)
	e.grants, e.inUse = make(map[uint64]*grant), make(map[string]int)
	waiters := e.waiters
	e.waiters = nil
	e.demands = make(map[string]*demand)
	s.countWantedLocked(e, clock.Now())
	for _, w := range waiters {
		w.refuse(r, 0, e.owner)
	}
}

// addGrantLocked adds a grant that was given.
func (e *endpoint) addGrantLocked(id uint64, g *grant) {
	e.grants[id] = g
	e.inUse[g.adapter]++
}

// endGrantLocked takes a grant away, and returns it; nil: there is none.
func (e *endpoint) endGrantLocked(id uint64) *grant {
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
func (e *endpoint) limitLocked() int { return max(1, min(int(e.limit), e.mostLocked())) }

// mostLocked is how many requests it can run at a time. One that names how many it takes counts as one
// that runs as many at a time as come at that rate: so its adapters get further homes, and requests
// choose those that are less full.
func (e *endpoint) mostLocked() int {
	if !e.takes.Named() {
		return e.spec.MaxRunning()
	}
	return min(int(math.Ceil(e.takes.Rate()*e.service.Seconds())), e.spec.MaxRunning())
}

// rateLocked returns the popularity of an adapter, forgetting the faintest when
// there are too many.
func (e *endpoint) rateLocked(name string, now time.Time, halfLife time.Duration) *policy.Popularity {
	if p := e.rates[name]; p != nil {
		return p
	}
	if len(e.rates) >= ratesKept {
		e.forgetRatesLocked(now, halfLife)
	}
	p := new(policy.Popularity)
	e.rates[name] = p
	return p
}

// forgetRatesLocked drops the adapters that are not in a slot and were not
// asked for in the last half-lives, or arbitrary ones when there are none.
func (e *endpoint) forgetRatesLocked(now time.Time, halfLife time.Duration) {
	faint := 0.01 / halfLife.Seconds()
	for n, p := range e.rates {
		if e.slots[n] == nil && p.Rate(now, halfLife) < faint {
			delete(e.rates, n)
		}
	}
	for n := range e.rates {
		if len(e.rates) < ratesKept {
			return
		}
		if e.slots[n] == nil {
			delete(e.rates, n)
		}
	}
}

// demandLocked notes that a request was refused for want of its adapter.
func (e *endpoint) demandLocked(name string, now time.Time) {
	d := e.demands[name]
	if d == nil && len(e.demands) >= demandsKept {
		return
	}
	if d == nil {
		d = new(demand)
		e.demands[name] = d
	}
	d.count++
	d.last = now
}

// dropDemandsLocked forgets demands that are met or old.
func (e *endpoint) dropDemandsLocked(now time.Time) {
	for n, d := range e.demands {
		if e.slots[n] != nil || now.Sub(d.last) > demandLife {
			delete(e.demands, n)
		}
	}
}

// movingMean moves a mean by one sample.
func movingMean(old, sample time.Duration) time.Duration {
	return old + time.Duration(meanWeight*float64(sample-old))
}

// factsLocked is what replies tell of the endpoint.
func (e *endpoint) factsLocked(adapter string, width int, now time.Time) *wire.EndpointFacts {
	s := e.slots[adapter]
	return &wire.EndpointFacts{
		Running:   int32(e.running()),
		Limit:     int32(e.limitLocked()),
		Waiting:   int32(len(e.waiters)),
		AgeMicros: now.Sub(e.seen).Microseconds(),
		Width:     int32(width),
		Loaded:    s != nil && s.state == ready,
	}
}
