// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// LoadFacts is one adapter that requests wait for.
type LoadFacts struct {
	Waiting  int           // requests waiting for it
	Waited   time.Duration // of the first of them
	Rate     float64       // requests a second lately
	Priority int           // as published
	Urgent   bool          // one of them may not wait long
}

// NextLoad returns which adapter to load first: the one that saves the most
// waiting time for the cost of one load, so requests waiting now, those
// expected during the load, and some weight for age so that none starves. It
// returns -1 for no candidates.
func NextLoad(list []LoadFacts, loadTime time.Duration) int {
	best, most := -1, 0.0
	for i, l := range list {
		saved := l.saved(loadTime)
		if best < 0 || saved > most {
			best, most = i, saved
		}
	}
	return best
}

const urgentWeight = 4.0

func (l LoadFacts) saved(loadTime time.Duration) float64 {
	requests := float64(l.Waiting) + l.Rate*loadTime.Seconds()
	if l.Urgent {
		requests *= urgentWeight
	}
	age := 1 + l.Waited.Seconds()/max(loadTime.Seconds(), 0.001)
	return requests * age * priorityWeight(l.Priority)
}

// Budget is one scheduler's share of the store's rate, without a coordinator:
// it may always load at its fair share, finds unused rate by asking for more,
// and falls back to the fair share when the store refuses.
type Budget struct {
	fair   float64 // loads a second that are this scheduler's by right
	whole  float64 // the store's rate
	rate   float64 // loads a second that are tried now
	tokens float64 // loads that may begin now
	at     time.Time
}

const (
	budgetBurst  = 2.0 // loads that may begin at once after a quiet time
	budgetGrowth = 0.1 // share of the store's rate tried more, per load that went well
)

// SetShare tells the store's rate, in loads a second, and the fair share of it.
func (b *Budget) SetShare(fair, whole float64) {
	b.fair, b.whole = fair, whole
	b.rate = min(max(b.rate, fair), whole)
}

// Take tells whether a load may begin at now, and takes its token.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns how long after now so many loads can have begun.
func (b *Budget) Wait(loads int, now time.Time) time.Duration {
	b.refill(now)
	missing := float64(loads) - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// Refused notes that the store refused a load for its rate.
func (b *Budget) Refused() { b.rate = b.fair }

// Loaded notes that the store served a load.
func (b *Budget) Loaded() { b.rate = min(b.rate+budgetGrowth*b.whole, b.whole) }

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = budgetBurst
	} else {
		b.tokens = min(budgetBurst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
}
