// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
)

// View is a box's current knowledge of configuration, endpoints and adapters. It is safe for concurrent use.
// The values that it returns are immutable.
type View struct {
	config       atomic.Pointer[Config]
	streamsMoved atomic.Pointer[time.Time] // when a configuration last sent resumable streams to other services than before; nil: there was none

	mu                 sync.RWMutex
	endpoints          map[string]*Endpoint                // by ID
	services           map[string][]*Endpoint              // by service, sorted by ID; copied on write
	latestVersions     map[Adapter]int64                   // latest published version
	adapterStates      map[string]map[Adapter]AdapterState // by endpoint
	endpointsByAdapter map[Adapter]map[string]AdapterState // by adapter, then endpoint
	evictions          map[string]*evictionHistory         // by endpoint
	draining           drainingSet                         // as announced by the endpoints; SetEndpoint can't revert it
	lastHolder         map[Adapter]string                  // endpoint last reported with the adapter, even if evicted since
	software           map[string]*softwareHistory         // by service
	changed            chan struct{}                       // closed at the next change of endpoints
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		endpoints:          make(map[string]*Endpoint),
		services:           make(map[string][]*Endpoint),
		latestVersions:     make(map[Adapter]int64),
		adapterStates:      make(map[string]map[Adapter]AdapterState),
		endpointsByAdapter: make(map[Adapter]map[string]AdapterState),
		evictions:          make(map[string]*evictionHistory),
		lastHolder:         make(map[Adapter]string),
		software:           make(map[string]*softwareHistory),
		changed:            make(chan struct{}),
	}
}

// Config returns the configuration in force, or nil if none is known yet.
func (v *View) Config() *Config { return v.config.Load() }

// SetConfig brings c into force and reports whether it did. A configuration of the same or a higher version stays.
func (v *View) SetConfig(c *Config) bool {
	for {
		current := v.config.Load()
		if current != nil && current.version >= c.version {
			return false
		}
		if v.config.CompareAndSwap(current, c) {
			if movesStreams(current, c) {
				now := clock.Now()
				v.streamsMoved.Store(&now)
			}
			return true
		}
	}
}

// SetEndpoint adds or replaces an endpoint.
func (v *View) SetEndpoint(e *Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setEndpointLocked(e)
}

func (v *View) setEndpointLocked(e *Endpoint) {
	if v.draining.ids[e.ID()] {
		e = e.asDraining()
	}
	old := v.endpoints[e.ID()]
	if old != nil && old.Service() != e.Service() {
		v.removeFromServiceLocked(old)
	}
	if old != nil && old.Software() != e.Software() { // one instance runs one software: none of the values can be relied on
		e = e.withUnknownSoftware()
	}
	v.endpoints[e.ID()] = e
	v.addToServiceLocked(e)
	v.softwareChangedLocked(old, e)
	v.changedLocked()
}

// MarkDraining records that an endpoint instance announced that it drains, and reports whether that is new.
// The instance need not be known yet. It remains draining whatever its source says later, since the source
// may be outdated or unavailable for long.
func (v *View) MarkDraining(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.draining.add(id) {
		return false
	}
	if e := v.endpoints[id]; e != nil {
		v.setEndpointLocked(e)
	}
	return true
}

// RemoveEndpoint removes an endpoint, its adapter states and its eviction history.
func (v *View) RemoveEndpoint(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.endpoints[id]
	if e == nil {
		return
	}
	delete(v.endpoints, id)
	v.setAdapterStatesLocked(id, nil)
	delete(v.evictions, id)
	v.removeFromServiceLocked(e)
	v.softwareChangedLocked(e, nil)
	v.changedLocked()
}

// findLocked returns the list of an endpoint's service, and the index at which the endpoint is or would be inserted.
func (v *View) findLocked(e *Endpoint) (list []*Endpoint, index int, found bool) {
	list = v.services[e.Service()]
	index, found = slices.BinarySearchFunc(list, e.ID(), func(o *Endpoint, id string) int { return strings.Compare(o.ID(), id) })
	return list, index, found
}

