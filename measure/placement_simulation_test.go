// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a cost model that only pays off on the users' own workloads. On a synthetic load,
// cost-based placement must answer more requests in time than a fixed endpoint for each adapter,
// on every seed and whether slots or prompt processing is the bottleneck.
func TestCostBasedPlacementServesMoreInTime(t *testing.T) {
	c := quicktest.New(t)
	for seed := range uint64(3) {
		for _, rate := range []float64{50, 65} {
			fixed, cost := PlacementSimulation{Seed: seed, Time: 20 * time.Second, Rate: rate}.results()
			ratio := float64(cost.inTime) / float64(fixed.inTime)
			c.Check(ratio > 1.1, quicktest.IsTrue, quicktest.Commentf("seed %d, rate %.0f: %+v, %+v", seed, rate, fixed, cost))
			c.Check(cost.abandoned <= fixed.abandoned, quicktest.IsTrue, quicktest.Commentf("seed %d, rate %.0f: %+v, %+v", seed, rate, fixed, cost))
		}
	}
}

func TestSimulationCountsEveryRequestAndIsDeterministic(t *testing.T) {
	c := quicktest.New(t)
	s := PlacementSimulation{Seed: 7, Time: 5 * time.Second, Rate: 60}
	fixed, cost := s.results()
	n := len(s.requests())
	for _, r := range []simResult{fixed, cost} {
		c.Assert(r.inTime+r.late+r.abandoned, quicktest.Equals, n)
	}
	again, _ := s.results()
	c.Assert(again, quicktest.Equals, fixed)
	var out strings.Builder
	c.Assert(s.Run(&out), quicktest.IsNil)
	c.Assert(out.String(), quicktest.Contains, "in time, ratio")
}
