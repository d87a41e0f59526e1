// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/policy"
)

// planLocked hands out the loads that waiting requests need.
func (s *Scheduler) planLocked(e *endpoint, now time.Time) {
	defer s.countWantedLocked(e, now)
	for e.loadsInFlightLocked() < loadsInFlight {
		names, facts := s.wantedLocked(e, now)
		if len(names) == 0 {
			names, facts = s.demandedLocked(e, now)
		}
		i := policy.NextLoad(facts, e.loadTime)
		if i < 0 {
			return
		}
		o, ok := s.orderLocked(e, names[i], facts[i], now)
		if !ok {
			return
		}
		select {
		case s.orders <- o:
			s.noteOrderLocked(e, o, now)
		default: // every worker is busy; the next event plans again
			return
		}
	}
}

// countWantedLocked keeps the number of loads that are wanted at all endpoints.
func (s *Scheduler) countWantedLocked(e *endpoint, now time.Time) {
	names, _ := s.wantedLocked(e, now)
	s.loadsWanted.Add(int64(len(names) - e.loadsWanted))
	e.loadsWanted = len(names)
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

// wantedLocked lists the adapters that requests wait for and that are in no slot,
// and may be tried now.
func (s *Scheduler) wantedLocked(e *endpoint, now time.Time) ([]string, []policy.LoadCandidate) {
	var names []string
	var facts []policy.LoadCandidate
	at := make(map[string]int)
	for _, w := range e.waiters {
		n := w.request.GetAdapter()
		if !e.loadableLocked(n, now) {
			continue
		}
		i, ok := at[n]
		if !ok {
			i = len(names)
			at[n] = i
			names = append(names, n)
			facts = append(facts, s.loadFactsLocked(e, n, now))
		}
		facts[i].Requests++
		facts[i].OldestWait = max(facts[i].OldestWait, now.Sub(w.arrived))
		facts[i].Urgent = facts[i].Urgent || w.deadline.Sub(now) < 2*e.loadTime
	}
	return names, facts
}

// demandedLocked lists the adapters that requests were refused for. They are
// loaded only while nobody anywhere waits for a load, and press for no slot.
func (s *Scheduler) demandedLocked(e *endpoint, now time.Time) ([]string, []policy.LoadCandidate) {
	if s.loadsWanted.Load() > 0 {
		return nil, nil
	}
	var names []string
	var facts []policy.LoadCandidate
	for n, d := range e.demands {
		if e.loadableLocked(n, now) {
			f := s.loadFactsLocked(e, n, now)
			f.Requests = d.count
			names = append(names, n)
			facts = append(facts, f)
		}
	}
	return names, facts
}

// loadableLocked tells whether an adapter is in no slot and may be tried now.
func (e *endpoint) loadableLocked(name string, now time.Time) bool {
	return e.slots[name] == nil && !now.Before(e.failed[name].until)
}

func (s *Scheduler) loadFactsLocked(e *endpoint, name string, now time.Time) policy.LoadCandidate {
	return policy.LoadCandidate{
		Rate:     e.rateLocked(name, now, s.Spans.HalfLife).Rate(now, s.Spans.HalfLife),
		Priority: s.priorityOf(name),
	}
}

// priorityOf returns an adapter's published priority; zero when it is not published.
func (s *Scheduler) priorityOf(name string) int {
	m, err := s.Catalog().Resolve(name)
	if err != nil {
		return 0
	}
	return m.Adapter().Priority()
}

// orderLocked makes the order for one load, if a slot and the budget allow it.
func (s *Scheduler) orderLocked(e *endpoint, name string, f policy.LoadCandidate, now time.Time) (order, bool) {
	m, err := s.Catalog().Resolve(name)
	if err != nil {
		return order{}, false // retired while it waited; the wait ends at its deadline
	}
	path, _ := m.Adapter().Path(m.Version())
	o := order{endpoint: e, fence: e.fence, boot: e.boot, load: name, path: path}
	if len(e.slots) >= e.spec.Slots() {
		victim, ok := s.victimLocked(e, f, now)
		if !ok {
			return order{}, false
		}
		o.unload = victim
	}
	return o, s.budget.take(now)
}

// victimLocked chooses the adapter to unload for another one. When none can go
// it asks for a report, which may show that an unsure slot is unused.
func (s *Scheduler) victimLocked(e *endpoint, f policy.LoadCandidate, now time.Time) (string, bool) {
	names := make([]string, 0, len(e.slots))
	slots := make([]policy.SlotState, 0, len(e.slots))
	for n, sl := range e.slots {
		names = append(names, n)
		slots = append(slots, s.slotFactsLocked(e, n, sl, now))
	}
	i := s.Eviction.Victim(slots, policy.PendingAdapter{
		Rate:        f.Rate,
		Priority:    f.Priority,
		OldestWait:  f.OldestWait,
		Requests:    f.Requests,
		MaxDeferral: s.Spans.Patience,
	})
	if i < 0 {
		s.wantReportLocked(e, now)
		return "", false
	}
	return names[i], true
}

func (s *Scheduler) slotFactsLocked(e *endpoint, name string, sl *slot, now time.Time) policy.SlotState {
	return policy.SlotState{
		Busy:     sl.state != ready || e.inUse[name] > 0 || !sl.unsure.IsZero() || e.wantsLocked(name),
		LastUsed: sl.used,
		LoadCost: e.loadTime,
		Rate:     e.rateLocked(name, now, s.Spans.HalfLife).Rate(now, s.Spans.HalfLife),
		Priority: s.priorityOf(name),
	}
}

// wantsLocked tells whether a request waits for the adapter.
func (e *endpoint) wantsLocked(name string) bool {
	for _, w := range e.waiters {
		if w.request.GetAdapter() == name {
			return true
		}
	}
	return false
}

// wantReportLocked reads a report as soon as it can show that an unsure slot is
// unused.
func (s *Scheduler) wantReportLocked(e *endpoint, now time.Time) {
	var first time.Time
	for _, sl := range e.slots {
		if !sl.unsure.IsZero() && (first.IsZero() || sl.unsure.Before(first)) {
			first = sl.unsure
		}
	}
	if first.IsZero() {
		return
	}
	e.reportWanted = true
	due := first.Add(e.spec.ReportLag() + time.Millisecond)
	if due.Before(now) {
		due = now
	}
	if due.Before(e.nextLook) {
		e.nextLook = due
	}
}
