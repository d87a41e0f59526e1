// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// LoadCandidate is an adapter that could be loaded.
type LoadCandidate struct {
	Requests   int           // requests waiting for it
	OldestWait time.Duration // of the oldest of them
	Rate       float64       // recent requests per second
	Priority   int           // as published
	Urgent     bool          // the deadline of one of them is near
}

// NextLoad returns the index of the adapter to load first, or -1 if there is none: the
// one whose load saves the most waiting time. It counts the waiting requests and those
// expected during the load, weighted by age to prevent starvation.
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

// LoadBudget limits the rate at which one scheduler loads adapters from the store, without
// a coordinator. The scheduler may always use its fair share, probes for unused rate by
// additive increase, and falls back to the fair share when the store refuses a load.
type LoadBudget struct {
	fairRate   float64 // loads per second that this scheduler may always use
	storeRate  float64 // loads per second that the store serves in total
	rate       float64 // current loads per second
	tokens     float64 // loads that may start now
	refilledAt time.Time
}

const (
	budgetBurst  = 2.0 // loads that may start at once after an idle period
	budgetGrowth = 0.1 // increase of the rate per successful load, as a fraction of the store's rate
)

// SetRates sets the scheduler's fair share and the store's rate, in loads per second.
func (b *LoadBudget) SetRates(fairRate, storeRate float64) {
	b.fairRate, b.storeRate = fairRate, storeRate
	b.rate = min(max(b.rate, fairRate), storeRate)
}

// Take consumes a token for a load that starts now; it reports false if there is none.
func (b *LoadBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Wait returns the time from now until that many loads can have started.
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

// RecordRefusal records that the store refused a load because of its rate limit.
func (b *LoadBudget) RecordRefusal() { b.rate = b.fairRate }

// RecordLoad records that the store served a load.
func (b *LoadBudget) RecordLoad() { b.rate = min(b.rate+budgetGrowth*b.storeRate, b.storeRate) }

func (b *LoadBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = budgetBurst
	} else {
		b.tokens = min(budgetBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}
