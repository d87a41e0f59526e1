// SPDX-License-Identifier: Apache-2.0

package access

import "time"

// Account is what one box spent of an organisation's quota and has not drawn. It is not safe for
// concurrent use. The zero value owes nothing.
type Account struct {
	owed       float64   // units; below zero: drawn ahead, of requests that never ran
	requested  float64   // of owed, that is being asked for
	forgivenAt time.Time // when it was last forgiven
	randomised bool      // chance decided on what is left of the float
}

// TrySpend spends a request's units at once, where so little is owed that the float allows it. Where a
// part of the float is left that is smaller than the request, chance, a number in [0, 1), decides
// once: over all boxes the floats are used then as if requests could be divided. A float is some
// hundred units where a request counts 700, so that without it a fleet that has just started had
// nothing to go by until its leaders were known.
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

// Spend spends units that can't be refused any more: an attempt that follows one that ran.
func (a *Account) Spend(cost float64) { a.owed += cost }

// Refund gives back what a request that never ran had spent.
func (a *Account) Refund(cost float64) { a.owed -= cost }

// StartSettlement returns what is owed, or was drawn ahead, for a pool.
func (a *Account) StartSettlement() (owed, returned float64) {
	a.requested = a.owed
	return max(a.owed, 0), max(-a.owed, 0)
}

// FinishSettlement notes a pool's answer to the last demand.
func (a *Account) FinishSettlement(paid float64) {
	if a.requested < 0 {
		a.owed -= a.requested
	}
	a.owed -= paid
	a.requested = 0
	a.randomised = a.randomised && paid <= 0
}

// Forgive drops what is owed while no pool answers, a float in each window: the box then goes on
// with what the operator allows beyond the quota, and no longer than that carries it.
func (a *Account) Forgive(creditLimit float64, window time.Duration, now time.Time) {
	if !a.forgivenAt.IsZero() && window > 0 && a.owed > 0 {
		a.owed = max(a.owed-creditLimit*now.Sub(a.forgivenAt).Seconds()/window.Seconds(), 0)
		a.randomised = a.randomised && a.owed > 0
	}
	a.forgivenAt = now
}

// StopForgiving notes that a pool answers: nothing is forgiven from now on.
func (a *Account) StopForgiving() { a.forgivenAt = time.Time{} }

// Owed returns the units that are spent and not drawn.
func (a *Account) Owed() float64 { return a.owed }
