// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// RetryLimits is what all boxes together may send again to one service.
type RetryLimits struct {
	Ratio  float64       // of the first attempts
	Extra  float64       // besides, in each window
	Window time.Duration // over which both are counted
}

// How a box's share is used. What it saves and what it earns in a window may fall into one
// window, so both together stay below the share.
const (
	earnedFactor      = 0.7  // of the retries that first attempts earn: requests are counted elsewhere too
	earnedBurstFactor = 0.25 // of the same, by the first attempts of the last window: so much may be saved, and both together stay below what either window allows
	shareFactor       = 0.95 // of its share of the extra retries; the rest is for boxes that are still unknown
	shareBurstFactor  = 0.35 // of that share may be saved and spent at once
	maxShareBurst     = 10.0 // retries of the share, so that few boxes spread theirs as well
)

// RetryBudget is one box's share of the retries to one service. A box with many callers earns more
// by their requests than its share of the extra ones, and needs them together: an endpoint that
// refuses one of its requests refuses the next ones too. Where each of many boxes could save one retry
// alone, most of what all may send again would lie unused while requests are given up.
type RetryBudget struct {
	Limits func() RetryLimits

	mu         sync.Mutex
	tokens     float64
	shareBurst float64       // of its share of the extra ones, that tokens may rise to, as of the last retry; zero: one
	firsts     windowCounter // first attempts
	refilledAt time.Time
	counts     RetryCounts
}

// RetryCounts is what one box did with its share of the retries to one service.
type RetryCounts struct {
	Made      int64   `json:"made"`     // out of the budget
	Withheld  int64   `json:"withheld"` // since the budget was used up
	Unsent    int64   `json:"unsent"`   // outside it: the attempt before had reached nobody
	Remaining float64 `json:"left"`     // that may be made now
	Boxes     int     `json:"boxes"`    // that share the budget, as of the last retry
}

// RecordFirst notes the first attempt of a request at now.
func (b *RetryBudget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	b.firsts.add(now, limits.Window)
	b.tokens = min(b.tokens+limits.Ratio*earnedFactor, b.maxTokensLocked(now, limits))
}

// maxTokensLocked is how many retries may be saved at now.
func (b *RetryBudget) maxTokensLocked(now time.Time, limits RetryLimits) float64 {
	return max(b.shareBurst, 1) + limits.Ratio*earnedBurstFactor*float64(b.firsts.count(now, limits.Window))
}

// TryRetry tells whether one more attempt may be made at now by one of so many boxes. Where it
// is not known how many there are, zero, only first attempts earn retries.
func (b *RetryBudget) TryRetry(now time.Time, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	share := 0.0
	if boxes > 0 {
		share = limits.Extra / float64(boxes)
	}
	b.shareBurst = max(min(share*shareBurstFactor, maxShareBurst), 1)
	earned := max(share*shareFactor-b.shareBurst, 0) // in a window
	if !b.refilledAt.IsZero() {
		b.tokens += earned * now.Sub(b.refilledAt).Seconds() / limits.Window.Seconds()
	}
	b.tokens = min(b.tokens, b.maxTokensLocked(now, limits))
	b.refilledAt = now
	b.counts.Boxes = boxes
	if b.tokens < 1 {
		b.counts.Withheld++
		return false
	}
	b.tokens--
	b.counts.Made++
	return true
}

// RecordUnsent notes an attempt that is made anew since the one before reached nobody.
func (b *RetryBudget) RecordUnsent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Unsent++
}

// Counts returns what was done so far.
func (b *RetryBudget) Counts() RetryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Remaining = b.tokens
	return c
}

// windowBuckets is into how many parts a window is divided to count what lies in the last one.
const windowBuckets = 10

// windowCounter counts what happened within the last window, by parts of it; the part that has begun
// and the oldest one that is not whole any more do not count. The zero value has counted nothing.
type windowCounter struct {
	buckets   [windowBuckets + 1]int
	startedAt time.Time // when the first part began; the steady clock goes on from it
	latest    int64     // number of the latest part
}

// add counts one at now.
func (r *windowCounter) add(now time.Time, window time.Duration) {
	r.advance(now, window)
	r.buckets[r.latest%int64(len(r.buckets))]++
}

// count returns how many lie within the whole parts of the last window.
func (r *windowCounter) count(now time.Time, window time.Duration) int {
	r.advance(now, window)
	n := 0
	for _, p := range r.buckets {
		n += p
	}
	return n - r.buckets[r.latest%int64(len(r.buckets))] - r.buckets[(r.latest+1)%int64(len(r.buckets))]
}

// advance begins the part of now and empties those that have passed since.
func (r *windowCounter) advance(now time.Time, window time.Duration) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	part := max(int64(now.Sub(r.startedAt)), 0) / max(int64(window)/windowBuckets, 1)
	for i := max(r.latest+1, part-windowBuckets); i <= part; i++ {
		r.buckets[i%int64(len(r.buckets))] = 0
	}
	r.latest = max(r.latest, part)
}
