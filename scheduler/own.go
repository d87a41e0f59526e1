// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

const (
	mostLosses = 5                // doublings of the back-off after lost claims
	longHeld   = 30 * time.Second // an endpoint held so long was not fought for
)

// look sees the endpoint's fence, and claims the endpoint when that is wanted.
func (s *Scheduler) look(ctx context.Context, e *endpoint) {
	e.mu.Lock()
	p, fence, checks := e.phase, e.fence, e.spec.ChecksFences()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.Spans.Verify)
	defer cancel()
	begun := clock.Now()
	var err error
	switch p {
	case claiming:
		err = s.claim(ctx, e, checks, begun)
	case owned:
		err = s.verify(ctx, e, fence, begun)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.looking = false
	e.nextLook = begun.Add(s.Spans.Verify)
	if err != nil {
		e.nextLook = begun.Add(min(s.Spans.Verify, s.Spans.Backoff))
		s.Log.V(1).Info("Endpoint gave no sight", "endpoint", e.name, "err", err.Error())
	}
}

// trustBeforeOver tells whether the trust of whoever owned an endpoint without fences before is
// over. Until then its orders would still be carried out, and unload what is granted here.
func (s *Scheduler) trustBeforeOver(e *endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taken.IsZero() || now.Sub(e.taken) > s.Spans.Trust
}

// claim goes above the endpoint's highest fence and learns what it holds. One that checks
// no fences is claimed only when the owner before can give it no orders any more.
func (s *Scheduler) claim(ctx context.Context, e *endpoint, checks bool, begun time.Time) error {
	if !checks && !s.trustBeforeOver(e, begun) {
		return nil
	}
	sight, err := e.client.ReadState(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: look")
	}
	before := sight.Fence()
	fence := before.Next(s.Box)
	if checks {
		if sight, err = e.client.Claim(ctx, fence); err != nil {
			return errors.Wrap(err, "scheduler: claim")
		}
	}
	models, err := e.client.Models(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: models")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != claiming {
		return nil
	}
	e.phase = owned
	e.fence = fence
	e.seen = begun
	e.claimed, e.taken = begun, time.Time{}
	s.setSlotsLocked(e, sight.BootID(), models, clock.Now().Add(s.grantsOutlive(before)))
	s.Log.Info("Endpoint is owned", "endpoint", e.name, "fence", fence.String(), "adapters", len(models))
	s.serveWaitersLocked(e, clock.Now())
	return nil
}

// grantsOutlive is how long grants of the owner before may still be used: its
// trust, in which it may still give some, and the send window. One that left in
// order gave its last before it told so.
func (s *Scheduler) grantsOutlive(before engine.Fence) time.Duration {
	m, ok := s.Members.Find(before.Box() + "/" + member.Scheduler)
	if ok && m.State() == member.Leaving {
		return s.Spans.SendWindow
	}
	return s.Spans.Trust + s.Spans.SendWindow
}

// setSlotsLocked describes the slots anew. Each is unsure for as long as grants of
// an earlier owner may still be used.
func (s *Scheduler) setSlotsLocked(e *endpoint, boot string, models []string, unsure time.Time) {
	now := clock.Now()
	e.boot = boot
	e.slots = make(map[string]*slot)
	for _, n := range models {
		e.slots[n] = &slot{state: ready, since: now, used: now, unsure: unsure}
	}
}

// verify sees whether the endpoint still has this scheduler's fence and boot.
func (s *Scheduler) verify(ctx context.Context, e *endpoint, fence engine.Fence, begun time.Time) error {
	sight, err := e.client.ReadState(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: look")
	}
	e.mu.Lock()
	if e.phase != owned || e.fence != fence {
		e.mu.Unlock()
		return nil
	}
	if e.spec.ChecksFences() && sight.BootID() == e.boot && fence.Less(sight.Fence()) {
		s.loseLocked(e, sight.Fence(), clock.Now())
		e.mu.Unlock()
		return nil
	}
	if sight.BootID() != e.boot {
		s.restartedLocked(e, clock.Now())
		e.mu.Unlock()
		return nil
	}
	if !e.spec.ChecksFences() && begun.Sub(e.seen) > s.Spans.Trust {
		s.relearnLocked(e, begun)
		e.mu.Unlock()
		return nil
	}
	if e.spec.ChecksFences() || s.Members.Fresh(begun) {
		e.seen = begun
	}
	wanted := e.reportWanted || e.oldGrantLocked(begun, s.Spans)
	s.serveWaitersLocked(e, clock.Now())
	e.mu.Unlock()
	if wanted {
		return s.readReport(ctx, e)
	}
	return nil
}

// loseLocked drops an endpoint that another scheduler has claimed. It is left
// alone for a time that doubles with each loss, so that two views that last do
// not make it change hands all the time.
func (s *Scheduler) loseLocked(e *endpoint, winner engine.Fence, now time.Time) {
	s.Log.Info("Endpoint was claimed by another scheduler", "endpoint", e.name, "fence", winner.String())
	e.owner = winner.Box() + "/" + member.Scheduler
	s.dropLocked(e, wire.Reason_REASON_NOT_OWNER)
	if now.Sub(e.claimed) > longHeld {
		e.losses = 0
	}
	e.nextLook = now.Add(s.Spans.Backoff << e.losses)
	e.losses = min(e.losses+1, mostLosses)
}

// relearnLocked claims an endpoint anew that does not check fences: another may have
// owned it while this scheduler did not look, and nothing there would tell.
func (s *Scheduler) relearnLocked(e *endpoint, now time.Time) {
	s.Log.Info("Endpoint without fences was not looked at for long and is claimed anew", "endpoint", e.name)
	e.phase = claiming
	e.taken = now
	e.nextLook = now
}

// restartedLocked begins anew with an engine that restarted empty. Its old
// runs ended with it, so the grants on them are over; requests that waited keep
// waiting.
func (s *Scheduler) restartedLocked(e *endpoint, now time.Time) {
	s.Log.Info("Endpoint restarted empty", "endpoint", e.name)
	s.limits.Forget(e.name) // each life names its own
	e.takes = ratelimit.Limit{}
	e.phase = claiming
	e.slots = make(map[string]*slot)
	e.nextLook = now
	s.queueLookLocked(e)
}
