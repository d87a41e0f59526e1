// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/quarantine"
)

// newWatch returns the detector of endpoints that end under requests of this box, and its
// callback.
func (g *Gateway) newWatch() *quarantine.Monitor {
	return &quarantine.Monitor{
		IsTerminated: func(ctx context.Context, address string) bool {
			return engine.HasExited(ctx, g.dial(), address)
		},
		OnTermination: g.endpointEnded,
	}
}

// endpointEnded handles the end of an endpoint; suspects are the requests that may have caused it.
func (g *Gateway) endpointEnded(endpoint string, suspects []quarantine.Fingerprint) {
	g.Log.Info("Endpoint ended under requests", "endpoint", endpoint, "contents", quarantine.Strings(suspects))
	if e := g.View.Endpoint(endpoint); e != nil {
		g.upstream(e).markDown(clock.Now())
	}
	g.Quarantine.Ended(endpoint, suspects)
}

// reportBroken reports that an endpoint broke off the response to a request.
func (g *Gateway) reportBroken(u *upstream, q *request) {
	g.watch().RecordInterruption(u.endpoint.ID(), u.endpoint.Address(), q.content)
}
