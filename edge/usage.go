// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"sync"
	"time"

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
	node   *Node
	urgent chan map[useKey]int // requests under way with adapters that are to leave

	mu      sync.Mutex
	counts  map[useKey]int // requests begun since the last report
	running map[useKey]int // requests under way
}

// urgentMost reports of adapters that leave wait to be told; more are told with the next
// whole report.
const urgentMost = 64

func newUsage(n *Node) *usage {
	return &usage{node: n, urgent: make(chan map[useKey]int, urgentMost), counts: make(map[useKey]int), running: make(map[useKey]int)}
}

// Begun implements forward.Observer.
func (u *usage) Begun(e *topology.Endpoint, a topology.Adapter) func() {
	k := useKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: a}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[k]++
	u.running[k]++
	return func() { u.ended(k) }
}

func (u *usage) ended(k useKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[k]--
	if u.running[k] <= 0 {
		delete(u.running, k)
	}
}

// gone hears that adapters are not to be used at an endpoint any more. Its leader is told
// soon which of them are in use here, since it waits for that before it unloads them.
func (u *usage) gone(endpoint string, adapters []topology.Adapter) {
	e := u.node.view.Endpoint(endpoint)
	if e == nil {
		return
	}
	running := make(map[useKey]int)
	u.mu.Lock()
	for _, a := range adapters {
		k := useKey{endpoint: endpoint, centre: e.DataCentre(), adapter: a}
		if n := u.running[k]; n > 0 {
			running[k] = n
		}
	}
	u.mu.Unlock()
	if len(running) == 0 {
		return
	}
	select {
	case u.urgent <- running:
	default: // the next whole report tells it
	}
}

// run tells the leaders, until ctx ends.
func (u *usage) run(ctx context.Context) error {
	tick := time.NewTicker(usePause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case running := <-u.urgent:
			u.tell(ctx, nil, running, true)
		case <-tick.C:
			u.mu.Lock()
			counts, running := u.counts, maps.Clone(u.running)
			u.counts = make(map[useKey]int)
			u.mu.Unlock()
			u.tell(ctx, counts, running, false)
		}
	}
}

// tell sends each leader the counts of its endpoints, and the own leader besides
// what went to other data centres. What is lost only makes a rate of use look
// smaller.
func (u *usage) tell(ctx context.Context, counts, running map[useKey]int, part bool) {
	own := u.node.peers.centre
	byCentre := make(map[string]*wire.UseRequest)
	add := func(centre string, w *wire.Usage) {
		q := byCentre[centre]
		if q == nil {
			q = &wire.UseRequest{Box: u.node.peers.box, DataCentre: own, Part: part}
			byCentre[centre] = q
		}
		q.Usage = append(q.Usage, w)
	}
	for k, n := range running {
		if counts[k] == 0 {
			add(k.centre, &wire.Usage{Endpoint: k.endpoint, Adapter: k.adapter.String(), Running: int32(n)})
		}
	}
	for k, n := range counts {
		add(k.centre, &wire.Usage{Endpoint: k.endpoint, Adapter: k.adapter.String(), Count: int32(n), Running: int32(running[k])})
		if k.centre != own {
			add(own, &wire.Usage{Adapter: k.adapter.String(), Far: int32(n)})
		}
	}
	for c, q := range byCentre {
		u.tellOne(ctx, c, q)
	}
}

func (u *usage) tellOne(ctx context.Context, centre string, q *wire.UseRequest) {
	m, ok := u.node.peers.outlook().leader(centre)
	if !ok {
		return
	}
	if m.Name() == u.node.peers.box {
		u.node.use(q)
		return
	}
	call, cancel := context.WithTimeout(ctx, usePause)
	defer cancel()
	if _, err := wire.NewShareClient(u.node.peers.dialer.Conn(m.Address())).Use(call, q); err != nil {
		u.node.Log.V(1).Info("Leader was not told of use", "leader", m.Name(), "err", err.Error())
	}
}
