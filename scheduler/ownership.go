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
	stableOwnership  = 30 * time.Second // ownership held for longer resets the number of lost claims
)

// probe verifies the ownership of an endpoint, or claims the endpoint.
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
		s.Log.V(1).Info("Endpoint probe failed", "endpoint", e.name, "err", err.Error())
	}
}

// previousOwnershipExpired reports whether the ownership of the previous owner of an endpoint without
// fences has expired. Until then the endpoint would still execute that owner's unloads, also of adapters
// that have grants here.
func (s *Scheduler) previousOwnershipExpired(e *endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimingSince.IsZero() || now.Sub(e.claimingSince) > s.Timing.OwnershipTTL
}

// claim raises the endpoint's fence above the highest and reads which adapters it holds. An endpoint
// that does not check fences is claimed only when its previous owner can no longer send it loads and
// unloads.
func (s *Scheduler) claim(ctx context.Context, e *endpoint, checksFences bool, startedAt time.Time) error {
	if !checksFences && !s.previousOwnershipExpired(e, startedAt) {
		return nil
	}
	state, err := e.client.ReadState(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: probe endpoint")
	}
	previous := state.Fence()
	fence := previous.Next(s.Box, s.process)
	if checksFences {
		if state, err = e.client.Claim(ctx, fence); err != nil {
			return errors.Wrap(err, "scheduler: claim endpoint")
		}
	}
	models, err := e.client.Models(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: list adapters")
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
	s.resetSlotsLocked(e, state.BootID(), models, clock.Now().Add(s.previousGrantLifetime(previous)))
	s.Log.Info("Endpoint is owned", "endpoint", e.name, "fence", fence.String(), "adapters", len(models))
	s.serveWaitersLocked(e, clock.Now())
	return nil
}

// previousGrantLifetime returns how long grants of the previous owner may still be used: its
// ownership TTL, in which it may still issue grants, and the send window. An owner that left in an
// orderly way issued its last grant before it announced that.
func (s *Scheduler) previousGrantLifetime(previous engine.Fence) time.Duration {
	m, ok := s.Members.Find(previous.Box() + "/" + member.Scheduler)
	if ok && m.State() == member.Leaving {
		return s.Timing.SendWindow
	}
	return s.Timing.OwnershipTTL + s.Timing.SendWindow
}

// resetSlotsLocked replaces the slot table. Each slot counts as busy for as long as grants of an
// earlier owner may still be used.
func (s *Scheduler) resetSlotsLocked(e *endpoint, bootID string, models []string, unaccountedUntil time.Time) {
	now := clock.Now()
	e.bootID = bootID
	e.slots = make(map[string]*slot)
	for _, n := range models {
		e.slots[n] = &slot{state: ready, stateSince: now, lastUsed: now, unaccountedUntil: unaccountedUntil}
	}
}

// verify checks that the endpoint still has this scheduler's fence and the same boot id.
func (s *Scheduler) verify(ctx context.Context, e *endpoint, fence engine.Fence, startedAt time.Time) error {
	state, err := e.client.ReadState(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: probe endpoint")
	}
	e.mu.Lock()
	if e.ownership != owned || e.fence != fence {
		e.mu.Unlock()
		return nil
	}
	if e.spec.ChecksFences() && state.BootID() == e.bootID && fence.Less(state.Fence()) {
		s.ownershipLostLocked(e, state.Fence(), clock.Now())
		e.mu.Unlock()
		return nil
	}
	if state.BootID() != e.bootID {
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

// ownershipLostLocked gives up an endpoint that another scheduler has claimed. The time before the next
// claim doubles with each loss, so that two schedulers whose views differ for long do not keep taking the
// endpoint from each other.
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

// reclaimLocked claims an endpoint without fences again: another scheduler may have owned it while this
// one could not probe it, and the endpoint has no fence that would show it.
func (s *Scheduler) reclaimLocked(e *endpoint, now time.Time) {
	s.Log.Info("Ownership of an endpoint without fences has expired; claiming it again", "endpoint", e.name)
	e.ownership = claiming
	e.claimingSince = now
	e.nextProbe = now
}

// handleRestartLocked claims an engine again that restarted empty. The requests that ran on it ended
// with the restart, and their grants with them; queued requests stay queued.
func (s *Scheduler) handleRestartLocked(e *endpoint, now time.Time) {
	s.Log.Info("Endpoint restarted empty", "endpoint", e.name)
	s.rateLimits.Forget(e.name) // a restarted engine announces its own limit
	e.rateLimit = ratelimit.Limit{}
	e.firstTokenAt = time.Time{}
	e.ownership = claiming
	e.slots = make(map[string]*slot)
	e.nextProbe = now
	s.queueProbeLocked(e)
}
