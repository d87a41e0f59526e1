// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// beliefs is what the replies of schedulers told lately of endpoints and
// adapters. Both tables are bounded. It is safe for concurrent use.
type beliefs struct {
	mu        sync.Mutex
	endpoints map[string]*endpointBelief
	adapters  map[string]*adapterBelief // at most adaptersKept
}

type endpointBelief struct {
	facts   policy.EndpointState
	heard   time.Time
	granted int // own grants not given back
}

type adapterBelief struct {
	width  int
	loaded map[string]time.Time // by endpoint: when it was heard ready there
	heard  time.Time
}

const (
	adaptersKept = 8192
	beliefLife   = 30 * time.Second // older beliefs count as nothing
)

func newBeliefs() *beliefs {
	return &beliefs{endpoints: make(map[string]*endpointBelief), adapters: make(map[string]*adapterBelief)}
}

// of returns the facts of an adapter's candidates and how many homes it should
// have.
func (b *beliefs) of(adapter string, names []string, now time.Time) ([]policy.EndpointState, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.adapters[adapter]
	facts := make([]policy.EndpointState, len(names))
	for i, n := range names {
		facts[i] = b.factsLocked(n, now)
		facts[i].Loaded = a != nil && now.Sub(a.loaded[n]) < beliefLife
	}
	if a == nil || now.Sub(a.heard) > beliefLife {
		return facts, 1
	}
	return facts, a.width
}

// factsLocked corrects what was heard by the own grants given since.
func (b *beliefs) factsLocked(name string, now time.Time) policy.EndpointState {
	e := b.endpoints[name]
	if e == nil {
		return policy.EndpointState{}
	}
	if now.Sub(e.heard) > beliefLife {
		return policy.EndpointState{Running: e.granted}
	}
	f := e.facts
	f.Running = max(f.Running, e.granted)
	f.Known = true
	f.Age = now.Sub(e.heard)
	return f
}

// hear takes in what a scheduler told.
func (b *beliefs) hear(endpoint, adapter string, w *wire.EndpointFacts, now time.Time) {
	if w == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointLocked(endpoint)
	e.facts = policy.EndpointState{Running: int(w.GetRunning()), Limit: int(w.GetLimit()), Waiting: int(w.GetWaiting())}
	e.heard = now
	a := b.adapterLocked(adapter)
	a.heard = now
	a.width = max(1, int(w.GetWidth()))
	if w.GetLoaded() {
		a.loaded[endpoint] = now
	} else {
		delete(a.loaded, endpoint)
	}
}

func (b *beliefs) endpointLocked(name string) *endpointBelief {
	e := b.endpoints[name]
	if e == nil {
		e = &endpointBelief{}
		b.endpoints[name] = e
	}
	return e
}

func (b *beliefs) adapterLocked(name string) *adapterBelief {
	if a := b.adapters[name]; a != nil {
		return a
	}
	for n := range b.adapters {
		if len(b.adapters) < adaptersKept {
			break
		}
		delete(b.adapters, n) // an arbitrary one; it is heard of again when asked for
	}
	a := &adapterBelief{width: 1, loaded: make(map[string]time.Time)}
	b.adapters[name] = a
	return a
}

// count changes the own grants at an endpoint.
func (b *beliefs) count(endpoint string, by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpointLocked(endpoint).granted += by
}
