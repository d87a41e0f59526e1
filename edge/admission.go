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

// KeysUsable implements forward.Admission.
func (a admission) KeysUsable(now time.Time) bool { return a.node.keysAreCurrent(now) }

// KeysCurrent implements forward.Admission.
func (a admission) KeysCurrent(now time.Time) bool {
	ago, ok := a.node.configFreshness.age(now)
	return ok && ago <= a.node.behind()
}

// Charge implements forward.Admission.
func (a admission) Charge(ctx context.Context, o *access.Organisation, units float64, p forward.QuotaTimeouts) forward.ChargeResult {
	return a.node.spending.spend(ctx, o, units, p)
}

// ChargeUnchecked implements forward.Admission.
func (a admission) ChargeUnchecked(o *access.Organisation, units float64) {
	a.node.spending.charge(o.Name(), units)
}

// Refund implements forward.Admission.
func (a admission) Refund(o *access.Organisation, units float64) {
	a.node.spending.charge(o.Name(), -units)
}
