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

// loadTask is a load of an adapter, after an unload if a slot has to be freed first.
type loadTask struct {
	endpoint *endpoint
	fence    engine.Fence
	bootID   string
	unload   string // adapter to unload first, or ""
	load     string // adapter to load
	path     string // of the adapter in the store
}

// validLocked reports whether this scheduler may still run the task: it holds the ownership under
// which it planned the task, and the endpoint has not restarted.
func (t loadTask) validLocked() bool {
	return t.endpoint.fence == t.fence && t.endpoint.bootID == t.bootID
}

// markSlotsLocked marks the slots that the task is going to change.
func (s *Scheduler) markSlotsLocked(e *endpoint, task loadTask, now time.Time) {
	if task.unload != "" {
		e.slots[task.unload].state = unloading
		return
	}
	e.slots[task.load] = &slot{state: loading, stateSince: now}
}

// runLoadTask sends the task's unload and load to the endpoint.
func (s *Scheduler) runLoadTask(ctx context.Context, task loadTask) {
	ctx, cancel := context.WithTimeout(ctx, s.Timing.LoadTimeout)
	defer cancel()
	if task.unload != "" && !s.unload(ctx, task) {
		return
	}
	s.load(ctx, task)
}

// lease checks that this scheduler still holds the ownership under which it planned the task,
// and verified it recently. The result is checked once more when the request is written.
func (s *Scheduler) lease(task loadTask) (lease engine.Lease, ok bool) {
	e := task.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	lease = engine.Lease{Fence: task.fence, ExpiresAt: e.verifiedAt.Add(s.Timing.OwnershipTTL)}
	return lease, task.validLocked() && e.ownershipValidLocked(clock.Now(), s.Timing.OwnershipTTL)
}

// unload frees a slot and reserves it for the load; false ends the task.
func (s *Scheduler) unload(ctx context.Context, task loadTask) bool {
	e := task.endpoint
	auth, ok := s.lease(task)
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
		err = nil // already unloaded
	}
	if err != nil {
		s.handleLoadErrorLocked(e, task, err)
		return false
	}
	delete(e.slots, task.unload)
	e.slots[task.load] = &slot{state: loading, stateSince: clock.Now()}
	return true
}

// revertSlots undoes markSlotsLocked for a task that was not sent.
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
	auth, ok := s.lease(task)
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

// handleLoadErrorLocked handles a load or unload that was refused or got no response.
func (s *Scheduler) handleLoadErrorLocked(e *endpoint, task loadTask, err error) {
	now := clock.Now()
	s.Log.Info("Load or unload failed", "endpoint", e.name, "load", task.load, "unload", task.unload, "err", err.Error())
	delete(e.slots, task.load)
	sl := e.slots[task.unload]
	unloadFailed := sl != nil && sl.state == unloading
	if unloadFailed {
		sl.state = ready
	}
	var refused *engine.RefusedError
	if !errors.As(err, &refused) {
		s.resyncLocked(e, now)
		return
	}
	switch refused.Code {
	case engine.CodeStaleFence:
		s.ownershipLostLocked(e, refused.HighestFence, now)
	case engine.CodeStoreBusy:
		s.storeBudget.recordRefusal()
		e.loadFailures[task.load] = loadFailure{retryAt: now.Add(max(refused.RetryAfter, e.loadTime) / 2)}
	case engine.CodeNoSlot, engine.CodeBadRequest:
		s.resyncLocked(e, now)
	default:
		s.recordLoadFailureLocked(e, task.load, now)
	}
	if unloadFailed && !refused.NotExecuted() && e.ownership == owned { // it may have been carried out
		s.resyncLocked(e, now)
	}
}

// resyncLocked claims the endpoint again to read which adapters it holds, because the result of a
// load or unload is unknown or contradicts the slot table.
func (s *Scheduler) resyncLocked(e *endpoint, now time.Time) {
	e.ownership = claiming
	e.nextProbe = now.Add(s.Timing.Backoff / 4)
}

const (
	maxLoadFailures = 3
	minLoadRetry    = 250 * time.Millisecond
	maxLoadRetry    = 30 * time.Second
)

// recordLoadFailureLocked delays the next attempt to load the adapter. After maxLoadFailures
// failures it refuses the requests that wait for it.
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
