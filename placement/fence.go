// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"
)

const (
	boxBits         = 22 // of a fence name the box, so that no two boxes share a fence
	termBits        = 31 // seconds until 2038 and later: a fence stays below 2^53, as JSON numbers must
	publicationBits = 24 // of a publication's version count the publications under one fence; its term is above them

	// refusedTerms is how far a refused box raises its term, times more each time: an
	// owner whose clock was ahead by an hour is passed after three refusals.
	termRaiseFactor = 16
	// refusedMost is up to how many refusals it is times more. Two boxes that think that they
	// own an endpoint refuse each other as long as a cut lasts, every lease and a quarter; with
	// 18 hours of terms each time they last for five hours of that.
	maxTermRaises = 4
	maxTerm       = 1<<termBits - 1
)

// Fences makes the fences of one box. A fence is a term and the box; terms follow
// the time of day, so that a box that knows nothing yet is usually above all. For that
// they must not run ahead of the clock, so a term serves every endpoint that is claimed
// while it is the highest.
type Fences struct {
	Box uint32 // low bits of a number that no other box has

	mu      sync.Mutex
	highest uint64 // term heard of, or used and given up
	current uint64 // term in use; zero: none
}

// Hear notes the term of a fence that another box used. One that no box makes is none: with
// the last there is, nobody could raise a fence any more.
func (f *Fences) Observe(heard uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if heard < maxTerm {
		f.highest = max(f.highest, heard)
	}
}

// Next returns a fence above every one known of. It is above past, the last fence that
// this box used at the endpoint (zero: none), which was refused so many times in a row.
func (f *Fences) Next(now time.Time, past uint64, refusals int) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := f.highest + 1
	if past != 0 {
		raise := uint64(1)
		for range min(refusals, maxTermRaises) {
			raise *= termRaiseFactor
		}
		least = max(least, term(past)+raise)
	}
	if f.current < least {
		f.current = min(max(uint64(max(now.Unix(), 0)), least), maxTerm)
	}
	return f.current<<boxBits | uint64(f.Box)&(1<<boxBits-1)
}

// GiveUp makes the next fence a new one: orders under the last may still be on their way.
func (f *Fences) Advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, f.current)
}

// term returns the part of a fence that rises.
func term(fence uint64) uint64 { return fence >> boxBits }

// Term returns the part of a publication's version that rises with each owner.
func Term(version uint64) uint64 { return version >> publicationBits }
