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
	// resignTimeout bounds the call that asks a leaving box to resign from an endpoint. Its pending
	// orders take a few milliseconds, and the answer is only useful if it comes before a report by the
	// endpoint would.
	resignTimeout = 300 * time.Millisecond
	// orderMargin allows for an order of a leaving box that is still in transit: an endpoint responds
	// within a few milliseconds.
	orderMargin = 200 * time.Millisecond
)

// watchLeadership wakes the loader as soon as the set of data centres that this box leads changes, until
// ctx ends. Other boxes may already know of the change, and their load requests would wait otherwise. It
// also sends new leaders what this box knows of endpoints that ended.
func (n *Node) watchLeadership(ctx context.Context) error {
	var before []string
	for ctx.Err() == nil {
		changed := n.peers.table.Changed()
		if led := n.peers.clusterView().dataCentresCommandedBy(n.peers.box); !slices.Equal(led, before) {
			before = led
			n.loader.RefreshOwnership()
		}
		n.outbox.sendHistory(time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// requestHandover asks the leaving boxes that may own an endpoint to resign from it: those of its data
// centre, and the last box that this one saw lead there. If none resigns and one did not respond, it
// returns how long that box may still give orders.
func (p *peers) requestHandover(ctx context.Context, e *topology.Endpoint) (placement.Handover, time.Duration) {
	list := p.departingOwners(e.DataCentre(), clock.Now())
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
			wait = max(wait, clock.Until(r.box.Since().Add(placement.HandoverTimeout+orderMargin)))
		}
	}
	return handed, wait
}

// departingOwners returns the leaving boxes that may still give orders in a data centre.
func (p *peers) departingOwners(centre string, now time.Time) []member.Member {
	p.mu.Lock()
	before := p.leaders[centre].previous
	p.mu.Unlock()
	var list []member.Member
	for _, m := range p.table.Members() {
		gives := m.DataCentre() == centre || m.Name() == before
		if gives && m.State() == member.Leaving && m.Name() != p.box && now.Sub(m.Since()) < placement.HandoverTimeout+orderMargin {
			list = append(list, m)
		}
	}
	return list
}

// resignation is the response of a leaving box.
type resignation struct {
	box      member.Member
	handover placement.Handover
	failed   bool // the call failed
}

// resign asks one box to resign from an endpoint.
func (p *peers) resign(ctx context.Context, m member.Member, endpoint string) resignation {
	call, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	a, err := wire.NewShareClient(p.dialer.Conn(m.Address())).Resign(call, &wire.ResignRequest{Endpoint: endpoint})
	if status.Code(err) == codes.Unimplemented {
		return resignation{box: m} // older versions do not implement Resign and give up their endpoints when they begin to leave
	}
	if err != nil {
		p.log.Info("Leaving box did not answer the request to resign", "member", m.Name(), "endpoint", endpoint, "err", err.Error())
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
