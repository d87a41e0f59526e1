// SPDX-License-Identifier: Apache-2.0

// Package backoff stores the Retry-After intervals with which endpoints reject requests of one box.
// Nothing here does I/O, and the current time is passed in.
package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Max is the upper bound of a back-off. An endpoint that is unavailable for longer has to drain.
const Max = time.Hour

// Parse returns the longest of the Retry-After values, in decimal seconds and at most Max; zero if none is
// set. It returns an error only if no value is valid. Dates are invalid, since clocks differ.
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
	if math.IsInf(seconds, 1) { // including values that overflow a float
		return Max, nil
	}
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Errorf("backoff: invalid interval %.40q: must be a decimal number of seconds, 0 or more", value)
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), nil
}
