// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"
)

const (
	boxBits         = 22 // low bits of a fence: the box, so that no two boxes use the same fence
	termBits        = 31 // Unix seconds until 2038 and later; a fence stays below 2^53, the limit of integers in JSON numbers
	publicationBits = 24 // low bits of a publication's version: the count of publications under one fence; the term is above them

	// termRaiseFactor is the base of how far a refused box raises its term; the exponent is the
	// number of consecutive refusals. Three refusals pass an owner whose clock was an hour ahead.
	termRaiseFactor = 16
	// maxTermRaises limits the exponent. During a network partition two boxes that both
	// consider themselves owner refuse each other every 1.25 leases; with 18 hours of terms per
	// refusal the terms last for five hours of partition.
	maxTermRaises = 4
	maxTerm       = 1<<termBits - 1
)

// Fences generates the fences of one box. A fence consists of a term and the box number. Terms
// follow the wall clock, so that a box without any state is usually above all earlier owners.
// For that they must not run ahead of the clock, so all endpoints that are claimed while a
// term is the highest use the same one.
type Fences struct {
	Box uint32 // low bits of a number unique to the box

	mu      sync.Mutex
	highest uint64 // term observed, or used and abandoned
	current uint64 // term in use; zero: none
}

// Observe records the term of another box's fence. Terms that no box generates are ignored:
// after the highest possible term no box could raise a fence any more.
func (f *Fences) Observe(observed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if observed < maxTerm {
		f.highest = max(f.highest, observed)
	}
}

// Next returns a fence above every known one. It is above previous, the last fence that this box
// used at the endpoint (zero: none), which was refused the given number of times in a row.
func (f *Fences) Next(now time.Time, previous uint64, refusals int) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := f.highest + 1
	if previous != 0 {
		raise := uint64(1)
		for range min(refusals, maxTermRaises) {
			raise *= termRaiseFactor
		}
		lowest = max(lowest, term(previous)+raise)
	}
	if f.current < lowest {
		f.current = min(max(uint64(max(now.Unix(), 0)), lowest), maxTerm)
	}
	return f.current<<boxBits | uint64(f.Box)&(1<<boxBits-1)
}

// Advance makes the next fence a new one: orders with the last one may still be in transit.
func (f *Fences) Advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, f.current)
}

// term returns the part of a fence that increases.
func term(fence uint64) uint64 { return fence >> boxBits }

// Term returns the term in a publication's version, which increases with each owner.
func Term(version uint64) uint64 { return version >> publicationBits }
