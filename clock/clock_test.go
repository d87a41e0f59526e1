// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

func TestSuspendedTimeCounts(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(Check(), quicktest.IsNil)
	simulated := time.Duration(0)
	counter := newSuspendCounter(func() time.Duration { return sinceBoot() + simulated })
	c.Assert(counter.suspended(time.Now()), quicktest.Equals, time.Duration(0))
	simulated = 5 * time.Second
	counted := time.Duration(0)
	for counted < 5*time.Second-time.Millisecond { // lower if the test was delayed between the readings of two clocks
		time.Sleep(2 * refreshInterval)
		counted = counter.suspended(time.Now())
	}
	c.Assert(counted <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", counted))
	simulated = 4 * time.Second // as if delayed between the readings of the two clocks
	time.Sleep(2 * refreshInterval)
	c.Assert(counter.suspended(time.Now()) >= counted, quicktest.IsTrue)
}

func TestSimulatedSuspensionCounts(t *testing.T) {
	c := quicktest.New(t)
	deadline := Now().Add(10 * time.Second)
	SimulateSuspend(8 * time.Second)
	c.Cleanup(func() { SimulateSuspend(-8 * time.Second) })
	remaining := Until(deadline)
	c.Assert(remaining <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", remaining))
	timer := time.Until(SystemTime(deadline))
	c.Assert(timer <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", timer))
}

// Now takes 83 ns, time.Now 75 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// In tests with a fake clock, which is years apart from the system clock, the difference counted as a suspension and
// every age was too high.
func TestNoSuspensionIsCountedUnderFakeTime(t *testing.T) {
	counter := newSuspendCounter(sinceBoot)
	synctest.Test(t, func(t *testing.T) {
		quicktest.Assert(t, counter.suspended(time.Now()), quicktest.Equals, time.Duration(0))
		time.Sleep(time.Hour)
		quicktest.Assert(t, counter.suspended(time.Now()), quicktest.Equals, time.Duration(0))
	})
}
