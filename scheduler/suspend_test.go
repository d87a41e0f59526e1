// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against grants from a scheduler whose machine was suspended for longer than its ownership TTL. The
// monotonic clock does not advance during suspension, so the last probe still seemed recent, while another
// scheduler owned the endpoint.
func TestNoGrantAfterSuspension(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	pass := f.scheduler.Timing.OwnershipTTL + time.Millisecond
	clock.SimulateSuspend(pass)
	f.Cleanup(func() { clock.SimulateSuspend(-pass) })
	f.Assert(f.acquire("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_ENDPOINT_DOWN)
}
