// SPDX-License-Identifier: Apache-2.0

package access

import "time"

// Account tracks the units that one box has spent of an organisation's quota and not yet drawn from the pool.
// It is not safe for concurrent use. The zero value owes nothing.
type Account struct {
	owed       float64   // units; negative if units were drawn for requests that never ran
	requested  float64   // part of owed that the current settlement asks for
	forgivenAt time.Time // time of the last Forgive; zero while a pool answers
	randomised bool      // the remaining credit was already put to a random decision
}

// TrySpend spends the units of a request if the credit limit permits it. If the remaining credit is smaller
// than the request, it is granted once with a probability of credit/cost, decided by chance, a random number
// in [0, 1): over all boxes, the credit is then used as if requests could be divided. Credit limits are some
// hundred units where a request costs 700; without this, boxes that had just started could grant nothing
// until they knew their leaders.
func (a *Account) TrySpend(cost, creditLimit, chance float64) bool {
	left := creditLimit - a.owed
	if cost > left {
		if a.randomised || left <= 0 {
			return false
		}
		a.randomised = true
		if chance >= left/cost {
			return false
		}
	}
	a.owed += cost
	return true
}

// Spend spends units regardless of the limit, for a retry of an attempt that ran.
func (a *Account) Spend(cost float64) { a.owed += cost }

// Refund returns the units of a request that never ran.
func (a *Account) Refund(cost float64) { a.owed -= cost }

// StartSettlement returns the units to draw from the pool, or to return to it.
func (a *Account) StartSettlement() (owed, returned float64) {
	a.requested = a.owed
	return max(a.owed, 0), max(-a.owed, 0)
}

// FinishSettlement applies the pool's answer to the last StartSettlement.
func (a *Account) FinishSettlement(paid float64) {
	if a.requested < 0 {
		a.owed -= a.requested
	}
	a.owed -= paid
	a.requested = 0
	a.randomised = a.randomised && paid <= 0
}

// Forgive writes off the overdraft while no pool answers, one credit limit per window. This lets the box serve
// within the overshoot that the operator allows, and no further.
func (a *Account) Forgive(creditLimit float64, window time.Duration, now time.Time) {
	if !a.forgivenAt.IsZero() && window > 0 && a.owed > 0 {
		a.owed = max(a.owed-creditLimit*now.Sub(a.forgivenAt).Seconds()/window.Seconds(), 0)
		a.randomised = a.randomised && a.owed > 0
	}
	a.forgivenAt = now
}

// StopForgiving records that a pool answered, so that nothing is written off until the next Forgive.
func (a *Account) StopForgiving() { a.forgivenAt = time.Time{} }

// Owed returns the units that are spent and not yet drawn.
func (a *Account) Owed() float64 { return a.owed }
