// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	for _, x := range []struct {
		name    string
		values  []string
		rate    float64
		set     bool
		invalid bool
	}{
		{name: "no header"},
		{name: "a decimal number", values: []string{"9.4"}, rate: 9.4, set: true},
		{name: "with spaces", values: []string{" 5 "}, rate: 5, set: true},
		{name: "zero: no requests are accepted", values: []string{"0"}, set: true},
		{name: "negative zero", values: []string{"-0"}, set: true},
		{name: "negative", values: []string{"-3"}, invalid: true},
		{name: "not a number", values: []string{"many"}, invalid: true},
		{name: "empty", values: []string{""}, invalid: true},
		{name: "NaN", values: []string{"NaN"}, invalid: true},
		{name: "infinite: no limit", values: []string{"inf"}},
		{name: "negative infinity", values: []string{"-inf"}, invalid: true},
		{name: "too large for a float: no limit", values: []string{"1e999"}},
		{name: "above the maximum: no limit", values: []string{"1e300"}},
		{name: "two values: the lower", values: []string{"7", "5"}, rate: 5, set: true},
		{name: "one of two is valid", values: []string{"x", "5"}, rate: 5, set: true},
		{name: "two in one header", values: []string{"7, 5"}, invalid: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := Parse(x.values)
			c.Check(l.IsSet(), quicktest.Equals, x.set)
			c.Check(l.Rate(), quicktest.Equals, x.rate)
			c.Check(err != nil, quicktest.Equals, x.invalid)
		})
	}
}

// FuzzParse checks that a parsed limit is a valid rate, and never returned together with an error.
func FuzzParse(f *testing.F) {
	f.Add("9.4", "5")
	f.Add("NaN", "1e300")
	f.Add("-1", "inf")
	f.Add("0x1p-1074", "")
	f.Fuzz(func(t *testing.T, a, b string) {
		l, err := Parse([]string{a, b})
		if l.IsSet() && err != nil {
			t.Errorf("%q, %q: a limit and an error: %v", a, b, err)
		}
		if !(l.Rate() >= 0 && l.Rate() <= maxRate) || math.IsNaN(l.Rate()) {
			t.Errorf("%q, %q: %v", a, b, l.Rate())
		}
		if !l.IsSet() && l.Rate() != 0 {
			t.Errorf("%q, %q: no limit of %v", a, b, l.Rate())
		}
	})
}
