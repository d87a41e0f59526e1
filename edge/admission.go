// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
)

// admission implements forward.Admission.
type admission struct{ node *Node }

// Trusted implements forward.Admission.
func (a admission) Trusted(now time.Time) bool { return a.node.trustsKeys(now) }

// Current implements forward.Admission.
func (a admission) Current(now time.Time) bool {
	ago, ok := a.node.vouched.ago(now)
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

// mostKeyLines bounds the lines about keys that one configuration brings.
const mostKeyLines = 32

// digestShown is how many bytes of a key's digest a log line shows: enough to find it by.
const digestShown = 6

// logKeys logs which keys came and went with a configuration.
func (s *state) logKeys(before, after *topology.Config) {
	if before == nil {
		s.log.Info("Organisations may call", "config", after.Version(), "organisations", len(after.Callers().All()))
		return
	}
	changes := access.Changes(before.Callers(), after.Callers())
	for i, c := range changes {
		if i == mostKeyLines {
			s.log.Info("Further keys came or went", "config", after.Version(), "keys", len(changes)-mostKeyLines)
			return
		}
		s.log.Info("Key stands for another organisation", "config", after.Version(), "key_digest", c.Key.Short(digestShown),
			"before", c.Before, "now", c.Now)
	}
}
