// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// RetryLimits bounds the retries of all boxes together to one service.
type RetryLimits struct {
	Ratio  float64       // retries per first attempt
	Extra  float64       // additional retries per window
	Window time.Duration // over which first attempts and retries are counted
}

// Use of a box's share. A burst of saved retries and the retries earned in a window may fall into the same
// window, so both together stay below the share.
const (
	earnedFactor      = 0.7  // of the retries that first attempts earn: requests are counted elsewhere too
	earnedBurstFactor = 0.25 // of the same, by the first attempts of the last window, may be saved for a burst; both together stay below what either window allows
	shareFactor       = 0.95 // of the share of the extra retries; the rest is for boxes not yet known
	shareBurstFactor  = 0.35 // of that share may be saved for a burst
	maxShareBurst     = 10.0 // retries of the share in a burst, so that a few boxes spread theirs too
)

// RetryBudget is a token bucket that holds one box's share of the retries to one service. A box with many
// callers earns more by their first attempts than by its share of the extra retries, and needs them in a
// burst: an endpoint that rejects one request rejects the next ones too. If each of many boxes could only
// save up a single retry, most of what the limits allow would stay unused while requests fail.
type RetryBudget struct {
	Limits func() RetryLimits

	mu         sync.Mutex
	tokens     float64
	shareBurst float64       // burst from the share of the extra retries, as of the last retry; zero: one
	firsts     windowCounter // first attempts
	refilledAt time.Time
	counts     RetryCounts
}

// RetryCounts counts the retries of one box to one service.
type RetryCounts struct {
	Made      int64   `json:"made"`     // from the budget
	Withheld  int64   `json:"withheld"` // denied by the budget
	Unsent    int64   `json:"unsent"`   // outside the budget: nothing of the attempt before was sent
	Remaining float64 `json:"left"`     // retries available now
	Boxes     int     `json:"boxes"`    // that share the budget, as of the last retry
}

// RecordFirst adds the first attempt of a request.
func (b *RetryBudget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	b.firsts.add(now, limits.Window)
	b.tokens = min(b.tokens+limits.Ratio*earnedFactor, b.maxTokensLocked(now, limits))
}

// maxTokensLocked returns the size of the bucket.
func (b *RetryBudget) maxTokensLocked(now time.Time, limits RetryLimits) float64 {
	return max(b.shareBurst, 1) + limits.Ratio*earnedBurstFactor*float64(b.firsts.count(now, limits.Window))
}

// TryRetry takes one retry from the budget, if it has one. boxes is the number of boxes that share the
// limits; if it is zero, for unknown, only first attempts earn retries.
func (b *RetryBudget) TryRetry(now time.Time, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	share := 0.0
	if boxes > 0 {
		share = limits.Extra / float64(boxes)
	}
	b.shareBurst = max(min(share*shareBurstFactor, maxShareBurst), 1)
	earned := max(share*shareFactor-b.shareBurst, 0) // per window
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

// RecordUnsent counts a retry of an attempt of which nothing was sent.
func (b *RetryBudget) RecordUnsent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Unsent++
}

// Counts returns the counts since the start.
func (b *RetryBudget) Counts() RetryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Remaining = b.tokens
	return c
}

// windowBuckets is the number of buckets in a window.
const windowBuckets = 10

// windowCounter counts events in a sliding window, by buckets. The current bucket and the oldest, partly
// expired one do not count. The zero value is empty.
type windowCounter struct {
	buckets   [windowBuckets + 1]int
	startedAt time.Time // start of the first bucket, on the monotonic clock
	latest    int64     // number of the latest bucket
}

// add counts one event.
func (r *windowCounter) add(now time.Time, window time.Duration) {
	r.advance(now, window)
	r.buckets[r.latest%int64(len(r.buckets))]++
}

// count returns the events in the complete buckets of the window.
func (r *windowCounter) count(now time.Time, window time.Duration) int {
	r.advance(now, window)
	n := 0
	for _, p := range r.buckets {
		n += p
	}
	return n - r.buckets[r.latest%int64(len(r.buckets))] - r.buckets[(r.latest+1)%int64(len(r.buckets))]
}

// advance moves to the bucket of now and clears the expired ones.
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
