// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// stateCache caches the state of endpoints and adapters from recent replies of schedulers. Both tables
// are bounded. It is safe for concurrent use.
type stateCache struct {
	mu        sync.Mutex
	endpoints map[string]*endpointState
	adapters  map[string]*adapterState // at most maxAdapterStates
}

type endpointState struct {
	facts     policy.EndpointState
	updatedAt time.Time
	granted   int // grants of this gateway that are not released
}

type adapterState struct {
	width     int
	loaded    map[string]time.Time // by endpoint: when it was last reported loaded there
	updatedAt time.Time
}

const (
	maxAdapterStates = 8192
	stateTTL         = 30 * time.Second // older state is not used
)

func newStateCache() *stateCache {
	return &stateCache{endpoints: make(map[string]*endpointState), adapters: make(map[string]*adapterState)}
}

// get returns the state of an adapter's candidate endpoints, and over how many of them the adapter
// spreads; 1 if that is unknown.
func (c *stateCache) get(adapter string, names []string, now time.Time) ([]policy.EndpointState, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.adapters[adapter]
	facts := make([]policy.EndpointState, len(names))
	for i, n := range names {
		facts[i] = c.factsLocked(n, now)
		facts[i].Loaded = a != nil && now.Sub(a.loaded[n]) < stateTTL
	}
	if a == nil || now.Sub(a.updatedAt) > stateTTL {
		return facts, 1
	}
	return facts, a.width
}

// factsLocked returns the state of an endpoint. Running is at least the number of this gateway's grants,
// which the last report may not yet include.
func (c *stateCache) factsLocked(name string, now time.Time) policy.EndpointState {
	e := c.endpoints[name]
	if e == nil {
		return policy.EndpointState{}
	}
	if now.Sub(e.updatedAt) > stateTTL {
		return policy.EndpointState{Running: e.granted}
	}
	f := e.facts
	f.Running = max(f.Running, e.granted)
	f.Known = true
	f.Age = now.Sub(e.updatedAt)
	return f
}

// update records the state in a scheduler's reply.
func (c *stateCache) update(endpoint, adapter string, reported *wire.EndpointFacts, now time.Time) {
	if reported == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpointLocked(endpoint)
	firstToken := boundedFirstToken(reported.GetFirstTokenMicros())
	e.facts = policy.EndpointState{
		Running:    int(reported.GetRunning()),
		Limit:      int(reported.GetLimit()),
		Waiting:    int(reported.GetWaiting()),
		FirstToken: firstToken,
		Queue:      min(boundedFirstToken(reported.GetQueueMicros()), firstToken),
	}
	e.updatedAt = now
	a := c.adapterLocked(adapter)
	a.updatedAt = now
	a.width = max(1, int(reported.GetWidth()))
	if reported.GetLoaded() {
		a.loaded[endpoint] = now
	} else {
		delete(a.loaded, endpoint)
	}
}

// maxFirstToken bounds the expected times of schedulers. Longer ones all mean that the endpoint is not usable.
const maxFirstToken = time.Hour

func boundedFirstToken(micros int64) time.Duration {
	return time.Duration(min(max(micros, 0), maxFirstToken.Microseconds())) * time.Microsecond
}

func (c *stateCache) endpointLocked(name string) *endpointState {
	e := c.endpoints[name]
	if e == nil {
		e = &endpointState{}
		c.endpoints[name] = e
	}
	return e
}

func (c *stateCache) adapterLocked(name string) *adapterState {
	if a := c.adapters[name]; a != nil {
		return a
	}
	for n := range c.adapters {
		if len(c.adapters) < maxAdapterStates {
			break
		}
		delete(c.adapters, n) // evicts an arbitrary entry; the next reply restores it
	}
	a := &adapterState{width: 1, loaded: make(map[string]time.Time)}
	c.adapters[name] = a
	return a
}

// addGrants adds to the number of this gateway's grants at an endpoint.
func (c *stateCache) addGrants(endpoint string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointLocked(endpoint).granted += n
}
