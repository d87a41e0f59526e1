// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"cairnwick.example/ratelimit"
	"github.com/frankban/quicktest"
)

// An endpoint's owner must not enforce a rate limit forever that the endpoint no longer announces.
//
// One gateway receives the limit, reports it to the owner and ends. The other gateways get grants at that rate
// and responses without a limit. If a gateway ignored responses without a limit unless it had received one
// itself, none would tell the owner that the limit is over.
func TestReportsEndOfLimitAnnouncedToAnotherGateway(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var l limitTable
	c.Check(l.observe("e1", ratelimit.Limit{}, false, now, now), quicktest.IsFalse)
	c.Check(l.get("e1", now), quicktest.IsNil) // the owner enforces no limit either
	l.observe("e1", ratelimit.Limit{}, true, now.Add(-time.Second), now)
	w := l.get("e1", now).Observation(now)
	c.Check(w.Limit.IsSet(), quicktest.IsFalse)
	c.Check(w.At.Equal(now.Add(-time.Second)), quicktest.IsTrue)
}

func TestOlderResponseDoesNotEndLimit(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var l limitTable
	c.Check(l.observe("e1", ratelimit.PerSecond(3), false, now, now.Add(time.Second)), quicktest.IsTrue)
	c.Check(l.observe("e1", ratelimit.Limit{}, true, now, now.Add(2*time.Second)), quicktest.IsFalse)
	c.Check(l.get("e1", now).Observation(now).Limit.Rate(), quicktest.Equals, 3.0)
	c.Check(l.observe("e1", ratelimit.Limit{}, true, now.Add(2*time.Second), now.Add(3*time.Second)), quicktest.IsTrue)
}
