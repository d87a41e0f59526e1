// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// BudgetLimits is what all boxes together may send again to one service.
type BudgetLimits struct {
	Ratio  float64       // of the first attempts
	Extra  float64       // besides, in each window
	Window time.Duration // over which both are counted
}

// budgetPart keeps this box below its share: the others' shares are taken
// from a view that may be late.
const budgetPart = 0.7

// mostSaved bounds the retries that unused first attempts have earned. Where boxes are many
// it is their share of a window's extra ones: 75 boxes that each spent ten at once, after a
// cut, sent 1,004 in a window that allowed 938.
const mostSaved = 10.0

// Budget is one box's share of the retries to one service.
type Budget struct {
	Limits func() BudgetLimits

	mu     sync.Mutex
	tokens float64
	saved  float64 // that tokens may rise to, as of the last retry; zero: one
	at     time.Time
}

// First notes the first attempt of a request.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Limits().Ratio*budgetPart, max(b.saved, 1))
}

// Take tells whether one more attempt may be made at now by one of so many boxes.
func (b *Budget) Take(now time.Time, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	share := limits.Extra * budgetPart / float64(max(boxes, 1))
	b.saved = max(min(share, mostSaved), 1)
	if !b.at.IsZero() {
		b.tokens = b.tokens + share*now.Sub(b.at).Seconds()/limits.Window.Seconds()
	}
	b.tokens = min(b.tokens, b.saved)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
