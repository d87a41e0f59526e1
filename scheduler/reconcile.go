// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// PreferredOwner returns the name of the scheduler that should own an endpoint, among the serving
// schedulers of its data centre; "" if there is none.
func PreferredOwner(endpoint string, schedulers []string) string {
	return policy.First(endpoint, schedulers)
}

// reconcile updates the endpoints from the members and the configuration, and queues the probes
// that are due.
func (s *Scheduler) reconcile(now time.Time) {
	cat := s.Catalog()
	if cat == nil || !s.Ready() {
		return
	}
	schedulers := s.servingSchedulers()
	s.mu.Lock()
	changed := !slices.Equal(schedulers, s.knownSchedulers)
	if changed {
		s.knownSchedulers = schedulers
		s.Keys.StartTerm(now) // this scheduler may have become the home of other keys
	}
	s.syncEndpointsLocked()
	leaving := s.leaving
	s.mu.Unlock()
	owned := 0
	for _, e := range s.allEndpoints() {
		if changed {
			e.probeSoon(now) // a scheduler with another view may have claimed it in the meantime
		}
		if changed || e.preferredOwner == "" {
			e.preferredOwner = PreferredOwner(e.name, schedulers)
		}
		if s.reconcileEndpoint(e, e.preferredOwner, leaving, now) {
			owned++
		}
	}
	total := len(cat.Endpoints())
	s.storeBudget.setShare(owned, total, s.StoreLimits.Rate)
}

func (s *Scheduler) servingSchedulers() []string {
	var names []string
	for _, m := range s.Members.Serving(member.Scheduler) {
		names = append(names, m.Name())
	}
	return names
}

// syncEndpointsLocked adds and removes endpoints according to the configuration.
func (s *Scheduler) syncEndpointsLocked() {
	cat := s.Catalog()
	for _, n := range cat.Endpoints() {
		spec, _ := cat.Endpoint(n)
		if spec.DataCentre() != s.DataCentre {
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
		if spec, ok := cat.Endpoint(n); !ok || spec.DataCentre() != s.DataCentre {
			e.mu.Lock()
			s.relinquishLocked(e, wire.Reason_REASON_LEAVING)
			e.mu.Unlock()
			delete(s.endpoints, n)
		}
	}
}

// reconcileEndpoint updates the ownership of one endpoint and reports whether this scheduler should
// own it.
func (s *Scheduler) reconcileEndpoint(e *endpoint, owner string, leaving bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	preferred := owner == s.Name && !leaving
	if !preferred || !now.Before(e.nextProbe) {
		e.owner = owner // until then the scheduler that won the endpoint stays recorded as its owner
	}
	if !preferred {
		s.relinquishLocked(e, wire.Reason_REASON_NOT_OWNER)
		return false
	}
	if e.ownership == notOwned && !now.Before(e.nextProbe) {
		e.ownership = claiming
		e.claimingSince = now
		e.nextProbe = now
	}
	if e.ownership != notOwned && !e.probing && !now.Before(e.nextProbe) {
		s.queueProbeLocked(e)
	}
	return true
}

// probeSoon makes the next probe due at now.
func (e *endpoint) probeSoon(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextProbe = now
}

func (s *Scheduler) queueProbeLocked(e *endpoint) {
	select {
	case s.probes <- e:
		e.probing = true
	default: // the next reconcile tries again
	}
}
