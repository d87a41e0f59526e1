// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/catalog"
	"cairnwick.example/clock"
)

// observeBackoff starts the back-off that an endpoint set for this gateway when it rejected a request; zero: none.
// The endpoint's owner continues to issue grants for it to other gateways.
func (g *Gateway) observeBackoff(endpoint string, d time.Duration) {
	if d > 0 && g.backoffs.Extend(endpoint, d, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", d.Milliseconds())
	}
}

// checkBackoff returns the failure of a request to an endpoint that is in a back-off; nil: it may be sent.
func (g *Gateway) checkBackoff(endpoint string) *Failure {
	remaining := g.backoffs.Remaining(endpoint, clock.Now())
	if remaining == 0 {
		return nil
	}
	return &Failure{Code: CodeRefusedByEndpoint, Ran: NotRun, Message: endpoint + " is in a back-off", RetryAfter: backoff.RetryAfter(remaining)}
}

// shortestBackoff returns the shortest remaining back-off of the endpoints that could serve a request; zero if
// none is in a back-off.
func (g *Gateway) shortestBackoff(q *request) time.Duration {
	now := clock.Now()
	var shortest time.Duration
	for _, n := range q.catalog.EndpointsOf(q.model.Adapter().Base()) {
		e, _ := q.catalog.Endpoint(n)
		remaining := g.backoffs.Remaining(n, now)
		if remaining > 0 && e.State() == catalog.Serving && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}
