// SPDX-License-Identifier: Apache-2.0

package load

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func plan() Plan {
	return Plan{
		Gateways: []string{"a", "b"},
		Rate:     200,
		Duration: 5 * time.Second,
		Seed:     7,
		Adapters: 100,
		Skew:     1.2,
		Kinds:    []RequestKind{{Class: "counter", Weight: 3, Tokens: 8}, {Class: "overnight", Weight: 1, Tokens: 8}},
	}
}

func TestSameSeedYieldsSameArrivals(t *testing.T) {
	quicktest.Assert(t, plan().arrivals()[500].adapter, quicktest.Equals, plan().arrivals()[500].adapter)
}

func TestArrivalsFollowRateSkewAndWeights(t *testing.T) {
	c := quicktest.New(t)
	list := plan().arrivals()
	c.Assert(len(list) > 900 && len(list) < 1100, quicktest.IsTrue, quicktest.Commentf("%d", len(list)))
	first, counter := 0, 0
	for _, a := range list {
		if a.adapter == "adapter-00001" {
			first++
		}
		if a.kind.Class == "counter" {
			counter++
		}
	}
	c.Assert(first > len(list)/10, quicktest.IsTrue)
	c.Assert(counter > 6*len(list)/10 && counter < 9*len(list)/10, quicktest.IsTrue)
}

func TestShiftMakesOtherAdaptersPopular(t *testing.T) {
	c := quicktest.New(t)
	p := plan()
	p.ShiftAfter = time.Second
	c.Assert(p.adapter(0, 0), quicktest.Equals, 0)
	c.Assert(p.adapter(0, 2*time.Second), quicktest.Equals, 50)
}
