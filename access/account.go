// SPDX-License-Identifier: Apache-2.0

package access

import "time"

// Account is what one box spent of an organisation's quota and has not drawn. It is not safe for
// concurrent use. The zero value owes nothing.
type Account struct {
	owed float64   // units; below zero: drawn ahead, of requests that never ran
	told float64   // of owed, that is being asked for
	at   time.Time // when it was last forgiven
}

// Admit spends a request's units at once, where so little is owed that the float allows it.
func (a *Account) Admit(cost, float float64) bool {
	if a.owed+cost > float {
		return false
	}
	a.owed += cost
	return true
}

// Spend spends units that can't be refused any more: an attempt that follows one that ran.
func (a *Account) Spend(cost float64) { a.owed += cost }

// Return gives back what a request that never ran had spent.
func (a *Account) Return(cost float64) { a.owed -= cost }

// Demand returns what is owed, or was drawn ahead, for a pool.
func (a *Account) Demand() (owed, returned float64) {
	a.told = a.owed
	return max(a.owed, 0), max(-a.owed, 0)
}

// Settle notes a pool's answer to the last demand.
func (a *Account) Settle(paid float64) {
	if a.told < 0 {
		a.owed -= a.told
	}
	a.owed -= paid
	a.told = 0
}

// Forgive drops what is owed while no pool answers, a float in each window: the box then goes on
// with what the operator allows beyond the quota, and no longer than that carries it.
func (a *Account) Forgive(float float64, window time.Duration, now time.Time) {
	if !a.at.IsZero() && window > 0 && a.owed > 0 {
		a.owed = max(a.owed-float*now.Sub(a.at).Seconds()/window.Seconds(), 0)
	}
	a.at = now
}

// Answered notes that a pool answers: nothing is forgiven from now on.
func (a *Account) Answered() { a.at = time.Time{} }

// Owed returns the units that are spent and not drawn.
func (a *Account) Owed() float64 { return a.owed }