// addToServiceLocked adds or replaces an endpoint in a copy of its service's list. It inserts by binary search: sorting
// the list for each endpoint would dominate the start of a box with thousands of endpoints.
func (v *View) addToServiceLocked(e *Endpoint) {
	list, index, found := v.findLocked(e)
	list = slices.Clone(list) // readers may hold the old one
	if found {
		list[index] = e
	} else {
		list = slices.Insert(list, index, e)
	}
	v.services[e.Service()] = list
}

// removeFromServiceLocked removes an endpoint from a copy of its service's list.
func (v *View) removeFromServiceLocked(e *Endpoint) {
	list, index, found := v.findLocked(e)
	switch {
	case !found:
	case len(list) == 1:
		delete(v.services, e.Service())
	default:
		v.services[e.Service()] = slices.Delete(slices.Clone(list), index, index+1)
	}
}

// changedLocked notifies those waiting for a change of the endpoints.
func (v *View) changedLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next change of the endpoints.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Endpoint returns the endpoint with the ID, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[id]
}

// Endpoints returns the endpoints of a service, sorted by ID. The slice must not be modified.
func (v *View) Endpoints(service string) []*Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[service]
}

// All returns every endpoint.
func (v *View) All() []*Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	list := make([]*Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		list = append(list, e)
	}
	return list
}

// LatestVersion returns the latest published version of an adapter, zero if none was
// published after the first.
func (v *View) LatestVersion(a Adapter) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.latestVersions[a]
}

// SetLatestVersion records a published version, unless a later one is known.
func (v *View) SetLatestVersion(a Adapter, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latestVersions[a] = max(v.latestVersions[a], version)
}

// SetAdapterStates replaces the states of the adapters on an endpoint.
func (v *View) SetAdapterStates(endpoint string, states map[Adapter]AdapterState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setAdapterStatesLocked(endpoint, states)
}

func (v *View) setAdapterStatesLocked(endpoint string, states map[Adapter]AdapterState) {
	for a := range v.adapterStates[endpoint] {
		if _, kept := states[a]; !kept {
			v.recordEvictionLocked(endpoint, a)
		}
		delete(v.endpointsByAdapter[a], endpoint)
		if len(v.endpointsByAdapter[a]) == 0 {
			delete(v.endpointsByAdapter, a)
		}
	}
	delete(v.adapterStates, endpoint)
	if states == nil {
		return
	}
	v.adapterStates[endpoint] = states
	for a, s := range states {
		v.lastHolder[a] = endpoint
		if v.endpointsByAdapter[a] == nil {
			v.endpointsByAdapter[a] = make(map[string]AdapterState)
		}
		v.endpointsByAdapter[a][endpoint] = s
	}
}

func (v *View) recordEvictionLocked(endpoint string, a Adapter) {
	if v.evictions[endpoint] == nil {
		v.evictions[endpoint] = new(evictionHistory)
	}
	v.evictions[endpoint].add(a)
}

// EvictionsSince returns how many adapters were evicted from an endpoint's slots after a was, and false if no
// eviction of a is recorded. The fewer, the more likely the endpoint's memory still has the adapter.
func (v *View) EvictionsSince(endpoint string, a Adapter) (count int, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if h := v.evictions[endpoint]; h != nil {
		return h.evictionsSince(a)
	}
	return 0, false
}

// RemoveAdapter records that an endpoint does not hold an adapter, as the endpoint itself reported.
func (v *View) RemoveAdapter(endpoint string, a Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.endpointsByAdapter[a], endpoint)
}

// LastHolder returns the endpoint that was last reported with an adapter, or nil if there is none or it was
// removed. Its memory may still contain the adapter.
func (v *View) LastHolder(a Adapter) *Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[v.lastHolder[a]]
}

// EndpointsReady returns the endpoints on which an adapter is ready in its latest version.
func (v *View) EndpointsReady(a Adapter) []*Endpoint { return v.endpointsWithAdapter(a, true) }

// EndpointsLoading returns the endpoints on which an adapter is being loaded in its latest version.
func (v *View) EndpointsLoading(a Adapter) []*Endpoint { return v.endpointsWithAdapter(a, false) }

func (v *View) endpointsWithAdapter(a Adapter, ready bool) []*Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []*Endpoint
	for id, s := range v.endpointsByAdapter[a] {
		if e := v.endpoints[id]; e != nil && s.Ready == ready && s.Version >= v.latestVersions[a] {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
	return list
}
