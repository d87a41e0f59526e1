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
	asleep := time.Duration(0)
	k := newSuspendCounter(func() time.Duration { return sinceBoot() + asleep })
	c.Assert(k.suspended(time.Now()), quicktest.Equals, time.Duration(0))
	asleep = 5 * time.Second
	counted := time.Duration(0)
	for counted < 5*time.Second-time.Millisecond { // less where this test stood still between two clocks
		time.Sleep(2 * refreshInterval)
		counted = k.suspended(time.Now())
	}
	c.Assert(counted <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", counted))
	asleep = 4 * time.Second // a reading that was held up between the clocks
	time.Sleep(2 * refreshInterval)
	c.Assert(k.suspended(time.Now()) >= counted, quicktest.IsTrue)
}

func TestSimulatedSuspensionCounts(t *testing.T) {
	c := quicktest.New(t)
	deadline := Now().Add(10 * time.Second)
	SimulateSuspend(8 * time.Second)
	c.Cleanup(func() { SimulateSuspend(-8 * time.Second) })
	left := Until(deadline)
	c.Assert(left <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", left))
	timer := time.Until(SystemTime(deadline))
	c.Assert(timer <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", timer))
}

// 83 ns, where time.Now takes 75.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// Tests under simulated time compared ages of two clocks that were years apart, so that no age was ever low.
func TestNoSuspensionIsCountedUnderFakeTime(t *testing.T) {
	k := newSuspendCounter(sinceBoot)
	synctest.Test(t, func(t *testing.T) {
		quicktest.Assert(t, k.suspended(time.Now()), quicktest.Equals, time.Duration(0))
		time.Sleep(time.Hour)
		quicktest.Assert(t, k.suspended(time.Now()), quicktest.Equals, time.Duration(0))
	})
}
