// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"math/rand/v2"
	"time"
)

// LiftedTime is how long a part of a prompt is not quarantined again after its quarantine was lifted.
const LiftedTime = begunTTL

// Tracker combines the counter of suspects and the list of quarantined requests and parts of one process. It is safe for
// concurrent use; the zero value is empty.
type Tracker struct {
	list    List
	counter Counter
	begun   begunParts
}

// List returns the quarantined requests and parts.
func (t *Tracker) List() *List { return &t.list }

// RecordBegun records that an endpoint of a service began to respond to a request with these parts, so that none of them
// terminates endpoints. It returns those that are in quarantine, which the caller must lift at all processes.
func (t *Tracker) RecordBegun(service string, parts []Part, now time.Time) (wrong []Fingerprint) {
	for _, f := range t.begun.add(service, parts, now) {
		t.counter.forget(f)
		if _, listed := t.list.Remaining(f, now); listed {
			wrong = append(wrong, f)
		}
	}
	return wrong
}

// HasBegun reports whether an endpoint recently began to respond to a request with a part.
func (t *Tracker) HasBegun(f Fingerprint, now time.Time) bool { return t.begun.has(f, now) }

// Lift records that another process observed a response to a request with a part. It reports whether the part was in
// quarantine, which then ends and is not repeated before until.
func (t *Tracker) Lift(f Fingerprint, until, now time.Time) bool {
	t.begun.addOne(f, now)
	t.counter.forget(f)
	return t.list.Lift(f, until)
}

// NewTermination returns the report of an endpoint that terminated while it ran requests of this process. It leaves out the
// parts of prompts to which an endpoint recently began to respond.
func (t *Tracker) NewTermination(endpoint string, suspects []Suspect, now time.Time) Termination {
	e := Termination{Endpoint: endpoint}
	for _, s := range suspects {
		e.Requests = append(e.Requests, s.Content)
		e.OthersBegan = e.OthersBegan || t.begun.hasService(s.Service, now)
	}
	for _, p := range SuspectParts(suspects) {
		if !t.begun.has(p.own, now) {
			e.Parts = append(e.Parts, p.own)
		}
		if !t.begun.has(p.common, now) {
			e.CommonParts = append(e.CommonParts, p.common)
		}
	}
	// A message has a bounded number. No caller can keep a part out of all messages by adding others.
	for _, list := range [][]Fingerprint{e.Parts, e.CommonParts} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return e
}

// RecordTermination records the end of an endpoint, as reported by one process. The caller must add what it has found to the
// list, and ask all processes about what is suspected.
func (t *Tracker) RecordTermination(e Termination, now time.Time) Verdict {
	isQuarantined := func(f Fingerprint) bool {
		_, listed := t.list.Remaining(f, now)
		return listed
	}
	hasBegun := func(f Fingerprint) bool { return t.begun.has(f, now) }
	return t.counter.RecordTermination(e, isQuarantined, hasBegun, now)
}

// Due returns the suspected parts that the caller must add to the list now, and whether others may follow soon.
func (t *Tracker) Due(now time.Time) (found []Fingerprint, waiting bool) { return t.counter.Due(now) }

// Begun returns those of the suspected parts of a report to which an endpoint has recently begun to respond.
func (t *Tracker) Begun(e Termination, now time.Time) (begun []Fingerprint) {
	for _, list := range [][]Fingerprint{e.Parts, e.CommonParts} {
		for _, f := range list {
			if t.begun.has(f, now) {
				begun = append(begun, f)
			}
		}
	}
	return begun
}
