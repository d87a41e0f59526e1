// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
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

	mu     sync.Mutex
	counts map[useKey]int
}

// Used implements forward.Observer.
func (u *usage) Used(e *topology.Endpoint, a topology.Adapter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = make(map[useKey]int)
	}
	u.counts[useKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: a}]++
}

// run tells the leaders, until ctx ends.
func (u *usage) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, usePause)
		u.mu.Lock()
		counts := u.counts
		u.counts = nil
		u.mu.Unlock()
		u.tell(ctx, counts)
	}
	return nil
}

// tell sends each leader the counts of its endpoints. What is lost only makes a
// rate of use look smaller.
func (u *usage) tell(ctx context.Context, counts map[useKey]int) {
	byCentre := make(map[string]*wire.UseRequest)
	for k, n := range counts {
		q := byCentre[k.centre]
		if q == nil {
			q = &wire.UseRequest{Box: u.node.peers.box, DataCentre: u.node.peers.centre}
			byCentre[k.centre] = q
		}
		far := 0
		if k.centre != u.node.peers.centre {
			far = n
		}
		q.Usage = append(q.Usage, &wire.Usage{Endpoint: k.endpoint, Adapter: k.adapter.String(), Count: int32(n), Far: int32(far)})
	}
	for c, q := range byCentre {
		m, ok := u.node.peers.leader(c)
		if !ok {
			continue
		}
		if m.Name() == u.node.peers.box {
			_, _ = shareServer{node: u.node}.Use(ctx, q) // has no errors
			continue
		}
		call, cancel := context.WithTimeout(ctx, usePause)
		if _, err := wire.NewShareClient(u.node.peers.dialer.Conn(m.Address())).Use(call, q); err != nil {
			u.node.log.V(1).Info("Leader was not told of use", "leader", m.Name(), "err", err.Error())
		}
		cancel()
	}
}
