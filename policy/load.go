// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// LoadCandidate is one adapter that requests wait for.
type LoadCandidate struct {
	Requests   int           // requests waiting for it
	OldestWait time.Duration // of the first of them
	Rate       float64       // requests a second lately
	Priority   int           // as published
	Urgent     bool          // one of them may not wait long
}

// NextLoad returns which adapter to load first: the one that saves the most
// waiting time for the cost of one load, so requests waiting now, those
// expected during the load, and some weight for age so that none starves. It
// returns -1 for no candidates.
func NextLoad(list []LoadCandidate, loadTime time.Duration) int {
	best, most := -1, 0.0
	for i, l := range list {
		saved := l.waitSaved(loadTime)
		if best < 0 || saved > most {
			best, most = i, saved
		}
	}
	return best
}

const urgentWeight = 4.0

func (l LoadCandidate) waitSaved(loadTime time.Duration) float64 {
	requests := float64(l.Requests) + l.Rate*loadTime.Seconds()
	if l.Urgent {
		requests *= urgentWeight
	}
	age := 1 + l.OldestWait.Seconds()/max(loadTime.Seconds(), 0.001)
	return requests * age * priorityWeight(l.Priority)
}

// LoadBudget is one scheduler's share of the store's rate, without a coordinator:
// it may always load at its fair share, finds unused rate by asking for more,
// and falls back to the fair share when the store refuses.
type LoadBudget struct {
	fairRate   float64 // loads a second that are this scheduler's by right
	storeRate  float64 // the store's rate
	rate       float64 // loads a second that are tried now
	tokens     float64 // loads that may begin now
	refilledAt time.Time
}

const (
	budgetBurst  = 2.0 // loads that may begin at once after a quiet time
	budgetGrowth = 0.1 // share of the store's rate tried more, per load that went well
)

// SetRates tells the store's rate, in loads a second, and the fair share of it.
func (b *LoadBudget) SetRates(fairRate, storeRate float64) {
	b.fairRate, b.storeRate = fairRate, storeRate
	b.rate = min(max(b.rate, fairRate), storeRate)
}

// Take tells whether a load may begin at now, and takes its token.
func (b *LoadBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns how long after now so many loads can have begun.
func (b *LoadBudget) Wait(loads int, now time.Time) time.Duration {
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

// RecordRefusal notes that the store refused a load for its rate.
func (b *LoadBudget) RecordRefusal() { b.rate = b.fairRate }

// RecordLoad notes that the store served a load.
func (b *LoadBudget) RecordLoad() { b.rate = min(b.rate+budgetGrowth*b.storeRate, b.storeRate) }

func (b *LoadBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = budgetBurst
	} else {
		b.tokens = min(budgetBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}
