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

// askKnowing asks for a grant as a gateway that heard of a limit just now, and can wait so long.
func (b *bench) askKnowing(l ratelimit.Limit, wait time.Duration) *wire.AcquireReply {
	now := time.Now()
	a, err := b.scheduler.Acquire(context.Background(), &wire.AcquireRequest{
		Request: "r", Endpoint: "e1", Adapter: "a@1", Class: "counter", Caller: "till", WaitMicros: wait.Microseconds(),
		Limit: wire.NewLimitWord("e1", ratelimit.Observation{Limit: l, At: now}, now),
	})
	b.Assert(err, quicktest.IsNil)
	return a
}

// An engine in need named how many requests it takes, and its owner went on to hand out grants for it by
// its free places alone.
func TestAnEndpointThatNamesALimitIsGrantedNoFaster(t *testing.T) {
	b := newBench(t, "a@1")
	b.own().seen = time.Now().Add(time.Minute) // no look is needed in this test
	const perSecond = 20
	begun := time.Now()
	granted := 0
	for time.Since(begun) < time.Second {
		a := b.askKnowing(ratelimit.PerSecond(perSecond), 0)
		if a.GetGrant() != nil {
			granted++
			b.release(a, wire.Outcome_OUTCOME_COMPLETED)
			continue
		}
		b.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
		b.Assert(a.GetRefusal().GetRetryMicros() > 0, quicktest.IsTrue)
		time.Sleep(time.Millisecond)
	}
	b.Assert(granted >= perSecond/2 && granted <= perSecond+5, quicktest.IsTrue, quicktest.Commentf("%d", granted))
}

// Those that may wait get their turn when the endpoint takes one more, though no other event wakes it.
func TestARequestWaitsForRoomAtAnEndpointThatNamesALimit(t *testing.T) {
	b := newBench(t, "a@1")
	b.own().seen = time.Now().Add(time.Minute) // no look is needed in this test
	for range 4 {
		a := b.askKnowing(ratelimit.PerSecond(20), time.Second)
		b.Assert(a.GetGrant(), quicktest.IsNotNil)
		b.Assert(a.GetGrant().GetLimited(), quicktest.IsTrue)
		b.release(a, wire.Outcome_OUTCOME_COMPLETED)
	}
}

// One that would wait for longer than it can is refused at once.
func TestARequestThatCannotWaitForRoomIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, "a@1")
	b.own().seen = time.Now().Add(time.Minute) // no look is needed in this test
	begun := time.Now()
	a := b.askKnowing(ratelimit.PerSecond(0), 300*time.Millisecond)
	b.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_DEADLINE)
	b.Assert(time.Since(begun) < 200*time.Millisecond, quicktest.IsTrue)
	b.Assert(b.askKnowing(ratelimit.Limit{}, 0).GetGrant(), quicktest.IsNotNil) // its need is over
}
