// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/policy"
)

// planLoadsLocked starts the loads that queued requests need.
func (s *Scheduler) planLoadsLocked(e *endpoint, now time.Time) {
	defer s.updatePendingLoadsLocked(e, now)
	for e.loadsInFlightLocked() < maxLoadsInFlight {
		names, candidates := s.awaitedLoadsLocked(e, now)
		if len(names) == 0 {
			names, candidates = s.unmetLoadsLocked(e, now)
		}
		i := policy.NextLoad(candidates, e.loadTime)
		if i < 0 {
			return
		}
		task, ok := s.newLoadTaskLocked(e, names[i], candidates[i], now)
		if !ok {
			return
		}
		select {
		case s.loadTasks <- task:
			s.markSlotsLocked(e, task, now)
		default: // every worker is busy; the next event plans again
			return
		}
	}
}

// updatePendingLoadsLocked updates this endpoint's part of the number of pending loads.
func (s *Scheduler) updatePendingLoadsLocked(e *endpoint, now time.Time) {
	names, _ := s.awaitedLoadsLocked(e, now)
	s.pendingLoads.Add(int64(len(names) - e.pendingLoads))
	e.pendingLoads = len(names)
}

func (e *endpoint) loadsInFlightLocked() int {
	n := 0
	for _, sl := range e.slots {
		if sl.state != ready {
			n++
		}
	}
	return n
}

// awaitedLoadsLocked lists the adapters that queued requests wait for, that are in no slot and may
// be loaded now.
func (s *Scheduler) awaitedLoadsLocked(e *endpoint, now time.Time) ([]string, []policy.LoadCandidate) {
	var names []string
	var candidates []policy.LoadCandidate
	index := make(map[string]int)
	for _, w := range e.waiters {
		n := w.request.GetAdapter()
		if !e.loadableLocked(n, now) {
			continue
		}
		i, ok := index[n]
		if !ok {
			i = len(names)
			index[n] = i
			names = append(names, n)
			candidates = append(candidates, s.loadCandidateLocked(e, n, now))
		}
		candidates[i].Requests++
		candidates[i].OldestWait = max(candidates[i].OldestWait, now.Sub(w.arrived))
		candidates[i].Urgent = candidates[i].Urgent || w.deadline.Sub(now) < 2*e.loadTime
	}
	return names, candidates
}

// unmetLoadsLocked lists the adapters for which requests were refused. They are loaded only while no
// request at any endpoint waits for a load, and without the urgency that waiting requests give.
func (s *Scheduler) unmetLoadsLocked(e *endpoint, now time.Time) ([]string, []policy.LoadCandidate) {
	if s.pendingLoads.Load() > 0 {
		return nil, nil
	}
	var names []string
	var candidates []policy.LoadCandidate
	for n, d := range e.unmetDemands {
		if e.loadableLocked(n, now) {
			candidate := s.loadCandidateLocked(e, n, now)
			candidate.Requests = d.count
			names = append(names, n)
			candidates = append(candidates, candidate)
		}
	}
	return names, candidates
}

// loadableLocked reports whether an adapter is in no slot and may be loaded now.
func (e *endpoint) loadableLocked(adapter string, now time.Time) bool {
	return e.slots[adapter] == nil && !now.Before(e.loadFailures[adapter].retryAt)
}

func (s *Scheduler) loadCandidateLocked(e *endpoint, adapter string, now time.Time) policy.LoadCandidate {
	return policy.LoadCandidate{
		Rate:     e.popularityLocked(adapter, now, s.Timing.PopularityHalfLife).Rate(now, s.Timing.PopularityHalfLife),
		Priority: s.adapterPriority(adapter),
	}
}

// adapterPriority returns the priority configured for an adapter; zero if it is not configured.
func (s *Scheduler) adapterPriority(adapter string) int {
	m, err := s.Catalog().Resolve(adapter)
	if err != nil {
		return 0
	}
	return m.Adapter().Priority()
}

// newLoadTaskLocked returns a task for one load, if a slot and the store's budget allow it.
func (s *Scheduler) newLoadTaskLocked(e *endpoint, adapter string, candidate policy.LoadCandidate, now time.Time) (loadTask, bool) {
	m, err := s.Catalog().Resolve(adapter)
	if err != nil {
		return loadTask{}, false // removed while a request waited; the wait ends at its deadline
	}
	path, _ := m.Adapter().Path(m.Version())
	task := loadTask{endpoint: e, fence: e.fence, bootID: e.bootID, load: adapter, path: path}
	if len(e.slots) >= e.spec.Slots() {
		victim, ok := s.chooseVictimLocked(e, candidate, now)
		if !ok {
			return loadTask{}, false
		}
		task.unload = victim
	}
	return task, s.storeBudget.take(now)
}

// chooseVictimLocked chooses the adapter to unload for another one. If none can be unloaded, it
// schedules a report, which may show that a slot with unaccounted requests is unused.
func (s *Scheduler) chooseVictimLocked(e *endpoint, candidate policy.LoadCandidate, now time.Time) (string, bool) {
	names := make([]string, 0, len(e.slots))
	slots := make([]policy.SlotState, 0, len(e.slots))
	for n, sl := range e.slots {
		names = append(names, n)
		slots = append(slots, s.slotStateLocked(e, n, sl, now))
	}
	i := s.Eviction.Victim(slots, policy.PendingAdapter{
		Rate:        candidate.Rate,
		Priority:    candidate.Priority,
		OldestWait:  candidate.OldestWait,
		Requests:    candidate.Requests,
		MaxDeferral: s.Timing.MaxDeferral,
	})
	if i < 0 {
		s.scheduleReportLocked(e, now)
		return "", false
	}
	return names[i], true
}

func (s *Scheduler) slotStateLocked(e *endpoint, adapter string, sl *slot, now time.Time) policy.SlotState {
	return policy.SlotState{
		Busy:     sl.state != ready || e.inUse[adapter] > 0 || !sl.unaccountedUntil.IsZero() || e.hasWaiterLocked(adapter),
		LastUsed: sl.lastUsed,
		LoadCost: e.loadTime,
		Rate:     e.popularityLocked(adapter, now, s.Timing.PopularityHalfLife).Rate(now, s.Timing.PopularityHalfLife),
		Priority: s.adapterPriority(adapter),
	}
}

// hasWaiterLocked reports whether a queued request needs the adapter.
func (e *endpoint) hasWaiterLocked(adapter string) bool {
	for _, w := range e.waiters {
		if w.request.GetAdapter() == adapter {
			return true
		}
	}
	return false
}

// scheduleReportLocked schedules a report for the earliest time at which it can show that a slot with
// unaccounted requests is unused.
func (s *Scheduler) scheduleReportLocked(e *endpoint, now time.Time) {
	var earliest time.Time
	for _, sl := range e.slots {
		if !sl.unaccountedUntil.IsZero() && (earliest.IsZero() || sl.unaccountedUntil.Before(earliest)) {
			earliest = sl.unaccountedUntil
		}
	}
	if earliest.IsZero() {
		return
	}
	e.reportNeeded = true
	due := earliest.Add(e.spec.ReportLag() + time.Millisecond)
	if due.Before(now) {
		due = now
	}
	if due.Before(e.nextProbe) {
		e.nextProbe = due
	}
}
