// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// updateRateLimit applies an endpoint's rate limit that a gateway received.
func (s *Scheduler) updateRateLimit(e *endpoint, reported *wire.LimitWord, now time.Time) {
	if reported == nil || !s.rateLimits.Observe(e.name, reported.Observation(now), now) {
		return
	}
	limit := s.rateLimits.Limit(e.name)
	e.mu.Lock()
	e.rateLimit = limit
	e.mu.Unlock()
	s.Log.Info("Endpoint's rate limit changed", "endpoint", e.name, "named", limit.HasRate(), "a_second", limit.Rate(), "fragile", limit.IsFragile(), "rejections", limit.Rejections())
}

// takeRateLimitLocked takes one request from an endpoint's rate limit. Each grant is for one request
// sent. If the limit allows none now, a timer serves the queue when it does.
func (s *Scheduler) takeRateLimitLocked(e *endpoint, now time.Time) bool {
	load := ratelimit.Load{InFlight: e.running(), Rejected: e.rejected, Slots: e.spec.MaxRunning()}
	permit := s.rateLimits.Take(e.name, ratelimit.Request{Load: load}, now) // the order of requests is decided in the queue here
	if permit.OK {
		return true
	}
	if e.rateLimitTimer == nil {
		e.rateLimitTimer = time.AfterFunc(s.rateLimits.Headroom(e.name, now).Wait, func() { s.serveAfterRateLimit(e) })
	}
	return false
}

// serveAfterRateLimit serves the queue of an endpoint whose rate limit allows one more request now.
func (s *Scheduler) serveAfterRateLimit(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimitTimer = nil
	s.serveWaitersLocked(e, clock.Now())
}

// rateLimitWait returns how long a request behind the given number of others waits for the endpoint's rate limit.
func (s *Scheduler) rateLimitWait(e *endpoint, ahead int, now time.Time) time.Duration {
	return s.rateLimits.Headroom(e.name, now).Wait + s.rateLimits.TimeFor(e.name, ahead)
}
