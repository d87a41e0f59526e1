// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// order is a load, after an unload when a slot has to be emptied first.
type loadTask struct {
	endpoint *endpoint
	fence    engine.Fence
	boot     string
	unload   string // adapter to unload first, or ""
	load     string // adapter to load
	path     string // where the store keeps it
}

// currentLocked tells whether the order is still this scheduler's to give: its ownership
// is the one it planned under, and the endpoint did not restart.
func (t loadTask) validLocked() bool {
	return t.endpoint.fence == t.fence && t.endpoint.bootID == t.boot
}

// noteOrderLocked notes in the slots that an order is on its way.
func (s *Scheduler) markSlotsLocked(e *endpoint, task loadTask, now time.Time) {
	if task.unload != "" {
		e.slots[task.unload].state = unloading
		return
	}
	e.slots[task.load] = &slot{state: loading, stateSince: now}
}

// carryOut gives an order to the endpoint.
func (s *Scheduler) runLoadTask(ctx context.Context, task loadTask) {
	ctx, cancel := context.WithTimeout(ctx, s.Timing.LoadTimeout)
	defer cancel()
	if task.unload != "" && !s.unload(ctx, task) {
		return
	}
	s.load(ctx, task)
}

// authority checks that the order still holds: this scheduler is the owner it was when
// it planned, and has seen so lately. What it returns is checked once more in the write.
func (s *Scheduler) authority(task loadTask) (auth engine.Authority, ok bool) {
	e := task.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	auth = engine.Authority{Fence: task.fence, Until: e.verifiedAt.Add(s.Timing.OwnershipTTL)}
	return auth, task.validLocked() && e.ownershipValidLocked(clock.Now(), s.Timing.OwnershipTTL)
}

// unload empties a slot and reserves it for the load; false ends the order.
func (s *Scheduler) unload(ctx context.Context, task loadTask) bool {
	e := task.endpoint
	auth, ok := s.authority(task)
	if !ok {
		s.revertSlots(task)
		return false
	}
	err := e.client.Unload(ctx, auth, task.unload)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !task.validLocked() {
		return false
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Code == engine.CodeNotLoaded {
		err = nil // it is gone, which is what was wanted
	}
	if err != nil {
		s.handleLoadErrorLocked(e, task, err)
		return false
	}
	delete(e.slots, task.unload)
	e.slots[task.load] = &slot{state: loading, stateSince: clock.Now()}
	return true
}

// undo takes back what planning noted of an order that was not given.
func (s *Scheduler) revertSlots(task loadTask) {
	e := task.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if !task.validLocked() {
		return
	}
	if sl := e.slots[task.load]; sl != nil && sl.state == loading {
		delete(e.slots, task.load)
	}
	if sl := e.slots[task.unload]; sl != nil && sl.state == unloading {
		sl.state = ready
	}
}

func (s *Scheduler) load(ctx context.Context, task loadTask) {
	e := task.endpoint
	auth, ok := s.authority(task)
	if !ok {
		s.revertSlots(task)
		return
	}
	startedAt := clock.Now()
	err := e.client.Load(ctx, auth, task.load, task.path)
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !task.validLocked() {
		return
	}
	if err != nil {
		s.handleLoadErrorLocked(e, task, err)
		return
	}
	s.storeBudget.recordLoad()
	s.stats.LoadTime.Observe(now.Sub(startedAt))
	e.loadTime = movingMean(e.loadTime, now.Sub(startedAt))
	e.slots[task.load] = &slot{state: ready, stateSince: now, lastUsed: now}
	delete(e.loadFailures, task.load)
	s.serveWaitersLocked(e, now)
}

// failedLocked takes in an order that was refused or got no answer.
func (s *Scheduler) handleLoadErrorLocked(e *endpoint, task loadTask, err error) {
	now := clock.Now()
	s.Log.Info("Order failed", "endpoint", e.name, "load", task.load, "unload", task.unload, "err", err.Error())
	delete(e.slots, task.load)
	if sl := e.slots[task.unload]; sl != nil && sl.state == unloading {
		sl.state = ready
	}
	var refused *engine.RefusedError
	if !errors.As(err, &refused) {
		s.resyncLocked(e, now)
		return
	}
	switch refused.Code {
	case engine.CodeStaleFence:
		s.ownershipLostLocked(e, refused.Highest, now)
	case engine.CodeStoreBusy:
		s.storeBudget.recordRefusal()
		e.loadFailures[task.load] = loadFailure{retryAt: now.Add(max(refused.Retry, e.loadTime) / 2)}
	case engine.CodeNoSlot, engine.CodeBadRequest:
		s.resyncLocked(e, now)
	default:
		s.recordLoadFailureLocked(e, task.load, now)
	}
}

// unclearLocked reads anew what the engine holds, because an order's end is not
// known or contradicts the table.
func (s *Scheduler) resyncLocked(e *endpoint, now time.Time) {
	e.ownership = claiming
	e.nextProbe = now.Add(s.Timing.Backoff / 4)
}

const (
	maxLoadFailures = 3
	minLoadRetry    = 250 * time.Millisecond
	maxLoadRetry    = 30 * time.Second
)

// loadFailedLocked holds the next try back, and after some failures refuses
// the requests that wait for the adapter.
func (s *Scheduler) recordLoadFailureLocked(e *endpoint, adapter string, now time.Time) {
	f := e.loadFailures[adapter]
	f.count++
	f.retryAt = now.Add(min(maxLoadRetry, minLoadRetry<<min(f.count, 10)))
	e.loadFailures[adapter] = f
	if f.count < maxLoadFailures {
		return
	}
	var remaining []*waiter
	for _, w := range e.waiters {
		if w.request.GetAdapter() == adapter {
			w.refuse(wire.Reason_REASON_LOAD_FAILED, f.retryAt.Sub(now), "")
			continue
		}
		remaining = append(remaining, w)
	}
	e.waiters = remaining
}
