// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	processBits = 22 // low bits of a fence: a random number of the process, since addresses have more bits than are left
	termBits    = 31 // Unix seconds until 2038 and later; a fence stays below 2^53, the limit of integers in JSON numbers

	// The version of a publication has the fence's term in its high bits, then the highest bits of the process number, so that
	// publications are ordered as fences are, and then the count of publications under that fence.
	ownerBits       = 8
	countBits       = 16
	maxPublications = 1<<countBits - 1

	// termRaiseFactor is the base of how far a refused box raises its term; the exponent is the
	// number of consecutive refusals. Three refusals pass an owner whose clock was an hour ahead.
	termRaiseFactor = 16
	// maxTermRaises limits the exponent. During a network partition two boxes that both
	// consider themselves owner refuse each other every 1.25 leases; with 18 hours of terms per
	// refusal the terms last for five hours of partition.
	maxTermRaises = 4
	maxTerm       = 1<<termBits - 1
)

// Fences generates the fences of one process. A fence consists of a term and the process number.
// Terms follow the wall clock, so that a box without any state is usually above all earlier owners.
// For that they must not run ahead of the clock, so all endpoints that are claimed while a
// term is the highest use the same one.
type Fences struct {
	Process uint32 // its low bits tell apart boxes that claim an endpoint in the same second without knowing of each other

	mu      sync.Mutex
	highest uint64 // term observed, or used and abandoned
	current uint64 // term in use; zero: none
}

// NewFences returns the fences of a process with a random number.
func NewFences() *Fences { return &Fences{Process: rand.Uint32N(1 << processBits)} }

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
	return f.current<<processBits | uint64(f.Process)&(1<<processBits-1)
}

// Advance makes the next fence a new one: orders with the last one may still be in transit.
func (f *Fences) Advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, f.current)
}

// term returns the part of a fence that increases.
func term(fence uint64) uint64 { return fence >> processBits }

// publicationVersion returns the version of a publication under a fence.
func publicationVersion(fence, count uint64) uint64 {
	return fence>>(processBits-ownerBits)<<countBits | min(count, maxPublications)
}

// Term returns the term in a publication's version.
func Term(version uint64) uint64 { return version >> (ownerBits + countBits) }

// Owner returns the part of a publication's version that stands for the owner. It increases with the owner's fence.
func Owner(version uint64) uint64 { return version >> countBits }
