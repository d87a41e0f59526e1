// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// after returns a candidate as it is a time later if it gets no more requests.
func (c Candidate) after(t time.Duration) Candidate {
	c.Delay = max(c.Delay-t, 0)
	if c.Queue -= t; c.Queue > 0 {
		c.Busy += t
	} else {
		c.Queue, c.Busy = 0, 0
	}
	return c
}

// randomRefusal returns a request and candidates for which Choose refuses it, because of queues.
func randomRefusal(r *rand.Rand) (Request, []Candidate, Decision) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	for {
		q := Request{Target: upTo(2*time.Second) - 500*time.Millisecond, QueueLimit: upTo(time.Second) - 100*time.Millisecond,
			MaxWait: upTo(5 * time.Second), Returned: r.IntN(3) == 0, ReturnLimit: upTo(time.Second)}
		if r.IntN(2) == 0 {
			q.MaxPause = upTo(time.Second)
		}
		var list []Candidate
		for range 1 + r.IntN(4) {
			list = append(list, Candidate{Availability: Availability(1 + r.IntN(4)), Queue: upTo(2 * time.Second), Own: upTo(800 * time.Millisecond),
				Busy: upTo(2 * time.Second), Pause: upTo(time.Second), FreeMemory: r.IntN(500), Memory: 1000})
			if c := &list[len(list)-1]; c.Availability != Ready {
				c.Delay = upTo(time.Second)
			}
		}
		if d := Choose(q, list); d.Reason == QueueTooLong {
			return q, list, d
		}
	}
}

// Guards against callers that come back when they were asked to and meet the same refusal, and against a relief that
// leaves an endpoint unused.
func TestRequestIsTakenAfterItsRelief(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	usable, early := 0, 0
	for range 20000 {
		q, list, d := randomRefusal(r)
		at := func(t time.Duration) Decision {
			again, later := q, make([]Candidate, len(list))
			again.Target, again.MaxWait = again.Target-t, again.MaxWait-t
			for i := range list {
				later[i] = list[i].after(t)
			}
			return Choose(again, later)
		}
		if early += min(max(at(d.Relief-time.Microsecond).Index+1, 0), 1); d.Relief > q.MaxWait {
			continue // no retry is offered then
		}
		usable++
		c.Assert(at(d.Relief).Index >= 0, quicktest.IsTrue, quicktest.Commentf("%+v %+v: %+v", q, list, d))
	}
	c.Logf("%d reliefs within the caller's time; a microsecond before, %d were taken", usable, early)
	c.Check(usable > 15000, quicktest.IsTrue)
	c.Check(early, quicktest.Equals, 0)
}
