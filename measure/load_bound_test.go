// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"strings"
	"testing"
	"time"

	"cairnwick.example/load"
	"github.com/frankban/quicktest"
)

func TestMinLoads(t *testing.T) {
	c := quicktest.New(t)
	requested := strings.Split("a b c a b d a b c", " ")
	c.Assert(minLoads(requested, 9, 0), quicktest.Equals, 4)
	c.Assert(minLoads(requested, 3, 0), quicktest.Equals, 5)
	c.Assert(minLoads(requested, 9, 3), quicktest.Equals, 1)
}

func TestStallBoundCountsEachLoadOnce(t *testing.T) {
	quicktest.Assert(t, stallBound(5, 100, 400*time.Millisecond), quicktest.Equals, 20.0)
}

func TestRecoveryEndsWhenStallIsBackToNormal(t *testing.T) {
	c := quicktest.New(t)
	begun := time.Unix(1000, 0)
	var ends []load.Outcome
	for s := range 20 {
		stall := time.Duration(0)
		if s >= 10 && s < 14 {
			stall = time.Second
		}
		ends = append(ends, load.Outcome{Started: begun.Add(time.Duration(s) * time.Second), Complete: true, LoadStall: stall})
	}
	c.Assert(recovery(ends, begun, 20*time.Second), quicktest.Equals, 4*time.Second)
}

func TestJainIndexIsOneForEqualShares(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(jainIndex(map[string]*share{"a": {sent: 4, inTime: 2}, "b": {sent: 2, inTime: 1}}), quicktest.Equals, 1.0)
	c.Assert(jainIndex(map[string]*share{"a": {sent: 1, inTime: 1}, "b": {sent: 1}}), quicktest.Equals, 0.5)
}
