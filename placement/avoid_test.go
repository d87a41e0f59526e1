// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a load that moves, while it waits for a slot, to an endpoint that can't serve the request that asked for it: the
// stream that it continues began at other software.
func TestPendingLoadDoesNotMoveToAvoidedEndpoint(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	fillWithBusyAdapters(l, list["e1"], 10, now)
	fillWithBusyAdapters(l, list["e2"], 20, now)
	w := patientWaiter(list["e1"], 1)
	w.Avoid = []string{"e2"}
	_, _ = l.tryPlace(w, now, now.Add(time.Minute))
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute)) // another request for it, which avoids nothing
	l.RecordUsage("box-e2", nil, false, now.Add(time.Second))                  // no longer in use
	l.startLoadsLocked(now.Add(time.Second))
	c.Assert(l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)
}
