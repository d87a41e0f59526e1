// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// View is what a box believes now. It is safe for concurrent use. A reader gets
// values that never change.
type View struct {
	config atomic.Pointer[Config]

	mu                 sync.RWMutex
	endpoints          map[string]*Endpoint                // by ID
	services           map[string][]*Endpoint              // endpoints of a service, sorted by ID; a list never changes
	latestVersions     map[Adapter]int64                   // the newest version that was published
	adapterStates      map[string]map[Adapter]AdapterState // by endpoint
	endpointsByAdapter map[Adapter]map[string]AdapterState // by adapter, then endpoint
	evictions          map[string]*evictionHistory         // by endpoint
	draining           drainingSet                         // by their own word; SetEndpoint can't take it back
	lastHolder         map[Adapter]string                  // endpoint that began to hold an adapter last, though it may not any more
	changed            chan struct{}                       // closed at the next change of endpoints
}

// NewView returns a view of nothing.
func NewView() *View {
	return &View{
		endpoints:          make(map[string]*Endpoint),
		services:           make(map[string][]*Endpoint),
		latestVersions:     make(map[Adapter]int64),
		adapterStates:      make(map[string]map[Adapter]AdapterState),
		endpointsByAdapter: make(map[Adapter]map[string]AdapterState),
		evictions:          make(map[string]*evictionHistory),
		lastHolder:         make(map[Adapter]string),
		changed:            make(chan struct{}),
	}
}

// Config returns the configuration in force; nil when none is known yet.
func (v *View) Config() *Config { return v.config.Load() }

// SetConfig brings c into force unless a newer one is; it tells whether it did.
func (v *View) SetConfig(c *Config) bool {
	for {
		old := v.config.Load()
		if old != nil && old.version >= c.version {
			return false
		}
		if v.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// SetEndpoint adds an endpoint or replaces what was known of it.
func (v *View) SetEndpoint(e *Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setEndpointLocked(e)
}

func (v *View) setEndpointLocked(e *Endpoint) {
	if v.draining.ids[e.ID()] {
		e = e.asDraining()
	}
	if old := v.endpoints[e.ID()]; old != nil && old.Service() != e.Service() {
		v.removeFromServiceLocked(old)
	}
	v.endpoints[e.ID()] = e
	v.addToServiceLocked(e)
	v.changedLocked()
}

// Leave notes that a life of an endpoint said that it leaves, which may not be known yet; it tells
// whether that is news. From then on it is draining, whatever its source says of it: that may be older,
// and may be silent for long.
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

// RemoveEndpoint forgets an endpoint and what it held.
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
	v.changedLocked()
}

// findLocked returns where an endpoint is in its service's list, or belongs there.
func (v *View) findLocked(e *Endpoint) (list []*Endpoint, place int, found bool) {
	list = v.services[e.Service()]
	place, found = slices.BinarySearchFunc(list, e.ID(), func(o *Endpoint, id string) int { return strings.Compare(o.ID(), id) })
	return list, place, found
}

// listLocked puts an endpoint into a new list of its service. To sort all anew for each one would take a
// box that starts before thousands of endpoints most of its start.
func (v *View) addToServiceLocked(e *Endpoint) {
	list, place, found := v.findLocked(e)
	list = slices.Clone(list) // readers keep the old one
	if found {
		list[place] = e
	} else {
		list = slices.Insert(list, place, e)
	}
	v.services[e.Service()] = list
}

// unlistLocked takes an endpoint out of a new list of its service.
func (v *View) removeFromServiceLocked(e *Endpoint) {
	list, place, found := v.findLocked(e)
	switch {
	case !found:
	case len(list) == 1:
		delete(v.services, e.Service())
	default:
		v.services[e.Service()] = slices.Delete(slices.Clone(list), place, place+1)
	}
}

// changedLocked wakes those who wait for a change of the endpoints.
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

// Endpoint returns the endpoint with the ID; nil when it is not known.
func (v *View) Endpoint(id string) *Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[id]
}

// Endpoints returns the endpoints of a service by ID; do not change the list.
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

// Newest returns the newest published version of an adapter; zero when none was
// published since its first.
func (v *View) LatestVersion(a Adapter) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.latestVersions[a]
}

// SetNewest notes a published version; an older one changes nothing.
func (v *View) SetLatestVersion(a Adapter, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latestVersions[a] = max(v.latestVersions[a], version)
}

// SetHeld replaces what an endpoint holds.
func (v *View) SetAdapterStates(endpoint string, held map[Adapter]AdapterState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setAdapterStatesLocked(endpoint, held)
}

func (v *View) setAdapterStatesLocked(endpoint string, held map[Adapter]AdapterState) {
	for a := range v.adapterStates[endpoint] {
		if _, stays := held[a]; !stays {
			v.recordEvictionLocked(endpoint, a)
		}
		delete(v.endpointsByAdapter[a], endpoint)
		if len(v.endpointsByAdapter[a]) == 0 {
			delete(v.endpointsByAdapter, a)
		}
	}
	delete(v.adapterStates, endpoint)
	if held == nil {
		return
	}
	v.adapterStates[endpoint] = held
	for a, h := range held {
		v.lastHolder[a] = endpoint
		if v.endpointsByAdapter[a] == nil {
			v.endpointsByAdapter[a] = make(map[string]AdapterState)
		}
		v.endpointsByAdapter[a][endpoint] = h
	}
}

func (v *View) recordEvictionLocked(endpoint string, a Adapter) {
	if v.evictions[endpoint] == nil {
		v.evictions[endpoint] = new(evictionHistory)
	}
	v.evictions[endpoint].add(a)
}

// Left returns how many times an adapter has left an endpoint's slots since one did; false where
// none is known to have. The fewer, the more likely the endpoint's memory still has it.
func (v *View) EvictionsSince(endpoint string, a Adapter) (since int, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if m := v.evictions[endpoint]; m != nil {
		return m.evictionsSince(a)
	}
	return 0, false
}

// Drop forgets that an endpoint holds an adapter, after its own word.
func (v *View) RemoveAdapter(endpoint string, a Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.endpointsByAdapter[a], endpoint)
}

// Latest returns the endpoint that held an adapter last, of those that are there; nil when
// none is known. Its memory may still keep the adapter.
func (v *View) LastHolder(a Adapter) *Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[v.lastHolder[a]]
}

// Holders returns the endpoints where an adapter is ready in its newest version.
func (v *View) EndpointsReady(a Adapter) []*Endpoint { return v.endpointsWithAdapter(a, true) }

// Loading returns the endpoints where an adapter is on its way in its newest version.
func (v *View) EndpointsLoading(a Adapter) []*Endpoint { return v.endpointsWithAdapter(a, false) }

func (v *View) endpointsWithAdapter(a Adapter, ready bool) []*Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []*Endpoint
	for id, h := range v.endpointsByAdapter[a] {
		if e := v.endpoints[id]; e != nil && h.Ready == ready && h.Version >= v.latestVersions[a] {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
	return list
}
