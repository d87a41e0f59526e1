// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestHistogramKeepsQuantiles(t *testing.T) {
	c := quicktest.New(t)
	h := NewHistogram()
	for i := 1; i <= 100; i++ {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	c.Assert(h.Count(), quicktest.Equals, int64(100))
	c.Assert(h.Quantile(50).Round(time.Millisecond), quicktest.Equals, 50*time.Millisecond)
	c.Assert(json.Valid([]byte(h.String())), quicktest.IsTrue)
}

func TestHistogramCountsDurationsOutOfRange(t *testing.T) {
	h := NewHistogram()
	h.Observe(-time.Second)
	h.Observe(time.Hour)
	quicktest.Assert(t, h.Count(), quicktest.Equals, int64(2))
}

func TestFamilyIsBounded(t *testing.T) {
	c := quicktest.New(t)
	f := NewFamily(2)
	for _, n := range []string{"a", "b", "c", "d"} {
		f.Observe(n, time.Millisecond)
	}
	c.Assert(f.members, quicktest.HasLen, 3)
	c.Assert(f.Member("z").Count(), quicktest.Equals, int64(2))
	c.Assert(json.Valid([]byte(f.String())), quicktest.IsTrue)
}
