// SPDX-License-Identifier: Apache-2.0

package policy

import "sync"

// RetryBudget allows retries in proportion to successes, so that a fleet that
// fails is not hit harder. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	tokens   float64 // from 0 to most
	capacity float64
	ratio    float64
}

// NewRetryBudget allows share retries for each success, and most at once.
func NewRetryBudget(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{tokens: capacity, capacity: capacity, ratio: ratio}
}

// RecordSuccess earns a share of a retry.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Take tells whether one more retry is allowed, and counts it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
