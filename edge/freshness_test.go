// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/share"
	"github.com/frankban/quicktest"
)

func TestFreshnessIsThatOfTheOldestCollection(t *testing.T) {
	c := quicktest.New(t)
	var f freshness
	now := time.Unix(100, 0)
	f.record(Configuration, readResult{asOf: now, current: true})
	_, ok := f.age(now)
	c.Assert(ok, quicktest.IsFalse) // endpoints have not been read
	f.record(Endpoints, readResult{asOf: now.Add(time.Second), current: true})
	ago, ok := f.age(now.Add(3 * time.Second))
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(ago, quicktest.Equals, 3*time.Second)
	f.record(Configuration, readResult{asOf: now})
	_, ok = f.age(now.Add(3 * time.Second))
	c.Assert(ok, quicktest.IsFalse)
}

// The times must leave room for the call of a box whose leader's status has become too old. The status
// of a working leader must not be too old two hops below it.
func TestStatusTimesFitMaximumStaleness(t *testing.T) {
	c := quicktest.New(t)
	const call = 300 * time.Millisecond // to read the source from a loaded box
	for _, behind := range []time.Duration{2 * time.Second, 3 * time.Second} {
		c.Check(maxStatusAge(behind)+standbyPollInterval+call < behind, quicktest.IsTrue)
		c.Check(maxAnswerInterval(behind)+minWatchTimeout+2*share.HeartbeatInterval < maxStatusAge(behind), quicktest.IsTrue)
	}
}

// A reload that sets only one of the bounds must not treat the other as zero.
func TestTighterBoundLimitsStaleness(t *testing.T) {
	for _, k := range []struct {
		bounds Bounds
		behind time.Duration
	}{
		{Bounds{Drain: 2 * time.Second, Apply: 3 * time.Second}, 2 * time.Second},
		{Bounds{Drain: 3 * time.Second, Apply: time.Second}, time.Second},
		{Bounds{Apply: 3 * time.Second}, 3 * time.Second},
		{Bounds{}, defaultMaxStaleness},
	} {
		quicktest.New(t).Assert(k.bounds.MaxStaleness(), quicktest.Equals, k.behind)
	}
}
