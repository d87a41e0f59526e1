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
type order struct {
	endpoint *endpoint
	fence    engine.Fence
	boot     string
	unload   string // adapter to unload first, or ""
	load     string // adapter to load
	path     string // where the store keeps it
}

// currentLocked tells whether the order is still this scheduler's to give: its ownership
// is the one it planned under, and the endpoint did not restart.
func (o order) currentLocked() bool {
	return o.endpoint.fence == o.fence && o.endpoint.boot == o.boot
}

// noteOrderLocked notes in the slots that an order is on its way.
func (s *Scheduler) noteOrderLocked(e *endpoint, o order, now time.Time) {
	if o.unload != "" {
		e.slots[o.unload].state = unloading
		return
	}
	e.slots[o.load] = &slot{state: loading, since: now}
}

// carryOut gives an order to the endpoint.
func (s *Scheduler) carryOut(ctx context.Context, o order) {
	ctx, cancel := context.WithTimeout(ctx, s.Spans.OrderLimit)
	defer cancel()
	if o.unload != "" && !s.unload(ctx, o) {
		return
	}
	s.load(ctx, o)
}

// authority checks that the order still holds: this scheduler is the owner it was when
// it planned, and has seen so lately. What it returns is checked once more in the write.
func (s *Scheduler) authority(o order) (u engine.Lease, ok bool) {
	e := o.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	u = engine.Lease{Fence: o.fence, ExpiresAt: e.seen.Add(s.Spans.Trust)}
	return u, o.currentLocked() && e.trustedLocked(clock.Now(), s.Spans.Trust)
}

// unload empties a slot and reserves it for the load; false ends the order.
func (s *Scheduler) unload(ctx context.Context, o order) bool {
	e := o.endpoint
	u, ok := s.authority(o)
	if !ok {
		s.undo(o)
		return false
	}
	err := e.client.Unload(ctx, u, o.unload)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.currentLocked() {
		return false
	}
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.Code == engine.CodeNotLoaded {
		err = nil // it is gone, which is what was wanted
	}
	if err != nil {
		s.failedLocked(e, o, err)
		return false
	}
	delete(e.slots, o.unload)
	e.slots[o.load] = &slot{state: loading, since: clock.Now()}
	return true
}

// undo takes back what planning noted of an order that was not given.
func (s *Scheduler) undo(o order) {
	e := o.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.currentLocked() {
		return
	}
	if sl := e.slots[o.load]; sl != nil && sl.state == loading {
		delete(e.slots, o.load)
	}
	if sl := e.slots[o.unload]; sl != nil && sl.state == unloading {
		sl.state = ready
	}
}

func (s *Scheduler) load(ctx context.Context, o order) {
	e := o.endpoint
	u, ok := s.authority(o)
	if !ok {
		s.undo(o)
		return
	}
	begun := clock.Now()
	err := e.client.Load(ctx, u, o.load, o.path)
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.currentLocked() {
		return
	}
	if err != nil {
		s.failedLocked(e, o, err)
		return
	}
	s.budget.loaded()
	s.stats.Load.Observe(now.Sub(begun))
	e.loadTime = movingMean(e.loadTime, now.Sub(begun))
	e.slots[o.load] = &slot{state: ready, since: now, used: now}
	delete(e.failed, o.load)
	s.serveWaitersLocked(e, now)
}

// failedLocked takes in an order that was refused or got no answer.
func (s *Scheduler) failedLocked(e *endpoint, o order, err error) {
	now := clock.Now()
	s.Log.Info("Order failed", "endpoint", e.name, "load", o.load, "unload", o.unload, "err", err.Error())
	delete(e.slots, o.load)
	if sl := e.slots[o.unload]; sl != nil && sl.state == unloading {
		sl.state = ready
	}
	var refused *engine.RefusedError
	if !errors.As(err, &refused) {
		s.unclearLocked(e, now)
		return
	}
	switch refused.Code {
	case engine.CodeStaleFence:
		s.loseLocked(e, refused.HighestFence, now)
	case engine.CodeStoreBusy:
		s.budget.refused()
		e.failed[o.load] = failure{until: now.Add(max(refused.RetryAfter, e.loadTime) / 2)}
	case engine.CodeNoSlot, engine.CodeBadRequest:
		s.unclearLocked(e, now)
	default:
		s.loadFailedLocked(e, o.load, now)
	}
}

// unclearLocked reads anew what the engine holds, because an order's end is not
// known or contradicts the table.
func (s *Scheduler) unclearLocked(e *endpoint, now time.Time) {
	e.phase = claiming
	e.nextLook = now.Add(s.Spans.Backoff / 4)
}

const (
	failuresToRefuse = 3
	firstRetry       = 250 * time.Millisecond
	longestRetry     = 30 * time.Second
)

// loadFailedLocked holds the next try back, and after some failures refuses
// the requests that wait for the adapter.
func (s *Scheduler) loadFailedLocked(e *endpoint, name string, now time.Time) {
	f := e.failed[name]
	f.count++
	f.until = now.Add(min(longestRetry, firstRetry<<min(f.count, 10)))
	e.failed[name] = f
	if f.count < failuresToRefuse {
		return
	}
	var kept []*waiter
	for _, w := range e.waiters {
		if w.request.GetAdapter() == name {
			w.refuse(wire.Reason_REASON_LOAD_FAILED, f.until.Sub(now), "")
			continue
		}
		kept = append(kept, w)
	}
	e.waiters = kept
}
