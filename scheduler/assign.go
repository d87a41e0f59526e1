// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// Owner returns the name of the scheduler that should own an endpoint, among
// the serving schedulers of its data centre; "" when there is none.
func Owner(endpoint string, schedulers []string) string { return policy.First(endpoint, schedulers) }

// assign brings the table in line with members and configuration, and queues
// looks that are due.
func (s *Scheduler) assign(now time.Time) {
	c := s.Catalog()
	if c == nil || !s.Ready() {
		return
	}
	schedulers := s.schedulers()
	s.mu.Lock()
	moved := !slices.Equal(schedulers, s.known)
	if moved {
		s.known = schedulers
		s.Keys.NewTenure(now) // keys may have got another home
	}
	s.syncLocked()
	leaving := s.leaving
	s.mu.Unlock()
	mine := 0
	for _, e := range s.all() {
		if moved {
			e.lookSoon(now) // another view may have claimed it in between
		}
		if moved || e.home == "" {
			e.home = Owner(e.name, schedulers)
		}
		if s.assignOne(e, e.home, leaving, now) {
			mine++
		}
	}
	total := len(c.Endpoints())
	s.budget.share(mine, total, s.Store.Rate)
}

func (s *Scheduler) schedulers() []string {
	var names []string
	for _, m := range s.Members.Serving(member.Scheduler) {
		names = append(names, m.Name())
	}
	return names
}

// syncLocked adds and removes endpoints as the configuration says.
func (s *Scheduler) syncLocked() {
	c := s.Catalog()
	for _, n := range c.Endpoints() {
		spec, _ := c.Endpoint(n)
		if spec.DataCentre() != s.Centre {
			continue
		}
		e := s.endpoints[n]
		if e != nil && e.spec.Address() == spec.Address() {
			e.mu.Lock()
			e.spec = spec
			e.mu.Unlock()
			continue
		}
		s.endpoints[n] = newEndpoint(spec, s.Dial(spec.Address()))
	}
	for n, e := range s.endpoints {
		if spec, ok := c.Endpoint(n); !ok || spec.DataCentre() != s.Centre {
			e.mu.Lock()
			s.dropLocked(e, wire.Reason_REASON_LEAVING)
			e.mu.Unlock()
			delete(s.endpoints, n)
		}
	}
}

// assignOne follows the view's owner for one endpoint and tells whether that is
// this scheduler.
func (s *Scheduler) assignOne(e *endpoint, owner string, leaving bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := owner == s.Name && !leaving
	if !mine || !now.Before(e.nextLook) {
		e.owner = owner // until then a claim that was lost names the winner
	}
	if !mine {
		s.dropLocked(e, wire.Reason_REASON_NOT_OWNER)
		return false
	}
	if e.phase == foreign && !now.Before(e.nextLook) {
		e.phase = claiming
		e.taken = now
		e.nextLook = now
	}
	if e.phase != foreign && !e.looking && !now.Before(e.nextLook) {
		s.queueLookLocked(e)
	}
	return true
}

// lookSoon makes the next look due at now.
func (e *endpoint) lookSoon(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextLook = now
}

func (s *Scheduler) queueLookLocked(e *endpoint) {
	select {
	case s.looks <- e:
		e.looking = true
	default: // the next tick tries again
	}
}
