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

	mu        sync.RWMutex
	endpoints map[string]*Endpoint        // by ID
	services  map[string][]*Endpoint      // endpoints of a service, sorted by ID; a list never changes
	newest    map[Adapter]int64           // the newest version that was published
	held      map[string]map[Adapter]Held // by endpoint
	holders   map[Adapter]map[string]Held // by adapter, then endpoint
	memories  map[string]*memory          // by endpoint
	leaving   leaving                     // by their own word; SetEndpoint can't take it back
	latest    map[Adapter]string          // endpoint that began to hold an adapter last, though it may not any more
	changed   chan struct{}               // closed at the next change of endpoints
}

// NewView returns a view of nothing.
func NewView() *View {
	return &View{
		endpoints: make(map[string]*Endpoint),
		services:  make(map[string][]*Endpoint),
		newest:    make(map[Adapter]int64),
		held:      make(map[string]map[Adapter]Held),
		holders:   make(map[Adapter]map[string]Held),
		memories:  make(map[string]*memory),
		latest:    make(map[Adapter]string),
		changed:   make(chan struct{}),
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
	if v.leaving.lives[e.ID()] {
		e = e.leaves()
	}
	if old := v.endpoints[e.ID()]; old != nil && old.Service() != e.Service() {
		v.unlistLocked(old)
	}
	v.endpoints[e.ID()] = e
	v.listLocked(e)
	v.changedLocked()
}

// Leave notes that a life of an endpoint said that it leaves, which may not be known yet; it tells
// whether that is news. From then on it is draining, whatever its source says of it: that may be older,
// and may be silent for long.
func (v *View) Leave(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leaving.add(id) {
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
	v.setHeldLocked(id, nil)
	delete(v.memories, id)
	v.unlistLocked(e)
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
func (v *View) listLocked(e *Endpoint) {
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
func (v *View) unlistLocked(e *Endpoint) {
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
func (v *View) Newest(a Adapter) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.newest[a]
}

// SetNewest notes a published version; an older one changes nothing.
func (v *View) SetNewest(a Adapter, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest[a] = max(v.newest[a], version)
}

// SetHeld replaces what an endpoint holds.
func (v *View) SetHeld(endpoint string, held map[Adapter]Held) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setHeldLocked(endpoint, held)
}

func (v *View) setHeldLocked(endpoint string, held map[Adapter]Held) {
	for a := range v.held[endpoint] {
		if _, stays := held[a]; !stays {
			v.leftLocked(endpoint, a)
		}
		delete(v.holders[a], endpoint)
		if len(v.holders[a]) == 0 {
			delete(v.holders, a)
		}
	}
	delete(v.held, endpoint)
	if held == nil {
		return
	}
	v.held[endpoint] = held
	for a, h := range held {
		v.latest[a] = endpoint
		if v.holders[a] == nil {
			v.holders[a] = make(map[string]Held)
		}
		v.holders[a][endpoint] = h
	}
}

func (v *View) leftLocked(endpoint string, a Adapter) {
	if v.memories[endpoint] == nil {
		v.memories[endpoint] = new(memory)
	}
	v.memories[endpoint].add(a)
}

// Left returns how many times an adapter has left an endpoint's slots since one did; false where
// none is known to have. The fewer, the more likely the endpoint's memory still has it.
func (v *View) Left(endpoint string, a Adapter) (since int, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if m := v.memories[endpoint]; m != nil {
		return m.since(a)
	}
	return 0, false
}

// Drop forgets that an endpoint holds an adapter, after its own word.
func (v *View) Drop(endpoint string, a Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.holders[a], endpoint)
}

// Latest returns the endpoint that held an adapter last, of those that are there; nil when
// none is known. Its memory may still keep the adapter.
func (v *View) Latest(a Adapter) *Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[v.latest[a]]
}

// Holders returns the endpoints where an adapter is ready in its newest version.
func (v *View) Holders(a Adapter) []*Endpoint { return v.where(a, true) }

// Loading returns the endpoints where an adapter is on its way in its newest version.
func (v *View) Loading(a Adapter) []*Endpoint { return v.where(a, false) }

func (v *View) where(a Adapter, ready bool) []*Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []*Endpoint
	for id, h := range v.holders[a] {
		if e := v.endpoints[id]; e != nil && h.Ready == ready && h.Version >= v.newest[a] {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
	return list
}
