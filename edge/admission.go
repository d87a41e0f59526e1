// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward"
)

// admission implements forward.Admission.
type admission struct{ node *Node }

// Trusted implements forward.Admission.
func (a admission) Trusted(now time.Time) bool { return a.node.keysAreCurrent(now) }

// Current implements forward.Admission.
func (a admission) Current(now time.Time) bool {
	ago, ok := a.node.configFreshness.age(now)
	return ok && ago <= a.node.behind()
}

// Spend implements forward.Admission.
func (a admission) Spend(ctx context.Context, o *access.Organisation, units float64, p forward.Patience) forward.Spent {
	return a.node.spending.spend(ctx, o, units, p)
}

// SpendAgain implements forward.Admission.
func (a admission) SpendAgain(o *access.Organisation, units float64) {
	a.node.spending.change(o.Name(), units)
}

// Return implements forward.Admission.
func (a admission) Return(o *access.Organisation, units float64) {
	a.node.spending.change(o.Name(), -units)
}
