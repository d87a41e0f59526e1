// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"sync"
	"time"

	"cairnwick.example/policy"
)

// storeBudget is the policy.LoadBudget with a lock.
type storeBudget struct {
	mu     sync.Mutex
	budget policy.LoadBudget
}

// share sets the fair share by owned endpoints.
func (b *storeBudget) share(mine, total int, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total > 0 {
		b.budget.SetRates(rate*float64(mine)/float64(total), rate)
	}
}

func (b *storeBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now)
}

func (b *storeBudget) wait(loads int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Wait(loads, now)
}

func (b *storeBudget) refused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRefusal()
}

func (b *storeBudget) loaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordLoad()
}
