// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"
)

const (
	boxBits  = 22 // of a fence name the box, so that no two boxes share a fence
	termBits = 31 // seconds until 2038 and later: a fence stays below 2^53, as JSON numbers must
	toldBits = 24 // publications under one fence

	// refusedTerms is how far a refused box raises its term, times more each time: an
	// owner whose clock was ahead by an hour is passed after three refusals.
	refusedTerms = 64
)

// Fences makes the fences of one box. A fence is a term and the box; terms follow
// the time of day, so that a box that knows nothing yet is usually above all.
type Fences struct {
	Box uint32 // low bits of a number that no other box has

	mu      sync.Mutex
	highest uint64 // term heard of or used
}

// Hear notes the term of a fence that another box used.
func (f *Fences) Hear(heard uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, heard)
}

// Highest returns the highest term that is known of.
func (f *Fences) Highest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}

// Next returns a fence above every one known of, after so many refusals in a row.
func (f *Fences) Next(now time.Time, refusals int) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	raise := uint64(1)
	for range refusals {
		raise *= refusedTerms
	}
	t := max(uint64(max(now.Unix(), 0)), f.highest+raise)
	f.highest = t & (1<<termBits - 1)
	return f.highest<<boxBits | uint64(f.Box)&(1<<boxBits-1)
}

// term returns the part of a fence that rises.
func term(fence uint64) uint64 { return fence >> boxBits }

// Term returns the part of a publication's version that rises with each owner.
func Term(version uint64) uint64 { return version >> toldBits }
