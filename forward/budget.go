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

// How a box's share is used. What it saves and what it earns in a window may fall into one
// window, so both together stay below the share: 75 boxes that each saved ten besides sent
// 1,004 in a window that allowed 938.
const (
	ratioPart = 0.7  // of the retries that first attempts earn: requests are counted elsewhere too
	sharePart = 0.95 // of its share of the extra retries; the rest is for boxes that are still unknown
	savedPart = 0.35 // of that share may be saved and spent at once
	mostSaved = 10.0 // retries, so that few boxes spread theirs as well
)

// Budget is one box's share of the retries to one service.
type Budget struct {
	Limits func() BudgetLimits

	mu     sync.Mutex
	tokens float64
	saved  float64 // that tokens may rise to, as of the last retry; zero: one
	at     time.Time
	counts RetryCounts
}

// RetryCounts is what one box did with its share of the retries to one service.
type RetryCounts struct {
	Made     int64   `json:"made"`     // out of the budget
	Withheld int64   `json:"withheld"` // since the budget was used up
	Unsent   int64   `json:"unsent"`   // outside it: the attempt before had reached nobody
	Left     float64 `json:"left"`     // that may be made now
	Boxes    int     `json:"boxes"`    // that share the budget, as of the last retry
}

// First notes the first attempt of a request.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Limits().Ratio*ratioPart, max(b.saved, 1))
}

// Take tells whether one more attempt may be made at now by one of so many boxes. Where it
// is not known how many there are, zero, only first attempts earn retries.
func (b *Budget) Take(now time.Time, boxes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := b.Limits()
	share := 0.0
	if boxes > 0 {
		share = limits.Extra / float64(boxes)
	}
	b.saved = max(min(share*savedPart, mostSaved), 1)
	earned := max(share*sharePart-b.saved, 0) // in a window
	if !b.at.IsZero() {
		b.tokens += earned * now.Sub(b.at).Seconds() / limits.Window.Seconds()
	}
	b.tokens = min(b.tokens, b.saved)
	b.at = now
	b.counts.Boxes = boxes
	if b.tokens < 1 {
		b.counts.Withheld++
		return false
	}
	b.tokens--
	b.counts.Made++
	return true
}

// Unsent notes an attempt that is made anew since the one before reached nobody.
func (b *Budget) Unsent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Unsent++
}

// Counts returns what was done so far.
func (b *Budget) Counts() RetryCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Left = b.tokens
	return c
}
