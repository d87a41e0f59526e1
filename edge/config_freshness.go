// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/clock"
)

// configFreshness records the latest time at which the source is known to have had no newer
// configuration than the one in force here. It is the time at which this box began the call that
// confirmed this, less the age given in the response. Unlike the age of a stream's status, it stays a
// safe bound however long a message was in transit or this process was suspended.
type configFreshness struct {
	mu   sync.Mutex
	asOf time.Time // zero: never confirmed
}

// advance records that there was no newer configuration at a time.
func (v *configFreshness) advance(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asOf.After(v.asOf) {
		v.asOf = asOf
	}
}

// age returns the time since then; false if it was never confirmed.
func (v *configFreshness) age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf), !v.asOf.IsZero()
}

const (
	// revocationMargin is the time before the revocation bound at which a box stops serving callers by
	// key: a request takes some milliseconds from its last check to its endpoint.
	revocationMargin = 100 * time.Millisecond
	// confirmFraction is the fraction of the revocation bound after which a box asks the source
	// itself, which leaves time to repeat calls that are lost.
	confirmFraction = 0.5
	// askLeadersAfter is the age of a leader's own confirmation after which it asks the other leaders
	// for theirs: longer than a reachable source takes to respond.
	askLeadersAfter = 1500 * time.Millisecond
)

// boundsKeyAge reports whether callers are served only while the callers' keys known here are recent
// enough.
func (n *Node) boundsKeyAge() bool {
	return n.current.Load().Bounds.StrictKeys && n.view.Config().Callers() != nil
}

// mustConfirmConfig reports whether this box has to read the source itself to keep its keys current.
func (n *Node) mustConfirmConfig(now time.Time) bool {
	if n.view.Config() == nil || !n.boundsKeyAge() {
		return false
	}
	age, ok := n.configFreshness.age(now)
	return !ok || age > time.Duration(confirmFraction*float64(n.current.Load().Bounds.Revocation))
}

// keysAreCurrent reports whether the keys known here are recent enough to serve callers by.
func (n *Node) keysAreCurrent(now time.Time) bool {
	if !n.boundsKeyAge() {
		return true
	}
	age, ok := n.configFreshness.age(now)
	return ok && age < n.current.Load().Bounds.Revocation-revocationMargin
}

// readyFraction is the fraction of the revocation bound after which a box reports that it is not
// ready. The load balancer takes some two seconds to act on that, and by the time callers would be
// refused here it sends them to other boxes. In normal operation the confirmation is at most some 2 s
// old, with a bound of 5 s.
const readyFraction = 0.7

// keysStayCurrent reports whether callers with keys will be served here for some more time. If no box
// of a data centre is ready, the load balancer sends requests to all of them.
func (n *Node) keysStayCurrent(now time.Time) bool {
	if !n.boundsKeyAge() {
		return true
	}
	age, ok := n.configFreshness.age(now)
	return ok && age < time.Duration(readyFraction*float64(n.current.Load().Bounds.Revocation))
}

// keysReport is the part of the metrics about callers' keys.
type keysReport struct {
	Organisations int   `json:"organisations"`
	AgeMS         int64 `json:"age_ms"` // since the configuration was last confirmed as the newest; negative: never
	Served        bool  `json:"served"` // whether callers with keys are served
}

func (n *Node) keysReport() keysReport {
	now := clock.Now()
	r := keysReport{AgeMS: -1}
	if age, ok := n.configFreshness.age(now); ok {
		r.AgeMS = age.Milliseconds()
	}
	if c := n.view.Config(); c != nil {
		r.Organisations, r.Served = len(c.Callers().All()), n.keysAreCurrent(now)
	}
	return r
}
