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
	maxLossDoublings = 5                // doublings of the back-off after lost claims
	stableOwnership  = 30 * time.Second // an endpoint held so long was not fought for
)

// look sees the endpoint's fence, and claims the endpoint when that is wanted.
func (s *Scheduler) probe(ctx context.Context, e *endpoint) {
	e.mu.Lock()
	state, fence, checksFences := e.ownership, e.fence, e.spec.ChecksFences()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.Timing.VerifyInterval)
	defer cancel()
	startedAt := clock.Now()
	var err error
	switch state {
	case claiming:
		err = s.claim(ctx, e, checksFences, startedAt)
	case owned:
		err = s.verify(ctx, e, fence, startedAt)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probing = false
	e.nextProbe = startedAt.Add(s.Timing.VerifyInterval)
	if err != nil {
		e.nextProbe = startedAt.Add(min(s.Timing.VerifyInterval, s.Timing.Backoff))
		s.Log.V(1).Info("Endpoint gave no sight", "endpoint", e.name, "err", err.Error())
	}
}

// trustBeforeOver tells whether the trust of whoever owned an endpoint without fences before is
// over. Until then its orders would still be carried out, and unload what is granted here.
func (s *Scheduler) previousOwnershipExpired(e *endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimingSince.IsZero() || now.Sub(e.claimingSince) > s.Timing.OwnershipTTL
}

// claim goes above the endpoint's highest fence and learns what it holds. One that checks
// no fences is claimed only when the owner before can give it no orders any more.
func (s *Scheduler) claim(ctx context.Context, e *endpoint, checksFences bool, startedAt time.Time) error {
	if !checksFences && !s.previousOwnershipExpired(e, startedAt) {
		return nil
	}
	sight, err := e.client.Look(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: look")
	}
	previous := sight.Fence()
	fence := previous.Above(s.Box)
	if checksFences {
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
	if e.ownership != claiming {
		return nil
	}
	e.ownership = owned
	e.fence = fence
	e.verifiedAt = startedAt
	e.claimedAt, e.claimingSince = startedAt, time.Time{}
	s.resetSlotsLocked(e, sight.Boot(), models, clock.Now().Add(s.previousGrantLifetime(previous)))
	s.Log.Info("Endpoint is owned", "endpoint", e.name, "fence", fence.String(), "adapters", len(models))
	s.serveWaitersLocked(e, clock.Now())
	return nil
}

// grantsOutlive is how long grants of the owner before may still be used: its
// trust, in which it may still give some, and the send window. One that left in
// order gave its last before it told so.
func (s *Scheduler) previousGrantLifetime(previous engine.Fence) time.Duration {
	m, ok := s.Members.Find(previous.Box() + "/" + member.Scheduler)
	if ok && m.State() == member.Leaving {
		return s.Timing.SendWindow
	}
	return s.Timing.OwnershipTTL + s.Timing.SendWindow
}

// setSlotsLocked describes the slots anew. Each is unsure for as long as grants of
// an earlier owner may still be used.
func (s *Scheduler) resetSlotsLocked(e *endpoint, bootID string, models []string, unaccountedUntil time.Time) {
	now := clock.Now()
	e.bootID = bootID
	e.slots = make(map[string]*slot)
	for _, n := range models {
		e.slots[n] = &slot{state: ready, stateSince: now, lastUsed: now, unaccountedUntil: unaccountedUntil}
	}
}

// verify sees whether the endpoint still has this scheduler's fence and boot.
func (s *Scheduler) verify(ctx context.Context, e *endpoint, fence engine.Fence, startedAt time.Time) error {
	sight, err := e.client.Look(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: look")
	}
	e.mu.Lock()
	if e.ownership != owned || e.fence != fence {
		e.mu.Unlock()
		return nil
	}
	if e.spec.ChecksFences() && sight.Boot() == e.bootID && fence.Less(sight.Fence()) {
		s.ownershipLostLocked(e, sight.Fence(), clock.Now())
		e.mu.Unlock()
		return nil
	}
	if sight.Boot() != e.bootID {
		s.handleRestartLocked(e, clock.Now())
		e.mu.Unlock()
		return nil
	}
	if !e.spec.ChecksFences() && startedAt.Sub(e.verifiedAt) > s.Timing.OwnershipTTL {
		s.reclaimLocked(e, startedAt)
		e.mu.Unlock()
		return nil
	}
	if e.spec.ChecksFences() || s.Members.Fresh(startedAt) {
		e.verifiedAt = startedAt
	}
	reportNeeded := e.reportNeeded || e.hasStaleGrantLocked(startedAt, s.Timing)
	s.serveWaitersLocked(e, clock.Now())
	e.mu.Unlock()
	if reportNeeded {
		return s.reconcileReport(ctx, e)
	}
	return nil
}

// loseLocked drops an endpoint that another scheduler has claimed. It is left
// alone for a time that doubles with each loss, so that two views that last do
// not make it change hands all the time.
func (s *Scheduler) ownershipLostLocked(e *endpoint, winner engine.Fence, now time.Time) {
	s.Log.Info("Endpoint was claimed by another scheduler", "endpoint", e.name, "fence", winner.String())
	e.owner = winner.Box() + "/" + member.Scheduler
	s.relinquishLocked(e, wire.Reason_REASON_NOT_OWNER)
	if now.Sub(e.claimedAt) > stableOwnership {
		e.losses = 0
	}
	e.nextProbe = now.Add(s.Timing.Backoff << e.losses)
	e.losses = min(e.losses+1, maxLossDoublings)
}

// relearnLocked claims an endpoint anew that does not check fences: another may have
// owned it while this scheduler did not look, and nothing there would tell.
func (s *Scheduler) reclaimLocked(e *endpoint, now time.Time) {
	s.Log.Info("Endpoint without fences was not looked at for long and is claimed anew", "endpoint", e.name)
	e.ownership = claiming
	e.claimingSince = now
	e.nextProbe = now
}

// restartedLocked begins anew with an engine that restarted empty. Its old
// runs ended with it, so the grants on them are over; requests that waited keep
// waiting.
func (s *Scheduler) handleRestartLocked(e *endpoint, now time.Time) {
	s.Log.Info("Endpoint restarted empty", "endpoint", e.name)
	s.rateLimits.Forget(e.name) // each life names its own
	e.rateLimit = ratelimit.Limit{}
	e.ownership = claiming
	e.slots = make(map[string]*slot)
	e.nextProbe = now
	s.queueProbeLocked(e)
}
