// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/share"
	"github.com/frankban/quicktest"
)

func TestTheCollectionHeardLongestAgoSaysHowFreshTheViewIs(t *testing.T) {
	c := quicktest.New(t)
	var f freshness
	now := time.Unix(100, 0)
	f.note(Settled, readOutcome{asOf: now, current: true})
	_, ok := f.ago(now)
	c.Assert(ok, quicktest.IsFalse) // endpoints were not heard
	f.note(Endpoints, readOutcome{asOf: now.Add(time.Second), current: true})
	ago, ok := f.ago(now.Add(3 * time.Second))
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(ago, quicktest.Equals, 3*time.Second)
	f.note(Settled, readOutcome{asOf: now})
	_, ok = f.ago(now.Add(3 * time.Second))
	c.Assert(ok, quicktest.IsFalse)
}

// The times must leave room for the call of a box that finds its leader's word too old, and
// a leader in good order must not seem silent to boxes two steps below it.
func TestTheTimesOfAWordAddUpToLessThanABoxMayBeBehind(t *testing.T) {
	c := quicktest.New(t)
	const call = 300 * time.Millisecond // to read the source, on a busy box
	for _, behind := range []time.Duration{2 * time.Second, 3 * time.Second} {
		c.Check(statusTime(behind)+standbyLook+call < behind, quicktest.IsTrue)
		c.Check(watchTime(behind)+watchLeast+2*share.BeatPause < statusTime(behind), quicktest.IsTrue)
	}
}

// A reload that sets one of the bounds alone must not take the other for zero.
func TestTheTighterBoundSaysHowFarABoxMayBeBehind(t *testing.T) {
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
