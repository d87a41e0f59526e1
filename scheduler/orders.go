// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/policy"
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
			s.begunLocked(e, o, now)
		default: // every worker is busy; the next event plans again
			return
		}
	}
}

// countWantedLocked keeps the number of loads that are wanted at all endpoints.
func (s *Scheduler) countWantedLocked(e *endpoint, now time.Time) {
	names, _ := s.wantedLocked(e, now)
	s.wanted.Add(int64(len(names) - e.wanted))
	e.wanted = len(names)
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
func (s *Scheduler) wantedLocked(e *endpoint, now time.Time) ([]string, []policy.LoadFacts) {
	var names []string
	var facts []policy.LoadFacts
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
		facts[i].Waiting++
		facts[i].Waited = max(facts[i].Waited, now.Sub(w.arrived))
		facts[i].Urgent = facts[i].Urgent || w.deadline.Sub(now) < 2*e.loadTime
	}
	return names, facts
}

// demandedLocked lists the adapters that requests were refused for. They are
// loaded only while nobody anywhere waits for a load, and press for no slot.
func (s *Scheduler) demandedLocked(e *endpoint, now time.Time) ([]string, []policy.LoadFacts) {
	if s.wanted.Load() > 0 {
		return nil, nil
	}
	var names []string
	var facts []policy.LoadFacts
	for n, d := range e.demands {
		if e.loadableLocked(n, now) {
			f := s.loadFactsLocked(e, n, now)
			f.Waiting = d.count
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

func (s *Scheduler) loadFactsLocked(e *endpoint, name string, now time.Time) policy.LoadFacts {
	f := policy.LoadFacts{Rate: e.rateLocked(name, now, s.Spans.HalfLife).Rate(now, s.Spans.HalfLife)}
	if m, err := s.Catalog().Resolve(name); err == nil {
		f.Priority = m.Adapter().Priority()
	}
	return f
}

// orderLocked makes the order for one load, if a slot and the budget allow it.
func (s *Scheduler) orderLocked(e *endpoint, name string, f policy.LoadFacts, now time.Time) (order, bool) {
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
func (s *Scheduler) victimLocked(e *endpoint, f policy.LoadFacts, now time.Time) (string, bool) {
	names := make([]string, 0, len(e.slots))
	slots := make([]policy.SlotFacts, 0, len(e.slots))
	for n, sl := range e.slots {
		names = append(names, n)
		slots = append(slots, s.slotFactsLocked(e, n, sl, now))
	}
	i := s.Eviction.Victim(slots, policy.WantedFacts{
		Rate:     f.Rate,
		Priority: f.Priority,
		Waited:   f.Waited,
		Waiting:  f.Waiting,
		Patience: s.Spans.Patience,
	})
	if i < 0 {
		s.wantReportLocked(e, now)
		return "", false
	}
	return names[i], true
}

func (s *Scheduler) slotFactsLocked(e *endpoint, name string, sl *slot, now time.Time) policy.SlotFacts {
	f := policy.SlotFacts{
		Busy:     sl.state != ready || sl.grants > 0 || !sl.unsure.IsZero() || e.wantsLocked(name),
		LastUsed: sl.used,
		LoadCost: e.loadTime,
		Rate:     e.rateLocked(name, now, s.Spans.HalfLife).Rate(now, s.Spans.HalfLife),
	}
	if m, err := s.Catalog().Resolve(name); err == nil {
		f.Priority = m.Adapter().Priority()
	}
	return f
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
	e.report = true
	due := first.Add(e.spec.ReportLag() + time.Millisecond)
	if due.Before(now) {
		due = now
	}
	if due.Before(e.nextLook) {
		e.nextLook = due
	}
}

// begunLocked notes in the slots that an order is on its way.
func (s *Scheduler) begunLocked(e *endpoint, o order, now time.Time) {
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

// mayOrder checks just before a write that the order still holds: this
// scheduler is the owner it was when it planned, and has seen so lately.
func (s *Scheduler) mayOrder(o order) bool {
	e := o.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence == o.fence && e.boot == o.boot && e.trustedLocked(time.Now(), s.Spans.Trust)
}

// unload empties a slot and reserves it for the load; false ends the order.
func (s *Scheduler) unload(ctx context.Context, o order) bool {
	e := o.endpoint
	if !s.mayOrder(o) {
		s.undo(o)
		return false
	}
	err := e.client.Unload(ctx, o.fence, o.unload)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence != o.fence || e.boot != o.boot {
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
	e.slots[o.load] = &slot{state: loading, since: time.Now()}
	return true
}

// undo takes back what planning noted of an order that was not given.
func (s *Scheduler) undo(o order) {
	e := o.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence != o.fence || e.boot != o.boot {
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
	if !s.mayOrder(o) {
		s.undo(o)
		return
	}
	begun := time.Now()
	err := e.client.Load(ctx, o.fence, o.load, o.path)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence != o.fence || e.boot != o.boot {
		return
	}
	if err != nil {
		s.failedLocked(e, o, err)
		return
	}
	s.budget.loaded()
	s.stats.Load.Observe(now.Sub(begun))
	e.loadTime = mean(e.loadTime, now.Sub(begun))
	e.slots[o.load] = &slot{state: ready, since: now, used: now}
	delete(e.failed, o.load)
	s.moveLocked(e, now)
}

// failedLocked takes in an order that was refused or got no answer.
func (s *Scheduler) failedLocked(e *endpoint, o order, err error) {
	now := time.Now()
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
		s.loseLocked(e, refused.Highest, now)
	case engine.CodeStoreBusy:
		s.budget.refused()
		e.failed[o.load] = failure{until: now.Add(max(refused.Retry, e.loadTime) / 2)}
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

// storeBudget is the policy.Budget behind a lock of its own.
type storeBudget struct {
	mu     sync.Mutex
	budget policy.Budget
}

// share sets the fair share by owned endpoints.
func (b *storeBudget) share(mine, total int, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total > 0 {
		b.budget.SetShare(rate*float64(mine)/float64(total), rate)
	}
}

func (b *storeBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now)
}

func (b *storeBudget) wait(loads int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Wait(loads, now)
}

func (b *storeBudget) refused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Refused()
}

func (b *storeBudget) loaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Loaded()
}
