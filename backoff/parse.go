// SPDX-License-Identifier: Apache-2.0

// Package backoff keeps the Retry-After intervals that endpoints set for one box when they reject a
// request. Nothing here does input or output, and time is passed in.
package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Max bounds a back-off: an endpoint that is out of use for longer has to drain.
const Max = time.Hour

// Parse reads a back-off in decimal seconds; zero: none is set. Of several values the longest counts. What is
// above Longest is cut to it. An error means that a value can't be read, such as a time of day: clocks
// disagree.
func Parse(values []string) (time.Duration, error) {
	var longest time.Duration
	var invalid error
	for _, v := range values {
		d, err := parse(v)
		if err != nil {
			invalid = err
		}
		longest = max(longest, d)
	}
	if longest > 0 {
		return longest, nil
	}
	return 0, invalid
}

func parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if math.IsInf(seconds, 1) { // also one that is too large for a float
		return Max, nil
	}
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Errorf("backoff: %.40q: give the seconds as a decimal number from 0", value)
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), nil
}
