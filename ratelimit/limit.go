// SPDX-License-Identifier: Apache-2.0

// Package ratelimit keeps to the limits that endpoints in need name: how many requests a second
// an endpoint takes from all boxes together. Nothing here does input or output, and time is passed in.
package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxRate is above the requests a second that any endpoint could be sent: a limit beyond it limits
// nothing. It keeps sums of rates and times exact.
const maxRate = 1e6

// Limit is how many requests a second an endpoint takes from all boxes together. The zero value says
// that it names no limit.
type Limit struct {
	rate float64 // requests a second; from 0 to mostRate
	set  bool
}

// PerSecond returns the limit of so many requests a second; one that is no number, is below zero or limits
// nothing is none.
func PerSecond(rate float64) Limit {
	if !(rate >= 0 && rate <= maxRate) { // nor NaN
		return Limit{}
	}
	return Limit{rate: rate, set: true}
}

// IsSet tells whether there is a limit.
func (l Limit) IsSet() bool { return l.set }

// Rate returns the requests a second; 0 where none are taken, or where no limit is named.
func (l Limit) Rate() float64 { return l.rate }

// Parse reads what an endpoint names in one answer, as decimal numbers. Of several the lowest counts,
// since two of its parts may be in need. One that is infinite or beyond what anybody sends limits
// nothing. An error says that it names something which can't be read: that says neither that there is
// a limit nor that there is none, so what was known before stays.
func Parse(values []string) (Limit, error) {
	var l Limit
	var invalid error
	for _, v := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		switch {
		case math.IsInf(rate, 1): // limits nothing; also one that is too large for a float
		case err != nil || math.IsNaN(rate) || rate < 0:
			invalid = errors.Errorf("ratelimit: %.40q: give the requests a second as a decimal number from 0", v)
		case !l.set || rate < l.rate:
			l = PerSecond(rate)
		}
	}
	if l.set {
		return l, nil
	}
	return l, invalid
}
