// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// hearLimit takes in what a gateway heard of how many requests an endpoint takes.
func (s *Scheduler) updateRateLimit(e *endpoint, reported *wire.LimitWord, now time.Time) {
	if reported == nil || !s.rateLimits.Hear(e.name, reported.Word(now), now) {
		return
	}
	limit := s.rateLimits.Limit(e.name)
	e.mu.Lock()
	e.rateLimit = limit
	e.mu.Unlock()
	s.Log.Info("Endpoint names another limit than before", "endpoint", e.name, "named", limit.Named(), "a_second", limit.Rate())
}

// takeRoomLocked takes one of the requests that an endpoint takes which names a limit. Each grant is one
// send. Where there is none, those that wait are served when there is.
func (s *Scheduler) takeRateLimitLocked(e *endpoint, now time.Time) bool {
	permit := s.rateLimits.Take(e.name, ratelimit.Ask{}, now) // who goes first is decided among those that wait
	if permit.OK {
		return true
	}
	if e.rateLimitTimer == nil {
		e.rateLimitTimer = time.AfterFunc(s.rateLimits.Room(e.name, now).Wait, func() { s.serveAfterRateLimit(e) })
	}
	return false
}

// roomAgain serves those that wait for an endpoint which may take one more request now.
func (s *Scheduler) serveAfterRateLimit(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimitTimer = nil
	s.serveWaitersLocked(e, clock.Now())
}

// waitForRoom is how long a request waits until an endpoint takes it after so many others.
func (s *Scheduler) rateLimitWait(e *endpoint, ahead int, now time.Time) time.Duration {
	return s.rateLimits.Room(e.name, now).Wait + s.rateLimits.Turns(e.name, ahead)
}
