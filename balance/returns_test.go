// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against callers that all return at once: at any time those due take a tenth of the endpoints' time.
func TestRetryTimesLeaveRoomForNewRequests(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	const work, endpoints = 120 * time.Millisecond, 6 // a tenth of 6 endpoints reads such a prompt in 200 ms
	last := time.Duration(-1)
	for i := range 20 {
		delay, ok := r.Assign(start, 500*time.Millisecond, work, 10*time.Second, endpoints)
		c.Assert(ok, quicktest.IsTrue)
		c.Check(delay, quicktest.Equals, 500*time.Millisecond+time.Duration(i)*200*time.Millisecond)
		c.Check(delay > last, quicktest.IsTrue)
		last = delay
	}
}

// Guards against a retry time before the endpoints have room again, also if no one else was refused.
func TestRetryTimeIsNotBeforeRelief(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	_, _ = r.Assign(start, 0, time.Millisecond, time.Second, 1)
	delay, ok := r.Assign(start, 700*time.Millisecond, time.Millisecond, time.Second, 1)
	c.Check(ok, quicktest.IsTrue)
	c.Check(delay, quicktest.Equals, 700*time.Millisecond)
	delay, ok = r.Assign(start.Add(time.Minute), -time.Second, time.Millisecond, time.Second, 1)
	c.Check(ok, quicktest.IsTrue)
	c.Check(delay, quicktest.Equals, time.Duration(0), quicktest.Commentf("times that have passed don't delay a caller"))
}

// Guards against offers that the caller can't use, and against room that is kept for such an offer.
func TestNoRetryTimeIsOfferedBeyondTheCallersTime(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	_, ok := r.Assign(start, 1001*time.Millisecond, time.Second, time.Second, 1)
	c.Check(ok, quicktest.IsFalse)
	delay, ok := r.Assign(start, time.Second, time.Second, time.Second, 1)
	c.Check(ok, quicktest.IsTrue)
	c.Check(delay, quicktest.Equals, time.Second)
	_, ok = r.Assign(start, time.Second, time.Second, 10999*time.Millisecond, 1)
	c.Check(ok, quicktest.IsFalse, quicktest.Commentf("the next time is 11 s from now"))
	delay, ok = r.Assign(start, time.Second, time.Second, 11*time.Second, 1)
	c.Check(ok, quicktest.IsTrue)
	c.Check(delay, quicktest.Equals, 11*time.Second, quicktest.Commentf("a refused offer takes no time"))
}

// Guards against one caller with much time, refused until a distant time, who leaves all others without an
// offer: the time before that is free.
func TestDistantRetryTimeLeavesNearerOnes(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	_, ok := r.Assign(start, 8*time.Second, 120*time.Millisecond, 10*time.Second, 60)
	c.Assert(ok, quicktest.IsTrue)
	delay, ok := r.Assign(start, 200*time.Millisecond, 120*time.Millisecond, 1600*time.Millisecond, 60)
	c.Check(ok, quicktest.IsTrue)
	c.Check(delay, quicktest.Equals, 200*time.Millisecond)
	c.Check(r.IsDue(start.Add(delay), delay), quicktest.IsTrue)
}

// Guards against a flood whose callers take all time of the next seconds: callers refused later, for a queue that ends
// soon, would return after their target.
func TestFloodLeavesTimeForNearReturns(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	flood := 0
	for {
		if _, ok := r.Assign(start, 20*time.Millisecond, 123*time.Millisecond, 5*time.Second, 30); !ok {
			break
		}
		flood++
	}
	c.Check(flood > 90, quicktest.IsTrue, quicktest.Commentf("%d of 122 that a tenth of the time serves", flood))
	for i := range 8 {
		now := start.Add(2*time.Second + time.Duration(i)*slotDuration)
		delay, ok := r.Assign(now, 20*time.Millisecond, 123*time.Millisecond, 5*time.Second, 30)
		c.Check(ok && delay <= slotDuration, quicktest.IsTrue, quicktest.Commentf("%v at %v", delay, now.Sub(start)))
	}
}

// Guards against callers that repeat at once and thereby pass those that wait as asked.
func TestEarlyReturnGainsNothing(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	_, ok := r.Assign(start, time.Second, 10*time.Millisecond, 2*time.Second, 1)
	c.Assert(ok, quicktest.IsTrue)
	c.Check(r.IsDue(start.Add(0), 0), quicktest.IsFalse)
	c.Check(r.IsDue(start.Add(499*time.Millisecond), 499*time.Millisecond), quicktest.IsFalse)
	c.Check(r.IsDue(start.Add(500*time.Millisecond), 500*time.Millisecond), quicktest.IsTrue)
	c.Check(r.IsDue(start.Add(time.Second), time.Second), quicktest.IsTrue)
}

// Guards against callers that return as asked and count as early, since later callers were given longer delays.
func TestLongerDelaysLeaveEarlierCallersDue(t *testing.T) {
	c := quicktest.New(t)
	var r Returns
	first, ok := r.Assign(start, 100*time.Millisecond, 120*time.Millisecond, 2*time.Second, 6)
	c.Assert(ok, quicktest.IsTrue)
	for range 20 {
		_, _ = r.Assign(start.Add(first/2), 100*time.Millisecond, 120*time.Millisecond, 2*time.Second, 6)
	}
	c.Check(r.IsDue(start.Add(first), first), quicktest.IsTrue)
}

// Guards against room that stays taken, or a loop without end, after a request of extreme size or time.
func TestExtremeRetryTimes(t *testing.T) {
	c := quicktest.New(t)
	extremes := []time.Duration{math.MinInt64, -1, 0, 1, time.Hour, math.MaxInt64}
	var r Returns
	for _, relief := range extremes {
		for _, work := range extremes {
			for _, latest := range extremes {
				delay, ok := r.Assign(start, relief, work, latest, int(work))
				c.Check(!ok || delay >= 0 && delay <= latest, quicktest.IsTrue, quicktest.Commentf("%v %v %v: %v", relief, work, latest, delay))
				_ = r.IsDue(start, latest)
			}
		}
	}
	_, ok := r.Assign(start.Add(time.Minute), 0, 0, time.Second, 1)
	c.Check(ok, quicktest.IsTrue)
	_, ok = r.Assign(time.Unix(-1000, 0), 0, 0, time.Second, 1)
	c.Check(ok && r.IsDue(time.Unix(-1000, 0), time.Second), quicktest.IsTrue)
	_, _ = r.Assign(time.Time{}, 0, time.Second, time.Second, 1)
}
