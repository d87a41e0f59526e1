// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"slices"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// resignMost is how long a box that leaves has to resign from an endpoint: its orders
	// under way take a few milliseconds, and what it tells must be used before a report
	// would do.
	resignMost = 300 * time.Millisecond
	// keepMargin is how long a box's last order may be on its way: an endpoint answers in a
	// few milliseconds.
	keepMargin = 200 * time.Millisecond
)

// watchLead has the loader look at what this box owns as soon as it leads other data centres
// than before, until ctx ends: who heard of it before gets no load meanwhile.
func (n *Node) watchLead(ctx context.Context) error {
	var before []string
	for ctx.Err() == nil {
		changed := n.peers.table.Changed()
		if led := n.peers.clusterView().dataCentresLedBy(n.peers.box); !slices.Equal(led, before) {
			before = led
			n.loader.RefreshOwnership()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// takeOver asks the boxes that leave to resign from an endpoint. Any of its data centre may
// have led there, and the one that this box saw lead. Where none resigns and one did not
// answer, that one may give orders for so long.
func (p *peers) takeOver(ctx context.Context, e *topology.Endpoint) (placement.Handover, time.Duration) {
	list := p.leaversOf(e.DataCentre(), clock.Now())
	answers := make(chan resignation, len(list))
	for _, m := range list {
		go func() { answers <- p.resign(ctx, m, e.ID()) }()
	}
	var handed placement.Handover
	var wait time.Duration
	for range list {
		r := <-answers
		if r.handover.Resigned {
			handed = r.handover
		}
		if r.failed {
			wait = max(wait, clock.Until(r.box.Since().Add(placement.HandoverTimeout+keepMargin)))
		}
	}
	return handed, wait
}

// leaversOf returns the boxes that may still give orders in a data centre though they leave.
func (p *peers) leaversOf(centre string, now time.Time) []member.Member {
	p.mu.Lock()
	before := p.leaders[centre].previous
	p.mu.Unlock()
	var list []member.Member
	for _, m := range p.table.All() {
		gives := m.DataCentre() == centre || m.Name() == before
		if gives && m.State() == member.Leaving && m.Name() != p.box && now.Sub(m.Since()) < placement.HandoverTimeout+keepMargin {
			list = append(list, m)
		}
	}
	return list
}

// resignation is what a box that leaves answered.
type resignation struct {
	box      member.Member
	handover placement.Handover
	failed   bool // it did not answer
}

// resign asks one box to resign from an endpoint.
func (p *peers) resign(ctx context.Context, m member.Member, endpoint string) resignation {
	call, cancel := context.WithTimeout(ctx, resignMost)
	defer cancel()
	a, err := wire.NewShareClient(p.dialer.Conn(m.Address())).Resign(call, &wire.ResignRequest{Endpoint: endpoint})
	if status.Code(err) == codes.Unimplemented {
		return resignation{box: m} // of an older version: it gave its endpoints up as it began to leave
	}
	if err != nil {
		p.log.Info("Box that leaves does not answer", "member", m.Name(), "endpoint", endpoint, "err", err.Error())
		return resignation{box: m, failed: true}
	}
	h := placement.Handover{Resigned: a.GetResigned(), Fence: a.GetFence()}
	h.Models = a.GetModels()
	h.Ready, h.Pending = make(map[topology.Adapter]int64), make(map[topology.Adapter]int64)
	for _, s := range a.GetSlots() {
		held := h.Pending
		if s.GetReady() {
			held = h.Ready
		}
		held[topology.ParseAdapter(s.GetAdapter())] = s.GetVersion()
	}
	return resignation{box: m, handover: h}
}
