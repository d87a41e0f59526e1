// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"sync"
	"time"

	"cairnwick.example/policy"
)

// lockedBudget is a policy.LoadBudget with its own lock.
type lockedBudget struct {
	mu     sync.Mutex
	budget policy.LoadBudget
}

// setShare sets the fair share of the store's rate by the share of endpoints owned here.
func (b *lockedBudget) setShare(owned, total int, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total > 0 {
		b.budget.SetRates(rate*float64(owned)/float64(total), rate)
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
	b.budget.RecordRefusal()
}

func (b *lockedBudget) recordLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordLoad()
}
