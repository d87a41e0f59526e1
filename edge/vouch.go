// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"

	"cairnwick.example/clock"
)

// configFreshness is as of when the source is known to have published no newer configuration than the one
// in force here. Unlike the ages of streams it holds however long a message was on its way, and
// however long this process stood still: it is the time at which this box began the call whose
// answer says so, less the age that the answer gives.
type configFreshness struct {
	mu   sync.Mutex
	asOf time.Time // the latest one; zero: never
}

// advance notes that nothing newer had been published at a time.
func (v *configFreshness) advance(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asOf.After(v.asOf) {
		v.asOf = asOf
	}
}

// age returns how long age that was; false where it never was.
func (v *configFreshness) age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf), !v.asOf.IsZero()
}

const (
	// revocationMargin is how much sooner than the bound a box stops to serve by its keys: a request
	// takes some milliseconds from its last check to its endpoint.
	revocationMargin = 100 * time.Millisecond
	// confirmFraction is the part of the bound after which a box asks the source itself: the calls that
	// are lost on the way leave time for others.
	confirmFraction = 0.5
	// askLeadersAfter is how old a leader's own word is before it asks the other leaders for
	// theirs: longer than the source takes to answer one that it hears.
	askLeadersAfter = 1500 * time.Millisecond
)

// boundsKeyAge tells whether the age of what this box knows of keys bounds what it serves.
func (n *Node) boundsKeyAge() bool {
	return n.current.Load().Bounds.StrictKeys && n.view.Config().Callers() != nil
}

// mustConfirmConfig tells whether this box must hear the source itself to go on with its keys.
func (n *Node) mustConfirmConfig(now time.Time) bool {
	if n.view.Config() == nil || !n.boundsKeyAge() {
		return false
	}
	ago, ok := n.configFreshness.age(now)
	return !ok || ago > time.Duration(confirmFraction*float64(n.current.Load().Bounds.Revocation))
}

// keysAreCurrent tells whether what this box knows of keys is recent enough to serve by.
func (n *Node) keysAreCurrent(now time.Time) bool {
	if !n.boundsKeyAge() {
		return true
	}
	ago, ok := n.configFreshness.age(now)
	return ok && ago < n.current.Load().Bounds.Revocation-revocationMargin
}

// readyFraction is the part of the bound after which a box says that it is not ready. The balancer takes
// some two seconds to believe it, and sends callers where they are served by the time that they would
// be refused here. A word is some 2 s old at the most where nothing is wrong, of 5 s.
const readyFraction = 0.7

// keysStayCurrent tells whether callers with keys will be served here for some more time. Where no box of
// the data centre says so, the balancer asks all.
func (n *Node) keysStayCurrent(now time.Time) bool {
	if !n.boundsKeyAge() {
		return true
	}
	ago, ok := n.configFreshness.age(now)
	return ok && ago < time.Duration(readyFraction*float64(n.current.Load().Bounds.Revocation))
}

// keysReport is what the metrics tell of callers' keys.
type keysReport struct {
	Organisations int   `json:"organisations"`
	AgeMS         int64 `json:"age_ms"` // since no newer configuration was published, as far as is known; below zero: not known
	Served        bool  `json:"served"` // whether callers with keys are served
}

func (n *Node) keysReport() keysReport {
	now := clock.Now()
	r := keysReport{AgeMS: -1}
	if ago, ok := n.configFreshness.age(now); ok {
		r.AgeMS = ago.Milliseconds()
	}
	if c := n.view.Config(); c != nil {
		r.Organisations, r.Served = len(c.Callers().All()), n.keysAreCurrent(now)
	}
	return r
}
