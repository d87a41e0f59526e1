// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
)

// useKey is an adapter at an endpoint.
type useKey struct {
	endpoint string
	centre   string
	adapter  topology.Adapter
}

// usage counts where adapters are used and tells the endpoints' leaders.
type usage struct {
	node *Node
	wake chan struct{} // holds one when something changed
	told chan string   // data centres whose leader was told

	mu      sync.Mutex
	leaders map[string]string        // by data centre: who was its leader at the last look
	counts  map[useKey]int           // requests begun since the last report
	running map[useKey]underWay      // requests under way
	changed map[useKey]bool          // what its leader has not been told
	far     map[topology.Adapter]int // requests begun in other data centres, of which the own leader has not been told
	telling map[string]bool          // data centres whose leader is being told
}

// underWay is the requests under way with an adapter at an endpoint.
type underWay struct {
	requests int
	reading  int // tokens of prompts that the endpoint has not read
}

func newUsage(n *Node) *usage {
	return &usage{
		node:    n,
		wake:    make(chan struct{}, 1),
		told:    make(chan string),
		leaders: make(map[string]string),
		counts:  make(map[useKey]int),
		running: make(map[useKey]underWay),
		changed: make(map[useKey]bool),
		far:     make(map[topology.Adapter]int),
		telling: make(map[string]bool),
	}
}

// RequestStarted implements forward.Observer.
func (u *usage) RequestStarted(e *topology.Endpoint, c forward.Call) forward.Run {
	r := &run{usage: u, key: useKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: c.Adapter}, reading: c.PromptTokens}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[r.key]++
	if r.key.centre != u.node.peers.centre {
		u.far[c.Adapter]++
	}
	u.changeLocked(r.key, 1, r.reading)
	return r
}

// run implements forward.Run. Guarded by usage.mu.
type run struct {
	usage   *usage
	key     useKey
	reading int // tokens of its prompt that the endpoint has not read
	over    bool
}

// PromptRead implements forward.Run.
func (r *run) PromptRead() {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if r.reading > 0 {
		r.usage.changeLocked(r.key, 0, -r.reading)
		r.reading = 0
	}
}

// Finished implements forward.Run.
func (r *run) Finished() {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if !r.over {
		r.over = true
		r.usage.changeLocked(r.key, -1, -r.reading)
	}
}

// changeLocked counts requests and tokens; the endpoint's leader is told soon.
func (u *usage) changeLocked(k useKey, requests, reading int) {
	w := u.running[k]
	w.requests += requests
	w.reading += reading
	u.running[k] = w
	if w.requests <= 0 {
		delete(u.running, k)
	}
	u.changed[k] = true
	u.wakeUp()
}

func (u *usage) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// run tells the leaders of changes soon, and of everything now and then, until ctx ends.
func (u *usage) run(ctx context.Context) error {
	whole := time.NewTicker(fullUsageInterval)
	defer whole.Stop()
	var soon <-chan time.Time // when what changed is told; nil: nothing has
	look := time.NewTicker(leaderCheckInterval)
	defer look.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-u.wake:
			if soon == nil { // what changes later is told with what waits: set anew, the time would not run out on a busy box
				soon = time.After(usageBatchDelay)
			}
		case <-soon:
			soon = nil
			u.tell(ctx, false)
		case <-look.C:
			u.follow(u.node.peers.clusterView())
		case <-whole.C:
			u.tell(ctx, true)
		case c := <-u.told:
			u.ended(c)
		}
	}
	for range u.telling {
		<-u.told
	}
	return nil
}

// follow has a data centre's new leader told of all that is under way there: it empties no
// slot before it knows what is in use.
func (u *usage) follow(v *clusterView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := make(map[string]string)
	for k := range u.running {
		m, ok := v.leader(k.centre)
		if ok && u.leaders[k.centre] != m.Name() {
			moved[k.centre] = m.Name()
			u.changed[k] = true
		}
	}
	for c, name := range moved {
		u.leaders[c] = name
		u.wakeUp()
	}
}

// ended notes that a data centre's leader was told. What changed meanwhile is told next.
func (u *usage) ended(centre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.telling, centre)
	if len(u.changed) > 0 {
		u.wakeUp()
	}
}

// tell sends each leader what changed at its endpoints, or, with whole, all that is under
// way there. A leader that is still being told is told later, so that its reports keep
// their order; one that does not answer holds up no other.
func (u *usage) tell(ctx context.Context, whole bool) {
	u.mu.Lock()
	list := u.collectLocked(whole)
	for c := range list {
		u.telling[c] = true
	}
	u.mu.Unlock()
	for c, q := range list {
		go func() {
			u.tellOne(ctx, c, q)
			u.told <- c
		}()
	}
}

// collectLocked takes the reports for the leaders that are not being told.
func (u *usage) collectLocked(whole bool) map[string]*wire.UseRequest {
	list := make(map[string]*wire.UseRequest)
	add := func(centre string, w *wire.Usage) {
		if list[centre] == nil {
			list[centre] = &wire.UseRequest{Box: u.node.peers.box, DataCentre: u.node.peers.centre, Part: !whole}
		}
		list[centre].Usage = append(list[centre].Usage, w)
	}
	keys := maps.Clone(u.changed)
	if whole {
		for k := range u.running {
			keys[k] = true
		}
		for k := range u.counts {
			keys[k] = true
		}
	}
	for k := range keys {
		if u.telling[k.centre] {
			continue
		}
		w := u.running[k]
		add(k.centre, &wire.Usage{
			Endpoint: k.endpoint,
			Adapter:  k.adapter.String(),
			Count:    int32(u.counts[k]),
			Running:  int32(w.requests),
			Reading:  int64(w.reading),
		})
		delete(u.changed, k)
		delete(u.counts, k)
	}
	if own := u.node.peers.centre; whole && !u.telling[own] {
		for a, n := range u.far {
			add(own, &wire.Usage{Adapter: a.String(), Far: int32(n)})
		}
		clear(u.far)
	}
	return list
}

// tellOne tells one leader. What is lost is told with the next whole report.
func (u *usage) tellOne(ctx context.Context, centre string, q *wire.UseRequest) {
	m, ok := u.node.peers.clusterView().leader(centre)
	if !ok {
		return
	}
	if m.Name() == u.node.peers.box {
		u.node.levels.hear(centre, u.node.recordUsage(q), clock.Now())
		return
	}
	call, cancel := context.WithTimeout(ctx, fullUsageInterval)
	defer cancel()
	a, err := wire.NewShareClient(u.node.peers.dialer.Conn(m.Address())).Use(call, q)
	if err != nil {
		u.node.Log.V(1).Info("Leader was not told of use", "leader", m.Name(), "err", err.Error())
		return
	}
	u.node.levels.hear(centre, a, clock.Now())
}
