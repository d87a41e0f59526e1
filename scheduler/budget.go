// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"sync"
	"time"

	"cairnwick.example/policy"
)

// storeBudget is the policy.Budget behind a lock of its own.
type lockedBudget struct {
	mu     sync.Mutex
	budget policy.Budget
}

// share sets the fair share by owned endpoints.
func (b *lockedBudget) setShare(owned, total int, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total > 0 {
		b.budget.SetShare(rate*float64(owned)/float64(total), rate)
	}
}

func (b *lockedBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now)
}

func (b *lockedBudget) wait(loads int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Wait(loads, now)
}

func (b *lockedBudget) recordRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Refused()
}

func (b *lockedBudget) recordLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Loaded()
}
