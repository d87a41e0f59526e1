// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
)

// hearLimit takes in what a gateway heard of how many requests an endpoint takes.
func (s *Scheduler) hearLimit(e *endpoint, w *wire.LimitWord, now time.Time) {
	if w == nil || !s.limits.Observe(e.name, w.Word(now), now) {
		return
	}
	l := s.limits.Limit(e.name)
	e.mu.Lock()
	e.takes = l
	e.mu.Unlock()
	s.Log.Info("Endpoint names another limit than before", "endpoint", e.name, "named", l.IsSet(), "a_second", l.Rate())
}

// takeRoomLocked takes one of the requests that an endpoint takes which names a limit. Each grant is one
// send. Where there is none, those that wait are served when there is.
func (s *Scheduler) takeRoomLocked(e *endpoint, now time.Time) bool {
	g := s.limits.Take(e.name, ratelimit.Request{}, now) // who goes first is decided among those that wait
	if g.OK {
		return true
	}
	if e.roomTimer == nil {
		e.roomTimer = time.AfterFunc(s.limits.Headroom(e.name, now).Wait, func() { s.roomAgain(e) })
	}
	return false
}

// roomAgain serves those that wait for an endpoint which may take one more request now.
func (s *Scheduler) roomAgain(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roomTimer = nil
	s.serveWaitersLocked(e, clock.Now())
}

// waitForRoom is how long a request waits until an endpoint takes it after so many others.
func (s *Scheduler) waitForRoom(e *endpoint, ahead int, now time.Time) time.Duration {
	return s.limits.Headroom(e.name, now).Wait + s.limits.TimeFor(e.name, ahead)
}
