// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	for _, x := range []struct {
		values  []string
		want    time.Duration
		invalid bool
	}{
		{values: nil},
		{values: []string{"3"}, want: 3 * time.Second},
		{values: []string{" 0.25 "}, want: 250 * time.Millisecond},
		{values: []string{"0"}},
		{values: []string{"1", "2.5"}, want: 2500 * time.Millisecond},
		{values: []string{"never", "2"}, want: 2 * time.Second},
		{values: []string{"1e300"}, want: Max},
		{values: []string{"1e999"}, want: Max},
		{values: []string{"inf"}, want: Max},
		{values: []string{"-inf"}, invalid: true},
		{values: []string{"-1"}, invalid: true},
		{values: []string{"NaN"}, invalid: true},
		{values: []string{""}, invalid: true},
		{values: []string{"Thu, 03 Dec 2026 07:00:00 GMT"}, invalid: true},
	} {
		c := quicktest.New(t)
		got, err := Parse(x.values)
		c.Check(got, quicktest.Equals, x.want, quicktest.Commentf("%q", x.values))
		c.Check(err != nil, quicktest.Equals, x.invalid, quicktest.Commentf("%q", x.values))
	}
}

// FuzzParse checks that a back-off is from zero to Max, and never returned together with an error.
func FuzzParse(f *testing.F) {
	f.Add("3", "")
	f.Add("NaN", "1e300")
	f.Add("-1", "0")
	f.Fuzz(func(t *testing.T, first, second string) {
		d, err := Parse([]string{first, second})
		if d < 0 || d > Max || (d > 0 && err != nil) {
			t.Errorf("%q and %q are %v, and %v", first, second, d, err)
		}
	})
}
