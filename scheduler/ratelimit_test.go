// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// acquireWithLimit requests a grant as a gateway that has just received a rate limit, with a limited wait.
func (f *fixture) acquireWithLimit(l ratelimit.Limit, wait time.Duration) *wire.AcquireReply {
	now := time.Now()
	a, err := f.scheduler.Acquire(context.Background(), &wire.AcquireRequest{
		Request: "r", Endpoint: "e1", Adapter: "a@1", Class: "counter", Caller: "till", WaitMicros: wait.Microseconds(),
		Limit: wire.NewLimitWord("e1", ratelimit.Observation{Limit: l, At: now}, now),
	})
	f.Assert(err, quicktest.IsNil)
	return a
}

// Guards against an owner that issues grants by free capacity alone, although an overloaded endpoint
// announced a rate limit.
func TestGrantsFollowRateLimit(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own().verifiedAt = time.Now().Add(time.Minute) // so that no probe is needed
	const perSecond = 20
	begun := time.Now()
	granted := 0
	for time.Since(begun) < time.Second {
		a := f.acquireWithLimit(ratelimit.PerSecond(perSecond), 0)
		if a.GetGrant() != nil {
			granted++
			f.release(a, wire.Outcome_OUTCOME_COMPLETED)
			continue
		}
		f.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
		f.Assert(a.GetRefusal().GetRetryMicros() > 0, quicktest.IsTrue)
		time.Sleep(time.Millisecond)
	}
	f.Assert(granted >= perSecond/2 && granted <= perSecond+5, quicktest.IsTrue, quicktest.Commentf("%d", granted))
}

// A wait of less than a microsecond is not reported as none.
func TestRetryTimeOfRefusalIsRoundedUp(t *testing.T) {
	for wait, want := range map[time.Duration]int64{0: 0, 1: 1, time.Microsecond: 1, time.Microsecond + 1: 2} {
		got := refusal(wire.Reason_REASON_NO_WAIT, wait, "").GetRefusal().GetRetryMicros()
		quicktest.Check(t, got, quicktest.Equals, want, quicktest.Commentf("%v", wait))
	}
}

// Queued requests are served when the rate limit allows one more, even if no other event serves the queue.
func TestRequestWaitsForRateLimit(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own().verifiedAt = time.Now().Add(time.Minute) // so that no probe is needed
	for range 4 {
		a := f.acquireWithLimit(ratelimit.PerSecond(20), time.Second)
		f.Assert(a.GetGrant(), quicktest.IsNotNil)
		f.Assert(a.GetGrant().GetLimited(), quicktest.IsTrue)
		f.release(a, wire.Outcome_OUTCOME_COMPLETED)
	}
}

// A request whose wait for the rate limit would exceed its maximum wait is refused immediately.
func TestRequestThatCannotWaitForRateLimitIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own().verifiedAt = time.Now().Add(time.Minute) // so that no probe is needed
	begun := time.Now()
	a := f.acquireWithLimit(ratelimit.PerSecond(0), 300*time.Millisecond)
	f.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_DEADLINE)
	f.Assert(time.Since(begun) < 200*time.Millisecond, quicktest.IsTrue)
	f.Assert(f.acquireWithLimit(ratelimit.Limit{}, 0).GetGrant(), quicktest.IsNotNil) // the endpoint has lifted its limit
}
