// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/catalog"
	"cairnwick.example/clock"
)

// hearBackoff takes in for how long an endpoint that turned a request away wants nothing more from this
// gateway; zero: it does not say. Its owner goes on giving grants there to others.
func (g *Gateway) hearBackoff(endpoint string, d time.Duration) {
	if d > 0 && g.backoffs.Extend(endpoint, d, clock.Now()) {
		g.Log.Info("Endpoint asks for a back-off", "endpoint", endpoint, "backoff_ms", d.Milliseconds())
	}
}

// backingOff refuses a request for an endpoint that wants nothing from this gateway; nil: it may be sent.
func (g *Gateway) backingOff(endpoint string) *Failure {
	left := g.backoffs.Remaining(endpoint, clock.Now())
	if left == 0 {
		return nil
	}
	return &Failure{Code: CodeRefused, Ran: NotRun, Message: endpoint + " wants nothing for a while", Retry: backoff.RetryAfter(left)}
}

// backoffLeast returns when the first of the endpoints that could serve a request wants work of this gateway
// again; zero where none asked for a back-off.
func (g *Gateway) backoffLeast(q *request) time.Duration {
	now := clock.Now()
	var least time.Duration
	for _, n := range q.catalog.EndpointsOf(q.model.Adapter().Base()) {
		e, _ := q.catalog.Endpoint(n)
		left := g.backoffs.Remaining(n, now)
		if left > 0 && e.State() == catalog.Serving && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
