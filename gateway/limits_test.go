// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"cairnwick.example/ratelimit"
	"github.com/frankban/quicktest"
)

// An engine's owner kept to a limit for good that the engine named no more.
//
// The order of events: one gateway hears the limit and tells the owner; it ends. The others get their
// grants at that rate and answers without a limit, but have never heard of one, so that none of them
// tells the owner that it is over.
//
// The cause: a gateway passed over what an answer does not name, unless it had heard a limit itself.
func TestAGatewayTellsThatALimitIsOverWhichAnotherOneHeard(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var l limits
	c.Check(l.hear("e1", ratelimit.Limit{}, false, now, now), quicktest.IsFalse)
	c.Check(l.of("e1", now), quicktest.IsNil) // nobody limits it
	l.hear("e1", ratelimit.Limit{}, true, now.Add(-time.Second), now)
	w := l.of("e1", now).Word(now)
	c.Check(w.Limit.IsSet(), quicktest.IsFalse)
	c.Check(w.At.Equal(now.Add(-time.Second)), quicktest.IsTrue)
}

func TestAnAnswerThatWasOvertakenEndsNoLimit(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var l limits
	c.Check(l.hear("e1", ratelimit.PerSecond(3), false, now, now.Add(time.Second)), quicktest.IsTrue)
	c.Check(l.hear("e1", ratelimit.Limit{}, true, now, now.Add(2*time.Second)), quicktest.IsFalse)
	c.Check(l.of("e1", now).Word(now).Limit.Rate(), quicktest.Equals, 3.0)
	c.Check(l.hear("e1", ratelimit.Limit{}, true, now.Add(2*time.Second), now.Add(3*time.Second)), quicktest.IsTrue)
}
