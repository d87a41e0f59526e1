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

// usageKey is an adapter at an endpoint.
type usageKey struct {
	endpoint string
	centre   string
	adapter  topology.Adapter
}

// usage counts where adapters are used and tells the endpoints' leaders.
type usage struct {
	node     *Node
	wake     chan struct{} // holds one when something changed
	reported chan string   // data centres whose leader was told

	mu        sync.Mutex
	leaders   map[string]string         // by data centre: who was its leader at the last look
	counts    map[usageKey]int          // requests begun since the last report
	inFlight  map[usageKey]inFlightLoad // requests under way
	changed   map[usageKey]bool         // what its leader has not been told
	remote    map[topology.Adapter]int  // requests begun in other data centres, of which the own leader has not been told
	reporting map[string]bool           // data centres whose leader is being told
}

// inFlightLoad is the requests under way with an adapter at an endpoint.
type inFlightLoad struct {
	requests     int
	unreadTokens int // tokens of prompts that the endpoint has not read
}

func newUsage(n *Node) *usage {
	return &usage{
		node:      n,
		wake:      make(chan struct{}, 1),
		reported:  make(chan string),
		leaders:   make(map[string]string),
		counts:    make(map[usageKey]int),
		inFlight:  make(map[usageKey]inFlightLoad),
		changed:   make(map[usageKey]bool),
		remote:    make(map[topology.Adapter]int),
		reporting: make(map[string]bool),
	}
}

// Begun implements forward.Observer.
func (u *usage) Begun(e *topology.Endpoint, c forward.Call) forward.Run {
	r := &callTracker{usage: u, key: usageKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: c.Adapter}, unreadTokens: c.TokensIn}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[r.key]++
	if r.key.centre != u.node.peers.centre {
		u.remote[c.Adapter]++
	}
	u.changeLocked(r.key, 1, r.unreadTokens)
	return r
}

// callTracker implements forward.Run. Guarded by usage.mu.
type callTracker struct {
	usage        *usage
	key          usageKey
	unreadTokens int // tokens of its prompt that the endpoint has not read
	ended        bool
}

// Read implements forward.Run.
func (r *callTracker) Read() {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if r.unreadTokens > 0 {
		r.usage.changeLocked(r.key, 0, -r.unreadTokens)
		r.unreadTokens = 0
	}
}

// Ended implements forward.Run.
func (r *callTracker) Ended() {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if !r.ended {
		r.ended = true
		r.usage.changeLocked(r.key, -1, -r.unreadTokens)
	}
}

// changeLocked counts requests and tokens; the endpoint's leader is told soon.
func (u *usage) changeLocked(k usageKey, requests, reading int) {
	w := u.inFlight[k]
	w.requests += requests
	w.unreadTokens += reading
	u.inFlight[k] = w
	if w.requests <= 0 {
		delete(u.inFlight, k)
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
	whole := time.NewTicker(usePause)
	defer whole.Stop()
	var soon <-chan time.Time // when what changed is told; nil: nothing has
	look := time.NewTicker(lookPause)
	defer look.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-u.wake:
			if soon == nil { // what changes later is told with what waits: set anew, the time would not run out on a busy box
				soon = time.After(changePause)
			}
		case <-soon:
			soon = nil
			u.report(ctx, false)
		case <-look.C:
			u.detectNewLeaders(u.node.peers.clusterView())
		case <-whole.C:
			u.report(ctx, true)
		case c := <-u.reported:
			u.finishReport(c)
		}
	}
	for range u.reporting {
		<-u.reported
	}
	return nil
}

// detectNewLeaders has a data centre's new leader told of all that is under way there: it empties no
// slot before it knows what is in use.
func (u *usage) detectNewLeaders(v *clusterView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := make(map[string]string)
	for k := range u.inFlight {
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

// finishReport notes that a data centre's leader was told. What changed meanwhile is told next.
func (u *usage) finishReport(centre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.reporting, centre)
	if len(u.changed) > 0 {
		u.wakeUp()
	}
}

// report sends each leader what changed at its endpoints, or, with whole, all that is under
// way there. A leader that is still being told is told later, so that its reports keep
// their order; one that does not answer holds up no other.
func (u *usage) report(ctx context.Context, whole bool) {
	u.mu.Lock()
	list := u.collectLocked(whole)
	for c := range list {
		u.reporting[c] = true
	}
	u.mu.Unlock()
	for c, q := range list {
		go func() {
			u.sendReport(ctx, c, q)
			u.reported <- c
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
		for k := range u.inFlight {
			keys[k] = true
		}
		for k := range u.counts {
			keys[k] = true
		}
	}
	for k := range keys {
		if u.reporting[k.centre] {
			continue
		}
		w := u.inFlight[k]
		add(k.centre, &wire.Usage{
			Endpoint: k.endpoint,
			Adapter:  k.adapter.String(),
			Count:    int32(u.counts[k]),
			Running:  int32(w.requests),
			Reading:  int64(w.unreadTokens),
		})
		delete(u.changed, k)
		delete(u.counts, k)
	}
	if own := u.node.peers.centre; whole && !u.reporting[own] {
		for a, n := range u.remote {
			add(own, &wire.Usage{Adapter: a.String(), Far: int32(n)})
		}
		clear(u.remote)
	}
	return list
}

// sendReport tells one leader. What is lost is told with the next whole report.
func (u *usage) sendReport(ctx context.Context, centre string, q *wire.UseRequest) {
	m, ok := u.node.peers.clusterView().leader(centre)
	if !ok {
		return
	}
	if m.Name() == u.node.peers.box {
		u.node.loadCosts.update(centre, u.node.use(q), clock.Now())
		return
	}
	call, cancel := context.WithTimeout(ctx, usePause)
	defer cancel()
	a, err := wire.NewShareClient(u.node.peers.dialer.Conn(m.Address())).Use(call, q)
	if err != nil {
		u.node.Log.V(1).Info("Leader was not told of use", "leader", m.Name(), "err", err.Error())
		return
	}
	u.node.loadCosts.update(centre, a, clock.Now())
}
