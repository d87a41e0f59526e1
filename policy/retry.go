// SPDX-License-Identifier: Apache-2.0

package policy

import "sync"

// RetryBudget allows retries in proportion to successes, so that a fleet that
// fails is not hit harder. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64 // from 0 to most
	most   float64
	share  float64
}

// NewRetryBudget allows share retries for each success, and most at once.
func NewRetryBudget(share, most float64) *RetryBudget {
	return &RetryBudget{tokens: most, most: most, share: share}
}

// Success earns a share of a retry.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+b.share)
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
