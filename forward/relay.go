// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"

	"cairnwick.example/engine"
	"cairnwick.example/topology"
	"github.com/pkg/errors"
)

// ErrNoRelay is returned by a Relay if no box can help.
var ErrNoRelay = errors.New("forward: no other box can open connections to the endpoints")

// Relay opens connections to endpoints through other boxes, which reach them when this one does not. Such a connection
// carries the same bytes as one of this box: requests are decided, counted and retried here.
type Relay interface {
	Dial(ctx context.Context, e *topology.Endpoint) (net.Conn, error)
}

// dialRelay opens a connection to an endpoint through another box.
func (g *Gateway) dialRelay(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	c, err := g.Relay.Dial(ctx, e)
	if err != nil && ctx.Err() != nil {
		return nil, err // the request ended
	}
	if g.links.recordRelay(e.Service(), err == nil) {
		g.Log.Info("Other boxes reach the service's endpoints; requests go through them", "service", e.Service())
		g.linksChanged()
	}
	return c, err
}

// isOwnFault reports whether a failure at an endpoint may be due to this box's own link: the box is cut off from the
// service, and the request did not go through another box.
func (g *Gateway) isOwnFault(u *upstream, relayed bool) bool {
	return !relayed && g.links.isCutOff(u.endpoint.Service())
}

// exchange sends the request to an endpoint, and returns the response and whether it came through another box. It goes
// through one if this box is cut off from the service's endpoints, or finds that out by this request.
func (g *Gateway) exchange(ctx context.Context, q *request, u *upstream, t target, lastEvent string) (resp *http.Response, relayed bool, err error) {
	if g.Relay == nil || !g.links.isCutOff(u.endpoint.Service()) {
		resp, err = g.sendDirect(ctx, q, u, t, lastEvent)
		if err == nil || g.Relay == nil || ctx.Err() != nil || wasSent(err) || !g.links.isCutOff(u.endpoint.Service()) {
			return resp, false, err
		}
	}
	r, err := g.newOutbound(ctx, q, t, lastEvent)
	if err != nil {
		return nil, true, err
	}
	resp, err = engine.Send(u.relayClient(), r, q.deadline, g.responseID(q, u))
	if errors.Is(err, ErrNoRelay) && !g.links.hasFailed(u.endpoint) { // those that have failed are probed
		resp, err = g.sendDirect(ctx, q, u, t, lastEvent)
		return resp, false, err
	}
	return resp, true, err
}

// sendDirect sends the request by this box's own link. One that may be executed again is abandoned as soon as the box is cut
// off, so that it goes through another box while its caller still waits.
func (g *Gateway) sendDirect(ctx context.Context, q *request, u *upstream, t target, lastEvent string) (*http.Response, error) {
	if g.Relay != nil && q.route.IsReexecutable() {
		var abandon context.CancelFunc
		ctx, abandon = context.WithCancel(ctx) // ends with the caller's request
		defer g.links.onLost(u.endpoint.Service(), abandon)()
	}
	r, err := g.newOutbound(ctx, q, t, lastEvent)
	if err != nil {
		return nil, err
	}
	client := u.client()
	if q.sentAnyTo[u.endpoint.ID()] {
		client = u.singleUseClient()
	}
	q.noteSentTo(u.endpoint)
	return engine.Send(client, r, q.deadline, g.responseID(q, u))
}

// responseID returns the ID by which the response to the request is found on a connection.
func (g *Gateway) responseID(q *request, u *upstream) engine.ResponseID {
	return engine.ResponseID{Header: g.Protocol.IDHeader(), Value: q.call.ID, OnSurplus: func() { g.recordSurplus(u.endpoint.ID()) }}
}

// wasSent reports whether any byte of a request without a response may have been sent.
func wasSent(err error) bool {
	var lost *engine.NoResponseError
	return !errors.As(err, &lost) || lost.Sent
}
