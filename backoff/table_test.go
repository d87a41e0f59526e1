// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	c := quicktest.New(t)
	var b Table
	now := time.Unix(1000, 0)
	c.Assert(b.Remaining("e1", now), quicktest.Equals, time.Duration(0))
	c.Assert(b.Extend("e1", 3*time.Second, now), quicktest.IsTrue)
	c.Assert(b.Remaining("e1", now.Add(time.Second)), quicktest.Equals, 2*time.Second)
	c.Assert(b.Remaining("e2", now.Add(time.Second)), quicktest.Equals, time.Duration(0))
	c.Assert(b.Remaining("e1", now.Add(3*time.Second)), quicktest.Equals, time.Duration(0))
	c.Assert(b.Extend("e1", time.Second, now.Add(3*time.Second)), quicktest.IsTrue)
}

// An endpoint may reject requests with different intervals; each response counts on its own.
func TestBackoffIsNeverShortened(t *testing.T) {
	c := quicktest.New(t)
	var b Table
	now := time.Unix(1000, 0)
	b.Extend("e1", 3*time.Second, now)
	c.Assert(b.Extend("e1", time.Second, now.Add(time.Second)), quicktest.IsFalse)
	c.Assert(b.Remaining("e1", now.Add(time.Second)), quicktest.Equals, 2*time.Second)
	b.Extend("e1", 3*time.Second, now.Add(2*time.Second))
	c.Assert(b.Remaining("e1", now.Add(2*time.Second)), quicktest.Equals, 3*time.Second)
	b.Extend("e1", 1<<62, now)
	c.Assert(b.Remaining("e1", now), quicktest.Equals, Max)
}

func TestExtendDropsExpiredBackoffs(t *testing.T) {
	c := quicktest.New(t)
	var b Table
	now := time.Unix(1000, 0)
	b.Extend("short", time.Second, now)
	b.Extend("long", time.Minute, now)
	c.Assert(b.Active(now), quicktest.DeepEquals, []string{"long", "short"})
	c.Assert(b.Active(now.Add(time.Second)), quicktest.DeepEquals, []string{"long"})
	c.Assert(b.Extend("third", time.Second, now.Add(2*time.Second)), quicktest.IsTrue)
	c.Assert(b.until, quicktest.HasLen, 2)
}

func TestRetryAfterHasJitter(t *testing.T) {
	c := quicktest.New(t)
	seen := make(map[time.Duration]bool)
	for range 20 {
		d := RetryAfter(3 * time.Second)
		c.Assert(d >= 3*time.Second && d <= 3750*time.Millisecond, quicktest.IsTrue)
		seen[d] = true
	}
	c.Assert(len(seen) > 1, quicktest.IsTrue)
	c.Assert(RetryAfter(0), quicktest.Equals, time.Duration(0))
}
