// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"net/http"
	"testing"
	"time"
)

// FuzzParseRetryAfter checks that a Retry-After of any content gives a whole number of seconds, never negative.
func FuzzParseRetryAfter(f *testing.F) {
	f.Add("2")
	f.Add("18446744074")
	f.Add("Wed, 21 Oct 2015 07:28:00 GMT")
	f.Fuzz(func(t *testing.T, s string) {
		h := http.Header{}
		h.Set("Retry-After", s)
		if d := parseRetryAfter(&http.Response{Header: h}); d < 0 || d%time.Second != 0 {
			t.Errorf("Retry-After %q parsed as %v", s, d)
		}
	})
}
