// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"sync"

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

	mu      sync.Mutex
	counts  map[useKey]int // requests begun since the last report
	running map[useKey]int // requests under way
}

// Begun implements forward.Observer.
func (u *usage) Begun(e *topology.Endpoint, a topology.Adapter) func() {
	k := useKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: a}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[useKey]int)
	}
	if u.running == nil {
		u.running = make(map[useKey]int)
	}
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

// run tells the leaders, until ctx ends.
func (u *usage) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, usePause)
		u.mu.Lock()
		counts, running := u.counts, maps.Clone(u.running)
		u.counts = nil
		u.mu.Unlock()
		u.tell(ctx, counts, running)
	}
	return nil
}

// tell sends each leader the counts of its endpoints, and the own leader besides
// what went to other data centres. What is lost only makes a rate of use look
// smaller.
func (u *usage) tell(ctx context.Context, counts, running map[useKey]int) {
	own := u.node.peers.centre
	byCentre := make(map[string]*wire.UseRequest)
	add := func(centre string, w *wire.Usage) {
		q := byCentre[centre]
		if q == nil {
			q = &wire.UseRequest{Box: u.node.peers.box, DataCentre: own}
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
