// SPDX-License-Identifier: Apache-2.0

package policy

import "sync"

// RetryBudget limits retries to a ratio of successful requests, so that retries do not
// amplify an outage. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	tokens   float64 // from 0 to capacity
	capacity float64
	ratio    float64
}

// NewRetryBudget returns a full budget that gains ratio retries per success, up to capacity.
func NewRetryBudget(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{tokens: capacity, capacity: capacity, ratio: ratio}
}

// RecordSuccess adds ratio retries to the budget.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Take consumes one retry; it reports false if none is left.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
