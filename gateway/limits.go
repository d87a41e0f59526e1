// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"sync"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// limitTable holds the rate limits that endpoints announced in responses to this gateway. A limit applies to
// all gateways together, so the endpoint's owner enforces it: each Acquire call passes it on. It is safe for
// concurrent use; the zero value is empty.
type limitTable struct {
	mu       sync.Mutex
	observed map[string]ratelimit.Observation // by endpoint, of those that announced a limit or whose owner enforces one
}

// observe records the limit that a response announced, or that it announced none. sentAt is when its request was
// sent; enforced is whether the endpoint's owner enforces a limit. It reports whether the limit changed.
//
// An endpoint that announces no limit gets an entry only if its owner enforces one, which the owner learnt from
// another gateway: the owner must be notified that it is over.
func (l *limitTable) observe(endpoint string, limit ratelimit.Limit, enforced bool, sentAt, now time.Time) bool {
	observed := ratelimit.NewObservation(limit, sentAt, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.observed[endpoint]
	if (!known && !enforced && !limit.IsSet()) || !observed.At.After(before.At) {
		return false
	}
	if l.observed == nil {
		l.observed = make(map[string]ratelimit.Observation)
	}
	l.observed[endpoint] = observed
	return before.Limit != limit
}

// get returns the last known limit of an endpoint, for its owner; nil: it has no entry.
func (l *limitTable) get(endpoint string, now time.Time) *wire.LimitWord {
	l.mu.Lock()
	defer l.mu.Unlock()
	observed, known := l.observed[endpoint]
	if !known {
		return nil
	}
	return wire.NewLimitWord(endpoint, observed, now)
}

// observeLimit records the rate limit in the headers of a response to a request sent under a grant.
func (g *Gateway) observeLimit(held heldGrant, h http.Header, sentAt, now time.Time) {
	limit, err := ratelimit.Parse(h.Values(engine.RateLimitHeader))
	if err == nil {
		limit, err = ratelimit.ParseRejections(limit, h.Values(engine.RejectionsHeader))
	}
	if err != nil {
		g.Log.V(1).Info("Failed to parse the endpoint's rate limit; keeping the last known one", "endpoint", held.endpoint, "err", err.Error())
		return
	}
	if g.limits.observe(held.endpoint, limit, held.grant.GetLimited(), sentAt, now) {
		g.Log.V(1).Info("Endpoint's rate limit changed", "endpoint", held.endpoint, "named", limit.HasRate(), "a_second", limit.Rate(), "fragile", limit.IsFragile(), "rejections", limit.Rejections())
	}
}
