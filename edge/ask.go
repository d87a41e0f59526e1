// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// requestLoad requests an adapter load from the leader of the endpoint's data centre, and waits for the result.
func (p *peers) requestLoad(ctx context.Context, m member.Member, w forward.Wanted) (forward.Placed, error) {
	ctx, cancel := context.WithTimeout(ctx, max(w.Most, w.Wait, 0)+askTimeoutMargin)
	defer cancel()
	go p.cancelWhenNotServing(ctx, cancel, m.Name())
	a, err := wire.NewShareClient(p.dialer.Conn(m.Address())).Ask(ctx, &wire.AskRequest{
		Request:    w.Request,
		Endpoint:   w.Endpoint.ID(),
		Adapter:    w.Adapter.String(),
		Version:    w.Version,
		WaitMicros: w.Wait.Microseconds(),
		MostMicros: w.Most.Microseconds(),
		Priority:   int32(w.Priority),
		Worth:      w.Worth,
		Returned:   w.Returned,
		Denied:     w.Denied,
		Tokens:     int64(w.Tokens),
		Elsewhere:  w.Elsewhere,
		Avoid:      w.Avoid,
	})
	if err != nil {
		return forward.Placed{}, errors.Wrapf(err, "edge: leader %s", m.Name())
	}
	return forward.Placed{
		Ready:    a.GetReady(),
		Settling: a.GetSettling(),
		Endpoint: a.GetEndpoint(),
		Version:  a.GetVersion(),
		Queued:   time.Duration(a.GetQueuedMicros()) * time.Microsecond,
		Retry:    time.Duration(a.GetRetryMicros()) * time.Microsecond,
		Reason:   a.GetReason(),
	}, nil
}

// cancelWhenNotServing cancels a call to a box as soon as the box is no longer considered serving. Otherwise a frozen
// box would hold its callers until their timeout.
func (p *peers) cancelWhenNotServing(ctx context.Context, cancel context.CancelFunc, name string) {
	for ctx.Err() == nil {
		changed := p.table.Changed()
		if !p.isServing(name) {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// wantedFromRequest converts an AskRequest of another box.
func wantedFromRequest(q *wire.AskRequest, e *topology.Endpoint) forward.Wanted {
	return forward.Wanted{
		Request:  q.GetRequest(),
		Endpoint: e,
		Adapter:  topology.ParseAdapter(q.GetAdapter()),
		Version:  q.GetVersion(),
		Wait:     time.Duration(q.GetWaitMicros()) * time.Microsecond,
		Most:     time.Duration(q.GetMostMicros()) * time.Microsecond,
		Priority: int(q.GetPriority()),
		Worth:    q.GetWorth(),
		Returned: q.GetReturned(),
		Denied:   q.GetDenied(),
		Tokens:   int(q.GetTokens()),

		Elsewhere: q.GetElsewhere(),
		Avoid:     q.GetAvoid(),
	}
}

// placer implements forward.Placer: it forwards requests to the leader of the endpoint's data centre, or to the local
// loader if this box is in charge of the endpoint.
type placer struct{ node *Node }

// Want implements forward.Placer.
func (p placer) Want(ctx context.Context, w forward.Wanted) (forward.Placed, error) {
	m, ok := p.node.peers.clusterView().leader(w.Endpoint.DataCentre())
	if !ok || m.Name() == p.node.peers.box || p.node.loader.OrdersWhileLeaving(w.Endpoint.ID()) {
		return p.node.loader.Want(ctx, w)
	}
	return p.node.peers.requestLoad(ctx, m, w)
}
