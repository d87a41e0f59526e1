// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/quarantine"
)

// newWatch returns the detector of endpoints that end under requests of this box, and its
// callback.
func (g *Gateway) newWatch() *quarantine.Monitor {
	return &quarantine.Monitor{
		IsTerminated:  g.hasExited,
		OnTermination: g.endpointEnded,
	}
}

// hasExited reports whether nothing listens at an endpoint's address any more. If this box finds that and another box
// connects there, its own link has failed.
func (g *Gateway) hasExited(ctx context.Context, address string) bool {
	e := g.upstreams.at(address)
	if e == nil || g.Relay == nil {
		return engine.HasExited(ctx, g.dial(), address)
	}
	if g.links.isCutOff(e.Service()) {
		return engine.HasExited(ctx, func(ctx context.Context, _, _ string) (net.Conn, error) { return g.dialRelay(ctx, e) }, address)
	}
	if !engine.HasExited(ctx, g.dial(), address) {
		return false
	}
	c, err := g.dialRelay(ctx, e)
	if err != nil {
		return true
	}
	_ = c.Close() // nothing was sent
	return false
}

// endpointEnded handles the end of an endpoint; suspects are the requests that may have caused it.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Suspect) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Strings(quarantine.Contents(suspects)),
		"parts", quarantine.PartIDs(quarantine.SuspectParts(suspects)))
	if e := g.View.Endpoint(endpoint); e != nil {
		g.upstream(e).markDown(clock.Now())
	}
	g.Quarantine.Ended(endpoint, suspects)
}

// reportBroken reports that an endpoint broke off the response to a request. A part of the prompt that crashes endpoints
// does so as they begin to respond.
func (g *Gateway) reportBroken(u *upstream, q *request) {
	s := quarantine.Suspect{Content: q.content, Service: u.endpoint.Service()}
	if !q.responseBegan {
		s.Parts = q.parts
	}
	g.watch().RecordInterruption(u.endpoint.ID(), u.endpoint.Address(), s)
}

// recordBegan records that an endpoint began to respond to a request.
func (g *Gateway) recordBegan(q *request, service string) {
	if q.responseBegan {
		return
	}
	q.responseBegan = true
	g.unbegun.remove(q)
	g.Quarantine.Began(service, q.parts)
}
