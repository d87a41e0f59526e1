// SPDX-License-Identifier: Apache-2.0

// Package backoff keeps to the times for which endpoints want nothing from one box: an endpoint that
// turns a request away may say how long it is to be left alone. Nothing here does input or output, and
// time is passed in.
package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Longest bounds what an endpoint may ask for: one that wants nothing for longer has to leave.
const Longest = time.Hour

// Parse reads for how long an endpoint wants nothing, in decimal seconds; zero: it does not ask. Of
// several values the longest counts, since it holds for each. Above Longest it is Longest. An error says
// that something is asked which can't be read, such as a time of day: clocks disagree.
func Parse(values []string) (time.Duration, error) {
	var longest time.Duration
	var unread error
	for _, v := range values {
		d, err := parse(v)
		if err != nil {
			unread = err
		}
		longest = max(longest, d)
	}
	if longest > 0 {
		return longest, nil
	}
	return 0, unread
}

func parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if math.IsInf(seconds, 1) { // also one that is too large for a float
		return Longest, nil
	}
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Errorf("backoff: %.40q: give the seconds as a decimal number from 0", value)
	}
	return time.Duration(min(seconds, Longest.Seconds()) * float64(time.Second)), nil
}
